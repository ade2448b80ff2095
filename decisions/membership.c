/* Which VMs live; see include/jh_membership.h and docs/internals/membership.md. */
#include "jh_membership.h"

#include <string.h>

/* Time between two probes; each target gets one every JH_MEMBERSHIP_TARGETS of these. */
#define PROBE_INTERVAL_US ((int64_t)150 * 1000)

/* A probe without an answer is repeated through others after the first, given up after both. */
#define DIRECT_LIMIT_US ((int64_t)150 * 1000)
#define INDIRECT_LIMIT_US ((int64_t)350 * 1000)

/* VMs that are asked to probe for this one. */
#define RELAYS 2u

/* Time for a suspected VM to refute. Longer while nobody at all answers this VM. */
#define SUSPECT_LIMIT_US ((int64_t)350 * 1000)
#define DEAF_FACTOR 4
#define DEAF_US ((int64_t)600 * 1000)

/* A tick as late as this: the others may have declared this VM dead meanwhile. */
#define PAUSE_US ((int64_t)600 * 1000)

/* How long to doubt after a pause if nobody answers. */
#define DOUBT_US ((int64_t)500 * 1000)

/* Time between two probes of dead VMs, which finds those that came back. */
#define REVISIT_US ((int64_t)1000 * 1000)

/* A dead VM that the platform no longer lists is forgotten after this. */
#define FORGET_US ((int64_t)30 * 1000 * 1000)

/* How often a piece of news is passed on. */
#define SENDS (2u * JH_MEMBERSHIP_TARGETS)

typedef struct record {
	jh_vm_update_t news;
	/* Graceful shutdown, by its own word or the platform's. */
	bool departing;
	bool listed;
	bool listed_departing;
	/* It spoke with a lower incarnation than is known of it. */
	bool is_behind;
	unsigned sends;
	int64_t changed_us;
} record_t;

typedef struct probe {
	uint64_t sequence;
	const char *target;
	int64_t sent_us;
	bool indirect;
	/* The VM that asked for it and its sequence; NULL for an own probe. */
	const char *asker;
	uint64_t asker_sequence;
} probe_t;

struct jh_membership {
	const char *self;
	GHashTable *records;
	/* Interned names, recomputed when the set of live VMs changes. */
	GPtrArray *targets;
	bool targets_stale;
	bool changed;
	bool urgent;
	bool refuted;
	unsigned next_target;
	unsigned next_dead;
	GArray *probes;
	uint64_t sequence;
	int64_t ticked_us;
	int64_t probed_us;
	int64_t revisited_us;
	int64_t answered_us;
	int64_t doubt_until_us;
};

/* ---- records ---- */

static record_t *record_find(const jh_membership_t *membership, const char *name)
{
	return g_hash_table_lookup(membership->records, name);
}

static record_t *record_self(const jh_membership_t *membership)
{
	return record_find(membership, membership->self);
}

static record_t *record_add(jh_membership_t *membership, const jh_vm_update_t *news)
{
	record_t *record = g_new0(record_t, 1);

	record->news = *news;
	g_hash_table_insert(membership->records, (gpointer)news->name, record);
	return record;
}

/* A change that others should hear of. */
static void record_touch(jh_membership_t *membership, record_t *record, int64_t now_us)
{
	record->sends = SENDS;
	record->changed_us = now_us;
	membership->urgent = true;
	membership->changed = true;
	membership->targets_stale = true;
}

static void record_set_state(jh_membership_t *membership, record_t *record, jh_vm_state_t state,
			     int64_t now_us)
{
	record->news.state = state;
	record_touch(membership, record, now_us);
}

/* This VM's own word, in a higher incarnation than what is told of it. */
static void self_refute(jh_membership_t *membership, uint64_t incarnation, int64_t now_us)
{
	record_t *self = record_self(membership);

	self->news.incarnation = incarnation + 1;
	record_touch(membership, self, now_us);
}

static void news_take_self(jh_membership_t *membership, const jh_vm_update_t *news, int64_t now_us)
{
	const record_t *self = record_self(membership);

	if (news->incarnation < self->news.incarnation)
		return;
	if (news->state == JH_VM_SUSPECT || news->state == JH_VM_DEAD)
		membership->refuted = true;
	else if (news->incarnation == self->news.incarnation && news->state == self->news.state)
		return;
	self_refute(membership, news->incarnation, now_us);
}

static bool news_is_newer(const jh_vm_update_t *news, const record_t *record)
{
	if (news->incarnation != record->news.incarnation)
		return news->incarnation > record->news.incarnation;
	return news->state > record->news.state;
}

