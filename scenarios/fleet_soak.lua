-- The long soak of the profile "fleet", run by hand. The arguments are the first seed, the number of
-- seeds, the seconds of faults of each, the number of VMs, a file for the output of all processes,
-- "spread" for members in three data centres, the faults to draw from, separated by commas, "plain" for
-- texts without odd bytes, and the number of synchronous replicas; without it, every third seed has one.
-- The first violation ends it; its seed is in the output.

local soak = require "fleet_soak"

local first, count, seconds = tonumber(arg[1] or 1), tonumber(arg[2] or 50), tonumber(arg[3] or 12)
local vms = tonumber(arg[4] or 5)
if arg[5] and arg[5] ~= "" then log_to(arg[5]) end

local only
for name in (arg[7] or ""):gmatch("[^,]+") do
	only = only or {}
	only[#only + 1] = name
end

for seed = first, first + count - 1 do
	print("fleet soak seed " .. seed .. " begins")
	local sync_replicas = tonumber(arg[9] or (seed % 3 == 0 and 1 or 0))
	soak.run{ seed = seed, sync_replicas = sync_replicas > 0 and sync_replicas or nil, seconds = seconds, vms = vms, callers = 6 + seed % 3 * 6,
		  fault_series = 2 + seed % 3, spread = arg[6] == "spread", only = only,
		  plain = arg[8] == "plain" }
end
