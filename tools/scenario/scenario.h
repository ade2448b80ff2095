#ifndef SCENARIO_H
#define SCENARIO_H

#include <ev.h>
#include <glib.h>
#include <lauxlib.h>
#include <lua.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: The scenario tool
 *
 * Runs a Lua script that starts the real daemons and the stand-ins for databases and platform,
 * runs clients against them and causes failures. Each client is a fiber, that is, a Lua coroutine
 * that yields to one libev loop while it waits. The processes that the tool started are killed when
 * it exits, also when it crashes.
 *
 * The tool is single-threaded. All functions run on the thread of scenario_loop. The functions
 * named api_* in the .c files implement the Lua functions; the comment before each gives its Lua
 * signature.
 */

/** FIBER_TIMEOUT_S - longest wait of a fiber, in seconds; a longer one fails the scenario */
#define FIBER_TIMEOUT_S 120.0

/**
 * struct fiber - one Lua coroutine
 * @state: its Lua thread
 * @registry_ref: reference in the Lua registry that keeps @state from garbage collection
 * @joiner: fiber that waits in join() until this one has returned, or NULL
 * @timer: start, sleep or watchdog timer, whichever applies to the current wait
 * @is_finished: its function has returned
 */
typedef struct fiber {
	lua_State *state;
	int registry_ref;
	struct fiber *joiner;
	ev_timer timer;
	bool is_finished;
} fiber_t;

/** scenario_loop - the default libev loop; main() sets it before any other function is called */
extern struct ev_loop *scenario_loop;

/** fiber_get_current() - the fiber that runs on @state. Return: borrowed, NULL if there is none */
fiber_t *fiber_get_current(lua_State *state);

/**
 * fiber_wait() - suspend a fiber until fiber_resume() is called for it
 * @fiber: the running fiber
 *
 * Starts a watchdog, which fails the scenario after FIBER_TIMEOUT_S. Only a C function that Lua
 * called on @fiber may call it, as "return fiber_wait(fiber);".
 *
 * Return: value that the caller must return to Lua
 */
int fiber_wait(fiber_t *fiber);

/**
 * fiber_resume() - continue a suspended fiber
 * @fiber: suspended by fiber_wait() or lua_yield(), or not started yet
 * @value_count: number of values that the caller pushed on fiber->state; they become the results
 *	of the Lua function that yielded
 *
 * Stops the fiber's timer and runs the fiber until it yields, returns or raises an error. The
 * caller's objects may have changed when the call returns. A Lua error fails the scenario.
 */
void fiber_resume(fiber_t *fiber, int value_count);

/**
 * fiber_fail() - fail the scenario with an error in a suspended fiber
 * @fiber: the fiber whose wait or function failed
 * @format: printf format of the message
 *
 * Prints the message and the fiber's Lua traceback to standard error and stops the loop; the tool
 * exits with EXIT_FAILURE. It raises no Lua error, so pcall() in the script cannot catch it.
 */
void fiber_fail(fiber_t *fiber, const char *format, ...) G_GNUC_PRINTF(2, 3);

/* Each of these registers the Lua functions of one file as globals of @state. Called once each. */
void process_register_api(lua_State *state);
void session_register_api(lua_State *state);
void net_register_api(lua_State *state);
void store_register_api(lua_State *state);
void json_register_api(lua_State *state);
void load_register_api(lua_State *state);
void lines_register_api(lua_State *state);

/** process_kill_all() - send SIGKILL to every started process that still runs, and reap them */
void process_kill_all(void);

/** process_count_sanitizer_reports() - count sanitizer reports in the output of all processes */
unsigned process_count_sanitizer_reports(void);

#endif
