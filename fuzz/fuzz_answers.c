#include "jh_answers.h"
#include "jh_line.h"
#include "platform/platform.h"

#include <string.h>

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

typedef enum kind {
	KIND_START,
	KIND_SET,
	KIND_BEGIN,
	KIND_ROLLBACK,
	KIND_STATUS,
	KIND_DATA,
	KIND_COMMIT,
	KINDS,
} kind_t;

static const jh_expected_t expected_forms[KINDS] = {
	[KIND_START] = JH_EXPECT_READY,	     [KIND_SET] = JH_EXPECT_DONE,
	[KIND_BEGIN] = JH_EXPECT_DONE,	     [KIND_ROLLBACK] = JH_EXPECT_DONE,
	[KIND_STATUS] = JH_EXPECT_STATUS,    [KIND_DATA] = JH_EXPECT_SIGNATURE,
	[KIND_COMMIT] = JH_EXPECT_SIGNATURE,
};

/**
 * struct answer - an answer that the member sent
 * @statement: index of its statement
 * @start: offset of its first byte in all that the member sent
 * @body: lines before READY; owned
 * @state: state in READY
 * @text: signature or message of the error; owned, NULL if it has none
 */
typedef struct answer {
	size_t statement;
	bool is_copy;
	bool is_error;
	size_t start;
	char *body;
	size_t body_length;
	char state;
	char *text;
} answer_t;

/**
 * struct play - one connection, with the member at its other end
 * @statements: kinds of the statements sent, kind_t
 * @answered: number of statements that the member has answered
 * @sent: answers that the member sent, answer_t, copies included
 * @ended: number of them whose READY was taken
 * @in_flight: bytes that were sent and not received
 * @in: bytes received and not taken
 * @received: number of bytes received
 * @received_at_send: the same when the last statement was sent
 * @member_state, @state: transaction state at the member and as the proxy knows it
 * @unsigned_kinds: kinds of the answers without a signature that were taken; see
 *	check_unsigned()
 * @is_misled: an answer without a signature was taken for that of another statement, which is
 *	allowed after the first of its kind
 * @is_closed: the proxy must not use the connection any more
 */
typedef struct play {
	jh_answers_t answers;
	GArray *statements;
	size_t answered;
	GArray *sent;
	size_t ended;
	GString *in_flight;
	GString *in;
	size_t received;
	size_t received_at_send;
	char member_state;
	char state;
	GString *unsigned_kinds;
	bool is_misled;
	bool is_closed;
} play_t;

static kind_t kind_of(const play_t *play, size_t statement)
{
	return g_array_index(play->statements, kind_t, statement);
}

static void answer_clear(void *data)
{
	answer_t *answer = data;

	g_free(answer->body);
	g_free(answer->text);
}

/* ---- The member ---- */

/* Appends an answer, with a position of its own, to what the member has sent. */
static void send_answer(play_t *play, answer_t answer)
{
	answer.start = play->received + play->in_flight->len;
	g_string_append_len(play->in_flight, answer.body, (gssize)answer.body_length);
	g_string_append_printf(play->in_flight, "READY %c 1.%u\r\n", answer.state, play->sent->len);
	g_array_append_val(play->sent, answer);
}

static char state_after(const play_t *play, kind_t kind)
{
	switch (kind) {
	case KIND_BEGIN:
		return 'T';
	case KIND_START:
	case KIND_ROLLBACK:
	case KIND_COMMIT:
		return 'I';
	default:
		return play->member_state;
	}
}

