/*
 * Guards against a session that loses a position, because of the order of merges or because an
 * index of an older term counts as higher, and against a token that is accepted though it was
 * changed, truncated or made with another key.
 */

#include "jh_session.h"
#include "jh_token.h"

#include <check.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>

#define MERGE_ROUNDS 2000
#define SEED 20261203

static const uint8_t cluster_key[JH_CLUSTER_KEY_BYTES] = { 1, 2, 3 };
static const uint8_t other_key[JH_CLUSTER_KEY_BYTES] = { 1, 2, 4 };

static void add_random_positions(GRand *random, jh_session_t *session)
{
	unsigned count = (unsigned)g_rand_int_range(random, 0, 6);

	while (count-- > 0) {
		char name[16];
		jh_position_t position = {
			.term = (uint64_t)g_rand_int_range(random, 1, 4),
			.index = (uint64_t)g_rand_int_range(random, 1, 9),
		};

		g_snprintf(name, sizeof(name), "group-%d", g_rand_int_range(random, 0, 8));
		ck_assert_int_eq(jh_session_advance(session, name, position), 0);
	}
}

START_TEST(test_merge_takes_maximum)
{
	GRand *random = g_rand_new_with_seed(SEED);
	int round;

	printf("seed %d\n", SEED);
	for (round = 0; round < MERGE_ROUNDS; round++) {
		jh_session_t a = { 0 };
		jh_session_t b = { 0 };
		jh_session_t ab = { 0 };
		jh_session_t ba = { 0 };

		add_random_positions(random, &a);
		add_random_positions(random, &b);
		ck_assert_int_eq(jh_session_merge(&ab, &a) | jh_session_merge(&ab, &b), 0);
		ck_assert_int_eq(jh_session_merge(&ba, &b) | jh_session_merge(&ba, &a), 0);
		ck_assert(jh_session_dominates(&ab, &a) && jh_session_dominates(&ab, &b));
		ck_assert(jh_session_dominates(&ab, &ba) && jh_session_dominates(&ba, &ab));
		jh_session_clear(&a);
		jh_session_clear(&b);
		jh_session_clear(&ab);
		jh_session_clear(&ba);
	}
	g_rand_free(random);
}
END_TEST

START_TEST(test_higher_term_wins_over_higher_index)
{
	jh_session_t session = { 0 };

	jh_session_advance(&session, "kisumu", (jh_position_t){ .term = 2, .index = 5 });
	jh_session_advance(&session, "kisumu", (jh_position_t){ .term = 1, .index = 900 });
	ck_assert_uint_eq(jh_session_get_position(&session, "kisumu").term, 2);
	ck_assert_uint_eq(jh_session_get_position(&session, "kisumu").index, 5);
	ck_assert_uint_eq(jh_session_get_position(&session, "nairobi").term, 0);
	jh_session_clear(&session);
}
END_TEST

static void fill_session(jh_session_t *session)
{
	unsigned i;

	for (i = 0; i < JH_SESSION_MAX_GROUPS; i++) {
		char name[JH_SESSION_MAX_NAME + 1];

		memset(name, 'x', JH_SESSION_MAX_NAME);
		name[JH_SESSION_MAX_NAME] = '\0';
		g_snprintf(name, 8, "g%06u", i);
		name[7] = '-';
		ck_assert_int_eq(
			jh_session_advance(session, name,
					   (jh_position_t){ .term = UINT64_MAX, .index = i + 1 }),
			0);
	}
}

START_TEST(test_full_session_fits_in_token)
{
	jh_session_t session = { 0 };
	jh_session_t copy = { 0 };
	jh_error_t err = JH_ERROR_INIT;
	char *token;

	fill_session(&session);
	ck_assert(!jh_session_has_room(&session, "one-more"));
	ck_assert_int_eq(
		jh_session_advance(&session, "one-more", (jh_position_t){ .term = 1, .index = 1 }),
		-1);
	token = jh_token_encode(&session, cluster_key);
	ck_assert_uint_le(strlen(token), JH_TOKEN_MAX_CHARS);
	ck_assert_int_eq(jh_token_decode(token, cluster_key, &copy, &err), 0);
	ck_assert(jh_session_dominates(&copy, &session) && jh_session_dominates(&session, &copy));
	g_free(token);
	jh_session_clear(&session);
	jh_session_clear(&copy);
}
END_TEST

static void assert_rejected(const char *text, const uint8_t *key, jh_errcode_t code)
{
	jh_session_t session = { 0 };
	jh_error_t err = JH_ERROR_INIT;

	ck_assert_int_eq(jh_token_decode(text, key, &session, &err), -1);
	ck_assert_int_eq(err.code, code);
	ck_assert_uint_eq(session.count, 0);
	jh_error_clear(&err);
}

START_TEST(test_bad_tokens_have_distinct_errors)
{
	jh_session_t session = { 0 };
	char *token;
	char *too_long = g_strnfill(JH_TOKEN_MAX_CHARS + 1, 'A');
	size_t i;

	jh_session_advance(&session, "kisumu", (jh_position_t){ .term = 3, .index = 77 });
	token = jh_token_encode(&session, cluster_key);
	assert_rejected("no base64!", cluster_key, JH_ERR_INVALID);
	assert_rejected("AQ", cluster_key, JH_ERR_INVALID);
	assert_rejected(too_long, cluster_key, JH_ERR_PROTOCOL);
	assert_rejected(token, other_key, JH_ERR_DENIED);
	/* The first two characters encode the version; the MAC protects every later one. */
	for (i = 2; token[i + 1]; i++) {
		char original = token[i];

		token[i] = original == 'A' ? 'B' : 'A';
		assert_rejected(token, cluster_key, JH_ERR_DENIED);
		token[i] = original;
	}
	/* A token truncated to a multiple of four characters is still valid base64. */
	token[strlen(token) / 4 * 4 - 4] = '\0';
	assert_rejected(token, cluster_key, JH_ERR_DENIED);
	g_free(token);
	g_free(too_long);
	jh_session_clear(&session);
}
END_TEST

START_TEST(test_forgotten_position_leaves_the_others)
{
	jh_session_t session = { 0 };

	jh_session_advance(&session, "kisumu", (jh_position_t){ .term = 3, .index = 77 });
	jh_session_advance(&session, "nakuru", (jh_position_t){ .term = 1, .index = 5 });
	jh_session_forget(&session, "kisumu");
	jh_session_forget(&session, "mombasa");
	ck_assert_uint_eq(session.count, 1);
	ck_assert_uint_eq(jh_session_get_position(&session, "kisumu").term, 0);
	ck_assert_uint_eq(jh_session_get_position(&session, "nakuru").index, 5);
	jh_session_clear(&session);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("session");
	TCase *tcase = tcase_create("session");
	SRunner *runner;
	int failed;

	if (sodium_init() < 0)
		return EXIT_FAILURE;
	tcase_add_test(tcase, test_merge_takes_maximum);
	tcase_add_test(tcase, test_higher_term_wins_over_higher_index);
	tcase_add_test(tcase, test_forgotten_position_leaves_the_others);
	tcase_add_test(tcase, test_full_session_fits_in_token);
	tcase_add_test(tcase, test_bad_tokens_have_distinct_errors);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
