#ifndef SDB_MEMBER_H
#define SDB_MEMBER_H

#include "jh_view.h"

/**
 * DOC: Member of a group
 *
 * The replicated log of one member and the rules by which terms change. The rules are those of
 * Raft, with two differences: an outside actor (group_fence, group_promote) raises the term and
 * chooses the primary instead of an election, and replicas fetch entries instead of being sent
 * them. The functions do no I/O and read no clock: the current time is a parameter, and messages
 * between members are structs.
 *
 * Indexes count log entries from 1; index 0 stands for the empty log. Times are monotonic, in
 * microseconds. Each member measures with its own clock only.
 */

typedef enum sdb_role {
	SDB_REPLICA,
	SDB_PRIMARY,
} sdb_role_t;

/**
 * struct sdb_log_entry - one log entry: a transaction that its primary committed
 * @term: term of the primary that appended the entry
 * @payload: statements of the transaction; NULL for the entry that starts a term; owned
 * @received_us: when this member appended or received the entry
 */
typedef struct sdb_log_entry {
	uint64_t term;
	GBytes *payload;
	int64_t received_us;
} sdb_log_entry_t;

/**
 * struct sdb_member - replication state of one member
 * @name: name of this member
 * @members: array of char *, names of all members of the group, this one included
 * @role: primary or replica
 * @term: term of the primary that the member is or follows
 * @primary: name of the primary, NULL if the member follows none
 * @promised_term: highest term that the member accepted; it rejects fences, promotions and entries
 *                 of lower terms
 * @promised_actor: actor whose fence set @promised_term; NULL if a follow command or a primary's
 *                  reply raised the term
 * @log: array of sdb_log_entry_t *; the entry with index i is at i - 1
 * @applied: index up to which reads see the log
 * @commit_index: highest index known to be replicated to a majority (Raft's commitIndex)
 * @match_indexes: primary only: array of uint64_t, parallel to @members: index up to which that
 *                 member's log is known to match (Raft's matchIndex)
 * @last_contact_us: replica only: when it last received a reply of its primary, or began to follow
 * @caught_up_us: latest time at which @applied is known to have included the whole log of the
 *                primary; -1 if never
 * @log_end_samples: array of sdb_log_end_sample_t, ends of the primary's log that @applied has not
 *                   reached yet, oldest first
 * @status_version: grows with every change that group_status() shows, except for its durations
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
	uint64_t commit_index;
	GArray *match_indexes;
	int64_t last_contact_us;
	int64_t caught_up_us;
	GArray *log_end_samples;
	uint64_t status_version;
} sdb_member_t;

/**
 * struct sdb_log_end_sample - one observation of the end of the primary's log
 * @end: index of the last entry in the primary's log
 * @sampled_us: the log ended at @end at this time or later
 */
typedef struct sdb_log_end_sample {
	uint64_t end;
	int64_t sampled_us;
} sdb_log_end_sample_t;

/**
 * struct sdb_fetch - request of a replica to its primary for log entries
 * @member: name of the replica
 * @log_end: last position in the replica's log
 * @commit_index: commit index that the replica knows
 */
typedef struct sdb_fetch {
	char *member;
	jh_position_t log_end;
	uint64_t commit_index;
} sdb_fetch_t;

/**
 * struct sdb_fetch_reply - reply of a member to a fetch request
 * @term: term of the primary that replies; 0 if the member is not a primary
 * @log_matches: the replica's log agrees with the primary's up to @prev_index
 * @prev_index: index before the first of @entries; the replica removes what it has after this index
 * @entries: array of sdb_log_entry_t *, may be empty; owned
 * @end: index of the last entry in the primary's log
 * @commit_index: commit index of the primary
 * @waited_us: time in microseconds between the request and the reply, at the primary
 */
typedef struct sdb_fetch_reply {
	uint64_t term;
	bool log_matches;
	uint64_t prev_index;
	GPtrArray *entries;
	uint64_t end;
	uint64_t commit_index;
	int64_t waited_us;
} sdb_fetch_reply_t;

/**
 * sdb_member_new() - create the state of member @name with an empty log, in term 1
 * @name: copied
 * @members: names of all members; copied
 * @primary: primary of term 1; copied
 *
 * Return: new, freed with sdb_member_free()
 */
sdb_member_t *sdb_member_new(const char *name, const GPtrArray *members, const char *primary,
			     int64_t now_us);
