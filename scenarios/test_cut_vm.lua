-- Two VMs lose their path to the platform: connections of one are refused, requests of the other get
-- no response. A withdrawn key stops working on both, because peers announce the new version of the
-- tables, and the report lists the responses of one of them after it died (issue 4, points 6, 7
-- and 9).

local cluster = require "cluster"

local WITHDRAWN_TEAM, TEAM, CUT_VMS = "visitors", "nairobi-sangat", { 3, 5 }

local c = cluster.start{ deployment = "sevadar", relayed_vms = CUT_VMS }
c:wait_served(1, "pledges", TEAM, "CREATE TABLE IF NOT EXISTS t(a int)")
c:wait_served(1, "deliveries", TEAM, "CREATE TABLE IF NOT EXISTS u(a int)")
local sessions = {}
for _, i in ipairs(CUT_VMS) do
	c:wait_served(i, "roster", WITHDRAWN_TEAM, "SELECT count(*) FROM t")
	sessions[i] = c:connect(i, "roster", WITHDRAWN_TEAM)
	assert(sessions[i]:exec("SELECT count(*) FROM t").ok)
end
c.vms[3].platform_relay:signal("KILL")
c.vms[5].platform_relay:signal("STOP")

for _, team in ipairs(c.routes.teams) do
	if team.name == WITHDRAWN_TEAM then team.key_digests = {} end
end
local started = now()
local status, lines = c:apply(c.routes, c.pools)
assert(status == 0, table.concat(lines, "\n"))
for _, i in ipairs(CUT_VMS) do
	wait_until("VM " .. i .. " to refuse the withdrawn key", function()
		return not sessions[i]:exec("SELECT count(*) FROM t").ok
	end)
	sessions[i]:close()
	assert(c.vms[i].process:count("event=in_force version=2 .*from=vm%-") == 1,
	       "VM " .. i .. " did not get the version from a peer")
end
local took_ms = (now() - started) // 1000

local response_count = 0
local s = c:connect(3, "stock", TEAM)
for _ = 1, 200 do
	if s:exec("SELECT count(*) FROM u").ok then response_count = response_count + 1 end
end
s:close()
assert(response_count > 0, "the VM without a path to the platform served no statement")
-- The backup VM of VM 3 stores the record lines of VM 3 once this backup VM reaches the platform.
-- VM 5 may be the backup VM, so its relay is resumed.
c.vms[3].process:signal("KILL")
sleep(5000)
c.vms[5].platform_relay:signal("CONT")
wait_until("the responses of the dead VM in the report", function()
	local _, report_lines = c:run_operator_command("report", "--csv", "--route", "stock",
						 "--team", TEAM)
	local reported = 0
	for _, line in ipairs(report_lines) do
		if line:find(",done,.*,vm%-3,") then reported = reported + 1 end
	end
	return reported == response_count
end)
print(string.format("cut VMs: the key was refused after %d ms, %d responses of a dead VM reported",
		    took_ms, response_count))
