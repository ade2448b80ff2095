#ifndef FLEET_MODEL_H
#define FLEET_MODEL_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: Model of a fleet in virtual time
 *
 * Runs the real mirror, catalogue, membership and leader tasks of several VMs in one process, with
 * models of the store, of the network between the VMs, of the members and of the interface for
 * promotions. Faults come from a schedule that a seed gives. After each step the model compares
 * what a VM would do for a caller with what the rules of docs/internals/fleet-model.md allow.
 * Callers, queues and connections to members are not part of it.
 */

/** enum fleet_fault_type - faults of a schedule; see fleet_fault_name() */
typedef enum fleet_fault_type {
	/** @FLEET_STORE_SILENT: the store does not respond to the VMs concerned */
	FLEET_STORE_SILENT,
	/** @FLEET_STORE_REJECTS: the store rejects the calls of the VMs concerned */
	FLEET_STORE_REJECTS,
	/** @FLEET_STORE_SLOW: each answer of the store takes longer */
	FLEET_STORE_SLOW,
	/** @FLEET_STORE_LOSES: writes are carried out and not answered, some of them late */
	FLEET_STORE_LOSES,
	/** @FLEET_STORE_COMPACTS: feeds hear nothing for a second, then the history is dropped */
	FLEET_STORE_COMPACTS,
	/** @FLEET_STORE_RESTORED: the store is away and comes back from an older copy */
	FLEET_STORE_RESTORED,
	/** @FLEET_CONNECTIONS_SILENT: feeds that wait for the VMs concerned never return */
	FLEET_CONNECTIONS_SILENT,
	/** @FLEET_VM_CUT: the VMs concerned are cut from the others, not from the store */
	FLEET_VM_CUT,
	/** @FLEET_VM_CUT_FROM_STORE: the VMs concerned do not reach the store */
	FLEET_VM_CUT_FROM_STORE,
	/** @FLEET_VM_FROZEN: the VMs concerned are suspended */
	FLEET_VM_FROZEN,
	/** @FLEET_VM_KILLED: the VMs concerned are killed and start again */
	FLEET_VM_KILLED,
	/** @FLEET_PRIMARY_KILLED: the primary of a group crashes and comes back */
	FLEET_PRIMARY_KILLED,
	/** @FLEET_PRIMARY_CUT: the primary of a group is not reached by the VMs concerned */
	FLEET_PRIMARY_CUT,
	/** @FLEET_MEMBER_LEAVES: a member says that it leaves, and another one replaces it */
	FLEET_MEMBER_LEAVES,
	/** @FLEET_CONFIG_CHANGES: the operator writes new configurations, one after the other */
	FLEET_CONFIG_CHANGES,
	/**
	 * @FLEET_PARTITION: the VMs concerned and the primary of a group are cut from the other
	 * VMs, the store and the other members
	 */
	FLEET_PARTITION,
	/** @FLEET_REPLICA_DEAF: a replica of a group receives nothing */
	FLEET_REPLICA_DEAF,
	/** @FLEET_REPLICA_LOST: a replica of a group crashes for good */
	FLEET_REPLICA_LOST,
	/** @FLEET_PRIMARY_LOST: the primary of a group crashes for good */
	FLEET_PRIMARY_LOST,
	/** @FLEET_COPIES_KILLED: the members of a group that receive its log crash and come back */
	FLEET_COPIES_KILLED,
	/** @FLEET_LEADER_KILLED: the VM that the store names as the leader is killed and starts */
	FLEET_LEADER_KILLED,
	/** @FLEET_VM_ADDED: the VMs concerned start only now */
	FLEET_VM_ADDED,
	/** @FLEET_SUCCESSORS_CUT: VMs reach only the primary of an earlier term of a group */
	FLEET_SUCCESSORS_CUT,
	/** @FLEET_VM_LOST: the VMs concerned are killed for good */
	FLEET_VM_LOST,
	/**
	 * @FLEET_REPLICA_CUT: a replica is cut off from the store and from the VMs concerned, not
	 * from the primary; its registration lapses
	 */
	FLEET_REPLICA_CUT,
	/** @FLEET_FAULT_TYPES: number of types */
	FLEET_FAULT_TYPES,
} fleet_fault_type_t;

