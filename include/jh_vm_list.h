#ifndef JH_VM_LIST_H
#define JH_VM_LIST_H

#include "jh_voters.h"

/**
 * DOC: Removal of dead VMs from the VM list
 *
 * A VM that votes is removed only after it has been replaced as a voter, see jh_voters_plan(). A
 * leader that was isolated must not mistake its own isolation for the death of the other VMs. The
 * functions are pure.
 */

/**
 * struct jh_listed_vm - a VM as the leader sees it
 * @name: borrowed
 * @dead_since_us: boot time since which it has been dead, microseconds; 0 if it is not dead
 */
typedef struct jh_listed_vm {
	const char *name;
	int64_t dead_since_us;
} jh_listed_vm_t;

/**
 * struct jh_vm_list_view - what the leader knows about the listed VMs
 * @vms: every listed VM
 * @count: number of @vms
 * @now_us: boot time, microseconds
 * @lease_since_us: boot time since which the leader has had a mirror lease without interruption
 * @has_lease: the leader has a mirror lease now
 * @is_settled: no removal is in progress, and jh_change_is_settled() holds for the previous one
 * @voters: the voters, borrowed
 */
typedef struct jh_vm_list_view {
	const jh_listed_vm_t *vms;
	unsigned count;
	int64_t now_us;
	int64_t lease_since_us;
	bool has_lease;
	bool is_settled;
	const jh_voters_t *voters;
} jh_vm_list_view_t;

/** jh_vm_list_is_lost() - whether a VM has been dead for so long that it is to be removed */
bool jh_vm_list_is_lost(const jh_vm_list_view_t *view, const jh_listed_vm_t *vm);

/**
 * jh_vm_list_choose_removals() - choose the VMs to remove from the list with one write
 *
 * Chooses every VM that has been dead for longer than JH_VM_REMOVE_US and does not vote. Chooses
 * none without a mirror lease or before the previous removal has settled.
 *
 * Return: new array of names borrowed from @view, empty if none; the caller frees it
 */
GPtrArray *jh_vm_list_choose_removals(const jh_vm_list_view_t *view);

#endif
