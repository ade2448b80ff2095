#include "internal/gateway.h"

#include "jh_counter.h"
#include "jh_home_regions.h"
#include "jh_log.h"
#include "jh_mirror.h"

/*
 * Which members and VMs a statement may use: none in a data centre that operators have drained, and
 * none outside the regions that the configuration allows. dispatch.c, request.c and forward.c ask
 * before they choose and before they send.
 */

JH_COUNTER(drain_closed_total, "jasminehill_dc_drain_closed_total",
	   "connections closed since the data centre of their member is drained");
JH_COUNTER(drain_aborted_total, "jasminehill_dc_drain_aborted_total",
	   "transactions ended since the data centre of their member is drained");

static int64_t drain_bound_us(const _jh_gateway_t *gateway)
{
	return (int64_t)jh_kernel_settings(jh_task_kernel(gateway->task))->dc_drain_ms * 1000;
}

/* ---- members ---- */

jh_dc_phase_t _jh_gw_member_phase(const _jh_gateway_t *gateway, const _jh_gw_member_t *member)
{
	return jh_dc_drains_phase(gateway->drains, member->info->dc, drain_bound_us(gateway),
				  jh_boot_time_us());
}

/* Return: whether a member other than the primary could replace it in spite of the drains */
static bool has_successor(const _jh_gateway_t *gateway, const _jh_gw_group_t *group)
{
	unsigned i;

	for (i = 0; i < group->members->len; i++) {
		const _jh_gw_member_t *member = g_ptr_array_index(group->members, i);

		if (member->info->id != group->primary.member && !member->info->is_draining &&
		    _jh_gw_member_is_listed(member) &&
		    _jh_gw_member_phase(gateway, member) == JH_DC_OPEN)
			return true;
	}
	return false;
}

/*
 * A primary that another member is about to replace serves until the change begins: refusing its
 * statements earlier would only prolong the time without a primary.
 */
static bool is_open(const _jh_gateway_t *gateway, const _jh_gw_member_t *member)
{
	jh_dc_phase_t phase = _jh_gw_member_phase(gateway, member);

	return phase == JH_DC_OPEN ||
	       (phase == JH_DC_NO_NEW && _jh_gw_group_primary(gateway, member->group) == member &&
		has_successor(gateway, member->group));
}

static bool is_in_region(const _jh_gw_caller_t *caller, const _jh_gw_member_t *member)
{
	return jh_topology_allows(caller->gateway->topology, caller->route.regions,
				  member->info->dc);
}

bool _jh_gw_member_accepts(const _jh_gw_caller_t *caller, const _jh_gw_member_t *member)
{
	return is_in_region(caller, member) && is_open(caller->gateway, member);
}

/* ---- statements that no member may run ---- */

/* Return: whether the primary, or the one that is being replaced, is in a data centre in use */
static bool is_primary_dc_open(const _jh_gateway_t *gateway, const _jh_gw_group_t *group)
{
	const _jh_gw_member_t *primary =
		group->primary.epoch == 0 ?
			NULL :
			g_hash_table_lookup(gateway->members, group->primary.member);

	return primary && _jh_gw_member_phase(gateway, primary) == JH_DC_OPEN;
}

static bool is_any_drained(const _jh_gateway_t *gateway, const _jh_gw_group_t *group)
{
	unsigned i;

	for (i = 0; i < group->members->len; i++) {
		if (_jh_gw_member_phase(gateway, g_ptr_array_index(group->members, i)) !=
		    JH_DC_OPEN)
			return true;
	}
	return false;
}

static const char *find_primary_restriction(const _jh_gw_caller_t *caller,
					    const _jh_gw_group_t *group)
{
	const _jh_gw_member_t *primary = _jh_gw_group_primary(caller->gateway, group);

	if (primary && !is_in_region(caller, primary))
		return "the primary is in no region that is allowed";
	if (!is_any_drained(caller->gateway, group) || has_successor(caller->gateway, group) ||
	    is_primary_dc_open(caller->gateway, group))
		return NULL;
	return "the data centres of all members that could lead the group are drained";
}

