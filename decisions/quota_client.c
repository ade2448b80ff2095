/*
 * A team's quota on one VM: mints from the VM's own share, lends what its callers do not need,
 * and asks the quota server for more when they need more.
 */

#include "jh_quota.h"

#include <math.h>

/* Time over which demand and supply are averaged. */
#define AVERAGE_US 1000000.0

/* Own callers get this much more than they asked for lately, so that growth finds tokens. */
#define DEMAND_MARGIN 1.25

/* Grants should last for this many intervals. */
#define HORIZON_INTERVALS 2

/* A server that is short is asked again after this many intervals, or sooner if it says so. */
#define SHORT_INTERVALS 4

/* A question without an answer is given up after this many intervals, and this time. */
#define ANSWER_INTERVALS 4
#define MIN_ANSWER_US 50000

/* A lease is renewed this many times in its life. */
#define RENEWALS 3

/* A share that never holds this many requests at a time is lent whole. */
#define MIN_KEPT_REQUESTS 2

/* What is lent changes by at least this part of the share. */
#define LEND_STEPS 8u

/* While requests wait, the need to ask is looked at this often in an interval. */
#define ASK_CHECKS 4

#define MAX_WAITING 4096u
#define MIN_RETRY_US 10000
#define MAX_RETRY_US 60000000

/* When to come back while it is not known what this VM will get. */
#define UNKNOWN_RETRY_US 1000000

#define IDLE_TICK_US 1000000

typedef struct waiter {
	uint64_t tag;
	int64_t cost;
	int64_t until_us;
} waiter_t;

/* Parts lent to servers, by the last time at which they may still mint from them. */
typedef struct loan {
	uint32_t parts;
	int64_t until_us;
} loan_t;

/* Amount a second, averaged over the last second or so. */
typedef struct average {
	double sum;
	int64_t at_us;
} average_t;

struct jh_quota_client {
	jh_quota_policy_t policy;
	uint64_t boot;
	jh_quota_limit_t limit;
	uint32_t share_parts;
	/* Up to then an earlier life's loans may run. */
	int64_t quiet_until_us;
	jh_quota_refill_t mint;
	jh_quota_bucket_t jar;
	GQueue waiters;
	int64_t waiting;
	average_t demand;
	average_t granted;
	bool has_server;
	/* Life of the server heard last, and its clock then. */
	uint64_t epoch;
	int64_t stamp_us;
	loan_t loan;
	/* To servers before that one. */
	loan_t old_loan;
	uint64_t sequence;
	/* Shortest time between two questions, as the server said. */
	int64_t interval_us;
	bool asking;
	jh_quota_ask_t asked;
	int64_t asked_us;
	int64_t lent_us;
	int64_t ask_from_us;
	/* The server had less than was wanted, and expects to have it then. */
	bool is_short;
	int64_t supply_from_us;
};

/* ---- averages ---- */

static double average_rate(const average_t *average, int64_t now_us)
{
	double age = (double)(now_us - average->at_us);

	return average->sum * exp(-MAX(age, 0) / AVERAGE_US) * 1e6 / AVERAGE_US;
}

static void average_add(average_t *average, int64_t amount, int64_t now_us)
{
	double age = (double)(now_us - average->at_us);

	average->sum = average->sum * exp(-MAX(age, 0) / AVERAGE_US) + (double)amount;
	average->at_us = now_us;
}

/* ---- own share ---- */

int64_t jh_quota_lease_wait_us(const jh_quota_policy_t *policy)
{
	return policy->lease_us + policy->lease_us * 3 * JH_QUOTA_DRIFT_PPM / 1000000 + 1;
}

static uint32_t own_parts(const jh_quota_client_t *client, int64_t now_us)
{
	uint32_t lent = client->loan.parts + client->old_loan.parts;

	if (client->policy.mode != JH_QUOTA_FIXED && now_us < client->quiet_until_us)
		return 0;
	return client->share_parts > lent ? client->share_parts - lent : 0;
}

static void mint_update(jh_quota_client_t *client, int64_t now_us)
{
	uint32_t parts = own_parts(client, now_us);

	if (parts != client->mint.parts)
		jh_quota_refill_set(&client->mint, &client->limit, parts, now_us);
}

static void loan_end(jh_quota_client_t *client, loan_t *loan, int64_t now_us)
{
	if (loan->parts == 0 || loan->until_us > now_us)
		return;
	jh_quota_refill_run(&client->mint, &client->jar, now_us);
	loan->parts = 0;
}

