#include "internal/lead.h"

#include "jh_counter.h"
#include "jh_frame.h"
#include "jh_lead_claim.h"
#include "jh_log.h"
#include "jh_mirror.h"
#include "jh_placement.h"
#include "jh_platform.h"
#include "jh_primary_change.h"
#include "jh_profile.h"

#include <jansson.h>
#include <string.h>

/*
 * The lead: one VM that replaces primaries. It holds the row "lead" of the fleet's table, whose
 * fence grows with each holder. docs/internals/platform.md has the reasons of each step.
 *
 * A change: the group's row says "changing" (under the condition that this VM still leads); every
 * VM knows, or a majority does and the rest's authority has run out; the old primary steps down
 * if it can be reached; the members are asked how long their logs are; the lead's row is checked
 * once more; promote; the new primary says that it leads; the group's row names it.
 */

#define TICK_S 0.1
#define LEAD_ROW "lead"

/* Questions to a member that answers take milliseconds. */
#define ASK_TIMEOUT_S 0.4

/* Reports that a primary is silent count for this long, microseconds. */
#define REPORT_US (1500 * INT64_C(1000))

/* Time between two reports of the same matter to the lead. */
#define REPORT_PAUSE_US (150 * INT64_C(1000))

/* The lead's row was read this short a time before a promotion is sent, microseconds. */
#define VERIFIED_US (400 * INT64_C(1000))

/* A new holder waits until its predecessor can't send a promotion any more. */
#define SETTLE_US (1000 * INT64_C(1000))

/* A change that was planned waits this long for a replica to hold the whole log. */
#define CATCH_UP_US (1500 * INT64_C(1000))

/* A promotion takes some hundred milliseconds; after this it is asked for again. */
#define PROMOTE_US (4000 * INT64_C(1000))

/* Pause before a step that failed is tried again. */
#define STEP_PAUSE_US (200 * INT64_C(1000))

/* Keeps the VMs from claiming the lead of a holder that does not get on all at once. */
#define STUCK_JITTER_US (600 * 1000)

JH_COUNTER(changes_total, "jasminehill_primary_changes_total", "changes of primary completed");
JH_COUNTER(promotes_total, "jasminehill_promotions_total", "promotions asked of the platform");
JH_COUNTER(is_lead_count, "jasminehill_lead_count", "1 while this VM is the lead");

typedef enum phase {
	PHASE_STEADY,
	/** @PHASE_WRITING: the row is being written; @next follows */
	PHASE_WRITING,
	PHASE_FENCING,
	PHASE_STEPPING_DOWN,
	PHASE_SURVEYING,
	PHASE_VERIFYING,
	PHASE_PROMOTING,
	PHASE_CONFIRMING,
} phase_t;

static const char *const phase_names[] = {
	[PHASE_STEADY] = "steady",	 [PHASE_WRITING] = "writing",
	[PHASE_FENCING] = "fencing",	 [PHASE_STEPPING_DOWN] = "stepping_down",
	[PHASE_SURVEYING] = "surveying", [PHASE_VERIFYING] = "verifying",
	[PHASE_PROMOTING] = "promoting", [PHASE_CONFIRMING] = "confirming",
};

typedef struct group {
	struct lead *lead;
	const char *name;
	jh_primary_t primary;
	phase_t phase;
	phase_t next;
	jh_primary_t pending;
	int64_t phase_us;
	/* Do nothing before this time. */
	int64_t pause_us;
	/* Since when a majority is known to know of the change, 0 until then. */
	int64_t majority_us;
	/* VM name to int64_t: when it last reported the primary silent. */
	GHashTable *reports;
	bool asked_primary;
	bool finds_silent;
	bool has_stepped_back;
	int64_t gone_since_us;
	/* Where the old primary's log ended when it stepped down. */
	jh_position_t final;
	/* Member id to jh_member_status_t of the survey. */
	GHashTable *survey;
	unsigned survey_open;
	GPtrArray *inquiries;
} group_t;

