#ifndef STANDIN_ROWS_H
#define STANDIN_ROWS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: Stand-in of the users' platform
 *
 * main.c is the program and its HTTP interface, store.c the tables of rows, members.c the members
 * with their line protocol, and promotions. All of them keep their state in memory, under one
 * mutex.
 */

typedef struct members members_t;

typedef struct store {
	GMutex mutex;
	GCond changed;
	/* "TABLE KEY" to row_t *. */
	GHashTable *rows;
	/* Newest version, and how often the store was restored from a copy. */
	uint64_t version;
	uint64_t era;
	/* Changes up to this version are gone from the history. */
	uint64_t dropped_version;
	/* Number of times that the waiting feeds were forgotten. */
	unsigned forgotten_count;
	bool is_silent;
	/* Calls get this status instead of a response, if it is not 0. */
	unsigned reject_status;
	/* Time that each response takes, milliseconds. */
	unsigned delay_ms;
	/* Writes that are still carried out without a response. */
	unsigned lost_responses;
	bool is_stopping;
	/* A copy of the rows, and its version; NULL if none was made. */
	GHashTable *copied_rows;
	uint64_t copied_version;
	members_t *members;
} store_t;

/** struct response - @status 0 closes the connection without a response; @body is owned */
typedef struct response {
	unsigned status;
	char *body;
} response_t;

/* ---- store.c: call with the mutex held ---- */

void store_init(store_t *store);
void store_clear(store_t *store);
/** store_write() - write a row in a transaction of its own; NULL drops it */
void store_write(store_t *store, const char *table, const char *key, const char *text);
void store_copy(store_t *store);
/** store_restore() - go back to the copy, in a new era; waiting feeds are forgotten */
void store_restore(store_t *store);
response_t store_get(const store_t *store, const char *table, const char *from);
/** store_feed() - waits on @changed, so that the mutex is released meanwhile */
response_t store_feed(store_t *store, const char *table, uint64_t after, uint64_t wait_ms);
response_t store_transaction(store_t *store, const GByteArray *body);
/** store_wait_for_stop() - block a call that gets no response */
void store_wait_for_stop(store_t *store);

/* ---- members.c: call with the mutex held, unless said otherwise ---- */

members_t *members_new(store_t *store);
/** members_free() - end all members; call it without the mutex */
void members_free(members_t *members);

/**
 * members_add() - start a member, and write its registration
 * @zone: its data centre; "dc-1" if it is empty
 *
 * Return: its port, 0 if it can't listen
 */
unsigned members_add(members_t *members, const char *service, const char *id, const char *zone,
		     bool is_primary);
/** members_crash() - close the member's connections; its registration disappears later */
bool members_crash(members_t *members, const char *id);
/** members_return() - start a crashed member again, with its log */
bool members_return(members_t *members, const char *id);
/** members_set_cold() - after its next start the member is cold, and gets @limit lines a second */
bool members_set_cold(members_t *members, const char *id, unsigned cold_ms, unsigned limit);
/** members_leave() - register as draining; it ends some time after the drain time */
bool members_leave(members_t *members, const char *id, unsigned drain_ms);
/** members_set_cut() - the member neither sends nor receives commits while @is_cut */
bool members_set_cut(members_t *members, const char *id, bool is_cut);
/** members_set_sync() - a commit is acknowledged once as many replicas have received it */
void members_set_sync(members_t *members, unsigned sync_replicas);
void members_register_again(members_t *members);
/** members_set_late() - the member sends each answer @late_ms later, 0 ends it */
bool members_set_late(members_t *members, const char *id, unsigned late_ms);

/** members_set_deaf() - the member closes the leader's connections while @is_deaf, not those of
 * teams */
bool members_set_deaf(members_t *members, const char *id, bool is_deaf);
/**
 * members_set_repeats() - the member answers some statements twice, and some with BUSY
 * @percent: share that it answers twice, whatever the answer is; 0 ends it
 * @moments: when the second answer is sent, separated by commas: "segment" (in the same segment),
 *	"idle" (some ms later, while no statement is outstanding), "parts" (as "idle", but cut in
 *two parts), "next" (before the answer to the next statement); the next statement ends the wait
 * @busy_percent: share that gets BUSY, without a run
 */
bool members_set_repeats(members_t *members, const char *id, unsigned percent, const char *moments,
			 unsigned busy_percent);
/** members_find_primary() - Return: id of the service's primary, borrowed; NULL if there is none */
const char *members_find_primary(const members_t *members, const char *service);
/** members_promote() - Return: false if the member is not running */
bool members_promote(members_t *members, const char *id, const char *holder, uint64_t fence);
/** members_report() - Return: new JSON text of what ran, was committed, and broke a rule */
char *members_report(const members_t *members);

#endif
