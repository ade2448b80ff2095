#include "internal/lead.h"

#include "jh_log.h"
#include "jh_placement.h"
#include "jh_replicas_row.h"

/*
 * Reports of former replicas by other VMs. A replica whose registration disappeared may be out of
 * reach of the leader and the store only, and go on receiving commits. The voters ask such replicas
 * for their status and tell the leader whether they replied. The leader gives a replica up only
 * once all voters that respond have asked it in vain, too. The positions in the replies are not
 * used: they may be older than the moment at which the primary stopped.
 */

/* Interval at which a voter asks a former replica, microseconds. */
#define REPORT_INTERVAL_US (500 * INT64_C(1000))

/* Timeout of such a request, seconds. */
#define REPORT_TIMEOUT_S 0.4

typedef struct replica_report {
	int64_t at_us;
	bool replied;
} replica_report_t;

/* ---- on the voters ---- */

static void send_report(_jh_leader_t *leader, const jh_member_t *member, bool replied)
{
	Jh__Frame *frame = jh_frame_new(JH__FRAME__BODY_REPLICA_REPORT);
	Jh__ReplicaReport *report = frame->replica_report;

	report->group = jh_frame_strdup(member->group);
	report->member = jh_frame_strdup(member->id);
	report->started_ms = member->started_ms;
	report->replied = replied;
	jh_frame_send(leader->task, leader->leader_vm, frame);
}

/* The replica may have been dropped, or have registered again, since it was asked. */
static void on_replica_status(void *data, const char *id, const jh_member_status_t *status)
{
	_jh_leader_t *leader = data;
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, leader->unlisted);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		_jh_leader_unlisted_t *unlisted = value;

		if (!unlisted->is_asking || unlisted->member->id != id)
			continue;
		unlisted->is_asking = false;
		if (leader->leader_vm && !_jh_leader_is_self(leader))
			send_report(leader, unlisted->member, status != NULL);
	}
}

static void ask_replica(_jh_leader_t *leader, _jh_leader_unlisted_t *unlisted)
{
	const _jh_inquiry_request_t request = {
		.member = unlisted->member,
		.type = JH_STATEMENT_STATUS,
		.timeout_s = REPORT_TIMEOUT_S,
		.done = on_replica_status,
		.data = leader,
	};

	unlisted->is_asking = true;
	unlisted->asked_us = jh_boot_time_us();
	_jh_inquiry_start(leader->task, leader->wire, &request);
}

void _jh_leader_report_replicas(_jh_leader_t *leader)
{
	GHashTableIter iter;
	void *value;

	if (!leader->leader_vm || _jh_leader_is_self(leader) ||
	    !jh_voters_include(leader->voters, _jh_leader_self(leader)))
		return;
	g_hash_table_iter_init(&iter, leader->unlisted);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		_jh_leader_unlisted_t *unlisted = value;
		const jh_member_t *member = unlisted->member;

		if (unlisted->is_asking ||
		    jh_boot_time_us() - unlisted->asked_us < REPORT_INTERVAL_US ||
		    _jh_leader_sync_replicas(_jh_leader_group_get(leader, member->group)) == 0 ||
		    g_hash_table_contains(leader->members, member->id) ||
		    !_jh_leader_may_ask(leader, member))
			continue;
		ask_replica(leader, unlisted);
	}
}

/* ---- on the leader ---- */

void _jh_leader_apply_replica_report(_jh_leader_t *leader, const char *vm,
				     const Jh__ReplicaReport *report)
{
	const jh_member_t named = {
		.id = report->member,
		.group = report->group,
		.started_ms = report->started_ms,
	};
	char *key = jh_replica_key(&named);
	_jh_leader_unlisted_t *unlisted = g_hash_table_lookup(leader->unlisted, key);
	replica_report_t *entry;

	g_free(key);
	if (!unlisted)
		return;
	if (!unlisted->reports)
		unlisted->reports = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	entry = g_new0(replica_report_t, 1);
	entry->at_us = jh_boot_time_us();
	entry->replied = report->replied;
	if (report->replied && !unlisted->is_reported)
		jh_log(JH_LOG_INFO, "lead", "replica_reported", "group=%s member=%s from=%s",
		       jh_log_value(report->group), jh_log_value(report->member), jh_log_value(vm));
	unlisted->is_reported = unlisted->is_reported || report->replied;
	g_hash_table_replace(unlisted->reports, g_strdup(vm), entry);
}

bool _jh_leader_another_vm_reaches(const _jh_leader_unlisted_t *unlisted)
{
	GHashTableIter iter;
	void *value;

	if (!unlisted->reports)
		return false;
	g_hash_table_iter_init(&iter, unlisted->reports);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const replica_report_t *report = value;

		if (report->replied && jh_boot_time_us() - report->at_us < JH_LEADER_REPORT_US)
			return true;
	}
	return false;
}

bool _jh_leader_no_vm_reaches(const _jh_leader_t *leader, const _jh_leader_unlisted_t *unlisted)
{
	GPtrArray *voters = jh_voters_all(leader->voters);
	bool result = true;
	unsigned i;

	for (i = 0; result && i < voters->len; i++) {
		const char *name = g_ptr_array_index(voters, i);
		const jh_vm_t *vm = jh_vm_find(leader->vms, name);
		const replica_report_t *report =
			unlisted->reports ? g_hash_table_lookup(unlisted->reports, name) : NULL;

		if (g_str_equal(name, _jh_leader_self(leader)) || !vm || vm->state != JH_VM_LIVE)
			continue;
		result = report && !report->replied && report->at_us >= unlisted->silent_since_us;
	}
	g_ptr_array_unref(voters);
	return result;
}
