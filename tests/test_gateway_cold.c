#include "gateway_fake.h"

/*
 * Guards against lines that reach a member that has just started without a token of its limit, and
 * against callers that wait for such a member in vain.
 */

static void set_up_cold(int64_t primary_ms, int64_t replica_ms, unsigned tokens)
{
	group_cold_rate = 20;
	member_cold_ms[PRIMARY_MEMBER] = primary_ms;
	member_cold_ms[REPLICA_MEMBER] = replica_ms;
	cold_tokens = tokens;
	set_up(reply_normally);
}

static unsigned count_lines(int member)
{
	const char *at = received[member]->str;
	unsigned count = 0;

	for (; (at = strstr(at, "QUERY ")); at++)
		count++;
	return count;
}

START_TEST(test_each_line_to_a_cold_member_takes_a_token)
{
	int fd;

	set_up_cold(5000, 0, 10);
	fd = session_open("orders");
	ASSERT_RESPONSE(fd, "QUERY id1 SET zone a\r\n", "DONE -\r\nREADY I -\r\n");
	ASSERT_RESPONSE_HAS(fd, "QUERY id2 WRITE x d\r\n", "DONE");
	ASSERT_RESPONSE_HAS(fd, "QUERY id3 BEGIN\r\n", "READY T");
	ASSERT_RESPONSE_HAS(fd, "QUERY id4 COMMIT\r\n", "DONE");
	ck_assert_uint_eq(count_lines(PRIMARY_MEMBER), 4);
	ck_assert_uint_eq(cold_tokens, 6);
}
END_TEST

START_TEST(test_warm_members_and_groups_without_a_limit_need_no_token)
{
	int fd;

	set_up_cold(0, 0, 0);
	fd = session_open("orders");
	ASSERT_RESPONSE_HAS(fd, "QUERY id1 WRITE x d\r\n", "DONE");
	group_cold_rate = 0;
	config_version++;
	publish_config();
	member_cold_ms[PRIMARY_MEMBER] = 5000;
	publish_member(PRIMARY_MEMBER);
	wait_us(10000);
	ASSERT_RESPONSE_HAS(fd, "QUERY id2 WRITE x d\r\n", "DONE");
	ck_assert_uint_eq(cold_asks, 0);
}
END_TEST

START_TEST(test_reads_avoid_a_cold_member_without_tokens)
{
	int fd;

	set_up_cold(0, 5000, 0);
	fd = session_open("ledger");
	ASSERT_RESPONSE_HAS(fd, "QUERY id1 WRITE x d\r\n", "READY I 1.6");
	ASSERT_RESPONSE_HAS(fd, "QUERY id2 READ x\r\n", "ROW abc");
	ck_assert_uint_eq(count_lines(REPLICA_MEMBER), 0);
	ck_assert_uint_gt(cold_asks, 0);
}
END_TEST

START_TEST(test_statements_beyond_the_limit_of_cold_members_are_refused)
{
	int fd;

	set_up_cold(5000, 5000, 1);
	fd = session_open("orders");
	ASSERT_RESPONSE_HAS(fd, "QUERY id1 WRITE x d\r\n", "DONE");
	ASSERT_RESPONSE_HAS(fd, "QUERY id2 WRITE x d\r\n", "ERR BUSY");
	ck_assert_uint_eq(count_lines(PRIMARY_MEMBER), 1);
	ck_assert_uint_eq(count_lines(REPLICA_MEMBER), 0);
}
END_TEST

/* Two tokens come in the time of a statement (20 per s, 100 ms): the third caller cannot wait. */
START_TEST(test_callers_without_a_place_are_refused_at_once_and_the_rest_by_priority)
{
	int64_t begin_us;
	char *response;
	int first;
	int second;
	int urgent;
	int late;

	ledger_priority = 5;
	config_teams = 1;
	set_up_cold(5000, 5000, 0);
	first = session_open("ledger");
	second = session_open("ledger");
	late = session_open("ledger");
	urgent = session_open("orders");
	begin_us = g_get_monotonic_time();
	caller_send(first, "QUERY id1 WRITE x d\r\n");
	wait_us(3000);
	caller_send(second, "QUERY id2 WRITE x d\r\n");
	wait_us(3000);
	ASSERT_RESPONSE_HAS(late, "QUERY id3 WRITE x d\r\n", "get a limited rate");
	ck_assert_int_lt(g_get_monotonic_time() - begin_us, 60000);
	caller_send(urgent, "QUERY id4 WRITE x d\r\n");
	wait_us(3000);
	cold_tokens = 1;
	response = caller_receive(urgent);
	ck_assert_msg(strstr(response, "DONE") != NULL, "%s", response);
	g_free(response);
	response = caller_receive(first);
	ck_assert_msg(strstr(response, "ERR BUSY") != NULL, "%s", response);
	g_free(response);
	ck_assert_uint_eq(count_lines(PRIMARY_MEMBER), 1);
}
END_TEST

static const char *reply_in_transaction(int member, const char *line)
{
	if (strstr(line, " WRITE "))
		return "DONE s1\r\nREADY T 1.5\r\n";
	return reply_normally(member, line);
}

/* The rollback of the transaction would be a line without a token. */
START_TEST(test_transaction_without_a_token_is_rolled_back_by_closing)
{
	int fd;

	set_up_cold(5000, 0, 2);
	reply_fn = reply_in_transaction;
	fd = session_open("orders");
	ASSERT_RESPONSE_HAS(fd, "QUERY id1 BEGIN\r\n", "READY T");
	ASSERT_RESPONSE_HAS(fd, "QUERY id2 WRITE x d\r\n", "READY T");
	ASSERT_RESPONSE_HAS(fd, "QUERY id3 COMMIT\r\n", "ERR ABORTED");
	wait_us(10000);
	ck_assert_uint_eq(count_lines(PRIMARY_MEMBER), 2);
	ck_assert_uint_eq(conn_count, 1);
	/* The member has seen the end of the connection. */
	ck_assert_int_eq(recv(conns[0].fd, (char[1]){ 0 }, 1, 0), 0);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		test_each_line_to_a_cold_member_takes_a_token,
		test_warm_members_and_groups_without_a_limit_need_no_token,
		test_reads_avoid_a_cold_member_without_tokens,
		test_statements_beyond_the_limit_of_cold_members_are_refused,
		test_callers_without_a_place_are_refused_at_once_and_the_rest_by_priority,
		test_transaction_without_a_token_is_rolled_back_by_closing,
		NULL,
	};

	return run_tests("gateway_cold", tests);
}
