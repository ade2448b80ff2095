/* jasminehill report: which team received which answers, from which database, when. */

#include "command.h"
#include "jh_fields.h"

#include "jh_record.h"

#include <jansson.h>
#include <stdio.h>
#include <string.h>

#define READ_TRIES 5
#define RETRY_INTERVAL_US (300 * 1000)

/* Parts of an object's name: records/VM/BOOT/NUMBER */
#define NAME_VM 1
#define NAME_BOOT 2
#define NAME_PARTS 4

/* One answer's line, by its VM, boot and number; a line that is there twice counts once. */
typedef struct answer {
	uint64_t hlc;
	char *line;
	bool is_amendment;
	bool withheld;
} answer_t;

/* Lines of one life of a VM, by number. */
typedef struct life {
	char *vm;
	char *boot;
	GTree *answers;
} life_t;

typedef struct report {
	client_t *client;
	GHashTable *lives;
	unsigned objects;
	GPtrArray *unread;
	unsigned malformed;
} report_t;

/* ---- lines ---- */

static void answer_free(gpointer data)
{
	answer_t *answer = data;

	g_free(answer->line);
	g_free(answer);
}

static void life_free(gpointer data)
{
	life_t *life = data;

	g_free(life->vm);
	g_free(life->boot);
	g_tree_destroy(life->answers);
	g_free(life);
}

static gint number_compare(gconstpointer a, gconstpointer b, gpointer data)
{
	uint64_t left = *(const uint64_t *)a;
	uint64_t right = *(const uint64_t *)b;

	(void)data;
	return (left > right) - (left < right);
}

static life_t *report_life(report_t *report, const char *vm, const char *boot)
{
	char *key = g_strconcat(vm, "/", boot, NULL);
	life_t *life = g_hash_table_lookup(report->lives, key);

	if (life) {
		g_free(key);
		return life;
	}
	life = g_new0(life_t, 1);
	life->vm = g_strdup(vm);
	life->boot = g_strdup(boot);
	life->answers = g_tree_new_full(number_compare, NULL, g_free, answer_free);
	g_hash_table_insert(report->lives, key, life);
	return life;
}

static void life_add_line(report_t *report, const life_t *life, const char *line)
{
	char *number = jh_fields_get(line, "sequence");
	char *amends = jh_fields_get(line, "amends");
	uint64_t sequence = number ? g_ascii_strtoull(number, NULL, 10) : 0;

	if (sequence == 0) {
		report->malformed++;
	} else {
		answer_t *answer = g_new0(answer_t, 1);

		answer->line = g_strdup(line);
		answer->hlc = jh_fields_get_hlc(line);
		answer->is_amendment = amends != NULL;
		g_tree_replace(life->answers, g_memdup2(&sequence, sizeof(sequence)), answer);
	}
	g_free(number);
	g_free(amends);
}

static gboolean answer_amend(gpointer key, gpointer value, gpointer data)
{
	const answer_t *amendment = value;
	const life_t *life = data;
	char *amends;
	uint64_t sequence;
	answer_t *answer;

	(void)key;
	if (!amendment->is_amendment)
		return FALSE;
	amends = jh_fields_get(amendment->line, "amends");
	sequence = g_ascii_strtoull(amends, NULL, 10);
	answer = g_tree_lookup(life->answers, &sequence);
	if (answer)
		answer->withheld = true;
	g_free(amends);
	return FALSE;
}

/* ---- objects ---- */

static const jh_platform_reply_t *call_again(report_t *report, jh_platform_call_t call,
					     const char *name)
{
	const jh_platform_reply_t *reply = NULL;
	int i;

	for (i = 0; i < READ_TRIES; i++) {
		if (i > 0)
			g_usleep(RETRY_INTERVAL_US);
		reply = client_call(report->client, call, NULL, name, 0, NULL);
		if (reply->status == JH_PLATFORM_OK && reply->body)
			return reply;
	}
	return NULL;
}

static void object_take(report_t *report, const char *name, GBytes *body)
{
	char **parts = g_strsplit(name, "/", NAME_PARTS);
	gsize length = 0;
	const char *data = g_bytes_get_data(body, &length);
	char *text = g_strndup(data, length);
	char **lines = g_strsplit(text, "\n", -1);
	unsigned i;

	if (g_strv_length(parts) == NAME_PARTS) {
		const life_t *life = report_life(report, parts[NAME_VM], parts[NAME_BOOT]);

		for (i = 0; lines[i] && *lines[i]; i++)
			life_add_line(report, life, lines[i]);
	} else {
		report->malformed++;
	}
	g_strfreev(lines);
	g_free(text);
	g_strfreev(parts);
}

