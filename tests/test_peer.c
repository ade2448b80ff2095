/* The peer task: two kernels in one process, whose loops are stepped in turn. */
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

/* Turns of both loops before a condition counts as never met. */
#define MAX_STEPS 20000

extern const jh_module_t jh_peer_module;

/* What the task "probe" of a kernel saw. */
typedef struct seen {
	unsigned requests;
	unsigned ends;
	unsigned downs;
	uint64_t last_id;
	uint64_t last_boot;
	uint64_t down_boot;
	int last_outcome;
	int last_reason;
} seen_t;

typedef struct node {
	jh_settings_t settings;
	jh_kernel_t *kernel;
	jh_task_t *task;
	seen_t seen;
	uint16_t port;
} node_t;

static node_t *starting;

static void probe_take_frame(node_t *node, const jh_frame_msg_t *msg)
{
	node->seen.last_boot = msg->boot;
	if (msg->frame->body_case == JH__FRAME__BODY_REQUEST) {
		node->seen.requests++;
		node->seen.last_id = msg->frame->request->id;
	} else {
		node->seen.ends++;
		node->seen.last_id = msg->frame->answer_end->id;
		node->seen.last_outcome = (int)msg->frame->answer_end->outcome;
		node->seen.last_reason = (int)msg->frame->answer_end->reason;
	}
}

static int probe_init(jh_task_t *task, jh_error_t *err)
{
	starting->task = task;
	jh_task_set_state(task, starting);
	return 0;
}

static void probe_on_message(jh_task_t *task, const jh_msg_t *msg)
{
	node_t *node = jh_task_state(task);

	if (msg->type == JH_MSG_FRAME_IN) {
		probe_take_frame(node, msg->body);
	} else if (msg->type == JH_MSG_PEER_DOWN) {
		node->seen.downs++;
		node->seen.down_boot = ((const jh_peer_msg_t *)msg->body)->boot;
	}
}

static void probe_fini(jh_task_t *task)
{
}

static const jh_module_t probe_module = {
	.name = "probe",
	.subscriptions = { JH_MSG_PEER_DOWN, JH_MSG_TYPES },
	.frames = { JH__FRAME__BODY_REQUEST, JH__FRAME__BODY_ANSWER_END, 0 },
	.init = probe_init,
	.on_message = probe_on_message,
	.fini = probe_fini,
};

/* ---- nodes ---- */

static void port_find(const char *line, void *data)
{
	const char *found = strstr(line, "event=listening port=");

	if (found)
		*(uint16_t *)data = (uint16_t)atoi(found + strlen("event=listening port="));
}

static void node_boot(node_t *node)
{
	jh_error_t err = JH_ERROR_INIT;

	memset(&node->seen, 0, sizeof(node->seen));
	node->kernel = jh_kernel_new(&node->settings, &err);
	ck_assert_ptr_nonnull(node->kernel);
	ck_assert_int_eq(jh_kernel_add(node->kernel, &jh_peer_module, &err), 0);
	starting = node;
	ck_assert_int_eq(jh_kernel_add(node->kernel, &probe_module, &err), 0);
	jh_log_each(port_find, &node->port);
	ck_assert_uint_ne(node->port, 0);
}

static void node_start(node_t *node, const char *vm, uint8_t key)
{
	memset(node, 0, sizeof(*node));
	node->settings.vm = g_strdup(vm);
	node->settings.dc = g_strdup("dc-1");
	node->settings.peer_listen.host = g_strdup("127.0.0.1");
	memset(node->settings.cluster_key, key, sizeof(node->settings.cluster_key));
	node_boot(node);
}

static void node_stop(node_t *node)
{
	if (node->kernel)
		jh_kernel_free(node->kernel);
	node->kernel = NULL;
}

static void node_end(node_t *node)
{
	node_stop(node);
	jh_settings_clear(&node->settings);
}

static void node_tell(node_t *node, const node_t *other)
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
	jh_vms_publish(node->task, vms);
}

static void node_request(node_t *node, const node_t *to, uint64_t id)
{
	Jh__Frame *frame = jh_frame_new(JH__FRAME__BODY_REQUEST);

	frame->request->id = id;
	frame->request->attempt = 1;
	jh_frame_send(node->task, to->settings.vm, frame);
}

static void step(node_t *a, node_t *b)
{
	if (a && a->kernel)
		ev_run(jh_kernel_loop(a->kernel), EVRUN_NOWAIT);
	if (b && b->kernel)
		ev_run(jh_kernel_loop(b->kernel), EVRUN_NOWAIT);
	g_usleep(100);
}

