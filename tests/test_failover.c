/*
 * Guards against a change of primary that makes two primaries in one term or loses an acknowledged
 * write, one that is not needed, and a group that stays without a primary after the faults have
 * ended. Network partitions, lost and late messages, paused nodes and competing coordinators are
 * simulated by failover_model.h, in random schedules and one by one.
 */

#include "failover_model.h"

#include <check.h>
#include <stdio.h>

#define SCHEDULES 3000u
#define FAULTS_PER_SCHEDULE 8u
#define HEAL_US (5000 * MS)
#define END_US (12000 * MS)

/* ---- random faults ---- */

static unsigned random_node(model_t *model)
{
	return (unsigned)g_rand_int_range(model->random, 0, MODEL_NODES);
}

static void fault_isolate_node(model_t *model)
{
	model_node_set_isolated(model, random_node(model), true);
}

static void fault_cut_link(model_t *model)
{
	unsigned from = random_node(model);
	unsigned to = random_node(model);

	model->link_down[from][to] = from != to;
}

static void fault_partition_network(model_t *model)
{
	unsigned side_mask = (unsigned)g_rand_int_range(model->random, 1, (1 << MODEL_NODES) - 1);
	unsigned i;
	unsigned j;

	for (i = 0; i < MODEL_NODES; i++) {
		for (j = 0; j < MODEL_NODES; j++)
			model->link_down[i][j] = (side_mask >> i & 1) != (side_mask >> j & 1);
	}
}

static void fault_freeze(model_t *model)
{
	int64_t length_us = g_rand_int_range(model->random, 50, 2500) * MS;

	model->frozen_until_us[random_node(model)] = model->now_us + length_us;
}

/*
 * Isolates the primary that the first VM knows, as in an outage of the primary that most callers
 * use. A fault at a random node hits the primary in one case of six only.
 */
static void fault_isolate_primary(model_t *model)
{
	int primary = jh_group_state_primary(model->vms[0].state);

	if (primary >= 0)
		model_node_set_isolated(model, (unsigned)primary, true);
}

static void fault_freeze_primary(model_t *model)
{
	int primary = jh_group_state_primary(model->vms[0].state);

	if (primary >= 0)
		model->frozen_until_us[primary] =
			model->now_us + g_rand_int_range(model->random, 200, 2500) * MS;
}

static void fault_degrade_network(model_t *model)
{
	model->loss_probability = 0.15;
	model->straggler_probability = 0.1;
}

static void fault_reassign_ranks(model_t *model)
{
	unsigned i;

	for (i = 0; i < MODEL_VMS; i++)
		model->vms[i].rank = (unsigned)g_rand_int_range(model->random, 0, 2);
}

/* Operators remove one member, or none. */
static void fault_set_departing(model_t *model)
{
	uint32_t departing = 1u << g_rand_int_range(model->random, 0, MODEL_MEMBERS + 1);
	unsigned i;

	for (i = 0; i < MODEL_VMS; i++)
		model->vms[i].failover.departing = departing;
}

static void (*const faults[])(model_t *model) = {
	fault_isolate_node,    fault_cut_link,	     fault_partition_network, fault_freeze,
	fault_isolate_primary, fault_freeze_primary, fault_degrade_network,   fault_reassign_ranks,
	fault_set_departing,   model_heal_network,
};

static model_t *schedule_new(uint32_t seed)
{
	model_t *model = model_new(seed, JH_TERMS_FROM_MEMBERS);
	unsigned i;

	model->write_interval_us = 100 * MS;
	for (i = 0; i < FAULTS_PER_SCHEDULE; i++) {
		int kind = g_rand_int_range(model->random, 0, G_N_ELEMENTS(faults));

		model_fault_schedule(model, g_rand_int_range(model->random, 300, 4900) * MS,
				     faults[kind]);
	}
	model_fault_schedule(model, HEAL_US, model_heal_network);
	return model;
}

/* ---- random schedules of faults ---- */

static bool vms_agree(const model_t *model)
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
	uint64_t promotions = 0;
	uint32_t seed;

	for (seed = 1; seed <= SCHEDULES; seed++) {
		model_t *model = schedule_new(seed);

		model_run(model, END_US);
		if (model->violation)
			ck_abort_msg("seed %u: %s at %" G_GINT64_FORMAT " us", seed,
				     model->violation, model->now_us);
		if (!vms_agree(model) || model->now_us - model->last_ack_us > 1000 * MS)
			ck_abort_msg("seed %u: no progress after the faults healed", seed);
		acknowledged += model->acknowledged->len;
		promotions += model->promotions;
		model_free(model);
	}
	printf("seeds 1 to %u: %" G_GUINT64_FORMAT " writes acknowledged, %" G_GUINT64_FORMAT
	       " changes of primary\n",
	       SCHEDULES, acknowledged, promotions);
	fflush(stdout);
	/* Too few changes of primary would prove little about them. */
	ck_assert_uint_gt(promotions, SCHEDULES / 2);
}
END_TEST

/* ---- single faults ---- */

static void isolate_primary(model_t *model)
{
	model_node_set_isolated(model, 0, true);
}

