#ifndef JH_LEAD_CLAIM_H
#define JH_LEAD_CLAIM_H

#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: When a VM claims the leader role
 *
 * The leader is the one VM that runs changes of primary. Claiming the role is safe at any time: it
 * is a compare-and-set of the leader's row with a higher fencing token, so that requests of the
 * earlier leader are rejected. But a new leader starts the steps again, so that VMs which keep
 * claiming the role from each other complete no change. The function is pure.
 */

/**
 * JH_LEADER_STUCK_US - time without a changed row, microseconds, after which any VM may claim the
 * role if a group needs the leader; see jh_leader_wait_add()
 *
 * No step of a change takes as long between two writes.
 */
#define JH_LEADER_STUCK_US (4000 * INT64_C(1000))

/** enum jh_leader_status - state of the VM that the leader's row names, as this VM sees it */
typedef enum jh_leader_status {
	/** @JH_LEADER_NONE: the row names no VM */
	JH_LEADER_NONE,
	/** @JH_LEADER_EARLIER_SELF: the row names an earlier instance of this VM's daemon */
	JH_LEADER_EARLIER_SELF,
	/**
	 * @JH_LEADER_EARLIER_ERA: the row names this instance, which claimed the role before the
	 * store was restored
	 */
	JH_LEADER_EARLIER_ERA,
	/** @JH_LEADER_LIVE: the leader is live or suspect */
	JH_LEADER_LIVE,
	/** @JH_LEADER_DOWN: the leader is departing or dead */
	JH_LEADER_DOWN,
	/** @JH_LEADER_NOT_LISTED: the leader is not in this VM's list of VMs, perhaps not yet */
	JH_LEADER_NOT_LISTED,
} jh_leader_status_t;

/**
 * struct jh_leader_view - what a VM that is not the leader knows about the leader
 * @status: state of the VM that the leader's row names
 * @not_listed_us: how long the leader has been missing from this VM's list of VMs, microseconds;
 *                 read for JH_LEADER_NOT_LISTED only
 * @is_first: rendezvous hashing places the leader role on this VM among the live ones
 * @has_work: this VM's gateway reported a primary that does not respond, or a primary is draining,
 *            not registered, or being replaced; and the group has another member that is registered
 * @no_progress_us: how long no row has changed while the leader could have made progress,
 *                  microseconds; read with @has_work only
 */
typedef struct jh_leader_view {
	jh_leader_status_t status;
	int64_t not_listed_us;
	bool is_first;
	bool has_work;
	int64_t no_progress_us;
} jh_leader_view_t;

/**
 * jh_leader_must_claim() - decide whether this VM claims the leader role
 *
 * Return: static text of the reason, for logs; NULL if this VM makes no claim
 */
const char *jh_leader_must_claim(const jh_leader_view_t *view);

/**
 * jh_leader_wait_add() - add the time since the last call to the time without progress
 * @waited_us: the time so far
 * @step_us: time since the last call
 * @has_live_quorum: this VM sees a quorum of the voters live, itself included
 *
 * No leader completes a change soon while a majority of the voters is out of reach, and a VM that
 * was suspended between two calls has seen nothing of the leader. Such time does not count, so that
 * the role does not move just as a network partition heals: the next leader would begin the steps
 * again.
 *
 * Return: the new time without progress
 */
int64_t jh_leader_wait_add(int64_t waited_us, int64_t step_us, bool has_live_quorum);

/** JH_FENCE_CLAIM_BITS - bits of a fencing token that count the claims within an era of the store
 */
#define JH_FENCE_CLAIM_BITS 24

/**
 * jh_leader_next_fence() - fencing token of the next leader
 * @known: the newest token that this VM knows, 0 if it knows none
 * @era: the store's era, see jh_store_version()
 *
 * A VM that claims the role after the store was restored may not know the tokens of the leaders
 * whose claims were lost. Every token of an era is higher than all of earlier ones.
 */
uint64_t jh_leader_next_fence(uint64_t known, uint64_t era);

/** jh_leader_fence_era() - Return: the era of the store in which a fencing token was given out */
uint64_t jh_leader_fence_era(uint64_t fence);

#endif
