#include "internal/lead.h"

#include "jh_counter.h"
#include "jh_frame.h"
#include "jh_lead_claim.h"
#include "jh_log.h"
#include "jh_mirror.h"
#include "jh_placement.h"
#include "jh_primary_change.h"
#include "jh_profile.h"
#include "jh_vm_list.h"

#include <jansson.h>
#include <string.h>

/*
 * The lead: one VM that replaces primaries. It holds the row "lead" of the fleet's table, whose
 * fence grows with each holder. docs/internals/platform.md has the reasons of each step.
 */

#define TICK_S 0.1

/* Time between two reports of the same matter to the lead. */
#define REPORT_PAUSE_US (150 * INT64_C(1000))

/* A new holder waits until its predecessor can't send a promotion any more. */
#define SETTLE_US (1000 * INT64_C(1000))

/* Keeps the VMs from claiming the lead of a holder that does not get on all at once. */
#define STUCK_JITTER_US (600 * 1000)

JH_COUNTER(is_lead_count, "jasminehill_lead_count", "1 while this VM is the lead");

const char *_jh_leader_self(const _jh_leader_t *lead)
{
	return jh_kernel_settings(jh_task_kernel(lead->task))->vm;
}

bool _jh_leader_is_self(const _jh_leader_t *lead)
{
	return lead->holder && g_str_equal(lead->holder, _jh_leader_self(lead)) &&
	       lead->holder_boot == jh_kernel_boot(jh_task_kernel(lead->task));
}

/* Something that a step waits for happened: do not wait for the next tick. */
void _jh_leader_step_soon(const _jh_leader_t *lead)
{
	ev_feed_event(jh_task_loop(lead->task), (void *)&lead->tick, EV_TIMER);
}

/* ---- the lead's row ---- */

/* Tags of calls: the lead's own row, the list of VMs, and one a group. */
#define CLAIM_TAG UINT64_MAX
#define FORGET_TAG (UINT64_MAX - 1)

static char *lead_row_text(const _jh_leader_t *lead, uint64_t fence)
{
	json_t *object = json_pack("{s:s, s:I, s:I}", "vm", _jh_leader_self(lead), "boot",
				   (json_int_t)jh_kernel_boot(jh_task_kernel(lead->task)), "fence",
				   (json_int_t)fence);
	char *json = json_dumps(object, JSON_COMPACT);
	char *text = g_strdup(json);

	free(json);
	json_decref(object);
	return text;
}

static void lead_note_progress(_jh_leader_t *lead)
{
	lead->last_progress_us =
		jh_boot_time_us() + (int64_t)g_random_int_range(0, STUCK_JITTER_US);
}

static void take_lead_row(_jh_leader_t *lead, const jh_row_msg_t *row)
{
	gsize size = 0;
	const char *text = row->body ? g_bytes_get_data(row->body, &size) : NULL;
	json_t *object = text ? json_loadb(text, size, 0, NULL) : NULL;
	bool was_holder = _jh_leader_is_self(lead);

	g_free(lead->holder);
	lead->holder = g_strdup(json_string_value(json_object_get(object, "vm")));
	lead->holder_boot = (uint64_t)json_integer_value(json_object_get(object, "boot"));
	lead->fence = (uint64_t)json_integer_value(json_object_get(object, "fence"));
	lead->version = row->version;
	json_decref(object);
	jh_log(JH_LOG_INFO, "lead", "lead",
	       "holder=%s fence=%" G_GUINT64_FORMAT " row=%" G_GUINT64_FORMAT,
	       jh_log_value(lead->holder), lead->fence, lead->version);
	if (_jh_leader_is_self(lead) != was_holder)
		jh_counter_set(&is_lead_count, _jh_leader_is_self(lead));
	lead_note_progress(lead);
	if (_jh_leader_is_self(lead) && !was_holder)
		lead->promotion_allowed_us = jh_boot_time_us() + SETTLE_US;
}

/* The first holder of all has no predecessor to wait for. */
static void lead_claim(_jh_leader_t *lead)
{
	GPtrArray *writes = jh_store_writes_new();
	char *text = lead_row_text(lead, lead->fence + 1);

	jh_store_write_add(writes, JH_STORE_PUT, JH_LEADER_ROW, lead->version, text);
	jh_platform_commit(lead->task, jh_mirror_table_name(JH_MIRROR_FLEET), writes, CLAIM_TAG);
	lead->is_claiming = true;
	g_free(text);
}

