/*
 * The SQL functions group_...() by which operators and the proxy read a member's status and change
 * the primary, and by which replicas fetch log entries.
 */

#include "session.h"

#include <string.h>

/* Limits of one reply to a replica. */
#define FETCH_MAX_ENTRIES 512u
#define FETCH_MAX_BYTES (4u * 1024 * 1024)

/* Interval at which a fetch that a network partition blocks checks whether it has ended. */
#define PARTITION_POLL_US 20000

#define MAX_ARGUMENTS 6

/* ---- result columns ---- */

static const sdb_column_t status_columns[] = {
	{ "version", JH_V3_TYPE_INT8 },	  { "member", JH_V3_TYPE_TEXT },
	{ "role", JH_V3_TYPE_TEXT },	  { "term", JH_V3_TYPE_INT8 },
	{ "primary", JH_V3_TYPE_TEXT },	  { "promised_term", JH_V3_TYPE_INT8 },
	{ "held", JH_V3_TYPE_TEXT },	  { "applied", JH_V3_TYPE_TEXT },
	{ "silent_ms", JH_V3_TYPE_INT8 }, { "age_ms", JH_V3_TYPE_INT8 },
};

static const sdb_column_t fence_columns[] = {
	{ "granted", JH_V3_TYPE_BOOL },
	{ "promised_term", JH_V3_TYPE_INT8 },
	{ "held", JH_V3_TYPE_TEXT },
};

static const sdb_column_t promote_columns[] = {
	{ "granted", JH_V3_TYPE_BOOL },
	{ "held", JH_V3_TYPE_TEXT },
};

static const sdb_column_t follow_columns[] = {
	{ "granted", JH_V3_TYPE_BOOL },
};

static const sdb_column_t show_columns[] = {
	{ "setting", JH_V3_TYPE_TEXT },
};

static void columns_append(GArray *columns, const sdb_column_t *source, unsigned count)
{
	unsigned i;

	for (i = 0; i < count; i++) {
		sdb_column_t column = { .name = g_strdup(source[i].name), .type = source[i].type };

		g_array_append_val(columns, column);
	}
}

GArray *sdb_group_columns(sdb_sql_kind_t kind)
{
	GArray *columns = g_array_new(FALSE, TRUE, sizeof(sdb_column_t));

	if (kind == SDB_SQL_GROUP_STATUS || kind == SDB_SQL_GROUP_WATCH)
		columns_append(columns, status_columns, G_N_ELEMENTS(status_columns));
	else if (kind == SDB_SQL_GROUP_FENCE)
		columns_append(columns, fence_columns, G_N_ELEMENTS(fence_columns));
	else if (kind == SDB_SQL_GROUP_PROMOTE)
		columns_append(columns, promote_columns, G_N_ELEMENTS(promote_columns));
	else if (kind == SDB_SQL_GROUP_FOLLOW)
		columns_append(columns, follow_columns, G_N_ELEMENTS(follow_columns));
	else if (kind == SDB_SQL_SHOW)
		columns_append(columns, show_columns, G_N_ELEMENTS(show_columns));
	return columns;
}

/* ---- result rows ---- */

/* Writes the only row of a result, after its description if needed, and ends the statement. */
static void result_write_single_row(sdb_session_t *session, const char *const *row_texts,
				    unsigned count)
{
	sdb_run_t *run = &session->run;

	if (run->describe)
		sdb_describe(session, run->portal->statement, run->portal->formats);
	sdb_text_row_write(session, row_texts, count);
	g_strlcpy(run->tag, "SELECT 1", sizeof(run->tag));
	run->step = SDB_STEP_START;
}

