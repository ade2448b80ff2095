#include "internal/gateway.h"

#include "jh_log.h"
#include "jh_member_choice.h"
#include "jh_mirror.h"

/*
 * The place of a group's holders: which VMs hold connections to its members, where they are, and
 * how many connections each of them may open. jh_holder_map.h has the rules; this file computes the
 * map of a group when the VMs, the configuration or the members have changed, and ranks the data
 * centres for a statement.
 */

/* Added to the cost of a data centre other than the primary's for what only the primary can run. */
#define OTHER_PLACE_COST_US 1

/*
 * Added for reads to the cost of a data centre whose member lags. A distant member that does not is
 * better.
 */
#define UNFIT_COST_US 60000

/* A holder that cannot run a statement, or a lagging member, is passed over this long. */
#define AVOID_UNABLE_US (200 * INT64_C(1000))

/*
 * A member elsewhere is assumed to run this part of the statements that the member near this VM
 * runs for it: its own holders send them.
 */
#define OTHER_USE_DIVISOR 2u

static const char *own_vm(const _jh_gateway_t *gateway)
{
	return jh_kernel_settings(jh_task_kernel(gateway->task))->vm;
}

/* ---- map of a group ---- */

/* Return: new array of the names of the data centres that have a member of the group */
static GPtrArray *list_dcs(const _jh_gw_group_t *group)
{
	GPtrArray *dcs = g_ptr_array_new();
	unsigned i;

	for (i = 0; i < group->members->len; i++) {
		const _jh_gw_member_t *member = g_ptr_array_index(group->members, i);

		if (member->info->dc && !g_ptr_array_find(dcs, member->info->dc, NULL))
			g_ptr_array_add(dcs, (void *)member->info->dc);
	}
	return dcs;
}

static jh_holder_map_t *make_map(const _jh_gateway_t *gateway, const _jh_gw_group_t *group)
{
	const jh_fleet_group_t *config =
		gateway->config ? g_hash_table_lookup(gateway->config->groups, group->name) : NULL;
	GPtrArray *dcs;
	jh_holder_fleet_t fleet;
	jh_holder_map_t *map;

	if (!config || _jh_gateway_make_plan(gateway, group->name).is_direct)
		return NULL;
	dcs = list_dcs(group);
	fleet = (jh_holder_fleet_t){ .vms = gateway->vms,
				     .group = group->name,
				     .dcs = dcs,
				     .connections = config->connections };
	map = jh_holder_map_new(&fleet);
	g_ptr_array_free(dcs, TRUE);
	return map;
}

/* The map is computed when it is needed, so the line follows the change with the next statement. */
static void log_role(const _jh_gateway_t *gateway, _jh_gw_group_t *group)
{
	const jh_holder_map_t *map = group->holder_map;
	bool is_holder = map && jh_holder_map_holds(map, own_vm(gateway));

	if (is_holder == group->is_holder)
		return;
	group->is_holder = is_holder;
	jh_log(JH_LOG_INFO, "gateway", "holder_role", "group=%s holds=%d dc=%s connections=%u",
	       jh_log_value(group->name), is_holder, jh_log_value(gateway->dc),
	       map ? jh_holder_map_share(map, own_vm(gateway), gateway->dc) : 0);
}

const jh_holder_map_t *_jh_place_map(const _jh_gateway_t *gateway, _jh_gw_group_t *group)
{
	if (!group->has_holder_map) {
		group->holder_map = make_map(gateway, group);
		group->has_holder_map = true;
		log_role(gateway, group);
	}
	return group->holder_map;
}

void _jh_place_forget_map(_jh_gw_group_t *group)
{
	g_clear_pointer(&group->holder_map, jh_holder_map_free);
	group->has_holder_map = false;
}

void _jh_place_forget_maps(_jh_gateway_t *gateway)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, gateway->groups);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		_jh_place_forget_map(value);
}

/* ---- connections ---- */

unsigned _jh_place_share(const _jh_gateway_t *gateway, const _jh_gw_member_t *member)
{
	const jh_holder_map_t *map = _jh_place_map(gateway, member->group);

	return map ? jh_holder_map_share(map, own_vm(gateway), member->info->dc) :
		     _jh_gateway_make_plan(gateway, member->group->name).share;
}

unsigned _jh_place_senders(const _jh_gateway_t *gateway, _jh_gw_group_t *group, const char *dc)
{
	const jh_holder_map_t *map = _jh_place_map(gateway, group);

	return map ? jh_holder_map_senders(map, own_vm(gateway), dc) :
		     _jh_gateway_make_plan(gateway, group->name).holders;
}

/* ---- distances ---- */

jh_distance_t _jh_place_distance(const _jh_gateway_t *gateway, const char *dc)
{
	return jh_topology_distance(gateway->topology, gateway->dc, dc);
}