#define STEP_UNTIL(a, b, condition)                                                                \
	do {                                                                                       \
		unsigned steps_ = 0;                                                               \
		while (!(condition) && steps_++ < MAX_STEPS)                                       \
			step(a, b);                                                                \
		ck_assert_msg(condition, "never met: %s", #condition);                             \
	} while (0)

/* ---- tests ---- */

START_TEST(test_request_and_restart)
{
	node_t a;
	node_t b;
	uint64_t first_boot;

	node_start(&a, "vm-a", 7);
	node_start(&b, "vm-b", 7);
	node_tell(&a, &b);
	node_request(&a, &b, 1);
	STEP_UNTIL(&a, &b, b.seen.requests == 1);
	ck_assert_uint_eq(b.seen.last_boot, jh_kernel_boot(a.kernel));
	first_boot = jh_kernel_boot(b.kernel);
	node_stop(&b);
	STEP_UNTIL(&a, &b, a.seen.downs == 1);
	ck_assert_uint_eq(a.seen.down_boot, first_boot);
	node_boot(&b);
	ck_assert_uint_ne(jh_kernel_boot(b.kernel), first_boot);
	node_tell(&a, &b);
	node_request(&a, &b, 2);
	STEP_UNTIL(&a, &b, b.seen.requests == 1);
	ck_assert_uint_eq(b.seen.last_id, 2);
	node_end(&a);
	node_end(&b);
}
END_TEST

/* Both dial at once: nothing is lost, nobody is told that the other is down. */
START_TEST(test_both_dial)
{
	node_t a;
	node_t b;
	unsigned i;

	node_start(&a, "vm-a", 7);
	node_start(&b, "vm-b", 7);
	node_tell(&a, &b);
	node_tell(&b, &a);
	for (i = 0; i < 50; i++) {
		node_request(&a, &b, i + 1);
		node_request(&b, &a, i + 1);
		step(&a, &b);
	}
	STEP_UNTIL(&a, &b, a.seen.requests == 50 && b.seen.requests == 50);
	for (i = 0; i < 100; i++)
		step(&a, &b);
	ck_assert_uint_eq(a.seen.requests + b.seen.requests, 100);
	ck_assert_uint_eq(a.seen.downs + b.seen.downs, 0);
	ck_assert_uint_eq(a.seen.ends + b.seen.ends, 0);
	node_end(&a);
	node_end(&b);
}
END_TEST

/* Another cluster key: the request is refused as not run and never arrives. */
START_TEST(test_forged_hello)
{
	node_t a;
	node_t b;

	node_start(&a, "vm-a", 7);
	node_start(&b, "vm-b", 8);
	node_tell(&a, &b);
	node_request(&a, &b, 9);
	STEP_UNTIL(&a, &b, a.seen.ends == 1);
	ck_assert_uint_eq(a.seen.last_id, 9);
	ck_assert_int_eq(a.seen.last_outcome, JH__ANSWER_END__OUTCOME__NOT_RUN);
	ck_assert_int_eq(a.seen.last_reason, JH__ANSWER_END__REASON__UNREACHABLE);
	ck_assert_uint_eq(b.seen.requests, 0);
	ck_assert_uint_eq(a.seen.downs + b.seen.downs, 0);
	node_end(&a);
	node_end(&b);
}
END_TEST

START_TEST(test_nobody_listens)
{
	node_t a;
	node_t b;

	node_start(&a, "vm-a", 7);
	node_start(&b, "vm-b", 7);
	node_stop(&b);
	node_request(&a, &b, 3);
	STEP_UNTIL(&a, &b, a.seen.ends == 1);
	node_tell(&a, &b);
	node_request(&a, &b, 4);
	STEP_UNTIL(&a, &b, a.seen.ends == 2);
	ck_assert_uint_eq(a.seen.last_id, 4);
	ck_assert_int_eq(a.seen.last_outcome, JH__ANSWER_END__OUTCOME__NOT_RUN);
	node_end(&a);
	node_end(&b);
}
END_TEST

static int stranger_connect(uint16_t port)
{
	struct sockaddr_in address = { .sin_family = AF_INET, .sin_port = htons(port) };
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	ck_assert_int_eq(connect(fd, (struct sockaddr *)&address, sizeof(address)), 0);
	return fd;
}

static bool stranger_is_closed(int fd)
{
	char bytes[4096];
	ssize_t count;

	while ((count = recv(fd, bytes, sizeof(bytes), MSG_DONTWAIT)) > 0)
		continue;
	return count == 0 || errno == ECONNRESET;
}

static void stranger_check(const void *bytes, size_t length)
{
	node_t a;
	int fd;

	node_start(&a, "vm-a", 7);
	fd = stranger_connect(a.port);
	ck_assert_int_eq(send(fd, bytes, length, MSG_NOSIGNAL), (ssize_t)length);
	STEP_UNTIL(&a, NULL, stranger_is_closed(fd));
	ck_assert_uint_eq(a.seen.requests, 0);
	close(fd);
	node_end(&a);
}

START_TEST(test_garbage)
{
	stranger_check("GET / HTTP/1.1\r\n\r\n", 18);
	stranger_check("\0\0\0\x08garbage!", 12);
}
END_TEST

/* A Request as the first frame, or behind a Hello without proof, is not delivered. */
START_TEST(test_frame_without_proof)
{
	GByteArray *bytes = g_byte_array_new();
	Jh__Frame *request = jh_frame_new(JH__FRAME__BODY_REQUEST);
	Jh__Frame *hello = jh_frame_new(JH__FRAME__BODY_HELLO);

	request->request->id = 1;
	jh_frame_pack(request, bytes);
	stranger_check(bytes->data, bytes->len);
	g_byte_array_set_size(bytes, 0);
	hello->hello->vm = jh_strdup("vm-b");
	hello->hello->boot = 5;
	hello->hello->nonce.data = g_malloc0(crypto_auth_BYTES);
	hello->hello->nonce.len = crypto_auth_BYTES;
	jh_frame_pack(hello, bytes);
	jh_frame_pack(request, bytes);
	stranger_check(bytes->data, bytes->len);
	/* Its own name and nonce sent back as proof. */
	g_byte_array_set_size(bytes, 0);
	jh_frame_pack(hello, bytes);
	hello->hello->mac.data = g_malloc0(crypto_auth_BYTES);
	hello->hello->mac.len = crypto_auth_BYTES;
	jh_frame_pack(hello, bytes);
	stranger_check(bytes->data, bytes->len);
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
	tcase_add_test(tcase, test_both_dial);
	tcase_add_test(tcase, test_forged_hello);
	tcase_add_test(tcase, test_nobody_listens);
	tcase_add_test(tcase, test_garbage);
	tcase_add_test(tcase, test_frame_without_proof);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
