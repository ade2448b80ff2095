#include "jh_vm_list.h"

#include "jh_mirror.h"

/*
 * The time counts from the start of the leader's mirror lease at the earliest: while the leader
 * itself was isolated, every other VM looked dead to it.
 */
static bool is_removable(const jh_vm_list_view_t *view, const jh_listed_vm_t *vm)
{
	int64_t since_us = MAX(vm->dead_since_us, view->lease_since_us);

	return vm->dead_since_us != 0 && view->now_us - since_us > JH_VM_REMOVE_US;
}

/* Return: new array of the names of the voters, borrowed from @view. */
static GPtrArray *pick_voters(const jh_vm_list_view_t *view)
{
	GPtrArray *voters = g_ptr_array_new();
	unsigned i;

	for (i = 0; i < view->count; i++)
		g_ptr_array_add(voters, (void *)view->vms[i].name);
	jh_voters_choose(voters);
	return voters;
}

GPtrArray *jh_vm_list_choose_removals(const jh_vm_list_view_t *view)
{
	GPtrArray *removals = g_ptr_array_new();
	GPtrArray *voters;
	bool has_voter = false;
	unsigned i;

	if (!view->has_lease || !view->is_settled)
		return removals;
	voters = pick_voters(view);
	for (i = 0; i < view->count; i++) {
		const jh_listed_vm_t *vm = &view->vms[i];
		bool is_voter = g_ptr_array_find(voters, vm->name, NULL);

		if (!is_removable(view, vm) || (is_voter && has_voter))
			continue;
		has_voter = has_voter || is_voter;
		g_ptr_array_add(removals, (void *)vm->name);
	}
	g_ptr_array_free(voters, TRUE);
	return removals;
}
