#ifndef JH_PLATFORM_H
#define JH_PLATFORM_H

#include "jh_kernel.h"

/**
 * DOC: The platform's table service and object store
 *
 * Tasks use the platform by messages: a task posts JH_MSG_PLATFORM_REQUEST with one of the
 * functions below and gets one JH_MSG_PLATFORM_REPLY with the same tag. Where the mirror task runs,
 * it gets the requests first: it replies to JH_PLATFORM_GET_ROW and JH_PLATFORM_LIST_VMS from the
 * mirror, this VM's full local copy of the store's small tables, and forwards the others. The
 * platform task makes the HTTP requests. Which calls exist depends on the profile's store protocol,
 * see jh_store.h; a call that it lacks gets JH_PLATFORM_UNAVAILABLE.
 *
 * The store protocol http_tables uses these HTTP requests:
 *
 * - GET /tables/TABLE/ROW. The ETag is the row's version; If-None-Match makes the read conditional.
 * - PUT /tables/TABLE/ROW with If-Match: VERSION. If-Match: "0" creates the row.
 * - GET /vms, conditional like a row.
 * - PUT /objects/NAME, with status 409 if the object exists.
 * - GET /objects/NAME.
 * - GET /objects?prefix=PREFIX, whose response is a JSON array of names.
 *
 * Status 503 means that the platform did not accept the request. After another status of 500 or
 * above, a write may or may not have taken effect.
 */

/**
 * DOC: Versions and eras of the store
 *
 * The store may be restored from an older copy: writes that it had acknowledged are then gone, and
 * it gives the same numbers out again. It says so by a higher era. A version is therefore a pair of
 * era and number, in one integer, so that every version of a later era is higher than any of an
 * earlier one. The platform task adds the era to what the store sends and removes it from what is
 * sent to the store; no other task sees a bare number.
 */

/** JH_STORE_NUMBER_BITS - bits of a version that hold the store's number; the era is above them */
#define JH_STORE_NUMBER_BITS 44

/** JH_STORE_ERA_MAX - highest era that a version can hold; one less than in JH_STORE_ANY_VERSION */
#define JH_STORE_ERA_MAX ((UINT64_C(1) << (64 - JH_STORE_NUMBER_BITS)) - 2)

/** jh_store_version() - Return: the version of @number in @era */
static inline uint64_t jh_store_version(uint64_t era, uint64_t number)
{
	return era << JH_STORE_NUMBER_BITS | (number & ((UINT64_C(1) << JH_STORE_NUMBER_BITS) - 1));
}

/** jh_store_version_era() - Return: the era of a version */
static inline uint64_t jh_store_version_era(uint64_t version)
{
	return version >> JH_STORE_NUMBER_BITS;
}

/** jh_store_version_number() - Return: the number of a version within its era */
static inline uint64_t jh_store_version_number(uint64_t version)
{
	return version & ((UINT64_C(1) << JH_STORE_NUMBER_BITS) - 1);
}

/** enum jh_platform_call - kind of a request; see struct jh_platform_request for the parameters */
typedef enum jh_platform_call {
	/** @JH_PLATFORM_GET_ROW: read row @name of @table unless it has @version */
	JH_PLATFORM_GET_ROW,
	/** @JH_PLATFORM_PUT_ROW: write row @name of @table if it has @version; 0 creates it */
	JH_PLATFORM_PUT_ROW,
	/** @JH_PLATFORM_LIST_VMS: read the VM list, as JSON, unless the platform has @version */
	JH_PLATFORM_LIST_VMS,
	/** @JH_PLATFORM_PUT_OBJECT: create object @name, which must not exist */
	JH_PLATFORM_PUT_OBJECT,
	/** @JH_PLATFORM_GET_OBJECT: read object @name */
	JH_PLATFORM_GET_OBJECT,
	/** @JH_PLATFORM_LIST_OBJECTS: list the names that begin with @name, as a JSON array */
	JH_PLATFORM_LIST_OBJECTS,
	/** @JH_PLATFORM_SCAN: read the rows of @table; only those after row @name, if set */
	JH_PLATFORM_SCAN,
	/** @JH_PLATFORM_FEED: read the rows of @table changed after @version; waits for one */
	JH_PLATFORM_FEED,
	/** @JH_PLATFORM_COMMIT: write rows of @table in one transaction, each with a condition */
	JH_PLATFORM_COMMIT,
	/** @JH_PLATFORM_PROMOTE: make member @name the primary of group @table */
	JH_PLATFORM_PROMOTE,
	/** @JH_PLATFORM_END_FEED: end the sender's feed of the same tag; has no reply of its own */
	JH_PLATFORM_END_FEED,
} jh_platform_call_t;

/** enum jh_platform_status - result of a request */
typedef enum jh_platform_status {
	/** @JH_PLATFORM_OK: the read or write succeeded */
	JH_PLATFORM_OK,
	/** @JH_PLATFORM_UNCHANGED: the row or list still has the version of the request */
	JH_PLATFORM_UNCHANGED,
	/** @JH_PLATFORM_CONFLICT: a row does not have the required version, or the object exists */
	JH_PLATFORM_CONFLICT,
	/** @JH_PLATFORM_NOT_FOUND: no such row or object */
	JH_PLATFORM_NOT_FOUND,
	/**
	 * @JH_PLATFORM_UNAVAILABLE: the request failed; a write did not take effect. If it may have
	 * taken effect, the status is JH_PLATFORM_UNKNOWN
	 */
	JH_PLATFORM_UNAVAILABLE,
	/**
	 * @JH_PLATFORM_HISTORY_LOST: a feed can't continue from its version, since the store has
	 * dropped its history or was restored from an older copy; scan the table
	 */
	JH_PLATFORM_HISTORY_LOST,
	/** @JH_PLATFORM_UNKNOWN: no usable response to a write, which may have taken effect */
	JH_PLATFORM_UNKNOWN,
} jh_platform_status_t;

