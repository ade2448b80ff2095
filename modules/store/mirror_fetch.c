#include "internal/mirror.h"

#include "jh_compress.h"
#include "jh_counter.h"
#include "jh_log.h"

#include <string.h>

/*
 * Rows on their way between mirrors. The configuration may be longer than a small VM's link carries
 * in a second. Therefore a long row is sent in parts, each requested once the part before it has
 * arrived: the frames that renew leases pass between them, and the requesting VM sees that the
 * transfer makes progress.
 */

/* Longest part of a body in one frame, bytes. */
#define PART_BYTES (16u * 1024)

/* Number of VMs to which a VM sends long rows at the same time: their parts together must not hold
 * up other frames for long, and each must arrive well before the fetch timeout.
 */
#define TRANSFERS_MAX 6u

/* Shorter bodies of rows are sent uncompressed. */
#define COMPRESS_MIN_BYTES 1024u

/* Longest body of a row that is accepted in compressed form or in parts. */
#define ROW_MAX_BYTES (16u * 1024 * 1024)

JH_COUNTER(row_bytes_sent_total, "jasminehill_mirror_row_bytes_sent_total",
	   "bytes of rows that were sent to other VMs");
JH_COUNTER(rows_from_peers_total, "jasminehill_mirror_rows_from_peers_total",
	   "changes of rows learned from other VMs first");

/* ---- Sending ---- */

/* Return: the body as it is sent, borrowed; *@uncompressed_bytes is set if it is compressed */
static GBytes *row_sent_body(_jh_mirror_row_t *row, bool may_compress, uint32_t *uncompressed_bytes)
{
	gsize size = g_bytes_get_size(row->body);

	*uncompressed_bytes = 0;
	if (may_compress && size >= COMPRESS_MIN_BYTES && !row->compressed_body)
		row->compressed_body = jh_compress(row->body);
	if (!may_compress || !row->compressed_body)
		return row->body;
	*uncompressed_bytes = (uint32_t)size;
	return row->compressed_body;
}

static void row_copy_body(Jh__MirrorRow *copy, _jh_mirror_row_t *row, bool may_compress,
			  uint32_t offset, uint32_t max_bytes)
{
	GBytes *sent = row_sent_body(row, may_compress, &copy->uncompressed_bytes);
	gsize size = g_bytes_get_size(sent);
	const uint8_t *data = g_bytes_get_data(sent, NULL);

	if (size > max_bytes) {
		copy->total_bytes = (uint32_t)size;
		copy->offset = offset;
	}
	copy->body.len = MIN(size - offset, max_bytes);
	copy->body.data = g_memdup2(data + offset, copy->body.len);
	jh_counter_add(&row_bytes_sent_total, (int64_t)copy->body.len);
}

static Jh__MirrorRow *row_copy_new(jh_mirror_table_t table, const char *name,
				   const _jh_mirror_row_t *row)
{
	Jh__MirrorRow *copy = g_new0(Jh__MirrorRow, 1);

	jh__mirror_row__init(copy);
	copy->table = table;
	copy->name = jh_frame_strdup(name);
	copy->version = row->version;
	copy->dropped = !row->body;
	copy->kept = row->is_kept;
	copy->stored_version = row->is_kept ? row->stored_version : 0;
	return copy;
}

/* Return: the longest of the rows in the form that is sent, if it is longer than a part; or NULL */
static _jh_mirror_row_t *find_row_to_split(const GPtrArray *found, bool may_compress)
{
	_jh_mirror_row_t *longest = NULL;
	gsize longest_bytes = PART_BYTES;
	uint32_t unused;
	unsigned i;

	for (i = 0; i < found->len; i++) {
		_jh_mirror_row_t *row = g_ptr_array_index(found, i);
		gsize size =
			row->body ? g_bytes_get_size(row_sent_body(row, may_compress, &unused)) : 0;

		if (size > longest_bytes) {
			longest = row;
			longest_bytes = size;
		}
	}
	return longest;
}

/* Adds the rows of a table that are newer than @after, and copies of them without their bodies. */
static void find_rows(const _jh_mirror_table_t *table, uint64_t after, GPtrArray *found,
		      GPtrArray *copies)
{
	GHashTableIter iter;
	void *name;
	void *value;

	g_hash_table_iter_init(&iter, table->rows);
	while (g_hash_table_iter_next(&iter, &name, &value)) {
		_jh_mirror_row_t *row = value;

		/* A row newer than the table's version is this VM's own write; changes before it
		 * may be missing here.
		 */
		if (row->version <= after || row->version > table->version)
			continue;
		g_ptr_array_add(found, row);
		g_ptr_array_add(copies, row_copy_new(table->id, name, row));
	}
}

static gboolean transfer_is_given_up(void *vm, void *until_us, void *now_us)
{
	(void)vm;
	return *(const int64_t *)until_us <= *(const int64_t *)now_us;
}

