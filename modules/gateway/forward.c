#include "internal/gateway.h"

#include "jh_counter.h"
#include "jh_histogram.h"
#include "jh_log.h"
#include "jh_mirror.h"

/*
 * The entry's side of forwarding: it chooses a holder for a statement, sends the statement, and
 * hands the result to request.c. A read that has no result while its holder does not respond is
 * sent to another holder as well; the first result is delivered.
 */

/* A holder that has sent nothing for this long while it owes a result is asked whether it runs. */
#define CHECK_AFTER_US (100 * INT64_C(1000))

/* A holder that does not reply to this within this time counts as not responding, microseconds. */
#define CHECK_TIMEOUT_US (150 * INT64_C(1000))

/*
 * A holder that does not respond, or that cannot use the primary, gets no new statements for this
 * long, microseconds, unless it replies sooner.
 */
#define AVOID_SILENT_US (1000 * INT64_C(1000))
#define AVOID_UNABLE_US (200 * INT64_C(1000))

/* After a pause of this VM itself, microseconds, replies may wait unread in its sockets. */
#define OWN_PAUSE_US (250 * INT64_C(1000))

JH_COUNTER(forwarded_total, "jasminehill_forwarded_total",
	   "statements sent to the VM that holds the connections");
JH_COUNTER(forwarded_again_total, "jasminehill_forwarded_again_total",
	   "statements sent to another holder after the first one did not run them or respond");

JH_COUNTER(forwarded_same_dc_total, "jasminehill_forwarded_same_dc_total",
	   "statements sent to a holder in this VM's data centre");
JH_COUNTER(forwarded_same_region_total, "jasminehill_forwarded_same_region_total",
	   "statements sent to a holder in another data centre of this VM's region");
JH_COUNTER(forwarded_far_total, "jasminehill_forwarded_far_total",
	   "statements sent to a holder in another region");
JH_COUNTER(referred_total, "jasminehill_referred_total",
	   "reads that a holder sent back since no member near it was fresh enough");

static jh_counter_t *const forwarded_by_distance[] = {
	[JH_DISTANCE_SAME_DC] = &forwarded_same_dc_total,
	[JH_DISTANCE_SAME_REGION] = &forwarded_same_region_total,
	[JH_DISTANCE_FAR] = &forwarded_far_total,
};

JH_HISTOGRAM(holder_ms, "jasminehill_holder_ms", "from a statement's forwarding to its result");

/**
 * struct _jh_gw_holder - what this VM knows of a VM to which it forwards
 * @vm: interned
 * @last_received_us: boot time of its last result or reply
 * @check_sent_us: boot time when it was last asked whether it runs
 * @avoid_until_us: boot time until which it gets no new statements
 */
typedef struct _jh_gw_holder {
	const char *vm;
	int64_t last_received_us;
	int64_t check_sent_us;
	int64_t avoid_until_us;
} _jh_gw_holder_t;

static _jh_gw_holder_t *get_holder(_jh_gateway_t *gateway, const char *vm)
{
	_jh_gw_holder_t *holder = g_hash_table_lookup(gateway->holders, vm);

	if (holder)
		return holder;
	holder = g_new0(_jh_gw_holder_t, 1);
	holder->vm = vm;
	g_hash_table_insert(gateway->holders, (void *)vm, holder);
	return holder;
}

static const char *own_vm(const _jh_gateway_t *gateway)
{
	return jh_kernel_settings(jh_task_kernel(gateway->task))->vm;
}

/* ---- choice of a holder ---- */

static bool was_holder_tried(const _jh_gw_caller_t *caller, const char *vm)
{
	unsigned i;

	for (i = 0; i < caller->holder_tries; i++) {
		if (caller->tried_holders[i] == vm)
			return true;
	}
	return false;
}

