/*
 * Guards against an answer that is taken for that of another statement: a repeated one that comes
 * at once or late, one without a signature, and one that began before the statement was sent. Tests
 * jh_answers.h.
 */

#include "jh_answers.h"
#include "platform/platform.h"
#include "runner.h"

#include <string.h>

static jh_answers_t answers;

static void set_up(void)
{
	jh_answers_init(&answers);
}

static void tear_down(void)
{
	jh_answers_clear(&answers);
}

/* Adds lines that are separated by "; ". Return: verdict on the last of them */
static jh_answer_verdict_t add(const char *text)
{
	char **lines = g_strsplit(text, "; ", 0);
	jh_answer_verdict_t verdict = JH_ANSWER_PARTIAL;
	unsigned i;

	for (i = 0; lines[i]; i++) {
		char *line = g_strdup(lines[i]);
		jh_member_message_t message;

		ck_assert_int_eq(verdict, JH_ANSWER_PARTIAL);
		ck_assert(jh_line_wire.parse_member(line, strlen(line), &message));
		verdict = jh_answers_add(&answers, &message, lines[i], strlen(lines[i]));
		g_free(line);
	}
	g_strfreev(lines);
	return verdict;
}

/* Sends a statement whose answer has the form @expected, and receives @text. */
static jh_answer_verdict_t run(jh_expected_t expected, char state, const char *text)
{
	jh_answers_expect(&answers, expected, state, false);
	return add(text);
}

START_TEST(test_complete_answer_has_its_lines)
{
	set_up();
	jh_answers_expect(&answers, JH_EXPECT_SIGNATURE, 'I', false);
	ck_assert_int_eq(add("ROW a; ROW ; DONE s1"), JH_ANSWER_PARTIAL);
	ck_assert_int_eq(add("READY I 1.1"), JH_ANSWER_COMPLETE);
	ck_assert_str_eq(answers.lines->str, "ROW a\r\nROW \r\nDONE s1\r\n");
	ck_assert(answers.is_done);
	jh_answers_expect(&answers, JH_EXPECT_SIGNATURE, 'I', false);
	ck_assert_uint_eq(answers.lines->len, 0);
	tear_down();
}
END_TEST

START_TEST(test_repeated_signature_is_dropped)
{
	static const char answer[] = "ROW a; DONE s1; READY I 1.1";

	set_up();
	ck_assert_int_eq(run(JH_EXPECT_SIGNATURE, 'I', answer), JH_ANSWER_COMPLETE);
	ck_assert_int_eq(add(answer), JH_ANSWER_REPEATED);
	ck_assert_int_eq(run(JH_EXPECT_DONE, 'I', answer), JH_ANSWER_REPEATED);
	ck_assert_int_eq(run(JH_EXPECT_SIGNATURE, 'I', answer), JH_ANSWER_REPEATED);
	ck_assert_int_eq(add("DONE s1; READY I 1.0"), JH_ANSWER_REPEATED);
	ck_assert_int_eq(add("ROW b; DONE s2; READY I 1.1"), JH_ANSWER_COMPLETE);
	ck_assert_str_eq(answers.lines->str, "ROW b\r\nDONE s2\r\n");
	tear_down();
}
END_TEST

START_TEST(test_repeated_signature_with_other_rows_is_stray)
{
	set_up();
	run(JH_EXPECT_SIGNATURE, 'I', "ROW a; DONE s1; READY I 1.1");
	ck_assert_int_eq(run(JH_EXPECT_SIGNATURE, 'I', "ROW b; ROW a; DONE s1; READY I 1.1"),
			 JH_ANSWER_STRAY);
	tear_down();
}
END_TEST

START_TEST(test_new_signature_without_a_statement_is_stray)
{
	set_up();
	run(JH_EXPECT_READY, 'I', "READY I 1.1");
	ck_assert_int_eq(add("ROW a; DONE s1; READY I 1.1"), JH_ANSWER_STRAY);
	tear_down();
	set_up();
	ck_assert_int_eq(run(JH_EXPECT_READY, 'I', "DONE s1; READY I 1.1"), JH_ANSWER_STRAY);
	tear_down();
}
END_TEST

