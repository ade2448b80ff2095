#ifndef VIRTUAL_LOOP_H
#define VIRTUAL_LOOP_H

#include <ev.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: Event loops in virtual time
 *
 * A program that links this file runs all its libev loops in virtual time: it defines the functions
 * of libev that the daemon's modules use, and clock_gettime(). Between two events no time passes.
 * Each loop belongs to one VM. While a loop is suspended, none of its callbacks run, and its
 * monotonic clock stands still; CLOCK_BOOTTIME goes on, as on a suspended machine. Watchers of file
 * descriptors are not supported.
 */

/** typedef virtual_event_fn_t - an event outside the VMs, such as the arrival of a request */
typedef void (*virtual_event_fn_t)(void *data);

/** virtual_time_reset() - set the clock to @now_us and drop all pending events without a call */
void virtual_time_reset(int64_t now_us);

/** virtual_now_us() - Return: the virtual time, which CLOCK_BOOTTIME shows; microseconds */
int64_t virtual_now_us(void);

/**
 * virtual_call_at() - call @fn once at a time
 * @free_data: frees @data if the event is dropped by virtual_time_reset(); may be NULL
 */
void virtual_call_at(int64_t time_us, virtual_event_fn_t fn, void *data,
		     void (*free_data)(void *data));

/** virtual_run_until() - run all loops and events up to a time */
void virtual_run_until(int64_t time_us);

/** virtual_loop_suspend() - suspend or resume a loop */
void virtual_loop_suspend(struct ev_loop *loop, bool is_suspended);

/** virtual_loop_wake() - run the loop before time passes, since a task got a message from outside
 */
void virtual_loop_wake(struct ev_loop *loop);

#endif
