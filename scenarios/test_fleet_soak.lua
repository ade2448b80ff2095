-- Seeds of the soak of the profile "fleet": callers that keep their sessions, while VMs, the store and
-- members fail in series and overlapping. The last one has holders by data centre.

local soak = require "fleet_soak"

for _, seed in ipairs{ 1, 2 } do soak.run{ seed = seed, seconds = 12 } end
soak.run{ seed = 3, seconds = 8, vms = 15, spread = true }
