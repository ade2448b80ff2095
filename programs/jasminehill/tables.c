/* jasminehill check, apply and get: the two tables. */

#include "command.h"

#include "jh_settings.h"
#include "jh_tables.h"

#include <stdio.h>
#include <string.h>

#define DEFAULT_TIMEOUT_S 30
#define RETRY_INTERVAL_US (300 * 1000)
#define NO_BASE (-1)

/* A change on its way into the platform's row. */
typedef struct change {
	client_t *client;
	const char *id;
	gchar *routes;
	gsize routes_length;
	gchar *pools;
	gsize pools_length;
	/* Version that it replaces, and the change ids up to there. */
	uint64_t base;
	GPtrArray *ids;
	int64_t until_us;
} change_t;

static bool time_is_left(int64_t until_us)
{
	if (g_get_monotonic_time() >= until_us)
		return false;
	g_usleep(RETRY_INTERVAL_US);
	return true;
}

/* ---- files ---- */

static int file_read(const char *path, gchar **text, gsize *length, jh_error_t *err)
{
	GError *error = NULL;

	if (g_file_get_contents(path, text, length, &error))
		return 0;
	jh_error_add_finding(err, path, "%s", error->message);
	g_error_free(error);
	return -1;
}

static int file_write(const char *path, const char *text, jh_error_t *err)
{
	GError *error = NULL;

	if (g_file_set_contents(path, text, -1, &error))
		return 0;
	jh_error_add_finding(err, path, "%s", error->message);
	g_error_free(error);
	return -1;
}

/* Read and check both files. Return: 0, or -1 after the findings were printed. */
static int change_read_files(change_t *change, char **paths)
{
	jh_error_t err = JH_ERROR_INIT;
	jh_config_t *config = NULL;
	int routes = file_read(paths[0], &change->routes, &change->routes_length, &err);
	int pools = file_read(paths[1], &change->pools, &change->pools_length, &err);

	if (routes == 0 && pools == 0)
		config = jh_tables_parse(change->routes, change->routes_length, change->pools,
					 change->pools_length, &err);
	if (!config)
		error_print(&err);
	jh_error_clear(&err);
	if (!config)
		return -1;
	jh_config_unref(config);
	return 0;
}

/* ---- check ---- */

static exit_status_t check_run(int argc, const char **argv)
{
	struct poptOption options[] = { POPT_AUTOHELP POPT_TABLEEND };
	change_t change = { 0 };
	exit_status_t status = STATUS_USAGE;
	char **paths = NULL;

	if (arguments_parse(&check_command, argc, argv, options, 2, 2, &paths) < 0)
		return STATUS_USAGE;
	if (change_read_files(&change, paths) == 0) {
		puts("the tables have no findings");
		status = STATUS_OK;
	}
	g_free(change.routes);
	g_free(change.pools);
	g_strfreev(paths);
	return status;
}

const command_t check_command = {
	.name = "check",
	.arguments = "ROUTES POOLS",
	.doc = "check both tables and print every finding with its place",
	.run = check_run,
};

/* ---- the platform's row ---- */

/* Read the row, again while the platform is out of reach. Return: borrowed, NULL if it stays so. */
static const jh_platform_reply_t *row_read(client_t *client, int64_t until_us)
{
	const jh_platform_reply_t *reply;

	do {
		reply = client_call(client, JH_PLATFORM_GET_ROW, JH_CONFIG_TABLE, JH_CONFIG_ROW, 0,
				    NULL);
		if (reply->status == JH_PLATFORM_OK || reply->status == JH_PLATFORM_NOT_FOUND)
			return reply;
	} while (time_is_left(until_us));
	return NULL;
}

static GPtrArray *reply_changes(const jh_platform_reply_t *reply)
{
	gsize length = 0;
	const char *text = reply->body ? g_bytes_get_data(reply->body, &length) : "";

	return jh_tables_parse_change_ids(text, length);
}

static bool changes_contain(const GPtrArray *ids, const char *id)
{
	unsigned i;

	for (i = 0; i < ids->len; i++) {
		if (g_str_equal(g_ptr_array_index(ids, i), id))
			return true;
	}
	return false;
}

