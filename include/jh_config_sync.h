#ifndef JH_CONFIG_SYNC_H
#define JH_CONFIG_SYNC_H

#include "jh_view.h"

/**
 * DOC: Spread of configuration versions
 *
 * Decides when to poll the platform, whom to tell of a version and whom to ask for its tables, so
 * that a new version is in force everywhere within seconds while the platform serves few reads.
 * Pure: time and random numbers come in as parameters. See docs/internals/configuration.md.
 */

/** JH_CONFIG_AGE_NEVER - age of a configuration that was never confirmed */
#define JH_CONFIG_AGE_NEVER INT64_MAX

typedef struct jh_config_sync jh_config_sync_t;

/** enum jh_config_sync_kind - what the daemon shall do */
typedef enum jh_config_sync_kind {
	/** @JH_CONFIG_SYNC_POLL: read the platform's row; report by jh_config_sync_on_poll() */
	JH_CONFIG_SYNC_POLL,
	/** @JH_CONFIG_SYNC_ANNOUNCE: send version and age to @vm; it answers in kind */
	JH_CONFIG_SYNC_ANNOUNCE,
	/** @JH_CONFIG_SYNC_REPLY: the same, as the answer */
	JH_CONFIG_SYNC_REPLY,
	/** @JH_CONFIG_SYNC_FETCH: ask @vm for the tables */
	JH_CONFIG_SYNC_FETCH,
} jh_config_sync_kind_t;

/** struct jh_config_sync_action - one step; @vm is interned, NULL for a poll */
typedef struct jh_config_sync_action {
	jh_config_sync_kind_t kind;
	const char *vm;
} jh_config_sync_action_t;

/** struct jh_config_announcement - a version told by a peer */
typedef struct jh_config_announcement {
	const char *from;
	uint64_t version;
	int64_t age_us;
	bool is_reply;
} jh_config_announcement_t;

/** jh_config_sync_new() - state of the daemon on VM @self, without a version. Return: new */
jh_config_sync_t *jh_config_sync_new(const char *self);

/** jh_config_sync_free() - free the state */
void jh_config_sync_free(jh_config_sync_t *sync);

/** jh_config_sync_set_vms() - choose pollers and neighbours among @vms (array of jh_vm_t *) */
void jh_config_sync_set_vms(jh_config_sync_t *sync, const GPtrArray *vms);

/**
 * jh_config_sync_on_tick() - time went on; call a few times a second
 * @sync: the state
 * @now_us: monotonic time
 * @random: spreads the polls of many daemons
 * @actions: array of jh_config_sync_action_t, appended to
 */
void jh_config_sync_on_tick(jh_config_sync_t *sync, int64_t now_us, uint32_t random,
			    GArray *actions);

/**
 * jh_config_sync_on_poll() - a poll ended
 * @sync: the state
 * @version: version of the platform's row, 0 if it could not be read
 */
void jh_config_sync_on_poll(jh_config_sync_t *sync, uint64_t version);

/** jh_config_sync_on_announcement() - a peer told its version */
void jh_config_sync_on_announcement(jh_config_sync_t *sync, const jh_config_announcement_t *news,
				    int64_t now_us, GArray *actions);

/** jh_config_sync_on_applied() - @version came into force; tells all neighbours */
void jh_config_sync_on_applied(jh_config_sync_t *sync, uint64_t version, GArray *actions);

/** jh_config_sync_version() - version in force, 0 if none */
uint64_t jh_config_sync_version(const jh_config_sync_t *sync);

/** jh_config_sync_age_us() - every change accepted longer ago than this is in force here */
int64_t jh_config_sync_age_us(const jh_config_sync_t *sync, int64_t now_us);

/** jh_config_sync_is_poller() - true if this daemon polls every second */
bool jh_config_sync_is_poller(const jh_config_sync_t *sync);

/**
 * struct jh_config_peer - a neighbour as last heard
 * @name: interned
 * @version: that it had in force, 0 if it was never heard
 * @heard_us: when, 0 if never
 */
typedef struct jh_config_peer {
	const char *name;
	uint64_t version;
	int64_t heard_us;
} jh_config_peer_t;

/** jh_config_sync_peer() - neighbour number @index. Return: borrowed, NULL past the last */
const jh_config_peer_t *jh_config_sync_peer(const jh_config_sync_t *sync, unsigned index);

/** jh_config_sync_count_reachable() - neighbours heard of lately; @total: all neighbours */
unsigned jh_config_sync_count_reachable(const jh_config_sync_t *sync, int64_t now_us,
					unsigned *total);

/**
 * jh_config_sync_is_isolated() - this daemon may have missed a change
 *
 * True if the version in force was not confirmed for some seconds and fewer than half of the
 * neighbours are heard. In an outage of the platform alone the neighbours are heard, and no
 * change can be made that this daemon could miss.
 */
bool jh_config_sync_is_isolated(const jh_config_sync_t *sync, int64_t now_us);

#endif
