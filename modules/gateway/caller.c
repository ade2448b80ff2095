#include "internal/gateway.h"

#include "jh_counter.h"
#include "jh_histogram.h"
#include "jh_line.h"
#include "jh_log.h"
#include "jh_mirror.h"
#include "jh_socket.h"

#include <errno.h>
#include <stdarg.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define READ_BYTES 8192

/* A caller with more unread response bytes than this is disconnected. */
#define UNREAD_MAX_BYTES (4u * 1024 * 1024)

/*
 * A new session waits this long for the configuration if the daemon has just started, microseconds.
 * Callers time out after two seconds.
 */
#define CONFIG_WAIT_US (1000 * INT64_C(1000))

/* A caller must send START within this time, microseconds. */
#define START_TIMEOUT_US (10 * INT64_C(1000000))

/* TCP keep-alive of callers, whose networks are slower than those between VMs and members. */
#define KEEPALIVE_IDLE_S 5
#define KEEPALIVE_INTERVAL_S 3
#define USER_TIMEOUT_MS 15000

/* A draining or isolated VM closes sessions that are idle for this long, microseconds. */
#define DRAIN_IDLE_US (300 * INT64_C(1000))

/*
 * A holder ends an idle transaction this much later than the entry, microseconds, so that it does
 * so only if the entry cannot.
 */
#define REMOTE_IDLE_MARGIN_US (1000 * INT64_C(1000))

JH_COUNTER(sessions_total, "jasminehill_sessions_total", "sessions accepted");
JH_COUNTER(refused_total, "jasminehill_refused_total", "statements answered with an error");
JH_COUNTER(answered_total, "jasminehill_answered_total", "statements answered by members");

JH_HISTOGRAM(answer_ms, "jasminehill_statement_ms",
	     "from a statement's arrival to its member's answer");
JH_HISTOGRAM(refusal_ms, "jasminehill_refusal_ms", "from a statement's arrival to its error");

void _jh_gw_caller_free(_jh_gw_caller_t *caller)
{
	struct ev_loop *loop = jh_task_loop(caller->gateway->task);

	_jh_gw_request_abandon(caller);
	_jh_gw_slow_start_forget(caller);
	ev_timer_stop(loop, &caller->timer);
	g_hash_table_remove(caller->gateway->callers, &caller->tag);
	if (caller->remote.vm) {
		g_hash_table_remove(caller->gateway->operations, &caller->remote);
	} else {
		ev_io_stop(loop, &caller->read);
		ev_io_stop(loop, &caller->write);
		close(caller->fd);
		g_string_free(caller->in, TRUE);
		g_string_free(caller->out, TRUE);
	}
	g_clear_pointer(&caller->values, g_hash_table_destroy);
	g_clear_pointer(&caller->prepared, g_hash_table_destroy);
	jh_session_clear(&caller->commits);
	g_free(caller->database);
	g_free(caller->key);
	g_free(caller->tx_begin_id);
	g_free(caller->tx_begin_text);
	g_free(caller->id);
	g_clear_pointer(&caller->text, g_bytes_unref);
	g_free(caller->name);
	g_clear_pointer(&caller->rest, g_bytes_unref);
	g_free(caller);
}

/* ---- writing ---- */

/* Return: false if sending failed; the caller is then freed by on_timer() */
static bool caller_flush(_jh_gw_caller_t *caller)
{
	struct ev_loop *loop = jh_task_loop(caller->gateway->task);
	ssize_t count = send(caller->fd, caller->out->str, caller->out->len, MSG_NOSIGNAL);

	if (count < 0 && errno != EAGAIN && errno != EINTR) {
		caller->write_failed = true;
		ev_feed_event(loop, &caller->timer, EV_TIMER);
		return false;
	}
	if (count > 0)
		g_string_erase(caller->out, 0, count);
	if (caller->out->len > 0)
		ev_io_start(loop, &caller->write);
	else
		ev_io_stop(loop, &caller->write);
	if (caller->out->len == 0 && caller->is_closing)
		ev_feed_event(loop, &caller->timer, EV_TIMER);
	return true;
}

void _jh_gw_caller_clear_statement(_jh_gw_caller_t *caller)
{
	ev_timer_stop(jh_task_loop(caller->gateway->task), &caller->timer);
	caller->request = JH_REQUEST_NONE;
	caller->idle_us = jh_boot_time_us();
	g_clear_pointer(&caller->id, g_free);
	g_clear_pointer(&caller->text, g_bytes_unref);
	g_clear_pointer(&caller->name, g_free);
	g_clear_pointer(&caller->rest, g_bytes_unref);
}

void _jh_gw_caller_free_soon(_jh_gw_caller_t *caller)
{
	caller->is_closing = true;
	ev_feed_event(jh_task_loop(caller->gateway->task), &caller->timer, EV_TIMER);
}

