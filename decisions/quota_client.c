/*
 * The quota client of one team on one VM. It refills tokens from the VM's own share, lends the part
 * that the VM's callers do not need, and asks the quota server when they need more than it has.
 */

#include "jh_quota.h"

#include <math.h>

/* Time constant of the exponential decay of demand and granted amounts, microseconds. */
#define AVERAGE_TIME_US 1000000.0

/* Parts for this multiple of recent demand are not lent, so that growing demand finds tokens. */
#define DEMAND_MARGIN 1.25

/* A grant should last for this many ask intervals. */
#define HORIZON_INTERVALS 2

/*
 * After a grant of less than was wanted, the next ask is delayed by at most this many intervals.
 * While parts of the rate come into use, the server has more sooner than its supply so far
 * suggests.
 */
#define SHORT_SERVER_INTERVALS 4
#define SHORT_SERVER_RECOVERY_INTERVALS 1

/* Timeout of an ask: this many intervals, but at least MIN_GRANT_TIMEOUT_US. */
#define GRANT_TIMEOUT_INTERVALS 4
#define MIN_GRANT_TIMEOUT_US 50000

/* A quota lease is renewed this many times within its duration. */
#define RENEWALS_PER_LEASE 3

/* If the reserved part yields fewer requests within a token's lifetime, the whole share is lent. */
#define MIN_RESERVED_REQUESTS 2

/*
 * The lent part is rounded down to a multiple of the share divided by this number, so that small
 * changes of demand leave it as it is. If all but the reserve can be lent, it is not rounded.
 */
#define LEND_STEPS 8u

/* While requests wait, the client checks this many times per interval whether to ask. */
#define ASK_CHECKS_PER_INTERVAL 4

/* Minimum time between two asks while the server grants all that is wanted. */
#define MIN_ASK_INTERVAL_US 1000

#define MAX_WAITERS 4096u

/* Number of granted requests whose tokens can still be given back; older ones are forgotten. */
#define MAX_SPENDINGS 1024u

/* A VM that begins to lend keeps the tokens that its callers need within this time. */
#define RETURN_HORIZON_US 1000000

/* Minimum remaining lifetime of a token that is handed over to the server. */
#define MIN_RETURNED_LIFETIME_US 20000

/* Bounds of the retry hint for callers. */
#define MIN_RETRY_US 10000
#define MAX_RETRY_US 60000000

/* Retry hint for callers while the VM gets no tokens, so the wait can't be estimated. */
#define UNKNOWN_RETRY_US 1000000

/*
 * If VMs that own less than this percentage of the rate use or lend their parts, a refusal says so.
 * The rest allows for shares that are not a whole number of parts.
 */
#define COMPLETE_PERCENT 95

/* Longest time between two ticks of a client. */
#define IDLE_TICK_US 1000000

typedef struct waiter {
	uint64_t tag;
	int64_t cost;
	int64_t deadline_us;
} waiter_t;

/* The tokens of a granted request, which expire at the time at which the first of them does. */
typedef struct spending {
	uint64_t tag;
	int64_t amount;
	int64_t expiry_us;
} spending_t;

/* Parts lent to a server, and the time until which it may refill tokens from them. */
typedef struct quota_lease {
	uint32_t parts;
	int64_t until_us;
} quota_lease_t;

/* Sum of amounts with exponential decay, from which a mean rate follows. */
typedef struct average {
	double sum;
	int64_t updated_us;
} average_t;

