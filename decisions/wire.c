#include "jh_wire.h"

#include <string.h>

static const char *const code_names[] = {
	[JH_CODE_NONE] = "none",
	[JH_CODE_BUSY] = "busy",
	[JH_CODE_ABORTED] = "aborted",
	[JH_CODE_BEHIND] = "behind",
	[JH_CODE_READ_ONLY] = "read_only",
	[JH_CODE_WRONG_MEMBER] = "wrong_member",
	[JH_CODE_TOO_MANY_CONNECTIONS] = "too_many_connections",
	[JH_CODE_FAILED] = "failed",
	[JH_CODE_NO_STATEMENT] = "no_statement",
	[JH_CODE_TIMEOUT] = "timeout",
	[JH_CODE_NO_KEY] = "no_key",
	[JH_CODE_NO_ROUTE] = "no_route",
	[JH_CODE_TOO_BIG] = "too_big",
	[JH_CODE_BAD_MESSAGE] = "bad_message",
	[JH_CODE_UNKNOWN] = "unknown",
	[JH_CODE_OTHER] = "other",
};

jh_text_t jh_text_of(GBytes *owner)
{
	jh_text_t text = { 0 };

	if (owner)
		text.bytes = g_bytes_get_data(owner, &text.length);
	return text;
}

jh_text_t jh_text_of_string(const char *string)
{
	return (jh_text_t){ .bytes = string, .length = strlen(string) };
}

GBytes *jh_text_copy(jh_text_t text)
{
	return text.bytes ? g_bytes_new(text.bytes, text.length) : NULL;
}

const char *jh_code_name(jh_code_t code)
{
	return code_names[code];
}

bool jh_code_means_not_run(jh_code_t code)
{
	return code == JH_CODE_BUSY || code == JH_CODE_BEHIND || code == JH_CODE_READ_ONLY ||
	       code == JH_CODE_WRONG_MEMBER || code == JH_CODE_TOO_MANY_CONNECTIONS ||
	       code == JH_CODE_NO_STATEMENT;
}
