#include "jh_holders.h"

#include <sys/param.h>

/* Most VMs that hold connections to a group; each holder adds a connection of every busy team. */
#define HOLDERS_MAX 4u

/* A holder with fewer connections to a member closes one for nearly every change of team. */
#define CONNECTIONS_PER_HOLDER_MIN 4u

static unsigned usable_connections(const jh_holder_demand_t *demand)
{
	unsigned total = MAX(demand->connections, 1);

	if (total > 2 * JH_HOLDER_RESERVED_CONNECTIONS)
		total -= JH_HOLDER_RESERVED_CONNECTIONS;
	return total;
}

jh_holder_plan_t jh_holder_make_plan(const jh_holder_demand_t *demand)
{
	unsigned total = usable_connections(demand);
	jh_holder_plan_t plan = { .is_direct = true, .holders = demand->vms };

	/* A VM whose share lacks a connection for each team closes one team's to serve another's.
	 */
	if (demand->vms > 1 && total / demand->vms < demand->teams) {
		unsigned holders = MIN(total / CONNECTIONS_PER_HOLDER_MIN, HOLDERS_MAX);

		plan.is_direct = false;
		plan.holders = MIN(MAX(holders, 1), demand->vms);
	}
	plan.share = MAX(total / plan.holders, 1);
	return plan;
}

GPtrArray *jh_holder_rank_vms(const GPtrArray *vms, const char *group, unsigned max)
{
	GPtrArray *names = g_ptr_array_new();
	char *key = g_strconcat("holders:", group, NULL);
	unsigned i;

	for (i = 0; vms && i < vms->len; i++) {
		const jh_vm_t *vm = g_ptr_array_index(vms, i);

		if (vm->state == JH_VM_LIVE)
			g_ptr_array_add(names, (void *)g_intern_string(vm->name));
	}
	jh_placement_pick(names, key, max);
	g_free(key);
	return names;
}

const char *jh_holder_choose(const GPtrArray *ranked, unsigned holders, const char *team,
			     jh_holder_can_use_t can_use, void *data)
{
	GPtrArray *order = g_ptr_array_new();
	const char *chosen = NULL;
	unsigned i;

	for (i = 0; i < MIN(holders, ranked->len); i++)
		g_ptr_array_add(order, g_ptr_array_index(ranked, i));
	jh_placement_pick(order, team, holders);
	for (; i < ranked->len; i++)
		g_ptr_array_add(order, g_ptr_array_index(ranked, i));
	for (i = 0; i < order->len && !chosen; i++) {
		if (can_use(g_ptr_array_index(order, i), data))
			chosen = g_ptr_array_index(order, i);
	}
	g_ptr_array_free(order, TRUE);
	return chosen;
}
