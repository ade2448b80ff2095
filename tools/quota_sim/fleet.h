#ifndef QUOTA_FLEET_H
#define QUOTA_FLEET_H

#include "jh_quota.h"

/**
 * DOC: A fleet in virtual time
 *
 * One team's quota clients and servers on several VMs, with clocks that drift, messages that are
 * late, lost, doubled and overtake each other, VMs that freeze and restart, and views of who
 * serves the team that differ. Every grant is checked against the team's limit, exactly.
 */

/**
 * struct fleet_options - what happens
 * @seed: of all random choices
 * @vms: how many; VM 0 serves the team at first
 * @policy: of clients and servers
 * @limit: the team's
 * @offered: requests a second that callers send
 * @skew_percent: of the requests, how many go to one VM
 * @skew_move_us: how often that VM changes; 0: never
 * @wait_us: longest wait that callers accept
 * @run_us: length of the run
 * @delay_us: least delay of a message; the most is twice that, now and then 50 times
 * @loss_percent: of messages
 * @copy_percent: of messages
 * @server_crash_us: how often the VM that serves the team restarts; 0: never
 * @crash_us: mean time between restarts of a VM; 0: never
 * @freeze_us: mean time between freezes of a VM; 0: never
 * @view_us: mean time between changes of a VM's view of who serves; 0: only after a crash
 * @dead_vms: VMs that end for good after a quarter of the run
 * @drift: clocks run too fast or slow, and start anywhere
 * @forget_leases: fault for tests: a restarted VM mints at once what its earlier life lent
 * @one_epoch: fault for tests: a server takes loans that were made to its predecessor for its own
 */
typedef struct fleet_options {
	guint32 seed;
	unsigned vms;
	jh_quota_policy_t policy;
	jh_quota_limit_t limit;
	double offered;
	unsigned skew_percent;
	int64_t skew_move_us;
	int64_t wait_us;
	int64_t run_us;
	int64_t delay_us;
	unsigned loss_percent;
	unsigned copy_percent;
	int64_t server_crash_us;
	int64_t crash_us;
	int64_t freeze_us;
	int64_t view_us;
	unsigned dead_vms;
	bool drift;
	bool forget_leases;
	bool one_epoch;
} fleet_options_t;

/**
 * struct fleet_result - what came of it
 * @requests: sent, but to VMs that are down
 * @granted: of them
 * @within: requests that one bucket for the whole fleet would have granted at once
 * @wrongful: requests refused though that bucket would have granted them
 * @waited: granted after a wait
 * @messages: between VMs
 * @excess: most by which a window's grants went over the limit, in amounts; 0 is the bound kept
 */
typedef struct fleet_result {
	uint64_t requests;
	uint64_t granted;
	uint64_t within;
	uint64_t wrongful;
	uint64_t waited;
	uint64_t messages;
	int64_t excess;
} fleet_result_t;

/** fleet_run() - run it */
fleet_result_t fleet_run(const fleet_options_t *options);

#endif
