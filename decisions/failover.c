/* Change of primary; see include/jh_failover.h and docs/internals/change-of-primary.md. */
#include "jh_failover.h"

#include <string.h>

/* A replica that heard nothing from its primary for this long votes that the primary has failed. */
#define HEARTBEAT_TIMEOUT_US ((int64_t)300 * 1000)

/* A report older than this does not count as a vote. */
#define VOTE_MAX_AGE_US ((int64_t)400 * 1000)

/* A cause must hold for this long before a change of primary begins. */
#define CONFIRM_MEMBERS_LOST_PRIMARY_US ((int64_t)100 * 1000)
#define CONFIRM_UNREACHABLE_US ((int64_t)300 * 1000)
#define CONFIRM_NO_PRIMARY_US ((int64_t)300 * 1000)
#define CONFIRM_HIGHER_TERM_US ((int64_t)2000 * 1000)
#define CONFIRM_DEPARTING_US ((int64_t)200 * 1000)

/* A VM waits this much longer for each VM that precedes it in rank. */
#define RANK_DELAY_US ((int64_t)400 * 1000)

/* Timeouts of the phases of a change of primary. */
#define CONNECT_TIMEOUT_US ((int64_t)150 * 1000)
#define CLAIM_TIMEOUT_US ((int64_t)3000 * 1000)
#define FENCE_TIMEOUT_US ((int64_t)200 * 1000)
#define PROMOTE_TIMEOUT_US ((int64_t)200 * 1000)

/* Backoff after a failed attempt: doubles each time, plus up to as much again at random. */
#define BACKOFF_MIN_US ((int64_t)50 * 1000)
#define BACKOFF_MAX_DOUBLINGS 4u

/* Interval at which the command to follow the primary is repeated for a member. */
#define FOLLOW_RETRY_US ((int64_t)200 * 1000)

/* ---- helpers ---- */

static void action_add(jh_failover_actions_t *actions, jh_failover_action_t action)
{
	g_assert(actions->count < JH_FAILOVER_ACTIONS_MAX);
	actions->list[actions->count++] = action;
}

static unsigned mask_bit_count(uint32_t mask)
{
	unsigned count = 0;

	for (; mask; mask &= mask - 1)
		count++;
	return count;
}

static bool mask_is_majority(const jh_group_state_t *state, uint32_t mask)
{
	return mask_bit_count(mask) >= jh_group_state_majority_size(state);
}

/* Return: newest report that @member is reachable; NULL if it is too old for a vote, or missing */
static const jh_member_report_t *vote_report(const jh_group_state_t *state, unsigned member,
					     int64_t now_us)
{
	const jh_member_report_t *report = jh_group_state_newest_report(state, member, now_us);

	if (!report || !report->reachable || now_us - report->at_us > VOTE_MAX_AGE_US)
		return NULL;
	return report;
}

static bool is_majority_reachable(const jh_group_state_t *state, int64_t now_us)
{
	unsigned count = 0;
	unsigned i;

	for (i = 0; i < jh_group_state_member_count(state); i++)
		count += vote_report(state, i, now_us) != NULL;
	return count >= jh_group_state_majority_size(state);
}

/* ---- causes of a change of primary ---- */

/* Number of observers that recently reported a member as reachable, and as unreachable. */
typedef struct reach_votes {
	int64_t now_us;
	unsigned reachable_count;
	unsigned unreachable_count;
} reach_votes_t;

static void reach_votes_count(const char *observer, const jh_member_report_t *report, void *data)
{
	reach_votes_t *votes = data;

	(void)observer;
	if (votes->now_us - report->at_us > VOTE_MAX_AGE_US)
		return;
	if (report->reachable)
		votes->reachable_count++;
	else
		votes->unreachable_count++;
}

/*
 * Return: true if at least two observers recently reported that they do not reach @member, and none
 * that it does
 */
static bool is_member_unreachable(const jh_group_state_t *state, unsigned member, int64_t now_us)
{
	reach_votes_t votes = { .now_us = now_us };

	jh_group_state_visit_reports(state, member, reach_votes_count, &votes);
	return votes.reachable_count == 0 && votes.unreachable_count >= 2;
}

