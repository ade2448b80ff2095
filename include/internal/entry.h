#ifndef JH_INTERNAL_ENTRY_H
#define JH_INTERNAL_ENTRY_H

#include "jh_frame.h"
#include "jh_kernel.h"
#include "jh_read_choice.h"
#include "jh_retry.h"
#include "jh_session.h"
#include "jh_sql_scan.h"
#include "jh_v3.h"

/**
 * DOC: The entry task
 *
 * The entry task accepts client connections ("callers") that speak the PostgreSQL protocol. It
 * sends each request of a caller to the VM that owns a suitable database (the "owner"), retries
 * failed attempts where that is safe, and writes the owner's response to the caller. All functions
 * run on the event-loop thread of the task; times are monotonic unless a comment says otherwise.
 *
 * modules/entry.c holds the task itself: listener, configuration, VM list and group views.
 * modules/caller.c holds one client connection, modules/caller_start.c its start-up.
 * modules/caller_message.c collects the messages of a caller into batches. modules/caller_batch.c
 * runs the session commands of a batch and passes the other statements to
 * modules/entry_request.c, which chooses a database and makes the attempts. modules/entry_answer.c
 * receives the responses. modules/entry_set.c holds the session parameters, modules/entry_show.c
 * the SHOW topics of the virtual database. docs/internals/entry.md describes the design.
 */

/** JH_ENTRY_VIRTUAL_ROUTE - name of the virtual database that answers SHOW for operators */
#define JH_ENTRY_VIRTUAL_ROUTE "jasminehill"

/**
 * JH_ENTRY_OPERATORS - team that alone may use the virtual database
 *
 * If the configuration has no such team, every team with a valid key may use it.
 */
#define JH_ENTRY_OPERATORS "operators"

/** JH_ENTRY_MAX_WAITING - maximum number of requests that wait for a view, a retry or quota */
#define JH_ENTRY_MAX_WAITING 10000u

/** JH_KEY_DIGEST_CHARS - length of the SHA-256 digest of a key in hexadecimal */
#define JH_KEY_DIGEST_CHARS 64u

typedef struct _jh_entry _jh_entry_t;
typedef struct _jh_caller _jh_caller_t;
typedef struct _jh_request _jh_request_t;

/* ---- Refusals ---- */

/**
 * enum _jh_refusal - why the entry itself sends an error
 *
 * Each value has an SQLSTATE and a counter in modules/caller.c.
 */
