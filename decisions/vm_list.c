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

bool jh_vm_list_is_lost(const jh_vm_list_view_t *view, const jh_listed_vm_t *vm)
{
	return view->has_lease && is_removable(view, vm);
}

GPtrArray *jh_vm_list_choose_removals(const jh_vm_list_view_t *view)
{
	GPtrArray *removals = g_ptr_array_new();
	unsigned i;

	for (i = 0; i < view->count && view->is_settled; i++) {
		const jh_listed_vm_t *vm = &view->vms[i];

		if (jh_vm_list_is_lost(view, vm) && !jh_voters_include(view->voters, vm->name))
			g_ptr_array_add(removals, (void *)vm->name);
	}
	return removals;
}