/*
 * Begins or continues the transfer of a long row to a VM.
 *
 * Return: false if enough other VMs receive one now
 */
static bool transfer_continue(_jh_mirror_t *mirror, const char *vm)
{
	int64_t now_us = jh_boot_time_us();
	int64_t until_us = now_us + JH_FETCH_TIMEOUT_US;

	g_hash_table_foreach_remove(mirror->transfers, transfer_is_given_up, &now_us);
	if (!g_hash_table_contains(mirror->transfers, vm) &&
	    g_hash_table_size(mirror->transfers) >= TRANSFERS_MAX)
		return false;
	g_hash_table_replace(mirror->transfers, (void *)vm, g_memdup2(&until_us, sizeof(until_us)));
	return true;
}

/* Return: copy of the requested part; NULL if the row has another version by now, or no such part
 */
static Jh__MirrorRow *part_copy_new(_jh_mirror_t *mirror, const char *vm,
				    const Jh__MirrorPart *part, bool may_compress)
{
	_jh_mirror_row_t *row;
	Jh__MirrorRow *copy;
	uint32_t unused;

	if (part->table >= JH_MIRROR_TABLE_COUNT)
		return NULL;
	row = g_hash_table_lookup(mirror->tables[part->table].rows, part->name);
	if (!row || !row->body || row->version != part->version ||
	    part->offset >= g_bytes_get_size(row_sent_body(row, may_compress, &unused)))
		return NULL;
	copy = row_copy_new(part->table, part->name, row);
	row_copy_body(copy, row, may_compress, part->offset, PART_BYTES);
	if (part->offset + copy->body.len == copy->total_bytes)
		g_hash_table_remove(mirror->transfers, vm);
	else
		transfer_continue(mirror, vm);
	return copy;
}

Jh__MirrorRow **_jh_mirror_rows_for(_jh_mirror_t *mirror, const char *vm,
				    const Jh__MirrorSync *request, size_t *count)
{
	Jh__MirrorRow *part = request->part ? part_copy_new(mirror, vm, request->part,
							    request->accepts_compressed) :
					      NULL;
	GPtrArray *copies = g_ptr_array_new();
	GPtrArray *found = g_ptr_array_new();
	_jh_mirror_row_t *split;
	uint32_t split_bytes;
	unsigned i;

	for (i = 0; !part && i < JH_MIRROR_TABLE_COUNT && i < request->n_versions; i++) {
		if (mirror->tables[i].is_complete)
			find_rows(&mirror->tables[i], request->versions[i], found, copies);
	}
	split = request->accepts_parts ? find_row_to_split(found, request->accepts_compressed) :
					 NULL;
	split_bytes = split && transfer_continue(mirror, vm) ? PART_BYTES : 0;
	for (i = 0; i < found->len; i++) {
		_jh_mirror_row_t *row = g_ptr_array_index(found, i);

		if (row->body)
			row_copy_body(g_ptr_array_index(copies, i), row,
				      request->accepts_compressed, 0,
				      row == split ? split_bytes : UINT32_MAX);
	}
	if (part)
		g_ptr_array_add(copies, part);
	g_ptr_array_free(found, TRUE);
	*count = copies->len;
	return (Jh__MirrorRow **)g_ptr_array_free(copies, copies->len == 0);
}

/* ---- Receiving ---- */

/* Return: new body of a received row, NULL if it is malformed */
static GBytes *row_body_new(const char *name, const uint8_t *data, size_t length,
			    uint32_t uncompressed_bytes)
{
	jh_error_t err = JH_ERROR_INIT;
	GBytes *body;

	if (uncompressed_bytes == 0)
		return g_bytes_new(data, length);
	body = jh_uncompress(data, length, uncompressed_bytes, ROW_MAX_BYTES, &err);
	if (!body)
		jh_log(JH_LOG_WARNING, "mirror", "row_malformed", "row=%s reason=%s",
		       jh_log_value(name), jh_log_value(err.message));
	jh_error_clear(&err);
	return body;
}

static void apply_body(_jh_mirror_table_t *table, const char *name, uint64_t version, GBytes *body)
{
	if (_jh_mirror_apply_row(table, name, version, body))
		jh_counter_add(&rows_from_peers_total, 1);
	if (body)
		g_bytes_unref(body);
}

static void table_raise(_jh_mirror_table_t *table, uint64_t version)
{
	if (version <= table->version)
		return;
	table->version = version;
	_jh_mirror_drop_older_eras(table);
	_jh_mirror_table_on_caught_up(table);
}

void _jh_mirror_parts_clear(_jh_mirror_parts_t *parts)
{
	g_clear_pointer(&parts->name, g_free);
	g_clear_pointer(&parts->received, g_byte_array_unref);
}

static bool part_begins_row(const Jh__MirrorRow *row)
{
	return row->offset == 0 && row->total_bytes <= ROW_MAX_BYTES;
}

