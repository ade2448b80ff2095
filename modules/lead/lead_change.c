#include "internal/lead.h"

#include "jh_counter.h"
#include "jh_log.h"
#include "jh_mirror.h"
#include "jh_primary_change.h"
#include "jh_replicas_row.h"

#include <string.h>

/*
 * The state machine of a change of primary, one for each group:
 *
 * 1. Write "changing" to the group's row, on condition that this VM is still the leader.
 * 2. Wait until the old primary is fenced: all VMs have acknowledged the row, or the mirror leases
 * of those that have not have expired; see jh_primary_is_fenced().
 * 3. Send the step down command to the old primary, if it is registered.
 * 4. Poll the members' status and choose the one with the highest received position.
 * 5. Write it to the row as the target, which verifies the leader's row again, and with synchronous
 *    replicas that the row of the group's replicas has not changed.
 * 6. Request its promotion from the platform, with the fencing token.
 * 7. Once it reports that it is the primary, write it to the row as the new primary.
 *
 * Until step 5 the change is cancelled if the old primary responds as the primary of its term and
 * no reason to replace it is left: the row is written with the same member and term.
 */

/*
 * Timeout of a request to a member; a member that works replies within milliseconds. It is doubled
 * up to the limit while the replies in time do not suffice for the next step.
 */
#define MEMBER_TIMEOUT_S 0.4
#define MEMBER_TIMEOUT_MAX_S 1.6

/* Time between two status requests to a primary that is being fenced. */
#define CANCEL_PROBE_INTERVAL_US (100 * INT64_C(1000))

/*
 * A primary that failed to respond so recently is told to step down without another status request;
 * a leader that takes over a change asks first.
 */
#define PROBE_VALID_US (1000 * INT64_C(1000))

/*
 * A promotion is sent only within this time after the write of the target was sent. The store has
 * verified the leader's row later than that, and the next leader waits PROMOTION_DELAY_US, a
 * second, after its claim: so the two never both send one. The reply does not count, because it may
 * be read late, for example by a VM that was suspended.
 */
#define PROMOTE_WINDOW_US (800 * INT64_C(1000))

/*
 * A promotion takes a few hundred milliseconds. If it has not succeeded after this time, the
 * members are polled again.
 */
#define PROMOTE_TIMEOUT_US (4000 * INT64_C(1000))

/* Time between two polls of a group whose primary cannot be replaced yet, microseconds. */
#define HANDOVER_POLL_INTERVAL_US (200 * INT64_C(1000))

/* A change of a draining primary begins this long before VMs stop using it, at the latest. */
#define DRAIN_OVER_MARGIN_US (2000 * INT64_C(1000))

JH_COUNTER(changes_total, "jasminehill_primary_changes_total", "changes of primary completed");
JH_COUNTER(cancelled_total, "jasminehill_primary_changes_cancelled_total",
	   "changes of primary cancelled because the primary responded again");
JH_COUNTER(promotions_total, "jasminehill_promotions_total", "promotions asked of the platform");

/* Values of the log keys "from" and "to", which keep their spelling for operators. */
static const char *const phase_names[] = {
	[JH_LEADER_IDLE] = "steady",	       [JH_LEADER_WRITING] = "writing",
	[JH_LEADER_FENCING] = "fencing",       [JH_LEADER_STEPPING_DOWN] = "stepping_down",
	[JH_LEADER_POLLING] = "surveying",     [JH_LEADER_PROMOTING] = "promoting",
	[JH_LEADER_CONFIRMING] = "confirming",
};

/* ---- members ---- */

static const jh_member_t *group_find_primary(const _jh_leader_group_t *group)
{
	return g_hash_table_lookup(group->leader->members, group->primary.member);
}

void _jh_leader_group_set_phase(_jh_leader_group_t *group, _jh_leader_phase_t phase)
{
	jh_log(JH_LOG_INFO, "lead", "phase",
	       "group=%s from=%s to=%s epoch=%" G_GUINT64_FORMAT " took_ms=%d",
	       jh_log_value(group->name), phase_names[group->phase], phase_names[phase],
	       group->primary.epoch, (int)((jh_boot_time_us() - group->phase_since_us) / 1000));
	group->phase = phase;
	group->phase_since_us = jh_boot_time_us();
	if (phase == JH_LEADER_IDLE)
		group->member_timeout_s = MEMBER_TIMEOUT_S;
}

static void group_extend_timeout(_jh_leader_group_t *group)
{
	group->member_timeout_s = MIN(2 * group->member_timeout_s, MEMBER_TIMEOUT_MAX_S);
}

static void group_delay_retry(_jh_leader_group_t *group)
{
	group->paused_until_us = jh_boot_time_us() + JH_LEADER_RETRY_US;
}

/* ---- writing a group's row ---- */

/*
 * Writes the group's row on condition that neither it nor the leader's row has changed. The group
 * enters next_phase when the write has succeeded.
 */