static sdb_progress_t status_write_row(sdb_session_t *session)
{
	const sdb_member_t *member = session->server->member;
	bool is_primary = member->role == SDB_PRIMARY;
	int64_t now_us = g_get_monotonic_time();
	int64_t silent_ms = is_primary ? 0 : (now_us - member->last_contact_us) / 1000;
	int64_t age_ms = member->caught_up_us < 0 ? -1 : (now_us - member->caught_up_us) / 1000;
	char number_texts[5][24];
	const char *row_texts[] = {
		number_texts[0],
		member->name,
		is_primary ? "primary" : "replica",
		number_texts[1],
		member->primary ? member->primary : "",
		number_texts[2],
		sdb_position_format(sdb_member_log_end(member)),
		sdb_position_format(sdb_member_position(member, member->applied)),
		number_texts[3],
		number_texts[4],
	};

	g_snprintf(number_texts[0], sizeof(number_texts[0]), "%" G_GUINT64_FORMAT,
		   member->status_version);
	g_snprintf(number_texts[1], sizeof(number_texts[1]), "%" G_GUINT64_FORMAT, member->term);
	g_snprintf(number_texts[2], sizeof(number_texts[2]), "%" G_GUINT64_FORMAT,
		   member->promised_term);
	g_snprintf(number_texts[3], sizeof(number_texts[3]), "%" G_GINT64_FORMAT, silent_ms);
	g_snprintf(number_texts[4], sizeof(number_texts[4]), "%" G_GINT64_FORMAT,
		   is_primary ? 0 : age_ms);
	result_write_single_row(session, row_texts, G_N_ELEMENTS(row_texts));
	return SDB_DONE;
}

/* ---- arguments ---- */

/* Evaluates the arguments with SQLite, so that they may be literals or parameters. */
static sdb_progress_t arguments_evaluate(sdb_session_t *session, char **arguments, int expected)
{
	char *argument_list = sdb_sql_arguments(session->run.portal->statement->sql);
	char *sql = g_strconcat("SELECT ", argument_list, NULL);
	sqlite3_stmt *stmt = NULL;
	int count = 0;
	int i;

	if (sqlite3_prepare_v2(session->db, sql, -1, &stmt, NULL) == SQLITE_OK &&
	    sdb_values_bind(stmt, session->run.portal->values) == SQLITE_OK &&
	    sqlite3_step(stmt) == SQLITE_ROW)
		count = sqlite3_column_count(stmt);
	for (i = 0; i < count && i < expected; i++) {
		const char *text = (const char *)sqlite3_column_text(stmt, i);

		arguments[i] = g_strdup(text ? text : "");
	}
	sqlite3_finalize(stmt);
	g_free(sql);
	g_free(argument_list);
	if (count == expected)
		return SDB_DONE;
	for (i = 0; i < expected; i++)
		g_clear_pointer(&arguments[i], g_free);
	return sdb_error(session, "42883", "the function takes %d arguments", expected);
}

static void arguments_clear(char **arguments)
{
	int i;

	for (i = 0; i < MAX_ARGUMENTS; i++)
		g_free(arguments[i]);
}

/* Return: the number; 0 if the text starts with none */
static uint64_t argument_to_number(const char *text)
{
	return g_ascii_strtoull(text, NULL, 10);
}

/* ---- waiting for a change of the status ---- */

/* Lets the session run again at @until_us, or earlier when the status of the member changes. */
static void wait_timer_start(sdb_session_t *session, int64_t until_us)
{
	struct ev_loop *loop = session->server->loop;
	int64_t wait_us = MAX(until_us - g_get_monotonic_time(), 0);

	ev_timer_stop(loop, &session->timer);
	ev_now_update(loop);
	ev_timer_set(&session->timer, (double)wait_us / G_USEC_PER_SEC, 0);
	ev_timer_start(loop, &session->timer);
	g_hash_table_add(session->server->status_waiters, GUINT_TO_POINTER(session->pid));
}

static sdb_progress_t watch_continue(sdb_session_t *session)
{
	sdb_run_t *run = &session->run;

	if (session->server->member->status_version != run->seen_status_version ||
	    g_get_monotonic_time() >= run->wait_until_us)
		return status_write_row(session);
	wait_timer_start(session, run->wait_until_us);
	return SDB_BLOCKED;
}

