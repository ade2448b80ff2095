/* The quota server of a team: mints from the parts lent to it and grants to VMs that need more. */

#include "jh_quota.h"

/* Questions a second that a server should get from the whole fleet, about one team. */
#define ASKS_PER_S 300

#define MIN_INTERVAL_US 10000
#define MAX_INTERVAL_US 2000000
#define MIN_LEASE_US 400000
#define MAX_LEASE_US 60000000

/* A lease lasts this many times the questions' interval at full load. */
#define LEASE_INTERVALS 15

/* Of a VM's share, what it never lends. */
#define KEPT_PERCENT 20

/* Wants older than this many intervals are not counted against those of others. */
#define WANT_INTERVALS 4

/* Time over which VMs that want something are counted. */
#define ASKERS_US 1000000

/* Shortest life of a token that is worth granting. */
#define MIN_GRANT_LIFE_US 5000

#define MAX_RETRY_US 1000000

typedef struct lender {
	uint64_t sequence;
	jh_quota_refill_t mint;
	/* When the parts that it lent go back to it. */
	int64_t until_us;
	int64_t want;
	int64_t wanted_us;
	int64_t seen_us;
} lender_t;

struct jh_quota_server {
	jh_quota_policy_t policy;
	uint64_t epoch;
	jh_quota_limit_t limit;
	jh_quota_bucket_t jar;
	/* By VM and boot. */
	GHashTable *lenders;
	/* As the newest answer said. */
	int64_t interval_us;
};

/* ---- policy and limits ---- */

jh_quota_policy_t jh_quota_policy_for(unsigned slots)
{
	int64_t interval_us = (int64_t)slots * 1000000 / ASKS_PER_S;

	interval_us = CLAMP(interval_us, MIN_INTERVAL_US, MAX_INTERVAL_US);
	return (jh_quota_policy_t){
		.mode = JH_QUOTA_MIXED,
		.kept_parts = JH_QUOTA_PARTS * KEPT_PERCENT / 100,
		.interval_us = interval_us,
		.lease_us = CLAMP(interval_us * LEASE_INTERVALS, MIN_LEASE_US, MAX_LEASE_US),
	};
}

jh_quota_limit_t jh_quota_limit_for(double requests_per_s, double requests)
{
	const double most = 1e6;
	double rate = CLAMP(requests_per_s, 0, most) * JH_QUOTA_REQUEST;
	double burst = CLAMP(requests, 0, most) * JH_QUOTA_REQUEST;

	return (jh_quota_limit_t){ .rate = (int64_t)rate, .burst = (int64_t)burst };
}

/* ---- life ---- */

jh_quota_server_t *jh_quota_server_new(const jh_quota_policy_t *policy, uint64_t epoch)
{
	jh_quota_server_t *server = g_new0(jh_quota_server_t, 1);

	server->policy = *policy;
	server->epoch = epoch;
	server->interval_us = policy->interval_us;
	jh_quota_bucket_init(&server->jar);
	server->lenders = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return server;
}

void jh_quota_server_free(jh_quota_server_t *server)
{
	if (!server)
		return;
	jh_quota_bucket_clear(&server->jar);
	g_hash_table_destroy(server->lenders);
	g_free(server);
}

void jh_quota_server_set_limit(jh_quota_server_t *server, const jh_quota_limit_t *limit,
			       int64_t now_us)
{
	GHashTableIter iter;
	gpointer value;

	server->limit = *limit;
	jh_quota_bucket_reset(&server->jar, jh_quota_token_life_us(limit));
	g_hash_table_iter_init(&iter, server->lenders);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		lender_t *lender = value;

		jh_quota_refill_set(&lender->mint, limit, lender->mint.parts, now_us);
	}
}

/* ---- minting ---- */

/* Mint up to now, and no longer than the lease. Return: parts that are still lent */
static uint32_t lender_run(jh_quota_server_t *server, lender_t *lender, int64_t now_us)
{
	if (lender->mint.parts == 0)
		return 0;
	jh_quota_refill_run(&lender->mint, &server->jar, MIN(now_us, lender->until_us));
	if (lender->until_us <= now_us)
		jh_quota_refill_set(&lender->mint, &server->limit, 0, now_us);
	return lender->mint.parts;
}

typedef struct sum {
	uint32_t parts;
	int64_t want;
	unsigned askers;
} sum_t;

