/* Fibers, timers and the start of a scenario. */

#include "scenario.h"

#include <lualib.h>
#include <signal.h>
#include <sodium.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>

struct ev_loop *scenario_loop;

static int exit_status = EXIT_SUCCESS;
/* Kept to the end: what the script holds ends with the process and is no leak. */
static lua_State *script;
static fiber_t *signal_waiter;
/* Every fiber, since one may be joined after its end. */
static GPtrArray *fibers;
static bool signal_seen;

/* ---- fibers ---- */

fiber_t *fiber_current(lua_State *state)
{
	fiber_t *fiber;

	lua_pushthread(state);
	lua_rawget(state, LUA_REGISTRYINDEX);
	fiber = lua_touserdata(state, -1);
	lua_pop(state, 1);
	return fiber;
}

static void scenario_end(int status)
{
	exit_status = status;
	ev_break(scenario_loop, EVBREAK_ALL);
}

static void on_watchdog(struct ev_loop *loop, ev_timer *watcher, int events)
{
	(void)loop;
	(void)events;
	fiber_fail(watcher->data, "a wait took longer than %.0f s", FIBER_TIMEOUT_S);
}

int fiber_wait(fiber_t *fiber)
{
	ev_timer_stop(scenario_loop, &fiber->timer);
	ev_timer_init(&fiber->timer, on_watchdog, FIBER_TIMEOUT_S, 0);
	fiber->timer.data = fiber;
	ev_timer_start(scenario_loop, &fiber->timer);
	return lua_yield(fiber->state, 0);
}

void fiber_fail(fiber_t *fiber, const char *format, ...)
{
	va_list args;
	char *text;

	va_start(args, format);
	text = g_strdup_vprintf(format, args);
	va_end(args);
	luaL_traceback(fiber->state, fiber->state, text, 0);
	fprintf(stderr, "scenario failed: %s\n", lua_tostring(fiber->state, -1));
	g_free(text);
	scenario_end(EXIT_FAILURE);
}

static void fiber_end(fiber_t *fiber)
{
	fiber_t *joiner = fiber->joiner;

	fiber->done = true;
	lua_pushthread(fiber->state);
	lua_pushnil(fiber->state);
	lua_rawset(fiber->state, LUA_REGISTRYINDEX);
	luaL_unref(fiber->state, LUA_REGISTRYINDEX, fiber->anchor);
	if (joiner) {
		fiber->joiner = NULL;
		fiber_resume(joiner, 0);
	}
}

void fiber_resume(fiber_t *fiber, int results)
{
	int count = 0;
	int status;

	ev_timer_stop(scenario_loop, &fiber->timer);
	status = lua_resume(fiber->state, NULL, results, &count);
	if (status == LUA_YIELD) {
		lua_pop(fiber->state, count);
		return;
	}
	if (status != LUA_OK) {
		fiber_fail(fiber, "%s", lua_tostring(fiber->state, -1));
		return;
	}
	fiber_end(fiber);
}

/* Move the function on top of @from into a new fiber. Return: new, owned by the registry's end */
static fiber_t *fiber_new(lua_State *from)
{
	fiber_t *fiber = g_new0(fiber_t, 1);

	fiber->state = lua_newthread(from);
	fiber->anchor = luaL_ref(from, LUA_REGISTRYINDEX);
	ev_timer_init(&fiber->timer, on_watchdog, FIBER_TIMEOUT_S, 0);
	fiber->timer.data = fiber;
	lua_pushthread(fiber->state);
	lua_pushlightuserdata(fiber->state, fiber);
	lua_rawset(fiber->state, LUA_REGISTRYINDEX);
	lua_xmove(from, fiber->state, 1);
	g_ptr_array_add(fibers, fiber);
	return fiber;
}

static void on_start(struct ev_loop *loop, ev_timer *watcher, int events)
{
	(void)loop;
	(void)events;
	fiber_resume(watcher->data, 0);
}

/* go(function) -> fiber: starts at the next turn of the loop */
static int api_go(lua_State *state)
{
	fiber_t *fiber;

	luaL_checktype(state, 1, LUA_TFUNCTION);
	lua_settop(state, 1);
	fiber = fiber_new(state);
	ev_timer_init(&fiber->timer, on_start, 0, 0);
	fiber->timer.data = fiber;
	ev_timer_start(scenario_loop, &fiber->timer);
	lua_pushlightuserdata(state, fiber);
	return 1;
}

/* join(fiber): waits for its end */
static int api_join(lua_State *state)
{
	fiber_t *other = lua_touserdata(state, 1);
	fiber_t *fiber = fiber_current(state);

	if (other->done)
		return 0;
	if (other->joiner)
		return luaL_error(state, "a fiber can be joined once");
	other->joiner = fiber;
	/* The joined fiber's own waits have a watchdog, so this wait needs none. */
	ev_timer_stop(scenario_loop, &fiber->timer);
	return lua_yield(state, 0);
}

static void on_sleep(struct ev_loop *loop, ev_timer *watcher, int events)
{
	(void)loop;
	(void)events;
	fiber_resume(watcher->data, 0);
}

