#include "internal/gateway.h"

#include "jh_counter.h"
#include "jh_frame.h"
#include "jh_socket.h"
#include "jh_log.h"
#include "jh_mirror.h"
#include "jh_profile.h"
#include "jh_service.h"

#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/*
 * The gateway task: stores the state that other tasks publish, accepts callers, and runs the
 * timers.
 */

/* Interval, seconds, of the checks of transactions, unresponsive members and waiting callers. */
#define TICK_S 0.1

/* Delay before the wait queues are dispatched again while a caller waits, seconds. */
#define DISPATCH_RETRY_S 0.02

/* An idle connection to a member is closed after this, microseconds. */
#define CONN_IDLE_US (15 * INT64_C(1000000))

/*
 * An idle connection is closed after this, microseconds, by a VM that is no holder of its group any
 * more: the new holders need its place.
 */
#define NO_HOLDER_IDLE_US (500 * INT64_C(1000))

/* VMs listed for each group: the holders and those that stand in for holders without a response. */
#define HOLDER_CANDIDATES 8u

/* Callers accepted in one loop iteration. */
#define ACCEPT_MAX 16

/*
 * A VM counts as isolated once its mirror lease has been expired for this long, microseconds. It
 * serves neither writes nor fresh reads without the lease. The time is longer than a change of the
 * voters or a lost round of requests to them takes. A balancer needs two seconds to notice.
 */
#define ISOLATED_AFTER_US (700 * INT64_C(1000))

JH_COUNTER(callers_open, "jasminehill_sessions_open_count", "sessions that are open");
JH_COUNTER(conns_open, "jasminehill_member_connections_count", "connections to members");

/* ---- groups and members ---- */

static void group_free(void *data)
{
	_jh_gw_group_t *group = data;

	jh_freshness_free(group->freshness);
	g_ptr_array_free(group->members, TRUE);
	jh_admission_free(group->admission);
	g_clear_pointer(&group->ranked, g_ptr_array_unref);
	_jh_place_forget_map(group);
	jh_position_asker_free(group->asker);
	g_clear_pointer(&group->unable, g_hash_table_destroy);
	g_clear_pointer(&group->unfit_dcs, g_hash_table_destroy);
	g_free(group);
}

_jh_gw_group_t *_jh_gateway_get_group(_jh_gateway_t *gateway, const char *name)
{
	_jh_gw_group_t *group = g_hash_table_lookup(gateway->groups, name);

	if (group)
		return group;
	group = g_new0(_jh_gw_group_t, 1);
	group->name = g_intern_string(name);
	group->freshness = jh_freshness_new();
	group->members = g_ptr_array_new();
	group->admission = jh_admission_new();
	g_hash_table_insert(gateway->groups, (void *)group->name, group);
	return group;
}

/* ---- holders ---- */

jh_holder_plan_t _jh_gateway_make_plan(const _jh_gateway_t *gateway, const char *name)
{
	const jh_fleet_config_t *config = gateway->config;
	const jh_fleet_group_t *group = config ? g_hash_table_lookup(config->groups, name) : NULL;
	const jh_holder_demand_t demand = {
		.connections = group ? group->connections : 1,
		.vms = gateway->vm_count,
		.teams = config ? config->teams->teams->len : 0,
	};

	return jh_holder_make_plan(&demand);
}

const GPtrArray *_jh_gateway_rank_vms(const _jh_gateway_t *gateway, _jh_gw_group_t *group)
{
	if (!group->ranked)
		group->ranked = jh_holder_rank_vms(gateway->vms, group->name, HOLDER_CANDIDATES);
	return group->ranked;
}

/* Return: true if this VM is to hold connections to the group's members */
static bool holds_connections(const _jh_gateway_t *gateway, _jh_gw_group_t *group)
{
	const char *own = jh_kernel_settings(jh_task_kernel(gateway->task))->vm;
	jh_holder_plan_t plan = _jh_gateway_make_plan(gateway, group->name);
	const jh_holder_map_t *map = _jh_place_map(gateway, group);
	const GPtrArray *ranked;
	unsigned i;

	if (map)
		return jh_holder_map_holds(map, own);
	ranked = _jh_gateway_rank_vms(gateway, group);
	for (i = 0; !plan.is_direct && i < MIN(plan.holders, ranked->len); i++) {
		if (g_str_equal(g_ptr_array_index(ranked, i), own))
			return true;
	}
	return plan.is_direct;
}

