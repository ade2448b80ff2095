#include "jh_primary_proof.h"
#include "runner.h"

/*
 * Guards against a group that uses a primary that was replaced, because a restored store names it,
 * and against a group that gets no primary because the proof never comes.
 */

/* Three members, of which the row's primary leads its term. */
static const jh_primary_proof_t all_replied = {
	.row_term = 4,
	.primary_leads = true,
	.newest_term = 4,
	.is_newest_led = true,
	.members = 3,
	.replies = 3,
	.has_successor = true,
};

START_TEST(test_row_holds_if_no_member_knows_a_newer_term)
{
	ck_assert_int_eq(jh_primary_proof_decide(&all_replied), JH_PROOF_HOLDS);
}
END_TEST

START_TEST(test_primary_of_a_newer_term_is_taken_over)
{
	jh_primary_proof_t proof = all_replied;

	/* The old primary was behind a network partition, and still leads its own term. */
	proof.newest_term = 5;
	ck_assert_int_eq(jh_primary_proof_decide(&proof), JH_PROOF_NEWER_PRIMARY);
	proof.primary_leads = false;
	proof.replies = 1;
	ck_assert_int_eq(jh_primary_proof_decide(&proof), JH_PROOF_NEWER_PRIMARY);
}
END_TEST

START_TEST(test_row_is_not_used_if_a_replica_knows_a_newer_term)
{
	jh_primary_proof_t proof = all_replied;

	proof.newest_term = 5;
	proof.is_newest_led = false;
	ck_assert_int_eq(jh_primary_proof_decide(&proof), JH_PROOF_WAIT);
	proof.waited_us = JH_PROOF_WAIT_US;
	ck_assert_int_eq(jh_primary_proof_decide(&proof), JH_PROOF_REPLACE);
}
END_TEST

/* Guards against ONE: the member that leads the newest term did not reply, and the old one did. */
START_TEST(test_silent_members_hold_up_the_proof_for_a_while_only)
{
	jh_primary_proof_t proof = all_replied;

	proof.replies = 2;
	ck_assert_int_eq(jh_primary_proof_decide(&proof), JH_PROOF_WAIT);
	proof.waited_us = JH_PROOF_WAIT_US;
	ck_assert_int_eq(jh_primary_proof_decide(&proof), JH_PROOF_REPLACE);
	/* Its registration has lapsed. */
	proof.members = 2;
	ck_assert_int_eq(jh_primary_proof_decide(&proof), JH_PROOF_HOLDS);
	proof.members = 3;
	/* The primary itself does not reply, or as a replica. */
	proof.primary_leads = false;
	proof.is_newest_led = false;
	ck_assert_int_eq(jh_primary_proof_decide(&proof), JH_PROOF_REPLACE);
	proof.waited_us = 0;
	ck_assert_int_eq(jh_primary_proof_decide(&proof), JH_PROOF_WAIT);
	/* A group without another member waits for the one that it has. */
	proof.waited_us = JH_PROOF_WAIT_US;
	proof.has_successor = false;
	ck_assert_int_eq(jh_primary_proof_decide(&proof), JH_PROOF_HOLDS);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		test_row_holds_if_no_member_knows_a_newer_term,
		test_primary_of_a_newer_term_is_taken_over,
		test_row_is_not_used_if_a_replica_knows_a_newer_term,
		test_silent_members_hold_up_the_proof_for_a_while_only,
		NULL,
	};

	return run_tests("primary_proof", tests);
}
