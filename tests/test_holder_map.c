/*
 * Guards against statements that cross between data centres more often than needed, against small
 * VMs that get the work of large ones, against holders that all change with one VM, and against
 * plans that need more connections than a member accepts.
 */

#include "jh_frame.h"
#include "jh_holder_map.h"

#include "runner.h"

#define DCS 3
#define TEAMS 200

static const char *const dc_names[] = { "kisumu", "mombasa", "nairobi", "eldoret" };

static GPtrArray *vms_new(unsigned per_dc, unsigned dc_count)
{
	GPtrArray *vms = g_ptr_array_new_with_free_func(jh_vm_free);
	unsigned i;

	for (i = 0; i < per_dc * dc_count; i++) {
		jh_vm_t vm = { .dc = (char *)dc_names[i % dc_count],
			       .host = (char *)"127.0.0.1",
			       .state = JH_VM_LIVE,
			       .weight = 100 };

		vm.name = g_strdup_printf("vm-%u", i);
		g_ptr_array_add(vms, jh_vm_copy(&vm));
		g_free(vm.name);
	}
	return vms;
}

static jh_holder_map_t *map_new(const GPtrArray *vms, const char *group, unsigned connections)
{
	GPtrArray *dcs = g_ptr_array_new();
	const jh_holder_fleet_t fleet = {
		.vms = vms, .group = group, .dcs = dcs, .connections = connections
	};
	jh_holder_map_t *map;
	unsigned i;

	for (i = 0; i < DCS; i++)
		g_ptr_array_add(dcs, (void *)dc_names[i]);
	map = jh_holder_map_new(&fleet);
	g_ptr_array_free(dcs, TRUE);
	return map;
}

static const jh_vm_t *vm_at(const GPtrArray *vms, unsigned i)
{
	return g_ptr_array_index(vms, i);
}

static unsigned count_holders(const jh_holder_map_t *map, const GPtrArray *vms, const char *dc)
{
	unsigned count = 0;
	unsigned i;

	for (i = 0; i < vms->len; i++)
		count += jh_holder_map_holds_dc(map, vm_at(vms, i)->name, dc);
	return count;
}

START_TEST(test_each_data_centre_of_a_member_has_its_holders)
{
	GPtrArray *vms = vms_new(20, 4);
	jh_holder_map_t *map = map_new(vms, "group-1", 56);
	unsigned i;

	ck_assert_ptr_nonnull(map);
	for (i = 0; i < DCS; i++)
		ck_assert_uint_eq(count_holders(map, vms, dc_names[i]), JH_HOLDERS_PER_DC);
	for (i = 0; i < vms->len; i++) {
		const jh_vm_t *vm = vm_at(vms, i);

		if (jh_holder_map_holds(map, vm->name))
			ck_assert(jh_holder_map_holds_dc(map, vm->name, vm->dc));
	}
	jh_holder_map_free(map);
	g_ptr_array_free(vms, TRUE);
}
END_TEST

START_TEST(test_small_fleets_keep_their_rule)
{
	GPtrArray *vms = vms_new(JH_HOLDER_DC_VMS_MIN, DCS);
	jh_holder_map_t *map = map_new(vms, "group-1", 56);

	ck_assert_ptr_nonnull(map);
	jh_holder_map_free(map);
	((jh_vm_t *)vm_at(vms, 0))->state = JH_VM_SUSPECT;
	ck_assert_ptr_null(map_new(vms, "group-1", 56));
	ck_assert_ptr_null(map_new(NULL, "group-1", 56));
	g_ptr_array_free(vms, TRUE);
}
END_TEST

