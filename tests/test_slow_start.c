#include "fleet.h"
#include "jh_slow_start.h"
#include "runner.h"

/*
 * Guards against a member that gets its full load while it is still slow after its start, because a
 * late or older registration says that it is warm, and against limits that a second can exceed.
 */

#define SECOND_US INT64_C(1000000)

static void update(jh_slow_start_t *state, int64_t started_ms, int64_t cold_ms, int64_t now_us)
{
	const jh_member_t member = { .started_ms = started_ms, .cold_ms = cold_ms };

	jh_slow_start_update(state, &member, now_us);
}

START_TEST(test_member_is_cold_for_the_time_in_its_registration)
{
	jh_slow_start_t state = { 0 };

	update(&state, 100, 0, SECOND_US);
	ck_assert(!jh_slow_start_is_cold(&state, SECOND_US));
	update(&state, 200, 4000, 2 * SECOND_US);
	ck_assert(jh_slow_start_is_cold(&state, 6 * SECOND_US - 1));
	ck_assert(!jh_slow_start_is_cold(&state, 6 * SECOND_US));
	/* The next registration of the instance arrives sooner after it was written. */
	update(&state, 200, 2500, 3 * SECOND_US);
	ck_assert(!jh_slow_start_is_cold(&state, 5 * SECOND_US + SECOND_US / 2));
	/* A later one was delayed. */
	update(&state, 200, 2400, 4 * SECOND_US);
	ck_assert(!jh_slow_start_is_cold(&state, 5 * SECOND_US + SECOND_US / 2));
	update(&state, 200, 0, 5 * SECOND_US);
	ck_assert(!jh_slow_start_is_cold(&state, 5 * SECOND_US));
}
END_TEST

/* A store that was restored says for a moment that the earlier instance is registered. */
START_TEST(test_registration_of_an_earlier_instance_does_not_make_it_warm)
{
	jh_slow_start_t state = { 0 };

	update(&state, 200, 4000, SECOND_US);
	update(&state, 100, 0, 2 * SECOND_US);
	ck_assert(jh_slow_start_is_cold(&state, 4 * SECOND_US));
}
END_TEST

/* Between a restart and its registration, a VM would connect again and send its full load. */
START_TEST(test_member_whose_connections_broke_counts_as_cold)
{
	jh_slow_start_t state = { 0 };

	update(&state, 100, 0, SECOND_US);
	jh_slow_start_suspect(&state, 10 * SECOND_US);
	/* This registration may have been written before the restart. */
	update(&state, 100, 0, 10 * SECOND_US + SECOND_US / 5);
	ck_assert(jh_slow_start_is_cold(&state, 11 * SECOND_US));
	update(&state, 100, 0, 11 * SECOND_US);
	ck_assert(!jh_slow_start_is_cold(&state, 11 * SECOND_US));
	jh_slow_start_suspect(&state, 20 * SECOND_US);
	update(&state, 200, 5000, 21 * SECOND_US);
	ck_assert(jh_slow_start_is_cold(&state, 25 * SECOND_US));
	jh_slow_start_suspect(&state, 30 * SECOND_US);
	ck_assert(!jh_slow_start_is_cold(&state, 31 * SECOND_US + SECOND_US / 2));
}
END_TEST

START_TEST(test_warm_member_gets_its_slots_gradually)
{
	jh_slow_start_t state = { 0 };

	ck_assert_uint_eq(jh_slow_start_slots(&state, 6, SECOND_US), 6);
	update(&state, 100, 2000, SECOND_US);
	ck_assert_uint_eq(jh_slow_start_slots(&state, 6, 2 * SECOND_US), 1);
	ck_assert_uint_eq(jh_slow_start_slots(&state, 6, 3 * SECOND_US), 1);
	ck_assert_uint_eq(jh_slow_start_slots(&state, 6, 5 * SECOND_US), 4);
	ck_assert_uint_eq(jh_slow_start_slots(&state, 6, 6 * SECOND_US), 6);
}
END_TEST

