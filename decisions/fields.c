#include "jh_fields.h"

#include <string.h>

/* Bits of a stamp below its milliseconds. */
#define HLC_COUNTER_BITS 16
#define MS_PER_S 1000

/* Copy the value at *@at, which may be quoted, and move past it. Return: new */
static char *value_take(const char **at)
{
	GString *value = g_string_new(NULL);
	bool quoted = **at == '"';

	if (quoted)
		(*at)++;
	while (**at && **at != (quoted ? '"' : ' ')) {
		if (quoted && **at == '\\' && (*at)[1])
			(*at)++;
		g_string_append_c(value, *(*at)++);
	}
	if (quoted && **at == '"')
		(*at)++;
	return g_string_free(value, FALSE);
}

/* Take the next pair. Return: false at the line's end; else new @key and @value */
static bool pair_take(const char **at, char **key, char **value)
{
	const char *start;

	while (**at == ' ')
		(*at)++;
	if (!**at)
		return false;
	start = *at;
	*at += strcspn(*at, "= ");
	*key = g_strndup(start, (gsize)(*at - start));
	if (**at == '=') {
		(*at)++;
		*value = value_take(at);
	} else {
		*value = g_strdup("");
	}
	return true;
}

char *jh_fields_get(const char *line, const char *key)
{
	char *name = NULL;
	char *value = NULL;

	while (pair_take(&line, &name, &value)) {
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
	char *other = NULL;
	bool found = !value;

	while (!found && pair_take(&line, &name, &other)) {
		found = g_str_equal(name, key) && g_str_equal(other, value);
		g_free(name);
		g_free(other);
	}
	return found;
}

uint64_t jh_fields_hlc(const char *line)
{
	char *text = jh_fields_get(line, "hlc");
	uint64_t hlc = text ? g_ascii_strtoull(text, NULL, 16) : 0;

	g_free(text);
	return hlc;
}

static int64_t hlc_ms(uint64_t hlc)
{
	return (int64_t)(hlc >> HLC_COUNTER_BITS);
}

int64_t jh_fields_ms(const char *line)
{
	return hlc_ms(jh_fields_hlc(line));
}

char *jh_fields_time(uint64_t hlc)
{
	int64_t ms = hlc_ms(hlc);
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
	char *whole = g_strconcat(text, strchr(text, 'T') ? "" : "T00:00:00", NULL);
	GDateTime *time = g_date_time_new_from_iso8601(whole, utc);
	int64_t ms;

	g_time_zone_unref(utc);
	g_free(whole);
	if (!time)
		return -1;
	ms = g_date_time_to_unix(time) * MS_PER_S + g_date_time_get_microsecond(time) / MS_PER_S;
	g_date_time_unref(time);
	*hlc = (uint64_t)MAX(ms, 0) << HLC_COUNTER_BITS;
	return 0;
}
