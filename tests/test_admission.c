#include "admission_sim.h"

START_TEST(test_burst_of_batch_reads_behind_urgent_statements)
{
	sim_t setup = { .load_count = 2, .slots = 4, .conn_count = 8 };
	sim_t new_sim;
	sim_t old_sim;

	/* 0.6 of the capacity by urgent statements, and for 1 s twice the capacity by the batch. */
	setup.loads[0] = urgent_load(300);
	setup.loads[1] = batch_load(180);
	setup.loads[1].from_us = SECOND_US;
	setup.loads[1].until_us = 2 * SECOND_US;
	new_sim = run(&setup, false, "batch burst");
	old_sim = run(&setup, true, "batch burst");
	ck_assert_double_gt(share(new_sim.results[0].on_time, new_sim.results[0].offered), 0.97);
	ck_assert_double_gt(served(&new_sim.results[1]), 0.9);
	ck_assert_double_lt(served(&old_sim.results[1]), 0.9);
}
END_TEST

START_TEST(test_hot_team_among_many)
{
	sim_t setup = { .load_count = 1, .slots = 4, .conn_count = 8 };
	sim_t new_sim;
	sim_t old_sim;

	/* 1.5 times the capacity, of which the hot team has half. */
	setup.loads[0] = usual_load(300);
	setup.loads[0].teams = 8;
	setup.loads[0].hot = 7.5;
	new_sim = run(&setup, false, "hot team");
	old_sim = run(&setup, true, "hot team");
	ck_assert_double_gt(served(&new_sim.others), 0.95);
	ck_assert_double_lt(served(&old_sim.others), 0.95);
}
END_TEST

START_TEST(test_more_teams_than_connections)
{
	sim_t setup = { .load_count = 1, .slots = 4, .conn_count = 8 };
	sim_t new_sim;
	sim_t old_sim;

	setup.loads[0] = usual_load(180);
	setup.loads[0].teams = 40;
	setup.open_us = 12 * MS_US;
	new_sim = run(&setup, false, "many teams");
	old_sim = run(&setup, true, "many teams");
	ck_assert_uint_eq(new_sim.results[0].timed_out, 0);
	ck_assert_double_gt(served(&new_sim.results[0]), served(&old_sim.results[0]));
}
END_TEST

START_TEST(test_many_callers_refused_together)
{
	sim_t setup = { .load_count = 2, .slots = 4, .conn_count = 8 };
	sim_t new_sim;
	sim_t old_sim;

	/* 300 operations in 50 ms take 1.35 s to serve. */
	setup.loads[0] = usual_load(6000);
	setup.loads[0].from_us = 1000 * MS_US;
	setup.loads[0].until_us = 1050 * MS_US;
	setup.loads[1] = usual_load(50);
	setup.loads[1].until_us = 1000 * MS_US;
	new_sim = run(&setup, false, "all at once");
	old_sim = run(&setup, true, "all at once");
	/* 4 slots serve 4.4 in 20 ms. */
	ck_assert_uint_lt(new_sim.most_returns, 10);
	ck_assert_uint_gt(old_sim.most_returns, 50);
	ck_assert_double_gt(served(&new_sim.results[0]), 0.9);
	ck_assert_double_lt(served(&old_sim.results[0]), 0.9);
}
END_TEST

START_TEST(test_queue_whose_member_slows_down)
{
	sim_t setup = { .load_count = 2, .slots = 4, .conn_count = 8 };
	sim_t new_sim;
	sim_t old_sim;

	setup.loads[0] = urgent_load(150);
	setup.loads[1] = usual_load(150);
	setup.slowness = 5;
	setup.slow_from_us = 1 * SECOND_US;
	setup.slow_until_us = 2 * SECOND_US;
	new_sim = run(&setup, false, "slow member");
	old_sim = run(&setup, true, "slow member");
	ck_assert_double_gt(served(&new_sim.results[0]), 0.98);
	ck_assert_double_gt(served(&new_sim.results[1]), 0.85);
	ck_assert_double_lt(served(&old_sim.results[1]), 0.85);
	ck_assert_double_lt(share(new_sim.others.timed_out, new_sim.others.offered), 0.01);
}
END_TEST

START_TEST(test_primary_lost_with_a_full_queue)
{
	sim_t setup = { .load_count = 2, .slots = 4, .conn_count = 8 };
	sim_t new_sim;
	sim_t old_sim;

	setup.loads[0] = urgent_load(150);
	setup.loads[1] = batch_load(60);
	setup.down_from_us = 1 * SECOND_US;
	setup.down_until_us = 2200 * MS_US;
	new_sim = run(&setup, false, "primary lost");
	old_sim = run(&setup, true, "primary lost");
	ck_assert_double_gt(served(&new_sim.results[0]), served(&old_sim.results[0]));
	ck_assert_double_gt(served(&new_sim.results[1]), 0.98);
	ck_assert_double_lt(served(&old_sim.results[1]), 0.98);
	ck_assert_double_lt(share(new_sim.results[0].timed_out, new_sim.results[0].offered), 0.02);
}
END_TEST