typedef enum _jh_refusal {
	/** @JH_REFUSE_INVALID_KEY: the team's key is wrong or was withdrawn */
	JH_REFUSE_INVALID_KEY,
	/** @JH_REFUSE_TEAM_NOT_ALLOWED: the team may not use the route or the virtual database */
	JH_REFUSE_TEAM_NOT_ALLOWED,
	/** @JH_REFUSE_UNKNOWN_ROUTE: the route does not exist */
	JH_REFUSE_UNKNOWN_ROUTE,
	/** @JH_REFUSE_NO_CONFIG: the entry has no configuration yet */
	JH_REFUSE_NO_CONFIG,
	/** @JH_REFUSE_ISOLATED: the entry may have missed the withdrawal of the key */
	JH_REFUSE_ISOLATED,
	/** @JH_REFUSE_QUOTA: the team is over its rate */
	JH_REFUSE_QUOTA,
	/** @JH_REFUSE_NO_PRIMARY: the group has no primary that takes new work */
	JH_REFUSE_NO_PRIMARY,
	/** @JH_REFUSE_NO_OWNER: no VM owns the database, or its owner changed or is draining */
	JH_REFUSE_NO_OWNER,
	/** @JH_REFUSE_LAGGING: no reachable database has applied the session token's position */
	JH_REFUSE_LAGGING,
	/**
	 * @JH_REFUSE_TOKEN_AHEAD: no database of the group is known to have received the position
	 * of the session token
	 */
	JH_REFUSE_TOKEN_AHEAD,
	/**
	 * @JH_REFUSE_DATA_TOO_OLD: the data of every reachable database is older than the read's
	 * maximum age
	 */
	JH_REFUSE_DATA_TOO_OLD,
	/** @JH_REFUSE_UNREACHABLE: no database is reachable */
	JH_REFUSE_UNREACHABLE,
	/** @JH_REFUSE_OVERLOADED: a queue is full or a batch is too large */
	JH_REFUSE_OVERLOADED,
	/** @JH_REFUSE_DEADLINE: the deadline passed or cannot be met */
	JH_REFUSE_DEADLINE,
	/** @JH_REFUSE_CANCELED: the caller cancelled the request */
	JH_REFUSE_CANCELED,
	/** @JH_REFUSE_OWNER_LOST: the owner was lost, or its response did not arrive completely */
	JH_REFUSE_OWNER_LOST,
	/** @JH_REFUSE_PIN_LOST: the connection of the open transaction is closed */
	JH_REFUSE_PIN_LOST,
	/** @JH_REFUSE_DUPLICATE: the request id was used before, but its response is not stored */
	JH_REFUSE_DUPLICATE,
	/** @JH_REFUSE_NOT_RECORDED: the audit record cannot be stored now */
	JH_REFUSE_NOT_RECORDED,
	/** @JH_REFUSE_SESSION_FULL: the session would write to too many groups */
	JH_REFUSE_SESSION_FULL,
	/** @JH_REFUSE_DRAINING: this entry is shutting down */
	JH_REFUSE_DRAINING,
	/** @JH_REFUSE_TOO_MANY_CALLERS: too many callers are connected */
	JH_REFUSE_TOO_MANY_CALLERS,
	/** @JH_REFUSE_PROTOCOL: a message of the caller is malformed or out of order */
	JH_REFUSE_PROTOCOL,
	/** @JH_REFUSE_UNSUPPORTED: the proxy does not support the command or the value */
	JH_REFUSE_UNSUPPORTED,
	/** @JH_REFUSE_INVALID_VALUE: a parameter or its value is invalid */
	JH_REFUSE_INVALID_VALUE,
	/** @JH_REFUSE_INVALID_TOKEN: the session token is malformed or forged */
	JH_REFUSE_INVALID_TOKEN,
	/** @JH_REFUSE_FAILED_TRANSACTION: the transaction is aborted; only its end is accepted */
	JH_REFUSE_FAILED_TRANSACTION,
	/** @JH_REFUSE_UNKNOWN_STATEMENT: the prepared statement does not exist */
	JH_REFUSE_UNKNOWN_STATEMENT,
	/** @JH_REFUSE_UNKNOWN_PORTAL: the portal does not exist */
	JH_REFUSE_UNKNOWN_PORTAL,
	/** @JH_REFUSAL_COUNT: number of refusals */
	JH_REFUSAL_COUNT,
} _jh_refusal_t;

/** enum _jh_run_outcome - whether a refused request ran */
typedef enum _jh_run_outcome {
	/** @JH_RUN_OUTCOME_NONE: the refusal concerns no request; no DETAIL is sent */
	JH_RUN_OUTCOME_NONE,
	/** @JH_RUN_OUTCOME_NOT_RUN: the request is guaranteed not to have run */
	JH_RUN_OUTCOME_NOT_RUN,
	/** @JH_RUN_OUTCOME_UNKNOWN: the request may have run */
	JH_RUN_OUTCOME_UNKNOWN,
} _jh_run_outcome_t;

/** JH_RETRY_NO_HINT - value of retry_after_ms with which no HINT is sent */
#define JH_RETRY_NO_HINT UINT32_MAX

/**
 * struct _jh_error_report - an ErrorResponse of the entry
 * @refusal: reason; determines the SQLSTATE and the counter
 * @outcome: whether the request ran; sent as DETAIL
 * @retry_after_ms: delay before a retry, in milliseconds, sent as HINT; or JH_RETRY_NO_HINT
 * @fatal: the connection is closed after the error
 * @message: one line of text; longer text is truncated
 */
typedef struct _jh_error_report {
	_jh_refusal_t refusal;
	_jh_run_outcome_t outcome;
	uint32_t retry_after_ms;
	bool fatal;
	char message[256];
} _jh_error_report_t;

