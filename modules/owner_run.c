/* Running a job on a connection: phases, and the pipeline of the caller's own steps.
 *
 * A job is a chain of phases, each of which sends something and takes its results. The usual chain
 * is one phase, the caller's statements. Around it may stand: the session's access mode, the
 * transaction that holds a request id (docs/internals/at-most-once.md), and the question for the
 * end of the primary's log.
 *
 * A read on the primary may have seen commits that no majority holds yet. The primary reports a
 * position only to the session that commits, so the end of the log is asked for after the read;
 * it covers all that the read saw.
 */
#include "internal/owner.h"

#include "jh_counter.h"
#include "jh_log.h"
#include "jh_v3.h"

#include <string.h>

#define SQLSTATE_READ_ONLY "25006"
/* When a transaction that found no connection may come back, milliseconds. */
#define CROWDED_RETRY_MS 100
/* A row must fit into a frame. */
#define ROW_MAX_BYTES (JH_FRAME_MAX_BYTES - 64 * 1024)

JH_COUNTER(duplicates_total, "jasminehill_owner_duplicates_total",
	   "requests whose request id had run before");
JH_COUNTER(status_total, "jasminehill_owner_status_total",
	   "reads on a primary that asked for the end of its log");
JH_COUNTER(mode_total, "jasminehill_owner_mode_switches_total",
	   "changes of a session's access mode");

/* ---- what a phase is ---- */

/**
 * struct phase - one step of a job's chain
 * @send: send its statements; 0, or -1 if libpq can't
 * @take: take one result
 * @next: what comes after it
 */
typedef struct phase {
	int (*send)(_jh_conn_t *conn);
	void (*take)(_jh_conn_t *conn, const PGresult *result);
	_jh_phase_t (*next)(const _jh_conn_t *conn);
} phase_t;

static const phase_t phases[JH_PHASE_END];

static bool has_request_id(const _jh_job_t *job)
{
	return job->request->write && job->request->request_id && *job->request->request_id;
}

static int64_t now_of(const _jh_conn_t *conn)
{
	return jh_kernel_now_us(jh_task_kernel(conn->pool->owner->task));
}

static int send_sql(_jh_conn_t *conn, const char *sql)
{
	return PQsendQuery(conn->pg, sql) ? 0 : -1;
}

/* A statement of the proxy's own must not fail; if one does, the job can't go on. */
static void take_internal(_jh_conn_t *conn, const PGresult *result)
{
	ExecStatusType status = PQresultStatus(result);

	if (status == PGRES_COMMAND_OK || status == PGRES_TUPLES_OK)
		return;
	conn->job->lost = true;
	conn->cancelled = true;
	jh_log(JH_LOG_WARNING, "owner", "statement_failed", "database=%s phase=%d reason=%s",
	       jh_log_value(conn->pool->name), conn->phase,
	       jh_log_value(PQresultErrorMessage(result)));
}

/* ---- access mode ---- */

static int mode_send(_jh_conn_t *conn)
{
	bool write = conn->job->request->write;

	jh_counter_add(&mode_total, 1);
	conn->mode = write ? JH_MODE_READ_WRITE : JH_MODE_READ_ONLY;
	return send_sql(conn, write ? "SET default_transaction_read_only = off" :
				      "SET default_transaction_read_only = on");
}

static _jh_phase_t mode_next(const _jh_conn_t *conn)
{
	return has_request_id(conn->job) ? JH_PHASE_BEGIN : JH_PHASE_CALLER;
}

/* ---- request id ---- */

static int begin_send(_jh_conn_t *conn)
{
	return send_sql(conn, "BEGIN");
}

static _jh_phase_t begin_next(const _jh_conn_t *conn)
{
	return JH_PHASE_KEY;
}

static int key_send_with(_jh_conn_t *conn, const char *sql, const char *answer)
{
	const _jh_job_t *job = conn->job;
	const char *const values[] = { job->team, job->request->request_id, answer };

	return PQsendQueryParams(conn->pg, sql, answer ? 3 : 2, NULL, values, NULL, NULL, 0) ? 0 :
											       -1;
}

static int key_send(_jh_conn_t *conn)
{
	return key_send_with(conn,
			     "INSERT INTO jasminehill_requests (team, id) VALUES ($1, $2) "
			     "ON CONFLICT DO NOTHING",
			     NULL);
}

