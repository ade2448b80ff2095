/*
 * Guards against a leader that makes a majority of its own by removing live VMs or voters from the
 * VM list, so that a VM could use a primary that had been replaced.
 */

#include "jh_mirror.h"
#include "jh_vm_list.h"
#include "runner.h"

#define SECOND_US INT64_C(1000000)

static char names[83][16];
static jh_listed_vm_t vms[83];
static jh_vm_list_view_t view;
static jh_voters_t *voters;

/* The first @voter_count VMs vote. */
static void set_up(unsigned count, unsigned voter_count)
{
	unsigned i;

	jh_voters_free(voters);
	voters = jh_voters_new();
	voters->generation = 1;

	for (i = 0; i < count; i++) {
		g_snprintf(names[i], sizeof(names[i]), "vm-%u", i);
		vms[i] = (jh_listed_vm_t){ .name = names[i] };
		if (i < voter_count)
			g_ptr_array_add(voters->current, names[i]);
	}
	view = (jh_vm_list_view_t){ .vms = vms,
				    .count = count,
				    .now_us = 100 * SECOND_US,
				    .lease_since_us = 1 * SECOND_US,
				    .has_lease = true,
				    .is_settled = true,
				    .voters = voters };
}

static unsigned count_removals(void)
{
	GPtrArray *removals = jh_vm_list_choose_removals(&view);
	unsigned count = removals->len;

	g_ptr_array_free(removals, TRUE);
	return count;
}

START_TEST(test_vm_is_removed_after_timeout)
{
	set_up(7, 3);
	ck_assert_uint_eq(count_removals(), 0);
	vms[3].dead_since_us = view.now_us - JH_VM_REMOVE_US;
	ck_assert_uint_eq(count_removals(), 0);
	vms[3].dead_since_us--;
	ck_assert_uint_eq(count_removals(), 1);
}
END_TEST

/*
 * A leader without a lease, or whose lease began recently, must remove no VM. When this was
 * allowed, after a network partition the VM that had been isolated claimed the leader role and
 * removed four live VMs from the list. It and another VM that lacked the same changes were then a
 * majority, and they used a primary that had been replaced.
 */
START_TEST(test_leader_removes_nothing_after_isolation)
{
	unsigned i;

	set_up(7, 1);
	for (i = 1; i < 5; i++)
		vms[i].dead_since_us = 90 * SECOND_US;
	view.lease_since_us = view.now_us - JH_VM_REMOVE_US / 2;
	ck_assert_uint_eq(count_removals(), 0);
	view.lease_since_us = 1 * SECOND_US;
	view.has_lease = false;
	ck_assert_uint_eq(count_removals(), 0);
}
END_TEST

/*
 * A leader that has lost the others must not decide alone who votes: the VMs that it takes for dead
 * may be a majority that it does not reach.
 */
START_TEST(test_vm_that_votes_is_not_removed)
{
	unsigned i;

	set_up(7, 7);
	for (i = 1; i < 5; i++)
		vms[i].dead_since_us = 10 * SECOND_US;
	ck_assert_uint_eq(count_removals(), 0);
	voters->previous = g_ptr_array_ref(voters->current);
	voters->current = g_ptr_array_new();
	g_ptr_array_add(voters->current, names[0]);
	ck_assert_uint_eq(count_removals(), 0);
	g_clear_pointer(&voters->previous, g_ptr_array_unref);
	ck_assert_uint_eq(count_removals(), 4);
	view.is_settled = false;
	ck_assert_uint_eq(count_removals(), 0);
}
END_TEST

/* After the loss of a rack in a large fleet, only the removal of voters has to wait. */
START_TEST(test_other_vms_are_removed_in_one_write)
{
	unsigned i;

	set_up(83, JH_VOTERS_MAX);
	for (i = 5; i < 45; i++)
		vms[i].dead_since_us = 10 * SECOND_US;
	ck_assert_uint_eq(count_removals(), 40 - (JH_VOTERS_MAX - 5));
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		test_vm_is_removed_after_timeout,
		test_leader_removes_nothing_after_isolation,
		test_vm_that_votes_is_not_removed,
		test_other_vms_are_removed_in_one_write,
		NULL,
	};

	return run_tests("vm_list", tests);
}