/*
 * Ends the statement after its response was written. The caller's next line is handled by an event
 * of the loop, to avoid recursion.
 */
static void caller_end_statement(_jh_gw_caller_t *caller)
{
	_jh_gw_caller_clear_statement(caller);
	/*
	 * In the second half of the drain limit, a session outside a transaction and without
	 * further input is closed after its response, since it may never become idle before the
	 * process exits.
	 */
	if (caller->tx_state == 'I' && caller->in->len == 0 &&
	    _jh_gateway_must_end_sessions(caller->gateway, caller->idle_us))
		caller->is_closing = true;
	caller_flush(caller);
	if (caller->in->len > 0)
		ev_feed_event(jh_task_loop(caller->gateway->task), &caller->read, EV_CUSTOM);
}

static void session_send_done(_jh_gw_caller_t *caller)
{
	const jh_wire_t *wire = caller->gateway->wire;

	wire->put_done(caller->out);
	wire->put_ready(caller->out, caller->tx_state, NULL);
	caller_end_statement(caller);
}

static void session_send_error(_jh_gw_caller_t *caller, jh_code_t code, const char *text)
{
	const jh_wire_t *wire = caller->gateway->wire;

	wire->put_error(caller->out, code, text);
	wire->put_ready(caller->out, caller->tx_state, NULL);
	caller_end_statement(caller);
}

static void session_send_rows(_jh_gw_caller_t *caller, jh_text_t lines,
			      const jh_position_t *position)
{
	g_string_append_len(caller->out, lines.bytes, (gssize)lines.length);
	caller->gateway->wire->put_ready(caller->out, caller->tx_state, position);
	caller_end_statement(caller);
}

static const _jh_gw_transport_t session_transport = {
	.send_done = session_send_done,
	.send_error = session_send_error,
	.send_rows = session_send_rows,
};

/* Return: remaining time of the mirror lease, milliseconds; negative if it has expired */
static int64_t lease_left_ms(const _jh_gateway_t *gateway)
{
	if (gateway->lease_until_us == INT64_MIN)
		return -1;
	return (gateway->lease_until_us - jh_boot_time_us()) / 1000;
}

/* Return: last estimate of the statement's wait, milliseconds; -1 if nothing could serve it */
static int64_t expected_wait_ms(const _jh_gw_caller_t *caller)
{
	return caller->estimate.wait_us == JH_ADMISSION_NEVER ? -1 :
								caller->estimate.wait_us / 1000;
}

void _jh_gw_caller_send_done(_jh_gw_caller_t *caller)
{
	caller->transport->send_done(caller);
}

void _jh_gw_caller_refuse(_jh_gw_caller_t *caller, jh_code_t code, const char *format, ...)
{
	int64_t age_us = jh_boot_time_us() - caller->arrived_us;
	va_list args;
	char *text;

	va_start(args, format);
	text = g_strdup_vprintf(format, args);
	va_end(args);
	jh_counter_add(&refused_total, 1);
	jh_histogram_add(&refusal_ms, age_us);
	jh_log(JH_LOG_NOTICE, "gateway", "refused",
	       "request=%s team=%s route=%s group=%s code=%s age_ms=%" G_GINT64_FORMAT
	       " tries=%u state=%c member=%s entry=%s holder=%s distance=%s config=%" G_GUINT64_FORMAT
	       " authority_ms=%" G_GINT64_FORMAT " queue=%u wait_ms=%" G_GINT64_FORMAT " reason=%s",
	       jh_log_value(caller->id), jh_log_value(caller->team), jh_log_value(caller->database),
	       jh_log_value(caller->route.group), jh_code_name(code), age_us / 1000, caller->tries,
	       caller->tx_state, jh_log_value(caller->last_member), jh_log_value(caller->remote.vm),
	       jh_log_value(caller->last_holder), _jh_place_holder_distance(caller),
	       caller->gateway->config ? caller->gateway->config->version : 0,
	       lease_left_ms(caller->gateway), caller->estimate.queued, expected_wait_ms(caller),
	       jh_log_value(text));
	caller->transport->send_error(caller, code, text);
	g_free(text);
}

void _jh_gw_caller_relay(_jh_gw_caller_t *caller, jh_text_t lines, const jh_position_t *position)
{
	jh_counter_add(&answered_total, 1);
	jh_histogram_add(&answer_ms, jh_boot_time_us() - caller->arrived_us);
	caller->transport->send_rows(caller, lines, position);
}

/* ---- sessions ---- */

