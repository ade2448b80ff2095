#include "session.h"

#include <errno.h>
#include <string.h>
#include <sys/random.h>
#include <unistd.h>

#define READ_BYTES 65536

/* Most input that is buffered while a statement runs; reading stops above it. */
#define READ_AHEAD_BYTES (1024u * 1024)

/* Responses that are sent when the simulated network delay has passed. */
typedef struct delayed_response {
	GByteArray *bytes;
	int64_t due_us;
} delayed_response_t;

/* ---- sending ---- */

static void delayed_response_free(gpointer data)
{
	delayed_response_t *delayed = data;

	if (delayed->bytes)
		g_byte_array_free(delayed->bytes, TRUE);
	g_free(delayed);
}

static void delay_timer_arm(sdb_session_t *session)
{
	const delayed_response_t *first = g_queue_peek_head(&session->delayed);
	int64_t wait_us;

	ev_timer_stop(session->server->loop, &session->delay_timer);
	if (!first)
		return;
	wait_us = MAX(first->due_us - g_get_monotonic_time(), 0);
	ev_timer_set(&session->delay_timer, (double)wait_us / G_USEC_PER_SEC, 0);
	ev_timer_start(session->server->loop, &session->delay_timer);
}

/* Queues new responses with their due time, and moves those that are due to the send buffer. */
static void output_release_due(sdb_session_t *session)
{
	int64_t now_us = g_get_monotonic_time();
	delayed_response_t *delayed;

	if (session->out->len > 0) {
		delayed = g_new0(delayed_response_t, 1);
		delayed->bytes = session->out;
		delayed->due_us = now_us + (int64_t)session->server->options->delay_ms * 1000;
		session->out = g_byte_array_new();
		g_queue_push_tail(&session->delayed, delayed);
	}
	while ((delayed = g_queue_peek_head(&session->delayed)) && delayed->due_us <= now_us) {
		g_queue_pop_head(&session->delayed);
		g_byte_array_append(session->send_buffer, delayed->bytes->data,
				    delayed->bytes->len);
		delayed_response_free(delayed);
	}
	delay_timer_arm(session);
}

/* Sends as much as the socket takes. Return: false if the connection is broken. */
static bool output_send(sdb_session_t *session)
{
	ssize_t sent = 0;

	if (session->send_buffer->len > 0)
		sent = write(session->fd, session->send_buffer->data, session->send_buffer->len);
	if (sent < 0 && errno != EAGAIN && errno != EINTR)
		return false;
	if (sent > 0)
		g_byte_array_remove_range(session->send_buffer, 0, (guint)sent);
	if (session->send_buffer->len > 0)
		ev_io_start(session->server->loop, &session->write_watcher);
	else
		ev_io_stop(session->server->loop, &session->write_watcher);
	return true;
}

static bool output_is_empty(const sdb_session_t *session)
{
	return session->out->len == 0 && session->send_buffer->len == 0 &&
	       g_queue_is_empty((GQueue *)&session->delayed);
}

/* ---- end of a response ---- */

/*
 * Reports the applied position after a commit by this session, and on a replica if the position has
 * advanced since the last report.
 */
static void position_report(sdb_session_t *session)
{
	const sdb_member_t *member = session->server->member;
	jh_position_t applied = sdb_member_position(member, member->applied);
	bool is_newer = jh_position_compare(applied, session->reported_position) > 0;

	if (!session->has_appended && !(is_newer && member->role == SDB_REPLICA))
		return;
	jh_v3_write_parameter_status(session->out, "group_position", sdb_position_format(applied));
	session->reported_position = applied;
	session->has_appended = false;
}

/*
 * Reports in_hot_standby. The parameter describes the data that the response was read from: it is
 * "on" only if the member was a replica during the whole transaction, from its first statement to
 * this report.
 */
static void role_report(sdb_session_t *session)
{
	bool is_primary = session->ran_on_primary || session->server->member->role == SDB_PRIMARY;

	sdb_parameters_set_standby(session, !is_primary);
	if (session->transaction.status == 'I')
		session->ran_on_primary = false;
}

