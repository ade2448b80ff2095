#include "internal/_jh_group.h"
#include "jh_log.h"

/*
 * A control connection for the commands of a change of primary: group_fence(), group_promote() and
 * group_follow(), one at a time, in order. The decision has its own time limits; those here only
 * end connections that nobody waits for any more.
 */

/* Limit of opening a connection, and of one answer. */
#define COMMAND_LIMIT_US ((int64_t)1000 * 1000)

/* An idle connection is kept for this long. */
#define IDLE_LIMIT_US ((int64_t)500 * 1000)

typedef struct job {
	jh_failover_action_type_t type;
	uint64_t term;
	char *sql;
} job_t;

struct _jh_command {
	_jh_group_t *group;
	char *member;
	uint64_t term;
	PGconn *conn;
	ev_io io;
	bool connected;
	bool failed;
	/* Array of job_t; the first is under way if @busy. */
	GQueue jobs;
	bool busy;
	int64_t due_us;
};

static void on_io(struct ev_loop *loop, ev_io *watcher, int events);

static struct ev_loop *command_loop(const _jh_command_t *command)
{
	return jh_task_loop(command->group->groups->task);
}

static void command_wait_io(_jh_command_t *command, int events)
{
	ev_io_stop(command_loop(command), &command->io);
	ev_io_init(&command->io, on_io, PQsocket(command->conn), events);
	command->io.data = command;
	ev_io_start(command_loop(command), &command->io);
}

static void command_limit(_jh_command_t *command, int64_t limit_us)
{
	command->due_us = _jh_groups_now_us(command->group->groups) + limit_us;
}

static void job_free(gpointer data)
{
	job_t *job = data;

	g_free(job->sql);
	g_free(job);
}

/* The next tick frees it. */
static void command_fail(_jh_command_t *command, const char *reason)
{
	ev_io_stop(command_loop(command), &command->io);
	if (!command->failed)
		jh_log(JH_LOG_WARNING, "group", "command_failed",
		       "group=%s database=%s term=%" G_GUINT64_FORMAT " reason=%s",
		       command->group->name, command->member, command->term, reason);
	command->failed = true;
}

void _jh_command_end(_jh_command_t *command)
{
	ev_io_stop(command_loop(command), &command->io);
	command->failed = true;
}

/* ---- jobs ---- */

static void command_pump(_jh_command_t *command)
{
	const job_t *job = g_queue_peek_head(&command->jobs);
	int left;

	if (!command->connected || command->failed || command->busy || !job)
		return;
	command->busy = true;
	command_limit(command, COMMAND_LIMIT_US);
	if (!PQsendQuery(command->conn, job->sql)) {
		command_fail(command, "send");
		return;
	}
	left = PQflush(command->conn);
	if (left < 0)
		command_fail(command, "write");
	else
		command_wait_io(command, left > 0 ? EV_READ | EV_WRITE : EV_READ);
}

static char *sql_new(const _jh_command_t *command, const jh_failover_action_t *action,
		     const char *primary)
{
	const _jh_groups_t *groups = command->group->groups;
	uint64_t boot = jh_kernel_boot(jh_task_kernel(groups->task));
	char **parts;
	char *quoted;
	char *sql;

	switch (action->type) {
	case JH_FAILOVER_FENCE:
	case JH_FAILOVER_PROMOTE:
		return g_strdup_printf("SELECT * FROM group_%s(%" G_GUINT64_FORMAT
				       ", '%s.%016" G_GINT64_MODIFIER "x')",
				       action->type == JH_FAILOVER_FENCE ? "fence" : "promote",
				       action->term, groups->vm, boot);
	case JH_FAILOVER_FOLLOW:
		parts = g_strsplit(primary, "'", -1);
		quoted = g_strjoinv("''", parts);
		g_strfreev(parts);
		sql = g_strdup_printf("SELECT * FROM group_follow(%" G_GUINT64_FORMAT ", '%s')",
				      action->term, quoted);
		g_free(quoted);
		return sql;
	default:
		g_assert_not_reached();
	}
}

void _jh_command_run(_jh_command_t *command, const jh_failover_action_t *action,
		     const char *primary)
{
	job_t *job = g_new0(job_t, 1);

	job->type = action->type;
	job->term = action->term;
	job->sql = sql_new(command, action, primary);
	g_queue_push_tail(&command->jobs, job);
	command_pump(command);
}

static void command_take_result(_jh_command_t *command, const PGresult *result)
{
	const job_t *job = g_queue_peek_head(&command->jobs);

	if (PQresultStatus(result) == PGRES_TUPLES_OK)
		_jh_group_outcome(command->group, command->member, job->type, job->term, result);
	else
		command_fail(command, "answer");
}

static void command_read(_jh_command_t *command)
{
	if (!PQconsumeInput(command->conn)) {
		command_fail(command, "read");
		return;
	}
	while (command->busy && !command->failed && !PQisBusy(command->conn)) {
		PGresult *result = PQgetResult(command->conn);

		if (result) {
			command_take_result(command, result);
			PQclear(result);
			continue;
		}
		job_free(g_queue_pop_head(&command->jobs));
		command->busy = false;
		command_limit(command, IDLE_LIMIT_US);
	}
	command_pump(command);
}

/* ---- connection ---- */

static void command_poll_connect(_jh_command_t *command)
{
	switch (PQconnectPoll(command->conn)) {
	case PGRES_POLLING_READING:
		command_wait_io(command, EV_READ);
		break;
	case PGRES_POLLING_WRITING:
		command_wait_io(command, EV_WRITE);
		break;
	case PGRES_POLLING_OK:
		PQsetnonblocking(command->conn, 1);
		command->connected = true;
		command_limit(command, IDLE_LIMIT_US);
		command_wait_io(command, EV_READ);
		command_pump(command);
		_jh_group_connected(command->group, command->member, command->term);
		break;
	default:
		command_fail(command, "connect");
		break;
	}
}

static void on_io(struct ev_loop *loop, ev_io *watcher, int events)
{
	_jh_command_t *command = watcher->data;

	(void)loop;
	if (!command->connected)
		command_poll_connect(command);
	else if (events & EV_READ)
		command_read(command);
	else if (PQflush(command->conn) == 0)
		command_wait_io(command, EV_READ);
}

bool _jh_command_tick(_jh_command_t *command, int64_t now_us)
{
	return !command->failed && now_us < command->due_us;
}

/* ---- life ---- */

_jh_command_t *_jh_command_new(_jh_group_t *group, const jh_group_t *config,
			       const jh_database_t *database, uint64_t term)
{
	_jh_command_t *command = g_new0(_jh_command_t, 1);

	command->group = group;
	command->member = g_strdup(database->name);
	command->term = term;
	ev_io_init(&command->io, on_io, -1, EV_READ);
	command_limit(command, COMMAND_LIMIT_US);
	command->conn = _jh_member_connect(config, database, "jasminehill_change");
	if (command->conn)
		command_wait_io(command, EV_WRITE);
	else
		command_fail(command, "connect");
	return command;
}

void _jh_command_free(void *data)
{
	_jh_command_t *command = data;

	ev_io_stop(command_loop(command), &command->io);
	if (command->conn)
		PQfinish(command->conn);
	g_queue_clear_full(&command->jobs, job_free);
	g_free(command->member);
	g_free(command);
}

const char *_jh_command_member(const _jh_command_t *command)
{
	return command->member;
}
