#include "jh_socket.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* All peers of a fleet, or many callers, may connect at the same time. */
#define LISTEN_BACKLOG 1024

typedef union socket_address {
	struct sockaddr any;
	struct sockaddr_in v4;
	struct sockaddr_in6 v6;
} socket_address_t;

/* Return: length of the address, 0 if @host is not an IP address */
static socklen_t address_fill(socket_address_t *address, const char *host, uint16_t port)
{
	memset(address, 0, sizeof(*address));
	if (inet_pton(AF_INET, host, &address->v4.sin_addr) == 1) {
		address->v4.sin_family = AF_INET;
		address->v4.sin_port = htons(port);
		return sizeof(address->v4);
	}
	if (inet_pton(AF_INET6, host, &address->v6.sin6_addr) == 1) {
		address->v6.sin6_family = AF_INET6;
		address->v6.sin6_port = htons(port);
		return sizeof(address->v6);
	}
	return 0;
}

/* Creates a socket and fills in @address. Return: descriptor, or -1 with the error set */
static int socket_new(const char *host, uint16_t port, socket_address_t *address, socklen_t *length,
		      jh_error_t *err)
{
	int fd;

	*length = address_fill(address, host, port);
	if (*length == 0)
		return jh_error_set(err, JH_ERR_INVALID, "host is not an IP address");
	fd = socket(address->any.sa_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd < 0)
		return jh_error_set(err, JH_ERR_SYSTEM, "socket: %s", g_strerror(errno));
	return fd;
}

int jh_socket_listen(const jh_address_t *address, const char *what, jh_error_t *err)
{
	socket_address_t local;
	socklen_t length;
	const int on = 1;
	int fd = socket_new(address->host, address->port, &local, &length, err);

	if (fd < 0)
		return -1;
	(void)setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(fd, &local.any, length) < 0 || listen(fd, LISTEN_BACKLOG) < 0) {
		jh_error_set(err, JH_ERR_SYSTEM, "%s %s:%u: %s", what, address->host, address->port,
			     g_strerror(errno));
		close(fd);
		return -1;
	}
	return fd;
}

int jh_socket_connect(const char *host, uint16_t port, jh_error_t *err)
{
	socket_address_t remote;
	socklen_t length;
	int fd = socket_new(host, port, &remote, &length, err);

	if (fd < 0)
		return -1;
	if (connect(fd, &remote.any, length) < 0 && errno != EINPROGRESS) {
		jh_error_set(err, JH_ERR_UNAVAILABLE, "connect: %s", g_strerror(errno));
		close(fd);
		return -1;
	}
	return fd;
}

static void tcp_option_set(int fd, int option, int value)
{
	if (value > 0)
		(void)setsockopt(fd, IPPROTO_TCP, option, &value, sizeof(value));
}

void jh_socket_set_options(int fd, const jh_keepalive_t *keepalive)
{
	const int on = 1;

	(void)setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
	tcp_option_set(fd, TCP_NODELAY, 1);
	tcp_option_set(fd, TCP_KEEPIDLE, keepalive->idle_s);
	tcp_option_set(fd, TCP_KEEPINTVL, keepalive->interval_s);
	tcp_option_set(fd, TCP_KEEPCNT, keepalive->count);
	tcp_option_set(fd, TCP_USER_TIMEOUT, (int)keepalive->user_timeout_ms);
}

uint16_t jh_socket_local_port(int fd)
{
	socket_address_t address;
	socklen_t length = sizeof(address);

	memset(&address, 0, sizeof(address));
	if (getsockname(fd, &address.any, &length) < 0)
		return 0;
	/* The port has the same offset in sockaddr_in and sockaddr_in6. */
	return ntohs(address.v4.sin_port);
}
