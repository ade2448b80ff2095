/* Requests: checks, quota, choice of a database and its owner, attempts and deadline.
 * caller_batch.c starts requests, entry.c passes views and VM lists to them, entry_answer.c
 * receives the responses.
 */

#include "internal/entry.h"

#include "jh_counter.h"
#include "jh_log.h"
#include "jh_placement.h"
#include "jh_service.h"

/* A request waits for quota for at most its remaining time divided by this. The rest of the time is
 * left for its attempts.
 */
#define QUOTA_WAIT_DIVISOR 2

/* Default retry hint of refused requests. */
#define RETRY_AFTER_MS 200

/* The owner gets a shorter deadline than the caller, so that its response "not run" arrives in
 * time. The margin is the remaining time divided by OWNER_MARGIN_DIVISOR, but at most
 * OWNER_MARGIN_MAX_MS.
 */
#define OWNER_MARGIN_DIVISOR 10
#define OWNER_MARGIN_MAX_MS 20

/* Assumed extra round-trip time to a database in another data centre. */
#define OTHER_DC_PENALTY_US 2000

#define DEFAULT_TIMEOUT_MS 10000

JH_COUNTER(requests_total, "jasminehill_requests_total", "requests of callers for a database");
JH_COUNTER(attempts_total, "jasminehill_attempts_total", "requests sent to owners of databases");
JH_COUNTER(read_waits_total, "jasminehill_read_waits_total",
	   "reads that waited for a replica to cover their session");
JH_COUNTER(waiting_gauge, "jasminehill_requests_waiting", "requests that wait to be placed");

/* ---- State ---- */

static bool state_is_waiting(_jh_request_state_t state)
{
	return state == JH_REQUEST_QUOTA || state == JH_REQUEST_WAITING ||
	       state == JH_REQUEST_BACKOFF;
}

static void request_set_state(_jh_request_t *request, _jh_request_state_t state)
{
	_jh_entry_t *entry = request->entry;

	if (state_is_waiting(request->state))
		entry->waiting_count--;
	if (state_is_waiting(state))
		entry->waiting_count++;
	request->state = state;
	jh_counter_set(&waiting_gauge, entry->waiting_count);
}

static _jh_caller_t *request_caller(const _jh_request_t *request)
{
	return jh_table_get(request->entry->callers, request->caller);
}

static int64_t request_time_left_us(const _jh_request_t *request)
{
	return request->deadline_us - _jh_entry_now_us(request->entry);
}

void _jh_request_free(_jh_request_t *request)
{
	_jh_entry_t *entry = request->entry;
	struct ev_loop *loop = jh_task_loop(entry->task);

	if (state_is_waiting(request->state))
		entry->waiting_count--;
	ev_timer_stop(loop, &request->deadline_timer);
	ev_timer_stop(loop, &request->placement_timer);
	jh_table_remove(entry->requests, request->handle);
	_jh_response_reset(&request->response);
	g_ptr_array_free(request->ops, TRUE);
	g_free(request->request_id);
	g_free(request);
}

/* ---- Refusal ---- */

void _jh_release_send(_jh_entry_t *entry, const char *vm, uint64_t request_handle, uint64_t pin_id)
{
	Jh__Frame *frame = jh_frame_new(JH__FRAME__BODY_RELEASE);

	frame->release->id = request_handle;
	frame->release->pin = pin_id;
	jh_frame_send(entry->task, vm, frame);
}

/* Tells the owner to cancel and roll back an attempt that it may still be running. */
static void request_send_release(_jh_request_t *request)
{
	if (request->state != JH_REQUEST_SENT)
		return;
	_jh_release_send(request->entry, request->vm, request->handle, request->pin.id);
}

/* A refused request fails the open transaction, as an error does in PostgreSQL. The statements that
 * follow must run neither in the transaction nor outside of it.
 */
static void caller_abort_transaction(_jh_caller_t *caller, const _jh_request_t *request)
{
	if (caller->transaction == 'I' && caller->pin.id == 0)
		return;
	_jh_caller_drop_pin(caller, request->state != JH_REQUEST_SENT);
}

