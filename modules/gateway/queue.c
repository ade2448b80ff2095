#include "internal/gateway.h"

#include "jh_counter.h"
#include "jh_log.h"
#include "jh_mirror.h"

/*
 * The wait queue of a group. decisions/admission.c decides who waits, in which order, and until
 * when; this file tells it what can serve the statements now, and carries out its decisions.
 */

/* The estimates of waiting statements are made again at most this often, microseconds. */
#define REVIEW_US (15 * INT64_C(1000))

/* Interval of the event "queue" of a group in which statements wait or are refused. */
#define REPORT_US (1000 * INT64_C(1000))

/*
 * A statement must be expected to end before this share of the route's timeout is left, for the way
 * back to its caller, whose own time limit may be the route's timeout.
 */
#define LIMIT_MARGIN_DIVISOR 10

/* A mirror lease that has expired is expected to be renewed after this long; see ISOLATED_AFTER_US.
 */
#define LEASE_RENEWAL_US (300 * INT64_C(1000))

/* Reason of a statement that a holder in another data centre is to run. */
#define NOT_FRESH_NEAR_REASON "no member near this vm is fresh enough"

/*
 * A primary that cannot be reached counts as being replaced for this many times the usual duration
 * of a change. After that nothing shows that a change is under way.
 */
#define UNREACHABLE_OUTAGES 2

JH_COUNTER(length_count, "jasminehill_queue_length_count",
	   "statements that wait for a connection, in all groups");
JH_COUNTER(running_count, "jasminehill_queue_running_count",
	   "statements and transactions that occupy a connection, in all groups");
JH_COUNTER(
	limit_count, "jasminehill_queue_limit_count",
	"statements that may wait in the group with the lowest limit, if each may take a second");
JH_COUNTER(wait_ms, "jasminehill_queue_wait_ms",
	   "expected wait of a statement of the lowest priority, in the group with the longest");
JH_COUNTER(expelled_total, "jasminehill_queue_expelled_total",
	   "statements refused after a wait because their estimate became worse");

/**
 * struct lane_state - what serves a lane, and why a statement is refused there
 */
typedef struct lane_state {
	jh_admission_capacity_t capacity;
	const char *reason;
} lane_state_t;

/* ---- capacity ---- */

/* Return: moment at which this VM is expected to have a mirror lease */
static int64_t lease_opens_us(const _jh_gateway_t *gateway, int64_t now_us)
{
	int64_t expired_us = MAX(now_us - MAX(gateway->lease_until_us, 0), 0);

	if (_jh_gateway_is_isolated(gateway, now_us))
		return JH_ADMISSION_NEVER;
	if (gateway->lease_until_us == INT64_MIN)
		return now_us + LEASE_RENEWAL_US;
	return now_us + MAX(LEASE_RENEWAL_US - expired_us, expired_us);
}

static void begin_outage(const _jh_gateway_t *gateway, _jh_gw_group_t *group, int64_t now_us)
{
	if (group->outage.began_us != 0)
		return;
	group->outage.average_us = gateway->outage_us;
	group->outage_epoch = group->primary.epoch;
	jh_outage_begin(&group->outage, now_us);
}

/* Only changes of primary show how long one takes, not a primary that is reachable again. */
static void end_outage(_jh_gateway_t *gateway, _jh_gw_group_t *group, int64_t now_us)
{
	bool was_change = group->primary.epoch > group->outage_epoch;

	if (group->outage.began_us == 0)
		return;
	jh_outage_end(&group->outage, was_change, now_us);
	gateway->outage_us = group->outage.average_us;
}

/* Return: moment at which a primary that cannot be reached can be used again, or a successor */
static int64_t unreachable_opens_us(const _jh_gateway_t *gateway, _jh_gw_group_t *group,
				    const _jh_gw_member_t *primary, int64_t now_us)
{
	int64_t usual_us;

	if (primary->failures < JH_UNREACHABLE_FAILURES)
		return primary->no_connect_until_us;
	begin_outage(gateway, group, now_us);
	usual_us = jh_outage_usual_us(&group->outage);
	if (!group->is_primary_reported ||
	    now_us - group->outage.began_us > UNREACHABLE_OUTAGES * usual_us)
		return JH_ADMISSION_NEVER;
	return now_us + jh_outage_left_us(&group->outage, now_us);
}