/**
 * _jh_error_report_set() - set all fields of a report
 *
 * The report is not fatal, its outcome is JH_RUN_OUTCOME_NOT_RUN, and it has no retry hint.
 *
 * Return: -1, so that a function that fails can return the result of this call
 */
int _jh_error_report_set(_jh_error_report_t *report, _jh_refusal_t refusal, const char *format, ...)
	G_GNUC_PRINTF(3, 4);

/**
 * _jh_error_report_write() - append the ErrorResponse to @out, and increment the counter of the
 * refusal
 */
void _jh_error_report_write(const _jh_error_report_t *report, GByteArray *out);

/* ---- Task ---- */

/**
 * struct _jh_entry_group - a group that requests of callers have used recently
 * @name: interned
 * @view: newest view, owned; NULL until the first one arrives
 * @view_requested_us: time of the last view request
 * @last_used_us: time of the last lookup for a request
 */
typedef struct _jh_entry_group {
	const char *name;
	jh_group_view_t *view;
	int64_t view_requested_us;
	int64_t last_used_us;
} _jh_entry_group_t;

/**
 * struct _jh_entry - state of the entry task
 * @task: the kernel's task
 * @listen_fd: listening socket; -1 while draining
 * @accept_watcher: watches @listen_fd; stopped after a shortage of descriptors or memory
 * @tick_timer: fires once per second
 * @config: newest configuration, one reference; NULL until the first one arrives
 * @isolated: this VM may have missed the withdrawal of a key, so that no key is accepted
 * @record_retry_after_ms: if not 0, the audit record accepts no new requests, and callers are
 *                         told to retry after this time
 * @vms: newest VM list, one reference, array of jh_vm_t *; NULL until the first one arrives
 * @callers: table of _jh_caller_t
 * @requests: table of _jh_request_t; the handle is the request's id in frames
 * @groups: interned name to _jh_entry_group_t
 * @placements: name of a database to _jh_placement_t; emptied when @config or @vms changes
 * @retry_budgets: interned route name to jh_retry_budget_t
 * @random: random numbers for the jitter of retry delays
 * @waiting_count: number of requests that wait for a view, a retry or quota
 * @is_draining: the daemon is shutting down; requests outside of a transaction are refused
 * @close_idle_us: while draining, the time from which idle callers are closed
 * @input: buffer for one read() of any caller
 */
struct _jh_entry {
	jh_task_t *task;
	int listen_fd;
	ev_io accept_watcher;
	ev_timer tick_timer;
	jh_config_t *config;
	bool isolated;
	uint32_t record_retry_after_ms;
	GPtrArray *vms;
	jh_table_t *callers;
	jh_table_t *requests;
	GHashTable *groups;
	GHashTable *placements;
	GHashTable *retry_budgets;
	GRand *random;
	unsigned waiting_count;
	bool is_draining;
	int64_t close_idle_us;
	uint8_t *input;
};

/**
 * _jh_entry_group_get() - find or add a group, and request its view if the last request is too old
 * @name: name of the group; need not be interned
 *
 * Return: borrowed until a tick removes the group as unused; its view may be NULL
 */
_jh_entry_group_t *_jh_entry_group_get(_jh_entry_t *entry, const char *name);

/**
 * struct _jh_placement - a database and the VM that owns it
 * @database: row of the database, borrowed from the configuration; NULL if the database is unknown
 *            or departing, so that it gets no new work
 * @owner: interned name of the VM; NULL if @database is NULL or no VM can own it
 */
typedef struct _jh_placement {
	const jh_database_t *database;
	const char *owner;
} _jh_placement_t;

/**
 * _jh_entry_placement_get() - find the row and the owner of a database
 *
 * Return: borrowed until the next configuration or VM list; never NULL
 */
const _jh_placement_t *_jh_entry_placement_get(_jh_entry_t *entry, const char *database);

/** _jh_entry_now_us() - Return: monotonic time in microseconds */
int64_t _jh_entry_now_us(const _jh_entry_t *entry);

/* ---- Batches ---- */

