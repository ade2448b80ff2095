/*
 * Guards against a text that is split inside a string, a quoted name or a comment, and against a
 * statement that changes the state of a database session but is classified as an ordinary one, so
 * that it would be sent to the database and leave its state there.
 */

#include "jh_sql_scan.h"

#include <check.h>
#include <stdlib.h>
#include <string.h>

static jh_sql_kind_t classify(const char *sql)
{
	jh_sql_statement_t statement;
	jh_sql_command_t command;
	const char *cursor = sql;

	ck_assert(jh_sql_next_statement(&cursor, &statement));
	jh_sql_classify(&statement, &command);
	return command.kind;
}

static void assert_split(const char *sql, const char *const *statements)
{
	jh_sql_statement_t statement;
	const char *cursor = sql;

	while (jh_sql_next_statement(&cursor, &statement)) {
		ck_assert_ptr_nonnull(*statements);
		ck_assert_uint_eq(statement.length, strlen(*statements));
		ck_assert_mem_eq(statement.text, *statements, statement.length);
		statements++;
	}
	ck_assert_ptr_null(*statements);
}

START_TEST(test_split_into_statements)
{
	assert_split(" ;; ", (const char *[]){ NULL });
	assert_split("SELECT 1", (const char *[]){ "SELECT 1", NULL });
	assert_split("a;b ; ", (const char *[]){ "a", "b", NULL });
	assert_split("SELECT ';', ''';'; x", (const char *[]){ "SELECT ';', ''';'", "x", NULL });
	assert_split("SELECT E'\\';'; x", (const char *[]){ "SELECT E'\\';'", "x", NULL });
	assert_split("SELECT '\\'; x", (const char *[]){ "SELECT '\\'", "x", NULL });
	assert_split("SELECT \"a;b\"; x", (const char *[]){ "SELECT \"a;b\"", "x", NULL });
	assert_split("SELECT $$;$$; x", (const char *[]){ "SELECT $$;$$", "x", NULL });
	assert_split("SELECT $a$;$b$;$a$; x", (const char *[]){ "SELECT $a$;$b$;$a$", "x", NULL });
	assert_split("SELECT $1; x", (const char *[]){ "SELECT $1", "x", NULL });
	assert_split("SELECT a$b; x", (const char *[]){ "SELECT a$b", "x", NULL });
	assert_split("-- a;b\nx /* ; /* ; */ ; */ y; z",
		     (const char *[]){ "x /* ; /* ; */ ; */ y", "z", NULL });
	assert_split("SELECT 'open; x", (const char *[]){ "SELECT 'open; x", NULL });
}
END_TEST

START_TEST(test_classify_kinds)
{
	ck_assert_int_eq(classify("SELECT 1"), JH_SQL_OTHER);
	ck_assert_int_eq(classify("/* x */ set a = 1"), JH_SQL_SET);
	ck_assert_int_eq(classify("SET LOCAL a = 1"), JH_SQL_OTHER);
	ck_assert_int_eq(classify("SET TRANSACTION READ ONLY"), JH_SQL_OTHER);
	ck_assert_int_eq(classify("SET ROLE other"), JH_SQL_SESSION_STATE);
	ck_assert_int_eq(classify("SET SESSION CHARACTERISTICS AS TRANSACTION READ ONLY"),
			 JH_SQL_SESSION_STATE);
	ck_assert_int_eq(classify("show all"), JH_SQL_SHOW);
	ck_assert_int_eq(classify("RESET ALL"), JH_SQL_RESET_ALL);
	ck_assert_int_eq(classify("begin"), JH_SQL_BEGIN);
	ck_assert_int_eq(classify("BEGIN ISOLATION LEVEL SERIALIZABLE, READ ONLY"),
			 JH_SQL_BEGIN_READ_ONLY);
	ck_assert_int_eq(classify("START TRANSACTION READ WRITE"), JH_SQL_BEGIN);
	ck_assert_int_eq(classify("START SLAVE"), JH_SQL_OTHER);
	ck_assert_int_eq(classify("COMMIT WORK"), JH_SQL_END);
	ck_assert_int_eq(classify("ROLLBACK TO SAVEPOINT a"), JH_SQL_OTHER);
	ck_assert_int_eq(classify("COMMIT PREPARED 'a'"), JH_SQL_SESSION_STATE);
	ck_assert_int_eq(classify("LISTEN a"), JH_SQL_SESSION_STATE);
	ck_assert_int_eq(classify("PREPARE a AS SELECT 1"), JH_SQL_SESSION_STATE);
	ck_assert_int_eq(classify("COPY a FROM stdin"), JH_SQL_SESSION_STATE);
	ck_assert_int_eq(classify("CREATE TABLE a (b int)"), JH_SQL_OTHER);
	ck_assert_int_eq(classify("CREATE LOCAL TEMPORARY TABLE a (b int)"), JH_SQL_SESSION_STATE);
	ck_assert_int_eq(classify("CREATE OR REPLACE TEMP VIEW a AS SELECT 1"),
			 JH_SQL_SESSION_STATE);
	ck_assert_int_eq(classify("DECLARE a CURSOR FOR SELECT 1"), JH_SQL_OTHER);
	ck_assert_int_eq(classify("DECLARE a CURSOR WITH HOLD FOR SELECT 1"), JH_SQL_SESSION_STATE);
	ck_assert_int_eq(classify("DEALLOCATE PREPARE ALL"), JH_SQL_DEALLOCATE_ALL);
	ck_assert_int_eq(classify("\"set\" a"), JH_SQL_OTHER);
}
END_TEST

static void assert_set(const char *sql, const char *name, const char *value)
{
	jh_sql_statement_t statement;
	jh_sql_command_t command;
	const char *cursor = sql;

	ck_assert(jh_sql_next_statement(&cursor, &statement));
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

START_TEST(test_set_name_and_value)
{
	assert_set("SET jasminehill.session TO 'AbC-_'", "jasminehill.session", "AbC-_");
	assert_set("set Jasminehill.Max_Age=250;", "jasminehill.max_age", "250");
	assert_set("SET SESSION jasminehill.max_age = -1", "jasminehill.max_age", "-1");
	assert_set("SET TIME ZONE 'UTC'", "timezone", "UTC");
	assert_set("SET NAMES 'utf8'", "client_encoding", "utf8");
	assert_set("SET extra_float_digits TO DEFAULT", "extra_float_digits", NULL);
	assert_set("SET datestyle TO ISO", "datestyle", "ISO");
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("sql_scan");
	TCase *tcase = tcase_create("sql_scan");
	SRunner *runner;
	int failed;

	tcase_add_test(tcase, test_split_into_statements);
	tcase_add_test(tcase, test_classify_kinds);
	tcase_add_test(tcase, test_set_name_and_value);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
