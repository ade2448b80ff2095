#include "jh_frame.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

/* Any bytes decode to a frame that can be packed again, or to an error. */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	jh_error_t err = JH_ERROR_INIT;
	Jh__Frame *frame = NULL;
	size_t consumed = 0;

	if (jh_frame_unpack(data, size, &consumed, &frame, &err) == 0 && frame) {
		GByteArray *packed = g_byte_array_new();

		jh_frame_pack(frame, packed);
		g_byte_array_free(packed, TRUE);
		jh_frame_free(frame);
	}
	jh_error_clear(&err);
	return 0;
}
