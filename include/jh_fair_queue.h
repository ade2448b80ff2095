#ifndef JH_FAIR_QUEUE_H
#define JH_FAIR_QUEUE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: Fair queue
 *
 * Chooses the next request to run on a database by start-time fair queueing. Teams share the run
 * time of the database's slots by weight: a team is charged for the time that its requests run, not
 * for their number. A request that is not expected to finish before its deadline is refused when
 * it is offered. All times are microseconds and passed in by the caller.
 */

typedef struct jh_fair_queue jh_fair_queue_t;

/** enum jh_fair_result - result of offering an item to the queue */
typedef enum jh_fair_result {
	/** @JH_FAIR_QUEUED: accepted */
	JH_FAIR_QUEUED,
	/** @JH_FAIR_FULL: refused, the team has the maximum number of waiting items */
	JH_FAIR_FULL,
	/** @JH_FAIR_TOO_LATE: refused, the item is not expected to finish before its deadline */
	JH_FAIR_TOO_LATE,
} jh_fair_result_t;

/**
 * struct jh_fair_admission - reply to an offer
 * @result: whether the item was accepted
 * @wait_us: expected time until the item starts
 * @retry_us: if refused, time after which the item could be accepted
 */
typedef struct jh_fair_admission {
	jh_fair_result_t result;
	int64_t wait_us;
	int64_t retry_us;
} jh_fair_admission_t;

/**
 * jh_fair_queue_new() - make an empty queue
 * @slots: number of requests that run at a time; 0 counts as 1
 * @max_team_items: maximum number of items that wait for one team
 */
jh_fair_queue_t *jh_fair_queue_new(unsigned slots, unsigned max_team_items);

/** jh_fair_queue_free() - free the queue and its items; NULL is ignored */
void jh_fair_queue_free(jh_fair_queue_t *queue);

/** jh_fair_queue_set_slots() - set the number of requests that run at a time; 0 counts as 1 */
void jh_fair_queue_set_slots(jh_fair_queue_t *queue, unsigned slots);

/**
 * jh_fair_queue_offer() - append an item to the waiting items of its team, or refuse it
 * @team: interned name; teams are compared by pointer
 * @weight: weight of the team relative to others; a value <= 0 counts as 1
 * @item: id that jh_fair_queue_take() returns; not 0
 * @now_us: current time
 * @left_us: time left until the deadline of the item
 */
jh_fair_admission_t jh_fair_queue_offer(jh_fair_queue_t *queue, const char *team, double weight,
					uint64_t item, int64_t now_us, int64_t left_us);

/**
 * jh_fair_queue_take() - remove the next item and count it as running
 *
 * The caller limits the number of running items; this function does not compare it with the slots.
 *
 * Return: id of the item, 0 if none waits
 */
uint64_t jh_fair_queue_take(jh_fair_queue_t *queue, int64_t now_us);

/** jh_fair_queue_remove() - remove a waiting item. Return: false if @item does not wait */
bool jh_fair_queue_remove(jh_fair_queue_t *queue, const char *team, uint64_t item);

/** jh_fair_queue_start() - count a request as running that did not wait (pinned connections) */
void jh_fair_queue_start(jh_fair_queue_t *queue, const char *team, double weight);

/**
 * jh_fair_queue_finish() - a request that was taken or started has ended after @run_us
 *
 * Logs a critical warning and changes nothing if no request of @team is running.
 */
void jh_fair_queue_finish(jh_fair_queue_t *queue, const char *team, int64_t run_us);

/** jh_fair_queue_wait_us() - expected time until an item of a new team of weight 1 would start */
int64_t jh_fair_queue_wait_us(const jh_fair_queue_t *queue);

/**
 * DOC: Several queues for the same slots
 *
 * The functions below serve callers that keep several queues for the same slots, such as one for
 * each priority: these estimate waits themselves, from the work that is queued, and may have to
 * pass over a team whose next item cannot run yet. See jh_admission.h.
 */

/** jh_fair_queue_set_default_run_us() - set the run time that is assumed for new teams */
void jh_fair_queue_set_default_run_us(jh_fair_queue_t *queue, int64_t run_us);

/** jh_fair_queue_work_us() - expected run time of all waiting items, on one slot */
int64_t jh_fair_queue_work_us(const jh_fair_queue_t *queue);

/**
 * jh_fair_queue_work_ahead_us() - expected run time, on one slot, of the waiting items that would
 * start before one more item of @team; changes nothing
 */
int64_t jh_fair_queue_work_ahead_us(const jh_fair_queue_t *queue, const char *team);

/**
 * typedef jh_fair_visit_t - called for a waiting item
 * @ahead_us: expected run time, on one slot, of the waiting items that would start before it
 */
typedef void (*jh_fair_visit_t)(uint64_t item, int64_t ahead_us, void *data);

/** jh_fair_queue_foreach() - visit all waiting items; @visit must not change the queue */
void jh_fair_queue_foreach(const jh_fair_queue_t *queue, jh_fair_visit_t visit, void *data);

/**
 * jh_fair_queue_peek() - the next item, not removed
 * @skipped: set of interned team names that are passed over, NULL for none
 *
 * Return: id of the item, 0 if none of another team waits
 */
uint64_t jh_fair_queue_peek(const jh_fair_queue_t *queue, GHashTable *skipped);

/** jh_fair_queue_peek_team() - id of the first waiting item of @team, 0 if none waits */
uint64_t jh_fair_queue_peek_team(const jh_fair_queue_t *queue, const char *team);

/**
 * jh_fair_queue_take_team() - as jh_fair_queue_take(), for the first waiting item of @team
 *
 * Return: id of the item, 0 if none of @team waits
 */
uint64_t jh_fair_queue_take_team(jh_fair_queue_t *queue, const char *team, int64_t now_us);

/** jh_fair_queue_length() - Return: number of waiting items */
unsigned jh_fair_queue_length(const jh_fair_queue_t *queue);

#endif
