/*
 * Compares the quota modes in simulated fleets. Prints CSV with a row for each load and mode;
 * a row covers eight teams with different rates. With the argument "scale", prints a row for each
 * fleet size and burst instead; with "hot" one for each rate of a hot team and of a team within its
 * rate; with "not_run" one for each rate and load if granted requests do not run; with "loss" one
 * for each fleet and rate after the loss of many VMs. See docs/internals/quota.md.
 */

#include "fleet.h"

#include <stdio.h>

#define SEEDS_PER_TEAM 5
#define RUN_US INT64_C(60000000)
#define FLEET_VMS 7

static const double team_rates_per_s[] = { 400, 200, 100, 50, 20, 20, 10, 5 };

static const struct {
	const char *name;
	jh_quota_mode_t mode;
} modes[] = {
	{ "fixed", JH_QUOTA_FIXED },
	{ "central", JH_QUOTA_CENTRAL },
	{ "mixed", JH_QUOTA_MIXED },
};

/* Each load sets the options in which it differs from run_options_make(). */
static const struct {
	const char *name;
	/* Requests per second that callers send, as a multiple of the team's rate. */
	double load_factor;
	unsigned hot_vm_percent;
	int64_t server_crash_interval_us;
	int64_t crash_interval_us;
	int64_t freeze_interval_us;
	unsigned loss_percent;
	unsigned dead_vms;
} loads[] = {
	{ .name = "even", .load_factor = 0.8 },
	{ .name = "skewed", .load_factor = 0.8, .hot_vm_percent = 90 },
	{ .name = "flooded", .load_factor = 5, .hot_vm_percent = 50 },
	{ .name = "server_lost",
	  .load_factor = 0.8,
	  .hot_vm_percent = 50,
	  .server_crash_interval_us = 10000000 },
	{ .name = "lossy", .load_factor = 0.8, .hot_vm_percent = 50, .loss_percent = 5 },
	{ .name = "frozen",
	  .load_factor = 0.8,
	  .hot_vm_percent = 50,
	  .freeze_interval_us = 20000000 },
	{ .name = "restarts",
	  .load_factor = 0.8,
	  .hot_vm_percent = 50,
	  .crash_interval_us = 30000000 },
	{ .name = "vm_gone", .load_factor = 0.8, .hot_vm_percent = 50, .dead_vms = 1 },
};

static fleet_options_t run_options_make(unsigned mode_index, unsigned load_index,
					unsigned team_index, guint32 seed)
{
	fleet_options_t options = {
		.seed = seed,
		.vms = FLEET_VMS,
		.policy = jh_quota_policy_for(FLEET_VMS),
		.limit = jh_quota_limit_for(team_rates_per_s[team_index],
					    team_rates_per_s[team_index]),
		.offered = team_rates_per_s[team_index] * loads[load_index].load_factor,
		.hot_vm_percent = loads[load_index].hot_vm_percent,
		.hot_vm_interval_us = 5000000,
		.wait_us = 500000,
		.run_us = RUN_US,
		.delay_us = 1000,
		.loss_percent = loads[load_index].loss_percent,
		.server_crash_interval_us = loads[load_index].server_crash_interval_us,
		.crash_interval_us = loads[load_index].crash_interval_us,
		.freeze_interval_us = loads[load_index].freeze_interval_us,
		.dead_vms = loads[load_index].dead_vms,
		.has_clock_drift = true,
	};

	options.policy.mode = modes[mode_index].mode;
	return options;
}

