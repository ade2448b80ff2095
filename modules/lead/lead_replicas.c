#include "internal/lead.h"

#include "jh_log.h"
#include "jh_mirror.h"
#include "jh_replicas_row.h"

/*
 * The members that commits of a group may rest on: the registered ones, and those whose
 * registration disappeared. With synchronous replicas, a member that is only cut off from the
 * store, or that has just crashed, may be the only replica with an acknowledged commit. It counts
 * until it registers again, until another member has taken over its address and with it its log, or
 * until no VM reaches it and the remaining replicas have what it had when it was last heard of. The
 * row of the group's replicas keeps these members for a leader that starts after their
 * registrations have disappeared.
 *
 * A member that is given up may still receive commits, if the primary reaches it. So the VMs tell
 * the leader how far commits were acknowledged to their callers, and a member without them is not
 * promoted.
 */

/* Interval of the polls of a group with such a member while its primary stays, microseconds. */
#define SURVEY_INTERVAL_US (500 * INT64_C(1000))

/*
 * If neither the old primary nor a former replica has been registered or heard of for this long, a
 * member is promoted that may lack the last commits of both, microseconds. Otherwise the group
 * would be without a primary for good.
 */
#define REPLICA_GONE_US (20 * INT64_C(1000000))

void _jh_leader_unlisted_free(void *data)
{
	_jh_leader_unlisted_t *unlisted = data;

	jh_member_free(unlisted->member);
	g_clear_pointer(&unlisted->reports, g_hash_table_destroy);
	g_free(unlisted);
}

void _jh_leader_add_unlisted(_jh_leader_t *leader, const jh_member_t *member)
{
	_jh_leader_unlisted_t *unlisted = g_new0(_jh_leader_unlisted_t, 1);

	unlisted->member = jh_member_copy(member);
	unlisted->since_us = jh_boot_time_us();
	g_hash_table_replace(leader->unlisted, jh_replica_key(member), unlisted);
}

void _jh_leader_note_acknowledged(_jh_leader_t *leader, const jh_acknowledged_msg_t *msg)
{
	const jh_position_t *known = g_hash_table_lookup(leader->acknowledged, msg->group);

	if (!known || jh_position_compare(msg->position, *known) > 0)
		g_hash_table_replace(leader->acknowledged, (void *)msg->group,
				     g_memdup2(&msg->position, sizeof(msg->position)));
}

jh_position_t _jh_leader_acknowledged(const _jh_leader_group_t *group)
{
	const jh_position_t *known = g_hash_table_lookup(group->leader->acknowledged, group->name);

	return known ? *known : (jh_position_t){ 0 };
}

/* Return: whether @listed has taken over the address, and so the log, of the unlisted member */
static bool is_replaced_by(const jh_member_t *unlisted, const jh_member_t *listed)
{
	return unlisted->group == listed->group && unlisted->id != listed->id &&
	       unlisted->port == listed->port && g_str_equal(unlisted->host, listed->host);
}

/* Return: whether no commit may rest on the unlisted member, as replication is asynchronous */
static bool is_asynchronous(_jh_leader_t *leader, const char *key,
			    const _jh_leader_unlisted_t *unlisted)
{
	const _jh_leader_group_t *group = _jh_leader_group_get(leader, unlisted->member->group);

	return leader->config && _jh_leader_sync_replicas(group) == 0 &&
	       !g_hash_table_contains(group->recorded, key) &&
	       jh_boot_time_us() - unlisted->since_us > JH_REGISTRATION_GRACE_US;
}

/* Drops the unlisted members that do not matter any more, now that @listed is registered. */
static void forget_unlisted(_jh_leader_t *leader, const jh_member_t *listed)
{
	GHashTableIter iter;
	void *key;
	void *value;

	g_hash_table_iter_init(&iter, leader->unlisted);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		const _jh_leader_unlisted_t *unlisted = value;

		if (is_asynchronous(leader, key, unlisted) ||
		    (listed && is_replaced_by(unlisted->member, listed)))
			g_hash_table_iter_remove(&iter);
	}
}

