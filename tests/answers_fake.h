#ifndef ANSWERS_FAKE_H
#define ANSWERS_FAKE_H

#include "gateway_fake.h"

/* Members whose answers a test sends itself, line by line. */

static inline void member_send_on(unsigned i, const char *text)
{
	ck_assert_int_eq(send(conns[i].fd, text, strlen(text), MSG_NOSIGNAL),
			 (ssize_t)strlen(text));
}

/* Sends on the newest connection. */
static inline void member_send(const char *text)
{
	member_send_on(conn_count - 1, text);
}

static inline void expect_response(int fd, const char *expected)
{
	char *response = caller_receive(fd);

	ck_assert_str_eq(response, expected);
	g_free(response);
}

/* Waits until the primary has received @text. */
static inline void wait_for_line(const char *text)
{
	int64_t until = g_get_monotonic_time() + WAIT_MAX_US;

	while (!strstr(received[PRIMARY_MEMBER]->str, text)) {
		ck_assert_msg(g_get_monotonic_time() < until, "%s was not sent: %s", text,
			      received[PRIMARY_MEMBER]->str);
		run_once();
	}
}

static inline unsigned count_lines(const char *line)
{
	const char *text = received[PRIMARY_MEMBER]->str;
	unsigned count = 0;

	for (; (text = strstr(text, line)); text++)
		count++;
	return count;
}

#endif
