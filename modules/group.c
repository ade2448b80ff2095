#include "internal/_jh_group.h"
#include "jh_builtins.h"
#include "jh_counter.h"
#include "jh_log.h"
#include "jh_placement.h"

/*
 * Module definition of the group task. A VM that owns a database of a group is an observer of that
 * group: it monitors every member. All other VMs subscribe to the observers' reports. Each VM
 * publishes views of the groups that it observes or that its callers use to its own tasks.
 */

JH_COUNTER(published_total, "jasminehill_group_views_published_total",
	   "views published to the tasks of this VM");

int64_t _jh_groups_now_us(const _jh_groups_t *groups)
{
	return jh_kernel_now_us(jh_task_kernel(groups->task));
}

/* ---- publishing views ---- */

static bool group_is_wanted(const _jh_group_t *group, int64_t now_us)
{
	return group->is_observer || now_us < group->wanted_until_us;
}

static unsigned group_count_reachable(const _jh_group_t *group, int64_t now_us)
{
	unsigned count = 0;
	unsigned i;

	for (i = 0; i < jh_group_state_member_count(group->state); i++) {
		const jh_member_report_t *newest =
			jh_group_state_newest_report(group->state, i, now_us);

		count += newest && newest->reachable;
	}
	return count;
}

static void group_publish(_jh_group_t *group, int64_t now_us)
{
	group->needs_publish = false;
	if (!group_is_wanted(group, now_us))
		return;
	group->reachable_count = group_count_reachable(group, now_us);
	jh_counter_add(&published_total, 1);
	jh_group_view_publish(group->groups->task, jh_group_state_view_new(group->state, now_us));
}

/* Logs the new primary; @term and @primary are the values before the change. */
static void group_log_primary_change(const _jh_group_t *group, uint64_t term, int primary)
{
	if (term == jh_group_state_term(group->state) &&
	    primary == jh_group_state_primary(group->state))
		return;
	primary = jh_group_state_primary(group->state);
	jh_log(JH_LOG_INFO, "group", "primary_changed",
	       "group=%s term=%" G_GUINT64_FORMAT " primary=%s", group->name,
	       jh_group_state_term(group->state),
	       primary < 0 ? "-" : jh_group_state_member_name(group->state, (unsigned)primary));
}

/*
 * A changed position or status is published immediately, because responses to writes are withheld
 * until a view shows that their position is replicated. Changed times wait for the next tick.
 */
static void group_publish_change(_jh_group_t *group, jh_group_change_t change)
{
	if (change == JH_GROUP_UNCHANGED)
		group->needs_publish = true;
	else
		group_publish(group, _jh_groups_now_us(group->groups));
}

void _jh_group_apply_report(_jh_group_t *group, const char *observer, unsigned member,
			    const jh_member_report_t *report)
{
	uint64_t old_term = jh_group_state_term(group->state);
	int old_primary = jh_group_state_primary(group->state);
	jh_group_change_t change =
		jh_group_state_apply_report(group->state, observer, member, report);

	group_log_primary_change(group, old_term, old_primary);
	group_publish_change(group, change);
	if (observer == group->groups->vm)
		_jh_group_views_send_change(group, change);
}

void _jh_group_apply_term(_jh_group_t *group, uint64_t term, const char *primary)
{
	uint64_t old_term = jh_group_state_term(group->state);
	int old_primary = jh_group_state_primary(group->state);

	if (jh_group_state_apply_term(group->state, term, primary) == JH_GROUP_UNCHANGED)
		return;
	group_log_primary_change(group, old_term, old_primary);
	group_publish_change(group, JH_GROUP_STATUS_CHANGED);
	_jh_group_views_send_change(group, JH_GROUP_STATUS_CHANGED);
}

/* ---- groups of the configuration ---- */

static _jh_group_t *group_new(_jh_groups_t *groups, const char *name)
{
	_jh_group_t *group = g_new0(_jh_group_t, 1);

	group->groups = groups;
	group->name = g_strdup(name);
	group->state = jh_group_state_new(name);
	group->members = g_ptr_array_new_with_free_func(_jh_member_free);
	group->observers = g_ptr_array_new();
	group->row.tag = ++groups->next_tag;
	_jh_group_views_init(group);
	_jh_group_change_init(group);
	return group;
}

