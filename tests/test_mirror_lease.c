#include "jh_mirror.h"
#include "jh_primary_change.h"
#include "runner.h"

#include <stdio.h>

static GPtrArray *names_of(unsigned count)
{
	GPtrArray *names = g_ptr_array_new_with_free_func(g_free);
	unsigned i;

	for (i = 0; i < count; i++)
		g_ptr_array_add(names, g_strdup_printf("vm-%u", i));
	return names;
}

START_TEST(test_majority_confirms)
{
	jh_authority_t *authority = jh_mirror_lease_new();
	GPtrArray *vms = names_of(7);

	ck_assert_int_eq(jh_mirror_lease_expiry_us(authority, vms, "vm-0"), INT64_MIN);
	jh_mirror_lease_on_vm_ack(authority, "vm-1", 100);
	jh_mirror_lease_on_vm_ack(authority, "vm-2", 300);
	ck_assert_int_eq(jh_mirror_lease_expiry_us(authority, vms, "vm-0"), INT64_MIN);
	jh_mirror_lease_on_vm_ack(authority, "vm-3", 200);
	ck_assert_int_eq(jh_mirror_lease_expiry_us(authority, vms, "vm-0"), 100 + JH_LEASE_US);
	jh_mirror_lease_on_vm_ack(authority, "vm-4", 400);
	ck_assert_int_eq(jh_mirror_lease_expiry_us(authority, vms, "vm-0"), 200 + JH_LEASE_US);
	/* One that is no longer listed does not count. */
	jh_mirror_lease_on_vm_ack(authority, "vm-9", 900);
	ck_assert_int_eq(jh_mirror_lease_expiry_us(authority, vms, "vm-0"), 200 + JH_LEASE_US);
	g_ptr_array_free(vms, TRUE);
	jh_mirror_lease_free(authority);
}
END_TEST

START_TEST(test_store_confirms_alone)
{
	jh_authority_t *authority = jh_mirror_lease_new();
	GPtrArray *vms = names_of(1);

	ck_assert_int_eq(jh_mirror_lease_expiry_us(authority, vms, "vm-0"), INT64_MIN);
	jh_mirror_lease_on_store_read(authority, 500);
	jh_mirror_lease_on_store_read(authority, 400);
	ck_assert_int_eq(jh_mirror_lease_expiry_us(authority, vms, "vm-0"), 500 + JH_LEASE_US);
	g_ptr_array_free(vms, TRUE);
	jh_mirror_lease_free(authority);
}
END_TEST

/* A VM outside the council asks one of it, and relies on its mirror no longer than that one does.
 */
START_TEST(test_authority_is_shared)
{
	jh_authority_t *authority = jh_mirror_lease_new();
	GPtrArray *vms = names_of(14);

	jh_mirror_lease_on_peer_lease(authority, 900);
	ck_assert_int_eq(jh_mirror_lease_expiry_us(authority, vms, "vm-20"), 900);
	jh_mirror_lease_on_peer_lease(authority, 700);
	ck_assert_int_eq(jh_mirror_lease_expiry_us(authority, vms, "vm-20"), 900);
	jh_mirror_lease_on_store_read(authority, 100);
	ck_assert_int_eq(jh_mirror_lease_expiry_us(authority, vms, "vm-20"), 100 + JH_LEASE_US);
	g_ptr_array_free(vms, TRUE);
	jh_mirror_lease_free(authority);
}
END_TEST

START_TEST(test_council_of_a_large_fleet)
{
	GPtrArray *all = names_of(83);
	GPtrArray *fewer = names_of(82);
	unsigned shared = 0;
	unsigned i;
	unsigned k;

	jh_voters_pick(all);
	jh_voters_pick(fewer);
	ck_assert_uint_eq(all->len, JH_VOTERS_MAX);
	for (i = 0; i < all->len; i++) {
		for (k = 0; k < fewer->len; k++)
			shared +=
				g_str_equal(g_ptr_array_index(all, i), g_ptr_array_index(fewer, k));
	}
	/* Any two majorities meet though the views differ in one VM. */
	ck_assert_uint_ge(shared, JH_VOTERS_MAX - 1);
	ck_assert_uint_gt(2 * jh_majority_of(JH_VOTERS_MAX), 2 * JH_VOTERS_MAX - shared);
	g_ptr_array_free(all, TRUE);
	g_ptr_array_free(fewer, TRUE);
}
END_TEST

