#include "internal/gateway.h"

#include "jh_counter.h"
#include "jh_line.h"
#include "jh_log.h"
#include "jh_mirror.h"
#include "jh_socket.h"

#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/*
 * Timeout for connecting and for the reply to START. Both take milliseconds within a region; an
 * unreachable member never replies.
 */
#define CONNECT_TIMEOUT_S 0.6

/* A released connection that is not idle after this is closed; a rollback is one short statement.
 */
#define CLEAN_TIMEOUT_S 2.0

/* Delay before connecting to a member again, doubled with each consecutive failure. */
#define RECONNECT_MIN_US (50 * INT64_C(1000))
#define RECONNECT_MAX_US (800 * INT64_C(1000))

/* TCP keep-alive: a connection whose peer does not respond for three seconds is closed. */
#define KEEPALIVE_IDLE_S 1
#define KEEPALIVE_INTERVAL_S 1
#define KEEPALIVE_COUNT 2
#define USER_TIMEOUT_MS 3000

#define READ_BYTES 8192

JH_COUNTER(opened_total, "jasminehill_member_connections_opened_total",
	   "connections opened to members");
JH_COUNTER(lost_total, "jasminehill_member_connections_lost_total",
	   "connections that broke or were refused");
JH_COUNTER(repeated_total, "jasminehill_answers_repeated_total",
	   "answers of members that had been received before on their connection");
JH_COUNTER(stray_total, "jasminehill_answers_stray_total",
	   "lines of members that belong to no statement of their connection");

static void conn_clear_setting(_jh_gw_conn_t *conn)
{
	g_clear_pointer(&conn->setting_name, g_free);
	g_clear_pointer(&conn->setting_value, g_bytes_unref);
	g_clear_pointer(&conn->preparing, g_bytes_unref);
}

static void conn_free(_jh_gw_conn_t *conn)
{
	struct ev_loop *loop = jh_task_loop(conn->gateway->task);

	ev_io_stop(loop, &conn->read);
	ev_io_stop(loop, &conn->write);
	ev_timer_stop(loop, &conn->timer);
	close(conn->fd);
	g_string_free(conn->in, TRUE);
	g_string_free(conn->out, TRUE);
	jh_answers_clear(&conn->answers);
	g_clear_pointer(&conn->values, g_hash_table_destroy);
	g_clear_pointer(&conn->prepared, g_hash_table_destroy);
	conn_clear_setting(conn);
	g_free(conn);
}

void _jh_gw_conn_close(_jh_gw_conn_t *conn)
{
	g_ptr_array_remove_fast(conn->member->conns, conn);
	if (conn->user && conn->user->conn == conn)
		conn->user->conn = NULL;
	conn_free(conn);
}

/*
 * Closes a connection that cannot be used any more and notifies the caller that uses it.
 *
 * @is_broken: the member may have started again
 */
static void conn_end(_jh_gw_conn_t *conn, jh_code_t reason, const char *text, bool is_broken)
{
	_jh_gateway_t *gateway = conn->gateway;
	_jh_gw_member_t *member = conn->member;
	_jh_gw_caller_t *user = conn->user;
	bool is_new = conn->step <= JH_CONN_STARTING;

	jh_counter_add(&lost_total, 1);
	jh_log(JH_LOG_NOTICE, "gateway", "connection_lost", "member=%s team=%s new=%d reason=%s",
	       jh_log_value(member->info->id), jh_log_value(conn->team), is_new,
	       jh_log_value(text));
	if (is_new) {
		int64_t delay_us = RECONNECT_MIN_US << MIN(member->failures, 4u);

		member->failures++;
		member->no_connect_until_us = jh_boot_time_us() + MIN(delay_us, RECONNECT_MAX_US);
		if (reason != JH_CODE_TOO_MANY_CONNECTIONS &&
		    _jh_gw_group_primary(gateway, member->group) == member && member->failures > 1)
			_jh_gateway_report_primary(gateway, member->group);
	}
	_jh_gw_conn_close(conn);
	if (is_broken && !is_new)
		_jh_gw_slow_start_on_conn_lost(gateway, member);
	if (user)
		_jh_gw_request_on_conn_lost(user, member->info->id, reason);
	_jh_gateway_schedule_dispatch(gateway);
}

static void conn_fail(_jh_gw_conn_t *conn, jh_code_t reason, const char *text)
{
	conn_end(conn, reason, text, true);
}

static void conn_drop(_jh_gw_conn_t *conn, const char *text)
{
	conn_end(conn, JH_CODE_UNKNOWN, text, false);
}

