#include "internal/gateway.h"

#include "jh_counter.h"
#include "jh_home_regions.h"
#include "jh_log.h"
#include "jh_mirror.h"
#include "jh_service.h"

#include <string.h>

/*
 * Processing of one statement: it is checked against the configuration, counted against the team's
 * rate, assigned a connection, sent, and retried where the failed attempt left no effect. The
 * caller gets exactly one response.
 *
 * The gateway answers BEGIN itself and sends it to a member together with the first statement of
 * the transaction. Session values and prepared statements are kept in the session and are set on a
 * connection when a statement needs them there.
 */

/* A statement waits for its team's quota at most the target latency divided by this. */
#define QUOTA_WAIT_DIVISOR 12

/* It waits for at least this many round trips to the farthest VM, from which the grant may come. */
#define QUOTA_WAIT_ROUND_TRIPS 3

/*
 * A read is retried on another member if its member sends nothing on any connection for this long,
 * microseconds.
 */
#define READ_UNRESPONSIVE_US (500 * INT64_C(1000))

/*
 * The entry waits this much longer than the route's timeout for a holder, which stops at the
 * timeout and knows whether the statement ran; microseconds.
 */
#define HOLDER_TIMEOUT_MARGIN_US (100 * INT64_C(1000))

/* Retry delay, milliseconds, sent to callers that this VM cannot serve at all, but others can. */
#define OTHER_VM_RETRY_MS 200

/* The same for a VM that shuts down: the balancer sends new sessions to others. */
#define SHUTDOWN_RETRY_MS 10

/* A longer text of a prepared statement is named by its digest, so that PREPARE stays in a message.
 */
#define PREPARED_NAME_MAX_BYTES 128u

JH_COUNTER(retries_total, "jasminehill_retries_total",
	   "statements that were run on another connection after the first did not run them");
JH_COUNTER(retries_denied_total, "jasminehill_retries_denied_total",
	   "statements refused because the retry budget of their group was used up");

/* ---- classification of statements ---- */

static _jh_gw_group_t *get_group(const _jh_gw_caller_t *caller)
{
	return _jh_gateway_get_group(caller->gateway, caller->route.group);
}

static bool is_write(const _jh_gw_caller_t *caller)
{
	const _jh_prepared_t *prepared;

	if (caller->type == JH_STATEMENT_WRITE)
		return true;
	if (caller->type != JH_STATEMENT_EXECUTE)
		return false;
	prepared = g_hash_table_lookup(caller->prepared, caller->name);
	return prepared->writes;
}

bool _jh_gw_request_reads_primary(const _jh_gw_caller_t *caller)
{
	return caller->route.freshness == JH_FRESH_PRIMARY ||
	       (caller->route.freshness == JH_FRESH_READ_YOUR_WRITES &&
		caller->has_unplaced_commit);
}

bool _jh_gw_request_needs_primary(const _jh_gw_caller_t *caller)
{
	if (_jh_gw_request_reads_primary(caller))
		return true;
	if (caller->tx_state == 'T')
		return !caller->tx_read_only;
	return is_write(caller);
}

bool _jh_gw_request_is_repeatable(const _jh_gw_caller_t *caller)
{
	return caller->tx_state != 'T' && !is_write(caller);
}

/* Return: true if bytes of the statement may have left this VM */
static bool may_have_been_sent(const _jh_gw_caller_t *caller)
{
	return caller->request == JH_REQUEST_SENT || caller->request == JH_REQUEST_FORWARDED;
}

/* Return: true if the statement can run again, as no earlier attempt can have had an effect */
static bool can_retry(const _jh_gw_caller_t *caller)
{
	if (!may_have_been_sent(caller))
		return caller->tx_state != 'T' || !caller->tx_began;
	return _jh_gw_request_is_repeatable(caller);
}

/* Return: true if the statement commits: what it wrote takes effect if it succeeds */
static bool is_commit(const _jh_gw_caller_t *caller)
{
	return caller->type == JH_STATEMENT_COMMIT ? !caller->tx_read_only :
						     caller->tx_state != 'T' && is_write(caller);
}

/* ---- end of a statement or transaction ---- */

/* Return: true if the caller's connection has nothing outstanding after a successful statement */
static bool is_conn_done(const _jh_gw_caller_t *caller)
{
	return caller->conn && caller->conn->step == JH_CONN_IDLE && caller->conn->answers.is_done;
}

static void release_conn(_jh_gw_caller_t *caller)
{
	_jh_forward_cancel(caller);
	_jh_queue_finish(caller, is_conn_done(caller));
	if (caller->conn)
		_jh_gw_conn_release(caller->conn);
	caller->conn = NULL;
}

/* Closes a connection whose statement may still run; the member rolls back its open transaction. */
static void close_conn(_jh_gw_caller_t *caller)
{
	_jh_forward_cancel(caller);
	_jh_queue_finish(caller, false);
	if (caller->conn)
		_jh_gw_conn_close(caller->conn);
	caller->conn = NULL;
}

static void transaction_end(_jh_gw_caller_t *caller)
{
	caller->tx_state = 'I';
	caller->tx_began = false;
	caller->tx_error = JH_CODE_NONE;
	g_clear_pointer(&caller->tx_begin_id, g_free);
	g_clear_pointer(&caller->tx_begin_text, g_free);
}

/* The member has rolled the transaction back; the caller still has to end it. */
static void transaction_fail(_jh_gw_caller_t *caller)
{
	if (caller->tx_state == 'T')
		caller->tx_state = 'E';
	caller->tx_began = false;
}

/*
 * After an error, a COMMIT ends its transaction whatever the outcome; any other statement marks it
 * as failed.
 */
