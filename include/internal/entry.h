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
 * modules/entry.c keeps the task: listener, configuration, views. modules/caller.c keeps one
 * client connection, modules/caller_start.c its start-up, modules/caller_message.c turns its
 * messages into batches, modules/caller_batch.c runs a batch's session commands and hands the rest
 * to modules/entry_request.c, which places requests, and modules/entry_answer.c, which takes their
 * answers. modules/entry_set.c and modules/entry_show.c answer SET and SHOW. The design note is
 * docs/internals/entry.md.
 */

/** JH_ENTRY_VIRTUAL_ROUTE - database name under which the daemon answers SHOW for operators */
#define JH_ENTRY_VIRTUAL_ROUTE "jasminehill"

/** JH_ENTRY_OPERATORS - the only team that may use that database, if the tables have it */
#define JH_ENTRY_OPERATORS "operators"

/** JH_ENTRY_MAX_WAITING - most requests that wait for a view, a retry or quota */
#define JH_ENTRY_MAX_WAITING 10000u

/** JH_KEY_DIGEST_CHARS - hex SHA-256 of a key */
#define JH_KEY_DIGEST_CHARS 64u

typedef struct _jh_entry _jh_entry_t;
typedef struct _jh_caller _jh_caller_t;
typedef struct _jh_request _jh_request_t;

/* ---- refusals ---- */

/** enum _jh_refusal - why the entry itself answers with an error */
typedef enum _jh_refusal {
	JH_REFUSE_KEY,
	JH_REFUSE_TEAM,
	JH_REFUSE_ROUTE,
	JH_REFUSE_NO_CONFIG,
	JH_REFUSE_ISOLATED,
	JH_REFUSE_QUOTA,
	JH_REFUSE_NO_PRIMARY,
	JH_REFUSE_NO_OWNER,
	JH_REFUSE_BEHIND,
	JH_REFUSE_AHEAD,
	JH_REFUSE_AGE,
	JH_REFUSE_UNREACHABLE,
	JH_REFUSE_OVERLOADED,
	JH_REFUSE_DEADLINE,
	JH_REFUSE_CANCELED,
	JH_REFUSE_LOST,
	JH_REFUSE_PIN_LOST,
	JH_REFUSE_DUPLICATE,
	JH_REFUSE_RECORD,
	JH_REFUSE_SESSION_FULL,
	JH_REFUSE_DRAINING,
	JH_REFUSE_CALLERS,
	JH_REFUSE_PROTOCOL,
	JH_REFUSE_UNSUPPORTED,
	JH_REFUSE_VALUE,
	JH_REFUSE_TOKEN,
	JH_REFUSE_FAILED_TRANSACTION,
	JH_REFUSE_STATEMENT,
	JH_REFUSE_PORTAL,
	JH_REFUSALS,
} _jh_refusal_t;

/** enum _jh_run_outcome - what is known of the refused request */
typedef enum _jh_run_outcome {
	/** @JH_RUN_OUTCOME_NONE: there is no request, e.g. a bad setting */
	JH_RUN_OUTCOME_NONE,
	JH_RUN_OUTCOME_NOT_RUN,
	JH_RUN_OUTCOME_UNKNOWN,
} _jh_run_outcome_t;

/** JH_RETRY_NEVER - value of retry_after_ms that gives no hint */
#define JH_RETRY_NEVER UINT32_MAX

/**
 * struct _jh_report - an ErrorResponse of the entry
 * @refusal: why; gives SQLSTATE and counter
 * @fate: DETAIL
 * @retry_after_ms: HINT, JH_RETRY_NEVER for none
 * @fatal: the connection ends
 * @message: one line
 */
typedef struct _jh_report {
	_jh_refusal_t refusal;
	_jh_run_outcome_t fate;
	uint32_t retry_after_ms;
	bool fatal;
	char message[256];
} _jh_report_t;

/** _jh_report_set() - fill a report in. Return: -1 */
int _jh_report_set(_jh_report_t *report, _jh_refusal_t refusal, const char *format, ...)
	G_GNUC_PRINTF(3, 4);

