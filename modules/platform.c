#include "jh_platform.h"

#include "jh_profile.h"
#include "jh_store.h"
#include "jh_counter.h"
#include "jh_log.h"

#include <curl/curl.h>
#include <string.h>

/*
 * The platform task: HTTP calls to the table service and the object store, by libcurl's multi
 * interface on the kernel's loop. The profile's dialect writes the calls and reads the answers.
 *
 * A caller must know whether a write that failed may have taken effect. It did not if no byte of
 * the request was sent or the platform refused it (UNAVAILABLE); after that, until an answer is
 * read, nothing is known (UNKNOWN). libcurl silently repeats a request whose reused connection
 * ended without an answer, so that a compare-and-set would collide with itself; writes therefore
 * never reuse a connection.
 */

#define CONNECT_TIMEOUT_MS 1000L
#define READ_TIMEOUT_MS 3000L
#define WRITE_TIMEOUT_MS 5000L

/* Idle time and interval of TCP keep-alive probes, seconds. */
#define KEEPALIVE_S 1L

#define CONNECTIONS_MAX 8L
#define CALLS_MAX 256u
#define ANSWER_MAX_BYTES (64u * 1024 * 1024)

JH_COUNTER(calls_total, "jasminehill_platform_calls_total", "calls to the platform");
JH_COUNTER(unavailable_total, "jasminehill_platform_unavailable_total",
	   "calls that did not reach the platform");
JH_COUNTER(unknown_total, "jasminehill_platform_unknown_total",
	   "writes to the platform whose answer was lost");

typedef struct platform {
	jh_task_t *task;
	const jh_store_protocol_t *dialect;
	CURLM *multi;
	ev_timer timer;
	/* Calls in flight: a set of call_t *. */
	GHashTable *calls;
	bool reachable;
} platform_t;

/* One call in flight. */
typedef struct call {
	platform_t *platform;
	jh_handle_t from;
	jh_platform_call_t kind;
	uint64_t tag;
	CURL *easy;
	struct curl_slist *headers;
	GBytes *body;
	GByteArray *answer;
	uint64_t version;
} call_t;

/* A socket that libcurl wants watched. */
typedef struct watch {
	platform_t *platform;
	ev_io io;
} watch_t;

/* ---- replies ---- */

static void reply_post(platform_t *platform, jh_handle_t to, const jh_platform_reply_t *reply)
{
	jh_platform_reply_t *body = g_rc_box_new0(jh_platform_reply_t);

	*body = *reply;
	jh_post(platform->task, to, JH_MSG_PLATFORM_REPLY, body, jh_platform_reply_clear);
}

static jh_platform_status_t status_of_failure(const call_t *call)
{
	long sent_bytes = 0;

	curl_easy_getinfo(call->easy, CURLINFO_REQUEST_SIZE, &sent_bytes);
	return jh_platform_call_is_write(call->kind) && sent_bytes > 0 ? JH_PLATFORM_UNKNOWN :
									 JH_PLATFORM_UNAVAILABLE;
}

static void platform_note_reach(platform_t *platform, bool reachable, const char *reason)
{
	if (platform->reachable == reachable)
		return;
	platform->reachable = reachable;
	if (reachable)
		jh_log(JH_LOG_INFO, "platform", "reachable", "reason=%s", jh_log_value(reason));
	else
		jh_log(JH_LOG_WARNING, "platform", "unreachable", "reason=%s",
		       jh_log_value(reason));
}

/* ---- calls ---- */

static void call_free(gpointer data)
{
	call_t *call = data;

	curl_multi_remove_handle(call->platform->multi, call->easy);
	curl_easy_cleanup(call->easy);
	curl_slist_free_all(call->headers);
	if (call->body)
		g_bytes_unref(call->body);
	g_byte_array_free(call->answer, TRUE);
	g_free(call);
}

static size_t on_answer(char *data, size_t size, size_t count, void *context)
{
	call_t *call = context;

	if (call->answer->len + size * count > ANSWER_MAX_BYTES)
		return 0;
	g_byte_array_append(call->answer, (const guint8 *)data, (guint)(size * count));
	return size * count;
}

static size_t on_header(char *data, size_t size, size_t count, void *context)
{
	static const char name[] = "etag: \"";
	call_t *call = context;
	char *line = g_strndup(data, size * count);

	if (g_ascii_strncasecmp(line, name, strlen(name)) == 0)
		call->version = g_ascii_strtoull(line + strlen(name), NULL, 10);
	g_free(line);
	return size * count;
}

static void call_set_body(call_t *call, GBytes *body)
{
	size_t size = 0;
	const void *data = "";

	if (body) {
		call->body = g_bytes_ref(body);
		data = g_bytes_get_data(call->body, &size);
	}
	/* Without this libcurl waits up to a second for "100 Continue" before a long body. */
	call->headers = curl_slist_append(call->headers, "Expect:");
	curl_easy_setopt(call->easy, CURLOPT_POSTFIELDSIZE_LARGE, (curl_off_t)size);
	curl_easy_setopt(call->easy, CURLOPT_POSTFIELDS, data ? data : "");
}

