#ifndef JH_KERNEL_H
#define JH_KERNEL_H

#include "jh_error.h"
#include "jh_rows.h"
#include "jh_settings.h"
#include "jh_table.h"

#include <ev.h>
#include <stdint.h>

/**
 * DOC: Event-loop kernel
 *
 * The kernel runs all modules of the daemon on one thread with one libev loop, each module as one
 * task. A task owns its sockets, timers and state; no other task accesses them. Tasks communicate
 * by messages only: a message is appended to the receiver's mailbox, and the loop delivers the
 * mailbox's messages in the order of posting, never during the sender's call. All functions must be
 * called from the kernel's thread.
 */

typedef struct jh_kernel jh_kernel_t;
typedef struct jh_task jh_task_t;

/**
 * enum jh_msg_type - types of message between tasks
 *
 * Each comment begins with the type of the body. The bodies are defined in jh_frame.h,
 * jh_platform.h, jh_service.h (quota and audit record), jh_mirror.h (rows, mirror lease, versions
 * of VMs) and jh_primary.h (fleet configuration, registrations, primaries).
 */
typedef enum jh_msg_type {
	/** @JH_MSG_FRAME_IN: jh_frame_msg_t, a frame from a peer (or from this VM itself) */
	JH_MSG_FRAME_IN,
	/** @JH_MSG_FRAME_OUT: jh_frame_msg_t, a frame that the peer task is to send */
	JH_MSG_FRAME_OUT,
	/** @JH_MSG_CONFIG: jh_config_msg_t, the configuration or whether the VM is isolated changed
	 */
	JH_MSG_CONFIG,
	/** @JH_MSG_VMS: jh_vms_msg_t, the list of VMs or the state of a VM changed */
	JH_MSG_VMS,
	/** @JH_MSG_PEER_DOWN: jh_peer_down_msg_t, a peer's connection or instance ended */
	JH_MSG_PEER_DOWN,
	/** @JH_MSG_GROUP_VIEW: jh_group_view_msg_t, the last known state of a group changed */
	JH_MSG_GROUP_VIEW,
	/** @JH_MSG_PLATFORM_REPLY: jh_platform_reply_t, the reply to a platform request */
	JH_MSG_PLATFORM_REPLY,
	/** @JH_MSG_PLATFORM_REQUEST: jh_platform_request_t, a request for the platform task */
	JH_MSG_PLATFORM_REQUEST,
	/** @JH_MSG_QUOTA_REQUEST: jh_quota_msg_t, an entry task needs quota of a team */
	JH_MSG_QUOTA_REQUEST,
	/** @JH_MSG_QUOTA_REPLY: jh_quota_msg_t, quota granted or refused */
	JH_MSG_QUOTA_REPLY,
	/** @JH_MSG_QUOTA_GIVE_BACK: jh_quota_msg_t, a granted request did not run */
	JH_MSG_QUOTA_GIVE_BACK,
	/** @JH_MSG_RECORD_REQUEST: jh_record_msg_t, a line of the audit record that is to be stored
	 */
	JH_MSG_RECORD_REQUEST,
	/** @JH_MSG_RECORD_REPLY: jh_record_msg_t, whether a record line has been stored */
	JH_MSG_RECORD_REPLY,
	/** @JH_MSG_RECORD_STATE: jh_record_state_msg_t, whether new record lines are accepted */
	JH_MSG_RECORD_STATE,
	/** @JH_MSG_ROW: jh_row_msg_t, a row of the mirror was added, changed or deleted */
	JH_MSG_ROW,
	/** @JH_MSG_MIRROR_LEASE: jh_mirror_lease_msg_t, the mirror lease was renewed */
	JH_MSG_MIRROR_LEASE,
	/** @JH_MSG_MIRROR_ERA: jh_mirror_era_msg_t, whether the store's era is confirmed */
	JH_MSG_MIRROR_ERA,
	/** @JH_MSG_VM_VERSION: jh_vm_version_msg_t, a VM applied a version of the fleet's table */
	JH_MSG_VM_VERSION,
	/** @JH_MSG_FLEET_CONFIG: jh_fleet_config_msg_t, a new fleet configuration is in force */
	JH_MSG_FLEET_CONFIG,
	/** @JH_MSG_MEMBER: jh_member_msg_t, a registration was added, changed or removed */
	JH_MSG_MEMBER,
	/** @JH_MSG_DC_DRAIN: jh_dc_drain_msg_t, the drain of a data centre was requested or ended
	 */
	JH_MSG_DC_DRAIN,
	/** @JH_MSG_PRIMARY: jh_primary_msg_t, a group's row, which names its primary, changed */
	JH_MSG_PRIMARY,
	/**
	 * @JH_MSG_PRIMARY_REPORT: jh_primary_report_msg_t, a primary does not respond to this VM's
	 * gateway, or denies that it is the primary
	 */
	JH_MSG_PRIMARY_REPORT,
	/** @JH_MSG_ACKNOWLEDGED: jh_acknowledged_msg_t, how far a group's commits are acknowledged
	 */
	JH_MSG_ACKNOWLEDGED,
	/** @JH_MSG_TYPE_COUNT: number of types; ends a list of types */
	JH_MSG_TYPE_COUNT,
} jh_msg_type_t;

