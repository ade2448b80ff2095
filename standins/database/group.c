#include "session.h"

#include <string.h>

/* Most entries and bytes in one answer to a replica. */
#define FETCH_MAX_ENTRIES 512u
#define FETCH_MAX_BYTES (4u * 1024 * 1024)

/* How often a question that got lost in a cut looks whether the cut has ended. */
#define CUT_POLL_US 20000

#define MAX_ARGUMENTS 6

/* ---- columns ---- */

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

static void columns_add(GArray *columns, const sdb_column_t *from, unsigned count)
{
	unsigned i;

	for (i = 0; i < count; i++) {
		sdb_column_t column = { .name = g_strdup(from[i].name), .type = from[i].type };

		g_array_append_val(columns, column);
	}
}

GArray *sdb_group_columns(sdb_sql_kind_t kind)
{
	GArray *columns = g_array_new(FALSE, TRUE, sizeof(sdb_column_t));

	if (kind == SDB_SQL_GROUP_STATUS || kind == SDB_SQL_GROUP_WATCH)
		columns_add(columns, status_columns, G_N_ELEMENTS(status_columns));
	else if (kind == SDB_SQL_GROUP_FENCE)
		columns_add(columns, fence_columns, G_N_ELEMENTS(fence_columns));
	else if (kind == SDB_SQL_GROUP_PROMOTE)
		columns_add(columns, promote_columns, G_N_ELEMENTS(promote_columns));
	else if (kind == SDB_SQL_GROUP_FOLLOW)
		columns_add(columns, follow_columns, G_N_ELEMENTS(follow_columns));
	else if (kind == SDB_SQL_SHOW)
		columns_add(columns, show_columns, G_N_ELEMENTS(show_columns));
	return columns;
}

/* ---- answers ---- */

static void row_finish(sdb_session_t *session, const char *const *texts, unsigned count)
{
	sdb_run_t *run = &session->run;

	if (run->describe)
		sdb_describe(session, run->portal->statement, run->portal->formats);
	sdb_row_write(session, texts, count);
	g_strlcpy(run->tag, "SELECT 1", sizeof(run->tag));
	run->step = SDB_STEP_START;
}

static sdb_progress_t status_write(sdb_session_t *session)
{
	const sdb_member_t *member = session->server->member;
	bool is_primary = member->role == SDB_PRIMARY;
	int64_t now_us = g_get_monotonic_time();
	int64_t silent_ms = is_primary ? 0 : (now_us - member->heard_us) / 1000;
	int64_t age_ms = member->fresh_us < 0 ? -1 : (now_us - member->fresh_us) / 1000;
	char numbers[5][24];
	const char *texts[] = {
		numbers[0],
		member->name,
		is_primary ? "primary" : "replica",
		numbers[1],
		member->primary ? member->primary : "",
		numbers[2],
		sdb_position_format(sdb_member_held(member)),
		sdb_position_format(sdb_member_position(member, member->applied)),
		numbers[3],
		numbers[4],
	};

	g_snprintf(numbers[0], sizeof(numbers[0]), "%" G_GUINT64_FORMAT, member->version);
	g_snprintf(numbers[1], sizeof(numbers[1]), "%" G_GUINT64_FORMAT, member->term);
	g_snprintf(numbers[2], sizeof(numbers[2]), "%" G_GUINT64_FORMAT, member->promised_term);
	g_snprintf(numbers[3], sizeof(numbers[3]), "%" G_GINT64_FORMAT, silent_ms);
	g_snprintf(numbers[4], sizeof(numbers[4]), "%" G_GINT64_FORMAT, is_primary ? 0 : age_ms);
	row_finish(session, texts, G_N_ELEMENTS(texts));
	return SDB_DONE;
}

/* ---- arguments ---- */

