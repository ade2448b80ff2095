#include "internal/lead.h"

#include "jh_counter.h"
#include "jh_frame.h"
#include "jh_lead_claim.h"
#include "jh_log.h"
#include "jh_mirror.h"
#include "jh_placement.h"
#include "jh_primary_change.h"
#include "jh_profile.h"
#include "jh_replicas_row.h"

#include <jansson.h>
#include <string.h>

/*
 * The leader is the one VM that runs changes of primary. The row "lead" of the fleet's table names
 * it, and holds a fencing token that grows with each leader. docs/internals/platform.md explains
 * the reasons for each step.
 */

#define TICK_INTERVAL_S 0.1

/*
 * Minimum time between two reports of a group that this VM sends to the leader. A third of the time
 * that a report counts, so that 82 VMs whose eight primaries do not respond send 1,300 frames/s.
 */
#define REPORT_INTERVAL_US (JH_LEADER_REPORT_US / 3)

/*
 * A new leader waits this long before it promotes a member. After that time its predecessor sends
 * no more promotions: a leader sends one only within PROMOTE_WINDOW_US after it has sent the write
 * of the target, which its successor's claim makes fail.
 */
#define PROMOTION_DELAY_US (1000 * INT64_C(1000))

/* Highest token in the leader's row; each claim adds at least one. */
#define FENCE_MAX (INT64_MAX / 2)

/* Longest random delay, which spreads the claims of the VMs if the leader makes no progress. */
#define STUCK_JITTER_US (600 * 1000)

JH_COUNTER(is_leader_count, "jasminehill_lead_count", "1 while this VM is the lead");

const char *_jh_leader_self(const _jh_leader_t *leader)
{
	return jh_kernel_settings(jh_task_kernel(leader->task))->vm;
}

/* Return: whether the leader's row names this instance, perhaps in an earlier era of the store */
static bool row_names_self(const _jh_leader_t *leader)
{
	return leader->leader_vm && g_str_equal(leader->leader_vm, _jh_leader_self(leader)) &&
	       leader->leader_boot == jh_kernel_boot(jh_task_kernel(leader->task));
}

bool _jh_leader_is_self(const _jh_leader_t *leader)
{
	return row_names_self(leader) && jh_leader_fence_era(leader->fencing_token) >= leader->era;
}

void _jh_leader_step_soon(const _jh_leader_t *leader)
{
	ev_feed_event(jh_task_loop(leader->task), (void *)&leader->tick, EV_TIMER);
}

/* ---- the leader's row ---- */

/* Tags of calls to the platform. Calls for a group have the group's tag. */
#define CLAIM_TAG UINT64_MAX

static char *leader_row_format(const _jh_leader_t *leader, uint64_t fencing_token)
{
	json_t *object = json_pack("{s:s, s:I, s:I}", "vm", _jh_leader_self(leader), "boot",
				   (json_int_t)jh_kernel_boot(jh_task_kernel(leader->task)),
				   "fence", (json_int_t)fencing_token);
	char *json = json_dumps(object, JSON_COMPACT);
	char *text = g_strdup(json);

	free(json);
	json_decref(object);
	return text;
}

static void leader_note_progress(_jh_leader_t *leader)
{
	leader->no_progress_us = -(int64_t)g_random_int_range(0, STUCK_JITTER_US);
}

static void leader_row_apply(_jh_leader_t *leader, const jh_row_msg_t *row)
{
	gsize size = 0;
	const char *text = row->body ? g_bytes_get_data(row->body, &size) : NULL;
	json_t *object = text ? json_loadb(text, size, 0, NULL) : NULL;
	const char *vm = json_string_value(json_object_get(object, "vm"));
	json_int_t fence = json_integer_value(json_object_get(object, "fence"));
	bool is_valid = vm && fence > 0 && fence <= FENCE_MAX;
	bool was_leader = _jh_leader_is_self(leader);

	if (text && !is_valid)
		jh_log(JH_LOG_WARNING, "lead", "row_unreadable", "row=%" G_GUINT64_FORMAT,
		       row->version);
	g_free(leader->leader_vm);
	leader->leader_vm = is_valid ? g_strdup(vm) : NULL;
	leader->leader_boot = (uint64_t)json_integer_value(json_object_get(object, "boot"));
	/* The platform must never see a lower token than before, whatever the row says. */
	if (is_valid)
		leader->fencing_token = MAX(leader->fencing_token, (uint64_t)fence);
	leader->row_version = row->body ? row->version : 0;
	json_decref(object);
	jh_log(JH_LOG_INFO, "lead", "lead",
	       "holder=%s fence=%" G_GUINT64_FORMAT " row=%" G_GUINT64_FORMAT,
	       jh_log_value(leader->leader_vm), leader->fencing_token, leader->row_version);
	if (_jh_leader_is_self(leader) != was_leader)
		jh_counter_set(&is_leader_count, _jh_leader_is_self(leader));
	leader_note_progress(leader);
	if (_jh_leader_is_self(leader) && !was_leader)
		leader->promotion_allowed_us = jh_boot_time_us() + PROMOTION_DELAY_US;
}

