#ifndef SDB_SESSION_H
#define SDB_SESSION_H

#include "server.h"
#include "sql.h"
#include "value.h"

/**
 * DOC: Sessions
 *
 * A session serves one client connection with PostgreSQL's protocol, version 3. session.c parses
 * messages and writes responses, execute.c runs statements, transaction.c keeps the transaction
 * and the transaction block, parameter.c keeps the session's parameters, and group.c runs the
 * group_...() functions. All functions are called in the thread of the event loop.
 */

/**
 * struct sdb_statement - a prepared statement; reference-counted
 * @sql: parsed statement; owned
 * @parameter_types: array of uint32_t, type OIDs of the parameters; owned
 * @columns: array of sdb_column_t, columns of the result, empty if it returns no rows; owned
 */
typedef struct sdb_statement {
	sdb_sql_t *sql;
	GArray *parameter_types;
	GArray *columns;
} sdb_statement_t;

/**
 * struct sdb_portal - a prepared statement with bound parameter values
 * @statement: one reference
 * @values: array of sdb_value_t, NULL without parameters; one reference
 * @formats: array of int16_t, format codes of the result columns, NULL for text; one reference
 * @stmt: SQLite's compiled statement, NULL until the portal runs; owned
 * @rows_sent: rows sent so far, over all Execute messages for this portal
 * @is_complete: SQLite has returned the last row
 */
typedef struct sdb_portal {
	sdb_statement_t *statement;
	GArray *values;
	GArray *formats;
	sqlite3_stmt *stmt;
	uint64_t rows_sent;
	bool is_complete;
} sdb_portal_t;

/**
 * enum sdb_step - next step of a running statement
 *
 * The order of the values matters: sdb_run_continue() ends the statement when a step is not
 * followed by one with a higher value.
 */
typedef enum sdb_step {
	/** @SDB_STEP_NONE: no statement is running */
	SDB_STEP_NONE,
	/** @SDB_STEP_START: choose what runs the statement; set by a later step: it has ended */
	SDB_STEP_START,
	/** @SDB_STEP_LOCK: acquire the write lock if the statement writes */
	SDB_STEP_LOCK,
	/** @SDB_STEP_SLOT: acquire a slot */
	SDB_STEP_SLOT,
	/** @SDB_STEP_RUN: run it in SQLite */
	SDB_STEP_RUN,
	/** @SDB_STEP_SLEEP: wait for the time that pg_sleep() was called with */
	SDB_STEP_SLEEP,
	/** @SDB_STEP_WATCH: group_watch() waits for a change of the member's status */
	SDB_STEP_WATCH,
	/** @SDB_STEP_FETCH: group_fetch() waits for log entries */
	SDB_STEP_FETCH,
} sdb_step_t;

/** enum sdb_progress - result of a function that runs a statement or a part of it */
typedef enum sdb_progress {
	/** @SDB_DONE: it has succeeded */
	SDB_DONE,
	/** @SDB_BLOCKED: it waits for a lock, a slot, a timer or a change; call again after that */
	SDB_BLOCKED,
	/** @SDB_FAILED: it has failed, and sdb_error() has written the ErrorResponse */
	SDB_FAILED,
} sdb_progress_t;

/**
 * struct sdb_run - the statement that a session is running
 * @step: next step
 * @portal: portal that runs; borrowed
 * @describe: send RowDescription before the rows
 * @max_rows: most rows to send before PortalSuspended, 0 for no limit; ignored for writes
 * @has_slot: it holds a slot of the server
 * @cancelled: a cancel request has arrived
 * @sleep_us: sum of the times that pg_sleep() was called with
 * @wait_until_us: monotonic time when the present wait ends
 * @tag: command tag for CommandComplete, "" if none is set yet
 * @seen_status_version: group_watch(): status version that the client has
 * @fetch: group_fetch(): the request; its member name is owned
 * @fetch_started_us: group_fetch(): monotonic time when the request arrived
 */
