/* Fibers, their timers, and the main function of the scenario tool. */

#include "scenario.h"

#include <lualib.h>
#include <signal.h>
#include <sodium.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>

struct ev_loop *scenario_loop;

static int exit_status = EXIT_SUCCESS;
/* Never closed: the static variable keeps its memory reachable, so no leak is reported. */
static lua_State *script_state;
static fiber_t *signal_waiter;
/* Owns all fibers until the tool exits, since join() may be called after a fiber has returned. */
static GPtrArray *fibers;
static bool signal_received;

/* Fibers */

fiber_t *fiber_get_current(lua_State *state)
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
	fiber_fail(watcher->data, "a fiber waited longer than %.0f s", FIBER_TIMEOUT_S);
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

static void fiber_finish(fiber_t *fiber)
{
	fiber_t *joiner = fiber->joiner;

	fiber->is_finished = true;
	lua_pushthread(fiber->state);
	lua_pushnil(fiber->state);
	lua_rawset(fiber->state, LUA_REGISTRYINDEX);
	luaL_unref(fiber->state, LUA_REGISTRYINDEX, fiber->registry_ref);
	if (joiner) {
		fiber->joiner = NULL;
		fiber_resume(joiner, 0);
	}
}

void fiber_resume(fiber_t *fiber, int value_count)
{
	int yielded_count = 0;
	int status;

	ev_timer_stop(scenario_loop, &fiber->timer);
	status = lua_resume(fiber->state, NULL, value_count, &yielded_count);
	if (status == LUA_YIELD) {
		lua_pop(fiber->state, yielded_count);
		return;
	}
	if (status != LUA_OK) {
		fiber_fail(fiber, "%s", lua_tostring(fiber->state, -1));
		return;
	}
	fiber_finish(fiber);
}

/* Moves the function on top of the parent's stack to a new fiber. Return: owned by fibers */
static fiber_t *fiber_new(lua_State *parent)
{
	fiber_t *fiber = g_new0(fiber_t, 1);

	fiber->state = lua_newthread(parent);
	fiber->registry_ref = luaL_ref(parent, LUA_REGISTRYINDEX);
	ev_timer_init(&fiber->timer, on_watchdog, FIBER_TIMEOUT_S, 0);
	fiber->timer.data = fiber;
	lua_pushthread(fiber->state);
	lua_pushlightuserdata(fiber->state, fiber);
	lua_rawset(fiber->state, LUA_REGISTRYINDEX);
	lua_xmove(parent, fiber->state, 1);
	g_ptr_array_add(fibers, fiber);
	return fiber;
}

static void on_fiber_start(struct ev_loop *loop, ev_timer *watcher, int events)
{
	(void)loop;
	(void)events;
	fiber_resume(watcher->data, 0);
}

/* go(function) -> fiber. The function starts in the next loop iteration. */
static int api_go(lua_State *state)
{
	fiber_t *fiber;

	luaL_checktype(state, 1, LUA_TFUNCTION);
	lua_settop(state, 1);
	fiber = fiber_new(state);
	ev_timer_init(&fiber->timer, on_fiber_start, 0, 0);
	fiber->timer.data = fiber;
	ev_timer_start(scenario_loop, &fiber->timer);
	lua_pushlightuserdata(state, fiber);
	return 1;
}

/* join(fiber): waits until the function of the fiber has returned */
static int api_join(lua_State *state)
{
	fiber_t *target = lua_touserdata(state, 1);
	fiber_t *fiber = fiber_get_current(state);

	if (target->is_finished)
		return 0;
	if (target->joiner)
		return luaL_error(state, "another fiber has already joined this fiber");
	target->joiner = fiber;
	/* No watchdog here: the waits of the joined fiber have their own. */
	ev_timer_stop(scenario_loop, &fiber->timer);
	return lua_yield(state, 0);
}

static void on_sleep_end(struct ev_loop *loop, ev_timer *watcher, int events)
{
	(void)loop;
	(void)events;
	fiber_resume(watcher->data, 0);
}

/* sleep(ms): suspends the calling fiber for that many milliseconds */
static int api_sleep(lua_State *state)
{
	fiber_t *fiber = fiber_get_current(state);
	double ms = luaL_checknumber(state, 1);

	ev_timer_stop(scenario_loop, &fiber->timer);
	ev_now_update(scenario_loop);
	ev_timer_init(&fiber->timer, on_sleep_end, ms / 1000.0, 0);
	fiber->timer.data = fiber;
	ev_timer_start(scenario_loop, &fiber->timer);
	return lua_yield(state, 0);
}

/* now() -> time of the monotonic clock, in microseconds */
static int api_now(lua_State *state)
{
	lua_pushinteger(state, g_get_monotonic_time());
	return 1;
}

/* Signals */

static void on_signal(struct ev_loop *loop, ev_signal *watcher, int events)
{
	fiber_t *waiter = signal_waiter;

	(void)loop;
	(void)watcher;
	(void)events;
	signal_received = true;
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

/* wait_signal(seconds): waits for SIGINT or SIGTERM, at most that long; 0 or nil means no limit */
static int api_wait_signal(lua_State *state)
{
	fiber_t *fiber = fiber_get_current(state);
	double seconds = luaL_optnumber(state, 1, 0);

	if (signal_received)
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

/* Start of the tool */

static const luaL_Reg main_functions[] = {
	{ "go", api_go },
	{ "join", api_join },
	{ "sleep", api_sleep },
	{ "now", api_now },
	{ "wait_signal", api_wait_signal },
	{ NULL, NULL },
};

static lua_State *script_state_new(int argc, char **argv)
{
	lua_State *state = luaL_newstate();
	int i;

	luaL_openlibs(state);
	lua_pushglobaltable(state);
	luaL_setfuncs(state, main_functions, 0);
	lua_pop(state, 1);
	process_register_api(state);
	session_register_api(state);
	net_register_api(state);
	store_register_api(state);
	json_register_api(state);
	load_register_api(state);
	lines_register_api(state);
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

static void signal_watchers_start(ev_signal *interrupt, ev_signal *terminate)
{
	ev_signal_init(interrupt, on_signal, SIGINT);
	ev_signal_init(terminate, on_signal, SIGTERM);
	ev_signal_start(scenario_loop, interrupt);
	ev_signal_start(scenario_loop, terminate);
	ev_unref(scenario_loop);
	ev_unref(scenario_loop);
}

/* Ends the scenario when the script returns, even if other fibers are still running. */
static int on_main_finished(lua_State *state)
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
	signal_watchers_start(&interrupt, &terminate);
	script_state = script_state_new(argc, argv);
	lua_pushcfunction(script_state, on_main_finished);
	lua_setglobal(script_state, "_main_finished");
	if (luaL_loadstring(script_state, "dofile(arg[0]) _main_finished()")) {
		fprintf(stderr, "%s\n", lua_tostring(script_state, -1));
		return 2;
	}
	fiber = fiber_new(script_state);
	ev_timer_init(&fiber->timer, on_fiber_start, 0, 0);
	fiber->timer.data = fiber;
	ev_timer_start(scenario_loop, &fiber->timer);
	ev_run(scenario_loop, 0);
	process_kill_all();
	if (process_count_sanitizer_reports() > 0)
		exit_status = EXIT_FAILURE;
	g_ptr_array_free(fibers, TRUE);
	return exit_status;
}
