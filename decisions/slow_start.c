#include "jh_slow_start.h"

/*
 * Of the requests that are tolerated in a second, the rate and the burst of the limit's token
 * bucket take these shares: a second sees at most one second's refill and one burst. The rest
 * covers that requests do not reach the member as evenly as they are sent.
 */
#define RATE_SHARE 0.7
#define BURST_SHARE 0.25

/*
 * A member whose connections broke counts as cold for this long, unless its registration says
 * otherwise: a registration arrives within a second of the start; microseconds.
 */
#define SUSPECT_US (1500 * INT64_C(1000))

/* A registration that arrives this soon after the connections broke may be of before; microseconds.
 */
#define REGISTRATION_DELAY_US (500 * INT64_C(1000))

/* Time in which a member that was cold gets its full share of work again, microseconds. */
#define RAMP_US (3000 * INT64_C(1000))

/*
 * A limit stays for this long after its last member was cold: a new one yields nothing for the time
 * of a quota lease, and members often restart in series; microseconds.
 */
#define KEEP_LIMIT_US (30 * INT64_C(1000000))

/* A limit that was needed at some time. */
typedef struct use {
	/* Interned. */
	const char *group;
	int64_t until_us;
	bool is_needed;
} use_t;

struct jh_slow_start_uses {
	/* Interned name of the limit to use_t. */
	GHashTable *by_key;
};

void jh_slow_start_update(jh_slow_start_t *state, const jh_member_t *member, int64_t now_us)
{
	int64_t until_us = member->cold_ms > 0 ? now_us + member->cold_ms * 1000 : 0;

	if (member->started_ms < state->started_ms)
		return;
	if (member->started_ms > state->started_ms) {
		*state = (jh_slow_start_t){ .started_ms = member->started_ms,
					    .cold_until_us = until_us };
		return;
	}
	if (now_us - state->suspected_us > REGISTRATION_DELAY_US)
		state->suspected_us = 0;
	/* The same instance: each registration arrives late, so that the earliest end is nearest.
	 */
	if (until_us == 0)
		state->cold_until_us = MIN(state->cold_until_us, now_us);
	else if (now_us >= state->cold_until_us || until_us < state->cold_until_us)
		state->cold_until_us = until_us;
}

void jh_slow_start_suspect(jh_slow_start_t *state, int64_t now_us)
{
	state->suspected_us = now_us;
}

bool jh_slow_start_is_cold(const jh_slow_start_t *state, int64_t now_us)
{
	return now_us < state->cold_until_us ||
	       (state->suspected_us != 0 && now_us - state->suspected_us < SUSPECT_US);
}

unsigned jh_slow_start_slots(const jh_slow_start_t *state, unsigned slots, int64_t now_us)
{
	int64_t warm_us = now_us - state->cold_until_us;

	if (state->cold_until_us == 0 || warm_us >= RAMP_US)
		return slots;
	return (unsigned)MAX((int64_t)slots * MAX(warm_us, 0) / RAMP_US, 1);
}

const char *jh_slow_start_key(const char *group, const char *dc)
{
	/* Not a possible name of a team, which has no space. */
	char *key = g_strdup_printf("cold %s %s", group, dc);
	const char *interned = g_intern_string(key);

	g_free(key);
	return interned;
}

/* ---- Limits ---- */

jh_slow_start_uses_t *jh_slow_start_uses_new(void)
{
	jh_slow_start_uses_t *uses = g_new0(jh_slow_start_uses_t, 1);

	uses->by_key = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	return uses;
}

void jh_slow_start_uses_free(jh_slow_start_uses_t *uses)
{
	g_hash_table_destroy(uses->by_key);
	g_free(uses);
}

static void note_cold(jh_slow_start_uses_t *uses, const jh_member_t *member, int64_t now_us)
{
	const char *key = jh_slow_start_key(member->group, member->dc);
	use_t *use = g_hash_table_lookup(uses->by_key, key);

	if (!use) {
		use = g_new0(use_t, 1);
		use->group = member->group;
		g_hash_table_insert(uses->by_key, (void *)key, use);
	}
	use->until_us = MAX(use->until_us, now_us + member->cold_ms * 1000 + KEEP_LIMIT_US);
}

bool jh_slow_start_uses_update(jh_slow_start_uses_t *uses, const jh_member_t *member,
			       int64_t now_us)
{
	bool is_changed = false;
	GHashTableIter iter;
	void *value;

	if (member->cold_ms > 0)
		note_cold(uses, member, now_us);
	g_hash_table_iter_init(&iter, uses->by_key);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		use_t *use = value;
		bool is_needed = now_us < use->until_us;

		is_changed = is_changed || is_needed != use->is_needed;
		use->is_needed = is_needed;
	}
	return is_changed;
}

static void add_team(jh_config_t *config, const char *name, double rate, double burst)
{
	jh_team_t *team = jh_team_new();

	team->name = g_strdup(name);
	team->rate = rate;
	team->burst = burst;
	team->weight = 1;
	g_ptr_array_add(config->teams, team);
}

static void add_limits(jh_config_t *limits, const jh_fleet_config_t *config,
		       const jh_slow_start_uses_t *uses, double excess, double slack)
{
	GHashTableIter iter;
	void *key;
	void *value;

	g_hash_table_iter_init(&iter, uses->by_key);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		const use_t *use = value;
		const jh_fleet_group_t *group = g_hash_table_lookup(config->groups, use->group);
		double per_s;

		if (!use->is_needed || !group || group->cold_rate <= 0)
			continue;
		per_s = group->cold_rate * excess + slack;
		add_team(limits, key, per_s * RATE_SHARE, per_s * BURST_SHARE);
	}
}

jh_config_t *jh_slow_start_limits(const jh_fleet_config_t *config, const jh_slow_start_uses_t *uses,
				  double excess, double slack)
{
	jh_config_t *limits = jh_config_new();
	unsigned i;

	add_limits(limits, config, uses, excess, slack);
	if (limits->teams->len == 0) {
		jh_config_unref(limits);
		return jh_config_ref(config->teams);
	}
	limits->version = config->teams->version;
	for (i = 0; i < config->teams->teams->len; i++) {
		const jh_team_t *team = g_ptr_array_index(config->teams->teams, i);

		add_team(limits, team->name, team->rate, team->burst);
	}
	jh_config_build_index(limits);
	return limits;
}
