#include "answers_fake.h"

/*
 * Guards against a repeated success of a setting or a BEGIN, which has no signature: its position
 * that counts as one of now, an error after it that counts as a promise for another statement, and
 * a member that repeats answers and is not used any more.
 */

static const char *reply_to_second_set;
static unsigned set_count;
static bool hold_prepare_b;

static const char *reply_except_data(int member, const char *line)
{
	bool is_data = strstr(line, " READ x") || strstr(line, " WRITE x") ||
		       (strstr(line, "QUERY") && strstr(line, " EXEC ")) || strstr(line, "COMMIT");

	if (strstr(line, " STATUS"))
		return "ROW primary 1 1.5 0 1 0 3\r\nDONE -\r\nREADY I 1.5\r\n";
	if (hold_prepare_b && strstr(line, " PREPARE r_b"))
		return NULL;
	if (strstr(line, " SET ") && ++set_count == 2 && reply_to_second_set)
		return reply_to_second_set;
	if (strstr(line, " BEGIN"))
		return "DONE -\r\nREADY T 1.5\r\n";
	return is_data ? NULL : reply_normally(member, line);
}

/* Transaction state of each connection of a member that runs every statement. */
static char tx_states[CONNS_MAX];

/* Return: index of the member's newest open connection */
static unsigned find_conn(int member)
{
	unsigned i = conn_count;

	while (i-- > 0) {
		if (conns[i].member == member && conns[i].fd >= 0)
			return i;
	}
	ck_abort_msg("member %d has no connection", member);
	return 0;
}

static const char *reply_in_state(int member, const char *line)
{
	static char *reply;
	char *state = &tx_states[find_conn(member)];
	const char *result = "ROW a\r\nDONE s1\r\n";

	if (g_str_has_prefix(line, "START "))
		result = "";
	else if (strstr(line, " STATUS"))
		result = "ROW primary 1 1.5 0 1 0 3\r\nDONE -\r\n";
	else if (strstr(line, " PREPARE ") || strstr(line, " BEGIN") || strstr(line, " ROLLBACK"))
		result = "DONE -\r\n";
	if (strstr(line, " BEGIN"))
		*state = 'T';
	else if (strstr(line, " COMMIT") || strstr(line, " ROLLBACK") || !*result)
		*state = 'I';
	g_free(reply);
	reply = g_strdup_printf("%sREADY %c 1.5\r\n", result, *state);
	return reply;
}

/* The second one is prepared after the BEGIN, at a member that is known to repeat answers. */
START_TEST(test_transaction_with_two_prepared_statements)
{
	unsigned attempt;
	int fd;

	set_up(reply_in_state);
	fd = session_open("orders");
	ASSERT_RESPONSE(fd, "QUERY id1 READ x\r\n", "ROW a\r\nDONE s1\r\nREADY I 1.5\r\n");
	member_send_on(0, "ROW a\r\nDONE s1\r\nREADY I 1.5\r\n");
	wait_us(20000);
	ASSERT_RESPONSE(fd, "QUERY p1 PREPARE a READ a\r\n", "DONE -\r\nREADY I -\r\n");
	ASSERT_RESPONSE(fd, "QUERY p2 PREPARE b READ b\r\n", "DONE -\r\nREADY I -\r\n");
	for (attempt = 0; attempt < 4; attempt++) {
		ASSERT_RESPONSE(fd, "QUERY b BEGIN\r\n", "DONE -\r\nREADY T -\r\n");
		ASSERT_RESPONSE_HAS(fd, "QUERY e1 EXEC a k\r\n", "DONE s1");
		ASSERT_RESPONSE_HAS(fd, "QUERY e2 EXEC b k\r\n", "DONE s1");
		ASSERT_RESPONSE_HAS(fd, "QUERY c COMMIT\r\n", "DONE s1");
		wait_us(30000);
	}
}
END_TEST

/* The second answer to a PREPARE is of earlier; its position says nothing of now. */
START_TEST(test_position_of_a_repeated_answer_to_prepare)
{
	int other;
	int fd;

	hold_prepare_b = true;
	set_up(reply_except_data);
	fd = session_open("orders");
	ASSERT_RESPONSE(fd, "QUERY p1 PREPARE a READ a\r\n", "DONE -\r\nREADY I -\r\n");
	ASSERT_RESPONSE(fd, "QUERY p2 PREPARE b READ b\r\n", "DONE -\r\nREADY I -\r\n");
	caller_send(fd, "QUERY e1 EXEC a k\r\n");
	wait_for_line("QUERY e1 ");
	member_send_on(0, "ROW a\r\nDONE s1\r\nREADY I 1.5\r\n");
	expect_response(fd, "ROW a\r\nDONE s1\r\nREADY I 1.5\r\n");
	/* Here another VM commits 1.6; more than maxStalenessMs (300) pass. */
	wait_us(400000);
	caller_send(fd, "QUERY e2 EXEC b k\r\n");
	wait_for_line("PREPARE r_b");
	/* The answer to PREPARE r_a again. */
	member_send_on(0, "DONE -\r\nREADY I 1.5\r\n");
	wait_for_line("QUERY e2 ");
	wait_us(20000);
	other = session_open("lookups");
	caller_send(other, "QUERY r1 READ x\r\n");
	wait_us(100000);
	ck_assert_msg(!strstr(received[REPLICA_MEMBER]->str, "AFTER 1.5 READ x"),
		      "the replica reads at a position that the primary had 400 ms ago: %s",
		      received[REPLICA_MEMBER]->str);
}
END_TEST

