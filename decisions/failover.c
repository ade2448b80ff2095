/* The change of primary; see include/jh_failover.h and docs/internals/change-of-primary.md. */
#include "jh_failover.h"

#include <string.h>

/* A replica that heard nothing from its primary for so long finds it gone. */
#define SILENCE_US ((int64_t)300 * 1000)

/* Only reports that are as young as this count as a vote. */
#define VOTE_LIFETIME_US ((int64_t)400 * 1000)

/* How long a cause must hold before a change begins. */
#define CONFIRM_SILENT_US ((int64_t)100 * 1000)
#define CONFIRM_UNREACHABLE_US ((int64_t)300 * 1000)
#define CONFIRM_NO_PRIMARY_US ((int64_t)300 * 1000)
#define CONFIRM_STRAY_US ((int64_t)2000 * 1000)
#define CONFIRM_DEPARTING_US ((int64_t)200 * 1000)

/* A VM of the next rank acts if the one before it did not for so long. */
#define RANK_DELAY_US ((int64_t)400 * 1000)

/* Time limits of the phases of a change. */
#define CONNECT_LIMIT_US ((int64_t)150 * 1000)
#define CLAIM_LIMIT_US ((int64_t)3000 * 1000)
#define FENCE_LIMIT_US ((int64_t)200 * 1000)
#define PROMOTE_LIMIT_US ((int64_t)200 * 1000)

/* Delay after a failed try: doubled with each, plus up to as much again at random. */
#define BACKOFF_MIN_US ((int64_t)50 * 1000)
#define BACKOFF_DOUBLINGS 4u

/* Time between two commands to a member to follow the primary. */
#define FOLLOW_RETRY_US ((int64_t)200 * 1000)

/* ---- small helpers ---- */

static void action_add(jh_failover_actions_t *actions, jh_failover_action_t action)
{
	g_assert(actions->count < JH_FAILOVER_ACTIONS);
	actions->list[actions->count++] = action;
}

static unsigned mask_count(uint32_t mask)
{
	unsigned count = 0;

	for (; mask; mask &= mask - 1)
		count++;
	return count;
}

static bool mask_is_majority(const jh_group_state_t *state, uint32_t mask)
{
	return mask_count(mask) >= jh_group_state_majority(state);
}

/* Return: newest report that reached @member and is young enough for a vote, or NULL */
static const jh_member_report_t *vote_report(const jh_group_state_t *state, unsigned member,
					     int64_t now_us)
{
	const jh_member_report_t *report = jh_group_state_newest(state, member, now_us);

	if (!report || !report->reachable || now_us - report->at_us > VOTE_LIFETIME_US)
		return NULL;
	return report;
}

static bool is_majority_reachable(const jh_group_state_t *state, int64_t now_us)
{
	unsigned count = 0;
	unsigned i;

	for (i = 0; i < jh_group_state_members(state); i++)
		count += vote_report(state, i, now_us) != NULL;
	return count >= jh_group_state_majority(state);
}

/* ---- whether the primary is gone ---- */

/* What the observers say of whether they reach a member. */
typedef struct reach {
	int64_t now_us;
	unsigned reaching;
	unsigned missing;
} reach_t;

static void reach_count(const char *observer, const jh_member_report_t *report, void *data)
{
	reach_t *reach = data;

	(void)observer;
	if (reach->now_us - report->at_us > VOTE_LIFETIME_US)
		return;
	if (report->reachable)
		reach->reaching++;
	else
		reach->missing++;
}

/* At least two observers, and all that have spoken lately, don't reach the member. */
static bool is_out_of_reach(const jh_group_state_t *state, unsigned member, int64_t now_us)
{
	reach_t reach = { .now_us = now_us };

	jh_group_state_each(state, member, reach_count, &reach);
	return reach.reaching == 0 && reach.missing >= 2;
}

/* A replica's own word: it follows the primary's term and hears nothing. */
static bool is_replica_silent(const jh_group_state_t *state, unsigned member, int64_t now_us)
{
	const jh_member_report_t *report = vote_report(state, member, now_us);

	if (!report || report->is_primary || report->term != jh_group_state_term(state))
		return false;
	return report->heard_us == 0 || report->at_us - report->heard_us >= SILENCE_US;
}

static bool cause_silent(const jh_group_state_t *state, uint32_t departing, int64_t now_us)
{
	int primary = jh_group_state_primary(state);
	unsigned votes = 0;
	unsigned i;

	if (primary < 0)
		return false;
	for (i = 0; i < jh_group_state_members(state); i++) {
		if (i == (unsigned)primary)
			votes += is_out_of_reach(state, i, now_us);
		else
			votes += is_replica_silent(state, i, now_us);
	}
	return votes >= jh_group_state_majority(state);
}