/* Whatever the weights, all holders together leave the leader's connections. */
START_TEST(test_shares_of_all_holders_fit_into_the_limit)
{
	GRand *rand = g_rand_new_with_seed(1);
	unsigned planned = 0;
	unsigned connections;

	for (connections = 0; connections < 300; connections++) {
		GPtrArray *vms = vms_new(6, DCS);
		jh_holder_map_t *map;
		unsigned dc;
		unsigned i;

		for (i = 0; i < vms->len; i++)
			((jh_vm_t *)vm_at(vms, i))->weight =
				(unsigned)g_rand_int_range(rand, 0, 1001);
		map = map_new(vms, "group-1", connections);
		for (dc = 0; map && dc < DCS; dc++) {
			unsigned sum = JH_HOLDER_RESERVED_CONNECTIONS;

			for (i = 0; i < vms->len; i++) {
				unsigned share =
					jh_holder_map_share(map, vm_at(vms, i)->name, dc_names[dc]);

				ck_assert_uint_ge(share, 1);
				if (jh_holder_map_holds(map, vm_at(vms, i)->name))
					sum += share;
			}
			ck_assert_uint_le(sum, connections);
		}
		planned += map != NULL;
		jh_holder_map_free(map);
		g_ptr_array_free(vms, TRUE);
	}
	ck_assert_uint_gt(planned, 270);
	g_rand_free(rand);
}
END_TEST

/*
 * Some VMs still see a lost holder and others do not, so that three VMs hold connections beside the
 * member. A VM keeps idle connections for half of its share only: these fit, and a connection is
 * refused only while more than half of all shares is in use.
 */
START_TEST(test_idle_connections_fit_while_views_differ)
{
	GPtrArray *vms = vms_new(20, 4);
	jh_holder_map_t *before = map_new(vms, "group-1", 56);
	jh_holder_map_t *after;
	unsigned idle = JH_HOLDER_RESERVED_CONNECTIONS;
	unsigned holders = 0;
	unsigned i;

	((jh_vm_t *)jh_vm_find(vms, jh_holder_map_vm_at(before, "kisumu", 0)))->state =
		JH_VM_SUSPECT;
	after = map_new(vms, "group-1", 56);
	for (i = 0; i < vms->len; i++) {
		const char *name = vm_at(vms, i)->name;
		unsigned share = MAX(jh_holder_map_share(before, name, "kisumu"),
				     jh_holder_map_share(after, name, "kisumu"));

		if (!jh_holder_map_holds(before, name) && !jh_holder_map_holds(after, name))
			continue;
		holders++;
		idle += (share + 1) / 2;
	}
	ck_assert_uint_eq(holders, DCS * JH_HOLDERS_PER_DC + 1);
	ck_assert_uint_le(idle, 56);
	jh_holder_map_free(before);
	jh_holder_map_free(after);
	g_ptr_array_free(vms, TRUE);
}
END_TEST

/* A member's own holders run nearly all of its statements, also one that stands in alone. */
START_TEST(test_most_connections_belong_to_the_holders_near_the_member)
{
	GPtrArray *vms = vms_new(20, 4);
	jh_holder_map_t *map = map_new(vms, "group-1", 56);
	unsigned near = 0;
	unsigned i;

	for (i = 0; i < vms->len; i++) {
		const char *name = vm_at(vms, i)->name;
		unsigned share = jh_holder_map_share(map, name, "kisumu");

		if (!jh_holder_map_holds_dc(map, name, "kisumu"))
			ck_assert_uint_eq(share, 2);
		else
			near += share;
	}
	ck_assert_uint_ge(near, 40);
	jh_holder_map_free(map);
	g_ptr_array_free(vms, TRUE);
}
END_TEST

