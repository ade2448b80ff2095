#ifndef JH_INTERNAL_GATEWAY_H
#define JH_INTERNAL_GATEWAY_H

#include "jh_admission.h"
#include "jh_answers.h"
#include "jh_dc_drain.h"
#include "jh_frame.h"
#include "jh_freshness.h"
#include "jh_holder_map.h"
#include "jh_member_choice.h"
#include "jh_position_ask.h"
#include "jh_primary.h"
#include "jh_retry.h"
#include "jh_service.h"
#include "jh_session.h"
#include "jh_slow_start.h"
#include "jh_topology.h"
#include "jh_wire.h"

#include <ev.h>

/**
 * DOC: The gateway
 *
 * The gateway keeps the callers' sessions and pooled connections to the members. For each statement
 * it chooses a member, queues it, retries it where that is safe, or refuses it. caller.c has the
 * sockets and sessions, request.c the processing of a statement, queue.c the queue of those that
 * wait, dispatch.c the choice of a connection, place.c the place of the holders, position.c the
 * log positions that VMs tell each other, conn.c the connections to members, ready.c the
 * readiness probes of the balancer, shutdown.c what a draining process still accepts, and gateway.c
 * the task itself. restrict.c says which members
 * and VMs a statement may use at all, and slow_start.c how much a member gets that has just
 * started. All functions run on the task's event loop.
 *
 * Where a member's connections do not suffice for every VM, the VM that has a caller's session (the
 * entry) forwards its statements to a VM that holds connections (the holder); see jh_holders.h.
 * forward.c is the entry's side, holder.c the holder's. On the holder, a forwarded operation is a
 * caller without a socket, which request.c and dispatch.c treat like any other.
 */

typedef struct _jh_gateway _jh_gateway_t;
typedef struct _jh_gw_group _jh_gw_group_t;
typedef struct _jh_gw_member _jh_gw_member_t;
typedef struct _jh_caller _jh_gw_caller_t;
typedef struct _jh_conn _jh_gw_conn_t;

/**
 * struct _jh_gw_group - a group of databases
 * @name: interned
 * @primary: newest known row of the group; epoch 0 if none is known
 * @freshness: samples of the log position at this primary
 * @primary_position: the highest position that this primary has reported in a signed answer
 * @acknowledged: see jh_acknowledged_msg_t; term 0 if no commit is known
 * @members: _jh_gw_member_t *, borrowed
 * @admission: the callers that wait for a connection, and who is to wait
 * @retries: limits the retries of the gateway to a share of the group's statements
 * @outage: how long a primary has been lacking, and how long it usually is
 * @outage_epoch: epoch of the row of the group when the present outage began
 * @reviewed_us: boot time when the estimates of waiting callers were last made again
 * @reported_us: boot time of the last event "queue"; @refused: callers refused since then
 * @is_primary_reported: the primary of this epoch was reported to the leader
 * @repeats_answers: an answer was received twice from one of its members
 * @ranked: VMs that may hold its connections, best first; NULL until it is computed
 * @holder_map: its holders by data centre; NULL if they are not chosen in that way
 * @has_holder_map: @holder_map is up to date
 * @is_holder: this VM was a holder in the last @holder_map
 * @asker: asks other VMs for samples; NULL until the first read
 * @unable: by interned VM name, the boot time until which that holder gets no statements of the
 *	group; NULL while it is empty
 * @unfit_dcs: by interned name, the boot time until which other data centres are preferred for
 *	reads; NULL while it is empty
 */
struct _jh_gw_group {
	const char *name;
	jh_primary_t primary;
	jh_freshness_t *freshness;
	jh_position_t primary_position;
	jh_position_t acknowledged;
	GPtrArray *members;
	jh_admission_t *admission;
	jh_retry_budget_t retries;
	jh_outage_estimate_t outage;
	uint64_t outage_epoch;
	int64_t reviewed_us;
	int64_t reported_us;
	unsigned refused;
	bool is_primary_reported;
	bool repeats_answers;
	GPtrArray *ranked;
	jh_holder_map_t *holder_map;
	bool has_holder_map;
	bool is_holder;
	jh_position_asker_t *asker;
	GHashTable *unable;
	GHashTable *unfit_dcs;
};

/**
 * struct _jh_gw_member - a database
 * @info: its registration; owned
 * @group: borrowed
 * @conns: its connections; owned
 * @position: its last reported log position; @position_us: boot time when it arrived
 * @last_received_us: boot time when it last sent data
 * @no_connect_until_us: boot time until which no connection is opened, after a failed one
 * @lagging_until_us: boot time until which other members are preferred, after it reported BEHIND
 * @overloaded_until_us: boot time until which other members are preferred, after it reported BUSY
 * @no_tokens_until_us: boot time until which it gets no statements, as its limit of slow start was
 *	reached
 * @failures: consecutive failed attempts to connect
 * @unlisted_us: boot time when its registration disappeared, 0 while it is registered; see
 * _jh_gw_member_is_listed()
 * @opens: number of connections opened, with exponential decay (half-life 1 s), as of @opens_us
 */
struct _jh_gw_member {
	jh_member_t *info;
	_jh_gw_group_t *group;
	GPtrArray *conns;
	jh_position_t position;
	int64_t position_us;
	int64_t last_received_us;
	int64_t no_connect_until_us;
	int64_t lagging_until_us;
	int64_t overloaded_until_us;
	int64_t no_tokens_until_us;
	unsigned failures;
	int64_t unlisted_us;
	double opens;
	int64_t opens_us;
};