static void load_row_print(unsigned mode_index, unsigned load_index)
{
	fleet_result_t total = { .requests = 0 };
	double worst_granted_ratio = 1;
	unsigned team_index;
	guint32 seed;

	for (team_index = 0; team_index < G_N_ELEMENTS(team_rates_per_s); team_index++) {
		fleet_result_t team_result = { .requests = 0 };

		for (seed = 1; seed <= SEEDS_PER_TEAM; seed++) {
			fleet_options_t options =
				run_options_make(mode_index, load_index, team_index, seed);
			fleet_result_t result = fleet_run(&options);

			team_result.requests += result.requests;
			team_result.granted += result.granted;
			team_result.within += result.within;
			team_result.wrongful_refusals += result.wrongful_refusals;
			team_result.waited += result.waited;
			team_result.messages += result.messages;
			total.excess = MAX(total.excess, result.excess);
		}
		worst_granted_ratio =
			MIN(worst_granted_ratio,
			    (double)team_result.granted / (double)MAX(team_result.within, 1));
		total.requests += team_result.requests;
		total.granted += team_result.granted;
		total.within += team_result.within;
		total.wrongful_refusals += team_result.wrongful_refusals;
		total.waited += team_result.waited;
		total.messages += team_result.messages;
	}
	printf("%s,%s,%" G_GUINT64_FORMAT ",%" G_GUINT64_FORMAT ",%" G_GUINT64_FORMAT
	       ",%.3f,%.3f,%.2f,%.1f,%" G_GINT64_FORMAT "\n",
	       modes[mode_index].name, loads[load_index].name, total.requests, total.within,
	       total.granted,
	       100.0 * (double)total.wrongful_refusals / (double)MAX(total.within, 1),
	       100.0 * worst_granted_ratio,
	       100.0 * (double)total.waited / (double)MAX(total.granted, 1),
	       (double)total.messages * 1e6 / (double)RUN_US / SEEDS_PER_TEAM, total.excess);
}

/* Costs by fleet size */

#define SCALE_RUN_US INT64_C(20000000)
/* Requests per second. */
#define RATE_PER_VM 20.0

static void scale_row_print(unsigned vms, unsigned burst_s)
{
	double rate_per_s = RATE_PER_VM * vms;
	const fleet_options_t options = {
		.seed = 1,
		.vms = vms,
		.policy = jh_quota_policy_for(vms),
		.limit = jh_quota_limit_for(rate_per_s, rate_per_s * burst_s),
		.offered = rate_per_s * 0.8,
		.hot_vm_percent = 20,
		.hot_vm_interval_us = 5000000,
		.wait_us = 500000,
		.run_us = SCALE_RUN_US,
		.delay_us = 1000,
		.has_clock_drift = true,
	};
	fleet_result_t result = fleet_run(&options);

	printf("%u,%u,%.0f,%.1f,%.3f,%.1f,%.2f,%" G_GINT64_FORMAT "\n", vms, burst_s,
	       (double)options.policy.interval_us / 1000, (double)options.policy.lease_us / 1000,
	       100.0 * (double)result.wrongful_refusals / (double)MAX(result.within, 1),
	       (double)result.messages * 1e6 / (double)SCALE_RUN_US,
	       (double)result.messages * 1e6 / (double)SCALE_RUN_US / vms, result.excess);
}

static void scale_print(void)
{
	static const unsigned fleet_sizes[] = { 7, 21, 70, 210, 680 };
	unsigned i;

	printf("vms,burst_s,interval_ms,lease_ms,wrongful_percent,messages_per_s,"
	       "messages_per_s_a_vm,excess\n");
	for (i = 0; i < G_N_ELEMENTS(fleet_sizes); i++) {
		scale_row_print(fleet_sizes[i], 1);
		scale_row_print(fleet_sizes[i], 5);
	}
}

/* A hot team beside teams within their rates, in a fleet of which few VMs own the share units */

#define HOT_VMS 82
#define HOT_OWNERS 8
#define HOT_RUN_US INT64_C(30000000)
#define HOT_WARM_UP_US INT64_C(5000000)
#define HOT_SEEDS 5
/* Demand as a multiple of the rate: the rate is twice the usual demand. */
#define HOT_LOAD_FACTOR 3.75
#define USUAL_LOAD_FACTOR 0.5