static void group_free(gpointer data)
{
	_jh_group_t *group = data;

	g_ptr_array_free(group->members, TRUE);
	g_ptr_array_free(group->observers, TRUE);
	_jh_group_views_clear(group);
	_jh_group_change_clear(group);
	g_free(group->row.primary);
	jh_group_state_free(group->state);
	g_free(group->name);
	g_free(group);
}

static void group_set_members(_jh_group_t *group, const jh_group_t *config)
{
	GPtrArray *names = g_ptr_array_new();
	uint32_t departing = 0;
	bool is_unchanged = jh_group_state_member_count(group->state) == config->databases->len;
	unsigned i;

	for (i = 0; i < config->databases->len; i++) {
		const jh_database_t *database = g_ptr_array_index(config->databases, i);

		is_unchanged = is_unchanged &&
			       jh_group_state_member_index(group->state, database->name) == (int)i;
		g_ptr_array_add(names, database->name);
		if (database->departing && i < JH_FAILOVER_MEMBERS_MAX)
			departing |= 1u << i;
	}
	group->change.failover.departing = departing;
	if (!is_unchanged)
		_jh_group_change_reset(group);
	jh_group_state_set_members(group->state, names);
	g_ptr_array_free(names, TRUE);
}

/* Sets the observers to the VMs that own the group's databases, each listed once. */
static void group_set_observers(_jh_group_t *group, const jh_group_t *config)
{
	const _jh_groups_t *groups = group->groups;
	unsigned i;

	g_ptr_array_set_size(group->observers, 0);
	for (i = 0; i < config->databases->len; i++) {
		const jh_database_t *database = g_ptr_array_index(config->databases, i);
		char *key = g_strconcat("database:", database->name, NULL);
		const jh_vm_t *owner = jh_placement_choose(groups->vms, key, database->dc);
		const char *name = owner ? g_intern_string(owner->name) : NULL;

		g_free(key);
		if (name && !g_ptr_array_find(group->observers, name, NULL))
			g_ptr_array_add(group->observers, (gpointer)name);
	}
	group->next_request_us = 0;
	_jh_group_change_update_rank(group);
}

/* Return: member that already monitors @database, removed from @members; NULL if there is none */
static _jh_member_t *members_take_matching(GPtrArray *members, const jh_group_t *config,
					   const jh_database_t *database)
{
	unsigned i;

	for (i = 0; i < members->len; i++) {
		if (_jh_member_matches_config(g_ptr_array_index(members, i), config, database))
			return g_ptr_array_steal_index(members, i);
	}
	return NULL;
}

/*
 * Monitors exactly the members in the configuration, or none if this VM is not an observer. Members
 * whose settings are unchanged keep their connection.
 */
static void group_monitor_members(_jh_group_t *group, const jh_group_t *config)
{
	GPtrArray *old_members = group->members;
	unsigned i;

	group->is_observer = g_ptr_array_find(group->observers, group->groups->vm, NULL);
	group->members = g_ptr_array_new_with_free_func(_jh_member_free);
	for (i = 0; group->is_observer && i < config->databases->len; i++) {
		const jh_database_t *database = g_ptr_array_index(config->databases, i);
		_jh_member_t *member = members_take_matching(old_members, config, database);

		if (!member)
			member = _jh_member_new(group, config, database);
		g_ptr_array_add(group->members, member);
	}
	g_ptr_array_free(old_members, TRUE);
	if (!group->is_observer)
		jh_group_state_drop_reports(group->state, group->groups->vm);
}

static gboolean group_is_unconfigured(gpointer name, gpointer group, gpointer config)
{
	(void)group;
	return jh_config_find_group(config, name) == NULL;
}

