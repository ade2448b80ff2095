-- Issue 4, point 6: an entry that reaches neither the platform nor half of its peers may have
-- missed the withdrawal of a key, and accepts none until it is heard of again. An outage of the
-- platform alone stops nobody.

local cluster = require "cluster"

local TEAM = "nairobi-sangat"

local c = cluster.start{ deployment = "sevadar" }
c:wait_served(1, "pledges", TEAM, "CREATE TABLE IF NOT EXISTS t(a int)")
local s = c:connect(1, "roster", TEAM)

http("POST", c.url .. "/test/outage?mode=refuse")
sleep(12000)
wait_until("a read in an outage of the platform", function()
	return s:exec("SELECT count(*) FROM t").ok
end)

for i = 2, #c.vms do c.vms[i].process:signal("STOP") end
wait_until("the entry that is cut off to refuse the key", function()
	local r = s:exec("SELECT count(*) FROM t")
	return not r.ok and (r.message or ""):find("cut off", 1, true)
end)
assert(c.vms[1].process:count("event=isolated") == 1, "isolation is not in the log")

for i = 2, #c.vms do c.vms[i].process:signal("CONT") end
http("POST", c.url .. "/test/outage?mode=up")
s:close()
c:wait_served(1, "roster", TEAM, "SELECT count(*) FROM t")
print("isolated: refused while cut off, served through an outage and after it")
