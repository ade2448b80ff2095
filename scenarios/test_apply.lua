-- Issue 4, point 7: a change of the tables takes effect once at most, whatever the platform does
-- with the answer, and its author learns what became of it.

local cluster = require "cluster"
local deployment = require "deployment"

local c = setmetatable({ options = {}, plan = deployment.sevadar }, cluster)
c:start_platform()
local routes = deployment.routes_table(c.plan)
local ports = {}
for g = 1, 3 do ports[g] = { 5500 + 10 * g, 5501 + 10 * g, 5502 + 10 * g } end
local pools = deployment.pools_table(c.plan, ports)

local function version()
	local status, body = http("GET", c.url .. "/tables/config/current")
	if status ~= 200 then return 0 end
	local _, lines = c:run_operator_command("get", "/dev/null", "/dev/null")
	return tonumber(table.concat(lines, "\n"):match("version=(%d+)"))
end

local function expect(what, wanted_status, wanted_version, ...)
	local status, lines = c:apply(routes, pools, { ... })
	assert(status == wanted_status,
	       what .. ": status " .. status .. ": " .. table.concat(lines, "\n"))
	assert(version() == wanted_version, what .. ": version " .. version())
end

local function outage(mode) http("POST", c.url .. "/test/outage?mode=" .. mode) end

expect("the first change", 0, 1, "--change-id", "first")
expect("another one", 0, 2, "--change-id", "second")
expect("a change that took effect and was followed by another", 0, 2, "--change-id", "first",
       "--base", "0")
expect("a change from an old version", 3, 2, "--base", "1")

http("POST", c.url .. "/test/lose?count=1")
expect("a change whose answer is lost", 0, 3, "--base", "2")

outage("refuse")
local status = c:apply(routes, pools, { "--timeout", "1" })
assert(status == 1, "an outage: status " .. status)
outage("up")
assert(version() == 3, "an outage changed the tables")

-- With slow answers the outage begins after the command read the row: "hang" before its write
-- arrives, which then takes effect late, and "reset" while the write is served.
for mode, after_ms in pairs({ hang = 300, reset = 900 }) do
	local before = version()
	http("POST", c.url .. "/test/slow?ms=600")
	local during = go(function()
		status = c:apply(routes, pools, { "--base", tostring(before) })
	end)
	sleep(after_ms)
	outage(mode)
	http("POST", c.url .. "/test/slow?ms=0")
	sleep(7000)
	outage("up")
	join(during)
	assert(status == 0, mode .. ": status " .. status)
	assert(version() == before + 1, mode .. ": version " .. version())
end

local base = version()
http("POST", c.url .. "/test/lose?count=4")
local taken, fibers = 0, {}
for n = 1, 4 do
	fibers[n] = go(function()
		local s = c:apply(routes, pools, { "--base", tostring(base) })
		assert(s == 0 or s == 3, "a racing edit: status " .. s)
		if s == 0 then taken = taken + 1 end
	end)
end
for _, fiber in ipairs(fibers) do join(fiber) end
assert(taken == 1 and version() == base + 1, taken .. " racing edits were taken")
print("apply: once at most through lost answers, refusals, resets, hangs and races")
