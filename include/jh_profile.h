#ifndef JH_PROFILE_H
#define JH_PROFILE_H

#include "jh_catalogue.h"
#include "jh_kernel.h"
#include "jh_store.h"
#include "jh_wire.h"

/**
 * DOC: Profiles
 *
 * A profile is one set of implementations behind the product's seams and the modules that use
 * them. The setting --profile chooses one for the whole process.
 */

/**
 * struct jh_profile - a way to run the daemon
 * @name: value of --profile
 * @modules: in the order of their start, ended by NULL
 * @vm_unlisted_us: a VM that the list has lacked for this long uses nothing that it owned
 * @quota_fleet: VMs that leases of quota are sized for; equal on all VMs
 * @quota_owners: VMs that own slots of quota, at most; the others ask quota servers. 0: every VM
 * @has_mirror: rows are read from this VM's mirror, at no cost; a VM that restarts is back under
 *	its name within seconds, and keeps what it owns meanwhile
 * @store: how the platform is spoken to
 * @catalogue: how configuration and members are read from rows; NULL if modules do not need it
 * @wire: what callers and members speak; NULL if modules do not need it
 */
typedef struct jh_profile {
	const char *name;
	const jh_module_t *const *modules;
	int64_t vm_unlisted_us;
	unsigned quota_fleet;
	unsigned quota_owners;
	bool has_mirror;
	const jh_store_protocol_t *store;
	const jh_catalogue_format_t *catalogue;
	const jh_wire_t *wire;
} jh_profile_t;

/** jh_profile_of() - Return: the profile that the settings name; the first one if they name none */
const jh_profile_t *jh_profile_of(const jh_settings_t *settings);

#endif