/*
 * Ends a response: if no transaction block is open, commits and drops all portals. Then writes the
 * parameters that changed, and ReadyForQuery.
 */
static void response_finish(sdb_session_t *session)
{
	if (session->transaction.status == 'I') {
		g_hash_table_remove_all(session->portals);
		if (sdb_transaction_commit(session) == SDB_FAILED)
			sdb_transaction_fail(session);
	}
	position_report(session);
	role_report(session);
	jh_v3_write_ready_for_query(session->out, session->transaction.status);
}

static void query_clear(sdb_session_t *session)
{
	g_clear_pointer(&session->query, g_free);
	g_clear_pointer(&session->query_portal, sdb_portal_free);
}

/*
 * Called after an ErrorResponse was written. Ends a simple query with ReadyForQuery; in the
 * extended protocol, messages are discarded until the next Sync.
 */
static void response_fail(sdb_session_t *session)
{
	bool is_simple_query = session->query != NULL;

	sdb_run_release(session);
	query_clear(session);
	sdb_transaction_fail(session);
	if (is_simple_query)
		response_finish(session);
	else
		session->skip_until_sync = true;
}

static void run_end(sdb_session_t *session, sdb_progress_t progress)
{
	if (progress == SDB_FAILED) {
		response_fail(session);
		return;
	}
	sdb_run_release(session);
	g_clear_pointer(&session->query_portal, sdb_portal_free);
}

/* ---- simple query ---- */

/* Starts the next statement of the simple query, or ends the response after the last one. */
static void query_start_next(sdb_session_t *session)
{
	sdb_statement_t *statement;
	sdb_sql_t *sql;
	size_t consumed;

	if (session->query[session->query_offset] == '\0') {
		if (!session->query_has_statement)
			jh_v3_write_empty_message(session->out, JH_V3_EMPTY_QUERY_RESPONSE);
		query_clear(session);
		response_finish(session);
		return;
	}
	sql = sdb_sql_parse(session->query + session->query_offset, &consumed);
	session->query_offset += consumed;
	if (sql->kind == SDB_SQL_EMPTY) {
		sdb_sql_free(sql);
		return;
	}
	session->query_has_statement = true;
	statement = sdb_statement_new(session, sql, g_array_new(FALSE, TRUE, sizeof(uint32_t)));
	if (!statement) {
		response_fail(session);
		return;
	}
	session->query_portal = sdb_portal_new(statement, NULL, NULL);
	sdb_run_start(session, session->query_portal, true, 0);
}

static int handle_query(sdb_session_t *session, const jh_v3_msg_t *msg, jh_error_t *err)
{
	const char *text = jh_v3_string_read(msg, err);

	if (!text)
		return -1;
	g_hash_table_remove(session->statements, "");
	g_hash_table_remove(session->portals, "");
	session->query = g_strdup(text);
	session->query_offset = 0;
	session->query_has_statement = false;
	return 0;
}

/* ---- extended query ---- */

static int handle_parse(sdb_session_t *session, const jh_v3_msg_t *msg, jh_error_t *err)
{
	sdb_statement_t *statement;
	jh_v3_parse_t parse;
	sdb_sql_t *sql;
	size_t consumed;

	if (jh_v3_parse_read(&parse, msg, err) < 0)
		return -1;
	if (*parse.statement && g_hash_table_contains(session->statements, parse.statement)) {
		sdb_error(session, "42P05", "prepared statement \"%s\" already exists",
			  parse.statement);
		response_fail(session);
		jh_v3_parse_clear(&parse);
		return 0;
	}
	sql = sdb_sql_parse(parse.sql, &consumed);
	statement = sdb_statement_new(session, sql, parse.types);
	if (!statement) {
		response_fail(session);
		return 0;
	}
	g_hash_table_replace(session->statements, g_strdup(parse.statement), statement);
	jh_v3_write_empty_message(session->out, JH_V3_PARSE_COMPLETE);
	return 0;
}

