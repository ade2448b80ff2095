#include "session.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

/* ---- errors ---- */

sdb_progress_t sdb_error(sdb_session_t *session, const char *sqlstate, const char *format, ...)
{
	jh_v3_report_t report = { .severity = "ERROR", .sqlstate = sqlstate };
	char *message;
	va_list args;

	va_start(args, format);
	message = g_strdup_vprintf(format, args);
	va_end(args);
	report.message = message;
	jh_v3_write_error(session->out, &report);
	g_free(message);
	return SDB_FAILED;
}

static const struct {
	int errcode;
	const char *sqlstate;
} errcode_sqlstates[] = {
	{ SQLITE_CONSTRAINT_UNIQUE, "23505" },
	{ SQLITE_CONSTRAINT_PRIMARYKEY, "23505" },
	{ SQLITE_CONSTRAINT_NOTNULL, "23502" },
	{ SQLITE_CONSTRAINT_CHECK, "23514" },
	{ SQLITE_CONSTRAINT_FOREIGNKEY, "23503" },
	{ SQLITE_BUSY_SNAPSHOT, "40001" },
	{ SQLITE_BUSY, "55P03" },
	{ SQLITE_TOOBIG, "54000" },
	{ SQLITE_MISMATCH, "42804" },
};

static const struct {
	const char *substring;
	const char *sqlstate;
} message_sqlstates[] = {
	{ "no such table", "42P01" },	   { "no such column", "42703" },
	{ "no such function", "42883" },   { "already exists", "42P07" },
	{ "syntax error", "42601" },	   { "incomplete input", "42601" },
	{ "unrecognized token", "42601" },
};

/*
 * Writes an ErrorResponse for SQLite's last error. The SQLSTATE follows from the extended error
 * code or, if that code is not in the table, from the message.
 */
static sdb_progress_t sqlite_error(sdb_session_t *session)
{
	int errcode = sqlite3_extended_errcode(session->db);
	const char *message = sqlite3_errmsg(session->db);
	unsigned i;

	for (i = 0; i < G_N_ELEMENTS(errcode_sqlstates); i++) {
		if (errcode_sqlstates[i].errcode == errcode)
			return sdb_error(session, errcode_sqlstates[i].sqlstate, "%s", message);
	}
	for (i = 0; i < G_N_ELEMENTS(message_sqlstates); i++) {
		if (strstr(message, message_sqlstates[i].substring))
			return sdb_error(session, message_sqlstates[i].sqlstate, "%s", message);
	}
	return sdb_error(session, "XX000", "%s", message);
}

/* ---- SQLite connection and its functions ---- */

/* Adds to the time that step_sleep() waits after the statement has run. */
static void sql_pg_sleep(sqlite3_context *context, int count, sqlite3_value **values)
{
	sdb_session_t *session = sqlite3_user_data(context);
	double seconds = sqlite3_value_double(values[0]);

	(void)count;
	if (seconds > 0)
		session->run.sleep_us += (int64_t)(seconds * G_USEC_PER_SEC);
	sqlite3_result_text(context, "", -1, SQLITE_STATIC);
}

static void sql_standin_set(sqlite3_context *context, int count, sqlite3_value **values)
{
	sdb_session_t *session = sqlite3_user_data(context);
	const char *name = (const char *)sqlite3_value_text(values[0]);
	const char *value = (const char *)sqlite3_value_text(values[1]);

	(void)count;
	if (name && value && sdb_server_set_test_option(session->server, name, value))
		sqlite3_result_text(context, value, -1, SQLITE_TRANSIENT);
	else
		sqlite3_result_error(context, "standin_set: no such setting", -1);
}

static void sql_standin_get(sqlite3_context *context, int count, sqlite3_value **values)
{
	const sdb_session_t *session = sqlite3_user_data(context);
	const char *name = (const char *)sqlite3_value_text(values[0]);
	int64_t value = name ? sdb_server_get_test_counter(session->server, name) : -1;

	(void)count;
	if (value >= 0)
		sqlite3_result_int64(context, value);
	else
		sqlite3_result_error(context, "standin_get: no such value", -1);
}

