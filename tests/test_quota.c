/*
 * Guards against teams that exceed their rate in some time window, because quota tokens are
 * granted or lent twice after lost messages, restarts or a change of quota server, and against
 * requests within the rate that are refused if load is skewed. Runs a simulated fleet with faults
 * in virtual time, and single replies.
 */

#include "fleet.h"

#include <check.h>
#include <stdio.h>
#include <stdlib.h>

#define SEEDS 300
#define MUTATION_SEEDS 60
#define MUTATION_VMS 4

/* Options of a fleet with all kinds of faults; the seed determines sizes and rates. */
static fleet_options_t make_faulty_fleet(guint32 seed)
{
	static const double rates[] = { 300, 50, 20, 5 };
	static const double bursts[] = { 1, 0.5, 3 };
	GRand *rand = g_rand_new_with_seed(seed);
	double rate = rates[seed % G_N_ELEMENTS(rates)];
	double burst = rate * bursts[seed % G_N_ELEMENTS(bursts)];
	fleet_options_t options = {
		.seed = seed,
		.vms = (unsigned)g_rand_int_range(rand, 2, 12),
		.limit = jh_quota_limit_for(rate, burst),
		.offered = rate * g_rand_double_range(rand, 0.5, 6),
		.hot_vm_percent = (unsigned)g_rand_int_range(rand, 0, 100),
		.hot_vm_interval_us = 2000000,
		.wait_us = g_rand_int_range(rand, 0, 1000000),
		.run_us = 20000000,
		.delay_us = g_rand_int_range(rand, 100, 20000),
		.loss_percent = (unsigned)g_rand_int_range(rand, 0, 20),
		.duplicate_percent = (unsigned)g_rand_int_range(rand, 1, 20),
		.crash_interval_us = 5000000,
		.freeze_interval_us = 5000000,
		.server_view_interval_us = 3000000,
		.has_clock_drift = true,
	};

	options.policy = jh_quota_policy_for((unsigned)g_rand_int_range(rand, 1, 40));
	options.policy.mode = seed % 5 == 0 ? JH_QUOTA_CENTRAL : JH_QUOTA_MIXED;
	if (seed % 17 == 0)
		options.policy.mode = JH_QUOTA_FIXED;
	if (seed % 3 != 0) {
		options.give_back_percent = (unsigned)g_rand_int_range(rand, 1, 60);
		options.max_give_back_us = g_rand_int_range(rand, 1000, 2000000);
		options.double_give_back_percent = 30;
		options.retries = (unsigned)g_rand_int_range(rand, 0, 3);
		options.min_retry_us = 50000;
		options.max_retry_us = 300000;
	}
	if (seed % 2 == 0) {
		options.loss_at_us = g_rand_int_range(rand, 1000000, 15000000);
		options.lost_vms = (unsigned)g_rand_int_range(rand, 1, (gint32)options.vms + 1);
		options.away_us = g_rand_int_range(rand, 1, 3000000);
		options.restart_spread_us = g_rand_int_range(rand, 1, 1000000);
		options.config_delay_us = g_rand_int_range(rand, 1, 500000);
		options.share_delay_us = g_rand_int_range(rand, 1, 500000);
		options.view_delay_us = g_rand_int_range(rand, 0, 500000);
	}
	g_rand_free(rand);
	return options;
}

START_TEST(test_every_window_keeps_the_limit)
{
	uint64_t granted = 0;
	uint64_t not_run = 0;
	uint64_t messages = 0;
	guint32 seed;

	for (seed = 1; seed <= SEEDS; seed++) {
		fleet_options_t options = make_faulty_fleet(seed);
		fleet_result_t result = fleet_run(&options);

		ck_assert_msg(result.excess == 0, "seed %u: over the limit by %" G_GINT64_FORMAT,
			      seed, result.excess);
		granted += result.granted;
		not_run += result.not_run;
		messages += result.messages;
	}
	printf("quota: %d seeds, %" G_GUINT64_FORMAT " granted, %" G_GUINT64_FORMAT
	       " given back, %" G_GUINT64_FORMAT " messages\n",
	       SEEDS, granted, not_run, messages);
	ck_assert_uint_gt(granted, 100000);
	ck_assert_uint_gt(not_run, 10000);
}
END_TEST

