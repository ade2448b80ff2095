#include "jh_config_sync.h"

#include "jh_placement.h"

/*
 * In a fleet of at most this many VMs, all are pollers, which poll every POLLER_INTERVAL_US, and
 * neighbours of each other.
 */
#define SMALL_FLEET_MAX_VMS 12u

/* In a larger fleet: number of pollers in each data centre, and of neighbours of each daemon. */
#define POLLERS_PER_DC 3u
#define NEIGHBOURS_MAX 8u

#define POLLER_INTERVAL_US (1000 * 1000)

/*
 * Poll intervals of daemons that are not pollers: long while the version in force was confirmed
 * within UNCONFIRMED_AFTER_US, shorter otherwise.
 */
#define CONFIRMED_INTERVAL_US (30 * 1000 * 1000)
#define UNCONFIRMED_INTERVAL_US (5 * 1000 * 1000)
#define UNCONFIRMED_AFTER_US (6 * 1000 * 1000)

#define ANNOUNCE_INTERVAL_US (500 * 1000)

/*
 * Announcements go to the neighbours round robin, four per second. Each of the at most 11
 * neighbours receives one at least every 3 s, which is well within CONTACT_TIMEOUT_US.
 */
#define ANNOUNCEMENTS_PER_INTERVAL 2u

/*
 * Greatest age of the last announcement of a neighbour that counts as reachable. A daemon whose
 * version in force was confirmed within this time is not isolated.
 */
#define CONTACT_TIMEOUT_US (8 * 1000 * 1000)

/* Time after which the tables of a version are requested again if they have not arrived. */
#define FETCH_TIMEOUT_US (1000 * 1000)

/* Poll intervals vary by a quarter, so that daemons that start together do not poll together. */
#define JITTER_DIVISOR 4

struct jh_config_sync {
	const char *self;
	uint64_t version;
	bool was_confirmed;
	/* Every change that the platform accepted before this time is in force here. */
	int64_t confirmed_us;
	bool is_poller;
	bool poll_pending;
	int64_t poll_sent_us;
	int64_t poll_next_us;
	GArray *neighbours;
	/* Index of the neighbour that received the last announcement. */
	unsigned last_announced;
	int64_t announce_next_us;
	/* Time before which the tables up to @fetching_version are not requested again. */
	int64_t fetch_retry_us;
	uint64_t fetching_version;
};

jh_config_sync_t *jh_config_sync_new(const char *self)
{
	jh_config_sync_t *sync = g_new0(jh_config_sync_t, 1);

	sync->self = g_intern_string(self);
	sync->is_poller = true;
	sync->neighbours = g_array_new(FALSE, FALSE, sizeof(jh_config_neighbour_t));
	return sync;
}

void jh_config_sync_free(jh_config_sync_t *sync)
{
	if (!sync)
		return;
	g_array_free(sync->neighbours, TRUE);
	g_free(sync);
}

