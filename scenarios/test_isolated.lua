-- An entry that reaches neither the platform nor half of its peers may have missed the withdrawal of
-- a key, so it refuses all keys until it is connected again. An outage of the platform alone makes
-- no entry refuse callers (issue 4, point 6).

local cluster = require "cluster"

local TEAM = "nairobi-sangat"

local c = cluster.start{ deployment = "sevadar" }
c:wait_served(1, "pledges", TEAM, "CREATE TABLE IF NOT EXISTS t(a int)")
local s = c:connect(1, "roster", TEAM)

http("POST", c.url .. "/test/outage?mode=refuse")
sleep(12000)
wait_until("a read during an outage of the platform", function()
	return s:exec("SELECT count(*) FROM t").ok
end)

for i = 2, #c.vms do c.vms[i].process:signal("STOP") end
wait_until("the isolated entry to refuse the key", function()
	local r = s:exec("SELECT count(*) FROM t")
	return not r.ok and (r.message or ""):find("cut off", 1, true)
end)
assert(c.vms[1].process:count("event=isolated") == 1, "the log has no event of the isolation")

for i = 2, #c.vms do c.vms[i].process:signal("CONT") end
http("POST", c.url .. "/test/outage?mode=up")
s:close()
c:wait_served(1, "roster", TEAM, "SELECT count(*) FROM t")
print("isolated: refused while isolated, served during an outage and after it")
