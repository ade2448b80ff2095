/* A request on its way: key, quota, choice of a database and its owner, attempts, deadline. Its
 * answer is in entry_answer.c.
 */

#include "internal/entry.h"

#include "jh_counter.h"
#include "jh_log.h"
#include "jh_placement.h"
#include "jh_service.h"

/* Part of the time that is left for which a request waits for quota before it is refused. */
#define QUOTA_WAIT_SHARE 2

/* When a request that found no place or no room may come back. */
#define RETRY_AFTER_MS 200

/* An owner is given a little less time than the caller, so that its "not run" still arrives. */
#define OWNER_MARGIN_SHARE 10
#define OWNER_MARGIN_MAX_MS 20

/* Added to the expected time of a database in another data centre. */
#define OTHER_DC_US 2000

#define DEFAULT_DEADLINE_MS 10000

JH_COUNTER(requests_total, "jasminehill_requests_total", "requests of callers for a database");
JH_COUNTER(attempts_total, "jasminehill_attempts_total", "requests sent to owners of databases");
JH_COUNTER(read_waits_total, "jasminehill_read_waits_total",
	   "reads that waited for a replica to cover their session");
JH_COUNTER(waiting_gauge, "jasminehill_requests_waiting", "requests that wait to be placed");

/* ---- state ---- */

static bool state_waits(_jh_request_state_t state)
{
	return state == JH_REQUEST_QUOTA || state == JH_REQUEST_WAITING ||
	       state == JH_REQUEST_BACKOFF;
}

static void request_set_state(_jh_request_t *request, _jh_request_state_t state)
{
	_jh_entry_t *entry = request->entry;

	if (state_waits(request->state))
		entry->waiting--;
	if (state_waits(state))
		entry->waiting++;
	request->state = state;
	jh_counter_set(&waiting_gauge, entry->waiting);
}

static _jh_caller_t *request_caller(const _jh_request_t *request)
{
	return jh_table_get(request->entry->callers, request->caller);
}

static int64_t request_left_us(const _jh_request_t *request)
{
	return request->until_us - _jh_entry_now_us(request->entry);
}

void _jh_request_free(_jh_request_t *request)
{
	_jh_entry_t *entry = request->entry;
	struct ev_loop *loop = jh_task_loop(entry->task);

	if (state_waits(request->state))
		entry->waiting--;
	ev_timer_stop(loop, &request->deadline);
	ev_timer_stop(loop, &request->pause);
	jh_table_remove(entry->requests, request->handle);
	_jh_answer_reset(&request->answer);
	g_ptr_array_free(request->ops, TRUE);
	g_free(request->request_id);
	g_free(request);
}

/* ---- final refusal ---- */

void _jh_release_send(_jh_entry_t *entry, const char *vm, uint64_t id, uint64_t pin)
{
	Jh__Frame *frame = jh_frame_new(JH__FRAME__BODY_RELEASE);

	frame->release->id = id;
	frame->release->pin = pin;
	jh_frame_send(entry->task, vm, frame);
}

/* The owner may still run the attempt: have it cancelled and rolled back. */
static void request_release(_jh_request_t *request)
{
	if (request->state != JH_REQUEST_SENT)
		return;
	_jh_release_send(request->entry, request->vm, request->handle, request->pin.id);
}

/* An open transaction does not outlive a refused request: the caller was told of an error, so that
 * what follows must not run in it, and it must not run outside of it either.
 */
static void caller_abort_transaction(_jh_caller_t *caller, const _jh_request_t *request)
{
	if (caller->transaction == 'I' && caller->pin.id == 0)
		return;
	_jh_caller_drop_pin(caller, request->state != JH_REQUEST_SENT);
}

void _jh_request_refuse(_jh_request_t *request, const _jh_report_t *report)
{
	_jh_caller_t *caller = request_caller(request);
	bool synced = request->synced;

	jh_log(JH_LOG_INFO, "entry", "request_refused",
	       "session=%" G_GUINT64_FORMAT " request=%" G_GUINT64_FORMAT
	       " team=%s route=%s group=%s attempts=%u fate=%d reason=%s",
	       request->caller, request->handle, jh_log_value(request->team),
	       jh_log_value(request->route), jh_log_value(request->group), request->attempt,
	       report->fate, jh_log_value(report->message));
	request_release(request);
	if (caller) {
		caller->request = JH_HANDLE_NONE;
		caller_abort_transaction(caller, request);
		_jh_caller_fail(caller, report);
		if (synced && !report->fatal)
			_jh_caller_write_ready(caller);
		caller->skip = !synced;
	}
	_jh_request_free(request);
	if (caller)
		_jh_caller_resume(caller);
}

