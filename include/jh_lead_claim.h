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

/** JH_LEAD_STUCK_US - without a changed row for this long, the holder can't get on; no step between
 * two writes takes as long
 */
#define JH_LEAD_STUCK_US (4000 * INT64_C(1000))

typedef enum jh_lead_holder {
	/** @JH_LEAD_NOBODY: the row names nobody */
	JH_LEAD_NOBODY,
	/** @JH_LEAD_SELF_BEFORE: this VM in an earlier life */
	JH_LEAD_SELF_BEFORE,
	JH_LEAD_LIVE,
	/** @JH_LEAD_GONE: it drains, or is dead */
	JH_LEAD_GONE,
	/** @JH_LEAD_NOT_LISTED: this VM has not heard of it, perhaps not yet */
	JH_LEAD_NOT_LISTED,
} jh_lead_holder_t;

/**
 * struct jh_lead_view - what a VM that does not hold the lead knows
 * @holder: state of the VM that the row names
 * @not_listed_us: how long this VM has not heard of it
 * @is_first: this VM comes first among the live ones
 * @has_work: a primary is silent to this VM, leaving or being replaced
 * @unmoved_us: with work: how long no row has changed
 */
typedef struct jh_lead_view {
	jh_lead_holder_t holder;
	int64_t not_listed_us;
	bool is_first;
	bool has_work;
	int64_t unmoved_us;
} jh_lead_view_t;

/** jh_lead_must_claim() - Return: reason for logs, NULL if this VM leaves the lead alone */
const char *jh_lead_must_claim(const jh_lead_view_t *view);

#endif