static void group_store_row(_jh_leader_group_t *group, const jh_primary_t *next_row,
			    _jh_leader_phase_t next_phase)
{
	_jh_leader_t *leader = group->leader;
	GPtrArray *writes = jh_store_writes_new();
	char *row = jh_primary_row_name(group->name);
	char *replicas_row = jh_replicas_row_name(group->name);
	char *text = jh_primary_format(next_row);

	group->pending_row = *next_row;
	group->pending_row.is_kept = false;
	group->write_sent_us = jh_boot_time_us();
	group->next_phase = next_phase;
	_jh_leader_group_set_phase(group, JH_LEADER_WRITING);
	jh_store_write_add(
		writes, JH_STORE_PUT, row,
		group->is_row_malformed ? group->malformed_version : group->primary.epoch, text);
	jh_store_write_add(writes, JH_STORE_CHECK, JH_LEADER_ROW, leader->row_version, NULL);
	if (next_row->target && _jh_leader_sync_replicas(group) > 0)
		jh_store_write_add(writes, JH_STORE_CHECK, replicas_row, group->recorded_version,
				   NULL);
	jh_platform_commit(leader->task, jh_mirror_table_name(JH_MIRROR_FLEET), writes, group->tag);
	g_free(text);
	g_free(replicas_row);
	g_free(row);
}

void _jh_leader_group_check_row(_jh_leader_t *leader, const jh_row_msg_t *row)
{
	const char *name = row->name + strlen(JH_PRIMARY_ROW_PREFIX);
	_jh_leader_group_t *group = _jh_leader_group_get(leader, name);
	jh_error_t err = JH_ERROR_INIT;
	jh_primary_t primary;

	group->is_row_malformed =
		!row->body || jh_primary_parse(&primary, name, row->version, row->body, &err) < 0;
	group->malformed_version = row->body ? row->version : 0;
	jh_error_clear(&err);
}

/* Return: whether @row makes the primary that is being replaced the primary of the same term again
 */
static bool row_cancels_change(const _jh_leader_group_t *group, const jh_primary_t *row)
{
	return group->primary.is_changing && !row->is_changing &&
	       row->member == group->primary.member && row->term == group->primary.term;
}

void _jh_leader_group_apply_row(_jh_leader_group_t *group, const jh_primary_t *row)
{
	if (row_cancels_change(group, row))
		group->cancelled_us = jh_boot_time_us();
	group->primary = *row;
	g_hash_table_remove_all(group->reports);
	group->probe_failed = false;
	group->denies_primary = false;
	if (group->phase != JH_LEADER_IDLE)
		_jh_leader_group_set_phase(group, JH_LEADER_IDLE);
}

static _jh_leader_phase_t phase_after_failed_write(const _jh_leader_group_t *group)
{
	const jh_primary_t *pending = &group->pending_row;

	if (!group->primary.is_changing)
		return JH_LEADER_IDLE;
	/* The target leads already: it only has to say so again before the write is repeated. */
	if (!pending->is_changing && pending->term > group->primary.term &&
	    pending->member == group->primary.target)
		return JH_LEADER_CONFIRMING;
	return JH_LEADER_FENCING;
}

void _jh_leader_group_handle_write(_jh_leader_group_t *group, const jh_platform_reply_t *reply)
{
	uint64_t known_version =
		reply->status == JH_PLATFORM_OK ? reply->version : group->primary.epoch;

	if (group->phase != JH_LEADER_WRITING)
		return;
	if (group->received_row.epoch > known_version) {
		_jh_leader_group_apply_row(group, &group->received_row);
		return;
	}
	if (reply->status != JH_PLATFORM_OK) {
		/*
		 * The write may have taken effect all the same; the mirror will then receive it.
		 * The steps continue from the newest row that this VM has received.
		 */
		jh_log(JH_LOG_WARNING, "lead", "row_not_written", "group=%s status=%d",
		       jh_log_value(group->name), reply->status);
		group_delay_retry(group);
		_jh_leader_group_set_phase(group, phase_after_failed_write(group));
		return;
	}
	if (row_cancels_change(group, &group->pending_row)) {
		group->cancelled_us = jh_boot_time_us();
		jh_counter_add(&cancelled_total, 1);
	} else if (group->next_phase == JH_LEADER_IDLE) {
		jh_counter_add(&changes_total, 1);
	}
	group->primary = group->pending_row;
	group->primary.epoch = reply->version;
	group->proven_epoch = reply->version;
	group->is_row_malformed = false;
	if (group->next_phase == JH_LEADER_IDLE)
		g_hash_table_remove_all(group->reports);
	group->probe_failed = false;
	group->denies_primary = false;
	_jh_leader_group_set_phase(group, group->next_phase);
}

/* ---- requests to members ---- */

static void on_primary_status(void *data, const char *member, const jh_member_status_t *status)
{
	_jh_leader_group_t *group = data;

	group->is_probing = false;
	group->probed_us = jh_boot_time_us();
	if (group->phase != JH_LEADER_IDLE || group->primary.member != member)
		return;
	group->probe_failed = status == NULL;
	group->denies_primary = status && !status->is_primary;
	jh_log(JH_LOG_INFO, "lead", "primary_asked", "group=%s member=%s answered=%d leads=%d",
	       jh_log_value(group->name), jh_log_value(member), status != NULL,
	       status && status->is_primary);
	if (status && status->is_primary) {
		group->reached_us = jh_boot_time_us();
		g_hash_table_remove(group->reports, _jh_leader_self(group->leader));
	}
}

