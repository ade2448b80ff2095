#ifndef FAKE_DATABASE_H
#define FAKE_DATABASE_H

/* A minimal database on the test's event loop. It supports the few statements that the owner and
 * the tests send, and records them. Some statements ask for a failure: "HANG" gets no reply until
 * it is cancelled, "DIE" closes the connection, and "REFUSE" fails as on a replica. Unknown
 * statements fail. The functions are static: a test program includes this file in one source file.
 */

#include "jh_v3.h"

#include <arpa/inet.h>
#include <ev.h>
#include <glib.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* When the second answer to a statement comes. */
typedef enum fake_repeat {
	/* Together with the first one. */
	FAKE_REPEAT_AT_ONCE,
	/* When the test calls fake_send_kept(), or when the simple query fake->sql_of_repeat has
	 * come on the connection. The answer to that query then waits until a further query has
	 * come. */
	FAKE_REPEAT_LATER,
} fake_repeat_t;

typedef struct fake_database {
	struct ev_loop *loop;
	ev_io accept;
	uint16_t port;
	uint64_t term;
	uint64_t index;
	/* "CONNECTION SQL" for every statement that ran, in order; connections count from 1. */
	GPtrArray *statements;
	GPtrArray *conns;
	unsigned opened_count;
	unsigned cancel_count;
	/* Request id as "team/id" to the stored response, "" if none is stored. */
	GHashTable *stored_responses;
	bool has_id_table;
	/* Sends the parameter in_hot_standby with each response. */
	bool is_replica;
	/* The answer to this simple query comes a second time; NULL if none does. */
	const char *repeated_sql;
	fake_repeat_t repeat;
	const char *sql_of_repeat;
} fake_database_t;

typedef struct fake_conn {
	fake_database_t *fake;
	unsigned number;
	ev_io io;
	jh_v3_reader_t reader;
	GByteArray *out;
	/* 'I', 'T' or 'E', as in ReadyForQuery. */
	char transaction_status;
	bool wrote;
	bool skips_until_sync;
	bool is_hanging;
	bool must_close;
	char *sql;
	char *values[3];
	char *pending_id;
	char *pending_response;
	/* A second answer that was not sent yet, and an answer that waits behind one. */
	GByteArray *kept;
	GByteArray *delayed;
	/* Number of calls of group_watch(). */
	unsigned watches;
} fake_conn_t;

static void fake_conn_free(gpointer data)
{
	fake_conn_t *conn = data;
	unsigned i;

	ev_io_stop(conn->fake->loop, &conn->io);
	close(conn->io.fd);
	jh_v3_reader_clear(&conn->reader);
	g_byte_array_free(conn->out, TRUE);
	g_byte_array_free(conn->kept, TRUE);
	g_byte_array_free(conn->delayed, TRUE);
	for (i = 0; i < G_N_ELEMENTS(conn->values); i++)
		g_free(conn->values[i]);
	g_free(conn->sql);
	g_free(conn->pending_id);
	g_free(conn->pending_response);
	g_free(conn);
}

/* ---- Statements ---- */

static void fake_send_error(fake_conn_t *conn, const char *sqlstate)
{
	const jh_v3_report_t report = { .severity = "ERROR",
					.sqlstate = sqlstate,
					.message = "as asked for" };

	jh_v3_write_error(conn->out, &report);
	if (conn->transaction_status == 'T')
		conn->transaction_status = 'E';
	conn->skips_until_sync = true;
}

static void fake_send_description(fake_conn_t *conn, const char *column)
{
	const jh_v3_field_t field = {
		.name = column, .type = JH_V3_TYPE_INT4, .size = 4, .modifier = -1
	};

	jh_v3_write_row_description(conn->out, &field, 1);
}

static void fake_send_row(fake_conn_t *conn, const char *column, const char *text, bool simple)
{
	const jh_v3_value_t value = { (const uint8_t *)text, text ? strlen(text) : 0 };

	if (simple)
		fake_send_description(conn, column);
	jh_v3_write_data_row(conn->out, &value, 1);
	jh_v3_write_command_complete(conn->out, "SELECT 1");
}

