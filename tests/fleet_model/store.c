#include "model.h"

#include "internal/mirror.h"
#include "virtual_loop.h"

#include <string.h>

/*
 * The store of the model, and the platform task of each VM, which here calls it without HTTP. The
 * task keeps the rules of modules/platform.c: time-outs, eras, and a write without an answer has an
 * unknown outcome.
 */

#define READ_TIMEOUT_US (2000 * INT64_C(1000))
#define WRITE_TIMEOUT_US (2000 * INT64_C(1000))
#define FEED_EXTRA_TIMEOUT_US (1500 * INT64_C(1000))
#define CONNECT_TIMEOUT_US (1000 * INT64_C(1000))

/* Time for one way between a VM and the store, and of a transaction, microseconds. */
#define STORE_DELAY_MIN_US 300
#define STORE_DELAY_MAX_US 2500
#define TRANSACTION_US 8000

/* A write whose answer is lost may be carried out as late as this, microseconds. */
#define LATE_WRITE_MAX_US 6000000

typedef struct call {
	unsigned vm;
	unsigned instance;
	jh_handle_t from;
	jh_platform_call_t kind;
	jh_mirror_table_t table;
	char *name;
	uint64_t version;
	GPtrArray *writes;
	uint32_t wait_ms;
	uint64_t tag;
	/* Newest era that the VM knew when the call was sent; 0 if it knew none. */
	uint64_t sent_era;
	bool is_done;
} call_t;

/* An answer on its way to a VM. */
typedef struct answer {
	call_t *call;
	jh_platform_status_t status;
	uint64_t era;
	uint64_t version;
	GPtrArray *rows;
	bool has_more;
} answer_t;

static void call_clear(void *data)
{
	call_t *call = data;

	g_free(call->name);
	if (call->writes)
		g_ptr_array_unref(call->writes);
}

static void call_unref(void *call)
{
	g_rc_box_release_full(call, call_clear);
}

/* ---- Rows ---- */

static void row_free(void *data)
{
	store_row_t *row = data;

	if (row->body)
		g_bytes_unref(row->body);
	g_free(row);
}

static uint64_t store_version(const store_t *store)
{
	return jh_store_version(store->era, store->number);
}

static store_row_t *row_find(jh_mirror_table_t table, const char *name)
{
	return g_hash_table_lookup(model.store->tables[table], name);
}

/* Takes a reference of @body, NULL to drop the row. */
static void row_set(jh_mirror_table_t table, const char *name, uint64_t version, GBytes *body)
{
	store_row_t *row = g_new0(store_row_t, 1);

	row->version = version;
	row->body = body ? g_bytes_ref(body) : NULL;
	g_hash_table_replace(model.store->tables[table], g_strdup(name), row);
}

store_t *store_new(unsigned page_rows)
{
	store_t *store = g_new0(store_t, 1);
	unsigned i;

	for (i = 0; i < JH_MIRROR_TABLE_COUNT; i++)
		store->tables[i] = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, row_free);
	store->era = 1;
	store->feeds = g_ptr_array_new_with_free_func(call_unref);
	store->page_rows = page_rows;
	return store;
}

void store_free(store_t *store)
{
	unsigned i;

	if (!store)
		return;
	for (i = 0; i < JH_MIRROR_TABLE_COUNT; i++)
		g_hash_table_destroy(store->tables[i]);
	g_ptr_array_free(store->feeds, TRUE);
	store_free(store->copy);
	g_free(store);
}

static int compare_names(const void *a, const void *b)
{
	return strcmp((*(jh_store_row_t *const *)a)->name, (*(jh_store_row_t *const *)b)->name);
}

static int compare_versions(const void *a, const void *b)
{
	uint64_t left = (*(jh_store_row_t *const *)a)->version;
	uint64_t right = (*(jh_store_row_t *const *)b)->version;

	return left < right ? -1 : left > right;
}

