-- Statements pass from a caller through entry and owner to a database. A row written on one entry is
-- read through another with the session token while every replica lags. Bad input gets an error or
-- a closed connection, and the daemon keeps running (issue 3).

local cluster = require "cluster"

local TEAM = "nairobi-sangat"
local LAG_MS = 2000
local CREATE_TABLE = "CREATE TABLE IF NOT EXISTS pledges(id text primary key, family text, meals int)"

local c = cluster.start{ deployment = "sevadar", lag_ms = LAG_MS }
c:wait_served(1, "pledges", TEAM, CREATE_TABLE)

-- Read-your-writes after a session moves from each VM to the next.
for i = 1, #c.vms do
	local writer = c:connect(i, "pledges", TEAM)
	local pledge_id = "pledge-" .. i
	local r = writer:exec("INSERT INTO pledges VALUES ($1, $2, $3)", pledge_id, "Singh", "4")
	assert(r.ok, r.message)
	assert(r.tag == "INSERT 0 1", r.tag)
	local token = writer:exec("SHOW jasminehill.session").rows[1][1]
	local next_vm = i % #c.vms + 1
	local reader = c:connect(next_vm, "roster", TEAM, c.token_option(token))
	local rows = reader:exec("SELECT meals FROM pledges WHERE id = $1", pledge_id).rows
	assert(#rows == 1 and rows[1][1] == "4", "entry " .. next_vm .. " does not show " .. pledge_id)
	writer:close()
	reader:close()
end

-- One query may hold several statements. In a failed transaction, statements fail with 25P02 until
-- the transaction ends.
local s = c:connect(1, "pledges", TEAM)
local multi = s:exec("SELECT 1; SELECT 2; INSERT INTO pledges VALUES ('m', 'Kaur', 1)")
assert(multi.ok and #multi.results == 3 and multi.results[2].rows[1][1] == "2", multi.message)
assert(s:exec("BEGIN").ok)
assert(not s:exec("SELECT * FROM no_such_table").ok)
assert(s:exec("SELECT 1").code == "25P02")
assert(s:exec("ROLLBACK").ok)
local large_value = string.rep("x", 300000)
local r = s:exec("INSERT INTO pledges VALUES ('large', $1, 1)", large_value)
assert(r.ok, r.message)
r = s:exec("SELECT family FROM pledges WHERE id = 'large'")
assert(r.ok and r.rows[1][1] == large_value, "a value of 300 kB was read back changed")

-- Binary values may contain zero bytes.
r = s:exec_int4("INSERT INTO pledges VALUES ('binary', 'Gill', $1)", 1234567)
assert(r.ok, r.message)
r = s:exec("SELECT meals FROM pledges WHERE id = 'binary'")
assert(r.rows[1][1] == "1234567", "a binary 1234567 was stored as " .. tostring(r.rows[1][1]))
r = s:exec_int4("SELECT meals FROM pledges WHERE meals = $1", 1234567)
assert(r.ok and string.unpack(">i4", r.rows[1][1]) == 1234567, r.message)

-- Connection pools of drivers send these statements when a connection is returned to them.
r = s:exec("SELECT pg_advisory_unlock_all(); CLOSE ALL; UNLISTEN *; RESET ALL;")
assert(r.ok and #r.results == 4, r.message)
s:close()

-- Connections that are refused at start-up.
local function expect_refused(what, dsn)
	local session, reason = connect(dsn)
	assert(not session, what .. " was accepted")
	return reason
end
local good_dsn = c:dsn(1, "pledges", TEAM)
expect_refused("a wrong key", (good_dsn:gsub("password=%S+", "password=wrong")))
expect_refused("an unknown route", (good_dsn:gsub("dbname=%S+", "dbname=nothing")))
expect_refused("an unknown team", (good_dsn:gsub("user=%S+", "user=nobody")))
local reason = expect_refused("a forged token",
			      good_dsn .. " options='" .. c.token_option(string.rep("A", 80)) .. "'")
assert(reason:find("token") or reason:find("session"), reason)

-- Random bytes, and packets with a wrong length.
local port = c.vms[1].port
local random_bytes = {}
math.randomseed(7)
for i = 1, 20000 do random_bytes[i] = string.char(math.random(0, 255)) end
raw(port, table.concat(random_bytes), 300)
local _, closed = raw(port, string.pack(">I4I4", 0x7fffffff, 196608), 2000)
assert(closed, "the connection stays open after a start-up packet of 2 GB")
raw(port, string.pack(">I4I4", 8, 196608), 300)
raw(port, string.pack(">I4I4", 8, 80877103) .. "Q", 300)
raw(c.vms[1].peer_port, table.concat(random_bytes), 300)
raw(c.vms[1].peer_port, string.pack(">I4", 0x7fffffff), 300)

assert(not c.vms[1].process:exited(), "the daemon exited")
local last_session = c:connect(1, "pledges", TEAM)
assert(last_session:exec("SELECT count(*) FROM pledges").ok)
last_session:close()

-- A graceful shutdown ends with status 0.
for _, vm in ipairs(c.vms) do vm.process:signal("TERM") end
for _, vm in ipairs(c.vms) do
	local status = vm.process:wait()
	assert(status == 0, vm.name .. " ended with status " .. status)
end
print("path: 7 reads after a move to another VM, refusals and bad input as expected")
