-- Two of three machines, those of one zone, are cut off from the store and from the machines of other
-- zones, and reach each other. Three machines are added elsewhere meanwhile, and the primary is
-- replaced as planned. Both sides then have a majority: of the list of before, and of the new one.

local lib = require "lib"
local note = lib.note

local CUT_MS = 5500
local ITEM = "order-0412"

local c = lib.new()
c:start_store()
c:put_config(1)
for i = 1, 3 do
	c:test("member?service=db&id=i-0" .. i .. "a7&primary=" .. (i == 1 and 1 or 0) .. "&zone=" ..
	       ({ "bursa-a", "bursa-b", "bursa-c" })[i])
end
c:start_network(6)
for _, zone in ipairs{ "bursa-a", "bursa-a", "bursa-b" } do
	c:add_vm{ zone = zone }
	sleep(500)
end
c:wait_ready()
sleep(3000)

local function primary()
	local status, body = http("POST", c.url .. "/test/primary?service=db")
	return status == 200 and body or nil
end

local first = primary()
local island, mainland = c.vms[1], nil
local reader = lib.open(island, "winder")
assert(lib.run(reader, island, "5c0e7a21d94b3700", "WRITE " .. ITEM .. " before").ok)
assert(lib.run(reader, island, "5c0e7a21d94b3701", "READ " .. ITEM).rows[1] == "before")

local cut_at = now()
if lib.HAS_TROUBLE then c:command("cut vm-1,vm-2") end
sleep(200)
note("planned work: three machines are added")
mainland = c:add_vm{ zone = "bursa-b" }
c:add_vm{ zone = "bursa-c" }
c:add_vm{ zone = "bursa-c" }
c:wait_ready({ c.vms[4], c.vms[5], c.vms[6] })
note("planned work: %s is to be replaced", first)
c:test("leave?id=" .. first .. "&drain=7000")

local function elapsed_ms() return (now() - cut_at) // 1000 end

while primary() == first and elapsed_ms() < CUT_MS do sleep(20) end
while not primary() and elapsed_ms() < CUT_MS do sleep(20) end
note("the platform's primary is %s, %d ms after the cut", tostring(primary()), elapsed_ms())

local writer = lib.open(mainland, "winder")
local writes, reads, stale, i = 0, 0, 0, 0
while elapsed_ms() < CUT_MS - 100 do
	i = i + 1
	local data = "write-" .. i
	if not writer or writer.is_closed then writer = lib.open(mainland, "winder") end
	local written = writer and lib.run(writer, mainland, string.format("5c0e7a21d94b38%02x", i),
					   "WRITE " .. ITEM .. " " .. data)
	if written and written.ok then
		writes = writes + 1
		if not reader or reader.is_closed then reader = lib.open(island, "winder") end
		local read = reader and lib.run(reader, island, string.format("5c0e7a21d94b39%02x", i), "READ " .. ITEM)
		if read and read.ok then
			reads = reads + 1
			if read.rows[1] ~= data then stale = stale + 1 end
		end
	end
	sleep(100)
end
c:command("heal")
sleep(500)
note("%d writes acknowledged at %s, %d reads served at %s, %d of them without the write acknowledged before",
     writes, mainland.name, reads, island.name, stale)
for _, vm in ipairs(c.vms) do
	for _, line in ipairs(vm.process:lines()) do
		if line:match("event=primary") or line:match("module=lead") or line:match("event=authority") or
		   line:match("event=cut_off") then note("%s", line) end
	end
end
assert(writes > 0, "no write was acknowledged")
lib.finish(stale > 0 and string.format("STALE: %d of %d reads of a primary route lacked a commit that was acknowledged before",
				       stale, reads) or nil)