/** _jh_report_write() - append the ErrorResponse and count it */
void _jh_report_write(const _jh_report_t *report, GByteArray *out);

/* ---- the task ---- */

/**
 * struct _jh_entry_group - what the entry knows of a group that its callers use
 * @view: newest view; NULL until the first
 * @asked_us: when a view was last asked for; 0 never
 * @used_us: when a request last needed it
 */
typedef struct _jh_entry_group {
	const char *name;
	jh_group_view_t *view;
	int64_t asked_us;
	int64_t used_us;
} _jh_entry_group_t;

/**
 * struct _jh_entry - state of the entry task
 * @config: newest configuration; NULL until the first
 * @isolated: the withdrawal of a key may have been missed, so that no key is accepted
 * @record_retry_after_ms: no record of new requests can be kept for so long; 0: it can
 * @vms: newest set of VMs; NULL until the first
 * @callers: table of _jh_caller_t
 * @requests: table of _jh_request_t; the handle is the request's id
 * @groups: interned name to _jh_entry_group_t
 * @places: name of a database to _jh_place_t, as found since the last change of @config or @vms
 * @budgets: interned route name to jh_retry_budget_t
 * @waiting: requests that wait for a view, a retry or quota
 * @draining: new requests are refused
 * @close_us: while draining, idle callers are closed from this time on
 * @input: scratch for one read() of any caller
 */
struct _jh_entry {
	jh_task_t *task;
	int listen_fd;
	ev_io accept;
	ev_timer tick;
	jh_config_t *config;
	bool isolated;
	uint32_t record_retry_after_ms;
	GPtrArray *vms;
	jh_table_t *callers;
	jh_table_t *requests;
	GHashTable *groups;
	GHashTable *places;
	GHashTable *budgets;
	GRand *random;
	unsigned waiting;
	bool draining;
	int64_t close_us;
	uint8_t *input;
};

/** _jh_entry_group() - what is known of a group; asks for its view if needed. Return: borrowed */
_jh_entry_group_t *_jh_entry_group(_jh_entry_t *entry, const char *name);

/**
 * struct _jh_place - where requests for a database go
 * @database: its row; borrowed from the configuration, NULL if it may get no new work
 * @owner: interned name of its owner, NULL if no VM can be
 */
typedef struct _jh_place {
	const jh_database_t *database;
	const char *owner;
} _jh_place_t;

/** _jh_entry_place() - find a database's row and owner. Return: borrowed until either changes */
const _jh_place_t *_jh_entry_place(_jh_entry_t *entry, const char *database);

/** _jh_entry_now_us() - monotonic time */
int64_t _jh_entry_now_us(const _jh_entry_t *entry);

/* ---- batches ---- */

/**
 * struct _jh_batch - what a caller sent up to Sync, Flush or the end of a simple query
 * @ops: array of Jh__Op *, owned
 * @bytes: bytes of the messages, for the bound
 * @simple: one simple query
 * @synced: ReadyForQuery follows the answer
 * @failed: a message was refused; @report says why, and nothing of the batch runs
 */
typedef struct _jh_batch {
	GPtrArray *ops;
	size_t bytes;
	bool simple;
	bool synced;
	bool failed;
	_jh_report_t report;
} _jh_batch_t;

/** _jh_op_free() - free an op made with jh__op__init() */
void _jh_op_free(void *op);

/** _jh_op_copy() - deep copy. Return: new */
Jh__Op *_jh_op_copy(const Jh__Op *op);

/** _jh_batch_new() - Return: new empty batch */
_jh_batch_t *_jh_batch_new(void);
void _jh_batch_free(_jh_batch_t *batch);

/** _jh_batch_run() - run a batch; takes it over */
void _jh_batch_run(_jh_caller_t *caller, _jh_batch_t *batch);

/* ---- callers ---- */

typedef enum _jh_caller_state {
	JH_CALLER_STARTUP,
	JH_CALLER_PASSWORD,
	JH_CALLER_READY,
	/** @JH_CALLER_CLOSING: write what is left, then wait for the client to close */
	JH_CALLER_CLOSING,
	/** @JH_CALLER_DEAD: the connection is gone */
	JH_CALLER_DEAD,
} _jh_caller_state_t;

