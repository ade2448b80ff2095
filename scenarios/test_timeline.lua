-- Issue 5, point 3: one order of the events of all processes, by hybrid logical clock, read from
-- live entries or from their log files, with the same filters.

local cluster = require "cluster"

local GROUP = "langar-db-1"
-- Events that a daemon keeps, as in kernel/log.c.
local RING_LINES = 4096
local TEAMS = { "nairobi-sangat", "kisumu-sangat" }

local function field(line, key)
	return (" " .. line):match(" " .. key .. "=(%S+)")
end

local function timeline(c, ...)
	local status, lines = c:run_operator_command("timeline", ...)
	assert(status == 0, "timeline: status " .. status .. ": " .. table.concat(lines, "\n"))
	assert(#lines > 0, "timeline " .. table.concat({ ... }, " ") .. ": no events")
	return lines
end

local function assert_ordered(lines)
	for i, line in ipairs(lines) do
		assert(field(line, "hlc"), "no stamp: " .. line)
		assert(i == 1 or field(lines[i - 1], "hlc") <= field(line, "hlc"),
		       "out of order: " .. tostring(lines[i - 1]) .. "\n" .. line)
	end
end

local function find(lines, wanted)
	for i, line in ipairs(lines) do
		local found = true
		for key, value in pairs(wanted) do found = found and field(line, key) == value end
		if found then return i, line end
	end
end

-- A filter leaves exactly the lines of the whole time line in which any of @keys has @value.
local function assert_filter(whole, lines, value, keys)
	local kept = {}
	for _, line in ipairs(lines) do kept[line] = true end
	local function matches(line)
		for _, key in ipairs(keys) do
			for other in (" " .. line):gmatch(" " .. key .. "=(%S+)") do
				if other == value then return true end
			end
		end
	end
	for _, line in ipairs(lines) do assert(matches(line), value .. ": kept " .. line) end
	for _, line in ipairs(whole) do
		assert(not matches(line) or kept[line], value .. ": left out " .. line)
	end
end

local function assert_same(a, b, what)
	for i = 1, math.max(#a, #b) do
		assert(a[i] == b[i], what .. ": line " .. i .. ": " .. tostring(a[i]) .. "\n" ..
		       tostring(b[i]))
	end
end

local c = cluster.start{ deployment = "sevadar", log_level = "debug" }
for i, team in ipairs(TEAMS) do
	c:wait_served(i, "pledges", team, "CREATE TABLE IF NOT EXISTS t(n int)")
end

-- The last statement before the failure, in a session of its own.
local s = c:connect(1, "pledges", TEAMS[1])
assert(s:exec("INSERT INTO t VALUES (1)").ok)
s:close()
local old = c:primary_of(GROUP)
c.databases[old].process:signal("KILL")
c.databases[old].is_stopped = true
c:wait_served(2, "pledges", TEAMS[2], "INSERT INTO t VALUES (2)")

local whole = timeline(c)
assert_ordered(whole)
for _, vm in ipairs(c.vms) do
	assert(find(whole, { vm = vm.name, event = "listening" }), "no events of " .. vm.name)
end

-- The change comes after the request of the first team and before the one that it let through.
local changed
for i, line in ipairs(whole) do
	if field(line, "event") == "primary_changed" and field(line, "group") == GROUP and
	   field(line, "primary") ~= old and field(line, "primary") ~= "-" then
		changed = changed or i
	end
end
assert(changed, "no change of primary")
local before, request, after
for i, line in ipairs(whole) do
	if field(line, "event") == "request_answered" and field(line, "outcome") == "done" then
		if field(line, "team") == TEAMS[1] then before, request = i, line end
		if field(line, "team") == TEAMS[2] then after = i end
	end
end
assert(before and before < changed, "the change is not after the request before it")
assert(after and changed < after, "the change is not before the request after it")

local number = field(request, "request")
local filters = {
	{ "--team", TEAMS[1], { "team" } },
	{ "--group", GROUP, { "group" } },
	{ "--vm", "vm-3", { "vm", "of", "owner" } },
	{ "--request", number, { "request" } },
	{ "--session", field(request, "session"), { "session" } },
}
for _, filter in ipairs(filters) do
	assert_filter(whole, timeline(c, filter[1], filter[2]), filter[2], filter[3])
end

-- An entry's ring is bounded: the command says how many older events it no longer holds. Refused
-- statements are events too, so that the team's rate does not matter.
s = c:connect(1, "roster", TEAMS[1])
for _ = 1, RING_LINES do s:exec("SELECT n FROM t") end
s:close()
local entry = "127.0.0.1:" .. c.vms[1].port
local shown, dropped = {}, nil
for _, line in ipairs(timeline(c, "--entry", entry)) do
	local n = line:match("^not read: entry " .. entry:gsub("%.", "%%.") ..
			     ": (%d+) older events are no longer kept$")
	if n then dropped = tonumber(n) else shown[#shown + 1] = line end
end
assert_ordered(shown)
assert(#shown == RING_LINES, #shown .. " events are kept")
assert(dropped and dropped > 0, "nothing was said of dropped events")

-- Once the daemons have ended, their logs hold everything; the two views must agree on what
-- happened up to the last line that the entries had shown.
for _, vm in ipairs(c.vms) do vm.process:signal("KILL") end
local files = {}
for i, vm in ipairs(c.vms) do
	vm.process:wait()
	files[i] = os.tmpname()
	local file = assert(io.open(files[i], "w"))
	file:write(table.concat(vm.process:lines(), "\n"), "\n")
	file:close()
end

local logged = timeline(c, table.unpack(files))
local of_first = 0
for _, line in ipairs(logged) do
	if line:match("^hlc=%x+ vm=vm%-1 ") then of_first = of_first + 1 end
end
assert(of_first >= dropped + #shown, "the first entry's log is shorter than it said")
assert_ordered(logged)
local position = {}
for i, line in ipairs(logged) do position[line] = i end
local last = 0
for _, line in ipairs(whole) do
	assert(position[line], "not in the logs: " .. line)
	assert(position[line] > last, "another order in the logs: " .. line)
	last = position[line]
end

for _, filter in ipairs(filters) do
	local lines = timeline(c, filter[1], filter[2], table.unpack(files))
	assert_ordered(lines)
	assert_filter(logged, lines, filter[2], filter[3])
	assert(#lines < #logged, filter[1] .. " filters nothing")
end

-- A file given twice adds nothing.
local twice = { table.unpack(files) }
twice[#twice + 1] = files[1]
assert_same(timeline(c, table.unpack(twice)), logged, "a file given twice")
for _, path in ipairs(files) do os.remove(path) end
print(string.format("timeline: %d events of %d entries in one order, %d from their logs, " ..
		    "%d filters, %d dropped and reported", #whole, #c.vms, #logged, #filters,
		    dropped))
c:stop()
