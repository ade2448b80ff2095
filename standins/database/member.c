#include "member.h"

#include <string.h>

/*
 * The oldest samples are dropped first. This can only make the reported age too long, never too
 * short.
 */
#define MAX_LOG_END_SAMPLES 4096u

/* ---- log entries ---- */

sdb_log_entry_t *sdb_log_entry_new(uint64_t term, GBytes *payload, int64_t received_us)
{
	sdb_log_entry_t *entry = g_new0(sdb_log_entry_t, 1);

	entry->term = term;
	entry->payload = payload;
	entry->received_us = received_us;
	return entry;
}

static void log_entry_free(gpointer data)
{
	sdb_log_entry_t *entry = data;

	if (entry->payload)
		g_bytes_unref(entry->payload);
	g_free(entry);
}

GPtrArray *sdb_log_entries_new(void)
{
	return g_ptr_array_new_with_free_func(log_entry_free);
}

static const sdb_log_entry_t *log_entry_get(const sdb_member_t *member, uint64_t index)
{
	return g_ptr_array_index(member->log, index - 1);
}

static uint64_t log_end_index(const sdb_member_t *member)
{
	return member->log->len;
}

jh_position_t sdb_member_position(const sdb_member_t *member, uint64_t index)
{
	if (index == 0)
		return (jh_position_t){ 0, 0 };
	return (jh_position_t){ .term = log_entry_get(member, index)->term, .index = index };
}

jh_position_t sdb_member_log_end(const sdb_member_t *member)
{
	return sdb_member_position(member, log_end_index(member));
}

/* ---- construction ---- */

sdb_member_t *sdb_member_new(const char *name, const GPtrArray *members, const char *primary,
			     int64_t now_us)
{
	sdb_member_t *member = g_new0(sdb_member_t, 1);
	unsigned i;

	member->name = g_strdup(name);
	member->members = g_ptr_array_new_with_free_func(g_free);
	for (i = 0; i < members->len; i++)
		g_ptr_array_add(member->members, g_strdup(g_ptr_array_index(members, i)));
	member->role = g_strcmp0(name, primary) == 0 ? SDB_PRIMARY : SDB_REPLICA;
	member->term = 1;
	member->promised_term = 1;
	member->primary = g_strdup(primary);
	member->log = sdb_log_entries_new();
	member->match_indexes = g_array_new(FALSE, TRUE, sizeof(uint64_t));
	g_array_set_size(member->match_indexes, members->len);
	member->log_end_samples = g_array_new(FALSE, FALSE, sizeof(sdb_log_end_sample_t));
	member->last_contact_us = now_us;
	member->caught_up_us = -1;
	member->status_version = 1;
	return member;
}

void sdb_member_free(sdb_member_t *member)
{
	g_free(member->name);
	g_ptr_array_free(member->members, TRUE);
	g_free(member->primary);
	g_free(member->promised_actor);
	g_ptr_array_free(member->log, TRUE);
	g_array_free(member->match_indexes, TRUE);
	g_array_free(member->log_end_samples, TRUE);
	g_free(member);
}

/* Return: index in @members, -1 if @name is not a member */
static int member_index_find(const sdb_member_t *member, const char *name)
{
	unsigned i;

	for (i = 0; i < member->members->len; i++) {
		if (g_strcmp0(g_ptr_array_index(member->members, i), name) == 0)
			return (int)i;
	}
	return -1;
}

/* ---- primary ---- */

static int compare_descending(gconstpointer a, gconstpointer b)
{
	uint64_t left = *(const uint64_t *)a;
	uint64_t right = *(const uint64_t *)b;

	return left < right ? 1 : left > right ? -1 : 0;
}

/*
 * Raises the commit index to the highest index that a majority has, but only if that entry is of
 * the current term (Raft, section 5.4.2): an entry of an older term can still be replaced by a
 * primary whose log lacks it.
 */
static void commit_index_update(sdb_member_t *member)
{
	GArray *sorted = g_array_copy(member->match_indexes);
	int self = member_index_find(member, member->name);
	uint64_t index;

	if (self >= 0)
		g_array_index(sorted, uint64_t, self) = log_end_index(member);
	g_array_sort(sorted, compare_descending);
	index = g_array_index(sorted, uint64_t, sorted->len / 2);
	g_array_free(sorted, TRUE);
	if (index > member->commit_index && log_entry_get(member, index)->term == member->term)
		member->commit_index = index;
}