static bool news_is_moved(const jh_vm_update_t *news, const record_t *record)
{
	return news->host != record->news.host || news->port != record->news.port ||
	       news->dc != record->news.dc;
}

/* A mere new incarnation is not passed on: the VM itself tells it to those that probe it. */
static bool news_is_change(const jh_vm_update_t *news, const record_t *record)
{
	return news->state != record->news.state || news_is_moved(news, record);
}

/* Old news still travels: what replaced it is told again to those who may hold it. */
static void news_correct(jh_membership_t *membership, const jh_vm_update_t *news, record_t *record)
{
	if (news->incarnation >= record->news.incarnation)
		return;
	record->is_behind = true;
	if (news->state < JH_VM_SUSPECT || record->sends > 0)
		return;
	record->sends = SENDS;
	membership->urgent = true;
}

static void news_take(jh_membership_t *membership, const jh_vm_update_t *news, int64_t now_us)
{
	bool is_change = true;
	record_t *record;

	if (news->name == membership->self) {
		news_take_self(membership, news, now_us);
		return;
	}
	record = record_find(membership, news->name);
	if (!record) {
		/* A dead VM that nobody here knew is no news. */
		if (news->state == JH_VM_DEAD)
			return;
		record = record_add(membership, news);
	} else if (news_is_newer(news, record)) {
		is_change = news_is_change(news, record);
		record->news = *news;
	} else {
		news_correct(membership, news, record);
		return;
	}
	if (news->state == JH_VM_LIVE || news->state == JH_VM_DEPARTING)
		record->departing = news->state == JH_VM_DEPARTING;
	if (is_change)
		record_touch(membership, record, now_us);
}

/* ---- targets ---- */

static uint64_t ring_hash(const char *name, unsigned ring)
{
	uint64_t hash = 0xcbf29ce484222325u ^ (ring + 1) * 0x9e3779b97f4a7c15u;

	for (; *name; name++)
		hash = (hash ^ (unsigned char)*name) * 0x100000001b3u;
	hash ^= hash >> 33;
	hash *= 0xff51afd7ed558ccdu;
	return hash ^ hash >> 33;
}

/* The live VM that follows this one on a ring; each ring orders the VMs in another way. */
static const char *ring_successor(const jh_membership_t *membership, unsigned ring)
{
	uint64_t self = ring_hash(membership->self, ring);
	uint64_t best_distance = UINT64_MAX;
	const char *best = NULL;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, membership->records);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const record_t *record = value;
		uint64_t distance = ring_hash(record->news.name, ring) - self;

		if (record->news.name == membership->self || record->news.state == JH_VM_DEAD ||
		    distance >= best_distance)
			continue;
		best = record->news.name;
		best_distance = distance;
	}
	return best;
}

static void targets_choose(jh_membership_t *membership)
{
	unsigned ring;

	if (!membership->targets_stale)
		return;
	membership->targets_stale = false;
	g_ptr_array_set_size(membership->targets, 0);
	for (ring = 0; ring < JH_MEMBERSHIP_TARGETS; ring++) {
		const char *name = ring_successor(membership, ring);

		if (name && !g_ptr_array_find(membership->targets, name, NULL))
			g_ptr_array_add(membership->targets, (gpointer)name);
	}
}

/* ---- messages ---- */

static void action_add_news(jh_membership_action_t *action, const jh_vm_update_t *news)
{
	unsigned i;

	for (i = 0; i < action->news_count; i++) {
		if (action->news[i].name == news->name)
			return;
	}
	if (action->news_count < JH_MEMBERSHIP_MAX_UPDATES)
		action->news[action->news_count++] = *news;
}

/* This VM's own state, what the receiver must know of itself, then what is new. */
static void action_fill_news(jh_membership_t *membership, jh_membership_action_t *action)
{
	record_t *to = record_find(membership, action->to);
	GHashTableIter iter;
	gpointer value;

	action_add_news(action, &record_self(membership)->news);
	if (to &&
	    (to->is_behind || to->news.state == JH_VM_SUSPECT || to->news.state == JH_VM_DEAD)) {
		action_add_news(action, &to->news);
		to->is_behind = false;
	}
	g_hash_table_iter_init(&iter, membership->records);
	while (action->news_count < JH_MEMBERSHIP_MAX_UPDATES &&
	       g_hash_table_iter_next(&iter, NULL, &value)) {
		record_t *record = value;

		if (record->sends == 0)
			continue;
		record->sends--;
		action_add_news(action, &record->news);
	}
}

