/*
 * Guards against a share unit that two VMs use at once, which would let teams exceed their rate,
 * and against units that no VM uses after faults. Several VMs change one row by compare-and-set,
 * in virtual time. Reads and writes are delayed, replies are lost, and VMs restart, end and are
 * replaced.
 */

#include "jh_quota_share.h"

#include <check.h>
#include <stdio.h>
#include <stdlib.h>

#define SEEDS 200
#define VMS 6
#define STEPS 4000
#define LEASE_WAIT_US 20
#define MAX_DELAY_US 80
#define UNLISTED_AFTER_US 100
#define VIEW_INTERVAL_US 10

typedef struct vm {
	char name[8];
	bool is_up;
	bool is_ended;
	uint64_t boot;
	jh_quota_share_t *share;
	int64_t started_us;
	int64_t ended_at_us;
	/* Units used at the last count, and leases of units that were released since. */
	unsigned used_units;
	GArray *leases;
} vm_t;

typedef struct quota_lease {
	unsigned units;
	int64_t until_us;
} quota_lease_t;

/* A write on its way to the table, or the reply to a read on its way back. */
typedef struct packet {
	int64_t due_us;
	unsigned vm;
	uint64_t boot;
	bool is_write;
	uint64_t version;
	jh_quota_row_t *row;
} packet_t;

typedef struct world {
	GRand *rand;
	int64_t now_us;
	uint64_t version;
	jh_quota_row_t *row;
	vm_t vms[VMS];
	GPtrArray *packets;
	/* Names of VMs that have ended and were replaced. */
	GPtrArray *unlisted;
	uint64_t next_boot;
	bool has_faults;
	/* Mean number of steps between faults. */
	int fault_steps;
	/* Deliberate fault: a restarted VM uses its units without writing the row first. */
	bool skip_claim;
	unsigned max_used_units;
} world_t;

static void free_packet(gpointer data)
{
	packet_t *packet = data;

	jh_quota_row_free(packet->row);
	g_free(packet);
}

static void send_packet(world_t *world, const packet_t *packet)
{
	packet_t *copy = g_memdup2(packet, sizeof(*packet));

	copy->due_us = world->now_us + g_rand_int_range(world->rand, 1, MAX_DELAY_US);
	g_ptr_array_add(world->packets, copy);
}

static jh_quota_row_t *copy_current_row(const world_t *world)
{
	return world->row ? jh_quota_row_copy(world->row) : NULL;
}

static void start_vm(world_t *world, unsigned i)
{
	vm_t *vm = &world->vms[i];
	jh_quota_owner_t *owner = world->row ? jh_quota_row_find(world->row, vm->name) : NULL;

	vm->boot = world->next_boot++;
	if (world->skip_claim && owner)
		vm->boot = owner->boot;
	vm->share = jh_quota_share_new(vm->name, vm->boot, LEASE_WAIT_US);
	vm->started_us = world->now_us;
	vm->is_up = true;
}

static void stop_vm(vm_t *vm)
{
	g_clear_pointer(&vm->share, jh_quota_share_free);
	vm->is_up = false;
}

/* Passes the names of the VMs that should own units and of the unlisted VMs to each running VM. */
static void update_views(world_t *world)
{
	GPtrArray *live_vms = g_ptr_array_new();
	GPtrArray *unlisted = g_ptr_array_new();
	unsigned i;

	for (i = 0; i < world->unlisted->len; i++)
		g_ptr_array_add(unlisted, g_ptr_array_index(world->unlisted, i));
	for (i = 0; i < VMS; i++) {
		vm_t *vm = &world->vms[i];

		if (!vm->is_ended)
			g_ptr_array_add(live_vms, vm->name);
		else if (world->now_us > vm->ended_at_us + UNLISTED_AFTER_US)
			g_ptr_array_add(unlisted, vm->name);
	}
	for (i = 0; i < VMS; i++) {
		if (!world->vms[i].is_up)
			continue;
		jh_quota_share_set_live(world->vms[i].share, live_vms);
		jh_quota_share_set_unlisted(world->vms[i].share, unlisted);
		/* With faults, several VMs act as the assigner at the same time. */
		jh_quota_share_set_assigner(world->vms[i].share, i < 3 || !world->has_faults);
	}
	g_ptr_array_free(live_vms, TRUE);
	g_ptr_array_free(unlisted, TRUE);
}

