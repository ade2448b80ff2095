#include "forward_fake.h"

/*
 * Guards against a length that is lost at a NUL byte: a caller's text that runs cut though its
 * caller gets success, and a row that is relayed cut.
 */

#define HAS_BYTES(all, bytes) (memmem((all)->str, (all)->len, bytes, sizeof(bytes) - 1) != NULL)

static void send_bytes(int fd, const char *bytes, size_t length)
{
	ck_assert_int_eq(send(fd, bytes, length, MSG_NOSIGNAL), (ssize_t)length);
}

#define SEND(fd, bytes) send_bytes(fd, bytes, sizeof(bytes) - 1)

/* Receives until a READY line ends the response. Return: new string */
static GString *receive_bytes(int fd)
{
	int64_t until = g_get_monotonic_time() + WAIT_MAX_US;
	GString *all = g_string_new(NULL);
	char buffer[4096];

	while (g_get_monotonic_time() < until) {
		ssize_t count = recv(fd, buffer, sizeof(buffer), MSG_DONTWAIT);

		if (count > 0)
			g_string_append_len(all, buffer, count);
		if (count == 0 || HAS_BYTES(all, "\r\nREADY "))
			return all;
		run_once();
	}
	ck_abort_msg("no response");
	return NULL;
}

static void expect_success(int fd)
{
	GString *response = receive_bytes(fd);

	ck_assert_msg(strstr(response->str, "DONE ") != NULL, "%s", response->str);
	g_string_free(response, TRUE);
}

START_TEST(test_nul_in_a_text_reaches_the_member)
{
	int fd;

	set_up(reply_normally);
	fd = session_open("orders");
	SEND(fd, "QUERY id1 WRITE x a\0b\r\n");
	expect_success(fd);
	ck_assert(HAS_BYTES(received[PRIMARY_MEMBER], "QUERY id1 WRITE x a\0b\n"));
	SEND(fd, "QUERY id2 READ \0\r\n");
	expect_success(fd);
	ck_assert(HAS_BYTES(received[PRIMARY_MEMBER], "QUERY id2 READ \0\n"));
}
END_TEST

START_TEST(test_nul_in_session_texts_reaches_the_member)
{
	int fd;

	set_up(reply_normally);
	fd = session_open("orders");
	SEND(fd, "QUERY id1 SET zone a\0b\r\n");
	expect_success(fd);
	SEND(fd, "QUERY id2 PREPARE s1 WRITE q\0007\r\n");
	expect_success(fd);
	SEND(fd, "QUERY id3 EXEC s1 x d\0e\r\n");
	expect_success(fd);
	ck_assert(HAS_BYTES(received[PRIMARY_MEMBER],
			    "QUERY - SET zone a\0b\nQUERY - PREPARE w_q\0007 WRITE q\0007\n"
			    "QUERY id3 EXEC w_q\0007 x d\0e\n"));
}
END_TEST

/* Two values, and two shapes, that are equal up to a NUL are different ones. */
START_TEST(test_texts_that_differ_after_a_nul_are_different)
{
	int fd;

	set_up(reply_normally);
	fd = session_open("orders");
	SEND(fd, "QUERY id1 SET zone a\0b\r\n");
	expect_success(fd);
	SEND(fd, "QUERY id2 READ x\r\n");
	expect_success(fd);
	SEND(fd, "QUERY id3 SET zone a\0c\r\n");
	expect_success(fd);
	SEND(fd, "QUERY id4 READ x\r\n");
	expect_success(fd);
	ck_assert(HAS_BYTES(received[PRIMARY_MEMBER], "SET zone a\0c\nQUERY id4"));
	SEND(fd, "QUERY id5 PREPARE s1 WRITE q\0a\r\n");
	expect_success(fd);
	SEND(fd, "QUERY id6 PREPARE s2 WRITE q\0b\r\n");
	expect_success(fd);
	SEND(fd, "QUERY id7 EXEC s1 x d\r\n");
	expect_success(fd);
	SEND(fd, "QUERY id8 EXEC s2 x d\r\n");
	expect_success(fd);
	ck_assert(HAS_BYTES(received[PRIMARY_MEMBER], "PREPARE w_q\0b WRITE q\0b\nQUERY id8 EXEC "
						      "w_q\0b x d\n"));
}
END_TEST