static void transaction_handle_error(_jh_gw_caller_t *caller)
{
	if (caller->type == JH_STATEMENT_COMMIT)
		transaction_end(caller);
	else
		transaction_fail(caller);
}

void _jh_gw_request_end_transaction(_jh_gw_caller_t *caller, jh_code_t code)
{
	jh_log(JH_LOG_NOTICE, "gateway", "transaction_ended", "team=%s route=%s code=%s",
	       jh_log_value(caller->team), jh_log_value(caller->database), jh_code_name(code));
	release_conn(caller);
	caller->tx_error = code;
	transaction_fail(caller);
}

void _jh_gw_request_abandon(_jh_gw_caller_t *caller)
{
	_jh_queue_remove(caller);
	caller->request = JH_REQUEST_NONE;
	release_conn(caller);
}

/* Gives back the quota of a refused operation if nothing of it ran on a member. */
static void give_back_quota(_jh_gw_caller_t *caller)
{
	if (caller->quota_grant == 0 || caller->open_sends > 0)
		return;
	jh_quota_give_back(caller->gateway->task, caller->team, caller->quota_grant);
	caller->quota_grant = 0;
}

/* Refuses a statement with the guarantee that it took no effect: any part that ran rolls back. */
static void refuse_safe_to_retry(_jh_gw_caller_t *caller, jh_code_t code, const char *reason)
{
	int retry_ms;

	_jh_queue_remove(caller);
	retry_ms = _jh_queue_retry_ms(caller);
	if (caller->conn && caller->request == JH_REQUEST_SENT)
		close_conn(caller);
	release_conn(caller);
	give_back_quota(caller);
	transaction_handle_error(caller);
	_jh_gw_caller_refuse(caller, code, "%s retry-after-ms=%d", reason, retry_ms);
}

static void refuse_outcome_unknown(_jh_gw_caller_t *caller, jh_code_t code, const char *reason)
{
	close_conn(caller);
	transaction_handle_error(caller);
	_jh_gw_caller_refuse(caller, code, "%s", reason);
}

/* ---- start of a statement ---- */

static void prepared_free(void *data)
{
	_jh_prepared_t *prepared = data;

	g_bytes_unref(prepared->statement_text);
	g_free(prepared);
}

GHashTable *_jh_gw_values_new(void)
{
	return g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
				     (GDestroyNotify)g_bytes_unref);
}

bool _jh_gw_has_value(GHashTable *values, const char *name, GBytes *value)
{
	GBytes *present = g_hash_table_lookup(values, name);

	return present && g_bytes_equal(present, value);
}

GHashTable *_jh_gw_prepared_table_new(void)
{
	return g_hash_table_new_full(g_str_hash, g_str_equal, g_free, prepared_free);
}

static void session_prepare(_jh_gw_caller_t *caller, const jh_statement_t *statement)
{
	_jh_prepared_t *prepared = g_new0(_jh_prepared_t, 1);

	if (!caller->prepared)
		caller->prepared = _jh_gw_prepared_table_new();
	prepared->writes = statement->prepares_write;
	prepared->statement_text = jh_text_copy(statement->rest);
	g_hash_table_replace(caller->prepared, g_strdup(statement->name), prepared);
}

static void session_set_value(_jh_gw_caller_t *caller, const jh_statement_t *statement)
{
	if (!caller->values)
		caller->values = _jh_gw_values_new();
	g_hash_table_replace(caller->values, g_strdup(statement->name),
			     jh_text_copy(statement->rest));
}

/* Handles statements that only change the session. Return: true if it was one */
static bool handle_session_statement(_jh_gw_caller_t *caller, const jh_statement_t *statement)
{
	switch (statement->type) {
	case JH_STATEMENT_SET:
		session_set_value(caller, statement);
		break;
	case JH_STATEMENT_PREPARE:
		session_prepare(caller, statement);
		break;
	case JH_STATEMENT_DEALLOCATE:
		if (!caller->prepared || !g_hash_table_remove(caller->prepared, statement->name)) {
			_jh_gw_caller_refuse(caller, JH_CODE_NO_STATEMENT,
					     "there is no such prepared statement");
			return true;
		}
		break;
	default:
		return false;
	}
	_jh_gw_caller_send_done(caller);
	return true;
}

/* Looks up the route and the team of a new operation. Return: false if it was refused */
static bool operation_authorize(_jh_gw_caller_t *caller)
{
	const jh_fleet_config_t *config = caller->gateway->config;
	const jh_fleet_route_t *route = g_hash_table_lookup(config->routes, caller->database);

	if (_jh_gateway_config_is_late(caller->gateway)) {
		_jh_gw_caller_refuse(caller, JH_CODE_BUSY, "%s retry-after-ms=%d",
				     JH_CONFIG_LATE_REASON, OTHER_VM_RETRY_MS);
		return false;
	}
	if (!route) {
		_jh_gw_caller_refuse(caller, JH_CODE_NO_ROUTE, "there is no such route");
		return false;
	}
	caller->team = caller->key ? g_hash_table_lookup(config->keys, caller->key) : NULL;
	if (!caller->team && !route->is_public) {
		_jh_gw_caller_refuse(caller, JH_CODE_NO_KEY, "the key belongs to no team");
		return false;
	}
	caller->route = *route;
	caller->route.database = NULL;
	caller->route.regions = _jh_gw_operation_regions(config, route, caller->team);
	return true;
}

