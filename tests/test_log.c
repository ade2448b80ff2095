#include "jh_histogram.h"
#include "jh_log.h"
#include "runner.h"

#include <stdio.h>
#include <string.h>
#include <unistd.h>

JH_HISTOGRAM(test_ms, "test_ms", "times of the test");

/* Standard output becomes a pipe that nobody reads while 20,000 events are logged. */
START_TEST(test_volume_is_bounded_and_never_blocks)
{
	char buffer[65536];
	unsigned lines = 0;
	int ends[2];
	ssize_t count;
	int i;

	ck_assert_int_eq(pipe(ends), 0);
	fflush(stdout);
	dup2(ends[1], STDOUT_FILENO);
	jh_log_init("vm-1", "info");
	jh_log_bound(50);
	for (i = 0; i < 20000; i++)
		jh_log(JH_LOG_INFO, "test", "event", "number=%d", i);
	jh_log(JH_LOG_WARNING, "test", "last", "number=1");
	fflush(stdout);
	count = read(ends[0], buffer, sizeof(buffer) - 1);
	ck_assert_int_gt(count, 0);
	buffer[count] = '\0';
	for (i = 0; i < count; i++)
		lines += buffer[i] == '\n';
	ck_assert_uint_ge(lines, 100);
	/* The burst, what refills while the loop runs, and the two last lines. */
	ck_assert_uint_lt(lines, 20000 / 10);
	ck_assert_ptr_nonnull(strstr(buffer, "event=lines_dropped"));
	ck_assert_ptr_nonnull(strstr(buffer, "event=last"));
}
END_TEST

/* Reads what stands in the pipe. Return: length */
static size_t pipe_read(int fd, char *buffer, size_t size)
{
	ssize_t count = read(fd, buffer, size - 1);

	buffer[MAX(count, 0)] = '\0';
	return (size_t)MAX(count, 0);
}

/* A burst of events that say what goes well leaves room for one of failures. */
START_TEST(test_failures_are_kept_before_successes)
{
	char buffer[65536];
	int ends[2];
	int i;

	ck_assert_int_eq(pipe(ends), 0);
	dup2(ends[1], STDOUT_FILENO);
	jh_log_init("vm-1", "info");
	jh_log_bound(10);
	for (i = 0; i < 500; i++)
		jh_log(JH_LOG_INFO, "test", "success", "number=%d", i);
	for (i = 0; i < 15; i++)
		jh_log(JH_LOG_NOTICE, "test", "failure", "number=%d", i);
	ck_assert_uint_gt(pipe_read(ends[0], buffer, sizeof(buffer)), 0);
	ck_assert_ptr_nonnull(strstr(buffer, "event=failure number=14"));
}
END_TEST

/* What is left out is counted exactly and by kind, also when the pipe is full for a while. */
START_TEST(test_lines_left_out_are_counted_by_kind)
{
	static char buffer[1 << 20];
	unsigned long long counted[2] = { 0 };
	unsigned written[2] = { 0 };
	const char *at;
	int ends[2];
	int i;

	ck_assert_int_eq(pipe(ends), 0);
	dup2(ends[1], STDOUT_FILENO);
	jh_log_init("vm-1", "info");
	jh_log_bound(100000);
	for (i = 0; i < 4000; i++)
		jh_log(JH_LOG_INFO, "test", i % 4 ? "often" : "seldom", "number=%d", i);
	pipe_read(ends[0], buffer, sizeof(buffer));
	jh_log(JH_LOG_WARNING, "test", "last", "number=1");
	pipe_read(ends[0], buffer + strlen(buffer), sizeof(buffer) - strlen(buffer));
	for (at = buffer; (at = strstr(at, "event=often")); at++)
		written[0]++;
	for (at = buffer; (at = strstr(at, "event=seldom")); at++)
		written[1]++;
	at = strstr(buffer, "event=lines_dropped");
	ck_assert_ptr_nonnull(at);
	ck_assert_ptr_nonnull(strstr(at, " often="));
	ck_assert_ptr_nonnull(strstr(at, " seldom="));
	counted[0] = g_ascii_strtoull(strstr(at, " often=") + strlen(" often="), NULL, 10);
	counted[1] = g_ascii_strtoull(strstr(at, " seldom=") + strlen(" seldom="), NULL, 10);
	ck_assert_uint_eq(written[0] + counted[0], 3000);
	ck_assert_uint_eq(written[1] + counted[1], 1000);
	ck_assert_ptr_nonnull(strstr(at, "event=last"));
}
END_TEST

START_TEST(test_unread_pipe_does_not_block)
{
	char *text = g_strnfill(4000, 'x');
	int ends[2];
	int i;

	ck_assert_int_eq(pipe(ends), 0);
	fflush(stdout);
	dup2(ends[1], STDOUT_FILENO);
	jh_log_init("vm-1", "info");
	jh_log_bound(1000);
	/* Many times what a pipe holds: the test ends only if nothing blocks. */
	for (i = 0; i < 500; i++)
		jh_log(JH_LOG_WARNING, "test", "event", "text=%s", text);
	g_free(text);
}
END_TEST

START_TEST(test_histogram)
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
		test_volume_is_bounded_and_never_blocks,
		test_failures_are_kept_before_successes,
		test_lines_left_out_are_counted_by_kind,
		test_unread_pipe_does_not_block,
		test_histogram,
		NULL,
	};

	return run_tests("log", tests);
}
