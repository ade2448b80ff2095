-- Starts a whole deployment on 127.0.0.1: the platform stand-in, three groups of three stand-in
-- databases and seven daemons in three data centres.

local deployment = require "deployment"

local cluster = {}
cluster.__index = cluster

local BIN = os.getenv("JH_BIN") or "build/bin"
local VM_COUNT = 7

local function random_key()
	local file = io.open("/dev/urandom", "rb")
	local bytes = file:read(32)
	file:close()
	return (bytes:gsub(".", function(c) return string.format("%02x", c:byte()) end))
end

-- Repeat @check until it returns something true; the scenario's watchdog bounds the wait.
function wait_until(what, check)
	local started = now()
	while true do
		local value = check()
		if value then return value end
		if now() - started > 60 * 1000000 then error("timeout waiting for " .. what, 2) end
		sleep(20)
	end
end

function cluster:start_platform()
	self.platform = spawn{ name = "platform",
		args = { BIN .. "/standin_platform", "--listen", "127.0.0.1:0" } }
	self.platform_port = self.platform:expect("listening port=(%d+)")
	self.url = "http://127.0.0.1:" .. self.platform_port
end

function cluster:database_args(g, i)
	local plan, ports = self.plan, self.ports
	local group = plan.group_prefix .. g
	local members = {}
	for j, dc in ipairs(plan.dcs) do
		members[j] = string.format("%s-%s=127.0.0.1:%d", group, dc, ports[g][j])
	end
	return { BIN .. "/standin_database",
		 "--listen", "127.0.0.1:" .. ports[g][i],
		 "--member", group .. "-" .. plan.dcs[i],
		 "--group-members", table.concat(members, ","),
		 "--initial-primary", group .. "-" .. plan.dcs[1],
		 "--slots", plan.slots, "--connections", plan.connections,
		 "--lag-ms", self.options.lag_ms or 0, "--open-ms", self.options.open_ms or 10,
		 "--delay-ms", self.options.delay_ms or 0 }
end

function cluster:start_database(g, i)
	local name = self.plan.group_prefix .. g .. "-" .. self.plan.dcs[i]
	local process = spawn{ name = name, args = self:database_args(g, i) }
	process:expect("listening port=")
	self.databases[name] = { process = process, port = self.ports[g][i], name = name,
				 group = self.plan.group_prefix .. g }
	return self.databases[name]
end

function cluster:start_databases()
	self.ports, self.databases = {}, {}
	for g = 1, 3 do
		self.ports[g] = { free_port(), free_port(), free_port() }
	end
	for g = 1, 3 do
		for i = 1, 3 do self:start_database(g, i) end
	end
end

-- The platform's list: [{name, dc, host, port, state}]
function cluster:publish_vms()
	local list = {}
	for _, vm in ipairs(self.vms) do
		if vm.state ~= "gone" then
			list[#list + 1] = { name = vm.name, dc = vm.dc, host = "127.0.0.1",
					    port = vm.peer_port, state = vm.state }
		end
	end
	assert(http("PUT", self.url .. "/test/vms", json_encode(list)) == 200,
	       "the platform takes no list of VMs")
end

function cluster:start_daemon(vm)
	vm.process = spawn{ name = vm.name,
		args = { BIN .. "/jasminehilld", "--vm", vm.name, "--dc", vm.dc,
			 "--listen", "127.0.0.1:" .. vm.port,
			 "--peer-listen", "127.0.0.1:" .. vm.peer_port,
			 "--platform", vm.platform_url or self.url,
			 "--record-limit", self.options.record_limit_mb or 64,
			 "--log-level", self.options.log_level or "info" },
		env = { "JASMINEHILL_CLUSTER_KEY=" .. self.cluster_key } }
	vm.process:expect("event=started")
	vm.state = "live"
end

-- A relay of its own between a VM and the platform; killing it cuts the VM off.
function cluster:relay_platform(vm)
	vm.platform_relay = spawn{ name = "relay-" .. vm.name,
		args = { BIN .. "/standin_relay", "--listen", "127.0.0.1:0",
			 "--target", "127.0.0.1:" .. self.platform_port,
			 "--control", "127.0.0.1:0" } }
	vm.platform_url = "http://127.0.0.1:" ..
			  vm.platform_relay:expect("listening port=(%d+)")
end

