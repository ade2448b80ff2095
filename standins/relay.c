/*
 * A TCP relay that scenarios put on a link to cut, delay or freeze it.
 *
 * A control connection takes one command a line and answers "ok" or "error ...":
 *   cut       close all connections and refuse new ones
 *   heal      end a cut or a freeze
 *   freeze    keep connections open and pass nothing on, as a network that loses every packet
 *   delay MS  pass bytes on MS milliseconds later, each way
 *   status    answers "ok connections=N bytes=N state=NAME delay_ms=N"
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
#define LINE_MAX_BYTES 256

/* Reading pauses while this much waits to be passed on. */
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
	GQueue links;
	relay_state_t state;
	int64_t delay_us;
	uint64_t bytes;
} relay_t;

typedef struct piece {
	GBytes *bytes;
	int64_t due_us;
} piece_t;

/* One direction of a connection. */
typedef struct half {
	struct link *link;
	int from;
	int to;
	ev_io readable;
	ev_io writable;
	ev_timer due;
	GQueue pieces;
	size_t pending;
	size_t sent;
	bool ended;
} half_t;

typedef struct link {
	relay_t *relay;
	half_t halves[2];
} link_t;

/* ---- links ---- */

static void piece_free(gpointer data)
{
	piece_t *piece = data;

	g_bytes_unref(piece->bytes);
	g_free(piece);
}

static void link_close(link_t *link)
{
	unsigned i;

	for (i = 0; i < G_N_ELEMENTS(link->halves); i++) {
		half_t *half = &link->halves[i];

		ev_io_stop(link->relay->loop, &half->readable);
		ev_io_stop(link->relay->loop, &half->writable);
		ev_timer_stop(link->relay->loop, &half->due);
		g_queue_clear_full(&half->pieces, piece_free);
	}
	close(link->halves[0].from);
	close(link->halves[1].from);
	g_queue_remove(&link->relay->links, link);
	g_free(link);
}

/* Write what is due. Return: false if the link is broken. */
static bool half_send(half_t *half)
{
	piece_t *piece;

	while ((piece = g_queue_peek_head(&half->pieces)) &&
	       piece->due_us <= g_get_monotonic_time()) {
		gsize length;
		const uint8_t *data = g_bytes_get_data(piece->bytes, &length);
		ssize_t count =
			send(half->to, data + half->sent, length - half->sent, MSG_NOSIGNAL);

		if (count < 0)
			return errno == EAGAIN || errno == EINTR;
		half->sent += (size_t)count;
		half->pending -= (size_t)count;
		half->link->relay->bytes += (uint64_t)count;
		if (half->sent < length)
			return true;
		half->sent = 0;
		piece_free(g_queue_pop_head(&half->pieces));
	}
	if (half->ended && !piece)
		shutdown(half->to, SHUT_WR);
	return true;
}

static void half_watch(half_t *half)
{
	const relay_t *relay = half->link->relay;
	const piece_t *piece = g_queue_peek_head(&half->pieces);
	bool frozen = relay->state == RELAY_FROZEN;
	int64_t wait_us = piece ? piece->due_us - g_get_monotonic_time() : 0;

	ev_io_stop(relay->loop, &half->writable);
	ev_timer_stop(relay->loop, &half->due);
	if (frozen || half->ended || half->pending > PENDING_MAX_BYTES)
		ev_io_stop(relay->loop, &half->readable);
	else
		ev_io_start(relay->loop, &half->readable);
	if (!piece || frozen)
		return;
	if (wait_us <= 0) {
		ev_io_start(relay->loop, &half->writable);
		return;
	}
	ev_now_update(relay->loop);
	ev_timer_set(&half->due, (double)wait_us / G_USEC_PER_SEC, 0);
	ev_timer_start(relay->loop, &half->due);
}

static void half_step(half_t *half)
{
	link_t *link = half->link;

	if (!half_send(half) || (link->halves[0].ended && link->halves[1].ended &&
				 link->halves[0].pending + link->halves[1].pending == 0)) {
		link_close(link);
		return;
	}
	half_watch(half);
}

