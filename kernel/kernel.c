#include "jh_kernel.h"

#include "jh_counter.h"
#include "jh_log.h"

#include <sys/random.h>

/* Interval at which a draining kernel checks whether all tasks are drained. */
#define DRAIN_POLL_S 0.02

JH_COUNTER(messages_total, "jasminehill_messages_total", "messages delivered to tasks");

struct jh_task {
	jh_kernel_t *kernel;
	const jh_module_t *module;
	jh_handle_t handle;
	void *state;
	GQueue mailbox;
};

struct jh_kernel {
	const jh_settings_t *settings;
	struct ev_loop *loop;
	/* Tasks by handle. */
	jh_table_t *tasks;
	/* The same tasks in the order of their start. */
	GPtrArray *start_order;
	uint64_t boot;
	bool is_draining;
	int64_t drain_deadline_us;
	/*
	 * The prepare watcher delivers the mailboxes before the loop waits for events. The idle
	 * watcher is active while a mailbox has messages, so that the loop does not wait then.
	 */
	ev_prepare prepare_watcher;
	ev_idle idle_watcher;
	ev_timer drain_poll;
};

/* ---- Messages ---- */

static void clear_nothing(gpointer body)
{
	(void)body;
}

static void body_unref(void *body, GDestroyNotify clear)
{
	g_rc_box_release_full(body, clear ? clear : clear_nothing);
}

static void msg_free(jh_msg_t *msg)
{
	body_unref(msg->body, msg->clear);
	g_free(msg);
}

static bool kernel_has_messages(const jh_kernel_t *kernel)
{
	unsigned i;

	for (i = 0; i < kernel->start_order->len; i++) {
		const jh_task_t *task = g_ptr_array_index(kernel->start_order, i);

		if (task->mailbox.length > 0)
			return true;
	}
	return false;
}

/* Messages that are posted to the task during the delivery wait for the next loop iteration. */
static void task_deliver_messages(jh_task_t *task)
{
	unsigned count = task->mailbox.length;

	while (count-- > 0) {
		jh_msg_t *msg = g_queue_pop_head(&task->mailbox);

		jh_counter_add(&messages_total, 1);
		task->module->on_message(task, msg);
		msg_free(msg);
	}
}

static void on_prepare(struct ev_loop *loop, ev_prepare *watcher, int events)
{
	jh_kernel_t *kernel = watcher->data;
	unsigned i;

	(void)events;
	for (i = 0; i < kernel->start_order->len; i++)
		task_deliver_messages(g_ptr_array_index(kernel->start_order, i));
	if (kernel_has_messages(kernel))
		ev_idle_start(loop, &kernel->idle_watcher);
	else
		ev_idle_stop(loop, &kernel->idle_watcher);
}

static void on_idle(struct ev_loop *loop, ev_idle *watcher, int events)
{
	(void)loop;
	(void)watcher;
	(void)events;
}

static void task_enqueue(jh_task_t *to, jh_handle_t from, jh_msg_type_t type, void *body,
			 GDestroyNotify clear)
{
	jh_msg_t *msg = g_new0(jh_msg_t, 1);

	*msg = (jh_msg_t){ .type = type, .from = from, .body = body, .clear = clear };
	g_queue_push_tail(&to->mailbox, msg);
	ev_idle_start(to->kernel->loop, &to->kernel->idle_watcher);
}

void jh_post(jh_task_t *from, jh_handle_t to, jh_msg_type_t type, void *body, GDestroyNotify clear)
{
	jh_task_t *task = jh_table_get(from->kernel->tasks, to);

	if (!task) {
		body_unref(body, clear);
		return;
	}
	task_enqueue(task, from->handle, type, body, clear);
}

static bool module_subscribes(const jh_module_t *module, jh_msg_type_t type)
{
	unsigned i;

	for (i = 0; i < JH_MODULE_MAX_TYPES && module->subscriptions[i] != JH_MSG_TYPE_COUNT; i++) {
		if (module->subscriptions[i] == type)
			return true;
	}
	return false;
}

