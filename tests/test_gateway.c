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
 * Guards against a statement that runs twice or whose outcome is reported wrongly when a
 * connection or a primary is lost, a stale read, a connection that keeps the settings of another
 * session, and a VM that serves callers without a lease. The gateway runs in one process with
 * callers and a group of two members, all on one event loop. The members are sockets whose replies
 * each test chooses; the catalogue and the quota task are fakes.
 */

extern const jh_module_t jh_gateway_module;

#define MEMBERS 2
#define CONNS_MAX 16
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

static int catalogue_init(jh_task_t *task, jh_error_t *err)
{
	(void)err;
	catalogue = task;
	return 0;
}

static unsigned report_count;

static void catalogue_on_message(jh_task_t *task, const jh_msg_t *msg)
{
	(void)task;
	report_count += msg->type == JH_MSG_PRIMARY_REPORT;
}

static void fini_noop(jh_task_t *task)
{
	(void)task;
}

static const jh_module_t catalogue_module = {
	.name = "catalogue",
	.subscriptions = { JH_MSG_PRIMARY_REPORT, JH_MSG_TYPE_COUNT },
	.init = catalogue_init,
	.on_message = catalogue_on_message,
	.fini = fini_noop,
};

static int quota_init(jh_task_t *task, jh_error_t *err)
{
	(void)task;
	(void)err;
	return 0;
}

static void quota_on_message(jh_task_t *task, const jh_msg_t *msg)
{
	const jh_quota_msg_t *request = msg->body;

	jh_quota_reply(task, msg->from, request->tag, true, 0);
}

static const jh_module_t quota_module = {
	.name = "quota",
	.subscriptions = { JH_MSG_TYPE_COUNT },
	.init = quota_init,
	.on_message = quota_on_message,
	.fini = fini_noop,
};

/* ---- sockets ---- */

static int listen_on_free_port(uint16_t *port)
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

static void members_accept(void)
{
	int i;

	for (i = 0; i < MEMBERS; i++) {
		int fd = accept4(listeners[i], NULL, NULL, SOCK_NONBLOCK);

		if (fd < 0)
			continue;
		ck_assert_uint_lt(conn_count, CONNS_MAX);
		conns[conn_count++] =
			(fake_conn_t){ .fd = fd, .member = i, .in = g_string_new(NULL) };
	}
}

static void fake_conn_reply(fake_conn_t *conn, char *line)
{
	const char *reply;

	g_string_append_printf(received[conn->member], "%s\n", line);
	reply = reply_fn(conn->member, line);
	if (!reply)
		return;
	if (*reply)
		ck_assert_int_gt(send(conn->fd, reply, strlen(reply), MSG_NOSIGNAL), 0);
	if (*reply == '\0') {
		close(conn->fd);
		conn->fd = -1;
	}
}

static void fake_conn_read(fake_conn_t *conn)
{
	char buffer[4096];
	ssize_t count = conn->fd < 0 ? -1 : recv(conn->fd, buffer, sizeof(buffer), 0);
	char *end;

	if (count > 0)
		g_string_append_len(conn->in, buffer, count);
	while (conn->fd >= 0 && (end = strstr(conn->in->str, "\r\n"))) {
		char *line = g_strndup(conn->in->str, end - conn->in->str);

		g_string_erase(conn->in, 0, end + 2 - conn->in->str);
		fake_conn_reply(conn, line);
		g_free(line);
	}
}

/* Runs one iteration of the event loop and of the fake members. */
static void run_once(void)
{
	unsigned i;

	ev_run(jh_kernel_loop(kernel), EVRUN_NOWAIT);
	members_accept();
	for (i = 0; i < conn_count; i++)
		fake_conn_read(&conns[i]);
	g_usleep(500);
}

static void wait_us(int64_t time_us)
{
	int64_t until = g_get_monotonic_time() + time_us;

	while (g_get_monotonic_time() < until)
		run_once();
}

/* ---- callers ---- */

static int caller_connect(void)
{
	struct sockaddr_in address = { .sin_family = AF_INET,
				       .sin_port = htons(settings.listen.port) };
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
	ck_assert_int_eq(connect(fd, (struct sockaddr *)&address, sizeof(address)), 0);
	return fd;
}

