#include "jh_catalogue.h"

static void route_free(void *data)
{
	jh_fleet_route_t *route = data;

	g_free(route->database);
	g_free(route);
}

jh_fleet_config_t *jh_fleet_config_new(void)
{
	jh_fleet_config_t *config = g_rc_box_new0(jh_fleet_config_t);

	config->routes = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, route_free);
	config->groups = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	config->keys = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	config->teams = jh_config_new();
	return config;
}

jh_fleet_config_t *jh_fleet_config_ref(jh_fleet_config_t *config)
{
	return g_rc_box_acquire(config);
}

static void config_clear(void *data)
{
	jh_fleet_config_t *config = data;

	g_hash_table_destroy(config->routes);
	g_hash_table_destroy(config->groups);
	g_hash_table_destroy(config->keys);
	jh_config_unref(config->teams);
}

void jh_fleet_config_unref(void *config)
{
	if (config)
		g_rc_box_release_full(config, config_clear);
}

jh_fleet_route_t *jh_fleet_config_add_route(jh_fleet_config_t *config, const char *database)
{
	jh_fleet_route_t *route = g_new0(jh_fleet_route_t, 1);

	route->database = g_strdup(database);
	g_hash_table_replace(config->routes, route->database, route);
	return route;
}

jh_fleet_group_t *jh_fleet_config_add_group(jh_fleet_config_t *config, const char *name)
{
	jh_fleet_group_t *group = g_new0(jh_fleet_group_t, 1);

	group->name = g_intern_string(name);
	g_hash_table_replace(config->groups, (void *)group->name, group);
	return group;
}

void jh_member_free(void *data)
{
	jh_member_t *member = data;

	if (!member)
		return;
	g_free(member->host);
	g_free(member);
}

jh_member_t *jh_member_copy(const jh_member_t *member)
{
	jh_member_t *copy = g_new0(jh_member_t, 1);

	*copy = *member;
	copy->host = g_strdup(member->host);
	return copy;
}
