#include "model.h"

#include "internal/gateway.h"
#include "internal/lead.h"
#include "virtual_loop.h"

#include <string.h>

/*
 * The VMs of the model: the real mirror, catalogue, membership and leader tasks, a peer task that
 * passes frames to other VMs, and an observer in place of the gateway, which notes what a gateway
 * would know.
 */

extern const jh_module_t jh_mirror_module;
extern const jh_module_t jh_catalogue_module;
extern const jh_module_t jh_membership_module;
extern const jh_module_t jh_leader_module;

/* Time of a frame between two VMs, microseconds. */
#define FRAME_DELAY_MIN_US 100
#define FRAME_DELAY_MAX_US 3000

/* A gateway refuses its callers once its lease has been expired for this long. */
#define ISOLATED_AFTER_US (700 * INT64_C(1000))

/* See MEMBER_DRAIN_MARGIN_US of the gateway. */
#define DRAIN_MARGIN_US (500 * INT64_C(1000))

/* ---- Frames ---- */

typedef struct frame_event {
	unsigned from;
	unsigned to;
	uint64_t boot;
	GByteArray *bytes;
} frame_event_t;

static void frame_event_free(void *data)
{
	frame_event_t *event = data;

	g_byte_array_unref(event->bytes);
	g_free(event);
}

static bool link_is_cut(unsigned from, unsigned to)
{
	return from != to && ((model.cut[from] > 0) != (model.cut[to] > 0) ||
			      (model.apart[from] > 0) != (model.apart[to] > 0));
}

static void on_frame(void *data)
{
	frame_event_t *event = data;
	vm_t *vm = &model.vms[event->to];
	jh_error_t err = JH_ERROR_INIT;
	Jh__Frame *frame = NULL;
	size_t consumed = 0;

	if (vm->kernel && !link_is_cut(event->from, event->to) &&
	    jh_frame_unpack(event->bytes->data, event->bytes->len, &consumed, &frame, &err) == 0 &&
	    frame) {
		jh_frame_deliver(vm->peer, model.vms[event->from].name, event->boot, frame);
		virtual_loop_wake(jh_kernel_loop(vm->kernel));
	}
	jh_error_clear(&err);
	frame_event_free(event);
}

static void frame_send(const vm_t *from, unsigned to, const Jh__Frame *frame)
{
	frame_event_t *event = g_new0(frame_event_t, 1);
	int64_t *busy_us = &model.link_busy_us[from->index][to];

	event->from = from->index;
	event->to = to;
	event->boot = jh_kernel_boot(from->kernel);
	event->bytes = g_byte_array_new();
	jh_frame_pack(frame, event->bytes);
	model.result.frames++;
	*busy_us = MAX(*busy_us + 1,
		       virtual_now_us() + (from->index == to ?
						   0 :
						   g_random_int_range(FRAME_DELAY_MIN_US,
								      FRAME_DELAY_MAX_US)));
	virtual_call_at(*busy_us, on_frame, event, frame_event_free);
}

static int peer_init(jh_task_t *task, jh_error_t *err)
{
	(void)err;
	vm_of_task(task)->peer = task;
	return 0;
}

static void peer_on_message(jh_task_t *task, const jh_msg_t *msg)
{
	const jh_frame_msg_t *out = msg->body;
	unsigned i;

	if (msg->type != JH_MSG_FRAME_OUT)
		return;
	for (i = 0; i < model.run->vms; i++) {
		if (g_str_equal(model.vms[i].name, out->vm))
			frame_send(vm_of_task(task), i, out->frame);
	}
}

static void fini_nothing(jh_task_t *task)
{
	(void)task;
}

static const jh_module_t peer_module = {
	.name = "peer",
	.subscriptions = { JH_MSG_TYPE_COUNT },
	.init = peer_init,
	.on_message = peer_on_message,
	.fini = fini_nothing,
};

/* ---- Observer ---- */