/* Keep-alive probes end a connection that went silent, long before a feed's wait is over. */
static void call_set_keepalive(CURL *easy)
{
	curl_easy_setopt(easy, CURLOPT_TCP_KEEPALIVE, 1L);
	curl_easy_setopt(easy, CURLOPT_TCP_KEEPIDLE, KEEPALIVE_S);
	curl_easy_setopt(easy, CURLOPT_TCP_KEEPINTVL, KEEPALIVE_S);
}

static void call_set_options(call_t *call, const jh_http_request_t *http)
{
	CURL *easy = call->easy;
	unsigned i;

	curl_easy_setopt(easy, CURLOPT_URL, http->url);
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(easy, CURLOPT_USERAGENT, "jasminehilld/" JH_VERSION);
	curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, http->timeout_ms);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_answer);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, call);
	curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(easy, CURLOPT_HEADERDATA, call);
	curl_easy_setopt(easy, CURLOPT_PRIVATE, call);
	call_set_keepalive(easy);
	if (!g_str_equal(http->method, "GET"))
		call_set_body(call, http->body);
	curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, http->method);
	if (jh_platform_call_is_write(call->kind))
		curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
	for (i = 0; i < http->headers->len; i++)
		call->headers =
			curl_slist_append(call->headers, g_ptr_array_index(http->headers, i));
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, call->headers);
}

static void http_call_clear(jh_http_request_t *http)
{
	g_free(http->url);
	g_ptr_array_free(http->headers, TRUE);
	if (http->body)
		g_bytes_unref(http->body);
}

static void platform_call(platform_t *platform, jh_handle_t from,
			  const jh_platform_request_t *request)
{
	const jh_settings_t *settings = jh_kernel_settings(jh_task_kernel(platform->task));
	jh_http_request_t http = { .method = "GET", .timeout_ms = READ_TIMEOUT_MS };
	jh_error_t err = JH_ERROR_INIT;
	bool encoded;
	call_t *call;

	http.headers = g_ptr_array_new_with_free_func(g_free);
	if (jh_platform_call_is_write(request->call))
		http.timeout_ms = WRITE_TIMEOUT_MS;
	encoded = platform->dialect->encode(settings, request, &http, &err) == 0;
	if (!encoded)
		jh_log(JH_LOG_ERROR, "platform", "call_not_sent", "dialect=%s reason=%s",
		       platform->dialect->name, jh_log_value(err.message));
	jh_error_clear(&err);
	jh_counter_add(&calls_total, 1);
	if (!encoded || g_hash_table_size(platform->calls) >= CALLS_MAX) {
		jh_counter_add(&unavailable_total, 1);
		reply_post(platform, from,
			   &(jh_platform_reply_t){ .call = request->call,
						   .tag = request->tag,
						   .status = JH_PLATFORM_UNAVAILABLE });
		http_call_clear(&http);
		return;
	}
	call = g_new0(call_t, 1);
	call->platform = platform;
	call->from = from;
	call->kind = request->call;
	call->tag = request->tag;
	call->easy = curl_easy_init();
	call->answer = g_byte_array_new();
	call_set_options(call, &http);
	http_call_clear(&http);
	g_hash_table_add(platform->calls, call);
	curl_multi_add_handle(platform->multi, call->easy);
}

static void call_finish(call_t *call, CURLcode code)
{
	platform_t *platform = call->platform;
	jh_platform_reply_t reply = { .call = call->kind,
				      .tag = call->tag,
				      .version = call->version };
	jh_http_response_t answer = { .version = call->version };
	long http = 0;

	curl_easy_getinfo(call->easy, CURLINFO_RESPONSE_CODE, &http);
	if (code == CURLE_OK) {
		answer.status = http;
		answer.body = g_bytes_new(call->answer->data, call->answer->len);
		platform->dialect->decode(&answer, &reply);
		g_bytes_unref(answer.body);
	} else {
		reply.status = status_of_failure(call);
	}
	if (reply.status == JH_PLATFORM_UNAVAILABLE)
		jh_counter_add(&unavailable_total, 1);
	else if (reply.status == JH_PLATFORM_UNKNOWN)
		jh_counter_add(&unknown_total, 1);
	if (code != CURLE_OK)
		platform_note_reach(platform, false, curl_easy_strerror(code));
	else
		platform_note_reach(platform, http < 500, http < 500 ? "answered" : "HTTP error");
	reply_post(platform, call->from, &reply);
	g_hash_table_remove(platform->calls, call);
}

static void platform_collect(platform_t *platform)
{
	CURLMsg *msg;
	int left;

	while ((msg = curl_multi_info_read(platform->multi, &left))) {
		char *call = NULL;

		if (msg->msg != CURLMSG_DONE)
			continue;
		curl_easy_getinfo(msg->easy_handle, CURLINFO_PRIVATE, &call);
		call_finish((call_t *)call, msg->data.result);
	}
}

/* ---- libcurl on libev ---- */

