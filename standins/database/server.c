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
	static unsigned next_buffer;
	char *text = buffers[next_buffer++ % G_N_ELEMENTS(buffers)];

	g_snprintf(text, sizeof(buffers[0]), "%" G_GUINT64_FORMAT "/%" G_GUINT64_FORMAT,
		   position.term, position.index);
	return text;
}

/* ---- scheduling of sessions ---- */

void sdb_server_schedule_session(sdb_server_t *server, uint32_t pid)
{
	g_queue_push_tail(&server->runnable, GUINT_TO_POINTER(pid));
	if (ev_is_active(&server->run_timer))
		return;
	ev_timer_set(&server->run_timer, 0, 0);
	ev_timer_start(server->loop, &server->run_timer);
}

static void on_run_timer(struct ev_loop *loop, ev_timer *watcher, int events)
{
	sdb_server_t *server = watcher->data;
	unsigned count = server->runnable.length;

	(void)loop;
	(void)events;
	while (count-- > 0) {
		sdb_session_t *session =
			g_hash_table_lookup(server->sessions, g_queue_pop_head(&server->runnable));

		if (session)
			sdb_session_process(session);
	}
	if (server->runnable.length > 0) {
		ev_timer_set(&server->run_timer, 0, 0);
		ev_timer_start(server->loop, &server->run_timer);
	}
}

/* Removes the first process id from @waiters and schedules its session. */
static void waiter_wake_first(sdb_server_t *server, GQueue *waiters)
{
	if (!g_queue_is_empty(waiters))
		sdb_server_schedule_session(server, GPOINTER_TO_UINT(g_queue_pop_head(waiters)));
}

static void waiter_add(GQueue *waiters, uint32_t pid)
{
	if (!g_queue_find(waiters, GUINT_TO_POINTER(pid)))
		g_queue_push_tail(waiters, GUINT_TO_POINTER(pid));
}

int64_t sdb_server_get_test_counter(const sdb_server_t *server, const char *name)
{
	return g_str_equal(name, "statements") ? (int64_t)server->statements_started : -1;
}

bool sdb_server_acquire_write_lock(sdb_server_t *server, uint32_t pid)
{
	if (server->writer_pid == 0)
		server->writer_pid = pid;
	if (server->writer_pid == pid)
		return true;
	waiter_add(&server->lock_waiters, pid);
	return false;
}

void sdb_server_release_write_lock(sdb_server_t *server, uint32_t pid)
{
	if (server->writer_pid != pid)
		return;
	server->writer_pid = 0;
	waiter_wake_first(server, &server->lock_waiters);
}

bool sdb_server_acquire_slot(sdb_server_t *server, uint32_t pid)
{
	if (server->slots_in_use < server->options->slots) {
		server->slots_in_use++;
		server->statements_started++;
		return true;
	}
	waiter_add(&server->slot_waiters, pid);
	return false;
}

void sdb_server_release_slot(sdb_server_t *server)
{
	server->slots_in_use--;
	waiter_wake_first(server, &server->slot_waiters);
}

void sdb_server_remove_waiter(sdb_server_t *server, uint32_t pid)
{
	g_queue_remove(&server->lock_waiters, GUINT_TO_POINTER(pid));
	g_queue_remove(&server->slot_waiters, GUINT_TO_POINTER(pid));
	g_hash_table_remove(server->status_waiters, GUINT_TO_POINTER(pid));
	/* The session may have been woken for the lock or a slot but not run yet: wake the next. */
	if (server->writer_pid == 0)
		waiter_wake_first(server, &server->lock_waiters);
	if (server->slots_in_use < server->options->slots)
		waiter_wake_first(server, &server->slot_waiters);
}

/* ---- applying the log to the data ---- */

/* Applies the entries up to @index to the data. An entry that fails is reported and skipped. */
static void engine_apply_entries(sdb_server_t *server, uint64_t index)
{
	while (server->engine_applied_index < index) {
		const sdb_log_entry_t *entry =
			g_ptr_array_index(server->member->log, server->engine_applied_index);
		jh_error_t err = JH_ERROR_INIT;

		if (sdb_engine_apply(server->engine, entry->payload, &err) < 0)
			fprintf(stderr, "standin_database: can't apply a log entry: %s\n",
				err.message);
		jh_error_clear(&err);
		server->engine_applied_index++;
	}
}

/* Empties the data, so that the whole log is applied again. */
static void engine_rebuild(sdb_server_t *server)
{
	jh_error_t err = JH_ERROR_INIT;

	if (sdb_engine_reset(server->engine, &err) < 0)
		g_error("can't reset the data to an empty database: %s", err.message);
	server->engine_applied_index = 0;
}