void _jh_request_refuse(_jh_request_t *request, const _jh_error_report_t *report)
{
	_jh_caller_t *caller = request_caller(request);
	bool ends_with_sync = request->ends_with_sync;

	jh_log(JH_LOG_INFO, "entry", "request_refused",
	       "session=%" G_GUINT64_FORMAT " request=%" G_GUINT64_FORMAT
	       " team=%s route=%s group=%s attempts=%u fate=%d reason=%s",
	       request->caller, request->handle, jh_log_value(request->team),
	       jh_log_value(request->route), jh_log_value(request->group), request->attempt,
	       report->outcome, jh_log_value(report->message));
	request_send_release(request);
	if (caller) {
		caller->request = JH_HANDLE_NONE;
		caller_abort_transaction(caller, request);
		_jh_caller_write_error(caller, report);
		if (ends_with_sync && !report->fatal)
			_jh_caller_write_ready(caller);
		caller->discards_until_sync = !ends_with_sync;
	}
	_jh_request_free(request);
	if (caller)
		_jh_caller_resume(caller);
}

static void request_refuse_with(_jh_request_t *request, _jh_refusal_t refusal,
				_jh_run_outcome_t outcome, const char *message)
{
	_jh_error_report_t report;

	_jh_error_report_set(&report, refusal, "%s", message);
	report.outcome = request->may_have_run ? JH_RUN_OUTCOME_UNKNOWN : outcome;
	report.retry_after_ms = RETRY_AFTER_MS;
	_jh_request_refuse(request, &report);
}

/* ---- Timers ---- */

static void on_deadline(struct ev_loop *loop, ev_timer *watcher, int events)
{
	_jh_request_t *request = watcher->data;
	_jh_error_report_t report = request->reason;

	(void)loop;
	(void)events;
	if (request->state == JH_REQUEST_SENT || request->state == JH_REQUEST_RECORDING) {
		request_refuse_with(request, JH_REFUSE_DEADLINE, JH_RUN_OUTCOME_UNKNOWN,
				    "the deadline passed before the answer was complete");
		return;
	}
	if (request->may_have_run)
		report.outcome = JH_RUN_OUTCOME_UNKNOWN;
	report.retry_after_ms = RETRY_AFTER_MS;
	_jh_request_refuse(request, &report);
}

static void on_placement_timer(struct ev_loop *loop, ev_timer *watcher, int events)
{
	(void)loop;
	(void)events;
	_jh_request_place(watcher->data);
}

static void request_start_placement_timer(_jh_request_t *request, int64_t wait_us)
{
	struct ev_loop *loop = jh_task_loop(request->entry->task);

	ev_timer_stop(loop, &request->placement_timer);
	ev_timer_set(&request->placement_timer, (double)wait_us / 1e6, 0);
	ev_timer_start(loop, &request->placement_timer);
}

/* ---- Sending ---- */

static int64_t owner_deadline_ms(const _jh_request_t *request)
{
	int64_t left_ms = request_time_left_us(request) / 1000;

	return left_ms - MIN(left_ms / OWNER_MARGIN_DIVISOR, OWNER_MARGIN_MAX_MS);
}

static void request_body_add_ops(Jh__Request *body, const GPtrArray *ops)
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

static Jh__Frame *request_make_frame(const _jh_request_t *request)
{
	const _jh_entry_t *entry = request->entry;
	Jh__Frame *frame = jh_frame_new(JH__FRAME__BODY_REQUEST);
	Jh__Request *body = frame->request;

	body->id = request->handle;
	body->attempt = request->attempt;
	body->route = jh_frame_strdup(request->route);
	body->team = jh_frame_strdup(request->team);
	body->group = jh_frame_strdup(request->group);
	body->database = jh_frame_strdup(request->database);
	body->write = request->is_write;
	body->repeatable = request->repeatable;
	body->need_term = request->need.position.term;
	body->need_index = request->need.position.index;
	body->max_age_ms =
		request->need.max_age_us < 0 ? JH_AGE_ANY : request->need.max_age_us / 1000;
	body->deadline_ms = owner_deadline_ms(request);
	body->pin = request->pin.id;
	body->weight = team_weight(entry, request->team);
	body->request_id = jh_frame_strdup(request->request_id);
	body->session = request->caller;
	body->config_version = entry->config ? entry->config->version : 0;
	request_body_add_ops(body, request->ops);
	return frame;
}