/**
 * struct jh_msg - a message to a task
 * @type: determines the type of @body
 * @from: handle of the sending task (see jh_table.h)
 * @body: reference-counted box (g_rc_box_*); the receiver borrows it until on_message returns
 * @clear: frees what @body owns when the last reference is dropped; NULL if it owns nothing
 */
typedef struct jh_msg {
	jh_msg_type_t type;
	jh_handle_t from;
	void *body;
	GDestroyNotify clear;
} jh_msg_t;

/** JH_MODULE_MAX_TYPES - size of a module's lists of types and kinds, end marker included */
#define JH_MODULE_MAX_TYPES 24

/**
 * struct jh_module - a module's definition, through which the kernel runs it
 * @name: unique name, lower case
 * @doc: one line for operators
 * @subscriptions: message types that the task receives when they are published, ended by
 *	JH_MSG_TYPE_COUNT
 * @frames: kinds of frame (Jh__Frame body cases) that the task receives from peers, ended by 0
 * @init: create the task's state; returns 0, or -1 with the error set and everything freed again,
 *	because @fini is not called then
 * @on_message: handle one message
 * @drain: stop accepting new work (first phase of a graceful shutdown); may be NULL
 * @is_drained: true once all work in progress has finished; NULL if the task never has any
 * @fini: free the task's state; called once, when the kernel is freed
 * @show: answer an operator's SHOW command: new rows, or NULL if this module does not have @topic;
 *	may be NULL
 */
typedef struct jh_module {
	const char *name;
	const char *doc;
	jh_msg_type_t subscriptions[JH_MODULE_MAX_TYPES];
	int frames[JH_MODULE_MAX_TYPES];
	int (*init)(jh_task_t *task, jh_error_t *err);
	void (*on_message)(jh_task_t *task, const jh_msg_t *msg);
	void (*drain)(jh_task_t *task);
	bool (*is_drained)(jh_task_t *task);
	void (*fini)(jh_task_t *task);
	jh_rows_t *(*show)(jh_task_t *task, const char *topic);
} jh_module_t;

/**
 * jh_kernel_new() - create a kernel with its own libev loop and without tasks
 * @settings: borrowed for the kernel's lifetime
 *
 * Return: new kernel for jh_kernel_free(), or NULL with the error set
 */
jh_kernel_t *jh_kernel_new(const jh_settings_t *settings, jh_error_t *err);

/**
 * jh_kernel_add_module() - create and start a module's task
 * @module: borrowed for the kernel's lifetime
 *
 * The module's init runs during this call. Messages that it posts are delivered once the loop runs.
 *
 * Return: 0, or -1 with the error that the module's init set; there is no task then
 */
int jh_kernel_add_module(jh_kernel_t *kernel, const jh_module_t *module, jh_error_t *err);

