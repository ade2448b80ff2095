/*
 * Quota server of a team: refills tokens from the parts lent to it, and grants them to VMs that
 * need more than their own share yields.
 */

#include "jh_quota.h"

/* Asks per second about one team that a server should receive from the whole fleet. */
#define TARGET_ASKS_PER_S 300

/* Bounds of the interval between two asks of a VM, and of the duration of a lease. */
#define MIN_INTERVAL_US 10000
#define MAX_INTERVAL_US 2000000
#define MIN_LEASE_US 400000
#define MAX_LEASE_US 60000000

/* Duration of a lease, in intervals between the asks of a VM when all VMs ask. */
#define INTERVALS_PER_LEASE 15

/* Percentage of a VM's share that it never lends. */
#define RESERVED_PERCENT 20

/* Number of intervals after which a VM's wanted amount no longer reduces the grants of others. */
#define WANT_VALID_INTERVALS 4

/* Time for which a VM counts as an asker after its last ask that wanted tokens. */
#define ASKER_WINDOW_US 1000000

/* A VM's entry is removed after this many leases without an ask. */
#define INACTIVE_LEASES 2

/* Minimum remaining lifetime of a token that is granted; shorter ones would expire unused. */
#define MIN_GRANT_LIFETIME_US 5000

/* Longest retry hint for a VM, unless the interval between its asks is longer. */
#define MAX_RETRY_US 1000000

typedef struct vm_client {
	uint64_t sequence;
	jh_quota_refill_t refill;
	/* Time at which the lease of its parts expires. */
	int64_t lease_expiry_us;
	int64_t want;
	int64_t last_want_us;
	int64_t last_ask_us;
	uint32_t share_parts;
} vm_client_t;

struct jh_quota_server {
	jh_quota_policy_t policy;
	uint64_t epoch;
	jh_quota_limit_t limit;
	jh_quota_bucket_t bucket;
	/* vm_client_t by "VM/boot id". */
	GHashTable *clients;
	/* Minimum time between two asks of a VM, as in the newest grant. */
	int64_t interval_us;
};

/* Policy and limits */

jh_quota_policy_t jh_quota_policy_for(unsigned vms)
{
	int64_t interval_us = (int64_t)vms * 1000000 / TARGET_ASKS_PER_S;

	interval_us = CLAMP(interval_us, MIN_INTERVAL_US, MAX_INTERVAL_US);
	return (jh_quota_policy_t){
		.mode = JH_QUOTA_MIXED,
		.reserved_parts = JH_QUOTA_PARTS * RESERVED_PERCENT / 100,
		.interval_us = interval_us,
		.lease_us = CLAMP(interval_us * INTERVALS_PER_LEASE, MIN_LEASE_US, MAX_LEASE_US),
	};
}

jh_quota_limit_t jh_quota_limit_for(double requests_per_s, double requests)
{
	const double max_requests = 1e6;
	double rate = CLAMP(requests_per_s, 0, max_requests) * JH_QUOTA_REQUEST;
	double burst = CLAMP(requests, 0, max_requests) * JH_QUOTA_REQUEST;

	return (jh_quota_limit_t){ .rate = (int64_t)rate, .burst = (int64_t)burst };
}

/* Create, configure and free */

jh_quota_server_t *jh_quota_server_new(const jh_quota_policy_t *policy, uint64_t epoch)
{
	jh_quota_server_t *server = g_new0(jh_quota_server_t, 1);

	server->policy = *policy;
	server->epoch = epoch;
	server->interval_us = policy->interval_us;
	jh_quota_bucket_init(&server->bucket);
	server->clients = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return server;
}

void jh_quota_server_free(jh_quota_server_t *server)
{
	if (!server)
		return;
	jh_quota_bucket_clear(&server->bucket);
	g_hash_table_destroy(server->clients);
	g_free(server);
}

