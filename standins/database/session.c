#include "session.h"

#include <errno.h>
#include <string.h>
#include <sys/random.h>
#include <unistd.h>

#define READ_BYTES 65536

/* While a statement runs, this much of what follows it is read ahead. */
#define READ_AHEAD_BYTES (1024u * 1024)

typedef struct delayed {
	GByteArray *bytes;
	int64_t due_us;
} delayed_t;

/* ---- output ---- */

static void delayed_free(gpointer data)
{
	delayed_t *delayed = data;

	if (delayed->bytes)
		g_byte_array_free(delayed->bytes, TRUE);
	g_free(delayed);
}

static void delay_arm(sdb_session_t *session)
{
	const delayed_t *first = g_queue_peek_head(&session->delayed);
	int64_t wait_us;

	ev_timer_stop(session->server->loop, &session->delay);
	if (!first)
		return;
	wait_us = MAX(first->due_us - g_get_monotonic_time(), 0);
	ev_timer_set(&session->delay, (double)wait_us / G_USEC_PER_SEC, 0);
	ev_timer_start(session->server->loop, &session->delay);
}

/* Pass answers on to the socket, at once or after the network delay. */
static void output_release(sdb_session_t *session)
{
	int64_t now_us = g_get_monotonic_time();
	delayed_t *delayed;

	if (session->out->len > 0) {
		delayed = g_new0(delayed_t, 1);
		delayed->bytes = session->out;
		delayed->due_us = now_us + (int64_t)session->server->options->delay_ms * 1000;
		session->out = g_byte_array_new();
		g_queue_push_tail(&session->delayed, delayed);
	}
	while ((delayed = g_queue_peek_head(&session->delayed)) && delayed->due_us <= now_us) {
		g_queue_pop_head(&session->delayed);
		g_byte_array_append(session->wire, delayed->bytes->data, delayed->bytes->len);
		delayed_free(delayed);
	}
	delay_arm(session);
}

/* Return: false if the connection is broken. */
static bool output_send(sdb_session_t *session)
{
	ssize_t sent = 0;

	if (session->wire->len > 0)
		sent = write(session->fd, session->wire->data, session->wire->len);
	if (sent < 0 && errno != EAGAIN && errno != EINTR)
		return false;
	if (sent > 0)
		g_byte_array_remove_range(session->wire, 0, (guint)sent);
	if (session->wire->len > 0)
		ev_io_start(session->server->loop, &session->writable);
	else
		ev_io_stop(session->server->loop, &session->writable);
	return true;
}

static bool output_is_empty(const sdb_session_t *session)
{
	return session->out->len == 0 && session->wire->len == 0 &&
	       g_queue_is_empty((GQueue *)&session->delayed);
}

/* ---- end of an answer ---- */

static void position_tell(sdb_session_t *session)
{
	const sdb_member_t *member = session->server->member;
	jh_position_t applied = sdb_member_position(member, member->applied);
	bool newer = jh_position_compare(applied, session->told) > 0;

	if (!session->moved && !(newer && member->role == SDB_REPLICA))
		return;
	jh_v3_write_parameter_status(session->out, "group_position", sdb_position_format(applied));
	session->told = applied;
	session->moved = false;
}

/*
 * in_hot_standby tells what the answer just given was read from: "on" only if the member was a
 * replica from the first statement of the transaction on.
 */
static void role_tell(sdb_session_t *session)
{
	bool primary = session->ran_on_primary || session->server->member->role == SDB_PRIMARY;

	sdb_parameters_set_standby(session, !primary);
	if (session->transaction.block == 'I')
		session->ran_on_primary = false;
}

static void answer_end(sdb_session_t *session)
{
	if (session->transaction.block == 'I') {
		g_hash_table_remove_all(session->portals);
		if (sdb_transaction_commit(session) == SDB_FAILED)
			sdb_transaction_fail(session);
	}
	position_tell(session);
	role_tell(session);
	jh_v3_write_ready_for_query(session->out, session->transaction.block);
}

static void query_drop(sdb_session_t *session)
{
	g_clear_pointer(&session->query, g_free);
	g_clear_pointer(&session->simple, sdb_portal_free);
}

