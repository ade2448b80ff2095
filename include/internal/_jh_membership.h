#ifndef _JH_MEMBERSHIP_H
#define _JH_MEMBERSHIP_H

#include "jh_frame.h"
#include "jh_membership.h"

/* Return: new Probe or ProbeAck that carries the action. */
Jh__Frame *_jh_membership_frame_new(const jh_membership_action_t *action);

/* Fill the event from a Probe or ProbeAck; @news has room for JH_MEMBERSHIP_MAX_UPDATES. */
void _jh_membership_frame_read(const Jh__Frame *frame, jh_membership_event_t *event,
			       jh_vm_update_t *news);

#endif
