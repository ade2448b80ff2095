#include "internal/lead.h"

#include "jh_log.h"
#include "jh_mirror.h"
#include "jh_placement.h"
#include "jh_vm_list.h"

#include <string.h>

/*
 * The list of VMs and the voters. Each VM lists itself; the leader decides which of them vote, and
 * removes those that are dead. docs/internals/voters.md explains why the voters are replaced in two
 * steps.
 */

void _jh_leader_apply_vm_row(_jh_leader_t *leader, const jh_row_msg_t *row)
{
	const char *name = g_intern_string(row->name + strlen(JH_MIRROR_VM_PREFIX));

	if (row->body) {
		g_hash_table_add(leader->listed, (void *)name);
	} else if (g_hash_table_remove(leader->listed, name)) {
		leader->removal_acks = (_jh_leader_acks_t){ .version = row->version,
							    .since_us = jh_boot_time_us() };
	}
}

void _jh_leader_apply_voters_row(_jh_leader_t *leader, const jh_row_msg_t *row)
{
	jh_error_t err = JH_ERROR_INIT;
	jh_voters_t *voters = jh_voters_parse(row->body, &err);

	leader->voters_version = row->body ? row->version : 0;
	leader->is_voters_row_kept = row->is_kept;
	if (voters) {
		jh_voters_free(leader->voters);
		leader->voters = voters;
		jh_log(JH_LOG_INFO, "lead", "voters",
		       "generation=%" G_GUINT64_FORMAT
		       " voters=%u previous=%u row=%" G_GUINT64_FORMAT,
		       voters->generation, voters->current->len,
		       voters->previous ? voters->previous->len : 0, row->version);
	} else {
		jh_log(JH_LOG_WARNING, "lead", "voters_unreadable", "reason=%s",
		       jh_log_value(err.message));
	}
	jh_error_clear(&err);
}

/* ---- acknowledgements ---- */

typedef struct ack_query {
	const _jh_leader_t *leader;
	uint64_t version;
} ack_query_t;

static bool has_acked(const void *data, const char *vm)
{
	const ack_query_t *query = data;
	const uint64_t *acked_version = g_hash_table_lookup(query->leader->acked_versions, vm);

	return acked_version && *acked_version >= query->version;
}

/* Return: new set of the names of all VMs that are listed or vote */
static GHashTable *known_vms_new(const _jh_leader_t *leader)
{
	GHashTable *vms = g_hash_table_new(g_str_hash, g_str_equal);
	GPtrArray *voters = jh_voters_all(leader->voters);
	GHashTableIter iter;
	void *name;
	unsigned i;

	/* Not @vms: the list of the membership protocol may be seconds old. */
	g_hash_table_iter_init(&iter, leader->listed);
	while (g_hash_table_iter_next(&iter, &name, NULL))
		g_hash_table_add(vms, name);
	for (i = 0; i < voters->len; i++)
		g_hash_table_add(vms, g_ptr_array_index(voters, i));
	g_ptr_array_unref(voters);
	return vms;
}

/* Return: since when the condition has held, 0 if it does not */
static int64_t held_since_us(int64_t since_us, bool holds)
{
	if (!holds)
		return 0;
	return since_us != 0 ? since_us : jh_boot_time_us();
}

jh_change_acks_t _jh_leader_count_acks(const _jh_leader_t *leader, _jh_leader_acks_t *acks,
				       uint64_t version)
{
	const ack_query_t query = { leader, version };
	GHashTable *vms = known_vms_new(leader);
	jh_change_acks_t result = { .vms = g_hash_table_size(vms),
				    .has_unsettled_removal = leader->removal_acks.version != 0 };
	int64_t now_us = jh_boot_time_us();
	bool has_blocking_set = false;
	GHashTableIter iter;
	void *name;

	if (acks->version != version)
		*acks = (_jh_leader_acks_t){ .version = version, .since_us = now_us };
	if (has_acked(&query, _jh_leader_self(leader))) {
		g_hash_table_iter_init(&iter, vms);
		while (g_hash_table_iter_next(&iter, &name, NULL))
			result.acked += has_acked(&query, name);
		result.has_quorum = jh_voters_have_quorum(leader->voters, has_acked, &query);
		has_blocking_set = jh_voters_have_blocking_set(leader->voters, has_acked, &query);
	}
	g_hash_table_destroy(vms);
	acks->quorum_since_us = held_since_us(acks->quorum_since_us, result.has_quorum);
	acks->blocking_since_us = held_since_us(acks->blocking_since_us, has_blocking_set);
	result.quorum_held_us = acks->quorum_since_us ? now_us - acks->quorum_since_us : 0;
	result.blocking_held_us = acks->blocking_since_us ? now_us - acks->blocking_since_us : 0;
	result.stored_us = now_us - acks->since_us;
	return result;
}

