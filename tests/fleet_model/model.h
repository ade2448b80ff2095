#ifndef FLEET_MODEL_INTERNAL_H
#define FLEET_MODEL_INTERNAL_H

#include "fleet_model.h"
#include "jh_frame.h"
#include "jh_mirror.h"
#include "jh_platform.h"
#include "jh_primary.h"
#include "jh_primary_change.h"
#include "jh_store.h"
#include "jh_wire.h"

#include <stddef.h>

#define VMS_MAX 64u
#define GROUPS_MAX 8u
#define ALL_VMS UINT64_MAX

/** MODEL_START_US - virtual time at which the traffic begins */
#define MODEL_START_US (1000 * INT64_C(1000000))

/** MODEL_LEAD_US - the VMs start this long before the traffic */
#define MODEL_LEAD_US (10 * INT64_C(1000000))

/* ---- VMs ---- */

typedef struct vm {
	unsigned index;
	const char *name;
	jh_settings_t settings;
	/* NULL while the VM is down. */
	jh_kernel_t *kernel;
	/* Counts the instances; an event for an earlier one is dropped. */
	unsigned instance;
	jh_task_t *peer;
	jh_task_t *platform;
	jh_task_t *observer;
	/* What this instance knows. */
	uint64_t config_version;
	int64_t lease_until_us;
	int64_t config_late_us;
	bool is_complete;
	/* Interned group name to jh_primary_t *, interned member id to jh_member_t *. */
	GHashTable *primaries;
	GHashTable *members;
	/* Interned member id to int64_t *: when its registration disappeared. */
	GHashTable *unlisted;
	/* Position of each group that a primary told last, see jh_acknowledged_msg_t. */
	jh_position_t told[GROUPS_MAX];
	/* Newest era that an answer of the store has told. */
	uint64_t era;
	/* End of the last disturbance of this VM. */
	int64_t disturbed_until_us;
	bool is_frozen;
	/* It was killed for good. */
	bool is_lost;
} vm_t;

/** vm_of_task() - Return: the VM on which a task runs */
static inline vm_t *vm_of_task(const jh_task_t *task)
{
	const jh_settings_t *settings = jh_kernel_settings(jh_task_kernel(task));

	return (vm_t *)((char *)settings - offsetof(vm_t, settings));
}

/* ---- Store ---- */

typedef struct store_row {
	uint64_t version;
	/* NULL if the row was dropped. */
	GBytes *body;
} store_row_t;

typedef struct store {
	/* Row name to store_row_t *, for each table. */
	GHashTable *tables[JH_MIRROR_TABLE_COUNT];
	uint64_t era;
	uint64_t number;
	/* Changes up to this version are gone from the history. */
	uint64_t dropped_version;
	/* Calls of feeds that wait. */
	GPtrArray *feeds;
	/* Until when feeds get no rows because the store compacts its history. */
	int64_t muted_until_us;
	/* Copy from which the store is restored, NULL if none was made. */
	struct store *copy;
	unsigned page_rows;
} store_t;

/* ---- Members ---- */

typedef struct member {
	const char *id;
	unsigned group;
	unsigned serial;
	bool is_up;
	bool is_primary;
	bool has_left;
	uint64_t term;
	uint64_t received;
	int64_t born_ms;
	/* When the store acknowledged that it leaves, 0 if it does not, and whether it was stable
	 * then.
	 */
	int64_t leaving_since_us;
	bool is_leave_bounded;
	/* Bit set of the VMs that do not reach it. */
	uint64_t cut_vms;
	/* Term that it led last, 0 if it never led one. */
	uint64_t led_term;
	/* Term of the last entry of its log. */
	uint64_t log_term;
	/* It receives nothing from the primary. */
	bool is_deaf;
	/* It is cut off from the store, and does not register itself. */
	bool is_cut_from_store;
	/* A network partition separates it from the other members. */
	bool is_apart;
	/* When it was last cut off, killed or leaving; commits of such a member may be lost. */
	int64_t disturbed_us;
} member_t;

/* A configuration that the store has acknowledged. */
typedef struct acked_config {
	uint64_t version;
	int64_t acked_us;
} acked_config_t;

typedef struct model {
	const fleet_run_t *run;
	fleet_result_t result;
	vm_t vms[VMS_MAX];
	store_t *store;
	/* member_t *, in the order of their start. */
	GPtrArray *members;
	/* Number of faults in force for each VM: the store is silent to it, or rejects its calls;
	 * it is cut from the store, or from the other VMs.
	 */
	unsigned silent[VMS_MAX];
	unsigned rejected[VMS_MAX];
	unsigned store_cut[VMS_MAX];
	unsigned cut[VMS_MAX];
	/* Number of network partitions that have the VM on the primary's side. */
	unsigned apart[VMS_MAX];
	/* Faults of the store in force: slow, loses answers, away. */
	unsigned slow_ms;
	unsigned loses_percent;
	unsigned late_percent;
	bool is_away;
	/* Faults during which the store accepts no writes of the operator and the members. */
	unsigned others_blocked;
	/* End of the last disturbance of the store; in the future while one lasts. */
	int64_t store_disturbed_until_us;
	/* Number of the last commit of each group that was acknowledged. */
	uint64_t acked[GROUPS_MAX];
	/* acked_config_t */
	GArray *configs;
	uint64_t config_version;
	/* Highest fence of a promotion, and who sent it. */
	uint64_t fence;
	char *fence_holder;
	/* Delivery time of the last frame of each link, so that frames stay in order. */
	int64_t link_busy_us[VMS_MAX][VMS_MAX];
} model_t;

