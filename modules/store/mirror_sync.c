#include "internal/mirror.h"

#include "jh_counter.h"

#include <string.h>

/*
 * Comparison with the other VMs' mirrors: a question says up to which version each table is known,
 * the answer up to which the other side knows them, and that it had heard of nothing newer. Rows
 * are asked of one VM at a time: of each change every VM needs one copy, not one from each VM of
 * the council. Until they have come, answers that speak of newer versions confirm nothing.
 */

/* Rows that have not come after half a lease are asked of the next VM that has them. */
#define FETCH_LIMIT_US (JH_LEASE_US / 2)

/* Less of the lease left than this at a round: the round before it failed, so everyone is asked. */
#define HURRY_US (JH_LEASE_US * 55 / 100)

/* VMs of the council that a VM outside asks in a round: one shares its authority, one may be lost.
 */
#define OUTSIDE_ASKS 2u

JH_COUNTER(from_peers_total, "jasminehill_mirror_rows_from_peers_total",
	   "changes of rows learned from other VMs first");

/*
 * This VM's word counts for others once it had authority in this life; not while it knows a write
 * of its own, such as a change of primary, without all before it: its versions do not tell of that
 * yet.
 */
static bool mirror_vouches(const _jh_mirror_t *mirror)
{
	return mirror->until_us != INT64_MIN && mirror->tables[JH_MIRROR_FLEET].written == 0;
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
	sync->confirms = mirror_vouches(mirror);
	sync->n_versions = JH_MIRROR_TABLES;
	sync->versions = g_new0(uint64_t, JH_MIRROR_TABLES);
	for (i = 0; i < JH_MIRROR_TABLES; i++)
		sync->versions[i] = mirror->tables[i].is_complete ? mirror->tables[i].version : 0;
	return frame;
}

static void sync_add_rows(const _jh_mirror_table_t *table, uint64_t after, GPtrArray *rows)
{
	GHashTableIter iter;
	void *name;
	void *value;

	g_hash_table_iter_init(&iter, table->rows);
	while (g_hash_table_iter_next(&iter, &name, &value)) {
		const _jh_mirror_row_t *row = value;
		Jh__MirrorRow *out;

		/* A row that is newer than the table is this VM's own write; what came before it is
		 * not known here.
		 */
		if (row->version <= after || row->version > table->version)
			continue;
		out = g_new0(Jh__MirrorRow, 1);
		jh__mirror_row__init(out);
		out->table = table->id;
		out->name = jh_strdup(name);
		out->version = row->version;
		out->dropped = !row->body;
		if (row->body) {
			out->body.len = g_bytes_get_size(row->body);
			out->body.data =
				g_memdup2(g_bytes_get_data(row->body, NULL), out->body.len);
		}
		g_ptr_array_add(rows, out);
	}
}

static void sync_reply(_jh_mirror_t *mirror, const char *vm, const Jh__MirrorSync *question)
{
	Jh__Frame *frame = sync_frame(mirror, question->stamp_us, true, question->with_rows);
	GPtrArray *rows = g_ptr_array_new();
	unsigned i;

	if (mirror_vouches(mirror))
		frame->mirror_sync->lasts_us = MAX(mirror->until_us - jh_boot_time_us(), 0);

	for (i = 0; question->with_rows && i < JH_MIRROR_TABLES && i < question->n_versions; i++) {
		if (mirror->tables[i].is_complete)
			sync_add_rows(&mirror->tables[i], question->versions[i], rows);
	}
	frame->mirror_sync->n_rows = rows->len;
	frame->mirror_sync->rows = (Jh__MirrorRow **)g_ptr_array_free(rows, rows->len == 0);
	jh_frame_send(mirror->task, vm, frame);
}

static void sync_ask(_jh_mirror_t *mirror, const char *vm, bool with_rows)
{
	jh_frame_send(mirror->task, vm, sync_frame(mirror, jh_boot_time_us(), false, with_rows));
}

/* Ask for the rows that this VM lacks, unless another VM was asked just now. */
static void sync_fetch(_jh_mirror_t *mirror, const char *vm)
{
	int64_t now_us = jh_boot_time_us();

	if (mirror->fetch_us != INT64_MIN && now_us - mirror->fetch_us < FETCH_LIMIT_US) {
		mirror->fetch_next = g_intern_string(vm);
		return;
	}
	mirror->fetch_us = now_us;
	sync_ask(mirror, vm, true);
}

static void sync_ask_council(_jh_mirror_t *mirror, unsigned first, unsigned count)
{
	unsigned i;

	for (i = 0; i < mirror->vms->len && count > 0; i++) {
		const char *vm = g_ptr_array_index(mirror->vms, (first + i) % mirror->vms->len);

		if (g_str_equal(vm, _jh_mirror_self(mirror)))
			continue;
		sync_ask(mirror, vm, false);
		count--;
	}
}

