/* Stand-in of the platform: a transactional table service, an object store and the list of VMs.
 *
 * It serves the HTTP mapping that jh_platform.h describes and keeps everything in memory. Tests
 * steer its faults under /test/:
 *
 *   POST /test/outage?mode=up|refuse|reset|hang
 *        refuse: 503, nothing takes effect; reset: the connection ends without an answer, nothing
 *        takes effect; hang: no answer until the outage ends, then the request takes effect late
 *   POST /test/slow?ms=N      each answer waits N ms
 *   POST /test/lose?count=N   the next N writes take effect, but their answers are lost
 *   PUT  /test/vms            body: JSON array of {name, dc, host, port, state}
 *   POST /test/lag?ms=N       GET /vms shows the list as it was N ms ago
 *   GET  /test/counters       JSON object of what was served
 */

#include "jh_settings.h"

#include <arpa/inet.h>
#include <jansson.h>
#include <microhttpd.h>
#include <popt.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

#define BODY_MAX_BYTES (16u * 1024 * 1024)
#define THREAD_STACK_BYTES (256u * 1024)
#define VM_LISTS_KEPT 64u
#define EXIT_BAD_SETTINGS 2

typedef enum outage {
	OUTAGE_UP,
	OUTAGE_REFUSE,
	OUTAGE_RESET,
	OUTAGE_HANG,
} outage_t;

typedef struct row {
	uint64_t version;
	GBytes *body;
} row_t;

typedef struct vm_list {
	int64_t set_us;
	uint64_t version;
	GBytes *body;
} vm_list_t;

typedef struct counts {
	uint64_t reads;
	uint64_t writes;
	uint64_t unchanged;
	uint64_t conflicts;
	uint64_t refused;
	uint64_t lost;
} counts_t;

/* One thread serves each connection; "lock" guards all of this. */
typedef struct store {
	GMutex lock;
	GCond changed;
	GHashTable *rows;
	GTree *objects;
	GQueue vm_lists;
	uint64_t vm_version;
	int64_t lag_us;
	outage_t outage;
	bool stopping;
	int64_t slow_us;
	uint64_t lose;
	counts_t counts;
} store_t;

/* A request while its body arrives. */
typedef struct upload {
	GByteArray *body;
	bool too_long;
} upload_t;

/* What to send; status 0 ends the connection without an answer. */
typedef struct answer {
	unsigned status;
	uint64_t version;
	GBytes *body;
} answer_t;

typedef struct request {
	struct MHD_Connection *connection;
	const char *path;
	bool is_write;
	GBytes *body;
} request_t;

/* ---- helpers ---- */

static answer_t answer_status(unsigned status)
{
	return (answer_t){ .status = status };
}

static answer_t answer_text(unsigned status, const char *text)
{
	return (answer_t){ .status = status, .body = g_bytes_new(text, strlen(text)) };
}

static answer_t answer_json(json_t *json)
{
	char *text = json_dumps(json, JSON_COMPACT);
	answer_t answer = answer_text(MHD_HTTP_OK, text);

	free(text);
	json_decref(json);
	return answer;
}

static const char *request_argument(const request_t *request, const char *name)
{
	return MHD_lookup_connection_value(request->connection, MHD_GET_ARGUMENT_KIND, name);
}

static int64_t request_number(const request_t *request, const char *name)
{
	const char *text = request_argument(request, name);

	return text ? g_ascii_strtoll(text, NULL, 10) : 0;
}

/* Read a header of the form "version" with its quotes. */
static bool request_version(const request_t *request, const char *header, uint64_t *version)
{
	const char *text =
		MHD_lookup_connection_value(request->connection, MHD_HEADER_KIND, header);
	char *end = NULL;

	if (!text || text[0] != '"')
		return false;
	*version = g_ascii_strtoull(text + 1, &end, 10);
	return end != text + 1 && *end == '"';
}

static void row_free(gpointer data)
{
	row_t *row = data;

	g_bytes_unref(row->body);
	g_free(row);
}

