/* A daemon's knowledge of a group; see include/jh_group.h. */
#include "jh_group.h"

/* One observer's report on one member. */
typedef struct observation {
	const char *observer;
	jh_member_report_t report;
} observation_t;

typedef struct member {
	char *name;
	/* Array of observation_t. */
	GArray *observations;
	/* All observers' reports merged; kept when the reports of an observer are dropped. */
	jh_member_report_t merged;
} member_t;

struct jh_group_state {
	char *name;
	GPtrArray *members;
	uint64_t term;
	/* Name of the term's primary, NULL if it is not known. */
	char *primary;
};

static void member_free(gpointer data)
{
	member_t *member = data;

	g_free(member->name);
	g_array_free(member->observations, TRUE);
	g_free(member);
}

static member_t *member_new(const char *name)
{
	member_t *member = g_new0(member_t, 1);

	member->name = g_strdup(name);
	member->observations = g_array_new(FALSE, TRUE, sizeof(observation_t));
	return member;
}

static member_t *state_get_member(const jh_group_state_t *state, unsigned member)
{
	g_assert(member < state->members->len);
	return g_ptr_array_index(state->members, member);
}

static observation_t *member_find_observation(const member_t *member, const char *observer)
{
	unsigned i;

	for (i = 0; i < member->observations->len; i++) {
		observation_t *observation = &g_array_index(member->observations, observation_t, i);

		if (g_str_equal(observation->observer, observer))
			return observation;
	}
	return NULL;
}

/* ---- creation and members ---- */

jh_group_state_t *jh_group_state_new(const char *name)
{
	jh_group_state_t *state = g_new0(jh_group_state_t, 1);

	state->name = g_strdup(name);
	state->members = g_ptr_array_new_with_free_func(member_free);
	return state;
}

void jh_group_state_free(jh_group_state_t *state)
{
	if (!state)
		return;
	g_ptr_array_free(state->members, TRUE);
	g_free(state->name);
	g_free(state->primary);
	g_free(state);
}

void jh_group_state_set_members(jh_group_state_t *state, const GPtrArray *names)
{
	GPtrArray *members = g_ptr_array_new_with_free_func(member_free);
	unsigned i;

	for (i = 0; i < names->len; i++) {
		const char *name = g_ptr_array_index(names, i);
		int old = jh_group_state_member_index(state, name);

		if (old < 0)
			g_ptr_array_add(members, member_new(name));
		else
			g_ptr_array_add(members,
					g_ptr_array_steal_index(state->members, (guint)old));
	}
	g_ptr_array_free(state->members, TRUE);
	state->members = members;
}

/* ---- lookups ---- */

unsigned jh_group_state_member_count(const jh_group_state_t *state)
{
	return state->members->len;
}

const char *jh_group_state_member_name(const jh_group_state_t *state, unsigned member)
{
	return state_get_member(state, member)->name;
}

int jh_group_state_member_index(const jh_group_state_t *state, const char *name)
{
	unsigned i;

	for (i = 0; i < state->members->len; i++) {
		if (g_strcmp0(state_get_member(state, i)->name, name) == 0)
			return (int)i;
	}
	return -1;
}

unsigned jh_group_state_majority_size(const jh_group_state_t *state)
{
	return state->members->len / 2 + 1;
}

uint64_t jh_group_state_term(const jh_group_state_t *state)
{
	return state->term;
}

int jh_group_state_primary(const jh_group_state_t *state)
{
	return state->primary ? jh_group_state_member_index(state, state->primary) : -1;
}

uint64_t jh_group_state_highest_promised_term(const jh_group_state_t *state)
{
	uint64_t highest = state->term;
	unsigned i;

	for (i = 0; i < state->members->len; i++) {
		const jh_member_report_t *merged = &state_get_member(state, i)->merged;

		highest = MAX(highest, MAX(merged->promised_term, merged->term));
	}
	return highest;
}

const jh_member_report_t *jh_group_state_newest_report(const jh_group_state_t *state,
						       unsigned member, int64_t now_us)
{
	const GArray *observations = state_get_member(state, member)->observations;
	const jh_member_report_t *best = NULL;
	unsigned i;

	for (i = 0; i < observations->len; i++) {
		const jh_member_report_t *report =
			&g_array_index(observations, observation_t, i).report;

		if (now_us - report->at_us > JH_REPORT_LIFETIME_US)
			continue;
		if (!best || report->reachable > best->reachable ||
		    (report->reachable == best->reachable && report->at_us > best->at_us))
			best = report;
	}
	return best;
}

const jh_member_report_t *jh_group_state_observer_report(const jh_group_state_t *state,
							 const char *observer, unsigned member)
{
	const observation_t *observation =
		member_find_observation(state_get_member(state, member), observer);

	return observation ? &observation->report : NULL;
}

void jh_group_state_visit_reports(const jh_group_state_t *state, unsigned member,
				  jh_report_visit_fn_t visit, void *data)
{
	const GArray *observations = state_get_member(state, member)->observations;
	unsigned i;

	for (i = 0; i < observations->len; i++) {
		const observation_t *observation = &g_array_index(observations, observation_t, i);

		visit(observation->observer, &observation->report, data);
	}
}

/* ---- reports and terms ---- */

jh_group_change_t jh_group_state_apply_term(jh_group_state_t *state, uint64_t term,
					    const char *primary)
{
	bool has_primary = primary && *primary;

	if (term < state->term || (term == state->term && (!has_primary || state->primary)))
		return JH_GROUP_UNCHANGED;
	state->term = term;
	g_free(state->primary);
	state->primary = has_primary ? g_strdup(primary) : NULL;
	return JH_GROUP_STATUS_CHANGED;
}

