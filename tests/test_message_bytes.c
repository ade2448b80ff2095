#include "gateway_fake.h"

/*
 * Guards against a message that ends elsewhere than at CR LF: a caller's text that is cut or runs
 * as a second statement, and a member's row that ends its answer and stands for the next one.
 */

static const char *reply_to_start_only(int member, const char *line)
{
	(void)member;
	return g_str_has_prefix(line, "START ") ? "READY I 1.5\r\n" : NULL;
}

/* Lines of the primary that are not START, separated by "\r\n". Return: new string */
static char *sent_to_primary(void)
{
	const GString *all = received[PRIMARY_MEMBER];
	const char *first = strstr(all->str, "QUERY ");

	return g_strndup(first ? first : "", first ? all->len - (size_t)(first - all->str) : 0);
}

#define ASSERT_SENT(expected)                                                                      \
	do {                                                                                       \
		char *sent_ = sent_to_primary();                                                   \
		ck_assert_str_eq(sent_, expected);                                                 \
		g_free(sent_);                                                                     \
	} while (0)

START_TEST(test_line_feed_in_a_text_does_not_end_the_message)
{
	int fd;

	set_up(reply_normally);
	fd = session_open("orders");
	ASSERT_RESPONSE_HAS(fd, "QUERY id1 WRITE x two guests,\nplease no onion\r\n", "DONE s1");
	ASSERT_SENT("QUERY id1 WRITE x two guests,\nplease no onion\n");
}
END_TEST

static unsigned smuggled_count;

static const char *count_smuggled(int member, const char *line)
{
	smuggled_count += g_str_has_prefix(line, "QUERY smuggled ");
	return reply_normally(member, line);
}

START_TEST(test_statement_within_a_text_does_not_run)
{
	int fd;

	set_up(count_smuggled);
	fd = session_open("orders");
	ASSERT_RESPONSE_HAS(fd, "QUERY id1 WRITE x a\nQUERY smuggled WRITE y b\r\n", "DONE s1");
	wait_us(20000);
	ck_assert_uint_eq(smuggled_count, 0);
	ASSERT_SENT("QUERY id1 WRITE x a\nQUERY smuggled WRITE y b\n");
}
END_TEST

START_TEST(test_carriage_returns_in_a_text_are_kept)
{
	int fd;

	set_up(reply_normally);
	fd = session_open("orders");
	ASSERT_RESPONSE_HAS(fd, "QUERY id1 WRITE x \ra\r\r\n", "DONE s1");
	ASSERT_SENT("QUERY id1 WRITE x \ra\r\n");
}
END_TEST

START_TEST(test_session_texts_keep_line_feeds)
{
	int fd;

	set_up(reply_normally);
	fd = session_open("orders");
	ASSERT_RESPONSE(fd, "QUERY id1 SET zone a\nb\r\n", "DONE -\r\nREADY I -\r\n");
	ASSERT_RESPONSE(fd, "QUERY id2 PREPARE s\n1 WRITE q\n7\r\n", "DONE -\r\nREADY I -\r\n");
	ASSERT_RESPONSE_HAS(fd, "QUERY id3 EXEC s\n1 x d\ne\r\n", "DONE s1");
	ASSERT_SENT("QUERY - SET zone a\nb\nQUERY - PREPARE w_q\n7 WRITE q\n7\n"
		    "QUERY id3 EXEC w_q\n7 x d\ne\n");
}
END_TEST

static const char *reply_in_transaction(int member, const char *line)
{
	return strstr(line, "WRITE") ? "DONE s3\r\nREADY T 1.5\r\n" : reply_normally(member, line);
}

START_TEST(test_line_feed_in_a_transaction_does_not_end_the_message)
{
	int fd;

	set_up(reply_in_transaction);
	fd = session_open("orders");
	ASSERT_RESPONSE_HAS(fd, "QUERY id1 BEGIN\r\n", "READY T");
	ASSERT_RESPONSE_HAS(fd, "QUERY id2 WRITE x a\nQUERY id3 COMMIT\r\n", "DONE s3\r\nREADY T");
	ASSERT_RESPONSE_HAS(fd, "QUERY id4 ROLLBACK\r\n", "DONE -\r\nREADY I");
	wait_us(20000);
	ASSERT_SENT("QUERY id1 BEGIN\nQUERY id2 WRITE x a\nQUERY id3 COMMIT\nQUERY - ROLLBACK\n");
}
END_TEST

static const char *reply_with_lines_in_a_row(int member, const char *line)
{
	if (strstr(line, "id1 READ"))
		return "ROW a\nDONE s8\nREADY I 1.5\nROW b\r\nDONE s3\r\nREADY I 1.5\r\n";
	return reply_normally(member, line);
}

