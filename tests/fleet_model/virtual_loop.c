#include "virtual_loop.h"

#include <glib.h>
#include <string.h>
#include <sys/random.h>
#include <time.h>

/* Iterations of one loop at one moment after which it counts as running without end. */
#define ITERATIONS_MAX 100000u

struct ev_loop {
	/* ev_timer *: active timers, whose "at" is monotonic time of this loop in seconds. */
	GPtrArray *timers;
	/* ev_prepare *, ev_idle * and pending ev_timer *. */
	GPtrArray *prepares;
	GPtrArray *idles;
	GPtrArray *pending;
	bool is_suspended;
	bool is_awake;
	int64_t suspended_at_us;
	/* Time for which the loop has been suspended so far. */
	int64_t suspended_us;
};

typedef struct event {
	int64_t time_us;
	uint64_t order;
	virtual_event_fn_t fn;
	void *data;
	void (*free_data)(void *data);
} event_t;

static int64_t now_us;
static uint64_t next_order;
/* event_t *, ordered by time and then by the order of the calls; the next one is the last. */
static GSequence *events;
static GPtrArray *loops;
/* The loop whose callbacks run, or NULL. */
static struct ev_loop *current_loop;

/* ---- Clocks ---- */

static int64_t loop_monotonic_us(const struct ev_loop *loop)
{
	int64_t until_us = loop && loop->is_suspended ? loop->suspended_at_us : now_us;

	return until_us - (loop ? loop->suspended_us : 0);
}

static void timespec_set(struct timespec *time, int64_t time_us)
{
	time->tv_sec = time_us / G_USEC_PER_SEC;
	time->tv_nsec = time_us % G_USEC_PER_SEC * 1000;
}

/* Replaces the function of the C library, also for GLib. */
int clock_gettime(clockid_t clock, struct timespec *time)
{
	timespec_set(time, clock == CLOCK_MONOTONIC ? loop_monotonic_us(current_loop) : now_us);
	return 0;
}

/* The boot ids of the VMs come from the seed as well. */
ssize_t getrandom(void *buffer, size_t length, unsigned flags)
{
	uint8_t *bytes = buffer;
	size_t i;

	(void)flags;
	for (i = 0; i < length; i++)
		bytes[i] = (uint8_t)g_random_int_range(0, 256);
	return (ssize_t)length;
}

int64_t virtual_now_us(void)
{
	return now_us;
}

/* ---- Events outside the loops ---- */

static void event_free(void *data)
{
	event_t *event = data;

	if (event->free_data)
		event->free_data(event->data);
	g_free(event);
}

static int event_compare(const void *a, const void *b, void *context)
{
	const event_t *left = a;
	const event_t *right = b;

	(void)context;
	if (left->time_us != right->time_us)
		return left->time_us < right->time_us ? -1 : 1;
	return left->order < right->order ? -1 : left->order > right->order;
}

void virtual_time_reset(int64_t time_us)
{
	if (events)
		g_sequence_free(events);
	events = g_sequence_new(event_free);
	now_us = time_us;
	next_order = 0;
}

void virtual_call_at(int64_t time_us, virtual_event_fn_t fn, void *data,
		     void (*free_data)(void *data))
{
	event_t *event = g_new0(event_t, 1);

	*event = (event_t){ .time_us = MAX(time_us, now_us),
			    .order = next_order++,
			    .fn = fn,
			    .data = data,
			    .free_data = free_data };
	g_sequence_insert_sorted(events, event, event_compare, NULL);
}

static void run_due_events(void)
{
	while (!g_sequence_is_empty(events)) {
		GSequenceIter *first = g_sequence_get_begin_iter(events);
		event_t *event = g_sequence_get(first);
		virtual_event_fn_t fn = event->fn;
		void *data = event->data;

		if (event->time_us > now_us)
			return;
		event->free_data = NULL;
		g_sequence_remove(first);
		fn(data);
	}
}

/* ---- libev ---- */

struct ev_loop *ev_loop_new(unsigned flags)
{
	struct ev_loop *loop = g_new0(struct ev_loop, 1);

	(void)flags;
	loop->timers = g_ptr_array_new();
	loop->prepares = g_ptr_array_new();
	loop->idles = g_ptr_array_new();
	loop->pending = g_ptr_array_new();
	loop->is_awake = true;
	if (!loops)
		loops = g_ptr_array_new();
	g_ptr_array_add(loops, loop);
	return loop;
}

void ev_loop_destroy(struct ev_loop *loop)
{
	g_ptr_array_remove(loops, loop);
	g_ptr_array_free(loop->timers, TRUE);
	g_ptr_array_free(loop->prepares, TRUE);
	g_ptr_array_free(loop->idles, TRUE);
	g_ptr_array_free(loop->pending, TRUE);
	g_free(loop);
}

static void watcher_start(GPtrArray *watchers, ev_watcher *watcher)
{
	if (watcher->active)
		return;
	watcher->active = 1;
	g_ptr_array_add(watchers, watcher);
}

static void watcher_stop(GPtrArray *watchers, ev_watcher *watcher)
{
	if (!watcher->active)
		return;
	watcher->active = 0;
	g_ptr_array_remove(watchers, watcher);
}

void ev_timer_start(struct ev_loop *loop, ev_timer *timer)
{
	if (timer->active)
		return;
	timer->at += (double)loop_monotonic_us(loop) / G_USEC_PER_SEC;
	watcher_start(loop->timers, (ev_watcher *)timer);
}

