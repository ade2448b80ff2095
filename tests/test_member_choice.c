/*
 * Guards against reads that all go to one member of a busy group, or to a distant or lagging
 * replica, and against wrong use of a member's connections: a burst that cannot use all that are
 * allowed, none left for VMs that restart together, and slots that are spent on opening
 * connections.
 */

#include "jh_member_choice.h"
#include "runner.h"

#include <glib.h>
#include <math.h>

static jh_member_option_t replica_option(void)
{
	return (jh_member_option_t){ .is_usable = true,
				     .distance = JH_DISTANCE_SAME_DC,
				     .has_connection = true,
				     .can_open = true,
				     .slots = 4 };
}

START_TEST(test_idle_group_reads_go_to_near_replica)
{
	jh_member_option_t options[] = { replica_option(), replica_option(), replica_option() };

	options[0].is_primary = true;
	options[1].distance = JH_DISTANCE_SAME_REGION;
	ck_assert_int_eq(jh_member_choose(options, 3, 7), 2);
	options[2].is_usable = false;
	ck_assert_int_eq(jh_member_choose(options, 3, 7), 1);
}
END_TEST

START_TEST(test_burst_spreads_over_all_members)
{
	jh_member_option_t options[] = { replica_option(), replica_option(), replica_option() };
	unsigned i;

	options[0].is_primary = true;
	options[1].distance = JH_DISTANCE_SAME_REGION;
	for (i = 0; i < 12; i++) {
		int chosen = jh_member_choose(options, 3, 7);

		ck_assert_int_ge(chosen, 0);
		options[chosen].in_use++;
	}
	for (i = 0; i < 3; i++)
		ck_assert_uint_ge(options[i].in_use, 3);
}
END_TEST

START_TEST(test_lagging_replica_loses_to_primary)
{
	jh_member_option_t options[] = { replica_option(), replica_option() };

	options[0].is_primary = true;
	options[1].is_behind = true;
	ck_assert_int_eq(jh_member_choose(options, 2, 7), 0);
	options[0].is_usable = false;
	ck_assert_int_eq(jh_member_choose(options, 2, 7), 1);
}
END_TEST

START_TEST(test_no_free_connection_returns_none)
{
	jh_member_option_t options[] = { replica_option() };

	options[0].has_connection = false;
	ck_assert_int_eq(jh_member_choose(options, 1, 7), 0);
	options[0].can_open = false;
	ck_assert_int_eq(jh_member_choose(options, 1, 7), -1);
	ck_assert_int_eq(jh_member_choose(options, 0, 7), -1);
}
END_TEST

/*
 * All VMs fail together, and the member still counts their old connections for three seconds.
 * Before the failure, each VM ran one statement at a time, of different teams. Half of the
 * connections must be left for the restarted VMs.
 */
START_TEST(test_loss_of_all_vms_leaves_connections)
{
	unsigned allowed;

	for (allowed = 1; allowed <= 8; allowed++) {
		unsigned open = 0;
		unsigned statement;

		for (statement = 0; statement < 100; statement++) {
			const jh_connection_use_t use = { .open = open,
							  .allowed = allowed,
							  .has_idle = open > 0,
							  .opened_per_s = 0.5,
							  .vms = 7,
							  .slots = 2 };

			open += jh_connection_plan(&use) == JH_CONNECTION_OPEN;
		}
		ck_assert_uint_ge(allowed - open, allowed / 2);
	}
}
END_TEST

/* A burst may use all the connections that are allowed, and no more. */
START_TEST(test_burst_uses_every_connection)
{
	jh_connection_use_t use = { .allowed = 4, .vms = 7, .slots = 2 };

	while (jh_connection_plan(&use) == JH_CONNECTION_OPEN)
		use.open++;
	ck_assert_uint_eq(use.open, 4);
	use.has_idle = true;
	ck_assert_int_eq(jh_connection_plan(&use), JH_CONNECTION_REPLACE);
	use.open = use.allowed = 1;
	ck_assert_int_eq(jh_connection_plan(&use), JH_CONNECTION_REPLACE);
}
END_TEST

/*
 * A VM that opens connections often opens a further one instead of replacing an idle one. When it
 * did not, the members of one small group for all teams spent their slots on opening connections.
 */
START_TEST(test_frequent_opening_keeps_idle_connections)
{
	jh_connection_use_t use = {
		.allowed = 4, .has_idle = true, .open = 2, .vms = 7, .slots = 2
	};

	use.opened_per_s = 9;
	ck_assert_int_eq(jh_connection_plan(&use), JH_CONNECTION_OPEN);
	use.opened_per_s = 1;
	ck_assert_int_eq(jh_connection_plan(&use), JH_CONNECTION_REPLACE);
}
END_TEST

/*
 * Under overload by many teams, opening connections must use at most 60 % of the slots' time. When
 * each statement replaced a connection of another team, opening connections used up all slots.
 * Seven VMs send 17 statements per second each to a member with two slots.
 */
START_TEST(test_overload_limits_opening)
{
	jh_connection_use_t use = {
		.allowed = 4, .has_idle = true, .open = 4, .vms = 7, .slots = 2
	};
	double opened = 0;
	unsigned opens = 0;
	unsigned i;

	/* Exponential decay with a half-life of 1 s, as in the gateway. */
	for (i = 0; i < 17 * 20; i++) {
		opened *= exp2(-1.0 / 17);
		use.opened_per_s = opened * G_LN2;
		if (jh_connection_plan(&use) == JH_CONNECTION_NONE)
			continue;
		opened += 1;
		opens++;
	}
	/* Opening takes 12 ms each; two slots have 20 s each. */
	ck_assert_double_le(opens * 7 * 0.012, 0.6 * 20 * 2);
	use.open = 0;
	ck_assert_int_eq(jh_connection_plan(&use), JH_CONNECTION_OPEN);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		test_idle_group_reads_go_to_near_replica,
		test_burst_spreads_over_all_members,
		test_lagging_replica_loses_to_primary,
		test_no_free_connection_returns_none,
		test_loss_of_all_vms_leaves_connections,
		test_burst_uses_every_connection,
		test_frequent_opening_keeps_idle_connections,
		test_overload_limits_opening,
		NULL,
	};

	return run_tests("member_choice", tests);
}
