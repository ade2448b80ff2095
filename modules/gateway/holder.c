#include "internal/gateway.h"

#include "jh_counter.h"
#include "jh_forwarded.h"
#include "jh_home_regions.h"
#include "jh_log.h"
#include "jh_mirror.h"

/*
 * The holder's side of forwarding: it runs the statements of other VMs' callers on its connections.
 * Each operation, a transaction or a single statement, is a caller without a socket. It ends with
 * its result, when the entry releases it, and when the entry is lost; an open transaction is rolled
 * back then.
 */

/* Results that would not fit into a frame are dropped. */
#define RESULT_MAX_BYTES (JH_FRAME_MAX_BYTES - 64u * 1024)

JH_COUNTER(held_total, "jasminehill_held_statements_total",
	   "statements run for callers of other VMs");
JH_COUNTER(held_invalid_total, "jasminehill_held_invalid_total",
	   "statements of other VMs that are malformed");

/* ---- table of operations ---- */

static guint key_hash(gconstpointer data)
{
	const _jh_gw_operation_key_t *key = data;

	return g_direct_hash(key->vm) ^ g_int64_hash(&key->boot) ^ g_int64_hash(&key->operation);
}

static gboolean key_equal(gconstpointer a, gconstpointer b)
{
	const _jh_gw_operation_key_t *left = a;
	const _jh_gw_operation_key_t *right = b;

	return left->vm == right->vm && left->boot == right->boot &&
	       left->operation == right->operation;
}

GHashTable *_jh_holder_operations_new(void)
{
	return g_hash_table_new(key_hash, key_equal);
}

/* ---- results ---- */

static Jh__Frame *result_new(uint64_t statement_id, jh_code_t code, const char *message)
{
	Jh__Frame *frame = jh_frame_new(JH__FRAME__BODY_STATEMENT_RESULT);

	frame->statement_result->id = statement_id;
	frame->statement_result->code = code;
	frame->statement_result->message = jh_frame_strdup(message);
	frame->statement_result->transaction = 'I';
	return frame;
}

static void send_result(_jh_gw_caller_t *caller, Jh__Frame *frame)
{
	Jh__StatementResult *result = frame->statement_result;

	result->transaction = (uint32_t)caller->tx_state;
	result->member = jh_frame_strdup(caller->last_member);
	result->commit_rolled_back =
		caller->had_commit &&
		jh_session_get_position(&caller->commits, caller->route.group).term == 0;
	jh_frame_send(caller->gateway->task, caller->remote.vm, frame);
	_jh_gw_caller_clear_statement(caller);
	if (caller->tx_state != 'T')
		_jh_gw_caller_free_soon(caller);
}

static void operation_send_done(_jh_gw_caller_t *caller)
{
	send_result(caller, result_new(caller->statement_id, JH_CODE_NONE, NULL));
}

static void operation_send_error(_jh_gw_caller_t *caller, jh_code_t code, const char *text)
{
	Jh__Frame *frame = result_new(caller->statement_id, code, text);

	frame->statement_result->try_elsewhere = caller->try_elsewhere;
	frame->statement_result->dc_unfit = caller->refers;
	frame->statement_result->for_group =
		caller->try_elsewhere && _jh_gateway_has_lease(caller->gateway);
	frame->statement_result->not_run = caller->open_sends == 0;
	send_result(caller, frame);
}

static void operation_send_rows(_jh_gw_caller_t *caller, jh_text_t lines,
				const jh_position_t *position)
{
	Jh__Frame *frame = result_new(caller->statement_id, JH_CODE_NONE, NULL);
	Jh__StatementResult *result = frame->statement_result;

	if (lines.length > RESULT_MAX_BYTES) {
		result->code = JH_CODE_UNKNOWN;
		g_free(result->message);
		result->message = g_strdup("the result is too long");
	} else {
		result->rows = jh_frame_bytes(lines.bytes, lines.length);
	}
	if (position) {
		result->has_position = true;
		result->term = position->term;
		result->index = position->index;
	}
	send_result(caller, frame);
}

static const _jh_gw_transport_t operation_transport = {
	.send_done = operation_send_done,
	.send_error = operation_send_error,
	.send_rows = operation_send_rows,
};

/* Replies to a statement that is not run and whose operation, if there is one, stays unchanged. */
static void refuse_statement(_jh_gateway_t *gateway, const jh_frame_msg_t *msg, jh_code_t code,
			     bool try_elsewhere, const char *reason)
{
	const Jh__Statement *statement = msg->frame->statement;
	Jh__Frame *frame = result_new(statement->id, code, reason);

	jh_log(JH_LOG_NOTICE, "gateway", "held_refused",
	       "request=%s entry=%s group=%s code=%s reason=%s",
	       jh_log_value(statement->request_id), jh_log_value(msg->vm),
	       jh_log_value(statement->group), jh_code_name(code), jh_log_value(reason));
	frame->statement_result->try_elsewhere = try_elsewhere;
	/* An operation that is known here may have run. */
	frame->statement_result->not_run = code != JH_CODE_BAD_MESSAGE && code != JH_CODE_ABORTED;
	jh_frame_send(gateway->task, msg->vm, frame);
}

