#ifndef JH_MEMBER_CHOICE_H
#define JH_MEMBER_CHOICE_H

#include "jh_topology.h"

/**
 * DOC: Choice of a member
 *
 * The gateway sends a read to the member with the lowest estimated cost in time: round trip,
 * handshake of a new connection, and wait for a slot. It also limits how many connections a VM
 * opens to a member. Both decisions do no I/O and keep no state.
 */

/**
 * JH_MEMBER_PRIMARY_COST_US - cost of a read on the primary
 *
 * It takes a slot from the writes, which can run nowhere else.
 */
#define JH_MEMBER_PRIMARY_COST_US 12000

/**
 * struct jh_member_option - a member as a candidate for a statement
 * @is_usable: false if the statement must not run there
 * @is_primary: it is the primary of its group; the group's writes can run only in its slots
 * @has_connection: a free connection of the caller's team is open
 * @can_open: a connection may be opened, possibly in place of an idle one
 * @is_behind: as last reported, it has not applied the position that the statement requires
 * @is_overloaded: it recently rejected statements because it was overloaded
 * @was_tried: it has rejected this statement
 * @distance: of its data centre from this VM's
 * @in_use: number of this VM's statements that run there
 * @slots: number of statements that it runs at a time, for all VMs together; not 0
 */
typedef struct jh_member_option {
	bool is_usable;
	bool is_primary;
	bool has_connection;
	bool can_open;
	bool is_behind;
	bool is_overloaded;
	bool was_tried;
	jh_distance_t distance;
	unsigned in_use;
	unsigned slots;
} jh_member_option_t;

/**
 * jh_member_choose() - choose the member with the lowest cost for a read
 * @options: the members to choose from
 * @count: number of @options; may be 0
 * @vms: number of VMs that share the members' slots
 *
 * Return: index of the cheapest option that can run the statement now, -1 if there is none
 */
int jh_member_choose(const jh_member_option_t *options, unsigned count, unsigned vms);

/** enum jh_connection_plan - how a VM may open one more connection to a member */
typedef enum jh_connection_plan {
	/** @JH_CONNECTION_OPEN: open it in addition to the others */
	JH_CONNECTION_OPEN,
	/** @JH_CONNECTION_REPLACE: close an idle connection, then open it */
	JH_CONNECTION_REPLACE,
	/** @JH_CONNECTION_NONE: open none now */
	JH_CONNECTION_NONE,
} jh_connection_plan_t;

/**
 * struct jh_connection_use - this VM's connections to a member
 * @open: number of open connections
 * @allowed: maximum number of open connections
 * @has_idle: at least one of them is idle, for another team, and may be closed
 * @opened_per_s: recent average of connections opened per second
 * @vms: number of VMs, with this one, that are assumed to open as many each
 * @slots: number of statements that the member runs at a time
 */
typedef struct jh_connection_use {
	unsigned open;
	unsigned allowed;
	bool has_idle;
	double opened_per_s;
	unsigned vms;
	unsigned slots;
} jh_connection_use_t;

/**
 * jh_connection_plan() - decide whether and how to open one more connection
 *
 * A member keeps a dead VM's connections open for seconds. If all VMs fail together and restart,
 * only connections that were not open before are left for them. Idle connections therefore fill no
 * more than half of the allowed number, rounded up, unless opening new ones would take a large part
 * of the member's slots. Opening connections never takes more than half of the time of its slots:
 * statements of other teams wait instead. A VM without any connection is exempt from this limit.
 */
jh_connection_plan_t jh_connection_plan(const jh_connection_use_t *use);

#endif
