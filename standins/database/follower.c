/*
 * A replica's connection to its primary, over which it fetches log entries by long polling: the
 * primary withholds its reply until there is something new. While connected, one request is
 * always pending, and the next one, sent as soon as a reply has been applied, reports the new end
 * of the replica's log to the primary.
 */

#include "server.h"

#include "jh_v3.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* The primary withholds its reply for at most this time. An empty reply serves as a heartbeat. */
#define FETCH_WAIT_MS 50

/* The replica reconnects if the primary has not replied for this long. */
#define REPLY_TIMEOUT_S 1.0

#define RECONNECT_S 0.03
#define READ_BYTES 65536

struct sdb_follower {
	sdb_server_t *server;
	/* Name of the primary at the other end; NULL while there is no connection. */
	char *primary;
	uint64_t promised_term;
	int fd;
	ev_io readable;
	ev_io writable;
	ev_timer timer;
	jh_v3_reader_t reader;
	GByteArray *out;
	int64_t request_sent_us;
	bool has_reply;
	sdb_fetch_reply_t reply;
};

/* ---- connection ---- */

static void follower_close(sdb_follower_t *follower)
{
	struct ev_loop *loop = follower->server->loop;

	if (!follower->primary)
		return;
	ev_io_stop(loop, &follower->readable);
	ev_io_stop(loop, &follower->writable);
	close(follower->fd);
	jh_v3_reader_clear(&follower->reader);
	g_byte_array_set_size(follower->out, 0);
	sdb_fetch_reply_clear(&follower->reply);
	follower->has_reply = false;
	g_clear_pointer(&follower->primary, g_free);
}

static void timer_restart(sdb_follower_t *follower, double seconds)
{
	ev_timer_stop(follower->server->loop, &follower->timer);
	ev_timer_set(&follower->timer, seconds, 0);
	ev_timer_start(follower->server->loop, &follower->timer);
}

static void follower_reconnect_later(sdb_follower_t *follower)
{
	follower_close(follower);
	timer_restart(follower, RECONNECT_S);
}

static const jh_address_t *member_address_find(const sdb_options_t *options, const char *member)
{
	unsigned i;

	for (i = 0; i < options->members->len; i++) {
		if (g_str_equal(g_ptr_array_index(options->members, i), member))
			return &g_array_index(options->addresses, jh_address_t, i);
	}
	return NULL;
}

/* Starts to connect. After an immediate failure it retries after RECONNECT_S. */
static void follower_connect(sdb_follower_t *follower, const char *primary)
{
	const char *parameters[] = { "user", "replication", "replication_member",
				     follower->server->member->name, NULL };
	const jh_address_t *address = member_address_find(follower->server->options, primary);
	struct sockaddr_in in = { .sin_family = AF_INET };
	const int on = 1;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	if (fd < 0 || !address || inet_pton(AF_INET, address->host, &in.sin_addr) != 1)
		goto error;
	in.sin_port = htons(address->port);
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	if (connect(fd, (struct sockaddr *)&in, sizeof(in)) < 0 && errno != EINPROGRESS)
		goto error;
	follower->fd = fd;
	follower->primary = g_strdup(primary);
	follower->promised_term = follower->server->member->promised_term;
	jh_v3_reader_init(&follower->reader, 0, 0);
	follower->reader.startup = false;
	jh_v3_write_startup(follower->out, parameters);
	ev_io_set(&follower->readable, fd, EV_READ);
	ev_io_set(&follower->writable, fd, EV_WRITE);
	ev_io_start(follower->server->loop, &follower->readable);
	ev_io_start(follower->server->loop, &follower->writable);
	timer_restart(follower, REPLY_TIMEOUT_S);
	return;
error:
	if (fd >= 0)
		close(fd);
	timer_restart(follower, RECONNECT_S);
}

void sdb_follower_update(sdb_follower_t *follower)
{
	const sdb_member_t *member = follower->server->member;
	const char *primary = member->role == SDB_REPLICA ? member->primary : NULL;

	if (primary && sdb_server_is_partitioned_from(follower->server, primary))
		primary = NULL;
	/* A reply on the way on this connection may come from a primary that was replaced. */
	if (follower->primary && (g_strcmp0(primary, follower->primary) != 0 ||
				  follower->promised_term != member->promised_term))
		follower_close(follower);
	if (primary && !follower->primary)
		follower_connect(follower, primary);
}

/* ---- requests and replies ---- */

static void fetch_request_send(sdb_follower_t *follower)
{
	const sdb_member_t *member = follower->server->member;
	jh_position_t log_end = sdb_member_log_end(member);
	char *sql = g_strdup_printf("SELECT * FROM group_fetch('%s', %" G_GUINT64_FORMAT
				    ", %" G_GUINT64_FORMAT ", %" G_GUINT64_FORMAT ", %d)",
				    member->name, log_end.term, log_end.index, member->commit_index,
				    FETCH_WAIT_MS);

	jh_v3_write_query(follower->out, sql);
	g_free(sql);
	follower->request_sent_us = g_get_monotonic_time();
	ev_io_start(follower->server->loop, &follower->writable);
	timer_restart(follower, REPLY_TIMEOUT_S);
}