typedef struct lead {
	jh_task_t *task;
	const jh_wire_t *wire;
	jh_site_t *site;
	GHashTable *members;
	GHashTable *groups;
	GPtrArray *vms;
	/* VM name to uint64_t: version of the fleet's table that it was heard to know. */
	GHashTable *versions;
	/* VM name to int64_t: since when it has been dead. */
	GHashTable *dead_since;
	/* The lead's row. */
	char *holder;
	uint64_t holder_boot;
	uint64_t fence;
	uint64_t version;
	int64_t settled_us;
	bool is_claiming;
	int64_t claim_pause_us;
	bool is_complete;
	bool is_draining;
	int64_t reported_us;
	int64_t not_listed_since_us;
	/* When a row last changed while a group needed the lead; 0 while none does. */
	int64_t moved_us;
	ev_timer tick;
} lead_t;

static int64_t now_us(void)
{
	return jh_boot_time_us();
}

static const char *self(const lead_t *lead)
{
	return jh_kernel_settings(jh_task_kernel(lead->task))->vm;
}

static bool is_holder(const lead_t *lead)
{
	return lead->holder && g_str_equal(lead->holder, self(lead)) &&
	       lead->holder_boot == jh_kernel_boot(jh_task_kernel(lead->task));
}

/* ---- the lead's row ---- */

/* Tags of calls: the lead's own row, then one a group. */
#define CLAIM_TAG UINT64_MAX

static char *lead_row_text(const lead_t *lead, uint64_t fence)
{
	json_t *object = json_pack("{s:s, s:I, s:I}", "vm", self(lead), "boot",
				   (json_int_t)jh_kernel_boot(jh_task_kernel(lead->task)), "fence",
				   (json_int_t)fence);
	char *json = json_dumps(object, JSON_COMPACT);
	char *text = g_strdup(json);

	free(json);
	json_decref(object);
	return text;
}

static void lead_note_progress(lead_t *lead)
{
	lead->moved_us = now_us() + (int64_t)g_random_int_range(0, STUCK_JITTER_US);
}

static void take_lead_row(lead_t *lead, const jh_row_msg_t *row)
{
	gsize size = 0;
	const char *text = row->body ? g_bytes_get_data(row->body, &size) : NULL;
	json_t *object = text ? json_loadb(text, size, 0, NULL) : NULL;
	bool was_holder = is_holder(lead);

	g_free(lead->holder);
	lead->holder = g_strdup(json_string_value(json_object_get(object, "vm")));
	lead->holder_boot = (uint64_t)json_integer_value(json_object_get(object, "boot"));
	lead->fence = (uint64_t)json_integer_value(json_object_get(object, "fence"));
	lead->version = row->version;
	json_decref(object);
	jh_log(JH_LOG_INFO, "lead", "lead",
	       "holder=%s fence=%" G_GUINT64_FORMAT " row=%" G_GUINT64_FORMAT,
	       jh_log_value(lead->holder), lead->fence, lead->version);
	if (is_holder(lead) != was_holder)
		jh_counter_set(&is_lead_count, is_holder(lead));
	lead_note_progress(lead);
	if (is_holder(lead) && !was_holder)
		lead->settled_us = now_us() + SETTLE_US;
}

/* The first holder of all has no predecessor to wait for. */
static void lead_claim(lead_t *lead)
{
	GPtrArray *writes = jh_store_writes_new();
	char *text = lead_row_text(lead, lead->fence + 1);

	jh_store_write_add(writes, JH_STORE_PUT, LEAD_ROW, lead->version, text);
	jh_platform_commit(lead->task, jh_mirror_table_name(JH_MIRROR_FLEET), writes, CLAIM_TAG);
	lead->is_claiming = true;
	g_free(text);
}

/* Some group needs the lead: its primary is silent to this VM, leaving, or being replaced. */
static bool has_work(const lead_t *lead)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, lead->groups);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const group_t *group = value;
		const int64_t *silent = g_hash_table_lookup(group->reports, self(lead));
		const jh_member_t *member;

		if (group->primary.epoch == 0)
			continue;
		member = g_hash_table_lookup(lead->members, group->primary.member);
		if (group->primary.is_changing || (member && member->is_draining) ||
		    (silent && now_us() - *silent < REPORT_US / 3))
			return true;
	}
	return false;
}

static jh_lead_holder_t holder_state(const lead_t *lead)
{
	const jh_vm_t *vm;

	if (!lead->holder)
		return JH_LEAD_NOBODY;
	if (g_str_equal(lead->holder, self(lead)))
		return JH_LEAD_SELF_BEFORE;
	vm = jh_vm_find(lead->vms, lead->holder);
	if (!vm)
		return JH_LEAD_NOT_LISTED;
	return vm->state == JH_VM_LIVE || vm->state == JH_VM_SUSPECT ? JH_LEAD_LIVE : JH_LEAD_GONE;
}