/*
 * Number of seeds that exceed the limit without a safeguard. @skip_lease_wait: a restarted VM does
 * not wait for the leases of its earlier instance. @reuse_epoch: a server accepts parts that were
 * lent to another server. @give_back_after_run: tokens of requests that ran are given back.
 */
static unsigned count_failures(bool skip_lease_wait, bool reuse_epoch, bool give_back_after_run)
{
	unsigned failed = 0;
	guint32 seed;

	for (seed = 1; seed <= MUTATION_SEEDS; seed++) {
		fleet_options_t options = make_faulty_fleet(seed);

		options.vms = MUTATION_VMS;
		options.give_back_percent = skip_lease_wait || reuse_epoch ? 0 : 30;
		options.max_give_back_us = 100000;
		options.double_give_back_percent = 100;
		options.give_back_after_run = give_back_after_run;
		options.retries = 0;
		options.loss_at_us = 0;
		options.policy = jh_quota_policy_for(MUTATION_VMS);
		options.policy.lease_us = 5000000;
		options.limit = jh_quota_limit_for(300, 150);
		options.offered = 1500;
		options.policy.mode = reuse_epoch ? JH_QUOTA_CENTRAL : JH_QUOTA_MIXED;
		options.hot_vm_percent = reuse_epoch ? 0 : 90;
		options.loss_percent = 0;
		options.hot_vm_interval_us = 700000;
		options.delay_us = 1000;
		options.crash_interval_us = skip_lease_wait ? 4000000 : 0;
		options.freeze_interval_us = 0;
		options.server_view_interval_us = reuse_epoch ? 1000000 : 0;
		options.has_clock_drift = !reuse_epoch;
		options.skip_lease_wait = skip_lease_wait;
		options.reuse_epoch = reuse_epoch;
		failed += fleet_run(&options).excess > 0;
	}
	return failed;
}

/* The simulation detects fleets without each safeguard, and passes with all in place. */
START_TEST(test_removed_safeguards_are_detected)
{
	unsigned lease_wait_failures = count_failures(true, false, false);
	unsigned epoch_failures = count_failures(false, true, false);
	unsigned give_back_failures = count_failures(false, false, true);

	printf("quota: of %d seeds, %u exceed the limit if restarted VMs ignore earlier leases, %u "
	       "if servers accept parts lent to others, %u if tokens of requests that ran are given "
	       "back\n",
	       MUTATION_SEEDS, lease_wait_failures, epoch_failures, give_back_failures);
	ck_assert_uint_gt(lease_wait_failures, 0);
	ck_assert_uint_gt(epoch_failures, 0);
	ck_assert_uint_gt(give_back_failures, 0);
	ck_assert_uint_eq(count_failures(false, false, false), 0);
}
END_TEST

/* Without faults, less than 1 % of the requests within the rate are refused if load is skewed. */
START_TEST(test_skewed_load_is_granted)
{
	fleet_options_t options = {
		.seed = 1,
		.vms = 7,
		.policy = jh_quota_policy_for(7),
		.limit = jh_quota_limit_for(100, 100),
		.offered = 80,
		.hot_vm_percent = 90,
		.hot_vm_interval_us = 5000000,
		.wait_us = 500000,
		.run_us = 60000000,
		.delay_us = 1000,
	};
	fleet_result_t result = fleet_run(&options);

	ck_assert_int_eq(result.excess, 0);
	ck_assert_uint_lt(result.wrongful_refusals * 100, result.within);
}
END_TEST

/*
 * Urgent requests of a team below its rate, each of which accepts a shorter wait than the interval
 * between two asks, are refused if its second request within that interval has to wait for the next
 * ask.
 */
START_TEST(test_short_waits_below_the_rate_are_granted)
{
	static const unsigned fleet_sizes[] = { 9, 64 };
	unsigned i;

	for (i = 0; i < G_N_ELEMENTS(fleet_sizes); i++) {
		fleet_options_t options = {
			.seed = 1,
			.vms = fleet_sizes[i],
			.owners = 8,
			.policy = jh_quota_policy_for(8),
			.limit = jh_quota_limit_for(100, 100),
			.offered = 60,
			.wait_us = 10000,
			.run_us = 60000000,
			.warm_up_us = 2000000,
			.delay_us = 500,
		};
		fleet_result_t result = fleet_run(&options);

		ck_assert_int_eq(result.excess, 0);
		ck_assert_uint_lt(result.wrongful_refusals * 100, result.within);
	}
}
END_TEST

