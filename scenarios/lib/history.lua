-- Histories of concurrent runs and the checker: clients record each call with its result; every
-- invariant is one query (or one scan) that returns the offending rows.

local history = {}
history.__index = history

function history.new()
	local db = store()
	db:rows [[CREATE TABLE calls(
		number INTEGER PRIMARY KEY, client TEXT, team TEXT, kind TEXT, key TEXT,
		vm TEXT, started INTEGER, ended INTEGER,
		outcome TEXT CHECK (outcome IN ('ok', 'not run', 'unknown', 'failed')),
		code TEXT, tag TEXT)]]
	-- Keys that a read returned.
	db:rows "CREATE TABLE seen(number INTEGER, key TEXT)"
	db:rows "CREATE INDEX seen_number ON seen(number, key)"
	-- Rows that the database held at the end; one row an execution.
	db:rows "CREATE TABLE final(key TEXT)"
	return setmetatable({ db = db, number = 0 }, history)
end

-- What a result says happened to the statement: "ok", "not run", "unknown" or "failed" (the
-- database's own error).
function history.outcome(result)
	if not result then return "not run" end
	if result.ok then return "ok" end
	if result.detail and result.detail:find("not run", 1, true) then return "not run" end
	if result.detail and result.detail:find("outcome unknown", 1, true) then return "unknown" end
	-- A connection that broke says nothing.
	if not result.code then return "unknown" end
	return "failed"
end

-- call: client, team, kind ("write" or "read"), key, vm, started, ended, result, seen (keys)
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

function history:set_final(keys)
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
	["a refusal that says not run is true"] = [[
		SELECT number, client, key FROM calls c
		WHERE kind = 'write' AND outcome = 'not run' AND key IN (SELECT key FROM final)
		AND NOT EXISTS (SELECT 1 FROM calls o WHERE o.key = c.key AND o.kind = 'write'
			AND o.outcome IN ('ok', 'unknown'))]],
	["a write runs at most once"] = [[
		SELECT key, count(*) FROM final GROUP BY key HAVING count(*) > 1]],
	["nothing appears that nobody wrote"] = [[
		SELECT key FROM final WHERE key NOT IN (SELECT key FROM calls WHERE kind = 'write')]],
	["a read shows only what was written"] = [[
		SELECT s.number, s.key FROM seen s WHERE s.key NOT IN
			(SELECT key FROM calls WHERE kind = 'write')]],
	["a read shows no write that is lost later"] = [[
		SELECT s.number, s.key FROM seen s WHERE s.key NOT IN (SELECT key FROM final)]],
}

-- Returns a list of {invariant, offending row...}; empty if the history is good.
function history:check()
	local findings = {}
	for name, query in pairs(history.invariants) do
		for _, row in ipairs(self.db:rows(query)) do
			findings[#findings + 1] = { name, table.unpack(row) }
		end
	end
	return findings
end

-- Strict rate: whatever ran wholly inside any window of t seconds is at most burst + rate * t.
-- A request ran somewhere between its start and its end, so those that began and ended inside a
-- window certainly ran in it.
function history:check_rate(team, rate, burst)
	local rows = self.db:rows([[SELECT started, ended FROM calls WHERE team = ? AND
		outcome IN ('ok', 'unknown', 'failed') ORDER BY ended]], team)
	local starts, findings = {}, {}
	for i, row in ipairs(rows) do starts[i] = row[1] end
	table.sort(starts)
	local step = math.max(1, #starts // 400)
	for i = 1, #starts, step do
		local from, inside = starts[i], 0
		for _, row in ipairs(rows) do
			if row[1] >= from then
				inside = inside + 1
				local allowed = burst + rate * (row[2] - from) / 1e6
				if inside > allowed then
					findings[#findings + 1] = { "rate of " .. team, from, row[2],
								    inside, allowed }
					break
				end
			end
		end
	end
	return findings
end

-- Raise an error that names the first offending rows.
function history:assert_good(findings)
	findings = findings or self:check()
	if #findings == 0 then return end
	local lines = {}
	for i = 1, math.min(#findings, 10) do
		local cells = {}
		for j, cell in ipairs(findings[i]) do cells[j] = tostring(cell) end
		lines[i] = table.concat(cells, " | ")
	end
	error(#findings .. " violations:\n" .. table.concat(lines, "\n"), 2)
end

function history:count(where)
	return self.db:rows("SELECT count(*) FROM calls WHERE " .. where)[1][1]
end

return history
