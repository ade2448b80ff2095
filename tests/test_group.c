/*
 * Guards against a member that seems to have caught up later than it has, because its answer to an
 * earlier group_watch() was taken for a newer one. The group task runs on an event-loop kernel of
 * its own and watches a fake database.
 */

#include "fake_database.h"
#include "jh_frame.h"
#include "jh_log.h"
#include "runner.h"

#include <signal.h>
#include <sodium.h>

extern const jh_module_t jh_group_module;

#define WAIT_MAX_US (5 * G_USEC_PER_SEC)

static jh_settings_t settings;
static jh_kernel_t *kernel;
static fake_database_t *fake;
static jh_task_t *probe_task;
/* From the newest view; 0 before any. */
static int64_t caught_up_us;
static bool is_reachable;

/* ---- The tasks that use the views ---- */

static int probe_init(jh_task_t *task, jh_error_t *err)
{
	probe_task = task;
	return 0;
}

static void probe_on_message(jh_task_t *task, const jh_msg_t *msg)
{
	const jh_group_view_msg_t *body = msg->body;
	const jh_database_view_t *database;

	if (msg->type != JH_MSG_GROUP_VIEW)
		return;
	database = g_ptr_array_index(body->view->databases, 0);
	caught_up_us = database->last_caught_up_us;
	is_reachable = database->reachable;
}

static void probe_fini(jh_task_t *task)
{
}

static const jh_module_t probe_module = {
	.name = "probe",
	.subscriptions = { JH_MSG_GROUP_VIEW, JH_MSG_TYPE_COUNT },
	.init = probe_init,
	.on_message = probe_on_message,
	.fini = probe_fini,
};

static void publish_config(void)
{
	jh_config_t *config = jh_config_new();
	jh_group_t *group = jh_group_new();
	jh_database_t *database = jh_database_new();

	database->name = g_strdup("db-a");
	database->dc = g_strdup("dc-1");
	database->host = g_strdup("127.0.0.1");
	database->port = fake->port;
	group->name = g_strdup("g");
	group->dbname = g_strdup("d");
	group->user = g_strdup("u");
	g_ptr_array_add(group->databases, database);
	g_ptr_array_add(config->groups, group);
	config->version = 1;
	jh_config_publish(probe_task, config, 0);
}

static void publish_vms(void)
{
	GPtrArray *vms = g_ptr_array_new();
	jh_vm_t vm = {
		.name = "vm-1", .dc = "dc-1", .host = "127.0.0.1", .port = 1, .state = JH_VM_LIVE
	};

	g_ptr_array_add(vms, jh_vm_copy(&vm));
	jh_vms_publish(probe_task, vms, true);
}

static void run_loop_until(const unsigned *value, unsigned target)
{
	int64_t until = g_get_monotonic_time() + WAIT_MAX_US;

	while (*value < target && g_get_monotonic_time() < until) {
		ev_run(jh_kernel_loop(kernel), EVRUN_NOWAIT);
		g_usleep(100);
	}
	ck_assert_uint_ge(*value, target);
}

static void run_loop_for(int64_t time_us)
{
	int64_t until = g_get_monotonic_time() + time_us;

	while (g_get_monotonic_time() < until) {
		ev_run(jh_kernel_loop(kernel), EVRUN_NOWAIT);
		g_usleep(100);
	}
}

static void set_up(void)
{
	jh_error_t err = JH_ERROR_INIT;

	signal(SIGPIPE, SIG_IGN);
	jh_log_init("vm-1", "error");
	settings = (jh_settings_t){ .vm = (char *)"vm-1", .dc = (char *)"dc-1" };
	kernel = jh_kernel_new(&settings, &err);
	ck_assert_int_eq(jh_kernel_add_module(kernel, &jh_group_module, &err), 0);
	ck_assert_int_eq(jh_kernel_add_module(kernel, &probe_module, &err), 0);
	fake = fake_new(jh_kernel_loop(kernel));
	fake->repeated_sql = "SELECT * FROM group_watch(0, 100)";
	fake->repeat = FAKE_REPEAT_LATER;
	publish_vms();
	publish_config();
}

/* The second answer comes while the next group_watch() waits. It has the version that was seen, but
 * a member repeats a version only after its timeout. */
START_TEST(test_repeated_row_is_not_a_newer_one)
{
	int64_t answered_us;

	set_up();
	run_loop_until(&fake->statements->len, 2);
	run_loop_for(20000);
	ck_assert(is_reachable);
	answered_us = caught_up_us;
	ck_assert_int_gt(answered_us, 0);
	/* A row on a new connection would be newer. */
	ev_io_stop(jh_kernel_loop(kernel), &fake->accept);
	fake_send_kept(fake);
	run_loop_for(60000);
	ck_assert(is_reachable);
	ck_assert_int_eq(caught_up_us, answered_us);
	ck_assert_uint_ge(fake_count_runs(fake, "SELECT * FROM group_watch(0, 100)"), 1);
	ck_assert_uint_ge(fake_get_last_conn_number(fake, "SELECT * FROM group_watch(1, 100)"), 1);
	fake_free(fake);
	jh_kernel_free(kernel);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = { test_repeated_row_is_not_a_newer_one, NULL };

	return run_tests("group", tests);
}