struct jh_quota_client {
	jh_quota_policy_t policy;
	uint64_t boot;
	jh_quota_limit_t limit;
	uint32_t share_parts;
	/* Share of each VM if all VMs had the same. */
	uint32_t even_parts;
	/* Time until which a quota lease of an earlier instance of the daemon may run. */
	int64_t earlier_lease_until_us;
	jh_quota_refill_t refill;
	jh_quota_bucket_t bucket;
	GQueue waiters;
	int64_t waiting_amount;
	/* spending_t in the order of the grants, and the link of each by its tag. */
	GQueue spendings;
	GHashTable *spendings_by_tag;
	/* Amount given back since the last decision which part of it goes to the server. */
	int64_t given_back;
	average_t demand;
	average_t granted;
	bool is_server_known;
	/* Epoch of the server that sent the newest grant. */
	uint64_t epoch;
	/* Timestamp of that server's clock in its newest grant; the next ask returns it. */
	int64_t server_time_us;
	/* Time of receipt of that grant. */
	int64_t server_time_received_us;
	/* Lease to the server of @epoch. */
	quota_lease_t lease;
	/* What @lease was before the newest ask. */
	quota_lease_t lease_before_ask;
	/* Sum of the leases to servers with earlier epochs, with the latest of their expiries. */
	quota_lease_t old_leases;
	/* Sequence number of the newest ask. */
	uint64_t sequence;
	/* Minimum time between two asks, from the newest grant. */
	int64_t interval_us;
	bool is_awaiting_grant;
	jh_quota_ask_t last_ask;
	int64_t last_ask_us;
	/* Time of the last ask that could lend parts; the next renewal is due from it. */
	int64_t last_lent_us;
	/* Earliest time of the next ask. */
	int64_t next_ask_us;
	/* The newest grant was less than was wanted. */
	bool is_server_short;
	/* The newest ask had no reply in time. */
	bool is_server_silent;
	/* Parts of the rate that VMs use or lend, as in the newest grant. */
	uint32_t known_parts;
	/* If so, time at which the server expects to have more. */
	int64_t supply_expected_us;
};

/* Averages */

static double get_average_rate(const average_t *average, int64_t now_us)
{
	double age_us = (double)(now_us - average->updated_us);

	return average->sum * exp(-MAX(age_us, 0) / AVERAGE_TIME_US) * 1e6 / AVERAGE_TIME_US;
}

static void add_to_average(average_t *average, int64_t amount, int64_t now_us)
{
	double age_us = (double)(now_us - average->updated_us);

	average->sum = average->sum * exp(-MAX(age_us, 0) / AVERAGE_TIME_US) + (double)amount;
	average->updated_us = now_us;
}

/* Own share */

int64_t jh_quota_lease_wait_us(const jh_quota_policy_t *policy)
{
	return policy->lease_us + policy->lease_us * 3 * JH_QUOTA_DRIFT_PPM / 1000000 + 1;
}

/* Parts of the share that the VM may use now, lent or not. */
static uint32_t usable_parts(const jh_quota_client_t *client, int64_t now_us)
{
	if (client->policy.mode != JH_QUOTA_FIXED && now_us < client->earlier_lease_until_us)
		return 0;
	return client->share_parts;
}

static uint32_t count_own_parts(const jh_quota_client_t *client, int64_t now_us)
{
	uint32_t lent = client->lease.parts + client->old_leases.parts;
	uint32_t parts = usable_parts(client, now_us);

	return parts > lent ? parts - lent : 0;
}

static void update_refill(jh_quota_client_t *client, int64_t now_us)
{
	uint32_t parts = count_own_parts(client, now_us);

	if (parts != client->refill.parts)
		jh_quota_refill_set(&client->refill, &client->limit, parts, now_us);
}

static void end_expired_lease(jh_quota_client_t *client, quota_lease_t *lease, int64_t now_us)
{
	if (lease->parts == 0 || lease->until_us > now_us)
		return;
	jh_quota_refill_run(&client->refill, &client->bucket, now_us);
	lease->parts = 0;
}

/* Refills up to now. Parts whose lease has expired are refilled here from now on. */
static void advance_client(jh_quota_client_t *client, int64_t now_us)
{
	jh_quota_refill_run(&client->refill, &client->bucket, now_us);
	end_expired_lease(client, &client->lease, now_us);
	end_expired_lease(client, &client->old_leases, now_us);
	update_refill(client, now_us);
}

/* Tokens of granted requests */