extern model_t model;

/** model_trace() - print a line with the time from the start of the traffic, if tracing is on */
void model_trace(const char *format, ...) G_GNUC_PRINTF(1, 2);

/** model_break_rule() - note that a rule was broken; the first one counts */
void model_break_rule(const char *rule, const char *format, ...) G_GNUC_PRINTF(2, 3);

/** model_store_is_stable() - Return: whether the store has been calm for the run's stable time */
bool model_store_is_stable(void);

/** model_is_concerned() - Return: whether a bit set of VMs contains a VM */
bool model_is_concerned(uint64_t vms, unsigned vm);

/* ---- store.c ---- */

extern const jh_module_t model_platform_module;

store_t *store_new(unsigned page_rows);
void store_free(store_t *store);
/** store_end() - drop the open calls of a run */
void store_end(void);
/** store_find_leader() - Return: index of the VM that the leader's row names; VMS_MAX if none */
unsigned store_find_leader(void);
/** store_write() - write a row as the operator or a member does; NULL drops it */
void store_write(jh_mirror_table_t table, const char *name, const char *text);
/** store_forget_feeds() - drop the waiting feeds of VMs, which are not told */
void store_forget_feeds(uint64_t vms);
/** store_compact() - drop the history; feeds of VMs to which the store responds are told */
void store_compact(void);
void store_make_copy(void);
void store_restore_copy(void);
/** store_disturbed() - a disturbance of the store lasts until @until_us */
void store_disturbed(int64_t until_us);

/* ---- vm.c ---- */

void vm_start(unsigned index);
void vm_kill(unsigned index);
/** vm_disturbed() - a disturbance of the VM lasts until @until_us */
void vm_disturbed(vm_t *vm, int64_t until_us);
/** vm_has_lease() - Return: whether it may use the primaries that it knows */
bool vm_has_lease(const vm_t *vm);
/** vm_serves() - Return: whether it accepts operations, reads at least */
bool vm_serves(const vm_t *vm);
/** vm_find_primary() - Return: member that this VM uses as the group's primary; NULL if none */
member_t *vm_find_primary(const vm_t *vm, unsigned group, uint64_t *epoch);
/** vm_uses_member() - Return: whether it sends new work to the member */
bool vm_uses_member(const vm_t *vm, const member_t *member);
/** vm_acknowledge() - a commit that the VM sent after it had been told @after is acknowledged */
void vm_acknowledge(vm_t *vm, unsigned group, jh_position_t after, jh_position_t position);
/** vm_report_primary() - the VM found that a primary does not respond */
void vm_report_primary(vm_t *vm, unsigned group, const char *member);

/* ---- members.c ---- */

/** group_name() - Return: interned name of a group */
const char *group_name(unsigned group);
member_t *member_start(unsigned group, bool is_primary);
member_t *member_find(const char *id);
/** group_find_newest_primary() - Return: the primary of the highest term; NULL if there was none */
member_t *group_find_newest_primary(unsigned group);
/** members_reach_each_other() - no member of the group is cut off any more, unless it says so */
void members_reach_each_other(unsigned group);
/** members_register_again() - every running member writes its registration within two seconds */
void members_register_again(void);
/** members_catch_up() - the running replicas receive the primary's whole log within two seconds */
void members_catch_up(unsigned group);
/** member_crash() - @down_us: time until it comes back with its log; INT64_MAX if it never does */
void member_crash(member_t *member, int64_t down_us);
/** member_set_deaf() - end or restore its replication */
void member_set_deaf(member_t *member, bool is_deaf);
/** member_cut_from_store() - cut it off from the store and from @vms, or end that */
void member_cut_from_store(member_t *member, bool is_cut, uint64_t vms);
/**
 * group_find_replica() - Return: a replica of the group that runs, receives and reaches the store;
 *	NULL if none
 */
member_t *group_find_replica(unsigned group);
void member_leave(member_t *member);
/** member_promote() - a call for a promotion; Return: false if the member is not running */
bool member_promote(const char *group, const char *id, const char *holder, uint64_t fence);
/** member_read() - a read of a VM that takes the member for the primary */
void member_read(const vm_t *vm, const member_t *member);
/** member_commit() - a write of a VM that takes the member for the primary */
void member_commit(vm_t *vm, member_t *member);

#endif