void _jh_mirror_sync_all(_jh_mirror_t *mirror)
{
	sync_ask_council(mirror, 0, mirror->vms->len);
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
			sync_ask(mirror, vm, false);
	}
}

void _jh_mirror_sync_some(_jh_mirror_t *mirror)
{
	bool is_council = g_ptr_array_find_with_equal_func(mirror->vms, _jh_mirror_self(mirror),
							   g_str_equal, NULL);
	unsigned count = is_council ? jh_majority_of(mirror->vms->len) : OUTSIDE_ASKS;

	if (mirror->fleet <= JH_VOTERS_MAX || mirror->until_us < jh_boot_time_us() + HURRY_US) {
		_jh_mirror_sync_all(mirror);
		return;
	}
	sync_ask_council(mirror, mirror->next_voter, count);
	mirror->next_voter = (mirror->next_voter + count) % mirror->vms->len;
}

static void sync_take_rows(_jh_mirror_t *mirror, const Jh__MirrorSync *sync)
{
	unsigned i;

	for (i = 0; i < sync->n_rows; i++) {
		const Jh__MirrorRow *in = sync->rows[i];
		GBytes *body;

		if (in->table >= JH_MIRROR_TABLES)
			continue;
		body = in->dropped ? NULL : g_bytes_new(in->body.data, in->body.len);
		if (_jh_mirror_apply_row(&mirror->tables[in->table], in->name, in->version, body))
			jh_counter_add(&from_peers_total, 1);
		if (body)
			g_bytes_unref(body);
	}
	for (i = 0; i < JH_MIRROR_TABLES && i < sync->n_versions; i++) {
		_jh_mirror_table_t *table = &mirror->tables[i];

		if (sync->versions[i] <= table->version)
			continue;
		table->version = sync->versions[i];
		_jh_mirror_table_on_read(table);
	}
}

static bool versions_are_ahead(const _jh_mirror_t *mirror, const uint64_t *versions, size_t count)
{
	unsigned i;

	for (i = 0; i < JH_MIRROR_TABLES && i < count; i++) {
		if (versions[i] > mirror->tables[i].version)
			return true;
	}
	return false;
}

/* ---- confirmations ---- */

void _jh_mirror_apply_acks(_jh_mirror_t *mirror)
{
	GHashTableIter iter;
	void *vm;
	void *value;

	g_hash_table_iter_init(&iter, mirror->words);
	while (g_hash_table_iter_next(&iter, &vm, &value)) {
		const _jh_mirror_ack_t *word = value;

		if (versions_are_ahead(mirror, word->versions, JH_MIRROR_TABLES))
			continue;
		jh_mirror_lease_on_vm_ack(mirror->authority, vm, word->asked_us);
		if (word->lasts_us > 0)
			jh_mirror_lease_on_peer_lease(mirror->authority,
						      word->asked_us + word->lasts_us);
		g_hash_table_iter_remove(&iter);
	}
	_jh_mirror_update_lease(mirror);
}

static void word_take(_jh_mirror_t *mirror, const char *vm, const Jh__MirrorSync *sync)
{
	_jh_mirror_ack_t *word = g_new0(_jh_mirror_ack_t, 1);
	unsigned i;

	word->asked_us = sync->stamp_us;
	word->lasts_us = CLAMP(sync->lasts_us, 0, JH_LEASE_US);
	for (i = 0; i < JH_MIRROR_TABLES && i < sync->n_versions; i++)
		word->versions[i] = sync->versions[i];
	g_hash_table_replace(mirror->words, (void *)g_intern_string(vm), word);
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

static void sync_take_reply(_jh_mirror_t *mirror, const char *vm, const Jh__MirrorSync *sync)
{
	if (sync->with_rows) {
		mirror->fetch_us = INT64_MIN;
		sync_take_rows(mirror, sync);
		/* It spoke of news while the rows were on their way, maybe of later ones. */
		if (mirror->fetch_next)
			sync_fetch(mirror, g_steal_pointer(&mirror->fetch_next));
		/* Who told of the news may wait to hear that this VM knows. */
		if (sync->n_rows > 0)
			sync_ask(mirror, vm, false);
	}
	/* A VM that has just started may have known of a change that it forgot. */
	if (sync->confirms)
		word_take(mirror, vm, sync);
	if (versions_are_ahead(mirror, sync->versions, sync->n_versions))
		sync_fetch(mirror, vm);
	_jh_mirror_apply_acks(mirror);
}

void _jh_mirror_handle_sync(_jh_mirror_t *mirror, const jh_frame_msg_t *msg)
{
	const Jh__MirrorSync *sync = msg->frame->mirror_sync;

	publish_version(mirror, msg->vm, sync);
	if (sync->is_reply) {
		sync_take_reply(mirror, msg->vm, sync);
		return;
	}
	sync_reply(mirror, msg->vm, sync);
	if (versions_are_ahead(mirror, sync->versions, sync->n_versions))
		sync_fetch(mirror, msg->vm);
}
