/* Processes of a scenario: start, wait for a line, signal, end. */

#include "scenario.h"

#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#define PROCESS_TYPE "scenario.process"

/* Most lines of one process that expect() can still find. */
#define PROCESS_LINES_MAX 200000u

/* Ports for daemons: PORT_BLOCKS blocks from PORT_FIRST on, up to 32,000. */
#define PORT_FIRST 12000u
#define PORT_BLOCK_SIZE 100u
#define PORT_BLOCKS 200u

typedef struct process {
	pid_t pid;
	char *name;
	int output;
	ev_io reader;
	ev_child child;
	GString *partial;
	GPtrArray *lines;
	bool exited;
	int status;
	/* The fiber in expect() or wait(), what it looks for, and from which line on. */
	fiber_t *waiter;
	char *pattern;
	unsigned next_line;
} process_t;

static GPtrArray *processes;
static FILE *process_log;
static unsigned process_faults;

/* ---- output ---- */

/* Try the pattern on lines not looked at yet. Return: true if the waiter was resumed */
static bool process_match(process_t *process)
{
	lua_State *state;

	if (!process->waiter || !process->pattern)
		return false;
	state = process->waiter->state;
	while (process->next_line < process->lines->len) {
		const char *line = g_ptr_array_index(process->lines, process->next_line++);
		int top = lua_gettop(state);

		lua_getglobal(state, "string");
		lua_getfield(state, -1, "match");
		lua_remove(state, -2);
		lua_pushstring(state, line);
		lua_pushstring(state, process->pattern);
		lua_call(state, 2, LUA_MULTRET);
		if (!lua_isnil(state, top + 1)) {
			fiber_t *waiter = g_steal_pointer(&process->waiter);

			g_clear_pointer(&process->pattern, g_free);
			fiber_resume(waiter, lua_gettop(state) - top);
			return true;
		}
		lua_settop(state, top);
	}
	return false;
}

/* A sanitizer's report fails the scenario even if the process's end was expected. */
static void process_check_line(const process_t *process, const char *line)
{
	static const char *const reports[] = { "AddressSanitizer", "LeakSanitizer",
					       "runtime error:" };
	unsigned i;

	for (i = 0; i < G_N_ELEMENTS(reports); i++) {
		if (!strstr(line, reports[i]))
			continue;
		fprintf(stderr, "%s: %s\n", process->name, line);
		process_faults++;
	}
}

static void process_add_line(process_t *process, const char *line, size_t length)
{
	if (process_log) {
		fprintf(process_log, "%s: %.*s\n", process->name, (int)length, line);
		fflush(process_log);
	}
	if (process->lines->len < PROCESS_LINES_MAX)
		g_ptr_array_add(process->lines, g_strndup(line, length));
}

static void process_split_lines(process_t *process)
{
	char *start = process->partial->str;
	char *end;

	while ((end = strchr(start, '\n'))) {
		*end = '\0';
		process_check_line(process, start);
		process_add_line(process, start, (size_t)(end - start));
		start = end + 1;
	}
	g_string_erase(process->partial, 0, start - process->partial->str);
}

static lua_Integer process_status(const process_t *process)
{
	return WIFEXITED(process->status) ? WEXITSTATUS(process->status) :
					    -WTERMSIG(process->status);
}

/* It has ended and all that it wrote has been read: answer whoever waits for it. */
static void process_over(process_t *process)
{
	if (!process->exited || process->output >= 0 || !process->waiter)
		return;
	if (process->pattern) {
		if (!process_match(process))
			fiber_fail(process->waiter, "%s ended while waiting for '%s'",
				   process->name, process->pattern);
		return;
	}
	lua_pushinteger(process->waiter->state, process_status(process));
	fiber_resume(g_steal_pointer(&process->waiter), 1);
}

static void on_output(struct ev_loop *loop, ev_io *watcher, int events)
{
	process_t *process = watcher->data;
	char buffer[65536];
	ssize_t count = read(process->output, buffer, sizeof(buffer));

	(void)events;
	if (count > 0) {
		g_string_append_len(process->partial, buffer, count);
		process_split_lines(process);
	} else if (count == 0 || errno != EAGAIN) {
		ev_io_stop(loop, watcher);
		close(process->output);
		process->output = -1;
	}
	process_match(process);
	process_over(process);
}

/* ---- life ---- */

static void on_exit_of_child(struct ev_loop *loop, ev_child *watcher, int events)
{
	process_t *process = watcher->data;

	(void)events;
	ev_child_stop(loop, watcher);
	process->exited = true;
	process->status = watcher->rstatus;
	process_over(process);
}

static char **string_array(lua_State *state, int table, const char *field)
{
	GPtrArray *strings = g_ptr_array_new();
	lua_Integer i;

	lua_getfield(state, table, field);
	if (lua_istable(state, -1)) {
		for (i = 1; lua_rawgeti(state, -1, i) != LUA_TNIL; i++) {
			g_ptr_array_add(strings, g_strdup(luaL_tolstring(state, -1, NULL)));
			lua_pop(state, 2);
		}
		lua_pop(state, 1);
	}
	lua_pop(state, 1);
	g_ptr_array_add(strings, NULL);
	return (char **)g_ptr_array_free(strings, FALSE);
}

