#include "jh_catalogue.h"
#include "jh_frame.h"
#include "jh_log.h"
#include "jh_mirror.h"
#include "jh_primary.h"
#include "jh_slow_start.h"
#include "runner.h"

#include <string.h>

/*
 * Guards against a member that gets new work after it has said that it leaves, or that its data
 * centre is drained (DRAIN), and against limits of slow start that exist only after the start.
 */

extern const jh_module_t jh_catalogue_module;

/* Longest wait for one message, microseconds: a test that hangs fails, a slow machine does not. */
#define WAIT_MAX_US (20 * INT64_C(1000000))

static jh_settings_t settings;
static jh_kernel_t *kernel;
static jh_task_t *mirror;
/* The member that was published last; owned. NULL if its row is gone. */
static jh_member_t *published;
static unsigned published_count;
static jh_dc_drain_msg_t last_drain;
static unsigned drain_count;
/* The rates that were published last, and how often they were. */
static jh_config_t *rates;
static unsigned rates_count;

static int mirror_init(jh_task_t *task, jh_error_t *err)
{
	(void)err;
	mirror = task;
	return 0;
}

static void mirror_on_message(jh_task_t *task, const jh_msg_t *msg)
{
	const jh_member_msg_t *member = msg->body;

	(void)task;
	if (msg->type == JH_MSG_DC_DRAIN) {
		last_drain = *(const jh_dc_drain_msg_t *)msg->body;
		drain_count++;
	}
	if (msg->type == JH_MSG_CONFIG) {
		jh_config_unref(rates);
		rates = jh_config_ref(((const jh_config_msg_t *)msg->body)->config);
		rates_count++;
	}
	if (msg->type != JH_MSG_MEMBER)
		return;
	jh_member_free(published);
	published = member->member ? jh_member_copy(member->member) : NULL;
	published_count++;
}

static void fini_noop(jh_task_t *task)
{
	(void)task;
}

/* Stands for the mirror, whose rows the catalogue parses, and for the tasks that use them. */
static const jh_module_t mirror_module = {
	.name = "mirror",
	.subscriptions = { JH_MSG_MEMBER, JH_MSG_DC_DRAIN, JH_MSG_CONFIG, JH_MSG_TYPE_COUNT },
	.init = mirror_init,
	.on_message = mirror_on_message,
	.fini = fini_noop,
};

static void set_up(void)
{
	jh_error_t err = JH_ERROR_INIT;

	jh_log_init("vm-1", "error");
	settings = (jh_settings_t){ .vm = (char *)"vm-1",
				    .dc = (char *)"dc-1",
				    .cold_excess = 1,
				    .profile = (char *)"fleet" };
	kernel = jh_kernel_new(&settings, &err);
	ck_assert_int_eq(jh_kernel_add_module(kernel, &mirror_module, &err), 0);
	ck_assert_int_eq(jh_kernel_add_module(kernel, &jh_catalogue_module, &err), 0);
}

static void row_msg_clear(void *data)
{
	jh_row_msg_t *msg = data;

	g_free(msg->name);
	g_clear_pointer(&msg->body, g_bytes_unref);
}

/* How much longer member m-1 is cold, milliseconds. */
static int cold_left_ms;

/* Publishes the row of member m-1, or that it is gone if @state is NULL. */
static void publish_row(const char *state, int64_t born, int64_t changed_after_us)
{
	jh_row_msg_t *msg = g_rc_box_new0(jh_row_msg_t);
	unsigned count = published_count;
	int64_t until_us;

	msg->table = JH_MIRROR_MEMBERS;
	msg->name = g_strdup("m-1");
	msg->changed_after_us = changed_after_us;
	if (state) {
		char *text = g_strdup_printf(
			"{\"service\":\"db\",\"addr\":\"127.0.0.1:7000\",\"zone\":\"dc-1\","
			"\"version\":\"1\",\"slots\":4,\"state\":\"%s\",\"dbRole\":\"replica\",\"seq\":1,"
			"\"coldLeftMs\":%d,\"born\":%" G_GINT64_FORMAT "}",
			state, cold_left_ms, born);

		msg->body = g_bytes_new_take(text, strlen(text));
	}
	jh_publish(mirror, JH_MSG_ROW, msg, row_msg_clear);
	until_us = g_get_monotonic_time() + WAIT_MAX_US;
	while (published_count == count) {
		ck_assert_int_lt(g_get_monotonic_time(), until_us);
		ev_run(jh_kernel_loop(kernel), EVRUN_NOWAIT);
		g_usleep(100);
	}
}

/* A later row of the same instance must not prolong the time for which the member is used. */
START_TEST(test_time_since_a_member_leaves_is_that_of_its_first_row)
{
	set_up();
	publish_row("ready", 1, 100);
	ck_assert(!published->is_draining);
	publish_row("draining", 1, 200);
	ck_assert(published->is_draining);
	ck_assert_int_eq(published->draining_since_us, 200);
	publish_row("draining", 1, 300);
	ck_assert_int_eq(published->draining_since_us, 200);
	publish_row(NULL, 0, 400);
	ck_assert_ptr_null(published);
	publish_row("draining", 1, 500);
	ck_assert_int_eq(published->draining_since_us, 200);
	/* The member has started again under its id. */
	publish_row("draining", 2, 600);
	ck_assert_int_eq(published->draining_since_us, 600);
}
END_TEST

