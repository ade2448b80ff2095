/* Runs a batch: session commands at its start are answered here, the rest goes to a database as
 * one request. A session command behind other statements is refused before anything runs, since
 * the statements around it would no longer be one implicit transaction.
 */

#include "internal/entry.h"

#include <string.h>

/**
 * struct plan - what a look at the whole batch found, before anything runs
 * @first_remote: index of the first op for a database; the number of ops if there is none
 * @rest: in a simple query, the first statement for a database
 * @kind: what the request is told
 * @ended: a transaction was ended; later statements are outside of it
 * @lost: what caller->lost will be at this point
 */
typedef struct plan {
	unsigned first_remote;
	const char *rest;
	_jh_request_kind_t kind;
	bool remote_seen;
	bool ended;
	bool lost;
} plan_t;

/* ---- session commands ---- */

static char *command_value(const jh_sql_command_t *command)
{
	GString *value;
	size_t i;

	if (!command->value)
		return NULL;
	value = g_string_sized_new(command->value_length);
	for (i = 0; i < command->value_length; i++) {
		g_string_append_c(value, command->value[i]);
		if (command->value[i] == '\'' && i + 1 < command->value_length &&
		    command->value[i + 1] == '\'')
			i++;
	}
	return g_string_free(value, FALSE);
}

static int run_set(_jh_caller_t *caller, const jh_sql_command_t *command, _jh_report_t *report)
{
	char *value = command_value(command);
	int result;

	/* SET datestyle TO ISO, MDY is the one list that drivers send. */
	if (command->value_count > 1 && !g_str_equal(command->name, "datestyle"))
		result = _jh_report_set(report, JH_REFUSE_UNSUPPORTED,
					"a list of values is not supported for \"%s\"",
					command->name);
	else
		result = _jh_set(caller, command->name, value, report);
	g_free(value);
	return result;
}

static int refuse_state(const jh_sql_statement_t *statement, _jh_report_t *report)
{
	const jh_sql_token_t *first = &statement->tokens[0];

	return _jh_report_set(report, JH_REFUSE_UNSUPPORTED,
			      "%.*s would leave state in a database session, which the proxy "
			      "shares; it is not supported",
			      (int)MIN(first->length, 30), first->text);
}

static void deallocate(_jh_caller_t *caller, const char *name)
{
	if (!caller->statements)
		return;
	if (name)
		g_hash_table_remove(caller->statements, name);
	else
		g_hash_table_remove_all(caller->statements);
}

static int run_end_of_lost(_jh_caller_t *caller)
{
	caller->lost = false;
	caller->transaction = 'I';
	caller->tx_read_only = false;
	return 0;
}

/* Return: 0 with *@tag set, or -1 with the report set */
static int run_command(_jh_caller_t *caller, const jh_sql_statement_t *statement,
		       const jh_sql_command_t *command, const char **tag, _jh_report_t *report)
{
	switch (command->kind) {
	case JH_SQL_SET:
		*tag = "SET";
		return run_set(caller, command, report);
	case JH_SQL_RESET:
		*tag = "RESET";
		return _jh_set(caller, command->name, NULL, report);
	case JH_SQL_RESET_ALL:
		*tag = "RESET";
		_jh_set_reset_all(caller);
		return 0;
	case JH_SQL_DISCARD_ALL:
		*tag = "DISCARD ALL";
		_jh_set_reset_all(caller);
		deallocate(caller, NULL);
		return 0;
	case JH_SQL_DEALLOCATE:
		*tag = "DEALLOCATE";
		deallocate(caller, command->name);
		return 0;
	case JH_SQL_DEALLOCATE_ALL:
		*tag = "DEALLOCATE ALL";
		deallocate(caller, NULL);
		return 0;
	case JH_SQL_UNLISTEN:
		*tag = "UNLISTEN";
		return 0;
	case JH_SQL_CLOSE_ALL:
		*tag = "CLOSE CURSOR ALL";
		return 0;
	case JH_SQL_UNLOCK_ALL:
		*tag = "SELECT 1";
		return 0;
	case JH_SQL_SHOW:
		*tag = "SHOW";
		return 0;
	case JH_SQL_END:
		*tag = "ROLLBACK";
		return run_end_of_lost(caller);
	default:
		return refuse_state(statement, report);
	}
}

/* ---- rows of SHOW ---- */

static jh_rows_t *rows_of_parameter(const char *name, const char *value)
{
	jh_rows_t *rows = jh_rows_new((const char *const[]){ name, NULL });

	jh_rows_add(rows, value);
	return rows;
}