static void remove_spending(jh_quota_client_t *client, GList *link)
{
	spending_t *spending = link->data;

	g_hash_table_remove(client->spendings_by_tag, &spending->tag);
	g_queue_delete_link(&client->spendings, link);
	g_free(spending);
}

/* Removes the oldest spendings while there are more than @max_count. */
static void forget_spendings(jh_quota_client_t *client, unsigned max_count)
{
	while (client->spendings.length > max_count)
		remove_spending(client, client->spendings.head);
}

/* Takes the tokens of a request and records them. Return: false if there are too few */
static bool spend(jh_quota_client_t *client, uint64_t tag, int64_t cost, int64_t now_us)
{
	int64_t expiry_us = jh_quota_bucket_first_expiry_us(&client->bucket, now_us);
	spending_t *spending;

	if (!jh_quota_bucket_take(&client->bucket, cost, now_us))
		return false;
	spending = g_new0(spending_t, 1);
	*spending = (spending_t){ .tag = tag, .amount = cost, .expiry_us = expiry_us };
	g_queue_push_tail(&client->spendings, spending);
	g_hash_table_insert(client->spendings_by_tag, &spending->tag, client->spendings.tail);
	forget_spendings(client, MAX_SPENDINGS);
	return true;
}

int64_t jh_quota_client_give_back(jh_quota_client_t *client, uint64_t tag, int64_t now_us)
{
	GList *link = g_hash_table_lookup(client->spendings_by_tag, &tag);
	spending_t spending;

	if (!link)
		return 0;
	spending = *(const spending_t *)link->data;
	remove_spending(client, link);
	if (spending.expiry_us <= now_us)
		return 0;
	jh_quota_bucket_add(&client->bucket, spending.amount, spending.expiry_us);
	client->given_back += spending.amount;
	return spending.amount;
}

/* Create, configure and free */

jh_quota_client_t *jh_quota_client_new(const jh_quota_policy_t *policy, uint64_t boot,
				       int64_t now_us)
{
	jh_quota_client_t *client = g_new0(jh_quota_client_t, 1);

	client->policy = *policy;
	client->boot = boot;
	client->even_parts = JH_QUOTA_PARTS;
	client->interval_us = policy->interval_us;
	client->earlier_lease_until_us = now_us + jh_quota_lease_wait_us(policy);
	client->last_lent_us = now_us - policy->lease_us;
	jh_quota_bucket_init(&client->bucket);
	g_queue_init(&client->waiters);
	g_queue_init(&client->spendings);
	client->spendings_by_tag = g_hash_table_new(g_int64_hash, g_int64_equal);
	jh_quota_refill_set(&client->refill, &client->limit, 0, now_us);
	client->demand.updated_us = now_us;
	client->granted.updated_us = now_us;
	return client;
}

void jh_quota_client_free(jh_quota_client_t *client)
{
	if (!client)
		return;
	jh_quota_bucket_clear(&client->bucket);
	g_queue_clear_full(&client->waiters, g_free);
	forget_spendings(client, 0);
	g_hash_table_destroy(client->spendings_by_tag);
	g_free(client);
}

void jh_quota_client_set_limit(jh_quota_client_t *client, const jh_quota_limit_t *limit,
			       int64_t now_us)
{
	advance_client(client, now_us);
	client->limit = *limit;
	forget_spendings(client, 0);
	client->given_back = 0;
	jh_quota_bucket_reset(&client->bucket, jh_quota_token_lifetime_us(limit));
	jh_quota_refill_set(&client->refill, limit, client->refill.parts, now_us);
}

void jh_quota_client_set_share(jh_quota_client_t *client, uint32_t parts, int64_t now_us)
{
	advance_client(client, now_us);
	client->share_parts = parts;
	update_refill(client, now_us);
}

void jh_quota_client_set_vms(jh_quota_client_t *client, unsigned vms)
{
	client->even_parts = JH_QUOTA_PARTS / MAX(vms, 1);
}

