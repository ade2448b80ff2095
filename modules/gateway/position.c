#include "internal/gateway.h"

#include "jh_counter.h"
#include "jh_log.h"
#include "jh_mirror.h"

/*
 * Log positions that VMs tell each other. A holder beside a replica sends few statements to the
 * primary; it asks the holders beside the primary for their newest sample while it has reads that
 * need one. jh_position_ask.h decides when to ask and what a reply is worth. Only groups whose
 * holders are chosen by data centre need this.
 */

/*
 * A read waits for a position at most this long, and at most the target latency divided by
 * TARGET_DIVISOR; then the primary runs it if it can be reached. Microseconds.
 */
#define WAIT_MAX_US (60 * INT64_C(1000))
#define TARGET_DIVISOR 6

/* No position of another VM is new enough for reads that accept no older state than this. */
#define AGE_MIN_US (50 * INT64_C(1000))

/* VMs of the primary's data centre that are asked in turn. */
#define ASKED_VMS 3u

JH_COUNTER(asked_total, "jasminehill_positions_asked_total",
	   "requests to other VMs for a group's log position");
JH_COUNTER(replied_total, "jasminehill_positions_replied_total",
	   "log positions sent to other VMs that asked for them");
JH_COUNTER(learned_total, "jasminehill_positions_learned_total",
	   "log positions that other VMs sent and that reads use");
JH_COUNTER(useless_total, "jasminehill_positions_useless_total",
	   "replies without a log position, or of another epoch than this VM knows");

static const char *own_vm(const _jh_gateway_t *gateway)
{
	return jh_kernel_settings(jh_task_kernel(gateway->task))->vm;
}

/* ---- asking ---- */

bool _jh_position_can_use(const _jh_gw_caller_t *caller)
{
	return caller->route.max_age_us >= AGE_MIN_US;
}

/*
 * The asking VMs are spread over the holders by a hash of their names; each attempt that fails
 * moves on to the next one.
 *
 * Return: interned; NULL if there is no VM to ask
 */
static const char *choose_vm(const _jh_gateway_t *gateway, _jh_gw_group_t *group)
{
	const jh_holder_map_t *map = _jh_place_map(gateway, group);
	const _jh_gw_member_t *primary = _jh_gw_group_primary(gateway, group);
	unsigned start = g_str_hash(own_vm(gateway)) % JH_HOLDERS_PER_DC +
			 jh_position_asker_attempt(group->asker);
	unsigned i;

	if (!map || !primary)
		return NULL;
	for (i = 0; i < ASKED_VMS; i++) {
		const char *vm =
			jh_holder_map_vm_at(map, primary->info->dc, (start + i) % ASKED_VMS);

		if (vm && !g_str_equal(vm, own_vm(gateway)))
			return vm;
	}
	return NULL;
}

static void ask_if_due(_jh_gateway_t *gateway, _jh_gw_group_t *group, int64_t now_us)
{
	const char *vm;
	Jh__Frame *frame;

	if (!jh_position_asker_is_due(group->asker, jh_freshness_newest_us(group->freshness),
				      now_us))
		return;
	vm = choose_vm(gateway, group);
	if (!vm)
		return;
	jh_position_asker_on_sent(group->asker, vm, now_us);
	frame = jh_frame_new(JH__FRAME__BODY_POSITION_ASK);
	frame->position_ask->group = jh_frame_strdup(group->name);
	frame->position_ask->stamp_us = now_us;
	jh_counter_add(&asked_total, 1);
	jh_frame_send(gateway->task, vm, frame);
}

void _jh_position_on_read(const _jh_gw_caller_t *caller)
{
	_jh_gateway_t *gateway = caller->gateway;
	_jh_gw_group_t *group = _jh_gateway_get_group(gateway, caller->route.group);
	int64_t now_us = jh_boot_time_us();

	if (!_jh_place_map(gateway, group) || !_jh_position_can_use(caller))
		return;
	if (!group->asker)
		group->asker = jh_position_asker_new();
	jh_position_asker_on_read(group->asker, caller->route.max_age_us, now_us);
	ask_if_due(gateway, group, now_us);
}

