/* Running a job on a connection, as a chain of phases. The caller's statements themselves are sent
 * and handled in owner_steps.c; connections are in owner_conn.c, responses in owner_job.c.
 *
 * Each phase sends one statement or batch, handles its results and chooses the next phase. Most
 * jobs have only the phase of the caller's statements. Before it, a phase may set the access mode
 * of the session. For a write with a request id, further phases begin and commit a transaction that
 * also stores the request id and the response (docs/internals/at-most-once.md). After the
 * statements, a phase may read the end of the primary's log.
 *
 * A read on the primary may have seen commits that are not replicated to a majority yet. The
 * primary reports the position of a commit only to the session that commits. The job therefore
 * reads the end of the log after the read: that position covers everything that the read saw.
 *
 * An answer does not name its statement. If a database answers twice, the second answer may come
 * when the next statement was sent, and the statement's own answer then stays in the connection. So
 * the last phase selects a random number: only if the very next answer has it, the response is that
 * of the job's own statements. Otherwise the outcome is unknown.
 */
#include "internal/owner.h"

#include "jh_counter.h"
#include "jh_log.h"
#include "jh_sql_scan.h"
#include "jh_v3.h"

#include <string.h>

#define SQLSTATE_READ_ONLY "25006"
/* Delay before the retry of a BEGIN that was refused because too many transactions are open. */
#define PIN_LIMITED_RETRY_MS 100
/* A row must fit into a frame, together with the other fields of the frame. */
#define ROW_MAX_BYTES (JH_FRAME_MAX_BYTES - 64 * 1024)

JH_COUNTER(duplicates_total, "jasminehill_owner_duplicates_total",
	   "requests whose request id had run before");
JH_COUNTER(status_total, "jasminehill_owner_status_total",
	   "reads on a primary that asked for the end of its log");
JH_COUNTER(unpaired_total, "jasminehill_owner_answers_unpaired_total",
	   "responses that may be those of other statements");
JH_COUNTER(mode_total, "jasminehill_owner_mode_switches_total",
	   "changes of a session's access mode");

/* ---- Phases ---- */

/**
 * struct phase - functions of a phase
 * @send: sends the statements of the phase; returns 0, -1 if libpq failed
 * @handle_result: handles one result
 * @next: chooses the next phase; called when all results were handled
 */
typedef struct phase {
	int (*send)(_jh_conn_t *conn);
	void (*handle_result)(_jh_conn_t *conn, const PGresult *result);
	_jh_job_phase_t (*next)(const _jh_conn_t *conn);
} phase_t;

static const phase_t phases[JH_JOB_PHASE_END];

static bool has_request_id(const _jh_job_t *job)
{
	return job->request->write && job->request->request_id && *job->request->request_id;
}

static int64_t conn_now_us(const _jh_conn_t *conn)
{
	return jh_kernel_now_us(jh_task_kernel(conn->pool->owner->task));
}

static int send_sql(_jh_conn_t *conn, const char *sql)
{
	return PQsendQuery(conn->pg, sql) ? 0 : -1;
}

/* A statement of the owner's own is not expected to fail. If it does, the job fails, and the
 * connection is closed. */
static void check_internal_result(_jh_conn_t *conn, const PGresult *result)
{
	ExecStatusType status = PQresultStatus(result);

	if (status == PGRES_COMMAND_OK || status == PGRES_TUPLES_OK)
		return;
	conn->job->run_failed = true;
	conn->must_close = true;
	jh_log(JH_LOG_WARNING, "owner", "statement_failed", "database=%s phase=%d reason=%s",
	       jh_log_value(conn->pool->name), conn->phase,
	       jh_log_value(PQresultErrorMessage(result)));
}

/* ---- Access mode of the session ---- */

static int send_set_mode(_jh_conn_t *conn)
{
	bool write = conn->job->request->write;

	jh_counter_add(&mode_total, 1);
	conn->mode = write ? JH_MODE_READ_WRITE : JH_MODE_READ_ONLY;
	return send_sql(conn, write ? "SET default_transaction_read_only = off" :
				      "SET default_transaction_read_only = on");
}