/**
 * struct fleet_fault - one fault
 * @at_us: from the start of the traffic, microseconds
 * @lasts_us: for how long, microseconds; time between two changes for FLEET_CONFIG_CHANGES
 * @vms: bit set of the VMs concerned; all ones: all of them
 * @strength: how many, how much, or which variant, by type
 */
typedef struct fleet_fault {
	fleet_fault_type_t type;
	int64_t at_us;
	int64_t lasts_us;
	uint64_t vms;
	unsigned strength;
} fleet_fault_t;

/** FLEET_FAULTS_MAX - longest schedule */
#define FLEET_FAULTS_MAX 36u

/**
 * struct fleet_run - size and schedule of one run
 * @seed: seed of all random choices
 * @vms: number of VMs, 1 to 64
 * @groups: number of groups, each with three members
 * @sync_replicas: replicas that have received a commit before it is acknowledged
 * @member_delay_ms: how much later than usual members reply to the leader, all the time
 * @bound_ms: the setting --config-bound
 * @stable_ms: time after a disturbance from which bounds hold again
 * @drain_ms: the setting --member-drain
 * @run_us: length of the traffic, microseconds
 * @faults: the schedule
 * @fault_count: number of faults in it
 * @without_checks: mechanism taken out: the store answers no check of a table
 * @without_lease: mechanism taken out: a VM uses the primary that it knows at any time
 * @without_bound: mechanism taken out: a VM serves by a configuration that it knows to be replaced
 * @trace: print the faults, changes and findings as they happen
 */
typedef struct fleet_run {
	guint32 seed;
	unsigned vms;
	unsigned groups;
	unsigned sync_replicas;
	unsigned member_delay_ms;
	int bound_ms;
	int stable_ms;
	int drain_ms;
	int64_t run_us;
	fleet_fault_t faults[FLEET_FAULTS_MAX];
	unsigned fault_count;
	bool without_checks;
	bool without_lease;
	bool without_bound;
	bool trace;
} fleet_run_t;

/**
 * struct fleet_result - what one run showed
 * @rule: name of the first rule that was broken, NULL if none was; static
 * @text: when and how it was broken; owned, NULL if none was
 * @probes: times at which a VM was compared with the rules
 * @served: probes at which the VM would have served a write
 * @frames: frames between VMs
 * @store_calls: calls to the store
 * @promotions: members that were promoted
 * @cancelled: changes of primary that were cancelled, counted on each VM that received it
 * @rolled_back: commits that a promoted member lacked; some replicas receive them too late
 * @config_slowest_us: longest time from the acknowledgement of a configuration until a VM that is
 *	in touch had it
 */
typedef struct fleet_result {
	const char *rule;
	char *text;
	uint64_t probes;
	uint64_t served;
	uint64_t frames;
	uint64_t store_calls;
	uint64_t promotions;
	uint64_t cancelled;
	uint64_t rolled_back;
	int64_t config_slowest_us;
} fleet_result_t;

/**
 * fleet_log_init() - open the log of the VMs' tasks at a level
 *
 * Only the first call has an effect; without one, the level is "error".
 */
void fleet_log_init(const char *level);

/** fleet_run_draw() - draw the size and the schedule of a run; at most @vms_max VMs */
fleet_run_t fleet_run_draw(guint32 seed, unsigned vms_max);

/** fleet_run_play() - play a run; free the result with fleet_result_clear() */
fleet_result_t fleet_run_play(const fleet_run_t *run);

/** fleet_run_shrink() - drop the faults without which the run still breaks a rule */
void fleet_run_shrink(fleet_run_t *run);

/** fleet_run_print() - print the size and the schedule of a run to standard output */
void fleet_run_print(const fleet_run_t *run);

void fleet_result_clear(fleet_result_t *result);

/** fleet_fault_name() - Return: static name of a type */
const char *fleet_fault_name(fleet_fault_type_t type);

#endif