static void caller_send(int fd, const char *text)
{
	ck_assert_int_eq(send(fd, text, strlen(text), MSG_NOSIGNAL), (ssize_t)strlen(text));
}

/* Reads until a READY line ends the response. Return: new string */
static char *caller_receive(int fd)
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

static char *send_and_receive(int fd, const char *text)
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

static int session_open(const char *route)
{
	int fd = caller_connect();
	char *start = g_strdup_printf("START %s key-1\r\n", route);

	ASSERT_RESPONSE(fd, start, "READY I -\r\n");
	g_free(start);
	return fd;
}

/* ---- messages of the catalogue ---- */

static void config_msg_clear(void *data)
{
	jh_fleet_config_unref(((jh_fleet_config_msg_t *)data)->config);
}

static void add_route(jh_fleet_config_t *config, const char *name, jh_route_freshness_t freshness)
{
	jh_fleet_route_t *route = jh_fleet_config_add_route(config, name);

	route->group = g_intern_string("db");
	route->freshness = freshness;
	route->max_age_us = 300000;
	route->timeout_us = 1500000;
	route->target_latency_us = 400000;
}

static void publish_config(void)
{
	jh_fleet_config_t *config = jh_fleet_config_new();
	jh_fleet_config_msg_t *msg = g_rc_box_new0(jh_fleet_config_msg_t);

	config->version = 1;
	config->tx_idle_us = 3000000;
	add_route(config, "orders", JH_FRESH_PRIMARY);
	add_route(config, "lookups", JH_FRESH_BOUNDED);
	add_route(config, "ledger", JH_FRESH_READ_YOUR_WRITES);
	jh_fleet_config_add_group(config, "db")->connections = 8;
	g_hash_table_insert(config->keys, g_strdup("key-1"), (void *)g_intern_string("team-1"));
	msg->config = config;
	jh_publish(catalogue, JH_MSG_FLEET_CONFIG, msg, config_msg_clear);
}

static void member_msg_clear(void *data)
{
	jh_member_free(((jh_member_msg_t *)data)->member);
}

static void publish_member(int index)
{
	static const char *const ids[] = { "m-0", "m-1" };
	jh_member_msg_t *msg = g_rc_box_new0(jh_member_msg_t);

	msg->id = g_intern_string(ids[index]);
	msg->member = g_new0(jh_member_t, 1);
	*msg->member = (jh_member_t){
		.id = msg->id,
		.group = g_intern_string("db"),
		.host = g_strdup("127.0.0.1"),
		.port = ports[index],
		/* The primary is in another data centre, so that reads prefer the replica. */
		.dc = g_intern_string(index == PRIMARY_MEMBER ? "dc-2" : "dc-1"),
		.slots = 4,
	};
	jh_publish(catalogue, JH_MSG_MEMBER, msg, member_msg_clear);
}

static void publish_member_unlisted(int index)
{
	jh_member_msg_t *msg = g_rc_box_new0(jh_member_msg_t);

	msg->id = g_intern_string(index == PRIMARY_MEMBER ? "m-0" : "m-1");
	jh_publish(catalogue, JH_MSG_MEMBER, msg, member_msg_clear);
}

static void publish_primary(uint64_t epoch, bool is_changing)
{
	jh_primary_msg_t *msg = g_rc_box_new0(jh_primary_msg_t);

	msg->primary = (jh_primary_t){ .group = g_intern_string("db"),
				       .epoch = epoch,
				       .term = 1,
				       .member = g_intern_string("m-0"),
				       .is_changing = is_changing };
	jh_publish(catalogue, JH_MSG_PRIMARY, msg, NULL);
}

static void publish_lease(int64_t duration_us)
{
	jh_mirror_lease_msg_t *msg = g_rc_box_new0(jh_mirror_lease_msg_t);

	msg->until_us = jh_boot_time_us() + duration_us;
	msg->is_complete = true;
	jh_publish(catalogue, JH_MSG_MIRROR_LEASE, msg, NULL);
}

/* ---- setup ---- */

