/* jasminehill show: an entry's view, by its virtual database. */

#include "command.h"

#include "jh_settings.h"

#include <libpq-fe.h>
#include <stdio.h>
#include <string.h>

#define CONNECT_TIMEOUT "5"
#define DEFAULT_TEAM "operators"

/* Copy a result. Return: new rows. */
static jh_rows_t *rows_from_result(const PGresult *result)
{
	int columns = PQnfields(result);
	const char **names = g_new0(const char *, (gsize)columns + 1);
	jh_rows_t *rows;
	int i;
	int k;

	for (k = 0; k < columns; k++)
		names[k] = PQfname(result, k);
	rows = jh_rows_new(names);
	g_free(names);
	for (i = 0; i < PQntuples(result); i++) {
		GPtrArray *row = g_ptr_array_new_with_free_func(g_free);

		for (k = 0; k < columns; k++)
			g_ptr_array_add(row, g_strdup(PQgetvalue(result, i, k)));
		g_ptr_array_add(rows->rows, row);
	}
	return rows;
}

static bool topic_is_name(const char *topic)
{
	for (; *topic; topic++) {
		if (!g_ascii_isalpha(*topic) && *topic != '_')
			return false;
	}
	return true;
}

static PGconn *entry_connect(const char *entry, const char *team, jh_error_t *err)
{
	static const char *const keys[] = { "host",	"port", "dbname", "user", "connect_timeout",
					    "password", NULL };
	const char *as = setting_text(team, "JASMINEHILL_TEAM");
	const char *values[G_N_ELEMENTS(keys)] = { 0 };
	jh_address_t address = { 0 };
	char port[8];
	PGconn *connection;

	if (jh_address_parse(&address, entry, "--entry", err) < 0)
		return NULL;
	g_snprintf(port, sizeof(port), "%u", address.port);
	values[0] = address.host;
	values[1] = port;
	values[2] = "jasminehill";
	values[3] = as ? as : DEFAULT_TEAM;
	values[4] = CONNECT_TIMEOUT;
	values[5] = g_getenv("JASMINEHILL_KEY");
	connection = PQconnectdbParams(keys, values, 0);
	g_free(address.host);
	if (PQstatus(connection) == CONNECTION_OK)
		return connection;
	jh_error_set(err, JH_ERR_UNAVAILABLE, "%s", g_strchomp(PQerrorMessage(connection)));
	PQfinish(connection);
	return NULL;
}

jh_rows_t *entry_show(const char *entry, const char *team, const char *topic, jh_error_t *err)
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

/* The topic whose rows are lines for a scraper: neither header nor alignment. */
#define RAW_TOPIC "metrics"

static void lines_print(const jh_rows_t *rows)
{
	unsigned i;

	for (i = 0; i < rows->rows->len; i++)
		puts(jh_rows_get_cell(rows, i, 0));
}

static exit_status_t show_topic(const char *entry, const char *team, const char *topic, bool as_csv)
{
	jh_error_t err = JH_ERROR_INIT;
	jh_rows_t *rows = entry_show(entry, team, topic, &err);
	exit_status_t status = STATUS_FAILED;

	if (rows) {
		if (!as_csv && g_ascii_strcasecmp(topic, RAW_TOPIC) == 0)
			lines_print(rows);
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
	char *flag = NULL;
	char *team = NULL;
	int as_csv = 0;
	struct poptOption options[] = {
		{ "entry", 0, POPT_ARG_STRING, &flag, 0, "the entry to ask", "IP:PORT" },
		AS_OPTION(team),
		{ "csv", 0, POPT_ARG_NONE, &as_csv, 0, "print comma-separated values", NULL },
		POPT_AUTOHELP POPT_TABLEEND
	};
	exit_status_t status = STATUS_USAGE;
	char **topic = NULL;
	const char *entry;

	if (arguments_parse(&show_command, argc, argv, options, 1, 1, &topic) < 0)
		goto done;
	entry = setting_text(flag, "JASMINEHILL_ENTRY");
	if (!entry) {
		fputs("jasminehill show: --entry is needed (or JASMINEHILL_ENTRY)\n", stderr);
	} else if (!topic_is_name(topic[0])) {
		fputs("jasminehill show: a topic has letters only\n", stderr);
	} else {
		char *first = g_strndup(entry, strcspn(entry, ","));

		status = show_topic(first, team, topic[0], as_csv);
		g_free(first);
	}
done:
	free(flag);
	free(team);
	g_strfreev(topic);
	return status;
}

const command_t show_command = {
	.name = "show",
	.arguments = "TOPIC",
	.doc = "vms, groups, databases, teams, sessions, counters, metrics, config, platform, "
	       "timeline",
	.run = show_run,
};
