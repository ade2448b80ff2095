#ifndef JH_VIEW_H
#define JH_VIEW_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: Views
 *
 * Last known state of VMs and groups, as one daemon has received it. A view may be outdated or
 * wrong: it is used to choose where to send a request, and safety never depends on it.
 */

/**
 * struct jh_position - position in a group's replicated log; ordered by term, then index
 * @term: term of the log entry
 * @index: number of the entry, from 1; 0 is the empty log
 */
typedef struct jh_position {
	uint64_t term;
	uint64_t index;
} jh_position_t;

/** jh_position_compare() - order of two positions. Return: negative, 0 or positive, as strcmp() */
static inline int jh_position_compare(jh_position_t a, jh_position_t b)
{
	if (a.term != b.term)
		return a.term < b.term ? -1 : 1;
	if (a.index != b.index)
		return a.index < b.index ? -1 : 1;
	return 0;
}

/**
 * enum jh_vm_state - last known state of a VM
 *
 * The values are sent between VMs. Of two states in one incarnation the higher one wins.
 */
typedef enum jh_vm_state {
	/** @JH_VM_LIVE: responds, and may be given roles */
	JH_VM_LIVE,
	/** @JH_VM_DEPARTING: shuts down gracefully; gets no new roles */
	JH_VM_DEPARTING,
	/** @JH_VM_SUSPECT: did not respond to probes, but may still refute the suspicion */
	JH_VM_SUSPECT,
	/** @JH_VM_DEAD: did not refute the suspicion in time */
	JH_VM_DEAD,
} jh_vm_state_t;

/** JH_VM_WEIGHT_MAX - weight of a VM with a whole core and a link of 400 Mbit/s, or more */
#define JH_VM_WEIGHT_MAX 1000u

/**
 * jh_vm_weight() - capacity of a VM relative to others
 * @cpu_share: share of a processor core
 * @link_mbps: bandwidth of its network link, Mbit/s
 *
 * The scarcer of the two resources decides.
 *
 * Return: 1 to JH_VM_WEIGHT_MAX
 */
unsigned jh_vm_weight(double cpu_share, double link_mbps);

/**
 * struct jh_vm - a VM, which runs one daemon
 * @name: unique name
 * @dc: name of its data centre
 * @host: IP address of its peer port
 * @port: its peer port
 * @state: its last known state
 * @weight: its capacity relative to other VMs, 1 to JH_VM_WEIGHT_MAX; 0 if unknown
 */
typedef struct jh_vm {
	char *name;
	char *dc;
	char *host;
	uint16_t port;
	jh_vm_state_t state;
	unsigned weight;
} jh_vm_t;

/**
 * struct jh_database_view - last known state of a database
 * @name: name of the database
 * @reachable: the VM that observes the database has a working connection to it
 * @position: applied position, which its reads see
 * @held: received position (end of its log), which may not be applied yet
 * @held_term: highest term that the database has promised (accepted a fence for) or serves in; not
 *	the held_term of jh_member_status_t
 * @last_caught_up_us: last time at which @position was known to have reached the primary's
 *	position, in microseconds of this daemon's monotonic clock; 0 if never
 * @wait_us: expected time in the wait queue of its owner VM, microseconds
 */
typedef struct jh_database_view {
	char *name;
	bool reachable;
	jh_position_t position;
	jh_position_t held;
	uint64_t held_term;
	int64_t last_caught_up_us;
	int64_t wait_us;
} jh_database_view_t;

/**
 * struct jh_group_view - last known state of a group
 * @group: name of the group
 * @term: highest known term
 * @primary: name of the primary of that term, NULL while there is none
 * @databases: array of jh_database_view_t *
 */
typedef struct jh_group_view {
	char *group;
	uint64_t term;
	char *primary;
	GPtrArray *databases;
} jh_group_view_t;

#endif