static sdb_progress_t watch_start(sdb_session_t *session)
{
	char *arguments[MAX_ARGUMENTS] = { NULL };

	if (arguments_evaluate(session, arguments, 2) == SDB_FAILED)
		return SDB_FAILED;
	session->run.seen_status_version = argument_to_number(arguments[0]);
	session->run.wait_until_us =
		g_get_monotonic_time() + (int64_t)argument_to_number(arguments[1]) * 1000;
	session->run.step = SDB_STEP_WATCH;
	arguments_clear(arguments);
	return watch_continue(session);
}

/* ---- change of primary ---- */

static sdb_progress_t fence_execute(sdb_session_t *session)
{
	sdb_server_t *server = session->server;
	char *arguments[MAX_ARGUMENTS] = { NULL };
	const char *row_texts[3];
	char promised_term_text[24];

	if (arguments_evaluate(session, arguments, 2) == SDB_FAILED)
		return SDB_FAILED;
	row_texts[0] =
		sdb_member_fence(server->member, argument_to_number(arguments[0]), arguments[1]) ?
			"t" :
			"f";
	g_snprintf(promised_term_text, sizeof(promised_term_text), "%" G_GUINT64_FORMAT,
		   server->member->promised_term);
	row_texts[1] = promised_term_text;
	row_texts[2] = sdb_position_format(sdb_member_log_end(server->member));
	result_write_single_row(session, row_texts, G_N_ELEMENTS(row_texts));
	sdb_server_refresh(server);
	arguments_clear(arguments);
	return SDB_DONE;
}

static sdb_progress_t promote_execute(sdb_session_t *session)
{
	sdb_server_t *server = session->server;
	char *arguments[MAX_ARGUMENTS] = { NULL };
	const char *row_texts[2];

	if (arguments_evaluate(session, arguments, 2) == SDB_FAILED)
		return SDB_FAILED;
	row_texts[0] = sdb_member_promote(server->member, argument_to_number(arguments[0]),
					  arguments[1], g_get_monotonic_time()) ?
			       "t" :
			       "f";
	sdb_server_refresh(server);
	row_texts[1] = sdb_position_format(sdb_member_log_end(server->member));
	result_write_single_row(session, row_texts, G_N_ELEMENTS(row_texts));
	arguments_clear(arguments);
	return SDB_DONE;
}

static sdb_progress_t follow_execute(sdb_session_t *session)
{
	sdb_server_t *server = session->server;
	char *arguments[MAX_ARGUMENTS] = { NULL };
	const char *granted;

	if (arguments_evaluate(session, arguments, 2) == SDB_FAILED)
		return SDB_FAILED;
	granted = sdb_member_follow(server->member, argument_to_number(arguments[0]), arguments[1],
				    g_get_monotonic_time()) ?
			  "t" :
			  "f";
	result_write_single_row(session, &granted, 1);
	sdb_server_refresh(server);
	arguments_clear(arguments);
	return SDB_DONE;
}

/* ---- replication ---- */

static void fetch_reply_write_entry(GByteArray *out, const sdb_log_entry_t *entry)
{
	char term[24];
	gsize length = 0;
	const uint8_t *payload = entry->payload ? g_bytes_get_data(entry->payload, &length) : NULL;
	jh_v3_value_t values[2];

	g_snprintf(term, sizeof(term), "%" G_GUINT64_FORMAT, entry->term);
	values[0] = (jh_v3_value_t){ .data = (const uint8_t *)term, .length = strlen(term) };
	values[1] = (jh_v3_value_t){ .data = payload, .length = length };
	jh_v3_write_data_row(out, values, G_N_ELEMENTS(values));
}

