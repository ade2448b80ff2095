/*
 * Guards against the loads that exhaust a member's connections: more VMs than connections, more
 * teams than connections, and VMs that join, leave or stop responding. In each of them the members'
 * limit must hold, few teams may move, and every team must keep a VM that runs its statements.
 */

#include "jh_frame.h"
#include "jh_holders.h"

#include "runner.h"

#define GROUPS 20

static GPtrArray *vms_new(unsigned count)
{
	GPtrArray *vms = g_ptr_array_new_with_free_func(jh_vm_free);
	unsigned i;

	for (i = 0; i < count; i++) {
		jh_vm_t vm = { .dc = (char *)"nairobi",
			       .host = (char *)"127.0.0.1",
			       .state = JH_VM_LIVE };

		vm.name = g_strdup_printf("vm-%u", i);
		g_ptr_array_add(vms, jh_vm_copy(&vm));
		g_free(vm.name);
	}
	return vms;
}

static bool can_use_all(const char *vm, void *data)
{
	(void)vm;
	(void)data;
	return true;
}

static bool can_use_all_but(const char *vm, void *data)
{
	return vm != data;
}

static const char *choose_for_team(const GPtrArray *ranked, unsigned holders, unsigned team)
{
	char *name = g_strdup_printf("team-%u", team);
	const char *vm = jh_holder_choose(ranked, holders, name, can_use_all, NULL);

	g_free(name);
	return vm;
}

START_TEST(test_more_vms_than_connections_forward_to_few_holders)
{
	static const jh_holder_demand_t demands[] = {
		{ .connections = 16, .vms = 9, .teams = 8 },
		{ .connections = 33, .vms = 7, .teams = 8 },
		{ .connections = 30, .vms = 7, .teams = 8 },
		{ .connections = 51, .vms = 64, .teams = 74 },
		{ .connections = 180, .vms = 195, .teams = 140 },
		{ .connections = 1, .vms = 30, .teams = 1 },
		{ .connections = 3, .vms = 2, .teams = 50 },
	};
	unsigned i;

	for (i = 0; i < G_N_ELEMENTS(demands); i++) {
		jh_holder_plan_t plan = jh_holder_make_plan(&demands[i]);

		ck_assert(!plan.is_direct);
		ck_assert_uint_ge(plan.holders, 1);
		ck_assert_uint_le(plan.holders, demands[i].vms);
		ck_assert_uint_ge(plan.share, 1);
		ck_assert_uint_le(plan.holders * plan.share, demands[i].connections);
	}
}
END_TEST

START_TEST(test_few_vms_with_enough_connections_hold_their_own)
{
	static const jh_holder_demand_t demands[] = {
		{ .connections = 33, .vms = 7, .teams = 4 },
		{ .connections = 58, .vms = 7, .teams = 8 },
		{ .connections = 16, .vms = 1, .teams = 100 },
		{ .connections = 1000, .vms = 100, .teams = 1 },
	};
	unsigned i;

	for (i = 0; i < G_N_ELEMENTS(demands); i++) {
		jh_holder_plan_t plan = jh_holder_make_plan(&demands[i]);

		ck_assert(plan.is_direct);
		ck_assert_uint_eq(plan.holders, demands[i].vms);
		ck_assert_uint_le(plan.holders * plan.share, demands[i].connections);
	}
}
END_TEST

/* The leader needs a connection to every member, whoever holds the others. */
START_TEST(test_connections_of_the_leader_are_left)
{
	unsigned connections;

	for (connections = 5; connections < 300; connections++) {
		const jh_holder_demand_t demand = { .connections = connections,
						    .vms = 60,
						    .teams = 70 };
		jh_holder_plan_t plan = jh_holder_make_plan(&demand);

		ck_assert_uint_le(plan.holders * plan.share + JH_HOLDER_RESERVED_CONNECTIONS,
				  connections);
	}
}
END_TEST

START_TEST(test_more_teams_than_connections_are_spread_over_the_holders)
{
	const jh_holder_demand_t demand = { .connections = 51, .vms = 64, .teams = 74 };
	jh_holder_plan_t plan = jh_holder_make_plan(&demand);
	GPtrArray *vms = vms_new(64);
	GPtrArray *ranked = jh_holder_rank_vms(vms, "group-1", 8);
	unsigned teams_of[8] = { 0 };
	unsigned team;
	unsigned i;

	ck_assert_uint_eq(ranked->len, 8);
	for (team = 0; team < demand.teams; team++) {
		const char *vm = choose_for_team(ranked, plan.holders, team);

		for (i = 0; i < ranked->len && g_ptr_array_index(ranked, i) != (void *)vm; i++)
			;
		ck_assert_uint_lt(i, plan.holders);
		teams_of[i]++;
	}
	/* An even spread gives each holder the same number of teams. */
	for (i = 0; i < plan.holders; i++)
		ck_assert_uint_gt(teams_of[i], demand.teams / plan.holders / 2);
	g_ptr_array_free(ranked, TRUE);
	g_ptr_array_free(vms, TRUE);
}
END_TEST

