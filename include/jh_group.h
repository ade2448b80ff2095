#ifndef JH_GROUP_H
#define JH_GROUP_H

#include "jh_view.h"

/**
 * DOC: A daemon's knowledge of a group
 *
 * Observers report on the members of a group. A group state keeps the newest report of each
 * observer on each member, and the highest known term with its primary. It does no I/O and reads
 * no clock: times are microseconds of the daemon's own monotonic clock and come in as parameters.
 *
 * A member is addressed by its number, its index in the list that jh_group_state_set_members() got
 * last. Passing a number that is out of range is a programming error and aborts.
 */

/** JH_REPORT_LIFETIME_US - a report older than this no longer shows the member's state */
#define JH_REPORT_LIFETIME_US ((int64_t)1500 * 1000)

/**
 * struct jh_member_report - one observer's report on one member
 * @reachable: the observer has a working connection to it
 * @is_primary: the member reports that it is the primary of @term
 * @term: term of the primary that it is or follows
 * @promised_term: highest term that the member promised; it rejects log entries of lower terms
 * @held: received position (end of its log)
 * @applied: applied position (what its reads see)
 * @at_us: earliest time at which the report may have been made
 * @last_caught_up_us: last time that the member was known to have applied the primary's position; 0
 *	if never
 * @last_message_us: last time that the member received a message from its primary; 0 if unknown
 * @wait_us: expected time in the queue of the member's owner
 */
typedef struct jh_member_report {
	bool reachable;
	bool is_primary;
	uint64_t term;
	uint64_t promised_term;
	jh_position_t held;
	jh_position_t applied;
	int64_t at_us;
	int64_t last_caught_up_us;
	int64_t last_message_us;
	int64_t wait_us;
} jh_member_report_t;

typedef struct jh_group_state jh_group_state_t;

/** enum jh_group_change - the most important change that a report or term made */
typedef enum jh_group_change {
	/** @JH_GROUP_UNCHANGED: nothing changed, except perhaps times */
	JH_GROUP_UNCHANGED,
	/** @JH_GROUP_POSITION_CHANGED: a received or applied position changed */
	JH_GROUP_POSITION_CHANGED,
	/** @JH_GROUP_STATUS_CHANGED: a term, the primary, or whether a member is reachable */
	JH_GROUP_STATUS_CHANGED,
} jh_group_change_t;

/** jh_group_state_new() - state of the group @name, without members. Return: owned by the caller */
jh_group_state_t *jh_group_state_new(const char *name);

/** jh_group_state_free() - free it; NULL is allowed */
void jh_group_state_free(jh_group_state_t *state);

/**
 * jh_group_state_set_members() - set the members and their numbers
 * @names: array of char *, copied
 *
 * The reports on a member that was in the group before are kept; its number may change.
 */
void jh_group_state_set_members(jh_group_state_t *state, const GPtrArray *names);

/** jh_group_state_member_count() - number of members of the group */
unsigned jh_group_state_member_count(const jh_group_state_t *state);

/**
 * jh_group_state_member_name() - get the name of a member
 *
 * Return: borrowed; valid until the members are set again
 */
const char *jh_group_state_member_name(const jh_group_state_t *state, unsigned member);

/** jh_group_state_member_index() - Return: number of member @name, -1 if the group has none */
int jh_group_state_member_index(const jh_group_state_t *state, const char *name);

/** jh_group_state_majority_size() - how many members are a majority */
unsigned jh_group_state_majority_size(const jh_group_state_t *state);

/**
 * jh_group_state_apply_report() - apply a report by @observer on @member
 *
 * The report replaces the observer's earlier one, also if its time is older. If it reached the
 * member, it may also raise the group's term and set that term's primary.
 *
 * Return: what it changed
 */
jh_group_change_t jh_group_state_apply_report(jh_group_state_t *state, const char *observer,
					      unsigned member, const jh_member_report_t *report);

/**
 * jh_group_state_apply_term() - apply a term and its primary from the coordinator or another VM
 * @primary: name, copied; NULL or empty if the term has no primary yet
 *
 * The known term never becomes lower, and a term's primary never changes once it is known: a lower
 * term, or another primary for the same term, is ignored.
 *
 * Return: what it changed
 */
jh_group_change_t jh_group_state_apply_term(jh_group_state_t *state, uint64_t term,
					    const char *primary);

/**
 * jh_group_state_drop_reports() - drop all reports by @observer
 *
 * For an observer that is dead or has stopped observing.
 */
void jh_group_state_drop_reports(jh_group_state_t *state, const char *observer);

/** jh_group_state_term() - highest known term; 0 if none is known */
uint64_t jh_group_state_term(const jh_group_state_t *state);

/** jh_group_state_primary() - number of that term's primary, or -1 if it is not known */
int jh_group_state_primary(const jh_group_state_t *state);

/** jh_group_state_highest_promised_term() - highest term that is known or that a member promised */
uint64_t jh_group_state_highest_promised_term(const jh_group_state_t *state);

/**
 * jh_group_state_newest_report() - newest report on @member
 *
 * A report that reached the member is preferred over one that did not, even if it is older.
 *
 * Return: borrowed until the next report; NULL if no report is younger than JH_REPORT_LIFETIME_US
 * at @now_us
 */
const jh_member_report_t *jh_group_state_newest_report(const jh_group_state_t *state,
						       unsigned member, int64_t now_us);

/**
 * jh_group_state_observer_report() - report by @observer on @member, of any age
 *
 * Return: borrowed, NULL if there is none
 */
const jh_member_report_t *jh_group_state_observer_report(const jh_group_state_t *state,
							 const char *observer, unsigned member);

/** typedef jh_report_visit_fn_t - called for each report; must not change the group state */
typedef void (*jh_report_visit_fn_t)(const char *observer, const jh_member_report_t *report,
				     void *data);

/** jh_group_state_visit_reports() - call @visit for each observer's report on @member */
void jh_group_state_visit_reports(const jh_group_state_t *state, unsigned member,
				  jh_report_visit_fn_t visit, void *data);

/**
 * jh_group_state_view_new() - view of the group for the other tasks
 * @now_us: monotonic time; a member without a report younger than JH_REPORT_LIFETIME_US counts as
 *          unreachable
 *
 * Return: new; free with jh_group_view_free()
 */
jh_group_view_t *jh_group_state_view_new(const jh_group_state_t *state, int64_t now_us);

#endif
