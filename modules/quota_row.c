/*
 * This VM's share of the teams' rates: reads and writes the row "slots" of the table "quota". Each
 * write follows a read, and writers that lose the race wait for a random time, so that many VMs
 * that start at once get through. decisions/quota_share.c decides what is written.
 */

#include "internal/_jh_quota.h"
#include "jh_counter.h"
#include "jh_log.h"
#include "jh_placement.h"
#include "jh_profile.h"

#include <jansson.h>
#include <string.h>

#define TABLE "quota"
#define ROW "slots"
#define TAG 1u

/* Time between two reads, and while something is to be changed; longer in a large fleet. */
#define READ_INTERVAL_S 2.0
#define CHANGE_INTERVAL_S 0.25
#define VMS_A_READ_INTERVAL 100.0

/* The same where the row is read from the mirror. */
#define MIRROR_INTERVAL_S 0.1

/* A VM's turn at the row while all claim at once: somewhat more than a write takes. */
#define WRITE_TURN_S 0.014

/* Time until a write that lost its race is tried again. */
#define CONFLICT_INTERVAL_S 0.06

/* A graceful shutdown waits no longer than this for the slots to be given up. */
#define DRAIN_US (4 * G_USEC_PER_SEC)

JH_COUNTER(reads_total, "jasminehill_quota_row_reads_total", "reads of the row of quota slots");
JH_COUNTER(writes_total, "jasminehill_quota_row_writes_total", "writes of the row of quota slots");
JH_COUNTER(slots_owned, "jasminehill_quota_slots", "quota slots that this VM uses");

struct _jh_quota_row {
	jh_task_t *task;
	jh_quota_share_t *share;
	_jh_quota_slots_fn_t changed;
	void *data;
	GPtrArray *vms;
	/* Since when the platform's list has lacked an owner, by name. */
	GHashTable *missing;
	ev_timer timer;
	bool pending;
	/* Version of the row as last read, for conditional reads. */
	uint64_t read_version;
	/* What the write under way wrote. */
	jh_quota_row_t *written;
	unsigned slots;
	int64_t drain_us;
};

static int64_t now_us(const _jh_quota_row_t *row)
{
	return jh_kernel_now_us(jh_task_kernel(row->task));
}

static const jh_profile_t *profile(const _jh_quota_row_t *row)
{
	return jh_profile_of(jh_kernel_settings(jh_task_kernel(row->task)));
}

static const char *self(const _jh_quota_row_t *row)
{
	return jh_kernel_settings(jh_task_kernel(row->task))->vm;
}

/* ---- JSON ---- */

static GBytes *row_to_json(const jh_quota_row_t *row)
{
	json_t *owners = json_array();
	json_t *object = json_pack("{s:o}", "owners", owners);
	char *text;
	unsigned i;

	for (i = 0; i < row->owners->len; i++) {
		const jh_quota_owner_t *owner = g_ptr_array_index(row->owners, i);

		json_array_append_new(owners, json_pack("{s:s, s:I, s:i}", "vm", owner->vm, "boot",
							(json_int_t)owner->boot, "slots",
							(int)owner->slots));
	}
	text = json_dumps(object, JSON_COMPACT);
	json_decref(object);
	return g_bytes_new_with_free_func(text, strlen(text), free, text);
}

/* Return: new row, NULL if the text is not one. */
static jh_quota_row_t *row_from_json(GBytes *body)
{
	gsize length = 0;
	const char *text = body ? g_bytes_get_data(body, &length) : NULL;
	json_t *object = text ? json_loadb(text, length, 0, NULL) : NULL;
	json_t *owners = json_object_get(object, "owners");
	jh_quota_row_t *row = json_is_array(owners) ? jh_quota_row_new() : NULL;
	size_t i;

	for (i = 0; row && i < json_array_size(owners); i++) {
		json_t *owner = json_array_get(owners, i);
		const char *vm = json_string_value(json_object_get(owner, "vm"));
		json_int_t boot = json_integer_value(json_object_get(owner, "boot"));
		json_int_t slots = json_integer_value(json_object_get(owner, "slots"));

		if (!vm || slots < 0 || slots > JH_QUOTA_SLOTS ||
		    !jh_quota_row_add(row, vm, (uint64_t)boot, (unsigned)slots))
			g_clear_pointer(&row, jh_quota_row_free);
	}
	json_decref(object);
	return row;
}

