/*
 * Guards against a retry that could run a request twice, or that starts after the deadline, and
 * against retries that multiply the load while every attempt fails.
 */

#include "jh_retry.h"

#include <check.h>
#include <stdlib.h>

static const jh_retry_event_t redirected = {
	.outcome = JH_RETRY_REDIRECTED,
	.attempts = 1,
	.until_us = 1000000,
};

static int64_t decide_with_new_budget(const jh_retry_event_t *event)
{
	jh_retry_budget_t budget = { 0 };

	return jh_retry_decide(&budget, event);
}

START_TEST(test_only_safe_requests_are_retried)
{
	jh_retry_event_t event = redirected;

	ck_assert_int_ge(decide_with_new_budget(&event), 0);
	event.outcome = JH_RETRY_UNKNOWN;
	ck_assert_int_lt(decide_with_new_budget(&event), 0);
	event.safe = true;
	ck_assert_int_ge(decide_with_new_budget(&event), 0);
	event.released = true;
	ck_assert_int_lt(decide_with_new_budget(&event), 0);
	event.released = false;
	event.pinned = true;
	ck_assert_int_lt(decide_with_new_budget(&event), 0);
}
END_TEST

START_TEST(test_deadline_and_retry_hint_are_respected)
{
	jh_retry_event_t event = redirected;

	event.retry_after_ms = 300;
	ck_assert_int_eq(decide_with_new_budget(&event), 300000);
	event.now_us = 800000;
	ck_assert_int_lt(decide_with_new_budget(&event), 0);
}
END_TEST

START_TEST(test_backoff_grows_to_its_maximum)
{
	jh_retry_event_t event = redirected;
	int64_t last_wait_us = 0;

	event.until_us = INT64_MAX;
	for (event.attempts = 1; event.attempts < JH_RETRY_MAX_ATTEMPTS; event.attempts++) {
		int64_t wait_us = decide_with_new_budget(&event);

		ck_assert_int_ge(wait_us, last_wait_us);
		ck_assert_int_le(wait_us, 250000);
		last_wait_us = wait_us;
	}
	ck_assert_int_lt(decide_with_new_budget(&event), 0);
}
END_TEST

/* If every attempt fails, retries add a fifth to the load, plus those of the initial budget. */
START_TEST(test_budget_bounds_retries)
{
	jh_retry_budget_t budget = { 0 };
	jh_retry_event_t event = redirected;
	unsigned retries = 0;
	int request;

	event.outcome = JH_RETRY_NOT_RUN;
	for (request = 0; request < 1000; request++) {
		jh_retry_budget_add_request(&budget);
		if (jh_retry_decide(&budget, &event) >= 0)
			retries++;
	}
	ck_assert_uint_ge(retries, 200);
	ck_assert_uint_le(retries, 221);
	/* Redirects need no budget: a change of primary redirects all requests in progress. */
	event.outcome = JH_RETRY_REDIRECTED;
	ck_assert_int_ge(jh_retry_decide(&budget, &event), 0);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("retry");
	TCase *tcase = tcase_create("retry");
	SRunner *runner;
	int failed;

	tcase_add_test(tcase, test_only_safe_requests_are_retried);
	tcase_add_test(tcase, test_deadline_and_retry_hint_are_respected);
	tcase_add_test(tcase, test_backoff_grows_to_its_maximum);
	tcase_add_test(tcase, test_budget_bounds_retries);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