/* Mint up to now; parts whose lease has ended are minted from now on. */
static void client_run(jh_quota_client_t *client, int64_t now_us)
{
	jh_quota_refill_run(&client->mint, &client->jar, now_us);
	loan_end(client, &client->loan, now_us);
	loan_end(client, &client->old_loan, now_us);
	mint_update(client, now_us);
}

/* ---- life ---- */

jh_quota_client_t *jh_quota_client_new(const jh_quota_policy_t *policy, uint64_t boot,
				       int64_t now_us)
{
	jh_quota_client_t *client = g_new0(jh_quota_client_t, 1);

	client->policy = *policy;
	client->boot = boot;
	client->interval_us = policy->interval_us;
	client->quiet_until_us = now_us + jh_quota_lease_wait_us(policy);
	client->lent_us = now_us - policy->lease_us;
	jh_quota_bucket_init(&client->jar);
	g_queue_init(&client->waiters);
	jh_quota_refill_set(&client->mint, &client->limit, 0, now_us);
	client->demand.at_us = now_us;
	client->granted.at_us = now_us;
	return client;
}

void jh_quota_client_free(jh_quota_client_t *client)
{
	if (!client)
		return;
	jh_quota_bucket_clear(&client->jar);
	g_queue_clear_full(&client->waiters, g_free);
	g_free(client);
}

void jh_quota_client_set_limit(jh_quota_client_t *client, const jh_quota_limit_t *limit,
			       int64_t now_us)
{
	client_run(client, now_us);
	client->limit = *limit;
	jh_quota_bucket_reset(&client->jar, jh_quota_token_life_us(limit));
	jh_quota_refill_set(&client->mint, limit, client->mint.parts, now_us);
}

void jh_quota_client_set_share(jh_quota_client_t *client, uint32_t parts, int64_t now_us)
{
	client_run(client, now_us);
	client->share_parts = parts;
	mint_update(client, now_us);
}

void jh_quota_client_set_server(jh_quota_client_t *client, bool known)
{
	client->has_server = known;
}

/* ---- requests ---- */

static void reply(GArray *actions, uint64_t tag, bool granted, int64_t retry_us)
{
	const jh_quota_action_t action = {
		.kind = JH_QUOTA_REPLY, .tag = tag, .granted = granted, .retry_us = retry_us
	};

	g_array_append_val(actions, action);
}

static double supply_rate(const jh_quota_client_t *client, int64_t now_us)
{
	double own =
		(double)jh_quota_refill_amount(client->limit.rate, client->mint.parts, 1000000);

	return own + average_rate(&client->granted, now_us);
}

/* Time until @amount more than what waits now can be spent. */
static int64_t expected_wait_us(const jh_quota_client_t *client, int64_t amount, int64_t now_us)
{
	double supply = supply_rate(client, now_us);
	double wait_us;

	if (supply <= 0)
		return client->limit.rate > 0 ? UNKNOWN_RETRY_US : MAX_RETRY_US;
	wait_us = (double)(client->waiting + amount) * 1e6 / supply;
	return (int64_t)CLAMP(wait_us, MIN_RETRY_US, MAX_RETRY_US);
}

/* A server that is not known yet, had enough last time or will have it soon is worth waiting for.
 */
static bool may_get_more(const jh_quota_client_t *client, int64_t until_us)
{
	if (client->policy.mode == JH_QUOTA_FIXED)
		return false;
	return !client->has_server || !client->is_short || client->supply_from_us <= until_us;
}

static void waiters_serve(jh_quota_client_t *client, int64_t now_us, GArray *actions)
{
	GList *at;
	GList *next;
	waiter_t *waiter;

	while ((waiter = g_queue_peek_head(&client->waiters)) &&
	       jh_quota_bucket_take(&client->jar, waiter->cost, now_us)) {
		reply(actions, waiter->tag, true, 0);
		client->waiting -= waiter->cost;
		g_free(g_queue_pop_head(&client->waiters));
	}
	for (at = client->waiters.head; at; at = next) {
		waiter = at->data;
		next = at->next;
		if (waiter->until_us > now_us)
			continue;
		client->waiting -= waiter->cost;
		reply(actions, waiter->tag, false, expected_wait_us(client, waiter->cost, now_us));
		g_free(waiter);
		g_queue_delete_link(&client->waiters, at);
	}
}

