/*
 * Stand-in of the three members of one service with synchronous replicas: a write is acknowledged
 * once one replica has received it. Members speak the line protocol, one port each; POST /promote
 * is served on a port of its own. Reads and single writes only: no transactions, no prepared
 * statements.
 *
 * Usage: sync_members SERVICE LAG-MS LAG-MS LAG-MS (of m-1, the first primary, m-2 and m-3: how
 * long a commit is on its way to the member)
 *
 * A control connection sends commands, one a line:
 *   dark ID ...   the members neither send nor receive anything; "ok"
 *   deaf ID ...   the members receive no commits; "ok"
 *   hear ID ...   they do again; "ok"
 *   wake ID ...   they have started again, with their logs; their connections are closed; "ok"
 *   log ID        the ids of the writes in the member's log, on one line
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

#define MEMBERS 3
#define CONNECTIONS_MAX 256
#define COMMITS_MAX 100000
#define BUFFER_BYTES 8192
#define PROMOTION_MS 600
/* A primary of an earlier term ends this long after it can reach the new one. */
#define STEP_DOWN_MS 1000

typedef struct commit {
	char id[64];
	char item[64];
	char data[64];
	unsigned term;
	int64_t at_ms;
} commit_t;

typedef struct member {
	char id[16];
	int listener;
	unsigned port;
	bool is_dark;
	bool is_deaf;
	bool is_primary;
	unsigned term;
	int64_t lag_ms;
	/* Indexes of commits[]. */
	int *log;
	int length;
	int64_t promoted_at_ms;
	int64_t reaches_new_ms;
} member_t;

typedef struct connection {
	/* NULL: the port of promotions, or of control. */
	member_t *member;
	size_t length;
	int fd;
	/* Length that the log of a replica must have before the write is answered; 0: none waits.
	 */
	int awaits_length;
	bool is_http;
	bool is_started;
	char in[BUFFER_BYTES];
} connection_t;

static member_t members[MEMBERS];
static connection_t connections[CONNECTIONS_MAX];
static commit_t commits[COMMITS_MAX];
static int commit_count;
static unsigned long signatures;
static const char *service;

static int64_t now_ms(void)
{
	struct timespec time;

	clock_gettime(CLOCK_MONOTONIC, &time);
	return (int64_t)time.tv_sec * 1000 + time.tv_nsec / 1000000;
}

static int listen_on_free_port(unsigned *port)
{
	struct sockaddr_in address = { .sin_family = AF_INET };
	socklen_t length = sizeof(address);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	if (fd < 0 || bind(fd, (struct sockaddr *)&address, length) < 0 || listen(fd, 128) < 0 ||
	    getsockname(fd, (struct sockaddr *)&address, &length) < 0)
		exit(2);
	*port = ntohs(address.sin_port);
	return fd;
}

static member_t *find_member(const char *id)
{
	int i;

	for (i = 0; i < MEMBERS; i++) {
		if (strcmp(members[i].id, id) == 0)
			return &members[i];
	}
	return NULL;
}

static void put(int fd, const char *text)
{
	(void)!send(fd, text, strlen(text), MSG_NOSIGNAL);
}

static void put_ready(const connection_t *connection, char *out)
{
	const member_t *member = connection->member;

	sprintf(out + strlen(out), "READY I %u.%d\r\n",
		member->length ? commits[member->log[member->length - 1]].term : 1, member->length);
}

/* ---- replication and promotion ---- */

static member_t *newest_primary(void)
{
	member_t *newest = NULL;
	int i;

	for (i = 0; i < MEMBERS; i++) {
		if (members[i].is_primary && (!newest || members[i].term > newest->term))
			newest = &members[i];
	}
	return newest;
}

static void receive(member_t *member, const member_t *primary)
{
	int kept = member->length < primary->length ? member->length : primary->length;

	while (kept > 0 && member->log[kept - 1] != primary->log[kept - 1])
		kept--;
	member->length = kept;
	member->term = primary->term;
	while (member->length < primary->length &&
	       now_ms() - commits[primary->log[member->length]].at_ms >= member->lag_ms) {
		member->log[member->length] = primary->log[member->length];
		member->length++;
	}
}

static void promote_if_due(member_t *member)
{
	unsigned term = 0;
	int i;

	if (!member->promoted_at_ms || now_ms() < member->promoted_at_ms || member->is_dark)
		return;
	for (i = 0; i < MEMBERS; i++)
		term = members[i].term > term ? members[i].term : term;
	member->promoted_at_ms = 0;
	member->is_primary = true;
	member->term = term + 1;
	printf("promoted id=%s term=%u received=%d\n", member->id, member->term, member->length);
	fflush(stdout);
}

static void replicate(void)
{
	member_t *primary;
	int i;

	for (i = 0; i < MEMBERS; i++)
		promote_if_due(&members[i]);
	primary = newest_primary();
	for (i = 0; primary && i < MEMBERS; i++) {
		member_t *member = &members[i];

		if (member == primary || member->is_dark || primary->is_dark)
			continue;
		if (!member->is_primary) {
			if (!member->is_deaf)
				receive(member, primary);
		} else if (!member->reaches_new_ms) {
			member->reaches_new_ms = now_ms();
		} else if (now_ms() - member->reaches_new_ms >= STEP_DOWN_MS) {
			member->is_primary = false;
			member->reaches_new_ms = 0;
		}
	}
}