/* Return: new array of the rows later than @after, dropped ones only if @with_dropped */
static GPtrArray *find_rows(jh_mirror_table_t table, uint64_t after, bool with_dropped)
{
	GPtrArray *found = g_ptr_array_new_with_free_func(jh_store_row_free);
	GHashTableIter iter;
	void *name;
	void *value;

	g_hash_table_iter_init(&iter, model.store->tables[table]);
	while (g_hash_table_iter_next(&iter, &name, &value)) {
		const store_row_t *row = value;

		if (row->version > after && (row->body || with_dropped))
			g_ptr_array_add(found, jh_store_row_new(name, row->version, row->body));
	}
	g_ptr_array_sort(found, with_dropped ? compare_versions : compare_names);
	return found;
}

/* ---- Answers ---- */

static vm_t *call_vm(const call_t *call)
{
	vm_t *vm = &model.vms[call->vm];

	return vm->kernel && vm->instance == call->instance && !call->is_done ? vm : NULL;
}

static void reply_post(vm_t *vm, const call_t *call, jh_platform_status_t status, uint64_t version,
		       GPtrArray *rows, bool has_more)
{
	jh_platform_reply_t *reply = g_rc_box_new0(jh_platform_reply_t);

	reply->call = call->kind;
	reply->tag = call->tag;
	reply->status = status;
	reply->version = version;
	reply->rows = rows;
	reply->has_more = has_more;
	jh_post(vm->platform, call->from, JH_MSG_PLATFORM_REPLY, reply, jh_platform_reply_clear);
	virtual_loop_wake(jh_kernel_loop(vm->kernel));
}

/* Ends a call without an answer of the store. */
static void call_fail(call_t *call, jh_platform_status_t status)
{
	vm_t *vm = call_vm(call);

	g_ptr_array_remove(model.store->feeds, call);
	if (vm)
		reply_post(vm, call, status, 0, NULL, false);
	call->is_done = true;
}

static jh_platform_status_t status_without_answer(const call_t *call)
{
	return jh_platform_call_is_write(call->kind) ? JH_PLATFORM_UNKNOWN :
						       JH_PLATFORM_UNAVAILABLE;
}

static void on_timeout(void *data)
{
	call_t *call = data;

	if (!call->is_done)
		call_fail(call, status_without_answer(call));
	call_unref(call);
}

static void on_connect_timeout(void *data)
{
	call_t *call = data;

	if (!call->is_done)
		call_fail(call, JH_PLATFORM_UNAVAILABLE);
	call_unref(call);
}

static void answer_free(void *data)
{
	answer_t *answer = data;

	call_unref(answer->call);
	if (answer->rows)
		g_ptr_array_unref(answer->rows);
	g_free(answer);
}

/* Ends the VM's other feeds: the store has forgotten them with its earlier era. */
static void vm_raise_era(vm_t *vm, uint64_t era, const call_t *current)
{
	bool had_era = vm->era != 0;
	unsigned i = 0;

	vm->era = era;
	while (had_era && i < model.store->feeds->len) {
		call_t *feed = g_ptr_array_index(model.store->feeds, i);

		if (feed != current && call_vm(feed) == vm) {
			call_fail(feed, JH_PLATFORM_HISTORY_LOST);
		} else {
			i++;
		}
	}
}

static jh_platform_status_t status_across_eras(const call_t *call)
{
	if (jh_platform_call_is_write(call->kind))
		return JH_PLATFORM_UNKNOWN;
	if (call->kind == JH_PLATFORM_FEED)
		return JH_PLATFORM_HISTORY_LOST;
	return call->name ? JH_PLATFORM_UNAVAILABLE : JH_PLATFORM_OK;
}

static void on_answer(void *data)
{
	answer_t *answer = data;
	call_t *call = answer->call;
	vm_t *vm = call_vm(call);

	if (!vm || model.store_cut[call->vm] > 0)
		goto done;
	if (answer->era > 0 && answer->era < vm->era)
		answer->status = status_without_answer(call);
	if (answer->era > vm->era)
		vm_raise_era(vm, answer->era, call);
	if (answer->status == JH_PLATFORM_OK && call->sent_era != 0 && answer->era > call->sent_era)
		answer->status = status_across_eras(call);
	reply_post(vm, call, answer->status, answer->version, g_steal_pointer(&answer->rows),
		   answer->has_more);
	call->is_done = true;
done:
	answer_free(answer);
}