static GArray *make_actions(void)
{
	return g_array_new(FALSE, TRUE, sizeof(jh_quota_action_t));
}

/* A request that can't be granted within its wait is refused immediately, with a retry time. */
START_TEST(test_refusal_has_retry_hint)
{
	jh_quota_policy_t policy = jh_quota_policy_for(1);
	const jh_quota_limit_t limit = jh_quota_limit_for(1, 1);
	GArray *actions = make_actions();
	jh_quota_client_t *client;
	const jh_quota_action_t *action;

	policy.mode = JH_QUOTA_FIXED;
	client = jh_quota_client_new(&policy, 1, 0);
	jh_quota_client_set_limit(client, &limit, 0);
	jh_quota_client_set_share(client, JH_QUOTA_PARTS, 0);
	jh_quota_client_request(client, 7, JH_QUOTA_REQUEST, 100000, 0, actions);
	ck_assert_uint_eq(actions->len, 1);
	action = &g_array_index(actions, jh_quota_action_t, 0);
	ck_assert(action->kind == JH_QUOTA_REPLY && !action->granted && action->tag == 7);
	ck_assert_int_gt(action->retry_us, 900000);
	g_array_free(actions, TRUE);
	jh_quota_client_free(client);
}
END_TEST

/* A duplicate ask gets no second grant. */
START_TEST(test_duplicate_asks_get_no_grant)
{
	const jh_quota_policy_t policy = jh_quota_policy_for(7);
	const jh_quota_limit_t limit = jh_quota_limit_for(100, 100);
	jh_quota_server_t *server = jh_quota_server_new(&policy, 9);
	jh_quota_ask_t ask = { .boot = 1, .sequence = 1, .want = JH_QUOTA_REQUEST };
	jh_quota_grant_t grant;

	jh_quota_server_set_limit(server, &limit, 0);
	ck_assert(jh_quota_server_handle_ask(server, "vm-1", &ask, 1000, &grant));
	ck_assert_int_eq(grant.amount, 0);
	ck_assert(!jh_quota_server_handle_ask(server, "vm-1", &ask, 2000, &grant));
	/* Parts lent to a server with another epoch are not refilled. */
	ask = (jh_quota_ask_t){ .boot = 1, .epoch = 8, .sequence = 2, .lent_parts = 1000 };
	ck_assert(jh_quota_server_handle_ask(server, "vm-1", &ask, 3000, &grant));
	ck_assert_uint_eq(grant.lent_parts, 0);
	jh_quota_server_free(server);
}
END_TEST

/* Client that owns the whole rate of one request a second with a burst of one */
static jh_quota_client_t *make_owner(void)
{
	jh_quota_policy_t policy = jh_quota_policy_for(1);
	const jh_quota_limit_t limit = jh_quota_limit_for(1, 1);
	jh_quota_client_t *client;

	policy.mode = JH_QUOTA_FIXED;
	client = jh_quota_client_new(&policy, 1, 0);
	jh_quota_client_set_limit(client, &limit, 0);
	jh_quota_client_set_share(client, JH_QUOTA_PARTS, 0);
	return client;
}

/* Return: true if a request of cost @cost is granted immediately */
static bool is_granted(jh_quota_client_t *client, uint64_t tag, int64_t cost, int64_t now_us)
{
	GArray *actions = make_actions();
	bool granted;

	jh_quota_client_request(client, tag, cost, 0, now_us, actions);
	ck_assert_uint_eq(actions->len, 1);
	granted = g_array_index(actions, jh_quota_action_t, 0).granted;
	g_array_free(actions, TRUE);
	return granted;
}

/* Tokens that are given back twice would let two requests run for one. */
START_TEST(test_tokens_are_given_back_once)
{
	const int64_t cost = JH_QUOTA_REQUEST / 2;
	const int64_t now_us = 600000;
	jh_quota_client_t *client = make_owner();

	ck_assert(is_granted(client, 1, cost, now_us));
	ck_assert_int_eq(jh_quota_client_give_back(client, 2, now_us), 0);
	ck_assert_int_eq(jh_quota_client_give_back(client, 1, now_us), cost);
	ck_assert_int_eq(jh_quota_client_give_back(client, 1, now_us), 0);
	ck_assert(is_granted(client, 3, cost, now_us));
	ck_assert_int_eq(jh_quota_client_give_back(client, 1, now_us), 0);
	ck_assert(!is_granted(client, 4, cost, now_us));
	jh_quota_client_free(client);
}
END_TEST

