/* The caller's statements: sending a batch and appending its results to the response. The phases
 * around them are in owner_run.c, the encoding of rows and errors in owner_encode.c.
 *
 * A simple query is one call of libpq. A batch of the extended protocol is sent in pipeline mode.
 * libpq can't send a Bind without an Execute, nor a Describe of a portal. The owner therefore uses
 * only the unnamed statement: it sends a Parse if the statement differs from the last one parsed,
 * and then a Describe of the statement, or a Bind with its Execute. The entry stores the callers'
 * named statements.
 */
#include "internal/owner.h"

#include "jh_v3.h"

#include <string.h>

#define SQLSTATE_READ_ONLY "25006"
#define SQLSTATE_NOT_SUPPORTED "0A000"

/* ---- Sending ---- */

static const _jh_step_t *current_step(const _jh_conn_t *conn)
{
	return conn->step < conn->steps->len ? &g_array_index(conn->steps, _jh_step_t, conn->step) :
					       NULL;
}

/* A Close is answered without the database, because the entry stores the named statements. */
static void skip_close_steps(_jh_conn_t *conn)
{
	const _jh_step_t *step;

	while ((step = current_step(conn)) && step->kind == JH_STEP_CLOSE) {
		if (conn->job && !conn->discards_results && !conn->job->failed)
			jh_v3_write_empty_message(conn->job->unsent, JH_V3_CLOSE_COMPLETE);
		conn->step++;
	}
}

static void add_step(_jh_conn_t *conn, _jh_step_kind_t kind, const Jh__Op *op)
{
	const _jh_step_t step = { .kind = kind, .op = op };

	g_array_append_val(conn->steps, step);
}

/* Return: true if the unnamed statement already is the statement of @op */
static bool is_prepared(const Jh__Op *unnamed, const Jh__Op *op)
{
	return unnamed && g_str_equal(unnamed->sql, op->sql) &&
	       unnamed->n_parameter_types == op->n_parameter_types &&
	       (op->n_parameter_types == 0 ||
		memcmp(unnamed->parameter_types, op->parameter_types,
		       op->n_parameter_types * sizeof(uint32_t)) == 0);
}

static int send_prepare(_jh_conn_t *conn, _jh_step_kind_t kind, const Jh__Op *op)
{
	add_step(conn, kind, op);
	return PQsendPrepare(conn->pg, "", op->sql, (int)op->n_parameter_types,
			     op->parameter_types) ?
		       0 :
		       -1;
}

static int send_describe(_jh_conn_t *conn, _jh_step_kind_t kind, const Jh__Op *op)
{
	add_step(conn, kind, op);
	return PQsendDescribePrepared(conn->pg, "") ? 0 : -1;
}

static bool parameter_is_null(const Jh__Op *op, size_t i)
{
	return i < op->nulls.len && op->nulls.data[i] != 0;
}

static int parameter_format(const Jh__Op *op, size_t i)
{
	if (op->n_parameter_formats == 0)
		return 0;
	if (op->n_parameter_formats == 1)
		return (int)op->parameter_formats[0];
	return i < op->n_parameter_formats ? (int)op->parameter_formats[i] : 0;
}

/* libpq requires text values to end with NUL; binary values may contain NUL. Return: new */
static char *copy_parameter(const ProtobufCBinaryData *value)
{
	char *copy = g_malloc(value->len + 1);

	if (value->len > 0)
		memcpy(copy, value->data, value->len);
	copy[value->len] = '\0';
	return copy;
}

