#include "gateway_fake.h"

/*
 * Guards against a statement that runs twice or whose outcome is reported wrongly when a
 * connection or a primary is lost, a stale read, a connection that keeps the settings of another
 * session, and a VM that serves callers without a lease.
 */

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

/* Publishes a configuration that moves all routes to the group. */
static void move_routes(const char *group)
{
	route_group = group;
	config_version++;
	publish_config();
	wait_us(10000);
}

/* Two groups of one member each, with one commit acknowledged in the first before the second. */
static int session_with_commits_in_two_groups(reply_fn_t replies)
{
	int fd;

	member_groups[REPLICA_MEMBER] = "other";
	config_max_age_us = WAIT_MAX_US;
	set_up(replies);
	publish_primary_row(&(jh_primary_t){ .group = g_intern_string("other"),
					     .epoch = 1,
					     .term = 1,
					     .member = g_intern_string("m-1") });
	fd = session_open("ledger");
	ASSERT_RESPONSE_HAS(fd, "QUERY id1 READ x\r\n", "READY I 1.5");
	ASSERT_RESPONSE_HAS(fd, "QUERY id2 WRITE x d\r\n", "READY I");
	move_routes("other");
	ASSERT_RESPONSE_HAS(fd, "QUERY id3 WRITE y d\r\n", "READY I");
	ck_assert(strstr(received[REPLICA_MEMBER]->str, "QUERY id3 WRITE"));
	return fd;
}

/*
 * Guards against STALE: a commit in one group replaced the position of the session's commit in the
 * other, so that reads after a route had moved there and back did not ask for it.
 */
START_TEST(test_session_keeps_its_commits_by_group)
{
	int fd = session_with_commits_in_two_groups(reply_normally);

	ASSERT_RESPONSE_HAS(fd, "QUERY id4 READ y\r\n", "READY I");
	ck_assert(strstr(received[REPLICA_MEMBER]->str, "QUERY id4 AFTER 1.6 READ y\n"));
	move_routes("db");
	ASSERT_RESPONSE_HAS(fd, "QUERY id5 READ x\r\n", "READY I");
	ck_assert_msg(strstr(received[PRIMARY_MEMBER]->str, "QUERY id5 AFTER 1.6 READ x\n") != NULL,
		      "%s", received[PRIMARY_MEMBER]->str);
}
END_TEST

static const char *reply_without_commit_position(int member, const char *line)
{
	if (strstr(line, "WRITE"))
		return "DONE s1\r\nREADY I -\r\n";
	return reply_normally(member, line);
}

/* Guards against STALE: where the position of the session's commit is unknown, only the primary has
 * it for sure. */
START_TEST(test_read_after_a_commit_without_position_goes_to_the_primary)
{
	int fd;

	config_max_age_us = WAIT_MAX_US;
	set_up(reply_without_commit_position);
	fd = session_open("ledger");
	ASSERT_RESPONSE_HAS(fd, "QUERY id1 READ x\r\n", "READY I 1.5");
	ASSERT_RESPONSE_HAS(fd, "QUERY id2 READ x\r\n", "READY I 1.5");
	ck_assert(strstr(received[REPLICA_MEMBER]->str, "QUERY id2 "));
	ASSERT_RESPONSE_HAS(fd, "QUERY id3 WRITE x d\r\n", "READY I");
	ASSERT_RESPONSE_HAS(fd, "QUERY id4 READ x\r\n", "READY I");
	ck_assert_msg(strstr(received[PRIMARY_MEMBER]->str, "QUERY id4 READ x\n") != NULL, "%s",
		      received[PRIMARY_MEMBER]->str);
}
END_TEST

static bool has_started_anew;

static const char *reply_after_start_anew(int member, const char *line)
{
	if (has_started_anew && strstr(line, "READ "))
		return "ERR LAGGING m-0\r\nREADY I 0.0\r\n";
	return reply_normally(member, line);
}

