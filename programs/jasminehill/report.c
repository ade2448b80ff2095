/*
 * jasminehill report: reads the audit record from the platform's object store and lists the
 * responses that each team received, with the database and the time of each.
 */

#include "command.h"
#include "jh_fields.h"

#include "jh_record.h"

#include <jansson.h>
#include <stdio.h>
#include <string.h>

#define MAX_READ_ATTEMPTS 5
#define RETRY_INTERVAL_US (300 * 1000)

/* Parts of an object's name, separated by slashes: records/VM/BOOT-ID/NUMBER */
#define NAME_PART_VM 1
#define NAME_PART_BOOT 2
#define NAME_PART_COUNT 4

/*
 * A line of the audit record. It describes one response, or it is an amendment, which says that the
 * response of an earlier line was not released to the caller.
 */
typedef struct record_line {
	uint64_t hlc;
	char *text;
	bool is_amendment;
	/* An amendment says that this response was not released. */
	bool is_withheld;
} record_line_t;

/*
 * The record lines of one instance of a VM, by their sequence numbers, which start at 1. A line
 * that several objects contain is kept once.
 */
typedef struct vm_instance {
	char *vm;
	char *boot_id;
	GTree *record_lines;
} vm_instance_t;

typedef struct report {
	platform_client_t *client;
	/* vm_instance_t by "VM/BOOT-ID" */
	GHashTable *instances;
	unsigned object_count;
	/* Names of the objects that the platform did not return */
	GPtrArray *unread_objects;
	/* Lines without a sequence number, and objects whose name has too few parts */
	unsigned malformed_count;
} report_t;

static void record_line_free(gpointer data)
{
	record_line_t *record_line = data;

	g_free(record_line->text);
	g_free(record_line);
}

static void instance_free(gpointer data)
{
	vm_instance_t *instance = data;

	g_free(instance->vm);
	g_free(instance->boot_id);
	g_tree_destroy(instance->record_lines);
	g_free(instance);
}

static gint sequence_compare(gconstpointer a, gconstpointer b, gpointer data)
{
	uint64_t left = *(const uint64_t *)a;
	uint64_t right = *(const uint64_t *)b;

	(void)data;
	return (left > right) - (left < right);
}

static vm_instance_t *report_get_instance(report_t *report, const char *vm, const char *boot_id)
{
	char *key = g_strconcat(vm, "/", boot_id, NULL);
	vm_instance_t *instance = g_hash_table_lookup(report->instances, key);

	if (instance) {
		g_free(key);
		return instance;
	}
	instance = g_new0(vm_instance_t, 1);
	instance->vm = g_strdup(vm);
	instance->boot_id = g_strdup(boot_id);
	instance->record_lines = g_tree_new_full(sequence_compare, NULL, g_free, record_line_free);
	g_hash_table_insert(report->instances, key, instance);
	return instance;
}

static void instance_add_line(report_t *report, const vm_instance_t *instance, const char *text)
{
	char *sequence_text = jh_fields_get(text, "sequence");
	char *amends = jh_fields_get(text, "amends");
	uint64_t sequence = sequence_text ? g_ascii_strtoull(sequence_text, NULL, 10) : 0;

	if (sequence == 0) {
		report->malformed_count++;
	} else {
		record_line_t *record_line = g_new0(record_line_t, 1);

		record_line->text = g_strdup(text);
		record_line->hlc = jh_fields_get_hlc(text);
		record_line->is_amendment = amends != NULL;
		g_tree_replace(instance->record_lines, g_memdup2(&sequence, sizeof(sequence)),
			       record_line);
	}
	g_free(sequence_text);
	g_free(amends);
}

/* Marks the response that an amendment withholds. Return: FALSE, to continue the traversal */
static gboolean amendment_apply(gpointer key, gpointer value, gpointer data)
{
	const record_line_t *amendment = value;
	const vm_instance_t *instance = data;
	char *amends;
	uint64_t sequence;
	record_line_t *record_line;

	(void)key;
	if (!amendment->is_amendment)
		return FALSE;
	amends = jh_fields_get(amendment->text, "amends");
	sequence = g_ascii_strtoull(amends, NULL, 10);
	record_line = g_tree_lookup(instance->record_lines, &sequence);
	if (record_line)
		record_line->is_withheld = true;
	g_free(amends);
	return FALSE;
}

