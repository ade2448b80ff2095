#include "jh_session.h"

static jh_session_entry_t *find_entry(const jh_session_t *session, const char *group)
{
	unsigned i;

	for (i = 0; i < session->count; i++) {
		if (g_str_equal(session->entries[i].group, group))
			return &session->entries[i];
	}
	return NULL;
}

void jh_session_clear(jh_session_t *session)
{
	g_free(session->entries);
	*session = (jh_session_t){ 0 };
}

jh_position_t jh_session_get_position(const jh_session_t *session, const char *group)
{
	const jh_session_entry_t *entry = find_entry(session, group);

	return entry ? entry->position : (jh_position_t){ 0 };
}

bool jh_session_has_room(const jh_session_t *session, const char *group)
{
	return session->count < JH_SESSION_MAX_GROUPS || find_entry(session, group);
}

int jh_session_advance(jh_session_t *session, const char *group, jh_position_t position)
{
	jh_session_entry_t *entry = find_entry(session, group);

	if (!entry) {
		if (session->count >= JH_SESSION_MAX_GROUPS)
			return -1;
		session->entries =
			g_renew(jh_session_entry_t, session->entries, session->count + 1);
		entry = &session->entries[session->count++];
		*entry = (jh_session_entry_t){ .group = g_intern_string(group) };
	}
	if (jh_position_compare(position, entry->position) > 0)
		entry->position = position;
	return 0;
}

void jh_session_forget(jh_session_t *session, const char *group)
{
	jh_session_entry_t *entry = find_entry(session, group);

	if (entry)
		*entry = session->entries[--session->count];
}

int jh_session_merge(jh_session_t *session, const jh_session_t *other)
{
	unsigned new_groups = 0;
	unsigned i;

	for (i = 0; i < other->count; i++) {
		if (!find_entry(session, other->entries[i].group))
			new_groups++;
	}
	if (session->count + new_groups > JH_SESSION_MAX_GROUPS)
		return -1;
	for (i = 0; i < other->count; i++)
		jh_session_advance(session, other->entries[i].group, other->entries[i].position);
	return 0;
}

bool jh_session_dominates(const jh_session_t *session, const jh_session_t *other)
{
	unsigned i;

	for (i = 0; i < other->count; i++) {
		const jh_session_entry_t *required = &other->entries[i];
		jh_position_t position = jh_session_get_position(session, required->group);

		if (jh_position_compare(position, required->position) < 0)
			return false;
	}
	return true;
}
