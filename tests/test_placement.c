/*
 * Guards against the loss of a VM that moves keys of other VMs, an uneven spread of the keys, a
 * role placed in another data centre although the preferred one has a live VM, and a backup VM in
 * the data centre of the VM that it backs up.
 */

#include "jh_frame.h"
#include "jh_placement.h"

#include "runner.h"

#define VMS 7
#define KEYS 1000

static GPtrArray *vms_new(unsigned count)
{
	static const char *const dcs[] = { "nairobi", "kisumu", "mombasa" };
	GPtrArray *vms = g_ptr_array_new_with_free_func(jh_vm_free);
	unsigned i;

	for (i = 0; i < count; i++) {
		jh_vm_t vm = { .dc = (char *)dcs[i % 3], .host = "127.0.0.1", .state = JH_VM_LIVE };

		vm.name = g_strdup_printf("vm-%u", i);
		g_ptr_array_add(vms, jh_vm_copy(&vm));
		g_free(vm.name);
	}
	return vms;
}

static const char *choose_owner(const GPtrArray *vms, unsigned key)
{
	char name[32];

	g_snprintf(name, sizeof(name), "database:%u", key);
	return jh_placement_choose(vms, name, NULL)->name;
}

START_TEST(test_lost_vm_moves_only_its_keys)
{
	GPtrArray *vms = vms_new(VMS);
	const char *before[KEYS];
	jh_vm_t *lost = g_ptr_array_index(vms, 3);
	unsigned moved_keys = 0;
	unsigned i;

	for (i = 0; i < KEYS; i++)
		before[i] = choose_owner(vms, i);
	lost->state = JH_VM_DEAD;
	for (i = 0; i < KEYS; i++) {
		const char *after = choose_owner(vms, i);

		if (after == before[i])
			continue;
		ck_assert_str_eq(before[i], lost->name);
		moved_keys++;
	}
	/* An even share is KEYS / VMS; a number far from it means that the hash is uneven. */
	ck_assert_uint_gt(moved_keys, KEYS / VMS / 2);
	ck_assert_uint_lt(moved_keys, KEYS / VMS * 2);
	g_ptr_array_free(vms, TRUE);
}
END_TEST

START_TEST(test_choose_prefers_data_centre)
{
	GPtrArray *vms = vms_new(VMS);
	unsigned i;

	ck_assert_str_eq(jh_placement_choose(vms, "database:x", "kisumu")->dc, "kisumu");
	for (i = 0; i < VMS; i++) {
		jh_vm_t *vm = g_ptr_array_index(vms, i);

		if (g_str_equal(vm->dc, "kisumu"))
			vm->state = JH_VM_DEPARTING;
	}
	ck_assert_str_ne(jh_placement_choose(vms, "database:x", "kisumu")->dc, "kisumu");
	ck_assert_str_ne(jh_placement_backup(vms, "vm-0")->dc, "nairobi");
	g_ptr_array_free(vms, TRUE);
}
END_TEST

START_TEST(test_choose_without_live_vm)
{
	GPtrArray *vms = vms_new(1);

	ck_assert_ptr_null(jh_placement_backup(vms, "vm-0"));
	((jh_vm_t *)g_ptr_array_index(vms, 0))->state = JH_VM_DEAD;
	ck_assert_ptr_null(jh_placement_choose(vms, "database:x", NULL));
	g_ptr_array_free(vms, TRUE);
}
END_TEST

/* 8 of 70 VMs own quota; the start or the loss of a VM changes at most one of the 8. */
START_TEST(test_pick_changes_at_most_one)
{
	GPtrArray *all = g_ptr_array_new_with_free_func(g_free);
	GPtrArray *all_but_one = g_ptr_array_new_with_free_func(g_free);
	unsigned common = 0;
	unsigned i;

	for (i = 0; i < 70; i++) {
		g_ptr_array_add(all, g_strdup_printf("vm-%u", i));
		if (i != 11)
			g_ptr_array_add(all_but_one, g_strdup_printf("vm-%u", i));
	}
	jh_placement_pick(all, "quota:owners", 8);
	jh_placement_pick(all_but_one, "quota:owners", 8);
	ck_assert_uint_eq(all->len, 8);
	for (i = 0; i < all->len; i++)
		common += g_ptr_array_find_with_equal_func(all_but_one, g_ptr_array_index(all, i),
							   g_str_equal, NULL);
	ck_assert_uint_ge(common, 7);
	jh_placement_pick(all, "quota:owners", 9);
	ck_assert_uint_eq(all->len, 8);
	g_ptr_array_free(all, TRUE);
	g_ptr_array_free(all_but_one, TRUE);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = { test_lost_vm_moves_only_its_keys,
				       test_choose_prefers_data_centre, test_choose_without_live_vm,
				       test_pick_changes_at_most_one, NULL };

	return run_tests("placement", tests);
}
