#include "jh_platform.h"

#include <arpa/inet.h>
#include <check.h>
#include <curl/curl.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

/*
 * Guards against a write that is sent twice or whose outcome is reported wrongly when the platform
 * fails or its response is lost, and against a write that replaces a newer row or an existing
 * object. The platform's stand-in runs as a separate process.
 */

extern const jh_module_t jh_platform_module;

static GPid standin_pid;
static char *base_url;
static jh_settings_t settings;
static jh_kernel_t *kernel;
static jh_task_t *probe;
static jh_platform_status_t status;
static uint64_t version;
static char *body;

/* ---- A task that stops the kernel when a reply arrives ---- */

static int probe_init(jh_task_t *task, jh_error_t *err)
{
	(void)err;
	probe = task;
	return 0;
}

static void probe_on_message(jh_task_t *task, const jh_msg_t *msg)
{
	const jh_platform_reply_t *reply = msg->body;
	gsize length = 0;
	const char *data = reply->body ? g_bytes_get_data(reply->body, &length) : NULL;

	status = reply->status;
	version = reply->version;
	g_free(body);
	body = data ? g_strndup(data, length) : NULL;
	jh_kernel_stop(jh_task_kernel(task));
}

static void probe_fini(jh_task_t *task)
{
	(void)task;
}

static const jh_module_t probe_module = {
	.name = "probe",
	.subscriptions = { JH_MSG_TYPE_COUNT },
	.init = probe_init,
	.on_message = probe_on_message,
	.fini = probe_fini,
};

/* Sends one request and runs the kernel until its reply. Sets status, version and body. */
static jh_platform_status_t call_platform(jh_platform_call_t kind, const char *name,
					  uint64_t known_version, const char *text)
{
	GBytes *bytes = text ? g_bytes_new(text, strlen(text)) : NULL;

	jh_platform_send(probe, kind, "t", name, known_version, bytes, 1);
	if (bytes)
		g_bytes_unref(bytes);
	jh_kernel_run(kernel);
	return status;
}

/* ---- The stand-in for the platform ---- */

static void standin_post(const char *path)
{
	CURL *easy = curl_easy_init();
	char *url = g_strconcat(base_url, path, NULL);

	curl_easy_setopt(easy, CURLOPT_URL, url);
	curl_easy_setopt(easy, CURLOPT_POSTFIELDS, "");
	ck_assert_int_eq(curl_easy_perform(easy), CURLE_OK);
	curl_easy_cleanup(easy);
	g_free(url);
}

static void standin_start(void)
{
	char *self = g_file_read_link("/proc/self/exe", NULL);
	char *folder = g_path_get_dirname(self);
	char *program = g_build_filename(folder, "standin_platform", NULL);
	char *argv[] = { program, "--listen", "127.0.0.1:0", NULL };
	unsigned port = 0;
	int out;
	FILE *stream;

	ck_assert(g_spawn_async_with_pipes(NULL, argv, NULL, G_SPAWN_DO_NOT_REAP_CHILD, NULL, NULL,
					   &standin_pid, NULL, &out, NULL, NULL));
	stream = fdopen(out, "r");
	ck_assert_int_eq(fscanf(stream, "standin_platform listening port=%u", &port), 1);
	fclose(stream);
	base_url = g_strdup_printf("http://127.0.0.1:%u", port);
	g_free(program);
	g_free(folder);
	g_free(self);
}

static void standin_stop(void)
{
	if (!standin_pid)
		return;
	kill(standin_pid, SIGTERM);
	waitpid(standin_pid, NULL, 0);
	standin_pid = 0;
}

static void setup(void)
{
	jh_error_t err = JH_ERROR_INIT;

	signal(SIGPIPE, SIG_IGN);
	standin_start();
	settings.platform_url = base_url;
	kernel = jh_kernel_new(&settings, &err);
	ck_assert_ptr_nonnull(kernel);
	ck_assert_int_eq(jh_kernel_add_module(kernel, &jh_platform_module, &err), 0);
	ck_assert_int_eq(jh_kernel_add_module(kernel, &probe_module, &err), 0);
}