/* Return: whether the statement of a new operation may start; if not, it was refused */
static bool operation_may_start(_jh_gw_caller_t *caller, int64_t wait_us)
{
	int64_t timeout_us =
		caller->type == JH_STATEMENT_BEGIN || caller->type == JH_STATEMENT_BEGIN_READ ?
			INT64_MAX :
			wait_us + caller->route.timeout_us;

	if (_jh_gateway_may_start(caller->gateway, timeout_us))
		return true;
	_jh_gw_caller_refuse(caller, JH_CODE_BUSY, JH_SHUTDOWN_REASON " retry-after-ms=%d",
			     SHUTDOWN_RETRY_MS);
	return false;
}

static int64_t quota_wait_us(const _jh_gw_caller_t *caller)
{
	jh_distance_t span = jh_topology_span(caller->gateway->topology);

	return MAX(caller->route.target_latency_us / QUOTA_WAIT_DIVISOR,
		   QUOTA_WAIT_ROUND_TRIPS * jh_topology_cost_us(span));
}

/* Requests quota for a new operation; _jh_gw_request_on_quota() continues with the statement. */
static void operation_begin(_jh_gw_caller_t *caller)
{
	if (!operation_authorize(caller) || !operation_may_start(caller, quota_wait_us(caller)))
		return;
	if (!caller->team) {
		_jh_gw_request_on_quota(caller, &(jh_quota_msg_t){ .granted = true });
		return;
	}
	caller->request = JH_REQUEST_QUOTA;
	jh_quota_ask(caller->gateway->task, caller->team, 1, quota_wait_us(caller), caller->tag);
}

static void handle_begin(_jh_gw_caller_t *caller)
{
	if (caller->tx_state != 'I') {
		_jh_gw_caller_refuse(caller, JH_CODE_BAD_MESSAGE, "a transaction is open already");
		return;
	}
	operation_begin(caller);
}

static void handle_rollback(_jh_gw_caller_t *caller)
{
	release_conn(caller);
	transaction_end(caller);
	_jh_gw_caller_send_done(caller);
}

static void start_timeout(_jh_gw_caller_t *caller, int64_t timeout_us)
{
	struct ev_loop *loop = jh_task_loop(caller->gateway->task);

	ev_timer_stop(loop, &caller->timer);
	ev_timer_set(&caller->timer, (double)timeout_us / G_USEC_PER_SEC, 0);
	ev_timer_start(loop, &caller->timer);
}

/* Refuses a statement that could outlast the process; an open transaction is rolled back. */
static void refuse_before_exit(_jh_gw_caller_t *caller)
{
	caller->try_elsewhere = caller->tx_state != 'T' || !caller->tx_began;
	refuse_safe_to_retry(caller, caller->tx_state == 'T' ? JH_CODE_ABORTED : JH_CODE_BUSY,
			     JH_SHUTDOWN_REASON);
}

static void statement_run(_jh_gw_caller_t *caller)
{
	if (!_jh_gateway_may_start(caller->gateway, caller->route.timeout_us)) {
		refuse_before_exit(caller);
		return;
	}
	start_timeout(caller, caller->route.timeout_us);
	jh_retry_budget_add_request(&get_group(caller)->retries);
	_jh_gw_request_dispatch(caller);
}

void _jh_gw_request_run_forwarded(_jh_gw_caller_t *caller, int64_t timeout_us)
{
	bool is_accepted = caller->tx_began ? _jh_gateway_may_start(caller->gateway, timeout_us) :
					      _jh_gateway_has_time(caller->gateway, timeout_us);

	if (!is_accepted) {
		refuse_before_exit(caller);
		return;
	}
	start_timeout(caller, timeout_us);
	jh_retry_budget_add_request(&get_group(caller)->retries);
	_jh_gw_request_dispatch(caller);
}

/* Return: new string of the bytes of a text without a NUL */
static char *copy_string(GBytes *text)
{
	jh_text_t bytes = jh_text_of(text);

	return g_strndup(bytes.bytes, bytes.length);
}

void _jh_gw_request_on_quota(_jh_gw_caller_t *caller, const jh_quota_msg_t *reply)
{
	caller->quota_grant = reply->grant;
	caller->open_sends = 0;
	if (!reply->granted) {
		_jh_gw_caller_refuse(caller, JH_CODE_BUSY, "%s retry-after-ms=%u",
				     jh_quota_refusal_text(reply->refusal), reply->retry_after_ms);
		return;
	}
	if (caller->type == JH_STATEMENT_BEGIN || caller->type == JH_STATEMENT_BEGIN_READ) {
		caller->tx_state = 'T';
		caller->tx_read_only = caller->type == JH_STATEMENT_BEGIN_READ;
		caller->tx_begin_id = g_strdup(caller->id);
		caller->tx_begin_text = copy_string(caller->text);
		caller->tx_began = false;
		_jh_gw_caller_send_done(caller);
		return;
	}
	statement_run(caller);
}

/* Handles a statement in a failed transaction, in which only COMMIT and ROLLBACK are valid. */
static void handle_in_failed_transaction(_jh_gw_caller_t *caller)
{
	jh_code_t code = caller->tx_error;

	if (caller->type == JH_STATEMENT_COMMIT) {
		release_conn(caller);
		transaction_end(caller);
		_jh_gw_caller_refuse(caller, JH_CODE_ABORTED, "the transaction was rolled back");
	} else if (code != JH_CODE_NONE) {
		caller->tx_error = JH_CODE_NONE;
		_jh_gw_caller_refuse(caller, code, "the transaction was rolled back");
	} else {
		_jh_gw_caller_refuse(caller, JH_CODE_BAD_MESSAGE,
				     "the transaction failed and must be ended");
	}
}

