#include "failover_model.h"

#include <check.h>
#include <stdio.h>

#define SCHEDULES 3000u
#define FAULTS 8u
#define HEAL_US (5000 * MS)
#define END_US (12000 * MS)

/* ---- faults, drawn at random ---- */

static unsigned random_node(model_t *model)
{
	return (unsigned)g_rand_int_range(model->random, 0, MODEL_NODES);
}

static void fault_cut_node(model_t *model)
{
	model_cut_node(model, random_node(model), true);
}

static void fault_cut_one_way(model_t *model)
{
	unsigned from = random_node(model);
	unsigned to = random_node(model);

	model->cut[from][to] = from != to;
}

static void fault_split(model_t *model)
{
	unsigned side = (unsigned)g_rand_int_range(model->random, 1, (1 << MODEL_NODES) - 1);
	unsigned i;
	unsigned j;

	for (i = 0; i < MODEL_NODES; i++) {
		for (j = 0; j < MODEL_NODES; j++)
			model->cut[i][j] = (side >> i & 1) != (side >> j & 1);
	}
}

static void fault_freeze(model_t *model)
{
	int64_t length_us = g_rand_int_range(model->random, 50, 2500) * MS;

	model->frozen_until_us[random_node(model)] = model->now_us + length_us;
}

/* The primary that most callers use, as an outage would have it. */
static void fault_cut_primary(model_t *model)
{
	int primary = jh_group_state_primary(model->vms[0].state);

	if (primary >= 0)
		model_cut_node(model, (unsigned)primary, true);
}

static void fault_freeze_primary(model_t *model)
{
	int primary = jh_group_state_primary(model->vms[0].state);

	if (primary >= 0)
		model->frozen_until_us[primary] =
			model->now_us + g_rand_int_range(model->random, 200, 2500) * MS;
}

static void fault_network_bad(model_t *model)
{
	model->loss = 0.15;
	model->straggle = 0.1;
}

static void fault_ranks(model_t *model)
{
	unsigned i;

	for (i = 0; i < MODEL_VMS; i++)
		model->vms[i].rank = (unsigned)g_rand_int_range(model->random, 0, 2);
}

/* Operators take a member out, or none. */
static void fault_departing(model_t *model)
{
	uint32_t departing = 1u << g_rand_int_range(model->random, 0, MODEL_MEMBERS + 1);
	unsigned i;

	for (i = 0; i < MODEL_VMS; i++)
		model->vms[i].failover.departing = departing;
}

static void (*const faults[])(model_t *model) = {
	fault_cut_node,	      fault_cut_one_way, fault_split, fault_freeze,    fault_cut_primary,
	fault_freeze_primary, fault_network_bad, fault_ranks, fault_departing, model_heal,
};

static model_t *schedule_new(uint32_t seed)
{
	model_t *model = model_new(seed, JH_TERMS_FROM_MEMBERS);
	unsigned i;

	model->write_interval_us = 100 * MS;
	for (i = 0; i < FAULTS; i++) {
		int kind = g_rand_int_range(model->random, 0, G_N_ELEMENTS(faults));

		model_fault_at(model, g_rand_int_range(model->random, 300, 4900) * MS,
			       faults[kind]);
	}
	model_fault_at(model, HEAL_US, model_heal);
	return model;
}

/* ---- schedules ---- */

static bool all_agree(const model_t *model)
{
	unsigned i;

	for (i = 0; i < MODEL_VMS; i++) {
		if (jh_group_state_primary(model->vms[i].state) < 0 ||
		    jh_group_state_term(model->vms[i].state) !=
			    jh_group_state_term(model->vms[0].state))
			return false;
	}
	return true;
}

START_TEST(test_schedules_lose_no_write)
{
	uint64_t acknowledged = 0;
	uint64_t changes = 0;
	uint32_t seed;

	for (seed = 1; seed <= SCHEDULES; seed++) {
		model_t *model = schedule_new(seed);

		model_run(model, END_US);
		if (model->violation)
			ck_abort_msg("seed %u: %s at %" G_GINT64_FORMAT " us", seed,
				     model->violation, model->now_us);
		if (!all_agree(model) || model->now_us - model->last_ack_us > 1000 * MS)
			ck_abort_msg("seed %u: no progress after the faults healed", seed);
		acknowledged += model->acknowledged->len;
		changes += model->changes;
		model_free(model);
	}
	printf("seeds 1 to %u: %" G_GUINT64_FORMAT " writes acknowledged, %" G_GUINT64_FORMAT
	       " changes of primary\n",
	       SCHEDULES, acknowledged, changes);
	fflush(stdout);
	/* The schedules do put the mechanism to use. */
	ck_assert_uint_gt(changes, SCHEDULES / 2);
}
END_TEST