static void teardown(void)
{
	jh_kernel_free(kernel);
	standin_stop();
	g_clear_pointer(&base_url, g_free);
	g_clear_pointer(&body, g_free);
}

/* ---- Tests ---- */

START_TEST(test_row_versions)
{
	ck_assert_int_eq(call_platform(JH_PLATFORM_GET_ROW, "r", 0, NULL), JH_PLATFORM_NOT_FOUND);
	ck_assert_int_eq(call_platform(JH_PLATFORM_PUT_ROW, "r", 0, "one"), JH_PLATFORM_OK);
	ck_assert_uint_eq(version, 1);
	ck_assert_int_eq(call_platform(JH_PLATFORM_PUT_ROW, "r", 0, "two"), JH_PLATFORM_CONFLICT);
	ck_assert_uint_eq(version, 1);
	ck_assert_int_eq(call_platform(JH_PLATFORM_GET_ROW, "r", 1, NULL), JH_PLATFORM_UNCHANGED);
	ck_assert_int_eq(call_platform(JH_PLATFORM_GET_ROW, "r", 0, NULL), JH_PLATFORM_OK);
	ck_assert_str_eq(body, "one");
}
END_TEST

START_TEST(test_objects_are_put_once)
{
	ck_assert_int_eq(call_platform(JH_PLATFORM_PUT_OBJECT, "a/b", 0, "x"), JH_PLATFORM_OK);
	ck_assert_int_eq(call_platform(JH_PLATFORM_PUT_OBJECT, "a/b", 0, "y"),
			 JH_PLATFORM_CONFLICT);
	ck_assert_int_eq(call_platform(JH_PLATFORM_GET_OBJECT, "a/b", 0, NULL), JH_PLATFORM_OK);
	ck_assert_str_eq(body, "x");
	ck_assert_int_eq(call_platform(JH_PLATFORM_LIST_OBJECTS, "a/", 0, NULL), JH_PLATFORM_OK);
	ck_assert_str_eq(body, "[\"a/b\"]");
}
END_TEST

/*
 * The response to a write is lost. libcurl repeats a request whose reused connection was closed,
 * and the repeated write would get CONFLICT. So a write opens a new connection, and its outcome is
 * UNKNOWN.
 */
START_TEST(test_lost_response_is_unknown)
{
	ck_assert_int_eq(call_platform(JH_PLATFORM_GET_ROW, "r", 0, NULL), JH_PLATFORM_NOT_FOUND);
	standin_post("/test/lose?count=1");
	ck_assert_int_eq(call_platform(JH_PLATFORM_PUT_ROW, "r", 0, "one"), JH_PLATFORM_UNKNOWN);
	ck_assert_int_eq(call_platform(JH_PLATFORM_GET_ROW, "r", 0, NULL), JH_PLATFORM_OK);
	ck_assert_str_eq(body, "one");
}
END_TEST

/* Each kind of outage gives the status that says whether a write may have taken effect. */
START_TEST(test_outage_status)
{
	standin_post("/test/outage?mode=refuse");
	ck_assert_int_eq(call_platform(JH_PLATFORM_PUT_ROW, "r", 0, "one"),
			 JH_PLATFORM_UNAVAILABLE);
	standin_post("/test/outage?mode=reset");
	ck_assert_int_eq(call_platform(JH_PLATFORM_PUT_ROW, "r", 0, "one"), JH_PLATFORM_UNKNOWN);
	standin_post("/test/outage?mode=hang");
	ck_assert_int_eq(call_platform(JH_PLATFORM_GET_ROW, "r", 0, NULL), JH_PLATFORM_UNAVAILABLE);
	ck_assert_int_eq(call_platform(JH_PLATFORM_PUT_ROW, "r", 0, "late"), JH_PLATFORM_UNKNOWN);
	standin_post("/test/outage?mode=up");
	do {
		call_platform(JH_PLATFORM_GET_ROW, "r", 0, NULL);
	} while (status == JH_PLATFORM_NOT_FOUND);
	ck_assert_str_eq(body, "late");
	standin_stop();
	ck_assert_int_eq(call_platform(JH_PLATFORM_PUT_ROW, "r", 1, "two"),
			 JH_PLATFORM_UNAVAILABLE);
}
END_TEST