static void object_read(report_t *report, const char *name)
{
	const jh_platform_reply_t *reply = call_again(report, JH_PLATFORM_GET_OBJECT, name);

	report->objects++;
	if (reply)
		object_take(report, name, reply->body);
	else
		g_ptr_array_add(report->unread, g_strdup(name));
}

static int report_read(report_t *report, jh_error_t *err)
{
	const jh_platform_reply_t *reply =
		call_again(report, JH_PLATFORM_LIST_OBJECTS, JH_RECORD_PREFIX);
	gsize length = 0;
	const char *text = reply ? g_bytes_get_data(reply->body, &length) : NULL;
	json_t *names = text ? json_loadb(text, length, 0, NULL) : NULL;
	GHashTableIter iter;
	gpointer life;
	json_t *name;
	size_t i;

	if (!json_is_array(names)) {
		json_decref(names);
		return jh_error_set(err, JH_ERR_UNAVAILABLE,
				    "the platform's list of objects can't be read");
	}
	json_array_foreach(names, i, name)
	{
		object_read(report, json_string_value(name));
	}
	json_decref(names);
	g_hash_table_iter_init(&iter, report->lives);
	while (g_hash_table_iter_next(&iter, NULL, &life))
		g_tree_foreach(((life_t *)life)->answers, answer_amend, life);
	return 0;
}

/* ---- printing ---- */

typedef struct filter {
	const char *team;
	const char *route;
	uint64_t from;
	uint64_t to;
} filter_t;

typedef struct selection {
	const filter_t *filter;
	GPtrArray *answers;
} selection_t;

static gboolean answer_select(gpointer key, gpointer value, gpointer data)
{
	const answer_t *answer = value;
	selection_t *selection = data;
	const filter_t *filter = selection->filter;

	(void)key;
	if (!answer->is_amendment && answer->hlc >= filter->from && answer->hlc < filter->to &&
	    jh_fields_match(answer->line, "team", filter->team) &&
	    jh_fields_match(answer->line, "route", filter->route))
		g_ptr_array_add(selection->answers, value);
	return FALSE;
}

static gint answer_compare(gconstpointer a, gconstpointer b)
{
	const answer_t *left = *(const answer_t *const *)a;
	const answer_t *right = *(const answer_t *const *)b;

	return (left->hlc > right->hlc) - (left->hlc < right->hlc);
}

static void row_add_cell(GPtrArray *row, const char *line, const char *key)
{
	char *value = jh_fields_get(line, key);

	g_ptr_array_add(row, value ? value : g_strdup(""));
}

static void rows_add_answer(jh_rows_t *rows, const answer_t *answer)
{
	GPtrArray *row = g_ptr_array_new_with_free_func(g_free);
	unsigned i;

	g_ptr_array_add(row, jh_fields_format_time(answer->hlc));
	for (i = 1; i < rows->columns->len; i++) {
		const char *column = g_ptr_array_index(rows->columns, i);

		if (answer->withheld && g_str_equal(column, "outcome"))
			g_ptr_array_add(row, g_strdup("withheld"));
		else
			row_add_cell(row, answer->line, column);
	}
	g_ptr_array_add(rows->rows, row);
}

static jh_rows_t *report_rows(const report_t *report, const filter_t *filter)
{
	static const char *const columns[] = { "time", "team",	 "route", "database", "outcome",
					       "rows", "digest", "vm",	  "session",  "request",
					       "term", "index",	 NULL };
	selection_t selection = { .filter = filter, .answers = g_ptr_array_new() };
	jh_rows_t *rows = jh_rows_new(columns);
	GHashTableIter iter;
	gpointer life;
	unsigned i;

	g_hash_table_iter_init(&iter, report->lives);
	while (g_hash_table_iter_next(&iter, NULL, &life))
		g_tree_foreach(((life_t *)life)->answers, answer_select, &selection);
	g_ptr_array_sort(selection.answers, answer_compare);
	for (i = 0; i < selection.answers->len; i++)
		rows_add_answer(rows, g_ptr_array_index(selection.answers, i));
	g_ptr_array_free(selection.answers, TRUE);
	return rows;
}

typedef struct gap_visit {
	const life_t *life;
	uint64_t last;
	unsigned gaps;
} gap_visit_t;

