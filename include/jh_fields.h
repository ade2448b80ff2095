#ifndef JH_FIELDS_H
#define JH_FIELDS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** DOC: Lines of key=value pairs, as in logs and in the record */

/** jh_fields_get() - value of the first pair with @key, unquoted. Return: new, NULL if none */
char *jh_fields_get(const char *line, const char *key);

/** jh_fields_match() - true if @value is NULL or any pair of @key has it */
bool jh_fields_match(const char *line, const char *key, const char *value);

/** jh_fields_hlc() - the line's stamp, 0 if it has none */
uint64_t jh_fields_hlc(const char *line);

/** jh_fields_ms() - milliseconds since 1970 of the line's stamp, 0 if it has none */
int64_t jh_fields_ms(const char *line);

/** jh_fields_time() - a stamp as ISO 8601 in UTC with milliseconds. Return: new */
char *jh_fields_time(uint64_t hlc);

/**
 * jh_fields_parse_time() - ISO 8601, a day or a time (UTC unless it has a zone), as the lowest
 * stamp of that time
 *
 * Return: 0, or -1 if @text is not a time
 */
int jh_fields_parse_time(const char *text, uint64_t *hlc);

#endif