static fleet_options_t hot_options_make(double rate_per_s, double load_factor)
{
	return (fleet_options_t){
		.vms = HOT_VMS,
		.owners = HOT_OWNERS,
		.policy = jh_quota_policy_for(HOT_OWNERS),
		.limit = jh_quota_limit_for(rate_per_s, rate_per_s),
		.offered = rate_per_s * load_factor,
		.wait_us = 16000,
		.max_wait_us = 80000,
		.retries = 2,
		.min_retry_us = 50000,
		.max_retry_us = 300000,
		.run_us = HOT_RUN_US,
		.warm_up_us = HOT_WARM_UP_US,
		.delay_us = 500,
		.has_clock_drift = true,
	};
}

/* Return: sums over runs with different seeds, with the largest excess */
static fleet_result_t hot_options_run(fleet_options_t options)
{
	fleet_result_t total = { .requests = 0 };

	for (options.seed = 1; options.seed <= HOT_SEEDS; options.seed++) {
		fleet_result_t result = fleet_run(&options);

		total.requests += result.requests;
		total.operations += result.operations;
		total.failed_operations += result.failed_operations;
		total.granted += result.granted;
		total.refused += result.refused;
		total.within += result.within;
		total.messages += result.messages;
		total.not_run += result.not_run;
		total.excess = MAX(total.excess, result.excess);
	}
	return total;
}

static void hot_row_print(double rate_per_s, double load_factor)
{
	const fleet_result_t total = hot_options_run(hot_options_make(rate_per_s, load_factor));

	printf("%.0f,%.2f,%" G_GUINT64_FORMAT ",%" G_GUINT64_FORMAT
	       ",%.4f,%.3f,%.3f,%.3f,%.1f,%" G_GINT64_FORMAT "\n",
	       rate_per_s, load_factor, total.operations, total.granted,
	       (double)total.granted / (double)MAX(total.within, 1),
	       100.0 * (double)total.refused / (double)MAX(total.requests, 1),
	       100.0 * (double)(total.requests - total.within) / (double)MAX(total.requests, 1),
	       100.0 * (double)total.failed_operations / (double)MAX(total.operations, 1),
	       (double)total.messages * 1e6 / (double)(HOT_RUN_US - HOT_WARM_UP_US) / HOT_SEEDS,
	       total.excess);
}

static void hot_print(void)
{
	static const double rates_per_s[] = { 4, 12, 26, 60, 200, 400 };
	unsigned i;

	printf("rate,load,operations,granted,granted_of_bucket,refused_percent,"
	       "bucket_refused_percent,failed_percent,messages_per_s,excess\n");
	for (i = 0; i < G_N_ELEMENTS(rates_per_s); i++) {
		hot_row_print(rates_per_s[i], HOT_LOAD_FACTOR);
		hot_row_print(rates_per_s[i], USUAL_LOAD_FACTOR);
	}
}

/* Operations that get quota and are then refused without having run */

#define NOT_RUN_PERCENT 30
#define NOT_RUN_MAX_US 400000

static void not_run_row_print(double rate_per_s, double load_factor, bool lose_tokens)
{
	fleet_options_t options = hot_options_make(rate_per_s, load_factor);
	fleet_result_t total;

	options.give_back_percent = NOT_RUN_PERCENT;
	options.max_give_back_us = NOT_RUN_MAX_US;
	options.lose_tokens_not_run = lose_tokens;
	total = hot_options_run(options);
	printf("%s,%.0f,%.2f,%" G_GUINT64_FORMAT ",%" G_GUINT64_FORMAT ",%" G_GUINT64_FORMAT
	       ",%.3f,%.3f,%.1f,%" G_GINT64_FORMAT "\n",
	       lose_tokens ? "lost" : "given_back", rate_per_s, load_factor, total.operations,
	       total.granted, total.not_run,
	       100.0 * (double)total.refused / (double)MAX(total.requests, 1),
	       100.0 * (double)total.failed_operations / (double)MAX(total.operations, 1),
	       (double)total.messages * 1e6 / (double)(HOT_RUN_US - HOT_WARM_UP_US) / HOT_SEEDS,
	       total.excess);
}

