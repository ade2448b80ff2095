#ifndef JH_HOLDER_MAP_H
#define JH_HOLDER_MAP_H

#include "jh_holders.h"

/**
 * DOC: Holders by data centre
 *
 * In fleets with enough VMs the holders of a group's connections (see jh_holders.h) are in the data
 * centres of its members, so that a statement crosses between data centres at most once: from its
 * entry to a holder beside the member. Each data centre that has a member of the group has
 * JH_HOLDERS_PER_DC holders, chosen by rendezvous hashing weighted by the VMs' capacity. A team is
 * assigned to one of them; the other one and the next VMs of that data centre stand in.
 *
 * Most of a member's connections belong to the holders in its own data centre. The holders in the
 * other data centres of the group share the rest, which they use where their own member lags, is
 * overloaded or does not respond.
 *
 * Like the plan in jh_holders.h, the map follows from this VM's view of the other VMs. VMs with
 * different views may open more connections than planned; a member refuses those above its limit
 * before a statement is sent. The functions have no side effects.
 */

/** JH_HOLDERS_PER_DC - VMs of a data centre that hold the connections to a group's members there */
#define JH_HOLDERS_PER_DC 2u

/** JH_HOLDER_DC_VMS_MIN - live VMs that each data centre with a member needs for such a map */
#define JH_HOLDER_DC_VMS_MIN (JH_HOLDERS_PER_DC + 2)

/** jh_holder_map_t - holders of one group's connections by data centre; opaque */
typedef struct jh_holder_map jh_holder_map_t;

/**
 * struct jh_holder_fleet - what determines a group's holders by data centre
 * @vms: array of jh_vm_t *, NULL for none; only VMs in state JH_VM_LIVE are chosen
 * @group: name of the group
 * @dcs: array of the names of the data centres that have a member of the group, each once
 * @connections: connections that one member accepts from all VMs together
 */
typedef struct jh_holder_fleet {
	const GPtrArray *vms;
	const char *group;
	const GPtrArray *dcs;
	unsigned connections;
} jh_holder_fleet_t;

/**
 * jh_holder_map_new() - choose a group's holders by data centre
 *
 * Return: new map, NULL if a data centre with a member has fewer than JH_HOLDER_DC_VMS_MIN live VMs
 * or if the connections are too few to be divided in this way; jh_holder_make_plan() applies then
 */
jh_holder_map_t *jh_holder_map_new(const jh_holder_fleet_t *fleet);

/** jh_holder_map_free() - free a map; NULL is allowed */
void jh_holder_map_free(jh_holder_map_t *map);

/** jh_holder_map_holds() - Return: true if the VM is a holder in some data centre of the map */
bool jh_holder_map_holds(const jh_holder_map_t *map, const char *vm);

/** jh_holder_map_holds_dc() - Return: true if the VM is a holder of the members in @dc */
bool jh_holder_map_holds_dc(const jh_holder_map_t *map, const char *vm, const char *dc);

/**
 * jh_holder_map_share() - number of connections that a VM may open to a member
 * @vm: name of the VM; one that is no holder gets the same share as a holder in another data centre
 * @dc: data centre of the member
 *
 * The shares of all holders together leave JH_HOLDER_RESERVED_CONNECTIONS of the member's
 * connections.
 *
 * Return: at least 1
 */
unsigned jh_holder_map_share(const jh_holder_map_t *map, const char *vm, const char *dc);

/**
 * jh_holder_map_senders() - number of VMs like this one that send statements to a member
 *
 * A holder beside the member sends the part of the statements that its weight gives it.
 *
 * Return: at least 1
 */
unsigned jh_holder_map_senders(const jh_holder_map_t *map, const char *vm, const char *dc);

/**
 * jh_holder_map_vm_at() - the VM at a place in the order of a data centre, holders first
 *
 * Return: interned name; NULL if @dc has no member or fewer candidates
 */
const char *jh_holder_map_vm_at(const jh_holder_map_t *map, const char *dc, unsigned i);

/**
 * struct jh_holder_query - a statement for which a holder is to be chosen
 * @team: name of its team, "" if it has none
 * @own_vm: the entry; it runs the statement itself if it is a holder in the chosen data centre
 * @stays_near_member: VMs that stand in for the holders of the best data centre are preferred to
 *	the holders of the next one
 * @dc_cost_us: returns the cost of a data centre, a negative one if the statement cannot run there;
 *	the data centre of the lowest cost is used first, equal ones in an order by hash of the team
 * @can_use: VMs for which it returns false are passed over
 * @data: argument of @dc_cost_us and @can_use
 */
typedef struct jh_holder_query {
	const char *team;
	const char *own_vm;
	bool stays_near_member;
	int64_t (*dc_cost_us)(const char *dc, void *data);
	jh_holder_can_use_t can_use;
	void *data;
} jh_holder_query_t;

/** jh_holder_map_choose() - choose the VM that runs a statement. Return: interned name, or NULL */
const char *jh_holder_map_choose(const jh_holder_map_t *map, const jh_holder_query_t *query);

#endif
