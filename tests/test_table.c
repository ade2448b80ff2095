/* Guards against a handle of a removed object that finds another object in the reused slot. */

#include "jh_table.h"

#include "runner.h"

START_TEST(test_handle_of_removed_object_finds_nothing)
{
	jh_table_t *table = jh_table_new();
	int first_object = 1;
	int second_object = 2;
	jh_handle_t first_handle = jh_table_add(table, &first_object);
	jh_handle_t second_handle;

	ck_assert_ptr_eq(jh_table_get(table, first_handle), &first_object);
	ck_assert_ptr_eq(jh_table_remove(table, first_handle), &first_object);
	second_handle = jh_table_add(table, &second_object);
	ck_assert_ptr_null(jh_table_get(table, first_handle));
	ck_assert_ptr_eq(jh_table_get(table, second_handle), &second_object);
	ck_assert_uint_eq(jh_table_count(table), 1);
	jh_table_free(table);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = { test_handle_of_removed_object_finds_nothing, NULL };

	return run_tests("table", tests);
}