/* Return: whether no leader has ever written a row, so that a restored store can't lack one */
static bool is_first_leader(const _jh_leader_t *leader)
{
	GHashTableIter iter;
	void *value;

	if (leader->era_row_version > 0)
		return false;
	g_hash_table_iter_init(&iter, leader->groups);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (((const _jh_leader_group_t *)value)->primary.epoch > 0)
			return false;
	}
	return true;
}

/* Writes this instance and the next fencing token to the leader's row if that is unchanged. */
static void leader_claim_role(_jh_leader_t *leader)
{
	GPtrArray *writes = jh_store_writes_new();
	char *text =
		leader_row_format(leader, jh_leader_next_fence(leader->fencing_token, leader->era));

	jh_store_write_add(writes, JH_STORE_PUT, JH_LEADER_ROW, leader->row_version, text);
	if (is_first_leader(leader))
		_jh_leader_add_era(leader, writes);
	jh_platform_commit(leader->task, jh_mirror_table_name(JH_MIRROR_FLEET), writes, CLAIM_TAG);
	leader->is_claiming = true;
	g_free(text);
}

/*
 * Return: whether a group needs the leader: another member could become its primary, which is
 * draining, in a drained data centre, not registered, or being replaced, or this VM's gateway
 * reported, less than a third of JH_LEADER_REPORT_US ago, that the primary does not respond. A
 * group without another member is not counted: no leader could do more for it, and each claim
 * delays the changes of all other groups.
 */
static bool has_work(const _jh_leader_t *leader)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, leader->groups);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const _jh_leader_group_t *group = value;
		const int64_t *report_us =
			g_hash_table_lookup(group->reports, _jh_leader_self(leader));
		const jh_member_t *member;

		if (group->primary.epoch == 0 ||
		    !g_hash_table_contains(leader->config->groups, group->name) ||
		    !_jh_leader_group_has_successor(group))
			continue;
		member = g_hash_table_lookup(leader->members, group->primary.member);
		if (!member || group->primary.is_changing || member->is_draining ||
		    _jh_leader_member_phase(leader, member) != JH_DC_OPEN ||
		    (report_us && jh_boot_time_us() - *report_us < JH_LEADER_REPORT_US / 3))
			return true;
	}
	return false;
}

static jh_leader_status_t leader_row_status(const _jh_leader_t *leader)
{
	const jh_vm_t *vm;

	if (!leader->leader_vm)
		return JH_LEADER_NONE;
	if (row_names_self(leader))
		return JH_LEADER_EARLIER_ERA;
	if (g_str_equal(leader->leader_vm, _jh_leader_self(leader)))
		return JH_LEADER_EARLIER_SELF;
	vm = jh_vm_find(leader->vms, leader->leader_vm);
	if (!vm)
		return JH_LEADER_NOT_LISTED;
	return vm->state == JH_VM_LIVE || vm->state == JH_VM_SUSPECT ? JH_LEADER_LIVE :
								       JH_LEADER_DOWN;
}

static void leader_update_wait(_jh_leader_t *leader, bool has_work)
{
	int64_t now_us = jh_boot_time_us();

	if (!has_work) {
		leader->waited_at_us = 0;
		return;
	}
	if (leader->waited_at_us == 0) {
		leader_note_progress(leader);
	} else {
		leader->no_progress_us =
			jh_leader_wait_add(leader->no_progress_us, now_us - leader->waited_at_us,
					   _jh_leader_has_live_quorum(leader));
	}
	leader->waited_at_us = now_us;
}