/**
 * struct _jh_statement - a prepared statement, kept at the entry
 * @sql: its text
 * @types: array of uint32_t, NULL if none were given
 */
typedef struct _jh_statement {
	char *sql;
	GArray *types;
} _jh_statement_t;

/**
 * struct _jh_pin - the connection that an open transaction holds
 * @id: at its owner; 0 while there is none
 * @vm: interned, the owner
 * @boot: the owner's life
 * @database: interned
 */
typedef struct _jh_pin {
	uint64_t id;
	const char *vm;
	uint64_t boot;
	const char *database;
} _jh_pin_t;

/**
 * struct _jh_caller - one client connection
 * @reader: bytes received and not taken; holds no memory while there are none
 * @out: bytes to write; NULL while there are none
 * @sent: how much of @out was written
 * @secret: proves a cancel request
 * @route: interned; NULL if it is unknown
 * @team: interned; NULL if it is unknown or no key was asked for
 * @digest: of the key that was given
 * @session: what it wrote
 * @session_us: when @session last changed
 * @max_age_ms: of reads; valid if @has_max_age
 * @deadline_ms: 0 is the route's
 * @settings: values that SET gave, by index of the parameter table; NULL while there are none
 * @request_id: idempotency key of the next request; NULL if none
 * @statements: name to _jh_statement_t; NULL while there are none
 * @batch: being collected; NULL while there is none
 * @request: in hand, JH_HANDLE_NONE while there is none
 * @pin: of its open transaction
 * @transaction: 'I', 'T' or 'E', as last reported
 * @lost: the transaction's connection is gone; it is answered here until the caller ends it
 * @tx_read_only: the open transaction was begun as read only
 * @unsynced: a request ran after the last Sync
 * @skip: a batch failed; messages up to Sync are dropped
 * @running: messages are being taken; answers do not take further ones
 * @shut: nothing more is written; input is dropped until the client closes
 * @reject: it is over the bound; refused once it has said who it is
 */
struct _jh_caller {
	_jh_entry_t *entry;
	jh_handle_t handle;
	ev_io read;
	ev_io write;
	ev_timer timer;
	jh_v3_reader_t reader;
	GByteArray *out;
	size_t sent;
	uint32_t secret;
	const char *route;
	const char *team;
	char digest[JH_KEY_DIGEST_CHARS + 1];
	jh_session_t session;
	int64_t session_us;
	int64_t max_age_ms;
	int64_t deadline_ms;
	char **settings;
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
	bool lost;
	bool tx_read_only;
	bool unsynced;
	bool skip;
	bool running;
	bool shut;
	bool reject;
};

/** _jh_caller_new() - take an accepted socket over */
void _jh_caller_new(_jh_entry_t *entry, int fd, bool reject);

/** _jh_caller_end() - close at once, releasing its request and its transaction, and free */
void _jh_caller_end(_jh_caller_t *caller);

/** _jh_caller_out() - where to append messages for the caller. Return: borrowed */
GByteArray *_jh_caller_out(_jh_caller_t *caller);

/** _jh_caller_apply_state() - write, close or free as the state asks; @caller may be gone
 * afterwards */
void _jh_caller_apply_state(_jh_caller_t *caller);

/** _jh_caller_resume() - take further messages, then settle; @caller may be gone afterwards */
void _jh_caller_resume(_jh_caller_t *caller);

/** _jh_caller_fail() - write a report; closes the connection if it is fatal */
void _jh_caller_fail(_jh_caller_t *caller, const _jh_report_t *report);

/** _jh_caller_protocol_error() - report @err, which is cleared, and close the connection */
void _jh_caller_protocol_error(_jh_caller_t *caller, jh_error_t *err);

/** _jh_caller_write_ready() - write ReadyForQuery with the transaction's state */
void _jh_caller_write_ready(_jh_caller_t *caller);

/** _jh_caller_show_session() - report the session's token as a parameter */
void _jh_caller_show_session(_jh_caller_t *caller);

/** _jh_caller_drain() - close if nothing is in hand; @caller may be gone afterwards */
void _jh_caller_drain(_jh_caller_t *caller);