jh_distance_t _jh_place_vm_distance(const _jh_gateway_t *gateway, const char *name)
{
	const jh_vm_t *vm = jh_vm_find(gateway->vms, name);

	return vm ? _jh_place_distance(gateway, vm->dc) : JH_DISTANCE_FAR;
}

const char *_jh_place_holder_distance(const _jh_gw_caller_t *caller)
{
	static const char *const words[] = {
		[JH_DISTANCE_SAME_DC] = "same_dc",
		[JH_DISTANCE_SAME_REGION] = "same_region",
		[JH_DISTANCE_FAR] = "far",
	};

	return caller->last_holder ?
		       words[_jh_place_vm_distance(caller->gateway, caller->last_holder)] :
		       "-";
}

static int64_t distance_cost_us(const _jh_gateway_t *gateway, const char *dc_a, const char *dc_b)
{
	return jh_topology_cost_us(jh_topology_distance(gateway->topology, dc_a, dc_b));
}

/* ---- choice of a member ---- */

void _jh_place_assume_use(const _jh_gw_group_t *group, const char *own_dc,
			  jh_member_option_t *options, unsigned count)
{
	unsigned near_use = 0;
	unsigned i;

	if (!group->holder_map)
		return;
	for (i = 0; i < count; i++) {
		const _jh_gw_member_t *member = g_ptr_array_index(group->members, i);

		if (member->info->dc == own_dc)
			near_use = MAX(near_use, options[i].in_use);
	}
	for (i = 0; i < count; i++) {
		const _jh_gw_member_t *member = g_ptr_array_index(group->members, i);

		if (member->info->dc != own_dc)
			options[i].in_use += near_use / OTHER_USE_DIVISOR;
	}
}

static bool is_fit(const _jh_gateway_t *gateway, const _jh_gw_member_t *member,
		   const jh_position_t *needed, int64_t now_us)
{
	if (!_jh_gw_member_is_listed(member) || member->info->is_draining ||
	    now_us < member->no_connect_until_us)
		return false;
	if (_jh_gw_group_primary(gateway, member->group) == member)
		return _jh_gateway_has_lease(gateway);
	return !_jh_gw_member_is_behind(member, needed, now_us);
}

/*
 * A session's own commit does not count here: every replica lacks it for some milliseconds, which
 * tells nothing about the other reads of the data centre.
 *
 * Return: true if this VM holds connections to the members in its data centre, and none of these
 * can run reads that accept @max_age_us
 */
static bool is_own_dc_unfit(const _jh_gateway_t *gateway, _jh_gw_group_t *group, int64_t max_age_us)
{
	const jh_holder_map_t *map = _jh_place_map(gateway, group);
	int64_t now_us = jh_boot_time_us();
	jh_position_t needed;
	unsigned i;

	if (!map || !jh_holder_map_holds_dc(map, own_vm(gateway), gateway->dc) ||
	    !jh_freshness_find_position(group->freshness, now_us - max_age_us, &needed))
		return false;
	for (i = 0; i < group->members->len; i++) {
		const _jh_gw_member_t *member = g_ptr_array_index(group->members, i);

		if (member->info->dc == gateway->dc &&
		    _jh_gw_member_phase(gateway, member) == JH_DC_OPEN &&
		    is_fit(gateway, member, &needed, now_us))
			return false;
	}
	return true;
}

bool _jh_place_should_refer(const _jh_gw_caller_t *caller)
{
	_jh_gateway_t *gateway = caller->gateway;

	return caller->may_refer && !caller->tx_began && !_jh_gw_request_needs_primary(caller) &&
	       is_own_dc_unfit(gateway, _jh_gateway_get_group(gateway, caller->route.group),
			       caller->route.max_age_us);
}

bool _jh_place_should_hand_on(const _jh_gw_caller_t *caller)
{
	_jh_gateway_t *gateway = caller->gateway;
	_jh_gw_group_t *group = _jh_gateway_get_group(gateway, caller->route.group);
	const jh_holder_map_t *map = _jh_place_map(gateway, group);
	const _jh_gw_member_t *primary = _jh_gw_group_primary(gateway, group);

	return caller->may_refer && !caller->tx_began && map && primary &&
	       _jh_gw_request_needs_primary(caller) &&
	       !jh_holder_map_holds_dc(map, own_vm(gateway), primary->info->dc);
}

/* ---- holders and data centres that are passed over ---- */

static void set_until(GHashTable **table, const char *name, int64_t until_us)
{
	if (!*table)
		*table = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	g_hash_table_insert(*table, (void *)name, g_memdup2(&until_us, sizeof(until_us)));
}

