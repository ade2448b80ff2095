#ifndef JH_BUILTINS_H
#define JH_BUILTINS_H

#include "jh_kernel.h"

/**
 * jh_builtin_modules - every module linked into the daemon, in the order of their start
 *
 * Ends with NULL. A module is one .c file; its table stands at that file's end and is named here.
 */
extern const jh_module_t *const jh_builtin_modules[];

#endif