void jh_publish(jh_task_t *from, jh_msg_type_t type, void *body, GDestroyNotify clear)
{
	const jh_kernel_t *kernel = from->kernel;
	unsigned i;

	for (i = 0; i < kernel->start_order->len; i++) {
		jh_task_t *task = g_ptr_array_index(kernel->start_order, i);

		if (task != from && module_subscribes(task->module, type))
			task_enqueue(task, from->handle, type, g_rc_box_acquire(body), clear);
	}
	body_unref(body, clear);
}

/* ---- Start, run and shutdown ---- */

static uint64_t boot_id_new(void)
{
	uint64_t boot = 0;

	while (boot == 0) {
		if (getrandom(&boot, sizeof(boot), 0) != sizeof(boot))
			g_error("getrandom: cannot create the boot id");
		/* Clear the sign bit, because some tools have no unsigned 64-bit integers. */
		boot >>= 1;
	}
	return boot;
}

static bool kernel_is_drained(const jh_kernel_t *kernel)
{
	unsigned i;

	if (kernel_has_messages(kernel))
		return false;
	for (i = 0; i < kernel->start_order->len; i++) {
		jh_task_t *task = g_ptr_array_index(kernel->start_order, i);

		if (task->module->is_drained && !task->module->is_drained(task))
			return false;
	}
	return true;
}

static void on_drain_poll(struct ev_loop *loop, ev_timer *watcher, int events)
{
	jh_kernel_t *kernel = watcher->data;

	(void)loop;
	(void)events;
	if (kernel_is_drained(kernel)) {
		jh_log(JH_LOG_INFO, "kernel", "drained", "result=complete");
		jh_kernel_stop(kernel);
	} else if (jh_kernel_now_us(kernel) >= kernel->drain_deadline_us) {
		jh_log(JH_LOG_WARNING, "kernel", "drained", "result=timeout");
		jh_kernel_stop(kernel);
	}
}

jh_kernel_t *jh_kernel_new(const jh_settings_t *settings, jh_error_t *err)
{
	jh_kernel_t *kernel;
	struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);

	if (!loop) {
		jh_error_set(err, JH_ERR_SYSTEM, "ev_loop_new: cannot create the event loop");
		return NULL;
	}
	kernel = g_new0(jh_kernel_t, 1);
	kernel->settings = settings;
	kernel->loop = loop;
	kernel->tasks = jh_table_new();
	kernel->start_order = g_ptr_array_new();
	kernel->boot = boot_id_new();
	ev_prepare_init(&kernel->prepare_watcher, on_prepare);
	kernel->prepare_watcher.data = kernel;
	ev_prepare_start(loop, &kernel->prepare_watcher);
	ev_idle_init(&kernel->idle_watcher, on_idle);
	ev_timer_init(&kernel->drain_poll, on_drain_poll, 0, DRAIN_POLL_S);
	kernel->drain_poll.data = kernel;
	return kernel;
}

int jh_kernel_add_module(jh_kernel_t *kernel, const jh_module_t *module, jh_error_t *err)
{
	jh_task_t *task = g_new0(jh_task_t, 1);

	task->kernel = kernel;
	task->module = module;
	g_queue_init(&task->mailbox);
	task->handle = jh_table_add(kernel->tasks, task);
	g_ptr_array_add(kernel->start_order, task);
	if (module->init(task, err) == 0)
		return 0;
	g_ptr_array_remove(kernel->start_order, task);
	jh_table_remove(kernel->tasks, task->handle);
	g_queue_clear_full(&task->mailbox, (GDestroyNotify)msg_free);
	g_free(task);
	return -1;
}

void jh_kernel_run(jh_kernel_t *kernel)
{
	ev_run(kernel->loop, 0);
}

void jh_kernel_drain(jh_kernel_t *kernel)
{
	unsigned i;

	if (kernel->is_draining)
		return;
	kernel->is_draining = true;
	jh_log(JH_LOG_INFO, "kernel", "draining", "limit_ms=%d", kernel->settings->drain_ms);
	kernel->drain_deadline_us =
		jh_kernel_now_us(kernel) + (int64_t)kernel->settings->drain_ms * 1000;
	for (i = 0; i < kernel->start_order->len; i++) {
		jh_task_t *task = g_ptr_array_index(kernel->start_order, i);

		if (task->module->drain)
			task->module->drain(task);
	}
	ev_timer_again(kernel->loop, &kernel->drain_poll);
}