static void group_send_request(_jh_leader_group_t *group, const jh_member_t *member,
			       jh_statement_type_t type, double timeout_s, _jh_inquiry_fn_t done)
{
	const _jh_inquiry_request_t request = {
		.member = member,
		.type = type,
		.term = group->primary.term + 1,
		.timeout_s = timeout_s,
		.done = done,
		.data = group,
	};

	_jh_inquiry_start(group->leader->task, group->leader->wire, &request);
}

static void on_poll_status(void *data, const char *member, const jh_member_status_t *status)
{
	_jh_leader_group_t *group = data;

	group->polls_pending--;
	if (status)
		g_hash_table_insert(group->polled_status, (void *)member,
				    g_memdup2(status, sizeof(*status)));
	if (group->polls_pending > 0)
		return;
	if (group->polls_again) {
		_jh_leader_group_poll(group);
		return;
	}
	group->polled_us = jh_boot_time_us();
	_jh_leader_evaluate_poll(group);
	_jh_leader_step_soon(group->leader);
}

void _jh_leader_group_poll(_jh_leader_group_t *group)
{
	GPtrArray *members;
	unsigned i;

	group->polls_again = group->polls_pending > 0;
	if (group->polls_again)
		return;
	g_hash_table_remove_all(group->polled_status);
	members = _jh_leader_members_to_poll(group);
	for (i = 0; i < members->len; i++) {
		group->polls_pending++;
		group_send_request(group, g_ptr_array_index(members, i), JH_STATEMENT_STATUS,
				   group->member_timeout_s, on_poll_status);
	}
	if (members->len == 0)
		group->polled_us = jh_boot_time_us();
	g_ptr_array_free(members, TRUE);
}

static void on_step_down_status(void *data, const char *member, const jh_member_status_t *status)
{
	_jh_leader_group_t *group = data;

	if (group->phase != JH_LEADER_STEPPING_DOWN)
		return;
	jh_log(JH_LOG_INFO, "lead", "stepped_down", "group=%s member=%s answered=%d",
	       jh_log_value(group->name), jh_log_value(member), status != NULL);
	group->final_position =
		status && !status->is_primary ? status->received : (jh_position_t){ 0 };
	_jh_leader_group_set_phase(group, JH_LEADER_POLLING);
	_jh_leader_group_poll(group);
}

/* ---- phases ---- */

/* Return: number of other VMs whose report of the primary is newer than JH_LEADER_REPORT_US */
static unsigned count_reports(const _jh_leader_group_t *group)
{
	GHashTableIter iter;
	unsigned count = 0;
	void *name;
	void *value;

	g_hash_table_iter_init(&iter, group->reports);
	while (g_hash_table_iter_next(&iter, &name, &value)) {
		if (jh_boot_time_us() - *(int64_t *)value < JH_LEADER_REPORT_US &&
		    !g_str_equal(name, _jh_leader_self(group->leader)))
			count++;
	}
	return count;
}

static unsigned count_live_vms(const _jh_leader_t *leader)
{
	unsigned count = 0;
	unsigned i;

	for (i = 0; i < leader->vms->len; i++)
		count += ((const jh_vm_t *)g_ptr_array_index(leader->vms, i))->state != JH_VM_DEAD;
	return count;
}

bool _jh_leader_group_has_successor(const _jh_leader_group_t *group)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, group->leader->members);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const jh_member_t *member = value;

		if (member->group == group->name && member->id != group->primary.member &&
		    _jh_leader_may_promote(group->leader, member))
			return true;
	}
	return false;
}

/*
 * Return: whether another VM reported the primary within JH_LEADER_REPORT_US, or this VM did since
 * its last successful probe
 */
static bool has_report(const _jh_leader_group_t *group)
{
	return count_reports(group) > 0 ||
	       g_hash_table_contains(group->reports, _jh_leader_self(group->leader));
}

/* Return: whether the member drains, and VMs stop sending it work within DRAIN_OVER_MARGIN_US */
static bool is_drain_over(const _jh_leader_t *leader, const jh_member_t *member)
{
	int64_t drain_us =
		(int64_t)jh_kernel_settings(jh_task_kernel(leader->task))->member_drain_ms * 1000;

	return member->is_draining &&
	       (member->draining_since_us == INT64_MIN ||
		jh_boot_time_us() - member->draining_since_us >= drain_us - DRAIN_OVER_MARGIN_US);
}

/* Notes since when the primary's registration has been missing. */
static jh_primary_health_t group_update_health(_jh_leader_group_t *group)
{
	const jh_member_t *member = group_find_primary(group);
	jh_primary_health_t health = {
		.live_vms = count_live_vms(group->leader),
		.unreachable_vms = count_reports(group),
		.leader_probe_failed = group->probe_failed,
		.leader_reaches = group->reached_us != 0 &&
				  jh_boot_time_us() - group->reached_us < PROBE_VALID_US,
		.denies_primary = group->denies_primary,
		.is_draining = member && member->is_draining,
		.is_drain_over = member && is_drain_over(group->leader, member),
		.can_not_fence = !_jh_leader_can_fence(group->leader),
		.is_dc_drained =
			member && _jh_leader_member_phase(group->leader, member) != JH_DC_OPEN,
		.has_successor = _jh_leader_group_has_successor(group),
	};

	if (member)
		group->missing_since_us = 0;
	else if (group->missing_since_us == 0)
		group->missing_since_us = jh_boot_time_us();
	health.missing_us = member ? 0 : jh_boot_time_us() - group->missing_since_us;
	return health;
}

