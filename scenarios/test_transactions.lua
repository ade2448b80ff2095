-- Transactions keep their pinned connection, and statements of different transactions never mix. If
-- the caller, the entry or the owner dies during a transaction, the transaction is rolled back
-- (issue 4, point 3).

local cluster = require "cluster"

local TEAM = "nairobi-sangat"
local GROUP = "langar-db-1"

-- The rate is so high that no statement is refused or delayed by it.
local c = cluster.start{ deployment = "sevadar", rate = 100000 }
c:wait_served(1, "pledges", TEAM,
	      "CREATE TABLE IF NOT EXISTS pairs(name text, half text, round int)")

-- Rows of a query that runs directly on the group's primary.
local function rows(sql)
	return c:database_exec(c:primary_of(GROUP), sql).rows
end

-- More callers than slots run transactions that insert two rows. Each transaction must see both of
-- its rows, and afterwards the table holds both rows of a transaction or none.
local fibers = {}
for n = 1, 12 do
	fibers[n] = go(function()
		local s = c:connect(n % #c.vms + 1, "pledges", TEAM)
		for round = 1, 10 do
			local name = "c" .. n
			local b = s:exec("BEGIN") assert(b.ok, b.message)
			local r = s:exec(string.format("INSERT INTO pairs VALUES ('%s', 'left', %d)",
						       name, round))
			if r.ok then
				r = s:exec(string.format("INSERT INTO pairs VALUES ('%s', 'right', %d)",
							 name, round))
			end
			if r.ok then
				r = s:exec(string.format("SELECT count(*) FROM pairs WHERE name = '%s' " ..
							 "AND round = %d", name, round))
				assert(not r.ok or r.rows[1][1] == "2",
				       "a transaction sees " .. tostring(r.rows[1] and r.rows[1][1]) ..
				       " of its 2 rows")
			end
			s:exec(round % 3 == 0 and "ROLLBACK" or "COMMIT")
		end
		s:close()
	end)
end
for _, fiber in ipairs(fibers) do join(fiber) end
local partial_transactions =
	rows("SELECT name, round FROM pairs GROUP BY name, round HAVING count(*) <> 2")
assert(#partial_transactions == 0, #partial_transactions .. " transactions were applied in part")
local rolled_back_count = rows("SELECT count(*) FROM pairs WHERE round % 3 = 0")
assert(rolled_back_count[1][1] == "0", "the table holds rows of rolled-back transactions")

-- Begins a transaction and inserts one row in it. Returns the session.
local function open_transaction(vm, name)
	local s = c:connect(vm, "pledges", TEAM)
	local b = s:exec("BEGIN") assert(b.ok, b.message)
	assert(s:exec("INSERT INTO pairs VALUES ('" .. name .. "', 'left', 1)").ok)
	return s
end

-- Checks that the transaction of @name was rolled back and that its slot is free for a statement.
local function expect_rolled_back(name, vm)
	c:wait_served(vm, "pledges", TEAM, "INSERT INTO pairs VALUES ('after " .. name .. "', 'x', 0)")
	assert(rows("SELECT count(*) FROM pairs WHERE name = '" .. name .. "'")[1][1] == "0",
	       "a transaction of a dead " .. name .. " was committed")
end

local s = open_transaction(2, "caller")
s:close()
expect_rolled_back("caller", 3)

s = open_transaction(4, "entry")
c.vms[4].process:signal("KILL")
c.vms[4].process:wait()
expect_rolled_back("entry", 5)
s:close()

-- The caller is connected to a VM other than the owner that is killed.
local owner = c:owner_of(c:primary_of(GROUP))
local entry
for i, vm in ipairs(c.vms) do
	if vm ~= owner and vm ~= c.vms[4] then entry = i end
end
s = open_transaction(entry, "owner")
owner.process:signal("KILL")
local r = s:exec("INSERT INTO pairs VALUES ('owner', 'right', 1)")
assert(not r.ok, "a statement of a transaction that lost its connection succeeded")
expect_rolled_back("owner", entry)
s:close()
print("transactions: none applied in part, none left open by a dead caller, entry or owner")
