#ifndef JH_SOCKET_H
#define JH_SOCKET_H

#include "jh_settings.h"

#include <stdint.h>

/**
 * DOC: TCP sockets
 *
 * All are non-blocking and closed on exec.
 */

/**
 * struct jh_keepalive - when a silent connection counts as broken
 * @idle_s: silence before the first probe, seconds
 * @interval_s: time between two probes, seconds
 * @count: probes without an answer
 * @user_timeout_ms: longest time that sent bytes stay unacknowledged
 *
 * What is 0 stays as the system has it.
 */
typedef struct jh_keepalive {
	int idle_s;
	int interval_s;
	int count;
	unsigned user_timeout_ms;
} jh_keepalive_t;

/**
 * jh_address_listen() - open a listening socket
 * @what: names it in errors
 *
 * Return: descriptor, or -1 with the error set
 */
int jh_address_listen(const jh_address_t *address, const char *what, jh_error_t *err);

/**
 * jh_address_connect() - begin to connect
 * @host: IPv4 or IPv6 address
 *
 * Return: descriptor that becomes writable once connected or refused, or -1 with the error set
 */
int jh_address_connect(const char *host, uint16_t port, jh_error_t *err);

/** jh_socket_set_up() - send at once, and find broken connections; errors don't matter */
void jh_socket_set_up(int fd, const jh_keepalive_t *keepalive);

/** jh_socket_port() - Return: own port, 0 if it isn't bound */
uint16_t jh_socket_port(int fd);

#endif
