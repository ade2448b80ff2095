#ifndef JH_PLACEMENT_H
#define JH_PLACEMENT_H

#include "jh_view.h"

/**
 * DOC: Placement
 *
 * Rendezvous hashing names the VM that holds a role for a key. Losing or adding a VM moves only
 * the keys of that VM. Daemons with different views may name different VMs; roles tolerate that.
 */

/**
 * jh_placement_choose() - VM that holds the role of @key
 * @vms: array of jh_vm_t *; only JH_VM_LIVE ones are chosen
 * @key: e.g. "database:kisumu-1", "team:NAME", "group:NAME"
 * @dc: data centre to prefer, NULL for none
 *
 * Return: borrowed VM, NULL if none is live
 */
const jh_vm_t *jh_placement_choose(const GPtrArray *vms, const char *key, const char *dc);

/** jh_placement_backup() - VM that backs up @vm: live, in another data centre where there is one */
const jh_vm_t *jh_placement_backup(const GPtrArray *vms, const char *vm);

/**
 * jh_placement_pick() - leave those of @names that come first for @key; the rest is removed
 * @names: array of names; its free function is called for what is removed
 * @max: how many stay
 *
 * The choice spreads over data centres whatever the names are, and a VM more or less changes it by
 * one at most.
 */
void jh_placement_pick(GPtrArray *names, const char *key, unsigned max);

/** jh_vm_find() - look a VM up by name. Return: borrowed or NULL */
const jh_vm_t *jh_vm_find(const GPtrArray *vms, const char *name);

#endif