/* Logs once in a change that no member is known to have all acknowledged commits. */
static void group_log_wait(_jh_leader_group_t *group, unsigned replica_count)
{
	jh_position_t acknowledged;

	if (group->is_wait_logged)
		return;
	group->is_wait_logged = true;
	acknowledged = _jh_leader_acknowledged(group);
	jh_log(JH_LOG_WARNING, "lead", "no_successor",
	       "group=%s member=%s term=%" G_GUINT64_FORMAT
	       " replies=%u replicas=%u sync_replicas=%u acknowledged=%" G_GUINT64_FORMAT
	       ".%" G_GUINT64_FORMAT,
	       jh_log_value(group->name), jh_log_value(group->primary.member), group->primary.term,
	       g_hash_table_size(group->polled_status), replica_count,
	       _jh_leader_sync_replicas(group), acknowledged.term, acknowledged.index);
}

/*
 * With synchronous replicas, a change of a primary that still responds begins only once a member
 * that stays receives its commits: otherwise it would end with the same primary, after an outage.
 *
 * Return: whether the newest poll shows that a member could be promoted; polls again if not
 */
static bool group_can_hand_over(_jh_leader_group_t *group)
{
	const jh_member_status_t *primary = _jh_leader_polled_primary(group);
	int64_t now_us = jh_boot_time_us();
	_jh_leader_replicas_t replicas;
	bool is_ready = false;
	unsigned i;

	if (_jh_leader_sync_replicas(group) == 0)
		return true;
	if (group->polls_pending > 0)
		return false;
	if (now_us - group->polled_us > HANDOVER_POLL_INTERVAL_US) {
		if (group->is_wait_logged)
			group_extend_timeout(group);
		_jh_leader_group_poll(group);
		return false;
	}
	if (primary && group->handover_from.term == 0)
		group->handover_from = primary->received;
	_jh_leader_replicas_init(&replicas, group);
	if (!primary)
		is_ready = jh_successor_choose(&replicas.set) >= 0;
	for (i = 0; primary && i < replicas.set.count; i++) {
		const jh_successor_t *replica = &replicas.set.members[i];

		is_ready = is_ready ||
			   (replica->replied && !replica->is_leaving && !replica->is_excluded &&
			    jh_position_compare(replica->received, group->handover_from) >= 0);
	}
	if (!is_ready)
		group_log_wait(group, replicas.set.count);
	_jh_leader_replicas_clear(&replicas);
	return is_ready;
}

static void idle_step(_jh_leader_group_t *group)
{
	const jh_member_t *member = group_find_primary(group);
	jh_primary_health_t health = group_update_health(group);
	jh_primary_t next_row = group->primary;
	const char *reason;

	if (has_report(group) && !group->is_probing && _jh_leader_may_ask(group->leader, member)) {
		group->is_probing = true;
		group_send_request(group, member, JH_STATEMENT_STATUS, MEMBER_TIMEOUT_S,
				   on_primary_status);
	}
	reason = jh_primary_must_change(&health);
	if (!reason) {
		group->handover_from = (jh_position_t){ 0 };
		group->is_wait_logged = false;
		if (_jh_leader_needs_survey(group)) {
			if (!_jh_leader_polled_primary(group))
				group_extend_timeout(group);
			_jh_leader_group_poll(group);
		}
		return;
	}
	if (!group_can_hand_over(group))
		return;
	group->handover_from = (jh_position_t){ 0 };
	group->is_wait_logged = false;
	jh_log(JH_LOG_WARNING, "lead", "change_begins",
	       "group=%s member=%s term=%" G_GUINT64_FORMAT " silent_vms=%u vms=%u reason=%s",
	       jh_log_value(group->name), jh_log_value(group->primary.member), group->primary.term,
	       health.unreachable_vms, health.live_vms, jh_log_value(reason));
	next_row.is_changing = true;
	next_row.target = NULL;
	next_row.is_revocable = jh_change_is_revocable(&health) &&
				(group->cancelled_us == 0 ||
				 jh_boot_time_us() - group->cancelled_us > JH_REVOKE_AGAIN_US);
	next_row.begun_era = group->leader->era;
	group_store_row(group, &next_row, JH_LEADER_FENCING);
}

/* ---- cancelling a change ---- */

/* @status: the old primary's newest reply, NULL if there is none */
static jh_revocation_t group_revocation(const _jh_leader_group_t *group,
					const jh_member_status_t *status)
{
	return (jh_revocation_t){
		.is_revocable = group->primary.is_revocable,
		.has_target = group->primary.target != NULL,
		.begun_era = group->primary.begun_era,
		.row_era = jh_store_version_era(group->primary.epoch),
		.row_term = group->primary.term,
		.replied_as_primary = status && status->is_primary,
		.replied_term = status ? status->term : 0,
	};
}

/*
 * Cancels the change if the old primary's reply and all else that is known allow it.
 *
 * Return: whether the row is being written
 */
