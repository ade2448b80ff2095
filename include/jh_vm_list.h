#ifndef JH_VM_LIST_H
#define JH_VM_LIST_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: Taking VMs off the list
 *
 * The majority of the listed VMs decides what a primary may do, so that a VM which takes others
 * off the list changes what a majority is. Majorities of two lists meet for certain if these differ
 * in one VM of the council; and a VM that was cut off itself must not take its own silence for
 * theirs. Pure.
 */

/**
 * struct jh_listed_vm - a VM as the lead sees it
 * @dead_since_us: boot time since which it has been dead, 0 while it lives
 */
typedef struct jh_listed_vm {
	const char *name;
	int64_t dead_since_us;
} jh_listed_vm_t;

/**
 * struct jh_vm_list_view - what decides
 * @vms: every listed VM
 * @now_us: boot time
 * @lease_since_us: since when the lead has had authority without a break
 * @has_lease: it has authority now
 * @is_settled: the VMs know of the change before, as for a change of primary
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
 * jh_vm_list_choose_removals() - VMs to take off the list with one write
 *
 * Return: new array of borrowed names, empty if none
 */
GPtrArray *jh_vm_list_choose_removals(const jh_vm_list_view_t *view);

#endif
