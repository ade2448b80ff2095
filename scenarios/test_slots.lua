-- If two VMs used the same share unit of the teams' rates, teams would exceed their rates; if no VM
-- used it, teams would get less. After a VM is killed and restarted, VMs shut down gracefully and a
-- VM returns, each unit must be used by exactly one VM (issue 4, point 5).

local cluster = require "cluster"

local SHARE_UNITS, TEAM = 840, "nairobi-sangat"

local c = cluster.start{ deployment = "sevadar" }

-- Number of share units that a VM uses, from its counter; 0 if it is not reachable.
local function units_in_use(vm)
	local s = connect(c:dsn(vm, "jasminehill", TEAM))
	if not s then return 0 end
	local r = s:exec("SHOW counters")
	s:close()
	for _, row in ipairs(r.ok and r.rows or {}) do
		if row[1] == "jasminehill_quota_slots" then return tonumber(row[2]) end
	end
	return 0
end

-- Returns a condition: the units in use sum up to all, and @count VMs use at least their even share.
local function check_shared_by(count)
	return function()
		local unit_sum, sharing_vm_count = 0, 0
		for i, vm in ipairs(c.vms) do
			local units = vm.is_stopped and 0 or units_in_use(i)
			unit_sum = unit_sum + units
			if units >= SHARE_UNITS // count then sharing_vm_count = sharing_vm_count + 1 end
		end
		return unit_sum == SHARE_UNITS and sharing_vm_count == count
	end
end

wait_until("all share units in use by 7 VMs", check_shared_by(7))

c.vms[2].process:signal("KILL")
c.vms[2].process:wait()
c.vms[2].is_stopped = true
sleep(500)
c:start_daemon(c.vms[2])
c.vms[2].is_stopped = false
wait_until("the restarted VM to use its share units again", check_shared_by(7))

for _, i in ipairs{ 3, 5 } do
	c.vms[i].is_stopped = true
	c.vms[i].process:signal("TERM")
	assert(c.vms[i].process:wait() == 0, c.vms[i].name .. " did not shut down gracefully")
end
wait_until("all share units in use by the remaining 5 VMs", check_shared_by(5))

c:start_daemon(c.vms[3])
c.vms[3].is_stopped = false
wait_until("a VM that returned to get its share units", check_shared_by(6))
print("slots: 7 VMs, one killed and restarted, two shut down, one returned; no share unit used twice")
