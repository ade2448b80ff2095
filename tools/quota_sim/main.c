/*
 * Weighs the ways of keeping a team's rate, in virtual time, and prints a CSV: a row for each way
 * and load, over eight teams of different sizes. See docs/internals/quota.md.
 */

#include "fleet.h"

#include <stdio.h>

#define SEEDS 5
#define RUN_US INT64_C(60000000)
#define VMS 7

static const double team_rates[] = { 400, 200, 100, 50, 20, 20, 10, 5 };

static const struct {
	const char *name;
	jh_quota_mode_t mode;
} ways[] = {
	{ "fixed", JH_QUOTA_FIXED },
	{ "central", JH_QUOTA_CENTRAL },
	{ "mixed", JH_QUOTA_MIXED },
};

/* Loads: what differs from the base. */
static const struct {
	const char *name;
	double offered;
	unsigned skew_percent;
	int64_t server_crash_us;
	int64_t crash_us;
	int64_t freeze_us;
	unsigned loss_percent;
	unsigned dead_vms;
} loads[] = {
	{ .name = "even", .offered = 0.8 },
	{ .name = "skewed", .offered = 0.8, .skew_percent = 90 },
	{ .name = "flooded", .offered = 5, .skew_percent = 50 },
	{ .name = "server_lost", .offered = 0.8, .skew_percent = 50, .server_crash_us = 10000000 },
	{ .name = "lossy", .offered = 0.8, .skew_percent = 50, .loss_percent = 5 },
	{ .name = "frozen", .offered = 0.8, .skew_percent = 50, .freeze_us = 20000000 },
	{ .name = "restarts", .offered = 0.8, .skew_percent = 50, .crash_us = 30000000 },
	{ .name = "vm_gone", .offered = 0.8, .skew_percent = 50, .dead_vms = 1 },
};

static fleet_options_t options_for(unsigned way, unsigned load, unsigned team, guint32 seed)
{
	fleet_options_t options = {
		.seed = seed,
		.vms = VMS,
		.policy = jh_quota_policy_for(VMS),
		.limit = jh_quota_limit_for(team_rates[team], team_rates[team]),
		.offered = team_rates[team] * loads[load].offered,
		.skew_percent = loads[load].skew_percent,
		.skew_move_us = 5000000,
		.wait_us = 500000,
		.run_us = RUN_US,
		.delay_us = 1000,
		.loss_percent = loads[load].loss_percent,
		.server_crash_us = loads[load].server_crash_us,
		.crash_us = loads[load].crash_us,
		.freeze_us = loads[load].freeze_us,
		.dead_vms = loads[load].dead_vms,
		.drift = true,
	};

	options.policy.mode = ways[way].mode;
	return options;
}

static void row_print(unsigned way, unsigned load)
{
	fleet_result_t sum = { .requests = 0 };
	double worst = 1;
	unsigned team;
	guint32 seed;

	for (team = 0; team < G_N_ELEMENTS(team_rates); team++) {
		fleet_result_t of_team = { .requests = 0 };

		for (seed = 1; seed <= SEEDS; seed++) {
			fleet_options_t options = options_for(way, load, team, seed);
			fleet_result_t result = fleet_run(&options);

			of_team.requests += result.requests;
			of_team.granted += result.granted;
			of_team.within += result.within;
			of_team.wrongful += result.wrongful;
			of_team.waited += result.waited;
			of_team.messages += result.messages;
			sum.excess = MAX(sum.excess, result.excess);
		}
		worst = MIN(worst, (double)of_team.granted / (double)MAX(of_team.within, 1));
		sum.requests += of_team.requests;
		sum.granted += of_team.granted;
		sum.within += of_team.within;
		sum.wrongful += of_team.wrongful;
		sum.waited += of_team.waited;
		sum.messages += of_team.messages;
	}
	printf("%s,%s,%" G_GUINT64_FORMAT ",%" G_GUINT64_FORMAT ",%" G_GUINT64_FORMAT
	       ",%.3f,%.3f,%.2f,%.1f,%" G_GINT64_FORMAT "\n",
	       ways[way].name, loads[load].name, sum.requests, sum.within, sum.granted,
	       100.0 * (double)sum.wrongful / (double)MAX(sum.within, 1), 100.0 * worst,
	       100.0 * (double)sum.waited / (double)MAX(sum.granted, 1),
	       (double)sum.messages * 1e6 / (double)RUN_US / SEEDS, sum.excess);
}

/* ---- growing fleets ---- */

#define SCALE_RUN_US INT64_C(20000000)
#define RATE_A_VM 20.0

static void scale_row_print(unsigned vms, unsigned burst_s)
{
	double rate = RATE_A_VM * vms;
	const fleet_options_t options = {
		.seed = 1,
		.vms = vms,
		.policy = jh_quota_policy_for(vms),
		.limit = jh_quota_limit_for(rate, rate * burst_s),
		.offered = rate * 0.8,
		.skew_percent = 20,
		.skew_move_us = 5000000,
		.wait_us = 500000,
		.run_us = SCALE_RUN_US,
		.delay_us = 1000,
		.drift = true,
	};
	fleet_result_t result = fleet_run(&options);

	printf("%u,%u,%.0f,%.1f,%.3f,%.1f,%.2f,%" G_GINT64_FORMAT "\n", vms, burst_s,
	       (double)options.policy.interval_us / 1000, (double)options.policy.lease_us / 1000,
	       100.0 * (double)result.wrongful / (double)MAX(result.within, 1),
	       (double)result.messages * 1e6 / (double)SCALE_RUN_US,
	       (double)result.messages * 1e6 / (double)SCALE_RUN_US / vms, result.excess);
}

static void scale_print(void)
{
	static const unsigned fleets[] = { 7, 21, 70, 210, 680 };
	unsigned i;

	printf("vms,burst_s,interval_ms,lease_ms,wrongful_percent,messages_per_s,"
	       "messages_per_s_a_vm,excess\n");
	for (i = 0; i < G_N_ELEMENTS(fleets); i++) {
		scale_row_print(fleets[i], 1);
		scale_row_print(fleets[i], 5);
	}
}

int main(int argc, const char **argv)
{
	unsigned way;
	unsigned load;

	if (argc > 1 && g_str_equal(argv[1], "scale")) {
		scale_print();
		return 0;
	}

	printf("way,load,requests,within_rate,granted,wrongful_percent,worst_team_percent,"
	       "waited_percent,messages_per_s,excess\n");
	for (load = 0; load < G_N_ELEMENTS(loads); load++) {
		for (way = 0; way < G_N_ELEMENTS(ways); way++)
			row_print(way, load);
	}
	return 0;
}