/* Adds, updates and removes groups to match the configuration and the VM list. */
static void groups_reconcile(_jh_groups_t *groups)
{
	unsigned i;

	if (!groups->config || !groups->vms)
		return;
	g_hash_table_foreach_remove(groups->groups, group_is_unconfigured, groups->config);
	for (i = 0; i < groups->config->groups->len; i++) {
		const jh_group_t *config = g_ptr_array_index(groups->config->groups, i);
		_jh_group_t *group = g_hash_table_lookup(groups->groups, config->name);

		if (!group) {
			group = group_new(groups, config->name);
			g_hash_table_insert(groups->groups, group->name, group);
		}
		group_set_members(group, config);
		group_set_observers(group, config);
		group_monitor_members(group, config);
	}
}

/* ---- timer ---- */

static void group_tick(_jh_group_t *group, int64_t now_us, bool paused)
{
	unsigned i;

	for (i = 0; i < group->members->len; i++)
		_jh_member_tick(g_ptr_array_index(group->members, i), now_us, paused);
	_jh_group_change_tick(group, now_us, paused);
	_jh_group_row_tick(group, now_us);
	_jh_group_views_tick(group, now_us);
	/* A report that expired since the last view may have made a member unreachable. */
	if (group->needs_publish || group->reachable_count != group_count_reachable(group, now_us))
		group_publish(group, now_us);
}

static void on_tick(struct ev_loop *loop, ev_timer *timer, int events)
{
	_jh_groups_t *groups = timer->data;
	int64_t now_us = _jh_groups_now_us(groups);
	bool paused = now_us - groups->last_tick_us > _JH_GROUP_PAUSE_THRESHOLD_US;
	GHashTableIter iter;
	gpointer group;

	(void)loop;
	(void)events;
	groups->last_tick_us = now_us;
	g_hash_table_iter_init(&iter, groups->groups);
	while (g_hash_table_iter_next(&iter, NULL, &group))
		group_tick(group, now_us, paused);
}

/* ---- module ---- */

static int group_init(jh_task_t *task, jh_error_t *err)
{
	_jh_groups_t *groups = g_new0(_jh_groups_t, 1);
	double interval = (double)_JH_GROUP_TICK_US / G_USEC_PER_SEC;

	(void)err;
	groups->task = task;
	groups->vm = g_intern_string(jh_kernel_settings(jh_task_kernel(task))->vm);
	groups->groups = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, group_free);
	groups->last_tick_us = _jh_groups_now_us(groups);
	jh_task_set_state(task, groups);
	ev_timer_init(&groups->tick, on_tick, interval, interval);
	groups->tick.data = groups;
	ev_timer_start(jh_task_loop(task), &groups->tick);
	return 0;
}

static void groups_handle_frame(_jh_groups_t *groups, const jh_frame_msg_t *msg)
{
	const Jh__Frame *frame = msg->frame;
	_jh_group_t *group;

	switch (frame->body_case) {
	case JH__FRAME__BODY_GROUP_VIEW:
		group = g_hash_table_lookup(groups->groups, frame->group_view->group);
		if (group)
			_jh_group_handle_view(group, msg);
		break;
	case JH__FRAME__BODY_VIEW_REQUEST:
		group = g_hash_table_lookup(groups->groups, frame->view_request->group);
		if (group)
			_jh_group_handle_view_request(group, msg);
		break;
	case JH__FRAME__BODY_OBSERVATION:
		group = g_hash_table_lookup(groups->groups, frame->observation->group);
		if (group)
			_jh_group_handle_observation(group, msg);
		break;
	default:
		break;
	}
}

static void groups_handle_reply(_jh_groups_t *groups, const jh_platform_reply_t *reply)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, groups->groups);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		_jh_group_t *group = value;

		if (group->row.tag == reply->tag)
			_jh_group_row_handle_reply(group, reply);
	}
}

static void groups_on_peer_down(_jh_groups_t *groups, const char *vm)
{
	GHashTableIter iter;
	gpointer group;

	g_hash_table_iter_init(&iter, groups->groups);
	while (g_hash_table_iter_next(&iter, NULL, &group))
		_jh_group_on_peer_down(group, vm);
}