/* Tokens that are given back would exceed the limit of a window if they became valid for longer. */
START_TEST(test_given_back_tokens_keep_their_expiry)
{
	const int64_t cost = JH_QUOTA_REQUEST / 2;
	const jh_quota_limit_t limit = jh_quota_limit_for(1, 1);
	jh_quota_client_t *client = make_owner();

	/* Its tokens are those of the first half second and expire one second after that began. */
	ck_assert(is_granted(client, 1, cost, 510000));
	/* So the second half of the first second is all that is left at the end of it. */
	jh_quota_client_set_share(client, 0, 950000);
	ck_assert_int_eq(jh_quota_client_give_back(client, 1, 960000), cost);
	ck_assert(is_granted(client, 2, cost, 970000));
	ck_assert_int_eq(jh_quota_client_give_back(client, 2, 980000), cost);
	ck_assert_int_gt(jh_quota_client_get_stats(client, 990000).level, cost);
	ck_assert_int_le(jh_quota_client_get_stats(client, 1001000).level, cost);
	/* Tokens that expired while the request held them do not come back, nor do older limits'.
	 */
	ck_assert(is_granted(client, 3, cost / 2, 1010000));
	ck_assert_int_eq(jh_quota_client_give_back(client, 3, 2000000), 0);
	ck_assert_int_eq(jh_quota_client_get_stats(client, 2000000).level, 0);
	jh_quota_client_set_share(client, JH_QUOTA_PARTS, 2000000);
	ck_assert(is_granted(client, 4, cost, 2600000));
	jh_quota_client_set_limit(client, &limit, 2600000);
	ck_assert_int_eq(jh_quota_client_give_back(client, 4, 2600000), 0);
	jh_quota_client_free(client);
}
END_TEST

/* A duplicate or late ask would add the tokens that it returns a second time. */
START_TEST(test_server_adds_returned_tokens_once)
{
	const jh_quota_policy_t policy = jh_quota_policy_for(7);
	const jh_quota_limit_t limit = jh_quota_limit_for(100, 100);
	jh_quota_server_t *server = jh_quota_server_new(&policy, 9);
	jh_quota_ask_t ask = { .boot = 1,
			       .sequence = 2,
			       .epoch = 9,
			       .stamp_us = 1000,
			       .returned = 5 * JH_QUOTA_REQUEST,
			       .returned_lifetime_us = 100000 };
	jh_quota_grant_t grant;

	jh_quota_server_set_limit(server, &limit, 0);
	ck_assert(jh_quota_server_handle_ask(server, "vm-1", &ask, 2000, &grant));
	ck_assert(!jh_quota_server_handle_ask(server, "vm-1", &ask, 3000, &grant));
	ask.sequence = 1;
	ck_assert(!jh_quota_server_handle_ask(server, "vm-1", &ask, 3000, &grant));
	/* Tokens that were granted by another server are not this server's. */
	ask = (jh_quota_ask_t){ .boot = 2, .sequence = 1, .epoch = 8, .stamp_us = 1000 };
	ask.returned = JH_QUOTA_REQUEST;
	ask.returned_lifetime_us = 100000;
	ck_assert(jh_quota_server_handle_ask(server, "vm-2", &ask, 3000, &grant));
	ask = (jh_quota_ask_t){ .boot = 2, .sequence = 2, .want = 50 * JH_QUOTA_REQUEST };
	ck_assert(jh_quota_server_handle_ask(server, "vm-2", &ask, 4000, &grant));
	ck_assert_int_eq(grant.amount, 5 * JH_QUOTA_REQUEST);
	/* They expire 100 ms after the timestamp of the ask, wherever they are. */
	ck_assert_int_le(grant.lifetime_us, 97000);
	/* The sender's entry may be gone after two leases: an ask of that age returns nothing. */
	ask = (jh_quota_ask_t){ .boot = 1, .sequence = 3, .epoch = 9, .stamp_us = 1000 };
	ask.returned = JH_QUOTA_REQUEST;
	ask.returned_lifetime_us = 10 * policy.lease_us;
	ask.want = JH_QUOTA_REQUEST;
	ck_assert(jh_quota_server_handle_ask(server, "vm-1", &ask, 2000 + 2 * policy.lease_us,
					     &grant));
	ck_assert_int_eq(grant.amount, 0);
	jh_quota_server_free(server);
}
END_TEST

