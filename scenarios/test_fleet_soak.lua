-- Two seeds of the soak of the profile "fleet": callers that keep their sessions, while VMs, the store
-- and members fail in series and overlapping.

local soak = require "fleet_soak"

for _, seed in ipairs{ 1, 2 } do soak.run{ seed = seed, seconds = 12 } end
