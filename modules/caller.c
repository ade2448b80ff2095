/* Socket input and output of one caller (client connection), its creation, its closing, and error
 * responses made by the entry; caller_start.c handles start-up and authorization, caller_message.c
 * collects messages into batches, caller_batch.c runs batches, entry.c accepts the connections. An
 * idle caller has no buffers, so an idle connection costs little more than its struct.
 */

#include "internal/entry.h"

#include "jh_counter.h"
#include "jh_log.h"

#include <errno.h>
#include <sodium.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* A connection that has not completed start-up within this time is closed. */
#define STARTUP_TIMEOUT_S 10.0

/* Time for the client to close the connection after the entry shut down its sending side. */
#define CLOSE_TIMEOUT_S 2.0

/* Bytes per recv(); not more than the size of entry->input. */
#define READ_CHUNK_BYTES 65536u

/* While a request is in progress, input is buffered up to this size; flow control of the socket
 * then stops the client. The owner VM is asked for more of a response only while at most this many
 * bytes of output are unsent.
 */
#define MAX_BUFFERED_BYTES (1024u * 1024)

/* A caller with more unsent output does not read its response, so its connection is closed. */
#define MAX_UNSENT_BYTES (64u * 1024 * 1024)

JH_COUNTER(slow_callers_closed_total, "jasminehill_callers_too_slow_total",
	   "client connections closed because their answer was not read");

/* ---- error responses ---- */

typedef struct refusal_info {
	const char *sqlstate;
	jh_counter_t counter;
} refusal_info_t;

#define REFUSAL(code, reason)                                                                      \
	{                                                                                          \
		.sqlstate = (code),                                                                \
		.counter = {                                                                       \
			.name = "jasminehill_refused_" reason "_total",                            \
			.doc = "refusals by the entry: " reason,                                   \
		},                                                                                 \
	}

/* SQLSTATE and counter of each refusal. */
static refusal_info_t refusal_infos[JH_REFUSAL_COUNT] = {
	[JH_REFUSE_INVALID_KEY] = REFUSAL("28P01", "key"),
	[JH_REFUSE_TEAM_NOT_ALLOWED] = REFUSAL("42501", "team"),
	[JH_REFUSE_UNKNOWN_ROUTE] = REFUSAL("3D000", "route"),
	[JH_REFUSE_NO_CONFIG] = REFUSAL("57P03", "no_config"),
	[JH_REFUSE_ISOLATED] = REFUSAL("57P03", "isolated"),
	[JH_REFUSE_QUOTA] = REFUSAL("53400", "quota"),
	[JH_REFUSE_NO_PRIMARY] = REFUSAL("57P03", "no_primary"),
	[JH_REFUSE_NO_OWNER] = REFUSAL("57P03", "no_owner"),
	[JH_REFUSE_LAGGING] = REFUSAL("55000", "behind"),
	[JH_REFUSE_TOKEN_AHEAD] = REFUSAL("55000", "ahead"),
	[JH_REFUSE_DATA_TOO_OLD] = REFUSAL("55000", "age"),
	[JH_REFUSE_UNREACHABLE] = REFUSAL("57P03", "unreachable"),
	[JH_REFUSE_OVERLOADED] = REFUSAL("53000", "overloaded"),
	[JH_REFUSE_DEADLINE] = REFUSAL("57014", "deadline"),
	[JH_REFUSE_CANCELED] = REFUSAL("57014", "canceled"),
	[JH_REFUSE_OWNER_LOST] = REFUSAL("08007", "lost"),
	[JH_REFUSE_PIN_LOST] = REFUSAL("40003", "transaction_lost"),
	[JH_REFUSE_DUPLICATE] = REFUSAL("40003", "duplicate"),
	[JH_REFUSE_NOT_RECORDED] = REFUSAL("53100", "record"),
	[JH_REFUSE_SESSION_FULL] = REFUSAL("54000", "session_full"),
	[JH_REFUSE_DRAINING] = REFUSAL("57P01", "draining"),
	[JH_REFUSE_TOO_MANY_CALLERS] = REFUSAL("53300", "callers"),
	[JH_REFUSE_PROTOCOL] = REFUSAL("08P01", "protocol"),
	[JH_REFUSE_UNSUPPORTED] = REFUSAL("0A000", "unsupported"),
	[JH_REFUSE_INVALID_VALUE] = REFUSAL("22023", "value"),
	[JH_REFUSE_INVALID_TOKEN] = REFUSAL("22023", "token"),
	[JH_REFUSE_FAILED_TRANSACTION] = REFUSAL("25P02", "failed_transaction"),
	[JH_REFUSE_UNKNOWN_STATEMENT] = REFUSAL("26000", "statement"),
	[JH_REFUSE_UNKNOWN_PORTAL] = REFUSAL("34000", "portal"),
};

