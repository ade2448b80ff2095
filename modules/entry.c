/* The entry task: accepts callers and holds the state that their requests share, which is the
 * configuration, the VM list and the views of the groups in use. entry_request.c chooses databases
 * for requests and makes the attempts, entry_answer.c receives the responses, entry_set.c and
 * entry_show.c hold parameters and SHOW topics, and caller*.c hold the client connections.
 * docs/internals/entry.md describes the design.
 */

#include "internal/entry.h"

#include "jh_counter.h"
#include "jh_log.h"
#include "jh_placement.h"
#include "jh_service.h"
#include "jh_socket.h"

#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define MAX_ACCEPTS_PER_EVENT 64
#define INPUT_BUFFER_BYTES 65536u

/* Callers above max_callers that get an error message; further ones are closed without one. */
#define MAX_REJECTED_CALLERS 100u

#define TICK_INTERVAL_S 1.0

/* While draining, callers that are idle are closed after DRAIN_IDLE_MAX_US, or after the time limit
 * of draining divided by DRAIN_IDLE_DIVISOR if that is shorter.
 */
#define DRAIN_IDLE_MAX_US 5000000
#define DRAIN_IDLE_DIVISOR 4

/* A view request subscribes to the views of a group for VIEW_LEASE_MS. It is renewed well before
 * that time ends, until no request has used the group for VIEW_UNUSED_TIMEOUT_US.
 */
#define VIEW_LEASE_MS 10000
#define VIEW_RENEW_INTERVAL_US 3000000
#define VIEW_UNUSED_TIMEOUT_US 60000000

JH_COUNTER(callers_total, "jasminehill_callers_total", "client connections accepted");
JH_COUNTER(callers, "jasminehill_callers", "client connections now");
JH_COUNTER(rejected_total, "jasminehill_callers_rejected_total",
	   "client connections over the bound");

int64_t _jh_entry_now_us(const _jh_entry_t *entry)
{
	return jh_kernel_now_us(jh_task_kernel(entry->task));
}

/* ---- Views ---- */

static void entry_group_free(gpointer data)
{
	_jh_entry_group_t *group = data;

	jh_group_view_free(group->view);
	g_free(group);
}

static void group_request_view(_jh_entry_t *entry, _jh_entry_group_t *group, int64_t now_us)
{
	Jh__Frame *frame = jh_frame_new(JH__FRAME__BODY_VIEW_REQUEST);

	frame->view_request->group = jh_frame_strdup(group->name);
	frame->view_request->lease_ms = VIEW_LEASE_MS;
	jh_frame_send(entry->task, jh_kernel_settings(jh_task_kernel(entry->task))->vm, frame);
	group->view_requested_us = now_us;
}

_jh_entry_group_t *_jh_entry_group_get(_jh_entry_t *entry, const char *name)
{
	const char *key = g_intern_string(name);
	_jh_entry_group_t *group = g_hash_table_lookup(entry->groups, key);
	int64_t now_us = _jh_entry_now_us(entry);

	if (!group) {
		group = g_new0(_jh_entry_group_t, 1);
		group->name = key;
		g_hash_table_insert(entry->groups, (gpointer)key, group);
	}
	group->last_used_us = now_us;
	if (group->view_requested_us == 0 ||
	    now_us - group->view_requested_us >= VIEW_RENEW_INTERVAL_US)
		group_request_view(entry, group, now_us);
	return group;
}

static void views_renew(_jh_entry_t *entry)
{
	int64_t now_us = _jh_entry_now_us(entry);
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, entry->groups);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		_jh_entry_group_t *group = value;

		if (now_us - group->last_used_us >= VIEW_UNUSED_TIMEOUT_US)
			g_hash_table_iter_remove(&iter);
		else if (now_us - group->view_requested_us >= VIEW_RENEW_INTERVAL_US)
			group_request_view(entry, group, now_us);
	}
}

/* ---- Placements ---- */

static _jh_placement_t *placement_new(const _jh_entry_t *entry, const char *name)
{
	const jh_database_t *database =
		entry->config ? jh_config_find_database(entry->config, name) : NULL;
	_jh_placement_t *placement = g_new0(_jh_placement_t, 1);
	char *key = g_strconcat("database:", name, NULL);
	const jh_vm_t *vm = NULL;

	if (database && !database->departing) {
		placement->database = database;
		vm = jh_placement_choose(entry->vms, key, database->dc);
	}
	placement->owner = vm ? g_intern_string(vm->name) : NULL;
	g_free(key);
	return placement;
}

