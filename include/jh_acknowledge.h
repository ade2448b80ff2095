#ifndef JH_ACKNOWLEDGE_H
#define JH_ACKNOWLEDGE_H

#include "jh_view.h"

/**
 * DOC: Acknowledgement
 *
 * A response that depends on a position of a primary's log is withheld until that position is
 * replicated to a majority, so that no failover can lose what the caller was told. This module
 * decides from a view of the group whether that is so. It does no I/O and keeps no state.
 */

/** enum jh_acknowledgement - whether a position can still be lost */
typedef enum jh_acknowledgement {
	/** @JH_ACK_PENDING: not known to be replicated to a majority yet */
	JH_ACK_PENDING,
	/** @JH_ACK_REPLICATED: replicated to a majority in its own term; it can't be lost */
	JH_ACK_REPLICATED,
	/** @JH_ACK_SUPERSEDED: a higher term began first; the outcome of the write is unknown */
	JH_ACK_SUPERSEDED,
} jh_acknowledgement_t;

/**
 * jh_acknowledge_decide() - decide by a view whether a position can still be lost
 * @view: newest view of the group; NULL if there is none
 * @members: names of the group's members, array of const char *
 * @primary: the member that reported the position; counts as a member that has it
 * @position: end of the primary's log when the response was made; index 0 (an empty log) is always
 *            replicated
 *
 * A member has the position if its received position is of the same term and not lower: within one
 * term a replica's log is a prefix of the primary's. A log that ends in another term proves nothing
 * and does not count.
 *
 * A view of a higher term than the position's supersedes it, even if a majority has the position.
 */
jh_acknowledgement_t jh_acknowledge_decide(const jh_group_view_t *view, const GPtrArray *members,
					   const char *primary, jh_position_t position);

/**
 * jh_position_parse() - parse "term/index", both decimal
 * @text: text to parse; NULL is allowed
 * @position: set on success only
 *
 * Return: true if @text is such a position
 */
bool jh_position_parse(const char *text, jh_position_t *position);

#endif
