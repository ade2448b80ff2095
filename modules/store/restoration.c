#include "internal/lead.h"
#include "internal/mirror.h"

#include "jh_log.h"
#include "jh_platform.h"
#include "jh_primary.h"
#include "jh_profile.h"
#include "jh_replicas_row.h"

#include <jansson.h>
#include <string.h>

/*
 * Rows of a store that was restored from an older copy. A row that this VM may have acted on does
 * not go back here: its body is kept, and voters write it back. The numbers of versions do not tell
 * which body is older, since the store gives them out again; what the rows say does.
 */

/* Voters that write rows back to a restored store wait for a random time up to this, microseconds.
 */
#define WRITE_BACK_SPREAD_US (400 * 1000)

/* Rows that are written back in one transaction. */
#define WRITE_BACK_ROWS_MAX 50u

static json_t *body_parse(GBytes *body)
{
	gsize size = 0;
	const char *text = body ? g_bytes_get_data(body, &size) : NULL;

	return text ? json_loadb(text, size, 0, NULL) : NULL;
}

/* Return: the number of that name in a row's body, -1 if it has none */
static json_int_t body_get_number(GBytes *body, const char *name)
{
	json_t *object = body_parse(body);
	const json_t *number = json_object_get(object, name);
	json_int_t value = json_is_integer(number) ? json_integer_value(number) : -1;

	json_decref(object);
	return value;
}

static bool group_goes_back(const char *group, GBytes *known, GBytes *restored)
{
	jh_error_t err = JH_ERROR_INIT;
	jh_primary_t known_primary;
	jh_primary_t restored_primary;
	bool goes_back = false;

	if (jh_primary_parse(&known_primary, group, 0, known, &err) < 0)
		goto done;
	if (!restored || jh_primary_parse(&restored_primary, group, 0, restored, &err) < 0)
		goes_back = true;
	else if (known_primary.term != restored_primary.term)
		goes_back = known_primary.term > restored_primary.term;
	else
		goes_back = known_primary.is_changing && !restored_primary.is_changing;
done:
	jh_error_clear(&err);
	return goes_back;
}

/* Return: new body of a row of replicas that lists those of both rows; NULL if @restored has all */
static GBytes *replicas_merge(const char *group, GBytes *known, GBytes *restored)
{
	jh_error_t err = JH_ERROR_INIT;
	GHashTable *replicas = jh_replicas_parse(group, known, &err);
	GHashTable *others = replicas ? jh_replicas_parse(group, restored, &err) : NULL;
	GBytes *body = NULL;
	GHashTableIter iter;
	void *value;
	char *text;

	if (replicas && (!others || !jh_replicas_include(others, replicas))) {
		if (others)
			g_hash_table_iter_init(&iter, others);
		while (others && g_hash_table_iter_next(&iter, NULL, &value))
			jh_replicas_add(replicas, value);
		text = jh_replicas_format(replicas);
		body = g_bytes_new_take(text, strlen(text));
	}
	g_clear_pointer(&replicas, g_hash_table_destroy);
	g_clear_pointer(&others, g_hash_table_destroy);
	jh_error_clear(&err);
	return body;
}

/*
 * Return: true if @restored, or NULL if the row is missing, is older than @known: it has a lower
 * version of the configuration, term of the primary, or fencing token of the leader
 */
static bool row_goes_back(const jh_catalogue_format_t *format, jh_mirror_table_t table,
			  const char *name, GBytes *known, GBytes *restored)
{
	if (table == JH_MIRROR_CONFIG && g_str_equal(name, "config"))
		return format->read_config_version(known) > format->read_config_version(restored);
	if (table != JH_MIRROR_FLEET)
		return false;
	if (g_str_has_prefix(name, JH_MIRROR_GROUP_PREFIX))
		return group_goes_back(name + strlen(JH_MIRROR_GROUP_PREFIX), known, restored);
	if (g_str_equal(name, JH_LEADER_ROW))
		return body_get_number(known, "fence") > body_get_number(restored, "fence");
	return false;
}

/*
 * Return: what replaces the restored body @restored, NULL if the row is missing: the known body, or
 * both merged; a new reference; NULL if @restored is not older
 */
static GBytes *row_body_to_keep(const _jh_mirror_table_t *table, const char *name, GBytes *known,
				GBytes *restored)
{
	const jh_profile_t *profile =
		jh_profile_get(jh_kernel_settings(jh_task_kernel(table->mirror->task)));

	if (table->id == JH_MIRROR_FLEET && g_str_has_prefix(name, JH_REPLICAS_ROW_PREFIX))
		return replicas_merge(name + strlen(JH_REPLICAS_ROW_PREFIX), known, restored);
	return row_goes_back(profile->catalogue, table->id, name, known, restored) ?
		       g_bytes_ref(known) :
		       NULL;
}

