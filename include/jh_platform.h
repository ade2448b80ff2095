#ifndef JH_PLATFORM_H
#define JH_PLATFORM_H

#include "jh_kernel.h"

/**
 * DOC: The platform's table service and object store
 *
 * Other tasks reach the platform through the platform task only: they post JH_MSG_PLATFORM_REQUEST
 * and get exactly one JH_MSG_PLATFORM_REPLY with the same tag. HTTP mapping:
 * GET /tables/TABLE/ROW (ETag "version", If-None-Match), PUT the same with If-Match "version"
 * (If-Match "0" creates), GET /vms, PUT /objects/NAME (once: 409 if it exists), GET /objects/NAME,
 * GET /objects?prefix=P (JSON array of names). GET /vms is conditional too. 503 means that the
 * platform did not take the request; other errors of 500 and above leave a write's effect unknown.
 */

typedef enum jh_platform_call {
	JH_PLATFORM_GET_ROW,
	JH_PLATFORM_PUT_ROW,
	JH_PLATFORM_LIST_VMS,
	JH_PLATFORM_PUT_OBJECT,
	JH_PLATFORM_GET_OBJECT,
	JH_PLATFORM_LIST_OBJECTS,
	/** @JH_PLATFORM_SCAN: all rows of a table; goes on after row @name if that is not empty */
	JH_PLATFORM_SCAN,
	/** @JH_PLATFORM_FEED: rows of a table changed after @version; waits for the first one */
	JH_PLATFORM_FEED,
	/** @JH_PLATFORM_COMMIT: write several rows at once, each under its condition */
	JH_PLATFORM_COMMIT,
	/** @JH_PLATFORM_PROMOTE: make member @name lead group @table */
	JH_PLATFORM_PROMOTE,
} jh_platform_call_t;

typedef enum jh_platform_status {
	JH_PLATFORM_OK,
	/** @JH_PLATFORM_UNCHANGED: the row still has the version given */
	JH_PLATFORM_UNCHANGED,
	/** @JH_PLATFORM_CONFLICT: the row has another version, or the object exists */
	JH_PLATFORM_CONFLICT,
	JH_PLATFORM_NOT_FOUND,
	/** @JH_PLATFORM_UNAVAILABLE: not reached; a write did not take effect */
	JH_PLATFORM_UNAVAILABLE,
	/** @JH_PLATFORM_HISTORY_LOST: a feed can't go on from its version; scan the table */
	JH_PLATFORM_HISTORY_LOST,
	/** @JH_PLATFORM_UNKNOWN: the answer was lost; a write may have taken effect */
	JH_PLATFORM_UNKNOWN,
} jh_platform_status_t;

/**
 * struct jh_store_row - a row of a table
 * @name: owned
 * @version: of its last change
 * @body: NULL if it was dropped; owned
 */
typedef struct jh_store_row {
	char *name;
	uint64_t version;
	GBytes *body;
} jh_store_row_t;

/** JH_STORE_ANY_VERSION - a write without a condition */
#define JH_STORE_ANY_VERSION UINT64_MAX

/** enum jh_store_write_type - what a write of a commit does once its condition holds */
typedef enum jh_store_write_type {
	JH_STORE_PUT,
	JH_STORE_DROP,
	/** @JH_STORE_EXPECT: only checks the condition */
	JH_STORE_EXPECT,
} jh_store_write_type_t;

/**
 * struct jh_store_write - one row of a commit
 * @type: what to do
 * @name: row; owned
 * @version: it must have, 0 if it must not exist, or JH_STORE_ANY_VERSION
 * @body: JH_STORE_PUT: what to write; owned
 */
typedef struct jh_store_write {
	jh_store_write_type_t type;
	char *name;
	uint64_t version;
	GBytes *body;
} jh_store_write_t;

/**
 * struct jh_platform_request - body of JH_MSG_PLATFORM_REQUEST
 * @call: what to do
 * @table: table name, NULL for objects and VMs; owned
 * @name: row or object name, or prefix of a list; owned
 * @version: known version (GET_ROW, LIST_VMS; 0: none) or version to replace (PUT_ROW)
 * @body: bytes to put; owned
 * @writes: COMMIT: array of jh_store_write_t *; owned
 * @wait_ms: FEED: longest time to wait for a change
 * @holder: PROMOTE: VM that holds the duty; owned
 * @fence: PROMOTE: grows whenever the holder changes
 * @tag: chosen by the sender, returned in the reply
 */
typedef struct jh_platform_request {
	jh_platform_call_t call;
	char *table;
	char *name;
	uint64_t version;
	GBytes *body;
	GPtrArray *writes;
	uint32_t wait_ms;
	char *holder;
	uint64_t fence;
	uint64_t tag;
} jh_platform_request_t;

/**
 * struct jh_platform_reply - body of JH_MSG_PLATFORM_REPLY
 * @call: as in the request
 * @tag: as in the request
 * @status: how it went
 * @version: version of the row now, or that a feed, scan or commit stands at, if known
 * @body: bytes read, NULL if none; owned
 * @rows: array of jh_store_row_t * (SCAN, FEED), else NULL; owned
 * @has_more: SCAN: not all rows were read
 */
typedef struct jh_platform_reply {
	jh_platform_call_t call;
	uint64_t tag;
	jh_platform_status_t status;
	uint64_t version;
	GBytes *body;
	GPtrArray *rows;
	bool has_more;
} jh_platform_reply_t;

/** jh_platform_send() - post a request to the platform task; copies @table and @name, refs @body */
void jh_platform_send(jh_task_t *from, jh_platform_call_t call, const char *table, const char *name,
		      uint64_t version, GBytes *body, uint64_t tag);

/** jh_platform_scan() - read a table; continues after row @after unless it is NULL */
void jh_platform_scan(jh_task_t *from, const char *table, const char *after, uint64_t tag);

/** jh_platform_feed() - wait for changes of a table after @version */
void jh_platform_feed(jh_task_t *from, const char *table, uint64_t version, uint32_t wait_ms,
		      uint64_t tag);

/** jh_platform_commit() - write rows of @table at once; takes @writes over */
void jh_platform_commit(jh_task_t *from, const char *table, GPtrArray *writes, uint64_t tag);

/** jh_platform_promote() - ask for @member to lead @group, as @holder of the duty */
void jh_platform_promote(jh_task_t *from, const char *group, const char *member, const char *holder,
			 uint64_t fence, uint64_t tag);

/** jh_store_writes_new() - Return: new array for jh_store_write_add() */
GPtrArray *jh_store_writes_new(void);

/** jh_store_write_add() - add one write; @text may be NULL */
void jh_store_write_add(GPtrArray *writes, jh_store_write_type_t type, const char *name,
			uint64_t version, const char *text);

/** jh_store_row_new() - copy of the name; takes a reference of @body, which may be NULL */
jh_store_row_t *jh_store_row_new(const char *name, uint64_t version, GBytes *body);
void jh_store_row_free(void *row);

/** jh_platform_request_clear() - free what a request holds */
void jh_platform_request_clear(void *request);

/** jh_platform_reply_clear() - free what a reply holds */
void jh_platform_reply_clear(void *reply);

#endif
