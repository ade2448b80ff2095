/*
 * This VM's share of the teams' rates: reads and writes the row "slots" of the platform's table
 * "quota". Each write follows a read. A VM whose write conflicts with another retries after a
 * random delay, so that all writes succeed in the end when many VMs start together.
 * decisions/quota_share.c decides what is written.
 */

#include "internal/_jh_quota.h"
#include "jh_counter.h"
#include "jh_log.h"
#include "jh_placement.h"
#include "jh_profile.h"

#include <jansson.h>
#include <string.h>

#define TABLE_NAME "quota"
#define ROW_NAME "slots"
#define REPLY_TAG 1u

/* Mean time between two reads of the row. */
#define READ_INTERVAL_S 2.0

/* Mean delay before a read while the row is unknown or this VM drains, and after a write. */
#define CHANGE_INTERVAL_S 0.25

/*
 * READ_INTERVAL_S grows with the number of VMs beyond this number, and the delay after a write
 * grows in the same way with the number of writers.
 */
#define VMS_PER_BASE_INTERVAL 100.0

/* Minimum time between reads from the mirror, this VM's full local copy of the store's tables. */
#define MIRROR_INTERVAL_S 0.1

/* Time for each writer if all VMs write at once: somewhat longer than one write takes. */
#define WRITE_TIME_S 0.014

/* Mean delay before the retry of a write that conflicted with another. */
#define CONFLICT_RETRY_S 0.06

/*
 * The row is created once the VM list has not changed for this long, microseconds. While a fleet
 * starts for the first time, each VM knows few others and would take itself for the assigner.
 */
#define LIST_SETTLE_US (300 * INT64_C(1000))

/* Longest time that a graceful shutdown waits for the release of the units. */
#define DRAIN_TIMEOUT_US (4 * G_USEC_PER_SEC)

JH_COUNTER(reads_total, "jasminehill_quota_row_reads_total", "reads of the row of quota slots");
JH_COUNTER(writes_total, "jasminehill_quota_row_writes_total", "writes of the row of quota slots");
JH_COUNTER(units_used, "jasminehill_quota_slots", "quota slots that this VM uses");

struct _jh_quota_row {
	jh_task_t *task;
	jh_quota_share_t *share;
	_jh_quota_units_fn_t on_units;
	void *data;
	GPtrArray *vms;
	int64_t vms_changed_us;
	/* Owner's name to int64_t: since when the platform has not listed the owner. */
	GHashTable *unlisted_since;
	ev_timer timer;
	bool is_call_pending;
	/* Version of the row as last read, for conditional reads. */
	uint64_t read_version;
	/* The pending read began when what it returns was current after the start of this VM. */
	bool is_read_fresh;
	/* The mirror has had a lease: it has every change from before the start of this VM. */
	bool has_lease;
	/* Row that the pending write stores; NULL if no write is pending. */
	jh_quota_row_t *written_row;
	unsigned units;
	int64_t drain_started_us;
};

static int64_t now_us(const _jh_quota_row_t *row)
{
	return jh_kernel_now_us(jh_task_kernel(row->task));
}

static const jh_profile_t *get_profile(const _jh_quota_row_t *row)
{
	return jh_profile_get(jh_kernel_settings(jh_task_kernel(row->task)));
}

static const char *own_name(const _jh_quota_row_t *row)
{
	return jh_kernel_settings(jh_task_kernel(row->task))->vm;
}

/* JSON */

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
							(int)owner->units));
	}
	text = json_dumps(object, JSON_COMPACT);
	json_decref(object);
	return g_bytes_new_with_free_func(text, strlen(text), free, text);
}

/* Return: new row, NULL if @body is not a valid row. */
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
		json_int_t units = json_integer_value(json_object_get(owner, "slots"));

		if (!vm || units < 0 || units > JH_QUOTA_SHARE_UNITS ||
		    !jh_quota_row_add(row, vm, (uint64_t)boot, (unsigned)units))
			g_clear_pointer(&row, jh_quota_row_free);
	}
	json_decref(object);
	return row;
}

