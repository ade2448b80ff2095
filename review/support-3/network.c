/*
 * A stand-in for the network between the machines of a small deployment, which can be partitioned.
 *
 *   network --store PORT --control PORT --commands PORT --vms N
 *
 * For each machine vm-1 to vm-N it prints the ports at which that machine reaches the store and the
 * interface for promotions, and the port at which the other machines reach its peer port. Commands,
 * one a line on the command port, each answered with "ok":
 *
 *   peer vm-I PORT        the peer port that the daemon of vm-I listens on
 *   cut vm-I,vm-J [MS]    these machines reach each other, but no other machine, and neither the
 *                         store nor the interface for promotions
 *   heal
 *   hold vm-I             the machine is cut off as soon as it has sent its next promotion, which
 *                         is still on its way then
 *   member PORT           a database listens on this port; before any machine starts
 *   part vm-I PORT        the machine does not reach that database, nor the database the machine
 *   join vm-I PORT
 *   crash PORT            the process of that database has ended: its connections are closed, and
 *                         no other one is accepted
 *
 * Nothing passes between the two sides of a cut. What was on its way when the cut began arrives
 * after it has healed, unless its sender has reset the connection; connections that begin during
 * the cut never carry anything. The address of a machine in the row "vm/NAME" of the store is
 * translated to that at which the network forwards to it; the machine itself sees its own. The
 * address of a database is translated in each row to that at which the network forwards to it for
 * the machine that reads the row.
 */

#include "peer.pb-c.h"

#include <arpa/inet.h>
#include <errno.h>
#include <glib.h>
#include <jansson.h>
#include <netinet/tcp.h>
#include <poll.h>
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

#define VMS_MAX 16u
#define MEMBERS_MAX 8u
#define READ_BYTES 65536u
#define POLL_MS 5

typedef enum port_kind {
	PORT_STORE,
	PORT_CONTROL,
	PORT_PEER,
	PORT_MEMBER,
} port_kind_t;

typedef struct listener {
	port_kind_t kind;
	/* Number of the machine whose calls arrive here, or whose peer port this is. */
	unsigned vm;
	/* Index of the database that is reached here. */
	unsigned member;
	int fd;
} listener_t;

typedef struct flow {
	listener_t *listener;
	int fd;
} flow_t;

static pthread_mutex_t mutex = PTHREAD_MUTEX_INITIALIZER;
static unsigned store_port;
static unsigned control_port;
static unsigned vm_count;
static unsigned peer_ports[VMS_MAX + 1];
static unsigned forward_ports[VMS_MAX + 1];
static bool is_on_island[VMS_MAX + 1];
static bool is_cut;
/* Number of cuts so far; a connection that began during one of them is worthless after it. */
static unsigned cut_number;
static unsigned held_vm;
static unsigned member_count;
/* Ports of each database: [0] its own, others those at which the machines reach it. */
static unsigned member_ports[MEMBERS_MAX][VMS_MAX + 1];
static int member_fds[MEMBERS_MAX][VMS_MAX + 1];
static bool is_parted[MEMBERS_MAX][VMS_MAX + 1];
static bool is_crashed[MEMBERS_MAX];

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
	int one = 1;

	if (connect(fd, (struct sockaddr *)&address, sizeof(address)) < 0) {
		close(fd);
		return -1;
	}
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	return fd;
}

static int listen_on(unsigned port, unsigned *bound_port)
{
	struct sockaddr_in address = loopback(port);
	socklen_t length = sizeof(address);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	int one = 1;

	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(fd, (struct sockaddr *)&address, sizeof(address)) < 0 || listen(fd, 256) < 0 ||
	    getsockname(fd, (struct sockaddr *)&address, &length) < 0) {
		perror("listen");
		exit(2);
	}
	*bound_port = ntohs(address.sin_port);
	return fd;
}