START_TEST(test_row_with_lines_of_an_answer_is_one_row)
{
	int fd;

	set_up(reply_with_lines_in_a_row);
	fd = session_open("orders");
	caller_send(fd, "QUERY id1 READ x\r\n");
	wait_us(50000);
	ASSERT_RESPONSE(fd, "", "ROW a\nDONE s8\nREADY I 1.5\nROW b\r\nDONE s3\r\nREADY I 1.5\r\n");
	ASSERT_RESPONSE(fd, "QUERY id2 READ x\r\n", "ROW abc\r\nDONE s2\r\nREADY I 1.5\r\n");
}
END_TEST

/* A carriage return and a line feed that arrive in two segments end the line. */
START_TEST(test_line_end_may_be_split)
{
	int fd;

	set_up(reply_normally);
	fd = session_open("orders");
	caller_send(fd, "QUERY id1 WRITE x a\r");
	wait_us(20000);
	ASSERT_SENT("");
	ASSERT_RESPONSE_HAS(fd, "\n", "DONE s1");
	ASSERT_SENT("QUERY id1 WRITE x a\n");
}
END_TEST

START_TEST(test_line_feed_alone_ends_no_message)
{
	int fd;

	set_up(reply_to_start_only);
	fd = session_open("orders");
	caller_send(fd, "QUERY id1 WRITE x a\n");
	wait_us(50000);
	ASSERT_SENT("");
}
END_TEST

/* Sends a message of any length. Return: new string, the response */
static char *send_long(int fd, const char *text)
{
	size_t length = strlen(text);
	size_t sent = 0;

	while (sent < length) {
		ssize_t count = send(fd, text + sent, length - sent, MSG_DONTWAIT | MSG_NOSIGNAL);

		sent += count > 0 ? (size_t)count : 0;
		run_once();
	}
	return caller_receive(fd);
}

static size_t longest_line(int member)
{
	char **lines = g_strsplit(received[member]->str, "\n", 0);
	size_t longest = 0;
	unsigned i;

	for (i = 0; lines[i]; i++)
		longest = MAX(longest, strlen(lines[i]) + strlen("\r\n"));
	g_strfreev(lines);
	return longest;
}

START_TEST(test_long_prepared_statement_fits_into_a_message)
{
	char *shape = g_strnfill(600000, 'q');
	char *text = g_strdup_printf("QUERY id1 PREPARE a READ %s\r\n", shape);
	char *response;
	int fd;

	set_up(reply_normally);
	fd = session_open("orders");
	response = send_long(fd, text);
	ck_assert_str_eq(response, "DONE -\r\nREADY I -\r\n");
	g_free(response);
	ASSERT_RESPONSE_HAS(fd, "QUERY id2 EXEC a k\r\n", "READY I");
	ck_assert(strstr(received[PRIMARY_MEMBER]->str, shape) != NULL);
	ck_assert_uint_le(longest_line(PRIMARY_MEMBER), 1024 * 1024);
	g_free(shape);
	g_free(text);
}
END_TEST

/* The position that the member needs makes the longest read too long. */
START_TEST(test_read_that_gets_too_long_is_refused)
{
	char *item = g_strnfill(1024 * 1024 - strlen("QUERY id2 READ \r\n"), 'q');
	char *text = g_strdup_printf("QUERY id2 READ %s\r\n", item);
	char *response;
	int fd;

	set_up(reply_normally);
	fd = session_open("ledger");
	ASSERT_RESPONSE_HAS(fd, "QUERY id1 WRITE x d\r\n", "READY I 1.6");
	response = send_long(fd, text);
	ck_assert_msg(g_str_has_prefix(response, "ERR TOOBIG "), "%.80s", response);
	g_free(response);
	ck_assert_uint_le(longest_line(REPLICA_MEMBER), 1024 * 1024);
	g_free(item);
	g_free(text);
}
END_TEST

START_TEST(test_longest_message_is_served)
{
	char *data = g_strnfill(1024 * 1024 - strlen("QUERY id1 WRITE x \r\n"), 'q');
	char *text = g_strdup_printf("QUERY id1 WRITE x %s\r\n", data);
	char *longer = g_strdup_printf("QUERY id1 WRITE x %sq\r\n", data);
	char *response;

	set_up(reply_normally);
	response = send_long(session_open("orders"), text);
	ck_assert_msg(g_str_has_prefix(response, "DONE s1"), "%.80s", response);
	g_free(response);
	response = send_long(session_open("orders"), longer);
	ck_assert_msg(g_str_has_prefix(response, "ERR TOOBIG "), "%.80s", response);
	g_free(response);
	g_free(data);
	g_free(text);
	g_free(longer);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		test_line_feed_in_a_text_does_not_end_the_message,
		test_statement_within_a_text_does_not_run,
		test_carriage_returns_in_a_text_are_kept,
		test_session_texts_keep_line_feeds,
		test_line_feed_in_a_transaction_does_not_end_the_message,
		test_row_with_lines_of_an_answer_is_one_row,
		test_line_end_may_be_split,
		test_line_feed_alone_ends_no_message,
		test_long_prepared_statement_fits_into_a_message,
		test_read_that_gets_too_long_is_refused,
		test_longest_message_is_served,
		NULL,
	};

	return run_tests("message_bytes", tests);
}
