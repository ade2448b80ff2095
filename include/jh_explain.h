#ifndef JH_EXPLAIN_H
#define JH_EXPLAIN_H

#include <glib.h>

/**
 * DOC: Explanation of a request
 *
 * Explains, from the log lines of all VMs, how one request was decided. For each log line of the
 * request it shows the last state that the VM which decided had logged before, such as the
 * primary that it knew, with the age of each part. These functions read and write no files.
 */

/** JH_EXPLAIN_LINE_MAX - longest line that is used, in bytes; daemons write shorter ones */
#define JH_EXPLAIN_LINE_MAX 8192u

/**
 * jh_explain_sort() - sort log lines by their HLC timestamps and remove unusable ones
 * @lines: array of strings, the log lines of all VMs in any order; changed in place. Duplicates,
 *	lines without a timestamp and lines longer than JH_EXPLAIN_LINE_MAX are removed, and freed
 *	if the array has a free function
 */
void jh_explain_sort(GPtrArray *lines);

/**
 * jh_explain_request() - explain the decisions on one request
 * @lines: log lines as jh_explain_sort() left them; in another order, the state shown is wrong
 * @request: the request's id, as the field "request" of the log lines gives it
 *
 * Return: new text, NULL if no line has this request id
 */
char *jh_explain_request(const GPtrArray *lines, const char *request);

#endif