/** enum _jh_gw_conn_step - state of a connection: what it waits for */
typedef enum _jh_gw_conn_step {
	JH_CONN_CONNECTING,
	JH_CONN_STARTING,
	JH_CONN_IDLE,
	/** @JH_CONN_SETTING: the reply to a SET, RESET or PREPARE for the session */
	JH_CONN_SETTING,
	/** @JH_CONN_CONFIRMING: the reply to a STATUS that follows settings */
	JH_CONN_CONFIRMING,
	JH_CONN_BEGINNING,
	JH_CONN_RUNNING,
	/** @JH_CONN_CLEANING: the reply to a rollback or to an abandoned statement */
	JH_CONN_CLEANING,
} _jh_gw_conn_step_t;

/**
 * struct _jh_conn - a connection to a member, for one team
 * @member: borrowed
 * @team: interned
 * @step: what it waits for
 * @tx_state: transaction state in the member's last READY: 'I', 'T' or 'E'
 * @user: caller that it is assigned to, borrowed; NULL if none
 * @in: bytes received; @out: bytes to send
 * @values: session values set on it: name to GBytes
 * @prepared: names prepared on it: a set of GBytes
 * @setting_name: session value that JH_CONN_SETTING sets, NULL if it sets none; owned
 * @setting_value: its value; owned
 * @preparing: name that JH_CONN_SETTING prepares, NULL if it prepares none; owned
 * @answers: which lines are the answer to its statement, and that answer
 * @position: log position in the last READY
 * @settings_sent: number of session values and resets that were sent; @settings_confirmed: those of
 *	them whose replies are known to have been received
 * @has_begun: a BEGIN was sent
 * @sent_us: boot time when the statement was written
 * @epoch: the group's epoch if the statement was sent to the primary while the mirror lease was
 * valid, else 0; the mirror lease is the time until which this VM may act on its mirror
 * @sent_after: @primary_position of the group when that statement was sent
 * @idle_us: boot time since when it has been unused
 */
struct _jh_conn {
	_jh_gateway_t *gateway;
	_jh_gw_member_t *member;
	const char *team;
	int fd;
	ev_io read;
	ev_io write;
	ev_timer timer;
	_jh_gw_conn_step_t step;
	char tx_state;
	_jh_gw_caller_t *user;
	GString *in;
	GString *out;
	GHashTable *values;
	GHashTable *prepared;
	char *setting_name;
	GBytes *setting_value;
	GBytes *preparing;
	jh_answers_t answers;
	jh_position_t position;
	unsigned settings_sent;
	unsigned settings_confirmed;
	bool has_begun;
	int64_t sent_us;
	uint64_t epoch;
	jh_position_t sent_after;
	int64_t idle_us;
};

/**
 * struct _jh_prepared - a session's prepared statement
 * @writes: it is a write, so only the primary can run it
 * @statement_text: text of the statement, as the PREPARE had it; owned
 */
typedef struct _jh_prepared {
	bool writes;
	GBytes *statement_text;
} _jh_prepared_t;

/** _jh_gw_values_new() - make a map from names to values (GBytes), both of which it owns */
GHashTable *_jh_gw_values_new(void);

/** _jh_gw_has_value() - whether @values has @name with the value @value */
bool _jh_gw_has_value(GHashTable *values, const char *name, GBytes *value);

/** _jh_gw_prepared_table_new() - make a map from names to _jh_prepared_t, which it owns */
GHashTable *_jh_gw_prepared_table_new(void);

/** enum _jh_gw_request_state - progress of a caller's statement */
typedef enum _jh_gw_request_state {
	JH_REQUEST_NONE,
	JH_REQUEST_QUOTA,
	JH_REQUEST_WAITING,
	JH_REQUEST_ASSIGNED,
	/** @JH_REQUEST_COLD: it waits for a token to send a line to a member that has just started
	 */
	JH_REQUEST_COLD,
	/** @JH_REQUEST_SENT: bytes of the statement itself may have reached the member */
	JH_REQUEST_SENT,
	/** @JH_REQUEST_FORWARDED: a holder may have received the statement */
	JH_REQUEST_FORWARDED,
} _jh_gw_request_state_t;

/** JH_REQUEST_MAX_TRIES - most attempts to run one statement */
#define JH_REQUEST_MAX_TRIES 6u

/** JH_HOLDER_MAX_TRIES - most holders that one statement is sent to */
#define JH_HOLDER_MAX_TRIES 3u

/**
 * struct _jh_gw_transport - how the responses to a caller's statements are sent
 * @send_done: send the success of a statement that the gateway ran itself
 * @send_error: send an error
 * @send_rows: send a member's result; @position is NULL if the member reported none
 *
 * Each of them ends the statement.
 */
typedef struct _jh_gw_transport {
	void (*send_done)(_jh_gw_caller_t *caller);
	void (*send_error)(_jh_gw_caller_t *caller, jh_code_t code, const char *text);
	void (*send_rows)(_jh_gw_caller_t *caller, jh_text_t lines, const jh_position_t *position);
} _jh_gw_transport_t;

/**
 * struct _jh_gw_operation_key - identifies a forwarded operation on its holder
 * @vm: the entry, interned; NULL if the caller has its session on this VM
 * @boot: boot id of the entry's instance
 * @operation: the entry's number of the operation
 */
typedef struct _jh_gw_operation_key {
	const char *vm;
	uint64_t boot;
	uint64_t operation;
} _jh_gw_operation_key_t;

