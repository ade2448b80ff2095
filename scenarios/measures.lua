-- make measures: the brief's four measures on the real binaries and stand-ins, for both
-- deployments, at rest and under each failure, with a baseline of primary-only reads in the same
-- run. Prints a table and writes docs/measures.csv.

local cluster = require "cluster"

local SECONDS = tonumber(os.getenv("MEASURE_SECONDS") or 8)
local FAIL_AT_MS = 2500
-- Offered load, as a share of each team's rate; one team sends several times its rate.
local SHARE, GREEDY_SHARE = 0.5, 4
local READS = 0.85
local GREEDY = "visitors"

local workloads = {
	sevadar = { write = "pledges", read = "roster", group = "langar-db-1" },
	kaplanoglu = { write = "orders", read = "order-status", group = "core-db-1" },
}

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
		c.owner_vm.dead = true
	end },
	{ "replicas 2 s late", function(c, group)
		for name, database in pairs(c.databases) do
			if database.group == group then
				c:database_exec(name, "SELECT standin_set('lag_ms', '2000')")
			end
		end
	end },
}

local function counter(c, name)
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

-- Callers leave a dead entry for the next: each load connects to all entries but @avoid.
local function dsns(c, route, team, avoid)
	local list = {}
	for _, vm in ipairs(c.vms) do
		if vm ~= avoid then list[#list + 1] = c:dsn(vm, route, team) end
	end
	return list
end

local function measure(deployment, failure, policy)
	local work = workloads[deployment]
	local c = cluster.start{ deployment = deployment, lag_ms = 20, log_level = "info" }
	local first = c.plan.teams[1].name
	if policy == "primary-only reads" then
		-- No replica is ever as fresh as 1 ms.
		for _, r in ipairs(c.routes.routes) do
			if r.access == "read" then r.max_age_ms = 1 end
		end
		assert(c:apply(c.routes, c.pools, { "--wait" }) == 0)
	end
	c:wait_served(1, work.write, first, "CREATE TABLE IF NOT EXISTS t(id text, n int)")
	for i = 1, #c.vms do c:wait_served(i, work.read, first, "SELECT count(*) FROM t") end
	sleep(2000)
	c.primary_name = c:primary_of(work.group)
	c.owner_vm = c:owner_of(c.primary_name)
	local avoid = failure[1]:find("owner") and c.owner_vm or nil
	local replica0 = counter(c, "jasminehill_reads_replica_total")
	local primary0 = counter(c, "jasminehill_reads_primary_total")
	local results, fibers = {}, {}
	for _, team in ipairs(c.plan.teams) do
		local share = team.name == GREEDY and GREEDY_SHARE or SHARE
		for _, kind in ipairs{ "read", "write" } do
			local rate = team.rate * share * (kind == "read" and READS or 1 - READS)
			local sql = kind == "read" and "SELECT n FROM t LIMIT 3" or
				    "INSERT INTO t VALUES ('{id}', 1)"
			fibers[#fibers + 1] = go(function()
				local r = load_run{ dsns = dsns(c, work[kind], team.name, avoid),
						    sql = sql, clients = 14, seconds = SECONDS,
						    rate = rate }
				results[#results + 1] = { team = team.name, kind = kind,
							  rate = rate, r = r }
			end)
		end
	end
	sleep(FAIL_AT_MS)
	failure[2](c, work.group)
	for _, fiber in ipairs(fibers) do join(fiber) end
	local replica = counter(c, "jasminehill_reads_replica_total") - replica0
	local primary = counter(c, "jasminehill_reads_primary_total") - primary0
	local worst, worst_share, wrongful, gap, served, p99 = "", 2, 0, 0, 0, 0
	local codes = {}
	local best_write
	for _, entry in ipairs(results) do
		served = served + entry.r.ok
		if entry.team ~= GREEDY then
			local share = entry.r.ok / (entry.rate * SECONDS)
			if share < worst_share then worst, worst_share = entry.team, share end
			wrongful = wrongful + entry.r.failed
			p99 = math.max(p99, entry.r.p99_us)
			for code, n in pairs(entry.r.codes) do codes[code] = (codes[code] or 0) + n end
			-- The team with the most writes sees the gap most exactly.
			if entry.kind == "write" and (not best_write or entry.rate > best_write.rate) then
				best_write = entry
			end
		end
	end
	gap = best_write.r.gap_us / 1000
	c:stop()
	local code_list = {}
	for code, n in pairs(codes) do code_list[#code_list + 1] = string.format("%s:%d", code, n) end
	table.sort(code_list)
	return { deployment = deployment, failure = failure[1], policy = policy,
		 replica_share = replica / math.max(1, replica + primary), gap_ms = gap,
		 worst_team = worst, worst_share = worst_share, wrongful = wrongful,
		 served = served, p99_ms = p99 / 1000, codes = table.concat(code_list, " ") }
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