static GArray *bind_decode_values(sdb_session_t *session, const sdb_statement_t *statement,
				  const jh_v3_bind_t *bind)
{
	GArray *values = g_array_new(FALSE, TRUE, sizeof(sdb_value_t));
	unsigned i;

	g_array_set_clear_func(values, sdb_value_clear);
	for (i = 0; i < bind->values->len; i++) {
		jh_error_t err = JH_ERROR_INIT;
		int16_t format = jh_v3_formats_get(bind->formats, i);
		sdb_value_t value;

		if (sdb_value_decode(&value, g_array_index(statement->parameter_types, uint32_t, i),
				     format, &g_array_index(bind->values, jh_v3_value_t, i),
				     &err) < 0) {
			sdb_error(session, format ? "22P03" : "22P02", "%s", err.message);
			jh_error_clear(&err);
			g_array_free(values, TRUE);
			return NULL;
		}
		g_array_append_val(values, value);
	}
	return values;
}

static sdb_progress_t bind_create_portal(sdb_session_t *session, jh_v3_bind_t *bind)
{
	sdb_statement_t *statement = g_hash_table_lookup(session->statements, bind->statement);
	GArray *values;

	if (!statement)
		return sdb_error(session, "26000", "prepared statement \"%s\" does not exist",
				 bind->statement);
	if (bind->values->len != statement->parameter_types->len)
		return sdb_error(session, "08P01",
				 "bind message supplies %u parameters, but the statement has %u",
				 bind->values->len, statement->parameter_types->len);
	if (*bind->portal && g_hash_table_contains(session->portals, bind->portal))
		return sdb_error(session, "42P03", "portal \"%s\" already exists", bind->portal);
	values = bind_decode_values(session, statement, bind);
	if (!values)
		return SDB_FAILED;
	g_hash_table_replace(session->portals, g_strdup(bind->portal),
			     sdb_portal_new(g_rc_box_acquire(statement), values,
					    g_array_ref(bind->result_formats)));
	jh_v3_write_empty_message(session->out, JH_V3_BIND_COMPLETE);
	return SDB_DONE;
}

static int handle_bind(sdb_session_t *session, const jh_v3_msg_t *msg, jh_error_t *err)
{
	jh_v3_bind_t bind;

	if (jh_v3_bind_read(&bind, msg, err) < 0)
		return -1;
	if (bind_create_portal(session, &bind) == SDB_FAILED)
		response_fail(session);
	jh_v3_bind_clear(&bind);
	return 0;
}

static sdb_progress_t describe_target(sdb_session_t *session, const jh_v3_target_t *target)
{
	const sdb_statement_t *statement;
	const sdb_portal_t *portal;

	if (target->kind == 'S') {
		statement = g_hash_table_lookup(session->statements, target->name);
		if (!statement)
			return sdb_error(session, "26000",
					 "prepared statement \"%s\" does not exist", target->name);
		jh_v3_write_parameter_description(
			session->out, (const uint32_t *)(void *)statement->parameter_types->data,
			statement->parameter_types->len);
		sdb_describe(session, statement, NULL);
		return SDB_DONE;
	}
	portal = g_hash_table_lookup(session->portals, target->name);
	if (!portal)
		return sdb_error(session, "34000", "portal \"%s\" does not exist", target->name);
	sdb_describe(session, portal->statement, portal->formats);
	return SDB_DONE;
}

static int handle_describe(sdb_session_t *session, const jh_v3_msg_t *msg, jh_error_t *err)
{
	jh_v3_target_t target;

	if (jh_v3_target_read(&target, msg, err) < 0)
		return -1;
	if (describe_target(session, &target) == SDB_FAILED)
		response_fail(session);
	return 0;
}

static int handle_execute(sdb_session_t *session, const jh_v3_msg_t *msg, jh_error_t *err)
{
	jh_v3_execute_t execute;
	sdb_portal_t *portal;

	if (jh_v3_execute_read(&execute, msg, err) < 0)
		return -1;
	portal = g_hash_table_lookup(session->portals, execute.portal);
	if (!portal) {
		sdb_error(session, "34000", "portal \"%s\" does not exist", execute.portal);
		response_fail(session);
		return 0;
	}
	sdb_run_start(session, portal, false, execute.max_rows);
	return 0;
}

