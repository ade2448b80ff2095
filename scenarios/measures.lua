-- make measures: measures four figures on the real binaries and the stand-ins: the share of reads
-- that replicas serve, the longest gap between writes, the served share of the worst-served team,
-- and wrongful refusals (of teams within their rates). It runs both deployments, without a failure
-- and with each failure; the baseline is a run with primary-only reads. Prints a table and writes
-- docs/measures.csv.

local cluster = require "cluster"

local SECONDS = tonumber(os.getenv("MEASURE_SECONDS") or 8)
local FAIL_AT_MS = 2500
-- Offered load, as a share of a team's rate. The greedy team sends several times its rate.
local LOAD_SHARE, GREEDY_LOAD_SHARE = 0.5, 4
local READ_SHARE = 0.85
local GREEDY_TEAM = "visitors"

local workloads = {
	sevadar = { write = "pledges", read = "roster", group = "langar-db-1" },
	kaplanoglu = { write = "orders", read = "order-status", group = "core-db-1" },
}

-- Each failure: its name, and a function(c, group) that causes it.
local failures = {
	{ "none", function() end },
	{ "platform down", function(c) http("POST", c.url .. "/test/outage?mode=refuse") end },
	{ "platform slow", function(c) http("POST", c.url .. "/test/slow?ms=500") end },
	{ "primary killed", function(c, group)
		c.databases[c.primary_name].process:signal("KILL")
	end },
	{ "primary killed, platform down", function(c, group)
		http("POST", c.url .. "/test/outage?mode=refuse")
		c.databases[c.primary_name].process:signal("KILL")
	end },
	{ "primary killed, platform slow", function(c, group)
		http("POST", c.url .. "/test/slow?ms=500")
		c.databases[c.primary_name].process:signal("KILL")
	end },
	{ "owner of the primary killed", function(c, group)
		c.owner_vm.process:signal("KILL")
	end },
	{ "replicas 2 s late", function(c, group)
		for name, database in pairs(c.databases) do
			if database.group == group then
				c:database_exec(name, "SELECT standin_set('lag_ms', '2000')")
			end
		end
	end },
}

-- Sum of a counter over all daemons that run.
local function counter_sum(c, name)
	local total = 0
	for _, vm in ipairs(c.vms) do
		if not vm.process:exited() then
			local s = connect(c:dsn(vm, "jasminehill", c.plan.teams[1].name))
			if s then
				local r = s:exec("SHOW counters")
				for _, row in ipairs(r.rows or {}) do
					if row[1] == name then total = total + tonumber(row[2]) end
				end
				s:close()
			end
		end
	end
	return total
end

