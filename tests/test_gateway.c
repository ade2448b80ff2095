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
 * The gateway in one process with a group of two members and callers, all on one loop. The members
 * are sockets whose answers each test chooses; the catalogue and the quota task are fakes.
 */

extern const jh_module_t jh_gateway_module;

#define MEMBERS 2
#define CONNS_MAX 16
#define PRIMARY 0
#define REPLICA 1

/* Longest time that anything here may take; a test that hangs fails, whatever the machine does. */
#define PATIENCE_US (20 * INT64_C(1000000))

typedef struct fake_conn {
	int fd;
	int member;
	GString *in;
} fake_conn_t;

/* Return: text to answer a line with, NULL to stay silent; "" to close */
typedef const char *(*script_fn_t)(int member, const char *line);

static jh_settings_t settings;
static jh_kernel_t *kernel;
static jh_task_t *catalogue;
static int listeners[MEMBERS];
static uint16_t ports[MEMBERS];
static fake_conn_t conns[CONNS_MAX];
static unsigned conn_count;
static GString *heard[MEMBERS];
static script_fn_t script;

/* ---- fakes ---- */

static int fake_init(jh_task_t *task, jh_error_t *err)
{
	(void)err;
	catalogue = task;
	return 0;
}

static unsigned reports;

static void fake_on_message(jh_task_t *task, const jh_msg_t *msg)
{
	(void)task;
	reports += msg->type == JH_MSG_PRIMARY_REPORT;
}

static void fake_fini(jh_task_t *task)
{
	(void)task;
}

static const jh_module_t catalogue_module = {
	.name = "catalogue",
	.subscriptions = { JH_MSG_PRIMARY_REPORT, JH_MSG_TYPES },
	.init = fake_init,
	.on_message = fake_on_message,
	.fini = fake_fini,
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

	jh_quota_answer(task, msg->from, request->tag, true, 0);
}

static const jh_module_t quota_module = {
	.name = "quota",
	.subscriptions = { JH_MSG_TYPES },
	.init = quota_init,
	.on_message = quota_on_message,
	.fini = fake_fini,
};

/* ---- sockets ---- */

static int listen_somewhere(uint16_t *port)
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

static uint16_t free_port(void)
{
	uint16_t port;

	close(listen_somewhere(&port));
	return port;
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

static void member_answer(fake_conn_t *conn, char *line)
{
	const char *answer;

	g_string_append_printf(heard[conn->member], "%s\n", line);
	answer = script(conn->member, line);
	if (!answer)
		return;
	if (*answer)
		ck_assert_int_gt(send(conn->fd, answer, strlen(answer), MSG_NOSIGNAL), 0);
	if (*answer == '\0') {
		close(conn->fd);
		conn->fd = -1;
	}
}

static void member_read(fake_conn_t *conn)
{
	char buffer[4096];
	ssize_t count = conn->fd < 0 ? -1 : recv(conn->fd, buffer, sizeof(buffer), 0);
	char *end;

	if (count > 0)
		g_string_append_len(conn->in, buffer, count);
	while (conn->fd >= 0 && (end = strstr(conn->in->str, "\r\n"))) {
		char *line = g_strndup(conn->in->str, end - conn->in->str);

		g_string_erase(conn->in, 0, end + 2 - conn->in->str);
		member_answer(conn, line);
		g_free(line);
	}
}

/* One turn of everything. */
static void turn(void)
{
	unsigned i;

	ev_run(jh_kernel_loop(kernel), EVRUN_NOWAIT);
	members_accept();
	for (i = 0; i < conn_count; i++)
		member_read(&conns[i]);
	g_usleep(500);
}

static void wait_us(int64_t time_us)
{
	int64_t until = g_get_monotonic_time() + time_us;

	while (g_get_monotonic_time() < until)
		turn();
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

/* Read until a READY line ends the answer. Return: new text */
static char *caller_receive(int fd)
{
	int64_t until = g_get_monotonic_time() + PATIENCE_US;
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
		turn();
	}
	ck_abort_msg("no answer: %s", text->str);
	return NULL;
}

static char *ask(int fd, const char *text)
{
	caller_send(fd, text);
	return caller_receive(fd);
}

#define ASSERT_ANSWER(fd, text, expected)                                                          \
	do {                                                                                       \
		char *answer_ = ask(fd, text);                                                     \
		ck_assert_str_eq(answer_, expected);                                               \
		g_free(answer_);                                                                   \
	} while (0)

#define ASSERT_ANSWER_HAS(fd, text, expected)                                                      \
	do {                                                                                       \
		char *answer_ = ask(fd, text);                                                     \
		ck_assert_msg(strstr(answer_, expected) != NULL, "'%s' lacks '%s'", answer_,       \
			      expected);                                                           \
		g_free(answer_);                                                                   \
	} while (0)

static int session_open(const char *route)
{
	int fd = caller_connect();
	char *start = g_strdup_printf("START %s key-1\r\n", route);

	ASSERT_ANSWER(fd, start, "READY I -\r\n");
	g_free(start);
	return fd;
}

/* ---- what the catalogue says ---- */

static void site_clear(void *data)
{
	jh_fleet_config_unref(((jh_fleet_config_msg_t *)data)->site);
}

static void add_route(jh_fleet_config_t *site, const char *name, jh_route_freshness_t freshness)
{
	jh_fleet_route_t *route = jh_fleet_config_add_route(site, name);

	route->group = g_intern_string("db");
	route->freshness = freshness;
	route->max_age_us = 300000;
	route->timeout_us = 1500000;
	route->target_latency_us = 400000;
}

static void publish_site(void)
{
	jh_fleet_config_t *site = jh_fleet_config_new();
	jh_fleet_config_msg_t *msg = g_rc_box_new0(jh_fleet_config_msg_t);

	site->version = 1;
	site->tx_idle_us = 3000000;
	add_route(site, "orders", JH_FRESH_PRIMARY);
	add_route(site, "lookups", JH_FRESH_BOUNDED);
	add_route(site, "ledger", JH_FRESH_READ_YOUR_WRITES);
	jh_fleet_config_add_group(site, "db")->connections = 8;
	g_hash_table_insert(site->keys, g_strdup("key-1"), (void *)g_intern_string("team-1"));
	msg->site = site;
	jh_publish(catalogue, JH_MSG_FLEET_CONFIG, msg, site_clear);
}

static void member_clear(void *data)
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
		/* The primary is far, so that reads prefer the replica. */
		.dc = g_intern_string(index == PRIMARY ? "dc-2" : "dc-1"),
		.slots = 4,
	};
	jh_publish(catalogue, JH_MSG_MEMBER, msg, member_clear);
}