/**
 * struct jh_store_row - a row of a table
 * @name: name of the row; owned
 * @version: version of its last change
 * @body: NULL if the row was deleted; owned
 */
typedef struct jh_store_row {
	char *name;
	uint64_t version;
	GBytes *body;
} jh_store_row_t;

/** JH_STORE_ANY_VERSION - the version of a write without a condition */
#define JH_STORE_ANY_VERSION UINT64_MAX

/** enum jh_store_write_type - effect of one write of a commit if all its conditions hold */
typedef enum jh_store_write_type {
	/** @JH_STORE_PUT: create or replace the row */
	JH_STORE_PUT,
	/** @JH_STORE_DELETE: delete the row */
	JH_STORE_DELETE,
	/** @JH_STORE_CHECK: change nothing; only the condition is checked */
	JH_STORE_CHECK,
} jh_store_write_type_t;

/**
 * struct jh_store_write - one write of a commit
 * @type: effect of the write
 * @name: name of the row; owned
 * @version: version that the row must have; 0 if it must not exist; or JH_STORE_ANY_VERSION
 * @body: new body of the row (JH_STORE_PUT), else NULL; owned
 */
typedef struct jh_store_write {
	jh_store_write_type_t type;
	char *name;
	uint64_t version;
	GBytes *body;
} jh_store_write_t;

/**
 * struct jh_platform_request - body of JH_MSG_PLATFORM_REQUEST
 * @call: kind of the request
 * @table: name of the table, or of the group (PROMOTE); NULL for objects and the VM list; owned
 * @name: name of the row, object or member; prefix of names (LIST_OBJECTS); owned
 * @version: known version (GET_ROW, LIST_VMS, FEED; 0: none) or version to replace (PUT_ROW)
 * @body: bytes to write (PUT_ROW, PUT_OBJECT); owned
 * @writes: array of jh_store_write_t * (COMMIT); owned
 * @wait_ms: longest time for which the platform waits for a change, milliseconds (FEED)
 * @holder: name of the VM that is the leader (PROMOTE); owned
 * @fence: fencing token, which grows with each leader (PROMOTE)
 * @tag: chosen by the sender; the reply has the same tag
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
 * @call: kind of the request
 * @tag: tag of the request
 * @status: result of the request
 * @version: current version of the row or VM list; the table's version that a scan or feed has
 *	read up to, or that a commit wrote; 0 if unknown
 * @body: bytes read, NULL if none; owned
 * @rows: array of jh_store_row_t * (SCAN, FEED), else NULL; owned
 * @has_more: the reply ends before the last row of the table (SCAN)
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

/**
 * jh_platform_send() - post a request to the mirror task if one runs, else to the platform task
 * @from: the sender, which gets the reply as JH_MSG_PLATFORM_REPLY
 * @call: one of the calls that need no other parameters
 * @table: copied; may be NULL
 * @name: copied; may be NULL
 * @version: known version or version to replace; 0 if none
 * @body: the call takes a reference of its own; may be NULL
 * @tag: tag of the reply
 */
void jh_platform_send(jh_task_t *from, jh_platform_call_t call, const char *table, const char *name,
		      uint64_t version, GBytes *body, uint64_t tag);

/** jh_platform_scan() - request all rows of @table, or those after row @after unless it is NULL */
void jh_platform_scan(jh_task_t *from, const char *table, const char *after, uint64_t tag);

/** jh_platform_feed() - request the changes of @table after @version; waits @wait_ms for one */
void jh_platform_feed(jh_task_t *from, const char *table, uint64_t version, uint32_t wait_ms,
		      uint64_t tag);

/**
 * jh_platform_end_feed() - end the feed that was sent with @tag, if it still waits
 *
 * Its reply then has the status JH_PLATFORM_UNAVAILABLE.
 */
void jh_platform_end_feed(jh_task_t *from, uint64_t tag);

/** jh_platform_commit() - write rows of @table in one transaction; takes ownership of @writes */
void jh_platform_commit(jh_task_t *from, const char *table, GPtrArray *writes, uint64_t tag);

/**
 * jh_platform_promote() - request that @member becomes the primary of @group
 * @from: the sender, which gets the reply as JH_MSG_PLATFORM_REPLY
 * @group: name of the group; copied
 * @member: name of the member; copied
 * @holder: name of the VM that is the leader; copied
 * @fence: its fencing token; the platform rejects requests of earlier leaders by it
 * @tag: tag of the reply
 */
void jh_platform_promote(jh_task_t *from, const char *group, const char *member, const char *holder,
			 uint64_t fence, uint64_t tag);

/** jh_store_writes_new() - make an empty list of writes. Return: new; owns its elements */
GPtrArray *jh_store_writes_new(void);

/** jh_store_write_add() - add one write; copies @name and the body @text, which may be NULL */
void jh_store_write_add(GPtrArray *writes, jh_store_write_type_t type, const char *name,
			uint64_t version, const char *text);

/**
 * jh_store_row_new() - make a row; copies @name, takes its own reference of @body (may be NULL)
 *
 * Return: new; free with jh_store_row_free()
 */
jh_store_row_t *jh_store_row_new(const char *name, uint64_t version, GBytes *body);

/** jh_store_row_free() - free a row and release its body */
void jh_store_row_free(void *row);

/** jh_platform_request_clear() - free what a request owns, but not the request itself */
void jh_platform_request_clear(void *request);

/** jh_platform_reply_clear() - free what a reply owns, but not the reply itself */
void jh_platform_reply_clear(void *reply);

#endif
