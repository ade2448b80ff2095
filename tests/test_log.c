/*
 * Guards against a daemon that floods its log or blocks on it, drops notices because of a burst of
 * info events, or miscounts the lines that it dropped.
 */

#include "jh_histogram.h"
#include "jh_log.h"
#include "runner.h"

#include <stdio.h>
#include <string.h>
#include <unistd.h>

JH_HISTOGRAM(test_ms, "test_ms", "times of the test");

/* Standard output is a pipe that is not read while 20,000 events are logged. */
START_TEST(test_rate_limit_drops_lines_and_never_blocks)
{
	char buffer[65536];
	unsigned lines = 0;
	int pipe_fds[2];
	ssize_t count;
	int i;

	ck_assert_int_eq(pipe(pipe_fds), 0);
	fflush(stdout);
	dup2(pipe_fds[1], STDOUT_FILENO);
	jh_log_init("vm-1", "info");
	jh_log_set_rate_limit(50);
	for (i = 0; i < 20000; i++)
		jh_log(JH_LOG_INFO, "test", "event", "number=%d", i);
	jh_log(JH_LOG_WARNING, "test", "last", "number=1");
	fflush(stdout);
	count = read(pipe_fds[0], buffer, sizeof(buffer) - 1);
	ck_assert_int_gt(count, 0);
	buffer[count] = '\0';
	for (i = 0; i < count; i++)
		lines += buffer[i] == '\n';
	ck_assert_uint_ge(lines, 100);
	/* The burst, the tokens refilled while the events are logged, and the last two lines. */
	ck_assert_uint_lt(lines, 20000 / 10);
	ck_assert_ptr_nonnull(strstr(buffer, "event=lines_dropped"));
	ck_assert_ptr_nonnull(strstr(buffer, "event=last"));
}
END_TEST

/* Reads the bytes in the pipe and appends NUL. Return: number of bytes, 0 after an error */
static size_t read_pipe(int fd, char *buffer, size_t size)
{
	ssize_t count = read(fd, buffer, size - 1);

	buffer[MAX(count, 0)] = '\0';
	return (size_t)MAX(count, 0);
}

/* A burst of info events must not use up the tokens that are reserved for notices. */
START_TEST(test_reserves_tokens_for_notices)
{
	char buffer[65536];
	int pipe_fds[2];
	int i;

	ck_assert_int_eq(pipe(pipe_fds), 0);
	dup2(pipe_fds[1], STDOUT_FILENO);
	jh_log_init("vm-1", "info");
	jh_log_set_rate_limit(10);
	for (i = 0; i < 500; i++)
		jh_log(JH_LOG_INFO, "test", "success", "number=%d", i);
	for (i = 0; i < 15; i++)
		jh_log(JH_LOG_NOTICE, "test", "failure", "number=%d", i);
	ck_assert_uint_gt(read_pipe(pipe_fds[0], buffer, sizeof(buffer)), 0);
	ck_assert_ptr_nonnull(strstr(buffer, "event=failure number=14"));
}
END_TEST

