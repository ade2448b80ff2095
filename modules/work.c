#include "jh_counter.h"
#include "jh_kernel.h"
#include "jh_log.h"

#include <string.h>

/*
 * The work task: logs at fixed intervals what this VM did since the last time, by cause, and for
 * how long its event loop was held up. One VM's log so shows which kind of work used up its
 * processor, also if it never got as far as answering a request for its metrics.
 */

#define INTERVAL_S 5.0

#define METRIC_PREFIX "jasminehill_"
#define COUNTER_SUFFIX "_total"

typedef struct work {
	/* jh_counter_t to int64_t *: values at the last time. */
	GHashTable *last_values;
	GString *line;
	ev_timer timer;
	/* These two enclose the handling of the events of one iteration of the loop. */
	ev_check before_events;
	ev_prepare after_events;
	int64_t events_began_us;
	int64_t longest_us;
} work_t;

/* Adds a counter that has grown to the line, without the parts that all names share. */
static void add_growth(const jh_counter_t *counter, void *data)
{
	work_t *work = data;
	int64_t *last_value = g_hash_table_lookup(work->last_values, counter);
	int name_chars = (int)(strlen(counter->name) - strlen(COUNTER_SUFFIX));

	if (!g_str_has_prefix(counter->name, METRIC_PREFIX) ||
	    !g_str_has_suffix(counter->name, COUNTER_SUFFIX))
		return;
	if (!last_value) {
		last_value = g_new0(int64_t, 1);
		g_hash_table_insert(work->last_values, (void *)counter, last_value);
	}
	if (counter->value != *last_value)
		g_string_append_printf(work->line, " %.*s=%" G_GINT64_FORMAT,
				       name_chars - (int)strlen(METRIC_PREFIX),
				       counter->name + strlen(METRIC_PREFIX),
				       counter->value - *last_value);
	*last_value = counter->value;
}

static void on_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	work_t *work = timer->data;

	(void)loop;
	(void)events;
	g_string_truncate(work->line, 0);
	jh_counter_foreach(add_growth, work);
	jh_log(JH_LOG_INFO, "work", "work", "interval_ms=%d longest_ms=%" G_GINT64_FORMAT "%s",
	       (int)(INTERVAL_S * 1000), work->longest_us / 1000, work->line->str);
	work->longest_us = 0;
}

static void on_before_events(struct ev_loop *loop, ev_check *watcher, int events)
{
	(void)loop;
	(void)events;
	((work_t *)watcher->data)->events_began_us = g_get_monotonic_time();
}

static void on_after_events(struct ev_loop *loop, ev_prepare *watcher, int events)
{
	work_t *work = watcher->data;

	(void)loop;
	(void)events;
	if (work->events_began_us != 0)
		work->longest_us =
			MAX(work->longest_us, g_get_monotonic_time() - work->events_began_us);
}

static int work_init(jh_task_t *task, jh_error_t *err)
{
	struct ev_loop *loop = jh_task_loop(task);
	work_t *work = g_new0(work_t, 1);

	(void)err;
	work->last_values = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	work->line = g_string_new(NULL);
	ev_timer_init(&work->timer, on_timer, INTERVAL_S, INTERVAL_S);
	ev_check_init(&work->before_events, on_before_events);
	ev_prepare_init(&work->after_events, on_after_events);
	work->timer.data = work;
	work->before_events.data = work;
	work->after_events.data = work;
	ev_timer_start(loop, &work->timer);
	ev_check_start(loop, &work->before_events);
	ev_prepare_start(loop, &work->after_events);
	jh_task_set_state(task, work);
	return 0;
}

static void work_on_message(jh_task_t *task, const jh_msg_t *msg)
{
	(void)task;
	(void)msg;
}

static void work_fini(jh_task_t *task)
{
	work_t *work = jh_task_state(task);
	struct ev_loop *loop = jh_task_loop(task);

	ev_timer_stop(loop, &work->timer);
	ev_check_stop(loop, &work->before_events);
	ev_prepare_stop(loop, &work->after_events);
	g_hash_table_destroy(work->last_values);
	g_string_free(work->line, TRUE);
	g_free(work);
}

const jh_module_t jh_work_module = {
	.name = "work",
	.doc = "logs the work done in each interval, by cause",
	.subscriptions = { JH_MSG_TYPE_COUNT },
	.frames = { 0 },
	.init = work_init,
	.on_message = work_on_message,
	.fini = work_fini,
};
