#include "jh_kernel.h"
#include "jh_log.h"

#include "runner.h"

#include <string.h>

/* Two tasks that pass a counter to and fro until it reaches this. */
#define ROUNDS 5

static int freed;
static int received;
static GString *order;

static void body_clear(gpointer body)
{
	(void)body;
	freed++;
}

static void send_round(jh_task_t *task, const char *to, int round)
{
	int *body = g_rc_box_new0(int);

	*body = round;
	jh_post(task, jh_kernel_find(jh_task_kernel(task), to), JH_MSG_RECORD, body, body_clear);
}

static int ping_init(jh_task_t *task, jh_error_t *err)
{
	(void)err;
	jh_task_set_state(task, "ping");
	send_round(task, "pong", 0);
	return 0;
}

static int pong_init(jh_task_t *task, jh_error_t *err)
{
	(void)err;
	jh_task_set_state(task, "pong");
	send_round(task, "ping", 0);
	return 0;
}

static void on_message(jh_task_t *task, const jh_msg_t *msg)
{
	const char *self = jh_task_state(task);
	int round = *(int *)msg->body;

	received++;
	g_string_append_printf(order, "%s%d ", self, round);
	if (round + 1 < ROUNDS)
		send_round(task, g_str_equal(self, "ping") ? "pong" : "ping", round + 1);
	else
		jh_kernel_drain(jh_task_kernel(task));
}

static void no_fini(jh_task_t *task)
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
	.subscriptions = { JH_MSG_TYPES },
	.init = ping_init,
	.on_message = on_message,
	.fini = no_fini,
};

static const jh_module_t pong_module = {
	.name = "pong",
	.subscriptions = { JH_MSG_TYPES },
	.init = pong_init,
	.on_message = on_message,
	.fini = no_fini,
};

static const jh_module_t failing_module = {
	.name = "failing",
	.subscriptions = { JH_MSG_TYPES },
	.init = failing_init,
	.on_message = on_message,
	.fini = no_fini,
};

START_TEST(test_messages_then_drain)
{
	jh_settings_t settings = { .vm = "test", .drain_ms = 10000 };
	jh_error_t err = JH_ERROR_INIT;
	jh_kernel_t *kernel = jh_kernel_new(&settings, &err);

	order = g_string_new(NULL);
	ck_assert_int_eq(jh_kernel_add(kernel, &ping_module, &err), 0);
	ck_assert_int_eq(jh_kernel_add(kernel, &pong_module, &err), 0);
	jh_kernel_run(kernel);
	jh_kernel_free(kernel);
	/* ping's first message was sent before pong existed: it is dropped, its body freed. */
	ck_assert_str_eq(order->str, "ping0 pong1 ping2 pong3 ping4 ");
	ck_assert_int_eq(received, ROUNDS);
	ck_assert_int_eq(freed, ROUNDS + 1);
	g_string_free(order, TRUE);
}
END_TEST

START_TEST(test_failed_module_leaves_nothing)
{
	jh_settings_t settings = { .vm = "test" };
	jh_error_t err = JH_ERROR_INIT;
	jh_kernel_t *kernel = jh_kernel_new(&settings, &err);

	ck_assert_int_eq(jh_kernel_add(kernel, &failing_module, &err), -1);
	ck_assert_str_eq(err.message, "no socket");
	ck_assert_uint_eq(jh_kernel_find(kernel, "failing"), JH_HANDLE_NONE);
	jh_kernel_free(kernel);
	jh_error_clear(&err);
}
END_TEST

static void collect(const char *line, void *data)
{
	g_string_append(data, line);
}

START_TEST(test_log_line_stays_one_line)
{
	GString *lines = g_string_new(NULL);
	uint64_t before = jh_hlc_now();

	jh_log_init("vm-1", "info");
	jh_log(JH_LOG_INFO, "test", "odd_name", "team=%s", jh_log_value("a b\n\"c\""));
	jh_log_each(collect, lines);
	ck_assert_ptr_null(strchr(lines->str, '\n'));
	ck_assert_ptr_nonnull(strstr(lines->str, "event=odd_name team=\"a b?\\\"c\\\"\""));
	jh_hlc_observe(before + 1000000);
	ck_assert_uint_gt(jh_hlc_now(), before + 1000000);
	g_string_free(lines, TRUE);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = { test_messages_then_drain, test_failed_module_leaves_nothing,
				       test_log_line_stays_one_line, NULL };

	return run_tests("kernel", tests);
}
