-- The graceful shutdown of a VM aborts no request that has started, also if the VM owns databases
-- and the platform's list still shows it as live (issue 4, point 8). A further SIGTERM changes
-- nothing: it must not cut off what the first one lets end.

local cluster = require "cluster"

local TEAM = "nairobi-sangat"

local c = cluster.start{ deployment = "sevadar" }
c:wait_served(1, "pledges", TEAM, "CREATE TABLE IF NOT EXISTS t(a int)")
for i = 1, #c.vms do c:wait_served(i, "roster", TEAM, "SELECT count(*) FROM t") end

local aborted, served = {}, 0
local stop = false
local fibers = {}
for n = 1, 8 do
	fibers[n] = go(function()
		local vm_index = n
		while not stop do
			local vm = c.vms[vm_index % #c.vms + 1]
			local s = not vm.is_stopping and connect(c:dsn(vm, "pledges", TEAM))
			while s and not stop do
				local r = s:exec("INSERT INTO t VALUES (" .. n .. ")")
				if r.ok then
					served = served + 1
				else
					-- A statement that has not started may be refused; one that has
					-- started must not be aborted.
					local is_allowed = r.code == "57P01" or
						(r.detail or ""):find("not run", 1, true)
					if not is_allowed then
						aborted[#aborted + 1] = (r.code or "-") .. " " .. r.message
					end
					break
				end
				sleep(5)
			end
			if s then s:close() end
			vm_index = vm_index + 1
			sleep(10)
		end
	end)
end
for i = 1, 4 do
	sleep(400)
	local vm = c.vms[i]
	vm.is_stopping = true
	vm.process:signal("TERM")
	sleep(20)
	vm.process:signal("TERM")
	local status = vm.process:wait()
	assert(status == 0, vm.name .. " ended with status " .. status)
end
sleep(400)
stop = true
for _, fiber in ipairs(fibers) do join(fiber) end
assert(#aborted == 0, #aborted .. " requests were aborted, first: " .. tostring(aborted[1]))
assert(served > 50, "only " .. served .. " requests were served")
print(string.format("drain: 4 of 7 VMs shut down, %d requests served, none aborted", served))
