#include "jh_builtins.h"
#include "jh_counter.h"
#include "jh_frame.h"
#include "jh_log.h"
#include "jh_placement.h"
#include "jh_platform.h"

#include <jansson.h>
#include <string.h>

/*
 * Which VMs there are. The platform's list names them; it lags and may be out of reach, so that
 * this VM counts itself from its settings, and VMs learned before an outage stay.
 */

/* Time between two reads of the platform's list, seconds. */
#define LIST_INTERVAL_S 2.0

/* The same until the list was read once. */
#define LIST_FIRST_INTERVAL_S 0.25

#define LIST_TAG 1u

JH_COUNTER(lists_total, "jasminehill_membership_lists_total", "VM lists read from the platform");
JH_COUNTER(lists_failed_total, "jasminehill_membership_lists_failed_total",
	   "VM lists that the platform did not give");

typedef struct membership {
	jh_task_t *task;
	/* VMs as last published, sorted by name. */
	GPtrArray *vms;
	ev_timer list_timer;
	bool list_pending;
	bool listed;
} membership_t;

/* ---- the list ---- */

static gint vm_compare(gconstpointer a, gconstpointer b)
{
	const jh_vm_t *const *left = a;
	const jh_vm_t *const *right = b;

	return strcmp((*left)->name, (*right)->name);
}

static jh_vm_t *vm_new_self(const membership_t *membership)
{
	const jh_kernel_t *kernel = jh_task_kernel(membership->task);
	const jh_settings_t *settings = jh_kernel_settings(kernel);
	jh_vm_t vm = {
		.name = settings->vm,
		.dc = settings->dc,
		.host = settings->peer_listen.host,
		.port = settings->peer_listen.port,
		.state = jh_kernel_is_draining(kernel) ? JH_VM_DEPARTING : JH_VM_LIVE,
	};

	return jh_vm_copy(&vm);
}

/* Return: new VM, NULL if the entry is not a whole one. */
static jh_vm_t *vm_new_from_json(const json_t *entry)
{
	const char *name = json_string_value(json_object_get(entry, "name"));
	const char *dc = json_string_value(json_object_get(entry, "dc"));
	const char *host = json_string_value(json_object_get(entry, "host"));
	const char *state = json_string_value(json_object_get(entry, "state"));
	json_int_t port = json_integer_value(json_object_get(entry, "port"));
	jh_vm_t vm;

	if (!name || !dc || !host || port <= 0 || port > UINT16_MAX)
		return NULL;
	vm = (jh_vm_t){
		.name = (char *)name,
		.dc = (char *)dc,
		.host = (char *)host,
		.port = (uint16_t)port,
		.state = g_strcmp0(state, "departing") == 0 ? JH_VM_DEPARTING : JH_VM_LIVE,
	};
	return jh_vm_copy(&vm);
}

static bool vm_equal(const jh_vm_t *a, const jh_vm_t *b)
{
	return g_str_equal(a->name, b->name) && g_str_equal(a->dc, b->dc) &&
	       g_str_equal(a->host, b->host) && a->port == b->port && a->state == b->state;
}

static bool vms_equal(const GPtrArray *a, const GPtrArray *b)
{
	unsigned i;

	if (!a || a->len != b->len)
		return false;
	for (i = 0; i < a->len; i++) {
		if (!vm_equal(g_ptr_array_index(a, i), g_ptr_array_index(b, i)))
			return false;
	}
	return true;
}

static GPtrArray *vms_copy(const GPtrArray *vms)
{
	GPtrArray *copy = g_ptr_array_new_with_free_func(jh_vm_free);
	unsigned i;

	for (i = 0; i < vms->len; i++)
		g_ptr_array_add(copy, jh_vm_copy(g_ptr_array_index(vms, i)));
	return copy;
}

/* Take a new set of VMs over; this VM's own settings replace what the list says of it. */
static void membership_take(membership_t *membership, GPtrArray *vms)
{
	const jh_vm_t *self =
		jh_vm_find(vms, jh_kernel_settings(jh_task_kernel(membership->task))->vm);

	if (self)
		g_ptr_array_remove(vms, (gpointer)self);
	g_ptr_array_add(vms, vm_new_self(membership));
	g_ptr_array_sort(vms, vm_compare);
	if (vms_equal(membership->vms, vms)) {
		g_ptr_array_free(vms, TRUE);
		return;
	}
	if (membership->vms)
		g_ptr_array_free(membership->vms, TRUE);
	membership->vms = vms;
	jh_log(JH_LOG_INFO, "membership", "vms_changed", "count=%u", vms->len);
	jh_vms_publish(membership->task, vms_copy(vms));
}

