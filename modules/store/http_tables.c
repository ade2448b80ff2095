#include "jh_store.h"

/*
 * The store protocol http_tables: rows under /tables, objects under /objects, the list
 * of VMs at /vms. A version is an ETag; If-Match makes a write conditional.
 */

#define HTTP_OK 200
#define HTTP_CREATED 201
#define HTTP_NOT_MODIFIED 304
#define HTTP_NOT_FOUND 404
#define HTTP_CONFLICT 409
#define HTTP_PRECONDITION_FAILED 412
#define HTTP_SERVICE_UNAVAILABLE 503

static char *request_url(const char *base, const jh_platform_request_t *request)
{
	char *name = g_uri_escape_string(request->name ? request->name : "", "/", FALSE);
	char *url = NULL;

	switch (request->call) {
	case JH_PLATFORM_GET_ROW:
	case JH_PLATFORM_PUT_ROW:
		url = g_strdup_printf("%s/tables/%s/%s", base, request->table, name);
		break;
	case JH_PLATFORM_LIST_VMS:
		url = g_strdup_printf("%s/vms", base);
		break;
	case JH_PLATFORM_PUT_OBJECT:
	case JH_PLATFORM_GET_OBJECT:
		url = g_strdup_printf("%s/objects/%s", base, name);
		break;
	case JH_PLATFORM_LIST_OBJECTS:
		url = g_strdup_printf("%s/objects?prefix=%s", base, name);
		break;
	case JH_PLATFORM_SCAN:
	case JH_PLATFORM_FEED:
	case JH_PLATFORM_COMMIT:
	case JH_PLATFORM_PROMOTE:
	case JH_PLATFORM_END_FEED:
		break;
	}
	g_free(name);
	return url;
}

static int tables_encode(const jh_settings_t *settings, const jh_platform_request_t *request,
			 jh_http_request_t *http_request, jh_error_t *err)
{
	http_request->url = request_url(settings->platform_url, request);
	if (!http_request->url)
		return jh_error_set(err, JH_ERR_INVALID,
				    "store protocol http_tables has no platform call %d",
				    request->call);
	if (jh_platform_call_is_write(request->call)) {
		http_request->method = "PUT";
		http_request->body = request->body ? g_bytes_ref(request->body) : NULL;
	}
	if (request->call == JH_PLATFORM_PUT_ROW)
		g_ptr_array_add(http_request->headers,
				g_strdup_printf("If-Match: \"%" G_GUINT64_FORMAT "\"",
						jh_store_version_number(request->version)));
	else if (!jh_platform_call_is_write(request->call) && request->version > 0)
		g_ptr_array_add(http_request->headers,
				g_strdup_printf("If-None-Match: \"%" G_GUINT64_FORMAT "\"",
						jh_store_version_number(request->version)));
	return 0;
}

static jh_platform_status_t status_from_http(long http_status, jh_platform_call_t call)
{
	switch (http_status) {
	case HTTP_OK:
	case HTTP_CREATED:
		return JH_PLATFORM_OK;
	case HTTP_NOT_MODIFIED:
		return JH_PLATFORM_UNCHANGED;
	case HTTP_NOT_FOUND:
		return JH_PLATFORM_NOT_FOUND;
	case HTTP_CONFLICT:
	case HTTP_PRECONDITION_FAILED:
		return JH_PLATFORM_CONFLICT;
	case HTTP_SERVICE_UNAVAILABLE:
		return JH_PLATFORM_UNAVAILABLE;
	default:
		/* After an error in the platform or in an HTTP gateway, a write may have taken
		 * effect.
		 */
		return jh_platform_call_is_write(call) && http_status >= 500 ?
			       JH_PLATFORM_UNKNOWN :
			       JH_PLATFORM_UNAVAILABLE;
	}
}

static void tables_decode(const jh_http_response_t *response, jh_platform_reply_t *reply)
{
	reply->status = status_from_http(response->status, reply->call);
	reply->version = response->version;
	if (reply->status == JH_PLATFORM_OK && !jh_platform_call_is_write(reply->call))
		reply->body = g_bytes_ref(response->body);
}

const jh_store_protocol_t jh_http_tables_protocol = {
	.name = "http_tables",
	.encode = tables_encode,
	.decode = tables_decode,
};
