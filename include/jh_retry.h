#ifndef JH_RETRY_H
#define JH_RETRY_H

#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: Retries
 *
 * Decides whether a failed attempt of a request is retried, and after which delay. A request is
 * retried only if that cannot run it twice (unless running it twice is harmless), if no part of a
 * response has been released to its caller, and if time is left before its deadline. A retry of an
 * attempt that used a database's time also needs a token of the route's retry budget, which limits
 * such retries to a fraction of the route's requests.
 */

/** JH_RETRY_MAX_ATTEMPTS - maximum number of attempts of one request */
#define JH_RETRY_MAX_ATTEMPTS 64u

/**
 * struct jh_retry_budget - retry budget of a route; all zero is a new, full budget
 * @tokens: number of retries allowed now
 * @is_initialized: @tokens has been set to its maximum at the first use
 */
typedef struct jh_retry_budget {
	double tokens;
	bool is_initialized;
} jh_retry_budget_t;

/** jh_retry_budget_add_request() - a new request arrived; adds a fraction of a token */
void jh_retry_budget_add_request(jh_retry_budget_t *budget);

/** jh_retry_budget_spend() - remove one token. Return: false if less than one is left */
bool jh_retry_budget_spend(jh_retry_budget_t *budget);

/** enum jh_retry_outcome - how an attempt ended without a result from the database */
typedef enum jh_retry_outcome {
	/** @JH_RETRY_REDIRECTED: not run; refused before it used any time of a database */
	JH_RETRY_REDIRECTED,
	/** @JH_RETRY_NOT_RUN: not run; refused after a wait, or failed */
	JH_RETRY_NOT_RUN,
	/** @JH_RETRY_UNKNOWN: it may have run */
	JH_RETRY_UNKNOWN,
} jh_retry_outcome_t;

/**
 * struct jh_retry_event - an attempt that failed
 * @outcome: how it ended
 * @safe: running the request twice is harmless: it is a read, or its route allows repetition
 * @released: part of the response has been released to the caller
 * @pinned: the request belongs to an open transaction, which ended with its connection
 * @attempts: number of attempts so far, including this one
 * @now_us: current time
 * @until_us: deadline of the request, on the clock of @now_us
 * @retry_after_ms: minimum delay that the other side asked for, 0 if none
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
 * jh_retry_decide() - decide whether a request is retried
 *
 * Spends a token of the budget if the retry needs one.
 *
 * Return: delay before the next attempt in microseconds, -1 if the request fails now
 */
int64_t jh_retry_decide(jh_retry_budget_t *budget, const jh_retry_event_t *event);

#endif