static void membership_take_list(membership_t *membership, GBytes *body)
{
	gsize length = 0;
	const char *text = body ? g_bytes_get_data(body, &length) : NULL;
	json_error_t json_error;
	json_t *list = text ? json_loadb(text, length, 0, &json_error) : NULL;
	GPtrArray *vms;
	size_t i;

	if (!json_is_array(list)) {
		jh_counter_add(&lists_failed_total, 1);
		jh_log(JH_LOG_WARNING, "membership", "list_malformed", "bytes=%" G_GSIZE_FORMAT,
		       length);
		json_decref(list);
		return;
	}
	vms = g_ptr_array_new_with_free_func(jh_vm_free);
	for (i = 0; i < json_array_size(list); i++) {
		jh_vm_t *vm = vm_new_from_json(json_array_get(list, i));

		if (vm && jh_vm_find(vms, vm->name))
			jh_vm_free(vm);
		else if (vm)
			g_ptr_array_add(vms, vm);
	}
	json_decref(list);
	jh_counter_add(&lists_total, 1);
	membership->listed = true;
	membership_take(membership, vms);
}

/* ---- reading the platform ---- */

static void on_list_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	membership_t *membership = timer->data;

	(void)events;
	if (!membership->vms)
		membership_take(membership, g_ptr_array_new_with_free_func(jh_vm_free));
	timer->repeat = membership->listed ? LIST_INTERVAL_S : LIST_FIRST_INTERVAL_S;
	ev_timer_again(loop, timer);
	if (membership->list_pending)
		return;
	membership->list_pending = true;
	jh_platform_send(membership->task, JH_PLATFORM_LIST_VMS, NULL, NULL, 0, NULL, LIST_TAG);
}

static void membership_take_reply(membership_t *membership, const jh_platform_reply_t *reply)
{
	if (reply->call != JH_PLATFORM_LIST_VMS || reply->tag != LIST_TAG)
		return;
	membership->list_pending = false;
	if (reply->status == JH_PLATFORM_OK)
		membership_take_list(membership, reply->body);
	else
		jh_counter_add(&lists_failed_total, 1);
}

/* ---- module ---- */

static int membership_init(jh_task_t *task, jh_error_t *err)
{
	membership_t *membership = g_new0(membership_t, 1);

	(void)err;
	membership->task = task;
	jh_task_set_state(task, membership);
	ev_timer_init(&membership->list_timer, on_list_timer, 0, LIST_FIRST_INTERVAL_S);
	membership->list_timer.data = membership;
	ev_timer_start(jh_task_loop(task), &membership->list_timer);
	return 0;
}

static void membership_on_message(jh_task_t *task, const jh_msg_t *msg)
{
	membership_t *membership = jh_task_state(task);

	if (msg->type == JH_MSG_PLATFORM_REPLY)
		membership_take_reply(membership, msg->body);
}

static void membership_drain(jh_task_t *task)
{
	membership_t *membership = jh_task_state(task);

	if (membership->vms)
		membership_take(membership, vms_copy(membership->vms));
}

static void membership_fini(jh_task_t *task)
{
	membership_t *membership = jh_task_state(task);

	ev_timer_stop(jh_task_loop(task), &membership->list_timer);
	if (membership->vms)
		g_ptr_array_free(membership->vms, TRUE);
	g_free(membership);
}

static jh_rows_t *membership_show(jh_task_t *task, const char *topic)
{
	static const char *const columns[] = { "name", "dc", "host", "port", "state", NULL };
	static const char *const states[] = { "live", "departing", "suspect", "dead" };
	const membership_t *membership = jh_task_state(task);
	jh_rows_t *rows;
	unsigned i;

	if (!g_str_equal(topic, "vms"))
		return NULL;
	rows = jh_rows_new(columns);
	for (i = 0; membership->vms && i < membership->vms->len; i++) {
		const jh_vm_t *vm = g_ptr_array_index(membership->vms, i);
		char port[8];

		g_snprintf(port, sizeof(port), "%u", vm->port);
		jh_rows_add(rows, vm->name, vm->dc, vm->host, port, states[vm->state], NULL);
	}
	return rows;
}

const jh_module_t jh_membership_module = {
	.name = "membership",
	.doc = "which VMs there are and how they do",
	.subscriptions = { JH_MSG_TYPES },
	.frames = { 0 },
	.init = membership_init,
	.on_message = membership_on_message,
	.drain = membership_drain,
	.fini = membership_fini,
	.show = membership_show,
};
