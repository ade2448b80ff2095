#include "jh_config_sync.h"

#include "jh_placement.h"

/* Fleets of up to this many VMs all poll every second, and tell each other. */
#define SMALL_FLEET 12u

/* In larger fleets: pollers in each data centre, and neighbours of each daemon. */
#define POLLERS_PER_DC 3u
#define NEIGHBOURS 8u

#define POLLER_INTERVAL_US (1000 * 1000)
/* Polls of the others: rare while peers confirm the version, more often once they don't. */
#define FRESH_INTERVAL_US (30 * 1000 * 1000)
#define STALE_INTERVAL_US (5 * 1000 * 1000)
#define STALE_AFTER_US (6 * 1000 * 1000)

#define TELL_INTERVAL_US (500 * 1000)
/* Neighbours are told in turn, so each is due again after NEIGHBOURS / 2 seconds at most. */
#define TOLD_PER_INTERVAL 2u
#define HEARD_WITHIN_US (8 * 1000 * 1000)
#define ASK_TIMEOUT_US (1000 * 1000)

/* Intervals vary by a quarter, so that daemons that start together drift apart. */
#define JITTER_DIVISOR 4

struct jh_config_sync {
	const char *self;
	uint64_t version;
	/* Every change accepted before this time is in force here. */
	bool was_confirmed;
	int64_t confirmed_us;
	bool is_poller;
	bool poll_pending;
	int64_t poll_sent_us;
	int64_t poll_next_us;
	GArray *neighbours;
	unsigned turn;
	int64_t tell_next_us;
	int64_t ask_until_us;
	uint64_t asked_version;
};

/* ---- life ---- */

jh_config_sync_t *jh_config_sync_new(const char *self)
{
	jh_config_sync_t *sync = g_new0(jh_config_sync_t, 1);

	sync->self = g_intern_string(self);
	sync->is_poller = true;
	sync->neighbours = g_array_new(FALSE, FALSE, sizeof(jh_config_peer_t));
	return sync;
}

void jh_config_sync_free(jh_config_sync_t *sync)
{
	if (!sync)
		return;
	g_array_free(sync->neighbours, TRUE);
	g_free(sync);
}

static jh_config_peer_t *neighbour_find(const jh_config_sync_t *sync, const char *name)
{
	unsigned i;

	for (i = 0; i < sync->neighbours->len; i++) {
		jh_config_peer_t *neighbour = &g_array_index(sync->neighbours, jh_config_peer_t, i);

		if (g_str_equal(neighbour->name, name))
			return neighbour;
	}
	return NULL;
}

static void action_add(GArray *actions, jh_config_sync_kind_t kind, const char *vm)
{
	jh_config_sync_action_t action = { .kind = kind, .vm = vm };

	g_array_append_val(actions, action);
}

/* ---- choice of pollers and neighbours ---- */

/*
 * Neighbours are chosen without regard to what is believed of a VM. Otherwise a daemon that is
 * cut off would soon count only those that it still hears.
 */
static GPtrArray *vms_as_live(const GPtrArray *vms)
{
	GPtrArray *copies = g_ptr_array_new_with_free_func(g_free);
	unsigned i;

	for (i = 0; i < vms->len; i++) {
		const jh_vm_t *vm = g_ptr_array_index(vms, i);
		jh_vm_t *copy;

		if (vm->state == JH_VM_DEPARTING)
			continue;
		copy = g_new(jh_vm_t, 1);
		*copy = *vm;
		copy->state = JH_VM_LIVE;
		g_ptr_array_add(copies, copy);
	}
	return copies;
}

static void neighbours_add(const jh_config_sync_t *sync, GArray *neighbours, const char *name)
{
	const jh_config_peer_t *known = neighbour_find(sync, name);
	jh_config_peer_t neighbour = { .name = g_intern_string(name) };
	unsigned i;

	if (known)
		neighbour = *known;
	for (i = 0; i < neighbours->len; i++) {
		if (g_array_index(neighbours, jh_config_peer_t, i).name == neighbour.name)
			return;
	}
	if (neighbour.name != sync->self)
		g_array_append_val(neighbours, neighbour);
}