/* Return: new rows; NULL if the command has none, with the report set if SHOW finds nothing */
static jh_rows_t *command_rows(_jh_caller_t *caller, const jh_sql_command_t *command,
			       _jh_report_t *report)
{
	jh_rows_t *rows = NULL;
	char *value;

	if (command->kind == JH_SQL_UNLOCK_ALL)
		return rows_of_parameter("pg_advisory_unlock_all", "");
	if (command->kind != JH_SQL_SHOW)
		return NULL;
	value = _jh_set_show(caller, command->name);
	if (value)
		rows = rows_of_parameter(command->name, value);
	else if (_jh_caller_is_virtual(caller))
		rows = _jh_show(caller->entry, command->name);
	g_free(value);
	if (!rows)
		_jh_report_set(report, JH_REFUSE_VALUE, "there is nothing to show as \"%s\"",
			       command->name);
	return rows;
}

static void write_columns(GByteArray *out, const jh_rows_t *rows)
{
	jh_v3_field_t *fields = g_new0(jh_v3_field_t, rows->columns->len);
	unsigned i;

	for (i = 0; i < rows->columns->len; i++) {
		fields[i] = (jh_v3_field_t){
			.name = g_ptr_array_index(rows->columns, i),
			.type = JH_V3_TYPE_TEXT,
			.size = -1,
			.modifier = -1,
		};
	}
	jh_v3_write_row_description(out, fields, rows->columns->len);
	g_free(fields);
}

static void write_rows(GByteArray *out, const jh_rows_t *rows)
{
	unsigned columns = rows->columns->len;
	jh_v3_value_t *values = g_new0(jh_v3_value_t, columns);
	unsigned row;
	unsigned i;

	for (row = 0; row < rows->rows->len; row++) {
		for (i = 0; i < columns; i++) {
			const char *cell = jh_rows_get_cell(rows, row, i);

			values[i].data = (const uint8_t *)cell;
			values[i].length = cell ? strlen(cell) : 0;
		}
		jh_v3_write_data_row(out, values, columns);
	}
	g_free(values);
}

/* ---- one session command ---- */

static int refuse_failed(_jh_report_t *report)
{
	return _jh_report_set(report, JH_REFUSE_FAILED_TRANSACTION,
			      "current transaction is aborted, commands ignored until end of "
			      "transaction block");
}

/* Commands in a failed transaction are refused, but for its end once its connection is lost. */
static int check_transaction(const _jh_caller_t *caller, const jh_sql_command_t *command,
			     _jh_report_t *report)
{
	if (caller->transaction == 'E' && !(caller->lost && command->kind == JH_SQL_END))
		return refuse_failed(report);
	return 0;
}

/* Describe and Execute of one command; @describe and @execute tell which of them were asked for.
 * Return: 0, or -1 with the report set
 */
static int answer_command(_jh_caller_t *caller, const jh_sql_statement_t *statement, bool describe,
			  bool execute, bool simple, _jh_report_t *report)
{
	GByteArray *out = _jh_caller_out(caller);
	jh_rows_t *rows = NULL;
	jh_sql_command_t command;
	const char *tag = "";

	jh_sql_classify(statement, &command);
	if (check_transaction(caller, &command, report) < 0)
		return -1;
	rows = command_rows(caller, &command, report);
	if (!rows && command.kind == JH_SQL_SHOW)
		return -1;
	if (describe && rows)
		write_columns(out, rows);
	else if (describe && !simple)
		jh_v3_write_empty(out, JH_V3_NO_DATA);
	if (execute) {
		if (run_command(caller, statement, &command, &tag, report) < 0)
			return -1;
		if (rows)
			write_rows(out, rows);
		jh_v3_write_command_complete(out, tag);
	}
	jh_rows_free(rows);
	return 0;
}

static int answer_empty(_jh_caller_t *caller, bool describe, bool execute)
{
	if (describe)
		jh_v3_write_empty(_jh_caller_out(caller), JH_V3_NO_DATA);
	if (execute)
		jh_v3_write_empty(_jh_caller_out(caller), JH_V3_EMPTY_QUERY_RESPONSE);
	return 0;
}

static int answer_op(_jh_caller_t *caller, const Jh__Op *op, _jh_report_t *report)
{
	GByteArray *out = _jh_caller_out(caller);
	const char *cursor = op->sql;
	bool describe = op->kind == JH__OP__KIND__DESCRIBE_STATEMENT || op->describe_portal;
	bool execute = op->kind == JH__OP__KIND__EXECUTE && !op->bind_only;
	jh_sql_statement_t statement;

	switch (op->kind) {
	case JH__OP__KIND__CLOSE:
		jh_v3_write_empty(out, JH_V3_CLOSE_COMPLETE);
		return 0;
	case JH__OP__KIND__PARSE:
		jh_v3_write_empty(out, JH_V3_PARSE_COMPLETE);
		return 0;
	case JH__OP__KIND__DESCRIBE_STATEMENT:
		jh_v3_write_parameter_description(out, NULL, 0);
		break;
	default:
		jh_v3_write_empty(out, JH_V3_BIND_COMPLETE);
		break;
	}
	if (!jh_sql_next_statement(&cursor, &statement))
		return answer_empty(caller, describe, execute);
	return answer_command(caller, &statement, describe, execute, false, report);
}