static _jh_job_phase_t after_set_mode(const _jh_conn_t *conn)
{
	return has_request_id(conn->job) ? JH_JOB_PHASE_BEGIN : JH_JOB_PHASE_CALLER;
}

/* ---- Request ids ---- */

static int send_begin(_jh_conn_t *conn)
{
	return send_sql(conn, "BEGIN");
}

static _jh_job_phase_t after_begin(const _jh_conn_t *conn)
{
	return JH_JOB_PHASE_INSERT_ID;
}

static int send_request_id_statement(_jh_conn_t *conn, const char *sql, const char *response)
{
	const _jh_job_t *job = conn->job;
	const char *const values[] = { job->team, job->request->request_id, response };

	return PQsendQueryParams(conn->pg, sql, response ? 3 : 2, NULL, values, NULL, NULL, 0) ? 0 :
												 -1;
}

static int send_insert_id(_jh_conn_t *conn)
{
	return send_request_id_statement(
		conn,
		"INSERT INTO jasminehill_requests (team, id) VALUES ($1, $2) "
		"ON CONFLICT DO NOTHING",
		NULL);
}

static void handle_insert_id(_jh_conn_t *conn, const PGresult *result)
{
	_jh_job_t *job = conn->job;
	const char *sqlstate = PQresultErrorField(result, PG_DIAG_SQLSTATE);

	if (PQresultStatus(result) == PGRES_COMMAND_OK) {
		job->is_replay = g_str_equal(PQcmdTuples((PGresult *)result), "0");
		return;
	}
	if (sqlstate && g_str_equal(sqlstate, SQLSTATE_READ_ONLY))
		job->not_primary = true;
	else if (job->created_id_table)
		check_internal_result(conn, result);
	else
		/* The table of request ids may be missing. */
		job->failed = true;
}

static _jh_job_phase_t after_insert_id(const _jh_conn_t *conn)
{
	if (conn->job->not_primary)
		return JH_JOB_PHASE_ROLLBACK;
	if (conn->job->failed)
		return JH_JOB_PHASE_ROLLBACK_INSERT;
	return conn->job->is_replay ? JH_JOB_PHASE_LOAD_RESPONSE : JH_JOB_PHASE_CALLER;
}

static int send_rollback(_jh_conn_t *conn)
{
	return send_sql(conn, "ROLLBACK");
}

static _jh_job_phase_t after_rollback_insert(const _jh_conn_t *conn)
{
	return JH_JOB_PHASE_CREATE_ID_TABLE;
}

static int send_create_id_table(_jh_conn_t *conn)
{
	conn->job->created_id_table = true;
	conn->job->failed = false;
	return send_sql(conn, "CREATE TABLE IF NOT EXISTS jasminehill_requests (team text NOT "
			      "NULL, id text NOT NULL, answer text, PRIMARY KEY (team, id))");
}

static _jh_job_phase_t after_create_id_table(const _jh_conn_t *conn)
{
	return JH_JOB_PHASE_BEGIN;
}

/* The response is stored as base64 text, which every database stores unchanged.
 * If it is too long or parts of it were sent, "SELECT 1" runs instead of the update. */
static int send_store_response(_jh_conn_t *conn)
{
	const _jh_job_t *job = conn->job;
	char *response;
	int result;

	if (job->parts > 0 || job->unsent->len > JH_OWNER_STORED_MAX_BYTES)
		return send_sql(conn, "SELECT 1");
	response = g_base64_encode(job->unsent->data, job->unsent->len);
	result = send_request_id_statement(conn,
					   "UPDATE jasminehill_requests SET answer = $3 "
					   "WHERE team = $1 AND id = $2",
					   response);
	g_free(response);
	return result;
}

static _jh_job_phase_t after_store_response(const _jh_conn_t *conn)
{
	return JH_JOB_PHASE_COMMIT;
}

static int send_commit(_jh_conn_t *conn)
{
	return send_sql(conn, "COMMIT");
}

