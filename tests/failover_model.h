#ifndef FAILOVER_MODEL_H
#define FAILOVER_MODEL_H

/*
 * A discrete-event simulation of one group in virtual time. Its members replicate a log and obey
 * fence, promote and follow as docs/internals/database-interface.md specifies. Its VMs observe the
 * members, change the primary with jh_failover_decide(), and write for callers. The simulation
 * records a violation if a term gets two primaries, or if a later primary's log lacks an
 * acknowledged write. test_failover.c and tools/failover_sim.c use it.
 */

#include "jh_failover.h"
#include "jh_frame.h"

#include <string.h>

#define MODEL_MEMBERS 3u
#define MODEL_VMS 3u
#define MODEL_NODES (MODEL_MEMBERS + MODEL_VMS)

#define MS ((int64_t)1000)

/* Longest interval between reports of a member, and intervals of heartbeats and of VMs' ticks. */
#define MODEL_REPORT_US (100 * MS)
#define MODEL_HEARTBEAT_US (50 * MS)
#define MODEL_TICK_US (50 * MS)

/* A VM reports a member as unreachable if it received no status from it for this long. */
#define MODEL_UNREACHABLE_US (300 * MS)

/* Extra delay of the first message over a new connection. */
#define MODEL_CONNECT_US (10 * MS)

/* Upper bound of the extra delay of a straggler, milliseconds. */
#define MODEL_STRAGGLER_MAX_MS 1500.0

typedef struct model model_t;

typedef enum model_msg_kind {
	MODEL_TICK_TIMER,
	MODEL_STATUS_TIMER,
	MODEL_HEARTBEAT_TIMER,
	MODEL_STATUS,
	MODEL_OBSERVATION,
	MODEL_ANNOUNCE,
	MODEL_APPEND,
	MODEL_COMMAND,
	MODEL_COMMAND_REPLY,
	MODEL_CLAIM,
	MODEL_WRITE,
	MODEL_WRITE_REPLY,
	MODEL_CLIENT_TIMER,
	MODEL_FAULT,
} model_msg_kind_t;

typedef struct model_entry {
	uint64_t term;
	uint64_t value;
} model_entry_t;

/*
 * A message or timer. Nodes are numbered: the members come first, then the VMs. In a status
 * message, reports[0] is the member's own report; in an observation, reports[] has one report for
 * each member.
 */
typedef struct model_msg {
	int64_t at_us;
	uint64_t sequence;
	model_msg_kind_t kind;
	unsigned from;
	unsigned to;
	int64_t sent_us;
	uint64_t term;
	uint64_t value;
	unsigned member;
	bool granted;
	jh_failover_action_t action;
	jh_member_report_t reports[MODEL_MEMBERS];
	bool has_report[MODEL_MEMBERS];
	GArray *log;
	void (*fault)(model_t *model);
} model_msg_t;

typedef struct model_member {
	uint64_t promised_term;
	/* Node of the coordinator to which the term was promised, -1 if there is none. */
	int promised_coordinator;
	uint64_t term;
	bool is_primary;
	/* Node of the primary of this term; the member's own node if it was promoted. */
	int followed_node;
	GArray *log;
	int64_t last_message_us;
} model_member_t;

/* A write for a caller; position is the primary's log end after it. */
typedef struct model_write {
	jh_position_t position;
	uint64_t value;
} model_write_t;

typedef struct model_vm {
	char name[8];
	jh_group_state_t *state;
	jh_failover_t failover;
	unsigned rank;
	int64_t last_tick_us;
	int64_t status_at_us[MODEL_MEMBERS];
	jh_member_report_t own_reports[MODEL_MEMBERS];
	bool has_own_report[MODEL_MEMBERS];
	bool connected[MODEL_MEMBERS];
	/* Array of model_write_t that are not replicated to a majority yet. */
	GArray *pending;
} model_vm_t;

struct model {
	GRand *random;
	int64_t now_us;
	uint64_t sequence;
	GPtrArray *queue;
	model_member_t members[MODEL_MEMBERS];
	model_vm_t vms[MODEL_VMS];
	bool link_down[MODEL_NODES][MODEL_NODES];
	int64_t frozen_until_us[MODEL_NODES];
	double loss_probability;
	double straggler_probability;
	int64_t latency_us;
	int64_t jitter_us;
	int64_t write_interval_us;
	/* Latency of the platform's compare-and-set; negative while it is down. */
	int64_t claim_latency_us;
	uint64_t platform_term;
	uint64_t next_value;
	/* Node number + 1 of each term's primary. */
	GHashTable *primary_by_term;
	/* Array of model_write_t. */
	GArray *acknowledged;
	int64_t last_ack_us;
	int64_t longest_write_gap_us;
	unsigned promotions;
	/* Description of the first violation, NULL if there is none. A violation ends the run. */
	const char *violation;
};