/* ---- single failures ---- */

static void cut_primary_at_second(model_t *model)
{
	model_cut_node(model, 0, true);
}

START_TEST(test_lost_primary_is_replaced_once)
{
	uint32_t seed;

	for (seed = 1; seed <= 200; seed++) {
		model_t *model = model_new(seed, JH_TERMS_FROM_MEMBERS);

		model_fault_at(model, 1000 * MS, cut_primary_at_second);
		model_run(model, 4000 * MS);
		ck_assert_msg(!model->violation, "seed %u", seed);
		ck_assert_msg(model->changes == 1, "seed %u: %u changes", seed, model->changes);
		ck_assert_msg(model->longest_gap_us < 1000 * MS, "seed %u: gap of %d ms", seed,
			      (int)(model->longest_gap_us / MS));
		/* The isolated old primary comes back and follows the new one. */
		model_heal(model);
		model_run(model, 6000 * MS);
		ck_assert_msg(!model->members[0].is_primary, "seed %u", seed);
		ck_assert_msg(model->members[0].term == 2, "seed %u", seed);
		ck_assert_msg(model->changes == 1, "seed %u: %u changes", seed, model->changes);
		model_free(model);
	}
}
END_TEST

static void cut_coordinator(model_t *model)
{
	model_cut_node(model, MODEL_MEMBERS, true);
}

static void freeze_coordinator(model_t *model)
{
	model->frozen_until_us[MODEL_MEMBERS] = model->now_us + 1700 * MS;
}

static void freeze_all_vms(model_t *model)
{
	unsigned i;

	for (i = MODEL_MEMBERS; i < MODEL_NODES; i++)
		model->frozen_until_us[i] = model->now_us + 900 * MS;
}

static void cut_replica(model_t *model)
{
	model_cut_node(model, 2, true);
}

static void depart_primary(model_t *model)
{
	unsigned i;

	for (i = 0; i < MODEL_VMS; i++)
		model->vms[i].failover.departing = 1u;
}

START_TEST(test_departing_primary_hands_over)
{
	uint32_t seed;

	for (seed = 1; seed <= 100; seed++) {
		model_t *model = model_new(seed, JH_TERMS_FROM_MEMBERS);

		model_fault_at(model, 1000 * MS, depart_primary);
		model_run(model, 4000 * MS);
		ck_assert_msg(!model->violation, "seed %u", seed);
		ck_assert_msg(model->changes == 1, "seed %u: %u changes", seed, model->changes);
		ck_assert_int_ne(jh_group_state_primary(model->vms[0].state), 0);
		ck_assert_msg(model->longest_gap_us < 300 * MS, "seed %u: gap of %d ms", seed,
			      (int)(model->longest_gap_us / MS));
		model_free(model);
	}
}
END_TEST

START_TEST(test_primary_stays_if_others_fail)
{
	static void (*const harmless[])(model_t * model) = { cut_coordinator, freeze_coordinator,
							     freeze_all_vms, cut_replica };
	uint32_t seed;
	unsigned i;

	for (i = 0; i < G_N_ELEMENTS(harmless); i++) {
		for (seed = 1; seed <= 100; seed++) {
			model_t *model = model_new(seed, JH_TERMS_FROM_MEMBERS);

			model_fault_at(model, 1000 * MS, harmless[i]);
			model_fault_at(model, 4000 * MS, model_heal);
			model_run(model, 8000 * MS);
			ck_assert_msg(!model->violation, "fault %u seed %u", i, seed);
			ck_assert_msg(model->changes == 0, "fault %u seed %u: %u changes", i, seed,
				      model->changes);
			model_free(model);
		}
	}
}
END_TEST

