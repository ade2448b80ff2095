#include "internal/lead.h"

#include "jh_counter.h"
#include "jh_log.h"
#include "jh_mirror.h"
#include "jh_primary_change.h"

/*
 * A change of primary, group by group. The group's row says "changing" (under the condition that
 * this VM still leads); every VM knows, or a majority does and the rest's authority has run out;
 * the old primary steps down if it can be reached; the members are asked how long their logs are;
 * the target is written, which checks the lead's row once more; promote; the new primary says that
 * it leads; the group's row names it.
 */

/* Questions to a member that answers take milliseconds. */
#define ASK_TIMEOUT_S 0.4

/* The lead's row was read this short a time before a promotion is sent, microseconds. */
#define VERIFIED_US (400 * INT64_C(1000))

/* A change that was planned waits this long for a replica to hold the whole log. */
#define CATCH_UP_US (1500 * INT64_C(1000))

/* A promotion takes some hundred milliseconds; after this it is asked for again. */
#define PROMOTE_US (4000 * INT64_C(1000))

JH_COUNTER(changes_total, "jasminehill_primary_changes_total", "changes of primary completed");
JH_COUNTER(promotes_total, "jasminehill_promotions_total", "promotions asked of the platform");

static const char *const phase_names[] = {
	[JH_LEADER_IDLE] = "steady",	       [JH_LEADER_WRITING] = "writing",
	[JH_LEADER_FENCING] = "fencing",       [JH_LEADER_STEPPING_DOWN] = "stepping_down",
	[JH_LEADER_POLLING] = "surveying",     [JH_LEADER_PROMOTING] = "promoting",
	[JH_LEADER_CONFIRMING] = "confirming",
};

/* ---- members ---- */

static const jh_member_t *primary_member(const _jh_leader_group_t *group)
{
	return g_hash_table_lookup(group->lead->members, group->primary.member);
}

void _jh_leader_group_set_phase(_jh_leader_group_t *group, _jh_leader_phase_t phase)
{
	jh_log(JH_LOG_INFO, "lead", "phase",
	       "group=%s from=%s to=%s epoch=%" G_GUINT64_FORMAT " took_ms=%d",
	       jh_log_value(group->name), phase_names[group->phase], phase_names[phase],
	       group->primary.epoch, (int)((jh_boot_time_us() - group->phase_us) / 1000));
	group->phase = phase;
	group->phase_us = jh_boot_time_us();
}

static void group_pause(_jh_leader_group_t *group)
{
	group->pause_us = jh_boot_time_us() + JH_LEADER_RETRY_US;
}

/* ---- writing a group's row ---- */

uint64_t _jh_leader_group_tag(const _jh_leader_group_t *group)
{
	return g_str_hash(group->name);
}

/* Write the row under the condition that nobody else wrote it or took the lead. */
static void group_write(_jh_leader_group_t *group, const jh_primary_t *next_row,
			_jh_leader_phase_t next)
{
	_jh_leader_t *lead = group->lead;
	GPtrArray *writes = jh_store_writes_new();
	char *row = jh_primary_row(group->name);
	char *text = jh_primary_format(next_row);

	group->pending = *next_row;
	group->next = next;
	_jh_leader_group_set_phase(group, JH_LEADER_WRITING);
	jh_store_write_add(writes, JH_STORE_PUT, row, group->primary.epoch, text);
	jh_store_write_add(writes, JH_STORE_EXPECT, JH_LEADER_ROW, lead->version, NULL);
	jh_platform_commit(lead->task, jh_mirror_table_name(JH_MIRROR_FLEET), writes,
			   _jh_leader_group_tag(group));
	g_free(text);
	g_free(row);
}