static bool is_live(const void *data, const char *name)
{
	const _jh_leader_t *leader = data;
	const jh_vm_t *vm = jh_vm_find(leader->vms, name);

	return g_str_equal(name, _jh_leader_self(leader)) || (vm && vm->state == JH_VM_LIVE);
}

bool _jh_leader_has_live_quorum(const _jh_leader_t *leader)
{
	return leader->voters->generation == 0 ||
	       jh_voters_have_quorum(leader->voters, is_live, leader);
}

/* A VM that shuts down acknowledges until it ends. */
static bool can_acknowledge(const void *data, const char *name)
{
	const _jh_leader_t *leader = data;
	const jh_vm_t *vm = jh_vm_find(leader->vms, name);

	return is_live(leader, name) || (vm && vm->state == JH_VM_DEPARTING);
}

bool _jh_leader_can_fence(const _jh_leader_t *leader)
{
	return leader->voters->generation == 0 ||
	       jh_voters_have_quorum(leader->voters, can_acknowledge, leader) ||
	       jh_voters_have_blocking_set(leader->voters, can_acknowledge, leader);
}

void _jh_leader_update_removals(_jh_leader_t *leader)
{
	jh_change_acks_t acks;

	if (leader->removal_acks.version == 0)
		return;
	acks = _jh_leader_count_acks(leader, &leader->removal_acks, leader->removal_acks.version);
	if (jh_change_is_settled(&acks))
		leader->removal_acks.version = 0;
}

/* ---- what the leader writes ---- */

/* Return: new array of jh_listed_vm_t for the names in @listed; free with g_array_free() */
static GArray *listed_vms_new(const _jh_leader_t *leader)
{
	GArray *vms = g_array_new(FALSE, FALSE, sizeof(jh_listed_vm_t));
	GHashTableIter iter;
	void *name;

	g_hash_table_iter_init(&iter, leader->listed);
	while (g_hash_table_iter_next(&iter, &name, NULL)) {
		const int64_t *since_us = g_hash_table_lookup(leader->dead_since, name);
		const jh_listed_vm_t vm = { name, since_us ? *since_us : 0 };

		g_array_append_val(vms, vm);
	}
	return vms;
}

/*
 * Return: whether the VM is not to vote any more. A leader without a live quorum may itself be the
 * one that is cut off, so that it waits until the others would have no lease.
 */
static bool is_lost_voter(const _jh_leader_t *leader, const jh_vm_list_view_t *view,
			  const jh_listed_vm_t *vm)
{
	return jh_vm_list_is_lost(view, vm) &&
	       (_jh_leader_has_live_quorum(leader) ||
		view->now_us - vm->dead_since_us > JH_BROAD_QUORUM_WITHOUT_STORE_US);
}

/* Return: what the row of the voters is to be; NULL if it stays */
static jh_voters_t *plan_voters(_jh_leader_t *leader, const jh_vm_list_view_t *view)
{
	jh_voter_candidate_t *candidates = g_new0(jh_voter_candidate_t, view->count);
	jh_change_acks_t acks = { 0 };
	jh_voters_t *next;
	unsigned i;

	for (i = 0; i < view->count; i++) {
		const jh_listed_vm_t *listed = &view->vms[i];
		const jh_vm_t *vm = jh_vm_find(leader->vms, listed->name);

		candidates[i] = (jh_voter_candidate_t){
			.name = listed->name,
			.is_live = is_live(leader, listed->name),
			.is_departing = vm && vm->state == JH_VM_DEPARTING,
			.is_lost = is_lost_voter(leader, view, listed),
		};
	}
	if (leader->voters->previous)
		acks = _jh_leader_count_acks(leader, &leader->voters_acks, leader->voters_version);
	next = jh_voters_plan(leader->voters, candidates, view->count,
			      acks.has_quorum || jh_change_is_settled(&acks));
	g_free(candidates);
	return next;
}