/*
 * A model of VMs, one change of a primary, a cut and lost messages: each VM asks the others now and
 * then; an answer that tells of the change ends the VM's authority. The changer goes on once
 * jh_primary_is_fenced() says so; then no VM may hold authority in ignorance.
 */
typedef struct model_vm {
	char name[16];
	jh_authority_t *authority;
	bool knows;
	/* Of a cut that separates the VMs until it heals. */
	bool is_beyond_cut;
} model_vm_t;

static bool model_is_fenced(unsigned count, unsigned knowing, int64_t majority_us)
{
	const jh_change_acks_t fence = { .vms = count,
					 .knowing = knowing,
					 .council = count,
					 .voters_acked = knowing,
					 .majority_us = majority_us };

	return knowing > 0 && jh_primary_is_fenced(&fence);
}

/* An answer of a VM that does not know of the change: its word, and what is left of its authority.
 */
static void model_take_word(model_vm_t *asker, const model_vm_t *vm, const GPtrArray *names,
			    int64_t now_us, int64_t asked_us)
{
	int64_t until_us = jh_mirror_lease_expiry_us(vm->authority, names, vm->name);

	jh_mirror_lease_on_vm_ack(asker->authority, vm->name, asked_us);
	if (until_us > now_us)
		jh_mirror_lease_on_peer_lease(asker->authority, asked_us + until_us - now_us);
}

static void model_run(unsigned seed, unsigned count)
{
	GRand *rand = g_rand_new_with_seed(seed);
	GPtrArray *names = names_of(count);
	model_vm_t vms[9];
	int64_t claimed_us = g_rand_int_range(rand, 100000, 3000000);
	int64_t heals_us = g_rand_int_range(rand, 0, 8000000);
	bool is_fenced = false;
	int64_t majority_us = INT64_MAX;
	int64_t now_us;
	unsigned i;

	for (i = 0; i < count; i++) {
		vms[i] = (model_vm_t){ .authority = jh_mirror_lease_new(),
				       .is_beyond_cut = g_rand_boolean(rand) };
		g_snprintf(vms[i].name, sizeof(vms[i].name), "vm-%u", i);
	}
	for (now_us = 0; now_us < 8000000; now_us += 10000) {
		unsigned asker = (unsigned)g_rand_int_range(rand, 0, (int)count);
		unsigned knowing = 0;

		vms[0].knows = vms[0].knows || now_us >= claimed_us;
		for (i = 0; i < count; i++) {
			bool is_cut = now_us < heals_us &&
				      vms[i].is_beyond_cut != vms[asker].is_beyond_cut;

			if (i == asker || is_cut || g_rand_int_range(rand, 0, 3) == 0)
				continue;
			/* The question was sent some time ago; the answer tells what is known. */
			if (vms[i].knows)
				vms[asker].knows = true;
			else
				model_take_word(&vms[asker], &vms[i], names, now_us,
						now_us - g_rand_int_range(rand, 0, 500000));
		}
		/* An answer that tells of the change comes before authority counts. */
		for (i = 0; i < count; i++)
			knowing += vms[i].knows;
		if (knowing >= jh_majority_of(count))
			majority_us = MIN(majority_us, now_us);
		is_fenced = is_fenced || model_is_fenced(count, knowing, now_us - majority_us);
		for (i = 0; is_fenced && i < count; i++)
			ck_assert_msg(vms[i].knows ||
					      jh_mirror_lease_expiry_us(vms[i].authority, names,
									vms[i].name) <= now_us,
				      "seed %u: %s relies on the old primary", seed, vms[i].name);
	}
	for (i = 0; i < count; i++)
		jh_mirror_lease_free(vms[i].authority);
	g_ptr_array_free(names, TRUE);
	g_rand_free(rand);
}

/* Seed 3 failed while the wait was counted from the store's answer instead of the majority's. */
START_TEST(test_nobody_relies_on_a_fenced_primary)
{
	const char *schedules = g_getenv("JH_SCHEDULES");
	unsigned count = schedules ? (unsigned)g_ascii_strtoull(schedules, NULL, 10) : 300;
	unsigned seed;

	for (seed = 1; seed <= count; seed++)
		model_run(seed, 2 + seed % 8);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = { test_majority_confirms,
				       test_store_confirms_alone,
				       test_authority_is_shared,
				       test_council_of_a_large_fleet,
				       test_nobody_relies_on_a_fenced_primary,
				       NULL };

	return run_tests("authority", tests);
}