/* ---- statements ---- */

static GBytes *copy_bytes(const ProtobufCBinaryData *field)
{
	return g_bytes_new(field->data, field->len);
}

static void set_values(_jh_gw_caller_t *caller, const Jh__Statement *statement)
{
	size_t i;

	g_clear_pointer(&caller->values, g_hash_table_destroy);
	if (statement->n_values == 0)
		return;
	caller->values = _jh_gw_values_new();
	for (i = 0; i < statement->n_values; i++)
		g_hash_table_replace(caller->values, g_strdup(statement->values[i]->name),
				     copy_bytes(&statement->values[i]->value));
}

/* The session's prepared statement is known by its text; it needs a name only within the caller. */
static void set_prepared(_jh_gw_caller_t *caller, const Jh__Statement *statement)
{
	_jh_prepared_t *prepared;

	if (statement->type != JH_STATEMENT_EXECUTE)
		return;
	prepared = g_new0(_jh_prepared_t, 1);
	prepared->writes = statement->prepared_writes;
	prepared->statement_text = copy_bytes(&statement->prepared_text);
	if (!caller->prepared)
		caller->prepared = _jh_gw_prepared_table_new();
	caller->name = g_strdup("");
	g_hash_table_replace(caller->prepared, g_strdup(caller->name), prepared);
	caller->rest = copy_bytes(&statement->arguments);
}

static void set_statement(_jh_gw_caller_t *caller, const Jh__Statement *statement)
{
	caller->statement_id = statement->id;
	caller->try_elsewhere = false;
	caller->may_refer = statement->may_refer;
	caller->refers = false;
	caller->type = statement->type;
	caller->id = g_strdup(statement->request_id);
	caller->text = copy_bytes(&statement->text);
	caller->arrived_us = jh_boot_time_us() - MAX(statement->waited_us, 0);
	caller->tries = 0;
	caller->last_member = NULL;
	caller->estimate = (jh_admission_decision_t){ 0 };
	caller->had_commit = statement->commit_term != 0;
	jh_session_clear(&caller->commits);
	if (caller->had_commit)
		jh_session_advance(&caller->commits, statement->group,
				   (jh_position_t){ .term = statement->commit_term,
						    .index = statement->commit_index });
	set_values(caller, statement);
	set_prepared(caller, statement);
}

/*
 * Return: regions in which the operation may run, by the entry's configuration and, as in
 * check_operation(), by this VM's if that is newer
 */
static const char *statement_regions(const _jh_gw_caller_t *caller, const Jh__Statement *statement)
{
	const jh_fleet_config_t *config = caller->gateway->config;
	const jh_fleet_route_t *route = g_hash_table_lookup(config->routes, statement->route);
	const char *regions = *statement->allowed_regions ? statement->allowed_regions : NULL;
	bool is_newer = config->version > statement->config_version && route;

	return jh_home_regions_both(
		regions, is_newer ? _jh_gw_operation_regions(config, route, caller->team) : NULL);
}

static void set_route(_jh_gw_caller_t *caller, const Jh__Statement *statement)
{
	caller->route = (jh_fleet_route_t){
		.group = g_intern_string(statement->group),
		.freshness = statement->freshness,
		.max_age_us = statement->max_age_us,
		.timeout_us = statement->waited_us + statement->timeout_us,
		.target_latency_us = statement->target_latency_us,
		.priority = statement->priority,
		.regions = statement_regions(caller, statement),
	};
}

/*
 * Checks a new operation against this VM's configuration if that is newer than the entry's, so that
 * a VM that has used a version does not fall back to an older one.
 *
 * Return: JH_CODE_NONE if the operation is allowed
 */
static jh_code_t check_operation(const jh_fleet_config_t *config, const Jh__Statement *statement)
{
	const jh_fleet_route_t *route;

	if (config->version <= statement->config_version)
		return JH_CODE_NONE;
	route = g_hash_table_lookup(config->routes, statement->route);
	if (!route)
		return JH_CODE_NO_ROUTE;
	if (!g_str_equal(route->group, statement->group))
		return JH_CODE_BUSY;
	if (!route->is_public && !g_hash_table_contains(config->keys, statement->key))
		return JH_CODE_NO_KEY;
	return JH_CODE_NONE;
}

static const char *check_reason(jh_code_t code)
{
	switch (code) {
	case JH_CODE_NO_ROUTE:
		return "there is no such route";
	case JH_CODE_NO_KEY:
		return "the key belongs to no team";
	default:
		return "the route has changed retry-after-ms=200";
	}
}

