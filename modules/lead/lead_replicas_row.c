#include "internal/lead.h"

#include "jh_log.h"
#include "jh_mirror.h"
#include "jh_platform.h"
#include "jh_primary_change.h"
#include "jh_replicas_row.h"

#include <string.h>

/*
 * The row of a group's replicas, see jh_replicas_row.h. It tells a leader that has just started
 * which members the commits of a group with synchronous replicas may rest on, although the
 * registrations of some have disappeared before its start.
 */

/*
 * The leader adds a member at its next tick. The other voters do it after this time, and after a
 * random time up to it again, in case that no VM leads; microseconds.
 */
#define RECORD_DELAY_US (1000 * 1000)

/* Pause after a write that failed, microseconds. */
#define RECORD_RETRY_US (1000 * INT64_C(1000))

static bool is_registered(const _jh_leader_t *leader, const jh_member_t *replica)
{
	const jh_member_t *member = g_hash_table_lookup(leader->members, replica->id);

	return member && member->started_ms == replica->started_ms &&
	       member->group == replica->group;
}

/* Replaces the recorded replicas. Those that the row does not list any more do not matter. */
static void group_set_recorded(_jh_leader_group_t *group, GHashTable *recorded)
{
	_jh_leader_t *leader = group->leader;
	GHashTable *before = group->recorded;
	GHashTableIter iter;
	void *key;
	void *value;

	group->recorded = recorded;
	g_hash_table_iter_init(&iter, before);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		if (g_hash_table_contains(recorded, key))
			continue;
		/* The leader has given it up, or its address was taken over. */
		if (g_hash_table_remove(leader->unlisted, key))
			g_hash_table_replace(leader->given_up, g_strdup(key), (void *)group->name);
	}
	g_hash_table_destroy(before);
	g_hash_table_iter_init(&iter, recorded);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		if (!is_registered(leader, value) && !g_hash_table_contains(leader->unlisted, key))
			_jh_leader_add_unlisted(leader, value);
	}
}

void _jh_leader_apply_replicas_row(_jh_leader_t *leader, const jh_row_msg_t *row)
{
	const char *name = row->name + strlen(JH_REPLICAS_ROW_PREFIX);
	_jh_leader_group_t *group = _jh_leader_group_get(leader, name);
	jh_error_t err = JH_ERROR_INIT;
	GHashTable *recorded = jh_replicas_parse(group->name, row->body, &err);

	group->recorded_version = row->body ? row->version : 0;
	group->is_record_damaged = !recorded;
	if (recorded)
		group_set_recorded(group, recorded);
	else
		jh_log(JH_LOG_WARNING, "lead", "replicas_unreadable", "group=%s reason=%s",
		       jh_log_value(group->name), jh_log_value(err.message));
	jh_error_clear(&err);
}

/* Return: new set of the group's members that are registered, or whose registration disappeared */
static GHashTable *known_replicas_new(const _jh_leader_group_t *group)
{
	GHashTable *known = jh_replicas_new();
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, group->leader->members);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (((const jh_member_t *)value)->group == group->name)
			jh_replicas_add(known, value);
	}
	g_hash_table_iter_init(&iter, group->leader->unlisted);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const jh_member_t *member = ((const _jh_leader_unlisted_t *)value)->member;

		if (member->group == group->name)
			jh_replicas_add(known, member);
	}
	return known;
}

/* Return: whether a VM that does not lead has waited long enough for the leader to write */
static bool group_record_is_due(_jh_leader_group_t *group)
{
	int64_t now_us = jh_boot_time_us();

	if (group->record_due_us == 0)
		group->record_due_us =
			now_us + RECORD_DELAY_US + g_random_int_range(0, RECORD_DELAY_US);
	return now_us >= group->record_due_us &&
	       jh_voters_include(group->leader->voters, _jh_leader_self(group->leader));
}

static void group_write_record(_jh_leader_group_t *group, const GHashTable *replicas)
{
	_jh_leader_t *leader = group->leader;
	GPtrArray *writes = jh_store_writes_new();
	char *row = jh_replicas_row_name(group->name);
	char *text = jh_replicas_format(replicas);

	jh_log(JH_LOG_INFO, "lead", "replicas_recorded", "group=%s replicas=%u before=%u",
	       jh_log_value(group->name), g_hash_table_size((GHashTable *)replicas),
	       g_hash_table_size(group->recorded));
	jh_store_write_add(writes, JH_STORE_PUT, row, group->recorded_version, text);
	if (_jh_leader_is_self(leader))
		jh_store_write_add(writes, JH_STORE_CHECK, JH_LEADER_ROW, leader->row_version,
				   NULL);
	group->is_recording = true;
	jh_platform_commit(leader->task, jh_mirror_table_name(JH_MIRROR_FLEET), writes,
			   group->record_tag);
	g_free(text);
	g_free(row);
}

static void add_recorded(GHashTable *replicas, const _jh_leader_group_t *group)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, group->recorded);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		jh_replicas_add(replicas, value);
}

void _jh_leader_replicas_row_step(_jh_leader_group_t *group)
{
	bool is_leader = _jh_leader_is_self(group->leader);
	GHashTable *known;
	bool is_complete;
	bool is_current;

	if (_jh_leader_sync_replicas(group) == 0 || group->is_recording ||
	    jh_boot_time_us() < group->record_paused_until_us)
		return;
	known = known_replicas_new(group);
	is_complete = !group->is_record_damaged && jh_replicas_include(group->recorded, known);
	is_current = is_complete && (!is_leader || jh_replicas_include(known, group->recorded));
	if (is_current) {
		group->record_due_us = 0;
	} else if (is_leader) {
		group_write_record(group, known);
	} else if (group_record_is_due(group)) {
		add_recorded(known, group);
		group_write_record(group, known);
	}
	g_hash_table_destroy(known);
}

void _jh_leader_replicas_row_handle_write(_jh_leader_group_t *group,
					  const jh_platform_reply_t *reply)
{
	group->is_recording = false;
	group->record_due_us = 0;
	if (reply->status != JH_PLATFORM_OK)
		group->record_paused_until_us = jh_boot_time_us() + RECORD_RETRY_US;
}
