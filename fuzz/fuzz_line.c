#include "jh_forwarded.h"
#include "jh_line.h"
#include "platform/platform.h"

#include <string.h>

/* The input begins with the sizes of the segments, less one, which are used in turn. */
#define SIZES 4

#define FIELD(string) ((jh_text_t){ .bytes = (string), .length = strlen(string) })

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

/* Reads a line as members do. Return: number of bytes before the first CR LF, or all if none */
static size_t read_strictly(const char *bytes, size_t length)
{
	size_t i;

	for (i = 0; i + 1 < length; i++) {
		if (bytes[i] == '\r' && bytes[i + 1] == '\n')
			return i;
	}
	return length;
}

/* Removes the first word and the space after it from @text. */
static jh_text_t split_word(jh_text_t *text)
{
	jh_text_t word = { .bytes = text->bytes };

	while (word.length < text->length && word.bytes[word.length] != ' ')
		word.length++;
	text->bytes += MIN(word.length + 1, text->length);
	text->length -= MIN(word.length + 1, text->length);
	return word;
}

static bool is_equal(jh_text_t a, const void *bytes, size_t length)
{
	return a.length == length && (length == 0 || memcmp(a.bytes, bytes, length) == 0);
}

static bool is_equal_field(const ProtobufCBinaryData *field, jh_text_t text)
{
	return is_equal(text, field->data, field->len);
}

/* The member reads one line, which has the words of @head and ends with the bytes of @tail. */
static void check_output(GString *out, const char *head, jh_text_t tail)
{
	jh_text_t text = { .bytes = out->str, .length = out->len };
	char **words = g_strsplit(head, " ", 0);
	unsigned i;

	g_assert(read_strictly(out->str, out->len) + 2 == out->len);
	text.length -= 2;
	for (i = 0; words[i]; i++)
		g_assert(is_equal(split_word(&text), words[i], strlen(words[i])));
	g_assert(is_equal(text, tail.bytes, tail.length));
	g_strfreev(words);
	g_string_free(out, TRUE);
}

/* A statement keeps its bytes on the way to another VM, which accepts it. */
static void check_forwarded(const char *id, jh_statement_type_t type, jh_text_t text,
			    jh_text_t prepared, jh_text_t name, jh_text_t value)
{
	GByteArray *packed = g_byte_array_new();
	Jh__Frame *frame = jh_frame_new(JH__FRAME__BODY_STATEMENT);
	Jh__Statement *statement = frame->statement;
	jh_error_t err = JH_ERROR_INIT;
	size_t consumed;

	statement->operation = 1;
	statement->timeout_us = 1;
	statement->type = type;
	statement->group = g_strdup("g");
	statement->request_id = g_strdup(id);
	if (type == JH_STATEMENT_EXECUTE) {
		statement->prepared_text = jh_frame_bytes(prepared.bytes, prepared.length);
		statement->arguments = jh_frame_bytes(text.bytes, text.length);
	} else {
		statement->text = jh_frame_bytes(text.bytes, text.length);
	}
	if (name.bytes) {
		statement->values = g_new(Jh__SessionValue *, 1);
		statement->values[0] = g_new(Jh__SessionValue, 1);
		jh__session_value__init(statement->values[0]);
		statement->values[0]->name = g_strndup(name.bytes, name.length);
		statement->values[0]->value = jh_frame_bytes(value.bytes, value.length);
		statement->n_values = 1;
	}
	jh_frame_pack(frame, packed);
	jh_frame_free(frame);
	g_assert(jh_frame_unpack(packed->data, packed->len, &consumed, &frame, &err) == 0);
	g_assert(frame && frame->body_case == JH__FRAME__BODY_STATEMENT);
	statement = frame->statement;
	/* An empty id or name is one that jh_forwarded_is_valid() refuses. */
	g_assert(jh_forwarded_is_valid(statement) == (*id && (!name.bytes || name.length > 0)));
	g_assert(strcmp(statement->request_id, id) == 0);
	if (type == JH_STATEMENT_EXECUTE) {
		g_assert(is_equal_field(&statement->prepared_text, prepared));
		g_assert(is_equal_field(&statement->arguments, text));
	} else {
		g_assert(is_equal_field(&statement->text, text));
	}
	if (name.bytes) {
		g_assert(is_equal(name, statement->values[0]->name,
				  strlen(statement->values[0]->name)));
		g_assert(is_equal_field(&statement->values[0]->value, value));
	}
	jh_frame_free(frame);
	g_byte_array_free(packed, TRUE);
}

static void check_plain(const jh_caller_message_t *message, jh_text_t text)
{
	const jh_position_t after = { .term = 3, .index = 1207 };
	char *head = g_strdup_printf("QUERY %s", message->id);
	char *head_after = g_strdup_printf("QUERY %s AFTER 3.1207", message->id);
	GString *out = g_string_new(NULL);

	jh_line_wire.put_statement(out, message->id, NULL, message->statement.text);
	check_output(out, head, text);
	out = g_string_new(NULL);
	jh_line_wire.put_statement(out, message->id, &after, message->statement.text);
	check_output(out, head_after, text);
	check_forwarded(message->id, message->statement.type, text, (jh_text_t){ 0 },
			(jh_text_t){ 0 }, (jh_text_t){ 0 });
	g_free(head);
	g_free(head_after);
}

static void check_set(const jh_caller_message_t *message, jh_text_t name, jh_text_t value)
{
	const jh_statement_t *statement = &message->statement;
	char *head = g_strdup_printf("QUERY - SET %s", statement->name);
	GString *out = g_string_new(NULL);

	g_assert(is_equal(name, statement->name, strlen(statement->name)));
	jh_line_wire.put_internal_statement(out, JH_STATEMENT_SET, statement->name, statement->rest,
					    0);
	check_output(out, head, value);
	check_forwarded(message->id, JH_STATEMENT_READ, FIELD("READ k"), (jh_text_t){ 0 }, name,
			value);
	g_free(head);
}

