#include "jh_holder_map.h"

#include <sys/param.h>

/* VMs listed for each data centre: the holders and those that stand in for them. */
#define DC_CANDIDATES 6u

/* Stand-ins that are preferred to the holders of another data centre if that is asked for. */
#define NEAR_STAND_INS 1u

/* The holders in a member's data centre share this part of its connections. */
#define NEAR_SHARE_NUMERATOR 4u
#define NEAR_SHARE_DENOMINATOR 5u

/*
 * VMs that are no holders but run statements, such as a stand-in, for which connections are left
 * free if there are enough of them.
 */
#define STAND_INS_PLANNED 1u

/* A holder with fewer connections to a member closes one for nearly every change of team. */
#define NEAR_CONNECTIONS_MIN 4u

/* Weight of a VM whose capacity is unknown: that of a link of 10 Mbit/s. */
#define UNKNOWN_WEIGHT 25u

/* Senders assumed by a VM that is no holder of a member, which sees few of its statements. */
#define SENDERS_ELSEWHERE 4u

/* A holder of low weight assumes no more than this many VMs of its kind. */
#define SENDERS_MAX 4u

typedef struct candidate {
	const char *name;
	unsigned weight;
	double score;
} candidate_t;

/* A data centre that has members; candidates are ordered by score, the holders first. */
typedef struct place {
	const char *dc;
	unsigned live_vms;
	GArray *candidates;
} place_t;

struct jh_holder_map {
	GPtrArray *places;
	/* Connections of all holders in a member's data centre, and of each other VM. */
	unsigned near_total;
	unsigned far_share;
};

static const candidate_t *candidate_at(const place_t *place, unsigned i)
{
	return &g_array_index(place->candidates, candidate_t, i);
}

static gint compare_candidates(gconstpointer a, gconstpointer b)
{
	const candidate_t *left = a;
	const candidate_t *right = b;

	if (left->score != right->score)
		return left->score > right->score ? -1 : 1;
	return g_strcmp0(left->name, right->name);
}

/* ---- making a map ---- */

static void place_free(void *data)
{
	place_t *place = data;

	g_array_free(place->candidates, TRUE);
	g_free(place);
}

static place_t *place_new(const jh_holder_fleet_t *fleet, const char *dc)
{
	place_t *place = g_new0(place_t, 1);
	char *key = g_strdup_printf("holders:%s:%s", fleet->group, dc);
	unsigned i;

	place->dc = g_intern_string(dc);
	place->candidates = g_array_new(FALSE, FALSE, sizeof(candidate_t));
	for (i = 0; fleet->vms && i < fleet->vms->len; i++) {
		const jh_vm_t *vm = g_ptr_array_index(fleet->vms, i);
		candidate_t candidate;

		if (vm->state != JH_VM_LIVE || g_strcmp0(vm->dc, dc) != 0)
			continue;
		candidate.name = vm->name;
		candidate.weight = vm->weight > 0 ? vm->weight : UNKNOWN_WEIGHT;
		candidate.score = jh_placement_score(key, vm->name, candidate.weight);
		g_array_append_val(place->candidates, candidate);
	}
	g_array_sort(place->candidates, compare_candidates);
	place->live_vms = place->candidates->len;
	if (place->live_vms > DC_CANDIDATES)
		g_array_set_size(place->candidates, DC_CANDIDATES);
	for (i = 0; i < place->candidates->len; i++) {
		candidate_t *candidate = &g_array_index(place->candidates, candidate_t, i);

		candidate->name = g_intern_string(candidate->name);
	}
	g_free(key);
	return place;
}

/* Divides a member's connections. Return: false if they are too few */
static bool divide_connections(jh_holder_map_t *map, unsigned connections)
{
	unsigned others = JH_HOLDERS_PER_DC * (map->places->len - 1);
	unsigned usable;

	if (connections <= JH_HOLDER_RESERVED_CONNECTIONS)
		return false;
	usable = connections - JH_HOLDER_RESERVED_CONNECTIONS;
	map->near_total = usable * NEAR_SHARE_NUMERATOR / NEAR_SHARE_DENOMINATOR;
	map->far_share = MAX((usable - map->near_total) / (others + STAND_INS_PLANNED), 1);
	if (map->far_share * others >= usable)
		return false;
	map->near_total = MIN(map->near_total, usable - map->far_share * others);
	return map->near_total >= JH_HOLDERS_PER_DC * NEAR_CONNECTIONS_MIN;
}

jh_holder_map_t *jh_holder_map_new(const jh_holder_fleet_t *fleet)
{
	jh_holder_map_t *map = g_new0(jh_holder_map_t, 1);
	bool has_enough_vms = fleet->dcs->len > 0;
	unsigned i;

	map->places = g_ptr_array_new_with_free_func(place_free);
	for (i = 0; i < fleet->dcs->len && has_enough_vms; i++) {
		place_t *place = place_new(fleet, g_ptr_array_index(fleet->dcs, i));

		g_ptr_array_add(map->places, place);
		has_enough_vms = place->live_vms >= JH_HOLDER_DC_VMS_MIN;
	}
	if (has_enough_vms && divide_connections(map, fleet->connections))
		return map;
	jh_holder_map_free(map);
	return NULL;
}

void jh_holder_map_free(jh_holder_map_t *map)
{
	if (!map)
		return;
	g_ptr_array_free(map->places, TRUE);
	g_free(map);
}

/* ---- roles and shares ---- */

static const place_t *find_place(const jh_holder_map_t *map, const char *dc)
{
	unsigned i;

	for (i = 0; i < map->places->len; i++) {
		const place_t *place = g_ptr_array_index(map->places, i);

		if (g_strcmp0(place->dc, dc) == 0)
			return place;
	}
	return NULL;
}

