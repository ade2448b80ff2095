#ifndef JH_FAIR_QUEUE_H
#define JH_FAIR_QUEUE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: Fair queue
 *
 * Chooses the next request for a database's slots. Teams share the slots' time by weight: a team
 * is charged with the time that its requests ran, not with their number, and the backlogged team
 * that was charged least for its weight is next (start-time fair queueing). A request that can't
 * finish before its deadline is refused when it comes. Pure: times are given by the caller.
 */

typedef struct jh_fair_queue jh_fair_queue_t;

/** enum jh_fair_result - what became of an item offered to the queue */
typedef enum jh_fair_result {
	JH_FAIR_QUEUED,
	/** @JH_FAIR_FULL: the team's queue is at its bound */
	JH_FAIR_FULL,
	/** @JH_FAIR_LATE: it can't finish before its deadline */
	JH_FAIR_LATE,
} jh_fair_result_t;

/**
 * struct jh_fair_verdict - answer to an offer
 * @result: whether it was taken
 * @wait_us: expected time until it would start
 * @retry_us: if refused: when the queue should have room for it
 */
typedef struct jh_fair_verdict {
	jh_fair_result_t result;
	int64_t wait_us;
	int64_t retry_us;
} jh_fair_verdict_t;

/** jh_fair_queue_new() - make an empty queue before @slots; @bound is the most items a team */
jh_fair_queue_t *jh_fair_queue_new(unsigned slots, unsigned bound);

/** jh_fair_queue_free() - free the queue; items are only numbers */
void jh_fair_queue_free(jh_fair_queue_t *queue);

/** jh_fair_queue_set_slots() - how many requests run at a time */
void jh_fair_queue_set_slots(jh_fair_queue_t *queue, unsigned slots);

/**
 * jh_fair_queue_offer() - put an item behind its team's others
 * @team: interned name
 * @weight: the team's share relative to others; not positive counts as 1
 * @item: number that jh_fair_queue_take() returns; not 0
 * @now_us: time of the offer
 * @left_us: time until its deadline
 */
jh_fair_verdict_t jh_fair_queue_offer(jh_fair_queue_t *queue, const char *team, double weight,
				      uint64_t item, int64_t now_us, int64_t left_us);

/** jh_fair_queue_take() - remove the next item and count it as running. Return: 0 if empty */
uint64_t jh_fair_queue_take(jh_fair_queue_t *queue, int64_t now_us);

/** jh_fair_queue_remove() - forget an item that still waits. Return: true if it was there */
bool jh_fair_queue_remove(jh_fair_queue_t *queue, const char *team, uint64_t item);

/** jh_fair_queue_start() - count work that runs without having waited here (pinned connections) */
void jh_fair_queue_start(jh_fair_queue_t *queue, const char *team, double weight);

/** jh_fair_queue_finish() - an item that was taken or started ran for @run_us */
void jh_fair_queue_finish(jh_fair_queue_t *queue, const char *team, int64_t run_us);

/** jh_fair_queue_wait_us() - time until an item of a team without others would start */
int64_t jh_fair_queue_wait_us(const jh_fair_queue_t *queue);

/** jh_fair_queue_length() - items that wait */
unsigned jh_fair_queue_length(const jh_fair_queue_t *queue);

#endif
