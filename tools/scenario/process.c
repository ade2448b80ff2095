/* Lua interface to child processes: start them, wait for lines of their output, signal them. */

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

#define PROCESS_METATABLE "scenario.process"

/* Lines that are kept per process. Later ones go to the log file only; expect() misses them. */
#define PROCESS_LINES_MAX 200000u

/* Port range of the daemons, 12,000 to 31,999, split into blocks; see api_free_port(). */
#define PORT_FIRST 12000u
#define PORT_BLOCK_SIZE 100u
#define PORT_BLOCK_COUNT 200u

typedef struct process {
	pid_t pid;
	char *name;
	/* Read end of the pipe for standard output and standard error; -1 after end of file. */
	int output_fd;
	ev_io output_watcher;
	ev_child exit_watcher;
	/* Output after the last newline. */
	GString *partial_line;
	GPtrArray *lines;
	bool has_exited;
	int wait_status;
	/* Fiber that waits in expect() (with the Lua pattern) or in wait() (pattern is NULL). */
	fiber_t *waiter;
	char *pattern;
	/* Index in lines of the first line that expect() has not checked. */
	unsigned next_line;
} process_t;

static GPtrArray *processes;
static FILE *log_file;
static unsigned sanitizer_report_count;

/* Output */

/* Matches the waiter's pattern against unchecked lines. Return: true if the waiter was resumed */
static bool process_match_new_lines(process_t *process)
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

/* Counts sanitizer reports: they fail the scenario, also if it expects the process to exit. */
static void process_scan_sanitizer_report(const process_t *process, const char *line)
{
	static const char *const report_markers[] = { "AddressSanitizer", "LeakSanitizer",
						      "runtime error:" };
	unsigned i;

	for (i = 0; i < G_N_ELEMENTS(report_markers); i++) {
		if (!strstr(line, report_markers[i]))
			continue;
		fprintf(stderr, "%s: %s\n", process->name, line);
		sanitizer_report_count++;
	}
}

static void process_add_line(process_t *process, const char *line, size_t length)
{
	if (log_file) {
		fprintf(log_file, "%s: %.*s\n", process->name, (int)length, line);
		fflush(log_file);
	}
	if (process->lines->len < PROCESS_LINES_MAX)
		g_ptr_array_add(process->lines, g_strndup(line, length));
}

static void process_split_lines(process_t *process)
{
	char *start = process->partial_line->str;
	char *end;

	while ((end = strchr(start, '\n'))) {
		*end = '\0';
		process_scan_sanitizer_report(process, start);
		process_add_line(process, start, (size_t)(end - start));
		start = end + 1;
	}
	g_string_erase(process->partial_line, 0, start - process->partial_line->str);
}

/* Return: exit status, or the negated number of the signal that killed the process */
static lua_Integer process_exit_code(const process_t *process)
{
	return WIFEXITED(process->wait_status) ? WEXITSTATUS(process->wait_status) :
						 -WTERMSIG(process->wait_status);
}

/*
 * Resumes the waiter once the process has exited and its output was read to the end: wait()
 * returns the exit code, expect() fails unless one of the last lines matches.
 */
static void process_resume_after_exit(process_t *process)
{
	if (!process->has_exited || process->output_fd >= 0 || !process->waiter)
		return;
	if (process->pattern) {
		if (!process_match_new_lines(process))
			fiber_fail(process->waiter,
				   "%s exited before it printed a line that matches '%s'",
				   process->name, process->pattern);
		return;
	}
	lua_pushinteger(process->waiter->state, process_exit_code(process));
	fiber_resume(g_steal_pointer(&process->waiter), 1);
}

static void on_output(struct ev_loop *loop, ev_io *watcher, int events)
{
	process_t *process = watcher->data;
	char buffer[65536];
	ssize_t count = read(process->output_fd, buffer, sizeof(buffer));

	(void)events;
	if (count > 0) {
		g_string_append_len(process->partial_line, buffer, count);
		process_split_lines(process);
	} else if (count == 0 || errno != EAGAIN) {
		ev_io_stop(loop, watcher);
		close(process->output_fd);
		process->output_fd = -1;
	}
	process_match_new_lines(process);
	process_resume_after_exit(process);
}

/* Start and exit */

static void on_child_exit(struct ev_loop *loop, ev_child *watcher, int events)
{
	process_t *process = watcher->data;

	(void)events;
	ev_child_stop(loop, watcher);
	process->has_exited = true;
	process->wait_status = watcher->rstatus;
	process_resume_after_exit(process);
}