/* ---- writing ---- */

/* Return: transaction state in which the success of a statement leaves the connection */
static char state_after_success(const _jh_gw_conn_t *conn)
{
	switch (conn->step) {
	case JH_CONN_BEGINNING:
		return 'T';
	case JH_CONN_CLEANING:
		return 'I';
	default:
		return conn->tx_state;
	}
}

/* Notes which answer is next; to be called before a statement is sent. */
static void conn_expect(_jh_gw_conn_t *conn, jh_expected_t expected)
{
	jh_answers_expect(&conn->answers, expected, state_after_success(conn), conn->in->len > 0);
}

static void conn_flush(_jh_gw_conn_t *conn)
{
	struct ev_loop *loop = jh_task_loop(conn->gateway->task);
	ssize_t count;

	if (conn->out->len == 0 || conn->step == JH_CONN_CONNECTING)
		return;
	count = send(conn->fd, conn->out->str, conn->out->len, MSG_NOSIGNAL);
	if (count > 0)
		g_string_erase(conn->out, 0, count);
	/* A send error also makes recv() fail in on_read(), which handles it. */
	if (conn->out->len > 0)
		ev_io_start(loop, &conn->write);
	else
		ev_io_stop(loop, &conn->write);
}

bool _jh_gw_conn_send(_jh_gw_conn_t *conn, _jh_gw_conn_step_t step, const char *id,
		      const jh_position_t *after, jh_text_t text)
{
	const _jh_gateway_t *gateway = conn->gateway;
	const jh_primary_t *primary = &conn->member->group->primary;
	bool is_primary = primary->epoch > 0 && !primary->is_changing &&
			  primary->member == conn->member->info->id;
	size_t before = conn->out->len;

	gateway->wire->put_statement(conn->out, id, after, text);
	if (conn->out->len - before > JH_LINE_MAX_BYTES) {
		g_string_truncate(conn->out, before);
		return false;
	}
	conn->step = step;
	conn->has_begun = conn->has_begun || step == JH_CONN_BEGINNING;
	conn->sent_us = jh_boot_time_us();
	conn->epoch = is_primary && conn->sent_us < gateway->lease_until_us ? primary->epoch : 0;
	conn->sent_after = conn->member->group->primary_position;
	conn_expect(conn, step == JH_CONN_RUNNING ? JH_EXPECT_SIGNATURE : JH_EXPECT_DONE);
	conn_flush(conn);
	return true;
}

void _jh_gw_conn_send_internal(_jh_gw_conn_t *conn, _jh_gw_conn_step_t step,
			       jh_statement_type_t type, const char *name, jh_text_t rest)
{
	conn->step = step;
	conn->settings_sent += step == JH_CONN_SETTING;
	conn->sent_us = jh_boot_time_us();
	conn->epoch = 0;
	conn_expect(conn, type == JH_STATEMENT_STATUS ? JH_EXPECT_STATUS : JH_EXPECT_DONE);
	conn->gateway->wire->put_internal_statement(conn->out, type, name, rest, 0);
	conn_flush(conn);
}

/* ---- reading ---- */

static void conn_set_idle(_jh_gw_conn_t *conn)
{
	ev_timer_stop(jh_task_loop(conn->gateway->task), &conn->timer);
	conn->step = JH_CONN_IDLE;
	conn->user = NULL;
	conn->idle_us = jh_boot_time_us();
	_jh_gateway_schedule_dispatch(conn->gateway);
}

/*
 * A primary's log does not become shorter in its term, so that an earlier position than one that
 * the connection has had is not of now.
 */
static void check_position(const _jh_gw_conn_t *conn, jh_member_message_t *ready)
{
	if (conn->epoch != 0 && ready->has_position &&
	    ready->position.term == conn->position.term &&
	    jh_position_compare(ready->position, conn->position) < 0)
		ready->has_position = false;
}

/* Stores the member's log position; a position of the primary is also a freshness sample. */
static void conn_record_position(_jh_gw_conn_t *conn, const jh_member_message_t *ready)
{
	_jh_gw_member_t *member = conn->member;
	_jh_gw_group_t *group = member->group;

	if (!ready->has_position)
		return;
	conn->position = ready->position;
	member->position = ready->position;
	member->position_us = jh_boot_time_us();
	/* Of other answers it is not certain that they were made after the statement was sent. */
	if (conn->answers.signature && conn->epoch != 0 && conn->epoch == group->primary.epoch &&
	    !group->primary.is_changing && ready->position.term == group->primary.term) {
		jh_freshness_add_sample(group->freshness, conn->sent_us, ready->position);
		if (jh_position_compare(ready->position, group->primary_position) > 0)
			group->primary_position = ready->position;
	}
}

