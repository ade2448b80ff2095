/* Runs the batches that caller_message.c collects: answers the session commands at the start of a
 * batch, and sends all that follows them to a database as one request (entry_request.c). caller.c
 * writes the responses, entry_set.c has the parameters of SET and SHOW. A session command that
 * follows a statement for a database is refused before any statement of the batch runs: answering
 * it here would split the implicit transaction of the statements before and after it.
 */

#include "internal/entry.h"

#include <string.h>

/**
 * struct batch_plan - division of a batch into a local and a remote part, made before any op runs
 * @first_remote: index of the first op for a database; the number of ops if there is none
 * @remote_sql: in a simple query, borrowed text that starts at the first statement for a database;
 *              NULL if there is no such statement
 * @traits: properties of the request for the remote part
 * @has_remote_execution: a statement for a database is executed, not only prepared or described
 * @transaction_ended: a statement ended a transaction; later statements are outside of it
 * @transaction_lost: value that caller->transaction_lost will have after the ops planned so far
 */
typedef struct batch_plan {
	unsigned first_remote;
	const char *remote_sql;
	_jh_request_traits_t traits;
	bool has_remote_execution;
	bool transaction_ended;
	bool transaction_lost;
} batch_plan_t;

/* ---- session commands ---- */

/* Return: new text in which doubled quotes are single; NULL for DEFAULT */
static char *command_unescape_value(const jh_sql_command_t *command)
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

static int run_set_command(_jh_caller_t *caller, const jh_sql_command_t *command,
			   _jh_error_report_t *report)
{
	char *value = command_unescape_value(command);
	int result;

	/* SET datestyle TO ISO, MDY is the one list that drivers send. */
	if (command->value_count > 1 && !g_str_equal(command->name, "datestyle"))
		result = _jh_error_report_set(report, JH_REFUSE_UNSUPPORTED,
					      "a list of values is not supported for \"%s\"",
					      command->name);
	else
		result = _jh_param_set(caller, command->name, value, report);
	g_free(value);
	return result;
}

static int refuse_session_state(const jh_sql_statement_t *statement, _jh_error_report_t *report)
{
	const jh_sql_token_t *first = &statement->tokens[0];

	return _jh_error_report_set(report, JH_REFUSE_UNSUPPORTED,
				    "%.*s would leave state in a database session, which the proxy "
				    "shares; it is not supported",
				    (int)MIN(first->length, 30), first->text);
}

static void deallocate_statements(_jh_caller_t *caller, const char *name)
{
	if (!caller->statements)
		return;
	if (name)
		g_hash_table_remove(caller->statements, name);
	else
		g_hash_table_remove_all(caller->statements);
}

static int end_lost_transaction(_jh_caller_t *caller)
{
	caller->transaction_lost = false;
	caller->transaction = 'I';
	caller->tx_read_only = false;
	return 0;
}

/* Return: 0 with the command tag in *@tag, or -1 with the report set */
static int run_command(_jh_caller_t *caller, const jh_sql_statement_t *statement,
		       const jh_sql_command_t *command, const char **tag,
		       _jh_error_report_t *report)
{
	switch (command->kind) {
	case JH_SQL_SET:
		*tag = "SET";
		return run_set_command(caller, command, report);
	case JH_SQL_RESET:
		*tag = "RESET";
		return _jh_param_set(caller, command->name, NULL, report);
	case JH_SQL_RESET_ALL:
		*tag = "RESET";
		_jh_params_reset_all(caller);
		return 0;
	case JH_SQL_DISCARD_ALL:
		*tag = "DISCARD ALL";
		_jh_params_reset_all(caller);
		deallocate_statements(caller, NULL);
		return 0;
	case JH_SQL_DEALLOCATE:
		*tag = "DEALLOCATE";
		deallocate_statements(caller, command->name);
		return 0;
	case JH_SQL_DEALLOCATE_ALL:
		*tag = "DEALLOCATE ALL";
		deallocate_statements(caller, NULL);
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
		return end_lost_transaction(caller);
	default:
		return refuse_session_state(statement, report);
	}
}

/* ---- result rows of session commands ---- */

static jh_rows_t *make_single_value_rows(const char *name, const char *value)
{
	jh_rows_t *rows = jh_rows_new((const char *const[]){ name, NULL });

	jh_rows_add(rows, value);
	return rows;
}

/* Return: new rows; NULL if the command returns no rows, or with the report set if SHOW names an
 * unknown parameter or topic
 */