static gboolean gap_check(gpointer key, gpointer value, gpointer data)
{
	uint64_t sequence = *(const uint64_t *)key;
	gap_visit_t *visit = data;

	(void)value;
	if (sequence != visit->last + 1) {
		fprintf(stderr,
			"missing: vm=%s boot=%s numbers %" G_GUINT64_FORMAT " to %" G_GUINT64_FORMAT
			" (never released, or still in memory)\n",
			visit->life->vm, visit->life->boot, visit->last + 1, sequence - 1);
		visit->gaps++;
	}
	visit->last = sequence;
	return FALSE;
}

/* Say on standard error what the table leaves out. Return: false if an object was not read */
static bool report_print_gaps(const report_t *report, unsigned shown)
{
	GHashTableIter iter;
	gpointer life;
	unsigned gaps = 0;
	unsigned i;

	/* Both streams may go to one pipe: whole lines of the table stand before these. */
	fflush(stdout);
	g_hash_table_iter_init(&iter, report->lives);
	while (g_hash_table_iter_next(&iter, NULL, &life)) {
		gap_visit_t visit = { .life = life };

		g_tree_foreach(visit.life->answers, gap_check, &visit);
		gaps += visit.gaps;
	}
	for (i = 0; i < report->unread->len; i++)
		fprintf(stderr, "not read: %s\n", (char *)g_ptr_array_index(report->unread, i));
	fprintf(stderr,
		"answers=%u objects=%u not_read=%u malformed=%u gaps=%u; the newest answers follow "
		"once their VM has stored them\n",
		shown, report->objects, report->unread->len, report->malformed, gaps);
	return report->unread->len == 0 && report->malformed == 0;
}

/* ---- the command ---- */

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
		fputs("jasminehill report: --from: must be a time like 2026-12-03T04:30:00\n",
		      stderr);
		return -1;
	}
	if (flags->to && jh_fields_parse_time(flags->to, &filter->to) < 0) {
		fputs("jasminehill report: --to: must be a time like 2026-12-03T04:30:00\n",
		      stderr);
		return -1;
	}
	return 0;
}

static exit_status_t report_print(const char *url, const filter_t *filter, bool as_csv)
{
	jh_error_t err = JH_ERROR_INIT;
	report_t report = {
		.client = client_new(url, &err),
		.lives = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, life_free),
		.unread = g_ptr_array_new_with_free_func(g_free),
	};
	exit_status_t status = STATUS_FAILED;

	if (report.client && report_read(&report, &err) == 0) {
		jh_rows_t *rows = report_rows(&report, filter);

		rows_print(rows, as_csv);
		if (report_print_gaps(&report, rows->rows->len))
			status = STATUS_OK;
		jh_rows_free(rows);
	} else {
		error_print(&err);
	}
	client_free(report.client);
	g_hash_table_destroy(report.lives);
	g_ptr_array_free(report.unread, TRUE);
	jh_error_clear(&err);
	return status;
}

static exit_status_t report_run(int argc, const char **argv)
{
	report_flags_t flags = { 0 };
	struct poptOption options[] = {
		{ "platform", 0, POPT_ARG_STRING, &flags.platform, 0, "the platform", "URL" },
		{ "team", 0, POPT_ARG_STRING, &flags.team, 0, "answers to this team", "TEAM" },
		{ "route", 0, POPT_ARG_STRING, &flags.route, 0, "answers of this route", "ROUTE" },
		{ "from", 0, POPT_ARG_STRING, &flags.from, 0, "not before (ISO 8601, UTC)",
		  "TIME" },
		{ "to", 0, POPT_ARG_STRING, &flags.to, 0, "before", "TIME" },
		{ "csv", 0, POPT_ARG_NONE, &flags.as_csv, 0, "print comma-separated values", NULL },
		POPT_AUTOHELP POPT_TABLEEND
	};
	exit_status_t status = STATUS_USAGE;
	filter_t filter = { 0 };
	char **none = NULL;
	const char *url;

	if (arguments_parse(&report_command, argc, argv, options, 0, 0, &none) < 0)
		goto done;
	url = setting_text(flags.platform, "JASMINEHILL_PLATFORM");
	if (!url)
		fputs("jasminehill report: --platform is needed (or JASMINEHILL_PLATFORM)\n",
		      stderr);
	else if (filter_set(&filter, &flags) == 0)
		status = report_print(url, &filter, flags.as_csv);
done:
	free(flags.platform);
	free(flags.team);
	free(flags.route);
	free(flags.from);
	free(flags.to);
	g_strfreev(none);
	return status;
}

const command_t report_command = {
	.name = "report",
	.arguments = "",
	.doc = "which team received which answers, from which database, when",
	.run = report_run,
};