void _jh_leader_apply_member(_jh_leader_t *leader, const jh_member_msg_t *msg)
{
	const jh_member_t *known = g_hash_table_lookup(leader->members, msg->id);
	char *key;

	forget_unlisted(leader, msg->member);
	/* An instance that started anew holds nothing of what the earlier one had received. */
	if (known && (!msg->member || known->started_ms != msg->member->started_ms ||
		      known->group != msg->member->group))
		_jh_leader_add_unlisted(leader, known);
	if (!msg->member) {
		g_hash_table_remove(leader->members, msg->id);
		return;
	}
	key = jh_replica_key(msg->member);
	g_hash_table_remove(leader->unlisted, key);
	g_hash_table_remove(leader->given_up, key);
	g_free(key);
	g_hash_table_replace(leader->members, (void *)msg->id, jh_member_copy(msg->member));
}

/* Return: whether the member is one of the group's others, and did not reply to the newest poll */
static bool is_silent(const _jh_leader_group_t *group, const jh_member_t *member)
{
	return member->group == group->name && member->id != group->primary.member &&
	       !g_hash_table_contains(group->polled_status, member->id);
}

/* Return: number of members without a reply, registered or not; the row's primary is not counted */
static unsigned count_silent(const _jh_leader_group_t *group)
{
	const _jh_leader_t *leader = group->leader;
	unsigned count = 0;
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, leader->members);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		count += is_silent(group, value);
	g_hash_table_iter_init(&iter, leader->unlisted);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const jh_member_t *member = ((const _jh_leader_unlisted_t *)value)->member;

		count += is_silent(group, member) &&
			 !g_hash_table_contains(leader->members, member->id);
	}
	return count;
}

/*
 * Return: whether a primary and the replicas that its commits need may all be among the members
 * that did not reply, so that the replies do not show its term
 */
static bool silent_members_may_commit(const _jh_leader_group_t *group)
{
	unsigned sync_replicas = _jh_leader_sync_replicas(group);

	return sync_replicas > 0 && count_silent(group) > sync_replicas;
}

bool _jh_leader_last_primary_is_unknown(const _jh_leader_group_t *group)
{
	bool has_replied = g_hash_table_contains(group->polled_status, group->primary.member);
	GHashTableIter iter;
	void *id;
	void *value;

	if (!group->primary.is_unproven || !has_replied || silent_members_may_commit(group))
		return group->primary.is_unproven;
	g_hash_table_iter_init(&iter, group->polled_status);
	while (g_hash_table_iter_next(&iter, &id, &value)) {
		/* A primary that steps down takes over the term that it is told. */
		uint64_t known_term = group->primary.term + (id == group->primary.member);

		if (((const jh_member_status_t *)value)->term > known_term)
			return true;
	}
	return false;
}

/*
 * Return: whether the member may have commits of the group that another one has written as the
 * primary
 */
static bool is_replica(const _jh_leader_group_t *group, const jh_member_t *member)
{
	return member->group == group->name &&
	       (member->id != group->primary.member || _jh_leader_last_primary_is_unknown(group));
}

static bool is_former_replica(const _jh_leader_group_t *group,
			      const _jh_leader_unlisted_t *unlisted)
{
	return is_replica(group, unlisted->member);
}

/* Return: the newest reply of the unlisted member, NULL if none or if its id is registered again */
static const jh_member_status_t *unlisted_status(const _jh_leader_group_t *group,
						 const _jh_leader_unlisted_t *unlisted)
{
	const char *id = unlisted->member->id;

	if (g_hash_table_contains(group->leader->members, id))
		return NULL;
	return g_hash_table_lookup(group->polled_status, id);
}

unsigned _jh_leader_sync_replicas(const _jh_leader_group_t *group)
{
	const jh_fleet_config_t *config = group->leader->config;
	const jh_fleet_group_t *group_config =
		config ? g_hash_table_lookup(config->groups, group->name) : NULL;

	return group_config ? group_config->sync_replicas : 0;
}

