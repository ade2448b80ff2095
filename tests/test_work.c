#include "jh_counter.h"
#include "jh_kernel.h"
#include "jh_log.h"
#include "runner.h"

#include <string.h>

/* Guards against a busy VM whose log does not tell what it was busy with. */

extern const jh_module_t jh_work_module;

JH_COUNTER(probes_total, "jasminehill_test_probes_total", "counter of this test");
JH_COUNTER(quiet_total, "jasminehill_test_quiet_total", "counter that does not grow");
JH_COUNTER(gauge, "jasminehill_test_gauge", "gauge of this test");

static GString *lines;

static void append_work_line(const char *line, void *data)
{
	(void)data;
	if (strstr(line, "event=work"))
		g_string_append_printf(lines, "%s\n", line);
}

static void stop_kernel(struct ev_loop *loop, ev_timer *timer, int events)
{
	(void)loop;
	(void)events;
	jh_kernel_stop(timer->data);
}

static void hold_up_loop(struct ev_loop *loop, ev_timer *timer, int events)
{
	(void)loop;
	(void)timer;
	(void)events;
	g_usleep(200000);
}

START_TEST(test_growth_and_the_longest_hold_up_are_logged)
{
	static const jh_settings_t settings = { .vm = (char *)"vm-1" };
	jh_error_t err = JH_ERROR_INIT;
	jh_kernel_t *kernel;
	const char *longest;
	ev_timer stop;
	ev_timer hold;

	jh_log_init("vm-1", "info");
	lines = g_string_new(NULL);
	kernel = jh_kernel_new(&settings, &err);
	ck_assert_int_eq(jh_kernel_add_module(kernel, &jh_work_module, &err), 0);
	jh_counter_add(&probes_total, 41);
	jh_counter_add(&quiet_total, 0);
	jh_counter_set(&gauge, 7);
	ev_timer_init(&stop, stop_kernel, 5.5, 0);
	ev_timer_init(&hold, hold_up_loop, 0.1, 0);
	stop.data = kernel;
	ev_timer_start(jh_kernel_loop(kernel), &stop);
	ev_timer_start(jh_kernel_loop(kernel), &hold);
	jh_kernel_run(kernel);
	jh_log_foreach(append_work_line, NULL);
	ck_assert_msg(strstr(lines->str, " test_probes=41"), "%s", lines->str);
	ck_assert(!strstr(lines->str, "quiet"));
	ck_assert(!strstr(lines->str, "gauge"));
	longest = strstr(lines->str, "longest_ms=");
	ck_assert_ptr_nonnull(longest);
	ck_assert_int_ge(atoi(longest + strlen("longest_ms=")), 200);
	jh_kernel_free(kernel);
	g_string_free(lines, TRUE);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		test_growth_and_the_longest_hold_up_are_logged,
		NULL,
	};

	return run_tests("work", tests);
}
