/*
 * Stand-in for the store of the users' platform: tables of rows with transactions and feeds, as the
 * profile "fleet" uses them. It keeps everything in memory. Tests write rows and inject faults with
 * requests under /test/:
 *
 *   PUT  /test/row?table=T&key=K   writes the body to a row, as the operator or a member would
 *   POST /test/drop?table=T&key=K  drops a row
 *   POST /test/compact             drops the history: a feed that would need it gets status 410
 *   POST /test/forget              as compact, and the feeds that wait never get a response
 *   POST /test/silent?on=1|0       no call gets a response while it is on, nor later
 */

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
#define FEED_WAIT_MAX_MS 30000u

#define EXIT_BAD_SETTINGS 2

typedef struct row {
	char *table;
	char *key;
	uint64_t version;
	/* Base64; NULL if the row was dropped. */
	char *value;
} row_t;

typedef struct store {
	GMutex mutex;
	GCond changed;
	/* "TABLE KEY" to row_t *. */
	GHashTable *rows;
	/* Newest version. */
	uint64_t version;
	/* Changes up to this version are gone from the history. */
	uint64_t dropped_version;
	/* Number of times that the waiting feeds were forgotten. */
	unsigned forgotten_count;
	bool is_silent;
	bool is_stopping;
} store_t;

typedef struct request {
	store_t *store;
	struct MHD_Connection *connection;
	GByteArray *body;
} request_t;

/* Status of a response, or 0 to close the connection without one; @body is owned. */
typedef struct response {
	unsigned status;
	char *body;
} response_t;

static void row_free(void *data)
{
	row_t *row = data;

	g_free(row->table);
	g_free(row->key);
	g_free(row->value);
	g_free(row);
}

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

/* ---- rows ---- */

static row_t *row_find(const store_t *store, const char *table, const char *key)
{
	char *name = g_strconcat(table, " ", key, NULL);
	row_t *row = g_hash_table_lookup(store->rows, name);

	g_free(name);
	return row;
}

/* Takes ownership of @value; the version must have been raised. */
static void row_write(store_t *store, const char *table, const char *key, char *value)
{
	row_t *row = row_find(store, table, key);

	if (!row) {
		row = g_new0(row_t, 1);
		row->table = g_strdup(table);
		row->key = g_strdup(key);
		g_hash_table_insert(store->rows, g_strconcat(table, " ", key, NULL), row);
	}
	g_free(row->value);
	row->value = value;
	row->version = store->version;
}

static json_t *row_to_json(const row_t *row)
{
	json_t *object = json_pack("{s:s, s:s, s:s, s:I}", "table", row->table, "part", "", "key",
				   row->key, "ver", (json_int_t)row->version);

	if (row->value)
		json_object_set_new(object, "value", json_string(row->value));
	else
		json_object_set_new(object, "deleted", json_true());
	return object;
}

static int rows_compare_keys(const void *a, const void *b)
{
	return strcmp((*(row_t *const *)a)->key, (*(row_t *const *)b)->key);
}

static int rows_compare_versions(const void *a, const void *b)
{
	uint64_t left = (*(row_t *const *)a)->version;
	uint64_t right = (*(row_t *const *)b)->version;

	return left < right ? -1 : left > right;
}

/* Return: new array of the table's rows with a later version, dropped ones if @with_dropped */
static GPtrArray *rows_find(const store_t *store, const char *table, uint64_t after,
			    bool with_dropped)
{
	GPtrArray *found = g_ptr_array_new();
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, store->rows);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		row_t *row = value;

		if (g_str_equal(row->table, table) && row->version > after &&
		    (row->value || with_dropped))
			g_ptr_array_add(found, row);
	}
	return found;
}

/* Consumes @rows. */
static response_t response_with_rows(const store_t *store, GPtrArray *rows)
{
	json_t *list = json_array();
	json_t *object =
		json_pack("{s:o, s:I, s:I, s:b}", "rows", list, "ver", (json_int_t)store->version,
			  "nowMs", (json_int_t)(g_get_monotonic_time() / 1000), "hasMore", 0);
	response_t response = { .status = MHD_HTTP_OK };
	unsigned i;

	for (i = 0; i < rows->len; i++)
		json_array_append_new(list, row_to_json(g_ptr_array_index(rows, i)));
	response.body = json_dumps(object, JSON_COMPACT);
	json_decref(object);
	g_ptr_array_free(rows, TRUE);
	return response;
}

/* ---- calls ---- */

static response_t handle_get(const request_t *request)
{
	GPtrArray *rows = rows_find(request->store, get_argument(request, "table"), 0, false);
	const char *from = get_argument(request, "from");
	unsigned i = 0;

	while (i < rows->len) {
		if (strcmp(((row_t *)g_ptr_array_index(rows, i))->key, from) < 0)
			g_ptr_array_remove_index_fast(rows, i);
		else
			i++;
	}
	g_ptr_array_sort(rows, rows_compare_keys);
	return response_with_rows(request->store, rows);
}

static void wait_for_stop(store_t *store)
{
	while (!store->is_stopping)
		g_cond_wait(&store->changed, &store->mutex);
}