static void lead_consider(lead_t *lead)
{
	const jh_vm_t *first = jh_placement_choose(lead->vms, LEAD_ROW, NULL);
	jh_lead_view_t view = { .holder = holder_state(lead), .has_work = has_work(lead) };
	const char *reason;

	if (lead->is_claiming || is_holder(lead) || now_us() < lead->claim_pause_us)
		return;
	if (view.holder != JH_LEAD_NOT_LISTED)
		lead->not_listed_since_us = 0;
	else if (lead->not_listed_since_us == 0)
		lead->not_listed_since_us = now_us();
	if (!view.has_work)
		lead->moved_us = 0;
	else if (lead->moved_us == 0)
		lead_note_progress(lead);
	view.is_first = first && g_str_equal(first->name, self(lead));
	view.not_listed_us = now_us() - lead->not_listed_since_us;
	view.unmoved_us = now_us() - lead->moved_us;
	reason = jh_lead_must_claim(&view);
	if (!reason)
		return;
	jh_log(JH_LOG_INFO, "lead", "claim", "holder=%s fence=%" G_GUINT64_FORMAT " reason=%s",
	       jh_log_value(lead->holder), lead->fence, jh_log_value(reason));
	lead_note_progress(lead);
	lead_claim(lead);
}

/* ---- members ---- */

static const jh_member_t *primary_member(const group_t *group)
{
	return g_hash_table_lookup(group->lead->members, group->primary.member);
}

static void group_set_phase(group_t *group, phase_t phase)
{
	jh_log(JH_LOG_INFO, "lead", "phase",
	       "group=%s from=%s to=%s epoch=%" G_GUINT64_FORMAT " took_ms=%d",
	       jh_log_value(group->name), phase_names[group->phase], phase_names[phase],
	       group->primary.epoch, (int)((now_us() - group->phase_us) / 1000));
	group->phase = phase;
	group->phase_us = now_us();
}

static void group_pause(group_t *group)
{
	group->pause_us = now_us() + STEP_PAUSE_US;
}

/* ---- writing a group's row ---- */

static uint64_t group_tag(const group_t *group)
{
	return g_str_hash(group->name);
}

/* Write the row under the condition that nobody else wrote it or took the lead. */
static void group_write(group_t *group, const jh_primary_t *next_row, phase_t next)
{
	lead_t *lead = group->lead;
	GPtrArray *writes = jh_store_writes_new();
	char *row = jh_primary_row(group->name);
	char *text = jh_primary_format(next_row);

	group->pending = *next_row;
	group->next = next;
	group_set_phase(group, PHASE_WRITING);
	jh_store_write_add(writes, JH_STORE_PUT, row, group->primary.epoch, text);
	jh_store_write_add(writes, JH_STORE_EXPECT, LEAD_ROW, lead->version, NULL);
	jh_platform_commit(lead->task, jh_mirror_table_name(JH_MIRROR_FLEET), writes,
			   group_tag(group));
	g_free(text);
	g_free(row);
}

static void group_take_write(group_t *group, const jh_platform_reply_t *reply)
{
	if (group->phase != PHASE_WRITING)
		return;
	if (reply->status != JH_PLATFORM_OK) {
		/* Whether it took effect shows in the mirror; the row as it is then decides. */
		jh_log(JH_LOG_WARNING, "lead", "row_not_written", "group=%s status=%d",
		       jh_log_value(group->name), reply->status);
		group_pause(group);
		group_set_phase(group, group->primary.is_changing ? PHASE_FENCING : PHASE_STEADY);
		return;
	}
	group->primary = group->pending;
	group->primary.epoch = reply->version;
	if (group->next == PHASE_FENCING)
		group->majority_us = 0;
	if (group->next == PHASE_STEADY) {
		jh_counter_add(&changes_total, 1);
		g_hash_table_remove_all(group->reports);
	}
	group->finds_silent = false;
	group->has_stepped_back = false;
	group_set_phase(group, group->next);
}

/* Something that a step waits for happened: do not wait for the next tick. */
static void step_soon(const lead_t *lead)
{
	ev_feed_event(jh_task_loop(lead->task), (void *)&lead->tick, EV_TIMER);
}

