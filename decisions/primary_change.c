#include "jh_primary_change.h"

#include "jh_mirror.h"

/*
 * A change of primary stops the writes of the whole group for about 1.5 s. If fewer than one in
 * UNREACHABLE_DIVISOR live VMs cannot reach the primary, keeping it costs less than replacing it.
 */
#define UNREACHABLE_DIVISOR 3

/* A change waits up to this long for a replica to receive the old primary's whole log. */
#define CATCH_UP_TIMEOUT_US (1500 * INT64_C(1000))

/*
 * A replica that receives the log at all advances within its usual delay, 60 ms at the standard
 * loads, and is polled every 100 ms.
 */
#define STALL_TIMEOUT_US (400 * INT64_C(1000))

const char *jh_primary_must_change(const jh_primary_health_t *health)
{
	unsigned unreachable = health->unreachable_vms + health->leader_probe_failed;

	if (!health->has_successor)
		return NULL;
	if (health->denies_primary)
		return "the primary reports that it is not the primary";
	if (health->is_draining)
		return "the primary is draining";
	if (health->is_dc_drained)
		return "the data centre of the primary is drained";
	if (health->missing_us > JH_REGISTRATION_GRACE_US)
		return "the registration of the primary is missing";
	if (health->leader_probe_failed && (health->unreachable_vms > 0 || health->live_vms == 1))
		return "the primary does not respond";
	if (unreachable > 0 && unreachable * UNREACHABLE_DIVISOR >= health->live_vms)
		return "too many VMs cannot reach the primary";
	return NULL;
}

bool jh_change_is_revocable(const jh_primary_health_t *health)
{
	if (health->denies_primary)
		return false;
	return !health->leader_reaches ||
	       health->unreachable_vms * UNREACHABLE_DIVISOR < health->live_vms;
}

bool jh_change_is_open(const jh_revocation_t *revocation)
{
	return revocation->is_revocable && !revocation->has_target &&
	       revocation->begun_era == revocation->row_era;
}

bool jh_change_may_cancel(const jh_revocation_t *revocation, const jh_primary_health_t *health)
{
	jh_primary_health_t without_successor = *health;

	/* The primary stays without a successor whatever its state; that is no reason to return. */
	without_successor.has_successor = true;
	return jh_change_is_open(revocation) && revocation->replied_as_primary &&
	       revocation->replied_term == revocation->row_term &&
	       !jh_primary_must_change(&without_successor);
}

bool jh_primary_is_fenced(const jh_change_acks_t *acks)
{
	if (acks->acked >= acks->vms)
		return true;
	return acks->voters_acked >= jh_quorum_size(acks->voters) &&
	       acks->quorum_held_us >= JH_LEASE_US + JH_LEASE_MARGIN_US;
}

int jh_successor_choose(const jh_successor_t *members, unsigned count, unsigned sync_replicas)
{
	unsigned replied = 0;
	int best = -1;
	unsigned i;

	for (i = 0; i < count; i++) {
		const jh_successor_t *member = &members[i];

		if (!member->replied)
			continue;
		replied++;
		if (member->is_leaving)
			continue;
		if (best < 0 || jh_position_compare(member->received, members[best].received) > 0)
			best = (int)i;
	}
	if (sync_replicas > 0 && replied + sync_replicas <= count)
		return -1;
	return best;
}

jh_catch_up_step_t jh_catch_up_decide(const jh_catch_up_t *catch_up)
{
	bool is_stalled = catch_up->stalled_us >= STALL_TIMEOUT_US;

	if (!catch_up->has_successor)
		return JH_CATCH_UP_WAIT;
	if (!catch_up->is_behind)
		return JH_CATCH_UP_PROMOTE;
	if (is_stalled && catch_up->old_may_lead)
		return JH_CATCH_UP_PROMOTE_OLD;
	/* Without the old primary no member can receive the rest of its log. */
	if (is_stalled && !catch_up->old_replied)
		return JH_CATCH_UP_PROMOTE;
	return catch_up->waited_us >= CATCH_UP_TIMEOUT_US ? JH_CATCH_UP_PROMOTE : JH_CATCH_UP_WAIT;
}
