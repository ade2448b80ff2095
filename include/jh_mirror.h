#ifndef JH_MIRROR_H
#define JH_MIRROR_H

#include "jh_kernel.h"
#include "jh_voters.h"

/**
 * DOC: The mirror and its lease (fleet profile)
 *
 * The mirror is this VM's full local copy of the store's small tables. Feeds of the store keep it
 * current; while the store does not respond, the mirrors of other VMs do. A VM may act on the rows
 * in its mirror, above all use a primary that they name, while it holds a mirror lease: the lease
 * is valid for JH_LEASE_US after a moment at which the store, or a quorum of the voters, knew no
 * newer row. The leader, which changes primaries, waits until every VM has applied the change, or
 * until a quorum has applied it and the lease of every other VM has expired.
 */

/**
 * JH_LEASE_US - microseconds that a mirror lease lasts
 *
 * It counts from when the request was sent whose reply renewed the lease. Together with
 * JH_LEASE_MARGIN_US it bounds how long a change of primary waits for a VM that does not respond.
 */
#define JH_LEASE_US (1200 * INT64_C(1000))

/** JH_SYNC_INTERVAL_US - time between two rounds of requests to other VMs that renew the lease */
#define JH_SYNC_INTERVAL_US (300 * INT64_C(1000))

/**
 * JH_LEASE_MARGIN_US - time that a statement may take to reach the member, if it is sent just
 * before the lease expires
 */
#define JH_LEASE_MARGIN_US (200 * INT64_C(1000))

/**
 * JH_QUORUM_WITHOUT_STORE_US - a quorum renews leases for at most this long after the newest read
 *of the store that one of its VMs knows of, microseconds
 *
 * A change of primary that a majority of the voters does not acknowledge, because they are lost or
 * cut off, waits for this time. In normal operation the newest read is at most 1.5 s old.
 */
#define JH_QUORUM_WITHOUT_STORE_US (2000 * INT64_C(1000))

/**
 * JH_BROAD_QUORUM_WITHOUT_STORE_US - the same for a broad quorum, see jh_broad_quorum_size()
 *
 * Service at primaries ends if the store is away for longer. Without a blocking set of the voters a
 * change of primary waits for this time.
 */
#define JH_BROAD_QUORUM_WITHOUT_STORE_US (30 * INT64_C(1000000))

/**
 * JH_CONFIG_BOUND_MARGIN_US - a VM that lacks a newer configuration stops using its own this long
 * before the setting --config-bound has passed, or half of the setting if that is shorter
 *
 * It covers the time before the first VM has read that configuration from the store.
 */
#define JH_CONFIG_BOUND_MARGIN_US (1000 * INT64_C(1000))

/**
 * JH_ISOLATED_US - a VM that has had no valid lease for this long is isolated and uses no quota
 *
 * Not the isolation of the postgresql profile, see jh_config_sync_is_isolated().
 */
#define JH_ISOLATED_US (3 * INT64_C(1000000))

/**
 * JH_VM_REMOVE_US - the leader removes a VM from the VM list once it has been dead for this long
 *
 * The other VMs then own its share of the quota. By that time its lease has expired and the VM, if
 * it still runs, has stopped using quota.
 */
#define JH_VM_REMOVE_US (JH_ISOLATED_US + JH_LEASE_US + 1000 * INT64_C(1000))

/** enum jh_mirror_table - tables of the store that the mirror contains */
typedef enum jh_mirror_table {
	/** @JH_MIRROR_CONFIG: the operators' configuration, row "config", and drains of dcs */
	JH_MIRROR_CONFIG,
	/** @JH_MIRROR_MEMBERS: one row for each database */
	JH_MIRROR_MEMBERS,
	/**
	 * @JH_MIRROR_FLEET: rows "vm/NAME", "voters", "group/NAME", "lead"; "TABLE/NAME" of other
	 * modules
	 */
	JH_MIRROR_FLEET,
	/** @JH_MIRROR_TABLE_COUNT: number of tables */
	JH_MIRROR_TABLE_COUNT,
} jh_mirror_table_t;

/** JH_MIRROR_VM_PREFIX - prefix of the rows in the fleet's table that list the VMs */
#define JH_MIRROR_VM_PREFIX "vm/"

/** jh_mirror_table_name() - Return: static name of a table, for platform requests and logs */
const char *jh_mirror_table_name(jh_mirror_table_t table);

/**
 * struct jh_row_msg - body of JH_MSG_ROW, published for each row that was added, changed or deleted
 * @table: the row's table
 * @name: the row's name; owned
 * @version: of the change
 * @changed_after_us: a time of jh_boot_time_us() before the change; INT64_MIN if none is known
 * @body: NULL if the row was deleted; owned
 * @is_kept: the store was restored and lacks this body: a VM that has read the row in @version need
 *	not know it
 */
typedef struct jh_row_msg {
	jh_mirror_table_t table;
	char *name;
	uint64_t version;
	int64_t changed_after_us;
	GBytes *body;
	bool is_kept;
} jh_row_msg_t;

/**
 * struct jh_mirror_lease_msg - body of JH_MSG_MIRROR_LEASE, published when the lease is renewed,
 *and when the mirror falls behind with the configuration or catches up
 * @until_us: when the lease expires, microseconds of jh_boot_time_us()
 * @config_late_us: from then on the configuration that this VM has must not be used any more, since
 *	a newer one has been known for too long; 0 if none is known; microseconds of
 *	jh_boot_time_us()
 * @is_complete: every table was read completely, so a row that is missing does not exist
 */
typedef struct jh_mirror_lease_msg {
	int64_t until_us;
	int64_t config_late_us;
	bool is_complete;
} jh_mirror_lease_msg_t;