typedef struct sdb_run {
	sdb_step_t step;
	sdb_portal_t *portal;
	bool describe;
	uint32_t max_rows;
	bool has_slot;
	bool cancelled;
	int64_t sleep_us;
	int64_t wait_until_us;
	char tag[64];
	uint64_t seen_status_version;
	sdb_fetch_t fetch;
	int64_t fetch_started_us;
} sdb_run_t;

/**
 * struct sdb_transaction - the session's transaction
 * @status: as in ReadyForQuery: 'I' outside a transaction block, 'T' inside, 'E' in a failed one
 * @is_read_only: the transaction block may not write
 * @has_sqlite_transaction: SQLite has a transaction open on the session's connection
 * @aborted_by_demotion: rolled back because the member is no longer primary; not yet reported
 * @savepoint_count: SAVEPOINT statements less RELEASE statements
 * @payload: log entry under construction: the statements that wrote; owned
 * @changes_at_begin: sqlite3_total_changes() when SQLite's transaction began
 * @changed_schema: a CREATE, DROP or ALTER ran; sqlite3_total_changes() does not count these
 */
typedef struct sdb_transaction {
	char status;
	bool is_read_only;
	bool has_sqlite_transaction;
	bool aborted_by_demotion;
	unsigned savepoint_count;
	GByteArray *payload;
	int changes_at_begin;
	bool changed_schema;
} sdb_transaction_t;

/** enum sdb_phase - phase of a connection */
typedef enum sdb_phase {
	/** @SDB_PHASE_STARTUP: no StartupMessage or CancelRequest has arrived */
	SDB_PHASE_STARTUP,
	/** @SDB_PHASE_AUTHENTICATING: AuthenticationOk is delayed by open_ms */
	SDB_PHASE_AUTHENTICATING,
	/** @SDB_PHASE_READY: it accepts messages */
	SDB_PHASE_READY,
	/** @SDB_PHASE_CLOSING: it closes once all output is sent */
	SDB_PHASE_CLOSING,
} sdb_phase_t;

/**
 * struct sdb_session - a client connection
 * @server: borrowed
 * @pid: process id in BackendKeyData, and key in the server's table of sessions
 * @secret: secret key that a CancelRequest must repeat
 * @fd: socket; owned
 * @read_watcher: socket is readable; stopped while too much input is buffered
 * @write_watcher: socket is writable; active while @send_buffer is not empty
 * @reader: received bytes
 * @out: responses written since output was last released; owned
 * @delayed: queue of delayed_response_t, responses that wait for the simulated network delay
 * @send_buffer: bytes to send to the socket; owned
 * @delay_timer: fires when the first of @delayed is due
 * @phase: phase of the connection
 * @is_member: the client is another member of the group
 * @counts_as_caller: it is included in the server's count of callers
 * @parameters: run-time parameters, name to value; owned
 * @transaction: its transaction
 * @db: its SQLite connection, NULL until the first statement; owned
 * @generation: generation of the data file that @db has open
 * @statements: prepared statements by name; owned
 * @portals: by name; owned
 * @skip_until_sync: discard messages until Sync, after an error in the extended protocol
 * @query: text of the simple query that is running, NULL if none; owned
 * @query_offset: byte offset in @query of the statement to run next
 * @query_has_statement: @query contained a statement that is not empty
 * @query_portal: portal of the statement of @query that is running, or NULL; owned
 * @run: statement that is running
 * @timer: ends the waits of @run; before that, the delay of authentication
 * @reported_position: last position sent as the parameter group_position
 * @has_appended: a commit of this session appended to the log since the position was last reported
 * @ran_on_primary: a statement of this transaction ran while the member was primary
 */
