#include "jh_explain.h"

#include "jh_fields.h"

#include <string.h>

/* A log line dropped within this time of a decision may be one that the explanation lacks. */
#define DROPPED_LINES_WINDOW_MS 2000

/**
 * struct state_source - log events that report one part of the state that a decision depends on
 * @name: label of that part in the explanation
 * @events: events that report it; the newest one before the decision is shown
 * @key: a field that must have the same value in the event and in the decision, NULL for none
 * @from_any_vm: events of all VMs count, not only those of the VM that decided
 */
typedef struct state_source {
	const char *name;
	const char *events[4];
	const char *key;
	bool from_any_vm;
} state_source_t;

static const state_source_t state_sources[] = {
	{ .name = "configuration", .events = { "config_in_force" } },
	{ .name = "primary",
	  .events = { "primary", "primary_changing", "primary_silent" },
	  .key = "group" },
	{ .name = "change of primary",
	  .events = { "phase", "change_begins", "fenced" },
	  .key = "group",
	  .from_any_vm = true },
	{ .name = "queue", .events = { "queue" }, .key = "group" },
	{ .name = "member", .events = { "member", "member_gone" }, .key = "member" },
	{ .name = "connection", .events = { "connection_lost" }, .key = "member" },
	{ .name = "authority", .events = { "authority_gained", "cut_off", "back_in_touch" } },
	{ .name = "store", .events = { "reachable", "unreachable" } },
	{ .name = "share of the rates", .events = { "slots_changed" } },
	{ .name = "process", .events = { "started", "draining" } },
};

/* Fields that every log line starts with, in this order; the fields of the event follow. */
static const char *const header_keys[] = { "hlc", "vm", "level", "module", "event" };

/* Return: the fields of the event, which follow the header */
static const char *skip_header(const char *line)
{
	unsigned i;

	for (i = 0; i < G_N_ELEMENTS(header_keys); i++) {
		const char *end = strchr(line, ' ');

		if (!g_str_has_prefix(line, header_keys[i]) || !end)
			break;
		line = end + 1;
	}
	return line;
}

static bool line_has_event(const char *line, const char *const *events, gsize count)
{
	char *event = jh_fields_get(line, "event");
	bool found = false;
	gsize i;

	for (i = 0; event && i < count && events[i]; i++)
		found = found || g_str_equal(event, events[i]);
	g_free(event);
	return found;
}

/* Sorting of log lines */

static gint compare_lines(gconstpointer a, gconstpointer b)
{
	const char *left = *(char *const *)a;
	const char *right = *(char *const *)b;
	uint64_t left_hlc = jh_fields_get_hlc(left);
	uint64_t right_hlc = jh_fields_get_hlc(right);

	if (left_hlc != right_hlc)
		return left_hlc < right_hlc ? -1 : 1;
	return strcmp(left, right);
}

void jh_explain_sort(GPtrArray *lines)
{
	unsigned kept_count = 0;
	unsigned i;

	for (i = lines->len; i-- > 0;) {
		const char *line = g_ptr_array_index(lines, i);

		if (strlen(line) > JH_EXPLAIN_LINE_MAX || jh_fields_get_hlc(line) == 0)
			g_ptr_array_remove_index_fast(lines, i);
	}
	g_ptr_array_sort(lines, compare_lines);
	for (i = 0; i < lines->len; i++) {
		char *line = lines->pdata[i];

		if (kept_count > 0 && g_str_equal(lines->pdata[kept_count - 1], line))
			continue;
		lines->pdata[i] = lines->pdata[kept_count];
		lines->pdata[kept_count++] = line;
	}
	g_ptr_array_set_size(lines, (gint)kept_count);
}

/* State of the VM before the decision */

static bool line_reports_state(const char *line, const state_source_t *source, const char *vm,
			       const char *key_value)
{
	return line_has_event(line, source->events, G_N_ELEMENTS(source->events)) &&
	       (source->from_any_vm || jh_fields_match(line, "vm", vm)) &&
	       (!source->key || jh_fields_match(line, source->key, key_value));
}