static void vm_list_free(gpointer data)
{
	vm_list_t *list = data;

	g_bytes_unref(list->body);
	g_free(list);
}

static gint compare_names(gconstpointer a, gconstpointer b, gpointer data)
{
	(void)data;
	return strcmp(a, b);
}

/* ---- tables ---- */

static answer_t table_get(store_t *store, const request_t *request)
{
	const row_t *row = g_hash_table_lookup(store->rows, request->path);
	uint64_t known;

	store->counts.reads++;
	if (!row)
		return answer_status(MHD_HTTP_NOT_FOUND);
	if (request_version(request, MHD_HTTP_HEADER_IF_NONE_MATCH, &known) &&
	    known == row->version) {
		store->counts.unchanged++;
		return (answer_t){ .status = MHD_HTTP_NOT_MODIFIED, .version = row->version };
	}
	return (answer_t){ .status = MHD_HTTP_OK,
			   .version = row->version,
			   .body = g_bytes_ref(row->body) };
}

static answer_t table_put(store_t *store, const request_t *request)
{
	row_t *row = g_hash_table_lookup(store->rows, request->path);
	uint64_t base;

	store->counts.writes++;
	if (!request_version(request, MHD_HTTP_HEADER_IF_MATCH, &base))
		return answer_text(MHD_HTTP_PRECONDITION_REQUIRED, "If-Match is needed\n");
	if (base != (row ? row->version : 0)) {
		store->counts.conflicts++;
		return (answer_t){ .status = MHD_HTTP_PRECONDITION_FAILED,
				   .version = row ? row->version : 0 };
	}
	if (!row) {
		row = g_new0(row_t, 1);
		g_hash_table_insert(store->rows, g_strdup(request->path), row);
	} else {
		g_bytes_unref(row->body);
	}
	row->version++;
	row->body = g_bytes_ref(request->body);
	return (answer_t){ .status = MHD_HTTP_OK, .version = row->version };
}

/* ---- objects ---- */

static answer_t object_get(store_t *store, const request_t *request)
{
	GBytes *body = g_tree_lookup(store->objects, request->path + strlen("/objects/"));

	store->counts.reads++;
	if (!body)
		return answer_status(MHD_HTTP_NOT_FOUND);
	return (answer_t){ .status = MHD_HTTP_OK, .body = g_bytes_ref(body) };
}

static answer_t object_put(store_t *store, const request_t *request)
{
	const char *name = request->path + strlen("/objects/");

	store->counts.writes++;
	if (g_tree_lookup(store->objects, name)) {
		store->counts.conflicts++;
		return answer_status(MHD_HTTP_CONFLICT);
	}
	g_tree_insert(store->objects, g_strdup(name), g_bytes_ref(request->body));
	return answer_status(MHD_HTTP_CREATED);
}

typedef struct listing {
	const char *prefix;
	json_t *names;
} listing_t;

static gboolean object_list_visit(gpointer key, gpointer value, gpointer data)
{
	listing_t *listing = data;

	(void)value;
	if (g_str_has_prefix(key, listing->prefix))
		json_array_append_new(listing->names, json_string(key));
	return FALSE;
}

static answer_t object_list(store_t *store, const request_t *request)
{
	const char *prefix = request_argument(request, "prefix");
	listing_t listing = { .prefix = prefix ? prefix : "", .names = json_array() };

	store->counts.reads++;
	g_tree_foreach(store->objects, object_list_visit, &listing);
	return answer_json(listing.names);
}

/* ---- list of VMs ---- */

/* The list as it was when the lag began; the oldest one while none is that old. */
static const vm_list_t *vm_list_shown(const store_t *store)
{
	int64_t until_us = g_get_monotonic_time() - store->lag_us;
	const GList *link;

	for (link = store->vm_lists.tail; link; link = link->prev) {
		const vm_list_t *list = link->data;

		if (list->set_us <= until_us || !link->prev)
			return list;
	}
	return NULL;
}