GPtrArray *_jh_leader_members_to_poll(const _jh_leader_group_t *group)
{
	_jh_leader_t *leader = group->leader;
	GPtrArray *members = g_ptr_array_new();
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, leader->members);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const jh_member_t *member = value;

		if (member->group == group->name && _jh_leader_may_ask(leader, member))
			g_ptr_array_add(members, value);
	}
	if (_jh_leader_sync_replicas(group) == 0)
		return members;
	g_hash_table_iter_init(&iter, leader->unlisted);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		jh_member_t *member = ((_jh_leader_unlisted_t *)value)->member;

		if (member->group == group->name && _jh_leader_may_ask(leader, member) &&
		    !g_hash_table_contains(leader->members, member->id))
			g_ptr_array_add(members, member);
	}
	return members;
}

static void add_replica(_jh_leader_replicas_t *replicas, const char *id,
			const jh_successor_t *replica)
{
	g_array_append_val(replicas->members, *replica);
	g_ptr_array_add(replicas->ids, (void *)id);
}

static void add_listed(_jh_leader_replicas_t *replicas, const _jh_leader_group_t *group)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, group->leader->members);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const jh_member_t *member = value;
		const jh_member_status_t *status =
			g_hash_table_lookup(group->polled_status, member->id);
		const jh_successor_t replica = {
			.replied = status != NULL,
			.is_leaving = member->is_draining,
			.is_excluded = _jh_leader_member_phase(group->leader, member) != JH_DC_OPEN,
			.received = status ? status->received : (jh_position_t){ 0 },
		};

		if (is_replica(group, member))
			add_replica(replicas, member->id, &replica);
	}
}

static bool is_gone(const _jh_leader_unlisted_t *unlisted)
{
	return jh_boot_time_us() - unlisted->since_us >= REPLICA_GONE_US;
}

/*
 * Return: whether the old primary, and with it its log, counts as gone. Then no other copy of what
 * a former replica alone may have is to be waited for.
 */
static bool primary_is_gone(const _jh_leader_group_t *group)
{
	return group->missing_since_us != 0 &&
	       jh_boot_time_us() - group->missing_since_us >= REPLICA_GONE_US &&
	       !g_hash_table_contains(group->polled_status, group->primary.member);
}

/* Return: whether a former replica was left out, as it and the old primary count as gone */
static bool add_former(_jh_leader_replicas_t *replicas, const _jh_leader_group_t *group)
{
	bool is_left_out = false;
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, group->leader->unlisted);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const _jh_leader_unlisted_t *unlisted = value;
		const jh_member_status_t *status = unlisted_status(group, unlisted);
		const jh_successor_t replica = {
			.replied = status != NULL,
			.is_excluded = true,
			.received = status ? status->received : (jh_position_t){ 0 },
		};

		if (!is_former_replica(group, unlisted))
			continue;
		if (!status && is_gone(unlisted) && primary_is_gone(group))
			is_left_out = true;
		else
			add_replica(replicas, unlisted->member->id, &replica);
	}
	return is_left_out;
}

/* Return: whether commits may rest on a replica that is not counted any more */
static bool has_given_up_replica(const _jh_leader_group_t *group)
{
	GHashTableIter iter;
	void *name;

	g_hash_table_iter_init(&iter, group->leader->given_up);
	while (g_hash_table_iter_next(&iter, NULL, &name)) {
		if (name == group->name)
			return true;
	}
	return false;
}