/* ---- members ---- */

static void member_free(void *data)
{
	_jh_gw_member_t *member = data;

	while (member->conns->len > 0) {
		_jh_gw_conn_t *conn = g_ptr_array_index(member->conns, 0);
		_jh_gw_caller_t *user = conn->user;

		_jh_gw_conn_close(conn);
		if (user)
			_jh_gw_request_on_conn_lost(user, member->info->id, JH_CODE_BUSY);
	}
	g_ptr_array_remove_fast(member->group->members, member);
	_jh_place_forget_map(member->group);
	g_ptr_array_free(member->conns, TRUE);
	jh_member_free(member->info);
	g_free(member);
}

/* Return: false if the id now names another member: its instance, address or group differs */
static bool is_same_member(const jh_member_t *a, const jh_member_t *b)
{
	return a->group == b->group && g_str_equal(a->host, b->host) && a->port == b->port &&
	       a->started_ms == b->started_ms;
}

static void member_remove(_jh_gateway_t *gateway, const char *id)
{
	_jh_gw_member_t *member = g_hash_table_lookup(gateway->members, id);

	if (!member)
		return;
	g_hash_table_steal(gateway->members, id);
	member_free(member);
}

static void apply_member(_jh_gateway_t *gateway, const jh_member_msg_t *msg)
{
	_jh_gw_member_t *member = g_hash_table_lookup(gateway->members, msg->id);

	if (member && !msg->member && member->unlisted_us == 0)
		member->unlisted_us = jh_boot_time_us();
	else if (member && msg->member && !is_same_member(member->info, msg->member))
		member_remove(gateway, msg->id);
	if (!msg->member)
		return;
	_jh_gw_slow_start_on_member(gateway, msg->member);
	member = g_hash_table_lookup(gateway->members, msg->id);
	if (member) {
		if (member->info->dc != msg->member->dc)
			_jh_place_forget_map(member->group);
		jh_member_free(member->info);
		member->info = jh_member_copy(msg->member);
		member->unlisted_us = 0;
	} else {
		member = g_new0(_jh_gw_member_t, 1);
		member->info = jh_member_copy(msg->member);
		member->group = _jh_gateway_get_group(gateway, msg->member->group);
		member->conns = g_ptr_array_new();
		g_ptr_array_add(member->group->members, member);
		_jh_place_forget_map(member->group);
		g_hash_table_insert(gateway->members, (void *)msg->id, member);
	}
	_jh_gateway_schedule_dispatch(gateway);
}

static void apply_primary(_jh_gateway_t *gateway, const jh_primary_t *primary)
{
	_jh_gw_group_t *group = _jh_gateway_get_group(gateway, primary->group);

	if (primary->epoch <= group->primary.epoch)
		return;
	if (primary->term != group->primary.term || primary->member != group->primary.member)
		jh_freshness_clear(group->freshness);
	group->primary = *primary;
	_jh_place_on_primary(group);
	group->is_primary_reported = false;
	_jh_queue_on_primary(gateway, group);
	_jh_gateway_schedule_dispatch(gateway);
}

void _jh_gateway_report_primary(_jh_gateway_t *gateway, _jh_gw_group_t *group)
{
	jh_primary_report_msg_t *msg;

	if (group->primary.epoch == 0 || group->primary.is_changing)
		return;
	if (!group->is_primary_reported)
		jh_log(JH_LOG_NOTICE, "gateway", "primary_silent",
		       "group=%s member=%s epoch=%" G_GUINT64_FORMAT, jh_log_value(group->name),
		       jh_log_value(group->primary.member), group->primary.epoch);
	group->is_primary_reported = true;
	msg = g_rc_box_new0(jh_primary_report_msg_t);
	msg->group = group->name;
	msg->member = group->primary.member;
	jh_publish(gateway->task, JH_MSG_PRIMARY_REPORT, msg, NULL);
}

