#include "model.h"

#include "jh_log.h"
#include "virtual_loop.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#define PROBE_INTERVAL_US (25 * INT64_C(1000))

/* Routes of a configuration, by the variant of the change. */
#define ROUTES_MAX 400

/* A crash or cut that is longer than this never ends within a run. */
#define FAULT_LASTS_MAX_US 9000000

/* All faults end this long before the run does, so that it shows whether the fleet recovers. */
#define RECOVERY_US (14 * INT64_C(1000000))

model_t model;

static const char *const fault_names[] = {
	[FLEET_STORE_SILENT] = "store_silent",
	[FLEET_STORE_REJECTS] = "store_rejects",
	[FLEET_STORE_SLOW] = "store_slow",
	[FLEET_STORE_LOSES] = "store_loses",
	[FLEET_STORE_COMPACTS] = "store_compacts",
	[FLEET_STORE_RESTORED] = "store_restored",
	[FLEET_CONNECTIONS_SILENT] = "connections_silent",
	[FLEET_VM_CUT] = "vm_cut",
	[FLEET_VM_CUT_FROM_STORE] = "vm_cut_from_store",
	[FLEET_VM_FROZEN] = "vm_frozen",
	[FLEET_VM_KILLED] = "vm_killed",
	[FLEET_PRIMARY_KILLED] = "primary_killed",
	[FLEET_PRIMARY_CUT] = "primary_cut",
	[FLEET_MEMBER_LEAVES] = "member_leaves",
	[FLEET_CONFIG_CHANGES] = "config_changes",
	[FLEET_PARTITION] = "partition",
	[FLEET_REPLICA_DEAF] = "replica_deaf",
	[FLEET_REPLICA_LOST] = "replica_lost",
	[FLEET_PRIMARY_LOST] = "primary_lost",
	[FLEET_COPIES_KILLED] = "copies_killed",
	[FLEET_LEADER_KILLED] = "leader_killed",
	[FLEET_VM_ADDED] = "vm_added",
	[FLEET_SUCCESSORS_CUT] = "successors_cut",
	[FLEET_VM_LOST] = "vm_lost",
	[FLEET_REPLICA_CUT] = "replica_cut",
};

const char *fleet_fault_name(fleet_fault_type_t type)
{
	return fault_names[type];
}

void model_trace(const char *format, ...)
{
	va_list args;

	if (!model.run->trace)
		return;
	printf("%9.3f ", (double)(virtual_now_us() - MODEL_START_US) / G_USEC_PER_SEC);
	va_start(args, format);
	vprintf(format, args);
	va_end(args);
	printf("\n");
}

void model_break_rule(const char *rule, const char *format, ...)
{
	char *text;
	va_list args;

	if (model.result.rule)
		return;
	va_start(args, format);
	text = g_strdup_vprintf(format, args);
	va_end(args);
	model.result.rule = rule;
	model.result.text =
		g_strdup_printf("%s at %.3f s: %s", rule,
				(double)(virtual_now_us() - MODEL_START_US) / G_USEC_PER_SEC, text);
	model_trace("%s", model.result.text);
	g_free(text);
}

bool model_is_concerned(uint64_t vms, unsigned vm)
{
	return (vms >> vm & 1) != 0;
}

/* ---- The operator ---- */

static char *config_text_new(uint64_t version, unsigned routes)
{
	GString *text = g_string_new(NULL);
	unsigned i;

	g_string_printf(text, "{\"version\":%" G_GUINT64_FORMAT ",\"routes\":[", version);
	for (i = 0; i < routes; i++)
		g_string_append_printf(
			text,
			"%s{\"host\":\"d%08x\",\"service\":\"%s\",\"type\":\"bounded\","
			"\"timeoutMs\":800,\"targetLatencyMs\":200,\"priority\":1}",
			i > 0 ? "," : "", g_random_int(), group_name(i % model.run->groups));
	g_string_append(text, "],\"services\":[");
	for (i = 0; i < model.run->groups; i++)
		g_string_append_printf(text,
				       "%s{\"name\":\"%s\",\"maxConns\":30,\"syncReplicas\":%u}",
				       i > 0 ? "," : "", group_name(i), model.run->sync_replicas);
	g_string_append(text, "],\"tenants\":[]}");
	return g_string_free(text, FALSE);
}

static void config_write(uint64_t version)
{
	char *text = config_text_new(version, (unsigned)g_random_int_range(1, ROUTES_MAX));

	store_write(JH_MIRROR_CONFIG, "config", text);
	g_free(text);
}

static void on_config_acked(void *data)
{
	acked_config_t acked = { .version = (uint64_t)GPOINTER_TO_SIZE(data),
				 .acked_us = virtual_now_us() };

	g_array_append_val(model.configs, acked);
}

static void on_config_change(void *data)
{
	(void)data;
	if (model.is_away || model.others_blocked > 0) {
		virtual_call_at(virtual_now_us() + 100000, on_config_change, NULL, NULL);
		return;
	}
	model.config_version += (uint64_t)g_random_int_range(1, 4);
	config_write(model.config_version);
	model_trace("configuration %" G_GUINT64_FORMAT, model.config_version);
	virtual_call_at(virtual_now_us() + 2000 + (int64_t)model.slow_ms * 500, on_config_acked,
			GSIZE_TO_POINTER(model.config_version), NULL);
}

/* The operator finds that the store has an older configuration than it wrote. */
static void on_config_again(void *data)
{
	(void)data;
	if (model.is_away || model.others_blocked > 0)
		virtual_call_at(virtual_now_us() + 100000, on_config_again, NULL, NULL);
	else
		config_write(model.config_version);
}

/* ---- Faults ---- */

typedef void (*fault_fn_t)(const fleet_fault_t *fault);

static void add_to_each(unsigned *counts, const fleet_fault_t *fault, int amount)
{
	unsigned i;

	for (i = 0; i < model.run->vms; i++) {
		if (model_is_concerned(fault->vms, i))
			counts[i] += (unsigned)amount;
	}
}

static void disturb_each(const fleet_fault_t *fault, int64_t until_us)
{
	unsigned i;

	for (i = 0; i < model.run->vms; i++) {
		if (model_is_concerned(fault->vms, i))
			vm_disturbed(&model.vms[i], until_us);
	}
}

static int64_t fault_end_us(const fleet_fault_t *fault)
{
	return MODEL_START_US + fault->at_us + fault->lasts_us;
}

static void block_begin(unsigned *counts, const fleet_fault_t *fault)
{
	add_to_each(counts, fault, 1);
	model.others_blocked += fault->vms == ALL_VMS;
	store_disturbed(fault_end_us(fault));
}

