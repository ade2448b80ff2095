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

/* One a line, so that branches that each add a module merge. */
/* clang-format off */
const jh_module_t *const jh_builtin_modules[] = {
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

/* The mirror's word reaches the catalogue, and the catalogue's the others, within one turn. */
static const jh_module_t *const fleet_modules[] = {
	&jh_peer_module,
	&jh_platform_module,
	&jh_mirror_module,
	&jh_catalogue_module,
	&jh_membership_module,
	&jh_leader_module,
	&jh_quota_module,
	&jh_gateway_module,
	NULL,
};
/* clang-format on */

static const jh_profile_t profiles[] = {
	{
		.name = "postgresql",
		.modules = jh_builtin_modules,
		.vm_unlisted_us = 30 * G_USEC_PER_SEC,
		.quota_fleet_size = 21,
		.store = &jh_http_tables_protocol,
	},
	{
		.name = "fleet",
		.modules = fleet_modules,
		/* The lead takes a VM off the list after JH_ISOLATED_US without its authority. */
		.vm_unlisted_us = 1 * G_USEC_PER_SEC,
		/* A restarted VM mints nothing for a lease: short ones make for quick recovery. */
		.quota_fleet_size = 8,
		/* Each owner renews what it lends of each team with each team's server. */
		.max_quota_owners = 8,
		.has_mirror = true,
		.store = &jh_rows_dialect,
		.catalogue = &jh_platform_catalogue,
		.wire = &jh_line_wire,
	},
};

const jh_profile_t *jh_profile_get(const jh_settings_t *settings)
{
	unsigned i;

	for (i = 0; i < G_N_ELEMENTS(profiles); i++) {
		if (g_strcmp0(profiles[i].name, settings->profile) == 0)
			return &profiles[i];
	}
	return &profiles[0];
}
