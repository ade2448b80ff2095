/* jasminehill show: prints a SHOW topic of the virtual database of an entry VM. */

#include "command.h"

#include "jh_settings.h"

#include <libpq-fe.h>
#include <stdio.h>
#include <string.h>

#define CONNECT_TIMEOUT_S "5"
#define DEFAULT_TEAM "operators"

/* Return: new rows, a copy of the result */
static jh_rows_t *rows_from_result(const PGresult *result)
{
	int column_count = PQnfields(result);
	const char **column_names = g_new0(const char *, (gsize)column_count + 1);
	jh_rows_t *rows;
	int i;
	int column;

	for (column = 0; column < column_count; column++)
		column_names[column] = PQfname(result, column);
	rows = jh_rows_new(column_names);
	g_free(column_names);
	for (i = 0; i < PQntuples(result); i++) {
		GPtrArray *row = g_ptr_array_new_with_free_func(g_free);

		for (column = 0; column < column_count; column++)
			g_ptr_array_add(row, g_strdup(PQgetvalue(result, i, column)));
		g_ptr_array_add(rows->rows, row);
	}
	return rows;
}

static bool topic_is_valid(const char *topic)
{
	for (; *topic; topic++) {
		if (!g_ascii_isalpha(*topic) && *topic != '_')
			return false;
	}
	return true;
}

static PGconn *entry_connect(const char *entry, const char *team, jh_error_t *err)
{
	static const char *const keywords[] = {
		"host", "port", "dbname", "user", "connect_timeout", "password", NULL
	};
	const char *user = setting_get(team, "JASMINEHILL_TEAM");
	const char *values[G_N_ELEMENTS(keywords)] = { 0 };
	jh_address_t address = { 0 };
	char port[8];
	PGconn *connection;

	if (jh_address_parse(&address, entry, "--entry", err) < 0)
		return NULL;
	g_snprintf(port, sizeof(port), "%u", address.port);
	values[0] = address.host;
	values[1] = port;
	values[2] = "jasminehill";
	values[3] = user ? user : DEFAULT_TEAM;
	values[4] = CONNECT_TIMEOUT_S;
	values[5] = g_getenv("JASMINEHILL_KEY");
	connection = PQconnectdbParams(keywords, values, 0);
	g_free(address.host);
	if (PQstatus(connection) == CONNECTION_OK)
		return connection;
	jh_error_set(err, JH_ERR_UNAVAILABLE, "%s", g_strchomp(PQerrorMessage(connection)));
	PQfinish(connection);
	return NULL;
}

jh_rows_t *entry_fetch_topic(const char *entry, const char *team, const char *topic,
			     jh_error_t *err)
{
	PGconn *connection = entry_connect(entry, team, err);
	jh_rows_t *rows = NULL;
	PGresult *result;
	char *query;

	if (!connection)
		return NULL;
	query = g_strconcat("SHOW ", topic, NULL);
	result = PQexec(connection, query);
	if (PQresultStatus(result) == PGRES_TUPLES_OK)
		rows = rows_from_result(result);
	else
		jh_error_set(err, JH_ERR_UNAVAILABLE, "%s", g_strchomp(PQerrorMessage(connection)));
	PQclear(result);
	PQfinish(connection);
	g_free(query);
	return rows;
}

/* Rows of this topic are text lines for a metrics scraper: printed without a header. */
#define RAW_TOPIC "metrics"

static void rows_print_first_column(const jh_rows_t *rows)
{
	unsigned i;

	for (i = 0; i < rows->rows->len; i++)
		puts(jh_rows_get_cell(rows, i, 0));
}

static exit_status_t show_topic(const char *entry, const char *team, const char *topic, bool as_csv)
{
	jh_error_t err = JH_ERROR_INIT;
	jh_rows_t *rows = entry_fetch_topic(entry, team, topic, &err);
	exit_status_t status = STATUS_FAILED;

	if (rows) {
		if (!as_csv && g_ascii_strcasecmp(topic, RAW_TOPIC) == 0)
			rows_print_first_column(rows);
		else
			rows_print(rows, as_csv);
		status = STATUS_OK;
	} else {
		error_print(&err);
	}
	jh_rows_free(rows);
	jh_error_clear(&err);
	return status;
}

static exit_status_t show_run(int argc, const char **argv)
{
	char *entry_flag = NULL;
	char *team = NULL;
	int as_csv = 0;
	struct poptOption options[] = { { "entry", 0, POPT_ARG_STRING, &entry_flag, 0,
					  "address of the entry VM to query", "IP:PORT" },
					AS_OPTION(team),
					{ "csv", 0, POPT_ARG_NONE, &as_csv, 0,
					  "print comma-separated values", NULL },
					POPT_AUTOHELP POPT_TABLEEND };
	exit_status_t status = STATUS_USAGE;
	char **topic = NULL;
	const char *entry;

	if (arguments_parse(&show_command, argc, argv, options, 1, 1, &topic) < 0)
		goto done;
	entry = setting_get(entry_flag, "JASMINEHILL_ENTRY");
	if (!entry) {
		fputs("jasminehill show: --entry or JASMINEHILL_ENTRY is required\n", stderr);
	} else if (!topic_is_valid(topic[0])) {
		fputs("jasminehill show: a topic consists of letters and underscores\n", stderr);
	} else {
		char *first_entry = g_strndup(entry, strcspn(entry, ","));

		status = show_topic(first_entry, team, topic[0], as_csv);
		g_free(first_entry);
	}
done:
	free(entry_flag);
	free(team);
	g_strfreev(topic);
	return status;
}

const subcommand_t show_command = {
	.name = "show",
	.arguments = "TOPIC",
	.doc = "print a topic: vms, groups, databases, teams, sessions, counters, metrics, "
	       "config, platform, timeline",
	.run = show_run,
};