void jh_quota_client_set_server_known(jh_quota_client_t *client, bool known)
{
	client->is_server_known = known;
}

/* Requests of callers */

static void add_granted(GArray *actions, uint64_t tag)
{
	const jh_quota_action_t action = { .kind = JH_QUOTA_REPLY, .tag = tag, .granted = true };

	g_array_append_val(actions, action);
}

static double estimate_supply_rate(const jh_quota_client_t *client, int64_t now_us)
{
	double own_rate =
		(double)jh_quota_refill_amount(client->limit.rate, client->refill.parts, 1000000);

	return own_rate + get_average_rate(&client->granted, now_us);
}

/* Estimated time until @amount can be spent, after the requests that wait now. */
static int64_t estimate_wait_us(const jh_quota_client_t *client, int64_t amount, int64_t now_us)
{
	double supply_rate = estimate_supply_rate(client, now_us);
	double wait_us;

	if (supply_rate <= 0)
		return client->limit.rate > 0 ? UNKNOWN_RETRY_US : MAX_RETRY_US;
	wait_us = (double)(client->waiting_amount + amount) * 1e6 / supply_rate;
	return (int64_t)CLAMP(wait_us, MIN_RETRY_US, MAX_RETRY_US);
}

static int64_t grant_timeout_us(const jh_quota_client_t *client)
{
	return MAX(GRANT_TIMEOUT_INTERVALS * client->interval_us, MIN_GRANT_TIMEOUT_US);
}

/* True if VMs use or lend the whole rate. */
static bool is_rate_in_use(const jh_quota_client_t *client)
{
	return (uint64_t)client->known_parts * 100 >= (uint64_t)JH_QUOTA_PARTS * COMPLETE_PERCENT;
}

/* Why a request is refused now. */
static jh_quota_refusal_t choose_refusal(const jh_quota_client_t *client)
{
	bool is_fixed = client->policy.mode == JH_QUOTA_FIXED;
	bool has_reply = client->is_server_short || !client->is_awaiting_grant;

	if (is_fixed)
		return client->refill.parts > 0 ? JH_QUOTA_AT_RATE : JH_QUOTA_NO_SHARES;
	if (!client->is_server_known || client->epoch == 0 || client->is_server_silent)
		return JH_QUOTA_NO_SERVER;
	if (!is_rate_in_use(client))
		return JH_QUOTA_NO_SHARES;
	return has_reply ? JH_QUOTA_AT_RATE : JH_QUOTA_NO_SERVER;
}

/* Time after which a request of @amount that is refused now should be retried. */
static int64_t choose_retry_us(const jh_quota_client_t *client, jh_quota_refusal_t refusal,
			       int64_t amount, int64_t now_us)
{
	int64_t lease_wait_us =
		client->share_parts > 0 ? client->earlier_lease_until_us - now_us : 0;

	switch (refusal) {
	case JH_QUOTA_NO_SERVER:
		return MAX(grant_timeout_us(client), MIN_RETRY_US);
	case JH_QUOTA_NO_SHARES:
		/* Owners renew their leases at this interval. */
		return MAX(client->policy.lease_us / RENEWALS_PER_LEASE, lease_wait_us);
	default:
		return estimate_wait_us(client, amount, now_us);
	}
}

static void add_refused(const jh_quota_client_t *client, uint64_t tag, int64_t amount,
			int64_t now_us, GArray *actions)
{
	jh_quota_action_t action = { .kind = JH_QUOTA_REPLY, .tag = tag };

	action.refusal = choose_refusal(client);
	action.retry_us = choose_retry_us(client, action.refusal, amount, now_us);
	g_array_append_val(actions, action);
}

/*
 * True if a grant may arrive before @until_us: the server is not known yet, granted all that was
 * wanted last time, or expects to have more by then.
 */
static bool can_expect_grant(const jh_quota_client_t *client, int64_t until_us)
{
	if (client->policy.mode == JH_QUOTA_FIXED)
		return false;
	return !client->is_server_known || !client->is_server_short ||
	       client->supply_expected_us <= until_us;
}

