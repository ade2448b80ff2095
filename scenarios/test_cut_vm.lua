-- Issue 4, points 6, 7 and 9: two VMs lose their path to the platform, one refused and one without
-- any answer. A withdrawn key stops working there all the same, as peers pass the version on, and
-- what they answered is in the report after one of them is lost.

local cluster = require "cluster"

local GONE, TEAM, CUT = "visitors", "nairobi-sangat", { 3, 5 }

local c = cluster.start{ deployment = "sevadar", relayed_vms = CUT }
c:wait_served(1, "pledges", TEAM, "CREATE TABLE IF NOT EXISTS t(a int)")
c:wait_served(1, "deliveries", TEAM, "CREATE TABLE IF NOT EXISTS u(a int)")
local sessions = {}
for _, i in ipairs(CUT) do
	c:wait_served(i, "roster", GONE, "SELECT count(*) FROM t")
	sessions[i] = c:connect(i, "roster", GONE)
	assert(sessions[i]:exec("SELECT count(*) FROM t").ok)
end
c.vms[3].platform_relay:signal("KILL")
c.vms[5].platform_relay:signal("STOP")

for _, team in ipairs(c.routes.teams) do
	if team.name == GONE then team.key_digests = {} end
end
local started = now()
local status, lines = c:apply(c.routes, c.pools)
assert(status == 0, table.concat(lines, "\n"))
for _, i in ipairs(CUT) do
	wait_until("VM " .. i .. " to refuse the withdrawn key", function()
		return not sessions[i]:exec("SELECT count(*) FROM t").ok
	end)
	sessions[i]:close()
	assert(c.vms[i].process:count("event=in_force version=2 .*from=vm%-") == 1,
	       "VM " .. i .. " did not learn the version from a peer")
end
local took_ms = (now() - started) // 1000

local answered = 0
local s = c:connect(3, "stock", TEAM)
for _ = 1, 200 do
	if s:exec("SELECT count(*) FROM u").ok then answered = answered + 1 end
end
s:close()
assert(answered > 0, "the VM that is cut off from the platform answers nothing")
-- Whoever holds the lines of VM 3 stores them once it reaches the platform: it may be VM 5.
c.vms[3].process:signal("KILL")
sleep(5000)
c.vms[5].platform_relay:signal("CONT")
wait_until("the answers of the lost VM in the report", function()
	local _, rows = c:run_operator_command("report", "--csv", "--route", "stock", "--team", TEAM)
	local reported = 0
	for _, line in ipairs(rows) do
		if line:find(",done,.*,vm%-3,") then reported = reported + 1 end
	end
	return reported == answered
end)
print(string.format("cut VMs: the key stopped after %d ms, %d answers of a lost VM reported",
		    took_ms, answered))