static bool can_use_holder(const char *vm, void *data)
{
	const _jh_gw_caller_t *caller = data;
	_jh_gateway_t *gateway = caller->gateway;
	const _jh_gw_holder_t *holder;

	if (g_str_equal(vm, own_vm(gateway)))
		return _jh_gateway_has_lease(gateway) || _jh_place_can_read(caller);
	if (was_holder_tried(caller, vm) || !_jh_gw_vm_is_allowed(caller, vm))
		return false;
	if (_jh_place_is_unable(_jh_gateway_get_group(gateway, caller->route.group), vm))
		return false;
	holder = g_hash_table_lookup(gateway->holders, vm);
	return !holder || jh_boot_time_us() >= holder->avoid_until_us;
}

static bool can_use_other_holder(const char *vm, void *data)
{
	return !g_str_equal(vm, own_vm(((_jh_gw_caller_t *)data)->gateway)) &&
	       can_use_holder(vm, data);
}

/* Return: VM that is to run the statement; NULL if there is none or if every VM runs its own */
static const char *choose_holder(_jh_gw_caller_t *caller, jh_holder_can_use_t can_use)
{
	_jh_gateway_t *gateway = caller->gateway;
	_jh_gw_group_t *group = _jh_gateway_get_group(gateway, caller->route.group);
	jh_holder_plan_t plan = _jh_gateway_make_plan(gateway, group->name);
	const jh_holder_map_t *map;
	const GPtrArray *ranked;

	if (plan.is_direct || caller->holder_tries >= JH_HOLDER_MAX_TRIES)
		return NULL;
	map = _jh_place_map(gateway, group);
	if (map)
		return _jh_place_choose_holder(caller, map, can_use);
	ranked = _jh_gateway_rank_vms(gateway, group);
	return jh_holder_choose(ranked, plan.holders, caller->team ? caller->team : "", can_use,
				caller);
}

/* ---- sending ---- */

static ProtobufCBinaryData frame_text(GBytes *owner)
{
	jh_text_t text = jh_text_of(owner);

	return jh_frame_bytes(text.bytes, text.length);
}

static Jh__SessionValue **values_new(GHashTable *values)
{
	Jh__SessionValue **list = g_new0(Jh__SessionValue *, g_hash_table_size(values));
	GHashTableIter iter;
	unsigned count = 0;
	void *name;
	void *value;

	g_hash_table_iter_init(&iter, values);
	while (g_hash_table_iter_next(&iter, &name, &value)) {
		Jh__SessionValue *item = g_new0(Jh__SessionValue, 1);

		jh__session_value__init(item);
		item->name = jh_frame_strdup(name);
		item->value = frame_text(value);
		list[count++] = item;
	}
	return list;
}

static void fill_session(Jh__Statement *statement, const _jh_gw_caller_t *caller)
{
	jh_position_t commit = jh_session_get_position(&caller->commits, caller->route.group);

	statement->commit_term = commit.term;
	statement->commit_index = commit.index;
	if (caller->values && g_hash_table_size(caller->values) > 0) {
		statement->n_values = g_hash_table_size(caller->values);
		statement->values = values_new(caller->values);
	}
	if (caller->type == JH_STATEMENT_EXECUTE) {
		const _jh_prepared_t *prepared =
			g_hash_table_lookup(caller->prepared, caller->name);

		statement->prepared_text = frame_text(prepared->statement_text);
		statement->prepared_writes = prepared->writes;
		statement->arguments = frame_text(caller->rest);
	}
	if (caller->tx_state == 'T') {
		statement->in_transaction = true;
		statement->is_read_only = caller->tx_read_only;
		if (!caller->holder) {
			statement->begin_id = jh_frame_strdup(caller->tx_begin_id);
			statement->begin_text = jh_frame_strdup(caller->tx_begin_text);
		}
	}
}

static void fill_route(Jh__Statement *statement, const _jh_gw_caller_t *caller)
{
	const jh_fleet_route_t *route = &caller->route;

	statement->group = jh_frame_strdup(route->group);
	statement->route = jh_frame_strdup(caller->database);
	statement->team = jh_frame_strdup(caller->team);
	statement->key = jh_frame_strdup(caller->key);
	statement->config_version = caller->gateway->config->version;
	statement->freshness =
		_jh_gw_request_reads_primary(caller) ? JH_FRESH_PRIMARY : route->freshness;
	statement->max_age_us = route->max_age_us;
	statement->target_latency_us = route->target_latency_us;
	statement->priority = route->priority;
	statement->allowed_regions = jh_frame_strdup(route->regions);
}