struct sdb_session {
	sdb_server_t *server;
	uint32_t pid;
	uint32_t secret;
	int fd;
	ev_io read_watcher;
	ev_io write_watcher;
	jh_v3_reader_t reader;
	GByteArray *out;
	GQueue delayed;
	GByteArray *send_buffer;
	ev_timer delay_timer;
	sdb_phase_t phase;
	bool is_member;
	bool counts_as_caller;
	GHashTable *parameters;
	sdb_transaction_t transaction;
	sqlite3 *db;
	unsigned generation;
	GHashTable *statements;
	GHashTable *portals;
	bool skip_until_sync;
	char *query;
	size_t query_offset;
	bool query_has_statement;
	sdb_portal_t *query_portal;
	sdb_run_t run;
	ev_timer timer;
	jh_position_t reported_position;
	bool has_appended;
	bool ran_on_primary;
};

/* session.c */

/**
 * sdb_session_new() - serve an accepted connection
 * @server: borrowed; must outlive the session
 * @fd: non-blocking socket; the session takes ownership of it
 *
 * Return: new session, owned by the server's table of sessions
 */
sdb_session_t *sdb_session_new(sdb_server_t *server, int fd);

/** sdb_session_free() - close the connection, roll back and free; GDestroyNotify of the table */
void sdb_session_free(void *session);

/**
 * sdb_session_process() - run statements and handle messages until the session must wait
 *
 * Sends the output that is due. Frees the session if its connection is closed or broken.
 */
void sdb_session_process(sdb_session_t *session);

/** sdb_session_cancel() - fail the running statement with 57014; no effect if none is running */
void sdb_session_cancel(sdb_session_t *session);

/* execute.c */

/**
 * sdb_error() - write an ErrorResponse
 *
 * Does not touch the transaction: the caller of the failed statement does that.
 *
 * Return: SDB_FAILED
 */
sdb_progress_t sdb_error(sdb_session_t *session, const char *sqlstate, const char *format, ...)
	G_GNUC_PRINTF(3, 4);

/**
 * sdb_statement_new() - prepare a statement
 * @session: session that prepares it
 * @sql: parsed statement; takes ownership, also on failure
 * @parameter_types: type OIDs of the parameters, 0 where unknown; takes ownership, also on failure
 *
 * Return: new reference, or NULL after sdb_error()
 */
sdb_statement_t *sdb_statement_new(sdb_session_t *session, sdb_sql_t *sql, GArray *parameter_types);

/** sdb_statement_unref() - release a reference; also a GDestroyNotify */
void sdb_statement_unref(void *statement);

/**
 * sdb_portal_new() - make a portal
 * @statement: takes ownership of one reference
 * @values: array of sdb_value_t or NULL; takes ownership of one reference
 * @formats: array of int16_t or NULL; takes ownership of one reference
 *
 * Return: new portal; free with sdb_portal_free()
 */
sdb_portal_t *sdb_portal_new(sdb_statement_t *statement, GArray *values, GArray *formats);

/** sdb_portal_free() - free a portal that is not running; also a GDestroyNotify */
void sdb_portal_free(void *portal);

/** sdb_describe() - write RowDescription, or NoData if the statement returns no rows */
void sdb_describe(sdb_session_t *session, const sdb_statement_t *statement, const GArray *formats);

/**
 * sdb_run_start() - make a portal the running statement
 * @session: session that runs no statement
 * @portal: borrowed until sdb_run_release()
 * @describe: send RowDescription before the rows
 * @max_rows: most rows to send, 0 for no limit
 */
void sdb_run_start(sdb_session_t *session, sdb_portal_t *portal, bool describe, uint32_t max_rows);

/**
 * sdb_run_continue() - run the statement until it ends or must wait
 *
 * Must follow sdb_run_start(). The caller calls sdb_run_release() after SDB_DONE and SDB_FAILED.
 */
sdb_progress_t sdb_run_continue(sdb_session_t *session);

/** sdb_run_release() - end the running statement and release its slot; no effect if none runs */
void sdb_run_release(sdb_session_t *session);

