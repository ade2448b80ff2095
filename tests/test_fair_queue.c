/*
 * Simulates the queue of a database with several slots in virtual time. Guards against a team that
 * delays the others by many or by long requests, and against a request that waits although it
 * cannot finish before its deadline.
 */

#include "jh_fair_queue.h"

#include <check.h>
#include <stdio.h>
#include <stdlib.h>

#define TEAMS 8
#define SLOTS 5
#define MS_US 1000
#define SECOND_US (1000 * MS_US)
#define RUN_US (2 * MS_US)
#define SEEDS 50

static const char *const team_names[TEAMS] = { "t0", "t1", "t2", "t3", "t4", "t5", "t6", "t7" };

typedef struct running_request {
	unsigned team;
	int64_t until_us;
	int64_t run_us;
} running_request_t;

typedef struct sim {
	jh_fair_queue_t *queue;
	running_request_t slots[SLOTS];
	int64_t now_us;
	/* The arrays below are indexed by team. */
	int64_t next_us[TEAMS];
	double rate[TEAMS];
	int64_t cost_us[TEAMS];
	int64_t work_us[TEAMS];
	unsigned offered[TEAMS];
	unsigned refused[TEAMS];
	unsigned taken[TEAMS];
	int64_t missed_deadlines[TEAMS];
} sim_t;

static const char *get_team_name(unsigned team)
{
	return g_intern_static_string(team_names[team]);
}

/* An item id holds the team + 1 in its low byte and the deadline in the other bytes. */
static void add_arrival(sim_t *sim, unsigned team, GRand *rand)
{
	int64_t left_us = 200 * MS_US;
	uint64_t item = (uint64_t)(sim->now_us + left_us) << 8 | (team + 1);
	jh_fair_admission_t admission = jh_fair_queue_offer(sim->queue, get_team_name(team), 1.0,
							    item, sim->now_us, left_us);

	sim->offered[team]++;
	if (admission.result != JH_FAIR_QUEUED) {
		sim->refused[team]++;
		ck_assert_int_gt(admission.retry_us, 0);
	}
	sim->next_us[team] = sim->now_us + (int64_t)(g_rand_double_range(rand, 0, 2) * SECOND_US /
						     sim->rate[team]);
}

static void fill_slots(sim_t *sim)
{
	unsigned i;

	for (i = 0; i < SLOTS; i++) {
		running_request_t *slot = &sim->slots[i];
		uint64_t item;

		if (slot->until_us > 0)
			continue;
		item = jh_fair_queue_take(sim->queue, sim->now_us);
		if (item == 0)
			return;
		slot->team = (unsigned)(item & 0xff) - 1;
		slot->run_us = sim->cost_us[slot->team];
		slot->until_us = sim->now_us + slot->run_us;
		sim->taken[slot->team]++;
		if (slot->until_us > (int64_t)(item >> 8))
			sim->missed_deadlines[slot->team]++;
	}
}

static int64_t find_next_event_us(const sim_t *sim)
{
	int64_t next_us = G_MAXINT64;
	unsigned i;

	for (i = 0; i < TEAMS; i++)
		next_us = MIN(next_us, sim->next_us[i]);
	for (i = 0; i < SLOTS; i++) {
		if (sim->slots[i].until_us > 0)
			next_us = MIN(next_us, sim->slots[i].until_us);
	}
	return next_us;
}

static void run_sim(sim_t *sim, GRand *rand, int64_t until_us)
{
	unsigned i;

	while (sim->now_us < until_us) {
		sim->now_us = find_next_event_us(sim);
		for (i = 0; i < SLOTS; i++) {
			running_request_t *slot = &sim->slots[i];

			if (slot->until_us == 0 || slot->until_us > sim->now_us)
				continue;
			slot->until_us = 0;
			sim->work_us[slot->team] += slot->run_us;
			jh_fair_queue_finish(sim->queue, get_team_name(slot->team), slot->run_us);
		}
		for (i = 0; i < TEAMS; i++) {
			if (sim->next_us[i] <= sim->now_us)
				add_arrival(sim, i, rand);
		}
		fill_slots(sim);
	}
}

