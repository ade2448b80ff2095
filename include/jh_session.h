#ifndef JH_SESSION_H
#define JH_SESSION_H

#include "jh_view.h"

/**
 * DOC: Sessions
 *
 * A session records how far it has written: for each group, the log position of its newest write.
 * A read of the session may go only to a database that has applied that position
 * (read-your-writes). Positions only grow, so two copies of a session merge by the maximum of each
 * group, in any order, like version vectors. A session has no lock of its own.
 */

/** JH_SESSION_MAX_GROUPS - most groups that one session can write to */
#define JH_SESSION_MAX_GROUPS 64u

/** JH_SESSION_MAX_NAME - longest name of a group in a session, in bytes without the NUL */
#define JH_SESSION_MAX_NAME 63u

/**
 * struct jh_session_entry - the newest write of a session to one group
 * @group: name of the group; interned, never freed
 * @position: log position of the write
 */
typedef struct jh_session_entry {
	const char *group;
	jh_position_t position;
} jh_session_entry_t;

/**
 * struct jh_session - one position for each group; an all-zero struct is an empty session
 * @entries: owned; NULL while there are none
 * @count: number of @entries
 */
typedef struct jh_session {
	jh_session_entry_t *entries;
	unsigned count;
} jh_session_t;

/** jh_session_clear() - remove all positions and free their memory; the session can be reused */
void jh_session_clear(jh_session_t *session);

/**
 * jh_session_get_position() - get the position that a read of @group requires
 *
 * Return: position of the session's newest write to @group, 0/0 if it has written nothing there
 */
jh_position_t jh_session_get_position(const jh_session_t *session, const char *group);

/** jh_session_has_room() - true if the session has an entry for @group or room for one */
bool jh_session_has_room(const jh_session_t *session, const char *group);

/**
 * jh_session_advance() - record a write to @group
 * @session: unchanged if its position for @group is equal or newer
 * @group: name of the group, at most JH_SESSION_MAX_NAME bytes, which is not checked; copied
 * @position: log position of the write
 *
 * Return: 0, or -1 if the session has no room for another group, with @session unchanged
 */
int jh_session_advance(jh_session_t *session, const char *group, jh_position_t position);

/** jh_session_forget() - remove the position of @group, if there is one */
void jh_session_forget(jh_session_t *session, const char *group);

/**
 * jh_session_merge() - set each position of @session to the maximum of both sessions
 *
 * Return: 0, or -1 if the groups of both don't fit in one session, with @session unchanged
 */
int jh_session_merge(jh_session_t *session, const jh_session_t *other);

/**
 * jh_session_dominates() - compare two sessions as version vectors
 *
 * Return: true if no position of @other is newer than that of @session for the same group
 */
bool jh_session_dominates(const jh_session_t *session, const jh_session_t *other);

#endif