static void handle_data_statement(_jh_gw_caller_t *caller)
{
	if (caller->type == JH_STATEMENT_EXECUTE &&
	    (!caller->prepared || !g_hash_table_contains(caller->prepared, caller->name))) {
		_jh_gw_caller_refuse(caller, JH_CODE_NO_STATEMENT,
				     "there is no such prepared statement");
		return;
	}
	if (caller->tx_state == 'T')
		statement_run(caller);
	else
		operation_begin(caller);
}

static void request_init(_jh_gw_caller_t *caller, const jh_caller_message_t *message)
{
	caller->type = message->statement.type;
	caller->id = g_strdup(message->id);
	caller->text = jh_text_copy(message->statement.text);
	caller->name = g_strdup(message->statement.name);
	caller->rest = jh_text_copy(message->statement.rest);
	caller->arrived_us = jh_boot_time_us();
	caller->tries = 0;
	caller->last_member = NULL;
	caller->estimate = (jh_admission_decision_t){ 0 };
	caller->last_holder = NULL;
	caller->holder_tries = 0;
}

void _jh_gw_request_start(_jh_gw_caller_t *caller, const jh_caller_message_t *message)
{
	request_init(caller, message);
	if (caller->type == JH_STATEMENT_INVALID) {
		_jh_gw_caller_refuse(caller, JH_CODE_BAD_MESSAGE, "not a statement");
		return;
	}
	if (caller->type == JH_STATEMENT_ROLLBACK) {
		handle_rollback(caller);
		return;
	}
	if (caller->tx_state == 'E') {
		handle_in_failed_transaction(caller);
		return;
	}
	if (handle_session_statement(caller, &message->statement))
		return;
	switch (caller->type) {
	case JH_STATEMENT_BEGIN:
	case JH_STATEMENT_BEGIN_READ:
		handle_begin(caller);
		break;
	case JH_STATEMENT_COMMIT:
		if (caller->tx_state == 'T')
			statement_run(caller);
		else
			_jh_gw_caller_refuse(caller, JH_CODE_BAD_MESSAGE, "no transaction is open");
		break;
	default:
		handle_data_statement(caller);
		break;
	}
}

/* ---- sending to a member ---- */

/*
 * Sends the first session value that the connection lacks, or a reset if the connection has a value
 * that the session lacks. Return: true if a statement was sent
 */
static bool send_next_setting(_jh_gw_caller_t *caller, _jh_gw_conn_t *conn)
{
	GHashTableIter iter;
	void *name;
	void *value;

	g_hash_table_iter_init(&iter, conn->values);
	while (g_hash_table_iter_next(&iter, &name, NULL)) {
		if (!caller->values || !g_hash_table_contains(caller->values, name)) {
			_jh_gw_conn_send_internal(conn, JH_CONN_SETTING, JH_STATEMENT_RESET, NULL,
						  (jh_text_t){ 0 });
			return true;
		}
	}
	if (!caller->values)
		return false;
	g_hash_table_iter_init(&iter, caller->values);
	while (g_hash_table_iter_next(&iter, &name, &value)) {
		if (_jh_gw_has_value(conn->values, name, value))
			continue;
		conn->setting_name = g_strdup(name);
		conn->setting_value = g_bytes_ref(value);
		_jh_gw_conn_send_internal(conn, JH_CONN_SETTING, JH_STATEMENT_SET, name,
					  jh_text_of(value));
		return true;
	}
	return false;
}

/* Sessions that prepare the same statement share one name on a connection. Return: new */
static GBytes *shared_prepared_name(const _jh_prepared_t *prepared)
{
	GString *name = g_string_new(prepared->writes ? "w" : "r");
	jh_text_t text = jh_text_of(prepared->statement_text);

	if (text.length <= PREPARED_NAME_MAX_BYTES) {
		g_string_append_c(name, '_');
		g_string_append_len(name, text.bytes, (gssize)text.length);
	} else {
		char *digest =
			g_compute_checksum_for_bytes(G_CHECKSUM_SHA256, prepared->statement_text);

		g_string_append(name, "d_");
		g_string_append(name, digest);
		g_free(digest);
	}
	return g_string_free_to_bytes(name);
}

/* Refuses a statement that does not fit into a message with what the proxy adds to it. */
static void refuse_too_big(_jh_gw_caller_t *caller)
{
	close_conn(caller);
	give_back_quota(caller);
	transaction_handle_error(caller);
	_jh_gw_caller_refuse(caller, JH_CODE_TOO_BIG, "the message to the member is too long");
}

static bool send_prepare_if_needed(_jh_gw_caller_t *caller, _jh_gw_conn_t *conn)
{
	const jh_wire_t *wire = caller->gateway->wire;
	const _jh_prepared_t *prepared;
	GBytes *name;
	GBytes *text;
	bool is_sent;

	if (caller->type != JH_STATEMENT_EXECUTE)
		return false;
	prepared = g_hash_table_lookup(caller->prepared, caller->name);
	name = shared_prepared_name(prepared);
	if (g_hash_table_contains(conn->prepared, name)) {
		g_bytes_unref(name);
		return false;
	}
	text = wire->format_prepare_text(jh_text_of(name), prepared->writes,
					 jh_text_of(prepared->statement_text));
	conn->preparing = name;
	is_sent = _jh_gw_conn_send(conn, JH_CONN_SETTING, NULL, NULL, jh_text_of(text));
	g_bytes_unref(text);
	if (!is_sent)
		refuse_too_big(caller);
	return true;
}

static void send_begin(_jh_gw_caller_t *caller, _jh_gw_conn_t *conn, const _jh_read_need_t *need)
{
	caller->open_sends++;
	_jh_gw_conn_send(conn, JH_CONN_BEGINNING, caller->tx_begin_id,
			 need->has_position ? &need->position : NULL,
			 jh_text_of_string(caller->tx_begin_text));
}