/*
 * Where few VMs own shares, a reserve in proportion to the share would expire unused, as most
 * callers are at other VMs.
 */
START_TEST(test_reserve_of_an_owner_fits_its_part_of_the_callers)
{
	const jh_quota_policy_t policy = jh_quota_policy_for(8);
	const jh_quota_limit_t limit = jh_quota_limit_for(200, 200);
	const uint32_t share = JH_QUOTA_PARTS / 8;
	unsigned vms;

	for (vms = 8; vms <= 80; vms *= 10) {
		jh_quota_client_t *client = jh_quota_client_new(&policy, 1, -2 * policy.lease_us);
		const jh_quota_grant_t grant = { .epoch = 9, .sequence = 1, .interval_us = 10000 };
		GArray *actions = make_actions();

		jh_quota_client_set_limit(client, &limit, 0);
		jh_quota_client_set_share(client, share, 0);
		jh_quota_client_set_vms(client, vms);
		jh_quota_client_set_server_known(client, true);
		jh_quota_client_tick(client, 0, actions);
		jh_quota_client_handle_grant(client, &grant, 1000, actions);
		jh_quota_client_tick(client, 100000, actions);
		ck_assert_uint_eq(jh_quota_client_get_stats(client, 100000).lent_parts,
				  vms == 8 ? share - share / 5 : share);
		g_array_free(actions, TRUE);
		jh_quota_client_free(client);
	}
}
END_TEST

/* Otherwise what a VM refilled before it lends expires there, while callers of others need it. */
START_TEST(test_tokens_of_a_vm_that_begins_to_lend_go_to_the_server)
{
	const jh_quota_policy_t policy = jh_quota_policy_for(8);
	const jh_quota_limit_t limit = jh_quota_limit_for(200, 200);
	jh_quota_client_t *client = jh_quota_client_new(&policy, 1, -2 * policy.lease_us);
	const jh_quota_grant_t grant = {
		.epoch = 9, .sequence = 1, .stamp_us = 7000, .interval_us = 10000
	};
	GArray *actions = make_actions();
	const jh_quota_ask_t *ask;

	jh_quota_client_set_limit(client, &limit, 0);
	jh_quota_client_set_share(client, JH_QUOTA_PARTS, 0);
	jh_quota_client_set_server_known(client, true);
	jh_quota_client_tick(client, 100000, actions);
	g_array_set_size(actions, 0);
	jh_quota_client_handle_grant(client, &grant, 200000, actions);
	ck_assert_uint_ge(actions->len, 1);
	ask = &g_array_index(actions, jh_quota_action_t, 0).ask;
	ck_assert_uint_gt(ask->lent_parts, 0);
	ck_assert_int_gt(ask->returned, 35 * JH_QUOTA_REQUEST);
	/* The first of them expires one second after time 0, 0.8 s after the timestamp came. */
	ck_assert_int_le(ask->returned_lifetime_us, 800000);
	ck_assert_int_lt(jh_quota_client_get_stats(client, 200000).level, JH_QUOTA_REQUEST);
	g_array_free(actions, TRUE);
	jh_quota_client_free(client);
}
END_TEST

/* Makes a request that waits no longer than until the ask is sent. Return: its refusal */
static jh_quota_action_t refuse(jh_quota_client_t *client, int64_t now_us)
{
	static uint64_t tag = 1000;
	GArray *actions = make_actions();
	jh_quota_action_t action;
	unsigned i;

	jh_quota_client_request(client, ++tag, JH_QUOTA_REQUEST, 1, now_us, actions);
	jh_quota_client_tick(client, now_us, actions);
	jh_quota_client_tick(client, now_us + 1, actions);
	for (i = 0; i < actions->len; i++) {
		action = g_array_index(actions, jh_quota_action_t, i);
		if (action.kind == JH_QUOTA_REPLY)
			break;
	}
	ck_assert_uint_lt(i, actions->len);
	ck_assert(!action.granted);
	g_array_free(actions, TRUE);
	return action;
}

