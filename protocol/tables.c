#include "jh_tables.h"

#include <jansson.h>
#include <string.h>

#define DEFAULT_DEADLINE_MS 5000
#define DEFAULT_USER "jasminehill"

/* Reads of a route without max_age_ms accept data of any age. */
#define AGE_ANY_MS (-1)

/*
 * A JSON object whose cells (named values) are being parsed. "place" is its location for findings,
 * e.g. "routes[2]"; empty for a whole table.
 */
typedef struct cells {
	json_t *row;
	const char *place;
	jh_error_t *err;
} cells_t;

/* ---- Cells ---- */

static void cell_add_finding(const cells_t *cells, const char *name, const char *fault)
{
	char *place = cells->place[0] ? g_strconcat(cells->place, ".", name, NULL) : g_strdup(name);

	jh_error_add_finding(cells->err, place, "%s", fault);
	g_free(place);
}

/* Return: borrowed value; NULL if the cell is missing, with a finding if it is required */
static json_t *cell_find(const cells_t *cells, const char *name, bool is_required)
{
	json_t *cell = json_object_get(cells->row, name);

	if (!cell && is_required)
		cell_add_finding(cells, name, "is required");
	return cell;
}

/*
 * @default_text: for a missing cell; NULL if the cell is required
 *
 * Return: new string, empty after a finding
 */
static char *cell_get_string(const cells_t *cells, const char *name, const char *default_text)
{
	json_t *cell = cell_find(cells, name, !default_text);

	if (!cell)
		return g_strdup(default_text ? default_text : "");
	if (!json_is_string(cell))
		cell_add_finding(cells, name, "must be a string");
	return g_strdup(json_is_string(cell) ? json_string_value(cell) : "");
}

static bool cell_get_bool(const cells_t *cells, const char *name)
{
	json_t *cell = cell_find(cells, name, false);

	if (cell && !json_is_boolean(cell))
		cell_add_finding(cells, name, "must be true or false");
	return json_is_true(cell);
}

/* Return: the number; @default_value if the cell is missing or invalid */
static int64_t cell_get_integer(const cells_t *cells, const char *name, bool is_required,
				int64_t default_value)
{
	json_t *cell = cell_find(cells, name, is_required);

	if (!cell)
		return default_value;
	if (!json_is_integer(cell)) {
		cell_add_finding(cells, name, "must be a whole number");
		return default_value;
	}
	return json_integer_value(cell);
}

static double cell_get_number(const cells_t *cells, const char *name, bool is_required,
			      double default_value)
{
	json_t *cell = cell_find(cells, name, is_required);

	if (!cell)
		return default_value;
	if (!json_is_number(cell)) {
		cell_add_finding(cells, name, "must be a number");
		return default_value;
	}
	return json_number_value(cell);
}

static void cell_append_strings(const cells_t *cells, const char *name, GPtrArray *out)
{
	json_t *cell = cell_find(cells, name, false);
	json_t *entry;
	size_t i;

	if (!cell)
		return;
	if (!json_is_array(cell)) {
		cell_add_finding(cells, name, "must be an array of strings");
		return;
	}
	json_array_foreach(cell, i, entry)
	{
		char *member = g_strdup_printf("%s[%" G_GSIZE_FORMAT "]", name, i);

		if (json_is_string(entry))
			g_ptr_array_add(out, g_strdup(json_string_value(entry)));
		else
			cell_add_finding(cells, member, "must be a string");
		g_free(member);
	}
}

/* Clamps to the range of the type; jh_config_check() reports values that are out of range. */
static unsigned cell_get_unsigned(const cells_t *cells, const char *name)
{
	return (unsigned)CLAMP(cell_get_integer(cells, name, true, 1), 0, G_MAXINT);
}

/* Unknown names are findings, because a misspelt cell would otherwise be ignored. */
static void cells_check_names(const cells_t *cells, const char *const *names)
{
	const char *key;
	json_t *value;

	json_object_foreach(cells->row, key, value)
	{
		if (!g_strv_contains(names, key))
			cell_add_finding(cells, key, "is not a cell of this table");
	}
}

/* ---- Rows ---- */

typedef void (*parse_row_fn_t)(const cells_t *cells, GPtrArray *out);

/* Parses the array @name of @owner; appends an object to @out for each row. */
static void parse_rows(const cells_t *owner, const char *name, parse_row_fn_t parse_row,
		       GPtrArray *out)
{
	json_t *rows = cell_find(owner, name, true);
	json_t *row;
	size_t i;

	if (!rows)
		return;
	if (!json_is_array(rows)) {
		cell_add_finding(owner, name, "must be an array");
		return;
	}
	json_array_foreach(rows, i, row)
	{
		char *place = g_strdup_printf("%s%s%s[%" G_GSIZE_FORMAT "]", owner->place,
					      owner->place[0] ? "." : "", name, i);
		cells_t cells = { .row = row, .place = place, .err = owner->err };

		if (json_is_object(row))
			parse_row(&cells, out);
		else
			jh_error_add_finding(owner->err, place, "must be an object");
		g_free(place);
	}
}

