#ifndef GATEWAY_FAKE_H
#define GATEWAY_FAKE_H

#include "internal/gateway.h"
#include "jh_frame.h"
#include "jh_log.h"
#include "jh_mirror.h"
#include "jh_service.h"
#include "runner.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/*
 * A gateway in one process with callers and a group of two members, all on one event loop, for the
 * tests of its modules. The members are sockets whose replies each test chooses; the catalogue and
 * the quota task are fakes.
 */

extern const jh_module_t jh_gateway_module;

#define MEMBERS 2
#define CONNS_MAX 64
#define PRIMARY_MEMBER 0
#define REPLICA_MEMBER 1

/*
 * Longest wait for one event, in microseconds: a test that hangs fails, a slow machine does not.
 * Also the validity of a lease that lasts through a test.
 */
#define WAIT_MAX_US (20 * INT64_C(1000000))

typedef struct fake_conn {
	int fd;
	int member;
	GString *in;
	/* Signatures given on it: a set. */
	GHashTable *signatures;
	unsigned repeated;
} fake_conn_t;

/* Return: reply to a line; NULL to send no reply, "" to close the connection */
typedef const char *(*reply_fn_t)(int member, const char *line);

static jh_settings_t settings;
static jh_kernel_t *kernel;
static jh_task_t *catalogue;
static int listeners[MEMBERS];
static uint16_t ports[MEMBERS];
static fake_conn_t conns[CONNS_MAX];
static unsigned conn_count;
static GString *received[MEMBERS];
static reply_fn_t reply_fn;

/* ---- fakes ---- */

static inline int catalogue_init(jh_task_t *task, jh_error_t *err)
{
	(void)err;
	catalogue = task;
	return 0;
}

static unsigned report_count;
/* See jh_acknowledged_msg_t; of the newest message. */
static jh_position_t acknowledged;
static unsigned group_sync_replicas;

static inline void catalogue_on_message(jh_task_t *task, const jh_msg_t *msg)
{
	(void)task;
	report_count += msg->type == JH_MSG_PRIMARY_REPORT;
	if (msg->type == JH_MSG_ACKNOWLEDGED)
		acknowledged = ((const jh_acknowledged_msg_t *)msg->body)->position;
}

static inline void fini_noop(jh_task_t *task)
{
	(void)task;
}

static const jh_module_t catalogue_module = {
	.name = "catalogue",
	.subscriptions = { JH_MSG_PRIMARY_REPORT, JH_MSG_ACKNOWLEDGED, JH_MSG_TYPE_COUNT },
	.init = catalogue_init,
	.on_message = catalogue_on_message,
	.fini = fini_noop,
};

static uint64_t granted_count;
static uint64_t given_back_grant;
static unsigned given_back_count;

static inline int quota_init(jh_task_t *task, jh_error_t *err)
{
	(void)task;
	(void)err;
	return 0;
}

/* Tokens that are left for members that have just started, and how many were requested. */
static unsigned cold_tokens;
static unsigned cold_asks;

static inline void quota_on_message(jh_task_t *task, const jh_msg_t *msg)
{
	const jh_quota_msg_t *request = msg->body;
	bool granted = true;

	if (msg->type == JH_MSG_QUOTA_GIVE_BACK) {
		given_back_grant = request->grant;
		given_back_count++;
		return;
	}
	if (g_str_has_prefix(request->team, "cold ")) {
		cold_asks++;
		granted = cold_tokens > 0;
		cold_tokens -= granted;
	}
	jh_quota_reply(task, msg->from,
		       &(jh_quota_msg_t){ .tag = request->tag,
					  .granted = granted,
					  .grant = granted ? ++granted_count : 0,
					  .retry_after_ms = granted ? 0 : 20 });
}

static const jh_module_t quota_module = {
	.name = "quota",
	.subscriptions = { JH_MSG_TYPE_COUNT },
	.init = quota_init,
	.on_message = quota_on_message,
	.fini = fini_noop,
};

/* A frame that the gateway sent to another VM. */
typedef struct sent_frame {
	const char *vm;
	Jh__Frame *frame;
} sent_frame_t;

static GArray *sent_frames;
static jh_task_t *peer;

