#include "gateway_fake.h"

/*
 * Guards against statements that reach a data centre after its drain, against a caller that waits
 * for members which will not be used, and against a drain that leaves an outcome unknown. The
 * primary is in dc-2, the replica in dc-1; the bound is 5 s.
 */

#define BOUND_US (5000 * INT64_C(1000))

static const char *reply_in_transaction(int member, const char *line)
{
	if (strstr(line, " READ ") && !strstr(line, "PREPARE"))
		return "ROW abc\r\nDONE s2\r\nREADY T 1.5\r\n";
	return reply_normally(member, line);
}

static bool has_received(int member, const char *text)
{
	return strstr(received[member]->str, text) != NULL;
}

/* The replica has applied the write, so that reads prefer it. */
static const char *reply_caught_up(int member, const char *line)
{
	if (strstr(line, " READ ") || strstr(line, " AFTER "))
		return "ROW abc\r\nDONE s2\r\nREADY I 1.6\r\n";
	return reply_normally(member, line);
}

START_TEST(test_reads_avoid_a_drained_dc_at_once)
{
	int fd;

	set_up(reply_caught_up);
	fd = session_open("ledger");
	ASSERT_RESPONSE_HAS(fd, "QUERY id1 WRITE x d\r\n", "READY I 1.6");
	ASSERT_RESPONSE_HAS(fd, "QUERY id2 READ x\r\n", "READY I");
	ck_assert(has_received(REPLICA_MEMBER, "QUERY id2 "));
	publish_dc_drain("dc-1", true, jh_boot_time_us());
	wait_us(10000);
	ASSERT_RESPONSE_HAS(fd, "QUERY id3 READ x\r\n", "READY I");
	ck_assert(!has_received(REPLICA_MEMBER, "id3"));
	ck_assert(has_received(PRIMARY_MEMBER, "QUERY id3 "));
	publish_dc_drain("dc-1", false, 0);
	wait_us(10000);
	ASSERT_RESPONSE_HAS(fd, "QUERY id4 READ x\r\n", "READY I");
	ck_assert(has_received(REPLICA_MEMBER, "QUERY id4 "));
}
END_TEST

/* Without this the group would have no primary from the row to the start of the change. */
START_TEST(test_primary_that_can_be_replaced_serves_until_half_of_the_bound)
{
	int fd;

	set_up(reply_normally);
	fd = session_open("orders");
	publish_dc_drain("dc-2", true, jh_boot_time_us());
	wait_us(10000);
	ASSERT_RESPONSE_HAS(fd, "QUERY id1 WRITE x d\r\n", "DONE");
	publish_dc_drain("dc-2", false, 0);
	publish_dc_drain("dc-2", true, jh_boot_time_us() - BOUND_US / 2);
	wait_us(10000);
	ASSERT_RESPONSE_HAS(fd, "QUERY id2 WRITE x d\r\n", "ERR BUSY");
	ck_assert(!has_received(PRIMARY_MEMBER, "id2"));
}
END_TEST

START_TEST(test_statements_are_refused_at_once_if_all_members_are_drained)
{
	int64_t begin_us;
	int reads;
	int writes;

	set_up(reply_normally);
	reads = session_open("lookups");
	writes = session_open("orders");
	publish_dc_drain("dc-1", true, jh_boot_time_us());
	publish_dc_drain("dc-2", true, jh_boot_time_us());
	wait_us(10000);
	begin_us = g_get_monotonic_time();
	ASSERT_RESPONSE_HAS(writes, "QUERY id1 WRITE x d\r\n", "ERR BUSY");
	ASSERT_RESPONSE_HAS(reads, "QUERY id2 READ x\r\n", "ERR BUSY");
	/* A quarter of the target latency would be 100 ms for each of them. */
	ck_assert_int_lt(g_get_monotonic_time() - begin_us, 100000);
	ck_assert_str_eq(received[PRIMARY_MEMBER]->str, "");
	ck_assert_str_eq(received[REPLICA_MEMBER]->str, "");
	publish_primary(2, true);
	wait_us(10000);
	begin_us = g_get_monotonic_time();
	ASSERT_RESPONSE_HAS(writes, "QUERY id3 WRITE x d\r\n", "drained");
	ck_assert_int_lt(g_get_monotonic_time() - begin_us, 100000);
	publish_dc_drain("dc-2", false, 0);
	publish_primary(3, false);
	wait_us(10000);
	ASSERT_RESPONSE_HAS(writes, "QUERY id4 WRITE x d\r\n", "DONE");
}
END_TEST