static int send_execute(_jh_conn_t *conn, const Jh__Op *op)
{
	int count = (int)op->n_values;
	char **values = g_new0(char *, count + 1);
	int *lengths = g_new0(int, count + 1);
	int *formats = g_new0(int, count + 1);
	int sent;
	int i;

	add_step(conn, JH_STEP_EXECUTE, op);
	for (i = 0; i < count; i++) {
		formats[i] = parameter_format(op, (size_t)i);
		lengths[i] = (int)op->values[i].len;
		if (!parameter_is_null(op, (size_t)i))
			values[i] = copy_parameter(&op->values[i]);
	}
	sent = PQsendQueryPrepared(conn->pg, "", count, (const char *const *)values, lengths,
				   formats, _jh_encode_libpq_format(op));
	for (i = 0; i < count; i++)
		g_free(values[i]);
	g_free(values);
	g_free(lengths);
	g_free(formats);
	return sent ? 0 : -1;
}

static int send_op(_jh_conn_t *conn, const Jh__Op *op, const Jh__Op **unnamed)
{
	int result = 0;

	if (op->kind == JH__OP__KIND__CLOSE) {
		add_step(conn, JH_STEP_CLOSE, op);
		return 0;
	}
	if (op->kind == JH__OP__KIND__SYNC) {
		add_step(conn, JH_STEP_SYNC, op);
		return PQpipelineSync(conn->pg) ? 0 : -1;
	}
	if (op->kind == JH__OP__KIND__PARSE)
		result = send_prepare(conn, JH_STEP_PARSE, op);
	else if (!is_prepared(*unnamed, op))
		result = send_prepare(conn, JH_STEP_PREPARE, op);
	*unnamed = op;
	if (result < 0 || op->kind == JH__OP__KIND__PARSE)
		return result;
	if (op->kind == JH__OP__KIND__DESCRIBE_STATEMENT)
		return send_describe(conn, JH_STEP_DESCRIBE, op);
	return op->bind_only ? send_describe(conn, JH_STEP_BIND, op) : send_execute(conn, op);
}

static int send_pipeline(_jh_conn_t *conn, const Jh__Request *request)
{
	const Jh__Op *unnamed = NULL;
	size_t i;

	if (!PQenterPipelineMode(conn->pg))
		return -1;
	for (i = 0; i < request->n_ops; i++) {
		if (send_op(conn, request->ops[i], &unnamed) < 0)
			return -1;
	}
	/* Without a Sync at the end, the connection could not be used again. */
	if (request->n_ops == 0 || request->ops[request->n_ops - 1]->kind != JH__OP__KIND__SYNC) {
		add_step(conn, JH_STEP_SYNC, NULL);
		return PQpipelineSync(conn->pg) ? 0 : -1;
	}
	return 0;
}

/* Functions and temporary objects can change the session state without a command tag that shows
 * it, so the text of the statements is searched. */
static bool request_may_change_session(const Jh__Request *request)
{
	static const char *const state_words[] = { "set_config", "advisory", "temp" };
	size_t i;
	size_t j;

	for (i = 0; i < request->n_ops; i++) {
		for (j = 0; j < G_N_ELEMENTS(state_words); j++) {
			if (strcasestr(request->ops[i]->sql, state_words[j]))
				return true;
		}
	}
	return false;
}

int _jh_steps_send(_jh_conn_t *conn)
{
	const Jh__Request *request = conn->job->request;

	conn->job->statements_sent = true;
	conn->is_dirty = conn->is_dirty || request_may_change_session(request);
	g_array_set_size(conn->steps, 0);
	conn->step = 0;
	conn->in_rows = false;
	conn->discards_results = false;
	if (request->n_ops == 1 && request->ops[0]->kind == JH__OP__KIND__SIMPLE) {
		add_step(conn, JH_STEP_SIMPLE, request->ops[0]);
		if (!PQsendQuery(conn->pg, request->ops[0]->sql))
			return -1;
	} else if (send_pipeline(conn, request) < 0) {
		return -1;
	}
	skip_close_steps(conn);
	(void)PQsetSingleRowMode(conn->pg);
	return 0;
}

/* ---- Results ---- */

static bool is_execute_step(const _jh_step_t *step)
{
	return step->kind == JH_STEP_EXECUTE;
}