/* SQLite evaluates them, so that literals and parameters both work. */
static sdb_progress_t arguments_read(sdb_session_t *session, char **arguments, int expected)
{
	char *list = sdb_sql_arguments(session->run.portal->statement->sql);
	char *sql = g_strconcat("SELECT ", list, NULL);
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
	g_free(list);
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

static uint64_t argument_number(const char *text)
{
	return g_ascii_strtoull(text, NULL, 10);
}

/* ---- waits ---- */

static void wait_arm(sdb_session_t *session, int64_t until_us)
{
	struct ev_loop *loop = session->server->loop;
	int64_t wait_us = MAX(until_us - g_get_monotonic_time(), 0);

	ev_timer_stop(loop, &session->timer);
	ev_now_update(loop);
	ev_timer_set(&session->timer, (double)wait_us / G_USEC_PER_SEC, 0);
	ev_timer_start(loop, &session->timer);
	g_hash_table_add(session->server->watchers, GUINT_TO_POINTER(session->pid));
}

static sdb_progress_t watch_continue(sdb_session_t *session)
{
	sdb_run_t *run = &session->run;

	if (session->server->member->version != run->seen ||
	    g_get_monotonic_time() >= run->until_us)
		return status_write(session);
	wait_arm(session, run->until_us);
	return SDB_BLOCKED;
}

static sdb_progress_t watch_start(sdb_session_t *session)
{
	char *arguments[MAX_ARGUMENTS] = { NULL };

	if (arguments_read(session, arguments, 2) == SDB_FAILED)
		return SDB_FAILED;
	session->run.seen = argument_number(arguments[0]);
	session->run.until_us =
		g_get_monotonic_time() + (int64_t)argument_number(arguments[1]) * 1000;
	session->run.step = SDB_STEP_WATCH;
	arguments_clear(arguments);
	return watch_continue(session);
}

/* ---- change of primary ---- */

static sdb_progress_t fence_run(sdb_session_t *session)
{
	sdb_server_t *server = session->server;
	char *arguments[MAX_ARGUMENTS] = { NULL };
	const char *texts[3];
	char promised[24];

	if (arguments_read(session, arguments, 2) == SDB_FAILED)
		return SDB_FAILED;
	texts[0] = sdb_member_fence(server->member, argument_number(arguments[0]), arguments[1]) ?
			   "t" :
			   "f";
	g_snprintf(promised, sizeof(promised), "%" G_GUINT64_FORMAT, server->member->promised_term);
	texts[1] = promised;
	texts[2] = sdb_position_format(sdb_member_held(server->member));
	row_finish(session, texts, G_N_ELEMENTS(texts));
	sdb_server_changed(server);
	arguments_clear(arguments);
	return SDB_DONE;
}

static sdb_progress_t promote_run(sdb_session_t *session)
{
	sdb_server_t *server = session->server;
	char *arguments[MAX_ARGUMENTS] = { NULL };
	const char *texts[2];

	if (arguments_read(session, arguments, 2) == SDB_FAILED)
		return SDB_FAILED;
	texts[0] = sdb_member_promote(server->member, argument_number(arguments[0]), arguments[1],
				      g_get_monotonic_time()) ?
			   "t" :
			   "f";
	sdb_server_changed(server);
	texts[1] = sdb_position_format(sdb_member_held(server->member));
	row_finish(session, texts, G_N_ELEMENTS(texts));
	arguments_clear(arguments);
	return SDB_DONE;
}

static sdb_progress_t follow_run(sdb_session_t *session)
{
	sdb_server_t *server = session->server;
	char *arguments[MAX_ARGUMENTS] = { NULL };
	const char *granted;

	if (arguments_read(session, arguments, 2) == SDB_FAILED)
		return SDB_FAILED;
	granted = sdb_member_follow(server->member, argument_number(arguments[0]), arguments[1],
				    g_get_monotonic_time()) ?
			  "t" :
			  "f";
	row_finish(session, &granted, 1);
	sdb_server_changed(server);
	arguments_clear(arguments);
	return SDB_DONE;
}

/* ---- replication ---- */

static void fetch_write_entry(GByteArray *out, const sdb_entry_t *entry)
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

/* First row: the answer's numbers; then a row an entry. */
static sdb_progress_t fetch_write(sdb_session_t *session)
{
	sdb_run_t *run = &session->run;
	sdb_fetched_t fetched;
	char *numbers;
	jh_v3_value_t value;
	unsigned i;

	sdb_member_answer(session->server->member, &run->fetch, FETCH_MAX_ENTRIES, FETCH_MAX_BYTES,
			  &fetched);
	fetched.waited_us = g_get_monotonic_time() - run->asked_us;
	numbers = g_strdup_printf("%" G_GUINT64_FORMAT " %d %" G_GUINT64_FORMAT
				  " %" G_GUINT64_FORMAT " %" G_GUINT64_FORMAT " %" G_GINT64_FORMAT,
				  fetched.term, fetched.matches, fetched.after, fetched.end,
				  fetched.majority, fetched.waited_us);
	value = (jh_v3_value_t){ .data = (const uint8_t *)numbers, .length = strlen(numbers) };
	jh_v3_write_data_row(session->out, &value, 1);
	for (i = 0; i < fetched.entries->len; i++)
		fetch_write_entry(session->out, g_ptr_array_index(fetched.entries, i));
	g_free(numbers);
	sdb_fetched_clear(&fetched);
	g_strlcpy(run->tag, "SELECT", sizeof(run->tag));
	run->step = SDB_STEP_START;
	return SDB_DONE;
}

static sdb_progress_t fetch_continue(sdb_session_t *session)
{
	sdb_run_t *run = &session->run;
	int64_t now_us = g_get_monotonic_time();

	if (sdb_server_is_cut(session->server, run->fetch.member)) {
		wait_arm(session, now_us + CUT_POLL_US);
		return SDB_BLOCKED;
	}
	sdb_member_hear(session->server->member, &run->fetch);
	if (sdb_member_has_news(session->server->member, &run->fetch) || now_us >= run->until_us)
		return fetch_write(session);
	wait_arm(session, run->until_us);
	return SDB_BLOCKED;
}

static sdb_progress_t fetch_start(sdb_session_t *session)
{
	sdb_run_t *run = &session->run;
	char *arguments[MAX_ARGUMENTS] = { NULL };
	uint64_t majority_before = session->server->member->majority;
	sdb_progress_t progress;

	if (arguments_read(session, arguments, 5) == SDB_FAILED)
		return SDB_FAILED;
	run->fetch.member = g_steal_pointer(&arguments[0]);
	run->fetch.held.term = argument_number(arguments[1]);
	run->fetch.held.index = argument_number(arguments[2]);
	run->fetch.majority = argument_number(arguments[3]);
	run->asked_us = g_get_monotonic_time();
	run->until_us = run->asked_us + (int64_t)argument_number(arguments[4]) * 1000;
	run->step = SDB_STEP_FETCH;
	arguments_clear(arguments);
	progress = fetch_continue(session);
	if (session->server->member->majority != majority_before)
		sdb_server_changed(session->server);
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
		return fence_run(session);
	case SDB_SQL_GROUP_PROMOTE:
		return promote_run(session);
	case SDB_SQL_GROUP_FOLLOW:
		return follow_run(session);
	case SDB_SQL_GROUP_FETCH:
		return fetch_start(session);
	default:
		return status_write(session);
	}
}