/* A COMMIT that fails with an SQLSTATE was rolled back, so the error is the response. */
static void handle_commit(_jh_conn_t *conn, const PGresult *result)
{
	_jh_job_t *job = conn->job;
	const char *sqlstate = PQresultErrorField(result, PG_DIAG_SQLSTATE);

	if (PQresultStatus(result) == PGRES_COMMAND_OK)
		return;
	if (!sqlstate || job->parts > 0) {
		check_internal_result(conn, result);
		return;
	}
	job->not_primary = g_str_equal(sqlstate, SQLSTATE_READ_ONLY);
	job->failed = true;
	g_strlcpy(job->sqlstate, sqlstate, sizeof(job->sqlstate));
	g_byte_array_set_size(job->unsent, 0);
	_jh_encode_report(job->unsent, JH_V3_ERROR_RESPONSE, result);
}

static int send_load_response(_jh_conn_t *conn)
{
	jh_counter_add(&duplicates_total, 1);
	return send_request_id_statement(conn,
					 "SELECT answer FROM jasminehill_requests "
					 "WHERE team = $1 AND id = $2",
					 NULL);
}

static void handle_stored_response(_jh_conn_t *conn, const PGresult *result)
{
	_jh_job_t *job = conn->job;
	gsize length = 0;
	guchar *response;

	if (PQresultStatus(result) != PGRES_TUPLES_OK || PQntuples(result) != 1) {
		check_internal_result(conn, result);
		job->run_failed = true;
		return;
	}
	job->is_duplicate = PQgetisnull(result, 0, 0);
	if (job->is_duplicate)
		return;
	response = g_base64_decode(PQgetvalue(result, 0, 0), &length);
	g_byte_array_append(job->unsent, response, (guint)length);
	g_free(response);
}

static _jh_job_phase_t after_load_response(const _jh_conn_t *conn)
{
	return JH_JOB_PHASE_ROLLBACK;
}

/* ---- Check of the response ---- */

static int send_check(_jh_conn_t *conn, const char *sql_before)
{
	char *sql;
	int result;

	randombytes_buf(&conn->check, sizeof(conn->check));
	conn->check &= INT64_MAX;
	conn->awaits_check = true;
	sql = g_strdup_printf("%sSELECT %" G_GUINT64_FORMAT, sql_before, conn->check);
	result = send_sql(conn, sql);
	g_free(sql);
	return result;
}

static int send_only_check(_jh_conn_t *conn)
{
	return send_check(conn, "");
}

static void handle_check(_jh_conn_t *conn, const PGresult *result)
{
	bool is_match = PQresultStatus(result) == PGRES_TUPLES_OK && PQntuples(result) == 1 &&
			PQnfields(result) == 1 &&
			g_ascii_strtoull(PQgetvalue(result, 0, 0), NULL, 10) == conn->check;

	if (is_match && conn->awaits_check)
		conn->awaits_check = false;
	else
		conn->job->run_failed = true;
}

/* Return: false if the answer of another statement came in place of the check's */
static bool is_check_passed(_jh_conn_t *conn)
{
	if (!conn->awaits_check)
		return true;
	jh_log(JH_LOG_WARNING, "owner", "answer_unpaired", "database=%s",
	       jh_log_value(conn->pool->name));
	jh_counter_add(&unpaired_total, 1);
	conn->awaits_check = false;
	conn->must_close = true;
	conn->pool->repeats_answers = true;
	return false;
}

/* ---- End of the primary's log ---- */

static int send_read_log_end(_jh_conn_t *conn)
{
	jh_counter_add(&status_total, 1);
	return send_check(conn, "SELECT * FROM group_status(); ");
}

static void handle_log_end(_jh_conn_t *conn, const PGresult *result)
{
	_jh_job_t *job = conn->job;
	int column = PQfnumber(result, "held");

	if (job->must_hold)
		handle_check(conn, result);
	else if (PQresultStatus(result) == PGRES_TUPLES_OK && PQntuples(result) == 1 &&
		 column >= 0 && jh_position_parse(PQgetvalue(result, 0, column), &job->position))
		job->must_hold = true;
	else
		job->run_failed = true;
}

