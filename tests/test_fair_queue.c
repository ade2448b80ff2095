/* The fair queue in virtual time. */
#include "jh_fair_queue.h"

#include <check.h>
#include <stdio.h>
#include <stdlib.h>

#define TEAMS 8
#define SLOTS 5
#define MS 1000
#define SECOND (1000 * MS)
#define RUN_US (2 * MS)
#define SEEDS 50

static const char *const team_names[TEAMS] = { "t0", "t1", "t2", "t3", "t4", "t5", "t6", "t7" };

typedef struct running {
	unsigned team;
	int64_t until_us;
	int64_t run_us;
} running_t;

typedef struct sim {
	jh_fair_queue_t *queue;
	running_t slots[SLOTS];
	int64_t now_us;
	/* By team. */
	int64_t next_us[TEAMS];
	double rate[TEAMS];
	int64_t cost_us[TEAMS];
	int64_t work_us[TEAMS];
	unsigned offered[TEAMS];
	unsigned refused[TEAMS];
	unsigned taken[TEAMS];
	int64_t started_late[TEAMS];
} sim_t;

static const char *name_of(unsigned team)
{
	return g_intern_static_string(team_names[team]);
}

/* Items carry their team in the low byte and their deadline above. */
static void sim_arrive(sim_t *sim, unsigned team, GRand *random)
{
	int64_t left_us = 200 * MS;
	uint64_t item = (uint64_t)(sim->now_us + left_us) << 8 | (team + 1);
	jh_fair_verdict_t verdict =
		jh_fair_queue_offer(sim->queue, name_of(team), 1.0, item, sim->now_us, left_us);

	sim->offered[team]++;
	if (verdict.result != JH_FAIR_QUEUED) {
		sim->refused[team]++;
		ck_assert_int_gt(verdict.retry_us, 0);
	}
	sim->next_us[team] = sim->now_us + (int64_t)(g_rand_double_range(random, 0, 2) * SECOND /
						     sim->rate[team]);
}

static void sim_fill(sim_t *sim)
{
	unsigned i;

	for (i = 0; i < SLOTS; i++) {
		running_t *slot = &sim->slots[i];
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
			sim->started_late[slot->team]++;
	}
}

static int64_t sim_next(const sim_t *sim)
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

static void sim_run(sim_t *sim, GRand *random, int64_t until_us)
{
	unsigned i;

	while (sim->now_us < until_us) {
		sim->now_us = sim_next(sim);
		for (i = 0; i < SLOTS; i++) {
			running_t *slot = &sim->slots[i];

			if (slot->until_us == 0 || slot->until_us > sim->now_us)
				continue;
			slot->until_us = 0;
			sim->work_us[slot->team] += slot->run_us;
			jh_fair_queue_finish(sim->queue, name_of(slot->team), slot->run_us);
		}
		for (i = 0; i < TEAMS; i++) {
			if (sim->next_us[i] <= sim->now_us)
				sim_arrive(sim, i, random);
		}
		sim_fill(sim);
	}
}

static sim_t *sim_new(void)
{
	sim_t *sim = g_new0(sim_t, 1);
	unsigned i;

	sim->queue = jh_fair_queue_new(SLOTS, 256);
	for (i = 0; i < TEAMS; i++) {
		/* Seven teams at 60 % of an equal share of the slots. */
		sim->rate[i] = 0.6 * SLOTS * SECOND / RUN_US / TEAMS;
		sim->cost_us[i] = RUN_US;
	}
	return sim;
}

static void sim_free(sim_t *sim)
{
	jh_fair_queue_free(sim->queue);
	g_free(sim);
}

static double worst_share(const sim_t *sim)
{
	double worst = 1;
	unsigned i;

	for (i = 1; i < TEAMS; i++)
		worst = MIN(worst, 1.0 - (double)sim->refused[i] / sim->offered[i]);
	return worst;
}

