/* Connections of the owner: opening, cleaning, cancelling and closing. Their assignment to jobs is
 * in owner_pool.c, the running of jobs in owner_run.c, the sending of cancel requests in
 * owner_cancel.c.
 *
 * A connection returns to the pool only when it is idle and its session is clean. If a statement
 * may have changed the session state (see owner_steps.c), DISCARD ALL resets it. In any
 * doubt the connection is closed, for example if a cancel request may still arrive, if the protocol
 * is in an unknown state, or if the reset fails.
 */
#include "internal/owner.h"

#include "jh_counter.h"
#include "jh_log.h"
#include "jh_v3.h"

#include <string.h>

/* Maximum time to open a connection, in seconds. */
#define CONNECT_TIMEOUT_S 3.0
#define PORT_CHARS 8

JH_COUNTER(opened_total, "jasminehill_owner_connections_opened_total", "connections opened");
JH_COUNTER(closed_total, "jasminehill_owner_connections_closed_total", "connections closed");
JH_COUNTER(discards_total, "jasminehill_owner_discards_total", "sessions reset by DISCARD ALL");
JH_COUNTER(rollbacks_total, "jasminehill_owner_rollbacks_total",
	   "transactions rolled back for callers that are gone");
JH_COUNTER(strays_total, "jasminehill_owner_answers_stray_total",
	   "messages of databases that came while no statement ran");
JH_COUNTER(cancels_total, "jasminehill_owner_cancels_total", "cancel requests sent");

static struct ev_loop *conn_loop(const _jh_conn_t *conn)
{
	return jh_task_loop(conn->pool->owner->task);
}

static int64_t conn_now_us(const _jh_conn_t *conn)
{
	return jh_kernel_now_us(jh_task_kernel(conn->pool->owner->task));
}

/* ---- State ---- */

static bool state_uses_slot(_jh_conn_state_t state)
{
	return state == JH_CONN_WORKING || state == JH_CONN_CLEANING;
}

void _jh_conn_set_state(_jh_conn_t *conn, _jh_conn_state_t state)
{
	conn->pool->used_slots -= state_uses_slot(conn->state);
	conn->pool->used_slots += state_uses_slot(state);
	conn->state = state;
	conn->state_since_us = conn_now_us(conn);
}

static void drop_pin(_jh_conn_t *conn)
{
	if (conn->pin == JH_HANDLE_NONE)
		return;
	jh_table_remove(conn->pool->owner->pins, conn->pin);
	conn->pin = JH_HANDLE_NONE;
}

/* Charge the team for the time since the job started, unless it was charged already. */
static void charge_team(_jh_conn_t *conn)
{
	if (!conn->team)
		return;
	jh_fair_queue_finish(conn->pool->queue, conn->team, conn_now_us(conn) - conn->started_us);
	conn->team = NULL;
}

/* ---- Cancel key ---- */

/* libpq does not give access to the secret key of cancel requests, and its own functions that send
 * them block. Its trace of the start-up messages contains the key, so that owner_cancel.c can send
 * cancel requests from the event loop. */
static void start_trace(_jh_conn_t *conn)
{
	conn->trace = open_memstream(&conn->trace_text, &conn->trace_length);
	if (conn->trace)
		PQtrace(conn->pg, conn->trace);
}

static void finish_trace(_jh_conn_t *conn)
{
	static const char key_prefix[] = "BackendKeyData\t ";
	const char *key_data;
	char *end = NULL;

	if (!conn->trace)
		return;
	PQuntrace(conn->pg);
	(void)fclose(conn->trace);
	conn->trace = NULL;
	key_data = conn->trace_text ? strstr(conn->trace_text, key_prefix) : NULL;
	if (key_data) {
		conn->pid = (uint32_t)g_ascii_strtoll(key_data + strlen(key_prefix), &end, 10);
		conn->secret = (uint32_t)g_ascii_strtoll(end, NULL, 10);
	}
	if (conn->trace_text)
		explicit_bzero(conn->trace_text, conn->trace_length);
	/* open_memstream() allocated the text with malloc(). */
	g_clear_pointer(&conn->trace_text, free);
}

/* ---- Closing ---- */

