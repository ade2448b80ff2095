/*
 * Stand-ins for a database of the users' platform and for the platform's promotions.
 *
 *   member --id ID --service S --zone Z --port P --peers P,P --store P --role primary|replica
 *   member --control PORT --members ID=PORT,ID=PORT
 *
 * Each database is a process of its own with its log in memory, so that a process that is killed
 * and started again under its id holds and knows nothing of before. A primary sends its whole log
 * to its peers every 20 ms; a replica takes the log of the newest term. What runs is printed.
 */

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define ENTRIES_MAX 4096u
#define WRITES_MAX 16u
#define LINE_BYTES 1024u
#define NAME_BYTES 64u
#define DATA_BYTES 256u
#define PEERS_MAX 8u
#define REPLICATION_MS 20
#define BEAT_MS 1200
#define PROMOTION_MS 600
#define WORK_MS 2

typedef struct entry {
	unsigned term;
	char item[NAME_BYTES];
	char data[DATA_BYTES];
} entry_t;

typedef struct conn {
	int fd;
	char buffer[8 * LINE_BYTES];
	size_t length;
	char state;
	bool is_read_only;
	entry_t writes[WRITES_MAX];
	unsigned write_count;
} conn_t;

typedef struct named_port {
	char name[NAME_BYTES];
	unsigned port;
} named_port_t;

static pthread_mutex_t mutex = PTHREAD_MUTEX_INITIALIZER;
static const char *own_id = "";
static const char *service = "db";
static const char *zone = "";
static unsigned own_port;
/* Words of the users' protocol, which the script knows and gives as arguments. */
enum {
	WORD_COLD,
	WORD_ROLE,
	WORD_LAGGING,
	WORD_STEP_DOWN,
	WORD_COUNT,
};

static const char *words[WORD_COUNT] = { "", "", "", "" };
static unsigned store_port;
static named_port_t peers[PEERS_MAX];
static unsigned peer_count;
static bool is_primary;
static unsigned term;
static entry_t entries[ENTRIES_MAX];
static unsigned entry_count;
static unsigned signatures;
static unsigned sequence;
static long long born_ms;

/* ---- helpers ---- */

