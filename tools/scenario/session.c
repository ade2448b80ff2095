/* Lua interface to PostgreSQL connections: libpq in nonblocking mode on the scenario loop. */

#include "scenario.h"

#include <libpq-fe.h>
#include <string.h>

#define SESSION_METATABLE "scenario.session"

/* OID of PostgreSQL's type int4. */
#define INT4_OID 23

typedef struct session {
	PGconn *conn;
	ev_io io;
	fiber_t *waiter;
	/* Results of the current statement (PGresult, owned). */
	GPtrArray *results;
	int64_t sent_us;
	bool is_connecting;
} session_t;

static void session_watch_socket(session_t *session, int events)
{
	int fd = PQsocket(session->conn);

	ev_io_stop(scenario_loop, &session->io);
	if (events && fd >= 0) {
		ev_io_set(&session->io, fd, events);
		ev_io_start(scenario_loop, &session->io);
	}
}

/* Results */

static void push_rows(lua_State *state, const PGresult *result)
{
	int rows = PQntuples(result);
	int columns = PQnfields(result);
	int row;
	int column;

	lua_createtable(state, rows, 0);
	for (row = 0; row < rows; row++) {
		lua_createtable(state, columns, 0);
		for (column = 0; column < columns; column++) {
			if (PQgetisnull(result, row, column))
				lua_pushboolean(state, 0);
			else
				lua_pushlstring(state, PQgetvalue(result, row, column),
						(size_t)PQgetlength(result, row, column));
			lua_rawseti(state, -2, column + 1);
		}
		lua_rawseti(state, -2, row + 1);
	}
}

static void set_string_field(lua_State *state, const char *name, const char *value)
{
	if (!value)
		return;
	lua_pushstring(state, value);
	lua_setfield(state, -2, name);
}

/* Pushes a table: ok, rows, columns and tag; after an error also code, message, detail and hint. */
static void push_result(lua_State *state, const PGresult *result)
{
	ExecStatusType status = PQresultStatus(result);
	bool ok = status == PGRES_TUPLES_OK || status == PGRES_COMMAND_OK ||
		  status == PGRES_EMPTY_QUERY;
	int column;

	lua_newtable(state);
	lua_pushboolean(state, ok);
	lua_setfield(state, -2, "ok");
	set_string_field(state, "tag", PQcmdStatus((PGresult *)result));
	set_string_field(state, "code", PQresultErrorField(result, PG_DIAG_SQLSTATE));
	set_string_field(state, "message", PQresultErrorField(result, PG_DIAG_MESSAGE_PRIMARY));
	set_string_field(state, "detail", PQresultErrorField(result, PG_DIAG_MESSAGE_DETAIL));
	set_string_field(state, "hint", PQresultErrorField(result, PG_DIAG_MESSAGE_HINT));
	if (!ok && !PQresultErrorField(result, PG_DIAG_MESSAGE_PRIMARY))
		set_string_field(state, "message", PQresultErrorMessage(result));
	push_rows(state, result);
	lua_setfield(state, -2, "rows");
	lua_newtable(state);
	for (column = 0; column < PQnfields(result); column++) {
		lua_pushstring(state, PQfname(result, column));
		lua_rawseti(state, -2, column + 1);
	}
	lua_setfield(state, -2, "columns");
}

/*
 * Pushes the first error, or the last result if there is no error. The field results holds all
 * results of the statement, the field us the time since it was sent, in microseconds.
 */
static void push_combined_result(lua_State *state, session_t *session)
{
	unsigned reported_index = session->results->len - 1;
	unsigned i;

	for (i = session->results->len; i-- > 0;) {
		const PGresult *result = g_ptr_array_index(session->results, i);

		if (PQresultStatus(result) == PGRES_FATAL_ERROR)
			reported_index = i;
	}
	push_result(state, g_ptr_array_index(session->results, reported_index));
	lua_newtable(state);
	for (i = 0; i < session->results->len; i++) {
		push_result(state, g_ptr_array_index(session->results, i));
		lua_rawseti(state, -2, (lua_Integer)i + 1);
	}
	lua_setfield(state, -2, "results");
	lua_pushinteger(state, g_get_monotonic_time() - session->sent_us);
	lua_setfield(state, -2, "us");
}

