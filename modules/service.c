#include "jh_platform.h"
#include "jh_service.h"

/* ---- platform ---- */

static void platform_request_clear(gpointer data)
{
	jh_platform_request_t *request = data;

	g_free(request->table);
	g_free(request->name);
	if (request->body)
		g_bytes_unref(request->body);
}

void jh_platform_send(jh_task_t *from, jh_platform_call_t call, const char *table, const char *name,
		      uint64_t version, GBytes *body, uint64_t tag)
{
	jh_platform_request_t *request = g_rc_box_new0(jh_platform_request_t);

	request->call = call;
	request->table = g_strdup(table);
	request->name = g_strdup(name);
	request->version = version;
	request->body = body ? g_bytes_ref(body) : NULL;
	request->tag = tag;
	jh_post(from, jh_kernel_find(jh_task_kernel(from), "platform"), JH_MSG_PLATFORM_REQUEST,
		request, platform_request_clear);
}

/* ---- quota ---- */

void jh_quota_ask(jh_task_t *from, const char *team, double cost, int64_t wait_us, uint64_t tag)
{
	jh_quota_msg_t *msg = g_rc_box_new0(jh_quota_msg_t);

	msg->team = g_intern_string(team);
	msg->cost = cost;
	msg->wait_us = wait_us;
	msg->tag = tag;
	jh_post(from, jh_kernel_find(jh_task_kernel(from), "quota"), JH_MSG_QUOTA_REQUEST, msg,
		NULL);
}

void jh_quota_answer(jh_task_t *from, jh_handle_t to, uint64_t tag, bool granted,
		     uint32_t retry_after_ms)
{
	jh_quota_msg_t *msg = g_rc_box_new0(jh_quota_msg_t);

	msg->tag = tag;
	msg->granted = granted;
	msg->retry_after_ms = retry_after_ms;
	jh_post(from, to, JH_MSG_QUOTA_REPLY, msg, NULL);
}

/* ---- record ---- */

static void record_msg_clear(gpointer data)
{
	g_free(((jh_record_msg_t *)data)->line);
}

void jh_record_write(jh_task_t *from, char *line, uint64_t tag)
{
	jh_record_msg_t *msg = g_rc_box_new0(jh_record_msg_t);

	msg->line = line;
	msg->tag = tag;
	jh_post(from, jh_kernel_find(jh_task_kernel(from), "record"), JH_MSG_RECORD, msg,
		record_msg_clear);
}

void jh_record_answer(jh_task_t *from, jh_handle_t to, uint64_t tag, bool held,
		      uint32_t retry_after_ms)
{
	jh_record_msg_t *msg = g_rc_box_new0(jh_record_msg_t);

	msg->tag = tag;
	msg->held = held;
	msg->retry_after_ms = retry_after_ms;
	jh_post(from, to, JH_MSG_RECORD_DONE, msg, record_msg_clear);
}