/* A replica of the current term reports that it no longer hears from its primary. */
static bool has_replica_lost_primary(const jh_group_state_t *state, unsigned member, int64_t now_us)
{
	const jh_member_report_t *report = vote_report(state, member, now_us);

	if (!report || report->is_primary || report->term != jh_group_state_term(state))
		return false;
	return report->last_message_us == 0 ||
	       report->at_us - report->last_message_us >= HEARTBEAT_TIMEOUT_US;
}

static bool cause_members_lost_primary(const jh_group_state_t *state, uint32_t departing,
				       int64_t now_us)
{
	int primary = jh_group_state_primary(state);
	unsigned votes = 0;
	unsigned i;

	if (primary < 0)
		return false;
	for (i = 0; i < jh_group_state_member_count(state); i++) {
		if (i == (unsigned)primary)
			votes += is_member_unreachable(state, i, now_us);
		else
			votes += has_replica_lost_primary(state, i, now_us);
	}
	return votes >= jh_group_state_majority_size(state);
}

static bool cause_unreachable(const jh_group_state_t *state, uint32_t departing, int64_t now_us)
{
	int primary = jh_group_state_primary(state);

	return primary >= 0 && is_member_unreachable(state, (unsigned)primary, now_us);
}

/*
 * A replica hears from a primary of the current term or a higher one. This VM may not have received
 * that primary's name yet.
 */
static bool is_replica_following(const jh_group_state_t *state, unsigned member, int64_t now_us)
{
	const jh_member_report_t *report = vote_report(state, member, now_us);

	return report && report->promised_term == report->term &&
	       report->term >= jh_group_state_term(state) && report->last_message_us > 0 &&
	       report->at_us - report->last_message_us < HEARTBEAT_TIMEOUT_US;
}

static bool cause_no_primary(const jh_group_state_t *state, uint32_t departing, int64_t now_us)
{
	unsigned i;

	if (jh_group_state_primary(state) >= 0 || !is_majority_reachable(state, now_us))
		return false;
	for (i = 0; i < jh_group_state_member_count(state); i++) {
		if (is_replica_following(state, i, now_us))
			return false;
	}
	return true;
}

static bool cause_higher_term(const jh_group_state_t *state, uint32_t departing, int64_t now_us)
{
	unsigned i;

	for (i = 0; i < jh_group_state_member_count(state); i++) {
		const jh_member_report_t *report = vote_report(state, i, now_us);

		if (report && report->promised_term > jh_group_state_term(state))
			return true;
	}
	return false;
}

/* Return: mask of the reachable members that are not departing; 0 if they are not a majority */
static uint32_t remaining_majority(const jh_group_state_t *state, uint32_t departing,
				   int64_t now_us)
{
	uint32_t remaining = 0;
	unsigned i;

	for (i = 0; i < jh_group_state_member_count(state); i++) {
		if (!(departing & 1u << i) && vote_report(state, i, now_us))
			remaining |= 1u << i;
	}
	return mask_is_majority(state, remaining) ? remaining : 0;
}

static bool cause_departing(const jh_group_state_t *state, uint32_t departing, int64_t now_us)
{
	int primary = jh_group_state_primary(state);

	return primary >= 0 && departing & 1u << primary &&
	       remaining_majority(state, departing, now_us) != 0;
}

static const struct {
	bool (*holds)(const jh_group_state_t *state, uint32_t departing, int64_t now_us);
	int64_t confirm_us;
} causes[JH_CAUSE_COUNT] = {
	[JH_CAUSE_MEMBERS_LOST_PRIMARY] = { cause_members_lost_primary,
					    CONFIRM_MEMBERS_LOST_PRIMARY_US },
	[JH_CAUSE_UNREACHABLE] = { cause_unreachable, CONFIRM_UNREACHABLE_US },
	[JH_CAUSE_NO_PRIMARY] = { cause_no_primary, CONFIRM_NO_PRIMARY_US },
	[JH_CAUSE_HIGHER_TERM] = { cause_higher_term, CONFIRM_HIGHER_TERM_US },
	[JH_CAUSE_DEPARTING] = { cause_departing, CONFIRM_DEPARTING_US },
};