/* Some group needs the lead: its primary is silent to this VM, leaving, or being replaced. */
static bool has_work(const _jh_leader_t *lead)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, lead->groups);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const _jh_leader_group_t *group = value;
		const int64_t *silent = g_hash_table_lookup(group->reports, _jh_leader_self(lead));
		const jh_member_t *member;

		if (group->primary.epoch == 0)
			continue;
		member = g_hash_table_lookup(lead->members, group->primary.member);
		if (group->primary.is_changing || (member && member->is_draining) ||
		    (silent && jh_boot_time_us() - *silent < JH_LEADER_REPORT_US / 3))
			return true;
	}
	return false;
}

static jh_leader_status_t holder_state(const _jh_leader_t *lead)
{
	const jh_vm_t *vm;

	if (!lead->holder)
		return JH_LEADER_NONE;
	if (g_str_equal(lead->holder, _jh_leader_self(lead)))
		return JH_LEADER_EARLIER_SELF;
	vm = jh_vm_find(lead->vms, lead->holder);
	if (!vm)
		return JH_LEADER_NOT_LISTED;
	return vm->state == JH_VM_LIVE || vm->state == JH_VM_SUSPECT ? JH_LEADER_LIVE :
								       JH_LEADER_DOWN;
}

static void lead_consider(_jh_leader_t *lead)
{
	const jh_vm_t *first = jh_placement_choose(lead->vms, JH_LEADER_ROW, NULL);
	jh_leader_view_t view = { .holder = holder_state(lead), .has_work = has_work(lead) };
	const char *reason;

	if (lead->is_claiming || _jh_leader_is_self(lead) ||
	    jh_boot_time_us() < lead->claim_pause_us)
		return;
	if (view.holder != JH_LEADER_NOT_LISTED)
		lead->not_listed_since_us = 0;
	else if (lead->not_listed_since_us == 0)
		lead->not_listed_since_us = jh_boot_time_us();
	if (!view.has_work)
		lead->last_progress_us = 0;
	else if (lead->last_progress_us == 0)
		lead_note_progress(lead);
	view.is_first = first && g_str_equal(first->name, _jh_leader_self(lead));
	view.not_listed_us = jh_boot_time_us() - lead->not_listed_since_us;
	view.no_progress_us = jh_boot_time_us() - lead->last_progress_us;
	reason = jh_leader_must_claim(&view);
	if (!reason)
		return;
	jh_log(JH_LOG_INFO, "lead", "claim", "holder=%s fence=%" G_GUINT64_FORMAT " reason=%s",
	       jh_log_value(lead->holder), lead->fence, jh_log_value(reason));
	lead_note_progress(lead);
	lead_claim(lead);
}

/* ---- VMs that are gone ---- */

/* Every VM keeps count, so that a new lead does not begin anew. */
static void vms_watch(_jh_leader_t *lead)
{
	unsigned i;

	for (i = 0; i < lead->vms->len; i++) {
		const jh_vm_t *vm = g_ptr_array_index(lead->vms, i);
		int64_t now = jh_boot_time_us();

		if (vm->state != JH_VM_DEAD)
			g_hash_table_remove(lead->dead_since, vm->name);
		else if (!g_hash_table_contains(lead->dead_since, vm->name))
			g_hash_table_insert(lead->dead_since, g_strdup(vm->name),
					    g_memdup2(&now, sizeof(now)));
	}
}

/* The VMs know of the newest list, so that the next change may follow. */
static bool list_is_settled(_jh_leader_t *lead)
{
	jh_change_acks_t fence;

	if (lead->list_version == 0)
		return !lead->is_removing_vms;
	fence = _jh_leader_change_acks(lead, lead->list_version, &lead->list_majority_us);
	if (!jh_primary_is_fenced(&fence))
		return false;
	lead->list_version = 0;
	return true;
}

static void vms_forget(_jh_leader_t *lead, const GPtrArray *names)
{
	GPtrArray *writes = jh_store_writes_new();
	unsigned i;

	jh_store_write_add(writes, JH_STORE_EXPECT, JH_LEADER_ROW, lead->version, NULL);
	for (i = 0; i < names->len; i++) {
		const char *name = g_ptr_array_index(names, i);
		char *row = g_strdup_printf("vm/%s", name);

		jh_log(JH_LOG_INFO, "lead", "vm_forgotten", "of=%s", jh_log_value(name));
		jh_store_write_add(writes, JH_STORE_DROP, row, JH_STORE_ANY_VERSION, NULL);
		g_hash_table_remove(lead->dead_since, name);
		g_free(row);
	}
	lead->is_removing_vms = true;
	jh_platform_commit(lead->task, jh_mirror_table_name(JH_MIRROR_FLEET), writes, FORGET_TAG);
}

