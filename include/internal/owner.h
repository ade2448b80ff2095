#ifndef JH_INTERNAL_OWNER_H
#define JH_INTERNAL_OWNER_H

#include "jh_acknowledge.h"
#include "jh_fair_queue.h"
#include "jh_frame.h"

#include <libpq-fe.h>
#include <sodium.h>
#include <stdio.h>

/**
 * DOC: Owner of databases
 *
 * A pool stands for one database that this VM owns, a connection for one libpq connection of a
 * pool, a job for one Request. modules/owner.c takes messages, owner_pool.c hands jobs to
 * connections, owner_conn.c connects, cleans and cancels, owner_run.c runs a job's phases,
 * owner_steps.c the caller's statements among them,
 * owner_encode.c writes results as protocol messages, owner_job.c answers.
 */

typedef struct _jh_owner _jh_owner_t;
typedef struct _jh_pool _jh_pool_t;
typedef struct _jh_conn _jh_conn_t;
typedef struct _jh_job _jh_job_t;

/** JH_OWNER_PART_BYTES - an answer part is sent once it has this length */
#define JH_OWNER_PART_BYTES (32u * 1024)

/** JH_OWNER_WINDOW_BYTES - most bytes sent that the entry has not passed on to its caller */
#define JH_OWNER_WINDOW_BYTES (2u * 1024 * 1024)

/** JH_OWNER_WITHHELD_MAX_BYTES - most bytes of an answer that wait for its acknowledgement */
#define JH_OWNER_WITHHELD_MAX_BYTES (8u * 1024 * 1024)

/** JH_OWNER_STORED_MAX_BYTES - longest answer stored with a request id */
#define JH_OWNER_STORED_MAX_BYTES (64u * 1024)

/** JH_OWNER_TEAM_QUEUE_MAX - most requests of a team that wait for a database */
#define JH_OWNER_TEAM_QUEUE_MAX 512

/**
 * struct _jh_owner - state of the owner task
 * @task: the task
 * @config: configuration in force, NULL before the first
 * @vms: VMs as last published, NULL before
 * @views: group name to newest jh_group_view_t
 * @pools: database name to _jh_pool_t
 * @jobs: every job
 * @jobs_by_id: _jh_job_id_t to job, the newest attempt
 * @pins: connections in an open transaction
 * @cancels: cancel requests under way
 * @is_draining: takes no new work
 * @tick: once a second, for what ages
 */
struct _jh_owner {
	jh_task_t *task;
	jh_config_t *config;
	GPtrArray *vms;
	GHashTable *views;
	GHashTable *pools;
	jh_table_t *jobs;
	GHashTable *jobs_by_id;
	jh_table_t *pins;
	GPtrArray *cancels;
	bool is_draining;
	ev_timer tick;
};

/**
 * struct _jh_pool - a database that this VM owns or has work in hand for
 * @owner: the task's state
 * @name: the database; interned
 * @group: its group; interned
 * @host: its address
 * @port: its port
 * @dbname: database name for connecting
 * @user: role for connecting
 * @slots: statements at a time
 * @max_conns: connections at most
 * @is_owned: false once another VM owns it: in-hand work is finished, nothing new starts
 * @departing: likewise, by the operators' table
 * @is_abandoned: not the primary, and out of reach: its work in hand was given up
 * @position: newest applied position known
 * @queue: waiting jobs without a connection
 * @conns: connections
 * @used_slots: connections that use a slot
 * @withheld: jobs that wait for acknowledgement
 * @retry_us: no connecting before this time
 * @backoff_us: wait after the next failure
 */
struct _jh_pool {
	_jh_owner_t *owner;
	const char *name;
	const char *group;
	char *host;
	uint16_t port;
	char *dbname;
	char *user;
	unsigned slots;
	unsigned max_conns;
	bool is_owned;
	bool departing;
	bool is_abandoned;
	jh_position_t position;
	jh_fair_queue_t *queue;
	GPtrArray *conns;
	unsigned used_slots;
	GPtrArray *withheld;
	int64_t retry_us;
	int64_t backoff_us;
};

