#include "jh_mirror.h"

#include "jh_placement.h"

/*
 * How long this VM may rely on its mirror. A VM that changes a primary first writes the change to
 * the store and then makes a majority of the VMs know of it, so that a confirmation by the store
 * or by a majority is newer than every change whose writer went on to the next step.
 */

struct jh_authority {
	int64_t store_us;
	/* End of another VM's authority, which this one may share. */
	int64_t lent_until_us;
	/* Name to int64_t: when the VM was asked whose answer confirmed last. */
	GHashTable *confirmed;
};

jh_authority_t *jh_mirror_lease_new(void)
{
	jh_authority_t *authority = g_new0(jh_authority_t, 1);

	authority->store_us = INT64_MIN;
	authority->lent_until_us = INT64_MIN;
	authority->confirmed = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return authority;
}

void jh_mirror_lease_free(jh_authority_t *authority)
{
	g_hash_table_destroy(authority->confirmed);
	g_free(authority);
}

void jh_mirror_lease_on_store_read(jh_authority_t *authority, int64_t sent_us)
{
	authority->store_us = MAX(authority->store_us, sent_us);
}

void jh_mirror_lease_on_vm_ack(jh_authority_t *authority, const char *vm, int64_t asked_us)
{
	int64_t *known = g_hash_table_lookup(authority->confirmed, vm);

	if (known)
		*known = MAX(*known, asked_us);
	else
		g_hash_table_insert(authority->confirmed, g_strdup(vm),
				    g_memdup2(&asked_us, sizeof(asked_us)));
}

void jh_mirror_lease_on_peer_lease(jh_authority_t *authority, int64_t until_us)
{
	authority->lent_until_us = MAX(authority->lent_until_us, until_us);
}

unsigned jh_majority_of(unsigned count)
{
	return count / 2 + 1;
}

static int compare_newest_first(const void *a, const void *b)
{
	int64_t left = *(const int64_t *)a;
	int64_t right = *(const int64_t *)b;

	return left < right ? 1 : left > right ? -1 : 0;
}

void jh_voters_pick(GPtrArray *names)
{
	jh_placement_pick(names, "council", JH_VOTERS_MAX);
}

int64_t jh_mirror_lease_expiry_us(const jh_authority_t *authority, const GPtrArray *council,
				  const char *self)
{
	unsigned needed = jh_majority_of(council->len);
	GArray *times = g_array_new(FALSE, FALSE, sizeof(int64_t));
	int64_t newest = authority->store_us;
	unsigned i;

	for (i = 0; i < council->len; i++) {
		const char *vm = g_ptr_array_index(council, i);
		const int64_t *time = g_hash_table_lookup(authority->confirmed, vm);

		if (g_str_equal(vm, self))
			needed--;
		else if (time)
			g_array_append_val(times, *time);
	}
	g_array_sort(times, compare_newest_first);
	/* A fleet of one has nobody to ask; there the store alone confirms. */
	if (needed > 0 && times->len >= needed)
		newest = MAX(newest, g_array_index(times, int64_t, needed - 1));
	g_array_free(times, TRUE);
	return MAX(authority->lent_until_us,
		   newest == INT64_MIN ? INT64_MIN : newest + JH_LEASE_US);
}
