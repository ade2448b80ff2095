#include "jh_line.h"

#include "jh_counter.h"

#include <string.h>

JH_COUNTER(line_feeds_total, "jasminehill_lines_with_line_feed_total",
	   "lines of callers and members with a line feed that no carriage return precedes");
JH_COUNTER(nuls_total, "jasminehill_lines_with_nul_total",
	   "lines of callers and members with a NUL byte");

char *jh_line_take(GString *in)
{
	const char *end = memchr(in->str, '\n', in->len);
	size_t length;
	char *line;

	if (!end)
		return NULL;
	length = (size_t)(end - in->str);
	if (length == 0 || in->str[length - 1] != '\r')
		jh_counter_add(&line_feeds_total, 1);
	if (memchr(in->str, '\0', length))
		jh_counter_add(&nuls_total, 1);
	line = g_strndup(in->str, length);
	g_string_erase(in, 0, (gssize)length + 1);
	if (length > 0 && line[length - 1] == '\r')
		line[length - 1] = '\0';
	return line;
}
