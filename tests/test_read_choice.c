/*
 * Guards against a read that goes to a database which has not applied the session's position or is
 * older than the read allows, or to a replaced primary, and against reads that take the primary's
 * slots while a replica could serve them.
 */

#include "jh_read_choice.h"

#include <check.h>
#include <stdlib.h>

#define NOW_US 10000000
#define MS 1000

/* The primary, a replica that lags 50 ms, and a replica that lags 2 s, all at distance 0. */
static jh_read_member_t members[3];

static const jh_read_need_t nothing_written = {
	.max_age_us = JH_AGE_ANY,
	.view_term = 2,
};

static void members_reset(void)
{
	members[0] = (jh_read_member_t){ .position = { 2, 100 },
					 .held = { 2, 100 },
					 .last_caught_up_us = NOW_US,
					 .primary = true,
					 .usable = true };
	members[1] = (jh_read_member_t){ .position = { 2, 90 },
					 .held = { 2, 100 },
					 .last_caught_up_us = NOW_US - 50 * MS,
					 .usable = true };
	members[2] = (jh_read_member_t){ .position = { 2, 10 },
					 .held = { 2, 100 },
					 .last_caught_up_us = NOW_US - 2000 * MS,
					 .usable = true };
}

static jh_read_choice_t choose(const jh_read_need_t *need)
{
	return jh_read_choose(members, 3, need, NOW_US);
}

static void expect_send(const jh_read_need_t *need, unsigned member)
{
	jh_read_choice_t choice = choose(need);

	ck_assert_int_eq(choice.action, JH_READ_SEND);
	ck_assert_uint_eq(choice.member, member);
}

START_TEST(test_replica_is_preferred_over_primary)
{
	members_reset();
	members[2].wait_us = 1 * MS;
	expect_send(&nothing_written, 1);
	members[1].wait_us = 5 * MS;
	expect_send(&nothing_written, 2);
}
END_TEST

START_TEST(test_long_replica_queue_goes_to_primary)
{
	members_reset();
	members[1].wait_us = 500 * MS;
	members[2].usable = false;
	expect_send(&nothing_written, 0);
}
END_TEST

START_TEST(test_unapplied_position_goes_to_primary)
{
	jh_read_need_t need = nothing_written;

	members_reset();
	need.position = (jh_position_t){ 2, 100 };
	need.since_us = NOW_US;
	expect_send(&need, 0);
	/* The view may show a position of the primary from before the write. */
	need.position.index = 101;
	expect_send(&need, 0);
}
END_TEST

START_TEST(test_waits_for_replica_that_responds_sooner)
{
	jh_read_need_t need = nothing_written;
	jh_read_choice_t choice;

	members_reset();
	members[0].wait_us = 500 * MS;
	need.position = (jh_position_t){ 2, 100 };
	need.since_us = NOW_US - 20 * MS;
	choice = choose(&need);
	ck_assert_int_eq(choice.action, JH_READ_WAIT_REPLICA);
	ck_assert_int_eq(choice.wait_us, 30 * MS);
}
END_TEST

START_TEST(test_max_age)
{
	jh_read_need_t need = nothing_written;

	members_reset();
	members[1].wait_us = 10 * MS;
	need.max_age_us = 100 * MS;
	expect_send(&need, 1);
	need.max_age_us = 10 * MS;
	expect_send(&need, 0);
	members[0].usable = false;
	ck_assert_int_eq(choose(&need).action, JH_READ_WAIT_VIEW);
	ck_assert_int_eq(choose(&need).reason, JH_READ_REASON_AGE);
	/* A replica of unknown age serves no read that limits the age of its data. */
	need.max_age_us = INT64_MAX;
	members[1].last_caught_up_us = 0;
	members[2].usable = false;
	ck_assert_int_eq(choose(&need).action, JH_READ_WAIT_VIEW);
}
END_TEST

