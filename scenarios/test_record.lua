-- The audit record has a line for every response that a caller got, also after a VM is killed during
-- an outage of the platform (issue 4, point 9).

local cluster = require "cluster"
local history = require "history"

local TEAMS = { "nairobi-sangat", "kisumu-sangat", "granthis" }

local c = cluster.start{ deployment = "sevadar" }
c:wait_served(1, "pledges", TEAMS[1], "CREATE TABLE IF NOT EXISTS t(a int)")

local response_counts = {}
local fibers = {}
for n = 1, 9 do
	fibers[n] = go(function()
		local team = TEAMS[n % #TEAMS + 1]
		for i = 1, 30 do
			local vm = c.vms[(n + i) % 6 + 1]
			local s = connect(c:dsn(vm, "roster", team))
			if s then
				if s:exec("SELECT count(*) FROM t").ok then
					response_counts[team] = (response_counts[team] or 0) + 1
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

-- Returns the number of reported responses by team, or nil and the output if the command failed.
local function read_report()
	local reported_counts = {}
	local status, lines = c:run_operator_command("report", "--csv", "--route", "roster")
	if status ~= 0 then return nil, table.concat(lines, "\n") end
	for _, line in ipairs(lines) do
		for _, team in ipairs(TEAMS) do
			if line:find(team, 1, true) and line:find("done", 1, true) then
				reported_counts[team] = (reported_counts[team] or 0) + 1
			end
		end
	end
	return reported_counts
end
wait_until("every response in the report", function()
	local reported_counts = read_report()
	if not reported_counts then return false end
	for _, team in ipairs(TEAMS) do
		if (reported_counts[team] or 0) < response_counts[team] then return false end
	end
	return true
end)
local reported_counts = read_report()
for _, team in ipairs(TEAMS) do
	print(string.format("record: team %s got %d responses, %d are reported", team,
			    response_counts[team], reported_counts[team]))
end
