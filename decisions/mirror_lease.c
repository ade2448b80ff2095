#include "jh_mirror.h"

/*
 * Computes when the mirror lease expires. It is a leader lease renewed by quorum reads, except that
 * every VM holds one and that a read of the store renews it as well. The leader first writes a
 * change of primary to the store and then waits until a quorum of the voters has applied it.
 * Therefore a read of the store or a quorum of acknowledgements sees every change of primary whose
 * wait has ended. A quorum is a majority of each set of voters that jh_voters_t has.
 */

struct jh_mirror_lease {
	/* When the newest read of the store was sent; INT64_MIN if there was none. */
	int64_t store_read_us;
	/* Expiry of another VM's lease, which this VM shares; INT64_MIN if there was none. */
	int64_t shared_expiry_us;
	/* VM name to int64_t *: when the newest request was sent that the VM has acknowledged. */
	GHashTable *ack_times;
	bool counts_self;
	/* See jh_mirror_lease_on_verified(); INT64_MIN if nothing is known. */
	int64_t verified_us;
};

jh_mirror_lease_t *jh_mirror_lease_new(void)
{
	jh_mirror_lease_t *lease = g_new0(jh_mirror_lease_t, 1);

	lease->store_read_us = INT64_MIN;
	lease->shared_expiry_us = INT64_MIN;
	lease->counts_self = true;
	lease->verified_us = INT64_MIN;
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

void jh_mirror_lease_on_verified(jh_mirror_lease_t *lease, int64_t verified_us)
{
	lease->verified_us = MAX(lease->verified_us, verified_us);
}

/*
 * A voter replies with at least half of its lease left, which the next round of requests renews
 * before it ends. The rest of the lease is long enough for a read of the store, even a slow one.
 */
bool jh_mirror_lease_needs_store(int64_t expiry_us, int64_t now_us)
{
	return expiry_us <= now_us + JH_LEASE_US / 3;
}

static int compare_descending(const void *a, const void *b)
{
	int64_t left = *(const int64_t *)a;
	int64_t right = *(const int64_t *)b;

	return left < right ? 1 : left > right ? -1 : 0;
}

/*
 * A kind of quorum.
 * @size: its size in a set of VMs
 * @size_without_self: the same without a voter that has just started. The earlier instance of that
 *	voter may be among the VMs whose acknowledgements a leader has counted.
 * @without_store_us: for how long it renews leases without a read of the store
 */
typedef struct quorum_kind {
	unsigned (*size)(unsigned count);
	unsigned (*size_without_self)(unsigned count);
	int64_t without_store_us;
} quorum_kind_t;

/* The leader has counted a majority. */
static unsigned quorum_size_without_self(unsigned count)
{
	return count - jh_quorum_size(count) + 1;
}

static const quorum_kind_t majority = {
	.size = jh_quorum_size,
	.size_without_self = quorum_size_without_self,
	.without_store_us = JH_QUORUM_WITHOUT_STORE_US,
};

/* The leader has counted the smallest set of VMs that intersects each broad quorum. */
static const quorum_kind_t broad_quorum = {
	.size = jh_broad_quorum_size,
	.size_without_self = jh_broad_quorum_size,
	.without_store_us = JH_BROAD_QUORUM_WITHOUT_STORE_US,
};

/* Return: number of acknowledgements of other VMs of the set that are needed for a quorum */
static unsigned count_acks_needed(const jh_mirror_lease_t *lease, const GPtrArray *voters,
				  const char *self, const quorum_kind_t *kind)
{
	bool is_voter =
		g_ptr_array_find_with_equal_func((GPtrArray *)voters, self, g_str_equal, NULL);

	if (!is_voter)
		return kind->size(voters->len);
	return lease->counts_self ? kind->size(voters->len) - 1 :
				    kind->size_without_self(voters->len);
}

/*
 * Return: time of the newest request that enough VMs of the set have acknowledged; INT64_MIN if too
 * few have, INT64_MAX if this VM needs no other one
 */
static int64_t set_acked_us(const jh_mirror_lease_t *lease, const GPtrArray *voters,
			    const char *self, const quorum_kind_t *kind)
{
	unsigned acks_needed = count_acks_needed(lease, voters, self, kind);
	GArray *acked_times = g_array_new(FALSE, FALSE, sizeof(int64_t));
	int64_t acked_us = acks_needed == 0 ? INT64_MAX : INT64_MIN;
	unsigned i;

	for (i = 0; i < voters->len; i++) {
		const char *vm = g_ptr_array_index(voters, i);
		const int64_t *time_us = g_hash_table_lookup(lease->ack_times, vm);

		if (!g_str_equal(vm, self) && time_us)
			g_array_append_val(acked_times, *time_us);
	}
	g_array_sort(acked_times, compare_descending);
	if (acks_needed > 0 && acked_times->len >= acks_needed)
		acked_us = g_array_index(acked_times, int64_t, acks_needed - 1);
	g_array_free(acked_times, TRUE);
	return acked_us;
}

/* Return: when the lease expires that a quorum has renewed; INT64_MIN if none has */
static int64_t quorum_expiry_us(const jh_mirror_lease_t *lease, const jh_voters_t *voters,
				const char *self, const quorum_kind_t *kind)
{
	int64_t acked_us = set_acked_us(lease, voters->current, self, kind);

	if (voters->previous)
		acked_us = MIN(acked_us, set_acked_us(lease, voters->previous, self, kind));
	/* The only voter has no VM to send requests to; only reads of the store renew its lease. */
	if (acked_us == INT64_MIN || acked_us == INT64_MAX || lease->verified_us == INT64_MIN)
		return INT64_MIN;
	return MIN(acked_us + JH_LEASE_US, lease->verified_us + kind->without_store_us);
}

int64_t jh_mirror_lease_expiry_us(const jh_mirror_lease_t *lease, const jh_voters_t *voters,
				  const char *self)
{
	int64_t store_expiry_us =
		lease->store_read_us == INT64_MIN ? INT64_MIN : lease->store_read_us + JH_LEASE_US;
	int64_t expiry_us = MAX(store_expiry_us, lease->shared_expiry_us);

	expiry_us = MAX(expiry_us, quorum_expiry_us(lease, voters, self, &majority));
	return MAX(expiry_us, quorum_expiry_us(lease, voters, self, &broad_quorum));
}

const char *jh_mirror_lease_source(const jh_mirror_lease_t *lease, int64_t expiry_us)
{
	if (lease->store_read_us != INT64_MIN && lease->store_read_us + JH_LEASE_US == expiry_us)
		return "store";
	return lease->shared_expiry_us == expiry_us ? "shared" : "quorum";
}