static void sql_pg_backend_pid(sqlite3_context *context, int count, sqlite3_value **values)
{
	const sdb_session_t *session = sqlite3_user_data(context);

	(void)count;
	(void)values;
	sqlite3_result_int64(context, session->pid);
}

sqlite3 *sdb_session_db(sdb_session_t *session)
{
	const sdb_engine_t *engine = session->server->engine;
	jh_error_t err = JH_ERROR_INIT;

	if (session->db && (session->generation == engine->generation ||
			    session->transaction.has_sqlite_transaction))
		return session->db;
	if (session->db)
		sqlite3_close_v2(session->db);
	session->db = sdb_engine_open(engine, &err);
	session->generation = engine->generation;
	if (!session->db) {
		sdb_error(session, "58030", "%s", err.message);
		jh_error_clear(&err);
		return NULL;
	}
	sqlite3_create_function(session->db, "pg_sleep", 1, SQLITE_UTF8, session, sql_pg_sleep,
				NULL, NULL);
	sqlite3_create_function(session->db, "standin_set", 2, SQLITE_UTF8, session,
				sql_standin_set, NULL, NULL);
	sqlite3_create_function(session->db, "standin_get", 1, SQLITE_UTF8, session,
				sql_standin_get, NULL, NULL);
	sqlite3_create_function(session->db, "pg_backend_pid", 0, SQLITE_UTF8, session,
				sql_pg_backend_pid, NULL, NULL);
	return session->db;
}

/* ---- prepared statements ---- */

static void statement_clear(gpointer data)
{
	sdb_statement_t *statement = data;

	sdb_sql_free(statement->sql);
	g_array_free(statement->parameter_types, TRUE);
	g_array_free(statement->columns, TRUE);
}

void sdb_statement_unref(void *statement)
{
	g_rc_box_release_full(statement, statement_clear);
}

/*
 * Returns the name that PostgreSQL gives to a result column: the function's name for a call, and
 * "?column?" for an expression.
 */
