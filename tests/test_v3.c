/*
 * Guards against protocol messages that are lost or misread if they arrive in pieces, and against
 * lengths out of bounds and truncated messages that are accepted.
 */

#include "jh_v3.h"

#include <check.h>
#include <stdlib.h>
#include <string.h>

static GByteArray *make_bind_message(void)
{
	GByteArray *out = g_byte_array_new();
	guint length_offset = jh_v3_message_begin(out, JH_V3_BIND);

	jh_v3_put_string(out, "portal");
	jh_v3_put_string(out, "statement");
	jh_v3_put_i16(out, 1);
	jh_v3_put_i16(out, 1);
	jh_v3_put_i16(out, 2);
	jh_v3_put_i32(out, 4);
	jh_v3_put_i32(out, 42);
	jh_v3_put_i32(out, -1);
	jh_v3_put_i16(out, 0);
	jh_v3_message_end(out, length_offset);
	return out;
}

static void reader_init_with_bytes(jh_v3_reader_t *reader, const GByteArray *bytes)
{
	jh_v3_reader_init(reader, 0, 0);
	reader->startup = false;
	jh_v3_reader_push(reader, bytes->data, bytes->len);
}

/* Messages that arrive one byte at a time are returned complete and in order. */
START_TEST(test_reader_returns_messages_received_byte_by_byte)
{
	const char *const parameters[] = { "user", "kitchen", "database", "roster", NULL };
	GByteArray *out = g_byte_array_new();
	jh_error_t err = JH_ERROR_INIT;
	jh_v3_reader_t reader;
	jh_v3_startup_t startup;
	jh_v3_msg_t msg;
	unsigned queries = 0;
	guint i;

	jh_v3_write_startup(out, parameters);
	jh_v3_write_query(out, "SELECT 1");
	jh_v3_write_query(out, "SELECT 2");
	jh_v3_reader_init(&reader, 0, 0);
	for (i = 0; i < out->len; i++) {
		jh_v3_reader_push(&reader, out->data + i, 1);
		if (jh_v3_reader_next(&reader, &msg, &err) != 1)
			continue;
		if (reader.startup) {
			ck_assert_int_eq(jh_v3_startup_parse(&startup, &msg, &err), 0);
			ck_assert_str_eq(jh_v3_startup_find_parameter(&startup, "database"),
					 "roster");
			ck_assert_ptr_null(jh_v3_startup_find_parameter(&startup, "options"));
			jh_v3_startup_clear(&startup);
			reader.startup = false;
			continue;
		}
		ck_assert_str_eq(jh_v3_string_read(&msg, &err), queries ? "SELECT 2" : "SELECT 1");
		queries++;
	}
	ck_assert_uint_eq(queries, 2);
	ck_assert_int_eq(jh_v3_reader_next(&reader, &msg, &err), 0);
	ck_assert_ptr_null(reader.buffer);
	jh_v3_reader_clear(&reader);
	g_byte_array_free(out, TRUE);
}
END_TEST

START_TEST(test_reader_rejects_lengths_out_of_bounds)
{
	const uint8_t long_message[] = { 'Q', 0x7f, 0xff, 0xff, 0xff };
	const uint8_t short_message[] = { 'Q', 0, 0, 0, 3 };
	const uint8_t long_startup[] = { 0, 0, 0x40, 0 };
	jh_error_t err = JH_ERROR_INIT;
	jh_v3_reader_t reader;
	jh_v3_msg_t msg;

	jh_v3_reader_init(&reader, 0, 0);
	jh_v3_reader_push(&reader, long_startup, sizeof(long_startup));
	ck_assert_int_eq(jh_v3_reader_next(&reader, &msg, &err), -1);
	ck_assert_int_eq(err.code, JH_ERR_PROTOCOL);
	jh_v3_reader_clear(&reader);

	jh_v3_reader_init(&reader, 0, 0);
	reader.startup = false;
	jh_v3_reader_push(&reader, long_message, sizeof(long_message));
	ck_assert_int_eq(jh_v3_reader_next(&reader, &msg, &err), -1);
	jh_v3_reader_clear(&reader);

	jh_v3_reader_init(&reader, 0, 0);
	reader.startup = false;
	jh_v3_reader_push(&reader, short_message, sizeof(short_message));
	ck_assert_int_eq(jh_v3_reader_next(&reader, &msg, &err), -1);
	jh_v3_reader_clear(&reader);
}
END_TEST

