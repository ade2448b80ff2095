/*
 * Guards against a response that is released before its position is replicated to a majority,
 * which a failover could then lose: a lower index, another term and a second report of the primary
 * itself don't count towards the majority. Guards also against a read that fails in a group whose
 * log is empty.
 */

#include "jh_acknowledge.h"

#include <check.h>
#include <stdlib.h>

static jh_database_view_t databases[3];

static jh_group_view_t view_new(uint64_t term)
{
	static char *const names[3] = { "a", "b", "c" };
	jh_group_view_t view = { .group = "g", .term = term, .primary = "a" };
	unsigned i;

	view.databases = g_ptr_array_new();
	for (i = 0; i < 3; i++) {
		databases[i] = (jh_database_view_t){ .name = names[i] };
		g_ptr_array_add(view.databases, &databases[i]);
	}
	return view;
}

static GPtrArray *members_new(void)
{
	GPtrArray *members = g_ptr_array_new();

	g_ptr_array_add(members, "a");
	g_ptr_array_add(members, "b");
	g_ptr_array_add(members, "c");
	return members;
}

static const jh_position_t position = { .term = 5, .index = 100 };

START_TEST(test_majority_in_same_term_replicates)
{
	jh_group_view_t view = view_new(5);
	GPtrArray *members = members_new();

	ck_assert_int_eq(jh_acknowledge_decide(NULL, members, "a", position), JH_ACK_PENDING);
	ck_assert_int_eq(jh_acknowledge_decide(&view, members, "a", position), JH_ACK_PENDING);
	databases[1].held = (jh_position_t){ .term = 5, .index = 99 };
	ck_assert_int_eq(jh_acknowledge_decide(&view, members, "a", position), JH_ACK_PENDING);
	databases[1].held = (jh_position_t){ .term = 4, .index = 500 };
	ck_assert_int_eq(jh_acknowledge_decide(&view, members, "a", position), JH_ACK_PENDING);
	/* The primary's own report does not count twice. */
	databases[0].held = (jh_position_t){ .term = 5, .index = 200 };
	ck_assert_int_eq(jh_acknowledge_decide(&view, members, "a", position), JH_ACK_PENDING);
	databases[1].held = (jh_position_t){ .term = 5, .index = 100 };
	ck_assert_int_eq(jh_acknowledge_decide(&view, members, "a", position), JH_ACK_REPLICATED);
	g_ptr_array_free(members, TRUE);
	g_ptr_array_free(view.databases, TRUE);
}
END_TEST

START_TEST(test_higher_term_supersedes)
{
	jh_group_view_t view = view_new(6);
	GPtrArray *members = members_new();

	databases[1].held = (jh_position_t){ .term = 5, .index = 100 };
	ck_assert_int_eq(jh_acknowledge_decide(&view, members, "a", position), JH_ACK_SUPERSEDED);
	/* A log that ends in a higher term does not prove that the member has the position. */
	view.term = 5;
	databases[1].held = (jh_position_t){ .term = 6, .index = 101 };
	ck_assert_int_eq(jh_acknowledge_decide(&view, members, "a", position), JH_ACK_PENDING);
	g_ptr_array_free(members, TRUE);
	g_ptr_array_free(view.databases, TRUE);
}
END_TEST

START_TEST(test_position_parse)
{
	static const char *const invalid[] = { "", "5", "5/", "/5", "5/6x", "-1/2", "5/-6", "a/b" };
	jh_position_t parsed;
	unsigned i;

	ck_assert(jh_position_parse("5/100", &parsed));
	ck_assert_int_eq(jh_position_compare(parsed, position), 0);
	for (i = 0; i < G_N_ELEMENTS(invalid); i++)
		ck_assert(!jh_position_parse(invalid[i], &parsed));
	ck_assert(!jh_position_parse(NULL, &parsed));
}
END_TEST

/* Issue 4: a read of a group without any write failed with "the primary was replaced". */
START_TEST(test_empty_log_is_replicated)
{
	jh_group_view_t view = view_new(1);
	GPtrArray *members = members_new();
	const jh_position_t empty = { 0 };

	ck_assert_int_eq(jh_acknowledge_decide(&view, members, "a", empty), JH_ACK_REPLICATED);
	ck_assert_int_eq(jh_acknowledge_decide(NULL, members, "a", empty), JH_ACK_REPLICATED);
	g_ptr_array_free(members, TRUE);
	g_ptr_array_free(view.databases, TRUE);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("acknowledge");
	TCase *tcase = tcase_create("acknowledge");
	SRunner *runner;
	int failed;

	tcase_add_test(tcase, test_majority_in_same_term_replicates);
	tcase_add_test(tcase, test_higher_term_supersedes);
	tcase_add_test(tcase, test_position_parse);
	tcase_add_test(tcase, test_empty_log_is_replicated);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
