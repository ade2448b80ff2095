#ifndef _JH_MEMBERSHIP_H
#define _JH_MEMBERSHIP_H

#include "jh_frame.h"
#include "jh_membership.h"

/* Encodes a SEND_PROBE or SEND_ACK action. Return: new frame; free with jh_frame_free(). */
Jh__Frame *_jh_membership_frame_new(const jh_membership_action_t *action);

/*
 * Fills @event from a Probe or ProbeAck, except for its sender and its pointer to @updates, which
 * the caller sets. @updates has room for JH_MEMBERSHIP_MAX_UPDATES. Updates with an invalid name,
 * address or state are skipped, as are those beyond the maximum.
 */
void _jh_membership_frame_read(const Jh__Frame *frame, jh_membership_event_t *event,
			       jh_vm_update_t *updates);

#endif
