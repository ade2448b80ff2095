/*
 * Guards against a stale read: a position that does not include every commit acknowledged before
 * the moment that the read names, or that decreases when samples arrive out of order.
 */

#include "jh_freshness.h"
#include "runner.h"

#define MS INT64_C(1000)

static jh_position_t position_at(uint64_t index)
{
	return (jh_position_t){ .term = 1, .index = index };
}

START_TEST(test_oldest_sample_that_is_new_enough)
{
	jh_freshness_t *freshness = jh_freshness_new();
	jh_position_t position;

	jh_freshness_add_sample(freshness, 100 * MS, position_at(10));
	jh_freshness_add_sample(freshness, 200 * MS, position_at(20));
	jh_freshness_add_sample(freshness, 300 * MS, position_at(30));
	ck_assert(jh_freshness_find_position(freshness, 150 * MS, &position));
	ck_assert_uint_eq(position.index, 20);
	ck_assert(jh_freshness_find_position(freshness, 200 * MS, &position));
	ck_assert_uint_eq(position.index, 20);
	ck_assert(jh_freshness_find_position(freshness, 300 * MS, &position));
	ck_assert_uint_eq(position.index, 30);
	ck_assert(!jh_freshness_find_position(freshness, 301 * MS, &position));
	jh_freshness_free(freshness);
}
END_TEST

START_TEST(test_positions_never_decrease)
{
	jh_freshness_t *freshness = jh_freshness_new();
	jh_position_t position;

	jh_freshness_add_sample(freshness, 100 * MS, position_at(10));
	jh_freshness_add_sample(freshness, 200 * MS, position_at(8));
	jh_freshness_add_sample(freshness, 150 * MS, position_at(30));
	ck_assert(jh_freshness_find_position(freshness, 200 * MS, &position));
	ck_assert_uint_eq(position.index, 10);
	jh_freshness_clear(freshness);
	ck_assert(!jh_freshness_find_newest(freshness, &position));
	jh_freshness_free(freshness);
}
END_TEST

/* Compares with a list of all samples: the position includes every commit before the moment. */
START_TEST(test_position_includes_all_commits_before_the_moment)
{
	int64_t times_us[4000];
	unsigned indexes[4000];
	unsigned seed;

	for (seed = 1; seed <= 50; seed++) {
		jh_freshness_t *freshness = jh_freshness_new();
		GRand *rand = g_rand_new_with_seed(seed);
		unsigned index = 1;
		int64_t now_us = 0;
		unsigned i;

		for (i = 0; i < G_N_ELEMENTS(times_us); i++) {
			jh_position_t position;
			int64_t moment_us;
			unsigned k;

			now_us += g_rand_int_range(rand, 1, 20 * MS);
			index += (unsigned)g_rand_int_range(rand, 0, 3);
			times_us[i] = now_us;
			indexes[i] = index;
			jh_freshness_add_sample(freshness, now_us, position_at(index));
			moment_us = now_us - g_rand_int_range(rand, 0, 3000 * MS);
			ck_assert(jh_freshness_find_position(freshness, moment_us, &position));
			for (k = i + 1; k > 0 && times_us[k - 1] >= moment_us; k--)
				continue;
			if (k > 0)
				ck_assert_uint_ge(position.index, indexes[k - 1]);
		}
		g_rand_free(rand);
		jh_freshness_free(freshness);
	}
}
END_TEST

int main(void)
{
	const TTest *const tests[] = { test_oldest_sample_that_is_new_enough,
				       test_positions_never_decrease,
				       test_position_includes_all_commits_before_the_moment, NULL };

	return run_tests("freshness", tests);
}