static void fake_end_transaction(fake_conn_t *conn, bool commit)
{
	fake_database_t *fake = conn->fake;
	char *position;

	if (commit && conn->pending_id)
		g_hash_table_replace(fake->stored_responses, g_steal_pointer(&conn->pending_id),
				     conn->pending_response ?
					     g_steal_pointer(&conn->pending_response) :
					     g_strdup(""));
	g_clear_pointer(&conn->pending_id, g_free);
	g_clear_pointer(&conn->pending_response, g_free);
	if (commit && conn->wrote) {
		fake->index++;
		position = g_strdup_printf("%" G_GUINT64_FORMAT "/%" G_GUINT64_FORMAT, fake->term,
					   fake->index);
		jh_v3_write_parameter_status(conn->out, "group_position", position);
		g_free(position);
	}
	conn->wrote = false;
	conn->transaction_status = 'I';
}

static void fake_run_id_statement(fake_conn_t *conn, const char *sql)
{
	char *request_id = g_strconcat(conn->values[0], "/", conn->values[1], NULL);
	const char *response = g_hash_table_lookup(conn->fake->stored_responses, request_id);

	if (!conn->fake->has_id_table) {
		fake_send_error(conn, "42P01");
	} else if (g_str_has_prefix(sql, "INSERT")) {
		jh_v3_write_command_complete(conn->out, response ? "INSERT 0 0" : "INSERT 0 1");
		if (!response)
			conn->pending_id = g_strdup(request_id);
		conn->wrote = conn->wrote || !response;
	} else if (g_str_has_prefix(sql, "UPDATE")) {
		conn->pending_response = g_strdup(conn->values[2]);
		jh_v3_write_command_complete(conn->out, "UPDATE 1");
	} else {
		fake_send_row(conn, "answer", response && *response ? response : NULL, false);
	}
	g_free(request_id);
}

static void fake_run_group_status(fake_conn_t *conn, bool simple)
{
	char *log_end = g_strdup_printf("%" G_GUINT64_FORMAT "/%" G_GUINT64_FORMAT,
					conn->fake->term, conn->fake->index);

	fake_send_row(conn, "held", log_end, simple);
	g_free(log_end);
}

/* The first group_watch() of a connection gets a row, the next ones wait until the fake is freed.
 */
static void fake_run_group_watch(fake_conn_t *conn)
{
	static const char *const names[] = { "version", "role",	   "term",	"promised_term",
					     "held",	"applied", "silent_ms", "age_ms" };
	static const char *const texts[] = { "1", "replica", "5", "5", "5/100", "5/100", "0", "0" };
	jh_v3_field_t fields[G_N_ELEMENTS(names)];
	jh_v3_value_t values[G_N_ELEMENTS(names)];
	unsigned i;

	conn->is_hanging = conn->watches++ > 0;
	if (conn->is_hanging)
		return;
	for (i = 0; i < G_N_ELEMENTS(names); i++) {
		fields[i] = (jh_v3_field_t){
			.name = names[i], .type = JH_V3_TYPE_TEXT, .size = -1, .modifier = -1
		};
		values[i] = (jh_v3_value_t){ (const uint8_t *)texts[i], strlen(texts[i]) };
	}
	jh_v3_write_row_description(conn->out, fields, G_N_ELEMENTS(names));
	jh_v3_write_data_row(conn->out, values, G_N_ELEMENTS(names));
	jh_v3_write_command_complete(conn->out, "SELECT 1");
}

/* Sends the result of "SELECT large": 512 rows of 16 KiB, 8 MiB in total. */
static void fake_send_large_result(fake_conn_t *conn)
{
	char *text = g_strnfill(16384, 'x');
	const jh_v3_value_t value = { (const uint8_t *)text, 16384 };
	unsigned i;

	fake_send_description(conn, "x");
	for (i = 0; i < 512; i++)
		jh_v3_write_data_row(conn->out, &value, 1);
	jh_v3_write_command_complete(conn->out, "SELECT 512");
	g_free(text);
}

static void fake_run_insert(fake_conn_t *conn)
{
	conn->wrote = true;
	jh_v3_write_command_complete(conn->out, "INSERT 0 1");
}