/**
 * struct _jh_caller - a session, or on a holder a forwarded operation
 * @transport: sends the responses
 * @remote: on a holder, the operation and its entry; the fields @fd, @read, @write, @in and @out
 *	are unused then
 * @statement_id: on a holder, the entry's number of the statement
 * @had_commit: on a holder, the statement came with a position for @commits
 * @try_elsewhere: on a holder, another holder may be able to run the statement
 * @may_refer: on a holder, the statement may be sent back if no member near this VM can run it
 * @refers: on a holder, the statement is sent back for this reason
 * @tx_state: 'I' outside a transaction, 'T' in a transaction, 'E' in a failed one
 * @is_starting: its START waits for the configuration
 * @is_closing: the session ends once @out is sent; no further input is handled
 * @write_failed: sending failed; the session is freed by the next event of @timer
 * @database: route name of its START; NULL before START
 * @key: its key, NULL if START had none
 * @team: of its key when the operation began; interned, NULL on a public route without a team
 * @values: session values: name to GBytes; NULL while there are none
 * @prepared: name to _jh_prepared_t; NULL while there are none
 * @commits: position of its newest commit in each group; on a holder, in the statement's group
 * @has_unplaced_commit: the position of one of its commits is not known, so that its reads that
 *must see its commits go to the primary
 * @route: of the operation, a copy that a new configuration does not change
 * @tx_read_only: BEGIN READ
 * @tx_begin_id: id of the caller's BEGIN; owned, as is its text
 * @tx_began: the member ran BEGIN
 * @tx_error: error code for the next statement if the gateway ended the transaction, else NONE
 * @conn: connection used by the transaction or the statement
 * @idle_us: boot time since when the caller has no statement in progress
 * @request: progress of the statement; the fields below belong to it
 * @arrived_us: boot time when the statement arrived
 * @tries: failed attempts
 * @tried: members of the failed attempts; @tried_us: boot time of the last failure
 * @quota_grant: number of the operation's grant of quota, 0 if none can be given back
 * @open_sends: number of times that the operation was sent to a member or holder which has not
 *	answered that nothing of it ran
 * @last_member: member that it was last sent to, NULL if none; interned
 * @cold_tag: tag of its last request for a token of slow start, 0 before the first one
 * @has_cold_token: the next line may be sent to its cold member
 * @waiting_group: group in whose wait queue it is, NULL if it is in none
 * @awaits_position: it waits for a log position that another VM was asked for
 * @estimate: the last decision on whether it runs, waits or is refused
 * @ticket: counts it as one that occupies a connection of @ticket_group, which is NULL if it does
 *	not
 * @operation: number of the operation that was forwarded last
 * @holder: VM that runs the open transaction, interned; NULL if none does
 * @last_holder: VM that the statement was last forwarded to, NULL if none; interned
 * @forwards: _jh_gw_forward_t *, copies of the statement whose results are outstanding; borrowed
 * @tried_holders: VMs to which the statement was sent without success, or that do not respond
 * @tried_epoch: epoch of the group's primary at the last of them
 */
struct _jh_caller {
	_jh_gateway_t *gateway;
	const _jh_gw_transport_t *transport;
	_jh_gw_operation_key_t remote;
	uint64_t statement_id;
	bool had_commit;
	bool try_elsewhere;
	bool may_refer;
	bool refers;
	uint64_t tag;
	int fd;
	ev_io read;
	ev_io write;
	ev_timer timer;
	GString *in;
	GString *out;
	bool is_starting;
	bool is_closing;
	bool write_failed;
	char tx_state;
	char *database;
	char *key;
	const char *team;
	GHashTable *values;
	GHashTable *prepared;
	jh_session_t commits;
	bool has_unplaced_commit;
	jh_fleet_route_t route;
	bool tx_read_only;
	char *tx_begin_id;
	char *tx_begin_text;
	bool tx_began;
	jh_code_t tx_error;
	_jh_gw_conn_t *conn;
	int64_t idle_us;

	_jh_gw_request_state_t request;
	jh_statement_type_t type;
	char *id;
	GBytes *text;
	char *name;
	GBytes *rest;
	int64_t arrived_us;
	unsigned tries;
	const char *tried[JH_REQUEST_MAX_TRIES];
	int64_t tried_us;
	uint64_t quota_grant;
	unsigned open_sends;
	const char *last_member;
	uint64_t cold_tag;
	bool has_cold_token;
	_jh_gw_group_t *waiting_group;
	bool awaits_position;
	jh_admission_decision_t estimate;
	jh_admission_ticket_t ticket;
	_jh_gw_group_t *ticket_group;

	uint64_t operation;
	const char *holder;
	const char *last_holder;
	GSList *forwards;
	const char *tried_holders[JH_HOLDER_MAX_TRIES];
	unsigned holder_tries;
	uint64_t tried_epoch;
};

/**
 * struct _jh_gateway - state of the task
 * @dc: data centre of this VM; interned
 * @topology: regions of the data centres
 * @config: the newest fleet configuration, NULL before the first one
 * @is_complete: the mirror has read every table at least once
 * @lease_until_us: boot time at which the mirror lease expires; known primaries are usable until
 * then
 * @config_late_us: see jh_mirror_lease_msg_t
 * @drains: data centres to whose members nothing more is to be sent
 * @vms: newest list of jh_vm_t *, NULL before the first one
 * @vm_count: number of VMs that are not dead, this one included
 * @groups: by name; @members: by id; @callers: by tag
 * @operations: on a holder, forwarded operations by their _jh_gw_operation_key_t; borrowed
 * @forwards: _jh_gw_forward_t by id; owned
 * @holders: _jh_gw_holder_t by interned VM name; owned
 * @slow_starts: jh_slow_start_t by interned id of the member; owned
 * @cold_asks: callers by the tag of a request for a token of slow start; borrowed
 * @next_forward_id: number of the next forwarded statement or operation
 * @forward_tick_us: boot time of the last check of forwarded statements
 * @dispatch_watcher: dispatches the wait queues once in a loop iteration if @needs_dispatch is set
 * @dispatch_retry: timer that dispatches the wait queues again while callers wait
 * @drain_started_us: boot time when draining began, 0 before
 * @outage_us: usual duration of a change of primary in any group, 0 before the first
 */
