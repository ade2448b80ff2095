#include "answers_fake.h"

/*
 * Guards against a member's repeated answer that is taken for the answer to another statement, of
 * any session: at once, while the connection is idle, and while the next statement runs.
 */

static const char *reply_without_data(int member, const char *line)
{
	bool is_data = strstr(line, " READ x") || strstr(line, " WRITE x") ||
		       strstr(line, " EXEC ") || strstr(line, "COMMIT");

	if (strstr(line, " STATUS"))
		return "ROW primary 1 1.5 0 1 0 3\r\nDONE -\r\nREADY I 1.5\r\n";
	return is_data ? NULL : reply_normally(member, line);
}

static void open_and_send(int *fd, const char *line)
{
	set_up(reply_without_data);
	*fd = session_open("orders");
	caller_send(*fd, line);
	wait_for_line("QUERY id1 ");
}

START_TEST(test_second_answer_in_the_same_segment)
{
	static const char answer[] = "ROW a\r\nDONE s1\r\nREADY I 1.5\r\n";
	char *twice = g_strconcat(answer, answer, NULL);
	int fd;

	open_and_send(&fd, "QUERY id1 READ x\r\n");
	member_send(twice);
	expect_response(fd, answer);
	caller_send(fd, "QUERY id2 WRITE x b\r\n");
	wait_for_line("QUERY id2 ");
	member_send("DONE s2\r\nREADY I 1.6\r\n");
	expect_response(fd, "DONE s2\r\nREADY I 1.6\r\n");
	ck_assert_uint_eq(conn_count, 1);
	g_free(twice);
}
END_TEST

START_TEST(test_second_answer_while_idle)
{
	static const char answer[] = "ROW a\r\nDONE s1\r\nREADY I 1.5\r\n";
	int fd;

	open_and_send(&fd, "QUERY id1 READ x\r\n");
	member_send(answer);
	expect_response(fd, answer);
	member_send(answer);
	wait_us(20000);
	caller_send(fd, "QUERY id2 READ x\r\n");
	wait_for_line("QUERY id2 ");
	member_send("ROW b\r\nDONE s2\r\nREADY I 1.5\r\n");
	expect_response(fd, "ROW b\r\nDONE s2\r\nREADY I 1.5\r\n");
	ck_assert_uint_eq(conn_count, 1);
}
END_TEST

START_TEST(test_second_answer_while_the_next_statement_runs)
{
	static const char answer[] = "ROW a\r\nDONE s1\r\nREADY I 1.5\r\n";
	int other;
	int fd;

	open_and_send(&fd, "QUERY id1 READ x\r\n");
	member_send(answer);
	expect_response(fd, answer);
	other = session_open("orders");
	caller_send(other, "QUERY id2 READ x\r\n");
	wait_for_line("QUERY id2 ");
	member_send(answer);
	wait_us(20000);
	member_send("ROW b\r\nDONE s2\r\nREADY I 1.5\r\n");
	expect_response(other, "ROW b\r\nDONE s2\r\nREADY I 1.5\r\n");
	ck_assert_uint_eq(conn_count, 1);
}
END_TEST

/* The second answer is cut by the end of a segment when the next statement is sent. */
START_TEST(test_second_answer_in_two_parts)
{
	int fd;

	open_and_send(&fd, "QUERY id1 READ x\r\n");
	member_send("ROW a\r\nDONE s1\r\nREADY I 1.5\r\nROW a\r\nDONE s1\r\nREA");
	expect_response(fd, "ROW a\r\nDONE s1\r\nREADY I 1.5\r\n");
	caller_send(fd, "QUERY id2 READ x\r\n");
	wait_for_line("QUERY id2 ");
	member_send("DY I 1.5\r\nROW b\r\nDONE s2\r\nREADY I 1.5\r\n");
	expect_response(fd, "ROW b\r\nDONE s2\r\nREADY I 1.5\r\n");
}
END_TEST

START_TEST(test_success_without_a_signature_is_no_answer)
{
	int fd;

	set_up(reply_without_data);
	fd = session_open("orders");
	ASSERT_RESPONSE(fd, "QUERY id0 SET zone a\r\n", "DONE -\r\nREADY I -\r\n");
	caller_send(fd, "QUERY id1 WRITE x a\r\n");
	wait_for_line("QUERY id1 ");
	member_send("DONE -\r\nREADY I 1.5\r\n");
	wait_us(20000);
	member_send("DONE s1\r\nREADY I 1.6\r\n");
	expect_response(fd, "DONE s1\r\nREADY I 1.6\r\n");
}
END_TEST

START_TEST(test_second_answer_to_start)
{
	int fd;

	open_and_send(&fd, "QUERY id1 READ x\r\n");
	member_send("READY I 1.5\r\n");
	wait_us(20000);
	member_send("ROW a\r\nDONE s1\r\nREADY I 1.5\r\n");
	expect_response(fd, "ROW a\r\nDONE s1\r\nREADY I 1.5\r\n");
}
END_TEST