static void leader_consider_claim(_jh_leader_t *leader)
{
	const jh_vm_t *first = jh_placement_choose(leader->vms, JH_LEADER_ROW, NULL);
	jh_leader_view_t view = { .status = leader_row_status(leader),
				  .has_work = has_work(leader) };
	const char *reason;

	if (leader->is_claiming || _jh_leader_is_self(leader) ||
	    jh_boot_time_us() < leader->claim_paused_until_us)
		return;
	if (view.status != JH_LEADER_NOT_LISTED)
		leader->not_listed_since_us = 0;
	else if (leader->not_listed_since_us == 0)
		leader->not_listed_since_us = jh_boot_time_us();
	leader_update_wait(leader, view.has_work);
	view.is_first = first && g_str_equal(first->name, _jh_leader_self(leader));
	view.not_listed_us = jh_boot_time_us() - leader->not_listed_since_us;
	view.no_progress_us = leader->no_progress_us;
	reason = jh_leader_must_claim(&view);
	if (!reason)
		return;
	jh_log(JH_LOG_INFO, "lead", "claim", "holder=%s fence=%" G_GUINT64_FORMAT " reason=%s",
	       jh_log_value(leader->leader_vm), leader->fencing_token, jh_log_value(reason));
	leader_note_progress(leader);
	leader_claim_role(leader);
}

/* ---- dead VMs ---- */

/* Every VM tracks the dead VMs, so that a new leader knows how long they have been dead. */
static void vms_track_dead(_jh_leader_t *leader)
{
	unsigned i;

	for (i = 0; i < leader->vms->len; i++) {
		const jh_vm_t *vm = g_ptr_array_index(leader->vms, i);
		int64_t now = jh_boot_time_us();

		if (vm->state != JH_VM_DEAD)
			g_hash_table_remove(leader->dead_since, vm->name);
		else if (!g_hash_table_contains(leader->dead_since, vm->name))
			g_hash_table_insert(leader->dead_since, g_strdup(vm->name),
					    g_memdup2(&now, sizeof(now)));
	}
}

/* ---- messages ---- */

static void on_tick(struct ev_loop *loop, ev_timer *timer, int events)
{
	_jh_leader_t *leader = timer->data;
	GHashTableIter iter;
	void *name;

	(void)loop;
	(void)events;
	if (!leader->is_complete || !leader->config || !leader->vms || leader->is_draining)
		return;
	vms_track_dead(leader);
	leader_consider_claim(leader);
	_jh_leader_update_removals(leader);
	_jh_leader_report_replicas(leader);
	if (_jh_leader_is_self(leader))
		_jh_leader_vms_step(leader);
	if (_jh_leader_needs_proof(leader)) {
		if (_jh_leader_is_self(leader))
			_jh_leader_proof_step(leader);
		return;
	}
	g_hash_table_iter_init(&iter, leader->config->groups);
	while (g_hash_table_iter_next(&iter, &name, NULL)) {
		_jh_leader_group_t *group = _jh_leader_group_get(leader, name);

		_jh_leader_replicas_row_step(group);
		if (_jh_leader_is_self(leader))
			_jh_leader_group_step(group);
	}
}

static void apply_primary(_jh_leader_t *leader, const jh_primary_t *primary)
{
	_jh_leader_group_t *group = _jh_leader_group_get(leader, primary->group);

	if (primary->epoch > group->primary.epoch)
		leader_note_progress(leader);
	if (primary->epoch == group->primary.epoch)
		group->primary.is_kept = primary->is_kept;
	if (primary->epoch <= group->primary.epoch)
		return;
	/* It may be the row that this VM is writing; the write's answer tells. */
	if (group->phase == JH_LEADER_WRITING)
		group->received_row = *primary;
	else
		_jh_leader_group_apply_row(group, primary);
}

static void add_report(_jh_leader_t *leader, const char *vm, const char *group_name,
		       const char *member)
{
	_jh_leader_group_t *group = _jh_leader_group_get(leader, group_name);
	int64_t now = jh_boot_time_us();

	if (group->primary.member != g_intern_string(member))
		return;
	g_hash_table_replace(group->reports, g_strdup(vm), g_memdup2(&now, sizeof(now)));
}

/* Records a report of this VM's gateway and forwards it to the leader. */
static void handle_own_report(_jh_leader_t *leader, const jh_primary_report_msg_t *report)
{
	_jh_leader_group_t *group;
	Jh__Frame *frame;

	if (!leader->leader_vm)
		return;
	group = _jh_leader_group_get(leader, report->group);
	add_report(leader, _jh_leader_self(leader), report->group, report->member);
	if (_jh_leader_is_self(leader))
		return;
	if (jh_boot_time_us() - group->last_report_us < REPORT_INTERVAL_US)
		return;
	group->last_report_us = jh_boot_time_us();
	frame = jh_frame_new(JH__FRAME__BODY_PRIMARY_REPORT);
	frame->primary_report->group = jh_frame_strdup(report->group);
	frame->primary_report->member = jh_frame_strdup(report->member);
	jh_frame_send(leader->task, leader->leader_vm, frame);
}