static void not_run_print(void)
{
	static const double rates_per_s[] = { 4, 12, 26, 60, 200 };
	static const double load_factors[] = { HOT_LOAD_FACTOR, 0.9 };
	unsigned i;
	unsigned j;

	printf("tokens,rate,load,operations,granted,not_run,refused_percent,failed_percent,"
	       "messages_per_s,excess\n");
	for (i = 0; i < G_N_ELEMENTS(rates_per_s); i++) {
		for (j = 0; j < G_N_ELEMENTS(load_factors); j++) {
			not_run_row_print(rates_per_s[i], load_factors[j], true);
			not_run_row_print(rates_per_s[i], load_factors[j], false);
		}
	}
}

/* Time until a team is served again after many VMs were lost together */

#define LOSS_AT_US INT64_C(4000000)
#define LOSS_SEEDS 20
/* A team has its rate again from the first interval on after which none grants less of it. */
#define LOSS_MIN_RATE_PERCENT 90
/* It is served again from the first one on after which none refuses more. */
#define LOSS_MAX_REFUSED_PERCENT 5

static const struct {
	const char *name;
	bool wait_from_config;
	bool skip_lease_wait;
} loss_waits[] = {
	{ .name = "configuration", .wait_from_config = true },
	{ .name = "start" },
	/* Not safe: what could be gained if a proof ended the wait at once. */
	{ .name = "none", .skip_lease_wait = true },
};

static fleet_result_t loss_options_run(fleet_options_t options)
{
	fleet_result_t total = { .requests = 0 };
	unsigned i;

	for (options.seed = 1; options.seed <= LOSS_SEEDS; options.seed++) {
		fleet_result_t result = fleet_run(&options);

		for (i = 0; i < FLEET_BINS; i++) {
			total.bin_requests[i] += result.bin_requests[i];
			total.bin_refused[i] += result.bin_refused[i];
		}
		for (i = 0; i < JH_QUOTA_REFUSALS; i++)
			total.refused_by_reason[i] += result.refused_by_reason[i];
		total.refused += result.refused;
		total.excess = MAX(total.excess, result.excess);
	}
	return total;
}

/* Return: seconds until few requests are refused, in steps of two bins */
static double find_served_s(const fleet_result_t *total)
{
	const uint64_t *requests = total->bin_requests;
	const uint64_t *refused = total->bin_refused;
	unsigned bin = FLEET_BINS;

	while (bin > 1 &&
	       (refused[bin - 1] + refused[bin - 2]) * 100 <=
		       (requests[bin - 1] + requests[bin - 2]) * LOSS_MAX_REFUSED_PERCENT)
		bin -= 2;
	return (double)bin * FLEET_BIN_US / 1e6;
}

/* Return: seconds until a team that requests more than its rate gets it, in steps of two bins */
static double find_rate_s(const fleet_result_t *total, double rate_per_s)
{
	const double min_granted =
		rate_per_s * 2 * FLEET_BIN_US / 1e6 * LOSS_SEEDS * LOSS_MIN_RATE_PERCENT / 100;
	const uint64_t *requests = total->bin_requests;
	const uint64_t *refused = total->bin_refused;
	unsigned bin = FLEET_BINS;

	while (bin > 1 && (double)(requests[bin - 1] + requests[bin - 2] - refused[bin - 1] -
				   refused[bin - 2]) >= min_granted)
		bin -= 2;
	return (double)bin * FLEET_BIN_US / 1e6;
}

