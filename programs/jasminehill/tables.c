/*
 * jasminehill check, apply and get: check the routes table and the pools table, replace them in the
 * platform, and fetch them. Both tables are in one row of the platform, so that they change
 * together. A change is a compare-and-set on the row's version. The row also lists the ids of
 * recent changes; they show whether a change took effect if the reply to its put was lost.
 */

#include "command.h"

#include "jh_settings.h"
#include "jh_tables.h"

#include <stdio.h>
#include <string.h>

#define DEFAULT_TIMEOUT_S 30
#define RETRY_INTERVAL_US (300 * 1000)
#define NO_BASE_VERSION (-1)

/* A change of both tables, to be put into the platform's row. */
typedef struct change {
	platform_client_t *client;
	/* Chosen by the operator or at random; the row lists it once the change took effect */
	const char *id;
	gchar *routes;
	gsize routes_length;
	gchar *pools;
	gsize pools_length;
	/* Version of the row that this change replaces; 0: the row must not exist yet */
	uint64_t base_version;
	/* Change ids to write into the row, newest first: this one, then those of the row */
	GPtrArray *change_ids;
	/* On the monotonic clock */
	int64_t deadline_us;
} change_t;

/* Waits before the next attempt. Return: false without a wait if the deadline has passed */
static bool retry_wait(int64_t deadline_us)
{
	if (g_get_monotonic_time() >= deadline_us)
		return false;
	g_usleep(RETRY_INTERVAL_US);
	return true;
}

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

/*
 * Reads and checks the files of both tables, and prints the findings. The caller frees the texts of
 * the tables, also after an error. Return: 0, or -1 if there are findings
 */
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

const subcommand_t check_command = {
	.name = "check",
	.arguments = "ROUTES POOLS",
	.doc = "check both tables and print every finding with its place",
	.run = check_run,
};

/*
 * Reads the platform's row at least once, and retries until the deadline while the platform is
 * unreachable. Return: borrowed reply, without a body if there is no row; NULL if all attempts
 * failed
 */
static const jh_platform_reply_t *config_row_read(platform_client_t *client, int64_t deadline_us)
{
	const jh_platform_reply_t *reply;

	do {
		reply = platform_client_call(client, JH_PLATFORM_GET_ROW, JH_CONFIG_TABLE,
					     JH_CONFIG_ROW, 0, NULL);
		if (reply->status == JH_PLATFORM_OK || reply->status == JH_PLATFORM_NOT_FOUND)
			return reply;
	} while (retry_wait(deadline_us));
	return NULL;
}

/* Return: new array of the change ids in the row, newest first; empty if there is no row */
static GPtrArray *reply_get_change_ids(const jh_platform_reply_t *reply)
{
	gsize length = 0;
	const char *text = reply->body ? g_bytes_get_data(reply->body, &length) : "";

	return jh_tables_parse_change_ids(text, length);
}

static bool change_ids_contain(const GPtrArray *change_ids, const char *id)
{
	unsigned i;

	for (i = 0; i < change_ids->len; i++) {
		if (g_str_equal(g_ptr_array_index(change_ids, i), id))
			return true;
	}
	return false;
}

/* What is known about the effect of a change */
typedef enum outcome {
	OUTCOME_APPLIED,
	/* The row has another version than the change replaces; nothing was changed. */
	OUTCOME_CONFLICT,
	/* The platform can't be reached; nothing was changed. */
	OUTCOME_UNAVAILABLE,
	/* A reply was lost; the change may have taken effect or may still do so. */
	OUTCOME_UNKNOWN,
} outcome_t;

/* Sends the compare-and-set once. Sets @version to the version in the reply, 0 if it has none */
static jh_platform_status_t change_put(change_t *change, uint64_t *version)
{
	jh_error_t err = JH_ERROR_INIT;
	char *text = jh_tables_format_row(change->routes, change->routes_length, change->pools,
					  change->pools_length, change->change_ids, &err);
	GBytes *body = g_bytes_new_take(text, strlen(text));
	const jh_platform_reply_t *reply =
		platform_client_call(change->client, JH_PLATFORM_PUT_ROW, JH_CONFIG_TABLE,
				     JH_CONFIG_ROW, change->base_version, body);

	g_bytes_unref(body);
	*version = reply->version;
	return reply->status;
}