/* The server replies to the client's newest ask, if it has one, with nothing. */
static void reply_empty(jh_quota_client_t *client, uint32_t known_parts, int64_t now_us)
{
	static uint64_t sequence;
	GArray *actions = make_actions();
	jh_quota_grant_t grant = { .epoch = 9, .interval_us = 10000, .retry_us = 50000 };
	unsigned i;

	jh_quota_client_tick(client, now_us, actions);
	for (i = 0; i < actions->len; i++) {
		const jh_quota_action_t *action = &g_array_index(actions, jh_quota_action_t, i);

		if (action->kind == JH_QUOTA_ASK)
			sequence = action->ask.sequence;
	}
	grant.sequence = sequence;
	grant.known_parts = known_parts;
	jh_quota_client_handle_grant(client, &grant, now_us + 1000, actions);
	g_array_free(actions, TRUE);
}

/* Operators and callers are misled if a refusal says that the team is at its rate and it is not. */
START_TEST(test_refusal_has_the_true_reason)
{
	const jh_quota_policy_t policy = jh_quota_policy_for(8);
	const jh_quota_limit_t limit = jh_quota_limit_for(100, 100);
	jh_quota_client_t *client = jh_quota_client_new(&policy, 1, 0);
	GArray *actions = make_actions();

	jh_quota_client_set_limit(client, &limit, 0);
	ck_assert_int_eq(refuse(client, 0).refusal, JH_QUOTA_NO_SERVER);
	jh_quota_client_set_server_known(client, true);
	jh_quota_client_request(client, 1, JH_QUOTA_REQUEST, 100000, 1000, actions);
	/* The owners of the rate have not asked this server yet. */
	reply_empty(client, 0, 1000);
	ck_assert_int_eq(refuse(client, 3000).refusal, JH_QUOTA_NO_SHARES);
	ck_assert_int_le(refuse(client, 3000).retry_us, policy.lease_us);
	jh_quota_client_request(client, 2, JH_QUOTA_REQUEST, 100000, 99000, actions);
	reply_empty(client, JH_QUOTA_PARTS / 2, 100000);
	ck_assert_int_eq(refuse(client, 102000).refusal, JH_QUOTA_NO_SHARES);
	/* The whole rate is in use, and there is too little. */
	jh_quota_client_request(client, 3, JH_QUOTA_REQUEST, 100000, 199000, actions);
	reply_empty(client, JH_QUOTA_PARTS - 8, 200000);
	ck_assert_int_eq(refuse(client, 202000).refusal, JH_QUOTA_AT_RATE);
	/* The server is lost. */
	jh_quota_client_request(client, 4, JH_QUOTA_REQUEST, 1000000, 299000, actions);
	jh_quota_client_tick(client, 300000, actions);
	jh_quota_client_tick(client, 500000, actions);
	ck_assert_int_eq(refuse(client, 500000).refusal, JH_QUOTA_NO_SERVER);
	g_array_free(actions, TRUE);
	jh_quota_client_free(client);
}
END_TEST

/* Return: whether the client asks one interval after a grant of nothing, with a request waiting */
static bool asks_after_one_interval(uint32_t known_parts)
{
	const jh_quota_policy_t policy = jh_quota_policy_for(8);
	const jh_quota_limit_t limit = jh_quota_limit_for(100, 100);
	jh_quota_client_t *client = jh_quota_client_new(&policy, 1, 0);
	const jh_quota_grant_t grant = { .epoch = 9,
					 .sequence = 1,
					 .interval_us = 10000,
					 .retry_us = 100000,
					 .known_parts = known_parts };
	GArray *actions = make_actions();
	bool asks = false;
	unsigned i;

	jh_quota_client_set_limit(client, &limit, 0);
	jh_quota_client_set_server_known(client, true);
	jh_quota_client_request(client, 1, JH_QUOTA_REQUEST, 100000, 0, actions);
	jh_quota_client_tick(client, 0, actions);
	jh_quota_client_handle_grant(client, &grant, 1000, actions);
	g_array_set_size(actions, 0);
	jh_quota_client_tick(client, 12000, actions);
	for (i = 0; i < actions->len; i++)
		asks |= g_array_index(actions, jh_quota_action_t, i).kind == JH_QUOTA_ASK;
	g_array_free(actions, TRUE);
	jh_quota_client_free(client);
	return asks;
}