static void take_forgotten(_jh_leader_t *lead, const jh_platform_reply_t *reply)
{
	lead->is_removing_vms = false;
	if (reply->status != JH_PLATFORM_OK)
		return;
	lead->list_version = reply->version;
	lead->list_majority_us = 0;
}

static void vms_consider(_jh_leader_t *lead)
{
	int64_t now_us = jh_boot_time_us();
	jh_listed_vm_t *listed = g_new0(jh_listed_vm_t, lead->vms->len);
	jh_vm_list_view_t view = {
		.vms = listed,
		.count = lead->vms->len,
		.now_us = now_us,
		.lease_since_us = lead->lease_since_us,
		.has_lease = lead->lease_until_us > now_us,
		.is_settled = list_is_settled(lead),
	};
	GPtrArray *gone;
	unsigned i;

	for (i = 0; i < lead->vms->len; i++) {
		const jh_vm_t *vm = g_ptr_array_index(lead->vms, i);
		const int64_t *since = g_hash_table_lookup(lead->dead_since, vm->name);

		listed[i] = (jh_listed_vm_t){ vm->name, since ? *since : 0 };
	}
	gone = jh_vm_list_choose_removals(&view);
	if (gone->len > 0)
		vms_forget(lead, gone);
	g_ptr_array_free(gone, TRUE);
	g_free(listed);
}

/* ---- messages ---- */

static void on_tick(struct ev_loop *loop, ev_timer *timer, int events)
{
	_jh_leader_t *lead = timer->data;
	GHashTableIter iter;
	void *name;

	(void)loop;
	(void)events;
	if (!lead->is_complete || !lead->site || !lead->vms || lead->is_draining)
		return;
	vms_watch(lead);
	lead_consider(lead);
	if (!_jh_leader_is_self(lead))
		return;
	vms_consider(lead);
	g_hash_table_iter_init(&iter, lead->site->groups);
	while (g_hash_table_iter_next(&iter, &name, NULL))
		_jh_leader_group_step(_jh_leader_group_get(lead, name));
}

static void take_primary(_jh_leader_t *lead, const jh_primary_t *primary)
{
	_jh_leader_group_t *group = _jh_leader_group_get(lead, primary->group);

	if (primary->epoch > group->primary.epoch)
		lead_note_progress(lead);
	if (primary->epoch <= group->primary.epoch || group->phase == JH_LEADER_WRITING)
		return;
	group->primary = *primary;
	g_hash_table_remove_all(group->reports);
	group->probe_failed = false;
	group->denies_primary = false;
	if (group->phase != JH_LEADER_IDLE)
		_jh_leader_group_set_phase(group, JH_LEADER_IDLE);
}

static void take_report(_jh_leader_t *lead, const char *vm, const char *group_name,
			const char *member)
{
	_jh_leader_group_t *group = _jh_leader_group_get(lead, group_name);
	int64_t now = jh_boot_time_us();

	if (group->primary.member != g_intern_string(member))
		return;
	g_hash_table_replace(group->reports, g_strdup(vm), g_memdup2(&now, sizeof(now)));
}

/* Pass what this VM's gateway found on to the lead. */
static void take_own_report(_jh_leader_t *lead, const jh_primary_report_msg_t *report)
{
	Jh__Frame *frame;

	if (!lead->holder)
		return;
	take_report(lead, _jh_leader_self(lead), report->group, report->member);
	if (_jh_leader_is_self(lead))
		return;
	if (jh_boot_time_us() - lead->reported_us < REPORT_PAUSE_US)
		return;
	lead->reported_us = jh_boot_time_us();
	frame = jh_frame_new(JH__FRAME__BODY_PRIMARY_REPORT);
	frame->primary_report->group = jh_strdup(report->group);
	frame->primary_report->member = jh_strdup(report->member);
	jh_frame_send(lead->task, lead->holder, frame);
}

static void take_member(_jh_leader_t *lead, const jh_member_msg_t *msg)
{
	if (!msg->member)
		g_hash_table_remove(lead->members, msg->id);
	else
		g_hash_table_replace(lead->members, (void *)msg->id, jh_member_copy(msg->member));
}

