#include "platform/platform.h"

#include <string.h>

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void parse_line_messages(const uint8_t *data, size_t size)
{
	jh_caller_message_t caller;
	jh_member_message_t member;
	jh_member_status_t status;
	char *line = g_strndup((const char *)data, size);
	char *caller_line = g_malloc0(size + 1);
	char *member_line = g_malloc0(size + 1);

	jh_line_wire.parse_status(line, &status);
	memcpy(caller_line, data, size);
	memcpy(member_line, data, size);
	if (jh_line_wire.parse_caller(caller_line, size, &caller))
		g_assert(caller.type != JH_CALLER_INVALID);
	if (caller.type == JH_CALLER_QUERY && caller.statement.type == JH_STATEMENT_EXECUTE)
		g_bytes_unref(jh_line_wire.format_execute_text(
			jh_text_of_string(caller.statement.name), caller.statement.rest));
	g_free(caller_line);
	if (jh_line_wire.parse_member(member_line, size, &member))
		g_assert(member.type != JH_MEMBER_INVALID);
	g_free(member_line);
	g_free(line);
}

static void decode_replies(GBytes *body)
{
	static const jh_platform_call_t calls[] = { JH_PLATFORM_SCAN, JH_PLATFORM_FEED,
						    JH_PLATFORM_COMMIT };
	const jh_http_response_t response = { .status = 200, .body = body };
	unsigned i;

	for (i = 0; i < G_N_ELEMENTS(calls); i++) {
		jh_platform_reply_t reply = { .call = calls[i] };

		jh_rows_protocol.decode(&response, &reply);
		g_assert(reply.status != JH_PLATFORM_OK || calls[i] == JH_PLATFORM_COMMIT ||
			 reply.rows);
		if (reply.rows)
			g_ptr_array_unref(reply.rows);
	}
}

/*
 * Parses any bytes in three ways: as a line of the line protocol, as a response of the store and as
 * a row of the catalogue. Each parser must return a value or an error, and must not crash.
 */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	GBytes *body = g_bytes_new(data, size);
	jh_error_t err = JH_ERROR_INIT;
	jh_member_t *member;
	jh_fleet_config_t *config;

	parse_line_messages(data, size);
	decode_replies(body);
	member = jh_platform_catalogue_format.read_member("m", body, &err);
	g_assert(!member == (err.code != JH_ERR_NONE));
	jh_error_clear(&err);
	config = jh_platform_catalogue_format.read_config(body, &err);
	g_assert(!config == (err.code != JH_ERR_NONE));
	jh_error_clear(&err);
	jh_member_free(member);
	jh_fleet_config_unref(config);
	g_bytes_unref(body);
	return 0;
}