static char *column_name(const char *name)
{
	size_t length =
		strspn(name, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ_0123456789");

	if (length > 0 && !g_ascii_isdigit(*name) && (name[length] == '\0' || name[length] == '('))
		return g_strndup(name, length);
	return g_strdup(strpbrk(name, "'+*/()=<>") || g_ascii_isdigit(*name) ? "?column?" : name);
}

static void statement_read_columns(sdb_session_t *session, sdb_statement_t *statement,
				   sqlite3_stmt *stmt)
{
	int i;

	for (i = 0; i < sqlite3_column_count(stmt); i++) {
		const char *name = sqlite3_column_name(stmt, i);
		const char *declared_type = sqlite3_column_decltype(stmt, i);
		sdb_column_t column = { .name = column_name(name ? name : "") };

		column.type = declared_type ?
				      sdb_type_by_name(declared_type) :
				      sdb_sql_column_type(statement->sql, session->db, column.name);
		if (column.type == 0)
			column.type = JH_V3_TYPE_TEXT;
		g_array_append_val(statement->columns, column);
	}
}

/* Compiles the statement once in SQLite to infer its parameter types and columns. */
static sdb_progress_t statement_prepare(sdb_session_t *session, sdb_statement_t *statement)
{
	sqlite3 *db = sdb_session_db(session);
	sqlite3_stmt *stmt = NULL;

	if (!db)
		return SDB_FAILED;
	if (sqlite3_prepare_v2(db, statement->sql->text, -1, &stmt, NULL) != SQLITE_OK)
		return sqlite_error(session);
	sdb_sql_infer_types(statement->sql, db, statement->parameter_types);
	statement_read_columns(session, statement, stmt);
	sqlite3_finalize(stmt);
	return SDB_DONE;
}

static bool kind_leaves_failed_block(sdb_sql_kind_t kind)
{
	return kind == SDB_SQL_COMMIT || kind == SDB_SQL_ROLLBACK || kind == SDB_SQL_ROLLBACK_TO;
}

/* Rejects unsupported statements, and most statements in a failed transaction block. */
static sdb_progress_t statement_check_allowed(sdb_session_t *session, sdb_sql_kind_t kind)
{
	sdb_transaction_t *transaction = &session->transaction;

	if (kind == SDB_SQL_UNSUPPORTED)
		return sdb_error(session, "0A000", "this statement is not supported");
	if (transaction->status != 'E' || kind_leaves_failed_block(kind))
		return SDB_DONE;
	if (transaction->aborted_by_demotion) {
		transaction->aborted_by_demotion = false;
		return sdb_error(session, "25006", "rolled back: this member is no longer primary");
	}
	return sdb_error(session, "25P02",
			 "current transaction is aborted, commands ignored until end of "
			 "transaction block");
}

sdb_statement_t *sdb_statement_new(sdb_session_t *session, sdb_sql_t *sql, GArray *parameter_types)
{
	sdb_statement_t *statement = g_rc_box_new0(sdb_statement_t);
	sdb_progress_t progress = statement_check_allowed(session, sql->kind);

	statement->sql = sql;
	statement->parameter_types = parameter_types;
	statement->columns = sql->kind == SDB_SQL_ENGINE ?
				     g_array_new(FALSE, TRUE, sizeof(sdb_column_t)) :
				     sdb_group_columns(sql->kind);
	g_array_set_clear_func(statement->columns, sdb_column_clear);
	if (parameter_types->len < sql->parameter_count)
		g_array_set_size(parameter_types, sql->parameter_count);
	if (progress == SDB_DONE && sql->kind == SDB_SQL_ENGINE)
		progress = statement_prepare(session, statement);
	else if (progress == SDB_DONE && sdb_session_db(session))
		sdb_sql_infer_types(sql, session->db, parameter_types);
	if (progress == SDB_DONE)
		return statement;
	sdb_statement_unref(statement);
	return NULL;
}

void sdb_describe(sdb_session_t *session, const sdb_statement_t *statement, const GArray *formats)
{
	unsigned count = statement->columns->len;
	jh_v3_field_t *fields;
	unsigned i;

	if (count == 0) {
		jh_v3_write_empty_message(session->out, JH_V3_NO_DATA);
		return;
	}
	fields = g_new0(jh_v3_field_t, count);
	for (i = 0; i < count; i++) {
		const sdb_column_t *column = &g_array_index(statement->columns, sdb_column_t, i);

		fields[i] = (jh_v3_field_t){ .name = column->name,
					     .type = column->type,
					     .size = -1,
					     .modifier = -1,
					     .format = jh_v3_formats_get(formats, i) };
	}
	jh_v3_write_row_description(session->out, fields, count);
	g_free(fields);
}

sdb_portal_t *sdb_portal_new(sdb_statement_t *statement, GArray *values, GArray *formats)
{
	sdb_portal_t *portal = g_new0(sdb_portal_t, 1);

	portal->statement = statement;
	portal->values = values;
	portal->formats = formats;
	return portal;
}

void sdb_portal_free(void *data)
{
	sdb_portal_t *portal = data;

	sqlite3_finalize(portal->stmt);
	sdb_statement_unref(portal->statement);
	g_clear_pointer(&portal->values, g_array_unref);
	g_clear_pointer(&portal->formats, g_array_unref);
	g_free(portal);
}

/* ---- running statement ---- */

void sdb_run_start(sdb_session_t *session, sdb_portal_t *portal, bool describe, uint32_t max_rows)
{
	session->run = (sdb_run_t){
		.step = SDB_STEP_START, .portal = portal, .describe = describe, .max_rows = max_rows
	};
}

void sdb_run_release(sdb_session_t *session)
{
	sdb_run_t *run = &session->run;

	if (run->step == SDB_STEP_NONE)
		return;
	if (run->has_slot)
		sdb_server_release_slot(session->server);
	if (run->portal && run->portal->stmt && run->portal->is_complete)
		sqlite3_reset(run->portal->stmt);
	g_free(run->fetch.member);
	ev_timer_stop(session->server->loop, &session->timer);
	sdb_server_remove_waiter(session->server, session->pid);
	*run = (sdb_run_t){ .step = SDB_STEP_NONE };
}

static const sdb_sql_t *run_sql(const sdb_session_t *session)
{
	return session->run.portal->statement->sql;
}

static bool run_is_write(const sdb_session_t *session)
{
	const sdb_portal_t *portal = session->run.portal;

	if (portal->statement->sql->kind == SDB_SQL_SAVEPOINT)
		return !sdb_transaction_is_read_only(session);
	return portal->stmt && !sqlite3_stmt_readonly(portal->stmt);
}

/* Sets the command tag: two words for CREATE, DROP and ALTER, otherwise with the number of rows. */
static void tag_set(sdb_session_t *session)
{
	const sdb_sql_t *sql = run_sql(session);
	sdb_run_t *run = &session->run;
	const char *first = sdb_sql_word(sql, 0);
	const char *object = sdb_sql_word(sql, 1);
	unsigned i = 1;
	char *verb;

	if (run->tag[0])
		return;
	if (g_str_equal(first, "create") || g_str_equal(first, "drop") ||
	    g_str_equal(first, "alter")) {
		if (g_str_equal(object, "unique"))
			object = sdb_sql_word(sql, ++i);
		verb = g_strdup_printf("%s %s", first, object);
		for (i = 0; verb[i]; i++)
			verb[i] = g_ascii_toupper(verb[i]);
		g_strlcpy(run->tag, verb, sizeof(run->tag));
		g_free(verb);
		return;
	}
	if (!run_is_write(session))
		g_snprintf(run->tag, sizeof(run->tag), "SELECT %" G_GUINT64_FORMAT,
			   run->portal->rows_sent);
	else if (sdb_sql_has_word(sql, "insert") || g_str_equal(first, "replace"))
		g_snprintf(run->tag, sizeof(run->tag), "INSERT 0 %d", sqlite3_changes(session->db));
	else
		g_snprintf(run->tag, sizeof(run->tag), "%s %d",
			   sdb_sql_has_word(sql, "update") ? "UPDATE" : "DELETE",
			   sqlite3_changes(session->db));
}

static void row_write(sdb_session_t *session)
{
	const sdb_portal_t *portal = session->run.portal;
	guint mark = jh_v3_message_begin(session->out, JH_V3_DATA_ROW);
	int count = sqlite3_column_count(portal->stmt);
	int i;

	jh_v3_put_i16(session->out, (int16_t)count);
	for (i = 0; i < count; i++) {
		uint32_t type = JH_V3_TYPE_TEXT;

		if ((unsigned)i < portal->statement->columns->len)
			type = g_array_index(portal->statement->columns, sdb_column_t, i).type;
		sdb_value_write(session->out, portal->stmt, i, type,
				jh_v3_formats_get(portal->formats, (unsigned)i));
	}
	jh_v3_message_end(session->out, mark);
}

/* Compiles and binds the portal's statement, again if the session has reopened its connection. */
static sdb_progress_t portal_prepare(sdb_session_t *session)
{
	sdb_portal_t *portal = session->run.portal;
	sqlite3 *db = sdb_session_db(session);

	if (!db)
		return SDB_FAILED;
	if (portal->stmt && sqlite3_db_handle(portal->stmt) == db)
		return SDB_DONE;
	g_clear_pointer(&portal->stmt, sqlite3_finalize);
	if (sqlite3_prepare_v2(db, run_sql(session)->text, -1, &portal->stmt, NULL) != SQLITE_OK ||
	    sdb_values_bind(portal->stmt, portal->values) != SQLITE_OK)
		return sqlite_error(session);
	return SDB_DONE;
}

static sdb_progress_t write_check_allowed(sdb_session_t *session)
{
	const char *verb = sdb_sql_word(run_sql(session), 0);

	if (sdb_transaction_is_read_only(session))
		return sdb_error(session, "25006", "cannot execute %s in a read-only transaction",
				 verb);
	if (session->server->member->role != SDB_PRIMARY)
		return sdb_error(session, "25006", "cannot execute %s: this member is no primary",
				 verb);
	if (g_str_equal(sdb_sql_word(run_sql(session), 1), "temp") ||
	    g_str_equal(sdb_sql_word(run_sql(session), 1), "temporary"))
		return sdb_error(session, "0A000", "temporary tables are not supported");
	return SDB_DONE;
}

/* ---- steps ---- */

static sdb_progress_t step_start(sdb_session_t *session)
{
	const sdb_sql_t *sql = run_sql(session);
	sdb_run_t *run = &session->run;

	if (statement_check_allowed(session, sql->kind) == SDB_FAILED)
		return SDB_FAILED;
	if (!sdb_session_db(session))
		return SDB_FAILED;
	switch (sql->kind) {
	case SDB_SQL_EMPTY:
		jh_v3_write_empty_message(session->out, JH_V3_EMPTY_QUERY_RESPONSE);
		return SDB_DONE;
	case SDB_SQL_BEGIN:
	case SDB_SQL_COMMIT:
	case SDB_SQL_ROLLBACK:
	case SDB_SQL_RELEASE:
	case SDB_SQL_ROLLBACK_TO:
		return sdb_transaction_run(session, sql);
	case SDB_SQL_SET:
	case SDB_SQL_RESET:
	case SDB_SQL_SHOW:
	case SDB_SQL_DISCARD:
		return sdb_parameters_run(session, sql);
	case SDB_SQL_ENGINE:
		if (run->portal->is_complete) {
			g_strlcpy(run->tag, "SELECT 0", sizeof(run->tag));
			return SDB_DONE;
		}
		if (portal_prepare(session) == SDB_FAILED)
			return SDB_FAILED;
		run->step = SDB_STEP_LOCK;
		return SDB_DONE;
	case SDB_SQL_SAVEPOINT:
		run->step = SDB_STEP_LOCK;
		return SDB_DONE;
	default:
		return sdb_group_run(session);
	}
}

/*
 * A statement acquires the write lock before its slot: the session that holds the lock may need a
 * slot to finish, so a writer that waited for the lock with a slot could cause a deadlock.
 */
static sdb_progress_t step_lock(sdb_session_t *session)
{
	const sdb_sql_t *sql = run_sql(session);
	bool is_write = run_is_write(session);

	if (is_write) {
		if (write_check_allowed(session) == SDB_FAILED)
			return SDB_FAILED;
		if (!sdb_server_acquire_write_lock(session->server, session->pid))
			return SDB_BLOCKED;
	}
	/* The data file may have been rebuilt during the wait for the lock. */
	if (sql->kind == SDB_SQL_ENGINE && portal_prepare(session) == SDB_FAILED)
		return SDB_FAILED;
	if ((is_write || sql->kind == SDB_SQL_SAVEPOINT) &&
	    sdb_transaction_open(session, is_write) == SDB_FAILED)
		return SDB_FAILED;
	if (sql->kind == SDB_SQL_SAVEPOINT) {
		session->run.step = SDB_STEP_START;
		return sdb_transaction_run(session, sql);
	}
	session->run.step = SDB_STEP_SLOT;
	return SDB_DONE;
}

static sdb_progress_t step_slot(sdb_session_t *session)
{
	sdb_run_t *run = &session->run;

	/* Test control needs no slot, so that it also works while all slots are in use. */
	if (!sdb_sql_has_word(run_sql(session), "standin_set") &&
	    !sdb_sql_has_word(run_sql(session), "standin_get")) {
		if (!sdb_server_acquire_slot(session->server, session->pid))
			return SDB_BLOCKED;
		run->has_slot = true;
	}
	if (run->describe && run->portal->statement->columns->len > 0)
		sdb_describe(session, run->portal->statement, run->portal->formats);
	run->step = SDB_STEP_RUN;
	return SDB_DONE;
}

static sdb_progress_t step_run(sdb_session_t *session)
{
	sdb_run_t *run = &session->run;
	sdb_portal_t *portal = run->portal;
	bool is_write = run_is_write(session);
	uint64_t row_limit =
		is_write || run->max_rows == 0 ? UINT64_MAX : portal->rows_sent + run->max_rows;
	int result = SQLITE_ROW;

	session->ran_on_primary |= session->server->member->role == SDB_PRIMARY;
	while (portal->rows_sent < row_limit &&
	       (result = sqlite3_step(portal->stmt)) == SQLITE_ROW) {
		portal->rows_sent++;
		row_write(session);
	}
	if (result != SQLITE_ROW && result != SQLITE_DONE)
		return sqlite_error(session);
	portal->is_complete = result == SQLITE_DONE;
	tag_set(session);
	if (is_write) {
		const char *first = sdb_sql_word(run_sql(session), 0);

		session->transaction.changed_schema |= g_str_equal(first, "create") ||
						       g_str_equal(first, "drop") ||
						       g_str_equal(first, "alter");
		sdb_payload_add(session->transaction.payload, run_sql(session)->text,
				portal->values);
	}
	run->wait_until_us = g_get_monotonic_time() + run->sleep_us;
	run->step = SDB_STEP_SLEEP;
	return SDB_DONE;
}

static void timer_arm(sdb_session_t *session, int64_t wait_us)
{
	struct ev_loop *loop = session->server->loop;

	ev_timer_stop(loop, &session->timer);
	ev_now_update(loop);
	ev_timer_set(&session->timer, (double)wait_us / G_USEC_PER_SEC, 0);
	ev_timer_start(loop, &session->timer);
}

/* Waits for the time of pg_sleep(); the statement keeps its slot. */
static sdb_progress_t step_sleep(sdb_session_t *session)
{
	sdb_run_t *run = &session->run;
	int64_t wait_us = run->wait_until_us - g_get_monotonic_time();

	if (wait_us > 0) {
		timer_arm(session, wait_us);
		return SDB_BLOCKED;
	}
	run->step = SDB_STEP_START;
	return SDB_DONE;
}

/* Fails a statement whose transaction was rolled back because the member is no longer primary. */
static sdb_progress_t run_fail_demoted(sdb_session_t *session)
{
	session->transaction.aborted_by_demotion = false;
	return sdb_error(session, "25006", "rolled back: this member is no longer primary");
}

static sdb_progress_t run_write_completion(sdb_session_t *session)
{
	const sdb_portal_t *portal = session->run.portal;

	if (run_sql(session)->kind == SDB_SQL_ENGINE && !portal->is_complete)
		jh_v3_write_empty_message(session->out, JH_V3_PORTAL_SUSPENDED);
	else if (session->run.tag[0])
		jh_v3_write_command_complete(session->out, session->run.tag);
	return SDB_DONE;
}

sdb_progress_t sdb_run_continue(sdb_session_t *session)
{
	sdb_run_t *run = &session->run;
	sdb_progress_t progress;
	sdb_step_t step;

	do {
		if (run->cancelled)
			return sdb_error(session, "57014",
					 "canceling statement due to user request");
		step = run->step;
		if (session->transaction.aborted_by_demotion && step > SDB_STEP_START &&
		    step <= SDB_STEP_SLEEP)
			return run_fail_demoted(session);
		if (step == SDB_STEP_START)
			progress = step_start(session);
		else if (step == SDB_STEP_LOCK)
			progress = step_lock(session);
		else if (step == SDB_STEP_SLOT)
			progress = step_slot(session);
		else if (step == SDB_STEP_RUN)
			progress = step_run(session);
		else if (step == SDB_STEP_SLEEP)
			progress = step_sleep(session);
		else
			progress = sdb_group_run(session);
		if (progress != SDB_DONE)
			return progress;
		/* A step that does not move on to a later step ends the statement. */
	} while (run->step > step);
	return run_write_completion(session);
}