/**
 * struct _jh_batch - messages of a caller up to Sync, Flush or the end of a simple query
 * @ops: array of Jh__Op *, owned; NULL once a request owns the array
 * @bytes: total length of the messages, compared with the limit of a batch
 * @simple: the batch is one simple query
 * @ends_with_sync: the batch ends with Sync or is a simple query, so that ReadyForQuery follows its
 *                  response
 * @failed: a message was refused, and no statement of the batch runs
 * @report: error of the refused message; valid if @failed
 */
typedef struct _jh_batch {
	GPtrArray *ops;
	size_t bytes;
	bool simple;
	bool ends_with_sync;
	bool failed;
	_jh_error_report_t report;
} _jh_batch_t;

/** _jh_op_free() - free a Jh__Op that was initialized with jh__op__init() */
void _jh_op_free(void *op);

/** _jh_op_copy() - deep copy. Return: new; free with _jh_op_free() */
Jh__Op *_jh_op_copy(const Jh__Op *op);

/** _jh_batch_new() - Return: new empty batch; free with _jh_batch_free() */
_jh_batch_t *_jh_batch_new(void);

/** _jh_batch_free() - free a batch and the ops that it still owns */
void _jh_batch_free(_jh_batch_t *batch);

/**
 * _jh_batch_run() - run a batch
 *
 * Takes ownership of the batch. Errors are written to the caller. The caller must have no request
 * in progress.
 */
void _jh_batch_run(_jh_caller_t *caller, _jh_batch_t *batch);

/* ---- Callers ---- */

/** enum _jh_caller_state - phase of a client connection */
typedef enum _jh_caller_state {
	/** @JH_CALLER_STARTUP: waits for the start-up message */
	JH_CALLER_STARTUP,
	/** @JH_CALLER_PASSWORD: waits for the key */
	JH_CALLER_PASSWORD,
	/** @JH_CALLER_READY: accepts statements */
	JH_CALLER_READY,
	/** @JH_CALLER_CLOSING: writes the remaining output, then waits for the client to close */
	JH_CALLER_CLOSING,
	/** @JH_CALLER_DEAD: the connection is closed or failed; the caller is to be freed */
	JH_CALLER_DEAD,
} _jh_caller_state_t;

/**
 * struct _jh_prepared_statement - a prepared statement, stored at the entry
 * @sql: text of the statement, owned
 * @types: type OIDs of the parameters, array of uint32_t, owned; NULL if the client gave none
 */
typedef struct _jh_prepared_statement {
	char *sql;
	GArray *types;
} _jh_prepared_statement_t;

/**
 * struct _jh_pin - connection to a database that is reserved for an open transaction
 * @id: number of the pin at the owner; 0 if there is no pinned connection
 * @vm: interned name of the owner
 * @boot: boot id of the owner
 * @database: interned name of the database
 */
typedef struct _jh_pin {
	uint64_t id;
	const char *vm;
	uint64_t boot;
	const char *database;
} _jh_pin_t;

/**
 * struct _jh_caller - one client connection
 * @entry: borrowed
 * @handle: its handle in @entry->callers; also the session's number in logs and frames
 * @read: watches @fd for input
 * @write: watches @fd until it can be written to, while there is output
 * @timer: timeout of the start-up, and later of the wait for the client to close
 * @reader: bytes received and not parsed yet; holds no memory while there are none
 * @out: output that is not written completely; NULL while there is none
 * @sent_bytes: number of bytes of @out that were written
 * @secret: secret key of BackendKeyData, with which a client authenticates a cancel request
 * @route: interned; NULL if the client named an unknown route
 * @team: interned; NULL if the client named an unknown team, or the route needs no key (then "" in
 *        _jh_request_t)
 * @digest: hexadecimal SHA-256 of the key that the client sent; empty if it sent none
 * @session: positions of the session's writes, for read-your-writes
 * @session_changed_us: time when a write or a token last extended @session
 * @max_age_ms: maximum age of data that reads accept; valid if @has_max_age
 * @deadline_ms: time limit of a request; if 0, the limit of the route applies
 * @param_values: values of stored parameters, by index of the parameter table; NULL if there are
 * none
 * @request_id: idempotency key of the next request, owned; NULL if none
 * @statements: name to _jh_prepared_statement_t; NULL while there are none
 * @batch: batch that is being collected, owned; NULL while there is none
 * @request: request in progress; JH_HANDLE_NONE while there is none
 * @pin: connection of the open transaction
 * @fd: socket, owned
 * @state: phase of the connection
 * @transaction: transaction status as in ReadyForQuery: 'I' idle, 'T' open, 'E' failed
 * @has_max_age: the client set a maximum age
 * @read_only: default_transaction_read_only is on
 * @transaction_lost: the pinned connection of the open transaction is closed; the entry itself
 *                    refuses the statements that follow, until the caller ends the transaction
 * @tx_read_only: the open transaction was started as read only
 * @awaits_sync: the connection stayed pinned after a request without Sync; the next Sync of the
 *               caller is sent to its owner
 * @discards_until_sync: a batch failed; messages are discarded up to the next Sync
 * @running: _jh_caller_resume() is handling messages; nested calls return without effect
 * @is_write_shut: the writing half of the socket is shut down; input is discarded until the client
 *                 closes the connection
 * @is_over_limit: the connection exceeds max_callers; it is refused after its start-up message
 */