/* Grants waiting requests in order while tokens last, then refuses those past their deadline. */
static void serve_waiters(jh_quota_client_t *client, int64_t now_us, GArray *actions)
{
	GList *node;
	GList *next;
	waiter_t *waiter;

	while ((waiter = g_queue_peek_head(&client->waiters)) &&
	       spend(client, waiter->tag, waiter->cost, now_us)) {
		add_granted(actions, waiter->tag);
		client->waiting_amount -= waiter->cost;
		g_free(g_queue_pop_head(&client->waiters));
	}
	for (node = client->waiters.head; node; node = next) {
		waiter = node->data;
		next = node->next;
		if (waiter->deadline_us > now_us)
			continue;
		client->waiting_amount -= waiter->cost;
		add_refused(client, waiter->tag, waiter->cost, now_us, actions);
		g_free(waiter);
		g_queue_delete_link(&client->waiters, node);
	}
}

void jh_quota_client_request(jh_quota_client_t *client, uint64_t tag, int64_t cost, int64_t wait_us,
			     int64_t now_us, GArray *actions)
{
	waiter_t *waiter;
	int64_t expected_us;

	advance_client(client, now_us);
	add_to_average(&client->demand, cost, now_us);
	if (g_queue_is_empty(&client->waiters) && spend(client, tag, cost, now_us)) {
		add_granted(actions, tag);
		return;
	}
	expected_us = estimate_wait_us(client, cost, now_us);
	if (client->waiters.length >= MAX_WAITERS || cost > client->limit.burst ||
	    (expected_us > wait_us && !can_expect_grant(client, now_us + wait_us))) {
		add_refused(client, tag, cost, now_us, actions);
		return;
	}
	waiter = g_new0(waiter_t, 1);
	*waiter = (waiter_t){ .tag = tag, .cost = cost, .deadline_us = now_us + wait_us };
	g_queue_push_tail(&client->waiters, waiter);
	client->waiting_amount += cost;
}

/* Asks */

/*
 * Parts of the share that are never lent; 0 if they would hold too few requests. Where few VMs own
 * shares, most callers are at other VMs, so that a reserve in proportion to the share would expire
 * unused.
 */
static uint32_t reserved_parts(const jh_quota_client_t *client)
{
	uint32_t share = MIN(client->share_parts, client->even_parts);
	uint32_t reserved =
		(uint32_t)((uint64_t)share * client->policy.reserved_parts / JH_QUOTA_PARTS);
	int64_t max_amount = jh_quota_refill_amount(client->limit.rate, reserved,
						    jh_quota_token_lifetime_us(&client->limit));

	return max_amount >= MIN_RESERVED_REQUESTS * JH_QUOTA_REQUEST ? reserved : 0;
}

/* Parts of the share that the VM should lend now. */
static uint32_t choose_lent_parts(const jh_quota_client_t *client, int64_t now_us)
{
	double needed_rate = get_average_rate(&client->demand, now_us) * DEMAND_MARGIN;
	uint32_t share = client->share_parts;
	uint32_t step = MAX(share / LEND_STEPS, 1);
	double keep_parts;
	uint32_t lent_parts;

	if (client->old_leases.parts > 0 || now_us < client->earlier_lease_until_us ||
	    client->limit.rate <= 0)
		return 0;
	if (client->policy.mode == JH_QUOTA_CENTRAL)
		return share;
	keep_parts = needed_rate / (double)client->limit.rate * JH_QUOTA_PARTS;
	/* A share too small to hold whole requests is more useful to the server. */
	if (reserved_parts(client) == 0)
		return share;
	keep_parts = CLAMP(keep_parts, reserved_parts(client), share);
	lent_parts = share - (uint32_t)keep_parts;
	return lent_parts == share - reserved_parts(client) ? lent_parts :
							      lent_parts - lent_parts % step;
}