/* ---- platform ---- */

static void slots_update(_jh_quota_row_t *row)
{
	unsigned slots = jh_quota_share_slots(row->share);

	if (slots == row->slots)
		return;
	jh_log(JH_LOG_INFO, "quota", "slots_changed", "from=%u to=%u of=%u", row->slots, slots,
	       JH_QUOTA_SLOTS);
	row->slots = slots;
	jh_counter_set(&slots_owned, slots);
	row->changed(row->data, slots);
}

/* VMs that may write the row at once. */
static unsigned count_writers(const _jh_quota_row_t *row)
{
	unsigned vms = row->vms ? row->vms->len : 1;
	unsigned owners = profile(row)->quota_owners;

	return owners > 0 ? MIN(vms, owners) : vms;
}

static double change_interval_s(const _jh_quota_row_t *row)
{
	if (!profile(row)->has_mirror)
		return CHANGE_INTERVAL_S;
	return MAX(MIRROR_INTERVAL_S, count_writers(row) * WRITE_TURN_S);
}

static double read_interval_s(const _jh_quota_row_t *row)
{
	double vms = row->vms ? row->vms->len : 1;

	if (profile(row)->has_mirror)
		return change_interval_s(row);
	return READ_INTERVAL_S * MAX(1, vms / VMS_A_READ_INTERVAL);
}

/* The random part keeps VMs that change the row at once from meeting again and again. */
static void timer_set(_jh_quota_row_t *row, double seconds)
{
	struct ev_loop *loop = jh_task_loop(row->task);

	ev_timer_stop(loop, &row->timer);
	ev_timer_set(&row->timer, seconds * g_random_double_range(0.5, 1.5), 0);
	ev_timer_start(loop, &row->timer);
}

static void row_read(_jh_quota_row_t *row)
{
	row->pending = true;
	jh_counter_add(&reads_total, 1);
	jh_platform_send(row->task, JH_PLATFORM_GET_ROW, TABLE, ROW, row->read_version, NULL, TAG);
}

static void row_decide(_jh_quota_row_t *row)
{
	jh_quota_row_t *next = NULL;
	uint64_t version = 0;
	jh_quota_share_need_t need =
		jh_quota_share_decide(row->share, now_us(row), &version, &next);
	GBytes *body;

	slots_update(row);
	if (need != JH_QUOTA_SHARE_WRITE) {
		timer_set(row, row->drain_us || !jh_quota_share_row(row->share) ?
				       change_interval_s(row) :
				       read_interval_s(row));
		return;
	}
	body = row_to_json(next);
	row->written = next;
	row->pending = true;
	jh_counter_add(&writes_total, 1);
	jh_platform_send(row->task, JH_PLATFORM_PUT_ROW, TABLE, ROW, version, body, TAG);
	g_bytes_unref(body);
}

static bool owner_is_missing(const _jh_quota_row_t *row)
{
	const jh_quota_row_t *known = jh_quota_share_row(row->share);
	unsigned i;

	for (i = 0; known && i < known->owners->len; i++) {
		const jh_quota_owner_t *owner = g_ptr_array_index(known->owners, i);
		const jh_vm_t *vm = jh_vm_find(row->vms, owner->vm);

		if (!vm || vm->state == JH_VM_DEAD)
			return true;
	}
	return false;
}