void ev_timer_stop(struct ev_loop *loop, ev_timer *timer)
{
	g_ptr_array_remove(loop->pending, timer);
	watcher_stop(loop->timers, (ev_watcher *)timer);
}

void ev_timer_again(struct ev_loop *loop, ev_timer *timer)
{
	ev_timer_stop(loop, timer);
	if (timer->repeat <= 0)
		return;
	timer->at = timer->repeat;
	ev_timer_start(loop, timer);
}

void ev_prepare_start(struct ev_loop *loop, ev_prepare *prepare)
{
	watcher_start(loop->prepares, (ev_watcher *)prepare);
}

void ev_prepare_stop(struct ev_loop *loop, ev_prepare *prepare)
{
	watcher_stop(loop->prepares, (ev_watcher *)prepare);
}

void ev_idle_start(struct ev_loop *loop, ev_idle *idle)
{
	loop->is_awake = true;
	watcher_start(loop->idles, (ev_watcher *)idle);
}

void ev_idle_stop(struct ev_loop *loop, ev_idle *idle)
{
	watcher_stop(loop->idles, (ev_watcher *)idle);
}

void ev_feed_event(struct ev_loop *loop, void *watcher, int events_fed)
{
	(void)events_fed;
	loop->is_awake = true;
	if (!g_ptr_array_find(loop->pending, watcher, NULL))
		g_ptr_array_add(loop->pending, watcher);
}

int ev_run(struct ev_loop *loop, int flags)
{
	(void)loop;
	(void)flags;
	g_error("ev_run: loops in virtual time are run by virtual_run_until()");
}

void ev_break(struct ev_loop *loop, int how)
{
	(void)loop;
	(void)how;
}

/* ---- Running ---- */

static int64_t timer_due_us(const struct ev_loop *loop, const ev_timer *timer)
{
	return (int64_t)(timer->at * G_USEC_PER_SEC + 0.5) + loop->suspended_us;
}

/* Return: the active timer that is due first, NULL if there is none */
static ev_timer *find_first_timer(const struct ev_loop *loop)
{
	ev_timer *first = NULL;
	unsigned i;

	for (i = 0; i < loop->timers->len; i++) {
		ev_timer *timer = g_ptr_array_index(loop->timers, i);

		if (!first || timer->at < first->at)
			first = timer;
	}
	return first;
}

static void fire_timer(struct ev_loop *loop, ev_timer *timer)
{
	if (timer->repeat > 0)
		timer->at = MAX(timer->at + timer->repeat,
				(double)loop_monotonic_us(loop) / G_USEC_PER_SEC);
	else
		ev_timer_stop(loop, timer);
	timer->cb(loop, timer, EV_TIMER);
}

static bool run_one(struct ev_loop *loop)
{
	ev_timer *timer = find_first_timer(loop);
	unsigned i;

	if (loop->pending->len > 0) {
		timer = g_ptr_array_steal_index(loop->pending, 0);
		timer->cb(loop, timer, EV_TIMER);
	} else if (timer && timer_due_us(loop, timer) <= now_us) {
		fire_timer(loop, timer);
	} else if (loop->idles->len == 0) {
		return false;
	}
	for (i = 0; i < loop->prepares->len; i++) {
		ev_prepare *prepare = g_ptr_array_index(loop->prepares, i);

		prepare->cb(loop, prepare, EV_PREPARE);
	}
	return true;
}

static void run_loop(struct ev_loop *loop)
{
	unsigned iterations = 0;

	if (loop->is_suspended)
		return;
	current_loop = loop;
	loop->is_awake = false;
	while (run_one(loop)) {
		if (++iterations > ITERATIONS_MAX)
			g_error("a VM does not hand back the processor");
	}
	current_loop = NULL;
}

static bool run_loops_due(void)
{
	bool has_run = false;
	unsigned i;

	for (i = 0; i < loops->len; i++) {
		struct ev_loop *loop = g_ptr_array_index(loops, i);
		const ev_timer *timer = find_first_timer(loop);

		if (loop->is_suspended ||
		    (!loop->is_awake && !(timer && timer_due_us(loop, timer) <= now_us)))
			continue;
		run_loop(loop);
		has_run = true;
	}
	return has_run;
}

static int64_t find_next_us(int64_t until_us)
{
	int64_t next_us = until_us;
	unsigned i;

	if (!g_sequence_is_empty(events)) {
		const event_t *event = g_sequence_get(g_sequence_get_begin_iter(events));

		next_us = MIN(next_us, event->time_us);
	}
	for (i = 0; i < loops->len; i++) {
		const struct ev_loop *loop = g_ptr_array_index(loops, i);
		const ev_timer *timer = loop->is_suspended ? NULL : find_first_timer(loop);

		if (timer)
			next_us = MIN(next_us, timer_due_us(loop, timer));
	}
	return MAX(next_us, now_us);
}

void virtual_run_until(int64_t time_us)
{
	if (!loops)
		loops = g_ptr_array_new();
	while (now_us < time_us) {
		do {
			run_due_events();
		} while (run_loops_due());
		now_us = find_next_us(time_us);
	}
}

void virtual_loop_wake(struct ev_loop *loop)
{
	loop->is_awake = true;
}

void virtual_loop_suspend(struct ev_loop *loop, bool is_suspended)
{
	if (loop->is_suspended == is_suspended)
		return;
	if (is_suspended)
		loop->suspended_at_us = now_us;
	else
		loop->suspended_us += now_us - loop->suspended_at_us;
	loop->is_suspended = is_suspended;
	loop->is_awake = true;
}