static const char *reply_normally(int member, const char *line)
{
	(void)member;
	if (g_str_has_prefix(line, "START "))
		return "READY I 1.5\r\n";
	if (strstr(line, " BEGIN"))
		return "DONE s0\r\nREADY T 1.5\r\n";
	if (strstr(line, "COMMIT") || strstr(line, "WRITE"))
		return "DONE s1\r\nREADY I 1.6\r\n";
	if (strstr(line, "READ "))
		return "ROW abc\r\nDONE s2\r\nREADY I 1.5\r\n";
	return "DONE -\r\nREADY I 1.5\r\n";
}

static int64_t initial_lease_us = WAIT_MAX_US;

static void set_up_without_config(reply_fn_t replies)
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
				    .listen = { (char *)"127.0.0.1", caller_port },
				    .ready_listen = { (char *)"127.0.0.1", ready_port } };
	for (i = 0; i < MEMBERS; i++) {
		listeners[i] = listen_on_free_port(&ports[i]);
		received[i] = g_string_new(NULL);
	}
	kernel = jh_kernel_new(&settings, &err);
	ck_assert_int_eq(jh_kernel_add_module(kernel, &catalogue_module, &err), 0);
	ck_assert_int_eq(jh_kernel_add_module(kernel, &quota_module, &err), 0);
	close(caller_fd);
	close(ready_fd);
	ck_assert_msg(jh_kernel_add_module(kernel, &jh_gateway_module, &err) == 0, "%s",
		      err.message);
	publish_member(PRIMARY_MEMBER);
	publish_member(REPLICA_MEMBER);
	publish_primary(1, false);
	publish_lease(initial_lease_us);
}

static void set_up(reply_fn_t replies)
{
	set_up_without_config(replies);
	publish_config();
	wait_us(10000);
}

/* ---- tests ---- */

START_TEST(test_result_is_relayed_unchanged)
{
	int fd;

	set_up(reply_normally);
	fd = session_open("orders");
	ASSERT_RESPONSE(fd, "QUERY id1 READ x\r\n", "ROW abc\r\nDONE s2\r\nREADY I 1.5\r\n");
	ck_assert(strstr(received[PRIMARY_MEMBER]->str, "START db team-1 m-0\n"));
	ck_assert(strstr(received[PRIMARY_MEMBER]->str, "QUERY id1 READ x\n"));
	ck_assert(!strstr(received[PRIMARY_MEMBER]->str, "key-1"));
}
END_TEST

START_TEST(test_begin_reaches_the_member_with_the_first_statement)
{
	int fd;

	set_up(reply_normally);
	fd = session_open("orders");
	ASSERT_RESPONSE(fd, "QUERY id1 BEGIN\r\n", "DONE -\r\nREADY T -\r\n");
	ck_assert(!strstr(received[PRIMARY_MEMBER]->str, "BEGIN"));
	ASSERT_RESPONSE_HAS(fd, "QUERY id2 COMMIT\r\n", "DONE s1\r\nREADY I 1.6\r\n");
	ck_assert(strstr(received[PRIMARY_MEMBER]->str, "QUERY id1 BEGIN\nQUERY id2 COMMIT\n"));
}
END_TEST

START_TEST(test_values_and_prepared_statements_are_set_on_the_connection)
{
	int fd;

	set_up(reply_normally);
	fd = session_open("orders");
	ASSERT_RESPONSE(fd, "QUERY id1 SET zone a b\r\n", "DONE -\r\nREADY I -\r\n");
	ASSERT_RESPONSE(fd, "QUERY id2 PREPARE s1 READ q7\r\n", "DONE -\r\nREADY I -\r\n");
	ASSERT_RESPONSE_HAS(fd, "QUERY id3 EXEC s1 x\r\n", "READY I");
	ck_assert(strstr(received[PRIMARY_MEMBER]->str,
			 "QUERY - SET zone a b\nQUERY - PREPARE r_q7 READ q7\nQUERY id3 EXEC r_q7 "
			 "x\n"));
	ASSERT_RESPONSE_HAS(fd, "QUERY id4 EXEC s2 x\r\n", "ERR NOSTMT");
}
END_TEST

