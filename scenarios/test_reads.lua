-- Issue 4, point 1: roaming sessions read their own writes while replicas lag, and the share of
-- reads that replicas serve. Each session writes a key, then reads its keys on random VMs.

local cluster = require "cluster"
local clients = require "clients"
local history = require "history"

local TEAM, GROUP = "nairobi-sangat", "langar-db-1"
local SESSIONS, ROUNDS, READS, PAUSE_MS = 8, 6, 9, 10

local function counter(c, vm, name)
	local s = c:connect(vm, "jasminehill", TEAM)
	local rows = s:exec("SHOW counters").rows
	s:close()
	for _, row in ipairs(rows) do
		if row[1] == name then return tonumber(row[2]) end
	end
	return 0
end

local function total(c, name)
	local sum = 0
	for i = 1, #c.vms do sum = sum + counter(c, i, name) end
	return sum
end

local function record(h, client, kind, vm, key, started, r)
	local seen = {}
	for i, row in ipairs(kind == "read" and r.ok and r.rows or {}) do seen[i] = row[1] end
	h:add{ client = client, team = TEAM, kind = kind, key = key, vm = vm.name,
	       started = started, ended = now(), result = r, seen = seen }
end

local function session(c, h, client)
	local token
	local function ask(route, kind, key, sql)
		local vm = c.vms[math.random(#c.vms)]
		local s = c:connect(vm, route, TEAM, token and c.token_option(token))
		local started = now()
		local r = s:exec(sql)
		assert(r.ok, kind .. ": " .. tostring(r.message) .. " " .. tostring(r.hint))
		record(h, client, kind, vm, key, started, r)
		if kind == "write" then token = s:param("jasminehill.session") end
		s:close()
	end
	for round = 1, ROUNDS do
		local key = client .. "-" .. round
		ask("pledges", "write", key, string.format("INSERT INTO log VALUES ('%s', '%s')", key,
							   client))
		for _ = 1, READS do
			ask("roster", "read", nil,
			    string.format("SELECT key FROM log WHERE client = '%s'", client))
			sleep(PAUSE_MS)
		end
	end
end

local function run(lag_ms)
	local c = cluster.start{ deployment = "sevadar", lag_ms = lag_ms }
	c:wait_served(1, "pledges", TEAM, clients.CREATE_TABLE)
	local h, fibers = history.new(), {}
	local began = now()
	for n = 1, SESSIONS do
		fibers[n] = go(function() session(c, h, "c" .. n) end)
	end
	for _, fiber in ipairs(fibers) do join(fiber) end
	local took = now() - began
	clients.record_final_keys(c, h, GROUP)
	h:assert_no_violations()
	local replica = total(c, "jasminehill_reads_replica_total")
	local primary = total(c, "jasminehill_reads_primary_total")
	assert(replica + primary == SESSIONS * ROUNDS * READS,
	       replica .. " + " .. primary .. " reads were counted")
	print(string.format("lag %d ms: %d reads, %.1f%% by replicas, %d waited for a replica, " ..
			    "no violation, %.1f s", lag_ms, replica + primary,
			    100 * replica / (replica + primary),
			    total(c, "jasminehill_read_waits_total"), took / 1e6))
	c:stop()
	return replica / (replica + primary)
end

-- Without lag nearly every read finds a replica that covers it.
local share = run(0)
assert(share > 0.5, "replicas served only " .. share .. " of the reads")
run(50)
run(2000)
