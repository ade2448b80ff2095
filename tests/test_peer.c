/*
 * Guards against a frame that is lost or delivered without authentication, and against a request
 * that never ends, when a VM restarts, is unreachable, dials at the same time as its peer, or
 * sends malformed bytes. Two kernels run in one process, and their loops run alternately.
 */

#include "jh_frame.h"
#include "jh_log.h"

#include <arpa/inet.h>
#include <check.h>
#include <errno.h>
#include <netinet/in.h>
#include <signal.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* Number of iterations of both loops after which RUN_UNTIL() fails. */
#define MAX_LOOP_RUNS 20000

extern const jh_module_t jh_peer_module;

/* What the task "probe" of a kernel has received. */
typedef struct received {
	unsigned requests;
	unsigned answer_ends;
	unsigned peer_downs;
	uint64_t last_id;
	uint64_t last_boot;
	uint64_t peer_down_boot;
	int last_outcome;
	int last_reason;
} received_t;

typedef struct node {
	jh_settings_t settings;
	jh_kernel_t *kernel;
	jh_task_t *task;
	received_t received;
	uint16_t port;
} node_t;

static node_t *starting_node;

static void probe_handle_frame(node_t *node, const jh_frame_msg_t *msg)
{
	node->received.last_boot = msg->boot;
	if (msg->frame->body_case == JH__FRAME__BODY_REQUEST) {
		node->received.requests++;
		node->received.last_id = msg->frame->request->id;
	} else {
		node->received.answer_ends++;
		node->received.last_id = msg->frame->answer_end->id;
		node->received.last_outcome = (int)msg->frame->answer_end->outcome;
		node->received.last_reason = (int)msg->frame->answer_end->reason;
	}
}

static int probe_init(jh_task_t *task, jh_error_t *err)
{
	starting_node->task = task;
	jh_task_set_state(task, starting_node);
	return 0;
}

static void probe_on_message(jh_task_t *task, const jh_msg_t *msg)
{
	node_t *node = jh_task_state(task);

	if (msg->type == JH_MSG_FRAME_IN) {
		probe_handle_frame(node, msg->body);
	} else if (msg->type == JH_MSG_PEER_DOWN) {
		node->received.peer_downs++;
		node->received.peer_down_boot = ((const jh_peer_down_msg_t *)msg->body)->boot;
	}
}

static void probe_fini(jh_task_t *task)
{
}

static const jh_module_t probe_module = {
	.name = "probe",
	.subscriptions = { JH_MSG_PEER_DOWN, JH_MSG_TYPE_COUNT },
	.frames = { JH__FRAME__BODY_REQUEST, JH__FRAME__BODY_ANSWER_END, 0 },
	.init = probe_init,
	.on_message = probe_on_message,
	.fini = probe_fini,
};

/* ---- Nodes: a kernel with a peer task ---- */

static void find_listening_port(const char *line, void *data)
{
	const char *found = strstr(line, "event=listening port=");

	if (found)
		*(uint16_t *)data = (uint16_t)atoi(found + strlen("event=listening port="));
}

static void node_start_kernel(node_t *node)
{
	jh_error_t err = JH_ERROR_INIT;

	memset(&node->received, 0, sizeof(node->received));
	node->kernel = jh_kernel_new(&node->settings, &err);
	ck_assert_ptr_nonnull(node->kernel);
	ck_assert_int_eq(jh_kernel_add_module(node->kernel, &jh_peer_module, &err), 0);
	starting_node = node;
	ck_assert_int_eq(jh_kernel_add_module(node->kernel, &probe_module, &err), 0);
	jh_log_foreach(find_listening_port, &node->port);
	ck_assert_uint_ne(node->port, 0);
}

static void node_start(node_t *node, const char *vm, uint8_t key)
{
	memset(node, 0, sizeof(*node));
	node->settings.vm = g_strdup(vm);
	node->settings.dc = g_strdup("dc-1");
	node->settings.peer_listen.host = g_strdup("127.0.0.1");
	memset(node->settings.cluster_key, key, sizeof(node->settings.cluster_key));
	node_start_kernel(node);
}

static void node_stop_kernel(node_t *node)
{
	if (node->kernel)
		jh_kernel_free(node->kernel);
	node->kernel = NULL;
}

static void node_destroy(node_t *node)
{
	node_stop_kernel(node);
	jh_settings_clear(&node->settings);
}

