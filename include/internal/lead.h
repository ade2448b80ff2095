#ifndef JH_INTERNAL_LEAD_H
#define JH_INTERNAL_LEAD_H

#include "jh_dc_drain.h"
#include "jh_frame.h"
#include "jh_kernel.h"
#include "jh_mirror.h"
#include "jh_platform.h"
#include "jh_primary.h"
#include "jh_primary_change.h"
#include "jh_wire.h"

/**
 * DOC: The leader
 *
 * The leader is the one VM that runs changes of primary. lead.c handles the leader's row, claims of
 * the role, messages, and the removal of dead VMs. lead_change.c runs the state machine of a change
 * of primary for each group. lead_replicas.c says which members commits may rest on, and
 * lead_replicas_row.c keeps them in the store. lead_proof.c asks the members whether the rows of a
 * restored store hold. lead_drain.c says which members drains of data
 * centres exclude. inquiry.c sends requests to members. All times are boot time in microseconds.
 */

typedef struct _jh_leader _jh_leader_t;
typedef struct _jh_leader_group _jh_leader_group_t;

/** enum _jh_leader_phase - phase of a group's change of primary */
typedef enum _jh_leader_phase {
	/** @JH_LEADER_IDLE: no change in progress; the primary is monitored */
	JH_LEADER_IDLE,
	/** @JH_LEADER_WRITING: the group's row is being written; @next_phase follows */
	JH_LEADER_WRITING,
	/** @JH_LEADER_FENCING: waiting until no VM uses the old primary any more */
	JH_LEADER_FENCING,
	/** @JH_LEADER_STEPPING_DOWN: waiting for the old primary's reply to STEP_DOWN */
	JH_LEADER_STEPPING_DOWN,
	/** @JH_LEADER_POLLING: polling the members' status to choose the successor */
	JH_LEADER_POLLING,
	/** @JH_LEADER_PROMOTING: the row names the successor; the promotion is sent next */
	JH_LEADER_PROMOTING,
	/** @JH_LEADER_CONFIRMING: waiting until the successor reports that it is the primary */
	JH_LEADER_CONFIRMING,
} _jh_leader_phase_t;

/**
 * struct _jh_leader_acks - for how long a version of the fleet's table is known and acknowledged
 * @version: 0 if none is waited for
 * @since_us: since when this VM knows that the store has it
 * @quorum_since_us: since when a quorum of the voters is known to have acknowledged it, 0 until
 * then and if the quorum is lost, for example because the voters changed
 * @blocking_since_us: the same for a blocking set of the voters
 */
typedef struct _jh_leader_acks {
	uint64_t version;
	int64_t since_us;
	int64_t quorum_since_us;
	int64_t blocking_since_us;
} _jh_leader_acks_t;

/**
 * struct _jh_leader_group - state of a group, whose changes of primary this VM runs as the leader
 * @name: interned
 * @tag: tag of the group's calls to the platform, unique on this VM
 * @last_report_us: when this VM last sent the leader a report that the primary does not respond
 * @primary: the newest row that this VM has received or written
 * @next_phase: phase that follows JH_LEADER_WRITING
 * @pending_row: row that is being written
 * @write_sent_us: when its write was sent
 * @is_row_malformed: the store's row of the group names no primary, or is missing though one is
 *		      known: another writer has changed it
 * @malformed_version: version of that row, 0 if it is missing
 * @received_row: the newest row that arrived during such a write
 * @phase_since_us: when @phase began
 * @paused_until_us: no step of the phase runs before this time
 * @acks: acknowledgements of the row, while a change is being fenced
 * @reports: VM name to int64_t: when the VM last reported that the primary does not respond
 * @is_probing: a status request to the primary, or to the successor, is in progress
 * @probed_us: when the primary last replied to a status request, or failed to in time
 * @reached_us: when the primary last replied to one as the primary
 * @cancelled_us: when the last change of the group was cancelled, 0 if none was
 * @probe_failed: the primary did not respond to the last probe
 * @denies_primary: the primary responded to the last probe as a replica
 * @missing_since_us: since when the primary's registration has been missing, 0 if it is listed
 * @final_position: received position of the old primary after it stepped down, 0 if unknown
 * @best_received: highest received position in the polls since the old primary stepped down
 * @advanced_us: when @best_received grew last
 * @polled_status: member id to jh_member_status_t: replies to the newest poll
 * @polls_pending: number of status requests of polls that have no reply yet
 * @polls_again: another poll follows once they have ended
 * @polled_us: when the newest poll ended
 * @member_timeout_s: timeout of polls, STEP_DOWN and questions to the target, seconds
 * @handover_from: with synchronous replicas, position of the primary when a reason to replace it
 *		   was first seen; term 0 while there is none
 * @is_wait_logged: the wait for a successor of this change was logged
 * @recorded: see jh_replicas_new(): instances that the newest readable row of replicas lists
 * @recorded_version: version of the row of replicas in the store, 0 if it is missing
 * @is_record_damaged: that row is malformed, or has disappeared
 * @record_tag: tag of its writes, unique on this VM
 * @is_recording: a write of that row is in progress
 * @record_due_us: when this VM, which does not lead, adds members to that row; 0 if it lacks none
 * @record_paused_until_us: that row is not written before this time
 * @proof_since_us: when its members were first asked whether the row holds in a restored store; 0
 *		    while they are not asked
 * @proof_newest_term: highest term in a reply since then
 * @proven_epoch: epoch of the newest row that holds, or that this VM wrote; 0 if none
 */