static void request_refuse(_jh_request_t *request, _jh_refusal_t refusal, _jh_run_outcome_t fate,
			   const char *message)
{
	_jh_report_t report;

	_jh_report_set(&report, refusal, "%s", message);
	report.fate = request->unknown ? JH_RUN_OUTCOME_UNKNOWN : fate;
	report.retry_after_ms = RETRY_AFTER_MS;
	_jh_request_refuse(request, &report);
}

/* ---- deadline ---- */

static void on_deadline(struct ev_loop *loop, ev_timer *watcher, int events)
{
	_jh_request_t *request = watcher->data;
	_jh_report_t report = request->reason;

	(void)loop;
	(void)events;
	if (request->state == JH_REQUEST_SENT || request->state == JH_REQUEST_RECORDING) {
		request_refuse(request, JH_REFUSE_DEADLINE, JH_RUN_OUTCOME_UNKNOWN,
			       "the deadline passed before the answer was complete");
		return;
	}
	if (request->unknown)
		report.fate = JH_RUN_OUTCOME_UNKNOWN;
	report.retry_after_ms = RETRY_AFTER_MS;
	_jh_request_refuse(request, &report);
}

static void on_pause(struct ev_loop *loop, ev_timer *watcher, int events)
{
	(void)loop;
	(void)events;
	_jh_request_place(watcher->data);
}

static void pause_start(_jh_request_t *request, int64_t wait_us)
{
	struct ev_loop *loop = jh_task_loop(request->entry->task);

	ev_timer_stop(loop, &request->pause);
	ev_timer_set(&request->pause, (double)wait_us / 1e6, 0);
	ev_timer_start(loop, &request->pause);
}

/* ---- sending ---- */

static int64_t owner_deadline_ms(const _jh_request_t *request)
{
	int64_t left_ms = request_left_us(request) / 1000;

	return left_ms - MIN(left_ms / OWNER_MARGIN_SHARE, OWNER_MARGIN_MAX_MS);
}

static void frame_add_ops(Jh__Request *body, const GPtrArray *ops)
{
	unsigned i;

	body->n_ops = ops->len;
	body->ops = g_new0(Jh__Op *, ops->len);
	for (i = 0; i < ops->len; i++)
		body->ops[i] = _jh_op_copy(g_ptr_array_index(ops, i));
}

static double team_weight(const _jh_entry_t *entry, const char *name)
{
	const jh_team_t *team = entry->config ? jh_config_find_team(entry->config, name) : NULL;

	return team ? team->weight : 1;
}

static Jh__Frame *request_frame(const _jh_request_t *request)
{
	const _jh_entry_t *entry = request->entry;
	Jh__Frame *frame = jh_frame_new(JH__FRAME__BODY_REQUEST);
	Jh__Request *body = frame->request;

	body->id = request->handle;
	body->attempt = request->attempt;
	body->route = jh_strdup(request->route);
	body->team = jh_strdup(request->team);
	body->group = jh_strdup(request->group);
	body->database = jh_strdup(request->database);
	body->write = request->write;
	body->repeatable = request->repeatable;
	body->need_term = request->need.position.term;
	body->need_index = request->need.position.index;
	body->max_age_ms =
		request->need.max_age_us < 0 ? JH_AGE_ANY : request->need.max_age_us / 1000;
	body->deadline_ms = owner_deadline_ms(request);
	body->pin = request->pin.id;
	body->weight = team_weight(entry, request->team);
	body->request_id = jh_strdup(request->request_id);
	body->session = request->caller;
	body->config_version = entry->config ? entry->config->version : 0;
	frame_add_ops(body, request->ops);
	return frame;
}