static jh_rows_t *command_make_rows(_jh_caller_t *caller, const jh_sql_command_t *command,
				    _jh_error_report_t *report)
{
	jh_rows_t *rows = NULL;
	char *value;

	if (command->kind == JH_SQL_UNLOCK_ALL)
		return make_single_value_rows("pg_advisory_unlock_all", "");
	if (command->kind != JH_SQL_SHOW)
		return NULL;
	value = _jh_param_show(caller, command->name);
	if (value)
		rows = make_single_value_rows(command->name, value);
	else if (_jh_caller_is_virtual(caller))
		rows = _jh_show_topic(caller->entry, command->name);
	g_free(value);
	if (!rows)
		_jh_error_report_set(report, JH_REFUSE_INVALID_VALUE,
				     "there is nothing to show as \"%s\"", command->name);
	return rows;
}

static void write_row_description(GByteArray *out, const jh_rows_t *rows)
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

static void write_data_rows(GByteArray *out, const jh_rows_t *rows)
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

/* ---- responses to session commands ---- */

static int refuse_in_failed_transaction(_jh_error_report_t *report)
{
	return _jh_error_report_set(report, JH_REFUSE_FAILED_TRANSACTION,
				    "current transaction is aborted, commands ignored until end of "
				    "transaction block");
}

/* Refuses commands in a failed transaction. If the transaction's connection was lost, the command
 * that ends the transaction is accepted, since no database can answer it.
 */
static int check_transaction(const _jh_caller_t *caller, const jh_sql_command_t *command,
			     _jh_error_report_t *report)
{
	if (caller->transaction == 'E' &&
	    !(caller->transaction_lost && command->kind == JH_SQL_END))
		return refuse_in_failed_transaction(report);
	return 0;
}

/* Answers the Describe (if @describe) and Execute (if @execute) of one session command. In a simple
 * query (@simple), no NoData is written for a command without rows.
 *
 * Return: 0, or -1 with the report set
 */
static int answer_command(_jh_caller_t *caller, const jh_sql_statement_t *statement, bool describe,
			  bool execute, bool simple, _jh_error_report_t *report)
{
	GByteArray *out = _jh_caller_get_output(caller);
	jh_rows_t *rows = NULL;
	jh_sql_command_t command;
	const char *tag = "";

	jh_sql_classify(statement, &command);
	if (check_transaction(caller, &command, report) < 0)
		return -1;
	rows = command_make_rows(caller, &command, report);
	if (!rows && command.kind == JH_SQL_SHOW)
		return -1;
	if (describe && rows)
		write_row_description(out, rows);
	else if (describe && !simple)
		jh_v3_write_empty_message(out, JH_V3_NO_DATA);
	if (execute) {
		if (run_command(caller, statement, &command, &tag, report) < 0)
			return -1;
		if (rows)
			write_data_rows(out, rows);
		jh_v3_write_command_complete(out, tag);
	}
	jh_rows_free(rows);
	return 0;
}

static int answer_empty(_jh_caller_t *caller, bool describe, bool execute)
{
	if (describe)
		jh_v3_write_empty_message(_jh_caller_get_output(caller), JH_V3_NO_DATA);
	if (execute)
		jh_v3_write_empty_message(_jh_caller_get_output(caller),
					  JH_V3_EMPTY_QUERY_RESPONSE);
	return 0;
}

static int answer_op(_jh_caller_t *caller, const Jh__Op *op, _jh_error_report_t *report)
{
	GByteArray *out = _jh_caller_get_output(caller);
	const char *cursor = op->sql;
	bool describe = op->kind == JH__OP__KIND__DESCRIBE_STATEMENT || op->describe_portal;
	bool execute = op->kind == JH__OP__KIND__EXECUTE && !op->bind_only;
	jh_sql_statement_t statement;

	switch (op->kind) {
	case JH__OP__KIND__CLOSE:
		jh_v3_write_empty_message(out, JH_V3_CLOSE_COMPLETE);
		return 0;
	case JH__OP__KIND__PARSE:
		jh_v3_write_empty_message(out, JH_V3_PARSE_COMPLETE);
		return 0;
	case JH__OP__KIND__DESCRIBE_STATEMENT:
		jh_v3_write_parameter_description(out, NULL, 0);
		break;
	default:
		jh_v3_write_empty_message(out, JH_V3_BIND_COMPLETE);
		break;
	}
	if (!jh_sql_next_statement(&cursor, &statement))
		return answer_empty(caller, describe, execute);
	return answer_command(caller, &statement, describe, execute, false, report);
}

