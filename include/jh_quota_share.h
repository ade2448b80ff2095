#ifndef JH_QUOTA_SHARE_H
#define JH_QUOTA_SHARE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: Shares of the teams' rates
 *
 * Which VM owns how many slots of every rate stands in one row of the platform's table, changed
 * by compare-and-set. A slot leaves its owner only by the owner's own write, after it stopped to
 * use the slot, or once the platform no longer lists the owner's VM. Pure: the caller reads and
 * writes the row.
 */

/** JH_QUOTA_SLOTS - slots of a rate */
#define JH_QUOTA_SLOTS 840u

/**
 * struct jh_quota_owner - one VM in the row
 * @vm: its name; owned
 * @boot: life that uses the slots, 0 while none has claimed them
 * @slots: how many
 */
typedef struct jh_quota_owner {
	char *vm;
	uint64_t boot;
	unsigned slots;
} jh_quota_owner_t;

/**
 * struct jh_quota_row - the row
 * @owners: array of jh_quota_owner_t *; slots that no one owns are free
 */
typedef struct jh_quota_row {
	GPtrArray *owners;
} jh_quota_row_t;

jh_quota_row_t *jh_quota_row_new(void);
jh_quota_row_t *jh_quota_row_copy(const jh_quota_row_t *row);
void jh_quota_row_free(jh_quota_row_t *row);

/** jh_quota_row_add() - add an owner. Return: false if there would be too many slots */
bool jh_quota_row_add(jh_quota_row_t *row, const char *vm, uint64_t boot, unsigned slots);

/** jh_quota_row_find() - Return: borrowed, NULL if @vm owns nothing */
jh_quota_owner_t *jh_quota_row_find(const jh_quota_row_t *row, const char *vm);

/** jh_quota_row_free_slots() - slots that no one owns */
unsigned jh_quota_row_free_slots(const jh_quota_row_t *row);

typedef struct jh_quota_share jh_quota_share_t;

/** enum jh_quota_share_need - what the caller should do next */
typedef enum jh_quota_share_need {
	JH_QUOTA_SHARE_NOTHING,
	/** @JH_QUOTA_SHARE_READ: read the row */
	JH_QUOTA_SHARE_READ,
	/** @JH_QUOTA_SHARE_WRITE: write the row over the version given */
	JH_QUOTA_SHARE_WRITE,
} jh_quota_share_need_t;

/**
 * jh_quota_share_new() - share of VM @vm in its life @boot
 * @lease_wait_us: after slots are no longer used, how long loans from them may run
 */
jh_quota_share_t *jh_quota_share_new(const char *vm, uint64_t boot, int64_t lease_wait_us);
void jh_quota_share_free(jh_quota_share_t *share);

/** jh_quota_share_set_live() - names of the VMs that should own slots; this one may be missing */
void jh_quota_share_set_live(jh_quota_share_t *share, const GPtrArray *names);

/** jh_quota_share_set_assigner() - this VM gives free slots to those that have the fewest */
void jh_quota_share_set_assigner(jh_quota_share_t *share, bool is_assigner);

/** jh_quota_share_set_unlisted() - names of owners that the platform no longer lists */
void jh_quota_share_set_unlisted(jh_quota_share_t *share, const GPtrArray *names);

/**
 * jh_quota_share_on_row() - the row was read, or written
 * @version: its version; lower ones than known are ignored
 * @row: taken over; NULL if there is no row
 */
void jh_quota_share_on_row(jh_quota_share_t *share, uint64_t version, jh_quota_row_t *row);

/**
 * jh_quota_share_decide() - what to do now
 * @version: JH_QUOTA_SHARE_WRITE: version to replace, 0 to create
 * @row: JH_QUOTA_SHARE_WRITE: what to write, new
 *
 * After a write whose outcome is not known, read the row and call again: the same write follows
 * until the row's version shows that it is decided.
 */
jh_quota_share_need_t jh_quota_share_decide(jh_quota_share_t *share, int64_t now_us,
					    uint64_t *version, jh_quota_row_t **row);

/** jh_quota_share_slots() - slots that this VM may use now */
unsigned jh_quota_share_slots(const jh_quota_share_t *share);

/** jh_quota_share_is_released() - nothing is owned or being given up */
bool jh_quota_share_is_released(const jh_quota_share_t *share);

/** jh_quota_share_row() - the row as last known. Return: borrowed, NULL if unknown */
const jh_quota_row_t *jh_quota_share_row(const jh_quota_share_t *share);

#endif
