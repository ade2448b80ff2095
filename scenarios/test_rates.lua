-- Issue 4, point 5: no team gets more than its rate and burst over all VMs together, in any
-- window: with callers on every entry, a team at ten times its rate, a lost VM, a frozen VM and
-- the platform down. A team within its rate is served beside it.

local cluster = require "cluster"
local history = require "history"

local GREEDY, MODEST = "visitors", "granthis"
local SECONDS = 8

local c = cluster.start{ deployment = "sevadar" }
c:wait_served(1, "pledges", "nairobi-sangat", "CREATE TABLE IF NOT EXISTS t(a int)")
for i = 1, #c.vms do c:wait_served(i, "roster", "nairobi-sangat", "SELECT count(*) FROM t") end

local function team(name)
	for _, t in ipairs(c.plan.teams) do
		if t.name == name then return t end
	end
end

local h = history.new()
local stop_at = now() + SECONDS * 1000000

-- A caller that sends about @rate statements a second on one entry until the time is over. The
-- greedy team's deadlines are short, so that it is refused instead of waiting for its quota.
local function caller(name, vm, rate)
	local options = name == GREEDY and "-c jasminehill.deadline=200" or nil
	return go(function()
		local s
		while now() < stop_at do
			s = s or connect(c:dsn(vm, "roster", name, options))
			if s then
				local started = now()
				local r = s:exec("SELECT count(*) FROM t")
				h:add{ client = name .. vm, team = name, kind = "read",
				       vm = c.vms[vm].name, started = started, ended = now(),
				       result = r }
				if not r.ok and not r.code then s:close() s = nil end
			end
			sleep(1000 / rate)
		end
		if s then s:close() end
	end)
end

local fibers = {}
for vm = 1, #c.vms do
	-- Skew: the first entry carries most of the greedy team's load.
	fibers[#fibers + 1] = caller(GREEDY, vm, vm == 1 and 300 or 60)
	fibers[#fibers + 1] = caller(MODEST, vm, team(MODEST).rate * 0.7 / #c.vms)
end
sleep(2000)
c.vms[6].process:signal("STOP")
sleep(1500)
c.vms[7].process:signal("KILL")
http("POST", c.url .. "/test/outage?mode=refuse")
sleep(1500)
c.vms[6].process:signal("CONT")
for _, fiber in ipairs(fibers) do join(fiber) end

for _, name in ipairs{ GREEDY, MODEST } do
	h:assert_no_violations(h:check_rate(name, team(name).rate, team(name).burst))
end
local greedy_ok = h:count("team = '" .. GREEDY .. "' AND outcome = 'ok'")
local greedy_refused = h:count("team = '" .. GREEDY .. "' AND outcome = 'not run'")
local modest_ok = h:count("team = '" .. MODEST .. "' AND outcome = 'ok'")
local modest_refused = h:count("team = '" .. MODEST .. "' AND outcome = 'not run'")
assert(greedy_refused > 0, "the greedy team was not refused anything")
print(string.format("rates: greedy team %d served, %d refused; modest team %d served, %d refused",
		    greedy_ok, greedy_refused, modest_ok, modest_refused))