/* Answers the statements of a simple query before @remote_sql, or all if that is NULL. */
static int answer_simple_query(_jh_caller_t *caller, const char *sql, const char *remote_sql,
			       _jh_error_report_t *report)
{
	const char *cursor = sql;
	jh_sql_statement_t statement;
	bool has_statement = false;

	while (jh_sql_next_statement(&cursor, &statement) && statement.text != remote_sql) {
		has_statement = true;
		if (answer_command(caller, &statement, true, true, true, report) < 0)
			return -1;
	}
	if (!has_statement && !remote_sql)
		jh_v3_write_empty_message(_jh_caller_get_output(caller),
					  JH_V3_EMPTY_QUERY_RESPONSE);
	return 0;
}

/* ---- planning ---- */

static bool command_is_local(_jh_caller_t *caller, const batch_plan_t *plan,
			     const jh_sql_command_t *command)
{
	char *value;

	if (plan->transaction_lost || _jh_caller_is_virtual(caller))
		return true;
	if (command->kind == JH_SQL_CLOSE_ALL || command->kind == JH_SQL_UNLOCK_ALL)
		return caller->transaction == 'I' && !plan->has_remote_execution;
	if (command->kind != JH_SQL_SHOW)
		return jh_sql_kind_is_session_command(command->kind);
	/* A parameter that the entry does not know may exist in the database. */
	value = _jh_param_show(caller, command->name);
	g_free(value);
	return value != NULL;
}

static void plan_add_remote_statement(batch_plan_t *plan, jh_sql_kind_t kind, bool is_executed)
{
	if (!is_executed)
		return;
	if (!plan->has_remote_execution)
		plan->traits.begins_read_only = kind == JH_SQL_BEGIN_READ_ONLY;
	else if (plan->transaction_ended)
		plan->traits.begins_read_only = false;
	plan->has_remote_execution = true;
	plan->traits.controls_transaction |=
		kind == JH_SQL_BEGIN || kind == JH_SQL_BEGIN_READ_ONLY || kind == JH_SQL_END;
	plan->transaction_ended |= kind == JH_SQL_END;
	if (kind != JH_SQL_END)
		plan->traits.cost++;
}

static int refuse_statement_order(const jh_sql_statement_t *statement, _jh_error_report_t *report)
{
	return _jh_error_report_set(report, JH_REFUSE_UNSUPPORTED,
				    "%.*s must come before the other statements of a batch",
				    (int)MIN(statement->tokens[0].length, 30),
				    statement->tokens[0].text);
}

/* Return: 1 if the statement is for a database, 0 if not, -1 with the report set */
static int plan_statement(_jh_caller_t *caller, batch_plan_t *plan,
			  const jh_sql_statement_t *statement, bool is_executed, bool after_remote,
			  _jh_error_report_t *report)
{
	jh_sql_command_t command;

	jh_sql_classify(statement, &command);
	if (!command_is_local(caller, plan, &command)) {
		plan_add_remote_statement(plan, command.kind, is_executed);
		return 1;
	}
	if (after_remote)
		return refuse_statement_order(statement, report);
	if (plan->transaction_lost && command.kind == JH_SQL_END && is_executed)
		plan->transaction_lost = false;
	return 0;
}

static int plan_simple(_jh_caller_t *caller, batch_plan_t *plan, const char *sql,
		       _jh_error_report_t *report)
{
	const char *cursor = sql;
	jh_sql_statement_t statement;

	while (jh_sql_next_statement(&cursor, &statement)) {
		int remote = plan_statement(caller, plan, &statement, true,
					    plan->remote_sql != NULL, report);

		if (remote < 0)
			return -1;
		if (remote > 0 && !plan->remote_sql)
			plan->remote_sql = statement.text;
	}
	return plan->remote_sql ? 1 : 0;
}

/* Return: 1 if the op is for a database, 0 if not, -1 with the report set */
static int plan_op(_jh_caller_t *caller, batch_plan_t *plan, const Jh__Op *op, bool after_remote,
		   _jh_error_report_t *report)
{
	bool is_executed = op->kind == JH__OP__KIND__EXECUTE && !op->bind_only;
	const char *cursor = op->sql;
	jh_sql_statement_t statement;

	if (op->kind == JH__OP__KIND__SIMPLE)
		return plan_simple(caller, plan, op->sql, report);
	/* Close and empty statements can be answered by either side. After an op for a database
	 * they are sent to it as well, so that the responses stay in order.
	 */
	if (op->kind == JH__OP__KIND__CLOSE || !jh_sql_next_statement(&cursor, &statement))
		return after_remote ? 1 : 0;
	return plan_statement(caller, plan, &statement, is_executed, after_remote, report);
}

