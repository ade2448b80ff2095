/*
 * Stand-in for the platform: a transactional table service, an object store and the list of VMs.
 *
 * It serves the HTTP interface that jh_platform.h describes and keeps everything in memory. Tests
 * inject faults with requests under /test/, which the faults themselves don't affect:
 *
 *   POST /test/outage?mode=up|refuse|reset|hang
 *        up: normal service. refuse: status 503, nothing takes effect. reset: the connection is
 *        closed without a response, nothing takes effect. hang: no response until the outage ends;
 *        then the request takes effect, late.
 *   POST /test/slow?ms=N      delays each response by N milliseconds
 *   POST /test/lose?count=N   the next N writes take effect, but their connections are closed
 *                             without a response
 *   PUT  /test/vms            sets the list of VMs: a JSON array of {name, dc, host, port, state}
 *   POST /test/lag?ms=N       GET /vms returns the list as it was N milliseconds ago
 *   POST /test/copy           keeps a copy of all rows
 *   POST /test/restore        replaces all rows by the copy, and raises the era by one
 *   POST /test/era?text=T     sends T as the header Store-Era until the next restoration
 *   GET  /test/counters       returns the request counters as a JSON object
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

/* Number of versions of the list of VMs that are kept; the oldest is dropped first. */
#define VM_LIST_HISTORY_MAX 64u

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

/* One version of the list of VMs; old versions are kept for /test/lag. */
typedef struct vm_list {
	int64_t published_us;
	uint64_t version;
	GBytes *body;
} vm_list_t;

typedef struct counters {
	uint64_t reads;
	uint64_t writes;
	uint64_t unchanged;
	uint64_t conflicts;
	uint64_t refused;
	uint64_t lost_responses;
} counters_t;

/* Each connection has its own thread; "mutex" guards every other field. */
typedef struct store {
	GMutex mutex;
	GCond state_changed;
	GHashTable *rows;
	/* Rows as of the last /test/copy. */
	GHashTable *copied_rows;
	/* Text of the header Store-Era; NULL if the header is not sent. */
	char *era;
	GTree *objects;
	GQueue vm_lists;
	uint64_t last_vm_list_version;
	int64_t vm_list_lag_us;
	outage_t outage;
	bool is_stopping;
	int64_t response_delay_us;
	uint64_t responses_to_lose;
	counters_t counters;
} store_t;

/* The body of a request that is still being received. */
typedef struct upload {
	GByteArray *body;
	bool is_too_large;
} upload_t;

/* What to send; with status 0 the connection is closed without a response. */
typedef struct response {
	unsigned status;
	uint64_t version;
	GBytes *body;
	char *era;
} response_t;

/* A request whose body has arrived. */
typedef struct request {
	struct MHD_Connection *connection;
	const char *path;
	bool is_write;
	GBytes *body;
} request_t;

/* ---- requests and responses ---- */

static response_t response_with_status(unsigned status)
{
	return (response_t){ .status = status };
}

static response_t response_with_text(unsigned status, const char *text)
{
	return (response_t){ .status = status, .body = g_bytes_new(text, strlen(text)) };
}

static response_t response_with_json(json_t *json)
{
	char *text = json_dumps(json, JSON_COMPACT);
	response_t response = response_with_text(MHD_HTTP_OK, text);

	free(text);
	json_decref(json);
	return response;
}

static const char *request_get_argument(const request_t *request, const char *name)
{
	return MHD_lookup_connection_value(request->connection, MHD_GET_ARGUMENT_KIND, name);
}

/* Return: the argument, 0 if it is missing or not a number */
static int64_t request_get_integer(const request_t *request, const char *name)
{
	const char *text = request_get_argument(request, name);

	return text ? g_ascii_strtoll(text, NULL, 10) : 0;
}

/*
 * Parses a header whose value is a version in double quotes (an ETag). Return: false if the header
 * is missing or malformed
 */
static bool request_parse_version(const request_t *request, const char *header, uint64_t *version)
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

static response_t table_get(store_t *store, const request_t *request)
{
	const row_t *row = g_hash_table_lookup(store->rows, request->path);
	uint64_t cached_version;

	store->counters.reads++;
	if (!row)
		return response_with_status(MHD_HTTP_NOT_FOUND);
	if (request_parse_version(request, MHD_HTTP_HEADER_IF_NONE_MATCH, &cached_version) &&
	    cached_version == row->version) {
		store->counters.unchanged++;
		return (response_t){ .status = MHD_HTTP_NOT_MODIFIED, .version = row->version };
	}
	return (response_t){ .status = MHD_HTTP_OK,
			     .version = row->version,
			     .body = g_bytes_ref(row->body) };
}

