#include "jh_fields.h"

#include <string.h>

/* Width of the counter in the low bits of an HLC timestamp; the bits above are milliseconds. */
#define HLC_COUNTER_BITS 16
#define MS_PER_S 1000

/* Parse a value, quoted or plain, and move *@cursor past it. Return: new string, unquoted */
static char *parse_value(const char **cursor)
{
	GString *value = g_string_new(NULL);
	bool quoted = **cursor == '"';

	if (quoted)
		(*cursor)++;
	while (**cursor && **cursor != (quoted ? '"' : ' ')) {
		if (quoted && **cursor == '\\' && (*cursor)[1])
			(*cursor)++;
		g_string_append_c(value, *(*cursor)++);
	}
	if (quoted && **cursor == '"')
		(*cursor)++;
	return g_string_free(value, FALSE);
}

/* Parse the next pair into new @key and @value, "" without '='. Return: false at the line's end */
static bool parse_pair(const char **cursor, char **key, char **value)
{
	const char *key_start;

	while (**cursor == ' ')
		(*cursor)++;
	if (!**cursor)
		return false;
	key_start = *cursor;
	*cursor += strcspn(*cursor, "= ");
	*key = g_strndup(key_start, (gsize)(*cursor - key_start));
	if (**cursor == '=') {
		(*cursor)++;
		*value = parse_value(cursor);
	} else {
		*value = g_strdup("");
	}
	return true;
}

char *jh_fields_get(const char *line, const char *key)
{
	char *name = NULL;
	char *value = NULL;

	while (parse_pair(&line, &name, &value)) {
		bool found = g_str_equal(name, key);

		g_free(name);
		if (found)
			return value;
		g_free(value);
	}
	return NULL;
}

bool jh_fields_match(const char *line, const char *key, const char *value)
{
	char *name = NULL;
	char *found_value = NULL;
	bool found = !value;

	while (!found && parse_pair(&line, &name, &found_value)) {
		found = g_str_equal(name, key) && g_str_equal(found_value, value);
		g_free(name);
		g_free(found_value);
	}
	return found;
}

uint64_t jh_fields_get_hlc(const char *line)
{
	char *text = jh_fields_get(line, "hlc");
	uint64_t hlc = text ? g_ascii_strtoull(text, NULL, 16) : 0;

	g_free(text);
	return hlc;
}

static int64_t hlc_to_ms(uint64_t hlc)
{
	return (int64_t)(hlc >> HLC_COUNTER_BITS);
}

int64_t jh_fields_get_time_ms(const char *line)
{
	return hlc_to_ms(jh_fields_get_hlc(line));
}

char *jh_fields_format_time(uint64_t hlc)
{
	int64_t ms = hlc_to_ms(hlc);
	GDateTime *time = g_date_time_new_from_unix_utc(ms / MS_PER_S);
	char *seconds = time ? g_date_time_format(time, "%Y-%m-%dT%H:%M:%S") : g_strdup("-");
	char *text = g_strdup_printf("%s.%03dZ", seconds, (int)(ms % MS_PER_S));

	g_free(seconds);
	if (time)
		g_date_time_unref(time);
	return text;
}

int jh_fields_parse_time(const char *text, uint64_t *hlc)
{
	GTimeZone *utc = g_time_zone_new_utc();
	char *full_text = g_strconcat(text, strchr(text, 'T') ? "" : "T00:00:00", NULL);
	GDateTime *time = g_date_time_new_from_iso8601(full_text, utc);
	int64_t ms;

	g_time_zone_unref(utc);
	g_free(full_text);
	if (!time)
		return -1;
	ms = g_date_time_to_unix(time) * MS_PER_S + g_date_time_get_microsecond(time) / MS_PER_S;
	g_date_time_unref(time);
	*hlc = (uint64_t)MAX(ms, 0) << HLC_COUNTER_BITS;
	return 0;
}
