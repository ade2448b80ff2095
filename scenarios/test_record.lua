-- Issue 4, point 9: the record names every answer that a caller got, after the loss of a VM and
-- through an outage of the platform.

local cluster = require "cluster"
local history = require "history"

local TEAMS = { "nairobi-sangat", "kisumu-sangat", "granthis" }

local c = cluster.start{ deployment = "sevadar" }
c:wait_served(1, "pledges", TEAMS[1], "CREATE TABLE IF NOT EXISTS t(a int)")

local answered = {}
local fibers = {}
for n = 1, 9 do
	fibers[n] = go(function()
		local team = TEAMS[n % #TEAMS + 1]
		for i = 1, 30 do
			local vm = c.vms[(n + i) % 6 + 1]
			local s = connect(c:dsn(vm, "roster", team))
			if s then
				if s:exec("SELECT count(*) FROM t").ok then
					answered[team] = (answered[team] or 0) + 1
				end
				s:close()
			end
			sleep(20)
		end
	end)
end
sleep(200)
http("POST", c.url .. "/test/outage?mode=refuse")
sleep(300)
c.vms[3].process:signal("KILL")
for _, fiber in ipairs(fibers) do join(fiber) end
http("POST", c.url .. "/test/outage?mode=up")

local function reported()
	local counts = {}
	local status, lines = c:run_operator_command("report", "--csv", "--route", "roster")
	if status ~= 0 then return nil, table.concat(lines, "\n") end
	for _, line in ipairs(lines) do
		for _, team in ipairs(TEAMS) do
			if line:find(team, 1, true) and line:find("done", 1, true) then
				counts[team] = (counts[team] or 0) + 1
			end
		end
	end
	return counts
end
wait_until("every answer in the report", function()
	local counts = reported()
	if not counts then return false end
	for _, team in ipairs(TEAMS) do
		if (counts[team] or 0) < answered[team] then return false end
	end
	return true
end)
local counts = reported()
for _, team in ipairs(TEAMS) do
	print(string.format("record: team %s got %d answers, %d are reported", team,
			    answered[team], counts[team]))
end
