#ifndef JH_CONFIG_SYNC_H
#define JH_CONFIG_SYNC_H

#include "jh_view.h"

/**
 * DOC: Spread of configuration versions
 *
 * Decides when a daemon polls the platform's configuration row, to which VMs it announces its
 * version, and from which VM it fetches newer tables. A new version is in force everywhere within
 * seconds, while only a few daemons poll the platform often. The module does no input or output;
 * time and random numbers are parameters. Times are microseconds of the daemon's monotonic clock.
 * See docs/internals/configuration.md.
 */

/** JH_CONFIG_AGE_UNCONFIRMED - age, in microseconds, of a version that was never confirmed */
#define JH_CONFIG_AGE_UNCONFIRMED INT64_MAX

typedef struct jh_config_sync jh_config_sync_t;

/** enum jh_config_sync_kind - what the configuration task has to do */
typedef enum jh_config_sync_kind {
	/** @JH_CONFIG_SYNC_POLL: read the platform's row, then call jh_config_sync_on_poll() */
	JH_CONFIG_SYNC_POLL,
	/** @JH_CONFIG_SYNC_ANNOUNCE: send version and age to @vm, which replies with its own */
	JH_CONFIG_SYNC_ANNOUNCE,
	/** @JH_CONFIG_SYNC_REPLY: send version and age to @vm as the reply to its announcement */
	JH_CONFIG_SYNC_REPLY,
	/** @JH_CONFIG_SYNC_FETCH: request the tables from @vm */
	JH_CONFIG_SYNC_FETCH,
} jh_config_sync_kind_t;

/**
 * struct jh_config_sync_action - one action for the configuration task
 * @kind: what to do
 * @vm: the VM to send to, interned; NULL for a poll
 */
typedef struct jh_config_sync_action {
	jh_config_sync_kind_t kind;
	const char *vm;
} jh_config_sync_action_t;

/**
 * struct jh_config_announcement - announcement received from a peer
 * @from: name of the peer, borrowed
 * @version: version in force there, 0 if none
 * @age_us: jh_config_sync_age_us() of the peer when it sent the announcement
 * @is_reply: it replies to an announcement of this daemon, so no reply is sent
 */
typedef struct jh_config_announcement {
	const char *from;
	uint64_t version;
	int64_t age_us;
	bool is_reply;
} jh_config_announcement_t;

/**
 * jh_config_sync_new() - create the state of the daemon on VM @self, without a version
 *
 * Until jh_config_sync_set_vms() is called, the daemon is a poller and has no neighbours.
 *
 * Return: new state; free with jh_config_sync_free()
 */
jh_config_sync_t *jh_config_sync_new(const char *self);

/** jh_config_sync_free() - free the state; NULL is allowed */
void jh_config_sync_free(jh_config_sync_t *sync);

/**
 * jh_config_sync_set_vms() - choose the neighbours again, and whether this daemon is a poller
 * @sync: the state
 * @vms: all VMs of the fleet, array of jh_vm_t *, borrowed for the call
 *
 * A neighbour that is chosen again keeps its last known version and time.
 */
void jh_config_sync_set_vms(jh_config_sync_t *sync, const GPtrArray *vms);

/**
 * jh_config_sync_on_tick() - poll and announce if it is time; call a few times per second
 * @sync: the state
 * @now_us: monotonic time, microseconds
 * @random: random number; spreads the polls of many daemons over time
 * @actions: array of jh_config_sync_action_t, appended to
 */
void jh_config_sync_on_tick(jh_config_sync_t *sync, int64_t now_us, uint32_t random,
			    GArray *actions);

/**
 * jh_config_sync_on_poll() - a poll has ended; the next one may be sent
 * @sync: the state
 * @version: version of the platform's row, 0 if it could not be read
 *
 * If the version is the one in force, it is confirmed as of the time when the poll was sent. A
 * newer version has no effect here: the task applies its tables and then calls
 * jh_config_sync_on_applied().
 */
void jh_config_sync_on_poll(jh_config_sync_t *sync, uint64_t version);

/**
 * jh_config_sync_on_announcement() - a peer announced its version
 * @sync: the state
 * @announcement: the announcement, borrowed for the call
 * @now_us: monotonic time, microseconds
 * @actions: array of jh_config_sync_action_t, appended to
 *
 * Fetches the tables if the peer's version is higher; otherwise the peer's age confirms the version
 * in force here. Replies unless the announcement is itself a reply. The peer need not be a
 * neighbour.
 */
void jh_config_sync_on_announcement(jh_config_sync_t *sync,
				    const jh_config_announcement_t *announcement, int64_t now_us,
				    GArray *actions);

/**
 * jh_config_sync_on_applied() - @version is in force here; announces it to all neighbours
 * @sync: the state
 * @version: must be higher than jh_config_sync_version(), else the call aborts the process
 * @actions: array of jh_config_sync_action_t, appended to
 */
void jh_config_sync_on_applied(jh_config_sync_t *sync, uint64_t version, GArray *actions);

/** jh_config_sync_version() - version in force here, 0 if none */
uint64_t jh_config_sync_version(const jh_config_sync_t *sync);

/**
 * jh_config_sync_age_us() - time since the version in force was last confirmed
 *
 * Every change that the platform accepted longer ago than this is in force here.
 *
 * Return: microseconds, JH_CONFIG_AGE_UNCONFIRMED if the version was never confirmed
 */
int64_t jh_config_sync_age_us(const jh_config_sync_t *sync, int64_t now_us);

/** jh_config_sync_is_poller() - true if this daemon polls the platform every second */
bool jh_config_sync_is_poller(const jh_config_sync_t *sync);

/**
 * struct jh_config_neighbour - last known state of a neighbour
 * @name: name of its VM, interned
 * @version: version in force there at @last_message_us, 0 if none or unknown
 * @last_message_us: monotonic time of its last announcement, microseconds; 0 if none arrived
 */
typedef struct jh_config_neighbour {
	const char *name;
	uint64_t version;
	int64_t last_message_us;
} jh_config_neighbour_t;

/**
 * jh_config_sync_neighbour() - neighbour number @index, counted from 0
 *
 * Return: borrowed, valid until the next jh_config_sync_set_vms(); NULL past the last neighbour
 */
const jh_config_neighbour_t *jh_config_sync_neighbour(const jh_config_sync_t *sync, unsigned index);

/**
 * jh_config_sync_count_reachable() - number of neighbours that announced a version in the last 8 s
 * @sync: the state
 * @now_us: monotonic time, microseconds
 * @total: set to the number of all neighbours
 */
unsigned jh_config_sync_count_reachable(const jh_config_sync_t *sync, int64_t now_us,
					unsigned *total);

/**
 * jh_config_sync_is_isolated() - true if this daemon may have missed a change
 *
 * This is so if the version in force was not confirmed for 8 s and fewer than half of the
 * neighbours are reachable. In an outage of the platform alone the neighbours stay reachable, and
 * no change can be made that this daemon could miss. Without a version, the result is false. The
 * fleet profile has another rule, see JH_ISOLATED_US.
 */
bool jh_config_sync_is_isolated(const jh_config_sync_t *sync, int64_t now_us);

#endif
