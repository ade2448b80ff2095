#ifndef JH_INTERNAL_OWNER_H
#define JH_INTERNAL_OWNER_H

#include "jh_acknowledge.h"
#include "jh_fair_queue.h"
#include "jh_frame.h"

#include <libpq-fe.h>
#include <sodium.h>
#include <stdio.h>

/**
 * DOC: Owner of database connections
 *
 * The owner task runs the requests of all entries on the databases that this VM owns. For each
 * such database it keeps a pool of libpq connections and a fair queue of waiting requests. A
 * response that depends on the primary's log is withheld until its position is replicated to a
 * majority of the group.
 *
 * A pool stands for one database, a connection for one libpq connection of a pool, and a job for
 * one Request frame. modules/owner.c receives the messages, owner_job.c builds and sends responses,
 * owner_pool.c assigns jobs to connections, owner_conn.c opens, cleans and closes connections,
 * owner_cancel.c sends cancel requests, owner_run.c runs the phases of a job, owner_steps.c sends
 * the caller's statements and handles their results, and owner_encode.c encodes results as
 * protocol messages.
 *
 * All functions run on the loop of the owner task. Strings called interned are GLib interned
 * strings: they are compared by pointer and never freed. Times are in microseconds of the kernel's
 * monotonic clock, unless a name says otherwise.
 */

typedef struct _jh_owner _jh_owner_t;
typedef struct _jh_pool _jh_pool_t;
typedef struct _jh_conn _jh_conn_t;
typedef struct _jh_job _jh_job_t;

/** JH_OWNER_PART_BYTES - pending messages are sent as an AnswerPart once they have this length */
#define JH_OWNER_PART_BYTES (32u * 1024)

/** JH_OWNER_WINDOW_BYTES - maximum number of bytes sent that the entry has not acknowledged */
#define JH_OWNER_WINDOW_BYTES (2u * 1024 * 1024)

/** JH_OWNER_WITHHELD_MAX_BYTES - maximum length of the withheld part of a response */
#define JH_OWNER_WITHHELD_MAX_BYTES (8u * 1024 * 1024)

/** JH_OWNER_STORED_MAX_BYTES - maximum length of a response that is stored with a request id */
#define JH_OWNER_STORED_MAX_BYTES (64u * 1024)

/** JH_OWNER_TEAM_QUEUE_MAX - maximum number of requests of one team that wait for a database */
#define JH_OWNER_TEAM_QUEUE_MAX 512

/**
 * struct _jh_owner - state of the owner task
 * @task: the owner task
 * @config: configuration in force; NULL until the first one arrives
 * @vms: array of jh_vm_t *, the VMs as last published; NULL until the first list arrives
 * @views: name of a group to its newest jh_group_view_t
 * @pools: name of a database to its _jh_pool_t
 * @jobs: all jobs, by handle
 * @jobs_by_request: _jh_request_key_t to the job of the newest attempt
 * @pins: connections with an open transaction, by pin
 * @cancels: cancel requests in progress
 * @is_draining: the VM shuts down: only requests of open transactions are accepted
 * @tick: timer of the periodic work of the pools
 */
struct _jh_owner {
	jh_task_t *task;
	jh_config_t *config;
	GPtrArray *vms;
	GHashTable *views;
	GHashTable *pools;
	jh_table_t *jobs;
	GHashTable *jobs_by_request;
	jh_table_t *pins;
	GPtrArray *cancels;
	bool is_draining;
	ev_timer tick;
};