/* Return: new NULL-terminated array of the strings in @field; empty if it is not a table */
static char **get_string_array(lua_State *state, int table_index, const char *field)
{
	GPtrArray *strings = g_ptr_array_new();
	lua_Integer i;

	lua_getfield(state, table_index, field);
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

/* Runs in the child after fork(). */
static _Noreturn void child_exec(char **args, char **env, int output_fd)
{
	sigset_t empty_mask;
	char **variable;

	/* The kernel kills the child when the tool dies, also if it crashes. */
	prctl(PR_SET_PDEATHSIG, SIGKILL);
	sigemptyset(&empty_mask);
	sigprocmask(SIG_SETMASK, &empty_mask, NULL);
	signal(SIGPIPE, SIG_DFL);
	signal(SIGINT, SIG_DFL);
	dup2(output_fd, STDOUT_FILENO);
	dup2(output_fd, STDERR_FILENO);
	/* Own process group, so that Ctrl-C at the terminal signals the scenario tool only. */
	setpgid(0, 0);
	for (variable = env; *variable; variable++)
		putenv(*variable);
	execv(args[0], args);
	fprintf(stderr, "cannot execute %s: %s\n", args[0], strerror(errno));
	_exit(127);
}

static process_t *push_process(lua_State *state, const char *name, pid_t pid, int output_fd)
{
	process_t *process = lua_newuserdatauv(state, sizeof(*process), 0);

	memset(process, 0, sizeof(*process));
	luaL_setmetatable(state, PROCESS_METATABLE);
	process->pid = pid;
	process->name = g_strdup(name);
	process->output_fd = output_fd;
	process->partial_line = g_string_new(NULL);
	process->lines = g_ptr_array_new_with_free_func(g_free);
	ev_io_init(&process->output_watcher, on_output, output_fd, EV_READ);
	process->output_watcher.data = process;
	ev_io_start(scenario_loop, &process->output_watcher);
	ev_child_init(&process->exit_watcher, on_child_exit, pid, 0);
	process->exit_watcher.data = process;
	ev_child_start(scenario_loop, &process->exit_watcher);
	g_ptr_array_add(processes, process);
	/* Never garbage-collected, since its watchers point to it until the tool exits. */
	lua_pushvalue(state, -1);
	luaL_ref(state, LUA_REGISTRYINDEX);
	return process;
}

/* spawn{name=, args={program, ...}, env={"A=b", ...}} -> process. env is added to the tool's. */
static int api_spawn(lua_State *state)
{
	char **args = get_string_array(state, 1, "args");
	char **env = get_string_array(state, 1, "env");
	const char *name;
	int pipe_fds[2];
	pid_t pid;

	lua_getfield(state, 1, "name");
	name = luaL_checkstring(state, -1);
	if (pipe2(pipe_fds, O_CLOEXEC) < 0)
		return luaL_error(state, "cannot create a pipe: %s", strerror(errno));
	pid = fork();
	if (pid < 0)
		return luaL_error(state, "cannot fork: %s", strerror(errno));
	if (pid == 0)
		child_exec(args, env, pipe_fds[1]);
	close(pipe_fds[1]);
	fcntl(pipe_fds[0], F_SETFL, O_NONBLOCK);
	g_strfreev(args);
	g_strfreev(env);
	push_process(state, name, pid, pipe_fds[0]);
	return 1;
}

unsigned process_count_sanitizer_reports(void)
{
	return sanitizer_report_count;
}

void process_kill_all(void)
{
	unsigned i;

	for (i = 0; i < processes->len; i++) {
		process_t *process = g_ptr_array_index(processes, i);

		if (!process->has_exited)
			kill(process->pid, SIGKILL);
	}
	for (i = 0; i < processes->len; i++) {
		process_t *process = g_ptr_array_index(processes, i);

		if (!process->has_exited)
			waitpid(process->pid, NULL, 0);
	}
}

/* Methods of a process, and global functions */

static process_t *process_check_arg(lua_State *state)
{
	return luaL_checkudata(state, 1, PROCESS_METATABLE);
}

/* process:expect(pattern) -> captures of the first matching line after those already checked */
static int api_process_expect(lua_State *state)
{
	process_t *process = process_check_arg(state);
	fiber_t *fiber = fiber_get_current(state);
	const char *pattern = luaL_checkstring(state, 2);

	if (process->waiter)
		return luaL_error(state, "another fiber already waits for %s", process->name);
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
	if (process->has_exited && process->output_fd < 0)
		return luaL_error(state, "%s has exited; none of its unchecked lines matches '%s'",
				  process->name, pattern);
	process->waiter = fiber;
	process->pattern = g_strdup(pattern);
	return fiber_wait(fiber);
}

/* process:count(pattern) -> number of lines so far that match */
static int api_process_count(lua_State *state)
{
	process_t *process = process_check_arg(state);
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

static int signal_number_from_name(lua_State *state, const char *name)
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
	process_t *process = process_check_arg(state);
	int number = signal_number_from_name(state, luaL_checkstring(state, 2));

	if (!process->has_exited)
		kill(process->pid, number);
	return 0;
}

/* process:wait() -> exit status, or the negated number of the signal that killed it */
static int api_process_wait(lua_State *state)
{
	process_t *process = process_check_arg(state);
	fiber_t *fiber = fiber_get_current(state);

	if (process->has_exited && process->output_fd < 0) {
		lua_pushinteger(state, process_exit_code(process));
		return 1;
	}
	process->waiter = fiber;
	return fiber_wait(fiber);
}

/* process:pid() -> process id */
static int api_process_pid(lua_State *state)
{
	lua_pushinteger(state, process_check_arg(state)->pid);
	return 1;
}

/* process:exited() -> true if the process has exited; its output may not be read yet */
static int api_process_exited(lua_State *state)
{
	lua_pushboolean(state, process_check_arg(state)->has_exited);
	return 1;
}

/* process:lines() -> array of the lines so far, at most PROCESS_LINES_MAX */
static int api_process_lines(lua_State *state)
{
	process_t *process = process_check_arg(state);
	unsigned i;

	lua_createtable(state, (int)process->lines->len, 0);
	for (i = 0; i < process->lines->len; i++) {
		lua_pushstring(state, g_ptr_array_index(process->lines, i));
		lua_rawseti(state, -2, (lua_Integer)i + 1);
	}
	return 1;
}

/* log_to(path) -> true if the file was opened; it gets the later lines of all processes */
static int api_log_to(lua_State *state)
{
	log_file = fopen(luaL_checkstring(state, 1), "we");
	lua_pushboolean(state, log_file != NULL);
	return 1;
}

/* Return: new socket that is bound to the port of 127.0.0.1; -1 if that is not possible */
static int port_bind(uint16_t port)
{
	struct sockaddr_in address = { .sin_family = AF_INET,
				       .sin_addr.s_addr = htonl(INADDR_LOOPBACK),
				       .sin_port = htons(port) };
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	if (fd < 0)
		return -1;
	if (bind(fd, (struct sockaddr *)&address, sizeof(address)) == 0)
		return fd;
	close(fd);
	return -1;
}

/* Return: the block that is tried first: that of the environment variable, or one by the pid */
static unsigned first_block(void)
{
	const char *text = g_getenv("JH_PORT_BLOCK");

	return (text ? (unsigned)g_ascii_strtoull(text, NULL, 10) : (unsigned)getpid()) %
	       PORT_BLOCK_COUNT;
}

/*
 * Reserves a block of ports: its first port stays bound for as long as this process runs, so that
 * no other scenario program uses the block.
 *
 * Return: true if the block was free
 */
static bool port_block_reserve(unsigned block)
{
	return port_bind((uint16_t)(PORT_FIRST + block * PORT_BLOCK_SIZE)) >= 0;
}

/*
 * free_port() -> a TCP port of 127.0.0.1 that is free now, in a block that is reserved for this
 * process. The blocks lie below the ephemeral range of outgoing connections.
 */
static int api_free_port(lua_State *state)
{
	static unsigned block;
	static unsigned next_offset = PORT_BLOCK_SIZE;
	unsigned attempts;

	for (attempts = 0; attempts < PORT_BLOCK_COUNT * PORT_BLOCK_SIZE; attempts++) {
		uint16_t port;
		int fd;

		if (next_offset >= PORT_BLOCK_SIZE) {
			block = attempts == 0 && block == 0 ? first_block() :
							      (block + 1) % PORT_BLOCK_COUNT;
			if (port_block_reserve(block))
				next_offset = 1;
			continue;
		}
		port = (uint16_t)(PORT_FIRST + block * PORT_BLOCK_SIZE + next_offset++);
		fd = port_bind(port);
		if (fd < 0)
			continue;
		close(fd);
		lua_pushinteger(state, port);
		return 1;
	}
	return luaL_error(state, "no free TCP port in the range for daemons");
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

void process_register_api(lua_State *state)
{
	processes = g_ptr_array_new();
	luaL_newmetatable(state, PROCESS_METATABLE);
	lua_newtable(state);
	luaL_setfuncs(state, process_methods, 0);
	lua_setfield(state, -2, "__index");
	lua_pop(state, 1);
	lua_pushglobaltable(state);
	luaL_setfuncs(state, process_functions, 0);
	lua_pop(state, 1);
}
