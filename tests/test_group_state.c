/*
 * Guards against a daemon that uses a replaced primary, because the isolated old primary still
 * sends reports, and against positions that a late report lowers or that stay too high after a
 * change of primary has truncated a member's log.
 */

#include "jh_frame.h"
#include "jh_group.h"

#include <check.h>

#define MS ((int64_t)1000)

static jh_group_state_t *state_new(void)
{
	jh_group_state_t *state = jh_group_state_new("core");
	GPtrArray *names = g_ptr_array_new();

	g_ptr_array_add(names, "core-1");
	g_ptr_array_add(names, "core-2");
	g_ptr_array_add(names, "core-3");
	jh_group_state_set_members(state, names);
	g_ptr_array_free(names, TRUE);
	return state;
}

static jh_member_report_t report_new(bool is_primary, uint64_t term, uint64_t index, int64_t at_us)
{
	return (jh_member_report_t){
		.reachable = true,
		.is_primary = is_primary,
		.term = term,
		.promised_term = term,
		.held = { term, index },
		.applied = { term, index },
		.at_us = at_us,
		.last_caught_up_us = at_us,
	};
}

START_TEST(test_higher_term_replaces_primary_for_good)
{
	jh_group_state_t *state = state_new();
	jh_member_report_t old = report_new(true, 1, 10, 10 * MS);
	jh_member_report_t new = report_new(true, 2, 11, 20 * MS);

	ck_assert_int_eq(jh_group_state_apply_report(state, "a", 0, &old), JH_GROUP_STATUS_CHANGED);
	ck_assert_int_eq(jh_group_state_primary(state), 0);
	jh_group_state_apply_report(state, "a", 1, &new);
	ck_assert_int_eq(jh_group_state_primary(state), 1);
	/* The isolated old primary still replies, with a report newer than the new primary's. */
	old.at_us = 30 * MS;
	old.held.index = 15;
	jh_group_state_apply_report(state, "b", 0, &old);
	ck_assert_int_eq(jh_group_state_primary(state), 1);
	ck_assert_uint_eq(jh_group_state_term(state), 2);
	jh_group_state_free(state);
}
END_TEST

START_TEST(test_majority_promise_ends_a_term)
{
	jh_group_state_t *state = state_new();
	jh_member_report_t primary = report_new(true, 1, 10, 10 * MS);
	jh_member_report_t replica = report_new(false, 1, 10, 10 * MS);

	jh_group_state_apply_report(state, "a", 0, &primary);
	replica.promised_term = 2;
	jh_group_state_apply_report(state, "a", 1, &replica);
	ck_assert_int_eq(jh_group_state_primary(state), 0);
	jh_group_state_apply_report(state, "a", 2, &replica);
	ck_assert_int_eq(jh_group_state_primary(state), -1);
	ck_assert_uint_eq(jh_group_state_term(state), 2);
	jh_group_state_apply_term(state, 2, "core-3");
	ck_assert_int_eq(jh_group_state_primary(state), 2);
	jh_group_state_free(state);
}
END_TEST

START_TEST(test_outdated_report_does_not_lower_position)
{
	jh_group_state_t *state = state_new();
	jh_member_report_t ahead = report_new(false, 1, 12, 10 * MS);
	jh_member_report_t lagging = report_new(false, 1, 11, 15 * MS);
	jh_group_view_t *view;
	const jh_database_view_t *database;

	jh_group_state_apply_report(state, "a", 1, &ahead);
	jh_group_state_apply_report(state, "b", 1, &lagging);
	view = jh_group_state_view_new(state, 20 * MS);
	database = g_ptr_array_index(view->databases, 1);
	ck_assert_uint_eq(database->held.index, 12);
	ck_assert_int_eq(database->last_caught_up_us, 15 * MS);
	ck_assert(database->reachable);
	jh_group_view_free(view);
	/* No newer report arrives. */
	view = jh_group_state_view_new(state, 20 * MS + JH_REPORT_LIFETIME_US);
	database = g_ptr_array_index(view->databases, 1);
	ck_assert(!database->reachable);
	jh_group_view_free(view);
	jh_group_state_free(state);
}
END_TEST

START_TEST(test_truncation_after_change_lowers_position)
{
	jh_group_state_t *state = state_new();
	jh_member_report_t before = report_new(false, 1, 20, 10 * MS);
	jh_member_report_t after = report_new(false, 2, 18, 12 * MS);
	jh_group_view_t *view;
	const jh_database_view_t *database;

	after.held.term = 1;
	after.applied.term = 1;
	jh_group_state_apply_report(state, "a", 1, &before);
	jh_group_state_apply_report(state, "a", 1, &after);
	view = jh_group_state_view_new(state, 20 * MS);
	database = g_ptr_array_index(view->databases, 1);
	ck_assert_uint_eq(database->held.index, 18);
	jh_group_view_free(view);
	jh_group_state_free(state);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("group_state");
	TCase *tcase = tcase_create("reports");
	SRunner *runner;
	int failed;

	tcase_add_test(tcase, test_higher_term_replaces_primary_for_good);
	tcase_add_test(tcase, test_majority_promise_ends_a_term);
	tcase_add_test(tcase, test_outdated_report_does_not_lower_position);
	tcase_add_test(tcase, test_truncation_after_change_lowers_position);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