/** jh_kernel_run() - run the loop until a drain has ended or jh_kernel_stop() is called */
void jh_kernel_run(jh_kernel_t *kernel);

/**
 * jh_kernel_drain() - begin a graceful shutdown
 *
 * Calls the drain function of every module. jh_kernel_run() returns once all tasks are drained and
 * all mailboxes are empty, or after drain_ms of the settings. Further calls have no effect.
 */
void jh_kernel_drain(jh_kernel_t *kernel);

/** jh_kernel_is_draining() - true after the first call of jh_kernel_drain() */
bool jh_kernel_is_draining(const jh_kernel_t *kernel);

/** jh_kernel_stop() - make jh_kernel_run() return without waiting for pending work */
void jh_kernel_stop(jh_kernel_t *kernel);

/**
 * jh_kernel_free() - end all tasks, in reverse order of their start, and free the kernel
 * @kernel: must not be running; NULL is allowed
 *
 * Messages that were not delivered are freed.
 */
void jh_kernel_free(jh_kernel_t *kernel);

/** jh_kernel_settings() - get the daemon's settings. Return: borrowed */
const jh_settings_t *jh_kernel_settings(const jh_kernel_t *kernel);

/** jh_kernel_loop() - get the libev loop. Return: borrowed */
struct ev_loop *jh_kernel_loop(const jh_kernel_t *kernel);

/** jh_kernel_now_us() - get the current monotonic time, microseconds */
int64_t jh_kernel_now_us(const jh_kernel_t *kernel);

/** jh_kernel_boot() - get the boot id: random number of this instance of the daemon, never 0 */
uint64_t jh_kernel_boot(const jh_kernel_t *kernel);

/** jh_kernel_find() - find the task of module @name. Return: its handle, or JH_HANDLE_NONE */
jh_handle_t jh_kernel_find(const jh_kernel_t *kernel, const char *name);

/**
 * jh_kernel_find_frame() - find the task that receives frames of @kind (a Jh__Frame body case)
 *
 * Return: its handle, or JH_HANDLE_NONE
 */
jh_handle_t jh_kernel_find_frame(const jh_kernel_t *kernel, int kind);

/** jh_kernel_show() - get the rows of SHOW @topic. Return: new, NULL if no module has the topic */
jh_rows_t *jh_kernel_show(const jh_kernel_t *kernel, const char *topic);

/** jh_task_kernel() - get the kernel that runs the task. Return: borrowed */
jh_kernel_t *jh_task_kernel(const jh_task_t *task);

/** jh_task_loop() - get the libev loop, for the task's own watchers. Return: borrowed */
struct ev_loop *jh_task_loop(const jh_task_t *task);

/** jh_task_state() - get the pointer set by jh_task_set_state(). Return: NULL before that */
void *jh_task_state(const jh_task_t *task);

/** jh_task_set_state() - keep a pointer to the module's state; the module still owns the state */
void jh_task_set_state(jh_task_t *task, void *state);

/** jh_task_handle() - get the task's handle, to which other tasks can post messages */
jh_handle_t jh_task_handle(const jh_task_t *task);

/**
 * jh_post() - append a message to a task's mailbox
 * @from: the sender
 * @to: the receiver, which may be the sender; if no task has this handle, the message is freed
 * @type: determines the type of @body
 * @body: box made with g_rc_box_new0(); the call takes ownership of one reference
 * @clear: frees what @body owns when the last reference is dropped; NULL if it owns nothing
 */
void jh_post(jh_task_t *from, jh_handle_t to, jh_msg_type_t type, void *body, GDestroyNotify clear);

/**
 * jh_publish() - post a message to every task that subscribes to @type, except to the sender
 * @from: the sender
 * @type: determines the type of @body
 * @body: as in jh_post(); the subscribers share it and must not change it
 * @clear: as in jh_post()
 */
void jh_publish(jh_task_t *from, jh_msg_type_t type, void *body, GDestroyNotify clear);

#endif