/* A session's position never goes back; the answer of an earlier statement may show an older one.
 */
static bool has_position_advanced(const _jh_conn_t *conn)
{
	jh_position_t before = { 0 };
	jh_position_t now;

	if (!jh_position_parse(PQparameterStatus(conn->pg, "group_position"), &now))
		return false;
	return !jh_position_parse(conn->position_before, &before) ||
	       jh_position_compare(now, before) > 0;
}

/*
 * A group view is not current enough to decide this: a replaced primary or a replica that was just
 * promoted can show commits that are not replicated to a majority. The session's parameter
 * in_hot_standby comes from the database itself.
 */
static bool ran_on_replica(const _jh_conn_t *conn)
{
	return g_strcmp0(PQparameterStatus(conn->pg, "in_hot_standby"), "on") == 0;
}

/* Return: true if the response may depend on commits of other sessions that are not replicated to
 * a majority. A commit of this session itself reports its position, which is not lower. */
static bool needs_log_end(const _jh_conn_t *conn)
{
	const _jh_job_t *job = conn->job;

	if (job->is_replay)
		return true;
	if (job->not_primary || !(job->depends_on_rows || job->failed))
		return false;
	return !ran_on_replica(conn) && !has_position_advanced(conn);
}

/* Return: true if the caller's statements do nothing but begin a transaction */
static bool only_begins(const Jh__Request *request)
{
	jh_sql_command_t command;
	jh_sql_statement_t statement;
	size_t i;

	for (i = 0; i < request->n_ops; i++) {
		const char *cursor = request->ops[i]->sql;

		while (jh_sql_next_statement(&cursor, &statement)) {
			jh_sql_classify(&statement, &command);
			if (command.kind != JH_SQL_BEGIN && command.kind != JH_SQL_BEGIN_READ_ONLY)
				return false;
		}
	}
	return true;
}

/*
 * Return: true for a single read of a replica. A check would be as much work for the database as
 * the read itself, so that it is made only once the database has repeated an answer.
 */
static bool is_replica_read(const _jh_conn_t *conn)
{
	const _jh_job_t *job = conn->job;

	return ran_on_replica(conn) && !job->not_primary && job->request->pin == 0 &&
	       PQtransactionStatus(conn->pg) == PQTRANS_IDLE;
}

/*
 * A position that advanced is that of the job's own commit, and no statement runs in a failed
 * transaction. The first statement of a transaction must be the caller's, since it chooses the
 * isolation level and what the transaction sees.
 */
static bool needs_check(const _jh_conn_t *conn)
{
	const _jh_job_t *job = conn->job;
	PGTransactionStatusType status = PQtransactionStatus(conn->pg);
	bool only_began = status == PQTRANS_INTRANS && !job->depends_on_rows && !job->failed &&
			  job->request->pin == 0 && only_begins(job->request);

	if (is_replica_read(conn) && !conn->pool->repeats_answers)
		return false;
	return status != PQTRANS_INERROR && !only_began && !has_position_advanced(conn);
}

static _jh_job_phase_t choose_last_phase(const _jh_conn_t *conn)
{
	if (!needs_check(conn))
		return JH_JOB_PHASE_END;
	return needs_log_end(conn) ? JH_JOB_PHASE_READ_LOG_END : JH_JOB_PHASE_CHECK;
}

static _jh_job_phase_t after_commit(const _jh_conn_t *conn)
{
	return choose_last_phase(conn);
}

static _jh_job_phase_t after_rollback(const _jh_conn_t *conn)
{
	return conn->job->is_duplicate ? JH_JOB_PHASE_CHECK : choose_last_phase(conn);
}

static _jh_job_phase_t after_check(const _jh_conn_t *conn)
{
	return JH_JOB_PHASE_END;
}

/* ---- The caller's statements ---- */

static _jh_job_phase_t after_caller(const _jh_conn_t *conn)
{
	const _jh_job_t *job = conn->job;

	if (!has_request_id(job))
		return choose_last_phase(conn);
	if (job->failed || job->controls_transaction)
		return JH_JOB_PHASE_ROLLBACK;
	return JH_JOB_PHASE_STORE_RESPONSE;
}