static void block_end(unsigned *counts, const fleet_fault_t *fault)
{
	add_to_each(counts, fault, -1);
	model.others_blocked -= fault->vms == ALL_VMS;
	store_disturbed(virtual_now_us());
}

static void silent_begin(const fleet_fault_t *fault)
{
	block_begin(model.silent, fault);
	if (fault->strength % 2 == 1)
		store_forget_feeds(fault->vms);
}

static void silent_end(const fleet_fault_t *fault)
{
	block_end(model.silent, fault);
}

static void rejects_begin(const fleet_fault_t *fault)
{
	block_begin(model.rejected, fault);
}

static void rejects_end(const fleet_fault_t *fault)
{
	block_end(model.rejected, fault);
}

static void slow_begin(const fleet_fault_t *fault)
{
	model.slow_ms += 100 * (fault->strength % 20 + 1);
	store_disturbed(fault_end_us(fault));
}

static void slow_end(const fleet_fault_t *fault)
{
	model.slow_ms -= 100 * (fault->strength % 20 + 1);
	store_disturbed(virtual_now_us());
}

static void loses_begin(const fleet_fault_t *fault)
{
	model.loses_percent += 20 + fault->strength % 30;
	model.late_percent = fault->strength % 3 * 40;
	store_disturbed(fault_end_us(fault));
}

static void loses_end(const fleet_fault_t *fault)
{
	model.loses_percent -= 20 + fault->strength % 30;
	store_disturbed(virtual_now_us());
}

static void compacts_begin(const fleet_fault_t *fault)
{
	model.store->muted_until_us = MAX(model.store->muted_until_us, fault_end_us(fault));
	store_disturbed(fault_end_us(fault));
}

static void compacts_end(const fleet_fault_t *fault)
{
	(void)fault;
	store_compact();
	store_disturbed(virtual_now_us());
}

static void on_away(void *data)
{
	(void)data;
	model.is_away = true;
}

/* The copy is as old as the fault lasts; the store is away for a part of that before its end. */
static void restored_begin(const fleet_fault_t *fault)
{
	store_make_copy();
	virtual_call_at(fault_end_us(fault) - fault->lasts_us / (2 + fault->strength % 8), on_away,
			NULL, NULL);
	store_disturbed(fault_end_us(fault));
}

static void restored_end(const fleet_fault_t *fault)
{
	(void)fault;
	model.is_away = false;
	store_restore_copy();
	model_trace("store restored, era %" G_GUINT64_FORMAT, model.store->era);
	virtual_call_at(virtual_now_us() + g_random_int_range(0, 2000000), on_config_again, NULL,
			NULL);
	members_register_again();
	store_disturbed(virtual_now_us() + 2000000);
}

static void connections_begin(const fleet_fault_t *fault)
{
	store_forget_feeds(fault->vms);
	disturb_each(fault, virtual_now_us());
}

static void nothing_ends(const fleet_fault_t *fault)
{
	(void)fault;
}

static void cut_begin(const fleet_fault_t *fault)
{
	add_to_each(model.cut, fault, 1);
}

static void cut_end(const fleet_fault_t *fault)
{
	add_to_each(model.cut, fault, -1);
}

static void store_cut_begin(const fleet_fault_t *fault)
{
	add_to_each(model.store_cut, fault, 1);
	disturb_each(fault, fault_end_us(fault));
}

static void store_cut_end(const fleet_fault_t *fault)
{
	add_to_each(model.store_cut, fault, -1);
}

static void frozen_begin(const fleet_fault_t *fault)
{
	unsigned i;

	disturb_each(fault, fault_end_us(fault));
	for (i = 0; i < model.run->vms; i++) {
		vm_t *vm = &model.vms[i];

		if (!model_is_concerned(fault->vms, i) || !vm->kernel)
			continue;
		vm->is_frozen = true;
		virtual_loop_suspend(jh_kernel_loop(vm->kernel), true);
	}
}

static void frozen_end(const fleet_fault_t *fault)
{
	unsigned i;

	disturb_each(fault, virtual_now_us());
	for (i = 0; i < model.run->vms; i++) {
		vm_t *vm = &model.vms[i];

		if (!model_is_concerned(fault->vms, i) || !vm->kernel)
			continue;
		vm->is_frozen = false;
		virtual_loop_suspend(jh_kernel_loop(vm->kernel), false);
	}
}

static void killed_begin(const fleet_fault_t *fault)
{
	unsigned i;

	disturb_each(fault, fault_end_us(fault));
	for (i = 0; i < model.run->vms; i++) {
		if (model_is_concerned(fault->vms, i))
			vm_kill(i);
	}
}

static void killed_end(const fleet_fault_t *fault)
{
	unsigned i;

	disturb_each(fault, virtual_now_us());
	for (i = 0; i < model.run->vms; i++) {
		if (model_is_concerned(fault->vms, i) && !model.vms[i].kernel &&
		    !model.vms[i].is_lost)
			vm_start(i);
	}
}

static void lost_begin(const fleet_fault_t *fault)
{
	unsigned i;

	killed_begin(fault);
	for (i = 0; i < model.run->vms; i++)
		model.vms[i].is_lost = model.vms[i].is_lost || model_is_concerned(fault->vms, i);
}

static void primary_killed_begin(const fleet_fault_t *fault)
{
	member_t *primary = group_find_newest_primary(fault->strength % model.run->groups);

	if (primary)
		member_crash(primary, fault->lasts_us);
}

static void primary_cut_begin(const fleet_fault_t *fault)
{
	member_t *primary = group_find_newest_primary(fault->strength % model.run->groups);

	if (!primary)
		return;
	primary->cut_vms = fault->vms;
	primary->disturbed_us = virtual_now_us();
}

static void primary_cut_end(const fleet_fault_t *fault)
{
	unsigned i;

	for (i = 0; i < model.members->len; i++) {
		member_t *member = g_ptr_array_index(model.members, i);

		if (member->group == fault->strength % model.run->groups)
			member->cut_vms = 0;
	}
	members_reach_each_other(fault->strength % model.run->groups);
}

static void successors_cut_begin(const fleet_fault_t *fault)
{
	unsigned group = fault->strength % model.run->groups;
	const member_t *newest = group_find_newest_primary(group);
	unsigned i;

	for (i = 0; newest && i < model.members->len; i++) {
		member_t *member = g_ptr_array_index(model.members, i);

		if (member->group != group || (member->is_primary && member->term < newest->term))
			continue;
		member->cut_vms |= fault->vms;
		member->disturbed_us = virtual_now_us();
	}
}