void _jh_leader_group_handle_write(_jh_leader_group_t *group, const jh_platform_reply_t *reply)
{
	if (group->phase != JH_LEADER_WRITING)
		return;
	if (reply->status != JH_PLATFORM_OK) {
		/* Whether it took effect shows in the mirror; the row as it is then decides. */
		jh_log(JH_LOG_WARNING, "lead", "row_not_written", "group=%s status=%d",
		       jh_log_value(group->name), reply->status);
		group_pause(group);
		_jh_leader_group_set_phase(group, group->primary.is_changing ? JH_LEADER_FENCING :
									       JH_LEADER_IDLE);
		return;
	}
	group->primary = group->pending;
	group->primary.epoch = reply->version;
	if (group->next == JH_LEADER_FENCING)
		group->majority_us = 0;
	if (group->next == JH_LEADER_IDLE) {
		jh_counter_add(&changes_total, 1);
		g_hash_table_remove_all(group->reports);
	}
	group->probe_failed = false;
	group->denies_primary = false;
	_jh_leader_group_set_phase(group, group->next);
}

/* ---- questions to members ---- */

static void on_primary_answer(void *data, const char *member, const jh_member_status_t *status)
{
	_jh_leader_group_t *group = data;

	group->probed_primary = false;
	if (group->phase != JH_LEADER_IDLE || group->primary.member != member)
		return;
	group->probe_failed = status == NULL;
	group->denies_primary = status && !status->is_primary;
	jh_log(JH_LOG_INFO, "lead", "primary_asked", "group=%s member=%s answered=%d leads=%d",
	       jh_log_value(group->name), jh_log_value(member), status != NULL,
	       status && status->is_primary);
	if (status && status->is_primary)
		g_hash_table_remove(group->reports, _jh_leader_self(group->lead));
}

static void ask(_jh_leader_group_t *group, const jh_member_t *member, jh_statement_type_t type,
		_jh_inquiry_fn_t done)
{
	const _jh_inquiry_request_t request = {
		.member = member,
		.type = type,
		.term = group->primary.term + 1,
		.timeout_s = ASK_TIMEOUT_S,
		.done = done,
		.data = group,
	};

	_jh_inquiry_start(group->lead->task, group->lead->wire, &request);
}

static void on_survey_answer(void *data, const char *member, const jh_member_status_t *status)
{
	_jh_leader_group_t *group = data;

	group->polls_pending--;
	if (status)
		g_hash_table_insert(group->polled_status, (void *)member,
				    g_memdup2(status, sizeof(*status)));
	if (group->polls_pending == 0)
		_jh_leader_step_soon(group->lead);
}

static void survey_start(_jh_leader_group_t *group)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_remove_all(group->polled_status);
	g_hash_table_iter_init(&iter, group->lead->members);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const jh_member_t *member = value;

		if (member->group != group->name)
			continue;
		group->polls_pending++;
		ask(group, member, JH_STATEMENT_STATUS, on_survey_answer);
	}
}

static void on_step_down_answer(void *data, const char *member, const jh_member_status_t *status)
{
	_jh_leader_group_t *group = data;

	if (group->phase != JH_LEADER_STEPPING_DOWN)
		return;
	jh_log(JH_LOG_INFO, "lead", "stepped_down", "group=%s member=%s answered=%d",
	       jh_log_value(group->name), jh_log_value(member), status != NULL);
	group->final = status && !status->is_primary ? status->received : (jh_position_t){ 0 };
	_jh_leader_group_set_phase(group, JH_LEADER_POLLING);
	survey_start(group);
}

/* ---- phases ---- */

static unsigned count_reports(const _jh_leader_group_t *group)
{
	GHashTableIter iter;
	unsigned count = 0;
	void *name;
	void *value;

	g_hash_table_iter_init(&iter, group->reports);
	while (g_hash_table_iter_next(&iter, &name, &value)) {
		if (jh_boot_time_us() - *(int64_t *)value < JH_LEADER_REPORT_US &&
		    !g_str_equal(name, _jh_leader_self(group->lead)))
			count++;
	}
	return count;
}

static unsigned count_live_vms(const _jh_leader_t *lead)
{
	unsigned count = 0;
	unsigned i;

	for (i = 0; i < lead->vms->len; i++)
		count += ((const jh_vm_t *)g_ptr_array_index(lead->vms, i))->state != JH_VM_DEAD;
	return count;
}