/*
 * Update since when each cause holds. Return: the first cause, in the order of the enum, that has
 * held long enough for a VM of this rank, or none
 */
static jh_failover_cause_t causes_update(jh_failover_t *failover, const jh_group_state_t *state,
					 unsigned rank, int64_t now_us)
{
	jh_failover_cause_t confirmed = JH_CAUSE_NONE;
	unsigned i;

	for (i = JH_CAUSE_COUNT - 1; i > JH_CAUSE_NONE; i--) {
		int64_t required_us = causes[i].confirm_us + (int64_t)rank * RANK_DELAY_US;

		if (!causes[i].holds(state, failover->departing, now_us)) {
			failover->since_us[i] = 0;
			continue;
		}
		if (failover->since_us[i] == 0)
			failover->since_us[i] = now_us;
		else if (now_us - failover->since_us[i] >= required_us)
			confirmed = (jh_failover_cause_t)i;
	}
	return confirmed;
}

/* ---- phases of a change of primary ---- */

static void phase_set(jh_failover_t *failover, jh_failover_phase_t phase, int64_t phase_deadline_us)
{
	failover->phase = phase;
	failover->phase_deadline_us = phase_deadline_us;
}

static void change_abort(jh_failover_t *failover, int64_t now_us, uint64_t random,
			 jh_failover_actions_t *actions)
{
	int64_t delay_us = BACKOFF_MIN_US << MIN(failover->failed_attempts, BACKOFF_MAX_DOUBLINGS);

	delay_us += (int64_t)(random % (uint64_t)delay_us);
	failover->failed_attempts++;
	phase_set(failover, JH_PHASE_BACKOFF, now_us + delay_us);
	action_add(actions,
		   (jh_failover_action_t){ .type = JH_FAILOVER_ABORT, .term = failover->term });
}

/*
 * A coordinator fences no member before it is connected to a majority: an isolated coordinator
 * would otherwise leave a higher promised term on a minority. Departing members are left out if
 * the other members are a majority, so that no departing member is promoted; once the new primary
 * is known they are told to follow it.
 */
static void change_begin(jh_failover_t *failover, const jh_group_state_t *state, int64_t now_us,
			 jh_failover_actions_t *actions)
{
	uint32_t remaining = remaining_majority(state, failover->departing, now_us);
	unsigned i;

	failover->term = MAX(failover->term, jh_group_state_highest_promised_term(state)) + 1;
	failover->connected = 0;
	failover->granted = 0;
	memset(failover->held, 0, sizeof(failover->held));
	phase_set(failover, JH_PHASE_CONNECTING, now_us + CONNECT_TIMEOUT_US);
	for (i = 0; i < jh_group_state_member_count(state); i++) {
		if (remaining && failover->departing & 1u << i)
			continue;
		action_add(actions, (jh_failover_action_t){ .type = JH_FAILOVER_CONNECT,
							    .member = i,
							    .term = failover->term });
	}
}

static void change_fence(jh_failover_t *failover, const jh_group_state_t *state, int64_t now_us,
			 jh_failover_actions_t *actions)
{
	unsigned i;

	phase_set(failover, JH_PHASE_FENCING, now_us + FENCE_TIMEOUT_US);
	for (i = 0; i < jh_group_state_member_count(state); i++) {
		if (failover->connected & 1u << i)
			action_add(actions, (jh_failover_action_t){ .type = JH_FAILOVER_FENCE,
								    .member = i,
								    .term = failover->term });
	}
}

static void change_claim(jh_failover_t *failover, int64_t now_us, jh_failover_actions_t *actions)
{
	phase_set(failover, JH_PHASE_CLAIMING, now_us + CLAIM_TIMEOUT_US);
	action_add(actions,
		   (jh_failover_action_t){ .type = JH_FAILOVER_CLAIM, .term = failover->term });
}

/*
 * Choose the member with the highest received position among those that promised the term. It has
 * every acknowledged write: each such write is replicated to a majority, and any two majorities
 * share a member. On a tie the previous primary is preferred, so that its callers need not move.
 */
