/*
 * Stand-in for the users' platform: the store of rows with transactions and feeds, members with
 * their line protocol, and promotions, as the profile "fleet" uses them. Everything is kept in
 * memory. Tests write rows, start members and inject faults with requests under /test/:
 *
 *   PUT  /test/row?table=T&key=K   writes the body to a row, as the operator or a member would
 *   POST /test/drop?table=T&key=K  drops a row
 *   POST /test/compact             drops the history: a feed that would need it gets status 410
 *   POST /test/forget              as compact, and the feeds that wait never get a response
 *   POST /test/silent?on=1|0       no call gets a response while it is on, nor later
 *   POST /test/reject?status=N     calls get that status; 0 ends it
 *   POST /test/slow?ms=N           each response takes as long; 0 ends it
 *   POST /test/lose?count=N        the next writes are carried out without a response
 *   POST /test/copy                makes a copy of all rows
 *   POST /test/restore             goes back to the copy, in the next era
 *   POST /test/member?service=S&id=I&primary=1|0  starts a member; the body is its port. With
 *                                  zone=Z it is in that zone, else in dc-1
 *   POST /test/crash?id=I          closes the member's connections
 *   POST /test/return?id=I         starts it again, with its log
 *   POST /test/cold?id=I&ms=N&limit=L  after its next start it is cold for N milliseconds; a second
 *                                  with more than L lines from teams is a violation then
 *   POST /test/leave?id=I&drain=N  registers it as draining; it ends later than in N milliseconds
 *   POST /test/cut?id=I&on=1|0     it neither sends nor receives commits while it is on
 *   POST /test/deaf?id=I&on=1|0    it closes the leader's connections while it is on
 *   POST /test/late?id=I&ms=N      it sends each answer N milliseconds later; 0 ends it
 *   POST /test/sync?count=N        a commit is acknowledged once N replicas have received it
 *   POST /test/repeat?id=I&percent=P&moments=M,..&busy=B  it answers P percent of its statements
 *                                  twice, at moments "segment", "idle", "parts" and "next", and B
 *                                  percent with BUSY
 *   POST /test/primary?service=S   the body is the name of the service's primary
 *   POST /test/register            every member that runs writes its registration again
 *   GET  /test/report              what the members ran and committed, as JSON
 */

#include "rows.h"

#include "jh_settings.h"

#include <arpa/inet.h>
#include <jansson.h>
#include <microhttpd.h>
#include <popt.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

#define BODY_MAX_BYTES (4u * 1024 * 1024)
#define THREAD_STACK_BYTES (256u * 1024)

#define EXIT_BAD_SETTINGS 2

typedef struct request {
	store_t *store;
	struct MHD_Connection *connection;
	GByteArray *body;
} request_t;

static const char *get_argument(const request_t *request, const char *name)
{
	const char *value =
		MHD_lookup_connection_value(request->connection, MHD_GET_ARGUMENT_KIND, name);

	return value ? value : "";
}

static uint64_t get_number(const request_t *request, const char *name)
{
	return g_ascii_strtoull(get_argument(request, name), NULL, 10);
}

static const char *get_header(const request_t *request, const char *name)
{
	const char *value = MHD_lookup_connection_value(request->connection, MHD_HEADER_KIND, name);

	return value ? value : "";
}

static response_t response_if(bool is_done)
{
	return (response_t){ .status = is_done ? MHD_HTTP_OK : MHD_HTTP_CONFLICT };
}

/* ---- Requests of tests ---- */

static response_t handle_row(const request_t *request)
{
	char *text = g_strndup((const char *)request->body->data, request->body->len);

	store_write(request->store, get_argument(request, "table"), get_argument(request, "key"),
		    text);
	g_free(text);
	return response_if(true);
}

static response_t handle_drop(const request_t *request)
{
	store_write(request->store, get_argument(request, "table"), get_argument(request, "key"),
		    NULL);
	return response_if(true);
}

static response_t handle_compact(const request_t *request)
{
	request->store->dropped_version = request->store->version;
	return response_if(true);
}

static response_t handle_forget(const request_t *request)
{
	request->store->forgotten_count++;
	return handle_compact(request);
}

