#include "jh_quota_share.h"

/*
 * A write that was sent may take effect at any later time, until the row's version has moved on.
 * So a VM that gives slots up does not use them again before it has seen a higher version, and a
 * restarted VM uses slots only after a write of its own: that voids what its earlier life sent.
 */

typedef enum release_state {
	RELEASE_NONE,
	/* The slots are no longer used, but loans from them may still run. */
	RELEASE_WAITING,
	/* A write that gives them up was asked for. */
	RELEASE_WRITING,
} release_state_t;

struct jh_quota_share {
	char *vm;
	uint64_t boot;
	int64_t lease_wait_us;
	GHashTable *live;
	GHashTable *gone;
	bool is_assigner;
	bool is_known;
	uint64_t version;
	jh_quota_row_t *row;
	release_state_t release;
	unsigned released;
	int64_t release_from_us;
};

/* ---- row ---- */

static void owner_free(gpointer data)
{
	jh_quota_owner_t *owner = data;

	g_free(owner->vm);
	g_free(owner);
}

jh_quota_row_t *jh_quota_row_new(void)
{
	jh_quota_row_t *row = g_new0(jh_quota_row_t, 1);

	row->owners = g_ptr_array_new_with_free_func(owner_free);
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

unsigned jh_quota_row_free_slots(const jh_quota_row_t *row)
{
	unsigned free_slots = JH_QUOTA_SLOTS;
	unsigned i;

	for (i = 0; i < row->owners->len; i++)
		free_slots -= ((const jh_quota_owner_t *)g_ptr_array_index(row->owners, i))->slots;
	return free_slots;
}

bool jh_quota_row_add(jh_quota_row_t *row, const char *vm, uint64_t boot, unsigned slots)
{
	jh_quota_owner_t *owner;

	if (slots > jh_quota_row_free_slots(row) || jh_quota_row_find(row, vm))
		return false;
	owner = g_new0(jh_quota_owner_t, 1);
	*owner = (jh_quota_owner_t){ .vm = g_strdup(vm), .boot = boot, .slots = slots };
	g_ptr_array_add(row->owners, owner);
	return true;
}

jh_quota_row_t *jh_quota_row_copy(const jh_quota_row_t *row)
{
	jh_quota_row_t *copy = jh_quota_row_new();
	unsigned i;

	for (i = 0; i < row->owners->len; i++) {
		const jh_quota_owner_t *owner = g_ptr_array_index(row->owners, i);

		jh_quota_row_add(copy, owner->vm, owner->boot, owner->slots);
	}
	return copy;
}

/* ---- life ---- */

jh_quota_share_t *jh_quota_share_new(const char *vm, uint64_t boot, int64_t lease_wait_us)
{
	jh_quota_share_t *share = g_new0(jh_quota_share_t, 1);

	share->vm = g_strdup(vm);
	share->boot = boot;
	share->lease_wait_us = lease_wait_us;
	share->live = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	share->gone = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return share;
}

void jh_quota_share_free(jh_quota_share_t *share)
{
	g_hash_table_destroy(share->live);
	g_hash_table_destroy(share->gone);
	jh_quota_row_free(share->row);
	g_free(share->vm);
	g_free(share);
}

static void set_fill(GHashTable *set, const GPtrArray *names)
{
	unsigned i;

	g_hash_table_remove_all(set);
	for (i = 0; i < names->len; i++)
		g_hash_table_add(set, g_strdup(g_ptr_array_index(names, i)));
}

void jh_quota_share_set_live(jh_quota_share_t *share, const GPtrArray *names)
{
	set_fill(share->live, names);
}

void jh_quota_share_set_unlisted(jh_quota_share_t *share, const GPtrArray *names)
{
	set_fill(share->gone, names);
}

void jh_quota_share_set_assigner(jh_quota_share_t *share, bool is_assigner)
{
	share->is_assigner = is_assigner;
}

/* ---- use ---- */

static const jh_quota_owner_t *own(const jh_quota_share_t *share)
{
	return share->row ? jh_quota_row_find(share->row, share->vm) : NULL;
}

unsigned jh_quota_share_slots(const jh_quota_share_t *share)
{
	const jh_quota_owner_t *owner = own(share);
	unsigned released = share->release == RELEASE_NONE ? 0 : share->released;

	if (!owner || owner->boot != share->boot || owner->slots < released)
		return 0;
	return owner->slots - released;
}

bool jh_quota_share_is_released(const jh_quota_share_t *share)
{
	return !own(share);
}

const jh_quota_row_t *jh_quota_share_row(const jh_quota_share_t *share)
{
	return share->row;
}

void jh_quota_share_on_row(jh_quota_share_t *share, uint64_t version, jh_quota_row_t *row)
{
	if (share->is_known && version <= share->version) {
		jh_quota_row_free(row);
		return;
	}
	jh_quota_row_free(share->row);
	share->row = row;
	share->version = version;
	share->is_known = true;
	/* Whether or not the write took effect, it can't any more. */
	if (share->release == RELEASE_WRITING)
		share->release = RELEASE_NONE;
	if (share->release == RELEASE_WAITING &&
	    (!own(share) || own(share)->slots < share->released))
		share->release = RELEASE_NONE;
}

/* ---- decisions ---- */

static unsigned slots_of(const jh_quota_row_t *row, const char *vm)
{
	const jh_quota_owner_t *owner = jh_quota_row_find(row, vm);

	return owner ? owner->slots : 0;
}

/* Live VM with the fewest slots; by name among equals, so that VMs agree. */
static const char *poorest(const jh_quota_share_t *share, const jh_quota_row_t *row)
{
	const char *best = NULL;
	GHashTableIter iter;
	gpointer key;

	g_hash_table_iter_init(&iter, share->live);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		unsigned slots = slots_of(row, key);

		if (!best || slots < slots_of(row, best) ||
		    (slots == slots_of(row, best) && g_strcmp0(key, best) < 0))
			best = key;
	}
	return best;
}

