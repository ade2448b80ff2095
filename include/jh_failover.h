#ifndef JH_FAILOVER_H
#define JH_FAILOVER_H

#include "jh_group.h"

/**
 * DOC: Change of primary
 *
 * The coordinator of a group decides from the observers' reports whether the primary has failed,
 * and runs the change of primary: it connects to a majority of the members, raises the promised
 * term on each of them (fence), promotes the member of that majority with the highest received
 * position, and makes the other members follow it. The decision is a pure function of its inputs;
 * the group task runs the actions and reports their outcomes as events.
 *
 * The algorithm resembles leader election in Paxos and Raft. The members promise terms and hold no
 * election of their own; an outside coordinator chooses the term and the new primary.
 *
 * Safety rests on the members alone: a member never lowers its promised term, and a coordinator
 * promotes at most once in a term and only after a majority promised that term to it. The choice
 * of the coordinator and the detection of a failed primary affect only how soon a change starts.
 */

/** JH_FAILOVER_MEMBERS_MAX - maximum number of members of a group */
#define JH_FAILOVER_MEMBERS_MAX 9

/** JH_FAILOVER_ACTIONS_MAX - maximum number of actions of one decision */
#define JH_FAILOVER_ACTIONS_MAX (JH_FAILOVER_MEMBERS_MAX + 4)

/** JH_FAILOVER_NO_RANK - rank of a VM that never acts as coordinator */
#define JH_FAILOVER_NO_RANK 255u

/** enum jh_term_issuer - what makes sure that only one coordinator gets a term */
typedef enum jh_term_issuer {
	/** @JH_TERMS_FROM_MEMBERS: a majority of the members; the platform's row is a copy */
	JH_TERMS_FROM_MEMBERS,
	/** @JH_TERMS_FROM_PLATFORM: compare-and-set of the platform's row, then the members */
	JH_TERMS_FROM_PLATFORM,
} jh_term_issuer_t;

/** enum jh_failover_event_type - kind of event that a decision handles */
typedef enum jh_failover_event_type {
	/** @JH_FAILOVER_TICK: time passed; @rank and @paused are set */
	JH_FAILOVER_TICK,
	/** @JH_FAILOVER_CONNECTED: a control connection to @member is open */
	JH_FAILOVER_CONNECTED,
	/** @JH_FAILOVER_CLAIMED: the row's compare-and-set to @term ended; @granted if it won */
	JH_FAILOVER_CLAIMED,
	/** @JH_FAILOVER_FENCED: @member replied to a fence of @term; @granted if it promised it */
	JH_FAILOVER_FENCED,
	/**
	 * @JH_FAILOVER_PROMOTED: @member replied to a promotion in @term; @granted if it accepted
	 */
	JH_FAILOVER_PROMOTED,
} jh_failover_event_type_t;

/**
 * struct jh_failover_event - input of a decision
 * @rank: 0 for the coordinator, 1 for the VM that replaces it if it does not act, and so on
 * @paused: this process did not run for a time, so its reports may be outdated
 * @member: number of the member that the event is about
 * @term: term that the command was sent for
 * @granted: whether the command succeeded
 * @promised_term: the member's promised term (FENCED)
 * @held: the member's received position (FENCED)
 */
typedef struct jh_failover_event {
	jh_failover_event_type_t type;
	unsigned rank;
	bool paused;
	unsigned member;
	uint64_t term;
	bool granted;
	uint64_t promised_term;
	jh_position_t held;
} jh_failover_event_t;

/** enum jh_failover_action_type - kind of action that a decision asks for */
typedef enum jh_failover_action_type {
	/** @JH_FAILOVER_CONNECT: open a control connection to @member */
	JH_FAILOVER_CONNECT,
	/** @JH_FAILOVER_CLAIM: compare-and-set the platform's row to @term */
	JH_FAILOVER_CLAIM,
	/** @JH_FAILOVER_FENCE: group_fence(@term) on @member */
	JH_FAILOVER_FENCE,
	/** @JH_FAILOVER_PROMOTE: group_promote(@term) on @member */
	JH_FAILOVER_PROMOTE,
	/** @JH_FAILOVER_FOLLOW: group_follow(@term, @primary) on @member */
	JH_FAILOVER_FOLLOW,
	/** @JH_FAILOVER_ANNOUNCE: announce to all VMs that @primary is the primary of @term */
	JH_FAILOVER_ANNOUNCE,
	/** @JH_FAILOVER_ABORT: the attempt in @term failed; close its connections */
	JH_FAILOVER_ABORT,
} jh_failover_action_type_t;