static void answer_if_received(connection_t *connection)
{
	char out[256] = "";
	int i;

	if (!connection->awaits_length || connection->member->is_dark)
		return;
	for (i = 0; i < MEMBERS; i++) {
		const member_t *member = &members[i];

		if (member == connection->member || member->is_dark ||
		    member->length < connection->awaits_length)
			continue;
		connection->awaits_length = 0;
		sprintf(out, "DONE sig%lu\r\n", ++signatures);
		put_ready(connection, out);
		put(connection->fd, out);
		return;
	}
}

/* ---- statements ---- */

static void answer_status(connection_t *connection, char *out)
{
	const member_t *member = connection->member;

	sprintf(out, "ROW %s %u %u.%d 0 0 0 1\r\nDONE -\r\n",
		member->is_primary ? "primary" : "replica", member->term,
		member->length ? commits[member->log[member->length - 1]].term : 1, member->length);
	put_ready(connection, out);
	put(connection->fd, out);
}

static void run_write(connection_t *connection, const char *id, const char *item, const char *data)
{
	member_t *member = connection->member;
	commit_t *commit = &commits[commit_count];

	if (commit_count == COMMITS_MAX)
		exit(2);
	*commit = (commit_t){ .term = member->term, .at_ms = now_ms() };
	snprintf(commit->id, sizeof(commit->id), "%s", id);
	snprintf(commit->item, sizeof(commit->item), "%s", item);
	snprintf(commit->data, sizeof(commit->data), "%s", data);
	member->log[member->length++] = commit_count++;
	connection->awaits_length = member->length;
}

static void run_read(connection_t *connection, const char *item, char *out)
{
	const member_t *member = connection->member;
	int i;

	for (i = member->length - 1; i >= 0 && strcmp(commits[member->log[i]].item, item) != 0; i--)
		continue;
	if (i >= 0)
		sprintf(out, "ROW %s\r\n", commits[member->log[i]].data);
	sprintf(out + strlen(out), "DONE sig%lu\r\n", ++signatures);
	put_ready(connection, out);
	put(connection->fd, out);
}

static void put_result(connection_t *connection, const char *result)
{
	char out[256];

	snprintf(out, sizeof(out) - 64, "%s\r\n", result);
	put_ready(connection, out);
	put(connection->fd, out);
}

static void handle_query(connection_t *connection, const char *text, const char *id)
{
	member_t *member = connection->member;
	char out[512] = "";
	char item[64];
	char data[64];
	unsigned term;

	if (strcmp(text, "STATUS") == 0) {
		answer_status(connection, out);
	} else if (sscanf(text, "STEP%*s %u", &term) == 1) { /* step down, with the term */
		if (member->is_primary && member->term < term)
			member->is_primary = false;
		answer_status(connection, out);
	} else if (sscanf(text, "WRITE %63s %63s", item, data) == 2) {
		if (member->is_primary)
			run_write(connection, id, item, data);
		else
			put_result(connection, "ERR READONLY replica");
	} else if (sscanf(text, "READ %63s", item) == 1) {
		run_read(connection, item, out);
	} else if (strcmp(text, "RESET") == 0 || strcmp(text, "ROLLBACK") == 0) {
		put_result(connection, "DONE -");
	} else {
		put_result(connection, "ERR BADMSG not known here");
	}
}

static void handle_member_line(connection_t *connection, char *line)
{
	char word[16] = "";
	char first[64] = "";
	int used = 0;

	sscanf(line, "%15s %63s %n", word, first, &used);
	if (strcmp(word, "START") == 0) {
		char out[64] = "";

		connection->is_started = strcmp(first, service) == 0;
		if (connection->is_started)
			put_ready(connection, out);
		put(connection->fd, connection->is_started ? out : "ERR MISROUTED service\r\n");
	} else if (strcmp(word, "QUERY") == 0 && used > 0) {
		handle_query(connection, line + used, first);
	}
}

static void handle_control_line(connection_t *connection, char *line)
{
	char *word = strtok(line, " ");
	bool is_dark = word && strcmp(word, "dark") == 0;
	bool is_deaf = word && strcmp(word, "deaf") == 0;
	bool is_wake = word && strcmp(word, "wake") == 0;
	bool is_log = word && strcmp(word, "log") == 0;
	int i;

	while ((word = strtok(NULL, " "))) {
		member_t *member = find_member(word);

		for (i = 0; member && is_log && i < member->length; i++) {
			put(connection->fd, commits[member->log[i]].id);
			put(connection->fd, " ");
		}
		if (!member || is_log)
			continue;
		member->is_dark = is_dark;
		member->is_deaf = is_deaf;
		for (i = 0; is_wake && i < CONNECTIONS_MAX; i++) {
			if (connections[i].fd && connections[i].member == member) {
				close(connections[i].fd);
				connections[i].fd = 0;
			}
		}
	}
	put(connection->fd, is_log ? "\n" : "ok\n");
}

