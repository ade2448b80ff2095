#ifndef JH_EXPLAIN_H
#define JH_EXPLAIN_H

#include <glib.h>

/**
 * DOC: Explanation of a request
 *
 * From the log lines of all machines: what was decided on a request, and what the deciding machine
 * believed at that moment, each belief with its age. Pure.
 */

/** JH_EXPLAIN_LINE_MAX - longest line that is looked at; daemons write shorter ones */
#define JH_EXPLAIN_LINE_MAX 8192u

/**
 * jh_explain_sort() - bring log lines into the order of their stamps
 * @lines: of all machines; those without a stamp, and doubles, are dropped
 */
void jh_explain_sort(GPtrArray *lines);

/**
 * jh_explain_request() - explain one request
 * @lines: sorted
 * @request: its id
 *
 * Return: new text, NULL if no line names the request
 */
char *jh_explain_request(const GPtrArray *lines, const char *request);

#endif