static void handle_platform_reply(_jh_leader_t *leader, const jh_platform_reply_t *reply)
{
	GHashTableIter iter;
	void *value;

	if (reply->tag == CLAIM_TAG) {
		leader->is_claiming = false;
		if (reply->status != JH_PLATFORM_OK)
			leader->claim_paused_until_us = jh_boot_time_us() + 2 * JH_LEADER_RETRY_US;
		return;
	}
	if (reply->tag == JH_LEADER_ERA_TAG) {
		_jh_leader_handle_era_write(leader, reply);
		return;
	}
	if (reply->tag == JH_LEADER_VMS_TAG) {
		_jh_leader_vms_handle_write(leader, reply);
		return;
	}
	g_hash_table_iter_init(&iter, leader->groups);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (((const _jh_leader_group_t *)value)->record_tag == reply->tag)
			_jh_leader_replicas_row_handle_write(value, reply);
		if (((const _jh_leader_group_t *)value)->tag != reply->tag)
			continue;
		if (reply->call == JH_PLATFORM_PROMOTE)
			_jh_leader_group_handle_promote(value, reply);
		else
			_jh_leader_group_handle_write(value, reply);
		_jh_leader_step_soon(leader);
	}
}

static void apply_mirror_lease(_jh_leader_t *leader, const jh_mirror_lease_msg_t *msg)
{
	int64_t now_us = jh_boot_time_us();

	if (leader->lease_until_us < now_us)
		leader->lease_since_us = now_us;
	leader->lease_until_us = msg->until_us;
	leader->is_complete = leader->is_complete || msg->is_complete;
}

static void apply_vm_version(_jh_leader_t *leader, const jh_vm_version_msg_t *msg)
{
	uint64_t *acked_version = g_hash_table_lookup(leader->acked_versions, msg->vm);

	if (acked_version)
		*acked_version = msg->version;
	else
		g_hash_table_insert(leader->acked_versions, g_strdup(msg->vm),
				    g_memdup2(&msg->version, sizeof(msg->version)));
	if (_jh_leader_is_fencing(leader) || leader->voters->previous)
		_jh_leader_step_soon(leader);
}

/*
 * Until a VM that has just started has read the list, it knows only itself: a change of primary
 * would count as acknowledged by all VMs at once.
 */
static void apply_vms(_jh_leader_t *leader, const jh_vms_msg_t *msg)
{
	if (!msg->is_listed)
		return;
	g_clear_pointer(&leader->vms, g_ptr_array_unref);
	leader->vms = g_ptr_array_ref(msg->vms);
}

static void leader_on_message(jh_task_t *task, const jh_msg_t *msg)
{
	_jh_leader_t *leader = jh_task_state(task);

	if (msg->type == JH_MSG_FLEET_CONFIG) {
		jh_fleet_config_unref(leader->config);
		leader->config =
			jh_fleet_config_ref(((const jh_fleet_config_msg_t *)msg->body)->config);
	} else if (msg->type == JH_MSG_MEMBER) {
		_jh_leader_apply_member(leader, msg->body);
	} else if (msg->type == JH_MSG_PRIMARY) {
		apply_primary(leader, &((const jh_primary_msg_t *)msg->body)->primary);
	} else if (msg->type == JH_MSG_DC_DRAIN) {
		_jh_leader_apply_dc_drain(leader, msg->body);
	} else if (msg->type == JH_MSG_ROW) {
		const jh_row_msg_t *row = msg->body;

		leader->era = MAX(leader->era, jh_store_version_era(row->version));
		if (row->table == JH_MIRROR_FLEET && g_str_equal(row->name, JH_LEADER_ROW))
			leader_row_apply(leader, row);
		else if (row->table == JH_MIRROR_FLEET &&
			 g_str_has_prefix(row->name, JH_PRIMARY_ROW_PREFIX))
			_jh_leader_group_check_row(leader, row);
		else if (row->table == JH_MIRROR_FLEET &&
			 g_str_has_prefix(row->name, JH_REPLICAS_ROW_PREFIX))
			_jh_leader_apply_replicas_row(leader, row);
		else if (row->table == JH_MIRROR_FLEET &&
			 g_str_has_prefix(row->name, JH_MIRROR_VM_PREFIX))
			_jh_leader_apply_vm_row(leader, row);
		else if (row->table == JH_MIRROR_FLEET && g_str_equal(row->name, JH_VOTERS_ROW))
			_jh_leader_apply_voters_row(leader, row);
		else if (row->table == JH_MIRROR_FLEET && g_str_equal(row->name, JH_MIRROR_ERA_ROW))
			leader->era_row_version = row->body ? row->version : 0;
	} else if (msg->type == JH_MSG_MIRROR_ERA) {
		_jh_leader_apply_era(leader, msg->body);
	} else if (msg->type == JH_MSG_MIRROR_LEASE) {
		apply_mirror_lease(leader, msg->body);
	} else if (msg->type == JH_MSG_VMS) {
		apply_vms(leader, msg->body);
	} else if (msg->type == JH_MSG_PRIMARY_REPORT) {
		handle_own_report(leader, msg->body);
	} else if (msg->type == JH_MSG_ACKNOWLEDGED) {
		_jh_leader_note_acknowledged(leader, msg->body);
	} else if (msg->type == JH_MSG_VM_VERSION) {
		apply_vm_version(leader, msg->body);
	} else if (msg->type == JH_MSG_PLATFORM_REPLY) {
		handle_platform_reply(leader, msg->body);
	} else if (msg->type == JH_MSG_FRAME_IN) {
		const jh_frame_msg_t *in = msg->body;

		if (in->frame->body_case == JH__FRAME__BODY_REPLICA_REPORT)
			_jh_leader_apply_replica_report(leader, in->vm, in->frame->replica_report);
		else
			add_report(leader, in->vm, in->frame->primary_report->group,
				   in->frame->primary_report->member);
	}
}