static void group_on_message(jh_task_t *task, const jh_msg_t *msg)
{
	_jh_groups_t *groups = jh_task_state(task);

	switch (msg->type) {
	case JH_MSG_CONFIG:
		jh_config_unref(groups->config);
		groups->config = jh_config_ref(((jh_config_msg_t *)msg->body)->config);
		groups_reconcile(groups);
		break;
	case JH_MSG_VMS:
		if (groups->vms)
			g_ptr_array_unref(groups->vms);
		groups->vms = g_ptr_array_ref(((jh_vms_msg_t *)msg->body)->vms);
		groups_reconcile(groups);
		break;
	case JH_MSG_PEER_DOWN:
		groups_on_peer_down(groups, ((jh_peer_down_msg_t *)msg->body)->vm);
		break;
	case JH_MSG_PLATFORM_REPLY:
		groups_handle_reply(groups, msg->body);
		break;
	case JH_MSG_FRAME_IN:
		groups_handle_frame(groups, msg->body);
		break;
	default:
		break;
	}
}

static void group_fini(jh_task_t *task)
{
	_jh_groups_t *groups = jh_task_state(task);

	ev_timer_stop(jh_task_loop(task), &groups->tick);
	g_hash_table_destroy(groups->groups);
	jh_config_unref(groups->config);
	if (groups->vms)
		g_ptr_array_unref(groups->vms);
	g_free(groups);
}

/* ---- table shown to operators ---- */

static void rows_add_member(jh_rows_t *rows, const _jh_group_t *group, const jh_group_view_t *view,
			    const jh_database_view_t *database, int64_t now_us)
{
	char term[24];
	char applied[48];
	char held[48];
	char age[24] = "-";

	g_snprintf(term, sizeof(term), "%" G_GUINT64_FORMAT, view->term);
	g_snprintf(applied, sizeof(applied), "%" G_GUINT64_FORMAT "/%" G_GUINT64_FORMAT,
		   database->position.term, database->position.index);
	g_snprintf(held, sizeof(held), "%" G_GUINT64_FORMAT "/%" G_GUINT64_FORMAT,
		   database->held.term, database->held.index);
	if (database->last_caught_up_us)
		g_snprintf(age, sizeof(age), "%" G_GINT64_FORMAT,
			   (now_us - database->last_caught_up_us) / 1000);
	jh_rows_add(rows, group->name, term, database->name,
		    g_strcmp0(view->primary, database->name) == 0 ? "primary" : "replica",
		    database->reachable ? "yes" : "no", applied, held, age,
		    group->is_observer ? "yes" : "no", NULL);
}

static jh_rows_t *group_show(jh_task_t *task, const char *topic)
{
	static const char *const columns[] = { "group",	    "term",    "database", "role",
					       "reachable", "applied", "held",	   "age_ms",
					       "observer",  NULL };
	_jh_groups_t *groups = jh_task_state(task);
	int64_t now_us = _jh_groups_now_us(groups);
	jh_rows_t *rows;
	unsigned i;
	unsigned j;

	if (!g_str_equal(topic, "groups"))
		return NULL;
	rows = jh_rows_new(columns);
	for (i = 0; groups->config && i < groups->config->groups->len; i++) {
		const jh_group_t *config = g_ptr_array_index(groups->config->groups, i);
		const _jh_group_t *group = g_hash_table_lookup(groups->groups, config->name);
		jh_group_view_t *view;

		if (!group)
			continue;
		view = jh_group_state_view_new(group->state, now_us);
		for (j = 0; j < view->databases->len; j++)
			rows_add_member(rows, group, view, g_ptr_array_index(view->databases, j),
					now_us);
		jh_group_view_free(view);
	}
	return rows;
}

const jh_module_t jh_group_module = {
	.name = "group",
	.doc = "watches the database groups whose databases this VM owns, and replaces primaries",
	.subscriptions = { JH_MSG_CONFIG, JH_MSG_VMS, JH_MSG_PEER_DOWN, JH_MSG_TYPE_COUNT },
	.frames = { JH__FRAME__BODY_GROUP_VIEW, JH__FRAME__BODY_VIEW_REQUEST,
		    JH__FRAME__BODY_OBSERVATION },
	.init = group_init,
	.on_message = group_on_message,
	.fini = group_fini,
	.show = group_show,
};
