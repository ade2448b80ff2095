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
	if (health->is_draining && (!health->can_not_fence || health->is_drain_over))
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

bool jh_change_is_settled(const jh_change_acks_t *acks)
{
	const int64_t lease_us = JH_LEASE_US + JH_LEASE_MARGIN_US;

	if (acks->has_quorum && acks->quorum_held_us >= lease_us)
		return true;
	if (acks->blocking_held_us >= lease_us &&
	    acks->stored_us >= JH_QUORUM_WITHOUT_STORE_US + JH_LEASE_MARGIN_US)
		return true;
	return acks->stored_us >= JH_BROAD_QUORUM_WITHOUT_STORE_US + JH_LEASE_MARGIN_US;
}

bool jh_primary_is_fenced(const jh_change_acks_t *acks)
{
	return (acks->acked >= acks->vms && !acks->has_unsettled_removal) ||
	       jh_change_is_settled(acks);
}

static int compare_descending(const void *a, const void *b)
{
	return jh_position_compare(*(const jh_position_t *)b, *(const jh_position_t *)a);
}

/*
 * Return: new array of the received positions of the members that replied, highest first; free with
 * g_array_free()
 */
static GArray *known_positions(const jh_replica_set_t *set)
{
	GArray *positions = g_array_new(FALSE, FALSE, sizeof(jh_position_t));
	unsigned i;

	for (i = 0; i < set->count; i++) {
		const jh_successor_t *member = &set->members[i];

		if (member->replied && (member->received.term > 0 || member->received.index > 0))
			g_array_append_val(positions, member->received);
	}
	g_array_sort(positions, compare_descending);
	return positions;
}

bool jh_acknowledged_bound(const jh_replica_set_t *set, jh_position_t *bound)
{
	GArray *known = known_positions(set);
	unsigned unknown = set->count - known->len;
	unsigned copies = MIN(set->sync_replicas + set->has_primary, set->count);
	bool is_found = false;
	jh_position_t position;

	/* A commit is in so many of the known logs even if all the unknown ones have it. */
	if (set->sync_replicas > 0 && copies > unknown) {
		*bound = g_array_index(known, jh_position_t, copies - unknown - 1);
		is_found = true;
	}
	/* A log that ends before a replica's is not that of the group's primary: it started anew.
	 */
	if (set->sync_replicas > 0 && set->final.term > 0) {
		position = known->len > 0 ? g_array_index(known, jh_position_t, 0) : set->final;
		if (jh_position_compare(position, set->final) <= 0 &&
		    (!is_found || jh_position_compare(set->final, *bound) < 0)) {
			*bound = set->final;
			is_found = true;
		}
	}
	g_array_free(known, TRUE);
	return is_found;
}

/* Return: whether @member goes before @other, NULL for none */
static bool is_better_successor(const jh_successor_t *member, const jh_successor_t *other)
{
	if (!other || member->is_leaving != other->is_leaving)
		return !other || other->is_leaving;
	return jh_position_compare(member->received, other->received) > 0;
}

int jh_successor_choose(const jh_replica_set_t *set)
{
	jh_position_t bound = { 0 };
	const jh_successor_t *best = NULL;
	unsigned i;

	if (set->sync_replicas > 0 && !jh_acknowledged_bound(set, &bound))
		return -1;
	/* A replica that is not in the set has it. */
	if (set->sync_replicas > 0 && jh_position_compare(set->acknowledged, bound) > 0)
		bound = set->acknowledged;
	for (i = 0; i < set->count; i++) {
		const jh_successor_t *member = &set->members[i];

		if (!member->replied || member->is_excluded ||
		    (member->is_leaving && set->sync_replicas == 0) ||
		    jh_position_compare(member->received, bound) < 0)
			continue;
		if (is_better_successor(member, best))
			best = member;
	}
	return best ? (int)(best - set->members) : -1;
}

jh_catch_up_step_t jh_catch_up_decide(const jh_catch_up_t *catch_up)
{
	bool is_stalled = catch_up->stalled_us >= STALL_TIMEOUT_US;
	bool is_over = catch_up->waited_us >= CATCH_UP_TIMEOUT_US;

	if (!catch_up->has_successor)
		return catch_up->old_is_last_choice && is_over ? JH_CATCH_UP_PROMOTE_OLD :
								 JH_CATCH_UP_WAIT;
	if (!catch_up->is_behind && !catch_up->is_leaving)
		return JH_CATCH_UP_PROMOTE;
	if (is_stalled && catch_up->old_may_lead)
		return JH_CATCH_UP_PROMOTE_OLD;
	/* Without the old primary no member can receive the rest of its log. */
	if (is_stalled && !catch_up->old_replied)
		return JH_CATCH_UP_PROMOTE;
	return is_over ? JH_CATCH_UP_PROMOTE : JH_CATCH_UP_WAIT;
}
