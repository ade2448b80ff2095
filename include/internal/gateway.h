#ifndef JH_INTERNAL_GATEWAY_H
#define JH_INTERNAL_GATEWAY_H

#include "jh_freshness.h"
#include "jh_primary.h"
#include "jh_wire.h"

#include <ev.h>

/**
 * DOC: The gateway
 *
 * Callers' sessions, pooled connections to members, and what lies between: which member runs a
 * statement, who waits, what is retried and what is refused. caller.c holds sockets and sessions,
 * request.c the life of one statement, dispatch.c the choice of a connection, conn.c the
 * connections to members, ready.c the answers to the balancer's probes.
 */

typedef struct _jh_gateway _jh_gateway_t;
typedef struct _jh_gw_group _jh_gw_group_t;
typedef struct _jh_gw_member _jh_gw_member_t;
typedef struct _jh_caller _jh_gw_caller_t;
typedef struct _jh_conn _jh_gw_conn_t;

/**
 * struct _jh_gw_group - a group of databases
 * @name: interned
 * @primary: as the fleet agreed; epoch 0: not known
 * @freshness: where the log ended at this primary
 * @members: _jh_gw_member_t *, borrowed
 * @waiting: callers whose statement waits for a connection, in the order of their arrival
 * @is_reported: the lead was told that the primary does not serve this VM
 */
struct _jh_gw_group {
	const char *name;
	jh_primary_t primary;
	jh_freshness_t *freshness;
	GPtrArray *members;
	GQueue waiting;
	bool is_reported;
};

/**
 * struct _jh_gw_member - a database
 * @info: as it registered; owned
 * @group: borrowed
 * @conns: its connections; owned
 * @position: end of its log when last heard
 * @heard_us: when it last sent anything
 * @no_dial_until_us: connecting failed or was refused lately
 * @behind_until_us: it lacked a position lately
 * @busy_until_us: it shed work lately
 * @failures: connections in a row that failed
 * @gone_us: when its entry lapsed, 0 if it is there; it is used for a while longer
 * @opened: connections opened lately, as of @opened_us; halved with each second since
 */
struct _jh_gw_member {
	jh_member_t *info;
	_jh_gw_group_t *group;
	GPtrArray *conns;
	jh_position_t position;
	int64_t heard_us;
	int64_t no_dial_until_us;
	int64_t behind_until_us;
	int64_t busy_until_us;
	unsigned failures;
	int64_t gone_us;
	double opened;
	int64_t opened_us;
};

/** enum _jh_gw_conn_step - what a connection waits for */
typedef enum _jh_gw_conn_step {
	JH_CONN_CONNECTING,
	JH_CONN_STARTING,
	JH_CONN_IDLE,
	/** @JH_CONN_SETTING: a value or a prepared statement of the session */
	JH_CONN_SETTING,
	JH_CONN_BEGINNING,
	JH_CONN_RUNNING,
	/** @JH_CONN_CLEANING: a rollback, or an answer that nobody waits for any more */
	JH_CONN_CLEANING,
} _jh_gw_conn_step_t;

/**
 * struct _jh_conn - a connection to a member, for one team
 * @member: borrowed
 * @team: interned
 * @step: what it waits for
 * @state: of the member's last READY
 * @user: caller it works for, NULL if none
 * @in: bytes received; @out: bytes to send
 * @values: session values set on it
 * @prepared: names prepared on it (a set)
 * @setting_name: value or name that JH_CONN_SETTING sets; owned
 * @setting_value: NULL for a prepared name, or for a reset
 * @rows: lines of the answer so far, as received
 * @is_done: DONE arrived; @code, @text: of ERR
 * @sent_us: boot time when the statement was written
 * @epoch: of the group when it was written, 0 if not under authority at the primary
 * @idle_us: since when nobody uses it
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
	char state;
	_jh_gw_caller_t *user;
	GString *in;
	GString *out;
	GHashTable *values;
	GHashTable *prepared;
	char *setting_name;
	char *setting_value;
	GString *rows;
	bool is_done;
	jh_code_t code;
	char *text;
	int64_t sent_us;
	uint64_t epoch;
	int64_t idle_us;
};

/** struct _jh_prepared - a session's prepared statement */
typedef struct _jh_prepared {
	bool writes;
	char *shape;
} _jh_prepared_t;

/** enum _jh_gw_request_state - how far a caller's statement is */
typedef enum _jh_gw_request_state {
	JH_REQUEST_NONE,
	JH_REQUEST_QUOTA,
	JH_REQUEST_WAITING,
	JH_REQUEST_ASSIGNED,
	/** @JH_REQUEST_SENT: bytes of the statement itself may have reached the member */
	JH_REQUEST_SENT,
} _jh_gw_request_state_t;

/** JH_REQUEST_TRIED_MAX - members that one statement tries */
#define JH_REQUEST_TRIED_MAX 6u