void jh_quota_client_request(jh_quota_client_t *client, uint64_t tag, int64_t cost, int64_t wait_us,
			     int64_t now_us, GArray *actions)
{
	waiter_t *waiter;
	int64_t expected_us;

	client_run(client, now_us);
	average_add(&client->demand, cost, now_us);
	if (g_queue_is_empty(&client->waiters) &&
	    jh_quota_bucket_take(&client->jar, cost, now_us)) {
		reply(actions, tag, true, 0);
		return;
	}
	expected_us = expected_wait_us(client, cost, now_us);
	if (client->waiters.length >= MAX_WAITING || cost > client->limit.burst ||
	    (expected_us > wait_us && !may_get_more(client, now_us + wait_us))) {
		reply(actions, tag, false, expected_us);
		return;
	}
	waiter = g_new0(waiter_t, 1);
	*waiter = (waiter_t){ .tag = tag, .cost = cost, .until_us = now_us + wait_us };
	g_queue_push_tail(&client->waiters, waiter);
	client->waiting += cost;
}

/* ---- questions ---- */

/* Part of the share that is never lent, given the limit. */
static uint32_t kept_parts(const jh_quota_client_t *client)
{
	uint32_t kept = (uint32_t)((uint64_t)client->share_parts * client->policy.kept_parts /
				   JH_QUOTA_PARTS);
	int64_t most = jh_quota_refill_amount(client->limit.rate, kept,
					      jh_quota_token_life_us(&client->limit));

	return most >= MIN_KEPT_REQUESTS * JH_QUOTA_REQUEST ? kept : 0;
}

/* What the VM should lend now. */
static uint32_t lend_target(const jh_quota_client_t *client, int64_t now_us)
{
	double needed = average_rate(&client->demand, now_us) * DEMAND_MARGIN;
	uint32_t share = client->share_parts;
	uint32_t step = MAX(share / LEND_STEPS, 1);
	double keep;
	uint32_t lend;

	if (client->old_loan.parts > 0 || now_us < client->quiet_until_us ||
	    client->limit.rate <= 0)
		return 0;
	if (client->policy.mode == JH_QUOTA_CENTRAL)
		return share;
	keep = needed / (double)client->limit.rate * JH_QUOTA_PARTS;
	/* A share too small to hold whole requests serves better in the common pool. */
	if (kept_parts(client) == 0)
		return share;
	keep = CLAMP(keep, kept_parts(client), share);
	lend = share - (uint32_t)keep;
	return lend == share - kept_parts(client) ? lend : lend - lend % step;
}

/* What callers will need beyond the VM's own tokens until grants come again. */
static int64_t want(const jh_quota_client_t *client, int64_t level, int64_t now_us)
{
	int64_t horizon_us = HORIZON_INTERVALS * client->interval_us;
	double need = (double)client->waiting +
		      average_rate(&client->demand, now_us) * (double)horizon_us / 1e6;
	int64_t own =
		level + jh_quota_refill_amount(client->limit.rate, client->mint.parts, horizon_us);
	int64_t missing = (int64_t)MIN(need, (double)client->limit.burst) - own;

	if (missing <= 0)
		return 0;
	/* A token fetched ahead for a team with few requests would mostly go void here. */
	if (client->waiting == 0)
		return missing / JH_QUOTA_REQUEST * JH_QUOTA_REQUEST;
	return (missing + JH_QUOTA_REQUEST - 1) / JH_QUOTA_REQUEST * JH_QUOTA_REQUEST;
}

static int64_t answer_timeout_us(const jh_quota_client_t *client)
{
	return MAX(ANSWER_INTERVALS * client->interval_us, MIN_ANSWER_US);
}

/*
 * What is lent follows demand at each renewal only, and with questions that are sent anyway, so
 * that changing demand costs no messages of its own.
 */
static bool renewal_is_due(const jh_quota_client_t *client, uint32_t target, int64_t now_us)
{
	int64_t pause_us = client->loan.parts > 0 ? client->policy.lease_us / RENEWALS :
						    client->policy.interval_us;

	return (target > 0 || client->loan.parts > 0) && now_us >= client->lent_us + pause_us;
}

/* Parts are lent from the sending on, whether the question arrives or not. */
static void ask(jh_quota_client_t *client, uint32_t target, int64_t wanted, int64_t now_us,
		GArray *actions)
{
	jh_quota_action_t action = { .kind = JH_QUOTA_ASK };

	client->asked = (jh_quota_ask_t){ .boot = client->boot,
					  .epoch = client->epoch,
					  .stamp_us = client->stamp_us,
					  .sequence = ++client->sequence,
					  .lent_parts = client->epoch ? target : 0,
					  .want = wanted };
	client->asking = true;
	client->asked_us = now_us;
	client->ask_from_us = now_us + client->interval_us;
	/* Without an epoch nothing could be lent; the answer brings it. */
	if (client->epoch)
		client->lent_us = now_us;
	if (client->asked.lent_parts > 0) {
		client->loan.parts = MAX(client->loan.parts, client->asked.lent_parts);
		client->loan.until_us = now_us + jh_quota_lease_wait_us(&client->policy);
		mint_update(client, now_us);
	}
	action.ask = client->asked;
	g_array_append_val(actions, action);
}

