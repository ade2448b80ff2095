-- Starts daemons of the profile "fleet" on 127.0.0.1, with the stand-in of the users' platform.

require "cluster" -- wait_until()

local fleet = {}
fleet.__index = fleet

local BIN_FOLDER = os.getenv("JH_BIN") or "build/bin"
local CLUSTER_KEY = string.rep("5a", 32)

fleet.CONFIG_BOUND_MS = 3000
fleet.MEMBER_DRAIN_MS = 3000
fleet.GRACE_MS = 3000
fleet.DC_DRAIN_MS = 3000
fleet.COLD_EXCESS = 1.5
fleet.COLD_SLACK = 5

function fleet:put_row(tbl, key, value)
	assert(http("PUT", self.url .. "/test/row?table=" .. tbl .. "&key=" .. key, json_encode(value)) == 200,
	       "the store did not take the row " .. key)
end

function fleet.make_route(database, freshness)
	return { host = database, service = "db", type = freshness, timeoutMs = 1000, targetLatencyMs = 200,
		 maxStalenessMs = 1500, priority = 1 }
end

-- Writes a configuration with one group, as the operator does; @routes replaces the only route.
function fleet:put_config(version, routes)
	local tenants = { { name = "team-1", apiKeys = { "key-1" }, ratePerS = 5000, burst = 5000 } }
	for i = 2, self.teams do
		tenants[i] = { name = "team-" .. i, apiKeys = { "key-" .. i }, ratePerS = 10, burst = 10 }
	end
	self:put_row("op", "config", { version = version, limits = { txIdleMs = 3000 },
		routes = routes or { fleet.make_route("orders", "primary") },
		services = { { name = "db", maxConns = 24, coldPerS = self.cold_per_s,
			       syncReplicas = self.sync_replicas } },
		tenants = tenants })
end

-- Writes the registration of a member that doesn't exist; @state is "ready" or "draining".
function fleet:put_member(id, state)
	self:put_row("servers", id, { service = "db", addr = "127.0.0.1:1", zone = "dc-1",
		version = "1", slots = 4, state = state, coldLeftMs = 0, seq = 1, dbRole = "replica",
		born = 1700000000000 })
end

function fleet:test(action)
	local status, body = http("POST", self.url .. "/test/" .. action)
	assert(status == 200, "the platform did not " .. action)
	return body
end

-- Like test(), but returns false if the platform does not do it, for example as the member has left.
function fleet:try(action)
	return http("POST", self.url .. "/test/" .. action) == 200
end

-- Returns the name of the primary, nil if there is none at the moment.
function fleet:find_primary()
	local status, body = http("POST", self.url .. "/test/primary?service=db")
	return status == 200 and body or nil
end

-- Returns the VM that leads, by the newest line of any daemon's log; nil if none is known.
function fleet:find_leader()
	local newest, leader = "", nil
	for _, vm in ipairs(self.vms) do
		for _, line in ipairs(vm.process:lines()) do
			local stamp, holder = line:match("hlc=(%x+).*module=lead event=lead holder=([%w-]+)")
			if stamp and stamp > newest then newest, leader = stamp, holder end
		end
	end
	for _, vm in ipairs(self.vms) do
		if vm.name == leader then return vm end
	end
end

-- Starts a member in data centre @zone; with the option spread_members they are in three by turns.
function fleet:start_member(id, is_primary, zone)
	zone = zone or self.spread_members and "dc-" .. (tonumber(id:match("%d+")) - 1) % 3 + 1 or ""
	self:test("member?service=db&id=" .. id .. "&primary=" .. (is_primary and 1 or 0) .. "&zone=" .. zone)
end

local function from_hex(text)
	return (text:gsub("%x%x", function(digits) return string.char(tonumber(digits, 16)) end))
end

-- Returns what the members ran and committed. An element of "statements" has the id, the member, the
-- signature, the row, the text, the session's value "who" and the shape of the prepared statement.
function fleet:report()
	local status, body = http("GET", self.url .. "/test/report")
	assert(status == 200, "no report of the members")
	local report = json_decode(body)
	for _, statement in ipairs(report.statements) do
		for i = 4, 7 do statement[i] = from_hex(statement[i]) end
	end
	return report
end

-- Waits until each VM has logged a line that the Lua pattern matches.
function fleet:wait_for_lines(pattern)
	for i, vm in ipairs(self.vms) do
		wait_until("'" .. pattern .. "' of vm-" .. i,
			   function() return vm.process:count(pattern) > 0 end)
	end