static void request_send(_jh_request_t *request, const char *vm, const char *database)
{
	request->vm = g_intern_string(vm);
	request->database = g_intern_string(database);
	request->attempt++;
	_jh_answer_reset(&request->answer);
	request_set_state(request, JH_REQUEST_SENT);
	ev_timer_stop(jh_task_loop(request->entry->task), &request->pause);
	jh_counter_add(&attempts_total, 1);
	jh_log(JH_LOG_DEBUG, "entry", "request_sent",
	       "session=%" G_GUINT64_FORMAT " request=%" G_GUINT64_FORMAT
	       " attempt=%u team=%s route=%s group=%s database=%s owner=%s",
	       request->caller, request->handle, request->attempt, jh_log_value(request->team),
	       jh_log_value(request->route), jh_log_value(request->group), database, vm);
	jh_frame_send(request->entry->task, vm, request_frame(request));
}

/* ---- placing ---- */

/* Wait for what is missing; @reason is the final refusal if it does not come in time. */
static void request_wait(_jh_request_t *request, _jh_refusal_t reason, const char *message)
{
	_jh_report_set(&request->reason, reason, "%s: %s", request->group, message);
	request_set_state(request, JH_REQUEST_WAITING);
}

static void place_write(_jh_request_t *request, const jh_group_view_t *view)
{
	const _jh_place_t *place;

	if (!view->primary) {
		request_wait(request, JH_REFUSE_NO_PRIMARY, "no primary is known");
		return;
	}
	place = _jh_entry_place(request->entry, view->primary);
	if (!place->database) {
		request_wait(request, JH_REFUSE_NO_PRIMARY, "the primary is departing");
		return;
	}
	if (!place->owner) {
		request_wait(request, JH_REFUSE_NO_OWNER, "no VM owns the primary");
		return;
	}
	request->term = view->term;
	request_send(request, place->owner, place->database->name);
}

static void member_fill(const _jh_request_t *request, const jh_group_view_t *view,
			const jh_database_view_t *seen, jh_read_member_t *member)
{
	_jh_entry_t *entry = request->entry;
	const char *dc = jh_kernel_settings(jh_task_kernel(entry->task))->dc;
	const _jh_place_t *place = _jh_entry_place(entry, seen->name);

	*member = (jh_read_member_t){
		.position = seen->position,
		.held = seen->held,
		.fresh_us = seen->fresh_us,
		.wait_us = seen->wait_us,
		.primary = g_strcmp0(view->primary, seen->name) == 0,
		.usable = seen->reachable && place->owner &&
			  g_strcmp0(seen->name, request->avoid) != 0,
	};
	if (place->database && g_strcmp0(place->database->dc, dc) != 0)
		member->distance_us = OTHER_DC_US;
}

static void read_wait(_jh_request_t *request, jh_read_reason_t reason)
{
	switch (reason) {
	case JH_READ_REASON_AHEAD:
		request_wait(request, JH_REFUSE_AHEAD,
			     "the session token is ahead of every database of the group");
		break;
	case JH_READ_REASON_BEHIND:
		request_wait(request, JH_REFUSE_BEHIND,
			     "no reachable database covers the session token yet");
		break;
	case JH_READ_REASON_AGE:
		request_wait(request, JH_REFUSE_AGE,
			     "no reachable database is fresh enough for the route's age");
		break;
	default:
		request_wait(request, JH_REFUSE_UNREACHABLE, "no database is reachable");
		break;
	}
}

static void read_send(_jh_request_t *request, const jh_database_view_t *seen)
{
	request_send(request, _jh_entry_place(request->entry, seen->name)->owner, seen->name);
}

static void place_read(_jh_request_t *request, const jh_group_view_t *view)
{
	unsigned count = view->databases->len;
	jh_read_member_t *members = g_new0(jh_read_member_t, count);
	jh_read_choice_t choice;
	unsigned i;

	for (i = 0; i < count; i++)
		member_fill(request, view, g_ptr_array_index(view->databases, i), &members[i]);
	request->need.view_term = view->term;
	request->term = view->term;
	choice = jh_read_choose(members, count, &request->need, _jh_entry_now_us(request->entry));
	g_free(members);
	switch (choice.action) {
	case JH_READ_SEND:
		read_send(request, g_ptr_array_index(view->databases, choice.member));
		break;
	case JH_READ_WAIT_REPLICA:
		jh_counter_add(&read_waits_total, 1);
		read_wait(request, choice.reason);
		pause_start(request, choice.wait_us);
		break;
	case JH_READ_WAIT_VIEW:
		read_wait(request, choice.reason);
		break;
	}
}

