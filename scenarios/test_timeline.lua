-- `jasminehill timeline` merges the events of all daemons in the order of their hybrid logical clock
-- (HLC) timestamps, from running entries or from log files, with the same filters (issue 5, point 3).

local cluster = require "cluster"

local GROUP = "langar-db-1"
-- Number of events that a daemon keeps in memory; the same as in kernel/log.c.
local RING_EVENT_COUNT = 4096
local TEAMS = { "nairobi-sangat", "kisumu-sangat" }

local function get_field(line, key)
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
		assert(get_field(line, "hlc"), "no HLC timestamp: " .. line)
		assert(i == 1 or get_field(lines[i - 1], "hlc") <= get_field(line, "hlc"),
		       "out of order: " .. tostring(lines[i - 1]) .. "\n" .. line)
	end
end

local function find_event(lines, wanted)
	for i, line in ipairs(lines) do
		local matches_all = true
		for key, value in pairs(wanted) do
			matches_all = matches_all and get_field(line, key) == value
		end
		if matches_all then return i, line end
	end
end

-- Checks that a filter keeps exactly those lines of @all_events in which one of @keys has @value.
local function assert_filter(all_events, lines, value, keys)
	local kept_lines = {}
	for _, line in ipairs(lines) do kept_lines[line] = true end
	local function matches(line)
		for _, key in ipairs(keys) do
			for other in (" " .. line):gmatch(" " .. key .. "=(%S+)") do
				if other == value then return true end
			end
		end
	end
	for _, line in ipairs(lines) do assert(matches(line), value .. ": the filter kept " .. line) end
	for _, line in ipairs(all_events) do
		assert(not matches(line) or kept_lines[line], value .. ": the filter dropped " .. line)
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

-- The last statement before the failure. It has a session of its own for the session filter.
local s = c:connect(1, "pledges", TEAMS[1])
assert(s:exec("INSERT INTO t VALUES (1)").ok)
s:close()
local old_primary = c:primary_of(GROUP)
c.databases[old_primary].process:signal("KILL")
c.databases[old_primary].is_stopped = true
c:wait_served(2, "pledges", TEAMS[2], "INSERT INTO t VALUES (2)")

local all_events = timeline(c)
assert_ordered(all_events)
for _, vm in ipairs(c.vms) do
	assert(find_event(all_events, { vm = vm.name, event = "listening" }),
	       "no event listening of " .. vm.name)
end

-- The change of primary comes after the first team's request and before the second team's request,
-- which can only be served by the new primary.
local change_index
for i, line in ipairs(all_events) do
	if get_field(line, "event") == "primary_changed" and get_field(line, "group") == GROUP and
	   get_field(line, "primary") ~= old_primary and get_field(line, "primary") ~= "-" then
		change_index = change_index or i
	end
end
assert(change_index, "no event of a change of primary")
local first_request_index, request, second_request_index
for i, line in ipairs(all_events) do
	if get_field(line, "event") == "request_answered" and get_field(line, "outcome") == "done" then
		if get_field(line, "team") == TEAMS[1] then first_request_index, request = i, line end
		if get_field(line, "team") == TEAMS[2] then second_request_index = i end
	end
end
assert(first_request_index and first_request_index < change_index,
       "the change of primary does not come after the first team's request")
assert(second_request_index and change_index < second_request_index,
       "the change of primary does not come before the second team's request")

local request_number = get_field(request, "request")
local filters = {
	{ "--team", TEAMS[1], { "team" } },
	{ "--group", GROUP, { "group" } },
	{ "--vm", "vm-3", { "vm", "of", "owner" } },
	{ "--request", request_number, { "request" } },
	{ "--session", get_field(request, "session"), { "session" } },
}
for _, filter in ipairs(filters) do
	assert_filter(all_events, timeline(c, filter[1], filter[2]), filter[2], filter[3])
end

-- An entry keeps its events in a bounded ring; the command reports how many older events were
-- dropped. Refused statements cause events too, so that the team's rate does not matter.
s = c:connect(1, "roster", TEAMS[1])
for _ = 1, RING_EVENT_COUNT do s:exec("SELECT n FROM t") end
s:close()
local entry = "127.0.0.1:" .. c.vms[1].port
local shown_events, dropped_count = {}, nil
for _, line in ipairs(timeline(c, "--entry", entry)) do
	local n = line:match("^not read: entry " .. entry:gsub("%.", "%%.") ..
			     ": (%d+) older events are no longer kept$")
	if n then dropped_count = tonumber(n) else shown_events[#shown_events + 1] = line end
end
assert_ordered(shown_events)
assert(#shown_events == RING_EVENT_COUNT, #shown_events .. " events are shown, not the full ring")
assert(dropped_count and dropped_count > 0, "the command did not report dropped events")

-- After the daemons have been killed, their logs hold all events. Every event that the running
-- entries showed must be in the logs, in the same order.
for _, vm in ipairs(c.vms) do vm.process:signal("KILL") end
local files = {}
for i, vm in ipairs(c.vms) do
	vm.process:wait()
	files[i] = os.tmpname()
	local file = assert(io.open(files[i], "w"))
	file:write(table.concat(vm.process:lines(), "\n"), "\n")
	file:close()
end

local logged_events = timeline(c, table.unpack(files))
local first_vm_count = 0
for _, line in ipairs(logged_events) do
	if line:match("^hlc=%x+ vm=vm%-1 ") then first_vm_count = first_vm_count + 1 end
end
assert(first_vm_count >= dropped_count + #shown_events,
       "the first entry's log has fewer events than the entry reported")
assert_ordered(logged_events)
local position = {}
for i, line in ipairs(logged_events) do position[line] = i end
local last_position = 0
for _, line in ipairs(all_events) do
	assert(position[line], "not in the logs: " .. line)
	assert(position[line] > last_position, "a different order in the logs: " .. line)
	last_position = position[line]
end

for _, filter in ipairs(filters) do
	local lines = timeline(c, filter[1], filter[2], table.unpack(files))
	assert_ordered(lines)
	assert_filter(logged_events, lines, filter[2], filter[3])
	assert(#lines < #logged_events, filter[1] .. " drops no line")
end

-- A file that is given twice adds no events.
local repeated_files = { table.unpack(files) }
repeated_files[#repeated_files + 1] = files[1]
assert_same(timeline(c, table.unpack(repeated_files)), logged_events, "a file given twice")
for _, path in ipairs(files) do os.remove(path) end
print(string.format("timeline: %d events of %d entries in one order, %d from their logs, " ..
		    "%d filters, %d dropped and reported", #all_events, #c.vms, #logged_events,
		    #filters, dropped_count))
c:stop()