struct _jh_gateway {
	jh_task_t *task;
	const jh_wire_t *wire;
	const char *dc;
	jh_topology_t *topology;
	jh_fleet_config_t *config;
	bool is_complete;
	int64_t lease_until_us;
	int64_t config_late_us;
	jh_dc_drains_t *drains;
	GPtrArray *vms;
	unsigned vm_count;
	GHashTable *groups;
	GHashTable *members;
	GHashTable *callers;
	GHashTable *operations;
	GHashTable *forwards;
	GHashTable *holders;
	GHashTable *slow_starts;
	GHashTable *cold_asks;
	uint64_t next_forward_id;
	int64_t forward_tick_us;
	uint64_t next_tag;
	ev_io accept;
	ev_timer tick;
	ev_prepare dispatch_watcher;
	ev_timer dispatch_retry;
	bool needs_dispatch;
	int64_t drain_started_us;
	bool is_isolated;
	int64_t outage_us;
	struct _jh_ready *ready;
};

/* ---- caller.c ---- */

/** _jh_gw_caller_accept() - create a session; takes ownership of @fd */
void _jh_gw_caller_accept(_jh_gateway_t *gateway, int fd);
/** _jh_gw_caller_send_done() - respond with success to a statement that the gateway runs itself */
void _jh_gw_caller_send_done(_jh_gw_caller_t *caller);
/** _jh_gw_caller_refuse() - respond with an error; the session stays open in its current state */
void _jh_gw_caller_refuse(_jh_gw_caller_t *caller, jh_code_t code, const char *format, ...)
	G_GNUC_PRINTF(3, 4);
/** _jh_gw_caller_relay() - respond with a member's result, its lines unchanged */
void _jh_gw_caller_relay(_jh_gw_caller_t *caller, jh_text_t lines, const jh_position_t *position);
/**
 * _jh_gw_caller_new_remote() - create a caller for a forwarded operation, without a socket
 * @key: copied
 */
_jh_gw_caller_t *_jh_gw_caller_new_remote(_jh_gateway_t *gateway,
					  const _jh_gw_transport_t *transport,
					  const _jh_gw_operation_key_t *key);
/** _jh_gw_caller_clear_statement() - forget the statement, whose response was sent */
void _jh_gw_caller_clear_statement(_jh_gw_caller_t *caller);
/** _jh_gw_caller_free_soon() - free the caller in an event of its own, when no function uses it */
void _jh_gw_caller_free_soon(_jh_gw_caller_t *caller);
/** _jh_gw_caller_finish_start() - respond to START; the configuration must be known */
void _jh_gw_caller_finish_start(_jh_gw_caller_t *caller);
/** _jh_gw_caller_free() - abandon its statement, close the session and free it */
void _jh_gw_caller_free(_jh_gw_caller_t *caller);
/**
 * _jh_gw_caller_close_if_idle() - free the session if it has no statement, transaction or unsent
 * data
 *
 * Return: true if the session was freed
 */
bool _jh_gw_caller_close_if_idle(_jh_gw_caller_t *caller);
/**
 * _jh_gw_caller_tick() - check the time limits of a session
 *
 * Ends a transaction that is idle for too long, and frees a session that sends no START, does not
 * read its responses, or is idle while the VM drains or is isolated.
 */
void _jh_gw_caller_tick(_jh_gw_caller_t *caller, int64_t now_us);

/* ---- request.c ---- */

/** _jh_gw_request_start() - start processing a caller's statement; none may be in progress */
void _jh_gw_request_start(_jh_gw_caller_t *caller, const jh_caller_message_t *message);
/** _jh_gw_request_on_quota() - the quota task granted or refused the operation */
void _jh_gw_request_on_quota(_jh_gw_caller_t *caller, const jh_quota_msg_t *reply);
/** _jh_gw_request_on_cold_token() - the quota task granted or refused a token of slow start */
void _jh_gw_request_on_cold_token(_jh_gw_caller_t *caller, bool granted);
/** _jh_gw_request_dispatch() - send the statement, queue it, or refuse it */
void _jh_gw_request_dispatch(_jh_gw_caller_t *caller);
/**
 * _jh_gw_request_can_use() - whether the idle connection can run the caller's statement
 * @lacks_values: session values must be set or reset on it
 *
 * False if the member repeats answers, so that those to the statements before the caller's would be
 * uncertain.
 */
bool _jh_gw_request_can_use(const _jh_gw_caller_t *caller, const _jh_gw_conn_t *conn,
			    bool lacks_values);
/** _jh_gw_request_assign() - send the statement, which waited, on a free or new connection */
void _jh_gw_request_assign(_jh_gw_caller_t *caller, _jh_gw_conn_t *conn);
/** _jh_gw_request_forward() - send the statement to a holder, if one is to run it */
bool _jh_gw_request_forward(_jh_gw_caller_t *caller);
/**
 * _jh_gw_request_refuse_waiting() - refuse a statement that waited and has not run
 * @try_elsewhere: another holder may be able to run it
 */
void _jh_gw_request_refuse_waiting(_jh_gw_caller_t *caller, bool try_elsewhere, const char *reason);
/** _jh_gw_request_run_forwarded() - run a statement that an entry forwarded to this VM */
void _jh_gw_request_run_forwarded(_jh_gw_caller_t *caller, int64_t timeout_us);
/** _jh_gw_request_on_result() - a holder replied to the caller's statement */
void _jh_gw_request_on_result(_jh_gw_caller_t *caller, const Jh__StatementResult *result);
/**
 * _jh_gw_request_on_holder_lost() - no result of the caller's forwarded statement will arrive
 * @not_run: the holder never ran any part of the operation
 */