static int64_t one_way_us(void)
{
	return g_random_int_range(STORE_DELAY_MIN_US, STORE_DELAY_MAX_US) +
	       (int64_t)model.slow_ms * 500;
}

/* Consumes @rows. */
static void call_answer(call_t *call, jh_platform_status_t status, GPtrArray *rows, bool has_more)
{
	answer_t *answer = g_new0(answer_t, 1);

	answer->call = g_rc_box_acquire(call);
	answer->status = status;
	/* The interface for promotions is not the store: its answers tell no era. */
	if (call->kind != JH_PLATFORM_PROMOTE) {
		answer->era = model.store->era;
		answer->version = store_version(model.store);
	}
	answer->rows = rows;
	answer->has_more = has_more;
	virtual_call_at(virtual_now_us() + one_way_us(), on_answer, answer, answer_free);
}

/* ---- Calls ---- */

static void answer_scan(call_t *call)
{
	GPtrArray *rows = find_rows(call->table, 0, false);
	bool has_more;

	while (call->name && rows->len > 0 &&
	       strcmp(((jh_store_row_t *)g_ptr_array_index(rows, 0))->name, call->name) <= 0)
		g_ptr_array_remove_index(rows, 0);
	has_more = rows->len > model.store->page_rows;
	if (has_more)
		g_ptr_array_set_size(rows, (int)model.store->page_rows);
	call_answer(call, JH_PLATFORM_OK, rows, has_more);
}

/* Return: true if the feed is answered now */
static bool answer_feed(call_t *call, bool must_answer)
{
	GPtrArray *rows;

	if (call->version < model.store->dropped_version) {
		call_answer(call, JH_PLATFORM_HISTORY_LOST, NULL, false);
		return true;
	}
	rows = find_rows(call->table, call->version, true);
	if (rows->len == 0 && !must_answer) {
		g_ptr_array_unref(rows);
		return false;
	}
	call_answer(call, JH_PLATFORM_OK, rows, false);
	return true;
}

static void on_feed_deadline(void *data)
{
	call_t *call = data;

	if (!call->is_done && g_ptr_array_remove(model.store->feeds, call))
		answer_feed(call, true);
	call_unref(call);
}

/* Return: whether the store neither answers the VM nor rejects it */
static bool is_silent_to(unsigned vm)
{
	return model.silent[vm] > 0;
}

static void flush_feeds(void)
{
	unsigned i = 0;

	if (virtual_now_us() < model.store->muted_until_us || model.is_away)
		return;
	while (i < model.store->feeds->len) {
		call_t *feed = g_ptr_array_index(model.store->feeds, i);

		if (!is_silent_to(feed->vm) && answer_feed(feed, false)) {
			g_ptr_array_remove_index(model.store->feeds, i);
		} else {
			i++;
		}
	}
}

static bool writes_are_expected(const call_t *call)
{
	unsigned i;

	for (i = 0; i < call->writes->len; i++) {
		const jh_store_write_t *write = g_ptr_array_index(call->writes, i);
		const store_row_t *row = row_find(call->table, write->name);

		if (write->version != JH_STORE_ANY_VERSION &&
		    write->version != (row && row->body ? row->version : 0))
			return false;
	}
	return true;
}

static bool apply_writes(const call_t *call)
{
	unsigned i;

	if (!writes_are_expected(call))
		return false;
	model.store->number++;
	for (i = 0; i < call->writes->len; i++) {
		const jh_store_write_t *write = g_ptr_array_index(call->writes, i);

		if (write->type != JH_STORE_CHECK)
			row_set(call->table, write->name, store_version(model.store), write->body);
	}
	flush_feeds();
	return true;
}