static response_t handle_silent(const request_t *request)
{
	request->store->is_silent = get_number(request, "on") != 0;
	return response_if(true);
}

static response_t handle_reject(const request_t *request)
{
	request->store->reject_status = (unsigned)get_number(request, "status");
	return response_if(true);
}

static response_t handle_slow(const request_t *request)
{
	request->store->delay_ms = (unsigned)get_number(request, "ms");
	return response_if(true);
}

static response_t handle_lose(const request_t *request)
{
	request->store->lost_responses = (unsigned)get_number(request, "count");
	return response_if(true);
}

static response_t handle_copy(const request_t *request)
{
	store_copy(request->store);
	return response_if(true);
}

static response_t handle_restore(const request_t *request)
{
	store_restore(request->store);
	return response_if(true);
}

static response_t handle_member(const request_t *request)
{
	unsigned port = members_add(request->store->members, get_argument(request, "service"),
				    get_argument(request, "id"), get_argument(request, "zone"),
				    get_number(request, "primary") != 0);
	response_t response = response_if(port > 0);

	response.body = strdup("");
	if (port > 0) {
		free(response.body);
		if (asprintf(&response.body, "%u", port) < 0)
			response.body = NULL;
	}
	return response;
}

static response_t handle_crash(const request_t *request)
{
	return response_if(members_crash(request->store->members, get_argument(request, "id")));
}

static response_t handle_return(const request_t *request)
{
	return response_if(members_return(request->store->members, get_argument(request, "id")));
}

static response_t handle_cold(const request_t *request)
{
	return response_if(members_set_cold(request->store->members, get_argument(request, "id"),
					    (unsigned)get_number(request, "ms"),
					    (unsigned)get_number(request, "limit")));
}

static response_t handle_leave(const request_t *request)
{
	return response_if(members_leave(request->store->members, get_argument(request, "id"),
					 (unsigned)get_number(request, "drain")));
}

static response_t handle_cut(const request_t *request)
{
	return response_if(members_set_cut(request->store->members, get_argument(request, "id"),
					   get_number(request, "on") != 0));
}

static response_t handle_sync(const request_t *request)
{
	members_set_sync(request->store->members, (unsigned)get_number(request, "count"));
	return response_if(true);
}

static response_t handle_deaf(const request_t *request)
{
	return response_if(members_set_deaf(request->store->members, get_argument(request, "id"),
					    get_number(request, "on") != 0));
}

static response_t handle_late(const request_t *request)
{
	return response_if(members_set_late(request->store->members, get_argument(request, "id"),
					    (unsigned)get_number(request, "ms")));
}

static response_t handle_repeat(const request_t *request)
{
	return response_if(members_set_repeats(request->store->members, get_argument(request, "id"),
					       (unsigned)get_number(request, "percent"),
					       get_argument(request, "moments"),
					       (unsigned)get_number(request, "busy")));
}

static response_t handle_primary(const request_t *request)
{
	const char *id =
		members_find_primary(request->store->members, get_argument(request, "service"));
	response_t response = response_if(id != NULL);

	response.body = strdup(id ? id : "");
	return response;
}

static response_t handle_register(const request_t *request)
{
	members_register_again(request->store->members);
	return response_if(true);
}

static response_t handle_report(const request_t *request)
{
	return (response_t){ .status = MHD_HTTP_OK,
			     .body = members_report(request->store->members) };
}

/* ---- Requests of the daemons ---- */

static response_t handle_get(const request_t *request)
{
	return store_get(request->store, get_argument(request, "table"),
			 get_argument(request, "from"));
}

static response_t handle_feed(const request_t *request)
{
	return store_feed(request->store, get_argument(request, "table"),
			  get_number(request, "after"), get_number(request, "waitMs"));
}

static response_t handle_transaction(const request_t *request)
{
	return store_transaction(request->store, request->body);
}

static response_t handle_promote(const request_t *request)
{
	json_t *object = json_loadb((const char *)request->body->data, request->body->len, 0, NULL);
	const char *id = json_string_value(json_object_get(object, "id"));
	bool is_running =
		id &&
		members_promote(request->store->members, id, get_header(request, "Duty-Holder"),
				g_ascii_strtoull(get_header(request, "Fence-Token"), NULL, 10));

	json_decref(object);
	return response_if(is_running);
}

