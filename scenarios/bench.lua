-- make bench: the same statements straight to a stand-in database and through an entry, in one
-- run, as ratios; and the memory of idle connections.

local cluster = require "cluster"

local SECONDS = tonumber(os.getenv("BENCH_SECONDS") or 5)
local IDLE = tonumber(os.getenv("BENCH_IDLE") or 2000)
local TEAM = "nairobi-sangat"

local c = cluster.start{ deployment = "sevadar", rate = 1000000 }
c:wait_served(1, "pledges", TEAM,
	      "CREATE TABLE IF NOT EXISTS pledges(id text primary key, family text, meals int)")
c:wait_served(1, "pledges", TEAM, "INSERT INTO pledges VALUES ('p0', 'Singh', 3) ON CONFLICT DO NOTHING")

local function run(name, dsn, sql, clients)
	local r = load_run{ dsns = { dsn }, sql = sql, clients = clients, seconds = SECONDS }
	print(string.format("%-28s clients=%-3d rate=%8.0f/s p50=%6.0f us p99=%6.0f us failed=%d",
			    name, clients, r.rate, r.p50_us, r.p99_us, r.failed))
	return r
end

local function resident_kb(pid)
	for line in io.lines("/proc/" .. pid .. "/status") do
		local kb = line:match("^VmRSS:%s*(%d+)")
		if kb then return tonumber(kb) end
	end
end

local READ = "SELECT family, meals FROM pledges WHERE id = 'p0'"
local WRITE = "INSERT INTO pledges VALUES ('{id}', 'Kaur', 2)"
local primary = c:primary_of("langar-db-1")

for _, clients in ipairs{ 1, 4, 16 } do
	local direct = run("read direct", c:database_dsn(primary), READ, clients)
	local proxied = run("read through an entry", c:dsn(1, "roster", TEAM), READ, clients)
	print(string.format("  ratio rate=%.2f p50=%.2f p99=%.2f", proxied.rate / direct.rate,
			    proxied.p50_us / direct.p50_us, proxied.p99_us / direct.p99_us))
	direct = run("write direct", c:database_dsn(primary), WRITE, clients)
	proxied = run("write through an entry", c:dsn(1, "pledges", TEAM), WRITE, clients)
	print(string.format("  ratio rate=%.2f p50=%.2f p99=%.2f", proxied.rate / direct.rate,
			    proxied.p50_us / direct.p50_us, proxied.p99_us / direct.p99_us))
end

local pid = c.vms[2].process:pid()
local before = resident_kb(pid)
local idle = {}
for i = 1, IDLE do idle[i] = c:connect(2, "roster", TEAM) end
sleep(500)
print(string.format("idle connections=%d bytes_each=%.0f", IDLE,
		    (resident_kb(pid) - before) * 1024 / IDLE))
