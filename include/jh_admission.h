#ifndef JH_ADMISSION_H
#define JH_ADMISSION_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: Admission of statements
 *
 * Decides for the statements of one group whether each is sent at once, waits or is refused, which
 * waiting one is next, and when a refused one may return. It estimates waits from the work that is
 * queued, the observed time for which statements occupy a member's slot, and the number of
 * slots; see docs/design/admission.md. A statement waits only while it is expected to end
 * within its limit. It does no I/O and keeps no clock: all times are microseconds of one clock of
 * the caller.
 */

typedef struct jh_admission jh_admission_t;

/** JH_ADMISSION_NEVER - see struct jh_admission_capacity */
#define JH_ADMISSION_NEVER INT64_MAX

/** enum jh_admission_lane - what a statement waits for; each lane has a queue of its own */
typedef enum jh_admission_lane {
	/** @JH_LANE_PRIMARY: a connection to the primary */
	JH_LANE_PRIMARY,
	/** @JH_LANE_POSITION: for a read, a position that shows which members are fresh enough */
	JH_LANE_POSITION,
	/** @JH_LANE_READ: a connection to any member that is fresh enough */
	JH_LANE_READ,
	JH_LANE_COUNT,
} jh_admission_lane_t;

/**
 * struct jh_admission_capacity - what serves a lane now
 * @connections: number of statements that can be under way at the same time
 * @slots: number of these that the members run at the same time; the others wait there
 * @opens_us: moment from which statements can be sent; 0 if they can be sent now,
 *	JH_ADMISSION_NEVER if no such moment is expected
 */
typedef struct jh_admission_capacity {
	unsigned connections;
	unsigned slots;
	int64_t opens_us;
} jh_admission_capacity_t;

/**
 * struct jh_admission_request - a statement
 * @id: not 0, and unique among the waiting ones
 * @team: interned
 * @lane: what it needs
 * @priority: lower values are served first
 * @arrived_us: when it arrived at the fleet
 * @target_us: moment after which its result is late
 * @limit_us: moment after which its result is useless
 * @must_wait: no connection could be had for it now, whatever the number of those in use
 */
typedef struct jh_admission_request {
	uint64_t id;
	const char *team;
	jh_admission_lane_t lane;
	int priority;
	int64_t arrived_us;
	int64_t target_us;
	int64_t limit_us;
	bool must_wait;
} jh_admission_request_t;

/** enum jh_admission_result - what is done with a statement */
typedef enum jh_admission_result {
	/** @JH_ADMISSION_RUN: it may be sent at once */
	JH_ADMISSION_RUN,
	/** @JH_ADMISSION_WAIT: it is expected to be served within its limit */
	JH_ADMISSION_WAIT,
	/** @JH_ADMISSION_REFUSE: it is not */
	JH_ADMISSION_REFUSE,
} jh_admission_result_t;

/**
 * struct jh_admission_decision - result of jh_admission_decide()
 * @result: see above
 * @is_late: if it waits, it is not expected to meet its target
 * @wait_us: expected time until it is sent; JH_ADMISSION_NEVER if no end is known
 * @retry_us: if refused, time after which a place is expected for it
 * @queued: number of statements that wait in its lane
 */
typedef struct jh_admission_decision {
	jh_admission_result_t result;
	bool is_late;
	int64_t wait_us;
	int64_t retry_us;
	unsigned queued;
} jh_admission_decision_t;

/**
 * struct jh_admission_ticket - a statement that occupies a connection, for jh_admission_finish()
 * @team: interned; NULL if there is no such statement
 */
typedef struct jh_admission_ticket {
	const char *team;
	jh_admission_lane_t lane;
	int priority;
	bool is_late;
	int64_t started_us;
} jh_admission_ticket_t;

/** jh_admission_new() - Return: new, without statements; free with jh_admission_free() */
jh_admission_t *jh_admission_new(void);
void jh_admission_free(jh_admission_t *admission);

/** jh_admission_set_capacity() - set what serves @lane; to be called before the other functions */
void jh_admission_set_capacity(jh_admission_t *admission, jh_admission_lane_t lane,
			       const jh_admission_capacity_t *capacity);

/**
 * jh_admission_decide() - decide on a statement that does not wait yet
 *
 * A statement that is to wait must be added with jh_admission_enqueue(). A refusal assigns a place
 * to return to, the next one for each.
 */
jh_admission_decision_t jh_admission_decide(jh_admission_t *admission,
					    const jh_admission_request_t *request, int64_t now_us);

/** jh_admission_enqueue() - add a statement for which jh_admission_decide() returned WAIT */
void jh_admission_enqueue(jh_admission_t *admission, const jh_admission_request_t *request,
			  const jh_admission_decision_t *decision, int64_t now_us);

