#include "jh_config.h"
#include "jh_failover.h"

#include <math.h>
#include <string.h>

/* The check of both tables as a whole: ranges, duplicates and joins. No fault ends it early. */

#define NAME_MAX_CHARS 63
#define DEADLINE_MAX_MS 3600000
#define RATE_MAX 1e7
#define WEIGHT_MAX 1000.0
#define SLOTS_MAX 10000u
#define CONNECTIONS_MAX 100000u
#define DIGEST_HEX_DIGITS 64

/* The name that operators connect to for SHOW. */
#define VIRTUAL_DATABASE "jasminehill"

/* One run of the check; the sets borrow the names from the configuration. */
typedef struct check {
	const jh_config_t *config;
	jh_error_t *err;
	GHashTable *routes;
	GHashTable *teams;
	GHashTable *groups;
	GHashTable *databases;
	GHashTable *addresses;
} check_t;

/* ---- single cells ---- */

static void fault(const check_t *check, const char *row, const char *cell, const char *message)
{
	char *place = g_strconcat(row, ".", cell, NULL);

	jh_error_add_finding(check->err, place, "%s", message);
	g_free(place);
}

static void fault_join(const check_t *check, const char *row, const char *cell, const char *format,
		       const char *name)
{
	char *message = g_strdup_printf("%s '%s'", format, name);

	fault(check, row, cell, message);
	g_free(message);
}

static bool name_is_valid(const char *name)
{
	size_t length = name ? strlen(name) : 0;
	size_t i;

	for (i = 0; i < length; i++) {
		if (!g_ascii_isalnum(name[i]) && !strchr("-_.", name[i]))
			return false;
	}
	return length > 0 && length <= NAME_MAX_CHARS;
}

static void check_name(const check_t *check, const char *row, const char *cell, const char *name)
{
	if (!name_is_valid(name))
		fault(check, row, cell, "must have 1 to 63 letters, digits, '-', '_' or '.'");
}

/* A row's own name: valid, and not taken by an earlier row. */
static void check_own_name(const check_t *check, const char *row, const char *name, GHashTable *set)
{
	check_name(check, row, "name", name);
	if (name && *name && !g_hash_table_add(set, (gpointer)name))
		fault_join(check, row, "name", "an earlier row has the name", name);
}

static bool number_is_within(double value, double min, double max)
{
	return isfinite(value) && value >= min && value <= max;
}

/* ---- teams and routes ---- */

static bool digest_is_valid(const char *digest)
{
	size_t i;

	for (i = 0; digest[i]; i++) {
		if (!g_ascii_isdigit(digest[i]) && (digest[i] < 'a' || digest[i] > 'f'))
			return false;
	}
	return i == DIGEST_HEX_DIGITS;
}

static void check_team(const check_t *check, const jh_team_t *team, const char *row)
{
	unsigned i;

	check_own_name(check, row, team->name, check->teams);
	if (!number_is_within(team->rate, 0, RATE_MAX) || team->rate <= 0)
		fault(check, row, "rate", "must be above 0 and at most 10000000");
	if (!number_is_within(team->burst, 1, RATE_MAX))
		fault(check, row, "burst", "must be from 1 to 10000000");
	if (!number_is_within(team->weight, 0, WEIGHT_MAX) || team->weight <= 0)
		fault(check, row, "weight", "must be above 0 and at most 1000");
	for (i = 0; i < team->key_digests->len; i++) {
		char cell[40];

		g_snprintf(cell, sizeof(cell), "key_digests[%u]", i);
		if (!digest_is_valid(g_ptr_array_index(team->key_digests, i)))
			fault(check, row, cell,
			      "must be 64 lower-case hex digits (jasminehill hash-key)");
	}
}

static void check_route_teams(const check_t *check, const jh_route_t *route, const char *row)
{
	unsigned i;

	for (i = 0; i < route->teams->len; i++) {
		const char *team = g_ptr_array_index(route->teams, i);
		char cell[32];

		g_snprintf(cell, sizeof(cell), "teams[%u]", i);
		if (!g_hash_table_contains(check->teams, team))
			fault_join(check, row, cell, "there is no team", team);
	}
}

