/* SHOW topics of the virtual database that the entry module provides. caller_batch.c runs SHOW,
 * entry_set.c has the values of parameters, and entry.c registers _jh_entry_show() with the kernel.
 */

#include "internal/entry.h"

#include "jh_counter.h"
#include "jh_log.h"

#include <stdarg.h>

static char *format_u64(uint64_t value)
{
	return g_strdup_printf("%" G_GUINT64_FORMAT, value);
}

/* ---- Sessions ---- */

static const char *caller_state_name(const _jh_caller_t *caller)
{
	if (caller->state != JH_CALLER_READY)
		return "starting";
	if (caller->request != JH_HANDLE_NONE)
		return "running";
	return caller->transaction == 'I' ? "idle" : "in transaction";
}

static void add_session(jh_rows_t *rows, const _jh_caller_t *caller)
{
	char *session = format_u64(caller->handle);
	char transaction[2] = { caller->transaction, '\0' };

	jh_rows_add(rows, session, caller->team ? caller->team : "-",
		    caller->route ? caller->route : "-", caller_state_name(caller), transaction,
		    caller->pin.database ? caller->pin.database : "-");
	g_free(session);
}

static jh_rows_t *show_sessions(_jh_entry_t *entry)
{
	jh_rows_t *rows = jh_rows_new((const char *const[]){ "session", "team", "route", "state",
							     "transaction", "database", NULL });
	unsigned cursor = 0;
	const _jh_caller_t *caller;

	while ((caller = jh_table_next(entry->callers, &cursor)) != NULL)
		add_session(rows, caller);
	return rows;
}

/* ---- Configuration ---- */

static jh_rows_t *show_teams(_jh_entry_t *entry)
{
	jh_rows_t *rows = jh_rows_new(
		(const char *const[]){ "team", "rate", "burst", "weight", "keys", NULL });
	unsigned i;

	for (i = 0; entry->config && i < entry->config->teams->len; i++) {
		const jh_team_t *team = g_ptr_array_index(entry->config->teams, i);
		char numbers[3][G_ASCII_DTOSTR_BUF_SIZE];
		char *keys = format_u64(team->key_digests->len);

		jh_rows_add(rows, team->name,
			    g_ascii_dtostr(numbers[0], sizeof(numbers[0]), team->rate),
			    g_ascii_dtostr(numbers[1], sizeof(numbers[1]), team->burst),
			    g_ascii_dtostr(numbers[2], sizeof(numbers[2]), team->weight), keys);
		g_free(keys);
	}
	return rows;
}

static jh_rows_t *show_routes(_jh_entry_t *entry)
{
	jh_rows_t *rows = jh_rows_new((const char *const[]){ "route", "group", "access", "open",
							     "max_age_ms", "deadline_ms", NULL });
	unsigned i;

	for (i = 0; entry->config && i < entry->config->routes->len; i++) {
		const jh_route_t *route = g_ptr_array_index(entry->config->routes, i);
		char *age = g_strdup_printf("%" G_GINT64_FORMAT, route->max_age_ms);
		char *deadline = g_strdup_printf("%" G_GINT64_FORMAT, route->deadline_ms);

		jh_rows_add(rows, route->name, route->group,
			    route->access == JH_ACCESS_READ ? "read" : "write",
			    route->open_to_all ? "all" : "teams", age, deadline);
		g_free(age);
		g_free(deadline);
	}
	return rows;
}

static jh_rows_t *show_config(_jh_entry_t *entry)
{
	jh_rows_t *rows = jh_rows_new((const char *const[]){ "version", "change_id", NULL });
	char *version;

	if (!entry->config)
		return rows;
	version = format_u64(entry->config->version);
	jh_rows_add(rows, version, entry->config->change_id ? entry->config->change_id : "");
	g_free(version);
	return rows;
}

/* ---- Counters and events ---- */

static void add_counter(const jh_counter_t *counter, void *data)
{
	char *value = g_strdup_printf("%" G_GINT64_FORMAT, counter->value);

	jh_rows_add(data, counter->name, value, counter->doc);
	g_free(value);
}

static jh_rows_t *show_counters(_jh_entry_t *entry)
{
	jh_rows_t *rows = jh_rows_new((const char *const[]){ "counter", "value", "doc", NULL });

	(void)entry;
	jh_counter_foreach(add_counter, rows);
	return rows;
}

static void add_row(const char *line, void *data)
{
	jh_rows_add(data, line);
}

static void add_formatted_row(jh_rows_t *rows, const char *format, ...) G_GNUC_PRINTF(2, 3);

static void add_formatted_row(jh_rows_t *rows, const char *format, ...)
{
	va_list args;
	char *line;

	va_start(args, format);
	line = g_strdup_vprintf(format, args);
	va_end(args);
	add_row(line, rows);
	g_free(line);
}

/* By the naming rule of jh_counter.h, only counters that never decrease end in _total. */
static void add_metric(const jh_counter_t *counter, void *data)
{
	bool is_counter = g_str_has_suffix(counter->name, "_total");

	add_formatted_row(data, "# HELP %s %s", counter->name, counter->doc);
	add_formatted_row(data, "# TYPE %s %s", counter->name, is_counter ? "counter" : "gauge");
	add_formatted_row(data, "%s %" G_GINT64_FORMAT, counter->name, counter->value);
}

static jh_rows_t *show_metrics(_jh_entry_t *entry)
{
	jh_rows_t *rows = jh_rows_new((const char *const[]){ "metrics", NULL });

	(void)entry;
	jh_counter_foreach(add_metric, rows);
	return rows;
}

static jh_rows_t *show_timeline(_jh_entry_t *entry)
{
	jh_rows_t *rows = jh_rows_new((const char *const[]){ "event", NULL });
	uint64_t lost = jh_log_foreach(add_row, rows);

	(void)entry;
	if (lost > 0)
		add_formatted_row(rows, "events_lost=%" G_GUINT64_FORMAT, lost);
	return rows;
}

/* ---- Topics ---- */

typedef struct topic {
	const char *name;
	jh_rows_t *(*show)(_jh_entry_t *entry);
} topic_t;

static const topic_t topics[] = {
	{ .name = "sessions", .show = show_sessions }, { .name = "teams", .show = show_teams },
	{ .name = "routes", .show = show_routes },     { .name = "config", .show = show_config },
	{ .name = "counters", .show = show_counters }, { .name = "metrics", .show = show_metrics },
	{ .name = "timeline", .show = show_timeline },
};

jh_rows_t *_jh_show_topic(_jh_entry_t *entry, const char *topic)
{
	return jh_kernel_show(jh_task_kernel(entry->task), topic);
}

jh_rows_t *_jh_entry_show(_jh_entry_t *entry, const char *topic)
{
	unsigned i;

	for (i = 0; i < G_N_ELEMENTS(topics); i++) {
		if (g_str_equal(topics[i].name, topic))
			return topics[i].show(entry);
	}
	return NULL;
}
