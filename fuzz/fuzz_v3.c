#include "jh_v3.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void message_parse(const jh_v3_msg_t *msg)
{
	jh_error_t err = JH_ERROR_INIT;
	jh_v3_parse_t parse;
	jh_v3_bind_t bind;
	jh_v3_target_t target;
	jh_v3_execute_t execute;

	if (jh_v3_parse_read(&parse, msg, &err) == 0)
		jh_v3_parse_clear(&parse);
	if (jh_v3_bind_read(&bind, msg, &err) == 0)
		jh_v3_bind_clear(&bind);
	jh_v3_target_read(&target, msg, &err);
	jh_v3_execute_read(&execute, msg, &err);
	jh_v3_string_read(msg, &err);
	jh_error_clear(&err);
}

/*
 * Any bytes sent by a caller give messages or an error, never a crash. Each message is parsed as
 * every kind that has a parser.
 */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	jh_error_t err = JH_ERROR_INIT;
	jh_v3_reader_t reader;
	jh_v3_startup_t startup;
	jh_v3_msg_t msg;

	jh_v3_reader_init(&reader, 0, 0);
	jh_v3_reader_push(&reader, data, size);
	while (jh_v3_reader_next(&reader, &msg, &err) > 0) {
		if (!reader.startup) {
			message_parse(&msg);
			continue;
		}
		if (jh_v3_startup_parse(&startup, &msg, &err) < 0)
			break;
		if (startup.kind == JH_V3_STARTUP)
			reader.startup = false;
		jh_v3_startup_clear(&startup);
	}
	jh_v3_reader_clear(&reader);
	jh_error_clear(&err);
	return 0;
}
