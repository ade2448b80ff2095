-- Starts daemons of the profile "fleet" on 127.0.0.1, with the stand-in of the users' store.

require "cluster" -- wait_until()

local fleet = {}
fleet.__index = fleet

local BIN_FOLDER = os.getenv("JH_BIN") or "build/bin"
local CLUSTER_KEY = string.rep("5a", 32)

function fleet:put_row(tbl, key, value)
	assert(http("PUT", self.url .. "/test/row?table=" .. tbl .. "&key=" .. key, json_encode(value)) == 200,
	       "the store did not take the row " .. key)
end

-- Writes a configuration with one group, as the operator does.
function fleet:put_config(version)
	self:put_row("op", "config", { version = version, limits = { txIdleMs = 3000 },
		routes = { { host = "orders", service = "db", type = "primary", timeoutMs = 1000,
			     targetLatencyMs = 200 } },
		services = { { name = "db", maxConns = 8 } },
		tenants = { { name = "team-1", apiKeys = { "key-1" }, ratePerS = 100, burst = 100 } } })
end

-- Writes the registration of a member; @state is "ready" or "draining".
function fleet:put_member(id, state)
	self:put_row("servers", id, { service = "db", addr = "127.0.0.1:1", zone = "dc-1",
		version = "1", slots = 4, state = state, coldLeftMs = 0, seq = 1, dbRole = "replica",
		born = 1700000000000 })
end

function fleet:test(action)
	assert(http("POST", self.url .. "/test/" .. action) == 200, "the store did not " .. action)
end

-- Waits until each VM has logged a line that the Lua pattern matches.
function fleet:wait_for_lines(pattern)
	for i, vm in ipairs(self.vms) do
		wait_until("'" .. pattern .. "' of vm-" .. i, function() return vm:count(pattern) > 0 end)
	end
end

function fleet:start_vm(name, dc)
	return spawn{ name = name,
		args = { BIN_FOLDER .. "/jasminehilld", "--profile", "fleet", "--vm", name, "--dc", dc,
			 "--listen", "127.0.0.1:" .. free_port(),
			 "--ready-listen", "127.0.0.1:" .. free_port(),
			 "--peer-listen", "127.0.0.1:" .. free_port(),
			 "--platform", self.url, "--control", self.url, "--drain", 3000,
			 "--config-bound", 3000, "--member-drain", 7000 },
		env = { "JASMINEHILL_CLUSTER_KEY=" .. CLUSTER_KEY } }
end

-- Starts the store, with version 1 of the configuration, and @count VMs that have read it.
function fleet.start(count)
	local self = setmetatable({ vms = {} }, fleet)
	self.store = spawn{ name = "store", args = { BIN_FOLDER .. "/standin_rows" } }
	self.url = "http://127.0.0.1:" .. self.store:expect("listening port=(%d+)")
	self:put_config(1)
	for i = 1, count do self.vms[i] = self:start_vm("vm-" .. i, "dc-" .. (i - 1) % 3 + 1) end
	self:wait_for_lines("event=config_in_force version=1 ")
	self:wait_for_lines("event=authority_gained")
	return self
end

return fleet