static const char *const outcome_details[] = {
	[JH_RUN_OUTCOME_NONE] = NULL,
	[JH_RUN_OUTCOME_NOT_RUN] = "not run",
	[JH_RUN_OUTCOME_UNKNOWN] = "outcome unknown",
};

int _jh_error_report_set(_jh_error_report_t *report, _jh_refusal_t refusal, const char *format, ...)
{
	va_list args;

	*report = (_jh_error_report_t){
		.refusal = refusal,
		.outcome = JH_RUN_OUTCOME_NOT_RUN,
		.retry_after_ms = JH_RETRY_NO_HINT,
	};
	va_start(args, format);
	g_vsnprintf(report->message, sizeof(report->message), format, args);
	va_end(args);
	return -1;
}

void _jh_error_report_write(const _jh_error_report_t *report, GByteArray *out)
{
	refusal_info_t *info = &refusal_infos[report->refusal];
	char hint[48];

	g_snprintf(hint, sizeof(hint), "retry after %u ms", report->retry_after_ms);
	jh_counter_add(&info->counter, 1);
	jh_v3_write_error(out,
			  &(jh_v3_report_t){
				  .severity = report->fatal ? "FATAL" : "ERROR",
				  .sqlstate = info->sqlstate,
				  .message = report->message,
				  .detail = outcome_details[report->outcome],
				  .hint = report->retry_after_ms == JH_RETRY_NO_HINT ? NULL : hint,
			  });
}

/* ---- output ---- */

GByteArray *_jh_caller_get_output(_jh_caller_t *caller)
{
	if (!caller->out)
		caller->out = g_byte_array_new();
	return caller->out;
}

void _jh_caller_write_error(_jh_caller_t *caller, const _jh_error_report_t *report)
{
	_jh_error_report_write(report, _jh_caller_get_output(caller));
	if (report->fatal && caller->state != JH_CALLER_DEAD)
		caller->state = JH_CALLER_CLOSING;
}

void _jh_caller_write_ready(_jh_caller_t *caller)
{
	jh_v3_write_ready_for_query(_jh_caller_get_output(caller), caller->transaction);
}

static void output_clear(_jh_caller_t *caller)
{
	if (caller->out)
		g_byte_array_free(caller->out, TRUE);
	caller->out = NULL;
	caller->sent_bytes = 0;
}

/* Removes sent bytes once they are at least half of the buffer, so that the buffer of a slow reader
 * stays small without a copy after each send().
 */
static void output_compact(_jh_caller_t *caller)
{
	if (caller->sent_bytes < caller->out->len / 2)
		return;
	g_byte_array_remove_range(caller->out, 0, (guint)caller->sent_bytes);
	caller->sent_bytes = 0;
}

static void output_flush(_jh_caller_t *caller)
{
	while (caller->out && caller->sent_bytes < caller->out->len) {
		ssize_t result = send(caller->fd, caller->out->data + caller->sent_bytes,
				      caller->out->len - caller->sent_bytes, MSG_NOSIGNAL);

		if (result > 0) {
			caller->sent_bytes += (size_t)result;
			continue;
		}
		if (errno == EINTR)
			continue;
		if (errno != EAGAIN && errno != EWOULDBLOCK)
			caller->state = JH_CALLER_DEAD;
		else
			output_compact(caller);
		return;
	}
	output_clear(caller);
}

/* ---- connection state ---- */

static bool caller_can_read(const _jh_caller_t *caller)
{
	size_t unread_bytes = jh_v3_reader_pending(&caller->reader);

	if (caller->state == JH_CALLER_CLOSING)
		return caller->is_write_shut;
	return caller->request == JH_HANDLE_NONE || unread_bytes < MAX_BUFFERED_BYTES;
}

static void watcher_set_active(struct ev_loop *loop, ev_io *watcher, bool is_active)
{
	if (is_active)
		ev_io_start(loop, watcher);
	else
		ev_io_stop(loop, watcher);
}