static void node_publish_vm(node_t *node, const node_t *other)
{
	GPtrArray *vms = g_ptr_array_new();
	jh_vm_t vm = {
		.name = other->settings.vm,
		.dc = other->settings.dc,
		.host = other->settings.peer_listen.host,
		.port = other->port,
		.state = JH_VM_LIVE,
	};

	g_ptr_array_add(vms, jh_vm_copy(&vm));
	jh_vms_publish(node->task, vms, true);
}

static void node_send_request(node_t *node, const node_t *to, uint64_t id)
{
	Jh__Frame *frame = jh_frame_new(JH__FRAME__BODY_REQUEST);

	frame->request->id = id;
	frame->request->attempt = 1;
	jh_frame_send(node->task, to->settings.vm, frame);
}

static void run_loops_once(node_t *a, node_t *b)
{
	if (a && a->kernel)
		ev_run(jh_kernel_loop(a->kernel), EVRUN_NOWAIT);
	if (b && b->kernel)
		ev_run(jh_kernel_loop(b->kernel), EVRUN_NOWAIT);
	g_usleep(100);
}

#define RUN_UNTIL(a, b, condition)                                                                 \
	do {                                                                                       \
		unsigned runs_ = 0;                                                                \
		while (!(condition) && runs_++ < MAX_LOOP_RUNS)                                    \
			run_loops_once(a, b);                                                      \
		ck_assert_msg(condition, "condition not met: %s", #condition);                     \
	} while (0)

/* ---- Tests ---- */

/* The receiver restarts between two requests: the sender is notified, and both are delivered. */
START_TEST(test_request_and_restart)
{
	node_t a;
	node_t b;
	uint64_t first_boot;

	node_start(&a, "vm-a", 7);
	node_start(&b, "vm-b", 7);
	node_publish_vm(&a, &b);
	node_send_request(&a, &b, 1);
	RUN_UNTIL(&a, &b, b.received.requests == 1);
	ck_assert_uint_eq(b.received.last_boot, jh_kernel_boot(a.kernel));
	first_boot = jh_kernel_boot(b.kernel);
	node_stop_kernel(&b);
	RUN_UNTIL(&a, &b, a.received.peer_downs == 1);
	ck_assert_uint_eq(a.received.peer_down_boot, first_boot);
	node_start_kernel(&b);
	ck_assert_uint_ne(jh_kernel_boot(b.kernel), first_boot);
	node_publish_vm(&a, &b);
	node_send_request(&a, &b, 2);
	RUN_UNTIL(&a, &b, b.received.requests == 1);
	ck_assert_uint_eq(b.received.last_id, 2);
	node_destroy(&a);
	node_destroy(&b);
}
END_TEST

/* Two VMs dial each other at the same time: no frame is lost, and no peer is reported down. */
START_TEST(test_simultaneous_dial)
{
	node_t a;
	node_t b;
	unsigned i;

	node_start(&a, "vm-a", 7);
	node_start(&b, "vm-b", 7);
	node_publish_vm(&a, &b);
	node_publish_vm(&b, &a);
	for (i = 0; i < 50; i++) {
		node_send_request(&a, &b, i + 1);
		node_send_request(&b, &a, i + 1);
		run_loops_once(&a, &b);
	}
	RUN_UNTIL(&a, &b, a.received.requests == 50 && b.received.requests == 50);
	for (i = 0; i < 100; i++)
		run_loops_once(&a, &b);
	ck_assert_uint_eq(a.received.requests + b.received.requests, 100);
	ck_assert_uint_eq(a.received.peer_downs + b.received.peer_downs, 0);
	ck_assert_uint_eq(a.received.answer_ends + b.received.answer_ends, 0);
	node_destroy(&a);
	node_destroy(&b);
}
END_TEST

/* The VMs have different cluster keys: the request ends with NOT_RUN and is not delivered. */
START_TEST(test_wrong_cluster_key)
{
	node_t a;
	node_t b;

	node_start(&a, "vm-a", 7);
	node_start(&b, "vm-b", 8);
	node_publish_vm(&a, &b);
	node_send_request(&a, &b, 9);
	RUN_UNTIL(&a, &b, a.received.answer_ends == 1);
	ck_assert_uint_eq(a.received.last_id, 9);
	ck_assert_int_eq(a.received.last_outcome, JH__ANSWER_END__OUTCOME__NOT_RUN);
	ck_assert_int_eq(a.received.last_reason, JH__ANSWER_END__REASON__UNREACHABLE);
	ck_assert_uint_eq(b.received.requests, 0);
	ck_assert_uint_eq(a.received.peer_downs + b.received.peer_downs, 0);
	node_destroy(&a);
	node_destroy(&b);
}
END_TEST

/* The VM is not listed at first, then refuses connections: each request gets an AnswerEnd. */
START_TEST(test_unreachable_vm)
{
	node_t a;
	node_t b;

	node_start(&a, "vm-a", 7);
	node_start(&b, "vm-b", 7);
	node_stop_kernel(&b);
	node_send_request(&a, &b, 3);
	RUN_UNTIL(&a, &b, a.received.answer_ends == 1);
	node_publish_vm(&a, &b);
	node_send_request(&a, &b, 4);
	RUN_UNTIL(&a, &b, a.received.answer_ends == 2);
	ck_assert_uint_eq(a.received.last_id, 4);
	ck_assert_int_eq(a.received.last_outcome, JH__ANSWER_END__OUTCOME__NOT_RUN);
	node_destroy(&a);
	node_destroy(&b);
}
END_TEST

static int client_connect(uint16_t port)
{
	struct sockaddr_in address = { .sin_family = AF_INET, .sin_port = htons(port) };
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	ck_assert_int_eq(connect(fd, (struct sockaddr *)&address, sizeof(address)), 0);
	return fd;
}

static bool client_is_closed(int fd)
{
	char bytes[4096];
	ssize_t count;

	while ((count = recv(fd, bytes, sizeof(bytes), MSG_DONTWAIT)) > 0)
		continue;
	return count == 0 || errno == ECONNRESET;
}

static void check_client_is_rejected(const void *bytes, size_t length)
{
	node_t a;
	int fd;

	node_start(&a, "vm-a", 7);
	fd = client_connect(a.port);
	ck_assert_int_eq(send(fd, bytes, length, MSG_NOSIGNAL), (ssize_t)length);
	RUN_UNTIL(&a, NULL, client_is_closed(fd));
	ck_assert_uint_eq(a.received.requests, 0);
	close(fd);
	node_destroy(&a);
}

START_TEST(test_malformed_bytes)
{
	check_client_is_rejected("GET / HTTP/1.1\r\n\r\n", 18);
	check_client_is_rejected("\0\0\0\x08garbage!", 12);
}
END_TEST

/* A Request that is the first frame, or that follows a Hello without a MAC, is not delivered. */
START_TEST(test_frame_before_authentication)
{
	GByteArray *bytes = g_byte_array_new();
	Jh__Frame *request = jh_frame_new(JH__FRAME__BODY_REQUEST);
	Jh__Frame *hello = jh_frame_new(JH__FRAME__BODY_HELLO);

	request->request->id = 1;
	jh_frame_pack(request, bytes);
	check_client_is_rejected(bytes->data, bytes->len);
	g_byte_array_set_size(bytes, 0);
	hello->hello->vm = jh_frame_strdup("vm-b");
	hello->hello->boot = 5;
	hello->hello->nonce.data = g_malloc0(crypto_auth_BYTES);
	hello->hello->nonce.len = crypto_auth_BYTES;
	jh_frame_pack(hello, bytes);
	jh_frame_pack(request, bytes);
	check_client_is_rejected(bytes->data, bytes->len);
	/* A second Hello with a wrong MAC, all zeros. */
	g_byte_array_set_size(bytes, 0);
	jh_frame_pack(hello, bytes);
	hello->hello->mac.data = g_malloc0(crypto_auth_BYTES);
	hello->hello->mac.len = crypto_auth_BYTES;
	jh_frame_pack(hello, bytes);
	check_client_is_rejected(bytes->data, bytes->len);
	jh_frame_free(request);
	jh_frame_free(hello);
	g_byte_array_free(bytes, TRUE);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("peer");
	TCase *tcase = tcase_create("peer");
	SRunner *runner;
	int failed;

	signal(SIGPIPE, SIG_IGN);
	if (sodium_init() < 0)
		return EXIT_FAILURE;
	jh_log_init("test", "info");
	tcase_set_timeout(tcase, 60);
	tcase_add_test(tcase, test_request_and_restart);
	tcase_add_test(tcase, test_simultaneous_dial);
	tcase_add_test(tcase, test_wrong_cluster_key);
	tcase_add_test(tcase, test_unreachable_vm);
	tcase_add_test(tcase, test_malformed_bytes);
	tcase_add_test(tcase, test_frame_before_authentication);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