static void send_statement(_jh_gw_caller_t *caller, _jh_gw_conn_t *conn,
			   const _jh_read_need_t *need)
{
	bool has_position = need->has_position && caller->tx_state != 'T' && !is_write(caller);
	GBytes *text = NULL;
	bool is_sent;

	if (caller->type == JH_STATEMENT_EXECUTE) {
		GBytes *name =
			shared_prepared_name(g_hash_table_lookup(caller->prepared, caller->name));

		text = caller->gateway->wire->format_execute_text(jh_text_of(name),
								  jh_text_of(caller->rest));
		g_bytes_unref(name);
	}
	is_sent = _jh_gw_conn_send(conn, JH_CONN_RUNNING, caller->id,
				   has_position ? &need->position : NULL,
				   jh_text_of(text ? text : caller->text));
	g_clear_pointer(&text, g_bytes_unref);
	if (!is_sent) {
		refuse_too_big(caller);
		return;
	}
	caller->request = JH_REQUEST_SENT;
	caller->last_member = conn->member->info->id;
	caller->open_sends++;
}

/*
 * Checks whether the statement may still run on its connection, since the state of the group may
 * have changed while the connection was opened and set up. The primary may be used only while this
 * VM's mirror lease is valid, any other member only while the read's freshness requirement is
 * known.
 */
static bool conn_is_allowed(const _jh_gw_caller_t *caller, const _jh_gw_conn_t *conn,
			    const _jh_read_need_t *need)
{
	if (_jh_gw_member_phase(caller->gateway, conn->member) == JH_DC_CLOSED)
		return false;
	if (caller->tx_began && !_jh_gw_request_needs_primary(caller))
		return true;
	if (!caller->tx_began && (_jh_gw_member_has_left(caller->gateway, conn->member) ||
				  !_jh_gw_member_accepts(caller, conn->member)))
		return false;
	if (_jh_gw_group_primary(caller->gateway, conn->member->group) == conn->member)
		return _jh_gateway_has_lease(caller->gateway);
	return need->is_known;
}

/*
 * Closes the caller's idle connection. A transaction that has begun on it is rolled back; otherwise
 * the statement continues on another one.
 */
static void replace_conn(_jh_gw_caller_t *caller, const char *reason)
{
	close_conn(caller);
	if (caller->tx_began) {
		refuse_safe_to_retry(caller, JH_CODE_ABORTED, reason);
		return;
	}
	caller->request = JH_REQUEST_ASSIGNED;
	_jh_gw_request_dispatch(caller);
}

/*
 * The success of a setting or of a BEGIN has no signature. If the member repeats answers, only the
 * first one of its kind on a connection is certain, and a status after the settings shows that all
 * their replies have been received. A PREPARE needs no such proof: without it, EXECUTE is refused.
 */
static bool can_confirm(const _jh_gw_conn_t *conn)
{
	return !_jh_gw_conn_is_unconfirmed(conn) || !conn->answers.has_status;
}

static bool can_begin(const _jh_gw_conn_t *conn)
{
	return !conn->member->group->repeats_answers || !conn->has_begun;
}

bool _jh_gw_request_can_use(const _jh_gw_caller_t *caller, const _jh_gw_conn_t *conn,
			    bool lacks_values)
{
	if (!conn->member->group->repeats_answers)
		return true;
	if (caller->tx_state == 'T' && !can_begin(conn))
		return false;
	return can_confirm(conn) && !(conn->answers.has_status && lacks_values);
}

/*
 * Sends the first of these that is still to be sent: a session value, PREPARE, BEGIN, the
 * statement. The connection must be idle.
 */
static void send_next_step(_jh_gw_caller_t *caller)
{
	_jh_gw_conn_t *conn = caller->conn;
	_jh_read_need_t need = _jh_dispatch_read_need(caller);
	bool begins = caller->tx_state == 'T' && !caller->tx_began;

	if (!_jh_gw_conn_discard_input(conn)) {
		replace_conn(caller, "an answer of the member belongs to no statement");
		return;
	}
	if (!conn_is_allowed(caller, conn, &need)) {
		if (caller->tx_began) {
			refuse_safe_to_retry(caller, JH_CODE_ABORTED,
					     "its member must not be used any more");
			return;
		}
		caller->request = JH_REQUEST_ASSIGNED;
		release_conn(caller);
		_jh_gw_request_dispatch(caller);
		return;
	}
	if (_jh_gw_slow_start_must_wait(caller))
		return;
	if (send_next_setting(caller, conn) || send_prepare_if_needed(caller, conn))
		return;
	/* An error of a setting in an open transaction aborts it, like that of a statement. */
	if ((!caller->tx_began && !can_confirm(conn)) || (begins && !can_begin(conn)))
		replace_conn(caller, "the member repeats answers");
	else if (!caller->tx_began && _jh_gw_conn_is_unconfirmed(conn))
		_jh_gw_conn_send_internal(conn, JH_CONN_CONFIRMING, JH_STATEMENT_STATUS, NULL,
					  (jh_text_t){ 0 });
	else if (begins)
		send_begin(caller, conn, &need);
	else
		send_statement(caller, conn, &need);
}

bool _jh_gw_request_forward(_jh_gw_caller_t *caller)
{
	if (!_jh_forward_statement(caller))
		return false;
	caller->request = JH_REQUEST_FORWARDED;
	start_timeout(caller, caller->arrived_us + caller->route.timeout_us +
				      HOLDER_TIMEOUT_MARGIN_US - jh_boot_time_us());
	return true;
}

