#include "jh_frame.h"

#include <string.h>

/* ---- Frames ---- */

/* Descriptor of the field for bodies of @kind. It also gives the type of these bodies, so that the
 * kinds need not be listed here. */
static const ProtobufCFieldDescriptor *frame_body_field(Jh__Frame__BodyCase kind)
{
	return protobuf_c_message_descriptor_get_field(&jh__frame__descriptor, kind);
}

Jh__Frame *jh_frame_new(Jh__Frame__BodyCase kind)
{
	const ProtobufCFieldDescriptor *field = frame_body_field(kind);
	const ProtobufCMessageDescriptor *type = field->descriptor;
	Jh__Frame *frame = g_new0(Jh__Frame, 1);
	ProtobufCMessage *body = g_malloc0(type->sizeof_message);

	jh__frame__init(frame);
	type->message_init(body);
	frame->body_case = kind;
	/* All members of the oneof are pointers at the same address; any of them sets the body. */
	frame->hello = (Jh__Hello *)body;
	return frame;
}

void jh_frame_free(Jh__Frame *frame)
{
	if (frame)
		jh__frame__free_unpacked(frame, NULL);
}

void jh_frame_pack(const Jh__Frame *frame, GByteArray *out)
{
	size_t length = jh__frame__get_packed_size(frame);
	uint32_t header = GUINT32_TO_BE((uint32_t)length);
	guint start = out->len;

	g_byte_array_append(out, (const guint8 *)&header, sizeof(header));
	g_byte_array_set_size(out, start + JH_FRAME_HEADER_BYTES + (guint)length);
	jh__frame__pack(frame, out->data + start + JH_FRAME_HEADER_BYTES);
}

int jh_frame_unpack(const uint8_t *data, size_t length, size_t *consumed, Jh__Frame **frame,
		    jh_error_t *err)
{
	uint32_t body_bytes;

	*consumed = 0;
	*frame = NULL;
	if (length < JH_FRAME_HEADER_BYTES)
		return 0;
	memcpy(&body_bytes, data, sizeof(body_bytes));
	body_bytes = GUINT32_FROM_BE(body_bytes);
	if (body_bytes > JH_FRAME_MAX_BYTES)
		return jh_error_set(err, JH_ERR_PROTOCOL, "a frame of %u bytes is too long",
				    body_bytes);
	if (length - JH_FRAME_HEADER_BYTES < body_bytes)
		return 0;
	*frame = jh__frame__unpack(NULL, body_bytes, data + JH_FRAME_HEADER_BYTES);
	if (!*frame)
		return jh_error_set(err, JH_ERR_PROTOCOL, "a frame of %u bytes is malformed",
				    body_bytes);
	*consumed = JH_FRAME_HEADER_BYTES + body_bytes;
	return 0;
}

char *jh_frame_strdup(const char *text)
{
	return g_strdup(text ? text : "");
}

ProtobufCBinaryData jh_frame_bytes(const char *bytes, size_t length)
{
	return (ProtobufCBinaryData){ .len = length, .data = g_memdup2(bytes, length) };
}

/* ---- Messages that carry frames ---- */

static void frame_msg_clear(gpointer data)
{
	jh_frame_msg_t *msg = data;

	jh_frame_free(msg->frame);
}

static jh_frame_msg_t *frame_msg_new(const char *vm, uint64_t boot, Jh__Frame *frame)
{
	jh_frame_msg_t *msg = g_rc_box_new0(jh_frame_msg_t);

	msg->vm = g_intern_string(vm);
	msg->boot = boot;
	msg->frame = frame;
	return msg;
}

void jh_frame_send(jh_task_t *from, const char *vm, Jh__Frame *frame)
{
	jh_kernel_t *kernel = jh_task_kernel(from);

	if (g_str_equal(vm, jh_kernel_settings(kernel)->vm)) {
		jh_frame_deliver(from, vm, jh_kernel_boot(kernel), frame);
		return;
	}
	jh_post(from, jh_kernel_find(kernel, "peer"), JH_MSG_FRAME_OUT, frame_msg_new(vm, 0, frame),
		frame_msg_clear);
}

