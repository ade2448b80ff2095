#include "gateway_fake.h"

/*
 * Guards against callers that are held although nothing can serve them, that are held until they
 * time out, that are refused although a change of primary ends in their time, that are all told
 * the same time to return, and against a gateway whose own retries multiply the load.
 */

#define CALLERS 30
/* The plan for one VM and a member that accepts 8 connections. */
#define CONNS_PER_MEMBER 6

static int64_t retry_after_ms(const char *response)
{
	const char *at = strstr(response, "retry-after-ms=");

	ck_assert_msg(at != NULL, "%s", response);
	return g_ascii_strtoll(at + strlen("retry-after-ms="), NULL, 10);
}

static const char *no_reply_to_read(int member, const char *line)
{
	return strstr(line, " READ ") ? NULL : reply_normally(member, line);
}

/* Return: number of the callers that have received a response; they are closed */
static unsigned take_refusals(int *fds, int64_t *retries_ms, unsigned count)
{
	unsigned taken = 0;
	unsigned i;

	for (i = 0; i < count; i++) {
		char buffer[512];
		ssize_t length =
			fds[i] < 0 ? 0 : recv(fds[i], buffer, sizeof(buffer) - 1, MSG_DONTWAIT);

		if (length <= 0)
			continue;
		buffer[length] = '\0';
		ck_assert_msg(strstr(buffer, "ERR BUSY") != NULL, "%s", buffer);
		retries_ms[i] = retry_after_ms(buffer);
		close(fds[i]);
		fds[i] = -1;
		taken++;
	}
	return taken;
}

static unsigned count_distinct(const int64_t *values, unsigned count)
{
	GHashTable *set = g_hash_table_new(g_int64_hash, g_int64_equal);
	unsigned distinct;
	unsigned i;

	for (i = 0; i < count; i++) {
		if (values[i] != 0)
			g_hash_table_add(set, (void *)&values[i]);
	}
	distinct = g_hash_table_size(set);
	g_hash_table_destroy(set);
	return distinct;
}

/*
 * Keeping every caller up to the route's timeout made all of them time out. Those that wait for a
 * member that hangs are refused when their estimate shows it, with different times to return.
 */
START_TEST(test_callers_of_a_member_that_hangs_are_refused_before_their_timeout)
{
	int64_t retries_ms[CALLERS] = { 0 };
	int fds[CALLERS];
	int64_t started_us;
	unsigned refused = 0;
	unsigned i;

	set_up(no_reply_to_read);
	for (i = 0; i < CALLERS; i++)
		fds[i] = session_open("orders");
	started_us = g_get_monotonic_time();
	for (i = 0; i < CALLERS; i++)
		caller_send(fds[i], "QUERY id1 READ x\r\n");
	while (refused < CALLERS - CONNS_PER_MEMBER) {
		run_once();
		refused += take_refusals(fds, retries_ms, CALLERS);
		ck_assert_int_lt(g_get_monotonic_time() - started_us, 1300000);
	}
	ck_assert_uint_gt(count_distinct(retries_ms, CALLERS), refused / 2);
}
END_TEST

/* Plays a change of primary that takes 50 ms, so that the next one is expected to be shorter. */
static uint64_t change_primary(uint64_t epoch)
{
	publish_primary(epoch + 1, true);
	wait_us(50000);
	publish_primary(epoch + 2, false);
	wait_us(50000);
	return epoch + 2;
}

START_TEST(test_statement_waits_for_a_change_of_primary_that_ends_in_its_time)
{
	uint64_t epoch = 1;
	char *response;
	int read_fd;
	int fd;
	int i;

	set_up(reply_normally);
	fd = session_open("orders");
	read_fd = session_open("lookups");
	for (i = 0; i < 3; i++)
		epoch = change_primary(epoch);
	publish_primary(epoch + 1, true);
	wait_us(10000);
	caller_send(fd, "QUERY id1 WRITE x d\r\n");
	/* No statement was sent to the primary yet: a position is missing, too. */
	caller_send(read_fd, "QUERY id2 READ x\r\n");
	/* More than the quarter of the target for which statements waited before. */
	wait_us(300000);
	ck_assert(!strstr(received[PRIMARY_MEMBER]->str, "QUERY id"));
	publish_primary(epoch + 2, false);
	response = caller_receive(fd);
	ck_assert_str_eq(response, "DONE s1\r\nREADY I 1.6\r\n");
	g_free(response);
	response = caller_receive(read_fd);
	ck_assert_str_eq(response, "ROW abc\r\nDONE s2\r\nREADY I 1.5\r\n");
	g_free(response);
}
END_TEST