/* ---- module ---- */

static int leader_init(jh_task_t *task, jh_error_t *err)
{
	_jh_leader_t *leader = g_new0(_jh_leader_t, 1);

	(void)err;
	leader->task = task;
	leader->wire = jh_profile_get(jh_kernel_settings(jh_task_kernel(task)))->wire;
	leader->drains = jh_dc_drains_new();
	leader->members = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, jh_member_free);
	leader->unlisted =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, _jh_leader_unlisted_free);
	leader->groups =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, _jh_leader_group_free);
	leader->acked_versions = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	leader->acknowledged = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	leader->given_up = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	leader->listed = g_hash_table_new(g_str_hash, g_str_equal);
	leader->voters = jh_voters_new();
	leader->dead_since = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	ev_timer_init(&leader->tick, on_tick, TICK_INTERVAL_S, TICK_INTERVAL_S);
	leader->tick.data = leader;
	ev_timer_start(jh_task_loop(task), &leader->tick);
	jh_task_set_state(task, leader);
	return 0;
}

static void leader_drain(jh_task_t *task)
{
	((_jh_leader_t *)jh_task_state(task))->is_draining = true;
}

static void leader_fini(jh_task_t *task)
{
	_jh_leader_t *leader = jh_task_state(task);

	ev_timer_stop(jh_task_loop(task), &leader->tick);
	g_hash_table_destroy(leader->groups);
	g_hash_table_destroy(leader->members);
	g_hash_table_destroy(leader->unlisted);
	g_hash_table_destroy(leader->acked_versions);
	g_hash_table_destroy(leader->dead_since);
	g_hash_table_destroy(leader->listed);
	g_hash_table_destroy(leader->acknowledged);
	g_hash_table_destroy(leader->given_up);
	jh_voters_free(leader->voters);
	jh_dc_drains_free(leader->drains);
	g_clear_pointer(&leader->vms, g_ptr_array_unref);
	jh_fleet_config_unref(leader->config);
	g_free(leader->leader_vm);
	g_free(leader);
}

const jh_module_t jh_leader_module = {
	.name = "lead",
	.doc = "runs changes of primary, on the VM that is the leader",
	.subscriptions = { JH_MSG_FLEET_CONFIG, JH_MSG_MEMBER, JH_MSG_PRIMARY, JH_MSG_DC_DRAIN,
			   JH_MSG_ROW, JH_MSG_MIRROR_LEASE, JH_MSG_MIRROR_ERA, JH_MSG_VMS,
			   JH_MSG_PRIMARY_REPORT, JH_MSG_VM_VERSION, JH_MSG_ACKNOWLEDGED,
			   JH_MSG_TYPE_COUNT },
	.frames = { JH__FRAME__BODY_PRIMARY_REPORT, JH__FRAME__BODY_REPLICA_REPORT, 0 },
	.init = leader_init,
	.on_message = leader_on_message,
	.drain = leader_drain,
	.fini = leader_fini,
};
