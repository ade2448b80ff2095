/*
 * Guards against invalid configuration tables that are accepted, against findings that are missing
 * or name the wrong cell, and against a row that does not return the tables that it was made from.
 */

#include "jh_tables.h"

#include <check.h>
#include <string.h>

#define DIGEST "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08"

#define ROUTES                                                                                     \
	"{\"routes\":[{\"name\":\"pledges\",\"group\":\"g\",\"access\":\"write\","                 \
	"\"teams\":[\"a\"]}],"                                                                     \
	"\"teams\":[{\"name\":\"a\",\"rate\":10,\"burst\":20,\"key_digests\":[\"" DIGEST "\"]}]}"
#define DATABASE(name, port)                                                                       \
	"{\"name\":\"" name "\",\"dc\":\"nairobi\",\"host\":\"127.0.0.1\",\"port\":" port          \
	",\"slots\":5,\"connections\":30}"
#define POOLS "{\"groups\":[{\"name\":\"g\",\"databases\":[" DATABASE("g1", "5501") "]}]}"

static jh_config_t *parse(const char *routes, const char *pools, jh_error_t *err)
{
	return jh_tables_parse(routes, strlen(routes), pools, strlen(pools), err);
}

/* Asserts that the tables have exactly the findings in @expected, one a line. */
static void expect_findings(const char *routes, const char *pools, const char *expected)
{
	jh_error_t err = JH_ERROR_INIT;
	char *text;

	ck_assert_ptr_null(parse(routes, pools, &err));
	text = jh_error_format(&err);
	ck_assert_str_eq(strchr(text, '\n') + 1, expected);
	g_free(text);
	jh_error_clear(&err);
}

START_TEST(test_parses_valid_tables)
{
	jh_error_t err = JH_ERROR_INIT;
	jh_config_t *config = parse(ROUTES, POOLS, &err);
	const jh_route_t *route;

	ck_assert_ptr_nonnull(config);
	route = jh_config_find_route(config, "pledges");
	ck_assert_int_eq(route->access, JH_ACCESS_WRITE);
	ck_assert_int_eq(route->deadline_ms, 5000);
	ck_assert_int_eq(route->max_age_ms, -1);
	ck_assert(!route->repeatable);
	ck_assert(jh_route_allows(route, "a"));
	ck_assert(jh_team_has_digest(jh_config_find_team(config, "a"), DIGEST));
	ck_assert_str_eq(jh_config_find_group(config, "g")->dbname, "g");
	ck_assert_uint_eq(jh_config_find_database(config, "g1")->port, 5501);
	jh_config_unref(config);
}
END_TEST

START_TEST(test_row_contains_tables_and_change_ids)
{
	jh_error_t err = JH_ERROR_INIT;
	char *changes[] = { "c-2", "c-1" };
	GPtrArray *change_ids = g_ptr_array_new();
	GPtrArray *parsed_ids;
	jh_config_t *config;
	char *routes = NULL;
	char *pools = NULL;
	char *row;

	g_ptr_array_add(change_ids, changes[0]);
	g_ptr_array_add(change_ids, changes[1]);
	row = jh_tables_format_row(ROUTES, strlen(ROUTES), POOLS, strlen(POOLS), change_ids, &err);
	config = jh_tables_parse_row(row, strlen(row), 7, &err);
	parsed_ids = jh_tables_parse_change_ids(row, strlen(row));
	ck_assert_uint_eq(parsed_ids->len, 2);
	ck_assert_str_eq(g_ptr_array_index(parsed_ids, 1), "c-1");
	ck_assert_int_eq(jh_tables_split_row(row, strlen(row), &routes, &pools, &err), 0);
	jh_config_unref(parse(routes, pools, &err));
	ck_assert_int_eq(err.code, JH_ERR_NONE);
	g_ptr_array_free(change_ids, TRUE);
	g_ptr_array_free(parsed_ids, TRUE);
	g_free(routes);
	g_free(pools);

	ck_assert_ptr_nonnull(config);
	ck_assert_uint_eq(config->version, 7);
	ck_assert_str_eq(config->change_id, "c-2");
	ck_assert_ptr_nonnull(jh_config_find_route(config, "pledges"));
	jh_config_unref(config);
	g_free(row);
}
END_TEST