struct _jh_caller {
	_jh_entry_t *entry;
	jh_handle_t handle;
	ev_io read_watcher;
	ev_io write_watcher;
	ev_timer timer;
	jh_v3_reader_t reader;
	GByteArray *out;
	size_t sent_bytes;
	uint32_t secret;
	const char *route;
	const char *team;
	char key_digest[JH_KEY_DIGEST_CHARS + 1];
	jh_session_t session;
	int64_t session_changed_us;
	int64_t max_age_ms;
	int64_t deadline_ms;
	char **param_values;
	char *request_id;
	GHashTable *statements;
	_jh_batch_t *batch;
	jh_handle_t request;
	_jh_pin_t pin;
	int fd;
	_jh_caller_state_t state;
	char transaction;
	bool has_max_age;
	bool read_only;
	bool transaction_lost;
	bool tx_read_only;
	bool awaits_sync;
	bool discards_until_sync;
	bool running;
	bool is_write_shut;
	bool is_over_limit;
};

/**
 * _jh_caller_new() - add a caller for an accepted socket
 * @fd: socket; the caller takes ownership of it
 * @is_over_limit: refuse the caller after its start-up message, since there are too many
 */
void _jh_caller_new(_jh_entry_t *entry, int fd, bool is_over_limit);

/**
 * _jh_caller_close() - close the connection immediately and free the caller
 *
 * Abandons the request in progress and releases the pinned connection. Must not be called while
 * _jh_caller_resume() handles messages of this caller.
 */
void _jh_caller_close(_jh_caller_t *caller);

/**
 * _jh_caller_get_output() - get the buffer to which messages for the client are appended
 *
 * Return: borrowed; never NULL
 */
GByteArray *_jh_caller_get_output(_jh_caller_t *caller);

/**
 * _jh_caller_apply_state() - write output, update the watchers, and close the connection if its
 * state asks for that
 *
 * Frees @caller if the connection is dead or its client reads too slowly.
 */
void _jh_caller_apply_state(_jh_caller_t *caller);

/**
 * _jh_caller_resume() - handle received messages until a request is in progress, then apply the
 * state
 *
 * Has no effect if it is called while it handles messages of the same caller. May free @caller.
 */
void _jh_caller_resume(_jh_caller_t *caller);

/** _jh_caller_write_error() - append an ErrorResponse; a fatal one starts closing the connection */
void _jh_caller_write_error(_jh_caller_t *caller, const _jh_error_report_t *report);

/** _jh_caller_write_protocol_error() - report and clear @err, and start to close the connection */
void _jh_caller_write_protocol_error(_jh_caller_t *caller, jh_error_t *err);

/** _jh_caller_write_ready() - append ReadyForQuery with the transaction status */
void _jh_caller_write_ready(_jh_caller_t *caller);

/** _jh_caller_write_session() - append a ParameterStatus with the session token */
void _jh_caller_write_session(_jh_caller_t *caller);

/**
 * _jh_caller_close_if_idle() - close the connection if it is idle or still in its start-up
 *
 * A caller with an open transaction, a request or an unfinished batch is left open. May free
 * @caller.
 */
void _jh_caller_close_if_idle(_jh_caller_t *caller);