static void key_take(_jh_conn_t *conn, const PGresult *result)
{
	_jh_job_t *job = conn->job;
	const char *sqlstate = PQresultErrorField(result, PG_DIAG_SQLSTATE);

	if (PQresultStatus(result) == PGRES_COMMAND_OK) {
		job->replay = g_str_equal(PQcmdTuples((PGresult *)result), "0");
		return;
	}
	if (sqlstate && g_str_equal(sqlstate, SQLSTATE_READ_ONLY))
		job->not_primary = true;
	else if (job->created)
		take_internal(conn, result);
	else
		/* The table may be missing. */
		job->failed = true;
}

static _jh_phase_t key_next(const _jh_conn_t *conn)
{
	if (conn->job->not_primary)
		return JH_PHASE_ROLLBACK;
	if (conn->job->failed)
		return JH_PHASE_KEY_ROLLBACK;
	return conn->job->replay ? JH_PHASE_RECALL : JH_PHASE_CALLER;
}

static int rollback_send(_jh_conn_t *conn)
{
	return send_sql(conn, "ROLLBACK");
}

static _jh_phase_t key_rollback_next(const _jh_conn_t *conn)
{
	return JH_PHASE_KEY_CREATE;
}

static int key_create_send(_jh_conn_t *conn)
{
	conn->job->created = true;
	conn->job->failed = false;
	return send_sql(conn, "CREATE TABLE IF NOT EXISTS jasminehill_requests (team text NOT "
			      "NULL, id text NOT NULL, answer text, PRIMARY KEY (team, id))");
}

static _jh_phase_t key_create_next(const _jh_conn_t *conn)
{
	return JH_PHASE_BEGIN;
}

/* The answer is stored as base64 text, which every database keeps alike. */
static int store_send(_jh_conn_t *conn)
{
	const _jh_job_t *job = conn->job;
	char *answer;
	int result;

	if (job->parts > 0 || job->out->len > JH_OWNER_STORED_BYTES)
		return send_sql(conn, "SELECT 1");
	answer = g_base64_encode(job->out->data, job->out->len);
	result = key_send_with(conn,
			       "UPDATE jasminehill_requests SET answer = $3 "
			       "WHERE team = $1 AND id = $2",
			       answer);
	g_free(answer);
	return result;
}

static _jh_phase_t store_next(const _jh_conn_t *conn)
{
	return JH_PHASE_COMMIT;
}

static int commit_send(_jh_conn_t *conn)
{
	return send_sql(conn, "COMMIT");
}

/* A refused commit is the database's own answer: nothing of it was done. */
static void commit_take(_jh_conn_t *conn, const PGresult *result)
{
	_jh_job_t *job = conn->job;
	const char *sqlstate = PQresultErrorField(result, PG_DIAG_SQLSTATE);

	if (PQresultStatus(result) == PGRES_COMMAND_OK)
		return;
	if (!sqlstate || job->parts > 0) {
		take_internal(conn, result);
		return;
	}
	job->not_primary = g_str_equal(sqlstate, SQLSTATE_READ_ONLY);
	job->failed = true;
	g_strlcpy(job->sqlstate, sqlstate, sizeof(job->sqlstate));
	g_byte_array_set_size(job->out, 0);
	_jh_encode_report(job->out, JH_V3_ERROR_RESPONSE, result);
}

static int recall_send(_jh_conn_t *conn)
{
	jh_counter_add(&duplicates_total, 1);
	return key_send_with(conn,
			     "SELECT answer FROM jasminehill_requests "
			     "WHERE team = $1 AND id = $2",
			     NULL);
}

static void recall_take(_jh_conn_t *conn, const PGresult *result)
{
	_jh_job_t *job = conn->job;
	gsize length = 0;
	guchar *answer;

	if (PQresultStatus(result) != PGRES_TUPLES_OK || PQntuples(result) != 1) {
		take_internal(conn, result);
		job->lost = true;
		return;
	}
	job->duplicate = PQgetisnull(result, 0, 0);
	if (job->duplicate)
		return;
	answer = g_base64_decode(PQgetvalue(result, 0, 0), &length);
	g_byte_array_append(job->out, answer, (guint)length);
	g_free(answer);
}

static _jh_phase_t recall_next(const _jh_conn_t *conn)
{
	return JH_PHASE_ROLLBACK;
}

/* ---- status ---- */