static const char *find_read_restriction(const _jh_gw_caller_t *caller, const _jh_gw_group_t *group)
{
	bool is_any_in_region = false;
	unsigned i;

	for (i = 0; i < group->members->len; i++) {
		const _jh_gw_member_t *member = g_ptr_array_index(group->members, i);

		if (!is_in_region(caller, member))
			continue;
		is_any_in_region = true;
		if (is_open(caller->gateway, member))
			return NULL;
	}
	return is_any_in_region ? "the data centres of all members that could run it are drained" :
				  "no member is in a region that is allowed";
}

const char *_jh_gw_find_restriction(const _jh_gw_caller_t *caller)
{
	const _jh_gw_group_t *group = _jh_gateway_get_group(caller->gateway, caller->route.group);

	if (group->members->len == 0 ||
	    (!caller->route.regions && jh_dc_drains_count(caller->gateway->drains) == 0))
		return NULL;
	return _jh_gw_request_needs_primary(caller) ? find_primary_restriction(caller, group) :
						      find_read_restriction(caller, group);
}

/* ---- drains ---- */

void _jh_gw_apply_dc_drain(_jh_gateway_t *gateway, const jh_dc_drain_msg_t *msg)
{
	jh_dc_drains_apply(gateway->drains, msg->dc, msg->is_drained, msg->requested_after_us);
	_jh_gateway_schedule_dispatch(gateway);
}

bool _jh_gw_must_end_transaction(const _jh_gw_caller_t *caller)
{
	if (!caller->conn || caller->tx_state != 'T' ||
	    _jh_gw_member_phase(caller->gateway, caller->conn->member) < JH_DC_ENDING)
		return false;
	jh_counter_add(&drain_aborted_total, 1);
	return true;
}

/*
 * Connections without a statement are closed. Of those with one, only such whose bytes have not all
 * been written are: the others send nothing more, and end with their result.
 */
static bool must_close(const _jh_gw_conn_t *conn, jh_dc_phase_t phase)
{
	if (phase < JH_DC_ENDING)
		return false;
	if (phase == JH_DC_ENDING)
		return _jh_gw_conn_is_free(conn);
	return !conn->user || conn->step <= JH_CONN_STARTING || conn->out->len > 0;
}

static _jh_gw_conn_t *find_to_close(const _jh_gw_member_t *member, jh_dc_phase_t phase)
{
	unsigned i;

	for (i = 0; i < member->conns->len; i++) {
		_jh_gw_conn_t *conn = g_ptr_array_index(member->conns, i);

		if (must_close(conn, phase))
			return conn;
	}
	return NULL;
}

void _jh_gw_close_drained(_jh_gateway_t *gateway, _jh_gw_member_t *member)
{
	jh_dc_phase_t phase = _jh_gw_member_phase(gateway, member);
	unsigned closed = 0;
	_jh_gw_conn_t *conn;

	while ((conn = find_to_close(member, phase))) {
		_jh_gw_caller_t *user = conn->user;
		jh_code_t reason = conn->step <= JH_CONN_STARTING ? JH_CODE_BUSY : JH_CODE_UNKNOWN;

		_jh_gw_conn_close(conn);
		if (user)
			_jh_gw_request_on_conn_lost(user, member->info->id, reason);
		closed++;
	}
	if (closed == 0)
		return;
	jh_counter_add(&drain_closed_total, closed);
	jh_log(JH_LOG_NOTICE, "gateway", "drain_closed", "member=%s dc=%s closed=%u left=%u",
	       jh_log_value(member->info->id), jh_log_value(member->info->dc), closed,
	       member->conns->len);
}

/* ---- regions ---- */

const char *_jh_gw_operation_regions(const jh_fleet_config_t *config, const jh_fleet_route_t *route,
				     const char *team)
{
	const jh_team_t *info = team ? jh_config_find_team(config->teams, team) : NULL;

	return jh_home_regions_both(route->regions, info ? info->regions : NULL);
}

bool _jh_gw_vm_is_allowed(const _jh_gw_caller_t *caller, const char *vm)
{
	const _jh_gateway_t *gateway = caller->gateway;
	unsigned i;

	if (!caller->route.regions)
		return true;
	for (i = 0; gateway->vms && i < gateway->vms->len; i++) {
		const jh_vm_t *other = g_ptr_array_index(gateway->vms, i);

		if (g_str_equal(other->name, vm))
			return jh_topology_allows(gateway->topology, caller->route.regions,
						  other->dc);
	}
	return false;
}
