#include "jh_topology.h"

#include <glib.h>
#include <string.h>

/*
 * Round trips assumed between data centres, microseconds. Only their order and their relation to
 * run times of some ten milliseconds matter.
 */
static const int64_t costs_us[JH_DISTANCE_COUNT] = {
	[JH_DISTANCE_SAME_DC] = 0,
	[JH_DISTANCE_SAME_REGION] = 4000,
	[JH_DISTANCE_FAR] = 20000,
};

struct jh_topology {
	/* Data centre to the interned name of its region. */
	GHashTable *regions;
};

static bool add_pair(jh_topology_t *topology, const char *pair)
{
	const char *separator = strchr(pair, '=');
	char *dc;

	if (!separator || separator == pair || !separator[1])
		return false;
	dc = g_strndup(pair, (gsize)(separator - pair));
	/* Takes ownership of dc, also if it is there already. */
	return g_hash_table_insert(topology->regions, dc, (void *)g_intern_string(separator + 1));
}

jh_topology_t *jh_topology_new(const char *text)
{
	jh_topology_t *topology = g_new0(jh_topology_t, 1);
	char **pairs = g_strsplit(text, ",", -1);
	bool is_valid = true;
	unsigned i;

	topology->regions = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	for (i = 0; pairs[i] && is_valid; i++)
		is_valid = add_pair(topology, pairs[i]);
	g_strfreev(pairs);
	if (is_valid)
		return topology;
	jh_topology_free(topology);
	return NULL;
}

void jh_topology_free(jh_topology_t *topology)
{
	if (!topology)
		return;
	g_hash_table_destroy(topology->regions);
	g_free(topology);
}

const char *jh_topology_region(const jh_topology_t *topology, const char *dc)
{
	return dc ? g_hash_table_lookup(topology->regions, dc) : NULL;
}

jh_distance_t jh_topology_distance(const jh_topology_t *topology, const char *dc_a,
				   const char *dc_b)
{
	const char *region_a;

	if (dc_a && g_strcmp0(dc_a, dc_b) == 0)
		return JH_DISTANCE_SAME_DC;
	if (g_hash_table_size(topology->regions) == 0)
		return JH_DISTANCE_SAME_REGION;
	region_a = jh_topology_region(topology, dc_a);
	return region_a && region_a == jh_topology_region(topology, dc_b) ?
		       JH_DISTANCE_SAME_REGION :
		       JH_DISTANCE_FAR;
}

jh_distance_t jh_topology_span(const jh_topology_t *topology)
{
	GHashTableIter iter;
	const void *first = NULL;
	void *region;

	g_hash_table_iter_init(&iter, topology->regions);
	while (g_hash_table_iter_next(&iter, NULL, &region)) {
		if (first && region != first)
			return JH_DISTANCE_FAR;
		first = region;
	}
	return JH_DISTANCE_SAME_REGION;
}

int64_t jh_topology_cost_us(jh_distance_t distance)
{
	return costs_us[distance];
}

bool jh_topology_allows(const jh_topology_t *topology, const char *regions, const char *dc)
{
	const char *region;
	char **names;
	bool is_allowed;

	if (!regions)
		return true;
	region = jh_topology_region(topology, dc);
	if (!region)
		return false;
	names = g_strsplit(regions, ",", -1);
	is_allowed = g_strv_contains((const char *const *)names, region);
	g_strfreev(names);
	return is_allowed;
}