static void check_route(const check_t *check, const jh_route_t *route, const char *row)
{
	check_own_name(check, row, route->name, check->routes);
	if (g_strcmp0(route->name, VIRTUAL_DATABASE) == 0)
		fault(check, row, "name", "'" VIRTUAL_DATABASE "' is kept for operators");
	if (!g_hash_table_contains(check->groups, route->group))
		fault_join(check, row, "group", "there is no group", route->group);
	if (route->max_age_ms < -1)
		fault(check, row, "max_age_ms", "must be -1 (any), 0 or more");
	if (route->deadline_ms < 1 || route->deadline_ms > DEADLINE_MAX_MS)
		fault(check, row, "deadline_ms", "must be from 1 to 3600000");
	check_route_teams(check, route, row);
}

/* ---- groups and databases ---- */

static void check_address(const check_t *check, const jh_database_t *database, const char *row)
{
	char *address = g_strdup_printf("%s:%u", database->host, database->port);

	if (!g_hostname_is_ip_address(database->host))
		fault(check, row, "host", "must be a numeric IP address");
	if (database->port == 0)
		fault(check, row, "port", "must be from 1 to 65535");
	else if (g_hash_table_contains(check->addresses, address))
		fault(check, row, "port", "an earlier database has this host and port");
	g_hash_table_add(check->addresses, address);
}

static void check_database(const check_t *check, const jh_database_t *database, const char *row)
{
	check_own_name(check, row, database->name, check->databases);
	check_name(check, row, "dc", database->dc);
	check_address(check, database, row);
	if (database->slots < 1 || database->slots > SLOTS_MAX)
		fault(check, row, "slots", "must be from 1 to 10000");
	if (database->connections < 1 || database->connections > CONNECTIONS_MAX)
		fault(check, row, "connections", "must be from 1 to 100000");
	else if (database->connections < database->slots)
		fault(check, row, "connections", "must not be fewer than slots");
}

static void check_group(const check_t *check, const jh_group_t *group, const char *row)
{
	unsigned i;

	check_own_name(check, row, group->name, check->groups);
	check_name(check, row, "dbname", group->dbname);
	check_name(check, row, "user", group->user);
	if (group->databases->len % 2 == 0)
		fault(check, row, "databases",
		      "must be an odd number, so that every majority is more than half");
	if (group->databases->len > JH_FAILOVER_MEMBERS)
		fault(check, row, "databases",
		      "must be " G_STRINGIFY(JH_FAILOVER_MEMBERS) " at most");
	for (i = 0; i < group->databases->len; i++) {
		char *place = g_strdup_printf("%s.databases[%u]", row, i);

		check_database(check, g_ptr_array_index(group->databases, i), place);
		g_free(place);
	}
}

/* ---- the whole ---- */

static void check_run(const check_t *check)
{
	const jh_config_t *config = check->config;
	char row[32];
	unsigned i;

	for (i = 0; i < config->groups->len; i++) {
		g_snprintf(row, sizeof(row), "groups[%u]", i);
		check_group(check, g_ptr_array_index(config->groups, i), row);
	}
	for (i = 0; i < config->teams->len; i++) {
		g_snprintf(row, sizeof(row), "teams[%u]", i);
		check_team(check, g_ptr_array_index(config->teams, i), row);
	}
	for (i = 0; i < config->routes->len; i++) {
		g_snprintf(row, sizeof(row), "routes[%u]", i);
		check_route(check, g_ptr_array_index(config->routes, i), row);
	}
}

int jh_config_check(const jh_config_t *config, jh_error_t *err)
{
	unsigned before = jh_error_count_findings(err);
	check_t check = {
		.config = config,
		.err = err,
		.routes = g_hash_table_new(g_str_hash, g_str_equal),
		.teams = g_hash_table_new(g_str_hash, g_str_equal),
		.groups = g_hash_table_new(g_str_hash, g_str_equal),
		.databases = g_hash_table_new(g_str_hash, g_str_equal),
		.addresses = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL),
	};

	check_run(&check);
	g_hash_table_destroy(check.routes);
	g_hash_table_destroy(check.teams);
	g_hash_table_destroy(check.groups);
	g_hash_table_destroy(check.databases);
	g_hash_table_destroy(check.addresses);
	return jh_error_count_findings(err) == before ? 0 : -1;
}