static int handle_close(sdb_session_t *session, const jh_v3_msg_t *msg, jh_error_t *err)
{
	jh_v3_target_t target;

	if (jh_v3_target_read(&target, msg, err) < 0)
		return -1;
	g_hash_table_remove(target.kind == 'S' ? session->statements : session->portals,
			    target.name);
	jh_v3_write_empty_message(session->out, JH_V3_CLOSE_COMPLETE);
	return 0;
}

static int handle_sync(sdb_session_t *session, const jh_v3_msg_t *msg, jh_error_t *err)
{
	(void)msg;
	(void)err;
	session->skip_until_sync = false;
	response_finish(session);
	return 0;
}

static int handle_ignored(sdb_session_t *session, const jh_v3_msg_t *msg, jh_error_t *err)
{
	(void)session;
	(void)msg;
	(void)err;
	return 0;
}

static int handle_terminate(sdb_session_t *session, const jh_v3_msg_t *msg, jh_error_t *err)
{
	(void)msg;
	(void)err;
	session->phase = SDB_PHASE_CLOSING;
	return 0;
}

static int handle_function_call(sdb_session_t *session, const jh_v3_msg_t *msg, jh_error_t *err)
{
	(void)msg;
	(void)err;
	sdb_error(session, "0A000", "the function call message is not supported");
	sdb_transaction_fail(session);
	response_finish(session);
	return 0;
}

static const struct {
	uint8_t type;
	int (*handle)(sdb_session_t *session, const jh_v3_msg_t *msg, jh_error_t *err);
} handlers[] = {
	{ JH_V3_QUERY, handle_query },
	{ JH_V3_PARSE, handle_parse },
	{ JH_V3_BIND, handle_bind },
	{ JH_V3_DESCRIBE, handle_describe },
	{ JH_V3_EXECUTE, handle_execute },
	{ JH_V3_CLOSE, handle_close },
	{ JH_V3_SYNC, handle_sync },
	{ JH_V3_FLUSH, handle_ignored },
	{ JH_V3_COPY_DATA, handle_ignored },
	{ JH_V3_COPY_DONE, handle_ignored },
	{ JH_V3_COPY_FAIL, handle_ignored },
	{ JH_V3_TERMINATE, handle_terminate },
	{ JH_V3_FUNCTION_CALL, handle_function_call },
};

static int message_handle(sdb_session_t *session, const jh_v3_msg_t *msg, jh_error_t *err)
{
	unsigned i;

	if (session->skip_until_sync && msg->type != JH_V3_SYNC && msg->type != JH_V3_TERMINATE)
		return 0;
	for (i = 0; i < G_N_ELEMENTS(handlers); i++) {
		if (handlers[i].type == msg->type)
			return handlers[i].handle(session, msg, err);
	}
	return jh_error_set(err, JH_ERR_PROTOCOL, "invalid frontend message type %u", msg->type);
}

/* ---- startup ---- */

static void session_reject(sdb_session_t *session, const char *sqlstate, const char *message)
{
	const jh_v3_report_t report = { .severity = "FATAL",
					.sqlstate = sqlstate,
					.message = message };

	jh_v3_write_error(session->out, &report);
	session->phase = SDB_PHASE_CLOSING;
}

/* Writes the messages from AuthenticationOk to the first ReadyForQuery. */
static void session_set_ready(sdb_session_t *session)
{
	const sdb_member_t *member = session->server->member;

	session->phase = SDB_PHASE_READY;
	session->reported_position = sdb_member_position(member, member->applied);
	jh_v3_write_auth_ok(session->out);
	sdb_parameters_set_standby(session, member->role == SDB_REPLICA);
	sdb_parameters_report(session);
	jh_v3_write_parameter_status(session->out, "group_position",
				     sdb_position_format(session->reported_position));
	jh_v3_write_backend_key_data(session->out, session->pid, session->secret);
	jh_v3_write_ready_for_query(session->out, 'I');
}