/* ---- questions to members ---- */

static void on_primary_answer(void *data, const char *member, const jh_member_status_t *status)
{
	group_t *group = data;

	group->asked_primary = false;
	if (group->phase != PHASE_STEADY || group->primary.member != member)
		return;
	group->finds_silent = status == NULL;
	group->has_stepped_back = status && !status->is_primary;
	jh_log(JH_LOG_INFO, "lead", "primary_asked", "group=%s member=%s answered=%d leads=%d",
	       jh_log_value(group->name), jh_log_value(member), status != NULL,
	       status && status->is_primary);
	if (status && status->is_primary)
		g_hash_table_remove(group->reports, self(group->lead));
}

static void ask(group_t *group, const jh_member_t *member, jh_statement_type_t type,
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
	group_t *group = data;

	group->survey_open--;
	if (status)
		g_hash_table_insert(group->survey, (void *)member,
				    g_memdup2(status, sizeof(*status)));
	if (group->survey_open == 0)
		step_soon(group->lead);
}

static void survey_start(group_t *group)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_remove_all(group->survey);
	g_hash_table_iter_init(&iter, group->lead->members);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const jh_member_t *member = value;

		if (member->group != group->name)
			continue;
		group->survey_open++;
		ask(group, member, JH_STATEMENT_STATUS, on_survey_answer);
	}
}

static void on_step_down_answer(void *data, const char *member, const jh_member_status_t *status)
{
	group_t *group = data;

	if (group->phase != PHASE_STEPPING_DOWN)
		return;
	jh_log(JH_LOG_INFO, "lead", "stepped_down", "group=%s member=%s answered=%d",
	       jh_log_value(group->name), jh_log_value(member), status != NULL);
	group->final = status && !status->is_primary ? status->received : (jh_position_t){ 0 };
	group_set_phase(group, PHASE_SURVEYING);
	survey_start(group);
}

/* ---- phases ---- */

static unsigned count_reports(const group_t *group)
{
	GHashTableIter iter;
	unsigned count = 0;
	void *name;
	void *value;

	g_hash_table_iter_init(&iter, group->reports);
	while (g_hash_table_iter_next(&iter, &name, &value)) {
		if (now_us() - *(int64_t *)value < REPORT_US &&
		    !g_str_equal(name, self(group->lead)))
			count++;
	}
	return count;
}

static unsigned count_live_vms(const lead_t *lead)
{
	unsigned count = 0;
	unsigned i;

	for (i = 0; i < lead->vms->len; i++)
		count += ((const jh_vm_t *)g_ptr_array_index(lead->vms, i))->state != JH_VM_DEAD;
	return count;
}

static bool has_successor(const group_t *group)
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

static bool has_new_report(const group_t *group)
{
	return count_reports(group) > 0 || g_hash_table_contains(group->reports, self(group->lead));
}