static response_t handle_feed(const request_t *request)
{
	store_t *store = request->store;
	const char *table = get_argument(request, "table");
	uint64_t after = get_number(request, "after");
	int64_t until_us = g_get_monotonic_time() +
			   (int64_t)MIN(get_number(request, "waitMs"), FEED_WAIT_MAX_MS) * 1000;
	unsigned forgotten_count = store->forgotten_count;
	GPtrArray *rows;

	while (true) {
		if (store->forgotten_count != forgotten_count) {
			wait_for_stop(store);
			return (response_t){ 0 };
		}
		if (after < store->dropped_version)
			return (response_t){ .status = MHD_HTTP_GONE };
		rows = rows_find(store, table, after, true);
		if (rows->len > 0 || g_get_monotonic_time() >= until_us || store->is_stopping)
			break;
		g_ptr_array_free(rows, TRUE);
		g_cond_wait_until(&store->changed, &store->mutex, until_us);
	}
	g_ptr_array_sort(rows, rows_compare_versions);
	return response_with_rows(store, rows);
}

static const char *entry_get(const json_t *entry, const char *name)
{
	const char *value = json_string_value(json_object_get(entry, name));

	return value ? value : "";
}

/* Return: true if each row has the version that the transaction expects */
static bool is_expected(const store_t *store, const json_t *expected)
{
	const json_t *entry;
	size_t i;

	json_array_foreach(expected, i, entry)
	{
		const row_t *row =
			row_find(store, entry_get(entry, "table"), entry_get(entry, "key"));
		uint64_t version = row && row->value ? row->version : 0;

		if (version != (uint64_t)json_integer_value(json_object_get(entry, "ver")))
			return false;
	}
	return true;
}

static response_t handle_transaction(const request_t *request)
{
	store_t *store = request->store;
	json_t *object = json_loadb((const char *)request->body->data, request->body->len, 0, NULL);
	response_t response = { .status = MHD_HTTP_BAD_REQUEST };
	const json_t *entry;
	size_t i;

	if (!object)
		return response;
	if (!is_expected(store, json_object_get(object, "expected"))) {
		response = response_with_rows(store, g_ptr_array_new());
		response.status = MHD_HTTP_PRECONDITION_FAILED;
		goto done;
	}
	store->version++;
	json_array_foreach(json_object_get(object, "upserts"), i, entry)
	{
		row_write(store, entry_get(entry, "table"), entry_get(entry, "key"),
			  g_strdup(entry_get(entry, "value")));
	}
	json_array_foreach(json_object_get(object, "deletes"), i, entry)
	{
		row_write(store, entry_get(entry, "table"), entry_get(entry, "key"), NULL);
	}
	response = response_with_rows(store, g_ptr_array_new());
done:
	json_decref(object);
	return response;
}

static response_t handle_test(const request_t *request, const char *action)
{
	store_t *store = request->store;
	const char *table = get_argument(request, "table");
	const char *key = get_argument(request, "key");

	if (g_str_equal(action, "row")) {
		store->version++;
		row_write(store, table, key,
			  g_base64_encode(request->body->data, request->body->len));
	} else if (g_str_equal(action, "drop")) {
		store->version++;
		row_write(store, table, key, NULL);
	} else if (g_str_equal(action, "compact") || g_str_equal(action, "forget")) {
		store->dropped_version = store->version;
		store->forgotten_count += g_str_equal(action, "forget");
	} else if (g_str_equal(action, "silent")) {
		store->is_silent = get_number(request, "on") != 0;
	} else {
		return (response_t){ .status = MHD_HTTP_NOT_FOUND };
	}
	return (response_t){ .status = MHD_HTTP_OK };
}

static response_t handle_request(const request_t *request, const char *path)
{
	store_t *store = request->store;

	if (g_str_has_prefix(path, "/test/"))
		return handle_test(request, path + strlen("/test/"));
	if (store->is_silent) {
		wait_for_stop(store);
		return (response_t){ 0 };
	}
	if (g_str_equal(path, "/v1/rows-get"))
		return handle_get(request);
	if (g_str_equal(path, "/v1/rows-feed"))
		return handle_feed(request);
	if (g_str_equal(path, "/v1/rows-tx"))
		return handle_transaction(request);
	return (response_t){ .status = MHD_HTTP_NOT_FOUND };
}

/* ---- HTTP ---- */

static enum MHD_Result response_send(struct MHD_Connection *connection, response_t *response)
{
	struct MHD_Response *mhd_response;
	enum MHD_Result result;

	if (response->status == 0)
		return MHD_NO;
	mhd_response = MHD_create_response_from_buffer(response->body ? strlen(response->body) : 0,
						       response->body ? response->body : "",
						       MHD_RESPMEM_MUST_COPY);
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
	g_cond_broadcast(&request->store->changed);
	g_mutex_unlock(&request->store->mutex);
	return response_send(connection, &response);
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
	g_mutex_init(&store.mutex);
	g_cond_init(&store.changed);
	store.rows = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, row_free);
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
	MHD_stop_daemon(daemon);
	g_hash_table_destroy(store.rows);
	g_mutex_clear(&store.mutex);
	g_cond_clear(&store.changed);
	g_free(address.host);
	return EXIT_SUCCESS;
}