void _jh_conn_close(_jh_conn_t *conn)
{
	struct ev_loop *loop = conn_loop(conn);

	g_assert(!conn->job);
	charge_team(conn);
	drop_pin(conn);
	_jh_conn_set_state(conn, JH_CONN_IDLE);
	g_ptr_array_remove(conn->pool->conns, conn);
	ev_io_stop(loop, &conn->read);
	ev_io_stop(loop, &conn->write);
	ev_timer_stop(loop, &conn->timeout);
	finish_trace(conn);
	PQfinish(conn->pg);
	g_array_free(conn->steps, TRUE);
	g_free(conn->position_before);
	g_free(conn);
	jh_counter_add(&closed_total, 1);
}

static void fail_conn(_jh_conn_t *conn, const char *event)
{
	_jh_pool_t *pool = conn->pool;
	bool was_connecting = conn->state == JH_CONN_CONNECTING;
	const char *reason = PQerrorMessage(conn->pg);

	jh_log(JH_LOG_WARNING, "owner", event, "database=%s reason=%s", jh_log_value(pool->name),
	       jh_log_value(reason));
	if (conn->job)
		_jh_run_on_conn_lost(conn);
	_jh_conn_close(conn);
	if (was_connecting)
		_jh_pool_on_connect_failed(pool);
	_jh_pool_dispatch(pool);
}

/* ---- Input and output ---- */

static void watch_socket(_jh_conn_t *conn, bool read, bool write)
{
	struct ev_loop *loop = conn_loop(conn);
	int fd = PQsocket(conn->pg);

	ev_io_stop(loop, &conn->read);
	ev_io_stop(loop, &conn->write);
	ev_io_set(&conn->read, fd, EV_READ);
	ev_io_set(&conn->write, fd, EV_WRITE);
	if (read)
		ev_io_start(loop, &conn->read);
	if (write)
		ev_io_start(loop, &conn->write);
}

int _jh_conn_flush(_jh_conn_t *conn)
{
	int flush_result = PQflush(conn->pg);

	if (flush_result > 0)
		ev_io_start(conn_loop(conn), &conn->write);
	else
		ev_io_stop(conn_loop(conn), &conn->write);
	return flush_result < 0 ? -1 : 0;
}

bool _jh_conn_is_quiet(_jh_conn_t *conn)
{
	/* PQisBusy() lets libpq handle the messages that it has read. */
	return PQconsumeInput(conn->pg) && !PQisBusy(conn->pg) && !conn->has_stray;
}

void _jh_conn_pause(_jh_conn_t *conn, bool is_paused)
{
	if (conn->is_paused == is_paused)
		return;
	conn->is_paused = is_paused;
	if (is_paused)
		ev_io_stop(conn_loop(conn), &conn->read);
	else
		ev_io_start(conn_loop(conn), &conn->read);
}

/* libpq drops a message of an answer that comes while no statement runs. It reports it as a notice
 * of its own, which has no SQLSTATE, or as the error that it is. After a fatal error the database
 * closes the connection itself. */
static bool is_stray(const PGresult *result)
{
	const char *severity = PQresultErrorField(result, PG_DIAG_SEVERITY_NONLOCALIZED);

	return !PQresultErrorField(result, PG_DIAG_SQLSTATE) || g_strcmp0(severity, "ERROR") == 0;
}

static void note_stray(_jh_conn_t *conn, const PGresult *result)
{
	const char *reason = PQresultErrorField(result, PG_DIAG_MESSAGE_PRIMARY);

	jh_counter_add(&strays_total, 1);
	if (!conn->has_stray)
		jh_log(JH_LOG_WARNING, "owner", "answer_stray",
		       "database=%s state=%d running=%d reason=%s", jh_log_value(conn->pool->name),
		       conn->state, conn->job != NULL, jh_log_value(reason));
	conn->has_stray = true;
	conn->must_close = true;
	conn->pool->repeats_answers = true;
	/* Whether this or what came before is the answer of the job is not known. */
	if (conn->job)
		conn->job->run_failed = true;
}

static void on_notice(void *data, const PGresult *result)
{
	_jh_conn_t *conn = data;

	if (is_stray(result)) {
		note_stray(conn, result);
		return;
	}
	if (conn->job && conn->phase == JH_JOB_PHASE_CALLER && !conn->discards_results)
		_jh_encode_report(conn->job->unsent, JH_V3_NOTICE_RESPONSE, result);
}

