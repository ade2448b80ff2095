-- make bench: runs the same statements directly on a stand-in database and through an entry, and
-- prints the ratios of rate and latency; then prints the memory that an idle connection takes.

local cluster = require "cluster"

local SECONDS = tonumber(os.getenv("BENCH_SECONDS") or 5)
local IDLE_COUNT = tonumber(os.getenv("BENCH_IDLE") or 2000)
local TEAM = "nairobi-sangat"

local c = cluster.start{ deployment = "sevadar", rate = 1000000 }
c:wait_served(1, "pledges", TEAM,
	      "CREATE TABLE IF NOT EXISTS pledges(id text primary key, family text, meals int)")
c:wait_served(1, "pledges", TEAM, "INSERT INTO pledges VALUES ('p0', 'Singh', 3) ON CONFLICT DO NOTHING")

-- Sends one statement from @clients connections for SECONDS, and prints and returns the result.
local function run_load(name, dsn, sql, clients)
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
	local direct = run_load("read direct", c:database_dsn(primary), READ, clients)
	local proxied = run_load("read through an entry", c:dsn(1, "roster", TEAM), READ, clients)
	print(string.format("  ratio rate=%.2f p50=%.2f p99=%.2f", proxied.rate / direct.rate,
			    proxied.p50_us / direct.p50_us, proxied.p99_us / direct.p99_us))
	direct = run_load("write direct", c:database_dsn(primary), WRITE, clients)
	proxied = run_load("write through an entry", c:dsn(1, "pledges", TEAM), WRITE, clients)
	print(string.format("  ratio rate=%.2f p50=%.2f p99=%.2f", proxied.rate / direct.rate,
			    proxied.p50_us / direct.p50_us, proxied.p99_us / direct.p99_us))
end

local pid = c.vms[2].process:pid()
local kb_before = resident_kb(pid)
local idle_sessions = {}
for i = 1, IDLE_COUNT do idle_sessions[i] = c:connect(2, "roster", TEAM) end
sleep(500)
print(string.format("idle connections=%d bytes_each=%.0f", IDLE_COUNT,
		    (resident_kb(pid) - kb_before) * 1024 / IDLE_COUNT))
