#include "jh_config_sync.h"

#include <check.h>
#include <stdio.h>
#include <string.h>

/*
 * Simulation of jh_config_sync in virtual time: daemons that poll the platform's row and exchange
 * frames, with lost frames, network partitions and outages of the platform. The tests guard against
 * a change that does not reach every daemon within seconds, an outage that looks like isolation,
 * and a number of reads that grows with the fleet. Most tests run the seeds 1 to SEEDS and
 * print the seed that fails.
 */

#define STEP_US 5000
#define TICK_US 100000
#define SECOND_US 1000000
#define SEEDS 40u
#define MAX_VMS 680u

typedef struct node {
	jh_config_sync_t *sync;
	bool platform_unreachable;
	bool peers_unreachable;
	int64_t poll_end_us;
	int64_t applied_us;
} node_t;

/* A frame in flight: a request for the tables, the tables in reply, or an announcement. */
typedef struct frame {
	unsigned to;
	unsigned from;
	bool is_fetch;
	bool is_tables;
	jh_config_announcement_t announcement;
} frame_t;

typedef struct fleet {
	GRand *random;
	unsigned count;
	node_t nodes[MAX_VMS];
	GPtrArray *vms;
	GHashTable *vm_numbers;
	GQueue frames;
	int64_t now_us;
	uint64_t row_version;
	bool platform_is_up;
	double frame_loss;
	uint64_t platform_reads;
	uint64_t frames_sent;
} fleet_t;

static fleet_t fleet;

/* Simulated fleet */

static void vm_free(gpointer data)
{
	jh_vm_t *vm = data;

	g_free(vm->name);
	g_free(vm->dc);
	g_free(vm);
}

static void fleet_start(unsigned count, unsigned dcs, uint32_t seed)
{
	unsigned i;

	memset(&fleet, 0, sizeof(fleet));
	fleet.random = g_rand_new_with_seed(seed);
	fleet.count = count;
	fleet.vms = g_ptr_array_new_with_free_func(vm_free);
	fleet.vm_numbers = g_hash_table_new(g_str_hash, g_str_equal);
	fleet.platform_is_up = true;
	fleet.row_version = 1;
	fleet.now_us = SECOND_US;
	for (i = 0; i < count; i++) {
		jh_vm_t *vm = g_new0(jh_vm_t, 1);

		vm->name = g_strdup_printf("vm-%u", i);
		vm->dc = g_strdup_printf("dc-%u", i % dcs);
		g_ptr_array_add(fleet.vms, vm);
		g_hash_table_insert(fleet.vm_numbers, vm->name, GUINT_TO_POINTER(i));
		fleet.nodes[i].sync = jh_config_sync_new(vm->name);
	}
	for (i = 0; i < count; i++)
		jh_config_sync_set_vms(fleet.nodes[i].sync, fleet.vms);
}

static void fleet_end(void)
{
	unsigned i;

	for (i = 0; i < fleet.count; i++)
		jh_config_sync_free(fleet.nodes[i].sync);
	g_queue_clear_full(&fleet.frames, g_free);
	g_hash_table_destroy(fleet.vm_numbers);
	g_ptr_array_free(fleet.vms, TRUE);
	g_rand_free(fleet.random);
}

static const char *vm_name(unsigned i)
{
	return ((const jh_vm_t *)g_ptr_array_index(fleet.vms, i))->name;
}

static void frame_send(unsigned from, const char *to, frame_t frame)
{
	jh_config_sync_t *sync = fleet.nodes[from].sync;

	fleet.frames_sent++;
	frame.from = from;
	frame.to = GPOINTER_TO_UINT(g_hash_table_lookup(fleet.vm_numbers, to));
	frame.announcement.from = vm_name(from);
	frame.announcement.version = jh_config_sync_version(sync);
	frame.announcement.age_us = jh_config_sync_age_us(sync, fleet.now_us);
	if (fleet.nodes[from].peers_unreachable || fleet.nodes[frame.to].peers_unreachable ||
	    g_rand_double(fleet.random) < fleet.frame_loss)
		return;
	g_queue_push_tail(&fleet.frames, g_memdup2(&frame, sizeof(frame)));
}