/*
 * The second refusal of a write comes while the write runs again, and is kept: its caller must not
 * be told that it is not, and it must not run a third time.
 */
START_TEST(test_second_refusal_is_not_the_answer_to_the_next_attempt)
{
	static const char refusal[] = "ERR BUSY m-0\r\nREADY I 1.5\r\n";
	int64_t until;
	int fd;

	open_and_send(&fd, "QUERY id1 WRITE x a\r\n");
	member_send(refusal);
	until = g_get_monotonic_time() + WAIT_MAX_US;
	while (count_lines("QUERY id1 WRITE x a\n") < 2 && g_get_monotonic_time() < until)
		run_once();
	/* The proxy may have closed the connection. */
	send(conns[0].fd, refusal, strlen(refusal), MSG_NOSIGNAL);
	wait_us(100000);
	member_send("DONE s1\r\nREADY I 1.6\r\n");
	expect_response(fd, "DONE s1\r\nREADY I 1.6\r\n");
	ck_assert_uint_eq(count_lines("QUERY id1 WRITE x a\n"), 2);
}
END_TEST

/* A signature that no statement asked for: every later answer may be that of an earlier one. */
START_TEST(test_connection_out_of_step_is_not_used)
{
	int fd;

	open_and_send(&fd, "QUERY id1 READ x\r\n");
	member_send("ROW a\r\nDONE s1\r\nREADY I 1.5\r\nROW b\r\nDONE s2\r\nREADY I 1.5\r\n");
	expect_response(fd, "ROW a\r\nDONE s1\r\nREADY I 1.5\r\n");
	caller_send(fd, "QUERY id3 READ x\r\n");
	wait_for_line("QUERY id3 ");
	ck_assert_uint_eq(conn_count, 2);
	member_send("ROW c\r\nDONE s3\r\nREADY I 1.5\r\n");
	expect_response(fd, "ROW c\r\nDONE s3\r\nREADY I 1.5\r\n");
}
END_TEST

/* The statement of a caller that left still runs; its answer must not go to the next caller. */
START_TEST(test_answers_of_an_abandoned_statement)
{
	static const char first[] = "ROW a\r\nDONE s1\r\nREADY I 1.5\r\n";
	int other;
	int fd;

	open_and_send(&fd, "QUERY id1 READ x\r\n");
	member_send(first);
	expect_response(fd, first);
	caller_send(fd, "QUERY id2 READ x\r\n");
	wait_for_line("QUERY id2 ");
	close(fd);
	wait_us(20000);
	/* It is the second answer to the first statement, and does not end the second one. */
	member_send(first);
	wait_us(20000);
	other = session_open("orders");
	caller_send(other, "QUERY id3 READ x\r\n");
	wait_for_line("QUERY id3 ");
	if (conn_count == 1)
		member_send("ROW b\r\nDONE s2\r\nREADY I 1.5\r\n");
	member_send("ROW c\r\nDONE s3\r\nREADY I 1.5\r\n");
	expect_response(other, "ROW c\r\nDONE s3\r\nREADY I 1.5\r\n");
}
END_TEST

/* Opens a session whose member has sent an answer twice. */
static int open_at_repeating_member(void)
{
	static const char answer[] = "ROW a\r\nDONE s1\r\nREADY I 1.5\r\n";
	int fd;

	open_and_send(&fd, "QUERY id1 READ x\r\n");
	member_send(answer);
	expect_response(fd, answer);
	member_send(answer);
	wait_us(20000);
	g_string_truncate(received[PRIMARY_MEMBER], 0);
	return fd;
}

static void expect_lines(const char *expected)
{
	ck_assert_str_eq(received[PRIMARY_MEMBER]->str, expected);
}

/* A repeated answer could confirm a setting that the member refuses. */
START_TEST(test_settings_are_confirmed_at_a_member_that_repeats_answers)
{
	int fd = open_at_repeating_member();

	ASSERT_RESPONSE(fd, "QUERY id2 SET zone a\r\n", "DONE -\r\nREADY I -\r\n");
	ASSERT_RESPONSE(fd, "QUERY id3 SET size b\r\n", "DONE -\r\nREADY I -\r\n");
	caller_send(fd, "QUERY id4 READ x\r\n");
	wait_for_line("QUERY id4 ");
	ck_assert(g_str_has_suffix(received[PRIMARY_MEMBER]->str,
				   "QUERY - STATUS\nQUERY id4 READ x\n"));
	member_send("ROW b\r\nDONE s2\r\nREADY I 1.5\r\n");
	expect_response(fd, "ROW b\r\nDONE s2\r\nREADY I 1.5\r\n");
	ck_assert_uint_eq(conn_count, 1);
	/* The same settings need no further status, other ones need another connection. */
	g_string_truncate(received[PRIMARY_MEMBER], 0);
	caller_send(fd, "QUERY id5 READ x\r\n");
	wait_for_line("QUERY id5 ");
	expect_lines("QUERY id5 READ x\n");
	member_send("ROW b\r\nDONE s3\r\nREADY I 1.5\r\n");
	expect_response(fd, "ROW b\r\nDONE s3\r\nREADY I 1.5\r\n");
	ASSERT_RESPONSE(fd, "QUERY id6 SET zone c\r\n", "DONE -\r\nREADY I -\r\n");
	caller_send(fd, "QUERY id7 READ x\r\n");
	wait_for_line("QUERY id7 ");
	ck_assert_uint_eq(conn_count, 2);
	member_send("ROW b\r\nDONE s4\r\nREADY I 1.5\r\n");
	expect_response(fd, "ROW b\r\nDONE s4\r\nREADY I 1.5\r\n");
}
END_TEST

