-- Guards against a group that stays without a primary: while a change moves the primary out of a data
-- centre that is drained, all others are drained too, and the first one is free again later.

require "cluster" -- wait_until()

local fleet = require "fleet"
local wire = require "wire"

local f = fleet.start(3, { zones = { "dc-1", "dc-2", "dc-3" }, routes = { fleet.make_route("orders", "primary") } })
local count = 0

local function is_written()
	local session = wire.open(f.vms[1].port, "orders", "key-1")
	if not session then return false end
	count = count + 1
	local is_ok = session:query("w-" .. count, "WRITE w " .. count).ok
	if not session.is_closed then session:close() end
	return is_ok
end

local function drain(zone) f:put_row("op", "evacuate/" .. zone, {}) end

wait_until("a write", is_written)
-- The poll of the members then lasts until after the second drain.
for _, id in ipairs{ "m-2", "m-3" } do f:test("late?id=" .. id .. "&ms=350") end
drain("dc-1")
wait_until("the primary to step down", function() return f:find_lines("event=stepped_down") ~= "" end)
drain("dc-2")
drain("dc-3")
sleep(1500)
assert(not f:find_primary(), "there is a primary while all data centres are drained")
for _, id in ipairs{ "m-2", "m-3" } do f:test("late?id=" .. id .. "&ms=0") end
f:test("drop?table=op&key=evacuate/dc-1")
wait_until("a write after the drain", is_written)
assert(f:find_primary() == "m-1")
assert(#f:report().violations == 0, f:report().violations[1])
f:stop()