static void ask_if_due(jh_quota_client_t *client, int64_t now_us, GArray *actions)
{
	uint32_t target;
	int64_t wanted;

	if (client->asking && now_us >= client->asked_us + answer_timeout_us(client))
		client->asking = false;
	if (client->policy.mode == JH_QUOTA_FIXED || !client->has_server || client->asking ||
	    now_us < client->ask_from_us)
		return;
	target = lend_target(client, now_us);
	wanted = want(client, jh_quota_bucket_level(&client->jar, now_us), now_us);
	if (wanted > 0 || renewal_is_due(client, target, now_us))
		ask(client, target, wanted, now_us, actions);
}

/* The server of another life does not hold what was lent to the one before. */
static void epoch_set(jh_quota_client_t *client, uint64_t epoch)
{
	if (client->epoch == epoch)
		return;
	if (client->loan.parts > 0) {
		client->old_loan.parts += client->loan.parts;
		client->old_loan.until_us = MAX(client->old_loan.until_us, client->loan.until_us);
	}
	client->loan.parts = 0;
	client->epoch = epoch;
}

void jh_quota_client_grant(jh_quota_client_t *client, const jh_quota_grant_t *grant, int64_t now_us,
			   GArray *actions)
{
	if (!client->asking || grant->sequence != client->asked.sequence)
		return;
	client_run(client, now_us);
	client->asking = false;
	/* What the server says it holds is true: older questions come too late to raise it. */
	if (grant->epoch == client->asked.epoch)
		client->loan.parts = MIN(client->loan.parts, grant->lent_parts);
	epoch_set(client, grant->epoch);
	client->stamp_us = grant->stamp_us;
	client->interval_us = CLAMP(grant->interval_us, 1, client->policy.interval_us);
	/* Its answer shortened the time that was planned when the question was sent. */
	client->ask_from_us = MIN(client->ask_from_us, client->asked_us + client->interval_us);
	mint_update(client, now_us);
	jh_quota_bucket_add(&client->jar, grant->amount, client->asked_us + grant->lifetime_us);
	average_add(&client->granted, grant->amount, now_us);
	client->is_short = grant->amount < client->asked.want;
	if (client->is_short) {
		int64_t pause_us = SHORT_INTERVALS * client->interval_us;

		client->supply_from_us = now_us + grant->retry_us;
		client->ask_from_us =
			MAX(client->ask_from_us, now_us + MIN(grant->retry_us, pause_us));
	}
	waiters_serve(client, now_us, actions);
	ask_if_due(client, now_us, actions);
}

/* ---- time ---- */

static int64_t next_tick_us(const jh_quota_client_t *client, int64_t now_us)
{
	int64_t next_us = now_us + IDLE_TICK_US;
	const GList *at;

	for (at = client->waiters.head; at; at = at->next)
		next_us = MIN(next_us, ((const waiter_t *)at->data)->until_us);
	if (client->waiters.head) {
		const waiter_t *first = client->waiters.head->data;
		double own = (double)jh_quota_refill_amount(client->limit.rate, client->mint.parts,
							    1000000);

		if (own > 0)
			next_us = MIN(next_us,
				      now_us + 1 + (int64_t)((double)first->cost * 1e6 / own / 2));
	}
	if (client->policy.mode == JH_QUOTA_FIXED || !client->has_server)
		return next_us;
	if (client->asking)
		return MIN(next_us, client->asked_us + answer_timeout_us(client));
	next_us = MIN(next_us, now_us + client->policy.lease_us / RENEWALS);
	if (client->waiters.head)
		next_us = MIN(next_us,
			      MAX(client->ask_from_us, now_us + client->interval_us / ASK_CHECKS));
	return next_us;
}

int64_t jh_quota_client_tick(jh_quota_client_t *client, int64_t now_us, GArray *actions)
{
	client_run(client, now_us);
	waiters_serve(client, now_us, actions);
	ask_if_due(client, now_us, actions);
	return next_tick_us(client, now_us);
}

jh_quota_client_view_t jh_quota_client_view(jh_quota_client_t *client, int64_t now_us)
{
	client_run(client, now_us);
	return (jh_quota_client_view_t){
		.level = jh_quota_bucket_level(&client->jar, now_us),
		.waiting = client->waiters.length,
		.share_parts = client->share_parts,
		.lent_parts = client->loan.parts + client->old_loan.parts,
		.demand = (int64_t)average_rate(&client->demand, now_us),
	};
}