static bool group_consider_cancel(_jh_leader_group_t *group, const jh_member_status_t *status)
{
	const jh_primary_t next_row = {
		.group = group->name,
		.term = group->primary.term,
		.member = group->primary.member,
	};
	jh_revocation_t revocation = group_revocation(group, status);
	jh_primary_health_t health = group_update_health(group);

	health.leader_probe_failed = false;
	health.denies_primary = false;
	/* A member that leaves is no longer registered as leaving once it has left. */
	if (!group_find_primary(group) || !jh_change_may_cancel(&revocation, &health))
		return false;
	jh_log(JH_LOG_WARNING, "lead", "change_cancelled",
	       "group=%s member=%s term=%" G_GUINT64_FORMAT " epoch=%" G_GUINT64_FORMAT " phase=%s",
	       jh_log_value(group->name), jh_log_value(group->primary.member), group->primary.term,
	       group->primary.epoch, phase_names[group->phase]);
	group_store_row(group, &next_row, JH_LEADER_IDLE);
	return true;
}

static void on_fencing_status(void *data, const char *member, const jh_member_status_t *status)
{
	_jh_leader_group_t *group = data;

	group->is_probing = false;
	group->probed_us = jh_boot_time_us();
	if (group->phase != JH_LEADER_FENCING || group->primary.member != member ||
	    !_jh_leader_is_self(group->leader))
		return;
	if (status && status->is_primary) {
		jh_primary_health_t health;

		group->reached_us = jh_boot_time_us();
		health = group_update_health(group);
		if (!jh_change_is_revocable(&health))
			group->primary.is_revocable = false;
	}
	group_consider_cancel(group, status);
}

/*
 * Return: whether a reply of the old primary as the primary of its term would cancel the change,
 * once the other VMs' reports have expired
 */
static bool group_awaits_old_primary(_jh_leader_group_t *group)
{
	const jh_member_status_t reply = { .is_primary = true, .term = group->primary.term };
	jh_revocation_t revocation = group_revocation(group, &reply);
	jh_primary_health_t health = group_update_health(group);

	health.unreachable_vms = 0;
	health.leader_probe_failed = false;
	health.denies_primary = false;
	return jh_change_may_cancel(&revocation, &health);
}

/*
 * Asks the old primary whether it responds again, if the change would then be cancelled.
 *
 * Return: whether its reply, or that it gives none, is known since PROBE_VALID_US or less
 */
static bool group_probe_old_primary(_jh_leader_group_t *group, const jh_member_t *old_primary)
{
	int64_t now_us = jh_boot_time_us();

	if (!group->is_probing && now_us - group->probed_us >= CANCEL_PROBE_INTERVAL_US) {
		group->is_probing = true;
		group_send_request(group, old_primary, JH_STATEMENT_STATUS, MEMBER_TIMEOUT_S,
				   on_fencing_status);
	}
	return now_us - group->probed_us < PROBE_VALID_US;
}

static void fencing_step(_jh_leader_group_t *group)
{
	const jh_member_t *old_primary = group_find_primary(group);
	jh_change_acks_t acks;
	bool is_probed = true;

	if (old_primary && group_awaits_old_primary(group))
		is_probed = group_probe_old_primary(group, old_primary);
	/* What the VMs acknowledge is the version of a row that says less. A voter writes it back.
	 */
	if (group->primary.is_kept) {
		group->acks.version = 0;
		return;
	}
	acks = _jh_leader_count_acks(group->leader, &group->acks, group->primary.epoch);
	/*
	 * Without a mirror lease this VM may have been suspended while the next leader cancelled
	 * the change; it must not make the primary step down.
	 */
	if (!jh_primary_is_fenced(&acks) || !is_probed ||
	    group->leader->lease_until_us <= jh_boot_time_us())
		return;
	jh_log(JH_LOG_INFO, "lead", "fenced",
	       "group=%s vms=%u knowing=%u voters=%u previous_voters=%u quorum=%d stored_ms=%d",
	       jh_log_value(group->name), acks.vms, acks.acked, group->leader->voters->current->len,
	       group->leader->voters->previous ? group->leader->voters->previous->len : 0,
	       acks.has_quorum, (int)(acks.stored_us / 1000));
	group->final_position = (jh_position_t){ 0 };
	if (_jh_leader_may_ask(group->leader, old_primary)) {
		_jh_leader_group_set_phase(group, JH_LEADER_STEPPING_DOWN);
		group_send_request(group, old_primary, JH_STATEMENT_STEP_DOWN,
				   group->member_timeout_s, on_step_down_status);
	} else {
		_jh_leader_group_set_phase(group, JH_LEADER_POLLING);
		_jh_leader_group_poll(group);
	}
}

/*
 * Return: a member that this leader or an earlier one has promoted already, so it is the
 * primary of a newer term, and of the newest one that the members show; NULL if there is none
 */
static const char *find_promoted(const _jh_leader_group_t *group, uint64_t *term)
{
	const char *promoted = NULL;
	GHashTableIter iter;
	void *name;
	void *value;

	*term = group->primary.term;
	g_hash_table_iter_init(&iter, group->polled_status);
	while (g_hash_table_iter_next(&iter, &name, &value)) {
		const jh_member_status_t *status = value;

		if (status->is_primary && status->term > *term) {
			*term = status->term;
			promoted = name;
		}
	}
	return promoted;
}

