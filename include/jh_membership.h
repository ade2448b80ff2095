#ifndef JH_MEMBERSHIP_H
#define JH_MEMBERSHIP_H

#include "jh_view.h"

/**
 * DOC: Membership
 *
 * Failure detector of the fleet: a SWIM-style protocol that decides which VMs are live. Each VM
 * sends probes and expects a ProbeAck for each; updates about VMs are piggybacked on both. A VM
 * that acknowledges neither a direct probe nor one relayed by other VMs becomes suspect, and dead
 * unless it refutes the suspicion with a higher incarnation number in time.
 *
 * It differs from SWIM in two points. A VM probes only a few fixed targets, its successors on
 * several hash rings, so that the traffic per VM does not grow with the fleet and each VM is probed
 * by about as many VMs as it probes. The platform's list of VMs adds VMs and marks departing ones;
 * because the list lags, it never makes a dead VM live again.
 *
 * The module does no input or output. Times are microseconds of the VM's own monotonic clock.
 * Strings in updates, events and actions are interned and compared by address.
 */

/** JH_MEMBERSHIP_TARGETS - maximum number of VMs that one VM probes */
#define JH_MEMBERSHIP_TARGETS 6u

/** JH_MEMBERSHIP_MAX_UPDATES - maximum number of updates in one message */
#define JH_MEMBERSHIP_MAX_UPDATES 8u

/** JH_MEMBERSHIP_TICK_US - interval of JH_MEMBERSHIP_TICK events, microseconds */
#define JH_MEMBERSHIP_TICK_US ((int64_t)50 * 1000)

/**
 * struct jh_vm_update - state of one VM as the sender last knew it
 * @name: the VM's name, interned
 * @dc: its data centre, interned
 * @host: IP address of its peer port, interned
 * @port: its peer port
 * @state: its state; of two updates with equal @incarnation the one with the higher state wins
 * @weight: its capacity, see struct jh_vm; 0 if the sender does not know it
 * @incarnation: raised only by the VM itself; the update with the higher incarnation wins
 */
typedef struct jh_vm_update {
	const char *name;
	const char *dc;
	const char *host;
	uint16_t port;
	jh_vm_state_t state;
	unsigned weight;
	uint64_t incarnation;
} jh_vm_update_t;

/** enum jh_membership_event_type - kind of input */
typedef enum jh_membership_event_type {
	/** @JH_MEMBERSHIP_TICK: JH_MEMBERSHIP_TICK_US have passed; checks timeouts */
	JH_MEMBERSHIP_TICK,
	/** @JH_MEMBERSHIP_PROBE_RECEIVED: a Probe was received */
	JH_MEMBERSHIP_PROBE_RECEIVED,
	/** @JH_MEMBERSHIP_ACK_RECEIVED: a ProbeAck was received */
	JH_MEMBERSHIP_ACK_RECEIVED,
	/** @JH_MEMBERSHIP_LIST_READ: the platform's list of VMs was read */
	JH_MEMBERSHIP_LIST_READ,
	/** @JH_MEMBERSHIP_DRAIN_STARTED: this VM begins a graceful shutdown */
	JH_MEMBERSHIP_DRAIN_STARTED,
} jh_membership_event_type_t;

/**
 * struct jh_membership_event - input of jh_membership_decide()
 * @type: kind of input; TICK and DRAIN_STARTED use no other field
 * @from: sender of the message, interned (PROBE_RECEIVED, ACK_RECEIVED)
 * @sequence: number chosen by the prober, repeated in the ProbeAck; 0 requests no ProbeAck
 * @target: PROBE_RECEIVED: VM to probe on behalf of the sender, NULL if the probe is for this VM.
 *          ACK_RECEIVED: VM that acknowledged a probe relayed by the sender, NULL if the sender
 *          itself acknowledged. Interned.
 * @live_digest: hash of the VMs that the sender does not hold for dead, 0 if it was not given
 *               (PROBE_RECEIVED, ACK_RECEIVED)
 * @updates: piggybacked updates, borrowed (PROBE_RECEIVED, ACK_RECEIVED)
 * @update_count: number of @updates
 * @list: array of jh_vm_t *, borrowed (LIST_READ)
 */