static void send_statement(_jh_gw_caller_t *caller, const char *vm)
{
	_jh_gateway_t *gateway = caller->gateway;
	_jh_gw_forward_t *forward = g_new0(_jh_gw_forward_t, 1);
	Jh__Frame *frame = jh_frame_new(JH__FRAME__BODY_STATEMENT);
	Jh__Statement *statement = frame->statement;
	int64_t now_us = jh_boot_time_us();

	if (!caller->holder)
		caller->operation = gateway->next_forward_id++;
	*forward = (_jh_gw_forward_t){ .id = gateway->next_forward_id++,
				       .operation = caller->operation,
				       .caller = caller,
				       .vm = vm,
				       .sent_us = now_us };
	g_hash_table_insert(gateway->forwards, &forward->id, forward);
	caller->forwards = g_slist_prepend(caller->forwards, forward);
	statement->id = forward->id;
	statement->operation = forward->operation;
	statement->type = caller->type;
	statement->request_id = jh_frame_strdup(caller->id);
	statement->text = frame_text(caller->text);
	statement->waited_us = now_us - caller->arrived_us;
	statement->timeout_us = caller->arrived_us + caller->route.timeout_us - now_us;
	statement->may_refer = _jh_place_may_refer(caller);
	fill_route(statement, caller);
	fill_session(statement, caller);
	if (caller->tx_state == 'T')
		caller->holder = vm;
	caller->last_holder = vm;
	caller->open_sends++;
	jh_counter_add(&forwarded_total, 1);
	jh_counter_add(forwarded_by_distance[_jh_place_vm_distance(gateway, vm)], 1);
	jh_frame_send(gateway->task, vm, frame);
}

/*
 * A statement that waits at its entry, since three holders could not reach the primary, is sent to
 * the holders beside the next primary: the many entries have few connections each.
 */
static void forget_tries_before_change(_jh_gw_caller_t *caller)
{
	_jh_gateway_t *gateway = caller->gateway;
	_jh_gw_group_t *group = _jh_gateway_get_group(gateway, caller->route.group);

	if (caller->holder_tries > 0 && caller->tried_epoch != group->primary.epoch &&
	    _jh_place_map(gateway, group))
		caller->holder_tries = 0;
}

bool _jh_forward_statement(_jh_gw_caller_t *caller)
{
	const char *vm;

	if (caller->remote.vm)
		return false;
	forget_tries_before_change(caller);
	vm = caller->tx_state == 'T' && caller->holder ? caller->holder :
							 choose_holder(caller, can_use_holder);
	if (!vm || g_str_equal(vm, own_vm(caller->gateway)))
		return false;
	_jh_queue_remove(caller);
	send_statement(caller, vm);
	return true;
}

/* ---- ending ---- */

static void forward_free(_jh_gateway_t *gateway, _jh_gw_forward_t *forward)
{
	forward->caller->forwards = g_slist_remove(forward->caller->forwards, forward);
	g_hash_table_remove(gateway->forwards, &forward->id);
}

static void send_release(_jh_gateway_t *gateway, const char *vm, uint64_t operation)
{
	Jh__Frame *frame = jh_frame_new(JH__FRAME__BODY_STATEMENT_RELEASE);

	frame->statement_release->operation = operation;
	jh_frame_send(gateway->task, vm, frame);
}

static void cancel_statements(_jh_gw_caller_t *caller)
{
	while (caller->forwards) {
		_jh_gw_forward_t *forward = caller->forwards->data;

		send_release(caller->gateway, forward->vm, forward->operation);
		forward_free(caller->gateway, forward);
	}
}

void _jh_forward_cancel(_jh_gw_caller_t *caller)
{
	bool is_released = caller->forwards != NULL;

	cancel_statements(caller);
	if (caller->holder && !is_released)
		send_release(caller->gateway, caller->holder, caller->operation);
	caller->holder = NULL;
}