const _jh_placement_t *_jh_entry_placement_get(_jh_entry_t *entry, const char *database)
{
	_jh_placement_t *placement = g_hash_table_lookup(entry->placements, database);

	if (!placement) {
		placement = placement_new(entry, database);
		g_hash_table_insert(entry->placements, g_strdup(database), placement);
	}
	return placement;
}

/* ---- Updates of views, VM list and configuration ---- */

static GArray *requests_list_handles(_jh_entry_t *entry, const char *group)
{
	GArray *handles = g_array_new(FALSE, FALSE, sizeof(jh_handle_t));
	unsigned cursor = 0;
	_jh_request_t *request;

	while ((request = jh_table_next(entry->requests, &cursor)) != NULL) {
		if (!group || g_str_equal(request->group, group))
			g_array_append_val(handles, request->handle);
	}
	return handles;
}

/* Iterates over handles because a visited request may free itself or others. */
static void requests_visit(_jh_entry_t *entry, const char *group, void (*visit)(_jh_request_t *))
{
	GArray *handles = requests_list_handles(entry, group);
	unsigned i;

	for (i = 0; i < handles->len; i++) {
		_jh_request_t *request =
			jh_table_get(entry->requests, g_array_index(handles, jh_handle_t, i));

		if (request)
			visit(request);
	}
	g_array_free(handles, TRUE);
}

static void on_group_view(_jh_entry_t *entry, const jh_group_view_t *view)
{
	_jh_entry_group_t *group = g_hash_table_lookup(entry->groups, g_intern_string(view->group));

	if (!group)
		return;
	jh_group_view_free(group->view);
	group->view = jh_group_view_copy(view);
	/* A view arrives for each write, so skip the visit if no request waits: a view changes
	 * nothing for requests that were sent.
	 */
	if (entry->waiting_count > 0)
		requests_visit(entry, group->name, _jh_request_on_view);
}

static void callers_drop_pins(_jh_entry_t *entry, const char *vm, uint64_t boot)
{
	unsigned cursor = 0;
	_jh_caller_t *caller;

	while ((caller = jh_table_next(entry->callers, &cursor)) != NULL) {
		bool is_pinned_to_vm = caller->pin.id != 0 && caller->pin.vm == vm;

		/* A request in progress handles the loss of its owner itself. */
		if (is_pinned_to_vm && caller->pin.boot == boot &&
		    caller->request == JH_HANDLE_NONE)
			_jh_caller_drop_pin(caller, false);
	}
}

static void on_peer_down(_jh_entry_t *entry, const jh_peer_down_msg_t *peer)
{
	const char *vm = g_intern_string(peer->vm);
	GArray *handles = requests_list_handles(entry, NULL);
	unsigned i;

	for (i = 0; i < handles->len; i++) {
		_jh_request_t *request =
			jh_table_get(entry->requests, g_array_index(handles, jh_handle_t, i));

		if (request && request->state == JH_REQUEST_SENT && request->vm == vm)
			_jh_request_on_peer_down(request);
	}
	g_array_free(handles, TRUE);
	callers_drop_pins(entry, vm, peer->boot);
}

static void on_vms(_jh_entry_t *entry, GPtrArray *vms)
{
	if (entry->vms)
		g_ptr_array_unref(entry->vms);
	entry->vms = g_ptr_array_ref(vms);
	g_hash_table_remove_all(entry->placements);
	requests_visit(entry, NULL, _jh_request_on_vms);
}

static void on_config(_jh_entry_t *entry, const jh_config_msg_t *msg)
{
	jh_config_t *previous = entry->config;

	entry->isolated = msg->isolated;
	if (msg->config == previous)
		return;
	entry->config = jh_config_ref(msg->config);
	jh_config_unref(previous);
	g_hash_table_remove_all(entry->placements);
	requests_visit(entry, NULL, _jh_request_on_view);
}

/* ---- Accepting connections ---- */

static void accept_pause(_jh_entry_t *entry)
{
	/* The process is short of file descriptors or memory; the next tick resumes accepting. */
	jh_log(JH_LOG_WARNING, "entry", "accept_failed", "errno=%d callers=%u", errno,
	       jh_table_count(entry->callers));
	ev_io_stop(jh_task_loop(entry->task), &entry->accept_watcher);
}

