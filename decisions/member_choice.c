#include "jh_member_choice.h"

#include <sys/param.h>

/* Estimated costs in microseconds. Only their order affects the choice, so they may be rough. */

/* Handshake of a new connection, which occupies a slot of the member for about this long. */
#define CONNECTION_OPEN_COST_US 14000

/* Run time of one statement, which a later one waits for while all slots are in use. */
#define STATEMENT_COST_US 20000

/* A member that replies "behind" or "busy" costs a round trip and another choice of a member. */
#define LAGGING_COST_US 60000
#define OVERLOADED_COST_US 60000
#define REJECTED_COST_US 400000

/* A VM keeps idle connections open up to 1 / IDLE_SHARE_DIVISOR of those that it may open. */
#define IDLE_SHARE_DIVISOR 2u

/*
 * Microseconds that opening connections may take of each second of a member's slot. Above the
 * first limit idle connections are kept up to the number allowed. Above the second limit no more
 * connections are opened, so that the remaining time is left for statements.
 */
#define OPENING_KEEP_ALL_US_PER_S 400000
#define OPENING_MAX_US_PER_S 500000

static int64_t option_cost_us(const jh_member_option_t *option, unsigned vms)
{
	int64_t cost_us = jh_topology_cost_us(option->distance);

	if (!option->has_connection)
		cost_us += CONNECTION_OPEN_COST_US;
	if (option->is_primary)
		cost_us += JH_MEMBER_PRIMARY_COST_US;
	if (option->is_behind)
		cost_us += LAGGING_COST_US;
	if (option->is_overloaded)
		cost_us += OVERLOADED_COST_US;
	if (option->was_tried)
		cost_us += REJECTED_COST_US;
	/* Each of the other VMs is assumed to send as many statements as this one. */
	return cost_us +
	       (int64_t)option->in_use * (int64_t)vms * STATEMENT_COST_US / (int64_t)option->slots;
}

int jh_member_choose(const jh_member_option_t *options, unsigned count, unsigned vms)
{
	int64_t best_us = 0;
	int best = -1;
	unsigned i;

	for (i = 0; i < count; i++) {
		const jh_member_option_t *option = &options[i];
		int64_t cost_us;

		if (!option->is_usable || (!option->has_connection && !option->can_open))
			continue;
		cost_us = option_cost_us(option, vms);
		if (best < 0 || cost_us < best_us) {
			best = (int)i;
			best_us = cost_us;
		}
	}
	return best;
}

/* Return: microseconds of each second of a slot that all VMs spend on opening connections */
static double opening_us_per_s(const jh_connection_use_t *use)
{
	return use->opened_per_s * use->vms * CONNECTION_OPEN_COST_US / MAX(use->slots, 1);
}

static unsigned idle_connections_limit(const jh_connection_use_t *use)
{
	if (opening_us_per_s(use) > OPENING_KEEP_ALL_US_PER_S)
		return use->allowed;
	return (use->allowed + IDLE_SHARE_DIVISOR - 1) / IDLE_SHARE_DIVISOR;
}

jh_connection_plan_t jh_connection_plan(const jh_connection_use_t *use)
{
	if (use->open > 0 && opening_us_per_s(use) > OPENING_MAX_US_PER_S)
		return JH_CONNECTION_NONE;
	if (use->has_idle && use->open >= idle_connections_limit(use))
		return JH_CONNECTION_REPLACE;
	return use->open < use->allowed ? JH_CONNECTION_OPEN : JH_CONNECTION_NONE;
}
