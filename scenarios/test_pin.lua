-- A transaction holds its pinned connection until it ends and no longer. The test detects a pinned
-- connection by a request id, which is refused while a transaction holds the connection (issue 4,
-- point 3).

local cluster = require "cluster"

local TEAM = "nairobi-sangat"

local c = cluster.start{ deployment = "sevadar", vms = 3 }
c:wait_served(1, "pledges", TEAM,
	      "CREATE TABLE IF NOT EXISTS pledges(id text primary key, family text, meals int)")
local s = c:connect(1, "pledges", TEAM)
for round = 1, 3 do
	for _, command in ipairs{ "BEGIN", "INSERT INTO pledges VALUES ('a" .. round .. "', 'Singh', 1)",
				  round == 2 and "ROLLBACK" or "COMMIT",
				  "SET jasminehill.request_id = 'id-" .. round .. "'",
				  "INSERT INTO pledges VALUES ('b" .. round .. "', 'Kaur', 1)" } do
		local r = s:exec(command)
		assert(r.ok, command .. ": " .. tostring(r.message))
	end
end
-- A retry with the same request id gets the response of the first run and adds no row.
assert(s:exec("SET jasminehill.request_id = 'id-3'").ok)
local again = s:exec("INSERT INTO pledges VALUES ('b3', 'Kaur', 1)")
assert(again.ok and again.tag == "INSERT 0 1", again.message)
local rows = s:exec("SELECT count(*) FROM pledges").rows
assert(rows[1][1] == "5", rows[1][1] .. " pledges, not 5")
s:close()
print("pin: transactions release their connection, a request id runs once")
