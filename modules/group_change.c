#include "internal/_jh_group.h"
#include "jh_counter.h"
#include "jh_log.h"
#include "jh_placement.h"

#include <string.h>

/*
 * Runs a group's changes of primary: passes events to jh_failover_decide() and runs the actions
 * that it returns. An observer that detects a problem sends its reports to the other observers. The
 * coordinator is the observer that rendezvous hashing ranks first; if it does not act, the next one
 * in rank does.
 */

/* Shortest interval between two Observations while a problem lasts. */
#define OBSERVATION_INTERVAL_US ((int64_t)100 * 1000)

JH_COUNTER(changes_total, "jasminehill_group_changes_total", "changes of primary led by this VM");
JH_COUNTER(attempts_failed_total, "jasminehill_group_changes_failed_total",
	   "tries to change a primary that failed");

static const char *const cause_names[JH_CAUSE_COUNT] = {
	[JH_CAUSE_NONE] = "none",
	[JH_CAUSE_MEMBERS_LOST_PRIMARY] = "silent",
	[JH_CAUSE_UNREACHABLE] = "unreachable",
	[JH_CAUSE_NO_PRIMARY] = "no_primary",
	[JH_CAUSE_HIGHER_TERM] = "stray_promise",
	[JH_CAUSE_DEPARTING] = "departing",
};

/* ---- actions of a decision ---- */

static const jh_group_t *group_config(const _jh_group_t *group)
{
	return jh_config_find_group(group->groups->config, group->name);
}

/*
 * Opens a control connection to a member; frees an earlier one to it.
 *
 * Return: owned by @group; NULL if the configuration no longer lists the member
 */
static _jh_control_t *control_open(_jh_group_t *group, unsigned member, uint64_t term)
{
	const char *name = jh_group_state_member_name(group->state, member);
	const jh_database_t *database = jh_config_find_database(group->groups->config, name);
	const jh_group_t *config = group_config(group);
	_jh_control_t *control;

	if (!database || !config)
		return NULL;
	control = _jh_control_new(group, config, database, term);
	g_hash_table_replace(group->change.controls, (gpointer)_jh_control_member_name(control),
			     control);
	return control;
}

static void run_command(_jh_group_t *group, const jh_failover_action_t *action)
{
	const char *name = jh_group_state_member_name(group->state, action->member);
	_jh_control_t *control = g_hash_table_lookup(group->change.controls, name);

	if (!control)
		control = control_open(group, action->member, action->term);
	if (control)
		_jh_control_run(control, action,
				jh_group_state_member_name(group->state, action->primary));
}

static void run_connect(_jh_group_t *group, const jh_failover_action_t *action)
{
	control_open(group, action->member, action->term);
}

/* Sends the new primary to this VM's tasks, the other observers and the platform's row. */
static void run_announce(_jh_group_t *group, const jh_failover_action_t *action)
{
	const char *primary = jh_group_state_member_name(group->state, action->primary);

	jh_counter_add(&changes_total, 1);
	jh_log(JH_LOG_WARNING, "group", "primary_promoted",
	       "group=%s term=%" G_GUINT64_FORMAT " primary=%s", group->name, action->term,
	       primary);
	_jh_group_apply_term(group, action->term, primary);
	_jh_group_views_send_announcement(group);
	_jh_group_row_schedule_write(group, action->term, primary);
}

/*
 * Closes all control connections. This may run in a callback of one of them, so they are freed only
 * at the next tick.
 */
static void controls_close(_jh_group_t *group)
{
	GHashTableIter iter;
	gpointer control;

	g_hash_table_iter_init(&iter, group->change.controls);
	while (g_hash_table_iter_next(&iter, NULL, &control))
		_jh_control_close(control);
}

static void run_abort(_jh_group_t *group, const jh_failover_action_t *action)
{
	jh_counter_add(&attempts_failed_total, 1);
	jh_log(JH_LOG_WARNING, "group", "change_failed", "group=%s term=%" G_GUINT64_FORMAT,
	       group->name, action->term);
	controls_close(group);
}

/* Never called: a majority of the members issues the terms, and the platform's row is a copy. */
static void run_claim(_jh_group_t *group, const jh_failover_action_t *action)
{
	(void)group;
	(void)action;
	g_assert_not_reached();
}

