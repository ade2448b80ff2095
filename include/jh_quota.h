#ifndef JH_QUOTA_H
#define JH_QUOTA_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: Quota of teams
 *
 * Keeps the requests of a team within its rate and burst, summed over all VMs and in every time
 * window, without agreement between VMs in the path of a request. See docs/internals/quota.md.
 *
 * Each VM owns a share of every team's rate and refills a token bucket from it. A VM may lend a
 * part of its share to the team's quota server for a limited time, the quota lease. The server
 * refills its own bucket from the lent parts and grants quota tokens to VMs that need more. An
 * "ask" is a VM's message to the quota server, a "grant" is the server's reply.
 *
 * Every token is spent at most once, and at most burst / rate after it was added to a bucket. This
 * bounds the number of requests that run in any time window.
 *
 * The functions have no side effects outside their arguments. Times are microseconds of the
 * caller's own monotonic clock. Amounts are millionths of a request.
 */

/** JH_QUOTA_REQUEST - amount of one request */
#define JH_QUOTA_REQUEST INT64_C(1000000)

/** JH_QUOTA_PARTS - number of parts in a team's whole rate; shares are counted in these parts */
#define JH_QUOTA_PARTS (1u << 20)

/** JH_QUOTA_DRIFT_PPM - maximum error of a VM's monotonic clock, fast or slow */
#define JH_QUOTA_DRIFT_PPM 500

/** enum jh_quota_mode - how much of its share a VM lends to the quota server */
typedef enum jh_quota_mode {
	/** @JH_QUOTA_FIXED: nothing */
	JH_QUOTA_FIXED,
	/** @JH_QUOTA_CENTRAL: all of it */
	JH_QUOTA_CENTRAL,
	/** @JH_QUOTA_MIXED: what its own callers do not need, except for a small reserve */
	JH_QUOTA_MIXED,
} jh_quota_mode_t;

/**
 * struct jh_quota_policy - parameters of clients and servers; must be the same on all VMs
 * @mode: how much a VM lends
 * @reserved_parts: JH_QUOTA_MIXED: fraction of a VM's share that is never lent, multiplied by
 *                  JH_QUOTA_PARTS; of an even share of all VMs if the VM owns more than that
 * @lease_us: maximum duration of a quota lease
 * @interval_us: time between two asks of a VM about one team when all VMs ask
 */
typedef struct jh_quota_policy {
	jh_quota_mode_t mode;
	unsigned reserved_parts;
	int64_t lease_us;
	int64_t interval_us;
} jh_quota_policy_t;

/**
 * jh_quota_policy_for() - choose the policy for a fleet of @vms VMs
 *
 * The interval grows with the number of VMs, which bounds the asks that a server receives.
 *
 * Return: policy in mode JH_QUOTA_MIXED
 */
jh_quota_policy_t jh_quota_policy_for(unsigned vms);

/**
 * jh_quota_lease_wait_us() - time after sending an ask until the parts it lent can be used again
 *
 * Longer than the lease that the server counts, because the clocks of both VMs may be off by
 * JH_QUOTA_DRIFT_PPM.
 */
int64_t jh_quota_lease_wait_us(const jh_quota_policy_t *policy);

/**
 * struct jh_quota_limit - limit of a team
 * @rate: amount per second
 * @burst: amount
 */
typedef struct jh_quota_limit {
	int64_t rate;
	int64_t burst;
} jh_quota_limit_t;

/** jh_quota_limit_for() - convert a limit to amounts; clamps both values to 0..1000000 requests */
jh_quota_limit_t jh_quota_limit_for(double requests_per_s, double requests);

/**
 * struct jh_quota_ask - message of a VM to a team's quota server
 * @boot: boot id of the sending daemon
 * @epoch: epoch of the server that sent @stamp_us; 0 before the first grant
 * @stamp_us: the server's clock in the newest grant that the VM has received
 * @sequence: increases with each ask of this boot about the team, to any server
 * @lent_parts: parts of the team's rate lent to the server of @epoch
 * @want: amount that the VM could spend now or soon
 * @returned: amount of tokens that the VM hands over to the server of @epoch
 * @returned_lifetime_us: these tokens expire this long after @stamp_us
 * @share_parts: parts of the team's rate that the VM may use now, lent or not
 */