typedef struct jh_membership_event {
	jh_membership_event_type_t type;
	const char *from;
	uint64_t sequence;
	const char *target;
	uint64_t live_digest;
	const jh_vm_update_t *updates;
	unsigned update_count;
	const GPtrArray *list;
} jh_membership_event_t;

/** enum jh_membership_action_type - what the caller has to do */
typedef enum jh_membership_action_type {
	/** @JH_MEMBERSHIP_SEND_PROBE: send a Probe to @to */
	JH_MEMBERSHIP_SEND_PROBE,
	/** @JH_MEMBERSHIP_SEND_ACK: send a ProbeAck to @to */
	JH_MEMBERSHIP_SEND_ACK,
	/**
	 * @JH_MEMBERSHIP_PUBLISH_VIEW: jh_membership_view() may have changed; publish it. Changes
	 * that follow each other closely are published together by a later event.
	 */
	JH_MEMBERSHIP_PUBLISH_VIEW,
	/**
	 * @JH_MEMBERSHIP_REFUTED: another VM reported this VM as suspect or dead; this VM raised
	 * its incarnation to refute that
	 */
	JH_MEMBERSHIP_REFUTED,
} jh_membership_action_type_t;

/**
 * struct jh_membership_action - output of jh_membership_decide()
 * @type: what to do; PUBLISH_VIEW and REFUTED use no other field
 * @to: VM to send the message to, interned
 * @sequence: as in struct jh_membership_event
 * @target: SEND_PROBE: VM that @to is asked to probe, NULL if the probe is for @to. SEND_ACK: VM
 *          that acknowledged the probe that this VM relayed for @to, NULL for this VM. Interned.
 * @live_digest: as in struct jh_membership_event; never 0 in a message
 * @updates: updates to piggyback; the first describes this VM
 * @update_count: number of @updates, at least 1 in a message
 */
typedef struct jh_membership_action {
	jh_membership_action_type_t type;
	const char *to;
	uint64_t sequence;
	const char *target;
	uint64_t live_digest;
	jh_vm_update_t updates[JH_MEMBERSHIP_MAX_UPDATES];
	unsigned update_count;
} jh_membership_action_t;

typedef struct jh_membership jh_membership_t;

/**
 * jh_membership_new() - create the state of a VM that knows no other VM
 * @self: this VM, borrowed; its state is ignored, the VM starts as live
 *
 * Return: new state; free with jh_membership_free()
 */
jh_membership_t *jh_membership_new(const jh_vm_t *self);

/** jh_membership_free() - free the state; NULL is allowed */
void jh_membership_free(jh_membership_t *membership);

/**
 * jh_membership_decide() - apply one event and return the actions that follow
 * @membership: the state
 * @event: the event; borrowed for the call
 * @now_us: monotonic time in microseconds; must not decrease from call to call
 * @random: random number; chooses the VMs that relay indirect probes
 * @actions: array of jh_membership_action_t; cleared, then filled in the order of execution
 *
 * Events may come in any order. A ProbeAck that matches no pending probe still delivers its
 * updates. The function cannot fail.
 */
void jh_membership_decide(jh_membership_t *membership, const jh_membership_event_t *event,
			  int64_t now_us, uint64_t random, GArray *actions);

/**
 * jh_membership_view() - the VMs for placement, sorted by name, this VM included
 *
 * Another VM that is suspect is shown as live or departing and keeps its roles until it is dead, so
 * that a lost message moves no role. This VM shows itself as suspect after a pause in which the
 * other VMs may have declared it dead, until a VM acknowledges a new probe or a timeout expires.
 *
 * Return: new array of jh_vm_t * without a free function; free each with jh_vm_free()
 */
GPtrArray *jh_membership_view(const jh_membership_t *membership);

/** jh_membership_state() - last known state of the VM @name; JH_VM_DEAD if it is unknown */
jh_vm_state_t jh_membership_state(const jh_membership_t *membership, const char *name);

#endif
