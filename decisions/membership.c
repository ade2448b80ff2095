/* SWIM-style failure detector; see include/jh_membership.h and docs/internals/membership.md. */
#include "jh_membership.h"

#include <string.h>

/*
 * Interval between two probes. They go to the targets round robin, so that each target gets one in
 * at most JH_MEMBERSHIP_TARGETS intervals.
 */
#define PROBE_INTERVAL_US ((int64_t)150 * 1000)

/*
 * Ages of a probe without a ProbeAck: after the first, other VMs are asked to probe the target too;
 * after the second, the probe has failed and the target becomes suspect.
 */
#define DIRECT_PROBE_TIMEOUT_US ((int64_t)150 * 1000)
#define PROBE_TIMEOUT_US ((int64_t)350 * 1000)

/* Number of VMs that are asked to probe a target that did not respond. */
#define RELAYS_PER_PROBE 2u

/*
 * Time that a suspect VM has to refute the suspicion. It is longer while no VM has acknowledged a
 * probe for NO_ACK_US, because the fault is then probably on this VM itself.
 */
#define SUSPICION_TIMEOUT_US ((int64_t)350 * 1000)
#define NO_ACK_SUSPICION_FACTOR 4
#define NO_ACK_US ((int64_t)600 * 1000)

/* After this time between two ticks, other VMs may have declared this VM dead. */
#define PAUSE_THRESHOLD_US ((int64_t)600 * 1000)

/* After such a pause, this VM shows itself as suspect for this long if no probe is acknowledged. */
#define SELF_SUSPICION_US ((int64_t)500 * 1000)

/* Interval between two probes of dead VMs, which detect the ones that are reachable again. */
#define DEAD_PROBE_INTERVAL_US ((int64_t)1000 * 1000)

/* A dead VM that the platform no longer lists is removed after this time. */
#define DEAD_REMOVAL_US ((int64_t)30 * 1000 * 1000)

/*
 * Shortest interval between two views: several tasks copy and compare each view whole, and after a
 * network partition hundreds of VMs change within a second.
 */
#define VIEW_INTERVAL_US ((int64_t)100 * 1000)

/*
 * A VM whose view has not changed for the first time sends all its records to a VM that holds
 * others for dead, at most once in the second time. The updates of a change reach each VM only once
 * or twice; a VM that was split off then, or was held for dead itself, misses them.
 */
#define SETTLED_US ((int64_t)500 * 1000)
#define FULL_SEND_INTERVAL_US ((int64_t)1000 * 1000)

/* Number of messages that carry an update after each change. */
#define SENDS_PER_UPDATE (2u * JH_MEMBERSHIP_TARGETS)

typedef struct vm_record {
	/* Last state that was accepted from an update or decided by this VM. */
	jh_vm_update_t latest;
	/* The VM announced its graceful shutdown. Unlike its state, this survives a suspicion. */
	bool is_departing;
	/* The platform's last list contains the VM. */
	bool is_listed;
	/* The last list that contained the VM marks it as departing. */
	bool is_listed_departing;
	/* The next message to the VM carries @latest, because an older update about it arrived. */
	bool needs_correction;
	/* Number of messages that still have to carry @latest. */
	unsigned sends_left;
	/* Start of the timeouts of a suspect or dead VM: the last change, or the end of a pause. */
	int64_t changed_us;
} vm_record_t;

typedef struct probe {
	uint64_t sequence;
	const char *target;
	int64_t sent_us;
	/* Other VMs were asked to probe the target too. */
	bool relays_requested;
	/* VM for which this probe is relayed, and the sequence of its request; NULL: this VM. */
	const char *requester;
	uint64_t requester_sequence;
} probe_t;

