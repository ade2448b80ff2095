#ifndef JH_HISTOGRAM_H
#define JH_HISTOGRAM_H

#include <glib.h>
#include <stdint.h>

/**
 * DOC: Histograms
 *
 * A histogram of times is a static object that registers itself at its first use. Its buckets
 * double from one millisecond; the text form is that of scrapers.
 */

/** JH_HISTOGRAM_BUCKETS - bounds from 1 ms to 8192 ms, and one bucket for what is longer */
#define JH_HISTOGRAM_BUCKETS 15u

typedef struct jh_histogram {
	const char *name;
	const char *doc;
	int64_t counts[JH_HISTOGRAM_BUCKETS];
	int64_t sum_us;
	struct jh_histogram *next;
	int registered;
} jh_histogram_t;

/** JH_HISTOGRAM() - define a file-local histogram; names end in _ms */
#define JH_HISTOGRAM(variable, metric, help)                                                       \
	static jh_histogram_t variable = { .name = (metric), .doc = (help) }

/** jh_histogram_add() - count one time; negative ones count as zero */
void jh_histogram_add(jh_histogram_t *histogram, int64_t time_us);

/** jh_histogram_write_all() - append every registered histogram as text */
void jh_histogram_write_all(GString *out);

#endif
