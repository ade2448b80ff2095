/*
 * Guards against rules that break when faults of the store, of VMs and of members come together:
 * runs the real tasks of a fleet in virtual time under schedules of faults that seeds give.
 */

#include "fleet_model.h"
#include "runner.h"

#define SEEDS 60
#define VMS_MAX 9

START_TEST(test_no_schedule_breaks_a_rule)
{
	guint32 seed;

	for (seed = 1; seed <= SEEDS; seed++) {
		fleet_run_t run = fleet_run_draw(seed, VMS_MAX);
		fleet_result_t result = fleet_run_play(&run);

		if (result.rule)
			fleet_run_print(&run);
		ck_assert_msg(!result.rule, "seed %u: %s", seed, result.text);
		fleet_result_clear(&result);
	}
}
END_TEST

int main(void)
{
	const TTest *const tests[] = { test_no_schedule_breaks_a_rule, NULL };

	return run_tests("fleet", tests);
}
