-- The operators' command and the virtual database show an entry's counters in the Prometheus text
-- format (issue 5, point 5).

local cluster = require "cluster"

local TEAM = "nairobi-sangat"
local READS = 5

-- Checks every line of the text. Returns a table name -> { value =, type = }, and the number of
-- metrics.
local function parse_metrics(lines)
	local metrics, metric_count = {}, 0
	assert(#lines > 0 and #lines % 3 == 0, #lines .. " lines, not three for each metric")
	for i = 1, #lines, 3 do
		local name = lines[i]:match("^# HELP ([a-z][a-z0-9_]*) [^\\]+$")
		assert(name, "no HELP line: " .. lines[i])
		local kind = lines[i + 1]:match("^# TYPE " .. name .. " (%a+)$")
		assert(kind == (name:match("_total$") and "counter" or "gauge"),
		       "no TYPE line, or a wrong type: " .. lines[i + 1])
		local value = lines[i + 2]:match("^" .. name .. " (%-?%d+)$")
		assert(value, "no line with a value: " .. lines[i + 2])
		assert(not metrics[name], "a metric appears twice: " .. name)
		metrics[name] = { value = tonumber(value), type = kind }
		metric_count = metric_count + 1
	end
	return metrics, metric_count
end

local function scrape(c)
	local status, lines = c:run_operator_command("show", "metrics", "--entry",
						     "127.0.0.1:" .. c.vms[1].port)
	assert(status == 0, "show metrics: " .. table.concat(lines, "\n"))
	return parse_metrics(lines)
end

local function read_count(metrics)
	local total = 0
	for _, kind in ipairs{ "replica", "primary" } do
		local metric = metrics["jasminehill_reads_" .. kind .. "_total"]
		total = total + (metric and metric.value or 0)
	end
	return total
end

local c = cluster.start{ deployment = "sevadar" }
c:wait_served(1, "pledges", TEAM, "CREATE TABLE IF NOT EXISTS t(n int)")
c:wait_served(1, "roster", TEAM, "SELECT n FROM t")

local before, metric_count = scrape(c)
local s = c:connect(1, "roster", TEAM)
for _ = 1, READS do assert(s:exec("SELECT n FROM t").ok) end
local after = scrape(c)
s:close()
assert(read_count(after) == read_count(before) + READS,
       "number of reads: " .. read_count(before) .. ", then " .. read_count(after))
assert(after.jasminehill_config_version.type == "gauge" and
       after.jasminehill_config_version.value == 1)
for name, metric in pairs(before) do
	assert(after[name] and (metric.type == "gauge" or after[name].value >= metric.value),
	       "a metric is missing or a counter decreased: " .. name)
end

s = c:connect(1, "jasminehill", TEAM)
local lines = {}
for i, row in ipairs(s:exec("SHOW metrics").rows) do
	assert(#row == 1)
	lines[i] = row[1]
end
s:close()
parse_metrics(lines)

local _, csv = c:run_operator_command("show", "metrics", "--csv", "--entry", "127.0.0.1:" .. c.vms[1].port)
assert(csv[1] == "metrics", "CSV without a header: " .. tostring(csv[1]))
print(string.format("metrics: %d metrics of an entry, each with help, type and value", metric_count))
c:stop()