/* ---- event queue: a binary heap ordered by time, then by sequence number ---- */

static inline bool model_msg_precedes(const model_msg_t *a, const model_msg_t *b)
{
	return a->at_us != b->at_us ? a->at_us < b->at_us : a->sequence < b->sequence;
}

static inline void model_heap_swap(GPtrArray *heap, unsigned a, unsigned b)
{
	gpointer saved = heap->pdata[a];

	heap->pdata[a] = heap->pdata[b];
	heap->pdata[b] = saved;
}

static inline void model_queue_push(model_t *model, model_msg_t *msg)
{
	GPtrArray *heap = model->queue;
	unsigned i = heap->len;

	msg->sequence = model->sequence++;
	g_ptr_array_add(heap, msg);
	for (; i > 0 && model_msg_precedes(heap->pdata[i], heap->pdata[(i - 1) / 2]);
	     i = (i - 1) / 2)
		model_heap_swap(heap, i, (i - 1) / 2);
}

static inline model_msg_t *model_queue_pop(model_t *model)
{
	GPtrArray *heap = model->queue;
	model_msg_t *top = heap->pdata[0];
	unsigned i = 0;

	heap->pdata[0] = heap->pdata[heap->len - 1];
	g_ptr_array_set_size(heap, (gint)heap->len - 1);
	for (;;) {
		unsigned least = i;
		unsigned child;

		for (child = 2 * i + 1; child <= 2 * i + 2 && child < heap->len; child++) {
			if (model_msg_precedes(heap->pdata[child], heap->pdata[least]))
				least = child;
		}
		if (least == i)
			return top;
		model_heap_swap(heap, i, least);
		i = least;
	}
}

static inline void model_msg_free(model_msg_t *msg)
{
	if (msg->log)
		g_array_unref(msg->log);
	g_free(msg);
}

static inline model_msg_t *model_msg_new(model_t *model, model_msg_kind_t kind, unsigned from,
					 unsigned to)
{
	model_msg_t *msg = g_new0(model_msg_t, 1);

	msg->kind = kind;
	msg->from = from;
	msg->to = to;
	msg->sent_us = model->now_us;
	return msg;
}

static inline void model_timer_start(model_t *model, model_msg_kind_t kind, unsigned node,
				     int64_t delay_us)
{
	model_msg_t *msg = model_msg_new(model, kind, node, node);

	msg->at_us = model->now_us + delay_us;
	model_queue_push(model, msg);
}

/* Sends a message; a link that is down drops it, any other link may lose or delay it. */
static inline void model_send(model_t *model, model_msg_t *msg, int64_t extra_us)
{
	int64_t delay_us = model->latency_us + extra_us;

	if (msg->from != msg->to && (model->link_down[msg->from][msg->to] ||
				     g_rand_double(model->random) < model->loss_probability)) {
		model_msg_free(msg);
		return;
	}
	delay_us += (int64_t)(g_rand_double(model->random) * (double)model->jitter_us);
	if (g_rand_double(model->random) < model->straggler_probability)
		delay_us += (int64_t)(g_rand_double(model->random) * MODEL_STRAGGLER_MAX_MS) * MS;
	msg->at_us = model->now_us + delay_us;
	model_queue_push(model, msg);
}

/* ---- members ---- */

static inline jh_position_t model_log_end(const model_member_t *member)
{
	jh_position_t held = { 0, member->log->len };

	if (member->log->len > 0)
		held.term = g_array_index(member->log, model_entry_t, member->log->len - 1).term;
	return held;
}

static inline void model_status_send(model_t *model, unsigned node)
{
	const model_member_t *member = &model->members[node];
	unsigned vm;

	for (vm = 0; vm < MODEL_VMS; vm++) {
		model_msg_t *msg = model_msg_new(model, MODEL_STATUS, node, MODEL_MEMBERS + vm);

		msg->reports[0] = (jh_member_report_t){
			.reachable = true,
			.is_primary = member->is_primary,
			.term = member->term,
			.promised_term = member->promised_term,
			.held = model_log_end(member),
			.applied = model_log_end(member),
			.at_us = model->now_us,
			.last_message_us =
				member->is_primary ? model->now_us : member->last_message_us,
		};
		model_send(model, msg, 0);
	}
}

