#include "internal/_jh_group.h"
#include "jh_counter.h"
#include "jh_placement.h"

/*
 * Exchanges views of a group between VMs. A VM whose callers use a group subscribes to up to two of
 * its observers. An observer sends only reports that it made itself, never those of other VMs.
 */

/* A subscription expires unless it is renewed within the lease. */
#define SUBSCRIPTION_LEASE_MS 3000
#define SUBSCRIPTION_RENEW_INTERVAL_US ((int64_t)1000 * 1000)

/*
 * A VM that uses a group wants the reports of this many observers, itself included if it is one;
 * with two, one may fail.
 */
#define SOURCES_WANTED 2u

/*
 * Shortest interval between two views to a subscriber if a position changed. A changed status is
 * sent immediately.
 */
#define POSITION_VIEW_INTERVAL_US ((int64_t)50 * 1000)

/* Shortest interval between two views to a subscriber if only times changed. */
#define UNCHANGED_VIEW_INTERVAL_US ((int64_t)200 * 1000)

/* Longest lease that a subscriber can request. */
#define SUBSCRIPTION_LEASE_MAX_MS 60000

JH_COUNTER(views_sent_total, "jasminehill_group_views_sent_total", "views sent to other VMs");
JH_COUNTER(views_received_total, "jasminehill_group_views_received_total",
	   "views received from other VMs");

/*
 * struct subscriber - a VM that requested views
 * @expires_us: when the subscription expires
 * @request_sent_us: when its newest request was sent, on the subscriber's clock
 * @request_received_us: when that request arrived, on this VM's clock
 * @view_sent_us: when the last view was sent to it
 * @pending_change: most important change since that view
 */
typedef struct subscriber {
	int64_t expires_us;
	int64_t request_sent_us;
	int64_t request_received_us;
	int64_t view_sent_us;
	jh_group_change_t pending_change;
} subscriber_t;

/* Boot id of a VM that sends views, and version of the newest view accepted from it. */
typedef struct source {
	uint64_t boot;
	uint64_t version;
} source_t;

/* ---- building and parsing messages ---- */

/*
 * Return: age of @time_us in milliseconds, rounded up so that the time which the receiver computes
 * from it is never later than @time_us; -1 if @time_us is 0 (unknown)
 */
static int64_t time_to_age_ms(int64_t time_us, int64_t now_us)
{
	return time_us ? MAX(now_us - time_us, 0) / 1000 + 1 : -1;
}

/* Return: the time @age_ms before @now_us, at least 1; 0 (unknown) if @age_ms is negative */
static int64_t age_ms_to_time_us(int64_t age_ms, int64_t now_us)
{
	return age_ms < 0 ? 0 : MAX(now_us - age_ms * 1000, 1);
}

Jh__DatabaseView *_jh_database_view_new(const char *name, const jh_member_report_t *report,
					int64_t now_us)
{
	Jh__DatabaseView *view = g_new0(Jh__DatabaseView, 1);

	jh__database_view__init(view);
	view->name = jh_frame_strdup(name);
	view->reachable = report->reachable;
	view->is_primary = report->is_primary;
	view->promised_term = report->promised_term;
	view->role_term = report->term;
	view->term = report->applied.term;
	view->index = report->applied.index;
	view->held_term = report->held.term;
	view->held_index = report->held.index;
	view->age_ms = time_to_age_ms(report->last_caught_up_us, now_us);
	view->silent_ms = time_to_age_ms(report->last_message_us, now_us);
	view->report_age_ms = time_to_age_ms(report->at_us, now_us);
	view->wait_us = report->wait_us;
	return view;
}

void _jh_database_view_decode(const Jh__DatabaseView *view, int64_t made_us,
			      jh_member_report_t *report)
{
	*report = (jh_member_report_t){
		.reachable = view->reachable,
		.is_primary = view->is_primary,
		.term = view->role_term,
		.promised_term = view->promised_term,
		.held = { view->held_term, view->held_index },
		.applied = { view->term, view->index },
		.at_us = age_ms_to_time_us(view->report_age_ms, made_us),
		.last_caught_up_us = age_ms_to_time_us(view->age_ms, made_us),
		.last_message_us = age_ms_to_time_us(view->silent_ms, made_us),
		.wait_us = view->wait_us,
	};
}

static void view_fill(const _jh_group_t *group, Jh__GroupView *view, int64_t now_us)
{
	const jh_group_state_t *state = group->state;
	int primary = jh_group_state_primary(state);
	unsigned count = jh_group_state_member_count(state);
	unsigned i;

	view->group = jh_frame_strdup(group->name);
	view->term = jh_group_state_term(state);
	view->primary = jh_frame_strdup(
		primary < 0 ? NULL : jh_group_state_member_name(state, (unsigned)primary));
	view->version = group->version;
	view->databases = g_new0(Jh__DatabaseView *, count);
	for (i = 0; i < count; i++) {
		const jh_member_report_t *own_report =
			jh_group_state_observer_report(state, group->groups->vm, i);

		if (own_report)
			view->databases[view->n_databases++] = _jh_database_view_new(
				jh_group_state_member_name(state, i), own_report, now_us);
	}
}