/* Return: a reply with a body, borrowed until the next call; NULL if all attempts failed */
static const jh_platform_reply_t *
platform_call_with_retries(report_t *report, jh_platform_call_t call, const char *name)
{
	const jh_platform_reply_t *reply = NULL;
	int i;

	for (i = 0; i < MAX_READ_ATTEMPTS; i++) {
		if (i > 0)
			g_usleep(RETRY_INTERVAL_US);
		reply = platform_client_call(report->client, call, NULL, name, 0, NULL);
		if (reply->status == JH_PLATFORM_OK && reply->body)
			return reply;
	}
	return NULL;
}

static void report_add_object(report_t *report, const char *name, GBytes *body)
{
	char **parts = g_strsplit(name, "/", NAME_PART_COUNT);
	gsize length = 0;
	const char *data = g_bytes_get_data(body, &length);
	char *text = g_strndup(data, length);
	char **lines = g_strsplit(text, "\n", -1);
	unsigned i;

	if (g_strv_length(parts) == NAME_PART_COUNT) {
		const vm_instance_t *instance =
			report_get_instance(report, parts[NAME_PART_VM], parts[NAME_PART_BOOT]);

		for (i = 0; lines[i] && *lines[i]; i++)
			instance_add_line(report, instance, lines[i]);
	} else {
		report->malformed_count++;
	}
	g_strfreev(lines);
	g_free(text);
	g_strfreev(parts);
}

static void report_read_object(report_t *report, const char *name)
{
	const jh_platform_reply_t *reply =
		platform_call_with_retries(report, JH_PLATFORM_GET_OBJECT, name);

	report->object_count++;
	if (reply)
		report_add_object(report, name, reply->body);
	else
		g_ptr_array_add(report->unread_objects, g_strdup(name));
}

/* Reads all record objects, then applies the amendments. Fails only if the list can't be read. */
static int report_read_objects(report_t *report, jh_error_t *err)
{
	const jh_platform_reply_t *reply =
		platform_call_with_retries(report, JH_PLATFORM_LIST_OBJECTS, JH_RECORD_PREFIX);
	gsize length = 0;
	const char *text = reply ? g_bytes_get_data(reply->body, &length) : NULL;
	json_t *names = text ? json_loadb(text, length, 0, NULL) : NULL;
	GHashTableIter iter;
	gpointer instance;
	json_t *name;
	size_t i;

	if (!json_is_array(names)) {
		json_decref(names);
		return jh_error_set(err, JH_ERR_UNAVAILABLE,
				    "the platform's list of record objects can't be read");
	}
	json_array_foreach(names, i, name)
	{
		report_read_object(report, json_string_value(name));
	}
	json_decref(names);
	g_hash_table_iter_init(&iter, report->instances);
	while (g_hash_table_iter_next(&iter, NULL, &instance))
		g_tree_foreach(((vm_instance_t *)instance)->record_lines, amendment_apply,
			       instance);
	return 0;
}

/* Which responses to list: @from and @to are HLC timestamps, @from inclusive, @to exclusive. */
typedef struct filter {
	const char *team;
	const char *route;
	uint64_t from;
	uint64_t to;
} filter_t;

typedef struct selection {
	const filter_t *filter;
	GPtrArray *record_lines;
} selection_t;

static gboolean record_line_select(gpointer key, gpointer value, gpointer data)
{
	const record_line_t *record_line = value;
	selection_t *selection = data;
	const filter_t *filter = selection->filter;

	(void)key;
	if (!record_line->is_amendment && record_line->hlc >= filter->from &&
	    record_line->hlc < filter->to &&
	    jh_fields_match(record_line->text, "team", filter->team) &&
	    jh_fields_match(record_line->text, "route", filter->route))
		g_ptr_array_add(selection->record_lines, value);
	return FALSE;
}