/* Return: @amount rounded up to whole requests; 0 if it is negative */
static int64_t round_up_to_requests(int64_t amount)
{
	return (MAX(amount, 0) + JH_QUOTA_REQUEST - 1) / JH_QUOTA_REQUEST * JH_QUOTA_REQUEST;
}

/* Amount that callers will need beyond the VM's own tokens until the next grants. */
static int64_t choose_wanted_amount(const jh_quota_client_t *client, int64_t level, int64_t now_us)
{
	int64_t horizon_us = HORIZON_INTERVALS * client->interval_us;
	double needed_amount = (double)client->waiting_amount +
			       get_average_rate(&client->demand, now_us) * (double)horizon_us / 1e6;
	int64_t own_amount = level + jh_quota_refill_amount(client->limit.rate,
							    client->refill.parts, horizon_us);
	int64_t missing = (int64_t)MIN(needed_amount, (double)client->limit.burst) - own_amount;
	int64_t missing_now = client->waiting_amount - level;

	/*
	 * Rounded down except for the requests that wait: for a team with few requests, a token
	 * fetched in advance would mostly expire unused.
	 */
	missing = MAX(missing, 0) / JH_QUOTA_REQUEST * JH_QUOTA_REQUEST;
	if (client->waiting_amount == 0)
		return missing;
	return MAX(missing, round_up_to_requests(MIN(missing_now, client->limit.burst)));
}

/*
 * Amount of tokens that the server should get, since this VM's callers will not need them soon: of
 * those given back, since in a large fleet a team's next request arrives at another VM, and of all
 * when the VM begins to lend, since they were refilled from what it lends from now on.
 */
static int64_t choose_returned_amount(const jh_quota_client_t *client, uint32_t target_parts,
				      int64_t level, int64_t now_us)
{
	bool begins_to_lend = client->lease.parts == 0 && target_parts > 0;
	int64_t horizon_us =
		begins_to_lend ? RETURN_HORIZON_US : HORIZON_INTERVALS * client->interval_us;
	double demand = get_average_rate(&client->demand, now_us) * (double)horizon_us / 1e6;
	int64_t needed = (int64_t)demand / JH_QUOTA_REQUEST * JH_QUOTA_REQUEST;
	int64_t unneeded = level - needed - client->waiting_amount;

	if (client->epoch == 0)
		return 0;
	return CLAMP(unneeded, 0, begins_to_lend ? level : client->given_back);
}

/*
 * The lent part follows demand only when the lease is renewed, and in asks that are sent for other
 * reasons. So a change of demand costs no additional messages.
 */
static bool is_renewal_due(const jh_quota_client_t *client, uint32_t target_parts, int64_t now_us)
{
	int64_t renewal_interval_us = client->lease.parts > 0 ?
					      client->policy.lease_us / RENEWALS_PER_LEASE :
					      client->policy.interval_us;

	return (target_parts > 0 || client->lease.parts > 0) &&
	       now_us >= client->last_lent_us + renewal_interval_us;
}

/*
 * Appends an ask that lends @target_parts. They count as lent from the time of sending, whether the
 * ask arrives or not.
 */
static void add_ask(jh_quota_client_t *client, uint32_t target_parts, int64_t wanted,
		    int64_t returned, int64_t now_us, GArray *actions)
{
	jh_quota_action_t action = { .kind = JH_QUOTA_ASK };
	int64_t lifetime_us = MIN_RETURNED_LIFETIME_US;

	client->last_ask = (jh_quota_ask_t){ .boot = client->boot,
					     .epoch = client->epoch,
					     .stamp_us = client->server_time_us,
					     .sequence = ++client->sequence,
					     .lent_parts = client->epoch ? target_parts : 0,
					     .want = wanted,
					     .share_parts = usable_parts(client, now_us) };
	client->last_ask.returned =
		jh_quota_bucket_take_some(&client->bucket, returned, &lifetime_us, now_us);
	/* The server counts from its timestamp, which is not newer than the grant's receipt. */
	client->last_ask.returned_lifetime_us =
		now_us + lifetime_us - client->server_time_received_us;
	client->lease_before_ask = client->lease;
	client->is_awaiting_grant = true;
	client->last_ask_us = now_us;
	client->next_ask_us = now_us + client->interval_us;
	/* The first ask lends nothing: the server's epoch is not known before the first grant. */
	if (client->epoch)
		client->last_lent_us = now_us;
	if (client->last_ask.lent_parts > 0) {
		client->lease.parts = MAX(client->lease.parts, client->last_ask.lent_parts);
		client->lease.until_us = now_us + jh_quota_lease_wait_us(&client->policy);
		update_refill(client, now_us);
	}
	action.ask = client->last_ask;
	g_array_append_val(actions, action);
}

