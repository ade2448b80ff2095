#ifndef JH_VM_LIST_H
#define JH_VM_LIST_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: Removal of dead VMs from the VM list
 *
 * A change of primary relies on a majority of the voters, which are chosen from the listed VMs, so
 * removing VMs changes what a majority is. Majorities of two lists are certain to intersect only if
 * their voters differ in at most one VM, so at most one voter is removed at a time. A leader that
 * was isolated must not mistake its own isolation for the death of the other VMs. The function is
 * pure.
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
 * @is_settled: no removal is in progress, and enough VMs have acknowledged the previous one, by the
 *              rule of jh_primary_is_fenced()
 */
typedef struct jh_vm_list_view {
	const jh_listed_vm_t *vms;
	unsigned count;
	int64_t now_us;
	int64_t lease_since_us;
	bool has_lease;
	bool is_settled;
} jh_vm_list_view_t;

/**
 * jh_vm_list_choose_removals() - choose the VMs to remove from the list with one write
 *
 * Chooses every VM that has been dead for longer than JH_VM_REMOVE_US, but at most one voter.
 * Chooses none without a mirror lease or before the previous removal has settled.
 *
 * Return: new array of names borrowed from @view, empty if none; the caller frees it
 */
GPtrArray *jh_vm_list_choose_removals(const jh_vm_list_view_t *view);

#endif