static inline void model_append_send(model_t *model, unsigned node)
{
	const model_member_t *member = &model->members[node];
	GArray *log;
	unsigned to;

	if (!member->is_primary)
		return;
	log = g_array_sized_new(FALSE, FALSE, sizeof(model_entry_t), member->log->len);
	g_array_append_vals(log, member->log->data, member->log->len);
	for (to = 0; to < MODEL_MEMBERS; to++) {
		model_msg_t *msg;

		if (to == node)
			continue;
		msg = model_msg_new(model, MODEL_APPEND, node, to);
		msg->term = member->term;
		msg->log = g_array_ref(log);
		model_send(model, msg, 0);
	}
	g_array_unref(log);
}

static inline void model_log_merge(GArray *log, const GArray *from)
{
	unsigned i = MIN(log->len, from->len);

	/* Logs that have the same term at an index are equal up to it (Raft's log matching). */
	if (i == 0 || g_array_index(log, model_entry_t, i - 1).term !=
			      g_array_index(from, model_entry_t, i - 1).term)
		i = 0;
	for (; i < from->len; i++) {
		model_entry_t entry = g_array_index(from, model_entry_t, i);

		if (i < log->len && g_array_index(log, model_entry_t, i).term != entry.term)
			g_array_set_size(log, i);
		if (i >= log->len)
			g_array_append_val(log, entry);
	}
}

static inline void model_handle_append(model_t *model, const model_msg_t *msg)
{
	model_member_t *member = &model->members[msg->to];
	unsigned before = member->log->len;

	if (member->is_primary || member->promised_term > msg->term || member->term != msg->term ||
	    member->followed_node != (int)msg->from)
		return;
	member->last_message_us = model->now_us;
	model_log_merge(member->log, msg->log);
	if (member->log->len != before)
		model_status_send(model, msg->to);
}

static inline void model_check_write_in_log(model_t *model, const model_member_t *member,
					    uint64_t term, jh_position_t position, uint64_t value)
{
	const model_entry_t *entry;

	if (position.term >= term)
		return;
	if (member->log->len >= position.index) {
		entry = &g_array_index(member->log, model_entry_t, position.index - 1);
		if (entry->term == position.term && entry->value == value)
			return;
	}
	model->violation = "an acknowledged write is not in a later primary's log";
}

static inline void model_check_primary(model_t *model, unsigned node)
{
	model_member_t *member = &model->members[node];
	gpointer recorded_node =
		g_hash_table_lookup(model->primary_by_term, GSIZE_TO_POINTER(member->term));
	unsigned i;

	if (recorded_node && GPOINTER_TO_UINT(recorded_node) != node + 1)
		model->violation = "two primaries in one term";
	g_hash_table_insert(model->primary_by_term, GSIZE_TO_POINTER(member->term),
			    GUINT_TO_POINTER(node + 1));
	for (i = 0; i < model->acknowledged->len; i++) {
		model_write_t *ack = &g_array_index(model->acknowledged, model_write_t, i);

		model_check_write_in_log(model, member, member->term, ack->position, ack->value);
	}
}

static inline bool model_member_fence(model_member_t *member, uint64_t term, int coordinator)
{
	if (term < member->promised_term ||
	    (term == member->promised_term && coordinator != member->promised_coordinator))
		return false;
	member->promised_term = term;
	member->promised_coordinator = coordinator;
	if (member->term < term)
		member->is_primary = false;
	return true;
}

static inline bool model_member_promote(model_t *model, unsigned node, uint64_t term,
					int coordinator)
{
	model_member_t *member = &model->members[node];
	model_entry_t first = { term, 0 };

	if (term != member->promised_term || coordinator != member->promised_coordinator)
		return false;
	if (member->is_primary && member->term == term)
		return true;
	member->term = term;
	member->is_primary = true;
	member->followed_node = (int)node;
	model->promotions++;
	model_check_primary(model, node);
	g_array_append_val(member->log, first);
	return true;
}