static answer_t vms_get(store_t *store, const request_t *request)
{
	const vm_list_t *list = vm_list_shown(store);
	uint64_t known;

	store->counts.reads++;
	if (!list)
		return answer_text(MHD_HTTP_OK, "[]");
	if (request_version(request, MHD_HTTP_HEADER_IF_NONE_MATCH, &known) &&
	    known == list->version) {
		store->counts.unchanged++;
		return (answer_t){ .status = MHD_HTTP_NOT_MODIFIED, .version = list->version };
	}
	return (answer_t){ .status = MHD_HTTP_OK,
			   .version = list->version,
			   .body = g_bytes_ref(list->body) };
}

static answer_t test_vms(store_t *store, const request_t *request)
{
	json_t *json = json_loadb(g_bytes_get_data(request->body, NULL),
				  g_bytes_get_size(request->body), 0, NULL);
	vm_list_t *list;

	if (!json_is_array(json)) {
		json_decref(json);
		return answer_text(MHD_HTTP_BAD_REQUEST, "the body must be a JSON array\n");
	}
	json_decref(json);
	list = g_new0(vm_list_t, 1);
	list->set_us = g_get_monotonic_time();
	list->version = ++store->vm_version;
	list->body = g_bytes_ref(request->body);
	g_queue_push_tail(&store->vm_lists, list);
	if (store->vm_lists.length > VM_LISTS_KEPT)
		vm_list_free(g_queue_pop_head(&store->vm_lists));
	return answer_status(MHD_HTTP_OK);
}

/* ---- faults, steered by tests ---- */

static answer_t test_outage(store_t *store, const request_t *request)
{
	static const char *const names[] = { "up", "refuse", "reset", "hang", NULL };
	const char *mode = request_argument(request, "mode");
	unsigned i;

	for (i = 0; names[i]; i++) {
		if (g_strcmp0(mode, names[i]) == 0) {
			store->outage = i;
			g_cond_broadcast(&store->changed);
			return answer_status(MHD_HTTP_OK);
		}
	}
	return answer_text(MHD_HTTP_BAD_REQUEST, "mode must be up, refuse, reset or hang\n");
}

static answer_t test_counters(const store_t *store)
{
	const counts_t *counts = &store->counts;

	return answer_json(
		json_pack("{s:I,s:I,s:I,s:I,s:I,s:I}", "reads", (json_int_t)counts->reads, "writes",
			  (json_int_t)counts->writes, "unchanged", (json_int_t)counts->unchanged,
			  "conflicts", (json_int_t)counts->conflicts, "refused",
			  (json_int_t)counts->refused, "lost", (json_int_t)counts->lost));
}

static answer_t test_control(store_t *store, const request_t *request)
{
	const char *topic = request->path + strlen("/test/");

	if (g_str_equal(topic, "counters"))
		return test_counters(store);
	if (g_str_equal(topic, "vms"))
		return test_vms(store, request);
	if (g_str_equal(topic, "outage"))
		return test_outage(store, request);
	if (g_str_equal(topic, "slow"))
		store->slow_us = request_number(request, "ms") * 1000;
	else if (g_str_equal(topic, "lose"))
		store->lose = (uint64_t)request_number(request, "count");
	else if (g_str_equal(topic, "lag"))
		store->lag_us = request_number(request, "ms") * 1000;
	else
		return answer_status(MHD_HTTP_NOT_FOUND);
	return answer_status(MHD_HTTP_OK);
}

/* ---- serving ---- */

static answer_t store_run(store_t *store, const request_t *request)
{
	const char *path = request->path;

	if (g_str_has_prefix(path, "/tables/"))
		return request->is_write ? table_put(store, request) : table_get(store, request);
	if (g_str_has_prefix(path, "/objects/"))
		return request->is_write ? object_put(store, request) : object_get(store, request);
	if (g_str_equal(path, "/objects") && !request->is_write)
		return object_list(store, request);
	if (g_str_equal(path, "/vms") && !request->is_write)
		return vms_get(store, request);
	return answer_status(MHD_HTTP_NOT_FOUND);
}

