#ifndef SDB_SESSION_H
#define SDB_SESSION_H

#include "server.h"
#include "sql.h"
#include "value.h"

/**
 * DOC: Sessions
 *
 * session.c speaks the protocol, execute.c runs statements, transaction.c keeps transactions and
 * parameter.c the session's settings.
 */

/**
 * struct sdb_statement - a prepared statement, shared by count of references
 * @sql: its text
 * @types: array of uint32_t, types of the parameters
 * @columns: array of sdb_column_t, none if it gives no rows
 */
typedef struct sdb_statement {
	sdb_sql_t *sql;
	GArray *types;
	GArray *columns;
} sdb_statement_t;

/**
 * struct sdb_portal - a statement with its values, ready to run
 * @statement: one reference
 * @values: array of sdb_value_t
 * @formats: array of int16_t, formats of the result, may be NULL
 * @stmt: its run by SQLite, or NULL
 * @rows: rows given so far
 * @done: no more rows
 */
typedef struct sdb_portal {
	sdb_statement_t *statement;
	GArray *values;
	GArray *formats;
	sqlite3_stmt *stmt;
	uint64_t rows;
	bool done;
} sdb_portal_t;

/** enum sdb_step - how far a statement has come */
typedef enum sdb_step {
	SDB_STEP_NONE,
	SDB_STEP_START,
	SDB_STEP_LOCK,
	SDB_STEP_SLOT,
	SDB_STEP_RUN,
	SDB_STEP_SLEEP,
	SDB_STEP_WATCH,
	SDB_STEP_FETCH,
} sdb_step_t;

/** enum sdb_progress - what a call that runs a statement came to */
typedef enum sdb_progress {
	SDB_DONE,
	SDB_BLOCKED,
	SDB_FAILED,
} sdb_progress_t;

/**
 * struct sdb_run - the statement that a session runs
 * @step: how far it is
 * @portal: what is run; borrowed
 * @describe: send RowDescription before the rows
 * @max_rows: rows to give, 0 for all
 * @has_slot: it holds a slot
 * @cancelled: a cancel request came
 * @sleep_us: time that pg_sleep() asked for
 * @until_us: end of a wait
 * @tag: of CommandComplete
 * @seen: group_watch(): version known
 * @fetch: group_fetch(): question
 * @asked_us: group_fetch(): when it came
 */
typedef struct sdb_run {
	sdb_step_t step;
	sdb_portal_t *portal;
	bool describe;
	uint32_t max_rows;
	bool has_slot;
	bool cancelled;
	int64_t sleep_us;
	int64_t until_us;
	char tag[64];
	uint64_t seen;
	sdb_fetch_t fetch;
	int64_t asked_us;
} sdb_run_t;

/**
 * struct sdb_transaction - the session's transaction
 * @block: 'I' none (or implicit), 'T' explicit, 'E' explicit and failed
 * @read_only: it may not write
 * @began: SQLite has a transaction open
 * @lost: it was ended because the member is no longer primary
 * @savepoints: open in it
 * @payload: statements that wrote
 * @changes_before: SQLite's count of changes at its begin
 * @changed_schema: it created or dropped something
 */
typedef struct sdb_transaction {
	char block;
	bool read_only;
	bool began;
	bool lost;
	unsigned savepoints;
	GByteArray *payload;
	int changes_before;
	bool changed_schema;
} sdb_transaction_t;

typedef enum sdb_phase {
	SDB_PHASE_STARTUP,
	SDB_PHASE_OPENING,
	SDB_PHASE_READY,
	SDB_PHASE_CLOSING,
} sdb_phase_t;

/**
 * struct sdb_session - a connection
 * @server: borrowed
 * @pid: its key in the server's table
 * @secret: for cancel requests
 * @fd: socket
 * @readable: watcher
 * @writable: watcher
 * @reader: bytes received
 * @out: answers written in this turn
 * @delayed: queue of answers that wait for the network delay
 * @wire: bytes for the socket
 * @delay: fires when the first of them is due
 * @phase: of the connection's life
 * @is_member: it belongs to another member of the group
 * @is_counted: it counts against the connections
 * @parameters: settings of the session, name to value
 * @transaction: its transaction
 * @db: its SQLite connection
 * @generation: of the data that @db is on
 * @statements: by name
 * @portals: by name
 * @skip_until_sync: an error came in the extended protocol
 * @query: text of the simple query that is run, or NULL
 * @query_at: next statement in it
 * @query_ran: a statement of it has run
 * @simple: portal of its present statement
 * @run: statement that is run
 * @timer: ends its waits, or the opening
 * @told: position last reported
 * @moved: a commit of this session moved the log
 * @ran_on_primary: a statement of this transaction ran while the member was primary
 */
