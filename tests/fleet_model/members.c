#include "model.h"

#include "internal/lead.h"
#include "virtual_loop.h"

#include <stdio.h>
#include <string.h>

/*
 * The members of the model: terms, received positions and promotions, and the leader's requests to
 * them, which here need no connection.
 */

/* A member replicates a commit to the others within this time, microseconds. */
#define REPLICATION_MAX_US 60000

#define STEP_DOWN_US 1000000

/* After a network partition a replica has the primary's log again within this time, microseconds.
 */
#define CATCH_UP_MAX_US 2000000

#define PROMOTE_MIN_US 200000
#define PROMOTE_MAX_US 900000

/* A crashed member's registration disappears after three heartbeats. */
#define LAPSE_US (3600 * INT64_C(1000))

/* A member writes its registration this often, and it lapses after three times. */
#define BEAT_US (1200 * 1000)

/* Commits of a member that was disturbed so recently may be lost in a promotion, microseconds. */
#define LOSS_EXCUSED_US 12000000

/* A member that leaves serves on for the drain time and as long as this, microseconds. */
#define LEAVE_EXTRA_MAX_US 8000000

#define MEMBER_ANSWER_MIN_US 300
#define MEMBER_ANSWER_MAX_US 4000

const char *group_name(unsigned group)
{
	char name[16];

	g_snprintf(name, sizeof(name), "db-%u", group + 1);
	return g_intern_string(name);
}

member_t *member_find(const char *id)
{
	unsigned i;

	for (i = 0; i < model.members->len; i++) {
		member_t *member = g_ptr_array_index(model.members, i);

		if (g_str_equal(member->id, id))
			return member;
	}
	return NULL;
}

/* Return: the highest term that a member of the group has led */
static uint64_t group_term(unsigned group)
{
	uint64_t term = 1;
	unsigned i;

	for (i = 0; i < model.members->len; i++) {
		const member_t *member = g_ptr_array_index(model.members, i);

		if (member->group == group)
			term = MAX(term, member->term);
	}
	return term;
}

member_t *group_find_newest_primary(unsigned group)
{
	member_t *newest = NULL;
	unsigned i;

	for (i = 0; i < model.members->len; i++) {
		member_t *member = g_ptr_array_index(model.members, i);

		if (member->group == group && member->is_primary &&
		    (!newest || member->term > newest->term))
			newest = member;
	}
	return newest;
}

static void member_register(const member_t *member)
{
	char *text = g_strdup_printf(
		"{\"service\":\"%s\",\"addr\":\"10.0.%u.%u:5000\",\"zone\":\"dc-%u\",\"slots\":4,"
		"\"version\":\"1\",\"coldLeftMs\":0,\"state\":\"%s\",\"dbRole\":\"%s\",\"born\":%" G_GINT64_FORMAT
		",\"seq\":1}",
		group_name(member->group), member->group, member->serial % 250, member->serial % 3,
		member->leaving_since_us ? "draining" : "ready",
		member->is_primary ? "primary" : "replica", member->born_ms);

	store_write(JH_MIRROR_MEMBERS, member->id, text);
	g_free(text);
}

/* ---- Registrations, which need a store that accepts writes ---- */

static bool store_accepts_others(void)
{
	return !model.is_away && model.others_blocked == 0;
}

static void on_register(void *data)
{
	member_t *member = data;

	if (member->has_left || member->is_cut_from_store ||
	    (!member->is_up && !member->leaving_since_us))
		return;
	if (!store_accepts_others()) {
		virtual_call_at(virtual_now_us() + 200000, on_register, member, NULL);
		return;
	}
	member_register(member);
}

static void on_left(void *data)
{
	member_t *member = data;

	member->is_up = false;
	member->has_left = true;
	if (!store_accepts_others()) {
		virtual_call_at(virtual_now_us() + 200000, on_left, member, NULL);
		return;
	}
	store_write(JH_MIRROR_MEMBERS, member->id, NULL);
}