static void mark_holder_tried(_jh_gw_caller_t *caller, const char *vm)
{
	caller->tried_epoch =
		_jh_gateway_get_group(caller->gateway, caller->route.group)->primary.epoch;
	if (caller->holder_tries < JH_HOLDER_MAX_TRIES && !was_holder_tried(caller, vm))
		caller->tried_holders[caller->holder_tries++] = vm;
}

/* ---- results ---- */

/* Return: true if the result is to be ignored because another copy of the statement may succeed */
static bool should_await_other(const _jh_gw_caller_t *caller, const Jh__StatementResult *result)
{
	return caller->forwards && (result->try_elsewhere || jh_code_means_not_run(result->code));
}

static bool is_valid_result(const Jh__StatementResult *result)
{
	return result->code <= JH_CODE_OTHER;
}

/* Where few VMs hold many groups, one group's primary must not take a VM from all of them. */
static void avoid_unable_holder(_jh_gw_caller_t *caller, const char *vm,
				const Jh__StatementResult *result)
{
	_jh_gateway_t *gateway = caller->gateway;
	_jh_gw_group_t *group = _jh_gateway_get_group(gateway, caller->route.group);

	if (result->dc_unfit) {
		jh_counter_add(&referred_total, 1);
		_jh_place_mark_unfit(gateway, group, vm);
	} else if (result->for_group && _jh_place_map(gateway, group)) {
		_jh_place_mark_unable(group, vm);
	} else {
		get_holder(gateway, vm)->avoid_until_us = jh_boot_time_us() + AVOID_UNABLE_US;
	}
}

static void handle_result(_jh_gateway_t *gateway, const jh_frame_msg_t *msg)
{
	const Jh__StatementResult *result = msg->frame->statement_result;
	_jh_gw_forward_t *forward = g_hash_table_lookup(gateway->forwards, &result->id);
	_jh_gw_caller_t *caller;

	/* The caller left, or another copy of the statement had the first result. */
	if (!forward || forward->vm != msg->vm)
		return;
	caller = forward->caller;
	jh_histogram_add(&holder_ms, jh_boot_time_us() - forward->sent_us);
	forward_free(gateway, forward);
	if (!is_valid_result(result)) {
		jh_log(JH_LOG_WARNING, "gateway", "result_invalid", "vm=%s code=%u",
		       jh_log_value(msg->vm), result->code);
		if (!caller->forwards)
			_jh_gw_request_on_holder_lost(caller, false);
		return;
	}
	if (result->not_run && result->code != JH_CODE_NONE)
		caller->open_sends--;
	if (result->try_elsewhere) {
		avoid_unable_holder(caller, msg->vm, result);
		mark_holder_tried(caller, msg->vm);
		jh_counter_add(&forwarded_again_total, 1);
		jh_log(JH_LOG_INFO, "gateway", "holder_unable", "request=%s holder=%s reason=%s",
		       jh_log_value(caller->id), jh_log_value(msg->vm),
		       jh_log_value(result->message));
	}
	if (should_await_other(caller, result))
		return;
	if (result->try_elsewhere) {
		_jh_gw_request_on_holder_lost(caller, true);
		return;
	}
	cancel_statements(caller);
	_jh_gw_request_on_result(caller, result);
}

void _jh_forward_on_frame(_jh_gateway_t *gateway, const jh_frame_msg_t *msg)
{
	Jh__Frame__BodyCase kind = msg->frame->body_case;
	bool is_check_reply =
		kind == JH__FRAME__BODY_HOLDER_CHECK && msg->frame->holder_check->is_reply;
	_jh_gw_holder_t *holder;

	if (kind != JH__FRAME__BODY_STATEMENT_RESULT && !is_check_reply)
		return;
	/* Without a boot id the peer task made the frame, in place of a peer without connection. */
	if (msg->boot != 0) {
		holder = get_holder(gateway, msg->vm);
		holder->last_received_us = jh_boot_time_us();
		holder->avoid_until_us = 0;
	}
	if (kind == JH__FRAME__BODY_STATEMENT_RESULT)
		handle_result(gateway, msg);
}

/* ---- holders that do not respond ---- */

