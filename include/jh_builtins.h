#ifndef JH_BUILTINS_H
#define JH_BUILTINS_H

#include "jh_kernel.h"

/**
 * jh_postgresql_modules - modules of the profile "postgresql", in the order in which they start
 *
 * The array ends with NULL. Each module defines its jh_module_t at the end of its .c file, and
 * modules/builtins.c lists it. See jh_profile_get() for the modules of the selected profile.
 */
extern const jh_module_t *const jh_postgresql_modules[];

#endif
