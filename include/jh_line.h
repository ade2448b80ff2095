#ifndef JH_LINE_H
#define JH_LINE_H

#include <glib.h>
#include <stdbool.h>

/**
 * DOC: Lines
 *
 * Splits a byte stream into the lines of a line protocol, each of which ends with CR LF and with
 * nothing else. The calling task appends received bytes to a buffer and takes the complete lines.
 */

/** JH_LINE_MAX_BYTES - longest line of a line protocol, line end included */
#define JH_LINE_MAX_BYTES (1024u * 1024)

/**
 * jh_line_take() - remove the first line from a buffer
 * @in: bytes received so far; the line and its end are removed from it
 * @length: number of bytes of the line, which may have any bytes but CR LF
 *
 * Return: new string of @length bytes and a NUL, without the final CR LF; NULL if @in has no
 * complete line
 */
char *jh_line_take(GString *in, size_t *length);

/** jh_line_has_end() - whether @bytes contain CR LF, so that they cannot be a field of a line */
bool jh_line_has_end(const char *bytes, size_t length);

/** jh_line_is_too_long() - whether the first line, which is not complete, exceeds the limit */
bool jh_line_is_too_long(const GString *in);

#endif
