-- A randomized soak: sessions write and read through connections that they keep open until they
-- break, while faults from outside the processes come in series and overlap. The history of all
-- calls is checked at the end.

local cluster = require "cluster"
local clients = require "clients"
local history = require "history"

local soak = {}

local TEAM, ROUTE, GROUP = "nairobi-sangat", "pledges", "langar-db-1"
local DEFAULT_VMS = 7
local RELAYED_VMS = { 2, 4, 6 }

-- A session moves to another VM after this many rounds, with its token.
local ROUNDS_ON_A_VM = 40

local function pick(list) return list[math.random(#list)] end

-- Sleeps for a random time, milliseconds, but no longer than the soak lasts.
local function pause(run, from_ms, to_ms)
	local until_us = math.min(now() + math.random(from_ms, to_ms) * 1000, run.ends_us)
	while now() < until_us do sleep(20) end
end

-- ---- Sessions ----

local function call(run, session, vm, client, kind, key)
	local sql = kind == "write" and
		string.format("INSERT INTO log VALUES ('%s', '%s')", key, client) or
		string.format("SELECT key FROM log WHERE client = '%s'", client)
	local started = now()
	local result = session:exec(sql)
	local seen = {}
	for i, row in ipairs(kind == "read" and result.rows or {}) do seen[i] = row[1] end
	run.history:add{ client = client, team = TEAM, kind = kind, key = key, vm = vm.name,
			 started = started, ended = now(), result = result,
			 seen = result.ok and seen or {} }
	return result.ok
end

local function run_session(run, client)
	local c, token, count = run.cluster, nil, 0
	while now() < run.ends_us do
		local vm = pick(c.vms)
		local session = connect(c:dsn(vm, ROUTE, TEAM, token and c.token_option(token)))
		for _ = 1, session and ROUNDS_ON_A_VM or 0 do
			count = count + 1
			if not call(run, session, vm, client, "write", client .. "-" .. count) then
				break
			end
			token = session:param("jasminehill.session") or token
			if not call(run, session, vm, client, "read") or now() > run.ends_us then
				break
			end
			sleep(10)
		end
		if session then session:close() end
		sleep(20)
	end
end

-- ---- Faults ----

-- Calls @fault with a VM that no other fault holds; does nothing if there is none.
local function with_free_vm(run, fault)
	local free = {}
	for _, vm in ipairs(run.cluster.vms) do
		if not run.held[vm.name] then free[#free + 1] = vm end
	end
	if #free <= run.vms_left_alone then return end
	local vm = pick(free)
	run.held[vm.name] = true
	fault(vm)
	run.held[vm.name] = nil
end

-- Calls @fault with a member of the group while no other fault holds one: a majority stays.
local function with_free_member(run, fault)
	if run.held[GROUP] then return end
	run.held[GROUP] = true
	local names = {}
	for name, database in pairs(run.cluster.databases) do
		if database.group == GROUP then names[#names + 1] = name end
	end
	table.sort(names)
	fault(pick(names))
	run.held[GROUP] = nil
end

local function set_platform(run, command)
	http("POST", run.cluster.url .. "/test/" .. command)
end

local faults = {}

function faults.kill_vm(run)
	with_free_vm(run, function(vm)
		vm.process:signal("KILL")
		vm.process:wait()
		pause(run, 100, 2000)
		run.cluster:start_daemon(vm)
	end)
end

function faults.pause_vm(run)
	with_free_vm(run, function(vm)
		vm.process:signal("STOP")
		pause(run, 100, 3000)
		vm.process:signal("CONT")
	end)
end

function faults.restart_vm(run)
	with_free_vm(run, function(vm)
		vm.process:signal("TERM")
		vm.process:wait()
		run.cluster:start_daemon(vm)
	end)
end

function faults.pause_member(run)
	with_free_member(run, function(name)
		local database = run.cluster.databases[name]
		database.process:signal("STOP")
		database.is_stopped = true
		pause(run, 100, 3000)
		database.process:signal("CONT")
		database.is_stopped = false
	end)
end

function faults.isolate_member(run)
	with_free_member(run, function(name)
		local c, others = run.cluster, {}
		for other, database in pairs(c.databases) do
			if database.group == GROUP and other ~= name then
				others[#others + 1] = other
				c:database_exec(other, "SELECT standin_set('cut', '" .. name .. "')")
			end
		end
		c:database_exec(name, "SELECT standin_set('cut', '" ..
				      table.concat(others, ",") .. "')")
		pause(run, 300, 3000)
		others[#others + 1] = name
		for _, other in ipairs(others) do
			c:database_exec(other, "SELECT standin_set('cut', '')")
		end
	end)
end

function faults.platform_outage(run)
	if run.held.platform then return end
	run.held.platform = true
	set_platform(run, "outage?mode=" .. pick{ "refuse", "reset", "hang" })
	pause(run, 200, 3000)
	set_platform(run, "outage?mode=up")
	run.held.platform = nil
end

function faults.platform_loses_answers(run) set_platform(run, "lose?count=" .. math.random(3)) end

function faults.relay(run)
	local vm = run.cluster.vms[pick(RELAYED_VMS)]
	if run.held[vm] then return end
	run.held[vm] = true
	vm.platform_relay:signal("STOP")
	pause(run, 200, 3000)
	vm.platform_relay:signal("CONT")
	run.held[vm] = nil
end

function faults.apply_tables(run)
	local c = run.cluster
	if run.held.tables then return end
	run.held.tables = true
	for _, team in ipairs(c.routes.teams) do team.burst = 900 + math.random(100) end
	c:apply(c.routes, c.pools)
	run.held.tables = nil
end

-- The platform comes back from a copy that is some seconds old, as it does in a drill.
function faults.restore_store(run)
	if run.held.platform then return end
	run.held.platform = true
	set_platform(run, "copy")
	pause(run, 500, 4000)
	set_platform(run, "outage?mode=refuse")
	pause(run, 100, 1500)
	set_platform(run, "restore")
	set_platform(run, "outage?mode=up")
	run.held.platform = nil
end

local fault_names = {}
for name in pairs(faults) do fault_names[#fault_names + 1] = name end
table.sort(fault_names)

local function run_faults(run)
	while now() < run.ends_us - 1000000 do
		pause(run, 50, 800)
		local name = pick(fault_names)
		run.fault_counts[name] = (run.fault_counts[name] or 0) + 1
		faults[name](run)
	end
end

-- ---- A whole run ----

-- Runs one soak and raises an error if an invariant is violated.
-- options: seed, seconds, vms (default 7), sessions (default 8), fault_series (faults at the same
-- time, default 3)
function soak.run(options)
	local vms = options.vms or DEFAULT_VMS
	math.randomseed(options.seed)
	local run = { history = history.new(), held = {}, fault_counts = {}, vms_left_alone = 3 }
	run.cluster = cluster.start{ deployment = "sevadar", vms = vms, lag_ms = 50,
				     rate = 100000, relayed_vms = RELAYED_VMS }
	run.cluster:wait_served(1, ROUTE, TEAM, clients.CREATE_TABLE)
	run.ends_us = now() + options.seconds * 1000000
	local fibers = {}
	for i = 1, options.sessions or 8 do
		fibers[#fibers + 1] = go(function() run_session(run, "c" .. i) end)
	end
	for _ = 1, options.fault_series or 3 do
		fibers[#fibers + 1] = go(function() run_faults(run) end)
	end
	for _, fiber in ipairs(fibers) do join(fiber) end
	for i = 1, vms do
		run.cluster:wait_served(i, ROUTE, TEAM, "SELECT count(*) FROM log")
	end
	clients.record_final_keys(run.cluster, run.history, GROUP)
	local ok = run.history:count("kind = 'write' AND outcome = 'ok'")
	local counts = {}
	for _, name in ipairs(fault_names) do
		counts[#counts + 1] = name .. "=" .. (run.fault_counts[name] or 0)
	end
	print(string.format("soak seed %d: %d writes acknowledged, %d unknown, %d not run, %d reads; %s",
			    options.seed, ok, run.history:count("outcome = 'unknown'"),
			    run.history:count("outcome = 'not run'"),
			    run.history:count("kind = 'read' AND outcome = 'ok'"),
			    table.concat(counts, " ")))
	run.history:assert_no_violations()
	assert(ok > 50, "only " .. ok .. " writes were acknowledged")
	run.cluster:stop()
end

return soak
