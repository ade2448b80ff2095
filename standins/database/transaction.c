#include "session.h"

#include <string.h>

/* ---- state ---- */

void sdb_transaction_init(sdb_transaction_t *transaction)
{
	transaction->status = 'I';
	transaction->payload = g_byte_array_new();
}

void sdb_transaction_clear(sdb_transaction_t *transaction)
{
	g_byte_array_free(transaction->payload, TRUE);
}

static bool default_is_read_only(const sdb_session_t *session)
{
	const char *value =
		g_hash_table_lookup(session->parameters, "default_transaction_read_only");

	return g_strcmp0(value, "on") == 0;
}

bool sdb_transaction_is_read_only(const sdb_session_t *session)
{
	return session->transaction.status == 'I' ? default_is_read_only(session) :
						    session->transaction.is_read_only;
}

static bool sqlite_execute(sdb_session_t *session, const char *sql)
{
	return sqlite3_exec(session->db, sql, NULL, NULL, NULL) == SQLITE_OK;
}

/* Resets the state after SQLite's transaction has ended, and releases the write lock. */
static void transaction_reset(sdb_session_t *session)
{
	sdb_transaction_t *transaction = &session->transaction;

	transaction->has_sqlite_transaction = false;
	transaction->savepoint_count = 0;
	transaction->changed_schema = false;
	g_byte_array_set_size(transaction->payload, 0);
	sdb_server_release_write_lock(session->server, session->pid);
}

static void engine_rollback(sdb_session_t *session)
{
	if (session->transaction.has_sqlite_transaction)
		sqlite_execute(session, "ROLLBACK");
	transaction_reset(session);
}

/* ---- begin, commit and rollback ---- */

/*
 * SQLite's transaction begins at the first write or SAVEPOINT, not at BEGIN. Until then each read
 * sees the newest committed data, as in PostgreSQL's READ COMMITTED.
 */
sdb_progress_t sdb_transaction_open(sdb_session_t *session, bool is_write)
{
	if (session->transaction.has_sqlite_transaction)
		return SDB_DONE;
	if (!sqlite_execute(session, is_write ? "BEGIN IMMEDIATE" : "BEGIN"))
		return sdb_error(session, "40001", "can't begin a transaction: %s",
				 sqlite3_errmsg(session->db));
	session->transaction.has_sqlite_transaction = true;
	session->transaction.changes_at_begin = sqlite3_total_changes(session->db);
	return SDB_DONE;
}

static bool transaction_has_written(const sdb_session_t *session)
{
	const sdb_transaction_t *transaction = &session->transaction;

	return transaction->payload->len > 0 &&
	       (transaction->changed_schema ||
		sqlite3_total_changes(session->db) != transaction->changes_at_begin);
}

static void log_append(sdb_session_t *session)
{
	sdb_server_t *server = session->server;
	GByteArray *payload = session->transaction.payload;
	jh_position_t position = sdb_member_append(
		server->member, g_bytes_new(payload->data, payload->len), g_get_monotonic_time());

	server->engine_applied_index = position.index;
	session->has_appended = true;
}

sdb_progress_t sdb_transaction_commit(sdb_session_t *session)
{
	sdb_server_t *server = session->server;
	bool has_written =
		session->transaction.has_sqlite_transaction && transaction_has_written(session);
	bool aborted_by_demotion = session->transaction.aborted_by_demotion;

	session->transaction.status = 'I';
	session->transaction.aborted_by_demotion = false;
	if (aborted_by_demotion || (has_written && server->member->role != SDB_PRIMARY)) {
		engine_rollback(session);
		return sdb_error(session, "25006", "rolled back: this member is no longer primary");
	}
	if (!session->transaction.has_sqlite_transaction)
		return SDB_DONE;
	if (!sqlite_execute(session, "COMMIT")) {
		sdb_progress_t progress = sdb_error(session, "23503", "can't commit: %s",
						    sqlite3_errmsg(session->db));

		engine_rollback(session);
		return progress;
	}
	if (has_written)
		log_append(session);
	transaction_reset(session);
	if (has_written)
		sdb_server_refresh(server);
	return SDB_DONE;
}

void sdb_transaction_rollback(sdb_session_t *session)
{
	engine_rollback(session);
	session->transaction.status = 'I';
	session->transaction.aborted_by_demotion = false;
}