static void (*const action_runners[])(_jh_group_t *group, const jh_failover_action_t *action) = {
	[JH_FAILOVER_CONNECT] = run_connect, [JH_FAILOVER_CLAIM] = run_claim,
	[JH_FAILOVER_FENCE] = run_command,   [JH_FAILOVER_PROMOTE] = run_command,
	[JH_FAILOVER_FOLLOW] = run_command,  [JH_FAILOVER_ANNOUNCE] = run_announce,
	[JH_FAILOVER_ABORT] = run_abort,
};

/* ---- events for the decision ---- */

static void change_decide(_jh_group_t *group, const jh_failover_event_t *event)
{
	jh_failover_t *failover = &group->change.failover;
	jh_failover_phase_t phase = failover->phase;
	uint64_t random = (uint64_t)g_random_int() << 32 | g_random_int();
	jh_failover_actions_t actions;
	unsigned i;

	jh_failover_decide(failover, group->state, event, _jh_groups_now_us(group->groups), random,
			   &actions);
	if (phase == JH_PHASE_IDLE && failover->phase == JH_PHASE_CONNECTING)
		jh_log(JH_LOG_WARNING, "group", "change_begun",
		       "group=%s term=%" G_GUINT64_FORMAT " cause=%s", group->name, failover->term,
		       cause_names[failover->cause]);
	for (i = 0; i < actions.count; i++)
		action_runners[actions.list[i].type](group, &actions.list[i]);
}

/*
 * Decides on an event and runs the actions. An action may cause further events; these are queued
 * and decided on after the current one, so that decisions never nest.
 */
static void change_handle_event(_jh_group_t *group, const jh_failover_event_t *event)
{
	_jh_change_t *change = &group->change;

	g_queue_push_tail(&change->events, g_memdup2(event, sizeof(*event)));
	if (change->is_deciding)
		return;
	change->is_deciding = true;
	while (change->events.length > 0) {
		jh_failover_event_t *next_event = g_queue_pop_head(&change->events);

		change_decide(group, next_event);
		g_free(next_event);
	}
	change->is_deciding = false;
}

void _jh_group_on_connected(_jh_group_t *group, const char *member, uint64_t term)
{
	int index = jh_group_state_member_index(group->state, member);
	const jh_failover_event_t event = { .type = JH_FAILOVER_CONNECTED,
					    .member = (unsigned)index,
					    .term = term };

	if (index >= 0)
		change_handle_event(group, &event);
}

void _jh_group_on_result(_jh_group_t *group, const char *member, jh_failover_action_type_t type,
			 uint64_t term, const PGresult *result)
{
	int index = jh_group_state_member_index(group->state, member);
	jh_failover_event_t event = {
		.member = (unsigned)index,
		.term = term,
		.granted = g_str_equal(_jh_result_text(result, "granted"), "t"),
		.promised_term =
			g_ascii_strtoull(_jh_result_text(result, "promised_term"), NULL, 10),
	};

	jh_log(JH_LOG_INFO, "group", "command_answered",
	       "group=%s database=%s command=%s term=%" G_GUINT64_FORMAT " granted=%d", group->name,
	       member,
	       type == JH_FAILOVER_FENCE   ? "fence" :
	       type == JH_FAILOVER_PROMOTE ? "promote" :
					     "follow",
	       term, event.granted);
	if (index < 0 || type == JH_FAILOVER_FOLLOW)
		return;
	event.type = type == JH_FAILOVER_FENCE ? JH_FAILOVER_FENCED : JH_FAILOVER_PROMOTED;
	if (type == JH_FAILOVER_FENCE)
		event.held = _jh_result_position(result, "held");
	change_handle_event(group, &event);
}

/* ---- Observations ---- */

static void observation_fill(const _jh_group_t *group, Jh__Observation *observation, int64_t now_us)
{
	const jh_group_state_t *state = group->state;
	int primary = jh_group_state_primary(state);
	unsigned count = jh_group_state_member_count(state);
	unsigned i;

	observation->group = jh_frame_strdup(group->name);
	observation->term = jh_group_state_term(state);
	observation->primary = jh_frame_strdup(
		primary < 0 ? NULL : jh_group_state_member_name(state, (unsigned)primary));
	observation->primary_suspected = group->change.has_problem;
	observation->databases = g_new0(Jh__DatabaseView *, count);
	for (i = 0; i < count; i++) {
		const jh_member_report_t *own_report =
			jh_group_state_observer_report(state, group->groups->vm, i);

		if (own_report)
			observation->databases[observation->n_databases++] = _jh_database_view_new(
				jh_group_state_member_name(state, i), own_report, now_us);
	}
}

