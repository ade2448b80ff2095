#include "jh_table.h"

#include "runner.h"

START_TEST(test_handle_outlives_object)
{
	jh_table_t *table = jh_table_new();
	int first = 1;
	int second = 2;
	jh_handle_t handle = jh_table_add(table, &first);
	jh_handle_t reused;

	ck_assert_ptr_eq(jh_table_get(table, handle), &first);
	ck_assert_ptr_eq(jh_table_remove(table, handle), &first);
	reused = jh_table_add(table, &second);
	ck_assert_ptr_null(jh_table_get(table, handle));
	ck_assert_ptr_eq(jh_table_get(table, reused), &second);
	ck_assert_uint_eq(jh_table_count(table), 1);
	jh_table_free(table);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = { test_handle_outlives_object, NULL };

	return run_tests("table", tests);
}
