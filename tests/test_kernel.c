/*
 * Guards against messages that are delivered out of order or whose bodies are not freed, a task
 * that remains after its initialization failed, and a log value that breaks its event into several
 * lines.
 */

#include "jh_kernel.h"
#include "jh_log.h"

#include "runner.h"

#include <string.h>

/* Two tasks send each other a counter until this many messages were delivered. */
#define ROUNDS 5

static int bodies_freed;
static int messages_received;
static GString *message_log;

static void count_freed_body(gpointer body)
{
	(void)body;
	bodies_freed++;
}

static void post_round(jh_task_t *task, const char *to, int round)
{
	int *body = g_rc_box_new0(int);

	*body = round;
	jh_post(task, jh_kernel_find(jh_task_kernel(task), to), JH_MSG_RECORD_REQUEST, body,
		count_freed_body);
}

static int ping_init(jh_task_t *task, jh_error_t *err)
{
	(void)err;
	jh_task_set_state(task, "ping");
	post_round(task, "pong", 0);
	return 0;
}

static int pong_init(jh_task_t *task, jh_error_t *err)
{
	(void)err;
	jh_task_set_state(task, "pong");
	post_round(task, "ping", 0);
	return 0;
}

static void on_message(jh_task_t *task, const jh_msg_t *msg)
{
	const char *task_name = jh_task_state(task);
	int round = *(int *)msg->body;

	messages_received++;
	g_string_append_printf(message_log, "%s%d ", task_name, round);
	if (round + 1 < ROUNDS)
		post_round(task, g_str_equal(task_name, "ping") ? "pong" : "ping", round + 1);
	else
		jh_kernel_drain(jh_task_kernel(task));
}

static void fini_nothing(jh_task_t *task)
{
	(void)task;
}

static int failing_init(jh_task_t *task, jh_error_t *err)
{
	(void)task;
	return jh_error_set(err, JH_ERR_SYSTEM, "no socket");
}

static const jh_module_t ping_module = {
	.name = "ping",
	.subscriptions = { JH_MSG_TYPE_COUNT },
	.init = ping_init,
	.on_message = on_message,
	.fini = fini_nothing,
};

static const jh_module_t pong_module = {
	.name = "pong",
	.subscriptions = { JH_MSG_TYPE_COUNT },
	.init = pong_init,
	.on_message = on_message,
	.fini = fini_nothing,
};

static const jh_module_t failing_module = {
	.name = "failing",
	.subscriptions = { JH_MSG_TYPE_COUNT },
	.init = failing_init,
	.on_message = on_message,
	.fini = fini_nothing,
};

START_TEST(test_delivers_messages_then_drains)
{
	jh_settings_t settings = { .vm = "test", .drain_ms = 10000 };
	jh_error_t err = JH_ERROR_INIT;
	jh_kernel_t *kernel = jh_kernel_new(&settings, &err);

	message_log = g_string_new(NULL);
	ck_assert_int_eq(jh_kernel_add_module(kernel, &ping_module, &err), 0);
	ck_assert_int_eq(jh_kernel_add_module(kernel, &pong_module, &err), 0);
	jh_kernel_run(kernel);
	jh_kernel_free(kernel);
	/* The first message of ping is dropped and freed: there is no task pong yet. */
	ck_assert_str_eq(message_log->str, "ping0 pong1 ping2 pong3 ping4 ");
	ck_assert_int_eq(messages_received, ROUNDS);
	ck_assert_int_eq(bodies_freed, ROUNDS + 1);
	g_string_free(message_log, TRUE);
}
END_TEST

START_TEST(test_failed_init_leaves_no_task)
{
	jh_settings_t settings = { .vm = "test" };
	jh_error_t err = JH_ERROR_INIT;
	jh_kernel_t *kernel = jh_kernel_new(&settings, &err);

	ck_assert_int_eq(jh_kernel_add_module(kernel, &failing_module, &err), -1);
	ck_assert_str_eq(err.message, "no socket");
	ck_assert_uint_eq(jh_kernel_find(kernel, "failing"), JH_HANDLE_NONE);
	jh_kernel_free(kernel);
	jh_error_clear(&err);
}
END_TEST

static void append_line(const char *line, void *data)
{
	g_string_append(data, line);
}

START_TEST(test_log_event_is_one_line)
{
	GString *lines = g_string_new(NULL);
	uint64_t before = jh_hlc_now();

	jh_log_init("vm-1", "info");
	jh_log(JH_LOG_INFO, "test", "odd_name", "team=%s", jh_log_value("a b\n\"c\""));
	jh_log_foreach(append_line, lines);
	ck_assert_ptr_null(strchr(lines->str, '\n'));
	ck_assert_ptr_nonnull(strstr(lines->str, "event=odd_name team=\"a b?\\\"c\\\"\""));
	jh_hlc_observe(before + 1000000);
	ck_assert_uint_gt(jh_hlc_now(), before + 1000000);
	g_string_free(lines, TRUE);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = { test_delivers_messages_then_drains,
				       test_failed_init_leaves_no_task, test_log_event_is_one_line,
				       NULL };

	return run_tests("kernel", tests);
}