static void take_reply(_jh_leader_t *lead, const jh_platform_reply_t *reply)
{
	GHashTableIter iter;
	void *value;

	if (reply->tag == CLAIM_TAG) {
		lead->is_claiming = false;
		if (reply->status != JH_PLATFORM_OK)
			lead->claim_pause_us = jh_boot_time_us() + 2 * JH_LEADER_RETRY_US;
		return;
	}
	if (reply->tag == FORGET_TAG) {
		take_forgotten(lead, reply);
		return;
	}
	g_hash_table_iter_init(&iter, lead->groups);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (_jh_leader_group_tag(value) != reply->tag)
			continue;
		if (reply->call == JH_PLATFORM_PROMOTE)
			_jh_leader_group_handle_promote(value, reply);
		else
			_jh_leader_group_handle_write(value, reply);
		_jh_leader_step_soon(lead);
	}
}

static void take_authority(_jh_leader_t *lead, const jh_mirror_lease_msg_t *msg)
{
	int64_t now_us = jh_boot_time_us();

	if (lead->lease_until_us < now_us)
		lead->lease_since_us = now_us;
	lead->lease_until_us = msg->until_us;
	lead->is_complete = msg->is_complete;
}

static void take_version(_jh_leader_t *lead, const jh_vm_version_msg_t *msg)
{
	uint64_t *known = g_hash_table_lookup(lead->versions, msg->vm);

	if (known)
		*known = msg->version;
	else
		g_hash_table_insert(lead->versions, g_strdup(msg->vm),
				    g_memdup2(&msg->version, sizeof(msg->version)));
	if (_jh_leader_is_fencing(lead))
		_jh_leader_step_soon(lead);
}

static void lead_on_message(jh_task_t *task, const jh_msg_t *msg)
{
	_jh_leader_t *lead = jh_task_state(task);

	if (msg->type == JH_MSG_FLEET_CONFIG) {
		jh_fleet_config_unref(lead->site);
		lead->site = jh_fleet_config_ref(((const jh_fleet_config_msg_t *)msg->body)->site);
	} else if (msg->type == JH_MSG_MEMBER) {
		take_member(lead, msg->body);
	} else if (msg->type == JH_MSG_PRIMARY) {
		take_primary(lead, &((const jh_primary_msg_t *)msg->body)->primary);
	} else if (msg->type == JH_MSG_ROW) {
		const jh_row_msg_t *row = msg->body;

		if (row->table == JH_MIRROR_FLEET && g_str_equal(row->name, JH_LEADER_ROW))
			take_lead_row(lead, row);
	} else if (msg->type == JH_MSG_MIRROR_LEASE) {
		take_authority(lead, msg->body);
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

static int lead_init(jh_task_t *task, jh_error_t *err)
{
	_jh_leader_t *lead = g_new0(_jh_leader_t, 1);

	(void)err;
	lead->task = task;
	lead->wire = jh_profile_of(jh_kernel_settings(jh_task_kernel(task)))->wire;
	lead->members = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, jh_member_free);
	lead->groups = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, _jh_leader_group_free);
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
	((_jh_leader_t *)jh_task_state(task))->is_draining = true;
}

static void lead_fini(jh_task_t *task)
{
	_jh_leader_t *lead = jh_task_state(task);

	ev_timer_stop(jh_task_loop(task), &lead->tick);
	g_hash_table_destroy(lead->groups);
	g_hash_table_destroy(lead->members);
	g_hash_table_destroy(lead->versions);
	g_hash_table_destroy(lead->dead_since);
	g_clear_pointer(&lead->vms, g_ptr_array_unref);
	jh_fleet_config_unref(lead->site);
	g_free(lead->holder);
	g_free(lead);
}

const jh_module_t jh_leader_module = {
	.name = "lead",
	.doc = "replaces primaries, on the one VM that holds the lead",
	.subscriptions = { JH_MSG_FLEET_CONFIG, JH_MSG_MEMBER, JH_MSG_PRIMARY, JH_MSG_ROW,
			   JH_MSG_MIRROR_LEASE, JH_MSG_VMS, JH_MSG_PRIMARY_REPORT,
			   JH_MSG_VM_VERSION, JH_MSG_TYPES },
	.frames = { JH__FRAME__BODY_PRIMARY_REPORT, 0 },
	.init = lead_init,
	.on_message = lead_on_message,
	.drain = lead_drain,
	.fini = lead_fini,
};
