-- Guards against members that get their full load right after their start: replicas, the primary, and
-- all members at once, while VMs are killed and one is cut from the store.

local fleet = require "fleet"
local wire = require "wire"

local KEY = "key-1"
local CALLERS = 8
local PER_S = 30
local COLD_MS = 5000
local LIMIT = math.floor(PER_S * fleet.COLD_EXCESS + fleet.COLD_SLACK)

local f = fleet.start(4, { zones = { "dc-1", "dc-2", "dc-3" }, cold_per_s = PER_S, relayed = true, routes = {
	fleet.make_route("orders", "primary"), fleet.make_route("ledger", "own"),
	fleet.make_route("lookup", "bounded") } })
local order, is_ending = {}, false

local function call(session, name, text)
	local entry = { id = name .. "-" .. #order + 1, started = now() }
	order[#order + 1] = entry
	local result = session:query(entry.id, text)
	-- What a VM answers itself has no signature of a member.
	entry.ok = result.ok and result.signature ~= "-"
	return result
end

local function run_caller(number)
	local name = "c" .. number
	while not is_ending do
		local route = ({ "orders", "ledger", "lookup" })[number % 3 + 1]
		local session = wire.open(f.vms[math.random(#f.vms)].port, route, KEY)
		if session and not call(session, name, "SET who " .. name).ok then session:close() end
		while session and not session.is_closed and not is_ending do
			if math.random(5) == 1 and call(session, name, "BEGIN").ok then
				call(session, name, "WRITE " .. name .. " " .. #order)
				if not session.is_closed and session.state == "T" then
					call(session, name, "COMMIT")
				elseif not session.is_closed then
					call(session, name, "ROLLBACK")
				end
			elseif not session.is_closed then
				call(session, name, (math.random(3) == 1 and "WRITE %s 1" or "READ %s"):format(name))
			end
			sleep(math.random(2, 10))
		end
		if session and not session.is_closed then session:close() end
		sleep(20)
	end
end

local function count_ok(from_us, to_us)
	local ok = 0
	for _, entry in ipairs(order) do
		ok = ok + (entry.ok and entry.started >= from_us and entry.started < to_us and 1 or 0)
	end
	return ok
end

local function restart_cold(ids)
	for _, id in ipairs(ids) do
		f:test("cold?id=" .. id .. "&ms=" .. COLD_MS .. "&limit=" .. LIMIT)
		f:test("crash?id=" .. id)
	end
	sleep(200)
	for _, id in ipairs(ids) do f:test("return?id=" .. id) end
end

local function assert_kept()
	local violations = f:report().violations
	assert(#violations == 0, #violations .. " violations, the first: " .. tostring(violations[1]))
end

local tasks = {}
for number = 1, CALLERS do tasks[number] = go(function() run_caller(number) end) end
sleep(2500)
local warm_ok = count_ok(now() - 1000000, now())

-- A replica: the others serve.
local replica = f:find_primary() == "m-2" and "m-3" or "m-2"
restart_cold{ replica }
sleep(COLD_MS + 500)
assert_kept()

-- All members at once, while a VM is killed and another one is cut from the store.
restart_cold{ "m-1", "m-2", "m-3" }
local cold_us = now()
sleep(1500)
f.vms[1].process:signal("KILL")
f.vms[1].process:wait()
f:command_relay(f.vms[2], "cut")
f:start_daemon(f.vms[1])
sleep(COLD_MS - 1500)
f:command_relay(f.vms[2], "heal")
local cold_ok = count_ok(cold_us + 1000000, cold_us + COLD_MS * 1000)
assert_kept()
sleep(2500)
local again_ok = count_ok(now() - 1000000, now())
assert_kept()
assert(cold_ok > 100, "only " .. cold_ok .. " calls succeeded while all members were cold")
assert(again_ok > warm_ok / 3, "only " .. again_ok .. " calls a second succeeded once all were warm, " ..
       warm_ok .. " before")

is_ending = true
for _, task in ipairs(tasks) do join(task) end
assert_kept()
print("cold: " .. warm_ok .. " calls a second before, " .. cold_ok .. " in " .. COLD_MS - 1000 ..
      " ms while all were cold, " .. again_ok .. " a second after")