static lane_state_t primary_lane(_jh_gateway_t *gateway, _jh_gw_group_t *group, int64_t now_us)
{
	const _jh_gw_member_t *primary = _jh_gw_group_primary(gateway, group);
	lane_state_t state = { .reason = "too many wait for the primary" };

	if (!group->primary.is_changing && group->primary.epoch > group->outage_epoch)
		end_outage(gateway, group, now_us);
	state.capacity.connections = _jh_gateway_make_plan(gateway, group->name).share;
	state.capacity.slots = state.capacity.connections;
	if (group->primary.is_changing) {
		state.reason = "no primary leads the group now";
		begin_outage(gateway, group, now_us);
		state.capacity.opens_us = now_us + jh_outage_left_us(&group->outage, now_us);
		return state;
	}
	if (!_jh_gateway_has_lease(gateway)) {
		state.reason = "this vm cannot tell who leads the group";
		state.capacity.opens_us = lease_opens_us(gateway, now_us);
		return state;
	}
	if (!primary) {
		state.reason = "no primary leads the group now";
		state.capacity.opens_us = JH_ADMISSION_NEVER;
		return state;
	}
	state.capacity.connections = _jh_place_share(gateway, primary);
	state.capacity.slots = _jh_gw_member_slots(gateway, primary);
	if (_jh_gw_member_phase(gateway, primary) >= JH_DC_ENDING) {
		/* The leader replaces it; without a successor _jh_gw_find_restriction() has
		 * refused. */
		state.reason = "the data centre of the primary is drained";
		begin_outage(gateway, group, now_us);
		state.capacity.opens_us = now_us + jh_outage_left_us(&group->outage, now_us);
	} else if (_jh_gw_member_has_left(gateway, primary)) {
		state.reason = "the primary has left and no other member can replace it";
		state.capacity.opens_us = JH_ADMISSION_NEVER;
	} else if (now_us < primary->no_connect_until_us) {
		state.reason = "the primary cannot be reached";
		state.capacity.opens_us = unreachable_opens_us(gateway, group, primary, now_us);
	} else {
		end_outage(gateway, group, now_us);
	}
	return state;
}

/* Return: true if the member may run reads; sets the moment from which it can be reached */
static bool serves_reads(const _jh_gateway_t *gateway, const _jh_gw_member_t *member,
			 int64_t now_us, int64_t *opens_us)
{
	bool is_primary = _jh_gw_group_primary(gateway, member->group) == member;

	*opens_us = 0;
	if (is_primary ?
		    !_jh_gateway_has_lease(gateway) || _jh_gw_member_has_left(gateway, member) :
		    member->info->is_draining || !_jh_gw_member_is_listed(member))
		return false;
	if (member->conns->len > 0 || now_us >= member->no_connect_until_us)
		return true;
	*opens_us = member->failures < JH_UNREACHABLE_FAILURES ? member->no_connect_until_us :
								 JH_ADMISSION_NEVER;
	return true;
}

static lane_state_t read_lane(const _jh_gateway_t *gateway, const _jh_gw_group_t *group,
			      int64_t now_us)
{
	lane_state_t state = { .reason = "too many wait for the group" };
	int64_t first_us = JH_ADMISSION_NEVER;
	unsigned i;

	for (i = 0; i < group->members->len; i++) {
		const _jh_gw_member_t *member = g_ptr_array_index(group->members, i);
		int64_t opens_us;

		if (!serves_reads(gateway, member, now_us, &opens_us))
			continue;
		first_us = MIN(first_us, opens_us);
		if (opens_us != 0)
			continue;
		state.capacity.connections += _jh_place_share(gateway, member);
		state.capacity.slots += member->info->slots;
	}
	if (first_us != 0) {
		state.reason = "no member of the group can be reached";
		state.capacity.opens_us = first_us;
	}
	return state;
}

/*
 * A read without a position can run on the primary only; a reply of the primary also brings a
 * position.
 */
static lane_state_t position_lane(const lane_state_t *primary)
{
	return (lane_state_t){ .capacity = primary->capacity,
			       .reason = "no member is known to be fresh enough" };
}

/* Return: state of @lane; all lanes of the group's admission are updated */
static lane_state_t update_lanes(_jh_gateway_t *gateway, _jh_gw_group_t *group,
				 jh_admission_lane_t lane, int64_t now_us)
{
	lane_state_t states[JH_LANE_COUNT];
	int i;

	states[JH_LANE_PRIMARY] = primary_lane(gateway, group, now_us);
	states[JH_LANE_POSITION] = position_lane(&states[JH_LANE_PRIMARY]);
	states[JH_LANE_READ] = read_lane(gateway, group, now_us);
	for (i = 0; i < JH_LANE_COUNT; i++)
		jh_admission_set_capacity(group->admission, i, &states[i].capacity);
	return states[lane];
}