static void on_leaving(void *data)
{
	member_t *member = data;

	if (!member->is_up || member->leaving_since_us)
		return;
	if (!store_accepts_others()) {
		virtual_call_at(virtual_now_us() + 200000, on_leaving, member, NULL);
		return;
	}
	member->leaving_since_us = virtual_now_us();
	member->is_leave_bounded = model_store_is_stable();
	member_register(member);
	model_trace("member %s leaves", member->id);
	virtual_call_at(virtual_now_us() + (int64_t)model.run->drain_ms * 1000 +
				g_random_int_range(0, LEAVE_EXTRA_MAX_US),
			on_left, member, NULL);
}

/* Return: end of the newest primary's log, which a new member receives before it starts */
static uint64_t group_log_end(unsigned group)
{
	const member_t *primary = group_find_newest_primary(group);

	return primary ? primary->received : 0;
}

member_t *group_find_replica(unsigned group)
{
	unsigned i;

	for (i = 0; i < model.members->len; i++) {
		member_t *member = g_ptr_array_index(model.members, i);

		if (member->group == group && member->is_up && !member->is_primary &&
		    !member->is_deaf && !member->is_cut_from_store && !member->leaving_since_us)
			return member;
	}
	return NULL;
}

member_t *member_start(unsigned group, bool is_primary)
{
	const member_t *primary = group_find_newest_primary(group);
	member_t *member = g_new0(member_t, 1);
	char id[24];

	member->serial = model.members->len;
	g_snprintf(id, sizeof(id), "i-%u-%u", group + 1, member->serial);
	member->id = g_intern_string(id);
	member->group = group;
	member->is_up = true;
	member->is_primary = is_primary;
	member->term = group_term(group);
	member->led_term = is_primary ? member->term : 0;
	member->received = group_log_end(group);
	member->log_term = primary ? primary->log_term : member->term;
	member->born_ms = virtual_now_us() / 1000;
	g_ptr_array_add(model.members, member);
	on_register(member);
	return member;
}

void members_register_again(void)
{
	unsigned i;

	for (i = 0; i < model.members->len; i++) {
		member_t *member = g_ptr_array_index(model.members, i);

		if (member->is_up)
			virtual_call_at(virtual_now_us() + g_random_int_range(0, 2000000),
					on_register, member, NULL);
	}
}

void member_leave(member_t *member)
{
	member_start(member->group, false);
	virtual_call_at(virtual_now_us() + g_random_int_range(0, 1500000), on_leaving, member,
			NULL);
}

static void on_lapse(void *data)
{
	member_t *member = data;

	if ((!member->is_up || member->is_cut_from_store) && !member->has_left)
		store_write(JH_MIRROR_MEMBERS, member->id, NULL);
}

void member_cut_from_store(member_t *member, bool is_cut, uint64_t vms)
{
	member->is_cut_from_store = is_cut;
	member->cut_vms = is_cut ? member->cut_vms | vms : 0;
	member->disturbed_us = virtual_now_us();
	/* Its last beat was up to one interval ago, and so is the next one. */
	if (is_cut)
		virtual_call_at(virtual_now_us() + LAPSE_US - g_random_int_range(0, BEAT_US),
				on_lapse, member, NULL);
	else
		virtual_call_at(virtual_now_us() + g_random_int_range(0, BEAT_US), on_register,
				member, NULL);
}

/* Drops what another member has that the log of a promoted one lacks. */
static void roll_back(member_t *member, const member_t *promoted)
{
	member->received = MIN(member->received, promoted->received);
	member->log_term = MIN(member->log_term, promoted->log_term);
}

static void on_member_back(void *data)
{
	member_t *member = data;
	const member_t *primary = group_find_newest_primary(member->group);

	if (member->has_left)
		return;
	member->is_up = true;
	if (group_term(member->group) > member->term) {
		member->is_primary = false;
		member->term = group_term(member->group);
		if (primary && primary != member)
			roll_back(member, primary);
	}
	on_register(member);
	if (model.run->sync_replicas > 0)
		members_catch_up(member->group);
}