static int status_send(_jh_conn_t *conn)
{
	jh_counter_add(&status_total, 1);
	return send_sql(conn, "SELECT * FROM group_status()");
}

static void status_take(_jh_conn_t *conn, const PGresult *result)
{
	_jh_job_t *job = conn->job;
	int column = PQfnumber(result, "held");

	if (PQresultStatus(result) == PGRES_TUPLES_OK && PQntuples(result) == 1 && column >= 0 &&
	    jh_position_parse(PQgetvalue(result, 0, column), &job->position))
		job->must_hold = true;
	else
		job->lost = true;
}

static bool position_moved(const _jh_conn_t *conn)
{
	const char *now = PQparameterStatus(conn->pg, "group_position");

	return g_strcmp0(now, conn->before) != 0;
}

/*
 * The database's own word for this answer, since views are late: a primary that was replaced, or
 * a replica just promoted, shows commits that no majority holds.
 */
static bool ran_on_replica(const _jh_conn_t *conn)
{
	return g_strcmp0(PQparameterStatus(conn->pg, "in_hot_standby"), "on") == 0;
}

/* True if the answer may rest on commits of others that no majority holds. */
static bool needs_status(const _jh_conn_t *conn)
{
	const _jh_job_t *job = conn->job;

	if (job->replay)
		return true;
	if (job->not_primary || !(job->saw_rows || job->failed))
		return false;
	return !ran_on_replica(conn) && !position_moved(conn) &&
	       PQtransactionStatus(conn->pg) != PQTRANS_INERROR;
}

static _jh_phase_t status_or_end(const _jh_conn_t *conn)
{
	return needs_status(conn) ? JH_PHASE_STATUS : JH_PHASE_END;
}

static _jh_phase_t commit_next(const _jh_conn_t *conn)
{
	return status_or_end(conn);
}

static _jh_phase_t rollback_next(const _jh_conn_t *conn)
{
	return conn->job->duplicate ? JH_PHASE_END : status_or_end(conn);
}

static _jh_phase_t status_next(const _jh_conn_t *conn)
{
	return JH_PHASE_END;
}

/* ---- the caller's statements ---- */

static _jh_phase_t caller_next(const _jh_conn_t *conn)
{
	const _jh_job_t *job = conn->job;

	if (!has_request_id(job))
		return status_or_end(conn);
	if (job->failed || job->controlled)
		return JH_PHASE_ROLLBACK;
	return JH_PHASE_STORE;
}

/* ---- table of phases ---- */

static const phase_t phases[JH_PHASE_END] = {
	[JH_PHASE_MODE] = { mode_send, take_internal, mode_next },
	[JH_PHASE_BEGIN] = { begin_send, take_internal, begin_next },
	[JH_PHASE_KEY] = { key_send, key_take, key_next },
	[JH_PHASE_KEY_ROLLBACK] = { rollback_send, take_internal, key_rollback_next },
	[JH_PHASE_KEY_CREATE] = { key_create_send, take_internal, key_create_next },
	[JH_PHASE_CALLER] = { _jh_steps_send, _jh_steps_handle_result, caller_next },
	[JH_PHASE_STORE] = { store_send, take_internal, store_next },
	[JH_PHASE_COMMIT] = { commit_send, commit_take, commit_next },
	[JH_PHASE_RECALL] = { recall_send, recall_take, recall_next },
	[JH_PHASE_ROLLBACK] = { rollback_send, take_internal, rollback_next },
	[JH_PHASE_STATUS] = { status_send, status_take, status_next },
};

/* ---- end of a job ---- */

static void job_note_position(_jh_conn_t *conn, _jh_job_t *job)
{
	const char *text = PQparameterStatus(conn->pg, "group_position");
	jh_position_t position;

	if (!jh_position_parse(text, &position))
		return;
	_jh_pool_observe_position(conn->pool, position);
	if (position_moved(conn) && (job->request->write || _jh_pool_is_primary(conn->pool))) {
		job->wrote = true;
		job->must_hold = true;
		job->position = position;
	} else if (!job->must_hold) {
		job->position = conn->pool->position;
	} else {
		_jh_pool_observe_position(conn->pool, job->position);
	}
	/* The session must see what the first run of this request id wrote. */
	if (job->replay)
		job->wrote = true;
}

