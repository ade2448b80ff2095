/* Lua interface to TCP connections of line protocols. */

#include "scenario.h"

#include "jh_line.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define LINES_METATABLE "scenario.lines"

typedef struct line_conn {
	int fd;
	ev_io io;
	ev_timer timer;
	/* Fiber that waits in connect or line(). */
	fiber_t *waiter;
	bool is_connecting;
	bool is_closed;
	GString *in;
} line_conn_t;

/* Resumes the waiter with @value, or with nil and @reason. */
static void waiter_resume(line_conn_t *conn, const char *value, size_t length, const char *reason)
{
	fiber_t *waiter = g_steal_pointer(&conn->waiter);

	ev_timer_stop(scenario_loop, &conn->timer);
	if (reason) {
		lua_pushnil(waiter->state);
		lua_pushstring(waiter->state, reason);
	} else {
		lua_pushlstring(waiter->state, value, length);
	}
	fiber_resume(waiter, reason ? 2 : 1);
}

/* Resumes the waiter with the first complete line, if there is one. */
static void match_line(line_conn_t *conn)
{
	size_t length;
	char *line = conn->waiter ? jh_line_take(conn->in, &length) : NULL;

	if (!line)
		return;
	waiter_resume(conn, line, length, NULL);
	g_free(line);
}

static void conn_end(line_conn_t *conn)
{
	if (conn->is_closed)
		return;
	conn->is_closed = true;
	ev_io_stop(scenario_loop, &conn->io);
	close(conn->fd);
}

static void read_bytes(line_conn_t *conn)
{
	char buffer[16384];
	ssize_t length = recv(conn->fd, buffer, sizeof(buffer), 0);

	if (length > 0)
		g_string_append_len(conn->in, buffer, length);
	else if (length == 0 || (errno != EAGAIN && errno != EINTR))
		conn_end(conn);
	match_line(conn);
	if (conn->is_closed && conn->waiter)
		waiter_resume(conn, NULL, 0, "closed");
}

static void finish_connect(line_conn_t *conn)
{
	int error = 0;
	socklen_t length = sizeof(error);

	conn->is_connecting = false;
	getsockopt(conn->fd, SOL_SOCKET, SO_ERROR, &error, &length);
	ev_io_stop(scenario_loop, &conn->io);
	if (error != 0) {
		conn_end(conn);
		waiter_resume(conn, NULL, 0, strerror(error));
		return;
	}
	ev_io_set(&conn->io, conn->fd, EV_READ);
	ev_io_start(scenario_loop, &conn->io);
	waiter_resume(conn, "connected", strlen("connected"), NULL);
}

static void on_io(struct ev_loop *loop, ev_io *watcher, int events)
{
	line_conn_t *conn = watcher->data;

	(void)loop;
	(void)events;
	if (conn->is_connecting)
		finish_connect(conn);
	else
		read_bytes(conn);
}

static void on_timeout(struct ev_loop *loop, ev_timer *watcher, int events)
{
	(void)loop;
	(void)events;
	waiter_resume(watcher->data, NULL, 0, "timeout");
}