static void on_late_write(void *data)
{
	call_t *call = data;

	if (!model.is_away && call->sent_era == model.store->era)
		apply_writes(call);
	call_unref(call);
}

static void on_transaction(void *data)
{
	call_t *call = data;
	bool is_lost = g_random_int_range(0, 100) < (int)model.loses_percent;

	if (model.is_away || is_silent_to(call->vm))
		goto done;
	if (is_lost && g_random_int_range(0, 100) < (int)model.late_percent) {
		virtual_call_at(virtual_now_us() + g_random_int_range(1, LATE_WRITE_MAX_US),
				on_late_write, g_rc_box_acquire(call), call_unref);
		goto done;
	}
	if (!apply_writes(call))
		call_answer(call, JH_PLATFORM_CONFLICT, NULL, false);
	else if (!is_lost)
		call_answer(call, JH_PLATFORM_OK, NULL, false);
done:
	call_unref(call);
}

static void on_arrival(void *data)
{
	call_t *call = data;
	bool is_check = call->kind == JH_PLATFORM_FEED && call->wait_ms == 0 &&
			call->tag != JH_MIRROR_LEASE_READ_TAG;

	model.result.store_calls++;
	if (model.store_cut[call->vm] > 0) {
		virtual_call_at(virtual_now_us() + CONNECT_TIMEOUT_US, on_connect_timeout,
				g_rc_box_acquire(call), call_unref);
	} else if (model.is_away || model.rejected[call->vm] > 0) {
		call_answer(call, JH_PLATFORM_UNAVAILABLE, NULL, false);
	} else if (is_silent_to(call->vm) || (is_check && model.run->without_checks)) {
		/* The VM's own time-out ends the call. */
	} else if (call->kind == JH_PLATFORM_SCAN) {
		answer_scan(call);
	} else if (call->kind == JH_PLATFORM_FEED) {
		if (answer_feed(call, call->wait_ms == 0))
			goto done;
		g_ptr_array_add(model.store->feeds, g_rc_box_acquire(call));
		virtual_call_at(virtual_now_us() + (int64_t)call->wait_ms * 1000, on_feed_deadline,
				g_rc_box_acquire(call), call_unref);
	} else if (call->kind == JH_PLATFORM_COMMIT) {
		virtual_call_at(virtual_now_us() + TRANSACTION_US + (int64_t)model.slow_ms * 500,
				on_transaction, g_rc_box_acquire(call), call_unref);
	} else {
		call_answer(call, JH_PLATFORM_UNAVAILABLE, NULL, false);
	}
done:
	call_unref(call);
}

/* ---- The platform task of a VM ---- */

static bool table_find(const char *name, jh_mirror_table_t *table)
{
	unsigned i;

	for (i = 0; i < JH_MIRROR_TABLE_COUNT; i++) {
		if (g_strcmp0(name, jh_mirror_table_name(i)) == 0) {
			*table = i;
			return true;
		}
	}
	return false;
}

static call_t *call_new(const vm_t *vm, jh_handle_t from, const jh_platform_request_t *request)
{
	call_t *call = g_rc_box_new0(call_t);

	call->vm = vm->index;
	call->instance = vm->instance;
	call->from = from;
	call->kind = request->call;
	table_find(request->table, &call->table);
	call->name = g_strdup(request->name);
	call->version = request->version;
	call->writes = request->writes ? g_ptr_array_ref(request->writes) : NULL;
	call->wait_ms = request->wait_ms;
	call->tag = request->tag;
	call->sent_era = vm->era;
	return call;
}

static bool version_is_outdated(const vm_t *vm, uint64_t version)
{
	return version != 0 && version != JH_STORE_ANY_VERSION &&
	       jh_store_version_era(version) < vm->era;
}

static bool request_is_outdated(const vm_t *vm, const jh_platform_request_t *request)
{
	bool is_outdated = version_is_outdated(vm, request->version);
	unsigned i;

	for (i = 0; request->writes && i < request->writes->len; i++)
		is_outdated |= version_is_outdated(
			vm, ((jh_store_write_t *)g_ptr_array_index(request->writes, i))->version);
	return is_outdated;
}

