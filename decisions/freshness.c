#include "jh_freshness.h"

/* Samples closer than this are merged, so that the age of a bounded read is exact to this time. */
#define SAMPLE_SPACING_US (25 * INT64_C(1000))

/* With that spacing, the samples reach back about six seconds. */
#define SAMPLES_MAX 256u

typedef struct sample {
	int64_t sent_us;
	jh_position_t position;
} sample_t;

struct jh_freshness {
	/* sample_t, ascending by time; positions never decrease. */
	GArray *samples;
};

jh_freshness_t *jh_freshness_new(void)
{
	jh_freshness_t *freshness = g_new0(jh_freshness_t, 1);

	freshness->samples = g_array_new(FALSE, FALSE, sizeof(sample_t));
	return freshness;
}

void jh_freshness_free(jh_freshness_t *freshness)
{
	g_array_free(freshness->samples, TRUE);
	g_free(freshness);
}

static sample_t *sample_at(const jh_freshness_t *freshness, unsigned i)
{
	return &g_array_index(freshness->samples, sample_t, i);
}

void jh_freshness_add_sample(jh_freshness_t *freshness, int64_t sent_us, jh_position_t position)
{
	sample_t sample = { .sent_us = sent_us, .position = position };
	unsigned count = freshness->samples->len;

	if (count > 0 && sent_us <= sample_at(freshness, count - 1)->sent_us)
		return;
	/*
	 * Replies may overtake one another; the higher position of the earlier sample is then kept,
	 * so that positions never decrease.
	 */
	if (count > 0 &&
	    jh_position_compare(sample_at(freshness, count - 1)->position, position) > 0)
		sample.position = sample_at(freshness, count - 1)->position;
	if (count > 1 && sent_us - sample_at(freshness, count - 2)->sent_us < SAMPLE_SPACING_US) {
		*sample_at(freshness, count - 1) = sample;
		return;
	}
	if (count == SAMPLES_MAX)
		g_array_remove_range(freshness->samples, 0, SAMPLES_MAX / 4);
	g_array_append_val(freshness->samples, sample);
}

bool jh_freshness_find_position(const jh_freshness_t *freshness, int64_t moment_us,
				jh_position_t *position)
{
	unsigned low = 0;
	unsigned high = freshness->samples->len;

	while (low < high) {
		unsigned middle = low + (high - low) / 2;

		if (sample_at(freshness, middle)->sent_us >= moment_us)
			high = middle;
		else
			low = middle + 1;
	}
	if (low == freshness->samples->len)
		return false;
	*position = sample_at(freshness, low)->position;
	return true;
}

bool jh_freshness_find_newest(const jh_freshness_t *freshness, jh_position_t *position)
{
	if (freshness->samples->len == 0)
		return false;
	*position = sample_at(freshness, freshness->samples->len - 1)->position;
	return true;
}

int64_t jh_freshness_newest_us(const jh_freshness_t *freshness)
{
	unsigned count = freshness->samples->len;

	return count > 0 ? sample_at(freshness, count - 1)->sent_us : INT64_MIN;
}

void jh_freshness_clear(jh_freshness_t *freshness)
{
	g_array_set_size(freshness->samples, 0);
}
