-- A service with one synchronous replica. One replica receives nothing for a while, then the primary and
-- the replica that has every acknowledged commit go dark. Their entries lapse, and the daemon that leads
-- is killed and starts again.

package.path = "review/support-2/?.lua;" .. package.path
local trial = require "trial"

local WRITE_PAUSE_MS = 10
local DEAF_MS = 6500
local DARK_MS = 7000
-- Three heartbeats of 1,200 ms; then the store removes the entry of a member that it does not hear.
local LAPSE_MS = 3600
local RESTART_MS = 300

local t = trial.start(3, { lags = { 5, 5, 5 } })
local acked, is_over = {}, false

local function write_until_over(vm)
	local session, n = nil, 0
	while not is_over do
		session = session or t:session(vm)
		if session then
			n = n + 1
			local id = vm.team .. "-" .. n
			local r = session:query(id, "WRITE item-" .. vm.team .. " v" .. n)
			if r.ok then acked[id] = vm.name end
			if not r.is_broken then
				trial.note("%s sent %s: %s", vm.name, id, r.ok and "DONE" or "ERR " .. r.code .. " " .. r.text)
			else
				session = nil
			end
		end
		sleep(WRITE_PAUSE_MS)
	end
end

local writers = {}
for i, vm in ipairs(t.vms) do writers[i] = go(function() write_until_over(vm) end) end
sleep(1000)

t:command_members("deaf m-3")
trial.note("m-3 receives nothing from now on")
go(function()
	sleep(DEAF_MS)
	t:command_members("hear m-3")
	trial.note("m-3 can receive again")
end)
sleep(500)
local dark_us = now()
t:command_members("dark m-1 m-2")
trial.note("m-1, the primary, and m-2 go dark")
sleep(LAPSE_MS)
t:test("drop?table=servers&key=m-1")
t:test("drop?table=servers&key=m-2")
trial.note("the store has removed the entries of m-1 and m-2, after three heartbeats of silence")
sleep(200)
if trial.has_trouble then
	local leader = t:find_vm(t:find_leader())
	leader.process:signal("KILL")
	leader.process:wait()
	trial.note("%s, which leads, is killed", leader.name)
	sleep(RESTART_MS)
	t:start_daemon(leader)
	trial.note("%s starts again", leader.name)
end

-- The log with which m-3 is promoted, if it is.
local promoted
while (now() - dark_us) // 1000 < DARK_MS do
	if not promoted then
		for _, line in ipairs(t.members:lines()) do promoted = line:match("promoted id=m%-3.*") or promoted end
		if promoted then
			trial.note("%s", promoted)
			local log = " " .. t:command_members("log m-3")
			local lost, total = 0, 0
			for id, vm in pairs(acked) do
				total = total + 1
				if not log:find(" " .. id .. " ", 1, true) then
					lost = lost + 1
					trial.note("%s: acknowledged to its client through %s, not in the log of m-3", id, vm)
				end
			end
			promoted = { lost = lost, total = total }
		end
	end
	sleep(20)
end
t:command_members("wake m-1 m-2")
t:register_sync("m-1", "primary")
t:register_sync("m-2", "replica")
trial.note("m-1 and m-2 are back, with their logs")
sleep(4000)
is_over = true
for _, writer in ipairs(writers) do join(writer) end
t:stop()
if not promoted then
	promoted = { lost = 0, total = 0 }
	for _ in pairs(acked) do promoted.total = promoted.total + 1 end
end
trial.finish(promoted.lost > 0, "LOST: %d of %d acknowledged writes are not in the log of the member that was promoted",
	     promoted.lost, promoted.total)
