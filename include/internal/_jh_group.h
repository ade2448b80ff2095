#ifndef _JH_GROUP_H
#define _JH_GROUP_H

#include "jh_failover.h"
#include "jh_frame.h"
#include "jh_group.h"
#include "jh_platform.h"

#include <libpq-fe.h>

/**
 * DOC: The group task of the PostgreSQL profile
 *
 * The VMs that own a group's databases are its observers: they monitor every member of the group,
 * and one of them, the coordinator, replaces a failed primary. All other VMs that use the group
 * subscribe to the observers' reports. All functions run on the event loop of the group task; times
 * are microseconds of its monotonic clock.
 *
 * group.c defines the module and keeps the list of groups, group_member.c monitors one member
 * through libpq, group_view.c exchanges views with other VMs, group_change.c runs a change of
 * primary, group_command.c sends its commands to the members, and group_row.c copies the result to
 * the platform's row.
 */

/* Interval at which the timers of all groups are checked. */
#define _JH_GROUP_TICK_US ((int64_t)50 * 1000)

/* If the time between two ticks exceeds this, the process is assumed to have been paused. */
#define _JH_GROUP_PAUSE_THRESHOLD_US ((int64_t)200 * 1000)

typedef struct _jh_groups _jh_groups_t;
typedef struct _jh_group _jh_group_t;
typedef struct _jh_member _jh_member_t;
typedef struct _jh_control _jh_control_t;

/**
 * struct _jh_groups - state of the group task
 * @vm: interned name of this VM
 * @config: configuration in force, a reference; NULL before the first arrives
 * @vms: array of jh_vm_t *, a reference to the array of the last JH_MSG_VMS; NULL before the first
 * @groups: name -> _jh_group_t *, owned
 * @last_tick_us: time of the last tick
 * @next_tag: last tag given to a group's platform requests
 */
struct _jh_groups {
	jh_task_t *task;
	const char *vm;
	jh_config_t *config;
	GPtrArray *vms;
	GHashTable *groups;
	ev_timer tick;
	int64_t last_tick_us;
	uint64_t next_tag;
};

/**
 * struct _jh_change - this VM's part in changes of the group's primary
 * @rank: this VM's place in the order of succession, JH_FAILOVER_NO_RANK if it is no observer
 * @events: queue of jh_failover_event_t *, owned, that no decision has handled yet
 * @is_deciding: a decision is running, so new events are only queued
 * @controls: member name (owned by the value) -> control connection, owned
 * @observation_sent_us: when the last Observation was sent
 * @has_problem: the last Observation reported a problem
 */
typedef struct _jh_change {
	jh_failover_t failover;
	unsigned rank;
	GQueue events;
	bool is_deciding;
	GHashTable *controls;
	int64_t observation_sent_us;
	bool has_problem;
} _jh_change_t;

/**
 * struct _jh_group_row - the group's row on the platform, a copy of its term and primary
 * @tag: identifies the replies to this group's platform requests
 * @term: term to write, 0 if there is nothing to write
 * @primary: name of the primary of @term, owned
 * @request_pending: a request was sent and its reply has not arrived
 * @retry_us: earliest time of the next read
 */
typedef struct _jh_group_row {
	uint64_t tag;
	uint64_t term;
	char *primary;
	bool request_pending;
	int64_t retry_us;
} _jh_group_row_t;

/**
 * struct _jh_group - one group of the configuration
 * @state: reports on the members, and the highest known term with its primary
 * @is_observer: this VM owns a database of the group and therefore monitors its members
 * @members: array of _jh_member_t *, owned; empty unless @is_observer
 * @observers: array of interned names of the VMs that own the group's databases
 * @subscribers: interned VM name -> subscriber of group_view.c, owned
 * @sources: interned VM name -> boot id and version of the newest view accepted from it, owned
 * @wanted_until_us: when the subscription of this VM's own tasks expires
 * @next_request_us: when this VM sends its next ViewRequest
 * @version: number of the last view sent to another VM
 * @needs_publish: the next tick publishes a view to the tasks of this VM
 * @reachable_count: number of reachable members in the last view published
 */