static void steady_step(group_t *group)
{
	const jh_member_t *member = primary_member(group);
	jh_primary_health_t health = {
		.vms = count_live_vms(group->lead),
		.silent_vms = count_reports(group),
		.lead_finds_silent = group->finds_silent,
		.has_stepped_back = group->has_stepped_back,
		.is_draining = member && member->is_draining,
		.has_successor = has_successor(group),
	};
	jh_primary_t next = group->primary;
	const char *reason;

	if (member)
		group->gone_since_us = 0;
	else if (group->gone_since_us == 0)
		group->gone_since_us = now_us();
	health.gone_us = member ? 0 : now_us() - group->gone_since_us;
	if (member && has_new_report(group) && !group->asked_primary) {
		group->asked_primary = true;
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
	group_write(group, &next, PHASE_FENCING);
}

static bool vm_knows(const lead_t *lead, const char *vm, uint64_t version)
{
	const uint64_t *known = g_hash_table_lookup(lead->versions, vm);

	return g_str_equal(vm, self(lead)) || (known && *known >= version);
}

static jh_fence_t fence_of(const lead_t *lead, uint64_t version)
{
	GPtrArray *council = g_ptr_array_new();
	jh_fence_t fence = { .vms = lead->vms->len };
	unsigned i;

	for (i = 0; i < lead->vms->len; i++) {
		const jh_vm_t *vm = g_ptr_array_index(lead->vms, i);

		fence.knowing += vm_knows(lead, vm->name, version);
		g_ptr_array_add(council, vm->name);
	}
	jh_council_pick(council);
	fence.council = council->len;
	for (i = 0; i < council->len; i++)
		fence.council_knowing += vm_knows(lead, g_ptr_array_index(council, i), version);
	g_ptr_array_free(council, TRUE);
	return fence;
}

static void fencing_step(group_t *group)
{
	const jh_member_t *old = primary_member(group);
	jh_fence_t fence = fence_of(group->lead, group->primary.epoch);

	if (fence.council_knowing < jh_majority_of(fence.council))
		group->majority_us = 0;
	else if (group->majority_us == 0)
		group->majority_us = now_us();
	fence.majority_us = group->majority_us ? now_us() - group->majority_us : 0;
	if (!jh_primary_is_fenced(&fence))
		return;
	jh_log(JH_LOG_INFO, "lead", "fenced", "group=%s vms=%u knowing=%u",
	       jh_log_value(group->name), fence.vms, fence.knowing);
	group->final = (jh_position_t){ 0 };
	if (old) {
		group_set_phase(group, PHASE_STEPPING_DOWN);
		ask(group, old, JH_STATEMENT_STEP_DOWN, on_step_down_answer);
	} else {
		group_set_phase(group, PHASE_SURVEYING);
		survey_start(group);
	}
}

/* A member that leads a newer term was promoted already, by this lead or the one before. */
static const char *find_promoted(const group_t *group, uint64_t *term)
{
	GHashTableIter iter;
	void *name;
	void *value;

	g_hash_table_iter_init(&iter, group->survey);
	while (g_hash_table_iter_next(&iter, &name, &value)) {
		const jh_member_status_t *status = value;

		if (status->is_primary && status->term > group->primary.term) {
			*term = status->term;
			return name;
		}
	}
	return NULL;
}

static void publish_primary(group_t *group, const char *member, uint64_t term)
{
	const jh_primary_t next = {
		.group = group->name,
		.term = term,
		.member = member,
	};

	group_write(group, &next, PHASE_STEADY);
}

static unsigned sync_replicas_of(const group_t *group)
{
	const jh_site_group_t *info = g_hash_table_lookup(group->lead->site->groups, group->name);

	return info ? info->sync_replicas : 0;
}

/* Return: the best member of the survey, NULL if none can be promoted yet */
static const char *survey_best(const group_t *group, jh_position_t *received)
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
		status = g_hash_table_lookup(group->survey, member->id);
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

static void surveying_step(group_t *group)
{
	jh_position_t received = { 0 };
	jh_primary_t next = group->primary;
	const char *promoted;
	const char *best;
	uint64_t term = 0;

	if (group->survey_open > 0 || now_us() < group->lead->settled_us)
		return;
	promoted = find_promoted(group, &term);
	if (promoted) {
		publish_primary(group, promoted, term);
		return;
	}
	best = survey_best(group, &received);
	if (!best || (jh_position_compare(received, group->final) < 0 &&
		      now_us() - group->phase_us < CATCH_UP_US)) {
		group->pause_us = now_us() + STEP_PAUSE_US / 4;
		survey_start(group);
		return;
	}
	jh_log(JH_LOG_INFO, "lead", "successor",
	       "group=%s member=%s received=%" G_GUINT64_FORMAT ".%" G_GUINT64_FORMAT
	       " final=%" G_GUINT64_FORMAT ".%" G_GUINT64_FORMAT,
	       jh_log_value(group->name), jh_log_value(best), received.term, received.index,
	       group->final.term, group->final.index);
	next.target = best;
	group_write(group, &next, PHASE_PROMOTING);
}

static void group_promote(group_t *group)
{
	lead_t *lead = group->lead;

	/* The write of the target proved the lead's row moments ago. */
	if (now_us() - group->phase_us > VERIFIED_US) {
		group_set_phase(group, PHASE_SURVEYING);
		survey_start(group);
		return;
	}
	jh_counter_add(&promotes_total, 1);
	jh_log(JH_LOG_WARNING, "lead", "promote", "group=%s member=%s fence=%" G_GUINT64_FORMAT,
	       jh_log_value(group->name), jh_log_value(group->primary.target), lead->fence);
	group_set_phase(group, PHASE_CONFIRMING);
	jh_platform_promote(lead->task, group->name, group->primary.target, self(lead), lead->fence,
			    group_tag(group));
}

static void group_take_promote(group_t *group, const jh_platform_reply_t *reply)
{
	if (group->phase != PHASE_CONFIRMING)
		return;
	jh_log(JH_LOG_INFO, "lead", "promote_answered", "group=%s status=%d",
	       jh_log_value(group->name), reply->status);
	if (reply->status == JH_PLATFORM_OK || reply->status == JH_PLATFORM_UNKNOWN)
		return;
	group_pause(group);
	group_set_phase(group, PHASE_SURVEYING);
	survey_start(group);
}

static void on_confirm_answer(void *data, const char *member, const jh_member_status_t *status)
{
	group_t *group = data;

	group->asked_primary = false;
	if (group->phase == PHASE_CONFIRMING && member == group->primary.target && status &&
	    status->is_primary && status->term > group->primary.term)
		publish_primary(group, member, status->term);
}

static void confirming_step(group_t *group)
{
	const jh_member_t *target =
		g_hash_table_lookup(group->lead->members, group->primary.target);

	if (!target || now_us() - group->phase_us > PROMOTE_US) {
		group_set_phase(group, PHASE_SURVEYING);
		survey_start(group);
		return;
	}
	if (group->asked_primary)
		return;
	group->asked_primary = true;
	ask(group, target, JH_STATEMENT_STATUS, on_confirm_answer);
}

/* ---- groups that no row names a primary for ---- */

static void first_step(group_t *group)
{
	const jh_member_t *found = NULL;
	const jh_member_status_t *status;
	GHashTableIter iter;
	unsigned claims = 0;
	void *value;

	if (group->survey_open > 0)
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
	status = g_hash_table_lookup(group->survey, found->id);
	if (claims == 1 && status && status->is_primary) {
		publish_primary(group, found->id, status->term);
		return;
	}
	group->pause_us = now_us() + STEP_PAUSE_US / 2;
	survey_start(group);
}

static void group_step(group_t *group)
{
	if (now_us() < group->pause_us)
		return;
	if (group->phase == PHASE_WRITING)
		return;
	if (group->primary.epoch == 0) {
		first_step(group);
		return;
	}
	switch (group->phase) {
	case PHASE_STEADY:
		if (group->primary.is_changing) {
			group->majority_us = 0;
			group_set_phase(group, PHASE_FENCING);
		} else {
			steady_step(group);
		}
		break;
	case PHASE_FENCING:
		fencing_step(group);
		break;
	case PHASE_SURVEYING:
		surveying_step(group);
		break;
	case PHASE_PROMOTING:
		group_promote(group);
		break;
	case PHASE_CONFIRMING:
		confirming_step(group);
		break;
	case PHASE_STEPPING_DOWN:
	case PHASE_VERIFYING:
	case PHASE_WRITING:
		break;
	}
}

static void group_free(void *data)
{
	group_t *group = data;

	g_hash_table_destroy(group->reports);
	g_hash_table_destroy(group->survey);
	g_free(group);
}

static group_t *group_get(lead_t *lead, const char *name)
{
	group_t *group = g_hash_table_lookup(lead->groups, name);

	if (group)
		return group;
	group = g_new0(group_t, 1);
	group->lead = lead;
	group->name = g_intern_string(name);
	group->primary.group = group->name;
	group->phase_us = now_us();
	group->reports = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	group->survey = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	g_hash_table_insert(lead->groups, (void *)group->name, group);
	return group;
}

/* ---- VMs that are gone ---- */

/* Every VM keeps count, so that a new lead does not begin anew. */
static void vms_watch(lead_t *lead)
{
	unsigned i;

	for (i = 0; i < lead->vms->len; i++) {
		const jh_vm_t *vm = g_ptr_array_index(lead->vms, i);
		int64_t now = now_us();

		if (vm->state != JH_VM_DEAD)
			g_hash_table_remove(lead->dead_since, vm->name);
		else if (!g_hash_table_contains(lead->dead_since, vm->name))
			g_hash_table_insert(lead->dead_since, g_strdup(vm->name),
					    g_memdup2(&now, sizeof(now)));
	}
}

static void vm_forget(lead_t *lead, const char *name)
{
	GPtrArray *writes = jh_store_writes_new();
	char *row = g_strdup_printf("vm/%s", name);

	jh_log(JH_LOG_INFO, "lead", "vm_forgotten", "of=%s", jh_log_value(name));
	jh_store_write_add(writes, JH_STORE_DROP, row, JH_STORE_ANY_VERSION, NULL);
	jh_platform_commit(lead->task, jh_mirror_table_name(JH_MIRROR_FLEET), writes, CLAIM_TAG);
	g_free(row);
}

static void vms_consider(lead_t *lead)
{
	unsigned i;

	for (i = 0; i < lead->vms->len; i++) {
		const jh_vm_t *vm = g_ptr_array_index(lead->vms, i);
		const int64_t *since = g_hash_table_lookup(lead->dead_since, vm->name);

		if (since && now_us() - *since > JH_VM_FORGET_US) {
			g_hash_table_remove(lead->dead_since, vm->name);
			vm_forget(lead, vm->name);
		}
	}
}

/* ---- messages ---- */

static void on_tick(struct ev_loop *loop, ev_timer *timer, int events)
{
	lead_t *lead = timer->data;
	GHashTableIter iter;
	void *name;

	(void)loop;
	(void)events;
	if (!lead->is_complete || !lead->site || !lead->vms || lead->is_draining)
		return;
	vms_watch(lead);
	lead_consider(lead);
	if (!is_holder(lead))
		return;
	vms_consider(lead);
	g_hash_table_iter_init(&iter, lead->site->groups);
	while (g_hash_table_iter_next(&iter, &name, NULL))
		group_step(group_get(lead, name));
}

static void take_primary(lead_t *lead, const jh_primary_t *primary)
{
	group_t *group = group_get(lead, primary->group);

	if (primary->epoch > group->primary.epoch)
		lead_note_progress(lead);
	if (primary->epoch <= group->primary.epoch || group->phase == PHASE_WRITING)
		return;
	group->primary = *primary;
	g_hash_table_remove_all(group->reports);
	group->finds_silent = false;
	group->has_stepped_back = false;
	if (group->phase != PHASE_STEADY)
		group_set_phase(group, PHASE_STEADY);
}

static void take_report(lead_t *lead, const char *vm, const char *group_name, const char *member)
{
	group_t *group = group_get(lead, group_name);
	int64_t now = now_us();

	if (group->primary.member != g_intern_string(member))
		return;
	g_hash_table_replace(group->reports, g_strdup(vm), g_memdup2(&now, sizeof(now)));
}

/* Pass what this VM's gateway found on to the lead. */
static void take_own_report(lead_t *lead, const jh_primary_report_msg_t *report)
{
	Jh__Frame *frame;

	if (!report->is_silent || !lead->holder)
		return;
	take_report(lead, self(lead), report->group, report->member);
	if (is_holder(lead))
		return;
	if (now_us() - lead->reported_us < REPORT_PAUSE_US)
		return;
	lead->reported_us = now_us();
	frame = jh_frame_new(JH__FRAME__BODY_PRIMARY_REPORT);
	frame->primary_report->group = jh_strdup(report->group);
	frame->primary_report->member = jh_strdup(report->member);
	frame->primary_report->is_silent = true;
	jh_frame_send(lead->task, lead->holder, frame);
}

static void take_member(lead_t *lead, const jh_member_msg_t *msg)
{
	jh_member_t *copy;

	if (!msg->member) {
		g_hash_table_remove(lead->members, msg->id);
		return;
	}
	copy = g_new0(jh_member_t, 1);
	*copy = *msg->member;
	copy->host = g_strdup(msg->member->host);
	g_hash_table_replace(lead->members, (void *)msg->id, copy);
}

static void take_reply(lead_t *lead, const jh_platform_reply_t *reply)
{
	GHashTableIter iter;
	void *value;

	if (reply->tag == CLAIM_TAG) {
		lead->is_claiming = false;
		if (reply->status != JH_PLATFORM_OK)
			lead->claim_pause_us = now_us() + 2 * STEP_PAUSE_US;
		return;
	}
	g_hash_table_iter_init(&iter, lead->groups);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (group_tag(value) != reply->tag)
			continue;
		if (reply->call == JH_PLATFORM_PROMOTE)
			group_take_promote(value, reply);
		else
			group_take_write(value, reply);
		step_soon(lead);
	}
}

