-- Guards against DRAIN of data centres: statements that reach the members of a drained data centre after
-- the bound, a group that loses its primary for good, and callers who wait or are told that the
-- outcome is unknown where no member may run their statement.

local fleet = require "fleet"
local wire = require "wire"

local KEY = "key-1"
local CALLERS = 6

local f = fleet.start(4, { zones = { "dc-1", "dc-2", "dc-3" }, routes = {
	fleet.make_route("orders", "primary"), fleet.make_route("ledger", "own"),
	fleet.make_route("lookup", "bounded") } })
local zones = { ["m-1"] = "dc-1", ["m-2"] = "dc-2", ["m-3"] = "dc-3" }
local calls, order, is_ending = {}, {}, false

local function call(session, name, text)
	local entry = { id = name .. "-" .. #order + 1, started = now() }
	calls[entry.id], order[#order + 1] = entry, entry
	local result = session:query(entry.id, text)
	entry.ended, entry.ok, entry.code, entry.text = now(), result.ok, result.code, result.text
	return result
end

local function run_caller(number)
	local name = "c" .. number
	while not is_ending do
		local route = ({ "orders", "ledger", "lookup" })[number % 3 + 1]
		local session = wire.open(f.vms[math.random(#f.vms)].port, route, KEY)
		if session and not call(session, name, "SET who " .. name).ok then session:close() end
		while session and not session.is_closed and not is_ending do
			local choice = math.random(4)
			if choice == 1 then
				call(session, name, "WRITE " .. name .. " " .. #order)
			elseif choice == 2 and call(session, name, "BEGIN").ok then
				call(session, name, "READ " .. name)
				sleep(math.random(0, 40))
				if not session.is_closed and session.state == "T" then
					call(session, name, "COMMIT")
				elseif not session.is_closed then
					call(session, name, "ROLLBACK")
				end
			else
				call(session, name, "READ " .. name)
			end
			sleep(math.random(5, 25))
		end
		if session and not session.is_closed then session:close() end
		sleep(20)
	end
end

-- Returns how many calls that began in that time succeeded, and how many did not.
local function count(from_us, to_us)
	local ok, failed = 0, 0
	for _, entry in ipairs(order) do
		if entry.ended and entry.started >= from_us and entry.started < to_us then
			if entry.ok then ok = ok + 1 else failed = failed + 1 end
		end
	end
	return ok, failed
end

-- Drains the data centre. Returns the time from which nothing may run there.
local function drain(zone)
	f:put_row("op", "evacuate/" .. zone, {})
	return now() + fleet.DC_DRAIN_MS * 1000
end

local function undrain(zone) f:test("drop?table=op&key=evacuate/" .. zone) end

-- Fails if a statement that began in the time ran at a member there.
local function assert_unused(zone, from_us, to_us)
	for _, statement in ipairs(f:report().statements) do
		local entry = calls[statement[1]]
		assert(not (zones[statement[2]] == zone and entry and entry.started >= from_us and
			    entry.started < to_us),
		       statement[1] .. " ran in " .. zone .. " after its bound")
	end
end

local tasks = {}
for number = 1, CALLERS do tasks[number] = go(function() run_caller(number) end) end
sleep(1500)

-- The primary's data centre: another member takes over, and callers are served.
local closed_us = drain("dc-1")
wait_until("another primary", function()
	local primary = f:find_primary()
	return primary and zones[primary] ~= "dc-1"
end)
sleep(fleet.DC_DRAIN_MS + 1500)
local ok = count(closed_us, now())
assert(ok > 50, "only " .. ok .. " calls succeeded while dc-1 was drained")
assert_unused("dc-1", closed_us, now())

-- A VM that starts during the drain.
f.vms[2].process:signal("KILL")
f.vms[2].process:wait()
f:start_daemon(f.vms[2])
sleep(2500)
assert_unused("dc-1", closed_us, now())

-- All data centres: everything is refused, at once and with the promise that it has not run.
local all_us = math.max(drain("dc-2"), drain("dc-3"))
sleep(fleet.DC_DRAIN_MS + 300)
local refused_us = now()
sleep(1200)
local longest_us, refused = 0, 0
for _, entry in ipairs(order) do
	if entry.ended and entry.started >= refused_us and entry.code then
		assert(wire.PROMISES[entry.code], entry.id .. " got " .. entry.code)
		longest_us = math.max(longest_us, entry.ended - entry.started)
		refused = refused + 1
	end
end
assert(refused > 10, "only " .. refused .. " calls were refused")
assert(longest_us < 150000, "a caller waited " .. longest_us // 1000 .. " ms for its refusal")
local undrained_us = now()
for _, zone in ipairs{ "dc-1", "dc-2", "dc-3" } do assert_unused(zone, all_us, undrained_us) end

-- Operators race, and one data centre is free at the end.
for _ = 1, 5 do
	undrain("dc-2")
	drain("dc-2")
	sleep(20)
end
undrain("dc-2")
sleep(3000)
local since_us = now()
sleep(1500)
ok = count(since_us, now())
assert(ok > 20, "only " .. ok .. " calls succeeded once dc-2 was free")
local primary = f:find_primary()
assert(primary and zones[primary] == "dc-2", "the primary is " .. tostring(primary) ..
       ", not in the data centre that is free:\n" .. f:find_lines("module=lead"))

is_ending = true
for _, task in ipairs(tasks) do join(task) end
assert(#f:report().violations == 0, f:report().violations[1])
print("dc drain: " .. #order .. " calls, " .. refused .. " refused at once while all were drained, the longest after " ..
      longest_us // 1000 .. " ms")
