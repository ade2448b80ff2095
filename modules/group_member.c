#include "internal/_jh_group.h"
#include "jh_counter.h"
#include "jh_log.h"

#include <stdlib.h>

/*
 * Monitors one member by long polling: group_watch() is called on a control connection again and
 * again. It returns as soon as the member's position or role changes, so that a change is known
 * here within a round trip. A member that does not reply in time counts as unreachable.
 */

/* group_watch() returns after this time even if nothing changed. */
#define WATCH_WAIT_MS 100

/* A row with an unchanged version that arrives sooner than this answers an earlier group_watch().
 * It is half the time that the member waits, since its clock may run faster than this VM's. */
#define UNCHANGED_MIN_US ((int64_t)WATCH_WAIT_MS * 1000 / 2)

/* A member whose reply to group_watch() has not arrived after this time counts as unreachable. */
#define WATCH_TIMEOUT_US ((int64_t)(WATCH_WAIT_MS + 200) * 1000)

/* The connection is closed if the reply to group_watch() has not arrived after this time. */
#define WATCH_ABORT_US ((int64_t)1000 * 1000)

/* Timeout for opening a connection. */
#define CONNECT_TIMEOUT_US ((int64_t)600 * 1000)

/* Delay before connecting again after a failure. */
#define RECONNECT_DELAY_US ((int64_t)100 * 1000)

JH_COUNTER(watch_replies_total, "jasminehill_group_watch_answers_total",
	   "answers of group_watch() received");
JH_COUNTER(watch_strays_total, "jasminehill_group_answers_stray_total",
	   "answers of members that belong to no group_watch() or to an earlier one");
JH_COUNTER(watch_losses_total, "jasminehill_group_watch_losses_total",
	   "watched members that became unreachable");

typedef enum member_phase {
	/* There is no connection; a new one is opened at phase_deadline_us. */
	MEMBER_DISCONNECTED,
	MEMBER_CONNECTING,
	/* group_watch() was sent. */
	MEMBER_WATCHING,
} member_phase_t;

struct _jh_member {
	_jh_group_t *group;
	char *name;
	char *host;
	uint16_t port;
	char *user;
	char *dbname;
	member_phase_t phase;
	PGconn *conn;
	ev_io io;
	/* Monotonic time at which _jh_member_tick() handles the timeout of the phase. */
	int64_t phase_deadline_us;
	/* Version of the row that group_watch() returned last, 0 after connecting. */
	uint64_t seen_version;
	int64_t watch_sent_us;
	/* An answer came that is not that of the last group_watch(). */
	bool has_stray;
	jh_member_report_t report;
};

static void on_io(struct ev_loop *loop, ev_io *watcher, int events);

static struct ev_loop *member_loop(const _jh_member_t *member)
{
	return jh_task_loop(member->group->groups->task);
}

static int64_t member_now_us(const _jh_member_t *member)
{
	return _jh_groups_now_us(member->group->groups);
}

/* Applies this VM's report on the member to the group. */
static void member_apply_report(_jh_member_t *member)
{
	int index = jh_group_state_member_index(member->group->state, member->name);

	if (index >= 0)
		_jh_group_apply_report(member->group, member->group->groups->vm, (unsigned)index,
				       &member->report);
}

/* ---- connection ---- */

/* libpq may open another socket at each step of connecting, so the watcher is set up again. */
static void member_wait_io(_jh_member_t *member, int events)
{
	ev_io_stop(member_loop(member), &member->io);
	ev_io_init(&member->io, on_io, PQsocket(member->conn), events);
	member->io.data = member;
	ev_io_start(member_loop(member), &member->io);
}

static void member_close(_jh_member_t *member, int64_t retry_delay_us)
{
	ev_io_stop(member_loop(member), &member->io);
	if (member->conn)
		PQfinish(member->conn);
	member->conn = NULL;
	member->has_stray = false;
	member->phase = MEMBER_DISCONNECTED;
	member->phase_deadline_us = member_now_us(member) + retry_delay_us;
}

static void member_set_unreachable(_jh_member_t *member, const char *reason)
{
	if (member->report.reachable) {
		jh_counter_add(&watch_losses_total, 1);
		jh_log(JH_LOG_WARNING, "group", "member_unreachable",
		       "group=%s database=%s reason=%s", member->group->name, member->name, reason);
	}
	member->report.reachable = false;
	member->report.at_us = member_now_us(member);
	member_apply_report(member);
}

/* Closes the connection and reports the member as unreachable. */
static void member_fail(_jh_member_t *member, const char *reason)
{
	member_close(member, RECONNECT_DELAY_US);
	member_set_unreachable(member, reason);
}

/* A member that answers twice is not unreachable: it is watched on a new connection, to which no
 * earlier answer can come. */
static void member_reconnect(_jh_member_t *member)
{
	jh_counter_add(&watch_strays_total, 1);
	jh_log(JH_LOG_NOTICE, "group", "answer_stray",
	       "group=%s database=%s sent_ms=%" G_GINT64_FORMAT, member->group->name, member->name,
	       (member_now_us(member) - member->watch_sent_us) / 1000);
	member_close(member, 0);
}