static void observe_config(vm_t *vm, const jh_fleet_config_t *config)
{
	if (config->version < vm->config_version)
		model_break_rule("CONFIG",
				 "%s goes back from version %" G_GUINT64_FORMAT
				 " to %" G_GUINT64_FORMAT,
				 vm->name, vm->config_version, config->version);
	vm->config_version = config->version;
}

static void observe_member(vm_t *vm, const jh_member_msg_t *msg)
{
	int64_t now_us = virtual_now_us();

	if (msg->member) {
		g_hash_table_replace(vm->members, (void *)msg->id, jh_member_copy(msg->member));
		g_hash_table_remove(vm->unlisted, msg->id);
	} else if (g_hash_table_contains(vm->members, msg->id) &&
		   !g_hash_table_contains(vm->unlisted, msg->id)) {
		g_hash_table_insert(vm->unlisted, (void *)msg->id,
				    g_memdup2(&now_us, sizeof(now_us)));
	}
}

static void observe_primary(vm_t *vm, const jh_primary_t *primary)
{
	const jh_primary_t *known = g_hash_table_lookup(vm->primaries, primary->group);

	model.result.cancelled += known && known->is_changing && !primary->is_changing &&
				  known->member == primary->member && known->term == primary->term;
	model_trace("%s: %s of %s, term %" G_GUINT64_FORMAT "%s", vm->name,
		    primary->member ? primary->member : "nobody", primary->group, primary->term,
		    primary->is_changing ? ", changing" : "");
	g_hash_table_replace(vm->primaries, (void *)primary->group,
			     g_memdup2(primary, sizeof(*primary)));
}

static int observer_init(jh_task_t *task, jh_error_t *err)
{
	(void)err;
	vm_of_task(task)->observer = task;
	return 0;
}

static void observer_on_message(jh_task_t *task, const jh_msg_t *msg)
{
	vm_t *vm = vm_of_task(task);

	if (msg->type == JH_MSG_FLEET_CONFIG) {
		observe_config(vm, ((const jh_fleet_config_msg_t *)msg->body)->config);
	} else if (msg->type == JH_MSG_MEMBER) {
		observe_member(vm, msg->body);
	} else if (msg->type == JH_MSG_PRIMARY) {
		observe_primary(vm, &((const jh_primary_msg_t *)msg->body)->primary);
	} else if (msg->type == JH_MSG_MIRROR_LEASE) {
		const jh_mirror_lease_msg_t *lease = msg->body;

		vm->lease_until_us = MAX(vm->lease_until_us, lease->until_us);
		vm->config_late_us = lease->config_late_us;
		vm->is_complete = lease->is_complete;
	}
}

static const jh_module_t observer_module = {
	.name = "observer",
	.subscriptions = { JH_MSG_FLEET_CONFIG, JH_MSG_MEMBER, JH_MSG_PRIMARY, JH_MSG_MIRROR_LEASE,
			   JH_MSG_TYPE_COUNT },
	.init = observer_init,
	.on_message = observer_on_message,
	.fini = fini_nothing,
};

/* ---- What a gateway would do ---- */

bool vm_has_lease(const vm_t *vm)
{
	return vm->kernel && !vm->is_frozen && vm->is_complete &&
	       (virtual_now_us() < vm->lease_until_us || model.run->without_lease);
}

bool vm_serves(const vm_t *vm)
{
	if (!vm->kernel || vm->is_frozen || !vm->is_complete || vm->config_version == 0)
		return false;
	if (vm->config_late_us != 0 && virtual_now_us() > vm->config_late_us &&
	    !model.run->without_bound)
		return false;
	return virtual_now_us() <= vm->lease_until_us + ISOLATED_AFTER_US ||
	       model.run->without_lease;
}

static bool member_is_listed(const vm_t *vm, const char *id)
{
	const int64_t *unlisted_us = g_hash_table_lookup(vm->unlisted, id);

	return !unlisted_us || virtual_now_us() - *unlisted_us < JH_REGISTRATION_GRACE_US;
}

