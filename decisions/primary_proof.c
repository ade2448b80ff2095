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
	 * A registered member that does not reply may lead a newer term that only its side of a
	 * network partition knows. Without another member, there is no newer term.
	 */
	return proof->has_successor ? JH_PROOF_REPLACE : JH_PROOF_HOLDS;
}