static void caller_admit(_jh_entry_t *entry, int fd)
{
	unsigned limit = (unsigned)jh_kernel_settings(jh_task_kernel(entry->task))->max_callers;
	unsigned count = jh_table_count(entry->callers);
	static const jh_keepalive_t keepalive = { 0 };

	if (count >= limit)
		jh_counter_add(&rejected_total, 1);
	if (count >= limit + MAX_REJECTED_CALLERS) {
		close(fd);
		return;
	}
	jh_socket_set_options(fd, &keepalive);
	jh_counter_add(&callers_total, 1);
	_jh_caller_new(entry, fd, count >= limit);
}

static void on_accept(struct ev_loop *loop, ev_io *watcher, int events)
{
	_jh_entry_t *entry = watcher->data;
	unsigned i;

	(void)loop;
	(void)events;
	for (i = 0; i < MAX_ACCEPTS_PER_EVENT; i++) {
		int fd = accept4(entry->listen_fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);

		if (fd >= 0) {
			caller_admit(entry, fd);
			continue;
		}
		if (errno == EMFILE || errno == ENFILE || errno == ENOBUFS || errno == ENOMEM)
			accept_pause(entry);
		if (errno != ECONNABORTED && errno != EINTR)
			return;
	}
}

/* ---- Tick ---- */

static void callers_close_idle(_jh_entry_t *entry)
{
	unsigned cursor = 0;
	_jh_caller_t *caller;

	while ((caller = jh_table_next(entry->callers, &cursor)) != NULL)
		_jh_caller_close_if_idle(caller);
}

static void on_tick(struct ev_loop *loop, ev_timer *watcher, int events)
{
	_jh_entry_t *entry = watcher->data;

	(void)events;
	views_renew(entry);
	if (!entry->is_draining && entry->listen_fd >= 0)
		ev_io_start(loop, &entry->accept_watcher);
	if (entry->is_draining && _jh_entry_now_us(entry) >= entry->close_idle_us)
		callers_close_idle(entry);
	jh_counter_set(&callers, jh_table_count(entry->callers));
}

/* ---- Module ---- */

static int entry_init(jh_task_t *task, jh_error_t *err)
{
	const jh_address_t *address = &jh_kernel_settings(jh_task_kernel(task))->listen;
	int fd = jh_socket_listen(address, "callers' port", err);
	_jh_entry_t *entry;

	if (fd < 0)
		return -1;
	entry = g_new0(_jh_entry_t, 1);
	entry->task = task;
	entry->listen_fd = fd;
	entry->callers = jh_table_new();
	/* A response is sent to a VM, which may have been restarted. The ids of its later instance
	 * begin elsewhere, so that none of them matches. */
	entry->requests = jh_table_new_from((uint32_t)(jh_kernel_boot(jh_task_kernel(task)) >> 32));
	entry->groups = g_hash_table_new_full(g_direct_hash, NULL, NULL, entry_group_free);
	entry->placements = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	entry->retry_budgets = g_hash_table_new_full(g_direct_hash, NULL, NULL, g_free);
	entry->random = g_rand_new();
	entry->input = g_malloc(INPUT_BUFFER_BYTES);
	ev_io_init(&entry->accept_watcher, on_accept, fd, EV_READ);
	entry->accept_watcher.data = entry;
	ev_io_start(jh_task_loop(task), &entry->accept_watcher);
	ev_timer_init(&entry->tick_timer, on_tick, TICK_INTERVAL_S, TICK_INTERVAL_S);
	entry->tick_timer.data = entry;
	ev_timer_start(jh_task_loop(task), &entry->tick_timer);
	jh_task_set_state(task, entry);
	jh_log(JH_LOG_INFO, "entry", "listening", "host=%s port=%u", address->host,
	       jh_socket_local_port(fd));
	return 0;
}

static void entry_on_frame(_jh_entry_t *entry, const jh_frame_msg_t *msg)
{
	if (msg->frame->body_case == JH__FRAME__BODY_ANSWER_PART)
		_jh_response_on_part(entry, msg);
	else if (msg->frame->body_case == JH__FRAME__BODY_ANSWER_END)
		_jh_response_on_end(entry, msg);
}

static void entry_on_quota(_jh_entry_t *entry, const jh_quota_msg_t *msg)
{
	_jh_request_t *request = jh_table_get(entry->requests, msg->tag);

	if (request && request->state == JH_REQUEST_QUOTA)
		_jh_request_on_quota(request, msg->granted, msg->retry_after_ms);
}

