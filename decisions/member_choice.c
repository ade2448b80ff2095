#include "jh_member_choice.h"

#include <sys/param.h>

/* Estimates of time, microseconds. Their order decides, so that rough figures will do. */

/* A round trip to another data centre of the region. */
#define FAR_US 4000

/* A new connection: its handshake takes a slot of the member for about this long. */
#define OPEN_US 14000

/* A statement that runs before this one, if all slots are taken. */
#define SERVICE_US 20000

/* Writes have no other place than the primary; a read there takes from them. */
#define PRIMARY_US 12000

/* A member that answers "behind" or "busy" costs a round trip and the next choice. */
#define BEHIND_US 60000
#define SHEDDING_US 60000
#define TRIED_US 400000

/* Share of its connections that a VM keeps open while idle: 1 / IDLE_SHARE. */
#define IDLE_SHARE 2u

/* Of each second of a member's slot, what opening connections may take before more are kept; and
 * before no more are opened, so that the rest is left to statements.
 */
#define OPENING_DEAR_US 400000
#define OPENING_MOST_US 500000

static int64_t option_cost_us(const jh_member_option_t *option, unsigned vms)
{
	int64_t cost_us = 0;

	if (!option->is_near)
		cost_us += FAR_US;
	if (!option->has_connection)
		cost_us += OPEN_US;
	if (option->is_primary)
		cost_us += PRIMARY_US;
	if (option->is_behind)
		cost_us += BEHIND_US;
	if (option->is_shedding)
		cost_us += SHEDDING_US;
	if (option->was_tried)
		cost_us += TRIED_US;
	/* The other VMs are taken to send as much as this one does. */
	return cost_us +
	       (int64_t)option->in_use * (int64_t)vms * SERVICE_US / (int64_t)option->slots;
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

/* What opening takes of a second of each slot. */
static double opening_us(const jh_connection_use_t *use)
{
	return use->opened_per_s * use->vms * OPEN_US / MAX(use->slots, 1);
}

static unsigned connections_kept(const jh_connection_use_t *use)
{
	if (opening_us(use) > OPENING_DEAR_US)
		return use->allowed;
	return (use->allowed + IDLE_SHARE - 1) / IDLE_SHARE;
}

jh_connection_plan_t jh_connection_plan(const jh_connection_use_t *use)
{
	if (use->open > 0 && opening_us(use) > OPENING_MOST_US)
		return JH_CONNECTION_NONE;
	if (use->has_idle && use->open >= connections_kept(use))
		return JH_CONNECTION_REPLACE;
	return use->open < use->allowed ? JH_CONNECTION_OPEN : JH_CONNECTION_NONE;
}