static void message_add(jh_membership_t *membership, GArray *actions,
			jh_membership_action_type_t type, const char *to, uint64_t sequence,
			const char *target)
{
	jh_membership_action_t action = {
		.type = type,
		.to = to,
		.sequence = sequence,
		.target = target,
	};

	action_fill_news(membership, &action);
	g_array_append_val(actions, action);
}

static void probe_send(jh_membership_t *membership, GArray *actions, const char *target,
		       const char *asker, uint64_t asker_sequence, int64_t now_us)
{
	probe_t probe = {
		.sequence = ++membership->sequence,
		.target = target,
		.sent_us = now_us,
		.asker = asker,
		.asker_sequence = asker_sequence,
	};

	g_array_append_val(membership->probes, probe);
	message_add(membership, actions, JH_MEMBERSHIP_PROBE, target, probe.sequence, NULL);
}

/* ---- probing ---- */

static void probe_indirectly(jh_membership_t *membership, const probe_t *probe, uint64_t random,
			     GArray *actions)
{
	unsigned count = membership->targets->len;
	unsigned asked = 0;
	unsigned i;

	for (i = 0; i < count && asked < RELAYS; i++) {
		const char *relay =
			g_ptr_array_index(membership->targets, (random % count + i) % count);

		if (relay == probe->target)
			continue;
		message_add(membership, actions, JH_MEMBERSHIP_PROBE, relay, probe->sequence,
			    probe->target);
		asked++;
	}
}

static void probe_fail(jh_membership_t *membership, const probe_t *probe, int64_t now_us)
{
	record_t *record = record_find(membership, probe->target);

	if (!probe->asker && record &&
	    (record->news.state == JH_VM_LIVE || record->news.state == JH_VM_DEPARTING))
		record_set_state(membership, record, JH_VM_SUSPECT, now_us);
}

static void probes_check(jh_membership_t *membership, int64_t now_us, uint64_t random,
			 GArray *actions)
{
	unsigned i = membership->probes->len;

	while (i-- > 0) {
		probe_t *probe = &g_array_index(membership->probes, probe_t, i);
		int64_t age_us = now_us - probe->sent_us;

		if (age_us >= INDIRECT_LIMIT_US) {
			probe_fail(membership, probe, now_us);
			g_array_remove_index_fast(membership->probes, i);
		} else if (age_us >= DIRECT_LIMIT_US && !probe->indirect && !probe->asker) {
			probe->indirect = true;
			probe_indirectly(membership, probe, random, actions);
		}
	}
}

static void suspects_check(jh_membership_t *membership, int64_t now_us)
{
	bool is_deaf = now_us - membership->answered_us > DEAF_US;
	int64_t limit_us = is_deaf ? SUSPECT_LIMIT_US * DEAF_FACTOR : SUSPECT_LIMIT_US;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, membership->records);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		record_t *record = value;
		int64_t age_us = now_us - record->changed_us;

		if (record->news.state == JH_VM_SUSPECT && age_us >= limit_us) {
			record_set_state(membership, record, JH_VM_DEAD, now_us);
		} else if (record->news.state == JH_VM_DEAD && !record->listed &&
			   age_us >= FORGET_US) {
			membership->changed = true;
			g_hash_table_iter_remove(&iter);
		}
	}
}

static void targets_probe(jh_membership_t *membership, int64_t now_us, GArray *actions)
{
	const char *target;

	if (membership->targets->len == 0 || now_us - membership->probed_us < PROBE_INTERVAL_US)
		return;
	membership->probed_us = now_us;
	membership->next_target = (membership->next_target + 1) % membership->targets->len;
	target = g_ptr_array_index(membership->targets, membership->next_target);
	probe_send(membership, actions, target, NULL, 0, now_us);
}

/* Both sides of a healed partition hold each other for dead; somebody has to ask. */
static void dead_revisit(jh_membership_t *membership, int64_t now_us, GArray *actions)
{
	unsigned dead = 0;
	GHashTableIter iter;
	gpointer value;

	if (now_us - membership->revisited_us < REVISIT_US)
		return;
	membership->revisited_us = now_us;
	g_hash_table_iter_init(&iter, membership->records);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const record_t *record = value;

		if (record->news.state != JH_VM_DEAD || dead++ != membership->next_dead)
			continue;
		membership->next_dead++;
		message_add(membership, actions, JH_MEMBERSHIP_PROBE, record->news.name,
			    ++membership->sequence, NULL);
		return;
	}
	membership->next_dead = 0;
}

