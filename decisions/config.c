#include "jh_config.h"

#include <string.h>

/*
 * Construction, reference counts and look-ups of the configuration. The count is kept by GLib's
 * g_rc_box functions, outside the struct, so a shared configuration stays unchanged.
 */

static void strings_free(GPtrArray *strings)
{
	g_ptr_array_free(strings, TRUE);
}

static void database_free(gpointer data)
{
	jh_database_t *database = data;

	g_free(database->name);
	g_free(database->dc);
	g_free(database->host);
	g_free(database);
}

static void group_free(gpointer data)
{
	jh_group_t *group = data;

	g_free(group->name);
	g_free(group->dbname);
	g_free(group->user);
	g_ptr_array_free(group->databases, TRUE);
	g_free(group);
}

static void team_free(gpointer data)
{
	jh_team_t *team = data;

	g_free(team->name);
	strings_free(team->key_digests);
	g_free(team);
}

static void route_free(gpointer data)
{
	jh_route_t *route = data;

	g_free(route->name);
	g_free(route->group);
	strings_free(route->teams);
	g_free(route);
}

static void config_clear(gpointer data)
{
	jh_config_t *config = data;

	g_clear_pointer(&config->routes_by_name, g_hash_table_destroy);
	g_clear_pointer(&config->teams_by_name, g_hash_table_destroy);
	g_clear_pointer(&config->groups_by_name, g_hash_table_destroy);
	g_clear_pointer(&config->groups_by_database, g_hash_table_destroy);
	g_free(config->change_id);
	g_ptr_array_free(config->routes, TRUE);
	g_ptr_array_free(config->teams, TRUE);
	g_ptr_array_free(config->groups, TRUE);
}

jh_config_t *jh_config_new(void)
{
	jh_config_t *config = g_rc_box_new0(jh_config_t);

	config->routes = g_ptr_array_new_with_free_func(route_free);
	config->teams = g_ptr_array_new_with_free_func(team_free);
	config->groups = g_ptr_array_new_with_free_func(group_free);
	return config;
}

jh_config_t *jh_config_ref(jh_config_t *config)
{
	return g_rc_box_acquire(config);
}

void jh_config_unref(jh_config_t *config)
{
	if (config)
		g_rc_box_release_full(config, config_clear);
}

jh_route_t *jh_route_new(void)
{
	jh_route_t *route = g_new0(jh_route_t, 1);

	route->teams = g_ptr_array_new_with_free_func(g_free);
	return route;
}

jh_team_t *jh_team_new(void)
{
	jh_team_t *team = g_new0(jh_team_t, 1);

	team->key_digests = g_ptr_array_new_with_free_func(g_free);
	return team;
}

jh_group_t *jh_group_new(void)
{
	jh_group_t *group = g_new0(jh_group_t, 1);

	group->databases = g_ptr_array_new_with_free_func(database_free);
	return group;
}

jh_database_t *jh_database_new(void)
{
	return g_new0(jh_database_t, 1);
}

/* Look-ups */

/* Return: name of a route, team, group or database; it is the first field of each struct. */
static const char *row_name(const void *row)
{
	return *(char *const *)row;
}

/* Iterates backwards, so that the first of several rows with the same name wins. */
static GHashTable *rows_build_index(const GPtrArray *rows)
{
	GHashTable *index = g_hash_table_new(g_str_hash, g_str_equal);
	unsigned i;

	for (i = rows->len; i-- > 0;) {
		void *row = g_ptr_array_index(rows, i);

		g_hash_table_replace(index, (gpointer)row_name(row), row);
	}
	return index;
}

static void *rows_find(const GPtrArray *rows, GHashTable *index, const char *name)
{
	unsigned i;

	if (index)
		return name ? g_hash_table_lookup(index, name) : NULL;
	for (i = 0; i < rows->len; i++) {
		void *row = g_ptr_array_index(rows, i);

		if (g_strcmp0(row_name(row), name) == 0)
			return row;
	}
	return NULL;
}

void jh_config_build_index(jh_config_t *config)
{
	unsigned i;
	unsigned j;

	g_assert(!config->routes_by_name);
	config->routes_by_name = rows_build_index(config->routes);
	config->teams_by_name = rows_build_index(config->teams);
	config->groups_by_name = rows_build_index(config->groups);
	config->groups_by_database = g_hash_table_new(g_str_hash, g_str_equal);
	for (i = config->groups->len; i-- > 0;) {
		jh_group_t *group = g_ptr_array_index(config->groups, i);

		for (j = 0; j < group->databases->len; j++)
			g_hash_table_replace(
				config->groups_by_database,
				(gpointer)row_name(g_ptr_array_index(group->databases, j)), group);
	}
}

const jh_route_t *jh_config_find_route(const jh_config_t *config, const char *name)
{
	return rows_find(config->routes, config->routes_by_name, name);
}

const jh_team_t *jh_config_find_team(const jh_config_t *config, const char *name)
{
	return rows_find(config->teams, config->teams_by_name, name);
}

const jh_group_t *jh_config_find_group(const jh_config_t *config, const char *name)
{
	return rows_find(config->groups, config->groups_by_name, name);
}

static const jh_database_t *group_find_database(const jh_group_t *group, const char *name)
{
	return rows_find(group->databases, NULL, name);
}

const jh_database_t *jh_config_find_database(const jh_config_t *config, const char *name)
{
	const jh_group_t *group = jh_config_find_group_of(config, name);

	return group ? group_find_database(group, name) : NULL;
}

const jh_group_t *jh_config_find_group_of(const jh_config_t *config, const char *database)
{
	unsigned i;

	if (config->groups_by_database)
		return database ? g_hash_table_lookup(config->groups_by_database, database) : NULL;
	for (i = 0; i < config->groups->len; i++) {
		const jh_group_t *group = g_ptr_array_index(config->groups, i);

		if (group_find_database(group, database))
			return group;
	}
	return NULL;
}

bool jh_route_allows(const jh_route_t *route, const char *team)
{
	unsigned i;

	if (route->open_to_all)
		return true;
	for (i = 0; i < route->teams->len; i++) {
		if (g_strcmp0(g_ptr_array_index(route->teams, i), team) == 0)
			return true;
	}
	return false;
}

/* Compares in constant time: the time taken does not depend on where the digests differ. */
static bool digests_are_equal(const char *a, const char *b)
{
	size_t length = strlen(a);
	unsigned char difference = 0;
	size_t i;

	if (strlen(b) != length)
		return false;
	for (i = 0; i < length; i++)
		difference |= (unsigned char)(a[i] ^ b[i]);
	return difference == 0;
}

bool jh_team_has_digest(const jh_team_t *team, const char *digest)
{
	bool found = false;
	unsigned i;

	for (i = 0; i < team->key_digests->len; i++)
		found |= digests_are_equal(g_ptr_array_index(team->key_digests, i), digest);
	return found;
}