/* ---- readiness ---- */

static bool is_primary_known(_jh_gateway_t *gateway, const char *name)
{
	const _jh_gw_group_t *group = g_hash_table_lookup(gateway->groups, name);

	return group && group->primary.epoch > 0;
}

bool _jh_gateway_is_isolated(const _jh_gateway_t *gateway, int64_t now_us)
{
	return gateway->is_complete && now_us > gateway->lease_until_us + ISOLATED_AFTER_US;
}

bool _jh_gateway_config_is_late(const _jh_gateway_t *gateway)
{
	return gateway->config_late_us != 0 && jh_boot_time_us() > gateway->config_late_us;
}

/* The VM is ready if it knows the configuration and the primary of at least one routed group. */
bool _jh_gateway_is_ready(const _jh_gateway_t *gateway)
{
	GHashTableIter iter;
	void *value;

	if (gateway->drain_started_us != 0 || !gateway->config || !gateway->is_complete ||
	    _jh_gateway_is_isolated(gateway, jh_boot_time_us()) ||
	    _jh_gateway_config_is_late(gateway))
		return false;
	g_hash_table_iter_init(&iter, gateway->config->routes);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (is_primary_known((_jh_gateway_t *)gateway, ((jh_fleet_route_t *)value)->group))
			return true;
	}
	return false;
}

/* ---- timers ---- */

void _jh_gateway_schedule_dispatch(_jh_gateway_t *gateway)
{
	gateway->needs_dispatch = true;
}

/* No event reports that a replica caught up or that a member is reachable again: a timer polls. */
void _jh_gateway_schedule_retry(_jh_gateway_t *gateway)
{
	if (!ev_is_active(&gateway->dispatch_retry)) {
		ev_timer_set(&gateway->dispatch_retry, DISPATCH_RETRY_S, 0);
		ev_timer_start(jh_task_loop(gateway->task), &gateway->dispatch_retry);
	}
}

static void on_dispatch_retry(struct ev_loop *loop, ev_timer *timer, int events)
{
	(void)loop;
	(void)events;
	_jh_queue_run(timer->data);
}

static void on_prepare(struct ev_loop *loop, ev_prepare *watcher, int events)
{
	_jh_gateway_t *gateway = watcher->data;

	(void)loop;
	(void)events;
	if (!gateway->needs_dispatch)
		return;
	gateway->needs_dispatch = false;
	_jh_queue_run(gateway);
}

GPtrArray *_jh_gateway_copy_callers(const _jh_gateway_t *gateway)
{
	GPtrArray *callers = g_ptr_array_new();
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, gateway->callers);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		g_ptr_array_add(callers, value);
	return callers;
}

static void callers_tick(_jh_gateway_t *gateway, int64_t now_us)
{
	GPtrArray *callers = _jh_gateway_copy_callers(gateway);
	bool ends_transactions = _jh_gateway_must_end_sessions(gateway, now_us);
	unsigned i;

	for (i = 0; i < callers->len; i++) {
		_jh_gw_caller_t *caller = g_ptr_array_index(callers, i);

		if (caller->tx_state == 'T' && caller->request == JH_REQUEST_NONE &&
		    (ends_transactions || _jh_gw_must_end_transaction(caller)))
			_jh_gw_request_end_transaction(caller, JH_CODE_ABORTED);
		_jh_gw_caller_tick(caller, now_us);
	}
	g_ptr_array_free(callers, TRUE);
}

static bool member_tick(_jh_gateway_t *gateway, _jh_gw_member_t *member, int64_t now_us)
{
	int64_t idle_max_us =
		holds_connections(gateway, member->group) ? CONN_IDLE_US : NO_HOLDER_IDLE_US;
	unsigned i = 0;

	while (i < member->conns->len) {
		_jh_gw_conn_t *conn = g_ptr_array_index(member->conns, i);

		if (_jh_gw_conn_is_free(conn) &&
		    (!_jh_gw_member_is_listed(member) || now_us - conn->idle_us > idle_max_us))
			_jh_gw_conn_close(conn);
		else
			i++;
	}
	return _jh_gw_member_is_listed(member) || member->conns->len > 0;
}

