#include "internal/gateway.h"

#include "jh_counter.h"
#include "jh_log.h"
#include "jh_mirror.h"
#include "jh_service.h"

#include <string.h>

/*
 * The life of one statement: checked against the configuration, counted against the team's rate,
 * given a connection, run, retried where nothing can have run, answered once.
 *
 * BEGIN is answered here and reaches a member with the first statement. Session values and
 * prepared statements live in the session and are set on a connection when it needs them.
 */

/* Share of the target latency that a statement may wait for its team's quota. */
#define QUOTA_WAIT_SHARE 12

/* A read whose member has sent nothing at all for this long runs elsewhere, microseconds. */
#define SILENCE_US (500 * INT64_C(1000))

/* Said to callers that are refused for lack of capacity or of a primary, milliseconds. */
#define BUSY_RETRY_MS 200

JH_COUNTER(retries_total, "jasminehill_retries_total",
	   "statements that were run on another connection after the first did not run them");

/* ---- what a statement needs ---- */

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

bool _jh_gw_request_needs_primary(const _jh_gw_caller_t *caller)
{
	if (caller->route.freshness == JH_FRESH_PRIMARY)
		return true;
	if (caller->state == 'T')
		return !caller->tx_read_only;
	return is_write(caller);
}

/* A statement that can be run again: it kept nothing, wherever it ran. */
static bool is_repeatable(const _jh_gw_caller_t *caller)
{
	if (caller->request != JH_REQUEST_SENT)
		return caller->state != 'T' || !caller->tx_began;
	return caller->state != 'T' && !is_write(caller);
}

/* ---- ends ---- */

static void release_conn(_jh_gw_caller_t *caller)
{
	if (caller->conn)
		_jh_gw_conn_release(caller->conn);
	caller->conn = NULL;
}

/* Close a connection whose statement may still run; what it holds is rolled back. */
static void drop_conn(_jh_gw_caller_t *caller)
{
	if (caller->conn)
		_jh_gw_conn_close(caller->conn);
	caller->conn = NULL;
}

static void transaction_end(_jh_gw_caller_t *caller)
{
	caller->state = 'I';
	caller->tx_began = false;
	caller->tx_lost = JH_CODE_NONE;
	g_clear_pointer(&caller->tx_begin_id, g_free);
	g_clear_pointer(&caller->tx_begin_text, g_free);
}

/* The transaction is over and rolled back; the caller still has to end it. */
static void transaction_fail(_jh_gw_caller_t *caller)
{
	if (caller->state == 'T')
		caller->state = 'E';
	caller->tx_began = false;
}

/* After an error: a COMMIT ends its transaction whatever came of it, other statements fail it. */
static void transaction_leave(_jh_gw_caller_t *caller)
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
	caller->tx_lost = code;
	transaction_fail(caller);
}

void _jh_gw_request_abandon(_jh_gw_caller_t *caller)
{
	_jh_dispatch_dequeue(caller);
	caller->request = JH_REQUEST_NONE;
	release_conn(caller);
}

/* Refuse with a promise: nothing of this attempt is kept, since what may have run rolls back. */
static void refuse_not_kept(_jh_gw_caller_t *caller, jh_code_t code, const char *reason)
{
	_jh_dispatch_dequeue(caller);
	if (caller->conn && caller->request == JH_REQUEST_SENT)
		drop_conn(caller);
	release_conn(caller);
	transaction_leave(caller);
	_jh_gw_caller_refuse(caller, code, "%s retry-after-ms=%d", reason, BUSY_RETRY_MS);
}

static void refuse_unknown(_jh_gw_caller_t *caller, jh_code_t code, const char *reason)
{
	drop_conn(caller);
	transaction_leave(caller);
	_jh_gw_caller_refuse(caller, code, "%s", reason);
}

/* ---- start ---- */

static void prepared_free(void *data)
{
	_jh_prepared_t *prepared = data;

	g_free(prepared->shape);
	g_free(prepared);
}