static jh_access_t cell_get_access(const cells_t *cells)
{
	char *text = cell_get_string(cells, "access", NULL);
	jh_access_t access = g_str_equal(text, "write") ? JH_ACCESS_WRITE : JH_ACCESS_READ;

	if (*text && !g_str_equal(text, "write") && !g_str_equal(text, "read"))
		cell_add_finding(cells, "access", "must be read or write");
	g_free(text);
	return access;
}

static void parse_route(const cells_t *cells, GPtrArray *out)
{
	static const char *const names[] = { "name",	   "group",	  "access",
					     "repeatable", "max_age_ms",  "deadline_ms",
					     "teams",	   "open_to_all", NULL };
	jh_route_t *route = jh_route_new();

	cells_check_names(cells, names);
	route->name = cell_get_string(cells, "name", NULL);
	route->group = cell_get_string(cells, "group", NULL);
	route->access = cell_get_access(cells);
	route->repeatable = cell_get_bool(cells, "repeatable");
	route->max_age_ms = cell_get_integer(cells, "max_age_ms", false, AGE_ANY_MS);
	route->deadline_ms = cell_get_integer(cells, "deadline_ms", false, DEFAULT_DEADLINE_MS);
	route->open_to_all = cell_get_bool(cells, "open_to_all");
	cell_append_strings(cells, "teams", route->teams);
	g_ptr_array_add(out, route);
}

static void parse_team(const cells_t *cells, GPtrArray *out)
{
	static const char *const names[] = {
		"name", "rate", "burst", "weight", "key_digests", NULL
	};
	jh_team_t *team = jh_team_new();

	cells_check_names(cells, names);
	team->name = cell_get_string(cells, "name", NULL);
	team->rate = cell_get_number(cells, "rate", true, 1);
	team->burst = cell_get_number(cells, "burst", true, 1);
	team->weight = cell_get_number(cells, "weight", false, 1);
	cell_append_strings(cells, "key_digests", team->key_digests);
	g_ptr_array_add(out, team);
}

static void parse_database(const cells_t *cells, GPtrArray *out)
{
	static const char *const names[] = { "name",  "dc",	     "host",	  "port",
					     "slots", "connections", "departing", NULL };
	jh_database_t *database = jh_database_new();
	int64_t port;

	cells_check_names(cells, names);
	database->name = cell_get_string(cells, "name", NULL);
	database->dc = cell_get_string(cells, "dc", NULL);
	database->host = cell_get_string(cells, "host", NULL);
	port = cell_get_integer(cells, "port", true, 1);
	database->port = port > 0 && port <= UINT16_MAX ? (uint16_t)port : 0;
	database->slots = cell_get_unsigned(cells, "slots");
	database->connections = cell_get_unsigned(cells, "connections");
	database->departing = cell_get_bool(cells, "departing");
	g_ptr_array_add(out, database);
}

static void parse_group(const cells_t *cells, GPtrArray *out)
{
	static const char *const names[] = { "name", "dbname", "user", "databases", NULL };
	jh_group_t *group = jh_group_new();

	cells_check_names(cells, names);
	group->name = cell_get_string(cells, "name", NULL);
	group->dbname = cell_get_string(cells, "dbname", group->name);
	group->user = cell_get_string(cells, "user", DEFAULT_USER);
	parse_rows(cells, "databases", parse_database, group->databases);
	g_ptr_array_add(out, group);
}

/* ---- Tables ---- */

static void parse_routes_table(json_t *table, jh_config_t *config, jh_error_t *err)
{
	static const char *const names[] = { "routes", "teams", NULL };
	cells_t cells = { .row = table, .place = "", .err = err };

	if (!json_is_object(table)) {
		jh_error_add_finding(err, "routes", "the table must be an object");
		return;
	}
	cells_check_names(&cells, names);
	parse_rows(&cells, "routes", parse_route, config->routes);
	parse_rows(&cells, "teams", parse_team, config->teams);
}

static void parse_pools_table(json_t *table, jh_config_t *config, jh_error_t *err)
{
	static const char *const names[] = { "groups", NULL };
	cells_t cells = { .row = table, .place = "", .err = err };

	if (!json_is_object(table)) {
		jh_error_add_finding(err, "pools", "the table must be an object");
		return;
	}
	cells_check_names(&cells, names);
	parse_rows(&cells, "groups", parse_group, config->groups);
}

