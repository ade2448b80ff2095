#include "jh_frame.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	jh_error_t err = JH_ERROR_INIT;
	Jh__Frame *frame = NULL;
	size_t used = 0;

	if (jh_frame_unpack(data, size, &used, &frame, &err) == 0 && frame) {
		GByteArray *out = g_byte_array_new();

		jh_frame_pack(frame, out);
		g_byte_array_free(out, TRUE);
		jh_frame_free(frame);
	}
	jh_error_clear(&err);
	return 0;
}
