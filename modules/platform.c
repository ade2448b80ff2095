#include "jh_platform.h"

#include "jh_profile.h"
#include "jh_store.h"
#include "jh_counter.h"
#include "jh_log.h"

#include <curl/curl.h>
#include <string.h>

/*
 * The platform task makes HTTP calls to the platform's table service and object store, with
 * libcurl's multi interface on the event loop. The profile's store protocol encodes the requests
 * and decodes the responses.
 *
 * The reply to a failed write must say whether the write may have taken effect. It did not if no
 * byte of the request was sent or the platform rejected the request (UNAVAILABLE). If some bytes
 * were sent and no response was read, the outcome is unknown (UNKNOWN).
 *
 * The header Store-Era of each answer tells whether the store was restored from an older copy. An
 * answer of an older era than the newest one known changes nothing. A write whose answer is of a
 * later era than its request has an unknown outcome.
 *
 * Each call has a connection of its own. A response names no request, and libcurl takes the next
 * bytes on a connection that it reuses for the response, also those of a second response to the
 * call before. Nor does libcurl then silently repeat a request because a reused connection was
 * closed; a repeated compare-and-set would conflict with its own first attempt.
 */

#define CONNECT_TIMEOUT_MS 1000L
/* A call is given up if nothing of its response arrives for this time. */
#define READ_TIMEOUT_MS 3000L
#define WRITE_TIMEOUT_MS 5000L

/* Longest time of a whole call, however steadily its response arrives. */
#define CALL_MAX_MS 60000L

/* Idle time and interval of TCP keep-alive probes, seconds. */
#define TCP_KEEPALIVE_S 1L

/* Feeds and checks of each table, a lease read, and writes at the same time. */
#define CONNECTIONS_MAX 12L
#define CALLS_IN_FLIGHT_MAX 256u
#define RESPONSE_MAX_BYTES (64u * 1024 * 1024)

JH_COUNTER(calls_total, "jasminehill_platform_calls_total", "calls to the platform");
JH_COUNTER(calls_unavailable_total, "jasminehill_platform_unavailable_total",
	   "calls that did not reach the platform");
JH_COUNTER(restorations_total, "jasminehill_platform_restorations_total",
	   "times that the store came back from an older copy");
JH_COUNTER(eras_invalid_total, "jasminehill_platform_eras_invalid_total",
	   "answers whose era was malformed or older than one seen before");
JH_COUNTER(writes_unknown_total, "jasminehill_platform_unknown_total",
	   "writes to the platform whose answer was lost");

typedef struct platform {
	jh_task_t *task;
	const jh_store_protocol_t *protocol;
	CURLM *multi;
	ev_timer timer;
	/* Set of call_t *, the calls in flight; owned. */
	GHashTable *calls;
	/* True if the last call got a response with a status below 500. */
	bool is_reachable;
	/* The newest era known, from answers and from versions in requests; 0 before any. */
	uint64_t era;
	/* An answer of the store has been read; the first one's era is no restoration. */
	bool has_era;
	/* An invalid era was logged since the last valid one. */
	bool is_invalid_era_logged;
} platform_t;

/* One call in flight. */
typedef struct call {
	platform_t *platform;
	/* The task that gets the reply. */
	jh_handle_t from;
	jh_platform_call_t kind;
	uint64_t tag;
	CURL *easy;
	struct curl_slist *headers;
	/* Body of the request; libcurl reads it until the call ends. NULL if there is none. */
	GBytes *body;
	/* Body of the response, as far as it was received. */
	GByteArray *response;
	/* Ends the call if nothing of the response arrives for the request's timeout. A long table
	 * takes longer than that on a small VM's link, and would otherwise never be read.
	 */
	ev_timer stall_timer;
	/* Version in the ETag header of the response; 0 without that header. */
	uint64_t version;
	/* Newest era known when the request was sent, and whether any answer had told it. */
	uint64_t sent_era;
	bool sent_era_counts;
	/* Era of the response, 0 without that header. */
	uint64_t era;
	bool is_era_malformed;
	/* The request continues a scan of a table. */
	bool is_later_page;
} call_t;

