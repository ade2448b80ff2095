-- A change of the tables takes effect at most once, also when the platform loses, resets or delays
-- its response, and `jasminehill apply` reports the right outcome to its author (issue 4, point 7).

local cluster = require "cluster"
local deployment = require "deployment"

local c = setmetatable({ options = {}, plan = deployment.sevadar }, cluster)
c:start_platform()
local routes = deployment.routes_table(c.plan)
local ports = {}
for g = 1, 3 do ports[g] = { 5500 + 10 * g, 5501 + 10 * g, 5502 + 10 * g } end
local pools = deployment.pools_table(c.plan, ports)

-- Version of the tables on the platform; 0 if there are none.
local function current_version()
	local status, body = http("GET", c.url .. "/tables/config/current")
	if status ~= 200 then return 0 end
	local _, lines = c:run_operator_command("get", "/dev/null", "/dev/null")
	return tonumber(table.concat(lines, "\n"):match("version=(%d+)"))
end

-- Applies the tables, and checks the exit status and the version after it.
local function expect_apply(what, wanted_status, wanted_version, ...)
	local status, lines = c:apply(routes, pools, { ... })
	assert(status == wanted_status,
	       what .. ": status " .. status .. ": " .. table.concat(lines, "\n"))
	assert(current_version() == wanted_version, what .. ": version " .. current_version())
end

local function set_outage(mode) http("POST", c.url .. "/test/outage?mode=" .. mode) end

expect_apply("the first change", 0, 1, "--change-id", "first")
expect_apply("a second change", 0, 2, "--change-id", "second")
expect_apply("a change that took effect and was followed by another", 0, 2, "--change-id", "first",
       "--base", "0")
expect_apply("a change from an old version", 3, 2, "--base", "1")

http("POST", c.url .. "/test/lose?count=1")
expect_apply("a change whose response is lost", 0, 3, "--base", "2")

set_outage("refuse")
local status = c:apply(routes, pools, { "--timeout", "1" })
assert(status == 1, "an outage: status " .. status)
set_outage("up")
assert(current_version() == 3, "an outage changed the tables")

-- Responses take 600 ms, so that the outage starts after the command has read the row. With "hang"
-- the outage starts before the write arrives, which then takes effect late; with "reset" it starts
-- while the platform handles the write.
for mode, after_ms in pairs({ hang = 300, reset = 900 }) do
	local before = current_version()
	http("POST", c.url .. "/test/slow?ms=600")
	local apply_fiber = go(function()
		status = c:apply(routes, pools, { "--base", tostring(before) })
	end)
	sleep(after_ms)
	set_outage(mode)
	http("POST", c.url .. "/test/slow?ms=0")
	sleep(7000)
	set_outage("up")
	join(apply_fiber)
	assert(status == 0, mode .. ": status " .. status)
	assert(current_version() == before + 1, mode .. ": version " .. current_version())
end

local base_version = current_version()
http("POST", c.url .. "/test/lose?count=4")
local accepted, fibers = 0, {}
for n = 1, 4 do
	fibers[n] = go(function()
		local s = c:apply(routes, pools, { "--base", tostring(base_version) })
		assert(s == 0 or s == 3, "a concurrent change: status " .. s)
		if s == 0 then accepted = accepted + 1 end
	end)
end
for _, fiber in ipairs(fibers) do join(fiber) end
assert(accepted == 1 and current_version() == base_version + 1,
       accepted .. " concurrent changes were accepted")
print("apply: at most once with lost responses, refusals, resets, hangs and concurrent changes")