struct _jh_leader_group {
	_jh_leader_t *leader;
	const char *name;
	uint64_t tag;
	int64_t last_report_us;
	jh_primary_t primary;
	_jh_leader_phase_t phase;
	_jh_leader_phase_t next_phase;
	jh_primary_t pending_row;
	int64_t write_sent_us;
	bool is_row_malformed;
	uint64_t malformed_version;
	jh_primary_t received_row;
	int64_t phase_since_us;
	int64_t paused_until_us;
	_jh_leader_acks_t acks;
	GHashTable *reports;
	bool is_probing;
	int64_t probed_us;
	int64_t reached_us;
	int64_t cancelled_us;
	bool probe_failed;
	bool denies_primary;
	int64_t missing_since_us;
	jh_position_t final_position;
	jh_position_t best_received;
	int64_t advanced_us;
	GHashTable *polled_status;
	unsigned polls_pending;
	bool polls_again;
	int64_t polled_us;
	double member_timeout_s;
	jh_position_t handover_from;
	bool is_wait_logged;
	GHashTable *recorded;
	uint64_t recorded_version;
	bool is_record_damaged;
	uint64_t record_tag;
	bool is_recording;
	int64_t record_due_us;
	int64_t record_paused_until_us;
	int64_t proof_since_us;
	uint64_t proof_newest_term;
	uint64_t proven_epoch;
};

/**
 * struct _jh_leader - state of the module, on every VM, whether it is the leader or not
 * @config: the operators' configuration, NULL before the first one arrives
 * @members: member id to jh_member_t, every registered member
 * @unlisted: id, start and group of a member to _jh_leader_unlisted_t: instances whose registration
 *	      has disappeared
 * @drains: data centres to whose members nothing more is to be sent
 * @groups: group name to _jh_leader_group_t
 * @vms: the listed VMs and their states, NULL before the first list arrives
 * @acknowledged: interned name of a group to jh_position_t *, see jh_acknowledged_msg_t
 * @given_up: jh_replica_key() of a replica that was given up, and has not registered again, to
 *	      the interned name of its group
 * @listed: interned names of the VMs that have a row in the fleet's table
 * @voters: the voters by their row
 * @voters_version: version of that row, 0 if there is none
 * @is_voters_row_kept: a restored store lacks that row
 * @voters_acks: acknowledgements of that row while the voters are being replaced
 * @acked_versions: VM name to uint64_t: version of the fleet's table that the VM has acknowledged
 * @dead_since: VM name to int64_t: since when the VM has been dead
 * @lease_since_us: since when this VM has had a mirror lease without interruption
 * @lease_until_us: when its mirror lease expires
 * @removal_acks: acknowledgements of the newest removal of VMs, until it is settled
 * @is_writing_vms: a write of the voters or of the list of VMs is in progress
 * @vms_written_version: version of the last such write
 * @vms_paused_until_us: none is sent before this time, as the last one failed
 * @leader_vm: VM that the leader's row names, NULL if none
 * @leader_boot: boot id of the leader's instance
 * @fencing_token: highest one in any valid row of the leader
 * @row_version: version of the leader's row
 * @era: newest era of the store in any row; a leader of an earlier era has to claim its role again
 * @era_row_version: version of JH_MIRROR_ERA_ROW, 0 if it is missing
 * @store_era: the era that the mirror told of last
 * @unconfirmed_since_us: since when that era is known not to be confirmed, 0 if it is
 * @is_confirming_era: a write of JH_MIRROR_ERA_ROW is in progress
 * @era_paused_until_us: that row is not written before this time
 * @promotion_allowed_us: as the leader, this VM promotes no member before this time
 * @is_claiming: the write of a claim is in progress
 * @claim_paused_until_us: no claim is made before this time
 * @is_complete: the mirror has read every table at least once
 * @last_tag: newest tag that a group was given
 * @not_listed_since_us: since when the leader has been missing from @vms, 0 if it is listed
 * @no_progress_us: how long no row has changed while a group needed the leader and a majority of
 * the voters was live, less a random part
 * @waited_at_us: when @no_progress_us was last updated, 0 while no group needs the leader
 */