/* ---- Table of phases ---- */

static const phase_t phases[JH_JOB_PHASE_END] = {
	[JH_JOB_PHASE_SET_MODE] = { send_set_mode, check_internal_result, after_set_mode },
	[JH_JOB_PHASE_BEGIN] = { send_begin, check_internal_result, after_begin },
	[JH_JOB_PHASE_INSERT_ID] = { send_insert_id, handle_insert_id, after_insert_id },
	[JH_JOB_PHASE_ROLLBACK_INSERT] = { send_rollback, check_internal_result,
					   after_rollback_insert },
	[JH_JOB_PHASE_CREATE_ID_TABLE] = { send_create_id_table, check_internal_result,
					   after_create_id_table },
	[JH_JOB_PHASE_CALLER] = { _jh_steps_send, _jh_steps_handle_result, after_caller },
	[JH_JOB_PHASE_STORE_RESPONSE] = { send_store_response, check_internal_result,
					  after_store_response },
	[JH_JOB_PHASE_COMMIT] = { send_commit, handle_commit, after_commit },
	[JH_JOB_PHASE_LOAD_RESPONSE] = { send_load_response, handle_stored_response,
					 after_load_response },
	[JH_JOB_PHASE_ROLLBACK] = { send_rollback, check_internal_result, after_rollback },
	[JH_JOB_PHASE_READ_LOG_END] = { send_read_log_end, handle_log_end, after_check },
	[JH_JOB_PHASE_CHECK] = { send_only_check, handle_check, after_check },
};

/* ---- End of a job ---- */

static void record_position(_jh_conn_t *conn, _jh_job_t *job)
{
	const char *text = PQparameterStatus(conn->pg, "group_position");
	jh_position_t position;

	if (!jh_position_parse(text, &position))
		return;
	_jh_pool_observe_position(conn->pool, position);
	if (has_position_advanced(conn) &&
	    (job->request->write || _jh_pool_is_primary(conn->pool))) {
		job->wrote = true;
		job->must_hold = true;
		job->position = position;
	} else if (!job->must_hold) {
		job->position = conn->pool->position;
	} else {
		_jh_pool_observe_position(conn->pool, job->position);
	}
	/* Later reads of the session must see what the first run of this request id wrote. */
	if (job->is_replay)
		job->wrote = true;
}

static void record_transaction(_jh_conn_t *conn, _jh_job_t *job)
{
	PGTransactionStatusType status = PQtransactionStatus(conn->pg);

	job->transaction = status == PQTRANS_INTRANS ? 'T' : status == PQTRANS_INERROR ? 'E' : 'I';
	if (job->transaction == 'I' || conn->is_broken)
		return;
	if (conn->pin == JH_HANDLE_NONE)
		conn->pin = jh_table_add(conn->pool->owner->pins, conn);
	conn->pin_vm = job->id.vm;
	conn->pin_boot = job->id.boot;
	job->pin = conn->pin;
}

/* Return: true if the job only began a transaction and too many are open. It is rolled back and
 * refused as not run, since it had no other effect. */
static bool must_undo_begin(const _jh_conn_t *conn, const _jh_job_t *job)
{
	bool only_begins =
		job->controls_transaction && job->commands_completed == 1 && !job->depends_on_rows;

	return job->transaction == 'T' && job->request->pin == 0 && only_begins && !job->wrote &&
	       job->parts == 0 && _jh_pool_is_pin_limited(conn->pool);
}

/* Detach the job from its connection. Return: the job */
static _jh_job_t *detach_job(_jh_conn_t *conn)
{
	_jh_job_t *job = conn->job;

	job->run_us = conn_now_us(conn) - job->started_us;
	job->conn = NULL;
	conn->job = NULL;
	return job;
}

static void refuse_pin_limited(_jh_job_t *job)
{
	job->transaction = 'I';
	_jh_job_refuse(job, JH__ANSWER_END__REASON__OVERLOADED,
		       "too many transactions are open on the database", PIN_LIMITED_RETRY_MS);
}