static void startup_open_session(sdb_session_t *session, const jh_v3_startup_t *startup)
{
	sdb_server_t *server = session->server;
	unsigned i;

	for (i = 0; i + 1 < startup->parameters->len; i += 2)
		sdb_parameters_set_startup(session, g_ptr_array_index(startup->parameters, i),
					   g_ptr_array_index(startup->parameters, i + 1));
	session->reader.startup = false;
	session->is_member = jh_v3_startup_find_parameter(startup, "replication_member") != NULL;
	if (session->is_member) {
		session_set_ready(session);
		return;
	}
	if (server->caller_count >= server->options->connections) {
		session_reject(session, "53300", "sorry, too many clients already");
		return;
	}
	session->counts_as_caller = true;
	server->caller_count++;
	session->phase = SDB_PHASE_AUTHENTICATING;
	ev_timer_stop(server->loop, &session->timer);
	ev_timer_set(&session->timer, server->options->open_ms / 1000.0, 0);
	ev_timer_start(server->loop, &session->timer);
}

static void startup_handle_cancel(sdb_session_t *session, const jh_v3_startup_t *startup)
{
	sdb_session_t *target =
		g_hash_table_lookup(session->server->sessions, GUINT_TO_POINTER(startup->pid));

	if (target && target->secret == startup->secret)
		sdb_session_cancel(target);
	session->phase = SDB_PHASE_CLOSING;
}

static int startup_handle(sdb_session_t *session, const jh_v3_msg_t *msg, jh_error_t *err)
{
	jh_v3_startup_t startup;

	if (jh_v3_startup_parse(&startup, msg, err) < 0)
		return -1;
	if (startup.kind == JH_V3_STARTUP)
		startup_open_session(session, &startup);
	else if (startup.kind == JH_V3_CANCEL_REQUEST)
		startup_handle_cancel(session, &startup);
	else
		jh_v3_put_u8(session->out, JH_V3_ENCRYPTION_REFUSED);
	jh_v3_startup_clear(&startup);
	return 0;
}

/* ---- progress ---- */

/*
 * Handles one message; rejects the session on a protocol error. Return: false if no complete
 * message has been received
 */
static bool session_read_message(sdb_session_t *session)
{
	jh_error_t err = JH_ERROR_INIT;
	jh_v3_msg_t msg;
	int result = jh_v3_reader_next(&session->reader, &msg, &err);

	if (result > 0) {
		result = session->phase == SDB_PHASE_STARTUP ? startup_handle(session, &msg, &err) :
							       message_handle(session, &msg, &err);
		if (result == 0)
			result = 1;
	}
	if (result < 0)
		session_reject(session, "08P01", err.message);
	jh_error_clear(&err);
	return result != 0;
}

/*
 * Does one step: continues the running statement, or else starts the next statement of the simple
 * query, or else handles the next message. Return: false if the session must wait
 */
static bool session_step(sdb_session_t *session)
{
	sdb_progress_t progress;

	if (session->phase == SDB_PHASE_AUTHENTICATING || session->phase == SDB_PHASE_CLOSING)
		return false;
	if (session->run.step != SDB_STEP_NONE) {
		progress = sdb_run_continue(session);
		if (progress == SDB_BLOCKED)
			return false;
		run_end(session, progress);
		return true;
	}
	if (session->query) {
		query_start_next(session);
		return true;
	}
	return session_read_message(session);
}

/* Removes the session from the server's table, whose destroy function frees it. */
static void session_destroy(sdb_session_t *session)
{
	g_hash_table_remove(session->server->sessions, GUINT_TO_POINTER(session->pid));
}

void sdb_session_process(sdb_session_t *session)
{
	while (session_step(session))
		;
	output_release_due(session);
	if (!output_send(session) ||
	    (session->phase == SDB_PHASE_CLOSING && output_is_empty(session))) {
		session_destroy(session);
		return;
	}
	if (jh_v3_reader_pending(&session->reader) > READ_AHEAD_BYTES &&
	    session->run.step != SDB_STEP_NONE)
		ev_io_stop(session->server->loop, &session->read_watcher);
	else
		ev_io_start(session->server->loop, &session->read_watcher);
}

