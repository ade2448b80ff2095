#include "jh_builtins.h"

const jh_module_t *const jh_builtin_modules[] = {
	NULL,
};