/* A database that refused the last attempt is passed over once; if no other serves the read, it
 * may be asked again.
 */
static void place_read_elsewhere(_jh_request_t *request, const jh_group_view_t *view)
{
	place_read(request, view);
	if (request->state == JH_REQUEST_WAITING && request->avoid) {
		request->avoid = NULL;
		place_read(request, view);
	}
}

void _jh_request_place(_jh_request_t *request)
{
	const _jh_entry_group_t *group;

	if (request->pin.id != 0) {
		request_send(request, request->pin.vm, request->pin.database);
		return;
	}
	group = _jh_entry_group(request->entry, request->group);
	if (!group->view)
		request_wait(request, JH_REFUSE_UNREACHABLE, "no view of the group yet");
	else if (request->write)
		place_write(request, group->view);
	else
		place_read_elsewhere(request, group->view);
}

/* An owner that is believed dead answers no more. One that is only suspected may still, so that
 * waiting is better than an unknown outcome, but a read goes elsewhere.
 */
static bool owner_is_lost(const _jh_request_t *request)
{
	const jh_vm_t *vm = jh_vm_find(request->entry->vms, request->vm);

	if (!vm || vm->state == JH_VM_DEAD)
		return true;
	return vm->state == JH_VM_SUSPECT && request->safe && request->pin.id == 0 &&
	       !request->answer.released;
}

void _jh_request_on_view(_jh_request_t *request)
{
	const _jh_entry_group_t *group;

	if (request->state == JH_REQUEST_WAITING) {
		_jh_request_place(request);
		return;
	}
	if (request->state != JH_REQUEST_BACKOFF || request->pin.id != 0)
		return;
	/* A new term is what a redirected request waits for; its pause need not run out. */
	group = _jh_entry_group(request->entry, request->group);
	if (group->view && group->view->term > request->term)
		_jh_request_place(request);
}

static bool owner_has_changed(const _jh_request_t *request)
{
	return request->pin.id == 0 &&
	       _jh_entry_place(request->entry, request->database)->owner != request->vm;
}

void _jh_request_on_vms(_jh_request_t *request)
{
	if (request->state == JH_REQUEST_SENT && owner_is_lost(request))
		_jh_request_on_peer_down(request);
	else if (request->state == JH_REQUEST_BACKOFF && owner_has_changed(request))
		_jh_request_place(request);
	else
		_jh_request_on_view(request);
}

/* ---- attempts that failed ---- */

static jh_retry_budget_t *route_budget(_jh_entry_t *entry, const char *route)
{
	jh_retry_budget_t *budget = g_hash_table_lookup(entry->budgets, route);

	if (!budget) {
		budget = g_new0(jh_retry_budget_t, 1);
		g_hash_table_insert(entry->budgets, (gpointer)route, budget);
	}
	return budget;
}

/* request->reason tells why. */
void _jh_request_give_up(_jh_request_t *request, jh_retry_outcome_t outcome, uint32_t after_ms)
{
	_jh_report_t report = request->reason;

	request->unknown |= outcome == JH_RETRY_UNKNOWN;
	report.fate = request->unknown ? JH_RUN_OUTCOME_UNKNOWN : JH_RUN_OUTCOME_NOT_RUN;
	report.retry_after_ms = MAX(after_ms, RETRY_AFTER_MS);
	request_set_state(request, JH_REQUEST_RECORDING);
	_jh_request_refuse(request, &report);
}

void _jh_request_retry(_jh_request_t *request, jh_retry_outcome_t outcome, uint32_t after_ms)
{
	_jh_entry_t *entry = request->entry;
	jh_retry_event_t event = {
		.outcome = outcome,
		.safe = request->safe,
		.released = request->answer.released,
		.pinned = request->pin.id != 0,
		.attempts = request->attempt,
		.now_us = _jh_entry_now_us(entry),
		.until_us = request->until_us,
		.retry_after_ms = after_ms,
		.jitter = g_rand_double(entry->random),
	};
	int64_t wait_us = jh_retry_decide(route_budget(entry, request->route), &event);

	if (wait_us < 0) {
		_jh_request_give_up(request, outcome, after_ms);
		return;
	}
	request->unknown |= outcome == JH_RETRY_UNKNOWN;
	request->avoid = request->database;
	request_set_state(request, JH_REQUEST_BACKOFF);
	pause_start(request, wait_us);
}

