/* Collects the messages that a caller sends after start-up into batches, and stores its prepared
 * statements; caller_start.c handles the messages of start-up, caller_batch.c runs the batches. A
 * batch ends at Sync, at Flush or after a simple query. Every request to an owner VM includes the
 * text of the prepared statement, so that any connection to any member can run it.
 */

#include "internal/entry.h"

#include <string.h>

/* Limits of one batch. */
#define BATCH_MAX_BYTES (32u * 1024 * 1024)
#define BATCH_MAX_OPS 10000u

/* Limit of prepared statements per caller. */
#define STATEMENTS_MAX 1000u

/* ---- batches ---- */

void _jh_op_free(void *op)
{
	jh__op__free_unpacked(op, NULL);
}

static Jh__Op *op_new(Jh__Op__Kind kind)
{
	Jh__Op *op = g_new0(Jh__Op, 1);

	jh__op__init(op);
	op->kind = kind;
	return op;
}

static uint32_t *u32_copy(const uint32_t *values, size_t count)
{
	return count > 0 ? g_memdup2(values, count * sizeof(*values)) : NULL;
}

static ProtobufCBinaryData binary_copy(const uint8_t *data, size_t length)
{
	return (ProtobufCBinaryData){
		.len = length,
		.data = length > 0 ? g_memdup2(data, length) : NULL,
	};
}

Jh__Op *_jh_op_copy(const Jh__Op *op)
{
	Jh__Op *copy = op_new(op->kind);
	size_t i;

	copy->statement = jh_frame_strdup(op->statement);
	copy->sql = jh_frame_strdup(op->sql);
	copy->n_parameter_types = op->n_parameter_types;
	copy->parameter_types = u32_copy(op->parameter_types, op->n_parameter_types);
	copy->n_values = op->n_values;
	copy->values = op->n_values > 0 ? g_new0(ProtobufCBinaryData, op->n_values) : NULL;
	for (i = 0; i < op->n_values; i++)
		copy->values[i] = binary_copy(op->values[i].data, op->values[i].len);
	copy->nulls = binary_copy(op->nulls.data, op->nulls.len);
	copy->n_parameter_formats = op->n_parameter_formats;
	copy->parameter_formats = u32_copy(op->parameter_formats, op->n_parameter_formats);
	copy->n_result_formats = op->n_result_formats;
	copy->result_formats = u32_copy(op->result_formats, op->n_result_formats);
	copy->describe_portal = op->describe_portal;
	copy->bind_only = op->bind_only;
	return copy;
}

_jh_batch_t *_jh_batch_new(void)
{
	_jh_batch_t *batch = g_new0(_jh_batch_t, 1);

	batch->ops = g_ptr_array_new_with_free_func(_jh_op_free);
	return batch;
}

void _jh_batch_free(_jh_batch_t *batch)
{
	if (batch->ops)
		g_ptr_array_free(batch->ops, TRUE);
	g_free(batch);
}

static _jh_batch_t *batch_get(_jh_caller_t *caller)
{
	if (!caller->batch)
		caller->batch = _jh_batch_new();
	return caller->batch;
}

/* No op of a failed batch runs; its response is the first error. */
static void batch_fail(_jh_caller_t *caller, const _jh_error_report_t *report)
{
	_jh_batch_t *batch = batch_get(caller);

	if (batch->failed)
		return;
	batch->failed = true;
	batch->report = *report;
	g_ptr_array_set_size(batch->ops, 0);
}

static Jh__Op *batch_add_op(_jh_caller_t *caller, Jh__Op__Kind kind)
{
	_jh_batch_t *batch = batch_get(caller);
	Jh__Op *op = op_new(kind);

	g_ptr_array_add(batch->ops, op);
	return op;
}

static Jh__Op *batch_find_last_op(const _jh_caller_t *caller)
{
	const _jh_batch_t *batch = caller->batch;

	if (!batch || batch->ops->len == 0)
		return NULL;
	return g_ptr_array_index(batch->ops, batch->ops->len - 1);
}