/* A socket of libcurl that the event loop watches; libcurl stores the pointer for the socket. */
typedef struct socket_watch {
	platform_t *platform;
	ev_io io;
} socket_watch_t;

/* ---- Replies ---- */

static void post_reply(platform_t *platform, jh_handle_t to, const jh_platform_reply_t *reply)
{
	jh_platform_reply_t *body = g_rc_box_new0(jh_platform_reply_t);

	*body = *reply;
	jh_post(platform->task, to, JH_MSG_PLATFORM_REPLY, body, jh_platform_reply_clear);
}

/* Status of a call without a response: whether a write may have taken effect. */
static jh_platform_status_t call_failure_status(const call_t *call)
{
	long sent_bytes = 0;

	curl_easy_getinfo(call->easy, CURLINFO_REQUEST_SIZE, &sent_bytes);
	return jh_platform_call_is_write(call->kind) && sent_bytes > 0 ? JH_PLATFORM_UNKNOWN :
									 JH_PLATFORM_UNAVAILABLE;
}

/* Logs the change if the platform became reachable or unreachable. */
static void platform_set_reachable(platform_t *platform, bool is_reachable, const char *reason)
{
	if (platform->is_reachable == is_reachable)
		return;
	platform->is_reachable = is_reachable;
	if (is_reachable)
		jh_log(JH_LOG_INFO, "platform", "reachable", "reason=%s", jh_log_value(reason));
	else
		jh_log(JH_LOG_WARNING, "platform", "unreachable", "reason=%s",
		       jh_log_value(reason));
}

/* ---- Calls ---- */

static void call_free(gpointer data)
{
	call_t *call = data;

	ev_timer_stop(jh_task_loop(call->platform->task), &call->stall_timer);
	curl_multi_remove_handle(call->platform->multi, call->easy);
	curl_easy_cleanup(call->easy);
	curl_slist_free_all(call->headers);
	if (call->body)
		g_bytes_unref(call->body);
	g_byte_array_free(call->response, TRUE);
	g_free(call);
}

/* Called by libcurl with a part of the response's body. A return of 0 aborts the call. */
static size_t on_body(char *data, size_t size, size_t count, void *context)
{
	call_t *call = context;

	if (call->response->len + size * count > RESPONSE_MAX_BYTES)
		return 0;
	g_byte_array_append(call->response, (const guint8 *)data, (guint)(size * count));
	/* The wait of a feed, which its timeout includes, is over. */
	call->stall_timer.repeat = MIN(call->stall_timer.repeat, READ_TIMEOUT_MS / 1000.0);
	ev_timer_again(jh_task_loop(call->platform->task), &call->stall_timer);
	return size * count;
}

static void call_parse_era(call_t *call, const char *text)
{
	guint64 era = 0;
	char *value = g_strstrip(g_strdup(text));

	call->is_era_malformed =
		!g_ascii_string_to_unsigned(value, 10, 0, JH_STORE_ERA_MAX, &era, NULL);
	call->era = era;
	g_free(value);
}

/* Called by libcurl with one header line of the response. */
static size_t on_header(char *data, size_t size, size_t count, void *context)
{
	static const char etag_prefix[] = "etag: \"";
	static const char era_prefix[] = "store-era:";
	call_t *call = context;
	char *line = g_strndup(data, size * count);

	if (g_ascii_strncasecmp(line, etag_prefix, strlen(etag_prefix)) == 0)
		call->version = g_ascii_strtoull(line + strlen(etag_prefix), NULL, 10);
	else if (g_ascii_strncasecmp(line, era_prefix, strlen(era_prefix)) == 0)
		call_parse_era(call, line + strlen(era_prefix));
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
	/* Without this, libcurl waits up to 1 s for "100 Continue" before it sends a long body. */
	call->headers = curl_slist_append(call->headers, "Expect:");
	curl_easy_setopt(call->easy, CURLOPT_POSTFIELDSIZE_LARGE, (curl_off_t)size);
	curl_easy_setopt(call->easy, CURLOPT_POSTFIELDS, data ? data : "");
}