void member_crash(member_t *member, int64_t down_us)
{
	if (!member->is_up)
		return;
	member->is_up = false;
	member->disturbed_us = virtual_now_us();
	model_trace("member %s crashes", member->id);
	if (down_us > LAPSE_US)
		virtual_call_at(virtual_now_us() + LAPSE_US, on_lapse, member, NULL);
	if (down_us != INT64_MAX)
		virtual_call_at(virtual_now_us() + down_us, on_member_back, member, NULL);
}

/* ---- Promotion ---- */

/* An earlier primary ends a second after it can reach the new one. */
static void on_reaches_others(void *data)
{
	member_t *member = data;

	if (member->is_up && member->cut_vms == 0 && member->term < group_term(member->group)) {
		member->is_primary = false;
		member->term = group_term(member->group);
	}
}

void members_reach_each_other(unsigned group)
{
	unsigned i;

	for (i = 0; i < model.members->len; i++) {
		member_t *member = g_ptr_array_index(model.members, i);

		if (member->group == group)
			virtual_call_at(virtual_now_us() + STEP_DOWN_US, on_reaches_others, member,
					NULL);
	}
}

/*
 * A commit that a promoted member lacks is rolled back. With synchronous replicas that must be none
 * that was acknowledged. Without, the replicas receive it from the old primary unless that was cut
 * off, killed or leaving; then the commits of its last moments may be lost.
 */
static void check_log(const member_t *promoted)
{
	uint64_t acked = model.acked[promoted->group];
	const member_t *old = NULL;
	unsigned i;

	if (model.run->sync_replicas > 0 && promoted->received < acked)
		model_break_rule(
			"LOST",
			"%s is promoted without %" G_GUINT64_FORMAT " acknowledged commits of %s",
			promoted->id, acked - promoted->received, group_name(promoted->group));
	for (i = 0; i < model.members->len; i++) {
		const member_t *member = g_ptr_array_index(model.members, i);

		if (member->group == promoted->group && member->led_term > 0 &&
		    (!old || member->led_term > old->led_term))
			old = member;
	}
	if (!old || old == promoted || old->received <= promoted->received)
		return;
	model.result.rolled_back += old->received - promoted->received;
	if (model.run->sync_replicas == 0 && old->is_up && !old->leaving_since_us &&
	    old->cut_vms == 0 && virtual_now_us() - old->disturbed_us > LOSS_EXCUSED_US)
		model_break_rule("LOST",
				 "%s is promoted without %" G_GUINT64_FORMAT " commits that %s has",
				 promoted->id, old->received - promoted->received, old->id);
}

static void on_promoted(void *data)
{
	member_t *member = data;
	uint64_t term = group_term(member->group) + 1;
	unsigned i;

	if (!member->is_up)
		return;
	member->is_primary = true;
	member->term = term;
	model.result.promotions++;
	model_trace("member %s is the primary of term %" G_GUINT64_FORMAT, member->id, term);
	check_log(member);
	member->led_term = term;
	for (i = 0; i < model.members->len; i++) {
		member_t *other = g_ptr_array_index(model.members, i);

		if (other != member && other->group == member->group && !other->is_primary)
			roll_back(other, member);
	}
	on_register(member);
	members_reach_each_other(member->group);
	/* Otherwise a replica receives the earlier commits only with the next one. */
	if (model.run->sync_replicas > 0)
		members_catch_up(member->group);
}

bool member_promote(const char *group, const char *id, const char *holder, uint64_t fence)
{
	member_t *member = member_find(id);

	if (fence < model.fence)
		model_break_rule("ONE",
				 "%s promotes with fence %" G_GUINT64_FORMAT
				 " after %" G_GUINT64_FORMAT,
				 holder, fence, model.fence);
	if (fence == model.fence && model.fence_holder && !g_str_equal(model.fence_holder, holder))
		model_break_rule("ONE", "%s and %s promote with fence %" G_GUINT64_FORMAT,
				 model.fence_holder, holder, fence);
	model.fence = MAX(model.fence, fence);
	g_free(model.fence_holder);
	model.fence_holder = g_strdup(holder);
	model_trace("%s promotes %s of %s, fence %" G_GUINT64_FORMAT, holder, id, group, fence);
	if (!member || !member->is_up)
		return false;
	if (member->is_primary && member == group_find_newest_primary(member->group))
		return true;
	virtual_call_at(virtual_now_us() + g_random_int_range(PROMOTE_MIN_US, PROMOTE_MAX_US),
			on_promoted, member, NULL);
	return true;
}

