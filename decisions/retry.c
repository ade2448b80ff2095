/* Decides on retries: retry budget, and exponential backoff with jitter. */

#include "jh_retry.h"

#include <glib.h>

/* Tokens that a request adds to the retry budget, and the most that the budget holds. */
#define RETRIES_PER_REQUEST 0.2
#define MAX_TOKENS 20.0

#define BACKOFF_MIN_US 2000
#define BACKOFF_MAX_US 250000
#define BACKOFF_MAX_DOUBLINGS 7u

static void init_budget_once(jh_retry_budget_t *budget)
{
	if (!budget->is_initialized)
		budget->tokens = MAX_TOKENS;
	budget->is_initialized = true;
}

void jh_retry_budget_add_request(jh_retry_budget_t *budget)
{
	init_budget_once(budget);
	budget->tokens = MIN(budget->tokens + RETRIES_PER_REQUEST, MAX_TOKENS);
}

bool jh_retry_budget_spend(jh_retry_budget_t *budget)
{
	init_budget_once(budget);
	if (budget->tokens < 1)
		return false;
	budget->tokens -= 1;
	return true;
}

/* Random delay between half of a step and the whole; the step doubles with each attempt. */
static int64_t choose_backoff_us(const jh_retry_event_t *event)
{
	unsigned doublings = MIN(event->attempts ? event->attempts - 1 : 0, BACKOFF_MAX_DOUBLINGS);
	int64_t step_us = MIN((int64_t)BACKOFF_MIN_US << doublings, BACKOFF_MAX_US);
	int64_t wait_us = step_us / 2 + (int64_t)(event->jitter * (double)step_us / 2);

	return MAX(wait_us, (int64_t)event->retry_after_ms * 1000);
}

static bool can_retry(const jh_retry_event_t *event)
{
	if (event->released || event->pinned || event->attempts >= JH_RETRY_MAX_ATTEMPTS)
		return false;
	return event->outcome != JH_RETRY_UNKNOWN || event->safe;
}

int64_t jh_retry_decide(jh_retry_budget_t *budget, const jh_retry_event_t *event)
{
	int64_t wait_us;

	if (!can_retry(event))
		return -1;
	wait_us = choose_backoff_us(event);
	if (event->now_us + wait_us >= event->until_us)
		return -1;
	/* A redirected attempt used no time of a database, so retrying it overloads none. */
	if (event->outcome != JH_RETRY_REDIRECTED && !jh_retry_budget_spend(budget))
		return -1;
	return wait_us;
}
