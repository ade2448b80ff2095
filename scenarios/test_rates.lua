-- In no window of time does a team get more than its rate and burst on all VMs together (issue 4,
-- point 5). Callers connect to every entry; the greedy team sends about ten times its rate, while a
-- VM is killed, a VM is frozen and the platform is down. The modest team stays within its rate and
-- is served at the same time.

local cluster = require "cluster"
local history = require "history"

local GREEDY_TEAM, MODEST_TEAM = "visitors", "granthis"
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

-- Starts a caller that sends about @rate statements a second on one entry until @stop_at. The greedy
-- team has a short deadline, so that its statements are refused instead of waiting for quota.
local function start_caller(name, vm, rate)
	local options = name == GREEDY_TEAM and "-c jasminehill.deadline=200" or nil
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
	-- The greedy team's load is skewed: the first entry gets 300 of its 660 statements a second.
	fibers[#fibers + 1] = start_caller(GREEDY_TEAM, vm, vm == 1 and 300 or 60)
	fibers[#fibers + 1] = start_caller(MODEST_TEAM, vm, team(MODEST_TEAM).rate * 0.7 / #c.vms)
end
sleep(2000)
c.vms[6].process:signal("STOP")
sleep(1500)
c.vms[7].process:signal("KILL")
http("POST", c.url .. "/test/outage?mode=refuse")
sleep(1500)
c.vms[6].process:signal("CONT")
for _, fiber in ipairs(fibers) do join(fiber) end

for _, name in ipairs{ GREEDY_TEAM, MODEST_TEAM } do
	h:assert_no_violations(h:check_rate(name, team(name).rate, team(name).burst))
end
local greedy_ok = h:count("team = '" .. GREEDY_TEAM .. "' AND outcome = 'ok'")
local greedy_refused = h:count("team = '" .. GREEDY_TEAM .. "' AND outcome = 'not run'")
local modest_ok = h:count("team = '" .. MODEST_TEAM .. "' AND outcome = 'ok'")
local modest_refused = h:count("team = '" .. MODEST_TEAM .. "' AND outcome = 'not run'")
assert(greedy_refused > 0, "no statement of the greedy team was refused")
print(string.format("rates: greedy team %d served, %d refused; modest team %d served, %d refused",
		    greedy_ok, greedy_refused, modest_ok, modest_refused))