static gint record_line_compare(gconstpointer a, gconstpointer b)
{
	const record_line_t *left = *(const record_line_t *const *)a;
	const record_line_t *right = *(const record_line_t *const *)b;

	return (left->hlc > right->hlc) - (left->hlc < right->hlc);
}

static void row_add_cell(GPtrArray *row, const char *text, const char *key)
{
	char *value = jh_fields_get(text, key);

	g_ptr_array_add(row, value ? value : g_strdup(""));
}

static void rows_add_response(jh_rows_t *rows, const record_line_t *record_line)
{
	GPtrArray *row = g_ptr_array_new_with_free_func(g_free);
	unsigned i;

	g_ptr_array_add(row, jh_fields_format_time(record_line->hlc));
	for (i = 1; i < rows->columns->len; i++) {
		const char *column = g_ptr_array_index(rows->columns, i);

		if (record_line->is_withheld && g_str_equal(column, "outcome"))
			g_ptr_array_add(row, g_strdup("withheld"));
		else
			row_add_cell(row, record_line->text, column);
	}
	g_ptr_array_add(rows->rows, row);
}

/* Return: new rows of the responses that match the filter, in the order of their HLC timestamps */
static jh_rows_t *report_select_rows(const report_t *report, const filter_t *filter)
{
	static const char *const columns[] = { "time", "team",	 "route", "database", "outcome",
					       "rows", "digest", "vm",	  "session",  "request",
					       "term", "index",	 NULL };
	selection_t selection = { .filter = filter, .record_lines = g_ptr_array_new() };
	jh_rows_t *rows = jh_rows_new(columns);
	GHashTableIter iter;
	gpointer instance;
	unsigned i;

	g_hash_table_iter_init(&iter, report->instances);
	while (g_hash_table_iter_next(&iter, NULL, &instance))
		g_tree_foreach(((vm_instance_t *)instance)->record_lines, record_line_select,
			       &selection);
	g_ptr_array_sort(selection.record_lines, record_line_compare);
	for (i = 0; i < selection.record_lines->len; i++)
		rows_add_response(rows, g_ptr_array_index(selection.record_lines, i));
	g_ptr_array_free(selection.record_lines, TRUE);
	return rows;
}

typedef struct gap_search {
	const vm_instance_t *instance;
	uint64_t last_sequence;
	unsigned gap_count;
} gap_search_t;

/* Prints the gap in the sequence numbers before this line, if there is one. */
static gboolean gap_print(gpointer key, gpointer value, gpointer data)
{
	uint64_t sequence = *(const uint64_t *)key;
	gap_search_t *search = data;

	(void)value;
	if (sequence != search->last_sequence + 1) {
		fprintf(stderr,
			"missing: vm=%s boot=%s sequence numbers %" G_GUINT64_FORMAT
			" to %" G_GUINT64_FORMAT " (never released, or not stored yet)\n",
			search->instance->vm, search->instance->boot_id, search->last_sequence + 1,
			sequence - 1);
		search->gap_count++;
	}
	search->last_sequence = sequence;
	return FALSE;
}

/*
 * Prints on standard error what the list of responses omits. Return: false if an object was not
 * read or if there were malformed lines or object names; gaps alone are no failure
 */
static bool report_print_omissions(const report_t *report, unsigned response_count)
{
	GHashTableIter iter;
	gpointer instance;
	unsigned gap_count = 0;
	unsigned i;

	/* Both streams may share a pipe; the flush keeps the list in front of these lines. */
	fflush(stdout);
	g_hash_table_iter_init(&iter, report->instances);
	while (g_hash_table_iter_next(&iter, NULL, &instance)) {
		gap_search_t search = { .instance = instance };

		g_tree_foreach(search.instance->record_lines, gap_print, &search);
		gap_count += search.gap_count;
	}
	for (i = 0; i < report->unread_objects->len; i++)
		fprintf(stderr, "not read: %s\n",
			(char *)g_ptr_array_index(report->unread_objects, i));
	fprintf(stderr,
		"answers=%u objects=%u not_read=%u malformed=%u gaps=%u; the newest responses appear "
		"once their VM has stored them\n",
		response_count, report->object_count, report->unread_objects->len,
		report->malformed_count, gap_count);
	return report->unread_objects->len == 0 && report->malformed_count == 0;
}

