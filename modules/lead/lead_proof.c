#include "internal/lead.h"

#include "jh_log.h"
#include "jh_mirror.h"
#include "jh_platform.h"
#include "jh_primary_proof.h"

/*
 * The proof of the groups' rows by their members, after a restoration of the store that no quorum
 * of the VMs remembers: all VMs have started since, or too few of the others are left. Until the
 * store's era is confirmed no VM has a lease, and the leader neither begins a change of primary nor
 * goes on with one. It asks the members whether each row still holds, corrects those that do not,
 * and then confirms the era.
 */

/* Time between two polls of a group whose row is not proven yet, microseconds. */
#define PROOF_POLL_INTERVAL_US (200 * INT64_C(1000))

void _jh_leader_apply_era(_jh_leader_t *leader, const jh_mirror_era_msg_t *msg)
{
	if (msg->is_confirmed)
		leader->unconfirmed_since_us = 0;
	else if (leader->unconfirmed_since_us == 0 || msg->era != leader->store_era)
		leader->unconfirmed_since_us = jh_boot_time_us();
	leader->store_era = msg->era;
	leader->era = MAX(leader->era, msg->era);
	leader->is_complete = true;
}

bool _jh_leader_needs_proof(const _jh_leader_t *leader)
{
	return leader->unconfirmed_since_us != 0 && leader->lease_until_us <= jh_boot_time_us();
}

static unsigned count_members(const _jh_leader_group_t *group)
{
	unsigned count = 0;
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, group->leader->members);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		count += ((const jh_member_t *)value)->group == group->name;
	return count;
}

/*
 * Collects what the newest poll shows.
 *
 * Return: id of the member that replied as the primary of the newest term; NULL if none did
 */
static const char *group_read_proof(const _jh_leader_group_t *group, jh_primary_proof_t *proof)
{
	const char *newest = NULL;
	GHashTableIter iter;
	void *id;
	void *value;

	*proof = (jh_primary_proof_t){
		.row_term = group->primary.term,
		.primary_leads = _jh_leader_polled_primary(group) != NULL,
		.members = count_members(group),
		.replies = g_hash_table_size(group->polled_status),
		.waited_us = jh_boot_time_us() - group->proof_since_us,
		.has_successor = _jh_leader_group_has_successor(group),
	};
	g_hash_table_iter_init(&iter, group->polled_status);
	while (g_hash_table_iter_next(&iter, &id, &value)) {
		const jh_member_status_t *status = value;

		if (status->term > proof->newest_term) {
			proof->newest_term = status->term;
			newest = NULL;
		}
		if (status->term == proof->newest_term && status->is_primary)
			newest = id;
	}
	/* A member that did not reply this time may have replied to an earlier poll. */
	if (group->proof_newest_term > proof->newest_term) {
		proof->newest_term = group->proof_newest_term;
		newest = NULL;
	}
	proof->is_newest_led = newest != NULL;
	return newest;
}

static void group_apply_proof(_jh_leader_group_t *group)
{
	jh_primary_proof_t proof;
	const char *newest = group_read_proof(group, &proof);
	jh_primary_proof_step_t step = jh_primary_proof_decide(&proof);

	group->proof_newest_term = proof.newest_term;
	if (step == JH_PROOF_WAIT) {
		if (jh_boot_time_us() - group->polled_us >= PROOF_POLL_INTERVAL_US)
			_jh_leader_group_poll(group);
		return;
	}
	jh_log(JH_LOG_NOTICE, "lead", "row_proven",
	       "group=%s member=%s term=%" G_GUINT64_FORMAT " newest=%" G_GUINT64_FORMAT
	       " leads=%s replies=%u members=%u waited_ms=%d holds=%d",
	       jh_log_value(group->name), jh_log_value(group->primary.member), proof.row_term,
	       proof.newest_term, newest ? jh_log_value(newest) : "-", proof.replies, proof.members,
	       (int)(proof.waited_us / 1000), step == JH_PROOF_HOLDS);
	group->proof_since_us = 0;
	if (step == JH_PROOF_HOLDS)
		group->proven_epoch = group->primary.epoch;
	else if (step == JH_PROOF_NEWER_PRIMARY)
		_jh_leader_group_store_primary(group, newest, proof.newest_term);
	else
		_jh_leader_group_store_unproven(group);
}

/* Return: whether no VM will use a primary that was replaced, by what the group's row says */
static bool group_is_proven(const _jh_leader_group_t *group)
{
	return group->primary.epoch == 0 ||
	       (group->primary.is_changing && group->primary.is_unproven) ||
	       group->proven_epoch == group->primary.epoch;
}

static void group_prove(_jh_leader_group_t *group)
{
	int64_t now_us = jh_boot_time_us();

	if (group->phase == JH_LEADER_WRITING || group->polls_pending > 0 ||
	    now_us < group->paused_until_us)
		return;
	if (group->primary.is_changing) {
		/* The change may have ended since the copy was made, and others may have led. */
		_jh_leader_group_store_unproven(group);
	} else if (group->proof_since_us == 0) {
		group->proof_since_us = now_us;
		group->proof_newest_term = 0;
		_jh_leader_group_poll(group);
	} else {
		group_apply_proof(group);
	}
}

void _jh_leader_add_era(const _jh_leader_t *leader, GPtrArray *writes)
{
	char *text = jh_mirror_era_format(leader->era);

	jh_store_write_add(writes, JH_STORE_PUT, JH_MIRROR_ERA_ROW, leader->era_row_version, text);
	g_free(text);
}

static void leader_confirm_era(_jh_leader_t *leader)
{
	GPtrArray *writes = jh_store_writes_new();

	jh_log(JH_LOG_NOTICE, "lead", "era_proven",
	       "era=%" G_GUINT64_FORMAT " groups=%u waited_ms=%d", leader->era,
	       g_hash_table_size(leader->groups),
	       (int)((jh_boot_time_us() - leader->unconfirmed_since_us) / 1000));
	_jh_leader_add_era(leader, writes);
	jh_store_write_add(writes, JH_STORE_CHECK, JH_LEADER_ROW, leader->row_version, NULL);
	leader->is_confirming_era = true;
	jh_platform_commit(leader->task, jh_mirror_table_name(JH_MIRROR_FLEET), writes,
			   JH_LEADER_ERA_TAG);
}

void _jh_leader_handle_era_write(_jh_leader_t *leader, const jh_platform_reply_t *reply)
{
	leader->is_confirming_era = false;
	if (reply->status != JH_PLATFORM_OK)
		leader->era_paused_until_us = jh_boot_time_us() + JH_LEADER_RETRY_US;
}

void _jh_leader_proof_step(_jh_leader_t *leader)
{
	int64_t now_us = jh_boot_time_us();
	bool is_proven = true;
	GHashTableIter iter;
	void *value;

	if (now_us - leader->unconfirmed_since_us < JH_PROOF_DELAY_US)
		return;
	g_hash_table_iter_init(&iter, leader->groups);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (group_is_proven(value))
			continue;
		group_prove(value);
		is_proven = is_proven && group_is_proven(value);
	}
	if (is_proven && !leader->is_confirming_era && now_us >= leader->era_paused_until_us)
		leader_confirm_era(leader);
}
