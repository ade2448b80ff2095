-- A small deployment for the cases of the second review: the daemons with the flags of the deploy
-- file, the stand-in of the platform, and a proxy in front of each member.

local wire = require "wire"

local trial = {}
trial.__index = trial

local DAEMON = "target/bin/jasminehilld"
local TOOLS = os.getenv("REVIEW_BIN") or "target/review-2/bin"
local CLUSTER_KEY = "3f1c0a7be2d94856a1f07c63b58de92410c7f6ab9d2e4538b6a1c05f7d38e942"
local ZONES = { "ke-central-a", "ke-central-b", "ke-central-c" }

trial.has_trouble = os.getenv("TROUBLE") ~= "0"

local record = assert(io.open(assert(os.getenv("RECORD"), "RECORD is not set"), "w"))
local started_us = now()

function trial.note(format, ...)
	record:write(string.format("%9.3f  ", (now() - started_us) / 1000000), string.format(format, ...), "\n")
	record:flush()
end

-- Ends the record; run.sh takes its exit status from this line.
function trial.finish(is_broken, format, ...)
	trial.note(format, ...)
	record:write("RESULT ", is_broken and "broken" or "held", "\n")
	record:flush()
end

function trial.wait(what, limit_ms, check)
	local from = now()
	while true do
		local value = check()
		if value then return value end
		if now() - from > limit_ms * 1000 then
			trial.note("gave up waiting for %s", what)
			error("timeout waiting for " .. what, 2)
		end
		sleep(10)
	end
end