/* The same at a member that is known to repeat answers. */
START_TEST(test_position_of_a_repeated_answer_to_prepare_at_a_known_member)
{
	int other;
	int fd;

	hold_prepare_b = true;
	set_up(reply_except_data);
	fd = session_open("orders");
	caller_send(fd, "QUERY e0 READ x\r\n");
	wait_for_line("QUERY e0 ");
	member_send_on(0, "ROW a\r\nDONE s1\r\nREADY I 1.5\r\n");
	expect_response(fd, "ROW a\r\nDONE s1\r\nREADY I 1.5\r\n");
	member_send_on(0, "ROW a\r\nDONE s1\r\nREADY I 1.5\r\n");
	wait_us(20000);
	ASSERT_RESPONSE(fd, "QUERY p1 PREPARE a READ a\r\n", "DONE -\r\nREADY I -\r\n");
	ASSERT_RESPONSE(fd, "QUERY p2 PREPARE b READ b\r\n", "DONE -\r\nREADY I -\r\n");
	caller_send(fd, "QUERY e1 EXEC a k\r\n");
	wait_for_line("QUERY e1 ");
	member_send_on(0, "ROW a\r\nDONE s2\r\nREADY I 1.5\r\n");
	expect_response(fd, "ROW a\r\nDONE s2\r\nREADY I 1.5\r\n");
	/* Here another VM commits 1.6; more than maxStalenessMs (300) pass. */
	wait_us(400000);
	caller_send(fd, "QUERY e2 EXEC b k\r\n");
	wait_for_line("PREPARE r_b");
	/* The answer to PREPARE r_a again. */
	member_send_on(0, "DONE -\r\nREADY I 1.5\r\n");
	wait_us(20000);
	other = session_open("lookups");
	caller_send(other, "QUERY r1 READ x\r\n");
	wait_us(100000);
	ck_assert_msg(!strstr(received[REPLICA_MEMBER]->str, "AFTER 1.5 READ x"),
		      "the replica reads at a position that the primary had 400 ms ago: %s",
		      received[REPLICA_MEMBER]->str);
}
END_TEST

static bool hold_begin;

static const char *reply_hold_begin(int member, const char *line)
{
	return hold_begin && strstr(line, " BEGIN") ? NULL : reply_except_data(member, line);
}

/* The same for the second BEGIN of a connection. */
START_TEST(test_position_of_a_repeated_answer_to_begin)
{
	int other;
	int fd;

	set_up(reply_hold_begin);
	fd = session_open("orders");
	ASSERT_RESPONSE(fd, "QUERY b1 BEGIN\r\n", "DONE -\r\nREADY T -\r\n");
	caller_send(fd, "QUERY id1 READ x\r\n");
	wait_for_line("QUERY id1 ");
	member_send_on(0, "ROW a\r\nDONE s1\r\nREADY T 1.5\r\n");
	expect_response(fd, "ROW a\r\nDONE s1\r\nREADY T 1.5\r\n");
	ASSERT_RESPONSE(fd, "QUERY id2 ROLLBACK\r\n", "DONE -\r\nREADY I -\r\n");
	wait_us(400000);
	hold_begin = true;
	ASSERT_RESPONSE(fd, "QUERY b2 BEGIN\r\n", "DONE -\r\nREADY T -\r\n");
	caller_send(fd, "QUERY id3 READ x\r\n");
	wait_for_line("QUERY b2 BEGIN");
	member_send_on(0, "DONE -\r\nREADY T 1.5\r\n");
	wait_for_line("QUERY id3 ");
	other = session_open("lookups");
	caller_send(other, "QUERY r1 READ x\r\n");
	wait_us(100000);
	ck_assert_msg(!strstr(received[REPLICA_MEMBER]->str, "AFTER 1.5 READ x"),
		      "the replica reads at a position that the primary had 400 ms ago: %s",
		      received[REPLICA_MEMBER]->str);
}
END_TEST

/* Second SET: confirmed by the first one's second answer, and refused after the write was sent. */
START_TEST(test_refusal_of_a_setting_is_no_promise_for_a_write)
{
	char *response;
	int fd;

	set_up(reply_except_data);
	reply_to_second_set =
		"DONE -\r\nREADY I 1.5\r\n"; /* the repeated answer to the first SET */
	fd = session_open("orders");
	ASSERT_RESPONSE(fd, "QUERY s1 SET zone a\r\n", "DONE -\r\nREADY I -\r\n");
	ASSERT_RESPONSE(fd, "QUERY s2 SET size b\r\n", "DONE -\r\nREADY I -\r\n");
	caller_send(fd, "QUERY id1 WRITE x a\r\n");
	wait_for_line("QUERY id1 WRITE x a");
	/* The answers to the second SET and to the write, which is kept. */
	member_send_on(0, "ERR BUSY m-0\r\nREADY I 1.5\r\nDONE s1\r\nREADY I 1.6\r\n");
	wait_us(200000);
	if (conn_count > 1)
		send(conns[conn_count - 1].fd, "DONE s1\r\nREADY I 1.7\r\n", 22, MSG_NOSIGNAL);
	response = caller_receive(fd);
	ck_assert_uint_eq(count_lines("QUERY id1 WRITE x a\n"), 1);
	ck_assert_msg(!strstr(response, "ERR BUSY"), "%s", response);
	g_free(response);
}
END_TEST

