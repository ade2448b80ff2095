-- Clients that write and read keys of the table "log" (no primary key, so that a statement that
-- ran twice shows) and record everything in a history.

local history = require "history"

local clients = {}

clients.TABLE = "CREATE TABLE IF NOT EXISTS log(key text, client text)"

-- One session: writes on a random VM, then reads its own keys on another VM with its token.
-- options: route_write, route_read, team, client, rounds, pause_ms, stop (function)
function clients.roam(c, h, options)
	local token
	local round = 0
	local function open(route)
		local vm = c.vms[math.random(#c.vms)]
		if vm.avoid then return nil end
		return connect(c:dsn(vm, route, options.team, token and c.token_option(token))), vm
	end
	while round < options.rounds and not (options.stop and options.stop()) do
		round = round + 1
		local key = options.client .. "-" .. round
		local s, vm = open(options.route_write)
		if s then
			local started = now()
			local r = s:exec(string.format("INSERT INTO log VALUES ('%s', '%s')", key,
						       options.client))
			h:add{ client = options.client, team = options.team, kind = "write",
			       key = key, vm = vm.name, started = started, ended = now(),
			       result = r }
			if r.ok then token = s:param("jasminehill.session") or token end
			s:close()
		end
		s, vm = open(options.route_read)
		if s then
			local started = now()
			local r = s:exec(string.format("SELECT key FROM log WHERE client = '%s'",
						       options.client))
			local seen = {}
			for i, row in ipairs(r.rows or {}) do seen[i] = row[1] end
			h:add{ client = options.client, team = options.team, kind = "read",
			       vm = vm.name, started = started, ended = now(), result = r,
			       seen = r.ok and seen or {} }
			s:close()
		end
		sleep(options.pause_ms or 5)
	end
end

-- What the group holds at the end, read on its primary, one key an execution.
function clients.final(c, h, group)
	local primary = wait_until("a primary of " .. group, function() return c:primary_of(group) end)
	local keys = {}
	for i, row in ipairs(c:on_database(primary, "SELECT key FROM log").rows) do
		keys[i] = row[1]
	end
	h:set_final(keys)
	return primary
end

-- Run @count roaming clients until their rounds are over; @during runs beside them.
function clients.run(c, count, options, during)
	local h = history.new()
	local fibers = {}
	for i = 1, count do
		fibers[i] = go(function()
			local own = { client = "c" .. i }
			for k, v in pairs(options) do own[k] = v end
			clients.roam(c, h, own)
		end)
	end
	if during then during(h) end
	for _, fiber in ipairs(fibers) do join(fiber) end
	return h
end

return clients
