#ifndef JH_HOME_REGIONS_H
#define JH_HOME_REGIONS_H

/**
 * DOC: Home regions
 *
 * Routes and teams may name the regions in which requests may run; jh_topology_allows() checks a
 * data centre against such a list.
 */

/** JH_HOME_REGIONS_NONE - a list that allows no region */
#define JH_HOME_REGIONS_NONE ","

/**
 * jh_home_regions_both() - regions that two lists allow
 * @a: names separated by commas; NULL allows every region
 * @b: as @a
 *
 * Return: interned list, NULL if every region is allowed; never empty, so that an empty text can
 * stand for NULL in frames
 */
const char *jh_home_regions_both(const char *a, const char *b);

#endif
