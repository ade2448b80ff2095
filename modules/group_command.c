#include "internal/_jh_group.h"
#include "jh_log.h"

/*
 * A control connection to one member for the commands of a change of primary: group_fence(),
 * group_promote() and group_follow(). Commands run one at a time, in the order in which they were
 * queued. jh_failover_decide() has its own timeouts for the phases of a change; the timeouts here
 * only close connections that no decision needs any more.
 */

/* Timeout for opening the connection, and for the result of one command. */
#define REPLY_TIMEOUT_US ((int64_t)1000 * 1000)

/* A connection without commands is closed after this time. */
#define IDLE_TIMEOUT_US ((int64_t)500 * 1000)

/* A queued command; @term is logged and reported with its result. */
typedef struct command {
	jh_failover_action_type_t type;
	uint64_t term;
	char *sql;
} command_t;

struct _jh_control {
	_jh_group_t *group;
	char *member;
	uint64_t term;
	PGconn *conn;
	ev_io io;
	bool is_connected;
	bool is_closed;
	/* Queue of command_t *, owned; the first one was sent if awaits_result is set. */
	GQueue commands;
	bool awaits_result;
	/* The connection is closed at this time. */
	int64_t deadline_us;
};

static void on_io(struct ev_loop *loop, ev_io *watcher, int events);

static struct ev_loop *control_loop(const _jh_control_t *control)
{
	return jh_task_loop(control->group->groups->task);
}

static void control_wait_io(_jh_control_t *control, int events)
{
	ev_io_stop(control_loop(control), &control->io);
	ev_io_init(&control->io, on_io, PQsocket(control->conn), events);
	control->io.data = control;
	ev_io_start(control_loop(control), &control->io);
}

static void control_set_deadline(_jh_control_t *control, int64_t timeout_us)
{
	control->deadline_us = _jh_groups_now_us(control->group->groups) + timeout_us;
}

static void command_free(gpointer data)
{
	command_t *command = data;

	g_free(command->sql);
	g_free(command);
}

/* Logs the failure and stops using the connection; the next tick frees it. */
static void control_fail(_jh_control_t *control, const char *reason)
{
	ev_io_stop(control_loop(control), &control->io);
	if (!control->is_closed)
		jh_log(JH_LOG_WARNING, "group", "command_failed",
		       "group=%s database=%s term=%" G_GUINT64_FORMAT " reason=%s",
		       control->group->name, control->member, control->term, reason);
	control->is_closed = true;
}

void _jh_control_close(_jh_control_t *control)
{
	ev_io_stop(control_loop(control), &control->io);
	control->is_closed = true;
}

/* ---- commands ---- */

/* Sends the first command of the queue, unless the result of an earlier one is outstanding. */
static void control_send_next(_jh_control_t *control)
{
	const command_t *command = g_queue_peek_head(&control->commands);
	int unsent;

	if (!control->is_connected || control->is_closed || control->awaits_result || !command)
		return;
	control->awaits_result = true;
	control_set_deadline(control, REPLY_TIMEOUT_US);
	if (!PQsendQuery(control->conn, command->sql)) {
		control_fail(control, "send");
		return;
	}
	unsent = PQflush(control->conn);
	if (unsent < 0)
		control_fail(control, "write");
	else
		control_wait_io(control, unsent > 0 ? EV_READ | EV_WRITE : EV_READ);
}

/* Return: SQL text of a command, owned by the caller */
static char *command_sql_new(const _jh_control_t *control, const jh_failover_action_t *action,
			     const char *primary)
{
	const _jh_groups_t *groups = control->group->groups;
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

void _jh_control_run(_jh_control_t *control, const jh_failover_action_t *action,
		     const char *primary)
{
	command_t *command = g_new0(command_t, 1);

	command->type = action->type;
	command->term = action->term;
	command->sql = command_sql_new(control, action, primary);
	g_queue_push_tail(&control->commands, command);
	control_send_next(control);
}

static void control_handle_result(_jh_control_t *control, const PGresult *result)
{
	const command_t *command = g_queue_peek_head(&control->commands);

	if (PQresultStatus(result) == PGRES_TUPLES_OK)
		_jh_group_on_result(control->group, control->member, command->type, command->term,
				    result);
	else
		control_fail(control, "answer");
}

static void control_read(_jh_control_t *control)
{
	if (!PQconsumeInput(control->conn)) {
		control_fail(control, "read");
		return;
	}
	while (control->awaits_result && !control->is_closed && !PQisBusy(control->conn)) {
		PGresult *result = PQgetResult(control->conn);

		if (result) {
			control_handle_result(control, result);
			PQclear(result);
			continue;
		}
		command_free(g_queue_pop_head(&control->commands));
		control->awaits_result = false;
		control_set_deadline(control, IDLE_TIMEOUT_US);
	}
	control_send_next(control);
}

/* ---- connection ---- */

static void control_poll_connect(_jh_control_t *control)
{
	switch (PQconnectPoll(control->conn)) {
	case PGRES_POLLING_READING:
		control_wait_io(control, EV_READ);
		break;
	case PGRES_POLLING_WRITING:
		control_wait_io(control, EV_WRITE);
		break;
	case PGRES_POLLING_OK:
		PQsetnonblocking(control->conn, 1);
		control->is_connected = true;
		control_set_deadline(control, IDLE_TIMEOUT_US);
		control_wait_io(control, EV_READ);
		control_send_next(control);
		_jh_group_on_connected(control->group, control->member, control->term);
		break;
	default:
		control_fail(control, "connect");
		break;
	}
}

static void on_io(struct ev_loop *loop, ev_io *watcher, int events)
{
	_jh_control_t *control = watcher->data;

	(void)loop;
	if (!control->is_connected)
		control_poll_connect(control);
	else if (events & EV_READ)
		control_read(control);
	else if (PQflush(control->conn) == 0)
		control_wait_io(control, EV_READ);
}

bool _jh_control_is_usable(_jh_control_t *control, int64_t now_us)
{
	return !control->is_closed && now_us < control->deadline_us;
}

/* ---- creation and release ---- */

_jh_control_t *_jh_control_new(_jh_group_t *group, const jh_group_t *config,
			       const jh_database_t *database, uint64_t term)
{
	_jh_control_t *control = g_new0(_jh_control_t, 1);

	control->group = group;
	control->member = g_strdup(database->name);
	control->term = term;
	ev_io_init(&control->io, on_io, -1, EV_READ);
	control_set_deadline(control, REPLY_TIMEOUT_US);
	control->conn = _jh_member_start_connect(config, database, "jasminehill_change");
	if (control->conn)
		control_wait_io(control, EV_WRITE);
	else
		control_fail(control, "connect");
	return control;
}

void _jh_control_free(void *data)
{
	_jh_control_t *control = data;

	ev_io_stop(control_loop(control), &control->io);
	if (control->conn)
		PQfinish(control->conn);
	g_queue_clear_full(&control->commands, command_free);
	g_free(control->member);
	g_free(control);
}

const char *_jh_control_member_name(const _jh_control_t *control)
{
	return control->member;
}