/* Writes a first row with the reply's numbers in one text, then one row for each log entry. */
static sdb_progress_t fetch_reply_write(sdb_session_t *session)
{
	sdb_run_t *run = &session->run;
	sdb_fetch_reply_t reply;
	char *number_texts;
	jh_v3_value_t value;
	unsigned i;

	sdb_member_build_reply(session->server->member, &run->fetch, FETCH_MAX_ENTRIES,
			       FETCH_MAX_BYTES, &reply);
	reply.waited_us = g_get_monotonic_time() - run->fetch_started_us;
	number_texts =
		g_strdup_printf("%" G_GUINT64_FORMAT " %d %" G_GUINT64_FORMAT " %" G_GUINT64_FORMAT
				" %" G_GUINT64_FORMAT " %" G_GINT64_FORMAT,
				reply.term, reply.log_matches, reply.prev_index, reply.end,
				reply.commit_index, reply.waited_us);
	value = (jh_v3_value_t){ .data = (const uint8_t *)number_texts,
				 .length = strlen(number_texts) };
	jh_v3_write_data_row(session->out, &value, 1);
	for (i = 0; i < reply.entries->len; i++)
		fetch_reply_write_entry(session->out, g_ptr_array_index(reply.entries, i));
	g_free(number_texts);
	sdb_fetch_reply_clear(&reply);
	g_strlcpy(run->tag, "SELECT", sizeof(run->tag));
	run->step = SDB_STEP_START;
	return SDB_DONE;
}

/* Replies once there is something new for the replica or its timeout has passed. */
static sdb_progress_t fetch_continue(sdb_session_t *session)
{
	sdb_run_t *run = &session->run;
	int64_t now_us = g_get_monotonic_time();

	if (sdb_server_is_partitioned_from(session->server, run->fetch.member)) {
		wait_timer_start(session, now_us + PARTITION_POLL_US);
		return SDB_BLOCKED;
	}
	sdb_member_apply_fetch(session->server->member, &run->fetch);
	if (sdb_member_has_updates(session->server->member, &run->fetch) ||
	    now_us >= run->wait_until_us)
		return fetch_reply_write(session);
	wait_timer_start(session, run->wait_until_us);
	return SDB_BLOCKED;
}

static sdb_progress_t fetch_start(sdb_session_t *session)
{
	sdb_run_t *run = &session->run;
	char *arguments[MAX_ARGUMENTS] = { NULL };
	uint64_t commit_index_before = session->server->member->commit_index;
	sdb_progress_t progress;

	if (arguments_evaluate(session, arguments, 5) == SDB_FAILED)
		return SDB_FAILED;
	run->fetch.member = g_steal_pointer(&arguments[0]);
	run->fetch.log_end.term = argument_to_number(arguments[1]);
	run->fetch.log_end.index = argument_to_number(arguments[2]);
	run->fetch.commit_index = argument_to_number(arguments[3]);
	run->fetch_started_us = g_get_monotonic_time();
	run->wait_until_us =
		run->fetch_started_us + (int64_t)argument_to_number(arguments[4]) * 1000;
	run->step = SDB_STEP_FETCH;
	arguments_clear(arguments);
	progress = fetch_continue(session);
	if (session->server->member->commit_index != commit_index_before)
		sdb_server_refresh(session->server);
	return progress;
}

sdb_progress_t sdb_group_run(sdb_session_t *session)
{
	if (session->run.step == SDB_STEP_WATCH)
		return watch_continue(session);
	if (session->run.step == SDB_STEP_FETCH)
		return fetch_continue(session);
	switch (session->run.portal->statement->sql->kind) {
	case SDB_SQL_GROUP_WATCH:
		return watch_start(session);
	case SDB_SQL_GROUP_FENCE:
		return fence_execute(session);
	case SDB_SQL_GROUP_PROMOTE:
		return promote_execute(session);
	case SDB_SQL_GROUP_FOLLOW:
		return follow_execute(session);
	case SDB_SQL_GROUP_FETCH:
		return fetch_start(session);
	default:
		return status_write_row(session);
	}
}