/** _jh_caller_drop_pin() - the transaction's connection is gone, or is given up */
void _jh_caller_drop_pin(_jh_caller_t *caller, bool release);

/** _jh_caller_startup() - take a message before the connection is ready */
void _jh_caller_startup(_jh_caller_t *caller, const jh_v3_msg_t *msg);

/** _jh_caller_message() - take a message of a ready connection */
void _jh_caller_message(_jh_caller_t *caller, const jh_v3_msg_t *msg);

/**
 * _jh_caller_authorize() - check key and route against the newest configuration
 *
 * Return: the route, borrowed; NULL with @report set. A refusal of the key is fatal.
 */
const jh_route_t *_jh_caller_authorize(_jh_caller_t *caller, _jh_report_t *report);

/** _jh_caller_check_virtual() - check the key for the virtual database. Return: 0 or -1 */
int _jh_caller_check_virtual(_jh_caller_t *caller, _jh_report_t *report);

/** _jh_caller_is_virtual() - true if it speaks to the virtual database for operators */
bool _jh_caller_is_virtual(const _jh_caller_t *caller);

/* ---- session parameters ---- */

/**
 * _jh_set() - SET a parameter
 * @value: new value, NULL for the default
 *
 * Return: 0, or -1 with @report set and nothing changed
 */
int _jh_set(_jh_caller_t *caller, const char *name, const char *value, _jh_report_t *report);

/** _jh_set_reset_all() - RESET ALL; the session's token stays */
void _jh_set_reset_all(_jh_caller_t *caller);

/** _jh_set_show() - value of a parameter. Return: new text, NULL if the entry does not know it */
char *_jh_set_show(_jh_caller_t *caller, const char *name);

/** _jh_set_report_all() - write the ParameterStatus messages that clients expect at the start */
void _jh_set_report_all(_jh_caller_t *caller);

/** _jh_set_options() - take the start-up parameter "options". Return: 0, or -1 with @report set */
int _jh_set_options(_jh_caller_t *caller, const char *options, _jh_report_t *report);

/** _jh_set_free() - free what SET keeps */
void _jh_set_free(_jh_caller_t *caller);

/** _jh_show() - rows of an operators' topic. Return: new, NULL if there is no such topic */
jh_rows_t *_jh_show(_jh_entry_t *entry, const char *topic);

/** _jh_show_own() - rows of a topic that the entry itself knows. Return: new or NULL */
jh_rows_t *_jh_show_own(_jh_entry_t *entry, const char *topic);

/* ---- requests ---- */

typedef enum _jh_request_state {
	JH_REQUEST_QUOTA,
	/** @JH_REQUEST_WAITING: for a view that shows where it can go */
	JH_REQUEST_WAITING,
	/** @JH_REQUEST_BACKOFF: before a retry */
	JH_REQUEST_BACKOFF,
	JH_REQUEST_SENT,
	/** @JH_REQUEST_RECORDING: answered; its record is not held by a second VM yet */
	JH_REQUEST_RECORDING,
} _jh_request_state_t;

/**
 * struct _jh_answer - what is known of a request's answer
 * @held: messages not given to the caller yet
 * @completed_at: offset in @held of the first CommandComplete; G_MAXUINT if there is none yet
 * @latest_at: offset in @held of the last CommandComplete
 * @next_part: sequence of the part expected next
 * @received: bytes of all parts
 * @acknowledged: of those, what the owner was told of
 * @parsed: ParseComplete messages seen
 * @released: the caller was given part of it
 */
typedef struct _jh_answer {
	GByteArray *held;
	guint completed_at;
	guint latest_at;
	uint32_t next_part;
	uint64_t received;
	uint64_t acknowledged;
	unsigned parsed;
	bool released;
} _jh_answer_t;

