#ifndef JH_KERNEL_H
#define JH_KERNEL_H

#include "jh_error.h"
#include "jh_rows.h"
#include "jh_settings.h"
#include "jh_table.h"

#include <ev.h>
#include <stdint.h>

/**
 * DOC: Kernel
 *
 * One thread, one libev loop. A module is a plug-in that is linked in and registers itself through
 * its jh_module_t; the kernel runs it as one task. A task owns its sockets, timers and state; no
 * other task touches them. Tasks talk by messages, which are delivered in order from a mailbox at
 * the next turn of the loop, never from inside the sender's call.
 */

typedef struct jh_kernel jh_kernel_t;
typedef struct jh_task jh_task_t;

/** enum jh_msg_type - messages between tasks; the body's type stands behind each */
typedef enum jh_msg_type {
	/** @JH_MSG_FRAME_IN: jh_frame_msg_t, a frame from a peer (or from this VM itself) */
	JH_MSG_FRAME_IN,
	/** @JH_MSG_FRAME_OUT: jh_frame_msg_t, a frame to send; for the peer task */
	JH_MSG_FRAME_OUT,
	/** @JH_MSG_CONFIG: jh_config_msg_t, a new configuration is in force */
	JH_MSG_CONFIG,
	/** @JH_MSG_VMS: jh_vms_msg_t, the set of VMs or the state of one changed */
	JH_MSG_VMS,
	/** @JH_MSG_PEER_DOWN: jh_peer_down_msg_t, a peer's connection or boot ended */
	JH_MSG_PEER_DOWN,
	/** @JH_MSG_GROUP_VIEW: jh_group_view_msg_t, what is known of a group changed */
	JH_MSG_GROUP_VIEW,
	/** @JH_MSG_PLATFORM_REPLY: jh_platform_reply_t, answer to a request to the platform */
	JH_MSG_PLATFORM_REPLY,
	/** @JH_MSG_PLATFORM_REQUEST: jh_platform_request_t, for the platform task */
	JH_MSG_PLATFORM_REQUEST,
	/** @JH_MSG_QUOTA_REQUEST: jh_quota_msg_t, an entry needs quota of a team */
	JH_MSG_QUOTA_REQUEST,
	/** @JH_MSG_QUOTA_REPLY: jh_quota_msg_t, quota granted or refused */
	JH_MSG_QUOTA_REPLY,
	/** @JH_MSG_RECORD: jh_record_msg_t, an answer to record before its end is released */
	JH_MSG_RECORD,
	/** @JH_MSG_RECORD_DONE: jh_record_msg_t, the record is held by a second VM */
	JH_MSG_RECORD_DONE,
	/** @JH_MSG_RECORD_STATE: jh_record_state_msg_t, whether new work can be recorded */
	JH_MSG_RECORD_STATE,
	/** @JH_MSG_ROW: jh_row_msg_t, the mirror learned of a row's change */
	JH_MSG_ROW,
	/** @JH_MSG_MIRROR_LEASE: jh_mirror_lease_msg_t, how long the mirror may be relied on */
	JH_MSG_MIRROR_LEASE,
	/** @JH_MSG_VM_VERSION: jh_vm_version_msg_t, how much of the fleet's table a VM knows */
	JH_MSG_VM_VERSION,
	/** @JH_MSG_FLEET_CONFIG: jh_fleet_config_msg_t, the configuration in force */
	JH_MSG_FLEET_CONFIG,
	/** @JH_MSG_MEMBER: jh_member_msg_t, a member came, changed or went */
	JH_MSG_MEMBER,
	/** @JH_MSG_PRIMARY: jh_primary_msg_t, a group's primary changed or is changing */
	JH_MSG_PRIMARY,
	/** @JH_MSG_PRIMARY_REPORT: jh_primary_report_msg_t, a primary does not serve this VM */
	JH_MSG_PRIMARY_REPORT,
	JH_MSG_TYPES,
} jh_msg_type_t;

/**
 * struct jh_msg - a message to a task
 * @type: what @body is
 * @from: sending task
 * @body: reference-counted box (g_rc_box_*), borrowed during delivery
 * @clear: frees what @body holds when its last reference ends; may be NULL
 */