/**
 * sdb_session_db() - the session's SQLite connection
 *
 * Opens it, or reopens it on the data file of the present generation unless a transaction is open.
 *
 * Return: borrowed, or NULL after sdb_error()
 */
sqlite3 *sdb_session_db(sdb_session_t *session);

/* group.c */

/**
 * sdb_group_columns() - result columns of a group_...() function or SHOW
 *
 * Return: new array of sdb_column_t without a clear function; empty for other kinds
 */
GArray *sdb_group_columns(sdb_sql_kind_t kind);

/** sdb_group_run() - start or continue the running statement, a call of a group_...() function */
sdb_progress_t sdb_group_run(sdb_session_t *session);

/* transaction.c */

/** sdb_transaction_init() - set up the zeroed state of a new session; no transaction is open */
void sdb_transaction_init(sdb_transaction_t *transaction);

/** sdb_transaction_clear() - free the contents; the transaction must have ended */
void sdb_transaction_clear(sdb_transaction_t *transaction);

/** sdb_transaction_is_read_only() - true if statements may not write, by SQL's access mode */
bool sdb_transaction_is_read_only(const sdb_session_t *session);

/**
 * sdb_transaction_open() - begin SQLite's transaction; no effect if it is open
 * @session: session with an SQLite connection
 * @is_write: acquire SQLite's write lock; the session must hold the server's write lock
 *
 * Return: SDB_DONE, or SDB_FAILED after sdb_error()
 */
sdb_progress_t sdb_transaction_open(sdb_session_t *session, bool is_write);

/**
 * sdb_transaction_commit() - commit, and append what was written to the log
 *
 * Rolls back and fails if the member is no longer primary. Ends the transaction block in any case.
 *
 * Return: SDB_DONE, also if nothing was open, or SDB_FAILED after sdb_error()
 */
sdb_progress_t sdb_transaction_commit(sdb_session_t *session);

/** sdb_transaction_rollback() - roll back and end the transaction block, if any */
void sdb_transaction_rollback(sdb_session_t *session);

/**
 * sdb_transaction_fail() - apply the effect of a failed statement
 *
 * Outside a transaction block, it rolls back. Inside, it marks the block as failed, and rolls back
 * SQLite's transaction unless there are savepoints.
 */
void sdb_transaction_fail(sdb_session_t *session);

/**
 * sdb_transaction_on_demotion() - roll back because the member is no longer primary
 *
 * Marks a transaction block as failed and schedules the session. The next statement or the commit
 * reports error 25006.
 */
void sdb_transaction_on_demotion(sdb_session_t *session);

/** sdb_transaction_run() - run BEGIN, COMMIT, ROLLBACK, SAVEPOINT, RELEASE or ROLLBACK TO */
sdb_progress_t sdb_transaction_run(sdb_session_t *session, const sdb_sql_t *sql);

/* parameter.c */

/** sdb_parameters_new() - default values of all parameters. Return: new table of strings */
GHashTable *sdb_parameters_new(void);

/** sdb_parameters_report() - write ParameterStatus for all parameters that clients are sent */
void sdb_parameters_report(sdb_session_t *session);

/** sdb_parameters_set_standby() - set in_hot_standby; reports it to the client on a change */
void sdb_parameters_set_standby(sdb_session_t *session, bool standby);

/** sdb_parameters_set_startup() - apply a parameter of the StartupMessage */
void sdb_parameters_set_startup(sdb_session_t *session, const char *name, const char *value);

/** sdb_parameters_run() - run SET, RESET, SHOW or DISCARD */
sdb_progress_t sdb_parameters_run(sdb_session_t *session, const sdb_sql_t *sql);

/**
 * sdb_text_row_write() - write a DataRow of values that are given as text
 * @session: session with a running portal, whose column types and formats apply
 * @texts: values; NULL is SQL's NULL
 * @count: number of @texts; at most the portal's columns
 */
void sdb_text_row_write(sdb_session_t *session, const char *const *texts, unsigned count);

#endif
