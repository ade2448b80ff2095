/*
 * Callers that send many statements without a wait for the answers, and one that measures.
 *
 *   callers --port P --ready P --route R --key K --count N --flood 1|0 --ms N
 *
 * Each of the N callers opens a session. With --flood 1 it sends a read, and behind it as many
 * lines that are no statement as fit into 1 MiB, and reads all answers. Meanwhile another caller
 * opens a session every 100 ms, and the readiness is asked once a second. The longest times without
 * an answer are printed.
 */

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define CALLERS_MAX 64u
#define FLOOD_BYTES (1024u * 1024 - 4096)
#define MEASURE_INTERVAL_MS 100
#define READY_INTERVAL_MS 1000

static unsigned port;
static unsigned ready_port;
static const char *route = "";
static const char *key = "";
static bool is_flood;
static long long began_ms;
static long long duration_ms = 10000;

static long long now_ms(void)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return (long long)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

static void sleep_ms(long ms)
{
	const struct timespec time = { .tv_sec = ms / 1000, .tv_nsec = ms % 1000 * 1000000 };

	nanosleep(&time, NULL);
}

static int connect_to(unsigned to_port)
{
	const struct sockaddr_in address = { .sin_family = AF_INET,
					     .sin_port = htons((uint16_t)to_port),
					     .sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	int one = 1;

	if (connect(fd, (const struct sockaddr *)&address, sizeof(address)) < 0) {
		close(fd);
		return -1;
	}
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	return fd;
}

static bool send_all(int fd, const char *bytes, size_t length)
{
	size_t sent = 0;

	while (sent < length) {
		ssize_t count = send(fd, bytes + sent, length - sent, MSG_NOSIGNAL);

		if (count <= 0)
			return false;
		sent += (size_t)count;
	}
	return true;
}

/* Return: a session whose START was answered with READY; -1 if it was not */
static int open_session(void)
{
	char text[256];
	int fd = connect_to(port);
	int length = snprintf(text, sizeof(text), "START %s %s\r\n", route, key);
	ssize_t count;

	if (fd < 0)
		return -1;
	send_all(fd, text, (size_t)length);
	count = recv(fd, text, sizeof(text), 0);
	if (count >= 5 && strncmp(text, "READY", 5) == 0)
		return fd;
	close(fd);
	return -1;
}

static void *run_flood(void *data)
{
	static const char statement[] = "QUERY a b\r\n";
	static const char read[] = "QUERY 5c0e7a21d94b3701 READ order-0412\r\n";
	char *bytes = malloc(FLOOD_BYTES);
	char answers[65536];
	size_t length = strlen(read);
	unsigned long long received = 0;
	int fd = (int)(intptr_t)data;

	memcpy(bytes, read, length);
	while (length + strlen(statement) <= FLOOD_BYTES) {
		memcpy(bytes + length, statement, strlen(statement));
		length += strlen(statement);
	}
	send_all(fd, bytes, length);
	printf("%lld flood sent bytes=%zu\n", now_ms() - began_ms, length);
	while (now_ms() - began_ms < duration_ms) {
		ssize_t count = recv(fd, answers, sizeof(answers), 0);

		if (count <= 0)
			break;
		received += (unsigned long long)count;
	}
	printf("%lld flood received bytes=%llu\n", now_ms() - began_ms, received);
	free(bytes);
	return NULL;
}

static void *run_ready(void *data)
{
	static const char request[] = "GET /v1/readyz HTTP/1.1\r\nHost: x\r\n\r\n";
	long long longest_ms = 0;

	(void)data;
	while (now_ms() - began_ms < duration_ms) {
		long long sent_ms = now_ms();
		char answer[256];
		int fd = connect_to(ready_port);
		ssize_t count = -1;

		if (fd >= 0) {
			send_all(fd, request, strlen(request));
			count = recv(fd, answer, sizeof(answer), 0);
			close(fd);
		}
		if (now_ms() - sent_ms > longest_ms)
			longest_ms = now_ms() - sent_ms;
		printf("%lld readiness took_ms=%lld status=%.3s\n", now_ms() - began_ms,
		       now_ms() - sent_ms, count > 12 ? answer + 9 : "-");
		if (now_ms() - sent_ms < READY_INTERVAL_MS)
			sleep_ms((long)(READY_INTERVAL_MS - (now_ms() - sent_ms)));
	}
	printf("longest_ready_ms=%lld\n", longest_ms);
	return NULL;
}

static void measure_sessions(void)
{
	long long longest_ms = 0;

	while (now_ms() - began_ms < duration_ms) {
		long long sent_ms = now_ms();
		int fd = open_session();
		long long took_ms = now_ms() - sent_ms;

		if (took_ms > longest_ms)
			longest_ms = took_ms;
		if (took_ms > 200)
			printf("%lld session took_ms=%lld opened=%d\n", now_ms() - began_ms,
			       took_ms, fd >= 0);
		if (fd >= 0)
			close(fd);
		sleep_ms(MEASURE_INTERVAL_MS);
	}
	printf("longest_start_ms=%lld\n", longest_ms);
}

int main(int argc, char **argv)
{
	pthread_t ready_thread;
	pthread_t threads[CALLERS_MAX];
	int fds[CALLERS_MAX];
	unsigned count = 1;
	unsigned i;
	int arg;

	setvbuf(stdout, NULL, _IOLBF, 0);
	for (arg = 1; arg + 1 < argc; arg += 2) {
		const char *value = argv[arg + 1];

		if (strcmp(argv[arg], "--port") == 0)
			port = (unsigned)strtoul(value, NULL, 10);
		else if (strcmp(argv[arg], "--ready") == 0)
			ready_port = (unsigned)strtoul(value, NULL, 10);
		else if (strcmp(argv[arg], "--route") == 0)
			route = value;
		else if (strcmp(argv[arg], "--key") == 0)
			key = value;
		else if (strcmp(argv[arg], "--count") == 0)
			count = (unsigned)strtoul(value, NULL, 10);
		else if (strcmp(argv[arg], "--flood") == 0)
			is_flood = strcmp(value, "1") == 0;
		else if (strcmp(argv[arg], "--ms") == 0)
			duration_ms = strtoll(value, NULL, 10);
	}
	if (count > CALLERS_MAX)
		count = CALLERS_MAX;
	began_ms = now_ms();
	for (i = 0; i < count; i++)
		fds[i] = open_session();
	pthread_create(&ready_thread, NULL, run_ready, NULL);
	for (i = 0; is_flood && i < count; i++)
		pthread_create(&threads[i], NULL, run_flood, (void *)(intptr_t)fds[i]);
	measure_sessions();
	pthread_join(ready_thread, NULL);
	for (i = 0; i < count; i++) {
		shutdown(fds[i], SHUT_RDWR);
		if (is_flood)
			pthread_join(threads[i], NULL);
		close(fds[i]);
	}
	printf("done\n");
	return 0;
}