static inline bool model_member_follow(model_t *model, unsigned node, uint64_t term,
				       unsigned primary)
{
	model_member_t *member = &model->members[node];

	if (term < member->promised_term || (member->is_primary && member->term == term))
		return false;
	if (term > member->promised_term)
		member->promised_coordinator = -1;
	if (member->term != term || member->followed_node != (int)primary)
		member->last_message_us = model->now_us;
	member->promised_term = term;
	member->term = term;
	member->is_primary = false;
	member->followed_node = (int)primary;
	return true;
}

static inline void model_handle_command(model_t *model, const model_msg_t *msg)
{
	const jh_failover_action_t *action = &msg->action;
	model_msg_t *reply = model_msg_new(model, MODEL_COMMAND_REPLY, msg->to, msg->from);
	model_member_t *member = &model->members[msg->to];
	int coordinator = (int)msg->from;

	reply->action = *action;
	reply->granted = true;
	if (action->type == JH_FAILOVER_FENCE)
		reply->granted = model_member_fence(member, action->term, coordinator);
	else if (action->type == JH_FAILOVER_PROMOTE)
		reply->granted = model_member_promote(model, msg->to, action->term, coordinator);
	else if (action->type == JH_FAILOVER_FOLLOW)
		reply->granted = model_member_follow(model, msg->to, action->term, action->primary);
	reply->reports[0].held = model_log_end(member);
	reply->reports[0].promised_term = member->promised_term;
	model_send(model, reply, 0);
	if (action->type != JH_FAILOVER_CONNECT) {
		model_status_send(model, msg->to);
		model_append_send(model, msg->to);
	}
}

static inline void model_handle_write(model_t *model, const model_msg_t *msg)
{
	model_member_t *member = &model->members[msg->to];
	model_entry_t entry = { member->term, msg->value };
	model_msg_t *reply;

	if (!member->is_primary)
		return;
	g_array_append_val(member->log, entry);
	reply = model_msg_new(model, MODEL_WRITE_REPLY, msg->to, msg->from);
	reply->value = msg->value;
	reply->reports[0].held = model_log_end(member);
	model_send(model, reply, 0);
	model_status_send(model, msg->to);
	model_append_send(model, msg->to);
}

/* ---- VMs ---- */

static inline model_vm_t *model_vm(model_t *model, unsigned node)
{
	return &model->vms[node - MODEL_MEMBERS];
}

static inline void model_acknowledge(model_t *model, const model_write_t *write)
{
	unsigned i;

	g_array_append_val(model->acknowledged, *write);
	for (i = 0; i < MODEL_MEMBERS; i++) {
		if (model->members[i].is_primary)
			model_check_write_in_log(model, &model->members[i], model->members[i].term,
						 write->position, write->value);
	}
	model->longest_write_gap_us =
		MAX(model->longest_write_gap_us, model->now_us - model->last_ack_us);
	model->last_ack_us = model->now_us;
}

static inline bool model_is_replicated(const jh_group_view_t *view, jh_position_t position)
{
	unsigned count = 0;
	unsigned i;

	for (i = 0; i < view->databases->len; i++) {
		const jh_database_view_t *database = g_ptr_array_index(view->databases, i);

		count += database->held.term == position.term &&
			 database->held.index >= position.index;
	}
	return count > MODEL_MEMBERS / 2;
}

static inline void model_acknowledge_replicated(model_t *model, model_vm_t *vm)
{
	jh_group_view_t *view;
	unsigned i = vm->pending->len;

	if (i == 0)
		return;
	view = jh_group_state_view_new(vm->state, model->now_us);
	while (i-- > 0) {
		model_write_t write = g_array_index(vm->pending, model_write_t, i);

		if (!model_is_replicated(view, write.position))
			continue;
		g_array_remove_index(vm->pending, i);
		model_acknowledge(model, &write);
	}
	jh_group_view_free(view);
}

