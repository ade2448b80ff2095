-- Sessions that move between VMs read their own writes while replicas lag (issue 4, point 1). In each
-- round a session writes a key, then reads its keys on random VMs. Prints the share of the reads
-- that replicas serve.

local cluster = require "cluster"
local clients = require "clients"
local history = require "history"

local TEAM, GROUP = "nairobi-sangat", "langar-db-1"
local SESSION_COUNT, ROUNDS_PER_SESSION, READS_PER_ROUND, PAUSE_MS = 8, 6, 9, 10

local function read_counter(c, vm, name)
	local s = c:connect(vm, "jasminehill", TEAM)
	local rows = s:exec("SHOW counters").rows
	s:close()
	for _, row in ipairs(rows) do
		if row[1] == name then return tonumber(row[2]) end
	end
	return 0
end

local function counter_sum(c, name)
	local sum = 0
	for i = 1, #c.vms do sum = sum + read_counter(c, i, name) end
	return sum
end

local function add_call(h, client, kind, vm, key, started, r)
	local seen = {}
	for i, row in ipairs(kind == "read" and r.ok and r.rows or {}) do seen[i] = row[1] end
	h:add{ client = client, team = TEAM, kind = kind, key = key, vm = vm.name,
	       started = started, ended = now(), result = r, seen = seen }
end

local function run_session(c, h, client)
	local token
	local function run_statement(route, kind, key, sql)
		local vm = c.vms[math.random(#c.vms)]
		local s = c:connect(vm, route, TEAM, token and c.token_option(token))
		local started = now()
		local r = s:exec(sql)
		assert(r.ok, kind .. ": " .. tostring(r.message) .. " " .. tostring(r.hint))
		add_call(h, client, kind, vm, key, started, r)
		if kind == "write" then token = s:param("jasminehill.session") end
		s:close()
	end
	for round = 1, ROUNDS_PER_SESSION do
		local key = client .. "-" .. round
		run_statement("pledges", "write", key, string.format("INSERT INTO log VALUES ('%s', '%s')", key,
							   client))
		for _ = 1, READS_PER_ROUND do
			run_statement("roster", "read", nil,
			    string.format("SELECT key FROM log WHERE client = '%s'", client))
			sleep(PAUSE_MS)
		end
	end
end

local function run(lag_ms)
	local c = cluster.start{ deployment = "sevadar", lag_ms = lag_ms }
	c:wait_served(1, "pledges", TEAM, clients.CREATE_TABLE)
	local h, fibers = history.new(), {}
	local run_started = now()
	for n = 1, SESSION_COUNT do
		fibers[n] = go(function() run_session(c, h, "c" .. n) end)
	end
	for _, fiber in ipairs(fibers) do join(fiber) end
	local took = now() - run_started
	clients.record_final_keys(c, h, GROUP)
	h:assert_no_violations()
	local replica = counter_sum(c, "jasminehill_reads_replica_total")
	local primary = counter_sum(c, "jasminehill_reads_primary_total")
	assert(replica + primary == SESSION_COUNT * ROUNDS_PER_SESSION * READS_PER_ROUND,
	       replica .. " + " .. primary .. " reads were counted")
	print(string.format("lag %d ms: %d reads, %.1f%% by replicas, %d waited for a replica, " ..
			    "no violation, %.1f s", lag_ms, replica + primary,
			    100 * replica / (replica + primary),
			    counter_sum(c, "jasminehill_read_waits_total"), took / 1e6))
	c:stop()
	return replica / (replica + primary)
end

-- Without lag, nearly every read finds a replica that has applied the position it needs.
local share = run(0)
assert(share > 0.5, "replicas served only " .. share .. " of the reads")
run(50)
run(2000)