/* BEGIN on a connection that had one: confirmed by the first one's answer, and refused. */
START_TEST(test_refusal_of_a_begin_is_no_promise_for_a_write)
{
	char *response;
	int fd;

	set_up(reply_except_data);
	fd = session_open("orders");
	ASSERT_RESPONSE(fd, "QUERY b1 BEGIN\r\n", "DONE -\r\nREADY T -\r\n");
	caller_send(fd, "QUERY id1 READ x\r\n");
	wait_for_line("QUERY id1 ");
	member_send_on(0, "ROW a\r\nDONE s1\r\nREADY T 1.5\r\n");
	expect_response(fd, "ROW a\r\nDONE s1\r\nREADY T 1.5\r\n");
	caller_send(fd, "QUERY id2 COMMIT\r\n");
	wait_for_line("QUERY id2 ");
	member_send_on(0, "DONE s2\r\nREADY I 1.5\r\n");
	expect_response(fd, "DONE s2\r\nREADY I 1.5\r\n");
	ASSERT_RESPONSE(fd, "QUERY b2 BEGIN\r\n", "DONE -\r\nREADY T -\r\n");
	caller_send(fd, "QUERY id3 WRITE x b\r\n");
	/* The fake's answer to the second BEGIN stands for the repeated one. */
	wait_for_line("QUERY id3 ");
	member_send_on(0, "ERR BUSY m-0\r\nREADY I 1.5\r\nDONE s3\r\nREADY I 1.6\r\n");
	response = caller_receive(fd);
	ck_assert_msg(!strstr(response, "ERR ABORTED"), "the write is kept: %s", response);
	g_free(response);
}
END_TEST

static unsigned open_conns(void)
{
	unsigned i, count = 0;
	char byte;

	for (i = 0; i < conn_count; i++)
		count += conns[i].member == PRIMARY_MEMBER && conns[i].fd >= 0 &&
			 !(recv(conns[i].fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0);
	return count;
}

/* A statement with other settings must not cost every idle connection to the member. */
START_TEST(test_new_settings_do_not_close_every_idle_connection)
{
	static const char *const zones[] = { "a", "b", "c", "d" };
	unsigned before;
	int fds[5];
	int i;

	set_up(reply_except_data);
	fds[4] = session_open("orders");
	caller_send(fds[4], "QUERY id1 READ x\r\n");
	wait_for_line("QUERY id1 ");
	member_send_on(0, "ROW a\r\nDONE s1\r\nREADY I 1.5\r\nROW a\r\nDONE s1\r\nREADY I 1.5\r\n");
	expect_response(fds[4], "ROW a\r\nDONE s1\r\nREADY I 1.5\r\n");
	wait_us(20000);
	for (i = 0; i < 4; i++) {
		char *line = g_strdup_printf("QUERY z%d SET zone %s\r\n", i, zones[i]);
		char *read = g_strdup_printf("QUERY r%d READ x\r\n", i);

		fds[i] = session_open("orders");
		ASSERT_RESPONSE(fds[i], line, "DONE -\r\nREADY I -\r\n");
		caller_send(fds[i], read);
		wait_us(100000);
		g_free(line);
		g_free(read);
	}
	before = conn_count;
	for (i = 0; i < (int)before; i++) {
		char *answer = g_strdup_printf("ROW a\r\nDONE s%d\r\nREADY I 1.5\r\n", 10 + i);

		send(conns[i].fd, answer, strlen(answer), MSG_NOSIGNAL);
		g_free(answer);
	}
	for (i = 0; i < 4; i++)
		g_free(caller_receive(fds[i]));
	wait_us(50000);
	before = open_conns();
	g_string_truncate(received[0], 0);
	i = session_open("orders");
	ASSERT_RESPONSE(i, "QUERY z SET zone e\r\n", "DONE -\r\nREADY I -\r\n");
	caller_send(i, "QUERY last READ x\r\n");
	wait_for_line("QUERY last ");
	wait_us(20000);
	ck_assert_uint_ge(open_conns() + 1, before);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		test_transaction_with_two_prepared_statements,
		test_position_of_a_repeated_answer_to_prepare,
		test_position_of_a_repeated_answer_to_prepare_at_a_known_member,
		test_position_of_a_repeated_answer_to_begin,
		test_refusal_of_a_setting_is_no_promise_for_a_write,
		test_refusal_of_a_begin_is_no_promise_for_a_write,
		test_new_settings_do_not_close_every_idle_connection,
		NULL,
	};

	return run_tests("uncertain_answers", tests);
}