static bool is_fencing(const lead_t *lead)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, lead->groups);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (((const group_t *)value)->phase == PHASE_FENCING)
			return true;
	}
	return false;
}

static void take_version(lead_t *lead, const jh_vm_version_msg_t *msg)
{
	uint64_t *known = g_hash_table_lookup(lead->versions, msg->vm);

	if (known)
		*known = msg->version;
	else
		g_hash_table_insert(lead->versions, g_strdup(msg->vm),
				    g_memdup2(&msg->version, sizeof(msg->version)));
	if (is_fencing(lead))
		step_soon(lead);
}

static void lead_on_message(jh_task_t *task, const jh_msg_t *msg)
{
	lead_t *lead = jh_task_state(task);

	if (msg->type == JH_MSG_SITE) {
		jh_site_unref(lead->site);
		lead->site = jh_site_ref(((const jh_site_msg_t *)msg->body)->site);
	} else if (msg->type == JH_MSG_MEMBER) {
		take_member(lead, msg->body);
	} else if (msg->type == JH_MSG_PRIMARY) {
		take_primary(lead, &((const jh_primary_msg_t *)msg->body)->primary);
	} else if (msg->type == JH_MSG_ROW) {
		const jh_row_msg_t *row = msg->body;

		if (row->table == JH_MIRROR_FLEET && g_str_equal(row->name, LEAD_ROW))
			take_lead_row(lead, row);
	} else if (msg->type == JH_MSG_AUTHORITY) {
		lead->is_complete = ((const jh_authority_msg_t *)msg->body)->is_complete;
	} else if (msg->type == JH_MSG_VMS) {
		g_clear_pointer(&lead->vms, g_ptr_array_unref);
		lead->vms = g_ptr_array_ref(((const jh_vms_msg_t *)msg->body)->vms);
	} else if (msg->type == JH_MSG_PRIMARY_REPORT) {
		take_own_report(lead, msg->body);
	} else if (msg->type == JH_MSG_VM_VERSION) {
		take_version(lead, msg->body);
	} else if (msg->type == JH_MSG_PLATFORM_REPLY) {
		take_reply(lead, msg->body);
	} else if (msg->type == JH_MSG_FRAME_IN) {
		const jh_frame_msg_t *in = msg->body;

		take_report(lead, in->vm, in->frame->primary_report->group,
			    in->frame->primary_report->member);
	}
}