static void node_run_actions(unsigned i, GArray *actions)
{
	unsigned k;

	for (k = 0; k < actions->len; k++) {
		const jh_config_sync_action_t *action =
			&g_array_index(actions, jh_config_sync_action_t, k);

		switch (action->kind) {
		case JH_CONFIG_SYNC_POLL:
			fleet.platform_reads++;
			fleet.nodes[i].poll_end_us = fleet.now_us + STEP_US;
			break;
		case JH_CONFIG_SYNC_ANNOUNCE:
			frame_send(i, action->vm, (frame_t){ 0 });
			break;
		case JH_CONFIG_SYNC_REPLY:
			frame_send(i, action->vm,
				   (frame_t){ .announcement = { .is_reply = true } });
			break;
		case JH_CONFIG_SYNC_FETCH:
			frame_send(i, action->vm, (frame_t){ .is_fetch = true });
			break;
		}
	}
	g_array_set_size(actions, 0);
}

static void node_apply(unsigned i, uint64_t version, GArray *actions)
{
	uint64_t version_before = jh_config_sync_version(fleet.nodes[i].sync);

	if (version <= version_before)
		return;
	jh_config_sync_on_applied(fleet.nodes[i].sync, version, actions);
	fleet.nodes[i].applied_us = fleet.now_us;
	node_run_actions(i, actions);
}

static void frame_receive(const frame_t *frame, GArray *actions)
{
	if (frame->is_fetch) {
		frame_send(frame->to, vm_name(frame->from),
			   (frame_t){ .is_tables = true, .announcement = { .is_reply = true } });
		return;
	}
	if (frame->is_tables)
		node_apply(frame->to, frame->announcement.version, actions);
	jh_config_sync_on_announcement(fleet.nodes[frame->to].sync, &frame->announcement,
				       fleet.now_us, actions);
	node_run_actions(frame->to, actions);
}

static void node_step(unsigned i, GArray *actions)
{
	node_t *node = &fleet.nodes[i];

	if (node->poll_end_us && fleet.now_us >= node->poll_end_us) {
		bool can_read = fleet.platform_is_up && !node->platform_unreachable;

		node->poll_end_us = 0;
		if (can_read)
			node_apply(i, fleet.row_version, actions);
		jh_config_sync_on_poll(node->sync, can_read ? fleet.row_version : 0);
	}
	if ((fleet.now_us + i * STEP_US) % TICK_US == 0) {
		jh_config_sync_on_tick(node->sync, fleet.now_us, g_rand_int(fleet.random), actions);
		node_run_actions(i, actions);
	}
}

static void fleet_step(GArray *actions)
{
	unsigned frames = fleet.frames.length;
	unsigned i;

	fleet.now_us += STEP_US;
	while (frames-- > 0) {
		frame_t *frame = g_queue_pop_head(&fleet.frames);

		frame_receive(frame, actions);
		g_free(frame);
	}
	for (i = 0; i < fleet.count; i++)
		node_step(i, actions);
}

static void fleet_run(int64_t time_us)
{
	GArray *actions = g_array_new(FALSE, FALSE, sizeof(jh_config_sync_action_t));
	int64_t until_us = fleet.now_us + time_us;

	while (fleet.now_us < until_us)
		fleet_step(actions);
	g_array_free(actions, TRUE);
}

/*
 * Changes the row and runs the fleet for timeout_us.
 * Return: time until the last daemon applied the new version, -1 if a daemon has not.
 */
static int64_t measure_change(int64_t timeout_us)
{
	int64_t start_us = fleet.now_us;
	int64_t last_us = 0;
	unsigned i;

	fleet.row_version++;
	fleet_run(timeout_us);
	for (i = 0; i < fleet.count; i++) {
		if (jh_config_sync_version(fleet.nodes[i].sync) != fleet.row_version)
			return -1;
		last_us = MAX(last_us, fleet.nodes[i].applied_us - start_us);
	}
	return last_us;
}

/* Tests */

