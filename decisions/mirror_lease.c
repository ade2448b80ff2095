#include "jh_mirror.h"

#include "jh_placement.h"

/*
 * Computes when the mirror lease expires. It is a leader lease renewed by quorum reads, except that
 * every VM holds one and that a read of the store renews it as well. The leader first writes a
 * change of primary to the store and then waits until a quorum of the voters has applied it.
 * Therefore a read of the store or a quorum of acknowledgements sees every change of primary whose
 * wait has ended.
 */

struct jh_mirror_lease {
	/* When the newest read of the store was sent; INT64_MIN if there was none. */
	int64_t store_read_us;
	/* Expiry of another VM's lease, which this VM shares; INT64_MIN if there was none. */
	int64_t shared_expiry_us;
	/* VM name to int64_t *: when the newest request was sent that the VM has acknowledged. */
	GHashTable *ack_times;
	bool counts_self;
};

jh_mirror_lease_t *jh_mirror_lease_new(void)
{
	jh_mirror_lease_t *lease = g_new0(jh_mirror_lease_t, 1);

	lease->store_read_us = INT64_MIN;
	lease->shared_expiry_us = INT64_MIN;
	lease->counts_self = true;
	lease->ack_times = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return lease;
}

void jh_mirror_lease_free(jh_mirror_lease_t *lease)
{
	g_hash_table_destroy(lease->ack_times);
	g_free(lease);
}

void jh_mirror_lease_forget(jh_mirror_lease_t *lease)
{
	lease->store_read_us = INT64_MIN;
	lease->shared_expiry_us = INT64_MIN;
	g_hash_table_remove_all(lease->ack_times);
}

void jh_mirror_lease_count_self(jh_mirror_lease_t *lease, bool counts_self)
{
	lease->counts_self = counts_self;
}

void jh_mirror_lease_on_store_read(jh_mirror_lease_t *lease, int64_t sent_us)
{
	lease->store_read_us = MAX(lease->store_read_us, sent_us);
}

void jh_mirror_lease_on_vm_ack(jh_mirror_lease_t *lease, const char *vm, int64_t requested_us)
{
	int64_t *newest_us = g_hash_table_lookup(lease->ack_times, vm);

	if (newest_us)
		*newest_us = MAX(*newest_us, requested_us);
	else
		g_hash_table_insert(lease->ack_times, g_strdup(vm),
				    g_memdup2(&requested_us, sizeof(requested_us)));
}

void jh_mirror_lease_on_peer_lease(jh_mirror_lease_t *lease, int64_t until_us)
{
	lease->shared_expiry_us = MAX(lease->shared_expiry_us, until_us);
}

/*
 * A voter replies with at least half of its lease left, which the next round of requests renews
 * before it ends. The rest of the lease is long enough for a read of the store, even a slow one.
 */
bool jh_mirror_lease_needs_store(int64_t expiry_us, int64_t now_us)
{
	return expiry_us <= now_us + JH_LEASE_US / 3;
}

unsigned jh_quorum_size(unsigned count)
{
	return count / 2 + 1;
}

static int compare_descending(const void *a, const void *b)
{
	int64_t left = *(const int64_t *)a;
	int64_t right = *(const int64_t *)b;

	return left < right ? 1 : left > right ? -1 : 0;
}

void jh_voters_choose(GPtrArray *names)
{
	jh_placement_pick(names, "council", JH_VOTERS_MAX);
}

/*
 * Return: acknowledgements of other voters without which the VMs that acknowledged need not include
 * one of each quorum
 */
static unsigned count_acks_needed(const jh_mirror_lease_t *lease, const GPtrArray *voters,
				  const char *self)
{
	unsigned quorum = jh_quorum_size(voters->len);
	bool is_voter =
		g_ptr_array_find_with_equal_func((GPtrArray *)voters, self, g_str_equal, NULL);

	if (!is_voter)
		return quorum;
	return lease->counts_self ? quorum - 1 : voters->len - quorum + 1;
}

int64_t jh_mirror_lease_expiry_us(const jh_mirror_lease_t *lease, const GPtrArray *voters,
				  const char *self)
{
	unsigned acks_needed = count_acks_needed(lease, voters, self);
	GArray *acked_times = g_array_new(FALSE, FALSE, sizeof(int64_t));
	int64_t renewed_us = lease->store_read_us;
	unsigned i;

	for (i = 0; i < voters->len; i++) {
		const char *vm = g_ptr_array_index(voters, i);
		const int64_t *acked_us = g_hash_table_lookup(lease->ack_times, vm);

		if (!g_str_equal(vm, self) && acked_us)
			g_array_append_val(acked_times, *acked_us);
	}
	g_array_sort(acked_times, compare_descending);
	/* The only voter has no VM to send requests to; only reads of the store renew its lease. */
	if (acks_needed > 0 && acked_times->len >= acks_needed)
		renewed_us = MAX(renewed_us, g_array_index(acked_times, int64_t, acks_needed - 1));
	g_array_free(acked_times, TRUE);
	return MAX(lease->shared_expiry_us,
		   renewed_us == INT64_MIN ? INT64_MIN : renewed_us + JH_LEASE_US);
}

const char *jh_mirror_lease_source(const jh_mirror_lease_t *lease, int64_t expiry_us)
{
	if (lease->store_read_us != INT64_MIN && lease->store_read_us + JH_LEASE_US == expiry_us)
		return "store";
	return lease->shared_expiry_us == expiry_us ? "shared" : "quorum";
}
