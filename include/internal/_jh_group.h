#ifndef _JH_GROUP_H
#define _JH_GROUP_H

#include "jh_frame.h"
#include "jh_group.h"

#include <libpq-fe.h>

/*
 * The group task, split by job: group.c is the module's face and keeps the groups, group_member.c
 * watches one member through libpq, group_view.c passes views on to other VMs and takes theirs.
 */

/* Time between two looks at every group's timers. */
#define _JH_GROUP_TICK_US ((int64_t)50 * 1000)

/* A tick that comes so late means that this process was paused. */
#define _JH_GROUP_PAUSE_US ((int64_t)200 * 1000)

typedef struct _jh_groups _jh_groups_t;
typedef struct _jh_group _jh_group_t;
typedef struct _jh_member _jh_member_t;

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
};

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
};

/* ---- group.c ---- */

int64_t _jh_groups_now_us(const _jh_groups_t *groups);

/* Take a report by @observer, and publish what it changed. */
void _jh_group_take(_jh_group_t *group, const char *observer, unsigned member,
		    const jh_member_report_t *report);

/* Take a term and its primary, and publish them if they are new. */
void _jh_group_learn(_jh_group_t *group, uint64_t term, const char *primary);

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

/* ---- group_view.c ---- */

void _jh_group_views_init(_jh_group_t *group);
void _jh_group_views_clear(_jh_group_t *group);

/* Pass a change on to the subscribers: at once if @change asks for it, else at a tick. */
void _jh_group_views_push(_jh_group_t *group, jh_group_change_t change);
void _jh_group_views_tick(_jh_group_t *group, int64_t now_us);

void _jh_group_take_view(_jh_group_t *group, const jh_frame_msg_t *msg);
void _jh_group_take_view_request(_jh_group_t *group, const jh_frame_msg_t *msg);

/* Drop what a peer's ended life said. */
void _jh_group_peer_down(_jh_group_t *group, const char *vm);

/* Return: new message of a report, times relative to @now_us. */
Jh__DatabaseView *_jh_database_view_new(const char *name, const jh_member_report_t *report,
					int64_t now_us);

/* Fill a report from a message that was made no earlier than @made_us. */
void _jh_database_view_read(const Jh__DatabaseView *view, int64_t made_us,
			    jh_member_report_t *report);

#endif