struct sdb_session {
	sdb_server_t *server;
	uint32_t pid;
	uint32_t secret;
	int fd;
	ev_io readable;
	ev_io writable;
	jh_v3_reader_t reader;
	GByteArray *out;
	GQueue delayed;
	GByteArray *wire;
	ev_timer delay;
	sdb_phase_t phase;
	bool is_member;
	bool is_counted;
	GHashTable *parameters;
	sdb_transaction_t transaction;
	sqlite3 *db;
	unsigned generation;
	GHashTable *statements;
	GHashTable *portals;
	bool skip_until_sync;
	char *query;
	size_t query_at;
	bool query_ran;
	sdb_portal_t *simple;
	sdb_run_t run;
	ev_timer timer;
	jh_position_t told;
	bool moved;
	bool ran_on_primary;
};

/* ---- session.c ---- */

/** sdb_session_new() - serve an accepted socket. Return: new, owned by the server's table */
sdb_session_t *sdb_session_new(sdb_server_t *server, int fd);
void sdb_session_free(void *session);

/** sdb_session_run() - go on with what it was doing; it may be freed */
void sdb_session_run(sdb_session_t *session);

/** sdb_session_cancel() - end the statement that it runs */
void sdb_session_cancel(sdb_session_t *session);

/* ---- execute.c ---- */

/** sdb_error() - write an ErrorResponse. Return: SDB_FAILED */
sdb_progress_t sdb_error(sdb_session_t *session, const char *sqlstate, const char *format, ...)
	G_GNUC_PRINTF(3, 4);

/** sdb_statement_new() - prepare; takes @sql and @types over. Return: NULL after sdb_error() */
sdb_statement_t *sdb_statement_new(sdb_session_t *session, sdb_sql_t *sql, GArray *types);
void sdb_statement_unref(void *statement);

/** sdb_portal_new() - takes the values and formats over. Return: new */
sdb_portal_t *sdb_portal_new(sdb_statement_t *statement, GArray *values, GArray *formats);
void sdb_portal_free(void *portal);

/** sdb_describe() - write RowDescription or NoData */
void sdb_describe(sdb_session_t *session, const sdb_statement_t *statement, const GArray *formats);

/** sdb_run_start() - start to run a portal; follow up with sdb_run_continue() */
void sdb_run_start(sdb_session_t *session, sdb_portal_t *portal, bool describe, uint32_t max_rows);
sdb_progress_t sdb_run_continue(sdb_session_t *session);

/** sdb_run_drop() - give up what the running statement holds */
void sdb_run_drop(sdb_session_t *session);

/** sdb_session_db() - its SQLite connection on the present data. Return: borrowed or NULL */
sqlite3 *sdb_session_db(sdb_session_t *session);

/* ---- group.c ---- */

/** sdb_group_columns() - columns of the answer, none for other kinds */
GArray *sdb_group_columns(sdb_sql_kind_t kind);

/** sdb_group_run() - run a group_...() statement */
sdb_progress_t sdb_group_run(sdb_session_t *session);

/* ---- transaction.c ---- */

void sdb_transaction_init(sdb_transaction_t *transaction);
void sdb_transaction_clear(sdb_transaction_t *transaction);
bool sdb_transaction_is_read_only(const sdb_session_t *session);

/** sdb_transaction_open() - begin SQLite's transaction if it is not. Return: SDB_DONE or failed */
sdb_progress_t sdb_transaction_open(sdb_session_t *session, bool write);

/** sdb_transaction_commit() - end it; appends to the log. Return: SDB_DONE, or SDB_FAILED */
sdb_progress_t sdb_transaction_commit(sdb_session_t *session);
void sdb_transaction_rollback(sdb_session_t *session);

/** sdb_transaction_fail() - an error came: roll back, or mark the block as failed */
void sdb_transaction_fail(sdb_session_t *session);

/** sdb_transaction_lose() - the member is no longer primary */
void sdb_transaction_lose(sdb_session_t *session);

/** sdb_transaction_run() - BEGIN, COMMIT, ROLLBACK, SAVEPOINT, RELEASE */
sdb_progress_t sdb_transaction_run(sdb_session_t *session, const sdb_sql_t *sql);

/* ---- parameter.c ---- */

/** sdb_parameters_new() - defaults. Return: new table of strings */
GHashTable *sdb_parameters_new(void);

/** sdb_parameters_report() - write ParameterStatus of those that clients are told */
void sdb_parameters_report(sdb_session_t *session);

/** sdb_parameters_set_standby() - set in_hot_standby; told to the client if it changes */
void sdb_parameters_set_standby(sdb_session_t *session, bool standby);

/** sdb_parameters_start() - take one from the start-up packet */
void sdb_parameters_start(sdb_session_t *session, const char *name, const char *value);

/** sdb_parameters_run() - SET, RESET, SHOW or DISCARD */
sdb_progress_t sdb_parameters_run(sdb_session_t *session, const sdb_sql_t *sql);

/** sdb_row_write() - write a DataRow of texts, formats as the running portal asks */
void sdb_row_write(sdb_session_t *session, const char *const *texts, unsigned count);

#endif
