#include "server.h"

#include "session.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define LISTEN_BACKLOG 512

/* ---- positions ---- */

const char *sdb_position_format(jh_position_t position)
{
	static char buffers[4][48];
	static unsigned next;
	char *text = buffers[next++ % G_N_ELEMENTS(buffers)];

	g_snprintf(text, sizeof(buffers[0]), "%" G_GUINT64_FORMAT "/%" G_GUINT64_FORMAT,
		   position.term, position.index);
	return text;
}

/* ---- turns of sessions ---- */

void sdb_server_wake(sdb_server_t *server, uint32_t pid)
{
	g_queue_push_tail(&server->runnable, GUINT_TO_POINTER(pid));
	if (ev_is_active(&server->run))
		return;
	ev_timer_set(&server->run, 0, 0);
	ev_timer_start(server->loop, &server->run);
}

static void on_run(struct ev_loop *loop, ev_timer *watcher, int events)
{
	sdb_server_t *server = watcher->data;
	unsigned count = server->runnable.length;

	(void)loop;
	(void)events;
	while (count-- > 0) {
		sdb_session_t *session =
			g_hash_table_lookup(server->sessions, g_queue_pop_head(&server->runnable));

		if (session)
			sdb_session_run(session);
	}
	if (server->runnable.length > 0) {
		ev_timer_set(&server->run, 0, 0);
		ev_timer_start(server->loop, &server->run);
	}
}

static void wake_next(sdb_server_t *server, GQueue *waiters)
{
	if (!g_queue_is_empty(waiters))
		sdb_server_wake(server, GPOINTER_TO_UINT(g_queue_pop_head(waiters)));
}

static void wait_in(GQueue *waiters, uint32_t pid)
{
	if (!g_queue_find(waiters, GUINT_TO_POINTER(pid)))
		g_queue_push_tail(waiters, GUINT_TO_POINTER(pid));
}

int64_t sdb_server_get(const sdb_server_t *server, const char *name)
{
	return g_str_equal(name, "statements") ? (int64_t)server->statements : -1;
}

bool sdb_server_lock(sdb_server_t *server, uint32_t pid)
{
	if (server->writer == 0)
		server->writer = pid;
	if (server->writer == pid)
		return true;
	wait_in(&server->lock_waiters, pid);
	return false;
}

void sdb_server_unlock(sdb_server_t *server, uint32_t pid)
{
	if (server->writer != pid)
		return;
	server->writer = 0;
	wake_next(server, &server->lock_waiters);
}

bool sdb_server_take_slot(sdb_server_t *server, uint32_t pid)
{
	if (server->running < server->options->slots) {
		server->running++;
		server->statements++;
		return true;
	}
	wait_in(&server->slot_waiters, pid);
	return false;
}

void sdb_server_give_slot(sdb_server_t *server)
{
	server->running--;
	wake_next(server, &server->slot_waiters);
}

void sdb_server_forget(sdb_server_t *server, uint32_t pid)
{
	g_queue_remove(&server->lock_waiters, GUINT_TO_POINTER(pid));
	g_queue_remove(&server->slot_waiters, GUINT_TO_POINTER(pid));
	g_hash_table_remove(server->watchers, GUINT_TO_POINTER(pid));
	/* A turn that was given to it goes to the next in line. */
	if (server->writer == 0)
		wake_next(server, &server->lock_waiters);
	if (server->running < server->options->slots)
		wake_next(server, &server->slot_waiters);
}

/* ---- the log and the data ---- */

static void engine_apply_to(sdb_server_t *server, uint64_t index)
{
	while (server->engine_index < index) {
		const sdb_entry_t *entry =
			g_ptr_array_index(server->member->log, server->engine_index);
		jh_error_t err = JH_ERROR_INIT;

		if (sdb_engine_apply(server->engine, entry->payload, &err) < 0)
			fprintf(stderr, "standin_database: %s\n", err.message);
		jh_error_clear(&err);
		server->engine_index++;
	}
}

static void engine_rebuild(sdb_server_t *server)
{
	jh_error_t err = JH_ERROR_INIT;

	if (sdb_engine_reset(server->engine, &err) < 0)
		g_error("%s", err.message);
	server->engine_index = 0;
}

static void apply_arm(sdb_server_t *server)
{
	const sdb_member_t *member = server->member;
	const sdb_entry_t *next;
	int64_t due_us;

	ev_timer_stop(server->loop, &server->apply);
	if (member->role == SDB_PRIMARY || member->applied >= member->majority)
		return;
	next = g_ptr_array_index(member->log, member->applied);
	due_us = next->received_us + (int64_t)server->options->lag_ms * 1000;
	ev_now_update(server->loop);
	ev_timer_set(&server->apply,
		     (double)MAX(due_us - g_get_monotonic_time(), 0) / G_USEC_PER_SEC, 0);
	ev_timer_start(server->loop, &server->apply);
}

static void apply_update(sdb_server_t *server)
{
	sdb_member_t *member = server->member;
	int64_t lag_us = (int64_t)server->options->lag_ms * 1000;

	if (server->engine_index > member->applied)
		engine_rebuild(server);
	sdb_member_set_applied(member,
			       sdb_member_applicable(member, lag_us, g_get_monotonic_time()));
	engine_apply_to(server, member->applied);
	apply_arm(server);
}