static void partition_begin(const fleet_fault_t *fault)
{
	unsigned group = fault->strength % model.run->groups;
	const member_t *primary = group_find_newest_primary(group);
	unsigned i;

	add_to_each(model.apart, fault, 1);
	store_cut_begin(fault);
	for (i = 0; i < model.members->len; i++) {
		member_t *member = g_ptr_array_index(model.members, i);

		if (member->group != group)
			continue;
		member->is_apart = member == primary;
		member->cut_vms = member->is_apart ? ~fault->vms : fault->vms;
		member->disturbed_us = virtual_now_us();
	}
}

static void partition_end(const fleet_fault_t *fault)
{
	unsigned group = fault->strength % model.run->groups;
	unsigned i;

	add_to_each(model.apart, fault, -1);
	store_cut_end(fault);
	disturb_each(fault, virtual_now_us());
	for (i = 0; i < model.members->len; i++) {
		member_t *member = g_ptr_array_index(model.members, i);

		if (member->group != group)
			continue;
		member->is_apart = false;
		member->cut_vms = 0;
	}
	members_reach_each_other(group);
	members_catch_up(group);
}

static void leaves_begin(const fleet_fault_t *fault)
{
	unsigned group = fault->strength % model.run->groups;
	member_t *leaving = group_find_newest_primary(group);
	unsigned i;

	/* Every second time a replica leaves. */
	for (i = 0; fault->strength / 8 % 2 == 1 && i < model.members->len; i++) {
		member_t *member = g_ptr_array_index(model.members, i);

		if (member->group == group && member->is_up && !member->is_primary &&
		    !member->leaving_since_us)
			leaving = member;
	}
	if (leaving && leaving->is_up && !leaving->leaving_since_us)
		member_leave(leaving);
}

static void deaf_begin(const fleet_fault_t *fault)
{
	member_t *replica = group_find_replica(fault->strength % model.run->groups);

	if (replica)
		member_set_deaf(replica, true);
}

static void deaf_end(const fleet_fault_t *fault)
{
	unsigned i;

	for (i = 0; i < model.members->len; i++) {
		member_t *member = g_ptr_array_index(model.members, i);

		if (member->group == fault->strength % model.run->groups && member->is_deaf)
			member_set_deaf(member, false);
	}
}

static void replica_cut_begin(const fleet_fault_t *fault)
{
	member_t *replica = group_find_replica(fault->strength % model.run->groups);

	if (replica)
		member_cut_from_store(replica, true, fault->vms);
}

static void replica_cut_end(const fleet_fault_t *fault)
{
	unsigned i;

	for (i = 0; i < model.members->len; i++) {
		member_t *member = g_ptr_array_index(model.members, i);

		if (member->group == fault->strength % model.run->groups &&
		    member->is_cut_from_store)
			member_cut_from_store(member, false, 0);
	}
}

static void replica_lost_begin(const fleet_fault_t *fault)
{
	member_t *replica = group_find_replica(fault->strength % model.run->groups);

	if (replica)
		member_crash(replica, INT64_MAX);
}

static void primary_lost_begin(const fleet_fault_t *fault)
{
	member_t *primary = group_find_newest_primary(fault->strength % model.run->groups);

	if (primary)
		member_crash(primary, INT64_MAX);
}

static void copies_killed_begin(const fleet_fault_t *fault)
{
	unsigned i;

	for (i = 0; i < model.members->len; i++) {
		member_t *member = g_ptr_array_index(model.members, i);

		if (member->group == fault->strength % model.run->groups && !member->is_deaf)
			member_crash(member, fault->lasts_us);
	}
}

static void on_vm_start(void *data)
{
	if (!model.vms[GPOINTER_TO_UINT(data)].kernel && !model.vms[GPOINTER_TO_UINT(data)].is_lost)
		vm_start(GPOINTER_TO_UINT(data));
}

static void leader_killed_begin(const fleet_fault_t *fault)
{
	unsigned leader = store_find_leader();

	if (leader == VMS_MAX)
		return;
	model_trace("%s, which leads, is killed", model.vms[leader].name);
	vm_disturbed(&model.vms[leader], fault_end_us(fault));
	vm_kill(leader);
	virtual_call_at(fault_end_us(fault), on_vm_start, GUINT_TO_POINTER(leader), NULL);
}

static void vm_added_begin(const fleet_fault_t *fault)
{
	disturb_each(fault, virtual_now_us());
	killed_end(fault);
}

static void changes_begin(const fleet_fault_t *fault)
{
	unsigned i;

	for (i = 0; i <= fault->strength % 5; i++)
		virtual_call_at(virtual_now_us() + (int64_t)i * fault->lasts_us / 5,
				on_config_change, NULL, NULL);
}

static const struct {
	fault_fn_t begin;
	fault_fn_t end;
} fault_fns[] = {
	[FLEET_STORE_SILENT] = { silent_begin, silent_end },
	[FLEET_STORE_REJECTS] = { rejects_begin, rejects_end },
	[FLEET_STORE_SLOW] = { slow_begin, slow_end },
	[FLEET_STORE_LOSES] = { loses_begin, loses_end },
	[FLEET_STORE_COMPACTS] = { compacts_begin, compacts_end },
	[FLEET_STORE_RESTORED] = { restored_begin, restored_end },
	[FLEET_CONNECTIONS_SILENT] = { connections_begin, nothing_ends },
	[FLEET_VM_CUT] = { cut_begin, cut_end },
	[FLEET_VM_CUT_FROM_STORE] = { store_cut_begin, store_cut_end },
	[FLEET_VM_FROZEN] = { frozen_begin, frozen_end },
	[FLEET_VM_KILLED] = { killed_begin, killed_end },
	[FLEET_PRIMARY_KILLED] = { primary_killed_begin, nothing_ends },
	[FLEET_PRIMARY_CUT] = { primary_cut_begin, primary_cut_end },
	[FLEET_MEMBER_LEAVES] = { leaves_begin, nothing_ends },
	[FLEET_CONFIG_CHANGES] = { changes_begin, nothing_ends },
	[FLEET_PARTITION] = { partition_begin, partition_end },
	[FLEET_REPLICA_DEAF] = { deaf_begin, deaf_end },
	[FLEET_REPLICA_LOST] = { replica_lost_begin, nothing_ends },
	[FLEET_PRIMARY_LOST] = { primary_lost_begin, nothing_ends },
	[FLEET_COPIES_KILLED] = { copies_killed_begin, nothing_ends },
	[FLEET_LEADER_KILLED] = { leader_killed_begin, nothing_ends },
	[FLEET_VM_ADDED] = { vm_added_begin, nothing_ends },
	[FLEET_SUCCESSORS_CUT] = { successors_cut_begin, primary_cut_end },
	[FLEET_VM_LOST] = { lost_begin, nothing_ends },
	[FLEET_REPLICA_CUT] = { replica_cut_begin, replica_cut_end },
};