/* The counts of dropped lines are exact for each event, also if a full pipe drops some of them. */
START_TEST(test_counts_dropped_lines_by_event)
{
	static char buffer[1 << 20];
	unsigned long long counted[2] = { 0 };
	unsigned written[2] = { 0 };
	const char *match;
	int pipe_fds[2];
	int i;

	ck_assert_int_eq(pipe(pipe_fds), 0);
	dup2(pipe_fds[1], STDOUT_FILENO);
	jh_log_init("vm-1", "info");
	jh_log_set_rate_limit(100000);
	for (i = 0; i < 4000; i++)
		jh_log(JH_LOG_INFO, "test", i % 4 ? "often" : "seldom", "number=%d", i);
	read_pipe(pipe_fds[0], buffer, sizeof(buffer));
	jh_log(JH_LOG_WARNING, "test", "last", "number=1");
	read_pipe(pipe_fds[0], buffer + strlen(buffer), sizeof(buffer) - strlen(buffer));
	for (match = buffer; (match = strstr(match, "event=often")); match++)
		written[0]++;
	for (match = buffer; (match = strstr(match, "event=seldom")); match++)
		written[1]++;
	match = strstr(buffer, "event=lines_dropped");
	ck_assert_ptr_nonnull(match);
	ck_assert_ptr_nonnull(strstr(match, " often="));
	ck_assert_ptr_nonnull(strstr(match, " seldom="));
	counted[0] = g_ascii_strtoull(strstr(match, " often=") + strlen(" often="), NULL, 10);
	counted[1] = g_ascii_strtoull(strstr(match, " seldom=") + strlen(" seldom="), NULL, 10);
	ck_assert_uint_eq(written[0] + counted[0], 3000);
	ck_assert_uint_eq(written[1] + counted[1], 1000);
	ck_assert_ptr_nonnull(strstr(match, "event=last"));
}
END_TEST

START_TEST(test_full_pipe_does_not_block)
{
	char *text = g_strnfill(4000, 'x');
	int pipe_fds[2];
	int i;

	ck_assert_int_eq(pipe(pipe_fds), 0);
	fflush(stdout);
	dup2(pipe_fds[1], STDOUT_FILENO);
	jh_log_init("vm-1", "info");
	jh_log_set_rate_limit(1000);
	/* 2 MB far exceed the capacity of a pipe: the loop ends only if no write blocks. */
	for (i = 0; i < 500; i++)
		jh_log(JH_LOG_WARNING, "test", "event", "text=%s", text);
	g_free(text);
}
END_TEST

/* A library's message may quote a caller's text; it must not make a line of its own. */
START_TEST(test_text_makes_no_line_of_its_own)
{
	static const char forged[] = "x\r\nhlc=1 vm=vm-2 level=error module=a event=forged";
	char buffer[4096];
	unsigned lines = 0;
	int pipe_fds[2];
	const char *c;

	ck_assert_int_eq(pipe(pipe_fds), 0);
	fflush(stdout);
	dup2(pipe_fds[1], STDOUT_FILENO);
	jh_log_init("vm-1", "info");
	jh_log_set_rate_limit(1000);
	jh_log(JH_LOG_WARNING, "test", "event", "text=%s", jh_log_value(forged));
	g_warning("%s", forged);
	ck_assert_uint_gt(read_pipe(pipe_fds[0], buffer, sizeof(buffer)), 0);
	for (c = buffer; *c; c++)
		lines += *c == '\n';
	ck_assert_uint_eq(lines, 2);
	ck_assert_ptr_nonnull(strstr(buffer, "event=library message=\"x??hlc=1"));
}
END_TEST

START_TEST(test_histogram_text)
{
	GString *out = g_string_new(NULL);

	jh_histogram_add(&test_ms, 500);
	jh_histogram_add(&test_ms, 3000);
	jh_histogram_add(&test_ms, 100000000);
	jh_histogram_add(&test_ms, -5);
	jh_histogram_write_all(out);
	ck_assert_ptr_nonnull(strstr(out->str, "test_ms_bucket{le=\"1\"} 2\n"));
	ck_assert_ptr_nonnull(strstr(out->str, "test_ms_bucket{le=\"4\"} 3\n"));
	ck_assert_ptr_nonnull(strstr(out->str, "test_ms_bucket{le=\"8192\"} 3\n"));
	ck_assert_ptr_nonnull(strstr(out->str, "test_ms_count 4\n"));
	g_string_free(out, TRUE);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		test_rate_limit_drops_lines_and_never_blocks,
		test_reserves_tokens_for_notices,
		test_counts_dropped_lines_by_event,
		test_full_pipe_does_not_block,
		test_text_makes_no_line_of_its_own,
		test_histogram_text,
		NULL,
	};

	return run_tests("log", tests);
}