static inline void model_run_action(model_t *model, unsigned node,
				    const jh_failover_action_t *action)
{
	model_vm_t *vm = model_vm(model, node);
	model_msg_t *msg;
	unsigned to;

	switch (action->type) {
	case JH_FAILOVER_CONNECT:
	case JH_FAILOVER_FENCE:
	case JH_FAILOVER_PROMOTE:
	case JH_FAILOVER_FOLLOW:
		msg = model_msg_new(model, MODEL_COMMAND, node, action->member);
		msg->action = *action;
		model_send(model, msg, action->type == JH_FAILOVER_CONNECT ? MODEL_CONNECT_US : 0);
		break;
	case JH_FAILOVER_ANNOUNCE:
		jh_group_state_apply_term(vm->state, action->term,
					  jh_group_state_member_name(vm->state, action->primary));
		for (to = MODEL_MEMBERS; to < MODEL_NODES; to++) {
			msg = model_msg_new(model, MODEL_ANNOUNCE, node, to);
			msg->action = *action;
			model_send(model, msg, 0);
		}
		break;
	case JH_FAILOVER_CLAIM:
		if (model->claim_latency_us < 0)
			break;
		msg = model_msg_new(model, MODEL_CLAIM, node, node);
		msg->action = *action;
		msg->at_us = model->now_us + model->claim_latency_us;
		model_queue_push(model, msg);
		break;
	default:
		break;
	}
}

static inline void model_decide(model_t *model, unsigned node, const jh_failover_event_t *event)
{
	model_vm_t *vm = model_vm(model, node);
	uint64_t random = (uint64_t)g_rand_int(model->random) << 32 | g_rand_int(model->random);
	jh_failover_actions_t actions;
	unsigned i;

	jh_failover_decide(&vm->failover, vm->state, event, model->now_us, random, &actions);
	for (i = 0; i < actions.count; i++)
		model_run_action(model, node, &actions.list[i]);
}

static inline void model_handle_status(model_t *model, const model_msg_t *msg)
{
	model_vm_t *vm = model_vm(model, msg->to);

	vm->status_at_us[msg->from] = model->now_us;
	vm->own_reports[msg->from] = msg->reports[0];
	vm->has_own_report[msg->from] = true;
	jh_group_state_apply_report(vm->state, vm->name, msg->from, &msg->reports[0]);
	model_acknowledge_replicated(model, vm);
}

static inline void model_handle_observation(model_t *model, const model_msg_t *msg)
{
	model_vm_t *vm = model_vm(model, msg->to);
	const char *observer = model_vm(model, msg->from)->name;
	unsigned i;

	for (i = 0; i < MODEL_MEMBERS; i++) {
		if (msg->has_report[i])
			jh_group_state_apply_report(vm->state, observer, i, &msg->reports[i]);
	}
}

static inline void model_observe(model_t *model, unsigned node, bool paused)
{
	model_vm_t *vm = model_vm(model, node);
	unsigned i;
	unsigned to;

	for (i = 0; i < MODEL_MEMBERS; i++) {
		/* After a pause of this VM, the age of a status says nothing about the member. */
		if (paused)
			vm->status_at_us[i] = model->now_us;
		if (model->now_us - vm->status_at_us[i] < MODEL_UNREACHABLE_US)
			continue;
		vm->own_reports[i].reachable = false;
		vm->own_reports[i].at_us = model->now_us;
		vm->has_own_report[i] = true;
		jh_group_state_apply_report(vm->state, vm->name, i, &vm->own_reports[i]);
	}
	if (!jh_failover_needs_observation(vm->state, vm->name, model->now_us))
		return;
	for (to = MODEL_MEMBERS; to < MODEL_NODES; to++) {
		model_msg_t *msg;

		if (to == node || model_vm(model, to)->rank == JH_FAILOVER_NO_RANK)
			continue;
		msg = model_msg_new(model, MODEL_OBSERVATION, node, to);
		memcpy(msg->reports, vm->own_reports, sizeof(vm->own_reports));
		memcpy(msg->has_report, vm->has_own_report, sizeof(vm->has_own_report));
		model_send(model, msg, 0);
	}
}

static inline void model_tick(model_t *model, unsigned node)
{
	model_vm_t *vm = model_vm(model, node);
	jh_failover_event_t event = { .type = JH_FAILOVER_TICK, .rank = vm->rank };

	event.paused = model->now_us - vm->last_tick_us > 4 * MODEL_TICK_US;
	vm->last_tick_us = model->now_us;
	model_observe(model, node, event.paused);
	model_decide(model, node, &event);
}