/* Keep-alive probes detect a dead connection long before the wait time of a feed has passed. */
static void call_set_keepalive(CURL *easy)
{
	curl_easy_setopt(easy, CURLOPT_TCP_KEEPALIVE, 1L);
	curl_easy_setopt(easy, CURLOPT_TCP_KEEPIDLE, TCP_KEEPALIVE_S);
	curl_easy_setopt(easy, CURLOPT_TCP_KEEPINTVL, TCP_KEEPALIVE_S);
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
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, MAX(http->timeout_ms, CALL_MAX_MS));
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, call);
	curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(easy, CURLOPT_HEADERDATA, call);
	curl_easy_setopt(easy, CURLOPT_PRIVATE, call);
	call_set_keepalive(easy);
	if (!g_str_equal(http->method, "GET"))
		call_set_body(call, http->body);
	curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, http->method);
	curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
	curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
	for (i = 0; i < http->headers->len; i++)
		call->headers =
			curl_slist_append(call->headers, g_ptr_array_index(http->headers, i));
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, call->headers);
}

static void http_request_clear(jh_http_request_t *http)
{
	g_free(http->url);
	g_ptr_array_free(http->headers, TRUE);
	if (http->body)
		g_bytes_unref(http->body);
}

/* Ends a feed that waits; its sender gets a reply of that status. */
static void end_feed(platform_t *platform, call_t *feed, jh_platform_status_t status)
{
	post_reply(
		platform, feed->from,
		&(jh_platform_reply_t){ .call = feed->kind, .tag = feed->tag, .status = status });
	g_hash_table_remove(platform->calls, feed);
}

/* Ends the feed that @from has sent with @tag, if it still waits. */
static void end_feed_of(platform_t *platform, jh_handle_t from, uint64_t tag)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, platform->calls);
	while (g_hash_table_iter_next(&iter, &value, NULL)) {
		const call_t *call = value;

		if (call->kind == JH_PLATFORM_FEED && call->from == from && call->tag == tag) {
			end_feed(platform, value, JH_PLATFORM_UNAVAILABLE);
			return;
		}
	}
}

/* ---- Eras ---- */

/*
 * Notes a newer era, and ends the feeds that wait in the older one, except the call @current, whose
 * response told the era: the store has forgotten them, so that they would return nothing.
 */
static void raise_era(platform_t *platform, uint64_t era, const call_t *current)
{
	uint64_t before = platform->era;
	GPtrArray *feeds;
	GHashTableIter iter;
	void *value;
	unsigned i;

	platform->era = era;
	if (!platform->has_era)
		return;
	jh_counter_add(&restorations_total, 1);
	jh_log(JH_LOG_WARNING, "platform", "store_restored",
	       "era_before=%" G_GUINT64_FORMAT " era=%" G_GUINT64_FORMAT, before, era);
	feeds = g_ptr_array_new();
	g_hash_table_iter_init(&iter, platform->calls);
	while (g_hash_table_iter_next(&iter, &value, NULL)) {
		if (value != current && ((const call_t *)value)->kind == JH_PLATFORM_FEED)
			g_ptr_array_add(feeds, value);
	}
	for (i = 0; i < feeds->len; i++)
		end_feed(platform, g_ptr_array_index(feeds, i), JH_PLATFORM_HISTORY_LOST);
	g_ptr_array_free(feeds, TRUE);
}

/* Return: true if the response's era can't be right, so that the response changes nothing */
static bool era_is_invalid(platform_t *platform, const call_t *call)
{
	bool is_invalid = call->is_era_malformed || call->era < platform->era;

	if (is_invalid) {
		jh_counter_add(&eras_invalid_total, 1);
		if (!platform->is_invalid_era_logged)
			jh_log(JH_LOG_WARNING, "platform", "era_invalid",
			       "malformed=%d era=%" G_GUINT64_FORMAT " known=%" G_GUINT64_FORMAT,
			       call->is_era_malformed, call->era, platform->era);
	}
	platform->is_invalid_era_logged = is_invalid;
	return is_invalid;
}