static bool news_is_left(const jh_membership_t *membership)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, membership->records);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (((const record_t *)value)->sends == SENDS)
			return true;
	}
	return false;
}

/* News that moves ownership does not wait for the next probe; what is left goes a tick later. */
static void news_flush(jh_membership_t *membership, GArray *actions)
{
	unsigned i;

	if (!membership->urgent)
		return;
	for (i = 0; i < membership->targets->len; i++)
		message_add(membership, actions, JH_MEMBERSHIP_PROBE,
			    g_ptr_array_index(membership->targets, i), 0, NULL);
	membership->urgent = membership->targets->len > 0 && news_is_left(membership);
}

/*
 * After a pause, what is known is old, and the others may have replaced this VM: it takes no role
 * until one of them has answered, which tells it if it was declared dead.
 */
static void pause_end(jh_membership_t *membership, int64_t now_us)
{
	GHashTableIter iter;
	gpointer value;

	g_array_set_size(membership->probes, 0);
	g_hash_table_iter_init(&iter, membership->records);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		record_t *record = value;

		if (record->news.state == JH_VM_SUSPECT)
			record->changed_us = now_us;
	}
	membership->answered_us = now_us;
	membership->doubt_until_us = now_us + DOUBT_US;
	membership->urgent = true;
	membership->changed = true;
}

static void doubt_end(jh_membership_t *membership)
{
	if (membership->doubt_until_us == 0)
		return;
	membership->doubt_until_us = 0;
	membership->changed = true;
}

static void decide_tick(jh_membership_t *membership, int64_t now_us, uint64_t random,
			GArray *actions)
{
	if (membership->ticked_us && now_us - membership->ticked_us >= PAUSE_US)
		pause_end(membership, now_us);
	else if (membership->doubt_until_us && now_us >= membership->doubt_until_us)
		doubt_end(membership);
	membership->ticked_us = now_us;
	targets_choose(membership);
	probes_check(membership, now_us, random, actions);
	suspects_check(membership, now_us);
	targets_choose(membership);
	news_flush(membership, actions);
	targets_probe(membership, now_us, actions);
	dead_revisit(membership, now_us, actions);
}

/* ---- events ---- */

static void news_take_all(jh_membership_t *membership, const jh_membership_event_t *event,
			  int64_t now_us)
{
	unsigned i;

	for (i = 0; i < event->news_count; i++)
		news_take(membership, &event->news[i], now_us);
}

static void decide_probed(jh_membership_t *membership, const jh_membership_event_t *event,
			  int64_t now_us, GArray *actions)
{
	news_take_all(membership, event, now_us);
	if (event->target)
		probe_send(membership, actions, event->target, event->from, event->sequence,
			   now_us);
	else if (event->sequence != 0)
		message_add(membership, actions, JH_MEMBERSHIP_ANSWER, event->from, event->sequence,
			    NULL);
}

/* An own probe is answered by its target, or through another VM by @event->target. */
static void decide_answered(jh_membership_t *membership, const jh_membership_event_t *event,
			    int64_t now_us, GArray *actions)
{
	const char *target = event->target ? event->target : event->from;
	unsigned i;

	news_take_all(membership, event, now_us);
	membership->answered_us = now_us;
	/* An answer to an earlier probe says nothing of what the others decided meanwhile. */
	for (i = 0; i < membership->probes->len; i++) {
		probe_t probe = g_array_index(membership->probes, probe_t, i);

		if (probe.sequence != event->sequence || probe.target != target)
			continue;
		g_array_remove_index_fast(membership->probes, i);
		doubt_end(membership);
		if (probe.asker)
			message_add(membership, actions, JH_MEMBERSHIP_ANSWER, probe.asker,
				    probe.asker_sequence, probe.target);
		return;
	}
}

static void list_take_vm(jh_membership_t *membership, const jh_vm_t *vm, int64_t now_us)
{
	const jh_vm_update_t news = {
		.name = g_intern_string(vm->name),
		.dc = g_intern_string(vm->dc),
		.host = g_intern_string(vm->host),
		.port = vm->port,
		.state = JH_VM_LIVE,
	};
	record_t *record = record_find(membership, news.name);
	bool departing = vm->state == JH_VM_DEPARTING;

	if (!record) {
		record = record_add(membership, &news);
		record->changed_us = now_us;
		membership->changed = true;
		membership->targets_stale = true;
	} else if (record->news.incarnation == 0 && news_is_moved(&news, record)) {
		/* Never heard from: the list is all that is known of it, so it starts anew. */
		record->news = news;
		record_touch(membership, record, now_us);
	}
	membership->changed |= departing != record->listed_departing;
	record->listed = true;
	record->listed_departing = departing;
}