/* Wait for a hang to end and for the set slowness. Called with the lock held. */
static void store_delay(store_t *store)
{
	int64_t until_us = g_get_monotonic_time() + store->slow_us;

	while (store->outage == OUTAGE_HANG && !store->stopping)
		g_cond_wait(&store->changed, &store->lock);
	while (!store->stopping && g_cond_wait_until(&store->changed, &store->lock, until_us))
		continue;
}

static answer_t store_serve(store_t *store, const request_t *request)
{
	answer_t answer;

	if (g_str_has_prefix(request->path, "/test/"))
		return test_control(store, request);
	store_delay(store);
	if (store->outage == OUTAGE_REFUSE || store->outage == OUTAGE_RESET || store->stopping) {
		store->counts.refused++;
		return answer_status(store->outage == OUTAGE_REFUSE ? MHD_HTTP_SERVICE_UNAVAILABLE :
								      0);
	}
	answer = store_run(store, request);
	if (request->is_write && store->lose > 0) {
		store->lose--;
		store->counts.lost++;
		answer.status = 0;
	}
	return answer;
}

static enum MHD_Result answer_send(struct MHD_Connection *connection, answer_t *answer)
{
	struct MHD_Response *response;
	enum MHD_Result result;
	size_t size = 0;
	const void *data = answer->body ? g_bytes_get_data(answer->body, &size) : "";
	char etag[32];

	if (answer->status == 0) {
		g_bytes_unref(answer->body);
		return MHD_NO;
	}
	response = MHD_create_response_from_buffer(size, (void *)data, MHD_RESPMEM_MUST_COPY);
	if (answer->version > 0) {
		g_snprintf(etag, sizeof(etag), "\"%" G_GUINT64_FORMAT "\"", answer->version);
		MHD_add_response_header(response, MHD_HTTP_HEADER_ETAG, etag);
	}
	result = MHD_queue_response(connection, answer->status, response);
	MHD_destroy_response(response);
	g_bytes_unref(answer->body);
	return result;
}

static enum MHD_Result on_request(void *data, struct MHD_Connection *connection, const char *path,
				  const char *method, const char *version, const char *upload_data,
				  size_t *upload_size, void **context)
{
	store_t *store = data;
	upload_t *upload = *context;
	request_t request = { .connection = connection, .path = path };
	answer_t answer;

	(void)version;
	if (!upload) {
		upload = g_new0(upload_t, 1);
		upload->body = g_byte_array_new();
		*context = upload;
		return MHD_YES;
	}
	if (*upload_size > 0) {
		upload->too_long |= upload->body->len + *upload_size > BODY_MAX_BYTES;
		if (!upload->too_long)
			g_byte_array_append(upload->body, (const guint8 *)upload_data,
					    (guint)*upload_size);
		*upload_size = 0;
		return MHD_YES;
	}
	if (upload->too_long) {
		answer = answer_status(MHD_HTTP_CONTENT_TOO_LARGE);
		return answer_send(connection, &answer);
	}
	request.is_write = !g_str_equal(method, "GET");
	request.body = g_bytes_new(upload->body->data, upload->body->len);
	g_mutex_lock(&store->lock);
	answer = store_serve(store, &request);
	g_mutex_unlock(&store->lock);
	g_bytes_unref(request.body);
	return answer_send(connection, &answer);
}

static void on_completed(void *data, struct MHD_Connection *connection, void **context,
			 enum MHD_RequestTerminationCode code)
{
	upload_t *upload = *context;

	(void)data;
	(void)connection;
	(void)code;
	if (!upload)
		return;
	g_byte_array_free(upload->body, TRUE);
	g_free(upload);
	*context = NULL;
}

/* ---- program ---- */

