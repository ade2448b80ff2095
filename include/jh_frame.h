#ifndef JH_FRAME_H
#define JH_FRAME_H

#include "jh_config.h"
#include "jh_kernel.h"
#include "jh_view.h"
#include "peer.pb-c.h"

/**
 * DOC: Frames and the messages that carry them
 *
 * Daemons exchange frames. A frame is a protobuf message of type Frame, preceded by its length as a
 * 4-byte big-endian number. A task sends a frame with jh_frame_send(); the task whose module lists
 * that kind of frame receives it as JH_MSG_FRAME_IN. A frame to this VM itself is delivered without
 * a connection. The other structs here are bodies of messages that several modules publish.
 */

/** JH_FRAME_MAX_BYTES - longest protobuf message of a frame; a longer one closes the connection */
#define JH_FRAME_MAX_BYTES (16u * 1024 * 1024)

/** JH_FRAME_HEADER_BYTES - size of the length prefix */
#define JH_FRAME_HEADER_BYTES 4u

/**
 * struct jh_frame_msg - body of JH_MSG_FRAME_IN and JH_MSG_FRAME_OUT
 * @vm: name of the VM that sent the frame (FRAME_IN) or gets it (FRAME_OUT); interned
 * @boot: boot id of the sender's instance (FRAME_IN); 0 if the peer task made the frame, or in
 *	FRAME_OUT
 * @frame: owned
 */
typedef struct jh_frame_msg {
	const char *vm;
	uint64_t boot;
	Jh__Frame *frame;
} jh_frame_msg_t;

/**
 * struct jh_config_msg - body of JH_MSG_CONFIG
 * @config: the configuration in force; the message owns one reference
 * @isolated: this daemon may have missed a change, such as the withdrawal of a key, because it
 *	reaches neither the platform nor half of its neighbours; see jh_config_sync_is_isolated();
 *	postgresql profile only
 *
 * Published when a new version comes into force and when @isolated changes.
 */
typedef struct jh_config_msg {
	jh_config_t *config;
	bool isolated;
} jh_config_msg_t;

/**
 * struct jh_vms_msg - body of JH_MSG_VMS, published when the list of VMs or a VM's state changes
 * @vms: array of jh_vm_t *, including this VM; owned
 * @is_listed: the platform's list has been read, so that every listed VM is in @vms
 */
typedef struct jh_vms_msg {
	GPtrArray *vms;
	bool is_listed;
} jh_vms_msg_t;

/**
 * struct jh_peer_down_msg - body of JH_MSG_PEER_DOWN: an instance of a peer ended or lost its
 * connection
 * @vm: name of the peer; interned
 * @boot: boot id of that instance; the outcome of requests in progress with it is unknown
 */
typedef struct jh_peer_down_msg {
	const char *vm;
	uint64_t boot;
} jh_peer_down_msg_t;

/**
 * struct jh_group_view_msg - body of JH_MSG_GROUP_VIEW, published when a group's state changes
 * @view: last known state of the group; owned
 */
typedef struct jh_group_view_msg {
	jh_group_view_t *view;
} jh_group_view_msg_t;

/** jh_frame_bytes() - copy bytes into a field of a frame */
ProtobufCBinaryData jh_frame_bytes(const char *bytes, size_t length);

/** jh_frame_new() - make a frame with an empty body of @kind. Return: new; see jh_frame_free() */
Jh__Frame *jh_frame_new(Jh__Frame__BodyCase kind);

/** jh_frame_free() - free a frame (NULL allowed) and its strings and arrays, made by g_malloc() */
void jh_frame_free(Jh__Frame *frame);

/** jh_frame_pack() - append the length prefix and the packed frame to @out */
void jh_frame_pack(const Jh__Frame *frame, GByteArray *out);

/**
 * jh_frame_unpack() - decode the first frame of a buffer
 * @data: bytes received
 * @length: number of these bytes
 * @consumed: set to the number of bytes that the frame occupies; 0 if none was decoded
 * @frame: set to the new frame, which the caller frees; NULL if none was decoded
 * @err: JH_ERR_PROTOCOL if the frame is too long or malformed
 *
 * Return: 0 with *@frame set, 0 with NULL if the frame is incomplete, or -1
 */
int jh_frame_unpack(const uint8_t *data, size_t length, size_t *consumed, Jh__Frame **frame,
		    jh_error_t *err);

/**
 * jh_frame_send() - send a frame to a VM through the peer task
 * @from: the sending task
 * @vm: name of the VM; may be this one
 * @frame: the call takes ownership
 *
 * The call returns before the frame is sent. A frame that can't be sent is dropped; a Request of
 * which no byte was sent is answered by an AnswerEnd with the outcome NOT_RUN.
 */
void jh_frame_send(jh_task_t *from, const char *vm, Jh__Frame *frame);

/**
 * jh_frame_deliver() - post a received frame to the task that handles its kind
 * @from: the posting task
 * @vm: name of the VM that sent the frame
 * @boot: boot id of the sender's instance, 0 if unknown
 * @frame: the call takes ownership; the frame is dropped if no task handles its kind
 */
void jh_frame_deliver(jh_task_t *from, const char *vm, uint64_t boot, Jh__Frame *frame);

/** jh_frame_strdup() - copy a string for a field of a frame. Return: new; "" if @text is NULL */
char *jh_frame_strdup(const char *text);

/** jh_vm_copy() - deep copy of a VM. Return: new; free with jh_vm_free() */
jh_vm_t *jh_vm_copy(const jh_vm_t *vm);

/** jh_vm_free() - free a VM and its strings */
void jh_vm_free(void *vm);

/** jh_group_view_copy() - deep copy of a view. Return: new; free with jh_group_view_free() */
jh_group_view_t *jh_group_view_copy(const jh_group_view_t *view);

/** jh_group_view_free() - free a view and its databases; NULL is allowed */
void jh_group_view_free(void *view);

/**
 * jh_vms_publish() - publish JH_MSG_VMS
 * @vms: takes ownership of the array and its jh_vm_t elements
 * @is_listed: see struct jh_vms_msg
 */
void jh_vms_publish(jh_task_t *from, GPtrArray *vms, bool is_listed);

/** jh_config_publish() - publish JH_MSG_CONFIG; takes ownership of one reference of @config */
void jh_config_publish(jh_task_t *from, jh_config_t *config, bool isolated);

/** jh_group_view_publish() - publish JH_MSG_GROUP_VIEW; takes ownership of @view */
void jh_group_view_publish(jh_task_t *from, jh_group_view_t *view);

#endif