static void decide_listed(jh_membership_t *membership, const GPtrArray *list, int64_t now_us)
{
	GHashTableIter iter;
	gpointer value;
	unsigned i;

	g_hash_table_iter_init(&iter, membership->records);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((record_t *)value)->listed = false;
	for (i = 0; i < list->len; i++)
		list_take_vm(membership, g_ptr_array_index(list, i), now_us);
}

static void decide_drained(jh_membership_t *membership, int64_t now_us, GArray *actions)
{
	record_t *self = record_self(membership);

	self->departing = true;
	self->news.incarnation++;
	record_set_state(membership, self, JH_VM_DEPARTING, now_us);
	targets_choose(membership);
	news_flush(membership, actions);
}

static void signal_add(GArray *actions, jh_membership_action_type_t type, bool *flag)
{
	jh_membership_action_t action = { .type = type };

	if (*flag)
		g_array_append_val(actions, action);
	*flag = false;
}

void jh_membership_decide(jh_membership_t *membership, const jh_membership_event_t *event,
			  int64_t now_us, uint64_t random, GArray *actions)
{
	g_array_set_size(actions, 0);
	switch (event->type) {
	case JH_MEMBERSHIP_TICK:
		decide_tick(membership, now_us, random, actions);
		break;
	case JH_MEMBERSHIP_PROBED:
		decide_probed(membership, event, now_us, actions);
		break;
	case JH_MEMBERSHIP_ANSWERED:
		decide_answered(membership, event, now_us, actions);
		break;
	case JH_MEMBERSHIP_LISTED:
		decide_listed(membership, event->list, now_us);
		break;
	case JH_MEMBERSHIP_DRAINED:
		decide_drained(membership, now_us, actions);
		break;
	}
	signal_add(actions, JH_MEMBERSHIP_REFUTED, &membership->refuted);
	signal_add(actions, JH_MEMBERSHIP_CHANGED, &membership->changed);
}

/* ---- views ---- */

static jh_vm_state_t record_view_state(const jh_membership_t *membership, const record_t *record)
{
	bool is_self = record->news.name == membership->self;

	if (record->news.state == JH_VM_DEAD)
		return JH_VM_DEAD;
	if (is_self && membership->doubt_until_us)
		return JH_VM_SUSPECT;
	return record->departing || record->listed_departing ? JH_VM_DEPARTING : JH_VM_LIVE;
}

static gint vm_compare(gconstpointer a, gconstpointer b)
{
	const jh_vm_t *const *left = a;
	const jh_vm_t *const *right = b;

	return strcmp((*left)->name, (*right)->name);
}

GPtrArray *jh_membership_view(const jh_membership_t *membership)
{
	GPtrArray *view = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, membership->records);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const record_t *record = value;
		jh_vm_t *vm = g_new0(jh_vm_t, 1);

		vm->name = g_strdup(record->news.name);
		vm->dc = g_strdup(record->news.dc);
		vm->host = g_strdup(record->news.host);
		vm->port = record->news.port;
		vm->state = record_view_state(membership, record);
		g_ptr_array_add(view, vm);
	}
	g_ptr_array_sort(view, vm_compare);
	return view;
}

jh_vm_state_t jh_membership_state(const jh_membership_t *membership, const char *name)
{
	const record_t *record = record_find(membership, g_intern_string(name));

	return record ? record->news.state : JH_VM_DEAD;
}

/* ---- life ---- */

jh_membership_t *jh_membership_new(const jh_vm_t *self)
{
	jh_membership_t *membership = g_new0(jh_membership_t, 1);
	const jh_vm_update_t news = {
		.name = g_intern_string(self->name),
		.dc = g_intern_string(self->dc),
		.host = g_intern_string(self->host),
		.port = self->port,
		.state = JH_VM_LIVE,
		.incarnation = 1,
	};

	membership->self = news.name;
	membership->records = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	membership->targets = g_ptr_array_new();
	membership->probes = g_array_new(FALSE, FALSE, sizeof(probe_t));
	membership->changed = true;
	record_add(membership, &news)->sends = SENDS;
	return membership;
}

void jh_membership_free(jh_membership_t *membership)
{
	if (!membership)
		return;
	g_hash_table_destroy(membership->records);
	g_ptr_array_free(membership->targets, TRUE);
	g_array_free(membership->probes, TRUE);
	g_free(membership);
}
