-- The long soak, run by hand. The arguments are the first seed, the number of seeds, the seconds of
-- each, and the number of VMs. The first violation ends it; its seed is in the output.

local soak = require "soak"

local first, count, seconds = tonumber(arg[1] or 1), tonumber(arg[2] or 50), tonumber(arg[3] or 15)
local vms = tonumber(arg[4] or 7)

for seed = first, first + count - 1 do
	print("soak seed " .. seed .. " begins")
	soak.run{ seed = seed, seconds = seconds, vms = vms, sessions = 4 + seed % 3 * 8,
		  fault_series = 2 + seed % 4 }
end
