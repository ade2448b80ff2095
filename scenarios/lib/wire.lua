-- A caller of the profile "fleet": sessions of the users' line protocol.

local wire = {}

local session = {}
session.__index = session

-- Codes that promise that nothing of the attempt is kept.
wire.PROMISES = { BUSY = true, ABORTED = true, LAGGING = true, READONLY = true, MISROUTED = true,
		  MAXCONN = true }

local START_TIMEOUT_MS = 3000
local STATEMENT_TIMEOUT_MS = 10000

-- Opens a session. Returns nil and the error code, or nil and "closed" or "timeout", if there is none.
function wire.open(port, database, key)
	local conn = line_connect(port)
	if not conn then return nil, "closed" end
	conn:send("START " .. database .. (key and " " .. key or "") .. "\r\n")
	local line, reason = conn:line(START_TIMEOUT_MS)
	if line and line:match("^READY I") then return setmetatable({ conn = conn, state = "I" }, session) end
	conn:close()
	return nil, line and line:match("^ERR (%S+)") or reason or line
end

-- Runs a statement. Returns a table with ok, code (nil if the connection broke), rows, signature and
-- state. If the session received a message before, the statement is not sent: the table has is_unsent,
-- and the message as stray unless it is an error, which the VM may send when it ends the session.
function session:query(id, text)
	local result = { ok = false, rows = {} }
	local received = self.conn:received()
	if received ~= "" then
		result.is_broken, result.is_unsent = true, true
		result.stray = not received:match("^ERR ") and received or nil
		self:close()
		return result
	end
	local sent = self.conn:send("QUERY " .. id .. " " .. text .. "\r\n")
	while sent do
		local line, reason = self.conn:line(STATEMENT_TIMEOUT_MS)
		if not line then
			result.reason = reason
			break
		end
		local word, rest = line:match("^([^ ]+) ?(.*)$")
		if word == "ROW" then
			result.rows[#result.rows + 1] = rest
		elseif word == "DONE" then
			result.ok, result.signature = true, rest
		elseif word == "ERR" then
			result.code, result.text = rest:match("^([^ ]+) ?(.*)$")
		elseif word == "READY" then
			self.state = rest:sub(1, 1)
			result.state = self.state
			return result
		end
	end
	-- Without READY the answer is not complete, whatever came before.
	result.ok, result.code, result.is_broken = false, nil, true
	self:close()
	return result
end

function session:close()
	self.conn:close()
	self.is_closed = true
end

return wire