struct _jh_leader {
	jh_task_t *task;
	const jh_wire_t *wire;
	jh_fleet_config_t *config;
	GHashTable *members;
	GHashTable *unlisted;
	jh_dc_drains_t *drains;
	GHashTable *groups;
	GPtrArray *vms;
	GHashTable *acknowledged;
	GHashTable *given_up;
	GHashTable *listed;
	jh_voters_t *voters;
	uint64_t voters_version;
	bool is_voters_row_kept;
	_jh_leader_acks_t voters_acks;
	GHashTable *acked_versions;
	GHashTable *dead_since;
	int64_t lease_since_us;
	int64_t lease_until_us;
	_jh_leader_acks_t removal_acks;
	bool is_writing_vms;
	uint64_t vms_written_version;
	int64_t vms_paused_until_us;
	char *leader_vm;
	uint64_t leader_boot;
	uint64_t fencing_token;
	uint64_t row_version;
	uint64_t era;
	uint64_t era_row_version;
	uint64_t store_era;
	int64_t unconfirmed_since_us;
	bool is_confirming_era;
	int64_t era_paused_until_us;
	int64_t promotion_allowed_us;
	bool is_claiming;
	int64_t claim_paused_until_us;
	bool is_complete;
	bool is_draining;
	uint64_t last_tag;
	int64_t not_listed_since_us;
	int64_t no_progress_us;
	int64_t waited_at_us;
	ev_timer tick;
};

/**
 * struct _jh_leader_unlisted - an instance of a member whose registration has disappeared
 * @member: its last registration; owned
 * @since_us: since when
 * @silent_from: position of the primary when the instance first did not reply to a poll; term 0 if
 *		 it replied to the newest one, or if there was none
 * @silent_since_us: when that was
 * @reports: VM name to what that VM reported of it last; NULL if none has
 * @is_reported: a VM other than this one has reached it since
 * @is_asking: this VM, which does not lead, has asked it for its status
 * @asked_us: when it did so last
 */
typedef struct _jh_leader_unlisted {
	jh_member_t *member;
	int64_t since_us;
	jh_position_t silent_from;
	int64_t silent_since_us;
	GHashTable *reports;
	bool is_reported;
	bool is_asking;
	int64_t asked_us;
} _jh_leader_unlisted_t;

/** JH_LEADER_ROW - row of the fleet's table that names the leader */
#define JH_LEADER_ROW "lead"

/* ---- lead.c ---- */

/** _jh_leader_self() - Return: name of this VM, borrowed */
const char *_jh_leader_self(const _jh_leader_t *leader);
/** _jh_leader_is_self() - whether this instance of the daemon claimed the role in the store's era
 */
bool _jh_leader_is_self(const _jh_leader_t *leader);
/** _jh_leader_step_soon() - run the tick, which steps all groups, in the next loop iteration */
void _jh_leader_step_soon(const _jh_leader_t *leader);

/* ---- lead_change.c ---- */

/** JH_LEADER_REPORT_US - how long a report that a primary does not respond counts, microseconds */
#define JH_LEADER_REPORT_US (1500 * INT64_C(1000))

