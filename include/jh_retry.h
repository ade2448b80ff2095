#ifndef JH_RETRY_H
#define JH_RETRY_H

#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: Retries
 *
 * A request is tried again only where that can't run it twice, nothing of an answer was given to
 * its caller, there is time left, and, if the attempt took a database's time, the route's retry
 * budget allows it. Otherwise it gets its final answer at once.
 */

/** JH_RETRY_MAX_ATTEMPTS - most attempts of one request, whatever their outcome */
#define JH_RETRY_MAX_ATTEMPTS 64u

/**
 * struct jh_retry_budget - bounds retries to a share of the requests; all zero is a new one
 * @tokens: retries allowed now
 * @begun: the first request was seen
 */
typedef struct jh_retry_budget {
	double tokens;
	bool begun;
} jh_retry_budget_t;

/** jh_retry_budget_earn() - a new request arrived */
void jh_retry_budget_earn(jh_retry_budget_t *budget);

/** jh_retry_budget_spend() - take a retry. Return: false if the budget is empty */
bool jh_retry_budget_spend(jh_retry_budget_t *budget);

/** enum jh_retry_outcome - how an attempt ended without an answer of the database */
typedef enum jh_retry_outcome {
	/** @JH_RETRY_REDIRECTED: not run, refused before it cost anything; go elsewhere */
	JH_RETRY_REDIRECTED,
	/** @JH_RETRY_NOT_RUN: not run, after it waited or failed */
	JH_RETRY_NOT_RUN,
	/** @JH_RETRY_UNKNOWN: it may have run */
	JH_RETRY_UNKNOWN,
} jh_retry_outcome_t;

/**
 * struct jh_retry_event - the end of an attempt
 * @outcome: how it ended
 * @safe: the request is a read, or its route says that requests may be repeated
 * @released: part of the answer was given to the caller
 * @pinned: it belongs to an open transaction, which is lost with its connection
 * @attempts: made so far
 * @now_us: time now
 * @until_us: the deadline
 * @retry_after_ms: shortest time that the other side asked for, 0 if none
 * @jitter: random number in [0, 1)
 */
typedef struct jh_retry_event {
	jh_retry_outcome_t outcome;
	bool safe;
	bool released;
	bool pinned;
	unsigned attempts;
	int64_t now_us;
	int64_t until_us;
	uint32_t retry_after_ms;
	double jitter;
} jh_retry_event_t;

/**
 * jh_retry_decide() - decide whether a request is tried again
 *
 * Return: microseconds to wait before the next attempt, -1 to give the final answer now
 */
int64_t jh_retry_decide(jh_retry_budget_t *budget, const jh_retry_event_t *event);

#endif
