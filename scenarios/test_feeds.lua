-- Guards against DRAIN and CONFIG (issue 31): the store forgets the feeds of all VMs while it
-- compacts its history, and tells nobody, since it is silent at that moment. Every VM still learns
-- of a member that leaves and of a new configuration before its feeds time out.

local fleet = require "fleet"

local f = fleet.start(3)
f:put_member("m-1", "ready")
f:wait_for_lines("event=member member=m%-1 .*draining=0")
f:test("silent?on=1")
sleep(300)
f:test("forget")
f:test("silent?on=0")
f:put_member("m-1", "draining")
f:put_config(2)
f:wait_for_lines("event=member member=m%-1 .*draining=1")
f:wait_for_lines("event=config_in_force version=2 ")
for _, vm in ipairs(f.vms) do
	for _, line in ipairs(vm.process:lines()) do
		local waited_ms = tonumber(line:match("event=feed_failed .*waited_ms=(%d+)"))
		assert(not waited_ms or waited_ms < 20000, "a feed ended by its timeout: " .. line)
	end
end
print("feeds: three VMs learned of changes whose feeds the store had forgotten")
