-- tools/plot draws bar charts from the file that make measures writes, and rejects faulty files
-- (issue 5, point 2). The figures here are invented; the charts go to a temporary folder.

local HEADER = "deployment,failure,policy,replica_share,longest_write_gap_ms,worst_team," ..
	       "worst_team_served_share,wrongful_refusals,served,worst_p99_ms,codes\n"
local ROWS = "sevadar,none,jasminehill,0.911,41,granthis,0.998,0,9000,20.0,\n" ..
	     "sevadar,none,primary-only reads,0.000,46,granthis,0.957,13,9000,20.0,53300:13\n" ..
	     "sevadar,primary killed; platform down,jasminehill,0.852,409,kitchen-leads,0.932,37," ..
	     "9000,20.0,57P01:37\n" ..
	     "kaplanoglu,none,jasminehill,0.883,43,ledger,0.996,0,9000,20.0,\n"

-- Texts of each chart besides the labels that all charts have.
local chart_texts = {
	failover_gap = { ">41<", ">46<", ">409<", ">43<" },
	replica_reads = { ">0.91<", ">0.00<", ">0.85<", ">0.88<" },
	worst_team = { ">0.998 granthis<", ">0.957 granthis<", ">0.932 kitchen-leads<",
		       ">0.996 ledger<" },
	wrongful_refusals = { ">13<", ">37<" },
}
local LABELS = { ">sevadar<", ">kaplanoglu<", ">none<", ">none, primary-only reads<",
		 ">primary killed, platform down<" }

local base = os.tmpname()
local csv, folder = base .. ".csv", base .. ".plots"

local function run_plot(text)
	local file = assert(io.open(csv, "w"))
	file:write(text)
	file:close()
	local process = spawn{ name = "plot", args = { "tools/plot", csv, folder } }
	local status = process:wait()
	return status, table.concat(process:lines(), "\n")
end

local function read(path)
	local file = io.open(path)
	local text = file and file:read("a")
	if file then file:close() end
	return text
end

local function remove_charts()
	for name in pairs(chart_texts) do os.remove(folder .. "/" .. name .. ".svg") end
	os.remove(folder)
end

local function expect_refused(what, text, message)
	local status, output = run_plot(text)
	assert(status == 1, what .. ": status " .. status)
	assert(output:find(message, 1, true), what .. ": " .. output)
	for name in pairs(chart_texts) do
		assert(not read(folder .. "/" .. name .. ".svg"), what .. ": drew the chart " .. name)
	end
end

expect_refused("no rows", HEADER, "holds no measures")
expect_refused("a missing column", HEADER:gsub("replica_share", "share") .. ROWS,
	       "has no column replica_share")
expect_refused("a value that is not a number", HEADER .. ROWS:gsub("0.911", "nan"),
	       "line 2: replica_share is no number")
expect_refused("a duplicate line", HEADER .. ROWS .. ROWS, "line 6: measured twice")

local status, output = run_plot(HEADER .. ROWS)
assert(status == 0, output)
for name, texts in pairs(chart_texts) do
	local svg = assert(read(folder .. "/" .. name .. ".svg"), "no chart " .. name)
	assert(svg:find("</svg>", 1, true), name .. ": truncated")
	for _, list in ipairs{ LABELS, texts } do
		for _, text in ipairs(list) do
			assert(svg:find(text, 1, true), name .. ": has no text " .. text)
		end
	end
end

remove_charts()
os.remove(csv)
os.remove(base)
print("plot: four charts drawn, four faulty files rejected")