/** JH_LEADER_RETRY_US - delay before a failed step is retried, microseconds */
#define JH_LEADER_RETRY_US (200 * INT64_C(1000))

/** _jh_leader_group_get() - Return: the group @name, created if it is missing; borrowed */
_jh_leader_group_t *_jh_leader_group_get(_jh_leader_t *leader, const char *name);
void _jh_leader_group_free(void *group);
/** _jh_leader_group_has_successor() - whether a member that neither drains nor is in a drained data
 * centre could replace the primary
 */
bool _jh_leader_group_has_successor(const _jh_leader_group_t *group);
/** _jh_leader_group_step() - run the step of the group's phase; on the leader only */
void _jh_leader_group_step(_jh_leader_group_t *group);
/** _jh_leader_group_set_phase() - enter and log a phase; sends nothing */
void _jh_leader_group_set_phase(_jh_leader_group_t *group, _jh_leader_phase_t phase);
/** _jh_leader_group_apply_row() - take over a row that is newer than the known one */
void _jh_leader_group_apply_row(_jh_leader_group_t *group, const jh_primary_t *row);
/** _jh_leader_group_check_row() - note whether the store's row of a group is malformed */
void _jh_leader_group_check_row(_jh_leader_t *leader, const jh_row_msg_t *row);
/** _jh_leader_group_handle_write() - the store replied to the write of the group's row */
void _jh_leader_group_handle_write(_jh_leader_group_t *group, const jh_platform_reply_t *reply);
/** _jh_leader_group_handle_promote() - the platform replied to the request for a promotion */
void _jh_leader_group_handle_promote(_jh_leader_group_t *group, const jh_platform_reply_t *reply);
/**
 * _jh_leader_group_poll() - poll all members for their status
 *
 * A poll that is still in progress is completed first, since its replies may be older than what
 * this one is to show.
 */
void _jh_leader_group_poll(_jh_leader_group_t *group);
/** _jh_leader_group_store_primary() - write that a member is the primary of @term */
void _jh_leader_group_store_primary(_jh_leader_group_t *group, const char *member, uint64_t term);
/**
 * _jh_leader_group_store_unproven() - begin a change of primary, as the row was not proven, or note
 * that for the change that the row has
 */
void _jh_leader_group_store_unproven(_jh_leader_group_t *group);
/** _jh_leader_is_fencing() - whether a group waits for VMs to acknowledge its change */
bool _jh_leader_is_fencing(const _jh_leader_t *leader);

/* ---- lead_vms.c ---- */

/** JH_LEADER_VMS_TAG - tag of writes of the voters and of the list of VMs */
#define JH_LEADER_VMS_TAG (UINT64_MAX - 1)

/** _jh_leader_apply_vm_row() - a VM was listed or removed */
void _jh_leader_apply_vm_row(_jh_leader_t *leader, const jh_row_msg_t *row);
/** _jh_leader_apply_voters_row() - the row of the voters has changed or disappeared */
void _jh_leader_apply_voters_row(_jh_leader_t *leader, const jh_row_msg_t *row);
/**
 * _jh_leader_count_acks() - count the VMs that have acknowledged a version of the fleet's table
 * @acks: kept by the caller between calls, all 0 before the first
 * @version: a new one starts its times again
 *
 * None counts before this VM has applied every change up to the version itself: only then does it
 * know all VMs that are listed or vote.
 */
jh_change_acks_t _jh_leader_count_acks(const _jh_leader_t *leader, _jh_leader_acks_t *acks,
				       uint64_t version);
/** _jh_leader_has_live_quorum() - whether a quorum of the voters, if there are any, responds */
bool _jh_leader_has_live_quorum(const _jh_leader_t *leader);
/**
 * _jh_leader_can_fence() - whether a quorum or a blocking set of the voters responds, so that a
 *change of primary can be fenced soon
 */
bool _jh_leader_can_fence(const _jh_leader_t *leader);
/** _jh_leader_update_removals() - note whether the newest removal is settled, on each VM */
void _jh_leader_update_removals(_jh_leader_t *leader);
/** _jh_leader_vms_step() - replace voters and remove dead VMs; on the leader only */
void _jh_leader_vms_step(_jh_leader_t *leader);
/** _jh_leader_vms_handle_write() - the store replied to that write */
void _jh_leader_vms_handle_write(_jh_leader_t *leader, const jh_platform_reply_t *reply);

