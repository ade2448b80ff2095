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
 * version of the configuration, term of the primary, fencing token of the leader, or generation of
 * the voters, or lacks a VM
 */
static bool row_goes_back(const jh_catalogue_format_t *format, jh_mirror_table_t table,
			  const char *name, GBytes *known, GBytes *restored)
{
	if (table == JH_MIRROR_CONFIG && g_str_equal(name, "config"))
		return format->read_config_version(known) > format->read_config_version(restored);
	if (table != JH_MIRROR_FLEET)
		return false;
	/* A VM that the list lacks may have acknowledged rows since the copy was made. */
	if (g_str_has_prefix(name, JH_MIRROR_VM_PREFIX))
		return !restored;
	if (g_str_has_prefix(name, JH_MIRROR_GROUP_PREFIX))
		return group_goes_back(name + strlen(JH_MIRROR_GROUP_PREFIX), known, restored);
	if (g_str_equal(name, JH_LEADER_ROW))
		return body_get_number(known, "fence") > body_get_number(restored, "fence");
	if (g_str_equal(name, JH_VOTERS_ROW))
		return body_get_number(known, "generation") >
		       body_get_number(restored, "generation");
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

/* ---- confirmation of the era ---- */

char *jh_mirror_era_format(uint64_t era)
{
	return g_strdup_printf("{\"era\":%" G_GUINT64_FORMAT "}", era);
}

static const _jh_mirror_row_t *era_row_find(const _jh_mirror_t *mirror)
{
	return g_hash_table_lookup(mirror->tables[JH_MIRROR_FLEET].rows, JH_MIRROR_ERA_ROW);
}

static bool has_group_row(const _jh_mirror_t *mirror)
{
	GHashTableIter iter;
	void *name;
	void *value;

	g_hash_table_iter_init(&iter, mirror->tables[JH_MIRROR_FLEET].rows);
	while (g_hash_table_iter_next(&iter, &name, &value)) {
		if (((const _jh_mirror_row_t *)value)->body &&
		    g_str_has_prefix(name, JH_MIRROR_GROUP_PREFIX))
			return true;
	}
	return false;
}

/* The first leader writes the row of the era before any row of a group. */
static bool era_is_confirmed(const _jh_mirror_t *mirror, uint64_t era)
{
	const _jh_mirror_row_t *row = era_row_find(mirror);

	if (!row || !row->body)
		return !has_group_row(mirror);
	return body_get_number(row->body, "era") == (json_int_t)era;
}

void _jh_mirror_update_era(_jh_mirror_t *mirror)
{
	const _jh_mirror_table_t *fleet = &mirror->tables[JH_MIRROR_FLEET];
	uint64_t era = jh_store_version_era(fleet->version);
	jh_mirror_era_msg_t *msg;
	bool is_confirmed;

	if (!_jh_mirror_is_complete(mirror))
		return;
	if (era != mirror->era)
		jh_mirror_lease_forget(mirror->lease);
	is_confirmed = era_is_confirmed(mirror, era);
	if (era == mirror->era && is_confirmed == mirror->is_era_confirmed)
		return;
	mirror->era = era;
	mirror->is_era_confirmed = is_confirmed;
	if (is_confirmed)
		jh_log(JH_LOG_NOTICE, "mirror", "era_confirmed", "era=%" G_GUINT64_FORMAT, era);
	msg = g_rc_box_new0(jh_mirror_era_msg_t);
	msg->era = era;
	msg->is_confirmed = mirror->is_era_confirmed;
	/* Sent through the catalogue task, so that it arrives after the rows that it is about. */
	jh_post(mirror->task, jh_kernel_find(jh_task_kernel(mirror->task), "catalogue"),
		JH_MSG_MIRROR_ERA, msg, NULL);
}

/* ---- rows that other VMs keep ---- */

static unsigned count_kept_rows(const _jh_mirror_t *mirror)
{
	unsigned count = 0;
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, mirror->tables[JH_MIRROR_FLEET].rows);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		count += ((const _jh_mirror_row_t *)value)->is_kept;
	return count;
}

void _jh_mirror_add_kept_rows(const _jh_mirror_t *mirror, Jh__MirrorSync *sync)
{
	unsigned count = mirror->is_era_confirmed ? 0 : count_kept_rows(mirror);
	GHashTableIter iter;
	void *name;
	void *value;

	if (count == 0)
		return;
	sync->kept_rows = g_new0(Jh__MirrorRow *, count);
	g_hash_table_iter_init(&iter, mirror->tables[JH_MIRROR_FLEET].rows);
	while (g_hash_table_iter_next(&iter, &name, &value)) {
		const _jh_mirror_row_t *row = value;
		Jh__MirrorRow *copy;
		gsize size = 0;
		const void *data;

		if (!row->is_kept)
			continue;
		data = g_bytes_get_data(row->body, &size);
		copy = g_new0(Jh__MirrorRow, 1);
		jh__mirror_row__init(copy);
		copy->table = JH_MIRROR_FLEET;
		copy->name = jh_frame_strdup(name);
		copy->body.len = size;
		copy->body.data = g_memdup2(data, size);
		sync->kept_rows[sync->n_kept_rows++] = copy;
	}
}

/*
 * Keeps @body as this row, or merged with it, if the row is older or missing here. The row needs a
 * new version, so that no other task takes it for the one that it replaces: that of the table.
 *
 * Return: false if the table has no version yet that is newer than the row's
 */
