#include "jh_read_choice.h"

/* A read goes to the primary, although a replica covers it, only if the replica's queue is this
 * much longer: the primary's slots are the only ones that can serve writes.
 */
#define PRIMARY_RESERVE_US 20000

/* Shortest wait for a replica, so that a late estimate does not turn into a busy loop. */
#define REPLICA_WAIT_MIN_US 1000

/* A replica that has not covered the position this long after it was expected is not waited for. */
#define REPLICA_LATE_US 20000

static int64_t member_cost(const jh_read_member_t *member)
{
	return member->wait_us + member->distance_us + (member->primary ? PRIMARY_RESERVE_US : 0);
}

static int64_t member_answer(const jh_read_member_t *member)
{
	return member->wait_us + member->distance_us;
}

/* A primary's position in the view is older than its own writes, so that a position of its term or
 * an earlier one is taken as covered. Its owner compares again before it runs the read.
 *
 * Any other member must have applied an entry of the view's term. Until then it may be a primary
 * that was replaced, whose log ends with entries that no majority holds: they may cover the
 * position, and they will be lost.
 */
static bool member_covers(const jh_read_member_t *member, const jh_read_need_t *need)
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
	return member->fresh_us > 0 && now_us - member->fresh_us <= need->max_age_us;
}

static bool member_serves(const jh_read_member_t *member, const jh_read_need_t *need,
			  int64_t now_us)
{
	return member->usable && member_covers(member, need) &&
	       member_is_fresh(member, need, now_us);
}

static int find_best(const jh_read_member_t *members, unsigned count, const jh_read_need_t *need,
		     int64_t now_us)
{
	int best = -1;
	unsigned i;

	for (i = 0; i < count; i++) {
		if (!member_serves(&members[i], need, now_us))
			continue;
		if (best < 0 || member_cost(&members[i]) < member_cost(&members[best]))
			best = (int)i;
	}
	return best;
}

/* A replica whose data is of age A applies now what was written A ago, so that it covers the
 * session's write about A after that write. Return: time until its answer, -1 if not to be told
 */
static int64_t replica_expected(const jh_read_member_t *member, const jh_read_need_t *need,
				int64_t now_us)
{
	int64_t age_us = now_us - member->fresh_us;
	int64_t covered_in_us;

	if (!member->usable || member->primary || member->fresh_us <= 0)
		return -1;
	if (!member_is_fresh(member, need, now_us))
		return -1;
	covered_in_us = need->since_us + age_us - now_us;
	if (covered_in_us < -REPLICA_LATE_US)
		return -1;
	return MAX(covered_in_us, REPLICA_WAIT_MIN_US) + member_answer(member);
}

static int find_expected(const jh_read_member_t *members, unsigned count,
			 const jh_read_need_t *need, int64_t now_us, int64_t *expected_us)
{
	int best = -1;
	unsigned i;

	for (i = 0; i < count; i++) {
		int64_t time_us = replica_expected(&members[i], need, now_us);

		if (time_us < 0 || (best >= 0 && time_us >= *expected_us))
			continue;
		best = (int)i;
		*expected_us = time_us;
	}
	return best;
}

static jh_read_reason_t find_reason(const jh_read_member_t *members, unsigned count,
				    const jh_read_need_t *need)
{
	bool usable = false;
	bool covered = false;
	bool held = false;
	unsigned i;

	for (i = 0; i < count; i++) {
		usable |= members[i].usable;
		covered |= members[i].usable && member_covers(&members[i], need);
		held |= jh_position_compare(members[i].held, need->position) >= 0 ||
			jh_position_compare(members[i].position, need->position) >= 0;
	}
	if (!usable)
		return JH_READ_REASON_UNREACHABLE;
	if (!held)
		return JH_READ_REASON_AHEAD;
	return covered ? JH_READ_REASON_AGE : JH_READ_REASON_BEHIND;
}

jh_read_choice_t jh_read_choose(const jh_read_member_t *members, unsigned count,
				const jh_read_need_t *need, int64_t now_us)
{
	jh_read_choice_t choice = { .action = JH_READ_WAIT_VIEW };
	int best = find_best(members, count, need, now_us);
	int64_t expected_us = 0;

	if (best >= 0 && !members[best].primary) {
		choice.action = JH_READ_SEND;
		choice.member = (unsigned)best;
		return choice;
	}
	if (best >= 0) {
		/* Only the primary serves it now; is a replica expected to answer sooner? */
		int replica = find_expected(members, count, need, now_us, &expected_us);

		choice.member = (unsigned)best;
		choice.action = JH_READ_SEND;
		if (replica >= 0 && expected_us < member_answer(&members[best])) {
			choice.action = JH_READ_WAIT_REPLICA;
			choice.wait_us = expected_us - member_answer(&members[replica]);
			choice.reason = JH_READ_REASON_BEHIND;
		}
		return choice;
	}
	choice.reason = find_reason(members, count, need);
	return choice;
}
