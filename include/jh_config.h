#ifndef JH_CONFIG_H
#define JH_CONFIG_H

#include "jh_error.h"

#include <stdint.h>

/**
 * DOC: Configuration
 *
 * The operators' two tables, routes (with teams) and pools (groups of databases), versioned
 * together. A jh_config_t never changes after it was checked; holders share it by reference count.
 */

/** enum jh_access - what a route's requests may do */
typedef enum jh_access {
	JH_ACCESS_READ,
	JH_ACCESS_WRITE,
} jh_access_t;

/**
 * struct jh_database - one member of a group
 * @name: unique over all groups
 * @dc: its data centre
 * @host: IP address
 * @port: TCP port
 * @slots: statements it runs at a time
 * @connections: connections it accepts in all
 * @departing: set by operators; it gets no new work
 */
typedef struct jh_database {
	char *name;
	char *dc;
	char *host;
	uint16_t port;
	unsigned slots;
	unsigned connections;
	bool departing;
} jh_database_t;

/**
 * struct jh_group - databases that replicate one log
 * @name: unique
 * @dbname: database name given when connecting
 * @user: role that the proxy logs in as
 * @databases: array of jh_database_t *
 */
typedef struct jh_group {
	char *name;
	char *dbname;
	char *user;
	GPtrArray *databases;
} jh_group_t;

/**
 * struct jh_team - a tenant
 * @name: unique
 * @rate: requests a second, over all VMs
 * @burst: requests
 * @weight: share of a database's time relative to other teams
 * @key_digests: array of char *, hex SHA-256 of each valid key
 */
typedef struct jh_team {
	char *name;
	double rate;
	double burst;
	double weight;
	GPtrArray *key_digests;
} jh_team_t;

/**
 * struct jh_route - what callers may ask for
 * @name: unique; callers give it as their database name
 * @group: name of the group that serves it
 * @access: read or write
 * @repeatable: a request may be run again after an unknown outcome
 * @max_age_ms: oldest data a read accepts; -1 is any, 0 is the session's own writes only
 * @deadline_ms: longest time a request may take
 * @open_to_all: no key is needed
 * @teams: array of char *, the teams that may use it
 */
typedef struct jh_route {
	char *name;
	char *group;
	jh_access_t access;
	bool repeatable;
	int64_t max_age_ms;
	int64_t deadline_ms;
	bool open_to_all;
	GPtrArray *teams;
} jh_route_t;

/**
 * struct jh_config - both tables at one version; immutable, shared by reference count
 * @version: increases by one with every accepted change
 * @change_id: the author's id of the change that led here
 * @routes: array of jh_route_t *
 * @teams: array of jh_team_t *
 * @groups: array of jh_group_t *
 * @routes_by_name: index of @routes, NULL until jh_config_index(); likewise the others
 */
typedef struct jh_config {
	uint64_t version;
	char *change_id;
	GPtrArray *routes;
	GPtrArray *teams;
	GPtrArray *groups;
	GHashTable *routes_by_name;
	GHashTable *teams_by_name;
	GHashTable *groups_by_name;
	GHashTable *groups_by_database;
} jh_config_t;

/** jh_config_new() - make an empty configuration with one reference. Return: new */
jh_config_t *jh_config_new(void);

/** jh_config_ref() - take a further reference. Return: @config */
jh_config_t *jh_config_ref(jh_config_t *config);

/** jh_config_unref() - give a reference back; NULL is allowed */
void jh_config_unref(jh_config_t *config);

jh_route_t *jh_route_new(void);
jh_team_t *jh_team_new(void);
jh_group_t *jh_group_new(void);
jh_database_t *jh_database_new(void);

/**
 * jh_config_check() - check values and the joins of both tables
 *
 * Return: 0, or -1 with a finding for each fault in @err
 */
int jh_config_check(const jh_config_t *config, jh_error_t *err);

/** jh_config_index() - build the indexes once all rows are in; of equal names the first counts */
void jh_config_index(jh_config_t *config);

/* Look-ups, by index if there is one. Return: borrowed row, NULL if there is none */
const jh_route_t *jh_config_route(const jh_config_t *config, const char *name);
const jh_team_t *jh_config_team(const jh_config_t *config, const char *name);
const jh_group_t *jh_config_group(const jh_config_t *config, const char *name);
const jh_database_t *jh_config_database(const jh_config_t *config, const char *name);

/** jh_config_group_of() - the group that @database is a member of. Return: borrowed or NULL */
const jh_group_t *jh_config_group_of(const jh_config_t *config, const char *database);

/** jh_route_allows() - true if @team may use @route */
bool jh_route_allows(const jh_route_t *route, const char *team);

/** jh_team_has_digest() - compare with every digest in constant time */
bool jh_team_has_digest(const jh_team_t *team, const char *digest);

#endif
