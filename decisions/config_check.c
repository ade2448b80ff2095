#include "jh_config.h"
#include "jh_failover.h"

#include <math.h>
#include <string.h>

/*
 * Check of the routes and pools tables: ranges, duplicates and references between rows. It reports
 * every fault, rather than only the first one.
 */

#define NAME_MAX_CHARS 63
#define DEADLINE_MAX_MS 3600000
#define RATE_MAX 1e7
#define WEIGHT_MAX 1000.0
#define SLOTS_MAX 10000u
#define CONNECTIONS_MAX 100000u
#define DIGEST_HEX_DIGITS 64

/* Database name that operators connect to for SHOW commands; no route can have it. */
#define ADMIN_DATABASE "jasminehill"

/* State of one check; the sets hold names seen so far, borrowed, and addresses as "host:port". */
typedef struct check {
	const jh_config_t *config;
	jh_error_t *err;
	GHashTable *routes;
	GHashTable *teams;
	GHashTable *groups;
	GHashTable *databases;
	GHashTable *addresses;
} check_t;

/* Reports and single fields */

static void report_fault(const check_t *check, const char *row_path, const char *field,
			 const char *message)
{
	char *path = g_strconcat(row_path, ".", field, NULL);

	jh_error_add_finding(check->err, path, "%s", message);
	g_free(path);
}