/* ---- module ---- */

static void member_free(void *member)
{
	jh_member_free(member);
}

static int lead_init(jh_task_t *task, jh_error_t *err)
{
	lead_t *lead = g_new0(lead_t, 1);

	(void)err;
	lead->task = task;
	lead->wire = jh_profile_of(jh_kernel_settings(jh_task_kernel(task)))->wire;
	lead->members = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, member_free);
	lead->groups = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, group_free);
	lead->versions = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	lead->dead_since = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	ev_timer_init(&lead->tick, on_tick, TICK_S, TICK_S);
	lead->tick.data = lead;
	ev_timer_start(jh_task_loop(task), &lead->tick);
	jh_task_set_state(task, lead);
	return 0;
}

static void lead_drain(jh_task_t *task)
{
	((lead_t *)jh_task_state(task))->is_draining = true;
}

static void lead_fini(jh_task_t *task)
{
	lead_t *lead = jh_task_state(task);

	ev_timer_stop(jh_task_loop(task), &lead->tick);
	g_hash_table_destroy(lead->groups);
	g_hash_table_destroy(lead->members);
	g_hash_table_destroy(lead->versions);
	g_hash_table_destroy(lead->dead_since);
	g_clear_pointer(&lead->vms, g_ptr_array_unref);
	jh_site_unref(lead->site);
	g_free(lead->holder);
	g_free(lead);
}

const jh_module_t jh_lead_module = {
	.name = "lead",
	.doc = "replaces primaries, on the one VM that holds the lead",
	.subscriptions = { JH_MSG_SITE, JH_MSG_MEMBER, JH_MSG_PRIMARY, JH_MSG_ROW, JH_MSG_AUTHORITY,
			   JH_MSG_VMS, JH_MSG_PRIMARY_REPORT, JH_MSG_VM_VERSION, JH_MSG_TYPES },
	.frames = { JH__FRAME__BODY_PRIMARY_REPORT, 0 },
	.init = lead_init,
	.on_message = lead_on_message,
	.drain = lead_drain,
	.fini = lead_fini,
};