static void on_connected(_jh_conn_t *conn)
{
	jh_position_t position;

	ev_timer_stop(conn_loop(conn), &conn->timeout);
	finish_trace(conn);
	PQsetnonblocking(conn->pg, 1);
	watch_socket(conn, true, false);
	conn->pool->backoff_us = 0;
	conn->pool->retry_us = 0;
	if (jh_position_parse(PQparameterStatus(conn->pg, "group_position"), &position))
		_jh_pool_observe_position(conn->pool, position);
	_jh_conn_set_state(conn, JH_CONN_IDLE);
	jh_counter_add(&opened_total, 1);
	_jh_pool_dispatch(conn->pool);
}

static void continue_connecting(_jh_conn_t *conn)
{
	switch (PQconnectPoll(conn->pg)) {
	case PGRES_POLLING_READING:
		watch_socket(conn, true, false);
		break;
	case PGRES_POLLING_WRITING:
		watch_socket(conn, false, true);
		break;
	case PGRES_POLLING_OK:
		on_connected(conn);
		break;
	default:
		fail_conn(conn, "connect_failed");
	}
}

/* An idle connection receives only notices and parameter changes, which libpq handles. After an
 * answer that belongs to no statement, the next one could not be told from it. */
static void read_idle_conn(_jh_conn_t *conn)
{
	_jh_pool_t *pool = conn->pool;
	PGresult *result;

	if (PQisBusy(conn->pg))
		return;
	while ((result = PQgetResult(conn->pg)))
		PQclear(result);
	if (PQstatus(conn->pg) == CONNECTION_BAD) {
		fail_conn(conn, "connection_lost");
	} else if (conn->has_stray) {
		_jh_conn_close(conn);
		_jh_pool_dispatch(pool);
	}
}

/* ---- Cleaning ---- */

static void send_cleanup(_jh_conn_t *conn)
{
	bool in_transaction = PQtransactionStatus(conn->pg) != PQTRANS_IDLE;

	if (in_transaction)
		jh_counter_add(&rollbacks_total, 1);
	else
		jh_counter_add(&discards_total, 1);
	if (!PQsendQuery(conn->pg, in_transaction ? "ROLLBACK" : "DISCARD ALL") ||
	    _jh_conn_flush(conn) < 0)
		conn->must_close = true;
}

static void return_to_pool(_jh_conn_t *conn)
{
	_jh_pool_t *pool = conn->pool;

	if (conn->must_close || !pool->is_owned) {
		_jh_conn_close(conn);
	} else {
		conn->is_dirty = false;
		_jh_conn_set_state(conn, JH_CONN_IDLE);
	}
	_jh_pool_dispatch(pool);
}

static void handle_cleanup_results(_jh_conn_t *conn)
{
	PGresult *result;
	bool failed = false;

	while (!PQisBusy(conn->pg) && (result = PQgetResult(conn->pg))) {
		failed = failed || PQresultStatus(result) != PGRES_COMMAND_OK;
		PQclear(result);
	}
	if (failed || PQstatus(conn->pg) == CONNECTION_BAD) {
		fail_conn(conn, "reset_failed");
		return;
	}
	if (PQisBusy(conn->pg))
		return;
	if (conn->is_dirty && !conn->must_close) {
		/* After the ROLLBACK, DISCARD ALL resets the session to its initial state. */
		conn->is_dirty = false;
		conn->mode = JH_MODE_UNKNOWN;
		send_cleanup(conn);
		return;
	}
	return_to_pool(conn);
}

void _jh_conn_release(_jh_conn_t *conn)
{
	_jh_pool_t *pool = conn->pool;
	PGTransactionStatusType status = PQtransactionStatus(conn->pg);
	bool in_transaction = status == PQTRANS_INTRANS || status == PQTRANS_INERROR;

	g_assert(!conn->job);
	charge_team(conn);
	drop_pin(conn);
	if (PQstatus(conn->pg) == CONNECTION_BAD || (!in_transaction && status != PQTRANS_IDLE) ||
	    conn->must_close || !pool->is_owned) {
		_jh_conn_close(conn);
		_jh_pool_dispatch(pool);
		return;
	}
	if (!conn->is_dirty && !in_transaction) {
		return_to_pool(conn);
		return;
	}
	_jh_conn_set_state(conn, JH_CONN_CLEANING);
	if (!in_transaction) {
		conn->is_dirty = false;
		conn->mode = JH_MODE_UNKNOWN;
	}
	send_cleanup(conn);
	if (conn->must_close)
		_jh_conn_release(conn);
}