static void run_vm_decision(world_t *world, unsigned i)
{
	vm_t *vm = &world->vms[i];
	packet_t packet = { .vm = i, .boot = vm->boot };
	jh_quota_share_need_t need;

	if (!vm->is_up)
		return;
	need = jh_quota_share_decide(vm->share, world->now_us, &packet.version, &packet.row);
	if (need == JH_QUOTA_SHARE_WRITE) {
		packet.is_write = true;
	} else {
		packet.version = world->version;
		packet.row = copy_current_row(world);
	}
	send_packet(world, &packet);
	/* A read follows each write, so that the VM notices a lost reply. */
	if (packet.is_write) {
		packet = (packet_t){ .vm = i, .boot = vm->boot, .version = world->version };
		packet.row = copy_current_row(world);
		send_packet(world, &packet);
	}
}

static void handle_packet(world_t *world, packet_t *packet)
{
	vm_t *vm = &world->vms[packet->vm];

	if (packet->is_write) {
		if (packet->version != world->version)
			return;
		jh_quota_row_free(world->row);
		world->row = jh_quota_row_copy(packet->row);
		world->version++;
		if (world->has_faults && g_rand_int_range(world->rand, 0, 4) == 0)
			return;
		packet->version = world->version;
	}
	if (!vm->is_up || vm->boot != packet->boot)
		return;
	jh_quota_share_on_row(vm->share, packet->version, g_steal_pointer(&packet->row));
	/* The reply is to a request of this instance. */
	jh_quota_share_on_fresh_row(vm->share);
}

static void deliver_packets(world_t *world)
{
	unsigned i = 0;

	while (i < world->packets->len) {
		packet_t *packet = g_ptr_array_index(world->packets, i);

		if (packet->due_us > world->now_us) {
			i++;
			continue;
		}
		g_ptr_array_steal_index_fast(world->packets, i);
		handle_packet(world, packet);
		free_packet(packet);
	}
}

static void inject_fault(world_t *world)
{
	unsigned i = (unsigned)g_rand_int_range(world->rand, 0, VMS);
	vm_t *vm = &world->vms[i];

	if (!vm->is_up && !vm->is_ended) {
		start_vm(world, i);
	} else if (vm->is_up) {
		stop_vm(vm);
		vm->is_ended = g_rand_int_range(world->rand, 0, 6) == 0;
		vm->ended_at_us = world->now_us;
		if (!vm->is_ended && g_rand_int_range(world->rand, 0, 2) == 0)
			start_vm(world, i);
	} else if (world->now_us > vm->ended_at_us + 3 * UNLISTED_AFTER_US) {
		/* Another VM replaces it; names are not used again. */
		g_ptr_array_add(world->unlisted, g_strdup(vm->name));
		g_snprintf(vm->name, sizeof(vm->name), "v%" G_GUINT64_FORMAT, world->next_boot++);
		vm->is_ended = false;
	}
}

/*
 * Number of units that @vm uses or may still have lent. Released units count until a lease has
 * passed, and a new instance uses no units until a lease has passed.
 */
static unsigned count_vm_units(const world_t *world, vm_t *vm)
{
	bool is_inactive = !vm->is_up || world->now_us < vm->started_us + LEASE_WAIT_US;
	unsigned used_units = is_inactive ? 0 : jh_quota_share_usable_units(vm->share);
	unsigned sum = used_units;
	unsigned i = 0;

	if (used_units < vm->used_units) {
		const quota_lease_t lease = { .units = vm->used_units - used_units,
					      .until_us = world->now_us + LEASE_WAIT_US };

		g_array_append_val(vm->leases, lease);
	}
	vm->used_units = used_units;
	while (i < vm->leases->len) {
		const quota_lease_t *lease = &g_array_index(vm->leases, quota_lease_t, i);

		if (lease->until_us <= world->now_us) {
			g_array_remove_index(vm->leases, i);
			continue;
		}
		sum += lease->units;
		i++;
	}
	return sum;
}

static unsigned count_used_units(world_t *world)
{
	unsigned sum = 0;
	unsigned i;

	for (i = 0; i < VMS; i++)
		sum += count_vm_units(world, &world->vms[i]);
	return sum;
}

static void run_world_step(world_t *world)
{
	world->now_us++;
	if (world->has_faults && g_rand_int_range(world->rand, 0, world->fault_steps) == 0)
		inject_fault(world);
	if (world->now_us % VIEW_INTERVAL_US == 0)
		update_views(world);
	deliver_packets(world);
	if (g_rand_int_range(world->rand, 0, 3) == 0)
		run_vm_decision(world, (unsigned)g_rand_int_range(world->rand, 0, VMS));
	world->max_used_units = MAX(world->max_used_units, count_used_units(world));
}

