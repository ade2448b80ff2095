#ifndef JH_STORE_H
#define JH_STORE_H

#include "jh_platform.h"

/**
 * DOC: Protocols of the platform's store
 *
 * The platform task makes the HTTP requests. A store protocol encodes a platform request as an HTTP
 * request and decodes the HTTP response into a reply. It keeps no state and does no I/O.
 */

/**
 * struct jh_http_request - an HTTP request
 * @method: e.g. "GET"; static
 * @url: the full URL; owned
 * @headers: lines "Name: value"; the array owns the strings
 * @body: NULL if there is none; owned
 * @timeout_ms: longest time until the whole response has arrived
 */
typedef struct jh_http_request {
	const char *method;
	char *url;
	GPtrArray *headers;
	GBytes *body;
	long timeout_ms;
} jh_http_request_t;

/**
 * struct jh_http_response - an HTTP response
 * @status: HTTP status
 * @version: number in the ETag header; 0 without that header
 * @body: borrowed
 */
typedef struct jh_http_response {
	long status;
	uint64_t version;
	GBytes *body;
} jh_http_response_t;

/**
 * struct jh_store_protocol - a store protocol
 * @name: for logs
 * @encode: encode @request into @http_request, which holds defaults (GET, no headers); returns 0,
 *	or -1 with the error set for a request that the protocol does not support
 * @decode: set status, version, body and rows of @reply from a response; its call is already set
 */
typedef struct jh_store_protocol {
	const char *name;
	int (*encode)(const jh_settings_t *settings, const jh_platform_request_t *request,
		      jh_http_request_t *http_request, jh_error_t *err);
	void (*decode)(const jh_http_response_t *response, jh_platform_reply_t *reply);
} jh_store_protocol_t;

/** jh_platform_call_is_write() - Return: true if the call may change data on the platform */
bool jh_platform_call_is_write(jh_platform_call_t call);

/** jh_http_tables_protocol - GET and PUT of rows under /tables and of objects under /objects */
extern const jh_store_protocol_t jh_http_tables_protocol;

#endif