static void loss_row_print(unsigned vms, bool is_whole_fleet, int64_t away_us, double rate_per_s,
			   unsigned wait_index)
{
	fleet_options_t options = hot_options_make(rate_per_s, USUAL_LOAD_FACTOR);
	fleet_result_t usual;
	fleet_result_t hot;

	options.vms = vms;
	options.owners = MIN(vms, HOT_OWNERS);
	options.warm_up_us = LOSS_AT_US;
	options.loss_at_us = LOSS_AT_US;
	options.lost_vms = is_whole_fleet ? vms : vms / 2;
	options.away_us = away_us;
	options.restart_spread_us = 120000;
	options.config_delay_us = 150000;
	options.share_delay_us = 150000;
	options.view_delay_us = 250000;
	options.wait_from_config = loss_waits[wait_index].wait_from_config;
	options.skip_lease_wait = loss_waits[wait_index].skip_lease_wait;
	options.run_us = LOSS_AT_US + away_us + FLEET_BINS * FLEET_BIN_US;
	usual = loss_options_run(options);
	options.offered = rate_per_s * HOT_LOAD_FACTOR;
	hot = loss_options_run(options);
	printf("%s,%u,%s,%.1f,%.0f,%.1f,%.1f,%" G_GUINT64_FORMAT ",%" G_GUINT64_FORMAT
	       ",%" G_GUINT64_FORMAT ",%" G_GUINT64_FORMAT ",%" G_GINT64_FORMAT "\n",
	       loss_waits[wait_index].name, vms, is_whole_fleet ? "all" : "half",
	       (double)away_us / 1e6, rate_per_s, find_rate_s(&hot, rate_per_s),
	       find_served_s(&usual), usual.refused, usual.refused_by_reason[JH_QUOTA_AT_RATE],
	       usual.refused_by_reason[JH_QUOTA_NO_SHARES],
	       usual.refused_by_reason[JH_QUOTA_NO_SERVER], MAX(usual.excess, hot.excess));
}

static void loss_print(void)
{
	static const unsigned fleet_sizes[] = { 7, 82, 195 };
	static const int64_t away_times_us[] = { 300000, 1000000, 3000000 };
	static const double rates_per_s[] = { 12, 26, 60, 200 };
	unsigned i;
	unsigned j;
	unsigned k;

	printf("wait_from,vms,lost,away_s,rate,rate_after_s,served_after_s,refused,at_rate,"
	       "no_shares,no_server,excess\n");
	for (i = 0; i < G_N_ELEMENTS(fleet_sizes) * G_N_ELEMENTS(away_times_us); i++) {
		unsigned vms = fleet_sizes[i / G_N_ELEMENTS(away_times_us)];
		int64_t away_us = away_times_us[i % G_N_ELEMENTS(away_times_us)];

		for (j = 0; j < G_N_ELEMENTS(rates_per_s); j++) {
			for (k = 0; k < G_N_ELEMENTS(loss_waits); k++)
				loss_row_print(vms, true, away_us, rates_per_s[j], k);
			loss_row_print(vms, false, away_us, rates_per_s[j], 1);
		}
	}
}

int main(int argc, const char **argv)
{
	unsigned mode_index;
	unsigned load_index;

	if (argc > 1 && g_str_equal(argv[1], "scale")) {
		scale_print();
		return 0;
	}
	if (argc > 1 && g_str_equal(argv[1], "hot")) {
		hot_print();
		return 0;
	}
	if (argc > 1 && g_str_equal(argv[1], "not_run")) {
		not_run_print();
		return 0;
	}
	if (argc > 1 && g_str_equal(argv[1], "loss")) {
		loss_print();
		return 0;
	}

	printf("way,load,requests,within_rate,granted,wrongful_percent,worst_team_percent,"
	       "waited_percent,messages_per_s,excess\n");
	for (load_index = 0; load_index < G_N_ELEMENTS(loads); load_index++) {
		for (mode_index = 0; mode_index < G_N_ELEMENTS(modes); mode_index++)
			load_row_print(mode_index, load_index);
	}
	return 0;
}