static const struct {
	const char *path;
	response_t (*handle)(const request_t *request);
	/* A call of the daemons to the store, which the store's faults concern. */
	bool is_call;
	bool is_write;
} handlers[] = {
	{ "/v1/rows-get", handle_get, .is_call = true },
	{ "/v1/rows-feed", handle_feed, .is_call = true },
	{ "/v1/rows-tx", handle_transaction, .is_call = true, .is_write = true },
	{ "/promote", handle_promote },
	{ "/test/row", handle_row },
	{ "/test/drop", handle_drop },
	{ "/test/compact", handle_compact },
	{ "/test/forget", handle_forget },
	{ "/test/silent", handle_silent },
	{ "/test/reject", handle_reject },
	{ "/test/slow", handle_slow },
	{ "/test/lose", handle_lose },
	{ "/test/copy", handle_copy },
	{ "/test/restore", handle_restore },
	{ "/test/member", handle_member },
	{ "/test/crash", handle_crash },
	{ "/test/return", handle_return },
	{ "/test/cold", handle_cold },
	{ "/test/leave", handle_leave },
	{ "/test/cut", handle_cut },
	{ "/test/deaf", handle_deaf },
	{ "/test/sync", handle_sync },
	{ "/test/late", handle_late },
	{ "/test/repeat", handle_repeat },
	{ "/test/primary", handle_primary },
	{ "/test/register", handle_register },
	{ "/test/report", handle_report },
};

static void wait_for_delay(store_t *store)
{
	int64_t until_us = g_get_monotonic_time() + (int64_t)store->delay_ms * 1000;

	while (!store->is_stopping && g_get_monotonic_time() < until_us)
		g_cond_wait_until(&store->changed, &store->mutex, until_us);
}

static response_t handle_call(const request_t *request,
			      response_t (*handle)(const request_t *request), bool is_write)
{
	store_t *store = request->store;
	response_t response;

	if (store->is_silent) {
		store_wait_for_stop(store);
		return (response_t){ 0 };
	}
	if (store->reject_status > 0)
		return (response_t){ .status = store->reject_status };
	wait_for_delay(store);
	response = handle(request);
	if (is_write && store->lost_responses > 0) {
		store->lost_responses--;
		free(response.body);
		response = (response_t){ 0 };
	}
	return response;
}

static response_t handle_request(const request_t *request, const char *path)
{
	unsigned i;

	for (i = 0; i < G_N_ELEMENTS(handlers); i++) {
		if (!g_str_equal(path, handlers[i].path))
			continue;
		return handlers[i].is_call ?
			       handle_call(request, handlers[i].handle, handlers[i].is_write) :
			       handlers[i].handle(request);
	}
	return (response_t){ .status = MHD_HTTP_NOT_FOUND };
}

/* ---- HTTP ---- */

static enum MHD_Result response_send(struct MHD_Connection *connection, response_t *response,
				     uint64_t era)
{
	char era_text[24];
	struct MHD_Response *mhd_response;
	enum MHD_Result result;

	if (response->status == 0)
		return MHD_NO;
	mhd_response = MHD_create_response_from_buffer(response->body ? strlen(response->body) : 0,
						       response->body ? response->body : "",
						       MHD_RESPMEM_MUST_COPY);
	g_snprintf(era_text, sizeof(era_text), "%" G_GUINT64_FORMAT, era);
	MHD_add_response_header(mhd_response, "Store-Era", era_text);
	result = MHD_queue_response(connection, response->status, mhd_response);
	MHD_destroy_response(mhd_response);
	free(response->body);
	return result;
}

static enum MHD_Result on_request(void *data, struct MHD_Connection *connection, const char *path,
				  const char *method, const char *protocol, const char *upload,
				  size_t *upload_size, void **context)
{
	request_t *request = *context;
	response_t response;
	uint64_t era;

	(void)method;
	(void)protocol;
	if (!request) {
		request = g_new0(request_t, 1);
		request->store = data;
		request->connection = connection;
		request->body = g_byte_array_new();
		*context = request;
		return MHD_YES;
	}
	if (*upload_size > 0) {
		if (request->body->len + *upload_size > BODY_MAX_BYTES)
			return MHD_NO;
		g_byte_array_append(request->body, (const uint8_t *)upload, (guint)*upload_size);
		*upload_size = 0;
		return MHD_YES;
	}
	g_mutex_lock(&request->store->mutex);
	response = handle_request(request, path);
	era = request->store->era;
	g_cond_broadcast(&request->store->changed);
	g_mutex_unlock(&request->store->mutex);
	return response_send(connection, &response, era);
}