static inline int peer_init(jh_task_t *task, jh_error_t *err)
{
	(void)err;
	peer = task;
	sent_frames = g_array_new(FALSE, FALSE, sizeof(sent_frame_t));
	return 0;
}

static inline void peer_on_message(jh_task_t *task, const jh_msg_t *msg)
{
	jh_frame_msg_t *out = msg->body;
	sent_frame_t sent = { .vm = out->vm };

	(void)task;
	if (msg->type != JH_MSG_FRAME_OUT)
		return;
	sent.frame = g_steal_pointer(&out->frame);
	g_array_append_val(sent_frames, sent);
}

static inline void peer_fini(jh_task_t *task)
{
	unsigned i;

	(void)task;
	for (i = 0; i < sent_frames->len; i++)
		jh_frame_free(g_array_index(sent_frames, sent_frame_t, i).frame);
	g_array_free(sent_frames, TRUE);
}

static const jh_module_t peer_module = {
	.name = "peer",
	.subscriptions = { JH_MSG_TYPE_COUNT },
	.init = peer_init,
	.on_message = peer_on_message,
	.fini = peer_fini,
};

/* ---- sockets ---- */

static inline int listen_on_free_port(uint16_t *port)
{
	struct sockaddr_in address = { .sin_family = AF_INET };
	socklen_t length = sizeof(address);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);

	inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
	ck_assert_int_eq(bind(fd, (struct sockaddr *)&address, sizeof(address)), 0);
	ck_assert_int_eq(listen(fd, 16), 0);
	getsockname(fd, (struct sockaddr *)&address, &length);
	*port = ntohs(address.sin_port);
	return fd;
}

static inline void members_accept(void)
{
	int i;

	for (i = 0; i < MEMBERS; i++) {
		int fd = accept4(listeners[i], NULL, NULL, SOCK_NONBLOCK);

		if (fd < 0)
			continue;
		ck_assert_uint_lt(conn_count, CONNS_MAX);
		conns[conn_count++] =
			(fake_conn_t){ .fd = fd,
				       .member = i,
				       .in = g_string_new(NULL),
				       .signatures = g_hash_table_new_full(g_str_hash, g_str_equal,
									   g_free, NULL) };
	}
}

/*
 * A member gives each signature once: one that the connection has had gets a number.
 * Return: new string
 */
static inline char *fake_conn_sign(fake_conn_t *conn, const char *reply)
{
	const char *done = strstr(reply, "DONE s");
	const char *end = done ? strstr(done, "\r\n") : NULL;
	char *signature;
	char *signed_reply;

	if (!end)
		return g_strdup(reply);
	signature = g_strndup(done + strlen("DONE "), end - done - strlen("DONE "));
	if (!g_hash_table_add(conn->signatures, signature))
		signed_reply = g_strdup_printf("%.*s-%u%s", (int)(end - reply), reply,
					       ++conn->repeated, end);
	else
		signed_reply = g_strdup(reply);
	return signed_reply;
}

static inline void fake_conn_reply(fake_conn_t *conn, const char *line, gsize length)
{
	const char *reply;
	char *signed_reply;

	g_string_append_len(received[conn->member], line, (gssize)length);
	g_string_append_c(received[conn->member], '\n');
	reply = reply_fn(conn->member, line);
	if (!reply)
		return;
	signed_reply = fake_conn_sign(conn, reply);
	if (*reply)
		ck_assert_int_gt(send(conn->fd, signed_reply, strlen(signed_reply), MSG_NOSIGNAL),
				 0);
	g_free(signed_reply);
	if (*reply == '\0') {
		close(conn->fd);
		conn->fd = -1;
	}
}

static inline void fake_conn_read(fake_conn_t *conn)
{
	char buffer[4096];
	ssize_t count = conn->fd < 0 ? -1 : recv(conn->fd, buffer, sizeof(buffer), 0);
	char *end;

	if (count > 0)
		g_string_append_len(conn->in, buffer, count);
	while (conn->fd >= 0 && (end = memmem(conn->in->str, conn->in->len, "\r\n", 2))) {
		gsize length = end - conn->in->str;
		char *line = g_malloc0(length + 1);

		memcpy(line, conn->in->str, length);
		g_string_erase(conn->in, 0, (gssize)length + 2);
		fake_conn_reply(conn, line, length);
		g_free(line);
	}
}