/* Mint for all lenders, forget those long silent, and add up parts and wants. */
static sum_t server_run(jh_quota_server_t *server, int64_t now_us)
{
	sum_t sum = { .parts = 0 };
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, server->lenders);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		lender_t *lender = value;
		int64_t silent_us = now_us - lender->seen_us;

		sum.parts += lender_run(server, lender, now_us);
		if (silent_us < WANT_INTERVALS * server->interval_us)
			sum.want += lender->want;
		sum.askers += lender->wanted_us > 0 && now_us - lender->wanted_us < ASKERS_US;
		if (silent_us > 2 * server->policy.lease_us)
			g_hash_table_iter_remove(&iter);
	}
	return sum;
}

/* ---- questions ---- */

/*
 * A part counts as lent from the time of the stamp that the question brings back: the VM sent the
 * question after that, and counts its own wait from the sending.
 */
static void lender_set_parts(jh_quota_server_t *server, lender_t *lender, const jh_quota_ask_t *ask,
			     uint32_t room, int64_t now_us)
{
	bool valid = ask->epoch == server->epoch && ask->stamp_us <= now_us &&
		     ask->stamp_us + server->policy.lease_us > now_us;
	uint32_t parts = valid ? MIN(ask->lent_parts, room) : 0;

	if (parts != lender->mint.parts)
		jh_quota_refill_set(&lender->mint, &server->limit, parts, now_us);
	lender->until_us = ask->stamp_us + server->policy.lease_us;
}

static lender_t *lender_get(jh_quota_server_t *server, const char *vm, uint64_t boot)
{
	char *key = g_strdup_printf("%s/%" G_GINT64_MODIFIER "x", vm, boot);
	lender_t *lender = g_hash_table_lookup(server->lenders, key);

	if (lender) {
		g_free(key);
		return lender;
	}
	lender = g_new0(lender_t, 1);
	g_hash_table_insert(server->lenders, key, lender);
	return lender;
}

/* Whole requests, in proportion to the wants of those who asked lately. */
static int64_t grant_amount(int64_t want, int64_t total_want, int64_t level)
{
	int64_t amount = want;

	if (total_want > level && total_want > 0)
		amount = (int64_t)((__int128)level * want / total_want);
	amount = MIN(MIN(amount, want), level);
	if (amount >= JH_QUOTA_REQUEST)
		return amount - amount % JH_QUOTA_REQUEST;
	return want > 0 && level >= JH_QUOTA_REQUEST ? JH_QUOTA_REQUEST : 0;
}

/* Time until all that is wanted could be granted. */
static int64_t retry_us(const jh_quota_server_t *server, uint32_t parts, int64_t wanted)
{
	int64_t minted = jh_quota_refill_amount(server->limit.rate, parts, MAX_RETRY_US);
	int64_t wait_us = WANT_INTERVALS * server->interval_us;

	if (minted > 0)
		wait_us =
			(int64_t)((__int128)MAX(wanted, JH_QUOTA_REQUEST) * MAX_RETRY_US / minted);
	return CLAMP(wait_us, server->interval_us, MAX(MAX_RETRY_US, server->interval_us));
}

bool jh_quota_server_ask(jh_quota_server_t *server, const char *vm, const jh_quota_ask_t *ask,
			 int64_t now_us, jh_quota_grant_t *grant)
{
	lender_t *lender = lender_get(server, vm, ask->boot);
	uint32_t others;
	sum_t sum;

	if (ask->sequence <= lender->sequence)
		return false;
	lender->sequence = ask->sequence;
	lender->seen_us = now_us;
	lender->want = MAX(ask->want, 0);
	if (lender->want > 0)
		lender->wanted_us = now_us;
	sum = server_run(server, now_us);
	others = sum.parts - lender->mint.parts;
	server->interval_us = CLAMP((int64_t)sum.askers * 1000000 / ASKS_PER_S, MIN_INTERVAL_US,
				    server->policy.interval_us);
	lender_set_parts(server, lender, ask, JH_QUOTA_PARTS - MIN(others, JH_QUOTA_PARTS), now_us);
	*grant = (jh_quota_grant_t){
		.epoch = server->epoch,
		.stamp_us = now_us,
		.sequence = ask->sequence,
		.lent_parts = lender->mint.parts,
		.lifetime_us = MIN_GRANT_LIFE_US,
		.interval_us = server->interval_us,
	};
	grant->amount =
		grant_amount(lender->want, sum.want, jh_quota_bucket_level(&server->jar, now_us));
	grant->amount =
		jh_quota_bucket_take_some(&server->jar, grant->amount, &grant->lifetime_us, now_us);
	if (grant->amount < lender->want)
		grant->retry_us =
			retry_us(server, others + lender->mint.parts, sum.want - grant->amount);
	return true;
}

bool jh_quota_server_is_idle(const jh_quota_server_t *server, int64_t now_us)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, server->lenders);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (now_us - ((lender_t *)value)->seen_us <= server->policy.lease_us)
			return false;
	}
	return true;
}