START_TEST(test_session_values_of_another_session_are_reset)
{
	int fd;

	set_up(reply_normally);
	fd = session_open("orders");
	ASSERT_RESPONSE(fd, "QUERY id1 SET zone a\r\n", "DONE -\r\nREADY I -\r\n");
	ASSERT_RESPONSE_HAS(fd, "QUERY id2 READ x\r\n", "READY I");
	close(fd);
	fd = session_open("orders");
	ASSERT_RESPONSE_HAS(fd, "QUERY id3 READ x\r\n", "READY I");
	ck_assert(strstr(received[PRIMARY_MEMBER]->str, "QUERY - RESET\nQUERY id3 READ x\n"));
}
END_TEST

static const char *no_reply_to_set(int member, const char *line)
{
	if (strstr(line, " SET "))
		return NULL;
	return reply_normally(member, line);
}

/*
 * The caller leaves before the member confirms its SET. The value may still take effect, so that
 * the connection must not be used for another session.
 */
START_TEST(test_connection_with_an_unanswered_setting_is_not_reused)
{
	unsigned before;
	int fd;

	set_up(no_reply_to_set);
	fd = session_open("orders");
	ASSERT_RESPONSE(fd, "QUERY id1 SET zone a\r\n", "DONE -\r\nREADY I -\r\n");
	caller_send(fd, "QUERY id2 READ x\r\n");
	wait_us(100000);
	ck_assert(strstr(received[PRIMARY_MEMBER]->str, "QUERY - SET zone a\n"));
	close(fd);
	wait_us(50000);
	before = conn_count;
	send(conns[before - 1].fd, "DONE -\r\nREADY I 1.5\r\n", 21, MSG_NOSIGNAL);
	wait_us(50000);
	fd = session_open("orders");
	ASSERT_RESPONSE_HAS(fd, "QUERY id3 READ x\r\n", "READY I");
	ck_assert_uint_eq(conn_count, before + 1);
}
END_TEST

static const char *slow_start_at_replica(int member, const char *line)
{
	if (member == REPLICA_MEMBER && g_str_has_prefix(line, "START "))
		return NULL;
	return reply_normally(member, line);
}

/* The position sample that allows a read on a replica expires while the connection opens. */
START_TEST(test_read_is_not_sent_to_a_replica_with_an_expired_sample)
{
	char *response;
	int fd;

	set_up(slow_start_at_replica);
	fd = session_open("orders");
	ASSERT_RESPONSE_HAS(fd, "QUERY id1 READ x\r\n", "READY I");
	close(fd);
	fd = session_open("lookups");
	caller_send(fd, "QUERY id2 READ x\r\n");
	wait_us(400000);
	ck_assert(strstr(received[REPLICA_MEMBER]->str, "START "));
	send(conns[conn_count - 1].fd, "READY I 1.2\r\n", 13, MSG_NOSIGNAL);
	response = caller_receive(fd);
	g_free(response);
	ck_assert_msg(!strstr(received[REPLICA_MEMBER]->str, "QUERY id2 READ"), "%s",
		      received[REPLICA_MEMBER]->str);
}
END_TEST

START_TEST(test_replica_read_sends_the_required_position)
{
	int fd;

	set_up(reply_normally);
	fd = session_open("ledger");
	ASSERT_RESPONSE_HAS(fd, "QUERY id1 WRITE x d\r\n", "READY I 1.6");
	ASSERT_RESPONSE_HAS(fd, "QUERY id2 READ x\r\n", "READY I");
	ck_assert_msg(strstr(received[REPLICA_MEMBER]->str, "QUERY id2 AFTER 1.6 READ x\n") != NULL,
		      "%s", received[REPLICA_MEMBER]->str);
}
END_TEST

static const char *lagging_replica(int member, const char *line)
{
	if (member == REPLICA_MEMBER && strstr(line, "READ "))
		return "ERR LAGGING\r\nREADY I 1.2\r\n";
	return reply_normally(member, line);
}