/* Records a session value, prepared name or reset that the member has acknowledged. */
static void conn_record_setting(_jh_gw_conn_t *conn)
{
	if (conn->preparing) {
		g_hash_table_add(conn->prepared, g_steal_pointer(&conn->preparing));
	} else if (conn->setting_name) {
		g_hash_table_replace(conn->values, g_steal_pointer(&conn->setting_name),
				     g_steal_pointer(&conn->setting_value));
	} else {
		g_hash_table_remove_all(conn->values);
		g_hash_table_remove_all(conn->prepared);
	}
	conn_clear_setting(conn);
}

/* A member that has just started gets no line without a token; closing rolls back there, too. */
static bool may_roll_back(const _jh_gw_conn_t *conn)
{
	return !_jh_gw_member_is_cold(conn->gateway, conn->member);
}

/* Return: whether another statement may be sent on the connection */
static bool can_keep(const _jh_gw_conn_t *conn)
{
	/* A second BEGIN could be confirmed by the repeated answer to the first one. */
	return jh_answers_can_expect(&conn->answers) &&
	       !(conn->member->group->repeats_answers && conn->has_begun);
}

/* Sends a rollback, or closes the connection, which rolls back as well. */
static void conn_roll_back(_jh_gw_conn_t *conn)
{
	if (may_roll_back(conn) && _jh_gw_conn_discard_input(conn))
		_jh_gw_conn_send_internal(conn, JH_CONN_CLEANING, JH_STATEMENT_ROLLBACK, NULL,
					  (jh_text_t){ 0 });
	else
		_jh_gw_conn_close(conn);
}

static void conn_on_ready(_jh_gw_conn_t *conn, const jh_member_message_t *ready)
{
	conn->tx_state = ready->state;
	conn_record_position(conn, ready);
	conn->member->failures = 0;
	if (conn->step == JH_CONN_STARTING)
		ev_timer_stop(jh_task_loop(conn->gateway->task), &conn->timer);
	if (conn->step == JH_CONN_SETTING && conn->answers.is_done)
		conn_record_setting(conn);
	/* Replies come in order, so that those to all settings before have been received. */
	if (conn->answers.is_done && (conn->step == JH_CONN_CONFIRMING || conn->answers.signature))
		conn->settings_confirmed = conn->settings_sent;
	if (conn->user) {
		_jh_gw_conn_step_t step = conn->step;

		conn->step = JH_CONN_IDLE;
		_jh_gw_request_on_ready(conn->user, step, ready);
		return;
	}
	/* The connection was released while the statement ran, so its result is discarded. */
	if (!can_keep(conn)) {
		_jh_gateway_schedule_dispatch(conn->gateway);
		_jh_gw_conn_close(conn);
	} else if (ready->state == 'I') {
		conn_set_idle(conn);
	} else {
		conn_roll_back(conn);
	}
}

static const char *const expected_names[] = {
	[JH_EXPECT_NOTHING] = "nothing",     [JH_EXPECT_READY] = "ready",
	[JH_EXPECT_DONE] = "done",	     [JH_EXPECT_STATUS] = "status",
	[JH_EXPECT_SIGNATURE] = "signature",
};

static void conn_log_answer(const _jh_gw_conn_t *conn, jh_log_level_t level, const char *event)
{
	jh_log(level, "gateway", event,
	       "request=%s member=%s team=%s expected=%s sent_ms=%" G_GINT64_FORMAT,
	       jh_log_value(conn->user ? conn->user->id : NULL),
	       jh_log_value(conn->member->info->id), jh_log_value(conn->team),
	       expected_names[conn->answers.expected], (jh_boot_time_us() - conn->sent_us) / 1000);
}

static void conn_note_repeated(_jh_gw_conn_t *conn)
{
	jh_counter_add(&repeated_total, 1);
	conn_log_answer(conn, conn->member->group->repeats_answers ? JH_LOG_INFO : JH_LOG_NOTICE,
			"answer_repeated");
	conn->member->group->repeats_answers = true;
}