static void publish_member_gone(int index)
{
	jh_member_msg_t *msg = g_rc_box_new0(jh_member_msg_t);

	msg->id = g_intern_string(index == PRIMARY ? "m-0" : "m-1");
	jh_publish(catalogue, JH_MSG_MEMBER, msg, member_clear);
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

static void publish_authority(int64_t lasts_us)
{
	jh_mirror_lease_msg_t *msg = g_rc_box_new0(jh_mirror_lease_msg_t);

	msg->until_us = jh_boot_time_us() + lasts_us;
	msg->is_complete = true;
	jh_publish(catalogue, JH_MSG_MIRROR_LEASE, msg, NULL);
}

/* ---- set up ---- */

static const char *obedient(int member, const char *line)
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

static int64_t first_authority_us = PATIENCE_US;

static void set_up_without_site(script_fn_t answers)
{
	jh_error_t err = JH_ERROR_INIT;
	int i;

	script = answers;
	jh_log_init("vm-1", "error");
	settings = (jh_settings_t){ .vm = (char *)"vm-1",
				    .dc = (char *)"dc-1",
				    .profile = (char *)"fleet",
				    .max_callers = 100,
				    .drain_ms = 2000,
				    .listen = { (char *)"127.0.0.1", free_port() },
				    .ready_listen = { (char *)"127.0.0.1", free_port() } };
	for (i = 0; i < MEMBERS; i++) {
		listeners[i] = listen_somewhere(&ports[i]);
		heard[i] = g_string_new(NULL);
	}
	kernel = jh_kernel_new(&settings, &err);
	ck_assert_int_eq(jh_kernel_add(kernel, &catalogue_module, &err), 0);
	ck_assert_int_eq(jh_kernel_add(kernel, &quota_module, &err), 0);
	ck_assert_int_eq(jh_kernel_add(kernel, &jh_gateway_module, &err), 0);
	publish_member(PRIMARY);
	publish_member(REPLICA);
	publish_primary(1, false);
	publish_authority(first_authority_us);
}

static void set_up(script_fn_t answers)
{
	set_up_without_site(answers);
	publish_site();
	wait_us(10000);
}

/* ---- tests ---- */

START_TEST(test_answer_is_relayed_as_received)
{
	int fd;

	set_up(obedient);
	fd = session_open("orders");
	ASSERT_ANSWER(fd, "QUERY id1 READ x\r\n", "ROW abc\r\nDONE s2\r\nREADY I 1.5\r\n");
	ck_assert(strstr(heard[PRIMARY]->str, "START db team-1 m-0\n"));
	ck_assert(strstr(heard[PRIMARY]->str, "QUERY id1 READ x\n"));
	ck_assert(!strstr(heard[PRIMARY]->str, "key-1"));
}
END_TEST

START_TEST(test_begin_reaches_the_member_with_the_first_statement)
{
	int fd;

	set_up(obedient);
	fd = session_open("orders");
	ASSERT_ANSWER(fd, "QUERY id1 BEGIN\r\n", "DONE -\r\nREADY T -\r\n");
	ck_assert(!strstr(heard[PRIMARY]->str, "BEGIN"));
	ASSERT_ANSWER_HAS(fd, "QUERY id2 COMMIT\r\n", "DONE s1\r\nREADY I 1.6\r\n");
	ck_assert(strstr(heard[PRIMARY]->str, "QUERY id1 BEGIN\nQUERY id2 COMMIT\n"));
}
END_TEST

START_TEST(test_values_and_prepared_statements_are_set_on_the_connection)
{
	int fd;

	set_up(obedient);
	fd = session_open("orders");
	ASSERT_ANSWER(fd, "QUERY id1 SET zone a b\r\n", "DONE -\r\nREADY I -\r\n");
	ASSERT_ANSWER(fd, "QUERY id2 PREPARE s1 READ q7\r\n", "DONE -\r\nREADY I -\r\n");
	ASSERT_ANSWER_HAS(fd, "QUERY id3 EXEC s1 x\r\n", "READY I");
	ck_assert(strstr(heard[PRIMARY]->str,
			 "QUERY - SET zone a b\nQUERY - PREPARE r_q7 READ q7\nQUERY id3 EXEC r_q7 "
			 "x\n"));
	ASSERT_ANSWER_HAS(fd, "QUERY id4 EXEC s2 x\r\n", "ERR NOSTMT");
}
END_TEST

START_TEST(test_session_without_values_resets_anothers)
{
	int fd;

	set_up(obedient);
	fd = session_open("orders");
	ASSERT_ANSWER(fd, "QUERY id1 SET zone a\r\n", "DONE -\r\nREADY I -\r\n");
	ASSERT_ANSWER_HAS(fd, "QUERY id2 READ x\r\n", "READY I");
	close(fd);
	fd = session_open("orders");
	ASSERT_ANSWER_HAS(fd, "QUERY id3 READ x\r\n", "READY I");
	ck_assert(strstr(heard[PRIMARY]->str, "QUERY - RESET\nQUERY id3 READ x\n"));
}
END_TEST

static const char *late_set(int member, const char *line)
{
	if (strstr(line, " SET "))
		return NULL;
	return obedient(member, line);
}

/* The value took effect, though nobody waited for the answer: the connection is not used again. */
START_TEST(test_connection_with_an_unanswered_setting_is_not_reused)
{
	unsigned before;
	int fd;

	set_up(late_set);
	fd = session_open("orders");
	ASSERT_ANSWER(fd, "QUERY id1 SET zone a\r\n", "DONE -\r\nREADY I -\r\n");
	caller_send(fd, "QUERY id2 READ x\r\n");
	wait_us(100000);
	ck_assert(strstr(heard[PRIMARY]->str, "QUERY - SET zone a\n"));
	close(fd);
	wait_us(50000);
	before = conn_count;
	send(conns[before - 1].fd, "DONE -\r\nREADY I 1.5\r\n", 21, MSG_NOSIGNAL);
	wait_us(50000);
	fd = session_open("orders");
	ASSERT_ANSWER_HAS(fd, "QUERY id3 READ x\r\n", "READY I");
	ck_assert_uint_eq(conn_count, before + 1);
}
END_TEST

static const char *slow_start_at_replica(int member, const char *line)
{
	if (member == REPLICA && g_str_has_prefix(line, "START "))
		return NULL;
	return obedient(member, line);
}

/* A read waits for its connection until the sample that it rests on is too old. */
START_TEST(test_read_is_not_sent_with_an_expired_sample)
{
	char *answer;
	int fd;

	set_up(slow_start_at_replica);
	fd = session_open("orders");
	ASSERT_ANSWER_HAS(fd, "QUERY id1 READ x\r\n", "READY I");
	close(fd);
	fd = session_open("lookups");
	caller_send(fd, "QUERY id2 READ x\r\n");
	wait_us(400000);
	ck_assert(strstr(heard[REPLICA]->str, "START "));
	send(conns[conn_count - 1].fd, "READY I 1.2\r\n", 13, MSG_NOSIGNAL);
	answer = caller_receive(fd);
	g_free(answer);
	ck_assert_msg(!strstr(heard[REPLICA]->str, "QUERY id2 READ"), "%s", heard[REPLICA]->str);
}
END_TEST

START_TEST(test_replica_read_carries_the_position_needed)
{
	int fd;

	set_up(obedient);
	fd = session_open("ledger");
	ASSERT_ANSWER_HAS(fd, "QUERY id1 WRITE x d\r\n", "READY I 1.6");
	ASSERT_ANSWER_HAS(fd, "QUERY id2 READ x\r\n", "READY I");
	ck_assert_msg(strstr(heard[REPLICA]->str, "QUERY id2 AFTER 1.6 READ x\n") != NULL, "%s",
		      heard[REPLICA]->str);
}
END_TEST

static const char *behind_replica(int member, const char *line)
{
	if (member == REPLICA && strstr(line, "READ "))
		return "ERR LAGGING\r\nREADY I 1.2\r\n";
	return obedient(member, line);
}

START_TEST(test_read_goes_on_from_a_replica_that_is_behind)
{
	int fd;

	set_up(behind_replica);
	fd = session_open("ledger");
	ASSERT_ANSWER_HAS(fd, "QUERY id1 WRITE x d\r\n", "READY I 1.6");
	ASSERT_ANSWER_HAS(fd, "QUERY id2 READ x\r\n", "ROW abc");
	ck_assert(strstr(heard[PRIMARY]->str, "READ x\n"));
}
END_TEST

static const char *full_replica(int member, const char *line)
{
	if (member == REPLICA && g_str_has_prefix(line, "START "))
		return "ERR MAXCONN\r\n";
	return obedient(member, line);
}

/* More VMs than connections: a member that takes no more is not asked again for this statement. */
START_TEST(test_read_goes_on_from_a_member_without_connections)
{
	const char *at;
	int starts = 0;
	int fd;

	set_up(full_replica);
	fd = session_open("ledger");
	ASSERT_ANSWER_HAS(fd, "QUERY id1 WRITE x d\r\n", "READY I 1.6");
	ASSERT_ANSWER_HAS(fd, "QUERY id2 READ x\r\n", "ROW abc");
	for (at = heard[REPLICA]->str; (at = strstr(at, "START ")); at++)
		starts++;
	ck_assert_int_eq(starts, 1);
}
END_TEST

static const char *read_only_primary(int member, const char *line)
{
	return strstr(line, "WRITE") ? "ERR READONLY m-0\r\nREADY I 1.5\r\n" :
				       obedient(member, line);
}

/* A primary that crashed came back as a replica: only the callers' statements show it. */
START_TEST(test_primary_that_no_longer_leads_is_reported)
{
	int fd;

	set_up(read_only_primary);
	fd = session_open("orders");
	ASSERT_ANSWER_HAS(fd, "QUERY id1 READ x\r\n", "ROW abc");
	ck_assert_uint_eq(reports, 0);
	ASSERT_ANSWER_HAS(fd, "QUERY id2 WRITE x d\r\n", "ERR BUSY");
	ck_assert_uint_gt(reports, 0);
}
END_TEST

static const char *busy_commit(int member, const char *line)
{
	return strstr(line, "COMMIT") ? "ERR BUSY\r\nREADY T 1.5\r\n" : obedient(member, line);
}

START_TEST(test_commit_that_did_not_run_ends_its_transaction)
{
	int fd;

	set_up(busy_commit);
	fd = session_open("orders");
	ASSERT_ANSWER_HAS(fd, "QUERY id1 BEGIN\r\n", "READY T");
	ASSERT_ANSWER_HAS(fd, "QUERY id2 COMMIT\r\n", "READY I");
	ASSERT_ANSWER_HAS(fd, "QUERY id3 READ x\r\n", "ROW abc");
}
END_TEST

static const char *silent_commit(int member, const char *line)
{
	if (strstr(line, "COMMIT"))
		return NULL;
	return obedient(member, line);
}

START_TEST(test_commit_of_a_replaced_primary_is_unknown)
{
	int fd;

	set_up(silent_commit);
	fd = session_open("orders");
	ASSERT_ANSWER_HAS(fd, "QUERY id1 BEGIN\r\n", "READY T");
	caller_send(fd, "QUERY id2 COMMIT\r\n");
	wait_us(50000);
	publish_primary(2, true);
	wait_us(10000);
	send(conns[conn_count - 1].fd, "DONE s1\r\nREADY I 1.7\r\n", 22, MSG_NOSIGNAL);
	ASSERT_ANSWER_HAS(fd, "", "ERR UNKNOWN");
}
END_TEST

static const char *closes_on_commit(int member, const char *line)
{
	return strstr(line, "COMMIT") ? "" : obedient(member, line);
}

START_TEST(test_lost_commit_is_unknown)
{
	int fd;

	set_up(closes_on_commit);
	fd = session_open("orders");
	ASSERT_ANSWER_HAS(fd, "QUERY id1 BEGIN\r\n", "READY T");
	ASSERT_ANSWER_HAS(fd, "QUERY id2 COMMIT\r\n", "ERR UNKNOWN");
}
END_TEST

static const char *closes_on_write(int member, const char *line)
{
	return strstr(line, "WRITE") ? "" : obedient(member, line);
}

START_TEST(test_lost_write_is_unknown_alone_and_aborted_in_a_transaction)
{
	int fd;

	set_up(closes_on_write);
	fd = session_open("orders");
	ASSERT_ANSWER_HAS(fd, "QUERY id1 WRITE x d\r\n", "ERR UNKNOWN");
	ASSERT_ANSWER_HAS(fd, "QUERY id2 BEGIN\r\n", "READY T");
	ASSERT_ANSWER_HAS(fd, "QUERY id3 WRITE x d\r\n", "ERR ABORTED");
	ASSERT_ANSWER_HAS(fd, "QUERY id4 READ x\r\n", "ERR BADMSG");
	ASSERT_ANSWER_HAS(fd, "QUERY id5 ROLLBACK\r\n", "DONE -\r\nREADY I");
}
END_TEST

START_TEST(test_primary_is_not_used_without_authority)
{
	int fd;

	set_up_without_site(obedient);
	publish_site();
	publish_authority(0);
	wait_us(10000);
	fd = session_open("orders");
	/* Authority only grows: a later message with an earlier end does not shorten it. */
	ASSERT_ANSWER_HAS(fd, "QUERY id1 READ x\r\n", "ROW abc");
	publish_primary(2, true);
	wait_us(10000);
	ASSERT_ANSWER_HAS(fd, "QUERY id2 READ x\r\n", "ERR BUSY");
	publish_primary(3, false);
	wait_us(10000);
	ASSERT_ANSWER_HAS(fd, "QUERY id3 READ x\r\n", "ROW abc");
}
END_TEST

/*
 * Overload while a VM shuts down: a session that always has a statement is never idle, and its last
 * one was cut off when the process ended.
 */
START_TEST(test_busy_session_ends_with_an_answer_before_the_process)
{
	int64_t begun_us;
	bool is_closed = false;
	char byte;
	int fd;

	set_up(obedient);
	fd = session_open("orders");
	jh_kernel_drain(kernel);
	begun_us = g_get_monotonic_time();
	while (!is_closed) {
		ASSERT_ANSWER_HAS(fd, "QUERY id1 READ x\r\n", "ROW abc");
		wait_us(5000);
		is_closed = recv(fd, &byte, 1, MSG_DONTWAIT) == 0;
		ck_assert_int_lt(g_get_monotonic_time() - begun_us, PATIENCE_US);
	}
	close(fd);
	fd = caller_connect();
	ASSERT_ANSWER_HAS(fd, "START orders key-1\r\n", "ERR BUSY");
}
END_TEST

/* Status line of the ready address. Return: new */
static char *ready_status(void)
{
	struct sockaddr_in address = { .sin_family = AF_INET,
				       .sin_port = htons(settings.ready_listen.port) };
	int64_t until = g_get_monotonic_time() + PATIENCE_US;
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	char buffer[256] = "";

	inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
	ck_assert_int_eq(connect(fd, (struct sockaddr *)&address, sizeof(address)), 0);
	caller_send(fd, "GET /v1/readyz HTTP/1.1\r\n\r\n");
	while (recv(fd, buffer, sizeof(buffer) - 1, MSG_DONTWAIT) <= 0) {
		ck_assert_int_lt(g_get_monotonic_time(), until);
		turn();
	}
	close(fd);
	return g_strndup(buffer, strcspn(buffer, "\r"));
}

/* Half of the fleet is cut off from the store: callers must not stay with VMs that serve nothing.
 */
START_TEST(test_vm_that_is_cut_off_sends_callers_elsewhere)
{
	int64_t until = g_get_monotonic_time() + PATIENCE_US;
	char byte;
	char *status;
	int fd;

	first_authority_us = 300000;
	set_up(obedient);
	fd = session_open("orders");
	status = ready_status();
	ck_assert_str_eq(status, "HTTP/1.1 200 OK");
	g_free(status);
	while (recv(fd, &byte, 1, MSG_DONTWAIT) != 0) {
		ck_assert_int_lt(g_get_monotonic_time(), until);
		turn();
	}
	status = ready_status();
	ck_assert_str_eq(status, "HTTP/1.1 503 Service Unavailable");
	g_free(status);
	publish_authority(PATIENCE_US);
	wait_us(300000);
	fd = session_open("orders");
	ASSERT_ANSWER_HAS(fd, "QUERY id1 READ x\r\n", "ROW abc");
	status = ready_status();
	ck_assert_str_eq(status, "HTTP/1.1 200 OK");
	g_free(status);
}
END_TEST

/* Entries lapse while the store is away, and are back within two seconds of its return. */
START_TEST(test_member_whose_entry_lapsed_serves_on_for_a_while)
{
	int fd;

	set_up(obedient);
	fd = session_open("orders");
	publish_member_gone(PRIMARY);
	wait_us(10000);
	ASSERT_ANSWER_HAS(fd, "QUERY id1 READ x\r\n", "ROW abc");
	ASSERT_ANSWER_HAS(fd, "QUERY id2 READ x\r\n", "ROW abc");
	wait_us(3000000);
	ASSERT_ANSWER_HAS(fd, "QUERY id3 READ x\r\n", "ERR BUSY");
	publish_member(PRIMARY);
	wait_us(10000);
	ASSERT_ANSWER_HAS(fd, "QUERY id4 READ x\r\n", "ROW abc");
}
END_TEST

START_TEST(test_start_waits_for_the_configuration)
{
	char *answer;
	int fd;

	set_up_without_site(obedient);
	fd = caller_connect();
	caller_send(fd, "START orders key-1\r\n");
	wait_us(100000);
	publish_site();
	answer = caller_receive(fd);
	ck_assert_str_eq(answer, "READY I -\r\n");
	g_free(answer);
}
END_TEST

START_TEST(test_unknown_keys_routes_and_messages)
{
	int fd;

	set_up(obedient);
	fd = caller_connect();
	ASSERT_ANSWER_HAS(fd, "START orders key-2\r\n", "ERR NOAUTH");
	fd = caller_connect();
	ASSERT_ANSWER_HAS(fd, "START nothing key-1\r\n", "ERR NODB");
	fd = caller_connect();
	ASSERT_ANSWER_HAS(fd, "HELLO\r\n", "ERR BADMSG");
	fd = session_open("orders");
	ASSERT_ANSWER_HAS(fd, "QUERY id1 DROP x\r\n", "ERR BADMSG");
	ASSERT_ANSWER_HAS(fd, "QUERY id2 COMMIT\r\n", "ERR BADMSG");
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		test_answer_is_relayed_as_received,
		test_begin_reaches_the_member_with_the_first_statement,
		test_values_and_prepared_statements_are_set_on_the_connection,
		test_session_without_values_resets_anothers,
		test_connection_with_an_unanswered_setting_is_not_reused,
		test_read_is_not_sent_with_an_expired_sample,
		test_replica_read_carries_the_position_needed,
		test_read_goes_on_from_a_replica_that_is_behind,
		test_read_goes_on_from_a_member_without_connections,
		test_primary_that_no_longer_leads_is_reported,
		test_commit_that_did_not_run_ends_its_transaction,
		test_commit_of_a_replaced_primary_is_unknown,
		test_lost_commit_is_unknown,
		test_lost_write_is_unknown_alone_and_aborted_in_a_transaction,
		test_primary_is_not_used_without_authority,
		test_vm_that_is_cut_off_sends_callers_elsewhere,
		test_busy_session_ends_with_an_answer_before_the_process,
		test_member_whose_entry_lapsed_serves_on_for_a_while,
		test_start_waits_for_the_configuration,
		test_unknown_keys_routes_and_messages,
		NULL,
	};

	return run_tests("gateway", tests);
}
