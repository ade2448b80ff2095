#include "internal/_jh_membership.h"

#include <arpa/inet.h>
#include <string.h>

/*
 * Encodes probes and their acks as frames and decodes them. Strings from peers are interned and
 * never freed, so only valid names and addresses are accepted.
 */

#define NAME_MAX_CHARS 63u

static Jh__VmState *vm_state_new(const jh_vm_update_t *update)
{
	Jh__VmState *state = g_new0(Jh__VmState, 1);

	jh__vm_state__init(state);
	state->vm = jh_frame_strdup(update->name);
	state->dc = jh_frame_strdup(update->dc);
	state->host = jh_frame_strdup(update->host);
	state->port = update->port;
	state->state = update->state;
	state->incarnation = update->incarnation;
	state->weight = update->weight;
	return state;
}

static Jh__VmState **gossip_new(const jh_membership_action_t *action)
{
	Jh__VmState **gossip = g_new0(Jh__VmState *, action->update_count);
	unsigned i;

	for (i = 0; i < action->update_count; i++)
		gossip[i] = vm_state_new(&action->updates[i]);
	return gossip;
}

Jh__Frame *_jh_membership_frame_new(const jh_membership_action_t *action)
{
	bool is_probe = action->type == JH_MEMBERSHIP_SEND_PROBE;
	Jh__Frame *frame =
		jh_frame_new(is_probe ? JH__FRAME__BODY_PROBE : JH__FRAME__BODY_PROBE_ACK);

	if (is_probe) {
		frame->probe->sequence = action->sequence;
		frame->probe->target = jh_frame_strdup(action->target);
		frame->probe->live_digest = action->live_digest;
		frame->probe->gossip = gossip_new(action);
		frame->probe->n_gossip = action->update_count;
	} else {
		frame->probe_ack->sequence = action->sequence;
		frame->probe_ack->target = jh_frame_strdup(action->target);
		frame->probe_ack->live_digest = action->live_digest;
		frame->probe_ack->gossip = gossip_new(action);
		frame->probe_ack->n_gossip = action->update_count;
	}
	return frame;
}

static bool name_is_valid(const char *name)
{
	size_t length = strlen(name);
	size_t i;

	for (i = 0; i < length; i++) {
		if (!g_ascii_isalnum(name[i]) && !strchr("-_.", name[i]))
			return false;
	}
	return length > 0 && length <= NAME_MAX_CHARS;
}

static bool host_is_valid(const char *host)
{
	struct in6_addr address;

	return inet_pton(AF_INET, host, &address) == 1 || inet_pton(AF_INET6, host, &address) == 1;
}

static unsigned gossip_read(Jh__VmState **gossip, size_t count, jh_vm_update_t *updates)
{
	unsigned update_count = 0;
	size_t i;

	for (i = 0; i < count && update_count < JH_MEMBERSHIP_MAX_UPDATES; i++) {
		const Jh__VmState *state = gossip[i];

		if (!name_is_valid(state->vm) || !name_is_valid(state->dc) ||
		    !host_is_valid(state->host) || state->port > UINT16_MAX ||
		    state->state > JH_VM_DEAD)
			continue;
		updates[update_count++] = (jh_vm_update_t){
			.name = g_intern_string(state->vm),
			.dc = g_intern_string(state->dc),
			.host = g_intern_string(state->host),
			.port = (uint16_t)state->port,
			.state = (jh_vm_state_t)state->state,
			.weight = MIN(state->weight, JH_VM_WEIGHT_MAX),
			.incarnation = state->incarnation,
		};
	}
	return update_count;
}

static const char *target_read(const char *target)
{
	return name_is_valid(target) ? g_intern_string(target) : NULL;
}

void _jh_membership_frame_read(const Jh__Frame *frame, jh_membership_event_t *event,
			       jh_vm_update_t *updates)
{
	if (frame->body_case == JH__FRAME__BODY_PROBE) {
		event->type = JH_MEMBERSHIP_PROBE_RECEIVED;
		event->sequence = frame->probe->sequence;
		event->target = target_read(frame->probe->target);
		event->live_digest = frame->probe->live_digest;
		event->update_count =
			gossip_read(frame->probe->gossip, frame->probe->n_gossip, updates);
	} else {
		event->type = JH_MEMBERSHIP_ACK_RECEIVED;
		event->sequence = frame->probe_ack->sequence;
		event->target = target_read(frame->probe_ack->target);
		event->live_digest = frame->probe_ack->live_digest;
		event->update_count =
			gossip_read(frame->probe_ack->gossip, frame->probe_ack->n_gossip, updates);
	}
}