/** jh_admission_remove() - remove a statement that waits. Return: false if it does not */
bool jh_admission_remove(jh_admission_t *admission, uint64_t id);

/** jh_admission_begin_pass() - forget which statements jh_admission_skip() has passed over */
void jh_admission_begin_pass(jh_admission_t *admission);

/**
 * jh_admission_next() - the statement to be sent next
 *
 * The caller sends it and calls jh_admission_take(), or calls jh_admission_skip().
 *
 * Return: its id, 0 if none can be sent now
 */
uint64_t jh_admission_next(jh_admission_t *admission, int64_t now_us);

/** jh_admission_skip() - pass over a statement, and its team's others like it, for this pass */
void jh_admission_skip(jh_admission_t *admission, uint64_t id);

/** jh_admission_take() - remove a statement that waits and count it as under way */
jh_admission_ticket_t jh_admission_take(jh_admission_t *admission, uint64_t id, int64_t now_us);

/** jh_admission_start() - count a statement as under way that did not wait */
jh_admission_ticket_t jh_admission_start(jh_admission_t *admission,
					 const jh_admission_request_t *request, int64_t now_us);

/**
 * jh_admission_finish() - a statement does not occupy its connection any more
 * @ticket: cleared; ignored if it names no statement
 * @is_complete: the time that it took shows how long others take; false if its connection was lost
 */
void jh_admission_finish(jh_admission_t *admission, jh_admission_ticket_t *ticket, bool is_complete,
			 int64_t now_us);

/** struct jh_admission_refusal - a statement that waited and is refused */
typedef struct jh_admission_refusal {
	uint64_t id;
	jh_admission_decision_t decision;
} jh_admission_refusal_t;

/**
 * jh_admission_review() - make the estimates of all waiting statements again
 * @refusals: array of jh_admission_refusal_t; those that are not expected to end within their limit
 *	any more are removed from the queue and appended to it
 */
void jh_admission_review(jh_admission_t *admission, int64_t now_us, GArray *refusals);

/** jh_admission_retry_us() - time after which a place is expected for a statement that is refused
 */
int64_t jh_admission_retry_us(jh_admission_t *admission, const jh_admission_request_t *request,
			      int64_t now_us);

/** jh_admission_expected_wait_us() - expected wait of a new team's statement of @priority */
int64_t jh_admission_expected_wait_us(const jh_admission_t *admission, jh_admission_lane_t lane,
				      int priority, int64_t now_us);

/** jh_admission_length() - Return: number of statements that wait in @lane */
unsigned jh_admission_length(const jh_admission_t *admission, jh_admission_lane_t lane);

/** jh_admission_running() - Return: number of statements of @lane that are under way */
unsigned jh_admission_running(const jh_admission_t *admission, jh_admission_lane_t lane);

/**
 * jh_admission_limit() - number of statements of @lane that may wait at most, if each may take
 * @left_us and all run as long as observed
 */
unsigned jh_admission_limit(const jh_admission_t *admission, jh_admission_lane_t lane,
			    int64_t left_us, int64_t now_us);

/** typedef jh_admission_visit_t - called for a waiting statement */
typedef void (*jh_admission_visit_t)(uint64_t id, void *data);

/** jh_admission_foreach() - visit all waiting statements; @visit must not change @admission */
void jh_admission_foreach(const jh_admission_t *admission, jh_admission_visit_t visit, void *data);

/**
 * struct jh_outage_estimate - how long the lack of a primary lasts; all zero is new
 * @average_us: smoothed duration of those observed, 0 before the first
 * @began_us: when the present one was first seen, 0 if there is none
 */
typedef struct jh_outage_estimate {
	int64_t average_us;
	int64_t began_us;
} jh_outage_estimate_t;

/** jh_outage_begin() - an outage is seen at @now_us; ignored if one is under way */
void jh_outage_begin(jh_outage_estimate_t *estimate, int64_t now_us);
/**
 * jh_outage_end() - the outage has ended at @now_us; ignored if none is under way
 * @is_counted: its duration shows how long others last
 */
void jh_outage_end(jh_outage_estimate_t *estimate, bool is_counted, int64_t now_us);
/** jh_outage_usual_us() - Return: expected duration of an outage */
int64_t jh_outage_usual_us(const jh_outage_estimate_t *estimate);
/**
 * jh_outage_left_us() - expected time until the outage under way ends
 *
 * One that lasts longer than usual is expected to last for a quarter of its duration more.
 */
int64_t jh_outage_left_us(const jh_outage_estimate_t *estimate, int64_t now_us);

#endif
