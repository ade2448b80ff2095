#include "member.h"

#include <string.h>

/* Sightings kept; older ones are dropped first, which makes the reported age longer, never
 * shorter. */
#define MAX_SIGHTINGS 4096u

/* ---- entries ---- */

sdb_entry_t *sdb_entry_new(uint64_t term, GBytes *payload, int64_t received_us)
{
	sdb_entry_t *entry = g_new0(sdb_entry_t, 1);

	entry->term = term;
	entry->payload = payload;
	entry->received_us = received_us;
	return entry;
}

static void entry_free(gpointer data)
{
	sdb_entry_t *entry = data;

	if (entry->payload)
		g_bytes_unref(entry->payload);
	g_free(entry);
}

GPtrArray *sdb_entries_new(void)
{
	return g_ptr_array_new_with_free_func(entry_free);
}

static const sdb_entry_t *entry_get(const sdb_member_t *member, uint64_t index)
{
	return g_ptr_array_index(member->log, index - 1);
}

static uint64_t log_end(const sdb_member_t *member)
{
	return member->log->len;
}

jh_position_t sdb_member_position(const sdb_member_t *member, uint64_t index)
{
	if (index == 0)
		return (jh_position_t){ 0, 0 };
	return (jh_position_t){ .term = entry_get(member, index)->term, .index = index };
}

jh_position_t sdb_member_held(const sdb_member_t *member)
{
	return sdb_member_position(member, log_end(member));
}

/* ---- life ---- */

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
	member->log = sdb_entries_new();
	member->matches = g_array_new(FALSE, TRUE, sizeof(uint64_t));
	g_array_set_size(member->matches, members->len);
	member->sightings = g_array_new(FALSE, FALSE, sizeof(sdb_sighting_t));
	member->heard_us = now_us;
	member->fresh_us = -1;
	member->version = 1;
	return member;
}

void sdb_member_free(sdb_member_t *member)
{
	g_free(member->name);
	g_ptr_array_free(member->members, TRUE);
	g_free(member->primary);
	g_free(member->promised_actor);
	g_ptr_array_free(member->log, TRUE);
	g_array_free(member->matches, TRUE);
	g_array_free(member->sightings, TRUE);
	g_free(member);
}

static int member_number(const sdb_member_t *member, const char *name)
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
 * An index counts as held by a majority once its entry, or a later one, is of this term: an entry
 * of an older term could still be replaced by a primary that does not hold it.
 */
static void majority_update(sdb_member_t *member)
{
	GArray *sorted = g_array_copy(member->matches);
	int self = member_number(member, member->name);
	uint64_t index;

	if (self >= 0)
		g_array_index(sorted, uint64_t, self) = log_end(member);
	g_array_sort(sorted, compare_descending);
	index = g_array_index(sorted, uint64_t, sorted->len / 2);
	g_array_free(sorted, TRUE);
	if (index > member->majority && entry_get(member, index)->term == member->term)
		member->majority = index;
}

jh_position_t sdb_member_append(sdb_member_t *member, GBytes *payload, int64_t now_us)
{
	g_assert(member->role == SDB_PRIMARY);
	g_ptr_array_add(member->log, sdb_entry_new(member->term, payload, now_us));
	member->applied = log_end(member);
	member->version++;
	majority_update(member);
	return sdb_member_held(member);
}

/* Is the replica's log, up to its end, the same as this one? */
static bool fetch_matches(const sdb_member_t *member, const sdb_fetch_t *fetch)
{
	if (fetch->held.index == 0)
		return true;
	return fetch->held.index <= log_end(member) &&
	       entry_get(member, fetch->held.index)->term == fetch->held.term;
}

void sdb_member_hear(sdb_member_t *member, const sdb_fetch_t *fetch)
{
	int number = member_number(member, fetch->member);

	if (member->role != SDB_PRIMARY || number < 0 || !fetch_matches(member, fetch))
		return;
	g_array_index(member->matches, uint64_t, number) = fetch->held.index;
	majority_update(member);
}

bool sdb_member_has_news(const sdb_member_t *member, const sdb_fetch_t *fetch)
{
	return member->role != SDB_PRIMARY || !fetch_matches(member, fetch) ||
	       fetch->held.index < log_end(member) || fetch->majority < member->majority;
}

/* The last index at which both logs may agree, once they differ at the replica's end. */
static uint64_t fetch_back_up(const sdb_member_t *member, const sdb_fetch_t *fetch)
{
	uint64_t index = MIN(fetch->held.index - 1, log_end(member));

	while (index > 0 && entry_get(member, index)->term > fetch->held.term)
		index--;
	return index;
}

