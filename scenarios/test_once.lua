-- Issue 4, point 4: a request that may not be repeated runs at most once, also when its answer is
-- lost and its caller asks again on another entry with the same request id, across the death of
-- entries and a change of primary.

local cluster = require "cluster"
local clients = require "clients"
local history = require "history"

local TEAM = "nairobi-sangat"
local GROUP = "langar-db-1"
local CALLERS, PLEDGES = 6, 25

local c = cluster.start{ deployment = "sevadar" }
c:wait_served(1, "pledges", TEAM, clients.CREATE_TABLE)
local h = history.new()
local dead = {}

-- Ask until the answer is certain: again with the same request id, each time on another entry.
local function pledge(client, key)
	for attempt = 1, 200 do
		local vm = c.vms[math.random(#c.vms)]
		if not dead[vm.name] then
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
					assert(r.tag == "INSERT 0 1", "another answer: " .. r.tag)
					return true
				end
			end
		end
		sleep(20)
	end
	error("no certain answer for " .. key)
end

local fibers = {}
for n = 1, CALLERS do
	fibers[n] = go(function()
		for i = 1, PLEDGES do
			local key = "p" .. n .. "-" .. i
			pledge("c" .. n, key)
			-- A caller that lost its answer asks again although it was served.
			if i % 5 == 0 then pledge("c" .. n, key) end
		end
	end)
end
sleep(300)
dead["vm-5"] = true
c.vms[5].process:signal("KILL")
sleep(300)
local primary = c:primary_of(GROUP)
c.databases[primary].process:signal("KILL")
c.databases[primary].is_stopped = true
for _, fiber in ipairs(fibers) do join(fiber) end

clients.record_final_keys(c, h, GROUP)
h:assert_no_violations()
print(string.format("at most once: %d pledges, %d calls with an unknown outcome, none ran twice",
		    CALLERS * PLEDGES, h:count("outcome = 'unknown'")))
