/*
 * A client that prepares statements with long shapes in one session, each after the answer to the
 * one before, until the connection ends or all are prepared. Prints how many were acknowledged.
 *
 * Usage: prepare PORT DATABASE KEY STATEMENTS SHAPE-BYTES
 */

#include <arpa/inet.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* Receives until READY with its line end. */
static bool receive_ready(int fd)
{
	char buffer[512];
	size_t length = 0;

	while (length < sizeof(buffer) - 1) {
		const char *ready;
		ssize_t count = recv(fd, buffer + length, sizeof(buffer) - 1 - length, 0);

		if (count <= 0)
			return false;
		length += (size_t)count;
		buffer[length] = '\0';
		ready = strstr(buffer, "READY ");
		if (ready && strstr(ready, "\r\n"))
			return strncmp(buffer, "ERR", 3) != 0;
	}
	return false;
}

static bool send_all(int fd, const char *bytes, size_t length)
{
	while (length > 0) {
		ssize_t count = send(fd, bytes, length, MSG_NOSIGNAL);

		if (count <= 0)
			return false;
		bytes += count;
		length -= (size_t)count;
	}
	return true;
}

/* A message has 1 MiB at most. */
#define SHAPE_MAX_BYTES (1024u * 1024 - 256)

int main(int argc, char **argv)
{
	static char line[1024u * 1024];
	struct sockaddr_in address = { .sin_family = AF_INET };
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	int statements = argc == 6 ? atoi(argv[4]) : 0;
	size_t shape_bytes = argc == 6 ? (size_t)atoi(argv[5]) : 0;
	int done = 0;

	if (statements < 1 || shape_bytes > SHAPE_MAX_BYTES)
		return 2;
	address.sin_port = htons((uint16_t)atoi(argv[1]));
	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	snprintf(line, 256, "START %s %s\r\n", argv[2], argv[3]);
	if (connect(fd, (struct sockaddr *)&address, sizeof(address)) < 0 ||
	    !send_all(fd, line, strlen(line)) || !receive_ready(fd)) {
		printf("no session\n");
		return 1;
	}
	while (done < statements) {
		size_t length =
			(size_t)sprintf(line, "QUERY p%d PREPARE s%d READ q%d_", done, done, done);

		memset(line + length, 'x', shape_bytes);
		line[length + shape_bytes] = '\r';
		line[length + shape_bytes + 1] = '\n';
		if (!send_all(fd, line, length + shape_bytes + 2) || !receive_ready(fd))
			break;
		done++;
	}
	printf("prepared=%d of=%d\n", done, statements);
	return 0;
}