static void init_world(world_t *world, guint32 seed)
{
	unsigned i;

	*world = (world_t){ .rand = g_rand_new_with_seed(seed),
			    .next_boot = 1,
			    .has_faults = true,
			    .fault_steps = 60 };
	world->packets = g_ptr_array_new_with_free_func(free_packet);
	world->unlisted = g_ptr_array_new_with_free_func(g_free);
	for (i = 0; i < VMS; i++) {
		g_snprintf(world->vms[i].name, sizeof(world->vms[i].name), "vm%u", i);
		world->vms[i].leases = g_array_new(FALSE, FALSE, sizeof(quota_lease_t));
		start_vm(world, i);
	}
}

static void clear_world(world_t *world)
{
	unsigned i;

	for (i = 0; i < VMS; i++) {
		stop_vm(&world->vms[i]);
		g_array_free(world->vms[i].leases, TRUE);
	}
	g_ptr_array_free(world->packets, TRUE);
	g_ptr_array_free(world->unlisted, TRUE);
	jh_quota_row_free(world->row);
	g_rand_free(world->rand);
}

START_TEST(test_no_unit_is_used_twice)
{
	guint32 seed;

	for (seed = 1; seed <= SEEDS; seed++) {
		world_t world;
		unsigned step;

		init_world(&world, seed);
		world.fault_steps = seed % 2 ? 20 : 60;
		for (step = 0; step < STEPS; step++)
			run_world_step(&world);
		ck_assert_msg(world.max_used_units <= JH_QUOTA_SHARE_UNITS,
			      "seed %u: %u units in use", seed, world.max_used_units);
		clear_world(&world);
	}
}
END_TEST

/* Once the faults end, all units are used and spread evenly over the live VMs. */
START_TEST(test_units_are_spread_evenly)
{
	guint32 seed;

	for (seed = 1; seed <= SEEDS / 4; seed++) {
		unsigned live_vms = 0;
		unsigned min_units = JH_QUOTA_SHARE_UNITS;
		unsigned sum = 0;
		world_t world;
		unsigned i;

		init_world(&world, seed);
		for (i = 0; i < STEPS; i++)
			run_world_step(&world);
		world.has_faults = false;
		for (i = 0; i < VMS; i++) {
			if (!world.vms[i].is_up && !world.vms[i].is_ended)
				start_vm(&world, i);
			live_vms += !world.vms[i].is_ended;
		}
		for (i = 0; i < STEPS; i++)
			run_world_step(&world);
		for (i = 0; i < VMS; i++) {
			unsigned units = world.vms[i].is_up ?
						 jh_quota_share_usable_units(world.vms[i].share) :
						 0;

			sum += units;
			if (world.vms[i].is_up)
				min_units = MIN(min_units, units);
		}
		ck_assert_msg(live_vms == 0 || sum == JH_QUOTA_SHARE_UNITS,
			      "seed %u: %u units used", seed, sum);
		ck_assert_msg(live_vms == 0 || min_units >= JH_QUOTA_SHARE_UNITS / live_vms,
			      "seed %u: one of %u VMs has %u units", seed, live_vms, min_units);
		clear_world(&world);
	}
}
END_TEST

/* The check of the first test detects restarted VMs that use units without a write of their own. */
START_TEST(test_missing_claim_is_detected)
{
	unsigned failed = 0;
	guint32 seed;

	for (seed = 1; seed <= SEEDS; seed++) {
		world_t world;
		unsigned step;

		init_world(&world, seed);
		world.skip_claim = true;
		world.fault_steps = 20;
		for (step = 0; step < STEPS; step++)
			run_world_step(&world);
		failed += world.max_used_units > JH_QUOTA_SHARE_UNITS;
		clear_world(&world);
	}
	printf("quota_share: without claims %u of %d seeds use a unit twice\n", failed, SEEDS);
	ck_assert_uint_gt(failed, 0);
}
END_TEST

static jh_quota_row_t *row_of_owners(uint64_t first_boot)
{
	jh_quota_row_t *row = jh_quota_row_new();
	unsigned i;

	for (i = 0; i < VMS; i++) {
		char name[8];

		g_snprintf(name, sizeof(name), "vm%u", i);
		jh_quota_row_add(row, name, i == 0 ? first_boot : 1, JH_QUOTA_SHARE_UNITS / VMS);
	}
	return row;
}