static void reply_add_era(jh_platform_reply_t *reply, uint64_t era)
{
	unsigned i;

	if (reply->status == JH_PLATFORM_OK || reply->version > 0)
		reply->version = jh_store_version(era, reply->version);
	for (i = 0; reply->rows && i < reply->rows->len; i++) {
		jh_store_row_t *row = g_ptr_array_index(reply->rows, i);

		row->version = jh_store_version(era, row->version);
	}
}

/* Return: status of a successful call whose response is of a later era than its request */
static jh_platform_status_t status_across_eras(const call_t *call, const jh_platform_reply_t *reply)
{
	if (jh_platform_call_is_write(call->kind))
		return JH_PLATFORM_UNKNOWN;
	if (call->kind == JH_PLATFORM_FEED)
		return JH_PLATFORM_HISTORY_LOST;
	if (call->is_later_page || reply->status == JH_PLATFORM_UNCHANGED)
		return JH_PLATFORM_UNAVAILABLE;
	return reply->status;
}

/* Applies the era of a response to its reply. The calls for promotions are not the store's. */
static void reply_check_era(platform_t *platform, const call_t *call, jh_platform_reply_t *reply)
{
	bool is_answered =
		reply->status == JH_PLATFORM_OK || reply->status == JH_PLATFORM_UNCHANGED;

	if (call->kind == JH_PLATFORM_PROMOTE ||
	    (reply->status == JH_PLATFORM_UNAVAILABLE && call->era == 0))
		return;
	if (era_is_invalid(platform, call)) {
		reply->status = jh_platform_call_is_write(call->kind) ? JH_PLATFORM_UNKNOWN :
									JH_PLATFORM_UNAVAILABLE;
		return;
	}
	if (call->era > platform->era)
		raise_era(platform, call->era, call);
	platform->has_era = true;
	if (is_answered && call->era > call->sent_era && call->sent_era_counts)
		reply->status = status_across_eras(call, reply);
	reply_add_era(reply, call->era);
}

/*
 * Return: true if the request names a version of an older era, so that it can't succeed; *@status
 * is then what to reply without sending it
 */
static bool request_is_outdated(const platform_t *platform, const jh_platform_request_t *request,
				jh_platform_status_t *status)
{
	bool is_outdated = request->version != 0 && request->version != JH_STORE_ANY_VERSION &&
			   jh_store_version_era(request->version) < platform->era;
	unsigned i;

	for (i = 0; request->writes && i < request->writes->len; i++) {
		const jh_store_write_t *write = g_ptr_array_index(request->writes, i);

		is_outdated |= write->version != 0 && write->version != JH_STORE_ANY_VERSION &&
			       jh_store_version_era(write->version) < platform->era;
	}
	if (jh_platform_call_is_write(request->call))
		*status = JH_PLATFORM_CONFLICT;
	else
		*status = JH_PLATFORM_HISTORY_LOST;
	return is_outdated && request->call != JH_PLATFORM_GET_ROW &&
	       request->call != JH_PLATFORM_LIST_VMS && request->call != JH_PLATFORM_PROMOTE;
}

static void finish_call(call_t *call, CURLcode code);

static void on_call_stalled(struct ev_loop *loop, ev_timer *timer, int events)
{
	(void)loop;
	(void)events;
	finish_call(timer->data, CURLE_OPERATION_TIMEDOUT);
}

static void call_start_stall_timer(call_t *call, long timeout_ms)
{
	ev_init(&call->stall_timer, on_call_stalled);
	call->stall_timer.repeat = (double)timeout_ms / 1000.0;
	call->stall_timer.data = call;
	ev_timer_again(jh_task_loop(call->platform->task), &call->stall_timer);
}