void _jh_gw_request_on_holder_lost(_jh_gw_caller_t *caller, bool not_run);
/** _jh_gw_request_is_repeatable() - true if running the caller's statement twice does no harm */
bool _jh_gw_request_is_repeatable(const _jh_gw_caller_t *caller);
/** _jh_gw_request_on_ready() - the caller's connection completed @step and is idle */
void _jh_gw_request_on_ready(_jh_gw_caller_t *caller, _jh_gw_conn_step_t step,
			     const jh_member_message_t *ready);
/** _jh_gw_request_on_conn_lost() - the caller's connection to @member was lost */
void _jh_gw_request_on_conn_lost(_jh_gw_caller_t *caller, const char *member, jh_code_t reason);
/** _jh_gw_request_on_timeout() - the route's timeout passed */
void _jh_gw_request_on_timeout(_jh_gw_caller_t *caller);
/** _jh_gw_request_abandon() - drop the statement without a response; the caller is closed */
void _jh_gw_request_abandon(_jh_gw_caller_t *caller);
/** _jh_gw_request_end_transaction() - roll back and fail the transaction with @code */
void _jh_gw_request_end_transaction(_jh_gw_caller_t *caller, jh_code_t code);
/** _jh_gw_request_on_exit() - respond to the statement in progress, since the process exits */
void _jh_gw_request_on_exit(_jh_gw_caller_t *caller);
/** _jh_gw_request_check_response() - retry a read on another member if its member sends nothing */
void _jh_gw_request_check_response(_jh_gw_caller_t *caller, int64_t now_us);
/** _jh_gw_request_reads_primary() - true if also the reads of the caller's operation need the
 * primary
 */
bool _jh_gw_request_reads_primary(const _jh_gw_caller_t *caller);
/** _jh_gw_request_needs_primary() - true if only the primary can run the caller's statement */
bool _jh_gw_request_needs_primary(const _jh_gw_caller_t *caller);

/* ---- dispatch.c ---- */

/** JH_UNREACHABLE_FAILURES - a member counts as unreachable after so many failures to connect */
#define JH_UNREACHABLE_FAILURES 2u

/**
 * _jh_dispatch_find_conn() - choose a connection for the caller's statement, opening one if needed
 *
 * Return: NULL if there is none now
 */
_jh_gw_conn_t *_jh_dispatch_find_conn(_jh_gw_caller_t *caller);
/** _jh_dispatch_conn_team() - team whose connections the caller uses; interned */
const char *_jh_dispatch_conn_team(const _jh_gw_caller_t *caller);
/**
 * struct _jh_read_need - freshness requirement of a read
 * @is_known: a replica that has applied @position may run the read; else only the primary may
 * @has_position: @position must be sent with the statement
 * @position: lowest log position that the member must have applied
 */
typedef struct _jh_read_need {
	bool is_known;
	bool has_position;
	jh_position_t position;
} _jh_read_need_t;

/**
 * _jh_dispatch_read_need() - freshness requirement of the caller's statement if it is sent now
 *
 * The result depends on the current time. Code that decides whether a member may run the statement
 * and then sends it must use one result for both.
 */
_jh_read_need_t _jh_dispatch_read_need(const _jh_gw_caller_t *caller);
/** _jh_gateway_has_lease() - true while this VM's mirror lease is valid */
bool _jh_gateway_has_lease(const _jh_gateway_t *gateway);
/**
 * _jh_gw_member_has_left() - Return: true if the member said so long ago that it leaves that it may
 *	be gone, so that it gets no new work
 */
bool _jh_gw_member_has_left(const _jh_gateway_t *gateway, const _jh_gw_member_t *member);
/**
 * _jh_gw_member_is_behind() - Return: true if the replica has recently reported that it has not
 *	applied @needed
 *
 * An older report tells nothing: a replica to which no statement is sent reports none.
 */
bool _jh_gw_member_is_behind(const _jh_gw_member_t *member, const jh_position_t *needed,
			     int64_t now_us);
/** _jh_gw_member_is_listed() - true while it is registered and for JH_REGISTRATION_GRACE_US after
 * that */
bool _jh_gw_member_is_listed(const _jh_gw_member_t *member);
/** _jh_gw_group_primary() - the primary; NULL if unknown, being replaced or not listed */
_jh_gw_member_t *_jh_gw_group_primary(const _jh_gateway_t *gateway, const _jh_gw_group_t *group);

/* ---- queue.c ---- */

typedef enum _jh_queue_result {
	JH_QUEUE_FOUND,
	/** @JH_QUEUE_WAIT: it was added to the queue */
	JH_QUEUE_WAIT,
	/** @JH_QUEUE_REFUSE: it is not expected to be served in time */
	JH_QUEUE_REFUSE,
	/** @JH_QUEUE_ELSEWHERE: this VM cannot run the forwarded statement, another one may */
	JH_QUEUE_ELSEWHERE,
} _jh_queue_result_t;

/**
 * _jh_queue_admit() - decide whether the caller's statement is sent, waits or is refused
 * @conn: set to a connection if the result is JH_QUEUE_FOUND
 * @reason: set to the reason in the other cases
 */
_jh_queue_result_t _jh_queue_admit(_jh_gw_caller_t *caller, _jh_gw_conn_t **conn,
				   const char **reason);
/** _jh_queue_remove() - remove the caller from its wait queue, if it is in one */
void _jh_queue_remove(_jh_gw_caller_t *caller);
/**
 * _jh_queue_finish() - the caller does not occupy a connection any more; ignored if it did not
 * @is_complete: its statement ended with a result
 */