/* Runs one iteration of the event loop and of the fake members. */
static inline void run_once(void)
{
	unsigned i;

	ev_run(jh_kernel_loop(kernel), EVRUN_NOWAIT);
	members_accept();
	for (i = 0; i < conn_count; i++)
		fake_conn_read(&conns[i]);
	g_usleep(500);
}

static inline void wait_us(int64_t time_us)
{
	int64_t until = g_get_monotonic_time() + time_us;

	while (g_get_monotonic_time() < until)
		run_once();
}

/* ---- callers ---- */

static inline int caller_connect(void)
{
	struct sockaddr_in address = { .sin_family = AF_INET,
				       .sin_port = htons(settings.listen.port) };
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
	ck_assert_int_eq(connect(fd, (struct sockaddr *)&address, sizeof(address)), 0);
	return fd;
}

static inline void caller_send(int fd, const char *text)
{
	ck_assert_int_eq(send(fd, text, strlen(text), MSG_NOSIGNAL), (ssize_t)strlen(text));
}

/* Reads until a READY line ends the response. Return: new string */
static inline char *caller_receive(int fd)
{
	int64_t until = g_get_monotonic_time() + WAIT_MAX_US;
	GString *text = g_string_new(NULL);
	char buffer[4096];

	while (g_get_monotonic_time() < until) {
		ssize_t count = recv(fd, buffer, sizeof(buffer), MSG_DONTWAIT);
		const char *ready;

		if (count > 0)
			g_string_append_len(text, buffer, count);
		ready = strstr(text->str, "READY ");
		if ((ready && strstr(ready, "\r\n")) || count == 0)
			return g_string_free(text, FALSE);
		run_once();
	}
	ck_abort_msg("no response: %s", text->str);
	return NULL;
}

static inline char *send_and_receive(int fd, const char *text)
{
	caller_send(fd, text);
	return caller_receive(fd);
}

#define ASSERT_RESPONSE(fd, text, expected)                                                        \
	do {                                                                                       \
		char *response_ = send_and_receive(fd, text);                                      \
		ck_assert_str_eq(response_, expected);                                             \
		g_free(response_);                                                                 \
	} while (0)

#define ASSERT_RESPONSE_HAS(fd, text, expected)                                                    \
	do {                                                                                       \
		char *response_ = send_and_receive(fd, text);                                      \
		ck_assert_msg(strstr(response_, expected) != NULL, "'%s' lacks '%s'", response_,   \
			      expected);                                                           \
		g_free(response_);                                                                 \
	} while (0)

static inline int session_open(const char *route)
{
	int fd = caller_connect();
	char *start = g_strdup_printf("START %s key-1\r\n", route);

	ASSERT_RESPONSE(fd, start, "READY I -\r\n");
	g_free(start);
	return fd;
}

/* ---- messages of the catalogue ---- */

/* Regions in which the routes, and the requests of team-1, may run. */
static const char *route_regions;
static const char *team_regions;
/* Rate of the group's members that have just started; 0 for no limit. */
static double group_cold_rate;
/* Priority of the route "ledger"; that of the others is 0. */
static int ledger_priority;

static inline void config_msg_clear(void *data)
{
	jh_fleet_config_unref(((jh_fleet_config_msg_t *)data)->config);
}

static int64_t config_max_age_us = 300000;
static int64_t config_timeout_us = 1500000;
/* Group of all routes. */
static const char *route_group = "db";

static inline void add_route(jh_fleet_config_t *config, const char *name,
			     jh_route_freshness_t freshness)
{
	jh_fleet_route_t *route = jh_fleet_config_add_route(config, name);

	route->group = g_intern_string(route_group);
	route->freshness = freshness;
	route->max_age_us = config_max_age_us;
	route->timeout_us = config_timeout_us;
	route->target_latency_us = 400000;
	route->regions = route_regions;
}

static unsigned config_teams;
static unsigned config_connections = 8;
static unsigned config_version = 1;