static void caller_reject(_jh_gw_caller_t *caller, jh_code_t code, const char *text)
{
	jh_counter_add(&refused_total, 1);
	jh_log(JH_LOG_NOTICE, "gateway", "session_refused", "route=%s code=%s reason=%s",
	       jh_log_value(caller->database), jh_code_name(code), jh_log_value(text));
	caller->gateway->wire->put_error(caller->out, code, text);
	caller->is_closing = true;
	caller_flush(caller);
}

static void caller_start(_jh_gw_caller_t *caller, const jh_caller_message_t *message)
{
	if (caller->database) {
		caller_reject(caller, JH_CODE_BAD_MESSAGE, "the session has started already");
		return;
	}
	if (_jh_gateway_must_end_sessions(caller->gateway, jh_boot_time_us())) {
		caller_reject(caller, JH_CODE_BUSY, JH_SHUTDOWN_REASON " retry-after-ms=10");
		return;
	}
	caller->database = g_strdup(message->database);
	caller->key = g_strdup(message->key);
	caller->idle_us = jh_boot_time_us();
	caller->is_starting = true;
	if (caller->gateway->config)
		_jh_gw_caller_finish_start(caller);
}

void _jh_gw_caller_finish_start(_jh_gw_caller_t *caller)
{
	const _jh_gateway_t *gateway = caller->gateway;
	const jh_fleet_route_t *route;

	caller->is_starting = false;
	if (_jh_gateway_config_is_late(gateway)) {
		caller_reject(caller, JH_CODE_BUSY, JH_CONFIG_LATE_REASON " retry-after-ms=10");
		return;
	}
	route = g_hash_table_lookup(gateway->config->routes, caller->database);
	if (!route) {
		caller_reject(caller, JH_CODE_NO_ROUTE, "there is no such route");
		return;
	}
	if (!route->is_public &&
	    (!caller->key || !g_hash_table_contains(gateway->config->keys, caller->key))) {
		caller_reject(caller, JH_CODE_NO_KEY, "the key belongs to no team");
		return;
	}
	gateway->wire->put_ready(caller->out, caller->tx_state, NULL);
	caller->idle_us = jh_boot_time_us();
	caller_flush(caller);
}

/* Return: false if no further input of the caller may be handled */
static bool caller_handle_line(_jh_gw_caller_t *caller, char *line, size_t length)
{
	jh_caller_message_t message;

	caller->gateway->wire->parse_caller(line, length, &message);
	switch (message.type) {
	case JH_CALLER_START:
		caller_start(caller, &message);
		return !caller->is_closing;
	case JH_CALLER_QUIT:
		caller->is_closing = true;
		caller_flush(caller);
		return false;
	case JH_CALLER_QUERY:
		if (caller->database) {
			_jh_gw_request_start(caller, &message);
			return !caller->is_closing;
		}
		break;
	case JH_CALLER_INVALID:
		break;
	}
	caller_reject(caller, JH_CODE_BAD_MESSAGE, "not a message of this protocol");
	return false;
}

static void caller_handle_input(_jh_gw_caller_t *caller)
{
	size_t length;
	char *line;

	while (caller->request == JH_REQUEST_NONE && !caller->is_starting &&
	       (line = jh_line_take(caller->in, &length))) {
		bool can_continue = caller_handle_line(caller, line, length);

		g_free(line);
		if (!can_continue)
			return;
	}
	if (jh_line_is_too_long(caller->in))
		caller_reject(caller, JH_CODE_TOO_BIG, "the message is longer than 1 MiB");
}

static void on_read(struct ev_loop *loop, ev_io *watcher, int events)
{
	_jh_gw_caller_t *caller = watcher->data;
	char buffer[READ_BYTES];
	ssize_t count;

	(void)loop;
	if (caller->is_closing && !(events & EV_READ))
		return;
	if (events & EV_READ) {
		count = recv(caller->fd, buffer, sizeof(buffer), 0);
		if (count < 0 && (errno == EAGAIN || errno == EINTR))
			return;
		if (count <= 0) {
			_jh_gw_caller_free(caller);
			return;
		}
		g_string_append_len(caller->in, buffer, count);
	}
	if (!caller->is_closing)
		caller_handle_input(caller);
}

static void on_write(struct ev_loop *loop, ev_io *watcher, int events)
{
	(void)loop;
	(void)events;
	caller_flush(watcher->data);
}

/* caller_flush() also triggers this event, to free the session when no function uses it. */
static void on_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	_jh_gw_caller_t *caller = timer->data;

	(void)loop;
	(void)events;
	if (caller->write_failed ||
	    (caller->is_closing && (caller->remote.vm || caller->out->len == 0)))
		_jh_gw_caller_free(caller);
	else if (caller->request != JH_REQUEST_NONE)
		_jh_gw_request_on_timeout(caller);
}