static int plan_batch(_jh_caller_t *caller, const _jh_batch_t *batch, batch_plan_t *plan,
		      _jh_error_report_t *report)
{
	unsigned i;

	*plan = (batch_plan_t){ .first_remote = batch->ops->len,
				.transaction_lost = caller->transaction_lost };
	for (i = 0; i < batch->ops->len; i++) {
		bool after_remote = plan->first_remote < i;
		int remote = plan_op(caller, plan, g_ptr_array_index(batch->ops, i), after_remote,
				     report);

		if (remote < 0)
			return -1;
		if (remote > 0 && !after_remote)
			plan->first_remote = MIN(plan->first_remote, i);
	}
	return 0;
}

/* ---- running ---- */

static int batch_run_local_part(_jh_caller_t *caller, const _jh_batch_t *batch,
				const batch_plan_t *plan, _jh_error_report_t *report)
{
	unsigned i;

	for (i = 0; i < batch->ops->len && i <= plan->first_remote; i++) {
		const Jh__Op *op = g_ptr_array_index(batch->ops, i);
		int result = 0;

		if (op->kind == JH__OP__KIND__SIMPLE)
			result = answer_simple_query(caller, op->sql, plan->remote_sql, report);
		else if (i < plan->first_remote)
			result = answer_op(caller, op, report);
		if (result < 0)
			return -1;
	}
	return 0;
}

/* True if no op binds or executes a statement. Such a batch leaves no transaction open, so that a
 * Sync can be added to it even if the caller sent Flush; the database connection is then free for
 * other requests.
 */
static bool executes_no_statement(const GPtrArray *ops)
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

static void batch_send_remote_part(_jh_caller_t *caller, _jh_batch_t *batch, batch_plan_t *plan)
{
	GPtrArray *ops = batch->ops;

	if (plan->remote_sql) {
		Jh__Op *simple = g_ptr_array_index(ops, ops->len - 1);
		char *remote_sql = jh_frame_strdup(plan->remote_sql);

		g_free(simple->sql);
		simple->sql = remote_sql;
	} else if (batch->ends_with_sync || (!caller->awaits_sync && executes_no_statement(ops))) {
		ops_add_sync(ops);
	}
	if (plan->first_remote > 0 && plan->first_remote < ops->len)
		g_ptr_array_remove_range(ops, 0, plan->first_remote);
	plan->traits.ends_with_sync = batch->ends_with_sync;
	batch->ops = NULL;
	_jh_batch_free(batch);
	_jh_request_new(caller, ops, &plan->traits);
}

static void batch_refuse(_jh_caller_t *caller, const _jh_batch_t *batch,
			 const _jh_error_report_t *report)
{
	/* As in PostgreSQL, an error in a transaction aborts it. */
	if (caller->transaction != 'I' && !caller->transaction_lost)
		_jh_caller_drop_pin(caller, true);
	_jh_caller_write_error(caller, report);
	if (batch->ends_with_sync)
		_jh_caller_write_ready(caller);
	else
		caller->discards_until_sync = true;
}

/* A request checks the key when it starts. The virtual database needs no request, so the key is
 * checked here for each batch.
 */
static int check_virtual_access(_jh_caller_t *caller, const _jh_batch_t *batch,
				_jh_error_report_t *report)
{
	if (!_jh_caller_is_virtual(caller) || batch->ops->len == 0)
		return 0;
	return _jh_caller_authorize_virtual(caller, report);
}

void _jh_batch_run(_jh_caller_t *caller, _jh_batch_t *batch)
{
	_jh_error_report_t report;
	batch_plan_t plan;

	/* Messages after an error are discarded until Sync. */
	if (batch->ends_with_sync && caller->discards_until_sync && batch->ops->len == 0) {
		caller->discards_until_sync = false;
		if (!caller->awaits_sync) {
			_jh_caller_write_ready(caller);
			_jh_batch_free(batch);
			return;
		}
	}
	if (batch->failed)
		report = batch->report;
	if (batch->failed || check_virtual_access(caller, batch, &report) < 0 ||
	    plan_batch(caller, batch, &plan, &report) < 0 ||
	    batch_run_local_part(caller, batch, &plan, &report) < 0) {
		batch_refuse(caller, batch, &report);
	} else if (plan.first_remote < batch->ops->len ||
		   (batch->ends_with_sync && caller->awaits_sync)) {
		batch_send_remote_part(caller, batch, &plan);
		return;
	} else if (batch->ends_with_sync) {
		_jh_caller_write_ready(caller);
	}
	_jh_batch_free(batch);
}