/*
 * The interval paces asks for what the server may not have. While it grants all that is wanted, a
 * request that waits is asked for as soon as the previous ask has its reply: callers of a team
 * below its rate accept a shorter wait than the interval.
 */
static int64_t earliest_ask_us(const jh_quota_client_t *client)
{
	if (client->waiting_amount == 0 || client->is_server_short || client->epoch == 0)
		return client->next_ask_us;
	return MIN(client->next_ask_us, client->last_ask_us + MIN_ASK_INTERVAL_US);
}

static void add_ask_if_due(jh_quota_client_t *client, int64_t now_us, GArray *actions)
{
	uint32_t target_parts;
	int64_t level;
	int64_t wanted;
	int64_t returned;

	if (client->is_awaiting_grant && now_us >= client->last_ask_us + grant_timeout_us(client)) {
		client->is_awaiting_grant = false;
		client->is_server_silent = true;
	}
	if (client->policy.mode == JH_QUOTA_FIXED || !client->is_server_known ||
	    client->is_awaiting_grant || now_us < earliest_ask_us(client))
		return;
	target_parts = choose_lent_parts(client, now_us);
	level = jh_quota_bucket_level(&client->bucket, now_us);
	wanted = choose_wanted_amount(client, level, now_us);
	returned = choose_returned_amount(client, target_parts, level, now_us);
	client->given_back = 0;
	/* An owner of parts learns the epoch of the server before it can lend them. */
	if (wanted > 0 || returned > 0 || is_renewal_due(client, target_parts, now_us) ||
	    (client->epoch == 0 && client->share_parts > 0))
		add_ask(client, target_parts, wanted, returned, now_us, actions);
}

/*
 * Sets the server's epoch. A server with another epoch does not refill from the parts that were
 * lent before, so their lease moves to old_leases, and they stay unused until it has expired.
 */
static void set_server_epoch(jh_quota_client_t *client, uint64_t epoch)
{
	if (client->epoch == epoch)
		return;
	if (client->lease.parts > 0) {
		client->old_leases.parts += client->lease.parts;
		client->old_leases.until_us =
			MAX(client->old_leases.until_us, client->lease.until_us);
	}
	client->lease.parts = 0;
	client->epoch = epoch;
}