static jh_config_neighbour_t *neighbour_find(const jh_config_sync_t *sync, const char *name)
{
	unsigned i;

	for (i = 0; i < sync->neighbours->len; i++) {
		jh_config_neighbour_t *neighbour =
			&g_array_index(sync->neighbours, jh_config_neighbour_t, i);

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

/*
 * Copies the VMs that do not depart, all marked as live, so that a VM's state does not affect the
 * choice of neighbours. Otherwise an isolated daemon would keep as neighbours only the VMs that it
 * still reaches, and jh_config_sync_is_isolated() would not notice. The copies borrow the strings.
 */
static GPtrArray *vms_copy_as_live(const GPtrArray *vms)
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
	const jh_config_neighbour_t *previous = neighbour_find(sync, name);
	jh_config_neighbour_t neighbour = { .name = g_intern_string(name) };
	unsigned i;

	if (previous)
		neighbour = *previous;
	for (i = 0; i < neighbours->len; i++) {
		if (g_array_index(neighbours, jh_config_neighbour_t, i).name == neighbour.name)
			return;
	}
	if (neighbour.name != sync->self)
		g_array_append_val(neighbours, neighbour);
}

static GArray *neighbours_choose(const jh_config_sync_t *sync, const GPtrArray *vms)
{
	GArray *neighbours = g_array_new(FALSE, FALSE, sizeof(jh_config_neighbour_t));
	GPtrArray *candidates = vms_copy_as_live(vms);
	unsigned i;

	if (candidates->len <= SMALL_FLEET_MAX_VMS) {
		for (i = 0; i < candidates->len; i++) {
			const jh_vm_t *vm = g_ptr_array_index(candidates, i);

			neighbours_add(sync, neighbours, vm->name);
		}
	} else {
		for (i = 0; i < NEIGHBOURS_MAX; i++) {
			char *key = g_strdup_printf("config-neighbour:%s:%u", sync->self, i);

			neighbours_add(sync, neighbours,
				       jh_placement_choose(candidates, key, NULL)->name);
			g_free(key);
		}
	}
	g_ptr_array_free(candidates, TRUE);
	return neighbours;
}

static bool self_is_poller(const jh_config_sync_t *sync, const GPtrArray *vms)
{
	const jh_vm_t *self = jh_vm_find(vms, sync->self);
	unsigned i;

	if (vms->len <= SMALL_FLEET_MAX_VMS || !self)
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
	sync->is_poller = self_is_poller(sync, vms);
}

static int64_t poll_interval_us(const jh_config_sync_t *sync, int64_t now_us, uint32_t random)
{
	int64_t interval_us = UNCONFIRMED_INTERVAL_US;
	int64_t jitter_us;

	if (sync->is_poller)
		interval_us = POLLER_INTERVAL_US;
	else if (jh_config_sync_age_us(sync, now_us) < UNCONFIRMED_AFTER_US)
		interval_us = CONFIRMED_INTERVAL_US;
	jitter_us = interval_us / JITTER_DIVISOR;
	return interval_us - jitter_us / 2 + (int64_t)random % jitter_us;
}

/*
 * Brings the next poll forward if this daemon became a poller or its version is no longer
 * confirmed. The new time is random, so that not all daemons poll at the same moment.
 */
static void poll_bring_forward(jh_config_sync_t *sync, int64_t now_us, uint32_t random)
{
	int64_t latest_us =
		now_us + (sync->is_poller ? POLLER_INTERVAL_US : UNCONFIRMED_INTERVAL_US);

	if (sync->poll_next_us > latest_us &&
	    (sync->is_poller || jh_config_sync_age_us(sync, now_us) >= UNCONFIRMED_AFTER_US))
		sync->poll_next_us = now_us + random % UNCONFIRMED_INTERVAL_US;
}

void jh_config_sync_on_tick(jh_config_sync_t *sync, int64_t now_us, uint32_t random,
			    GArray *actions)
{
	unsigned i;

	poll_bring_forward(sync, now_us, random);
	if (!sync->poll_pending && now_us >= sync->poll_next_us) {
		sync->poll_pending = true;
		sync->poll_sent_us = now_us;
		sync->poll_next_us = now_us + poll_interval_us(sync, now_us, random);
		action_add(actions, JH_CONFIG_SYNC_POLL, NULL);
	}
	if (now_us < sync->announce_next_us)
		return;
	sync->announce_next_us = now_us + ANNOUNCE_INTERVAL_US;
	for (i = 0; i < MIN(ANNOUNCEMENTS_PER_INTERVAL, sync->neighbours->len); i++) {
		sync->last_announced = (sync->last_announced + 1) % sync->neighbours->len;
		action_add(
			actions, JH_CONFIG_SYNC_ANNOUNCE,
			g_array_index(sync->neighbours, jh_config_neighbour_t, sync->last_announced)
				.name);
	}
}

/* Records that every change accepted before @at_us is in force here. */
static void confirmed_time_advance(jh_config_sync_t *sync, int64_t at_us)
{
	if (!sync->was_confirmed || at_us > sync->confirmed_us)
		sync->confirmed_us = at_us;
	sync->was_confirmed = true;
}

void jh_config_sync_on_poll(jh_config_sync_t *sync, uint64_t version)
{
	sync->poll_pending = false;
	/* The row was read after the poll was sent, so all changes accepted before are in force. */
	if (version > 0 && version == sync->version)
		confirmed_time_advance(sync, sync->poll_sent_us);
}

static void tables_fetch(jh_config_sync_t *sync, const jh_config_announcement_t *announcement,
			 int64_t now_us, GArray *actions)
{
	if (now_us < sync->fetch_retry_us && sync->fetching_version >= announcement->version)
		return;
	sync->fetch_retry_us = now_us + FETCH_TIMEOUT_US;
	sync->fetching_version = announcement->version;
	action_add(actions, JH_CONFIG_SYNC_FETCH, g_intern_string(announcement->from));
}

void jh_config_sync_on_announcement(jh_config_sync_t *sync,
				    const jh_config_announcement_t *announcement, int64_t now_us,
				    GArray *actions)
{
	jh_config_neighbour_t *neighbour = neighbour_find(sync, announcement->from);

	if (neighbour) {
		neighbour->last_message_us = now_us;
		neighbour->version = announcement->version;
	}
	if (announcement->version > sync->version)
		tables_fetch(sync, announcement, now_us, actions);
	else if (announcement->version > 0 && announcement->age_us != JH_CONFIG_AGE_UNCONFIRMED)
		confirmed_time_advance(sync, now_us - announcement->age_us);
	if (!announcement->is_reply)
		action_add(actions, JH_CONFIG_SYNC_REPLY, g_intern_string(announcement->from));
}

void jh_config_sync_on_applied(jh_config_sync_t *sync, uint64_t version, GArray *actions)
{
	unsigned i;

	g_assert(version > sync->version);
	sync->version = version;
	for (i = 0; i < sync->neighbours->len; i++)
		action_add(actions, JH_CONFIG_SYNC_ANNOUNCE,
			   g_array_index(sync->neighbours, jh_config_neighbour_t, i).name);
}

uint64_t jh_config_sync_version(const jh_config_sync_t *sync)
{
	return sync->version;
}

int64_t jh_config_sync_age_us(const jh_config_sync_t *sync, int64_t now_us)
{
	return sync->was_confirmed ? MAX(now_us - sync->confirmed_us, 0) :
				     JH_CONFIG_AGE_UNCONFIRMED;
}

bool jh_config_sync_is_poller(const jh_config_sync_t *sync)
{
	return sync->is_poller;
}

const jh_config_neighbour_t *jh_config_sync_neighbour(const jh_config_sync_t *sync, unsigned index)
{
	if (index >= sync->neighbours->len)
		return NULL;
	return &g_array_index(sync->neighbours, jh_config_neighbour_t, index);
}

unsigned jh_config_sync_count_reachable(const jh_config_sync_t *sync, int64_t now_us,
					unsigned *total)
{
	unsigned reachable = 0;
	unsigned i;

	for (i = 0; i < sync->neighbours->len; i++) {
		const jh_config_neighbour_t *neighbour =
			&g_array_index(sync->neighbours, jh_config_neighbour_t, i);

		if (neighbour->last_message_us > 0 &&
		    now_us - neighbour->last_message_us <= CONTACT_TIMEOUT_US)
			reachable++;
	}
	*total = sync->neighbours->len;
	return reachable;
}

bool jh_config_sync_is_isolated(const jh_config_sync_t *sync, int64_t now_us)
{
	unsigned total = 0;
	unsigned reachable = jh_config_sync_count_reachable(sync, now_us, &total);

	if (sync->version == 0 || jh_config_sync_age_us(sync, now_us) < CONTACT_TIMEOUT_US)
		return false;
	/* This daemon counts itself: in a fleet of five, reaching two others is a majority. */
	return 2 * (reachable + 1) <= total + 1;
}
