#include "jh_listen.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

/* Room for the connections of a whole fleet, or of many callers, that come at once. */
#define LISTEN_BACKLOG 1024

int jh_address_listen(const jh_address_t *address, const char *what, jh_error_t *err)
{
	struct sockaddr_in v4 = { .sin_family = AF_INET, .sin_port = htons(address->port) };
	struct sockaddr_in6 v6 = { .sin6_family = AF_INET6, .sin6_port = htons(address->port) };
	bool is_v4 = inet_pton(AF_INET, address->host, &v4.sin_addr) == 1;
	int on = 1;
	int fd = socket(is_v4 ? AF_INET : AF_INET6, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	if (fd < 0)
		return jh_error_set(err, JH_ERR_SYSTEM, "socket: %s", g_strerror(errno));
	if (!is_v4)
		inet_pton(AF_INET6, address->host, &v6.sin6_addr);
	(void)setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(fd, is_v4 ? (struct sockaddr *)&v4 : (struct sockaddr *)&v6,
		 is_v4 ? sizeof(v4) : sizeof(v6)) < 0 ||
	    listen(fd, LISTEN_BACKLOG) < 0) {
		jh_error_set(err, JH_ERR_SYSTEM, "%s %s:%u: %s", what, address->host, address->port,
			     g_strerror(errno));
		close(fd);
		return -1;
	}
	return fd;
}
