#include "jh_home_regions.h"

#include <glib.h>

const char *jh_home_regions_both(const char *a, const char *b)
{
	const char *interned;
	GString *both;
	char **names;
	char **others;
	unsigned i;

	if (!a && !b)
		return NULL;
	both = g_string_new(NULL);
	names = g_strsplit(a ? a : b, ",", -1);
	others = g_strsplit(b ? b : a, ",", -1);
	for (i = 0; names[i]; i++) {
		if (*names[i] && g_strv_contains((const char *const *)others, names[i]))
			g_string_append_printf(both, "%s%s", both->len > 0 ? "," : "", names[i]);
	}
	interned = g_intern_string(both->len > 0 ? both->str : JH_HOME_REGIONS_NONE);
	g_strfreev(names);
	g_strfreev(others);
	g_string_free(both, TRUE);
	return interned;
}
