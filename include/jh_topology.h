#ifndef JH_TOPOLOGY_H
#define JH_TOPOLOGY_H

#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: Topology
 *
 * Which data centre is in which region, and how far two data centres are from each other. The
 * topology is a setting of each daemon and does not change while it runs. The functions have no
 * side effects.
 */

/** jh_topology_t - regions of the data centres; opaque */
typedef struct jh_topology jh_topology_t;

/** enum jh_distance - how far two data centres are from each other, near ones first */
typedef enum jh_distance {
	JH_DISTANCE_SAME_DC,
	JH_DISTANCE_SAME_REGION,
	/** @JH_DISTANCE_FAR: in different regions, or the region of one of them is unknown */
	JH_DISTANCE_FAR,
	JH_DISTANCE_COUNT,
} jh_distance_t;

/**
 * jh_topology_new() - read a topology
 * @text: "DC=REGION" pairs separated by commas; may be empty, which leaves every region unknown
 *
 * Return: new topology, NULL if a pair has no "=" or an empty name, or names a data centre twice
 */
jh_topology_t *jh_topology_new(const char *text);

/** jh_topology_free() - free a topology; NULL is allowed */
void jh_topology_free(jh_topology_t *topology);

/** jh_topology_region() - Return: interned name of the region of @dc, NULL if it is unknown */
const char *jh_topology_region(const jh_topology_t *topology, const char *dc);

/**
 * jh_topology_distance() - distance of two data centres
 *
 * Without any region in the topology all data centres count as one region.
 */
jh_distance_t jh_topology_distance(const jh_topology_t *topology, const char *dc_a,
				   const char *dc_b);

/** jh_topology_span() - Return: the largest distance of two data centres that the topology names */
jh_distance_t jh_topology_span(const jh_topology_t *topology);

/** jh_topology_cost_us() - Return: round trip assumed for a distance, microseconds */
int64_t jh_topology_cost_us(jh_distance_t distance);

/**
 * jh_topology_allows() - whether requests that are restricted to regions may run in a data centre
 * @regions: names separated by commas; NULL allows every region
 * @dc: an unknown region is allowed only if @regions is NULL
 */
bool jh_topology_allows(const jh_topology_t *topology, const char *regions, const char *dc);

#endif