static sim_t *make_sim(void)
{
	sim_t *sim = g_new0(sim_t, 1);
	unsigned i;

	sim->queue = jh_fair_queue_new(SLOTS, 256);
	for (i = 0; i < TEAMS; i++) {
		/* Each team requests 60 % of an equal share of the slots. */
		sim->rate[i] = 0.6 * SLOTS * SECOND_US / RUN_US / TEAMS;
		sim->cost_us[i] = RUN_US;
	}
	return sim;
}

static void free_sim(sim_t *sim)
{
	jh_fair_queue_free(sim->queue);
	g_free(sim);
}

static double find_worst_served_share(const sim_t *sim)
{
	double worst_served_share = 1;
	unsigned i;

	for (i = 1; i < TEAMS; i++)
		worst_served_share =
			MIN(worst_served_share, 1.0 - (double)sim->refused[i] / sim->offered[i]);
	return worst_served_share;
}

/*
 * A team at 20 times the rate of the others causes them no missed deadlines, and refusals of at
 * most 0.1 % of their requests.
 */
START_TEST(test_flooding_team_does_not_harm_others)
{
	double worst_served_share = 1;
	double worst_missed = 0;
	int seed;

	for (seed = 1; seed <= SEEDS; seed++) {
		GRand *rand = g_rand_new_with_seed((guint32)seed);
		sim_t *sim = make_sim();
		unsigned i;

		sim->rate[0] *= 20;
		run_sim(sim, rand, 5LL * SECOND_US);
		worst_served_share = MIN(worst_served_share, find_worst_served_share(sim));
		for (i = 1; i < TEAMS; i++)
			ck_assert_msg(sim->missed_deadlines[i] == 0, "seed=%d team=%u", seed, i);
		worst_missed = MAX(worst_missed, (double)sim->missed_deadlines[0] / sim->taken[0]);
		free_sim(sim);
		g_rand_free(rand);
	}
	printf("flood: seeds=1..%d worst_served_share=%.4f flooding_team_late=%.4f\n", SEEDS,
	       worst_served_share, worst_missed);
	ck_assert_double_ge(worst_served_share, 0.999);
}
END_TEST

/* Teams share run time, not requests: ten times as long requests get a team no more time. */
START_TEST(test_shares_follow_run_time)
{
	GRand *rand = g_rand_new_with_seed(7);
	sim_t *sim = make_sim();
	unsigned i;

	for (i = 0; i < TEAMS; i++)
		sim->rate[i] *= 10;
	sim->cost_us[0] = 10L * RUN_US;
	run_sim(sim, rand, 20LL * SECOND_US);
	for (i = 1; i < TEAMS; i++) {
		double ratio = (double)sim->work_us[0] / (double)sim->work_us[i];

		ck_assert_msg(ratio > 0.85 && ratio < 1.15, "seed=7 team=%u ratio=%f", i, ratio);
	}
	free_sim(sim);
	g_rand_free(rand);
}
END_TEST

START_TEST(test_late_item_is_refused_immediately)
{
	jh_fair_queue_t *queue = jh_fair_queue_new(1, 1000);
	const char *team = get_team_name(0);
	jh_fair_admission_t admission;
	unsigned i;

	jh_fair_queue_offer(queue, team, 1, 1, 0, SECOND_US);
	ck_assert_uint_eq(jh_fair_queue_take(queue, 0), 1);
	jh_fair_queue_finish(queue, team, 100L * MS_US);
	for (i = 0; i < 100; i++)
		jh_fair_queue_offer(queue, team, 1, 10 + i, 0, 100LL * SECOND_US);
	admission = jh_fair_queue_offer(queue, team, 1, 999, 0, 10L * MS_US);
	ck_assert_int_eq(admission.result, JH_FAIR_TOO_LATE);
	ck_assert_int_gt(admission.retry_us, 0);
	ck_assert_uint_eq(jh_fair_queue_length(queue), 100);
	ck_assert(jh_fair_queue_remove(queue, team, 10));
	ck_assert(!jh_fair_queue_remove(queue, team, 10));
	ck_assert_uint_eq(jh_fair_queue_take(queue, 0), 11);
	jh_fair_queue_free(queue);
}
END_TEST