/* Repeats a read that is refused, since a new connection may time out on a busy machine. */
static void read_until_served(int fd, const char *text)
{
	int64_t until = g_get_monotonic_time() + WAIT_MAX_US;
	bool is_served = false;

	while (!is_served) {
		char *response = send_and_receive(fd, text);

		is_served = g_str_has_prefix(response, "ROW abc\r\nDONE ");
		ck_assert_msg(is_served || g_get_monotonic_time() < until, "%s", response);
		g_free(response);
	}
}

/*
 * Guards against STALE: a member that started anew lacks the commit, but says so with an earlier
 * term. The commit was not rolled back, and the session's later reads have to see it.
 */
START_TEST(test_commit_is_kept_if_its_member_has_started_anew)
{
	int fd = session_with_commits_in_two_groups(reply_after_start_anew);

	move_routes("db");
	publish_primary_row(&(jh_primary_t){ .group = g_intern_string("db"),
					     .epoch = 2,
					     .term = 2,
					     .member = g_intern_string("m-0") });
	wait_us(10000);
	has_started_anew = true;
	ASSERT_RESPONSE_HAS(fd, "QUERY id4 READ x\r\n", "ERR BUSY");
	has_started_anew = false;
	wait_us(100000);
	read_until_served(fd, "QUERY id5 READ x\r\n");
	ck_assert_msg(strstr(received[PRIMARY_MEMBER]->str, "QUERY id5 AFTER 1.6 READ x\n") != NULL,
		      "%s", received[PRIMARY_MEMBER]->str);
}
END_TEST

static const char *reply_beside_other_commits(int member, const char *line)
{
	if (strstr(line, " WRITE "))
		return "DONE s1\r\nREADY I 1.9\r\n";
	return reply_normally(member, line);
}

/*
 * Guards against LOST (review/11), and against a group without a primary: what the leader is told
 * of acknowledged commits is certain. The position in an answer may be that of a commit of another
 * session, which has reached no replica.
 */
