-- A primary leaves as planned and is replaced. Then the store comes back from a copy from before
-- that, and a machine is added whose daemon reads it.

package.path = "review/support-2/?.lua;" .. package.path
local trial = require "trial"

local WRITE_PAUSE_MS = 10
local READ_PAUSE_MS = 5
local AWAY_MS = 1000
local DRAIN_MS = 7000
-- Members write their rows every 1,200 ms.
local BEAT_MS = 1000
local READ_MS = 4000

local t = trial.start(3)
local written, acked, is_over = 0, 0, false

local function write_until_over()
	local session
	while not is_over do
		session = session or t:session(t.vms[1])
		if session then
			written = written + 1
			local r = session:query("w-" .. written, "WRITE item v" .. written)
			if r.ok then acked = written end
			if not r.is_broken then
				trial.note("w-%d through %s: %s", written, t.vms[1].name, r.ok and "DONE" or r.code)
			else
				session = nil
			end
		end
		sleep(WRITE_PAUSE_MS)
	end
end

local writer = go(write_until_over)
sleep(500)
if trial.has_trouble then
	t:test("copy")
	trial.note("the platform makes the copy to which it will return")
end
sleep(200)
t:test("leave?id=m-1&drain=" .. DRAIN_MS)
trial.note("m-1, the primary, reports that it is draining; it ends later than in %d ms", DRAIN_MS)
local new_primary = trial.wait("a promotion", 8000, function()
	local primary = t:find_primary()
	return primary ~= "m-1" and primary
end)
trial.note("%s leads the next term", new_primary)
local before = acked
trial.wait("writes at the new primary", 5000, function() return acked > before + 20 end)

if trial.has_trouble then
	t:test("reject?status=503")
	trial.note("the store is away")
	sleep(AWAY_MS)
	t:test("restore")
	t:test("reject?status=0")
	trial.note("the store is back from the copy, in the next era")
end
local added = t:add_vm()
t:start_daemon(added)
trial.note("%s is added", added.name)
go(function()
	sleep(BEAT_MS)
	t:test("register")
	trial.note("the members have written their rows again, m-1 as draining")
end)

local from_us, reads, stale, session = now(), 0, 0, nil
while now() - from_us < READ_MS * 1000 do
	session = session or t:session(added)
	if session then
		local least, id = acked, "r-" .. reads
		local r = session:query(id, "READ item")
		if r.ok then
			local got = tonumber(r.rows[1] and r.rows[1]:match("^v(%d+)$") or 0)
			reads = reads + 1
			if got < least then stale = stale + 1 end
			trial.note("%s through %s: w-%d, and w-%d was acknowledged before it was sent%s", id, added.name,
				   got, least, got < least and " STALE" or "")
		end
		if r.is_broken then session = nil end
	end
	sleep(READ_PAUSE_MS)
end
is_over = true
join(writer)
t:stop()
trial.finish(stale > 0, "STALE: %d of %d reads on a route of type primary lacked a write that had been acknowledged",
	     stale, reads)
