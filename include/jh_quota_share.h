#ifndef JH_QUOTA_SHARE_H
#define JH_QUOTA_SHARE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: Shares of the teams' rates
 *
 * Decides how many units of every team's rate each VM owns. The owners are recorded in one row of
 * the platform's table, which VMs change by compare-and-set. A unit leaves its owner only by the
 * owner's own write, after the owner has stopped using it, or once the platform no longer lists
 * the owner's VM. The functions do no I/O; the caller reads and writes the row.
 */

/** JH_QUOTA_SHARE_UNITS - number of units into which every team's rate is divided */
#define JH_QUOTA_SHARE_UNITS 840u

/**
 * struct jh_quota_owner - entry of one VM in the row
 * @vm: name of the VM; owned
 * @boot: boot id of the instance that uses the units, 0 until an instance has claimed them
 * @units: number of units
 */
typedef struct jh_quota_owner {
	char *vm;
	uint64_t boot;
	unsigned units;
} jh_quota_owner_t;

/**
 * struct jh_quota_row - the row of owners
 * @owners: array of jh_quota_owner_t *; units without an owner are unassigned
 */
typedef struct jh_quota_row {
	GPtrArray *owners;
} jh_quota_row_t;

/** jh_quota_row_new() - make a row without owners; free it with jh_quota_row_free() */
jh_quota_row_t *jh_quota_row_new(void);

/** jh_quota_row_copy() - Return: new deep copy */
jh_quota_row_t *jh_quota_row_copy(const jh_quota_row_t *row);

/** jh_quota_row_free() - free the row; NULL is ignored */
void jh_quota_row_free(jh_quota_row_t *row);

/**
 * jh_quota_row_add() - add an owner
 *
 * Return: false, and nothing added, if @vm is an owner already or too few units are unassigned
 */
bool jh_quota_row_add(jh_quota_row_t *row, const char *vm, uint64_t boot, unsigned units);

/** jh_quota_row_find() - Return: borrowed entry of @vm, NULL if it has none */
jh_quota_owner_t *jh_quota_row_find(const jh_quota_row_t *row, const char *vm);

/** jh_quota_row_count_unassigned() - Return: number of units without an owner */
unsigned jh_quota_row_count_unassigned(const jh_quota_row_t *row);

typedef struct jh_quota_share jh_quota_share_t;

/** enum jh_quota_share_need - what the caller must do next */
typedef enum jh_quota_share_need {
	/** @JH_QUOTA_SHARE_NOTHING: nothing */
	JH_QUOTA_SHARE_NOTHING,
	/** @JH_QUOTA_SHARE_READ: read the row */
	JH_QUOTA_SHARE_READ,
	/** @JH_QUOTA_SHARE_WRITE: replace the given version of the row */
	JH_QUOTA_SHARE_WRITE,
} jh_quota_share_need_t;

/**
 * jh_quota_share_new() - make the share of VM @vm in the instance with boot id @boot
 * @lease_wait_us: delay between the last use of units and the write that releases them; quota
 * leases of these units have expired by then
 */
jh_quota_share_t *jh_quota_share_new(const char *vm, uint64_t boot, int64_t lease_wait_us);

/** jh_quota_share_free() - free the share; NULL is not allowed */
void jh_quota_share_free(jh_quota_share_t *share);

/**
 * jh_quota_share_set_live() - set the names of the VMs that should own units; copied
 *
 * A VM that is not among @names releases all of its own units.
 */
void jh_quota_share_set_live(jh_quota_share_t *share, const GPtrArray *names);

/** jh_quota_share_set_assigner() - set whether this VM assigns units that have no owner */
void jh_quota_share_set_assigner(jh_quota_share_t *share, bool is_assigner);

/**
 * jh_quota_share_set_settled() - set whether the list of VMs is complete enough to create the row
 *
 * While a fleet starts for the first time, each VM knows few others and would take itself for the
 * assigner. The initial value is true.
 */
void jh_quota_share_set_settled(jh_quota_share_t *share, bool is_settled);

/** jh_quota_share_set_unlisted() - set the owners that the platform does not list; copied */
void jh_quota_share_set_unlisted(jh_quota_share_t *share, const GPtrArray *names);

/**
 * jh_quota_share_on_row() - the caller has read or written the row
 * @version: version of the row; ignored with @row unless it is higher than the last one
 * @row: takes ownership; NULL if there is no row
 */
void jh_quota_share_on_row(jh_quota_share_t *share, uint64_t version, jh_quota_row_t *row);

/**
 * jh_quota_share_on_fresh_row() - the last known row was current at some time after this instance
 *	of the VM started
 *
 * An earlier instance can have read no newer row. So its writes that are still on their way fail
 * once the row has a higher version than this, whichever VM wrote it, and this instance may use its
 * units from then on.
 */
void jh_quota_share_on_fresh_row(jh_quota_share_t *share);

/**
 * jh_quota_share_decide() - decide what the caller must do now
 * @version: JH_QUOTA_SHARE_WRITE: version to replace, 0 to create the row
 * @row: JH_QUOTA_SHARE_WRITE: new row to write, which the caller frees
 *
 * After a write with unknown outcome, read the row and call again. The same write is returned until
 * a higher version of the row shows that the write has taken effect or has failed.
 */
jh_quota_share_need_t jh_quota_share_decide(jh_quota_share_t *share, int64_t now_us,
					    uint64_t *version, jh_quota_row_t **row);

/** jh_quota_share_usable_units() - Return: number of units that this VM may use now */
unsigned jh_quota_share_usable_units(const jh_quota_share_t *share);

/** jh_quota_share_is_released() - Return: true if the last known row has no entry of this VM */
bool jh_quota_share_is_released(const jh_quota_share_t *share);

/** jh_quota_share_row() - Return: borrowed last known row, NULL if unknown or missing */
const jh_quota_row_t *jh_quota_share_row(const jh_quota_share_t *share);

#endif
