/*
 * Decides how many units of the teams' rates each VM owns, by compare-and-set on one row.
 *
 * A write may take effect long after it was sent, until a higher version of the row is stored. So
 * a VM that releases units does not use them again before it has received a higher version. A
 * restarted VM uses its units only after a write of its own or of another VM, because the higher
 * version makes all writes of its previous instance fail.
 */

#include "jh_quota_share.h"

typedef enum release_state {
	RELEASE_NONE,
	/* The units are no longer used, but quota leases of them may not have expired yet. */
	RELEASE_WAITING_FOR_LEASES,
	/* The caller was told to write the row without the units. */
	RELEASE_WRITING,
} release_state_t;

struct jh_quota_share {
	char *vm;
	uint64_t boot;
	int64_t lease_wait_us;
	/* Names of the VMs that should own units. */
	GHashTable *live;
	/* Names of the owners that the platform does not list. */
	GHashTable *unlisted;
	bool is_assigner;
	bool is_settled;
	bool is_row_known;
	uint64_t version;
	jh_quota_row_t *row;
	/* Version of the first row that was current after the start of this instance. */
	bool has_fresh_row;
	uint64_t fresh_version;
	release_state_t release;
	unsigned release_units;
	int64_t release_since_us;
};

/* Row of owners */

static void free_owner(gpointer data)
{
	jh_quota_owner_t *owner = data;

	g_free(owner->vm);
	g_free(owner);
}

jh_quota_row_t *jh_quota_row_new(void)
{
	jh_quota_row_t *row = g_new0(jh_quota_row_t, 1);

	row->owners = g_ptr_array_new_with_free_func(free_owner);
	return row;
}

void jh_quota_row_free(jh_quota_row_t *row)
{
	if (!row)
		return;
	g_ptr_array_free(row->owners, TRUE);
	g_free(row);
}

jh_quota_owner_t *jh_quota_row_find(const jh_quota_row_t *row, const char *vm)
{
	unsigned i;

	for (i = 0; i < row->owners->len; i++) {
		jh_quota_owner_t *owner = g_ptr_array_index(row->owners, i);

		if (g_str_equal(owner->vm, vm))
			return owner;
	}
	return NULL;
}

unsigned jh_quota_row_count_unassigned(const jh_quota_row_t *row)
{
	unsigned unassigned = JH_QUOTA_SHARE_UNITS;
	unsigned i;

	for (i = 0; i < row->owners->len; i++)
		unassigned -= ((const jh_quota_owner_t *)g_ptr_array_index(row->owners, i))->units;
	return unassigned;
}

bool jh_quota_row_add(jh_quota_row_t *row, const char *vm, uint64_t boot, unsigned units)
{
	jh_quota_owner_t *owner;

	if (units > jh_quota_row_count_unassigned(row) || jh_quota_row_find(row, vm))
		return false;
	owner = g_new0(jh_quota_owner_t, 1);
	*owner = (jh_quota_owner_t){ .vm = g_strdup(vm), .boot = boot, .units = units };
	g_ptr_array_add(row->owners, owner);
	return true;
}

jh_quota_row_t *jh_quota_row_copy(const jh_quota_row_t *row)
{
	jh_quota_row_t *copy = jh_quota_row_new();
	unsigned i;

	for (i = 0; i < row->owners->len; i++) {
		const jh_quota_owner_t *owner = g_ptr_array_index(row->owners, i);

		jh_quota_row_add(copy, owner->vm, owner->boot, owner->units);
	}
	return copy;
}

/* Create and free */

jh_quota_share_t *jh_quota_share_new(const char *vm, uint64_t boot, int64_t lease_wait_us)
{
	jh_quota_share_t *share = g_new0(jh_quota_share_t, 1);

	share->vm = g_strdup(vm);
	share->boot = boot;
	share->lease_wait_us = lease_wait_us;
	share->is_settled = true;
	share->live = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	share->unlisted = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return share;
}