-- Connection strings of all entries except @excluded_vm. Real callers change from a dead entry to the
-- next one. The load generator does not, so an entry that will be killed is excluded.
local function dsns(c, route, team, excluded_vm)
	local list = {}
	for _, vm in ipairs(c.vms) do
		if vm ~= excluded_vm then list[#list + 1] = c:dsn(vm, route, team) end
	end
	return list
end

-- Runs one deployment under load, causes the failure after FAIL_AT_MS, and returns the figures.
-- policy: "jasminehill" or "primary-only reads"
local function measure(deployment, failure, policy)
	local workload = workloads[deployment]
	local c = cluster.start{ deployment = deployment, lag_ms = 20, log_level = "info" }
	local first_team = c.plan.teams[1].name
	if policy == "primary-only reads" then
		-- No replica lags by 1 ms or less, so that every read goes to the primary.
		for _, r in ipairs(c.routes.routes) do
			if r.access == "read" then r.max_age_ms = 1 end
		end
		assert(c:apply(c.routes, c.pools, { "--wait" }) == 0)
	end
	c:wait_served(1, workload.write, first_team, "CREATE TABLE IF NOT EXISTS t(id text, n int)")
	for i = 1, #c.vms do c:wait_served(i, workload.read, first_team, "SELECT count(*) FROM t") end
	sleep(2000)
	c.primary_name = c:primary_of(workload.group)
	c.owner_vm = c:owner_of(c.primary_name)
	local excluded_vm = failure[1]:find("owner") and c.owner_vm or nil
	local replica_before = counter_sum(c, "jasminehill_reads_replica_total")
	local primary_before = counter_sum(c, "jasminehill_reads_primary_total")
	local results, fibers = {}, {}
	for _, team in ipairs(c.plan.teams) do
		local share = team.name == GREEDY_TEAM and GREEDY_LOAD_SHARE or LOAD_SHARE
		for _, kind in ipairs{ "read", "write" } do
			local rate = team.rate * share * (kind == "read" and READ_SHARE or 1 - READ_SHARE)
			local sql = kind == "read" and "SELECT n FROM t LIMIT 3" or
				    "INSERT INTO t VALUES ('{id}', 1)"
			fibers[#fibers + 1] = go(function()
				local r = load_run{ dsns = dsns(c, workload[kind], team.name, excluded_vm),
						    sql = sql, clients = 14, seconds = SECONDS,
						    rate = rate }
				results[#results + 1] = { team = team.name, kind = kind,
							  rate = rate, r = r }
			end)
		end
	end
	sleep(FAIL_AT_MS)
	failure[2](c, workload.group)
	for _, fiber in ipairs(fibers) do join(fiber) end
	local replica = counter_sum(c, "jasminehill_reads_replica_total") - replica_before
	local primary = counter_sum(c, "jasminehill_reads_primary_total") - primary_before
	local worst_served_team, worst_share, wrongful, write_gap_ms, served, worst_p99_us = "", 2, 0, 0, 0, 0
	local codes = {}
	local largest_write_load
	for _, run in ipairs(results) do
		served = served + run.r.ok
		if run.team ~= GREEDY_TEAM then
			local share = run.r.ok / (run.rate * SECONDS)
			if share < worst_share then worst_served_team, worst_share = run.team, share end
			wrongful = wrongful + run.r.failed
			worst_p99_us = math.max(worst_p99_us, run.r.p99_us)
			for code, n in pairs(run.r.codes) do codes[code] = (codes[code] or 0) + n end
			-- The load with the highest write rate measures the gap most precisely.
			if run.kind == "write" and
			   (not largest_write_load or run.rate > largest_write_load.rate) then
				largest_write_load = run
			end
		end
	end
	write_gap_ms = largest_write_load.r.gap_us / 1000
	c:stop()
	local code_counts = {}
	for code, n in pairs(codes) do code_counts[#code_counts + 1] = string.format("%s:%d", code, n) end
	table.sort(code_counts)
	return { deployment = deployment, failure = failure[1], policy = policy,
		 replica_share = replica / math.max(1, replica + primary), gap_ms = write_gap_ms,
		 worst_team = worst_served_team, worst_share = worst_share, wrongful = wrongful,
		 served = served, p99_ms = worst_p99_us / 1000, codes = table.concat(code_counts, " ") }
end

local csv = assert(io.open(os.getenv("MEASURE_CSV") or "docs/measures.csv", "w"))
csv:write("deployment,failure,policy,replica_share,longest_write_gap_ms,worst_team," ..
	  "worst_team_served_share,wrongful_refusals,served,worst_p99_ms,codes\n")
for _, deployment in ipairs{ "sevadar", "kaplanoglu" } do
	for _, failure in ipairs(failures) do
		if not failure[1]:find(os.getenv("MEASURE_ONLY") or "", 1, true) then goto next end
		for _, policy in ipairs(failure[1] == "none" and { "jasminehill", "primary-only reads" } or
					{ "jasminehill" }) do
			local m = measure(deployment, failure, policy)
			print(string.format("%-10s %-30s %-18s replica reads %.2f, write gap %.0f ms, " ..
					    "worst team %s %.3f, wrongful refusals %d, served %d, p99 %.0f ms %s",
					    m.deployment, m.failure, m.policy, m.replica_share, m.gap_ms,
					    m.worst_team, m.worst_share, m.wrongful, m.served, m.p99_ms,
					    m.codes))
			csv:write(string.format("%s,%s,%s,%.3f,%.0f,%s,%.3f,%d,%d,%.1f,%s\n", m.deployment,
						(m.failure:gsub(",", ";")), m.policy, m.replica_share, m.gap_ms,
						m.worst_team, m.worst_share, m.wrongful, m.served, m.p99_ms,
						m.codes))
			csv:flush()
		end
		::next::
	end
end
csv:close()