/* Open calls of all VMs, so that a feed that the store has forgotten can be ended. */
static GPtrArray *open_feeds;

static void platform_call(vm_t *vm, jh_handle_t from, const jh_platform_request_t *request)
{
	int64_t timeout_us = READ_TIMEOUT_US;
	call_t *call = call_new(vm, from, request);

	if (request_is_outdated(vm, request)) {
		reply_post(vm, call,
			   jh_platform_call_is_write(request->call) ? JH_PLATFORM_CONFLICT :
								      JH_PLATFORM_HISTORY_LOST,
			   0, NULL, false);
		call_unref(call);
		return;
	}
	if (call->kind == JH_PLATFORM_FEED)
		timeout_us = (int64_t)call->wait_ms * 1000 + FEED_EXTRA_TIMEOUT_US;
	else if (jh_platform_call_is_write(call->kind))
		timeout_us = WRITE_TIMEOUT_US;
	if (call->kind == JH_PLATFORM_FEED && call->wait_ms > 0)
		g_ptr_array_add(open_feeds, g_rc_box_acquire(call));
	virtual_call_at(virtual_now_us() + timeout_us, on_timeout, g_rc_box_acquire(call),
			call_unref);
	virtual_call_at(virtual_now_us() + one_way_us(), on_arrival, call, call_unref);
}

static void end_feed(const vm_t *vm, jh_handle_t from, uint64_t tag)
{
	unsigned i = 0;

	while (i < open_feeds->len) {
		call_t *call = g_ptr_array_index(open_feeds, i);

		if (call_vm(call) == vm && call->from == from && call->tag == tag)
			call_fail(call, JH_PLATFORM_UNAVAILABLE);
		if (call->is_done || !call_vm(call))
			g_ptr_array_remove_index_fast(open_feeds, i);
		else
			i++;
	}
}

typedef struct promotion {
	call_t *call;
	char *group;
	char *member;
	char *holder;
	uint64_t fence;
} promotion_t;

static void promotion_free(void *data)
{
	promotion_t *promotion = data;

	call_unref(promotion->call);
	g_free(promotion->group);
	g_free(promotion->member);
	g_free(promotion->holder);
	g_free(promotion);
}

static void on_promotion(void *data)
{
	promotion_t *promotion = data;
	bool is_running = member_promote(promotion->group, promotion->member, promotion->holder,
					 promotion->fence);

	call_answer(promotion->call, is_running ? JH_PLATFORM_OK : JH_PLATFORM_CONFLICT, NULL,
		    false);
	promotion_free(promotion);
}

static void platform_promote(const vm_t *vm, jh_handle_t from, const jh_platform_request_t *request)
{
	promotion_t *promotion = g_new0(promotion_t, 1);

	promotion->call = call_new(vm, from, request);
	promotion->group = g_strdup(request->table);
	promotion->member = g_strdup(request->name);
	promotion->holder = g_strdup(request->holder);
	promotion->fence = request->fence;
	virtual_call_at(virtual_now_us() + one_way_us(), on_promotion, promotion, promotion_free);
	virtual_call_at(virtual_now_us() + WRITE_TIMEOUT_US, on_timeout,
			g_rc_box_acquire(promotion->call), call_unref);
}

static int platform_init(jh_task_t *task, jh_error_t *err)
{
	vm_t *vm = vm_of_task(task);

	(void)err;
	vm->platform = task;
	if (!open_feeds)
		open_feeds = g_ptr_array_new_with_free_func(call_unref);
	return 0;
}

static void platform_on_message(jh_task_t *task, const jh_msg_t *msg)
{
	vm_t *vm = vm_of_task(task);
	const jh_platform_request_t *request = msg->body;

	if (msg->type != JH_MSG_PLATFORM_REQUEST)
		return;
	if (request->call == JH_PLATFORM_END_FEED)
		end_feed(vm, msg->from, request->tag);
	else if (request->call == JH_PLATFORM_PROMOTE)
		platform_promote(vm, msg->from, request);
	else
		platform_call(vm, msg->from, request);
}

