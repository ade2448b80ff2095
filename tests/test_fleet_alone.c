/*
 * Guards against a group that gets no primary while one VM reaches the store and no other VM: it
 * and the others take each other for dead, and claim the leader's role from each other
 * (KNOWN-RED.txt).
 */

#include "fleet_model.h"
#include "runner.h"

START_TEST(test_vm_that_is_alone_with_the_store_holds_nobody_up)
{
	unsigned i;

	for (i = 0; i < 14; i++) {
		const fleet_run_t run = {
			.seed = i,
			.vms = 5,
			.groups = 1,
			.bound_ms = 3000,
			.stable_ms = 4000,
			.drain_ms = 7000,
			.run_us = 26000000,
			.faults = { { .type = FLEET_VM_CUT,
				      .at_us = 1000000,
				      .lasts_us = 24500000,
				      .vms = UINT64_C(1) << i % 5 },
				    { .type = FLEET_PRIMARY_LOST, .at_us = 13000000 } },
			.fault_count = 2,
		};
		fleet_result_t result = fleet_run_play(&run);

		ck_assert_msg(result.promotions > 0, "seed %u: no promotion in 13 s", i);
		fleet_result_clear(&result);
	}
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		test_vm_that_is_alone_with_the_store_holds_nobody_up,
		NULL,
	};

	return run_tests("fleet_alone", tests);
}
