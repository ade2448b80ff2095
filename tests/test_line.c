#include "jh_line.h"
#include "jh_socket.h"
#include "runner.h"

#include <unistd.h>

/*
 * Guards against lines that are lost, joined or cut when a read ends in the middle of a line, and
 * against a socket that resolves a host name, which would block the event loop. Tests jh_line.h
 * and jh_socket.h.
 */

static void expect_line(GString *in, const char *expected)
{
	char *line = jh_line_take(in);

	ck_assert_str_eq(line, expected);
	g_free(line);
}

START_TEST(test_takes_complete_lines_in_order)
{
	GString *in = g_string_new("one\r\ntwo\n\r\nthr");

	expect_line(in, "one");
	expect_line(in, "two");
	expect_line(in, "");
	ck_assert_ptr_null(jh_line_take(in));
	g_string_append(in, "ee\r\n");
	expect_line(in, "three");
	ck_assert_uint_eq(in->len, 0);
	g_string_free(in, TRUE);
}
END_TEST

START_TEST(test_keeps_carriage_return_within_a_line)
{
	GString *in = g_string_new("a\rb\r\n\n");

	expect_line(in, "a\rb");
	expect_line(in, "");
	g_string_free(in, TRUE);
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
		test_keeps_carriage_return_within_a_line,
		test_socket_listens_and_connects,
		test_does_not_resolve_host_names,
		NULL,
	};

	return run_tests("line", tests);
}