void sdb_member_free(sdb_member_t *member);

/** sdb_member_log_end() - position of the last log entry, 0/0 if the log is empty */
jh_position_t sdb_member_log_end(const sdb_member_t *member);

/** sdb_member_position() - position of the entry @index, which the log has; 0/0 for index 0 */
jh_position_t sdb_member_position(const sdb_member_t *member, uint64_t index);

/**
 * sdb_member_append() - append a committed transaction to the log
 * @payload: statements of the transaction; takes ownership
 *
 * Aborts the process if the member is not the primary.
 *
 * Return: position of the new entry
 */
jh_position_t sdb_member_append(sdb_member_t *member, GBytes *payload, int64_t now_us);

/**
 * sdb_member_fence() - promise @term to @actor; the member becomes a replica without a primary
 *
 * A repeated call with the same term and actor is granted again and changes nothing.
 *
 * Return: true if granted, false if the member has promised this term to another or a higher one
 */
bool sdb_member_fence(sdb_member_t *member, uint64_t term, const char *actor);

/**
 * sdb_member_promote() - become primary of @term
 *
 * Appends the entry that starts the term. A repeated call is granted again and changes nothing.
 *
 * Return: true if granted; false unless @term is the promised term, @actor is the actor that it was
 * promised to, and no other member was made primary of it
 */
bool sdb_member_promote(sdb_member_t *member, uint64_t term, const char *actor, int64_t now_us);

/**
 * sdb_member_follow() - become a replica of @primary in @term
 *
 * Return: true if granted or already so; false if @term is lower than the promised term, if
 * @primary is not in the group, if @primary is this member but it was not promoted in @term, or if
 * this member is the primary of @term and another is named
 */
bool sdb_member_follow(sdb_member_t *member, uint64_t term, const char *primary, int64_t now_us);

/**
 * sdb_member_apply_fetch() - primary: record how far the log of the fetching replica matches
 *
 * May raise the commit index. Has no effect on a replica, for an unknown member, or if the logs
 * differ.
 */
void sdb_member_apply_fetch(sdb_member_t *member, const sdb_fetch_t *fetch);

/**
 * sdb_member_has_updates() - check whether a reply to @fetch is due now
 *
 * Return: true if there are entries or a commit index that the replica lacks, if the logs differ,
 * or if this member is not the primary
 */
bool sdb_member_has_updates(const sdb_member_t *member, const sdb_fetch_t *fetch);

/**
 * sdb_member_build_reply() - build the reply to a fetch request
 * @max_entries: most entries in the reply
 * @max_bytes: no entry is added once the payloads have this size in bytes
 * @reply: set, except for waited_us; freed with sdb_fetch_reply_clear()
 */
void sdb_member_build_reply(const sdb_member_t *member, const sdb_fetch_t *fetch,
			    unsigned max_entries, size_t max_bytes, sdb_fetch_reply_t *reply);

/** sdb_log_entries_new() - new empty array that owns its elements, sdb_log_entry_t * */
GPtrArray *sdb_log_entries_new(void);

/** sdb_fetch_reply_clear() - free the entries of a reply */
void sdb_fetch_reply_clear(sdb_fetch_reply_t *reply);

/** sdb_log_entry_new() - create a log entry; takes ownership of @payload. Return: new */
sdb_log_entry_t *sdb_log_entry_new(uint64_t term, GBytes *payload, int64_t received_us);

/**
 * sdb_member_apply_reply() - replica: apply a reply of its primary to the log
 * @sent_us: when the replica sent the request
 *
 * Return: false, with nothing changed, if the member follows no primary, if the reply is of an
 * earlier term or of a member that is not a primary, or if it starts after the end of the log
 */
bool sdb_member_apply_reply(sdb_member_t *member, const sdb_fetch_reply_t *reply, int64_t sent_us,
			    int64_t now_us);

/**
 * sdb_member_applicable_index() - find the index up to which entries may be applied
 * @lag_us: time since its receipt after which a replica applies an entry, in microseconds
 *
 * Return: end of the log for a primary; for a replica at most the commit index
 */
uint64_t sdb_member_applicable_index(const sdb_member_t *member, int64_t lag_us, int64_t now_us);

/** sdb_member_set_applied() - let reads see the log up to @index, which the log has */
void sdb_member_set_applied(sdb_member_t *member, uint64_t index);

#endif