/* libpq reports a message that comes while no statement runs as a notice of its own, which has no
 * SQLSTATE, or as the error that it is. */
static void on_notice(void *data, const PGresult *result)
{
	const char *severity = PQresultErrorField(result, PG_DIAG_SEVERITY_NONLOCALIZED);
	_jh_member_t *member = data;

	if (!PQresultErrorField(result, PG_DIAG_SQLSTATE) || g_strcmp0(severity, "ERROR") == 0)
		member->has_stray = true;
}

PGconn *_jh_member_start_connect(const jh_group_t *config, const jh_database_t *database,
				 const char *application)
{
	char port[8];
	const char *keywords[] = { "hostaddr",	       "port",	  "user",	"dbname",
				   "application_name", "sslmode", "gssencmode", NULL };
	const char *values[] = { database->host, port,	    config->user, config->dbname,
				 application,	 "disable", "disable",	  NULL };
	PGconn *conn;

	g_snprintf(port, sizeof(port), "%u", database->port);
	conn = PQconnectStartParams(keywords, values, 0);
	if (!conn)
		return NULL;
	if (PQstatus(conn) != CONNECTION_BAD && PQsocket(conn) >= 0)
		return conn;
	PQfinish(conn);
	return NULL;
}

static void member_connect(_jh_member_t *member)
{
	const jh_group_t config = { .user = member->user, .dbname = member->dbname };
	const jh_database_t database = { .host = member->host, .port = member->port };

	member->conn = _jh_member_start_connect(&config, &database, "jasminehill_watch");
	if (!member->conn) {
		member_fail(member, "connect");
		return;
	}
	PQsetNoticeReceiver(member->conn, on_notice, member);
	member->phase = MEMBER_CONNECTING;
	member->phase_deadline_us = member_now_us(member) + CONNECT_TIMEOUT_US;
	member_wait_io(member, EV_WRITE);
}

/* ---- group_watch() ---- */

static void member_flush(_jh_member_t *member)
{
	int unsent = PQflush(member->conn);

	if (unsent < 0)
		member_fail(member, "write");
	else
		member_wait_io(member, unsent > 0 ? EV_READ | EV_WRITE : EV_READ);
}

static void member_send_watch(_jh_member_t *member)
{
	char sql[96];

	/* What has arrived by now is no answer to this statement. */
	if (!PQconsumeInput(member->conn) || PQisBusy(member->conn)) {
		member_fail(member, "read");
		return;
	}
	if (member->has_stray) {
		member_reconnect(member);
		return;
	}
	g_snprintf(sql, sizeof(sql), "SELECT * FROM group_watch(%" G_GUINT64_FORMAT ", %d)",
		   member->seen_version, WATCH_WAIT_MS);
	member->phase = MEMBER_WATCHING;
	member->watch_sent_us = member_now_us(member);
	member->phase_deadline_us = member->watch_sent_us + WATCH_TIMEOUT_US;
	if (!PQsendQuery(member->conn, sql))
		member_fail(member, "send");
	else
		member_flush(member);
}

const char *_jh_result_text(const PGresult *result, const char *column)
{
	int field = PQfnumber(result, column);

	return field < 0 || PQntuples(result) < 1 || PQgetisnull(result, 0, field) ?
		       "" :
		       PQgetvalue(result, 0, field);
}

static uint64_t result_uint64(const PGresult *result, const char *column)
{
	return g_ascii_strtoull(_jh_result_text(result, column), NULL, 10);
}

/*
 * Converts a column that holds an age in milliseconds.
 *
 * Return: the time of that age at @now_us, at least 1; 0 (unknown) if the column is NULL or
 * negative
 */
static int64_t result_time_us(const PGresult *result, const char *column, int64_t now_us)
{
	const char *text = _jh_result_text(result, column);
	int64_t age_ms = g_ascii_strtoll(text, NULL, 10);

	return *text == '\0' || age_ms < 0 ? 0 : MAX(now_us - age_ms * 1000, 1);
}

jh_position_t _jh_result_position(const PGresult *result, const char *column)
{
	jh_position_t position = { 0, 0 };
	char *end = NULL;

	position.term = g_ascii_strtoull(_jh_result_text(result, column), &end, 10);
	if (*end == '/')
		position.index = g_ascii_strtoull(end + 1, NULL, 10);
	return position;
}

/*
 * Return: earliest time, on this VM's clock, at which the member may have made the row
 *
 * A row with a new version may have been made as soon as group_watch() was sent. A row with an
 * unchanged version was made after the member had waited for WATCH_WAIT_MS.
 */
static int64_t member_row_made_us(const _jh_member_t *member, uint64_t version)
{
	if (version != member->seen_version)
		return member->watch_sent_us;
	return MIN(member->watch_sent_us + (int64_t)WATCH_WAIT_MS * 1000, member_now_us(member));
}