void _jh_gw_caller_accept(_jh_gateway_t *gateway, int fd)
{
	struct ev_loop *loop = jh_task_loop(gateway->task);
	_jh_gw_caller_t *caller = g_new0(_jh_gw_caller_t, 1);
	static const jh_keepalive_t keepalive = {
		.idle_s = KEEPALIVE_IDLE_S,
		.interval_s = KEEPALIVE_INTERVAL_S,
		.user_timeout_ms = USER_TIMEOUT_MS,
	};

	jh_socket_set_options(fd, &keepalive);
	jh_counter_add(&sessions_total, 1);
	caller->gateway = gateway;
	caller->transport = &session_transport;
	caller->tag = gateway->next_tag++;
	caller->fd = fd;
	caller->tx_state = 'I';
	caller->in = g_string_new(NULL);
	caller->out = g_string_new(NULL);
	caller->idle_us = jh_boot_time_us();
	ev_io_init(&caller->read, on_read, fd, EV_READ);
	ev_io_init(&caller->write, on_write, fd, EV_WRITE);
	ev_init(&caller->timer, on_timer);
	caller->read.data = caller;
	caller->write.data = caller;
	caller->timer.data = caller;
	g_hash_table_insert(gateway->callers, &caller->tag, caller);
	ev_io_start(loop, &caller->read);
}

_jh_gw_caller_t *_jh_gw_caller_new_remote(_jh_gateway_t *gateway,
					  const _jh_gw_transport_t *transport,
					  const _jh_gw_operation_key_t *key)
{
	_jh_gw_caller_t *caller = g_new0(_jh_gw_caller_t, 1);

	caller->gateway = gateway;
	caller->transport = transport;
	caller->remote = *key;
	caller->tag = gateway->next_tag++;
	caller->fd = -1;
	caller->tx_state = 'I';
	caller->idle_us = jh_boot_time_us();
	ev_init(&caller->timer, on_timer);
	caller->timer.data = caller;
	g_hash_table_insert(gateway->callers, &caller->tag, caller);
	g_hash_table_insert(gateway->operations, &caller->remote, caller);
	return caller;
}

/* A request may have arrived since the loop last read from the socket. */
static bool has_unread_input(const _jh_gw_caller_t *caller)
{
	char byte;

	return recv(caller->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

bool _jh_gw_caller_close_if_idle(_jh_gw_caller_t *caller)
{
	if (caller->request != JH_REQUEST_NONE || caller->is_starting || caller->in->len > 0 ||
	    caller->out->len > 0 || caller->tx_state != 'I' || has_unread_input(caller))
		return false;
	_jh_gw_caller_free(caller);
	return true;
}

/* Return: true if the operation was freed */
static bool remote_tick(_jh_gw_caller_t *caller, int64_t now_us)
{
	const jh_fleet_config_t *config = caller->gateway->config;

	if (caller->request != JH_REQUEST_NONE || caller->is_closing)
		return false;
	if (caller->tx_state == 'T' && config &&
	    now_us - caller->idle_us <= config->tx_idle_us + REMOTE_IDLE_MARGIN_US)
		return false;
	_jh_gw_caller_free(caller);
	return true;
}

void _jh_gw_caller_tick(_jh_gw_caller_t *caller, int64_t now_us)
{
	const _jh_gateway_t *gateway = caller->gateway;

	if (caller->remote.vm) {
		if (!remote_tick(caller, now_us) && caller->request != JH_REQUEST_NONE)
			_jh_gw_request_check_response(caller, now_us);
		return;
	}
	if (!caller->database && now_us - caller->idle_us > START_TIMEOUT_US) {
		_jh_gw_caller_free(caller);
		return;
	}
	if (caller->is_starting && now_us - caller->idle_us > CONFIG_WAIT_US) {
		caller->is_starting = false;
		caller_reject(caller, JH_CODE_BUSY, "no configuration yet retry-after-ms=1000");
		return;
	}
	if (caller->out->len > UNREAD_MAX_BYTES) {
		jh_log(JH_LOG_WARNING, "gateway", "session_dropped", "reason=answers_unread");
		_jh_gw_caller_free(caller);
		return;
	}
	if (caller->request != JH_REQUEST_NONE) {
		_jh_gw_request_check_response(caller, now_us);
		return;
	}
	if (caller->tx_state == 'T' && gateway->config &&
	    now_us - caller->idle_us > gateway->config->tx_idle_us)
		_jh_gw_request_end_transaction(caller, JH_CODE_ABORTED);
	/* A caller whose session is closed between two statements reconnects, to another VM. */
	if ((gateway->drain_started_us != 0 || gateway->is_isolated ||
	     _jh_gateway_config_is_late(gateway)) &&
	    now_us - caller->idle_us > DRAIN_IDLE_US)
		_jh_gw_caller_close_if_idle(caller);
}