/* ---- apply ---- */

typedef enum outcome {
	OUTCOME_APPLIED,
	OUTCOME_CONFLICT,
	/* Nothing was changed. */
	OUTCOME_UNAVAILABLE,
	OUTCOME_UNKNOWN,
} outcome_t;

/* Compare-and-set once. */
static jh_platform_status_t change_put(change_t *change, uint64_t *version)
{
	jh_error_t err = JH_ERROR_INIT;
	char *text = jh_tables_format_row(change->routes, change->routes_length, change->pools,
					  change->pools_length, change->ids, &err);
	GBytes *body = g_bytes_new_take(text, strlen(text));
	const jh_platform_reply_t *reply =
		client_call(change->client, JH_PLATFORM_PUT_ROW, JH_CONFIG_TABLE, JH_CONFIG_ROW,
			    change->base, body);

	g_bytes_unref(body);
	*version = reply->version;
	return reply->status;
}

/* Read back whether the change took effect; the ids in the row tell. */
static outcome_t change_look(const change_t *change, uint64_t *version)
{
	const jh_platform_reply_t *reply = row_read(change->client, change->until_us);
	GPtrArray *ids;
	outcome_t outcome;

	if (!reply)
		return OUTCOME_UNKNOWN;
	ids = reply_changes(reply);
	*version = reply->version;
	if (changes_contain(ids, change->id))
		outcome = OUTCOME_APPLIED;
	else
		outcome = reply->version == change->base ? OUTCOME_UNAVAILABLE : OUTCOME_CONFLICT;
	g_ptr_array_free(ids, TRUE);
	return outcome;
}

/*
 * Put the change until its outcome is known. After a lost answer the row may still change late;
 * putting it again with the same base can't apply it twice.
 */
static outcome_t change_run(change_t *change, uint64_t *version)
{
	bool was_sent = false;
	outcome_t outcome;

	do {
		switch (change_put(change, version)) {
		case JH_PLATFORM_OK:
			return OUTCOME_APPLIED;
		case JH_PLATFORM_UNAVAILABLE:
			continue;
		case JH_PLATFORM_CONFLICT:
			return change_look(change, version);
		default:
			was_sent = true;
			break;
		}
		outcome = change_look(change, version);
		if (outcome != OUTCOME_UNAVAILABLE)
			return outcome;
	} while (time_is_left(change->until_us));
	return was_sent ? OUTCOME_UNKNOWN : OUTCOME_UNAVAILABLE;
}

static exit_status_t outcome_print(const change_t *change, outcome_t outcome, uint64_t version)
{
	switch (outcome) {
	case OUTCOME_APPLIED:
		printf("version=%" G_GUINT64_FORMAT " change_id=%s\n", version, change->id);
		return STATUS_OK;
	case OUTCOME_CONFLICT:
		fprintf(stderr,
			"jasminehill: conflict: version %" G_GUINT64_FORMAT
			" is in the platform, this change was made from version %" G_GUINT64_FORMAT
			"; nothing was changed\n"
			"Get the newer tables (jasminehill get), make your edit in them, and apply "
			"them with --base %" G_GUINT64_FORMAT ".\n",
			version, change->base, version);
		return STATUS_CONFLICT;
	case OUTCOME_UNAVAILABLE:
		fputs("jasminehill: the platform can't be reached; nothing was changed\n", stderr);
		return STATUS_FAILED;
	default:
		fprintf(stderr,
			"jasminehill: the platform's answer was lost; the change may take effect\n"
			"Run the same command with --base %" G_GUINT64_FORMAT
			" --change-id %s: it takes effect once at most.\n",
			change->base, change->id);
		return STATUS_FAILED;
	}
}