static void check_prepare(const jh_caller_message_t *message, jh_text_t kind, jh_text_t shape)
{
	const jh_statement_t *statement = &message->statement;
	/* The gateway makes the name from the shape. */
	GBytes *text = jh_line_wire.format_prepare_text(statement->rest, statement->prepares_write,
							statement->rest);
	GString *out = g_string_new(NULL);
	jh_text_t tail;

	g_assert(is_equal(kind, "WRITE", strlen("WRITE")) == statement->prepares_write);
	jh_line_wire.put_statement(out, NULL, NULL, jh_text_of(text));
	g_assert(read_strictly(out->str, out->len) + 2 == out->len);
	tail = (jh_text_t){ .bytes = out->str, .length = out->len - 2 };
	g_assert(is_equal(split_word(&tail), "QUERY", strlen("QUERY")));
	g_assert(is_equal(split_word(&tail), "-", 1));
	g_assert(is_equal(split_word(&tail), "PREPARE", strlen("PREPARE")));
	g_assert(is_equal(split_word(&tail), shape.bytes, shape.length));
	g_assert(is_equal(split_word(&tail), kind.bytes, kind.length));
	g_assert(is_equal(tail, shape.bytes, shape.length));
	g_string_free(out, TRUE);
	g_bytes_unref(text);
	check_forwarded(message->id, JH_STATEMENT_EXECUTE, FIELD("k"), shape, (jh_text_t){ 0 },
			(jh_text_t){ 0 });
}

static void check_execute(const jh_caller_message_t *message, jh_text_t arguments)
{
	char *head = g_strdup_printf("QUERY %s EXEC r_q", message->id);
	GBytes *text = jh_line_wire.format_execute_text(FIELD("r_q"), message->statement.rest);
	GString *out = g_string_new(NULL);

	jh_line_wire.put_statement(out, message->id, NULL, jh_text_of(text));
	check_output(out, head, arguments);
	g_bytes_unref(text);
	g_free(head);
	check_forwarded(message->id, JH_STATEMENT_EXECUTE, arguments, FIELD("q"), (jh_text_t){ 0 },
			(jh_text_t){ 0 });
}

/* @text: the line, split here without the parser */
static void check_statement(const jh_caller_message_t *message, jh_text_t text)
{
	jh_text_t rest, name;

	split_word(&text);
	g_assert(is_equal(split_word(&text), message->id, strlen(message->id)));
	rest = text;
	switch (message->statement.type) {
	case JH_STATEMENT_READ:
	case JH_STATEMENT_WRITE:
		check_plain(message, text);
		break;
	case JH_STATEMENT_SET:
		split_word(&rest);
		name = split_word(&rest);
		check_set(message, name, rest);
		break;
	case JH_STATEMENT_PREPARE:
		split_word(&rest);
		split_word(&rest);
		name = split_word(&rest);
		check_prepare(message, name, rest);
		break;
	case JH_STATEMENT_EXECUTE:
		split_word(&rest);
		split_word(&rest);
		check_execute(message, rest);
		break;
	default:
		break;
	}
}

static void check_caller_line(const char *line, size_t length)
{
	char *words = g_memdup2(line, length + 1);
	jh_caller_message_t message;

	if (jh_line_wire.parse_caller(words, length, &message) && message.type == JH_CALLER_QUERY)
		check_statement(&message, (jh_text_t){ .bytes = line, .length = length });
	g_free(words);
}

/* A line's bytes are those of a row as well, and none is lost on the way to its answer. */
static void check_row(const char *line, size_t length)
{
	GString *in = g_string_new("ROW ");
	jh_member_message_t message;
	size_t taken_length;
	char *taken;

	g_string_append_len(in, line, (gssize)length);
	g_string_append(in, "\r\n");
	taken = jh_line_take(in, &taken_length);
	g_assert(taken && in->len == 0 && taken_length == strlen("ROW ") + length);
	g_assert(memcmp(taken + strlen("ROW "), line, length) == 0);
	g_assert(jh_line_wire.parse_member(taken, taken_length, &message));
	g_assert(message.type == JH_MEMBER_ROW);
	g_assert(memcmp(message.text, line, length) == 0);
	g_free(taken);
	g_string_free(in, TRUE);
}

/*
 * Any bytes, in segments of any size, are the lines that a reader finds who ends a line at CR LF
 * only. A statement among them reaches a member as one line with the caller's bytes.
 */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	const char *bytes = (const char *)data + SIZES;
	size_t length, received = 0, start = 0, line_length;
	GString *in;
	unsigned i;

	if (size < SIZES)
		return 0;
	length = size - SIZES;
	in = g_string_new(NULL);
	for (i = 0; received < length; i++) {
		size_t count = MIN((size_t)data[i % SIZES] + 1, length - received);
		char *line;

		g_string_append_len(in, bytes + received, (gssize)count);
		received += count;
		while ((line = jh_line_take(in, &line_length))) {
			g_assert(line_length == read_strictly(bytes + start, length - start));
			g_assert(memcmp(line, bytes + start, line_length) == 0);
			g_assert(line[line_length] == '\0');
			check_caller_line(line, line_length);
			check_row(line, line_length);
			g_free(line);
			start += line_length + 2;
			g_assert(start <= received);
		}
		g_assert(in->len == received - start);
	}
	g_assert(read_strictly(bytes + start, length - start) == length - start);
	g_string_free(in, TRUE);
	return 0;
}
