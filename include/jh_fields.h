#ifndef JH_FIELDS_H
#define JH_FIELDS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: Lines of key=value pairs
 *
 * Reads single fields of lines of key=value pairs, the format of the log and of the audit record.
 * Pairs are separated by blanks; a value in double quotes may contain blanks, and a backslash in it
 * stands before a literal character. The field "hlc" is the line's HLC timestamp (hybrid logical
 * clock) in hexadecimal: milliseconds since 1970, followed by a 16-bit counter.
 */

/**
 * jh_fields_get() - get the value of the first pair with @key, without its quotes
 *
 * Return: new string, empty for a key without a value; NULL if the line has no such key
 */
char *jh_fields_get(const char *line, const char *key);

/**
 * jh_fields_match() - check whether any pair of the line is @key=@value
 *
 * Return: true if there is such a pair, or if @value is NULL
 */
bool jh_fields_match(const char *line, const char *key, const char *value);

/** jh_fields_get_hlc() - get the line's HLC timestamp. Return: 0 if it has none */
uint64_t jh_fields_get_hlc(const char *line);

/** jh_fields_get_time_ms() - get the line's time, milliseconds since 1970. Return: 0 if none */
int64_t jh_fields_get_time_ms(const char *line);

/**
 * jh_fields_format_time() - format an HLC timestamp as ISO 8601 in UTC with milliseconds
 *
 * Return: new string; "-" in place of date and time if the year is beyond 9999
 */
char *jh_fields_format_time(uint64_t hlc);

/**
 * jh_fields_parse_time() - parse a date or a time in ISO 8601
 * @text: the time; a date means its midnight, and a time without a zone is in UTC
 * @hlc: set to the lowest HLC timestamp of that time; 0 for a time before 1970
 *
 * Return: 0, or -1 if @text is not a time, with @hlc unchanged
 */
int jh_fields_parse_time(const char *text, uint64_t *hlc);

#endif
