#include "jh_voters.h"

#include <jansson.h>

/* Return: new set of interned names; NULL if @list is no array of names */
static GPtrArray *set_parse(const json_t *list)
{
	GPtrArray *set;
	size_t i;

	if (!json_is_array(list))
		return NULL;
	set = g_ptr_array_new();
	for (i = 0; set && i < json_array_size(list); i++) {
		const char *name = json_string_value(json_array_get(list, i));

		if (name)
			g_ptr_array_add(set, (void *)g_intern_string(name));
		else
			g_clear_pointer(&set, g_ptr_array_unref);
	}
	return set;
}

jh_voters_t *jh_voters_parse(GBytes *body, jh_error_t *err)
{
	gsize size = 0;
	const char *text = body ? g_bytes_get_data(body, &size) : NULL;
	json_t *object = text ? json_loadb(text, size, 0, NULL) : NULL;
	json_int_t generation = json_integer_value(json_object_get(object, "generation"));
	const json_t *previous = json_object_get(object, "previous");
	jh_voters_t *voters = NULL;

	if (!body)
		return jh_voters_new();
	if (generation > 0) {
		voters = g_new0(jh_voters_t, 1);
		voters->generation = (uint64_t)generation;
		voters->current = set_parse(json_object_get(object, "voters"));
		voters->previous = previous ? set_parse(previous) : NULL;
	}
	if (!voters || !voters->current || voters->current->len == 0 ||
	    (previous && !voters->previous)) {
		jh_error_set(err, JH_ERR_INVALID, "the row lists no voters");
		g_clear_pointer(&voters, jh_voters_free);
	}
	json_decref(object);
	return voters;
}

static json_t *set_format(const GPtrArray *set)
{
	json_t *list = json_array();
	unsigned i;

	for (i = 0; i < set->len; i++)
		json_array_append_new(list, json_string(g_ptr_array_index(set, i)));
	return list;
}

char *jh_voters_format(const jh_voters_t *voters)
{
	json_t *object = json_pack("{s:I, s:o}", "generation", (json_int_t)voters->generation,
				   "voters", set_format(voters->current));
	char *json;
	char *text;

	if (voters->previous)
		json_object_set_new(object, "previous", set_format(voters->previous));
	json = json_dumps(object, JSON_COMPACT);
	text = g_strdup(json);
	free(json);
	json_decref(object);
	return text;
}