static bool has_successor(const _jh_leader_group_t *group)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, group->lead->members);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const jh_member_t *member = value;

		if (member->group == group->name && member->id != group->primary.member &&
		    !member->is_draining)
			return true;
	}
	return false;
}

static bool has_new_report(const _jh_leader_group_t *group)
{
	return count_reports(group) > 0 ||
	       g_hash_table_contains(group->reports, _jh_leader_self(group->lead));
}

static void steady_step(_jh_leader_group_t *group)
{
	const jh_member_t *member = primary_member(group);
	jh_primary_health_t health = {
		.vms = count_live_vms(group->lead),
		.silent_vms = count_reports(group),
		.leader_probe_failed = group->probe_failed,
		.denies_primary = group->denies_primary,
		.is_draining = member && member->is_draining,
		.has_successor = has_successor(group),
	};
	jh_primary_t next = group->primary;
	const char *reason;

	if (member)
		group->missing_since_us = 0;
	else if (group->missing_since_us == 0)
		group->missing_since_us = jh_boot_time_us();
	health.gone_us = member ? 0 : jh_boot_time_us() - group->missing_since_us;
	if (member && has_new_report(group) && !group->probed_primary) {
		group->probed_primary = true;
		ask(group, member, JH_STATEMENT_STATUS, on_primary_answer);
	}
	reason = jh_primary_must_change(&health);
	if (!reason)
		return;
	jh_log(JH_LOG_WARNING, "lead", "change_begins",
	       "group=%s member=%s term=%" G_GUINT64_FORMAT " silent_vms=%u vms=%u reason=%s",
	       jh_log_value(group->name), jh_log_value(group->primary.member), group->primary.term,
	       health.silent_vms, health.vms, jh_log_value(reason));
	next.is_changing = true;
	next.target = NULL;
	group_write(group, &next, JH_LEADER_FENCING);
}

static bool vm_knows(const _jh_leader_t *lead, const char *vm, uint64_t version)
{
	const uint64_t *known = g_hash_table_lookup(lead->versions, vm);

	return g_str_equal(vm, _jh_leader_self(lead)) || (known && *known >= version);
}

jh_change_acks_t _jh_leader_change_acks(const _jh_leader_t *lead, uint64_t version,
					int64_t *majority_us)
{
	GPtrArray *council = g_ptr_array_new();
	jh_change_acks_t fence = { .vms = lead->vms->len };
	unsigned i;

	for (i = 0; i < lead->vms->len; i++) {
		const jh_vm_t *vm = g_ptr_array_index(lead->vms, i);

		fence.knowing += vm_knows(lead, vm->name, version);
		g_ptr_array_add(council, vm->name);
	}
	jh_voters_choose(council);
	fence.council = council->len;
	for (i = 0; i < council->len; i++)
		fence.voters_acked += vm_knows(lead, g_ptr_array_index(council, i), version);
	g_ptr_array_free(council, TRUE);
	if (fence.voters_acked < jh_quorum_size(fence.council))
		*majority_us = 0;
	else if (*majority_us == 0)
		*majority_us = jh_boot_time_us();
	fence.majority_us = *majority_us ? jh_boot_time_us() - *majority_us : 0;
	return fence;
}

static void fencing_step(_jh_leader_group_t *group)
{
	const jh_member_t *old = primary_member(group);
	jh_change_acks_t fence =
		_jh_leader_change_acks(group->lead, group->primary.epoch, &group->majority_us);

	if (!jh_primary_is_fenced(&fence))
		return;
	jh_log(JH_LOG_INFO, "lead", "fenced", "group=%s vms=%u knowing=%u",
	       jh_log_value(group->name), fence.vms, fence.knowing);
	group->final = (jh_position_t){ 0 };
	if (old) {
		_jh_leader_group_set_phase(group, JH_LEADER_STEPPING_DOWN);
		ask(group, old, JH_STATEMENT_STEP_DOWN, on_step_down_answer);
	} else {
		_jh_leader_group_set_phase(group, JH_LEADER_POLLING);
		survey_start(group);
	}
}

