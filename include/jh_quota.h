#ifndef JH_QUOTA_H
#define JH_QUOTA_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: Quota of teams
 *
 * Keeps a team at or under its rate and burst over all VMs, in every window of time, without
 * agreement between VMs in the path of a request. See docs/internals/quota.md.
 *
 * Each VM owns a share of every team's rate and mints tokens from it. It may lend a part of its
 * share to the team's quota server for a lease; the server then mints from that part and grants
 * the tokens to VMs that need more. Every token is spent at most once, and no later than
 * burst / rate after it was minted, which bounds what runs in any window.
 *
 * Pure: times are microseconds of the caller's own monotonic clock, and amounts are millionths of
 * a request.
 */

/** JH_QUOTA_REQUEST - one request, in the unit of amounts */
#define JH_QUOTA_REQUEST INT64_C(1000000)

/** JH_QUOTA_PARTS - a whole rate; shares are counted in parts of it */
#define JH_QUOTA_PARTS (1u << 20)

/** JH_QUOTA_DRIFT_PPM - most that a VM's monotonic clock runs too fast or too slow */
#define JH_QUOTA_DRIFT_PPM 500

/** enum jh_quota_mode - what a VM does with its share */
typedef enum jh_quota_mode {
	/** @JH_QUOTA_FIXED: keeps it */
	JH_QUOTA_FIXED,
	/** @JH_QUOTA_CENTRAL: lends all of it */
	JH_QUOTA_CENTRAL,
	/** @JH_QUOTA_MIXED: keeps what its own callers need, at least a small part; lends the rest
	 */
	JH_QUOTA_MIXED,
} jh_quota_mode_t;

/**
 * struct jh_quota_policy - how VMs and quota servers deal; the same on all VMs
 * @mode: see there
 * @kept_parts: JH_QUOTA_MIXED: of JH_QUOTA_PARTS of the VM's share, what is never lent
 * @lease_us: longest time for which a part is lent
 * @interval_us: time between two questions of a VM about one team, if all VMs ask
 */
typedef struct jh_quota_policy {
	jh_quota_mode_t mode;
	unsigned kept_parts;
	int64_t lease_us;
	int64_t interval_us;
} jh_quota_policy_t;

/** jh_quota_policy_for() - policy for a fleet with @slots slots; bounds a server's messages */
jh_quota_policy_t jh_quota_policy_for(unsigned slots);

/**
 * jh_quota_lease_wait_us() - how long a lender waits from a question that lent
 *
 * Both clocks may be off, so that it is longer than the lease that the server counts.
 */
int64_t jh_quota_lease_wait_us(const jh_quota_policy_t *policy);

/**
 * struct jh_quota_limit - a team's limit
 * @rate: amount a second
 * @burst: amount
 */
typedef struct jh_quota_limit {
	int64_t rate;
	int64_t burst;
} jh_quota_limit_t;

/** jh_quota_limit_for() - limit in amounts; values out of range are cut */
jh_quota_limit_t jh_quota_limit_for(double requests_per_s, double requests);

/**
 * struct jh_quota_ask - a VM's question to a team's quota server
 * @boot: life of the asking daemon
 * @epoch: life of the server that @stamp_us is from; 0 if it has heard from none
 * @stamp_us: the server's clock, from its newest answer that the VM has seen
 * @sequence: grows with each question of this boot to any server of the team
 * @lent_parts: part of the team's rate that is lent to the server of @epoch
 * @want: amount that it could spend at once or soon
 */
typedef struct jh_quota_ask {
	uint64_t boot;
	uint64_t epoch;
	int64_t stamp_us;
	uint64_t sequence;
	uint32_t lent_parts;
	int64_t want;
} jh_quota_ask_t;

/**
 * struct jh_quota_grant - the answer
 * @epoch: the server's life
 * @stamp_us: the server's clock
 * @sequence: of the question
 * @lent_parts: part that it mints for this VM from now on
 * @amount: granted
 * @lifetime_us: the amount is void this long after the question was sent
 * @retry_us: if @amount is less than was wanted: when there should be more
 * @interval_us: shortest time until the next question, so that all who ask now get through
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
} jh_quota_grant_t;

/* ---- tokens ---- */

/**
 * struct jh_quota_bucket - tokens, each with the time at which it is void
 * @slices: array of amounts and times, the first to be void first
 * @grain_us: tokens whose times differ by less are kept as one slice, with the earlier time
 */
typedef struct jh_quota_bucket {
	GArray *slices;
	int64_t grain_us;
} jh_quota_bucket_t;

void jh_quota_bucket_init(jh_quota_bucket_t *jar);

/** jh_quota_bucket_reset() - drop all tokens; new ones will live for @life_us */
void jh_quota_bucket_reset(jh_quota_bucket_t *jar, int64_t life_us);
void jh_quota_bucket_clear(jh_quota_bucket_t *jar);

/** jh_quota_bucket_add() - put tokens in that are void at @void_us */
void jh_quota_bucket_add(jh_quota_bucket_t *jar, int64_t amount, int64_t void_us);

/** jh_quota_bucket_level() - drop void tokens. Return: amount left */
int64_t jh_quota_bucket_level(jh_quota_bucket_t *jar, int64_t now_us);

/** jh_quota_bucket_take() - take @amount or nothing, the first to be void first. Return: taken */
bool jh_quota_bucket_take(jh_quota_bucket_t *jar, int64_t amount, int64_t now_us);

/**
 * jh_quota_bucket_take_some() - take up to @most that stay valid for at least @life_us
 * @life_us: set to the time for which all that was taken stays valid
 *
 * Return: amount taken
 */
int64_t jh_quota_bucket_take_some(jh_quota_bucket_t *jar, int64_t most, int64_t *life_us,
				  int64_t now_us);

