/*
 * Guards against VMs that keep claiming the leader role from a live leader, so that no change of
 * primary completes, and against a dead or stuck leader that no VM replaces.
 */

#include "jh_lead_claim.h"
#include "runner.h"

START_TEST(test_first_vm_claims_role_without_live_leader)
{
	jh_leader_view_t view = { .status = JH_LEADER_NONE };

	ck_assert_ptr_null(jh_leader_must_claim(&view));
	view.is_first = true;
	ck_assert_ptr_nonnull(jh_leader_must_claim(&view));
	view.status = JH_LEADER_DOWN;
	ck_assert_ptr_nonnull(jh_leader_must_claim(&view));
	view.status = JH_LEADER_EARLIER_SELF;
	ck_assert_ptr_nonnull(jh_leader_must_claim(&view));
	view.status = JH_LEADER_LIVE;
	ck_assert_ptr_null(jh_leader_must_claim(&view));
}
END_TEST

/*
 * A leader that is not listed is replaced only after a timeout. Without the timeout, a VM that had
 * just been added and listed no other VM yet was first in its own view, and claimed the role from a
 * live leader.
 */
START_TEST(test_unlisted_leader_is_replaced_after_timeout)
{
	jh_leader_view_t view = { .status = JH_LEADER_NOT_LISTED,
				  .is_first = true,
				  .not_listed_us = 300000 };

	ck_assert_ptr_null(jh_leader_must_claim(&view));
	view.not_listed_us = 2000000;
	ck_assert_ptr_nonnull(jh_leader_must_claim(&view));
}
END_TEST

/*
 * The role is claimed from a live leader only if a group needs the leader and no row has changed
 * for JH_LEADER_STUCK_US. VMs that claimed the role from each other every 0.1 s never completed a
 * change of primary.
 */
START_TEST(test_live_leader_is_replaced_only_without_progress)
{
	jh_leader_view_t view = { .status = JH_LEADER_LIVE, .has_work = true };

	view.no_progress_us = 2500000;
	ck_assert_ptr_null(jh_leader_must_claim(&view));
	view.no_progress_us = JH_LEADER_STUCK_US + 1;
	ck_assert_ptr_nonnull(jh_leader_must_claim(&view));
	view.has_work = false;
	ck_assert_ptr_null(jh_leader_must_claim(&view));
}
END_TEST

/*
 * Guards against a group without a primary: all VMs restarted, the leader's row named an earlier
 * instance of a VM that was not placed first, and the VM that was placed first saw that VM live.
 */
START_TEST(test_restarted_leader_claims_its_role_though_it_is_not_first)
{
	jh_leader_view_t view = { .status = JH_LEADER_EARLIER_SELF };

	ck_assert_ptr_nonnull(jh_leader_must_claim(&view));
}
END_TEST

int main(void)
{
	const TTest *const tests[] = { test_first_vm_claims_role_without_live_leader,
				       test_unlisted_leader_is_replaced_after_timeout,
				       test_live_leader_is_replaced_only_without_progress,
				       test_restarted_leader_claims_its_role_though_it_is_not_first,
				       NULL };

	return run_tests("lead_claim", tests);
}