START_TEST(test_queue_limit_is_per_team)
{
	jh_fair_queue_t *queue = jh_fair_queue_new(1, 2);
	const int64_t left_us = 100LL * SECOND_US;

	ck_assert_int_eq(jh_fair_queue_offer(queue, get_team_name(0), 1, 1, 0, left_us).result, 0);
	ck_assert_int_eq(jh_fair_queue_offer(queue, get_team_name(0), 1, 2, 0, left_us).result, 0);
	ck_assert_int_eq(jh_fair_queue_offer(queue, get_team_name(0), 1, 3, 0, left_us).result,
			 JH_FAIR_FULL);
	ck_assert_int_eq(jh_fair_queue_offer(queue, get_team_name(1), 1, 4, 0, left_us).result, 0);
	jh_fair_queue_free(queue);
}
END_TEST

typedef struct visited {
	uint64_t items[8];
	int64_t ahead_us[8];
	unsigned count;
} visited_t;

static void visit(uint64_t item, int64_t ahead_us, void *data)
{
	visited_t *visited = data;

	visited->items[visited->count] = item;
	visited->ahead_us[visited->count++] = ahead_us;
}

/*
 * A queue that is one of several for the same slots: its work must count the items that go first,
 * and a team whose next item cannot run must not stop the others.
 */
START_TEST(test_work_and_order_without_slots)
{
	jh_fair_queue_t *queue = jh_fair_queue_new(1, G_MAXUINT);
	const char *hot = get_team_name(0);
	const char *other = get_team_name(1);
	GHashTable *skipped = g_hash_table_new(NULL, NULL);
	visited_t visited = { 0 };
	uint64_t i;

	jh_fair_queue_set_default_run_us(queue, RUN_US);
	ck_assert_uint_eq(jh_fair_queue_peek(queue, NULL), 0);
	for (i = 1; i <= 4; i++)
		jh_fair_queue_offer(queue, hot, 1.0, i, 0, SECOND_US);
	jh_fair_queue_offer(queue, other, 1.0, 5, 0, SECOND_US);
	ck_assert_int_eq(jh_fair_queue_work_us(queue), 5 * RUN_US);
	ck_assert_int_eq(jh_fair_queue_work_ahead_us(queue, hot), 5 * RUN_US);
	/* Only one item of the hot team goes before the second of the other team. */
	ck_assert_int_eq(jh_fair_queue_work_ahead_us(queue, other), 2 * RUN_US);
	ck_assert_int_eq(jh_fair_queue_work_ahead_us(queue, get_team_name(2)), 0);
	jh_fair_queue_foreach(queue, visit, &visited);
	ck_assert_uint_eq(visited.count, 5);
	ck_assert_uint_eq(visited.items[3], 4);
	ck_assert_int_eq(visited.ahead_us[3], 4 * RUN_US);
	ck_assert_int_eq(visited.ahead_us[4], 0);
	g_hash_table_add(skipped, (void *)hot);
	ck_assert_uint_eq(jh_fair_queue_peek(queue, skipped), 5);
	ck_assert_uint_eq(jh_fair_queue_peek_team(queue, hot), 1);
	ck_assert_uint_eq(jh_fair_queue_take_team(queue, hot, 0), 1);
	ck_assert_uint_eq(jh_fair_queue_peek(queue, NULL), 5);
	ck_assert_uint_eq(jh_fair_queue_take_team(queue, get_team_name(2), 0), 0);
	ck_assert_uint_eq(jh_fair_queue_length(queue), 4);
	g_hash_table_destroy(skipped);
	jh_fair_queue_free(queue);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("fair_queue");
	TCase *tcase = tcase_create("virtual time");
	SRunner *runner;
	int failed;

	tcase_set_timeout(tcase, 120);
	tcase_add_test(tcase, test_flooding_team_does_not_harm_others);
	tcase_add_test(tcase, test_shares_follow_run_time);
	tcase_add_test(tcase, test_late_item_is_refused_immediately);
	tcase_add_test(tcase, test_queue_limit_is_per_team);
	tcase_add_test(tcase, test_work_and_order_without_slots);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
