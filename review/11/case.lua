-- Three services with one synchronous replica each, of which one is played. A replica is cut off from the store, the interface for
-- promotions and the machine that leads, and goes on receiving commits. Its entry lapses. Then the
-- other replica receives nothing for a while, and the primary crashes.

local lib = require "lib"
local note = lib.note

-- Times after the cut has begun.
local LAPSE_MS = 2550 -- three beats of 1,200 ms after the last one, which was 1.05 s before the cut
local DEAF_MS = 4300
local CRASH_MS = 4500
local HEAL_MS = 5000
local BEAT_MS = 6150 -- the next beat after that of 4.95 s, which the cut still stopped
local END_MS = 9000
local WRITE_PAUSE_MS = 10

local c = lib.new()
c:start_store()
c.databases = spawn{ name = "databases", args = { lib.OWN_BIN .. "/sync_members", "db", "5", "5", "5" } }
local p1, p2, p3, promotions, commands =
	c.databases:expect("listening m1=(%d+) m2=(%d+) m3=(%d+) promote=(%d+) control=(%d+)")
local ports = { ["m-1"] = p1, ["m-2"] = p2, ["m-3"] = p3 }
c.control = "http://127.0.0.1:" .. promotions

local function order(text)
	local answer = raw(tonumber(commands), text .. "\n", 100)
	if not text:match("^log") then note("databases: %s: %s", text, (answer:gsub("\n", ""))) end
	return answer
end

local function register(id, role, service, port)
	c:put("servers", id, { service = service or "db", addr = "127.0.0.1:" .. (port or ports[id]),
		zone = "bursa-" .. ({ "a", "b", "c" })[tonumber(id:sub(-1))], version = "1", slots = 4, state = "ready", coldLeftMs = 0, seq = 1, dbRole = role, born = 1700000000000 })
end

-- Starts the members of another service, to which nothing happens.
local function add_service(name)
	local databases = spawn{ name = name, args = { lib.OWN_BIN .. "/sync_members", name, "5", "5", "5" } }
	local q1, q2, q3 = databases:expect("listening m1=(%d+) m2=(%d+) m3=(%d+)")
	for i, port in ipairs{ q1, q2, q3 } do register(name .. "-" .. i, i == 1 and "primary" or "replica", name, port) end
end

c:put_config(1, { sync_replicas = 1, others = { "db2", "db3" } })
register("m-1", "primary")
register("m-2", "replica")
register("m-3", "replica")
add_service("db2")
add_service("db3")
c:start_network(4)
for _, port in pairs(ports) do c:command("member " .. port) end
for _ = 1, 4 do
	c:add_vm()
	sleep(300)
end
c:wait_ready()
sleep(2500)

-- Returns the machine that leads, by the newest line of a daemon's log.
local function find_leader()
	local leader
	for _, line in ipairs(c.vms[1].process:lines()) do
		leader = line:match("module=lead event=lead holder=([%w-]+)") or leader
	end
	for _, vm in ipairs(c.vms) do
		if vm.name == leader then return vm end
	end
	error("no daemon leads")
end

local leader = find_leader()
note("%s leads", leader.name)
local acknowledged, is_over, writes = {}, false, 0

local function write_until_over(vm)
	local session
	while not is_over do
		session = session or lib.wire.open(vm.port, "winder", "key-1")
		if session then
			writes = writes + 1
			local id = string.format("%s-%d", vm.name, writes)
			local result = session:query(id, "WRITE order-" .. vm.name .. " write-" .. writes)
			note("client: %s at %s: %s", id, vm.name,
			     result.ok and "DONE" or tostring(result.code or result.reason))
			if result.ok then acknowledged[id] = now() end
			if session.is_closed or result.is_broken then session = nil end
		end
		sleep(WRITE_PAUSE_MS + 20)
	end
end

local writers = {}
for _, vm in ipairs(c.vms) do writers[#writers + 1] = go(function() write_until_over(vm) end) end
sleep(1000)

local cut_at = now()
local function wait_for(ms)
	while now() - cut_at < ms * 1000 do sleep(5) end
end

if lib.HAS_TROUBLE then c:command("part " .. leader.name .. " " .. ports["m-2"]) end
wait_for(LAPSE_MS)
if lib.HAS_TROUBLE then
	c:test("drop?table=servers&key=m-2")
	note("the store has removed the entry of m-2 after three beats of silence")
end
wait_for(DEAF_MS)
order("deaf m-3")
wait_for(CRASH_MS)
c:command("crash " .. ports["m-1"])
order("dark m-1")

local promoted, lost, total
local has_healed, has_beaten = false, false
while now() - cut_at < END_MS * 1000 do
	local elapsed_ms = (now() - cut_at) // 1000
	if elapsed_ms >= HEAL_MS and not has_healed then
		has_healed = true
		if lib.HAS_TROUBLE then c:command("join " .. leader.name .. " " .. ports["m-2"]) end
	end
	if elapsed_ms >= BEAT_MS and not has_beaten then
		has_beaten = true
		if lib.HAS_TROUBLE then
			register("m-2", "replica")
			note("m-2 has written its entry again")
		end
	end
	if not promoted then
		for _, line in ipairs(c.databases:lines()) do promoted = line:match("promoted id=(m%-%d)") or promoted end
		if promoted then
			local log = " " .. order("log " .. promoted) .. " "
			lost, total = 0, 0
			for id in pairs(acknowledged) do
				total = total + 1
				if not log:find(" " .. id .. " ", 1, true) then
					lost = lost + 1
					note("%s was acknowledged and is not in the log of %s", id, promoted)
				end
			end
			note("%s leads: %d of %d acknowledged writes are not in its log", promoted, lost, total)
		end
	end
	sleep(5)
end
is_over = true
for _, writer in ipairs(writers) do join(writer) end
for _, vm in ipairs(c.vms) do
	for _, line in ipairs(vm.process:lines()) do
		if line:match("module=lead") then note("%s: %s", vm.name, line) end
	end
end
assert(total, "no member was promoted")
lib.finish(lost > 0 and string.format("LOST: %d of %d acknowledged writes are not in the log of the member that was promoted",
				      lost, total) or nil)