START_TEST(test_read_is_retried_if_the_replica_is_lagging)
{
	int fd;

	set_up(lagging_replica);
	fd = session_open("ledger");
	ASSERT_RESPONSE_HAS(fd, "QUERY id1 WRITE x d\r\n", "READY I 1.6");
	ASSERT_RESPONSE_HAS(fd, "QUERY id2 READ x\r\n", "ROW abc");
	ck_assert(strstr(received[PRIMARY_MEMBER]->str, "READ x\n"));
}
END_TEST

static const char *full_replica(int member, const char *line)
{
	if (member == REPLICA_MEMBER && g_str_has_prefix(line, "START "))
		return "ERR MAXCONN\r\n";
	return reply_normally(member, line);
}

/* A member with fewer connections than VMs refuses some; a read must not try that member again. */
START_TEST(test_read_is_retried_if_the_member_has_no_connections)
{
	const char *at;
	int starts = 0;
	int fd;

	set_up(full_replica);
	fd = session_open("ledger");
	ASSERT_RESPONSE_HAS(fd, "QUERY id1 WRITE x d\r\n", "READY I 1.6");
	ASSERT_RESPONSE_HAS(fd, "QUERY id2 READ x\r\n", "ROW abc");
	for (at = received[REPLICA_MEMBER]->str; (at = strstr(at, "START ")); at++)
		starts++;
	ck_assert_int_eq(starts, 1);
}
END_TEST

static const char *read_only_primary(int member, const char *line)
{
	return strstr(line, "WRITE") ? "ERR READONLY m-0\r\nREADY I 1.5\r\n" :
				       reply_normally(member, line);
}

/* The primary restarts as a replica after a crash: only refused statements show it. */
START_TEST(test_primary_that_became_read_only_is_reported)
{
	int fd;

	set_up(read_only_primary);
	fd = session_open("orders");
	ASSERT_RESPONSE_HAS(fd, "QUERY id1 READ x\r\n", "ROW abc");
	ck_assert_uint_eq(report_count, 0);
	ASSERT_RESPONSE_HAS(fd, "QUERY id2 WRITE x d\r\n", "ERR BUSY");
	ck_assert_uint_gt(report_count, 0);
}
END_TEST

static const char *busy_commit(int member, const char *line)
{
	return strstr(line, "COMMIT") ? "ERR BUSY\r\nREADY T 1.5\r\n" :
					reply_normally(member, line);
}

START_TEST(test_commit_that_did_not_run_ends_its_transaction)
{
	int fd;

	set_up(busy_commit);
	fd = session_open("orders");
	ASSERT_RESPONSE_HAS(fd, "QUERY id1 BEGIN\r\n", "READY T");
	ASSERT_RESPONSE_HAS(fd, "QUERY id2 COMMIT\r\n", "READY I");
	ASSERT_RESPONSE_HAS(fd, "QUERY id3 READ x\r\n", "ROW abc");
}
END_TEST

static const char *no_reply_to_commit(int member, const char *line)
{
	if (strstr(line, "COMMIT"))
		return NULL;
	return reply_normally(member, line);
}

START_TEST(test_commit_during_a_change_of_primary_is_unknown)
{
	int fd;

	set_up(no_reply_to_commit);
	fd = session_open("orders");
	ASSERT_RESPONSE_HAS(fd, "QUERY id1 BEGIN\r\n", "READY T");
	caller_send(fd, "QUERY id2 COMMIT\r\n");
	wait_us(50000);
	publish_primary(2, true);
	wait_us(10000);
	send(conns[conn_count - 1].fd, "DONE s1\r\nREADY I 1.7\r\n", 22, MSG_NOSIGNAL);
	ASSERT_RESPONSE_HAS(fd, "", "ERR UNKNOWN");
}
END_TEST

static const char *closes_on_commit(int member, const char *line)
{
	return strstr(line, "COMMIT") ? "" : reply_normally(member, line);
}

START_TEST(test_lost_commit_is_unknown)
{
	int fd;

	set_up(closes_on_commit);
	fd = session_open("orders");
	ASSERT_RESPONSE_HAS(fd, "QUERY id1 BEGIN\r\n", "READY T");
	ASSERT_RESPONSE_HAS(fd, "QUERY id2 COMMIT\r\n", "ERR UNKNOWN");
}
END_TEST