/* ---- Commits ---- */

typedef struct replication {
	member_t *member;
	uint64_t term;
	uint64_t position;
	/* The VM that sent the commit, its instance, and what it had been told before. */
	unsigned vm;
	unsigned instance;
	jh_position_t after;
} replication_t;

/* Return: whether the member receives what the primary, NULL if there is none, commits in @term */
static bool member_receives(const member_t *member, const member_t *primary, uint64_t term)
{
	return member->is_up && !member->is_primary && !member->is_deaf && primary &&
	       primary->term == term && primary->is_apart == member->is_apart;
}

/*
 * Return: the member whose log the others receive: the newest primary, or the one that was it last
 * and has stepped down
 */
static const member_t *group_find_source(unsigned group)
{
	const member_t *newest = group_find_newest_primary(group);
	unsigned i;

	for (i = 0; i < model.members->len; i++) {
		const member_t *member = g_ptr_array_index(model.members, i);

		if (member->group == group && member->led_term > (newest ? newest->led_term : 0))
			newest = member;
	}
	return newest;
}

/* A commit is acknowledged once the first replica has it, unless its primary may be replaced. */
static void on_acknowledged(const replication_t *replication)
{
	const member_t *member = replication->member;
	const member_t *primary = group_find_newest_primary(member->group);
	vm_t *vm = &model.vms[replication->vm];
	uint64_t epoch;

	if (!vm->kernel || vm->instance != replication->instance || vm->is_frozen || !primary ||
	    !primary->is_up || primary->term != replication->term || !vm_has_lease(vm) ||
	    vm_find_primary(vm, member->group, &epoch) != primary)
		return;
	model.acked[member->group] = MAX(model.acked[member->group], replication->position);
	vm_acknowledge(vm, member->group, replication->after,
		       (jh_position_t){ replication->term, replication->position });
}

static void on_replicated(void *data)
{
	replication_t *replication = data;
	member_t *member = replication->member;

	if (member_receives(member, group_find_source(member->group), replication->term)) {
		member->received = MAX(member->received, replication->position);
		member->log_term = MAX(member->log_term, replication->term);
		on_acknowledged(replication);
	}
	g_free(replication);
}

static void on_caught_up(void *data)
{
	member_t *member = data;
	const member_t *primary = group_find_source(member->group);

	if (primary && primary->is_up && member_receives(member, primary, primary->term)) {
		member->received = MAX(member->received, primary->received);
		member->log_term = MAX(member->log_term, primary->log_term);
	}
}

void member_set_deaf(member_t *member, bool is_deaf)
{
	member->is_deaf = is_deaf;
	member->disturbed_us = virtual_now_us();
	if (!is_deaf)
		virtual_call_at(virtual_now_us() + g_random_int_range(1000, CATCH_UP_MAX_US),
				on_caught_up, member, NULL);
}

void members_catch_up(unsigned group)
{
	unsigned i;

	for (i = 0; i < model.members->len; i++) {
		member_t *member = g_ptr_array_index(model.members, i);

		if (member->group == group)
			virtual_call_at(virtual_now_us() +
						g_random_int_range(1000, CATCH_UP_MAX_US),
					on_caught_up, member, NULL);
	}
}

void member_read(const vm_t *vm, const member_t *member)
{
	const member_t *newest = group_find_newest_primary(member->group);

	if (member->is_up && !model_is_concerned(member->cut_vms, vm->index) && newest &&
	    newest->received > member->received)
		model_break_rule(
			"STALE", "%s reads at %s, which lacks %" G_GUINT64_FORMAT " commits of %s",
			vm->name, member->id, newest->received - member->received, newest->id);
}