struct _jh_group {
	_jh_groups_t *groups;
	char *name;
	jh_group_state_t *state;
	bool is_observer;
	GPtrArray *members;
	GPtrArray *observers;
	GHashTable *subscribers;
	GHashTable *sources;
	int64_t wanted_until_us;
	int64_t next_request_us;
	uint64_t version;
	bool needs_publish;
	unsigned reachable_count;
	_jh_change_t change;
	_jh_group_row_t row;
};

/* ---- group.c ---- */

/** _jh_groups_now_us() - Return: monotonic time of the event loop, microseconds */
int64_t _jh_groups_now_us(const _jh_groups_t *groups);

/**
 * _jh_group_apply_report() - apply an observer's report and publish what it changed
 * @observer: interned name of the VM that made the report
 * @member: number of the member that the report is about
 *
 * This VM's own reports are also sent to the subscribers.
 */
void _jh_group_apply_report(_jh_group_t *group, const char *observer, unsigned member,
			    const jh_member_report_t *report);

/**
 * _jh_group_apply_term() - apply a term and its primary
 * @primary: name; NULL or empty if the term has no primary yet
 *
 * If they are new, they are published and sent to the subscribers.
 */
void _jh_group_apply_term(_jh_group_t *group, uint64_t term, const char *primary);

/* ---- group_member.c ---- */

/** _jh_member_new() - monitor @database; the next tick connects. Return: owned by the caller */
_jh_member_t *_jh_member_new(_jh_group_t *group, const jh_group_t *config,
			     const jh_database_t *database);

/** _jh_member_free() - close the connection and free a _jh_member_t */
void _jh_member_free(void *member);

/** _jh_member_matches_config() - whether name, address, user and database name are unchanged */
bool _jh_member_matches_config(const _jh_member_t *member, const jh_group_t *config,
			       const jh_database_t *database);

/**
 * _jh_member_tick() - check the member's timeouts
 * @paused: this process did not run since the last tick, so replies may wait in the socket;
 *          the timeout then starts again
 */
void _jh_member_tick(_jh_member_t *member, int64_t now_us, bool paused);

/**
 * _jh_member_start_connect() - begin to connect to a member
 * @application: application_name of the connection
 *
 * Return: connection in progress, closed by the caller; NULL if it failed immediately
 */
PGconn *_jh_member_start_connect(const jh_group_t *config, const jh_database_t *database,
				 const char *application);

/** _jh_result_text() - Return: column of the first row, owned by @result; "" if there is none */
const char *_jh_result_text(const PGresult *result, const char *column);

/** _jh_result_position() - Return: column "TERM/INDEX" of the first row; 0/0 if there is none */
jh_position_t _jh_result_position(const PGresult *result, const char *column);

/* ---- group_command.c ---- */

/**
 * _jh_control_new() - begin to open a control connection to @database
 * @term: term of the attempt that opens it
 *
 * If connecting fails, the next tick finds the connection unusable and frees it.
 *
 * Return: owned by the caller
 */
_jh_control_t *_jh_control_new(_jh_group_t *group, const jh_group_t *config,
			       const jh_database_t *database, uint64_t term);

/** _jh_control_free() - close the connection and free a _jh_control_t; its commands are dropped */
void _jh_control_free(void *control);

/** _jh_control_member_name() - Return: name of the member, owned by @control */
const char *_jh_control_member_name(const _jh_control_t *control);

/**
 * _jh_control_run() - queue a command
 * @action: JH_FAILOVER_FENCE, JH_FAILOVER_PROMOTE or JH_FAILOVER_FOLLOW; others abort the process
 * @primary: name of the member to follow; only for JH_FAILOVER_FOLLOW
 *
 * The result goes to _jh_group_on_result(). A command that fails, or is queued on a closed
 * connection, has no result.
 */
void _jh_control_run(_jh_control_t *control, const jh_failover_action_t *action,
		     const char *primary);

/** _jh_control_close() - stop using the connection; the next tick frees it */
void _jh_control_close(_jh_control_t *control);

/** _jh_control_is_usable() - false if it has failed, was closed or reached its timeout */
bool _jh_control_is_usable(_jh_control_t *control, int64_t now_us);

/* ---- group_change.c ---- */

/** _jh_group_change_init() - prepare @group->change, which the caller has zeroed */
void _jh_group_change_init(_jh_group_t *group);

