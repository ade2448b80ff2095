#include "jh_position_ask.h"

/* Asks continue for this long after the last read, microseconds. */
#define READS_RECENT_US (1000 * INT64_C(1000))

/* The smallest age that reads accept is that of the reads of this last time, microseconds. */
#define SMALLEST_AGE_US (2000 * INT64_C(1000))

/* The newest sample may be this part of the smallest age old before another one is asked for. */
#define AGE_DIVISOR 3

/*
 * Shortest time between two asks, microseconds. Samples that are closer than this are merged; see
 * jh_freshness.h.
 */
#define SPACING_US (25 * INT64_C(1000))

/* The same while no other VM has a position of use: the primary runs few statements then. */
#define SPACING_USELESS_US (100 * INT64_C(1000))

/* Asks whose replies are still accepted. A link under load may take longer than the time-out. */
#define ASKS_KEPT 4u

/* After this many asks without a useful reply, reads do not wait for the next one. */
#define FAILURES_MAX 3u

typedef struct ask {
	const char *vm;
	int64_t stamp_us;
} ask_t;

/* asks[0] is the newest one; its time-out runs while @is_waiting. */
struct jh_position_asker {
	int64_t reads_until_us;
	int64_t smallest_age_us;
	int64_t smallest_until_us;
	ask_t asks[ASKS_KEPT];
	bool is_waiting;
	unsigned attempt;
	unsigned failures;
	int64_t next_us;
};

jh_position_asker_t *jh_position_asker_new(void)
{
	jh_position_asker_t *asker = g_new0(jh_position_asker_t, 1);

	asker->reads_until_us = INT64_MIN;
	asker->smallest_until_us = INT64_MIN;
	asker->next_us = INT64_MIN;
	return asker;
}

void jh_position_asker_free(jh_position_asker_t *asker)
{
	g_free(asker);
}

void jh_position_asker_on_read(jh_position_asker_t *asker, int64_t max_age_us, int64_t now_us)
{
	asker->reads_until_us = now_us + READS_RECENT_US;
	if (now_us >= asker->smallest_until_us || max_age_us <= asker->smallest_age_us) {
		asker->smallest_age_us = max_age_us;
		asker->smallest_until_us = now_us + SMALLEST_AGE_US;
	}
}

static void note_failure(jh_position_asker_t *asker)
{
	asker->attempt++;
	asker->failures++;
	asker->is_waiting = false;
}

bool jh_position_asker_is_due(jh_position_asker_t *asker, int64_t newest_us, int64_t now_us)
{
	if (asker->is_waiting && now_us - asker->asks[0].stamp_us >= JH_POSITION_REPLY_US)
		note_failure(asker);
	if (asker->is_waiting || now_us >= asker->reads_until_us || now_us < asker->next_us)
		return false;
	return newest_us == INT64_MIN || now_us - newest_us > asker->smallest_age_us / AGE_DIVISOR;
}

unsigned jh_position_asker_attempt(const jh_position_asker_t *asker)
{
	return asker->attempt;
}

void jh_position_asker_on_sent(jh_position_asker_t *asker, const char *vm, int64_t now_us)
{
	unsigned i;

	for (i = ASKS_KEPT - 1; i > 0; i--)
		asker->asks[i] = asker->asks[i - 1];
	asker->asks[0] = (ask_t){ .vm = vm, .stamp_us = now_us };
	asker->is_waiting = true;
	asker->next_us =
		now_us + (asker->failures < FAILURES_MAX ? SPACING_US : SPACING_USELESS_US);
}

static ask_t *find_ask(jh_position_asker_t *asker, const char *vm, int64_t stamp_us)
{
	unsigned i;

	for (i = 0; i < ASKS_KEPT; i++) {
		if (asker->asks[i].vm == vm && asker->asks[i].stamp_us == stamp_us)
			return &asker->asks[i];
	}
	return NULL;
}

bool jh_position_asker_on_reply(jh_position_asker_t *asker, const char *vm, int64_t stamp_us,
				int64_t age_us, int64_t *sampled_us)
{
	ask_t *ask = vm ? find_ask(asker, vm, stamp_us) : NULL;

	if (!ask)
		return false;
	ask->vm = NULL;
	if (age_us < 0 || age_us > stamp_us) {
		if (ask == &asker->asks[0])
			note_failure(asker);
		return false;
	}
	if (ask == &asker->asks[0])
		asker->is_waiting = false;
	asker->failures = 0;
	if (age_us > asker->smallest_age_us / AGE_DIVISOR) {
		asker->attempt++;
		asker->next_us = stamp_us + SPACING_USELESS_US;
	}
	*sampled_us = stamp_us - age_us;
	return true;
}

bool jh_position_asker_expects_reply(const jh_position_asker_t *asker)
{
	return asker->reads_until_us != INT64_MIN && asker->failures < FAILURES_MAX;
}