/*
 * After a loss of many VMs their parts of the rate come into use one after the other. A VM that was
 * short once and then asks late refuses its callers while the server has tokens. A team at its rate
 * must not ask as often.
 */
START_TEST(test_short_grant_delays_asks_less_while_parts_come_into_use)
{
	ck_assert(asks_after_one_interval(JH_QUOTA_PARTS / 2));
	ck_assert(!asks_after_one_interval(JH_QUOTA_PARTS));
}
END_TEST

/*
 * A request can wait for which no ask is sent, since its team's limit was lowered to nothing. The
 * client must not be called again without a pause until the request's deadline.
 */
START_TEST(test_no_busy_loop_while_a_request_waits_without_an_ask)
{
	const jh_quota_policy_t policy = jh_quota_policy_for(8);
	const jh_quota_limit_t limit = jh_quota_limit_for(100, 100);
	const jh_quota_limit_t nothing = jh_quota_limit_for(0, 0);
	const jh_quota_grant_t grant = { .epoch = 9, .sequence = 1, .interval_us = 10000 };
	jh_quota_client_t *client = jh_quota_client_new(&policy, 1, 0);
	GArray *actions = make_actions();

	jh_quota_client_set_limit(client, &limit, 0);
	jh_quota_client_set_share(client, JH_QUOTA_PARTS, 0);
	jh_quota_client_set_server_known(client, true);
	jh_quota_client_tick(client, 0, actions);
	jh_quota_client_handle_grant(client, &grant, 1000, actions);
	jh_quota_client_request(client, 1, JH_QUOTA_REQUEST, 1000000, 2000, actions);
	jh_quota_client_set_limit(client, &nothing, 3000);
	g_array_set_size(actions, 0);
	ck_assert_int_ge(jh_quota_client_tick(client, 500000, actions), 501000);
	ck_assert_uint_eq(actions->len, 0);
	g_array_free(actions, TRUE);
	jh_quota_client_free(client);
}
END_TEST

/* Reasons and retry times after a restart: the wait for earlier leases ends at a known time. */
START_TEST(test_refusal_of_a_restarted_owner_names_the_end_of_its_wait)
{
	const jh_quota_policy_t policy = jh_quota_policy_for(8);
	const jh_quota_limit_t limit = jh_quota_limit_for(100, 100);
	jh_quota_client_t *client = jh_quota_client_new(&policy, 1, 0);
	const jh_quota_grant_t grant = { .epoch = 9, .sequence = 1, .interval_us = 10000 };
	GArray *actions = make_actions();
	int64_t retry_us;

	jh_quota_client_set_limit(client, &limit, 0);
	jh_quota_client_set_share(client, JH_QUOTA_PARTS, 0);
	jh_quota_client_set_server_known(client, true);
	/* It asks at once, so that it knows the server's epoch when the wait is over. */
	jh_quota_client_tick(client, 0, actions);
	ck_assert_uint_eq(actions->len, 1);
	ck_assert_uint_eq(g_array_index(actions, jh_quota_action_t, 0).ask.share_parts, 0);
	jh_quota_client_handle_grant(client, &grant, 1000, actions);
	ck_assert_int_eq(refuse(client, 100000).refusal, JH_QUOTA_NO_SHARES);
	retry_us = refuse(client, 100000).retry_us;
	ck_assert_int_ge(100000 + retry_us, policy.lease_us);
	ck_assert_int_le(100000 + retry_us, policy.lease_us * 11 / 10);
	/* It lends as soon as the wait is over, without a request. */
	ck_assert_int_le(jh_quota_client_tick(client, policy.lease_us, actions),
			 jh_quota_lease_wait_us(&policy));
	g_array_set_size(actions, 0);
	jh_quota_client_tick(client, jh_quota_lease_wait_us(&policy) + 200000, actions);
	ck_assert_uint_ge(actions->len, 1);
	ck_assert_uint_gt(g_array_index(actions, jh_quota_action_t, 0).ask.lent_parts, 0);
	g_array_free(actions, TRUE);
	jh_quota_client_free(client);
}
END_TEST