struct jh_membership {
	const char *self;
	/* Interned name to vm_record_t; contains this VM. */
	GHashTable *records;
	/* Interned names, recomputed when the set of live VMs changes. */
	GPtrArray *targets;
	bool targets_stale;
	/* The view changed in the current event. */
	bool view_changed;
	/* A changed record has to be sent to all targets without waiting for the next probe. */
	bool has_urgent_updates;
	/* This VM refuted a report of its failure in the current event. */
	bool has_refuted;
	/* Index in @targets of the one probed last. */
	unsigned last_target;
	/* Number of dead VMs that were probed in this pass over @records. */
	unsigned dead_probed_count;
	/* Pending probes, probe_t. */
	GArray *probes;
	/* Sequence of the last probe. */
	uint64_t sequence;
	int64_t last_tick_us;
	int64_t last_view_us;
	/* When a record was last announced, and when all records were last sent to a VM. */
	int64_t last_change_us;
	int64_t last_full_send_us;
	/* Hash of the VMs that are not dead; valid unless @live_digest_stale. */
	uint64_t live_digest;
	bool live_digest_stale;
	int64_t last_probe_us;
	int64_t last_dead_probe_us;
	int64_t last_ack_us;
	/* Until then this VM shows itself as suspect; 0 if it does not. */
	int64_t self_suspect_until_us;
};

static vm_record_t *vm_record_find(const jh_membership_t *membership, const char *name)
{
	return g_hash_table_lookup(membership->records, name);
}

static vm_record_t *vm_record_self(const jh_membership_t *membership)
{
	return vm_record_find(membership, membership->self);
}

static vm_record_t *vm_record_add(jh_membership_t *membership, const jh_vm_update_t *update)
{
	vm_record_t *record = g_new0(vm_record_t, 1);

	record->latest = *update;
	g_hash_table_insert(membership->records, (gpointer)update->name, record);
	membership->live_digest_stale = true;
	return record;
}

/* Schedules the record to be sent to other VMs, and marks the view and the targets as changed. */
static void vm_record_announce(jh_membership_t *membership, vm_record_t *record, int64_t now_us)
{
	record->sends_left = SENDS_PER_UPDATE;
	record->changed_us = now_us;
	membership->last_change_us = now_us;
	membership->live_digest_stale = true;
	membership->has_urgent_updates = true;
	membership->view_changed = true;
	membership->targets_stale = true;
}

static void vm_record_set_state(jh_membership_t *membership, vm_record_t *record,
				jh_vm_state_t state, int64_t now_us)
{
	record->latest.state = state;
	vm_record_announce(membership, record, now_us);
}

/* Announces this VM's own state in an incarnation that replaces updates up to @incarnation. */
static void self_raise_incarnation(jh_membership_t *membership, uint64_t incarnation,
				   int64_t now_us)
{
	vm_record_t *self = vm_record_self(membership);

	self->latest.incarnation = incarnation + 1;
	vm_record_announce(membership, self, now_us);
}

static void self_apply_update(jh_membership_t *membership, const jh_vm_update_t *update,
			      int64_t now_us)
{
	const vm_record_t *self = vm_record_self(membership);

	if (update->incarnation < self->latest.incarnation)
		return;
	if (update->state == JH_VM_SUSPECT || update->state == JH_VM_DEAD)
		membership->has_refuted = true;
	else if (update->incarnation == self->latest.incarnation &&
		 update->state == self->latest.state)
		return;
	self_raise_incarnation(membership, update->incarnation, now_us);
}

static bool update_is_newer(const jh_vm_update_t *update, const vm_record_t *record)
{
	if (update->incarnation != record->latest.incarnation)
		return update->incarnation > record->latest.incarnation;
	return update->state > record->latest.state;
}

static bool update_has_new_address(const jh_vm_update_t *update, const vm_record_t *record)
{
	return update->host != record->latest.host || update->port != record->latest.port ||
	       update->dc != record->latest.dc;
}

/* A higher incarnation alone is not forwarded: the VM itself sends it to those that probe it. */
static bool update_needs_forwarding(const jh_vm_update_t *update, const vm_record_t *record)
{
	return update->state != record->latest.state || update_has_new_address(update, record);
}