void jh_quota_server_set_limit(jh_quota_server_t *server, const jh_quota_limit_t *limit,
			       int64_t now_us)
{
	GHashTableIter iter;
	gpointer value;

	server->limit = *limit;
	jh_quota_bucket_reset(&server->bucket, jh_quota_token_lifetime_us(limit));
	g_hash_table_iter_init(&iter, server->clients);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		vm_client_t *client = value;

		jh_quota_refill_set(&client->refill, limit, client->refill.parts, now_us);
	}
}

/* Refill */

/* Refills up to now or the end of the lease. Return: parts that are still lent */
static uint32_t advance_client(jh_quota_server_t *server, vm_client_t *client, int64_t now_us)
{
	if (client->refill.parts == 0)
		return 0;
	jh_quota_refill_run(&client->refill, &server->bucket, MIN(now_us, client->lease_expiry_us));
	if (client->lease_expiry_us <= now_us)
		jh_quota_refill_set(&client->refill, &server->limit, 0, now_us);
	return client->refill.parts;
}

typedef struct totals {
	uint32_t parts;
	uint32_t share_parts;
	int64_t want;
	unsigned askers;
} totals_t;

/* Refills for all clients, adds up their parts and wants, and removes inactive clients. */
static totals_t advance_server(jh_quota_server_t *server, int64_t now_us)
{
	totals_t totals = { .parts = 0 };
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, server->clients);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		vm_client_t *client = value;
		int64_t since_ask_us = now_us - client->last_ask_us;

		totals.parts += advance_client(server, client, now_us);
		if (since_ask_us < WANT_VALID_INTERVALS * server->interval_us)
			totals.want += client->want;
		if (since_ask_us <= server->policy.lease_us)
			totals.share_parts +=
				MIN(client->share_parts, JH_QUOTA_PARTS - totals.share_parts);
		totals.askers +=
			client->last_want_us > 0 && now_us - client->last_want_us < ASKER_WINDOW_US;
		if (since_ask_us > INACTIVE_LEASES * server->policy.lease_us)
			g_hash_table_iter_remove(&iter);
	}
	return totals;
}

/* Asks */

/*
 * Sets the parts that the ask lends, at most @max_parts. The lease starts at the server's own
 * timestamp that the ask returns. The VM sent the ask after that time and counts its wait from the
 * sending, so the lease expires here before the VM uses the parts again.
 */
static void set_lent_parts(jh_quota_server_t *server, vm_client_t *client,
			   const jh_quota_ask_t *ask, uint32_t max_parts, int64_t now_us)
{
	bool is_valid = ask->epoch == server->epoch && ask->stamp_us <= now_us &&
			ask->stamp_us + server->policy.lease_us > now_us;
	uint32_t parts = is_valid ? MIN(ask->lent_parts, max_parts) : 0;

	if (parts != client->refill.parts)
		jh_quota_refill_set(&client->refill, &server->limit, parts, now_us);
	client->lease_expiry_us = ask->stamp_us + server->policy.lease_us;
}

/*
 * Adds the tokens that a VM hands over. They expire here before they would on the VM, because it
 * received the timestamp, from which the lifetime counts, later. A duplicate of an ask that old
 * that its sender's entry may have been removed adds nothing.
 */
static void add_returned_tokens(jh_quota_server_t *server, const jh_quota_ask_t *ask,
				int64_t now_us)
{
	int64_t max_lifetime_us;

	if (ask->epoch != server->epoch || ask->stamp_us > now_us ||
	    ask->stamp_us + INACTIVE_LEASES * server->policy.lease_us < now_us)
		return;
	max_lifetime_us = now_us - ask->stamp_us + jh_quota_token_lifetime_us(&server->limit);
	jh_quota_bucket_add(&server->bucket, MIN(ask->returned, server->limit.burst),
			    ask->stamp_us + CLAMP(ask->returned_lifetime_us, 0, max_lifetime_us));
}

