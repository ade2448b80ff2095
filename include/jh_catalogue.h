#ifndef JH_CATALOGUE_H
#define JH_CATALOGUE_H

#include "jh_config.h"
#include "jh_view.h"

/**
 * DOC: The catalogue
 *
 * What operators configured and which members there are, in the product's words. A
 * jh_catalogue_format_t reads both from rows of the platform's store.
 */

/** enum jh_route_freshness - what a read of a route must see */
typedef enum jh_route_freshness {
	/** @JH_FRESH_PRIMARY: every acknowledged commit */
	JH_FRESH_PRIMARY,
	/** @JH_FRESH_BOUNDED: every commit acknowledged longer ago than the route's bound */
	JH_FRESH_BOUNDED,
	/** @JH_FRESH_READ_YOUR_WRITES: the same, and every commit of the session */
	JH_FRESH_READ_YOUR_WRITES,
} jh_route_freshness_t;

/**
 * struct jh_fleet_route - what callers may ask for
 * @database: name that callers give
 * @group: databases that serve it; interned
 * @freshness: what its reads must see
 * @max_age_us: bound of JH_FRESH_BOUNDED and JH_FRESH_READ_YOUR_WRITES
 * @timeout_us: longest time of one statement
 * @target_us: latency to aim for, of a whole operation
 * @priority: 0 goes first
 * @is_public: callers need no key
 */
typedef struct jh_fleet_route {
	char *database;
	const char *group;
	jh_route_freshness_t freshness;
	int64_t max_age_us;
	int64_t timeout_us;
	int64_t target_us;
	int priority;
	bool is_public;
} jh_fleet_route_t;

/**
 * struct jh_fleet_group - a group of databases
 * @name: interned
 * @connections: that one member accepts from all callers
 * @sync_replicas: replicas that must have received a commit before it is acknowledged
 */
typedef struct jh_fleet_group {
	const char *name;
	unsigned connections;
	unsigned sync_replicas;
} jh_fleet_group_t;

/**
 * struct jh_fleet_config - the operators' configuration at one version; shared by reference count
 * @version: of the operators
 * @routes: database name to jh_fleet_route_t *
 * @groups: interned name to jh_fleet_group_t *
 * @keys: key to interned team name
 * @teams: the teams with their rates, as the quota task takes them
 * @tx_idle_us: a transaction that is idle for this long may be ended
 */
typedef struct jh_fleet_config {
	uint64_t version;
	GHashTable *routes;
	GHashTable *groups;
	GHashTable *keys;
	jh_config_t *teams;
	int64_t tx_idle_us;
} jh_fleet_config_t;

/**
 * struct jh_member - a database as it registered itself
 * @id: its name; interned
 * @group: interned
 * @host: IP address
 * @port: TCP port
 * @dc: data centre; interned
 * @slots: statements it runs at a time
 * @is_draining: it is about to leave
 * @claims_primary: it believes that it leads its group
 * @born_ms: start of its life, Unix time
 */
typedef struct jh_member {
	const char *id;
	const char *group;
	char *host;
	uint16_t port;
	const char *dc;
	unsigned slots;
	bool is_draining;
	bool claims_primary;
	int64_t born_ms;
} jh_member_t;

/**
 * struct jh_catalogue_format - reads rows
 * @read_config: Return: new configuration, or NULL with the error set
 * @read_member: Return: new member named @id, or NULL with the error set if the row names none
 */
typedef struct jh_catalogue_format {
	jh_fleet_config_t *(*read_config)(GBytes *row, jh_error_t *err);
	jh_member_t *(*read_member)(const char *id, GBytes *row, jh_error_t *err);
} jh_catalogue_format_t;

jh_fleet_config_t *jh_fleet_config_new(void);
jh_fleet_config_t *jh_fleet_config_ref(jh_fleet_config_t *site);
void jh_fleet_config_unref(void *site);

/** jh_fleet_config_add_route() - Return: borrowed new route for @database, replacing an older one
 */
jh_fleet_route_t *jh_fleet_config_add_route(jh_fleet_config_t *site, const char *database);
/** jh_fleet_config_add_group() - Return: borrowed new group */
jh_fleet_group_t *jh_fleet_config_add_group(jh_fleet_config_t *site, const char *name);

/** jh_member_copy() - deep copy. Return: new; free with jh_member_free() */
jh_member_t *jh_member_copy(const jh_member_t *member);
void jh_member_free(void *member);

#endif
