#include "slice.h"

#include <string.h>

bool slice_is(slice_t slice, const char *text)
{
	return slice.length == strlen(text) && memcmp(slice.bytes, text, slice.length) == 0;
}

unsigned slice_split(slice_t slice, slice_t *parts, unsigned max)
{
	unsigned count = 1;
	unsigned i;

	parts[0] = slice;
	for (i = 1; i < max; i++)
		parts[i] = (slice_t){ .bytes = "", .length = 0 };
	while (count < max) {
		slice_t *last = &parts[count - 1];
		const char *blank = memchr(last->bytes, ' ', last->length);
		size_t length;

		if (!blank)
			break;
		length = (size_t)(blank - last->bytes);
		parts[count++] =
			(slice_t){ .bytes = blank + 1, .length = last->length - length - 1 };
		last->length = length;
	}
	return count;
}

char *slice_to_name(slice_t slice)
{
	GString *name = g_string_new(NULL);
	size_t i;

	for (i = 0; i < slice.length; i++) {
		char byte = slice.bytes[i];

		if (g_ascii_isgraph(byte) && byte != '\\')
			g_string_append_c(name, byte);
		else
			g_string_append_printf(name, "\\%02x", (unsigned char)byte);
	}
	return g_string_free(name, FALSE);
}

GBytes *slice_to_bytes(slice_t slice)
{
	return g_bytes_new(slice.bytes, slice.length);
}

slice_t bytes_slice(GBytes *bytes)
{
	slice_t slice = { .bytes = "", .length = 0 };

	if (bytes && g_bytes_get_size(bytes) > 0)
		slice.bytes = g_bytes_get_data(bytes, &slice.length);
	return slice;
}

json_t *slice_to_json(slice_t slice)
{
	GString *hex = g_string_new(NULL);
	json_t *value;
	size_t i;

	for (i = 0; i < slice.length; i++)
		g_string_append_printf(hex, "%02x", (unsigned char)slice.bytes[i]);
	value = json_string(hex->str);
	g_string_free(hex, TRUE);
	return value;
}