typedef struct jh_quota_ask {
	uint64_t boot;
	uint64_t epoch;
	int64_t stamp_us;
	uint64_t sequence;
	uint32_t lent_parts;
	int64_t want;
	int64_t returned;
	int64_t returned_lifetime_us;
	uint32_t share_parts;
} jh_quota_ask_t;

/**
 * struct jh_quota_grant - reply of a quota server to an ask
 * @epoch: number of this run of the server
 * @stamp_us: the server's clock
 * @sequence: sequence number of the ask
 * @lent_parts: parts lent by this VM from which the server refills from now on
 * @amount: granted amount
 * @lifetime_us: the granted tokens expire this long after the ask was sent
 * @retry_us: time until more can be granted; 0 if all that was wanted is granted
 * @interval_us: minimum time until the next ask, which limits the load on the server
 * @known_parts: sum of the share_parts of the VMs that asked within a lease
 */
typedef struct jh_quota_grant {
	uint64_t epoch;
	int64_t stamp_us;
	uint64_t sequence;
	uint32_t lent_parts;
	int64_t amount;
	int64_t lifetime_us;
	int64_t retry_us;
	int64_t interval_us;
	uint32_t known_parts;
} jh_quota_grant_t;

/* Token bucket */

/**
 * struct jh_quota_bucket - token bucket in which each token has a time of expiry
 * @slices: array of amounts with their expiry, in order of expiry
 * @merge_us: tokens that expire within this time of each other share a slice; the earlier expiry
 *            counts
 */
typedef struct jh_quota_bucket {
	GArray *slices;
	int64_t merge_us;
} jh_quota_bucket_t;

/** jh_quota_bucket_init() - make an empty bucket; free it with jh_quota_bucket_clear() */
void jh_quota_bucket_init(jh_quota_bucket_t *bucket);

/** jh_quota_bucket_reset() - drop all tokens and expect new ones with a lifetime of @lifetime_us */
void jh_quota_bucket_reset(jh_quota_bucket_t *bucket, int64_t lifetime_us);

/** jh_quota_bucket_clear() - free the tokens; the bucket must be initialized before further use */
void jh_quota_bucket_clear(jh_quota_bucket_t *bucket);

/** jh_quota_bucket_add() - add tokens that expire at @expiry_us; ignores an @amount <= 0 */
void jh_quota_bucket_add(jh_quota_bucket_t *bucket, int64_t amount, int64_t expiry_us);

/** jh_quota_bucket_level() - drop the expired tokens. Return: amount left */
int64_t jh_quota_bucket_level(jh_quota_bucket_t *bucket, int64_t now_us);

/** jh_quota_bucket_first_expiry_us() - Return: earliest expiry of a token; INT64_MAX if empty */
int64_t jh_quota_bucket_first_expiry_us(jh_quota_bucket_t *bucket, int64_t now_us);

/**
 * jh_quota_bucket_take() - remove @amount, or nothing if there is less
 *
 * Removes the tokens that expire first.
 *
 * Return: true if the amount was removed
 */
bool jh_quota_bucket_take(jh_quota_bucket_t *bucket, int64_t amount, int64_t now_us);

/**
 * jh_quota_bucket_take_some() - remove up to @max_amount of tokens, those that expire first
 * @lifetime_us: in: minimum remaining lifetime of a token to be removed. Out: shortest remaining
 *               lifetime among the removed tokens; unchanged if none was removed
 *
 * Return: amount removed
 */
int64_t jh_quota_bucket_take_some(jh_quota_bucket_t *bucket, int64_t max_amount,
				  int64_t *lifetime_us, int64_t now_us);

/**
 * jh_quota_refill_amount() - amount that @parts of @rate yield in @time_us, rounded down
 *
 * Reduced by JH_QUOTA_DRIFT_PPM, so that a clock that runs fast does not exceed the rate.
 */
int64_t jh_quota_refill_amount(int64_t rate, uint32_t parts, int64_t time_us);

/**
 * struct jh_quota_refill - refill of a bucket at a steady rate
 * @rate: rate of the team, amount per second
 * @parts: parts of the rate that are refilled, of JH_QUOTA_PARTS
 * @lifetime_us: lifetime of a token
 * @base_us: time since which @rate and @parts have applied
 * @last_us: time up to which tokens have been added
 * @added: amount added since @base_us
 */
