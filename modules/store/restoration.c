#include "internal/lead.h"
#include "internal/mirror.h"

#include "jh_log.h"
#include "jh_platform.h"
#include "jh_primary.h"
#include "jh_profile.h"

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

bool _jh_mirror_keep_row(_jh_mirror_table_t *table, const char *name, _jh_mirror_row_t *row,
			 uint64_t version, GBytes *body)
{
	const jh_profile_t *profile =
		jh_profile_get(jh_kernel_settings(jh_task_kernel(table->mirror->task)));
	bool is_restored = jh_store_version_era(version) > jh_store_version_era(row->version);

	if (!row->body || (!row->is_kept && !is_restored) ||
	    !row_goes_back(profile->catalogue, table->id, name, row->body, body)) {
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