/* Return: the op that requests result formats, NULL if the step has none (a simple query) */
static const Jh__Op *op_with_formats(const _jh_step_t *step)
{
	return step->kind == JH_STEP_EXECUTE || step->kind == JH_STEP_BIND ? step->op : NULL;
}

/* Return: true if statements with this command tag do not change the session state */
static bool tag_keeps_session_clean(const char *tag)
{
	static const char *const clean_tags[] = { "SELECT",   "INSERT", "UPDATE", "DELETE",
						  "BEGIN",    "COMMIT", "MERGE",  "ROLLBACK",
						  "TRUNCATE", "START" };
	unsigned i;

	for (i = 0; i < G_N_ELEMENTS(clean_tags); i++) {
		if (g_str_has_prefix(tag, clean_tags[i]))
			return true;
	}
	return false;
}

static bool tag_controls_transaction(const char *tag)
{
	return g_str_has_prefix(tag, "BEGIN") || g_str_has_prefix(tag, "START") ||
	       g_str_has_prefix(tag, "COMMIT") || g_str_has_prefix(tag, "ROLLBACK") ||
	       g_str_has_prefix(tag, "PREPARE TRANSACTION");
}

/* Return: true if the caller's row limit is reached. As in PostgreSQL, the portal then counts as
 * suspended even if no row is left. */
static bool is_row_limit_reached(const _jh_conn_t *conn, const _jh_step_t *step)
{
	return is_execute_step(step) && step->op->max_rows > 0 && conn->in_rows &&
	       conn->step_rows >= step->op->max_rows;
}

static void complete_command(_jh_conn_t *conn, const _jh_step_t *step, const PGresult *result)
{
	_jh_job_t *job = conn->job;
	const char *tag = PQcmdStatus((PGresult *)result);

	job->withholds_rest = true;
	job->commands_completed++;
	if (!tag_keeps_session_clean(tag))
		conn->is_dirty = true;
	if (tag_controls_transaction(tag))
		job->controls_transaction = true;
	else
		job->depends_on_rows = true;
	if (is_row_limit_reached(conn, step))
		jh_v3_write_empty_message(job->unsent, JH_V3_PORTAL_SUSPENDED);
	else
		jh_v3_write_command_complete(job->unsent, tag);
	conn->in_rows = false;
}

/* Write the messages that precede rows: BindComplete, and the description if it was requested. */
static void begin_rows(_jh_conn_t *conn, const _jh_step_t *step, const PGresult *result)
{
	GByteArray *unsent = conn->job->unsent;

	if (conn->in_rows)
		return;
	conn->in_rows = true;
	conn->step_rows = 0;
	if (is_execute_step(step))
		jh_v3_write_empty_message(unsent, JH_V3_BIND_COMPLETE);
	if (!is_execute_step(step) || step->op->describe_portal)
		_jh_encode_description(unsent, op_with_formats(step), result);
}

static bool check_result_formats(_jh_conn_t *conn, const _jh_step_t *step, const PGresult *result)
{
	int column = is_execute_step(step) ? _jh_encode_find_unsupported(step->op, result) : -1;
	char *message;

	if (column < 0)
		return true;
	message = g_strdup_printf("the binary format of column %d can't be had together with "
				  "text columns; the statement was run",
				  column + 1);
	_jh_job_write_error(conn->job, SQLSTATE_NOT_SUPPORTED, message);
	g_free(message);
	conn->discards_results = true;
	return false;
}

static void handle_rows(_jh_conn_t *conn, const _jh_step_t *step, const PGresult *result)
{
	_jh_job_t *job = conn->job;
	int row;

	if (!conn->in_rows && !check_result_formats(conn, step, result))
		return;
	begin_rows(conn, step, result);
	for (row = 0; row < PQntuples(result) && !is_row_limit_reached(conn, step); row++) {
		_jh_encode_row(job->unsent, op_with_formats(step), result, row);
		job->rows++;
		conn->step_rows++;
	}
	if (PQresultStatus(result) == PGRES_TUPLES_OK)
		complete_command(conn, step, result);
	_jh_job_flush(job);
}

