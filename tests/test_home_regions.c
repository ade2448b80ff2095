#include "jh_home_regions.h"
#include "jh_topology.h"
#include "runner.h"

/* Guards against a request that runs where its route or its team alone would let it run. */

START_TEST(test_both_lists_apply)
{
	ck_assert_ptr_null(jh_home_regions_both(NULL, NULL));
	ck_assert_str_eq(jh_home_regions_both("north,east", NULL), "north,east");
	ck_assert_str_eq(jh_home_regions_both(NULL, "north"), "north");
	ck_assert_str_eq(jh_home_regions_both("north,east", "south,east"), "east");
}
END_TEST

/* An empty list must not pass for one that allows everything. */
START_TEST(test_lists_without_a_common_region_allow_none)
{
	jh_topology_t *topology = jh_topology_new("a=north,b=south");
	const char *none = jh_home_regions_both("north", "south");

	ck_assert_str_eq(none, JH_HOME_REGIONS_NONE);
	ck_assert_str_eq(jh_home_regions_both("", NULL), JH_HOME_REGIONS_NONE);
	ck_assert_str_eq(jh_home_regions_both(none, NULL), JH_HOME_REGIONS_NONE);
	ck_assert_str_eq(jh_home_regions_both(none, "north"), JH_HOME_REGIONS_NONE);
	ck_assert(!jh_topology_allows(topology, none, "a"));
	ck_assert(!jh_topology_allows(topology, none, "b"));
	ck_assert(!jh_topology_allows(topology, none, "unknown"));
	jh_topology_free(topology);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		test_both_lists_apply,
		test_lists_without_a_common_region_allow_none,
		NULL,
	};

	return run_tests("home_regions", tests);
}