static void session_finish_statement(session_t *session)
{
	fiber_t *waiter = g_steal_pointer(&session->waiter);

	session_watch_socket(session, 0);
	if (session->results->len == 0) {
		lua_newtable(waiter->state);
		lua_pushboolean(waiter->state, 0);
		lua_setfield(waiter->state, -2, "ok");
		set_string_field(waiter->state, "message", PQerrorMessage(session->conn));
	} else {
		push_combined_result(waiter->state, session);
	}
	g_ptr_array_set_size(session->results, 0);
	fiber_resume(waiter, 1);
}

static void session_read_results(session_t *session)
{
	PGresult *result;
	int flush_status = PQflush(session->conn);

	if (!PQconsumeInput(session->conn)) {
		session_finish_statement(session);
		return;
	}
	while (!PQisBusy(session->conn)) {
		result = PQgetResult(session->conn);
		if (!result) {
			session_finish_statement(session);
			return;
		}
		g_ptr_array_add(session->results, result);
	}
	session_watch_socket(session, flush_status > 0 ? EV_READ | EV_WRITE : EV_READ);
}

/* Connecting */

static void session_continue_connect(session_t *session)
{
	fiber_t *waiter;

	switch (PQconnectPoll(session->conn)) {
	case PGRES_POLLING_READING:
		session_watch_socket(session, EV_READ);
		return;
	case PGRES_POLLING_WRITING:
		session_watch_socket(session, EV_WRITE);
		return;
	case PGRES_POLLING_OK:
		session_watch_socket(session, 0);
		session->is_connecting = false;
		PQsetnonblocking(session->conn, 1);
		waiter = g_steal_pointer(&session->waiter);
		lua_pushboolean(waiter->state, 1);
		fiber_resume(waiter, 1);
		return;
	default:
		session_watch_socket(session, 0);
		waiter = g_steal_pointer(&session->waiter);
		lua_pushnil(waiter->state);
		lua_pushstring(waiter->state, PQerrorMessage(session->conn));
		fiber_resume(waiter, 2);
	}
}

static void on_session_io(struct ev_loop *loop, ev_io *watcher, int events)
{
	session_t *session = watcher->data;

	(void)loop;
	(void)events;
	if (session->is_connecting)
		session_continue_connect(session);
	else
		session_read_results(session);
}

static void ignore_notice(void *data, const char *message)
{
	(void)data;
	(void)message;
}

static void free_result(gpointer result)
{
	PQclear(result);
}

/* _session(dsn) -> session that is not connected yet; the global connect() uses it */
static int api_session(lua_State *state)
{
	const char *dsn = luaL_checkstring(state, 1);
	session_t *session = lua_newuserdatauv(state, sizeof(*session), 0);

	memset(session, 0, sizeof(*session));
	luaL_setmetatable(state, SESSION_METATABLE);
	session->conn = PQconnectStart(dsn);
	session->results = g_ptr_array_new_with_free_func(free_result);
	session->is_connecting = true;
	PQsetNoticeProcessor(session->conn, ignore_notice, NULL);
	ev_init(&session->io, on_session_io);
	session->io.data = session;
	return 1;
}

static session_t *session_check_arg(lua_State *state)
{
	session_t *session = luaL_checkudata(state, 1, SESSION_METATABLE);

	if (!session->conn)
		luaL_error(state, "the session is closed");
	return session;
}

/* session:_connect() -> true, or nil and the error message */
static int api_session_connect(lua_State *state)
{
	session_t *session = session_check_arg(state);

	if (PQstatus(session->conn) == CONNECTION_BAD) {
		lua_pushnil(state);
		lua_pushstring(state, PQerrorMessage(session->conn));
		return 2;
	}
	session->waiter = fiber_get_current(state);
	session_watch_socket(session, EV_WRITE);
	return fiber_wait(session->waiter);
}

/* Statements */

static int session_send_statement(lua_State *state, session_t *session, const char *sql)
{
	int count = lua_gettop(state) - 2;
	const char *values[64];
	int i;

	if (count == 0)
		return PQsendQuery(session->conn, sql);
	luaL_argcheck(state, count <= (int)G_N_ELEMENTS(values), 3, "too many parameters");
	for (i = 0; i < count; i++)
		values[i] = lua_isnil(state, i + 3) ? NULL : luaL_checkstring(state, i + 3);
	return PQsendQueryParams(session->conn, sql, count, NULL, values, NULL, NULL, 0);
}