static response_t table_put(store_t *store, const request_t *request)
{
	row_t *row = g_hash_table_lookup(store->rows, request->path);
	uint64_t expected_version;

	store->counters.writes++;
	if (!request_parse_version(request, MHD_HTTP_HEADER_IF_MATCH, &expected_version))
		return response_with_text(MHD_HTTP_PRECONDITION_REQUIRED, "If-Match is needed\n");
	if (expected_version != (row ? row->version : 0)) {
		store->counters.conflicts++;
		return (response_t){ .status = MHD_HTTP_PRECONDITION_FAILED,
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
	return (response_t){ .status = MHD_HTTP_OK, .version = row->version };
}

/* ---- objects ---- */

static response_t object_get(store_t *store, const request_t *request)
{
	GBytes *body = g_tree_lookup(store->objects, request->path + strlen("/objects/"));

	store->counters.reads++;
	if (!body)
		return response_with_status(MHD_HTTP_NOT_FOUND);
	return (response_t){ .status = MHD_HTTP_OK, .body = g_bytes_ref(body) };
}

static response_t object_put(store_t *store, const request_t *request)
{
	const char *name = request->path + strlen("/objects/");

	store->counters.writes++;
	if (g_tree_lookup(store->objects, name)) {
		store->counters.conflicts++;
		return response_with_status(MHD_HTTP_CONFLICT);
	}
	g_tree_insert(store->objects, g_strdup(name), g_bytes_ref(request->body));
	return response_with_status(MHD_HTTP_CREATED);
}

typedef struct name_list {
	const char *prefix;
	json_t *names;
} name_list_t;

static gboolean name_list_add(gpointer key, gpointer value, gpointer data)
{
	name_list_t *name_list = data;

	(void)value;
	if (g_str_has_prefix(key, name_list->prefix))
		json_array_append_new(name_list->names, json_string(key));
	return FALSE;
}

static response_t object_list(store_t *store, const request_t *request)
{
	const char *prefix = request_get_argument(request, "prefix");
	name_list_t name_list = { .prefix = prefix ? prefix : "", .names = json_array() };

	store->counters.reads++;
	g_tree_foreach(store->objects, name_list_add, &name_list);
	return response_with_json(name_list.names);
}

/* ---- list of VMs ---- */

/*
 * Return: the list as it was vm_list_lag_us ago, the oldest one kept if none is that old, NULL if
 * none was set
 */
static const vm_list_t *vm_list_find_lagged(const store_t *store)
{
	int64_t cutoff_us = g_get_monotonic_time() - store->vm_list_lag_us;
	const GList *node;

	for (node = store->vm_lists.tail; node; node = node->prev) {
		const vm_list_t *list = node->data;

		if (list->published_us <= cutoff_us || !node->prev)
			return list;
	}
	return NULL;
}

static response_t vms_get(store_t *store, const request_t *request)
{
	const vm_list_t *list = vm_list_find_lagged(store);
	uint64_t cached_version;

	store->counters.reads++;
	if (!list)
		return response_with_text(MHD_HTTP_OK, "[]");
	if (request_parse_version(request, MHD_HTTP_HEADER_IF_NONE_MATCH, &cached_version) &&
	    cached_version == list->version) {
		store->counters.unchanged++;
		return (response_t){ .status = MHD_HTTP_NOT_MODIFIED, .version = list->version };
	}
	return (response_t){ .status = MHD_HTTP_OK,
			     .version = list->version,
			     .body = g_bytes_ref(list->body) };
}

static response_t test_set_vms(store_t *store, const request_t *request)
{
	json_t *json = json_loadb(g_bytes_get_data(request->body, NULL),
				  g_bytes_get_size(request->body), 0, NULL);
	vm_list_t *list;

	if (!json_is_array(json)) {
		json_decref(json);
		return response_with_text(MHD_HTTP_BAD_REQUEST, "the body must be a JSON array\n");
	}
	json_decref(json);
	list = g_new0(vm_list_t, 1);
	list->published_us = g_get_monotonic_time();
	list->version = ++store->last_vm_list_version;
	list->body = g_bytes_ref(request->body);
	g_queue_push_tail(&store->vm_lists, list);
	if (store->vm_lists.length > VM_LIST_HISTORY_MAX)
		vm_list_free(g_queue_pop_head(&store->vm_lists));
	return response_with_status(MHD_HTTP_OK);
}

/* ---- copy and restoration ---- */

static GHashTable *rows_new(void)
{
	return g_hash_table_new_full(g_str_hash, g_str_equal, g_free, row_free);
}

static GHashTable *rows_copy(GHashTable *rows)
{
	GHashTable *copy = rows_new();
	GHashTableIter iter;
	void *path;
	void *value;

	g_hash_table_iter_init(&iter, rows);
	while (g_hash_table_iter_next(&iter, &path, &value)) {
		const row_t *row = value;
		row_t *row_copy = g_new0(row_t, 1);

		row_copy->version = row->version;
		row_copy->body = g_bytes_ref(row->body);
		g_hash_table_insert(copy, g_strdup(path), row_copy);
	}
	return copy;
}

static void test_copy(store_t *store)
{
	g_clear_pointer(&store->copied_rows, g_hash_table_destroy);
	store->copied_rows = rows_copy(store->rows);
}

static void test_restore(store_t *store)
{
	uint64_t era = store->era ? g_ascii_strtoull(store->era, NULL, 10) : 0;

	g_hash_table_destroy(store->rows);
	store->rows = store->copied_rows ? rows_copy(store->copied_rows) : rows_new();
	g_free(store->era);
	store->era = g_strdup_printf("%" G_GUINT64_FORMAT, era + 1);
}

/* ---- fault injection ---- */

static response_t test_set_outage(store_t *store, const request_t *request)
{
	static const char *const names[] = { "up", "refuse", "reset", "hang", NULL };
	const char *mode = request_get_argument(request, "mode");
	unsigned i;

	for (i = 0; names[i]; i++) {
		if (g_strcmp0(mode, names[i]) == 0) {
			store->outage = i;
			g_cond_broadcast(&store->state_changed);
			return response_with_status(MHD_HTTP_OK);
		}
	}
	return response_with_text(MHD_HTTP_BAD_REQUEST, "mode must be up, refuse, reset or hang\n");
}

static response_t test_get_counters(const store_t *store)
{
	const counters_t *counters = &store->counters;

	return response_with_json(json_pack(
		"{s:I,s:I,s:I,s:I,s:I,s:I}", "reads", (json_int_t)counters->reads, "writes",
		(json_int_t)counters->writes, "unchanged", (json_int_t)counters->unchanged,
		"conflicts", (json_int_t)counters->conflicts, "refused",
		(json_int_t)counters->refused, "lost", (json_int_t)counters->lost_responses));
}

static response_t test_dispatch(store_t *store, const request_t *request)
{
	const char *control_name = request->path + strlen("/test/");

	if (g_str_equal(control_name, "counters"))
		return test_get_counters(store);
	if (g_str_equal(control_name, "vms"))
		return test_set_vms(store, request);
	if (g_str_equal(control_name, "outage"))
		return test_set_outage(store, request);
	if (g_str_equal(control_name, "copy")) {
		test_copy(store);
	} else if (g_str_equal(control_name, "restore")) {
		test_restore(store);
	} else if (g_str_equal(control_name, "era")) {
		g_free(store->era);
		store->era = g_strdup(request_get_argument(request, "text"));
	} else if (g_str_equal(control_name, "slow")) {
		store->response_delay_us = request_get_integer(request, "ms") * 1000;
	} else if (g_str_equal(control_name, "lose")) {
		store->responses_to_lose = (uint64_t)request_get_integer(request, "count");
	} else if (g_str_equal(control_name, "lag")) {
		store->vm_list_lag_us = request_get_integer(request, "ms") * 1000;
	} else {
		return response_with_status(MHD_HTTP_NOT_FOUND);
	}
	return response_with_status(MHD_HTTP_OK);
}

/* ---- HTTP server ---- */

static response_t store_dispatch(store_t *store, const request_t *request)
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
	return response_with_status(MHD_HTTP_NOT_FOUND);
}

/* Waits until a hang has ended and the response delay has passed. The caller holds the mutex. */
static void store_wait_for_faults(store_t *store)
{
	int64_t send_at_us = g_get_monotonic_time() + store->response_delay_us;

	while (store->outage == OUTAGE_HANG && !store->is_stopping)
		g_cond_wait(&store->state_changed, &store->mutex);
	while (!store->is_stopping &&
	       g_cond_wait_until(&store->state_changed, &store->mutex, send_at_us))
		continue;
}

/* Serves a request with the faults that tests have set. The caller holds the mutex. */
static response_t store_handle_request(store_t *store, const request_t *request)
{
	response_t response;

	if (g_str_has_prefix(request->path, "/test/"))
		return test_dispatch(store, request);
	store_wait_for_faults(store);
	if (store->outage == OUTAGE_REFUSE || store->outage == OUTAGE_RESET || store->is_stopping) {
		store->counters.refused++;
		return response_with_status(
			store->outage == OUTAGE_REFUSE ? MHD_HTTP_SERVICE_UNAVAILABLE : 0);
	}
	response = store_dispatch(store, request);
	if (request->is_write && store->responses_to_lose > 0) {
		store->responses_to_lose--;
		store->counters.lost_responses++;
		response.status = 0;
	}
	return response;
}

/* Sends the response and releases its body. */
static enum MHD_Result response_send(struct MHD_Connection *connection, response_t *response)
{
	struct MHD_Response *mhd_response;
	enum MHD_Result result;
	size_t size = 0;
	const void *data = response->body ? g_bytes_get_data(response->body, &size) : "";
	char etag[32];

	if (response->status == 0) {
		g_free(response->era);
		g_bytes_unref(response->body);
		return MHD_NO;
	}
	mhd_response = MHD_create_response_from_buffer(size, (void *)data, MHD_RESPMEM_MUST_COPY);
	if (response->version > 0) {
		g_snprintf(etag, sizeof(etag), "\"%" G_GUINT64_FORMAT "\"", response->version);
		MHD_add_response_header(mhd_response, MHD_HTTP_HEADER_ETAG, etag);
	}
	if (response->era)
		MHD_add_response_header(mhd_response, "Store-Era", response->era);
	g_free(response->era);
	result = MHD_queue_response(connection, response->status, mhd_response);
	MHD_destroy_response(mhd_response);
	g_bytes_unref(response->body);
	return result;
}

static enum MHD_Result on_request(void *data, struct MHD_Connection *connection, const char *path,
				  const char *method, const char *version, const char *upload_data,
				  size_t *upload_size, void **context)
{
	store_t *store = data;
	upload_t *upload = *context;
	request_t request = { .connection = connection, .path = path };
	response_t response;

	(void)version;
	if (!upload) {
		upload = g_new0(upload_t, 1);
		upload->body = g_byte_array_new();
		*context = upload;
		return MHD_YES;
	}
	if (*upload_size > 0) {
		upload->is_too_large |= upload->body->len + *upload_size > BODY_MAX_BYTES;
		if (!upload->is_too_large)
			g_byte_array_append(upload->body, (const guint8 *)upload_data,
					    (guint)*upload_size);
		*upload_size = 0;
		return MHD_YES;
	}
	if (upload->is_too_large) {
		response = response_with_status(MHD_HTTP_CONTENT_TOO_LARGE);
		return response_send(connection, &response);
	}
	request.is_write = !g_str_equal(method, "GET");
	request.body = g_bytes_new(upload->body->data, upload->body->len);
	g_mutex_lock(&store->mutex);
	response = store_handle_request(store, &request);
	response.era = g_strdup(store->era);
	g_mutex_unlock(&store->mutex);
	g_bytes_unref(request.body);
	return response_send(connection, &response);
}

static void on_request_completed(void *data, struct MHD_Connection *connection, void **context,
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
	g_mutex_init(&store->mutex);
	g_cond_init(&store->state_changed);
	store->rows = rows_new();
	store->objects =
		g_tree_new_full(compare_names, NULL, g_free, (GDestroyNotify)g_bytes_unref);
	g_queue_init(&store->vm_lists);
}

static void store_stop(store_t *store)
{
	g_mutex_lock(&store->mutex);
	store->is_stopping = true;
	g_cond_broadcast(&store->state_changed);
	g_mutex_unlock(&store->mutex);
}

static void store_clear(store_t *store)
{
	g_hash_table_destroy(store->rows);
	g_tree_destroy(store->objects);
	g_queue_clear_full(&store->vm_lists, vm_list_free);
	g_mutex_clear(&store->mutex);
	g_cond_clear(&store->state_changed);
}

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
				(size_t)THREAD_STACK_BYTES, MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U,
				MHD_OPTION_END);
}

static void wait_for_termination_signal(void)
{
	sigset_t signals;
	int signal_number;

	sigemptyset(&signals);
	sigaddset(&signals, SIGTERM);
	sigaddset(&signals, SIGINT);
	sigwait(&signals, &signal_number);
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

static int options_parse(int argc, const char **argv, jh_address_t *address, jh_error_t *err)
{
	char *listen = NULL;
	struct poptOption option_table[] = { { "listen", 0, POPT_ARG_STRING, &listen, 0,
					       "address to listen on", "IP:PORT" },
					     POPT_AUTOHELP POPT_TABLEEND };
	poptContext context = poptGetContext("standin_platform", argc, argv, option_table, 0);
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

int main(int argc, const char **argv)
{
	static store_t store;
	jh_address_t address = { 0 };
	jh_error_t err = JH_ERROR_INIT;
	struct MHD_Daemon *daemon;

	block_signals();
	if (options_parse(argc, argv, &address, &err) < 0) {
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
	wait_for_termination_signal();
	store_stop(&store);
	MHD_stop_daemon(daemon);
	store_clear(&store);
	g_free(address.host);
	return EXIT_SUCCESS;
}
