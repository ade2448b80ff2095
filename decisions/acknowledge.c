/* Whether a response may be released; see include/jh_acknowledge.h. */
#include "jh_acknowledge.h"

#include <string.h>

static const jh_database_view_t *view_find_database(const jh_group_view_t *view, const char *name)
{
	unsigned i;

	for (i = 0; i < view->databases->len; i++) {
		const jh_database_view_t *database = g_ptr_array_index(view->databases, i);

		if (g_str_equal(database->name, name))
			return database;
	}
	return NULL;
}

static bool member_has_position(const jh_group_view_t *view, const char *member,
				jh_position_t position)
{
	const jh_database_view_t *database = view_find_database(view, member);

	return database && database->held.term == position.term &&
	       database->held.index >= position.index;
}

jh_acknowledgement_t jh_acknowledge_decide(const jh_group_view_t *view, const GPtrArray *members,
					   const char *primary, jh_position_t position)
{
	unsigned copies = 0;
	unsigned i;

	/* The log was empty: there is nothing that could be lost. */
	if (position.index == 0)
		return JH_ACK_REPLICATED;
	/* The term is checked first, so that no write of a replaced primary is acknowledged. */
	if (view && view->term > position.term)
		return JH_ACK_SUPERSEDED;
	for (i = 0; i < members->len; i++) {
		const char *member = g_ptr_array_index(members, i);

		if (g_str_equal(member, primary) ||
		    (view && member_has_position(view, member, position)))
			copies++;
	}
	return copies > members->len / 2 ? JH_ACK_REPLICATED : JH_ACK_PENDING;
}

bool jh_position_parse(const char *text, jh_position_t *position)
{
	char *end = NULL;
	jh_position_t parsed;

	if (!text || !g_ascii_isdigit(*text))
		return false;
	parsed.term = g_ascii_strtoull(text, &end, 10);
	if (*end != '/' || !g_ascii_isdigit(end[1]))
		return false;
	parsed.index = g_ascii_strtoull(end + 1, &end, 10);
	if (*end != '\0')
		return false;
	*position = parsed;
	return true;
}
