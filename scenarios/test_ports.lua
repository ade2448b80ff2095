-- Two scenario programs that run at the same time get different ports, also if they begin in the
-- same block: a daemon of one took the port of the other's stand-in before that had bound it.
local BIN_FOLDER = os.getenv("JH_BIN") or "build/bin"
local seen = {}

local function start(name)
	return spawn{ name = name, args = { BIN_FOLDER .. "/scenario", "scenarios/lib/print_ports.lua" },
		      env = { "JH_PORT_BLOCK=7" } }
end

local programs = { start("first"), start("second"), start("third") }
for _, program in ipairs(programs) do
	for port in program:expect("ports=([%d,]+)"):gmatch("%d+") do
		assert(not seen[port], "port " .. port .. " was given to two programs")
		seen[port] = true
	end
end
for _, program in ipairs(programs) do program:signal("KILL") end
for _, program in ipairs(programs) do program:wait() end