void _jh_queue_finish(_jh_gw_caller_t *caller, bool is_complete);
/** _jh_queue_retry_ms() - time after which a place is expected for the caller that is refused */
int _jh_queue_retry_ms(_jh_gw_caller_t *caller);
/** _jh_queue_run() - send, or refuse, waiting statements of all groups */
void _jh_queue_run(_jh_gateway_t *gateway);
/** _jh_queue_on_primary() - the group's row has changed: a change of primary began or ended */
void _jh_queue_on_primary(_jh_gateway_t *gateway, _jh_gw_group_t *group);
/** _jh_queue_tick() - report the queues */
void _jh_queue_tick(_jh_gateway_t *gateway, int64_t now_us);
/* ---- restrict.c ---- */

/** _jh_gw_member_phase() - Return: what drains of data centres let be sent to the member */
jh_dc_phase_t _jh_gw_member_phase(const _jh_gateway_t *gateway, const _jh_gw_member_t *member);
/** _jh_gw_member_accepts() - whether an operation of the caller may begin at the member */
bool _jh_gw_member_accepts(const _jh_gw_caller_t *caller, const _jh_gw_member_t *member);
/**
 * _jh_gw_find_restriction() - Return: reason for which no member may run the caller's statement
 *	until operators change something, static; NULL if one may
 */
const char *_jh_gw_find_restriction(const _jh_gw_caller_t *caller);
/** _jh_gw_apply_dc_drain() - note that the drain of a data centre was requested or ended */
void _jh_gw_apply_dc_drain(_jh_gateway_t *gateway, const jh_dc_drain_msg_t *msg);
/**
 * _jh_gw_must_end_transaction() - Return: true if the caller's open transaction is to be ended,
 *	which the caller of this function does, since the data centre of its member is drained
 */
bool _jh_gw_must_end_transaction(const _jh_gw_caller_t *caller);
/** _jh_gw_close_drained() - close the member's connections as far as a drain requires it now */
void _jh_gw_close_drained(_jh_gateway_t *gateway, _jh_gw_member_t *member);
/**
 * _jh_gw_operation_regions() - Return: regions in which operations of a team on a route may run;
 *	interned, NULL for all
 * @team: NULL if it is not known
 */
const char *_jh_gw_operation_regions(const jh_fleet_config_t *config, const jh_fleet_route_t *route,
				     const char *team);
/** _jh_gw_vm_is_allowed() - whether the caller's statement may be sent to another VM */
bool _jh_gw_vm_is_allowed(const _jh_gw_caller_t *caller, const char *vm);

/* ---- slow_start.c ---- */

/** _jh_gw_slow_start_on_member() - apply a registration */
void _jh_gw_slow_start_on_member(_jh_gateway_t *gateway, const jh_member_t *info);
/** _jh_gw_slow_start_on_conn_lost() - a connection broke; if it was the last, it may have restarted
 */
void _jh_gw_slow_start_on_conn_lost(_jh_gateway_t *gateway, const _jh_gw_member_t *member);
/** _jh_gw_member_is_cold() - whether each line to the member needs a token */
bool _jh_gw_member_is_cold(const _jh_gateway_t *gateway, const _jh_gw_member_t *member);
/** _jh_gw_member_slots() - Return: slots to assume, fewer for some time after it was cold */
unsigned _jh_gw_member_slots(const _jh_gateway_t *gateway, const _jh_gw_member_t *member);
/** _jh_gw_member_lacks_tokens() - whether the member is cold and gets no statement of the caller
 * now */
bool _jh_gw_member_lacks_tokens(const _jh_gw_caller_t *caller, const _jh_gw_member_t *member);
/**
 * _jh_gw_slow_start_is_full() - whether all members that may run the caller's statement are cold,
 *	and callers before it will take all tokens of its time
 */
bool _jh_gw_slow_start_is_full(const _jh_gw_caller_t *caller, const _jh_gw_group_t *group);
/**
 * _jh_gw_slow_start_must_wait() - Return: true if the next line on the caller's connection needs a
 *	token, which was requested; _jh_gw_request_on_cold_token() follows
 */
bool _jh_gw_slow_start_must_wait(_jh_gw_caller_t *caller);
/** _jh_gw_slow_start_on_quota() - Return: true if @reply was to a request for such a token */
bool _jh_gw_slow_start_on_quota(_jh_gateway_t *gateway, const jh_quota_msg_t *reply);
/** _jh_gw_slow_start_forget() - the caller is freed */
void _jh_gw_slow_start_forget(_jh_gw_caller_t *caller);

/* ---- forward.c ---- */

/**
 * struct _jh_gw_forward - a statement sent to a holder, whose result is outstanding
 * @id: number of the statement
 * @operation: number of its operation
 * @caller: borrowed
 * @vm: the holder; interned
 * @sent_us: boot time when it was sent
 */
typedef struct _jh_gw_forward {
	uint64_t id;
	uint64_t operation;
	_jh_gw_caller_t *caller;
	const char *vm;
	int64_t sent_us;
} _jh_gw_forward_t;

/**
 * _jh_forward_statement() - send the caller's statement to a holder, if one is to run it
 *
 * Return: false if this VM is to run the statement
 */
bool _jh_forward_statement(_jh_gw_caller_t *caller);
/** _jh_forward_cancel() - give up outstanding statements and the transaction on their holders */
void _jh_forward_cancel(_jh_gw_caller_t *caller);
/** _jh_forward_on_frame() - handle a StatementResult or a HolderCheck */
void _jh_forward_on_frame(_jh_gateway_t *gateway, const jh_frame_msg_t *msg);
/** _jh_forward_on_peer_down() - fail the statements and transactions on that VM */
void _jh_forward_on_peer_down(_jh_gateway_t *gateway, const char *vm);
/** _jh_forward_tick() - check holders that do not reply, and repeat reads on other ones */
void _jh_forward_tick(_jh_gateway_t *gateway, int64_t now_us);