function cluster:start_daemons()
	self.vms = {}
	for i = 1, self.options.vms or VM_COUNT do
		local dc = self.plan.dcs[(i - 1) % #self.plan.dcs + 1]
		self.vms[i] = { name = "vm-" .. i, dc = dc, port = free_port(),
				peer_port = free_port(), state = "live" }
	end
	self:publish_vms()
	for _, i in ipairs(self.options.relayed_platform or {}) do
		self:relay_platform(self.vms[i])
	end
	for _, vm in ipairs(self.vms) do self:start_daemon(vm) end
end

local function write_file(path, text)
	local file = assert(io.open(path, "w"))
	file:write(text)
	file:close()
end

-- Variables of the operators' command: any team's key opens an entry's virtual database.
function cluster:operator_env()
	local team, entries = self.plan.teams[1], {}
	for i, vm in ipairs(self.vms or {}) do entries[i] = "127.0.0.1:" .. vm.port end
	return { "JASMINEHILL_PLATFORM=" .. self.url, "JASMINEHILL_TEAM=" .. team.name,
		 "JASMINEHILL_KEY=" .. team.key,
		 "JASMINEHILL_ENTRY=" .. table.concat(entries, ",") }
end

-- Apply tables with the operators' command. Returns its exit status and output lines.
function cluster:apply(routes, pools, extra)
	local base = os.tmpname()
	write_file(base .. ".routes", json_encode(routes))
	write_file(base .. ".pools", json_encode(pools))
	local args = { BIN .. "/jasminehill", "apply", base .. ".routes", base .. ".pools" }
	for _, a in ipairs(extra or {}) do args[#args + 1] = a end
	local process = spawn{ name = "apply", args = args, env = self:operator_env() }
	local status = process:wait()
	os.remove(base) os.remove(base .. ".routes") os.remove(base .. ".pools")
	return status, process:lines()
end

-- What the operators' command finds in its environment; entries of live VMs only.
function cluster:operator_env()
	local entries = {}
	for _, vm in ipairs(self.vms or {}) do
		if not (vm.process and vm.process:exited()) then
			entries[#entries + 1] = "127.0.0.1:" .. vm.port
		end
	end
	return { "JASMINEHILL_PLATFORM=" .. self.url,
		 "JASMINEHILL_ENTRY=" .. table.concat(entries, ","),
		 "JASMINEHILL_TEAM=" .. self.plan.teams[1].name,
		 "JASMINEHILL_KEY=" .. self.plan.teams[1].key }
end

function cluster:operator(...)
	local process = spawn{ name = "operator", args = { BIN .. "/jasminehill", ... },
			       env = self:operator_env() }
	local status = process:wait()
	return status, process:lines()
end

function cluster:key(team)
	for _, t in ipairs(self.plan.teams) do
		if t.name == team then return t.key end
	end
	error("no team " .. team)
end

function cluster:dsn(vm, route, team, options)
	if type(vm) == "number" then vm = self.vms[vm] end
	local text = string.format("host=127.0.0.1 port=%d user=%s password=%s dbname=%s",
				   vm.port, team, self:key(team), route)
	if options then text = text .. string.format(" options='%s'", options) end
	return text
end

function cluster:connect(vm, route, team, options)
	return assert(connect(self:dsn(vm, route, team, options)))
end

-- Session options that present a token.
function cluster.token_option(token)
	return "-c jasminehill.session=" .. token
end

function cluster:database_dsn(name)
	return string.format("host=127.0.0.1 port=%d user=jasminehill dbname=%s",
			     self.databases[name].port, self.databases[name].group)
end

-- One statement straight to a stand-in database, for causing and looking at failures.
function cluster:on_database(name, sql)
	local s = assert(connect(self:database_dsn(name)))
	local result = s:exec(sql)
	s:close()
	return result
end

function cluster:primary_of(group)
	local best, best_term
	for name, database in pairs(self.databases) do
		if database.group == group and not database.process:exited() and not database.stopped then
			local r = self:on_database(name, "SELECT * FROM group_status()")
			if r.ok and r.rows[1][3] == "primary" and
			   (not best or tonumber(r.rows[1][4]) > best_term) then
				best, best_term = name, tonumber(r.rows[1][4])
			end
		end
	end
	return best
end

-- The VM that owns a database, once all agree. At its start a VM may own more for a moment.
function cluster:owner_of(database)
	local pattern = "event=owns .*database=" .. database:gsub("%-", "%%-")
	local ended = pattern:gsub("=owns", "=disowned")
	return wait_until("one owner of " .. database, function()
		local found, owners = nil, 0
		for _, vm in ipairs(self.vms) do
			if not vm.process:exited() and
			   vm.process:count(pattern) > vm.process:count(ended) then
				found, owners = vm, owners + 1
			end
		end
		return owners == 1 and found
	end)
end

-- A statement goes through: the route is served from this VM.
function cluster:wait_served(vm, route, team, sql)
	return wait_until("route " .. route .. " on VM " .. tostring(vm), function()
		local s = connect(self:dsn(vm, route, team))
		if not s then return false end
		local r = s:exec(sql)
		s:close()
		return r.ok
	end)
end

-- End every process of this deployment at once.
function cluster:stop()
	for _, vm in ipairs(self.vms) do vm.process:signal("KILL") end
	for _, database in pairs(self.databases) do database.process:signal("KILL") end
	self.platform:signal("KILL")
end

-- options: deployment ("sevadar" or "kaplanoglu"), vms, lag_ms, open_ms, delay_ms, log_level,
-- record_limit_mb, relayed_platform (numbers of VMs whose path to the platform can be cut)
function cluster.start(options)
	local self = setmetatable({ options = options or {} }, cluster)
	self.plan = deployment[self.options.deployment or "sevadar"]
	self.cluster_key = random_key()
	self:start_platform()
	self:start_databases()
	self.routes = deployment.routes_table(self.plan, self.options.rate)
	self.pools = deployment.pools_table(self.plan, self.ports)
	local status, lines = self:apply(self.routes, self.pools)
	if status ~= 0 then error("apply: " .. table.concat(lines, "\n")) end
	self:start_daemons()
	return self
end

return cluster