jh_position_t sdb_member_append(sdb_member_t *member, GBytes *payload, int64_t now_us)
{
	g_assert(member->role == SDB_PRIMARY);
	g_ptr_array_add(member->log, sdb_log_entry_new(member->term, payload, now_us));
	member->applied = log_end_index(member);
	member->status_version++;
	commit_index_update(member);
	return sdb_member_log_end(member);
}

/* Return: true if the replica's whole log is a prefix of this one */
static bool fetch_log_matches(const sdb_member_t *member, const sdb_fetch_t *fetch)
{
	if (fetch->log_end.index == 0)
		return true;
	return fetch->log_end.index <= log_end_index(member) &&
	       log_entry_get(member, fetch->log_end.index)->term == fetch->log_end.term;
}

void sdb_member_apply_fetch(sdb_member_t *member, const sdb_fetch_t *fetch)
{
	int member_index = member_index_find(member, fetch->member);

	if (member->role != SDB_PRIMARY || member_index < 0 || !fetch_log_matches(member, fetch))
		return;
	g_array_index(member->match_indexes, uint64_t, member_index) = fetch->log_end.index;
	commit_index_update(member);
}

bool sdb_member_has_updates(const sdb_member_t *member, const sdb_fetch_t *fetch)
{
	return member->role != SDB_PRIMARY || !fetch_log_matches(member, fetch) ||
	       fetch->log_end.index < log_end_index(member) ||
	       fetch->commit_index < member->commit_index;
}

/* Return: the last index at which the logs may agree, given that they differ at fetch->log_end */
static uint64_t fetch_find_prev_index(const sdb_member_t *member, const sdb_fetch_t *fetch)
{
	uint64_t index = MIN(fetch->log_end.index - 1, log_end_index(member));

	while (index > 0 && log_entry_get(member, index)->term > fetch->log_end.term)
		index--;
	return index;
}

void sdb_member_build_reply(const sdb_member_t *member, const sdb_fetch_t *fetch,
			    unsigned max_entries, size_t max_bytes, sdb_fetch_reply_t *reply)
{
	size_t bytes = 0;
	uint64_t index;

	*reply = (sdb_fetch_reply_t){ .entries = sdb_log_entries_new() };
	if (member->role != SDB_PRIMARY)
		return;
	reply->term = member->term;
	reply->end = log_end_index(member);
	reply->commit_index = member->commit_index;
	if (!fetch_log_matches(member, fetch)) {
		reply->prev_index = fetch_find_prev_index(member, fetch);
		return;
	}
	reply->log_matches = true;
	reply->prev_index = fetch->log_end.index;
	for (index = reply->prev_index + 1; index <= log_end_index(member); index++) {
		const sdb_log_entry_t *entry = log_entry_get(member, index);

		if (reply->entries->len >= max_entries || bytes >= max_bytes)
			break;
		bytes += entry->payload ? g_bytes_get_size(entry->payload) : 0;
		g_ptr_array_add(
			reply->entries,
			sdb_log_entry_new(entry->term,
					  entry->payload ? g_bytes_ref(entry->payload) : NULL, 0));
	}
}

void sdb_fetch_reply_clear(sdb_fetch_reply_t *reply)
{
	g_clear_pointer(&reply->entries, g_ptr_array_unref);
}

/* ---- change of primary ---- */

static void member_set_primary(sdb_member_t *member, const char *primary)
{
	g_free(member->primary);
	member->primary = g_strdup(primary);
	member->status_version++;
}

/* Reads on a replica see committed entries only, so a former primary lowers its applied index. */
static void member_step_down(sdb_member_t *member)
{
	if (member->role == SDB_PRIMARY)
		member->applied = MIN(member->applied, member->commit_index);
	member->role = SDB_REPLICA;
}

bool sdb_member_fence(sdb_member_t *member, uint64_t term, const char *actor)
{
	if (term == member->promised_term && g_strcmp0(actor, member->promised_actor) == 0)
		return true;
	if (term <= member->promised_term)
		return false;
	member->promised_term = term;
	g_free(member->promised_actor);
	member->promised_actor = g_strdup(actor);
	member_step_down(member);
	member_set_primary(member, NULL);
	return true;
}