/** enum _jh_conn_state - what a connection is doing */
typedef enum _jh_conn_state {
	JH_CONN_CONNECTING,
	JH_CONN_IDLE,
	/** @JH_CONN_WORKING: runs a job, or the rest of one that was given up */
	JH_CONN_WORKING,
	/** @JH_CONN_PINNED: waits in an open transaction */
	JH_CONN_PINNED,
	/** @JH_CONN_CLEANING: rolls back and resets the session */
	JH_CONN_CLEANING,
} _jh_conn_state_t;

/** enum _jh_conn_mode - default_transaction_read_only of the session */
typedef enum _jh_conn_mode {
	JH_MODE_UNKNOWN,
	JH_MODE_READ_WRITE,
	JH_MODE_READ_ONLY,
} _jh_conn_mode_t;

/** enum _jh_phase - what a job's connection does now, in the order of a full run */
typedef enum _jh_phase {
	/** @JH_PHASE_SET_MODE: SET default_transaction_read_only */
	JH_PHASE_SET_MODE,
	/** @JH_PHASE_BEGIN: open the transaction that also holds the request id */
	JH_PHASE_BEGIN,
	JH_PHASE_INSERT_ID,
	/** @JH_PHASE_ROLLBACK_INSERT: the table of request ids was missing */
	JH_PHASE_ROLLBACK_INSERT,
	JH_PHASE_CREATE_ID_TABLE,
	/** @JH_PHASE_CALLER: the caller's own statements */
	JH_PHASE_CALLER,
	JH_PHASE_STORE_RESPONSE,
	JH_PHASE_COMMIT,
	/** @JH_PHASE_LOAD_RESPONSE: the request id was there: read the stored answer */
	JH_PHASE_LOAD_RESPONSE,
	JH_PHASE_ROLLBACK,
	/** @JH_PHASE_READ_LOG_END: ask the primary for the end of its log */
	JH_PHASE_READ_LOG_END,
	JH_PHASE_END,
} _jh_phase_t;

/** enum _jh_step_kind - one thing sent in a pipeline */
typedef enum _jh_step_kind {
	JH_STEP_SIMPLE,
	/** @JH_STEP_PREPARE: Parse that the caller did not send now */
	JH_STEP_PREPARE,
	JH_STEP_PARSE,
	JH_STEP_DESCRIBE,
	JH_STEP_BIND,
	JH_STEP_EXECUTE,
	JH_STEP_CLOSE,
	JH_STEP_SYNC,
} _jh_step_kind_t;

/**
 * struct _jh_step - a result that is awaited
 * @kind: what was sent
 * @op: the caller's op; borrowed from the job's frame, not used once the job has ended
 */
typedef struct _jh_step {
	_jh_step_kind_t kind;
	const Jh__Op *op;
} _jh_step_t;

/**
 * struct _jh_conn - one connection to a database
 * @pool: whose it is
 * @pg: libpq's connection
 * @state: what it is doing
 * @mode: the session's access mode
 * @is_dirty: session state may have been left behind
 * @must_close: not to be used again: a cancel request may hit a later statement
 * @is_broken: the protocol is in a state that can't be left; nothing more is sent
 * @is_paused: not read, since the caller is slower than the database
 * @job: what it works for; NULL if that was given up
 * @phase: of the job
 * @steps: array of _jh_step_t of the caller's phase
 * @step: index of the step whose result is awaited
 * @in_rows: a row description was written for the current result
 * @step_rows: rows written of the current result
 * @discards_results: the rest up to the next Sync is not answered
 * @position_before: group_position when the job started
 * @team: charged for the time since @started_us; interned
 * @started_us: start of the work in hand
 * @state_since_us: start of the present state
 * @pin: handle while a transaction is open
 * @pin_vm: entry that opened it
 * @pin_boot: and its boot
 * @pid: for cancel requests
 * @secret: for cancel requests
 * @trace: collects the start-up messages, from which the secret is read
 */