static bool cause_unreachable(const jh_group_state_t *state, uint32_t departing, int64_t now_us)
{
	int primary = jh_group_state_primary(state);

	return primary >= 0 && is_out_of_reach(state, (unsigned)primary, now_us);
}

/* A replica follows a primary that this VM may not have heard of yet. */
static bool is_replica_hearing(const jh_group_state_t *state, unsigned member, int64_t now_us)
{
	const jh_member_report_t *report = vote_report(state, member, now_us);

	return report && report->promised_term == report->term &&
	       report->term >= jh_group_state_term(state) && report->heard_us > 0 &&
	       report->at_us - report->heard_us < SILENCE_US;
}

static bool cause_no_primary(const jh_group_state_t *state, uint32_t departing, int64_t now_us)
{
	unsigned i;

	if (jh_group_state_primary(state) >= 0 || !is_majority_reachable(state, now_us))
		return false;
	for (i = 0; i < jh_group_state_members(state); i++) {
		if (is_replica_hearing(state, i, now_us))
			return false;
	}
	return true;
}

static bool cause_stray_promise(const jh_group_state_t *state, uint32_t departing, int64_t now_us)
{
	unsigned i;

	for (i = 0; i < jh_group_state_members(state); i++) {
		const jh_member_report_t *report = vote_report(state, i, now_us);

		if (report && report->promised_term > jh_group_state_term(state))
			return true;
	}
	return false;
}

/* The members that stay and can be reached; 0 if they are no majority. */
static uint32_t staying_majority(const jh_group_state_t *state, uint32_t departing, int64_t now_us)
{
	uint32_t staying = 0;
	unsigned i;

	for (i = 0; i < jh_group_state_members(state); i++) {
		if (!(departing & 1u << i) && vote_report(state, i, now_us))
			staying |= 1u << i;
	}
	return mask_is_majority(state, staying) ? staying : 0;
}

static bool cause_departing(const jh_group_state_t *state, uint32_t departing, int64_t now_us)
{
	int primary = jh_group_state_primary(state);

	return primary >= 0 && departing & 1u << primary &&
	       staying_majority(state, departing, now_us) != 0;
}

static const struct {
	bool (*holds)(const jh_group_state_t *state, uint32_t departing, int64_t now_us);
	int64_t confirm_us;
} causes[JH_CAUSES] = {
	[JH_CAUSE_MEMBERS_LOST_PRIMARY] = { cause_silent, CONFIRM_SILENT_US },
	[JH_CAUSE_UNREACHABLE] = { cause_unreachable, CONFIRM_UNREACHABLE_US },
	[JH_CAUSE_NO_PRIMARY] = { cause_no_primary, CONFIRM_NO_PRIMARY_US },
	[JH_CAUSE_HIGHER_TERM] = { cause_stray_promise, CONFIRM_STRAY_US },
	[JH_CAUSE_DEPARTING] = { cause_departing, CONFIRM_DEPARTING_US },
};

/* Note since when each cause holds. Return: the one confirmed for this rank, or none */
static jh_failover_cause_t causes_check(jh_failover_t *failover, const jh_group_state_t *state,
					unsigned rank, int64_t now_us)
{
	jh_failover_cause_t found = JH_CAUSE_NONE;
	unsigned i;

	for (i = JH_CAUSES - 1; i > JH_CAUSE_NONE; i--) {
		int64_t wait_us = causes[i].confirm_us + (int64_t)rank * RANK_DELAY_US;

		if (!causes[i].holds(state, failover->departing, now_us)) {
			failover->since_us[i] = 0;
			continue;
		}
		if (failover->since_us[i] == 0)
			failover->since_us[i] = now_us;
		else if (now_us - failover->since_us[i] >= wait_us)
			found = (jh_failover_cause_t)i;
	}
	return found;
}

/* ---- phases of a change ---- */

static void phase_set(jh_failover_t *failover, jh_failover_phase_t phase, int64_t until_us)
{
	failover->phase = phase;
	failover->until_us = until_us;
}

static void change_give_up(jh_failover_t *failover, int64_t now_us, uint64_t random,
			   jh_failover_actions_t *actions)
{
	int64_t delay_us = BACKOFF_MIN_US << MIN(failover->tries, BACKOFF_DOUBLINGS);

	delay_us += (int64_t)(random % (uint64_t)delay_us);
	failover->tries++;
	phase_set(failover, JH_PHASE_BACKOFF, now_us + delay_us);
	action_add(actions,
		   (jh_failover_action_t){ .type = JH_FAILOVER_GIVE_UP, .term = failover->term });
}