/**
 * struct _jh_pool - a database that this VM owns, or owned and has unfinished work for
 * @owner: state of the owner task
 * @name: name of the database; interned
 * @group: name of its group; interned
 * @host: IP address of the database
 * @port: TCP port of the database
 * @dbname: database name in the start-up message
 * @user: role in the start-up message
 * @slots: number of statements that the database runs at a time
 * @max_conns: maximum number of connections
 * @is_owned: false once another VM owns the database: running work is finished, nothing new starts
 * @departing: operators have marked the database as departing; new requests are refused
 * @is_abandoned: the database is unreachable and another member is the primary: its work was
 *                ended and new requests are refused
 * @repeats_answers: the database has sent an answer that belongs to no statement
 * @position: highest applied position known of the database
 * @queue: jobs that wait for a slot and a connection
 * @conns: array of all connections
 * @used_slots: number of connections that run or clean up
 * @withheld: array of jobs that wait until their position is replicated to a majority
 * @retry_us: no connection is opened before this time
 * @backoff_us: delay after the last failure to connect; doubled at the next one
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
	bool repeats_answers;
	jh_position_t position;
	jh_fair_queue_t *queue;
	GPtrArray *conns;
	unsigned used_slots;
	GPtrArray *withheld;
	int64_t retry_us;
	int64_t backoff_us;
};

/** enum _jh_conn_state - state of a connection */
typedef enum _jh_conn_state {
	/** @JH_CONN_CONNECTING: libpq is opening the connection */
	JH_CONN_CONNECTING,
	/** @JH_CONN_IDLE: open, clean and free for a job */
	JH_CONN_IDLE,
	/** @JH_CONN_WORKING: runs a job, or discards the results of an abandoned one */
	JH_CONN_WORKING,
	/** @JH_CONN_PINNED: waits for the next statement of an open transaction */
	JH_CONN_PINNED,
	/** @JH_CONN_CLEANING: runs ROLLBACK or DISCARD ALL before it becomes idle */
	JH_CONN_CLEANING,
} _jh_conn_state_t;

/** enum _jh_conn_mode - access mode of a session, set by default_transaction_read_only */
typedef enum _jh_conn_mode {
	/** @JH_MODE_UNKNOWN: not set since the session was opened or reset */
	JH_MODE_UNKNOWN,
	JH_MODE_READ_WRITE,
	JH_MODE_READ_ONLY,
} _jh_conn_mode_t;

/**
 * enum _jh_job_phase - phase of the job that a connection runs
 *
 * No job passes through all phases: see owner_run.c for the possible orders.
 */
typedef enum _jh_job_phase {
	/** @JH_JOB_PHASE_SET_MODE: SET default_transaction_read_only */
	JH_JOB_PHASE_SET_MODE,
	/** @JH_JOB_PHASE_BEGIN: begin the transaction that stores the request id */
	JH_JOB_PHASE_BEGIN,
	/** @JH_JOB_PHASE_INSERT_ID: insert the request id into the table of request ids */
	JH_JOB_PHASE_INSERT_ID,
	/** @JH_JOB_PHASE_ROLLBACK_INSERT: end the transaction whose insert failed */
	JH_JOB_PHASE_ROLLBACK_INSERT,
	/** @JH_JOB_PHASE_CREATE_ID_TABLE: create the table of request ids, then begin again */
	JH_JOB_PHASE_CREATE_ID_TABLE,
	/** @JH_JOB_PHASE_CALLER: run the caller's statements */
	JH_JOB_PHASE_CALLER,
	/** @JH_JOB_PHASE_STORE_RESPONSE: store the response with the request id */
	JH_JOB_PHASE_STORE_RESPONSE,
	/** @JH_JOB_PHASE_COMMIT: commit the statements, the request id and the response */
	JH_JOB_PHASE_COMMIT,
	/** @JH_JOB_PHASE_LOAD_RESPONSE: the request id exists: read the stored response */
	JH_JOB_PHASE_LOAD_RESPONSE,
	/** @JH_JOB_PHASE_ROLLBACK: end the transaction of the request id without effect */
	JH_JOB_PHASE_ROLLBACK,
	/** @JH_JOB_PHASE_READ_LOG_END: read the position of the end of the primary's log, and check
	 */
	JH_JOB_PHASE_READ_LOG_END,
	/** @JH_JOB_PHASE_CHECK: check that the response is that of the job's own statements */
	JH_JOB_PHASE_CHECK,
	/** @JH_JOB_PHASE_END: the job has ended; also the number of phases */
	JH_JOB_PHASE_END,
} _jh_job_phase_t;

/** enum _jh_step_kind - kind of a step, a message or libpq call of the caller's phase */
typedef enum _jh_step_kind {
	/** @JH_STEP_SIMPLE: a simple query */
	JH_STEP_SIMPLE,
	/** @JH_STEP_PREPARE: a Parse that the owner adds; its result is not sent to the caller */
	JH_STEP_PREPARE,
	/** @JH_STEP_PARSE: a Parse of the caller */
	JH_STEP_PARSE,
	/** @JH_STEP_DESCRIBE: a Describe of a statement */
	JH_STEP_DESCRIBE,
	/** @JH_STEP_BIND: a Bind without Execute; sent as a Describe of the statement */
	JH_STEP_BIND,
	/** @JH_STEP_EXECUTE: a Bind with its Execute */
	JH_STEP_EXECUTE,
	/** @JH_STEP_CLOSE: a Close; answered without the database */
	JH_STEP_CLOSE,
	/** @JH_STEP_SYNC: a Sync */
	JH_STEP_SYNC,
} _jh_step_kind_t;

