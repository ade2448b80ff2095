/*
 * jasminehill timeline: merges the log events of all VMs, read from entry VMs or from log files, in
 * the order of their HLC timestamps.
 */

#include "command.h"
#include "jh_fields.h"

#include <stdio.h>
#include <string.h>

typedef struct event {
	uint64_t hlc;
	char *line;
} event_t;

typedef struct timeline {
	GArray *events;
	/* Lines that are not empty and have no HLC timestamp */
	unsigned lines_without_hlc;
	/* Entry VMs and log files, and those that were not read */
	unsigned source_count;
	unsigned failed_sources;
} timeline_t;

static void event_clear(gpointer data)
{
	g_free(((event_t *)data)->line);
}

static void timeline_add_line(timeline_t *timeline, const char *line)
{
	event_t event = { .hlc = jh_fields_get_hlc(line) };

	if (event.hlc == 0) {
		if (*line)
			timeline->lines_without_hlc++;
		return;
	}
	event.line = g_strdup(line);
	g_array_append_val(timeline->events, event);
}

static gint event_compare(gconstpointer a, gconstpointer b)
{
	const event_t *left = a;
	const event_t *right = b;

	if (left->hlc != right->hlc)
		return left->hlc < right->hlc ? -1 : 1;
	return strcmp(left->line, right->line);
}

/*
 * Adds a line that an entry VM returned: an event, or the number of older events that its ring
 * buffer has dropped, which is printed on standard error.
 */
static void timeline_add_entry_line(timeline_t *timeline, const char *entry, const char *line)
{
	char *dropped_events = jh_fields_get(line, "events_lost");

	if (dropped_events && jh_fields_get_hlc(line) == 0)
		fprintf(stderr, "not read: entry %s: %s older events are no longer kept\n", entry,
			dropped_events);
	else
		timeline_add_line(timeline, line);
	g_free(dropped_events);
}

static void timeline_add_entry(timeline_t *timeline, const char *entry, const char *team)
{
	jh_error_t err = JH_ERROR_INIT;
	jh_rows_t *rows = entry_fetch_topic(entry, team, "timeline", &err);
	unsigned i;

	timeline->source_count++;
	for (i = 0; rows && i < rows->rows->len; i++)
		timeline_add_entry_line(timeline, entry, jh_rows_get_cell(rows, i, 0));
	if (!rows) {
		timeline->failed_sources++;
		fprintf(stderr, "not read: entry %s: %s\n", entry, err.message);
	}
	jh_rows_free(rows);
	jh_error_clear(&err);
}

static void timeline_add_file(timeline_t *timeline, const char *path)
{
	GError *error = NULL;
	char *text = NULL;
	char **lines;
	unsigned i;

	timeline->source_count++;
	if (!g_file_get_contents(path, &text, NULL, &error)) {
		timeline->failed_sources++;
		fprintf(stderr, "not read: %s\n", error->message);
		g_error_free(error);
		return;
	}
	lines = g_strsplit(text, "\n", -1);
	for (i = 0; lines[i]; i++)
		timeline_add_line(timeline, lines[i]);
	g_strfreev(lines);
	g_free(text);
}

typedef struct timeline_flags {
	char *entry;
	char *as;
	char *team;
	char *session;
	char *group;
	char *vm;
	char *request;
} timeline_flags_t;

/* An event involves the VM that logged it, the VM that it is about, and the owner VM it names. */
static bool event_involves_vm(const event_t *event, const char *vm)
{
	return jh_fields_match(event->line, "vm", vm) || jh_fields_match(event->line, "of", vm) ||
	       jh_fields_match(event->line, "owner", vm);
}

static bool event_matches(const event_t *event, const timeline_flags_t *flags)
{
	return jh_fields_match(event->line, "team", flags->team) &&
	       jh_fields_match(event->line, "session", flags->session) &&
	       jh_fields_match(event->line, "group", flags->group) &&
	       event_involves_vm(event, flags->vm) &&
	       jh_fields_match(event->line, "request", flags->request);
}

static void timeline_print(const timeline_t *timeline, const timeline_flags_t *flags)
{
	const char *previous_line = "";
	unsigned i;

	for (i = 0; i < timeline->events->len; i++) {
		const event_t *event = &g_array_index(timeline->events, event_t, i);

		/* Omits duplicates, such as an event from an entry VM and from its log file. */
		if (g_str_equal(event->line, previous_line) || !event_matches(event, flags))
			continue;
		puts(event->line);
		previous_line = event->line;
	}
}

static exit_status_t timeline_show(const timeline_flags_t *flags, char **files)
{
	const char *entry_list = setting_get(flags->entry, "JASMINEHILL_ENTRY");
	char **entries = g_strsplit(entry_list ? entry_list : "", ",", -1);
	timeline_t timeline = { .events = g_array_new(FALSE, FALSE, sizeof(event_t)) };
	exit_status_t status;
	unsigned i;

	g_array_set_clear_func(timeline.events, event_clear);
	for (i = 0; entries[i]; i++)
		timeline_add_entry(&timeline, entries[i], flags->as);
	for (i = 0; files[i]; i++)
		timeline_add_file(&timeline, files[i]);
	g_array_sort(timeline.events, event_compare);
	timeline_print(&timeline, flags);
	if (timeline.lines_without_hlc > 0)
		fprintf(stderr, "left out: %u lines without an HLC timestamp\n",
			timeline.lines_without_hlc);
	status = timeline.failed_sources == 0 ? STATUS_OK : STATUS_FAILED;
	if (timeline.source_count == 0) {
		fputs("jasminehill timeline: --entry, JASMINEHILL_ENTRY or log files are required\n",
		      stderr);
		status = STATUS_USAGE;
	}
	g_array_free(timeline.events, TRUE);
	g_strfreev(entries);
	return status;
}

static exit_status_t timeline_run(int argc, const char **argv)
{
	timeline_flags_t flags = { 0 };
	struct poptOption options[] = { { "entry", 0, POPT_ARG_STRING, &flags.entry, 0,
					  "entry VMs to read events from", "IP:PORT,..." },
					AS_OPTION(flags.as),
					{ "team", 0, POPT_ARG_STRING, &flags.team, 0,
					  "only events of this team", "TEAM" },
					{ "session", 0, POPT_ARG_STRING, &flags.session, 0,
					  "only events of this session", "NUMBER" },
					{ "group", 0, POPT_ARG_STRING, &flags.group, 0,
					  "only events of this group", "GROUP" },
					{ "vm", 0, POPT_ARG_STRING, &flags.vm, 0,
					  "only events that involve this VM", "VM" },
					{ "request", 0, POPT_ARG_STRING, &flags.request, 0,
					  "only events of this request", "NUMBER" },
					POPT_AUTOHELP POPT_TABLEEND };
	exit_status_t status = STATUS_USAGE;
	char **files = NULL;

	if (arguments_parse(&timeline_command, argc, argv, options, 0, G_MAXINT, &files) == 0)
		status = timeline_show(&flags, files);
	free(flags.entry);
	free(flags.as);
	free(flags.team);
	free(flags.session);
	free(flags.group);
	free(flags.vm);
	free(flags.request);
	g_strfreev(files);
	return status;
}

const subcommand_t timeline_command = {
	.name = "timeline",
	.arguments = "[LOG-FILE]...",
	.doc = "print the log events of all VMs in the order of their timestamps",
	.run = timeline_run,
};
