#include "session.h"

#include <string.h>

/* ---- parameter table ---- */

/* Defaults by name in lower case; clients are sent the reported ones in ParameterStatus. */
static const struct {
	const char *name;
	const char *value;
	bool is_reported;
} defaults[] = {
	{ "server_version", "15.0 (database stand-in)", true },
	{ "server_encoding", "UTF8", true },
	{ "client_encoding", "UTF8", true },
	{ "application_name", "", true },
	{ "default_transaction_read_only", "off", true },
	{ "in_hot_standby", "", true },
	{ "is_superuser", "off", true },
	{ "session_authorization", "", true },
	{ "datestyle", "ISO, MDY", true },
	{ "intervalstyle", "postgres", true },
	{ "timezone", "UTC", true },
	{ "integer_datetimes", "on", true },
	{ "standard_conforming_strings", "on", true },
	{ "extra_float_digits", "1", false },
	{ "search_path", "public", false },
	{ "statement_timeout", "0", false },
	{ "lock_timeout", "0", false },
	{ "idle_in_transaction_session_timeout", "0", false },
	{ "transaction_isolation", "read committed", false },
	{ "transaction_read_only", "off", false },
	{ "bytea_output", "hex", false },
	{ "client_min_messages", "notice", false },
};

/* Some names are reported in mixed case, as by PostgreSQL. */
static const char *reported_name(const char *name)
{
	static const char *const mixed_case_names[] = { "DateStyle", "IntervalStyle", "TimeZone" };
	unsigned i;

	for (i = 0; i < G_N_ELEMENTS(mixed_case_names); i++) {
		if (g_ascii_strcasecmp(mixed_case_names[i], name) == 0)
			return mixed_case_names[i];
	}
	return name;
}

static int default_find(const char *name)
{
	unsigned i;

	for (i = 0; i < G_N_ELEMENTS(defaults); i++) {
		if (g_str_equal(defaults[i].name, name))
			return (int)i;
	}
	return -1;
}

GHashTable *sdb_parameters_new(void)
{
	GHashTable *parameters = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	unsigned i;

	for (i = 0; i < G_N_ELEMENTS(defaults); i++)
		g_hash_table_insert(parameters, g_strdup(defaults[i].name),
				    g_strdup(defaults[i].value));
	return parameters;
}

void sdb_parameters_report(sdb_session_t *session)
{
	unsigned i;

	for (i = 0; i < G_N_ELEMENTS(defaults); i++) {
		if (defaults[i].is_reported)
			jh_v3_write_parameter_status(
				session->out, reported_name(defaults[i].name),
				g_hash_table_lookup(session->parameters, defaults[i].name));
	}
}

static void parameter_set(sdb_session_t *session, const char *name, const char *value)
{
	int default_index = default_find(name);

	g_hash_table_replace(session->parameters, g_strdup(name), g_strdup(value));
	if (default_index >= 0 && defaults[default_index].is_reported &&
	    session->phase == SDB_PHASE_READY)
		jh_v3_write_parameter_status(session->out, reported_name(name), value);
}

void sdb_parameters_set_standby(sdb_session_t *session, bool standby)
{
	const char *value = standby ? "on" : "off";

	if (!g_str_equal(g_hash_table_lookup(session->parameters, "in_hot_standby"), value))
		parameter_set(session, "in_hot_standby", value);
}

void sdb_parameters_set_startup(sdb_session_t *session, const char *name, const char *value)
{
	char *lower = g_ascii_strdown(name, -1);

	if (g_str_equal(lower, "user"))
		parameter_set(session, "session_authorization", value);
	else if (!g_str_equal(lower, "database") && !g_str_equal(lower, "options"))
		parameter_set(session, lower, value);
	g_free(lower);
}

/* ---- result rows ---- */

void sdb_text_row_write(sdb_session_t *session, const char *const *texts, unsigned count)
{
	const sdb_portal_t *portal = session->run.portal;
	const GArray *columns = portal->statement->columns;
	guint mark = jh_v3_message_begin(session->out, JH_V3_DATA_ROW);
	unsigned i;

	jh_v3_put_i16(session->out, (int16_t)count);
	for (i = 0; i < count; i++)
		sdb_text_write(session->out, texts[i], g_array_index(columns, sdb_column_t, i).type,
			       jh_v3_formats_get(portal->formats, i));
	jh_v3_message_end(session->out, mark);
}

/* ---- statements ---- */

static const char *token_text(const sdb_sql_t *sql, unsigned i)
{
	const sdb_token_t *token = &g_array_index(sql->tokens, sdb_token_t, i);

	return token->text ? token->text : "";
}

/* Joins the tokens from @first to before @end_index: dotted names, and values of several tokens. */
static char *tokens_join(const sdb_sql_t *sql, unsigned first, unsigned end_index,
			 const char *separator)
{
	GString *text = g_string_new(NULL);
	unsigned i;

	for (i = first; i < end_index; i++) {
		if (i > first)
			g_string_append(text, separator);
		g_string_append(text, token_text(sql, i));
	}
	return g_string_free(text, FALSE);
}

static const char *value_normalize(const char *value)
{
	if (g_ascii_strcasecmp(value, "true") == 0)
		return "on";
	return g_ascii_strcasecmp(value, "false") == 0 ? "off" : value;
}

/*
 * Runs SET TRANSACTION and SET SESSION CHARACTERISTICS AS TRANSACTION. Only the access mode has an
 * effect, and a statement that names READ COMMITTED is ignored as a whole.
 */
