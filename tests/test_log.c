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
	const TTest *const tests[] = { test_volume_is_bounded_and_never_blocks,
				       test_unread_pipe_does_not_block, test_histogram, NULL };

	return run_tests("log", tests);
}