static void writer_update(sdb_server_t *server)
{
	sdb_session_t *session;

	if (server->member->role == SDB_PRIMARY)
		return;
	session = g_hash_table_lookup(server->sessions, GUINT_TO_POINTER(server->writer));
	if (session)
		sdb_transaction_lose(session);
}

static void watchers_wake(sdb_server_t *server)
{
	GHashTableIter iter;
	gpointer pid;

	g_hash_table_iter_init(&iter, server->watchers);
	while (g_hash_table_iter_next(&iter, &pid, NULL)) {
		sdb_server_wake(server, GPOINTER_TO_UINT(pid));
		g_hash_table_iter_remove(&iter);
	}
}

void sdb_server_changed(sdb_server_t *server)
{
	writer_update(server);
	apply_update(server);
	sdb_follower_update(server->follower);
	watchers_wake(server);
}

static void on_apply(struct ev_loop *loop, ev_timer *watcher, int events)
{
	(void)loop;
	(void)events;
	sdb_server_changed(watcher->data);
}

/* ---- test control ---- */

bool sdb_server_is_cut(const sdb_server_t *server, const char *member)
{
	return member && g_strv_contains((const char *const *)server->cut, member);
}

bool sdb_server_set(sdb_server_t *server, const char *name, const char *value)
{
	sdb_options_t *options = server->options;
	const struct {
		const char *name;
		int *value;
	} numbers[] = {
		{ "lag_ms", &options->lag_ms },		  { "open_ms", &options->open_ms },
		{ "delay_ms", &options->delay_ms },	  { "slots", &options->slots },
		{ "connections", &options->connections },
	};
	unsigned i;

	if (g_str_equal(name, "cut")) {
		g_strfreev(server->cut);
		server->cut = g_strsplit(value, ",", -1);
		sdb_server_changed(server);
		return true;
	}
	for (i = 0; i < G_N_ELEMENTS(numbers); i++) {
		if (!g_str_equal(name, numbers[i].name))
			continue;
		*numbers[i].value = (int)g_ascii_strtoll(value, NULL, 10);
		sdb_server_changed(server);
		return true;
	}
	return false;
}

/* ---- listening ---- */

static void on_accept(struct ev_loop *loop, ev_io *watcher, int events)
{
	sdb_server_t *server = watcher->data;
	const int on = 1;
	int fd = accept4(server->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);

	(void)loop;
	(void)events;
	if (fd < 0)
		return;
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	sdb_session_new(server, fd);
}

static int listen_on(const jh_address_t *address, jh_error_t *err)
{
	struct sockaddr_in in = { .sin_family = AF_INET, .sin_port = htons(address->port) };
	const int on = 1;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	if (fd < 0)
		return jh_error_set(err, JH_ERR_SYSTEM, "socket: %s", g_strerror(errno));
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (inet_pton(AF_INET, address->host, &in.sin_addr) != 1 ||
	    bind(fd, (struct sockaddr *)&in, sizeof(in)) < 0 || listen(fd, LISTEN_BACKLOG) < 0) {
		jh_error_set(err, JH_ERR_SYSTEM, "can't listen on %s:%u: %s", address->host,
			     address->port, g_strerror(errno));
		close(fd);
		return -1;
	}
	return fd;
}

uint16_t sdb_server_port(const sdb_server_t *server)
{
	struct sockaddr_in in = { .sin_port = 0 };
	socklen_t length = sizeof(in);

	if (getsockname(server->fd, (struct sockaddr *)&in, &length) < 0)
		return 0;
	return ntohs(in.sin_port);
}

/* ---- life ---- */

sdb_server_t *sdb_server_new(sdb_options_t *options, struct ev_loop *loop, jh_error_t *err)
{
	sdb_server_t *server = g_new0(sdb_server_t, 1);

	server->options = options;
	server->loop = loop;
	server->next_pid = 1;
	server->fd = listen_on(&options->listen, err);
	server->engine = server->fd < 0 ? NULL : sdb_engine_new(err);
	if (!server->engine) {
		if (server->fd >= 0)
			close(server->fd);
		g_free(server);
		return NULL;
	}
	server->member = sdb_member_new(options->name, options->members, options->initial_primary,
					g_get_monotonic_time());
	server->sessions = g_hash_table_new_full(NULL, NULL, NULL, sdb_session_free);
	server->watchers = g_hash_table_new(NULL, NULL);
	server->cut = g_new0(char *, 1);
	ev_init(&server->run, on_run);
	ev_init(&server->apply, on_apply);
	ev_io_init(&server->accept, on_accept, server->fd, EV_READ);
	server->run.data = server;
	server->apply.data = server;
	server->accept.data = server;
	ev_io_start(loop, &server->accept);
	server->follower = sdb_follower_new(server);
	sdb_server_changed(server);
	return server;
}

void sdb_server_free(sdb_server_t *server)
{
	g_hash_table_destroy(server->sessions);
	sdb_follower_free(server->follower);
	ev_io_stop(server->loop, &server->accept);
	ev_timer_stop(server->loop, &server->run);
	ev_timer_stop(server->loop, &server->apply);
	close(server->fd);
	g_queue_clear(&server->lock_waiters);
	g_queue_clear(&server->slot_waiters);
	g_queue_clear(&server->runnable);
	g_hash_table_destroy(server->watchers);
	g_strfreev(server->cut);
	sdb_member_free(server->member);
	sdb_engine_free(server->engine);
	g_free(server);
}