/* The first change is expected to take 1.5 s, which is more than the statement has. */
START_TEST(test_statement_is_refused_at_once_if_the_change_takes_longer)
{
	int64_t started_us;
	char *response;
	int fd;

	set_up(reply_normally);
	fd = session_open("orders");
	publish_primary(2, true);
	wait_us(10000);
	started_us = g_get_monotonic_time();
	response = send_and_receive(fd, "QUERY id1 WRITE x d\r\n");
	ck_assert_int_lt(g_get_monotonic_time() - started_us, 300000);
	ck_assert_msg(strstr(response, "ERR BUSY no primary leads the group now") != NULL, "%s",
		      response);
	ck_assert_int_gt(retry_after_ms(response), 1000);
	ck_assert_int_le(retry_after_ms(response), 1500);
	g_free(response);
}
END_TEST

START_TEST(test_statement_is_refused_at_once_if_nothing_can_serve_it)
{
	int64_t started_us;
	char *response;
	int fd;

	set_up(reply_normally);
	fd = session_open("orders");
	publish_member_state(PRIMARY_MEMBER, INT64_MIN);
	wait_us(10000);
	started_us = g_get_monotonic_time();
	response = send_and_receive(fd, "QUERY id1 WRITE x d\r\n");
	ck_assert_int_lt(g_get_monotonic_time() - started_us, 300000);
	ck_assert_msg(strstr(response, "ERR BUSY the primary has left") != NULL, "%s", response);
	ck_assert_int_gt(retry_after_ms(response), 0);
	g_free(response);
}
END_TEST

static const char *busy_read(int member, const char *line)
{
	return strstr(line, " READ ") ? "ERR BUSY\r\nREADY I 1.5\r\n" :
					reply_normally(member, line);
}

/* Each statement was tried six times, however many others were, too. */
START_TEST(test_retries_are_limited_to_a_share_of_the_statements)
{
	const char *at;
	unsigned tries = 0;
	bool is_denied = false;
	int fd;
	int i;

	set_up(busy_read);
	fd = session_open("orders");
	ASSERT_RESPONSE_HAS(fd, "QUERY id1 READ x\r\n", "no member could run it");
	for (i = 0; i < 10; i++) {
		char *response = send_and_receive(fd, "QUERY id1 READ x\r\n");

		is_denied = is_denied ||
			    strstr(response, "too many statements of the group were run again");
		g_free(response);
	}
	ck_assert(is_denied);
	for (at = received[PRIMARY_MEMBER]->str; (at = strstr(at, " READ ")); at++)
		tries++;
	/* 11 first attempts, and the 20 tokens of a new budget with a fifth for each attempt. */
	ck_assert_uint_le(tries, 11 + 20 + 3);
}
END_TEST

/* A member that answers BEHIND has used no run time, so its budget does not count this. */
static const char *lagging_replica(int member, const char *line)
{
	if (member == REPLICA_MEMBER && strstr(line, "READ "))
		return "ERR LAGGING\r\nREADY I 1.2\r\n";
	return reply_normally(member, line);
}

START_TEST(test_reads_that_a_lagging_replica_refuses_need_no_budget)
{
	int fd;
	int i;

	set_up(lagging_replica);
	fd = session_open("ledger");
	ASSERT_RESPONSE_HAS(fd, "QUERY id1 WRITE x d\r\n", "READY I 1.6");
	for (i = 0; i < 40; i++) {
		ASSERT_RESPONSE_HAS(fd, "QUERY id2 READ x\r\n", "ROW abc");
		wait_us(55000);
	}
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		test_callers_of_a_member_that_hangs_are_refused_before_their_timeout,
		test_statement_waits_for_a_change_of_primary_that_ends_in_its_time,
		test_statement_is_refused_at_once_if_the_change_takes_longer,
		test_statement_is_refused_at_once_if_nothing_can_serve_it,
		test_retries_are_limited_to_a_share_of_the_statements,
		test_reads_that_a_lagging_replica_refuses_need_no_budget,
		NULL,
	};

	return run_tests("queue", tests);
}
