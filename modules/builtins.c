#include "jh_builtins.h"

extern const jh_module_t jh_membership_module;
extern const jh_module_t jh_platform_module;

const jh_module_t *const jh_builtin_modules[] = {
	&jh_platform_module,
	&jh_membership_module,
	NULL,
};