/*
 * Handles an update that is older than the record: some VMs may still hold the outdated state. If
 * it reports a failure, the record is sent again to the targets. The VM itself receives its record
 * in the next message; a restarted VM, which begins at incarnation 1, then raises its incarnation.
 */
static void stale_update_correct(jh_membership_t *membership, const jh_vm_update_t *update,
				 vm_record_t *record)
{
	if (update->incarnation >= record->latest.incarnation)
		return;
	record->needs_correction = true;
	if (update->state < JH_VM_SUSPECT || record->sends_left > 0)
		return;
	record->sends_left = SENDS_PER_UPDATE;
	membership->has_urgent_updates = true;
}

static void update_apply(jh_membership_t *membership, const jh_vm_update_t *update, int64_t now_us)
{
	bool needs_forwarding = true;
	vm_record_t *record;

	if (update->name == membership->self) {
		self_apply_update(membership, update, now_us);
		return;
	}
	record = vm_record_find(membership, update->name);
	if (!record) {
		/* An unknown VM that is already dead needs no record. */
		if (update->state == JH_VM_DEAD)
			return;
		record = vm_record_add(membership, update);
	} else if (update_is_newer(update, record)) {
		needs_forwarding = update_needs_forwarding(update, record);
		record->latest = *update;
		membership->live_digest_stale = true;
	} else {
		stale_update_correct(membership, update, record);
		return;
	}
	if (update->state == JH_VM_LIVE || update->state == JH_VM_DEPARTING)
		record->is_departing = update->state == JH_VM_DEPARTING;
	if (needs_forwarding)
		vm_record_announce(membership, record, now_us);
}

/* 64-bit FNV-1a with a shortened final mix of MurmurHash3; the ring number changes its basis. */
static uint64_t ring_hash(const char *name, unsigned ring)
{
	uint64_t hash = 0xcbf29ce484222325u ^ (ring + 1) * 0x9e3779b97f4a7c15u;

	for (; *name; name++)
		hash = (hash ^ (unsigned char)*name) * 0x100000001b3u;
	hash ^= hash >> 33;
	hash *= 0xff51afd7ed558ccdu;
	return hash ^ hash >> 33;
}

/* Return: the hash of the VMs that this VM does not hold for dead */
static uint64_t live_digest(jh_membership_t *membership)
{
	GHashTableIter iter;
	gpointer value;

	if (!membership->live_digest_stale)
		return membership->live_digest;
	membership->live_digest = 1;
	g_hash_table_iter_init(&iter, membership->records);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const vm_record_t *record = value;

		if (record->latest.state != JH_VM_DEAD)
			membership->live_digest +=
				ring_hash(record->latest.name, JH_MEMBERSHIP_TARGETS);
	}
	membership->live_digest_stale = false;
	return membership->live_digest;
}

/* The next VM after this one on hash ring number @ring that is not dead; NULL if there is none. */
static const char *ring_successor(const jh_membership_t *membership, unsigned ring)
{
	uint64_t self = ring_hash(membership->self, ring);
	uint64_t best_distance = UINT64_MAX;
	const char *best = NULL;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, membership->records);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const vm_record_t *record = value;
		uint64_t distance = ring_hash(record->latest.name, ring) - self;

		if (record->latest.name == membership->self || record->latest.state == JH_VM_DEAD ||
		    distance >= best_distance)
			continue;
		best = record->latest.name;
		best_distance = distance;
	}
	return best;
}

static void targets_choose(jh_membership_t *membership)
{
	unsigned ring;

	if (!membership->targets_stale)
		return;
	membership->targets_stale = false;
	g_ptr_array_set_size(membership->targets, 0);
	for (ring = 0; ring < JH_MEMBERSHIP_TARGETS; ring++) {
		const char *name = ring_successor(membership, ring);

		if (name && !g_ptr_array_find(membership->targets, name, NULL))
			g_ptr_array_add(membership->targets, (gpointer)name);
	}
}