static void handle_command(_jh_conn_t *conn, const _jh_step_t *step, const PGresult *result)
{
	GByteArray *unsent = conn->job->unsent;

	switch (step->kind) {
	case JH_STEP_PARSE:
		jh_v3_write_empty_message(unsent, JH_V3_PARSE_COMPLETE);
		break;
	case JH_STEP_DESCRIBE:
		_jh_encode_parameters(unsent, result);
		_jh_encode_description(unsent, NULL, result);
		break;
	case JH_STEP_BIND:
		jh_v3_write_empty_message(unsent, JH_V3_BIND_COMPLETE);
		if (step->op->describe_portal)
			_jh_encode_description(unsent, step->op, result);
		break;
	case JH_STEP_EXECUTE:
		begin_rows(conn, step, result);
		complete_command(conn, step, result);
		break;
	case JH_STEP_SIMPLE:
		complete_command(conn, step, result);
		break;
	default:
		break;
	}
}

static void handle_empty_query(_jh_conn_t *conn, const _jh_step_t *step, const PGresult *result)
{
	if (is_execute_step(step))
		begin_rows(conn, step, result);
	conn->in_rows = false;
	jh_v3_write_empty_message(conn->job->unsent, JH_V3_EMPTY_QUERY_RESPONSE);
}

static void handle_error(_jh_conn_t *conn, const PGresult *result)
{
	_jh_job_t *job = conn->job;
	const char *sqlstate = PQresultErrorField(result, PG_DIAG_SQLSTATE);

	conn->in_rows = false;
	/* An error without SQLSTATE is libpq's own: the connection is lost, which
	 * handle_next_result() detects next. */
	if (!sqlstate)
		return;
	if (g_str_equal(sqlstate, SQLSTATE_READ_ONLY) && job->request->write &&
	    job->commands_completed == 0 && job->parts == 0 && job->request->pin == 0)
		job->not_primary = true;
	job->failed = true;
	g_strlcpy(job->sqlstate, sqlstate, sizeof(job->sqlstate));
	_jh_encode_report(job->unsent, JH_V3_ERROR_RESPONSE, result);
}

/* COPY needs an exchange of messages that a batch does not have, so it is refused. The connection
 * stays in copy mode and is closed. */
static void refuse_copy(_jh_conn_t *conn)
{
	_jh_job_write_error(conn->job, SQLSTATE_NOT_SUPPORTED, "COPY is not supported");
	conn->discards_results = true;
	conn->must_close = true;
	conn->is_broken = true;
}

void _jh_steps_handle_result(_jh_conn_t *conn, const PGresult *result)
{
	const _jh_step_t *step = current_step(conn);

	if (!step || conn->discards_results)
		return;
	switch (PQresultStatus(result)) {
	case PGRES_SINGLE_TUPLE:
	case PGRES_TUPLES_OK:
		handle_rows(conn, step, result);
		break;
	case PGRES_COMMAND_OK:
		handle_command(conn, step, result);
		break;
	case PGRES_EMPTY_QUERY:
		handle_empty_query(conn, step, result);
		break;
	case PGRES_PIPELINE_ABORTED:
		break;
	case PGRES_COPY_IN:
	case PGRES_COPY_OUT:
	case PGRES_COPY_BOTH:
		refuse_copy(conn);
		break;
	default:
		handle_error(conn, result);
	}
}

bool _jh_steps_advance(_jh_conn_t *conn)
{
	const _jh_step_t *step = current_step(conn);

	if (step && step->kind == JH_STEP_SYNC)
		conn->discards_results = false;
	conn->step++;
	skip_close_steps(conn);
	step = current_step(conn);
	if (step && PQpipelineStatus(conn->pg) != PQ_PIPELINE_OFF)
		(void)PQsetSingleRowMode(conn->pg);
	return step == NULL;
}