static void platform_fini(jh_task_t *task)
{
	(void)task;
}

const jh_module_t model_platform_module = {
	.name = "platform",
	.subscriptions = { JH_MSG_TYPE_COUNT },
	.init = platform_init,
	.on_message = platform_on_message,
	.fini = platform_fini,
};

void store_end(void)
{
	g_clear_pointer(&open_feeds, g_ptr_array_unref);
}

/* ---- Faults and other writers ---- */

void store_write(jh_mirror_table_t table, const char *name, const char *text)
{
	GBytes *body = text ? g_bytes_new(text, strlen(text)) : NULL;

	model.store->number++;
	row_set(table, name, store_version(model.store), body);
	if (body)
		g_bytes_unref(body);
	flush_feeds();
}

void store_forget_feeds(uint64_t vms)
{
	unsigned i = 0;

	while (i < model.store->feeds->len) {
		call_t *feed = g_ptr_array_index(model.store->feeds, i);

		if (model_is_concerned(vms, feed->vm)) {
			g_ptr_array_remove_index(model.store->feeds, i);
		} else {
			i++;
		}
	}
}

void store_compact(void)
{
	unsigned i;

	model.store->dropped_version = store_version(model.store);
	for (i = 0; i < model.store->feeds->len; i++) {
		call_t *feed = g_ptr_array_index(model.store->feeds, i);

		if (!is_silent_to(feed->vm) && !model.is_away)
			call_answer(feed, JH_PLATFORM_HISTORY_LOST, NULL, false);
	}
	store_forget_feeds(ALL_VMS);
}

unsigned store_find_leader(void)
{
	const store_row_t *row = row_find(JH_MIRROR_FLEET, "lead");
	gsize size = 0;
	const char *text = row && row->body ? g_bytes_get_data(row->body, &size) : NULL;
	unsigned i;

	for (i = 0; text && i < model.run->vms; i++) {
		if (g_strstr_len(text, (gssize)size, model.vms[i].name))
			return i;
	}
	return VMS_MAX;
}

void store_make_copy(void)
{
	store_t *copy = store_new(0);
	unsigned i;

	for (i = 0; i < JH_MIRROR_TABLE_COUNT; i++) {
		GHashTableIter iter;
		void *name;
		void *value;

		g_hash_table_iter_init(&iter, model.store->tables[i]);
		while (g_hash_table_iter_next(&iter, &name, &value)) {
			const store_row_t *row = value;
			store_row_t *row_copy = g_new0(store_row_t, 1);

			row_copy->version = row->version;
			row_copy->body = row->body ? g_bytes_ref(row->body) : NULL;
			g_hash_table_insert(copy->tables[i], g_strdup(name), row_copy);
		}
	}
	copy->number = model.store->number;
	store_free(model.store->copy);
	model.store->copy = copy;
}

void store_restore_copy(void)
{
	store_t *copy = g_steal_pointer(&model.store->copy);
	unsigned i;

	if (!copy)
		return;
	store_forget_feeds(ALL_VMS);
	model.store->era++;
	model.store->number = copy->number;
	for (i = 0; i < JH_MIRROR_TABLE_COUNT; i++) {
		GHashTableIter iter;
		void *value;

		g_hash_table_iter_init(&iter, copy->tables[i]);
		while (g_hash_table_iter_next(&iter, NULL, &value)) {
			store_row_t *row = value;

			row->version = jh_store_version(model.store->era,
							jh_store_version_number(row->version));
		}
		g_hash_table_destroy(model.store->tables[i]);
		model.store->tables[i] = g_steal_pointer(&copy->tables[i]);
		copy->tables[i] = g_hash_table_new(NULL, NULL);
	}
	model.store->dropped_version = store_version(model.store);
	store_free(copy);
}

void store_disturbed(int64_t until_us)
{
	model.store_disturbed_until_us = MAX(model.store_disturbed_until_us, until_us);
	flush_feeds();
}