static void on_timer(struct ev_loop *loop, ev_timer *watcher, int events)
{
	_jh_quota_row_t *row = watcher->data;

	(void)loop;
	(void)events;
	if (row->pending)
		return;
	row_read(row);
	if (owner_is_missing(row))
		jh_platform_send(row->task, JH_PLATFORM_LIST_VMS, NULL, NULL, 0, NULL, TAG);
}

static void take_row(_jh_quota_row_t *row, const jh_platform_reply_t *reply)
{
	jh_quota_row_t *read = NULL;

	if (reply->status == JH_PLATFORM_OK) {
		read = row_from_json(reply->body);
		if (!read) {
			jh_log(JH_LOG_ERROR, "quota", "row_malformed", "version=%" G_GUINT64_FORMAT,
			       reply->version);
			timer_set(row, read_interval_s(row));
			return;
		}
		row->read_version = reply->version;
		jh_quota_share_on_row(row->share, reply->version, read);
	} else if (reply->status == JH_PLATFORM_NOT_FOUND) {
		jh_quota_share_on_row(row->share, 0, NULL);
	} else if (reply->status != JH_PLATFORM_UNCHANGED) {
		timer_set(row, change_interval_s(row) * 2);
		return;
	}
	row_decide(row);
}

/* A write that did not surely succeed is followed by a read. */
static void take_write(_jh_quota_row_t *row, const jh_platform_reply_t *reply)
{
	double writers = count_writers(row);

	if (reply->status == JH_PLATFORM_OK && reply->version > 0) {
		row->read_version = reply->version;
		jh_quota_share_on_row(row->share, reply->version, g_steal_pointer(&row->written));
	}
	g_clear_pointer(&row->written, jh_quota_row_free);
	slots_update(row);
	timer_set(row, (reply->status == JH_PLATFORM_CONFLICT ? CONFLICT_INTERVAL_S :
								change_interval_s(row)) *
			       MAX(1, writers / VMS_A_READ_INTERVAL));
}

static void gone_update(_jh_quota_row_t *row, const json_t *list)
{
	const jh_quota_row_t *known = jh_quota_share_row(row->share);
	GHashTable *listed = g_hash_table_new(g_str_hash, g_str_equal);
	GPtrArray *gone = g_ptr_array_new();
	size_t i;

	for (i = 0; i < json_array_size(list); i++) {
		const char *name =
			json_string_value(json_object_get(json_array_get(list, i), "name"));

		if (name)
			g_hash_table_add(listed, (gpointer)name);
	}
	for (i = 0; known && i < known->owners->len; i++) {
		const jh_quota_owner_t *owner = g_ptr_array_index(known->owners, i);
		const int64_t *since = g_hash_table_lookup(row->missing, owner->vm);
		int64_t now = now_us(row);

		if (g_hash_table_contains(listed, owner->vm))
			g_hash_table_remove(row->missing, owner->vm);
		else if (!since)
			g_hash_table_insert(row->missing, g_strdup(owner->vm),
					    g_memdup2(&now, sizeof(now)));
		else if (now - *since > profile(row)->vm_unlisted_us)
			g_ptr_array_add(gone, owner->vm);
	}
	jh_quota_share_set_unlisted(row->share, gone);
	g_ptr_array_free(gone, TRUE);
	g_hash_table_destroy(listed);
}

static void take_list(_jh_quota_row_t *row, const jh_platform_reply_t *reply)
{
	gsize length = 0;
	const char *text;
	json_t *list;

	if (reply->status != JH_PLATFORM_OK || !reply->body)
		return;
	text = g_bytes_get_data(reply->body, &length);
	list = json_loadb(text, length, 0, NULL);
	if (json_is_array(list))
		gone_update(row, list);
	json_decref(list);
}