/* An error was written: end the simple query, or skip to the next Sync. */
static void answer_fail(sdb_session_t *session)
{
	bool simple = session->query != NULL;

	sdb_run_drop(session);
	query_drop(session);
	sdb_transaction_fail(session);
	if (simple)
		answer_end(session);
	else
		session->skip_until_sync = true;
}

static void run_finish(sdb_session_t *session, sdb_progress_t progress)
{
	if (progress == SDB_FAILED) {
		answer_fail(session);
		return;
	}
	sdb_run_drop(session);
	g_clear_pointer(&session->simple, sdb_portal_free);
}

/* ---- simple query ---- */

static void query_next(sdb_session_t *session)
{
	sdb_statement_t *statement;
	sdb_sql_t *sql;
	size_t used;

	if (session->query[session->query_at] == '\0') {
		if (!session->query_ran)
			jh_v3_write_empty_message(session->out, JH_V3_EMPTY_QUERY_RESPONSE);
		query_drop(session);
		answer_end(session);
		return;
	}
	sql = sdb_sql_read(session->query + session->query_at, &used);
	session->query_at += used;
	if (sql->kind == SDB_SQL_EMPTY) {
		sdb_sql_free(sql);
		return;
	}
	session->query_ran = true;
	statement = sdb_statement_new(session, sql, g_array_new(FALSE, TRUE, sizeof(uint32_t)));
	if (!statement) {
		answer_fail(session);
		return;
	}
	session->simple = sdb_portal_new(statement, NULL, NULL);
	sdb_run_start(session, session->simple, true, 0);
}

static int on_query(sdb_session_t *session, const jh_v3_msg_t *msg, jh_error_t *err)
{
	const char *text = jh_v3_string_read(msg, err);

	if (!text)
		return -1;
	g_hash_table_remove(session->statements, "");
	g_hash_table_remove(session->portals, "");
	session->query = g_strdup(text);
	session->query_at = 0;
	session->query_ran = false;
	return 0;
}

/* ---- extended query ---- */

static int on_parse(sdb_session_t *session, const jh_v3_msg_t *msg, jh_error_t *err)
{
	sdb_statement_t *statement;
	jh_v3_parse_t parse;
	sdb_sql_t *sql;
	size_t used;

	if (jh_v3_parse_read(&parse, msg, err) < 0)
		return -1;
	if (*parse.statement && g_hash_table_contains(session->statements, parse.statement)) {
		sdb_error(session, "42P05", "prepared statement \"%s\" already exists",
			  parse.statement);
		answer_fail(session);
		jh_v3_parse_clear(&parse);
		return 0;
	}
	sql = sdb_sql_read(parse.sql, &used);
	statement = sdb_statement_new(session, sql, parse.types);
	if (!statement) {
		answer_fail(session);
		return 0;
	}
	g_hash_table_replace(session->statements, g_strdup(parse.statement), statement);
	jh_v3_write_empty_message(session->out, JH_V3_PARSE_COMPLETE);
	return 0;
}

static GArray *bind_values(sdb_session_t *session, const sdb_statement_t *statement,
			   const jh_v3_bind_t *bind)
{
	GArray *values = g_array_new(FALSE, TRUE, sizeof(sdb_value_t));
	unsigned i;

	g_array_set_clear_func(values, sdb_value_clear);
	for (i = 0; i < bind->values->len; i++) {
		jh_error_t err = JH_ERROR_INIT;
		int16_t format = jh_v3_formats_get(bind->formats, i);
		sdb_value_t value;

		if (sdb_value_decode(&value, g_array_index(statement->types, uint32_t, i), format,
				     &g_array_index(bind->values, jh_v3_value_t, i), &err) < 0) {
			sdb_error(session, format ? "22P03" : "22P02", "%s", err.message);
			jh_error_clear(&err);
			g_array_free(values, TRUE);
			return NULL;
		}
		g_array_append_val(values, value);
	}
	return values;
}

