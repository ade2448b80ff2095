#include "jh_compress.h"

#include <stdint.h>
#include <zlib.h>

GBytes *jh_compress(GBytes *value)
{
	gsize size;
	const void *data = g_bytes_get_data(value, &size);
	uLongf length = compressBound(size);
	uint8_t *out = g_malloc(length);

	if (compress2(out, &length, data, size, Z_BEST_SPEED) == Z_OK && length < size)
		return g_bytes_new_take(g_realloc(out, length), length);
	g_free(out);
	return NULL;
}

GBytes *jh_uncompress(const void *data, size_t length, size_t size, size_t max_size,
		      jh_error_t *err)
{
	uLongf restored = size;
	uint8_t *out;

	if (size == 0 || size > max_size) {
		jh_error_set(err, JH_ERR_PROTOCOL, "a compressed value of %zu bytes is too long",
			     size);
		return NULL;
	}
	out = g_malloc(size);
	if (uncompress(out, &restored, data, length) == Z_OK && restored == size)
		return g_bytes_new_take(out, size);
	g_free(out);
	jh_error_set(err, JH_ERR_PROTOCOL, "a compressed value is malformed");
	return NULL;
}