/* Platform calls */

static void update_usable_units(_jh_quota_row_t *row)
{
	unsigned units = jh_quota_share_usable_units(row->share);

	if (units == row->units)
		return;
	jh_log(JH_LOG_INFO, "quota", "slots_changed", "from=%u to=%u of=%u", row->units, units,
	       JH_QUOTA_SHARE_UNITS);
	row->units = units;
	jh_counter_set(&units_used, units);
	row->on_units(row->data, units);
}

/* Number of VMs that may write the row at the same time. */
static unsigned count_writers(const _jh_quota_row_t *row)
{
	unsigned vms = row->vms ? row->vms->len : 1;
	unsigned owners = get_profile(row)->max_quota_owners;

	return owners > 0 ? MIN(vms, owners) : vms;
}

static double change_interval_s(const _jh_quota_row_t *row)
{
	if (!get_profile(row)->has_mirror)
		return CHANGE_INTERVAL_S;
	return MAX(MIRROR_INTERVAL_S, count_writers(row) * WRITE_TIME_S);
}

static double read_interval_s(const _jh_quota_row_t *row)
{
	double vms = row->vms ? row->vms->len : 1;

	if (get_profile(row)->has_mirror)
		return change_interval_s(row);
	return READ_INTERVAL_S * MAX(1, vms / VMS_PER_BASE_INTERVAL);
}

/* The random factor prevents VMs that change the row together from conflicting repeatedly. */
static void set_timer(_jh_quota_row_t *row, double seconds)
{
	struct ev_loop *loop = jh_task_loop(row->task);

	ev_timer_stop(loop, &row->timer);
	ev_timer_set(&row->timer, seconds * g_random_double_range(0.5, 1.5), 0);
	ev_timer_start(loop, &row->timer);
}

static void request_row(_jh_quota_row_t *row)
{
	row->is_call_pending = true;
	row->is_read_fresh = !get_profile(row)->has_mirror || row->has_lease;
	jh_counter_add(&reads_total, 1);
	jh_platform_send(row->task, JH_PLATFORM_GET_ROW, TABLE_NAME, ROW_NAME, row->read_version,
			 NULL, REPLY_TAG);
}

static void write_row_if_needed(_jh_quota_row_t *row)
{
	jh_quota_row_t *next = NULL;
	uint64_t version = 0;
	jh_quota_share_need_t need;
	GBytes *body;

	jh_quota_share_set_settled(row->share, now_us(row) - row->vms_changed_us >= LIST_SETTLE_US);
	need = jh_quota_share_decide(row->share, now_us(row), &version, &next);
	update_usable_units(row);
	if (need != JH_QUOTA_SHARE_WRITE) {
		set_timer(row, row->drain_started_us || !jh_quota_share_row(row->share) ?
				       change_interval_s(row) :
				       read_interval_s(row));
		return;
	}
	body = row_to_json(next);
	row->written_row = next;
	row->is_call_pending = true;
	jh_counter_add(&writes_total, 1);
	jh_platform_send(row->task, JH_PLATFORM_PUT_ROW, TABLE_NAME, ROW_NAME, version, body,
			 REPLY_TAG);
	g_bytes_unref(body);
}

