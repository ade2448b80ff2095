#include "jh_line.h"
#include "jh_socket.h"
#include "runner.h"

#include <string.h>
#include <unistd.h>

/*
 * Guards against lines that are lost, joined or cut when a read ends in the middle of a line, and
 * against a socket that resolves a host name, which would block the event loop. Tests jh_line.h
 * and jh_socket.h.
 */

#define EXPECT_LINE(in, expected)                                                                  \
	do {                                                                                       \
		size_t length_ = 0;                                                                \
		char *line_ = jh_line_take(in, &length_);                                          \
		ck_assert_uint_eq(length_, sizeof(expected) - 1);                                  \
		ck_assert_mem_eq(line_, expected, sizeof(expected));                               \
		g_free(line_);                                                                     \
	} while (0)

static void expect_no_line(GString *in)
{
	size_t length;

	ck_assert_ptr_null(jh_line_take(in, &length));
}

START_TEST(test_takes_complete_lines_in_order)
{
	GString *in = g_string_new("one\r\ntwo\r\n\r\nthr");

	EXPECT_LINE(in, "one");
	EXPECT_LINE(in, "two");
	EXPECT_LINE(in, "");
	expect_no_line(in);
	g_string_append(in, "ee\r\n");
	EXPECT_LINE(in, "three");
	ck_assert_uint_eq(in->len, 0);
	g_string_free(in, TRUE);
}
END_TEST

START_TEST(test_line_ends_with_carriage_return_and_line_feed_only)
{
	static const char bytes[] = "a\rb\nc\0d\n\re\r\r\nf\n";
	GString *in = g_string_new_len(bytes, sizeof(bytes) - 1);

	EXPECT_LINE(in, "a\rb\nc\0d\n\re\r");
	expect_no_line(in);
	g_string_append(in, "\r");
	expect_no_line(in);
	g_string_append(in, "\n");
	EXPECT_LINE(in, "f\n");
	g_string_free(in, TRUE);
}
END_TEST

/* Return: new buffer of a line of @length bytes and its end */
static GString *line_new(size_t length)
{
	GString *in = g_string_new(NULL);

	g_string_set_size(in, length);
	memset(in->str, 'a', length);
	g_string_append(in, "\r\n");
	return in;
}

START_TEST(test_limit_counts_the_line_end)
{
	GString *in = line_new(JH_LINE_MAX_BYTES - 2);
	size_t length;
	char *line = jh_line_take(in, &length);

	ck_assert_uint_eq(length, JH_LINE_MAX_BYTES - 2);
	g_free(line);
	g_string_free(in, TRUE);
	in = line_new(JH_LINE_MAX_BYTES - 1);
	expect_no_line(in);
	ck_assert(jh_line_is_too_long(in));
	g_string_truncate(in, JH_LINE_MAX_BYTES - 1);
	ck_assert(!jh_line_is_too_long(in));
	g_string_free(in, TRUE);
}
END_TEST

START_TEST(test_field_with_a_line_end_is_found)
{
	ck_assert(jh_line_has_end("a\r\n", 3));
	ck_assert(jh_line_has_end("\0\r\nb", 4));
	ck_assert(!jh_line_has_end("a\n\rb", 4));
	ck_assert(!jh_line_has_end("a\r\n", 2));
	ck_assert(!jh_line_has_end("", 0));
}
END_TEST

START_TEST(test_socket_listens_and_connects)
{
	static const jh_keepalive_t keepalive = { .idle_s = 1, .user_timeout_ms = 1000 };
	const jh_address_t address = { (char *)"127.0.0.1", 0 };
	jh_error_t err = JH_ERROR_INIT;
	int listener = jh_socket_listen(&address, "test", &err);
	int fd;

	ck_assert_msg(listener >= 0, "%s", err.message);
	ck_assert_uint_gt(jh_socket_local_port(listener), 0);
	fd = jh_socket_connect("127.0.0.1", jh_socket_local_port(listener), &err);
	ck_assert_msg(fd >= 0, "%s", err.message);
	jh_socket_set_options(fd, &keepalive);
	close(fd);
	close(listener);
}
END_TEST

START_TEST(test_does_not_resolve_host_names)
{
	jh_error_t err = JH_ERROR_INIT;

	ck_assert_int_eq(jh_socket_connect("localhost", 80, &err), -1);
	ck_assert_int_eq(err.code, JH_ERR_INVALID);
	jh_error_clear(&err);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		test_takes_complete_lines_in_order,
		test_line_ends_with_carriage_return_and_line_feed_only,
		test_limit_counts_the_line_end,
		test_field_with_a_line_end_is_found,
		test_socket_listens_and_connects,
		test_does_not_resolve_host_names,
		NULL,
	};

	return run_tests("line", tests);
}