static void job_note_transaction(_jh_conn_t *conn, _jh_job_t *job)
{
	PGTransactionStatusType status = PQtransactionStatus(conn->pg);

	job->transaction = status == PQTRANS_INTRANS ? 'T' : status == PQTRANS_INERROR ? 'E' : 'I';
	if (job->transaction == 'I' || conn->broken)
		return;
	if (conn->pin == JH_HANDLE_NONE)
		conn->pin = jh_table_add(conn->pool->owner->pins, conn);
	conn->pin_vm = job->id.vm;
	conn->pin_boot = job->id.boot;
	job->pin = conn->pin;
}

/* A BEGIN may be undone, as if it had not run, if too many transactions are open already. */
static bool job_is_crowded(const _jh_conn_t *conn, const _jh_job_t *job)
{
	bool only_begins = job->controlled && job->completes == 1 && !job->saw_rows;

	return job->transaction == 'T' && job->request->pin == 0 && only_begins && !job->wrote &&
	       job->parts == 0 && _jh_pool_is_pin_limited(conn->pool);
}

/* Take the job off the connection, which goes on without it. */
static _jh_job_t *job_detach(_jh_conn_t *conn)
{
	_jh_job_t *job = conn->job;

	job->run_us = now_of(conn) - job->started_us;
	job->conn = NULL;
	conn->job = NULL;
	return job;
}

static void refuse_crowded(_jh_job_t *job)
{
	job->transaction = 'I';
	_jh_job_refuse(job, JH__ANSWER_END__REASON__OVERLOADED,
		       "too many transactions are open on the database", CROWDED_RETRY_MS);
}

static void job_answer(_jh_job_t *job)
{
	if (job->duplicate)
		_jh_job_refuse(job, JH__ANSWER_END__REASON__DUPLICATE,
			       "this request id ran before; its answer was not kept", 0);
	else if (job->not_primary)
		_jh_job_refuse(job, JH__ANSWER_END__REASON__NOT_PRIMARY,
			       "the database refused the write: it is not the primary", 1);
	else if (job->pin_limited)
		refuse_crowded(job);
	else if (job->lost && !job->reached && !job->replay)
		_jh_job_refuse(job, JH__ANSWER_END__REASON__UNREACHABLE,
			       "the database failed before the request", 1);
	else if (job->lost)
		_jh_job_give_up(job, JH__ANSWER_END__REASON__UNREACHABLE,
				"the database failed while the request was under way");
	else
		_jh_job_finish(job);
}

static void run_finish(_jh_conn_t *conn)
{
	_jh_job_t *job = conn->job;
	_jh_pool_t *pool = conn->pool;
	bool is_pinned;

	if (!job) {
		_jh_conn_release(conn);
		return;
	}
	job_note_position(conn, job);
	/* Its own COMMIT may have split the request id's transaction. */
	if (has_request_id(job) && job->controlled)
		job->lost = true;
	if (!job->lost)
		job_note_transaction(conn, job);
	job->pin_limited = job_is_crowded(conn, job);
	is_pinned = !job->pin_limited && job->transaction != 'I' && job->pin != JH_HANDLE_NONE &&
		    !conn->broken && !job->lost;
	job_detach(conn);
	if (is_pinned) {
		jh_fair_queue_finish(pool->queue, conn->team, now_of(conn) - conn->started_us);
		conn->team = NULL;
		_jh_conn_set_state(conn, JH_CONN_PINNED);
	} else {
		job->pin = JH_HANDLE_NONE;
		_jh_conn_release(conn);
	}
	job_answer(job);
	_jh_pool_dispatch(pool);
}

void _jh_run_on_conn_lost(_jh_conn_t *conn)
{
	_jh_job_t *job = job_detach(conn);

	job->lost = true;
	job->not_primary = false;
	job->duplicate = false;
	job_answer(job);
}

/* ---- phases in turn ---- */

/* Return: false, with the job lost, if results are still due */
static bool pipeline_leave(_jh_conn_t *conn)
{
	if (PQpipelineStatus(conn->pg) == PQ_PIPELINE_OFF || PQexitPipelineMode(conn->pg))
		return true;
	conn->cancelled = true;
	conn->broken = true;
	if (conn->job)
		conn->job->lost = true;
	return false;
}

static void phase_begin(_jh_conn_t *conn, _jh_phase_t phase)
{
	if (!pipeline_leave(conn))
		phase = JH_PHASE_END;
	if (phase != JH_PHASE_END) {
		conn->phase = phase;
		if (phases[phase].send(conn) == 0 && _jh_conn_flush(conn) == 0)
			return;
		conn->cancelled = true;
		conn->broken = true;
		conn->job->lost = true;
	}
	run_finish(conn);
}