typedef struct report_flags {
	char *platform;
	char *team;
	char *route;
	char *from;
	char *to;
	int as_csv;
} report_flags_t;

static int filter_set(filter_t *filter, const report_flags_t *flags)
{
	filter->team = flags->team;
	filter->route = flags->route;
	filter->to = UINT64_MAX;
	if (flags->from && jh_fields_parse_time(flags->from, &filter->from) < 0) {
		fputs("jasminehill report: --from must be a time in ISO 8601, such as 2026-12-03T04:30:00\n",
		      stderr);
		return -1;
	}
	if (flags->to && jh_fields_parse_time(flags->to, &filter->to) < 0) {
		fputs("jasminehill report: --to must be a time in ISO 8601, such as 2026-12-03T04:30:00\n",
		      stderr);
		return -1;
	}
	return 0;
}

static exit_status_t report_print(const char *url, const filter_t *filter, bool as_csv)
{
	jh_error_t err = JH_ERROR_INIT;
	report_t report = {
		.client = platform_client_new(url, &err),
		.instances = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, instance_free),
		.unread_objects = g_ptr_array_new_with_free_func(g_free),
	};
	exit_status_t status = STATUS_FAILED;

	if (report.client && report_read_objects(&report, &err) == 0) {
		jh_rows_t *rows = report_select_rows(&report, filter);

		rows_print(rows, as_csv);
		if (report_print_omissions(&report, rows->rows->len))
			status = STATUS_OK;
		jh_rows_free(rows);
	} else {
		error_print(&err);
	}
	platform_client_free(report.client);
	g_hash_table_destroy(report.instances);
	g_ptr_array_free(report.unread_objects, TRUE);
	jh_error_clear(&err);
	return status;
}

static exit_status_t report_run(int argc, const char **argv)
{
	report_flags_t flags = { 0 };
	struct poptOption options[] = {
		{ "platform", 0, POPT_ARG_STRING, &flags.platform, 0, "URL of the platform",
		  "URL" },
		{ "team", 0, POPT_ARG_STRING, &flags.team, 0, "only responses to this team",
		  "TEAM" },
		{ "route", 0, POPT_ARG_STRING, &flags.route, 0, "only responses on this route",
		  "ROUTE" },
		{ "from", 0, POPT_ARG_STRING, &flags.from, 0,
		  "only responses at this time (ISO 8601, UTC) or later", "TIME" },
		{ "to", 0, POPT_ARG_STRING, &flags.to, 0, "only responses before this time",
		  "TIME" },
		{ "csv", 0, POPT_ARG_NONE, &flags.as_csv, 0, "print comma-separated values", NULL },
		POPT_AUTOHELP POPT_TABLEEND
	};
	exit_status_t status = STATUS_USAGE;
	filter_t filter = { 0 };
	char **no_arguments = NULL;
	const char *url;

	if (arguments_parse(&report_command, argc, argv, options, 0, 0, &no_arguments) < 0)
		goto done;
	url = setting_get(flags.platform, "JASMINEHILL_PLATFORM");
	if (!url)
		fputs("jasminehill report: --platform or JASMINEHILL_PLATFORM is required\n",
		      stderr);
	else if (filter_set(&filter, &flags) == 0)
		status = report_print(url, &filter, flags.as_csv);
done:
	free(flags.platform);
	free(flags.team);
	free(flags.route);
	free(flags.from);
	free(flags.to);
	g_strfreev(no_arguments);
	return status;
}

const subcommand_t report_command = {
	.name = "report",
	.arguments = "",
	.doc = "list the responses that each team received, with database and time",
	.run = report_run,
};
