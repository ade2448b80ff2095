#ifndef JH_MIRROR_H
#define JH_MIRROR_H

#include "jh_kernel.h"

/**
 * DOC: The mirror
 *
 * A copy of the store's small tables on every VM. Feeds keep it current; where the store does not
 * answer, the other VMs' mirrors do. The mirror may be relied on ("authority") for JH_LEASE_US
 * after a moment at which the store, or a majority of the VMs, knew of nothing newer. Who changes
 * a primary waits until a majority knows of the change and all others' authority has run out.
 */

/** JH_LEASE_US - how long a confirmation lasts; bounds the gap when a VM is silent as well */
#define JH_LEASE_US (1200 * INT64_C(1000))

/** JH_LEASE_MARGIN_US - time that a statement sent at the lease's end may take to the member */
#define JH_LEASE_MARGIN_US (200 * INT64_C(1000))

/** JH_ISOLATED_US - a VM that had no authority for this long uses no quota any more */
#define JH_ISOLATED_US (3 * INT64_C(1000000))

/** JH_VM_REMOVE_US - a VM that is dead for this long loses what it owned; its lease is over too */
#define JH_VM_REMOVE_US (JH_ISOLATED_US + JH_LEASE_US + 1000 * INT64_C(1000))

typedef enum jh_mirror_table {
	/** @JH_MIRROR_CONFIG: the operators' configuration, one row "config" */
	JH_MIRROR_CONFIG,
	/** @JH_MIRROR_MEMBERS: a row a database */
	JH_MIRROR_MEMBERS,
	/** @JH_MIRROR_FLEET: rows "vm/NAME", "group/NAME", "lead" and of other modules' tables */
	JH_MIRROR_FLEET,
	JH_MIRROR_TABLES,
} jh_mirror_table_t;

/** jh_mirror_table_name() - the product's name of a table of the store */
const char *jh_mirror_table_name(jh_mirror_table_t table);

/**
 * struct jh_row_msg - body of JH_MSG_ROW
 * @table: where
 * @name: of the row; owned
 * @version: of the change
 * @body: NULL if the row was dropped; owned
 */
typedef struct jh_row_msg {
	jh_mirror_table_t table;
	char *name;
	uint64_t version;
	GBytes *body;
} jh_row_msg_t;

/**
 * struct jh_mirror_lease_msg - body of JH_MSG_MIRROR_LEASE
 * @until_us: boot time, microseconds, until which the mirror may be relied on
 * @is_complete: every table was read, so that what is missing does not exist
 */
typedef struct jh_mirror_lease_msg {
	int64_t until_us;
	bool is_complete;
} jh_mirror_lease_msg_t;

/** struct jh_vm_version_msg - body of JH_MSG_VM_VERSION; @version: of the fleet's table */
typedef struct jh_vm_version_msg {
	const char *vm;
	uint64_t version;
} jh_vm_version_msg_t;

/** jh_boot_time_us() - CLOCK_BOOTTIME, which goes on while the VM is suspended */
int64_t jh_boot_time_us(void);

/* ---- authority: pure ---- */

typedef struct jh_authority jh_authority_t;

jh_authority_t *jh_mirror_lease_new(void);
void jh_mirror_lease_free(jh_authority_t *authority);

/** jh_mirror_lease_on_store_read() - the store answered a read of everything that was sent at
 * @sent_us */
void jh_mirror_lease_on_store_read(jh_authority_t *authority, int64_t sent_us);

/** jh_mirror_lease_on_vm_ack() - @vm knew of nothing newer at some time after @asked_us */
void jh_mirror_lease_on_vm_ack(jh_authority_t *authority, const char *vm, int64_t asked_us);

/**
 * jh_mirror_lease_on_peer_lease() - a VM that has authority until then knew of nothing newer
 *
 * Who knows as much may rely on it as long as that VM may: if that VM does not know of a change,
 * its authority ends before the change goes on.
 */
void jh_mirror_lease_on_peer_lease(jh_authority_t *authority, int64_t until_us);

/**
 * jh_mirror_lease_expiry_us() - when the newest confirmation runs out
 * @council: names of the council; this VM counts as confirming if it belongs to it
 */
int64_t jh_mirror_lease_expiry_us(const jh_authority_t *authority, const GPtrArray *council,
				  const char *self);

/**
 * JH_VOTERS_MAX - VMs whose majority confirms; of a larger fleet, some
 *
 * Even, so that the majorities of two views which differ in one VM still meet.
 */
#define JH_VOTERS_MAX 14u

/** jh_voters_pick() - leave the council of all listed VMs' names in @names, the rest is freed */
void jh_voters_pick(GPtrArray *names);

/** jh_majority_of() - least number of VMs of @count any two of whose sets meet */
unsigned jh_majority_of(unsigned count);

#endif
