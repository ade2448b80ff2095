-- Two seeds of the soak: sessions that keep their connections, while VMs are killed, paused and
-- restarted, members are paused and isolated, and the platform fails, all at random and overlapping.

local soak = require "soak"

for _, seed in ipairs{ 1, 2 } do soak.run{ seed = seed, seconds = 20 } end