static void store_init(store_t *store)
{
	g_mutex_init(&store->lock);
	g_cond_init(&store->changed);
	store->rows = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, row_free);
	store->objects =
		g_tree_new_full(compare_names, NULL, g_free, (GDestroyNotify)g_bytes_unref);
	g_queue_init(&store->vm_lists);
}

static void store_stop(store_t *store)
{
	g_mutex_lock(&store->lock);
	store->stopping = true;
	g_cond_broadcast(&store->changed);
	g_mutex_unlock(&store->lock);
}

static void store_clear(store_t *store)
{
	g_hash_table_destroy(store->rows);
	g_tree_destroy(store->objects);
	g_queue_clear_full(&store->vm_lists, vm_list_free);
	g_mutex_clear(&store->lock);
	g_cond_clear(&store->changed);
}

static struct MHD_Daemon *daemon_start(store_t *store, const jh_address_t *address)
{
	struct sockaddr_in place = { .sin_family = AF_INET, .sin_port = htons(address->port) };

	if (inet_pton(AF_INET, address->host, &place.sin_addr) != 1)
		return NULL;
	return MHD_start_daemon(
		MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_THREAD_PER_CONNECTION, address->port,
		NULL, NULL, on_request, store, MHD_OPTION_SOCK_ADDR, (struct sockaddr *)&place,
		MHD_OPTION_NOTIFY_COMPLETED, on_completed, NULL, MHD_OPTION_THREAD_STACK_SIZE,
		(size_t)THREAD_STACK_BYTES, MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U, MHD_OPTION_END);
}

static void wait_for_end(void)
{
	sigset_t signals;
	int number;

	sigemptyset(&signals);
	sigaddset(&signals, SIGTERM);
	sigaddset(&signals, SIGINT);
	sigwait(&signals, &number);
}

static void block_signals(void)
{
	sigset_t signals;

	sigemptyset(&signals);
	sigaddset(&signals, SIGTERM);
	sigaddset(&signals, SIGINT);
	pthread_sigmask(SIG_BLOCK, &signals, NULL);
	signal(SIGPIPE, SIG_IGN);
}

static int settings_read(int argc, const char **argv, jh_address_t *address, jh_error_t *err)
{
	char *listen = NULL;
	struct poptOption options[] = { { "listen", 0, POPT_ARG_STRING, &listen, 0,
					  "address to serve", "IP:PORT" },
					POPT_AUTOHELP POPT_TABLEEND };
	poptContext context = poptGetContext("standin_platform", argc, argv, options, 0);
	int code = poptGetNextOpt(context);
	int result = -1;

	if (code < -1)
		jh_error_add_finding(err, poptBadOption(context, 0), "%s", poptStrerror(code));
	else
		result =
			jh_address_parse(address, listen ? listen : "127.0.0.1:0", "--listen", err);
	poptFreeContext(context);
	free(listen);
	return result;
}

int main(int argc, const char **argv)
{
	static store_t store;
	jh_address_t address = { 0 };
	jh_error_t err = JH_ERROR_INIT;
	struct MHD_Daemon *daemon;

	block_signals();
	if (settings_read(argc, argv, &address, &err) < 0) {
		char *text = jh_error_format(&err);

		fprintf(stderr, "standin_platform: %s\n", text);
		g_free(text);
		jh_error_clear(&err);
		return EXIT_BAD_SETTINGS;
	}
	store_init(&store);
	daemon = daemon_start(&store, &address);
	if (!daemon) {
		fprintf(stderr, "standin_platform: can't listen on %s:%u\n", address.host,
			address.port);
		return EXIT_FAILURE;
	}
	printf("standin_platform listening port=%u\n",
	       MHD_get_daemon_info(daemon, MHD_DAEMON_INFO_BIND_PORT)->port);
	fflush(stdout);
	wait_for_end();
	store_stop(&store);
	MHD_stop_daemon(daemon);
	store_clear(&store);
	g_free(address.host);
	return EXIT_SUCCESS;
}
