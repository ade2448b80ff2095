#ifndef RUNNER_H
#define RUNNER_H

#include <check.h>
#include <stdlib.h>

/**
 * run_tests() - run the tests of one module as a suite; main() of a test program calls only this
 * @module: name of the suite
 * @tests: array of test functions that ends with NULL
 *
 * Return: exit status of the test program
 */
static inline int run_tests(const char *module, const TTest *const *tests)
{
	Suite *suite = suite_create(module);
	TCase *tcase = tcase_create(module);
	SRunner *runner;
	int failed;

	tcase_set_timeout(tcase, 0);
	for (; *tests; tests++)
		tcase_add_test(tcase, *tests);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}

#endif