/* Return: new caller for the operation; NULL if it was refused */
static _jh_gw_caller_t *start_operation(_jh_gateway_t *gateway, const jh_frame_msg_t *msg,
					const _jh_gw_operation_key_t *key)
{
	const Jh__Statement *statement = msg->frame->statement;
	jh_code_t code;
	_jh_gw_caller_t *caller;

	if (!gateway->config || !gateway->is_complete) {
		refuse_statement(gateway, msg, JH_CODE_BUSY, true, "no configuration yet");
		return NULL;
	}
	if (_jh_gateway_config_is_late(gateway)) {
		refuse_statement(gateway, msg, JH_CODE_BUSY, true, JH_CONFIG_LATE_REASON);
		return NULL;
	}
	code = check_operation(gateway->config, statement);
	if (code != JH_CODE_NONE) {
		refuse_statement(gateway, msg, code, false, check_reason(code));
		return NULL;
	}
	caller = _jh_gw_caller_new_remote(gateway, &operation_transport, key);
	caller->database = g_strdup(statement->route);
	caller->team = *statement->team ? g_intern_string(statement->team) : NULL;
	if (statement->in_transaction) {
		caller->tx_state = 'T';
		caller->tx_read_only = statement->is_read_only;
		caller->tx_begin_id = g_strdup(statement->begin_id);
		caller->tx_begin_text = g_strdup(statement->begin_text);
	}
	return caller;
}

static void handle_statement(_jh_gateway_t *gateway, const jh_frame_msg_t *msg)
{
	const Jh__Statement *statement = msg->frame->statement;
	const _jh_gw_operation_key_t key = { .vm = msg->vm,
					     .boot = msg->boot,
					     .operation = statement->operation };
	_jh_gw_caller_t *caller = g_hash_table_lookup(gateway->operations, &key);
	bool continues = statement->in_transaction && !*statement->begin_text;

	if (!jh_forwarded_is_valid(statement) || (caller && caller->request != JH_REQUEST_NONE) ||
	    (caller && !continues)) {
		jh_counter_add(&held_invalid_total, 1);
		refuse_statement(gateway, msg, JH_CODE_BAD_MESSAGE, false,
				 "not a valid statement of a vm");
		return;
	}
	if (continues && (!caller || caller->tx_state != 'T')) {
		refuse_statement(gateway, msg, JH_CODE_ABORTED, false,
				 "the transaction was rolled back");
		return;
	}
	if (!caller)
		caller = start_operation(gateway, msg, &key);
	if (!caller)
		return;
	jh_counter_add(&held_total, 1);
	set_statement(caller, statement);
	set_route(caller, statement);
	_jh_gw_request_run_forwarded(caller, statement->timeout_us);
}

static void handle_release(_jh_gateway_t *gateway, const jh_frame_msg_t *msg)
{
	const _jh_gw_operation_key_t key = {
		.vm = msg->vm,
		.boot = msg->boot,
		.operation = msg->frame->statement_release->operation,
	};
	_jh_gw_caller_t *caller = g_hash_table_lookup(gateway->operations, &key);

	if (caller)
		_jh_gw_caller_free(caller);
}

static void handle_check(_jh_gateway_t *gateway, const jh_frame_msg_t *msg)
{
	Jh__Frame *reply;

	if (msg->frame->holder_check->is_reply)
		return;
	reply = jh_frame_new(JH__FRAME__BODY_HOLDER_CHECK);
	reply->holder_check->is_reply = true;
	jh_frame_send(gateway->task, msg->vm, reply);
}

void _jh_holder_on_frame(_jh_gateway_t *gateway, const jh_frame_msg_t *msg)
{
	switch (msg->frame->body_case) {
	case JH__FRAME__BODY_STATEMENT:
		handle_statement(gateway, msg);
		break;
	case JH__FRAME__BODY_STATEMENT_RELEASE:
		handle_release(gateway, msg);
		break;
	case JH__FRAME__BODY_HOLDER_CHECK:
		handle_check(gateway, msg);
		break;
	default:
		break;
	}
}

void _jh_holder_on_peer_down(_jh_gateway_t *gateway, const char *vm, uint64_t boot)
{
	GPtrArray *lost = g_ptr_array_new();
	GHashTableIter iter;
	void *value;
	unsigned i;

	g_hash_table_iter_init(&iter, gateway->operations);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const _jh_gw_caller_t *caller = value;

		if (caller->remote.vm == vm && caller->remote.boot == boot)
			g_ptr_array_add(lost, value);
	}
	for (i = 0; i < lost->len; i++)
		_jh_gw_caller_free(g_ptr_array_index(lost, i));
	g_ptr_array_free(lost, TRUE);
}