static const char *closes_on_write(int member, const char *line)
{
	return strstr(line, "WRITE") ? "" : reply_normally(member, line);
}

START_TEST(test_lost_write_is_unknown_alone_and_aborted_in_a_transaction)
{
	int fd;

	set_up(closes_on_write);
	fd = session_open("orders");
	ASSERT_RESPONSE_HAS(fd, "QUERY id1 WRITE x d\r\n", "ERR UNKNOWN");
	ASSERT_RESPONSE_HAS(fd, "QUERY id2 BEGIN\r\n", "READY T");
	ASSERT_RESPONSE_HAS(fd, "QUERY id3 WRITE x d\r\n", "ERR ABORTED");
	ASSERT_RESPONSE_HAS(fd, "QUERY id4 READ x\r\n", "ERR BADMSG");
	ASSERT_RESPONSE_HAS(fd, "QUERY id5 ROLLBACK\r\n", "DONE -\r\nREADY I");
}
END_TEST

START_TEST(test_lease_is_not_shortened_and_changing_primary_is_not_used)
{
	int fd;

	set_up_without_config(reply_normally);
	publish_config();
	publish_lease(0);
	wait_us(10000);
	fd = session_open("orders");
	/* A later message with an earlier expiry does not shorten the lease. */
	ASSERT_RESPONSE_HAS(fd, "QUERY id1 READ x\r\n", "ROW abc");
	publish_primary(2, true);
	wait_us(10000);
	ASSERT_RESPONSE_HAS(fd, "QUERY id2 READ x\r\n", "ERR BUSY");
	publish_primary(3, false);
	wait_us(10000);
	ASSERT_RESPONSE_HAS(fd, "QUERY id3 READ x\r\n", "ROW abc");
}
END_TEST

/*
 * Guards against a lost response when a VM shuts down under load: a session that always has a
 * statement in progress is never idle, and the exit of the process interrupted its last statement.
 */
START_TEST(test_busy_session_ends_with_a_response_before_exit)
{
	int64_t started_us;
	bool is_closed = false;
	char byte;
	int fd;

	set_up(reply_normally);
	fd = session_open("orders");
	jh_kernel_drain(kernel);
	started_us = g_get_monotonic_time();
	while (!is_closed) {
		ASSERT_RESPONSE_HAS(fd, "QUERY id1 READ x\r\n", "ROW abc");
		wait_us(5000);
		is_closed = recv(fd, &byte, 1, MSG_DONTWAIT) == 0;
		ck_assert_int_lt(g_get_monotonic_time() - started_us, WAIT_MAX_US);
	}
	close(fd);
	fd = caller_connect();
	ASSERT_RESPONSE_HAS(fd, "START orders key-1\r\n", "ERR BUSY");
}
END_TEST

/* Return: new string, the HTTP status line of the readiness probe */
static char *ready_status(void)
{
	struct sockaddr_in address = { .sin_family = AF_INET,
				       .sin_port = htons(settings.ready_listen.port) };
	int64_t until = g_get_monotonic_time() + WAIT_MAX_US;
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	char buffer[256] = "";

	inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
	ck_assert_int_eq(connect(fd, (struct sockaddr *)&address, sizeof(address)), 0);
	caller_send(fd, "GET /v1/readyz HTTP/1.1\r\n\r\n");
	while (recv(fd, buffer, sizeof(buffer) - 1, MSG_DONTWAIT) <= 0) {
		ck_assert_int_lt(g_get_monotonic_time(), until);
		run_once();
	}
	close(fd);
	return g_strndup(buffer, strcspn(buffer, "\r"));
}

