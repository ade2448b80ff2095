#ifndef JH_FORWARDED_H
#define JH_FORWARDED_H

#include "jh_frame.h"

/**
 * DOC: Statements that one VM forwards to another
 *
 * The frame Statement has what a holder needs to run a statement of another VM's caller; see
 * docs/internals/forwarding.md.
 */

/**
 * jh_forwarded_is_valid() - check the fields of a statement that another VM sent
 *
 * Return: false if a field is missing, out of range, or would change the lines that are sent to a
 * member; the statement must not be run then
 */
bool jh_forwarded_is_valid(const Jh__Statement *statement);

#endif
