#ifndef JH_MEMBER_CHOICE_H
#define JH_MEMBER_CHOICE_H

#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: Choice of a member
 *
 * Which database runs a statement, by the time that it should take there. Pure.
 */

/**
 * struct jh_member_option - a database as the choice sees it
 * @is_usable: it may run the statement at all
 * @is_near: in this VM's data centre
 * @is_primary: it leads its group, and its slots are the only ones for writes
 * @has_connection: a free connection of the team is open
 * @can_open: a connection may be opened, if need be in place of an idle one
 * @is_behind: its log lacks what the statement needs, as far as is known
 * @is_shedding: it refused work lately
 * @was_tried: the statement was refused there
 * @in_use: this VM's statements there
 * @slots: statements that it runs at a time, for all VMs
 */
typedef struct jh_member_option {
	bool is_usable;
	bool is_near;
	bool is_primary;
	bool has_connection;
	bool can_open;
	bool is_behind;
	bool is_shedding;
	bool was_tried;
	unsigned in_use;
	unsigned slots;
} jh_member_option_t;

/**
 * jh_member_choose() - best option for a read
 * @vms: VMs that share the members' slots
 *
 * Return: index of the best option that can run the statement now, -1 if there is none
 */
int jh_member_choose(const jh_member_option_t *options, unsigned count, unsigned vms);

/** enum jh_connection_plan - how a VM comes by one more connection to a member */
typedef enum jh_connection_plan {
	JH_CONNECTION_OPEN,
	/** @JH_CONNECTION_REPLACE: open it in place of an idle one */
	JH_CONNECTION_REPLACE,
	JH_CONNECTION_NONE,
} jh_connection_plan_t;

/**
 * struct jh_connection_use - this VM's connections to a member
 * @open: how many there are
 * @allowed: how many there may be
 * @has_idle: one of them is idle, for another team
 * @opened_per_s: connections opened a second, lately
 * @vms: VMs that open as many, as far as is known
 * @slots: of the member
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
 * jh_connection_plan() - how to get a connection that is not open yet
 *
 * A member keeps a dead VM's connections open for seconds: when all VMs die at once, they come back
 * to what was not open before. So idle connections fill no more than half of what is allowed,
 * rounded up, unless opening them anew takes a good part of the member's slots. More than half of
 * its slots never goes into opening connections: statements of other teams wait instead.
 */
jh_connection_plan_t jh_connection_plan(const jh_connection_use_t *use);

#endif