/**
 * struct _jh_request - a batch on its way through a database
 * @handle: its id in frames
 * @caller: who gets the answer; looked up anew each time
 * @ops: array of Jh__Op *, owned; kept for retries
 * @synced: ReadyForQuery follows the answer
 * @write: needs the primary
 * @repeatable: its route says that it may be run again
 * @safe: an attempt with an unknown outcome may be followed by another
 * @need: for reads
 * @until_us: its deadline
 * @deadline: fires at @until_us
 * @pause: fires when to place it again
 * @attempt: counts from 1
 * @vm: interned; where the attempt was sent
 * @database: interned; where it was sent
 * @avoid: interned; database that refused the last attempt, NULL if none
 * @term: of the view that placed the attempt
 * @reason: why it was not placed or not answered yet, for the final refusal
 * @unknown: an attempt may have run
 * @wrote: the answer moved the session's position
 * @failed: the answer is the database's own error
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
	bool synced;
	bool write;
	bool repeatable;
	bool safe;
	bool unknown;
	bool wrote;
	bool failed;
	jh_read_need_t need;
	int64_t until_us;
	ev_timer deadline;
	ev_timer pause;
	uint32_t attempt;
	const char *vm;
	const char *database;
	const char *avoid;
	uint64_t term;
	_jh_pin_t pin;
	_jh_report_t reason;
	_jh_answer_t answer;
};

/**
 * struct _jh_request_kind - what the entry saw of a batch
 * @synced: ReadyForQuery follows
 * @begins_read_only: it begins a read-only transaction and does not end it before others
 * @controls: it begins or ends a transaction
 * @cost: statements that count against the team's rate
 */
typedef struct _jh_request_kind {
	bool synced;
	bool begins_read_only;
	bool controls;
	unsigned cost;
} _jh_request_kind_t;

/** _jh_request_new() - run ops for a caller; takes the ops over */
void _jh_request_new(_jh_caller_t *caller, GPtrArray *ops, const _jh_request_kind_t *kind);

/** _jh_request_place() - send a request that waits, if it can be placed now */
void _jh_request_place(_jh_request_t *request);

/** _jh_request_on_view() - a newer view, configuration or set of VMs came */
void _jh_request_on_view(_jh_request_t *request);

/** _jh_request_on_vms() - a newer set of VMs came */
void _jh_request_on_vms(_jh_request_t *request);

/** _jh_request_on_quota() - the answer of the quota task */
void _jh_request_on_quota(_jh_request_t *request, bool granted, uint32_t retry_after_ms);

/** _jh_request_retry() - an attempt ended without an answer: try again or refuse */
void _jh_request_retry(_jh_request_t *request, jh_retry_outcome_t outcome, uint32_t after_ms);

/** _jh_request_give_up() - an attempt ended without an answer and no other follows */
void _jh_request_give_up(_jh_request_t *request, jh_retry_outcome_t outcome, uint32_t after_ms);

/** _jh_request_refuse() - the final answer is an error */
void _jh_request_refuse(_jh_request_t *request, const _jh_report_t *report);

/** _jh_request_abandon() - the caller is gone: release what it holds and free */
void _jh_request_abandon(_jh_request_t *request);

/** _jh_request_cancel() - the caller asked to cancel it */
void _jh_request_cancel(_jh_request_t *request);

/** _jh_request_on_peer_down() - the VM that it was sent to is lost */
void _jh_request_on_peer_down(_jh_request_t *request);

/** _jh_request_free() - free; the caller has its answer */
void _jh_request_free(_jh_request_t *request);

/** _jh_release_send() - tell an owner to give up a request, a pin, or both */
void _jh_release_send(_jh_entry_t *entry, const char *vm, uint64_t id, uint64_t pin);

/** _jh_answer_on_part() - frame with a part of an answer */
void _jh_answer_on_part(_jh_entry_t *entry, const jh_frame_msg_t *msg);

/** _jh_answer_acknowledge() - the caller took what was given to it: let the owner send more */
void _jh_answer_acknowledge(_jh_caller_t *caller);

/** _jh_answer_on_end() - frame with the end of an answer */
void _jh_answer_on_end(_jh_entry_t *entry, const jh_frame_msg_t *msg);

/** _jh_answer_on_recorded() - the answer's record is held, or could not be */
void _jh_answer_on_recorded(_jh_request_t *request, bool held, uint32_t retry_after_ms);

/** _jh_answer_reset() - forget an attempt's answer */
void _jh_answer_reset(_jh_answer_t *answer);

#endif
