-- Issue 4, point 9: in a long outage of the platform the record is held in bounded memory; at the
-- bound new statements are refused before they run, with when to come back, and service returns
-- after the outage. Every answer that was given is in the report.

local cluster = require "cluster"

local TEAM = "nairobi-sangat"
local MOST = 20000

local c = cluster.start{ deployment = "sevadar", record_limit_mb = 1 }
c:wait_served(1, "pledges", TEAM, "CREATE TABLE IF NOT EXISTS t(a int)")
http("POST", c.url .. "/test/outage?mode=refuse")

local s = c:connect(1, "roster", TEAM)
local answered, refusal = 0, nil
for _ = 1, MOST do
	local r = s:exec("SELECT count(*) FROM t")
	if r.ok then
		answered = answered + 1
	elseif r.message:find("no record", 1, true) then
		refusal = r
		break
	end
end
assert(refusal, "no refusal after " .. answered .. " answers")
assert((refusal.detail or ""):find("not run", 1, true), "the refusal does not say 'not run'")
assert((refusal.hint or ""):find("retry after", 1, true), "the refusal does not say when to retry")

http("POST", c.url .. "/test/outage?mode=up")
wait_until("service after the outage", function()
	local r = s:exec("SELECT count(*) FROM t")
	if r.ok then answered = answered + 1 end
	return r.ok
end)
s:close()
wait_until("every answer in the report", function()
	local status, lines = c:run_operator_command("report", "--csv", "--route", "roster", "--team", TEAM)
	local reported = 0
	for _, line in ipairs(lines) do
		if line:find(",done,", 1, true) then reported = reported + 1 end
	end
	return status == 0 and reported >= answered
end)
print(string.format("record bound: %d answers held in 1 MB, then refused as not run; all reported",
		    answered))