void _jh_queue_on_primary(_jh_gateway_t *gateway, _jh_gw_group_t *group)
{
	update_lanes(gateway, group, JH_LANE_PRIMARY, jh_boot_time_us());
}

/* ---- statements ---- */

static jh_admission_request_t make_request(const _jh_gw_caller_t *caller)
{
	const jh_fleet_route_t *route = &caller->route;
	jh_admission_request_t request = {
		.id = caller->tag,
		.team = _jh_dispatch_conn_team(caller),
		.lane = JH_LANE_READ,
		.priority = route->priority,
		.arrived_us = caller->arrived_us,
		.target_us = caller->arrived_us + route->target_latency_us,
		.limit_us = caller->arrived_us + route->timeout_us -
			    route->timeout_us / LIMIT_MARGIN_DIVISOR,
	};

	if (_jh_gw_request_needs_primary(caller))
		request.lane = JH_LANE_PRIMARY;
	else if (!_jh_dispatch_read_need(caller).is_known && !caller->awaits_position)
		request.lane = JH_LANE_POSITION;
	return request;
}

/*
 * True if the forwarded statement is better run by another holder: only that one may be able to
 * use the primary.
 */
static bool should_run_elsewhere(const _jh_gw_caller_t *caller)
{
	_jh_gateway_t *gateway = caller->gateway;
	const _jh_gw_member_t *primary;

	if (!caller->remote.vm || _jh_place_can_read(caller) || _jh_position_is_awaited(caller))
		return false;
	if (!_jh_gateway_has_lease(gateway))
		return true;
	primary =
		_jh_gw_group_primary(gateway, _jh_gateway_get_group(gateway, caller->route.group));
	return primary && primary->failures >= JH_UNREACHABLE_FAILURES;
}

static void set_ticket(_jh_gw_caller_t *caller, _jh_gw_group_t *group, jh_admission_ticket_t ticket)
{
	caller->ticket = ticket;
	caller->ticket_group = group;
}

/* A read without a position waits for the reply to the question for one, if one can be expected. */
static void update_awaits_position(_jh_gw_caller_t *caller)
{
	caller->awaits_position = false;
	if (_jh_gw_request_needs_primary(caller))
		return;
	_jh_position_on_read(caller);
	caller->awaits_position =
		!_jh_dispatch_read_need(caller).is_known && _jh_position_is_awaited(caller);
}

_jh_queue_result_t _jh_queue_admit(_jh_gw_caller_t *caller, _jh_gw_conn_t **conn,
				   const char **reason)
{
	_jh_gateway_t *gateway = caller->gateway;
	_jh_gw_group_t *group = _jh_gateway_get_group(gateway, caller->route.group);
	int64_t now_us = jh_boot_time_us();
	jh_admission_request_t request;
	lane_state_t state;

	*reason = _jh_gw_find_restriction(caller);
	if (*reason) {
		group->refused++;
		return JH_QUEUE_REFUSE;
	}
	if (_jh_place_should_refer(caller)) {
		caller->refers = true;
		*reason = NOT_FRESH_NEAR_REASON;
		return JH_QUEUE_ELSEWHERE;
	}
	update_awaits_position(caller);
	request = make_request(caller);
	request.must_wait = caller->awaits_position;
	state = update_lanes(gateway, group, request.lane, now_us);
	*reason = state.reason;
	caller->estimate = jh_admission_decide(group->admission, &request, now_us);
	if (caller->estimate.result == JH_ADMISSION_RUN) {
		*conn = _jh_dispatch_find_conn(caller);
		if (*conn) {
			set_ticket(caller, group,
				   jh_admission_start(group->admission, &request, now_us));
			return JH_QUEUE_FOUND;
		}
		request.must_wait = true;
		caller->estimate = jh_admission_decide(group->admission, &request, now_us);
	}
	if (should_run_elsewhere(caller) || _jh_place_should_hand_on(caller))
		return JH_QUEUE_ELSEWHERE;
	if (caller->estimate.result != JH_ADMISSION_REFUSE &&
	    _jh_gw_slow_start_is_full(caller, group)) {
		*reason = "the members have just started and get a limited rate";
		caller->estimate.result = JH_ADMISSION_REFUSE;
	}
	if (caller->estimate.result == JH_ADMISSION_REFUSE) {
		group->refused++;
		return JH_QUEUE_REFUSE;
	}
	jh_admission_enqueue(group->admission, &request, &caller->estimate, now_us);
	caller->waiting_group = group;
	if (!request.must_wait)
		_jh_gateway_schedule_dispatch(gateway);
	_jh_gateway_schedule_retry(gateway);
	return JH_QUEUE_WAIT;
}