static void members_tick(_jh_gateway_t *gateway, int64_t now_us)
{
	GHashTableIter iter;
	int64_t open = 0;
	void *value;

	g_hash_table_iter_init(&iter, gateway->members);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		_jh_gw_member_t *member = value;

		_jh_gw_close_drained(gateway, member);
		if (member_tick(gateway, member, now_us)) {
			open += member->conns->len;
			continue;
		}
		g_hash_table_iter_steal(&iter);
		member_free(member);
	}
	jh_counter_set(&conns_open, open);
}

static void update_is_isolated(_jh_gateway_t *gateway, int64_t now_us)
{
	bool is_isolated = _jh_gateway_is_isolated(gateway, now_us);

	if (is_isolated == gateway->is_isolated)
		return;
	gateway->is_isolated = is_isolated;
	jh_log(JH_LOG_WARNING, "gateway", is_isolated ? "cut_off" : "back_in_touch",
	       "authority_ms=%" G_GINT64_FORMAT " sessions=%u",
	       (gateway->lease_until_us - now_us) / 1000, g_hash_table_size(gateway->callers));
}

static void on_tick(struct ev_loop *loop, ev_timer *timer, int events)
{
	_jh_gateway_t *gateway = timer->data;
	int64_t now_us = jh_boot_time_us();

	(void)loop;
	(void)events;
	update_is_isolated(gateway, now_us);
	_jh_forward_tick(gateway, now_us);
	_jh_position_tick(gateway, now_us);
	callers_tick(gateway, now_us);
	members_tick(gateway, now_us);
	jh_counter_set(&callers_open, g_hash_table_size(gateway->callers));
	_jh_queue_run(gateway);
	_jh_queue_tick(gateway, now_us);
}

/* ---- callers ---- */

static void on_accept(struct ev_loop *loop, ev_io *watcher, int events)
{
	_jh_gateway_t *gateway = watcher->data;
	int max = jh_kernel_settings(jh_task_kernel(gateway->task))->max_callers;
	int i;

	(void)loop;
	(void)events;
	for (i = 0; i < ACCEPT_MAX; i++) {
		int fd = accept4(watcher->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);

		if (fd < 0)
			return;
		if ((int)(g_hash_table_size(gateway->callers) -
			  g_hash_table_size(gateway->operations)) >= max)
			close(fd);
		else
			_jh_gw_caller_accept(gateway, fd);
	}
}

/* ---- messages and module definition ---- */

static void handle_quota_reply(_jh_gateway_t *gateway, const jh_quota_msg_t *reply)
{
	_jh_gw_caller_t *caller = g_hash_table_lookup(gateway->callers, &reply->tag);

	if (_jh_gw_slow_start_on_quota(gateway, reply))
		return;
	if (caller && caller->request == JH_REQUEST_QUOTA)
		_jh_gw_request_on_quota(caller, reply);
	else if (reply->granted)
		jh_quota_give_back(gateway->task, reply->team, reply->grant);
}

static void apply_config(_jh_gateway_t *gateway, jh_fleet_config_t *config)
{
	bool is_first = !gateway->config;
	GPtrArray *callers;
	unsigned i;

	jh_fleet_config_unref(gateway->config);
	gateway->config = jh_fleet_config_ref(config);
	_jh_place_forget_maps(gateway);
	if (!is_first)
		return;
	callers = _jh_gateway_copy_callers(gateway);
	for (i = 0; i < callers->len; i++) {
		_jh_gw_caller_t *caller = g_ptr_array_index(callers, i);

		if (caller->is_starting)
			_jh_gw_caller_finish_start(caller);
	}
	g_ptr_array_free(callers, TRUE);
}