static inline void model_handle_command_reply(model_t *model, const model_msg_t *msg)
{
	jh_failover_event_t event = {
		.member = msg->from,
		.term = msg->action.term,
		.granted = msg->granted,
		.held = msg->reports[0].held,
		.promised_term = msg->reports[0].promised_term,
	};

	if (msg->action.type == JH_FAILOVER_CONNECT)
		event.type = JH_FAILOVER_CONNECTED;
	else if (msg->action.type == JH_FAILOVER_FENCE)
		event.type = JH_FAILOVER_FENCED;
	else if (msg->action.type == JH_FAILOVER_PROMOTE)
		event.type = JH_FAILOVER_PROMOTED;
	else
		return;
	model_decide(model, msg->to, &event);
}

static inline void model_handle_claim(model_t *model, const model_msg_t *msg)
{
	jh_failover_event_t event = { .type = JH_FAILOVER_CLAIMED, .term = msg->action.term };

	event.granted = msg->action.term > model->platform_term;
	model->platform_term = MAX(model->platform_term, msg->action.term);
	model_decide(model, msg->to, &event);
}

/* A caller writes through a VM to the primary that this VM knows. */
static inline void model_client_write(model_t *model, unsigned node)
{
	model_vm_t *vm = model_vm(model, node);
	int primary = jh_group_state_primary(vm->state);
	model_msg_t *msg;

	model_timer_start(model, MODEL_CLIENT_TIMER, node, model->write_interval_us);
	if (primary < 0)
		return;
	msg = model_msg_new(model, MODEL_WRITE, node, (unsigned)primary);
	msg->value = ++model->next_value;
	model_send(model, msg, vm->connected[primary] ? 0 : MODEL_CONNECT_US);
	/* The VM keeps a connection only to the primary to which it wrote last. */
	memset(vm->connected, 0, sizeof(vm->connected));
	vm->connected[primary] = true;
}

static inline void model_handle_write_reply(model_t *model, const model_msg_t *msg)
{
	model_vm_t *vm = model_vm(model, msg->to);
	model_write_t write = { msg->reports[0].held, msg->value };

	g_array_append_val(vm->pending, write);
	model_acknowledge_replicated(model, vm);
}

/* ---- event loop ---- */

static inline void model_dispatch(model_t *model, const model_msg_t *msg)
{
	switch (msg->kind) {
	case MODEL_TICK_TIMER:
		model_timer_start(model, MODEL_TICK_TIMER, msg->to, MODEL_TICK_US);
		model_tick(model, msg->to);
		break;
	case MODEL_STATUS_TIMER:
		model_timer_start(model, MODEL_STATUS_TIMER, msg->to, MODEL_REPORT_US);
		model_status_send(model, msg->to);
		break;
	case MODEL_HEARTBEAT_TIMER:
		model_timer_start(model, MODEL_HEARTBEAT_TIMER, msg->to, MODEL_HEARTBEAT_US);
		model_append_send(model, msg->to);
		break;
	case MODEL_STATUS:
		model_handle_status(model, msg);
		break;
	case MODEL_OBSERVATION:
		model_handle_observation(model, msg);
		break;
	case MODEL_ANNOUNCE:
		jh_group_state_apply_term(
			model_vm(model, msg->to)->state, msg->action.term,
			jh_group_state_member_name(model_vm(model, msg->to)->state,
						   msg->action.primary));
		break;
	case MODEL_APPEND:
		model_handle_append(model, msg);
		break;
	case MODEL_COMMAND:
		model_handle_command(model, msg);
		break;
	case MODEL_COMMAND_REPLY:
		model_handle_command_reply(model, msg);
		break;
	case MODEL_CLAIM:
		model_handle_claim(model, msg);
		break;
	case MODEL_WRITE:
		model_handle_write(model, msg);
		break;
	case MODEL_WRITE_REPLY:
		model_handle_write_reply(model, msg);
		break;
	case MODEL_CLIENT_TIMER:
		model_client_write(model, msg->to);
		break;
	case MODEL_FAULT:
		msg->fault(model);
		break;
	default:
		break;
	}
}

/*
 * Runs the model until @until_us or the first violation. A frozen node handles its messages and
 * timers when it resumes.
 */
static inline void model_run(model_t *model, int64_t until_us)
{
	while (!model->violation && model->queue->len > 0) {
		const model_msg_t *next = model->queue->pdata[0];
		model_msg_t *msg;

		if (next->at_us > until_us)
			break;
		msg = model_queue_pop(model);
		model->now_us = msg->at_us;
		if (msg->kind != MODEL_FAULT && model->frozen_until_us[msg->to] > model->now_us) {
			msg->at_us = model->frozen_until_us[msg->to];
			model_queue_push(model, msg);
			continue;
		}
		model_dispatch(model, msg);
		model_msg_free(msg);
	}
	model->now_us = MAX(model->now_us, until_us);
}

