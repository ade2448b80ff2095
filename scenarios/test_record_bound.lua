-- During a long outage of the platform the audit record is kept in bounded memory. At the limit new
-- statements are refused before they run, with a hint when to retry. Service returns after the
-- outage, and the report lists every response (issue 4, point 9).

local cluster = require "cluster"

local TEAM = "nairobi-sangat"
local MAX_STATEMENTS = 20000

local c = cluster.start{ deployment = "sevadar", record_limit_mb = 1 }
c:wait_served(1, "pledges", TEAM, "CREATE TABLE IF NOT EXISTS t(a int)")
http("POST", c.url .. "/test/outage?mode=refuse")

local s = c:connect(1, "roster", TEAM)
local response_count, refusal = 0, nil
for _ = 1, MAX_STATEMENTS do
	local r = s:exec("SELECT count(*) FROM t")
	if r.ok then
		response_count = response_count + 1
	elseif r.message:find("no record", 1, true) then
		refusal = r
		break
	end
end
assert(refusal, "no refusal after " .. response_count .. " responses")
assert((refusal.detail or ""):find("not run", 1, true), "the refusal does not say 'not run'")
assert((refusal.hint or ""):find("retry after", 1, true), "the refusal does not say when to retry")

http("POST", c.url .. "/test/outage?mode=up")
wait_until("service after the outage", function()
	local r = s:exec("SELECT count(*) FROM t")
	if r.ok then response_count = response_count + 1 end
	return r.ok
end)
s:close()
wait_until("every response in the report", function()
	local status, lines = c:run_operator_command("report", "--csv", "--route", "roster",
						     "--team", TEAM)
	local reported_count = 0
	for _, line in ipairs(lines) do
		if line:find(",done,", 1, true) then reported_count = reported_count + 1 end
	end
	return status == 0 and reported_count >= response_count
end)
print(string.format("record bound: %d responses recorded in 1 MB, then refused as not run; all reported",
		    response_count))
