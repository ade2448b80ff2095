#ifndef JH_SESSION_H
#define JH_SESSION_H

#include "jh_view.h"

/**
 * DOC: Sessions
 *
 * What a session has written: one position for each group. A read of the session may go only to a
 * database that covers the group's position. Positions only grow, so that two copies of a session
 * merge by maximum, in any order.
 */

/** JH_SESSION_MAX_GROUPS - most groups that one session writes to */
#define JH_SESSION_MAX_GROUPS 64u

/** JH_SESSION_MAX_NAME - longest name of a group in a session, in bytes */
#define JH_SESSION_MAX_NAME 63u

/**
 * struct jh_session_entry - the newest write of a session to one group
 * @group: interned name
 * @position: position of the write
 */
typedef struct jh_session_entry {
	const char *group;
	jh_position_t position;
} jh_session_entry_t;

/**
 * struct jh_session - a vector of positions; all zero is the empty one
 * @entries: one for each group; owned, NULL while there are none
 * @count: how many
 */
typedef struct jh_session {
	jh_session_entry_t *entries;
	unsigned count;
} jh_session_t;

/** jh_session_clear() - forget all positions and free their memory */
void jh_session_clear(jh_session_t *session);

/** jh_session_position() - what a read of @group must cover. Return: 0/0 if nothing was written */
jh_position_t jh_session_position(const jh_session_t *session, const char *group);

/** jh_session_has_room() - true if a write to @group can be remembered */
bool jh_session_has_room(const jh_session_t *session, const char *group);

/**
 * jh_session_advance() - remember a write; an older position changes nothing
 *
 * Return: 0, or -1 if the session has no room for a further group
 */
int jh_session_advance(jh_session_t *session, const char *group, jh_position_t position);

/**
 * jh_session_merge() - take the maximum of two sessions, group by group
 *
 * Return: 0, or -1 if there is no room, with @session unchanged
 */
int jh_session_merge(jh_session_t *session, const jh_session_t *other);

/** jh_session_covers() - true if @session covers every position of @other */
bool jh_session_covers(const jh_session_t *session, const jh_session_t *other);

#endif
