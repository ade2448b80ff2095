#ifndef JH_LISTEN_H
#define JH_LISTEN_H

#include "jh_settings.h"

/**
 * jh_address_listen() - open a listening socket that does not block
 * @what: names it in errors
 *
 * Return: descriptor, or -1 with the error set
 */
int jh_address_listen(const jh_address_t *address, const char *what, jh_error_t *err);

#endif
