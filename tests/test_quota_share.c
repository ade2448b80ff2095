/*
 * VMs share one row by compare-and-set, in virtual time: reads and writes are late, answers are
 * lost, VMs restart, end and come. No slot may be in use twice.
 */

#include "jh_quota_share.h"

#include <check.h>
#include <stdio.h>
#include <stdlib.h>

#define SEEDS 200
#define VMS 6
#define STEPS 4000
#define LEASE_US 20
#define MAX_DELAY_US 80
#define GONE_US 100
#define VIEW_US 10

typedef struct vm {
	char name[8];
	bool up;
	bool ended;
	uint64_t boot;
	jh_quota_share_t *share;
	int64_t started_us;
	int64_t ended_us;
	/* Used when last looked at, and what was given up but may still be lent. */
	unsigned used;
	GArray *loans;
} vm_t;

typedef struct loan {
	unsigned slots;
	int64_t until_us;
} loan_t;

/* A write on its way to the table, or an answer on its way back. */
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
	/* Names of VMs that ended and were replaced. */
	GPtrArray *gone;
	uint64_t next_boot;
	bool faults;
	/* A fault happens every so many steps. */
	int fault_steps;
	/* Fault for the test of the test: restarted VMs use slots without a write. */
	bool forget_claim;
	unsigned most;
} world_t;

static void packet_free(gpointer data)
{
	packet_t *packet = data;

	jh_quota_row_free(packet->row);
	g_free(packet);
}

static void packet_send(world_t *world, const packet_t *packet)
{
	packet_t *copy = g_memdup2(packet, sizeof(*packet));

	copy->due_us = world->now_us + g_rand_int_range(world->rand, 1, MAX_DELAY_US);
	g_ptr_array_add(world->packets, copy);
}

static jh_quota_row_t *row_snapshot(const world_t *world)
{
	return world->row ? jh_quota_row_copy(world->row) : NULL;
}

static void vm_start(world_t *world, unsigned i)
{
	vm_t *vm = &world->vms[i];
	jh_quota_owner_t *owner = world->row ? jh_quota_row_find(world->row, vm->name) : NULL;

	vm->boot = world->next_boot++;
	if (world->forget_claim && owner)
		vm->boot = owner->boot;
	vm->share = jh_quota_share_new(vm->name, vm->boot, LEASE_US);
	vm->started_us = world->now_us;
	vm->up = true;
}

static void vm_stop(vm_t *vm)
{
	g_clear_pointer(&vm->share, jh_quota_share_free);
	vm->up = false;
}

/* Who should own slots, and who is known to be gone for long enough. */
static void views_update(world_t *world)
{
	GPtrArray *live = g_ptr_array_new();
	GPtrArray *gone = g_ptr_array_new();
	unsigned i;

	for (i = 0; i < world->gone->len; i++)
		g_ptr_array_add(gone, g_ptr_array_index(world->gone, i));
	for (i = 0; i < VMS; i++) {
		vm_t *vm = &world->vms[i];

		if (!vm->ended)
			g_ptr_array_add(live, vm->name);
		else if (world->now_us > vm->ended_us + GONE_US)
			g_ptr_array_add(gone, vm->name);
	}
	for (i = 0; i < VMS; i++) {
		if (!world->vms[i].up)
			continue;
		jh_quota_share_set_live(world->vms[i].share, live);
		jh_quota_share_set_unlisted(world->vms[i].share, gone);
		/* Two VMs may both believe that they assign. */
		jh_quota_share_set_assigner(world->vms[i].share, i < 3 || !world->faults);
	}
	g_ptr_array_free(live, TRUE);
	g_ptr_array_free(gone, TRUE);
}