static void on_fault_begin(void *data)
{
	const fleet_fault_t *fault = data;

	model_trace("begin %s vms=%" G_GINT64_MODIFIER "x strength=%u lasts=%.3f",
		    fault_names[fault->type], fault->vms, fault->strength,
		    (double)fault->lasts_us / G_USEC_PER_SEC);
	fault_fns[fault->type].begin(fault);
}

static void on_fault_end(void *data)
{
	const fleet_fault_t *fault = data;

	model_trace("end %s", fault_names[fault->type]);
	fault_fns[fault->type].end(fault);
}

/* ---- Rules ---- */

static int64_t stable_us(void)
{
	return (int64_t)model.run->stable_ms * 1000;
}

bool model_store_is_stable(void)
{
	return virtual_now_us() - model.store_disturbed_until_us >= stable_us();
}

static bool vm_is_in_touch(const vm_t *vm)
{
	return vm->kernel && !vm->is_frozen && model.store_cut[vm->index] == 0 &&
	       virtual_now_us() - vm->disturbed_until_us >= stable_us() && model_store_is_stable();
}

static void check_config(const vm_t *vm)
{
	int64_t bound_us = (int64_t)model.run->bound_ms * 1000;
	unsigned i;

	for (i = 0; i < model.configs->len; i++) {
		const acked_config_t *acked = &g_array_index(model.configs, acked_config_t, i);
		int64_t age_us = virtual_now_us() - acked->acked_us;

		if (acked->version <= vm->config_version)
			continue;
		model.result.config_slowest_us = MAX(model.result.config_slowest_us, age_us);
		if (age_us > bound_us)
			model_break_rule("CONFIG",
					 "%s serves by version %" G_GUINT64_FORMAT
					 ", but %" G_GUINT64_FORMAT " was acknowledged %.3f s ago",
					 vm->name, vm->config_version, acked->version,
					 (double)age_us / G_USEC_PER_SEC);
	}
}

static void check_leaving(const vm_t *vm)
{
	int64_t drain_us = (int64_t)model.run->drain_ms * 1000;
	unsigned i;

	for (i = 0; i < model.members->len; i++) {
		const member_t *member = g_ptr_array_index(model.members, i);

		if (member->leaving_since_us && member->is_leave_bounded &&
		    virtual_now_us() - member->leaving_since_us > drain_us &&
		    vm_uses_member(vm, member))
			model_break_rule("DRAIN",
					 "%s uses %s, which said %.3f s ago that it leaves",
					 vm->name, member->id,
					 (double)(virtual_now_us() - member->leaving_since_us) /
						 G_USEC_PER_SEC);
	}
}

static void write_to_primaries(vm_t *vm)
{
	unsigned group;
	uint64_t epoch;

	for (group = 0; group < model.run->groups; group++) {
		member_t *primary = vm_find_primary(vm, group, &epoch);

		if (!primary)
			continue;
		model.result.served += primary->is_up && primary->is_primary;
		member_read(vm, primary);
		member_commit(vm, primary);
	}
}

static void on_probe(void *data)
{
	unsigned i;

	for (i = 0; i < model.run->vms; i++) {
		vm_t *vm = &model.vms[i];

		model.result.probes += model.run->groups;
		if (vm_has_lease(vm) && vm_serves(vm))
			write_to_primaries(vm);
		if (!vm_serves(vm) || !vm_is_in_touch(vm))
			continue;
		check_config(vm);
		check_leaving(vm);
	}
	virtual_call_at(virtual_now_us() + PROBE_INTERVAL_US, on_probe, data, NULL);
}

/* A while after the last fault every VM serves every group by the newest configuration. */
static void check_recovery(void)
{
	unsigned i;
	unsigned group;
	uint64_t epoch;

	for (i = 0; i < model.run->vms; i++) {
		const vm_t *vm = &model.vms[i];

		if (vm->is_lost)
			continue;
		if (!vm_has_lease(vm) || !vm_serves(vm))
			model_break_rule("RECOVER", "%s has no lease, or refuses its callers",
					 vm->name);
		if (vm->config_version != model.config_version)
			model_break_rule("RECOVER",
					 "%s has version %" G_GUINT64_FORMAT
					 " of the configuration",
					 vm->name, vm->config_version);
		for (group = 0; group < model.run->groups; group++) {
			const member_t *primary = vm_find_primary(vm, group, &epoch);

			if (!primary || !primary->is_up || !primary->is_primary)
				model_break_rule("RECOVER", "%s knows no primary of %s", vm->name,
						 group_name(group));
		}
	}
}

/* ---- A run ---- */

/* Return: whether the VM is added during the run */
static bool vm_is_added(unsigned index)
{
	unsigned i;

	for (i = 0; i < model.run->fault_count; i++) {
		if (model.run->faults[i].type == FLEET_VM_ADDED &&
		    model_is_concerned(model.run->faults[i].vms, index))
			return true;
	}
	return false;
}

static void model_set_up(const fleet_run_t *run)
{
	unsigned i;

	model = (model_t){ .run = run };
	g_random_set_seed(run->seed);
	virtual_time_reset(MODEL_START_US - MODEL_LEAD_US);
	model.store = store_new((unsigned)g_random_int_range(3, 40));
	model.members = g_ptr_array_new_with_free_func(g_free);
	model.configs = g_array_new(FALSE, FALSE, sizeof(acked_config_t));
	model.store_disturbed_until_us = INT64_MIN / 2;
	on_config_change(NULL);
	for (i = 0; i < 3 * run->groups; i++)
		member_start(i / 3, i % 3 == 0);
	for (i = 0; i < run->vms; i++) {
		vm_t *vm = &model.vms[i];
		char *name = g_strdup_printf("vm-%02u", i + 1);

		vm->index = i;
		vm->name = g_intern_string(name);
		vm->disturbed_until_us = INT64_MIN / 2;
		vm->settings = (jh_settings_t){
			.vm = (char *)vm->name,
			.dc = (char *)g_intern_string(i % 3 == 0 ? "dc-0" :
						      i % 3 == 1 ? "dc-1" :
								   "dc-2"),
			.profile = (char *)"fleet",
			.config_bound_ms = run->bound_ms,
			.dc_drain_ms = run->bound_ms,
			.member_drain_ms = run->drain_ms,
			.peer_listen = { (char *)"10.1.0.1", (uint16_t)(7000 + i) },
		};
		if (!vm_is_added(i))
			virtual_call_at(virtual_now_us() + g_random_int_range(0, 300000),
					on_vm_start, GUINT_TO_POINTER(i), NULL);
		g_free(name);
	}
	for (i = 0; i < run->fault_count; i++) {
		const fleet_fault_t *fault = &run->faults[i];

		virtual_call_at(MODEL_START_US + fault->at_us, on_fault_begin, (void *)fault, NULL);
		virtual_call_at(fault_end_us(fault), on_fault_end, (void *)fault, NULL);
	}
	virtual_call_at(MODEL_START_US, on_probe, NULL, NULL);
}