/* session:exec(sql, parameter...) -> result. Uses the extended protocol if there are parameters. */
static int api_session_exec(lua_State *state)
{
	session_t *session = session_check_arg(state);
	fiber_t *fiber = fiber_get_current(state);

	if (session->waiter)
		return luaL_error(state, "the session is busy");
	session->sent_us = g_get_monotonic_time();
	session->waiter = fiber;
	if (!session_send_statement(state, session, luaL_checkstring(state, 2))) {
		session->waiter = NULL;
		lua_newtable(state);
		lua_pushboolean(state, 0);
		lua_setfield(state, -2, "ok");
		set_string_field(state, "message", PQerrorMessage(session->conn));
		return 1;
	}
	session_watch_socket(session, PQflush(session->conn) > 0 ? EV_READ | EV_WRITE : EV_READ);
	return fiber_wait(fiber);
}

/* session:exec_int4(sql, integer...) -> result. Parameters and columns are binary int4. */
static int api_session_exec_int4(lua_State *state)
{
	session_t *session = session_check_arg(state);
	fiber_t *fiber = fiber_get_current(state);
	const char *sql = luaL_checkstring(state, 2);
	int count = lua_gettop(state) - 2;
	uint32_t big_endian_values[16];
	const char *values[16];
	int lengths[16];
	int formats[16];
	Oid types[16];
	int i;

	luaL_argcheck(state, count <= (int)G_N_ELEMENTS(values), 3, "too many parameters");
	for (i = 0; i < count; i++) {
		big_endian_values[i] = GUINT32_TO_BE((uint32_t)luaL_checkinteger(state, i + 3));
		values[i] = (const char *)&big_endian_values[i];
		lengths[i] = sizeof(big_endian_values[i]);
		formats[i] = 1;
		types[i] = INT4_OID;
	}
	session->sent_us = g_get_monotonic_time();
	session->waiter = fiber;
	if (!PQsendQueryParams(session->conn, sql, count, types, values, lengths, formats, 1))
		return luaL_error(state, "%s", PQerrorMessage(session->conn));
	session_watch_socket(session, PQflush(session->conn) > 0 ? EV_READ | EV_WRITE : EV_READ);
	return fiber_wait(fiber);
}

/* session:param(name) -> value of a server parameter as reported by ParameterStatus, or nil */
static int api_session_param(lua_State *state)
{
	session_t *session = session_check_arg(state);

	lua_pushstring(state, PQparameterStatus(session->conn, luaL_checkstring(state, 2)));
	return 1;
}

/*
 * session:cancel() -> true if the cancel request was sent. Blocks the loop until the server has
 * closed the connection of the request.
 */
static int api_session_cancel(lua_State *state)
{
	session_t *session = session_check_arg(state);
	PGcancel *cancel = PQgetCancel(session->conn);
	char error[256] = "";

	lua_pushboolean(state, cancel && PQcancel(cancel, error, sizeof(error)));
	PQfreeCancel(cancel);
	return 1;
}

/* session:close(). A closed session may be closed again; a busy one raises an error. */
static int api_session_close(lua_State *state)
{
	session_t *session = luaL_checkudata(state, 1, SESSION_METATABLE);

	if (!session->conn)
		return 0;
	if (session->waiter)
		return luaL_error(state, "the session is busy");
	ev_io_stop(scenario_loop, &session->io);
	PQfinish(g_steal_pointer(&session->conn));
	g_ptr_array_free(g_steal_pointer(&session->results), TRUE);
	return 0;
}

static const luaL_Reg session_methods[] = {
	{ "_connect", api_session_connect },
	{ "exec", api_session_exec },
	{ "exec_int4", api_session_exec_int4 },
	{ "param", api_session_param },
	{ "cancel", api_session_cancel },
	{ "close", api_session_close },
	{ NULL, NULL },
};

void session_register_api(lua_State *state)
{
	luaL_newmetatable(state, SESSION_METATABLE);
	lua_newtable(state);
	luaL_setfuncs(state, session_methods, 0);
	lua_setfield(state, -2, "__index");
	lua_pushcfunction(state, api_session_close);
	lua_setfield(state, -2, "__gc");
	lua_pop(state, 1);
	lua_pushcfunction(state, api_session);
	lua_setglobal(state, "_session");
	if (luaL_dostring(state, "function connect(dsn)\n"
				 "  local s = _session(dsn)\n"
				 "  local ok, why = s:_connect()\n"
				 "  if not ok then s:close() return nil, why end\n"
				 "  return s\n"
				 "end\n"))
		g_error("%s", lua_tostring(state, -1));
}