/* Return: the newest line before the decision that reports this part of the state, or NULL */
static const char *find_state_line(const GPtrArray *lines, unsigned decision_index,
				   const state_source_t *source, const char *vm,
				   const char *key_value)
{
	while (decision_index-- > 0) {
		const char *line = g_ptr_array_index(lines, decision_index);

		if (line_reports_state(line, source, vm, key_value))
			return line;
	}
	return NULL;
}

static void print_state(GString *out, const GPtrArray *lines, unsigned decision_index,
			const state_source_t *source, const char *vm)
{
	const char *decision = g_ptr_array_index(lines, decision_index);
	char *key_value = source->key ? jh_fields_get(decision, source->key) : NULL;
	const char *line = NULL;
	char *event;
	char *writer_vm;

	/*
	 * A decision without the key field, such as one that names no member, does not depend on
	 * this part of the state.
	 */
	if (!source->key || (key_value && *key_value))
		line = find_state_line(lines, decision_index, source, vm, key_value);
	if (line) {
		event = jh_fields_get(line, "event");
		writer_vm = jh_fields_get(line, "vm");
		g_string_append_printf(
			out, "    %s, %" G_GINT64_FORMAT " ms old%s%s: %s %s\n", source->name,
			jh_fields_get_time_ms(decision) - jh_fields_get_time_ms(line),
			source->from_any_vm ? ", by " : "", source->from_any_vm ? writer_vm : "",
			event, skip_header(line));
		g_free(event);
		g_free(writer_vm);
	} else if (!source->key) {
		g_string_append_printf(out, "    %s: no line says\n", source->name);
	}
	g_free(key_value);
}

/* Dropped log lines */

static void print_dropped_lines(GString *out, const GPtrArray *lines, unsigned decision_index,
				const char *vm)
{
	static const char *const events[] = { "lines_dropped" };
	int64_t decision_ms = jh_fields_get_time_ms(g_ptr_array_index(lines, decision_index));
	unsigned i;

	for (i = 0; i < lines->len; i++) {
		const char *line = g_ptr_array_index(lines, i);

		if (ABS(jh_fields_get_time_ms(line) - decision_ms) > DROPPED_LINES_WINDOW_MS ||
		    !jh_fields_match(line, "vm", vm) ||
		    !line_has_event(line, events, G_N_ELEMENTS(events)))
			continue;
		g_string_append_printf(out, "    lines left out by %s near then: %s\n", vm,
				       skip_header(line));
	}
}

/* Decisions on one request */

static void print_decision(GString *out, const GPtrArray *lines, unsigned decision_index,
			   int64_t first_ms)
{
	const char *line = g_ptr_array_index(lines, decision_index);
	char *vm = jh_fields_get(line, "vm");
	char *event = jh_fields_get(line, "event");
	char *time = jh_fields_format_time(jh_fields_get_hlc(line));
	unsigned i;

	g_string_append_printf(out, "%s +%" G_GINT64_FORMAT " ms %s %s %s\n", time,
			       jh_fields_get_time_ms(line) - first_ms, vm ? vm : "-",
			       event ? event : "-", skip_header(line));
	for (i = 0; vm && i < G_N_ELEMENTS(state_sources); i++)
		print_state(out, lines, decision_index, &state_sources[i], vm);
	if (vm)
		print_dropped_lines(out, lines, decision_index, vm);
	g_free(time);
	g_free(event);
	g_free(vm);
}

char *jh_explain_request(const GPtrArray *lines, const char *request)
{
	GString *out = g_string_new(NULL);
	int64_t first_ms = 0;
	unsigned i;

	for (i = 0; i < lines->len; i++) {
		const char *line = g_ptr_array_index(lines, i);

		if (!strstr(line, request) || !jh_fields_match(line, "request", request))
			continue;
		if (out->len == 0)
			first_ms = jh_fields_get_time_ms(line);
		print_decision(out, lines, i, first_ms);
	}
	return g_string_free(out, out->len == 0);
}