static void action_add_update(jh_membership_action_t *action, const jh_vm_update_t *update)
{
	unsigned i;

	for (i = 0; i < action->update_count; i++) {
		if (action->updates[i].name == update->name)
			return;
	}
	if (action->update_count < JH_MEMBERSHIP_MAX_UPDATES)
		action->updates[action->update_count++] = *update;
}

/*
 * Adds this VM's own state, then the receiver's record if the receiver has to refute it or raise
 * its own incarnation above the record's, then the records that still have to be sent, as many as
 * fit.
 */
static void action_fill_updates(jh_membership_t *membership, jh_membership_action_t *action)
{
	vm_record_t *to = vm_record_find(membership, action->to);
	GHashTableIter iter;
	gpointer value;

	action_add_update(action, &vm_record_self(membership)->latest);
	if (to && (to->needs_correction || to->latest.state == JH_VM_SUSPECT ||
		   to->latest.state == JH_VM_DEAD)) {
		action_add_update(action, &to->latest);
		to->needs_correction = false;
	}
	g_hash_table_iter_init(&iter, membership->records);
	while (action->update_count < JH_MEMBERSHIP_MAX_UPDATES &&
	       g_hash_table_iter_next(&iter, NULL, &value)) {
		vm_record_t *record = value;

		if (record->sends_left == 0)
			continue;
		record->sends_left--;
		action_add_update(action, &record->latest);
	}
}

static void message_add(jh_membership_t *membership, GArray *actions,
			jh_membership_action_type_t type, const char *to, uint64_t sequence,
			const char *target)
{
	jh_membership_action_t action = {
		.type = type,
		.to = to,
		.sequence = sequence,
		.target = target,
		.live_digest = live_digest(membership),
	};

	action_fill_updates(membership, &action);
	g_array_append_val(actions, action);
}

static void probe_send(jh_membership_t *membership, GArray *actions, const char *target,
		       const char *requester, uint64_t requester_sequence, int64_t now_us)
{
	probe_t probe = {
		.sequence = ++membership->sequence,
		.target = target,
		.sent_us = now_us,
		.requester = requester,
		.requester_sequence = requester_sequence,
	};

	g_array_append_val(membership->probes, probe);
	message_add(membership, actions, JH_MEMBERSHIP_SEND_PROBE, target, probe.sequence, NULL);
}

/* Asks other targets to probe the target of @probe on behalf of this VM. */
static void probe_request_relays(jh_membership_t *membership, const probe_t *probe, uint64_t random,
				 GArray *actions)
{
	unsigned count = membership->targets->len;
	unsigned relay_count = 0;
	unsigned i;

	for (i = 0; i < count && relay_count < RELAYS_PER_PROBE; i++) {
		const char *relay =
			g_ptr_array_index(membership->targets, (random % count + i) % count);

		if (relay == probe->target)
			continue;
		message_add(membership, actions, JH_MEMBERSHIP_SEND_PROBE, relay, probe->sequence,
			    probe->target);
		relay_count++;
	}
}

static void probe_expire(jh_membership_t *membership, const probe_t *probe, int64_t now_us)
{
	vm_record_t *record = vm_record_find(membership, probe->target);

	if (!probe->requester && record &&
	    (record->latest.state == JH_VM_LIVE || record->latest.state == JH_VM_DEPARTING))
		vm_record_set_state(membership, record, JH_VM_SUSPECT, now_us);
}

static void probes_check_timeouts(jh_membership_t *membership, int64_t now_us, uint64_t random,
				  GArray *actions)
{
	unsigned i = membership->probes->len;

	while (i-- > 0) {
		probe_t *probe = &g_array_index(membership->probes, probe_t, i);
		int64_t age_us = now_us - probe->sent_us;

		if (age_us >= PROBE_TIMEOUT_US) {
			probe_expire(membership, probe, now_us);
			g_array_remove_index_fast(membership->probes, i);
		} else if (age_us >= DIRECT_PROBE_TIMEOUT_US && !probe->relays_requested &&
			   !probe->requester) {
			probe->relays_requested = true;
			probe_request_relays(membership, probe, random, actions);
		}
	}
}