START_TEST(test_data_statement_needs_a_signature)
{
	set_up();
	run(JH_EXPECT_DONE, 'I', "DONE -; READY I 1.1");
	ck_assert_int_eq(run(JH_EXPECT_SIGNATURE, 'I', "DONE -; READY I 1.1"), JH_ANSWER_REPEATED);
	ck_assert_int_eq(add("DONE s1; READY I 1.2"), JH_ANSWER_COMPLETE);
	tear_down();
	set_up();
	ck_assert_int_eq(run(JH_EXPECT_SIGNATURE, 'I', "DONE -; READY I 1.1"), JH_ANSWER_STRAY);
	tear_down();
	set_up();
	ck_assert_int_eq(run(JH_EXPECT_SIGNATURE, 'I', "DONE; READY I 1.1"), JH_ANSWER_STRAY);
	tear_down();
}
END_TEST

/* All earlier statements that have a signature were answered. */
START_TEST(test_new_signature_is_that_of_the_outstanding_statement)
{
	set_up();
	run(JH_EXPECT_DONE, 'I', "DONE -; READY I 1.1");
	ck_assert_int_eq(run(JH_EXPECT_DONE, 'T', "DONE s1; READY T 1.1"), JH_ANSWER_COMPLETE);
	ck_assert_int_eq(run(JH_EXPECT_DONE, 'T', "DONE s1; READY T 1.1"), JH_ANSWER_REPEATED);
	tear_down();
}
END_TEST

START_TEST(test_begin_is_told_from_a_repeated_setting_by_its_state)
{
	set_up();
	ck_assert_int_eq(run(JH_EXPECT_DONE, 'I', "DONE -; READY I 1.1"), JH_ANSWER_COMPLETE);
	ck_assert_int_eq(run(JH_EXPECT_DONE, 'T', "DONE -; READY I 1.1"), JH_ANSWER_REPEATED);
	ck_assert_int_eq(add("DONE -; READY T 1.1"), JH_ANSWER_COMPLETE);
	tear_down();
	set_up();
	/* It repeats nothing, so the transaction did not begin. */
	ck_assert_int_eq(run(JH_EXPECT_DONE, 'T', "DONE -; READY I 1.1"), JH_ANSWER_COMPLETE);
	tear_down();
}
END_TEST

START_TEST(test_status_is_told_from_other_answers)
{
	static const char status[] = "ROW replica 1 1.1 0 1 2 3; DONE -; READY I 1.1";

	set_up();
	ck_assert_int_eq(run(JH_EXPECT_STATUS, 'I', "DONE -; READY I 1.1"), JH_ANSWER_STRAY);
	tear_down();
	set_up();
	run(JH_EXPECT_DONE, 'I', "DONE -; READY I 1.1");
	ck_assert_int_eq(run(JH_EXPECT_STATUS, 'I', "DONE -; READY I 1.1"), JH_ANSWER_REPEATED);
	ck_assert_int_eq(add(status), JH_ANSWER_COMPLETE);
	ck_assert_int_eq(run(JH_EXPECT_SIGNATURE, 'I', status), JH_ANSWER_REPEATED);
	tear_down();
}
END_TEST

/* The second error of a connection may be the first one again. */
START_TEST(test_connection_ends_with_its_first_error)
{
	set_up();
	ck_assert(jh_answers_can_expect(&answers));
	jh_answers_expect(&answers, JH_EXPECT_SIGNATURE, 'I', false);
	ck_assert_int_eq(add("ERR BUSY m-0; READY I 1.1"), JH_ANSWER_COMPLETE);
	ck_assert(!answers.is_done);
	ck_assert_int_eq(answers.code, JH_CODE_BUSY);
	ck_assert_str_eq(answers.text, "m-0");
	ck_assert(!jh_answers_can_expect(&answers));
	ck_assert_int_eq(run(JH_EXPECT_SIGNATURE, 'I', "ERR BUSY m-0; READY I 1.1"),
			 JH_ANSWER_STRAY);
	tear_down();
	set_up();
	ck_assert_int_eq(add("ERR BUSY m-0; READY I 1.1"), JH_ANSWER_STRAY);
	tear_down();
}
END_TEST

