#include "internal/_jh_membership.h"
#include "jh_builtins.h"
#include "jh_counter.h"
#include "jh_frame.h"
#include "jh_log.h"
#include "jh_placement.h"
#include "jh_platform.h"

#include <jansson.h>
#include <string.h>

/*
 * Task of the membership protocol. The platform's list names the fleet's VMs, but it lags and may
 * be unreachable, so VMs also probe each other and exchange updates. The task passes ticks,
 * frames and lists to jh_membership_decide(), sends the resulting messages, and publishes the view
 * of the VMs when it changes.
 */

/* Interval between two reads of the platform's list, seconds. */
#define LIST_INTERVAL_S 2.0

/* Interval between two requests for the list until it was read for the first time, seconds. */
#define LIST_STARTUP_INTERVAL_S 0.25

#define LIST_REQUEST_TAG 1u

JH_COUNTER(lists_total, "jasminehill_membership_lists_total", "VM lists read from the platform");
JH_COUNTER(lists_failed_total, "jasminehill_membership_lists_failed_total",
	   "VM lists that the platform did not give");

JH_COUNTER(probes_total, "jasminehill_membership_probes_total", "probes sent to other VMs");
JH_COUNTER(refuted_total, "jasminehill_membership_refuted_total",
	   "times that others held this VM for suspect or dead");

static const char *const state_names[] = { "live", "departing", "suspect", "dead" };

typedef struct membership_task {
	jh_task_t *task;
	/* State of the membership protocol. */
	jh_membership_t *swim;
	/* VMs as last published, sorted by name; NULL before the first time. */
	GPtrArray *published_vms;
	GArray *actions;
	ev_timer tick_timer;
	ev_timer list_timer;
	/* A request for the list was sent and has no reply yet. */
	bool list_pending;
	bool has_read_list;
} membership_task_t;

/* Return: new VM, NULL if a field of @listed_vm is missing or invalid. */
static jh_vm_t *vm_new_from_json(const json_t *listed_vm)
{
	const char *name = json_string_value(json_object_get(listed_vm, "name"));
	const char *dc = json_string_value(json_object_get(listed_vm, "dc"));
	const char *host = json_string_value(json_object_get(listed_vm, "host"));
	const char *state = json_string_value(json_object_get(listed_vm, "state"));
	json_int_t port = json_integer_value(json_object_get(listed_vm, "port"));
	jh_vm_t vm;

	if (!name || !dc || !host || port <= 0 || port > UINT16_MAX)
		return NULL;
	vm = (jh_vm_t){
		.name = (char *)name,
		.dc = (char *)dc,
		.host = (char *)host,
		.port = (uint16_t)port,
		.state = g_strcmp0(state, "departing") == 0 ? JH_VM_DEPARTING : JH_VM_LIVE,
		.weight = (unsigned)CLAMP(json_integer_value(json_object_get(listed_vm, "weight")),
					  0, JH_VM_WEIGHT_MAX),
	};
	return jh_vm_copy(&vm);
}

static bool vm_is_equal(const jh_vm_t *a, const jh_vm_t *b)
{
	return g_str_equal(a->name, b->name) && g_str_equal(a->dc, b->dc) &&
	       g_str_equal(a->host, b->host) && a->port == b->port && a->state == b->state &&
	       a->weight == b->weight;
}

static bool vms_are_equal(const GPtrArray *a, const GPtrArray *b)
{
	unsigned i;

	if (!a || a->len != b->len)
		return false;
	for (i = 0; i < a->len; i++) {
		if (!vm_is_equal(g_ptr_array_index(a, i), g_ptr_array_index(b, i)))
			return false;
	}
	return true;
}

/* Logs one line for each VM that is new or whose address or state changed. */
static void vms_log_changes(const GPtrArray *before, const GPtrArray *after)
{
	unsigned before_index = 0;
	unsigned i;

	for (i = 0; i < after->len; i++) {
		const jh_vm_t *vm = g_ptr_array_index(after, i);
		const jh_vm_t *previous = NULL;

		/* Both arrays are sorted by name. */
		while (before && before_index < before->len) {
			previous = g_ptr_array_index(before, before_index);
			if (strcmp(previous->name, vm->name) >= 0)
				break;
			before_index++;
			previous = NULL;
		}
		if (!previous || !vm_is_equal(previous, vm))
			jh_log(JH_LOG_INFO, "membership", "vm_changed", "of=%s dc=%s state=%s",
			       jh_log_value(vm->name), jh_log_value(vm->dc),
			       state_names[vm->state]);
	}
}

