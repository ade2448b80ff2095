-- Issue 4, points 6 and 7: a withdrawn key stops working within seconds for callers that are
-- connected, on every entry; racing edits; a departing database gets nothing new; no key leaks.

local cluster = require "cluster"

local TEAM = "visitors"

local c = cluster.start{ deployment = "sevadar" }
c:wait_served(1, "pledges", "nairobi-sangat",
	      "CREATE TABLE IF NOT EXISTS pledges(id text primary key, family text, meals int)")

local sessions = {}
for i = 1, #c.vms do
	sessions[i] = c:connect(i, "roster", TEAM)
	assert(sessions[i]:exec("SELECT 1").ok)
end

-- Withdraw the key of the team, with the platform cut off from everybody right afterwards.
for _, team in ipairs(c.routes.teams) do
	if team.name == TEAM then team.key_digests = {} end
end
local status, lines = c:apply(c.routes, c.pools, { "--wait" })
assert(status == 0, table.concat(lines, "\n"))
http("POST", c.url .. "/test/outage?mode=refuse")
for i = 1, #c.vms do
	wait_until("entry " .. i .. " to refuse the withdrawn key", function()
		return not sessions[i]:exec("SELECT 1").ok
	end)
	assert(not connect(c:dsn(i, "roster", TEAM)), "entry " .. i .. " accepts a withdrawn key")
	sessions[i]:close()
end
http("POST", c.url .. "/test/outage?mode=up")

-- Operators race each other: exactly one of the edits with the same base is taken.
local bases = 0
local results = {}
local fibers = {}
for n = 1, 4 do
	fibers[n] = go(function()
		results[n] = c:apply(c.routes, c.pools, { "--base", "2" })
	end)
end
for _, fiber in ipairs(fibers) do join(fiber) end
local taken, conflicts = 0, 0
for _, result in ipairs(results) do
	if result == 0 then taken = taken + 1 end
	if result == 3 then conflicts = conflicts + 1 end
end
assert(taken == 1 and conflicts == 3, taken .. " edits taken, " .. conflicts .. " conflicts")

-- An edit whose answer is lost is resolved by reading back.
http("POST", c.url .. "/test/lose?count=1")
status, lines = c:apply(c.routes, c.pools)
assert(status == 0, "an edit whose answer was lost: " .. table.concat(lines, "\n"))

-- Findings are reported together, each with its place, and nothing is taken.
local bad = json_decode(json_encode(c.routes))
bad.routes[1].group = "no-such-group"
bad.routes[2].deadline_ms = -5
status, lines = c:apply(bad, c.pools)
local text = table.concat(lines, "\n")
assert(status == 2 and text:find("routes%[0%]") and text:find("routes%[1%]"), text)

-- A departing database gets no new statements.
local leaving = c.pools.groups[1].databases[2]
leaving.departing = true
status, lines = c:apply(c.routes, c.pools, { "--wait" })
assert(status == 0, table.concat(lines, "\n"))
sleep(3000)
local function statements(name)
	local r = c:database_exec(name, "SELECT standin_get('statements')")
	assert(r.ok, r.message)
	return tonumber(r.rows[1][1])
end
local before = statements(leaving.name)
for i = 1, #c.vms do
	local s = c:connect(i, "roster", "nairobi-sangat")
	for _ = 1, 20 do s:exec("SELECT count(*) FROM pledges") end
	s:close()
end
assert(statements(leaving.name) - before <= 1, "a departing database got new statements")

-- Once the tables have a team of operators, the virtual database is open to it alone.
assert(c:run_operator_command("show", "sessions") == 0, "any team may look while there are no operators")
c.routes.teams[#c.routes.teams + 1] = { name = "operators", rate = 10, burst = 10, weight = 1,
					key_digests = { sha256("key-of-operators") } }
assert(c:apply(c.routes, c.pools) == 0)
local operators = (c:dsn(1, "jasminehill", "granthis"):gsub("granthis", "operators"))
wait_until("the operators' team", function() return connect(operators) end)
assert(not connect(c:dsn(1, "jasminehill", "granthis")), "another team sees the sessions")

-- No key in any log line or table of any process.
for _, team in ipairs(c.plan.teams) do
	for _, vm in ipairs(c.vms) do
		assert(vm.process:count(team.key:gsub("%-", "%%-")) == 0, "a key stands in a log")
	end
	for name, database in pairs(c.databases) do
		assert(database.process:count(team.key:gsub("%-", "%%-")) == 0,
		       "a key reached " .. name)
	end
	local _, row = http("GET", c.url .. "/tables/config/current")
	assert(not row:find(team.key, 1, true), "a key stands in the tables")
end
print("keys and configuration: withdrawn in time, 1 of 4 racing edits taken, findings with places")