/* Find the version to replace. Return: an outcome, OUTCOME_UNKNOWN if the change is to be put. */
static outcome_t change_prepare(change_t *change, int64_t base, uint64_t *version)
{
	const jh_platform_reply_t *reply = row_read(change->client, change->until_us);
	outcome_t outcome = OUTCOME_UNKNOWN;

	if (!reply)
		return OUTCOME_UNAVAILABLE;
	*version = reply->version;
	change->ids = reply_changes(reply);
	change->base = base == NO_BASE ? reply->version : (uint64_t)base;
	if (changes_contain(change->ids, change->id))
		outcome = OUTCOME_APPLIED;
	else if (change->base != reply->version)
		outcome = OUTCOME_CONFLICT;
	g_ptr_array_insert(change->ids, 0, g_strdup(change->id));
	return outcome;
}

/* ---- waiting for the entries ---- */

/* Count VMs that an entry knows to be behind @version. Return: that, -1 if it can't be asked. */
static int entry_count_behind(const char *entry, const char *team, uint64_t version)
{
	jh_error_t err = JH_ERROR_INIT;
	jh_rows_t *rows = entry_show(entry, team, "config", &err);
	int behind = 0;
	unsigned i;

	jh_error_clear(&err);
	if (!rows)
		return -1;
	for (i = 0; i < rows->rows->len; i++) {
		if (g_ascii_strtoull(jh_rows_get_cell(rows, i, 1), NULL, 10) < version)
			behind++;
	}
	jh_rows_free(rows);
	return behind;
}

static exit_status_t entries_wait(const char *entries, const char *team, uint64_t version,
				  int64_t until_us)
{
	char **list = g_strsplit(entries, ",", -1);
	exit_status_t status = STATUS_FAILED;
	unsigned behind;
	unsigned i;

	do {
		behind = 0;
		for (i = 0; list[i]; i++) {
			if (entry_count_behind(list[i], team, version) != 0)
				behind++;
		}
	} while (behind > 0 && time_is_left(until_us));
	if (behind == 0) {
		printf("in force at every entry that is known to %s\n", entries);
		status = STATUS_OK;
	} else {
		fprintf(stderr,
			"jasminehill: version %" G_GUINT64_FORMAT
			" is not in force everywhere yet; see jasminehill show config\n",
			version);
	}
	g_strfreev(list);
	return status;
}

/* ---- the command ---- */

typedef struct apply_flags {
	char *platform;
	char *entry;
	char *as;
	char *change_id;
	long long base;
	int timeout_s;
	int wait;
} apply_flags_t;

static exit_status_t apply_change(const apply_flags_t *flags, const char *url, char **paths)
{
	jh_error_t err = JH_ERROR_INIT;
	char *random_id = g_uuid_string_random();
	const char *entry = setting_text(flags->entry, "JASMINEHILL_ENTRY");
	change_t change = {
		.id = flags->change_id ? flags->change_id : random_id,
		.until_us = g_get_monotonic_time() + (int64_t)flags->timeout_s * G_USEC_PER_SEC,
	};
	exit_status_t status = STATUS_USAGE;
	uint64_t version = 0;
	outcome_t outcome;

	if (change_read_files(&change, paths) < 0)
		goto done;
	change.client = client_new(url, &err);
	if (!change.client) {
		error_print(&err);
		status = STATUS_FAILED;
		goto done;
	}
	outcome = change_prepare(&change, flags->base, &version);
	if (outcome == OUTCOME_UNKNOWN)
		outcome = change_run(&change, &version);
	status = outcome_print(&change, outcome, version);
	if (status == STATUS_OK && flags->wait)
		status = entries_wait(entry, flags->as, version, change.until_us);
done:
	client_free(change.client);
	g_clear_pointer(&change.ids, g_ptr_array_unref);
	g_free(change.routes);
	g_free(change.pools);
	g_free(random_id);
	jh_error_clear(&err);
	return status;
}

