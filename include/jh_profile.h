#ifndef JH_PROFILE_H
#define JH_PROFILE_H

#include "jh_catalogue.h"
#include "jh_kernel.h"
#include "jh_store.h"
#include "jh_wire.h"

/**
 * DOC: Profiles
 *
 * A profile selects the modules that the daemon runs and the implementations that they use: the
 * protocol of the platform's store, the format of its catalogue and the protocol of callers and
 * members. The setting --profile selects one for the whole process. Profiles are constant.
 */

/**
 * struct jh_profile - one configuration of modules and implementations
 * @name: value of --profile
 * @modules: modules in the order in which they start, terminated by NULL
 * @vm_unlisted_us: a VM that has been missing from the VM list for longer than this, in
 *	microseconds, no longer uses its quota share, so that other VMs may take it
 * @quota_fleet_size: number of VMs that quota leases are sized for; must be equal on all VMs
 * @max_quota_owners: most VMs that own a quota share; the others request quota tokens from quota
 *	servers; 0: every VM owns one
 * @has_mirror: rows are read from this VM's mirror, at no cost; a VM that shuts down keeps its
 *	quota share, because it restarts under its name within seconds
 * @store: protocol of the platform's store
 * @catalogue: format in which rows hold configuration and members; NULL if no module needs it
 * @wire: protocol of callers and members; NULL if no module needs it
 */
typedef struct jh_profile {
	const char *name;
	const jh_module_t *const *modules;
	int64_t vm_unlisted_us;
	unsigned quota_fleet_size;
	unsigned max_quota_owners;
	bool has_mirror;
	const jh_store_protocol_t *store;
	const jh_catalogue_format_t *catalogue;
	const jh_wire_t *wire;
} jh_profile_t;

/**
 * jh_profile_get() - get the profile that the settings select
 *
 * Return: a constant; the first profile if the settings name none or an unknown one
 */
const jh_profile_t *jh_profile_get(const jh_settings_t *settings);

#endif
