#ifndef JH_ACKNOWLEDGE_H
#define JH_ACKNOWLEDGE_H

#include "jh_view.h"

/**
 * DOC: Acknowledgement
 *
 * Says when an answer that rests on a position of a primary's log may be released. Pure.
 */

/** enum jh_acknowledgement - state of a position */
typedef enum jh_acknowledgement {
	/** @JH_ACK_WAIT: not yet held by a majority */
	JH_ACK_WAIT,
	/** @JH_ACK_REPLICATED: held by a majority in its own term; it can't be lost */
	JH_ACK_REPLICATED,
	/** @JH_ACK_SUPERSEDED: a higher term began first; its fate is unknown */
	JH_ACK_SUPERSEDED,
} jh_acknowledgement_t;

/**
 * jh_acknowledge_decide() - judge a position by a view
 * @view: newest view of the group; NULL if there is none
 * @members: names of the group's members, array of const char *
 * @primary: the member that gave the position out; counts as holding it
 * @position: end of the log when the answer was made
 *
 * A member counts if the end of its log has the position's own term and is not before it: within
 * one term the logs are prefixes of the primary's. A log that ends in another term says nothing.
 */
jh_acknowledgement_t jh_acknowledge_decide(const jh_group_view_t *view, const GPtrArray *members,
					   const char *primary, jh_position_t position);

/** jh_position_parse() - read "term/index". Return: true if @text is one */
bool jh_position_parse(const char *text, jh_position_t *position);

#endif