void member_commit(vm_t *vm, member_t *member)
{
	const member_t *newest = group_find_newest_primary(member->group);
	unsigned i;

	if (!member->is_up || !member->is_primary ||
	    model_is_concerned(member->cut_vms, vm->index)) {
		vm_report_primary(vm, member->group, member->id);
		return;
	}
	if (newest != member)
		model_break_rule("ONE",
				 "%s commits at %s of term %" G_GUINT64_FORMAT
				 ", but %s leads term %" G_GUINT64_FORMAT,
				 vm->name, member->id, member->term, newest->id, newest->term);
	member->received++;
	member->log_term = member->term;
	for (i = 0; i < model.members->len; i++) {
		member_t *other = g_ptr_array_index(model.members, i);
		replication_t *replication;

		if (other == member || other->group != member->group || !other->is_up)
			continue;
		replication = g_new0(replication_t, 1);
		*replication = (replication_t){ .member = other,
						.term = member->term,
						.position = member->received,
						.vm = vm->index,
						.instance = vm->instance,
						.after = vm->told[member->group] };
		virtual_call_at(virtual_now_us() + g_random_int_range(500, REPLICATION_MAX_US),
				on_replicated, replication, g_free);
	}
}

/* ---- Requests of the leader ---- */

struct _jh_inquiry {
	unsigned vm;
	unsigned instance;
	const char *member;
	_jh_inquiry_request_t request;
	/* The timeout ends before the member's reply comes. */
	bool is_late;
};

static void on_inquiry(void *data)
{
	_jh_inquiry_t *inquiry = data;
	const vm_t *vm = &model.vms[inquiry->vm];
	member_t *member = member_find(inquiry->member);
	jh_member_status_t status = { 0 };
	bool is_reached =
		member && member->is_up && !model_is_concerned(member->cut_vms, inquiry->vm);

	if (vm->kernel && vm->instance == inquiry->instance) {
		if (vm->is_frozen) {
			virtual_call_at(virtual_now_us() + 50000, on_inquiry, inquiry, g_free);
			return;
		}
		if (is_reached) {
			if (inquiry->request.type == JH_STATEMENT_STEP_DOWN &&
			    member->term < inquiry->request.term)
				member->is_primary = false;
			status.is_primary = member->is_primary;
			status.term = member->term;
			status.received = (jh_position_t){ member->log_term, member->received };
		}
		inquiry->request.done(inquiry->request.data, inquiry->member,
				      is_reached && !inquiry->is_late ? &status : NULL);
		virtual_loop_wake(jh_kernel_loop(vm->kernel));
	}
	g_free(inquiry);
}

/* Replaces the function of modules/lead/inquiry.c, which needs a connection. */
_jh_inquiry_t *_jh_inquiry_start(jh_task_t *task, const jh_wire_t *wire,
				 const _jh_inquiry_request_t *request)
{
	const vm_t *vm = vm_of_task(task);
	_jh_inquiry_t *inquiry = g_new0(_jh_inquiry_t, 1);
	int64_t timeout_us = (int64_t)(request->timeout_s * G_USEC_PER_SEC);
	int64_t takes_us = g_random_int_range(MEMBER_ANSWER_MIN_US, MEMBER_ANSWER_MAX_US) +
			   (int64_t)model.run->member_delay_ms * 1000;

	(void)wire;
	inquiry->is_late = takes_us > timeout_us;
	inquiry->vm = vm->index;
	inquiry->instance = vm->instance;
	inquiry->member = request->member->id;
	inquiry->request = *request;
	inquiry->request.member = NULL;
	virtual_call_at(virtual_now_us() + MIN(takes_us, timeout_us), on_inquiry, inquiry, g_free);
	return inquiry;
}

void _jh_inquiry_cancel(_jh_inquiry_t *inquiry)
{
	inquiry->instance = 0;
}
