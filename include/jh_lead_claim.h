#ifndef JH_LEAD_CLAIM_H
#define JH_LEAD_CLAIM_H

#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: Who takes the lead
 *
 * One VM replaces primaries. Taking the role is safe at any time, since it is a compare-and-set
 * that voids what the holder has under way; but whoever takes it begins anew, so that VMs which
 * take it from each other get nothing done. Pure.
 */

/** JH_LEADER_STUCK_US - without a changed row for this long, the holder can't get on; no step
 * between two writes takes as long
 */
#define JH_LEADER_STUCK_US (4000 * INT64_C(1000))

typedef enum jh_leader_status {
	/** @JH_LEADER_NONE: the row names nobody */
	JH_LEADER_NONE,
	/** @JH_LEADER_EARLIER_SELF: this VM in an earlier life */
	JH_LEADER_EARLIER_SELF,
	JH_LEADER_LIVE,
	/** @JH_LEADER_DOWN: it drains, or is dead */
	JH_LEADER_DOWN,
	/** @JH_LEADER_NOT_LISTED: this VM has not heard of it, perhaps not yet */
	JH_LEADER_NOT_LISTED,
} jh_leader_status_t;

/**
 * struct jh_leader_view - what a VM that does not hold the lead knows
 * @holder: state of the VM that the row names
 * @not_listed_us: how long this VM has not heard of it
 * @is_first: this VM comes first among the live ones
 * @has_work: a primary is silent to this VM, leaving or being replaced
 * @no_progress_us: with work: how long no row has changed
 */
typedef struct jh_leader_view {
	jh_leader_status_t holder;
	int64_t not_listed_us;
	bool is_first;
	bool has_work;
	int64_t no_progress_us;
} jh_leader_view_t;

/** jh_leader_must_claim() - Return: reason for logs, NULL if this VM leaves the lead alone */
const char *jh_leader_must_claim(const jh_leader_view_t *view);

#endif