struct _jh_conn {
	_jh_pool_t *pool;
	PGconn *pg;
	_jh_conn_state_t state;
	_jh_conn_mode_t mode;
	bool is_dirty;
	bool must_close;
	bool is_broken;
	bool is_paused;
	_jh_job_t *job;
	_jh_phase_t phase;
	GArray *steps;
	unsigned step;
	bool in_rows;
	uint32_t step_rows;
	bool discards_results;
	char *position_before;
	const char *team;
	int64_t started_us;
	int64_t state_since_us;
	jh_handle_t pin;
	const char *pin_vm;
	uint64_t pin_boot;
	uint32_t pid;
	uint32_t secret;
	FILE *trace;
	char *trace_text;
	size_t trace_length;
	ev_io read;
	ev_io write;
	ev_timer timeout;
};

/** enum _jh_job_state - where a job is */
typedef enum _jh_job_state {
	JH_JOB_QUEUED,
	JH_JOB_RUNNING,
	/** @JH_JOB_WITHHELD: ran; waits until a majority holds its position */
	JH_JOB_WITHHELD,
} _jh_job_state_t;

/** struct _jh_job_id - an entry's name for a request */
typedef struct _jh_job_id {
	const char *vm;
	uint64_t boot;
	uint64_t id;
} _jh_job_id_t;

/**
 * struct _jh_job - a Request and its answer so far
 * @owner: the task's state
 * @pool: the database
 * @handle: in the owner's table; also its number in the queue
 * @id: the entry's name for it
 * @frame: the frame it came in; owned
 * @request: in @frame
 * @team: interned
 * @state: where it is
 * @conn: the connection that runs it
 * @deadline: fires when the caller's time is over
 * @queued_us: when it came
 * @started_us: when it got its connection
 * @run_us: how long it ran
 * @out: messages not yet sent
 * @parts: parts sent
 * @bytes_sent: bytes sent
 * @bytes_acked: of those, what the entry passed on
 * @rows: data rows
 * @digest: of the messages
 * @withholds_rest: a command was completed: the rest waits for the end
 * @commands_completed: commands completed
 * @failed: the database answered with an error
 * @sqlstate: of the last error
 * @depends_on_rows: rows were read, or a command's effect depends on rows read
 * @controls_transaction: a command opened or ended a transaction
 * @statements_sent: the caller's statements were sent
 * @created_id_table: the table of request ids was created for it
 * @is_replay: the answer is a stored one
 * @is_duplicate: the request id was there without an answer
 * @not_primary: the database refused the write as it is no primary
 * @pin_limited: it only began a transaction, for which there is no connection to keep
 * @run_failed: an internal statement failed
 * @must_hold: the answer rests on @position
 * @wrote: the position moved
 * @position: end of the log when it ran
 * @transaction: 'I', 'T' or 'E' after it
 * @pin: of the open transaction
 */
struct _jh_job {
	_jh_owner_t *owner;
	_jh_pool_t *pool;
	jh_handle_t handle;
	_jh_job_id_t id;
	Jh__Frame *frame;
	const Jh__Request *request;
	const char *team;
	_jh_job_state_t state;
	_jh_conn_t *conn;
	ev_timer deadline;
	int64_t queued_us;
	int64_t started_us;
	int64_t run_us;
	GByteArray *out;
	uint32_t parts;
	uint64_t bytes_sent;
	uint64_t bytes_acked;
	uint64_t rows;
	crypto_hash_sha256_state digest;
	bool withholds_rest;
	unsigned commands_completed;
	bool failed;
	char sqlstate[6];
	bool depends_on_rows;
	bool controls_transaction;
	bool statements_sent;
	bool created_id_table;
	bool is_replay;
	bool is_duplicate;
	bool not_primary;
	bool pin_limited;
	bool run_failed;
	bool must_hold;
	bool wrote;
	jh_position_t position;
	char transaction;
	jh_handle_t pin;
};

/* ---- jobs (modules/owner_job.c) ---- */

