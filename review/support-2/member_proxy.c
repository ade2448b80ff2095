/*
 * A TCP proxy in front of one member of a service. It tells connections apart by the second word
 * of their START, which names the team, or the daemon's own name for its status requests.
 *
 * A control connection sends commands, one a line, and gets "ok" for each:
 *   cut NAME ...   relay nothing on connections that START as one of these names, new ones
 *                  included; nothing is closed, as on a network that loses every packet
 *   delay MS       send each answer of the member on that much later; 0 ends it
 *   heal           end the cut; connections that were closed meanwhile deliver nothing more
 */

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define PAIRS_MAX 512
#define CONTROLS_MAX 16
#define NAMES_MAX 16
#define NAME_BYTES 64
#define CHUNKS_MAX 256
#define READ_BYTES 65536
#define LINE_BYTES 512

typedef struct chunk {
	char *bytes;
	size_t length;
	int64_t due_ms;
} chunk_t;

/* One direction of a relayed connection. */
typedef struct stream {
	chunk_t chunks[CHUNKS_MAX];
	unsigned first;
	unsigned count;
	bool has_ended;
} stream_t;

typedef struct pair {
	bool is_used;
	int client;
	int member;
	char name[NAME_BYTES];
	char start[LINE_BYTES];
	size_t start_length;
	stream_t to_member;
	stream_t to_client;
} pair_t;

static pair_t pairs[PAIRS_MAX];
static int controls[CONTROLS_MAX];
static char cut_names[NAMES_MAX][NAME_BYTES];
static unsigned cut_count;
static int64_t delay_ms;

static int64_t now_ms(void)
{
	struct timespec time;

	clock_gettime(CLOCK_MONOTONIC, &time);
	return (int64_t)time.tv_sec * 1000 + time.tv_nsec / 1000000;
}

static struct sockaddr_in loopback(unsigned port)
{
	struct sockaddr_in address = { .sin_family = AF_INET, .sin_port = htons((uint16_t)port) };

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	return address;
}

static int listen_on_free_port(unsigned *port)
{
	struct sockaddr_in address = loopback(0);
	socklen_t length = sizeof(address);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	if (fd < 0 || bind(fd, (struct sockaddr *)&address, length) < 0 || listen(fd, 128) < 0 ||
	    getsockname(fd, (struct sockaddr *)&address, &length) < 0)
		return -1;
	*port = ntohs(address.sin_port);
	return fd;
}

static bool is_cut(const pair_t *pair)
{
	unsigned i;

	for (i = 0; i < cut_count; i++) {
		if (strcmp(cut_names[i], pair->name) == 0)
			return true;
	}
	return false;
}

static void stream_clear(stream_t *stream)
{
	while (stream->count > 0) {
		free(stream->chunks[stream->first].bytes);
		stream->first = (stream->first + 1) % CHUNKS_MAX;
		stream->count--;
	}
}

static void pair_close(pair_t *pair)
{
	stream_clear(&pair->to_member);
	stream_clear(&pair->to_client);
	close(pair->client);
	close(pair->member);
	memset(pair, 0, sizeof(*pair));
}

/* Notes the second word of START, which may arrive in several parts. */
static void note_name(pair_t *pair, const char *bytes, size_t length)
{
	char word[NAME_BYTES];

	if (pair->name[0])
		return;
	if (length > sizeof(pair->start) - 1 - pair->start_length)
		length = sizeof(pair->start) - 1 - pair->start_length;
	memcpy(pair->start + pair->start_length, bytes, length);
	pair->start_length += length;
	if (strstr(pair->start, "\r\n") && sscanf(pair->start, "START %*s %63s", word) == 1)
		snprintf(pair->name, sizeof(pair->name), "%s", word);
}