/* Return: verdict on the line, JH_ANSWER_STRAY also if it is not valid */
static jh_answer_verdict_t conn_judge_line(_jh_gw_conn_t *conn, const char *line, size_t length,
					   jh_member_message_t *message, char *words)
{
	jh_answer_verdict_t verdict = JH_ANSWER_STRAY;

	if (conn->gateway->wire->parse_member(words, length, message))
		verdict = jh_answers_add(&conn->answers, message, line, length);
	if (verdict == JH_ANSWER_REPEATED) {
		conn_note_repeated(conn);
	} else if (verdict == JH_ANSWER_STRAY) {
		jh_counter_add(&stray_total, 1);
		conn_log_answer(conn, JH_LOG_NOTICE, "answer_stray");
	}
	return verdict;
}

/* Return: false if the connection may be closed or reassigned, so that reading must stop */
static bool conn_handle_line(_jh_gw_conn_t *conn, const char *line, size_t length, char *words)
{
	jh_member_message_t message;
	jh_answer_verdict_t verdict = conn_judge_line(conn, line, length, &message, words);

	if (conn->step == JH_CONN_STARTING && message.type == JH_MEMBER_ERROR) {
		conn_fail(conn, message.code, message.text);
		return false;
	}
	switch (verdict) {
	case JH_ANSWER_PARTIAL:
	case JH_ANSWER_REPEATED:
		return true;
	case JH_ANSWER_COMPLETE:
		check_position(conn, &message);
		conn_on_ready(conn, &message);
		return false;
	case JH_ANSWER_STRAY:
		conn_drop(conn, "an answer belongs to no statement");
		return false;
	}
	g_assert_not_reached();
}

/* Stops after a READY, since the connection may have been assigned to another caller or closed. */
static void conn_handle_input(_jh_gw_conn_t *conn)
{
	size_t length;
	char *line;

	while ((line = jh_line_take(conn->in, &length))) {
		char *words = g_memdup2(line, length + 1);
		bool can_continue = conn_handle_line(conn, line, length, words);

		g_free(words);
		g_free(line);
		if (!can_continue)
			return;
	}
	if (jh_line_is_too_long(conn->in))
		conn_drop(conn, "reply line is too long");
}

static void conn_receive_more(_jh_gw_conn_t *conn)
{
	char buffer[READ_BYTES];
	ssize_t count;

	/* A closed or broken connection is left to on_read(). */
	while (!jh_line_is_too_long(conn->in) &&
	       (count = recv(conn->fd, buffer, sizeof(buffer), MSG_DONTWAIT)) > 0) {
		conn->member->last_received_us = jh_boot_time_us();
		g_string_append_len(conn->in, buffer, count);
	}
}

bool _jh_gw_conn_discard_input(_jh_gw_conn_t *conn)
{
	bool can_continue = true;
	size_t length;
	char *line;

	conn_receive_more(conn);
	while (can_continue && (line = jh_line_take(conn->in, &length))) {
		char *words = g_memdup2(line, length + 1);
		jh_member_message_t message;

		can_continue =
			conn_judge_line(conn, line, length, &message, words) != JH_ANSWER_STRAY;
		g_free(words);
		g_free(line);
	}
	return can_continue && !jh_line_is_too_long(conn->in);
}

bool _jh_gw_conn_is_unconfirmed(const _jh_gw_conn_t *conn)
{
	return conn->member->group->repeats_answers &&
	       conn->settings_confirmed != conn->settings_sent;
}