static unsigned target_choose(const jh_failover_t *failover, const jh_group_state_t *state)
{
	int old = jh_group_state_primary(state);
	int best = -1;
	unsigned i;

	for (i = 0; i < jh_group_state_member_count(state); i++) {
		int order;

		if (!(failover->granted & 1u << i))
			continue;
		order = best < 0 ? 1 : jh_position_compare(failover->held[i], failover->held[best]);
		if (order > 0 || (order == 0 && (int)i == old))
			best = (int)i;
	}
	g_assert(best >= 0);
	return (unsigned)best;
}

static void change_promote(jh_failover_t *failover, const jh_group_state_t *state, int64_t now_us,
			   jh_failover_actions_t *actions)
{
	failover->target = target_choose(failover, state);
	phase_set(failover, JH_PHASE_PROMOTING, now_us + PROMOTE_TIMEOUT_US);
	action_add(actions, (jh_failover_action_t){ .type = JH_FAILOVER_PROMOTE,
						    .member = failover->target,
						    .term = failover->term });
}

static void change_complete(jh_failover_t *failover, const jh_group_state_t *state, int64_t now_us,
			    jh_failover_actions_t *actions)
{
	unsigned i;

	failover->failed_attempts = 0;
	memset(failover->since_us, 0, sizeof(failover->since_us));
	phase_set(failover, JH_PHASE_IDLE, 0);
	action_add(actions, (jh_failover_action_t){ .type = JH_FAILOVER_ANNOUNCE,
						    .primary = failover->target,
						    .term = failover->term });
	for (i = 0; i < jh_group_state_member_count(state); i++) {
		if (i == failover->target)
			continue;
		failover->follow_sent_us[i] = now_us;
		action_add(actions, (jh_failover_action_t){ .type = JH_FAILOVER_FOLLOW,
							    .member = i,
							    .primary = failover->target,
							    .term = failover->term });
	}
}

/* ---- members that follow no primary or an older one ---- */

static bool member_needs_follow(const jh_group_state_t *state, unsigned member, int64_t now_us)
{
	const jh_member_report_t *report = vote_report(state, member, now_us);
	uint64_t term = jh_group_state_term(state);

	return report && report->term < term && report->promised_term <= term;
}

static void members_send_follow(jh_failover_t *failover, const jh_group_state_t *state,
				int64_t now_us, jh_failover_actions_t *actions)
{
	int primary = jh_group_state_primary(state);
	unsigned i;

	for (i = 0; primary >= 0 && i < jh_group_state_member_count(state); i++) {
		if (i == (unsigned)primary || !member_needs_follow(state, i, now_us) ||
		    now_us - failover->follow_sent_us[i] < FOLLOW_RETRY_US)
			continue;
		failover->follow_sent_us[i] = now_us;
		action_add(actions, (jh_failover_action_t){ .type = JH_FAILOVER_FOLLOW,
							    .member = i,
							    .primary = (unsigned)primary,
							    .term = jh_group_state_term(state) });
	}
}

/* ---- events ---- */

static void on_tick(jh_failover_t *failover, const jh_group_state_t *state,
		    const jh_failover_event_t *event, int64_t now_us, uint64_t random,
		    jh_failover_actions_t *actions)
{
	/* Reports from before a pause are outdated, although their times look recent. */
	if (event->paused) {
		memset(failover->since_us, 0, sizeof(failover->since_us));
		if (failover->phase != JH_PHASE_IDLE && failover->phase != JH_PHASE_BACKOFF)
			change_abort(failover, now_us, random, actions);
		return;
	}
	if (event->rank == JH_FAILOVER_NO_RANK) {
		memset(failover->since_us, 0, sizeof(failover->since_us));
		if (failover->phase == JH_PHASE_IDLE)
			return;
	} else {
		failover->cause = causes_update(failover, state, event->rank, now_us);
	}
	if (failover->phase != JH_PHASE_IDLE && now_us < failover->phase_deadline_us)
		return;
	if (failover->phase == JH_PHASE_BACKOFF)
		phase_set(failover, JH_PHASE_IDLE, 0);
	if (failover->phase != JH_PHASE_IDLE) {
		change_abort(failover, now_us, random, actions);
		return;
	}
	if (event->rank == JH_FAILOVER_NO_RANK)
		return;
	if (failover->cause != JH_CAUSE_NONE && is_majority_reachable(state, now_us))
		change_begin(failover, state, now_us, actions);
	else
		members_send_follow(failover, state, now_us, actions);
	if (failover->cause == JH_CAUSE_NONE)
		failover->failed_attempts = 0;
}