bool sdb_member_promote(sdb_member_t *member, uint64_t term, const char *actor, int64_t now_us)
{
	if (term != member->promised_term || g_strcmp0(actor, member->promised_actor) != 0)
		return false;
	if (member->role == SDB_PRIMARY && member->term == term)
		return true;
	/* Another member is already the primary of this term. */
	if (member->primary && member->term == term)
		return false;
	member->role = SDB_PRIMARY;
	member->term = term;
	member_set_primary(member, member->name);
	memset(member->match_indexes->data, 0, member->match_indexes->len * sizeof(uint64_t));
	g_array_set_size(member->log_end_samples, 0);
	sdb_member_append(member, NULL, now_us);
	return true;
}

bool sdb_member_follow(sdb_member_t *member, uint64_t term, const char *primary, int64_t now_us)
{
	bool is_self = g_strcmp0(primary, member->name) == 0;

	if (term < member->promised_term || member_index_find(member, primary) < 0)
		return false;
	if (member->role == SDB_PRIMARY && member->term == term)
		return is_self;
	/* A member becomes primary by a promotion only. */
	if (is_self)
		return false;
	if (term > member->promised_term) {
		member->promised_term = term;
		g_clear_pointer(&member->promised_actor, g_free);
	}
	if (member->term == term && g_strcmp0(member->primary, primary) == 0)
		return true;
	member_step_down(member);
	member->term = term;
	member->last_contact_us = now_us;
	g_array_set_size(member->log_end_samples, 0);
	member_set_primary(member, primary);
	return true;
}

/* ---- replica ---- */

/* Removes the samples that the applied index has reached; the newest of them sets caught_up_us. */
static void caught_up_update(sdb_member_t *member)
{
	unsigned covered_count = 0;

	while (covered_count < member->log_end_samples->len &&
	       g_array_index(member->log_end_samples, sdb_log_end_sample_t, covered_count).end <=
		       member->applied) {
		member->caught_up_us =
			MAX(member->caught_up_us, g_array_index(member->log_end_samples,
								sdb_log_end_sample_t, covered_count)
							  .sampled_us);
		covered_count++;
	}
	g_array_remove_range(member->log_end_samples, 0, covered_count);
}

static void log_end_sample_add(sdb_member_t *member, uint64_t end, int64_t sampled_us)
{
	const sdb_log_end_sample_t sample = { .end = end, .sampled_us = sampled_us };

	if (member->log_end_samples->len >= MAX_LOG_END_SAMPLES)
		g_array_remove_index(member->log_end_samples, 0);
	g_array_append_val(member->log_end_samples, sample);
	caught_up_update(member);
}

static void log_truncate(sdb_member_t *member, uint64_t end)
{
	if (log_end_index(member) <= end)
		return;
	g_ptr_array_set_size(member->log, (gint)end);
	member->applied = MIN(member->applied, end);
	member->commit_index = MIN(member->commit_index, end);
	member->status_version++;
}

bool sdb_member_apply_reply(sdb_member_t *member, const sdb_fetch_reply_t *reply, int64_t sent_us,
			    int64_t now_us)
{
	unsigned i;

	if (member->role != SDB_REPLICA || !member->primary || reply->term == 0 ||
	    reply->term < member->promised_term || reply->prev_index > log_end_index(member))
		return false;
	if (reply->term > member->promised_term)
		g_clear_pointer(&member->promised_actor, g_free);
	if (reply->term != member->term)
		member->status_version++;
	member->promised_term = reply->term;
	member->term = reply->term;
	member->last_contact_us = now_us;
	log_truncate(member, reply->prev_index);
	for (i = 0; i < reply->entries->len; i++) {
		const sdb_log_entry_t *entry = g_ptr_array_index(reply->entries, i);

		g_ptr_array_add(
			member->log,
			sdb_log_entry_new(entry->term,
					  entry->payload ? g_bytes_ref(entry->payload) : NULL,
					  now_us));
		member->status_version++;
	}
	if (!reply->log_matches)
		return true;
	member->commit_index =
		MAX(member->commit_index, MIN(reply->commit_index, log_end_index(member)));
	log_end_sample_add(member, reply->end, sent_us + reply->waited_us);
	return true;
}

uint64_t sdb_member_applicable_index(const sdb_member_t *member, int64_t lag_us, int64_t now_us)
{
	uint64_t index = member->applied;

	if (member->role == SDB_PRIMARY)
		return log_end_index(member);
	while (index < member->commit_index &&
	       log_entry_get(member, index + 1)->received_us + lag_us <= now_us)
		index++;
	return index;
}

void sdb_member_set_applied(sdb_member_t *member, uint64_t index)
{
	if (member->applied == index)
		return;
	member->applied = index;
	member->status_version++;
	caught_up_update(member);
}
