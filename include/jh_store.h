#ifndef JH_STORE_H
#define JH_STORE_H

#include "jh_platform.h"

/**
 * DOC: Dialects of the platform's store
 *
 * The platform task sends HTTP calls; a dialect says what a request looks like on the wire and
 * what an answer means. It decides nothing and keeps no state.
 */

/**
 * struct jh_http_call - a request as it is sent
 * @method: e.g. "GET"
 * @url: whole; owned
 * @headers: "Name: value" lines, new strings owned by the array
 * @body: NULL if there is none; owned
 * @timeout_ms: longest time until the whole answer is there
 */
typedef struct jh_http_call {
	const char *method;
	char *url;
	GPtrArray *headers;
	GBytes *body;
	long timeout_ms;
} jh_http_call_t;

/**
 * struct jh_http_answer - a whole answer
 * @status: HTTP status
 * @version: of the ETag header, 0 without one
 * @body: borrowed bytes
 */
typedef struct jh_http_answer {
	long status;
	uint64_t version;
	GBytes *body;
} jh_http_answer_t;

/**
 * struct jh_store_dialect - how the platform is spoken to
 * @name: for logs
 * @encode: fill @call in; returns 0, or -1 with the error set for a request it can't express
 * @decode: fill status, version, body and rows of @reply in from an answer
 */
typedef struct jh_store_dialect {
	const char *name;
	int (*encode)(const jh_settings_t *settings, const jh_platform_request_t *request,
		      jh_http_call_t *call, jh_error_t *err);
	void (*decode)(const jh_http_answer_t *answer, jh_platform_reply_t *reply);
} jh_store_dialect_t;

/** jh_platform_call_is_write() - true if the call may change the platform */
bool jh_platform_call_is_write(jh_platform_call_t call);

/** jh_http_tables_dialect - GET and PUT of rows under /tables, objects under /objects */
extern const jh_store_dialect_t jh_http_tables_dialect;

#endif