typedef struct jh_quota_refill {
	int64_t rate;
	uint32_t parts;
	int64_t lifetime_us;
	int64_t base_us;
	int64_t last_us;
	int64_t added;
} jh_quota_refill_t;

/**
 * jh_quota_refill_set() - refill at another rate from @now_us on
 *
 * Call jh_quota_refill_run() with the same @now_us before; tokens not yet added are lost otherwise.
 */
void jh_quota_refill_set(jh_quota_refill_t *refill, const jh_quota_limit_t *limit, uint32_t parts,
			 int64_t now_us);

/** jh_quota_refill_run() - add the tokens due up to @now_us to the bucket */
void jh_quota_refill_run(jh_quota_refill_t *refill, jh_quota_bucket_t *bucket, int64_t now_us);

/** jh_quota_token_lifetime_us() - time from a token's refill to its expiry; 0 if the rate is 0 */
int64_t jh_quota_token_lifetime_us(const jh_quota_limit_t *limit);

/* Client: the quota of one team on one VM */

typedef struct jh_quota_client jh_quota_client_t;

/** enum jh_quota_action_kind - what the caller of the client must do */
typedef enum jh_quota_action_kind {
	/** @JH_QUOTA_REPLY: reply to the requester */
	JH_QUOTA_REPLY,
	/** @JH_QUOTA_ASK: send the ask to the quota server */
	JH_QUOTA_ASK,
} jh_quota_action_kind_t;

/** enum jh_quota_refusal - why a request got no quota */
typedef enum jh_quota_refusal {
	/** @JH_QUOTA_AT_RATE: the team's whole rate is in use */
	JH_QUOTA_AT_RATE,
	/** @JH_QUOTA_NO_SHARES: VMs that own a part of the rate do not use or lend it yet */
	JH_QUOTA_NO_SHARES,
	/** @JH_QUOTA_NO_SERVER: no quota server is known or has replied */
	JH_QUOTA_NO_SERVER,
	/** @JH_QUOTA_ISOLATED: the VM may not use its share, since it is cut off from the others */
	JH_QUOTA_ISOLATED,
	/** @JH_QUOTA_NO_TEAM: the team is not configured on this VM */
	JH_QUOTA_NO_TEAM,
	JH_QUOTA_REFUSALS
} jh_quota_refusal_t;

/**
 * struct jh_quota_action - an action for the caller of the client
 * @kind: kind of action
 * @tag: JH_QUOTA_REPLY: tag of the request
 * @granted: JH_QUOTA_REPLY: whether the request may run
 * @refusal: JH_QUOTA_REPLY: if not granted, the reason
 * @retry_us: JH_QUOTA_REPLY: if not granted, time after which to retry
 * @ask: JH_QUOTA_ASK: message to send
 */
typedef struct jh_quota_action {
	jh_quota_action_kind_t kind;
	uint64_t tag;
	bool granted;
	jh_quota_refusal_t refusal;
	int64_t retry_us;
	jh_quota_ask_t ask;
} jh_quota_action_t;

/**
 * jh_quota_client_new() - make the client of a daemon that started at @now_us
 * @policy: copied
 * @boot: boot id of the daemon
 *
 * An earlier instance on this VM may have lent its share. Unless the mode is JH_QUOTA_FIXED, the
 * client refills no tokens from its share before such a lease has expired.
 *
 * Return: new client without a limit, a share or a server, which grants nothing yet
 */
jh_quota_client_t *jh_quota_client_new(const jh_quota_policy_t *policy, uint64_t boot,
				       int64_t now_us);

/** jh_quota_client_free() - free the client; requests that wait get no reply. NULL is ignored */
void jh_quota_client_free(jh_quota_client_t *client);

/** jh_quota_client_set_limit() - set the team's limit and drop all tokens */
void jh_quota_client_set_limit(jh_quota_client_t *client, const jh_quota_limit_t *limit,
			       int64_t now_us);

/**
 * jh_quota_client_set_share() - set the parts of every team's rate that this VM owns
 *
 * The caller ensures that no other VM owns the same parts.
 */
void jh_quota_client_set_share(jh_quota_client_t *client, uint32_t parts, int64_t now_us);

