#include "internal/_jh_group.h"
#include "jh_counter.h"
#include "jh_log.h"

#include <stdlib.h>

/*
 * The watch of one member: a control connection on which group_watch() runs without pause, so
 * that a change of its position or role is known here within a round trip. A member that does
 * not answer in time counts as unreachable.
 */

/* group_watch() answers after this long even if nothing changed. */
#define WATCH_MS 100

/* A watch whose answer is so late makes the member unreachable. */
#define WATCH_LIMIT_US ((int64_t)(WATCH_MS + 200) * 1000)

/* An unreachable member's connection is given up after this long. */
#define ANSWER_LIMIT_US ((int64_t)1000 * 1000)

/* Limit of opening a connection. */
#define CONNECT_LIMIT_US ((int64_t)600 * 1000)

/* Time between two tries to connect. */
#define RECONNECT_US ((int64_t)100 * 1000)

JH_COUNTER(watch_answers_total, "jasminehill_group_watch_answers_total",
	   "answers of group_watch() received");
JH_COUNTER(watch_losses_total, "jasminehill_group_watch_losses_total",
	   "watched members that became unreachable");

typedef enum member_phase {
	MEMBER_IDLE,
	MEMBER_CONNECTING,
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
	/* When the phase's time is over. */
	int64_t due_us;
	/* Version of the row last seen, and when the next was asked for. */
	uint64_t seen;
	int64_t asked_us;
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

static void member_report(_jh_member_t *member)
{
	int index = jh_group_state_member_index(member->group->state, member->name);

	if (index >= 0)
		_jh_group_apply_report(member->group, member->group->groups->vm, (unsigned)index,
				       &member->report);
}

/* ---- connection ---- */

/* The socket may be another one after each step of connecting. */
static void member_wait_io(_jh_member_t *member, int events)
{
	ev_io_stop(member_loop(member), &member->io);
	ev_io_init(&member->io, on_io, PQsocket(member->conn), events);
	member->io.data = member;
	ev_io_start(member_loop(member), &member->io);
}

static void member_close(_jh_member_t *member, int64_t retry_us)
{
	ev_io_stop(member_loop(member), &member->io);
	if (member->conn)
		PQfinish(member->conn);
	member->conn = NULL;
	member->phase = MEMBER_IDLE;
	member->due_us = member_now_us(member) + retry_us;
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
	member_report(member);
}

static void member_fail(_jh_member_t *member, const char *reason)
{
	member_close(member, RECONNECT_US);
	member_set_unreachable(member, reason);
}

PGconn *_jh_member_connect(const jh_group_t *config, const jh_database_t *database,
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

	member->conn = _jh_member_connect(&config, &database, "jasminehill_watch");
	if (!member->conn) {
		member_fail(member, "connect");
		return;
	}
	member->phase = MEMBER_CONNECTING;
	member->due_us = member_now_us(member) + CONNECT_LIMIT_US;
	member_wait_io(member, EV_WRITE);
}

/* ---- watch ---- */

static void member_flush(_jh_member_t *member)
{
	int left = PQflush(member->conn);

	if (left < 0)
		member_fail(member, "write");
	else
		member_wait_io(member, left > 0 ? EV_READ | EV_WRITE : EV_READ);
}

static void member_ask(_jh_member_t *member)
{
	char sql[96];

	g_snprintf(sql, sizeof(sql), "SELECT * FROM group_watch(%" G_GUINT64_FORMAT ", %d)",
		   member->seen, WATCH_MS);
	member->phase = MEMBER_WATCHING;
	member->asked_us = member_now_us(member);
	member->due_us = member->asked_us + WATCH_LIMIT_US;
	if (!PQsendQuery(member->conn, sql))
		member_fail(member, "send");
	else
		member_flush(member);
}

const char *_jh_row_text(const PGresult *row, const char *column)
{
	int field = PQfnumber(row, column);

	return field < 0 || PQntuples(row) < 1 || PQgetisnull(row, 0, field) ?
		       "" :
		       PQgetvalue(row, 0, field);
}

static uint64_t row_number(const PGresult *row, const char *column)
{
	return g_ascii_strtoull(_jh_row_text(row, column), NULL, 10);
}

/* Milliseconds before @now_us as a time; 0 if the column says that it is unknown. */
static int64_t row_time(const PGresult *row, const char *column, int64_t now_us)
{
	const char *text = _jh_row_text(row, column);
	int64_t ms = g_ascii_strtoll(text, NULL, 10);

	return *text == '\0' || ms < 0 ? 0 : MAX(now_us - ms * 1000, 1);
}

jh_position_t _jh_row_position(const PGresult *row, const char *column)
{
	jh_position_t position = { 0, 0 };
	char *end = NULL;

	position.term = g_ascii_strtoull(_jh_row_text(row, column), &end, 10);
	if (*end == '/')
		position.index = g_ascii_strtoull(end + 1, NULL, 10);
	return position;
}

/*
 * When the row was made, on this VM's clock, or earlier: an unchanged version means that the
 * member let the whole time pass; else it may have answered at once.
 */
static int64_t member_made_us(const _jh_member_t *member, uint64_t version)
{
	if (version != member->seen)
		return member->asked_us;
	return MIN(member->asked_us + (int64_t)WATCH_MS * 1000, member_now_us(member));
}

static void member_take_row(_jh_member_t *member, const PGresult *row)
{
	uint64_t version = row_number(row, "version");
	int64_t made_us = member_made_us(member, version);

	member->report = (jh_member_report_t){
		.reachable = true,
		.is_primary = g_str_equal(_jh_row_text(row, "role"), "primary"),
		.term = row_number(row, "term"),
		.promised_term = row_number(row, "promised_term"),
		.held = _jh_row_position(row, "held"),
		.applied = _jh_row_position(row, "applied"),
		.at_us = made_us,
		.fresh_us = row_time(row, "age_ms", made_us),
		.heard_us = row_time(row, "silent_ms", made_us),
		.wait_us = member->report.wait_us,
	};
	member->seen = version;
	jh_counter_add(&watch_answers_total, 1);
	member_report(member);
}

/* Take every whole result. Return: true once the answer is complete, false if more is to come */
static bool member_read_results(_jh_member_t *member, bool *failed)
{
	while (!PQisBusy(member->conn)) {
		PGresult *result = PQgetResult(member->conn);

		if (!result)
			return true;
		if (PQresultStatus(result) == PGRES_TUPLES_OK && PQntuples(result) == 1)
			member_take_row(member, result);
		else
			*failed = true;
		PQclear(result);
	}
	return false;
}

static void member_read(_jh_member_t *member)
{
	bool failed = false;

	if (!PQconsumeInput(member->conn)) {
		member_fail(member, "read");
		return;
	}
	if (!member_read_results(member, &failed))
		return;
	if (failed)
		member_fail(member, "answer");
	else
		member_ask(member);
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
		member->seen = 0;
		member_ask(member);
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

/* ---- time limits ---- */

void _jh_member_tick(_jh_member_t *member, int64_t now_us, bool paused)
{
	/* Answers may wait in the socket's buffer; they are read before the member is judged. */
	if (paused && member->phase != MEMBER_IDLE)
		member->due_us = now_us + WATCH_LIMIT_US;
	if (now_us < member->due_us)
		return;
	switch (member->phase) {
	case MEMBER_IDLE:
		member_connect(member);
		break;
	case MEMBER_CONNECTING:
		member_fail(member, "connect_timeout");
		break;
	case MEMBER_WATCHING:
		if (now_us - member->asked_us >= ANSWER_LIMIT_US) {
			member_fail(member, "timeout");
			break;
		}
		member->due_us = now_us + _JH_GROUP_TICK_US;
		member_set_unreachable(member, "silent");
		break;
	}
}

/* ---- life ---- */

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

bool _jh_member_fits(const _jh_member_t *member, const jh_group_t *config,
		     const jh_database_t *database)
{
	return g_str_equal(member->name, database->name) &&
	       g_str_equal(member->host, database->host) && member->port == database->port &&
	       g_strcmp0(member->user, config->user) == 0 &&
	       g_strcmp0(member->dbname, config->dbname) == 0;
}