void _jh_gw_request_assign(_jh_gw_caller_t *caller, _jh_gw_conn_t *conn)
{
	caller->request = JH_REQUEST_ASSIGNED;
	_jh_gw_conn_assign(conn, caller);
	if (conn->step == JH_CONN_IDLE)
		send_next_step(caller);
}

void _jh_gw_request_refuse_waiting(_jh_gw_caller_t *caller, bool try_elsewhere, const char *reason)
{
	caller->try_elsewhere = try_elsewhere;
	refuse_safe_to_retry(caller, JH_CODE_BUSY, reason);
}

void _jh_gw_request_dispatch(_jh_gw_caller_t *caller)
{
	const char *reason = NULL;
	_jh_gw_conn_t *conn = NULL;

	if (caller->conn) {
		caller->request = JH_REQUEST_ASSIGNED;
		send_next_step(caller);
		return;
	}
	if (_jh_gw_request_forward(caller))
		return;
	switch (_jh_queue_admit(caller, &conn, &reason)) {
	case JH_QUEUE_FOUND:
		_jh_gw_request_assign(caller, conn);
		break;
	case JH_QUEUE_WAIT:
		caller->request = JH_REQUEST_WAITING;
		break;
	case JH_QUEUE_REFUSE:
		refuse_safe_to_retry(caller, JH_CODE_BUSY, reason);
		break;
	case JH_QUEUE_ELSEWHERE:
		_jh_gw_request_refuse_waiting(caller, true, reason);
		break;
	}
}

void _jh_gw_request_on_cold_token(_jh_gw_caller_t *caller, bool granted)
{
	if (!granted && caller->tx_began) {
		refuse_safe_to_retry(caller, JH_CODE_ABORTED,
				     "its member has just started and gets a limited rate");
		return;
	}
	caller->request = JH_REQUEST_ASSIGNED;
	if (!granted)
		release_conn(caller);
	_jh_gw_request_dispatch(caller);
}

/* ---- outcomes ---- */

/*
 * Runs the statement again; the caller has checked that no attempt can have had an effect.
 * @used_member: the attempt took time of a member, so that the retry needs a token of the budget
 */
static void retry_statement(_jh_gw_caller_t *caller, jh_code_t code, const char *member,
			    bool used_member)
{
	if (caller->tries < JH_REQUEST_MAX_TRIES)
		caller->tried[caller->tries] = member;
	caller->tries++;
	caller->tried_us = jh_boot_time_us();
	jh_counter_add(&retries_total, 1);
	jh_log(JH_LOG_INFO, "gateway", "retried", "request=%s group=%s member=%s code=%s tries=%u",
	       jh_log_value(caller->id), jh_log_value(caller->route.group), jh_log_value(member),
	       jh_code_name(code), caller->tries);
	if (caller->tries >= JH_REQUEST_MAX_TRIES) {
		refuse_safe_to_retry(caller, JH_CODE_BUSY, "no member could run it");
		return;
	}
	if (used_member && !jh_retry_budget_spend(&get_group(caller)->retries)) {
		jh_counter_add(&retries_denied_total, 1);
		refuse_safe_to_retry(caller, JH_CODE_BUSY,
				     "too many statements of the group were run again");
		return;
	}
	caller->request = JH_REQUEST_ASSIGNED;
	_jh_gw_request_dispatch(caller);
}

static void record_refusal(_jh_gw_conn_t *conn, jh_code_t code)
{
	/* Other statements avoid the member for this long: a few service times. */
	const int64_t avoid_us = 50 * INT64_C(1000);
	int64_t until_us = jh_boot_time_us() + avoid_us;

	if (code == JH_CODE_BEHIND)
		conn->member->lagging_until_us = until_us;
	else if (code == JH_CODE_BUSY)
		conn->member->overloaded_until_us = until_us;
}

/*
 * Called if a member has not applied the position that the read needs. If that member is the
 * primary and the session's last commit in the group is of an earlier term, the change of primary
 * rolled this commit back, and no later read has to see it. A member that has started again may not
 * be the primary any more; its log is then of an earlier term.
 */
static void forget_rolled_back_commit(_jh_gw_caller_t *caller, const _jh_gw_conn_t *conn,
				      const jh_member_message_t *ready)
{
	const _jh_gw_group_t *group = conn->member->group;
	const jh_primary_t *primary = &group->primary;
	jh_position_t commit = jh_session_get_position(&caller->commits, group->name);

	if (primary->member == conn->member->info->id && ready->has_position &&
	    ready->position.term == primary->term && commit.term < primary->term)
		jh_session_forget(&caller->commits, group->name);
}

static void on_not_run(_jh_gw_caller_t *caller, _jh_gw_conn_t *conn, jh_code_t code,
		       const jh_member_message_t *ready)
{
	const char *member = conn->member->info->id;

	record_refusal(conn, code);
	if (code == JH_CODE_BEHIND)
		forget_rolled_back_commit(caller, conn, ready);
	/* The primary restarted as a replica after a crash, or received the step down command. */
	if (code == JH_CODE_READ_ONLY &&
	    _jh_gw_group_primary(caller->gateway, conn->member->group) == conn->member)
		_jh_gateway_report_primary(caller->gateway, conn->member->group);
	if (caller->tx_state == 'T' && caller->tx_began) {
		refuse_safe_to_retry(caller, code == JH_CODE_READ_ONLY ? code : JH_CODE_ABORTED,
				     "the transaction was rolled back");
		return;
	}
	release_conn(caller);
	/* BEHIND and READONLY are replied without running anything. */
	retry_statement(caller, code, member, code == JH_CODE_BUSY);
}