/**
 * struct _jh_step - a step whose result is awaited
 * @kind: kind of the step
 * @op: the caller's op, NULL if the owner added the Sync; borrowed from the job's frame and not
 *      used once the job has ended
 */
typedef struct _jh_step {
	_jh_step_kind_t kind;
	const Jh__Op *op;
} _jh_step_t;

/**
 * struct _jh_conn - one connection to a database
 * @pool: the pool that the connection belongs to
 * @pg: libpq's connection
 * @state: state of the connection
 * @mode: access mode of the session
 * @is_dirty: statements may have changed the session state: DISCARD ALL must run
 * @must_close: the connection must not run another job, because the session is not usable, its
 *              address has changed or a late cancel request could hit a later statement
 * @is_broken: the protocol is in a state that the owner cannot leave; nothing more is sent
 * @has_stray: an answer came while no statement ran; the connection is closed
 * @check: number that the last check selected
 * @awaits_check: the answer to the check has not arrived
 * @is_paused: results are not read, because the caller is slower than the database
 * @job: the job that it runs; NULL if there is none or the job was abandoned
 * @phase: phase of the job
 * @steps: array of _jh_step_t of JH_JOB_PHASE_CALLER
 * @step: index of the step whose result is awaited
 * @in_rows: the messages that precede the rows of the current result were written
 * @step_rows: number of rows written of the current result
 * @discards_results: results are discarded until the next Sync, because of an error
 * @position_before: value of the parameter group_position when the job started
 * @team: team that is charged for the time since @started_us, NULL if none; interned
 * @started_us: time when the job started
 * @state_since_us: time when @state was set, or when the job was abandoned
 * @pin: handle in the owner's table of pins; JH_HANDLE_NONE unless a transaction is open
 * @pin_vm: VM of the entry that opened the transaction; interned
 * @pin_boot: boot id of that entry's daemon
 * @pid: process id of the database's session, for cancel requests; 0 if not known
 * @secret: secret key of the session, for cancel requests
 * @trace: stream that libpq writes the trace of the start-up messages to, see owner_conn.c
 * @trace_text: contents of @trace
 * @trace_length: length of @trace_text in bytes
 * @read: watches the socket for input
 * @write: watches the socket for output
 * @timeout: fires when the connection took too long to open
 */