START_TEST(test_answer_that_began_before_the_statement_is_not_its_own)
{
	set_up();
	run(JH_EXPECT_SIGNATURE, 'I', "ROW a; DONE s1; READY I 1.1");
	run(JH_EXPECT_DONE, 'I', "DONE -; READY I 1.1");
	ck_assert_int_eq(add("DONE -"), JH_ANSWER_PARTIAL);
	ck_assert_int_eq(run(JH_EXPECT_DONE, 'I', "READY I 1.1"), JH_ANSWER_REPEATED);
	ck_assert_int_eq(add("DONE -; READY I 1.1"), JH_ANSWER_COMPLETE);
	/* A part of a line had been received. */
	jh_answers_expect(&answers, JH_EXPECT_SIGNATURE, 'I', true);
	ck_assert_int_eq(add("ROW a; DONE s1; READY I 1.1"), JH_ANSWER_REPEATED);
	ck_assert_int_eq(add("DONE s2; READY I 1.1"), JH_ANSWER_COMPLETE);
	ck_assert_int_eq(add("ERR BUSY m-0"), JH_ANSWER_PARTIAL);
	ck_assert_int_eq(run(JH_EXPECT_SIGNATURE, 'I', "READY I 1.1"), JH_ANSWER_STRAY);
	tear_down();
}
END_TEST

START_TEST(test_ready_alone_answers_only_start)
{
	set_up();
	ck_assert_int_eq(run(JH_EXPECT_READY, 'I', "READY I 1.1"), JH_ANSWER_COMPLETE);
	ck_assert_int_eq(add("READY I 1.1"), JH_ANSWER_REPEATED);
	ck_assert_int_eq(run(JH_EXPECT_SIGNATURE, 'I', "READY I 1.1"), JH_ANSWER_REPEATED);
	ck_assert_int_eq(add("ROW a; READY I 1.1"), JH_ANSWER_STRAY);
	tear_down();
}
END_TEST

START_TEST(test_lines_after_the_end_of_an_answer_are_stray)
{
	set_up();
	ck_assert_int_eq(run(JH_EXPECT_SIGNATURE, 'I', "DONE s1; DONE s1"), JH_ANSWER_STRAY);
	tear_down();
	set_up();
	ck_assert_int_eq(run(JH_EXPECT_SIGNATURE, 'I', "DONE s1; ROW a"), JH_ANSWER_STRAY);
	tear_down();
	set_up();
	ck_assert_int_eq(run(JH_EXPECT_SIGNATURE, 'I', "ERR FAILED x; DONE s1"), JH_ANSWER_STRAY);
	tear_down();
}
END_TEST

START_TEST(test_signatures_are_kept_up_to_a_limit)
{
	unsigned i;

	set_up();
	for (i = 0; i < JH_ANSWERS_MAX; i++) {
		char *text = g_strdup_printf("DONE s%u; READY I 1.1", i);

		ck_assert(jh_answers_can_expect(&answers));
		ck_assert_int_eq(run(JH_EXPECT_SIGNATURE, 'I', text), JH_ANSWER_COMPLETE);
		g_free(text);
	}
	ck_assert(!jh_answers_can_expect(&answers));
	ck_assert_int_eq(add("DONE s0; READY I 1.1"), JH_ANSWER_REPEATED);
	tear_down();
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		test_complete_answer_has_its_lines,
		test_repeated_signature_is_dropped,
		test_repeated_signature_with_other_rows_is_stray,
		test_new_signature_without_a_statement_is_stray,
		test_data_statement_needs_a_signature,
		test_new_signature_is_that_of_the_outstanding_statement,
		test_begin_is_told_from_a_repeated_setting_by_its_state,
		test_status_is_told_from_other_answers,
		test_connection_ends_with_its_first_error,
		test_answer_that_began_before_the_statement_is_not_its_own,
		test_ready_alone_answers_only_start,
		test_lines_after_the_end_of_an_answer_are_stray,
		test_signatures_are_kept_up_to_a_limit,
		NULL,
	};

	return run_tests("answers", tests);
}
