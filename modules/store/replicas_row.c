#include "jh_replicas_row.h"

#include <jansson.h>

char *jh_replicas_row_name(const char *group)
{
	return g_strconcat(JH_REPLICAS_ROW_PREFIX, group, NULL);
}

char *jh_replica_key(const jh_member_t *member)
{
	return g_strdup_printf("%s %" G_GINT64_FORMAT " %s", member->id, member->started_ms,
			       member->group);
}

GHashTable *jh_replicas_new(void)
{
	return g_hash_table_new_full(g_str_hash, g_str_equal, g_free, jh_member_free);
}

void jh_replicas_add(GHashTable *replicas, const jh_member_t *member)
{
	g_hash_table_replace(replicas, jh_replica_key(member), jh_member_copy(member));
}

bool jh_replicas_include(const GHashTable *replicas, const GHashTable *others)
{
	GHashTableIter iter;
	void *key;

	g_hash_table_iter_init(&iter, (GHashTable *)others);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		if (!g_hash_table_contains((GHashTable *)replicas, key))
			return false;
	}
	return true;
}

static jh_member_t *replica_parse(const char *group, const json_t *object)
{
	const char *id = json_string_value(json_object_get(object, "id"));
	const char *host = json_string_value(json_object_get(object, "host"));
	const char *dc = json_string_value(json_object_get(object, "dc"));
	json_int_t port = json_integer_value(json_object_get(object, "port"));
	const json_t *born = json_object_get(object, "born");
	jh_member_t *member;

	if (!id || !host || !dc || port <= 0 || port > UINT16_MAX || !json_is_integer(born))
		return NULL;
	member = g_new0(jh_member_t, 1);
	member->id = g_intern_string(id);
	member->group = g_intern_string(group);
	member->host = g_strdup(host);
	member->port = (uint16_t)port;
	member->dc = g_intern_string(dc);
	member->draining_since_us = INT64_MIN;
	member->started_ms = json_integer_value(born);
	return member;
}

GHashTable *jh_replicas_parse(const char *group, GBytes *body, jh_error_t *err)
{
	gsize size = 0;
	const char *text = body ? g_bytes_get_data(body, &size) : NULL;
	json_t *object = text ? json_loadb(text, size, 0, NULL) : NULL;
	const json_t *list = json_object_get(object, "replicas");
	GHashTable *replicas = NULL;
	size_t i;

	if (json_is_array(list))
		replicas = jh_replicas_new();
	for (i = 0; replicas && i < json_array_size(list); i++) {
		jh_member_t *member = replica_parse(group, json_array_get(list, i));

		if (member)
			g_hash_table_replace(replicas, jh_replica_key(member), member);
		else
			g_clear_pointer(&replicas, g_hash_table_destroy);
	}
	if (!replicas)
		jh_error_set(err, JH_ERR_INVALID, "the row lists no replicas of the group");
	json_decref(object);
	return replicas;
}

char *jh_replicas_format(const GHashTable *replicas)
{
	json_t *list = json_array();
	json_t *object = json_object();
	GHashTableIter iter;
	void *value;
	char *json;
	char *text;

	g_hash_table_iter_init(&iter, (GHashTable *)replicas);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const jh_member_t *member = value;

		json_array_append_new(list, json_pack("{s:s, s:I, s:s, s:i, s:s}", "id", member->id,
						      "born", (json_int_t)member->started_ms,
						      "host", member->host, "port",
						      (int)member->port, "dc", member->dc));
	}
	json_object_set_new(object, "replicas", list);
	json = json_dumps(object, JSON_COMPACT);
	text = g_strdup(json);
	free(json);
	json_decref(object);
	return text;
}