void _jh_queue_remove(_jh_gw_caller_t *caller)
{
	if (!caller->waiting_group)
		return;
	jh_admission_remove(caller->waiting_group->admission, caller->tag);
	caller->waiting_group = NULL;
}

void _jh_queue_finish(_jh_gw_caller_t *caller, bool is_complete)
{
	if (!caller->ticket_group)
		return;
	jh_admission_finish(caller->ticket_group->admission, &caller->ticket, is_complete,
			    jh_boot_time_us());
	caller->ticket_group = NULL;
}

int _jh_queue_retry_ms(_jh_gw_caller_t *caller)
{
	jh_admission_request_t request;
	_jh_gw_group_t *group;
	int64_t now_us = jh_boot_time_us();

	if (caller->estimate.result != JH_ADMISSION_REFUSE) {
		group = _jh_gateway_get_group(caller->gateway, caller->route.group);
		request = make_request(caller);
		update_lanes(caller->gateway, group, request.lane, now_us);
		caller->estimate.retry_us =
			jh_admission_retry_us(group->admission, &request, now_us);
	}
	return (int)((caller->estimate.retry_us + 999) / 1000);
}

/* ---- the queue moves ---- */

static void collect_id(uint64_t id, void *data)
{
	g_array_append_val((GArray *)data, id);
}

static _jh_gw_caller_t *find_waiting(const _jh_gateway_t *gateway, uint64_t id)
{
	_jh_gw_caller_t *caller = g_hash_table_lookup(gateway->callers, &id);

	return caller && caller->waiting_group ? caller : NULL;
}

static void send_one_elsewhere(_jh_gw_caller_t *caller)
{
	if (_jh_place_should_refer(caller)) {
		caller->refers = true;
		_jh_gw_request_refuse_waiting(caller, true, NOT_FRESH_NEAR_REASON);
	} else if (should_run_elsewhere(caller) || _jh_place_should_hand_on(caller)) {
		_jh_gw_request_refuse_waiting(caller, true, "another vm can reach the primary");
	} else if (caller->awaits_position && !_jh_position_is_awaited(caller)) {
		/* The reply did not come, so that the primary has to run the read. */
		_jh_queue_remove(caller);
		_jh_gw_request_dispatch(caller);
	} else {
		_jh_gw_request_forward(caller);
	}
}

/*
 * Refuses or sends elsewhere the statements that this VM was to run when they began to wait, and
 * that it cannot run any more: it is about to exit, or another one can use the primary.
 */
static void send_elsewhere(_jh_gateway_t *gateway, const _jh_gw_group_t *group, int64_t now_us)
{
	GArray *ids = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	bool is_stopping = _jh_gateway_must_end_sessions(gateway, now_us);
	unsigned i;

	jh_admission_foreach(group->admission, collect_id, ids);
	for (i = 0; i < ids->len; i++) {
		_jh_gw_caller_t *caller = find_waiting(gateway, g_array_index(ids, uint64_t, i));

		if (caller && is_stopping)
			_jh_gw_request_refuse_waiting(caller, true, JH_SHUTDOWN_REASON);
		else if (caller)
			send_one_elsewhere(caller);
	}
	g_array_free(ids, TRUE);
}

static const char *expel_reason(_jh_gateway_t *gateway, _jh_gw_group_t *group,
				const _jh_gw_caller_t *caller)
{
	jh_admission_request_t request = make_request(caller);

	return update_lanes(gateway, group, request.lane, jh_boot_time_us()).reason;
}

static void review(_jh_gateway_t *gateway, _jh_gw_group_t *group, int64_t now_us)
{
	GArray *refusals = g_array_new(FALSE, FALSE, sizeof(jh_admission_refusal_t));
	unsigned i;

	group->reviewed_us = now_us;
	jh_admission_review(group->admission, now_us, refusals);
	jh_counter_add(&expelled_total, refusals->len);
	group->refused += refusals->len;
	for (i = 0; i < refusals->len; i++) {
		const jh_admission_refusal_t *refusal =
			&g_array_index(refusals, jh_admission_refusal_t, i);
		_jh_gw_caller_t *caller = find_waiting(gateway, refusal->id);

		if (!caller)
			continue;
		caller->waiting_group = NULL;
		caller->estimate = refusal->decision;
		_jh_gw_request_refuse_waiting(caller, false, expel_reason(gateway, group, caller));
	}
	g_array_free(refusals, TRUE);
	send_elsewhere(gateway, group, now_us);
}

