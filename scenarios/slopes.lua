-- Part of make slopes: what daemons cost as processes. Prints CSV: what, size, value, unit.
-- Processor time is user and system time of the daemons, from /proc.

local cluster = require "cluster"

local SECONDS = tonumber(os.getenv("SLOPE_SECONDS") or 5)
local TEAM = "nairobi-sangat"
local CLOCK_TICKS_A_SECOND = 100

local function cpu_us(vm)
	local file = io.open("/proc/" .. vm.process:pid() .. "/stat")
	local fields = {}
	for field in file:read("a"):gsub("^.*%) ", ""):gmatch("%S+") do fields[#fields + 1] = field end
	file:close()
	-- utime and stime are fields 14 and 15; the first two were cut off with the name.
	return (tonumber(fields[12]) + tonumber(fields[13])) * 1e6 / CLOCK_TICKS_A_SECOND
end

local function resident_bytes(vm)
	for line in io.lines("/proc/" .. vm.process:pid() .. "/status") do
		local kb = line:match("^VmRSS:%s*(%d+)")
		if kb then return tonumber(kb) * 1024 end
	end
end

local function counters(c, vm)
	local s = assert(connect(c:dsn(vm, "jasminehill", TEAM)))
	local values = {}
	for _, row in ipairs(s:exec("SHOW counters").rows) do values[row[1]] = tonumber(row[2]) end
	s:close()
	return values
end

local function report(what, size, value, unit)
	print(string.format("%s,%d,%.2f,%s", what, size, value, unit))
end

local function ready(c)
	c:wait_served(1, "pledges", TEAM, "CREATE TABLE IF NOT EXISTS t(id text, n int)")
	for i = 1, #c.vms do c:wait_served(i, "roster", TEAM, "SELECT count(*) FROM t") end
	sleep(3000)
end

print("what,size,value,unit")

-- Control at rest, by the number of daemons before the same nine databases.
for _, daemons in ipairs{ 7, 14, 28 } do
	local c = cluster.start{ deployment = "sevadar", vms = daemons, rate = 1000000 }
	ready(c)
	local before, cpu, memory, started = {}, 0, 0, now()
	local platform_before = json_decode(select(2, http("GET", c.url .. "/test/counters")))
	for i, vm in ipairs(c.vms) do before[i] = { counters(c, vm), cpu_us(vm) } end
	sleep(SECONDS * 2000)
	local seconds = (now() - started) / 1e6
	local bytes_out, bytes_in = 0, 0
	for i, vm in ipairs(c.vms) do
		local after = counters(c, vm)
		cpu = cpu + cpu_us(vm) - before[i][2]
		memory = math.max(memory, resident_bytes(vm))
		bytes_out = bytes_out + after.jasminehill_peer_bytes_out_total -
			    before[i][1].jasminehill_peer_bytes_out_total
		bytes_in = bytes_in + after.jasminehill_peer_bytes_in_total -
			   before[i][1].jasminehill_peer_bytes_in_total
	end
	local platform = json_decode(select(2, http("GET", c.url .. "/test/counters")))
	report("control at rest: reads of the platform, all daemons", daemons,
	       (platform.reads - platform_before.reads) / seconds, "1/s")
	report("control at rest: writes of the platform, all daemons", daemons,
	       (platform.writes - platform_before.writes) / seconds, "1/s")
	report("control at rest: processor a daemon", daemons, cpu / daemons / seconds / 1e4, "% of a core")
	report("control at rest: sent to peers a daemon", daemons, bytes_out / daemons / seconds, "bytes/s")
	report("control at rest: received from peers a daemon", daemons, bytes_in / daemons / seconds,
	       "bytes/s")
	report("control at rest: memory of the largest daemon", daemons, memory, "bytes")
	c:stop()
end

-- Views: what an entry receives, by the number of groups that its callers use.
local v = cluster.start{ deployment = "sevadar", rate = 1000000 }
ready(v)
for groups, route in ipairs{ "roster", "stock", "kitchen-list" } do
	v:wait_served(5, route, TEAM, "SELECT 1")
	sleep(2000)
	local before, started = counters(v, v.vms[5]), now()
	sleep(SECONDS * 2000)
	local after, seconds = counters(v, v.vms[5]), (now() - started) / 1e6
	report("views: frames received by an entry", groups,
	       (after.jasminehill_group_views_received_total -
		before.jasminehill_group_views_received_total) / seconds, "1/s")
	report("views: bytes received by an entry", groups,
	       (after.jasminehill_peer_bytes_in_total - before.jasminehill_peer_bytes_in_total) /
	       seconds, "bytes/s")
end
v:stop()

-- Statements: processor time of the entry and of all other daemons, by the rate.
local c = cluster.start{ deployment = "sevadar", rate = 1000000 }
ready(c)
local sums = {}
for _, kind in ipairs{ "read", "write" } do
	for _, rate in ipairs{ 250, 500, 1000, 2000 } do
		local before, bytes = {}, {}
		for i, vm in ipairs(c.vms) do
			before[i] = cpu_us(vm)
			bytes[i] = counters(c, vm).jasminehill_peer_bytes_out_total
		end
		local r = load_run{ dsns = { c:dsn(2, kind == "read" and "roster" or "pledges", TEAM) },
				    sql = kind == "read" and "SELECT n FROM t LIMIT 3" or
					  "INSERT INTO t VALUES ('{id}', 1)",
				    clients = 16, seconds = SECONDS, rate = rate }
		local others, sent = 0, 0
		for i, vm in ipairs(c.vms) do
			if i ~= 2 then others = others + cpu_us(vm) - before[i] end
			sent = sent + counters(c, vm).jasminehill_peer_bytes_out_total - bytes[i]
		end
		report(kind .. "s: processor of the entry a statement", rate,
		       (cpu_us(c.vms[2]) - before[2]) / r.ok, "us")
		report(kind .. "s: processor of owner and second a statement", rate, others / r.ok, "us")
		report(kind .. "s: sent between daemons a statement", rate, sent / r.ok, "bytes")
	end
end

-- Connections: memory of an entry, by their number.
local idle, base = {}, resident_bytes(c.vms[3])
for _, count in ipairs{ 500, 1000, 2000, 4000 } do
	while #idle < count do idle[#idle + 1] = c:connect(3, "roster", TEAM) end
	sleep(500)
	report("idle connections: memory a connection", count, (resident_bytes(c.vms[3]) - base) / count,
	       "bytes")
end
c:stop()