static void vm_records_check_timeouts(jh_membership_t *membership, int64_t now_us)
{
	bool has_no_acks = now_us - membership->last_ack_us > NO_ACK_US;
	int64_t limit_us =
		has_no_acks ? SUSPICION_TIMEOUT_US * NO_ACK_SUSPICION_FACTOR : SUSPICION_TIMEOUT_US;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, membership->records);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		vm_record_t *record = value;
		int64_t age_us = now_us - record->changed_us;

		if (record->latest.state == JH_VM_SUSPECT && age_us >= limit_us) {
			vm_record_set_state(membership, record, JH_VM_DEAD, now_us);
		} else if (record->latest.state == JH_VM_DEAD && !record->is_listed &&
			   age_us >= DEAD_REMOVAL_US) {
			membership->view_changed = true;
			g_hash_table_iter_remove(&iter);
		}
	}
}

static void target_probe_next(jh_membership_t *membership, int64_t now_us, GArray *actions)
{
	const char *target;

	if (membership->targets->len == 0 || now_us - membership->last_probe_us < PROBE_INTERVAL_US)
		return;
	membership->last_probe_us = now_us;
	membership->last_target = (membership->last_target + 1) % membership->targets->len;
	target = g_ptr_array_index(membership->targets, membership->last_target);
	probe_send(membership, actions, target, NULL, 0, now_us);
}

/*
 * Probes one dead VM at a time, in turn. After a network partition, both sides have each other's
 * VMs recorded as dead and do not choose them as targets; only these probes make contact again.
 */
static void dead_vm_probe_next(jh_membership_t *membership, int64_t now_us, GArray *actions)
{
	unsigned dead_index = 0;
	GHashTableIter iter;
	gpointer value;

	if (now_us - membership->last_dead_probe_us < DEAD_PROBE_INTERVAL_US)
		return;
	membership->last_dead_probe_us = now_us;
	g_hash_table_iter_init(&iter, membership->records);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const vm_record_t *record = value;

		if (record->latest.state != JH_VM_DEAD ||
		    dead_index++ != membership->dead_probed_count)
			continue;
		membership->dead_probed_count++;
		message_add(membership, actions, JH_MEMBERSHIP_SEND_PROBE, record->latest.name,
			    ++membership->sequence, NULL);
		return;
	}
	membership->dead_probed_count = 0;
}

/* True if a changed record was not sent yet, because no message had room for it. */
static bool updates_are_unsent(const jh_membership_t *membership)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, membership->records);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (((const vm_record_t *)value)->sends_left == SENDS_PER_UPDATE)
			return true;
	}
	return false;
}

/*
 * Sends changed records to all targets immediately, because roles move with them; sequence 0
 * requests no ProbeAck. Records that found no room are sent at the next tick.
 */
static void updates_flush(jh_membership_t *membership, GArray *actions)
{
	unsigned i;

	if (!membership->has_urgent_updates)
		return;
	for (i = 0; i < membership->targets->len; i++)
		message_add(membership, actions, JH_MEMBERSHIP_SEND_PROBE,
			    g_ptr_array_index(membership->targets, i), 0, NULL);
	membership->has_urgent_updates =
		membership->targets->len > 0 && updates_are_unsent(membership);
}

/*
 * Handles the end of a pause of this VM. Its records are outdated, and the other VMs may have
 * declared it dead and moved its roles. It therefore shows itself as suspect, which gives it no
 * role, until a VM acknowledges a new probe: the ProbeAck reports whether it was declared dead.
 * Suspect VMs get the whole time to refute again, and pending probes are dropped.
 */