/* A member that leads a newer term was promoted already, by this lead or the one before. */
static const char *find_promoted(const _jh_leader_group_t *group, uint64_t *term)
{
	GHashTableIter iter;
	void *name;
	void *value;

	g_hash_table_iter_init(&iter, group->polled_status);
	while (g_hash_table_iter_next(&iter, &name, &value)) {
		const jh_member_status_t *status = value;

		if (status->is_primary && status->term > group->primary.term) {
			*term = status->term;
			return name;
		}
	}
	return NULL;
}

static void publish_primary(_jh_leader_group_t *group, const char *member, uint64_t term)
{
	const jh_primary_t next = {
		.group = group->name,
		.term = term,
		.member = member,
	};

	group_write(group, &next, JH_LEADER_IDLE);
}

static unsigned sync_replicas_of(const _jh_leader_group_t *group)
{
	const jh_fleet_group_t *info = g_hash_table_lookup(group->lead->site->groups, group->name);

	return info ? info->sync_replicas : 0;
}

/* Return: the best member of the polled_status, NULL if none can be promoted yet */
static const char *survey_best(const _jh_leader_group_t *group, jh_position_t *received)
{
	jh_successor_t options[32];
	const char *ids[32];
	unsigned count = 0;
	GHashTableIter iter;
	void *value;
	int best;

	g_hash_table_iter_init(&iter, group->lead->members);
	while (g_hash_table_iter_next(&iter, NULL, &value) && count < G_N_ELEMENTS(options)) {
		const jh_member_t *member = value;
		const jh_member_status_t *status;

		if (member->group != group->name || member->id == group->primary.member)
			continue;
		status = g_hash_table_lookup(group->polled_status, member->id);
		options[count] = (jh_successor_t){ .answered = status != NULL,
						   .is_leaving = member->is_draining };
		if (status)
			options[count].received = status->received;
		ids[count++] = member->id;
	}
	best = jh_successor_choose(options, count, sync_replicas_of(group));
	if (best < 0)
		return NULL;
	*received = options[best].received;
	return ids[best];
}

static void surveying_step(_jh_leader_group_t *group)
{
	jh_position_t received = { 0 };
	jh_primary_t next = group->primary;
	const char *promoted;
	const char *best;
	uint64_t term = 0;

	if (group->polls_pending > 0 || jh_boot_time_us() < group->lead->promotion_allowed_us)
		return;
	promoted = find_promoted(group, &term);
	if (promoted) {
		publish_primary(group, promoted, term);
		return;
	}
	best = survey_best(group, &received);
	if (!best || (jh_position_compare(received, group->final) < 0 &&
		      jh_boot_time_us() - group->phase_us < CATCH_UP_US)) {
		group->pause_us = jh_boot_time_us() + JH_LEADER_RETRY_US / 4;
		survey_start(group);
		return;
	}
	jh_log(JH_LOG_INFO, "lead", "successor",
	       "group=%s member=%s received=%" G_GUINT64_FORMAT ".%" G_GUINT64_FORMAT
	       " final=%" G_GUINT64_FORMAT ".%" G_GUINT64_FORMAT,
	       jh_log_value(group->name), jh_log_value(best), received.term, received.index,
	       group->final.term, group->final.index);
	next.target = best;
	group_write(group, &next, JH_LEADER_PROMOTING);
}

static void group_promote(_jh_leader_group_t *group)
{
	_jh_leader_t *lead = group->lead;

	/* The write of the target proved the lead's row moments ago. */
	if (jh_boot_time_us() - group->phase_us > VERIFIED_US) {
		_jh_leader_group_set_phase(group, JH_LEADER_POLLING);
		survey_start(group);
		return;
	}
	jh_counter_add(&promotes_total, 1);
	jh_log(JH_LOG_WARNING, "lead", "promote", "group=%s member=%s fence=%" G_GUINT64_FORMAT,
	       jh_log_value(group->name), jh_log_value(group->primary.target), lead->fence);
	_jh_leader_group_set_phase(group, JH_LEADER_CONFIRMING);
	jh_platform_promote(lead->task, group->name, group->primary.target, _jh_leader_self(lead),
			    lead->fence, _jh_leader_group_tag(group));
}