static vm_client_t *get_client(jh_quota_server_t *server, const char *vm, uint64_t boot)
{
	char *key = g_strdup_printf("%s/%" G_GINT64_MODIFIER "x", vm, boot);
	vm_client_t *client = g_hash_table_lookup(server->clients, key);

	if (client) {
		g_free(key);
		return client;
	}
	client = g_new0(vm_client_t, 1);
	g_hash_table_insert(server->clients, key, client);
	return client;
}

/*
 * Divides the level in proportion to the wants of the VMs that asked recently, in whole requests; a
 * VM that wants tokens gets at least one request if the level allows it.
 */
static int64_t choose_grant_amount(int64_t want, int64_t total_want, int64_t level)
{
	int64_t amount = want;

	if (total_want > level && total_want > 0)
		amount = (int64_t)((__int128)level * want / total_want);
	amount = MIN(MIN(amount, want), level);
	if (amount >= JH_QUOTA_REQUEST)
		return amount - amount % JH_QUOTA_REQUEST;
	return want > 0 && level >= JH_QUOTA_REQUEST ? JH_QUOTA_REQUEST : 0;
}

/* Time until all that is wanted could be granted, within bounds. */
static int64_t estimate_retry_us(const jh_quota_server_t *server, uint32_t parts, int64_t wanted)
{
	int64_t refilled = jh_quota_refill_amount(server->limit.rate, parts, MAX_RETRY_US);
	int64_t wait_us = WANT_VALID_INTERVALS * server->interval_us;

	if (refilled > 0)
		wait_us = (int64_t)((__int128)MAX(wanted, JH_QUOTA_REQUEST) * MAX_RETRY_US /
				    refilled);
	return CLAMP(wait_us, server->interval_us, MAX(MAX_RETRY_US, server->interval_us));
}

bool jh_quota_server_handle_ask(jh_quota_server_t *server, const char *vm,
				const jh_quota_ask_t *ask, int64_t now_us, jh_quota_grant_t *grant)
{
	vm_client_t *client = get_client(server, vm, ask->boot);
	uint32_t other_parts;
	totals_t totals;

	if (ask->sequence <= client->sequence)
		return false;
	client->sequence = ask->sequence;
	client->last_ask_us = now_us;
	client->want = MAX(ask->want, 0);
	client->share_parts = ask->share_parts;
	if (client->want > 0)
		client->last_want_us = now_us;
	totals = advance_server(server, now_us);
	add_returned_tokens(server, ask, now_us);
	other_parts = totals.parts - client->refill.parts;
	server->interval_us = CLAMP((int64_t)totals.askers * 1000000 / TARGET_ASKS_PER_S,
				    MIN_INTERVAL_US, server->policy.interval_us);
	set_lent_parts(server, client, ask, JH_QUOTA_PARTS - MIN(other_parts, JH_QUOTA_PARTS),
		       now_us);
	*grant = (jh_quota_grant_t){
		.epoch = server->epoch,
		.stamp_us = now_us,
		.sequence = ask->sequence,
		.lent_parts = client->refill.parts,
		.lifetime_us = MIN_GRANT_LIFETIME_US,
		.interval_us = server->interval_us,
		.known_parts = totals.share_parts,
	};
	grant->amount = choose_grant_amount(client->want, totals.want,
					    jh_quota_bucket_level(&server->bucket, now_us));
	grant->amount = jh_quota_bucket_take_some(&server->bucket, grant->amount,
						  &grant->lifetime_us, now_us);
	if (grant->amount < client->want)
		grant->retry_us = estimate_retry_us(server, other_parts + client->refill.parts,
						    totals.want - grant->amount);
	return true;
}

bool jh_quota_server_is_idle(const jh_quota_server_t *server, int64_t now_us)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, server->clients);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (now_us - ((vm_client_t *)value)->last_ask_us <= server->policy.lease_us)
			return false;
	}
	return true;
}
