#include "jh_sql_scan.h"

#include <check.h>
#include <stdlib.h>
#include <string.h>

static jh_sql_kind_t kind_of(const char *sql)
{
	jh_sql_statement_t statement;
	jh_sql_command_t command;
	const char *cursor = sql;

	ck_assert(jh_sql_next(&cursor, &statement));
	jh_sql_classify(&statement, &command);
	return command.kind;
}

static void expect_split(const char *sql, const char *const *parts)
{
	jh_sql_statement_t statement;
	const char *cursor = sql;

	while (jh_sql_next(&cursor, &statement)) {
		ck_assert_ptr_nonnull(*parts);
		ck_assert_uint_eq(statement.length, strlen(*parts));
		ck_assert_mem_eq(statement.text, *parts, statement.length);
		parts++;
	}
	ck_assert_ptr_null(*parts);
}

START_TEST(test_split)
{
	expect_split(" ;; ", (const char *[]){ NULL });
	expect_split("SELECT 1", (const char *[]){ "SELECT 1", NULL });
	expect_split("a;b ; ", (const char *[]){ "a", "b", NULL });
	expect_split("SELECT ';', ''';'; x", (const char *[]){ "SELECT ';', ''';'", "x", NULL });
	expect_split("SELECT E'\\';'; x", (const char *[]){ "SELECT E'\\';'", "x", NULL });
	expect_split("SELECT '\\'; x", (const char *[]){ "SELECT '\\'", "x", NULL });
	expect_split("SELECT \"a;b\"; x", (const char *[]){ "SELECT \"a;b\"", "x", NULL });
	expect_split("SELECT $$;$$; x", (const char *[]){ "SELECT $$;$$", "x", NULL });
	expect_split("SELECT $a$;$b$;$a$; x", (const char *[]){ "SELECT $a$;$b$;$a$", "x", NULL });
	expect_split("SELECT $1; x", (const char *[]){ "SELECT $1", "x", NULL });
	expect_split("SELECT a$b; x", (const char *[]){ "SELECT a$b", "x", NULL });
	expect_split("-- a;b\nx /* ; /* ; */ ; */ y; z",
		     (const char *[]){ "x /* ; /* ; */ ; */ y", "z", NULL });
	expect_split("SELECT 'open; x", (const char *[]){ "SELECT 'open; x", NULL });
}
END_TEST

START_TEST(test_kinds)
{
	ck_assert_int_eq(kind_of("SELECT 1"), JH_SQL_OTHER);
	ck_assert_int_eq(kind_of("/* x */ set a = 1"), JH_SQL_SET);
	ck_assert_int_eq(kind_of("SET LOCAL a = 1"), JH_SQL_OTHER);
	ck_assert_int_eq(kind_of("SET TRANSACTION READ ONLY"), JH_SQL_OTHER);
	ck_assert_int_eq(kind_of("SET ROLE other"), JH_SQL_SESSION_STATE);
	ck_assert_int_eq(kind_of("SET SESSION CHARACTERISTICS AS TRANSACTION READ ONLY"),
			 JH_SQL_SESSION_STATE);
	ck_assert_int_eq(kind_of("show all"), JH_SQL_SHOW);
	ck_assert_int_eq(kind_of("RESET ALL"), JH_SQL_RESET_ALL);
	ck_assert_int_eq(kind_of("begin"), JH_SQL_BEGIN);
	ck_assert_int_eq(kind_of("BEGIN ISOLATION LEVEL SERIALIZABLE, READ ONLY"),
			 JH_SQL_BEGIN_READ_ONLY);
	ck_assert_int_eq(kind_of("START TRANSACTION READ WRITE"), JH_SQL_BEGIN);
	ck_assert_int_eq(kind_of("START SLAVE"), JH_SQL_OTHER);
	ck_assert_int_eq(kind_of("COMMIT WORK"), JH_SQL_END);
	ck_assert_int_eq(kind_of("ROLLBACK TO SAVEPOINT a"), JH_SQL_OTHER);
	ck_assert_int_eq(kind_of("COMMIT PREPARED 'a'"), JH_SQL_SESSION_STATE);
	ck_assert_int_eq(kind_of("LISTEN a"), JH_SQL_SESSION_STATE);
	ck_assert_int_eq(kind_of("PREPARE a AS SELECT 1"), JH_SQL_SESSION_STATE);
	ck_assert_int_eq(kind_of("COPY a FROM stdin"), JH_SQL_SESSION_STATE);
	ck_assert_int_eq(kind_of("CREATE TABLE a (b int)"), JH_SQL_OTHER);
	ck_assert_int_eq(kind_of("CREATE LOCAL TEMPORARY TABLE a (b int)"), JH_SQL_SESSION_STATE);
	ck_assert_int_eq(kind_of("CREATE OR REPLACE TEMP VIEW a AS SELECT 1"),
			 JH_SQL_SESSION_STATE);
	ck_assert_int_eq(kind_of("DECLARE a CURSOR FOR SELECT 1"), JH_SQL_OTHER);
	ck_assert_int_eq(kind_of("DECLARE a CURSOR WITH HOLD FOR SELECT 1"), JH_SQL_SESSION_STATE);
	ck_assert_int_eq(kind_of("DEALLOCATE PREPARE ALL"), JH_SQL_DEALLOCATE_ALL);
	ck_assert_int_eq(kind_of("\"set\" a"), JH_SQL_OTHER);
}
END_TEST

static void expect_set(const char *sql, const char *name, const char *value)
{
	jh_sql_statement_t statement;
	jh_sql_command_t command;
	const char *cursor = sql;

	ck_assert(jh_sql_next(&cursor, &statement));
	jh_sql_classify(&statement, &command);
	ck_assert_int_eq(command.kind, JH_SQL_SET);
	ck_assert_str_eq(command.name, name);
	if (!value) {
		ck_assert_ptr_null(command.value);
		return;
	}
	ck_assert_uint_eq(command.value_length, strlen(value));
	ck_assert_mem_eq(command.value, value, command.value_length);
}

START_TEST(test_set)
{
	expect_set("SET jasminehill.session TO 'AbC-_'", "jasminehill.session", "AbC-_");
	expect_set("set Jasminehill.Max_Age=250;", "jasminehill.max_age", "250");
	expect_set("SET SESSION jasminehill.max_age = -1", "jasminehill.max_age", "-1");
	expect_set("SET TIME ZONE 'UTC'", "timezone", "UTC");
	expect_set("SET NAMES 'utf8'", "client_encoding", "utf8");
	expect_set("SET extra_float_digits TO DEFAULT", "extra_float_digits", NULL);
	expect_set("SET datestyle TO ISO", "datestyle", "ISO");
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("sql_scan");
	TCase *tcase = tcase_create("sql_scan");
	SRunner *runner;
	int failed;

	tcase_add_test(tcase, test_split);
	tcase_add_test(tcase, test_kinds);
	tcase_add_test(tcase, test_set);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
