#include "jh_forwarded.h"
#include "jh_frame.h"

#include <string.h>

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

/* A statement that a holder accepts puts one line on the member's connection. */
static void check_statement(const Jh__Statement *statement)
{
	if (jh_forwarded_is_valid(statement))
		g_assert((statement->text.len == 0 ||
			  !memmem(statement->text.data, statement->text.len, "\r\n", 2)) &&
			 !strstr(statement->request_id, "\r\n") &&
			 !strchr(statement->request_id, ' '));
}

/* Any bytes decode to a frame that can be packed again, or to an error. */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	jh_error_t err = JH_ERROR_INIT;
	Jh__Frame *frame = NULL;
	size_t consumed = 0;

	if (jh_frame_unpack(data, size, &consumed, &frame, &err) == 0 && frame) {
		GByteArray *packed = g_byte_array_new();

		if (frame->body_case == JH__FRAME__BODY_STATEMENT)
			check_statement(frame->statement);
		jh_frame_pack(frame, packed);
		g_byte_array_free(packed, TRUE);
		jh_frame_free(frame);
	}
	jh_error_clear(&err);
	return 0;
}
