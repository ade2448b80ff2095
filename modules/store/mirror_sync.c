#include "internal/mirror.h"

#include "jh_compress.h"
#include "jh_counter.h"
#include "jh_log.h"

#include <string.h>

/*
 * Comparison with the mirrors of other VMs. A request says up to which version each table has been
 * applied here; the reply says the same of the other VM, and may acknowledge that the other VM knew
 * no newer row. Missing rows are requested of one VM at a time, so that each change arrives once
 * and not from every voter. An acknowledgement of versions that are missing here counts only after
 * their rows have arrived.
 */

/* If requested rows have not arrived after this time, they may be requested of another VM. */
#define FETCH_TIMEOUT_US (JH_LEASE_US / 2)

/* If less of the lease than this is left at the start of a round, the round before it did not renew
 * the lease, and requests go to all voters.
 */
#define LEASE_LOW_US (JH_LEASE_US * 55 / 100)

/* Voters to which a VM that is no voter sends requests in a round: one voter that shares its lease
 * is enough, and one reply may be lost. Voters in the same data centre are preferred.
 */
#define NON_VOTER_REQUESTS 2u

/* Shorter bodies of rows are sent uncompressed. */
#define COMPRESS_MIN_BYTES 1024u

/* Longest body of a row that is accepted in compressed form. */
#define ROW_MAX_BYTES (16u * 1024 * 1024)

/* A fetch that took longer than this is logged, microseconds. */
#define FETCH_LOG_US (500 * INT64_C(1000))

JH_COUNTER(row_bytes_sent_total, "jasminehill_mirror_row_bytes_sent_total",
	   "bytes of rows that were sent to other VMs");
JH_COUNTER(fetches_total, "jasminehill_mirror_fetches_total",
	   "requests for missing rows, sent to other VMs");
JH_COUNTER(
	fetches_repeated_total, "jasminehill_mirror_fetches_repeated_total",
	"requests for missing rows that were sent to a second VM because the first one's rows had "
	"not arrived");
JH_COUNTER(rows_from_peers_total, "jasminehill_mirror_rows_from_peers_total",
	   "changes of rows learned from other VMs first");

/*
 * This VM acknowledges to others once it has held a lease in this instance. It does not acknowledge
 * while its mirror has a write of its own, such as a change of primary, but lacks earlier changes:
 * the versions that it sends do not include that write yet.
 */
static bool can_acknowledge(const _jh_mirror_t *mirror)
{
	return mirror->lease_expiry_us != INT64_MIN &&
	       mirror->tables[JH_MIRROR_FLEET].own_write_version == 0;
}

static Jh__Frame *sync_frame(const _jh_mirror_t *mirror, int64_t stamp_us, bool is_reply,
			     bool with_rows)
{
	Jh__Frame *frame = jh_frame_new(JH__FRAME__BODY_MIRROR_SYNC);
	Jh__MirrorSync *sync = frame->mirror_sync;
	unsigned i;

	sync->stamp_us = stamp_us;
	sync->is_reply = is_reply;
	sync->with_rows = with_rows;
	sync->accepts_compressed = with_rows && !is_reply;
	sync->confirms = can_acknowledge(mirror);
	sync->n_versions = JH_MIRROR_TABLE_COUNT;
	sync->versions = g_new0(uint64_t, JH_MIRROR_TABLE_COUNT);
	for (i = 0; i < JH_MIRROR_TABLE_COUNT; i++)
		sync->versions[i] = mirror->tables[i].is_complete ? mirror->tables[i].version : 0;
	return frame;
}

static void sync_row_set_body(Jh__MirrorRow *copy, _jh_mirror_row_t *row, bool may_compress)
{
	gsize size = g_bytes_get_size(row->body);
	GBytes *sent = row->body;

	if (may_compress && size >= COMPRESS_MIN_BYTES && !row->compressed_body)
		row->compressed_body = jh_compress(row->body);
	if (may_compress && row->compressed_body) {
		sent = row->compressed_body;
		copy->uncompressed_bytes = (uint32_t)size;
	}
	copy->body.len = g_bytes_get_size(sent);
	jh_counter_add(&row_bytes_sent_total, (int64_t)copy->body.len);
	copy->body.data = g_memdup2(g_bytes_get_data(sent, NULL), copy->body.len);
}