/** jh_quota_client_set_vms() - set the number of VMs over which callers are spread, at least 1 */
void jh_quota_client_set_vms(jh_quota_client_t *client, unsigned vms);

/** jh_quota_client_set_server_known() - set whether a server is known; asks are sent only if so */
void jh_quota_client_set_server_known(jh_quota_client_t *client, bool known);

/**
 * jh_quota_client_request() - spend @cost on a request, now or once tokens are available
 * @tag: returned in the JH_QUOTA_REPLY; differs from those of the client's other requests
 * @wait_us: longest wait that the request accepts
 * @actions: array of jh_quota_action_t; actions are appended
 *
 * Appends the reply if the request is granted or refused immediately. Otherwise the request waits
 * and a later jh_quota_client_handle_grant() or jh_quota_client_tick() appends the reply. Call
 * jh_quota_client_tick() afterwards, which asks the server if needed.
 */
void jh_quota_client_request(jh_quota_client_t *client, uint64_t tag, int64_t cost, int64_t wait_us,
			     int64_t now_us, GArray *actions);

/**
 * jh_quota_client_give_back() - give back the tokens of a granted request that did not run
 * @tag: tag of the request
 *
 * The tokens keep their time of expiry, and each request's tokens are given back at most once. What
 * this VM's callers do not need goes to the quota server with the next ask. Call
 * jh_quota_client_tick() afterwards.
 *
 * Return: amount given back; 0 if the tokens have expired, were given back already or were granted
 *	under an earlier limit, or if the request is one of those of long ago that are forgotten
 */
int64_t jh_quota_client_give_back(jh_quota_client_t *client, uint64_t tag, int64_t now_us);

/**
 * jh_quota_client_handle_grant() - handle a grant from the quota server
 *
 * Ignores a grant that does not reply to the pending ask.
 */
void jh_quota_client_handle_grant(jh_quota_client_t *client, const jh_quota_grant_t *grant,
				  int64_t now_us, GArray *actions);

/**
 * jh_quota_client_tick() - reply to requests that waited and ask the server if needed
 *
 * Return: time by which to call again
 */
int64_t jh_quota_client_tick(jh_quota_client_t *client, int64_t now_us, GArray *actions);

/**
 * struct jh_quota_client_stats - state of a client, for operators
 * @level: amount that can be spent now
 * @waiting: number of requests that wait
 * @share_parts: parts that the VM owns
 * @lent_parts: parts of them that are lent
 * @demand: amount per second that callers request
 */
typedef struct jh_quota_client_stats {
	int64_t level;
	unsigned waiting;
	uint32_t share_parts;
	uint32_t lent_parts;
	int64_t demand;
} jh_quota_client_stats_t;

/** jh_quota_client_get_stats() - refill the client's bucket up to @now_us and return its state */
jh_quota_client_stats_t jh_quota_client_get_stats(jh_quota_client_t *client, int64_t now_us);

/* Server: the quota server of one team */

typedef struct jh_quota_server jh_quota_server_t;

/**
 * jh_quota_server_new() - make a server without a limit, which grants nothing yet
 * @policy: copied
 * @epoch: not 0, and different from the epoch of every other server at any time
 */
jh_quota_server_t *jh_quota_server_new(const jh_quota_policy_t *policy, uint64_t epoch);

/** jh_quota_server_free() - free the server; NULL is ignored */
void jh_quota_server_free(jh_quota_server_t *server);

/** jh_quota_server_set_limit() - set the team's limit and drop all tokens */
void jh_quota_server_set_limit(jh_quota_server_t *server, const jh_quota_limit_t *limit,
			       int64_t now_us);

/**
 * jh_quota_server_handle_ask() - handle an ask
 * @vm: name of the VM that sent it
 * @grant: set to the reply if the return value is true
 *
 * Return: false if the ask is a duplicate or older than another of the same boot; it gets no reply
 */
bool jh_quota_server_handle_ask(jh_quota_server_t *server, const char *vm,
				const jh_quota_ask_t *ask, int64_t now_us, jh_quota_grant_t *grant);

/** jh_quota_server_is_idle() - Return: true if no VM has asked for longer than a lease */
bool jh_quota_server_is_idle(const jh_quota_server_t *server, int64_t now_us);

#endif