START_TEST(test_change_reaches_all_within_10_s)
{
	int64_t worst_us = 0;
	unsigned seed;

	for (seed = 1; seed <= SEEDS; seed++) {
		int64_t took_us;

		fleet_start(7, 3, seed);
		fleet.frame_loss = 0.2;
		fleet_run(5 * SECOND_US);
		fleet.nodes[seed % 7].platform_unreachable = true;
		took_us = measure_change(10 * SECOND_US);
		ck_assert_msg(took_us >= 0, "seed %u: a daemon lacks the new version after 10 s",
			      seed);
		worst_us = MAX(worst_us, took_us);
		fleet_end();
	}
	printf("config: 7 daemons, one cut from the platform, 20%% loss, seeds 1-%u: everywhere "
	       "after %.2f s at worst\n",
	       SEEDS, (double)worst_us / SECOND_US);
}
END_TEST

START_TEST(test_polling_alone_suffices)
{
	unsigned seed;

	for (seed = 1; seed <= SEEDS; seed++) {
		fleet_start(7, 3, seed);
		fleet_run(5 * SECOND_US);
		fleet.nodes[0].peers_unreachable = true;
		ck_assert_msg(measure_change(5 * SECOND_US) >= 0,
			      "seed %u: a daemon lacks the new version after 5 s", seed);
		fleet_end();
	}
}
END_TEST

START_TEST(test_outage_is_not_isolation)
{
	unsigned seed;
	unsigned i;

	for (seed = 1; seed <= SEEDS; seed++) {
		fleet_start(7, 3, seed);
		fleet_run(5 * SECOND_US);
		fleet.platform_is_up = false;
		fleet_run(60 * SECOND_US);
		for (i = 0; i < 7; i++)
			ck_assert_msg(
				!jh_config_sync_is_isolated(fleet.nodes[i].sync, fleet.now_us),
				"seed %u: vm-%u counts as isolated in an outage of the platform",
				seed, i);
		fleet.platform_is_up = true;
		fleet.nodes[1].peers_unreachable = true;
		fleet.nodes[1].platform_unreachable = true;
		fleet.nodes[2].platform_unreachable = true;
		fleet_run(10 * SECOND_US);
		ck_assert_msg(jh_config_sync_is_isolated(fleet.nodes[1].sync, fleet.now_us),
			      "seed %u: not isolated after 10 s", seed);
		ck_assert(!jh_config_sync_is_isolated(fleet.nodes[2].sync, fleet.now_us));
		fleet.nodes[1].peers_unreachable = false;
		fleet_run(5 * SECOND_US);
		ck_assert_msg(!jh_config_sync_is_isolated(fleet.nodes[1].sync, fleet.now_us),
			      "seed %u: still isolated 5 s after its peers are reachable", seed);
		fleet_end();
	}
}
END_TEST

static void measure_fleet_size(unsigned count, unsigned dcs)
{
	const int64_t time_us = 60 * SECOND_US;
	int64_t took_us;

	fleet_start(count, dcs, count);
	fleet_run(20 * SECOND_US);
	fleet.platform_reads = 0;
	fleet.frames_sent = 0;
	fleet_run(time_us);
	printf("config: %u daemons, %u data centres, seed %u: %.1f reads/s in all, %.1f frames/s a "
	       "daemon",
	       count, dcs, count, (double)fleet.platform_reads * SECOND_US / time_us,
	       (double)fleet.frames_sent * SECOND_US / time_us / count);
	took_us = measure_change(10 * SECOND_US);
	printf(", a change everywhere after %.2f s\n", (double)took_us / SECOND_US);
	ck_assert_msg(took_us >= 0, "a daemon lacks the new version after 10 s");
	ck_assert_msg(fleet.platform_reads * SECOND_US / time_us < 100,
		      "100 or more platform reads/s");
	fleet_end();
}

START_TEST(test_platform_reads_are_bounded)
{
	measure_fleet_size(7, 3);
	measure_fleet_size(85, 7);
	measure_fleet_size(170, 7);
	measure_fleet_size(340, 7);
	measure_fleet_size(680, 7);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("config");
	TCase *tcase = tcase_create("spread");
	SRunner *runner;
	int failed;

	tcase_add_test(tcase, test_change_reaches_all_within_10_s);
	tcase_add_test(tcase, test_polling_alone_suffices);
	tcase_add_test(tcase, test_outage_is_not_isolation);
	tcase_add_test(tcase, test_platform_reads_are_bounded);
	tcase_set_timeout(tcase, 280);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
