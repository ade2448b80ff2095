#include "jh_store.h"

#include <string.h>

/* Rows, writes and replies of the store's interface, for store protocols and the tasks that use
 * them. */

bool jh_platform_call_is_write(jh_platform_call_t call)
{
	return call == JH_PLATFORM_PUT_ROW || call == JH_PLATFORM_PUT_OBJECT ||
	       call == JH_PLATFORM_COMMIT || call == JH_PLATFORM_PROMOTE;
}

static void store_write_free(void *data)
{
	jh_store_write_t *write = data;

	g_free(write->name);
	if (write->body)
		g_bytes_unref(write->body);
	g_free(write);
}

GPtrArray *jh_store_writes_new(void)
{
	return g_ptr_array_new_with_free_func(store_write_free);
}

void jh_store_write_add(GPtrArray *writes, jh_store_write_type_t type, const char *name,
			uint64_t version, const char *text)
{
	jh_store_write_t *write = g_new0(jh_store_write_t, 1);

	write->type = type;
	write->name = g_strdup(name);
	write->version = version;
	write->body = text ? g_bytes_new(text, strlen(text)) : NULL;
	g_ptr_array_add(writes, write);
}

jh_store_row_t *jh_store_row_new(const char *name, uint64_t version, GBytes *body)
{
	jh_store_row_t *row = g_new0(jh_store_row_t, 1);

	row->name = g_strdup(name);
	row->version = version;
	row->body = body ? g_bytes_ref(body) : NULL;
	return row;
}

void jh_store_row_free(void *data)
{
	jh_store_row_t *row = data;

	g_free(row->name);
	if (row->body)
		g_bytes_unref(row->body);
	g_free(row);
}

void jh_platform_reply_clear(void *data)
{
	jh_platform_reply_t *reply = data;

	if (reply->body)
		g_bytes_unref(reply->body);
	if (reply->rows)
		g_ptr_array_unref(reply->rows);
}