/**
 * _jh_caller_drop_pin() - clear the pinned connection and mark an open transaction as failed
 * @release: tell the owner to roll back and release the connection; false if the connection is
 *           closed or the owner has been told already
 */
void _jh_caller_drop_pin(_jh_caller_t *caller, bool release);

/** _jh_caller_handle_startup_message() - handle a message of a connection that is not ready yet */
void _jh_caller_handle_startup_message(_jh_caller_t *caller, const jh_v3_msg_t *msg);

/** _jh_caller_handle_message() - handle a message of a ready connection */
void _jh_caller_handle_message(_jh_caller_t *caller, const jh_v3_msg_t *msg);

/**
 * _jh_caller_authorize() - check key and route against the newest configuration
 *
 * Return: the route, borrowed from the configuration; NULL with @report set. A report of an invalid
 * key is fatal.
 */
const jh_route_t *_jh_caller_authorize(_jh_caller_t *caller, _jh_error_report_t *report);

/**
 * _jh_caller_authorize_virtual() - check that the caller may use the virtual database
 *
 * Return: 0, or -1 with @report set
 */
int _jh_caller_authorize_virtual(_jh_caller_t *caller, _jh_error_report_t *report);

/** _jh_caller_is_virtual() - Return: true if the caller uses the virtual database for operators */
bool _jh_caller_is_virtual(const _jh_caller_t *caller);

/* ---- Session parameters ---- */

/**
 * _jh_param_set() - set a session parameter
 * @name: name of the parameter, in any case
 * @value: new value, NULL for the default
 *
 * Appends a ParameterStatus message if the parameter is a reported one and the caller is ready; at
 * start-up, _jh_params_report_all() reports all values.
 *
 * Return: 0, or -1 with @report set and no parameter changed
 */
int _jh_param_set(_jh_caller_t *caller, const char *name, const char *value,
		  _jh_error_report_t *report);

/** _jh_params_reset_all() - set all parameters to their defaults, except route and session token */
void _jh_params_reset_all(_jh_caller_t *caller);

/** _jh_param_show() - get the value of a parameter. Return: new text; NULL if it is unknown */
char *_jh_param_show(_jh_caller_t *caller, const char *name);

/** _jh_params_report_all() - append the ParameterStatus messages that clients expect at start-up */
void _jh_params_report_all(_jh_caller_t *caller);

/**
 * _jh_params_set_options() - set the parameters that the start-up parameter "options" names
 *
 * Options before the one that failed stay set.
 *
 * Return: 0, or -1 with @report set
 */
int _jh_params_set_options(_jh_caller_t *caller, const char *options, _jh_error_report_t *report);

/** _jh_params_free() - free the stored values; the parameters then have their defaults */
void _jh_params_free(_jh_caller_t *caller);

/**
 * _jh_show_topic() - get the rows of a SHOW topic of the virtual database, from the module that has
 * it
 *
 * Return: new; free with jh_rows_free(); NULL if no module has the topic
 */
jh_rows_t *_jh_show_topic(_jh_entry_t *entry, const char *topic);

/**
 * _jh_entry_show() - get the rows of a SHOW topic of the entry module
 *
 * Return: new; free with jh_rows_free(); NULL if the entry has no such topic
 */
jh_rows_t *_jh_entry_show(_jh_entry_t *entry, const char *topic);

/* ---- Requests ---- */

/** enum _jh_request_state - progress of a request */
typedef enum _jh_request_state {
	/** @JH_REQUEST_QUOTA: waits for the reply of the quota task */
	JH_REQUEST_QUOTA,
	/** @JH_REQUEST_WAITING: waits for a view in which a database can serve it */
	JH_REQUEST_WAITING,
	/** @JH_REQUEST_BACKOFF: waits for the delay before a retry */
	JH_REQUEST_BACKOFF,
	/** @JH_REQUEST_SENT: an attempt was sent to an owner, whose response is not complete */
	JH_REQUEST_SENT,
	/**
	 * @JH_REQUEST_RECORDING: the response is complete, and its audit record has no backup copy
	 * yet; also the state of a request without an attempt in progress while it is created or
	 * refused
	 */
	JH_REQUEST_RECORDING,
} _jh_request_state_t;

