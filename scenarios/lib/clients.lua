-- Clients that write and read keys of the table "log" and add each call to a history. The table
-- has no primary key, so that a statement that ran twice leaves two rows.

local history = require "history"

local clients = {}

clients.CREATE_TABLE = "CREATE TABLE IF NOT EXISTS log(key text, client text)"

-- Runs one session. In each round it writes a key on a random VM, then reads all keys of its client
-- on a random VM, to which it presents its session token. If the drawn VM has is_avoided set, the
-- call is skipped.
-- options: route_write, route_read, team, client, rounds, pause_ms (default 5), stop (optional
-- function; the session ends once it returns true)
function clients.run_session(c, h, options)
	local token
	local round = 0
	local function connect_to_random_vm(route)
		local vm = c.vms[math.random(#c.vms)]
		if vm.is_avoided then return nil end
		return connect(c:dsn(vm, route, options.team, token and c.token_option(token))), vm
	end
	while round < options.rounds and not (options.stop and options.stop()) do
		round = round + 1
		local key = options.client .. "-" .. round
		local s, vm = connect_to_random_vm(options.route_write)
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
		s, vm = connect_to_random_vm(options.route_read)
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

-- Reads the keys that the group's primary holds at the end of a run, one for each execution of a
-- write, and stores them in the history. Returns the name of the primary.
function clients.record_final_keys(c, h, group)
	local primary = wait_until("a primary of " .. group, function() return c:primary_of(group) end)
	local keys = {}
	for i, row in ipairs(c:database_exec(primary, "SELECT key FROM log").rows) do
		keys[i] = row[1]
	end
	h:set_final_keys(keys)
	return primary
end

-- Runs @count sessions in fibers of their own and waits until all have ended. The optional function
-- @while_running is called with the history while they run. Returns the history.
function clients.run_sessions(c, count, options, while_running)
	local h = history.new()
	local fibers = {}
	for i = 1, count do
		fibers[i] = go(function()
			local client_options = { client = "c" .. i }
			for k, v in pairs(options) do client_options[k] = v end
			clients.run_session(c, h, client_options)
		end)
	end
	if while_running then while_running(h) end
	for _, fiber in ipairs(fibers) do join(fiber) end
	return h
end

return clients