/** _jh_group_change_clear() - free what @group->change owns */
void _jh_group_change_clear(_jh_group_t *group);

/** _jh_group_change_update_rank() - recompute this VM's rank among the observers */
void _jh_group_change_update_rank(_jh_group_t *group);

/**
 * _jh_group_change_reset() - abandon a change of primary in progress, close its connections
 *
 * Call it before the set of members changes; the causes of a change are timed again from then.
 */
void _jh_group_change_reset(_jh_group_t *group);

/** _jh_group_change_tick() - send Observations, and decide whether to replace the primary */
void _jh_group_change_tick(_jh_group_t *group, int64_t now_us, bool paused);

/** _jh_group_handle_observation() - apply the reports, term and primary of another observer */
void _jh_group_handle_observation(_jh_group_t *group, const jh_frame_msg_t *msg);

/** _jh_group_on_connected() - a control connection to @member was opened in an attempt of @term */
void _jh_group_on_connected(_jh_group_t *group, const char *member, uint64_t term);

/**
 * _jh_group_on_result() - a member granted or rejected a command
 * @type: kind of command
 * @term: term of the command
 * @result: columns granted and promised_term, and for a fence also held
 */
void _jh_group_on_result(_jh_group_t *group, const char *member, jh_failover_action_type_t type,
			 uint64_t term, const PGresult *result);

/* ---- group_row.c ---- */

/**
 * _jh_group_row_schedule_write() - write a term and its primary to the platform's row
 * @primary: name, copied
 *
 * A tick reads the row and writes it if its term is lower; failed requests are retried. A later
 * call replaces an earlier one that has not been written.
 */
void _jh_group_row_schedule_write(_jh_group_t *group, uint64_t term, const char *primary);

/** _jh_group_row_tick() - start or retry a scheduled write */
void _jh_group_row_tick(_jh_group_t *group, int64_t now_us);

/** _jh_group_row_handle_reply() - handle the platform's reply to a request with the row's tag */
void _jh_group_row_handle_reply(_jh_group_t *group, const jh_platform_reply_t *reply);

/* ---- group_view.c ---- */

/** _jh_group_views_init() - create the tables of subscribers and sources */
void _jh_group_views_init(_jh_group_t *group);

/** _jh_group_views_clear() - free the tables of subscribers and sources */
void _jh_group_views_clear(_jh_group_t *group);

/**
 * _jh_group_views_send_change() - send a change to the subscribers, if this VM is an observer
 * @change: a changed status is sent immediately, a changed position once the last view to the
 *          subscriber is old enough, and changed times only at a tick
 */
void _jh_group_views_send_change(_jh_group_t *group, jh_group_change_t change);

/** _jh_group_views_tick() - send due views, remove expired subscribers, renew own subscriptions */
void _jh_group_views_tick(_jh_group_t *group, int64_t now_us);

/** _jh_group_handle_view() - apply a VM's view if it is newer than the last view from that VM */
void _jh_group_handle_view(_jh_group_t *group, const jh_frame_msg_t *msg);

/** _jh_group_handle_view_request() - add or renew the sender's subscription */
void _jh_group_handle_view_request(_jh_group_t *group, const jh_frame_msg_t *msg);

/** _jh_group_views_send_announcement() - send the term and its primary to the other observers */
void _jh_group_views_send_announcement(_jh_group_t *group);

/**
 * _jh_group_on_peer_down() - drop a VM's reports and its subscription
 * @vm: interned name of a VM whose instance or connection ended
 */
void _jh_group_on_peer_down(_jh_group_t *group, const char *vm);

/**
 * _jh_database_view_new() - encode a report as a message
 * @now_us: current time; the message has ages in milliseconds relative to it
 *
 * Return: owned by the caller
 */
Jh__DatabaseView *_jh_database_view_new(const char *name, const jh_member_report_t *report,
					int64_t now_us);

/**
 * _jh_database_view_decode() - decode a message into a report
 * @made_us: earliest time, on this VM's clock, at which the message may have been made
 * @report: overwritten
 */
void _jh_database_view_decode(const Jh__DatabaseView *view, int64_t made_us,
			      jh_member_report_t *report);

#endif