static void pause_recover(jh_membership_t *membership, int64_t now_us)
{
	GHashTableIter iter;
	gpointer value;

	g_array_set_size(membership->probes, 0);
	g_hash_table_iter_init(&iter, membership->records);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		vm_record_t *record = value;

		if (record->latest.state == JH_VM_SUSPECT)
			record->changed_us = now_us;
	}
	membership->last_ack_us = now_us;
	membership->self_suspect_until_us = now_us + SELF_SUSPICION_US;
	membership->has_urgent_updates = true;
	membership->view_changed = true;
}

/*
 * Handles a tick that is late by less than a pause. Acks may wait unread in the sockets of this VM,
 * so the time by which the tick is late is not counted as silence of other VMs.
 */
static void lateness_forgive(jh_membership_t *membership, int64_t late_us)
{
	GHashTableIter iter;
	gpointer value;
	unsigned i;

	for (i = 0; i < membership->probes->len; i++)
		g_array_index(membership->probes, probe_t, i).sent_us += late_us;
	g_hash_table_iter_init(&iter, membership->records);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		vm_record_t *record = value;

		if (record->latest.state == JH_VM_SUSPECT)
			record->changed_us += late_us;
	}
	membership->last_ack_us += late_us;
}

static void self_suspicion_end(jh_membership_t *membership)
{
	if (membership->self_suspect_until_us == 0)
		return;
	membership->self_suspect_until_us = 0;
	membership->view_changed = true;
}

static void on_tick(jh_membership_t *membership, int64_t now_us, uint64_t random, GArray *actions)
{
	int64_t late_us = membership->last_tick_us == 0 ?
				  0 :
				  now_us - membership->last_tick_us - JH_MEMBERSHIP_TICK_US;

	if (late_us >= PAUSE_THRESHOLD_US - JH_MEMBERSHIP_TICK_US)
		pause_recover(membership, now_us);
	else if (membership->self_suspect_until_us && now_us >= membership->self_suspect_until_us)
		self_suspicion_end(membership);
	if (late_us > 0 && late_us < PAUSE_THRESHOLD_US - JH_MEMBERSHIP_TICK_US)
		lateness_forgive(membership, late_us);
	membership->last_tick_us = now_us;
	targets_choose(membership);
	probes_check_timeouts(membership, now_us, random, actions);
	vm_records_check_timeouts(membership, now_us);
	targets_choose(membership);
	updates_flush(membership, actions);
	target_probe_next(membership, now_us, actions);
	dead_vm_probe_next(membership, now_us, actions);
}

static void updates_apply(jh_membership_t *membership, const jh_membership_event_t *event,
			  int64_t now_us)
{
	unsigned i;

	for (i = 0; i < event->update_count; i++)
		update_apply(membership, &event->updates[i], now_us);
}

/* Sends all records to @to, except those of dead VMs that are about to be removed. */
static void records_send_all(jh_membership_t *membership, const char *to, GArray *actions)
{
	jh_membership_action_t action = { .type = JH_MEMBERSHIP_SEND_PROBE,
					  .to = to,
					  .live_digest = live_digest(membership) };
	GHashTableIter iter;
	gpointer value;

	action_add_update(&action, &vm_record_self(membership)->latest);
	g_hash_table_iter_init(&iter, membership->records);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const vm_record_t *record = value;

		if (record->latest.state == JH_VM_DEAD && !record->is_listed)
			continue;
		action_add_update(&action, &record->latest);
		if (action.update_count < JH_MEMBERSHIP_MAX_UPDATES)
			continue;
		g_array_append_val(actions, action);
		action.update_count = 1;
	}
	if (action.update_count > 1)
		g_array_append_val(actions, action);
}

/* Compares the sender's view with this VM's, and repairs the sender's if they differ. */
static void views_compare(jh_membership_t *membership, const jh_membership_event_t *event,
			  int64_t now_us, GArray *actions)
{
	if (event->live_digest == 0 || event->live_digest == live_digest(membership) ||
	    now_us - membership->last_change_us < SETTLED_US ||
	    now_us - membership->last_full_send_us < FULL_SEND_INTERVAL_US)
		return;
	membership->last_full_send_us = now_us;
	records_send_all(membership, event->from, actions);
}