void jh_quota_share_free(jh_quota_share_t *share)
{
	g_hash_table_destroy(share->live);
	g_hash_table_destroy(share->unlisted);
	jh_quota_row_free(share->row);
	g_free(share->vm);
	g_free(share);
}

static void replace_names(GHashTable *set, const GPtrArray *names)
{
	unsigned i;

	g_hash_table_remove_all(set);
	for (i = 0; i < names->len; i++)
		g_hash_table_add(set, g_strdup(g_ptr_array_index(names, i)));
}

void jh_quota_share_set_live(jh_quota_share_t *share, const GPtrArray *names)
{
	replace_names(share->live, names);
}

void jh_quota_share_set_unlisted(jh_quota_share_t *share, const GPtrArray *names)
{
	replace_names(share->unlisted, names);
}

void jh_quota_share_set_assigner(jh_quota_share_t *share, bool is_assigner)
{
	share->is_assigner = is_assigner;
}

void jh_quota_share_set_settled(jh_quota_share_t *share, bool is_settled)
{
	share->is_settled = is_settled;
}

/* Own units */

static const jh_quota_owner_t *find_own_entry(const jh_quota_share_t *share)
{
	return share->row ? jh_quota_row_find(share->row, share->vm) : NULL;
}

/* Return: true if no write of an earlier instance can change the row any more */
static bool is_fenced(const jh_quota_share_t *share, const jh_quota_owner_t *owner)
{
	return owner->boot == share->boot ||
	       (share->has_fresh_row && share->version > share->fresh_version);
}

unsigned jh_quota_share_usable_units(const jh_quota_share_t *share)
{
	const jh_quota_owner_t *owner = find_own_entry(share);
	unsigned release_units = share->release == RELEASE_NONE ? 0 : share->release_units;

	if (!owner || !is_fenced(share, owner) || owner->units < release_units)
		return 0;
	return owner->units - release_units;
}

bool jh_quota_share_is_released(const jh_quota_share_t *share)
{
	return !find_own_entry(share);
}

const jh_quota_row_t *jh_quota_share_row(const jh_quota_share_t *share)
{
	return share->row;
}

void jh_quota_share_on_row(jh_quota_share_t *share, uint64_t version, jh_quota_row_t *row)
{
	if (share->is_row_known && version <= share->version) {
		jh_quota_row_free(row);
		return;
	}
	jh_quota_row_free(share->row);
	share->row = row;
	share->version = version;
	share->is_row_known = true;
	/* The write has taken effect or it fails, because this version is higher. */
	if (share->release == RELEASE_WRITING)
		share->release = RELEASE_NONE;
	/* A release is abandoned if the row leaves this VM fewer units than were to be released. */
	if (share->release == RELEASE_WAITING_FOR_LEASES &&
	    (!find_own_entry(share) || find_own_entry(share)->units < share->release_units))
		share->release = RELEASE_NONE;
}

void jh_quota_share_on_fresh_row(jh_quota_share_t *share)
{
	if (share->has_fresh_row || !share->is_row_known)
		return;
	share->has_fresh_row = true;
	share->fresh_version = share->version;
}

/* Decisions */

static unsigned count_units(const jh_quota_row_t *row, const char *vm)
{
	const jh_quota_owner_t *owner = jh_quota_row_find(row, vm);

	return owner ? owner->units : 0;
}

/* Live VM with the fewest units, NULL if none is live; ties go to the first name, as on all VMs. */
static const char *find_vm_with_fewest_units(const jh_quota_share_t *share,
					     const jh_quota_row_t *row)
{
	const char *best = NULL;
	GHashTableIter iter;
	gpointer key;

	g_hash_table_iter_init(&iter, share->live);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		unsigned units = count_units(row, key);

		if (!best || units < count_units(row, best) ||
		    (units == count_units(row, best) && g_strcmp0(key, best) < 0))
			best = key;
	}
	return best;
}

