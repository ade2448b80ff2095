#ifndef JH_LINE_H
#define JH_LINE_H

#include <glib.h>

/** JH_LINE_MAX_BYTES - longest message of a line protocol, its end included */
#define JH_LINE_MAX_BYTES (1024u * 1024)

/**
 * jh_line_take() - cut the first line off the bytes received
 * @in: bytes received so far
 *
 * Return: new text without its CR LF or LF, NULL if no whole line has come
 */
char *jh_line_take(GString *in);

#endif