static void model_tear_down(void)
{
	unsigned i;

	for (i = 0; i < model.run->vms; i++)
		vm_kill(i);
	virtual_time_reset(0);
	store_end();
	store_free(model.store);
	g_ptr_array_free(model.members, TRUE);
	g_array_free(model.configs, TRUE);
	g_free(model.fence_holder);
}

void fleet_log_init(const char *level)
{
	static bool has_log;

	if (!has_log)
		jh_log_init("model", level);
	has_log = true;
}

fleet_result_t fleet_run_play(const fleet_run_t *run)
{
	int64_t end_us = MODEL_START_US + run->run_us;

	fleet_log_init("error");
	model_set_up(run);
	while (virtual_now_us() < end_us && !model.result.rule)
		virtual_run_until(MIN(virtual_now_us() + 100000, end_us));
	if (!model.result.rule)
		check_recovery();
	model_tear_down();
	return model.result;
}

void fleet_result_clear(fleet_result_t *result)
{
	g_clear_pointer(&result->text, g_free);
}

/* ---- Schedules ---- */

static uint64_t draw_vms(GRand *rand, unsigned vms)
{
	uint64_t set = 0;
	unsigned i;

	switch (g_rand_int_range(rand, 0, 4)) {
	case 0:
		return ALL_VMS;
	case 1:
		return UINT64_C(1) << g_rand_int_range(rand, 0, (gint32)vms);
	default:
		for (i = 0; i < vms; i++)
			set |= (uint64_t)(g_rand_int_range(rand, 0, 3) == 0) << i;
		return set;
	}
}

static void draw_fault(GRand *rand, fleet_run_t *run, fleet_fault_type_t type, int64_t at_us)
{
	fleet_fault_t *fault = &run->faults[run->fault_count++];

	*fault = (fleet_fault_t){
		.type = type,
		.at_us = at_us,
		.lasts_us = g_rand_int_range(rand, 100000, 4000000),
		.vms = draw_vms(rand, run->vms),
		.strength = g_rand_int_range(rand, 0, 1000),
	};
	if (g_rand_int_range(rand, 0, 4) == 0)
		fault->lasts_us = g_rand_int_range(rand, 1000000, FAULT_LASTS_MAX_US);
	if (type == FLEET_STORE_COMPACTS)
		fault->lasts_us = g_rand_int_range(rand, 500000, 1500000);
}

/*
 * Feeds that hang while VMs are alone with the store: the pattern in which nothing but a VM's own
 * checks shows it a change.
 */
static void draw_hung_feeds(GRand *rand, fleet_run_t *run)
{
	int64_t at_us = g_rand_int_range(rand, 200000, 3000000);
	fleet_fault_t *cut;

	draw_fault(rand, run, FLEET_CONNECTIONS_SILENT, at_us);
	run->faults[0].vms = ALL_VMS;
	draw_fault(rand, run, FLEET_VM_CUT, at_us + g_rand_int_range(rand, 0, 4000000));
	cut = &run->faults[1];
	cut->lasts_us = g_rand_int_range(rand, 6000000, 14000000);
	draw_fault(rand, run, FLEET_CONFIG_CHANGES,
		   at_us + g_rand_int_range(rand, 3000000, 10000000));
	draw_fault(rand, run, FLEET_MEMBER_LEAVES,
		   at_us + g_rand_int_range(rand, 3000000, 8000000));
}

/*
 * A network partition that separates a primary and many VMs from the rest, often with the loss of
 * all VMs during it: the change of primary cannot complete before the partition heals.
 */
static void draw_partition(GRand *rand, fleet_run_t *run)
{
	int64_t at_us = g_rand_int_range(rand, 200000, 3000000);
	fleet_fault_t *partition = &run->faults[run->fault_count];
	unsigned i;

	draw_fault(rand, run, FLEET_PARTITION, at_us);
	partition->lasts_us = g_rand_int_range(rand, 1500000, FAULT_LASTS_MAX_US);
	partition->vms = 0;
	for (i = 0; i < run->vms; i++)
		partition->vms |= (uint64_t)(g_rand_int_range(rand, 0, 5) < 3) << i;
	if (g_rand_boolean(rand)) {
		draw_fault(rand, run, FLEET_VM_KILLED,
			   at_us + g_rand_int_range(rand, 0, (gint32)partition->lasts_us));
		run->faults[run->fault_count - 1].vms = ALL_VMS;
		run->faults[run->fault_count - 1].lasts_us =
			g_rand_int_range(rand, 100000, 3000000);
	}
}

/* Return: one VM, two, a random set, or all of them */
static uint64_t draw_some_vms(GRand *rand, unsigned vms)
{
	uint64_t set = UINT64_C(1) << g_rand_int_range(rand, 0, (gint32)vms);

	switch (g_rand_int_range(rand, 0, 4)) {
	case 0:
		return set;
	case 1:
		return set | UINT64_C(1) << g_rand_int_range(rand, 0, (gint32)vms);
	case 2:
		return ALL_VMS;
	default:
		return draw_vms(rand, vms);
	}
}

/*
 * A store that comes back from a copy of before a change of primary, while VMs start. The old
 * primary is out of reach of some VMs only, crashed or left; the store may be restored twice.
 */
static void draw_restored_start(GRand *rand, fleet_run_t *run)
{
	static const fleet_fault_type_t changes[] = { FLEET_PRIMARY_CUT, FLEET_PRIMARY_CUT,
						      FLEET_PRIMARY_CUT, FLEET_MEMBER_LEAVES,
						      FLEET_PRIMARY_KILLED };
	int64_t at_us = g_rand_int_range(rand, 200000, 3000000);
	int64_t back_us = at_us + g_rand_int_range(rand, 2500000, 8000000);
	fleet_fault_t *fault = &run->faults[run->fault_count];

	draw_fault(rand, run, FLEET_STORE_RESTORED, at_us);
	fault->lasts_us = back_us - at_us;
	fault = &run->faults[run->fault_count];
	draw_fault(rand, run, changes[g_rand_int_range(rand, 0, G_N_ELEMENTS(changes))],
		   at_us + g_rand_int_range(rand, 0, 1500000));
	fault->lasts_us = back_us - fault->at_us + g_rand_int_range(rand, 500000, 4000000);
	fault->strength -= fault->strength / 8 % 2 * 8;
	if (fault->vms == ALL_VMS)
		fault->vms = ALL_VMS ^ UINT64_C(1) << g_rand_int_range(rand, 0, (gint32)run->vms);
	fault = &run->faults[run->fault_count];
	draw_fault(rand, run, FLEET_VM_KILLED, back_us - g_rand_int_range(rand, 0, 1500000));
	fault->vms = draw_some_vms(rand, run->vms);
	fault->lasts_us =
		MAX(back_us - fault->at_us + g_rand_int_range(rand, -100000, 1200000), 1000);
	if (g_rand_int_range(rand, 0, 3) == 0) {
		fault = &run->faults[run->fault_count];
		draw_fault(rand, run, FLEET_VM_ADDED,
			   back_us + g_rand_int_range(rand, -100000, 1200000));
		fault->lasts_us = 0;
		fault->vms = UINT64_C(1) << g_rand_int_range(rand, 0, (gint32)run->vms);
	}
	if (g_rand_int_range(rand, 0, 3) == 0) {
		run->sync_replicas = 1;
		draw_fault(rand, run, FLEET_MEMBER_LEAVES,
			   at_us + g_rand_int_range(rand, 0, 6000000));
	}
	if (g_rand_int_range(rand, 0, 4) == 0) {
		fault = &run->faults[run->fault_count];
		draw_fault(rand, run, FLEET_STORE_RESTORED,
			   back_us + g_rand_int_range(rand, 10000, 400000));
		fault->lasts_us = g_rand_int_range(rand, 50000, 800000);
	}
}