START_TEST(test_reports_every_invalid_cell)
{
	expect_findings("{\"routes\":[{\"name\":\"r\",\"group\":\"g\",\"access\":\"reed\","
			"\"deadline_ms\":\"5\",\"max_age\":1,\"teams\":[\"a\",4]}],\"teams\":"
			"[{\"name\":\"a b\",\"rate\":0,\"burst\":0.5,\"key_digests\":[\"AB\"]}]}",
			"{\"groups\":[{\"name\":\"g\",\"databases\":[{\"name\":\"g1\","
			"\"dc\":\"n\",\"host\":\"db.example\",\"port\":70000,\"slots\":40,"
			"\"connections\":30}, 5]}]}",
			"routes[0].max_age: is not a cell of this table\n"
			"routes[0].access: must be read or write\n"
			"routes[0].deadline_ms: must be a whole number\n"
			"routes[0].teams[1]: must be a string\n"
			"groups[0].databases[1]: must be an object\n"
			"groups[0].databases[0].host: must be a numeric IP address\n"
			"groups[0].databases[0].port: must be from 1 to 65535\n"
			"groups[0].databases[0].connections: must not be fewer than slots\n"
			"teams[0].name: must have 1 to 63 letters, digits, '-', '_' or '.'\n"
			"teams[0].rate: must be above 0 and at most 10000000\n"
			"teams[0].burst: must be from 1 to 10000000\n"
			"teams[0].key_digests[0]: must be 64 lower-case hex digits "
			"(jasminehill hash-key)\n"
			"routes[0].teams[0]: there is no team 'a'");
}
END_TEST

START_TEST(test_reports_dangling_names_and_duplicates)
{
	expect_findings("{\"routes\":[{\"name\":\"r\",\"group\":\"x\",\"access\":\"read\"},"
			"{\"name\":\"r\",\"group\":\"g\",\"access\":\"read\"},"
			"{\"name\":\"jasminehill\",\"group\":\"g\",\"access\":\"read\"}],"
			"\"teams\":[]}",
			"{\"groups\":[{\"name\":\"g\",\"databases\":[" DATABASE(
				"g1", "5501") "," DATABASE("g1", "5501") "]}]}",
			"groups[0].databases: must be an odd number, so that every majority is "
			"more than half\n"
			"groups[0].databases[1].name: an earlier row has the name 'g1'\n"
			"groups[0].databases[1].port: an earlier database has this host and port\n"
			"routes[0].group: there is no group 'x'\n"
			"routes[1].name: an earlier row has the name 'r'\n"
			"routes[2].name: 'jasminehill' is kept for operators");
}
END_TEST

START_TEST(test_reports_malformed_json)
{
	jh_error_t err = JH_ERROR_INIT;

	expect_findings("{\"routes\":\n[,]}", POOLS,
			"routes: line 2, column 2: unexpected token near ','");
	expect_findings("[]", POOLS, "routes: the table must be an object");
	ck_assert_ptr_null(jh_tables_parse_row("{}", 2, 1, &err));
	ck_assert_uint_eq(jh_error_count_findings(&err), 2);
	jh_error_clear(&err);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("tables");
	TCase *tcase = tcase_create("tables");
	SRunner *runner;
	int failed;

	tcase_add_test(tcase, test_parses_valid_tables);
	tcase_add_test(tcase, test_row_contains_tables_and_change_ids);
	tcase_add_test(tcase, test_reports_every_invalid_cell);
	tcase_add_test(tcase, test_reports_dangling_names_and_duplicates);
	tcase_add_test(tcase, test_reports_malformed_json);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