/* Return: new JSON value, or NULL with a finding at @place */
static json_t *parse_json(const char *text, size_t length, const char *place, jh_error_t *err)
{
	json_error_t fault;
	json_t *json = json_loadb(text, length, JSON_REJECT_DUPLICATES, &fault);

	if (!json)
		jh_error_add_finding(err, place, "line %d, column %d: %s", fault.line, fault.column,
				     fault.text);
	return json;
}

/* Parses both tables and checks them against each other. Return: new, or NULL with findings */
static jh_config_t *parse_tables(json_t *routes, json_t *pools, jh_error_t *err)
{
	jh_config_t *config = jh_config_new();

	parse_routes_table(routes, config, err);
	parse_pools_table(pools, config, err);
	jh_config_check(config, err);
	if (err->code == JH_ERR_NONE) {
		jh_config_build_index(config);
		return config;
	}
	jh_config_unref(config);
	return NULL;
}

jh_config_t *jh_tables_parse(const char *routes, size_t routes_length, const char *pools,
			     size_t pools_length, jh_error_t *err)
{
	json_t *routes_json = parse_json(routes, routes_length, "routes", err);
	json_t *pools_json = parse_json(pools, pools_length, "pools", err);
	jh_config_t *config = NULL;

	if (routes_json && pools_json)
		config = parse_tables(routes_json, pools_json, err);
	json_decref(routes_json);
	json_decref(pools_json);
	return config;
}

jh_config_t *jh_tables_parse_row(const char *text, size_t length, uint64_t version, jh_error_t *err)
{
	json_t *row = parse_json(text, length, "config/current", err);
	jh_config_t *config = NULL;

	if (!row)
		return NULL;
	config = parse_tables(json_object_get(row, "routes"), json_object_get(row, "pools"), err);
	if (config) {
		config->version = version;
		config->change_id = g_strdup(json_string_value(json_object_get(row, "change_id")));
	}
	json_decref(row);
	return config;
}

/* ---- The platform's row ---- */

static json_t *format_earlier_changes(const GPtrArray *changes)
{
	json_t *earlier = json_array();
	unsigned i;

	for (i = 1; i < changes->len && i <= JH_TABLES_MAX_EARLIER_CHANGES; i++)
		json_array_append_new(earlier, json_string(g_ptr_array_index(changes, i)));
	return earlier;
}

static char *format_json(json_t *json, size_t flags)
{
	char *dump = json_dumps(json, flags);
	char *text = g_strdup(dump);

	free(dump);
	return text;
}

char *jh_tables_format_row(const char *routes, size_t routes_length, const char *pools,
			   size_t pools_length, const GPtrArray *changes, jh_error_t *err)
{
	json_t *routes_json = parse_json(routes, routes_length, "routes", err);
	json_t *pools_json = parse_json(pools, pools_length, "pools", err);
	char *text = NULL;

	g_assert(changes->len > 0);
	if (routes_json && pools_json) {
		json_t *row =
			json_pack("{s:s,s:o,s:O,s:O}", "change_id", g_ptr_array_index(changes, 0),
				  "earlier_change_ids", format_earlier_changes(changes), "routes",
				  routes_json, "pools", pools_json);

		text = format_json(row, JSON_COMPACT);
		json_decref(row);
	}
	json_decref(routes_json);
	json_decref(pools_json);
	return text;
}

GPtrArray *jh_tables_parse_change_ids(const char *text, size_t length)
{
	GPtrArray *changes = g_ptr_array_new_with_free_func(g_free);
	json_t *row = json_loadb(text, length, 0, NULL);
	json_t *newest = json_object_get(row, "change_id");
	json_t *earlier = json_object_get(row, "earlier_change_ids");
	json_t *change;
	size_t i;

	if (json_is_string(newest))
		g_ptr_array_add(changes, g_strdup(json_string_value(newest)));
	json_array_foreach(earlier, i, change)
	{
		if (json_is_string(change))
			g_ptr_array_add(changes, g_strdup(json_string_value(change)));
	}
	json_decref(row);
	return changes;
}

int jh_tables_split_row(const char *text, size_t length, char **routes, char **pools,
			jh_error_t *err)
{
	json_t *row = parse_json(text, length, "config/current", err);
	json_t *routes_json = json_object_get(row, "routes");
	json_t *pools_json = json_object_get(row, "pools");
	int result = -1;

	if (!row)
		return -1;
	if (json_is_object(routes_json) && json_is_object(pools_json)) {
		*routes = format_json(routes_json, JSON_INDENT(2));
		*pools = format_json(pools_json, JSON_INDENT(2));
		result = 0;
	} else {
		jh_error_add_finding(err, "config/current",
				     "must contain the objects routes and pools");
	}
	json_decref(row);
	return result;
}
