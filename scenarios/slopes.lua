-- Part of make slopes: measures the processor time, traffic and memory of daemons as the number of
-- daemons, groups, statements or connections grows. Prints CSV with the columns what, size, value
-- and unit. Processor time is the user and system time of the daemons, from /proc.

local cluster = require "cluster"

local SECONDS = tonumber(os.getenv("SLOPE_SECONDS") or 5)
local TEAM = "nairobi-sangat"
local CLOCK_TICKS_PER_SECOND = 100

local function cpu_us(vm)
	local file = io.open("/proc/" .. vm.process:pid() .. "/stat")
	local fields = {}
	for field in file:read("a"):gsub("^.*%) ", ""):gmatch("%S+") do fields[#fields + 1] = field end
	file:close()
	-- utime and stime are fields 14 and 15 of the file; the pattern above removed the first two.
	return (tonumber(fields[12]) + tonumber(fields[13])) * 1e6 / CLOCK_TICKS_PER_SECOND
end

local function resident_bytes(vm)
	for line in io.lines("/proc/" .. vm.process:pid() .. "/status") do
		local kb = line:match("^VmRSS:%s*(%d+)")
		if kb then return tonumber(kb) * 1024 end
	end
end

local function read_counters(c, vm)
	local s = assert(connect(c:dsn(vm, "jasminehill", TEAM)))
	local values = {}
	for _, row in ipairs(s:exec("SHOW counters").rows) do values[row[1]] = tonumber(row[2]) end
	s:close()
	return values
end

local function print_row(what, size, value, unit)
	print(string.format("%s,%d,%.2f,%s", what, size, value, unit))
end

local function wait_until_ready(c)
	c:wait_served(1, "pledges", TEAM, "CREATE TABLE IF NOT EXISTS t(id text, n int)")
	for i = 1, #c.vms do c:wait_served(i, "roster", TEAM, "SELECT count(*) FROM t") end
	sleep(3000)
end

print("what,size,value,unit")

-- Control traffic without load, by the number of daemons in front of the same nine databases.
for _, daemons in ipairs{ 7, 14, 28 } do
	local c = cluster.start{ deployment = "sevadar", vms = daemons, rate = 1000000 }
	wait_until_ready(c)
	local before, cpu_sum_us, largest_memory_bytes, started = {}, 0, 0, now()
	local platform_before = json_decode(select(2, http("GET", c.url .. "/test/counters")))
	for i, vm in ipairs(c.vms) do before[i] = { read_counters(c, vm), cpu_us(vm) } end
	sleep(SECONDS * 2000)
	local seconds = (now() - started) / 1e6
	local bytes_out, bytes_in = 0, 0
	for i, vm in ipairs(c.vms) do
		local after = read_counters(c, vm)
		cpu_sum_us = cpu_sum_us + cpu_us(vm) - before[i][2]
		largest_memory_bytes = math.max(largest_memory_bytes, resident_bytes(vm))
		bytes_out = bytes_out + after.jasminehill_peer_bytes_out_total -
			    before[i][1].jasminehill_peer_bytes_out_total
		bytes_in = bytes_in + after.jasminehill_peer_bytes_in_total -
			   before[i][1].jasminehill_peer_bytes_in_total
	end
	local platform = json_decode(select(2, http("GET", c.url .. "/test/counters")))
	print_row("control at rest: reads of the platform, all daemons", daemons,
	       (platform.reads - platform_before.reads) / seconds, "1/s")
	print_row("control at rest: writes of the platform, all daemons", daemons,
	       (platform.writes - platform_before.writes) / seconds, "1/s")
	print_row("control at rest: processor a daemon", daemons,
		  cpu_sum_us / daemons / seconds / 1e4, "% of a core")
	print_row("control at rest: sent to peers a daemon", daemons, bytes_out / daemons / seconds,
		  "bytes/s")
	print_row("control at rest: received from peers a daemon", daemons, bytes_in / daemons / seconds,
	       "bytes/s")
	print_row("control at rest: memory of the largest daemon", daemons, largest_memory_bytes, "bytes")
	c:stop()
end

-- Group views that an entry receives, by the number of groups that its callers use.
local views_cluster = cluster.start{ deployment = "sevadar", rate = 1000000 }
wait_until_ready(views_cluster)
for groups, route in ipairs{ "roster", "stock", "kitchen-list" } do
	views_cluster:wait_served(5, route, TEAM, "SELECT 1")
	sleep(2000)
	local before, started = read_counters(views_cluster, views_cluster.vms[5]), now()
	sleep(SECONDS * 2000)
	local after, seconds = read_counters(views_cluster, views_cluster.vms[5]), (now() - started) / 1e6
	print_row("views: frames received by an entry", groups,
	       (after.jasminehill_group_views_received_total -
		before.jasminehill_group_views_received_total) / seconds, "1/s")
	print_row("views: bytes received by an entry", groups,
	       (after.jasminehill_peer_bytes_in_total - before.jasminehill_peer_bytes_in_total) /
	       seconds, "bytes/s")
end
views_cluster:stop()

-- Processor time of the entry and of all other daemons for a statement, by the rate of statements.
local c = cluster.start{ deployment = "sevadar", rate = 1000000 }
wait_until_ready(c)
local sums = {}
for _, kind in ipairs{ "read", "write" } do
	for _, rate in ipairs{ 250, 500, 1000, 2000 } do
		local before, bytes_before = {}, {}
		for i, vm in ipairs(c.vms) do
			before[i] = cpu_us(vm)
			bytes_before[i] = read_counters(c, vm).jasminehill_peer_bytes_out_total
		end
		local r = load_run{ dsns = { c:dsn(2, kind == "read" and "roster" or "pledges", TEAM) },
				    sql = kind == "read" and "SELECT n FROM t LIMIT 3" or
					  "INSERT INTO t VALUES ('{id}', 1)",
				    clients = 16, seconds = SECONDS, rate = rate }
		local others_cpu_us, sent_bytes = 0, 0
		for i, vm in ipairs(c.vms) do
			if i ~= 2 then others_cpu_us = others_cpu_us + cpu_us(vm) - before[i] end
			sent_bytes = sent_bytes + read_counters(c, vm).jasminehill_peer_bytes_out_total -
				     bytes_before[i]
		end
		print_row(kind .. "s: processor of the entry a statement", rate,
		       (cpu_us(c.vms[2]) - before[2]) / r.ok, "us")
		print_row(kind .. "s: processor of owner and second a statement", rate,
			  others_cpu_us / r.ok, "us")
		print_row(kind .. "s: sent between daemons a statement", rate, sent_bytes / r.ok, "bytes")
	end
end

-- Memory of an entry, by the number of its idle connections.
local idle_sessions, memory_before = {}, resident_bytes(c.vms[3])
for _, count in ipairs{ 500, 1000, 2000, 4000 } do
	while #idle_sessions < count do
		idle_sessions[#idle_sessions + 1] = c:connect(3, "roster", TEAM)
	end
	sleep(500)
	print_row("idle connections: memory a connection", count,
		  (resident_bytes(c.vms[3]) - memory_before) / count, "bytes")
end
c:stop()
