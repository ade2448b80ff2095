#include "jh_line.h"

#include "jh_counter.h"

#include <string.h>

JH_COUNTER(line_feeds_total, "jasminehill_lines_with_line_feed_total",
	   "lines of callers and members with a line feed in a field");
JH_COUNTER(nuls_total, "jasminehill_lines_with_nul_total",
	   "lines of callers and members with a NUL byte in a field");

#define LINE_END "\r\n"
#define LINE_END_BYTES (sizeof(LINE_END) - 1)

static const char *find_end(const char *bytes, size_t length)
{
	return length > 0 ? memmem(bytes, length, LINE_END, LINE_END_BYTES) : NULL;
}

char *jh_line_take(GString *in, size_t *length)
{
	const char *end = find_end(in->str, MIN(in->len, JH_LINE_MAX_BYTES));
	char *line;

	if (!end)
		return NULL;
	*length = (size_t)(end - in->str);
	if (memchr(in->str, '\n', *length))
		jh_counter_add(&line_feeds_total, 1);
	if (memchr(in->str, '\0', *length))
		jh_counter_add(&nuls_total, 1);
	line = g_malloc(*length + 1);
	memcpy(line, in->str, *length);
	line[*length] = '\0';
	g_string_erase(in, 0, (gssize)(*length + LINE_END_BYTES));
	return line;
}

bool jh_line_has_end(const char *bytes, size_t length)
{
	return find_end(bytes, length) != NULL;
}

bool jh_line_is_too_long(const GString *in)
{
	return in->len >= JH_LINE_MAX_BYTES;
}