static void on_failed(_jh_gw_caller_t *caller, _jh_gw_conn_t *conn, jh_code_t code)
{
	char *text = g_strdup(conn->answers.text);

	release_conn(caller);
	transaction_handle_error(caller);
	_jh_gw_caller_refuse(caller, code, "%s", text && *text ? text : "the member failed it");
	g_free(text);
}

/*
 * Notes that a commit of the session was acknowledged.
 *
 * @position: of a log that has it; NULL if the member reported none
 */
static void record_own_commit(_jh_gw_caller_t *caller, const char *group,
			      const jh_position_t *position)
{
	if (!position || jh_session_advance(&caller->commits, group, *position) < 0)
		caller->has_unplaced_commit = true;
}

/*
 * Tells the leader how far the group's commits are acknowledged at least: the primary had the
 * position that it had reported before the statement was sent, and the commit comes after it. The
 * position in the answer may be that of a later commit, which is not acknowledged yet.
 */
static void note_acknowledged(_jh_gateway_t *gateway, _jh_gw_group_t *group,
			      const _jh_gw_conn_t *conn)
{
	const jh_fleet_group_t *config =
		gateway->config ? g_hash_table_lookup(gateway->config->groups, group->name) : NULL;
	jh_position_t position = conn->sent_after;
	jh_acknowledged_msg_t *msg;

	if (!config || config->sync_replicas == 0 || position.term != group->primary.term)
		return;
	position.index++;
	if (jh_position_compare(position, group->acknowledged) <= 0)
		return;
	group->acknowledged = position;
	msg = g_rc_box_new0(jh_acknowledged_msg_t);
	msg->group = group->name;
	msg->position = position;
	jh_publish(gateway->task, JH_MSG_ACKNOWLEDGED, msg, NULL);
}

/* A write must not be acknowledged if another member may have been promoted while it ran. */
static bool is_ack_safe(const _jh_gw_caller_t *caller, const _jh_gw_conn_t *conn)
{
	const jh_primary_t *primary = &conn->member->group->primary;

	return !is_commit(caller) ||
	       (conn->epoch != 0 && primary->epoch == conn->epoch && !primary->is_changing);
}

static void on_success(_jh_gw_caller_t *caller, _jh_gw_conn_t *conn,
		       const jh_member_message_t *ready)
{
	GString *lines;

	if (!is_ack_safe(caller, conn)) {
		refuse_outcome_unknown(caller, JH_CODE_UNKNOWN,
				       "the primary was replaced while it ran");
		return;
	}
	if (is_commit(caller)) {
		record_own_commit(caller, conn->member->group->name,
				  ready->has_position ? &ready->position : NULL);
		note_acknowledged(caller->gateway, conn->member->group, conn);
	}
	if (caller->type == JH_STATEMENT_COMMIT)
		transaction_end(caller);
	else if (caller->tx_state == 'T' && ready->state != 'T')
		transaction_fail(caller);
	lines = g_string_new_len(conn->answers.lines->str, (gssize)conn->answers.lines->len);
	if (caller->tx_state == 'I')
		release_conn(caller);
	_jh_gw_caller_relay(caller, (jh_text_t){ .bytes = lines->str, .length = lines->len },
			    ready->has_position ? &ready->position : NULL);
	g_string_free(lines, TRUE);
}

static void on_begin_done(_jh_gw_caller_t *caller, const jh_member_message_t *ready)
{
	if (ready->state != 'T') {
		refuse_safe_to_retry(caller, JH_CODE_ABORTED, "the transaction did not begin");
		return;
	}
	caller->tx_began = true;
	send_next_step(caller);
}

void _jh_gw_request_on_ready(_jh_gw_caller_t *caller, _jh_gw_conn_step_t step,
			     const jh_member_message_t *ready)
{
	_jh_gw_conn_t *conn = caller->conn;

	/* The error may be that of a setting or a BEGIN, and the statement may have run. */
	if (step == JH_CONN_RUNNING && !conn->answers.is_done && conn->answers.is_uncertain &&
	    !_jh_gw_request_is_repeatable(caller)) {
		refuse_outcome_unknown(caller, JH_CODE_UNKNOWN,
				       "an error may be that of another statement");
		return;
	}
	if (step != JH_CONN_STARTING && !conn->answers.is_done) {
		jh_code_t code = conn->answers.code;

		if (jh_code_means_not_run(code)) {
			caller->open_sends -= step == JH_CONN_BEGINNING || step == JH_CONN_RUNNING;
			on_not_run(caller, conn, code, ready);
		} else if (step == JH_CONN_RUNNING && code != JH_CODE_NONE) {
			on_failed(caller, conn, code);
		} else {
			_jh_gw_request_on_conn_lost(caller, conn->member->info->id,
						    JH_CODE_UNKNOWN);
		}
		return;
	}
	if (step == JH_CONN_RUNNING)
		on_success(caller, conn, ready);
	else if (step == JH_CONN_BEGINNING)
		on_begin_done(caller, ready);
	else
		send_next_step(caller);
}

void _jh_gw_request_on_conn_lost(_jh_gw_caller_t *caller, const char *member, jh_code_t reason)
{
	bool was_sent = may_have_been_sent(caller);

	close_conn(caller);
	if (caller->request == JH_REQUEST_NONE) {
		if (caller->tx_state == 'T')
			_jh_gw_request_end_transaction(caller, JH_CODE_ABORTED);
	} else if (can_retry(caller)) {
		retry_statement(caller, reason, member, was_sent);
	} else if (caller->tx_state == 'T' && caller->type != JH_STATEMENT_COMMIT) {
		/* The member rolls back the open transaction of a closed connection. */
		refuse_safe_to_retry(caller, JH_CODE_ABORTED, "the member's connection broke");
	} else {
		refuse_outcome_unknown(caller, JH_CODE_UNKNOWN, "the member's answer was lost");
	}
}