static _Noreturn void child_run(char **args, char **env, int output)
{
	sigset_t none;
	char **variable;

	prctl(PR_SET_PDEATHSIG, SIGKILL);
	sigemptyset(&none);
	sigprocmask(SIG_SETMASK, &none, NULL);
	signal(SIGPIPE, SIG_DFL);
	signal(SIGINT, SIG_DFL);
	dup2(output, STDOUT_FILENO);
	dup2(output, STDERR_FILENO);
	/* A Ctrl-C at the terminal goes to the scenario only. */
	setpgid(0, 0);
	for (variable = env; *variable; variable++)
		putenv(*variable);
	execv(args[0], args);
	fprintf(stderr, "can't run %s: %s\n", args[0], strerror(errno));
	_exit(127);
}

static process_t *process_push(lua_State *state, const char *name, pid_t pid, int output)
{
	process_t *process = lua_newuserdatauv(state, sizeof(*process), 0);

	memset(process, 0, sizeof(*process));
	luaL_setmetatable(state, PROCESS_TYPE);
	process->pid = pid;
	process->name = g_strdup(name);
	process->output = output;
	process->partial = g_string_new(NULL);
	process->lines = g_ptr_array_new_with_free_func(g_free);
	ev_io_init(&process->reader, on_output, output, EV_READ);
	process->reader.data = process;
	ev_io_start(scenario_loop, &process->reader);
	ev_child_init(&process->child, on_exit_of_child, pid, 0);
	process->child.data = process;
	ev_child_start(scenario_loop, &process->child);
	g_ptr_array_add(processes, process);
	/* Kept from collection: its watchers point to it until the tool ends. */
	lua_pushvalue(state, -1);
	luaL_ref(state, LUA_REGISTRYINDEX);
	return process;
}

/* spawn{name=, args={program, ...}, env={"A=b", ...}} -> process */
static int api_spawn(lua_State *state)
{
	char **args = string_array(state, 1, "args");
	char **env = string_array(state, 1, "env");
	const char *name;
	int pipes[2];
	pid_t pid;

	lua_getfield(state, 1, "name");
	name = luaL_checkstring(state, -1);
	if (pipe2(pipes, O_CLOEXEC) < 0)
		return luaL_error(state, "pipe: %s", strerror(errno));
	pid = fork();
	if (pid < 0)
		return luaL_error(state, "fork: %s", strerror(errno));
	if (pid == 0)
		child_run(args, env, pipes[1]);
	close(pipes[1]);
	fcntl(pipes[0], F_SETFL, O_NONBLOCK);
	g_strfreev(args);
	g_strfreev(env);
	process_push(state, name, pid, pipes[0]);
	return 1;
}

unsigned process_count_faults(void)
{
	return process_faults;
}

void process_kill_all(void)
{
	unsigned i;

	for (i = 0; i < processes->len; i++) {
		process_t *process = g_ptr_array_index(processes, i);

		if (!process->exited)
			kill(process->pid, SIGKILL);
	}
	for (i = 0; i < processes->len; i++) {
		process_t *process = g_ptr_array_index(processes, i);

		if (!process->exited)
			waitpid(process->pid, NULL, 0);
	}
}

/* ---- methods ---- */

static process_t *process_check(lua_State *state)
{
	return luaL_checkudata(state, 1, PROCESS_TYPE);
}

/* process:expect(pattern) -> captures of the first line, from now on, that matches */
static int api_process_expect(lua_State *state)
{
	process_t *process = process_check(state);
	fiber_t *fiber = fiber_current(state);
	const char *pattern = luaL_checkstring(state, 2);

	if (process->waiter)
		return luaL_error(state, "another fiber waits for %s", process->name);
	while (process->next_line < process->lines->len) {
		const char *line = g_ptr_array_index(process->lines, process->next_line++);
		int top = lua_gettop(state);

		lua_getglobal(state, "string");
		lua_getfield(state, -1, "match");
		lua_remove(state, -2);
		lua_pushstring(state, line);
		lua_pushstring(state, pattern);
		lua_call(state, 2, LUA_MULTRET);
		if (!lua_isnil(state, top + 1))
			return lua_gettop(state) - top;
		lua_settop(state, top);
	}
	if (process->exited && process->output < 0)
		return luaL_error(state, "%s has ended; no line matches '%s'", process->name,
				  pattern);
	process->waiter = fiber;
	process->pattern = g_strdup(pattern);
	return fiber_wait(fiber);
}

