-- Starts a deployment on 127.0.0.1: the platform stand-in, three groups of three stand-in databases,
-- and by default seven daemons in three data centres.

local deployment = require "deployment"

local cluster = {}
cluster.__index = cluster

local BIN_FOLDER = os.getenv("JH_BIN") or "build/bin"
local VM_COUNT = 7

local function random_hex_key()
	local file = io.open("/dev/urandom", "rb")
	local bytes = file:read(32)
	file:close()
	return (bytes:gsub(".", function(c) return string.format("%02x", c:byte()) end))
end

-- Calls @check every 20 ms until it returns a true value, and returns this value. Raises an error
-- that names @what after 60 s.
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
		args = { BIN_FOLDER .. "/standin_platform", "--listen", "127.0.0.1:0" } }
	self.platform_port = self.platform:expect("listening port=(%d+)")
	self.url = "http://127.0.0.1:" .. self.platform_port
end

-- Command line of a stand-in database; the member's index is that of its data centre in the plan.
function cluster:database_args(group_index, member_index)
	local plan, ports = self.plan, self.ports
	local group = plan.group_prefix .. group_index
	local members = {}
	for j, dc in ipairs(plan.dcs) do
		members[j] = string.format("%s-%s=127.0.0.1:%d", group, dc, ports[group_index][j])
	end
	return { BIN_FOLDER .. "/standin_database",
		 "--listen", "127.0.0.1:" .. ports[group_index][member_index],
		 "--member", group .. "-" .. plan.dcs[member_index],
		 "--group-members", table.concat(members, ","),
		 "--initial-primary", group .. "-" .. plan.dcs[1],
		 "--slots", plan.slots, "--connections", plan.connections,
		 "--lag-ms", self.options.lag_ms or 0, "--open-ms", self.options.open_ms or 10,
		 "--delay-ms", self.options.delay_ms or 0 }
end

function cluster:start_database(group_index, member_index)
	local name = self.plan.group_prefix .. group_index .. "-" .. self.plan.dcs[member_index]
	local process = spawn{ name = name, args = self:database_args(group_index, member_index) }
	process:expect("listening port=")
	self.databases[name] = { process = process, port = self.ports[group_index][member_index],
				 name = name,
				 group = self.plan.group_prefix .. group_index }
	return self.databases[name]
end

function cluster:start_databases()
	self.ports, self.databases = {}, {}
	for group_index = 1, 3 do
		self.ports[group_index] = { free_port(), free_port(), free_port() }
	end
	for group_index = 1, 3 do
		for member_index = 1, 3 do self:start_database(group_index, member_index) end
	end
end

-- Replaces the platform's list of VMs: [{name, dc, host, port, state}]
function cluster:publish_vms()
	local list = {}
	for _, vm in ipairs(self.vms) do
		if vm.state ~= "gone" then
			list[#list + 1] = { name = vm.name, dc = vm.dc, host = "127.0.0.1",
					    port = vm.peer_port, state = vm.state }
		end
	end
	assert(http("PUT", self.url .. "/test/vms", json_encode(list)) == 200,
	       "the platform rejected the list of VMs")
end

function cluster:start_daemon(vm)
	vm.process = spawn{ name = vm.name,
		args = { BIN_FOLDER .. "/jasminehilld", "--vm", vm.name, "--dc", vm.dc,
			 "--listen", "127.0.0.1:" .. vm.port,
			 "--peer-listen", "127.0.0.1:" .. vm.peer_port,
			 "--platform", vm.platform_url or self.url,
			 "--record-limit", self.options.record_limit_mb or 64,
			 "--log-level", self.options.log_level or "info" },
		env = { "JASMINEHILL_CLUSTER_KEY=" .. self.cluster_key } }
	vm.process:expect("event=started")
	vm.state = "live"
end