/* Return: new array of the outstanding statements on @vm, or of all of them if it is NULL */
static GPtrArray *copy_forwards(const _jh_gateway_t *gateway, const char *vm)
{
	GPtrArray *copy = g_ptr_array_new();
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, gateway->forwards);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (!vm || ((_jh_gw_forward_t *)value)->vm == vm)
			g_ptr_array_add(copy, value);
	}
	return copy;
}

static void fail_transactions_on(_jh_gateway_t *gateway, const char *vm)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, gateway->callers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		_jh_gw_caller_t *caller = value;

		if (caller->holder == vm && caller->request == JH_REQUEST_NONE)
			_jh_gw_request_on_holder_lost(caller, false);
	}
}

void _jh_forward_on_peer_down(_jh_gateway_t *gateway, const char *vm)
{
	GPtrArray *lost = copy_forwards(gateway, vm);
	unsigned i;

	for (i = 0; i < lost->len; i++) {
		_jh_gw_forward_t *forward = g_ptr_array_index(lost, i);
		_jh_gw_caller_t *caller = forward->caller;

		forward_free(gateway, forward);
		mark_holder_tried(caller, vm);
		if (!caller->forwards)
			_jh_gw_request_on_holder_lost(caller, false);
	}
	g_ptr_array_free(lost, TRUE);
	fail_transactions_on(gateway, vm);
}

static void ask_holder(_jh_gateway_t *gateway, _jh_gw_holder_t *holder, int64_t now_us)
{
	holder->check_sent_us = now_us;
	jh_frame_send(gateway->task, holder->vm, jh_frame_new(JH__FRAME__BODY_HOLDER_CHECK));
}

/* Return: true if the holder owes a reply to a check for too long */
static bool is_unresponsive(const _jh_gw_holder_t *holder, int64_t now_us)
{
	return holder->check_sent_us > holder->last_received_us &&
	       now_us - holder->check_sent_us > CHECK_TIMEOUT_US;
}

static void check_forward(_jh_gateway_t *gateway, _jh_gw_forward_t *forward, int64_t now_us)
{
	_jh_gw_holder_t *holder = get_holder(gateway, forward->vm);
	_jh_gw_caller_t *caller = forward->caller;
	int64_t silent_since_us = MAX(forward->sent_us, holder->last_received_us);
	const char *other;

	if (now_us - silent_since_us <= CHECK_AFTER_US)
		return;
	if (!is_unresponsive(holder, now_us)) {
		if (holder->check_sent_us <= silent_since_us)
			ask_holder(gateway, holder, now_us);
		return;
	}
	if (now_us >= holder->avoid_until_us) {
		jh_log(JH_LOG_NOTICE, "gateway", "holder_silent",
		       "vm=%s silent_ms=%" G_GINT64_FORMAT, jh_log_value(holder->vm),
		       (now_us - silent_since_us) / 1000);
		holder->avoid_until_us = now_us + AVOID_SILENT_US;
		ask_holder(gateway, holder, now_us);
	}
	if (!_jh_gw_request_is_repeatable(caller) || was_holder_tried(caller, holder->vm))
		return;
	mark_holder_tried(caller, holder->vm);
	other = choose_holder(caller, can_use_other_holder);
	/* The first holder may still run the read, so that a copy adds to the members' load. */
	if (!other ||
	    !jh_retry_budget_spend(&_jh_gateway_get_group(gateway, caller->route.group)->retries))
		return;
	jh_counter_add(&forwarded_again_total, 1);
	send_statement(caller, other);
}

void _jh_forward_tick(_jh_gateway_t *gateway, int64_t now_us)
{
	bool was_paused = now_us - gateway->forward_tick_us > OWN_PAUSE_US;
	GPtrArray *forwards;
	unsigned i;

	gateway->forward_tick_us = now_us;
	if (was_paused || g_hash_table_size(gateway->forwards) == 0)
		return;
	forwards = copy_forwards(gateway, NULL);
	for (i = 0; i < forwards->len; i++)
		check_forward(gateway, g_ptr_array_index(forwards, i), now_us);
	g_ptr_array_free(forwards, TRUE);
}
