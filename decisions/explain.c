#include "jh_explain.h"

#include "jh_fields.h"

#include <string.h>

/* Lines lost this long before or after a decision may have belonged to it. */
#define LOSS_NEAR_MS 2000

/**
 * struct belief - what a decision may rest on
 * @name: for the reader
 * @events: events that set it, newest counts
 * @key: a field that the event must share with the decision, NULL if none
 * @anywhere: other machines' events count as well
 */
typedef struct belief {
	const char *name;
	const char *events[4];
	const char *key;
	bool anywhere;
} belief_t;

static const belief_t beliefs[] = {
	{ .name = "configuration", .events = { "config_in_force" } },
	{ .name = "primary",
	  .events = { "primary", "primary_changing", "primary_silent" },
	  .key = "group" },
	{ .name = "change of primary",
	  .events = { "phase", "change_begins", "fenced" },
	  .key = "group",
	  .anywhere = true },
	{ .name = "member", .events = { "member", "member_gone" }, .key = "member" },
	{ .name = "connection", .events = { "connection_lost" }, .key = "member" },
	{ .name = "authority", .events = { "authority_gained", "cut_off", "back_in_touch" } },
	{ .name = "store", .events = { "reachable", "unreachable" } },
	{ .name = "share of the rates", .events = { "slots_changed" } },
	{ .name = "process", .events = { "started", "draining" } },
};

/* Fields that say where and when a line was written; they are told apart from the rest. */
static const char *const head_keys[] = { "hlc", "vm", "level", "module", "event" };

/* The event's own fields: what stands after the head. */
static const char *line_fields(const char *line)
{
	unsigned i;

	for (i = 0; i < G_N_ELEMENTS(head_keys); i++) {
		const char *end = strchr(line, ' ');

		if (!g_str_has_prefix(line, head_keys[i]) || !end)
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

/* ---- order ---- */

static gint compare_lines(gconstpointer a, gconstpointer b)
{
	const char *left = *(char *const *)a;
	const char *right = *(char *const *)b;
	uint64_t left_hlc = jh_fields_hlc(left);
	uint64_t right_hlc = jh_fields_hlc(right);

	if (left_hlc != right_hlc)
		return left_hlc < right_hlc ? -1 : 1;
	return strcmp(left, right);
}

void jh_explain_sort(GPtrArray *lines)
{
	unsigned kept = 0;
	unsigned i;

	for (i = lines->len; i-- > 0;) {
		const char *line = g_ptr_array_index(lines, i);

		if (strlen(line) > JH_EXPLAIN_LINE_MAX || jh_fields_hlc(line) == 0)
			g_ptr_array_remove_index_fast(lines, i);
	}
	g_ptr_array_sort(lines, compare_lines);
	for (i = 0; i < lines->len; i++) {
		char *line = lines->pdata[i];

		if (kept > 0 && g_str_equal(lines->pdata[kept - 1], line))
			continue;
		lines->pdata[i] = lines->pdata[kept];
		lines->pdata[kept++] = line;
	}
	g_ptr_array_set_size(lines, (gint)kept);
}

/* ---- beliefs ---- */

static bool line_sets_belief(const char *line, const belief_t *belief, const char *vm,
			     const char *value)
{
	return line_has_event(line, belief->events, G_N_ELEMENTS(belief->events)) &&
	       (belief->anywhere || jh_fields_match(line, "vm", vm)) &&
	       (!belief->key || jh_fields_match(line, belief->key, value));
}

/* The newest line before @at that sets the belief. Return: NULL if there is none */
static const char *belief_find(const GPtrArray *lines, unsigned at, const belief_t *belief,
			       const char *vm, const char *value)
{
	while (at-- > 0) {
		const char *line = g_ptr_array_index(lines, at);

		if (line_sets_belief(line, belief, vm, value))
			return line;
	}
	return NULL;
}

static void belief_print(GString *out, const GPtrArray *lines, unsigned at, const belief_t *belief,
			 const char *vm)
{
	const char *decision = g_ptr_array_index(lines, at);
	char *value = belief->key ? jh_fields_get(decision, belief->key) : NULL;
	const char *line = NULL;
	char *event;
	char *writer;

	/* A decision that names no member, say, has nothing to do with one. */
	if (!belief->key || (value && *value))
		line = belief_find(lines, at, belief, vm, value);
	if (line) {
		event = jh_fields_get(line, "event");
		writer = jh_fields_get(line, "vm");
		g_string_append_printf(out, "    %s, %" G_GINT64_FORMAT " ms old%s%s: %s %s\n",
				       belief->name, jh_fields_ms(decision) - jh_fields_ms(line),
				       belief->anywhere ? ", by " : "",
				       belief->anywhere ? writer : "", event, line_fields(line));
		g_free(event);
		g_free(writer);
	} else if (!belief->key) {
		g_string_append_printf(out, "    %s: no line says\n", belief->name);
	}
	g_free(value);
}

/* ---- lines that are not there ---- */

static void losses_print(GString *out, const GPtrArray *lines, unsigned at, const char *vm)
{
	static const char *const events[] = { "lines_dropped" };
	int64_t decided_ms = jh_fields_ms(g_ptr_array_index(lines, at));
	unsigned i;

	for (i = 0; i < lines->len; i++) {
		const char *line = g_ptr_array_index(lines, i);

		if (ABS(jh_fields_ms(line) - decided_ms) > LOSS_NEAR_MS ||
		    !jh_fields_match(line, "vm", vm) ||
		    !line_has_event(line, events, G_N_ELEMENTS(events)))
			continue;
		g_string_append_printf(out, "    lines left out by %s near then: %s\n", vm,
				       line_fields(line));
	}
}

/* ---- the request ---- */

static void decision_print(GString *out, const GPtrArray *lines, unsigned at, int64_t first_ms)
{
	const char *line = g_ptr_array_index(lines, at);
	char *vm = jh_fields_get(line, "vm");
	char *event = jh_fields_get(line, "event");
	char *time = jh_fields_time(jh_fields_hlc(line));
	unsigned i;

	g_string_append_printf(out, "%s +%" G_GINT64_FORMAT " ms %s %s %s\n", time,
			       jh_fields_ms(line) - first_ms, vm ? vm : "-", event ? event : "-",
			       line_fields(line));
	for (i = 0; vm && i < G_N_ELEMENTS(beliefs); i++)
		belief_print(out, lines, at, &beliefs[i], vm);
	if (vm)
		losses_print(out, lines, at, vm);
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
			first_ms = jh_fields_ms(line);
		decision_print(out, lines, i, first_ms);
	}
	return g_string_free(out, out->len == 0);
}
