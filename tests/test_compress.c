/*
 * Guards against a compressed value that is restored wrongly, and against bytes of another VM that
 * would make this VM allocate too much or read past their end.
 */

#include "jh_compress.h"

#include "runner.h"

#include <string.h>

#define MAX_SIZE 100000u

static GBytes *value_new(unsigned size, guint32 seed)
{
	GRand *rand = g_rand_new_with_seed(seed);
	uint8_t *data = g_malloc(size);
	unsigned i;

	for (i = 0; i < size; i++)
		data[i] = (uint8_t)("{\"name\":"[g_rand_int_range(rand, 0, 8)]);
	g_rand_free(rand);
	return g_bytes_new_take(data, size);
}

START_TEST(test_value_is_restored)
{
	static const unsigned sizes[] = { 100, 1000, 65536, MAX_SIZE };
	unsigned i;

	for (i = 0; i < G_N_ELEMENTS(sizes); i++) {
		jh_error_t err = JH_ERROR_INIT;
		GBytes *value = value_new(sizes[i], i);
		GBytes *compressed = jh_compress(value);
		GBytes *restored;

		ck_assert_ptr_nonnull(compressed);
		ck_assert_uint_lt(g_bytes_get_size(compressed), sizes[i]);
		restored = jh_uncompress(g_bytes_get_data(compressed, NULL),
					 g_bytes_get_size(compressed), sizes[i], MAX_SIZE, &err);
		ck_assert_msg(restored != NULL, "%s", err.message);
		ck_assert(g_bytes_equal(value, restored));
		g_bytes_unref(value);
		g_bytes_unref(compressed);
		g_bytes_unref(restored);
	}
}
END_TEST

START_TEST(test_value_that_does_not_become_shorter_is_not_compressed)
{
	GBytes *value = g_bytes_new_static("x", 1);

	ck_assert_ptr_null(jh_compress(value));
	g_bytes_unref(value);
}
END_TEST

static void assert_refused(const void *data, size_t length, size_t size)
{
	jh_error_t err = JH_ERROR_INIT;

	ck_assert_ptr_null(jh_uncompress(data, length, size, MAX_SIZE, &err));
	ck_assert_int_eq(err.code, JH_ERR_PROTOCOL);
	jh_error_clear(&err);
}

START_TEST(test_malformed_values_are_refused)
{
	GBytes *value = value_new(5000, 1);
	GBytes *compressed = jh_compress(value);
	gsize length;
	const uint8_t *data = g_bytes_get_data(compressed, &length);
	uint8_t *changed = g_memdup2(data, length);
	unsigned i;

	assert_refused(data, length, 4999);
	assert_refused(data, length, 5001);
	assert_refused(data, length, 0);
	assert_refused(data, length, MAX_SIZE + 1);
	assert_refused(data, length, SIZE_MAX);
	assert_refused("", 0, 5000);
	for (i = 0; i < length; i += 7)
		assert_refused(data, i, 5000);
	changed[length - 1] ^= 1;
	assert_refused(changed, length, 5000);
	g_free(changed);
	g_bytes_unref(value);
	g_bytes_unref(compressed);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = { test_value_is_restored,
				       test_value_that_does_not_become_shorter_is_not_compressed,
				       test_malformed_values_are_refused, NULL };

	return run_tests("compress", tests);
}