static void batch_submit(_jh_caller_t *caller, bool ends_with_sync)
{
	_jh_batch_t *batch = batch_get(caller);

	caller->batch = NULL;
	batch->ends_with_sync = ends_with_sync;
	_jh_batch_run(caller, batch);
}

/* ---- prepared statements ---- */

static void statement_free(gpointer data)
{
	_jh_prepared_statement_t *statement = data;

	g_free(statement->sql);
	if (statement->types)
		g_array_free(statement->types, TRUE);
	g_free(statement);
}

static _jh_prepared_statement_t *statement_find(const _jh_caller_t *caller, const char *name)
{
	return caller->statements ? g_hash_table_lookup(caller->statements, name) : NULL;
}

static void op_set_parameter_types(Jh__Op *op, const _jh_prepared_statement_t *statement)
{
	if (!statement->types || statement->types->len == 0)
		return;
	op->n_parameter_types = statement->types->len;
	op->parameter_types =
		u32_copy((const uint32_t *)statement->types->data, statement->types->len);
}

/* Return: the statement; NULL if it does not exist, and the batch is then marked as failed */
static _jh_prepared_statement_t *statement_require(_jh_caller_t *caller, const char *name)
{
	_jh_prepared_statement_t *statement = statement_find(caller, name);
	_jh_error_report_t report;

	if (statement)
		return statement;
	_jh_error_report_set(&report, JH_REFUSE_UNKNOWN_STATEMENT,
			     "prepared statement \"%.60s\" does not exist", name);
	batch_fail(caller, &report);
	return NULL;
}

static int statement_add(_jh_caller_t *caller, const char *name, const char *sql, GArray *types,
			 _jh_error_report_t *report)
{
	_jh_prepared_statement_t *statement;

	if (!caller->statements)
		caller->statements =
			g_hash_table_new_full(g_str_hash, g_str_equal, g_free, statement_free);
	if (*name && statement_find(caller, name))
		return _jh_error_report_set(report, JH_REFUSE_UNKNOWN_STATEMENT,
					    "prepared statement \"%.60s\" already exists", name);
	if (g_hash_table_size(caller->statements) >= STATEMENTS_MAX)
		return _jh_error_report_set(report, JH_REFUSE_OVERLOADED,
					    "a session keeps at most %u prepared statements",
					    STATEMENTS_MAX);
	statement = g_new0(_jh_prepared_statement_t, 1);
	statement->sql = g_strdup(sql);
	statement->types = types && types->len > 0 ? g_array_ref(types) : NULL;
	g_hash_table_replace(caller->statements, g_strdup(name), statement);
	return 0;
}

/* ---- messages ---- */

static void handle_parse(_jh_caller_t *caller, const jh_v3_msg_t *msg, jh_error_t *err)
{
	_jh_error_report_t report;
	jh_v3_parse_t parse;
	Jh__Op *op;

	if (jh_v3_parse_read(&parse, msg, err) < 0)
		return;
	if (statement_add(caller, parse.statement, parse.sql, parse.types, &report) < 0) {
		batch_fail(caller, &report);
	} else {
		op = batch_add_op(caller, JH__OP__KIND__PARSE);
		op->statement = jh_frame_strdup(parse.statement);
		op->sql = jh_frame_strdup(parse.sql);
		op_set_parameter_types(op, statement_find(caller, parse.statement));
	}
	jh_v3_parse_clear(&parse);
}

static uint32_t *formats_copy(const GArray *formats, size_t *count)
{
	uint32_t *copy = NULL;
	unsigned i;

	*count = formats ? formats->len : 0;
	if (*count > 0)
		copy = g_new0(uint32_t, *count);
	for (i = 0; i < *count; i++)
		copy[i] = (uint32_t)(uint16_t)g_array_index(formats, int16_t, i);
	return copy;
}

static void op_set_values(Jh__Op *op, const GArray *values)
{
	unsigned i;

	op->n_values = values ? values->len : 0;
	if (op->n_values == 0)
		return;
	op->values = g_new0(ProtobufCBinaryData, op->n_values);
	op->nulls.len = op->n_values;
	op->nulls.data = g_malloc0(op->n_values);
	for (i = 0; i < op->n_values; i++) {
		const jh_v3_value_t *value = &g_array_index(values, jh_v3_value_t, i);

		op->nulls.data[i] = value->data == NULL;
		op->values[i] = binary_copy(value->data, value->data ? value->length : 0);
	}
}

