#include "jh_builtins.h"
#include "jh_profile.h"

#include "platform/platform.h"

extern const jh_module_t jh_peer_module;
extern const jh_module_t jh_platform_module;
extern const jh_module_t jh_config_module;
extern const jh_module_t jh_membership_module;
extern const jh_module_t jh_group_module;
extern const jh_module_t jh_owner_module;
extern const jh_module_t jh_quota_module;
extern const jh_module_t jh_record_module;
extern const jh_module_t jh_entry_module;
extern const jh_module_t jh_mirror_module;
extern const jh_module_t jh_catalogue_module;
extern const jh_module_t jh_leader_module;
extern const jh_module_t jh_gateway_module;
extern const jh_module_t jh_work_module;

/* One module per line, so that branches that each add a module merge without conflicts. */
/* clang-format off */
const jh_module_t *const jh_postgresql_modules[] = {
	&jh_peer_module,
	&jh_platform_module,
	&jh_config_module,
	&jh_membership_module,
	&jh_group_module,
	&jh_owner_module,
	&jh_quota_module,
	&jh_record_module,
	&jh_entry_module,
	NULL,
};

/*
 * In this order, what the mirror publishes reaches the catalogue, and what the catalogue publishes
 * reaches the later modules, within one iteration of the event loop.
 */
static const jh_module_t *const fleet_modules[] = {
	&jh_peer_module,
	&jh_platform_module,
	&jh_mirror_module,
	&jh_catalogue_module,
	&jh_membership_module,
	&jh_leader_module,
	&jh_quota_module,
	&jh_gateway_module,
	&jh_work_module,
	NULL,
};
/* clang-format on */

static const jh_profile_t profiles[] = {
	{
		.name = "postgresql",
		.modules = jh_postgresql_modules,
		.vm_unlisted_us = 30 * G_USEC_PER_SEC,
		.quota_fleet_size = 21,
		.store = &jh_http_tables_protocol,
	},
	{
		.name = "fleet",
		.modules = fleet_modules,
		/* The leader removes a VM from the VM list only after it has been dead for
		 * JH_VM_REMOVE_US. By then the VM, if it still runs, has had no mirror lease for
		 * longer than JH_ISOLATED_US and uses no quota. So a short wait is enough here.
		 */
		.vm_unlisted_us = 1 * G_USEC_PER_SEC,
		/* A restarted VM refills no quota tokens for the duration of one quota lease. A
		 * small fleet size gives short leases, and so a fast recovery.
		 */
		.quota_fleet_size = 8,
		/* Each owner renews its quota lease of each team with the quota server of that
		 * team, so that the number of owners determines the load on the servers.
		 */
		.max_quota_owners = 8,
		.has_mirror = true,
		.store = &jh_rows_protocol,
		.catalogue = &jh_platform_catalogue_format,
		.wire = &jh_line_wire,
	},
};

/* An unknown name selects the first profile. */
const jh_profile_t *jh_profile_get(const jh_settings_t *settings)
{
	unsigned i;

	for (i = 0; i < G_N_ELEMENTS(profiles); i++) {
		if (g_strcmp0(profiles[i].name, settings->profile) == 0)
			return &profiles[i];
	}
	return &profiles[0];
}