static GPtrArray *vms_copy(const GPtrArray *vms)
{
	GPtrArray *copy = g_ptr_array_new_with_free_func(jh_vm_free);
	unsigned i;

	for (i = 0; i < vms->len; i++)
		g_ptr_array_add(copy, jh_vm_copy(g_ptr_array_index(vms, i)));
	return copy;
}

static void membership_publish(membership_task_t *membership)
{
	GPtrArray *vms = jh_membership_view(membership->swim);

	g_ptr_array_set_free_func(vms, jh_vm_free);
	if (vms_are_equal(membership->published_vms, vms)) {
		g_ptr_array_free(vms, TRUE);
		return;
	}
	vms_log_changes(membership->published_vms, vms);
	if (membership->published_vms)
		g_ptr_array_free(membership->published_vms, TRUE);
	membership->published_vms = vms;
	jh_vms_publish(membership->task, vms_copy(vms), membership->has_read_list);
}

static void membership_run_action(membership_task_t *membership,
				  const jh_membership_action_t *action)
{
	switch (action->type) {
	case JH_MEMBERSHIP_SEND_PROBE:
		jh_counter_add(&probes_total, 1);
		jh_frame_send(membership->task, action->to, _jh_membership_frame_new(action));
		break;
	case JH_MEMBERSHIP_SEND_ACK:
		jh_frame_send(membership->task, action->to, _jh_membership_frame_new(action));
		break;
	case JH_MEMBERSHIP_REFUTED:
		jh_counter_add(&refuted_total, 1);
		jh_log(JH_LOG_WARNING, "membership", "refuted", "reason=declared_suspect_or_dead");
		break;
	case JH_MEMBERSHIP_PUBLISH_VIEW:
		membership_publish(membership);
		break;
	}
}

static void membership_decide(membership_task_t *membership, const jh_membership_event_t *event)
{
	int64_t now_us = jh_kernel_now_us(jh_task_kernel(membership->task));
	uint64_t random = (uint64_t)g_random_int() << 32 | g_random_int();
	unsigned i;

	jh_membership_decide(membership->swim, event, now_us, random, membership->actions);
	for (i = 0; i < membership->actions->len; i++)
		membership_run_action(
			membership, &g_array_index(membership->actions, jh_membership_action_t, i));
}

static void on_tick(struct ev_loop *loop, ev_timer *timer, int events)
{
	const jh_membership_event_t event = { .type = JH_MEMBERSHIP_TICK };

	(void)loop;
	(void)events;
	membership_decide(timer->data, &event);
}

static void membership_handle_frame(membership_task_t *membership, const jh_frame_msg_t *msg)
{
	jh_vm_update_t updates[JH_MEMBERSHIP_MAX_UPDATES];
	jh_membership_event_t event = { .from = msg->vm, .updates = updates };

	_jh_membership_frame_read(msg->frame, &event, updates);
	membership_decide(membership, &event);
}

/* Applies the platform's list; an entry that is incomplete or repeats a name is skipped. */
static void membership_apply_list(membership_task_t *membership, GBytes *body)
{
	gsize length = 0;
	const char *text = body ? g_bytes_get_data(body, &length) : NULL;
	json_error_t json_error;
	json_t *list = text ? json_loadb(text, length, 0, &json_error) : NULL;
	jh_membership_event_t event = { .type = JH_MEMBERSHIP_LIST_READ };
	bool is_first;
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
	is_first = !membership->has_read_list;
	membership->has_read_list = true;
	event.list = vms;
	membership_decide(membership, &event);
	/* The view may be as before, but it is now known to be complete. */
	if (is_first && membership->published_vms) {
		g_clear_pointer(&membership->published_vms, g_ptr_array_unref);
		membership_publish(membership);
	}
	g_ptr_array_free(vms, TRUE);
}

static void on_list_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	membership_task_t *membership = timer->data;

	(void)events;
	timer->repeat = membership->has_read_list ? LIST_INTERVAL_S : LIST_STARTUP_INTERVAL_S;
	ev_timer_again(loop, timer);
	if (membership->list_pending)
		return;
	membership->list_pending = true;
	jh_platform_send(membership->task, JH_PLATFORM_LIST_VMS, NULL, NULL, 0, NULL,
			 LIST_REQUEST_TAG);
}

