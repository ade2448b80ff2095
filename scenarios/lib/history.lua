-- Histories of concurrent runs, and their checker. Clients add each call with its result to an
-- in-memory SQL database. Each invariant is a query that returns the rows that violate it; the rate
-- limit is checked by a scan.

local history = {}
history.__index = history

function history.new()
	local db = store()
	db:rows [[CREATE TABLE calls(
		number INTEGER PRIMARY KEY, client TEXT, team TEXT, kind TEXT, key TEXT,
		vm TEXT, started INTEGER, ended INTEGER,
		outcome TEXT CHECK (outcome IN ('ok', 'not run', 'unknown', 'failed')),
		code TEXT, tag TEXT)]]
	-- Keys that each read returned, by the number of its call.
	db:rows "CREATE TABLE seen(number INTEGER, key TEXT)"
	db:rows "CREATE INDEX seen_number ON seen(number, key)"
	-- Keys that the primary held at the end of the run, one row for each execution of a write.
	db:rows "CREATE TABLE final(key TEXT)"
	return setmetatable({ db = db, number = 0 }, history)
end

-- Returns what a result tells about its statement: "ok", "not run", "unknown" (it may or may not
-- have run) or "failed" (the database itself answered with an error).
function history.outcome(result)
	if not result then return "not run" end
	if result.ok then return "ok" end
	if result.detail and result.detail:find("not run", 1, true) then return "not run" end
	if result.detail and result.detail:find("outcome unknown", 1, true) then return "unknown" end
	-- A result without an error code means that the connection broke, perhaps after the statement ran.
	if not result.code then return "unknown" end
	return "failed"
end

-- Adds a call and returns its number. call: client, team, kind ("write" or "read"), key (of a
-- write), vm, started and ended (times of now()), result, seen (keys that a read returned), outcome
-- (optional, replaces the outcome of the result)
function history:add(call)
	self.number = self.number + 1
	self.db:rows("INSERT INTO calls VALUES (?,?,?,?,?,?,?,?,?,?,?)", self.number, call.client,
		     call.team or "", call.kind, call.key or "", call.vm or "", call.started,
		     call.ended, call.outcome or history.outcome(call.result),
		     call.result and call.result.code or "", call.result and call.result.tag or "")
	for _, key in ipairs(call.seen or {}) do
		self.db:rows("INSERT INTO seen VALUES (?,?)", self.number, key)
	end
	return self.number
end

-- Sets the keys that the primary held at the end of the run, one for each execution of a write.
function history:set_final_keys(keys)
	self.db:rows "DELETE FROM final"
	for _, key in ipairs(keys) do
		self.db:rows("INSERT INTO final VALUES (?)", key)
	end
end

history.invariants = {
	["a session reads its own acknowledged writes"] = [[
		SELECT r.number, r.client, r.vm, w.key FROM calls r
		JOIN calls w ON w.client = r.client AND w.kind = 'write' AND w.outcome = 'ok'
			AND w.ended <= r.started
		WHERE r.kind = 'read' AND r.outcome = 'ok'
		AND NOT EXISTS (SELECT 1 FROM seen s WHERE s.number = r.number AND s.key = w.key)]],
	["no acknowledged write is lost"] = [[
		SELECT number, client, key FROM calls
		WHERE kind = 'write' AND outcome = 'ok' AND key NOT IN (SELECT key FROM final)]],
	["a write that was refused as not run did not run"] = [[
		SELECT number, client, key FROM calls c
		WHERE kind = 'write' AND outcome = 'not run' AND key IN (SELECT key FROM final)
		AND NOT EXISTS (SELECT 1 FROM calls o WHERE o.key = c.key AND o.kind = 'write'
			AND o.outcome IN ('ok', 'unknown'))]],
	["a write runs at most once"] = [[
		SELECT key, count(*) FROM final GROUP BY key HAVING count(*) > 1]],
	["the database holds only keys that a client wrote"] = [[
		SELECT key FROM final WHERE key NOT IN (SELECT key FROM calls WHERE kind = 'write')]],
	["a read returns only keys that a client wrote"] = [[
		SELECT s.number, s.key FROM seen s WHERE s.key NOT IN
			(SELECT key FROM calls WHERE kind = 'write')]],
	["a read returns no key that is lost later"] = [[
		SELECT s.number, s.key FROM seen s WHERE s.key NOT IN (SELECT key FROM final)]],
}

-- Checks all invariants. Returns a list of violations, each {invariant, column of the row...}.
function history:check()
	local violations = {}
	for name, query in pairs(history.invariants) do
		for _, row in ipairs(self.db:rows(query)) do
			violations[#violations + 1] = { name, table.unpack(row) }
		end
	end
	return violations
end

-- Checks the strict rate limit of a team: in any window of t seconds at most burst + rate * t of its
-- statements run. A statement runs at some time between the start and the end of its call, so only
-- calls that started and ended inside a window certainly ran in it. Windows start with a call;
-- fewer than 800 of them are checked, to bound the time. Returns a list of violations, at most one
-- for each window start.
function history:check_rate(team, rate, burst)
	local rows = self.db:rows([[SELECT started, ended FROM calls WHERE team = ? AND
		outcome IN ('ok', 'unknown', 'failed') ORDER BY ended]], team)
	local starts, violations = {}, {}
	for i, row in ipairs(rows) do starts[i] = row[1] end
	table.sort(starts)
	local step = math.max(1, #starts // 400)
	for i = 1, #starts, step do
		local window_start, calls_inside = starts[i], 0
		for _, row in ipairs(rows) do
			if row[1] >= window_start then
				calls_inside = calls_inside + 1
				local allowed = burst + rate * (row[2] - window_start) / 1e6
				if calls_inside > allowed then
					violations[#violations + 1] = { "rate limit of team " .. team,
									window_start, row[2],
									calls_inside, allowed }
					break
				end
			end
		end
	end
	return violations
end

-- Raises an error that lists the first 10 violations, if there are any.
function history:assert_no_violations(violations)
	violations = violations or self:check()
	if #violations == 0 then return end
	local lines = {}
	for i = 1, math.min(#violations, 10) do
		local cells = {}
		for j, cell in ipairs(violations[i]) do cells[j] = tostring(cell) end
		lines[i] = table.concat(cells, " | ")
	end
	error(#violations .. " violations:\n" .. table.concat(lines, "\n"), 2)
end

-- Returns the number of calls that match the SQL condition @where.
function history:count(where)
	return self.db:rows("SELECT count(*) FROM calls WHERE " .. where)[1][1]
end

return history