/**
 * struct _jh_response - response to the current attempt of a request
 * @buffer: messages that are not released to the caller yet, owned; NULL if none arrived
 * @first_complete_offset: offset in @buffer of the first CommandComplete or PortalSuspended;
 *                         G_MAXUINT if none arrived
 * @last_complete_offset: offset in @buffer of the last CommandComplete or PortalSuspended
 * @next_sequence: sequence number of the next part
 * @received_bytes: total length of all parts
 * @acknowledged_bytes: value of @received_bytes that was last acknowledged to the owner
 * @parse_complete_count: number of ParseComplete messages received
 * @released: messages have been released to the caller, by this attempt or an earlier one
 */
typedef struct _jh_response {
	GByteArray *buffer;
	guint first_complete_offset;
	guint last_complete_offset;
	uint32_t next_sequence;
	uint64_t received_bytes;
	uint64_t acknowledged_bytes;
	unsigned parse_complete_count;
	bool released;
} _jh_response_t;

/**
 * struct _jh_request - statements of a batch that a database runs
 * @entry: borrowed
 * @handle: its handle in @entry->requests; also its id in frames
 * @caller: handle of the caller; looked up for each use, since the caller may be freed before
 * @state: progress of the request
 * @route: interned
 * @group: interned
 * @team: interned; empty if the route needs no key
 * @ops: array of Jh__Op *, owned; kept for retries
 * @request_id: idempotency key, owned; NULL if none
 * @cost: number of statements that count against the team's rate
 * @ends_with_sync: ReadyForQuery follows the response
 * @is_write: needs the primary
 * @repeatable: the route allows its requests to run more than once
 * @safe_to_retry: another attempt is allowed after one whose outcome is unknown, because running
 *                 the statements twice is harmless or the owner runs the request id only once
 * @may_have_run: the outcome of an earlier attempt is unknown
 * @wrote: the request advanced the session's position
 * @failed: the response contains an error of the database
 * @need: freshness requirement, for reads
 * @deadline_us: time until which the request must be complete
 * @deadline_timer: fires at @deadline_us
 * @placement_timer: fires when a database is to be chosen for the request again
 * @attempt: number of the current attempt, from 1; 0 before the first
 * @vm: interned; owner that got the current attempt
 * @database: interned; database of the current attempt
 * @excluded_database: interned; database that the next attempt avoids because the last one failed
 *                     there; NULL if none
 * @term: term of the view by which the database of the current attempt was chosen
 * @pin: pinned connection of the transaction that the request belongs to
 * @reason: why the request waits or its last attempt failed; the error if it is refused now
 * @response: response to the current attempt
 */
struct _jh_request {
	_jh_entry_t *entry;
	jh_handle_t handle;
	jh_handle_t caller;
	_jh_request_state_t state;
	const char *route;
	const char *group;
	const char *team;
	GPtrArray *ops;
	char *request_id;
	unsigned cost;
	bool ends_with_sync;
	bool is_write;
	bool repeatable;
	bool safe_to_retry;
	bool may_have_run;
	bool wrote;
	bool failed;
	jh_read_need_t need;
	int64_t deadline_us;
	ev_timer deadline_timer;
	ev_timer placement_timer;
	uint32_t attempt;
	const char *vm;
	const char *database;
	const char *excluded_database;
	uint64_t term;
	_jh_pin_t pin;
	_jh_error_report_t reason;
	_jh_response_t response;
};

/**
 * struct _jh_request_traits - properties of a request that its statements determine
 * @ends_with_sync: ReadyForQuery follows the response
 * @begins_read_only: the statements start with BEGIN READ ONLY, and none follows the end of that
 *                    transaction
 * @controls_transaction: a statement begins or ends a transaction
 * @cost: number of statements that count against the team's rate
 */
typedef struct _jh_request_traits {
	bool ends_with_sync;
	bool begins_read_only;
	bool controls_transaction;
	unsigned cost;
} _jh_request_traits_t;

/**
 * _jh_request_new() - start a request for a caller that has none in progress
 * @ops: array of Jh__Op *; takes ownership of it
 *
 * Checks key, route and limits first; an error is written to the caller.
 */