START_TEST(test_groups_are_held_by_different_vms)
{
	GPtrArray *vms = vms_new(195);
	GHashTable *holders = g_hash_table_new(g_str_hash, g_str_equal);
	unsigned i;
	unsigned j;

	for (i = 0; i < GROUPS; i++) {
		char *name = g_strdup_printf("group-%u", i);
		GPtrArray *ranked = jh_holder_rank_vms(vms, name, 4);

		for (j = 0; j < ranked->len; j++)
			g_hash_table_add(holders, g_ptr_array_index(ranked, j));
		g_ptr_array_free(ranked, TRUE);
		g_free(name);
	}
	/* 80 draws of 195 VMs name 66 different ones on average. */
	ck_assert_uint_gt(g_hash_table_size(holders), 50);
	g_hash_table_destroy(holders);
	g_ptr_array_free(vms, TRUE);
}
END_TEST

START_TEST(test_lost_holder_moves_only_its_teams_and_returns_to_them)
{
	GPtrArray *vms = vms_new(30);
	GPtrArray *before = jh_holder_rank_vms(vms, "group-1", 8);
	const char *lost = g_ptr_array_index(before, 1);
	GPtrArray *after;
	unsigned moved = 0;
	unsigned team;

	((jh_vm_t *)jh_vm_find(vms, lost))->state = JH_VM_DEAD;
	after = jh_holder_rank_vms(vms, "group-1", 8);
	for (team = 0; team < 100; team++) {
		const char *old = choose_for_team(before, 4, team);
		const char *new = choose_for_team(after, 4, team);

		ck_assert_str_ne(new, lost);
		/* The VM that joins the holders also takes over some teams of the others. */
		if (old != new &&old != lost)
			ck_assert_str_eq(new, g_ptr_array_index(after, 3));
		moved += old != new;
	}
	ck_assert_uint_gt(moved, 0);
	ck_assert_uint_lt(moved, 60);
	((jh_vm_t *)jh_vm_find(vms, lost))->state = JH_VM_LIVE;
	g_ptr_array_free(after, TRUE);
	after = jh_holder_rank_vms(vms, "group-1", 8);
	for (team = 0; team < 100; team++)
		ck_assert_str_eq(choose_for_team(before, 4, team), choose_for_team(after, 4, team));
	g_ptr_array_free(after, TRUE);
	g_ptr_array_free(before, TRUE);
	g_ptr_array_free(vms, TRUE);
}
END_TEST

START_TEST(test_frozen_holder_is_passed_over_by_the_same_vm_each_time)
{
	GPtrArray *vms = vms_new(30);
	GPtrArray *ranked = jh_holder_rank_vms(vms, "group-1", 8);
	const char *frozen = jh_holder_choose(ranked, 4, "team-1", can_use_all, NULL);
	const char *second = jh_holder_choose(ranked, 4, "team-1", can_use_all_but, (void *)frozen);

	ck_assert_ptr_nonnull(second);
	ck_assert_str_ne(frozen, second);
	ck_assert_str_eq(jh_holder_choose(ranked, 4, "team-1", can_use_all_but, (void *)frozen),
			 second);
	ck_assert_str_eq(jh_holder_choose(ranked, 4, "team-1", can_use_all, NULL), frozen);
	g_ptr_array_free(ranked, TRUE);
	g_ptr_array_free(vms, TRUE);
}
END_TEST

static bool can_use_none(const char *vm, void *data)
{
	unsigned *asked = data;

	(void)vm;
	(*asked)++;
	return false;
}

START_TEST(test_every_candidate_is_asked_once_before_giving_up)
{
	GPtrArray *vms = vms_new(30);
	GPtrArray *ranked = jh_holder_rank_vms(vms, "group-1", 8);
	unsigned asked = 0;

	ck_assert_ptr_null(jh_holder_choose(ranked, 4, "team-1", can_use_none, &asked));
	ck_assert_uint_eq(asked, 8);
	g_ptr_array_free(ranked, TRUE);
	ranked = jh_holder_rank_vms(NULL, "group-1", 8);
	ck_assert_ptr_null(jh_holder_choose(ranked, 4, "team-1", can_use_all, NULL));
	g_ptr_array_free(ranked, TRUE);
	g_ptr_array_free(vms, TRUE);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		test_more_vms_than_connections_forward_to_few_holders,
		test_few_vms_with_enough_connections_hold_their_own,
		test_connections_of_the_leader_are_left,
		test_more_teams_than_connections_are_spread_over_the_holders,
		test_groups_are_held_by_different_vms,
		test_lost_holder_moves_only_its_teams_and_returns_to_them,
		test_frozen_holder_is_passed_over_by_the_same_vm_each_time,
		test_every_candidate_is_asked_once_before_giving_up,
		NULL,
	};

	return run_tests("holders", tests);
}