static GArray *neighbours_choose(const jh_config_sync_t *sync, const GPtrArray *vms)
{
	GArray *neighbours = g_array_new(FALSE, FALSE, sizeof(jh_config_peer_t));
	GPtrArray *live = vms_as_live(vms);
	unsigned i;

	if (live->len <= SMALL_FLEET) {
		for (i = 0; i < live->len; i++) {
			const jh_vm_t *vm = g_ptr_array_index(live, i);

			neighbours_add(sync, neighbours, vm->name);
		}
	} else {
		for (i = 0; i < NEIGHBOURS; i++) {
			char *key = g_strdup_printf("config-neighbour:%s:%u", sync->self, i);

			neighbours_add(sync, neighbours,
				       jh_placement_choose(live, key, NULL)->name);
			g_free(key);
		}
	}
	g_ptr_array_free(live, TRUE);
	return neighbours;
}

static bool poller_is_chosen(const jh_config_sync_t *sync, const GPtrArray *vms)
{
	const jh_vm_t *self = jh_vm_find(vms, sync->self);
	unsigned i;

	if (vms->len <= SMALL_FLEET || !self)
		return true;
	for (i = 0; i < POLLERS_PER_DC; i++) {
		char key[32];

		g_snprintf(key, sizeof(key), "config-poller:%u", i);
		if (jh_placement_choose(vms, key, self->dc) == self)
			return true;
	}
	return false;
}

void jh_config_sync_set_vms(jh_config_sync_t *sync, const GPtrArray *vms)
{
	GArray *neighbours = neighbours_choose(sync, vms);

	g_array_free(sync->neighbours, TRUE);
	sync->neighbours = neighbours;
	sync->is_poller = poller_is_chosen(sync, vms);
}

/* ---- time ---- */

static int64_t poll_interval(const jh_config_sync_t *sync, int64_t now_us, uint32_t random)
{
	int64_t interval = STALE_INTERVAL_US;
	int64_t jitter;

	if (sync->is_poller)
		interval = POLLER_INTERVAL_US;
	else if (jh_config_sync_age_us(sync, now_us) < STALE_AFTER_US)
		interval = FRESH_INTERVAL_US;
	jitter = interval / JITTER_DIVISOR;
	return interval - jitter / 2 + (int64_t)random % jitter;
}

/* A version that went stale shortens the wait, without all daemons polling at that moment. */
static void poll_bring_forward(jh_config_sync_t *sync, int64_t now_us, uint32_t random)
{
	int64_t limit_us = now_us + (sync->is_poller ? POLLER_INTERVAL_US : STALE_INTERVAL_US);

	if (sync->poll_next_us > limit_us &&
	    (sync->is_poller || jh_config_sync_age_us(sync, now_us) >= STALE_AFTER_US))
		sync->poll_next_us = now_us + random % STALE_INTERVAL_US;
}

void jh_config_sync_on_tick(jh_config_sync_t *sync, int64_t now_us, uint32_t random,
			    GArray *actions)
{
	unsigned i;

	poll_bring_forward(sync, now_us, random);
	if (!sync->poll_pending && now_us >= sync->poll_next_us) {
		sync->poll_pending = true;
		sync->poll_sent_us = now_us;
		sync->poll_next_us = now_us + poll_interval(sync, now_us, random);
		action_add(actions, JH_CONFIG_SYNC_POLL, NULL);
	}
	if (now_us < sync->tell_next_us)
		return;
	sync->tell_next_us = now_us + TELL_INTERVAL_US;
	for (i = 0; i < MIN(TOLD_PER_INTERVAL, sync->neighbours->len); i++) {
		sync->turn = (sync->turn + 1) % sync->neighbours->len;
		action_add(actions, JH_CONFIG_SYNC_ANNOUNCE,
			   g_array_index(sync->neighbours, jh_config_peer_t, sync->turn).name);
	}
}

