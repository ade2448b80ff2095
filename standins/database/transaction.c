#include "session.h"

#include <string.h>

/* ---- state ---- */

void sdb_transaction_init(sdb_transaction_t *transaction)
{
	transaction->block = 'I';
	transaction->payload = g_byte_array_new();
}

void sdb_transaction_clear(sdb_transaction_t *transaction)
{
	g_byte_array_free(transaction->payload, TRUE);
}

static bool default_read_only(const sdb_session_t *session)
{
	const char *value =
		g_hash_table_lookup(session->parameters, "default_transaction_read_only");

	return g_strcmp0(value, "on") == 0;
}

bool sdb_transaction_is_read_only(const sdb_session_t *session)
{
	return session->transaction.block == 'I' ? default_read_only(session) :
						   session->transaction.read_only;
}

static bool execute(sdb_session_t *session, const char *sql)
{
	return sqlite3_exec(session->db, sql, NULL, NULL, NULL) == SQLITE_OK;
}

/* Nothing of it is left in SQLite. */
static void transaction_reset(sdb_session_t *session)
{
	sdb_transaction_t *transaction = &session->transaction;

	transaction->began = false;
	transaction->savepoints = 0;
	transaction->changed_schema = false;
	g_byte_array_set_size(transaction->payload, 0);
	sdb_server_release_write_lock(session->server, session->pid);
}

static void engine_rollback(sdb_session_t *session)
{
	if (session->transaction.began)
		execute(session, "ROLLBACK");
	transaction_reset(session);
}

/* ---- steps ---- */

/*
 * SQLite's transaction begins with the first statement that writes; reads before it see the newest
 * committed data, as PostgreSQL's READ COMMITTED does.
 */
sdb_progress_t sdb_transaction_open(sdb_session_t *session, bool write)
{
	if (session->transaction.began)
		return SDB_DONE;
	if (!execute(session, write ? "BEGIN IMMEDIATE" : "BEGIN"))
		return sdb_error(session, "40001", "can't begin a transaction: %s",
				 sqlite3_errmsg(session->db));
	session->transaction.began = true;
	session->transaction.changes_before = sqlite3_total_changes(session->db);
	return SDB_DONE;
}

static bool transaction_has_written(const sdb_session_t *session)
{
	const sdb_transaction_t *transaction = &session->transaction;

	return transaction->payload->len > 0 &&
	       (transaction->changed_schema ||
		sqlite3_total_changes(session->db) != transaction->changes_before);
}

static void log_append(sdb_session_t *session)
{
	sdb_server_t *server = session->server;
	GByteArray *payload = session->transaction.payload;
	jh_position_t position = sdb_member_append(
		server->member, g_bytes_new(payload->data, payload->len), g_get_monotonic_time());

	server->engine_applied_index = position.index;
	session->moved = true;
}

sdb_progress_t sdb_transaction_commit(sdb_session_t *session)
{
	sdb_server_t *server = session->server;
	bool wrote = session->transaction.began && transaction_has_written(session);
	bool lost = session->transaction.lost;

	session->transaction.block = 'I';
	session->transaction.lost = false;
	if (lost || (wrote && server->member->role != SDB_PRIMARY)) {
		engine_rollback(session);
		return sdb_error(session, "25006", "rolled back: this member is no longer primary");
	}
	if (!session->transaction.began)
		return SDB_DONE;
	if (!execute(session, "COMMIT")) {
		sdb_progress_t failed = sdb_error(session, "23503", "can't commit: %s",
						  sqlite3_errmsg(session->db));

		engine_rollback(session);
		return failed;
	}
	if (wrote)
		log_append(session);
	transaction_reset(session);
	if (wrote)
		sdb_server_refresh(server);
	return SDB_DONE;
}

void sdb_transaction_rollback(sdb_session_t *session)
{
	engine_rollback(session);
	session->transaction.block = 'I';
	session->transaction.lost = false;
}

void sdb_transaction_fail(sdb_session_t *session)
{
	sdb_transaction_t *transaction = &session->transaction;

	if (transaction->block == 'I') {
		sdb_transaction_rollback(session);
		return;
	}
	transaction->block = 'E';
	/* With savepoints there may be a way back. */
	if (transaction->savepoints == 0)
		engine_rollback(session);
}

void sdb_transaction_lose(sdb_session_t *session)
{
	if (session->run.portal && session->run.portal->stmt)
		sqlite3_reset(session->run.portal->stmt);
	engine_rollback(session);
	session->transaction.lost = true;
	if (session->transaction.block == 'T')
		session->transaction.block = 'E';
	sdb_server_schedule_session(session->server, session->pid);
}

/* ---- statements ---- */

static sdb_progress_t run_begin(sdb_session_t *session, const sdb_sql_t *sql)
{
	const jh_v3_report_t notice = { .severity = "WARNING",
					.sqlstate = "25001",
					.message = "there is already a transaction in progress" };

	g_strlcpy(session->run.tag, "BEGIN", sizeof(session->run.tag));
	if (session->transaction.block != 'I') {
		jh_v3_write_notice(session->out, &notice);
		return SDB_DONE;
	}
	session->transaction.read_only = default_read_only(session);
	if (sdb_sql_has_word(sql, "read"))
		session->transaction.read_only = sdb_sql_has_word(sql, "only");
	session->transaction.block = 'T';
	return SDB_DONE;
}

static sdb_progress_t run_commit(sdb_session_t *session)
{
	const jh_v3_report_t notice = { .severity = "WARNING",
					.sqlstate = "25P01",
					.message = "there is no transaction in progress" };

	g_strlcpy(session->run.tag, "COMMIT", sizeof(session->run.tag));
	if (session->transaction.block == 'I')
		jh_v3_write_notice(session->out, &notice);
	if (session->transaction.block == 'E' && !session->transaction.lost) {
		sdb_transaction_rollback(session);
		g_strlcpy(session->run.tag, "ROLLBACK", sizeof(session->run.tag));
		return SDB_DONE;
	}
	return sdb_transaction_commit(session);
}

/* SAVEPOINT, RELEASE and ROLLBACK TO mean the same to SQLite; they are part of the log entry. */
static sdb_progress_t run_savepoint(sdb_session_t *session, const sdb_sql_t *sql)
{
	static const char *const tags[] = { [SDB_SQL_SAVEPOINT] = "SAVEPOINT",
					    [SDB_SQL_RELEASE] = "RELEASE",
					    [SDB_SQL_ROLLBACK_TO] = "ROLLBACK" };
	sdb_transaction_t *transaction = &session->transaction;

	if (transaction->block == 'I')
		return sdb_error(session, "25P01", "savepoints need a transaction block");
	if (!execute(session, sql->text))
		return sdb_error(session, "3B001", "%s", sqlite3_errmsg(session->db));
	if (sql->kind == SDB_SQL_SAVEPOINT)
		transaction->savepoints++;
	else if (sql->kind == SDB_SQL_RELEASE && transaction->savepoints > 0)
		transaction->savepoints--;
	else if (sql->kind == SDB_SQL_ROLLBACK_TO)
		transaction->block = 'T';
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