START_TEST(test_bind_is_decoded)
{
	GByteArray *out = make_bind_message();
	jh_error_t err = JH_ERROR_INIT;
	jh_v3_reader_t reader;
	jh_v3_bind_t bind;
	jh_v3_msg_t msg;

	reader_init_with_bytes(&reader, out);
	ck_assert_int_eq(jh_v3_reader_next(&reader, &msg, &err), 1);
	ck_assert_int_eq(jh_v3_bind_read(&bind, &msg, &err), 0);
	ck_assert_str_eq(bind.portal, "portal");
	ck_assert_str_eq(bind.statement, "statement");
	ck_assert_uint_eq(bind.values->len, 2);
	ck_assert_uint_eq(g_array_index(bind.values, jh_v3_value_t, 0).length, 4);
	ck_assert_ptr_null(g_array_index(bind.values, jh_v3_value_t, 1).data);
	ck_assert_int_eq(jh_v3_formats_get(bind.formats, 1), 1);
	jh_v3_bind_clear(&bind);
	jh_v3_reader_clear(&reader);
	g_byte_array_free(out, TRUE);
}
END_TEST

/* A body that is truncated at any byte is rejected; the complete body is accepted. */
START_TEST(test_truncated_bind_is_rejected)
{
	GByteArray *out = make_bind_message();
	const size_t header_bytes = 5;
	size_t length;

	for (length = 0; length <= out->len - header_bytes; length++) {
		const bool is_complete = length == out->len - header_bytes;
		uint8_t *body = g_memdup2(out->data + header_bytes, length);
		jh_v3_msg_t msg = { .type = JH_V3_BIND, .body = body, .length = length };
		jh_error_t err = JH_ERROR_INIT;
		jh_v3_bind_t bind;

		ck_assert_int_eq(jh_v3_bind_read(&bind, &msg, &err), is_complete ? 0 : -1);
		if (is_complete)
			jh_v3_bind_clear(&bind);
		g_free(body);
	}
	g_byte_array_free(out, TRUE);
}
END_TEST

/*
 * A prepared statement keeps the parameter types of its Parse message. They were lost with the
 * message, so that later Bind messages left the types to the database.
 */
START_TEST(test_parameter_types_outlive_their_message)
{
	GByteArray *out = g_byte_array_new();
	guint length_offset = jh_v3_message_begin(out, JH_V3_PARSE);
	jh_error_t err = JH_ERROR_INIT;
	jh_v3_reader_t reader;
	jh_v3_parse_t parse;
	jh_v3_msg_t msg;
	GArray *types;

	jh_v3_put_string(out, "statement");
	jh_v3_put_string(out, "SELECT $1");
	jh_v3_put_i16(out, 1);
	jh_v3_put_i32(out, 25);
	jh_v3_message_end(out, length_offset);
	reader_init_with_bytes(&reader, out);
	ck_assert_int_eq(jh_v3_reader_next(&reader, &msg, &err), 1);
	ck_assert_int_eq(jh_v3_parse_read(&parse, &msg, &err), 0);
	types = g_array_ref(parse.types);
	jh_v3_parse_clear(&parse);
	ck_assert_uint_eq(types->len, 1);
	ck_assert_uint_eq(g_array_index(types, uint32_t, 0), 25);
	g_array_unref(types);
	jh_v3_reader_clear(&reader);
	g_byte_array_free(out, TRUE);
}
END_TEST

START_TEST(test_error_response_has_its_fields)
{
	const jh_v3_report_t report = { .severity = "ERROR",
					.sqlstate = "25P02",
					.message = "failed",
					.hint = "retry after 5 ms" };
	GByteArray *out = g_byte_array_new();
	jh_error_t err = JH_ERROR_INIT;
	jh_v3_reader_t reader;
	jh_v3_cursor_t cursor;
	jh_v3_msg_t msg;
	GString *codes = g_string_new(NULL);
	uint8_t code;

	jh_v3_write_error(out, &report);
	reader_init_with_bytes(&reader, out);
	ck_assert_int_eq(jh_v3_reader_next(&reader, &msg, &err), 1);
	cursor = jh_v3_cursor(&msg);
	while ((code = jh_v3_get_u8(&cursor))) {
		g_string_append_c(codes, (char)code);
		jh_v3_get_string(&cursor);
	}
	ck_assert_str_eq(codes->str, "SVCMH");
	ck_assert(!cursor.failed && cursor.left == 0);
	g_string_free(codes, TRUE);
	jh_v3_reader_clear(&reader);
	g_byte_array_free(out, TRUE);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("v3");
	TCase *tcase = tcase_create("codec");
	SRunner *runner;
	int failed;

	tcase_add_test(tcase, test_reader_returns_messages_received_byte_by_byte);
	tcase_add_test(tcase, test_reader_rejects_lengths_out_of_bounds);
	tcase_add_test(tcase, test_bind_is_decoded);
	tcase_add_test(tcase, test_truncated_bind_is_rejected);
	tcase_add_test(tcase, test_parameter_types_outlive_their_message);
	tcase_add_test(tcase, test_error_response_has_its_fields);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
