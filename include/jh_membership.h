#ifndef JH_MEMBERSHIP_H
#define JH_MEMBERSHIP_H

#include "jh_view.h"

/**
 * DOC: Membership
 *
 * Which VMs live. Each VM probes a fixed few others, its targets, so that its cost does not grow
 * with the fleet and a VM is watched by as many as it watches. News travels on probes and their
 * answers. A VM that answers neither directly nor through others is suspected, and counts as dead
 * unless it refutes that with a higher incarnation number in time. The platform's list adds VMs
 * and marks departing ones; as it lags, it never revives a VM that does not answer.
 *
 * Pure: times are microseconds of the VM's own monotonic clock. Names are interned strings.
 */

/** JH_MEMBERSHIP_TARGETS - VMs that a VM probes */
#define JH_MEMBERSHIP_TARGETS 6u

/** JH_MEMBERSHIP_MAX_UPDATES - most news in one message */
#define JH_MEMBERSHIP_MAX_UPDATES 8u

/** JH_MEMBERSHIP_TICK_US - time between two ticks */
#define JH_MEMBERSHIP_TICK_US ((int64_t)50 * 1000)

/**
 * struct jh_vm_update - what is said of a VM
 * @name: interned, as are @dc and @host
 * @state: as believed by the teller
 * @incarnation: raised only by the VM itself; a higher one replaces lower ones
 */
typedef struct jh_vm_update {
	const char *name;
	const char *dc;
	const char *host;
	uint16_t port;
	jh_vm_state_t state;
	uint64_t incarnation;
} jh_vm_update_t;

/** enum jh_membership_event_type - what happened */
typedef enum jh_membership_event_type {
	/** @JH_MEMBERSHIP_TICK: time passed */
	JH_MEMBERSHIP_TICK,
	/** @JH_MEMBERSHIP_PROBED: a Probe came in */
	JH_MEMBERSHIP_PROBED,
	/** @JH_MEMBERSHIP_ANSWERED: a ProbeAck came in */
	JH_MEMBERSHIP_ANSWERED,
	/** @JH_MEMBERSHIP_LISTED: the platform's list was read */
	JH_MEMBERSHIP_LISTED,
	/** @JH_MEMBERSHIP_DRAINED: this VM shuts down gracefully */
	JH_MEMBERSHIP_DRAINED,
} jh_membership_event_type_t;

/**
 * struct jh_membership_event - input of a decision
 * @from: sender of a message
 * @sequence: chosen by the prober; 0 wants no answer
 * @target: VM to probe for the sender, or that answered through it; NULL: the receiver itself
 * @news: borrowed array of news
 * @list: array of jh_vm_t *, borrowed (LISTED)
 */
typedef struct jh_membership_event {
	jh_membership_event_type_t type;
	const char *from;
	uint64_t sequence;
	const char *target;
	const jh_vm_update_t *news;
	unsigned news_count;
	const GPtrArray *list;
} jh_membership_event_t;

/** enum jh_membership_action_type - what to do */
typedef enum jh_membership_action_type {
	/** @JH_MEMBERSHIP_PROBE: send a Probe */
	JH_MEMBERSHIP_PROBE,
	/** @JH_MEMBERSHIP_ANSWER: send a ProbeAck */
	JH_MEMBERSHIP_ANSWER,
	/** @JH_MEMBERSHIP_CHANGED: the view changed; publish it */
	JH_MEMBERSHIP_CHANGED,
	/** @JH_MEMBERSHIP_REFUTED: this VM was held to be suspect or dead, and says otherwise */
	JH_MEMBERSHIP_REFUTED,
} jh_membership_action_type_t;

/** struct jh_membership_action - output of a decision; fields as in the event */
typedef struct jh_membership_action {
	jh_membership_action_type_t type;
	const char *to;
	uint64_t sequence;
	const char *target;
	jh_vm_update_t news[JH_MEMBERSHIP_MAX_UPDATES];
	unsigned news_count;
} jh_membership_action_t;

typedef struct jh_membership jh_membership_t;

/** jh_membership_new() - know of this VM only. Return: new */
jh_membership_t *jh_membership_new(const jh_vm_t *self);

/** jh_membership_free() - free it; NULL is allowed */
void jh_membership_free(jh_membership_t *membership);

/**
 * jh_membership_decide() - take one event and say what to do
 * @actions: array of jh_membership_action_t, emptied and filled
 */
void jh_membership_decide(jh_membership_t *membership, const jh_membership_event_t *event,
			  int64_t now_us, uint64_t random, GArray *actions);

/**
 * jh_membership_view() - VMs for placement, sorted by name, this one included
 *
 * A suspected VM keeps its roles until it counts as dead, so that a lost message moves nothing.
 * This VM shows itself as suspect while it does not know whether it was declared dead.
 *
 * Return: new array of jh_vm_t * with g_free'd strings
 */
GPtrArray *jh_membership_view(const jh_membership_t *membership);

/** jh_membership_state() - state that @name is believed to be in, JH_VM_DEAD if unknown */
jh_vm_state_t jh_membership_state(const jh_membership_t *membership, const char *name);

#endif
