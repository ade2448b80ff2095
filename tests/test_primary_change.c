/*
 * Guards against a needless change of primary, because one VM alone cannot reach it, and against
 * the two ways in which a change loses commits: the old primary is not fenced yet, or the member
 * that is promoted lacks the newest commit.
 */

#include "jh_mirror.h"
#include "jh_primary_change.h"
#include "runner.h"

START_TEST(test_primary_change_reasons)
{
	jh_primary_health_t health = { .live_vms = 7, .has_successor = true };

	ck_assert_ptr_null(jh_primary_must_change(&health));
	health.leader_probe_failed = true;
	ck_assert_ptr_null(jh_primary_must_change(&health));
	health.unreachable_vms = 1;
	ck_assert_str_eq(jh_primary_must_change(&health), "the primary does not respond");
	health.leader_probe_failed = false;
	ck_assert_ptr_null(jh_primary_must_change(&health));
	health.unreachable_vms = 3;
	ck_assert_str_eq(jh_primary_must_change(&health), "too many VMs cannot reach the primary");
	health.has_successor = false;
	ck_assert_ptr_null(jh_primary_must_change(&health));
	health = (jh_primary_health_t){ .live_vms = 7, .has_successor = true, .is_draining = true };
	ck_assert_str_eq(jh_primary_must_change(&health), "the primary is draining");
	health = (jh_primary_health_t){ .live_vms = 7,
					.has_successor = true,
					.is_dc_drained = true };
	ck_assert_str_eq(jh_primary_must_change(&health),
			 "the data centre of the primary is drained");
	health.has_successor = false;
	ck_assert_ptr_null(jh_primary_must_change(&health));
	health = (jh_primary_health_t){ .live_vms = 7,
					.has_successor = true,
					.missing_us = 1000000 };
	ck_assert_ptr_null(jh_primary_must_change(&health));
	health.missing_us = 3000000;
	ck_assert_str_eq(jh_primary_must_change(&health),
			 "the registration of the primary is missing");
	health = (jh_primary_health_t){ .live_vms = 1,
					.has_successor = true,
					.leader_probe_failed = 1 };
	ck_assert_str_eq(jh_primary_must_change(&health), "the primary does not respond");
}
END_TEST

static bool is_fenced(unsigned vms, unsigned acked, unsigned voters, unsigned voters_acked,
		      int64_t quorum_held_us)
{
	const jh_change_acks_t acks = { .vms = vms,
					.acked = acked,
					.has_quorum = voters_acked >= jh_quorum_size(voters),
					.quorum_held_us = quorum_held_us };

	return jh_primary_is_fenced(&acks);
}

START_TEST(test_fencing_needs_all_vms_or_majority_and_lease_expiry)
{
	const int64_t lease_us = JH_LEASE_US + JH_LEASE_MARGIN_US;

	ck_assert(is_fenced(7, 7, 7, 7, 0));
	ck_assert(!is_fenced(7, 6, 7, 6, lease_us - 1));
	ck_assert(is_fenced(7, 6, 7, 6, lease_us));
	ck_assert(is_fenced(7, 4, 7, 4, lease_us));
	ck_assert(!is_fenced(7, 3, 7, 3, 100 * lease_us));
	ck_assert(!is_fenced(2, 1, 2, 1, 100 * lease_us));
	ck_assert(is_fenced(1, 1, 1, 1, 0));
	/* In a large fleet, the majority of the voters counts, not that of all VMs. */
	ck_assert(!is_fenced(83, 69, 14, 7, 100 * lease_us));
	ck_assert(is_fenced(83, 8, 14, 8, lease_us));
}
END_TEST

static int choose(const jh_successor_t *members, unsigned count, unsigned sync_replicas)
{
	const jh_replica_set_t set = { .members = members,
				       .count = count,
				       .sync_replicas = sync_replicas };

	return jh_successor_choose(&set);
}

START_TEST(test_successor_has_longest_log)
{
	jh_successor_t members[] = {
		{ .replied = true, .received = { 3, 90 } },
		{ .replied = true, .received = { 3, 95 } },
		{ .replied = true, .received = { 3, 99 }, .is_leaving = true },
		{ .replied = false, .received = { 4, 1 } },
	};

	ck_assert_int_eq(choose(members, 4, 0), 1);
	/* The one of four that did not reply may be the only one with the newest commit. */
	ck_assert_int_eq(choose(members, 4, 1), -1);
	ck_assert_int_eq(choose(members, 2, 1), 1);
	ck_assert_int_eq(choose(members + 3, 1, 0), -1);
}
END_TEST

/*
 * Guards against LOST: the newest acknowledged commit may be on a member that leaves only. It
 * counts toward the synchronous replicas until it ends.
 */