/* ---- lead_replicas.c ---- */

/**
 * struct _jh_leader_replicas - the members that commits of a group may rest on, as last polled
 * @set: for the decisions; its members are borrowed from @members
 * @members: jh_successor_t; owned
 * @ids: their ids, interned, in the same order; owned
 */
typedef struct _jh_leader_replicas {
	jh_replica_set_t set;
	GArray *members;
	GPtrArray *ids;
} _jh_leader_replicas_t;

void _jh_leader_unlisted_free(void *unlisted);
/** _jh_leader_note_acknowledged() - note how far the commits of a group are acknowledged */
void _jh_leader_note_acknowledged(_jh_leader_t *leader, const jh_acknowledged_msg_t *msg);
/** _jh_leader_acknowledged() - Return: how far they are; term 0 if nothing is known */
jh_position_t _jh_leader_acknowledged(const _jh_leader_group_t *group);
/** _jh_leader_add_unlisted() - count a member, which is copied, although it is not registered */
void _jh_leader_add_unlisted(_jh_leader_t *leader, const jh_member_t *member);
/** _jh_leader_apply_member() - a registration has changed or disappeared */
void _jh_leader_apply_member(_jh_leader_t *leader, const jh_member_msg_t *msg);
/** _jh_leader_sync_replicas() - Return: replicas that have a commit before it is acknowledged */
unsigned _jh_leader_sync_replicas(const _jh_leader_group_t *group);
/**
 * _jh_leader_members_to_poll() - Return: new array of jh_member_t *, borrowed, of all members that
 *	may be asked for their status; with synchronous replicas, also those that are not registered
 */
GPtrArray *_jh_leader_members_to_poll(const _jh_leader_group_t *group);
/**
 * _jh_leader_last_primary_is_unknown() - whether another member may have led after the row's
 *	primary: the row is unproven, and that primary does not reply, a member knows a newer term,
 *	or, with synchronous replicas, so many do not reply that they may have commits of one
 */
bool _jh_leader_last_primary_is_unknown(const _jh_leader_group_t *group);
/**
 * _jh_leader_replicas_init() - collect the group's members, without its primary, which counts like
 *	any other member if _jh_leader_last_primary_is_unknown()
 */
void _jh_leader_replicas_init(_jh_leader_replicas_t *replicas, const _jh_leader_group_t *group);
void _jh_leader_replicas_clear(_jh_leader_replicas_t *replicas);
/** _jh_leader_polled_primary() - Return: the newest reply of the primary as such; NULL if none */
const jh_member_status_t *_jh_leader_polled_primary(const _jh_leader_group_t *group);
/** _jh_leader_needs_survey() - whether a poll may show that a former replica does not matter */
bool _jh_leader_needs_survey(const _jh_leader_group_t *group);
/** _jh_leader_evaluate_poll() - a poll has ended */
void _jh_leader_evaluate_poll(_jh_leader_group_t *group);

/* ---- lead_reports.c ---- */

/**
 * _jh_leader_report_replicas() - ask former replicas for their status, for the leader
 *
 * Call it at short intervals, on each VM.
 */
void _jh_leader_report_replicas(_jh_leader_t *leader);
/** _jh_leader_apply_replica_report() - another VM reported a former replica */
void _jh_leader_apply_replica_report(_jh_leader_t *leader, const char *vm,
				     const Jh__ReplicaReport *report);
/** _jh_leader_another_vm_reaches() - whether another VM has reached it within JH_LEADER_REPORT_US
 */
bool _jh_leader_another_vm_reaches(const _jh_leader_unlisted_t *unlisted);
/**
 * _jh_leader_no_vm_reaches() - whether every voter that responds has asked the former replica in
 *vain since it first did not reply to this VM
 */
bool _jh_leader_no_vm_reaches(const _jh_leader_t *leader, const _jh_leader_unlisted_t *unlisted);

/* ---- lead_replicas_row.c ---- */