void jh_quota_client_handle_grant(jh_quota_client_t *client, const jh_quota_grant_t *grant,
				  int64_t now_us, GArray *actions)
{
	if (!client->is_awaiting_grant || grant->sequence != client->last_ask.sequence)
		return;
	advance_client(client, now_us);
	client->is_awaiting_grant = false;
	client->is_server_silent = false;
	client->known_parts = grant->known_parts;
	/*
	 * The server ignores older asks from now on, so no ask still on its way can raise the lent
	 * parts above those of the grant.
	 */
	if (grant->epoch == client->last_ask.epoch)
		client->lease.parts = MIN(client->lease.parts, grant->lent_parts);
	else
		/*
		 * The ask reached the server that replied, which does not refill from parts lent to
		 * another epoch. Any instance before it on its VM has ended. So the ask lent
		 * nothing.
		 */
		client->lease = client->lease_before_ask;
	set_server_epoch(client, grant->epoch);
	end_expired_lease(client, &client->old_leases, now_us);
	client->server_time_us = grant->stamp_us;
	client->server_time_received_us = now_us;
	client->interval_us = CLAMP(grant->interval_us, 1, client->policy.interval_us);
	/* The grant may shorten the interval, also that between its ask and the next one. */
	client->next_ask_us = MIN(client->next_ask_us, client->last_ask_us + client->interval_us);
	update_refill(client, now_us);
	jh_quota_bucket_add(&client->bucket, grant->amount,
			    client->last_ask_us + grant->lifetime_us);
	add_to_average(&client->granted, grant->amount, now_us);
	client->is_server_short = grant->amount < client->last_ask.want;
	if (client->is_server_short) {
		int64_t max_delay_us = client->interval_us *
				       (is_rate_in_use(client) ? SHORT_SERVER_INTERVALS :
								 SHORT_SERVER_RECOVERY_INTERVALS);

		client->supply_expected_us = now_us + grant->retry_us;
		client->next_ask_us =
			MAX(client->next_ask_us, now_us + MIN(grant->retry_us, max_delay_us));
	}
	serve_waiters(client, now_us, actions);
	add_ask_if_due(client, now_us, actions);
}

/* Timer */

static int64_t choose_next_tick_us(const jh_quota_client_t *client, int64_t now_us)
{
	int64_t next_us = now_us + IDLE_TICK_US;
	const GList *node;

	for (node = client->waiters.head; node; node = node->next)
		next_us = MIN(next_us, ((const waiter_t *)node->data)->deadline_us);
	if (client->waiters.head) {
		const waiter_t *first = client->waiters.head->data;
		double own_rate = (double)jh_quota_refill_amount(client->limit.rate,
								 client->refill.parts, 1000000);

		/*
		 * Half the time in which the own share yields the first request's cost, since the
		 * bucket may already hold a part of it.
		 */
		if (own_rate > 0)
			next_us = MIN(next_us,
				      now_us + 1 +
					      (int64_t)((double)first->cost * 1e6 / own_rate / 2));
	}
	if (client->policy.mode == JH_QUOTA_FIXED || !client->is_server_known)
		return next_us;
	if (client->is_awaiting_grant)
		return MIN(next_us, client->last_ask_us + grant_timeout_us(client));
	if (client->share_parts > 0 && client->earlier_lease_until_us > now_us)
		next_us = MIN(next_us, client->earlier_lease_until_us);
	if (client->lease.parts == 0 && choose_lent_parts(client, now_us) > 0)
		next_us = MIN(next_us, MAX(client->next_ask_us,
					   client->last_lent_us + client->policy.interval_us));
	next_us = MIN(next_us, now_us + client->policy.lease_us / RENEWALS_PER_LEASE);
	if (client->given_back > 0)
		next_us = MIN(next_us, MAX(client->next_ask_us, now_us + 1));
	if (client->waiters.head) {
		int64_t ask_us = earliest_ask_us(client);

		if (ask_us <= now_us)
			ask_us = now_us + client->interval_us / ASK_CHECKS_PER_INTERVAL;
		next_us = MIN(next_us, ask_us);
	}
	return next_us;
}

int64_t jh_quota_client_tick(jh_quota_client_t *client, int64_t now_us, GArray *actions)
{
	advance_client(client, now_us);
	serve_waiters(client, now_us, actions);
	add_ask_if_due(client, now_us, actions);
	return choose_next_tick_us(client, now_us);
}

jh_quota_client_stats_t jh_quota_client_get_stats(jh_quota_client_t *client, int64_t now_us)
{
	advance_client(client, now_us);
	return (jh_quota_client_stats_t){
		.level = jh_quota_bucket_level(&client->bucket, now_us),
		.waiting = client->waiters.length,
		.share_parts = client->share_parts,
		.lent_parts = client->lease.parts + client->old_leases.parts,
		.demand = (int64_t)get_average_rate(&client->demand, now_us),
	};
}