/* Half of the fleet is isolated from the store; its VMs must send their callers to other VMs. */
START_TEST(test_isolated_vm_closes_idle_sessions_and_is_not_ready)
{
	int64_t until = g_get_monotonic_time() + WAIT_MAX_US;
	char byte;
	char *status;
	int fd;

	initial_lease_us = 300000;
	set_up(reply_normally);
	fd = session_open("orders");
	status = ready_status();
	ck_assert_str_eq(status, "HTTP/1.1 200 OK");
	g_free(status);
	while (recv(fd, &byte, 1, MSG_DONTWAIT) != 0) {
		ck_assert_int_lt(g_get_monotonic_time(), until);
		run_once();
	}
	status = ready_status();
	ck_assert_str_eq(status, "HTTP/1.1 503 Service Unavailable");
	g_free(status);
	publish_lease(WAIT_MAX_US);
	wait_us(300000);
	fd = session_open("orders");
	ASSERT_RESPONSE_HAS(fd, "QUERY id1 READ x\r\n", "ROW abc");
	status = ready_status();
	ck_assert_str_eq(status, "HTTP/1.1 200 OK");
	g_free(status);
}
END_TEST

/* Registrations expire in an outage of the store and are renewed within two seconds after it. */
START_TEST(test_unlisted_member_is_used_for_a_grace_period)
{
	int fd;

	set_up(reply_normally);
	fd = session_open("orders");
	publish_member_unlisted(PRIMARY_MEMBER);
	wait_us(10000);
	ASSERT_RESPONSE_HAS(fd, "QUERY id1 READ x\r\n", "ROW abc");
	ASSERT_RESPONSE_HAS(fd, "QUERY id2 READ x\r\n", "ROW abc");
	wait_us(3000000);
	ASSERT_RESPONSE_HAS(fd, "QUERY id3 READ x\r\n", "ERR BUSY");
	publish_member(PRIMARY_MEMBER);
	wait_us(10000);
	ASSERT_RESPONSE_HAS(fd, "QUERY id4 READ x\r\n", "ROW abc");
}
END_TEST

START_TEST(test_start_waits_for_the_configuration)
{
	char *response;
	int fd;

	set_up_without_config(reply_normally);
	fd = caller_connect();
	caller_send(fd, "START orders key-1\r\n");
	wait_us(100000);
	publish_config();
	response = caller_receive(fd);
	ck_assert_str_eq(response, "READY I -\r\n");
	g_free(response);
}
END_TEST

START_TEST(test_unknown_keys_routes_and_messages)
{
	int fd;

	set_up(reply_normally);
	fd = caller_connect();
	ASSERT_RESPONSE_HAS(fd, "START orders key-2\r\n", "ERR NOAUTH");
	fd = caller_connect();
	ASSERT_RESPONSE_HAS(fd, "START nothing key-1\r\n", "ERR NODB");
	fd = caller_connect();
	ASSERT_RESPONSE_HAS(fd, "HELLO\r\n", "ERR BADMSG");
	fd = session_open("orders");
	ASSERT_RESPONSE_HAS(fd, "QUERY id1 DROP x\r\n", "ERR BADMSG");
	ASSERT_RESPONSE_HAS(fd, "QUERY id2 COMMIT\r\n", "ERR BADMSG");
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		test_result_is_relayed_unchanged,
		test_begin_reaches_the_member_with_the_first_statement,
		test_values_and_prepared_statements_are_set_on_the_connection,
		test_session_values_of_another_session_are_reset,
		test_connection_with_an_unanswered_setting_is_not_reused,
		test_read_is_not_sent_to_a_replica_with_an_expired_sample,
		test_replica_read_sends_the_required_position,
		test_read_is_retried_if_the_replica_is_lagging,
		test_read_is_retried_if_the_member_has_no_connections,
		test_primary_that_became_read_only_is_reported,
		test_commit_that_did_not_run_ends_its_transaction,
		test_commit_during_a_change_of_primary_is_unknown,
		test_lost_commit_is_unknown,
		test_lost_write_is_unknown_alone_and_aborted_in_a_transaction,
		test_lease_is_not_shortened_and_changing_primary_is_not_used,
		test_isolated_vm_closes_idle_sessions_and_is_not_ready,
		test_busy_session_ends_with_a_response_before_exit,
		test_unlisted_member_is_used_for_a_grace_period,
		test_start_waits_for_the_configuration,
		test_unknown_keys_routes_and_messages,
		NULL,
	};

	return run_tests("gateway", tests);
}