static void on_read(struct ev_loop *loop, ev_io *watcher, int events)
{
	_jh_gw_conn_t *conn = watcher->data;
	char buffer[READ_BYTES];
	ssize_t count = recv(conn->fd, buffer, sizeof(buffer), 0);

	(void)loop;
	(void)events;
	if (count < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (count <= 0) {
		conn_fail(conn, JH_CODE_UNKNOWN,
			  count < 0 ? g_strerror(errno) : "closed by the member");
		return;
	}
	conn->member->last_received_us = jh_boot_time_us();
	g_string_append_len(conn->in, buffer, count);
	conn_handle_input(conn);
}

/* ---- opening ---- */

static void on_write(struct ev_loop *loop, ev_io *watcher, int events)
{
	_jh_gw_conn_t *conn = watcher->data;
	int error = 0;
	socklen_t length = sizeof(error);

	(void)events;
	if (conn->step != JH_CONN_CONNECTING) {
		conn_flush(conn);
		return;
	}
	getsockopt(conn->fd, SOL_SOCKET, SO_ERROR, &error, &length);
	if (error != 0) {
		conn_fail(conn, JH_CODE_BUSY, g_strerror(error));
		return;
	}
	conn->step = JH_CONN_STARTING;
	conn_expect(conn, JH_EXPECT_READY);
	conn->gateway->wire->put_start(conn->out, conn->member->group->name, conn->team,
				       conn->member->info->id);
	ev_io_start(loop, &conn->read);
	conn_flush(conn);
}

static void on_timeout(struct ev_loop *loop, ev_timer *timer, int events)
{
	(void)loop;
	(void)events;
	conn_fail(timer->data, JH_CODE_BUSY, "timed out waiting for a reply");
}

_jh_gw_conn_t *_jh_gw_conn_open(_jh_gw_member_t *member, _jh_gateway_t *gateway, const char *team)
{
	static const jh_keepalive_t keepalive = {
		.idle_s = KEEPALIVE_IDLE_S,
		.interval_s = KEEPALIVE_INTERVAL_S,
		.count = KEEPALIVE_COUNT,
		.user_timeout_ms = USER_TIMEOUT_MS,
	};
	struct ev_loop *loop = jh_task_loop(gateway->task);
	jh_error_t err = JH_ERROR_INIT;
	int fd = jh_socket_connect(member->info->host, member->info->port, &err);
	_jh_gw_conn_t *conn;

	if (fd < 0) {
		jh_log(JH_LOG_WARNING, "gateway", "connect_failed", "member=%s reason=%s",
		       jh_log_value(member->info->id), jh_log_value(err.message));
		jh_error_clear(&err);
		member->no_connect_until_us = jh_boot_time_us() + RECONNECT_MIN_US;
		return NULL;
	}
	jh_socket_set_options(fd, &keepalive);
	jh_counter_add(&opened_total, 1);
	conn = g_new0(_jh_gw_conn_t, 1);
	conn->gateway = gateway;
	conn->member = member;
	conn->team = team;
	conn->fd = fd;
	conn->tx_state = 'I';
	conn->in = g_string_new(NULL);
	conn->out = g_string_new(NULL);
	jh_answers_init(&conn->answers);
	conn->values = _jh_gw_values_new();
	conn->prepared = g_hash_table_new_full(g_bytes_hash, g_bytes_equal,
					       (GDestroyNotify)g_bytes_unref, NULL);
	ev_io_init(&conn->read, on_read, fd, EV_READ);
	ev_io_init(&conn->write, on_write, fd, EV_WRITE);
	ev_timer_init(&conn->timer, on_timeout, CONNECT_TIMEOUT_S, 0);
	conn->read.data = conn;
	conn->write.data = conn;
	conn->timer.data = conn;
	ev_io_start(loop, &conn->write);
	ev_timer_start(loop, &conn->timer);
	g_ptr_array_add(member->conns, conn);
	return conn;
}

/* ---- assignment and release ---- */

bool _jh_gw_conn_is_free(const _jh_gw_conn_t *conn)
{
	return conn->step == JH_CONN_IDLE && !conn->user;
}

void _jh_gw_conn_assign(_jh_gw_conn_t *conn, _jh_gw_caller_t *caller)
{
	conn->user = caller;
	caller->conn = conn;
}

void _jh_gw_conn_release(_jh_gw_conn_t *conn)
{
	struct ev_loop *loop = jh_task_loop(conn->gateway->task);

	if (conn->user && conn->user->conn == conn)
		conn->user->conn = NULL;
	conn->user = NULL;
	if (!can_keep(conn) || _jh_gw_member_phase(conn->gateway, conn->member) == JH_DC_CLOSED) {
		_jh_gateway_schedule_dispatch(conn->gateway);
		_jh_gw_conn_close(conn);
		return;
	}
	if (conn->step <= JH_CONN_STARTING)
		return;
	/* Without its reply it is unknown whether the setting takes effect. */
	if (conn->step == JH_CONN_SETTING || conn->step == JH_CONN_CONFIRMING) {
		_jh_gw_conn_close(conn);
		return;
	}
	if (conn->step == JH_CONN_IDLE && conn->tx_state == 'I') {
		conn_set_idle(conn);
		return;
	}
	if (conn->step == JH_CONN_IDLE &&
	    (!may_roll_back(conn) || !_jh_gw_conn_discard_input(conn))) {
		_jh_gw_conn_close(conn);
		return;
	}
	if (conn->step == JH_CONN_IDLE)
		_jh_gw_conn_send_internal(conn, JH_CONN_CLEANING, JH_STATEMENT_ROLLBACK, NULL,
					  (jh_text_t){ 0 });
	else
		conn->step = JH_CONN_CLEANING;
	ev_timer_stop(loop, &conn->timer);
	ev_timer_set(&conn->timer, CLEAN_TIMEOUT_S, 0);
	ev_timer_start(loop, &conn->timer);
}