-- Starts a relay between one VM and the platform. Killing the relay separates only this VM from the
-- platform.
function cluster:start_platform_relay(vm)
	vm.platform_relay = spawn{ name = "relay-" .. vm.name,
		args = { BIN_FOLDER .. "/standin_relay", "--listen", "127.0.0.1:0",
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
	for _, i in ipairs(self.options.relayed_vms or {}) do
		self:start_platform_relay(self.vms[i])
	end
	for _, vm in ipairs(self.vms) do self:start_daemon(vm) end
end

local function write_file(path, text)
	local file = assert(io.open(path, "w"))
	file:write(text)
	file:close()
end

-- Applies both tables with the operators' command. Returns its exit status and its output lines.
function cluster:apply(routes, pools, extra_args)
	local path_prefix = os.tmpname()
	write_file(path_prefix .. ".routes", json_encode(routes))
	write_file(path_prefix .. ".pools", json_encode(pools))
	local args = { BIN_FOLDER .. "/jasminehill", "apply", path_prefix .. ".routes",
		       path_prefix .. ".pools" }
	for _, a in ipairs(extra_args or {}) do args[#args + 1] = a end
	local process = spawn{ name = "apply", args = args, env = self:operator_env() }
	local status = process:wait()
	os.remove(path_prefix) os.remove(path_prefix .. ".routes") os.remove(path_prefix .. ".pools")
	return status, process:lines()
end

-- Environment of the operators' command. It lists only the entries of VMs whose process runs. Any
-- team's key opens an entry's virtual database.
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

-- Runs the operators' command with these arguments. Returns its exit status and its output lines.
function cluster:run_operator_command(...)
	local process = spawn{ name = "operator", args = { BIN_FOLDER .. "/jasminehill", ... },
			       env = self:operator_env() }
	local status = process:wait()
	return status, process:lines()
end

function cluster:key(team)
	for _, t in ipairs(self.plan.teams) do
		if t.name == team then return t.key end
	end
	error("the deployment has no team " .. team)
end

function cluster:dsn(vm, route, team, options)
	if type(vm) == "number" then vm = self.vms[vm] end
	local conninfo = string.format("host=127.0.0.1 port=%d user=%s password=%s dbname=%s",
				   vm.port, team, self:key(team), route)
	if options then conninfo = conninfo .. string.format(" options='%s'", options) end
	return conninfo
end

function cluster:connect(vm, route, team, options)
	return assert(connect(self:dsn(vm, route, team, options)))
end

-- Connection options that present a session token.
function cluster.token_option(token)
	return "-c jasminehill.session=" .. token
end

function cluster:database_dsn(name)
	return string.format("host=127.0.0.1 port=%d user=jasminehill dbname=%s",
			     self.databases[name].port, self.databases[name].group)
end

-- Runs one statement directly on a stand-in database, to inject a failure or to inspect its state.
function cluster:database_exec(name, sql)
	local s = assert(connect(self:database_dsn(name)))
	local result = s:exec(sql)
	s:close()
	return result
end

-- Returns the name of the member that reports to be the group's primary in the highest term, or nil.
-- Members whose process has ended, or that a scenario marked as stopped, are not asked.
function cluster:primary_of(group)
	local primary, primary_term
	for name, database in pairs(self.databases) do
		if database.group == group and not database.process:exited() and
		   not database.is_stopped then
			local r = self:database_exec(name, "SELECT * FROM group_status()")
			if r.ok and r.rows[1][3] == "primary" and
			   (not primary or tonumber(r.rows[1][4]) > primary_term) then
				primary, primary_term = name, tonumber(r.rows[1][4])
			end
		end
	end
	return primary
end

-- Waits until, by the logs of the running VMs, exactly one of them owns the database, and returns
-- that VM. A VM that has just started may briefly own databases of other VMs as well.
function cluster:owner_of(database)
	local owned_pattern = "event=owns .*database=" .. database:gsub("%-", "%%-")
	local disowned_pattern = owned_pattern:gsub("=owns", "=disowned")
	return wait_until("one owner of " .. database, function()
		local owner, owner_count = nil, 0
		for _, vm in ipairs(self.vms) do
			if not vm.process:exited() and
			   vm.process:count(owned_pattern) > vm.process:count(disowned_pattern) then
				owner, owner_count = vm, owner_count + 1
			end
		end
		return owner_count == 1 and owner
	end)
end

-- Waits until this VM serves the route, which means that the statement @sql succeeds on it.
function cluster:wait_served(vm, route, team, sql)
	return wait_until("route " .. route .. " on VM " .. tostring(vm), function()
		local s = connect(self:dsn(vm, route, team))
		if not s then return false end
		local r = s:exec(sql)
		s:close()
		return r.ok
	end)
end

-- Kills the daemons, the databases and the platform of this deployment.
function cluster:stop()
	for _, vm in ipairs(self.vms) do vm.process:signal("KILL") end
	for _, database in pairs(self.databases) do database.process:signal("KILL") end
	self.platform:signal("KILL")
end

-- Starts a deployment and applies its tables.
-- options: deployment ("sevadar" or "kaplanoglu"), vms (number of daemons), rate (replaces the rate
-- and the burst of every team), lag_ms, open_ms, delay_ms, log_level, record_limit_mb, relayed_vms
-- (numbers of the VMs that reach the platform through a relay of their own)
function cluster.start(options)
	local self = setmetatable({ options = options or {} }, cluster)
	self.plan = deployment[self.options.deployment or "sevadar"]
	self.cluster_key = random_hex_key()
	self:start_platform()
	self:start_databases()
	self.routes = deployment.routes_table(self.plan, self.options.rate)
	self.pools = deployment.pools_table(self.plan, self.ports)
	local status, lines = self:apply(self.routes, self.pools)
	if status ~= 0 then error("applying the tables failed: " .. table.concat(lines, "\n")) end
	self:start_daemons()
	return self
end

return cluster
