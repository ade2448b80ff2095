-- Members of the platform's stand-in that know a newer term do not receive from a primary of an earlier
-- one, also once the newer primary has stepped down: a commit that was rolled back does not come back.

require "cluster" -- wait_until()

local fleet = require "fleet"
local wire = require "wire"

local members = fleet.start(0, { members = 0 })
local ports, count = {}, 0
for i = 1, 3 do
	local id = "m-" .. i
	ports[id] = tonumber(members:test("member?service=db&id=" .. id .. "&primary=" .. (i == 1 and 1 or 0)))
end

-- Runs a statement at a member and returns its result.
local function run(id, text)
	local session = assert(wire.open(ports[id], "db", "team-1"))
	count = count + 1
	local result = session:query("x-" .. count, text)
	session:close()
	assert(result.ok, text .. " at " .. id .. ": " .. tostring(result.code))
	return result
end

-- Returns the role, the term and the position received of a member.
local function status(id)
	return run(id, "STATUS").rows[1]:match("^(%S+) (%d+) (%S+)")
end

local function promote(id)
	assert(http("POST", members.url .. "/promote", json_encode{ id = id }) == 200)
	wait_until(id .. " to be primary", function() return status(id) == "primary" end)
end

run("m-1", "WRITE a 1")
wait_until("m-2 and m-3 to receive the first commit", function()
	return select(3, status("m-2")) == "1.1" and select(3, status("m-3")) == "1.1"
end)

members:test("cut?id=m-1&on=1")
run("m-1", "WRITE a 2")
local lost_id = "x-" .. count
promote("m-2")
run("m-2", "STEPDOWN 3")
members:test("cut?id=m-1&on=0")
for _ = 1, 20 do
	sleep(20)
	local role, term, received = status("m-3")
	assert(role == "replica" and term == "2" and received == "1.1", role .. " " .. term .. " " .. received)
end

local rolled_back = {}
for _, commit in ipairs(members:report().commits) do
	if #commit.absences > 0 then rolled_back[#rolled_back + 1] = commit.ids[1] end
end
assert(#rolled_back == 1 and rolled_back[1] == lost_id, table.concat(rolled_back, " "))
members:stop()