/* Sends Observations to the other observers while a problem lasts, and one when it has ended. */
static void group_send_observations(_jh_group_t *group, int64_t now_us)
{
	_jh_change_t *change = &group->change;
	bool has_problem = jh_failover_needs_observation(group->state, group->groups->vm, now_us);
	unsigned i;

	if (!has_problem && !change->has_problem)
		return;
	if (has_problem == change->has_problem &&
	    now_us - change->observation_sent_us < OBSERVATION_INTERVAL_US)
		return;
	change->has_problem = has_problem;
	change->observation_sent_us = now_us;
	for (i = 0; i < group->observers->len; i++) {
		const char *vm = g_ptr_array_index(group->observers, i);
		Jh__Frame *frame;

		if (vm == group->groups->vm)
			continue;
		frame = jh_frame_new(JH__FRAME__BODY_OBSERVATION);
		observation_fill(group, frame->observation, now_us);
		jh_frame_send(group->groups->task, vm, frame);
	}
}

void _jh_group_handle_observation(_jh_group_t *group, const jh_frame_msg_t *msg)
{
	const Jh__Observation *observation = msg->frame->observation;
	int64_t now_us = _jh_groups_now_us(group->groups);
	size_t i;

	if (msg->vm == group->groups->vm)
		return;
	for (i = 0; i < observation->n_databases; i++) {
		const Jh__DatabaseView *view = observation->databases[i];
		int index = jh_group_state_member_index(group->state, view->name);
		jh_member_report_t report;

		if (index < 0)
			continue;
		_jh_database_view_decode(view, now_us, &report);
		/*
		 * An Observation echoes no timestamp of this VM. Its age is therefore not bounded,
		 * and it must not make the member count as caught up.
		 */
		report.last_caught_up_us = 0;
		_jh_group_apply_report(group, msg->vm, (unsigned)index, &report);
	}
	_jh_group_apply_term(group, observation->term, observation->primary);
}

/* ---- timer ---- */

static gboolean control_is_unusable(gpointer name, gpointer control, gpointer now_us)
{
	(void)name;
	return !_jh_control_is_usable(control, *(int64_t *)now_us);
}

void _jh_group_change_tick(_jh_group_t *group, int64_t now_us, bool paused)
{
	const jh_failover_event_t event = {
		.type = JH_FAILOVER_TICK,
		.rank = group->change.rank,
		.paused = paused,
	};

	g_hash_table_foreach_remove(group->change.controls, control_is_unusable, &now_us);
	if (!group->is_observer)
		return;
	group_send_observations(group, now_us);
	change_handle_event(group, &event);
}

/* The change in progress names members by number, and these numbers are about to change. */
void _jh_group_change_reset(_jh_group_t *group)
{
	jh_failover_t *failover = &group->change.failover;

	failover->phase = JH_PHASE_IDLE;
	memset(failover->since_us, 0, sizeof(failover->since_us));
	memset(failover->follow_sent_us, 0, sizeof(failover->follow_sent_us));
	controls_close(group);
}

/* ---- rank of this VM ---- */

/*
 * The order in which rendezvous hashing chooses the observers is the order of succession. The first
 * one, with rank 0, is the coordinator.
 */
void _jh_group_change_update_rank(_jh_group_t *group)
{
	const _jh_groups_t *groups = group->groups;
	char *key = g_strconcat("group:", group->name, NULL);
	GPtrArray *candidates = g_ptr_array_new();
	unsigned rank;
	unsigned i;

	for (i = 0; i < group->observers->len; i++)
		g_ptr_array_add(candidates,
				(gpointer)jh_vm_find(groups->vms, group->observers->pdata[i]));
	group->change.rank = JH_FAILOVER_NO_RANK;
	for (rank = 0; candidates->len > 0; rank++) {
		const jh_vm_t *vm = jh_placement_choose(candidates, key, NULL);

		if (!vm)
			break;
		if (g_str_equal(vm->name, groups->vm))
			group->change.rank = rank;
		g_ptr_array_remove(candidates, (gpointer)vm);
	}
	g_ptr_array_free(candidates, TRUE);
	g_free(key);
}

/* ---- creation and release ---- */

void _jh_group_change_init(_jh_group_t *group)
{
	group->change.failover.issuer = JH_TERMS_FROM_MEMBERS;
	group->change.rank = JH_FAILOVER_NO_RANK;
	g_queue_init(&group->change.events);
	group->change.controls =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, _jh_control_free);
}

void _jh_group_change_clear(_jh_group_t *group)
{
	g_queue_clear_full(&group->change.events, g_free);
	g_hash_table_destroy(group->change.controls);
}