/**
 * JH_MIRROR_ERA_ROW - row of the fleet's table with the newest confirmed era of the store
 *
 * A store that was restored from an older copy may lack changes of primary that VMs have acted on.
 * Its era is confirmed once these are in the store again. Until then a read of the store proves
 * nothing to a VM that does not know them. The copy has this row with an earlier era, so that it
 * says by itself that the restored store's era is not confirmed.
 */
#define JH_MIRROR_ERA_ROW "era"

/** jh_mirror_era_format() - format the body of that row. Return: new text; free with g_free() */
char *jh_mirror_era_format(uint64_t era);

/**
 * struct jh_mirror_era_msg - body of JH_MSG_MIRROR_ERA, published once the mirror has read every
 *	table, and when something in it changes
 * @era: era of the store
 * @is_confirmed: the store has every change of primary of earlier eras
 */
typedef struct jh_mirror_era_msg {
	uint64_t era;
	bool is_confirmed;
} jh_mirror_era_msg_t;

/**
 * struct jh_vm_version_msg - body of JH_MSG_VM_VERSION, published when another VM reports a
 *version, and when this VM reaches one
 * @vm: name of that VM; interned
 * @version: that VM has applied every change of the fleet's table up to this; 0 before it read it
 */
typedef struct jh_vm_version_msg {
	const char *vm;
	uint64_t version;
} jh_vm_version_msg_t;

/** jh_boot_time_us() - Return: microseconds of CLOCK_BOOTTIME, which counts suspended time too */
int64_t jh_boot_time_us(void);

/**
 * struct jh_mirror_lease - reads and acknowledgements from which the lease's expiry is computed
 *
 * The functions below keep no clock and send nothing; all times are microseconds of
 * jh_boot_time_us() on this VM.
 */
typedef struct jh_mirror_lease jh_mirror_lease_t;

/** jh_mirror_lease_new() - Return: new lease, not yet valid; free with jh_mirror_lease_free() */
jh_mirror_lease_t *jh_mirror_lease_new(void);
void jh_mirror_lease_free(jh_mirror_lease_t *lease);

/**
 * jh_mirror_lease_forget() - forget all reads and acknowledgements, because the store was restored
 */
void jh_mirror_lease_forget(jh_mirror_lease_t *lease);

/**
 * jh_mirror_lease_count_self() - set whether this VM counts towards its own quorum
 *
 * It does by default. A VM that has just started does not: its earlier instance may have
 * acknowledged a change that the VM does not know any more.
 */
void jh_mirror_lease_count_self(jh_mirror_lease_t *lease, bool counts_self);

/**
 * jh_mirror_lease_on_store_read() - the store replied to a read of the whole fleet's table
 * @sent_us: when that read was sent
 *
 * Call it after the rows were applied to the mirror, and only if the store's era is confirmed.
 */
void jh_mirror_lease_on_store_read(jh_mirror_lease_t *lease, int64_t sent_us);

/**
 * jh_mirror_lease_on_vm_ack() - a VM acknowledged that it knew no row newer than this mirror's
 * @vm: name of that VM; copied
 * @requested_us: when the request was sent to which the VM replied
 */
void jh_mirror_lease_on_vm_ack(jh_mirror_lease_t *lease, const char *vm, int64_t requested_us);

/**
 * jh_mirror_lease_on_peer_lease() - a VM with a valid lease knew no row newer than this mirror's
 * @until_us: when that VM's lease expires
 *
 * This VM may share that lease. If the other VM has not applied a change of primary, the change
 * waits until the other VM's lease has expired, and this VM's shared lease expires with it.
 */
void jh_mirror_lease_on_peer_lease(jh_mirror_lease_t *lease, int64_t until_us);

/**
 * jh_mirror_lease_on_verified() - note the newest read of the store that this VM knows of
 * @verified_us: every change that the store acknowledged before this time is in this mirror
 */
void jh_mirror_lease_on_verified(jh_mirror_lease_t *lease, int64_t verified_us);

/**
 * jh_mirror_lease_needs_store() - true if the lease ends so soon that it must be renewed by a read
 *	of the store, because the last round of requests to other VMs did not renew it
 * @expiry_us: time until which the lease is valid
 * @now_us: current time
 */
bool jh_mirror_lease_needs_store(int64_t expiry_us, int64_t now_us);

/**
 * jh_mirror_lease_expiry_us() - time until which the lease is valid
 * @voters: acknowledgements of other VMs do not count
 * @self: name of this VM, which counts towards the quorum if it is a voter, see
 *	jh_mirror_lease_count_self()
 *
 * The latest of three times: JH_LEASE_US after the last read of the store, JH_LEASE_US after the
 * newest request that a quorum has acknowledged, and the expiry of a lease that is shared. A
 * quorum's acknowledgements count until JH_QUORUM_WITHOUT_STORE_US after the time that
 * jh_mirror_lease_on_verified() noted last, those of a broad quorum until
 * JH_BROAD_QUORUM_WITHOUT_STORE_US after it.
 *
 * Return: that time, or INT64_MIN if the lease was never valid
 */
int64_t jh_mirror_lease_expiry_us(const jh_mirror_lease_t *lease, const jh_voters_t *voters,
				  const char *self);

/**
 * jh_mirror_lease_source() - name what gave the lease an expiry, for logs
 * @expiry_us: as jh_mirror_lease_expiry_us() returned it
 *
 * Return: static text: "store" for a read of the store, "quorum" for acknowledgements of a quorum,
 *	"shared" for another VM's lease
 */
const char *jh_mirror_lease_source(const jh_mirror_lease_t *lease, int64_t expiry_us);

#endif