struct _jh_conn {
	_jh_pool_t *pool;
	PGconn *pg;
	_jh_conn_state_t state;
	_jh_conn_mode_t mode;
	bool is_dirty;
	bool must_close;
	bool is_broken;
	bool has_stray;
	uint64_t check;
	bool awaits_check;
	bool is_paused;
	_jh_job_t *job;
	_jh_job_phase_t phase;
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

/** enum _jh_job_state - state of a job */
typedef enum _jh_job_state {
	/** @JH_JOB_QUEUED: waits for a slot and a connection */
	JH_JOB_QUEUED,
	/** @JH_JOB_RUNNING: runs on a connection */
	JH_JOB_RUNNING,
	/** @JH_JOB_WITHHELD: has run; waits until its position is replicated to a majority */
	JH_JOB_WITHHELD,
} _jh_job_state_t;

/**
 * struct _jh_request_key - key that identifies a request; the same for all its attempts
 * @vm: VM of the entry; interned
 * @boot: boot id of the entry's daemon
 * @id: number of the request, unique within @vm and @boot
 */
typedef struct _jh_request_key {
	const char *vm;
	uint64_t boot;
	uint64_t id;
} _jh_request_key_t;

/**
 * struct _jh_job - a Request frame and its response so far
 * @owner: state of the owner task
 * @pool: pool of the database
 * @handle: handle in the owner's table of jobs; also the item in the fair queue
 * @id: key of the request, the same for the jobs of all its attempts
 * @frame: the frame that contains the request; owned
 * @request: the request in @frame
 * @team: team of the caller; interned
 * @state: state of the job
 * @conn: connection that runs the job, NULL unless it is running
 * @deadline: timer that fires at the caller's deadline
 * @queued_us: time when the request arrived
 * @started_us: time when the job got its connection; 0 before
 * @run_us: time for which the job ran on the connection
 * @unsent: messages of the response that were not sent yet
 * @parts: number of AnswerPart frames sent
 * @bytes_sent: number of bytes of messages sent
 * @bytes_acked: number of these bytes that the entry has passed on to its caller
 * @rows: number of data rows in the response
 * @digest: SHA-256 state over the messages sent
 * @withholds_rest: a command was completed: all further messages are sent with the AnswerEnd
 * @commands_completed: number of commands completed
 * @failed: the response contains an ErrorResponse
 * @sqlstate: SQLSTATE of the last error
 * @depends_on_rows: a command other than transaction control was completed, so that the response
 *                   may depend on rows that it read
 * @controls_transaction: a command began or ended a transaction
 * @statements_sent: the caller's statements were passed to libpq
 * @created_id_table: the table of request ids was missing, and this job tried to create it
 * @is_replay: the request id exists; the stored response is sent
 * @is_duplicate: the request id exists, but no response is stored with it
 * @not_primary: the database refused the write because it is not the primary
 * @pin_limited: the job only began a transaction, and too many transactions are open
 * @run_failed: the connection or a statement of the owner's own failed, so that the response is not
 *              complete or its position is not known
 * @must_hold: the response must be withheld until @position is replicated to a majority
 * @wrote: the caller's session takes @position as its new position
 * @position: position that the response depends on
 * @transaction: transaction status after the job: 'I' (idle), 'T' (open) or 'E' (failed)
 * @pin: pin of the open transaction, JH_HANDLE_NONE if there is none
 */
struct _jh_job {
	_jh_owner_t *owner;
	_jh_pool_t *pool;
	jh_handle_t handle;
	_jh_request_key_t id;
	Jh__Frame *frame;
	const Jh__Request *request;
	const char *team;
	_jh_job_state_t state;
	_jh_conn_t *conn;
	ev_timer deadline;
	int64_t queued_us;
	int64_t started_us;
	int64_t run_us;
	GByteArray *unsent;
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

/* Jobs (modules/owner_job.c) */

/**
 * _jh_job_new() - make a queued job and start its deadline timer
 * @vm: VM of the entry; interned
 * @boot: boot id of the entry's daemon
 * @frame: Request frame; the job takes ownership of it
 *
 * Return: the new job, which is listed in the owner's tables but not in the pool's queue
 */
_jh_job_t *_jh_job_new(_jh_owner_t *owner, _jh_pool_t *pool, const char *vm, uint64_t boot,
		       Jh__Frame *frame);

/**
 * _jh_job_free() - remove the job from its queue, connection and tables, and free it
 *
 * Sends nothing: the entry gets no AnswerEnd.
 */
void _jh_job_free(_jh_job_t *job);

/**
 * _jh_job_flush() - send the pending messages if they are long enough and need not be withheld
 *
 * Messages of a write with a request id are kept until they are too long to be stored.
 */
void _jh_job_flush(_jh_job_t *job);

/** _jh_job_write_error() - append an ErrorResponse of the owner's own to the response */
void _jh_job_write_error(_jh_job_t *job, const char *sqlstate, const char *message);

/**
 * _jh_job_finish() - send the response with outcome DONE, or withhold it until it is replicated
 *
 * Frees the job unless the response is withheld.
 */
void _jh_job_finish(_jh_job_t *job);

/**
 * _jh_job_refuse() - send outcome NOT_RUN and free the job
 * @retry_after_ms: delay after which the entry may try again, in milliseconds
 *
 * Precondition: the request has not taken effect. Asserts that no part was sent.
 */
void _jh_job_refuse(_jh_job_t *job, Jh__AnswerEnd__Reason reason, const char *message,
		    uint32_t retry_after_ms);

/**
 * _jh_job_end_unknown() - send outcome UNKNOWN (the request may have run) and free the job
 *
 * If the response was withheld and its transaction is open, the transaction is rolled back.
 */
void _jh_job_end_unknown(_jh_job_t *job, Jh__AnswerEnd__Reason reason, const char *message);

/**
 * _jh_owner_refuse() - send outcome NOT_RUN for a request for which no job exists
 * @vm: VM of the entry
 * @retry_after_ms: delay after which the entry may try again, in milliseconds
 */
void _jh_owner_refuse(_jh_owner_t *owner, const char *vm, const Jh__Request *request,
		      Jh__AnswerEnd__Reason reason, const char *message, uint32_t retry_after_ms);

/** _jh_pool_settle_withheld() - end the withheld jobs that the newest view decides */
void _jh_pool_settle_withheld(_jh_pool_t *pool);

/** _jh_request_key_hash(), _jh_request_key_equal() - functions for hash tables with these keys */
guint _jh_request_key_hash(gconstpointer id);
gboolean _jh_request_key_equal(gconstpointer a, gconstpointer b);

/* Pools (modules/owner_pool.c) */

/** _jh_pool_new() - make an owned pool without connections. Return: new, free by _jh_pool_free() */
_jh_pool_t *_jh_pool_new(_jh_owner_t *owner, const jh_group_t *group,
			 const jh_database_t *database);

/** _jh_pool_free() - close all connections and free the pool; no job may be left in it */
void _jh_pool_free(void *pool);

/**
 * _jh_pool_update() - apply the configuration of the database and mark the pool as owned
 *
 * If the address, database name or role changed, unused connections are closed, and the others
 * once their work ends.
 */
void _jh_pool_update(_jh_pool_t *pool, const jh_group_t *group, const jh_database_t *database);

/** _jh_pool_disown() - stop new work, because another VM owns the database; running jobs finish */
void _jh_pool_disown(_jh_pool_t *pool);

/**
 * _jh_pool_set_abandoned() - mark the database as abandoned, or as usable again
 *
 * Abandoning it refuses the queued jobs, closes all connections and ends the running jobs.
 */
void _jh_pool_set_abandoned(_jh_pool_t *pool, bool is_abandoned);

/**
 * _jh_pool_enqueue() - append a new job to the queue and start it if possible, or refuse it
 *
 * The job may be freed before the function returns.
 */
void _jh_pool_enqueue(_jh_pool_t *pool, _jh_job_t *job);

/**
 * _jh_pool_run_pinned() - run a job of an open transaction without queueing
 * @conn: the pinned connection of the transaction
 */
void _jh_pool_run_pinned(_jh_pool_t *pool, _jh_conn_t *conn, _jh_job_t *job);

/** _jh_pool_dispatch() - start queued jobs on free connections; open connections if needed */
void _jh_pool_dispatch(_jh_pool_t *pool);

/**
 * _jh_pool_on_connect_failed() - start or double the delay before the next attempt to connect
 *
 * Refuses all queued jobs if the pool has no open connection.
 */
void _jh_pool_on_connect_failed(_jh_pool_t *pool);

/** _jh_pool_on_tick() - close connections that have expired, keep a few open, dispatch */
void _jh_pool_on_tick(_jh_pool_t *pool);

/** _jh_pool_is_finished() - the pool is not owned and has no connections and no jobs */
bool _jh_pool_is_finished(const _jh_pool_t *pool);

/** _jh_pool_group_view() - Return: newest view of the group, borrowed; NULL if there is none */
const jh_group_view_t *_jh_pool_group_view(const _jh_pool_t *pool);

/** _jh_pool_is_primary() - the newest view names the database as its group's primary */
bool _jh_pool_is_primary(const _jh_pool_t *pool);

/** _jh_pool_is_pin_limited() - open transactions use more connections than they may */
bool _jh_pool_is_pin_limited(const _jh_pool_t *pool);

/** _jh_pool_observe_position() - raise the known applied position of the database to @position */
void _jh_pool_observe_position(_jh_pool_t *pool, jh_position_t position);

/* Connections (modules/owner_conn.c) */

/** _jh_conn_open() - begin to connect. Return: new, added to the pool; NULL if libpq failed */
_jh_conn_t *_jh_conn_open(_jh_pool_t *pool);

/** _jh_conn_set_state() - set the state and update the pool's number of used slots */
void _jh_conn_set_state(_jh_conn_t *conn, _jh_conn_state_t state);

/**
 * _jh_conn_is_quiet() - read what has arrived while no statement runs
 *
 * Return: true if the next statement can be sent; false if an answer has arrived that belongs to no
 * statement, or if the connection is lost. It must then be closed.
 */
bool _jh_conn_is_quiet(_jh_conn_t *conn);

/** _jh_conn_flush() - write what libpq has buffered. Return: 0, -1 if the connection is lost */
int _jh_conn_flush(_jh_conn_t *conn);

/**
 * _jh_conn_release() - return a connection without a job to the pool
 *
 * Cleans the session first if necessary; closes and frees the connection if it can't be used again.
 */
void _jh_conn_release(_jh_conn_t *conn);

/** _jh_conn_unpin() - roll back and release a connection; asserts that it is in JH_CONN_PINNED */
void _jh_conn_unpin(_jh_conn_t *conn);

/** _jh_conn_pause() - stop (@is_paused) or resume reading results from the socket */
void _jh_conn_pause(_jh_conn_t *conn, bool is_paused);

/**
 * _jh_conn_cancel() - send a cancel request for the running statement
 *
 * The connection is closed after its work, since the request may arrive late. Does nothing if the
 * connection is not working, must be closed anyway or has no cancel key.
 */
void _jh_conn_cancel(_jh_conn_t *conn);

/**
 * _jh_conn_abandon() - cancel the statement of a job that has ended, and discard its results
 *
 * The connection is released once the results have arrived. Asserts that it is in JH_CONN_WORKING
 * and has no job.
 */
void _jh_conn_abandon(_jh_conn_t *conn);

/** _jh_conn_close() - close and free the connection; asserts that it has no job */
void _jh_conn_close(_jh_conn_t *conn);

/* Cancel requests (modules/owner_cancel.c) */

/**
 * _jh_cancel_send() - send a CancelRequest on a socket of its own
 * @host: IP address of the database
 * @pid: process id from the session's BackendKeyData
 * @secret: secret key from the session's BackendKeyData
 *
 * Does not block. Errors are ignored; the statement is then not cancelled.
 */
void _jh_cancel_send(_jh_owner_t *owner, const char *host, uint16_t port, uint32_t pid,
		     uint32_t secret);

/** _jh_cancel_free() - end a cancel request; element destructor of the owner's array */
void _jh_cancel_free(void *cancel);

/* Running jobs (modules/owner_run.c) */

/** _jh_run_start() - run a job; asserts that the connection is idle or pinned */
void _jh_run_start(_jh_conn_t *conn, _jh_job_t *job);

/** _jh_run_continue() - handle the results that have arrived; may free the connection */
void _jh_run_continue(_jh_conn_t *conn);

/**
 * _jh_run_on_ack() - the entry has passed @bytes of the response on to its caller
 *
 * Resumes reading if the window was full. Values above the number of bytes sent are ignored.
 */
void _jh_run_on_ack(_jh_job_t *job, uint64_t bytes);

/** _jh_run_on_conn_lost() - end the job of a lost connection, without closing it */
void _jh_run_on_conn_lost(_jh_conn_t *conn);

/* The caller's statements (modules/owner_steps.c) */

/** _jh_steps_send() - send the job's statements. Return: 0, -1 if libpq failed */
int _jh_steps_send(_jh_conn_t *conn);

/** _jh_steps_handle_result() - append the result of the current step to the job's response */
void _jh_steps_handle_result(_jh_conn_t *conn, const PGresult *result);

/** _jh_steps_advance() - go to the next step. Return: true if the current step was the last */
bool _jh_steps_advance(_jh_conn_t *conn);

/* Encoding of results (modules/owner_encode.c) */

/**
 * _jh_encode_report() - append an ErrorResponse or NoticeResponse with all fields of @result
 * @type: JH_V3_ERROR_RESPONSE or JH_V3_NOTICE_RESPONSE
 */
void _jh_encode_report(GByteArray *out, uint8_t type, const PGresult *result);

/** _jh_encode_result_format() - format that @op (NULL: text) requests for column @i, 0 or 1 */
int16_t _jh_encode_result_format(const Jh__Op *op, unsigned i);

/** _jh_encode_libpq_format() - Return: format to request from libpq for all columns, 0 or 1 */
int _jh_encode_libpq_format(const Jh__Op *op);

/** _jh_encode_find_unsupported() - Return: first column that can't be converted, -1 if none */
int _jh_encode_find_unsupported(const Jh__Op *op, const PGresult *result);

/** _jh_encode_description() - append a RowDescription, or NoData if there are no columns */
void _jh_encode_description(GByteArray *out, const Jh__Op *op, const PGresult *result);

/** _jh_encode_parameters() - append a ParameterDescription */
void _jh_encode_parameters(GByteArray *out, const PGresult *result);

/** _jh_encode_row() - append a DataRow with row @row of @result in the requested formats */
void _jh_encode_row(GByteArray *out, const Jh__Op *op, const PGresult *result, int row);

#endif
