#ifndef JH_PRIMARY_PROOF_H
#define JH_PRIMARY_PROOF_H

#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: Proof of a group's row by its members
 *
 * A store that was restored from an older copy may name a primary that was replaced meanwhile. If
 * no VMs are left that know it, the members do: each knows the term that it has reached. The
 * function is pure. It always comes to an end, since a group must not stay without a primary
 * because one of its members is lost.
 */

/** JH_PROOF_DELAY_US - VMs and members that know more than the restored store may need this long to
 *	reach it, or each other, again; microseconds
 */
#define JH_PROOF_DELAY_US (2500 * INT64_C(1000))

/** JH_PROOF_WAIT_US - a registered member that does not reply is waited for as long; microseconds
 */
#define JH_PROOF_WAIT_US (2500 * INT64_C(1000))

/**
 * struct jh_primary_proof - what the members say of the primary that the group's row names
 * @row_term: term of the row
 * @primary_leads: the row's primary replied as the primary of @row_term
 * @newest_term: highest term in a reply, 0 without one
 * @is_newest_led: a member replied as the primary of @newest_term
 * @members: registered members
 * @replies: members that replied to the newest poll
 * @waited_us: time since the first poll
 * @has_successor: another member could become the primary
 */
typedef struct jh_primary_proof {
	uint64_t row_term;
	bool primary_leads;
	uint64_t newest_term;
	bool is_newest_led;
	unsigned members;
	unsigned replies;
	int64_t waited_us;
	bool has_successor;
} jh_primary_proof_t;

/** enum jh_primary_proof_step - what follows a poll of the members */
typedef enum jh_primary_proof_step {
	/** @JH_PROOF_WAIT: poll the members again */
	JH_PROOF_WAIT,
	/** @JH_PROOF_HOLDS: the row may be used */
	JH_PROOF_HOLDS,
	/** @JH_PROOF_NEWER_PRIMARY: the member that leads the newest term is the primary */
	JH_PROOF_NEWER_PRIMARY,
	/** @JH_PROOF_REPLACE: nobody may use the row's primary, and a change of primary begins */
	JH_PROOF_REPLACE,
} jh_primary_proof_step_t;

/** jh_primary_proof_decide() - decide what the replies prove */
jh_primary_proof_step_t jh_primary_proof_decide(const jh_primary_proof_t *proof);

#endif