static void apply_timer_restart(sdb_server_t *server)
{
	const sdb_member_t *member = server->member;
	const sdb_log_entry_t *next_entry;
	int64_t apply_due_us;

	ev_timer_stop(server->loop, &server->apply_timer);
	if (member->role == SDB_PRIMARY || member->applied >= member->commit_index)
		return;
	next_entry = g_ptr_array_index(member->log, member->applied);
	apply_due_us = next_entry->received_us + (int64_t)server->options->lag_ms * 1000;
	ev_now_update(server->loop);
	ev_timer_set(&server->apply_timer,
		     (double)MAX(apply_due_us - g_get_monotonic_time(), 0) / G_USEC_PER_SEC, 0);
	ev_timer_start(server->loop, &server->apply_timer);
}

/* Applies the entries that are due, after a rebuild if the log lost entries that were applied. */
static void applied_update(sdb_server_t *server)
{
	sdb_member_t *member = server->member;
	int64_t lag_us = (int64_t)server->options->lag_ms * 1000;

	if (server->engine_applied_index > member->applied)
		engine_rebuild(server);
	sdb_member_set_applied(member,
			       sdb_member_applicable_index(member, lag_us, g_get_monotonic_time()));
	engine_apply_entries(server, member->applied);
	apply_timer_restart(server);
}

/* Aborts the transaction that has the write lock if this member is no longer the primary. */
static void writer_abort_if_replica(sdb_server_t *server)
{
	sdb_session_t *session;

	if (server->member->role == SDB_PRIMARY)
		return;
	session = g_hash_table_lookup(server->sessions, GUINT_TO_POINTER(server->writer_pid));
	if (session)
		sdb_transaction_on_demotion(session);
}

static void status_waiters_wake(sdb_server_t *server)
{
	GHashTableIter iter;
	gpointer pid;

	g_hash_table_iter_init(&iter, server->status_waiters);
	while (g_hash_table_iter_next(&iter, &pid, NULL)) {
		sdb_server_schedule_session(server, GPOINTER_TO_UINT(pid));
		g_hash_table_iter_remove(&iter);
	}
}

void sdb_server_refresh(sdb_server_t *server)
{
	writer_abort_if_replica(server);
	applied_update(server);
	sdb_follower_update(server->follower);
	status_waiters_wake(server);
}

static void on_apply_timer(struct ev_loop *loop, ev_timer *watcher, int events)
{
	(void)loop;
	(void)events;
	sdb_server_refresh(watcher->data);
}

/* ---- test control ---- */

bool sdb_server_is_partitioned_from(const sdb_server_t *server, const char *member)
{
	return member && g_strv_contains((const char *const *)server->partitioned_members, member);
}

bool sdb_server_set_test_option(sdb_server_t *server, const char *name, const char *value)
{
	sdb_options_t *options = server->options;
	const struct {
		const char *name;
		int *value;
	} integer_options[] = {
		{ "lag_ms", &options->lag_ms },		  { "open_ms", &options->open_ms },
		{ "delay_ms", &options->delay_ms },	  { "slots", &options->slots },
		{ "connections", &options->connections },
	};
	unsigned i;

	if (g_str_equal(name, "cut")) {
		g_strfreev(server->partitioned_members);
		server->partitioned_members = g_strsplit(value, ",", -1);
		sdb_server_refresh(server);
		return true;
	}
	for (i = 0; i < G_N_ELEMENTS(integer_options); i++) {
		if (!g_str_equal(name, integer_options[i].name))
			continue;
		*integer_options[i].value = (int)g_ascii_strtoll(value, NULL, 10);
		sdb_server_refresh(server);
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
		return jh_error_set(err, JH_ERR_SYSTEM, "can't create the listening socket: %s",
				    g_strerror(errno));
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

/* ---- construction ---- */

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
	server->status_waiters = g_hash_table_new(NULL, NULL);
	server->partitioned_members = g_new0(char *, 1);
	ev_init(&server->run_timer, on_run_timer);
	ev_init(&server->apply_timer, on_apply_timer);
	ev_io_init(&server->accept_watcher, on_accept, server->fd, EV_READ);
	server->run_timer.data = server;
	server->apply_timer.data = server;
	server->accept_watcher.data = server;
	ev_io_start(loop, &server->accept_watcher);
	server->follower = sdb_follower_new(server);
	sdb_server_refresh(server);
	return server;
}

void sdb_server_free(sdb_server_t *server)
{
	g_hash_table_destroy(server->sessions);
	sdb_follower_free(server->follower);
	ev_io_stop(server->loop, &server->accept_watcher);
	ev_timer_stop(server->loop, &server->run_timer);
	ev_timer_stop(server->loop, &server->apply_timer);
	close(server->fd);
	g_queue_clear(&server->lock_waiters);
	g_queue_clear(&server->slot_waiters);
	g_queue_clear(&server->runnable);
	g_hash_table_destroy(server->status_waiters);
	g_strfreev(server->partitioned_members);
	sdb_member_free(server->member);
	sdb_engine_free(server->engine);
	g_free(server);
}