void _jh_leader_replicas_init(_jh_leader_replicas_t *replicas, const _jh_leader_group_t *group)
{
	/* Commits may rest on a replica that is not in the set. */
	bool may_lack_commits = has_given_up_replica(group);

	replicas->members = g_array_new(FALSE, FALSE, sizeof(jh_successor_t));
	replicas->ids = g_ptr_array_new();
	add_listed(replicas, group);
	if (_jh_leader_sync_replicas(group) > 0)
		may_lack_commits = add_former(replicas, group) || may_lack_commits;
	replicas->set = (jh_replica_set_t){
		.members = (const jh_successor_t *)(void *)replicas->members->data,
		.count = replicas->members->len,
		.sync_replicas = _jh_leader_sync_replicas(group),
		.has_primary = _jh_leader_last_primary_is_unknown(group),
		.acknowledged =
			may_lack_commits ? _jh_leader_acknowledged(group) : (jh_position_t){ 0 },
	};
}

void _jh_leader_replicas_clear(_jh_leader_replicas_t *replicas)
{
	g_array_free(replicas->members, TRUE);
	g_ptr_array_free(replicas->ids, TRUE);
}

const jh_member_status_t *_jh_leader_polled_primary(const _jh_leader_group_t *group)
{
	const jh_member_status_t *status =
		g_hash_table_lookup(group->polled_status, group->primary.member);

	return status && status->is_primary && status->term == group->primary.term ? status : NULL;
}

/* ---- survey ---- */

/* Return: number of registered replicas that have received the log up to @position */
static unsigned count_received(const _jh_leader_replicas_t *replicas, jh_position_t position)
{
	unsigned count = 0;
	unsigned i;

	for (i = 0; i < replicas->set.count; i++) {
		const jh_successor_t *replica = &replicas->set.members[i];

		count += replica->replied && !replica->is_excluded &&
			 jh_position_compare(replica->received, position) >= 0;
	}
	return count;
}

/*
 * Evaluates a poll while the primary stays. A former replica that replies to no VM is given up once
 * enough registered replicas have all that the primary had when it first did not reply.
 */
static void evaluate_survey(_jh_leader_group_t *group)
{
	const jh_member_status_t *primary = _jh_leader_polled_primary(group);
	_jh_leader_replicas_t replicas;
	GHashTableIter iter;
	void *value;

	_jh_leader_replicas_init(&replicas, group);
	g_hash_table_iter_init(&iter, group->leader->unlisted);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		_jh_leader_unlisted_t *unlisted = value;

		if (!is_former_replica(group, unlisted))
			continue;
		if (unlisted_status(group, unlisted) || _jh_leader_another_vm_reaches(unlisted)) {
			unlisted->silent_from = (jh_position_t){ 0 };
		} else if (unlisted->silent_from.term == 0) {
			if (primary)
				unlisted->silent_from = primary->received;
			unlisted->silent_since_us = jh_boot_time_us();
		} else if (_jh_leader_no_vm_reaches(group->leader, unlisted) &&
			   count_received(&replicas, unlisted->silent_from) >=
				   replicas.set.sync_replicas) {
			jh_log(JH_LOG_NOTICE, "lead", "replica_given_up", "group=%s member=%s",
			       jh_log_value(group->name), jh_log_value(unlisted->member->id));
			g_hash_table_replace(group->leader->given_up,
					     jh_replica_key(unlisted->member), (void *)group->name);
			g_hash_table_iter_remove(&iter);
		}
	}
	_jh_leader_replicas_clear(&replicas);
}

static bool has_former_replica(const _jh_leader_group_t *group)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, group->leader->unlisted);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (is_former_replica(group, value))
			return true;
	}
	return false;
}

bool _jh_leader_needs_survey(const _jh_leader_group_t *group)
{
	return group->polls_pending == 0 && _jh_leader_sync_replicas(group) > 0 &&
	       jh_boot_time_us() - group->polled_us >= SURVEY_INTERVAL_US &&
	       has_former_replica(group);
}

void _jh_leader_evaluate_poll(_jh_leader_group_t *group)
{
	if (group->primary.epoch > 0 && group->phase == JH_LEADER_IDLE &&
	    !_jh_leader_needs_proof(group->leader) && _jh_leader_sync_replicas(group) > 0)
		evaluate_survey(group);
}
