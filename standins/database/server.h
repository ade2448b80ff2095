#ifndef SDB_SERVER_H
#define SDB_SERVER_H

#include "engine.h"
#include "member.h"

#include "jh_settings.h"

#include <ev.h>

/**
 * DOC: Server
 *
 * One member of a group as a process: its log, its data, its client connections, its replication
 * from the primary, and the resources that sessions share (statement slots and the write lock).
 * Everything runs on one libev loop in one thread; sessions that wait for a resource are queued by
 * process id and run again in a later loop iteration.
 */

typedef struct sdb_session sdb_session_t;
typedef struct sdb_follower sdb_follower_t;

/**
 * struct sdb_options - settings from the command line
 * @listen: address to listen on
 * @name: name of this member
 * @members: array of char *, names of all members of the group
 * @addresses: array of jh_address_t, parallel to @members
 * @initial_primary: primary of term 1
 * @lag_ms: time since its receipt after which a replica applies a log entry
 * @open_ms: delay before the authentication reply
 * @delay_ms: network latency that is added to each response
 * @slots: most statements that run at a time
 * @connections: most client connections; those of other members don't count
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
 * struct sdb_server - one member of a group
 * @options: settings, borrowed; sdb_server_set_test_option() changes the numbers among them
 * @loop: event loop, borrowed
 * @member: replicated log and terms
 * @engine: data
 * @engine_applied_index: index of the last log entry that @engine contains
 * @fd: listening socket
 * @accept_watcher: watches @fd
 * @sessions: sdb_session_t by process id; owned
 * @next_pid: process id of the next session
 * @caller_count: number of sessions that count against the connection limit
 * @writer_pid: process id of the session that has the write lock, 0 if none
 * @lock_waiters: process ids that wait for the write lock, in order of arrival
 * @slots_in_use: number of statement slots that sessions have acquired
 * @statements_started: statements that have acquired a slot since the start
 * @slot_waiters: process ids that wait for a slot, in order of arrival
 * @status_waiters: set of process ids that wait for a change of @member, or for a timeout
 * @runnable: process ids to run in the next loop iteration
 * @run_timer: runs the sessions in @runnable
 * @apply_timer: fires when the next log entry is old enough to be applied
 * @partitioned_members: NULL-terminated names of the members that this one exchanges no messages
 *                       with; owned
 * @follower: connection to the primary
 */
typedef struct sdb_server {
	sdb_options_t *options;
	struct ev_loop *loop;
	sdb_member_t *member;
	sdb_engine_t *engine;
	uint64_t engine_applied_index;
	int fd;
	ev_io accept_watcher;
	GHashTable *sessions;
	uint32_t next_pid;
	int caller_count;
	uint32_t writer_pid;
	GQueue lock_waiters;
	int slots_in_use;
	uint64_t statements_started;
	GQueue slot_waiters;
	GHashTable *status_waiters;
	GQueue runnable;
	ev_timer run_timer;
	ev_timer apply_timer;
	char **partitioned_members;
	sdb_follower_t *follower;
} sdb_server_t;

/**
 * sdb_server_new() - listen and start replication
 * @options: must outlive the server
 *
 * Return: new, or NULL with the error set
 */
sdb_server_t *sdb_server_new(sdb_options_t *options, struct ev_loop *loop, jh_error_t *err);
void sdb_server_free(sdb_server_t *server);

/** sdb_server_port() - port that the server listens on, 0 if it is unknown */
uint16_t sdb_server_port(const sdb_server_t *server);

/**
 * sdb_server_refresh() - bring the rest of the server in line with the log, the role and the
 * options
 *
 * Aborts the open write transaction of a former primary, applies the entries that are due, connects
 * to the current primary and wakes the sessions that wait for a change. Call it after every change
 * of the member or the options.
 */
void sdb_server_refresh(sdb_server_t *server);

/**
 * sdb_server_schedule_session() - run a session in the next loop iteration
 *
 * No effect if the session has been freed by then.
 */
void sdb_server_schedule_session(sdb_server_t *server, uint32_t pid);

/**
 * sdb_server_is_partitioned_from() - check for a network partition that a test has set
 * @member: name of another member, or NULL for none
 *
 * Return: true if this member exchanges no messages with @member
 */
bool sdb_server_is_partitioned_from(const sdb_server_t *server, const char *member);

/** sdb_server_set_test_option() - set a test option. Return: false if the name is unknown */
bool sdb_server_set_test_option(sdb_server_t *server, const char *name, const char *value);

/**
 * sdb_server_get_test_counter() - read a test counter; the only one is "statements"
 *
 * Return: its value, -1 if there is no counter of that name
 */
int64_t sdb_server_get_test_counter(const sdb_server_t *server, const char *name);

/**
 * sdb_server_acquire_write_lock() - acquire the write lock, or queue the session for it
 *
 * A queued session is woken when the lock is free, and must call this function again.
 *
 * Return: true if the session has the lock
 */
bool sdb_server_acquire_write_lock(sdb_server_t *server, uint32_t pid);

/** sdb_server_release_write_lock() - release the write lock if the session has it */
void sdb_server_release_write_lock(sdb_server_t *server, uint32_t pid);

/**
 * sdb_server_acquire_slot() - acquire a statement slot, or queue the session for one
 *
 * A queued session is woken when a slot is free, and must call this function again.
 *
 * Return: true if the session has a slot
 */
bool sdb_server_acquire_slot(sdb_server_t *server, uint32_t pid);

/** sdb_server_release_slot() - release a slot; call it once for each slot acquired */
void sdb_server_release_slot(sdb_server_t *server);

/** sdb_server_remove_waiter() - remove a session from all wait queues and status_waiters */
void sdb_server_remove_waiter(sdb_server_t *server, uint32_t pid);

/** sdb_follower_new() - create a replica's connection to its primary, not yet connected */
sdb_follower_t *sdb_follower_new(sdb_server_t *server);
void sdb_follower_free(sdb_follower_t *follower);

/** sdb_follower_update() - connect to the current primary; disconnect if there is none to follow */
void sdb_follower_update(sdb_follower_t *follower);

/**
 * sdb_position_format() - format as "term/index"
 *
 * Return: one of 4 static buffers, which are used round robin
 */
const char *sdb_position_format(jh_position_t position);

#endif
