#ifndef JH_HISTOGRAM_H
#define JH_HISTOGRAM_H

#include <glib.h>
#include <stdint.h>

/**
 * DOC: Histograms
 *
 * A histogram counts durations in buckets, for operators. It is a static object that is added to
 * the list of histograms when it is first used. The upper bounds of its buckets are powers of two
 * from 1 ms on. The text format is the exposition format of Prometheus.
 */

/** JH_HISTOGRAM_BUCKETS - one for each upper bound from 1 ms to 8192 ms, and one without a bound */
#define JH_HISTOGRAM_BUCKETS 15u

/**
 * struct jh_histogram - one histogram
 * @name: unique name of the metric; static
 * @doc: one line for operators, without backslashes; static
 * @counts: number of durations in each bucket, not cumulative
 * @sum_us: sum of all durations, microseconds
 * @next: next in the list of registered histograms
 * @registered: 1 once it is in that list
 */
typedef struct jh_histogram {
	const char *name;
	const char *doc;
	int64_t counts[JH_HISTOGRAM_BUCKETS];
	int64_t sum_us;
	struct jh_histogram *next;
	int registered;
} jh_histogram_t;

/** JH_HISTOGRAM() - define a file-local histogram; @metric ends in _ms */
#define JH_HISTOGRAM(variable, metric, help)                                                       \
	static jh_histogram_t variable = { .name = (metric), .doc = (help) }

/** jh_histogram_add() - count one duration; a negative one counts as 0 */
void jh_histogram_add(jh_histogram_t *histogram, int64_t duration_us);

/** jh_histogram_write_all() - append the text of every histogram used so far to @out */
void jh_histogram_write_all(GString *out);

#endif