static void end_job(_jh_job_t *job)
{
	if (job->run_failed && !job->statements_sent && !job->is_replay)
		_jh_job_refuse(job, JH__ANSWER_END__REASON__UNREACHABLE,
			       "the database failed before the request", 1);
	else if (job->run_failed)
		_jh_job_end_unknown(job, JH__ANSWER_END__REASON__UNREACHABLE,
				    "the database failed while the request was under way");
	else if (job->is_duplicate)
		_jh_job_refuse(job, JH__ANSWER_END__REASON__DUPLICATE,
			       "this request id ran before; its answer was not kept", 0);
	else if (job->not_primary)
		_jh_job_refuse(job, JH__ANSWER_END__REASON__NOT_PRIMARY,
			       "the database refused the write: it is not the primary", 1);
	else if (job->pin_limited)
		refuse_pin_limited(job);
	else
		_jh_job_finish(job);
}

static void finish_run(_jh_conn_t *conn)
{
	_jh_job_t *job = conn->job;
	_jh_pool_t *pool = conn->pool;
	bool is_pinned;

	if (!job) {
		_jh_conn_release(conn);
		return;
	}
	record_position(conn, job);
	/* A BEGIN, COMMIT or ROLLBACK of the caller may have ended the transaction that stores the
	 * request id, so that it is not known what was committed. */
	if (has_request_id(job) && job->controls_transaction)
		job->run_failed = true;
	if (!job->run_failed)
		record_transaction(conn, job);
	job->pin_limited = must_undo_begin(conn, job);
	is_pinned = !job->pin_limited && job->transaction != 'I' && job->pin != JH_HANDLE_NONE &&
		    !conn->is_broken && !job->run_failed;
	detach_job(conn);
	if (is_pinned) {
		jh_fair_queue_finish(pool->queue, conn->team, conn_now_us(conn) - conn->started_us);
		conn->team = NULL;
		_jh_conn_set_state(conn, JH_CONN_PINNED);
	} else {
		job->pin = JH_HANDLE_NONE;
		_jh_conn_release(conn);
	}
	end_job(job);
	_jh_pool_dispatch(pool);
}

void _jh_run_on_conn_lost(_jh_conn_t *conn)
{
	_jh_job_t *job = detach_job(conn);

	job->run_failed = true;
	job->not_primary = false;
	job->is_duplicate = false;
	end_job(job);
}

/* ---- Sequence of phases ---- */

/* Leave pipeline mode. Return: false if results are still pending; the run has then failed */
static bool leave_pipeline(_jh_conn_t *conn)
{
	if (PQpipelineStatus(conn->pg) == PQ_PIPELINE_OFF || PQexitPipelineMode(conn->pg))
		return true;
	conn->must_close = true;
	conn->is_broken = true;
	if (conn->job)
		conn->job->run_failed = true;
	return false;
}

static void begin_phase(_jh_conn_t *conn, _jh_job_phase_t phase)
{
	if (!leave_pipeline(conn))
		phase = JH_JOB_PHASE_END;
	if (phase != JH_JOB_PHASE_END) {
		conn->phase = phase;
		if (phases[phase].send(conn) == 0 && _jh_conn_flush(conn) == 0)
			return;
		conn->must_close = true;
		conn->is_broken = true;
		conn->job->run_failed = true;
	}
	finish_run(conn);
}

static bool response_is_too_large(const _jh_job_t *job)
{
	return job->unsent->len >
	       (job->withholds_rest ? JH_OWNER_WITHHELD_MAX_BYTES : ROW_MAX_BYTES);
}

static void handle_phase_result(_jh_conn_t *conn, PGresult *result)
{
	_jh_job_t *job = conn->job;

	if (job) {
		phases[conn->phase].handle_result(conn, result);
		if (response_is_too_large(job)) {
			_jh_job_end_unknown(job, JH__ANSWER_END__REASON__NONE,
					    "the answer is too large to be held back");
			_jh_conn_abandon(conn);
		}
	}
	PQclear(result);
}