/* ---- A store restored from an older copy ---- */

/*
 * Two writes have the number 2, one in each era. The second one was taken for the first, which was
 * known already, and was never applied.
 */
START_TEST(test_versions_of_a_restored_store_are_newer)
{
	uint64_t lost_version;

	call_platform(JH_PLATFORM_PUT_ROW, "r", 0, "one");
	standin_post("/test/copy");
	ck_assert_int_eq(call_platform(JH_PLATFORM_PUT_ROW, "r", version, "lost"), JH_PLATFORM_OK);
	lost_version = version;
	standin_post("/test/restore");
	ck_assert_int_eq(call_platform(JH_PLATFORM_GET_ROW, "r", lost_version, NULL),
			 JH_PLATFORM_OK);
	ck_assert_str_eq(body, "one");
	ck_assert_uint_gt(version, lost_version);
	ck_assert_int_eq(call_platform(JH_PLATFORM_PUT_ROW, "r", version, "two"), JH_PLATFORM_OK);
	ck_assert_uint_gt(version, lost_version);
	ck_assert_int_eq(call_platform(JH_PLATFORM_GET_ROW, "r", lost_version, NULL),
			 JH_PLATFORM_OK);
	ck_assert_str_eq(body, "two");
}
END_TEST

/* The number that a write expects may stand for another row in the new era. */
START_TEST(test_conditional_write_across_a_restoration_is_not_taken_for_done)
{
	uint64_t lost_version;

	standin_post("/test/era?text=1");
	call_platform(JH_PLATFORM_PUT_ROW, "r", 0, "one");
	standin_post("/test/copy");
	call_platform(JH_PLATFORM_PUT_ROW, "r", version, "lost");
	lost_version = version;
	standin_post("/test/restore");
	standin_post("/test/era?text=2");
	/* This VM does not know of the restoration yet, and row 1 exists in both eras. */
	ck_assert_int_eq(call_platform(JH_PLATFORM_PUT_ROW, "r", jh_store_version(1, 1), "two"),
			 JH_PLATFORM_UNKNOWN);
	ck_assert_int_eq(call_platform(JH_PLATFORM_PUT_ROW, "r", lost_version, "three"),
			 JH_PLATFORM_CONFLICT);
	call_platform(JH_PLATFORM_GET_ROW, "r", 0, NULL);
	ck_assert_str_eq(body, "two");
}
END_TEST

/* A late answer, or a part of the store that is not restored yet, must change nothing. */
START_TEST(test_answer_of_an_older_or_malformed_era_changes_nothing)
{
	static const char *const invalid_eras[] = { "4", "", "-1", "5x", "18446744073709551616" };
	unsigned i;

	standin_post("/test/era?text=5");
	ck_assert_int_eq(call_platform(JH_PLATFORM_PUT_ROW, "r", 0, "one"), JH_PLATFORM_OK);
	for (i = 0; i < G_N_ELEMENTS(invalid_eras); i++) {
		char *path = g_strconcat("/test/era?text=", invalid_eras[i], NULL);

		standin_post(path);
		ck_assert_int_eq(call_platform(JH_PLATFORM_GET_ROW, "r", 0, NULL),
				 JH_PLATFORM_UNAVAILABLE);
		ck_assert_int_eq(call_platform(JH_PLATFORM_PUT_ROW, "r", 0, "x"),
				 JH_PLATFORM_UNKNOWN);
		g_free(path);
	}
	/* An era that jumps by more than one is a later era all the same. */
	standin_post("/test/era?text=9");
	ck_assert_int_eq(call_platform(JH_PLATFORM_GET_ROW, "r", 0, NULL), JH_PLATFORM_OK);
	ck_assert_uint_eq(jh_store_version_era(version), 9);
}
END_TEST

