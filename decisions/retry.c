#include "jh_retry.h"

#include <glib.h>

/* Retries per request in the long run, and how many may be saved up. */
#define BUDGET_SHARE 0.2
#define BUDGET_MAX 20.0

#define BACKOFF_FIRST_US 2000
#define BACKOFF_LAST_US 250000
#define BACKOFF_MAX_DOUBLINGS 7u

static void budget_begin(jh_retry_budget_t *budget)
{
	if (!budget->begun)
		budget->tokens = BUDGET_MAX;
	budget->begun = true;
}

void jh_retry_budget_earn(jh_retry_budget_t *budget)
{
	budget_begin(budget);
	budget->tokens = MIN(budget->tokens + BUDGET_SHARE, BUDGET_MAX);
}

bool jh_retry_budget_spend(jh_retry_budget_t *budget)
{
	budget_begin(budget);
	if (budget->tokens < 1)
		return false;
	budget->tokens -= 1;
	return true;
}

/* Between half and the whole of a step that doubles with each attempt. */
static int64_t backoff_us(const jh_retry_event_t *event)
{
	unsigned doublings = MIN(event->attempts ? event->attempts - 1 : 0, BACKOFF_MAX_DOUBLINGS);
	int64_t step = MIN((int64_t)BACKOFF_FIRST_US << doublings, BACKOFF_LAST_US);
	int64_t wait = step / 2 + (int64_t)(event->jitter * (double)step / 2);

	return MAX(wait, (int64_t)event->retry_after_ms * 1000);
}

static bool is_allowed(const jh_retry_event_t *event)
{
	if (event->released || event->pinned || event->attempts >= JH_RETRY_MAX_ATTEMPTS)
		return false;
	return event->outcome != JH_RETRY_UNKNOWN || event->safe;
}

int64_t jh_retry_decide(jh_retry_budget_t *budget, const jh_retry_event_t *event)
{
	int64_t wait;

	if (!is_allowed(event))
		return -1;
	wait = backoff_us(event);
	if (event->now_us + wait >= event->until_us)
		return -1;
	/* A redirected attempt took no database's time, so that it can't amplify an overload. */
	if (event->outcome != JH_RETRY_REDIRECTED && !jh_retry_budget_spend(budget))
		return -1;
	return wait;
}