typedef struct jh_msg {
	jh_msg_type_t type;
	jh_handle_t from;
	void *body;
	GDestroyNotify clear;
} jh_msg_t;

/** JH_MODULE_MAX_TYPES - most message types or frame kinds that a module lists */
#define JH_MODULE_MAX_TYPES 24

/**
 * struct jh_module - a plug-in's whole face
 * @name: unique, lower case
 * @doc: one line for operators
 * @subscriptions: message types delivered when published, ended by JH_MSG_TYPES
 * @frames: kinds of frame (Jh__Frame body cases) that it receives, ended by 0
 * @init: set the state up; returns 0, or -1 with the error set and nothing left behind
 * @on_message: take one message
 * @drain: take no new work (first phase of a graceful shutdown); may be NULL
 * @is_drained: true once its work in hand is finished; may be NULL
 * @fini: free everything
 * @show: rows on an operator's topic, new, or NULL if the topic is another module's; may be NULL
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

/** jh_kernel_new() - make a kernel on its own loop; borrows @settings. Return: new or NULL */
jh_kernel_t *jh_kernel_new(const jh_settings_t *settings, jh_error_t *err);

/** jh_kernel_add() - start a module's task. Return: 0, or -1 with the error set */
int jh_kernel_add(jh_kernel_t *kernel, const jh_module_t *module, jh_error_t *err);

/** jh_kernel_run() - run until drained or stopped */
void jh_kernel_run(jh_kernel_t *kernel);

/** jh_kernel_drain() - begin a graceful shutdown: no new work, finish, then return from run */
void jh_kernel_drain(jh_kernel_t *kernel);

/** jh_kernel_is_draining() - true from jh_kernel_drain() on */
bool jh_kernel_is_draining(const jh_kernel_t *kernel);

/** jh_kernel_stop() - return from jh_kernel_run() at once */
void jh_kernel_stop(jh_kernel_t *kernel);

/** jh_kernel_free() - end all tasks, in reverse order of their start, and free the kernel */
void jh_kernel_free(jh_kernel_t *kernel);

/** jh_kernel_settings() - Return: borrowed settings */
const jh_settings_t *jh_kernel_settings(const jh_kernel_t *kernel);

/** jh_kernel_loop() - Return: the libev loop, borrowed */
struct ev_loop *jh_kernel_loop(const jh_kernel_t *kernel);

/** jh_kernel_now_us() - monotonic time of this turn of the loop, microseconds */
int64_t jh_kernel_now_us(const jh_kernel_t *kernel);

/** jh_kernel_boot() - random id of this process's life; never 0 */
uint64_t jh_kernel_boot(const jh_kernel_t *kernel);

/** jh_kernel_find() - task of the module named @name. Return: handle or JH_HANDLE_NONE */
jh_handle_t jh_kernel_find(const jh_kernel_t *kernel, const char *name);

/** jh_kernel_find_frame() - task that receives frames of @kind. Return: handle or none */
jh_handle_t jh_kernel_find_frame(const jh_kernel_t *kernel, int kind);

/** jh_kernel_show() - ask the modules for rows on @topic. Return: new, NULL if none knows it */
jh_rows_t *jh_kernel_show(const jh_kernel_t *kernel, const char *topic);

/* A task's own view of itself. */
jh_kernel_t *jh_task_kernel(const jh_task_t *task);
struct ev_loop *jh_task_loop(const jh_task_t *task);
void *jh_task_state(const jh_task_t *task);
void jh_task_set_state(jh_task_t *task, void *state);
jh_handle_t jh_kernel_task_handle(const jh_task_t *task);

/**
 * jh_post() - put a message into another task's mailbox
 * @from: sender
 * @to: receiver; one that has ended drops the message
 * @type: what @body is
 * @body: box made with g_rc_box_new0(); the call takes over one reference
 * @clear: frees what the body holds, or NULL
 */
void jh_post(jh_task_t *from, jh_handle_t to, jh_msg_type_t type, void *body, GDestroyNotify clear);

/** jh_publish() - post to every other task that subscribes to @type; takes one reference over */
void jh_publish(jh_task_t *from, jh_msg_type_t type, void *body, GDestroyNotify clear);

#endif
