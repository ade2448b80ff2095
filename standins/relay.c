/*
 * A TCP relay that scenarios place between two programs to inject network faults. Each connection
 * that it accepts is relayed over a new connection to the target.
 *
 * A control connection sends commands, one a line, and receives "ok" or "error ..." for each:
 *   cut       close all connections and refuse new ones
 *   heal      end a cut or a freeze
 *   freeze    keep connections open but relay nothing, like a network that loses every packet
 *   delay MS  relay bytes MS milliseconds after their receipt, in each direction
 *   status    reply "ok connections=N bytes=N state=NAME delay_ms=N"
 */

#include "jh_settings.h"

#include <arpa/inet.h>
#include <errno.h>
#include <ev.h>
#include <netinet/tcp.h>
#include <popt.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/signal.h>
#include <sys/socket.h>
#include <unistd.h>

#define EXIT_BAD_SETTINGS 2
#define LISTEN_BACKLOG 512
#define READ_BYTES 65536

/* Longer control lines are truncated. */
#define LINE_MAX_BYTES 256

/* Reading in a direction pauses while more than this waits to be sent on. */
#define PENDING_MAX_BYTES (4u * 1024 * 1024)

typedef enum relay_state {
	RELAY_OPEN,
	RELAY_CUT,
	RELAY_FROZEN,
} relay_state_t;

static const char *const state_names[] = { "open", "cut", "frozen" };

typedef struct relay {
	struct ev_loop *loop;
	jh_address_t listen;
	jh_address_t target;
	jh_address_t control;
	ev_io accept;
	ev_io accept_control;
	GQueue conn_pairs;
	relay_state_t state;
	int64_t delay_us;
	uint64_t bytes;
} relay_t;

/* Bytes of one read from a socket, and when to send them on. */
typedef struct chunk {
	GBytes *bytes;
	int64_t due_us;
} chunk_t;

/*
 * One direction of a relayed connection. "head_sent_bytes" counts the bytes of the first chunk that
 * have been sent; "source_closed" is set once the source has sent its last byte.
 */
typedef struct stream {
	struct conn_pair *conn_pair;
	int source_fd;
	int dest_fd;
	ev_io readable;
	ev_io writable;
	ev_timer due_timer;
	GQueue chunks;
	size_t pending_bytes;
	size_t head_sent_bytes;
	bool source_closed;
} stream_t;

/* A relayed connection: the accepted socket and the socket to the target. */
typedef struct conn_pair {
	relay_t *relay;
	stream_t streams[2];
} conn_pair_t;

/* ---- relayed connections ---- */

static void chunk_free(gpointer data)
{
	chunk_t *chunk = data;

	g_bytes_unref(chunk->bytes);
	g_free(chunk);
}

static void conn_pair_close(conn_pair_t *conn_pair)
{
	unsigned i;

	for (i = 0; i < G_N_ELEMENTS(conn_pair->streams); i++) {
		stream_t *stream = &conn_pair->streams[i];

		ev_io_stop(conn_pair->relay->loop, &stream->readable);
		ev_io_stop(conn_pair->relay->loop, &stream->writable);
		ev_timer_stop(conn_pair->relay->loop, &stream->due_timer);
		g_queue_clear_full(&stream->chunks, chunk_free);
	}
	close(conn_pair->streams[0].source_fd);
	close(conn_pair->streams[1].source_fd);
	g_queue_remove(&conn_pair->relay->conn_pairs, conn_pair);
	g_free(conn_pair);
}

/* Sends the chunks that are due. Return: false if the destination can no longer be written to */
static bool stream_write_due(stream_t *stream)
{
	chunk_t *chunk;

	while ((chunk = g_queue_peek_head(&stream->chunks)) &&
	       chunk->due_us <= g_get_monotonic_time()) {
		gsize length;
		const uint8_t *data = g_bytes_get_data(chunk->bytes, &length);
		ssize_t count = send(stream->dest_fd, data + stream->head_sent_bytes,
				     length - stream->head_sent_bytes, MSG_NOSIGNAL);

		if (count < 0)
			return errno == EAGAIN || errno == EINTR;
		stream->head_sent_bytes += (size_t)count;
		stream->pending_bytes -= (size_t)count;
		stream->conn_pair->relay->bytes += (uint64_t)count;
		if (stream->head_sent_bytes < length)
			return true;
		stream->head_sent_bytes = 0;
		chunk_free(g_queue_pop_head(&stream->chunks));
	}
	if (stream->source_closed && !chunk)
		shutdown(stream->dest_fd, SHUT_WR);
	return true;
}

