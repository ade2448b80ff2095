#include "jh_read_choice.h"

/*
 * A read that a replica can serve goes to the primary only if the replica's queue is longer by this
 * much, because the slots of no other member can serve writes.
 */
#define PRIMARY_READ_PENALTY_US 20000

/* Shortest wait for a replica, so that an estimate in the past does not cause a busy loop. */
#define REPLICA_WAIT_MIN_US 1000

/* A read stops waiting for a replica that is this much later than estimated. */
#define REPLICA_LATE_MAX_US 20000

static int64_t member_cost_us(const jh_read_member_t *member)
{
	return member->wait_us + member->distance_us +
	       (member->primary ? PRIMARY_READ_PENALTY_US : 0);
}

static int64_t member_latency_us(const jh_read_member_t *member)
{
	return member->wait_us + member->distance_us;
}

/*
 * The view shows an outdated position for the primary, which may have written since. A required
 * position of its term or an earlier one therefore counts as applied there; the primary's owner
 * checks again before it runs the read.
 *
 * Any other member must have applied an entry of the view's term. Until then it may be a replaced
 * primary whose log ends with entries that are not replicated to a majority. Its position could be
 * high enough only because of these entries, which will be lost.
 */
static bool member_has_applied(const jh_read_member_t *member, const jh_read_need_t *need)
{
	if (member->primary && need->position.term <= need->view_term)
		return true;
	return member->position.term >= need->view_term &&
	       jh_position_compare(member->position, need->position) >= 0;
}

static bool member_is_fresh(const jh_read_member_t *member, const jh_read_need_t *need,
			    int64_t now_us)
{
	if (need->max_age_us < 0 || member->primary)
		return true;
	return member->last_caught_up_us > 0 &&
	       now_us - member->last_caught_up_us <= need->max_age_us;
}

static bool member_can_serve(const jh_read_member_t *member, const jh_read_need_t *need,
			     int64_t now_us)
{
	return member->usable && member_has_applied(member, need) &&
	       member_is_fresh(member, need, now_us);
}

static int find_cheapest(const jh_read_member_t *members, unsigned count,
			 const jh_read_need_t *need, int64_t now_us)
{
	int best = -1;
	unsigned i;

	for (i = 0; i < count; i++) {
		if (!member_can_serve(&members[i], need, now_us))
			continue;
		if (best < 0 || member_cost_us(&members[i]) < member_cost_us(&members[best]))
			best = (int)i;
	}
	return best;
}

/*
 * A replica whose data is of age A currently applies what was written A ago, so it applies the
 * session's write about A after that write.
 *
 * Return: estimated time until the replica's response, -1 if it can't be estimated
 */
static int64_t replica_expected_latency_us(const jh_read_member_t *member,
					   const jh_read_need_t *need, int64_t now_us)
{
	int64_t age_us = now_us - member->last_caught_up_us;
	int64_t applied_in_us;

	if (!member->usable || member->primary || member->last_caught_up_us <= 0)
		return -1;
	if (!member_is_fresh(member, need, now_us))
		return -1;
	applied_in_us = need->since_us + age_us - now_us;
	if (applied_in_us < -REPLICA_LATE_MAX_US)
		return -1;
	return MAX(applied_in_us, REPLICA_WAIT_MIN_US) + member_latency_us(member);
}

static int find_soonest_replica(const jh_read_member_t *members, unsigned count,
				const jh_read_need_t *need, int64_t now_us, int64_t *soonest_us)
{
	int best = -1;
	unsigned i;

	for (i = 0; i < count; i++) {
		int64_t latency_us = replica_expected_latency_us(&members[i], need, now_us);

		if (latency_us < 0 || (best >= 0 && latency_us >= *soonest_us))
			continue;
		best = (int)i;
		*soonest_us = latency_us;
	}
	return best;
}

static jh_read_reason_t find_wait_reason(const jh_read_member_t *members, unsigned count,
					 const jh_read_need_t *need)
{
	bool usable = false;
	bool applied = false;
	bool held = false;
	unsigned i;

	for (i = 0; i < count; i++) {
		usable |= members[i].usable;
		applied |= members[i].usable && member_has_applied(&members[i], need);
		held |= jh_position_compare(members[i].held, need->position) >= 0 ||
			jh_position_compare(members[i].position, need->position) >= 0;
	}
	if (!usable)
		return JH_READ_REASON_UNREACHABLE;
	if (!held)
		return JH_READ_REASON_AHEAD;
	return applied ? JH_READ_REASON_AGE : JH_READ_REASON_BEHIND;
}

jh_read_choice_t jh_read_choose(const jh_read_member_t *members, unsigned count,
				const jh_read_need_t *need, int64_t now_us)
{
	jh_read_choice_t choice = { .action = JH_READ_WAIT_VIEW };
	int best = find_cheapest(members, count, need, now_us);
	int64_t soonest_us = 0;

	if (best >= 0 && !members[best].primary) {
		choice.action = JH_READ_SEND;
		choice.member = (unsigned)best;
		return choice;
	}
	if (best >= 0) {
		/* Only the primary can serve the read now. A replica may still respond sooner. */
		int replica = find_soonest_replica(members, count, need, now_us, &soonest_us);

		choice.member = (unsigned)best;
		choice.action = JH_READ_SEND;
		if (replica >= 0 && soonest_us < member_latency_us(&members[best])) {
			choice.action = JH_READ_WAIT_REPLICA;
			choice.wait_us = soonest_us - member_latency_us(&members[replica]);
			choice.reason = JH_READ_REASON_BEHIND;
		}
		return choice;
	}
	choice.reason = find_wait_reason(members, count, need);
	return choice;
}
