#ifndef SDB_SERVER_H
#define SDB_SERVER_H

#include "engine.h"
#include "member.h"

#include "jh_settings.h"

#include <ev.h>

/**
 * DOC: Server
 *
 * One member of a group: its log, its data, its callers, and what they contend for: slots and the
 * right to write.
 */

typedef struct sdb_session sdb_session_t;
typedef struct sdb_follower sdb_follower_t;

/**
 * struct sdb_options - what the command line gives
 * @listen: where to listen
 * @name: this member
 * @members: array of char *, names of all members
 * @addresses: array of jh_address_t, by member
 * @initial_primary: primary of term 1
 * @lag_ms: age that an entry must have before a replica applies it
 * @open_ms: time before authentication answers
 * @delay_ms: network delay added to answers
 * @slots: statements that run at a time
 * @connections: most connections, those of other members not counted
 */
typedef struct sdb_options {
	jh_address_t listen;
	char *name;
	GPtrArray *members;
	GArray *addresses;
	char *initial_primary;
	int lag_ms;
	int open_ms;
	int delay_ms;
	int slots;
	int connections;
} sdb_options_t;

/**
 * struct sdb_server - one member
 * @options: settings; lag, open and delay change by standin_set()
 * @loop: event loop
 * @member: log and terms
 * @engine: data
 * @engine_index: log entries that @engine contains
 * @fd: listening socket
 * @accept: its watcher
 * @sessions: by process id
 * @next_pid: process id of the next session
 * @callers: sessions that count against the connections
 * @writer: process id of the session that may write, 0 if none
 * @lock_waiters: process ids waiting to write
 * @running: slots in use
 * @statements: statements that have taken a slot so far
 * @slot_waiters: process ids waiting for a slot
 * @watchers: process ids waiting for a change of the member
 * @runnable: process ids to run in the next turn of the loop
 * @run: runs them
 * @apply: fires when the next entry has its age
 * @cut: names of members that it neither sends to nor hears from
 * @follower: connection to the primary
 */
typedef struct sdb_server {
	sdb_options_t *options;
	struct ev_loop *loop;
	sdb_member_t *member;
	sdb_engine_t *engine;
	uint64_t engine_index;
	int fd;
	ev_io accept;
	GHashTable *sessions;
	uint32_t next_pid;
	int callers;
	uint32_t writer;
	GQueue lock_waiters;
	int running;
	uint64_t statements;
	GQueue slot_waiters;
	GHashTable *watchers;
	GQueue runnable;
	ev_timer run;
	ev_timer apply;
	char **cut;
	sdb_follower_t *follower;
} sdb_server_t;

/** sdb_server_new() - listen and start replicating. Return: new, or NULL with the error set */
sdb_server_t *sdb_server_new(sdb_options_t *options, struct ev_loop *loop, jh_error_t *err);
void sdb_server_free(sdb_server_t *server);

/** sdb_server_port() - port that it listens on */
uint16_t sdb_server_port(const sdb_server_t *server);

/** sdb_server_changed() - bring data, writers, watchers and the follower in line with the log */
void sdb_server_changed(sdb_server_t *server);

/** sdb_server_wake() - run a session in the next turn */
void sdb_server_wake(sdb_server_t *server, uint32_t pid);

/** sdb_server_is_cut() - true if messages to and from @member are lost */
bool sdb_server_is_cut(const sdb_server_t *server, const char *member);

/** sdb_server_set() - test control. Return: false if there is no such setting */
bool sdb_server_set(sdb_server_t *server, const char *name, const char *value);

/** sdb_server_get() - test control: "statements". Return: -1 if there is no such value */
int64_t sdb_server_get(const sdb_server_t *server, const char *name);

/** sdb_server_lock() - take the right to write, or wait for it. Return: taken */
bool sdb_server_lock(sdb_server_t *server, uint32_t pid);
void sdb_server_unlock(sdb_server_t *server, uint32_t pid);

/** sdb_server_take_slot() - take a slot, or wait for one. Return: taken */
bool sdb_server_take_slot(sdb_server_t *server, uint32_t pid);
void sdb_server_give_slot(sdb_server_t *server);

/** sdb_server_forget() - remove a session from all queues */
void sdb_server_forget(sdb_server_t *server, uint32_t pid);

/* Connection of a replica to its primary. */
sdb_follower_t *sdb_follower_new(sdb_server_t *server);
void sdb_follower_free(sdb_follower_t *follower);
/** sdb_follower_update() - connect to the present primary, or to none */
void sdb_follower_update(sdb_follower_t *follower);

/** sdb_position_format() - "term/index". Return: one of 4 static buffers, used in turn */
const char *sdb_position_format(jh_position_t position);

#endif
