#ifndef JH_VIEW_H
#define JH_VIEW_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: Views
 *
 * What a daemon believes about VMs and groups. Views may be old or wrong: they choose where to
 * try, and are never what safety rests on.
 */

/**
 * struct jh_position - a place in a group's log; ordered by term, then index
 * @term: term of the log entry
 * @index: number of the entry, from 1; 0 is the empty log
 */
typedef struct jh_position {
	uint64_t term;
	uint64_t index;
} jh_position_t;

/** jh_position_compare() - order of two positions. Return: <0, 0 or >0 */
static inline int jh_position_compare(jh_position_t a, jh_position_t b)
{
	if (a.term != b.term)
		return a.term < b.term ? -1 : 1;
	if (a.index != b.index)
		return a.index < b.index ? -1 : 1;
	return 0;
}

/** enum jh_vm_state - how a VM is believed to be */
typedef enum jh_vm_state {
	JH_VM_LIVE,
	JH_VM_DEPARTING,
	JH_VM_SUSPECT,
	JH_VM_DEAD,
} jh_vm_state_t;

/**
 * struct jh_vm - one daemon's VM
 * @name: unique
 * @dc: data centre
 * @host: IP address of its peer port
 * @port: its peer port
 * @state: as believed now
 */
typedef struct jh_vm {
	char *name;
	char *dc;
	char *host;
	uint16_t port;
	jh_vm_state_t state;
} jh_vm_t;

/**
 * struct jh_database_view - a database as last heard of
 * @name: the database
 * @reachable: its observer has a working connection
 * @position: what its reads see (applied), as last reported
 * @held: end of its log (received, maybe not applied yet), as last reported
 * @held_term: highest term that it promised or serves in
 * @fresh_us: monotonic time of this daemon's clock when @position was last known to cover the
 *            primary's; 0 if never
 * @wait_us: expected time in its owner's queue
 */
typedef struct jh_database_view {
	char *name;
	bool reachable;
	jh_position_t position;
	jh_position_t held;
	uint64_t held_term;
	int64_t fresh_us;
	int64_t wait_us;
} jh_database_view_t;

/**
 * struct jh_group_view - a group as last heard of
 * @group: its name
 * @term: highest term known
 * @primary: name of that term's primary, NULL while there is none
 * @databases: array of jh_database_view_t *
 */
typedef struct jh_group_view {
	char *group;
	uint64_t term;
	char *primary;
	GPtrArray *databases;
} jh_group_view_t;

#endif