/* Starts a call; if that is not possible, replies UNAVAILABLE immediately. */
static void start_call(platform_t *platform, jh_handle_t from, const jh_platform_request_t *request)
{
	const jh_settings_t *settings = jh_kernel_settings(jh_task_kernel(platform->task));
	jh_http_request_t http = { .method = "GET", .timeout_ms = READ_TIMEOUT_MS };
	jh_error_t err = JH_ERROR_INIT;
	jh_platform_request_t current = *request;
	jh_platform_status_t outdated_status;
	bool is_encoded;
	call_t *call;

	if (request_is_outdated(platform, request, &outdated_status)) {
		post_reply(platform, from,
			   &(jh_platform_reply_t){ .call = request->call,
						   .tag = request->tag,
						   .status = outdated_status });
		return;
	}
	/* The numbers of an older era mean nothing now: read whatever there is. */
	if (jh_store_version_era(request->version) < platform->era)
		current.version = 0;
	http.headers = g_ptr_array_new_with_free_func(g_free);
	if (jh_platform_call_is_write(request->call))
		http.timeout_ms = WRITE_TIMEOUT_MS;
	is_encoded = platform->protocol->encode(settings, &current, &http, &err) == 0;
	if (!is_encoded)
		jh_log(JH_LOG_ERROR, "platform", "call_not_sent", "dialect=%s reason=%s",
		       platform->protocol->name, jh_log_value(err.message));
	jh_error_clear(&err);
	jh_counter_add(&calls_total, 1);
	if (!is_encoded || g_hash_table_size(platform->calls) >= CALLS_IN_FLIGHT_MAX) {
		jh_counter_add(&calls_unavailable_total, 1);
		post_reply(platform, from,
			   &(jh_platform_reply_t){ .call = request->call,
						   .tag = request->tag,
						   .status = JH_PLATFORM_UNAVAILABLE });
		http_request_clear(&http);
		return;
	}
	call = g_new0(call_t, 1);
	call->platform = platform;
	call->from = from;
	call->kind = request->call;
	call->tag = request->tag;
	call->sent_era = platform->era;
	call->sent_era_counts = platform->has_era;
	call->is_later_page = request->call == JH_PLATFORM_SCAN && request->name;
	call->easy = curl_easy_init();
	call->response = g_byte_array_new();
	call_set_options(call, &http);
	call_start_stall_timer(call, http.timeout_ms);
	http_request_clear(&http);
	g_hash_table_add(platform->calls, call);
	curl_multi_add_handle(platform->multi, call->easy);
}

/* Posts the reply to a call and frees the call. */
static void finish_call(call_t *call, CURLcode code)
{
	platform_t *platform = call->platform;
	jh_platform_reply_t reply = { .call = call->kind,
				      .tag = call->tag,
				      .version = call->version };
	jh_http_response_t response = { .version = call->version };
	long http_status = 0;

	curl_easy_getinfo(call->easy, CURLINFO_RESPONSE_CODE, &http_status);
	if (code == CURLE_OK) {
		response.status = http_status;
		response.body = g_bytes_new(call->response->data, call->response->len);
		platform->protocol->decode(&response, &reply);
		g_bytes_unref(response.body);
		reply_check_era(platform, call, &reply);
	} else {
		reply.status = call_failure_status(call);
	}
	if (reply.status == JH_PLATFORM_UNAVAILABLE)
		jh_counter_add(&calls_unavailable_total, 1);
	else if (reply.status == JH_PLATFORM_UNKNOWN)
		jh_counter_add(&writes_unknown_total, 1);
	if (code != CURLE_OK)
		platform_set_reachable(platform, false, curl_easy_strerror(code));
	else
		platform_set_reachable(platform, http_status < 500,
				       http_status < 500 ? "responded" :
							   "HTTP status 500 or above");
	post_reply(platform, call->from, &reply);
	g_hash_table_remove(platform->calls, call);
}

