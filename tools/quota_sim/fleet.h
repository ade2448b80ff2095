#ifndef QUOTA_FLEET_H
#define QUOTA_FLEET_H

#include "jh_quota.h"

/**
 * DOC: Simulation of a fleet's quota in virtual time
 *
 * Simulates the quota clients and quota servers of one team on several VMs. The simulation injects
 * inexact clocks, late, lost, duplicated and reordered messages, frozen and restarted VMs, and VMs
 * that disagree about which VM runs the team's quota server. Each request that runs is compared
 * with the team's limit in exact arithmetic. One seed always gives the same run.
 */

/**
 * struct fleet_options - size, load and faults of one run
 * @seed: seed of all random choices
 * @vms: number of VMs, at least 1; VM 0 runs the team's quota server at first
 * @policy: policy of all quota clients and servers
 * @limit: limit of the team
 * @offered: requests per second that callers send to the fleet
 * @hot_vm_percent: percentage of requests that go to one VM, the hot VM; the others go to random
 *                  VMs
 * @hot_vm_interval_us: time until the next VM becomes the hot VM; 0: never
 * @wait_us: maximum time that a caller waits for a grant
 * @max_wait_us: if not 0, that time is random for each request, from @wait_us to @max_wait_us
 * @owners: number of VMs that own the share, the last ones; 0: all
 * @retries: number of times that a caller retries a refused request on a random VM
 * @min_retry_us: minimum time from a refusal to the retry
 * @max_retry_us: maximum time from a refusal to the retry
 * @give_back_percent: percentage of granted requests that are then refused without having run, and
 *		      whose tokens are given back
 * @max_give_back_us: maximum time from the grant until then
 * @double_give_back_percent: percentage of them that are given back a second time
 * @give_back_after_run: deliberate fault for tests: such requests have run all the same
 * @lose_tokens_not_run: the tokens of such requests are not given back
 * @run_us: length of the run in virtual time
 * @warm_up_us: time at the start of the run during which only the excess is counted
 * @delay_us: minimum delay of a message; the maximum is twice that. If @duplicate_percent is not 0,
 *            one message in 100 takes 50 times as long
 * @loss_percent: percentage of messages that are lost
 * @duplicate_percent: percentage of messages that are duplicated
 * @server_crash_interval_us: time between restarts of the VM to which the hot VM sends its asks; 0:
 *                            never
 * @crash_interval_us: mean time between restarts of each VM; 0: never
 * @freeze_interval_us: mean time between freezes of each VM; 0: never
 * @server_view_interval_us: mean time until a VM redirects its asks to a random VM; 0: never. A
 *                           VM also redirects them when the VM that receives them restarts
 * @loss_at_us: time at which VMs are lost together; 0: never
 * @lost_vms: number of these VMs, the last ones
 * @away_us: time from then until the first of them restarts
 * @restart_spread_us: time within which the others do
 * @config_delay_us: time from a VM's restart until it knows the team
 * @share_delay_us: time from a VM's restart until it may use its share; its maximum is twice that
 * @view_delay_us: time for which a VM restarted after the loss sends its asks to a random VM
 * @wait_from_config: a restarted VM waits for the leases of its earlier instance from the time at
 *		      which it knows the team, and not from its start
 * @dead_vms: number of VMs that stop for good after a quarter of the run
 * @has_clock_drift: whether the VMs' clocks run too fast or too slow and start at random values
 * @skip_lease_wait: deliberate fault for tests: a restarted VM does not wait until the quota leases
 *                 of its previous instance have expired
 * @reuse_epoch: deliberate fault for tests: all quota servers have the same epoch, so that a server
 *             accepts parts that were lent to its predecessor
 */
typedef struct fleet_options {
	guint32 seed;
	unsigned vms;
	jh_quota_policy_t policy;
	jh_quota_limit_t limit;
	double offered;
	unsigned hot_vm_percent;
	int64_t hot_vm_interval_us;
	int64_t wait_us;
	int64_t max_wait_us;
	unsigned owners;
	unsigned retries;
	int64_t min_retry_us;
	int64_t max_retry_us;
	unsigned give_back_percent;
	int64_t max_give_back_us;
	unsigned double_give_back_percent;
	bool give_back_after_run;
	bool lose_tokens_not_run;
	int64_t run_us;
	int64_t warm_up_us;
	int64_t delay_us;
	unsigned loss_percent;
	unsigned duplicate_percent;
	int64_t server_crash_interval_us;
	int64_t crash_interval_us;
	int64_t freeze_interval_us;
	int64_t server_view_interval_us;
	int64_t loss_at_us;
	unsigned lost_vms;
	int64_t away_us;
	int64_t restart_spread_us;
	int64_t config_delay_us;
	int64_t share_delay_us;
	int64_t view_delay_us;
	bool wait_from_config;
	unsigned dead_vms;
	bool has_clock_drift;
	bool skip_lease_wait;
	bool reuse_epoch;
} fleet_options_t;

/** FLEET_BINS, FLEET_BIN_US - number and length of the intervals that are counted after a loss */
#define FLEET_BINS 50
#define FLEET_BIN_US 100000

/**
 * struct fleet_result - counts of one run
 * @requests: requests sent to running VMs, with the retries of callers
 * @operations: requests without the retries
 * @failed_operations: operations whose request and retries were all refused
 * @granted: requests granted, immediately or after a wait, except those that did not run
 * @not_run: requests granted and then refused without having run
 * @refused: requests refused
 * @refused_by_reason: these requests by jh_quota_refusal_t
 * @bin_requests: requests by the time of their reply after the first restart after a loss
 * @bin_refused: those of them that were refused
 * @within: requests within the rate, which a single token bucket for the whole fleet would grant
 *          immediately
 * @wrongful_refusals: requests within the rate that the fleet refused
 * @waited: requests granted after a wait
 * @messages: messages between VMs, including lost ones
 * @excess: largest amount by which the grants of any time window exceeded the limit; 0 if the
 *          limit was kept
 */
typedef struct fleet_result {
	uint64_t requests;
	uint64_t operations;
	uint64_t failed_operations;
	uint64_t granted;
	uint64_t not_run;
	uint64_t refused;
	uint64_t refused_by_reason[JH_QUOTA_REFUSALS];
	uint64_t bin_requests[FLEET_BINS];
	uint64_t bin_refused[FLEET_BINS];
	uint64_t within;
	uint64_t wrongful_refusals;
	uint64_t waited;
	uint64_t messages;
	int64_t excess;
} fleet_result_t;

/**
 * fleet_run() - run one simulation
 * @options: must stay valid during the call
 *
 * The function keeps no state between calls.
 *
 * Return: counts of the run
 */
fleet_result_t fleet_run(const fleet_options_t *options);

#endif
