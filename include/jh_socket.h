#ifndef JH_SOCKET_H
#define JH_SOCKET_H

#include "jh_settings.h"

#include <stdint.h>

/**
 * DOC: TCP sockets
 *
 * Opens and configures the sockets to callers, peers and databases. Sockets are non-blocking and
 * are closed on exec. Hosts are numeric IPv4 or IPv6 addresses: names are never resolved, because
 * that would block the loop. The caller owns each descriptor and closes it.
 */

/**
 * struct jh_keepalive - TCP options that detect broken connections; 0 keeps the system's default
 * @idle_s: idle time before the first keepalive probe (TCP_KEEPIDLE), seconds
 * @interval_s: time between two probes (TCP_KEEPINTVL), seconds
 * @count: unanswered probes after which the connection is closed (TCP_KEEPCNT)
 * @user_timeout_ms: limit on the time that sent bytes stay unacknowledged (TCP_USER_TIMEOUT),
 *	milliseconds
 */
typedef struct jh_keepalive {
	int idle_s;
	int interval_s;
	int count;
	unsigned user_timeout_ms;
} jh_keepalive_t;

/**
 * jh_socket_listen() - open a listening socket
 * @address: local address; the system chooses a port if its port is 0
 * @what: purpose of the socket, for the error message
 * @err: JH_ERR_INVALID if the host is not an IP address, JH_ERR_SYSTEM for other failures
 *
 * Return: descriptor, or -1 with the error set
 */
int jh_socket_listen(const jh_address_t *address, const char *what, jh_error_t *err);

/**
 * jh_socket_connect() - start to connect
 * @host: IPv4 or IPv6 address
 * @port: TCP port
 * @err: JH_ERR_INVALID if @host is not an IP address, JH_ERR_SYSTEM or JH_ERR_UNAVAILABLE for other
 *	failures
 *
 * Return: descriptor that becomes writable once the attempt has succeeded or failed, or -1 with the
 * error set
 */
int jh_socket_connect(const char *host, uint16_t port, jh_error_t *err);

/**
 * jh_socket_set_options() - disable Nagle's algorithm and enable keepalive probes
 * @fd: TCP socket
 * @keepalive: timing of the probes
 *
 * Errors are ignored: the connection works without these options.
 */
void jh_socket_set_options(int fd, const jh_keepalive_t *keepalive);

/** jh_socket_local_port() - get the local port of a socket. Return: 0 if the socket is not bound */
uint16_t jh_socket_local_port(int fd);

#endif