/**
 * struct _jh_caller - a session
 * @state: 'I', 'T' in a transaction, 'E' in a failed one
 * @is_starting: its START waits for the configuration
 * @database: what it asked for; NULL before START
 * @key: its key, NULL if it gave none
 * @team: of its key when the operation began; interned
 * @values: session values; NULL while there are none
 * @prepared: name to _jh_prepared_t; NULL while there are none
 * @last_commit: its own newest commit, in @commit_group
 * @route: of the operation, copied so that a new configuration leaves it alone
 * @tx_read_only: BEGIN READ
 * @tx_begin_id: id of the caller's BEGIN; owned, as is its text
 * @tx_began: the member ran BEGIN
 * @tx_lost: code to answer the next statement with: the transaction ended meanwhile
 * @conn: held by the transaction, or by the statement
 * @idle_us: since when the caller has nothing outstanding
 * @request: how far the statement is; the fields below belong to it
 * @arrived_us: boot time
 * @tried: members that did not run it; @tried_us: when the last one said so
 * @last_member: where it was last sent, NULL if nowhere; interned
 */
struct _jh_caller {
	_jh_gateway_t *gateway;
	uint64_t tag;
	int fd;
	ev_io read;
	ev_io write;
	ev_timer timer;
	GString *in;
	GString *out;
	bool is_starting;
	bool is_closing;
	bool has_left;
	char state;
	char *database;
	char *key;
	const char *team;
	GHashTable *values;
	GHashTable *prepared;
	jh_position_t last_commit;
	const char *commit_group;
	jh_fleet_route_t route;
	bool tx_read_only;
	char *tx_begin_id;
	char *tx_begin_text;
	bool tx_began;
	jh_code_t tx_lost;
	_jh_gw_conn_t *conn;
	int64_t idle_us;

	_jh_gw_request_state_t request;
	jh_statement_type_t type;
	char *id;
	char *text;
	char *name;
	char *rest;
	int64_t arrived_us;
	unsigned tries;
	const char *tried[JH_REQUEST_TRIED_MAX];
	int64_t tried_us;
	const char *last_member;
	GList *waiting_link;
	_jh_gw_group_t *waiting_group;
};

/**
 * struct _jh_gateway - state of the task
 * @lease_until_us: boot time until which the primaries known may be used
 * @vms: live VMs, this one included; connections are shared among them
 * @callers: by tag
 */
struct _jh_gateway {
	jh_task_t *task;
	const jh_wire_t *wire;
	const char *dc;
	jh_fleet_config_t *site;
	bool is_complete;
	int64_t lease_until_us;
	unsigned vms;
	GHashTable *groups;
	GHashTable *members;
	GHashTable *callers;
	uint64_t next_tag;
	ev_io accept;
	ev_timer tick;
	ev_prepare pump;
	ev_timer dispatch_retry;
	bool needs_dispatch;
	int64_t drain_us;
	bool is_isolated;
	struct _jh_ready *ready;
};

/* ---- caller.c ---- */

void _jh_gw_caller_accept(_jh_gateway_t *gateway, int fd);
/** _jh_gw_caller_answer() - success of a statement that the gateway answers itself */
void _jh_gw_caller_answer(_jh_gw_caller_t *caller);
/** _jh_gw_caller_refuse() - an error; the session goes on in its state */
void _jh_gw_caller_refuse(_jh_gw_caller_t *caller, jh_code_t code, const char *format, ...)
	G_GNUC_PRINTF(3, 4);
/** _jh_gw_caller_relay() - a member's answer, lines as received */
void _jh_gw_caller_relay(_jh_gw_caller_t *caller, const char *lines, const jh_position_t *position);
/** _jh_gw_caller_open() - answer START now that the configuration is known */
void _jh_gw_caller_open(_jh_gw_caller_t *caller);
/** _jh_gw_caller_free() - close the session */
void _jh_gw_caller_free(_jh_gw_caller_t *caller);
/** _jh_gw_caller_close_if_idle() - end the session if nothing is outstanding */
bool _jh_gw_caller_close_if_idle(_jh_gw_caller_t *caller);
/** _jh_gw_caller_tick() - end a transaction that idles too long, and sessions while draining */
void _jh_gw_caller_tick(_jh_gw_caller_t *caller, int64_t now_us);

/* ---- request.c ---- */

/** _jh_gw_request_start() - take a caller's statement */
void _jh_gw_request_start(_jh_gw_caller_t *caller, const jh_caller_message_t *message);
void _jh_gw_request_on_quota(_jh_gw_caller_t *caller, bool granted, uint32_t retry_after_ms);
/** _jh_gw_request_dispatch() - find a connection, wait for one, or refuse */
void _jh_gw_request_dispatch(_jh_gw_caller_t *caller);
/** _jh_gw_request_on_ready() - the caller's connection, now idle, finished @step */
void _jh_gw_request_on_ready(_jh_gw_caller_t *caller, _jh_gw_conn_step_t step,
			     const jh_member_message_t *ready);