/* Answers the next statement, by an error if bit 7 of @choice is set. */
static void answer_next(play_t *play, uint8_t choice)
{
	GString *body = g_string_new(NULL);
	size_t statement = play->answered;
	answer_t answer = { .statement = statement };
	kind_t kind;

	if (statement == play->statements->len) {
		g_string_free(body, TRUE);
		return;
	}
	play->answered++;
	kind = kind_of(play, statement);
	if (choice & 0x80) {
		answer.is_error = true;
		answer.text = g_strdup_printf("e%zu", statement);
		g_string_printf(body, "ERR BUSY %s\r\n", answer.text);
		play->member_state = play->member_state == 'T' ? 'E' : play->member_state;
	} else if (expected_forms[kind] == JH_EXPECT_SIGNATURE) {
		unsigned rows;

		for (rows = choice & 3; rows > 0; rows--) {
			g_string_append(body, "ROW ");
			g_string_append_c(body, (char)choice);
			g_string_append_printf(body, "%u\r\n", rows);
		}
		answer.text = g_strdup_printf("s%zu", statement);
		g_string_append_printf(body, "DONE %s\r\n", answer.text);
	} else if (kind == KIND_STATUS) {
		g_string_append(body, "ROW replica 1 1.1 0 1 2 3\r\nDONE -\r\n");
	} else if (kind != KIND_START) {
		g_string_append(body, "DONE -\r\n");
	}
	if (!answer.is_error)
		play->member_state = state_after(play, kind);
	answer.state = play->member_state;
	answer.body_length = body->len;
	answer.body = g_string_free(body, FALSE);
	send_answer(play, answer);
}

static void repeat_answer(play_t *play, uint8_t choice)
{
	answer_t answer;

	if (play->sent->len == 0)
		return;
	answer = g_array_index(play->sent, answer_t, choice % play->sent->len);
	answer.is_copy = true;
	/* Its READY may be of now, but its state tells the kind of an answer without a signature.
	 */
	if (choice & 0x80 && answer.text)
		answer.state = play->member_state;
	answer.body = g_memdup2(answer.body, answer.body_length);
	answer.text = g_strdup(answer.text);
	send_answer(play, answer);
}

/* ---- The proxy ---- */

/*
 * Without a signature, only the first answer of its kind is certain: the first status, and the
 * first success with its transaction state. A later one has the form and the state expected.
 */
static void check_unsigned(play_t *play, const answer_t *answer, kind_t statement, bool is_own)
{
	bool is_status = kind_of(play, answer->statement) == KIND_STATUS;
	char kind = is_status ? 's' : answer->state;
	bool is_known = strchr(play->unsigned_kinds->str, kind) != NULL;

	g_assert(is_status == (statement == KIND_STATUS));
	g_assert(is_own || play->is_misled ||
		 (is_known && (is_status || answer->state == play->answers.expected_state)));
	play->is_misled = play->is_misled || !is_own;
	g_string_append_c(play->unsigned_kinds, kind);
}

/* The answer to the statement sent last is complete. */
static void check_complete(play_t *play, const answer_t *answer)
{
	const jh_answers_t *answers = &play->answers;
	size_t statement = play->statements->len - 1;
	bool is_own = !answer->is_copy && answer->statement == statement;

	g_assert(answer->start >= play->received_at_send);
	g_assert(answers->expected == JH_EXPECT_NOTHING);
	g_assert(answers->is_done == (!answer->is_error && answer->body_length > 0));
	if (answer->is_error) {
		/* A misled proxy takes the error of the statement that it was misled about. */
		g_assert(is_own || (play->is_misled && !answer->is_copy));
		g_assert(strcmp(answers->text, answer->text) == 0);
		g_assert(!jh_answers_can_expect(answers));
		play->is_closed = true;
	} else if (expected_forms[kind_of(play, statement)] == JH_EXPECT_SIGNATURE) {
		g_assert(is_own);
		g_assert(g_strcmp0(answers->signature, answer->text) == 0);
		g_assert(answers->lines->len == answer->body_length);
		g_assert(memcmp(answers->lines->str, answer->body, answer->body_length) == 0);
	} else if (kind_of(play, statement) == KIND_START) {
		g_assert(is_own);
	} else {
		g_assert(!answers->signature);
		check_unsigned(play, answer, kind_of(play, statement), is_own);
	}
	play->state = answer->state;
}

