#include "jh_freshness.h"
#include "runner.h"

#define MS INT64_C(1000)

static jh_position_t at(uint64_t index)
{
	return (jh_position_t){ .term = 1, .index = index };
}

START_TEST(test_oldest_sample_that_is_new_enough)
{
	jh_freshness_t *freshness = jh_freshness_new();
	jh_position_t need;

	jh_freshness_add(freshness, 100 * MS, at(10));
	jh_freshness_add(freshness, 200 * MS, at(20));
	jh_freshness_add(freshness, 300 * MS, at(30));
	ck_assert(jh_freshness_need(freshness, 150 * MS, &need));
	ck_assert_uint_eq(need.index, 20);
	ck_assert(jh_freshness_need(freshness, 200 * MS, &need));
	ck_assert_uint_eq(need.index, 20);
	ck_assert(jh_freshness_need(freshness, 300 * MS, &need));
	ck_assert_uint_eq(need.index, 30);
	ck_assert(!jh_freshness_need(freshness, 301 * MS, &need));
	jh_freshness_free(freshness);
}
END_TEST

START_TEST(test_samples_never_step_back)
{
	jh_freshness_t *freshness = jh_freshness_new();
	jh_position_t need;

	jh_freshness_add(freshness, 100 * MS, at(10));
	jh_freshness_add(freshness, 200 * MS, at(8));
	jh_freshness_add(freshness, 150 * MS, at(30));
	ck_assert(jh_freshness_need(freshness, 200 * MS, &need));
	ck_assert_uint_eq(need.index, 10);
	jh_freshness_clear(freshness);
	ck_assert(!jh_freshness_newest(freshness, &need));
	jh_freshness_free(freshness);
}
END_TEST

/* Against a plain list: every answer covers what was acknowledged before the moment. */
START_TEST(test_need_covers_all_commits_before_the_moment)
{
	int64_t times[4000];
	unsigned indexes[4000];
	unsigned seed;

	for (seed = 1; seed <= 50; seed++) {
		jh_freshness_t *freshness = jh_freshness_new();
		GRand *rand = g_rand_new_with_seed(seed);
		unsigned index = 1;
		int64_t now = 0;
		unsigned i;

		for (i = 0; i < G_N_ELEMENTS(times); i++) {
			jh_position_t need;
			int64_t moment;
			unsigned k;

			now += g_rand_int_range(rand, 1, 20 * MS);
			index += (unsigned)g_rand_int_range(rand, 0, 3);
			times[i] = now;
			indexes[i] = index;
			jh_freshness_add(freshness, now, at(index));
			moment = now - g_rand_int_range(rand, 0, 3000 * MS);
			ck_assert(jh_freshness_need(freshness, moment, &need));
			for (k = i + 1; k > 0 && times[k - 1] >= moment; k--)
				continue;
			if (k > 0)
				ck_assert_uint_ge(need.index, indexes[k - 1]);
		}
		g_rand_free(rand);
		jh_freshness_free(freshness);
	}
}
END_TEST

int main(void)
{
	const TTest *const tests[] = { test_oldest_sample_that_is_new_enough,
				       test_samples_never_step_back,
				       test_need_covers_all_commits_before_the_moment, NULL };

	return run_tests("freshness", tests);
}