void _jh_quota_row_on_reply(_jh_quota_row_t *row, const jh_platform_reply_t *reply)
{
	if (reply->call == JH_PLATFORM_LIST_VMS) {
		take_list(row, reply);
		return;
	}
	row->pending = false;
	if (reply->call == JH_PLATFORM_GET_ROW)
		take_row(row, reply);
	else if (reply->call == JH_PLATFORM_PUT_ROW)
		take_write(row, reply);
}

/* ---- VMs ---- */

static void live_update(_jh_quota_row_t *row)
{
	const jh_vm_t *assigner = jh_placement_choose(row->vms, "quota:slots", NULL);
	GPtrArray *live = g_ptr_array_new();
	unsigned i;

	for (i = 0; row->vms && i < row->vms->len; i++) {
		const jh_vm_t *vm = g_ptr_array_index(row->vms, i);
		bool is_self = g_str_equal(vm->name, self(row));

		if (is_self ? row->drain_us == 0 :
			      vm->state == JH_VM_LIVE || vm->state == JH_VM_SUSPECT)
			g_ptr_array_add(live, vm->name);
	}
	if (profile(row)->quota_owners > 0)
		jh_placement_pick(live, "quota:owners", profile(row)->quota_owners);
	jh_quota_share_set_live(row->share, live);
	jh_quota_share_set_assigner(row->share, assigner && g_str_equal(assigner->name, self(row)));
	g_ptr_array_free(live, TRUE);
}

void _jh_quota_row_on_vms(_jh_quota_row_t *row, const GPtrArray *vms)
{
	g_clear_pointer(&row->vms, g_ptr_array_unref);
	row->vms = g_ptr_array_ref((GPtrArray *)vms);
	live_update(row);
	/* Views change many times a second while a fleet starts; the row must not wait for the
	 * last. */
	if (!row->pending && !ev_is_active(&row->timer))
		timer_set(row, change_interval_s(row));
}

/* ---- life ---- */

_jh_quota_row_t *_jh_quota_row_new(jh_task_t *task, int64_t lease_wait_us,
				   _jh_quota_slots_fn_t changed, void *data)
{
	_jh_quota_row_t *row = g_new0(_jh_quota_row_t, 1);

	row->task = task;
	row->share =
		jh_quota_share_new(self(row), jh_kernel_boot(jh_task_kernel(task)), lease_wait_us);
	row->changed = changed;
	row->data = data;
	row->missing = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	ev_init(&row->timer, on_timer);
	row->timer.data = row;
	return row;
}

void _jh_quota_row_free(_jh_quota_row_t *row)
{
	ev_timer_stop(jh_task_loop(row->task), &row->timer);
	jh_quota_share_free(row->share);
	jh_quota_row_free(row->written);
	g_hash_table_destroy(row->missing);
	g_clear_pointer(&row->vms, g_ptr_array_unref);
	g_free(row);
}

void _jh_quota_row_drain(_jh_quota_row_t *row)
{
	if (profile(row)->has_mirror)
		return;
	row->drain_us = now_us(row);
	live_update(row);
	if (!row->pending)
		timer_set(row, 0);
}

bool _jh_quota_row_is_drained(const _jh_quota_row_t *row)
{
	return profile(row)->has_mirror || jh_quota_share_is_released(row->share) ||
	       now_us(row) > row->drain_us + DRAIN_US;
}

jh_rows_t *_jh_quota_row_show(const _jh_quota_row_t *row)
{
	static const char *const columns[] = { "vm", "slots", "of", NULL };
	const jh_quota_row_t *known = jh_quota_share_row(row->share);
	jh_rows_t *rows = jh_rows_new(columns);
	unsigned i;

	for (i = 0; known && i < known->owners->len; i++) {
		const jh_quota_owner_t *owner = g_ptr_array_index(known->owners, i);
		char *slots = g_strdup_printf("%u", owner->slots);
		char *of = g_strdup_printf("%u", JH_QUOTA_SLOTS);

		jh_rows_add(rows, owner->vm, slots, of);
		g_free(slots);
		g_free(of);
	}
	return rows;
}
