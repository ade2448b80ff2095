#ifndef JH_CATALOGUE_H
#define JH_CATALOGUE_H

#include "jh_config.h"
#include "jh_view.h"

/**
 * DOC: The catalogue
 *
 * The types that the rest of the daemon uses for the operators' configuration and for registered
 * databases, whatever the platform's format is. A jh_catalogue_format_t parses both from rows of
 * the platform's store.
 */

/** enum jh_route_freshness - which commits a read of a route must see */
typedef enum jh_route_freshness {
	/** @JH_FRESH_PRIMARY: every acknowledged commit, so reads go to the primary */
	JH_FRESH_PRIMARY,
	/** @JH_FRESH_BOUNDED: every commit acknowledged at least max_age_us ago */
	JH_FRESH_BOUNDED,
	/** @JH_FRESH_READ_YOUR_WRITES: as JH_FRESH_BOUNDED, and every commit of the session */
	JH_FRESH_READ_YOUR_WRITES,
} jh_route_freshness_t;

/**
 * struct jh_fleet_route - a database name that callers connect to, and how its requests are served
 * @database: the name; owned
 * @group: name of the group of databases that serves it; interned
 * @freshness: which commits its reads must see
 * @max_age_us: for JH_FRESH_BOUNDED and JH_FRESH_READ_YOUR_WRITES, age from which a read must see
 *	every commit; microseconds
 * @timeout_us: longest time of one statement, microseconds
 * @target_latency_us: latency target of a request, waiting included; microseconds
 * @priority: requests with lower numbers leave the wait queue first
 * @is_public: callers need no key
 * @regions: regions in which its requests may run, see jh_topology_allows(); interned, NULL for any
 */
typedef struct jh_fleet_route {
	char *database;
	const char *group;
	jh_route_freshness_t freshness;
	int64_t max_age_us;
	int64_t timeout_us;
	int64_t target_latency_us;
	int priority;
	bool is_public;
	const char *regions;
} jh_fleet_route_t;

/**
 * struct jh_fleet_group - a group of databases
 * @name: interned
 * @connections: connections that one member accepts from all VMs together
 * @sync_replicas: replicas that must have received a commit before it is acknowledged
 * @cold_rate: requests per second that a member accepts while it is cold; 0 for no limit
 */
typedef struct jh_fleet_group {
	const char *name;
	unsigned connections;
	unsigned sync_replicas;
	double cold_rate;
} jh_fleet_group_t;

/**
 * struct jh_fleet_config - the operators' configuration at one version; reference counted
 * @version: number that the operators gave it; grows with each change
 * @routes: database name to jh_fleet_route_t *
 * @groups: interned name to jh_fleet_group_t *
 * @keys: callers' key to interned team name
 * @teams: the teams and their rates, in the form that the quota task uses
 * @tx_idle_us: a transaction that is idle for this long may be ended; microseconds
 *
 * It is immutable once it has been published to other tasks.
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
 * struct jh_member - a database's registration, which the database writes itself
 * @id: name of the database; interned
 * @group: name of its group; interned
 * @host: IP address; owned
 * @port: TCP port
 * @dc: data centre; interned
 * @slots: statements it runs at a time
 * @is_draining: it is about to leave and should get no new work
 * @draining_since_us: a time of jh_boot_time_us() before it said so; INT64_MIN if this VM does not
 *	know one. Set by the catalogue task, only valid if @is_draining
 * @claims_primary: it reports that it is the primary; the group's row decides
 * @started_ms: when this instance of it started, milliseconds of Unix time
 * @cold_ms: how much longer it was cold, that is slow after its start, when it wrote the
 *	registration; milliseconds
 */
typedef struct jh_member {
	const char *id;
	const char *group;
	char *host;
	uint16_t port;
	const char *dc;
	unsigned slots;
	bool is_draining;
	int64_t draining_since_us;
	bool claims_primary;
	int64_t started_ms;
	int64_t cold_ms;
} jh_member_t;

/**
 * struct jh_catalogue_format - a platform's format of configuration and registrations
 * @read_config_version: reads only the number that operators gave the configuration; 0 if the row
 *is NULL or malformed
 * @read_config: parses the configuration's row; returns a new configuration with one reference, or
 *	NULL with the error set
 * @read_member: parses the registration of database @id; returns a new member, or NULL with the
 *	error set
 * @read_drained_dc: name of the data centre whose drain the row @name of the configuration's table
 *	requests by its existence; borrowed from @name, NULL if it is another row
 */
typedef struct jh_catalogue_format {
	uint64_t (*read_config_version)(GBytes *row);
	jh_fleet_config_t *(*read_config)(GBytes *row, jh_error_t *err);
	jh_member_t *(*read_member)(const char *id, GBytes *row, jh_error_t *err);
	const char *(*read_drained_dc)(const char *name);
} jh_catalogue_format_t;

/** jh_fleet_config_new() - Return: new empty configuration with one reference */
jh_fleet_config_t *jh_fleet_config_new(void);

/** jh_fleet_config_ref() - Return: @config with one more reference */
jh_fleet_config_t *jh_fleet_config_ref(jh_fleet_config_t *config);

/** jh_fleet_config_unref() - drop a reference; NULL is allowed */
void jh_fleet_config_unref(void *config);

/** jh_fleet_config_add_route() - Return: borrowed new route; replaces a route of that @database */
jh_fleet_route_t *jh_fleet_config_add_route(jh_fleet_config_t *config, const char *database);

/** jh_fleet_config_add_group() - Return: borrowed new group; replaces a group of that @name */
jh_fleet_group_t *jh_fleet_config_add_group(jh_fleet_config_t *config, const char *name);

/** jh_member_copy() - Return: new deep copy; free with jh_member_free() */
jh_member_t *jh_member_copy(const jh_member_t *member);

/** jh_member_free() - free a jh_member_t; NULL is allowed */
void jh_member_free(void *member);

#endif