/* Closing a socket that has unread input resets the connection, and the client may then lose the
 * error message that gives the reason. Therefore only the sending side is shut down, and the socket
 * is closed after the client has closed its side or CLOSE_TIMEOUT_S has passed.
 */
static void caller_shutdown_write(_jh_caller_t *caller)
{
	struct ev_loop *loop = jh_task_loop(caller->entry->task);

	if (caller->is_write_shut)
		return;
	caller->is_write_shut = true;
	jh_v3_reader_clear(&caller->reader);
	if (shutdown(caller->fd, SHUT_WR) < 0) {
		caller->state = JH_CALLER_DEAD;
		return;
	}
	ev_timer_stop(loop, &caller->timer);
	ev_timer_set(&caller->timer, CLOSE_TIMEOUT_S, 0);
	ev_timer_start(loop, &caller->timer);
}

void _jh_caller_apply_state(_jh_caller_t *caller)
{
	struct ev_loop *loop = jh_task_loop(caller->entry->task);

	if (caller->state != JH_CALLER_DEAD)
		output_flush(caller);
	if (caller->out && caller->out->len - caller->sent_bytes > MAX_UNSENT_BYTES) {
		jh_counter_add(&slow_callers_closed_total, 1);
		jh_log(JH_LOG_WARNING, "entry", "caller_too_slow", "session=%" G_GUINT64_FORMAT,
		       caller->handle);
		caller->state = JH_CALLER_DEAD;
	}
	if (caller->state == JH_CALLER_CLOSING && !caller->out)
		caller_shutdown_write(caller);
	if (caller->state == JH_CALLER_DEAD) {
		_jh_caller_close(caller);
		return;
	}
	if (!caller->out || caller->out->len - caller->sent_bytes <= MAX_BUFFERED_BYTES)
		_jh_response_acknowledge(caller);
	watcher_set_active(loop, &caller->write_watcher, caller->out != NULL);
	watcher_set_active(loop, &caller->read_watcher, caller_can_read(caller));
}

static void caller_handle_message(_jh_caller_t *caller, const jh_v3_msg_t *msg)
{
	if (caller->state == JH_CALLER_READY)
		_jh_caller_handle_message(caller, msg);
	else
		_jh_caller_handle_startup_message(caller, msg);
}

void _jh_caller_write_protocol_error(_jh_caller_t *caller, jh_error_t *err)
{
	_jh_error_report_t report;

	_jh_error_report_set(&report, JH_REFUSE_PROTOCOL, "%s", err->message);
	report.fatal = true;
	jh_log(JH_LOG_INFO, "entry", "protocol_error", "session=%" G_GUINT64_FORMAT " reason=%s",
	       caller->handle, jh_log_value(err->message));
	_jh_caller_write_error(caller, &report);
	jh_error_clear(err);
}

static bool caller_can_handle_message(const _jh_caller_t *caller)
{
	if (caller->state == JH_CALLER_CLOSING || caller->state == JH_CALLER_DEAD)
		return false;
	return caller->request == JH_HANDLE_NONE;
}

void _jh_caller_resume(_jh_caller_t *caller)
{
	jh_error_t err = JH_ERROR_INIT;
	jh_v3_msg_t msg;
	int result = 0;

	/* A message handler may complete a request and call this function again; the outer call
	 * continues with the next message.
	 */
	if (caller->running)
		return;
	caller->running = true;
	while (caller_can_handle_message(caller) &&
	       (result = jh_v3_reader_next(&caller->reader, &msg, &err)) > 0)
		caller_handle_message(caller, &msg);
	caller->running = false;
	if (result < 0)
		_jh_caller_write_protocol_error(caller, &err);
	_jh_caller_apply_state(caller);
}

void _jh_caller_close_if_idle(_jh_caller_t *caller)
{
	bool is_idle = caller->request == JH_HANDLE_NONE && caller->transaction == 'I' &&
		       !caller->batch && !caller->awaits_sync;
	_jh_error_report_t report;

	if (caller->state == JH_CALLER_READY && is_idle) {
		_jh_error_report_set(&report, JH_REFUSE_DRAINING, "this entry is shutting down");
		report.fatal = true;
		report.retry_after_ms = 0;
		_jh_caller_write_error(caller, &report);
	} else if (caller->state == JH_CALLER_STARTUP || caller->state == JH_CALLER_PASSWORD) {
		caller->state = JH_CALLER_DEAD;
	}
	_jh_caller_apply_state(caller);
}

