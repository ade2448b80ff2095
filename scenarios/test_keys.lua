-- A withdrawn key stops working within seconds on every entry, also for connected callers. Of
-- concurrent changes of the tables one is accepted. A departing database gets no new statements. No
-- key appears in a log, a database or the tables (issue 4, points 6 and 7).

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

-- Withdraws the key of the team and makes the platform unreachable right after the change.
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

-- Of concurrent changes from the same base version exactly one is accepted.
local bases = 0
local statuses = {}
local fibers = {}
for n = 1, 4 do
	fibers[n] = go(function()
		statuses[n] = c:apply(c.routes, c.pools, { "--base", "2" })
	end)
end
for _, fiber in ipairs(fibers) do join(fiber) end
local accepted, conflicts = 0, 0
for _, exit_status in ipairs(statuses) do
	if exit_status == 0 then accepted = accepted + 1 end
	if exit_status == 3 then conflicts = conflicts + 1 end
end
assert(accepted == 1 and conflicts == 3, accepted .. " changes accepted, " .. conflicts .. " conflicts")

-- If the response to a change is lost, the command reads the tables back to find out its outcome.
http("POST", c.url .. "/test/lose?count=1")
status, lines = c:apply(c.routes, c.pools)
assert(status == 0, "a change whose response was lost: " .. table.concat(lines, "\n"))

-- All findings are reported together, each with its position, and the change is rejected.
local faulty_routes = json_decode(json_encode(c.routes))
faulty_routes.routes[1].group = "no-such-group"
faulty_routes.routes[2].deadline_ms = -5
status, lines = c:apply(faulty_routes, c.pools)
local text = table.concat(lines, "\n")
assert(status == 2 and text:find("routes%[0%]") and text:find("routes%[1%]"), text)

-- A departing database gets no new statements.
local departing_database = c.pools.groups[1].databases[2]
departing_database.departing = true
status, lines = c:apply(c.routes, c.pools, { "--wait" })
assert(status == 0, table.concat(lines, "\n"))
sleep(3000)
local function statement_count(name)
	local r = c:database_exec(name, "SELECT standin_get('statements')")
	assert(r.ok, r.message)
	return tonumber(r.rows[1][1])
end
local statements_before = statement_count(departing_database.name)
for i = 1, #c.vms do
	local s = c:connect(i, "roster", "nairobi-sangat")
	for _ = 1, 20 do s:exec("SELECT count(*) FROM pledges") end
	s:close()
end
assert(statement_count(departing_database.name) - statements_before <= 1,
       "a departing database got new statements")

-- Once the tables have a team "operators", only this team may open the virtual database.
assert(c:run_operator_command("show", "sessions") == 0,
       "a team may not show sessions although there is no team of operators")
c.routes.teams[#c.routes.teams + 1] = { name = "operators", rate = 10, burst = 10, weight = 1,
					key_digests = { sha256("key-of-operators") } }
assert(c:apply(c.routes, c.pools) == 0)
local operators_dsn = (c:dsn(1, "jasminehill", "granthis"):gsub("granthis", "operators"))
wait_until("the operators' team", function() return connect(operators_dsn) end)
assert(not connect(c:dsn(1, "jasminehill", "granthis")), "another team can open the virtual database")

-- No key appears in the output of a daemon or a database, or in the tables.
for _, team in ipairs(c.plan.teams) do
	for _, vm in ipairs(c.vms) do
		assert(vm.process:count(team.key:gsub("%-", "%%-")) == 0, "a key appears in a log")
	end
	for name, database in pairs(c.databases) do
		assert(database.process:count(team.key:gsub("%-", "%%-")) == 0,
		       "a key appears in the output of " .. name)
	end
	local _, row = http("GET", c.url .. "/tables/config/current")
	assert(not row:find(team.key, 1, true), "a key appears in the tables")
end
print("keys and configuration: withdrawn in time, 1 of 4 changes accepted, findings have positions")