/* Finishes all calls that libcurl reports as done. */
static void finish_done_calls(platform_t *platform)
{
	CURLMsg *msg;
	int messages_left;

	while ((msg = curl_multi_info_read(platform->multi, &messages_left))) {
		char *call = NULL;

		if (msg->msg != CURLMSG_DONE)
			continue;
		curl_easy_getinfo(msg->easy_handle, CURLINFO_PRIVATE, &call);
		finish_call((call_t *)call, msg->data.result);
	}
}

/* ---- libcurl on the libev loop ---- */

static void on_socket_event(struct ev_loop *loop, ev_io *io, int events)
{
	socket_watch_t *socket_watch = io->data;
	platform_t *platform = socket_watch->platform;
	int running;
	int curl_events = (events & EV_READ ? CURL_CSELECT_IN : 0) |
			  (events & EV_WRITE ? CURL_CSELECT_OUT : 0);

	(void)loop;
	curl_multi_socket_action(platform->multi, io->fd, curl_events, &running);
	finish_done_calls(platform);
}

static void on_timer_event(struct ev_loop *loop, ev_timer *timer, int events)
{
	platform_t *platform = timer->data;
	int running;

	(void)loop;
	(void)events;
	curl_multi_socket_action(platform->multi, CURL_SOCKET_TIMEOUT, 0, &running);
	finish_done_calls(platform);
}

/* CURLMOPT_SOCKETFUNCTION: libcurl changes the events that it waits for on a socket. */
static int on_watch_socket(CURL *easy, curl_socket_t fd, int what, void *context, void *socket)
{
	platform_t *platform = context;
	struct ev_loop *loop = jh_task_loop(platform->task);
	socket_watch_t *socket_watch = socket;
	int events = (what & CURL_POLL_IN ? EV_READ : 0) | (what & CURL_POLL_OUT ? EV_WRITE : 0);

	(void)easy;
	if (socket_watch)
		ev_io_stop(loop, &socket_watch->io);
	if (what == CURL_POLL_REMOVE) {
		curl_multi_assign(platform->multi, fd, NULL);
		g_free(socket_watch);
		return 0;
	}
	if (!socket_watch) {
		socket_watch = g_new0(socket_watch_t, 1);
		socket_watch->platform = platform;
		curl_multi_assign(platform->multi, fd, socket_watch);
	}
	ev_io_init(&socket_watch->io, on_socket_event, fd, events);
	socket_watch->io.data = socket_watch;
	ev_io_start(loop, &socket_watch->io);
	return 0;
}

/* CURLMOPT_TIMERFUNCTION: libcurl sets its only timer, or stops it if @timeout_ms is -1. */
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

/* ---- Module definition ---- */

static int platform_init(jh_task_t *task, jh_error_t *err)
{
	platform_t *platform;
	CURLM *multi;

	if (curl_global_init(CURL_GLOBAL_DEFAULT) != CURLE_OK)
		return jh_error_set(err, JH_ERR_SYSTEM, "libcurl can't be initialized");
	multi = curl_multi_init();
	if (!multi) {
		curl_global_cleanup();
		return jh_error_set(err, JH_ERR_SYSTEM, "libcurl can't create a multi handle");
	}
	platform = g_new0(platform_t, 1);
	platform->task = task;
	platform->protocol = jh_profile_get(jh_kernel_settings(jh_task_kernel(task)))->store;
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
	const jh_platform_request_t *request = msg->body;

	if (msg->type != JH_MSG_PLATFORM_REQUEST)
		return;
	if (request->call == JH_PLATFORM_END_FEED)
		end_feed_of(jh_task_state(task), msg->from, request->tag);
	else
		start_call(jh_task_state(task), msg->from, request);
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
		    platform->is_reachable ? "yes" : "no", calls);
	return rows;
}

const jh_module_t jh_platform_module = {
	.name = "platform",
	.doc = "calls to the platform's table service and object store",
	.subscriptions = { JH_MSG_TYPE_COUNT },
	.frames = { 0 },
	.init = platform_init,
	.on_message = platform_on_message,
	.fini = platform_fini,
	.show = platform_show,
};