static bool member_has_left(const vm_t *vm, const jh_member_t *info)
{
	int64_t drain_us = (int64_t)vm->settings.member_drain_ms * 1000;

	return info->is_draining &&
	       (info->draining_since_us == INT64_MIN ||
		virtual_now_us() - info->draining_since_us >= drain_us - DRAIN_MARGIN_US);
}

member_t *vm_find_primary(const vm_t *vm, unsigned group, uint64_t *epoch)
{
	const jh_primary_t *primary = g_hash_table_lookup(vm->primaries, group_name(group));
	const jh_member_t *info;

	if (!primary || primary->epoch == 0 || primary->is_changing || !primary->member)
		return NULL;
	info = g_hash_table_lookup(vm->members, primary->member);
	if (!info || !member_is_listed(vm, primary->member) || member_has_left(vm, info))
		return NULL;
	*epoch = primary->epoch;
	return member_find(primary->member);
}

bool vm_uses_member(const vm_t *vm, const member_t *member)
{
	const jh_member_t *info = g_hash_table_lookup(vm->members, member->id);
	uint64_t epoch;

	if (!info || !member_is_listed(vm, member->id))
		return false;
	if (!info->is_draining)
		return true;
	return vm_has_lease(vm) && vm_find_primary(vm, member->group, &epoch) == member;
}

void vm_acknowledge(vm_t *vm, unsigned group, jh_position_t after, jh_position_t position)
{
	jh_acknowledged_msg_t *msg;

	if (jh_position_compare(position, vm->told[group]) > 0)
		vm->told[group] = position;
	if (model.run->sync_replicas == 0 || after.term != position.term)
		return;
	msg = g_rc_box_new0(jh_acknowledged_msg_t);
	msg->group = group_name(group);
	msg->position = (jh_position_t){ after.term, after.index + 1 };
	jh_publish(vm->observer, JH_MSG_ACKNOWLEDGED, msg, NULL);
	virtual_loop_wake(jh_kernel_loop(vm->kernel));
}

void vm_report_primary(vm_t *vm, unsigned group, const char *member)
{
	jh_primary_report_msg_t *report = g_rc_box_new0(jh_primary_report_msg_t);

	report->group = group_name(group);
	report->member = g_intern_string(member);
	jh_publish(vm->observer, JH_MSG_PRIMARY_REPORT, report, NULL);
	virtual_loop_wake(jh_kernel_loop(vm->kernel));
}

/* ---- Start and end ---- */

void vm_start(unsigned index)
{
	static const jh_module_t *const modules[] = {
		&peer_module,	      &model_platform_module, &jh_mirror_module,
		&jh_catalogue_module, &jh_membership_module,  &jh_leader_module,
		&observer_module,
	};
	vm_t *vm = &model.vms[index];
	jh_error_t err = JH_ERROR_INIT;
	unsigned i;

	vm->instance++;
	vm->config_version = 0;
	vm->lease_until_us = INT64_MIN / 2;
	vm->config_late_us = 0;
	vm->is_complete = false;
	vm->era = 0;
	memset(vm->told, 0, sizeof(vm->told));
	vm->primaries = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	vm->members = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, jh_member_free);
	vm->unlisted = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	vm->kernel = jh_kernel_new(&vm->settings, &err);
	for (i = 0; i < G_N_ELEMENTS(modules); i++) {
		if (jh_kernel_add_module(vm->kernel, modules[i], &err) < 0)
			g_error("%s: the module %s does not start", vm->name, modules[i]->name);
	}
}

void vm_kill(unsigned index)
{
	vm_t *vm = &model.vms[index];

	if (!vm->kernel)
		return;
	virtual_loop_suspend(jh_kernel_loop(vm->kernel), false);
	vm->is_frozen = false;
	jh_kernel_free(g_steal_pointer(&vm->kernel));
	g_hash_table_destroy(vm->primaries);
	g_hash_table_destroy(vm->members);
	g_hash_table_destroy(vm->unlisted);
}

void vm_disturbed(vm_t *vm, int64_t until_us)
{
	vm->disturbed_until_us = MAX(vm->disturbed_until_us, until_us);
}
