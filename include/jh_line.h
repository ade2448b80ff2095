#ifndef JH_LINE_H
#define JH_LINE_H

#include <glib.h>

/**
 * DOC: Lines
 *
 * Splits a byte stream into the lines of a line protocol. The calling task appends received bytes
 * to a buffer, takes the complete lines and enforces JH_LINE_MAX_BYTES.
 */

/** JH_LINE_MAX_BYTES - longest line of a line protocol, line end included */
#define JH_LINE_MAX_BYTES (1024u * 1024)

/**
 * jh_line_take() - remove the first line from a buffer
 * @in: bytes received so far; the line and its end are removed from it
 *
 * Return: new string without the final CR LF or LF, NULL if @in has no complete line
 */
char *jh_line_take(GString *in);

#endif