/** _jh_job_new() - take a Request frame over. Return: new, known to the owner's tables */
_jh_job_t *_jh_job_new(_jh_owner_t *owner, _jh_pool_t *pool, const char *vm, uint64_t boot,
		       Jh__Frame *frame);

/** _jh_job_free() - forget the job; sends nothing */
void _jh_job_free(_jh_job_t *job);

/** _jh_job_flush() - send what may be sent before the end */
void _jh_job_flush(_jh_job_t *job);

/** _jh_job_write_error() - append an ErrorResponse of the proxy's own to the answer */
void _jh_job_write_error(_jh_job_t *job, const char *sqlstate, const char *message);

/** _jh_job_finish() - it ran: answer, or hold the answer back. Frees the job or keeps it held */
void _jh_job_finish(_jh_job_t *job);

/** _jh_job_refuse() - answer that no byte of it reached the database, and free the job */
void _jh_job_refuse(_jh_job_t *job, Jh__AnswerEnd__Reason reason, const char *message,
		    uint32_t retry_after_ms);

/** _jh_job_end_unknown() - answer that it may have run, and free the job */
void _jh_job_end_unknown(_jh_job_t *job, Jh__AnswerEnd__Reason reason, const char *message);

/** _jh_owner_refuse() - answer a request for which no job was made */
void _jh_owner_refuse(_jh_owner_t *owner, const char *vm, const Jh__Request *request,
		      Jh__AnswerEnd__Reason reason, const char *message, uint32_t retry_after_ms);

/** _jh_pool_settle_withheld() - release or give up held answers after a new view */
void _jh_pool_settle_withheld(_jh_pool_t *pool);

/** _jh_job_id_hash(), _jh_job_id_equal() - for hash tables */
guint _jh_job_id_hash(gconstpointer id);
gboolean _jh_job_id_equal(gconstpointer a, gconstpointer b);

/* ---- pools (modules/owner_pool.c) ---- */

_jh_pool_t *_jh_pool_new(_jh_owner_t *owner, const jh_group_t *group,
			 const jh_database_t *database);
void _jh_pool_free(void *pool);

/** _jh_pool_update() - take the tables' values over */
void _jh_pool_update(_jh_pool_t *pool, const jh_group_t *group, const jh_database_t *database);

/** _jh_pool_disown() - another VM owns the database now */
void _jh_pool_disown(_jh_pool_t *pool);

/** _jh_pool_set_abandoned() - give all work in hand up at once, or take new work again */
void _jh_pool_set_abandoned(_jh_pool_t *pool, bool is_abandoned);

/** _jh_pool_enqueue() - put a new job in line, or refuse it. The job may be freed */
void _jh_pool_enqueue(_jh_pool_t *pool, _jh_job_t *job);

/** _jh_pool_run_pinned() - run a job of the open transaction of @conn at once */
void _jh_pool_run_pinned(_jh_pool_t *pool, _jh_conn_t *conn, _jh_job_t *job);

/** _jh_pool_dispatch() - start what slots and connections allow; open connections */
void _jh_pool_dispatch(_jh_pool_t *pool);

/** _jh_pool_on_connect_failed() - a connection could not be opened */
void _jh_pool_on_connect_failed(_jh_pool_t *pool);

/** _jh_pool_on_tick() - close what idled too long, open what should be warm */
void _jh_pool_on_tick(_jh_pool_t *pool);

/** _jh_pool_is_finished() - not owned, and nothing in hand */
bool _jh_pool_is_finished(const _jh_pool_t *pool);

/** _jh_pool_group_view() - newest view of its group. Return: borrowed or NULL */
const jh_group_view_t *_jh_pool_group_view(const _jh_pool_t *pool);

/** _jh_pool_is_primary() - the newest view names it primary */
bool _jh_pool_is_primary(const _jh_pool_t *pool);

/** _jh_pool_is_pin_limited() - open transactions hold more connections than they may */
bool _jh_pool_is_pin_limited(const _jh_pool_t *pool);

/** _jh_pool_observe_position() - a position of the database was seen */
void _jh_pool_observe_position(_jh_pool_t *pool, jh_position_t position);