static void on_socket_event(struct ev_loop *loop, ev_io *io, int events)
{
	watch_t *watch = io->data;
	platform_t *platform = watch->platform;
	int running;
	int mask = (events & EV_READ ? CURL_CSELECT_IN : 0) |
		   (events & EV_WRITE ? CURL_CSELECT_OUT : 0);

	(void)loop;
	curl_multi_socket_action(platform->multi, io->fd, mask, &running);
	platform_collect(platform);
}

static void on_timer_event(struct ev_loop *loop, ev_timer *timer, int events)
{
	platform_t *platform = timer->data;
	int running;

	(void)loop;
	(void)events;
	curl_multi_socket_action(platform->multi, CURL_SOCKET_TIMEOUT, 0, &running);
	platform_collect(platform);
}

static int on_watch_socket(CURL *easy, curl_socket_t fd, int what, void *context, void *socket)
{
	platform_t *platform = context;
	struct ev_loop *loop = jh_task_loop(platform->task);
	watch_t *watch = socket;
	int events = (what & CURL_POLL_IN ? EV_READ : 0) | (what & CURL_POLL_OUT ? EV_WRITE : 0);

	(void)easy;
	if (watch)
		ev_io_stop(loop, &watch->io);
	if (what == CURL_POLL_REMOVE) {
		curl_multi_assign(platform->multi, fd, NULL);
		g_free(watch);
		return 0;
	}
	if (!watch) {
		watch = g_new0(watch_t, 1);
		watch->platform = platform;
		curl_multi_assign(platform->multi, fd, watch);
	}
	ev_io_init(&watch->io, on_socket_event, fd, events);
	watch->io.data = watch;
	ev_io_start(loop, &watch->io);
	return 0;
}

static int on_set_timer(CURLM *multi, long timeout_ms, void *context)
{
	platform_t *platform = context;
	struct ev_loop *loop = jh_task_loop(platform->task);

	(void)multi;
	ev_timer_stop(loop, &platform->timer);
	if (timeout_ms < 0)
		return 0;
	ev_timer_set(&platform->timer, (double)timeout_ms / 1000.0, 0);
	ev_timer_start(loop, &platform->timer);
	return 0;
}

/* ---- module ---- */

static int platform_init(jh_task_t *task, jh_error_t *err)
{
	platform_t *platform;
	CURLM *multi;

	if (curl_global_init(CURL_GLOBAL_DEFAULT) != CURLE_OK)
		return jh_error_set(err, JH_ERR_SYSTEM, "libcurl can't start");
	multi = curl_multi_init();
	if (!multi) {
		curl_global_cleanup();
		return jh_error_set(err, JH_ERR_SYSTEM, "libcurl can't make a multi handle");
	}
	platform = g_new0(platform_t, 1);
	platform->task = task;
	platform->dialect = jh_profile_get(jh_kernel_settings(jh_task_kernel(task)))->store;
	platform->multi = multi;
	platform->calls = g_hash_table_new_full(NULL, NULL, call_free, NULL);
	ev_timer_init(&platform->timer, on_timer_event, 0, 0);
	platform->timer.data = platform;
	curl_multi_setopt(multi, CURLMOPT_SOCKETFUNCTION, on_watch_socket);
	curl_multi_setopt(multi, CURLMOPT_SOCKETDATA, platform);
	curl_multi_setopt(multi, CURLMOPT_TIMERFUNCTION, on_set_timer);
	curl_multi_setopt(multi, CURLMOPT_TIMERDATA, platform);
	curl_multi_setopt(multi, CURLMOPT_MAX_TOTAL_CONNECTIONS, CONNECTIONS_MAX);
	jh_task_set_state(task, platform);
	return 0;
}

static void platform_on_message(jh_task_t *task, const jh_msg_t *msg)
{
	if (msg->type == JH_MSG_PLATFORM_REQUEST)
		platform_call(jh_task_state(task), msg->from, msg->body);
}

static void platform_fini(jh_task_t *task)
{
	platform_t *platform = jh_task_state(task);

	g_hash_table_destroy(platform->calls);
	curl_multi_cleanup(platform->multi);
	ev_timer_stop(jh_task_loop(task), &platform->timer);
	curl_global_cleanup();
	g_free(platform);
}

static jh_rows_t *platform_show(jh_task_t *task, const char *topic)
{
	static const char *const columns[] = { "url", "reachable", "calls_in_flight", NULL };
	const platform_t *platform = jh_task_state(task);
	char calls[16];
	jh_rows_t *rows;

	if (!g_str_equal(topic, "platform"))
		return NULL;
	g_snprintf(calls, sizeof(calls), "%u", g_hash_table_size(platform->calls));
	rows = jh_rows_new(columns);
	jh_rows_add(rows, jh_kernel_settings(jh_task_kernel(task))->platform_url,
		    platform->reachable ? "yes" : "no", calls);
	return rows;
}

const jh_module_t jh_platform_module = {
	.name = "platform",
	.doc = "calls to the platform's table service and object store",
	.subscriptions = { JH_MSG_TYPES },
	.frames = { 0 },
	.init = platform_init,
	.on_message = platform_on_message,
	.fini = platform_fini,
	.show = platform_show,
};
