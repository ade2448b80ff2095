#include "jh_topology.h"
#include "jh_view.h"

#include "runner.h"

START_TEST(test_distance_by_data_centre_and_region)
{
	jh_topology_t *topology = jh_topology_new("a=north,b=north,c=south");

	ck_assert_int_eq(jh_topology_distance(topology, "a", "a"), JH_DISTANCE_SAME_DC);
	ck_assert_int_eq(jh_topology_distance(topology, "a", "b"), JH_DISTANCE_SAME_REGION);
	ck_assert_int_eq(jh_topology_distance(topology, "a", "c"), JH_DISTANCE_FAR);
	ck_assert_int_eq(jh_topology_span(topology), JH_DISTANCE_FAR);
	ck_assert_int_lt(jh_topology_cost_us(JH_DISTANCE_SAME_REGION),
			 jh_topology_cost_us(JH_DISTANCE_FAR));
	jh_topology_free(topology);
}
END_TEST

/* Guards against a member or VM of an unknown place that is taken for a near one. */
START_TEST(test_unknown_region_is_far)
{
	jh_topology_t *topology = jh_topology_new("a=north,b=north");

	ck_assert_int_eq(jh_topology_distance(topology, "a", "x"), JH_DISTANCE_FAR);
	ck_assert_int_eq(jh_topology_distance(topology, "x", "y"), JH_DISTANCE_FAR);
	ck_assert_int_eq(jh_topology_distance(topology, "x", "x"), JH_DISTANCE_SAME_DC);
	ck_assert_int_eq(jh_topology_distance(topology, NULL, NULL), JH_DISTANCE_FAR);
	jh_topology_free(topology);
}
END_TEST

/* Guards against other choices in deployments that name no regions. */
START_TEST(test_without_regions_all_is_one_region)
{
	jh_topology_t *topology = jh_topology_new("");

	ck_assert_int_eq(jh_topology_distance(topology, "a", "b"), JH_DISTANCE_SAME_REGION);
	ck_assert_int_eq(jh_topology_span(topology), JH_DISTANCE_SAME_REGION);
	jh_topology_free(topology);
}
END_TEST

START_TEST(test_malformed_text_is_rejected)
{
	static const char *const texts[] = { "a", "=b", "a=", "a=b,", "a=b,a=c", "," };
	unsigned i;

	for (i = 0; i < sizeof(texts) / sizeof(texts[0]); i++)
		ck_assert_ptr_null(jh_topology_new(texts[i]));
}
END_TEST

/* Guards against a request that runs outside its home regions, or where the region is unknown. */
START_TEST(test_regions_of_a_request)
{
	jh_topology_t *topology = jh_topology_new("a=north,b=south");

	ck_assert(jh_topology_allows(topology, NULL, "a"));
	ck_assert(jh_topology_allows(topology, NULL, "x"));
	ck_assert(jh_topology_allows(topology, "east,north", "a"));
	ck_assert(!jh_topology_allows(topology, "east,north", "b"));
	ck_assert(!jh_topology_allows(topology, "north", "x"));
	ck_assert(!jh_topology_allows(topology, "", "a"));
	jh_topology_free(topology);
}
END_TEST

START_TEST(test_weight_of_a_vm_follows_the_scarcer_resource)
{
	ck_assert_uint_eq(jh_vm_weight(0.5, 200), 500);
	ck_assert_uint_eq(jh_vm_weight(0.12, 10), 25);
	ck_assert_uint_eq(jh_vm_weight(0.12, 1000), 120);
	ck_assert_uint_eq(jh_vm_weight(8, 10000), JH_VM_WEIGHT_MAX);
	ck_assert_uint_eq(jh_vm_weight(0.001, 0.001), 1);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		test_distance_by_data_centre_and_region,
		test_unknown_region_is_far,
		test_without_regions_all_is_one_region,
		test_malformed_text_is_rejected,
		test_regions_of_a_request,
		test_weight_of_a_vm_follows_the_scarcer_resource,
		NULL,
	};

	return run_tests("topology", tests);
}
