#ifndef JH_COUNTER_H
#define JH_COUNTER_H

#include <glib.h>
#include <stdint.h>

/**
 * DOC: Counters and gauges
 *
 * A jh_counter_t is a metric that operators read: a counter, which only grows, or a gauge, which is
 * set. It is a static object that is added to the list of metrics when it is first used. Names of
 * counters end in _total; names of gauges end in their unit or in the things they count. `SHOW
 * metrics` derives the metric's type from its name.
 */

/**
 * struct jh_counter - one counter or gauge
 * @name: unique name of the metric; static
 * @doc: one line for operators, without backslashes; static
 * @value: current value
 * @next: next in the list of registered metrics
 * @registered: 1 once it is in that list
 */
typedef struct jh_counter {
	const char *name;
	const char *doc;
	int64_t value;
	struct jh_counter *next;
	int registered;
} jh_counter_t;

/** JH_COUNTER() - define a file-local counter or gauge */
#define JH_COUNTER(variable, metric, help)                                                         \
	static jh_counter_t variable = { .name = (metric), .doc = (help) }

/** jh_counter_add() - add @amount, which must not be negative, to a counter */
void jh_counter_add(jh_counter_t *counter, int64_t amount);

/** jh_counter_set() - set a gauge */
void jh_counter_set(jh_counter_t *counter, int64_t value);

/** typedef jh_counter_fn_t - called for one counter or gauge */
typedef void (*jh_counter_fn_t)(const jh_counter_t *counter, void *data);

/** jh_counter_foreach() - call @visit with @data for each metric used so far, sorted by name */
void jh_counter_foreach(jh_counter_fn_t visit, void *data);

#endif