static bool window_is_full(const _jh_job_t *job)
{
	return job && job->bytes_sent - job->bytes_acked >= JH_OWNER_WINDOW_BYTES;
}

void _jh_run_on_ack(_jh_job_t *job, uint64_t bytes)
{
	_jh_conn_t *conn = job->conn;

	if (bytes <= job->bytes_sent)
		job->bytes_acked = MAX(job->bytes_acked, bytes);
	if (!conn || !conn->is_paused || window_is_full(job))
		return;
	_jh_conn_pause(conn, false);
	_jh_run_continue(conn);
}

static bool has_status(const PGresult *result, ExecStatusType status)
{
	return result && PQresultStatus(result) == status;
}

/* Handle one result, NULL for the end of a statement. Return: true if the phase has ended */
static bool handle_next_result(_jh_conn_t *conn, PGresult *result)
{
	bool in_pipeline =
		conn->phase == JH_JOB_PHASE_CALLER && PQpipelineStatus(conn->pg) != PQ_PIPELINE_OFF;
	bool is_sync = has_status(result, PGRES_PIPELINE_SYNC);
	bool is_copy = has_status(result, PGRES_COPY_IN) || has_status(result, PGRES_COPY_OUT);

	if (PQstatus(conn->pg) == CONNECTION_BAD || is_sync)
		PQclear(result);
	else if (result)
		handle_phase_result(conn, result);
	if (PQstatus(conn->pg) == CONNECTION_BAD || is_copy)
		return true;
	if (!in_pipeline)
		return !result;
	return (!result || is_sync) && _jh_steps_advance(conn);
}

/* Handle the results that have arrived. Return: true if the phase has ended */
static bool read_phase_results(_jh_conn_t *conn)
{
	while (!PQisBusy(conn->pg)) {
		if (conn->phase == JH_JOB_PHASE_CALLER && window_is_full(conn->job)) {
			_jh_conn_pause(conn, true);
			return false;
		}
		if (handle_next_result(conn, PQgetResult(conn->pg)))
			return true;
	}
	return false;
}

void _jh_run_continue(_jh_conn_t *conn)
{
	if (!read_phase_results(conn))
		return;
	if (PQstatus(conn->pg) == CONNECTION_BAD) {
		_jh_pool_t *pool = conn->pool;

		if (conn->job)
			_jh_run_on_conn_lost(conn);
		_jh_conn_close(conn);
		_jh_pool_dispatch(pool);
		return;
	}
	if (conn->job && (!is_check_passed(conn) || !_jh_conn_is_quiet(conn))) {
		conn->job->run_failed = true;
		conn->must_close = true;
	}
	if (conn->job && !conn->job->run_failed && !conn->is_broken)
		begin_phase(conn, phases[conn->phase].next(conn));
	else
		begin_phase(conn, JH_JOB_PHASE_END);
}

void _jh_run_start(_jh_conn_t *conn, _jh_job_t *job)
{
	bool write = job->request->write;
	bool is_mode_set = conn->mode == (write ? JH_MODE_READ_WRITE : JH_MODE_READ_ONLY);

	g_assert(conn->state == JH_CONN_IDLE || conn->state == JH_CONN_PINNED);
	conn->awaits_check = false;
	job->state = JH_JOB_RUNNING;
	job->conn = conn;
	job->started_us = conn_now_us(conn);
	conn->job = job;
	conn->team = job->team;
	conn->started_us = job->started_us;
	g_free(conn->position_before);
	conn->position_before = g_strdup(PQparameterStatus(conn->pg, "group_position"));
	_jh_conn_set_state(conn, JH_CONN_WORKING);
	if (job->request->pin != 0)
		begin_phase(conn, JH_JOB_PHASE_CALLER);
	else if (!is_mode_set)
		begin_phase(conn, JH_JOB_PHASE_SET_MODE);
	else
		begin_phase(conn, has_request_id(job) ? JH_JOB_PHASE_BEGIN : JH_JOB_PHASE_CALLER);
}