/*
 * Determines whether the change took effect, by the change ids and the version of the row. Return:
 * OUTCOME_UNAVAILABLE if the row is unchanged, OUTCOME_UNKNOWN if it can't be read
 */
static outcome_t change_read_outcome(const change_t *change, uint64_t *version)
{
	const jh_platform_reply_t *reply = config_row_read(change->client, change->deadline_us);
	GPtrArray *change_ids;
	outcome_t outcome;

	if (!reply)
		return OUTCOME_UNKNOWN;
	change_ids = reply_get_change_ids(reply);
	*version = reply->version;
	if (change_ids_contain(change_ids, change->id))
		outcome = OUTCOME_APPLIED;
	else
		outcome = reply->version == change->base_version ? OUTCOME_UNAVAILABLE :
								   OUTCOME_CONFLICT;
	g_ptr_array_free(change_ids, TRUE);
	return outcome;
}

/*
 * Puts the change until its outcome is known or the deadline has passed. After a lost reply, the
 * put may still take effect late. A further put is safe: it replaces the same base version, so at
 * most one of the puts takes effect.
 */
static outcome_t change_put_with_retries(change_t *change, uint64_t *version)
{
	bool may_take_effect = false;
	outcome_t outcome;

	do {
		switch (change_put(change, version)) {
		case JH_PLATFORM_OK:
			return OUTCOME_APPLIED;
		case JH_PLATFORM_UNAVAILABLE:
			/* This attempt had no effect. */
			continue;
		case JH_PLATFORM_CONFLICT:
			return change_read_outcome(change, version);
		default:
			may_take_effect = true;
			break;
		}
		outcome = change_read_outcome(change, version);
		if (outcome != OUTCOME_UNAVAILABLE)
			return outcome;
	} while (retry_wait(change->deadline_us));
	return may_take_effect ? OUTCOME_UNKNOWN : OUTCOME_UNAVAILABLE;
}

static exit_status_t outcome_print(const change_t *change, outcome_t outcome, uint64_t version)
{
	switch (outcome) {
	case OUTCOME_APPLIED:
		printf("version=%" G_GUINT64_FORMAT " change_id=%s\n", version, change->id);
		return STATUS_OK;
	case OUTCOME_CONFLICT:
		fprintf(stderr,
			"jasminehill: conflict: the platform has version %" G_GUINT64_FORMAT
			", this change is based on version %" G_GUINT64_FORMAT
			"; nothing was changed\n"
			"Fetch the newer tables (jasminehill get), repeat your edit in them, and "
			"apply them with --base %" G_GUINT64_FORMAT ".\n",
			version, change->base_version, version);
		return STATUS_CONFLICT;
	case OUTCOME_UNAVAILABLE:
		fputs("jasminehill: the platform can't be reached; nothing was changed\n", stderr);
		return STATUS_FAILED;
	default:
		fprintf(stderr,
			"jasminehill: the platform's reply was lost; the change may have taken effect, "
			"or may still do so\n"
			"Run the same command again with --base %" G_GUINT64_FORMAT
			" --change-id %s: the change takes effect at most once.\n",
			change->base_version, change->id);
		return STATUS_FAILED;
	}
}

/*
 * Reads the row, and sets the version to replace and the change ids to write. Return: the outcome
 * if it is known already, OUTCOME_UNKNOWN if the change must be put
 */
static outcome_t change_prepare(change_t *change, int64_t base_version, uint64_t *version)
{
	const jh_platform_reply_t *reply = config_row_read(change->client, change->deadline_us);
	outcome_t outcome = OUTCOME_UNKNOWN;

	if (!reply)
		return OUTCOME_UNAVAILABLE;
	*version = reply->version;
	change->change_ids = reply_get_change_ids(reply);
	change->base_version =
		base_version == NO_BASE_VERSION ? reply->version : (uint64_t)base_version;
	if (change_ids_contain(change->change_ids, change->id))
		outcome = OUTCOME_APPLIED;
	else if (change->base_version != reply->version)
		outcome = OUTCOME_CONFLICT;
	g_ptr_array_insert(change->change_ids, 0, g_strdup(change->id));
	return outcome;
}