static void vm_decide(world_t *world, unsigned i)
{
	vm_t *vm = &world->vms[i];
	packet_t packet = { .vm = i, .boot = vm->boot };
	jh_quota_share_need_t need;

	if (!vm->up)
		return;
	need = jh_quota_share_decide(vm->share, world->now_us, &packet.version, &packet.row);
	if (need == JH_QUOTA_SHARE_WRITE) {
		packet.is_write = true;
	} else {
		packet.version = world->version;
		packet.row = row_snapshot(world);
	}
	packet_send(world, &packet);
	/* Reads also follow, so that lost answers to writes are found out. */
	if (packet.is_write) {
		packet = (packet_t){ .vm = i, .boot = vm->boot, .version = world->version };
		packet.row = row_snapshot(world);
		packet_send(world, &packet);
	}
}

static void packet_arrive(world_t *world, packet_t *packet)
{
	vm_t *vm = &world->vms[packet->vm];

	if (packet->is_write) {
		if (packet->version != world->version)
			return;
		jh_quota_row_free(world->row);
		world->row = jh_quota_row_copy(packet->row);
		world->version++;
		if (world->faults && g_rand_int_range(world->rand, 0, 4) == 0)
			return;
		packet->version = world->version;
	}
	if (vm->up && vm->boot == packet->boot)
		jh_quota_share_on_row(vm->share, packet->version, g_steal_pointer(&packet->row));
}

static void packets_deliver(world_t *world)
{
	unsigned i = 0;

	while (i < world->packets->len) {
		packet_t *packet = g_ptr_array_index(world->packets, i);

		if (packet->due_us > world->now_us) {
			i++;
			continue;
		}
		g_ptr_array_steal_index_fast(world->packets, i);
		packet_arrive(world, packet);
		packet_free(packet);
	}
}

static void fault_happen(world_t *world)
{
	unsigned i = (unsigned)g_rand_int_range(world->rand, 0, VMS);
	vm_t *vm = &world->vms[i];

	if (!vm->up && !vm->ended) {
		vm_start(world, i);
	} else if (vm->up) {
		vm_stop(vm);
		vm->ended = g_rand_int_range(world->rand, 0, 6) == 0;
		vm->ended_us = world->now_us;
		if (!vm->ended && g_rand_int_range(world->rand, 0, 2) == 0)
			vm_start(world, i);
	} else if (world->now_us > vm->ended_us + 3 * GONE_US) {
		/* Another VM takes the place; names are not used again. */
		g_ptr_array_add(world->gone, g_strdup(vm->name));
		g_snprintf(vm->name, sizeof(vm->name), "v%" G_GUINT64_FORMAT, world->next_boot++);
		vm->ended = false;
	}
}

/* What a life used stays lent for a lease; a new life waits as long before it uses any. */
static unsigned vm_count(const world_t *world, vm_t *vm)
{
	bool quiet = !vm->up || world->now_us < vm->started_us + LEASE_US;
	unsigned used = quiet ? 0 : jh_quota_share_slots(vm->share);
	unsigned sum = used;
	unsigned i = 0;

	if (used < vm->used) {
		const loan_t loan = { .slots = vm->used - used,
				      .until_us = world->now_us + LEASE_US };

		g_array_append_val(vm->loans, loan);
	}
	vm->used = used;
	while (i < vm->loans->len) {
		const loan_t *loan = &g_array_index(vm->loans, loan_t, i);

		if (loan->until_us <= world->now_us) {
			g_array_remove_index(vm->loans, i);
			continue;
		}
		sum += loan->slots;
		i++;
	}
	return sum;
}

static unsigned world_count(world_t *world)
{
	unsigned sum = 0;
	unsigned i;

	for (i = 0; i < VMS; i++)
		sum += vm_count(world, &world->vms[i]);
	return sum;
}

static void world_step(world_t *world)
{
	world->now_us++;
	if (world->faults && g_rand_int_range(world->rand, 0, world->fault_steps) == 0)
		fault_happen(world);
	if (world->now_us % VIEW_US == 0)
		views_update(world);
	packets_deliver(world);
	if (g_rand_int_range(world->rand, 0, 3) == 0)
		vm_decide(world, (unsigned)g_rand_int_range(world->rand, 0, VMS));
	world->most = MAX(world->most, world_count(world));
}