static void on_readable(struct ev_loop *loop, ev_io *watcher, int events)
{
	half_t *half = watcher->data;
	static uint8_t bytes[READ_BYTES];
	ssize_t count = recv(half->from, bytes, sizeof(bytes), 0);
	piece_t *piece;

	(void)loop;
	(void)events;
	if (count < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (count < 0) {
		link_close(half->link);
		return;
	}
	if (count == 0) {
		half->ended = true;
	} else {
		piece = g_new0(piece_t, 1);
		piece->bytes = g_bytes_new(bytes, (gsize)count);
		piece->due_us = g_get_monotonic_time() + half->link->relay->delay_us;
		half->pending += (size_t)count;
		g_queue_push_tail(&half->pieces, piece);
	}
	half_step(half);
}

static void on_writable(struct ev_loop *loop, ev_io *watcher, int events)
{
	(void)loop;
	(void)events;
	half_step(watcher->data);
}

static void on_due(struct ev_loop *loop, ev_timer *watcher, int events)
{
	(void)loop;
	(void)events;
	half_step(watcher->data);
}

static void half_init(half_t *half, link_t *link, int from, int to)
{
	half->link = link;
	half->from = from;
	half->to = to;
	ev_io_init(&half->readable, on_readable, from, EV_READ);
	ev_io_init(&half->writable, on_writable, to, EV_WRITE);
	ev_init(&half->due, on_due);
	half->readable.data = half;
	half->writable.data = half;
	half->due.data = half;
}

/* ---- sockets ---- */

static int address_fill(struct sockaddr_in *in, const jh_address_t *address)
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
	if (address_fill(&in, address) < 0 ||
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
	if (fd < 0 || address_fill(&in, address) < 0 ||
	    bind(fd, (struct sockaddr *)&in, sizeof(in)) < 0 || listen(fd, LISTEN_BACKLOG) < 0) {
		jh_error_set(err, JH_ERR_SYSTEM, "can't listen on %s:%u: %s", address->host,
			     address->port, g_strerror(errno));
		if (fd >= 0)
			close(fd);
		return -1;
	}
	return fd;
}

static uint16_t port_of(int fd)
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
	link_t *link;

	(void)loop;
	(void)events;
	if (target < 0) {
		if (caller >= 0)
			close(caller);
		return;
	}
	setsockopt(caller, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	setsockopt(target, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	link = g_new0(link_t, 1);
	link->relay = relay;
	half_init(&link->halves[0], link, caller, target);
	half_init(&link->halves[1], link, target, caller);
	g_queue_push_tail(&relay->links, link);
	half_watch(&link->halves[0]);
	half_watch(&link->halves[1]);
}

/* ---- control ---- */

typedef struct control {
	relay_t *relay;
	ev_io readable;
	GString *line;
} control_t;

static void relay_set_state(relay_t *relay, relay_state_t state)
{
	GList *at;
	GList *next;

	relay->state = state;
	for (at = relay->links.head; at; at = next) {
		link_t *link = at->data;

		next = at->next;
		if (state == RELAY_CUT) {
			link_close(link);
			continue;
		}
		half_watch(&link->halves[0]);
		half_watch(&link->halves[1]);
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
				       relay->links.length, relay->bytes, state_names[relay->state],
				       relay->delay_us / 1000);
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

static void control_take(control_t *control, char c)
{
	char *answer;

	if (c != '\n') {
		if (c != '\r' && control->line->len < LINE_MAX_BYTES)
			g_string_append_c(control->line, c);
		return;
	}
	answer = command_run(control->relay, control->line->str);
	g_string_truncate(control->line, 0);
	if (send(control->readable.fd, answer, strlen(answer), MSG_NOSIGNAL) < 0)
		fprintf(stderr, "standin_relay: control: %s\n", g_strerror(errno));
	g_free(answer);
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
		control_take(control, bytes[i]);
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

/* ---- start ---- */

static int options_parse(relay_t *relay, int argc, const char **argv, jh_error_t *err)
{
	char *listen = NULL;
	char *target = NULL;
	char *control = NULL;
	const struct poptOption table[] = {
		{ "listen", 0, POPT_ARG_STRING, &listen, 0, "where to listen", "IP:PORT" },
		{ "target", 0, POPT_ARG_STRING, &target, 0, "where to pass on to", "IP:PORT" },
		{ "control", 0, POPT_ARG_STRING, &control, 0, "where to take commands", "IP:PORT" },
		POPT_AUTOHELP POPT_TABLEEND
	};
	poptContext context = poptGetContext("standin_relay", argc, argv, table, 0);
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
	printf("standin_relay listening port=%u control=%u\n", port_of(fd), port_of(control));
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
