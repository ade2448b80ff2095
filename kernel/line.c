#include "jh_line.h"

#include <string.h>

char *jh_line_take(GString *in)
{
	const char *end = memchr(in->str, '\n', in->len);
	size_t length;
	char *line;

	if (!end)
		return NULL;
	length = (size_t)(end - in->str);
	line = g_strndup(in->str, length);
	g_string_erase(in, 0, (gssize)length + 1);
	if (length > 0 && line[length - 1] == '\r')
		line[length - 1] = '\0';
	return line;
}