/* Return: new body of a received row, NULL if it is malformed */
static GBytes *sync_row_get_body(const Jh__MirrorRow *row)
{
	jh_error_t err = JH_ERROR_INIT;
	GBytes *body;

	if (row->uncompressed_bytes == 0)
		return g_bytes_new(row->body.data, row->body.len);
	body = jh_uncompress(row->body.data, row->body.len, row->uncompressed_bytes, ROW_MAX_BYTES,
			     &err);
	if (!body)
		jh_log(JH_LOG_WARNING, "mirror", "row_malformed", "row=%s reason=%s",
		       jh_log_value(row->name), jh_log_value(err.message));
	jh_error_clear(&err);
	return body;
}

static void sync_add_rows(const _jh_mirror_table_t *table, uint64_t after, bool may_compress,
			  GPtrArray *rows)
{
	GHashTableIter iter;
	void *name;
	void *value;

	g_hash_table_iter_init(&iter, table->rows);
	while (g_hash_table_iter_next(&iter, &name, &value)) {
		_jh_mirror_row_t *row = value;
		Jh__MirrorRow *copy;

		/* A row newer than the table's version is this VM's own write; changes before it
		 * may be missing here.
		 */
		if (row->version <= after || row->version > table->version)
			continue;
		copy = g_new0(Jh__MirrorRow, 1);
		jh__mirror_row__init(copy);
		copy->table = table->id;
		copy->name = jh_frame_strdup(name);
		copy->version = row->version;
		copy->dropped = !row->body;
		if (row->body)
			sync_row_set_body(copy, row, may_compress);
		g_ptr_array_add(rows, copy);
	}
}

static void sync_reply(_jh_mirror_t *mirror, const char *vm, const Jh__MirrorSync *request)
{
	Jh__Frame *frame = sync_frame(mirror, request->stamp_us, true, request->with_rows);
	GPtrArray *rows = g_ptr_array_new();
	unsigned i;

	if (can_acknowledge(mirror))
		frame->mirror_sync->lasts_us = MAX(mirror->lease_expiry_us - jh_boot_time_us(), 0);

	for (i = 0; request->with_rows && i < JH_MIRROR_TABLE_COUNT && i < request->n_versions;
	     i++) {
		if (mirror->tables[i].is_complete)
			sync_add_rows(&mirror->tables[i], request->versions[i],
				      request->accepts_compressed, rows);
	}
	frame->mirror_sync->n_rows = rows->len;
	frame->mirror_sync->rows = (Jh__MirrorRow **)g_ptr_array_free(rows, rows->len == 0);
	jh_frame_send(mirror->task, vm, frame);
}

static void sync_request(_jh_mirror_t *mirror, const char *vm, bool with_rows)
{
	jh_frame_send(mirror->task, vm, sync_frame(mirror, jh_boot_time_us(), false, with_rows));
}

/* Requests the rows that this mirror lacks, unless such a request is in progress. */
static void sync_fetch(_jh_mirror_t *mirror, const char *vm)
{
	int64_t now_us = jh_boot_time_us();

	if (mirror->fetch_sent_us != INT64_MIN &&
	    now_us - mirror->fetch_sent_us < FETCH_TIMEOUT_US) {
		mirror->next_fetch_vm = g_intern_string(vm);
		return;
	}
	jh_counter_add(&fetches_total, 1);
	if (mirror->fetch_sent_us != INT64_MIN) {
		jh_counter_add(&fetches_repeated_total, 1);
		jh_log(JH_LOG_NOTICE, "mirror", "fetch_repeated",
		       "vm=%s before=%s waited_ms=%" G_GINT64_FORMAT, jh_log_value(vm),
		       jh_log_value(mirror->fetch_vm), (now_us - mirror->fetch_sent_us) / 1000);
	}
	mirror->fetch_sent_us = now_us;
	mirror->fetch_vm = g_intern_string(vm);
	sync_request(mirror, vm, true);
}

/* Logs a reply to a fetch that took long; its request carried the time at which it was sent. */
static void fetch_log_slow(const char *vm, const Jh__MirrorSync *sync)
{
	int64_t took_us = jh_boot_time_us() - sync->stamp_us;
	size_t bytes = 0;
	unsigned i;

	for (i = 0; i < sync->n_rows; i++)
		bytes += sync->rows[i]->body.len;
	if (took_us > FETCH_LOG_US)
		jh_log(JH_LOG_NOTICE, "mirror", "fetch_slow",
		       "vm=%s rows=%zu bytes=%zu took_ms=%" G_GINT64_FORMAT, jh_log_value(vm),
		       sync->n_rows, bytes, took_us / 1000);
}