void _jh_request_on_peer_down(_jh_request_t *request)
{
	_jh_report_set(&request->reason, JH_REFUSE_LOST,
		       "%s: the connection to the owner of %s was lost", request->group,
		       request->database);
	_jh_request_retry(request, JH_RETRY_UNKNOWN, 0);
}

void _jh_request_cancel(_jh_request_t *request)
{
	_jh_run_outcome_t fate =
		request->state == JH_REQUEST_SENT ? JH_RUN_OUTCOME_UNKNOWN : JH_RUN_OUTCOME_NOT_RUN;

	if (request->state == JH_REQUEST_RECORDING)
		return;
	request_refuse(request, JH_REFUSE_CANCELED, fate,
		       "canceling statement due to user request");
}

void _jh_request_abandon(_jh_request_t *request)
{
	request_release(request);
	_jh_request_free(request);
}

/* ---- quota ---- */

static bool module_runs(const _jh_entry_t *entry, const char *name)
{
	return jh_kernel_find(jh_task_kernel(entry->task), name) != JH_HANDLE_NONE;
}

void _jh_request_on_quota(_jh_request_t *request, bool granted, uint32_t retry_after_ms)
{
	_jh_report_t report;

	if (granted) {
		_jh_request_place(request);
		return;
	}
	_jh_report_set(&report, JH_REFUSE_QUOTA, "team %s is over its rate", request->team);
	report.retry_after_ms = retry_after_ms;
	_jh_request_refuse(request, &report);
}

/* A transaction's end is not charged: refusing it would hold a connection that others need. Open
 * routes are used without a key, so that there is no team whose rate may be taken.
 */
static void request_ask_quota(_jh_request_t *request)
{
	_jh_entry_t *entry = request->entry;

	if (request->cost == 0 || !*request->team || !module_runs(entry, "quota")) {
		_jh_request_place(request);
		return;
	}
	_jh_report_set(&request->reason, JH_REFUSE_QUOTA, "team %s is over its rate",
		       request->team);
	jh_quota_ask(entry->task, request->team, request->cost,
		     request_left_us(request) / QUOTA_WAIT_SHARE, request->handle);
}

/* ---- new requests ---- */

static int64_t caller_deadline_us(const _jh_caller_t *caller, const jh_route_t *route)
{
	int64_t ms = route->deadline_ms > 0 ? route->deadline_ms : DEFAULT_DEADLINE_MS;

	if (caller->deadline_ms > 0)
		ms = MIN(ms, caller->deadline_ms);
	return ms * 1000;
}

static jh_read_need_t caller_need(const _jh_caller_t *caller, const jh_route_t *route)
{
	int64_t age_ms = caller->has_max_age ? caller->max_age_ms : route->max_age_ms;

	return (jh_read_need_t){
		.position = jh_session_get_position(&caller->session, route->group),
		.since_us = caller->session_us,
		/* 0 asks for the session's own writes only, which the position covers. */
		.max_age_us = age_ms > 0 ? age_ms * 1000 : JH_AGE_ANY,
	};
}

static void request_timers(_jh_request_t *request)
{
	struct ev_loop *loop = jh_task_loop(request->entry->task);

	ev_timer_init(&request->deadline, on_deadline, (double)request_left_us(request) / 1e6, 0);
	request->deadline.data = request;
	ev_timer_start(loop, &request->deadline);
	ev_timer_init(&request->pause, on_pause, 0, 0);
	request->pause.data = request;
}

