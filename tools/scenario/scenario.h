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
 * Runs a Lua script that starts the real binaries and the stand-ins, drives clients and causes
 * failures. Every client is a coroutine (a fiber); calls that wait yield to one libev loop. When
 * the tool ends, however it ends, the processes that it started end with it.
 */

/** FIBER_TIMEOUT_S - a wait that takes longer fails the scenario */
#define FIBER_TIMEOUT_S 120.0

/**
 * struct fiber - one coroutine
 * @state: its Lua thread, kept from collection by @anchor
 * @anchor: reference in the registry
 * @joiner: fiber that waits for its end, or NULL
 * @timer: watchdog or sleep of the wait in hand
 * @done: it has returned or failed
 */
typedef struct fiber {
	lua_State *state;
	int anchor;
	struct fiber *joiner;
	ev_timer timer;
	bool done;
} fiber_t;

extern struct ev_loop *scenario_loop;

/** fiber_current() - the fiber that runs @state. Return: borrowed */
fiber_t *fiber_current(lua_State *state);

/** fiber_wait() - yield from a C function called by Lua; arms the watchdog */
int fiber_wait(fiber_t *fiber);

/** fiber_resume() - go on with @results values that were pushed on fiber->state */
void fiber_resume(fiber_t *fiber, int results);

/** fiber_fail() - raise an error inside the waiting fiber's place: ends the scenario */
void fiber_fail(fiber_t *fiber, const char *format, ...) G_GNUC_PRINTF(2, 3);

/* Each file adds its functions to the globals. */
void process_open(lua_State *state);
void session_open(lua_State *state);
void net_open(lua_State *state);
void store_open(lua_State *state);
void json_open(lua_State *state);
void load_open(lua_State *state);

/** process_kill_all() - end every process that is still running */
void process_kill_all(void);

/** process_count_faults() - how many sanitizer reports were among the processes' lines */
unsigned process_count_faults(void);

#endif