static void stream_read(pair_t *pair, stream_t *stream, int fd, int64_t wait_ms)
{
	static char buffer[READ_BYTES];
	chunk_t *chunk;
	ssize_t count = recv(fd, buffer, sizeof(buffer), MSG_DONTWAIT);

	if (count < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (count <= 0) {
		stream->has_ended = true;
		return;
	}
	if (fd == pair->client)
		note_name(pair, buffer, (size_t)count);
	chunk = &stream->chunks[(stream->first + stream->count++) % CHUNKS_MAX];
	*chunk = (chunk_t){ malloc((size_t)count), (size_t)count, now_ms() + wait_ms };
	memcpy(chunk->bytes, buffer, (size_t)count);
}

/* Return: false if the connection broke */
static bool stream_write(stream_t *stream, int fd)
{
	while (stream->count > 0 && stream->chunks[stream->first].due_ms <= now_ms()) {
		chunk_t *chunk = &stream->chunks[stream->first];
		ssize_t count = send(fd, chunk->bytes, chunk->length, MSG_NOSIGNAL | MSG_DONTWAIT);

		if (count < 0)
			return errno == EAGAIN || errno == EINTR;
		memmove(chunk->bytes, chunk->bytes + count, chunk->length - (size_t)count);
		chunk->length -= (size_t)count;
		if (chunk->length > 0)
			return true;
		free(chunk->bytes);
		stream->first = (stream->first + 1) % CHUNKS_MAX;
		stream->count--;
	}
	return true;
}

static void pair_step(pair_t *pair)
{
	bool is_open;

	/* Behind the cut, what a side that has closed had sent is lost. */
	if (is_cut(pair)) {
		if (pair->to_member.has_ended)
			pair_close(pair);
		return;
	}
	is_open = stream_write(&pair->to_member, pair->member) &&
		  stream_write(&pair->to_client, pair->client);
	if (!is_open || (pair->to_member.has_ended && pair->to_member.count == 0) ||
	    (pair->to_client.has_ended && pair->to_client.count == 0))
		pair_close(pair);
}

static void accept_pair(int listener, unsigned target)
{
	struct sockaddr_in address = loopback(target);
	int client = accept(listener, NULL, NULL);
	int member = socket(AF_INET, SOCK_STREAM, 0);
	unsigned i;

	for (i = 0; i < PAIRS_MAX && pairs[i].is_used; i++)
		continue;
	if (client < 0 || member < 0 || i == PAIRS_MAX ||
	    connect(member, (struct sockaddr *)&address, sizeof(address)) < 0) {
		close(client);
		close(member);
		return;
	}
	setsockopt(client, IPPROTO_TCP, TCP_NODELAY, &(int){ 1 }, sizeof(int));
	setsockopt(member, IPPROTO_TCP, TCP_NODELAY, &(int){ 1 }, sizeof(int));
	pairs[i].is_used = true;
	pairs[i].client = client;
	pairs[i].member = member;
}

static void run_command(char *line)
{
	char *word = strtok(line, " \r\n");

	if (word && strcmp(word, "delay") == 0) {
		word = strtok(NULL, " \r\n");
		delay_ms = word ? atoi(word) : 0;
		return;
	}
	if (word && strcmp(word, "heal") == 0)
		cut_count = 0;
	if (!word || strcmp(word, "cut") != 0)
		return;
	while ((word = strtok(NULL, " \r\n")) && cut_count < NAMES_MAX)
		snprintf(cut_names[cut_count++], NAME_BYTES, "%s", word);
}

static void handle_control(int *fd)
{
	char line[LINE_BYTES];
	ssize_t count = recv(*fd, line, sizeof(line) - 1, MSG_DONTWAIT);

	if (count < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (count <= 0) {
		close(*fd);
		*fd = 0;
		return;
	}
	line[count] = '\0';
	run_command(line);
	(void)!write(*fd, "ok\n", 3);
}

static unsigned add_poll(struct pollfd *polls, unsigned count, int fd)
{
	polls[count] = (struct pollfd){ .fd = fd, .events = POLLIN };
	return count + 1;
}

static void step(int listener, int control, unsigned target)
{
	static struct pollfd polls[2 + CONTROLS_MAX + 2 * PAIRS_MAX];
	unsigned count = 0;
	unsigned i;

	count = add_poll(polls, count, listener);
	count = add_poll(polls, count, control);
	for (i = 0; i < CONTROLS_MAX; i++) {
		if (controls[i])
			count = add_poll(polls, count, controls[i]);
	}
	for (i = 0; i < PAIRS_MAX; i++) {
		pair_t *pair = &pairs[i];

		if (pair->is_used && !pair->to_member.has_ended &&
		    pair->to_member.count < CHUNKS_MAX)
			count = add_poll(polls, count, pair->client);
		if (pair->is_used && !pair->to_client.has_ended &&
		    pair->to_client.count < CHUNKS_MAX)
			count = add_poll(polls, count, pair->member);
	}
	poll(polls, count, 2);
	if (polls[0].revents)
		accept_pair(listener, target);
	if (polls[1].revents) {
		for (i = 0; i < CONTROLS_MAX - 1 && controls[i]; i++)
			continue;
		controls[i] = accept(control, NULL, NULL);
	}
	for (i = 0; i < CONTROLS_MAX; i++) {
		if (controls[i])
			handle_control(&controls[i]);
	}
	for (i = 0; i < PAIRS_MAX; i++) {
		pair_t *pair = &pairs[i];

		if (!pair->is_used)
			continue;
		if (!pair->to_member.has_ended && pair->to_member.count < CHUNKS_MAX)
			stream_read(pair, &pair->to_member, pair->client, 0);
		if (!pair->to_client.has_ended && pair->to_client.count < CHUNKS_MAX)
			stream_read(pair, &pair->to_client, pair->member, delay_ms);
		pair_step(pair);
	}
}

int main(int argc, char **argv)
{
	unsigned port;
	unsigned control_port;
	int listener = listen_on_free_port(&port);
	int control = listen_on_free_port(&control_port);

	if (argc != 2 || listener < 0 || control < 0) {
		fprintf(stderr, "usage: member_proxy TARGET-PORT\n");
		return 2;
	}
	printf("listening port=%u control=%u\n", port, control_port);
	fflush(stdout);
	while (true)
		step(listener, control, (unsigned)atoi(argv[1]));
}
