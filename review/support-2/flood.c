/*
 * Opens sessions to a daemon and sends a READ and then many short statements on each at once,
 * without waiting for the answers, which it reads and drops.
 *
 * Usage: flood PORT DATABASE KEY CONNECTIONS STATEMENTS SECONDS
 */

#include <arpa/inet.h>
#include <errno.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define CONNECTIONS_MAX 64
#define BYTES_MAX (2u * 1024 * 1024)

typedef struct connection {
	int fd;
	const char *bytes;
	size_t left;
	size_t received;
} connection_t;

static double now_s(void)
{
	struct timespec time;

	clock_gettime(CLOCK_MONOTONIC, &time);
	return (double)time.tv_sec + (double)time.tv_nsec / 1e9;
}

static int open_session(int port, const char *database, const char *key)
{
	struct sockaddr_in address = { .sin_family = AF_INET, .sin_port = htons((uint16_t)port) };
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	char line[256];

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	snprintf(line, sizeof(line), "START %s %s\r\n", database, key);
	if (fd < 0 || connect(fd, (struct sockaddr *)&address, sizeof(address)) < 0 ||
	    send(fd, line, strlen(line), MSG_NOSIGNAL) < 0 || recv(fd, line, sizeof(line), 0) < 5 ||
	    memcmp(line, "READY", 5) != 0)
		return -1;
	return fd;
}

static void step(connection_t *connection, short events)
{
	static char buffer[65536];
	ssize_t count;

	if (events & (POLLIN | POLLHUP | POLLERR)) {
		count = recv(connection->fd, buffer, sizeof(buffer), MSG_DONTWAIT);
		if (count == 0 || (count < 0 && errno != EAGAIN && errno != EINTR)) {
			close(connection->fd);
			connection->fd = -1;
			return;
		}
		connection->received += count > 0 ? (size_t)count : 0;
	}
	if (events & POLLOUT) {
		count = send(connection->fd, connection->bytes, connection->left,
			     MSG_NOSIGNAL | MSG_DONTWAIT);
		if (count > 0) {
			connection->bytes += count;
			connection->left -= (size_t)count;
		}
	}
}

int main(int argc, char **argv)
{
	static char bytes[BYTES_MAX];
	static const char first[] = "QUERY f1 READ item\r\n";
	static const char rest[] = "QUERY f2 SET a b\r\n";
	connection_t connections[CONNECTIONS_MAX] = { 0 };
	int count = argc == 7 ? atoi(argv[4]) : 0;
	int statements = argc == 7 ? atoi(argv[5]) : 0;
	size_t length = sizeof(first) - 1 + (size_t)statements * (sizeof(rest) - 1);
	double until_s;
	int i;

	if (count < 1 || count > CONNECTIONS_MAX || length > BYTES_MAX)
		return 2;
	memcpy(bytes, first, sizeof(first) - 1);
	for (i = 0; i < statements; i++)
		memcpy(bytes + sizeof(first) - 1 + (size_t)i * (sizeof(rest) - 1), rest,
		       sizeof(rest) - 1);
	for (i = 0; i < count; i++) {
		connections[i].fd = open_session(atoi(argv[1]), argv[2], argv[3]);
		if (connections[i].fd < 0)
			return 2;
		connections[i].bytes = bytes;
		connections[i].left = length;
	}
	printf("sending bytes=%zu connections=%d\n", length, count);
	fflush(stdout);
	until_s = now_s() + atof(argv[6]);
	while (now_s() < until_s) {
		struct pollfd polls[CONNECTIONS_MAX];

		for (i = 0; i < count; i++)
			polls[i] = (struct pollfd){
				.fd = connections[i].fd,
				.events = (short)(POLLIN | (connections[i].left ? POLLOUT : 0))
			};
		poll(polls, (nfds_t)count, 100);
		for (i = 0; i < count; i++) {
			if (connections[i].fd >= 0)
				step(&connections[i], polls[i].revents);
		}
	}
	for (i = 0; i < count; i++)
		printf("connection=%d unsent=%zu received=%zu open=%d\n", i, connections[i].left,
		       connections[i].received, connections[i].fd >= 0);
	fflush(stdout);
	return 0;
}
