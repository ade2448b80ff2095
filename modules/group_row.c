#include "internal/_jh_group.h"
#include "jh_log.h"

#include <jansson.h>
#include <string.h>

/*
 * The platform's row of a group: a copy of its term and primary for operators and tools. The
 * majority of the members issues the terms; the row is written afterwards, by compare-and-set, and
 * its term never decreases. If a write fails or its outcome is unknown, the row is read again
 * before the next write.
 */

#define ROW_TABLE "groups"

/* Shortest interval between two attempts to read and write the row. */
#define ROW_RETRY_INTERVAL_US ((int64_t)1000 * 1000)

static void row_request_read(_jh_group_t *group)
{
	group->row.request_pending = true;
	jh_platform_send(group->groups->task, JH_PLATFORM_GET_ROW, ROW_TABLE, group->name, 0, NULL,
			 group->row.tag);
}

/* Compare-and-set: writes the row if its version is still @version (0: if it does not exist). */
static void row_request_write(_jh_group_t *group, uint64_t version)
{
	json_t *json = json_pack("{s:I, s:s, s:s}", "term", (json_int_t)group->row.term, "primary",
				 group->row.primary, "by", group->groups->vm);
	char *text = json_dumps(json, JSON_COMPACT);
	GBytes *body = g_bytes_new(text, strlen(text));

	group->row.request_pending = true;
	jh_platform_send(group->groups->task, JH_PLATFORM_PUT_ROW, ROW_TABLE, group->name, version,
			 body, group->row.tag);
	g_bytes_unref(body);
	free(text);
	json_decref(json);
}

/* Return: term in the row's JSON text, 0 if it can't be parsed */
static uint64_t row_parse_term(GBytes *body)
{
	gsize length = 0;
	const char *text = body ? g_bytes_get_data(body, &length) : NULL;
	json_error_t json_error;
	json_t *json = text ? json_loadb(text, length, 0, &json_error) : NULL;
	json_int_t term = json_integer_value(json_object_get(json, "term"));

	json_decref(json);
	return term > 0 ? (uint64_t)term : 0;
}

/* Writes the row if its term is lower than the scheduled one; a tick retries a failed read. */
static void row_handle_read(_jh_group_t *group, const jh_platform_reply_t *reply)
{
	if (reply->status == JH_PLATFORM_NOT_FOUND)
		row_request_write(group, 0);
	else if (reply->status != JH_PLATFORM_OK)
		return;
	else if (row_parse_term(reply->body) < group->row.term)
		row_request_write(group, reply->version);
	else
		group->row.term = 0;
}

static void row_handle_write(_jh_group_t *group, const jh_platform_reply_t *reply)
{
	if (reply->status != JH_PLATFORM_OK)
		return;
	jh_log(JH_LOG_INFO, "group", "row_written",
	       "group=%s term=%" G_GUINT64_FORMAT " primary=%s", group->name, group->row.term,
	       group->row.primary);
	group->row.term = 0;
}

void _jh_group_row_schedule_write(_jh_group_t *group, uint64_t term, const char *primary)
{
	g_free(group->row.primary);
	group->row.primary = g_strdup(primary);
	group->row.term = term;
	group->row.retry_us = 0;
}

void _jh_group_row_tick(_jh_group_t *group, int64_t now_us)
{
	if (group->row.term == 0 || group->row.request_pending || now_us < group->row.retry_us)
		return;
	group->row.retry_us = now_us + ROW_RETRY_INTERVAL_US;
	row_request_read(group);
}

void _jh_group_row_handle_reply(_jh_group_t *group, const jh_platform_reply_t *reply)
{
	group->row.request_pending = false;
	if (group->row.term == 0)
		return;
	if (reply->call == JH_PLATFORM_GET_ROW)
		row_handle_read(group, reply);
	else
		row_handle_write(group, reply);
}