static void handle_probe(jh_membership_t *membership, const jh_membership_event_t *event,
			 int64_t now_us, GArray *actions)
{
	updates_apply(membership, event, now_us);
	views_compare(membership, event, now_us, actions);
	if (event->target)
		probe_send(membership, actions, event->target, event->from, event->sequence,
			   now_us);
	else if (event->sequence != 0)
		message_add(membership, actions, JH_MEMBERSHIP_SEND_ACK, event->from,
			    event->sequence, NULL);
}

/*
 * A probe of this VM is acknowledged by its target, or by a relay on behalf of @event->target. A
 * probe that this VM relayed is acknowledged to the VM that requested it.
 */
static void handle_ack(jh_membership_t *membership, const jh_membership_event_t *event,
		       int64_t now_us, GArray *actions)
{
	const char *target = event->target ? event->target : event->from;
	unsigned i;

	updates_apply(membership, event, now_us);
	views_compare(membership, event, now_us, actions);
	membership->last_ack_us = now_us;
	/*
	 * Only a ProbeAck for a pending probe ends the self-suspicion. Probes from before a pause
	 * are no longer pending: their ProbeAck does not show whether this VM was declared dead
	 * since.
	 */
	for (i = 0; i < membership->probes->len; i++) {
		probe_t probe = g_array_index(membership->probes, probe_t, i);

		if (probe.sequence != event->sequence || probe.target != target)
			continue;
		g_array_remove_index_fast(membership->probes, i);
		self_suspicion_end(membership);
		if (probe.requester)
			message_add(membership, actions, JH_MEMBERSHIP_SEND_ACK, probe.requester,
				    probe.requester_sequence, probe.target);
		return;
	}
}

static void listed_vm_apply(jh_membership_t *membership, const jh_vm_t *vm, int64_t now_us)
{
	const jh_vm_update_t update = {
		.name = g_intern_string(vm->name),
		.dc = g_intern_string(vm->dc),
		.host = g_intern_string(vm->host),
		.port = vm->port,
		.state = JH_VM_LIVE,
		.weight = vm->weight,
	};
	vm_record_t *record = vm_record_find(membership, update.name);
	bool is_departing = vm->state == JH_VM_DEPARTING;

	if (!record) {
		record = vm_record_add(membership, &update);
		record->changed_us = now_us;
		membership->view_changed = true;
		membership->targets_stale = true;
	} else if (record->latest.incarnation == 0 && update_has_new_address(&update, record)) {
		/*
		 * The VM itself has not reported its state yet (incarnation 0), so the list is
		 * the only source of its address. The corrected record starts as live again.
		 */
		record->latest = update;
		vm_record_announce(membership, record, now_us);
	}
	membership->view_changed |= is_departing != record->is_listed_departing;
	record->is_listed = true;
	record->is_listed_departing = is_departing;
}

static void on_vm_list(jh_membership_t *membership, const GPtrArray *list, int64_t now_us)
{
	GHashTableIter iter;
	gpointer value;
	unsigned i;

	g_hash_table_iter_init(&iter, membership->records);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((vm_record_t *)value)->is_listed = false;
	for (i = 0; i < list->len; i++)
		listed_vm_apply(membership, g_ptr_array_index(list, i), now_us);
}

static void on_drain(jh_membership_t *membership, int64_t now_us, GArray *actions)
{
	vm_record_t *self = vm_record_self(membership);

	self->is_departing = true;
	self->latest.incarnation++;
	vm_record_set_state(membership, self, JH_VM_DEPARTING, now_us);
	targets_choose(membership);
	updates_flush(membership, actions);
}

static void action_add_if_set(GArray *actions, jh_membership_action_type_t type, bool *flag)
{
	jh_membership_action_t action = { .type = type };

	if (*flag)
		g_array_append_val(actions, action);
	*flag = false;
}