START_TEST(test_queue_that_loses_a_member)
{
	sim_t setup = { .load_count = 2, .slots = 8, .conn_count = 16 };
	sim_t new_sim;
	sim_t old_sim;

	/* 0.75 of the capacity, then 1.5 times what is left of it. */
	setup.loads[0] = urgent_load(200);
	setup.loads[1] = usual_load(260);
	setup.halved_us = 2 * SECOND_US;
	new_sim = run(&setup, false, "member lost");
	old_sim = run(&setup, true, "member lost");
	ck_assert_double_gt(share(new_sim.results[0].on_time, new_sim.results[0].offered), 0.99);
	ck_assert_double_gt(served(&new_sim.results[1]), served(&old_sim.results[1]));
	ck_assert_double_lt(share(new_sim.others.timed_out, new_sim.others.offered), 0.001);
}
END_TEST

START_TEST(test_low_priority_does_not_starve)
{
	sim_t setup = { .load_count = 2, .slots = 4, .conn_count = 8 };
	sim_t new_sim;
	sim_t old_sim;

	/* The urgent statements alone need 1.2 times the capacity, the batch a twelfth of it. */
	setup.loads[0] = usual_load(270);
	setup.loads[1] = batch_load(11);
	new_sim = run(&setup, false, "low priority");
	old_sim = run(&setup, true, "low priority");
	ck_assert_double_gt(served(&new_sim.results[1]), 0.5);
	ck_assert_double_lt(served(&old_sim.results[1]), 0.5);
	ck_assert_double_gt(served(&new_sim.results[0]), 0.75);
}
END_TEST

START_TEST(test_duration_of_outages)
{
	jh_outage_estimate_t outage = { 0 };

	ck_assert_int_eq(jh_outage_left_us(&outage, SECOND_US), 1500 * MS_US);
	jh_outage_begin(&outage, 10 * SECOND_US);
	jh_outage_begin(&outage, 11 * SECOND_US);
	ck_assert_int_eq(jh_outage_left_us(&outage, 11 * SECOND_US), 500 * MS_US);
	/* One that lasts longer than usual is expected to go on. */
	ck_assert_int_eq(jh_outage_left_us(&outage, 14 * SECOND_US), 1000 * MS_US);
	jh_outage_end(&outage, false, 14 * SECOND_US);
	ck_assert_int_eq(jh_outage_usual_us(&outage), 1500 * MS_US);
	jh_outage_begin(&outage, 20 * SECOND_US);
	jh_outage_end(&outage, true, 20500 * MS_US);
	ck_assert_int_eq(jh_outage_usual_us(&outage), 1000 * MS_US);
	/* An outage of a minute does not stand for a minute. */
	jh_outage_begin(&outage, 30 * SECOND_US);
	jh_outage_end(&outage, true, 90 * SECOND_US);
	ck_assert_int_eq(jh_outage_usual_us(&outage), 3500 * MS_US);
}
END_TEST

/* A lane that nothing serves refuses at once, and gives up those that waited. */
START_TEST(test_lane_without_an_end)
{
	jh_admission_t *admission = jh_admission_new();
	jh_admission_capacity_t capacity = { .connections = 8, .slots = 4, .opens_us = SECOND_US };
	jh_admission_request_t request = { .id = 1,
					   .team = g_intern_static_string("team-1"),
					   .lane = JH_LANE_READ,
					   .arrived_us = MS_US,
					   .target_us = 2 * SECOND_US,
					   .limit_us = 3 * SECOND_US };
	GArray *refusals = g_array_new(FALSE, FALSE, sizeof(jh_admission_refusal_t));
	jh_admission_decision_t decision;

	jh_admission_set_capacity(admission, JH_LANE_READ, &capacity);
	decision = jh_admission_decide(admission, &request, MS_US);
	ck_assert_int_eq(decision.result, JH_ADMISSION_WAIT);
	jh_admission_enqueue(admission, &request, &decision, MS_US);
	jh_admission_begin_pass(admission);
	ck_assert_uint_eq(jh_admission_next(admission, 2 * MS_US), 0);
	jh_admission_review(admission, 2 * MS_US, refusals);
	ck_assert_uint_eq(refusals->len, 0);
	capacity.opens_us = JH_ADMISSION_NEVER;
	jh_admission_set_capacity(admission, JH_LANE_READ, &capacity);
	request.id = 2;
	decision = jh_admission_decide(admission, &request, 3 * MS_US);
	ck_assert_int_eq(decision.result, JH_ADMISSION_REFUSE);
	ck_assert_int_eq(decision.wait_us, JH_ADMISSION_NEVER);
	ck_assert_int_gt(decision.retry_us, 0);
	jh_admission_review(admission, 3 * MS_US, refusals);
	ck_assert_uint_eq(refusals->len, 1);
	ck_assert_uint_eq(g_array_index(refusals, jh_admission_refusal_t, 0).id, 1);
	ck_assert_uint_eq(jh_admission_length(admission, JH_LANE_READ), 0);
	g_array_free(refusals, TRUE);
	jh_admission_free(admission);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		test_burst_of_batch_reads_behind_urgent_statements,
		test_hot_team_among_many,
		test_more_teams_than_connections,
		test_many_callers_refused_together,
		test_queue_whose_member_slows_down,
		test_primary_lost_with_a_full_queue,
		test_queue_that_loses_a_member,
		test_low_priority_does_not_starve,
		test_duration_of_outages,
		test_lane_without_an_end,
		NULL,
	};

	return run_tests("admission", tests);
}
