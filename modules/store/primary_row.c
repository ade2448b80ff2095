#include "jh_primary.h"

#include <jansson.h>

char *jh_primary_row_name(const char *group)
{
	return g_strconcat(JH_PRIMARY_ROW_PREFIX, group, NULL);
}

int jh_primary_parse(jh_primary_t *primary, const char *group, uint64_t version, GBytes *body,
		     jh_error_t *err)
{
	gsize size = 0;
	const char *text = g_bytes_get_data(body, &size);
	json_t *object = text ? json_loadb(text, size, 0, NULL) : NULL;
	const char *member = json_string_value(json_object_get(object, "primary"));
	const char *target = json_string_value(json_object_get(object, "target"));
	const json_t *begun_era = json_object_get(object, "revocableEra");
	int result = -1;

	if (!member) {
		jh_error_set(err, JH_ERR_INVALID, "the row of the group has no string \"primary\"");
		goto done;
	}
	*primary = (jh_primary_t){
		.group = g_intern_string(group),
		.epoch = version,
		.term = (uint64_t)json_integer_value(json_object_get(object, "term")),
		.member = g_intern_string(member),
		.is_changing = json_is_true(json_object_get(object, "changing")),
		.target = g_intern_string(target),
		.is_revocable = json_is_integer(begun_era),
		.begun_era = (uint64_t)json_integer_value(begun_era),
		.is_unproven = json_is_true(json_object_get(object, "unproven")),
	};
	result = 0;
done:
	json_decref(object);
	return result;
}

char *jh_primary_format(const jh_primary_t *primary)
{
	json_t *object = json_pack("{s:s, s:I, s:b, s:s*}", "primary", primary->member, "term",
				   (json_int_t)primary->term, "changing", primary->is_changing,
				   "target", primary->target);
	char *json;
	char *text;

	if (primary->is_revocable)
		json_object_set_new(object, "revocableEra",
				    json_integer((json_int_t)primary->begun_era));
	if (primary->is_unproven)
		json_object_set_new(object, "unproven", json_true());
	json = json_dumps(object, JSON_COMPACT);
	text = g_strdup(json);

	free(json);
	json_decref(object);
	return text;
}
