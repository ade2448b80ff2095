#ifndef SDB_MEMBER_H
#define SDB_MEMBER_H

#include "jh_view.h"

/**
 * DOC: Member of a group
 *
 * The replicated log of one member and the rules by which terms change. Pure: time comes in as a
 * parameter, messages between members are structs. The rules are those of Raft, except that an
 * outside actor raises the term and chooses the primary (group_fence, group_promote).
 */

typedef enum sdb_role {
	SDB_REPLICA,
	SDB_PRIMARY,
} sdb_role_t;

/**
 * struct sdb_entry - one committed transaction
 * @term: of the primary that appended it
 * @payload: its statements; NULL for the entry that starts a term
 * @received_us: when this member took it
 */
typedef struct sdb_entry {
	uint64_t term;
	GBytes *payload;
	int64_t received_us;
} sdb_entry_t;

/**
 * struct sdb_member - one member's state
 * @name: its own name
 * @members: array of char *, all members of the group
 * @role: primary or replica
 * @term: of the primary that it is or follows
 * @primary: the primary's name, NULL if it follows none
 * @promised_term: it takes no entry of a lower term
 * @promised_actor: to whom @promised_term was promised, NULL if it came with group_follow
 * @log: array of sdb_entry_t *; the entry with index i is at i - 1
 * @applied: index that reads see
 * @majority: highest index known to be held by a majority
 * @matches: primary: array of uint64_t, by member, index up to which its log is known to match
 * @heard_us: replica: when it last heard from its primary
 * @fresh_us: when @applied was last known to cover the primary's; -1 if never
 * @sightings: array of sdb_sighting_t, ends of the primary's log that @applied does not cover yet
 * @version: changes with every change of what group_status() shows, but its durations
 */
typedef struct sdb_member {
	char *name;
	GPtrArray *members;
	sdb_role_t role;
	uint64_t term;
	char *primary;
	uint64_t promised_term;
	char *promised_actor;
	GPtrArray *log;
	uint64_t applied;
	uint64_t majority;
	GArray *matches;
	int64_t heard_us;
	int64_t fresh_us;
	GArray *sightings;
	uint64_t version;
} sdb_member_t;

/** struct sdb_sighting - the primary's log ended at @end at @at_us or later */
typedef struct sdb_sighting {
	uint64_t end;
	int64_t at_us;
} sdb_sighting_t;

/**
 * struct sdb_fetch - a replica asks its primary for entries
 * @member: the replica
 * @held: end of its log
 * @majority: what it knows to be held by a majority
 */
typedef struct sdb_fetch {
	char *member;
	jh_position_t held;
	uint64_t majority;
} sdb_fetch_t;

/**
 * struct sdb_fetched - the answer
 * @term: the primary's, 0 if the member asked is no primary
 * @matches: the replica's log agrees with the primary's up to @after
 * @after: entries follow the one with this index; later ones of the replica are removed
 * @entries: array of sdb_entry_t *, may be empty; owned
 * @end: end of the primary's log
 * @majority: index held by a majority
 * @waited_us: time between question and answer at the primary
 */
typedef struct sdb_fetched {
	uint64_t term;
	bool matches;
	uint64_t after;
	GPtrArray *entries;
	uint64_t end;
	uint64_t majority;
	int64_t waited_us;
} sdb_fetched_t;

/** sdb_member_new() - member @name of the group, in term 1 under @primary. Return: new */
sdb_member_t *sdb_member_new(const char *name, const GPtrArray *members, const char *primary,
			     int64_t now_us);
void sdb_member_free(sdb_member_t *member);

/** sdb_member_held() - end of the log */
jh_position_t sdb_member_held(const sdb_member_t *member);

/** sdb_member_position() - position of an index that the log has; 0/0 for index 0 */
jh_position_t sdb_member_position(const sdb_member_t *member, uint64_t index);

/** sdb_member_append() - primary: append a committed transaction; takes over @payload */
jh_position_t sdb_member_append(sdb_member_t *member, GBytes *payload, int64_t now_us);

/** sdb_member_fence() - promise @term to @actor. Return: granted */
bool sdb_member_fence(sdb_member_t *member, uint64_t term, const char *actor);

/** sdb_member_promote() - become primary of @term, promised to @actor. Return: granted */
bool sdb_member_promote(sdb_member_t *member, uint64_t term, const char *actor, int64_t now_us);

/** sdb_member_follow() - replicate from @primary of @term. Return: granted */
bool sdb_member_follow(sdb_member_t *member, uint64_t term, const char *primary, int64_t now_us);

/** sdb_member_hear() - primary: note what a fetch says of its sender's log */
void sdb_member_hear(sdb_member_t *member, const sdb_fetch_t *fetch);

/** sdb_member_has_news() - true if a fetch can be answered with something new */
bool sdb_member_has_news(const sdb_member_t *member, const sdb_fetch_t *fetch);

/** sdb_member_answer() - answer a fetch, with at most @max_entries and about @max_bytes */
void sdb_member_answer(const sdb_member_t *member, const sdb_fetch_t *fetch, unsigned max_entries,
		       size_t max_bytes, sdb_fetched_t *fetched);

/** sdb_entries_new() - array that owns sdb_entry_t. Return: new */
GPtrArray *sdb_entries_new(void);

/** sdb_fetched_clear() - free the entries */
void sdb_fetched_clear(sdb_fetched_t *fetched);

/** sdb_entry_new() - takes over @payload. Return: new */
sdb_entry_t *sdb_entry_new(uint64_t term, GBytes *payload, int64_t received_us);

/**
 * sdb_member_take() - replica: take its primary's answer
 * @sent_us: when the question was sent
 *
 * Return: false if the answer is of a replaced primary or does not fit the log
 */
bool sdb_member_take(sdb_member_t *member, const sdb_fetched_t *fetched, int64_t sent_us,
		     int64_t now_us);

/** sdb_member_applicable() - index up to which entries may be applied, given the lag */
uint64_t sdb_member_applicable(const sdb_member_t *member, int64_t lag_us, int64_t now_us);

/** sdb_member_set_applied() - reads see entries up to @index from now on */
void sdb_member_set_applied(sdb_member_t *member, uint64_t index);

#endif
