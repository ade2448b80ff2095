-- A request that may not be repeated runs at most once, also if its response is lost and the caller
-- retries it with the same request id on another entry, while an entry and the primary are killed
-- (issue 4, point 4).

local cluster = require "cluster"
local clients = require "clients"
local history = require "history"

local TEAM = "nairobi-sangat"
local GROUP = "langar-db-1"
local CALLER_COUNT, PLEDGES_PER_CALLER = 6, 25

local c = cluster.start{ deployment = "sevadar" }
c:wait_served(1, "pledges", TEAM, clients.CREATE_TABLE)
local h = history.new()
local is_dead = {}

-- Sends the statement until it succeeds, always with the same request id and each time on a random
-- entry. A retry must get the response of the first run.
local function insert_pledge(client, key)
	for attempt = 1, 200 do
		local vm = c.vms[math.random(#c.vms)]
		if not is_dead[vm.name] then
			local s = connect(c:dsn(vm, "pledges", TEAM,
						"-c jasminehill.request_id=" .. key))
			if s then
				local started = now()
				local r = s:exec(string.format("INSERT INTO log VALUES ('%s', '%s')",
							       key, client))
				h:add{ client = client, team = TEAM, kind = "write", key = key,
				       vm = vm.name, started = started, ended = now(), result = r }
				s:close()
				if r.ok then
					assert(r.tag == "INSERT 0 1",
					       "a response that differs from the first one: " .. r.tag)
					return true
				end
			end
		end
		sleep(20)
	end
	error("no successful response for " .. key)
end

local fibers = {}
for n = 1, CALLER_COUNT do
	fibers[n] = go(function()
		for i = 1, PLEDGES_PER_CALLER do
			local key = "p" .. n .. "-" .. i
			insert_pledge("c" .. n, key)
			-- Like a caller that lost its response, retries a request that succeeded.
			if i % 5 == 0 then insert_pledge("c" .. n, key) end
		end
	end)
end
sleep(300)
is_dead["vm-5"] = true
c.vms[5].process:signal("KILL")
sleep(300)
local primary = c:primary_of(GROUP)
c.databases[primary].process:signal("KILL")
c.databases[primary].is_stopped = true
for _, fiber in ipairs(fibers) do join(fiber) end

clients.record_final_keys(c, h, GROUP)
h:assert_no_violations()
print(string.format("at most once: %d pledges, %d calls with an unknown outcome, none ran twice",
		    CALLER_COUNT * PLEDGES_PER_CALLER, h:count("outcome = 'unknown'")))
