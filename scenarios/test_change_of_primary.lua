-- Sessions read their own writes and no acknowledged write is lost across a change of primary, while
-- sessions move between VMs and replicas lag (issue 4, points 1 and 2). The primary is killed,
-- frozen, or isolated from its group while it still answers the daemons; each with the platform up
-- and down. The argument "kill", "freeze" or "isolate" runs only this failure.

local cluster = require "cluster"
local clients = require "clients"

local GROUP = "langar-db-1"
local wanted_failure = arg[1] or "all"

-- Each function causes a failure. It may return a function that undoes the failure.
local failures = {}

-- Kills the primary's process for good.
function failures.kill(c, primary)
	c.databases[primary].process:signal("KILL")
	c.databases[primary].is_stopped = true
end

-- Pauses the primary's process; it resumes after the group has another primary.
function failures.freeze(c, primary)
	c.databases[primary].process:signal("STOP")
	c.databases[primary].is_stopped = true
	return function()
		c.databases[primary].process:signal("CONT")
		c.databases[primary].is_stopped = false
	end
end

-- Separates the primary from the other members of its group; it still answers the daemons.
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

local function wait_for_new_primary(c, old_primary)
	return wait_until("a new primary", function()
		for name, database in pairs(c.databases) do
			if database.group == GROUP and name ~= old_primary and not database.is_stopped then
				local r = c:database_exec(name, "SELECT * FROM group_status()")
				if r.ok and r.rows[1][3] == "primary" then return name end
			end
		end
	end)
end

local function run(name, platform)
	local c = cluster.start{ deployment = "sevadar", lag_ms = 200 }
	c:wait_served(1, "pledges", "nairobi-sangat", clients.CREATE_TABLE)
	local old_primary = c:primary_of(GROUP)
	local h = clients.run_sessions(c, 8, { team = "nairobi-sangat", route_write = "pledges",
				      route_read = "roster", rounds = 60, pause_ms = 20 },
		function()
			sleep(500)
			if platform == "down" then
				http("POST", c.url .. "/test/outage?mode=refuse")
			end
			local undo_failure = failures[name](c, old_primary)
			wait_for_new_primary(c, old_primary)
			sleep(500)
			if undo_failure then undo_failure() end
		end)
	clients.record_final_keys(c, h, GROUP)
	h:assert_no_violations()
	local ok = h:count("kind = 'write' AND outcome = 'ok'")
	local unknown = h:count("outcome = 'unknown'")
	assert(ok > 100, "only " .. ok .. " writes succeeded")
	print(string.format("%s with the platform %s: %d writes acknowledged, %d unknown, %d not run, " ..
			    "%d reads, no violation", name, platform, ok, unknown,
			    h:count("outcome = 'not run'"), h:count("kind = 'read' AND outcome = 'ok'")))
	c:stop()
end

for _, name in ipairs{ "kill", "freeze", "isolate" } do
	for _, platform in ipairs{ "up", "down" } do
		if wanted_failure == "all" or wanted_failure == name then run(name, platform) end
	end
end
