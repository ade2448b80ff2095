#include "jh_vm_list.h"

#include "jh_mirror.h"

/* A VM that is cut off together with the lead is dead to it, and the other way round. */
static bool vm_is_gone(const jh_vm_list_view_t *view, const jh_listed_vm_t *vm)
{
	int64_t since_us = MAX(vm->dead_since_us, view->lease_since_us);

	return vm->dead_since_us != 0 && view->now_us - since_us > JH_VM_REMOVE_US;
}

static GPtrArray *council_of(const jh_vm_list_view_t *view)
{
	GPtrArray *council = g_ptr_array_new();
	unsigned i;

	for (i = 0; i < view->count; i++)
		g_ptr_array_add(council, (void *)view->vms[i].name);
	jh_voters_choose(council);
	return council;
}

GPtrArray *jh_vm_list_choose_removals(const jh_vm_list_view_t *view)
{
	GPtrArray *gone = g_ptr_array_new();
	GPtrArray *council;
	bool has_council_vm = false;
	unsigned i;

	if (!view->has_lease || !view->is_settled)
		return gone;
	council = council_of(view);
	for (i = 0; i < view->count; i++) {
		const jh_listed_vm_t *vm = &view->vms[i];
		bool is_council = g_ptr_array_find(council, vm->name, NULL);

		if (!vm_is_gone(view, vm) || (is_council && has_council_vm))
			continue;
		has_council_vm = has_council_vm || is_council;
		g_ptr_array_add(gone, (void *)vm->name);
	}
	g_ptr_array_free(council, TRUE);
	return gone;
}