/*
 * Queries an entry VM. Return: number of VMs, out of those that it knows, whose configuration is
 * older than @version; -1 if the query fails
 */
static int entry_count_lagging_vms(const char *entry, const char *team, uint64_t version)
{
	jh_error_t err = JH_ERROR_INIT;
	jh_rows_t *rows = entry_fetch_topic(entry, team, "config", &err);
	int lagging_vms = 0;
	unsigned i;

	jh_error_clear(&err);
	if (!rows)
		return -1;
	/* The second column is the version in force at the VM of the row. */
	for (i = 0; i < rows->rows->len; i++) {
		if (g_ascii_strtoull(jh_rows_get_cell(rows, i, 1), NULL, 10) < version)
			lagging_vms++;
	}
	jh_rows_free(rows);
	return lagging_vms;
}

/*
 * Polls the entry VMs, a list separated by commas, until each of them answers and reports that
 * every VM it knows has this version in force, or until the deadline has passed.
 */
static exit_status_t entries_wait(const char *entries, const char *team, uint64_t version,
				  int64_t deadline_us)
{
	char **addresses = g_strsplit(entries, ",", -1);
	exit_status_t status = STATUS_FAILED;
	unsigned pending_entries;
	unsigned i;

	do {
		pending_entries = 0;
		for (i = 0; addresses[i]; i++) {
			if (entry_count_lagging_vms(addresses[i], team, version) != 0)
				pending_entries++;
		}
	} while (pending_entries > 0 && retry_wait(deadline_us));
	if (pending_entries == 0) {
		printf("in force on every VM known to %s\n", entries);
		status = STATUS_OK;
	} else {
		fprintf(stderr,
			"jasminehill: version %" G_GUINT64_FORMAT
			" is not known to be in force on all VMs yet; see jasminehill show config\n",
			version);
	}
	g_strfreev(addresses);
	return status;
}

typedef struct apply_flags {
	char *platform;
	char *entry;
	char *as;
	char *change_id;
	long long base_version;
	int timeout_s;
	int wait;
} apply_flags_t;

static exit_status_t tables_apply(const apply_flags_t *flags, const char *url, char **paths)
{
	jh_error_t err = JH_ERROR_INIT;
	char *random_id = g_uuid_string_random();
	const char *entry = setting_get(flags->entry, "JASMINEHILL_ENTRY");
	change_t change = {
		.id = flags->change_id ? flags->change_id : random_id,
		.deadline_us = g_get_monotonic_time() + (int64_t)flags->timeout_s * G_USEC_PER_SEC,
	};
	exit_status_t status = STATUS_USAGE;
	uint64_t version = 0;
	outcome_t outcome;

	if (change_read_files(&change, paths) < 0)
		goto done;
	change.client = platform_client_new(url, &err);
	if (!change.client) {
		error_print(&err);
		status = STATUS_FAILED;
		goto done;
	}
	outcome = change_prepare(&change, flags->base_version, &version);
	if (outcome == OUTCOME_UNKNOWN)
		outcome = change_put_with_retries(&change, &version);
	status = outcome_print(&change, outcome, version);
	if (status == STATUS_OK && flags->wait)
		status = entries_wait(entry, flags->as, version, change.deadline_us);
done:
	platform_client_free(change.client);
	g_clear_pointer(&change.change_ids, g_ptr_array_unref);
	g_free(change.routes);
	g_free(change.pools);
	g_free(random_id);
	jh_error_clear(&err);
	return status;
}

