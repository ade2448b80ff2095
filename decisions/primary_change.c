#include "jh_primary_change.h"

#include "jh_mirror.h"

/* A change stops the whole group's writes for about a second and a half; a primary that fewer VMs
 * than one in this many have lost serves more by staying.
 */
#define SILENT_SHARE 3

/* Entries that lapsed with the store are back within two seconds of its return. */
#define GONE_US (2500 * INT64_C(1000))

const char *jh_primary_must_change(const jh_primary_health_t *health)
{
	unsigned silent = health->silent_vms + health->leader_probe_failed;

	if (!health->has_successor)
		return NULL;
	if (health->denies_primary)
		return "it no longer leads";
	if (health->is_draining)
		return "it is draining";
	if (health->gone_us > GONE_US)
		return "its entry is gone";
	if (health->leader_probe_failed && (health->silent_vms > 0 || health->vms == 1))
		return "it does not answer";
	if (silent > 0 && silent * SILENT_SHARE >= health->vms)
		return "too many vms cannot reach it";
	return NULL;
}

bool jh_primary_is_fenced(const jh_change_acks_t *fence)
{
	if (fence->knowing >= fence->vms)
		return true;
	return fence->voters_acked >= jh_quorum_size(fence->council) &&
	       fence->majority_us >= JH_LEASE_US + JH_LEASE_MARGIN_US;
}

int jh_successor_choose(const jh_successor_t *members, unsigned count, unsigned sync_replicas)
{
	unsigned answered = 0;
	int best = -1;
	unsigned i;

	for (i = 0; i < count; i++) {
		const jh_successor_t *member = &members[i];

		if (!member->answered)
			continue;
		answered++;
		if (member->is_leaving)
			continue;
		if (best < 0 || jh_position_compare(member->received, members[best].received) > 0)
			best = (int)i;
	}
	if (sync_replicas > 0 && answered + sync_replicas <= count)
		return -1;
	return best;
}