void _jh_leader_group_store_primary(_jh_leader_group_t *group, const char *member, uint64_t term)
{
	const jh_primary_t next_row = {
		.group = group->name,
		.term = term,
		.member = member,
	};

	group_store_row(group, &next_row, JH_LEADER_IDLE);
}

void _jh_leader_group_store_unproven(_jh_leader_group_t *group)
{
	jh_primary_t next_row = group->primary;

	next_row.is_changing = true;
	next_row.is_revocable = false;
	next_row.is_unproven = true;
	group_store_row(group, &next_row, JH_LEADER_FENCING);
}

/*
 * Chooses among the members that replied to the poll, without the old primary if it is known that
 * no other member has led since.
 *
 * @is_leaving: receives whether the member is leaving
 * @received: receives its received position
 * @replica_count: receives the number of members that commits may rest on, without the old primary
 *
 * Return: id of the member, NULL if none can be promoted yet
 */
static const char *group_choose_successor(_jh_leader_group_t *group, bool *is_leaving,
					  jh_position_t *received, unsigned *replica_count)
{
	const jh_member_status_t *primary = _jh_leader_polled_primary(group);
	_jh_leader_replicas_t replicas;
	const char *id = NULL;
	int best;

	/* It came back with its log, and no VM has used it since it was fenced. */
	if (primary && _jh_leader_sync_replicas(group) > 0)
		group->final_position = primary->received;
	_jh_leader_replicas_init(&replicas, group);
	if (!_jh_leader_last_primary_is_unknown(group))
		replicas.set.final = group->final_position;
	best = jh_successor_choose(&replicas.set);
	if (best >= 0) {
		id = g_ptr_array_index(replicas.ids, best);
		*is_leaving = replicas.set.members[best].is_leaving;
		*received = replicas.set.members[best].received;
	}
	*replica_count = replicas.set.count;
	_jh_leader_replicas_clear(&replicas);
	return id;
}

/* Return: whether the row names a target other than the old primary, which may lead by now */
static bool has_other_target(const _jh_leader_group_t *group)
{
	return group->primary.target && group->primary.target != group->primary.member;
}

/*
 * Return: whether no other member can have been promoted since the old primary was. Before a change
 * that began with an unproven row, one may have been; then the replies have to show that none was.
 */
static bool no_other_was_promoted(const _jh_leader_group_t *group,
				  const jh_revocation_t *revocation)
{
	jh_revocation_t of_others = *revocation;

	of_others.has_target = has_other_target(group);
	if (group->primary.is_unproven)
		return !of_others.has_target && !_jh_leader_last_primary_is_unknown(group);
	return jh_change_is_open(&of_others);
}

/*
 * Return: the old primary's reply if it has stepped down and no reason to replace it is left, else
 * NULL
 */
static const jh_member_status_t *find_usable_old_primary(_jh_leader_group_t *group)
{
	const jh_member_status_t *status =
		g_hash_table_lookup(group->polled_status, group->primary.member);
	jh_primary_health_t health = group_update_health(group);

	/* Without another member, the state of the old primary is looked at all the same. */
	health.has_successor = true;
	health.leader_probe_failed = false;
	health.denies_primary = false;
	return status && !status->is_primary && group_find_primary(group) &&
			       !jh_primary_must_change(&health) ?
		       status :
		       NULL;
}

/*
 * Return: whether the old primary may be promoted again rather than another member: it has a longer
 * log than each of them
 */
static bool old_primary_may_lead(_jh_leader_group_t *group, jh_position_t received)
{
	const jh_member_status_t *status = find_usable_old_primary(group);
	jh_revocation_t revocation = group_revocation(group, status);

	return status && status->term <= group->primary.term + 1 &&
	       jh_position_compare(status->received, group->final_position) >= 0 &&
	       jh_position_compare(status->received, received) > 0 &&
	       no_other_was_promoted(group, &revocation);
}

/*
 * Return: whether the old primary, which stepped down, replied with its whole log and may be
 * promoted again if no other member has the commits that it acknowledged
 */
static bool old_primary_is_only_copy(const _jh_leader_group_t *group)
{
	const jh_member_status_t *status =
		g_hash_table_lookup(group->polled_status, group->primary.member);

	return !_jh_leader_last_primary_is_unknown(group) && group->final_position.term > 0 &&
	       status && group_find_primary(group) && !status->is_primary &&
	       !has_other_target(group) &&
	       jh_position_compare(status->received, group->final_position) >= 0;
}

/*
 * Return: whether the old primary may be promoted again if no other member can be. With
 * asynchronous replicas its log does not matter for that: no VM has used a member since that the
 * row does not name.
 */
static bool old_primary_is_last_choice(_jh_leader_group_t *group)
{
	if (_jh_leader_sync_replicas(group) > 0)
		return old_primary_is_only_copy(group);
	return find_usable_old_primary(group) != NULL;
}