/* sleep(ms) */
static int api_sleep(lua_State *state)
{
	fiber_t *fiber = fiber_current(state);
	double ms = luaL_checknumber(state, 1);

	ev_timer_stop(scenario_loop, &fiber->timer);
	ev_now_update(scenario_loop);
	ev_timer_init(&fiber->timer, on_sleep, ms / 1000.0, 0);
	fiber->timer.data = fiber;
	ev_timer_start(scenario_loop, &fiber->timer);
	return lua_yield(state, 0);
}

/* now() -> monotonic microseconds */
static int api_now(lua_State *state)
{
	lua_pushinteger(state, g_get_monotonic_time());
	return 1;
}

/* ---- signals ---- */

static void on_signal(struct ev_loop *loop, ev_signal *watcher, int events)
{
	fiber_t *waiter = signal_waiter;

	(void)loop;
	(void)watcher;
	(void)events;
	signal_seen = true;
	signal_waiter = NULL;
	if (waiter)
		fiber_resume(waiter, 0);
	else
		scenario_end(EXIT_FAILURE);
}

static void on_signal_timeout(struct ev_loop *loop, ev_timer *watcher, int events)
{
	(void)loop;
	(void)events;
	signal_waiter = NULL;
	fiber_resume(watcher->data, 0);
}

/* wait_signal(seconds): until SIGINT or SIGTERM; 0 means without limit */
static int api_wait_signal(lua_State *state)
{
	fiber_t *fiber = fiber_current(state);
	double seconds = luaL_optnumber(state, 1, 0);

	if (signal_seen)
		return 0;
	signal_waiter = fiber;
	ev_timer_stop(scenario_loop, &fiber->timer);
	ev_now_update(scenario_loop);
	if (seconds > 0) {
		ev_timer_init(&fiber->timer, on_signal_timeout, seconds, 0);
		fiber->timer.data = fiber;
		ev_timer_start(scenario_loop, &fiber->timer);
	}
	return lua_yield(state, 0);
}

/* ---- start ---- */

static const luaL_Reg main_functions[] = {
	{ "go", api_go },
	{ "join", api_join },
	{ "sleep", api_sleep },
	{ "now", api_now },
	{ "wait_signal", api_wait_signal },
	{ NULL, NULL },
};

static lua_State *api_new(int argc, char **argv)
{
	lua_State *state = luaL_newstate();
	int i;

	luaL_openlibs(state);
	lua_pushglobaltable(state);
	luaL_setfuncs(state, main_functions, 0);
	lua_pop(state, 1);
	process_open(state);
	session_open(state);
	net_open(state);
	store_open(state);
	json_open(state);
	load_open(state);
	lua_newtable(state);
	for (i = 1; i < argc; i++) {
		lua_pushstring(state, argv[i]);
		lua_rawseti(state, -2, i - 1);
	}
	lua_setglobal(state, "arg");
	if (luaL_dostring(state, "package.path = 'scenarios/lib/?.lua;' .. package.path"))
		g_error("%s", lua_tostring(state, -1));
	return state;
}

static void signals_start(ev_signal *interrupt, ev_signal *terminate)
{
	ev_signal_init(interrupt, on_signal, SIGINT);
	ev_signal_init(terminate, on_signal, SIGTERM);
	ev_signal_start(scenario_loop, interrupt);
	ev_signal_start(scenario_loop, terminate);
	ev_unref(scenario_loop);
	ev_unref(scenario_loop);
}

/* The main fiber's end ends the scenario, whatever other fibers still do. */
static int main_finished(lua_State *state)
{
	(void)state;
	scenario_end(EXIT_SUCCESS);
	return 0;
}

int main(int argc, char **argv)
{
	ev_signal interrupt;
	ev_signal terminate;
	fiber_t *fiber;

	if (argc < 2 || sodium_init() < 0) {
		fprintf(stderr, "usage: scenario SCRIPT [ARGUMENT...]\n");
		return 2;
	}
	setvbuf(stdout, NULL, _IOLBF, 0);
	signal(SIGPIPE, SIG_IGN);
	scenario_loop = ev_default_loop(0);
	fibers = g_ptr_array_new_with_free_func(g_free);
	signals_start(&interrupt, &terminate);
	script = api_new(argc, argv);
	lua_pushcfunction(script, main_finished);
	lua_setglobal(script, "_main_finished");
	if (luaL_loadstring(script, "dofile(arg[0]) _main_finished()")) {
		fprintf(stderr, "%s\n", lua_tostring(script, -1));
		return 2;
	}
	fiber = fiber_new(script);
	ev_timer_init(&fiber->timer, on_start, 0, 0);
	fiber->timer.data = fiber;
	ev_timer_start(scenario_loop, &fiber->timer);
	ev_run(scenario_loop, 0);
	process_kill_all();
	if (process_count_faults() > 0)
		exit_status = EXIT_FAILURE;
	g_ptr_array_free(fibers, TRUE);
	return exit_status;
}