static long long wall_ms(void)
{
	struct timespec now;

	clock_gettime(CLOCK_REALTIME, &now);
	return (long long)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

static void sleep_ms(long ms)
{
	const struct timespec time = { .tv_sec = ms / 1000, .tv_nsec = ms % 1000 * 1000000 };

	nanosleep(&time, NULL);
}

static struct sockaddr_in loopback(unsigned port)
{
	return (struct sockaddr_in){ .sin_family = AF_INET,
				     .sin_port = htons((uint16_t)port),
				     .sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
}

static int connect_to(unsigned port)
{
	struct sockaddr_in address = loopback(port);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	if (connect(fd, (struct sockaddr *)&address, sizeof(address)) == 0)
		return fd;
	close(fd);
	return -1;
}

static int listen_on(unsigned port)
{
	struct sockaddr_in address = loopback(port);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	int one = 1;

	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(fd, (struct sockaddr *)&address, sizeof(address)) < 0 || listen(fd, 128) < 0) {
		perror("listen");
		exit(2);
	}
	return fd;
}

static bool send_text(int fd, const char *format, ...) __attribute__((format(printf, 2, 3)));

static bool send_text(int fd, const char *format, ...)
{
	char text[4 * LINE_BYTES];
	size_t sent = 0;
	va_list args;
	int length;

	va_start(args, format);
	length = vsnprintf(text, sizeof(text), format, args);
	va_end(args);
	while (sent < (size_t)length) {
		ssize_t count = send(fd, text + sent, (size_t)length - sent, MSG_NOSIGNAL);

		if (count <= 0)
			return false;
		sent += (size_t)count;
	}
	return true;
}

/* Return: false at the end of the stream */
static bool read_line(conn_t *conn, char *line)
{
	while (true) {
		char *end = memmem(conn->buffer, conn->length, "\r\n", 2);
		ssize_t count;

		if (end) {
			size_t length = (size_t)(end - conn->buffer);

			snprintf(line, LINE_BYTES, "%.*s", (int)length, conn->buffer);
			conn->length -= length + 2;
			memmove(conn->buffer, end + 2, conn->length);
			return true;
		}
		if (conn->length == sizeof(conn->buffer))
			return false;
		count = recv(conn->fd, conn->buffer + conn->length,
			     sizeof(conn->buffer) - conn->length, 0);
		if (count <= 0)
			return false;
		conn->length += (size_t)count;
	}
}

static void start_thread(void *(*run)(void *data), void *data)
{
	pthread_t thread;

	if (pthread_create(&thread, NULL, run, data) == 0)
		pthread_detach(thread);
}

/* Reads "NAME=PORT,..." or "PORT,...". Return: number of ports */
static unsigned parse_ports(char *text, named_port_t *ports)
{
	unsigned count = 0;
	char *rest = NULL;
	char *word;

	for (word = strtok_r(text, ",", &rest); word && count < PEERS_MAX;
	     word = strtok_r(NULL, ",", &rest)) {
		char *equals = strchr(word, '=');

		snprintf(ports[count].name, NAME_BYTES, "%.*s",
			 equals ? (int)(equals - word) : (int)strlen(word), word);
		ports[count].port = (unsigned)strtoul(equals ? equals + 1 : word, NULL, 10);
		count++;
	}
	return count;
}

/* ---- registration and replication ---- */

static void register_member(void)
{
	char body[LINE_BYTES];
	char reply[256];
	int length;
	int fd;

	pthread_mutex_lock(&mutex);
	length = snprintf(body, sizeof(body),
			  "{\"service\":\"%s\",\"addr\":\"127.0.0.1:%u\",\"zone\":\"%s\","
			  "\"version\":\"1\",\"slots\":5,\"state\":\"ready\",\"%s\":0,"
			  "\"seq\":%u,\"%s\":\"%s\",\"born\":%lld}",
			  service, own_port, zone, words[WORD_COLD], ++sequence, words[WORD_ROLE],
			  is_primary ? "primary" : "replica", born_ms);
	pthread_mutex_unlock(&mutex);
	fd = connect_to(store_port);
	if (fd < 0)
		return;
	if (send_text(fd,
		      "PUT /test/row?table=servers&key=%s HTTP/1.1\r\nHost: store\r\n"
		      "Connection: close\r\nContent-Length: %d\r\n\r\n%s",
		      own_id, length, body))
		while (recv(fd, reply, sizeof(reply), 0) > 0)
			continue;
	close(fd);
}

static void *run_beat(void *data)
{
	(void)data;
	while (true) {
		register_member();
		sleep_ms(BEAT_MS);
	}
	return NULL;
}

static void send_log(unsigned port)
{
	int fd = connect_to(port);
	char reply[16];
	unsigned i;

	if (fd < 0)
		return;
	pthread_mutex_lock(&mutex);
	send_text(fd, "LOG %u %u\r\n", term, entry_count);
	for (i = 0; i < entry_count; i++)
		send_text(fd, "%u %s %s\r\n", entries[i].term, entries[i].item, entries[i].data);
	pthread_mutex_unlock(&mutex);
	recv(fd, reply, sizeof(reply), 0);
	close(fd);
}

static void *run_replication(void *data)
{
	unsigned sent_count = 0;
	unsigned rounds = 0;
	unsigned i;

	(void)data;
	while (true) {
		bool must_send;

		sleep_ms(REPLICATION_MS);
		pthread_mutex_lock(&mutex);
		must_send = is_primary && (entry_count != sent_count || ++rounds % 10 == 0);
		sent_count = entry_count;
		pthread_mutex_unlock(&mutex);
		for (i = 0; must_send && i < peer_count; i++)
			send_log(peers[i].port);
	}
	return NULL;
}

/* Takes the log of a primary, unless it is of an earlier term. */
static void receive_log(conn_t *conn, const char *line)
{
	static entry_t received[ENTRIES_MAX];
	unsigned log_term = 0;
	unsigned count = 0;
	char text[LINE_BYTES];
	unsigned i;

	sscanf(line, "LOG %u %u", &log_term, &count);
	pthread_mutex_lock(&mutex);
	for (i = 0; i < count && i < ENTRIES_MAX && read_line(conn, text); i++)
		sscanf(text, "%u %63s %255s", &received[i].term, received[i].item,
		       received[i].data);
	if (i == count && (log_term > term || (log_term == term && !is_primary))) {
		memcpy(entries, received, count * sizeof(*entries));
		entry_count = count;
		term = log_term;
		is_primary = false;
	}
	pthread_mutex_unlock(&mutex);
	send_text(conn->fd, "OK\r\n");
}

static void *run_promotion(void *data)
{
	(void)data;
	sleep_ms(PROMOTION_MS);
	pthread_mutex_lock(&mutex);
	term++;
	is_primary = true;
	printf("%lld promoted member=%s term=%u\n", wall_ms(), own_id, term);
	pthread_mutex_unlock(&mutex);
	register_member();
	return NULL;
}

/* ---- statements ---- */

static void position_text(char *text, size_t size)
{
	if (entry_count == 0)
		snprintf(text, size, "-");
	else
		snprintf(text, size, "%u.%u", entries[entry_count - 1].term, entry_count);
}

/* Return: whether the log lacks the position TERM.NUMBER */
static bool lacks_position(const char *position)
{
	unsigned needed_term = 0;
	unsigned number = 0;
	unsigned last_term = entry_count > 0 ? entries[entry_count - 1].term : 0;

	sscanf(position, "%u.%u", &needed_term, &number);
	return last_term != needed_term ? last_term < needed_term : entry_count < number;
}

static const char *find_data(const conn_t *conn, const char *item)
{
	unsigned i;

	for (i = conn->write_count; i-- > 0;) {
		if (strcmp(conn->writes[i].item, item) == 0)
			return conn->writes[i].data;
	}
	for (i = entry_count; i-- > 0;) {
		if (strcmp(entries[i].item, item) == 0)
			return entries[i].data;
	}
	return "none";
}

static void commit_writes(conn_t *conn)
{
	unsigned i;

	for (i = 0; i < conn->write_count && entry_count < ENTRIES_MAX; i++) {
		entries[entry_count] = conn->writes[i];
		entries[entry_count++].term = term;
	}
	conn->write_count = 0;
}

static bool parse_step_down(const char *text, unsigned *step_down_term)
{
	size_t length = strlen(words[WORD_STEP_DOWN]);

	return strncmp(text, words[WORD_STEP_DOWN], length) == 0 &&
	       sscanf(text + length, " %u", step_down_term) == 1;
}

static void put_error(conn_t *conn, const char *code, char *answer, size_t size)
{
	if (conn->state == 'T' && strcmp(code, words[WORD_LAGGING]) != 0)
		conn->state = 'E';
	snprintf(answer, size, "ERR %s %s\r\n", code, own_id);
}

static void put_signed(char *answer, size_t size, const char *row)
{
	snprintf(answer, size, "%s%s%sDONE %s.%lld.%u\r\n", row ? "ROW " : "", row ? row : "",
		 row ? "\r\n" : "", own_id, born_ms, ++signatures);
}

static void put_status(conn_t *conn, char *answer, size_t size)
{
	unsigned last_term = entry_count > 0 ? entries[entry_count - 1].term : 0;

	(void)conn;
	snprintf(answer, size, "ROW %s %u %u.%u 0 2 0 1\r\nDONE -\r\n",
		 is_primary ? "primary" : "replica", term, last_term, entry_count);
}

static void run_write(conn_t *conn, const char *text, char *answer, size_t size)
{
	entry_t *write = &conn->writes[conn->write_count];

	if (!is_primary || conn->is_read_only || conn->write_count == WRITES_MAX) {
		put_error(conn, "READONLY", answer, size);
		return;
	}
	sscanf(text, "WRITE %63s %255s", write->item, write->data);
	conn->write_count++;
	if (conn->state == 'I')
		commit_writes(conn);
	put_signed(answer, size, NULL);
}

static void run_commit(conn_t *conn, char *answer, size_t size)
{
	if (conn->state != 'T') {
		put_error(conn, "BADMSG", answer, size);
	} else if (conn->write_count > 0 && !is_primary) {
		put_error(conn, "READONLY", answer, size);
	} else {
		commit_writes(conn);
		conn->state = 'I';
		put_signed(answer, size, NULL);
	}
}

static void run_statement(conn_t *conn, const char *text, char *answer, size_t size)
{
	char position[NAME_BYTES] = "";
	char item[NAME_BYTES] = "";
	unsigned step_down_term = 0;
	int skipped = 0;

	if (sscanf(text, "AFTER %63s %n", position, &skipped) == 1 && skipped > 0)
		text += skipped;
	if (*position && lacks_position(position)) {
		put_error(conn, words[WORD_LAGGING], answer, size);
	} else if (strcmp(text, "ROLLBACK") == 0) {
		conn->state = 'I';
		conn->write_count = 0;
		snprintf(answer, size, "DONE -\r\n");
	} else if (conn->state == 'E') {
		put_error(conn, "BADMSG", answer, size);
	} else if (strcmp(text, "BEGIN") == 0 && !is_primary) {
		put_error(conn, "READONLY", answer, size);
	} else if (strcmp(text, "BEGIN") == 0 || strcmp(text, "BEGIN READ") == 0) {
		conn->state = 'T';
		conn->is_read_only = text[5] != '\0';
		snprintf(answer, size, "DONE -\r\n");
	} else if (strcmp(text, "COMMIT") == 0) {
		run_commit(conn, answer, size);
	} else if (sscanf(text, "READ %63s", item) == 1) {
		if (conn->state == 'T' && !conn->is_read_only && !is_primary)
			put_error(conn, "READONLY", answer, size);
		else
			put_signed(answer, size, find_data(conn, item));
	} else if (strncmp(text, "WRITE ", 6) == 0) {
		run_write(conn, text, answer, size);
	} else if (strcmp(text, "STATUS") == 0) {
		put_status(conn, answer, size);
	} else if (parse_step_down(text, &step_down_term)) {
		if (is_primary && term < step_down_term) {
			is_primary = false;
			printf("%lld stepped_down member=%s term=%u\n", wall_ms(), own_id, term);
		}
		put_status(conn, answer, size);
	} else {
		snprintf(answer, size, "DONE -\r\n");
	}
	if (conn->state == 'I')
		conn->is_read_only = false;
}

static bool handle_query(conn_t *conn, const char *line)
{
	char id[NAME_BYTES] = "";
	char answer[2 * LINE_BYTES];
	char position[NAME_BYTES];
	int skipped = 0;

	if (sscanf(line, "QUERY %63s %n", id, &skipped) != 1 || skipped == 0)
		return false;
	sleep_ms(WORK_MS);
	pthread_mutex_lock(&mutex);
	run_statement(conn, line + skipped, answer, sizeof(answer));
	position_text(position, sizeof(position));
	if (strcmp(id, "-") != 0)
		printf("%lld ran member=%s born=%lld role=%s id=%s text=\"%s\" log=%s answer=%.*s\n",
		       wall_ms(), own_id, born_ms, is_primary ? "primary" : "replica", id,
		       line + skipped, position, (int)strcspn(answer, "\r"), answer);
	pthread_mutex_unlock(&mutex);
	return send_text(conn->fd, "%sREADY %c %s\r\n", answer, conn->state, position);
}

static bool handle_start(conn_t *conn, const char *line)
{
	char named_service[NAME_BYTES] = "";
	char team[NAME_BYTES] = "";
	char id[NAME_BYTES] = "";
	char position[NAME_BYTES];
	int words = sscanf(line, "START %63s %63s %63s", named_service, team, id);

	if (words < 2 || strcmp(named_service, service) != 0 ||
	    (words > 2 && strcmp(id, own_id) != 0)) {
		send_text(conn->fd, "ERR MISROUTED %s\r\n", own_id);
		return false;
	}
	pthread_mutex_lock(&mutex);
	position_text(position, sizeof(position));
	pthread_mutex_unlock(&mutex);
	return send_text(conn->fd, "READY I %s\r\n", position);
}

static void *run_conn(void *data)
{
	conn_t *conn = data;
	char line[LINE_BYTES];

	if (read_line(conn, line)) {
		if (strncmp(line, "LOG ", 4) == 0) {
			receive_log(conn, line);
		} else if (strcmp(line, "PROMOTE") == 0) {
			if (!is_primary)
				start_thread(run_promotion, NULL);
			send_text(conn->fd, "OK\r\n");
		} else if (handle_start(conn, line)) {
			while (read_line(conn, line) && handle_query(conn, line))
				continue;
		}
	}
	close(conn->fd);
	free(conn);
	return NULL;
}

/* ---- promotions ---- */

static void *run_control(void *data)
{
	conn_t *conn = data;
	char request[4 * LINE_BYTES] = "";
	size_t length = 0;
	char reply[16];
	bool is_done = false;
	unsigned i;

	while (!strstr(request, "}") && length + 1 < sizeof(request)) {
		ssize_t count = recv(conn->fd, request + length, sizeof(request) - length - 1, 0);

		if (count <= 0)
			break;
		length += (size_t)count;
		request[length] = '\0';
	}
	for (i = 0; i < peer_count; i++) {
		char quoted[NAME_BYTES + 2];
		int fd;

		snprintf(quoted, sizeof(quoted), "\"%s\"", peers[i].name);
		if (!strstr(request, quoted))
			continue;
		fd = connect_to(peers[i].port);
		if (fd < 0)
			continue;
		is_done = send_text(fd, "PROMOTE\r\n") && recv(fd, reply, sizeof(reply), 0) > 0;
		close(fd);
		printf("%lld promote_asked member=%s done=%d\n", wall_ms(), peers[i].name, is_done);
	}
	send_text(conn->fd, "HTTP/1.1 %s\r\nContent-Length: 0\r\nConnection: close\r\n\r\n",
		  is_done ? "200 OK" : "409 Conflict");
	close(conn->fd);
	free(conn);
	return NULL;
}

static void serve(unsigned port, void *(*run)(void *data))
{
	int listen_fd = listen_on(port);
	int one = 1;

	printf("listening port=%u\n", port);
	while (true) {
		int fd = accept(listen_fd, NULL, NULL);
		conn_t *conn;

		if (fd < 0)
			continue;
		setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
		conn = calloc(1, sizeof(*conn));
		conn->fd = fd;
		conn->state = 'I';
		start_thread(run, conn);
	}
}

static void parse_words(char *list)
{
	char *rest = NULL;
	char *word;
	unsigned i = 0;

	for (word = strtok_r(list, ",", &rest); word && i < WORD_COUNT;
	     word = strtok_r(NULL, ",", &rest))
		words[i++] = word;
}

int main(int argc, char **argv)
{
	unsigned control_port = 0;
	int i;

	setvbuf(stdout, NULL, _IOLBF, 0);
	born_ms = wall_ms();
	for (i = 1; i + 1 < argc; i += 2) {
		const char *name = argv[i];
		char *value = argv[i + 1];

		if (strcmp(name, "--id") == 0)
			own_id = value;
		else if (strcmp(name, "--service") == 0)
			service = value;
		else if (strcmp(name, "--zone") == 0)
			zone = value;
		else if (strcmp(name, "--port") == 0)
			own_port = (unsigned)strtoul(value, NULL, 10);
		else if (strcmp(name, "--control") == 0)
			control_port = (unsigned)strtoul(value, NULL, 10);
		else if (strcmp(name, "--store") == 0)
			store_port = (unsigned)strtoul(value, NULL, 10);
		else if (strcmp(name, "--role") == 0)
			is_primary = strcmp(value, "primary") == 0;
		else if (strcmp(name, "--words") == 0)
			parse_words(value);
		else if (strcmp(name, "--peers") == 0 || strcmp(name, "--members") == 0)
			peer_count = parse_ports(value, peers);
	}
	/* A member that has just started knows no term but that in which it is the first primary.
	 */
	term = is_primary ? 1 : 0;
	if (control_port > 0)
		serve(control_port, run_control);
	start_thread(run_beat, NULL);
	start_thread(run_replication, NULL);
	serve(own_port, run_conn);
	return 0;
}
