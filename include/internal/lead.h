#ifndef JH_INTERNAL_LEAD_H
#define JH_INTERNAL_LEAD_H

#include "jh_kernel.h"
#include "jh_platform.h"
#include "jh_primary.h"
#include "jh_primary_change.h"
#include "jh_wire.h"

/**
 * DOC: The lead
 *
 * lead.c holds the role: its row, who claims it, messages and VMs that are gone. lead_change.c
 * takes each group through a change of primary. inquiry.c asks members.
 */

typedef struct _jh_leader _jh_leader_t;
typedef struct _jh_leader_group _jh_leader_group_t;

typedef enum _jh_leader_phase {
	JH_LEADER_IDLE,
	/** @JH_LEADER_WRITING: the row is being written; @next follows */
	JH_LEADER_WRITING,
	JH_LEADER_FENCING,
	JH_LEADER_STEPPING_DOWN,
	JH_LEADER_POLLING,
	JH_LEADER_PROMOTING,
	JH_LEADER_CONFIRMING,
} _jh_leader_phase_t;

struct _jh_leader_group {
	_jh_leader_t *lead;
	const char *name;
	jh_primary_t primary;
	_jh_leader_phase_t phase;
	_jh_leader_phase_t next;
	jh_primary_t pending;
	int64_t phase_us;
	/* Do nothing before this time. */
	int64_t pause_us;
	/* Since when a majority is known to know of the change, 0 until then. */
	int64_t majority_us;
	/* VM name to int64_t: when it last reported the primary silent. */
	GHashTable *reports;
	bool probed_primary;
	bool probe_failed;
	bool denies_primary;
	int64_t missing_since_us;
	/* Where the old primary's log ended when it stepped down. */
	jh_position_t final;
	/* Member id to jh_member_status_t of the polled_status. */
	GHashTable *polled_status;
	unsigned polls_pending;
};

struct _jh_leader {
	jh_task_t *task;
	const jh_wire_t *wire;
	jh_fleet_config_t *site;
	GHashTable *members;
	GHashTable *groups;
	GPtrArray *vms;
	/* VM name to uint64_t: version of the fleet's table that it was heard to know. */
	GHashTable *versions;
	/* VM name to int64_t: since when it has been dead. */
	GHashTable *dead_since;
	/* Boot time; without a break since the one until the other. */
	int64_t lease_since_us;
	int64_t lease_until_us;
	/* Of the list without the VMs forgotten last, until the others know of it; else 0. */
	uint64_t list_version;
	int64_t list_majority_us;
	bool is_removing_vms;
	/* The lead's row. */
	char *holder;
	uint64_t holder_boot;
	uint64_t fence;
	uint64_t version;
	int64_t promotion_allowed_us;
	bool is_claiming;
	int64_t claim_pause_us;
	bool is_complete;
	bool is_draining;
	int64_t reported_us;
	int64_t not_listed_since_us;
	/* When a row last changed while a group needed the lead; 0 while none does. */
	int64_t last_progress_us;
	ev_timer tick;
};

/** JH_LEADER_ROW - row of the fleet's table that names the lead */
#define JH_LEADER_ROW "lead"

/* ---- lead.c ---- */

/** _jh_leader_self() - name of this VM */
const char *_jh_leader_self(const _jh_leader_t *lead);
bool _jh_leader_is_self(const _jh_leader_t *lead);
/** _jh_leader_step_soon() - something that a step waits for happened */
void _jh_leader_step_soon(const _jh_leader_t *lead);

/* ---- lead_change.c ---- */

/** JH_LEADER_REPORT_US - how long a report that a primary is silent counts */
#define JH_LEADER_REPORT_US (1500 * INT64_C(1000))

/** JH_LEADER_RETRY_US - pause before a step that failed is tried again */
#define JH_LEADER_RETRY_US (200 * INT64_C(1000))

/** _jh_leader_group_get() - Return: the group, made if it is new */
_jh_leader_group_t *_jh_leader_group_get(_jh_leader_t *lead, const char *name);
void _jh_leader_group_free(void *group);
/** _jh_leader_group_step() - do what the group's phase asks for now */
void _jh_leader_group_step(_jh_leader_group_t *group);
void _jh_leader_group_set_phase(_jh_leader_group_t *group, _jh_leader_phase_t phase);
/** _jh_leader_group_tag() - of the group's calls to the platform */
uint64_t _jh_leader_group_tag(const _jh_leader_group_t *group);
void _jh_leader_group_handle_write(_jh_leader_group_t *group, const jh_platform_reply_t *reply);
void _jh_leader_group_handle_promote(_jh_leader_group_t *group, const jh_platform_reply_t *reply);
/**
 * _jh_leader_change_acks() - how far the VMs know of a version of the fleet's table
 * @majority_us: since when a majority has been known to know; 0 at first, kept by the caller
 */
jh_change_acks_t _jh_leader_change_acks(const _jh_leader_t *lead, uint64_t version,
					int64_t *majority_us);
/** _jh_leader_is_fencing() - some group waits for VMs to know of its change */
bool _jh_leader_is_fencing(const _jh_leader_t *lead);

/**
 * DOC: Questions of the lead to a member
 *
 * One short connection a question: STATUS, or STEP_DOWN with a term.
 */

typedef struct _jh_inquiry _jh_inquiry_t;

/** typedef _jh_inquiry_fn_t - @status is NULL if there was no answer; the inquiry is freed after */
typedef void (*_jh_inquiry_fn_t)(void *data, const char *member, const jh_member_status_t *status);

/**
 * struct _jh_inquiry_request - what is asked
 * @member: whom; borrowed
 * @type: JH_STATEMENT_STATUS or JH_STATEMENT_STEP_DOWN
 * @term: of STEP_DOWN
 * @timeout_s: longest time until the whole answer
 * @done: called once, never from within _jh_inquiry_start()
 * @data: for @done
 */
typedef struct _jh_inquiry_request {
	const jh_member_t *member;
	jh_statement_type_t type;
	uint64_t term;
	double timeout_s;
	_jh_inquiry_fn_t done;
	void *data;
} _jh_inquiry_request_t;

/** _jh_inquiry_start() - ask. Return: new inquiry, which frees itself once it is done */
_jh_inquiry_t *_jh_inquiry_start(jh_task_t *task, const jh_wire_t *wire,
				 const _jh_inquiry_request_t *request);

/** _jh_inquiry_cancel() - free it without calling back */
void _jh_inquiry_cancel(_jh_inquiry_t *inquiry);

#endif