START_TEST(test_lost_primary_is_replaced_once)
{
	uint32_t seed;

	for (seed = 1; seed <= 200; seed++) {
		model_t *model = model_new(seed, JH_TERMS_FROM_MEMBERS);

		model_fault_schedule(model, 1000 * MS, isolate_primary);
		model_run(model, 4000 * MS);
		ck_assert_msg(!model->violation, "seed %u", seed);
		ck_assert_msg(model->promotions == 1, "seed %u: %u changes", seed,
			      model->promotions);
		ck_assert_msg(model->longest_write_gap_us < 1000 * MS, "seed %u: gap of %d ms",
			      seed, (int)(model->longest_write_gap_us / MS));
		/* The old primary is connected again and follows the new one. */
		model_heal_network(model);
		model_run(model, 6000 * MS);
		ck_assert_msg(!model->members[0].is_primary, "seed %u", seed);
		ck_assert_msg(model->members[0].term == 2, "seed %u", seed);
		ck_assert_msg(model->promotions == 1, "seed %u: %u changes", seed,
			      model->promotions);
		model_free(model);
	}
}
END_TEST

static void isolate_coordinator(model_t *model)
{
	model_node_set_isolated(model, MODEL_MEMBERS, true);
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

static void isolate_replica(model_t *model)
{
	model_node_set_isolated(model, 2, true);
}

static void mark_primary_departing(model_t *model)
{
	unsigned i;

	for (i = 0; i < MODEL_VMS; i++)
		model->vms[i].failover.departing = 1u;
}

START_TEST(test_departing_primary_is_replaced)
{
	uint32_t seed;

	for (seed = 1; seed <= 100; seed++) {
		model_t *model = model_new(seed, JH_TERMS_FROM_MEMBERS);

		model_fault_schedule(model, 1000 * MS, mark_primary_departing);
		model_run(model, 4000 * MS);
		ck_assert_msg(!model->violation, "seed %u", seed);
		ck_assert_msg(model->promotions == 1, "seed %u: %u changes", seed,
			      model->promotions);
		ck_assert_int_ne(jh_group_state_primary(model->vms[0].state), 0);
		ck_assert_msg(model->longest_write_gap_us < 300 * MS, "seed %u: gap of %d ms", seed,
			      (int)(model->longest_write_gap_us / MS));
		model_free(model);
	}
}
END_TEST

START_TEST(test_primary_stays_if_others_fail)
{
	static void (*const harmless_faults[])(model_t * model) = {
		isolate_coordinator, freeze_coordinator, freeze_all_vms, isolate_replica
	};
	uint32_t seed;
	unsigned i;

	for (i = 0; i < G_N_ELEMENTS(harmless_faults); i++) {
		for (seed = 1; seed <= 100; seed++) {
			model_t *model = model_new(seed, JH_TERMS_FROM_MEMBERS);

			model_fault_schedule(model, 1000 * MS, harmless_faults[i]);
			model_fault_schedule(model, 4000 * MS, model_heal_network);
			model_run(model, 8000 * MS);
			ck_assert_msg(!model->violation, "fault %u seed %u", i, seed);
			ck_assert_msg(model->promotions == 0, "fault %u seed %u: %u changes", i,
				      seed, model->promotions);
			model_free(model);
		}
	}
}
END_TEST

START_TEST(test_next_rank_replaces_isolated_coordinator)
{
	uint32_t seed;

	for (seed = 1; seed <= 100; seed++) {
		model_t *model = model_new(seed, JH_TERMS_FROM_MEMBERS);

		model_fault_schedule(model, 1000 * MS, isolate_coordinator);
		model_fault_schedule(model, 1000 * MS, isolate_primary);
		model_run(model, 4000 * MS);
		ck_assert_msg(!model->violation, "seed %u", seed);
		ck_assert_msg(model->promotions >= 1, "seed %u: no change", seed);
		ck_assert_msg(model->now_us - model->last_ack_us < 200 * MS, "seed %u", seed);
		model_free(model);
	}
}
END_TEST

static void start_coordinator_race(model_t *model)
{
	unsigned i;

	for (i = 0; i < MODEL_VMS; i++)
		model->vms[i].rank = 0;
	model_node_set_isolated(model, 0, true);
}

START_TEST(test_racing_coordinators_make_progress)
{
	uint32_t seed;

	for (seed = 1; seed <= 500; seed++) {
		model_t *model = model_new(seed, JH_TERMS_FROM_MEMBERS);

		model_fault_schedule(model, 1000 * MS, start_coordinator_race);
		model_run(model, 6000 * MS);
		ck_assert_msg(!model->violation, "seed %u: %s", seed, model->violation);
		ck_assert_msg(model->now_us - model->last_ack_us < 200 * MS, "seed %u", seed);
		model_free(model);
	}
}
END_TEST

/* ---- one coordinator without a network ---- */

/*
 * Runs the ticks of a coordinator of a group without a primary until it begins a change.
 * Return: the term of that change
 */
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
 * A promotion gets no reply and no report arrives after it. If the next attempt used the same term,
 * it could promote a second primary in that term.
 */
START_TEST(test_no_term_is_used_twice)
{
	model_t *model = model_new(1, JH_TERMS_FROM_MEMBERS);
	jh_group_state_t *state = model->vms[0].state;
	jh_failover_t failover = { .issuer = JH_TERMS_FROM_MEMBERS };
	jh_member_report_t report = { .reachable = true, .term = 1, .promised_term = 1 };
	jh_failover_actions_t actions;
	int64_t now_us = 1000 * MS;
	uint64_t first;
	unsigned i;

	report.at_us = 100000 * MS;
	for (i = 0; i < MODEL_MEMBERS; i++)
		jh_group_state_apply_report(state, "vm-0", i, &report);
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
	tcase_add_test(tcase, test_departing_primary_is_replaced);
	tcase_add_test(tcase, test_primary_stays_if_others_fail);
	tcase_add_test(tcase, test_next_rank_replaces_isolated_coordinator);
	tcase_add_test(tcase, test_racing_coordinators_make_progress);
	tcase_add_test(tcase, test_schedules_lose_no_write);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
