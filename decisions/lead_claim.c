#include "jh_lead_claim.h"

#include <stddef.h>

/* A VM that has just started receives the list of VMs within a few rounds of probes. */
#define NOT_LISTED_TIMEOUT_US (1500 * INT64_C(1000))

/* Two calls are 0.1 s apart; after a longer pause the VM was suspended or too slow to tell. */
#define STEP_MAX_US (500 * INT64_C(1000))

int64_t jh_leader_wait_add(int64_t waited_us, int64_t step_us, bool has_live_quorum)
{
	if (!has_live_quorum || step_us > STEP_MAX_US)
		return waited_us;
	return waited_us + step_us;
}

const char *jh_leader_must_claim(const jh_leader_view_t *view)
{
	if (view->has_work && view->no_progress_us > JH_LEADER_STUCK_US)
		return "the leader makes no progress";
	/* The other VMs see this VM live, so that none of them claims the role. */
	if (view->status == JH_LEADER_EARLIER_SELF)
		return "the leader is an earlier instance of this VM";
	if (view->status == JH_LEADER_EARLIER_ERA)
		return "the store was restored";
	if (!view->is_first)
		return NULL;
	switch (view->status) {
	case JH_LEADER_NONE:
		return "there is no leader";
	case JH_LEADER_DOWN:
		return "the leader is departing or dead";
	case JH_LEADER_NOT_LISTED:
		return view->not_listed_us > NOT_LISTED_TIMEOUT_US ? "the leader is not listed" :
								     NULL;
	default:
		return NULL;
	}
}

uint64_t jh_leader_next_fence(uint64_t known, uint64_t era)
{
	uint64_t first = era << JH_FENCE_CLAIM_BITS;

	return known + 1 > first ? known + 1 : first;
}

uint64_t jh_leader_fence_era(uint64_t fence)
{
	return fence >> JH_FENCE_CLAIM_BITS;
}