static exit_status_t apply_run(int argc, const char **argv)
{
	apply_flags_t flags = { .base = NO_BASE, .timeout_s = DEFAULT_TIMEOUT_S };
	struct poptOption options[] = {
		{ "platform", 0, POPT_ARG_STRING, &flags.platform, 0, "the platform", "URL" },
		{ "base", 0, POPT_ARG_LONGLONG, &flags.base, 0,
		  "version that the tables were edited from; without it, the newest", "VERSION" },
		{ "change-id", 0, POPT_ARG_STRING, &flags.change_id, 0,
		  "id of this change, to run a lost one again", "ID" },
		{ "wait", 0, POPT_ARG_NONE, &flags.wait, 0,
		  "wait until the entries have it in force", NULL },
		{ "entry", 0, POPT_ARG_STRING, &flags.entry, 0, "entries to ask with --wait",
		  "IP:PORT,..." },
		AS_OPTION(flags.as),
		{ "timeout", 0, POPT_ARG_INT, &flags.timeout_s, 0, "longest time in all",
		  "SECONDS" },
		POPT_AUTOHELP POPT_TABLEEND
	};
	char **paths = NULL;
	exit_status_t status = STATUS_USAGE;
	const char *url;

	if (arguments_parse(&apply_command, argc, argv, options, 2, 2, &paths) < 0)
		goto done;
	url = setting_text(flags.platform, "JASMINEHILL_PLATFORM");
	if (!url)
		fputs("jasminehill apply: --platform is needed (or JASMINEHILL_PLATFORM)\n",
		      stderr);
	else if (flags.wait && !setting_text(flags.entry, "JASMINEHILL_ENTRY"))
		fputs("jasminehill apply: --wait needs --entry (or JASMINEHILL_ENTRY)\n", stderr);
	else
		status = apply_change(&flags, url, paths);
done:
	free(flags.platform);
	free(flags.entry);
	free(flags.as);
	free(flags.change_id);
	g_strfreev(paths);
	return status;
}

const command_t apply_command = {
	.name = "apply",
	.arguments = "ROUTES POOLS [--base N]",
	.doc = "check both tables and put them in force, together",
	.run = apply_run,
};

/* ---- get ---- */

static exit_status_t get_tables(const char *url, char **paths, jh_error_t *err)
{
	client_t *client = client_new(url, err);
	const jh_platform_reply_t *reply;
	exit_status_t status = STATUS_FAILED;
	char *routes = NULL;
	char *pools = NULL;
	gsize length = 0;

	if (!client)
		return STATUS_FAILED;
	reply = row_read(client, g_get_monotonic_time());
	if (!reply) {
		jh_error_set(err, JH_ERR_UNAVAILABLE, "the platform can't be reached");
	} else if (!reply->body) {
		jh_error_set(err, JH_ERR_UNAVAILABLE, "the platform holds no tables yet");
	} else {
		const char *text = g_bytes_get_data(reply->body, &length);

		if (jh_tables_split_row(text, length, &routes, &pools, err) == 0 &&
		    file_write(paths[0], routes, err) == 0 &&
		    file_write(paths[1], pools, err) == 0) {
			printf("version=%" G_GUINT64_FORMAT "\n", reply->version);
			status = STATUS_OK;
		}
	}
	client_free(client);
	g_free(routes);
	g_free(pools);
	return status;
}

static exit_status_t get_run(int argc, const char **argv)
{
	char *platform = NULL;
	struct poptOption options[] = { { "platform", 0, POPT_ARG_STRING, &platform, 0,
					  "the platform", "URL" },
					POPT_AUTOHELP POPT_TABLEEND };
	jh_error_t err = JH_ERROR_INIT;
	exit_status_t status = STATUS_USAGE;
	char **paths = NULL;
	const char *url;

	if (arguments_parse(&get_command, argc, argv, options, 2, 2, &paths) < 0)
		goto done;
	url = setting_text(platform, "JASMINEHILL_PLATFORM");
	if (!url) {
		fputs("jasminehill get: --platform is needed (or JASMINEHILL_PLATFORM)\n", stderr);
		goto done;
	}
	status = get_tables(url, paths, &err);
	if (status != STATUS_OK)
		error_print(&err);
done:
	jh_error_clear(&err);
	free(platform);
	g_strfreev(paths);
	return status;
}

const command_t get_command = {
	.name = "get",
	.arguments = "ROUTES POOLS",
	.doc = "write the platform's tables to two files and print their version",
	.run = get_run,
};