static bool has_dead_owner(const _jh_quota_row_t *row)
{
	const jh_quota_row_t *last_row = jh_quota_share_row(row->share);
	unsigned i;

	for (i = 0; last_row && i < last_row->owners->len; i++) {
		const jh_quota_owner_t *owner = g_ptr_array_index(last_row->owners, i);
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
	if (row->is_call_pending)
		return;
	request_row(row);
	if (has_dead_owner(row))
		jh_platform_send(row->task, JH_PLATFORM_LIST_VMS, NULL, NULL, 0, NULL, REPLY_TAG);
}

static void handle_row(_jh_quota_row_t *row, const jh_platform_reply_t *reply)
{
	jh_quota_row_t *read = NULL;

	if (reply->status == JH_PLATFORM_OK) {
		read = row_from_json(reply->body);
		if (!read) {
			jh_log(JH_LOG_ERROR, "quota", "row_malformed", "version=%" G_GUINT64_FORMAT,
			       reply->version);
			set_timer(row, read_interval_s(row));
			return;
		}
		row->read_version = reply->version;
		jh_quota_share_on_row(row->share, reply->version, read);
	} else if (reply->status == JH_PLATFORM_NOT_FOUND) {
		jh_quota_share_on_row(row->share, 0, NULL);
	} else if (reply->status != JH_PLATFORM_UNCHANGED) {
		set_timer(row, change_interval_s(row) * 2);
		return;
	}
	if (row->is_read_fresh)
		jh_quota_share_on_fresh_row(row->share);
	write_row_if_needed(row);
}

/* Sets the timer for the next read, which shows the outcome of a write that may have failed. */
static void handle_write_reply(_jh_quota_row_t *row, const jh_platform_reply_t *reply)
{
	double writers = count_writers(row);

	if (reply->status == JH_PLATFORM_OK && reply->version > 0) {
		row->read_version = reply->version;
		jh_quota_share_on_row(row->share, reply->version,
				      g_steal_pointer(&row->written_row));
	}
	g_clear_pointer(&row->written_row, jh_quota_row_free);
	update_usable_units(row);
	set_timer(row, (reply->status == JH_PLATFORM_CONFLICT ? CONFLICT_RETRY_S :
								change_interval_s(row)) *
			       MAX(1, writers / VMS_PER_BASE_INTERVAL));
}

static void update_unlisted_vms(_jh_quota_row_t *row, const json_t *list)
{
	const jh_quota_row_t *last_row = jh_quota_share_row(row->share);
	GHashTable *listed = g_hash_table_new(g_str_hash, g_str_equal);
	GPtrArray *unlisted = g_ptr_array_new();
	size_t i;

	for (i = 0; i < json_array_size(list); i++) {
		const char *name =
			json_string_value(json_object_get(json_array_get(list, i), "name"));

		if (name)
			g_hash_table_add(listed, (gpointer)name);
	}
	for (i = 0; last_row && i < last_row->owners->len; i++) {
		const jh_quota_owner_t *owner = g_ptr_array_index(last_row->owners, i);
		const int64_t *since = g_hash_table_lookup(row->unlisted_since, owner->vm);
		int64_t now = now_us(row);

		if (g_hash_table_contains(listed, owner->vm))
			g_hash_table_remove(row->unlisted_since, owner->vm);
		else if (!since)
			g_hash_table_insert(row->unlisted_since, g_strdup(owner->vm),
					    g_memdup2(&now, sizeof(now)));
		else if (now - *since > get_profile(row)->vm_unlisted_us)
			g_ptr_array_add(unlisted, owner->vm);
	}
	jh_quota_share_set_unlisted(row->share, unlisted);
	g_ptr_array_free(unlisted, TRUE);
	g_hash_table_destroy(listed);
}

static void handle_vm_list(_jh_quota_row_t *row, const jh_platform_reply_t *reply)
{
	gsize length = 0;
	const char *text;
	json_t *list;

	if (reply->status != JH_PLATFORM_OK || !reply->body)
		return;
	text = g_bytes_get_data(reply->body, &length);
	list = json_loadb(text, length, 0, NULL);
	if (json_is_array(list))
		update_unlisted_vms(row, list);
	json_decref(list);
}

void _jh_quota_row_on_reply(_jh_quota_row_t *row, const jh_platform_reply_t *reply)
{
	if (reply->call == JH_PLATFORM_LIST_VMS) {
		handle_vm_list(row, reply);
		return;
	}
	row->is_call_pending = false;
	if (reply->call == JH_PLATFORM_GET_ROW)
		handle_row(row, reply);
	else if (reply->call == JH_PLATFORM_PUT_ROW)
		handle_write_reply(row, reply);
}

void _jh_quota_row_on_lease(_jh_quota_row_t *row)
{
	row->has_lease = true;
}

/* VMs */

static void update_live_vms(_jh_quota_row_t *row)
{
	const jh_vm_t *assigner = jh_placement_choose(row->vms, "quota:slots", NULL);
	GPtrArray *live = g_ptr_array_new();
	unsigned i;

	for (i = 0; row->vms && i < row->vms->len; i++) {
		const jh_vm_t *vm = g_ptr_array_index(row->vms, i);
		bool is_self = g_str_equal(vm->name, own_name(row));

		if (is_self ? row->drain_started_us == 0 :
			      vm->state == JH_VM_LIVE || vm->state == JH_VM_SUSPECT)
			g_ptr_array_add(live, vm->name);
	}
	if (get_profile(row)->max_quota_owners > 0)
		jh_placement_pick(live, "quota:owners", get_profile(row)->max_quota_owners);
	jh_quota_share_set_live(row->share, live);
	jh_quota_share_set_assigner(row->share,
				    assigner && g_str_equal(assigner->name, own_name(row)));
	g_ptr_array_free(live, TRUE);
}

void _jh_quota_row_on_vms(_jh_quota_row_t *row, const GPtrArray *vms)
{
	if (!row->vms || row->vms->len != vms->len)
		row->vms_changed_us = now_us(row);
	g_clear_pointer(&row->vms, g_ptr_array_unref);
	row->vms = g_ptr_array_ref((GPtrArray *)vms);
	update_live_vms(row);
	/*
	 * A running timer is not restarted: while a fleet starts, the VM list changes many times
	 * per second, and the restarts would delay the read of the row until the last change.
	 */
	if (!row->is_call_pending && !ev_is_active(&row->timer))
		set_timer(row, change_interval_s(row));
}

/* Create, drain and free */

_jh_quota_row_t *_jh_quota_row_new(jh_task_t *task, int64_t lease_wait_us,
				   _jh_quota_units_fn_t on_units, void *data)
{
	_jh_quota_row_t *row = g_new0(_jh_quota_row_t, 1);

	row->task = task;
	row->share = jh_quota_share_new(own_name(row), jh_kernel_boot(jh_task_kernel(task)),
					lease_wait_us);
	row->on_units = on_units;
	row->data = data;
	row->unlisted_since = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	ev_init(&row->timer, on_timer);
	row->timer.data = row;
	return row;
}

void _jh_quota_row_free(_jh_quota_row_t *row)
{
	ev_timer_stop(jh_task_loop(row->task), &row->timer);
	jh_quota_share_free(row->share);
	jh_quota_row_free(row->written_row);
	g_hash_table_destroy(row->unlisted_since);
	g_clear_pointer(&row->vms, g_ptr_array_unref);
	g_free(row);
}

void _jh_quota_row_drain(_jh_quota_row_t *row)
{
	if (get_profile(row)->has_mirror)
		return;
	row->drain_started_us = now_us(row);
	update_live_vms(row);
	if (!row->is_call_pending)
		set_timer(row, 0);
}

bool _jh_quota_row_is_drained(const _jh_quota_row_t *row)
{
	return get_profile(row)->has_mirror || jh_quota_share_is_released(row->share) ||
	       now_us(row) > row->drain_started_us + DRAIN_TIMEOUT_US;
}

jh_rows_t *_jh_quota_row_show(const _jh_quota_row_t *row)
{
	static const char *const columns[] = { "vm", "slots", "of", NULL };
	const jh_quota_row_t *last_row = jh_quota_share_row(row->share);
	jh_rows_t *rows = jh_rows_new(columns);
	unsigned i;

	for (i = 0; last_row && i < last_row->owners->len; i++) {
		const jh_quota_owner_t *owner = g_ptr_array_index(last_row->owners, i);
		char *units = g_strdup_printf("%u", owner->units);
		char *of = g_strdup_printf("%u", JH_QUOTA_SHARE_UNITS);

		jh_rows_add(rows, owner->vm, units, of);
		g_free(units);
		g_free(of);
	}
	return rows;
}
