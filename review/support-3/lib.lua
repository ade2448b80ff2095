-- Starts a small deployment on 127.0.0.1 with the commands of the deploy file: the store of
-- standin_rows, databases, and daemons of the profile "fleet". Used by the cases of review/11 to 15.

require "cluster" -- wait_until()
local wire = require "wire"

local lib = { wire = wire }
lib.__index = lib

lib.BIN = os.getenv("JH_BIN") or "target/bin"
lib.OWN_BIN = os.getenv("REVIEW_BIN") or "target/review-3"
lib.HAS_TROUBLE = os.getenv("TROUBLE") ~= "0"

local ZONES = { "bursa-a", "bursa-b", "bursa-c" }
local KEY = "3f1c0a7be2d94856a1f07c63b58de92410c7f6ab9d2e4538b6a1c05f7d38e942"

local record = assert(io.open(assert(os.getenv("RECORD"), "RECORD is not set"), "w"))
local began = now()

-- Writes a line to record.txt, with the time in milliseconds since the start.
function lib.note(format, ...)
	record:write(string.format("%8.1f ", (now() - began) / 1000), string.format(format, ...), "\n")
	record:flush()
end

-- Ends the case: @rule is what was broken, nil if the rule held.
function lib.finish(rule)
	lib.note(rule and "RULE BROKEN: %s" or "the rule held%s", rule or "")
	local file = assert(io.open(assert(os.getenv("RESULT")), "w"))
	file:write(rule and "broken\n" or "held\n")
	file:close()
	record:close()
	print(rule and "broken: " .. rule or "held")
end

function lib:put(tbl, key, value)
	assert(http("PUT", self.url .. "/test/row?table=" .. tbl .. "&key=" .. key, json_encode(value)) == 200)
end

function lib:test(action)
	local status, body = http("POST", self.url .. "/test/" .. action)
	assert(status == 200, "the stand-in did not " .. action)
	return body
end

-- The routes, limits and tenants of the small deployment's sheet, with one service.
function lib:put_config(version, options)
	options = options or {}
	local services = { { name = "db", maxConns = options.connections or 30,
			     syncReplicas = options.sync_replicas or 0 } }
	for _, name in ipairs(options.others or {}) do
		services[#services + 1] = { name = name, maxConns = 30, syncReplicas = options.sync_replicas or 0 }
	end
	self:put("op", "config", { version = version, limits = { txIdleMs = 3000 },
		routes = {
			{ host = "winder", service = "db", type = "primary", timeoutMs = 800,
			  targetLatencyMs = 120, priority = 1, isPublic = false },
			{ host = "portal", service = "db", type = "bounded", timeoutMs = 1500,
			  targetLatencyMs = 400, maxStalenessMs = 1500, priority = 2, isPublic = false },
			{ host = "ledger", service = "db", type = "own", timeoutMs = 800,
			  targetLatencyMs = 200, maxStalenessMs = 2500, priority = 2, isPublic = false } },
		services = services,
		tenants = { { name = "tenant-1", apiKeys = { "key-1" }, ratePerS = 119, burst = 119 } } })
end

function lib:start_store()
	self.store = spawn{ name = "store", args = { lib.BIN .. "/standin_rows" } }
	self.port = tonumber((self.store:expect("listening port=(%d+)")))
	self.url = "http://127.0.0.1:" .. self.port
end

-- Starts the daemon of @vm with the command of the deploy file.
function lib:start_daemon(vm)
	vm.process = spawn{ name = vm.name,
		args = { lib.BIN .. "/jasminehilld", "--profile", "fleet", "--vm", vm.name, "--dc", vm.zone,
			 "--listen", "127.0.0.1:" .. vm.port, "--ready-listen", "127.0.0.1:" .. vm.ready_port,
			 "--peer-listen", "127.0.0.1:" .. vm.peer_port, "--platform", vm.platform or self.url,
			 "--control", vm.control or self.control or self.url, "--drain", "6s",
			 "--config-bound", "3000", "--member-drain", "7000", "--cpu-share", "0.25",
			 "--link-mbps", "1000" },
		env = { "JASMINEHILL_DC_REGIONS=" .. ZONES[1] .. "=bursa," .. ZONES[2] .. "=bursa," ..
				ZONES[3] .. "=bursa",
			"JASMINEHILL_DC_DRAIN_BOUND=5000", "JASMINEHILL_COLD_EXCESS=1", "JASMINEHILL_COLD_SLACK=0",
			"JASMINEHILL_CLUSTER_KEY=" .. KEY } }
end

-- Starts the network between at most @count machines and the store.
function lib:start_network(count)
	self.command_port = free_port()
	local control = tonumber((self.control or self.url):match(":(%d+)$"))
	self.network = spawn{ name = "network", args = { lib.OWN_BIN .. "/network", "--store", self.port,
		"--control", control, "--commands", self.command_port, "--vms", count } }
	self.network_ports = {}
	for i = 1, count do
		local store, promotions = self.network:expect("vm%-" .. i .. " store=(%d+) control=(%d+)")
		self.network_ports[i] = { store = store, control = promotions }
	end
	self.network:expect("listening port=")
end

-- Sends a command to the network, see network.c.
function lib:command(text)
	lib.note("network: %s", text)
	assert(raw(self.command_port, text .. "\n", 200):match("^ok"), "the network did not take " .. text)
end

function lib:add_vm(options)
	local vm = options or {}
	local i = #self.vms + 1
	vm.name = "vm-" .. i
	vm.zone = vm.zone or ZONES[(i - 1) % 3 + 1]
	vm.port, vm.ready_port = free_port(), free_port()
	vm.peer_port = vm.peer_port or free_port()
	if self.network then
		vm.platform = "http://127.0.0.1:" .. self.network_ports[i].store
		vm.control = "http://127.0.0.1:" .. self.network_ports[i].control
		self:command("peer " .. vm.name .. " " .. vm.peer_port)
	end
	self.vms[i] = vm
	self:start_daemon(vm)
	return vm
end

function lib:wait_ready(vms)
	for _, vm in ipairs(vms or self.vms) do
		wait_until(vm.name .. " to be ready", function()
			return http("GET", "http://127.0.0.1:" .. vm.ready_port .. "/v1/readyz") == 200
		end)
	end
end

function lib.new()
	return setmetatable({ vms = {}, members = {} }, lib)
end

-- Opens a session and notes it.
function lib.open(vm, database)
	local session, reason = wire.open(vm.port, database, "key-1")
	lib.note("client: START %s at %s: %s", database, vm.name, session and "READY" or tostring(reason))
	return session
end

-- Runs a statement and notes it. Returns the result; nil in place of a broken session.
function lib.run(session, vm, id, text)
	local result = session:query(id, text)
	lib.note("client: %s %s at %s: %s row=%s signature=%s", id, text, vm.name,
		 result.ok and "DONE" or "ERR " .. tostring(result.code or result.reason),
		 tostring(result.rows[1]), tostring(result.signature))
	return result
end

return lib