void sdb_transaction_fail(sdb_session_t *session)
{
	sdb_transaction_t *transaction = &session->transaction;

	if (transaction->status == 'I') {
		sdb_transaction_rollback(session);
		return;
	}
	transaction->status = 'E';
	/* With savepoints, ROLLBACK TO may continue the transaction. */
	if (transaction->savepoint_count == 0)
		engine_rollback(session);
}

void sdb_transaction_on_demotion(sdb_session_t *session)
{
	if (session->run.portal && session->run.portal->stmt)
		sqlite3_reset(session->run.portal->stmt);
	engine_rollback(session);
	session->transaction.aborted_by_demotion = true;
	if (session->transaction.status == 'T')
		session->transaction.status = 'E';
	sdb_server_schedule_session(session->server, session->pid);
}

/* ---- statements ---- */

static sdb_progress_t run_begin(sdb_session_t *session, const sdb_sql_t *sql)
{
	const jh_v3_report_t notice = { .severity = "WARNING",
					.sqlstate = "25001",
					.message = "there is already a transaction in progress" };

	g_strlcpy(session->run.tag, "BEGIN", sizeof(session->run.tag));
	if (session->transaction.status != 'I') {
		jh_v3_write_notice(session->out, &notice);
		return SDB_DONE;
	}
	session->transaction.is_read_only = default_is_read_only(session);
	if (sdb_sql_has_word(sql, "read"))
		session->transaction.is_read_only = sdb_sql_has_word(sql, "only");
	session->transaction.status = 'T';
	return SDB_DONE;
}

static sdb_progress_t run_commit(sdb_session_t *session)
{
	const jh_v3_report_t notice = { .severity = "WARNING",
					.sqlstate = "25P01",
					.message = "there is no transaction in progress" };

	g_strlcpy(session->run.tag, "COMMIT", sizeof(session->run.tag));
	if (session->transaction.status == 'I')
		jh_v3_write_notice(session->out, &notice);
	if (session->transaction.status == 'E' && !session->transaction.aborted_by_demotion) {
		sdb_transaction_rollback(session);
		g_strlcpy(session->run.tag, "ROLLBACK", sizeof(session->run.tag));
		return SDB_DONE;
	}
	return sdb_transaction_commit(session);
}

/*
 * SQLite runs SAVEPOINT, RELEASE and ROLLBACK TO unchanged. They are added to the log entry, so
 * that applying the entry rolls back the same statements.
 */
static sdb_progress_t run_savepoint(sdb_session_t *session, const sdb_sql_t *sql)
{
	static const char *const tags[] = { [SDB_SQL_SAVEPOINT] = "SAVEPOINT",
					    [SDB_SQL_RELEASE] = "RELEASE",
					    [SDB_SQL_ROLLBACK_TO] = "ROLLBACK" };
	sdb_transaction_t *transaction = &session->transaction;

	if (transaction->status == 'I')
		return sdb_error(session, "25P01", "savepoints need a transaction block");
	if (!sqlite_execute(session, sql->text))
		return sdb_error(session, "3B001", "%s", sqlite3_errmsg(session->db));
	if (sql->kind == SDB_SQL_SAVEPOINT)
		transaction->savepoint_count++;
	else if (sql->kind == SDB_SQL_RELEASE && transaction->savepoint_count > 0)
		transaction->savepoint_count--;
	else if (sql->kind == SDB_SQL_ROLLBACK_TO)
		transaction->status = 'T';
	sdb_payload_add(transaction->payload, sql->text, NULL);
	g_strlcpy(session->run.tag, tags[sql->kind], sizeof(session->run.tag));
	return SDB_DONE;
}

sdb_progress_t sdb_transaction_run(sdb_session_t *session, const sdb_sql_t *sql)
{
	switch (sql->kind) {
	case SDB_SQL_BEGIN:
		return run_begin(session, sql);
	case SDB_SQL_COMMIT:
		return run_commit(session);
	case SDB_SQL_ROLLBACK:
		sdb_transaction_rollback(session);
		g_strlcpy(session->run.tag, "ROLLBACK", sizeof(session->run.tag));
		return SDB_DONE;
	default:
		return run_savepoint(session, sql);
	}
}