static void on_request_completed(void *data, struct MHD_Connection *connection, void **context,
				 enum MHD_RequestTerminationCode code)
{
	request_t *request = *context;

	(void)data;
	(void)connection;
	(void)code;
	if (!request)
		return;
	g_byte_array_free(request->body, TRUE);
	g_free(request);
	*context = NULL;
}

/* ---- program ---- */

static struct MHD_Daemon *daemon_start(store_t *store, const jh_address_t *address)
{
	struct sockaddr_in listen_addr = { .sin_family = AF_INET,
					   .sin_port = htons(address->port) };

	if (inet_pton(AF_INET, address->host, &listen_addr.sin_addr) != 1)
		return NULL;
	return MHD_start_daemon(MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_THREAD_PER_CONNECTION,
				address->port, NULL, NULL, on_request, store, MHD_OPTION_SOCK_ADDR,
				(struct sockaddr *)&listen_addr, MHD_OPTION_NOTIFY_COMPLETED,
				on_request_completed, NULL, MHD_OPTION_THREAD_STACK_SIZE,
				(size_t)THREAD_STACK_BYTES, MHD_OPTION_END);
}

static int options_parse(int argc, const char **argv, jh_address_t *address, jh_error_t *err)
{
	char *listen = NULL;
	struct poptOption option_table[] = { { "listen", 0, POPT_ARG_STRING, &listen, 0,
					       "address to listen on", "IP:PORT" },
					     POPT_AUTOHELP POPT_TABLEEND };
	poptContext context = poptGetContext("standin_rows", argc, argv, option_table, 0);
	int option_result = poptGetNextOpt(context);
	int result = -1;

	if (option_result < -1)
		jh_error_add_finding(err, poptBadOption(context, 0), "%s",
				     poptStrerror(option_result));
	else
		result =
			jh_address_parse(address, listen ? listen : "127.0.0.1:0", "--listen", err);
	poptFreeContext(context);
	free(listen);
	return result;
}

static void run_until_signal(store_t *store)
{
	sigset_t signals;
	int signal_number;

	sigemptyset(&signals);
	sigaddset(&signals, SIGTERM);
	sigaddset(&signals, SIGINT);
	sigwait(&signals, &signal_number);
	g_mutex_lock(&store->mutex);
	store->is_stopping = true;
	g_cond_broadcast(&store->changed);
	g_mutex_unlock(&store->mutex);
}

int main(int argc, const char **argv)
{
	static store_t store;
	jh_address_t address = { 0 };
	jh_error_t err = JH_ERROR_INIT;
	struct MHD_Daemon *daemon;
	sigset_t signals;

	sigemptyset(&signals);
	sigaddset(&signals, SIGTERM);
	sigaddset(&signals, SIGINT);
	pthread_sigmask(SIG_BLOCK, &signals, NULL);
	signal(SIGPIPE, SIG_IGN);
	if (options_parse(argc, argv, &address, &err) < 0) {
		char *text = jh_error_format(&err);

		fprintf(stderr, "standin_rows: %s\n", text);
		g_free(text);
		jh_error_clear(&err);
		return EXIT_BAD_SETTINGS;
	}
	store_init(&store);
	store.members = members_new(&store);
	daemon = daemon_start(&store, &address);
	if (!daemon) {
		fprintf(stderr, "standin_rows: can't listen on %s:%u\n", address.host,
			address.port);
		return EXIT_FAILURE;
	}
	printf("standin_rows listening port=%u\n",
	       MHD_get_daemon_info(daemon, MHD_DAEMON_INFO_BIND_PORT)->port);
	fflush(stdout);
	run_until_signal(&store);
	members_free(store.members);
	MHD_stop_daemon(daemon);
	store_clear(&store);
	g_free(address.host);
	return EXIT_SUCCESS;
}