static void apply_lease(_jh_gateway_t *gateway, const jh_mirror_lease_msg_t *msg)
{
	bool had_lease = _jh_gateway_has_lease(gateway);

	gateway->lease_until_us = MAX(gateway->lease_until_us, msg->until_us);
	gateway->config_late_us = msg->config_late_us;
	gateway->is_complete = gateway->is_complete || msg->is_complete;
	if (!had_lease)
		_jh_gateway_schedule_dispatch(gateway);
}

static void apply_vms(_jh_gateway_t *gateway, GPtrArray *vms)
{
	unsigned count = 0;
	GHashTableIter iter;
	void *value;
	unsigned i;

	g_clear_pointer(&gateway->vms, g_ptr_array_unref);
	gateway->vms = g_ptr_array_ref(vms);
	g_hash_table_iter_init(&iter, gateway->groups);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		g_clear_pointer(&((_jh_gw_group_t *)value)->ranked, g_ptr_array_unref);
	_jh_place_forget_maps(gateway);
	for (i = 0; i < vms->len; i++)
		count += ((const jh_vm_t *)g_ptr_array_index(vms, i))->state != JH_VM_DEAD;
	gateway->vm_count = MAX(count, 1);
}

static void gateway_on_message(jh_task_t *task, const jh_msg_t *msg)
{
	_jh_gateway_t *gateway = jh_task_state(task);

	if (msg->type == JH_MSG_FLEET_CONFIG) {
		apply_config(gateway, ((const jh_fleet_config_msg_t *)msg->body)->config);
	} else if (msg->type == JH_MSG_MEMBER) {
		apply_member(gateway, msg->body);
	} else if (msg->type == JH_MSG_PRIMARY) {
		apply_primary(gateway, &((const jh_primary_msg_t *)msg->body)->primary);
	} else if (msg->type == JH_MSG_DC_DRAIN) {
		_jh_gw_apply_dc_drain(gateway, msg->body);
	} else if (msg->type == JH_MSG_MIRROR_LEASE) {
		apply_lease(gateway, msg->body);
	} else if (msg->type == JH_MSG_VMS) {
		apply_vms(gateway, ((const jh_vms_msg_t *)msg->body)->vms);
	} else if (msg->type == JH_MSG_QUOTA_REPLY) {
		handle_quota_reply(gateway, msg->body);
	} else if (msg->type == JH_MSG_FRAME_IN) {
		_jh_forward_on_frame(gateway, msg->body);
		_jh_holder_on_frame(gateway, msg->body);
		_jh_position_on_frame(gateway, msg->body);
	} else if (msg->type == JH_MSG_PEER_DOWN) {
		const jh_peer_down_msg_t *down = msg->body;

		_jh_forward_on_peer_down(gateway, down->vm);
		_jh_holder_on_peer_down(gateway, down->vm, down->boot);
	}
}

static int gateway_init(jh_task_t *task, jh_error_t *err)
{
	const jh_settings_t *settings = jh_kernel_settings(jh_task_kernel(task));
	struct ev_loop *loop = jh_task_loop(task);
	_jh_gateway_t *gateway = g_new0(_jh_gateway_t, 1);
	int fd = -1;

	gateway->task = task;
	gateway->wire = jh_profile_get(settings)->wire;
	gateway->dc = g_intern_string(settings->dc);
	gateway->topology = jh_topology_new(settings->dc_regions ? settings->dc_regions : "");
	gateway->vm_count = 1;
	gateway->next_tag = 1;
	gateway->lease_until_us = INT64_MIN;
	gateway->ready = _jh_ready_new(gateway, err);
	if (gateway->ready)
		fd = jh_socket_listen(&settings->listen, "caller port", err);
	if (fd < 0) {
		if (gateway->ready)
			_jh_ready_free(gateway->ready);
		jh_topology_free(gateway->topology);
		g_free(gateway);
		return -1;
	}
	gateway->drains = jh_dc_drains_new();
	gateway->groups = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, group_free);
	gateway->members = g_hash_table_new(g_str_hash, g_str_equal);
	gateway->callers = g_hash_table_new(g_int64_hash, g_int64_equal);
	gateway->operations = _jh_holder_operations_new();
	gateway->forwards = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	gateway->holders = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	gateway->slow_starts = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	gateway->cold_asks = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
	/* A result is sent to a VM, which may have been restarted. The ids of its later instance
	 * begin elsewhere, so that none of them matches. */
	gateway->next_forward_id =
		(jh_kernel_boot(jh_task_kernel(task)) & ~(uint64_t)UINT32_MAX) + 1;
	ev_io_init(&gateway->accept, on_accept, fd, EV_READ);
	ev_timer_init(&gateway->tick, on_tick, TICK_S, TICK_S);
	ev_prepare_init(&gateway->dispatch_watcher, on_prepare);
	ev_init(&gateway->dispatch_retry, on_dispatch_retry);
	gateway->dispatch_retry.data = gateway;
	gateway->accept.data = gateway;
	gateway->tick.data = gateway;
	gateway->dispatch_watcher.data = gateway;
	ev_io_start(loop, &gateway->accept);
	ev_timer_start(loop, &gateway->tick);
	ev_prepare_start(loop, &gateway->dispatch_watcher);
	jh_task_set_state(task, gateway);
	return 0;
}