/** _jh_gw_request_on_conn_lost() - the caller's connection to @member broke */
void _jh_gw_request_on_conn_lost(_jh_gw_caller_t *caller, const char *member, jh_code_t reason);
/** _jh_gw_request_on_timeout() - the route's timeout passed */
void _jh_gw_request_on_timeout(_jh_gw_caller_t *caller);
/** _jh_gw_request_abandon() - the caller is gone */
void _jh_gw_request_abandon(_jh_gw_caller_t *caller);
/** _jh_gw_request_end_transaction() - roll back and fail the transaction with @code */
void _jh_gw_request_end_transaction(_jh_gw_caller_t *caller, jh_code_t code);
/** _jh_gw_request_check_silence() - try a read elsewhere whose member sends nothing */
void _jh_gw_request_check_silence(_jh_gw_caller_t *caller, int64_t now_us);
/** _jh_gw_request_needs_primary() - true if only the primary can run it */
bool _jh_gw_request_needs_primary(const _jh_gw_caller_t *caller);

/* ---- dispatch.c ---- */

typedef enum _jh_dispatch_result {
	JH_DISPATCH_FOUND,
	/** @JH_DISPATCH_WAIT: a connection should be free in time */
	JH_DISPATCH_WAIT,
	/** @JH_DISPATCH_REFUSE: nothing can serve it in time */
	JH_DISPATCH_REFUSE,
} _jh_dispatch_result_t;

_jh_dispatch_result_t _jh_dispatch_choose(_jh_gw_caller_t *caller, _jh_gw_conn_t **conn,
					  const char **reason);
/**
 * struct _jh_read_need - what a read must see
 * @is_known: a replica may run it; else only the primary can
 * @has_position: @position is to be sent along
 */
typedef struct _jh_read_need {
	bool is_known;
	bool has_position;
	jh_position_t position;
} _jh_read_need_t;

/**
 * _jh_dispatch_need() - what the caller's statement must see if it is sent now
 *
 * What is known now may be too old a moment later: who decides and who sends use the same answer.
 */
_jh_read_need_t _jh_dispatch_need(const _jh_gw_caller_t *caller);
void _jh_dispatch_enqueue(_jh_gw_caller_t *caller);
void _jh_dispatch_dequeue(_jh_gw_caller_t *caller);
/** _jh_dispatch_run_queue() - give free connections to callers that wait */
void _jh_dispatch_run_queue(_jh_gateway_t *gateway);
bool _jh_gateway_has_lease(const _jh_gateway_t *gateway);
/** _jh_gw_member_is_listed() - its entry is there, or was a short time ago */
bool _jh_gw_member_is_listed(const _jh_gw_member_t *member);
_jh_gw_member_t *_jh_group_primary(const _jh_gateway_t *gateway, const _jh_gw_group_t *group);

/* ---- conn.c ---- */

_jh_gw_conn_t *_jh_gw_conn_open(_jh_gw_member_t *member, _jh_gateway_t *gateway, const char *team);
/** _jh_gw_conn_assign() - @caller uses @conn from now on */
void _jh_gw_conn_assign(_jh_gw_conn_t *conn, _jh_gw_caller_t *caller);
/** _jh_gw_conn_send() - write a caller's statement */
void _jh_gw_conn_send(_jh_gw_conn_t *conn, _jh_gw_conn_step_t step, const char *id,
		      const jh_position_t *after, const char *text);
/** _jh_gw_conn_send_own() - write a statement of the gateway's own */
void _jh_gw_conn_send_own(_jh_gw_conn_t *conn, _jh_gw_conn_step_t step, jh_statement_type_t type,
			  const char *name, const char *rest);
/** _jh_gw_conn_release() - nobody uses it: roll back if needed, then idle */
void _jh_gw_conn_release(_jh_gw_conn_t *conn);
/** _jh_gw_conn_close() - close and free; tells nobody */
void _jh_gw_conn_close(_jh_gw_conn_t *conn);
bool _jh_gw_conn_is_free(const _jh_gw_conn_t *conn);

/* ---- gateway.c ---- */

_jh_gw_group_t *_jh_gateway_group(_jh_gateway_t *gateway, const char *name);
/** _jh_gateway_report_primary() - tell the lead that the primary does not serve this VM */
void _jh_gateway_report_primary(_jh_gateway_t *gateway, _jh_gw_group_t *group);
void _jh_gateway_schedule_dispatch(_jh_gateway_t *gateway);
/** _jh_gateway_schedule_retry() - look at the lines again soon, whatever happens until then */
void _jh_gateway_schedule_retry(_jh_gateway_t *gateway);
bool _jh_gateway_is_ready(const _jh_gateway_t *gateway);
/** _jh_gateway_ends_sessions() - the drain is so far that transactions and sessions are ended */
bool _jh_gateway_ends_sessions(const _jh_gateway_t *gateway, int64_t now_us);
/** _jh_gateway_is_isolated() - had authority, and lost it long enough ago to send callers elsewhere
 */
bool _jh_gateway_is_isolated(const _jh_gateway_t *gateway, int64_t now_us);

/* ---- ready.c ---- */

struct _jh_ready *_jh_ready_new(_jh_gateway_t *gateway, jh_error_t *err);
void _jh_ready_free(struct _jh_ready *ready);

#endif