/* Statements of a simple query up to the first one for a database. */
static int answer_simple(_jh_caller_t *caller, const char *sql, const char *rest,
			 _jh_report_t *report)
{
	const char *cursor = sql;
	jh_sql_statement_t statement;
	bool any = false;

	while (jh_sql_next_statement(&cursor, &statement) && statement.text != rest) {
		any = true;
		if (answer_command(caller, &statement, true, true, true, report) < 0)
			return -1;
	}
	if (!any && !rest)
		jh_v3_write_empty(_jh_caller_out(caller), JH_V3_EMPTY_QUERY_RESPONSE);
	return 0;
}

/* ---- planning ---- */

static bool command_is_local(_jh_caller_t *caller, const plan_t *plan,
			     const jh_sql_command_t *command)
{
	char *value;

	if (plan->lost || _jh_caller_is_virtual(caller))
		return true;
	if (command->kind == JH_SQL_CLOSE_ALL || command->kind == JH_SQL_UNLOCK_ALL)
		return caller->transaction == 'I' && !plan->remote_seen;
	if (command->kind != JH_SQL_SHOW)
		return jh_sql_kind_is_session_command(command->kind);
	/* What the entry does not know may be a parameter of the database. */
	value = _jh_set_show(caller, command->name);
	g_free(value);
	return value != NULL;
}

static void plan_remote(plan_t *plan, jh_sql_kind_t kind, bool runs)
{
	if (!runs)
		return;
	if (!plan->remote_seen)
		plan->kind.begins_read_only = kind == JH_SQL_BEGIN_READ_ONLY;
	else if (plan->ended)
		plan->kind.begins_read_only = false;
	plan->remote_seen = true;
	plan->kind.controls |=
		kind == JH_SQL_BEGIN || kind == JH_SQL_BEGIN_READ_ONLY || kind == JH_SQL_END;
	plan->ended |= kind == JH_SQL_END;
	if (kind != JH_SQL_END)
		plan->kind.cost++;
}

static int refuse_order(const jh_sql_statement_t *statement, _jh_report_t *report)
{
	return _jh_report_set(report, JH_REFUSE_UNSUPPORTED,
			      "%.*s must come before the other statements of a batch",
			      (int)MIN(statement->tokens[0].length, 30), statement->tokens[0].text);
}

/* Return: 1 if the statement is for a database, 0 if not, -1 with the report set */
static int plan_statement(_jh_caller_t *caller, plan_t *plan, const jh_sql_statement_t *statement,
			  bool runs, bool after_remote, _jh_report_t *report)
{
	jh_sql_command_t command;

	jh_sql_classify(statement, &command);
	if (!command_is_local(caller, plan, &command)) {
		plan_remote(plan, command.kind, runs);
		return 1;
	}
	if (after_remote)
		return refuse_order(statement, report);
	if (plan->lost && command.kind == JH_SQL_END && runs)
		plan->lost = false;
	return 0;
}

static int plan_simple(_jh_caller_t *caller, plan_t *plan, const char *sql, _jh_report_t *report)
{
	const char *cursor = sql;
	jh_sql_statement_t statement;

	while (jh_sql_next_statement(&cursor, &statement)) {
		int remote =
			plan_statement(caller, plan, &statement, true, plan->rest != NULL, report);

		if (remote < 0)
			return -1;
		if (remote > 0 && !plan->rest)
			plan->rest = statement.text;
	}
	return plan->rest ? 1 : 0;
}

/* Return: 1 if the op is for a database, 0 if not, -1 with the report set */
static int plan_op(_jh_caller_t *caller, plan_t *plan, const Jh__Op *op, bool after_remote,
		   _jh_report_t *report)
{
	bool runs = op->kind == JH__OP__KIND__EXECUTE && !op->bind_only;
	const char *cursor = op->sql;
	jh_sql_statement_t statement;

	if (op->kind == JH__OP__KIND__SIMPLE)
		return plan_simple(caller, plan, op->sql, report);
	/* Behind ops for a database, they keep their place in the order of answers. */
	if (op->kind == JH__OP__KIND__CLOSE || !jh_sql_next_statement(&cursor, &statement))
		return after_remote ? 1 : 0;
	return plan_statement(caller, plan, &statement, runs, after_remote, report);
}