static sdb_progress_t bind_run(sdb_session_t *session, jh_v3_bind_t *bind)
{
	sdb_statement_t *statement = g_hash_table_lookup(session->statements, bind->statement);
	GArray *values;

	if (!statement)
		return sdb_error(session, "26000", "prepared statement \"%s\" does not exist",
				 bind->statement);
	if (bind->values->len != statement->types->len)
		return sdb_error(session, "08P01",
				 "bind message supplies %u parameters, but the statement has %u",
				 bind->values->len, statement->types->len);
	if (*bind->portal && g_hash_table_contains(session->portals, bind->portal))
		return sdb_error(session, "42P03", "portal \"%s\" already exists", bind->portal);
	values = bind_values(session, statement, bind);
	if (!values)
		return SDB_FAILED;
	g_hash_table_replace(session->portals, g_strdup(bind->portal),
			     sdb_portal_new(g_rc_box_acquire(statement), values,
					    g_array_ref(bind->result_formats)));
	jh_v3_write_empty_message(session->out, JH_V3_BIND_COMPLETE);
	return SDB_DONE;
}

static int on_bind(sdb_session_t *session, const jh_v3_msg_t *msg, jh_error_t *err)
{
	jh_v3_bind_t bind;

	if (jh_v3_bind_read(&bind, msg, err) < 0)
		return -1;
	if (bind_run(session, &bind) == SDB_FAILED)
		answer_fail(session);
	jh_v3_bind_clear(&bind);
	return 0;
}

static sdb_progress_t describe_run(sdb_session_t *session, const jh_v3_target_t *target)
{
	const sdb_statement_t *statement;
	const sdb_portal_t *portal;

	if (target->kind == 'S') {
		statement = g_hash_table_lookup(session->statements, target->name);
		if (!statement)
			return sdb_error(session, "26000",
					 "prepared statement \"%s\" does not exist", target->name);
		jh_v3_write_parameter_description(session->out,
						  (const uint32_t *)(void *)statement->types->data,
						  statement->types->len);
		sdb_describe(session, statement, NULL);
		return SDB_DONE;
	}
	portal = g_hash_table_lookup(session->portals, target->name);
	if (!portal)
		return sdb_error(session, "34000", "portal \"%s\" does not exist", target->name);
	sdb_describe(session, portal->statement, portal->formats);
	return SDB_DONE;
}

static int on_describe(sdb_session_t *session, const jh_v3_msg_t *msg, jh_error_t *err)
{
	jh_v3_target_t target;

	if (jh_v3_target_read(&target, msg, err) < 0)
		return -1;
	if (describe_run(session, &target) == SDB_FAILED)
		answer_fail(session);
	return 0;
}

static int on_execute(sdb_session_t *session, const jh_v3_msg_t *msg, jh_error_t *err)
{
	jh_v3_execute_t execute;
	sdb_portal_t *portal;

	if (jh_v3_execute_read(&execute, msg, err) < 0)
		return -1;
	portal = g_hash_table_lookup(session->portals, execute.portal);
	if (!portal) {
		sdb_error(session, "34000", "portal \"%s\" does not exist", execute.portal);
		answer_fail(session);
		return 0;
	}
	sdb_run_start(session, portal, false, execute.max_rows);
	return 0;
}

static int on_close(sdb_session_t *session, const jh_v3_msg_t *msg, jh_error_t *err)
{
	jh_v3_target_t target;

	if (jh_v3_target_read(&target, msg, err) < 0)
		return -1;
	g_hash_table_remove(target.kind == 'S' ? session->statements : session->portals,
			    target.name);
	jh_v3_write_empty_message(session->out, JH_V3_CLOSE_COMPLETE);
	return 0;
}

static int on_sync(sdb_session_t *session, const jh_v3_msg_t *msg, jh_error_t *err)
{
	(void)msg;
	(void)err;
	session->skip_until_sync = false;
	answer_end(session);
	return 0;
}

static int on_nothing(sdb_session_t *session, const jh_v3_msg_t *msg, jh_error_t *err)
{
	(void)session;
	(void)msg;
	(void)err;
	return 0;
}