void _jh_leader_group_handle_promote(_jh_leader_group_t *group, const jh_platform_reply_t *reply)
{
	if (group->phase != JH_LEADER_CONFIRMING)
		return;
	jh_log(JH_LOG_INFO, "lead", "promote_answered", "group=%s status=%d",
	       jh_log_value(group->name), reply->status);
	if (reply->status == JH_PLATFORM_OK || reply->status == JH_PLATFORM_UNKNOWN)
		return;
	group_pause(group);
	_jh_leader_group_set_phase(group, JH_LEADER_POLLING);
	survey_start(group);
}

static void on_confirm_answer(void *data, const char *member, const jh_member_status_t *status)
{
	_jh_leader_group_t *group = data;

	group->probed_primary = false;
	if (group->phase == JH_LEADER_CONFIRMING && member == group->primary.target && status &&
	    status->is_primary && status->term > group->primary.term)
		publish_primary(group, member, status->term);
}

static void confirming_step(_jh_leader_group_t *group)
{
	const jh_member_t *target =
		g_hash_table_lookup(group->lead->members, group->primary.target);

	if (!target || jh_boot_time_us() - group->phase_us > PROMOTE_US) {
		_jh_leader_group_set_phase(group, JH_LEADER_POLLING);
		survey_start(group);
		return;
	}
	if (group->probed_primary)
		return;
	group->probed_primary = true;
	ask(group, target, JH_STATEMENT_STATUS, on_confirm_answer);
}

/* ---- groups that no row names a primary for ---- */

static void first_step(_jh_leader_group_t *group)
{
	const jh_member_t *found = NULL;
	const jh_member_status_t *status;
	GHashTableIter iter;
	unsigned claims = 0;
	void *value;

	if (group->polls_pending > 0)
		return;
	g_hash_table_iter_init(&iter, group->lead->members);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const jh_member_t *member = value;

		if (member->group != group->name || !member->claims_primary)
			continue;
		found = member;
		claims++;
	}
	if (claims == 0)
		return;
	status = g_hash_table_lookup(group->polled_status, found->id);
	if (claims == 1 && status && status->is_primary) {
		publish_primary(group, found->id, status->term);
		return;
	}
	group->pause_us = jh_boot_time_us() + JH_LEADER_RETRY_US / 2;
	survey_start(group);
}

void _jh_leader_group_step(_jh_leader_group_t *group)
{
	if (jh_boot_time_us() < group->pause_us)
		return;
	if (group->phase == JH_LEADER_WRITING)
		return;
	if (group->primary.epoch == 0) {
		first_step(group);
		return;
	}
	switch (group->phase) {
	case JH_LEADER_IDLE:
		if (group->primary.is_changing) {
			group->majority_us = 0;
			_jh_leader_group_set_phase(group, JH_LEADER_FENCING);
		} else {
			steady_step(group);
		}
		break;
	case JH_LEADER_FENCING:
		fencing_step(group);
		break;
	case JH_LEADER_POLLING:
		surveying_step(group);
		break;
	case JH_LEADER_PROMOTING:
		group_promote(group);
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
	g_free(group);
}

_jh_leader_group_t *_jh_leader_group_get(_jh_leader_t *lead, const char *name)
{
	_jh_leader_group_t *group = g_hash_table_lookup(lead->groups, name);

	if (group)
		return group;
	group = g_new0(_jh_leader_group_t, 1);
	group->lead = lead;
	group->name = g_intern_string(name);
	group->primary.group = group->name;
	group->phase_us = jh_boot_time_us();
	group->reports = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	group->polled_status = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	g_hash_table_insert(lead->groups, (void *)group->name, group);
	return group;
}

bool _jh_leader_is_fencing(const _jh_leader_t *lead)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, lead->groups);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (((const _jh_leader_group_t *)value)->phase == JH_LEADER_FENCING)
			return true;
	}
	return false;
}
