#ifndef JH_CONFIG_H
#define JH_CONFIG_H

#include "jh_error.h"

#include <stdint.h>

/**
 * DOC: Configuration
 *
 * The operators configure two tables: routes (with teams) and pools (groups of databases). A
 * jh_config_t contains one version of both. The parser fills it in, checks it and builds its
 * indexes; from then on it is immutable, and its users share it by reference count.
 */

/** enum jh_access - whether the requests of a route may write */
typedef enum jh_access {
	JH_ACCESS_READ,
	JH_ACCESS_WRITE,
} jh_access_t;

/**
 * struct jh_database - one member of a group
 * @name: unique over all groups
 * @dc: name of its data centre
 * @host: numeric IP address
 * @port: TCP port
 * @slots: number of statements that it may run at the same time
 * @connections: total number of connections that it accepts
 * @departing: set by operators; the database gets no new work
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
 * @dbname: database name that the proxy connects to
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
 * @rate: quota in requests per second, for all VMs together
 * @burst: capacity of the token bucket, in requests
 * @weight: share of a database's time, relative to the weights of other teams
 * @regions: regions in which its requests may run, see jh_topology_allows(); interned, NULL for any
 * @key_digests: array of char *, the SHA-256 of each valid key in lower-case hex
 */
typedef struct jh_team {
	char *name;
	double rate;
	double burst;
	double weight;
	const char *regions;
	GPtrArray *key_digests;
} jh_team_t;

/**
 * struct jh_route - a service that callers connect to
 * @name: unique; callers pass it as the database name when they connect
 * @group: name of the group that serves the route
 * @access: whether its requests may write
 * @repeatable: a request may be retried after an unknown outcome
 * @max_age_ms: greatest age of the data that a read accepts, in milliseconds; -1 accepts any age, 0
 *	requires only the session's own writes
 * @deadline_ms: longest time that a request may take, in milliseconds
 * @open_to_all: callers need no key
 * @teams: array of char *, names of the teams that may use the route
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
 * struct jh_config - one version of the configuration: routes, teams and groups
 * @version: increases by one with every accepted change
 * @change_id: id of the change that made this version
 * @routes: array of jh_route_t *
 * @teams: array of jh_team_t *
 * @groups: array of jh_group_t *
 * @routes_by_name: index of @routes; NULL until jh_config_build_index(), like the other indexes
 * @teams_by_name: index of @teams
 * @groups_by_name: index of @groups
 * @groups_by_database: group of each database, by the name of the database
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

/** jh_config_new() - create an empty configuration. Return: new, with one reference */
jh_config_t *jh_config_new(void);

/** jh_config_ref() - add a reference. Return: @config */
jh_config_t *jh_config_ref(jh_config_t *config);

/** jh_config_unref() - release a reference, the last one frees it; NULL is allowed */
void jh_config_unref(jh_config_t *config);

/* Constructors of empty rows. Return: new row; the array that it is added to frees it */
jh_route_t *jh_route_new(void);
jh_team_t *jh_team_new(void);
jh_group_t *jh_group_new(void);
jh_database_t *jh_database_new(void);

/**
 * jh_config_check() - check the values of all rows and the references between them
 * @config: the configuration, before or after jh_config_build_index()
 * @err: gets a finding for each fault
 *
 * Return: 0 if there is no fault, -1 otherwise
 */
int jh_config_check(const jh_config_t *config, jh_error_t *err);

/**
 * jh_config_build_index() - build the indexes of a configuration that has all its rows
 *
 * Must be called once at most: a second call aborts. Every row must have a name; the index finds
 * the first of several rows with the same name. Rows that are added later are not found.
 */
void jh_config_build_index(jh_config_t *config);

/*
 * Look-ups by name; they use the index if it was built, and scan the rows otherwise.
 * Return: borrowed row, NULL if no row has the name
 */
const jh_route_t *jh_config_find_route(const jh_config_t *config, const char *name);
const jh_team_t *jh_config_find_team(const jh_config_t *config, const char *name);
const jh_group_t *jh_config_find_group(const jh_config_t *config, const char *name);
const jh_database_t *jh_config_find_database(const jh_config_t *config, const char *name);

/** jh_config_find_group_of() - find the group of member @database. Return: borrowed or NULL */
const jh_group_t *jh_config_find_group_of(const jh_config_t *config, const char *database);

/** jh_route_allows() - whether @team may use @route: it is listed, or the route is open to all */
bool jh_route_allows(const jh_route_t *route, const char *team);

/** jh_team_has_digest() - whether @digest is one of the team's; compares all in constant time */
bool jh_team_has_digest(const jh_team_t *team, const char *digest);

#endif