static void start_thread(void *(*run)(void *data), void *data)
{
	pthread_t thread;

	if (pthread_create(&thread, NULL, run, data) == 0)
		pthread_detach(thread);
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

/* ---- the partition ---- */

/* @b: 0 for the store and the interface for promotions, which are on no island */
static bool passes(unsigned a, unsigned b)
{
	bool result;

	pthread_mutex_lock(&mutex);
	result = !is_cut || is_on_island[a] == (b > 0 && is_on_island[b]);
	pthread_mutex_unlock(&mutex);
	return result;
}

static unsigned count_cuts(void)
{
	unsigned result;

	pthread_mutex_lock(&mutex);
	result = cut_number;
	pthread_mutex_unlock(&mutex);
	return result;
}

static void wait_until_passes(unsigned a, unsigned b)
{
	while (!passes(a, b))
		sleep_ms(POLL_MS);
}

static void begin_cut(void)
{
	pthread_mutex_lock(&mutex);
	is_cut = true;
	cut_number++;
	pthread_mutex_unlock(&mutex);
}

/* ---- calls to the store and for promotions ---- */

/* Return: new text, that of the row of a machine with another port */
static char *replace_port(const char *text, size_t length, unsigned port)
{
	static const char field[] = "\"port\":";
	GString *result = g_string_new_len(text, (gssize)length);
	const char *found = strstr(result->str, field);
	char digits[16];
	gssize at;

	if (found) {
		at = found + strlen(field) - result->str;
		g_string_erase(result, at, (gssize)strspn(result->str + at, "0123456789"));
		snprintf(digits, sizeof(digits), "%u", port);
		g_string_insert(result, at, digits);
	}
	return g_string_free(result, FALSE);
}

/* Return: the port at which machine @vm is reached, as machine @reader is to see it; 0: the store
 */
static unsigned port_for(unsigned vm, unsigned reader)
{
	return vm == reader ? peer_ports[vm] : forward_ports[vm];
}

/* Return: machine named by the key "vm/vm-I" of a row; 0 if none */
static unsigned parse_key(const char *key)
{
	unsigned vm = 0;

	return key && sscanf(key, "vm/vm-%u", &vm) == 1 && vm <= vm_count ? vm : 0;
}

/* Return: the port of the database at @port, as @reader is to see it; @port if none is there */
static unsigned member_port_for(unsigned port, unsigned reader)
{
	unsigned i;
	unsigned vm;

	for (i = 0; i < member_count; i++) {
		for (vm = 0; vm <= vm_count; vm++) {
			if (member_ports[i][vm] == port)
				return member_ports[i][reader];
		}
	}
	return port;
}

/* Return: new text, with the ports of databases as @reader is to see them */
static char *replace_member_ports(const char *text, unsigned reader)
{
	GString *result = g_string_new(NULL);

	while (*text) {
		size_t digits = *text == ':' ? strspn(text + 1, "0123456789") : 0;

		g_string_append_c(result, *text++);
		if (digits > 0 && digits < 6)
			g_string_append_printf(
				result, "%u",
				member_port_for((unsigned)strtoul(text, NULL, 10), reader));
		else
			digits = 0;
		text += digits;
	}
	return g_string_free(result, FALSE);
}

/* Return: new text, the body of the row @key as @reader is to see it, 0 for the store */
static char *translate_body(const char *key, const char *body, size_t length, unsigned reader)
{
	unsigned vm = parse_key(key);
	char *text =
		vm > 0 ? replace_port(body, length, port_for(vm, reader)) : g_strndup(body, length);
	char *result = member_count > 0 ? replace_member_ports(text, reader) : g_strdup(text);

	g_free(text);
	return result;
}

/* Translates the addresses in each row of the list for @reader, 0 for the store. */
static void translate_rows(json_t *rows, unsigned reader)
{
	size_t i;

	for (i = 0; i < json_array_size(rows); i++) {
		json_t *row = json_array_get(rows, i);
		const char *key = json_string_value(json_object_get(row, "key"));
		const char *value = json_string_value(json_object_get(row, "value"));
		gsize length = 0;
		guchar *data;
		char *text;
		char *encoded;

		if (!value)
			continue;
		data = g_base64_decode(value, &length);
		text = translate_body(key, (const char *)data, length, reader);
		encoded = g_base64_encode((const guchar *)text, strlen(text));
		json_object_set_new(row, "value", json_string(encoded));
		g_free(encoded);
		g_free(text);
		g_free(data);
	}
}

/* Reads a message of HTTP. Return: false if it did not arrive whole */
static bool read_message(int fd, GString *message, size_t *head_length)
{
	char buffer[READ_BYTES];
	const char *end;
	char *field;
	size_t needed;

	while (!(end = strstr(message->str, "\r\n\r\n"))) {
		ssize_t count = recv(fd, buffer, sizeof(buffer), 0);

		if (count <= 0)
			return false;
		g_string_append_len(message, buffer, count);
	}
	*head_length = (size_t)(end - message->str) + 4;
	field = strcasestr(message->str, "\r\nContent-Length:");
	needed = *head_length + (field ? strtoul(field + 17, NULL, 10) : 0);
	while (message->len < needed) {
		ssize_t count = recv(fd, buffer, sizeof(buffer), 0);

		if (count <= 0)
			return false;
		g_string_append_len(message, buffer, count);
	}
	return true;
}

/* Replaces the body of a message, and its length in the head. */
static void set_body(GString *message, size_t head_length, const json_t *object)
{
	char *body = json_dumps(object, JSON_COMPACT);
	char *field = strcasestr(message->str, "\r\nContent-Length:");
	size_t digits = (size_t)(field - message->str) + 17;
	size_t digits_end = digits + strcspn(message->str + digits, "\r");
	char *length = g_strdup_printf(" %zu", strlen(body));

	g_string_truncate(message, head_length);
	g_string_append(message, body);
	g_string_erase(message, (gssize)digits, (gssize)(digits_end - digits));
	g_string_insert(message, (gssize)digits, length);
	g_free(length);
	free(body);
}

static void translate_message(GString *message, size_t head_length, const char *list,
			      unsigned reader)
{
	json_t *object = json_loads(message->str + head_length, 0, NULL);

	if (json_is_object(object) && json_object_get(object, list)) {
		translate_rows(json_object_get(object, list), reader);
		set_body(message, head_length, object);
	}
	json_decref(object);
}

/* Return: whether the caller has closed or reset its connection */
static bool is_closed(int fd)
{
	char byte;

	return recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

static void hold_if_wanted(const flow_t *flow)
{
	if (flow->listener->kind != PORT_CONTROL || flow->listener->vm != held_vm)
		return;
	held_vm = 0;
	begin_cut();
	printf("the promotion of vm-%u is on its way; vm-%u is cut off\n", flow->listener->vm,
	       flow->listener->vm);
}

static void carry_call(const flow_t *flow)
{
	unsigned vm = flow->listener->vm;
	bool is_store = flow->listener->kind == PORT_STORE;
	bool began_in_cut = !passes(vm, 0);
	unsigned cuts = count_cuts();
	GString *message = g_string_new(NULL);
	size_t head_length = 0;
	int target = -1;

	if (!read_message(flow->fd, message, &head_length))
		goto done;
	hold_if_wanted(flow);
	wait_until_passes(vm, 0);
	if (began_in_cut)
		goto done;
	if (!is_store && cuts != count_cuts())
		printf("the promotion of vm-%u arrives\n", vm);
	if (is_store)
		translate_message(message, head_length, "upserts", 0);
	target = connect_to(is_store ? store_port : control_port);
	if (target < 0 || !send_all(target, message->str, message->len))
		goto done;
	g_string_truncate(message, 0);
	if (!read_message(target, message, &head_length))
		goto done;
	wait_until_passes(vm, 0);
	if (is_closed(flow->fd))
		goto done;
	if (is_store)
		translate_message(message, head_length, "rows", vm);
	send_all(flow->fd, message->str, message->len);
done:
	if (target >= 0)
		close(target);
	g_string_free(message, TRUE);
}

/* ---- links between machines ---- */

/* Return: the machine that sent the first frame, 0 if it names none */
static unsigned find_sender(const GString *bytes)
{
	unsigned i;

	for (i = vm_count; i > 0; i--) {
		char name[16];
		int length = snprintf(name, sizeof(name), "vm-%u", i);

		if (memmem(bytes->str, bytes->len, name, (size_t)length))
			return i;
	}
	return 0;
}

static void translate_states(Jh__VmState **states, size_t count, unsigned reader)
{
	size_t i;

	for (i = 0; i < count; i++) {
		unsigned vm = 0;

		if (sscanf(states[i]->vm, "vm-%u", &vm) == 1 && vm > 0 && vm <= vm_count)
			states[i]->port = port_for(vm, reader);
	}
}

static void translate_mirror_rows(Jh__MirrorRow **rows, size_t count, unsigned reader)
{
	size_t i;

	for (i = 0; i < count; i++) {
		ProtobufCBinaryData *body = &rows[i]->body;
		char *text;

		if (body->len == 0 || rows[i]->uncompressed_bytes > 0 || rows[i]->total_bytes > 0)
			continue;
		text = translate_body(rows[i]->name, (const char *)body->data, body->len, reader);
		free(body->data);
		body->len = strlen(text);
		body->data = (uint8_t *)strdup(text);
		g_free(text);
	}
}

/* Translates the addresses of machines in a frame to @reader. */
static void translate_frame(Jh__Frame *frame, unsigned reader)
{
	switch (frame->body_case) {
	case JH__FRAME__BODY_PROBE:
		translate_states(frame->probe->gossip, frame->probe->n_gossip, reader);
		break;
	case JH__FRAME__BODY_PROBE_ACK:
		translate_states(frame->probe_ack->gossip, frame->probe_ack->n_gossip, reader);
		break;
	case JH__FRAME__BODY_MIRROR_SYNC:
		translate_mirror_rows(frame->mirror_sync->rows, frame->mirror_sync->n_rows, reader);
		translate_mirror_rows(frame->mirror_sync->kept_rows,
				      frame->mirror_sync->n_kept_rows, reader);
		break;
	default:
		break;
	}
}

/* Sends on the whole frames in @bytes. Return: false if the connection has ended */
static bool send_frames(int to, GByteArray *bytes, unsigned reader)
{
	bool is_open = true;
	uint32_t length;

	while (is_open && bytes->len >= sizeof(length)) {
		Jh__Frame *frame;
		uint8_t *packed;
		uint32_t header;
		size_t size;

		memcpy(&length, bytes->data, sizeof(length));
		length = ntohl(length);
		if (bytes->len < sizeof(length) + length)
			break;
		frame = jh__frame__unpack(NULL, length, bytes->data + sizeof(length));
		if (!frame)
			return false;
		translate_frame(frame, reader);
		size = jh__frame__get_packed_size(frame);
		packed = g_malloc(sizeof(header) + size);
		header = htonl((uint32_t)size);
		memcpy(packed, &header, sizeof(header));
		jh__frame__pack(frame, packed + sizeof(header));
		is_open = send_all(to, (const char *)packed, sizeof(header) + size);
		g_free(packed);
		jh__frame__free_unpacked(frame, NULL);
		g_byte_array_remove_range(bytes, 0, (guint)(sizeof(length) + length));
	}
	return is_open;
}

/* Return: false if the connection has ended */
static bool pump(int from, int to, GByteArray *bytes, unsigned reader)
{
	uint8_t buffer[READ_BYTES];
	ssize_t count = recv(from, buffer, sizeof(buffer), 0);

	if (count <= 0)
		return false;
	g_byte_array_append(bytes, buffer, (guint)count);
	return send_frames(to, bytes, reader);
}

static void carry_link(const flow_t *flow)
{
	unsigned target_vm = flow->listener->vm;
	GString *first = g_string_new(NULL);
	GByteArray *forth = g_byte_array_new();
	GByteArray *back = g_byte_array_new();
	char buffer[READ_BYTES];
	ssize_t count = recv(flow->fd, buffer, sizeof(buffer), 0);
	int target = -1;
	unsigned sender;

	if (count <= 0)
		goto done;
	g_string_append_len(first, buffer, count);
	sender = find_sender(first);
	if (sender == 0)
		goto done;
	if (!passes(sender, target_vm)) {
		wait_until_passes(sender, target_vm);
		goto done;
	}
	target = connect_to(peer_ports[target_vm]);
	g_byte_array_append(forth, (const guint8 *)first->str, (guint)first->len);
	if (target < 0 || !send_frames(target, forth, target_vm))
		goto done;
	while (true) {
		struct pollfd fds[] = { { .fd = flow->fd, .events = POLLIN },
					{ .fd = target, .events = POLLIN } };

		wait_until_passes(sender, target_vm);
		if (poll(fds, 2, POLL_MS) < 0 || !passes(sender, target_vm))
			continue;
		if (fds[0].revents && !pump(flow->fd, target, forth, target_vm))
			break;
		if (fds[1].revents && !pump(target, flow->fd, back, sender))
			break;
	}
done:
	if (target >= 0)
		close(target);
	g_byte_array_free(forth, TRUE);
	g_byte_array_free(back, TRUE);
	g_string_free(first, TRUE);
}

/* ---- connections to databases ---- */

static bool is_parted_now(const listener_t *listener)
{
	bool result;

	pthread_mutex_lock(&mutex);
	result = is_parted[listener->member][listener->vm];
	pthread_mutex_unlock(&mutex);
	return result;
}

static bool is_crashed_now(const listener_t *listener)
{
	bool result;

	pthread_mutex_lock(&mutex);
	result = is_crashed[listener->member];
	pthread_mutex_unlock(&mutex);
	return result;
}

static bool copy_bytes(int from, int to)
{
	char buffer[READ_BYTES];
	ssize_t count = recv(from, buffer, sizeof(buffer), 0);

	return count > 0 && send_all(to, buffer, (size_t)count);
}

static void carry_statements(const flow_t *flow)
{
	const listener_t *listener = flow->listener;
	bool began_parted = is_parted_now(listener);
	int target = began_parted ? -1 : connect_to(member_ports[listener->member][0]);

	while (began_parted && is_parted_now(listener))
		sleep_ms(POLL_MS);
	while (target >= 0 && !is_crashed_now(listener)) {
		struct pollfd fds[] = { { .fd = flow->fd, .events = POLLIN },
					{ .fd = target, .events = POLLIN } };

		if (poll(fds, 2, POLL_MS) < 0)
			continue;
		if (is_parted_now(listener)) {
			sleep_ms(POLL_MS);
			continue;
		}
		if ((fds[0].revents && !copy_bytes(flow->fd, target)) ||
		    (fds[1].revents && !copy_bytes(target, flow->fd)))
			break;
	}
	if (target >= 0)
		close(target);
}

static void *run_flow(void *data)
{
	flow_t *flow = data;

	if (flow->listener->kind == PORT_PEER)
		carry_link(flow);
	else if (flow->listener->kind == PORT_MEMBER)
		carry_statements(flow);
	else
		carry_call(flow);
	close(flow->fd);
	g_free(flow);
	return NULL;
}

static void *run_listener(void *data)
{
	listener_t *listener = data;
	int one = 1;

	while (true) {
		int fd = accept(listener->fd, NULL, NULL);
		flow_t *flow;

		if (fd < 0 && errno == EINVAL)
			return NULL;
		if (fd < 0)
			continue;
		setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
		flow = g_new0(flow_t, 1);
		flow->listener = listener;
		flow->fd = fd;
		start_thread(run_flow, flow);
	}
	return NULL;
}

static unsigned add_listener(port_kind_t kind, unsigned vm, unsigned member)
{
	listener_t *listener = g_new0(listener_t, 1);
	unsigned port = 0;

	listener->kind = kind;
	listener->vm = vm;
	listener->member = member;
	listener->fd = listen_on(0, &port);
	if (kind == PORT_MEMBER)
		member_fds[member][vm] = listener->fd;
	start_thread(run_listener, listener);
	return port;
}

/* ---- commands ---- */

static void set_island(char *names)
{
	char *rest = NULL;
	char *word;
	unsigned i;

	for (i = 1; i <= vm_count; i++)
		is_on_island[i] = false;
	for (word = strtok_r(names, ",", &rest); word; word = strtok_r(NULL, ",", &rest)) {
		unsigned vm = 0;

		if (sscanf(word, "vm-%u", &vm) == 1 && vm <= vm_count)
			is_on_island[vm] = true;
	}
}

static void add_member(unsigned port)
{
	unsigned vm;

	if (member_count == MEMBERS_MAX)
		return;
	member_ports[member_count][0] = port;
	for (vm = 1; vm <= vm_count; vm++)
		member_ports[member_count][vm] = add_listener(PORT_MEMBER, vm, member_count);
	member_count++;
}

static void set_parted(unsigned vm, unsigned port, bool value)
{
	unsigned i;

	for (i = 0; i < member_count; i++) {
		if (member_ports[i][0] == port && vm <= vm_count)
			is_parted[i][vm] = value;
	}
}

static void crash_member(unsigned port)
{
	unsigned i;
	unsigned vm;

	for (i = 0; i < member_count; i++) {
		if (member_ports[i][0] != port)
			continue;
		is_crashed[i] = true;
		for (vm = 1; vm <= vm_count; vm++)
			shutdown(member_fds[i][vm], SHUT_RDWR);
	}
}

static void run_command(char *line)
{
	char names[256] = "";
	unsigned vm = 0;
	unsigned port = 0;

	pthread_mutex_lock(&mutex);
	if (sscanf(line, "peer vm-%u %u", &vm, &port) == 2 && vm <= vm_count) {
		peer_ports[vm] = port;
	} else if (sscanf(line, "cut %255s", names) == 1) {
		set_island(names);
		is_cut = true;
		cut_number++;
	} else if (sscanf(line, "hold vm-%u", &vm) == 1 && vm <= vm_count) {
		snprintf(names, sizeof(names), "vm-%u", vm);
		set_island(names);
		held_vm = vm;
	} else if (sscanf(line, "member %u", &port) == 1) {
		add_member(port);
	} else if (sscanf(line, "part vm-%u %u", &vm, &port) == 2) {
		set_parted(vm, port, true);
	} else if (sscanf(line, "join vm-%u %u", &vm, &port) == 2) {
		set_parted(vm, port, false);
	} else if (sscanf(line, "crash %u", &port) == 1) {
		crash_member(port);
	} else if (strncmp(line, "heal", 4) == 0) {
		is_cut = false;
	}
	pthread_mutex_unlock(&mutex);
	printf("command: %s", line);
}

int main(int argc, char **argv)
{
	unsigned command_port = 0;
	int command_fd;
	unsigned vm;
	int i;

	setvbuf(stdout, NULL, _IOLBF, 0);
	for (i = 1; i + 1 < argc; i += 2) {
		unsigned value = (unsigned)strtoul(argv[i + 1], NULL, 10);

		if (strcmp(argv[i], "--store") == 0)
			store_port = value;
		else if (strcmp(argv[i], "--control") == 0)
			control_port = value;
		else if (strcmp(argv[i], "--commands") == 0)
			command_port = value;
		else if (strcmp(argv[i], "--vms") == 0)
			vm_count = MIN(value, VMS_MAX);
	}
	for (vm = 1; vm <= vm_count; vm++) {
		unsigned store = add_listener(PORT_STORE, vm, 0);
		unsigned control = add_listener(PORT_CONTROL, vm, 0);

		forward_ports[vm] = add_listener(PORT_PEER, vm, 0);
		printf("vm-%u store=%u control=%u peer=%u\n", vm, store, control,
		       forward_ports[vm]);
	}
	command_fd = listen_on(command_port, &command_port);
	printf("listening port=%u\n", command_port);
	while (true) {
		int fd = accept(command_fd, NULL, NULL);
		char line[512] = "";
		ssize_t count = fd < 0 ? -1 : recv(fd, line, sizeof(line) - 1, 0);

		if (count > 0) {
			run_command(line);
			send_all(fd, "ok\n", 3);
		}
		if (fd >= 0)
			close(fd);
	}
}