START_TEST(test_next_rank_takes_over_from_a_dead_coordinator)
{
	uint32_t seed;

	for (seed = 1; seed <= 100; seed++) {
		model_t *model = model_new(seed, JH_TERMS_FROM_MEMBERS);

		model_fault_at(model, 1000 * MS, cut_coordinator);
		model_fault_at(model, 1000 * MS, cut_primary_at_second);
		model_run(model, 4000 * MS);
		ck_assert_msg(!model->violation, "seed %u", seed);
		ck_assert_msg(model->changes >= 1, "seed %u: no change", seed);
		ck_assert_msg(model->now_us - model->last_ack_us < 200 * MS, "seed %u", seed);
		model_free(model);
	}
}
END_TEST

static void race_coordinators(model_t *model)
{
	unsigned i;

	for (i = 0; i < MODEL_VMS; i++)
		model->vms[i].rank = 0;
	model_cut_node(model, 0, true);
}

START_TEST(test_racing_coordinators_settle)
{
	uint32_t seed;

	for (seed = 1; seed <= 500; seed++) {
		model_t *model = model_new(seed, JH_TERMS_FROM_MEMBERS);

		model_fault_at(model, 1000 * MS, race_coordinators);
		model_run(model, 6000 * MS);
		ck_assert_msg(!model->violation, "seed %u: %s", seed, model->violation);
		ck_assert_msg(model->now_us - model->last_ack_us < 200 * MS, "seed %u", seed);
		model_free(model);
	}
}
END_TEST

/* ---- one coordinator by itself ---- */

/* Let the coordinator see a group without a primary until it begins a change. */
static uint64_t begin_change(jh_failover_t *failover, const jh_group_state_t *state,
			     int64_t *now_us)
{
	jh_failover_event_t tick = { .type = JH_FAILOVER_TICK };
	jh_failover_actions_t actions;
	unsigned i;

	for (i = 0; i < 100; i++) {
		*now_us += 50 * MS;
		jh_failover_decide(failover, state, &tick, *now_us, 0, &actions);
		if (actions.count > 0 && actions.list[0].type == JH_FAILOVER_CONNECT)
			return actions.list[0].term;
	}
	ck_abort_msg("no change was begun");
}

/*
 * The answer to a promotion is lost, and so are the reports after it: a second promotion in the
 * same term could make a second primary.
 */
START_TEST(test_no_term_is_used_twice)
{
	model_t *model = model_new(1, JH_TERMS_FROM_MEMBERS);
	jh_group_state_t *state = model->vms[0].state;
	jh_failover_t failover = { .authority = JH_TERMS_FROM_MEMBERS };
	jh_member_report_t report = { .reachable = true, .term = 1, .promised_term = 1 };
	jh_failover_actions_t actions;
	int64_t now_us = 1000 * MS;
	uint64_t first;
	unsigned i;

	report.at_us = 100000 * MS;
	for (i = 0; i < MODEL_MEMBERS; i++)
		jh_group_state_report(state, "vm-0", i, &report);
	first = begin_change(&failover, state, &now_us);
	for (i = 0; i < 2; i++) {
		jh_failover_event_t event = { .type = JH_FAILOVER_CONNECTED,
					      .member = i,
					      .term = first };

		jh_failover_decide(&failover, state, &event, now_us, 0, &actions);
	}
	ck_assert_int_eq(actions.list[0].type, JH_FAILOVER_FENCE);
	for (i = 0; i < 2; i++) {
		jh_failover_event_t event = {
			.type = JH_FAILOVER_FENCED, .member = i, .term = first, .granted = true
		};

		jh_failover_decide(&failover, state, &event, now_us, 0, &actions);
	}
	ck_assert_int_eq(actions.list[0].type, JH_FAILOVER_PROMOTE);
	ck_assert_uint_gt(begin_change(&failover, state, &now_us), first);
	model_free(model);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("failover");
	TCase *tcase = tcase_create("model");
	SRunner *runner;
	int failed;

	tcase_set_timeout(tcase, 240);
	tcase_add_test(tcase, test_no_term_is_used_twice);
	tcase_add_test(tcase, test_lost_primary_is_replaced_once);
	tcase_add_test(tcase, test_departing_primary_hands_over);
	tcase_add_test(tcase, test_primary_stays_if_others_fail);
	tcase_add_test(tcase, test_next_rank_takes_over_from_a_dead_coordinator);
	tcase_add_test(tcase, test_racing_coordinators_settle);
	tcase_add_test(tcase, test_schedules_lose_no_write);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