/* How many of its slots this VM should give up. */
static unsigned excess(const jh_quota_share_t *share)
{
	unsigned live = g_hash_table_size(share->live);
	unsigned mine = slots_of(share->row, share->vm);
	const char *needy = poorest(share, share->row);
	unsigned fair;

	if (!g_hash_table_contains(share->live, share->vm))
		return mine;
	fair = (JH_QUOTA_SLOTS + live - 1) / live;
	/* Free slots go to the needy first. */
	if (mine <= fair || jh_quota_row_free_slots(share->row) > 0 ||
	    slots_of(share->row, needy) >= JH_QUOTA_SLOTS / live)
		return 0;
	return mine - fair;
}

static void row_remove_empty(jh_quota_row_t *row)
{
	unsigned i = 0;

	while (i < row->owners->len) {
		const jh_quota_owner_t *owner = g_ptr_array_index(row->owners, i);

		if (owner->slots == 0)
			g_ptr_array_remove_index(row->owners, i);
		else
			i++;
	}
}

/* Slots of VMs that are gone become free, free ones go to live VMs. Return: changed */
static bool row_assign(const jh_quota_share_t *share, jh_quota_row_t *row)
{
	bool changed = false;
	unsigned free_slots;
	unsigned i;

	for (i = 0; i < row->owners->len; i++) {
		jh_quota_owner_t *owner = g_ptr_array_index(row->owners, i);

		if (!g_hash_table_contains(share->gone, owner->vm))
			continue;
		owner->slots = 0;
		changed = true;
	}
	row_remove_empty(row);
	free_slots = jh_quota_row_free_slots(row);
	while (free_slots > 0 && g_hash_table_size(share->live) > 0) {
		const char *vm = poorest(share, row);

		if (!jh_quota_row_find(row, vm))
			jh_quota_row_add(row, vm, 0, 0);
		jh_quota_row_find(row, vm)->slots++;
		free_slots--;
		changed = true;
	}
	return changed;
}

/* This life uses its slots from now on. Return: changed */
static bool row_claim(const jh_quota_share_t *share, jh_quota_row_t *row)
{
	jh_quota_owner_t *owner = jh_quota_row_find(row, share->vm);

	if (!owner || owner->boot == share->boot)
		return false;
	owner->boot = share->boot;
	return true;
}

static void row_release(const jh_quota_share_t *share, jh_quota_row_t *row)
{
	jh_quota_row_find(row, share->vm)->slots -= share->released;
	row_remove_empty(row);
}

static void release_start(jh_quota_share_t *share, int64_t now_us)
{
	unsigned slots = excess(share);

	if (share->release != RELEASE_NONE || slots == 0)
		return;
	share->release = RELEASE_WAITING;
	share->released = slots;
	share->release_from_us = now_us;
}

jh_quota_share_need_t jh_quota_share_decide(jh_quota_share_t *share, int64_t now_us,
					    uint64_t *version, jh_quota_row_t **row)
{
	bool changed = false;

	if (!share->is_known)
		return JH_QUOTA_SHARE_READ;
	*version = share->version;
	*row = share->row ? jh_quota_row_copy(share->row) : jh_quota_row_new();
	if (share->row)
		release_start(share, now_us);
	if (share->release == RELEASE_WRITING ||
	    (share->release == RELEASE_WAITING &&
	     now_us >= share->release_from_us + share->lease_wait_us)) {
		share->release = RELEASE_WRITING;
		row_release(share, *row);
		return JH_QUOTA_SHARE_WRITE;
	}
	changed = row_claim(share, *row);
	if (share->is_assigner)
		changed |= row_assign(share, *row);
	if (changed)
		return JH_QUOTA_SHARE_WRITE;
	jh_quota_row_free(*row);
	*row = NULL;
	return JH_QUOTA_SHARE_NOTHING;
}
