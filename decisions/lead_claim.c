#include "jh_lead_claim.h"

#include <stddef.h>

/* A VM that has just started hears of the others within a few rounds of probes. */
#define NOT_LISTED_US (1500 * INT64_C(1000))

const char *jh_leader_must_claim(const jh_leader_view_t *view)
{
	if (view->has_work && view->no_progress_us > JH_LEADER_STUCK_US)
		return "the holder does not get on";
	if (!view->is_first)
		return NULL;
	switch (view->holder) {
	case JH_LEADER_NONE:
		return "nobody leads";
	case JH_LEADER_EARLIER_SELF:
		return "this vm led in an earlier life";
	case JH_LEADER_DOWN:
		return "the holder is gone";
	case JH_LEADER_NOT_LISTED:
		return view->not_listed_us > NOT_LISTED_US ? "the holder is not listed" : NULL;
	case JH_LEADER_LIVE:
		break;
	}
	return NULL;
}
