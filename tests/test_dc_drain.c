#include "jh_dc_drain.h"
#include "runner.h"

/*
 * Guards against statements that reach a drained data centre after the bound, and against a bound
 * that begins again because its row was written again.
 */

#define BOUND_US (5000 * INT64_C(1000))

static jh_dc_phase_t phase(const jh_dc_drains_t *drains, const char *dc, int64_t now_us)
{
	return jh_dc_drains_phase(drains, dc, BOUND_US, now_us);
}

START_TEST(test_phases_follow_the_time_since_the_request)
{
	jh_dc_drains_t *drains = jh_dc_drains_new();

	ck_assert_int_eq(phase(drains, "dc-1", 0), JH_DC_OPEN);
	ck_assert(jh_dc_drains_apply(drains, "dc-1", true, 1000));
	ck_assert_int_eq(phase(drains, "dc-1", 1000), JH_DC_NO_NEW);
	ck_assert_int_eq(phase(drains, "dc-1", 2500999), JH_DC_NO_NEW);
	ck_assert_int_eq(phase(drains, "dc-1", 2501000), JH_DC_ENDING);
	ck_assert_int_eq(phase(drains, "dc-1", 4500999), JH_DC_ENDING);
	ck_assert_int_eq(phase(drains, "dc-1", 4501000), JH_DC_CLOSED);
	ck_assert_int_eq(phase(drains, "dc-2", 4501000), JH_DC_OPEN);
	ck_assert_int_eq(phase(drains, NULL, 4501000), JH_DC_OPEN);
	jh_dc_drains_free(drains);
}
END_TEST

/* Operators that race write the row again; the first request counts. */
START_TEST(test_repeated_request_keeps_its_time)
{
	jh_dc_drains_t *drains = jh_dc_drains_new();

	ck_assert(jh_dc_drains_apply(drains, "dc-1", true, 0));
	ck_assert(!jh_dc_drains_apply(drains, "dc-1", true, 4000000));
	ck_assert_int_eq(phase(drains, "dc-1", 4500000), JH_DC_CLOSED);
	ck_assert(jh_dc_drains_apply(drains, "dc-1", false, 4600000));
	ck_assert(!jh_dc_drains_apply(drains, "dc-1", false, 4600000));
	ck_assert_int_eq(phase(drains, "dc-1", 4600000), JH_DC_OPEN);
	ck_assert(jh_dc_drains_apply(drains, "dc-1", true, 4700000));
	ck_assert_int_eq(phase(drains, "dc-1", 4800000), JH_DC_NO_NEW);
	jh_dc_drains_free(drains);
}
END_TEST

/* A VM that starts during a drain does not know when it was requested. */
START_TEST(test_request_of_unknown_time_is_past_its_bound)
{
	jh_dc_drains_t *drains = jh_dc_drains_new();

	jh_dc_drains_apply(drains, "dc-1", true, INT64_MIN);
	jh_dc_drains_apply(drains, "dc-2", true, 0);
	ck_assert_uint_eq(jh_dc_drains_count(drains), 2);
	ck_assert_int_eq(phase(drains, "dc-1", 0), JH_DC_CLOSED);
	ck_assert_int_eq(phase(drains, "dc-2", 0), JH_DC_NO_NEW);
	jh_dc_drains_free(drains);
}
END_TEST

START_TEST(test_short_bound_leaves_no_time_after_half_of_it)
{
	jh_dc_drains_t *drains = jh_dc_drains_new();

	jh_dc_drains_apply(drains, "dc-1", true, 0);
	ck_assert_int_eq(jh_dc_drains_phase(drains, "dc-1", 400000, 199999), JH_DC_NO_NEW);
	ck_assert_int_eq(jh_dc_drains_phase(drains, "dc-1", 400000, 200000), JH_DC_CLOSED);
	jh_dc_drains_free(drains);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		test_phases_follow_the_time_since_the_request,
		test_repeated_request_keeps_its_time,
		test_request_of_unknown_time_is_past_its_bound,
		test_short_bound_leaves_no_time_after_half_of_it,
		NULL,
	};

	return run_tests("dc_drain", tests);
}