static void session_prepare(_jh_gw_caller_t *caller, const jh_statement_t *statement)
{
	_jh_prepared_t *prepared = g_new0(_jh_prepared_t, 1);

	if (!caller->prepared)
		caller->prepared =
			g_hash_table_new_full(g_str_hash, g_str_equal, g_free, prepared_free);
	prepared->writes = statement->prepares_write;
	prepared->shape = g_strdup(statement->rest);
	g_hash_table_replace(caller->prepared, g_strdup(statement->name), prepared);
}

static void session_set(_jh_gw_caller_t *caller, const jh_statement_t *statement)
{
	if (!caller->values)
		caller->values = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	g_hash_table_replace(caller->values, g_strdup(statement->name), g_strdup(statement->rest));
}

/* Statements that only touch the session. Return: true if it was one */
static bool take_session_statement(_jh_gw_caller_t *caller, const jh_statement_t *statement)
{
	switch (statement->type) {
	case JH_STATEMENT_SET:
		session_set(caller, statement);
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
	_jh_gw_caller_answer(caller);
	return true;
}

/* Bind a new operation to the configuration. Return: false if it was refused */
static bool operation_authorize(_jh_gw_caller_t *caller)
{
	const jh_fleet_config_t *site = caller->gateway->site;
	const jh_fleet_route_t *route = g_hash_table_lookup(site->routes, caller->database);

	if (!route) {
		_jh_gw_caller_refuse(caller, JH_CODE_NO_ROUTE, "there is no such route");
		return false;
	}
	caller->team = caller->key ? g_hash_table_lookup(site->keys, caller->key) : NULL;
	if (!caller->team && !route->is_public) {
		_jh_gw_caller_refuse(caller, JH_CODE_NO_KEY, "the key belongs to no team");
		return false;
	}
	caller->route = *route;
	caller->route.database = NULL;
	return true;
}

/* Count a new operation against the team's rate; the answer goes on with the statement. */
static void operation_begin(_jh_gw_caller_t *caller)
{
	if (!operation_authorize(caller))
		return;
	if (!caller->team) {
		_jh_gw_request_on_quota(caller, true, 0);
		return;
	}
	caller->request = JH_REQUEST_QUOTA;
	jh_quota_ask(caller->gateway->task, caller->team, 1,
		     caller->route.target_latency_us / QUOTA_WAIT_SHARE, caller->tag);
}

static void take_begin(_jh_gw_caller_t *caller)
{
	if (caller->state != 'I') {
		_jh_gw_caller_refuse(caller, JH_CODE_BAD_MESSAGE, "a transaction is open already");
		return;
	}
	operation_begin(caller);
}

static void take_rollback(_jh_gw_caller_t *caller)
{
	release_conn(caller);
	transaction_end(caller);
	_jh_gw_caller_answer(caller);
}

static void statement_run(_jh_gw_caller_t *caller)
{
	struct ev_loop *loop = jh_task_loop(caller->gateway->task);

	ev_timer_set(&caller->timer, (double)caller->route.timeout_us / G_USEC_PER_SEC, 0);
	ev_timer_start(loop, &caller->timer);
	_jh_gw_request_dispatch(caller);
}

void _jh_gw_request_on_quota(_jh_gw_caller_t *caller, bool granted, uint32_t retry_after_ms)
{
	if (!granted) {
		_jh_gw_caller_refuse(caller, JH_CODE_BUSY, "%s retry-after-ms=%u",
				     caller->gateway->is_isolated ?
					     "this vm is cut off from the others" :
					     "the team is at its rate",
				     retry_after_ms);
		return;
	}
	if (caller->type == JH_STATEMENT_BEGIN || caller->type == JH_STATEMENT_BEGIN_READ) {
		caller->state = 'T';
		caller->tx_read_only = caller->type == JH_STATEMENT_BEGIN_READ;
		caller->tx_begin_id = g_strdup(caller->id);
		caller->tx_begin_text = g_strdup(caller->text);
		caller->tx_began = false;
		_jh_gw_caller_answer(caller);
		return;
	}
	statement_run(caller);
}

/* The transaction failed; only its end is accepted. */
static void take_in_failed(_jh_gw_caller_t *caller)
{
	jh_code_t lost = caller->tx_lost;

	if (caller->type == JH_STATEMENT_COMMIT) {
		release_conn(caller);
		transaction_end(caller);
		_jh_gw_caller_refuse(caller, JH_CODE_ABORTED, "the transaction was rolled back");
	} else if (lost != JH_CODE_NONE) {
		caller->tx_lost = JH_CODE_NONE;
		_jh_gw_caller_refuse(caller, lost, "the transaction was rolled back");
	} else {
		_jh_gw_caller_refuse(caller, JH_CODE_BAD_MESSAGE,
				     "the transaction failed and must be ended");
	}
}

static void take_data_statement(_jh_gw_caller_t *caller)
{
	if (caller->type == JH_STATEMENT_EXECUTE &&
	    (!caller->prepared || !g_hash_table_contains(caller->prepared, caller->name))) {
		_jh_gw_caller_refuse(caller, JH_CODE_NO_STATEMENT,
				     "there is no such prepared statement");
		return;
	}
	if (caller->state == 'T')
		statement_run(caller);
	else
		operation_begin(caller);
}

static void request_set(_jh_gw_caller_t *caller, const jh_caller_message_t *message)
{
	caller->type = message->statement.type;
	caller->id = g_strdup(message->id);
	caller->text = g_strdup(message->statement.text);
	caller->name = g_strdup(message->statement.name);
	caller->rest = g_strdup(message->statement.rest);
	caller->arrived_us = jh_boot_time_us();
	caller->tries = 0;
	caller->last_member = NULL;
}

void _jh_gw_request_start(_jh_gw_caller_t *caller, const jh_caller_message_t *message)
{
	request_set(caller, message);
	if (caller->type == JH_STATEMENT_INVALID) {
		_jh_gw_caller_refuse(caller, JH_CODE_BAD_MESSAGE, "not a statement");
		return;
	}
	if (caller->type == JH_STATEMENT_ROLLBACK) {
		take_rollback(caller);
		return;
	}
	if (caller->state == 'E') {
		take_in_failed(caller);
		return;
	}
	if (take_session_statement(caller, &message->statement))
		return;
	switch (caller->type) {
	case JH_STATEMENT_BEGIN:
	case JH_STATEMENT_BEGIN_READ:
		take_begin(caller);
		break;
	case JH_STATEMENT_COMMIT:
		if (caller->state == 'T')
			statement_run(caller);
		else
			_jh_gw_caller_refuse(caller, JH_CODE_BAD_MESSAGE, "no transaction is open");
		break;
	default:
		take_data_statement(caller);
		break;
	}
}

/* ---- running ---- */

/* Set the first session value that the connection lacks. Return: true if one was sent */
static bool set_next_value(_jh_gw_caller_t *caller, _jh_gw_conn_t *conn)
{
	GHashTableIter iter;
	void *name;
	void *value;

	g_hash_table_iter_init(&iter, conn->values);
	while (g_hash_table_iter_next(&iter, &name, NULL)) {
		if (!caller->values || !g_hash_table_contains(caller->values, name)) {
			_jh_gw_conn_send_own(conn, JH_CONN_SETTING, JH_STATEMENT_RESET, NULL, NULL);
			return true;
		}
	}
	if (!caller->values)
		return false;
	g_hash_table_iter_init(&iter, caller->values);
	while (g_hash_table_iter_next(&iter, &name, &value)) {
		if (g_strcmp0(g_hash_table_lookup(conn->values, name), value) == 0)
			continue;
		conn->setting_name = g_strdup(name);
		conn->setting_value = g_strdup(value);
		_jh_gw_conn_send_own(conn, JH_CONN_SETTING, JH_STATEMENT_SET, name, value);
		return true;
	}
	return false;
}

/* Sessions that prepare the same shape share one name on a connection. Return: new name */
static char *shared_name(const _jh_prepared_t *prepared)
{
	return g_strconcat(prepared->writes ? "w_" : "r_", prepared->shape, NULL);
}

static bool prepare_if_needed(_jh_gw_caller_t *caller, _jh_gw_conn_t *conn)
{
	const jh_wire_t *wire = caller->gateway->wire;
	const _jh_prepared_t *prepared;
	char *name;
	char *text;

	if (caller->type != JH_STATEMENT_EXECUTE)
		return false;
	prepared = g_hash_table_lookup(caller->prepared, caller->name);
	name = shared_name(prepared);
	if (g_hash_table_contains(conn->prepared, name)) {
		g_free(name);
		return false;
	}
	text = wire->prepare_text(name, prepared->writes, prepared->shape);
	conn->setting_name = name;
	_jh_gw_conn_send(conn, JH_CONN_SETTING, NULL, NULL, text);
	g_free(text);
	return true;
}

static void send_begin(const _jh_gw_caller_t *caller, _jh_gw_conn_t *conn,
		       const _jh_read_need_t *need)
{
	_jh_gw_conn_send(conn, JH_CONN_BEGINNING, caller->tx_begin_id,
			 need->has_position ? &need->position : NULL, caller->tx_begin_text);
}

static void send_statement(_jh_gw_caller_t *caller, _jh_gw_conn_t *conn,
			   const _jh_read_need_t *need)
{
	bool has_position = need->has_position && caller->state != 'T' && !is_write(caller);
	char *text = NULL;

	if (caller->type == JH_STATEMENT_EXECUTE) {
		char *name = shared_name(g_hash_table_lookup(caller->prepared, caller->name));

		text = caller->gateway->wire->execute_text(name, caller->rest);
		g_free(name);
	}
	caller->request = JH_REQUEST_SENT;
	caller->last_member = conn->member->info->id;
	_jh_gw_conn_send(conn, JH_CONN_RUNNING, caller->id, has_position ? &need->position : NULL,
			 text ? text : caller->text);
	g_free(text);
}

/*
 * Whether the statement may still run on the connection that was chosen for it: opening it and
 * setting it up took time. The primary may only be used while this VM knows that it leads, and any
 * other member only while it is known what the read must see.
 */
static bool conn_is_allowed(const _jh_gw_caller_t *caller, const _jh_gw_conn_t *conn,
			    const _jh_read_need_t *need)
{
	if (caller->tx_began && !_jh_gw_request_needs_primary(caller))
		return true;
	if (_jh_group_primary(caller->gateway, conn->member->group) == conn->member)
		return _jh_gateway_has_lease(caller->gateway);
	return need->is_known;
}

/* Send what the connection needs next. It is idle and belongs to the caller. */
static void conn_advance(_jh_gw_caller_t *caller)
{
	_jh_gw_conn_t *conn = caller->conn;
	_jh_read_need_t need = _jh_dispatch_need(caller);

	if (!conn_is_allowed(caller, conn, &need)) {
		if (caller->tx_began) {
			refuse_not_kept(caller, JH_CODE_ABORTED, "the primary is being replaced");
			return;
		}
		caller->request = JH_REQUEST_ASSIGNED;
		release_conn(caller);
		_jh_gw_request_dispatch(caller);
		return;
	}
	if (set_next_value(caller, conn) || prepare_if_needed(caller, conn))
		return;
	if (caller->state == 'T' && !caller->tx_began)
		send_begin(caller, conn, &need);
	else
		send_statement(caller, conn, &need);
}

void _jh_gw_request_dispatch(_jh_gw_caller_t *caller)
{
	const char *reason = NULL;
	_jh_gw_conn_t *conn = NULL;

	if (caller->conn) {
		caller->request = JH_REQUEST_ASSIGNED;
		conn_advance(caller);
		return;
	}
	switch (_jh_dispatch_choose(caller, &conn, &reason)) {
	case JH_DISPATCH_FOUND:
		caller->request = JH_REQUEST_ASSIGNED;
		_jh_gw_conn_assign(conn, caller);
		if (conn->step == JH_CONN_IDLE)
			conn_advance(caller);
		break;
	case JH_DISPATCH_WAIT:
		caller->request = JH_REQUEST_WAITING;
		_jh_dispatch_enqueue(caller);
		break;
	case JH_DISPATCH_REFUSE:
		refuse_not_kept(caller, JH_CODE_BUSY, reason);
		break;
	}
}

/* ---- outcomes ---- */

/* Try again: nothing of the statement is kept anywhere. */
static void retry(_jh_gw_caller_t *caller, jh_code_t code, const char *member)
{
	if (caller->tries < JH_REQUEST_TRIED_MAX)
		caller->tried[caller->tries] = member;
	caller->tries++;
	caller->tried_us = jh_boot_time_us();
	jh_counter_add(&retries_total, 1);
	jh_log(JH_LOG_INFO, "gateway", "retried", "request=%s group=%s member=%s code=%s tries=%u",
	       jh_log_value(caller->id), jh_log_value(caller->route.group), jh_log_value(member),
	       jh_code_name(code), caller->tries);
	if (caller->tries >= JH_REQUEST_TRIED_MAX) {
		refuse_not_kept(caller, JH_CODE_BUSY, "no member could run it");
		return;
	}
	caller->request = JH_REQUEST_ASSIGNED;
	_jh_gw_request_dispatch(caller);
}

static void note_refusal(_jh_gw_conn_t *conn, jh_code_t code)
{
	/* How long a member's refusal steers others away: a few service times. */
	const int64_t avoid_us = 50 * INT64_C(1000);
	int64_t until_us = jh_boot_time_us() + avoid_us;

	if (code == JH_CODE_BEHIND)
		conn->member->behind_until_us = until_us;
	else if (code == JH_CODE_BUSY)
		conn->member->busy_until_us = until_us;
}

/*
 * The primary that the fleet agreed on lacks a position of an earlier term: it was rolled back with
 * the change of primary, and nobody needs to see it any more.
 */
static void forget_lost_position(_jh_gw_caller_t *caller, const _jh_gw_conn_t *conn)
{
	const jh_primary_t *primary = &conn->member->group->primary;

	if (primary->member == conn->member->info->id && caller->last_commit.term < primary->term)
		caller->last_commit = (jh_position_t){ 0 };
}

static void on_not_run(_jh_gw_caller_t *caller, _jh_gw_conn_t *conn, jh_code_t code)
{
	const char *member = conn->member->info->id;

	note_refusal(conn, code);
	if (code == JH_CODE_BEHIND)
		forget_lost_position(caller, conn);
	/* It came back from a crash as a replica, or was told to step down. */
	if (code == JH_CODE_READ_ONLY &&
	    _jh_group_primary(caller->gateway, conn->member->group) == conn->member)
		_jh_gateway_report_primary(caller->gateway, conn->member->group);
	if (caller->state == 'T' && caller->tx_began) {
		refuse_not_kept(caller, code == JH_CODE_READ_ONLY ? code : JH_CODE_ABORTED,
				"the transaction was rolled back");
		return;
	}
	release_conn(caller);
	retry(caller, code, member);
}

static void on_failed(_jh_gw_caller_t *caller, _jh_gw_conn_t *conn, jh_code_t code)
{
	char *text = g_strdup(conn->text);

	release_conn(caller);
	transaction_leave(caller);
	_jh_gw_caller_refuse(caller, code, "%s", text && *text ? text : "the member failed it");
	g_free(text);
}

static void note_own_commit(_jh_gw_caller_t *caller, const _jh_gw_conn_t *conn,
			    const jh_member_message_t *ready)
{
	bool committed =
		caller->type == JH_STATEMENT_COMMIT ? !caller->tx_read_only : is_write(caller);

	if (!committed || caller->state == 'T' || !ready->has_position)
		return;
	caller->last_commit = ready->position;
	caller->commit_group = conn->member->group->name;
}

/* An acknowledged write must not come from a primary whose replacement may lead already. */
static bool ack_is_safe(const _jh_gw_caller_t *caller, const _jh_gw_conn_t *conn)
{
	const jh_primary_t *primary = &conn->member->group->primary;
	bool commits = caller->type == JH_STATEMENT_COMMIT ?
			       !caller->tx_read_only :
			       caller->state != 'T' && is_write(caller);

	return !commits ||
	       (conn->epoch != 0 && primary->epoch == conn->epoch && !primary->is_changing);
}

static void on_success(_jh_gw_caller_t *caller, _jh_gw_conn_t *conn,
		       const jh_member_message_t *ready)
{
	char *lines;

	if (!ack_is_safe(caller, conn)) {
		refuse_unknown(caller, JH_CODE_UNKNOWN, "the primary was replaced while it ran");
		return;
	}
	if (caller->type == JH_STATEMENT_COMMIT)
		transaction_end(caller);
	else if (caller->state == 'T' && ready->state != 'T')
		transaction_fail(caller);
	note_own_commit(caller, conn, ready);
	lines = g_strndup(conn->rows->str, conn->rows->len);
	if (caller->state == 'I')
		release_conn(caller);
	_jh_gw_caller_relay(caller, lines, ready->has_position ? &ready->position : NULL);
	g_free(lines);
}

static void on_begun(_jh_gw_caller_t *caller, const jh_member_message_t *ready)
{
	if (ready->state != 'T') {
		refuse_not_kept(caller, JH_CODE_ABORTED, "the transaction did not begin");
		return;
	}
	caller->tx_began = true;
	conn_advance(caller);
}

void _jh_gw_request_on_ready(_jh_gw_caller_t *caller, _jh_gw_conn_step_t step,
			     const jh_member_message_t *ready)
{
	_jh_gw_conn_t *conn = caller->conn;

	if (step != JH_CONN_STARTING && !conn->is_done) {
		jh_code_t code = conn->code;

		if (jh_code_is_not_run(code))
			on_not_run(caller, conn, code);
		else if (step == JH_CONN_RUNNING && code != JH_CODE_NONE)
			on_failed(caller, conn, code);
		else
			_jh_gw_request_on_conn_lost(caller, conn->member->info->id,
						    JH_CODE_UNKNOWN);
		return;
	}
	if (step == JH_CONN_RUNNING)
		on_success(caller, conn, ready);
	else if (step == JH_CONN_BEGINNING)
		on_begun(caller, ready);
	else
		conn_advance(caller);
}

void _jh_gw_request_on_conn_lost(_jh_gw_caller_t *caller, const char *member, jh_code_t reason)
{
	drop_conn(caller);
	if (caller->request == JH_REQUEST_NONE) {
		if (caller->state == 'T')
			_jh_gw_request_end_transaction(caller, JH_CODE_ABORTED);
	} else if (is_repeatable(caller)) {
		retry(caller, reason, member);
	} else if (caller->state == 'T' && caller->type != JH_STATEMENT_COMMIT) {
		/* A closed connection rolls back what was not committed. */
		refuse_not_kept(caller, JH_CODE_ABORTED, "the member's connection broke");
	} else {
		refuse_unknown(caller, JH_CODE_UNKNOWN, "the member's answer was lost");
	}
}

void _jh_gw_request_on_timeout(_jh_gw_caller_t *caller)
{
	if (caller->request == JH_REQUEST_SENT) {
		bool kept = caller->type == JH_STATEMENT_COMMIT ||
			    (caller->state != 'T' && is_write(caller));

		if (caller->conn && _jh_gw_request_needs_primary(caller) &&
		    caller->conn->member->heard_us < caller->conn->sent_us)
			_jh_gateway_report_primary(caller->gateway, caller->conn->member->group);
		if (kept)
			refuse_unknown(caller, JH_CODE_TIMEOUT,
				       "no answer within the route's timeout");
		else
			refuse_not_kept(caller, JH_CODE_TIMEOUT,
					"no answer within the route's timeout");
	} else {
		refuse_not_kept(caller, JH_CODE_BUSY, "no connection within the route's timeout");
	}
}

void _jh_gw_request_check_silence(_jh_gw_caller_t *caller, int64_t now_us)
{
	_jh_gw_conn_t *conn = caller->conn;
	_jh_gw_member_t *member;

	if (!conn || conn->step <= JH_CONN_IDLE || now_us - conn->sent_us < SILENCE_US)
		return;
	member = conn->member;
	if (member->heard_us > conn->sent_us)
		return;
	if (_jh_group_primary(caller->gateway, member->group) == member)
		_jh_gateway_report_primary(caller->gateway, member->group);
	if (!is_repeatable(caller) || _jh_gw_request_needs_primary(caller))
		return;
	jh_log(JH_LOG_INFO, "gateway", "member_silent", "request=%s member=%s silent_ms=%d",
	       jh_log_value(caller->id), jh_log_value(member->info->id),
	       (int)((now_us - member->heard_us) / 1000));
	member->no_dial_until_us = now_us + SILENCE_US;
	release_conn(caller);
	retry(caller, JH_CODE_BUSY, member->info->id);
}