/* Names that are compared must not be taken for their part before a NUL. */
START_TEST(test_nul_in_a_name_is_refused)
{
	static const char start[] = "START orders\0x key-1\r\n";
	static const char key[] = "START orders key-1\0x\r\n";
	int fd;
	GString *response;

	set_up(reply_normally);
	fd = caller_connect();
	send_bytes(fd, start, sizeof(start) - 1);
	response = receive_bytes(fd);
	ck_assert_msg(g_str_has_prefix(response->str, "ERR "), "%s", response->str);
	fd = caller_connect();
	send_bytes(fd, key, sizeof(key) - 1);
	response = receive_bytes(fd);
	ck_assert_msg(g_str_has_prefix(response->str, "ERR "), "%s", response->str);
	fd = session_open("orders");
	SEND(fd, "QUERY id1 SET zo\0ne a\r\n");
	response = receive_bytes(fd);
	ck_assert_msg(g_str_has_prefix(response->str, "ERR BADMSG "), "%s", response->str);
	ck_assert_uint_eq(received[PRIMARY_MEMBER]->len, 0);
}
END_TEST

static const char *reply_to_start_only(int member, const char *line)
{
	(void)member;
	return g_str_has_prefix(line, "START ") ? "READY I 1.5\r\n" : NULL;
}

START_TEST(test_nul_in_a_row_is_relayed)
{
	GString *response;
	int fd;

	set_up(reply_to_start_only);
	fd = session_open("orders");
	SEND(fd, "QUERY id1 READ x\r\n");
	wait_us(50000);
	SEND(conns[conn_count - 1].fd, "ROW a\0b\r\nROW \0\r\nDONE s1\r\nREADY I 1.5\r\n");
	response = receive_bytes(fd);
	ck_assert(HAS_BYTES(response, "ROW a\0b\r\nROW \0\r\nDONE s1\r\nREADY I 1.5\r\n"));
}
END_TEST

static bool frame_has_text(const Jh__Frame *frame)
{
	static const char text[] = "WRITE x a\0b";
	size_t length = jh__frame__get_packed_size(frame);
	uint8_t *bytes = g_malloc(length);
	bool has_text;

	jh__frame__pack(frame, bytes);
	has_text = memmem(bytes, length, text, sizeof(text) - 1) != NULL;
	g_free(bytes);
	return has_text;
}

/* The entry relays the rows that a holder returns, and sends the caller's bytes to it. */
START_TEST(test_nul_passes_through_a_holder)
{
	static const char rows[] = "ROW a\0b\r\nDONE s1\r\n";
	uint64_t statement_id;
	Jh__Frame *frame;
	GString *response;
	int fd;

	set_up_fleet(reply_normally);
	fd = session_open("orders");
	SEND(fd, "QUERY id1 WRITE x a\0b\r\n");
	frame = take_frame(JH__FRAME__BODY_STATEMENT, holder_name(0));
	ck_assert(frame_has_text(frame));
	statement_id = frame->statement->id;
	frame = jh_frame_new(JH__FRAME__BODY_STATEMENT_RESULT);
	frame->statement_result->id = statement_id;
	frame->statement_result->transaction = 'I';
	frame->statement_result->rows.data = g_memdup2(rows, sizeof(rows) - 1);
	frame->statement_result->rows.len = sizeof(rows) - 1;
	deliver(holder_name(0), frame);
	response = receive_bytes(fd);
	ck_assert(HAS_BYTES(response, "ROW a\0b\r\nDONE s1\r\n"));
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		test_nul_in_a_text_reaches_the_member,
		test_nul_in_session_texts_reaches_the_member,
		test_texts_that_differ_after_a_nul_are_different,
		test_nul_in_a_name_is_refused,
		test_nul_in_a_row_is_relayed,
		test_nul_passes_through_a_holder,
		NULL,
	};

	return run_tests("message_nul", tests);
}