/* ---- A slow platform: sends its response to a read in pieces, one every PIECE_INTERVAL_S ---- */

#define PIECE_INTERVAL_S 0.5

typedef struct slow_server {
	int listener;
	int fd;
	unsigned pieces_left;
	/* Pieces that are never sent although the response's header announces them. */
	unsigned pieces_missing;
	ev_io accept;
	ev_timer timer;
} slow_server_t;

static void on_piece_due(struct ev_loop *loop, ev_timer *timer, int events)
{
	slow_server_t *server = timer->data;

	(void)events;
	if (server->pieces_left == server->pieces_missing) {
		ev_timer_stop(loop, timer);
		return;
	}
	server->pieces_left--;
	ck_assert_int_eq(send(server->fd, "piece ", 6, MSG_NOSIGNAL), 6);
}

static void on_slow_accept(struct ev_loop *loop, ev_io *watcher, int events)
{
	slow_server_t *server = watcher->data;
	char *header =
		g_strdup_printf("HTTP/1.1 200 OK\r\nETag: \"7\"\r\nContent-Length: %u\r\n\r\n",
				6 * server->pieces_left);

	(void)events;
	server->fd = accept(server->listener, NULL, NULL);
	ck_assert_int_gt(send(server->fd, header, strlen(header), MSG_NOSIGNAL), 0);
	g_free(header);
	ev_timer_start(loop, &server->timer);
}