/* Return: what follows the newest poll, in which @successor has received the log up to @received */
static jh_catch_up_step_t group_decide_catch_up(_jh_leader_group_t *group, const char *successor,
						bool is_leaving, jh_position_t received)
{
	int64_t now_us = jh_boot_time_us();
	jh_catch_up_t catch_up = {
		.has_successor = successor != NULL,
		.is_behind = jh_position_compare(received, group->final_position) < 0,
		.is_leaving = is_leaving,
		.old_is_last_choice = old_primary_is_last_choice(group),
		.waited_us = now_us - group->phase_since_us,
		.old_replied = g_hash_table_contains(group->polled_status, group->primary.member),
		.old_may_lead = old_primary_may_lead(group, received),
	};

	if (group->advanced_us < group->phase_since_us ||
	    jh_position_compare(received, group->best_received) > 0) {
		group->advanced_us = now_us;
		group->best_received = received;
	}
	catch_up.stalled_us = now_us - group->advanced_us;
	return jh_catch_up_decide(&catch_up);
}

static void group_store_target(_jh_leader_group_t *group, const char *target)
{
	jh_primary_t next_row = group->primary;

	next_row.target = target;
	/* If the reply is lost, the old primary may be chosen again, but no other target undone. */
	next_row.is_revocable = next_row.is_revocable && target == group->primary.member;
	group_store_row(group, &next_row, JH_LEADER_PROMOTING);
}

static void polling_step(_jh_leader_group_t *group)
{
	jh_position_t received = { 0 };
	bool is_leaving = false;
	jh_catch_up_step_t step;
	const char *promoted;
	const char *successor;
	unsigned replica_count;
	uint64_t term = 0;

	if (group->polls_pending > 0 || jh_boot_time_us() < group->leader->promotion_allowed_us)
		return;
	promoted = find_promoted(group, &term);
	if (promoted) {
		_jh_leader_group_store_primary(group, promoted, term);
		return;
	}
	if (group_consider_cancel(group,
				  g_hash_table_lookup(group->polled_status, group->primary.member)))
		return;
	successor = group_choose_successor(group, &is_leaving, &received, &replica_count);
	step = group_decide_catch_up(group, successor, is_leaving, received);
	if (step == JH_CATCH_UP_WAIT) {
		if (!successor) {
			group_log_wait(group, replica_count);
			group_extend_timeout(group);
		}
		group->paused_until_us = jh_boot_time_us() + JH_LEADER_RETRY_US / 4;
		/* It leads a new term only once it has stepped down from its own. */
		if (!successor && _jh_leader_polled_primary(group))
			_jh_leader_group_set_phase(group, JH_LEADER_FENCING);
		else
			_jh_leader_group_poll(group);
		return;
	}
	if (step == JH_CATCH_UP_PROMOTE_OLD)
		successor = group->primary.member;
	jh_log(JH_LOG_INFO, "lead", "successor",
	       "group=%s member=%s received=%" G_GUINT64_FORMAT ".%" G_GUINT64_FORMAT
	       " final=%" G_GUINT64_FORMAT ".%" G_GUINT64_FORMAT " again=%d replies=%u replicas=%u"
	       " acknowledged=%" G_GUINT64_FORMAT ".%" G_GUINT64_FORMAT,
	       jh_log_value(group->name), jh_log_value(successor), received.term, received.index,
	       group->final_position.term, group->final_position.index,
	       step == JH_CATCH_UP_PROMOTE_OLD, g_hash_table_size(group->polled_status),
	       replica_count, _jh_leader_acknowledged(group).term,
	       _jh_leader_acknowledged(group).index);
	group->is_wait_logged = false;
	group_store_target(group, successor);
}

static void promoting_step(_jh_leader_group_t *group)
{
	_jh_leader_t *leader = group->leader;
	const jh_member_t *target = g_hash_table_lookup(leader->members, group->primary.target);

	if (jh_boot_time_us() - group->write_sent_us > PROMOTE_WINDOW_US ||
	    (target && _jh_leader_member_phase(leader, target) != JH_DC_OPEN)) {
		_jh_leader_group_set_phase(group, JH_LEADER_POLLING);
		_jh_leader_group_poll(group);
		return;
	}
	jh_counter_add(&promotions_total, 1);
	jh_log(JH_LOG_WARNING, "lead", "promote", "group=%s member=%s fence=%" G_GUINT64_FORMAT,
	       jh_log_value(group->name), jh_log_value(group->primary.target),
	       leader->fencing_token);
	_jh_leader_group_set_phase(group, JH_LEADER_CONFIRMING);
	jh_platform_promote(leader->task, group->name, group->primary.target,
			    _jh_leader_self(leader), leader->fencing_token, group->tag);
}

void _jh_leader_group_handle_promote(_jh_leader_group_t *group, const jh_platform_reply_t *reply)
{
	if (group->phase != JH_LEADER_CONFIRMING)
		return;
	jh_log(JH_LOG_INFO, "lead", "promote_answered", "group=%s status=%d",
	       jh_log_value(group->name), reply->status);
	if (reply->status == JH_PLATFORM_OK || reply->status == JH_PLATFORM_UNKNOWN)
		return;
	group_delay_retry(group);
	_jh_leader_group_set_phase(group, JH_LEADER_POLLING);
	_jh_leader_group_poll(group);
}

static void on_target_status(void *data, const char *member, const jh_member_status_t *status)
{
	_jh_leader_group_t *group = data;

	group->is_probing = false;
	if (group->phase != JH_LEADER_CONFIRMING || member != group->primary.target)
		return;
	if (!status)
		group_extend_timeout(group);
	else if (status->is_primary && status->term > group->primary.term)
		_jh_leader_group_store_primary(group, member, status->term);
}