static int on_terminate(sdb_session_t *session, const jh_v3_msg_t *msg, jh_error_t *err)
{
	(void)msg;
	(void)err;
	session->phase = SDB_PHASE_CLOSING;
	return 0;
}

static int on_function_call(sdb_session_t *session, const jh_v3_msg_t *msg, jh_error_t *err)
{
	(void)msg;
	(void)err;
	sdb_error(session, "0A000", "the function call message is not supported");
	sdb_transaction_fail(session);
	answer_end(session);
	return 0;
}

static const struct {
	uint8_t type;
	int (*handle)(sdb_session_t *session, const jh_v3_msg_t *msg, jh_error_t *err);
} handlers[] = {
	{ JH_V3_QUERY, on_query },
	{ JH_V3_PARSE, on_parse },
	{ JH_V3_BIND, on_bind },
	{ JH_V3_DESCRIBE, on_describe },
	{ JH_V3_EXECUTE, on_execute },
	{ JH_V3_CLOSE, on_close },
	{ JH_V3_SYNC, on_sync },
	{ JH_V3_FLUSH, on_nothing },
	{ JH_V3_COPY_DATA, on_nothing },
	{ JH_V3_COPY_DONE, on_nothing },
	{ JH_V3_COPY_FAIL, on_nothing },
	{ JH_V3_TERMINATE, on_terminate },
	{ JH_V3_FUNCTION_CALL, on_function_call },
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

/* ---- start-up ---- */

static void session_refuse(sdb_session_t *session, const char *sqlstate, const char *message)
{
	const jh_v3_report_t report = { .severity = "FATAL",
					.sqlstate = sqlstate,
					.message = message };

	jh_v3_write_error(session->out, &report);
	session->phase = SDB_PHASE_CLOSING;
}

/* Authentication is done: tell the parameters and be ready. */
static void session_open(sdb_session_t *session)
{
	const sdb_member_t *member = session->server->member;

	session->phase = SDB_PHASE_READY;
	session->told = sdb_member_position(member, member->applied);
	jh_v3_write_auth_ok(session->out);
	sdb_parameters_set_standby(session, member->role == SDB_REPLICA);
	sdb_parameters_report(session);
	jh_v3_write_parameter_status(session->out, "group_position",
				     sdb_position_format(session->told));
	jh_v3_write_backend_key_data(session->out, session->pid, session->secret);
	jh_v3_write_ready_for_query(session->out, 'I');
}

static void session_start(sdb_session_t *session, const jh_v3_startup_t *startup)
{
	sdb_server_t *server = session->server;
	unsigned i;

	for (i = 0; i + 1 < startup->parameters->len; i += 2)
		sdb_parameters_start(session, g_ptr_array_index(startup->parameters, i),
				     g_ptr_array_index(startup->parameters, i + 1));
	session->reader.startup = false;
	session->is_member = jh_v3_startup_find_parameter(startup, "replication_member") != NULL;
	if (session->is_member) {
		session_open(session);
		return;
	}
	if (server->callers >= server->options->connections) {
		session_refuse(session, "53300", "sorry, too many clients already");
		return;
	}
	session->is_counted = true;
	server->callers++;
	session->phase = SDB_PHASE_OPENING;
	ev_timer_stop(server->loop, &session->timer);
	ev_timer_set(&session->timer, server->options->open_ms / 1000.0, 0);
	ev_timer_start(server->loop, &session->timer);
}

static void startup_cancel(sdb_session_t *session, const jh_v3_startup_t *startup)
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
		session_start(session, &startup);
	else if (startup.kind == JH_V3_CANCEL_REQUEST)
		startup_cancel(session, &startup);
	else
		jh_v3_put_u8(session->out, JH_V3_ENCRYPTION_REFUSED);
	jh_v3_startup_clear(&startup);
	return 0;
}

/* ---- turn of a session ---- */

/* Take one message. Return: false if there is none yet. */
static bool session_read(sdb_session_t *session)
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
		session_refuse(session, "08P01", err.message);
	jh_error_clear(&err);
	return result != 0;
}

