-- Seeds of the soak of the profile "fleet": callers that keep their sessions, while VMs, the store and
-- members fail in series and overlapping. Some have synchronous replicas whose registrations lapse, or
-- VMs that start as a restored store comes back, or VMs that are added. The last one has holders by
-- data centre.

local soak = require "fleet_soak"

for _, seed in ipairs{ 1, 2 } do soak.run{ seed = seed, seconds = 12 } end
soak.run{ seed = 2, seconds = 14, sync_replicas = 1, only = { "copies_lapse" } }
soak.run{ seed = 1, seconds = 14, only = { "start_on_restored_store" } }
soak.run{ seed = 1, seconds = 8, vms = 3,
	  only = { "vms_added", "kill_vm", "restart_vm", "cut_vm_from_store", "member_leaves", "member_crashes" } }
soak.run{ seed = 3, seconds = 8, vms = 15, spread = true }
