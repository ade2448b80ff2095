#include "jh_platform.h"
#include "jh_service.h"

/* ---- Requests to the platform ---- */

void jh_platform_request_clear(void *data)
{
	jh_platform_request_t *request = data;

	g_free(request->table);
	g_free(request->name);
	g_free(request->holder);
	if (request->body)
		g_bytes_unref(request->body);
	if (request->writes)
		g_ptr_array_unref(request->writes);
}

/*
 * Takes ownership of what @request owns. The mirror task, if one runs, gets the requests of all
 * other tasks: it replies from its copy where it can and forwards the rest to the platform task.
 */
static void post_request(jh_task_t *from, const jh_platform_request_t *request)
{
	jh_kernel_t *kernel = jh_task_kernel(from);
	jh_platform_request_t *body = g_rc_box_new0(jh_platform_request_t);
	jh_handle_t to = jh_kernel_find(kernel, "mirror");

	*body = *request;
	if (to == JH_HANDLE_NONE || jh_task_handle(from) == to)
		to = jh_kernel_find(kernel, "platform");
	jh_post(from, to, JH_MSG_PLATFORM_REQUEST, body, jh_platform_request_clear);
}

void jh_platform_send(jh_task_t *from, jh_platform_call_t call, const char *table, const char *name,
		      uint64_t version, GBytes *body, uint64_t tag)
{
	post_request(from, &(jh_platform_request_t){ .call = call,
						     .table = g_strdup(table),
						     .name = g_strdup(name),
						     .version = version,
						     .body = body ? g_bytes_ref(body) : NULL,
						     .tag = tag });
}

void jh_platform_scan(jh_task_t *from, const char *table, const char *after, uint64_t tag)
{
	jh_platform_send(from, JH_PLATFORM_SCAN, table, after, 0, NULL, tag);
}

void jh_platform_feed(jh_task_t *from, const char *table, uint64_t version, uint32_t wait_ms,
		      uint64_t tag)
{
	post_request(from, &(jh_platform_request_t){ .call = JH_PLATFORM_FEED,
						     .table = g_strdup(table),
						     .version = version,
						     .wait_ms = wait_ms,
						     .tag = tag });
}

void jh_platform_end_feed(jh_task_t *from, uint64_t tag)
{
	post_request(from, &(jh_platform_request_t){ .call = JH_PLATFORM_END_FEED, .tag = tag });
}

void jh_platform_commit(jh_task_t *from, const char *table, GPtrArray *writes, uint64_t tag)
{
	post_request(from, &(jh_platform_request_t){ .call = JH_PLATFORM_COMMIT,
						     .table = g_strdup(table),
						     .writes = writes,
						     .tag = tag });
}

void jh_platform_promote(jh_task_t *from, const char *group, const char *member, const char *holder,
			 uint64_t fence, uint64_t tag)
{
	post_request(from, &(jh_platform_request_t){ .call = JH_PLATFORM_PROMOTE,
						     .table = g_strdup(group),
						     .name = g_strdup(member),
						     .holder = g_strdup(holder),
						     .fence = fence,
						     .tag = tag });
}

/* ---- Quota requests and replies ---- */

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

void jh_quota_reply(jh_task_t *from, jh_handle_t to, const jh_quota_msg_t *reply)
{
	jh_quota_msg_t *msg = g_rc_box_new0(jh_quota_msg_t);

	*msg = *reply;
	jh_post(from, to, JH_MSG_QUOTA_REPLY, msg, NULL);
}

void jh_quota_give_back(jh_task_t *from, const char *team, uint64_t grant)
{
	jh_quota_msg_t *msg = g_rc_box_new0(jh_quota_msg_t);

	msg->team = g_intern_string(team);
	msg->grant = grant;
	jh_post(from, jh_kernel_find(jh_task_kernel(from), "quota"), JH_MSG_QUOTA_GIVE_BACK, msg,
		NULL);
}

const char *jh_quota_refusal_text(jh_quota_refusal_t refusal)
{
	static const char *const texts[JH_QUOTA_REFUSALS] = {
		[JH_QUOTA_AT_RATE] = "the team is at its rate",
		[JH_QUOTA_NO_SHARES] = "the team's quota is not in use yet",
		[JH_QUOTA_NO_SERVER] = "no quota server of the team replies",
		[JH_QUOTA_ISOLATED] = "this vm is cut off from the others",
		[JH_QUOTA_NO_TEAM] = "the team's limit is not known yet",
	};

	return texts[refusal];
}

/* ---- Lines of the audit record ---- */

static void record_msg_clear(gpointer data)
{
	g_free(((jh_record_msg_t *)data)->line);
}

void jh_record_write(jh_task_t *from, char *line, uint64_t tag)
{
	jh_record_msg_t *msg = g_rc_box_new0(jh_record_msg_t);

	msg->line = line;
	msg->tag = tag;
	jh_post(from, jh_kernel_find(jh_task_kernel(from), "record"), JH_MSG_RECORD_REQUEST, msg,
		record_msg_clear);
}

void jh_record_reply(jh_task_t *from, jh_handle_t to, uint64_t tag, bool held,
		     uint32_t retry_after_ms)
{
	jh_record_msg_t *msg = g_rc_box_new0(jh_record_msg_t);

	msg->tag = tag;
	msg->held = held;
	msg->retry_after_ms = retry_after_ms;
	jh_post(from, to, JH_MSG_RECORD_REPLY, msg, record_msg_clear);
}