/*
 * Members with acknowledged commits are silent until their registrations have lapsed, and VMs start
 * meanwhile, one after the other or all at once.
 */
static void draw_lapse(GRand *rand, fleet_run_t *run)
{
	unsigned strength = (unsigned)g_rand_int_range(rand, 0, 8);
	int64_t at_us = g_rand_int_range(rand, 300000, 2000000);
	int64_t killed_us = at_us + g_rand_int_range(rand, 200000, 1000000);
	unsigned kills = (unsigned)g_rand_int_range(rand, 1, 4);
	fleet_fault_t *fault = &run->faults[run->fault_count];

	run->sync_replicas = 1;
	draw_fault(rand, run, FLEET_REPLICA_DEAF, at_us);
	fault->strength = strength;
	fault->lasts_us = g_rand_int_range(rand, 6000000, FAULT_LASTS_MAX_US);
	fault = &run->faults[run->fault_count];
	draw_fault(rand, run, FLEET_COPIES_KILLED, killed_us);
	fault->strength = strength;
	fault->lasts_us = g_rand_int_range(rand, 5500000, FAULT_LASTS_MAX_US);
	while (kills-- > 0) {
		fault = &run->faults[run->fault_count];
		draw_fault(rand, run, g_rand_boolean(rand) ? FLEET_LEADER_KILLED : FLEET_VM_KILLED,
			   killed_us + g_rand_int_range(rand, 2500000, 5000000));
		fault->vms = draw_some_vms(rand, run->vms);
		fault->lasts_us = g_rand_int_range(rand, 100000, 1000000);
	}
}

/*
 * A replica is lost for good, and much later the primary, too, just after VMs were killed. No other
 * fault may keep a leader from seeing that the replica does not matter any more.
 */
static void draw_lost_replica(GRand *rand, fleet_run_t *run)
{
	unsigned strength = (unsigned)g_rand_int_range(rand, 0, 8);
	int64_t at_us = g_rand_int_range(rand, 300000, 2000000);
	int64_t killed_us = at_us + g_rand_int_range(rand, 8000000, 11000000);
	fleet_fault_t *fault = &run->faults[0];

	run->sync_replicas = 1;
	run->fault_count = 0;
	draw_fault(rand, run, FLEET_REPLICA_LOST, at_us);
	fault->strength = strength;
	fault = &run->faults[run->fault_count];
	draw_fault(rand, run, g_rand_boolean(rand) ? FLEET_LEADER_KILLED : FLEET_VM_KILLED,
		   killed_us);
	fault->vms = draw_some_vms(rand, run->vms);
	fault->lasts_us = g_rand_int_range(rand, 100000, 1000000);
	fault = &run->faults[run->fault_count];
	draw_fault(rand, run, FLEET_PRIMARY_LOST, killed_us + g_rand_int_range(rand, 0, 1200000));
	fault->strength = strength;
}

typedef struct fault_span {
	fleet_fault_type_t type;
	int64_t at_us;
	/* 0 if the fault has no end. */
	int64_t end_us;
	uint64_t vms;
} fault_span_t;

/* Replaces the schedule by faults of the same strength. */
static void draw_spans(GRand *rand, fleet_run_t *run, const fault_span_t *spans, unsigned count,
		       unsigned strength)
{
	unsigned i;

	run->fault_count = 0;
	for (i = 0; i < count; i++) {
		fleet_fault_t *fault = &run->faults[run->fault_count];

		draw_fault(rand, run, spans[i].type, spans[i].at_us);
		fault->lasts_us = MAX(spans[i].end_us - spans[i].at_us, 0);
		fault->vms = spans[i].vms;
		fault->strength = strength;
	}
}

/*
 * VMs are added after the copy was made to which the store returns. Most of the older ones miss a
 * change of primary, and are for a while the only ones that reach the store.
 */
static void draw_restored_list(GRand *rand, fleet_run_t *run)
{
	unsigned old = run->vms >= 7 && g_rand_boolean(rand) ? 5 : 3;
	uint64_t missing = (UINT64_C(1) << (old / 2 + 1)) - 1;
	uint64_t added = UINT64_C(3) << old;
	uint64_t all = (UINT64_C(1) << (old + 2)) - 1;
	int64_t at_us = g_rand_int_range(rand, 200000, 2000000);
	int64_t cut_us = at_us + g_rand_int_range(rand, 300000, 2500000);
	int64_t back_us = cut_us + g_rand_int_range(rand, 3500000, 6000000);
	const fault_span_t spans[] = {
		{ FLEET_STORE_RESTORED, at_us, back_us, 0 },
		{ FLEET_VM_ADDED, at_us + g_rand_int_range(rand, 0, 300000), 0, added },
		{ FLEET_VM_CUT, cut_us, back_us + g_rand_int_range(rand, 0, 4000000), missing },
		{ FLEET_VM_CUT_FROM_STORE, cut_us, back_us - g_rand_int_range(rand, 0, 200000),
		  missing },
		{ FLEET_PRIMARY_CUT, cut_us, back_us + g_rand_int_range(rand, 0, 4000000),
		  all & ~missing },
		{ FLEET_VM_CUT_FROM_STORE, back_us - g_rand_int_range(rand, 0, 400000),
		  back_us + g_rand_int_range(rand, 100000, 3000000), all & ~missing },
	};

	run->vms = old + 2;
	draw_spans(rand, run, spans, G_N_ELEMENTS(spans), 0);
}

/*
 * The store comes back from a copy of before the end of a change of primary, and all VMs have
 * started. The one that starts first reaches the old primary, and not the members that know better.
 */