bool _jh_mirror_keep_row(_jh_mirror_table_t *table, const char *name, _jh_mirror_row_t *row,
			 uint64_t version, GBytes *body)
{
	bool is_restored = jh_store_version_era(version) > jh_store_version_era(row->version);
	GBytes *kept = row->body && (row->is_kept || is_restored) ?
			       row_body_to_keep(table, name, row->body, body) :
			       NULL;

	if (!kept) {
		row->is_kept = false;
		return false;
	}
	if (!row->is_kept)
		jh_log(JH_LOG_WARNING, "mirror", "row_went_back",
		       "table=%s row=%s known=%" G_GUINT64_FORMAT " stored=%" G_GUINT64_FORMAT,
		       jh_mirror_table_name(table->id), jh_log_value(name), row->version,
		       body ? version : 0);
	row->is_kept = true;
	row->stored_version = body ? version : 0;
	row->version = version;
	g_bytes_unref(row->body);
	row->body = kept;
	g_clear_pointer(&row->compressed_body, g_bytes_unref);
	/* Other tasks make their writes conditional on the version. */
	if (table->id == JH_MIRROR_FLEET)
		_jh_mirror_publish_row(table, name, row);
	return true;
}

void _jh_mirror_drop_older_eras(_jh_mirror_table_t *table)
{
	uint64_t era = jh_store_version_era(table->version);
	GHashTableIter iter;
	void *name;
	void *value;

	g_hash_table_iter_init(&iter, table->rows);
	while (g_hash_table_iter_next(&iter, &name, &value)) {
		_jh_mirror_row_t *row = value;

		if (!row->body || jh_store_version_era(row->version) >= era ||
		    _jh_mirror_keep_row(table, name, row, table->version, NULL))
			continue;
		_jh_mirror_drop_row(table, name, row, table->version);
	}
}

/* Return: writes of the kept rows of the fleet's table, NULL if there are none */
static GPtrArray *kept_rows_writes_new(const _jh_mirror_t *mirror)
{
	GPtrArray *writes = NULL;
	GHashTableIter iter;
	void *name;
	void *value;

	g_hash_table_iter_init(&iter, mirror->tables[JH_MIRROR_FLEET].rows);
	while (g_hash_table_iter_next(&iter, &name, &value)) {
		const _jh_mirror_row_t *row = value;
		char *text;

		if (!row->is_kept || (writes && writes->len >= WRITE_BACK_ROWS_MAX))
			continue;
		if (!writes)
			writes = jh_store_writes_new();
		text = g_strndup(g_bytes_get_data(row->body, NULL), g_bytes_get_size(row->body));
		jh_store_write_add(writes, JH_STORE_PUT, name, row->stored_version, text);
		g_free(text);
	}
	return writes;
}

void _jh_mirror_write_back(_jh_mirror_t *mirror)
{
	GPtrArray *writes;

	if (mirror->is_writing_back || !_jh_mirror_is_voter(mirror))
		return;
	writes = kept_rows_writes_new(mirror);
	if (!writes) {
		mirror->next_write_back_us = 0;
		return;
	}
	if (mirror->next_write_back_us == 0)
		mirror->next_write_back_us =
			jh_boot_time_us() + g_random_int_range(0, WRITE_BACK_SPREAD_US);
	if (jh_boot_time_us() < mirror->next_write_back_us) {
		g_ptr_array_unref(writes);
		return;
	}
	mirror->is_writing_back = true;
	jh_log(JH_LOG_NOTICE, "mirror", "write_back", "rows=%u", writes->len);
	jh_platform_commit(mirror->task, jh_mirror_table_name(JH_MIRROR_FLEET), writes,
			   JH_MIRROR_WRITE_BACK_TAG);
}

void _jh_mirror_handle_write_back(_jh_mirror_t *mirror, const jh_platform_reply_t *reply)
{
	mirror->is_writing_back = false;
	mirror->next_write_back_us = jh_boot_time_us() + WRITE_BACK_SPREAD_US +
				     g_random_int_range(0, WRITE_BACK_SPREAD_US);
	if (reply->status == JH_PLATFORM_OK)
		_jh_mirror_on_own_write(mirror, reply->version);
}