static inline void add_team(jh_fleet_config_t *config, unsigned number)
{
	jh_team_t *team = g_new0(jh_team_t, 1);

	team->name = g_strdup_printf("team-%u", number);
	team->regions = number == 1 ? team_regions : NULL;
	g_ptr_array_add(config->teams->teams, team);
}

static inline void publish_config(void)
{
	jh_fleet_config_t *config = jh_fleet_config_new();
	jh_fleet_config_msg_t *msg = g_rc_box_new0(jh_fleet_config_msg_t);
	jh_fleet_group_t *group;
	unsigned i;

	for (i = 1; i <= config_teams; i++)
		add_team(config, i);
	jh_config_build_index(config->teams);
	config->version = config_version;
	config->tx_idle_us = 3000000;
	add_route(config, "orders", JH_FRESH_PRIMARY);
	add_route(config, "lookups", JH_FRESH_BOUNDED);
	add_route(config, "ledger", JH_FRESH_READ_YOUR_WRITES);
	((jh_fleet_route_t *)g_hash_table_lookup(config->routes, "ledger"))->priority =
		ledger_priority;
	group = jh_fleet_config_add_group(config, "db");
	group->connections = config_connections;
	group->cold_rate = group_cold_rate;
	group->sync_replicas = group_sync_replicas;
	g_hash_table_insert(config->keys, g_strdup("key-1"), (void *)g_intern_string("team-1"));
	msg->config = config;
	jh_publish(catalogue, JH_MSG_FLEET_CONFIG, msg, config_msg_clear);
}

static inline void member_msg_clear(void *data)
{
	jh_member_free(((jh_member_msg_t *)data)->member);
}

static const char *member_groups[MEMBERS] = { "db", "db" };

/* How much longer each member is cold, milliseconds. */
static int64_t member_cold_ms[MEMBERS];

/* Publishes a member; one that leaves has said so since @draining_since_us, unless that is 0. */
static inline void publish_member_state(int index, int64_t draining_since_us)
{
	static const char *const ids[] = { "m-0", "m-1" };
	jh_member_msg_t *msg = g_rc_box_new0(jh_member_msg_t);

	msg->id = g_intern_string(ids[index]);
	msg->member = g_new0(jh_member_t, 1);
	*msg->member = (jh_member_t){
		.id = msg->id,
		.group = g_intern_string(member_groups[index]),
		.host = g_strdup("127.0.0.1"),
		.port = ports[index],
		/* The primary is in another data centre, so that reads prefer the replica. */
		.dc = g_intern_string(index == PRIMARY_MEMBER ? "dc-2" : "dc-1"),
		.slots = 4,
		.is_draining = draining_since_us != 0,
		.draining_since_us = draining_since_us,
		.started_ms = 1,
		.cold_ms = member_cold_ms[index],
	};
	jh_publish(catalogue, JH_MSG_MEMBER, msg, member_msg_clear);
}

static inline void publish_member(int index)
{
	publish_member_state(index, 0);
}

static inline void publish_member_unlisted(int index)
{
	jh_member_msg_t *msg = g_rc_box_new0(jh_member_msg_t);

	msg->id = g_intern_string(index == PRIMARY_MEMBER ? "m-0" : "m-1");
	jh_publish(catalogue, JH_MSG_MEMBER, msg, member_msg_clear);
}

static inline void publish_primary_row(const jh_primary_t *row)
{
	jh_primary_msg_t *msg = g_rc_box_new0(jh_primary_msg_t);

	msg->primary = *row;
	jh_publish(catalogue, JH_MSG_PRIMARY, msg, NULL);
}

static inline void publish_primary(uint64_t epoch, bool is_changing)
{
	publish_primary_row(&(jh_primary_t){ .group = g_intern_string("db"),
					     .epoch = epoch,
					     .term = 1,
					     .member = g_intern_string("m-0"),
					     .is_changing = is_changing });
}

