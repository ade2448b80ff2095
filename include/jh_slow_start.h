#ifndef JH_SLOW_START_H
#define JH_SLOW_START_H

#include "jh_catalogue.h"

/**
 * DOC: Slow start of members
 *
 * A member is cold, that is slow, for some time after its start, and gets a limited number of
 * requests then, summed over all VMs. The limits are quota like the rates of teams: a VM spends a
 * token for each line that it sends to a cold member. Members of one group in one data centre share
 * a limit, which exists while one of them is cold and for some time after. The functions have no
 * side effects outside their arguments; times are microseconds of jh_boot_time_us().
 */

/**
 * struct jh_slow_start - what a VM knows of a member's start
 * @started_ms: start of its newest known instance, milliseconds of Unix time
 * @cold_until_us: it is cold until then; 0 if it never was
 * @suspected_us: when it may have restarted without its registration saying so yet; 0 if not
 */
typedef struct jh_slow_start {
	int64_t started_ms;
	int64_t cold_until_us;
	int64_t suspected_us;
} jh_slow_start_t;

/** jh_slow_start_update() - apply a registration that arrived at @now_us; an older one is ignored
 */
void jh_slow_start_update(jh_slow_start_t *state, const jh_member_t *member, int64_t now_us);

/** jh_slow_start_suspect() - note that the member's connections broke, as in a restart */
void jh_slow_start_suspect(jh_slow_start_t *state, int64_t now_us);

/** jh_slow_start_is_cold() - whether the limit holds now */
bool jh_slow_start_is_cold(const jh_slow_start_t *state, int64_t now_us);

/**
 * jh_slow_start_slots() - slots to assume when a member is chosen
 * @slots: number of statements that it runs at a time
 *
 * Return: @slots, or less for some time after it was cold, so that it gets more work gradually; at
 * least 1
 */
unsigned jh_slow_start_slots(const jh_slow_start_t *state, unsigned slots, int64_t now_us);

/** jh_slow_start_key() - name of the limit of a group's members in @dc. Return: interned */
const char *jh_slow_start_key(const char *group, const char *dc);

/** jh_slow_start_uses_t - which limits are needed; opaque */
typedef struct jh_slow_start_uses jh_slow_start_uses_t;

/** jh_slow_start_uses_new() - Return: new, without any; free with jh_slow_start_uses_free() */
jh_slow_start_uses_t *jh_slow_start_uses_new(void);
void jh_slow_start_uses_free(jh_slow_start_uses_t *uses);

/**
 * jh_slow_start_uses_update() - apply a registration that arrived at @now_us
 *
 * Return: whether the limits that are needed changed, also because others are needed no more
 */
bool jh_slow_start_uses_update(jh_slow_start_uses_t *uses, const jh_member_t *member,
			       int64_t now_us);

/**
 * jh_slow_start_limits() - rates for the quota task: those of the teams and those of cold members
 * @config: the configuration
 * @uses: limits that are needed
 * @excess: factor that is tolerated on the rate of a cold member
 * @slack: requests in a second that are tolerated on top
 *
 * Return: new reference; to the configuration's own teams if no limit is needed
 */
jh_config_t *jh_slow_start_limits(const jh_fleet_config_t *config, const jh_slow_start_uses_t *uses,
				  double excess, double slack);

#endif
