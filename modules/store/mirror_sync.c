#include "internal/mirror.h"

#include "jh_counter.h"

/*
 * Comparison with the other VMs' mirrors: a question says up to which version each table is known;
 * the answer carries the rows that the asker lacks, and confirms that there were no others.
 */

JH_COUNTER(from_peers_total, "jasminehill_mirror_rows_from_peers_total",
	   "changes of rows learned from other VMs first");

static Jh__Frame *sync_frame(const _jh_mirror_t *mirror, int64_t stamp_us, bool is_reply)
{
	Jh__Frame *frame = jh_frame_new(JH__FRAME__BODY_MIRROR_SYNC);
	Jh__MirrorSync *sync = frame->mirror_sync;
	unsigned i;

	sync->stamp_us = stamp_us;
	sync->is_reply = is_reply;
	sync->confirms = mirror->until_us != INT64_MIN;
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

		if (row->version <= after)
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
	Jh__Frame *frame = sync_frame(mirror, question->stamp_us, true);
	GPtrArray *rows = g_ptr_array_new();
	unsigned i;

	for (i = 0; i < JH_MIRROR_TABLES && i < question->n_versions; i++) {
		if (mirror->tables[i].is_complete)
			sync_add_rows(&mirror->tables[i], question->versions[i], rows);
	}
	frame->mirror_sync->n_rows = rows->len;
	frame->mirror_sync->rows = (Jh__MirrorRow **)g_ptr_array_free(rows, rows->len == 0);
	jh_frame_send(mirror->task, vm, frame);
}

static void sync_ask(_jh_mirror_t *mirror, const char *vm)
{
	jh_frame_send(mirror->task, vm, sync_frame(mirror, jh_boot_time_us(), false));
}

void _jh_mirror_sync_all(_jh_mirror_t *mirror)
{
	unsigned i;

	for (i = 0; i < mirror->vms->len; i++) {
		const char *vm = g_ptr_array_index(mirror->vms, i);

		if (!g_str_equal(vm, _jh_mirror_self(mirror)))
			sync_ask(mirror, vm);
	}
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
		if (_jh_mirror_take_row(&mirror->tables[in->table], in->name, in->version, body))
			jh_counter_add(&from_peers_total, 1);
		if (body)
			g_bytes_unref(body);
	}
	for (i = 0; i < JH_MIRROR_TABLES && i < sync->n_versions; i++) {
		_jh_mirror_table_t *table = &mirror->tables[i];

		if (sync->versions[i] <= table->version)
			continue;
		table->version = sync->versions[i];
		_jh_mirror_table_is_read(table);
	}
}

static bool sync_is_ahead(const _jh_mirror_t *mirror, const Jh__MirrorSync *sync)
{
	unsigned i;

	for (i = 0; i < JH_MIRROR_TABLES && i < sync->n_versions; i++) {
		if (sync->versions[i] > mirror->tables[i].version)
			return true;
	}
	return false;
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

void _jh_mirror_take_sync(_jh_mirror_t *mirror, const jh_frame_msg_t *msg)
{
	const Jh__MirrorSync *sync = msg->frame->mirror_sync;

	publish_version(mirror, msg->vm, sync);
	if (sync->is_reply) {
		sync_take_rows(mirror, sync);
		/* Who told of the news may wait to hear that this VM knows. */
		if (sync->n_rows > 0)
			sync_ask(mirror, msg->vm);
		/* A VM that has just started may have known of a change that it forgot. */
		if (sync->confirms)
			jh_authority_on_vm(mirror->authority, msg->vm, sync->stamp_us);
		_jh_mirror_update_authority(mirror);
		return;
	}
	sync_reply(mirror, msg->vm, sync);
	if (sync_is_ahead(mirror, sync))
		sync_ask(mirror, msg->vm);
}