void sdb_session_cancel(sdb_session_t *session)
{
	if (session->run.step == SDB_STEP_NONE)
		return;
	session->run.cancelled = true;
	sdb_server_schedule_session(session->server, session->pid);
}

/* ---- event callbacks ---- */

static void on_readable(struct ev_loop *loop, ev_io *watcher, int events)
{
	sdb_session_t *session = watcher->data;
	static uint8_t bytes[READ_BYTES];
	ssize_t count = read(session->fd, bytes, sizeof(bytes));

	(void)loop;
	(void)events;
	if (count < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (count <= 0) {
		session_destroy(session);
		return;
	}
	jh_v3_reader_push(&session->reader, bytes, (size_t)count);
	sdb_session_process(session);
}

static void on_writable(struct ev_loop *loop, ev_io *watcher, int events)
{
	(void)loop;
	(void)events;
	sdb_session_process(watcher->data);
}

static void on_response_delay_end(struct ev_loop *loop, ev_timer *watcher, int events)
{
	(void)loop;
	(void)events;
	sdb_session_process(watcher->data);
}

static void on_wait_timer(struct ev_loop *loop, ev_timer *watcher, int events)
{
	sdb_session_t *session = watcher->data;

	(void)loop;
	(void)events;
	if (session->phase == SDB_PHASE_AUTHENTICATING)
		session_set_ready(session);
	sdb_session_process(session);
}

/* ---- creation and destruction ---- */

sdb_session_t *sdb_session_new(sdb_server_t *server, int fd)
{
	sdb_session_t *session = g_new0(sdb_session_t, 1);

	session->server = server;
	session->pid = server->next_pid++;
	if (getrandom(&session->secret, sizeof(session->secret), 0) < 0)
		session->secret = session->pid;
	session->fd = fd;
	jh_v3_reader_init(&session->reader, 0, 0);
	session->out = g_byte_array_new();
	session->send_buffer = g_byte_array_new();
	g_queue_init(&session->delayed);
	session->parameters = sdb_parameters_new();
	sdb_transaction_init(&session->transaction);
	session->statements =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, sdb_statement_unref);
	session->portals = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, sdb_portal_free);
	ev_io_init(&session->read_watcher, on_readable, fd, EV_READ);
	ev_io_init(&session->write_watcher, on_writable, fd, EV_WRITE);
	ev_init(&session->delay_timer, on_response_delay_end);
	ev_init(&session->timer, on_wait_timer);
	session->read_watcher.data = session;
	session->write_watcher.data = session;
	session->delay_timer.data = session;
	session->timer.data = session;
	ev_io_start(server->loop, &session->read_watcher);
	g_hash_table_insert(server->sessions, GUINT_TO_POINTER(session->pid), session);
	return session;
}

void sdb_session_free(void *data)
{
	sdb_session_t *session = data;
	sdb_server_t *server = session->server;

	ev_io_stop(server->loop, &session->read_watcher);
	ev_io_stop(server->loop, &session->write_watcher);
	ev_timer_stop(server->loop, &session->delay_timer);
	sdb_run_release(session);
	query_clear(session);
	g_hash_table_destroy(session->portals);
	g_hash_table_destroy(session->statements);
	sdb_transaction_rollback(session);
	sdb_server_remove_waiter(server, session->pid);
	ev_timer_stop(server->loop, &session->timer);
	if (session->counts_as_caller)
		server->caller_count--;
	if (session->db)
		sqlite3_close_v2(session->db);
	sdb_transaction_clear(&session->transaction);
	g_hash_table_destroy(session->parameters);
	jh_v3_reader_clear(&session->reader);
	g_byte_array_free(session->out, TRUE);
	g_byte_array_free(session->send_buffer, TRUE);
	g_queue_clear_full(&session->delayed, delayed_response_free);
	close(session->fd);
	g_free(session);
}