static void on_connected(jh_failover_t *failover, const jh_group_state_t *state,
			 const jh_failover_event_t *event, int64_t now_us,
			 jh_failover_actions_t *actions)
{
	bool is_past_connecting = failover->phase != JH_PHASE_CONNECTING;

	failover->connected |= 1u << event->member;
	/* A member that connects after the majority is fenced as well while replies are counted. */
	if (failover->phase == JH_PHASE_FENCING)
		action_add(actions, (jh_failover_action_t){ .type = JH_FAILOVER_FENCE,
							    .member = event->member,
							    .term = failover->term });
	if (is_past_connecting || !mask_is_majority(state, failover->connected))
		return;
	if (failover->issuer == JH_TERMS_FROM_PLATFORM)
		change_claim(failover, now_us, actions);
	else
		change_fence(failover, state, now_us, actions);
}

static void on_fenced(jh_failover_t *failover, const jh_group_state_t *state,
		      const jh_failover_event_t *event, int64_t now_us, uint64_t random,
		      jh_failover_actions_t *actions)
{
	if (failover->phase != JH_PHASE_FENCING)
		return;
	if (!event->granted) {
		/*
		 * The member has promised this term or a higher one to another coordinator: retry
		 * after a random delay.
		 */
		change_abort(failover, now_us, random, actions);
		return;
	}
	failover->granted |= 1u << event->member;
	failover->held[event->member] = event->held;
	if (mask_is_majority(state, failover->granted))
		change_promote(failover, state, now_us, actions);
}

void jh_failover_decide(jh_failover_t *failover, const jh_group_state_t *state,
			const jh_failover_event_t *event, int64_t now_us, uint64_t random,
			jh_failover_actions_t *actions)
{
	actions->count = 0;
	g_assert(jh_group_state_member_count(state) <= JH_FAILOVER_MEMBERS_MAX);
	if (event->type == JH_FAILOVER_TICK) {
		on_tick(failover, state, event, now_us, random, actions);
		return;
	}
	/* Outcomes of earlier attempts do not apply to this one. */
	if (event->term != failover->term || event->member >= jh_group_state_member_count(state))
		return;
	switch (event->type) {
	case JH_FAILOVER_CONNECTED:
		on_connected(failover, state, event, now_us, actions);
		break;
	case JH_FAILOVER_CLAIMED:
		if (failover->phase != JH_PHASE_CLAIMING)
			break;
		if (event->granted)
			change_fence(failover, state, now_us, actions);
		else
			change_abort(failover, now_us, random, actions);
		break;
	case JH_FAILOVER_FENCED:
		on_fenced(failover, state, event, now_us, random, actions);
		break;
	case JH_FAILOVER_PROMOTED:
		if (failover->phase != JH_PHASE_PROMOTING || event->member != failover->target)
			break;
		if (event->granted)
			change_complete(failover, state, now_us, actions);
		else
			change_abort(failover, now_us, random, actions);
		break;
	default:
		break;
	}
}

/* ---- observers ---- */

bool jh_failover_needs_observation(const jh_group_state_t *state, const char *observer,
				   int64_t now_us)
{
	uint64_t term = jh_group_state_term(state);
	unsigned i;

	if (jh_group_state_primary(state) < 0)
		return true;
	for (i = 0; i < jh_group_state_member_count(state); i++) {
		const jh_member_report_t *own = jh_group_state_observer_report(state, observer, i);

		if (!own)
			continue;
		if (!own->reachable || own->term != term || own->promised_term != term ||
		    has_replica_lost_primary(state, i, now_us))
			return true;
	}
	return false;
}