void jh_membership_decide(jh_membership_t *membership, const jh_membership_event_t *event,
			  int64_t now_us, uint64_t random, GArray *actions)
{
	g_array_set_size(actions, 0);
	switch (event->type) {
	case JH_MEMBERSHIP_TICK:
		on_tick(membership, now_us, random, actions);
		break;
	case JH_MEMBERSHIP_PROBE_RECEIVED:
		handle_probe(membership, event, now_us, actions);
		break;
	case JH_MEMBERSHIP_ACK_RECEIVED:
		handle_ack(membership, event, now_us, actions);
		break;
	case JH_MEMBERSHIP_LIST_READ:
		on_vm_list(membership, event->list, now_us);
		break;
	case JH_MEMBERSHIP_DRAIN_STARTED:
		on_drain(membership, now_us, actions);
		break;
	}
	action_add_if_set(actions, JH_MEMBERSHIP_REFUTED, &membership->has_refuted);
	if (!membership->view_changed || now_us - membership->last_view_us < VIEW_INTERVAL_US)
		return;
	membership->last_view_us = now_us;
	action_add_if_set(actions, JH_MEMBERSHIP_PUBLISH_VIEW, &membership->view_changed);
}

static jh_vm_state_t vm_record_view_state(const jh_membership_t *membership,
					  const vm_record_t *record)
{
	bool is_self = record->latest.name == membership->self;

	if (record->latest.state == JH_VM_DEAD)
		return JH_VM_DEAD;
	if (is_self && membership->self_suspect_until_us)
		return JH_VM_SUSPECT;
	return record->is_departing || record->is_listed_departing ? JH_VM_DEPARTING : JH_VM_LIVE;
}

static gint vm_compare_names(gconstpointer a, gconstpointer b)
{
	const jh_vm_t *const *left = a;
	const jh_vm_t *const *right = b;

	return strcmp((*left)->name, (*right)->name);
}

GPtrArray *jh_membership_view(const jh_membership_t *membership)
{
	GPtrArray *view = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, membership->records);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const vm_record_t *record = value;
		jh_vm_t *vm = g_new0(jh_vm_t, 1);

		vm->name = g_strdup(record->latest.name);
		vm->dc = g_strdup(record->latest.dc);
		vm->host = g_strdup(record->latest.host);
		vm->port = record->latest.port;
		vm->state = vm_record_view_state(membership, record);
		vm->weight = record->latest.weight;
		g_ptr_array_add(view, vm);
	}
	g_ptr_array_sort(view, vm_compare_names);
	return view;
}

jh_vm_state_t jh_membership_state(const jh_membership_t *membership, const char *name)
{
	const vm_record_t *record = vm_record_find(membership, g_intern_string(name));

	return record ? record->latest.state : JH_VM_DEAD;
}

jh_membership_t *jh_membership_new(const jh_vm_t *self)
{
	jh_membership_t *membership = g_new0(jh_membership_t, 1);
	const jh_vm_update_t update = {
		.name = g_intern_string(self->name),
		.dc = g_intern_string(self->dc),
		.host = g_intern_string(self->host),
		.port = self->port,
		.state = JH_VM_LIVE,
		.weight = self->weight,
		.incarnation = 1,
	};

	membership->self = update.name;
	membership->records = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	membership->targets = g_ptr_array_new();
	membership->probes = g_array_new(FALSE, FALSE, sizeof(probe_t));
	membership->view_changed = true;
	membership->live_digest_stale = true;
	vm_record_add(membership, &update)->sends_left = SENDS_PER_UPDATE;
	return membership;
}

void jh_membership_free(jh_membership_t *membership)
{
	if (!membership)
		return;
	g_hash_table_destroy(membership->records);
	g_ptr_array_free(membership->targets, TRUE);
	g_array_free(membership->probes, TRUE);
	g_free(membership);
}