/* ---- outcomes on a holder ---- */

void _jh_gw_request_on_holder_lost(_jh_gw_caller_t *caller, bool not_run)
{
	bool is_first = !caller->holder || !caller->tx_began;

	caller->holder = NULL;
	if (caller->request != JH_REQUEST_FORWARDED) {
		_jh_gw_request_end_transaction(caller, JH_CODE_ABORTED);
	} else if ((not_run && is_first) || _jh_gw_request_is_repeatable(caller)) {
		caller->request = JH_REQUEST_ASSIGNED;
		_jh_gw_request_dispatch(caller);
	} else if (caller->tx_state == 'T' && (not_run || caller->type != JH_STATEMENT_COMMIT)) {
		/* The holder rolls back without its entry's COMMIT. */
		refuse_safe_to_retry(caller, JH_CODE_ABORTED, "the transaction's vm was lost");
	} else {
		refuse_outcome_unknown(caller, JH_CODE_UNKNOWN, "the answer of a vm was lost");
	}
}

static void on_holder_error(_jh_gw_caller_t *caller, const Jh__StatementResult *result)
{
	caller->holder = NULL;
	give_back_quota(caller);
	transaction_handle_error(caller);
	_jh_gw_caller_refuse(caller, result->code, "%s", result->message);
}

static void on_holder_success(_jh_gw_caller_t *caller, const Jh__StatementResult *result)
{
	const jh_position_t position = { .term = result->term, .index = result->index };
	const jh_text_t rows = { .bytes = (const char *)result->rows.data,
				 .length = result->rows.len };

	if (is_commit(caller))
		record_own_commit(caller, caller->route.group,
				  result->has_position ? &position : NULL);
	if (caller->type == JH_STATEMENT_COMMIT) {
		caller->holder = NULL;
		transaction_end(caller);
	} else if (caller->tx_state == 'T' && result->transaction != 'T') {
		caller->holder = NULL;
		transaction_fail(caller);
	} else if (caller->tx_state == 'T') {
		caller->tx_began = true;
	}
	_jh_gw_caller_relay(caller, rows, result->has_position ? &position : NULL);
}

void _jh_gw_request_on_result(_jh_gw_caller_t *caller, const Jh__StatementResult *result)
{
	if (result->commit_rolled_back)
		jh_session_forget(&caller->commits, caller->route.group);
	if (*result->member)
		caller->last_member = g_intern_string(result->member);
	if (result->code == JH_CODE_NONE)
		on_holder_success(caller, result);
	else
		on_holder_error(caller, result);
}

void _jh_gw_request_on_timeout(_jh_gw_caller_t *caller)
{
	if (may_have_been_sent(caller)) {
		bool may_have_committed = caller->type == JH_STATEMENT_COMMIT ||
					  (caller->tx_state != 'T' && is_write(caller));

		if (caller->conn && _jh_gw_request_needs_primary(caller) &&
		    caller->conn->member->last_received_us < caller->conn->sent_us)
			_jh_gateway_report_primary(caller->gateway, caller->conn->member->group);
		if (may_have_committed)
			refuse_outcome_unknown(caller, JH_CODE_TIMEOUT,
					       "no answer within the route's timeout");
		else
			refuse_safe_to_retry(caller, JH_CODE_TIMEOUT,
					     "no answer within the route's timeout");
	} else {
		refuse_safe_to_retry(caller, JH_CODE_BUSY,
				     "no connection within the route's timeout");
	}
}

void _jh_gw_request_on_exit(_jh_gw_caller_t *caller)
{
	if (caller->tx_state == 'T' && caller->type != JH_STATEMENT_COMMIT) {
		/* The member rolls back the open transaction of a closed connection. */
		refuse_safe_to_retry(caller, JH_CODE_ABORTED, JH_SHUTDOWN_REASON);
	} else if (may_have_been_sent(caller)) {
		refuse_outcome_unknown(caller, JH_CODE_UNKNOWN, JH_SHUTDOWN_REASON);
	} else {
		caller->try_elsewhere = caller->tx_state != 'T';
		refuse_safe_to_retry(caller,
				     caller->tx_state == 'T' ? JH_CODE_ABORTED : JH_CODE_BUSY,
				     JH_SHUTDOWN_REASON);
	}
}

void _jh_gw_request_check_response(_jh_gw_caller_t *caller, int64_t now_us)
{
	_jh_gw_conn_t *conn = caller->conn;
	_jh_gw_member_t *member;

	if (!conn || conn->step <= JH_CONN_IDLE || now_us - conn->sent_us < READ_UNRESPONSIVE_US)
		return;
	member = conn->member;
	if (member->last_received_us > conn->sent_us)
		return;
	if (_jh_gw_group_primary(caller->gateway, member->group) == member)
		_jh_gateway_report_primary(caller->gateway, member->group);
	if (!can_retry(caller) || _jh_gw_request_needs_primary(caller))
		return;
	jh_log(JH_LOG_INFO, "gateway", "member_silent", "request=%s member=%s silent_ms=%d",
	       jh_log_value(caller->id), jh_log_value(member->info->id),
	       (int)((now_us - member->last_received_us) / 1000));
	member->no_connect_until_us = now_us + READ_UNRESPONSIVE_US;
	release_conn(caller);
	retry_statement(caller, JH_CODE_BUSY, member->info->id, true);
}