static void request_send(_jh_request_t *request, const char *vm, const char *database)
{
	request->vm = g_intern_string(vm);
	request->database = g_intern_string(database);
	request->attempt++;
	_jh_response_reset(&request->response);
	request_set_state(request, JH_REQUEST_SENT);
	ev_timer_stop(jh_task_loop(request->entry->task), &request->placement_timer);
	jh_counter_add(&attempts_total, 1);
	jh_log(JH_LOG_DEBUG, "entry", "request_sent",
	       "session=%" G_GUINT64_FORMAT " request=%" G_GUINT64_FORMAT
	       " attempt=%u team=%s route=%s group=%s database=%s owner=%s",
	       request->caller, request->handle, request->attempt, jh_log_value(request->team),
	       jh_log_value(request->route), jh_log_value(request->group), database, vm);
	jh_frame_send(request->entry->task, vm, request_make_frame(request));
}

/* ---- Choice of a database ---- */

/* Lets the request wait for a newer view; @reason and @message are its error at the deadline. */
static void request_set_waiting(_jh_request_t *request, _jh_refusal_t reason, const char *message)
{
	_jh_error_report_set(&request->reason, reason, "%s: %s", request->group, message);
	request_set_state(request, JH_REQUEST_WAITING);
}

static void request_place_write(_jh_request_t *request, const jh_group_view_t *view)
{
	const _jh_placement_t *placement;

	if (!view->primary) {
		request_set_waiting(request, JH_REFUSE_NO_PRIMARY, "no primary is known");
		return;
	}
	placement = _jh_entry_placement_get(request->entry, view->primary);
	if (!placement->database) {
		request_set_waiting(request, JH_REFUSE_NO_PRIMARY, "the primary is departing");
		return;
	}
	if (!placement->owner) {
		request_set_waiting(request, JH_REFUSE_NO_OWNER, "no VM owns the primary");
		return;
	}
	request->term = view->term;
	request_send(request, placement->owner, placement->database->name);
}

static void candidate_fill(const _jh_request_t *request, const jh_group_view_t *view,
			   const jh_database_view_t *database_view, jh_read_member_t *member)
{
	_jh_entry_t *entry = request->entry;
	const char *dc = jh_kernel_settings(jh_task_kernel(entry->task))->dc;
	const _jh_placement_t *placement = _jh_entry_placement_get(entry, database_view->name);

	*member = (jh_read_member_t){
		.position = database_view->position,
		.held = database_view->held,
		.last_caught_up_us = database_view->last_caught_up_us,
		.wait_us = database_view->wait_us,
		.primary = g_strcmp0(view->primary, database_view->name) == 0,
		.usable = database_view->reachable && placement->owner &&
			  g_strcmp0(database_view->name, request->excluded_database) != 0,
	};
	if (placement->database && g_strcmp0(placement->database->dc, dc) != 0)
		member->distance_us = OTHER_DC_PENALTY_US;
}

static void request_set_read_waiting(_jh_request_t *request, jh_read_reason_t reason)
{
	switch (reason) {
	case JH_READ_REASON_AHEAD:
		request_set_waiting(request, JH_REFUSE_TOKEN_AHEAD,
				    "the session token is ahead of every database of the group");
		break;
	case JH_READ_REASON_BEHIND:
		request_set_waiting(request, JH_REFUSE_LAGGING,
				    "no reachable database covers the session token yet");
		break;
	case JH_READ_REASON_AGE:
		request_set_waiting(request, JH_REFUSE_DATA_TOO_OLD,
				    "no reachable database is fresh enough for the route's age");
		break;
	default:
		request_set_waiting(request, JH_REFUSE_UNREACHABLE, "no database is reachable");
		break;
	}
}

static void request_send_read(_jh_request_t *request, const jh_database_view_t *database_view)
{
	request_send(request, _jh_entry_placement_get(request->entry, database_view->name)->owner,
		     database_view->name);
}

static void request_place_read(_jh_request_t *request, const jh_group_view_t *view)
{
	unsigned count = view->databases->len;
	jh_read_member_t *members = g_new0(jh_read_member_t, count);
	jh_read_choice_t choice;
	unsigned i;

	for (i = 0; i < count; i++)
		candidate_fill(request, view, g_ptr_array_index(view->databases, i), &members[i]);
	request->need.view_term = view->term;
	request->term = view->term;
	choice = jh_read_choose(members, count, &request->need, _jh_entry_now_us(request->entry));
	g_free(members);
	switch (choice.action) {
	case JH_READ_SEND:
		request_send_read(request, g_ptr_array_index(view->databases, choice.member));
		break;
	case JH_READ_WAIT_REPLICA:
		jh_counter_add(&read_waits_total, 1);
		request_set_read_waiting(request, choice.reason);
		request_start_placement_timer(request, choice.wait_us);
		break;
	case JH_READ_WAIT_VIEW:
		request_set_read_waiting(request, choice.reason);
		break;
	}
}