static void add_removals(_jh_leader_t *leader, const GPtrArray *names, GPtrArray *writes)
{
	unsigned i;

	for (i = 0; i < names->len; i++) {
		const char *name = g_ptr_array_index(names, i);
		char *row = g_strconcat(JH_MIRROR_VM_PREFIX, name, NULL);

		jh_log(JH_LOG_INFO, "lead", "vm_forgotten", "of=%s", jh_log_value(name));
		jh_store_write_add(writes, JH_STORE_DELETE, row, JH_STORE_ANY_VERSION, NULL);
		g_hash_table_remove(leader->dead_since, name);
		g_free(row);
	}
}

/* Return: writes of the next voters, and of the removal of VMs that do not vote any more */
static GPtrArray *vms_writes_new(_jh_leader_t *leader)
{
	int64_t now_us = jh_boot_time_us();
	GArray *listed = listed_vms_new(leader);
	GPtrArray *writes = jh_store_writes_new();
	jh_vm_list_view_t view = {
		.vms = (const jh_listed_vm_t *)(void *)listed->data,
		.count = listed->len,
		.now_us = now_us,
		.lease_since_us = leader->lease_since_us,
		.has_lease = leader->lease_until_us > now_us,
		.is_settled = leader->removal_acks.version == 0,
		.voters = leader->voters,
	};
	jh_voters_t *next = plan_voters(leader, &view);
	GPtrArray *removals;

	if (next) {
		char *text = jh_voters_format(next);

		jh_log(JH_LOG_INFO, "lead", "voters_change",
		       "generation=%" G_GUINT64_FORMAT " voters=%u previous=%u", next->generation,
		       next->current->len, next->previous ? next->previous->len : 0);
		jh_store_write_add(writes, JH_STORE_PUT, JH_VOTERS_ROW, leader->voters_version,
				   text);
		g_free(text);
		view.voters = next;
	}
	removals = jh_vm_list_choose_removals(&view);
	add_removals(leader, removals, writes);
	g_ptr_array_free(removals, TRUE);
	jh_voters_free(next);
	g_array_free(listed, TRUE);
	return writes;
}

void _jh_leader_vms_step(_jh_leader_t *leader)
{
	const ack_query_t own_write = { leader, leader->vms_written_version };
	int64_t now_us = jh_boot_time_us();
	GPtrArray *writes;

	/* The rows must be those that the store has now, in an era that is confirmed. */
	if (leader->is_writing_vms || leader->is_voters_row_kept ||
	    leader->unconfirmed_since_us != 0 || leader->lease_until_us <= now_us ||
	    now_us < leader->vms_paused_until_us || !has_acked(&own_write, _jh_leader_self(leader)))
		return;
	writes = vms_writes_new(leader);
	if (writes->len == 0) {
		g_ptr_array_unref(writes);
		return;
	}
	jh_store_write_add(writes, JH_STORE_CHECK, JH_LEADER_ROW, leader->row_version, NULL);
	leader->is_writing_vms = true;
	jh_platform_commit(leader->task, jh_mirror_table_name(JH_MIRROR_FLEET), writes,
			   JH_LEADER_VMS_TAG);
}

void _jh_leader_vms_handle_write(_jh_leader_t *leader, const jh_platform_reply_t *reply)
{
	leader->is_writing_vms = false;
	if (reply->status == JH_PLATFORM_OK)
		leader->vms_written_version = reply->version;
	else
		leader->vms_paused_until_us = jh_boot_time_us() + JH_LEADER_RETRY_US;
}