/* Parses the numbers of a reply, as fetch_reply_write() in group.c writes them. */
static bool reply_parse_header(sdb_follower_t *follower, const jh_v3_value_t *value)
{
	sdb_fetch_reply_t *reply = &follower->reply;
	char *text = g_strndup((const char *)value->data, value->length);
	char **fields = g_strsplit(text, " ", -1);
	bool is_complete = g_strv_length(fields) == 6;

	if (is_complete) {
		*reply = (sdb_fetch_reply_t){
			.term = g_ascii_strtoull(fields[0], NULL, 10),
			.log_matches = g_str_equal(fields[1], "1"),
			.prev_index = g_ascii_strtoull(fields[2], NULL, 10),
			.entries = sdb_log_entries_new(),
			.end = g_ascii_strtoull(fields[3], NULL, 10),
			.commit_index = g_ascii_strtoull(fields[4], NULL, 10),
			.waited_us = g_ascii_strtoll(fields[5], NULL, 10),
		};
		follower->has_reply = true;
	}
	g_strfreev(fields);
	g_free(text);
	return is_complete;
}

static bool row_parse_value(jh_v3_cursor_t *cursor, jh_v3_value_t *value)
{
	int32_t length = jh_v3_get_i32(cursor);

	*value = (jh_v3_value_t){ .data = NULL };
	if (length >= 0) {
		value->length = (size_t)length;
		value->data = jh_v3_get_bytes(cursor, value->length);
	}
	return !cursor->failed;
}

/* The first row of a reply has its numbers, each later row one log entry. */
static bool reply_parse_row(sdb_follower_t *follower, const jh_v3_msg_t *msg)
{
	jh_v3_cursor_t cursor = jh_v3_cursor(msg);
	jh_v3_value_t first_value;
	jh_v3_value_t payload;
	GBytes *bytes = NULL;
	char *term;

	jh_v3_get_i16(&cursor);
	if (!row_parse_value(&cursor, &first_value) || !first_value.data)
		return false;
	if (!follower->has_reply)
		return reply_parse_header(follower, &first_value);
	if (!row_parse_value(&cursor, &payload))
		return false;
	if (payload.data)
		bytes = g_bytes_new(payload.data, payload.length);
	term = g_strndup((const char *)first_value.data, first_value.length);
	g_ptr_array_add(follower->reply.entries,
			sdb_log_entry_new(g_ascii_strtoull(term, NULL, 10), bytes, 0));
	g_free(term);
	return true;
}

/* Return: false if the connection was closed */
static bool reply_apply(sdb_follower_t *follower)
{
	sdb_server_t *server = follower->server;
	bool is_applied = sdb_member_apply_reply(server->member, &follower->reply,
						 follower->request_sent_us, g_get_monotonic_time());

	sdb_fetch_reply_clear(&follower->reply);
	follower->has_reply = false;
	if (!is_applied) {
		follower_reconnect_later(follower);
		return false;
	}
	follower->promised_term = server->member->promised_term;
	sdb_server_refresh(server);
	return follower->primary != NULL;
}

/* Return: false if the connection was closed because of the message */
static bool message_handle(sdb_follower_t *follower, const jh_v3_msg_t *msg)
{
	if (msg->type == JH_V3_ERROR_RESPONSE ||
	    (msg->type == JH_V3_DATA_ROW && !reply_parse_row(follower, msg))) {
		follower_reconnect_later(follower);
		return false;
	}
	if (msg->type != JH_V3_READY_FOR_QUERY)
		return true;
	if (follower->has_reply && !reply_apply(follower))
		return false;
	fetch_request_send(follower);
	return true;
}

/* ---- events ---- */

static void on_readable(struct ev_loop *loop, ev_io *watcher, int events)
{
	sdb_follower_t *follower = watcher->data;
	static uint8_t bytes[READ_BYTES];
	ssize_t count = read(follower->fd, bytes, sizeof(bytes));
	jh_error_t err = JH_ERROR_INIT;
	jh_v3_msg_t msg;
	int result;

	(void)loop;
	(void)events;
	if (count < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (count <= 0) {
		follower_reconnect_later(follower);
		return;
	}
	jh_v3_reader_push(&follower->reader, bytes, (size_t)count);
	while ((result = jh_v3_reader_next(&follower->reader, &msg, &err)) > 0) {
		if (!message_handle(follower, &msg))
			break;
	}
	if (result < 0)
		follower_reconnect_later(follower);
	jh_error_clear(&err);
}

static void on_writable(struct ev_loop *loop, ev_io *watcher, int events)
{
	sdb_follower_t *follower = watcher->data;
	ssize_t sent = write(follower->fd, follower->out->data, follower->out->len);

	(void)events;
	if (sent < 0 && errno != EAGAIN && errno != EINTR) {
		follower_reconnect_later(follower);
		return;
	}
	if (sent > 0)
		g_byte_array_remove_range(follower->out, 0, (guint)sent);
	if (follower->out->len == 0)
		ev_io_stop(loop, &follower->writable);
}

/* The reply timed out, or the delay before a reconnect has passed. */
static void on_timer(struct ev_loop *loop, ev_timer *watcher, int events)
{
	sdb_follower_t *follower = watcher->data;

	(void)loop;
	(void)events;
	follower_close(follower);
	sdb_follower_update(follower);
}

/* ---- construction ---- */

sdb_follower_t *sdb_follower_new(sdb_server_t *server)
{
	sdb_follower_t *follower = g_new0(sdb_follower_t, 1);

	follower->server = server;
	follower->out = g_byte_array_new();
	ev_init(&follower->readable, on_readable);
	ev_init(&follower->writable, on_writable);
	ev_init(&follower->timer, on_timer);
	follower->readable.data = follower;
	follower->writable.data = follower;
	follower->timer.data = follower;
	return follower;
}

void sdb_follower_free(sdb_follower_t *follower)
{
	follower_close(follower);
	ev_timer_stop(follower->server->loop, &follower->timer);
	g_byte_array_free(follower->out, TRUE);
	g_free(follower);
}
