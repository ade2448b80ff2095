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
	view.status = JH_LEADER_EARLIER_ERA;
	ck_assert_ptr_nonnull(jh_leader_must_claim(&view));
}
END_TEST

/*
 * Guards against ONE: a store restored from an older copy shows an earlier leader's row, so that a
 * VM which does not know the later leaders gave out a fencing token lower than theirs.
 */
START_TEST(test_fencing_tokens_of_a_new_era_are_higher_than_all_before)
{
	uint64_t of_first_era = jh_leader_next_fence(0, 1);
	uint64_t of_second_era;
	unsigned i;

	for (i = 0; i < 1000; i++)
		of_first_era = jh_leader_next_fence(of_first_era, 1);
	of_second_era = jh_leader_next_fence(0, 2);
	ck_assert_uint_gt(of_second_era, of_first_era);
	ck_assert_uint_eq(jh_leader_fence_era(of_first_era), 1);
	ck_assert_uint_eq(jh_leader_fence_era(of_second_era), 2);
	ck_assert_uint_eq(jh_leader_next_fence(7, 0), 8);
}
END_TEST

/*
 * Guards against a change of primary that begins again just as a network partition heals: the VMs
 * counted the time of the partition, in which no leader could complete a change, and claimed the
 * role.
 */
START_TEST(test_time_without_a_majority_is_no_lack_of_progress)
{
	const int64_t step_us = 100000;
	jh_leader_view_t view = { .status = JH_LEADER_LIVE, .has_work = true };
	int64_t waited_us = 0;
	unsigned i;

	for (i = 0; i < 70; i++)
		waited_us = jh_leader_wait_add(waited_us, step_us, false);
	view.no_progress_us = waited_us;
	ck_assert_ptr_null(jh_leader_must_claim(&view));
	for (i = 0; i < 38; i++)
		waited_us = jh_leader_wait_add(waited_us, step_us, true);
	view.no_progress_us = waited_us;
	ck_assert_ptr_null(jh_leader_must_claim(&view));
	for (i = 0; i < 3; i++)
		waited_us = jh_leader_wait_add(waited_us, step_us, true);
	view.no_progress_us = waited_us;
	ck_assert_ptr_nonnull(jh_leader_must_claim(&view));
	/* This VM was suspended, and saw nothing of the leader. */
	ck_assert_int_eq(jh_leader_wait_add(0, 10000000, true), 0);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = { test_first_vm_claims_role_without_live_leader,
				       test_unlisted_leader_is_replaced_after_timeout,
				       test_live_leader_is_replaced_only_without_progress,
				       test_restarted_leader_claims_its_role_though_it_is_not_first,
				       test_fencing_tokens_of_a_new_era_are_higher_than_all_before,
				       test_time_without_a_majority_is_no_lack_of_progress,
				       NULL };

	return run_tests("lead_claim", tests);
}
