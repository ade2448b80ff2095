-- make demo: runs the sevadar deployment on free ports of 127.0.0.1 until SIGINT or SIGTERM arrives
-- or DEMO_SECONDS have passed (0: no limit). Prints the connection strings and the processes.

local cluster = require "cluster"

local TEAM = "nairobi-sangat"

local c = cluster.start{ deployment = "sevadar", lag_ms = tonumber(os.getenv("DEMO_LAG_MS") or 0) }

c:wait_served(1, "pledges", TEAM,
	      "CREATE TABLE IF NOT EXISTS pledges(id text primary key, family text, meals int)")
for i = 1, #c.vms do
	c:wait_served(i, "roster", TEAM, "SELECT count(*) FROM pledges")
end
for _, vm in ipairs(c.vms) do
	print(string.format('caller dsn="%s"', c:dsn(vm, "pledges", TEAM)))
end
for _, vm in ipairs(c.vms) do
	print(string.format('reader dsn="%s"', c:dsn(vm, "roster", TEAM)))
end
print("platform url=" .. c.url)
print(string.format("process role=platform vm=platform pid=%d", c.platform:pid()))
for name, database in pairs(c.databases) do
	print(string.format("process role=database vm=%s pid=%d", name, database.process:pid()))
end
for _, vm in ipairs(c.vms) do
	print(string.format("process role=entry vm=%s pid=%d", vm.name, vm.process:pid()))
end
print("ready")
wait_signal(tonumber(os.getenv("DEMO_SECONDS") or 0))