static void fake_run_statement(fake_conn_t *conn, const char *sql, bool simple)
{
	g_ptr_array_add(conn->fake->statements, g_strdup_printf("%u %s", conn->number, sql));
	if (conn->transaction_status == 'E' && !g_str_equal(sql, "ROLLBACK")) {
		fake_send_error(conn, "25P02");
	} else if (strstr(sql, "jasminehill_requests") && g_str_has_prefix(sql, "CREATE")) {
		conn->fake->has_id_table = true;
		conn->wrote = true;
		jh_v3_write_command_complete(conn->out, "CREATE TABLE");
	} else if (strstr(sql, "jasminehill_requests")) {
		fake_run_id_statement(conn, sql);
	} else if (strstr(sql, "group_watch")) {
		fake_run_group_watch(conn);
	} else if (strstr(sql, "group_status")) {
		fake_run_group_status(conn, simple);
	} else if (g_str_equal(sql, "BEGIN")) {
		conn->transaction_status = 'T';
		jh_v3_write_command_complete(conn->out, sql);
	} else if (g_str_equal(sql, "COMMIT") || g_str_equal(sql, "ROLLBACK")) {
		fake_end_transaction(conn, *sql == 'C');
		jh_v3_write_command_complete(conn->out, sql);
	} else if (g_str_has_prefix(sql, "SET") || g_str_equal(sql, "DISCARD ALL")) {
		jh_v3_write_command_complete(conn->out, *sql == 'S' ? "SET" : sql);
	} else if (g_str_has_prefix(sql, "INSERT")) {
		fake_run_insert(conn);
	} else if (g_str_equal(sql, "SELECT large")) {
		fake_send_large_result(conn);
	} else if (g_str_has_prefix(sql, "SELECT")) {
		fake_send_row(conn, "x", g_ascii_isdigit(sql[7]) ? sql + 7 : "7", simple);
	} else if (g_str_equal(sql, "HANG")) {
		conn->is_hanging = true;
	} else if (g_str_equal(sql, "DIE")) {
		conn->must_close = true;
	} else {
		fake_send_error(conn, g_str_equal(sql, "REFUSE") ? "25006" : "22012");
	}
}

static void fake_send_ready(fake_conn_t *conn)
{
	conn->skips_until_sync = false;
	if (conn->transaction_status == 'I')
		fake_end_transaction(conn, true);
	if (conn->fake->is_replica)
		jh_v3_write_parameter_status(conn->out, "in_hot_standby", "on");
	jh_v3_write_ready_for_query(conn->out, conn->transaction_status);
}

/* ---- Messages ---- */

static void fake_handle_bind(fake_conn_t *conn, const jh_v3_msg_t *msg)
{
	jh_error_t err = JH_ERROR_INIT;
	jh_v3_bind_t bind;
	unsigned i;

	if (jh_v3_bind_read(&bind, msg, &err) < 0)
		return;
	for (i = 0; i < bind.values->len && i < G_N_ELEMENTS(conn->values); i++) {
		const jh_v3_value_t *value = &g_array_index(bind.values, jh_v3_value_t, i);

		g_free(conn->values[i]);
		conn->values[i] = g_strndup((const char *)value->data, value->length);
	}
	jh_v3_bind_clear(&bind);
	jh_v3_write_empty_message(conn->out, JH_V3_BIND_COMPLETE);
}

static void fake_handle_extended_query(fake_conn_t *conn, const jh_v3_msg_t *msg)
{
	jh_v3_cursor_t cursor = jh_v3_cursor(msg);
	uint8_t kind;

	if (msg->type == JH_V3_PARSE) {
		(void)jh_v3_get_string(&cursor);
		g_free(conn->sql);
		conn->sql = g_strdup(jh_v3_get_string(&cursor));
		jh_v3_write_empty_message(conn->out, JH_V3_PARSE_COMPLETE);
	} else if (msg->type == JH_V3_BIND) {
		fake_handle_bind(conn, msg);
	} else if (msg->type == JH_V3_DESCRIBE) {
		kind = jh_v3_get_u8(&cursor);
		if (kind == 'S')
			jh_v3_write_parameter_description(conn->out, NULL, 0);
		if (g_str_has_prefix(conn->sql, "SELECT"))
			fake_send_description(conn, "x");
		else
			jh_v3_write_empty_message(conn->out, JH_V3_NO_DATA);
	} else if (msg->type == JH_V3_EXECUTE) {
		fake_run_statement(conn, conn->sql, false);
	}
}

static void fake_flush(fake_conn_t *conn);