static void draw_silent_successors(GRand *rand, fleet_run_t *run)
{
	uint64_t first = UINT64_C(1) << g_rand_int_range(rand, 0, (gint32)run->vms);
	unsigned strength = (unsigned)g_rand_int_range(rand, 0, 3);
	int64_t cut_us = g_rand_int_range(rand, 1500000, 3500000);
	int64_t back_us = cut_us + g_rand_int_range(rand, 4000000, 6000000);
	int64_t end_us = back_us + g_rand_int_range(rand, 4000000, 9000000);
	const fault_span_t spans[] = {
		{ FLEET_STORE_RESTORED, cut_us + g_rand_int_range(rand, -1000000, 2500000), back_us,
		  0 },
		{ FLEET_PRIMARY_CUT, cut_us, end_us, ~first },
		{ FLEET_VM_KILLED, back_us - 400000, back_us + g_rand_int_range(rand, 0, 300000),
		  first },
		{ FLEET_VM_KILLED, back_us - 400000,
		  back_us + g_rand_int_range(rand, 300000, 6000000), ~first },
		{ FLEET_SUCCESSORS_CUT, back_us - 300000, end_us, first },
	};

	run->sync_replicas = (unsigned)g_rand_int_range(rand, 0, 2);
	draw_spans(rand, run, spans, G_N_ELEMENTS(spans), strength);
}

/* Return: set of the VMs with these indexes */
static uint64_t vms_from(unsigned first, unsigned count)
{
	uint64_t set = 0;
	unsigned i;

	for (i = first; i < first + count; i++)
		set |= UINT64_C(1) << i % VMS_MAX;
	return set;
}

/*
 * VMs are added while a majority of the older ones reaches neither the store nor the others, and a
 * primary is replaced meanwhile. VMs may be killed and a leader lost on the way.
 */
static void draw_added_beside_cut(GRand *rand, fleet_run_t *run, unsigned vms_max)
{
	unsigned old = (unsigned)g_rand_int_range(rand, 2, (gint32)(2 * vms_max / 3) + 1);
	unsigned count = (unsigned)g_rand_int_range(rand, 1, (gint32)MIN(vms_max - old, old) + 1);
	unsigned island = (unsigned)g_rand_int_range(rand, (gint32)(old / 2), (gint32)old + 1);
	uint64_t all = vms_from(0, old + count);
	uint64_t cut = vms_from(0, island);
	uint64_t added = vms_from(old, count);
	int64_t cut_us = g_rand_int_range(rand, 300000, 3000000);
	int64_t end_us = cut_us + g_rand_int_range(rand, 3000000, FAULT_LASTS_MAX_US);
	int64_t added_us = cut_us + g_rand_int_range(rand, -200000, 2500000);
	int64_t replaced_us = added_us + g_rand_int_range(rand, 0, 1500000);
	unsigned strength = (unsigned)g_rand_int_range(rand, 0, 8);
	const fault_span_t spans[] = {
		{ FLEET_VM_CUT, cut_us, end_us, cut },
		{ FLEET_VM_CUT_FROM_STORE, cut_us, end_us, cut },
		{ FLEET_VM_ADDED, added_us, 0, added },
		{ g_rand_boolean(rand) ? FLEET_MEMBER_LEAVES : FLEET_PRIMARY_CUT, replaced_us,
		  end_us, all & ~cut },
	};

	run->vms = old + count;
	draw_spans(rand, run, spans, G_N_ELEMENTS(spans), strength);
	if (g_rand_int_range(rand, 0, 3) == 0)
		draw_fault(rand, run, FLEET_LEADER_KILLED,
			   added_us + g_rand_int_range(rand, 0, 2000000));
	if (g_rand_int_range(rand, 0, 3) == 0) {
		fleet_fault_t *killed = &run->faults[run->fault_count];

		draw_fault(rand, run, FLEET_VM_KILLED,
			   cut_us + g_rand_int_range(rand, -6000000, 2000000));
		killed->at_us = MAX(killed->at_us, 100000);
		killed->lasts_us = g_rand_int_range(rand, 500000, FAULT_LASTS_MAX_US);
		killed->vms = UINT64_C(1) << g_rand_int_range(rand, 0, (gint32)run->vms);
	}
	if (g_rand_int_range(rand, 0, 4) == 0) {
		fleet_fault_t *restored = &run->faults[run->fault_count];

		draw_fault(rand, run, FLEET_STORE_RESTORED,
			   added_us + g_rand_int_range(rand, -1000000, 1000000));
		restored->at_us = MAX(restored->at_us, 100000);
		restored->lasts_us = g_rand_int_range(rand, 300000, 4000000);
	}
}

/* Time within which a primary is replaced although most VMs are lost for good. */
#define LOST_RECOVERY_US 30000000

/*
 * Many VMs are lost for good, often more than half of them, and a primary is to be replaced. Others
 * may be added in their place.
 */
static void draw_vms_lost(GRand *rand, fleet_run_t *run)
{
	unsigned lost = (unsigned)g_rand_int_range(rand, 1, (gint32)run->vms);
	uint64_t lost_vms = vms_from(0, lost);
	uint64_t added = g_rand_boolean(rand) ? vms_from(run->vms - 1, 1) : 0;
	int64_t at_us = g_rand_int_range(rand, 200000, 3000000);
	const fault_span_t spans[] = {
		{ FLEET_VM_LOST, at_us, at_us + LOST_RECOVERY_US, lost_vms },
		{ g_rand_boolean(rand) ? FLEET_MEMBER_LEAVES : FLEET_PRIMARY_LOST,
		  at_us + g_rand_int_range(rand, -500000, 2000000), 0, 0 },
		{ FLEET_VM_ADDED, at_us + g_rand_int_range(rand, -500000, 3000000), 0, added },
	};

	run->sync_replicas = 0;
	draw_spans(rand, run, spans, G_N_ELEMENTS(spans), (unsigned)g_rand_int_range(rand, 0, 8));
}

/* VMs are added and cut off at once, while a primary is replaced. */
static void draw_added_then_cut(GRand *rand, fleet_run_t *run)
{
	uint64_t added = vms_from(run->vms - 1, 1);
	int64_t at_us = g_rand_int_range(rand, 300000, 2000000);
	int64_t cut_us = at_us + g_rand_int_range(rand, 5000, 1500000);
	int64_t end_us = cut_us + g_rand_int_range(rand, 1500000, 6000000);
	const fault_span_t spans[] = {
		{ FLEET_VM_ADDED, at_us, 0, added },
		{ FLEET_VM_CUT, cut_us, end_us, added },
		{ FLEET_VM_CUT_FROM_STORE, cut_us, end_us, added },
		{ g_rand_boolean(rand) ? FLEET_MEMBER_LEAVES : FLEET_PRIMARY_CUT,
		  at_us + g_rand_int_range(rand, -1500000, 500000), end_us, ~added },
	};

	draw_spans(rand, run, spans, G_N_ELEMENTS(spans), (unsigned)g_rand_int_range(rand, 0, 8));
}

