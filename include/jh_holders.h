#ifndef JH_HOLDERS_H
#define JH_HOLDERS_H

#include "jh_placement.h"

/**
 * DOC: Holders of a group's connections
 *
 * A member accepts a limited number of connections from all VMs together, and a connection belongs
 * to one team. Where the connections do not suffice for every team on every VM, only a few VMs of
 * each group, its holders, open them, and the other VMs forward statements to a holder. Each team
 * has one holder in a group, and further ones in a fixed order that are used while the first does
 * not respond. So the connections that a member needs follow from the number of teams, not of VMs,
 * and a holder sees enough statements of the group to know the log position that a bounded read
 * needs.
 *
 * Holders are chosen from this VM's view of the other VMs. VMs with different views may choose
 * different holders; a member then gets more connections than planned and refuses some of them,
 * before a statement is sent.
 */

/** JH_HOLDER_RESERVED_CONNECTIONS - a member's connections kept for the leader's requests */
#define JH_HOLDER_RESERVED_CONNECTIONS 2u

/**
 * struct jh_holder_demand - what determines how many VMs hold connections to a group's members
 * @connections: connections that one member accepts from all VMs together
 * @vms: number of VMs that are not dead; not 0
 * @teams: number of teams
 */
typedef struct jh_holder_demand {
	unsigned connections;
	unsigned vms;
	unsigned teams;
} jh_holder_demand_t;

/**
 * struct jh_holder_plan - who holds connections to a group's members
 * @is_direct: every VM holds connections, and none forwards
 * @holders: number of VMs that hold connections; not 0
 * @share: connections that each of them may open to one member; not 0
 */
typedef struct jh_holder_plan {
	bool is_direct;
	unsigned holders;
	unsigned share;
} jh_holder_plan_t;

/** jh_holder_make_plan() - decide how many VMs hold connections to each member of a group */
jh_holder_plan_t jh_holder_make_plan(const jh_holder_demand_t *demand);

/**
 * jh_holder_rank_vms() - list the VMs that may hold a group's connections, best first
 * @vms: array of jh_vm_t *, NULL for none; only VMs in state JH_VM_LIVE are listed
 * @group: name of the group
 * @max: maximum number of VMs to list
 *
 * Return: new array of interned names; free with g_ptr_array_free()
 */
GPtrArray *jh_holder_rank_vms(const GPtrArray *vms, const char *group, unsigned max);

/**
 * jh_holder_can_use_t - tells whether a statement may be sent to a VM
 * @vm: interned name
 * @data: argument of jh_holder_choose()
 */
typedef bool (*jh_holder_can_use_t)(const char *vm, void *data);

/**
 * jh_holder_choose() - choose the VM that runs a team's statements in a group
 * @ranked: result of jh_holder_rank_vms()
 * @holders: number of VMs that hold connections; the others of @ranked stand in for them
 * @team: name of the team
 * @can_use: VMs for which it returns false are passed over
 * @data: argument of @can_use
 *
 * Return: interned name, NULL if no VM of @ranked can be used
 */
const char *jh_holder_choose(const GPtrArray *ranked, unsigned holders, const char *team,
			     jh_holder_can_use_t can_use, void *data);

#endif