static void membership_handle_platform_reply(membership_task_t *membership,
					     const jh_platform_reply_t *reply)
{
	if (reply->call != JH_PLATFORM_LIST_VMS || reply->tag != LIST_REQUEST_TAG)
		return;
	membership->list_pending = false;
	if (reply->status == JH_PLATFORM_OK)
		membership_apply_list(membership, reply->body);
	else
		jh_counter_add(&lists_failed_total, 1);
}

static int membership_init(jh_task_t *task, jh_error_t *err)
{
	membership_task_t *membership = g_new0(membership_task_t, 1);
	const jh_settings_t *settings = jh_kernel_settings(jh_task_kernel(task));
	double interval = (double)JH_MEMBERSHIP_TICK_US / G_USEC_PER_SEC;
	const jh_vm_t self = {
		.name = settings->vm,
		.dc = settings->dc,
		.host = settings->peer_listen.host,
		.port = settings->peer_listen.port,
		.weight = jh_vm_weight(settings->cpu_share, settings->link_mbps),
	};

	(void)err;
	membership->task = task;
	membership->swim = jh_membership_new(&self);
	membership->actions = g_array_new(FALSE, FALSE, sizeof(jh_membership_action_t));
	ev_timer_init(&membership->tick_timer, on_tick, 0, interval);
	membership->tick_timer.data = membership;
	ev_timer_start(jh_task_loop(task), &membership->tick_timer);
	jh_task_set_state(task, membership);
	ev_timer_init(&membership->list_timer, on_list_timer, 0, LIST_STARTUP_INTERVAL_S);
	membership->list_timer.data = membership;
	ev_timer_start(jh_task_loop(task), &membership->list_timer);
	return 0;
}

static void membership_on_message(jh_task_t *task, const jh_msg_t *msg)
{
	membership_task_t *membership = jh_task_state(task);

	if (msg->type == JH_MSG_PLATFORM_REPLY)
		membership_handle_platform_reply(membership, msg->body);
	else if (msg->type == JH_MSG_FRAME_IN)
		membership_handle_frame(membership, msg->body);
}

static void membership_drain(jh_task_t *task)
{
	const jh_membership_event_t event = { .type = JH_MEMBERSHIP_DRAIN_STARTED };

	membership_decide(jh_task_state(task), &event);
}

static void membership_fini(jh_task_t *task)
{
	membership_task_t *membership = jh_task_state(task);

	ev_timer_stop(jh_task_loop(task), &membership->list_timer);
	ev_timer_stop(jh_task_loop(task), &membership->tick_timer);
	jh_membership_free(membership->swim);
	g_array_free(membership->actions, TRUE);
	if (membership->published_vms)
		g_ptr_array_free(membership->published_vms, TRUE);
	g_free(membership);
}

static jh_rows_t *membership_show(jh_task_t *task, const char *topic)
{
	static const char *const columns[] = {
		"name", "dc", "host", "port", "state", "probes", NULL
	};
	const membership_task_t *membership = jh_task_state(task);
	jh_rows_t *rows;
	unsigned i;

	if (!g_str_equal(topic, "vms"))
		return NULL;
	rows = jh_rows_new(columns);
	for (i = 0; membership->published_vms && i < membership->published_vms->len; i++) {
		const jh_vm_t *vm = g_ptr_array_index(membership->published_vms, i);
		char port[8];

		g_snprintf(port, sizeof(port), "%u", vm->port);
		jh_rows_add(rows, vm->name, vm->dc, vm->host, port, state_names[vm->state],
			    state_names[jh_membership_state(membership->swim, vm->name)], NULL);
	}
	return rows;
}

const jh_module_t jh_membership_module = {
	.name = "membership",
	.doc = "detects which VMs of the fleet are live",
	.subscriptions = { JH_MSG_TYPE_COUNT },
	.frames = { JH__FRAME__BODY_PROBE, JH__FRAME__BODY_PROBE_ACK },
	.init = membership_init,
	.on_message = membership_on_message,
	.drain = membership_drain,
	.fini = membership_fini,
	.show = membership_show,
};