static void set_transaction(sdb_session_t *session, const sdb_sql_t *sql)
{
	bool is_read_only = sdb_sql_has_word(sql, "only");

	if (!sdb_sql_has_word(sql, "read") || sdb_sql_has_word(sql, "committed"))
		return;
	if (sdb_sql_has_word(sql, "characteristics"))
		parameter_set(session, "default_transaction_read_only",
			      is_read_only ? "on" : "off");
	else
		session->transaction.is_read_only = is_read_only;
}

/* Return: index of the first "=" or TO at or after @first, 0 if there is none */
static unsigned assignment_find(const sdb_sql_t *sql, unsigned first)
{
	unsigned i;

	for (i = first; i < sql->tokens->len; i++) {
		if (g_str_equal(token_text(sql, i), "=") || g_str_equal(sdb_sql_word(sql, i), "to"))
			return i;
	}
	return 0;
}

static sdb_progress_t run_set(sdb_session_t *session, const sdb_sql_t *sql)
{
	const char *scope = sdb_sql_word(sql, 1);
	unsigned first = g_str_equal(scope, "session") || g_str_equal(scope, "local") ? 2 : 1;
	unsigned assignment = assignment_find(sql, first);
	int default_index;
	char *name;
	char *value;

	if (sdb_sql_has_word(sql, "transaction")) {
		set_transaction(session, sql);
		return SDB_DONE;
	}
	if (g_str_equal(sdb_sql_word(sql, first), "time")) {
		value = tokens_join(sql, first + 2, sql->tokens->len, "");
		parameter_set(session, "timezone", value);
		g_free(value);
		return SDB_DONE;
	}
	if (assignment <= first || assignment + 1 >= sql->tokens->len)
		return sdb_error(session, "42601", "syntax error in SET");
	name = tokens_join(sql, first, assignment, "");
	value = tokens_join(sql, assignment + 1, sql->tokens->len, "");
	default_index = default_find(name);
	if (g_str_equal(value, "default") && default_index >= 0)
		parameter_set(session, name, defaults[default_index].value);
	else
		parameter_set(session, name, value_normalize(value));
	g_free(name);
	g_free(value);
	return SDB_DONE;
}

static void reset_all(sdb_session_t *session)
{
	unsigned i;

	for (i = 0; i < G_N_ELEMENTS(defaults); i++) {
		const char *value = g_hash_table_lookup(session->parameters, defaults[i].name);

		if (!g_str_equal(defaults[i].name, "session_authorization") &&
		    g_strcmp0(value, defaults[i].value) != 0)
			parameter_set(session, defaults[i].name, defaults[i].value);
	}
}

static sdb_progress_t run_reset(sdb_session_t *session, const sdb_sql_t *sql)
{
	char *name = tokens_join(sql, 1, sql->tokens->len, "");
	int default_index = default_find(name);

	if (g_str_equal(name, "all"))
		reset_all(session);
	else if (default_index >= 0)
		parameter_set(session, name, defaults[default_index].value);
	else
		g_hash_table_remove(session->parameters, name);
	g_free(name);
	return SDB_DONE;
}

static gboolean portal_is_not_running(gpointer name, gpointer portal, gpointer data)
{
	const sdb_session_t *session = data;

	(void)name;
	return portal != session->run.portal;
}

static sdb_progress_t run_discard(sdb_session_t *session)
{
	if (session->transaction.status != 'I')
		return sdb_error(session, "25001",
				 "DISCARD ALL cannot run inside a transaction block");
	reset_all(session);
	g_hash_table_remove_all(session->statements);
	g_hash_table_foreach_remove(session->portals, portal_is_not_running, session);
	return SDB_DONE;
}

static sdb_progress_t run_show(sdb_session_t *session, const sdb_sql_t *sql)
{
	const sdb_member_t *member = session->server->member;
	bool is_dotted = sql->tokens->len > 2 && g_str_equal(token_text(sql, 2), ".");
	char *name = tokens_join(sql, 1, sql->tokens->len, is_dotted ? "" : "_");
	const char *value = g_hash_table_lookup(session->parameters, name);

	if (g_str_equal(name, "transaction_isolation_level"))
		value = "read committed";
	else if (g_str_equal(name, "transaction_read_only"))
		value = sdb_transaction_is_read_only(session) || member->role != SDB_PRIMARY ?
				"on" :
				"off";
	else if (g_str_equal(name, "group_position"))
		value = sdb_position_format(sdb_member_position(member, member->applied));
	if (!value) {
		sdb_error(session, "42704", "unrecognized configuration parameter \"%s\"", name);
		g_free(name);
		return SDB_FAILED;
	}
	g_free(name);
	if (session->run.describe)
		sdb_describe(session, session->run.portal->statement, NULL);
	sdb_text_row_write(session, &value, 1);
	return SDB_DONE;
}

sdb_progress_t sdb_parameters_run(sdb_session_t *session, const sdb_sql_t *sql)
{
	char *tag = g_ascii_strup(sdb_sql_word(sql, 0), -1);

	g_strlcpy(session->run.tag, tag, sizeof(session->run.tag));
	g_free(tag);
	switch (sql->kind) {
	case SDB_SQL_SET:
		return run_set(session, sql);
	case SDB_SQL_RESET:
		return run_reset(session, sql);
	case SDB_SQL_DISCARD:
		g_strlcpy(session->run.tag, "DISCARD ALL", sizeof(session->run.tag));
		return run_discard(session);
	default:
		return run_show(session, sql);
	}
}
