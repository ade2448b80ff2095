#ifndef JH_READ_CHOICE_H
#define JH_READ_CHOICE_H

#include "jh_view.h"

/**
 * DOC: Choice of a database for a read
 *
 * A read may go to a member that covers the session's position and is fresh enough. Replicas go
 * before the primary, whose slots the writes need. docs/internals/read-your-writes.md weighs the
 * ways.
 */

/** JH_AGE_ANY - a read that accepts data of any age */
#define JH_AGE_ANY (-1)

/**
 * struct jh_read_member - one database as a candidate
 * @position: what its reads see, as last reported
 * @held: end of its log, as last reported
 * @fresh_us: when @position was last known to cover the primary's; 0: never
 * @wait_us: expected time in its queue
 * @distance_us: time that its data centre adds to a round trip
 * @primary: it is the primary of the view's term
 * @usable: reachable, not departing, its owner is known, and not excluded by this request
 */
typedef struct jh_read_member {
	jh_position_t position;
	jh_position_t held;
	int64_t fresh_us;
	int64_t wait_us;
	int64_t distance_us;
	bool primary;
	bool usable;
} jh_read_member_t;

/**
 * struct jh_read_need - what a read asks for
 * @position: newest write of the session in the group
 * @since_us: when that position was first seen here; its write is not younger
 * @max_age_us: oldest data accepted, JH_AGE_ANY for any
 * @view_term: the term of the view that the members come from
 */
typedef struct jh_read_need {
	jh_position_t position;
	int64_t since_us;
	int64_t max_age_us;
	uint64_t view_term;
} jh_read_need_t;

/** enum jh_read_action - what to do with a read now */
typedef enum jh_read_action {
	/** @JH_READ_SEND: send it to the member */
	JH_READ_SEND,
	/** @JH_READ_WAIT_REPLICA: a replica will cover it sooner than the primary would answer */
	JH_READ_WAIT_REPLICA,
	/** @JH_READ_WAIT_VIEW: no member is known to serve it; a newer view may show one */
	JH_READ_WAIT_VIEW,
} jh_read_action_t;

/** enum jh_read_reason - why a read can't be served yet */
typedef enum jh_read_reason {
	JH_READ_REASON_NONE,
	/** @JH_READ_REASON_UNREACHABLE: no member is usable */
	JH_READ_REASON_UNREACHABLE,
	/** @JH_READ_REASON_BEHIND: the usable members have not applied the position yet */
	JH_READ_REASON_BEHIND,
	/** @JH_READ_REASON_AHEAD: no member of the group holds the position at all */
	JH_READ_REASON_AHEAD,
	/** @JH_READ_REASON_AGE: the usable members' data is too old */
	JH_READ_REASON_AGE,
} jh_read_reason_t;

/**
 * struct jh_read_choice - the decision
 * @action: what to do
 * @member: index of the member to send to
 * @wait_us: JH_READ_WAIT_REPLICA: decide again after this time, or on a newer view
 * @reason: why it waits
 */
typedef struct jh_read_choice {
	jh_read_action_t action;
	unsigned member;
	int64_t wait_us;
	jh_read_reason_t reason;
} jh_read_choice_t;

/** jh_read_choose() - decide where a read goes; @now_us on the clock of the members' times */
jh_read_choice_t jh_read_choose(const jh_read_member_t *members, unsigned count,
				const jh_read_need_t *need, int64_t now_us);

#endif