static void entry_on_recorded(_jh_entry_t *entry, const jh_record_msg_t *msg)
{
	_jh_request_t *request = jh_table_get(entry->requests, msg->tag);

	if (request && request->state == JH_REQUEST_RECORDING)
		_jh_response_on_recorded(request, msg->held, msg->retry_after_ms);
}

static void entry_on_message(jh_task_t *task, const jh_msg_t *msg)
{
	_jh_entry_t *entry = jh_task_state(task);

	switch (msg->type) {
	case JH_MSG_FRAME_IN:
		entry_on_frame(entry, msg->body);
		break;
	case JH_MSG_CONFIG:
		on_config(entry, msg->body);
		break;
	case JH_MSG_VMS:
		on_vms(entry, ((const jh_vms_msg_t *)msg->body)->vms);
		break;
	case JH_MSG_GROUP_VIEW:
		on_group_view(entry, ((const jh_group_view_msg_t *)msg->body)->view);
		break;
	case JH_MSG_PEER_DOWN:
		on_peer_down(entry, msg->body);
		break;
	case JH_MSG_QUOTA_REPLY:
		entry_on_quota(entry, msg->body);
		break;
	case JH_MSG_RECORD_STATE:
		entry->record_retry_after_ms =
			((const jh_record_state_msg_t *)msg->body)->retry_after_ms;
		break;
	case JH_MSG_RECORD_REPLY:
		entry_on_recorded(entry, msg->body);
		break;
	default:
		break;
	}
}

static void entry_drain(jh_task_t *task)
{
	_jh_entry_t *entry = jh_task_state(task);
	int64_t limit_us = (int64_t)jh_kernel_settings(jh_task_kernel(task))->drain_ms * 1000;

	entry->is_draining = true;
	entry->close_idle_us =
		_jh_entry_now_us(entry) + MIN(DRAIN_IDLE_MAX_US, limit_us / DRAIN_IDLE_DIVISOR);
	ev_io_stop(jh_task_loop(task), &entry->accept_watcher);
	close(entry->listen_fd);
	entry->listen_fd = -1;
}

static bool entry_is_drained(jh_task_t *task)
{
	const _jh_entry_t *entry = jh_task_state(task);

	return jh_table_count(entry->callers) == 0 && jh_table_count(entry->requests) == 0;
}

static void entry_fini(jh_task_t *task)
{
	_jh_entry_t *entry = jh_task_state(task);
	unsigned cursor = 0;
	_jh_request_t *request;
	_jh_caller_t *caller;

	while ((caller = jh_table_next(entry->callers, &cursor)) != NULL)
		_jh_caller_close(caller);
	cursor = 0;
	while ((request = jh_table_next(entry->requests, &cursor)) != NULL)
		_jh_request_free(request);
	ev_io_stop(jh_task_loop(task), &entry->accept_watcher);
	ev_timer_stop(jh_task_loop(task), &entry->tick_timer);
	if (entry->listen_fd >= 0)
		close(entry->listen_fd);
	jh_config_unref(entry->config);
	if (entry->vms)
		g_ptr_array_unref(entry->vms);
	jh_table_free(entry->callers);
	jh_table_free(entry->requests);
	g_hash_table_destroy(entry->groups);
	g_hash_table_destroy(entry->placements);
	g_hash_table_destroy(entry->retry_budgets);
	g_rand_free(entry->random);
	g_free(entry->input);
	g_free(entry);
}

static jh_rows_t *entry_show(jh_task_t *task, const char *topic)
{
	return _jh_entry_show(jh_task_state(task), topic);
}

const jh_module_t jh_entry_module = {
	.name = "entry",
	.doc = "Accepts callers and gives them the answers of databases",
	.subscriptions = {
		JH_MSG_CONFIG,
		JH_MSG_VMS,
		JH_MSG_GROUP_VIEW,
		JH_MSG_PEER_DOWN,
		JH_MSG_RECORD_STATE,
		JH_MSG_TYPE_COUNT,
	},
	.frames = {
		JH__FRAME__BODY_ANSWER_PART,
		JH__FRAME__BODY_ANSWER_END,
		0,
	},
	.init = entry_init,
	.on_message = entry_on_message,
	.drain = entry_drain,
	.is_drained = entry_is_drained,
	.fini = entry_fini,
	.show = entry_show,
};