/* ---- what is learned ---- */

static void confirm(jh_config_sync_t *sync, int64_t at_us)
{
	if (!sync->was_confirmed || at_us > sync->confirmed_us)
		sync->confirmed_us = at_us;
	sync->was_confirmed = true;
}

void jh_config_sync_on_poll(jh_config_sync_t *sync, uint64_t version)
{
	sync->poll_pending = false;
	/* The row was read some time after the poll was sent, so this is on the safe side. */
	if (version > 0 && version == sync->version)
		confirm(sync, sync->poll_sent_us);
}

static void ask_for_tables(jh_config_sync_t *sync, const jh_config_announcement_t *news,
			   int64_t now_us, GArray *actions)
{
	if (now_us < sync->ask_until_us && sync->asked_version >= news->version)
		return;
	sync->ask_until_us = now_us + ASK_TIMEOUT_US;
	sync->asked_version = news->version;
	action_add(actions, JH_CONFIG_SYNC_FETCH, g_intern_string(news->from));
}

void jh_config_sync_on_announcement(jh_config_sync_t *sync, const jh_config_announcement_t *news,
				    int64_t now_us, GArray *actions)
{
	jh_config_peer_t *neighbour = neighbour_find(sync, news->from);

	if (neighbour) {
		neighbour->heard_us = now_us;
		neighbour->version = news->version;
	}
	if (news->version > sync->version)
		ask_for_tables(sync, news, now_us, actions);
	else if (news->version > 0 && news->age_us != JH_CONFIG_AGE_NEVER)
		confirm(sync, now_us - news->age_us);
	if (!news->is_reply)
		action_add(actions, JH_CONFIG_SYNC_REPLY, g_intern_string(news->from));
}

void jh_config_sync_on_applied(jh_config_sync_t *sync, uint64_t version, GArray *actions)
{
	unsigned i;

	g_assert(version > sync->version);
	sync->version = version;
	for (i = 0; i < sync->neighbours->len; i++)
		action_add(actions, JH_CONFIG_SYNC_ANNOUNCE,
			   g_array_index(sync->neighbours, jh_config_peer_t, i).name);
}

/* ---- questions ---- */

uint64_t jh_config_sync_version(const jh_config_sync_t *sync)
{
	return sync->version;
}

int64_t jh_config_sync_age_us(const jh_config_sync_t *sync, int64_t now_us)
{
	return sync->was_confirmed ? MAX(now_us - sync->confirmed_us, 0) : JH_CONFIG_AGE_NEVER;
}

bool jh_config_sync_is_poller(const jh_config_sync_t *sync)
{
	return sync->is_poller;
}

const jh_config_peer_t *jh_config_sync_peer(const jh_config_sync_t *sync, unsigned index)
{
	if (index >= sync->neighbours->len)
		return NULL;
	return &g_array_index(sync->neighbours, jh_config_peer_t, index);
}

unsigned jh_config_sync_count_reachable(const jh_config_sync_t *sync, int64_t now_us,
					unsigned *total)
{
	unsigned heard = 0;
	unsigned i;

	for (i = 0; i < sync->neighbours->len; i++) {
		const jh_config_peer_t *neighbour =
			&g_array_index(sync->neighbours, jh_config_peer_t, i);

		if (neighbour->heard_us > 0 && now_us - neighbour->heard_us <= HEARD_WITHIN_US)
			heard++;
	}
	*total = sync->neighbours->len;
	return heard;
}

bool jh_config_sync_is_isolated(const jh_config_sync_t *sync, int64_t now_us)
{
	unsigned total = 0;
	unsigned heard = jh_config_sync_count_reachable(sync, now_us, &total);

	if (sync->version == 0 || jh_config_sync_age_us(sync, now_us) < HEARD_WITHIN_US)
		return false;
	/* This daemon counts itself, so that three of five heard each other are a majority. */
	return 2 * (heard + 1) <= total + 1;
}