/* Return: the VM as a holder in that data centre, NULL if it is none */
static const candidate_t *find_holder(const place_t *place, const char *vm)
{
	unsigned i;

	for (i = 0; place && i < JH_HOLDERS_PER_DC; i++) {
		if (g_str_equal(candidate_at(place, i)->name, vm))
			return candidate_at(place, i);
	}
	return NULL;
}

static unsigned holders_weight(const place_t *place)
{
	unsigned weight = 0;
	unsigned i;

	for (i = 0; i < JH_HOLDERS_PER_DC; i++)
		weight += candidate_at(place, i)->weight;
	return weight;
}

bool jh_holder_map_holds_dc(const jh_holder_map_t *map, const char *vm, const char *dc)
{
	return find_holder(find_place(map, dc), vm) != NULL;
}

bool jh_holder_map_holds(const jh_holder_map_t *map, const char *vm)
{
	unsigned i;

	for (i = 0; i < map->places->len; i++) {
		if (find_holder(g_ptr_array_index(map->places, i), vm))
			return true;
	}
	return false;
}

/*
 * One half of the connections is divided equally, so that a holder of low weight can stand in for
 * the other one; the other half by weight, as the teams are.
 */
unsigned jh_holder_map_share(const jh_holder_map_t *map, const char *vm, const char *dc)
{
	const place_t *place = find_place(map, dc);
	const candidate_t *holder = find_holder(place, vm);
	unsigned equal = map->near_total / 2 / JH_HOLDERS_PER_DC;
	unsigned by_weight = map->near_total - equal * JH_HOLDERS_PER_DC;

	if (!holder)
		return map->far_share;
	return equal + by_weight * holder->weight / holders_weight(place);
}

unsigned jh_holder_map_senders(const jh_holder_map_t *map, const char *vm, const char *dc)
{
	const place_t *place = find_place(map, dc);
	const candidate_t *holder = find_holder(place, vm);

	if (!holder)
		return SENDERS_ELSEWHERE;
	return MIN((holders_weight(place) + holder->weight - 1) / holder->weight, SENDERS_MAX);
}

const char *jh_holder_map_vm_at(const jh_holder_map_t *map, const char *dc, unsigned i)
{
	const place_t *place = find_place(map, dc);

	return place && i < place->candidates->len ? candidate_at(place, i)->name : NULL;
}

/* ---- choice of a holder ---- */

typedef struct ranked_place {
	const place_t *place;
	int64_t cost_us;
	double score;
} ranked_place_t;

static gint compare_places(gconstpointer a, gconstpointer b)
{
	const ranked_place_t *left = a;
	const ranked_place_t *right = b;

	if (left->cost_us != right->cost_us)
		return left->cost_us < right->cost_us ? -1 : 1;
	if (left->score != right->score)
		return left->score > right->score ? -1 : 1;
	return g_strcmp0(left->place->dc, right->place->dc);
}

/* Return: new array of ranked_place_t, the best first, without those of no use */
static GArray *rank_places(const jh_holder_map_t *map, const jh_holder_query_t *query)
{
	GArray *ranked = g_array_new(FALSE, FALSE, sizeof(ranked_place_t));
	unsigned i;

	for (i = 0; i < map->places->len; i++) {
		const place_t *place = g_ptr_array_index(map->places, i);
		ranked_place_t item = { .place = place,
					.cost_us = query->dc_cost_us(place->dc, query->data) };

		if (item.cost_us < 0)
			continue;
		item.score = jh_placement_score(query->team, place->dc, 1);
		g_array_append_val(ranked, item);
	}
	g_array_sort(ranked, compare_places);
	return ranked;
}

static const char *choose_holder(const place_t *place, const jh_holder_query_t *query)
{
	const candidate_t *own = find_holder(place, query->own_vm);
	const char *chosen = NULL;
	double chosen_score = 0;
	unsigned i;

	if (own && query->can_use(own->name, query->data))
		return own->name;
	for (i = 0; i < JH_HOLDERS_PER_DC; i++) {
		const candidate_t *holder = candidate_at(place, i);
		double score = jh_placement_score(query->team, holder->name, holder->weight);

		if ((chosen && score <= chosen_score) || !query->can_use(holder->name, query->data))
			continue;
		chosen = holder->name;
		chosen_score = score;
	}
	return chosen;
}

static const char *choose_stand_in(const place_t *place, unsigned max,
				   const jh_holder_query_t *query)
{
	unsigned end = MIN(JH_HOLDERS_PER_DC + max, place->candidates->len);
	unsigned i;

	for (i = JH_HOLDERS_PER_DC; i < end; i++) {
		const char *name = candidate_at(place, i)->name;

		if (query->can_use(name, query->data))
			return name;
	}
	return NULL;
}

const char *jh_holder_map_choose(const jh_holder_map_t *map, const jh_holder_query_t *query)
{
	GArray *ranked = rank_places(map, query);
	const char *chosen = NULL;
	unsigned i;

	for (i = 0; i < ranked->len && !chosen; i++) {
		const place_t *place = g_array_index(ranked, ranked_place_t, i).place;

		chosen = choose_holder(place, query);
		if (!chosen && i == 0 && query->stays_near_member)
			chosen = choose_stand_in(place, NEAR_STAND_INS, query);
	}
	for (i = 0; i < ranked->len && !chosen; i++)
		chosen = choose_stand_in(g_array_index(ranked, ranked_place_t, i).place,
					 DC_CANDIDATES, query);
	g_array_free(ranked, TRUE);
	return chosen;
}
