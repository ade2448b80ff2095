#include "jh_voters.h"

#include "jh_placement.h"

jh_voters_t *jh_voters_new(void)
{
	jh_voters_t *voters = g_new0(jh_voters_t, 1);

	voters->current = g_ptr_array_new();
	return voters;
}

void jh_voters_free(jh_voters_t *voters)
{
	if (!voters)
		return;
	g_clear_pointer(&voters->current, g_ptr_array_unref);
	g_clear_pointer(&voters->previous, g_ptr_array_unref);
	g_free(voters);
}

static bool set_includes(const GPtrArray *set, const char *vm)
{
	return set && g_ptr_array_find_with_equal_func((GPtrArray *)set, vm, g_str_equal, NULL);
}

bool jh_voters_include(const jh_voters_t *voters, const char *vm)
{
	return set_includes(voters->current, vm) || set_includes(voters->previous, vm);
}

GPtrArray *jh_voters_all(const jh_voters_t *voters)
{
	GPtrArray *all = g_ptr_array_copy(voters->current, NULL, NULL);
	unsigned i;

	for (i = 0; voters->previous && i < voters->previous->len; i++) {
		if (!set_includes(all, g_ptr_array_index(voters->previous, i)))
			g_ptr_array_add(all, g_ptr_array_index(voters->previous, i));
	}
	return all;
}

unsigned jh_quorum_size(unsigned count)
{
	return count / 2 + 1;
}

unsigned jh_broad_quorum_size(unsigned count)
{
	return count - (MAX(count, 1) - 1) / 4;
}

static unsigned set_count(const GPtrArray *set, jh_voter_test_fn_t test, const void *data)
{
	unsigned count = 0;
	unsigned i;

	for (i = 0; i < set->len; i++)
		count += test(data, g_ptr_array_index(set, i));
	return count;
}

bool jh_voters_have_quorum(const jh_voters_t *voters, jh_voter_test_fn_t test, const void *data)
{
	const GPtrArray *set = voters->current;
	const GPtrArray *previous = voters->previous;

	return set_count(set, test, data) >= jh_quorum_size(set->len) &&
	       (!previous || set_count(previous, test, data) >= jh_quorum_size(previous->len));
}

static bool set_has_blocking_set(const GPtrArray *set, jh_voter_test_fn_t test, const void *data)
{
	return set_count(set, test, data) + jh_broad_quorum_size(set->len) > set->len;
}

bool jh_voters_have_blocking_set(const jh_voters_t *voters, jh_voter_test_fn_t test,
				 const void *data)
{
	return voters->current->len > 0 && set_has_blocking_set(voters->current, test, data) &&
	       (!voters->previous || set_has_blocking_set(voters->previous, test, data));
}

void jh_voters_choose(GPtrArray *names)
{
	jh_placement_pick(names, "council", JH_VOTERS_MAX);
}

/* ---- replacing the set ---- */

static const jh_voter_candidate_t *candidate_find(const jh_voter_candidate_t *vms, unsigned count,
						  const char *name)
{
	unsigned i;

	for (i = 0; i < count; i++) {
		if (g_str_equal(vms[i].name, name))
			return &vms[i];
	}
	return NULL;
}

/* Return: whether the voters that neither depart nor fail to respond are no majority */
static bool depends_on_departing(const GPtrArray *set, const jh_voter_candidate_t *vms,
				 unsigned count)
{
	unsigned staying = 0;
	unsigned i;

	for (i = 0; i < set->len; i++) {
		const jh_voter_candidate_t *vm =
			candidate_find(vms, count, g_ptr_array_index(set, i));

		staying += vm && vm->is_live && !vm->is_departing && !vm->is_lost;
	}
	return staying < jh_quorum_size(set->len);
}

/* Return: new array of the names of the next voters */
static GPtrArray *choose_next(const GPtrArray *set, const jh_voter_candidate_t *vms, unsigned count)
{
	bool drops_departing = depends_on_departing(set, vms, count);
	GPtrArray *next = g_ptr_array_new();
	GPtrArray *added = g_ptr_array_new();
	unsigned i;

	for (i = 0; i < set->len; i++) {
		const jh_voter_candidate_t *vm =
			candidate_find(vms, count, g_ptr_array_index(set, i));

		if (vm && !vm->is_lost && !(drops_departing && vm->is_departing))
			g_ptr_array_add(next, (void *)vm->name);
	}
	for (i = 0; i < count; i++) {
		if (vms[i].is_live && !vms[i].is_departing && !vms[i].is_lost &&
		    !set_includes(set, vms[i].name))
			g_ptr_array_add(added, (void *)vms[i].name);
	}
	jh_placement_pick(added, "council", JH_VOTERS_MAX - MIN(next->len, JH_VOTERS_MAX));
	g_ptr_array_extend_and_steal(next, added);
	return next;
}

static bool is_same_set(const GPtrArray *set, const GPtrArray *other)
{
	unsigned i;

	for (i = 0; i < set->len; i++) {
		if (!set_includes(other, g_ptr_array_index(set, i)))
			return false;
	}
	return set->len == other->len;
}

/* Return: whether a majority of the set responds */
static bool set_responds(const GPtrArray *set, const jh_voter_candidate_t *vms, unsigned count)
{
	unsigned live = 0;
	unsigned i;

	for (i = 0; i < set->len; i++) {
		const jh_voter_candidate_t *vm =
			candidate_find(vms, count, g_ptr_array_index(set, i));

		live += vm && vm->is_live;
	}
	return live >= jh_quorum_size(set->len);
}

/* Return: new voters of the next generation, that set alone */
static jh_voters_t *single_set_new(const jh_voters_t *voters, GPtrArray *set)
{
	jh_voters_t *next = g_new0(jh_voters_t, 1);

	next->generation = voters->generation + 1;
	next->current = g_ptr_array_ref(set);
	return next;
}

jh_voters_t *jh_voters_plan(const jh_voters_t *voters, const jh_voter_candidate_t *vms,
			    unsigned count, bool is_acknowledged)
{
	jh_voters_t *next = NULL;
	GPtrArray *set;

	if (voters->previous && is_acknowledged)
		return single_set_new(voters, voters->current);
	if (voters->previous && !set_responds(voters->current, vms, count) &&
	    set_responds(voters->previous, vms, count))
		return single_set_new(voters, voters->previous);
	if (voters->previous)
		return NULL;
	set = choose_next(voters->current, vms, count);
	if (set->len > 0 && !is_same_set(set, voters->current)) {
		next = g_new0(jh_voters_t, 1);
		next->generation = voters->generation + 1;
		next->current = g_ptr_array_ref(set);
		/* Without a row before, no lease rests on acknowledgements. */
		if (voters->generation > 0)
			next->previous = g_ptr_array_ref(voters->current);
	}
	g_ptr_array_unref(set);
	return next;
}