static exit_status_t apply_run(int argc, const char **argv)
{
	apply_flags_t flags = { .base_version = NO_BASE_VERSION, .timeout_s = DEFAULT_TIMEOUT_S };
	struct poptOption options[] = {
		{ "platform", 0, POPT_ARG_STRING, &flags.platform, 0, "URL of the platform",
		  "URL" },
		{ "base", 0, POPT_ARG_LONGLONG, &flags.base_version, 0,
		  "version that the edit is based on (default: the current one)", "VERSION" },
		{ "change-id", 0, POPT_ARG_STRING, &flags.change_id, 0,
		  "id of this change; repeat it to retry after a lost reply", "ID" },
		{ "wait", 0, POPT_ARG_NONE, &flags.wait, 0,
		  "wait until the change is in force on all VMs", NULL },
		{ "entry", 0, POPT_ARG_STRING, &flags.entry, 0, "entry VMs to query for --wait",
		  "IP:PORT,..." },
		AS_OPTION(flags.as),
		{ "timeout", 0, POPT_ARG_INT, &flags.timeout_s, 0,
		  "time limit of the whole command", "SECONDS" },
		POPT_AUTOHELP POPT_TABLEEND
	};
	char **paths = NULL;
	exit_status_t status = STATUS_USAGE;
	const char *url;

	if (arguments_parse(&apply_command, argc, argv, options, 2, 2, &paths) < 0)
		goto done;
	url = setting_get(flags.platform, "JASMINEHILL_PLATFORM");
	if (!url)
		fputs("jasminehill apply: --platform or JASMINEHILL_PLATFORM is required\n",
		      stderr);
	else if (flags.wait && !setting_get(flags.entry, "JASMINEHILL_ENTRY"))
		fputs("jasminehill apply: --wait requires --entry or JASMINEHILL_ENTRY\n", stderr);
	else
		status = tables_apply(&flags, url, paths);
done:
	free(flags.platform);
	free(flags.entry);
	free(flags.as);
	free(flags.change_id);
	g_strfreev(paths);
	return status;
}

const subcommand_t apply_command = {
	.name = "apply",
	.arguments = "ROUTES POOLS [--base N]",
	.doc = "check both tables and put them in force as one change",
	.run = apply_run,
};

static exit_status_t tables_get(const char *url, char **paths, jh_error_t *err)
{
	platform_client_t *client = platform_client_new(url, err);
	const jh_platform_reply_t *reply;
	exit_status_t status = STATUS_FAILED;
	char *routes = NULL;
	char *pools = NULL;
	gsize length = 0;

	if (!client)
		return STATUS_FAILED;
	reply = config_row_read(client, g_get_monotonic_time());
	if (!reply) {
		jh_error_set(err, JH_ERR_UNAVAILABLE, "the platform can't be reached");
	} else if (!reply->body) {
		jh_error_set(err, JH_ERR_UNAVAILABLE, "the platform has no tables yet");
	} else {
		const char *text = g_bytes_get_data(reply->body, &length);

		if (jh_tables_split_row(text, length, &routes, &pools, err) == 0 &&
		    file_write(paths[0], routes, err) == 0 &&
		    file_write(paths[1], pools, err) == 0) {
			printf("version=%" G_GUINT64_FORMAT "\n", reply->version);
			status = STATUS_OK;
		}
	}
	platform_client_free(client);
	g_free(routes);
	g_free(pools);
	return status;
}

static exit_status_t get_run(int argc, const char **argv)
{
	char *platform = NULL;
	struct poptOption options[] = { { "platform", 0, POPT_ARG_STRING, &platform, 0,
					  "URL of the platform", "URL" },
					POPT_AUTOHELP POPT_TABLEEND };
	jh_error_t err = JH_ERROR_INIT;
	exit_status_t status = STATUS_USAGE;
	char **paths = NULL;
	const char *url;

	if (arguments_parse(&get_command, argc, argv, options, 2, 2, &paths) < 0)
		goto done;
	url = setting_get(platform, "JASMINEHILL_PLATFORM");
	if (!url) {
		fputs("jasminehill get: --platform or JASMINEHILL_PLATFORM is required\n", stderr);
		goto done;
	}
	status = tables_get(url, paths, &err);
	if (status != STATUS_OK)
		error_print(&err);
done:
	jh_error_clear(&err);
	free(platform);
	g_strfreev(paths);
	return status;
}

const subcommand_t get_command = {
	.name = "get",
	.arguments = "ROUTES POOLS",
	.doc = "write the platform's tables to two files and print their version",
	.run = get_run,
};