static void fake_handle_startup(fake_conn_t *conn, const jh_v3_msg_t *msg)
{
	jh_error_t err = JH_ERROR_INIT;
	jh_v3_startup_t startup;
	fake_conn_t *target;
	unsigned i;

	if (jh_v3_startup_parse(&startup, msg, &err) < 0)
		return;
	if (startup.kind == JH_V3_CANCEL_REQUEST) {
		conn->fake->cancel_count++;
		conn->must_close = true;
		for (i = 0; i < conn->fake->conns->len; i++) {
			target = g_ptr_array_index(conn->fake->conns, i);
			if (target->number != startup.pid || startup.secret != 1000 + startup.pid ||
			    !target->is_hanging)
				continue;
			target->is_hanging = false;
			fake_send_error(target, "57014");
			fake_send_ready(target);
			fake_flush(target);
		}
		return;
	}
	conn->reader.startup = false;
	jh_v3_write_auth_ok(conn->out);
	jh_v3_write_parameter_status(conn->out, "group_position", "0/0");
	jh_v3_write_backend_key_data(conn->out, conn->number, 1000 + conn->number);
	jh_v3_write_ready_for_query(conn->out, 'I');
	jh_v3_startup_clear(&startup);
}

/* Appends all bytes of @from from @offset on to @to, and removes them if @moves is set. */
static void fake_transfer(GByteArray *to, GByteArray *from, guint offset, bool moves)
{
	g_byte_array_append(to, from->data + offset, from->len - offset);
	if (moves)
		g_byte_array_set_size(from, offset);
}

/* Applies fake->repeat to the answer to @sql, the bytes of conn->out from @start on. */
static void fake_repeat_answer(fake_conn_t *conn, const char *sql, guint start)
{
	const fake_database_t *fake = conn->fake;
	GByteArray *copy = g_byte_array_new();

	fake_transfer(copy, conn->out, start, false);
	if (conn->kept->len > 0 && g_strcmp0(fake->sql_of_repeat, sql) == 0) {
		fake_transfer(conn->delayed, conn->out, start, true);
		fake_transfer(conn->out, conn->kept, 0, true);
	} else if (g_strcmp0(fake->repeated_sql, sql) == 0) {
		fake_transfer(fake->repeat == FAKE_REPEAT_LATER ? conn->kept : conn->out, copy, 0,
			      false);
	}
	g_byte_array_free(copy, TRUE);
}

/* Runs the statements of a simple query, which "; " separates. */
static void fake_handle_query(fake_conn_t *conn, const char *text)
{
	char **statements = g_strsplit(text, "; ", 0);
	guint start;
	unsigned i;

	fake_transfer(conn->out, conn->delayed, 0, true);
	start = conn->out->len;
	for (i = 0; statements[i] && !conn->is_hanging && !conn->must_close &&
		    !(i > 0 && conn->skips_until_sync);
	     i++)
		fake_run_statement(conn, statements[i], true);
	if (!conn->is_hanging) {
		fake_send_ready(conn);
		fake_repeat_answer(conn, text, start);
	}
	g_strfreev(statements);
}

static void fake_handle_message(fake_conn_t *conn, const jh_v3_msg_t *msg)
{
	jh_error_t err = JH_ERROR_INIT;

	if (msg->type == 0)
		fake_handle_startup(conn, msg);
	else if (msg->type == JH_V3_QUERY) {
		fake_handle_query(conn, jh_v3_string_read(msg, &err));
	} else if (msg->type == JH_V3_SYNC)
		fake_send_ready(conn);
	else if (msg->type == JH_V3_TERMINATE)
		conn->must_close = true;
	else if (!conn->skips_until_sync)
		fake_handle_extended_query(conn, msg);
}

static void fake_flush(fake_conn_t *conn)
{
	ssize_t count =
		send(conn->io.fd, conn->out->data, conn->out->len, MSG_NOSIGNAL | MSG_DONTWAIT);

	if (count > 0)
		g_byte_array_remove_range(conn->out, 0, (guint)count);
	ev_io_stop(conn->fake->loop, &conn->io);
	ev_io_set(&conn->io, conn->io.fd, conn->out->len > 0 ? EV_READ | EV_WRITE : EV_READ);
	ev_io_start(conn->fake->loop, &conn->io);
}

