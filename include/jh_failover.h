#ifndef JH_FAILOVER_H
#define JH_FAILOVER_H

#include "jh_group.h"

/**
 * DOC: Change of primary
 *
 * The coordinator of a group decides from the observers' reports whether the primary is gone,
 * and leads a change: it connects to a majority of the members, raises the term there (fence),
 * promotes the furthest member of that majority, and lets the others follow. The decision is
 * pure; the group task runs its actions and feeds their outcomes back as events.
 *
 * Safety rests on the members alone: a promised term is never taken back, and a coordinator
 * promotes at most once in a term and only after a majority promised that term to it. Who is
 * coordinator, and whether the primary is really gone, matter for speed only.
 */

/** JH_FAILOVER_MEMBERS - most members of a group */
#define JH_FAILOVER_MEMBERS 9

/** JH_FAILOVER_ACTIONS - most actions of one decision */
#define JH_FAILOVER_ACTIONS (JH_FAILOVER_MEMBERS + 4)

/** JH_FAILOVER_NO_RANK - rank of a VM that does not lead changes */
#define JH_FAILOVER_NO_RANK 255u

/** enum jh_authority - who decides which term is next */
typedef enum jh_authority {
	/** @JH_TERMS_FROM_MEMBERS: a majority of the members; the platform's row is a copy */
	JH_TERMS_FROM_MEMBERS,
	/** @JH_TERMS_FROM_PLATFORM: compare-and-set of the platform's row, then the members */
	JH_TERMS_FROM_PLATFORM,
} jh_authority_t;

/** enum jh_failover_event_type - what happened */
typedef enum jh_failover_event_type {
	/** @JH_FAILOVER_TICK: time passed; @rank and @paused are set */
	JH_FAILOVER_TICK,
	/** @JH_FAILOVER_CONNECTED: a control connection to @member is open */
	JH_FAILOVER_CONNECTED,
	/** @JH_FAILOVER_CLAIMED: the row's compare-and-set to @term ended; @granted if it won */
	JH_FAILOVER_CLAIMED,
	/** @JH_FAILOVER_FENCED: @member answered a fence of @term */
	JH_FAILOVER_FENCED,
	/** @JH_FAILOVER_PROMOTED: @member answered a promotion in @term */
	JH_FAILOVER_PROMOTED,
} jh_failover_event_type_t;

/**
 * struct jh_failover_event - input of a decision
 * @rank: 0 for the coordinator, 1 for the VM that takes over if it does not act, and so on
 * @paused: this process did not run for a while
 * @term: term that the command was sent for
 * @promised_term: the member's promise (FENCED)
 * @held: end of the member's log (FENCED)
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

/** enum jh_failover_action_type - what to do */
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
	/** @JH_FAILOVER_ANNOUNCE: tell all that @primary is primary of @term */
	JH_FAILOVER_ANNOUNCE,
	/** @JH_FAILOVER_GIVE_UP: the try in @term failed; close its connections */
	JH_FAILOVER_GIVE_UP,
} jh_failover_action_type_t;

/** struct jh_failover_action - output of a decision; @member and @primary are numbers */
typedef struct jh_failover_action {
	jh_failover_action_type_t type;
	unsigned member;
	unsigned primary;
	uint64_t term;
} jh_failover_action_t;

/** struct jh_failover_actions - what a decision asks for, in order */
typedef struct jh_failover_actions {
	jh_failover_action_t list[JH_FAILOVER_ACTIONS];
	unsigned count;
} jh_failover_actions_t;

/** enum jh_failover_cause - why the primary counts as gone */
typedef enum jh_failover_cause {
	JH_CAUSE_NONE,
	/** @JH_CAUSE_MEMBERS_LOST_PRIMARY: a majority of the members finds it gone */
	JH_CAUSE_MEMBERS_LOST_PRIMARY,
	/** @JH_CAUSE_UNREACHABLE: no observer reaches it, though they reach a majority */
	JH_CAUSE_UNREACHABLE,
	/** @JH_CAUSE_NO_PRIMARY: the highest term has no primary */
	JH_CAUSE_NO_PRIMARY,
	/** @JH_CAUSE_HIGHER_TERM: a member promised a higher term in a try that failed */
	JH_CAUSE_HIGHER_TERM,
	/** @JH_CAUSE_DEPARTING: operators take the primary out, and a majority goes on without */
	JH_CAUSE_DEPARTING,
	JH_CAUSES,
} jh_failover_cause_t;

/** enum jh_failover_phase - how far a change has come */
typedef enum jh_failover_phase {
	JH_PHASE_IDLE,
	JH_PHASE_CONNECTING,
	JH_PHASE_CLAIMING,
	JH_PHASE_FENCING,
	JH_PHASE_PROMOTING,
	JH_PHASE_BACKOFF,
} jh_failover_phase_t;

/**
 * struct jh_failover - a coordinator's state for one group; zero it, then set @authority
 * @authority: who decides which term is next
 * @departing: bit mask of the members that operators take out; set by the caller
 * @phase: how far a change has come
 * @cause: why it was begun
 * @since_us: since when each cause holds, 0 if it does not
 * @term: of the change in hand, or of the last one tried; never used twice
 * @until_us: when the phase's time is over
 * @tries: failed in a row
 * @members: bit masks of members by number
 * @target: member being promoted
 * @followed_us: when each member was last told whom to follow
 */
typedef struct jh_failover {
	jh_authority_t authority;
	uint32_t departing;
	jh_failover_phase_t phase;
	jh_failover_cause_t cause;
	int64_t since_us[JH_CAUSES];
	uint64_t term;
	int64_t until_us;
	unsigned tries;
	uint32_t connected;
	uint32_t granted;
	jh_position_t held[JH_FAILOVER_MEMBERS];
	unsigned target;
	int64_t followed_us[JH_FAILOVER_MEMBERS];
} jh_failover_t;

/**
 * jh_failover_decide() - take one event and say what to do
 * @failover: the coordinator's state
 * @state: what is known of the group
 * @event: what happened
 * @now_us: monotonic time
 * @random: 64 random bits
 * @actions: filled
 */
void jh_failover_decide(jh_failover_t *failover, const jh_group_state_t *state,
			const jh_failover_event_t *event, int64_t now_us, uint64_t random,
			jh_failover_actions_t *actions);

/**
 * jh_failover_needs_attention() - true if an observer should report to the coordinator
 *
 * That is so if the primary may be gone, or a member follows no or an older primary.
 */
bool jh_failover_needs_attention(const jh_group_state_t *state, const char *observer,
				 int64_t now_us);

#endif