static void member_handle_row(_jh_member_t *member, const PGresult *result)
{
	uint64_t version = result_uint64(result, "version");
	int64_t made_us = member_row_made_us(member, version);

	if (version == member->seen_version &&
	    member_now_us(member) - member->watch_sent_us < UNCHANGED_MIN_US) {
		member->has_stray = true;
		return;
	}
	member->report = (jh_member_report_t){
		.reachable = true,
		.is_primary = g_str_equal(_jh_result_text(result, "role"), "primary"),
		.term = result_uint64(result, "term"),
		.promised_term = result_uint64(result, "promised_term"),
		.held = _jh_result_position(result, "held"),
		.applied = _jh_result_position(result, "applied"),
		.at_us = made_us,
		.last_caught_up_us = result_time_us(result, "age_ms", made_us),
		.last_message_us = result_time_us(result, "silent_ms", made_us),
		.wait_us = member->report.wait_us,
	};
	member->seen_version = version;
	jh_counter_add(&watch_replies_total, 1);
	member_apply_report(member);
}

/*
 * Handles the results that have arrived completely. Sets @has_failed if one of them is an error or
 * does not have exactly one row.
 *
 * Return: true once all results of the statement were handled
 */
static bool member_handle_results(_jh_member_t *member, bool *has_failed)
{
	while (!PQisBusy(member->conn)) {
		PGresult *result = PQgetResult(member->conn);

		if (!result)
			return true;
		if (PQresultStatus(result) == PGRES_TUPLES_OK && PQntuples(result) == 1)
			member_handle_row(member, result);
		else
			*has_failed = true;
		PQclear(result);
	}
	return false;
}

static void member_read(_jh_member_t *member)
{
	bool has_failed = false;

	if (!PQconsumeInput(member->conn)) {
		member_fail(member, "read");
		return;
	}
	if (!member_handle_results(member, &has_failed))
		return;
	if (has_failed)
		member_fail(member, "answer");
	else
		member_send_watch(member);
}

static void member_poll_connect(_jh_member_t *member)
{
	switch (PQconnectPoll(member->conn)) {
	case PGRES_POLLING_READING:
		member_wait_io(member, EV_READ);
		break;
	case PGRES_POLLING_WRITING:
		member_wait_io(member, EV_WRITE);
		break;
	case PGRES_POLLING_OK:
		PQsetnonblocking(member->conn, 1);
		member->seen_version = 0;
		member_send_watch(member);
		break;
	default:
		member_fail(member, "connect");
		break;
	}
}

static void on_io(struct ev_loop *loop, ev_io *watcher, int events)
{
	_jh_member_t *member = watcher->data;

	(void)loop;
	if (member->phase == MEMBER_CONNECTING)
		member_poll_connect(member);
	else if (events & EV_READ)
		member_read(member);
	else
		member_flush(member);
}

/* ---- timeouts ---- */

void _jh_member_tick(_jh_member_t *member, int64_t now_us, bool paused)
{
	/* After a pause, replies may wait in the socket; they are read before a timeout counts. */
	if (paused && member->phase != MEMBER_DISCONNECTED)
		member->phase_deadline_us = now_us + WATCH_TIMEOUT_US;
	if (now_us < member->phase_deadline_us)
		return;
	switch (member->phase) {
	case MEMBER_DISCONNECTED:
		member_connect(member);
		break;
	case MEMBER_CONNECTING:
		member_fail(member, "connect_timeout");
		break;
	case MEMBER_WATCHING:
		if (now_us - member->watch_sent_us >= WATCH_ABORT_US) {
			member_fail(member, "timeout");
			break;
		}
		/* The report is repeated until a reply arrives or the connection is closed. */
		member->phase_deadline_us = now_us + _JH_GROUP_TICK_US;
		member_set_unreachable(member, "silent");
		break;
	}
}

/* ---- creation and release ---- */

_jh_member_t *_jh_member_new(_jh_group_t *group, const jh_group_t *config,
			     const jh_database_t *database)
{
	_jh_member_t *member = g_new0(_jh_member_t, 1);

	member->group = group;
	member->name = g_strdup(database->name);
	member->host = g_strdup(database->host);
	member->port = database->port;
	member->user = g_strdup(config->user);
	member->dbname = g_strdup(config->dbname);
	ev_io_init(&member->io, on_io, -1, EV_READ);
	member->io.data = member;
	return member;
}

void _jh_member_free(void *data)
{
	_jh_member_t *member = data;

	member_close(member, 0);
	g_free(member->name);
	g_free(member->host);
	g_free(member->user);
	g_free(member->dbname);
	g_free(member);
}

bool _jh_member_matches_config(const _jh_member_t *member, const jh_group_t *config,
			       const jh_database_t *database)
{
	return g_str_equal(member->name, database->name) &&
	       g_str_equal(member->host, database->host) && member->port == database->port &&
	       g_strcmp0(member->user, config->user) == 0 &&
	       g_strcmp0(member->dbname, config->dbname) == 0;
}