static void sync_request_some(_jh_mirror_t *mirror, const GPtrArray *vms, unsigned first,
			      unsigned count)
{
	unsigned i;

	for (i = 0; i < vms->len && count > 0; i++) {
		const char *vm = g_ptr_array_index(vms, (first + i) % vms->len);

		if (g_str_equal(vm, _jh_mirror_self(mirror)))
			continue;
		sync_request(mirror, vm, false);
		count--;
	}
}

void _jh_mirror_sync_voters(_jh_mirror_t *mirror)
{
	sync_request_some(mirror, mirror->voters, 0, mirror->voters->len);
}

void _jh_mirror_sync_fleet(_jh_mirror_t *mirror)
{
	GHashTableIter iter;
	void *name;
	void *value;

	g_hash_table_iter_init(&iter, mirror->tables[JH_MIRROR_FLEET].rows);
	while (g_hash_table_iter_next(&iter, &name, &value)) {
		const char *vm;

		if (!g_str_has_prefix(name, JH_MIRROR_VM_PREFIX) ||
		    !((const _jh_mirror_row_t *)value)->body)
			continue;
		vm = (const char *)name + strlen(JH_MIRROR_VM_PREFIX);
		if (!g_str_equal(vm, _jh_mirror_self(mirror)))
			sync_request(mirror, vm, false);
	}
}

/* Sends the requests of a VM that is no voter, to near voters as far as there are enough. */
static void sync_request_shared_lease(_jh_mirror_t *mirror)
{
	unsigned near_count = MIN(mirror->near_voters->len, NON_VOTER_REQUESTS);
	unsigned other_count = NON_VOTER_REQUESTS - near_count;

	sync_request_some(mirror, mirror->near_voters, mirror->next_near_voter, near_count);
	mirror->next_near_voter += near_count;
	sync_request_some(mirror, mirror->voters, mirror->next_voter, other_count);
	mirror->next_voter = (mirror->next_voter + other_count) % mirror->voters->len;
}

void _jh_mirror_sync_round(_jh_mirror_t *mirror)
{
	/* A voter counts itself towards the quorum, so that one of these replies may be lost. */
	bool is_voter = g_ptr_array_find_with_equal_func(mirror->voters, _jh_mirror_self(mirror),
							 g_str_equal, NULL);
	unsigned count = jh_quorum_size(mirror->voters->len);

	if (mirror->vm_count <= JH_VOTERS_MAX ||
	    mirror->lease_expiry_us < jh_boot_time_us() + LEASE_LOW_US) {
		_jh_mirror_sync_voters(mirror);
		return;
	}
	if (!is_voter) {
		sync_request_shared_lease(mirror);
		return;
	}
	sync_request_some(mirror, mirror->voters, mirror->next_voter, count);
	mirror->next_voter = (mirror->next_voter + count) % mirror->voters->len;
}

static void sync_apply_rows(_jh_mirror_t *mirror, const Jh__MirrorSync *sync)
{
	unsigned i;

	for (i = 0; i < sync->n_rows; i++) {
		const Jh__MirrorRow *row = sync->rows[i];
		GBytes *body;

		if (row->table >= JH_MIRROR_TABLE_COUNT)
			continue;
		body = row->dropped ? NULL : sync_row_get_body(row);
		if (!row->dropped && !body)
			return;
		if (_jh_mirror_apply_row(&mirror->tables[row->table], row->name, row->version,
					 body))
			jh_counter_add(&rows_from_peers_total, 1);
		if (body)
			g_bytes_unref(body);
	}
	for (i = 0; i < JH_MIRROR_TABLE_COUNT && i < sync->n_versions; i++) {
		_jh_mirror_table_t *table = &mirror->tables[i];

		if (sync->versions[i] <= table->version)
			continue;
		table->version = sync->versions[i];
		_jh_mirror_table_on_caught_up(table);
	}
}

static bool has_newer_version(const _jh_mirror_t *mirror, const uint64_t *versions, size_t count)
{
	unsigned i;

	for (i = 0; i < JH_MIRROR_TABLE_COUNT && i < count; i++) {
		if (versions[i] > mirror->tables[i].version)
			return true;
	}
	return false;
}

