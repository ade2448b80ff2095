#include "jh_lead_claim.h"
#include "runner.h"

START_TEST(test_first_vm_claims_what_nobody_holds)
{
	jh_leader_view_t view = { .holder = JH_LEADER_NONE };

	ck_assert_ptr_null(jh_leader_must_claim(&view));
	view.is_first = true;
	ck_assert_ptr_nonnull(jh_leader_must_claim(&view));
	view.holder = JH_LEADER_DOWN;
	ck_assert_ptr_nonnull(jh_leader_must_claim(&view));
	view.holder = JH_LEADER_EARLIER_SELF;
	ck_assert_ptr_nonnull(jh_leader_must_claim(&view));
	view.holder = JH_LEADER_LIVE;
	ck_assert_ptr_null(jh_leader_must_claim(&view));
}
END_TEST

/* A machine that was added knew nobody, came first in its own view and took the lead away. */
START_TEST(test_vm_that_knows_nobody_yet_does_not_claim)
{
	jh_leader_view_t view = { .holder = JH_LEADER_NOT_LISTED,
				  .is_first = true,
				  .not_listed_us = 300000 };

	ck_assert_ptr_null(jh_leader_must_claim(&view));
	view.not_listed_us = 2000000;
	ck_assert_ptr_nonnull(jh_leader_must_claim(&view));
}
END_TEST

/* VMs took the lead from each other every 0.1 s, and no primary was ever replaced. */
START_TEST(test_change_that_moves_is_left_to_its_holder)
{
	jh_leader_view_t view = { .holder = JH_LEADER_LIVE, .has_work = true };

	view.no_progress_us = 2500000;
	ck_assert_ptr_null(jh_leader_must_claim(&view));
	view.no_progress_us = JH_LEADER_STUCK_US + 1;
	ck_assert_ptr_nonnull(jh_leader_must_claim(&view));
	view.has_work = false;
	ck_assert_ptr_null(jh_leader_must_claim(&view));
}
END_TEST

int main(void)
{
	const TTest *const tests[] = { test_first_vm_claims_what_nobody_holds,
				       test_vm_that_knows_nobody_yet_does_not_claim,
				       test_change_that_moves_is_left_to_its_holder, NULL };

	return run_tests("lead_claim", tests);
}