/*
 * Connect first and fence only once a majority is in reach: a cut-off coordinator would else
 * leave promises behind on a minority. Departing members are left out if the others are a
 * majority, so that none of them is promoted; they follow afterwards.
 */
static void change_begin(jh_failover_t *failover, const jh_group_state_t *state, int64_t now_us,
			 jh_failover_actions_t *actions)
{
	uint32_t staying = staying_majority(state, failover->departing, now_us);
	unsigned i;

	failover->term = MAX(failover->term, jh_group_state_highest_promise(state)) + 1;
	failover->connected = 0;
	failover->granted = 0;
	memset(failover->held, 0, sizeof(failover->held));
	phase_set(failover, JH_PHASE_CONNECTING, now_us + CONNECT_LIMIT_US);
	for (i = 0; i < jh_group_state_members(state); i++) {
		if (staying && failover->departing & 1u << i)
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

	phase_set(failover, JH_PHASE_FENCING, now_us + FENCE_LIMIT_US);
	for (i = 0; i < jh_group_state_members(state); i++) {
		if (failover->connected & 1u << i)
			action_add(actions, (jh_failover_action_t){ .type = JH_FAILOVER_FENCE,
								    .member = i,
								    .term = failover->term });
	}
}

static void change_claim(jh_failover_t *failover, int64_t now_us, jh_failover_actions_t *actions)
{
	phase_set(failover, JH_PHASE_CLAIMING, now_us + CLAIM_LIMIT_US);
	action_add(actions,
		   (jh_failover_action_t){ .type = JH_FAILOVER_CLAIM, .term = failover->term });
}

/*
 * Of the members that promised the term, the furthest holds every acknowledged write: each of
 * these is held by a majority, which shares a member with this one. A tie goes to the primary
 * of before, whose callers are used to it.
 */
static unsigned change_choose(const jh_failover_t *failover, const jh_group_state_t *state)
{
	int old = jh_group_state_primary(state);
	int best = -1;
	unsigned i;

	for (i = 0; i < jh_group_state_members(state); i++) {
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
	failover->target = change_choose(failover, state);
	phase_set(failover, JH_PHASE_PROMOTING, now_us + PROMOTE_LIMIT_US);
	action_add(actions, (jh_failover_action_t){ .type = JH_FAILOVER_PROMOTE,
						    .member = failover->target,
						    .term = failover->term });
}

static void change_finish(jh_failover_t *failover, const jh_group_state_t *state, int64_t now_us,
			  jh_failover_actions_t *actions)
{
	unsigned i;

	failover->tries = 0;
	memset(failover->since_us, 0, sizeof(failover->since_us));
	phase_set(failover, JH_PHASE_IDLE, 0);
	action_add(actions, (jh_failover_action_t){ .type = JH_FAILOVER_ANNOUNCE,
						    .primary = failover->target,
						    .term = failover->term });
	for (i = 0; i < jh_group_state_members(state); i++) {
		if (i == failover->target)
			continue;
		failover->followed_us[i] = now_us;
		action_add(actions, (jh_failover_action_t){ .type = JH_FAILOVER_FOLLOW,
							    .member = i,
							    .primary = failover->target,
							    .term = failover->term });
	}
}

/* ---- members that follow nobody or an older primary ---- */

static bool member_must_follow(const jh_group_state_t *state, unsigned member, int64_t now_us)
{
	const jh_member_report_t *report = vote_report(state, member, now_us);
	uint64_t term = jh_group_state_term(state);

	return report && report->term < term && report->promised_term <= term;
}

static void members_lead(jh_failover_t *failover, const jh_group_state_t *state, int64_t now_us,
			 jh_failover_actions_t *actions)
{
	int primary = jh_group_state_primary(state);
	unsigned i;

	for (i = 0; primary >= 0 && i < jh_group_state_members(state); i++) {
		if (i == (unsigned)primary || !member_must_follow(state, i, now_us) ||
		    now_us - failover->followed_us[i] < FOLLOW_RETRY_US)
			continue;
		failover->followed_us[i] = now_us;
		action_add(actions, (jh_failover_action_t){ .type = JH_FAILOVER_FOLLOW,
							    .member = i,
							    .primary = (unsigned)primary,
							    .term = jh_group_state_term(state) });
	}
}

/* ---- events ---- */

static void decide_tick(jh_failover_t *failover, const jh_group_state_t *state,
			const jh_failover_event_t *event, int64_t now_us, uint64_t random,
			jh_failover_actions_t *actions)
{
	/* What was known before a pause is old, however young it looks. */
	if (event->paused) {
		memset(failover->since_us, 0, sizeof(failover->since_us));
		if (failover->phase != JH_PHASE_IDLE && failover->phase != JH_PHASE_BACKOFF)
			change_give_up(failover, now_us, random, actions);
		return;
	}
	if (event->rank == JH_FAILOVER_NO_RANK) {
		memset(failover->since_us, 0, sizeof(failover->since_us));
		if (failover->phase == JH_PHASE_IDLE)
			return;
	} else {
		failover->cause = causes_check(failover, state, event->rank, now_us);
	}
	if (failover->phase != JH_PHASE_IDLE && now_us < failover->until_us)
		return;
	if (failover->phase == JH_PHASE_BACKOFF)
		phase_set(failover, JH_PHASE_IDLE, 0);
	if (failover->phase != JH_PHASE_IDLE) {
		change_give_up(failover, now_us, random, actions);
		return;
	}
	if (event->rank == JH_FAILOVER_NO_RANK)
		return;
	if (failover->cause != JH_CAUSE_NONE && is_majority_reachable(state, now_us))
		change_begin(failover, state, now_us, actions);
	else
		members_lead(failover, state, now_us, actions);
	if (failover->cause == JH_CAUSE_NONE)
		failover->tries = 0;
}

static void decide_connected(jh_failover_t *failover, const jh_group_state_t *state,
			     const jh_failover_event_t *event, int64_t now_us,
			     jh_failover_actions_t *actions)
{
	bool late = failover->phase != JH_PHASE_CONNECTING;

	failover->connected |= 1u << event->member;
	/* One that connects after the others is fenced too while grants are counted. */
	if (failover->phase == JH_PHASE_FENCING)
		action_add(actions, (jh_failover_action_t){ .type = JH_FAILOVER_FENCE,
							    .member = event->member,
							    .term = failover->term });
	if (late || !mask_is_majority(state, failover->connected))
		return;
	if (failover->authority == JH_TERMS_FROM_PLATFORM)
		change_claim(failover, now_us, actions);
	else
		change_fence(failover, state, now_us, actions);
}

static void decide_fenced(jh_failover_t *failover, const jh_group_state_t *state,
			  const jh_failover_event_t *event, int64_t now_us, uint64_t random,
			  jh_failover_actions_t *actions)
{
	if (failover->phase != JH_PHASE_FENCING)
		return;
	if (!event->granted) {
		/* Another coordinator raised the term, or will: step back at random. */
		change_give_up(failover, now_us, random, actions);
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
	g_assert(jh_group_state_members(state) <= JH_FAILOVER_MEMBERS);
	if (event->type == JH_FAILOVER_TICK) {
		decide_tick(failover, state, event, now_us, random, actions);
		return;
	}
	/* Outcomes of earlier tries say nothing about this one. */
	if (event->term != failover->term || event->member >= jh_group_state_members(state))
		return;
	switch (event->type) {
	case JH_FAILOVER_CONNECTED:
		decide_connected(failover, state, event, now_us, actions);
		break;
	case JH_FAILOVER_CLAIMED:
		if (failover->phase != JH_PHASE_CLAIMING)
			break;
		if (event->granted)
			change_fence(failover, state, now_us, actions);
		else
			change_give_up(failover, now_us, random, actions);
		break;
	case JH_FAILOVER_FENCED:
		decide_fenced(failover, state, event, now_us, random, actions);
		break;
	case JH_FAILOVER_PROMOTED:
		if (failover->phase != JH_PHASE_PROMOTING || event->member != failover->target)
			break;
		if (event->granted)
			change_finish(failover, state, now_us, actions);
		else
			change_give_up(failover, now_us, random, actions);
		break;
	default:
		break;
	}
}

/* ---- observers ---- */

bool jh_failover_needs_attention(const jh_group_state_t *state, const char *observer,
				 int64_t now_us)
{
	uint64_t term = jh_group_state_term(state);
	unsigned i;

	if (jh_group_state_primary(state) < 0)
		return true;
	for (i = 0; i < jh_group_state_members(state); i++) {
		const jh_member_report_t *own = jh_group_state_own(state, observer, i);

		if (!own)
			continue;
		if (!own->reachable || own->term != term || own->promised_term != term ||
		    is_replica_silent(state, i, now_us))
			return true;
	}
	return false;
}