/* ---- connections (modules/owner_conn.c) ---- */

/** _jh_conn_open() - begin to connect. Return: new, or NULL if libpq refused at once */
_jh_conn_t *_jh_conn_open(_jh_pool_t *pool);

/** _jh_conn_set_state() - change the state and the pool's count of slots in use */
void _jh_conn_set_state(_jh_conn_t *conn, _jh_conn_state_t state);

/** _jh_conn_flush() - write what libpq has queued. Return: 0, -1 if the connection is lost */
int _jh_conn_flush(_jh_conn_t *conn);

/** _jh_conn_release() - work is over: clean the session or give it back to the pool */
void _jh_conn_release(_jh_conn_t *conn);

/** _jh_conn_unpin() - end the open transaction, rolling it back */
void _jh_conn_unpin(_jh_conn_t *conn);

/** _jh_conn_pause() - stop or go on taking results */
void _jh_conn_pause(_jh_conn_t *conn, bool is_paused);

/** _jh_conn_cancel() - ask the database to cancel the statement that runs */
void _jh_conn_cancel(_jh_conn_t *conn);

/** _jh_conn_abandon() - its job was answered: cancel, drop the rest of the results, clean */
void _jh_conn_abandon(_jh_conn_t *conn);

/** _jh_conn_close() - close it; a job on it must have been answered before */
void _jh_conn_close(_jh_conn_t *conn);

/** _jh_cancel_send() - send a CancelRequest on a socket of its own */
void _jh_cancel_send(_jh_owner_t *owner, const char *host, uint16_t port, uint32_t pid,
		     uint32_t secret);

/** _jh_cancel_free() - for the owner's array */
void _jh_cancel_free(void *cancel);

/* ---- running (modules/owner_run.c) ---- */

/** _jh_run_start() - run @job on @conn, which is idle or pinned by it */
void _jh_run_start(_jh_conn_t *conn, _jh_job_t *job);

/** _jh_run_continue() - take the results that have arrived */
void _jh_run_continue(_jh_conn_t *conn);

/** _jh_run_on_ack() - the entry passed more of the job's answer on */
void _jh_run_on_ack(_jh_job_t *job, uint64_t bytes);

/** _jh_run_on_conn_lost() - the connection broke while it worked */
void _jh_run_on_conn_lost(_jh_conn_t *conn);

/* ---- the caller's statements (modules/owner_steps.c) ---- */

/** _jh_steps_send() - send the job's batch. Return: 0, or -1 if libpq can't */
int _jh_steps_send(_jh_conn_t *conn);

/** _jh_steps_handle_result() - write a result as part of the job's answer */
void _jh_steps_handle_result(_jh_conn_t *conn, const PGresult *result);

/** _jh_steps_advance() - a step's results are over. Return: true if it was the last step */
bool _jh_steps_advance(_jh_conn_t *conn);

/* ---- encoding (modules/owner_encode.c) ---- */

/** _jh_encode_error() - ErrorResponse ('E') or NoticeResponse ('N') with all fields of @result */
void _jh_encode_report(GByteArray *out, uint8_t type, const PGresult *result);

/** _jh_encode_result_format() - format of column @i that the op asks for, 0 or 1 */
int16_t _jh_encode_result_format(const Jh__Op *op, unsigned i);

/** _jh_encode_libpq_format() - the one format to ask libpq for */
int _jh_encode_libpq_format(const Jh__Op *op);

/** _jh_encode_find_unsupported() - Return: index of a column whose format can't be made, -1 if all
 * can */
int _jh_encode_find_unsupported(const Jh__Op *op, const PGresult *result);

/** _jh_encode_description() - RowDescription, or NoData if there are no columns */
void _jh_encode_description(GByteArray *out, const Jh__Op *op, const PGresult *result);

/** _jh_encode_parameters() - ParameterDescription */
void _jh_encode_parameters(GByteArray *out, const PGresult *result);

/** _jh_encode_row() - DataRow */
void _jh_encode_row(GByteArray *out, const Jh__Op *op, const PGresult *result, int row);

#endif