/*
 * Return: the highest term that a majority of the members promised; the primary of a lower term
 * can no longer replicate to a majority
 */
static uint64_t state_majority_promised_term(const jh_group_state_t *state)
{
	uint64_t best = 0;
	unsigned i;
	unsigned j;

	for (i = 0; i < state->members->len; i++) {
		uint64_t term = state_get_member(state, i)->merged.promised_term;
		unsigned count = 0;

		for (j = 0; j < state->members->len; j++)
			count += state_get_member(state, j)->merged.promised_term >= term;
		if (count >= jh_group_state_majority_size(state))
			best = MAX(best, term);
	}
	return best;
}

static jh_group_change_t report_find_change(const jh_member_report_t *old,
					    const jh_member_report_t *report)
{
	if (old->reachable != report->reachable || old->is_primary != report->is_primary ||
	    old->term != report->term || old->promised_term != report->promised_term)
		return JH_GROUP_STATUS_CHANGED;
	if (jh_position_compare(old->held, report->held) != 0 ||
	    jh_position_compare(old->applied, report->applied) != 0)
		return JH_GROUP_POSITION_CHANGED;
	return JH_GROUP_UNCHANGED;
}

static int report_compare_terms(const jh_member_report_t *a, const jh_member_report_t *b)
{
	if (a->promised_term != b->promised_term)
		return a->promised_term < b->promised_term ? -1 : 1;
	if (a->term != b->term)
		return a->term < b->term ? -1 : 1;
	return 0;
}

/*
 * Merge a report into the state known from all observers. While a member follows one primary, its
 * log only grows, so the highest reported position is the newest. Its terms only grow too, so a
 * report with lower terms is outdated and is ignored. A member that lost its state reports lower
 * terms for good; its reports are accepted once the merged one is older than
 * JH_REPORT_LIFETIME_US.
 */
static void member_merge_report(member_t *member, const jh_member_report_t *report)
{
	jh_member_report_t *merged = &member->merged;
	int order = report_compare_terms(report, merged);

	if (order > 0 || report->at_us - merged->at_us > JH_REPORT_LIFETIME_US) {
		*merged = *report;
		return;
	}
	if (order < 0)
		return;
	if (jh_position_compare(report->held, merged->held) > 0)
		merged->held = report->held;
	if (jh_position_compare(report->applied, merged->applied) > 0)
		merged->applied = report->applied;
	merged->last_caught_up_us = MAX(merged->last_caught_up_us, report->last_caught_up_us);
	merged->last_message_us = MAX(merged->last_message_us, report->last_message_us);
	if (report->at_us >= merged->at_us) {
		merged->at_us = report->at_us;
		merged->is_primary = report->is_primary;
		merged->wait_us = report->wait_us;
	}
}

jh_group_change_t jh_group_state_apply_report(jh_group_state_t *state, const char *observer,
					      unsigned index, const jh_member_report_t *report)
{
	member_t *member = state_get_member(state, index);
	observation_t *observation = member_find_observation(member, observer);
	jh_group_change_t change = JH_GROUP_STATUS_CHANGED;

	if (observation) {
		change = report_find_change(&observation->report, report);
		observation->report = *report;
	} else {
		observation_t first = { .observer = g_intern_string(observer), .report = *report };

		g_array_append_val(member->observations, first);
	}
	if (!report->reachable)
		return change;
	member_merge_report(member, report);
	if (jh_group_state_apply_term(state, state_majority_promised_term(state), NULL) !=
	    JH_GROUP_UNCHANGED)
		change = JH_GROUP_STATUS_CHANGED;
	if (report->is_primary &&
	    jh_group_state_apply_term(state, report->term, member->name) != JH_GROUP_UNCHANGED)
		change = JH_GROUP_STATUS_CHANGED;
	return change;
}

void jh_group_state_drop_reports(jh_group_state_t *state, const char *observer)
{
	unsigned i;

	for (i = 0; i < state->members->len; i++) {
		GArray *observations = state_get_member(state, i)->observations;
		unsigned j = observations->len;

		while (j-- > 0) {
			if (g_str_equal(g_array_index(observations, observation_t, j).observer,
					observer))
				g_array_remove_index_fast(observations, j);
		}
	}
}

/* ---- view ---- */

jh_group_view_t *jh_group_state_view_new(const jh_group_state_t *state, int64_t now_us)
{
	jh_group_view_t *view = g_new0(jh_group_view_t, 1);
	unsigned i;

	view->group = g_strdup(state->name);
	view->term = state->term;
	view->primary = g_strdup(state->primary);
	view->databases = g_ptr_array_new();
	for (i = 0; i < state->members->len; i++) {
		const member_t *member = state_get_member(state, i);
		const jh_member_report_t *newest = jh_group_state_newest_report(state, i, now_us);
		const jh_member_report_t *merged = &member->merged;
		jh_database_view_t *database = g_new0(jh_database_view_t, 1);

		database->name = g_strdup(member->name);
		database->reachable = newest && newest->reachable;
		database->position = merged->applied;
		database->held = merged->held;
		database->held_term = MAX(merged->term, merged->promised_term);
		database->last_caught_up_us = merged->last_caught_up_us;
		database->wait_us = merged->wait_us;
		g_ptr_array_add(view->databases, database);
	}
	return view;
}
