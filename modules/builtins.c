#include "jh_builtins.h"

extern const jh_module_t jh_peer_module;
extern const jh_module_t jh_platform_module;
extern const jh_module_t jh_config_module;
extern const jh_module_t jh_membership_module;
extern const jh_module_t jh_group_module;
extern const jh_module_t jh_owner_module;
extern const jh_module_t jh_quota_module;
extern const jh_module_t jh_record_module;
extern const jh_module_t jh_entry_module;

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
/* clang-format on */