/* Return: true if the primary is so near that the read may as well run there */
static bool is_primary_near(const _jh_gateway_t *gateway, const _jh_gw_group_t *group)
{
	const _jh_gw_member_t *primary = _jh_gw_group_primary(gateway, group);

	return primary && primary->info->dc == gateway->dc && _jh_gateway_has_lease(gateway);
}

bool _jh_position_is_awaited(const _jh_gw_caller_t *caller)
{
	_jh_gateway_t *gateway = caller->gateway;
	_jh_gw_group_t *group = _jh_gateway_get_group(gateway, caller->route.group);
	int64_t waited_us = jh_boot_time_us() - caller->arrived_us;

	if (_jh_gw_request_needs_primary(caller) || !group->asker ||
	    !_jh_position_can_use(caller) ||
	    waited_us >= MIN(WAIT_MAX_US, caller->route.target_latency_us / TARGET_DIVISOR))
		return false;
	return !is_primary_near(gateway, group) && choose_vm(gateway, group) &&
	       jh_position_asker_expects_reply(group->asker);
}

void _jh_position_tick(_jh_gateway_t *gateway, int64_t now_us)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, gateway->groups);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		_jh_gw_group_t *group = value;

		if (group->asker)
			ask_if_due(gateway, group, now_us);
	}
}

/* ---- replying ---- */

/*
 * The samples were taken under a valid mirror lease. The lease is required now as well, so that a
 * VM that was separated from the others names no primary that it may not use itself.
 */
static void handle_ask(_jh_gateway_t *gateway, const jh_frame_msg_t *msg)
{
	const Jh__PositionAsk *ask = msg->frame->position_ask;
	const _jh_gw_group_t *group = g_hash_table_lookup(gateway->groups, ask->group);
	Jh__Frame *frame = jh_frame_new(JH__FRAME__BODY_POSITION_REPLY);
	Jh__PositionReply *reply = frame->position_reply;
	jh_position_t position;

	reply->group = jh_frame_strdup(ask->group);
	reply->stamp_us = ask->stamp_us;
	if (group && group->primary.epoch > 0 && !group->primary.is_changing &&
	    _jh_gateway_has_lease(gateway) &&
	    jh_freshness_find_newest(group->freshness, &position) &&
	    position.term == group->primary.term) {
		reply->epoch = group->primary.epoch;
		reply->term = position.term;
		reply->index = position.index;
		reply->age_us = jh_boot_time_us() - jh_freshness_newest_us(group->freshness);
		jh_counter_add(&replied_total, 1);
	}
	jh_frame_send(gateway->task, msg->vm, frame);
}

/* Return: true if the reply has a position in the log of the primary that this VM knows */
static bool is_of_known_primary(const _jh_gw_group_t *group, const Jh__PositionReply *reply)
{
	return reply->term != 0 && reply->epoch == group->primary.epoch &&
	       reply->term == group->primary.term && !group->primary.is_changing;
}

static void handle_reply(_jh_gateway_t *gateway, const jh_frame_msg_t *msg)
{
	const Jh__PositionReply *reply = msg->frame->position_reply;
	const _jh_gw_group_t *group = g_hash_table_lookup(gateway->groups, reply->group);
	int64_t sampled_us;

	if (!group || !group->asker)
		return;
	if (!jh_position_asker_on_reply(group->asker, msg->vm, reply->stamp_us,
					is_of_known_primary(group, reply) ? reply->age_us : -1,
					&sampled_us)) {
		jh_counter_add(&useless_total, 1);
		return;
	}
	jh_counter_add(&learned_total, 1);
	jh_freshness_add_sample(group->freshness, sampled_us,
				(jh_position_t){ .term = reply->term, .index = reply->index });
	_jh_gateway_schedule_dispatch(gateway);
}

void _jh_position_on_frame(_jh_gateway_t *gateway, const jh_frame_msg_t *msg)
{
	if (msg->frame->body_case == JH__FRAME__BODY_POSITION_ASK)
		handle_ask(gateway, msg);
	else if (msg->frame->body_case == JH__FRAME__BODY_POSITION_REPLY)
		handle_reply(gateway, msg);
}