START_TEST(test_transaction_continues_until_half_of_the_bound)
{
	int fd;

	set_up(reply_in_transaction);
	fd = session_open("orders");
	ASSERT_RESPONSE_HAS(fd, "QUERY id1 BEGIN\r\n", "READY T");
	ASSERT_RESPONSE_HAS(fd, "QUERY id2 READ x\r\n", "ROW abc");
	publish_dc_drain("dc-2", true, jh_boot_time_us() - BOUND_US / 2 + 400000);
	wait_us(10000);
	ASSERT_RESPONSE_HAS(fd, "QUERY id3 READ x\r\n", "ROW abc");
	wait_us(600000);
	ck_assert(has_received(PRIMARY_MEMBER, "ROLLBACK"));
	ASSERT_RESPONSE_HAS(fd, "QUERY id4 COMMIT\r\n", "ERR ABORTED");
	ck_assert(!has_received(PRIMARY_MEMBER, "id4"));
}
END_TEST

static const char *no_reply_to_read(int member, const char *line)
{
	return strstr(line, " READ ") ? NULL : reply_normally(member, line);
}

/* Not even a rollback or START may reach the member; what already runs there may still end. */
START_TEST(test_nothing_is_sent_after_the_bound)
{
	char *response;
	int running;
	int open;
	gsize before;

	set_up(no_reply_to_read);
	running = session_open("orders");
	open = session_open("orders");
	ASSERT_RESPONSE_HAS(open, "QUERY id1 BEGIN\r\n", "READY T");
	caller_send(running, "QUERY id2 READ x\r\n");
	wait_us(50000);
	ck_assert(has_received(PRIMARY_MEMBER, "QUERY id2 READ"));
	caller_send(open, "QUERY id3 READ x\r\n");
	wait_us(50000);
	ck_assert(has_received(PRIMARY_MEMBER, "QUERY id3 READ"));
	before = received[PRIMARY_MEMBER]->len;
	publish_dc_drain("dc-2", true, INT64_MIN);
	wait_us(200000);
	send(conns[0].fd, "ROW abc\r\nDONE s2\r\nREADY I 1.5\r\n", 31, MSG_NOSIGNAL);
	send(conns[1].fd, "ROW abc\r\nDONE s2\r\nREADY T 1.5\r\n", 31, MSG_NOSIGNAL);
	response = caller_receive(running);
	ck_assert_msg(strstr(response, "ROW abc") != NULL, "%s", response);
	g_free(response);
	response = caller_receive(open);
	ck_assert_msg(strstr(response, "ROW abc") != NULL, "%s", response);
	g_free(response);
	wait_us(250000);
	ASSERT_RESPONSE_HAS(open, "QUERY id4 COMMIT\r\n", "ERR ABORTED");
	ASSERT_RESPONSE_HAS(running, "QUERY id5 WRITE x d\r\n", "ERR BUSY");
	ck_assert_uint_eq(received[PRIMARY_MEMBER]->len, before);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		test_reads_avoid_a_drained_dc_at_once,
		test_primary_that_can_be_replaced_serves_until_half_of_the_bound,
		test_statements_are_refused_at_once_if_all_members_are_drained,
		test_transaction_continues_until_half_of_the_bound,
		test_nothing_is_sent_after_the_bound,
		NULL,
	};

	return run_tests("gateway_drain", tests);
}