static void world_init(world_t *world, guint32 seed)
{
	unsigned i;

	*world = (world_t){ .rand = g_rand_new_with_seed(seed),
			    .next_boot = 1,
			    .faults = true,
			    .fault_steps = 60 };
	world->packets = g_ptr_array_new_with_free_func(packet_free);
	world->gone = g_ptr_array_new_with_free_func(g_free);
	for (i = 0; i < VMS; i++) {
		g_snprintf(world->vms[i].name, sizeof(world->vms[i].name), "vm%u", i);
		world->vms[i].loans = g_array_new(FALSE, FALSE, sizeof(loan_t));
		vm_start(world, i);
	}
}

static void world_free(world_t *world)
{
	unsigned i;

	for (i = 0; i < VMS; i++) {
		vm_stop(&world->vms[i]);
		g_array_free(world->vms[i].loans, TRUE);
	}
	g_ptr_array_free(world->packets, TRUE);
	g_ptr_array_free(world->gone, TRUE);
	jh_quota_row_free(world->row);
	g_rand_free(world->rand);
}

START_TEST(test_no_slot_is_used_twice)
{
	guint32 seed;

	for (seed = 1; seed <= SEEDS; seed++) {
		world_t world;
		unsigned step;

		world_init(&world, seed);
		world.fault_steps = seed % 2 ? 20 : 60;
		for (step = 0; step < STEPS; step++)
			world_step(&world);
		ck_assert_msg(world.most <= JH_QUOTA_SLOTS, "seed %u: %u slots in use", seed,
			      world.most);
		world_free(&world);
	}
}
END_TEST

/* After the faults, all slots come into use, evenly. */
START_TEST(test_slots_are_spread)
{
	guint32 seed;

	for (seed = 1; seed <= SEEDS / 4; seed++) {
		unsigned live = 0;
		unsigned least = JH_QUOTA_SLOTS;
		unsigned sum = 0;
		world_t world;
		unsigned i;

		world_init(&world, seed);
		for (i = 0; i < STEPS; i++)
			world_step(&world);
		world.faults = false;
		for (i = 0; i < VMS; i++) {
			if (!world.vms[i].up && !world.vms[i].ended)
				vm_start(&world, i);
			live += !world.vms[i].ended;
		}
		for (i = 0; i < STEPS; i++)
			world_step(&world);
		for (i = 0; i < VMS; i++) {
			unsigned slots =
				world.vms[i].up ? jh_quota_share_slots(world.vms[i].share) : 0;

			sum += slots;
			if (world.vms[i].up)
				least = MIN(least, slots);
		}
		ck_assert_msg(live == 0 || sum == JH_QUOTA_SLOTS, "seed %u: %u slots used", seed,
			      sum);
		ck_assert_msg(live == 0 || least >= JH_QUOTA_SLOTS / live,
			      "seed %u: one of %u VMs has %u slots", seed, live, least);
		world_free(&world);
	}
}
END_TEST

/* The first test sees restarted VMs that use their slots without a write of their own. */
START_TEST(test_missing_claim_is_seen)
{
	unsigned failed = 0;
	guint32 seed;

	for (seed = 1; seed <= SEEDS; seed++) {
		world_t world;
		unsigned step;

		world_init(&world, seed);
		world.forget_claim = true;
		world.fault_steps = 20;
		for (step = 0; step < STEPS; step++)
			world_step(&world);
		failed += world.most > JH_QUOTA_SLOTS;
		world_free(&world);
	}
	printf("quota_share: without claims %u of %d seeds use a slot twice\n", failed, SEEDS);
	ck_assert_uint_gt(failed, 0);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("quota_share");
	TCase *tcase = tcase_create("slots");
	SRunner *runner;
	int failed;

	tcase_set_timeout(tcase, 300);
	tcase_add_test(tcase, test_no_slot_is_used_twice);
	tcase_add_test(tcase, test_slots_are_spread);
	tcase_add_test(tcase, test_missing_claim_is_seen);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