/*
 * Load: all VMs restart at the same moment. The first claim fences the earlier instances of all
 * VMs. When each VM had to write the row itself, the last of eight had its units 1.2 s after the
 * first, and teams were refused meanwhile.
 */
START_TEST(test_first_claim_after_a_restart_of_all_vms_serves_all)
{
	jh_quota_share_t *shares[VMS];
	GPtrArray *live_vms = g_ptr_array_new_with_free_func(g_free);
	unsigned i;

	for (i = 0; i < VMS; i++)
		g_ptr_array_add(live_vms, g_strdup_printf("vm%u", i));
	for (i = 0; i < VMS; i++) {
		shares[i] = jh_quota_share_new(g_ptr_array_index(live_vms, i), 2, LEASE_WAIT_US);
		jh_quota_share_set_live(shares[i], live_vms);
		jh_quota_share_on_row(shares[i], 7, row_of_owners(1));
		jh_quota_share_on_fresh_row(shares[i]);
		ck_assert_uint_eq(jh_quota_share_usable_units(shares[i]), 0);
	}
	for (i = 0; i < VMS; i++) {
		jh_quota_row_t *row = NULL;
		uint64_t version;

		jh_quota_share_on_row(shares[i], 8, row_of_owners(2));
		ck_assert_uint_eq(jh_quota_share_usable_units(shares[i]),
				  JH_QUOTA_SHARE_UNITS / VMS);
		ck_assert_int_eq(jh_quota_share_decide(shares[i], 100, &version, &row),
				 JH_QUOTA_SHARE_NOTHING);
		jh_quota_share_free(shares[i]);
	}
	g_ptr_array_free(live_vms, TRUE);
}
END_TEST

/*
 * Load: many VMs start for the first time, and each takes itself for the assigner. 281 writes of
 * 195 VMs were refused by the store.
 */
START_TEST(test_row_is_not_created_while_the_list_of_vms_grows)
{
	jh_quota_share_t *share = jh_quota_share_new("vm0", 1, LEASE_WAIT_US);
	GPtrArray *live_vms = g_ptr_array_new();
	jh_quota_row_t *row = NULL;
	uint64_t version;

	g_ptr_array_add(live_vms, (void *)"vm0");
	jh_quota_share_set_live(share, live_vms);
	jh_quota_share_set_assigner(share, true);
	jh_quota_share_on_row(share, 0, NULL);
	jh_quota_share_set_settled(share, false);
	ck_assert_int_eq(jh_quota_share_decide(share, 0, &version, &row), JH_QUOTA_SHARE_NOTHING);
	jh_quota_share_set_settled(share, true);
	ck_assert_int_eq(jh_quota_share_decide(share, 0, &version, &row), JH_QUOTA_SHARE_WRITE);
	ck_assert_uint_eq(version, 0);
	jh_quota_row_free(row);
	g_ptr_array_free(live_vms, TRUE);
	jh_quota_share_free(share);
}
END_TEST

/* The row may be older than one that the earlier instance read, if it came from another VM. */
START_TEST(test_change_after_a_row_that_may_be_old_is_no_fence)
{
	jh_quota_share_t *share = jh_quota_share_new("vm3", 2, LEASE_WAIT_US);

	jh_quota_share_on_row(share, 7, row_of_owners(1));
	jh_quota_share_on_row(share, 8, row_of_owners(2));
	ck_assert_uint_eq(jh_quota_share_usable_units(share), 0);
	jh_quota_share_on_fresh_row(share);
	ck_assert_uint_eq(jh_quota_share_usable_units(share), 0);
	jh_quota_share_on_row(share, 9, row_of_owners(2));
	ck_assert_uint_eq(jh_quota_share_usable_units(share), JH_QUOTA_SHARE_UNITS / VMS);
	jh_quota_share_free(share);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("quota_share");
	TCase *tcase = tcase_create("slots");
	SRunner *runner;
	int failed;

	tcase_set_timeout(tcase, 300);
	tcase_add_test(tcase, test_no_unit_is_used_twice);
	tcase_add_test(tcase, test_units_are_spread_evenly);
	tcase_add_test(tcase, test_missing_claim_is_detected);
	tcase_add_test(tcase, test_first_claim_after_a_restart_of_all_vms_serves_all);
	tcase_add_test(tcase, test_change_after_a_row_that_may_be_old_is_no_fence);
	tcase_add_test(tcase, test_row_is_not_created_while_the_list_of_vms_grows);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
