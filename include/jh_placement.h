#ifndef JH_PLACEMENT_H
#define JH_PLACEMENT_H

#include "jh_view.h"

/**
 * DOC: Placement
 *
 * Chooses the VM that holds a role for a key, by rendezvous (highest-random-weight) hashing.
 * Adding or losing a VM moves only the keys of that VM. Daemons with different views may choose
 * different VMs; the roles are designed to tolerate that. All functions are free of side effects,
 * except that jh_placement_pick() changes its array.
 */

/**
 * jh_placement_choose() - choose the VM that holds the role of @key
 * @vms: array of jh_vm_t *, NULL for none; only VMs in state JH_VM_LIVE are chosen
 * @key: name of the role, e.g. "database:kisumu-1", "team:NAME", "group:NAME"
 * @dc: data centre to prefer, NULL for none; if it has no live VM, one of another is chosen
 *
 * Return: VM borrowed from @vms, NULL if none is live
 */
const jh_vm_t *jh_placement_choose(const GPtrArray *vms, const char *key, const char *dc);

/**
 * jh_placement_backup() - choose the VM that keeps backup copies for the VM named @vm
 * @vms: array of jh_vm_t *, NULL for none
 * @vm: name of the VM; if it is not in @vms, every data centre counts as another one
 *
 * Return: live VM other than @vm, borrowed from @vms; in another data centre if that has a live VM;
 * NULL if no other VM is live
 */
const jh_vm_t *jh_placement_backup(const GPtrArray *vms, const char *vm);

/**
 * jh_placement_pick() - sort @names by their hash with @key and keep the first @max
 * @names: array of names; its free function, if any, is called for each removed name
 * @key: name of the role
 * @max: maximum number of names to keep
 *
 * The hash order is independent of how VMs are named, so that the choice spreads over the data
 * centres. Adding or removing a VM changes at most one of the names that are kept.
 */
void jh_placement_pick(GPtrArray *names, const char *key, unsigned max);

/**
 * jh_placement_score() - rank of a VM for a key by weighted rendezvous hashing
 * @key: name of the role
 * @vm: name of the VM
 * @weight: capacity of the VM relative to others; not 0
 *
 * The VM with the highest score has the role. Each VM has a share of the keys in proportion to its
 * weight, and a change of one VM's weight moves only keys from or to this VM.
 */
double jh_placement_score(const char *key, const char *vm, unsigned weight);

/** jh_vm_find() - find a VM by name; @vms may be NULL. Return: borrowed, NULL if not found */
const jh_vm_t *jh_vm_find(const GPtrArray *vms, const char *name);

#endif