void _jh_mirror_apply_acks(_jh_mirror_t *mirror)
{
	GHashTableIter iter;
	void *vm;
	void *value;

	g_hash_table_iter_init(&iter, mirror->acks);
	while (g_hash_table_iter_next(&iter, &vm, &value)) {
		const _jh_mirror_ack_t *ack = value;

		if (has_newer_version(mirror, ack->versions, JH_MIRROR_TABLE_COUNT))
			continue;
		jh_mirror_lease_on_vm_ack(mirror->lease, vm, ack->requested_us);
		if (ack->lease_left_us > 0)
			jh_mirror_lease_on_peer_lease(mirror->lease,
						      ack->requested_us + ack->lease_left_us);
		g_hash_table_iter_remove(&iter);
	}
	_jh_mirror_update_lease(mirror);
}

static void ack_store(_jh_mirror_t *mirror, const char *vm, const Jh__MirrorSync *sync)
{
	_jh_mirror_ack_t *ack = g_new0(_jh_mirror_ack_t, 1);
	unsigned i;

	ack->requested_us = sync->stamp_us;
	ack->lease_left_us = CLAMP(sync->lasts_us, 0, JH_LEASE_US);
	for (i = 0; i < JH_MIRROR_TABLE_COUNT && i < sync->n_versions; i++)
		ack->versions[i] = sync->versions[i];
	g_hash_table_replace(mirror->acks, (void *)g_intern_string(vm), ack);
}

static void publish_version(_jh_mirror_t *mirror, const char *vm, const Jh__MirrorSync *sync)
{
	jh_vm_version_msg_t *body;

	if (sync->n_versions <= JH_MIRROR_FLEET)
		return;
	body = g_rc_box_new0(jh_vm_version_msg_t);
	body->vm = vm;
	body->version = sync->versions[JH_MIRROR_FLEET];
	jh_publish(mirror->task, JH_MSG_VM_VERSION, body, NULL);
}

static void sync_handle_reply(_jh_mirror_t *mirror, const char *vm, const Jh__MirrorSync *sync)
{
	if (sync->with_rows) {
		mirror->fetch_sent_us = INT64_MIN;
		fetch_log_slow(vm, sync);
		sync_apply_rows(mirror, sync);
		/* next_fetch_vm reported a higher version during this fetch: it may have later
		 * rows. */
		if (mirror->next_fetch_vm)
			sync_fetch(mirror, g_steal_pointer(&mirror->next_fetch_vm));
		/* The VM that sent the rows may be the leader, which waits until this VM has
		 * acknowledged them; a request carries this VM's versions.
		 */
		if (sync->n_rows > 0)
			sync_request(mirror, vm, false);
	}
	/* A VM that has restarted and has no lease yet does not acknowledge: its previous instance
	 * may have acknowledged a change that the new one has not read.
	 */
	if (sync->confirms)
		ack_store(mirror, vm, sync);
	if (has_newer_version(mirror, sync->versions, sync->n_versions))
		sync_fetch(mirror, vm);
	_jh_mirror_apply_acks(mirror);
}

/* Notes versions that this mirror lacks. */
static void note_reported_versions(_jh_mirror_t *mirror, const Jh__MirrorSync *sync)
{
	unsigned i;

	for (i = 0; i < JH_MIRROR_TABLE_COUNT && i < sync->n_versions; i++) {
		_jh_mirror_table_t *table = &mirror->tables[i];

		if (sync->versions[i] <= table->version)
			continue;
		table->reported_version = MAX(table->reported_version, sync->versions[i]);
		if (table->behind_since_us == 0)
			table->behind_since_us = jh_boot_time_us();
	}
}

void _jh_mirror_handle_sync(_jh_mirror_t *mirror, const jh_frame_msg_t *msg)
{
	const Jh__MirrorSync *sync = msg->frame->mirror_sync;

	publish_version(mirror, msg->vm, sync);
	note_reported_versions(mirror, sync);
	if (sync->is_reply) {
		sync_handle_reply(mirror, msg->vm, sync);
		return;
	}
	sync_reply(mirror, msg->vm, sync);
	if (has_newer_version(mirror, sync->versions, sync->n_versions))
		sync_fetch(mirror, msg->vm);
}
