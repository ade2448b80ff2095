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
	/** @JH_PLATFORM_UNKNOWN: the answer was lost; a write may have taken effect */
	JH_PLATFORM_UNKNOWN,
} jh_platform_status_t;

/**
 * struct jh_platform_request - body of JH_MSG_PLATFORM_REQUEST
 * @call: what to do
 * @table: table name, NULL for objects and VMs; owned
 * @name: row or object name, or prefix of a list; owned
 * @version: known version (GET_ROW, LIST_VMS; 0: none) or version to replace (PUT_ROW)
 * @body: bytes to put; owned
 * @tag: chosen by the sender, returned in the reply
 */
typedef struct jh_platform_request {
	jh_platform_call_t call;
	char *table;
	char *name;
	uint64_t version;
	GBytes *body;
	uint64_t tag;
} jh_platform_request_t;

/**
 * struct jh_platform_reply - body of JH_MSG_PLATFORM_REPLY
 * @call: as in the request
 * @tag: as in the request
 * @status: how it went
 * @version: version of the row now, if known
 * @body: bytes read, NULL if none; owned
 */
typedef struct jh_platform_reply {
	jh_platform_call_t call;
	uint64_t tag;
	jh_platform_status_t status;
	uint64_t version;
	GBytes *body;
} jh_platform_reply_t;

/** jh_platform_send() - post a request to the platform task; copies @table and @name, refs @body */
void jh_platform_send(jh_task_t *from, jh_platform_call_t call, const char *table, const char *name,
		      uint64_t version, GBytes *body, uint64_t tag);

#endif