/* A team at 20 times its rate takes nothing from teams within their share. */
START_TEST(test_flood)
{
	double worst = 1;
	double worst_late = 0;
	int seed;

	for (seed = 1; seed <= SEEDS; seed++) {
		GRand *random = g_rand_new_with_seed((guint32)seed);
		sim_t *sim = sim_new();
		unsigned i;

		sim->rate[0] *= 20;
		sim_run(sim, random, 5LL * SECOND);
		worst = MIN(worst, worst_share(sim));
		for (i = 1; i < TEAMS; i++)
			ck_assert_msg(sim->started_late[i] == 0, "seed=%d team=%u", seed, i);
		worst_late = MAX(worst_late, (double)sim->started_late[0] / sim->taken[0]);
		sim_free(sim);
		g_rand_free(random);
	}
	printf("flood: seeds=1..%d worst_served_share=%.4f flooding_team_late=%.4f\n", SEEDS, worst,
	       worst_late);
	ck_assert_double_ge(worst, 0.999);
}
END_TEST

/* Shares go by work: a team whose requests cost ten times as much gets no more time. */
START_TEST(test_work_not_requests)
{
	GRand *random = g_rand_new_with_seed(7);
	sim_t *sim = sim_new();
	unsigned i;

	for (i = 0; i < TEAMS; i++)
		sim->rate[i] *= 10;
	sim->cost_us[0] = 10L * RUN_US;
	sim_run(sim, random, 20LL * SECOND);
	for (i = 1; i < TEAMS; i++) {
		double ratio = (double)sim->work_us[0] / (double)sim->work_us[i];

		ck_assert_msg(ratio > 0.85 && ratio < 1.15, "seed=7 team=%u ratio=%f", i, ratio);
	}
	sim_free(sim);
	g_rand_free(random);
}
END_TEST

START_TEST(test_late_is_refused_at_once)
{
	jh_fair_queue_t *queue = jh_fair_queue_new(1, 1000);
	const char *team = name_of(0);
	jh_fair_verdict_t verdict;
	unsigned i;

	jh_fair_queue_offer(queue, team, 1, 1, 0, SECOND);
	ck_assert_uint_eq(jh_fair_queue_take(queue, 0), 1);
	jh_fair_queue_finish(queue, team, 100L * MS);
	for (i = 0; i < 100; i++)
		jh_fair_queue_offer(queue, team, 1, 10 + i, 0, 100LL * SECOND);
	verdict = jh_fair_queue_offer(queue, team, 1, 999, 0, 10L * MS);
	ck_assert_int_eq(verdict.result, JH_FAIR_LATE);
	ck_assert_int_gt(verdict.retry_us, 0);
	ck_assert_uint_eq(jh_fair_queue_length(queue), 100);
	ck_assert(jh_fair_queue_remove(queue, team, 10));
	ck_assert(!jh_fair_queue_remove(queue, team, 10));
	ck_assert_uint_eq(jh_fair_queue_take(queue, 0), 11);
	jh_fair_queue_free(queue);
}
END_TEST

START_TEST(test_bound_is_per_team)
{
	jh_fair_queue_t *queue = jh_fair_queue_new(1, 2);
	const int64_t left_us = 100LL * SECOND;

	ck_assert_int_eq(jh_fair_queue_offer(queue, name_of(0), 1, 1, 0, left_us).result, 0);
	ck_assert_int_eq(jh_fair_queue_offer(queue, name_of(0), 1, 2, 0, left_us).result, 0);
	ck_assert_int_eq(jh_fair_queue_offer(queue, name_of(0), 1, 3, 0, left_us).result,
			 JH_FAIR_FULL);
	ck_assert_int_eq(jh_fair_queue_offer(queue, name_of(1), 1, 4, 0, left_us).result, 0);
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
	tcase_add_test(tcase, test_flood);
	tcase_add_test(tcase, test_work_not_requests);
	tcase_add_test(tcase, test_late_is_refused_at_once);
	tcase_add_test(tcase, test_bound_is_per_team);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