/* libpq ends a value in text format at a NUL, which no text of a database can hold. Return: the
 * first such value, counted from 1; 0 if there is none
 */
static unsigned bind_find_nul(const jh_v3_bind_t *bind)
{
	unsigned i;

	for (i = 0; i < bind->values->len; i++) {
		const jh_v3_value_t *value = &g_array_index(bind->values, jh_v3_value_t, i);

		if (value->data && jh_v3_formats_get(bind->formats, i) == 0 &&
		    memchr(value->data, 0, value->length))
			return i + 1;
	}
	return 0;
}

static void refuse_nul(_jh_caller_t *caller, unsigned parameter)
{
	_jh_error_report_t report;

	_jh_error_report_set(&report, JH_REFUSE_INVALID_VALUE,
			     "parameter $%u is a text with a zero byte", parameter);
	batch_fail(caller, &report);
}

static void handle_bind(_jh_caller_t *caller, const jh_v3_msg_t *msg, jh_error_t *err)
{
	_jh_prepared_statement_t *statement;
	jh_v3_bind_t bind;
	Jh__Op *op;
	unsigned nul_parameter;

	if (jh_v3_bind_read(&bind, msg, err) < 0)
		return;
	statement = statement_require(caller, bind.statement);
	nul_parameter = bind_find_nul(&bind);
	if (statement && nul_parameter > 0) {
		refuse_nul(caller, nul_parameter);
	} else if (statement) {
		op = batch_add_op(caller, JH__OP__KIND__EXECUTE);
		op->statement = jh_frame_strdup(bind.statement);
		op->sql = jh_frame_strdup(statement->sql);
		op->bind_only = TRUE;
		op_set_parameter_types(op, statement);
		op_set_values(op, bind.values);
		op->parameter_formats = formats_copy(bind.formats, &op->n_parameter_formats);
		op->result_formats = formats_copy(bind.result_formats, &op->n_result_formats);
	}
	jh_v3_bind_clear(&bind);
}

/* Only the portal of the Bind directly before is supported, because to keep a portal for longer, a
 * database connection would have to be pinned. The name does not matter.
 *
 * Return: the op of that Bind; NULL if there is none, and the batch is then marked as failed
 */
static Jh__Op *portal_require(_jh_caller_t *caller, const char *name)
{
	Jh__Op *op = batch_find_last_op(caller);
	_jh_error_report_t report;

	if (op && op->kind == JH__OP__KIND__EXECUTE && op->bind_only)
		return op;
	_jh_error_report_set(&report, JH_REFUSE_UNKNOWN_PORTAL,
			     "portal \"%.60s\" was not bound just before; a portal is run once",
			     name);
	batch_fail(caller, &report);
	return NULL;
}

static void handle_describe(_jh_caller_t *caller, const jh_v3_msg_t *msg, jh_error_t *err)
{
	_jh_prepared_statement_t *statement;
	jh_v3_target_t target;
	Jh__Op *op;

	if (jh_v3_target_read(&target, msg, err) < 0)
		return;
	if (target.kind == 'P') {
		op = portal_require(caller, target.name);
		if (op)
			op->describe_portal = TRUE;
		return;
	}
	statement = statement_require(caller, target.name);
	if (!statement)
		return;
	op = batch_add_op(caller, JH__OP__KIND__DESCRIBE_STATEMENT);
	op->statement = jh_frame_strdup(target.name);
	op->sql = jh_frame_strdup(statement->sql);
	op_set_parameter_types(op, statement);
}

static void handle_execute(_jh_caller_t *caller, const jh_v3_msg_t *msg, jh_error_t *err)
{
	jh_v3_execute_t execute;
	Jh__Op *op;

	if (jh_v3_execute_read(&execute, msg, err) < 0)
		return;
	op = portal_require(caller, execute.portal);
	if (!op)
		return;
	op->bind_only = FALSE;
	op->max_rows = (uint32_t)MAX(execute.max_rows, 0);
}