START_TEST(test_large_vms_hold_more_groups)
{
	GPtrArray *vms = vms_new(20, 4);
	unsigned large = 0;
	unsigned i;
	unsigned group;

	/* The last VM of each data centre has twenty times the capacity of the others. */
	for (i = 0; i < vms->len; i++)
		((jh_vm_t *)vm_at(vms, i))->weight = i >= 76 ? 500 : 25;
	for (group = 0; group < 100; group++) {
		char *name = g_strdup_printf("group-%u", group);
		jh_holder_map_t *map = map_new(vms, name, 56);

		for (i = 76; i < vms->len; i++)
			large += jh_holder_map_holds(map, vm_at(vms, i)->name);
		jh_holder_map_free(map);
		g_free(name);
	}
	/* Each of the three is the first choice of half of the groups, and often the second. */
	ck_assert_uint_gt(large, 180);
	g_ptr_array_free(vms, TRUE);
}
END_TEST

/* ---- choice ---- */

/**
 * struct world - what an entry knows
 * @near: data centre of the lowest cost, @unusable: one that cannot be used
 * @lost: VMs that do not respond
 */
typedef struct world {
	const char *near;
	const char *unusable;
	const char *lost[8];
	unsigned lost_count;
} world_t;

static int64_t world_cost_us(const char *dc, void *data)
{
	const world_t *world = data;

	if (g_strcmp0(dc, world->unusable) == 0)
		return -1;
	return g_strcmp0(dc, world->near) == 0 ? 0 : 4000;
}

static bool world_can_use(const char *vm, void *data)
{
	const world_t *world = data;
	unsigned i;

	for (i = 0; i < world->lost_count; i++) {
		if (g_strcmp0(world->lost[i], vm) == 0)
			return false;
	}
	return true;
}

static const char *choose(const jh_holder_map_t *map, world_t *world, const char *own_vm,
			  unsigned team, bool stays_near_member)
{
	char *name = g_strdup_printf("team-%u", team);
	const jh_holder_query_t query = { .team = name,
					  .own_vm = own_vm,
					  .stays_near_member = stays_near_member,
					  .dc_cost_us = world_cost_us,
					  .can_use = world_can_use,
					  .data = world };
	const char *vm = jh_holder_map_choose(map, &query);

	g_free(name);
	return vm;
}

START_TEST(test_nearest_usable_data_centre_is_chosen)
{
	GPtrArray *vms = vms_new(20, 4);
	jh_holder_map_t *map = map_new(vms, "group-1", 56);
	world_t world = { .near = "mombasa" };
	unsigned used[DCS] = { 0 };
	unsigned team;
	unsigned dc;

	for (team = 0; team < TEAMS; team++)
		ck_assert(jh_holder_map_holds_dc(map, choose(map, &world, "entry", team, false),
						 "mombasa"));
	world.unusable = "mombasa";
	for (team = 0; team < TEAMS; team++) {
		const char *vm = choose(map, &world, "entry", team, false);

		for (dc = 0; dc < DCS; dc++)
			used[dc] += jh_holder_map_holds_dc(map, vm, dc_names[dc]);
	}
	/* Equal ones are spread by team. */
	ck_assert_uint_eq(used[1], 0);
	ck_assert_uint_gt(used[0], TEAMS / 3);
	ck_assert_uint_gt(used[2], TEAMS / 3);
	jh_holder_map_free(map);
	g_ptr_array_free(vms, TRUE);
}
END_TEST

START_TEST(test_entry_that_is_a_holder_runs_its_own_statements)
{
	GPtrArray *vms = vms_new(20, 4);
	jh_holder_map_t *map = map_new(vms, "group-1", 56);
	world_t world = { .near = "mombasa" };
	unsigned team;
	unsigned i;

	for (i = 0; i < vms->len; i++) {
		const char *own = vm_at(vms, i)->name;

		if (!jh_holder_map_holds_dc(map, own, "mombasa"))
			continue;
		for (team = 0; team < TEAMS; team++)
			ck_assert_str_eq(choose(map, &world, own, team, false), own);
	}
	jh_holder_map_free(map);
	g_ptr_array_free(vms, TRUE);
}
END_TEST