/* _lines(port) -> connection that is being opened; the global line_connect() uses it */
static int api_lines(lua_State *state)
{
	struct sockaddr_in address = { .sin_family = AF_INET,
				       .sin_addr.s_addr = htonl(INADDR_LOOPBACK),
				       .sin_port = htons((uint16_t)luaL_checkinteger(state, 1)) };
	line_conn_t *conn = lua_newuserdatauv(state, sizeof(*conn), 0);
	int one = 1;

	memset(conn, 0, sizeof(*conn));
	luaL_setmetatable(state, LINES_METATABLE);
	conn->in = g_string_new(NULL);
	conn->is_connecting = true;
	conn->fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
	if (conn->fd < 0)
		return luaL_error(state, "socket: %s", strerror(errno));
	setsockopt(conn->fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	if (connect(conn->fd, (struct sockaddr *)&address, sizeof(address)) < 0 &&
	    errno != EINPROGRESS) {
		conn->is_closed = true;
		close(conn->fd);
	}
	ev_io_init(&conn->io, on_io, conn->fd, EV_WRITE);
	conn->io.data = conn;
	ev_timer_init(&conn->timer, on_timeout, 0, 0);
	conn->timer.data = conn;
	return 1;
}

static int wait_for(lua_State *state, line_conn_t *conn, double timeout_s)
{
	conn->waiter = fiber_get_current(state);
	ev_now_update(scenario_loop);
	ev_timer_set(&conn->timer, timeout_s, 0);
	ev_timer_start(scenario_loop, &conn->timer);
	return fiber_wait(conn->waiter);
}

/* connection:_connect(timeout_ms) -> "connected", or nil and the reason */
static int api_connect(lua_State *state)
{
	line_conn_t *conn = luaL_checkudata(state, 1, LINES_METATABLE);

	if (conn->is_closed) {
		lua_pushnil(state);
		lua_pushstring(state, "closed");
		return 2;
	}
	ev_io_start(scenario_loop, &conn->io);
	return wait_for(state, conn, luaL_checknumber(state, 2) / 1000.0);
}

/* connection:send(text) -> false if the connection is closed, or its buffer is full */
static int api_send(lua_State *state)
{
	line_conn_t *conn = luaL_checkudata(state, 1, LINES_METATABLE);
	size_t length;
	const char *text = luaL_checklstring(state, 2, &length);

	lua_pushboolean(state, !conn->is_closed && send(conn->fd, text, length, MSG_NOSIGNAL) ==
							   (ssize_t)length);
	return 1;
}

/* connection:line(timeout_ms) -> next line without its CR LF, or nil and "closed" or "timeout" */
static int api_line(lua_State *state)
{
	line_conn_t *conn = luaL_checkudata(state, 1, LINES_METATABLE);
	size_t length;
	char *line = jh_line_take(conn->in, &length);

	if (line) {
		lua_pushlstring(state, line, length);
		g_free(line);
		return 1;
	}
	if (conn->is_closed) {
		lua_pushnil(state);
		lua_pushstring(state, "closed");
		return 2;
	}
	return wait_for(state, conn, luaL_checknumber(state, 2) / 1000.0);
}

/* connection:received() -> bytes received that no line() has taken yet */
static int api_received(lua_State *state)
{
	const line_conn_t *conn = luaL_checkudata(state, 1, LINES_METATABLE);

	lua_pushlstring(state, conn->in->str, conn->in->len);
	return 1;
}

/* connection:close(). A closed connection may be closed again. */
static int api_close(lua_State *state)
{
	line_conn_t *conn = luaL_checkudata(state, 1, LINES_METATABLE);

	if (conn->waiter)
		return luaL_error(state, "a fiber waits for the connection");
	conn_end(conn);
	return 0;
}

static int api_collect(lua_State *state)
{
	line_conn_t *conn = luaL_checkudata(state, 1, LINES_METATABLE);

	ev_timer_stop(scenario_loop, &conn->timer);
	conn_end(conn);
	g_string_free(conn->in, TRUE);
	return 0;
}

static const luaL_Reg lines_methods[] = {
	{ "_connect", api_connect },  { "send", api_send },   { "line", api_line },
	{ "received", api_received }, { "close", api_close }, { NULL, NULL },
};

void lines_register_api(lua_State *state)
{
	luaL_newmetatable(state, LINES_METATABLE);
	lua_newtable(state);
	luaL_setfuncs(state, lines_methods, 0);
	lua_setfield(state, -2, "__index");
	lua_pushcfunction(state, api_collect);
	lua_setfield(state, -2, "__gc");
	lua_pop(state, 1);
	lua_pushcfunction(state, api_lines);
	lua_setglobal(state, "_lines");
	if (luaL_dostring(state, "function line_connect(port, timeout_ms)\n"
				 "  local c = _lines(port)\n"
				 "  local ok, why = c:_connect(timeout_ms or 2000)\n"
				 "  if not ok then c:close() return nil, why end\n"
				 "  return c\n"
				 "end\n"))
		g_error("%s", lua_tostring(state, -1));
}