static unsigned set_count;

/* The first setting is confirmed by an earlier answer, and refused. */
static const char *refuse_first_set(int member, const char *line)
{
	if (strstr(line, " SET ") && set_count++ == 0)
		return "DONE -\r\nREADY I 1.5\r\nERR BUSY m-0\r\nREADY I 1.5\r\n";
	return reply_without_data(member, line);
}

START_TEST(test_refused_setting_is_not_taken_for_a_success)
{
	int fd = open_at_repeating_member();

	reply_fn = refuse_first_set;
	ASSERT_RESPONSE(fd, "QUERY id2 SET zone a\r\n", "DONE -\r\nREADY I -\r\n");
	caller_send(fd, "QUERY id3 WRITE x a\r\n");
	wait_for_line("QUERY id3 ");
	ck_assert_uint_eq(conn_count, 2);
	member_send("DONE s2\r\nREADY I 1.6\r\n");
	expect_response(fd, "DONE s2\r\nREADY I 1.6\r\n");
}
END_TEST

static void run_transaction(int fd, unsigned number)
{
	char *line = g_strdup_printf("QUERY t%u READ x\r\n", number);
	char *answer = g_strdup_printf("ROW b\r\nDONE s%u\r\nREADY T 1.5\r\n", number + 10);
	char *sent = g_strdup_printf("QUERY t%u READ x", number);

	ASSERT_RESPONSE(fd, "QUERY id2 BEGIN\r\n", "DONE -\r\nREADY T -\r\n");
	caller_send(fd, line);
	wait_for_line(sent);
	member_send(answer);
	expect_response(fd, answer);
	ASSERT_RESPONSE(fd, "QUERY id4 ROLLBACK\r\n", "DONE -\r\nREADY I -\r\n");
	wait_us(20000);
	g_free(line);
	g_free(answer);
	g_free(sent);
}

/* The repeated answer to a BEGIN could confirm one that the member refuses. */
START_TEST(test_connection_has_one_transaction_at_a_member_that_repeats_answers)
{
	int fd = open_at_repeating_member();

	run_transaction(fd, 1);
	ck_assert_uint_eq(conn_count, 1);
	run_transaction(fd, 2);
	ck_assert_uint_eq(conn_count, 2);
}
END_TEST

/* Its position is older than the commit, so that the session must not rely on it. */
START_TEST(test_earlier_position_of_the_primary_is_not_used)
{
	int fd;

	set_up(reply_without_data);
	fd = session_open("ledger");
	caller_send(fd, "QUERY id1 WRITE x a\r\n");
	wait_for_line("QUERY id1 ");
	member_send("DONE s1\r\nREADY I 1.9\r\n");
	expect_response(fd, "DONE s1\r\nREADY I 1.9\r\n");
	caller_send(fd, "QUERY id2 WRITE x b\r\n");
	wait_for_line("QUERY id2 ");
	member_send("DONE s2\r\nREADY I 1.8\r\n");
	expect_response(fd, "DONE s2\r\nREADY I -\r\n");
	/* Without a position of its commit, the session reads at the primary. */
	caller_send(fd, "QUERY id3 READ x\r\n");
	wait_for_line("QUERY id3 READ x");
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		test_second_answer_in_the_same_segment,
		test_second_answer_while_idle,
		test_second_answer_while_the_next_statement_runs,
		test_second_answer_in_two_parts,
		test_success_without_a_signature_is_no_answer,
		test_second_answer_to_start,
		test_second_refusal_is_not_the_answer_to_the_next_attempt,
		test_connection_out_of_step_is_not_used,
		test_answers_of_an_abandoned_statement,
		test_settings_are_confirmed_at_a_member_that_repeats_answers,
		test_refused_setting_is_not_taken_for_a_success,
		test_connection_has_one_transaction_at_a_member_that_repeats_answers,
		test_earlier_position_of_the_primary_is_not_used,
		NULL,
	};

	return run_tests("repeated_answers", tests);
}