/* Issue 4, point 1: a replaced primary may show entries that will be lost. */
START_TEST(test_replaced_primary_serves_no_read)
{
	jh_read_need_t need = nothing_written;

	members_reset();
	members[1].position = (jh_position_t){ 1, 500 };
	members[2].usable = false;
	expect_send(&need, 0);
	need.position = (jh_position_t){ 1, 400 };
	expect_send(&need, 0);
	members[0].usable = false;
	ck_assert_int_eq(choose(&need).action, JH_READ_WAIT_VIEW);
	ck_assert_int_eq(choose(&need).reason, JH_READ_REASON_BEHIND);
	members[1].position = (jh_position_t){ 2, 1 };
	expect_send(&need, 1);
}
END_TEST

START_TEST(test_wait_reasons)
{
	jh_read_need_t need = nothing_written;

	members_reset();
	need.position = (jh_position_t){ 3, 1 };
	ck_assert_int_eq(choose(&need).action, JH_READ_WAIT_VIEW);
	ck_assert_int_eq(choose(&need).reason, JH_READ_REASON_AHEAD);
	members[1].held = (jh_position_t){ 3, 5 };
	ck_assert_int_eq(choose(&need).reason, JH_READ_REASON_BEHIND);
	members[0].usable = members[1].usable = members[2].usable = false;
	ck_assert_int_eq(choose(&need).reason, JH_READ_REASON_UNREACHABLE);
	ck_assert_int_eq(jh_read_choose(NULL, 0, &nothing_written, NOW_US).action,
			 JH_READ_WAIT_VIEW);
}
END_TEST

/* In random groups, a replica that is chosen has applied the position and is fresh enough. */
START_TEST(test_random_choice_meets_need)
{
	GRand *random = g_rand_new_with_seed(20261203);
	int round;

	for (round = 0; round < 20000; round++) {
		jh_read_need_t need = {
			.position = { (uint64_t)g_rand_int_range(random, 0, 4),
				      (uint64_t)g_rand_int_range(random, 0, 9) },
			.since_us = NOW_US - g_rand_int_range(random, 0, 100 * MS),
			.max_age_us = g_rand_int_range(random, -1, 3) * 20 * MS,
			.view_term = 2,
		};
		jh_read_choice_t choice;
		unsigned i;

		for (i = 0; i < 3; i++) {
			members[i] = (jh_read_member_t){
				.position = { (uint64_t)g_rand_int_range(random, 0, 4),
					      (uint64_t)g_rand_int_range(random, 0, 9) },
				.last_caught_up_us = NOW_US - g_rand_int_range(random, 0, 100 * MS),
				.wait_us = g_rand_int_range(random, 0, 50 * MS),
				.primary = i == 0,
				.usable = g_rand_boolean(random),
			};
		}
		choice = choose(&need);
		if (choice.action != JH_READ_SEND)
			continue;
		ck_assert(members[choice.member].usable);
		if (members[choice.member].primary)
			continue;
		ck_assert_int_ge(
			jh_position_compare(members[choice.member].position, need.position), 0);
		ck_assert_uint_ge(members[choice.member].position.term, need.view_term);
		ck_assert(need.max_age_us < 0 ||
			  NOW_US - members[choice.member].last_caught_up_us <= need.max_age_us);
	}
	g_rand_free(random);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("read_choice");
	TCase *tcase = tcase_create("read_choice");
	SRunner *runner;
	int failed;

	tcase_add_test(tcase, test_replica_is_preferred_over_primary);
	tcase_add_test(tcase, test_long_replica_queue_goes_to_primary);
	tcase_add_test(tcase, test_unapplied_position_goes_to_primary);
	tcase_add_test(tcase, test_waits_for_replica_that_responds_sooner);
	tcase_add_test(tcase, test_max_age);
	tcase_add_test(tcase, test_replaced_primary_serves_no_read);
	tcase_add_test(tcase, test_wait_reasons);
	tcase_add_test(tcase, test_random_choice_meets_need);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