/* Avoids the database of the failed attempt, unless no other database can serve the read. */
static void request_place_read_elsewhere(_jh_request_t *request, const jh_group_view_t *view)
{
	request_place_read(request, view);
	if (request->state == JH_REQUEST_WAITING && request->excluded_database) {
		request->excluded_database = NULL;
		request_place_read(request, view);
	}
}

void _jh_request_place(_jh_request_t *request)
{
	const _jh_entry_group_t *group;

	if (request->pin.id != 0) {
		request_send(request, request->pin.vm, request->pin.database);
		return;
	}
	group = _jh_entry_group_get(request->entry, request->group);
	if (!group->view)
		request_set_waiting(request, JH_REFUSE_UNREACHABLE, "no view of the group yet");
	else if (request->is_write)
		request_place_write(request, group->view);
	else
		request_place_read_elsewhere(request, group->view);
}

/* A VM that is dead or not listed sends no response. A suspected VM may still send one, and to
 * abandon the attempt would leave its outcome unknown; so only requests that are safe to retry
 * abandon it.
 */
static bool owner_is_lost(const _jh_request_t *request)
{
	const jh_vm_t *vm = jh_vm_find(request->entry->vms, request->vm);

	if (!vm || vm->state == JH_VM_DEAD)
		return true;
	return vm->state == JH_VM_SUSPECT && request->safe_to_retry && request->pin.id == 0 &&
	       !request->response.released;
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
	/* After a redirect, a new term ends the delay early: the next primary is known. */
	group = _jh_entry_group_get(request->entry, request->group);
	if (group->view && group->view->term > request->term)
		_jh_request_place(request);
}

