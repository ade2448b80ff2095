#ifndef JH_READ_CHOICE_H
#define JH_READ_CHOICE_H

#include "jh_view.h"

/**
 * DOC: Choice of a database for a read
 *
 * A read may go to a member that has applied the session's position and whose data is fresh enough.
 * Replicas are preferred over the primary, whose slots the writes need. The decision does no I/O
 * and keeps no state. docs/internals/read-your-writes.md compares the alternatives.
 */

/** JH_AGE_ANY - a read that accepts data of any age */
#define JH_AGE_ANY (-1)

/**
 * struct jh_read_member - a member as a candidate for a read
 * @position: applied position (what its reads see), as last reported
 * @held: received position (end of its log), as last reported
 * @last_caught_up_us: last time that @position was known to be as high as the primary's; 0 if never
 * @wait_us: expected time in the queue of its owner
 * @distance_us: time that the distance to its data centre adds to a round trip
 * @primary: it is the primary of the view's term
 * @usable: it is reachable and not departing, its owner is known, and the request does not
 *          exclude it
 */
typedef struct jh_read_member {
	jh_position_t position;
	jh_position_t held;
	int64_t last_caught_up_us;
	int64_t wait_us;
	int64_t distance_us;
	bool primary;
	bool usable;
} jh_read_member_t;

/**
 * struct jh_read_need - freshness requirement of a read
 * @position: lowest position that the member must have applied: the session's newest write in the
 *            group
 * @since_us: time when this VM first saw that position; the write is at least as old
 * @max_age_us: highest age of the data that is accepted, or JH_AGE_ANY
 * @view_term: term of the view that the candidates come from
 */
typedef struct jh_read_need {
	jh_position_t position;
	int64_t since_us;
	int64_t max_age_us;
	uint64_t view_term;
} jh_read_need_t;

/** enum jh_read_action - what to do with a read */
typedef enum jh_read_action {
	/** @JH_READ_SEND: send it to the chosen member */
	JH_READ_SEND,
	/** @JH_READ_WAIT_REPLICA: wait; a replica is expected to respond sooner than the primary */
	JH_READ_WAIT_REPLICA,
	/** @JH_READ_WAIT_VIEW: wait for a newer view; in this one no member can serve it */
	JH_READ_WAIT_VIEW,
} jh_read_action_t;

/** enum jh_read_reason - why a read waits */
typedef enum jh_read_reason {
	JH_READ_REASON_NONE,
	/** @JH_READ_REASON_UNREACHABLE: no member is usable */
	JH_READ_REASON_UNREACHABLE,
	/** @JH_READ_REASON_BEHIND: the usable members have not applied the position yet */
	JH_READ_REASON_BEHIND,
	/** @JH_READ_REASON_AHEAD: no member of the group is known to have received the position */
	JH_READ_REASON_AHEAD,
	/** @JH_READ_REASON_AGE: the usable members' data is too old */
	JH_READ_REASON_AGE,
} jh_read_reason_t;

/**
 * struct jh_read_choice - result of jh_read_choose()
 * @action: what to do
 * @member: JH_READ_SEND: index of the member to send to
 * @wait_us: JH_READ_WAIT_REPLICA: decide again after this time or when a newer view arrives
 * @reason: JH_READ_WAIT_*: why the read waits
 */
typedef struct jh_read_choice {
	jh_read_action_t action;
	unsigned member;
	int64_t wait_us;
	jh_read_reason_t reason;
} jh_read_choice_t;

/**
 * jh_read_choose() - choose a member for a read, or decide to wait
 * @members: candidates, with times in microseconds
 * @count: number of @members; may be 0
 * @need: freshness requirement of the read
 * @now_us: current time on the same clock as @last_caught_up_us and @since_us
 */
jh_read_choice_t jh_read_choose(const jh_read_member_t *members, unsigned count,
				const jh_read_need_t *need, int64_t now_us);

#endif