/*
 * The view echoes the timestamp of the subscriber's newest request and the time since then, from
 * which the subscriber bounds the age of the view on its own clock.
 */
static void subscriber_send_view(_jh_group_t *group, const char *vm, subscriber_t *subscriber,
				 int64_t now_us)
{
	Jh__Frame *frame = jh_frame_new(JH__FRAME__BODY_GROUP_VIEW);

	group->version++;
	view_fill(group, frame->group_view, now_us);
	frame->group_view->echo_us = subscriber->request_sent_us;
	frame->group_view->elapsed_us = now_us - subscriber->request_received_us;
	subscriber->view_sent_us = now_us;
	subscriber->pending_change = JH_GROUP_UNCHANGED;
	jh_counter_add(&views_sent_total, 1);
	jh_frame_send(group->groups->task, vm, frame);
}

/* ---- sending views to subscribers ---- */

static int64_t view_interval_us(jh_group_change_t change)
{
	switch (change) {
	case JH_GROUP_STATUS_CHANGED:
		return 0;
	case JH_GROUP_POSITION_CHANGED:
		return POSITION_VIEW_INTERVAL_US;
	default:
		return UNCHANGED_VIEW_INTERVAL_US;
	}
}

static void subscriber_send_if_due(_jh_group_t *group, const char *vm, subscriber_t *subscriber,
				   int64_t now_us)
{
	if (now_us - subscriber->view_sent_us >= view_interval_us(subscriber->pending_change))
		subscriber_send_view(group, vm, subscriber, now_us);
}

void _jh_group_views_send_change(_jh_group_t *group, jh_group_change_t change)
{
	int64_t now_us = _jh_groups_now_us(group->groups);
	GHashTableIter iter;
	gpointer vm;
	gpointer value;

	if (!group->is_observer)
		return;
	g_hash_table_iter_init(&iter, group->subscribers);
	while (g_hash_table_iter_next(&iter, &vm, &value)) {
		subscriber_t *subscriber = value;

		subscriber->pending_change = MAX(subscriber->pending_change, change);
		if (change != JH_GROUP_UNCHANGED)
			subscriber_send_if_due(group, vm, subscriber, now_us);
	}
}

/* Sends a view without reports, only the term and its primary. */
static void announcement_send(_jh_group_t *group, const char *vm)
{
	Jh__Frame *frame = jh_frame_new(JH__FRAME__BODY_GROUP_VIEW);
	int primary = jh_group_state_primary(group->state);

	frame->group_view->group = jh_frame_strdup(group->name);
	frame->group_view->term = jh_group_state_term(group->state);
	frame->group_view->primary = jh_frame_strdup(
		primary < 0 ? NULL : jh_group_state_member_name(group->state, (unsigned)primary));
	frame->group_view->version = ++group->version;
	jh_frame_send(group->groups->task, vm, frame);
}

void _jh_group_views_send_announcement(_jh_group_t *group)
{
	unsigned i;

	for (i = 0; i < group->observers->len; i++) {
		const char *vm = g_ptr_array_index(group->observers, i);

		if (vm != group->groups->vm)
			announcement_send(group, vm);
	}
}

static gboolean subscriber_is_expired(gpointer vm, gpointer value, gpointer now_us)
{
	(void)vm;
	return ((subscriber_t *)value)->expires_us <= *(int64_t *)now_us;
}

void _jh_group_handle_view_request(_jh_group_t *group, const jh_frame_msg_t *msg)
{
	const Jh__ViewRequest *request = msg->frame->view_request;
	int64_t now_us = _jh_groups_now_us(group->groups);
	int64_t expires_us = now_us + CLAMP(request->lease_ms, 0, SUBSCRIPTION_LEASE_MAX_MS) * 1000;
	subscriber_t *subscriber;

	if (msg->vm == group->groups->vm) {
		/* The next tick subscribes to observers and publishes the newest known state. */
		if (group->wanted_until_us < now_us)
			group->next_request_us = now_us;
		group->wanted_until_us = MAX(group->wanted_until_us, expires_us);
		group->needs_publish = true;
		return;
	}
	subscriber = g_hash_table_lookup(group->subscribers, msg->vm);
	if (!subscriber) {
		subscriber = g_new0(subscriber_t, 1);
		subscriber->pending_change = JH_GROUP_STATUS_CHANGED;
		g_hash_table_insert(group->subscribers, (gpointer)msg->vm, subscriber);
	}
	subscriber->expires_us = expires_us;
	subscriber->request_sent_us = request->stamp_us;
	subscriber->request_received_us = now_us;
	if (group->is_observer)
		subscriber_send_if_due(group, msg->vm, subscriber, now_us);
}