/* Do one thing. Return: false if it must wait. */
static bool session_step(sdb_session_t *session)
{
	sdb_progress_t progress;

	if (session->phase == SDB_PHASE_OPENING || session->phase == SDB_PHASE_CLOSING)
		return false;
	if (session->run.step != SDB_STEP_NONE) {
		progress = sdb_run_continue(session);
		if (progress == SDB_BLOCKED)
			return false;
		run_finish(session, progress);
		return true;
	}
	if (session->query) {
		query_next(session);
		return true;
	}
	return session_read(session);
}

static void session_end(sdb_session_t *session)
{
	g_hash_table_remove(session->server->sessions, GUINT_TO_POINTER(session->pid));
}

void sdb_session_run(sdb_session_t *session)
{
	while (session_step(session))
		;
	output_release(session);
	if (!output_send(session) ||
	    (session->phase == SDB_PHASE_CLOSING && output_is_empty(session))) {
		session_end(session);
		return;
	}
	if (jh_v3_reader_pending(&session->reader) > READ_AHEAD_BYTES &&
	    session->run.step != SDB_STEP_NONE)
		ev_io_stop(session->server->loop, &session->readable);
	else
		ev_io_start(session->server->loop, &session->readable);
}

void sdb_session_cancel(sdb_session_t *session)
{
	if (session->run.step == SDB_STEP_NONE)
		return;
	session->run.cancelled = true;
	sdb_server_schedule_session(session->server, session->pid);
}

/* ---- events ---- */

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
		session_end(session);
		return;
	}
	jh_v3_reader_push(&session->reader, bytes, (size_t)count);
	sdb_session_run(session);
}

static void on_writable(struct ev_loop *loop, ev_io *watcher, int events)
{
	(void)loop;
	(void)events;
	sdb_session_run(watcher->data);
}

static void on_delay(struct ev_loop *loop, ev_timer *watcher, int events)
{
	(void)loop;
	(void)events;
	sdb_session_run(watcher->data);
}

static void on_timer(struct ev_loop *loop, ev_timer *watcher, int events)
{
	sdb_session_t *session = watcher->data;

	(void)loop;
	(void)events;
	if (session->phase == SDB_PHASE_OPENING)
		session_open(session);
	sdb_session_run(session);
}

/* ---- life ---- */

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
	session->wire = g_byte_array_new();
	g_queue_init(&session->delayed);
	session->parameters = sdb_parameters_new();
	sdb_transaction_init(&session->transaction);
	session->statements =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, sdb_statement_unref);
	session->portals = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, sdb_portal_free);
	ev_io_init(&session->readable, on_readable, fd, EV_READ);
	ev_io_init(&session->writable, on_writable, fd, EV_WRITE);
	ev_init(&session->delay, on_delay);
	ev_init(&session->timer, on_timer);
	session->readable.data = session;
	session->writable.data = session;
	session->delay.data = session;
	session->timer.data = session;
	ev_io_start(server->loop, &session->readable);
	g_hash_table_insert(server->sessions, GUINT_TO_POINTER(session->pid), session);
	return session;
}

void sdb_session_free(void *data)
{
	sdb_session_t *session = data;
	sdb_server_t *server = session->server;

	ev_io_stop(server->loop, &session->readable);
	ev_io_stop(server->loop, &session->writable);
	ev_timer_stop(server->loop, &session->delay);
	sdb_run_drop(session);
	query_drop(session);
	g_hash_table_destroy(session->portals);
	g_hash_table_destroy(session->statements);
	sdb_transaction_rollback(session);
	sdb_server_remove_waiter(server, session->pid);
	ev_timer_stop(server->loop, &session->timer);
	if (session->is_counted)
		server->callers--;
	if (session->db)
		sqlite3_close_v2(session->db);
	sdb_transaction_clear(&session->transaction);
	g_hash_table_destroy(session->parameters);
	jh_v3_reader_clear(&session->reader);
	g_byte_array_free(session->out, TRUE);
	g_byte_array_free(session->wire, TRUE);
	g_queue_clear_full(&session->delayed, delayed_free);
	close(session->fd);
	g_free(session);
}