static void handle_close(_jh_caller_t *caller, const jh_v3_msg_t *msg, jh_error_t *err)
{
	jh_v3_target_t target;
	Jh__Op *op;

	if (jh_v3_target_read(&target, msg, err) < 0)
		return;
	if (target.kind == 'S' && caller->statements)
		g_hash_table_remove(caller->statements, target.name);
	op = batch_add_op(caller, JH__OP__KIND__CLOSE);
	op->statement = jh_frame_strdup(target.kind == 'S' ? target.name : "");
}

static void handle_query(_jh_caller_t *caller, const jh_v3_msg_t *msg, jh_error_t *err)
{
	const char *sql = jh_v3_string_read(msg, err);
	Jh__Op *op;

	if (!sql || caller->discards_until_sync)
		return;
	if (batch_find_last_op(caller)) {
		jh_error_set(err, JH_ERR_PROTOCOL, "a simple query came before Sync");
		return;
	}
	op = batch_add_op(caller, JH__OP__KIND__SIMPLE);
	op->sql = jh_frame_strdup(sql);
	caller->batch->simple = true;
	batch_submit(caller, true);
}

/* ---- choice of the message handler ---- */

static void batch_check_limits(_jh_caller_t *caller, const jh_v3_msg_t *msg)
{
	_jh_batch_t *batch = batch_get(caller);
	_jh_error_report_t report;

	batch->bytes += msg->length;
	if (batch->bytes <= BATCH_MAX_BYTES && batch->ops->len < BATCH_MAX_OPS)
		return;
	_jh_error_report_set(&report, JH_REFUSE_OVERLOADED,
			     "a batch has at most %u messages and %u bytes", BATCH_MAX_OPS,
			     BATCH_MAX_BYTES);
	batch_fail(caller, &report);
}

typedef void (*message_handler_t)(_jh_caller_t *caller, const jh_v3_msg_t *msg, jh_error_t *err);

static message_handler_t find_extended_query_handler(uint8_t type)
{
	switch (type) {
	case JH_V3_PARSE:
		return handle_parse;
	case JH_V3_BIND:
		return handle_bind;
	case JH_V3_DESCRIBE:
		return handle_describe;
	case JH_V3_EXECUTE:
		return handle_execute;
	case JH_V3_CLOSE:
		return handle_close;
	default:
		return NULL;
	}
}

static void handle_extended_query_message(_jh_caller_t *caller, const jh_v3_msg_t *msg,
					  jh_error_t *err)
{
	if (caller->discards_until_sync)
		return;
	batch_check_limits(caller, msg);
	if (!caller->batch->failed)
		find_extended_query_handler(msg->type)(caller, msg, err);
}

static void handle_unexpected(const jh_v3_msg_t *msg, jh_error_t *err)
{
	switch (msg->type) {
	case JH_V3_COPY_DATA:
	case JH_V3_COPY_DONE:
	case JH_V3_COPY_FAIL:
		/* The client sends these messages after a COPY that was refused; ignore them. */
		return;
	default:
		jh_error_set(err, JH_ERR_PROTOCOL, "unexpected message type 0x%02x", msg->type);
	}
}

void _jh_caller_handle_message(_jh_caller_t *caller, const jh_v3_msg_t *msg)
{
	jh_error_t err = JH_ERROR_INIT;

	if (find_extended_query_handler(msg->type)) {
		handle_extended_query_message(caller, msg, &err);
	} else if (msg->type == JH_V3_QUERY) {
		handle_query(caller, msg, &err);
	} else if (msg->type == JH_V3_SYNC) {
		batch_submit(caller, true);
	} else if (msg->type == JH_V3_FLUSH) {
		if (caller->batch && !caller->discards_until_sync)
			batch_submit(caller, false);
	} else if (msg->type == JH_V3_TERMINATE) {
		caller->state = JH_CALLER_DEAD;
	} else {
		handle_unexpected(msg, &err);
	}
	if (err.code != JH_ERR_NONE)
		_jh_caller_write_protocol_error(caller, &err);
}
