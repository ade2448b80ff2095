#include "jh_histogram.h"

/* Registered histograms, the last registered one first. */
static jh_histogram_t *histograms;

void jh_histogram_add(jh_histogram_t *histogram, int64_t duration_us)
{
	int64_t bound_us = 1000;
	unsigned bucket = 0;

	if (!histogram->registered) {
		histogram->next = histograms;
		histograms = histogram;
		histogram->registered = 1;
	}
	duration_us = MAX(duration_us, 0);
	while (bucket < JH_HISTOGRAM_BUCKETS - 1 && duration_us > bound_us) {
		bound_us *= 2;
		bucket++;
	}
	histogram->counts[bucket]++;
	histogram->sum_us += duration_us;
}

static void histogram_write(const jh_histogram_t *histogram, GString *out)
{
	int64_t cumulative = 0;
	unsigned i;

	g_string_append_printf(out, "# HELP %s %s\n# TYPE %s histogram\n", histogram->name,
			       histogram->doc, histogram->name);
	for (i = 0; i < JH_HISTOGRAM_BUCKETS - 1; i++) {
		cumulative += histogram->counts[i];
		g_string_append_printf(out, "%s_bucket{le=\"%u\"} %" G_GINT64_FORMAT "\n",
				       histogram->name, 1u << i, cumulative);
	}
	cumulative += histogram->counts[i];
	g_string_append_printf(out,
			       "%s_bucket{le=\"+Inf\"} %" G_GINT64_FORMAT
			       "\n%s_sum %" G_GINT64_FORMAT "\n%s_count %" G_GINT64_FORMAT "\n",
			       histogram->name, cumulative, histogram->name,
			       histogram->sum_us / 1000, histogram->name, cumulative);
}

void jh_histogram_write_all(GString *out)
{
	const jh_histogram_t *histogram;

	for (histogram = histograms; histogram; histogram = histogram->next)
		histogram_write(histogram, out);
}
