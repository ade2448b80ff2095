#include "jh_member_choice.h"

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

jh_connection_plan_t jh_connection_plan(unsigned open, bool has_idle, unsigned allowed)
{
	unsigned kept = (allowed + IDLE_SHARE - 1) / IDLE_SHARE;

	if (has_idle && open >= kept)
		return JH_CONNECTION_REPLACE;
	return open < allowed ? JH_CONNECTION_OPEN : JH_CONNECTION_NONE;
}