/* Publishes that the drain of a data centre was requested at @since_us. */
static inline void publish_dc_drain(const char *dc, bool is_drained, int64_t since_us)
{
	jh_dc_drain_msg_t *msg = g_rc_box_new0(jh_dc_drain_msg_t);

	msg->dc = g_intern_string(dc);
	msg->is_drained = is_drained;
	msg->requested_after_us = since_us;
	jh_publish(catalogue, JH_MSG_DC_DRAIN, msg, NULL);
}

static inline void publish_lease(int64_t duration_us)
{
	jh_mirror_lease_msg_t *msg = g_rc_box_new0(jh_mirror_lease_msg_t);

	msg->until_us = jh_boot_time_us() + duration_us;
	msg->is_complete = true;
	jh_publish(catalogue, JH_MSG_MIRROR_LEASE, msg, NULL);
}

/* Publishes that the VM lacks a configuration, and must not use its own after @duration_us. */
static inline void publish_config_late(int64_t duration_us)
{
	jh_mirror_lease_msg_t *msg = g_rc_box_new0(jh_mirror_lease_msg_t);

	msg->until_us = jh_boot_time_us() + WAIT_MAX_US;
	msg->config_late_us = jh_boot_time_us() + duration_us;
	msg->is_complete = true;
	jh_publish(catalogue, JH_MSG_MIRROR_LEASE, msg, NULL);
}

/* ---- setup ---- */

static inline const char *reply_normally(int member, const char *line)
{
	(void)member;
	if (g_str_has_prefix(line, "START "))
		return "READY I 1.5\r\n";
	if (strstr(line, " PREPARE ") || strstr(line, " SET "))
		return "DONE -\r\nREADY I 1.5\r\n";
	if (strstr(line, " BEGIN"))
		return "DONE s0\r\nREADY T 1.5\r\n";
	if (strstr(line, "COMMIT") || strstr(line, " WRITE ") || strstr(line, " EXEC w_"))
		return "DONE s1\r\nREADY I 1.6\r\n";
	if (strstr(line, " READ ") || strstr(line, " EXEC r_"))
		return "ROW abc\r\nDONE s2\r\nREADY I 1.5\r\n";
	return "DONE -\r\nREADY I 1.5\r\n";
}

static int64_t initial_lease_us = WAIT_MAX_US;

/* Regions of the data centres: the replica is in one, the primary in the other. */
static const char *dc_regions = "";

static inline void set_up_without_config(reply_fn_t replies)
{
	jh_error_t err = JH_ERROR_INIT;
	uint16_t caller_port, ready_port;
	/* Both stay open until all ports are chosen: the kernel can choose a closed port again. */
	int caller_fd = listen_on_free_port(&caller_port);
	int ready_fd = listen_on_free_port(&ready_port);
	int i;

	reply_fn = replies;
	jh_log_init("vm-1", "error");
	settings = (jh_settings_t){ .vm = (char *)"vm-1",
				    .dc = (char *)"dc-1",
				    .profile = (char *)"fleet",
				    .max_callers = 100,
				    .drain_ms = 2000,
				    .member_drain_ms = 5000,
				    .dc_drain_ms = 5000,
				    .dc_regions = (char *)dc_regions,
				    .listen = { (char *)"127.0.0.1", caller_port },
				    .ready_listen = { (char *)"127.0.0.1", ready_port } };
	for (i = 0; i < MEMBERS; i++) {
		listeners[i] = listen_on_free_port(&ports[i]);
		received[i] = g_string_new(NULL);
	}
	kernel = jh_kernel_new(&settings, &err);
	ck_assert_int_eq(jh_kernel_add_module(kernel, &catalogue_module, &err), 0);
	ck_assert_int_eq(jh_kernel_add_module(kernel, &quota_module, &err), 0);
	ck_assert_int_eq(jh_kernel_add_module(kernel, &peer_module, &err), 0);
	close(caller_fd);
	close(ready_fd);
	ck_assert_msg(jh_kernel_add_module(kernel, &jh_gateway_module, &err) == 0, "%s",
		      err.message);
	publish_member(PRIMARY_MEMBER);
	publish_member(REPLICA_MEMBER);
	publish_primary(1, false);
	publish_lease(initial_lease_us);
}

static inline void set_up(reply_fn_t replies)
{
	set_up_without_config(replies);
	publish_config();
	wait_us(10000);
}

#endif