static bool owner_has_changed(const _jh_request_t *request)
{
	return request->pin.id == 0 &&
	       _jh_entry_placement_get(request->entry, request->database)->owner != request->vm;
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

/* ---- Failed attempts ---- */

static jh_retry_budget_t *route_get_retry_budget(_jh_entry_t *entry, const char *route)
{
	jh_retry_budget_t *budget = g_hash_table_lookup(entry->retry_budgets, route);

	if (!budget) {
		budget = g_new0(jh_retry_budget_t, 1);
		g_hash_table_insert(entry->retry_budgets, (gpointer)route, budget);
	}
	return budget;
}

void _jh_request_fail(_jh_request_t *request, jh_retry_outcome_t outcome, uint32_t after_ms)
{
	_jh_error_report_t report = request->reason;

	request->may_have_run |= outcome == JH_RETRY_UNKNOWN;
	report.outcome = request->may_have_run ? JH_RUN_OUTCOME_UNKNOWN : JH_RUN_OUTCOME_NOT_RUN;
	report.retry_after_ms = MAX(after_ms, RETRY_AFTER_MS);
	/* The attempt has ended. In state JH_REQUEST_SENT, _jh_request_refuse() would tell the
	 * owner to cancel it.
	 */
	request_set_state(request, JH_REQUEST_RECORDING);
	_jh_request_refuse(request, &report);
}

void _jh_request_retry(_jh_request_t *request, jh_retry_outcome_t outcome, uint32_t after_ms)
{
	_jh_entry_t *entry = request->entry;
	jh_retry_event_t event = {
		.outcome = outcome,
		.safe = request->safe_to_retry,
		.released = request->response.released,
		.pinned = request->pin.id != 0,
		.attempts = request->attempt,
		.now_us = _jh_entry_now_us(entry),
		.until_us = request->deadline_us,
		.retry_after_ms = after_ms,
		.jitter = g_rand_double(entry->random),
	};
	int64_t wait_us = jh_retry_decide(route_get_retry_budget(entry, request->route), &event);

	if (wait_us < 0) {
		_jh_request_fail(request, outcome, after_ms);
		return;
	}
	request->may_have_run |= outcome == JH_RETRY_UNKNOWN;
	request->excluded_database = request->database;
	request_set_state(request, JH_REQUEST_BACKOFF);
	request_start_placement_timer(request, wait_us);
}

void _jh_request_on_peer_down(_jh_request_t *request)
{
	_jh_error_report_set(&request->reason, JH_REFUSE_OWNER_LOST,
			     "%s: the connection to the owner of %s was lost", request->group,
			     request->database);
	_jh_request_retry(request, JH_RETRY_UNKNOWN, 0);
}

void _jh_request_cancel(_jh_request_t *request)
{
	_jh_run_outcome_t outcome =
		request->state == JH_REQUEST_SENT ? JH_RUN_OUTCOME_UNKNOWN : JH_RUN_OUTCOME_NOT_RUN;

	if (request->state == JH_REQUEST_RECORDING)
		return;
	request_refuse_with(request, JH_REFUSE_CANCELED, outcome,
			    "canceling statement due to user request");
}

void _jh_request_abandon(_jh_request_t *request)
{
	request_send_release(request);
	_jh_request_free(request);
}

/* ---- Quota ---- */

static bool module_is_running(const _jh_entry_t *entry, const char *name)
{
	return jh_kernel_find(jh_task_kernel(entry->task), name) != JH_HANDLE_NONE;
}

void _jh_request_on_quota(_jh_request_t *request, bool granted, uint32_t retry_after_ms)
{
	_jh_error_report_t report;

	if (granted) {
		_jh_request_place(request);
		return;
	}
	_jh_error_report_set(&report, JH_REFUSE_QUOTA, "team %s is over its rate", request->team);
	report.retry_after_ms = retry_after_ms;
	_jh_request_refuse(request, &report);
}

/* The end of a transaction costs nothing, since a refusal would keep its connection reserved.
 * Routes that are open to all need no key, so that there is no team whose rate could be charged.
 */
static void request_acquire_quota(_jh_request_t *request)
{
	_jh_entry_t *entry = request->entry;

	if (request->cost == 0 || !*request->team || !module_is_running(entry, "quota")) {
		_jh_request_place(request);
		return;
	}
	_jh_error_report_set(&request->reason, JH_REFUSE_QUOTA, "team %s is over its rate",
			     request->team);
	jh_quota_ask(entry->task, request->team, request->cost,
		     request_time_left_us(request) / QUOTA_WAIT_DIVISOR, request->handle);
}

/* ---- New requests ---- */

static int64_t caller_timeout_us(const _jh_caller_t *caller, const jh_route_t *route)
{
	int64_t ms = route->deadline_ms > 0 ? route->deadline_ms : DEFAULT_TIMEOUT_MS;

	if (caller->deadline_ms > 0)
		ms = MIN(ms, caller->deadline_ms);
	return ms * 1000;
}

static jh_read_need_t caller_read_need(const _jh_caller_t *caller, const jh_route_t *route)
{
	int64_t age_ms = caller->has_max_age ? caller->max_age_ms : route->max_age_ms;

	return (jh_read_need_t){
		.position = jh_session_get_position(&caller->session, route->group),
		.since_us = caller->session_changed_us,
		/* Age 0 asks only for read-your-writes, which the position ensures. */
		.max_age_us = age_ms > 0 ? age_ms * 1000 : JH_AGE_ANY,
	};
}

static void request_init_timers(_jh_request_t *request)
{
	struct ev_loop *loop = jh_task_loop(request->entry->task);

	ev_timer_init(&request->deadline_timer, on_deadline,
		      (double)request_time_left_us(request) / 1e6, 0);
	request->deadline_timer.data = request;
	ev_timer_start(loop, &request->deadline_timer);
	ev_timer_init(&request->placement_timer, on_placement_timer, 0, 0);
	request->placement_timer.data = request;
}

static _jh_request_t *request_new(_jh_caller_t *caller, const jh_route_t *route, GPtrArray *ops,
				  const _jh_request_traits_t *traits, bool is_write)
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
	request->is_write = is_write;
	request->repeatable = route->repeatable;
	request->ends_with_sync = traits->ends_with_sync;
	request->cost = traits->cost;
	request->need = caller_read_need(caller, route);
	request->deadline_us = _jh_entry_now_us(entry) + caller_timeout_us(caller, route);
	request->pin = caller->pin;
	request->request_id = g_steal_pointer(&caller->request_id);
	/* A write with a request id is safe to retry: the owner runs an id only once and replays
	 * the stored response. A batch that begins or ends transactions itself may commit its
	 * statements but not the id, so that it could run twice.
	 */
	request->safe_to_retry = !is_write || route->repeatable ||
				 (request->request_id && !traits->controls_transaction);
	_jh_response_reset(&request->response);
	request_init_timers(request);
	caller->request = request->handle;
	jh_counter_add(&requests_total, 1);
	jh_retry_budget_add_request(route_get_retry_budget(entry, request->route));
	return request;
}

