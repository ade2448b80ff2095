#ifndef JH_GROUP_H
#define JH_GROUP_H

#include "jh_view.h"

/**
 * DOC: What a daemon knows of a group
 *
 * Observers report on the members of a group; a group state keeps the newest report of each
 * observer on each member, and the highest term with its primary. It is pure: times are
 * microseconds of the daemon's own monotonic clock and come in as parameters.
 */

/** JH_REPORT_LIFETIME_US - a report that was not renewed for so long proves nothing */
#define JH_REPORT_LIFETIME_US ((int64_t)1500 * 1000)

/**
 * struct jh_member_report - what one observer says of one member
 * @reachable: the observer has a working connection to it
 * @is_primary: it calls itself primary of @term
 * @term: term of the primary that it is or follows
 * @promised_term: it takes no entries of lower terms
 * @held: end of its log
 * @applied: what its reads see
 * @at_us: the report was made no earlier than this
 * @fresh_us: @applied covered the primary's position then; 0 if never
 * @heard_us: it last heard from its primary then; 0 if unknown
 * @wait_us: expected time in its owner's queue
 */
typedef struct jh_member_report {
	bool reachable;
	bool is_primary;
	uint64_t term;
	uint64_t promised_term;
	jh_position_t held;
	jh_position_t applied;
	int64_t at_us;
	int64_t fresh_us;
	int64_t heard_us;
	int64_t wait_us;
} jh_member_report_t;

typedef struct jh_group_state jh_group_state_t;

/** enum jh_group_change - how much a report changed */
typedef enum jh_group_change {
	/** @JH_GROUP_UNCHANGED: only times moved on */
	JH_GROUP_UNCHANGED,
	/** @JH_GROUP_POSITION_CHANGED: a position moved */
	JH_GROUP_POSITION_CHANGED,
	/** @JH_GROUP_STATUS_CHANGED: the term, the primary, or who is reachable changed */
	JH_GROUP_STATUS_CHANGED,
} jh_group_change_t;

/** jh_group_state_new() - know nothing of the group @name yet. Return: new */
jh_group_state_t *jh_group_state_new(const char *name);

/** jh_group_state_free() - free it; NULL is allowed */
void jh_group_state_free(jh_group_state_t *state);

/** jh_group_state_set_members() - set the members; @names is an array of char * */
void jh_group_state_set_members(jh_group_state_t *state, const GPtrArray *names);

/** jh_group_state_members() - how many members the group has */
unsigned jh_group_state_members(const jh_group_state_t *state);

/** jh_group_state_member() - Return: borrowed name of a member */
const char *jh_group_state_member(const jh_group_state_t *state, unsigned member);

/** jh_group_state_index() - Return: number of the member @name, or -1 */
int jh_group_state_index(const jh_group_state_t *state, const char *name);

/** jh_group_state_majority() - how many members are a majority */
unsigned jh_group_state_majority(const jh_group_state_t *state);

/** jh_group_state_report() - take a report by @observer on @member. Return: what it changed */
jh_group_change_t jh_group_state_report(jh_group_state_t *state, const char *observer,
					unsigned member, const jh_member_report_t *report);

/**
 * jh_group_state_apply_term() - take a term and its primary from the coordinator or a peer
 * @primary: NULL or empty if the term has none yet
 *
 * A term replaces lower ones for good.
 *
 * Return: what it changed
 */
jh_group_change_t jh_group_state_apply_term(jh_group_state_t *state, uint64_t term,
					    const char *primary);

/** jh_group_state_drop_reports() - drop all reports by @observer, which is gone */
void jh_group_state_drop_reports(jh_group_state_t *state, const char *observer);

/** jh_group_state_term() - highest term known */
uint64_t jh_group_state_term(const jh_group_state_t *state);

/** jh_group_state_primary() - number of that term's primary, or -1 while it has none */
int jh_group_state_primary(const jh_group_state_t *state);

/** jh_group_state_highest_promise() - highest term that any report names */
uint64_t jh_group_state_highest_promise(const jh_group_state_t *state);

/**
 * jh_group_state_newest() - newest report on @member
 *
 * Reports that reached the member go before those that did not.
 *
 * Return: borrowed, NULL if none is younger than JH_REPORT_LIFETIME_US at @now_us
 */
const jh_member_report_t *jh_group_state_newest(const jh_group_state_t *state, unsigned member,
						int64_t now_us);

/** jh_group_state_own() - report by @observer on @member. Return: borrowed or NULL */
const jh_member_report_t *jh_group_state_own(const jh_group_state_t *state, const char *observer,
					     unsigned member);

/** typedef jh_report_fn_t - visits a report */
typedef void (*jh_report_fn_t)(const char *observer, const jh_member_report_t *report, void *data);

/** jh_group_state_each() - visit every observer's report on @member */
void jh_group_state_each(const jh_group_state_t *state, unsigned member, jh_report_fn_t visit,
			 void *data);

/** jh_group_state_view() - sum up for the other tasks. Return: new; free with jh_group_view_free()
 */
jh_group_view_t *jh_group_state_view(const jh_group_state_t *state, int64_t now_us);

#endif