/* Starts and stops the watchers according to the state of the relay and of the stream. */
static void stream_update_watchers(stream_t *stream)
{
	const relay_t *relay = stream->conn_pair->relay;
	const chunk_t *chunk = g_queue_peek_head(&stream->chunks);
	bool is_frozen = relay->state == RELAY_FROZEN;
	int64_t wait_us = chunk ? chunk->due_us - g_get_monotonic_time() : 0;

	ev_io_stop(relay->loop, &stream->writable);
	ev_timer_stop(relay->loop, &stream->due_timer);
	if (is_frozen || stream->source_closed || stream->pending_bytes > PENDING_MAX_BYTES)
		ev_io_stop(relay->loop, &stream->readable);
	else
		ev_io_start(relay->loop, &stream->readable);
	if (!chunk || is_frozen)
		return;
	if (wait_us <= 0) {
		ev_io_start(relay->loop, &stream->writable);
		return;
	}
	ev_now_update(relay->loop);
	ev_timer_set(&stream->due_timer, (double)wait_us / G_USEC_PER_SEC, 0);
	ev_timer_start(relay->loop, &stream->due_timer);
}

/*
 * Sends the chunks that are due. Closes both connections, which frees the stream, if they are
 * finished or broken.
 */
static void stream_advance(stream_t *stream)
{
	conn_pair_t *conn_pair = stream->conn_pair;

	if (!stream_write_due(stream) ||
	    (conn_pair->streams[0].source_closed && conn_pair->streams[1].source_closed &&
	     conn_pair->streams[0].pending_bytes + conn_pair->streams[1].pending_bytes == 0)) {
		conn_pair_close(conn_pair);
		return;
	}
	stream_update_watchers(stream);
}