START_TEST(test_leaving_member_with_acknowledged_commits_is_not_passed_over)
{
	jh_successor_t members[] = {
		{ .replied = true, .received = { 1, 60 } },
		{ .replied = true, .received = { 1, 100 }, .is_leaving = true },
		{ .replied = true, .received = { 1, 100 } },
	};

	ck_assert_int_eq(choose(members, 2, 1), 1);
	ck_assert_int_eq(choose(members, 2, 0), 0);
	/* A member that stays goes first if it has all of them. */
	ck_assert_int_eq(choose(members, 3, 1), 2);
	/* No member of a drained data centre is promoted, and no other one has the commits. */
	members[1].is_leaving = false;
	members[1].is_excluded = true;
	ck_assert_int_eq(choose(members, 2, 1), -1);
	ck_assert_int_eq(choose(members, 3, 1), 2);
}
END_TEST

/* Guards against LOST in groups of any size: a brute force over who may have a commit. */
START_TEST(test_no_acknowledged_commit_is_beyond_the_bound)
{
	GRand *rand = g_rand_new_with_seed(49);
	unsigned proven = 0;
	unsigned round;

	for (round = 0; round < 20000; round++) {
		unsigned count = (unsigned)g_rand_int_range(rand, 1, 7);
		unsigned sync_replicas = (unsigned)g_rand_int_range(rand, 1, 4);
		jh_successor_t members[6] = { 0 };
		unsigned holders = 0;
		jh_position_t bound;
		unsigned i;
		int best;

		/* The commit 1.50 is acknowledged: so many replicas have received it. */
		for (i = 0; i < count; i++) {
			bool holds = holders < sync_replicas &&
				     (g_rand_boolean(rand) || count - i <= sync_replicas - holders);

			holders += holds;
			members[i].replied = g_rand_int_range(rand, 0, 4) > 0;
			members[i].is_leaving = g_rand_int_range(rand, 0, 3) == 0;
			members[i].is_excluded = g_rand_int_range(rand, 0, 5) == 0;
			members[i].received.term = 1;
			members[i].received.index =
				(uint64_t)(holds ? g_rand_int_range(rand, 50, 60) :
						   g_rand_int_range(rand, 1, 50));
		}
		if (holders < sync_replicas)
			continue;
		best = choose(members, count, sync_replicas);
		ck_assert_msg(best < 0 || members[best].received.index >= 50,
			      "round %u promotes a member without the commit", round);
		ck_assert(best < 0 || (members[best].replied && !members[best].is_excluded));
		proven +=
			jh_acknowledged_bound(&(jh_replica_set_t){ .members = members,
								   .count = count,
								   .sync_replicas = sync_replicas },
					      &bound);
	}
	/* Each round without a reply of enough members has no bound; most rounds have one. */
	ck_assert_uint_gt(proven, 5000);
	g_rand_free(rand);
}
END_TEST

/*
 * Guards against LOST, and against a wait without need: the end of the old primary's log is a bound
 * too, unless it has started anew and lacks what its replicas have.
 */
START_TEST(test_end_of_old_primarys_log_is_a_bound)
{
	const jh_successor_t members[] = {
		{ .replied = true, .received = { 1, 60 } },
		{ .replied = false },
	};
	jh_replica_set_t set = { .members = members, .count = 2, .sync_replicas = 1 };

	ck_assert_int_eq(jh_successor_choose(&set), -1);
	set.final = (jh_position_t){ 1, 60 };
	ck_assert_int_eq(jh_successor_choose(&set), 0);
	set.final = (jh_position_t){ 1, 61 };
	ck_assert_int_eq(jh_successor_choose(&set), -1);
	set.final = (jh_position_t){ 1, 20 };
	ck_assert_int_eq(jh_successor_choose(&set), -1);
	/* More replicas are asked for than there are: each commit is on all of them. */
	set.final = (jh_position_t){ 0 };
	set.count = 1;
	set.sync_replicas = 2;
	ck_assert_int_eq(jh_successor_choose(&set), 0);
	set.count = 0;
	ck_assert_int_eq(jh_successor_choose(&set), -1);
}
END_TEST

static jh_revocation_t open_revocation(void)
{
	return (jh_revocation_t){ .is_revocable = true,
				  .begun_era = 2,
				  .row_era = 2,
				  .row_term = 7,
				  .replied_as_primary = true,
				  .replied_term = 7 };
}

/*
 * Guards against ONE: a change that is cancelled after a member may have been promoted leaves two
 * primaries in use.
 */
START_TEST(test_change_with_a_target_is_never_cancelled)
{
	const jh_primary_health_t health = { .live_vms = 7 };
	jh_revocation_t revocation = open_revocation();

	ck_assert(jh_change_may_cancel(&revocation, &health));
	revocation.has_target = true;
	ck_assert(!jh_change_may_cancel(&revocation, &health));
	/* A restored store may have lost the target. */
	revocation = open_revocation();
	revocation.row_era = 3;
	ck_assert(!jh_change_may_cancel(&revocation, &health));
	revocation = open_revocation();
	revocation.is_revocable = false;
	ck_assert(!jh_change_may_cancel(&revocation, &health));
	/* The old primary was promoted again, or another member's term has reached it. */
	revocation = open_revocation();
	revocation.replied_term = 8;
	ck_assert(!jh_change_may_cancel(&revocation, &health));
	revocation = open_revocation();
	revocation.replied_as_primary = false;
	ck_assert(!jh_change_may_cancel(&revocation, &health));
}
END_TEST