void _jh_conn_unpin(_jh_conn_t *conn)
{
	g_assert(conn->state == JH_CONN_PINNED);
	conn->is_dirty = true;
	_jh_conn_release(conn);
}

/* ---- Cancelling ---- */

void _jh_conn_cancel(_jh_conn_t *conn)
{
	if (conn->must_close || conn->state != JH_CONN_WORKING || conn->pid == 0)
		return;
	conn->must_close = true;
	jh_counter_add(&cancels_total, 1);
	_jh_cancel_send(conn->pool->owner, conn->pool->host, conn->pool->port, conn->pid,
			conn->secret);
}

void _jh_conn_abandon(_jh_conn_t *conn)
{
	g_assert(!conn->job && conn->state == JH_CONN_WORKING);
	drop_pin(conn);
	conn->is_dirty = true;
	conn->state_since_us = conn_now_us(conn);
	_jh_conn_cancel(conn);
	if (!conn->is_paused)
		return;
	/* Results that libpq has already buffered cause no event on the socket. */
	_jh_conn_pause(conn, false);
	ev_feed_event(conn_loop(conn), &conn->read, EV_READ);
}

/* ---- Watchers ---- */

static void on_read(struct ev_loop *loop, ev_io *watcher, int events)
{
	_jh_conn_t *conn = watcher->data;

	(void)loop;
	(void)events;
	if (conn->state == JH_CONN_CONNECTING) {
		continue_connecting(conn);
		return;
	}
	if (!PQconsumeInput(conn->pg) || _jh_conn_flush(conn) < 0) {
		fail_conn(conn, "connection_lost");
		return;
	}
	if (conn->state == JH_CONN_WORKING)
		_jh_run_continue(conn);
	else if (conn->state == JH_CONN_CLEANING)
		handle_cleanup_results(conn);
	else
		read_idle_conn(conn);
}

static void on_write(struct ev_loop *loop, ev_io *watcher, int events)
{
	_jh_conn_t *conn = watcher->data;

	(void)loop;
	(void)events;
	if (conn->state == JH_CONN_CONNECTING)
		continue_connecting(conn);
	else if (_jh_conn_flush(conn) < 0)
		fail_conn(conn, "connection_lost");
}

static void on_connect_timeout(struct ev_loop *loop, ev_timer *watcher, int events)
{
	(void)loop;
	(void)events;
	fail_conn(watcher->data, "connect_timeout");
}

/* ---- Opening ---- */

static PGconn *start_connecting(const _jh_pool_t *pool)
{
	char port[PORT_CHARS];
	const char *const keywords[] = { "hostaddr",	     "port",	"user",
					 "dbname",	     "sslmode", "gssencmode",
					 "application_name", NULL };
	const char *const defaults[] = { pool->host, port,	    "",	 "", "disable",
					 "disable",  "jasminehill", NULL };
	const char *values[G_N_ELEMENTS(defaults)];

	(void)g_snprintf(port, sizeof(port), "%u", pool->port);
	memcpy(values, defaults, sizeof(defaults));
	values[2] = pool->user;
	values[3] = pool->dbname;
	return PQconnectStartParams(keywords, values, 0);
}

_jh_conn_t *_jh_conn_open(_jh_pool_t *pool)
{
	struct ev_loop *loop = jh_task_loop(pool->owner->task);
	PGconn *pg = start_connecting(pool);
	_jh_conn_t *conn;

	if (!pg || PQstatus(pg) == CONNECTION_BAD) {
		PQfinish(pg);
		return NULL;
	}
	conn = g_new0(_jh_conn_t, 1);
	conn->pool = pool;
	conn->pg = pg;
	conn->steps = g_array_new(FALSE, FALSE, sizeof(_jh_step_t));
	conn->state_since_us = conn_now_us(conn);
	PQsetNoticeReceiver(pg, on_notice, conn);
	start_trace(conn);
	ev_init(&conn->read, on_read);
	ev_init(&conn->write, on_write);
	ev_timer_init(&conn->timeout, on_connect_timeout, CONNECT_TIMEOUT_S, 0);
	conn->read.data = conn;
	conn->write.data = conn;
	conn->timeout.data = conn;
	ev_timer_start(loop, &conn->timeout);
	g_ptr_array_add(pool->conns, conn);
	watch_socket(conn, false, true);
	return conn;
}