/* ---- libev callbacks ---- */

static void on_readable(struct ev_loop *loop, ev_io *watcher, int events)
{
	_jh_caller_t *caller = watcher->data;
	ssize_t received_bytes = recv(caller->fd, caller->entry->input, READ_CHUNK_BYTES, 0);

	(void)loop;
	(void)events;
	/* Input is discarded after the sending side has been shut down. */
	if (received_bytes > 0 && caller->is_write_shut)
		return;
	if (received_bytes > 0) {
		jh_v3_reader_push(&caller->reader, caller->entry->input, (size_t)received_bytes);
	} else if (received_bytes == 0 || (errno != EAGAIN && errno != EINTR)) {
		caller->state = JH_CALLER_DEAD;
		_jh_caller_apply_state(caller);
		return;
	}
	_jh_caller_resume(caller);
}

static void on_writable(struct ev_loop *loop, ev_io *watcher, int events)
{
	(void)loop;
	(void)events;
	_jh_caller_apply_state(watcher->data);
}

static void on_timeout(struct ev_loop *loop, ev_timer *watcher, int events)
{
	_jh_caller_t *caller = watcher->data;

	(void)loop;
	(void)events;
	jh_log(JH_LOG_INFO, "entry", "caller_timeout", "session=%" G_GUINT64_FORMAT " phase=%s",
	       caller->handle, caller->is_write_shut ? "close" : "startup");
	_jh_caller_close(caller);
}

/* ---- creation and release ---- */

void _jh_caller_new(_jh_entry_t *entry, int fd, bool is_over_limit)
{
	struct ev_loop *loop = jh_task_loop(entry->task);
	_jh_caller_t *caller = g_new0(_jh_caller_t, 1);

	caller->entry = entry;
	caller->fd = fd;
	caller->is_over_limit = is_over_limit;
	caller->transaction = 'I';
	caller->handle = jh_table_add(entry->callers, caller);
	randombytes_buf(&caller->secret, sizeof(caller->secret));
	/* Longer messages are accepted only after the caller has been authorized. */
	jh_v3_reader_init(&caller->reader, JH_V3_MAX_STARTUP_BYTES, JH_V3_MAX_STARTUP_BYTES);
	ev_io_init(&caller->read_watcher, on_readable, fd, EV_READ);
	caller->read_watcher.data = caller;
	ev_io_init(&caller->write_watcher, on_writable, fd, EV_WRITE);
	caller->write_watcher.data = caller;
	ev_timer_init(&caller->timer, on_timeout, STARTUP_TIMEOUT_S, 0);
	caller->timer.data = caller;
	ev_io_start(loop, &caller->read_watcher);
	ev_timer_start(loop, &caller->timer);
}

void _jh_caller_drop_pin(_jh_caller_t *caller, bool release)
{
	if (release && caller->pin.id != 0)
		_jh_release_send(caller->entry, caller->pin.vm, 0, caller->pin.id);
	caller->pin = (_jh_pin_t){ 0 };
	caller->awaits_sync = false;
	if (caller->transaction == 'I')
		return;
	caller->transaction = 'E';
	caller->transaction_lost = true;
}

void _jh_caller_close(_jh_caller_t *caller)
{
	struct ev_loop *loop = jh_task_loop(caller->entry->task);
	_jh_request_t *request = jh_table_get(caller->entry->requests, caller->request);

	g_assert(!caller->running);
	if (request)
		_jh_request_abandon(request);
	_jh_caller_drop_pin(caller, true);
	ev_io_stop(loop, &caller->read_watcher);
	ev_io_stop(loop, &caller->write_watcher);
	ev_timer_stop(loop, &caller->timer);
	close(caller->fd);
	jh_table_remove(caller->entry->callers, caller->handle);
	jh_v3_reader_clear(&caller->reader);
	output_clear(caller);
	jh_session_clear(&caller->session);
	_jh_params_free(caller);
	if (caller->statements)
		g_hash_table_destroy(caller->statements);
	if (caller->batch)
		_jh_batch_free(caller->batch);
	g_free(caller->request_id);
	sodium_memzero(caller->key_digest, sizeof(caller->key_digest));
	g_free(caller);
}