static int plan_make(_jh_caller_t *caller, const _jh_batch_t *batch, plan_t *plan,
		     _jh_report_t *report)
{
	unsigned i;

	*plan = (plan_t){ .first_remote = batch->ops->len, .lost = caller->lost };
	for (i = 0; i < batch->ops->len; i++) {
		bool after = plan->first_remote < i;
		int remote = plan_op(caller, plan, g_ptr_array_index(batch->ops, i), after, report);

		if (remote < 0)
			return -1;
		if (remote > 0 && !after)
			plan->first_remote = MIN(plan->first_remote, i);
	}
	return 0;
}

/* ---- running ---- */

static int run_local(_jh_caller_t *caller, const _jh_batch_t *batch, const plan_t *plan,
		     _jh_report_t *report)
{
	unsigned i;

	for (i = 0; i < batch->ops->len && i <= plan->first_remote; i++) {
		const Jh__Op *op = g_ptr_array_index(batch->ops, i);
		int result = 0;

		if (op->kind == JH__OP__KIND__SIMPLE)
			result = answer_simple(caller, op->sql, plan->rest, report);
		else if (i < plan->first_remote)
			result = answer_op(caller, op, report);
		if (result < 0)
			return -1;
	}
	return 0;
}

/* A batch that only prepares and describes leaves no transaction open, so that it may end where
 * the caller flushed; the connection is then free for others.
 */
static bool batch_runs_nothing(const GPtrArray *ops)
{
	unsigned i;

	for (i = 0; i < ops->len; i++) {
		const Jh__Op *op = g_ptr_array_index(ops, i);

		if (op->kind == JH__OP__KIND__EXECUTE || op->kind == JH__OP__KIND__SIMPLE)
			return false;
	}
	return true;
}

static void ops_add_sync(GPtrArray *ops)
{
	Jh__Op *sync = g_new0(Jh__Op, 1);

	jh__op__init(sync);
	sync->kind = JH__OP__KIND__SYNC;
	g_ptr_array_add(ops, sync);
}

static void run_remote(_jh_caller_t *caller, _jh_batch_t *batch, plan_t *plan)
{
	GPtrArray *ops = batch->ops;

	if (plan->rest) {
		Jh__Op *simple = g_ptr_array_index(ops, ops->len - 1);
		char *rest = jh_strdup(plan->rest);

		g_free(simple->sql);
		simple->sql = rest;
	} else if (batch->synced || (!caller->unsynced && batch_runs_nothing(ops))) {
		ops_add_sync(ops);
	}
	if (plan->first_remote > 0 && plan->first_remote < ops->len)
		g_ptr_array_remove_range(ops, 0, plan->first_remote);
	plan->kind.synced = batch->synced;
	batch->ops = NULL;
	_jh_batch_free(batch);
	_jh_request_new(caller, ops, &plan->kind);
}

static void batch_refuse(_jh_caller_t *caller, const _jh_batch_t *batch, const _jh_report_t *report)
{
	/* As in PostgreSQL, an error in a transaction aborts it. */
	if (caller->transaction != 'I' && !caller->lost)
		_jh_caller_drop_pin(caller, true);
	_jh_caller_fail(caller, report);
	if (batch->synced)
		_jh_caller_write_ready(caller);
	else
		caller->skip = true;
}

/* Requests check the key themselves; the virtual database has none. */
static int check_virtual(_jh_caller_t *caller, const _jh_batch_t *batch, _jh_report_t *report)
{
	if (!_jh_caller_is_virtual(caller) || batch->ops->len == 0)
		return 0;
	return _jh_caller_check_virtual(caller, report);
}

void _jh_batch_run(_jh_caller_t *caller, _jh_batch_t *batch)
{
	_jh_report_t report;
	plan_t plan;

	if (batch->synced && caller->skip && batch->ops->len == 0) {
		caller->skip = false;
		if (!caller->unsynced) {
			_jh_caller_write_ready(caller);
			_jh_batch_free(batch);
			return;
		}
	}
	if (batch->failed)
		report = batch->report;
	if (batch->failed || check_virtual(caller, batch, &report) < 0 ||
	    plan_make(caller, batch, &plan, &report) < 0 ||
	    run_local(caller, batch, &plan, &report) < 0) {
		batch_refuse(caller, batch, &report);
	} else if (plan.first_remote < batch->ops->len || (batch->synced && caller->unsynced)) {
		run_remote(caller, batch, &plan);
		return;
	} else if (batch->synced) {
		_jh_caller_write_ready(caller);
	}
	_jh_batch_free(batch);
}