static unsigned count_waiting(const _jh_gw_group_t *group)
{
	unsigned count = 0;
	int i;

	for (i = 0; i < JH_LANE_COUNT; i++)
		count += jh_admission_length(group->admission, i);
	return count;
}

/* Sends as many waiting statements as there are connections for. */
static void dispatch_group(_jh_gateway_t *gateway, _jh_gw_group_t *group)
{
	/* A statement that comes back to the queue at once is not tried again in the same pass. */
	unsigned left = count_waiting(group);
	int64_t now_us = jh_boot_time_us();
	uint64_t id;

	update_lanes(gateway, group, JH_LANE_PRIMARY, now_us);
	jh_admission_begin_pass(group->admission);
	while (left-- > 0 && (id = jh_admission_next(group->admission, now_us)) != 0) {
		_jh_gw_caller_t *caller = find_waiting(gateway, id);
		_jh_gw_conn_t *conn;

		/* After a change of primary other VMs may hold the connections that it needs. */
		if (caller && _jh_gw_request_forward(caller))
			continue;
		conn = caller ? _jh_dispatch_find_conn(caller) : NULL;
		if (!conn) {
			jh_admission_skip(group->admission, id);
			continue;
		}
		set_ticket(caller, group, jh_admission_take(group->admission, id, now_us));
		caller->waiting_group = NULL;
		_jh_gw_request_assign(caller, conn);
	}
	if (now_us - group->reviewed_us >= REVIEW_US)
		review(gateway, group, now_us);
	if (count_waiting(group) > 0)
		_jh_gateway_schedule_retry(gateway);
}

void _jh_queue_run(_jh_gateway_t *gateway)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, gateway->groups);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (count_waiting(value) > 0)
			dispatch_group(gateway, value);
	}
}

/* ---- reports ---- */

/* Figures of a group for operators; the waits are those of the lowest priority. */
typedef struct report {
	unsigned waiting;
	unsigned running;
	unsigned limit;
	int64_t wait_us;
} report_t;

static report_t make_report(const _jh_gw_group_t *group, int64_t now_us)
{
	report_t report = { .waiting = count_waiting(group), .limit = G_MAXUINT };
	int i;

	for (i = 0; i < JH_LANE_COUNT; i++) {
		int64_t wait_us =
			jh_admission_expected_wait_us(group->admission, i, G_MAXINT, now_us);

		report.running += jh_admission_running(group->admission, i);
		/* The lane of reads without a position is served by the primary's. */
		if (i == JH_LANE_POSITION)
			continue;
		report.limit = MIN(report.limit,
				   jh_admission_limit(group->admission, i, G_USEC_PER_SEC, now_us));
		report.wait_us = MAX(report.wait_us, wait_us);
	}
	return report;
}

static int64_t to_ms(int64_t time_us)
{
	return time_us == JH_ADMISSION_NEVER ? -1 : time_us / 1000;
}

static void log_report(_jh_gw_group_t *group, const report_t *report, int64_t now_us)
{
	if (now_us - group->reported_us < REPORT_US ||
	    (report->waiting == 0 && group->refused == 0))
		return;
	jh_log(group->refused > 0 ? JH_LOG_NOTICE : JH_LOG_INFO, "gateway", "queue",
	       "group=%s waiting=%u running=%u limit=%u wait_ms=%" G_GINT64_FORMAT
	       " refused=%u outage_ms=%" G_GINT64_FORMAT,
	       jh_log_value(group->name), report->waiting, report->running, report->limit,
	       to_ms(report->wait_us), group->refused,
	       group->outage.began_us == 0 ? 0 : (now_us - group->outage.began_us) / 1000);
	group->reported_us = now_us;
	group->refused = 0;
}

void _jh_queue_tick(_jh_gateway_t *gateway, int64_t now_us)
{
	report_t all = { .limit = G_MAXUINT };
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, gateway->groups);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		_jh_gw_group_t *group = value;
		report_t report;

		update_lanes(gateway, group, JH_LANE_PRIMARY, now_us);
		report = make_report(group, now_us);
		log_report(group, &report, now_us);
		all.waiting += report.waiting;
		all.running += report.running;
		all.limit = MIN(all.limit, report.limit);
		all.wait_us = MAX(all.wait_us, report.wait_us);
	}
	jh_counter_set(&length_count, all.waiting);
	jh_counter_set(&running_count, all.running);
	jh_counter_set(&limit_count, all.limit == G_MAXUINT ? 0 : all.limit);
	jh_counter_set(&wait_ms, to_ms(all.wait_us));
}