static _jh_request_t *request_make(_jh_caller_t *caller, const jh_route_t *route, GPtrArray *ops,
				   const _jh_request_kind_t *kind, bool write)
{
	_jh_entry_t *entry = caller->entry;
	_jh_request_t *request = g_new0(_jh_request_t, 1);

	request->entry = entry;
	request->handle = jh_table_add(entry->requests, request);
	request->caller = caller->handle;
	request->state = JH_REQUEST_RECORDING;
	request->route = g_intern_string(route->name);
	request->group = g_intern_string(route->group);
	request->team = caller->team ? caller->team : "";
	request->ops = ops;
	request->write = write;
	request->repeatable = route->repeatable;
	request->synced = kind->synced;
	request->cost = kind->cost;
	request->need = caller_need(caller, route);
	request->until_us = _jh_entry_now_us(entry) + caller_deadline_us(caller, route);
	request->pin = caller->pin;
	request->request_id = g_steal_pointer(&caller->request_id);
	/* The owner runs a request id once and gives its answer again, but a batch that ends its
	 * own transaction may lose the id and keep the rest.
	 */
	request->safe = !write || route->repeatable || (request->request_id && !kind->controls);
	_jh_answer_reset(&request->answer);
	request_timers(request);
	caller->request = request->handle;
	jh_counter_add(&requests_total, 1);
	jh_retry_budget_add_request(route_budget(entry, request->route));
	return request;
}

/* The owner keeps a request id in the transaction of the request itself. */
static int check_request_id(const _jh_caller_t *caller, const _jh_request_kind_t *kind, bool write,
			    _jh_report_t *report)
{
	if (!caller->request_id || !write || (!kind->controls && caller->transaction == 'I'))
		return 0;
	return _jh_report_set(report, JH_REFUSE_UNSUPPORTED,
			      "a request id is for one batch that is a transaction by itself");
}

/* Return: 0, or -1 with the report set */
static int check_bounds(const _jh_caller_t *caller, const jh_route_t *route, bool write,
			_jh_report_t *report)
{
	if (write && !jh_session_has_room(&caller->session, route->group))
		return _jh_report_set(report, JH_REFUSE_SESSION_FULL,
				      "a session writes to at most %u groups",
				      JH_SESSION_MAX_GROUPS);
	/* Refused as an answer of its own, since a client that is told while it is idle finds only
	 * a closed connection when it sends its next request.
	 */
	if (caller->entry->draining && caller->transaction == 'I' && !caller->unsynced) {
		_jh_report_set(report, JH_REFUSE_DRAINING,
			       "this entry is shutting down, connect again");
		report->retry_after_ms = 0;
		return -1;
	}
	/* A transaction that is open may end: the record keeps room for work that already runs. */
	if (caller->entry->record_retry_after_ms > 0 && caller->transaction == 'I') {
		_jh_report_set(report, JH_REFUSE_RECORD, "no record of answers can be kept now");
		report->retry_after_ms = caller->entry->record_retry_after_ms;
		return -1;
	}
	if (caller->entry->waiting < JH_ENTRY_MAX_WAITING)
		return 0;
	_jh_report_set(report, JH_REFUSE_OVERLOADED, "too many requests wait at this entry");
	report->retry_after_ms = RETRY_AFTER_MS;
	return -1;
}

static void refuse_new(_jh_caller_t *caller, GPtrArray *ops, bool synced,
		       const _jh_report_t *report)
{
	g_ptr_array_free(ops, TRUE);
	_jh_caller_drop_pin(caller, true);
	_jh_caller_fail(caller, report);
	if (synced && !report->fatal)
		_jh_caller_write_ready(caller);
	caller->skip = !synced;
}

static bool caller_writes(const _jh_caller_t *caller, const jh_route_t *route,
			  bool begins_read_only)
{
	if (route->access == JH_ACCESS_READ || caller->read_only)
		return false;
	if (caller->transaction != 'I')
		return !caller->tx_read_only;
	return !begins_read_only;
}

void _jh_request_new(_jh_caller_t *caller, GPtrArray *ops, const _jh_request_kind_t *kind)
{
	_jh_report_t report;
	const jh_route_t *route = _jh_caller_authorize(caller, &report);
	bool write = route && caller_writes(caller, route, kind->begins_read_only);
	_jh_request_t *request;

	if (!route || check_request_id(caller, kind, write, &report) < 0 ||
	    check_bounds(caller, route, write, &report) < 0) {
		refuse_new(caller, ops, kind->synced, &report);
		return;
	}
	if (caller->transaction == 'I')
		caller->tx_read_only = !write;
	request = request_make(caller, route, ops, kind, write);
	request_set_state(request, JH_REQUEST_QUOTA);
	request_ask_quota(request);
}