local function base64_decode(text)
	local digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/"
	local out, bits, count = {}, 0, 0
	for c in text:gmatch("[%w+/]") do
		bits, count = bits << 6 | digits:find(c, 1, true) - 1, count + 6
		if count >= 8 then
			count = count - 8
			out[#out + 1] = string.char(bits >> count & 255)
		end
	end
	return table.concat(out)
end

function trial:test(action)
	local status, body = http("POST", self.url .. "/test/" .. action)
	assert(status == 200, "the platform did not " .. action)
	return body
end

function trial:put_row(tbl, key, value)
	assert(http("PUT", self.url .. "/test/row?table=" .. tbl .. "&key=" .. key, json_encode(value)) == 200)
end

function trial:get_row(tbl, key)
	local _, body = http("GET", self.url .. "/v1/rows-get?table=" .. tbl .. "&part=&from=" .. key)
	local row = json_decode(body).rows[1]
	return row and row.key == key and json_decode(base64_decode(row.value)) or nil
end

function trial:put_config(version, sync_replicas)
	local tenants = {}
	for i = 1, 4 do
		tenants[i] = { name = "team-" .. i, apiKeys = { "key-" .. i }, ratePerS = 2000, burst = 2000 }
	end
	self:put_row("op", "config", { version = version, limits = { txIdleMs = 3000 }, tenants = tenants,
		services = { { name = "db", maxConns = 24, syncReplicas = sync_replicas or 0 } },
		routes = { { host = "orders", service = "db", type = "primary", timeoutMs = 1000,
			     targetLatencyMs = 200, maxStalenessMs = 1500, priority = 1 } } })
end

-- Writes a member's registration with the address of its proxy, as the member would with its own.
function trial:register(id, changes)
	local row = assert(self:get_row("servers", id))
	row.addr = "127.0.0.1:" .. self.proxies[id].port
	for name, value in pairs(changes or {}) do row[name] = value end
	self:put_row("servers", id, row)
end

function trial:start_member(id, is_primary, zone, has_proxy)
	local port = self:test("member?service=db&id=" .. id .. "&primary=" .. (is_primary and 1 or 0) ..
			       "&zone=" .. zone)
	if not has_proxy then return end
	local process = spawn{ name = "proxy-" .. id, args = { TOOLS .. "/member_proxy", port } }
	local listen, control = process:expect("listening port=(%d+) control=(%d+)")
	self.proxies[id] = { process = process, port = listen, control = tonumber(control) }
	self:register(id)
end

-- The registration that a member of sync_members would write.
function trial:register_sync(id, role)
	self:put_row("servers", id, { service = "db", addr = "127.0.0.1:" .. self.ports[id], zone = ZONES[tonumber(id:sub(3))],
		version = "1", slots = 4, state = "ready", coldLeftMs = 0, seq = 1, dbRole = role, born = 1700000000000 })
end

function trial:start_sync_members(lags)
	self.members = spawn{ name = "members", args = { TOOLS .. "/sync_members", "db", lags[1], lags[2], lags[3] } }
	local m1, m2, m3, promote, control =
		self.members:expect("listening m1=(%d+) m2=(%d+) m3=(%d+) promote=(%d+) control=(%d+)")
	self.ports = { ["m-1"] = m1, ["m-2"] = m2, ["m-3"] = m3 }
	self.control_url, self.members_control = "http://127.0.0.1:" .. promote, tonumber(control)
	for i = 1, 3 do self:register_sync("m-" .. i, i == 1 and "primary" or "replica") end
end

function trial:command_members(command)
	return trial.wait("the members", 2000, function()
		local answer = raw(self.members_control, command .. "\n", 100)
		return answer ~= "" and answer
	end)
end

function trial:command_proxy(id, command)
	trial.wait("the proxy of " .. id, 2000, function()
		return raw(self.proxies[id].control, command .. "\n", 50):match("^ok")
	end)
end

function trial:add_vm()
	local i = #self.vms + 1
	self.vms[i] = { name = "front-" .. i, zone = ZONES[(i - 1) % 3 + 1], team = "team-" .. i, key = "key-" .. i,
			port = free_port(), ready_port = free_port(), peer_port = free_port() }
	return self.vms[i]
end

-- The command of deploy/system.toml, with the bounds of a small site.
function trial:start_daemon(vm)
	vm.process = spawn{ name = vm.name,
		args = { DAEMON, "--profile", "fleet", "--vm", vm.name, "--dc", vm.zone,
			 "--listen", "127.0.0.1:" .. vm.port, "--ready-listen", "127.0.0.1:" .. vm.ready_port,
			 "--peer-listen", "127.0.0.1:" .. vm.peer_port, "--platform", self.url,
			 "--control", self.control_url or self.url, "--drain", "6s", "--config-bound", 3000, "--member-drain", 7000,
			 "--cpu-share", 0.25, "--link-mbps", "1000.0" },
		env = { "JASMINEHILL_CLUSTER_KEY=" .. CLUSTER_KEY, "JASMINEHILL_DC_DRAIN_BOUND=5000",
			"JASMINEHILL_COLD_EXCESS=1", "JASMINEHILL_COLD_SLACK=0",
			"JASMINEHILL_DC_REGIONS=ke-central-a=ke-central,ke-central-b=ke-central,ke-central-c=ke-central" } }
end

function trial:find_primary()
	local status, body = http("POST", self.url .. "/test/primary?service=db")
	return status == 200 and body or nil
end

-- Returns the name of the daemon that leads, by the newest line of a daemon's log.
function trial:find_leader()
	local leader
	for _, line in ipairs(self.vms[1].process:lines()) do
		leader = line:match("module=lead event=lead holder=([%w-]+)") or leader
	end
	return leader
end

function trial:find_vm(name)
	for _, vm in ipairs(self.vms) do
		if vm.name == name then return vm end
	end
end

function trial:session(vm)
	return wire.open(vm.port, "orders", vm.key)
end

local function from_hex(text)
	return (text:gsub("%x%x", function(digits) return string.char(tonumber(digits, 16)) end))
end

-- Returns what the members ran and committed.
function trial:report()
	local status, body = http("GET", self.url .. "/test/report")
	assert(status == 200, "no report of the members")
	local report = json_decode(body)
	for _, statement in ipairs(report.statements) do
		for i = 4, 7 do statement[i] = from_hex(statement[i]) end
	end
	return report
end

-- Starts the platform, three members in three zones, and @count daemons; waits until each serves writes.
-- options: proxies (each member is behind a proxy), lags (the members are those of sync_members, with these
-- delays)
function trial.start(count, options)
	local has_proxies = options and options.proxies
	local self = setmetatable({ vms = {}, proxies = {} }, trial)
	local log = os.getenv("PROCESS_LOG")
	if log then log_to(log) end
	self.store = spawn{ name = "platform", args = { TOOLS .. "/standin_rows" } }
	self.port = self.store:expect("listening port=(%d+)")
	self.url = "http://127.0.0.1:" .. self.port
	self:put_config(1, options and options.lags and 1)
	if options and options.lags then self:start_sync_members(options.lags) end
	for i = 1, options and options.lags and 0 or 3 do self:start_member("m-" .. i, i == 1, ZONES[i], has_proxies) end
	for _ = 1, count do self:start_daemon(self:add_vm()) end
	for i, vm in ipairs(self.vms) do
		trial.wait("writes through " .. vm.name, 20000, function()
			local s = self:session(vm)
			local r = s and s:query("first" .. i .. "-" .. now(), "WRITE first-" .. i .. " x")
			if s then s:close() end
			return r and r.ok
		end)
	end
	trial.note("the platform, members m-1 (primary), m-2 and m-3, and %d daemons serve", count)
	return self
end

function trial:stop()
	for _, vm in ipairs(self.vms) do
		if not vm.process:exited() then vm.process:signal("KILL") end
	end
	for _, vm in ipairs(self.vms) do vm.process:wait() end
	for _, proxy in pairs(self.proxies) do
		proxy.process:signal("TERM")
		proxy.process:wait()
	end
	if self.members then
		self.members:signal("TERM")
		self.members:wait()
	end
	self.store:signal("TERM")
	self.store:wait()
end

return trial