/* Number of its own units that this VM should release. */
static unsigned count_excess_units(const jh_quota_share_t *share)
{
	unsigned live = g_hash_table_size(share->live);
	unsigned own_units = count_units(share->row, share->vm);
	const char *fewest_vm = find_vm_with_fewest_units(share, share->row);
	unsigned even_units;

	if (!g_hash_table_contains(share->live, share->vm))
		return own_units;
	even_units = (JH_QUOTA_SHARE_UNITS + live - 1) / live;
	/* Release nothing while unassigned units can go to the VM with the fewest. */
	if (own_units <= even_units || jh_quota_row_count_unassigned(share->row) > 0 ||
	    count_units(share->row, fewest_vm) >= JH_QUOTA_SHARE_UNITS / live)
		return 0;
	return own_units - even_units;
}

static void remove_empty_entries(jh_quota_row_t *row)
{
	unsigned i = 0;

	while (i < row->owners->len) {
		const jh_quota_owner_t *owner = g_ptr_array_index(row->owners, i);

		if (owner->units == 0)
			g_ptr_array_remove_index(row->owners, i);
		else
			i++;
	}
}

/* Takes units from unlisted VMs and gives unassigned ones to live VMs. Return: row has changed */
static bool assign_units(const jh_quota_share_t *share, jh_quota_row_t *row)
{
	bool has_changed = false;
	unsigned unassigned;
	unsigned i;

	for (i = 0; i < row->owners->len; i++) {
		jh_quota_owner_t *owner = g_ptr_array_index(row->owners, i);

		if (!g_hash_table_contains(share->unlisted, owner->vm))
			continue;
		owner->units = 0;
		has_changed = true;
	}
	remove_empty_entries(row);
	unassigned = jh_quota_row_count_unassigned(row);
	while (unassigned > 0 && g_hash_table_size(share->live) > 0) {
		const char *vm = find_vm_with_fewest_units(share, row);

		if (!jh_quota_row_find(row, vm))
			jh_quota_row_add(row, vm, 0, 0);
		jh_quota_row_find(row, vm)->units++;
		unassigned--;
		has_changed = true;
	}
	return has_changed;
}

/* Records this instance as the user of its units. Return: row has changed */
static bool claim_units(const jh_quota_share_t *share, jh_quota_row_t *row)
{
	jh_quota_owner_t *owner = jh_quota_row_find(row, share->vm);

	if (!owner || is_fenced(share, owner))
		return false;
	owner->boot = share->boot;
	return true;
}

static void release_own_units(const jh_quota_share_t *share, jh_quota_row_t *row)
{
	jh_quota_row_find(row, share->vm)->units -= share->release_units;
	remove_empty_entries(row);
}

static void start_release(jh_quota_share_t *share, int64_t now_us)
{
	unsigned units = count_excess_units(share);

	if (share->release != RELEASE_NONE || units == 0)
		return;
	share->release = RELEASE_WAITING_FOR_LEASES;
	share->release_units = units;
	share->release_since_us = now_us;
}

jh_quota_share_need_t jh_quota_share_decide(jh_quota_share_t *share, int64_t now_us,
					    uint64_t *version, jh_quota_row_t **row)
{
	bool has_changed = false;

	if (!share->is_row_known)
		return JH_QUOTA_SHARE_READ;
	if (!share->row && !share->is_settled)
		return JH_QUOTA_SHARE_NOTHING;
	*version = share->version;
	*row = share->row ? jh_quota_row_copy(share->row) : jh_quota_row_new();
	if (share->row)
		start_release(share, now_us);
	if (share->release == RELEASE_WRITING ||
	    (share->release == RELEASE_WAITING_FOR_LEASES &&
	     now_us >= share->release_since_us + share->lease_wait_us)) {
		share->release = RELEASE_WRITING;
		release_own_units(share, *row);
		return JH_QUOTA_SHARE_WRITE;
	}
	has_changed = claim_units(share, *row);
	if (share->is_assigner)
		has_changed |= assign_units(share, *row);
	if (has_changed)
		return JH_QUOTA_SHARE_WRITE;
	jh_quota_row_free(*row);
	*row = NULL;
	return JH_QUOTA_SHARE_NOTHING;
}
