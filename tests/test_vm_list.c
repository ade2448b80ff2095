#include "jh_mirror.h"
#include "jh_vm_list.h"
#include "runner.h"

#define S INT64_C(1000000)

static char names[83][16];
static jh_listed_vm_t vms[83];
static jh_vm_list_view_t view;

static void set_up(unsigned count)
{
	unsigned i;

	for (i = 0; i < count; i++) {
		g_snprintf(names[i], sizeof(names[i]), "vm-%u", i);
		vms[i] = (jh_listed_vm_t){ .name = names[i] };
	}
	view = (jh_vm_list_view_t){ .vms = vms,
				    .count = count,
				    .now_us = 100 * S,
				    .lease_since_us = 1 * S,
				    .has_lease = true,
				    .is_settled = true };
}

static unsigned count_forgotten(void)
{
	GPtrArray *gone = jh_vm_list_choose_removals(&view);
	unsigned count = gone->len;

	g_ptr_array_free(gone, TRUE);
	return count;
}

START_TEST(test_vm_that_is_dead_for_long_is_forgotten)
{
	set_up(7);
	ck_assert_uint_eq(count_forgotten(), 0);
	vms[3].dead_since_us = view.now_us - JH_VM_REMOVE_US;
	ck_assert_uint_eq(count_forgotten(), 0);
	vms[3].dead_since_us--;
	ck_assert_uint_eq(count_forgotten(), 1);
}
END_TEST

/*
 * After a partition the VM that had been alone took the lead and four live VMs off the list, so
 * that itself and another one that knew as little were a majority: they used the replaced primary.
 */
START_TEST(test_lead_that_was_cut_off_forgets_nobody)
{
	unsigned i;

	set_up(7);
	for (i = 1; i < 5; i++)
		vms[i].dead_since_us = 90 * S;
	view.lease_since_us = view.now_us - JH_VM_REMOVE_US / 2;
	ck_assert_uint_eq(count_forgotten(), 0);
	view.lease_since_us = 1 * S;
	view.has_lease = false;
	ck_assert_uint_eq(count_forgotten(), 0);
}
END_TEST

/* Majorities of seven and of four VMs need not meet; those of seven and six do. */
START_TEST(test_one_vm_of_the_council_at_a_time)
{
	unsigned i;

	set_up(7);
	for (i = 1; i < 5; i++)
		vms[i].dead_since_us = 10 * S;
	ck_assert_uint_eq(count_forgotten(), 1);
	view.is_settled = false;
	ck_assert_uint_eq(count_forgotten(), 0);
}
END_TEST

/* A rack of a large fleet is lost: only what the council is has to wait. */
START_TEST(test_vms_outside_the_council_go_at_once)
{
	GPtrArray *council = g_ptr_array_new();
	unsigned dead = 0;
	unsigned i;

	set_up(83);
	for (i = 0; i < 83; i++)
		g_ptr_array_add(council, names[i]);
	jh_voters_choose(council);
	for (i = 0; i < 40; i++) {
		vms[i].dead_since_us = 10 * S;
		dead += !g_ptr_array_find(council, names[i], NULL);
	}
	ck_assert_uint_gt(dead, 10);
	ck_assert_uint_eq(count_forgotten(), dead + (dead < 40));
	g_ptr_array_free(council, TRUE);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		test_vm_that_is_dead_for_long_is_forgotten,
		test_lead_that_was_cut_off_forgets_nobody,
		test_one_vm_of_the_council_at_a_time,
		test_vms_outside_the_council_go_at_once,
		NULL,
	};

	return run_tests("vm_list", tests);
}