static bool is_before_until(GHashTable *table, const char *name)
{
	const int64_t *until_us = table ? g_hash_table_lookup(table, name) : NULL;

	return until_us && jh_boot_time_us() < *until_us;
}

void _jh_place_mark_unable(_jh_gw_group_t *group, const char *vm)
{
	set_until(&group->unable, g_intern_string(vm), jh_boot_time_us() + AVOID_UNABLE_US);
}

void _jh_place_on_primary(_jh_gw_group_t *group)
{
	g_clear_pointer(&group->unable, g_hash_table_destroy);
}

bool _jh_place_is_unable(const _jh_gw_group_t *group, const char *vm)
{
	return is_before_until(group->unable, vm);
}

void _jh_place_mark_unfit(const _jh_gateway_t *gateway, _jh_gw_group_t *group, const char *name)
{
	const jh_vm_t *vm = jh_vm_find(gateway->vms, name);

	if (vm)
		set_until(&group->unfit_dcs, g_intern_string(vm->dc),
			  jh_boot_time_us() + AVOID_UNABLE_US);
}

/* ---- choice of a holder ---- */

/* The second holder runs the statement if any member can, so that referrals end. */
bool _jh_place_may_refer(const _jh_gw_caller_t *caller)
{
	_jh_gateway_t *gateway = caller->gateway;

	return caller->holder_tries == 0 &&
	       _jh_place_map(gateway, _jh_gateway_get_group(gateway, caller->route.group));
}

bool _jh_place_can_read(const _jh_gw_caller_t *caller)
{
	_jh_gateway_t *gateway = caller->gateway;

	return !_jh_gw_request_needs_primary(caller) &&
	       _jh_place_map(gateway, _jh_gateway_get_group(gateway, caller->route.group)) &&
	       _jh_dispatch_read_need(caller).is_known;
}

/* Cost of the member for a read that is sent to its data centre; negative if it cannot be used. */
static int64_t member_cost_us(const _jh_gateway_t *gateway, const _jh_gw_member_t *member)
{
	bool is_primary = _jh_gw_group_primary(gateway, member->group) == member;

	if (!_jh_gw_member_is_listed(member) || member->info->is_draining)
		return -1;
	return distance_cost_us(gateway, gateway->dc, member->info->dc) +
	       (is_primary ? JH_MEMBER_PRIMARY_COST_US : 0);
}

static int64_t read_cost_us(const char *dc, void *data)
{
	const _jh_gw_caller_t *caller = data;
	_jh_gateway_t *gateway = caller->gateway;
	_jh_gw_group_t *group = _jh_gateway_get_group(gateway, caller->route.group);
	bool is_unfit =
		is_before_until(group->unfit_dcs, dc) ||
		(dc == gateway->dc && is_own_dc_unfit(gateway, group, caller->route.max_age_us));
	int64_t best_us = -1;
	unsigned i;

	for (i = 0; i < group->members->len; i++) {
		const _jh_gw_member_t *member = g_ptr_array_index(group->members, i);
		int64_t cost_us;

		if (member->info->dc != dc || !_jh_gw_member_accepts(caller, member))
			continue;
		cost_us = member_cost_us(gateway, member);
		if (cost_us >= 0 && (best_us < 0 || cost_us < best_us))
			best_us = cost_us;
	}
	return best_us >= 0 && is_unfit ? best_us + UNFIT_COST_US : best_us;
}

/* The last known primary's data centre comes first, also while the primary is being replaced. */
static int64_t primary_cost_us(const char *dc, void *data)
{
	const _jh_gw_caller_t *caller = data;
	_jh_gateway_t *gateway = caller->gateway;
	const _jh_gw_group_t *group = _jh_gateway_get_group(gateway, caller->route.group);
	const _jh_gw_member_t *primary =
		group->primary.member ?
			g_hash_table_lookup(gateway->members, group->primary.member) :
			NULL;

	if (!primary)
		return distance_cost_us(gateway, gateway->dc, dc);
	if (primary->info->dc == dc)
		return 0;
	return OTHER_PLACE_COST_US + distance_cost_us(gateway, gateway->dc, dc) +
	       distance_cost_us(gateway, dc, primary->info->dc);
}

const char *_jh_place_choose_holder(_jh_gw_caller_t *caller, const jh_holder_map_t *map,
				    jh_holder_can_use_t can_use)
{
	bool needs_primary = _jh_gw_request_needs_primary(caller) || !_jh_position_can_use(caller);
	const jh_holder_query_t query = {
		.team = caller->team ? caller->team : "",
		.own_vm = own_vm(caller->gateway),
		.stays_near_member = needs_primary,
		.dc_cost_us = needs_primary ? primary_cost_us : read_cost_us,
		.can_use = can_use,
		.data = caller,
	};

	return jh_holder_map_choose(map, &query);
}