bool jh_kernel_is_draining(const jh_kernel_t *kernel)
{
	return kernel->is_draining;
}

void jh_kernel_stop(jh_kernel_t *kernel)
{
	ev_break(kernel->loop, EVBREAK_ALL);
}

void jh_kernel_free(jh_kernel_t *kernel)
{
	if (!kernel)
		return;
	while (kernel->start_order->len > 0) {
		jh_task_t *task =
			g_ptr_array_index(kernel->start_order, kernel->start_order->len - 1);

		task->module->fini(task);
		g_ptr_array_remove_index(kernel->start_order, kernel->start_order->len - 1);
		jh_table_remove(kernel->tasks, task->handle);
		g_queue_clear_full(&task->mailbox, (GDestroyNotify)msg_free);
		g_free(task);
	}
	ev_timer_stop(kernel->loop, &kernel->drain_poll);
	ev_prepare_stop(kernel->loop, &kernel->prepare_watcher);
	ev_idle_stop(kernel->loop, &kernel->idle_watcher);
	ev_loop_destroy(kernel->loop);
	g_ptr_array_free(kernel->start_order, TRUE);
	jh_table_free(kernel->tasks);
	g_free(kernel);
}

/* ---- Look-ups ---- */

const jh_settings_t *jh_kernel_settings(const jh_kernel_t *kernel)
{
	return kernel->settings;
}

struct ev_loop *jh_kernel_loop(const jh_kernel_t *kernel)
{
	return kernel->loop;
}

int64_t jh_kernel_now_us(const jh_kernel_t *kernel)
{
	(void)kernel;
	return g_get_monotonic_time();
}

uint64_t jh_kernel_boot(const jh_kernel_t *kernel)
{
	return kernel->boot;
}

jh_handle_t jh_kernel_find(const jh_kernel_t *kernel, const char *name)
{
	unsigned i;

	for (i = 0; i < kernel->start_order->len; i++) {
		const jh_task_t *task = g_ptr_array_index(kernel->start_order, i);

		if (g_str_equal(task->module->name, name))
			return task->handle;
	}
	return JH_HANDLE_NONE;
}

static bool module_receives_frame(const jh_module_t *module, int kind)
{
	unsigned i;

	for (i = 0; i < JH_MODULE_MAX_TYPES && module->frames[i] != 0; i++) {
		if (module->frames[i] == kind)
			return true;
	}
	return false;
}

jh_handle_t jh_kernel_find_frame(const jh_kernel_t *kernel, int kind)
{
	unsigned i;

	for (i = 0; i < kernel->start_order->len; i++) {
		const jh_task_t *task = g_ptr_array_index(kernel->start_order, i);

		if (module_receives_frame(task->module, kind))
			return task->handle;
	}
	return JH_HANDLE_NONE;
}

jh_rows_t *jh_kernel_show(const jh_kernel_t *kernel, const char *topic)
{
	unsigned i;

	for (i = 0; i < kernel->start_order->len; i++) {
		jh_task_t *task = g_ptr_array_index(kernel->start_order, i);
		jh_rows_t *rows = task->module->show ? task->module->show(task, topic) : NULL;

		if (rows)
			return rows;
	}
	return NULL;
}

/* ---- Accessors of a task ---- */

jh_kernel_t *jh_task_kernel(const jh_task_t *task)
{
	return task->kernel;
}

struct ev_loop *jh_task_loop(const jh_task_t *task)
{
	return task->kernel->loop;
}

void *jh_task_state(const jh_task_t *task)
{
	return task->state;
}

void jh_task_set_state(jh_task_t *task, void *state)
{
	task->state = state;
}

jh_handle_t jh_task_handle(const jh_task_t *task)
{
	return task->handle;
}