/*
 * A store that was restored from an older copy says for up to two seconds that a member is ready
 * although that instance of it has said that it leaves.
 */
START_TEST(test_member_that_leaves_does_not_become_ready_with_a_restored_row)
{
	set_up();
	publish_row("draining", 1, 200);
	publish_row("ready", 1, 300);
	ck_assert(published->is_draining);
	ck_assert_int_eq(published->draining_since_us, 200);
	/* The copy may lack the row, and the member may write an older state first. */
	publish_row(NULL, 0, 400);
	publish_row("ready", 1, 500);
	ck_assert(published->is_draining);
	/* The next instance of the member is ready. */
	publish_row("ready", 2, 600);
	ck_assert(!published->is_draining);
	/* Without the time of its start, instances can't be told apart. */
	publish_row("draining", 0, 700);
	publish_row("ready", 0, 800);
	ck_assert(!published->is_draining);
}
END_TEST

/* Publishes a row of the configuration's table, or that it is gone if @body is NULL. */
static void publish_config_row(const char *name, const char *body, int64_t changed_after_us)
{
	jh_row_msg_t *msg = g_rc_box_new0(jh_row_msg_t);
	unsigned i;

	msg->table = JH_MIRROR_CONFIG;
	msg->name = g_strdup(name);
	msg->changed_after_us = changed_after_us;
	if (body)
		msg->body = g_bytes_new(body, strlen(body));
	jh_publish(mirror, JH_MSG_ROW, msg, row_msg_clear);
	for (i = 0; i < 5; i++)
		ev_run(jh_kernel_loop(kernel), EVRUN_NOWAIT);
}

START_TEST(test_row_requests_the_drain_of_a_dc_until_it_is_removed)
{
	set_up();
	publish_config_row("evacuate/dc-1", "{}", 100);
	ck_assert_uint_eq(drain_count, 1);
	ck_assert_str_eq(last_drain.dc, "dc-1");
	ck_assert(last_drain.is_drained);
	ck_assert_int_eq(last_drain.requested_after_us, 100);
	/* Another operator writes the row again: the bound must not begin anew. */
	publish_config_row("evacuate/dc-1", "not JSON", 200);
	ck_assert_uint_eq(drain_count, 1);
	publish_config_row("evacuate/dc-2", "", 300);
	ck_assert_str_eq(last_drain.dc, "dc-2");
	publish_config_row("evacuate/dc-1", NULL, 400);
	ck_assert_uint_eq(drain_count, 3);
	ck_assert_str_eq(last_drain.dc, "dc-1");
	ck_assert(!last_drain.is_drained);
	publish_config_row("evacuate/dc-1", NULL, 500);
	publish_config_row("evacuate/", "{}", 500);
	publish_config_row("evacuated/dc-3", "{}", 500);
	ck_assert_uint_eq(drain_count, 3);
}
END_TEST

/* Limits exist once a member is cold, and cost messages between VMs only then. */
START_TEST(test_rates_include_the_limits_of_cold_members)
{
	const char *key = jh_slow_start_key("db", "dc-1");

	set_up();
	publish_config_row("config", "{\"version\":1,\"services\":[{\"name\":\"db\"}]}", 1);
	cold_left_ms = 3000;
	publish_row("ready", 1, 100);
	ck_assert_uint_eq(rates_count, 1);
	ck_assert_uint_eq(rates->teams->len, 0);
	publish_config_row("config",
			   "{\"version\":2,\"services\":[{\"name\":\"db\",\"coldPerS\":20}]}", 1);
	ck_assert_uint_eq(rates_count, 2);
	ck_assert_ptr_nonnull(jh_config_find_team(rates, key));
	cold_left_ms = 2000;
	publish_row("ready", 1, 200);
	ck_assert_uint_eq(rates_count, 2);
}
END_TEST

START_TEST(test_member_that_becomes_cold_adds_its_limit)
{
	set_up();
	publish_config_row("config",
			   "{\"version\":1,\"services\":[{\"name\":\"db\",\"coldPerS\":20}]}", 1);
	publish_row("ready", 1, 100);
	ck_assert_uint_eq(rates->teams->len, 0);
	cold_left_ms = 3000;
	publish_row("ready", 2, 200);
	ck_assert_uint_eq(rates_count, 2);
	ck_assert_ptr_nonnull(jh_config_find_team(rates, jh_slow_start_key("db", "dc-1")));
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		test_time_since_a_member_leaves_is_that_of_its_first_row,
		test_member_that_leaves_does_not_become_ready_with_a_restored_row,
		test_row_requests_the_drain_of_a_dc_until_it_is_removed,
		test_rates_include_the_limits_of_cold_members,
		test_member_that_becomes_cold_adds_its_limit,
		NULL,
	};

	return run_tests("catalogue", tests);
}