static void handle_promote(connection_t *connection)
{
	const char *body = strstr(connection->in, "\r\n\r\n");
	const char *id = body ? strstr(body, "\"id\"") : NULL;
	member_t *member;
	char name[16];

	if (!id || !strchr(id, '}') || sscanf(id, "\"id\" : \"%15[^\"]", name) != 1)
		return;
	member = find_member(name);
	printf("promote id=%s\n", name);
	fflush(stdout);
	if (member && !member->is_dark && !member->is_primary && !member->promoted_at_ms)
		member->promoted_at_ms = now_ms() + PROMOTION_MS;
	put(connection->fd,
	    member && !member->is_dark ?
		    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\n{}" :
		    "HTTP/1.1 409 Conflict\r\nContent-Length: 2\r\nConnection: close\r\n\r\n{}");
	connection->length = 0;
}

/* ---- connections ---- */

static void handle_input(connection_t *connection)
{
	char *end;

	if (connection->is_http) {
		handle_promote(connection);
		return;
	}
	while ((end = strchr(connection->in, '\n'))) {
		size_t used = (size_t)(end + 1 - connection->in);

		*end = '\0';
		if (end > connection->in && end[-1] == '\r')
			end[-1] = '\0';
		if (connection->member)
			handle_member_line(connection, connection->in);
		else
			handle_control_line(connection, connection->in);
		memmove(connection->in, connection->in + used, connection->length - used + 1);
		connection->length -= used;
	}
}

static void read_input(connection_t *connection)
{
	ssize_t count = recv(connection->fd, connection->in + connection->length,
			     sizeof(connection->in) - 1 - connection->length, MSG_DONTWAIT);

	if (count < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (count <= 0) {
		close(connection->fd);
		connection->fd = 0;
		return;
	}
	connection->length += (size_t)count;
	connection->in[connection->length] = '\0';
	handle_input(connection);
}

static void accept_connection(int listener, member_t *member, bool is_http)
{
	int i;

	for (i = 0; i < CONNECTIONS_MAX && connections[i].fd; i++)
		continue;
	if (i == CONNECTIONS_MAX)
		exit(2);
	memset(&connections[i], 0, sizeof(connections[i]));
	connections[i].fd = accept(listener, NULL, NULL);
	connections[i].member = member;
	connections[i].is_http = is_http;
	setsockopt(connections[i].fd, IPPROTO_TCP, TCP_NODELAY, &(int){ 1 }, sizeof(int));
}

static void step(int promotions, int control)
{
	struct pollfd polls[MEMBERS + 2 + CONNECTIONS_MAX];
	int i;

	for (i = 0; i < MEMBERS; i++)
		polls[i] = (struct pollfd){ .fd = members[i].is_dark ? -1 : members[i].listener,
					    .events = POLLIN };
	polls[MEMBERS] = (struct pollfd){ .fd = promotions, .events = POLLIN };
	polls[MEMBERS + 1] = (struct pollfd){ .fd = control, .events = POLLIN };
	for (i = 0; i < CONNECTIONS_MAX; i++) {
		const connection_t *connection = &connections[i];
		bool is_dark = connection->member && connection->member->is_dark;

		polls[MEMBERS + 2 + i] =
			(struct pollfd){ .fd = connection->fd && !is_dark ? connection->fd : -1,
					 .events = POLLIN };
	}
	poll(polls, MEMBERS + 2 + CONNECTIONS_MAX, 1);
	for (i = 0; i < CONNECTIONS_MAX; i++) {
		if (polls[MEMBERS + 2 + i].revents && connections[i].fd)
			read_input(&connections[i]);
	}
	for (i = 0; i < MEMBERS; i++) {
		if (polls[i].revents)
			accept_connection(members[i].listener, &members[i], false);
	}
	if (polls[MEMBERS].revents)
		accept_connection(promotions, NULL, true);
	if (polls[MEMBERS + 1].revents)
		accept_connection(control, NULL, false);
	replicate();
	for (i = 0; i < CONNECTIONS_MAX; i++) {
		if (connections[i].fd)
			answer_if_received(&connections[i]);
	}
}

int main(int argc, char **argv)
{
	unsigned promote_port;
	unsigned control_port;
	int promotions = listen_on_free_port(&promote_port);
	int control = listen_on_free_port(&control_port);
	int i;

	if (argc != 2 + MEMBERS)
		return 2;
	service = argv[1];
	for (i = 0; i < MEMBERS; i++) {
		snprintf(members[i].id, sizeof(members[i].id), "m-%d", i + 1);
		members[i].listener = listen_on_free_port(&members[i].port);
		members[i].lag_ms = atoi(argv[2 + i]);
		members[i].is_primary = i == 0;
		members[i].term = 1;
		members[i].log = calloc(COMMITS_MAX, sizeof(int));
	}
	printf("listening m1=%u m2=%u m3=%u promote=%u control=%u\n", members[0].port,
	       members[1].port, members[2].port, promote_port, control_port);
	fflush(stdout);
	while (true)
		step(promotions, control);
}