static bool adopt_kept_row(_jh_mirror_table_t *table, const char *name, GBytes *body)
{
	_jh_mirror_row_t *row = g_hash_table_lookup(table->rows, name);
	GBytes *kept = row_body_to_keep(table, name, body, row ? row->body : NULL);

	if (!kept)
		return true;
	if (row && row->version >= table->version) {
		g_bytes_unref(kept);
		return false;
	}
	if (!row) {
		row = g_new0(_jh_mirror_row_t, 1);
		g_hash_table_insert(table->rows, g_strdup(name), row);
	}
	if (!row->is_kept)
		row->stored_version = row->body ? row->version : 0;
	row->version = table->version;
	row->is_kept = true;
	g_clear_pointer(&row->body, g_bytes_unref);
	g_clear_pointer(&row->compressed_body, g_bytes_unref);
	row->body = kept;
	jh_log(JH_LOG_WARNING, "mirror", "row_adopted",
	       "row=%s version=%" G_GUINT64_FORMAT " stored=%" G_GUINT64_FORMAT, jh_log_value(name),
	       row->version, row->stored_version);
	_jh_mirror_publish_row(table, name, row);
	return true;
}

bool _jh_mirror_adopt_kept_rows(_jh_mirror_t *mirror, const Jh__MirrorSync *sync)
{
	_jh_mirror_table_t *fleet = &mirror->tables[JH_MIRROR_FLEET];
	bool is_adopted = true;
	size_t i;

	if (sync->n_kept_rows == 0)
		return true;
	if (!fleet->is_complete || sync->n_versions <= JH_MIRROR_FLEET ||
	    jh_store_version_era(sync->versions[JH_MIRROR_FLEET]) !=
		    jh_store_version_era(fleet->version))
		return false;
	for (i = 0; i < sync->n_kept_rows; i++) {
		const Jh__MirrorRow *row = sync->kept_rows[i];
		GBytes *body = g_bytes_new(row->body.data, row->body.len);

		is_adopted = adopt_kept_row(fleet, row->name, body) && is_adopted;
		g_bytes_unref(body);
	}
	/* The acknowledgement that comes with these rows is counted among the voters that they
	 * list. */
	_jh_mirror_update_voters(mirror);
	return is_adopted;
}

void _jh_mirror_note_kept_row(_jh_mirror_table_t *table, const char *name, uint64_t version,
			      uint64_t stored_version)
{
	_jh_mirror_row_t *row = g_hash_table_lookup(table->rows, name);

	if (!row || !row->body || row->version != version)
		return;
	row->is_kept = true;
	row->stored_version = stored_version;
	_jh_mirror_publish_row(table, name, row);
}

/* ---- writing back ---- */

/* Return: whether this VM knows what a quorum knew in earlier eras: it has renewed its lease since
 */
static bool can_confirm_era(const _jh_mirror_t *mirror)
{
	return !mirror->is_era_confirmed && mirror->lease_era == mirror->era &&
	       mirror->lease_expiry_us > jh_boot_time_us();
}

static void add_era_write(const _jh_mirror_t *mirror, GPtrArray *writes)
{
	const _jh_mirror_row_t *row = era_row_find(mirror);
	char *text = jh_mirror_era_format(mirror->era);

	jh_store_write_add(writes, JH_STORE_PUT, JH_MIRROR_ERA_ROW,
			   row && row->body ? row->version : 0, text);
	g_free(text);
}

/*
 * Return: writes of the kept rows of the fleet's table, and of the confirmation of its era if they
 * are all there is to be written back; NULL if there is nothing to write
 */
static GPtrArray *write_back_new(const _jh_mirror_t *mirror)
{
	unsigned kept_count = count_kept_rows(mirror);
	bool confirms = can_confirm_era(mirror) && kept_count <= WRITE_BACK_ROWS_MAX;
	GHashTableIter iter;
	GPtrArray *writes;
	void *name;
	void *value;

	if (kept_count == 0 && !confirms)
		return NULL;
	writes = jh_store_writes_new();
	g_hash_table_iter_init(&iter, mirror->tables[JH_MIRROR_FLEET].rows);
	while (g_hash_table_iter_next(&iter, &name, &value)) {
		const _jh_mirror_row_t *row = value;
		/* A VM that registers again meanwhile must not make the whole transaction fail. */
		bool is_vm = g_str_has_prefix(name, JH_MIRROR_VM_PREFIX);
		char *text;

		if (!row->is_kept || writes->len >= WRITE_BACK_ROWS_MAX)
			continue;
		text = g_strndup(g_bytes_get_data(row->body, NULL), g_bytes_get_size(row->body));
		jh_store_write_add(writes, JH_STORE_PUT, name,
				   is_vm ? JH_STORE_ANY_VERSION : row->stored_version, text);
		g_free(text);
	}
	if (confirms)
		add_era_write(mirror, writes);
	return writes;
}

void _jh_mirror_write_back(_jh_mirror_t *mirror)
{
	GPtrArray *writes;

	if (mirror->is_writing_back || !_jh_mirror_is_voter(mirror))
		return;
	writes = write_back_new(mirror);
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
	jh_log(JH_LOG_NOTICE, "mirror", "write_back", "rows=%u confirms=%d", writes->len,
	       can_confirm_era(mirror));
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