/* Guards against a change that is cancelled and begins again, since its reason is still there. */
START_TEST(test_change_is_cancelled_only_without_a_reason)
{
	const jh_revocation_t revocation = open_revocation();
	jh_primary_health_t health = { .live_vms = 7, .is_draining = true };

	ck_assert(!jh_change_may_cancel(&revocation, &health));
	health = (jh_primary_health_t){ .live_vms = 7, .unreachable_vms = 3 };
	ck_assert(!jh_change_may_cancel(&revocation, &health));
	ck_assert(jh_change_is_revocable(&health));
	/* The leader reaches it, the others do not. */
	health.leader_reaches = true;
	ck_assert(!jh_change_is_revocable(&health));
	health.unreachable_vms = 2;
	ck_assert(jh_change_is_revocable(&health));
	/* It may have started again without its log. */
	health.denies_primary = true;
	ck_assert(!jh_change_is_revocable(&health));
	health = (jh_primary_health_t){ .live_vms = 7, .missing_us = 3000000 };
	ck_assert(!jh_change_may_cancel(&revocation, &health));
	ck_assert(jh_change_is_revocable(&health));
}
END_TEST

/*
 * Guards against a wait for a replica that cannot receive the rest of the log, and against commits
 * that are rolled back because the wait ends too early.
 */
START_TEST(test_wait_for_a_replica_ends_when_none_can_catch_up)
{
	jh_catch_up_t catch_up = { .has_successor = true, .old_replied = true };

	ck_assert_int_eq(jh_catch_up_decide(&catch_up), JH_CATCH_UP_PROMOTE);
	catch_up.is_behind = true;
	catch_up.old_may_lead = true;
	catch_up.waited_us = 300000;
	catch_up.stalled_us = 300000;
	ck_assert_int_eq(jh_catch_up_decide(&catch_up), JH_CATCH_UP_WAIT);
	catch_up.waited_us = 500000;
	catch_up.stalled_us = 500000;
	ck_assert_int_eq(jh_catch_up_decide(&catch_up), JH_CATCH_UP_PROMOTE_OLD);
	/* The replica may only be slow. */
	catch_up.old_may_lead = false;
	ck_assert_int_eq(jh_catch_up_decide(&catch_up), JH_CATCH_UP_WAIT);
	catch_up.waited_us = 1500000;
	ck_assert_int_eq(jh_catch_up_decide(&catch_up), JH_CATCH_UP_PROMOTE);
	catch_up.waited_us = 500000;
	catch_up.old_replied = false;
	ck_assert_int_eq(jh_catch_up_decide(&catch_up), JH_CATCH_UP_PROMOTE);
	catch_up.has_successor = false;
	catch_up.old_may_lead = true;
	ck_assert_int_eq(jh_catch_up_decide(&catch_up), JH_CATCH_UP_WAIT);
}
END_TEST

/*
 * Guards against LOST after a step down: the old primary is the only member with commits that it
 * acknowledged, and the others receive nothing.
 */
START_TEST(test_old_primary_with_the_only_copy_is_promoted_again)
{
	jh_catch_up_t catch_up = { .old_replied = true,
				   .old_is_last_choice = true,
				   .waited_us = 1400000,
				   .stalled_us = 1400000 };

	ck_assert_int_eq(jh_catch_up_decide(&catch_up), JH_CATCH_UP_WAIT);
	catch_up.waited_us = 1500000;
	ck_assert_int_eq(jh_catch_up_decide(&catch_up), JH_CATCH_UP_PROMOTE_OLD);
	catch_up.old_is_last_choice = false;
	ck_assert_int_eq(jh_catch_up_decide(&catch_up), JH_CATCH_UP_WAIT);
	/* A member that leaves is promoted only once no other one can catch up with it. */
	catch_up = (jh_catch_up_t){ .has_successor = true, .is_leaving = true };
	ck_assert_int_eq(jh_catch_up_decide(&catch_up), JH_CATCH_UP_WAIT);
	catch_up.stalled_us = 400000;
	ck_assert_int_eq(jh_catch_up_decide(&catch_up), JH_CATCH_UP_PROMOTE);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		test_primary_change_reasons,
		test_fencing_needs_all_vms_or_majority_and_lease_expiry,
		test_successor_has_longest_log,
		test_leaving_member_with_acknowledged_commits_is_not_passed_over,
		test_no_acknowledged_commit_is_beyond_the_bound,
		test_end_of_old_primarys_log_is_a_bound,
		test_old_primary_with_the_only_copy_is_promoted_again,
		test_change_with_a_target_is_never_cancelled,
		test_change_is_cancelled_only_without_a_reason,
		test_wait_for_a_replica_ends_when_none_can_catch_up,
		NULL
	};

	return run_tests("primary_change", tests);
}