/*
 * An ask that another server than the expected one receives lends nothing: the parts must not stay
 * unused for a lease, but those of an earlier ask must.
 */
START_TEST(test_parts_lent_to_no_server_are_used_again)
{
	const jh_quota_policy_t policy = jh_quota_policy_for(8);
	const jh_quota_limit_t limit = jh_quota_limit_for(100, 100);
	jh_quota_client_t *client = jh_quota_client_new(&policy, 1, -2 * policy.lease_us);
	jh_quota_grant_t grant = { .epoch = 9, .sequence = 1, .interval_us = 10000 };
	GArray *actions = make_actions();
	int64_t now_us = 0;

	jh_quota_client_set_limit(client, &limit, 0);
	jh_quota_client_set_share(client, JH_QUOTA_PARTS, 0);
	jh_quota_client_set_server_known(client, true);
	jh_quota_client_tick(client, now_us, actions);
	jh_quota_client_handle_grant(client, &grant, now_us, actions);
	now_us += 200000;
	jh_quota_client_tick(client, now_us, actions);
	ck_assert_uint_gt(jh_quota_client_get_stats(client, now_us).lent_parts, 0);
	/* Epoch 8 replies to the first ask that lends: nothing is lent to epoch 9. */
	grant = (jh_quota_grant_t){ .epoch = 8, .sequence = 2, .interval_us = 10000 };
	jh_quota_client_handle_grant(client, &grant, now_us, actions);
	ck_assert_uint_eq(jh_quota_client_get_stats(client, now_us).lent_parts, 0);
	/* Epoch 8 confirms parts, then epoch 9 replies to a renewal: epoch 8 still has them. */
	now_us += 200000;
	jh_quota_client_tick(client, now_us, actions);
	grant = (jh_quota_grant_t){ .epoch = 8, .sequence = 3, .interval_us = 10000 };
	grant.lent_parts = JH_QUOTA_PARTS / 2;
	jh_quota_client_handle_grant(client, &grant, now_us, actions);
	now_us += 200000;
	jh_quota_client_tick(client, now_us, actions);
	grant = (jh_quota_grant_t){ .epoch = 9, .sequence = 4, .interval_us = 10000 };
	jh_quota_client_handle_grant(client, &grant, now_us, actions);
	ck_assert_uint_eq(jh_quota_client_get_stats(client, now_us).lent_parts, JH_QUOTA_PARTS / 2);
	/* The lease of epoch 8 began with the ask that it confirmed. */
	now_us += jh_quota_lease_wait_us(&policy) - 200000;
	ck_assert_uint_eq(jh_quota_client_get_stats(client, now_us).lent_parts, 0);
	g_array_free(actions, TRUE);
	jh_quota_client_free(client);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("quota");
	TCase *tcase = tcase_create("limit");
	SRunner *runner;
	int failed;

	tcase_set_timeout(tcase, 600);
	tcase_add_test(tcase, test_every_window_keeps_the_limit);
	tcase_add_test(tcase, test_removed_safeguards_are_detected);
	tcase_add_test(tcase, test_skewed_load_is_granted);
	tcase_add_test(tcase, test_short_waits_below_the_rate_are_granted);
	tcase_add_test(tcase, test_refusal_has_retry_hint);
	tcase_add_test(tcase, test_duplicate_asks_get_no_grant);
	tcase_add_test(tcase, test_reserve_of_an_owner_fits_its_part_of_the_callers);
	tcase_add_test(tcase, test_tokens_of_a_vm_that_begins_to_lend_go_to_the_server);
	tcase_add_test(tcase, test_refusal_has_the_true_reason);
	tcase_add_test(tcase, test_short_grant_delays_asks_less_while_parts_come_into_use);
	tcase_add_test(tcase, test_no_busy_loop_while_a_request_waits_without_an_ask);
	tcase_add_test(tcase, test_refusal_of_a_restarted_owner_names_the_end_of_its_wait);
	tcase_add_test(tcase, test_parts_lent_to_no_server_are_used_again);
	tcase_add_test(tcase, test_tokens_are_given_back_once);
	tcase_add_test(tcase, test_given_back_tokens_keep_their_expiry);
	tcase_add_test(tcase, test_server_adds_returned_tokens_once);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
