-- Issue 4, point 8: a graceful shutdown cuts no request, also of a VM that owns databases, while
-- the platform's list lags.

local cluster = require "cluster"

local TEAM = "nairobi-sangat"

local c = cluster.start{ deployment = "sevadar" }
c:wait_served(1, "pledges", TEAM, "CREATE TABLE IF NOT EXISTS t(a int)")
for i = 1, #c.vms do c:wait_served(i, "roster", TEAM, "SELECT count(*) FROM t") end

local cut, served = {}, 0
local stop = false
local fibers = {}
for n = 1, 8 do
	fibers[n] = go(function()
		local at = n
		while not stop do
			local vm = c.vms[at % #c.vms + 1]
			local s = not vm.leaving and connect(c:dsn(vm, "pledges", TEAM))
			while s and not stop do
				local r = s:exec("INSERT INTO t VALUES (" .. n .. ")")
				if r.ok then
					served = served + 1
				else
					-- A statement that was not begun may be refused; one that was
					-- begun must not be cut.
					local gone = r.code == "57P01" or
						(r.detail or ""):find("not run", 1, true)
					if not gone then cut[#cut + 1] = (r.code or "-") .. " " .. r.message end
					break
				end
				sleep(5)
			end
			if s then s:close() end
			at = at + 1
			sleep(10)
		end
	end)
end
for i = 1, 4 do
	sleep(400)
	local vm = c.vms[i]
	vm.leaving = true
	vm.process:signal("TERM")
	local status = vm.process:wait()
	assert(status == 0, vm.name .. " ended with status " .. status)
end
sleep(400)
stop = true
for _, fiber in ipairs(fibers) do join(fiber) end
assert(#cut == 0, #cut .. " requests were cut, first: " .. tostring(cut[1]))
assert(served > 50, "only " .. served .. " requests were served")
print(string.format("drain: 4 of 7 VMs left, %d requests served, none cut", served))