void sdb_member_answer(const sdb_member_t *member, const sdb_fetch_t *fetch, unsigned max_entries,
		       size_t max_bytes, sdb_fetched_t *fetched)
{
	size_t bytes = 0;
	uint64_t index;

	*fetched = (sdb_fetched_t){ .entries = sdb_entries_new() };
	if (member->role != SDB_PRIMARY)
		return;
	fetched->term = member->term;
	fetched->end = log_end(member);
	fetched->majority = member->majority;
	if (!fetch_matches(member, fetch)) {
		fetched->after = fetch_back_up(member, fetch);
		return;
	}
	fetched->matches = true;
	fetched->after = fetch->held.index;
	for (index = fetched->after + 1; index <= log_end(member); index++) {
		const sdb_entry_t *entry = entry_get(member, index);

		if (fetched->entries->len >= max_entries || bytes >= max_bytes)
			break;
		bytes += entry->payload ? g_bytes_get_size(entry->payload) : 0;
		g_ptr_array_add(fetched->entries,
				sdb_entry_new(entry->term,
					      entry->payload ? g_bytes_ref(entry->payload) : NULL,
					      0));
	}
}

void sdb_fetched_clear(sdb_fetched_t *fetched)
{
	g_clear_pointer(&fetched->entries, g_ptr_array_unref);
}

/* ---- change of primary ---- */

static void member_set_primary(sdb_member_t *member, const char *primary)
{
	g_free(member->primary);
	member->primary = g_strdup(primary);
	member->version++;
}

/* A replica shows only what a majority holds, also one that was primary a moment ago. */
static void member_step_down(sdb_member_t *member)
{
	if (member->role == SDB_PRIMARY)
		member->applied = MIN(member->applied, member->majority);
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
	/* Another member was made primary of this term. */
	if (member->primary && member->term == term)
		return false;
	member->role = SDB_PRIMARY;
	member->term = term;
	member_set_primary(member, member->name);
	memset(member->matches->data, 0, member->matches->len * sizeof(uint64_t));
	g_array_set_size(member->sightings, 0);
	sdb_member_append(member, NULL, now_us);
	return true;
}

bool sdb_member_follow(sdb_member_t *member, uint64_t term, const char *primary, int64_t now_us)
{
	bool is_self = g_strcmp0(primary, member->name) == 0;

	if (term < member->promised_term || member_number(member, primary) < 0)
		return false;
	if (member->role == SDB_PRIMARY && member->term == term)
		return is_self;
	/* A member becomes primary only by a promotion. */
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
	member->heard_us = now_us;
	g_array_set_size(member->sightings, 0);
	member_set_primary(member, primary);
	return true;
}

/* ---- replica ---- */

static void fresh_update(sdb_member_t *member)
{
	unsigned covered = 0;

	while (covered < member->sightings->len &&
	       g_array_index(member->sightings, sdb_sighting_t, covered).end <= member->applied) {
		member->fresh_us =
			MAX(member->fresh_us,
			    g_array_index(member->sightings, sdb_sighting_t, covered).at_us);
		covered++;
	}
	g_array_remove_range(member->sightings, 0, covered);
}

static void sighting_add(sdb_member_t *member, uint64_t end, int64_t at_us)
{
	const sdb_sighting_t sighting = { .end = end, .at_us = at_us };

	if (member->sightings->len >= MAX_SIGHTINGS)
		g_array_remove_index(member->sightings, 0);
	g_array_append_val(member->sightings, sighting);
	fresh_update(member);
}

static void log_truncate(sdb_member_t *member, uint64_t end)
{
	if (log_end(member) <= end)
		return;
	g_ptr_array_set_size(member->log, (gint)end);
	member->applied = MIN(member->applied, end);
	member->majority = MIN(member->majority, end);
	member->version++;
}

bool sdb_member_take(sdb_member_t *member, const sdb_fetched_t *fetched, int64_t sent_us,
		     int64_t now_us)
{
	unsigned i;

	if (member->role != SDB_REPLICA || !member->primary || fetched->term == 0 ||
	    fetched->term < member->promised_term || fetched->after > log_end(member))
		return false;
	if (fetched->term > member->promised_term)
		g_clear_pointer(&member->promised_actor, g_free);
	if (fetched->term != member->term)
		member->version++;
	member->promised_term = fetched->term;
	member->term = fetched->term;
	member->heard_us = now_us;
	log_truncate(member, fetched->after);
	for (i = 0; i < fetched->entries->len; i++) {
		const sdb_entry_t *entry = g_ptr_array_index(fetched->entries, i);

		g_ptr_array_add(member->log,
				sdb_entry_new(entry->term,
					      entry->payload ? g_bytes_ref(entry->payload) : NULL,
					      now_us));
		member->version++;
	}
	if (!fetched->matches)
		return true;
	member->majority = MAX(member->majority, MIN(fetched->majority, log_end(member)));
	sighting_add(member, fetched->end, sent_us + fetched->waited_us);
	return true;
}

uint64_t sdb_member_applicable(const sdb_member_t *member, int64_t lag_us, int64_t now_us)
{
	uint64_t index = member->applied;

	if (member->role == SDB_PRIMARY)
		return log_end(member);
	while (index < member->majority &&
	       entry_get(member, index + 1)->received_us + lag_us <= now_us)
		index++;
	return index;
}

void sdb_member_set_applied(sdb_member_t *member, uint64_t index)
{
	if (member->applied == index)
		return;
	member->applied = index;
	member->version++;
	fresh_update(member);
}