/** struct jh_failover_action - output of a decision; @member and @primary are member numbers */
typedef struct jh_failover_action {
	jh_failover_action_type_t type;
	unsigned member;
	unsigned primary;
	uint64_t term;
} jh_failover_action_t;

/** struct jh_failover_actions - actions of one decision, to be run in this order */
typedef struct jh_failover_actions {
	jh_failover_action_t list[JH_FAILOVER_ACTIONS_MAX];
	unsigned count;
} jh_failover_actions_t;

/** enum jh_failover_cause - why the primary must be replaced */
typedef enum jh_failover_cause {
	JH_CAUSE_NONE,
	/**
	 * @JH_CAUSE_MEMBERS_LOST_PRIMARY: a majority of the members counts as having lost it:
	 * replicas that no longer hear from it, and itself if no observer reaches it
	 */
	JH_CAUSE_MEMBERS_LOST_PRIMARY,
	/** @JH_CAUSE_UNREACHABLE: no observer reaches it, though they reach a majority */
	JH_CAUSE_UNREACHABLE,
	/** @JH_CAUSE_NO_PRIMARY: the highest term has no primary */
	JH_CAUSE_NO_PRIMARY,
	/** @JH_CAUSE_HIGHER_TERM: a member promised a higher term in an attempt that failed */
	JH_CAUSE_HIGHER_TERM,
	/** @JH_CAUSE_DEPARTING: operators remove the primary; the other members are a majority */
	JH_CAUSE_DEPARTING,
	/** @JH_CAUSE_COUNT: number of causes */
	JH_CAUSE_COUNT,
} jh_failover_cause_t;

/** enum jh_failover_phase - progress of a change of primary */
typedef enum jh_failover_phase {
	JH_PHASE_IDLE,
	JH_PHASE_CONNECTING,
	JH_PHASE_CLAIMING,
	JH_PHASE_FENCING,
	JH_PHASE_PROMOTING,
	/** @JH_PHASE_BACKOFF: an attempt failed; the next one waits for the end of this phase */
	JH_PHASE_BACKOFF,
} jh_failover_phase_t;

/**
 * struct jh_failover - a coordinator's state for one group; zero it, then set @issuer
 * @issuer: what issues the terms
 * @departing: bit mask of the members that operators remove; set by the caller
 * @phase: progress of the change in progress
 * @cause: confirmed cause at the last tick, or none
 * @since_us: monotonic time since when each cause holds, 0 if it does not
 * @term: term of the change in progress, or of the last attempt; never used twice
 * @phase_deadline_us: monotonic time when the phase times out or the backoff ends
 * @failed_attempts: number of consecutive failed attempts
 * @connected: bit mask of the members with an open control connection in this attempt
 * @granted: bit mask of the members that promised @term
 * @held: received position of each member in @granted
 * @target: number of the member being promoted
 * @follow_sent_us: monotonic time of the last command to follow the primary, for each member
 */
typedef struct jh_failover {
	jh_term_issuer_t issuer;
	uint32_t departing;
	jh_failover_phase_t phase;
	jh_failover_cause_t cause;
	int64_t since_us[JH_CAUSE_COUNT];
	uint64_t term;
	int64_t phase_deadline_us;
	unsigned failed_attempts;
	uint32_t connected;
	uint32_t granted;
	jh_position_t held[JH_FAILOVER_MEMBERS_MAX];
	unsigned target;
	int64_t follow_sent_us[JH_FAILOVER_MEMBERS_MAX];
} jh_failover_t;

/**
 * jh_failover_decide() - handle one event and decide on the next actions
 * @failover: the coordinator's state; changed in place
 * @state: what this VM knows about the group; at most JH_FAILOVER_MEMBERS_MAX members
 * @event: the event; @event->member is 0 where no member applies
 * @now_us: monotonic time, microseconds
 * @random: 64 random bits, for the backoff
 * @actions: overwritten with the actions to run, in order; may be empty
 *
 * An event that comes too late (for another term than the one in progress, in another phase, or
 * about a member that is no longer in the group) starts no action.
 */
void jh_failover_decide(jh_failover_t *failover, const jh_group_state_t *state,
			const jh_failover_event_t *event, int64_t now_us, uint64_t random,
			jh_failover_actions_t *actions);

/**
 * jh_failover_needs_observation() - whether an observer should report to the coordinator
 * @state: what this VM knows about the group
 * @observer: this VM's name; only its own reports are checked
 * @now_us: monotonic time, microseconds
 *
 * Return: true if the primary may have failed, or a member follows no primary or an older one
 */
bool jh_failover_needs_observation(const jh_group_state_t *state, const char *observer,
				   int64_t now_us);

#endif