START_TEST(test_limits_are_rates_beside_those_of_the_teams)
{
	jh_fleet_config_t *config = jh_fleet_config_new();
	jh_slow_start_uses_t *uses = jh_slow_start_uses_new();
	const char *key = jh_slow_start_key("db", "dc-1");
	jh_member_t member = { .group = "db", .dc = "dc-1" };
	jh_team_t *team = jh_team_new();
	const jh_team_t *limit;
	jh_config_t *limits;

	team->name = g_strdup("a");
	team->rate = 7;
	team->burst = 3;
	g_ptr_array_add(config->teams->teams, team);
	jh_config_build_index(config->teams);
	jh_fleet_config_add_group(config, "db");
	ck_assert(!jh_slow_start_uses_update(uses, &member, SECOND_US));
	member.cold_ms = 4000;
	ck_assert(jh_slow_start_uses_update(uses, &member, 2 * SECOND_US));
	ck_assert(!jh_slow_start_uses_update(uses, &member, 3 * SECOND_US));
	limits = jh_slow_start_limits(config, uses, 1.5, 5);
	ck_assert_ptr_eq(limits, config->teams);
	jh_config_unref(limits);

	jh_fleet_config_add_group(config, "db")->cold_rate = 20;
	limits = jh_slow_start_limits(config, uses, 1.5, 5);
	limit = jh_config_find_team(limits, key);
	ck_assert_ptr_nonnull(limit);
	/* A second sees at most one second's refill and one burst; 20 * 1.5 + 5 are tolerated. */
	ck_assert_double_gt(limit->rate + limit->burst, 30);
	ck_assert_double_lt(limit->rate + limit->burst, 35);
	limit = jh_config_find_team(limits, "a");
	ck_assert_double_eq(limit->rate, 7);
	ck_assert_double_eq(limit->burst, 3);
	/* The gateway's plan of holders goes by the number of teams. */
	ck_assert_uint_eq(config->teams->teams->len, 1);
	jh_config_unref(limits);

	/* Limits that nobody needs cost messages between VMs. */
	member.cold_ms = 0;
	ck_assert(!jh_slow_start_uses_update(uses, &member, 30 * SECOND_US));
	ck_assert(jh_slow_start_uses_update(uses, &member, 40 * SECOND_US));
	limits = jh_slow_start_limits(config, uses, 1.5, 5);
	ck_assert_ptr_eq(limits, config->teams);
	jh_config_unref(limits);
	jh_slow_start_uses_free(uses);
	jh_fleet_config_unref(config);
}
END_TEST

/* Return: the limit that jh_slow_start_limits() makes of a rate, with excess 1.5 and slack 5 */
static jh_quota_limit_t make_limit(double cold_rate)
{
	jh_fleet_config_t *config = jh_fleet_config_new();
	jh_slow_start_uses_t *uses = jh_slow_start_uses_new();
	const jh_member_t member = { .group = "db", .dc = "dc-1", .cold_ms = 1 };
	const char *key = jh_slow_start_key("db", "dc-1");
	jh_quota_limit_t limit;
	const jh_team_t *team;
	jh_config_t *limits;

	jh_fleet_config_add_group(config, "db")->cold_rate = cold_rate;
	jh_slow_start_uses_update(uses, &member, SECOND_US);
	limits = jh_slow_start_limits(config, uses, 1.5, 5);
	team = jh_config_find_team(limits, key);
	limit = jh_quota_limit_for(team->rate, team->burst);
	jh_config_unref(limits);
	jh_slow_start_uses_free(uses);
	jh_fleet_config_unref(config);
	return limit;
}

/*
 * Eight VMs that lose messages, restart and are frozen: no window has more than its refill and one
 * burst, and so no second more than is tolerated.
 */
START_TEST(test_limit_holds_in_every_second_over_all_vms)
{
	static const double rates[] = { 4, 20, 80 };
	uint64_t granted = 0;
	guint32 seed;

	for (seed = 1; seed <= 60; seed++) {
		const double rate = rates[seed % G_N_ELEMENTS(rates)];
		const fleet_options_t options = {
			.seed = seed,
			.vms = 8,
			.policy = jh_quota_policy_for(8),
			.limit = make_limit(rate),
			.offered = rate * 5,
			.hot_vm_percent = seed % 2 ? 50 : 0,
			.hot_vm_interval_us = 1500000,
			.wait_us = 33000,
			.run_us = 12000000,
			.delay_us = 1000 + 100 * (int64_t)seed,
			.loss_percent = seed % 10,
			.duplicate_percent = 2,
			.crash_interval_us = 4000000,
			.freeze_interval_us = 5000000,
			.server_view_interval_us = 4000000,
			.has_clock_drift = true,
		};
		fleet_result_t result = fleet_run(&options);

		ck_assert_msg(result.excess == 0, "seed %u", seed);
		ck_assert_int_lt(options.limit.rate + options.limit.burst,
				 (int64_t)((rate * 1.5 + 5) * JH_QUOTA_REQUEST));
		granted += result.granted;
	}
	ck_assert_uint_gt(granted, 1000);
}
END_TEST

/* A limit that the fleet cannot use would keep cold members idle. */
START_TEST(test_fleet_uses_most_of_the_limit)
{
	static const double rates[] = { 4, 20, 80 };
	unsigned i;

	for (i = 0; i < G_N_ELEMENTS(rates); i++) {
		const fleet_options_t options = {
			.seed = 1,
			.vms = 8,
			.policy = jh_quota_policy_for(8),
			.limit = make_limit(rates[i]),
			.offered = rates[i] * 5,
			.wait_us = 33000,
			.run_us = 20000000,
			.delay_us = 700,
		};
		fleet_result_t result = fleet_run(&options);
		double used =
			(double)result.granted / 20 * JH_QUOTA_REQUEST / (double)options.limit.rate;

		ck_assert_msg(used > 0.8, "rate %g: %g of the limit", rates[i], used);
	}
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		test_member_is_cold_for_the_time_in_its_registration,
		test_registration_of_an_earlier_instance_does_not_make_it_warm,
		test_member_whose_connections_broke_counts_as_cold,
		test_warm_member_gets_its_slots_gradually,
		test_limits_are_rates_beside_those_of_the_teams,
		test_limit_holds_in_every_second_over_all_vms,
		test_fleet_uses_most_of_the_limit,
		NULL,
	};

	return run_tests("slow_start", tests);
}