/* The owner stores a request id in the transaction that runs the statements of the request, so the
 * batch must be one complete transaction.
 * Return: 0, or -1 with @report set
 */
static int check_request_id(const _jh_caller_t *caller, const _jh_request_traits_t *traits,
			    bool is_write, _jh_error_report_t *report)
{
	if (!caller->request_id || !is_write ||
	    (!traits->controls_transaction && caller->transaction == 'I'))
		return 0;
	return _jh_error_report_set(
		report, JH_REFUSE_UNSUPPORTED,
		"a request id is for one batch that is a transaction by itself");
}

/* Checks whether the entry can take a new request. Return: 0, or -1 with @report set */
static int check_limits(const _jh_caller_t *caller, const jh_route_t *route, bool is_write,
			_jh_error_report_t *report)
{
	if (is_write && !jh_session_has_room(&caller->session, route->group))
		return _jh_error_report_set(report, JH_REFUSE_SESSION_FULL,
					    "a session writes to at most %u groups",
					    JH_SESSION_MAX_GROUPS);
	/* A draining entry refuses requests instead of closing the connection first: a client that
	 * got the error while it was idle would only see a closed connection at its next request.
	 */
	if (caller->entry->is_draining && caller->transaction == 'I' && !caller->awaits_sync) {
		_jh_error_report_set(report, JH_REFUSE_DRAINING,
				     "this entry is shutting down, connect again");
		report->retry_after_ms = 0;
		return -1;
	}
	/* Open transactions may continue: the audit record reserves room for them. */
	if (caller->entry->record_retry_after_ms > 0 && caller->transaction == 'I') {
		_jh_error_report_set(report, JH_REFUSE_NOT_RECORDED,
				     "no record of answers can be kept now");
		report->retry_after_ms = caller->entry->record_retry_after_ms;
		return -1;
	}
	if (caller->entry->waiting_count < JH_ENTRY_MAX_WAITING)
		return 0;
	_jh_error_report_set(report, JH_REFUSE_OVERLOADED, "too many requests wait at this entry");
	report->retry_after_ms = RETRY_AFTER_MS;
	return -1;
}

static void refuse_batch(_jh_caller_t *caller, GPtrArray *ops, bool ends_with_sync,
			 const _jh_error_report_t *report)
{
	g_ptr_array_free(ops, TRUE);
	_jh_caller_drop_pin(caller, true);
	_jh_caller_write_error(caller, report);
	if (ends_with_sync && !report->fatal)
		_jh_caller_write_ready(caller);
	caller->discards_until_sync = !ends_with_sync;
}

static bool batch_is_write(const _jh_caller_t *caller, const jh_route_t *route,
			   bool begins_read_only)
{
	if (route->access == JH_ACCESS_READ || caller->read_only)
		return false;
	if (caller->transaction != 'I')
		return !caller->tx_read_only;
	return !begins_read_only;
}

void _jh_request_new(_jh_caller_t *caller, GPtrArray *ops, const _jh_request_traits_t *traits)
{
	_jh_error_report_t report;
	const jh_route_t *route = _jh_caller_authorize(caller, &report);
	bool is_write = route && batch_is_write(caller, route, traits->begins_read_only);
	_jh_request_t *request;

	if (!route || check_request_id(caller, traits, is_write, &report) < 0 ||
	    check_limits(caller, route, is_write, &report) < 0) {
		refuse_batch(caller, ops, traits->ends_with_sync, &report);
		return;
	}
	if (caller->transaction == 'I')
		caller->tx_read_only = !is_write;
	request = request_new(caller, route, ops, traits, is_write);
	request_set_state(request, JH_REQUEST_QUOTA);
	request_acquire_quota(request);
}
