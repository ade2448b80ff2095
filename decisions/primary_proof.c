#include "jh_primary_proof.h"

jh_primary_proof_step_t jh_primary_proof_decide(const jh_primary_proof_t *proof)
{
	bool is_over = proof->waited_us >= JH_PROOF_WAIT_US;

	if (proof->newest_term > proof->row_term && proof->is_newest_led)
		return JH_PROOF_NEWER_PRIMARY;
	if (proof->newest_term > proof->row_term)
		return is_over ? JH_PROOF_REPLACE : JH_PROOF_WAIT;
	if (proof->primary_leads && proof->replies >= proof->members)
		return JH_PROOF_HOLDS;
	if (!is_over)
		return JH_PROOF_WAIT;
	/*
	 * A member that is registered and does not reply may lead a newer term, which its own side
	 * of a network partition would know only. Without another member, nobody can.
	 */
	return proof->has_successor ? JH_PROOF_REPLACE : JH_PROOF_HOLDS;
}