static void fake_on_io(struct ev_loop *loop, ev_io *watcher, int events)
{
	fake_conn_t *conn = watcher->data;
	jh_error_t err = JH_ERROR_INIT;
	uint8_t bytes[8192];
	jh_v3_msg_t msg;
	ssize_t count = -1;

	(void)loop;
	if (events & EV_READ) {
		count = recv(watcher->fd, bytes, sizeof(bytes), MSG_DONTWAIT);
		if (count == 0)
			conn->must_close = true;
	}
	if (count > 0)
		jh_v3_reader_push(&conn->reader, bytes, (size_t)count);
	while (!conn->must_close && jh_v3_reader_next(&conn->reader, &msg, &err) > 0)
		fake_handle_message(conn, &msg);
	if (conn->must_close)
		g_ptr_array_remove(conn->fake->conns, conn);
	else
		fake_flush(conn);
}

static void fake_on_accept(struct ev_loop *loop, ev_io *watcher, int events)
{
	fake_database_t *fake = watcher->data;
	fake_conn_t *conn;
	int fd = accept(watcher->fd, NULL, NULL);
	int no_delay = 1;

	(void)events;
	if (fd < 0)
		return;
	/* A second answer must not wait until the first one is acknowledged. */
	(void)setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &no_delay, sizeof(no_delay));
	conn = g_new0(fake_conn_t, 1);
	conn->fake = fake;
	conn->number = ++fake->opened_count;
	conn->transaction_status = 'I';
	conn->out = g_byte_array_new();
	conn->kept = g_byte_array_new();
	conn->delayed = g_byte_array_new();
	jh_v3_reader_init(&conn->reader, 0, 0);
	ev_io_init(&conn->io, fake_on_io, fd, EV_READ);
	conn->io.data = conn;
	ev_io_start(loop, &conn->io);
	g_ptr_array_add(fake->conns, conn);
}

/* ---- Making, freeing and inspecting the database ---- */

static fake_database_t *fake_new(struct ev_loop *loop)
{
	struct sockaddr_in address = { .sin_family = AF_INET };
	socklen_t length = sizeof(address);
	fake_database_t *fake = g_new0(fake_database_t, 1);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	if (bind(fd, (struct sockaddr *)&address, sizeof(address)) < 0 || listen(fd, 64) < 0 ||
	    getsockname(fd, (struct sockaddr *)&address, &length) < 0)
		g_error("the fake database can't listen");
	fake->loop = loop;
	fake->port = ntohs(address.sin_port);
	fake->term = 5;
	fake->index = 100;
	fake->statements = g_ptr_array_new_with_free_func(g_free);
	fake->conns = g_ptr_array_new_with_free_func(fake_conn_free);
	fake->stored_responses = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	ev_io_init(&fake->accept, fake_on_accept, fd, EV_READ);
	fake->accept.data = fake;
	ev_io_start(loop, &fake->accept);
	return fake;
}

static inline void fake_free(fake_database_t *fake)
{
	ev_io_stop(fake->loop, &fake->accept);
	close(fake->accept.fd);
	g_ptr_array_free(fake->conns, TRUE);
	g_ptr_array_free(fake->statements, TRUE);
	g_hash_table_destroy(fake->stored_responses);
	g_free(fake);
}

/* Sends the second answers that were kept. */
static inline void fake_send_kept(fake_database_t *fake)
{
	unsigned i;

	for (i = 0; i < fake->conns->len; i++) {
		fake_conn_t *conn = g_ptr_array_index(fake->conns, i);

		fake_transfer(conn->out, conn->kept, 0, true);
		fake_flush(conn);
	}
}

/* Return: number of times that @sql ran */
static inline unsigned fake_count_runs(const fake_database_t *fake, const char *sql)
{
	unsigned count = 0;
	unsigned i;

	for (i = 0; i < fake->statements->len; i++)
		count += g_str_equal(strchr(g_ptr_array_index(fake->statements, i), ' ') + 1, sql);
	return count;
}

/* Return: number of the connection that most recently ran @sql, 0 if none did */
static inline unsigned fake_get_last_conn_number(const fake_database_t *fake, const char *sql)
{
	unsigned last_conn = 0;
	unsigned i;

	for (i = 0; i < fake->statements->len; i++) {
		const char *line = g_ptr_array_index(fake->statements, i);

		if (g_str_equal(strchr(line, ' ') + 1, sql))
			last_conn = (unsigned)g_ascii_strtoull(line, NULL, 10);
	}
	return last_conn;
}

#endif
