#ifndef _JH_GROUP_H
#define _JH_GROUP_H

#include "jh_failover.h"
#include "jh_frame.h"
#include "jh_group.h"
#include "jh_platform.h"

#include <libpq-fe.h>

/*
 * The group task, split by job: group.c is the module's face and keeps the groups, group_member.c
 * watches one member through libpq, group_view.c passes views on to other VMs and takes theirs,
 * group_change.c runs the decisions of a change of primary, group_command.c carries single commands
 * to members, group_row.c writes the platform's copy of the term.
 */

/* Time between two looks at every group's timers. */
#define _JH_GROUP_TICK_US ((int64_t)50 * 1000)

/* A tick that comes so late means that this process was paused. */
#define _JH_GROUP_PAUSE_US ((int64_t)200 * 1000)

typedef struct _jh_groups _jh_groups_t;
typedef struct _jh_group _jh_group_t;
typedef struct _jh_member _jh_member_t;
typedef struct _jh_command _jh_command_t;

/*
 * struct _jh_groups - the task's state
 * @vms: array of jh_vm_t *, shared with the message that brought it; NULL before the first
 * @groups: name -> _jh_group_t *
 */
struct _jh_groups {
	jh_task_t *task;
	const char *vm;
	jh_config_t *config;
	GPtrArray *vms;
	GHashTable *groups;
	ev_timer tick;
	int64_t ticked_us;
	uint64_t next_tag;
};

/*
 * struct _jh_change - this VM's part in changes of the group's primary
 * @rank: of this VM among the observers, JH_FAILOVER_NO_RANK if it is none
 * @events: jh_failover_event_t * to be decided on
 * @deciding: events are being worked off
 * @commands: member name (borrowed from the command) -> _jh_command_t *
 * @observed_us: when the last Observation went out
 * @attention: the last one reported something
 */
typedef struct _jh_change {
	jh_failover_t failover;
	unsigned rank;
	GQueue events;
	bool deciding;
	GHashTable *commands;
	int64_t observed_us;
	bool attention;
} _jh_change_t;

/*
 * struct _jh_row - the platform's row of the group, a copy of the term and its primary
 * @tag: of this group's requests
 * @term: to be written, 0 if there is nothing to write
 * @pending: a request is under way
 * @retry_us: when to try again
 */
typedef struct _jh_row {
	uint64_t tag;
	uint64_t term;
	char *primary;
	bool pending;
	int64_t retry_us;
} _jh_row_t;

/*
 * struct _jh_group - one group
 * @observing: this VM owns a database of it, so that it watches the members
 * @members: array of _jh_member_t *, empty unless observing
 * @observers: array of interned names of the VMs that own its databases
 * @subscribers: interned VM name -> _jh_subscriber_t *
 * @sources: interned VM name -> _jh_source_t *, views received
 * @interest_until_us: tasks of this VM want views until then
 * @renew_us: when the next ViewRequest goes out
 * @version: of the views sent
 * @publish_due: something changed since the last view that was published here
 * @reachable: how many members were reachable in that view
 */
struct _jh_group {
	_jh_groups_t *groups;
	char *name;
	jh_group_state_t *state;
	bool observing;
	GPtrArray *members;
	GPtrArray *observers;
	GHashTable *subscribers;
	GHashTable *sources;
	int64_t interest_until_us;
	int64_t renew_us;
	uint64_t version;
	bool publish_due;
	unsigned reachable;
	_jh_change_t change;
	_jh_row_t row;
};

/* ---- group.c ---- */

int64_t _jh_groups_now_us(const _jh_groups_t *groups);

/* Take a report by @observer, and publish what it changed. */
void _jh_group_apply_report(_jh_group_t *group, const char *observer, unsigned member,
			    const jh_member_report_t *report);

/* Take a term and its primary, and publish them if they are new. */
void _jh_group_apply_term(_jh_group_t *group, uint64_t term, const char *primary);

/* ---- group_member.c ---- */