void _jh_request_new(_jh_caller_t *caller, GPtrArray *ops, const _jh_request_traits_t *traits);

/** _jh_request_place() - send a waiting request to an owner, or let it wait for a newer view */
void _jh_request_place(_jh_request_t *request);

/**
 * _jh_request_on_view() - handle a newer view or configuration
 *
 * Chooses a database again if the request waits for a view, or if it waits for a retry and the term
 * of the view is newer.
 */
void _jh_request_on_view(_jh_request_t *request);

/**
 * _jh_request_on_vms() - handle a newer VM list
 *
 * An attempt has failed if its owner is dead or not listed, or if the owner is suspected and the
 * request can be retried safely. A request that waits for a retry is sent again as soon as its
 * database has another owner. In all other cases this does what _jh_request_on_view() does.
 */
void _jh_request_on_vms(_jh_request_t *request);

/** _jh_request_on_quota() - handle the reply of the quota task; may free @request */
void _jh_request_on_quota(_jh_request_t *request, bool granted, uint32_t retry_after_ms);

/**
 * _jh_request_retry() - handle an attempt that failed: schedule another one or refuse the request
 * @after_ms: minimum delay that the owner asked for, 0 if none
 *
 * request->reason must say why the attempt failed. May free @request.
 */
void _jh_request_retry(_jh_request_t *request, jh_retry_outcome_t outcome, uint32_t after_ms);

/**
 * _jh_request_fail() - refuse the request after an attempt that failed, without another attempt
 * @after_ms: delay that the caller is told to wait before a retry; raised to a minimum
 *
 * request->reason must say why the attempt failed. Frees @request.
 */
void _jh_request_fail(_jh_request_t *request, jh_retry_outcome_t outcome, uint32_t after_ms);

/**
 * _jh_request_refuse() - write an error to the caller, free the request, and resume the caller
 *
 * An attempt in progress is cancelled at its owner, and an open transaction fails.
 */
void _jh_request_refuse(_jh_request_t *request, const _jh_error_report_t *report);

/** _jh_request_abandon() - free the request of a closed caller; cancels its attempt at the owner */
void _jh_request_abandon(_jh_request_t *request);

/** _jh_request_cancel() - refuse a cancelled request; no effect once its response is complete */
void _jh_request_cancel(_jh_request_t *request);

/** _jh_request_on_peer_down() - handle the loss of the owner that has the current attempt */
void _jh_request_on_peer_down(_jh_request_t *request);

/** _jh_request_free() - free the request without a message to owner or caller */
void _jh_request_free(_jh_request_t *request);

/**
 * _jh_release_send() - tell an owner to cancel a request, to release a pinned connection, or both
 * @request_handle: handle of the request; 0 for none
 * @pin_id: id of the pinned connection; 0 for none
 */
void _jh_release_send(_jh_entry_t *entry, const char *vm, uint64_t request_handle, uint64_t pin_id);

/* ---- Responses ---- */

/** _jh_response_on_part() - handle a frame with a part of a response */
void _jh_response_on_part(_jh_entry_t *entry, const jh_frame_msg_t *msg);

/**
 * _jh_response_acknowledge() - let the owner send more of the response to @caller's request
 *
 * Must be called only while little output for the caller is unsent. Sends a frame only if enough
 * bytes have arrived since the last one, and none if no response is being received.
 */
void _jh_response_acknowledge(_jh_caller_t *caller);

/** _jh_response_on_end() - handle a frame that ends an attempt, with or without a response */
void _jh_response_on_end(_jh_entry_t *entry, const jh_frame_msg_t *msg);

/**
 * _jh_response_on_recorded() - release the response if its audit record is stored durably, else
 * refuse the request
 * @is_recorded: the audit record has a backup copy
 * @retry_after_ms: delay that the caller is told to wait before a retry; used if not @is_recorded
 */
void _jh_response_on_recorded(_jh_request_t *request, bool is_recorded, uint32_t retry_after_ms);

/** _jh_response_reset() - clear the response to an attempt; @released keeps its value */
void _jh_response_reset(_jh_response_t *response);

#endif