/* Losing the chosen VM each time, a read leaves the data centre after both of its holders. */
START_TEST(test_fallbacks_of_reads_and_of_statements_for_the_primary)
{
	GPtrArray *vms = vms_new(20, 4);
	jh_holder_map_t *map = map_new(vms, "group-1", 56);
	unsigned team;

	for (team = 0; team < TEAMS; team++) {
		unsigned is_write;

		for (is_write = 0; is_write < 2; is_write++) {
			world_t world = { .near = "mombasa" };
			unsigned near_count = is_write ? 3 : 2;
			unsigned i;

			for (i = 0; i < near_count + 1; i++) {
				const char *vm = choose(map, &world, "entry", team, is_write);

				ck_assert_ptr_nonnull(vm);
				ck_assert_int_eq(jh_holder_map_holds_dc(map, vm, "mombasa"), i < 2);
				ck_assert_int_eq(g_str_equal(jh_vm_find(vms, vm)->dc, "mombasa"),
						 i < near_count);
				world.lost[world.lost_count++] = vm;
			}
		}
	}
	jh_holder_map_free(map);
	g_ptr_array_free(vms, TRUE);
}
END_TEST

START_TEST(test_lost_vm_moves_only_its_own_teams)
{
	GPtrArray *vms = vms_new(20, 4);
	jh_holder_map_t *before = map_new(vms, "group-1", 56);
	world_t world = { .near = "mombasa" };
	const char *lost = choose(before, &world, "entry", 1, false);
	const char *joined = NULL;
	jh_holder_map_t *after;
	unsigned team;
	unsigned i;

	((jh_vm_t *)jh_vm_find(vms, lost))->state = JH_VM_DEAD;
	after = map_new(vms, "group-1", 56);
	for (i = 0; i < vms->len; i++) {
		const char *name = vm_at(vms, i)->name;

		if (jh_holder_map_holds(after, name) && !jh_holder_map_holds(before, name)) {
			ck_assert_ptr_null(joined);
			joined = name;
		}
	}
	ck_assert_ptr_nonnull(joined);
	for (team = 0; team < TEAMS; team++) {
		const char *old = choose(before, &world, "entry", team, false);
		const char *new = choose(after, &world, "entry", team, false);

		if (!g_str_equal(old, new))
			ck_assert(g_str_equal(old, lost) || g_str_equal(new, joined));
	}
	jh_holder_map_free(before);
	jh_holder_map_free(after);
	g_ptr_array_free(vms, TRUE);
}
END_TEST

START_TEST(test_senders_follow_the_weights)
{
	GPtrArray *vms = vms_new(20, 4);
	jh_holder_map_t *map;
	unsigned i;

	for (i = 0; i < vms->len; i++)
		((jh_vm_t *)vm_at(vms, i))->weight = i % 2 ? 500 : 25;
	map = map_new(vms, "group-1", 56);
	for (i = 0; i < vms->len; i++) {
		const jh_vm_t *vm = vm_at(vms, i);
		unsigned senders = jh_holder_map_senders(map, vm->name, vm->dc);

		ck_assert_uint_ge(senders, 1);
		ck_assert_uint_le(senders, 4);
		if (jh_holder_map_holds(map, vm->name) && vm->weight == 500)
			ck_assert_uint_eq(senders, 2);
	}
	jh_holder_map_free(map);
	g_ptr_array_free(vms, TRUE);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		test_each_data_centre_of_a_member_has_its_holders,
		test_small_fleets_keep_their_rule,
		test_shares_of_all_holders_fit_into_the_limit,
		test_idle_connections_fit_while_views_differ,
		test_most_connections_belong_to_the_holders_near_the_member,
		test_large_vms_hold_more_groups,
		test_nearest_usable_data_centre_is_chosen,
		test_entry_that_is_a_holder_runs_its_own_statements,
		test_fallbacks_of_reads_and_of_statements_for_the_primary,
		test_lost_vm_moves_only_its_own_teams,
		test_senders_follow_the_weights,
		NULL,
	};

	return run_tests("holder_map", tests);
}