static jh_platform_status_t read_from_slow_server(unsigned pieces, unsigned pieces_missing)
{
	struct sockaddr_in address = { .sin_family = AF_INET,
				       .sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
	slow_server_t server = { .listener = socket(AF_INET, SOCK_STREAM, 0),
				 .fd = -1,
				 .pieces_left = pieces,
				 .pieces_missing = pieces_missing };
	struct ev_loop *loop = jh_kernel_loop(kernel);
	socklen_t length = sizeof(address);

	ck_assert_int_eq(bind(server.listener, (struct sockaddr *)&address, length), 0);
	ck_assert_int_eq(listen(server.listener, 1), 0);
	ck_assert_int_eq(getsockname(server.listener, (struct sockaddr *)&address, &length), 0);
	g_free(base_url);
	base_url = g_strdup_printf("http://127.0.0.1:%u", ntohs(address.sin_port));
	settings.platform_url = base_url;
	ev_io_init(&server.accept, on_slow_accept, server.listener, EV_READ);
	ev_timer_init(&server.timer, on_piece_due, PIECE_INTERVAL_S, PIECE_INTERVAL_S);
	server.accept.data = &server;
	server.timer.data = &server;
	ev_io_start(loop, &server.accept);
	call_platform(JH_PLATFORM_GET_ROW, "r", 0, NULL);
	ev_io_stop(loop, &server.accept);
	ev_timer_stop(loop, &server.timer);
	close(server.fd);
	close(server.listener);
	return status;
}

/*
 * A table that takes longer than the timeout on a small VM's link was given up and read again from
 * its beginning, over and over: the VM never had a configuration.
 */
START_TEST(test_slow_response_is_read_while_its_bytes_arrive)
{
	ck_assert_int_eq(read_from_slow_server(10, 0), JH_PLATFORM_OK);
	ck_assert_uint_eq(version, 7);
	ck_assert_uint_eq(strlen(body), 60);
}
END_TEST

START_TEST(test_response_that_stops_arriving_is_given_up)
{
	ck_assert_int_eq(read_from_slow_server(10, 9), JH_PLATFORM_UNAVAILABLE);
}
END_TEST

/* Longer than the test may take, so that only the request to end it ends the feed. */
#define FEED_WAIT_MS (1000 * 1000)

/* Guards against a feed that the store has forgotten and that waits until its timeout. */
START_TEST(test_feed_that_waits_can_be_ended)
{
	struct sockaddr_in address = { .sin_family = AF_INET,
				       .sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
	int listener = socket(AF_INET, SOCK_STREAM, 0);
	socklen_t length = sizeof(address);
	unsigned i;

	ck_assert_int_eq(bind(listener, (struct sockaddr *)&address, length), 0);
	ck_assert_int_eq(listen(listener, 1), 0);
	ck_assert_int_eq(getsockname(listener, (struct sockaddr *)&address, &length), 0);
	teardown();
	settings.profile = (char *)"fleet";
	setup();
	g_free(base_url);
	base_url = g_strdup_printf("http://127.0.0.1:%u", ntohs(address.sin_port));
	settings.platform_url = base_url;
	status = JH_PLATFORM_OK;
	jh_platform_feed(probe, "members", 0, FEED_WAIT_MS, 2);
	/* Neither ends that feed: the tags differ. */
	jh_platform_end_feed(probe, 1);
	jh_platform_end_feed(probe, 3);
	for (i = 0; i < 50; i++) {
		ev_run(jh_kernel_loop(kernel), EVRUN_NOWAIT);
		g_usleep(1000);
	}
	ck_assert_int_eq(status, JH_PLATFORM_OK);
	jh_platform_end_feed(probe, 2);
	jh_kernel_run(kernel);
	ck_assert_int_eq(status, JH_PLATFORM_UNAVAILABLE);
	close(listener);
	settings.profile = NULL;
}
END_TEST

/* A store that answers the first request twice. The second answer must not be taken for that of the
 * next request. */
typedef struct repeating_server {
	int listener;
	unsigned accepted;
	unsigned requests;
	/* Microseconds between the first answer and the second one; 0: in the same segment; -1:
	 * when the connection's next request has come. */
	int64_t delay_us;
	ev_io accept;
	ev_io reads[8];
	ev_timer timer;
	/* The connection of the first request. */
	ev_io *repeated;
} repeating_server_t;

static const char first_answer[] = "HTTP/1.1 200 OK\r\nETag: \"1\"\r\nContent-Length: 3\r\n\r\none";
static const char second_answer[] =
	"HTTP/1.1 200 OK\r\nETag: \"2\"\r\nContent-Length: 3\r\n\r\ntwo";

static void send_text(int fd, const char *text)
{
	ck_assert_int_eq(send(fd, text, strlen(text), MSG_NOSIGNAL), (ssize_t)strlen(text));
}

static void on_repeat_due(struct ev_loop *loop, ev_timer *timer, int events)
{
	repeating_server_t *server = timer->data;

	(void)loop;
	(void)events;
	/* The client may have closed the connection. */
	if (ev_is_active(server->repeated))
		(void)send(server->repeated->fd, first_answer, strlen(first_answer), MSG_NOSIGNAL);
}

static void on_request(struct ev_loop *loop, ev_io *watcher, int events)
{
	repeating_server_t *server = watcher->data;
	char buffer[4096];
	ssize_t count = recv(watcher->fd, buffer, sizeof(buffer), 0);

	(void)events;
	if (count <= 0) {
		ev_io_stop(loop, watcher);
		close(watcher->fd);
		return;
	}
	if (server->requests++ > 0) {
		if (server->delay_us < 0 && watcher == server->repeated)
			send_text(watcher->fd, first_answer);
		send_text(watcher->fd, second_answer);
		return;
	}
	send_text(watcher->fd, first_answer);
	server->repeated = watcher;
	if (server->delay_us == 0)
		send_text(watcher->fd, first_answer);
	if (server->delay_us > 0)
		ev_timer_start(loop, &server->timer);
}

static void on_repeating_accept(struct ev_loop *loop, ev_io *watcher, int events)
{
	repeating_server_t *server = watcher->data;
	int fd = accept(watcher->fd, NULL, NULL);
	ev_io *read = &server->reads[server->accepted++];

	(void)events;
	ck_assert_uint_le(server->accepted, G_N_ELEMENTS(server->reads));
	ev_io_init(read, on_request, fd, EV_READ);
	read->data = server;
	ev_io_start(loop, read);
}

static void ck_second_read(int64_t delay_us)
{
	struct sockaddr_in address = { .sin_family = AF_INET,
				       .sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
	repeating_server_t server = { .listener = socket(AF_INET, SOCK_STREAM, 0),
				      .delay_us = delay_us };
	struct ev_loop *loop = jh_kernel_loop(kernel);
	socklen_t length = sizeof(address);
	unsigned i;

	ck_assert_int_eq(bind(server.listener, (struct sockaddr *)&address, length), 0);
	ck_assert_int_eq(listen(server.listener, 8), 0);
	ck_assert_int_eq(getsockname(server.listener, (struct sockaddr *)&address, &length), 0);
	g_free(base_url);
	base_url = g_strdup_printf("http://127.0.0.1:%u", ntohs(address.sin_port));
	settings.platform_url = base_url;
	ev_io_init(&server.accept, on_repeating_accept, server.listener, EV_READ);
	ev_timer_init(&server.timer, on_repeat_due, (double)delay_us / G_USEC_PER_SEC, 0);
	server.accept.data = &server;
	server.timer.data = &server;
	ev_io_start(loop, &server.accept);
	call_platform(JH_PLATFORM_GET_ROW, "r", 0, NULL);
	ck_assert_str_eq(body, "one");
	for (i = 0; i < 50; i++) {
		ev_run(loop, EVRUN_NOWAIT);
		g_usleep(1000);
	}
	call_platform(JH_PLATFORM_GET_ROW, "s", 0, NULL);
	ck_assert_int_eq(status, JH_PLATFORM_OK);
	ck_assert_str_eq(body, "two");
	ev_io_stop(loop, &server.accept);
	ev_timer_stop(loop, &server.timer);
	for (i = 0; i < server.accepted; i++)
		ev_io_stop(loop, &server.reads[i]);
	close(server.listener);
}

START_TEST(test_answer_repeated_at_once)
{
	ck_second_read(0);
}
END_TEST

START_TEST(test_answer_repeated_while_idle)
{
	ck_second_read(10000);
}
END_TEST

START_TEST(test_answer_repeated_after_the_next_request)
{
	ck_second_read(-1);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("platform");
	TCase *tcase = tcase_create("calls");
	SRunner *runner;
	int failed;

	tcase_add_checked_fixture(tcase, setup, teardown);
	tcase_add_test(tcase, test_row_versions);
	tcase_add_test(tcase, test_objects_are_put_once);
	tcase_add_test(tcase, test_lost_response_is_unknown);
	tcase_add_test(tcase, test_outage_status);
	tcase_add_test(tcase, test_versions_of_a_restored_store_are_newer);
	tcase_add_test(tcase, test_conditional_write_across_a_restoration_is_not_taken_for_done);
	tcase_add_test(tcase, test_answer_of_an_older_or_malformed_era_changes_nothing);
	tcase_add_test(tcase, test_slow_response_is_read_while_its_bytes_arrive);
	tcase_add_test(tcase, test_response_that_stops_arriving_is_given_up);
	tcase_add_test(tcase, test_feed_that_waits_can_be_ended);
	tcase_add_test(tcase, test_answer_repeated_at_once);
	tcase_add_test(tcase, test_answer_repeated_while_idle);
	tcase_add_test(tcase, test_answer_repeated_after_the_next_request);
	tcase_set_timeout(tcase, 60);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