/** jh_quota_refill_amount() - amount that @parts of @rate give in @time_us, rounded down */
int64_t jh_quota_refill_amount(int64_t rate, uint32_t parts, int64_t time_us);

/**
 * struct jh_quota_refill - tokens that come at a steady rate
 * @rate: the team's rate
 * @parts: of it
 * @life_us: a token's life
 * @base_us: since when @rate and @parts hold
 * @last_us: up to when it has minted
 * @given: amount minted since @base_us
 */
typedef struct jh_quota_refill {
	int64_t rate;
	uint32_t parts;
	int64_t life_us;
	int64_t base_us;
	int64_t last_us;
	int64_t given;
} jh_quota_refill_t;

/** jh_quota_refill_set() - mint at another rate from @now_us on; run it up to there before */
void jh_quota_refill_set(jh_quota_refill_t *mint, const jh_quota_limit_t *limit, uint32_t parts,
			 int64_t now_us);

/** jh_quota_refill_run() - put what was minted up to @now_us into the jar */
void jh_quota_refill_run(jh_quota_refill_t *mint, jh_quota_bucket_t *jar, int64_t now_us);

/** jh_quota_token_life_us() - time from a token's minting until it is void */
int64_t jh_quota_token_life_us(const jh_quota_limit_t *limit);

/* ---- client: one team on one VM ---- */

typedef struct jh_quota_client jh_quota_client_t;

/** enum jh_quota_action_kind - what the caller of the client has to do */
typedef enum jh_quota_action_kind {
	/** @JH_QUOTA_REPLY: tell the requester */
	JH_QUOTA_REPLY,
	/** @JH_QUOTA_ASK: send the question to the quota server */
	JH_QUOTA_ASK,
} jh_quota_action_kind_t;

/**
 * struct jh_quota_action - one thing to do
 * @kind: which
 * @tag: JH_QUOTA_REPLY: of the request
 * @granted: JH_QUOTA_REPLY: it may run
 * @retry_us: JH_QUOTA_REPLY: if not granted, when to come back
 * @ask: JH_QUOTA_ASK
 */
typedef struct jh_quota_action {
	jh_quota_action_kind_t kind;
	uint64_t tag;
	bool granted;
	int64_t retry_us;
	jh_quota_ask_t ask;
} jh_quota_action_t;

/**
 * jh_quota_client_new() - client of a daemon that started at @now_us
 * @policy: copied
 * @boot: the daemon's life
 *
 * Parts that an earlier life on this VM may have lent are not minted before a lease has passed.
 */
jh_quota_client_t *jh_quota_client_new(const jh_quota_policy_t *policy, uint64_t boot,
				       int64_t now_us);
void jh_quota_client_free(jh_quota_client_t *client);

/** jh_quota_client_set_limit() - the team's limit changed; tokens minted before are dropped */
void jh_quota_client_set_limit(jh_quota_client_t *client, const jh_quota_limit_t *limit,
			       int64_t now_us);

/** jh_quota_client_set_share() - parts of every rate that this VM owns, and no other VM */
void jh_quota_client_set_share(jh_quota_client_t *client, uint32_t parts, int64_t now_us);

/** jh_quota_client_set_server() - a server is known; without one there are no questions */
void jh_quota_client_set_server(jh_quota_client_t *client, bool known);

/**
 * jh_quota_client_request() - a request needs @cost
 * @tag: returned in the JH_QUOTA_REPLY
 * @wait_us: longest wait that its caller accepts
 * @actions: array of jh_quota_action_t, added to
 */
void jh_quota_client_request(jh_quota_client_t *client, uint64_t tag, int64_t cost, int64_t wait_us,
			     int64_t now_us, GArray *actions);

/** jh_quota_client_grant() - an answer came */
void jh_quota_client_grant(jh_quota_client_t *client, const jh_quota_grant_t *grant, int64_t now_us,
			   GArray *actions);

/** jh_quota_client_tick() - do what is due. Return: when to call again at the latest */
int64_t jh_quota_client_tick(jh_quota_client_t *client, int64_t now_us, GArray *actions);

/**
 * struct jh_quota_client_view - for operators
 * @level: amount that can be spent now
 * @waiting: requests that wait
 * @share_parts: owned
 * @lent_parts: of them, lent
 * @demand: amount a second that its callers ask for
 */
typedef struct jh_quota_client_view {
	int64_t level;
	unsigned waiting;
	uint32_t share_parts;
	uint32_t lent_parts;
	int64_t demand;
} jh_quota_client_view_t;

jh_quota_client_view_t jh_quota_client_view(jh_quota_client_t *client, int64_t now_us);

/* ---- server: one team ---- */

typedef struct jh_quota_server jh_quota_server_t;

/** jh_quota_server_new() - @epoch differs from that of every other server, ever */
jh_quota_server_t *jh_quota_server_new(const jh_quota_policy_t *policy, uint64_t epoch);
void jh_quota_server_free(jh_quota_server_t *server);

/** jh_quota_server_set_limit() - the team's limit changed; tokens minted before are dropped */
void jh_quota_server_set_limit(jh_quota_server_t *server, const jh_quota_limit_t *limit,
			       int64_t now_us);

/**
 * jh_quota_server_ask() - answer a question
 * @vm: who asks
 *
 * Return: false if the question is an old one or a copy, which gets no answer
 */
bool jh_quota_server_ask(jh_quota_server_t *server, const char *vm, const jh_quota_ask_t *ask,
			 int64_t now_us, jh_quota_grant_t *grant);

/** jh_quota_server_is_idle() - nothing is lent to it and nobody asked within a lease */
bool jh_quota_server_is_idle(const jh_quota_server_t *server, int64_t now_us);

#endif
