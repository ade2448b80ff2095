#ifndef JH_FRAME_H
#define JH_FRAME_H

#include "jh_config.h"
#include "jh_kernel.h"
#include "jh_view.h"
#include "peer.pb-c.h"

/**
 * DOC: Frames and the messages that carry them
 *
 * Frames between daemons are protobuf messages behind a 4-byte big-endian length. Tasks send with
 * jh_frame_send() and receive JH_MSG_FRAME_IN for the kinds that their module lists; a frame to
 * this VM itself is delivered without a socket.
 */

/** JH_FRAME_MAX_BYTES - longest frame accepted; larger ones close the connection */
#define JH_FRAME_MAX_BYTES (16u * 1024 * 1024)

/** JH_FRAME_HEADER_BYTES - length prefix */
#define JH_FRAME_HEADER_BYTES 4u

/**
 * struct jh_frame_msg - body of JH_MSG_FRAME_IN and JH_MSG_FRAME_OUT
 * @vm: interned name of the other VM
 * @boot: the sender's boot (FRAME_IN)
 * @frame: owned by the box
 */
typedef struct jh_frame_msg {
	const char *vm;
	uint64_t boot;
	Jh__Frame *frame;
} jh_frame_msg_t;

/**
 * struct jh_config_msg - body of JH_MSG_CONFIG
 * @config: in force from now on; holds one reference
 * @isolated: this daemon may have missed a change, such as the withdrawal of a key: it reaches
 *            neither the platform nor half of its peers. Published again when this changes
 */
typedef struct jh_config_msg {
	jh_config_t *config;
	bool isolated;
} jh_config_msg_t;

/** struct jh_vms_msg - body of JH_MSG_VMS; @vms: array of jh_vm_t *, this VM included */
typedef struct jh_vms_msg {
	GPtrArray *vms;
} jh_vms_msg_t;

/** struct jh_peer_msg - body of JH_MSG_PEER_DOWN; @boot is the life that ended */
typedef struct jh_peer_msg {
	const char *vm;
	uint64_t boot;
} jh_peer_msg_t;

/** struct jh_group_view_msg - body of JH_MSG_GROUP_VIEW */
typedef struct jh_group_view_msg {
	jh_group_view_t *view;
} jh_group_view_msg_t;

/** jh_frame_new() - make a frame of a kind. Return: new; free with jh_frame_free() */
Jh__Frame *jh_frame_new(Jh__Frame__BodyCase kind);

/** jh_frame_free() - free a frame and all it holds (g_malloc'ed strings and arrays) */
void jh_frame_free(Jh__Frame *frame);

/** jh_frame_pack() - append length and bytes to @out */
void jh_frame_pack(const Jh__Frame *frame, GByteArray *out);

/**
 * jh_frame_unpack() - take the first whole frame from a buffer
 * @data: bytes received
 * @length: how many
 * @used: set to the bytes taken, 0 if the frame is not whole yet
 * @err: JH_ERR_PROTOCOL if it is too long or malformed
 *
 * Return: 0 with *@frame set (NULL if not whole yet), or -1
 */
int jh_frame_unpack(const uint8_t *data, size_t length, size_t *used, Jh__Frame **frame,
		    jh_error_t *err);

/** jh_frame_send() - send @frame to @vm through the peer task; takes the frame over */
void jh_frame_send(jh_task_t *from, const char *vm, Jh__Frame *frame);

/** jh_frame_deliver() - post a received frame to the task that handles its kind; takes it over */
void jh_frame_deliver(jh_task_t *from, const char *vm, uint64_t boot, Jh__Frame *frame);

/** jh_strdup() - copy for a field of a frame. Return: new, freed with the frame */
char *jh_strdup(const char *text);

/** jh_vm_copy() - deep copy. Return: new; free with jh_vm_free() */
jh_vm_t *jh_vm_copy(const jh_vm_t *vm);
void jh_vm_free(void *vm);

/** jh_group_view_copy() - deep copy. Return: new; free with jh_group_view_free() */
jh_group_view_t *jh_group_view_copy(const jh_group_view_t *view);
void jh_group_view_free(void *view);

/** jh_vms_publish() - publish JH_MSG_VMS; takes the array over */
void jh_vms_publish(jh_task_t *from, GPtrArray *vms);

/** jh_config_publish() - publish JH_MSG_CONFIG; takes one reference over */
void jh_config_publish(jh_task_t *from, jh_config_t *config, bool isolated);

/** jh_group_view_publish() - publish JH_MSG_GROUP_VIEW; takes the view over */
void jh_group_view_publish(jh_task_t *from, jh_group_view_t *view);

#endif