/* ---- place.c ---- */

/**
 * _jh_place_map() - the group's holders by data centre
 *
 * Return: borrowed; NULL if every VM holds its own connections, or if _jh_gateway_make_plan() and
 * _jh_gateway_rank_vms() name the holders
 */
const jh_holder_map_t *_jh_place_map(const _jh_gateway_t *gateway, _jh_gw_group_t *group);
/** _jh_place_forget_map() - compute the group's holders anew when they are next needed */
void _jh_place_forget_map(_jh_gw_group_t *group);
/** _jh_place_forget_maps() - the same for all groups */
void _jh_place_forget_maps(_jh_gateway_t *gateway);
/** _jh_place_distance() - Return: distance of a data centre from this VM's */
jh_distance_t _jh_place_distance(const _jh_gateway_t *gateway, const char *dc);
/** _jh_place_share() - Return: number of connections that this VM may open to the member */
unsigned _jh_place_share(const _jh_gateway_t *gateway, const _jh_gw_member_t *member);
/**
 * _jh_place_senders() - Return: number of VMs, with this one, that send as many statements to the
 *	group's members in a data centre
 */
unsigned _jh_place_senders(const _jh_gateway_t *gateway, _jh_gw_group_t *group, const char *dc);
/**
 * _jh_place_choose_holder() - choose the VM that runs the caller's statement by data centre
 *
 * Return: interned; NULL if no VM of @map can be used
 */
const char *_jh_place_choose_holder(_jh_gw_caller_t *caller, const jh_holder_map_t *map,
				    jh_holder_can_use_t can_use);
/**
 * _jh_place_assume_use() - add to the options in other data centres the statements that the VMs
 *	there are assumed to run on them
 * @options: one for each of the first @count members of the group, in their order
 */
void _jh_place_assume_use(const _jh_gw_group_t *group, const char *own_dc,
			  jh_member_option_t *options, unsigned count);
/**
 * _jh_place_can_read() - Return: true if replicas can run the caller's read as far as this VM knows
 *
 * Only where holders are chosen by data centre: a holder near a replica needs no primary then.
 */
bool _jh_place_can_read(const _jh_gw_caller_t *caller);
/**
 * _jh_place_should_refer() - Return: true if the forwarded read is to be sent back to its entry,
 *	since no member in this VM's data centre can run it now
 */
bool _jh_place_should_refer(const _jh_gw_caller_t *caller);
/**
 * _jh_place_should_hand_on() - Return: true if the forwarded statement, which finds no connection
 *	here, is to be sent back, since the primary is in another data centre than this holder
 *
 * After a change of primary, statements wait at the earlier one's holders, which have few
 * connections to the new one.
 */
bool _jh_place_should_hand_on(const _jh_gw_caller_t *caller);
/** _jh_place_may_refer() - Return: true if the first holder of the caller's statement may refer it
 */
bool _jh_place_may_refer(const _jh_gw_caller_t *caller);
/** _jh_place_mark_unable() - send the group's statements to other holders than @vm for some time */
void _jh_place_mark_unable(_jh_gw_group_t *group, const char *vm);
/** _jh_place_on_primary() - the group's primary changed: every holder may be able to use it */
void _jh_place_on_primary(_jh_gw_group_t *group);
/** _jh_place_is_unable() - Return: true during that time */
bool _jh_place_is_unable(const _jh_gw_group_t *group, const char *vm);
/**
 * _jh_place_mark_unfit() - prefer other data centres than that of @vm for reads of the group for
 *	some time
 */
void _jh_place_mark_unfit(const _jh_gateway_t *gateway, _jh_gw_group_t *group, const char *vm);
/** _jh_place_vm_distance() - Return: distance of another VM from this one */
jh_distance_t _jh_place_vm_distance(const _jh_gateway_t *gateway, const char *vm);

/**
 * _jh_place_holder_distance() - Return: static word for the log: distance of the VM that the
 *	caller's statement was last forwarded to, "-" if it was not forwarded
 */
const char *_jh_place_holder_distance(const _jh_gw_caller_t *caller);

/* ---- position.c ---- */

/**
 * _jh_position_on_read() - a read that a replica may serve is to run on this VM
 *
 * Asks another VM for the log position if the newest sample is too old for such reads.
 */
void _jh_position_on_read(const _jh_gw_caller_t *caller);
/**
 * _jh_position_is_awaited() - Return: true if the read, whose position is unknown, is to wait for
 *	a reply rather than to use the primary
 */
bool _jh_position_is_awaited(const _jh_gw_caller_t *caller);
/** _jh_position_can_use() - Return: true if a position of another VM may be new enough for the read
 */
bool _jh_position_can_use(const _jh_gw_caller_t *caller);
/** _jh_position_tick() - ask for the positions that reads will soon need */
void _jh_position_tick(_jh_gateway_t *gateway, int64_t now_us);
/** _jh_position_on_frame() - handle a PositionAsk or a PositionReply */
void _jh_position_on_frame(_jh_gateway_t *gateway, const jh_frame_msg_t *msg);

/* ---- holder.c ---- */

/** _jh_holder_on_frame() - handle a Statement or a StatementRelease from an entry */
void _jh_holder_on_frame(_jh_gateway_t *gateway, const jh_frame_msg_t *msg);
/** _jh_holder_on_peer_down() - end the operations of an instance of an entry */
void _jh_holder_on_peer_down(_jh_gateway_t *gateway, const char *vm, uint64_t boot);
/** _jh_holder_operations_new() - make the table of operations. Return: new */
GHashTable *_jh_holder_operations_new(void);

/* ---- conn.c ---- */