/* ---- receiving views ---- */

/*
 * Stores the view's version if it is newer than that of the last view from its sender.
 *
 * Return: true if it is newer
 */
static bool source_update_version(_jh_group_t *group, const jh_frame_msg_t *msg)
{
	source_t *source = g_hash_table_lookup(group->sources, msg->vm);
	uint64_t version = msg->frame->group_view->version;

	if (!source) {
		source = g_new0(source_t, 1);
		g_hash_table_insert(group->sources, (gpointer)msg->vm, source);
	}
	if (source->boot == msg->boot && version <= source->version)
		return false;
	source->boot = msg->boot;
	source->version = version;
	return true;
}

void _jh_group_handle_view(_jh_group_t *group, const jh_frame_msg_t *msg)
{
	const Jh__GroupView *view = msg->frame->group_view;
	int64_t now_us = _jh_groups_now_us(group->groups);
	int64_t made_us = now_us;
	size_t i;

	if (msg->vm == group->groups->vm || !source_update_version(group, msg))
		return;
	jh_counter_add(&views_received_total, 1);
	/*
	 * This VM sent the echoed request at echo_us, and the observer made the view elapsed_us
	 * after it received that request. The view was made no earlier than the sum of both.
	 */
	if (view->echo_us > 0)
		made_us = MIN(now_us, view->echo_us + MAX(view->elapsed_us, 0));
	for (i = 0; i < view->n_databases; i++) {
		int index = jh_group_state_member_index(group->state, view->databases[i]->name);
		jh_member_report_t report;

		if (index < 0)
			continue;
		_jh_database_view_decode(view->databases[i], made_us, &report);
		_jh_group_apply_report(group, msg->vm, (unsigned)index, &report);
	}
	_jh_group_apply_term(group, view->term, view->primary);
}

/* ---- subscribing to observers ---- */

static void view_request_send(_jh_group_t *group, const char *vm, int64_t now_us)
{
	Jh__Frame *frame = jh_frame_new(JH__FRAME__BODY_VIEW_REQUEST);

	frame->view_request->group = jh_frame_strdup(group->name);
	frame->view_request->lease_ms = SUBSCRIPTION_LEASE_MS;
	frame->view_request->stamp_us = now_us;
	jh_frame_send(group->groups->task, vm, frame);
}

static bool vm_is_in_own_dc(const _jh_group_t *group, const char *name)
{
	const jh_vm_t *self = jh_vm_find(group->groups->vms, group->groups->vm);
	const jh_vm_t *vm = jh_vm_find(group->groups->vms, name);

	return self && vm && g_str_equal(self->dc, vm->dc);
}

/* Subscribes to observers, first to those in this data centre. */
static void group_subscribe(_jh_group_t *group, int64_t now_us)
{
	unsigned missing_sources = group->is_observer ? SOURCES_WANTED - 1 : SOURCES_WANTED;
	unsigned round;
	unsigned i;

	for (round = 0; round < 2; round++) {
		for (i = 0; i < group->observers->len && missing_sources > 0; i++) {
			const char *vm = g_ptr_array_index(group->observers, i);

			if (vm == group->groups->vm || vm_is_in_own_dc(group, vm) != (round == 0))
				continue;
			view_request_send(group, vm, now_us);
			missing_sources--;
		}
	}
}

void _jh_group_views_tick(_jh_group_t *group, int64_t now_us)
{
	GHashTableIter iter;
	gpointer vm;
	gpointer value;

	g_hash_table_foreach_remove(group->subscribers, subscriber_is_expired, &now_us);
	if (group->is_observer) {
		g_hash_table_iter_init(&iter, group->subscribers);
		while (g_hash_table_iter_next(&iter, &vm, &value))
			subscriber_send_if_due(group, vm, value, now_us);
	}
	if (now_us < group->wanted_until_us && now_us >= group->next_request_us) {
		group->next_request_us = now_us + SUBSCRIPTION_RENEW_INTERVAL_US;
		group_subscribe(group, now_us);
	}
}

void _jh_group_on_peer_down(_jh_group_t *group, const char *vm)
{
	jh_group_state_drop_reports(group->state, vm);
	g_hash_table_remove(group->subscribers, vm);
	/* The VM may have been a source of views, so the next tick subscribes again. */
	group->next_request_us = 0;
	group->needs_publish = true;
}

/* ---- creation and release ---- */

void _jh_group_views_init(_jh_group_t *group)
{
	group->subscribers = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	group->sources = g_hash_table_new_full(NULL, NULL, NULL, g_free);
}

void _jh_group_views_clear(_jh_group_t *group)
{
	g_hash_table_destroy(group->subscribers);
	g_hash_table_destroy(group->sources);
}