static void check_verdict(play_t *play, jh_answer_verdict_t verdict)
{
	const answer_t *answer = &g_array_index(play->sent, answer_t, play->ended);

	switch (verdict) {
	case JH_ANSWER_PARTIAL:
		return;
	case JH_ANSWER_COMPLETE:
		check_complete(play, answer);
		break;
	case JH_ANSWER_REPEATED:
		g_assert(answer->is_copy || play->is_misled);
		break;
	case JH_ANSWER_STRAY:
		/* A member that assigns its answers as assumed is not lost without need. */
		g_assert(play->is_misled);
		play->is_closed = true;
		break;
	}
	play->ended++;
}

/* Takes the lines received, up to the end of an answer. Return: whether that answer is complete */
static bool take_lines(play_t *play)
{
	jh_answer_verdict_t verdict = JH_ANSWER_PARTIAL;
	size_t length;
	char *line;

	while (verdict != JH_ANSWER_COMPLETE && verdict != JH_ANSWER_STRAY &&
	       (line = jh_line_take(play->in, &length))) {
		char *words = g_memdup2(line, length + 1);
		jh_member_message_t message;

		g_assert(jh_line_wire.parse_member(words, length, &message));
		verdict = jh_answers_add(&play->answers, &message, line, length);
		g_assert(verdict == JH_ANSWER_STRAY ||
			 (verdict == JH_ANSWER_PARTIAL) == (message.type != JH_MEMBER_READY));
		check_verdict(play, verdict);
		g_free(words);
		g_free(line);
	}
	return verdict == JH_ANSWER_COMPLETE;
}

/* Receives the next bytes, all if @count is 0. */
static void receive(play_t *play, uint8_t count)
{
	size_t length = count == 0 ? play->in_flight->len : MIN(count, play->in_flight->len);

	g_string_append_len(play->in, play->in_flight->str, (gssize)length);
	g_string_erase(play->in_flight, 0, (gssize)length);
	play->received += length;
}

/* Sends a statement if the connection may be used for it. */
static void send_statement(play_t *play, kind_t kind)
{
	bool is_complete;

	if (play->answers.expected != JH_EXPECT_NOTHING || !jh_answers_can_expect(&play->answers) ||
	    (kind == KIND_BEGIN && play->state != 'I') ||
	    (kind == KIND_COMMIT && play->state != 'T'))
		return;
	is_complete = take_lines(play);
	g_assert(!is_complete);
	if (play->is_closed)
		return;
	jh_answers_expect(&play->answers, expected_forms[kind],
			  kind == KIND_BEGIN	? 'T' :
			  kind == KIND_ROLLBACK ? 'I' :
						  play->state,
			  play->in->len > 0);
	play->received_at_send = play->received;
	g_array_append_val(play->statements, kind);
}

static void play_step(play_t *play, uint8_t action, uint8_t choice)
{
	switch (action % 4) {
	case 0:
		send_statement(play, KIND_SET + choice % (KINDS - KIND_SET));
		break;
	case 1:
		answer_next(play, choice);
		break;
	case 2:
		repeat_answer(play, choice);
		break;
	default:
		receive(play, choice);
		take_lines(play);
		break;
	}
}

/*
 * A member that answers each statement once, in their order, and repeats any of its answers at any
 * time, and a proxy that sends a statement when the one before it is answered. Each pair of bytes
 * is one step. The play knows to which statement each answer belongs.
 */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	play_t play = {
		.statements = g_array_new(FALSE, FALSE, sizeof(kind_t)),
		.sent = g_array_new(FALSE, FALSE, sizeof(answer_t)),
		.in_flight = g_string_new(NULL),
		.in = g_string_new(NULL),
		.member_state = 'I',
		.state = 'I',
		.unsigned_kinds = g_string_new(NULL),
	};
	size_t i;

	jh_answers_init(&play.answers);
	g_array_set_clear_func(play.sent, answer_clear);
	send_statement(&play, KIND_START);
	for (i = 0; i + 1 < size && !play.is_closed; i += 2)
		play_step(&play, data[i], data[i + 1]);
	jh_answers_clear(&play.answers);
	g_array_unref(play.statements);
	g_array_unref(play.sent);
	g_string_free(play.in_flight, TRUE);
	g_string_free(play.in, TRUE);
	g_string_free(play.unsigned_kinds, TRUE);
	return 0;
}