/** _jh_gw_conn_open() - start to connect to @member. Return: NULL if that failed */
_jh_gw_conn_t *_jh_gw_conn_open(_jh_gw_member_t *member, _jh_gateway_t *gateway, const char *team);
/** _jh_gw_conn_assign() - reserve @conn for @caller until it is released or closed */
void _jh_gw_conn_assign(_jh_gw_conn_t *conn, _jh_gw_caller_t *caller);
/**
 * _jh_gw_conn_send() - send a caller's statement
 * @after: position that it needs, or NULL
 *
 * Return: false if it was not sent, as it does not fit into a message
 */
bool _jh_gw_conn_send(_jh_gw_conn_t *conn, _jh_gw_conn_step_t step, const char *id,
		      const jh_position_t *after, jh_text_t text);
/** _jh_gw_conn_send_internal() - send a statement that the gateway itself issues */
void _jh_gw_conn_send_internal(_jh_gw_conn_t *conn, _jh_gw_conn_step_t step,
			       jh_statement_type_t type, const char *name, jh_text_t rest);
/**
 * _jh_gw_conn_discard_input() - drop what the member has sent while no statement is outstanding
 *
 * To be called before each statement, whose answer cannot have begun yet.
 *
 * Return: false if the input shows that the connection cannot be used any more
 */
bool _jh_gw_conn_discard_input(_jh_gw_conn_t *conn);
/** _jh_gw_conn_is_unconfirmed() - whether its settings must be confirmed before the next statement
 */
bool _jh_gw_conn_is_unconfirmed(const _jh_gw_conn_t *conn);
/** _jh_gw_conn_release() - end its use by a caller: roll back if needed, then keep it idle */
void _jh_gw_conn_release(_jh_gw_conn_t *conn);
/** _jh_gw_conn_close() - close and free the connection without notifying its caller */
void _jh_gw_conn_close(_jh_gw_conn_t *conn);
/** _jh_gw_conn_is_free() - true if it is idle and not assigned */
bool _jh_gw_conn_is_free(const _jh_gw_conn_t *conn);

/* ---- gateway.c ---- */

/** _jh_gateway_get_group() - the group @name, created if it is missing; owned by @gateway */
_jh_gw_group_t *_jh_gateway_get_group(_jh_gateway_t *gateway, const char *name);
/** _jh_gateway_make_plan() - who holds connections to the members of the group @name */
jh_holder_plan_t _jh_gateway_make_plan(const _jh_gateway_t *gateway, const char *name);
/** _jh_gateway_rank_vms() - VMs that may hold connections to @group, best first; borrowed */
const GPtrArray *_jh_gateway_rank_vms(const _jh_gateway_t *gateway, _jh_gw_group_t *group);
/** _jh_gateway_report_primary() - report the primary to the leader: no response, or read-only */
void _jh_gateway_report_primary(_jh_gateway_t *gateway, _jh_gw_group_t *group);
/**
 * _jh_gateway_copy_callers() - Return: new array of all callers, a copy since callers may be freed
 *	during the iteration
 */
GPtrArray *_jh_gateway_copy_callers(const _jh_gateway_t *gateway);
/** _jh_gateway_schedule_dispatch() - dispatch the wait queues before the loop next waits */
void _jh_gateway_schedule_dispatch(_jh_gateway_t *gateway);
/** _jh_gateway_schedule_retry() - dispatch the wait queues after DISPATCH_RETRY_S */
void _jh_gateway_schedule_retry(_jh_gateway_t *gateway);
/** _jh_gateway_is_ready() - true if this VM can serve new sessions */
bool _jh_gateway_is_ready(const _jh_gateway_t *gateway);
/**
 * _jh_gateway_is_isolated() - true if the mirror lease expired over ISOLATED_AFTER_US ago
 *
 * False until the mirror is complete. Callers of an isolated VM are sent elsewhere.
 */
bool _jh_gateway_is_isolated(const _jh_gateway_t *gateway, int64_t now_us);

/**
 * _jh_gateway_config_is_late() - true if this VM's configuration must not be used any more, since a
 *	newer one has been missing for too long
 *
 * Transactions that are open continue; a configuration applies to the next one.
 */
bool _jh_gateway_config_is_late(const _jh_gateway_t *gateway);

#define JH_CONFIG_LATE_REASON "this vm lacks the newest configuration"

/* ---- shutdown.c ---- */

/**
 * _jh_gateway_must_end_sessions() - true once half of the drain limit has passed
 *
 * Open transactions are then failed, sessions end with their next response, and new ones are
 * refused.
 */
bool _jh_gateway_must_end_sessions(const _jh_gateway_t *gateway, int64_t now_us);
/** _jh_gateway_has_time() - whether a statement of that timeout ends before the process exits */
bool _jh_gateway_has_time(const _jh_gateway_t *gateway, int64_t timeout_us);
/**
 * _jh_gateway_may_start() - whether a caller's statement may be accepted now
 * @timeout_us: time after which it has its response at the latest
 *
 * True unless sessions must end and the statement could outlast the process.
 */
bool _jh_gateway_may_start(const _jh_gateway_t *gateway, int64_t timeout_us);
/**
 * _jh_gateway_is_drained() - true once the process may exit
 *
 * Responds to all statements in progress if it must.
 */
bool _jh_gateway_is_drained(_jh_gateway_t *gateway);

#define JH_SHUTDOWN_REASON "this vm shuts down"

/* ---- ready.c ---- */

/** _jh_ready_new() - listen for readiness probes. Return: NULL with @err if that failed */
struct _jh_ready *_jh_ready_new(_jh_gateway_t *gateway, jh_error_t *err);
void _jh_ready_free(struct _jh_ready *ready);

#endif