/* Return: new watch of @database, which connects at the next tick. */
_jh_member_t *_jh_member_new(_jh_group_t *group, const jh_group_t *config,
			     const jh_database_t *database);
void _jh_member_free(void *member);

/* True if the watch still fits the configuration. */
bool _jh_member_fits(const _jh_member_t *member, const jh_group_t *config,
		     const jh_database_t *database);

/* Look at the member's time limits; @paused: this process did not run since the last look. */
void _jh_member_tick(_jh_member_t *member, int64_t now_us, bool paused);

/* Begin to connect. Return: new connection, NULL if that failed at once */
PGconn *_jh_member_connect(const jh_group_t *config, const jh_database_t *database,
			   const char *application);

/* Columns of the first row; empty or zero if there is none. */
const char *_jh_row_text(const PGresult *row, const char *column);
jh_position_t _jh_row_position(const PGresult *row, const char *column);

/* ---- group_command.c ---- */

/* Return: new control connection to @database, connecting. */
_jh_command_t *_jh_command_new(_jh_group_t *group, const jh_group_t *config,
			       const jh_database_t *database, uint64_t term);
void _jh_command_free(void *command);

/* Name of the member; lives as long as the command. */
const char *_jh_command_member(const _jh_command_t *command);

/* Queue an action; its outcome goes to _jh_group_outcome(). */
void _jh_command_run(_jh_command_t *command, const jh_failover_action_t *action,
		     const char *primary);

/* Give the connection up; the next tick frees it. */
void _jh_command_end(_jh_command_t *command);

/* Return: false if the connection has nothing to do any more and can be freed. */
bool _jh_command_tick(_jh_command_t *command, int64_t now_us);

/* ---- group_change.c ---- */

void _jh_group_change_init(_jh_group_t *group);
void _jh_group_change_clear(_jh_group_t *group);

/* Find this VM's rank among the observers. */
void _jh_group_change_rank(_jh_group_t *group);

/* The set of members changed: end the change in hand. */
void _jh_group_change_reset(_jh_group_t *group);
void _jh_group_change_tick(_jh_group_t *group, int64_t now_us, bool paused);
void _jh_group_handle_observation(_jh_group_t *group, const jh_frame_msg_t *msg);

/* A command's connection is open, or a command was answered; @row is NULL for the former. */
void _jh_group_connected(_jh_group_t *group, const char *member, uint64_t term);
void _jh_group_outcome(_jh_group_t *group, const char *member, jh_failover_action_type_t type,
		       uint64_t term, const PGresult *row);

/* ---- group_row.c ---- */

/* Write the term and its primary to the platform, once it can be reached. */
void _jh_group_row_set(_jh_group_t *group, uint64_t term, const char *primary);
void _jh_group_row_tick(_jh_group_t *group, int64_t now_us);
void _jh_group_row_handle_reply(_jh_group_t *group, const jh_platform_reply_t *reply);

/* ---- group_view.c ---- */

void _jh_group_views_init(_jh_group_t *group);
void _jh_group_views_clear(_jh_group_t *group);

/* Pass a change on to the subscribers: at once if @change asks for it, else at a tick. */
void _jh_group_views_push(_jh_group_t *group, jh_group_change_t change);
void _jh_group_views_tick(_jh_group_t *group, int64_t now_us);

void _jh_group_handle_view(_jh_group_t *group, const jh_frame_msg_t *msg);
void _jh_group_handle_view_request(_jh_group_t *group, const jh_frame_msg_t *msg);

/* Tell the observers and subscribers of a new primary at once. */
void _jh_group_views_announce(_jh_group_t *group);

/* Drop what a peer's ended life said. */
void _jh_group_peer_down(_jh_group_t *group, const char *vm);

/* Return: new message of a report, times relative to @now_us. */
Jh__DatabaseView *_jh_database_view_new(const char *name, const jh_member_report_t *report,
					int64_t now_us);

/* Fill a report from a message that was made no earlier than @made_us. */
void _jh_database_view_read(const Jh__DatabaseView *view, int64_t made_us,
			    jh_member_report_t *report);

#endif
