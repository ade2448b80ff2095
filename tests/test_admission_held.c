#include "admission_sim.h"

/*
 * Guards against callers that are held for more than a quarter of their limit and then refused: a
 * member that slows down makes the estimates of those that wait already too good. Of the attempts
 * that are offered at most one in twenty may end in that way.
 */
START_TEST(test_few_are_held_and_refused_when_a_member_slows_down)
{
	sim_t setup = { .load_count = 2, .slots = 4, .conn_count = 8 };
	sim_t new_sim;

	setup.loads[0] = urgent_load(150);
	setup.loads[1] = usual_load(150);
	setup.slowness = 5;
	setup.slow_from_us = 1 * SECOND_US;
	setup.slow_until_us = 2 * SECOND_US;
	new_sim = run(&setup, false, "slow member");
	ck_assert_double_lt(share(new_sim.others.held_and_refused, new_sim.others.offered), 0.05);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		test_few_are_held_and_refused_when_a_member_slows_down,
		NULL,
	};

	return run_tests("admission_held", tests);
}