static void report_fault_with_name(const check_t *check, const char *row_path, const char *field,
				   const char *problem, const char *name)
{
	char *message = g_strdup_printf("%s '%s'", problem, name);

	report_fault(check, row_path, field, message);
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

static void check_name(const check_t *check, const char *row_path, const char *field,
		       const char *name)
{
	if (!name_is_valid(name))
		report_fault(check, row_path, field,
			     "must have 1 to 63 letters, digits, '-', '_' or '.'");
}

/* Checks that a row's own name is valid and that no earlier row has it. */
static void check_unique_name(const check_t *check, const char *row_path, const char *name,
			      GHashTable *earlier_names)
{
	check_name(check, row_path, "name", name);
	if (name && *name && !g_hash_table_add(earlier_names, (gpointer)name))
		report_fault_with_name(check, row_path, "name", "an earlier row has the name",
				       name);
}

static bool number_is_in_range(double value, double min, double max)
{
	return isfinite(value) && value >= min && value <= max;
}

/* Teams and routes */

static bool digest_is_valid(const char *digest)
{
	size_t i;

	for (i = 0; digest[i]; i++) {
		if (!g_ascii_isdigit(digest[i]) && (digest[i] < 'a' || digest[i] > 'f'))
			return false;
	}
	return i == DIGEST_HEX_DIGITS;
}

static void check_team(const check_t *check, const jh_team_t *team, const char *row_path)
{
	unsigned i;

	check_unique_name(check, row_path, team->name, check->teams);
	if (!number_is_in_range(team->rate, 0, RATE_MAX) || team->rate <= 0)
		report_fault(check, row_path, "rate", "must be above 0 and at most 10000000");
	if (!number_is_in_range(team->burst, 1, RATE_MAX))
		report_fault(check, row_path, "burst", "must be from 1 to 10000000");
	if (!number_is_in_range(team->weight, 0, WEIGHT_MAX) || team->weight <= 0)
		report_fault(check, row_path, "weight", "must be above 0 and at most 1000");
	for (i = 0; i < team->key_digests->len; i++) {
		char field[40];

		g_snprintf(field, sizeof(field), "key_digests[%u]", i);
		if (!digest_is_valid(g_ptr_array_index(team->key_digests, i)))
			report_fault(check, row_path, field,
				     "must be 64 lower-case hex digits (jasminehill hash-key)");
	}
}

static void check_route_teams(const check_t *check, const jh_route_t *route, const char *row_path)
{
	unsigned i;

	for (i = 0; i < route->teams->len; i++) {
		const char *team = g_ptr_array_index(route->teams, i);
		char field[32];

		g_snprintf(field, sizeof(field), "teams[%u]", i);
		if (!g_hash_table_contains(check->teams, team))
			report_fault_with_name(check, row_path, field, "there is no team", team);
	}
}

static void check_route(const check_t *check, const jh_route_t *route, const char *row_path)
{
	check_unique_name(check, row_path, route->name, check->routes);
	if (g_strcmp0(route->name, ADMIN_DATABASE) == 0)
		report_fault(check, row_path, "name", "'" ADMIN_DATABASE "' is kept for operators");
	if (!g_hash_table_contains(check->groups, route->group))
		report_fault_with_name(check, row_path, "group", "there is no group", route->group);
	if (route->max_age_ms < -1)
		report_fault(check, row_path, "max_age_ms", "must be -1 (any), 0 or more");
	if (route->deadline_ms < 1 || route->deadline_ms > DEADLINE_MAX_MS)
		report_fault(check, row_path, "deadline_ms", "must be from 1 to 3600000");
	check_route_teams(check, route, row_path);
}

/* Groups and databases */

static void check_address(const check_t *check, const jh_database_t *database, const char *row_path)
{
	char *address = g_strdup_printf("%s:%u", database->host, database->port);

	if (!g_hostname_is_ip_address(database->host))
		report_fault(check, row_path, "host", "must be a numeric IP address");
	if (database->port == 0)
		report_fault(check, row_path, "port", "must be from 1 to 65535");
	else if (g_hash_table_contains(check->addresses, address))
		report_fault(check, row_path, "port", "an earlier database has this host and port");
	g_hash_table_add(check->addresses, address);
}

static void check_database(const check_t *check, const jh_database_t *database,
			   const char *row_path)
{
	check_unique_name(check, row_path, database->name, check->databases);
	check_name(check, row_path, "dc", database->dc);
	check_address(check, database, row_path);
	if (database->slots < 1 || database->slots > SLOTS_MAX)
		report_fault(check, row_path, "slots", "must be from 1 to 10000");
	if (database->connections < 1 || database->connections > CONNECTIONS_MAX)
		report_fault(check, row_path, "connections", "must be from 1 to 100000");
	else if (database->connections < database->slots)
		report_fault(check, row_path, "connections", "must not be fewer than slots");
}

static void check_group(const check_t *check, const jh_group_t *group, const char *row_path)
{
	unsigned i;

	check_unique_name(check, row_path, group->name, check->groups);
	check_name(check, row_path, "dbname", group->dbname);
	check_name(check, row_path, "user", group->user);
	if (group->databases->len % 2 == 0)
		report_fault(check, row_path, "databases",
			     "must be an odd number, so that every majority is more than half");
	if (group->databases->len > JH_FAILOVER_MEMBERS_MAX)
		report_fault(check, row_path, "databases",
			     "must be " G_STRINGIFY(JH_FAILOVER_MEMBERS_MAX) " at most");
	for (i = 0; i < group->databases->len; i++) {
		char *path = g_strdup_printf("%s.databases[%u]", row_path, i);

		check_database(check, g_ptr_array_index(group->databases, i), path);
		g_free(path);
	}
}

/* All rows; groups and teams come before the routes that refer to them */

static void check_all_rows(const check_t *check)
{
	const jh_config_t *config = check->config;
	char row_path[32];
	unsigned i;

	for (i = 0; i < config->groups->len; i++) {
		g_snprintf(row_path, sizeof(row_path), "groups[%u]", i);
		check_group(check, g_ptr_array_index(config->groups, i), row_path);
	}
	for (i = 0; i < config->teams->len; i++) {
		g_snprintf(row_path, sizeof(row_path), "teams[%u]", i);
		check_team(check, g_ptr_array_index(config->teams, i), row_path);
	}
	for (i = 0; i < config->routes->len; i++) {
		g_snprintf(row_path, sizeof(row_path), "routes[%u]", i);
		check_route(check, g_ptr_array_index(config->routes, i), row_path);
	}
}

int jh_config_check(const jh_config_t *config, jh_error_t *err)
{
	unsigned count_before = jh_error_count_findings(err);
	check_t check = {
		.config = config,
		.err = err,
		.routes = g_hash_table_new(g_str_hash, g_str_equal),
		.teams = g_hash_table_new(g_str_hash, g_str_equal),
		.groups = g_hash_table_new(g_str_hash, g_str_equal),
		.databases = g_hash_table_new(g_str_hash, g_str_equal),
		.addresses = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL),
	};

	check_all_rows(&check);
	g_hash_table_destroy(check.routes);
	g_hash_table_destroy(check.teams);
	g_hash_table_destroy(check.groups);
	g_hash_table_destroy(check.databases);
	g_hash_table_destroy(check.addresses);
	return jh_error_count_findings(err) == count_before ? 0 : -1;
}