/** _jh_leader_apply_replicas_row() - the row of a group's replicas has changed or disappeared */
void _jh_leader_apply_replicas_row(_jh_leader_t *leader, const jh_row_msg_t *row);
/**
 * _jh_leader_replicas_row_step() - with synchronous replicas, write the row of the group's replicas
 *	if it differs from what this VM knows; call it at short intervals, whether this VM leads or
 *	not
 */
void _jh_leader_replicas_row_step(_jh_leader_group_t *group);
/** _jh_leader_replicas_row_handle_write() - the store replied to the write of that row */
void _jh_leader_replicas_row_handle_write(_jh_leader_group_t *group,
					  const jh_platform_reply_t *reply);

/* ---- lead_proof.c ---- */

/** JH_LEADER_ERA_TAG - tag of writes of JH_MIRROR_ERA_ROW */
#define JH_LEADER_ERA_TAG (UINT64_MAX - 2)

/** _jh_leader_apply_era() - the mirror told the store's era, and whether it is confirmed */
void _jh_leader_apply_era(_jh_leader_t *leader, const jh_mirror_era_msg_t *msg);
/** _jh_leader_needs_proof() - whether rows are not to be acted on, as the era is not confirmed and
 * this VM has no lease
 */
bool _jh_leader_needs_proof(const _jh_leader_t *leader);
/** _jh_leader_proof_step() - go on with the proof by the members; on the leader only */
void _jh_leader_proof_step(_jh_leader_t *leader);
/** _jh_leader_add_era() - add the confirmation of the store's era to writes */
void _jh_leader_add_era(const _jh_leader_t *leader, GPtrArray *writes);
/** _jh_leader_handle_era_write() - the store replied to that confirmation */
void _jh_leader_handle_era_write(_jh_leader_t *leader, const jh_platform_reply_t *reply);

/* ---- lead_drain.c ---- */

/** _jh_leader_apply_dc_drain() - note that the drain of a data centre was requested or ended */
void _jh_leader_apply_dc_drain(_jh_leader_t *leader, const jh_dc_drain_msg_t *msg);
/** _jh_leader_member_phase() - Return: what drains of data centres let be sent to the member */
jh_dc_phase_t _jh_leader_member_phase(const _jh_leader_t *leader, const jh_member_t *member);
/** _jh_leader_may_promote() - whether the member neither drains nor is in a drained data centre */
bool _jh_leader_may_promote(const _jh_leader_t *leader, const jh_member_t *member);
/** _jh_leader_may_ask() - whether the leader may send requests to the member, NULL for none */
bool _jh_leader_may_ask(const _jh_leader_t *leader, const jh_member_t *member);

/**
 * DOC: Requests of the leader to a member
 *
 * An inquiry opens a connection for one request, STATUS or STEP_DOWN, and closes it after the
 * reply.
 */

typedef struct _jh_inquiry _jh_inquiry_t;

/**
 * typedef _jh_inquiry_fn_t - receives the outcome of an inquiry, which is freed already
 * @member: id of the member; interned
 * @status: the member's status, borrowed; NULL if no valid reply came in time
 */
typedef void (*_jh_inquiry_fn_t)(void *data, const char *member, const jh_member_status_t *status);

/**
 * struct _jh_inquiry_request - a request to a member
 * @member: member that receives it; borrowed during _jh_inquiry_start() only
 * @type: JH_STATEMENT_STATUS or JH_STATEMENT_STEP_DOWN
 * @term: term that STEP_DOWN carries; STATUS ignores it
 * @timeout_s: time limit for the whole reply, seconds
 * @done: called once, never from within _jh_inquiry_start(); not called after a cancellation
 * @data: passed to @done
 */
typedef struct _jh_inquiry_request {
	const jh_member_t *member;
	jh_statement_type_t type;
	uint64_t term;
	double timeout_s;
	_jh_inquiry_fn_t done;
	void *data;
} _jh_inquiry_request_t;

/**
 * _jh_inquiry_start() - connect to the member and send the request
 *
 * A failure to connect is reported through @done as well.
 *
 * Return: new inquiry, which frees itself before it calls @done
 */
_jh_inquiry_t *_jh_inquiry_start(jh_task_t *task, const jh_wire_t *wire,
				 const _jh_inquiry_request_t *request);

/** _jh_inquiry_cancel() - close the connection and free the inquiry; @done is not called */
void _jh_inquiry_cancel(_jh_inquiry_t *inquiry);

#endif