static void gateway_drain(jh_task_t *task)
{
	((_jh_gateway_t *)jh_task_state(task))->drain_started_us = jh_boot_time_us();
}

static bool gateway_is_drained(jh_task_t *task)
{
	return _jh_gateway_is_drained(jh_task_state(task));
}

static void gateway_fini(jh_task_t *task)
{
	_jh_gateway_t *gateway = jh_task_state(task);
	struct ev_loop *loop = jh_task_loop(task);
	GPtrArray *callers = _jh_gateway_copy_callers(gateway);
	GHashTableIter iter;
	void *value;
	unsigned i;

	for (i = 0; i < callers->len; i++)
		_jh_gw_caller_free(g_ptr_array_index(callers, i));
	g_ptr_array_free(callers, TRUE);
	g_hash_table_iter_init(&iter, gateway->members);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		g_hash_table_iter_steal(&iter);
		member_free(value);
	}
	ev_io_stop(loop, &gateway->accept);
	close(gateway->accept.fd);
	ev_timer_stop(loop, &gateway->tick);
	ev_prepare_stop(loop, &gateway->dispatch_watcher);
	ev_timer_stop(loop, &gateway->dispatch_retry);
	_jh_ready_free(gateway->ready);
	g_hash_table_destroy(gateway->callers);
	g_hash_table_destroy(gateway->operations);
	g_hash_table_destroy(gateway->forwards);
	g_hash_table_destroy(gateway->holders);
	g_hash_table_destroy(gateway->slow_starts);
	g_hash_table_destroy(gateway->cold_asks);
	g_clear_pointer(&gateway->vms, g_ptr_array_unref);
	g_hash_table_destroy(gateway->members);
	g_hash_table_destroy(gateway->groups);
	jh_dc_drains_free(gateway->drains);
	jh_topology_free(gateway->topology);
	jh_fleet_config_unref(gateway->config);
	g_free(gateway);
}

const jh_module_t jh_gateway_module = {
	.name = "gateway",
	.doc = "callers' sessions and pooled connections to members",
	.subscriptions = { JH_MSG_FLEET_CONFIG, JH_MSG_MEMBER, JH_MSG_PRIMARY, JH_MSG_DC_DRAIN,
			   JH_MSG_MIRROR_LEASE, JH_MSG_VMS, JH_MSG_PEER_DOWN, JH_MSG_TYPE_COUNT },
	.frames = { JH__FRAME__BODY_STATEMENT, JH__FRAME__BODY_STATEMENT_RESULT,
		    JH__FRAME__BODY_STATEMENT_RELEASE, JH__FRAME__BODY_HOLDER_CHECK,
		    JH__FRAME__BODY_POSITION_ASK, JH__FRAME__BODY_POSITION_REPLY, 0 },
	.init = gateway_init,
	.on_message = gateway_on_message,
	.drain = gateway_drain,
	.is_drained = gateway_is_drained,
	.fini = gateway_fini,
};