START_TEST(test_acknowledged_position_is_that_before_the_commit)
{
	int fd;

	group_sync_replicas = 1;
	set_up(reply_beside_other_commits);
	fd = session_open("orders");
	ASSERT_RESPONSE_HAS(fd, "QUERY id1 READ x\r\n", "READY I 1.5");
	ck_assert_uint_eq(acknowledged.term, 0);
	ASSERT_RESPONSE_HAS(fd, "QUERY id2 WRITE x d\r\n", "READY I 1.9");
	wait_us(10000);
	ck_assert_uint_eq(acknowledged.term, 1);
	ck_assert_uint_eq(acknowledged.index, 6);
	ASSERT_RESPONSE_HAS(fd, "QUERY id3 WRITE x e\r\n", "READY I 1.9");
	wait_us(10000);
	ck_assert_uint_eq(acknowledged.index, 10);
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

/* Otherwise the caller's retry pays for the operation a second time. */
START_TEST(test_quota_of_an_operation_that_did_not_run_is_given_back)
{
	int fd;

	set_up(read_only_primary);
	fd = session_open("orders");
	ASSERT_RESPONSE_HAS(fd, "QUERY id1 READ x\r\n", "ROW abc");
	ck_assert_uint_eq(given_back_count, 0);
	ASSERT_RESPONSE_HAS(fd, "QUERY id2 WRITE x d\r\n", "ERR BUSY");
	wait_us(10000);
	ck_assert_uint_eq(given_back_count, 1);
	ck_assert_uint_eq(given_back_grant, 2);
	/* Nothing is sent while no primary is known, also not the BEGIN that the gateway answers.
	 */
	publish_primary(2, true);
	wait_us(10000);
	ASSERT_RESPONSE_HAS(fd, "QUERY id3 BEGIN\r\n", "READY T");
	ASSERT_RESPONSE_HAS(fd, "QUERY id4 READ x\r\n", "ERR BUSY");
	wait_us(10000);
	ck_assert_uint_eq(given_back_count, 2);
	ck_assert_uint_eq(given_back_grant, 3);
	ASSERT_RESPONSE_HAS(fd, "QUERY id5 ROLLBACK\r\n", "DONE -\r\nREADY I");
	wait_us(10000);
	ck_assert_uint_eq(given_back_count, 2);
}
END_TEST

static const char *closes_on_read(int member, const char *line)
{
	return strstr(line, "READ") ? "" : reply_normally(member, line);
}

/* The team would exceed its rate if the quota of what may have run were given back. */
START_TEST(test_quota_of_an_operation_that_may_have_run_is_not_given_back)
{
	int fd;

	set_up(closes_on_write);
	fd = session_open("orders");
	ASSERT_RESPONSE_HAS(fd, "QUERY id1 WRITE x d\r\n", "ERR UNKNOWN");
	ASSERT_RESPONSE_HAS(fd, "QUERY id2 BEGIN\r\n", "READY T");
	ASSERT_RESPONSE_HAS(fd, "QUERY id3 WRITE x d\r\n", "ERR ABORTED");
	wait_us(10000);
	ck_assert_uint_eq(given_back_count, 0);
}
END_TEST

/* A read may be refused with a promise of no effect although a member ran it. */
START_TEST(test_quota_of_a_read_whose_reply_was_lost_is_not_given_back)
{
	int fd;

	set_up(closes_on_read);
	fd = session_open("orders");
	ASSERT_RESPONSE_HAS(fd, "QUERY id1 READ x\r\n", "ERR BUSY");
	wait_us(10000);
	ck_assert_uint_eq(given_back_count, 0);
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

	/* Its statements end before the process does, also in the second half of the limit. */
	config_timeout_us = 200000;
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

/*
 * Starts a shutdown, of 2 s, and waits until sessions must end. The sessions are used until shortly
 * before, so that none is closed because it is idle.
 */
static void drain_until_half(const int *fds, size_t count)
{
	int64_t half_us = jh_boot_time_us() + 1000000;
	size_t i;

	jh_kernel_drain(kernel);
	while (jh_boot_time_us() < half_us - 100000) {
		for (i = 0; i < count; i++)
			ASSERT_RESPONSE_HAS(fds[i], "QUERY id1 SET zone a\r\n", "DONE -");
		wait_us(20000);
	}
	wait_us(half_us + 30000 - jh_boot_time_us());
}

static bool is_closed_by_peer(int fd)
{
	char byte;

	wait_us(50000);
	return recv(fd, &byte, 1, MSG_DONTWAIT) == 0;
}

/*
 * Guards against LOST: a statement that was accepted late in a shutdown was passed on to a member,
 * and the process ended before its reply. It has to be refused at once, so that the caller can
 * try another VM.
 */
START_TEST(test_statement_that_could_outlast_the_process_is_refused)
{
	static const char *const statements[] = { "QUERY id2 READ x\r\n", "QUERY id2 WRITE x d\r\n",
						  "QUERY id2 BEGIN\r\n" };
	int fds[G_N_ELEMENTS(statements)];
	size_t i;

	set_up(reply_normally);
	for (i = 0; i < G_N_ELEMENTS(statements); i++)
		fds[i] = session_open("orders");
	drain_until_half(fds, G_N_ELEMENTS(statements));
	for (i = 0; i < G_N_ELEMENTS(statements); i++) {
		ASSERT_RESPONSE_HAS(fds[i], statements[i],
				    "ERR BUSY this vm shuts down retry-after-ms=10\r\nREADY I");
		ck_assert(is_closed_by_peer(fds[i]));
	}
	ck_assert(!strstr(received[PRIMARY_MEMBER]->str, "id2"));
}
END_TEST

/* Guards against a refusal without need: this statement has its response before the exit. */
START_TEST(test_short_statement_is_served_until_the_process_ends)
{
	int fd;

	config_timeout_us = 200000;
	set_up(reply_normally);
	fd = session_open("orders");
	drain_until_half(&fd, 1);
	ASSERT_RESPONSE_HAS(fd, "QUERY id2 READ x\r\n", "ROW abc");
	ck_assert(is_closed_by_peer(fd));
}
END_TEST

static const char *reply_not_to_slow(int member, const char *line)
{
	if (strstr(line, " slow"))
		return NULL;
	if (strstr(line, " WRITE x") || strstr(line, "SET "))
		return "DONE s1\r\nREADY T 1.5\r\n";
	return reply_normally(member, line);
}

/*
 * Guards against LOST: statements that were accepted early in a shutdown and whose members are
 * still at work got no response at all. The outcome of a write is unknown; a transaction whose
 * COMMIT was not sent is rolled back.
 */
START_TEST(test_statements_in_progress_get_a_response_before_the_exit)
{
	int64_t drained_us;
	char *response;
	int single;
	int open;

	config_timeout_us = 10000000;
	set_up(reply_not_to_slow);
	single = session_open("orders");
	open = session_open("orders");
	ASSERT_RESPONSE_HAS(open, "QUERY id1 BEGIN\r\n", "READY T");
	ASSERT_RESPONSE_HAS(open, "QUERY id2 WRITE x d\r\n", "READY T");
	jh_kernel_drain(kernel);
	drained_us = jh_boot_time_us();
	caller_send(single, "QUERY id3 WRITE slow d\r\n");
	caller_send(open, "QUERY id4 READ slow\r\n");
	response = caller_receive(single);
	ck_assert_msg(strstr(response, "ERR UNKNOWN this vm shuts down") != NULL, "%s", response);
	g_free(response);
	response = caller_receive(open);
	ck_assert_msg(strstr(response, "ERR ABORTED this vm shuts down") != NULL, "%s", response);
	g_free(response);
	/* The member was at work; it had nearly all of the time. */
	ck_assert_int_gt(jh_boot_time_us() - drained_us, 1500000);
	ck_assert(strstr(received[PRIMARY_MEMBER]->str, "QUERY id3 WRITE slow d\n"));
}
END_TEST

/*
 * Guards against LOST: a session is idle for long enough to be closed, but its next request is in
 * the socket already.
 */
START_TEST(test_idle_session_with_an_unread_request_is_not_closed)
{
	char *response;
	int fd;

	config_timeout_us = 200000;
	set_up(reply_normally);
	fd = session_open("orders");
	jh_kernel_drain(kernel);
	/* Both the timer and the socket are due in the next iteration; the timer comes first. */
	g_usleep(400000);
	caller_send(fd, "QUERY id1 READ x\r\n");
	response = caller_receive(fd);
	ck_assert_msg(strstr(response, "ROW abc") != NULL, "'%s'", response);
	g_free(response);
}
END_TEST

/* Guards against LOST in an open transaction, which may continue in the first half only. */
START_TEST(test_transaction_is_aborted_if_its_statement_could_outlast_the_process)
{
	int fd;

	set_up(reply_not_to_slow);
	fd = session_open("orders");
	ASSERT_RESPONSE_HAS(fd, "QUERY id1 BEGIN\r\n", "READY T");
	jh_kernel_drain(kernel);
	wait_us(950000);
	ASSERT_RESPONSE_HAS(fd, "QUERY id2 WRITE x d\r\n", "READY T");
	wait_us(60000);
	ASSERT_RESPONSE_HAS(fd, "QUERY id3 COMMIT\r\n", "ERR ABORTED");
	ck_assert(!strstr(received[PRIMARY_MEMBER]->str, "id3"));
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

static const char *reply_in_transaction(int member, const char *line)
{
	if (strstr(line, "QUERY id3 READ"))
		return "ROW abc\r\nDONE s2\r\nREADY T 1.5\r\n";
	return reply_normally(member, line);
}

/*
 * Guards against DRAIN: a primary that leaves, and that no other member can replace, got statements
 * for as long as it was the primary.
 */
START_TEST(test_primary_that_leaves_is_not_used_after_its_drain_time)
{
	int fd;

	set_up(reply_in_transaction);
	fd = session_open("orders");
	publish_member_state(PRIMARY_MEMBER, jh_boot_time_us());
	wait_us(10000);
	ASSERT_RESPONSE_HAS(fd, "QUERY id1 READ x\r\n", "ROW abc");
	ASSERT_RESPONSE_HAS(fd, "QUERY id2 BEGIN\r\n", "READY T");
	ASSERT_RESPONSE_HAS(fd, "QUERY id3 READ x\r\n", "ROW abc");
	publish_member_state(PRIMARY_MEMBER, jh_boot_time_us() - 5000000);
	wait_us(10000);
	/* A transaction that has begun ends there. */
	ASSERT_RESPONSE_HAS(fd, "QUERY id4 COMMIT\r\n", "DONE");
	ASSERT_RESPONSE_HAS(fd, "QUERY id5 READ x\r\n", "ERR BUSY");
	ck_assert(!strstr(received[PRIMARY_MEMBER]->str, "id5"));
	/* A VM that has just started does not know since when the member leaves. */
	publish_member_state(PRIMARY_MEMBER, INT64_MIN);
	wait_us(10000);
	ASSERT_RESPONSE_HAS(fd, "QUERY id6 READ x\r\n", "ERR BUSY");
	/* A new instance with the same id is no leaving member. */
	publish_member(PRIMARY_MEMBER);
	wait_us(10000);
	ASSERT_RESPONSE_HAS(fd, "QUERY id7 READ x\r\n", "ROW abc");
}
END_TEST

/*
 * A VM that lacked a newer configuration for more than the bound refused new routes as unknown and
 * served dropped ones. It must send callers elsewhere, with a promise that nothing has run.
 */
START_TEST(test_vm_with_a_late_configuration_sends_callers_elsewhere)
{
	int late_fd;
	int fd;

	set_up(reply_normally);
	fd = session_open("orders");
	publish_config_late(1000000);
	ASSERT_RESPONSE_HAS(fd, "QUERY id1 READ x\r\n", "DONE");
	ASSERT_RESPONSE_HAS(fd, "QUERY id2 BEGIN\r\n", "READY T");
	wait_us(1100000);
	ASSERT_RESPONSE_HAS(fd, "QUERY id4 COMMIT\r\n", "DONE");
	ASSERT_RESPONSE_HAS(fd, "QUERY id5 READ x\r\n", "ERR BUSY");
	late_fd = caller_connect();
	ASSERT_RESPONSE_HAS(late_fd, "START added-route key-1\r\n", "ERR BUSY");
	publish_lease(WAIT_MAX_US);
	wait_us(10000);
	fd = session_open("orders");
	ASSERT_RESPONSE_HAS(fd, "QUERY id6 READ x\r\n", "DONE");
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
		test_session_keeps_its_commits_by_group,
		test_read_after_a_commit_without_position_goes_to_the_primary,
		test_commit_is_kept_if_its_member_has_started_anew,
		test_acknowledged_position_is_that_before_the_commit,
		test_read_is_retried_if_the_replica_is_lagging,
		test_read_is_retried_if_the_member_has_no_connections,
		test_primary_that_became_read_only_is_reported,
		test_commit_that_did_not_run_ends_its_transaction,
		test_commit_during_a_change_of_primary_is_unknown,
		test_lost_commit_is_unknown,
		test_lost_write_is_unknown_alone_and_aborted_in_a_transaction,
		test_quota_of_an_operation_that_did_not_run_is_given_back,
		test_quota_of_an_operation_that_may_have_run_is_not_given_back,
		test_quota_of_a_read_whose_reply_was_lost_is_not_given_back,
		test_lease_is_not_shortened_and_changing_primary_is_not_used,
		test_isolated_vm_closes_idle_sessions_and_is_not_ready,
		test_busy_session_ends_with_a_response_before_exit,
		test_statement_that_could_outlast_the_process_is_refused,
		test_short_statement_is_served_until_the_process_ends,
		test_statements_in_progress_get_a_response_before_the_exit,
		test_idle_session_with_an_unread_request_is_not_closed,
		test_transaction_is_aborted_if_its_statement_could_outlast_the_process,
		test_unlisted_member_is_used_for_a_grace_period,
		test_primary_that_leaves_is_not_used_after_its_drain_time,
		test_vm_with_a_late_configuration_sends_callers_elsewhere,
		test_start_waits_for_the_configuration,
		test_unknown_keys_routes_and_messages,
		NULL,
	};

	return run_tests("gateway", tests);
}