static bool hold_is_too_large(const _jh_job_t *job)
{
	return job->out->len > (job->hold ? JH_OWNER_HELD_BYTES : ROW_MAX_BYTES);
}

static void phase_take(_jh_conn_t *conn, PGresult *result)
{
	_jh_job_t *job = conn->job;

	if (job) {
		phases[conn->phase].take(conn, result);
		if (hold_is_too_large(job)) {
			_jh_job_give_up(job, JH__ANSWER_END__REASON__NONE,
					"the answer is too large to be held back");
			_jh_conn_abandon(conn);
		}
	}
	PQclear(result);
}

static bool window_is_full(const _jh_job_t *job)
{
	return job && job->sent - job->acknowledged >= JH_OWNER_WINDOW_BYTES;
}

void _jh_run_acknowledge(_jh_job_t *job, uint64_t bytes)
{
	_jh_conn_t *conn = job->conn;

	if (bytes <= job->sent)
		job->acknowledged = MAX(job->acknowledged, bytes);
	if (!conn || !conn->paused || window_is_full(job))
		return;
	_jh_conn_pause(conn, false);
	_jh_run_continue(conn);
}

static bool result_is(const PGresult *result, ExecStatusType status)
{
	return result && PQresultStatus(result) == status;
}

/* Take one result, which may be NULL. Return: true if the phase is over */
static bool result_take(_jh_conn_t *conn, PGresult *result)
{
	bool in_pipeline =
		conn->phase == JH_PHASE_CALLER && PQpipelineStatus(conn->pg) != PQ_PIPELINE_OFF;
	bool is_sync = result_is(result, PGRES_PIPELINE_SYNC);
	bool is_copy = result_is(result, PGRES_COPY_IN) || result_is(result, PGRES_COPY_OUT);

	if (PQstatus(conn->pg) == CONNECTION_BAD || is_sync)
		PQclear(result);
	else if (result)
		phase_take(conn, result);
	if (PQstatus(conn->pg) == CONNECTION_BAD || is_copy)
		return true;
	if (!in_pipeline)
		return !result;
	return (!result || is_sync) && _jh_steps_advance(conn);
}

/* Return: true if the phase is over, false if more results must arrive */
static bool phase_read(_jh_conn_t *conn)
{
	while (!PQisBusy(conn->pg)) {
		if (conn->phase == JH_PHASE_CALLER && window_is_full(conn->job)) {
			_jh_conn_pause(conn, true);
			return false;
		}
		if (result_take(conn, PQgetResult(conn->pg)))
			return true;
	}
	return false;
}

void _jh_run_continue(_jh_conn_t *conn)
{
	if (!phase_read(conn))
		return;
	if (PQstatus(conn->pg) == CONNECTION_BAD) {
		_jh_pool_t *pool = conn->pool;

		if (conn->job)
			_jh_run_on_conn_lost(conn);
		_jh_conn_close(conn);
		_jh_pool_dispatch(pool);
		return;
	}
	if (conn->job && !conn->job->lost && !conn->broken)
		phase_begin(conn, phases[conn->phase].next(conn));
	else
		phase_begin(conn, JH_PHASE_END);
}

void _jh_run_start(_jh_conn_t *conn, _jh_job_t *job)
{
	bool write = job->request->write;
	bool has_mode = conn->mode == (write ? JH_MODE_READ_WRITE : JH_MODE_READ_ONLY);

	g_assert(conn->state == JH_CONN_IDLE || conn->state == JH_CONN_PINNED);
	job->state = JH_JOB_RUNNING;
	job->conn = conn;
	job->started_us = now_of(conn);
	conn->job = job;
	conn->team = job->team;
	conn->started_us = job->started_us;
	g_free(conn->before);
	conn->before = g_strdup(PQparameterStatus(conn->pg, "group_position"));
	_jh_conn_set_state(conn, JH_CONN_WORKING);
	if (job->request->pin != 0)
		phase_begin(conn, JH_PHASE_CALLER);
	else if (!has_mode)
		phase_begin(conn, JH_PHASE_MODE);
	else
		phase_begin(conn, has_request_id(job) ? JH_PHASE_BEGIN : JH_PHASE_CALLER);
}