void jh_frame_deliver(jh_task_t *from, const char *vm, uint64_t boot, Jh__Frame *frame)
{
	jh_handle_t to = jh_kernel_find_frame(jh_task_kernel(from), frame->body_case);

	jh_post(from, to, JH_MSG_FRAME_IN, frame_msg_new(vm, boot, frame), frame_msg_clear);
}

/* ---- Copies of VMs and group views ---- */

jh_vm_t *jh_vm_copy(const jh_vm_t *vm)
{
	jh_vm_t *copy = g_new0(jh_vm_t, 1);

	*copy = *vm;
	copy->name = g_strdup(vm->name);
	copy->dc = g_strdup(vm->dc);
	copy->host = g_strdup(vm->host);
	return copy;
}

void jh_vm_free(void *data)
{
	jh_vm_t *vm = data;

	g_free(vm->name);
	g_free(vm->dc);
	g_free(vm->host);
	g_free(vm);
}

static void database_view_free(gpointer data)
{
	jh_database_view_t *view = data;

	g_free(view->name);
	g_free(view);
}

jh_group_view_t *jh_group_view_copy(const jh_group_view_t *view)
{
	jh_group_view_t *copy = g_new0(jh_group_view_t, 1);
	unsigned i;

	copy->group = g_strdup(view->group);
	copy->term = view->term;
	copy->primary = g_strdup(view->primary);
	copy->databases = g_ptr_array_new_with_free_func(database_view_free);
	for (i = 0; i < view->databases->len; i++) {
		const jh_database_view_t *database = g_ptr_array_index(view->databases, i);
		jh_database_view_t *database_copy = g_new0(jh_database_view_t, 1);

		*database_copy = *database;
		database_copy->name = g_strdup(database->name);
		g_ptr_array_add(copy->databases, database_copy);
	}
	return copy;
}

void jh_group_view_free(void *data)
{
	jh_group_view_t *view = data;

	if (!view)
		return;
	g_free(view->group);
	g_free(view->primary);
	g_ptr_array_set_free_func(view->databases, database_view_free);
	g_ptr_array_free(view->databases, TRUE);
	g_free(view);
}

/* ---- Messages published to tasks ---- */

static void vms_msg_clear(gpointer data)
{
	g_ptr_array_unref(((jh_vms_msg_t *)data)->vms);
}

void jh_vms_publish(jh_task_t *from, GPtrArray *vms, bool is_listed)
{
	jh_vms_msg_t *msg = g_rc_box_new0(jh_vms_msg_t);

	g_ptr_array_set_free_func(vms, jh_vm_free);
	msg->vms = vms;
	msg->is_listed = is_listed;
	jh_publish(from, JH_MSG_VMS, msg, vms_msg_clear);
}

static void config_msg_clear(gpointer data)
{
	jh_config_unref(((jh_config_msg_t *)data)->config);
}

void jh_config_publish(jh_task_t *from, jh_config_t *config, bool isolated)
{
	jh_config_msg_t *msg = g_rc_box_new0(jh_config_msg_t);

	msg->config = config;
	msg->isolated = isolated;
	jh_publish(from, JH_MSG_CONFIG, msg, config_msg_clear);
}

static void group_view_msg_clear(gpointer data)
{
	jh_group_view_free(((jh_group_view_msg_t *)data)->view);
}

void jh_group_view_publish(jh_task_t *from, jh_group_view_t *view)
{
	jh_group_view_msg_t *msg = g_rc_box_new0(jh_group_view_msg_t);

	msg->view = view;
	jh_publish(from, JH_MSG_GROUP_VIEW, msg, group_view_msg_clear);
}