/*
 * A replica is cut off from the store and some VMs, often the leader, and goes on receiving
 * commits. Once its registration has lapsed, the other replica receives nothing, and the primary
 * crashes.
 */
static void draw_cut_replica(GRand *rand, fleet_run_t *run)
{
	unsigned strength = (unsigned)g_rand_int_range(rand, 0, 8);
	int64_t cut_us = g_rand_int_range(rand, 500000, 2000000);
	int64_t deaf_us = cut_us + g_rand_int_range(rand, 2000000, 7000000);
	int64_t crash_us = deaf_us + g_rand_int_range(rand, 30000, 800000);
	int64_t end_us = MAX(cut_us + g_rand_int_range(rand, 4500000, 9000000), crash_us + 100000);
	uint64_t unreached = g_rand_int_range(rand, 0, 3) == 0 ? ALL_VMS : draw_vms(rand, run->vms);
	const fault_span_t spans[] = {
		{ FLEET_REPLICA_CUT, cut_us, end_us, unreached | vms_from(0, 1) },
		{ FLEET_REPLICA_DEAF, deaf_us, crash_us + 8000000, 0 },
		{ g_rand_boolean(rand) ? FLEET_PRIMARY_LOST : FLEET_PRIMARY_KILLED, crash_us,
		  crash_us + g_rand_int_range(rand, 4000000, 8000000), 0 },
	};

	run->sync_replicas = 1;
	draw_spans(rand, run, spans, G_N_ELEMENTS(spans), strength);
	if (g_rand_int_range(rand, 0, 4) == 0) {
		draw_fault(rand, run, FLEET_LEADER_KILLED,
			   crash_us + g_rand_int_range(rand, -1000000, 2000000));
		run->faults[run->fault_count - 1].lasts_us =
			g_rand_int_range(rand, 100000, 1000000);
	}
}

fleet_run_t fleet_run_draw(guint32 seed, unsigned vms_max)
{
	static const int bounds_ms[] = { 3000, 3000, 5000, 2000 };
	GRand *rand = g_rand_new_with_seed(seed);
	fleet_run_t run = { .seed = seed };
	int64_t last_us = 0;
	unsigned count;

	run.vms = (unsigned)g_rand_int_range(rand, 3, (gint32)vms_max + 1);
	run.groups = (unsigned)g_rand_int_range(rand, 1, 4);
	run.bound_ms = bounds_ms[g_rand_int_range(rand, 0, G_N_ELEMENTS(bounds_ms))];
	run.stable_ms = 4000;
	run.drain_ms = 7000;
	count = (unsigned)g_rand_int_range(rand, 1, 7);
	if (g_rand_int_range(rand, 0, 4) == 0)
		draw_hung_feeds(rand, &run);
	while (count-- > 0) {
		int64_t at_us = g_rand_int_range(rand, 200000, 12000000);
		unsigned series = (unsigned)g_rand_int_range(rand, 1, 3);

		/* A change of the configuration may come with each fault, or some time later. */
		if (g_rand_boolean(rand))
			draw_fault(rand, &run, FLEET_CONFIG_CHANGES,
				   at_us + g_rand_int_range(rand, 0, 8000000));
		while (series-- > 0) {
			draw_fault(rand, &run,
				   (fleet_fault_type_t)g_rand_int_range(rand, 0, FLEET_PARTITION),
				   at_us);
			at_us += g_rand_int_range(rand, 0, 1500000);
		}
	}
	/* Last, so that the seeds without one keep their schedules. */
	if (g_rand_int_range(rand, 0, 4) == 0)
		draw_partition(rand, &run);
	switch (g_rand_int_range(rand, 0, 16)) {
	case 0:
	case 1:
	case 2:
		draw_restored_start(rand, &run);
		break;
	case 3:
	case 4:
		draw_lapse(rand, &run);
		break;
	case 5:
		draw_lost_replica(rand, &run);
		break;
	case 6:
		run.sync_replicas = 1;
		break;
	default:
		break;
	}
	if (g_rand_int_range(rand, 0, 24) == 0 && vms_max >= 5)
		draw_restored_list(rand, &run);
	if (g_rand_int_range(rand, 0, 24) == 0)
		run.member_delay_ms = (unsigned)g_rand_int_range(rand, 50, 1000);
	if (g_rand_int_range(rand, 0, 24) == 0)
		draw_silent_successors(rand, &run);
	if (g_rand_int_range(rand, 0, 16) == 0 && vms_max >= 5)
		draw_added_beside_cut(rand, &run, vms_max);
	if (g_rand_int_range(rand, 0, 32) == 0)
		draw_vms_lost(rand, &run);
	if (g_rand_int_range(rand, 0, 32) == 0)
		draw_added_then_cut(rand, &run);
	if (g_rand_int_range(rand, 0, 32) == 0)
		draw_cut_replica(rand, &run);
	for (count = 0; count < run.fault_count; count++)
		last_us = MAX(last_us, run.faults[count].at_us + run.faults[count].lasts_us);
	run.run_us = last_us + RECOVERY_US;
	g_rand_free(rand);
	return run;
}

void fleet_run_shrink(fleet_run_t *run)
{
	unsigned i = 0;

	while (i < run->fault_count) {
		fleet_run_t shorter = *run;
		fleet_result_t result;

		memmove(&shorter.faults[i], &shorter.faults[i + 1],
			(run->fault_count - i - 1) * sizeof(shorter.faults[0]));
		shorter.fault_count--;
		result = fleet_run_play(&shorter);
		if (result.rule)
			*run = shorter;
		else
			i++;
		fleet_result_clear(&result);
	}
}

void fleet_run_print(const fleet_run_t *run)
{
	unsigned i;

	printf("seed %u: %u VMs, %u groups, %u synchronous replicas, members %u ms late, bound %d "
	       "ms\n",
	       run->seed, run->vms, run->groups, run->sync_replicas, run->member_delay_ms,
	       run->bound_ms);
	for (i = 0; i < run->fault_count; i++) {
		const fleet_fault_t *fault = &run->faults[i];

		printf("  %6.3f s, %5.3f s: %s, VMs %" G_GINT64_MODIFIER "x, strength %u\n",
		       (double)fault->at_us / G_USEC_PER_SEC,
		       (double)fault->lasts_us / G_USEC_PER_SEC, fault_names[fault->type],
		       fault->vms, fault->strength);
	}
}