/* process:count(pattern) -> how many lines so far match */
static int api_process_count(lua_State *state)
{
	process_t *process = process_check(state);
	const char *pattern = luaL_checkstring(state, 2);
	lua_Integer count = 0;
	unsigned i;

	for (i = 0; i < process->lines->len; i++) {
		lua_getglobal(state, "string");
		lua_getfield(state, -1, "find");
		lua_pushstring(state, g_ptr_array_index(process->lines, i));
		lua_pushstring(state, pattern);
		lua_call(state, 2, 1);
		if (!lua_isnil(state, -1))
			count++;
		lua_settop(state, 2);
	}
	lua_pushinteger(state, count);
	return 1;
}

static int signal_number(lua_State *state, const char *name)
{
	static const struct {
		const char *name;
		int number;
	} signals[] = {
		{ "KILL", SIGKILL }, { "TERM", SIGTERM }, { "INT", SIGINT },
		{ "STOP", SIGSTOP }, { "CONT", SIGCONT },
	};
	unsigned i;

	for (i = 0; i < G_N_ELEMENTS(signals); i++) {
		if (g_str_equal(signals[i].name, name))
			return signals[i].number;
	}
	return luaL_error(state, "unknown signal %s", name);
}

/* process:signal("KILL"|"TERM"|"INT"|"STOP"|"CONT") */
static int api_process_signal(lua_State *state)
{
	process_t *process = process_check(state);
	int number = signal_number(state, luaL_checkstring(state, 2));

	if (!process->exited)
		kill(process->pid, number);
	return 0;
}

/* process:wait() -> exit status, or the negative number of the signal that ended it */
static int api_process_wait(lua_State *state)
{
	process_t *process = process_check(state);
	fiber_t *fiber = fiber_current(state);

	if (process->exited && process->output < 0) {
		lua_pushinteger(state, process_status(process));
		return 1;
	}
	process->waiter = fiber;
	return fiber_wait(fiber);
}

/* process:pid() */
static int api_process_pid(lua_State *state)
{
	lua_pushinteger(state, process_check(state)->pid);
	return 1;
}

/* process:exited() */
static int api_process_exited(lua_State *state)
{
	lua_pushboolean(state, process_check(state)->exited);
	return 1;
}

/* process:lines() -> array of all lines so far */
static int api_process_lines(lua_State *state)
{
	process_t *process = process_check(state);
	unsigned i;

	lua_createtable(state, (int)process->lines->len, 0);
	for (i = 0; i < process->lines->len; i++) {
		lua_pushstring(state, g_ptr_array_index(process->lines, i));
		lua_rawseti(state, -2, (lua_Integer)i + 1);
	}
	return 1;
}

/* log_to(path): also write every line of every process there */
static int api_log_to(lua_State *state)
{
	process_log = fopen(luaL_checkstring(state, 1), "we");
	lua_pushboolean(state, process_log != NULL);
	return 1;
}

static bool port_is_free(uint16_t port)
{
	struct sockaddr_in address = { .sin_family = AF_INET,
				       .sin_addr.s_addr = htonl(INADDR_LOOPBACK),
				       .sin_port = htons(port) };
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	bool is_free = fd >= 0 && bind(fd, (struct sockaddr *)&address, sizeof(address)) == 0;

	if (fd >= 0)
		close(fd);
	return is_free;
}

/*
 * free_port() -> a TCP port of 127.0.0.1 that nobody listens on now. Ports lie below those that
 * the system gives to outgoing connections, and each scenario goes through a block of its own, so
 * that none is taken by another process before its daemon listens on it.
 */
static int api_free_port(lua_State *state)
{
	static unsigned next;
	unsigned block = (unsigned)getpid() % PORT_BLOCKS;
	unsigned tries;

	for (tries = 0; tries < PORT_BLOCKS * PORT_BLOCK_SIZE; tries++) {
		unsigned offset = block * PORT_BLOCK_SIZE + next++;
		uint16_t port = (uint16_t)(PORT_FIRST + offset % (PORT_BLOCKS * PORT_BLOCK_SIZE));

		if (port_is_free(port)) {
			lua_pushinteger(state, port);
			return 1;
		}
	}
	return luaL_error(state, "no port is free");
}

static const luaL_Reg process_methods[] = {
	{ "expect", api_process_expect }, { "count", api_process_count },
	{ "signal", api_process_signal }, { "wait", api_process_wait },
	{ "pid", api_process_pid },	  { "exited", api_process_exited },
	{ "lines", api_process_lines },	  { NULL, NULL },
};

static const luaL_Reg process_functions[] = {
	{ "spawn", api_spawn },
	{ "free_port", api_free_port },
	{ "log_to", api_log_to },
	{ NULL, NULL },
};

void process_open(lua_State *state)
{
	processes = g_ptr_array_new();
	luaL_newmetatable(state, PROCESS_TYPE);
	lua_newtable(state);
	luaL_setfuncs(state, process_methods, 0);
	lua_setfield(state, -2, "__index");
	lua_pop(state, 1);
	lua_pushglobaltable(state);
	luaL_setfuncs(state, process_functions, 0);
	lua_pop(state, 1);
}
