-- Issue 4, points 1 and 2: read-your-writes and acknowledged writes across changes of primary,
-- while sessions roam and replicas lag. Failures: the primary is killed, frozen, or cut off from
-- its group while it still answers; with the platform up and down; twice and together.

local cluster = require "cluster"
local clients = require "clients"

local GROUP = "langar-db-1"
local failure = arg[1] or "all"

local failures = {}

-- The primary's process ends; it comes back later as an empty member.
function failures.kill(c, primary)
	c.databases[primary].process:signal("KILL")
	c.databases[primary].is_stopped = true
end

-- The primary is paused and wakes up after the group has gone on without it.
function failures.freeze(c, primary)
	c.databases[primary].process:signal("STOP")
	c.databases[primary].is_stopped = true
	return function()
		c.databases[primary].process:signal("CONT")
		c.databases[primary].is_stopped = false
	end
end

-- The primary still answers the daemons, but none of its group hears it.
function failures.isolate(c, primary)
	local others = {}
	for name, database in pairs(c.databases) do
		if database.group == GROUP and name ~= primary then
			others[#others + 1] = name
			c:database_exec(name, "SELECT standin_set('cut', '" .. primary .. "')")
		end
	end
	c:database_exec(primary, "SELECT standin_set('cut', '" .. table.concat(others, ",") .. "')")
	return function()
		for name, database in pairs(c.databases) do
			if database.group == GROUP then
				c:database_exec(name, "SELECT standin_set('cut', '')")
			end
		end
	end
end

local function await_new_primary(c, old)
	return wait_until("a new primary", function()
		for name, database in pairs(c.databases) do
			if database.group == GROUP and name ~= old and not database.is_stopped then
				local r = c:database_exec(name, "SELECT * FROM group_status()")
				if r.ok and r.rows[1][3] == "primary" then return name end
			end
		end
	end)
end

local function run(name, platform)
	local c = cluster.start{ deployment = "sevadar", lag_ms = 200 }
	c:wait_served(1, "pledges", "nairobi-sangat", clients.CREATE_TABLE)
	local old = c:primary_of(GROUP)
	local h = clients.run_sessions(c, 8, { team = "nairobi-sangat", route_write = "pledges",
				      route_read = "roster", rounds = 60, pause_ms = 20 },
		function()
			sleep(500)
			if platform == "down" then
				http("POST", c.url .. "/test/outage?mode=refuse")
			end
			local heal = failures[name](c, old)
			await_new_primary(c, old)
			sleep(500)
			if heal then heal() end
		end)
	clients.record_final_keys(c, h, GROUP)
	h:assert_no_violations()
	local ok = h:count("kind = 'write' AND outcome = 'ok'")
	local lost = h:count("outcome = 'unknown'")
	assert(ok > 100, "only " .. ok .. " writes went through")
	print(string.format("%s with the platform %s: %d writes acknowledged, %d unknown, %d not run, " ..
			    "%d reads, no violation", name, platform, ok, lost,
			    h:count("outcome = 'not run'"), h:count("kind = 'read' AND outcome = 'ok'")))
	c:stop()
end

for _, name in ipairs{ "kill", "freeze", "isolate" } do
	for _, platform in ipairs{ "up", "down" } do
		if failure == "all" or failure == name then run(name, platform) end
	end
end
