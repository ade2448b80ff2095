-- Issue 4, point 5: no slot of the teams' rates is owned twice, and all come into use again, while
-- VMs are killed and started again, leave gracefully, and end for good.

local cluster = require "cluster"

local SLOTS, TEAM = 840, "nairobi-sangat"

local c = cluster.start{ deployment = "sevadar" }

-- Slots that the VM itself uses, by its own count.
local function used(vm)
	local s = connect(c:dsn(vm, "jasminehill", TEAM))
	if not s then return 0 end
	local r = s:exec("SHOW counters")
	s:close()
	for _, row in ipairs(r.ok and r.rows or {}) do
		if row[1] == "jasminehill_quota_slots" then return tonumber(row[2]) end
	end
	return 0
end

local function spread_over(count)
	return function()
		local sum, live = 0, 0
		for i, vm in ipairs(c.vms) do
			local slots = vm.gone and 0 or used(i)
			sum = sum + slots
			if slots >= SLOTS // count then live = live + 1 end
		end
		return sum == SLOTS and live == count
	end
end

wait_until("all slots in use by 7 VMs", spread_over(7))

c.vms[2].process:signal("KILL")
c.vms[2].process:wait()
c.vms[2].gone = true
sleep(500)
c:start_daemon(c.vms[2])
c.vms[2].gone = false
wait_until("the restarted VM uses its slots again", spread_over(7))

for _, i in ipairs{ 3, 5 } do
	c.vms[i].gone = true
	c.vms[i].process:signal("TERM")
	assert(c.vms[i].process:wait() == 0, c.vms[i].name .. " did not leave gracefully")
end
wait_until("the slots of two that left are in use by 5 VMs", spread_over(5))

c:start_daemon(c.vms[3])
c.vms[3].gone = false
wait_until("a VM that came gets its part", spread_over(6))
print("slots: 7 VMs, one killed and restarted, two left, one came back; none owned twice")
