#ifndef JH_COUNTER_H
#define JH_COUNTER_H

#include <glib.h>
#include <stdint.h>

/**
 * DOC: Counters
 *
 * A counter is a static object that registers itself at its first use and only grows, or a gauge
 * that is set. Names of counters end in _total, and those of gauges in their unit or in what they
 * count; `SHOW metrics` takes the type from the name. @doc is one line without backslashes.
 */

typedef struct jh_counter {
	const char *name;
	const char *doc;
	int64_t value;
	struct jh_counter *next;
	int registered;
} jh_counter_t;

/** JH_COUNTER() - define a file-local counter */
#define JH_COUNTER(variable, metric, help)                                                         \
	static jh_counter_t variable = { .name = (metric), .doc = (help) }

void jh_counter_add(jh_counter_t *counter, int64_t amount);
void jh_counter_set(jh_counter_t *counter, int64_t value);

/** typedef jh_counter_fn_t - visits one counter */
typedef void (*jh_counter_fn_t)(const jh_counter_t *counter, void *data);

/** jh_counter_each() - visit all registered counters, sorted by name */
void jh_counter_each(jh_counter_fn_t visit, void *data);

#endif
