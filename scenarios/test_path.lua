-- Issue 3: the whole path. A pledge written on one entry is read back through another with the
-- session's token while every replica lags; bad input gets an error or a closed connection, and
-- the daemon lives on.

local cluster = require "cluster"

local TEAM = "nairobi-sangat"
local LAG_MS = 2000
local TABLE = "CREATE TABLE IF NOT EXISTS pledges(id text primary key, family text, meals int)"

local c = cluster.start{ deployment = "sevadar", lag_ms = LAG_MS }
c:wait_served(1, "pledges", TEAM, TABLE)

-- Read-your-writes after roaming, for every pair of neighbours.
for i = 1, #c.vms do
	local writer = c:connect(i, "pledges", TEAM)
	local id = "pledge-" .. i
	local r = writer:exec("INSERT INTO pledges VALUES ($1, $2, $3)", id, "Singh", "4")
	assert(r.ok, r.message)
	assert(r.tag == "INSERT 0 1", r.tag)
	local token = writer:exec("SHOW jasminehill.session").rows[1][1]
	local other = i % #c.vms + 1
	local reader = c:connect(other, "roster", TEAM, c.token_option(token))
	local rows = reader:exec("SELECT meals FROM pledges WHERE id = $1", id).rows
	assert(#rows == 1 and rows[1][1] == "4", "entry " .. other .. " does not show " .. id)
	writer:close()
	reader:close()
end

-- Many statements in one query; a failed transaction answers 25P02 until its end.
local s = c:connect(1, "pledges", TEAM)
local many = s:exec("SELECT 1; SELECT 2; INSERT INTO pledges VALUES ('m', 'Kaur', 1)")
assert(many.ok and #many.results == 3 and many.results[2].rows[1][1] == "2", many.message)
assert(s:exec("BEGIN").ok)
assert(not s:exec("SELECT * FROM no_such_table").ok)
assert(s:exec("SELECT 1").code == "25P02")
assert(s:exec("ROLLBACK").ok)
local large = string.rep("x", 300000)
local r = s:exec("INSERT INTO pledges VALUES ('large', $1, 1)", large)
assert(r.ok, r.message)
r = s:exec("SELECT family FROM pledges WHERE id = 'large'")
assert(r.ok and r.rows[1][1] == large, "a value of 300 kB came back changed")

-- Binary values hold bytes of zero.
r = s:exec_int4("INSERT INTO pledges VALUES ('binary', 'Gill', $1)", 1234567)
assert(r.ok, r.message)
r = s:exec("SELECT meals FROM pledges WHERE id = 'binary'")
assert(r.rows[1][1] == "1234567", "a binary 1234567 was stored as " .. tostring(r.rows[1][1]))
r = s:exec_int4("SELECT meals FROM pledges WHERE meals = $1", 1234567)
assert(r.ok and string.unpack(">i4", r.rows[1][1]) == 1234567, r.message)

-- What pools of drivers send when they take a connection back.
r = s:exec("SELECT pg_advisory_unlock_all(); CLOSE ALL; UNLISTEN *; RESET ALL;")
assert(r.ok and #r.results == 4, r.message)
s:close()

-- Refusals at the door.
local function refused(what, dsn)
	local session, why = connect(dsn)
	assert(not session, what .. " was let in")
	return why
end
local good = c:dsn(1, "pledges", TEAM)
refused("a wrong key", (good:gsub("password=%S+", "password=wrong")))
refused("an unknown route", (good:gsub("dbname=%S+", "dbname=nothing")))
refused("an unknown team", (good:gsub("user=%S+", "user=nobody")))
local why = refused("a forged token", good .. " options='" .. c.token_option(string.rep("A", 80)) .. "'")
assert(why:find("token") or why:find("session"), why)

-- Bytes that are no protocol, and lengths that lie.
local port = c.vms[1].port
local noise = {}
math.randomseed(7)
for i = 1, 20000 do noise[i] = string.char(math.random(0, 255)) end
raw(port, table.concat(noise), 300)
local answer, closed = raw(port, string.pack(">I4I4", 0x7fffffff, 196608), 2000)
assert(closed, "a start-up packet of 2 GB keeps its connection")
raw(port, string.pack(">I4I4", 8, 196608), 300)
raw(port, string.pack(">I4I4", 8, 80877103) .. "Q", 300)
raw(c.vms[1].peer_port, table.concat(noise), 300)
raw(c.vms[1].peer_port, string.pack(">I4", 0x7fffffff), 300)

assert(not c.vms[1].process:exited(), "the daemon ended")
local still = c:connect(1, "pledges", TEAM)
assert(still:exec("SELECT count(*) FROM pledges").ok)
still:close()

-- A graceful shutdown ends with status 0.
for _, vm in ipairs(c.vms) do vm.process:signal("TERM") end
for _, vm in ipairs(c.vms) do
	local status = vm.process:wait()
	assert(status == 0, vm.name .. " ended with status " .. status)
end
print("whole path: 7 roamed reads, refusals and bad input as expected")
