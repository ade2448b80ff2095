#include "jh_answers.h"

#include <string.h>

void jh_answers_init(jh_answers_t *answers)
{
	*answers = (jh_answers_t){
		.lines = g_string_new(NULL),
		.signed_answers = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL),
		.done_states = g_string_new(NULL),
	};
}

/* Drops the answer in progress, or the complete one. */
static void answer_reset(jh_answers_t *answers)
{
	g_string_truncate(answers->lines, 0);
	answers->is_early = false;
	answers->is_complete = false;
	answers->has_rows = false;
	answers->has_ended = false;
	answers->is_done = false;
	answers->code = JH_CODE_NONE;
	g_clear_pointer(&answers->signature, g_free);
	g_clear_pointer(&answers->text, g_free);
}

void jh_answers_clear(jh_answers_t *answers)
{
	answer_reset(answers);
	g_string_free(answers->lines, TRUE);
	g_hash_table_destroy(answers->signed_answers);
	g_string_free(answers->done_states, TRUE);
}

bool jh_answers_can_expect(const jh_answers_t *answers)
{
	return !answers->has_error && g_hash_table_size(answers->signed_answers) < JH_ANSWERS_MAX;
}

void jh_answers_expect(jh_answers_t *answers, jh_expected_t expected, char state, bool has_input)
{
	if (answers->is_complete)
		answer_reset(answers);
	answers->is_early = has_input || answers->has_rows || answers->has_ended;
	answers->expected = expected;
	answers->expected_state = state;
}

/* Return: whether the answer in progress may be that of the outstanding statement */
static bool is_awaited(const jh_answers_t *answers, jh_expected_t expected)
{
	return answers->expected == expected && !answers->is_early;
}

static unsigned hash_rows(const GString *rows)
{
	GBytes *bytes = g_bytes_new_static(rows->str, rows->len);
	unsigned hash = g_bytes_hash(bytes);

	g_bytes_unref(bytes);
	return hash;
}

static jh_answer_verdict_t judge_signed(jh_answers_t *answers)
{
	unsigned hash = hash_rows(answers->lines);
	void *known;

	if (g_hash_table_lookup_extended(answers->signed_answers, answers->signature, NULL,
					 &known)) {
		/* Rows that are not its own belong to the answer during which it came. */
		return !answers->has_rows || GPOINTER_TO_UINT(known) == hash ? JH_ANSWER_REPEATED :
									       JH_ANSWER_STRAY;
	}
	if (answers->is_early || answers->expected == JH_EXPECT_NOTHING ||
	    answers->expected == JH_EXPECT_READY)
		return JH_ANSWER_STRAY;
	answers->is_uncertain = false;
	g_hash_table_insert(answers->signed_answers, g_strdup(answers->signature),
			    GUINT_TO_POINTER(hash));
	return JH_ANSWER_COMPLETE;
}

static jh_answer_verdict_t judge_status(jh_answers_t *answers)
{
	if (is_awaited(answers, JH_EXPECT_STATUS)) {
		answers->has_status = true;
		answers->is_uncertain = false;
		return JH_ANSWER_COMPLETE;
	}
	return answers->has_status ? JH_ANSWER_REPEATED : JH_ANSWER_STRAY;
}

static jh_answer_verdict_t judge_done(jh_answers_t *answers, char state)
{
	bool is_known = strchr(answers->done_states->str, state) != NULL;

	if (is_awaited(answers, JH_EXPECT_DONE) &&
	    (state == answers->expected_state || !is_known)) {
		/* A repeated READY may have been read anew, and has the state of now then. */
		if (is_known || (answers->done_states->len > 0 && state == answers->state))
			answers->is_uncertain = true;
		if (!is_known)
			g_string_append_c(answers->done_states, state);
		return JH_ANSWER_COMPLETE;
	}
	return is_known ? JH_ANSWER_REPEATED : JH_ANSWER_STRAY;
}

/* An error is the first of its connection, so that it repeats no other. */
static jh_answer_verdict_t judge_error(jh_answers_t *answers)
{
	if (answers->expected == JH_EXPECT_NOTHING || answers->is_early || answers->has_error)
		return JH_ANSWER_STRAY;
	answers->has_error = true;
	return JH_ANSWER_COMPLETE;
}

static jh_answer_verdict_t judge_ready(jh_answers_t *answers, char state)
{
	if (!answers->has_ended && answers->has_rows)
		return JH_ANSWER_STRAY;
	/* Only START is answered by READY alone. */
	if (!answers->has_ended)
		return is_awaited(answers, JH_EXPECT_READY) ? JH_ANSWER_COMPLETE :
							      JH_ANSWER_REPEATED;
	if (!answers->is_done)
		return judge_error(answers);
	if (answers->signature)
		return judge_signed(answers);
	if (answers->has_rows)
		return judge_status(answers);
	return judge_done(answers, state);
}

static jh_answer_verdict_t end_answer(jh_answers_t *answers, char state)
{
	jh_answer_verdict_t verdict = judge_ready(answers, state);

	if (verdict == JH_ANSWER_COMPLETE) {
		answers->expected = JH_EXPECT_NOTHING;
		answers->state = state;
		answers->is_complete = true;
	} else if (verdict == JH_ANSWER_REPEATED) {
		answer_reset(answers);
	}
	return verdict;
}

jh_answer_verdict_t jh_answers_add(jh_answers_t *answers, const jh_member_message_t *message,
				   const char *line, size_t length)
{
	if (answers->is_complete)
		answer_reset(answers);
	if (message->type == JH_MEMBER_READY)
		return end_answer(answers, message->state);
	if (answers->has_ended || message->type == JH_MEMBER_INVALID)
		return JH_ANSWER_STRAY;
	if (message->type == JH_MEMBER_ERROR) {
		answers->code = message->code;
		answers->text = g_strdup(message->text);
	} else {
		g_string_append_len(answers->lines, line, (gssize)length);
		g_string_append(answers->lines, "\r\n");
	}
	answers->has_rows = answers->has_rows || message->type == JH_MEMBER_ROW;
	answers->has_ended = message->type != JH_MEMBER_ROW;
	answers->is_done = message->type == JH_MEMBER_DONE;
	if (answers->is_done)
		answers->signature = g_strdup(message->signature);
	return JH_ANSWER_PARTIAL;
}
