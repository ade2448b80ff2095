-- The VM that owns a group's primary is frozen under load and resumes after its roles have moved to
-- other VMs. Sessions continue on other VMs, no acknowledged write is lost, and none runs twice
-- (issue 4, points 3 and 8).

local cluster = require "cluster"
local clients = require "clients"

local TEAM = "nairobi-sangat"
local GROUP = "langar-db-1"

local c = cluster.start{ deployment = "sevadar", lag_ms = 100, rate = 100000 }
c:wait_served(1, "pledges", TEAM, clients.CREATE_TABLE)
for i = 1, #c.vms do c:wait_served(i, "roster", TEAM, "SELECT count(*) FROM log") end
local owner = c:owner_of(c:primary_of(GROUP))

local h = clients.run_sessions(c, 8, { team = TEAM, route_write = "pledges", route_read = "roster",
			      rounds = 80, pause_ms = 20 }, function()
	sleep(400)
	owner.is_avoided = true
	owner.process:signal("STOP")
	sleep(2500)
	owner.process:signal("CONT")
	sleep(300)
	owner.is_avoided = false
end)
clients.record_final_keys(c, h, GROUP)
h:assert_no_violations()
local ok = h:count("kind = 'write' AND outcome = 'ok'")
assert(ok > 200, "only " .. ok .. " writes succeeded")
print(string.format("frozen owner: %d writes acknowledged, %d unknown, %d not run, no violation", ok,
		    h:count("outcome = 'unknown'"), h:count("outcome = 'not run'")))