static bool part_continues_row(const _jh_mirror_parts_t *parts, const Jh__MirrorRow *row)
{
	return parts->name && parts->table == row->table && g_str_equal(parts->name, row->name) &&
	       parts->version == row->version && parts->total_bytes == row->total_bytes &&
	       parts->uncompressed_bytes == row->uncompressed_bytes &&
	       parts->received->len == row->offset;
}

static void parts_begin(_jh_mirror_parts_t *parts, const Jh__MirrorRow *row, uint64_t table_version)
{
	_jh_mirror_parts_clear(parts);
	parts->table = row->table;
	parts->name = g_strdup(row->name);
	parts->version = row->version;
	parts->table_version = table_version;
	parts->uncompressed_bytes = row->uncompressed_bytes;
	parts->total_bytes = row->total_bytes;
	parts->received = g_byte_array_new();
}

static void request_next_part(_jh_mirror_t *mirror, const char *vm)
{
	const _jh_mirror_parts_t *parts = &mirror->parts;
	Jh__MirrorPart part;

	jh__mirror_part__init(&part);
	part.table = parts->table;
	part.name = parts->name;
	part.version = parts->version;
	part.offset = parts->received->len;
	_jh_mirror_request_rows(mirror, vm, &part);
}

static void parts_apply(_jh_mirror_t *mirror)
{
	_jh_mirror_parts_t *parts = &mirror->parts;
	_jh_mirror_table_t *table = &mirror->tables[parts->table];
	GBytes *body = row_body_new(parts->name, parts->received->data, parts->received->len,
				    parts->uncompressed_bytes);

	if (body) {
		apply_body(table, parts->name, parts->version, body);
		table_raise(table, parts->table_version);
	}
	_jh_mirror_parts_clear(parts);
}

/*
 * Joins a part with those before it. A part that does not follow them, for example a late reply to
 * an earlier request, is ignored.
 *
 * Return: see _jh_mirror_apply_rows(); the fetch ends too if the row can't be joined
 */
static _jh_fetch_result_t join_part(_jh_mirror_t *mirror, const char *vm, const Jh__MirrorRow *row,
				    const Jh__MirrorSync *reply)
{
	_jh_mirror_parts_t *parts = &mirror->parts;

	if (mirror->tables[row->table].version >= row->version) {
		/* A feed of the store was faster. */
		_jh_mirror_parts_clear(parts);
		return JH_FETCH_ENDED;
	}
	if (row->offset == 0 && row->body.len == 0)
		return JH_FETCH_POSTPONED;
	if (part_begins_row(row))
		parts_begin(parts, row, reply->versions[row->table]);
	else if (!part_continues_row(parts, row))
		return JH_FETCH_CONTINUES;
	if (row->body.len == 0 || row->body.len > parts->total_bytes - parts->received->len) {
		_jh_mirror_parts_clear(parts);
		return JH_FETCH_ENDED;
	}
	g_byte_array_append(parts->received, row->body.data, (guint)row->body.len);
	if (parts->received->len < parts->total_bytes) {
		request_next_part(mirror, vm);
		return JH_FETCH_CONTINUES;
	}
	parts_apply(mirror);
	return JH_FETCH_ENDED;
}

/* Return: the row of the reply that is sent in parts, or NULL */
static const Jh__MirrorRow *find_part(const Jh__MirrorSync *reply)
{
	unsigned i;

	for (i = 0; i < reply->n_rows; i++) {
		if (reply->rows[i]->total_bytes > 0)
			return reply->rows[i];
	}
	return NULL;
}

_jh_fetch_result_t _jh_mirror_apply_rows(_jh_mirror_t *mirror, const char *vm,
					 const Jh__MirrorSync *reply)
{
	const Jh__MirrorRow *part = find_part(reply);
	unsigned i;

	if (part && part->table >= MIN(JH_MIRROR_TABLE_COUNT, reply->n_versions))
		return JH_FETCH_ENDED;
	/* A later part is alone in its reply, which may lack other new rows. */
	if (part && part->offset > 0)
		return join_part(mirror, vm, part, reply);
	for (i = 0; i < reply->n_rows; i++) {
		const Jh__MirrorRow *row = reply->rows[i];
		GBytes *body = NULL;

		if (row->table >= JH_MIRROR_TABLE_COUNT || row == part)
			continue;
		if (!row->dropped) {
			body = row_body_new(row->name, row->body.data, row->body.len,
					    row->uncompressed_bytes);
			if (!body)
				return JH_FETCH_ENDED;
		}
		apply_body(&mirror->tables[row->table], row->name, row->version, body);
		if (row->kept)
			_jh_mirror_note_kept_row(&mirror->tables[row->table], row->name,
						 row->version, row->stored_version);
	}
	for (i = 0; i < JH_MIRROR_TABLE_COUNT && i < reply->n_versions; i++) {
		if (!part || part->table != i)
			table_raise(&mirror->tables[i], reply->versions[i]);
	}
	return part ? join_part(mirror, vm, part, reply) : JH_FETCH_ENDED;
}
