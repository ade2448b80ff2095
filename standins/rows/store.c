#include "rows.h"

#include <jansson.h>
#include <microhttpd.h>
#include <string.h>

/* Tables of rows with transactions and feeds. */

#define FEED_WAIT_MAX_MS 30000u

typedef struct row {
	char *table;
	char *key;
	uint64_t version;
	/* Base64; NULL if the row was dropped. */
	char *value;
} row_t;

static void row_free(void *data)
{
	row_t *row = data;

	g_free(row->table);
	g_free(row->key);
	g_free(row->value);
	g_free(row);
}

/* ---- Rows ---- */

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

void store_write(store_t *store, const char *table, const char *key, const char *text)
{
	store->version++;
	row_write(store, table, key,
		  text ? g_base64_encode((const guchar *)text, strlen(text)) : NULL);
	g_cond_broadcast(&store->changed);
}

/* ---- Calls ---- */

response_t store_get(const store_t *store, const char *table, const char *from)
{
	GPtrArray *rows = rows_find(store, table, 0, false);
	unsigned i = 0;

	while (i < rows->len) {
		if (strcmp(((row_t *)g_ptr_array_index(rows, i))->key, from) < 0)
			g_ptr_array_remove_index_fast(rows, i);
		else
			i++;
	}
	g_ptr_array_sort(rows, rows_compare_keys);
	return response_with_rows(store, rows);
}

void store_wait_for_stop(store_t *store)
{
	while (!store->is_stopping)
		g_cond_wait(&store->changed, &store->mutex);
}

response_t store_feed(store_t *store, const char *table, uint64_t after, uint64_t wait_ms)
{
	int64_t until_us = g_get_monotonic_time() + (int64_t)MIN(wait_ms, FEED_WAIT_MAX_MS) * 1000;
	unsigned forgotten_count = store->forgotten_count;
	GPtrArray *rows;

	while (true) {
		if (store->forgotten_count != forgotten_count) {
			store_wait_for_stop(store);
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

response_t store_transaction(store_t *store, const GByteArray *body)
{
	json_t *object = json_loadb((const char *)body->data, body->len, 0, NULL);
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

/* ---- Copies ---- */

static GHashTable *rows_new(void)
{
	return g_hash_table_new_full(g_str_hash, g_str_equal, g_free, row_free);
}

void store_copy(store_t *store)
{
	GHashTableIter iter;
	void *name;
	void *value;

	g_clear_pointer(&store->copied_rows, g_hash_table_destroy);
	store->copied_rows = rows_new();
	store->copied_version = store->version;
	g_hash_table_iter_init(&iter, store->rows);
	while (g_hash_table_iter_next(&iter, &name, &value)) {
		const row_t *row = value;
		row_t *copy = g_new0(row_t, 1);

		copy->table = g_strdup(row->table);
		copy->key = g_strdup(row->key);
		copy->version = row->version;
		copy->value = g_strdup(row->value);
		g_hash_table_insert(store->copied_rows, g_strdup(name), copy);
	}
}

void store_restore(store_t *store)
{
	if (!store->copied_rows)
		return;
	g_hash_table_destroy(store->rows);
	store->rows = g_steal_pointer(&store->copied_rows);
	store->version = store->copied_version;
	store->dropped_version = store->copied_version;
	store->era++;
	store->forgotten_count++;
	g_cond_broadcast(&store->changed);
}

void store_init(store_t *store)
{
	g_mutex_init(&store->mutex);
	g_cond_init(&store->changed);
	store->rows = rows_new();
	store->era = 1;
}

void store_clear(store_t *store)
{
	g_hash_table_destroy(store->rows);
	if (store->copied_rows)
		g_hash_table_destroy(store->copied_rows);
	g_mutex_clear(&store->mutex);
	g_cond_clear(&store->changed);
}