/* ---- creation ---- */

static inline void model_member_start(model_t *model, unsigned node)
{
	model_member_t *member = &model->members[node];

	member->promised_term = 1;
	member->promised_coordinator = -1;
	member->term = 1;
	member->is_primary = node == 0;
	member->followed_node = 0;
	member->log = g_array_new(FALSE, FALSE, sizeof(model_entry_t));
	model_timer_start(model, MODEL_STATUS_TIMER, node,
			  g_rand_int_range(model->random, 1, 100) * MS);
	model_timer_start(model, MODEL_HEARTBEAT_TIMER, node,
			  g_rand_int_range(model->random, 1, 50) * MS);
}

static inline void model_vm_start(model_t *model, unsigned index, jh_term_issuer_t issuer)
{
	static const char *const names[MODEL_MEMBERS] = { "a", "b", "c" };
	model_vm_t *vm = &model->vms[index];
	GPtrArray *members = g_ptr_array_new();
	unsigned node = MODEL_MEMBERS + index;
	unsigned i;

	for (i = 0; i < MODEL_MEMBERS; i++)
		g_ptr_array_add(members, (gpointer)names[i]);
	g_snprintf(vm->name, sizeof(vm->name), "vm-%u", index);
	vm->state = jh_group_state_new("group");
	jh_group_state_set_members(vm->state, members);
	g_ptr_array_free(members, TRUE);
	vm->failover.issuer = issuer;
	vm->rank = index;
	vm->pending = g_array_new(FALSE, FALSE, sizeof(model_write_t));
	model_timer_start(model, MODEL_TICK_TIMER, node,
			  g_rand_int_range(model->random, 0, 50) * MS);
	model_timer_start(model, MODEL_CLIENT_TIMER, node, 200 * MS);
}

static inline model_t *model_new(uint32_t seed, jh_term_issuer_t issuer)
{
	model_t *model = g_new0(model_t, 1);
	unsigned i;

	model->random = g_rand_new_with_seed(seed);
	model->queue = g_ptr_array_new();
	model->primary_by_term = g_hash_table_new(NULL, NULL);
	model->acknowledged = g_array_new(FALSE, FALSE, sizeof(model_write_t));
	model->latency_us = MS;
	model->jitter_us = MS / 2;
	model->write_interval_us = 40 * MS;
	model->claim_latency_us = 3 * MS;
	model->platform_term = 1;
	g_hash_table_insert(model->primary_by_term, GSIZE_TO_POINTER(1), GUINT_TO_POINTER(1));
	for (i = 0; i < MODEL_MEMBERS; i++)
		model_member_start(model, i);
	for (i = 0; i < MODEL_VMS; i++)
		model_vm_start(model, i, issuer);
	return model;
}

static inline void model_free(model_t *model)
{
	unsigned i;

	while (model->queue->len > 0)
		model_msg_free(model_queue_pop(model));
	for (i = 0; i < MODEL_MEMBERS; i++)
		g_array_unref(model->members[i].log);
	for (i = 0; i < MODEL_VMS; i++) {
		jh_group_state_free(model->vms[i].state);
		g_array_unref(model->vms[i].pending);
	}
	g_array_unref(model->acknowledged);
	g_hash_table_destroy(model->primary_by_term);
	g_ptr_array_free(model->queue, TRUE);
	g_rand_free(model->random);
	g_free(model);
}

/* ---- faults ---- */

static inline void model_node_set_isolated(model_t *model, unsigned node, bool isolated)
{
	unsigned i;

	for (i = 0; i < MODEL_NODES; i++) {
		model->link_down[node][i] = isolated && i != node;
		model->link_down[i][node] = isolated && i != node;
	}
}

static inline void model_heal_network(model_t *model)
{
	memset(model->link_down, 0, sizeof(model->link_down));
	model->loss_probability = 0;
	model->straggler_probability = 0;
}

static inline void model_fault_schedule(model_t *model, int64_t at_us,
					void (*fault)(model_t *model))
{
	model_msg_t *msg = model_msg_new(model, MODEL_FAULT, 0, 0);

	msg->at_us = at_us;
	msg->fault = fault;
	model_queue_push(model, msg);
}

#endif