static void confirming_step(_jh_leader_group_t *group)
{
	const jh_member_t *target =
		g_hash_table_lookup(group->leader->members, group->primary.target);

	if (!_jh_leader_may_ask(group->leader, target) ||
	    jh_boot_time_us() - group->phase_since_us > PROMOTE_TIMEOUT_US) {
		_jh_leader_group_set_phase(group, JH_LEADER_POLLING);
		_jh_leader_group_poll(group);
		return;
	}
	if (group->is_probing)
		return;
	group->is_probing = true;
	group_send_request(group, target, JH_STATEMENT_STATUS, group->member_timeout_s,
			   on_target_status);
}

/* ---- groups without a row ---- */

/* Return: whether a member of the group claims in its registration to be the primary */
static bool group_has_claim(const _jh_leader_group_t *group)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, group->leader->members);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const jh_member_t *member = value;

		if (member->group == group->name && member->claims_primary)
			return true;
	}
	return false;
}

/*
 * Chooses the first primary: the member that claims the role in its registration, confirms it in
 * its status, and of whose term no other reply knows a newer one. A member that did not reply may
 * be the primary of a newer term; it is waited for as long as a registration may be missing.
 *
 * Return: id of the member, NULL if there is none yet
 */
static const char *group_find_first_primary(const _jh_leader_group_t *group, uint64_t *term)
{
	bool is_waiting = jh_boot_time_us() - group->phase_since_us < JH_REGISTRATION_GRACE_US;
	const char *first = NULL;
	uint64_t newest_term = 0;
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, group->leader->members);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const jh_member_t *member = value;
		const jh_member_status_t *status =
			g_hash_table_lookup(group->polled_status, member->id);

		if (member->group != group->name)
			continue;
		if (!status && member->claims_primary && is_waiting)
			return NULL;
		if (!status)
			continue;
		newest_term = MAX(newest_term, status->term);
		if (member->claims_primary && status->is_primary &&
		    (!first || status->term > *term)) {
			first = member->id;
			*term = status->term;
		}
	}
	return first && *term == newest_term ? first : NULL;
}

/* Writes the first row of a group. */
static void first_primary_step(_jh_leader_group_t *group)
{
	const char *first;
	uint64_t term = 0;

	if (group->polls_pending > 0 || !group_has_claim(group))
		return;
	first = group_find_first_primary(group, &term);
	if (first) {
		_jh_leader_group_store_primary(group, first, term);
		return;
	}
	group->paused_until_us = jh_boot_time_us() + JH_LEADER_RETRY_US / 2;
	if (group->polled_us != 0)
		group_extend_timeout(group);
	_jh_leader_group_poll(group);
}

void _jh_leader_group_step(_jh_leader_group_t *group)
{
	if (jh_boot_time_us() < group->paused_until_us)
		return;
	if (group->phase == JH_LEADER_WRITING)
		return;
	if (group->primary.epoch == 0) {
		first_primary_step(group);
		return;
	}
	switch (group->phase) {
	case JH_LEADER_IDLE:
		if (group->is_row_malformed) {
			jh_log(JH_LOG_WARNING, "lead", "row_restored", "group=%s member=%s",
			       jh_log_value(group->name), jh_log_value(group->primary.member));
			group_store_row(group, &group->primary, JH_LEADER_IDLE);
		} else if (group->primary.is_changing) {
			_jh_leader_group_set_phase(group, JH_LEADER_FENCING);
		} else {
			idle_step(group);
		}
		break;
	case JH_LEADER_FENCING:
		fencing_step(group);
		break;
	case JH_LEADER_POLLING:
		polling_step(group);
		break;
	case JH_LEADER_PROMOTING:
		promoting_step(group);
		break;
	case JH_LEADER_CONFIRMING:
		confirming_step(group);
		break;
	case JH_LEADER_STEPPING_DOWN:
	case JH_LEADER_WRITING:
		break;
	}
}

void _jh_leader_group_free(void *data)
{
	_jh_leader_group_t *group = data;

	g_hash_table_destroy(group->reports);
	g_hash_table_destroy(group->polled_status);
	g_hash_table_destroy(group->recorded);
	g_free(group);
}

_jh_leader_group_t *_jh_leader_group_get(_jh_leader_t *leader, const char *name)
{
	_jh_leader_group_t *group = g_hash_table_lookup(leader->groups, name);

	if (group)
		return group;
	group = g_new0(_jh_leader_group_t, 1);
	group->leader = leader;
	group->name = g_intern_string(name);
	group->tag = ++leader->last_tag;
	group->record_tag = ++leader->last_tag;
	group->recorded = jh_replicas_new();
	group->primary.group = group->name;
	group->phase_since_us = jh_boot_time_us();
	group->member_timeout_s = MEMBER_TIMEOUT_S;
	group->reports = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	group->polled_status = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	g_hash_table_insert(leader->groups, (void *)group->name, group);
	return group;
}

bool _jh_leader_is_fencing(const _jh_leader_t *leader)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, leader->groups);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (((const _jh_leader_group_t *)value)->phase == JH_LEADER_FENCING)
			return true;
	}
	return false;
}