end

-- Returns the lines of all VMs that the Lua pattern matches, in the order of their time stamps.
function fleet:find_lines(pattern)
	local found = {}
	for _, vm in ipairs(self.vms) do
		for _, line in ipairs(vm.process:lines()) do
			if line:match(pattern) then found[#found + 1] = line end
		end
	end
	table.sort(found, function(a, b) return (a:match("hlc=(%x+)") or "") < (b:match("hlc=(%x+)") or "") end)
	return table.concat(found, "\n")
end

-- Starts the daemon of a VM, for the first time or again.
function fleet:start_daemon(vm)
	vm.process = spawn{ name = vm.name,
		args = { BIN_FOLDER .. "/jasminehilld", "--profile", "fleet", "--vm", vm.name, "--dc", vm.dc,
			 "--listen", "127.0.0.1:" .. vm.port,
			 "--ready-listen", "127.0.0.1:" .. vm.ready_port,
			 "--peer-listen", "127.0.0.1:" .. vm.peer_port,
			 "--platform", vm.platform_url, "--control", self.url, "--drain", fleet.GRACE_MS,
			 "--config-bound", fleet.CONFIG_BOUND_MS, "--member-drain", fleet.MEMBER_DRAIN_MS,
			 "--dc-drain-bound", fleet.DC_DRAIN_MS,
			 "--cold-excess", fleet.COLD_EXCESS, "--cold-slack", fleet.COLD_SLACK },
		env = { "JASMINEHILL_CLUSTER_KEY=" .. CLUSTER_KEY } }
end

-- Starts a relay between a VM and the store, for faults of this VM's way to it.
function fleet:start_relay(vm)
	local relay = spawn{ name = "relay-" .. vm.name,
		args = { BIN_FOLDER .. "/standin_relay", "--listen", "127.0.0.1:0", "--target",
			 "127.0.0.1:" .. self.port, "--control", "127.0.0.1:0" } }
	local port, control = relay:expect("listening port=(%d+) control=(%d+)")
	vm.relay, vm.relay_control = relay, tonumber(control)
	vm.platform_url = "http://127.0.0.1:" .. port
end

function fleet:command_relay(vm, command)
	wait_until("the relay to " .. command, function()
		return raw(vm.relay_control, command .. "\n", 50):match("^ok")
	end)
end

-- Starts one more VM; with @is_relayed it reaches the store through a relay. Returns it.
function fleet:add_vm(is_relayed)
	local i = #self.vms + 1
	local vm = { name = "vm-" .. i, dc = "dc-" .. (i - 1) % 3 + 1, platform_url = self.url,
		     port = free_port(), ready_port = free_port(), peer_port = free_port() }
	if is_relayed then self:start_relay(vm) end
	self.vms[i] = vm
	self:start_daemon(vm)
	return vm
end

function fleet:stop()
	for _, vm in ipairs(self.vms) do vm.process:signal("TERM") end
	for _, vm in ipairs(self.vms) do vm.process:wait() end
	for _, vm in ipairs(self.vms) do
		if vm.relay then
			vm.relay:signal("TERM")
			vm.relay:wait()
		end
	end
	self.store:signal("TERM")
	self.store:wait()
end

-- Starts the platform, with version 1 of the configuration, and @count VMs that have read it.
-- options: routes of the configuration, members (number, default 0), zones (of the members), cold_per_s, relayed (the VMs reach the store
-- through relays), teams (number, default 1; only the first one sends requests), spread_members,
-- sync_replicas (replicas that must have received a commit before it is acknowledged)
function fleet.start(count, options)
	options = options or {}
	local self = setmetatable({ vms = {}, teams = options.teams or 1,
				    spread_members = options.spread_members,
				    cold_per_s = options.cold_per_s, sync_replicas = options.sync_replicas },
				  fleet)
	self.store = spawn{ name = "store", args = { BIN_FOLDER .. "/standin_rows" } }
	self.port = self.store:expect("listening port=(%d+)")
	self.url = "http://127.0.0.1:" .. self.port
	if self.sync_replicas then self:test("sync?count=" .. self.sync_replicas) end
	self:put_config(1, options.routes)
	local zones = options.zones or {}
	for i = 1, options.members or #zones do self:start_member("m-" .. i, i == 1, zones[i]) end
	for _ = 1, count do self:add_vm(options.relayed) end
	self:wait_for_lines("event=config_in_force version=1 ")
	self:wait_for_lines("event=authority_gained")
	return self
end

return fleet