static void on_readable(struct ev_loop *loop, ev_io *watcher, int events)
{
	stream_t *stream = watcher->data;
	static uint8_t bytes[READ_BYTES];
	ssize_t count = recv(stream->source_fd, bytes, sizeof(bytes), 0);
	chunk_t *chunk;

	(void)loop;
	(void)events;
	if (count < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (count < 0) {
		conn_pair_close(stream->conn_pair);
		return;
	}
	if (count == 0) {
		stream->source_closed = true;
	} else {
		chunk = g_new0(chunk_t, 1);
		chunk->bytes = g_bytes_new(bytes, (gsize)count);
		chunk->due_us = g_get_monotonic_time() + stream->conn_pair->relay->delay_us;
		stream->pending_bytes += (size_t)count;
		g_queue_push_tail(&stream->chunks, chunk);
	}
	stream_advance(stream);
}

static void on_writable(struct ev_loop *loop, ev_io *watcher, int events)
{
	(void)loop;
	(void)events;
	stream_advance(watcher->data);
}

static void on_due_timer(struct ev_loop *loop, ev_timer *watcher, int events)
{
	(void)loop;
	(void)events;
	stream_advance(watcher->data);
}

static void stream_init(stream_t *stream, conn_pair_t *conn_pair, int source_fd, int dest_fd)
{
	stream->conn_pair = conn_pair;
	stream->source_fd = source_fd;
	stream->dest_fd = dest_fd;
	ev_io_init(&stream->readable, on_readable, source_fd, EV_READ);
	ev_io_init(&stream->writable, on_writable, dest_fd, EV_WRITE);
	ev_init(&stream->due_timer, on_due_timer);
	stream->readable.data = stream;
	stream->writable.data = stream;
	stream->due_timer.data = stream;
}

/* ---- sockets ---- */

static int sockaddr_fill(struct sockaddr_in *in, const jh_address_t *address)
{
	*in = (struct sockaddr_in){ .sin_family = AF_INET, .sin_port = htons(address->port) };
	return inet_pton(AF_INET, address->host, &in->sin_addr) == 1 ? 0 : -1;
}

static int connect_to(const jh_address_t *address)
{
	struct sockaddr_in in;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	if (fd < 0)
		return -1;
	if (sockaddr_fill(&in, address) < 0 ||
	    (connect(fd, (struct sockaddr *)&in, sizeof(in)) < 0 && errno != EINPROGRESS)) {
		close(fd);
		return -1;
	}
	return fd;
}

static int listen_on(const jh_address_t *address, jh_error_t *err)
{
	struct sockaddr_in in;
	const int on = 1;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (fd < 0 || sockaddr_fill(&in, address) < 0 ||
	    bind(fd, (struct sockaddr *)&in, sizeof(in)) < 0 || listen(fd, LISTEN_BACKLOG) < 0) {
		jh_error_set(err, JH_ERR_SYSTEM, "can't listen on %s:%u: %s", address->host,
			     address->port, g_strerror(errno));
		if (fd >= 0)
			close(fd);
		return -1;
	}
	return fd;
}

static uint16_t socket_port(int fd)
{
	struct sockaddr_in in = { .sin_port = 0 };
	socklen_t length = sizeof(in);

	return getsockname(fd, (struct sockaddr *)&in, &length) < 0 ? 0 : ntohs(in.sin_port);
}

static void on_accept(struct ev_loop *loop, ev_io *watcher, int events)
{
	relay_t *relay = watcher->data;
	int caller = accept4(watcher->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
	int target = caller < 0 || relay->state == RELAY_CUT ? -1 : connect_to(&relay->target);
	const int on = 1;
	conn_pair_t *conn_pair;

	(void)loop;
	(void)events;
	if (target < 0) {
		if (caller >= 0)
			close(caller);
		return;
	}
	setsockopt(caller, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	setsockopt(target, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	conn_pair = g_new0(conn_pair_t, 1);
	conn_pair->relay = relay;
	stream_init(&conn_pair->streams[0], conn_pair, caller, target);
	stream_init(&conn_pair->streams[1], conn_pair, target, caller);
	g_queue_push_tail(&relay->conn_pairs, conn_pair);
	stream_update_watchers(&conn_pair->streams[0]);
	stream_update_watchers(&conn_pair->streams[1]);
}

/* ---- control connections ---- */

typedef struct control {
	relay_t *relay;
	ev_io readable;
	GString *line;
} control_t;

static void relay_set_state(relay_t *relay, relay_state_t state)
{
	GList *node;
	GList *next;

	relay->state = state;
	for (node = relay->conn_pairs.head; node; node = next) {
		conn_pair_t *conn_pair = node->data;

		next = node->next;
		if (state == RELAY_CUT) {
			conn_pair_close(conn_pair);
			continue;
		}
		stream_update_watchers(&conn_pair->streams[0]);
		stream_update_watchers(&conn_pair->streams[1]);
	}
}

static char *command_run(relay_t *relay, const char *line)
{
	char *end;
	gint64 delay_ms;

	if (g_str_equal(line, "cut")) {
		relay_set_state(relay, RELAY_CUT);
	} else if (g_str_equal(line, "heal")) {
		relay_set_state(relay, RELAY_OPEN);
	} else if (g_str_equal(line, "freeze")) {
		relay_set_state(relay, RELAY_FROZEN);
	} else if (g_str_has_prefix(line, "delay ")) {
		delay_ms = g_ascii_strtoll(line + strlen("delay "), &end, 10);
		if (*end || delay_ms < 0)
			return g_strdup("error a delay is a number of milliseconds\n");
		relay->delay_us = delay_ms * 1000;
	} else if (g_str_equal(line, "status")) {
		return g_strdup_printf("ok connections=%u bytes=%" G_GUINT64_FORMAT
				       " state=%s delay_ms=%" G_GINT64_FORMAT "\n",
				       relay->conn_pairs.length, relay->bytes,
				       state_names[relay->state], relay->delay_us / 1000);
	} else {
		return g_strdup("error no such command\n");
	}
	return g_strdup("ok\n");
}

static void control_close(control_t *control)
{
	ev_io_stop(control->relay->loop, &control->readable);
	close(control->readable.fd);
	g_string_free(control->line, TRUE);
	g_free(control);
}

static void control_handle_char(control_t *control, char c)
{
	char *response;

	if (c != '\n') {
		if (c != '\r' && control->line->len < LINE_MAX_BYTES)
			g_string_append_c(control->line, c);
		return;
	}
	response = command_run(control->relay, control->line->str);
	g_string_truncate(control->line, 0);
	if (send(control->readable.fd, response, strlen(response), MSG_NOSIGNAL) < 0)
		fprintf(stderr, "standin_relay: can't send a response to a control command: %s\n",
			g_strerror(errno));
	g_free(response);
}

static void on_control(struct ev_loop *loop, ev_io *watcher, int events)
{
	control_t *control = watcher->data;
	char bytes[LINE_MAX_BYTES];
	ssize_t count = recv(watcher->fd, bytes, sizeof(bytes), 0);
	ssize_t i;

	(void)loop;
	(void)events;
	if (count < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (count <= 0) {
		control_close(control);
		return;
	}
	for (i = 0; i < count; i++)
		control_handle_char(control, bytes[i]);
}

static void on_accept_control(struct ev_loop *loop, ev_io *watcher, int events)
{
	int fd = accept4(watcher->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
	control_t *control;

	(void)events;
	if (fd < 0)
		return;
	control = g_new0(control_t, 1);
	control->relay = watcher->data;
	control->line = g_string_new(NULL);
	ev_io_init(&control->readable, on_control, fd, EV_READ);
	control->readable.data = control;
	ev_io_start(loop, &control->readable);
}

/* ---- program ---- */

static int options_parse(relay_t *relay, int argc, const char **argv, jh_error_t *err)
{
	char *listen = NULL;
	char *target = NULL;
	char *control = NULL;
	const struct poptOption option_table[] = {
		{ "listen", 0, POPT_ARG_STRING, &listen, 0, "address to listen on", "IP:PORT" },
		{ "target", 0, POPT_ARG_STRING, &target, 0, "address to relay connections to",
		  "IP:PORT" },
		{ "control", 0, POPT_ARG_STRING, &control, 0,
		  "address to accept control connections on", "IP:PORT" },
		POPT_AUTOHELP POPT_TABLEEND
	};
	poptContext context = poptGetContext("standin_relay", argc, argv, option_table, 0);
	int result = poptGetNextOpt(context);

	if (result < -1)
		jh_error_add_finding(err, poptBadOption(context, 0), "%s", poptStrerror(result));
	jh_address_parse(&relay->listen, listen ? listen : "127.0.0.1:0", "--listen", err);
	jh_address_parse(&relay->target, target ? target : "", "--target", err);
	jh_address_parse(&relay->control, control ? control : "127.0.0.1:0", "--control", err);
	poptFreeContext(context);
	free(listen);
	free(target);
	free(control);
	return err->code == JH_ERR_NONE ? 0 : -1;
}

static void on_terminate(struct ev_loop *loop, ev_signal *watcher, int events)
{
	(void)watcher;
	(void)events;
	ev_break(loop, EVBREAK_ALL);
}

static int relay_run(relay_t *relay, jh_error_t *err)
{
	int fd = listen_on(&relay->listen, err);
	int control = fd < 0 ? -1 : listen_on(&relay->control, err);
	ev_signal interrupt;
	ev_signal terminate;

	if (control < 0) {
		if (fd >= 0)
			close(fd);
		return -1;
	}
	ev_signal_init(&interrupt, on_terminate, SIGINT);
	ev_signal_init(&terminate, on_terminate, SIGTERM);
	ev_signal_start(relay->loop, &interrupt);
	ev_signal_start(relay->loop, &terminate);
	ev_io_init(&relay->accept, on_accept, fd, EV_READ);
	ev_io_init(&relay->accept_control, on_accept_control, control, EV_READ);
	relay->accept.data = relay;
	relay->accept_control.data = relay;
	ev_io_start(relay->loop, &relay->accept);
	ev_io_start(relay->loop, &relay->accept_control);
	printf("standin_relay listening port=%u control=%u\n", socket_port(fd),
	       socket_port(control));
	fflush(stdout);
	ev_run(relay->loop, 0);
	relay_set_state(relay, RELAY_CUT);
	close(fd);
	close(control);
	return 0;
}

int main(int argc, const char **argv)
{
	relay_t relay = { .loop = ev_default_loop(EVFLAG_AUTO) };
	jh_error_t err = JH_ERROR_INIT;
	int status = EXIT_SUCCESS;

	signal(SIGPIPE, SIG_IGN);
	if (options_parse(&relay, argc, argv, &err) < 0)
		status = EXIT_BAD_SETTINGS;
	else if (relay_run(&relay, &err) < 0)
		status = EXIT_FAILURE;
	if (status != EXIT_SUCCESS) {
		char *text = jh_error_format(&err);

		fprintf(stderr, "standin_relay: %s\n", text);
		g_free(text);
	}
	g_free(relay.listen.host);
	g_free(relay.target.host);
	g_free(relay.control.host);
	jh_error_clear(&err);
	return status;
}
