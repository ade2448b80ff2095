#ifndef JH_ANSWERS_H
#define JH_ANSWERS_H

#include "jh_wire.h"

/**
 * DOC: Answers of a member
 *
 * A member's answer does not name its statement, and a member may send an answer again, at once or
 * later. jh_answers_t says for each line of a connection whether the answer that it ends is that of
 * the statement which is outstanding.
 *
 * A member sends the answers to the statements of a connection in their order, and gives each
 * signature once. So a signature that the connection has not had yet is that of the outstanding
 * statement, and one that it has had marks a repeated answer. Of an answer without a signature,
 * only the first of its kind is certain on a connection. docs/internals/answers.md has the proof,
 * and what remains undecidable.
 */

/** enum jh_expected - form of the answer to the outstanding statement */
typedef enum jh_expected {
	/** @JH_EXPECT_NOTHING: no statement is outstanding */
	JH_EXPECT_NOTHING,
	/** @JH_EXPECT_READY: READY alone, to START */
	JH_EXPECT_READY,
	/** @JH_EXPECT_DONE: success without rows, for which no signature is needed, or an error */
	JH_EXPECT_DONE,
	/** @JH_EXPECT_STATUS: rows and success without a signature, or an error */
	JH_EXPECT_STATUS,
	/** @JH_EXPECT_SIGNATURE: any rows and a signature, or an error */
	JH_EXPECT_SIGNATURE,
} jh_expected_t;

/** enum jh_answer_verdict - what a line means for the outstanding statement */
typedef enum jh_answer_verdict {
	/** @JH_ANSWER_PARTIAL: more lines of the answer follow */
	JH_ANSWER_PARTIAL,
	/** @JH_ANSWER_COMPLETE: READY ended the answer to the outstanding statement */
	JH_ANSWER_COMPLETE,
	/** @JH_ANSWER_REPEATED: READY ended an answer that was received before; it is dropped */
	JH_ANSWER_REPEATED,
	/**
	 * @JH_ANSWER_STRAY: the line belongs neither to the outstanding statement nor to an earlier
	 * answer, so that nothing that follows on the connection can be assigned
	 */
	JH_ANSWER_STRAY,
} jh_answer_verdict_t;

/**
 * struct jh_answers - the answers of one connection
 * @expected: form of the next answer
 * @expected_state: transaction state that JH_EXPECT_DONE leads to
 * @state: transaction state in the last READY that ended an answer to a statement, NUL before it
 * @is_early: the answer in progress began before the outstanding statement was sent
 * @lines: lines of the answer in progress, ROW and DONE, unchanged
 * @is_complete: the answer is complete; it is kept until the next line or statement
 * @has_rows: ROW of the answer in progress was received
 * @has_ended: DONE or ERR of the answer in progress was received
 * @is_done: it was DONE
 * @signature: its signature, NULL if it has none; owned
 * @code: error code of ERR, else JH_CODE_NONE
 * @text: message of ERR, NULL if there is none; owned
 * @signed_answers: signatures received so far, and a hash of the rows of each
 * @done_states: transaction states of the answers without a signature received so far
 * @has_status: a status was received
 * @has_error: an error was received
 * @is_uncertain: since the last signed answer or status, a success without a signature was taken
 *	that may be a repeated one, so that an error may be that of its statement
 */
typedef struct jh_answers {
	jh_expected_t expected;
	char expected_state;
	char state;
	bool is_early;
	GString *lines;
	bool is_complete;
	bool has_rows;
	bool has_ended;
	bool is_done;
	char *signature;
	jh_code_t code;
	char *text;
	GHashTable *signed_answers;
	GString *done_states;
	bool has_status;
	bool has_error;
	bool is_uncertain;
} jh_answers_t;

/** jh_answers_init() - initialise for a new connection */
void jh_answers_init(jh_answers_t *answers);

/** jh_answers_clear() - free what @answers owns */
void jh_answers_clear(jh_answers_t *answers);

/**
 * jh_answers_expect() - a statement is about to be sent
 * @expected: form of its answer
 * @state: transaction state after its success, for JH_EXPECT_DONE
 * @has_input: bytes of an incomplete line have been received already
 */
void jh_answers_expect(jh_answers_t *answers, jh_expected_t expected, char state, bool has_input);

/**
 * jh_answers_add() - take the next line of the connection
 * @message: the parsed line
 * @line: the line without its end, @length bytes
 *
 * Return: after JH_ANSWER_COMPLETE, no statement is outstanding and @answers has the answer; after
 * JH_ANSWER_REPEATED, the answer has been dropped; after JH_ANSWER_STRAY, the connection must be
 * closed
 */
jh_answer_verdict_t jh_answers_add(jh_answers_t *answers, const jh_member_message_t *message,
				   const char *line, size_t length);

/**
 * jh_answers_can_expect() - whether a further statement may be sent on the connection
 *
 * False after an error, whose repetition could not be told from the error of a later statement, and
 * once JH_ANSWERS_MAX signatures are known.
 */
bool jh_answers_can_expect(const jh_answers_t *answers);

/** JH_ANSWERS_MAX - signatures that are kept of one connection */
#define JH_ANSWERS_MAX 2048u

#endif
