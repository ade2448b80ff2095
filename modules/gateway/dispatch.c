#include "internal/gateway.h"

#include "jh_member_choice.h"
#include "jh_mirror.h"
#include "jh_primary_change.h"

#include <math.h>

/*
 * Chooses the connection that runs a statement. The VMs that hold connections to a group have equal
 * shares of the connections that a member accepts; see jh_holders.h. A connection belongs to one
 * team; when the share is used up, an idle connection of another team is closed to open a new one.
 * A statement that gets no connection waits in its group's queue; see queue.c.
 */

/* Only the first members of a group, up to this number, are candidates. */
#define CANDIDATES_MAX 16u

/*
 * Delay before a statement is sent again to a member that refused it, microseconds. A lagging
 * replica applies a missing position within some tens of milliseconds.
 */
#define MEMBER_RETRY_US (25 * INT64_C(1000))

/*
 * A replica's reported position says that it lags for this long, microseconds; then one read is
 * sent there to see. A replica that was passed over would otherwise never report a newer one.
 */
#define POSITION_RECENT_US (100 * INT64_C(1000))

/*
 * A member that leaves gets no new work this long before the setting --member-drain has passed: a
 * statement may take as long to reach it; microseconds.
 */
#define MEMBER_DRAIN_MARGIN_US (500 * INT64_C(1000))

bool _jh_gateway_has_lease(const _jh_gateway_t *gateway)
{
	return gateway->is_complete && jh_boot_time_us() < gateway->lease_until_us;
}

bool _jh_gw_member_is_listed(const _jh_gw_member_t *member)
{
	return member->unlisted_us == 0 ||
	       jh_boot_time_us() - member->unlisted_us < JH_REGISTRATION_GRACE_US;
}

bool _jh_gw_member_has_left(const _jh_gateway_t *gateway, const _jh_gw_member_t *member)
{
	int64_t drain_us =
		(int64_t)jh_kernel_settings(jh_task_kernel(gateway->task))->member_drain_ms * 1000;

	return member->info->is_draining && (member->info->draining_since_us == INT64_MIN ||
					     jh_boot_time_us() - member->info->draining_since_us >=
						     drain_us - MEMBER_DRAIN_MARGIN_US);
}

_jh_gw_member_t *_jh_gw_group_primary(const _jh_gateway_t *gateway, const _jh_gw_group_t *group)
{
	_jh_gw_member_t *member;

	if (group->primary.epoch == 0 || group->primary.is_changing)
		return NULL;
	member = g_hash_table_lookup(gateway->members, group->primary.member);
	return member && _jh_gw_member_is_listed(member) ? member : NULL;
}

/* ---- freshness ---- */

_jh_read_need_t _jh_dispatch_read_need(const _jh_gw_caller_t *caller)
{
	const jh_fleet_route_t *route = &caller->route;
	_jh_gw_group_t *group = _jh_gateway_get_group(caller->gateway, route->group);
	jh_position_t commit = jh_session_get_position(&caller->commits, group->name);
	bool must_see_commit = route->freshness == JH_FRESH_READ_YOUR_WRITES && commit.term > 0;
	_jh_read_need_t need = { 0 };

	if (_jh_gw_request_needs_primary(caller))
		return need;
	need.is_known = jh_freshness_find_position(
		group->freshness, jh_boot_time_us() - route->max_age_us, &need.position);
	need.has_position = need.is_known || must_see_commit;
	if (must_see_commit && (!need.is_known || jh_position_compare(need.position, commit) < 0))
		need.position = commit;
	return need;
}

/* ---- connections ---- */

static unsigned count_in_use(const _jh_gw_member_t *member)
{
	unsigned count = 0;
	unsigned i;

	for (i = 0; i < member->conns->len; i++)
		count += !_jh_gw_conn_is_free(g_ptr_array_index(member->conns, i));
	return count;
}

/* Counts the session values that differ, since each of them costs a statement to set or reset. */
static unsigned count_settings_missing(const _jh_gw_conn_t *conn, const _jh_gw_caller_t *caller)
{
	unsigned wanted = caller->values ? g_hash_table_size(caller->values) : 0;
	unsigned present = g_hash_table_size(conn->values);
	unsigned shared = 0;
	GHashTableIter iter;
	void *name;
	void *value;

	if (present > 0 && caller->values) {
		g_hash_table_iter_init(&iter, caller->values);
		while (g_hash_table_iter_next(&iter, &name, &value))
			shared += _jh_gw_has_value(conn->values, name, value);
	}
	return wanted - shared + present - shared;
}

static _jh_gw_conn_t *find_free(const _jh_gw_member_t *member, const _jh_gw_caller_t *caller,
				const char *team)
{
	_jh_gw_conn_t *best = NULL;
	unsigned best_missing = 0;
	unsigned i;

	for (i = 0; i < member->conns->len; i++) {
		_jh_gw_conn_t *conn = g_ptr_array_index(member->conns, i);
		unsigned missing;

		if (!_jh_gw_conn_is_free(conn) || conn->team != team)
			continue;
		missing = count_settings_missing(conn, caller);
		if (!_jh_gw_request_can_use(caller, conn, missing > 0))
			continue;
		if (!best || missing < best_missing) {
			best = conn;
			best_missing = missing;
		}
	}
	return best;
}

/* Return: the free connection that was unused for the longest time, NULL if none is free */
static _jh_gw_conn_t *find_oldest_free(const _jh_gw_member_t *member)
{
	_jh_gw_conn_t *oldest = NULL;
	unsigned i;

	for (i = 0; i < member->conns->len; i++) {
		_jh_gw_conn_t *conn = g_ptr_array_index(member->conns, i);

		if (_jh_gw_conn_is_free(conn) && (!oldest || conn->idle_us < oldest->idle_us))
			oldest = conn;
	}
	return oldest;
}

static bool can_open(const _jh_gateway_t *gateway, const _jh_gw_member_t *member, int64_t now_us)
{
	if (now_us < member->no_connect_until_us)
		return false;
	return member->conns->len < _jh_place_share(gateway, member) ||
	       find_oldest_free(member) != NULL;
}

/* Connections opened per second: an average with exponential decay, half-life one second. */
static double opened_per_s(const _jh_gw_member_t *member, int64_t now_us)
{
	return member->opens * exp2(-(double)(now_us - member->opens_us) / G_USEC_PER_SEC) * G_LN2;
}

static _jh_gw_conn_t *open_conn(_jh_gateway_t *gateway, _jh_gw_member_t *member, const char *team)
{
	_jh_gw_conn_t *oldest = find_oldest_free(member);
	const jh_connection_use_t use = {
		.open = member->conns->len,
		.allowed = _jh_place_share(gateway, member),
		.has_idle = oldest != NULL,
		.opened_per_s = opened_per_s(member, jh_boot_time_us()),
		.vms = _jh_place_senders(gateway, member->group, member->info->dc),
		.slots = member->info->slots,
	};

	switch (jh_connection_plan(&use)) {
	case JH_CONNECTION_REPLACE:
		_jh_gw_conn_close(oldest);
		break;
	case JH_CONNECTION_OPEN:
		break;
	case JH_CONNECTION_NONE:
		return NULL;
	}
	member->opens = opened_per_s(member, jh_boot_time_us()) / G_LN2 + 1;
	member->opens_us = jh_boot_time_us();
	return _jh_gw_conn_open(member, gateway, team);
}

/* ---- choice of a member ---- */

/* Statements without a team come from public routes and share the team "-". */
const char *_jh_dispatch_conn_team(const _jh_gw_caller_t *caller)
{
	return caller->team ? caller->team : g_intern_static_string("-");
}

static bool was_tried(const _jh_gw_caller_t *caller, const _jh_gw_member_t *member)
{
	unsigned i;

	for (i = 0; i < MIN(caller->tries, JH_REQUEST_MAX_TRIES); i++) {
		if (caller->tried[i] == member->info->id)
			return true;
	}
	return false;
}

static bool was_refused_recently(const _jh_gw_caller_t *caller, const _jh_gw_member_t *member,
				 int64_t now_us)
{
	return was_tried(caller, member) && now_us - caller->tried_us < MEMBER_RETRY_US;
}

bool _jh_gw_member_is_behind(const _jh_gw_member_t *member, const jh_position_t *needed,
			     int64_t now_us)
{
	return member->position.term > 0 && now_us - member->position_us < POSITION_RECENT_US &&
	       jh_position_compare(member->position, *needed) < 0;
}

static jh_member_option_t make_option(const _jh_gw_caller_t *caller, const _jh_gw_member_t *member,
				      const jh_position_t *needed, int64_t now_us)
{
	const _jh_gateway_t *gateway = caller->gateway;
	bool is_primary = _jh_gw_group_primary(gateway, member->group) == member;
	bool is_excluded = was_refused_recently(caller, member, now_us) ||
			   !_jh_gw_member_accepts(caller, member) ||
			   _jh_gw_member_lacks_tokens(caller, member);

	return (jh_member_option_t){
		.is_usable = is_excluded ? false :
			     is_primary	 ? _jh_gateway_has_lease(gateway) &&
						  !_jh_gw_member_has_left(gateway, member) :
					  needed && !member->info->is_draining &&
						  _jh_gw_member_is_listed(member),
		.distance = _jh_place_distance(gateway, member->info->dc),
		.is_primary = is_primary,
		.has_connection = find_free(member, caller, _jh_dispatch_conn_team(caller)) != NULL,
		.can_open = can_open(gateway, member, now_us),
		.is_behind = !is_primary && needed &&
			     (now_us < member->lagging_until_us ||
			      _jh_gw_member_is_behind(member, needed, now_us)),
		.is_overloaded = now_us < member->overloaded_until_us,
		.was_tried = was_tried(caller, member),
		.in_use = count_in_use(member),
		.slots = _jh_gw_member_slots(gateway, member),
	};
}

static _jh_gw_conn_t *find_at_primary(_jh_gw_caller_t *caller)
{
	_jh_gateway_t *gateway = caller->gateway;
	_jh_gw_group_t *group = _jh_gateway_get_group(gateway, caller->route.group);
	_jh_gw_member_t *primary = _jh_gw_group_primary(gateway, group);
	int64_t now_us = jh_boot_time_us();
	_jh_gw_conn_t *conn;

	if (!primary || !_jh_gateway_has_lease(gateway) || now_us < primary->no_connect_until_us ||
	    _jh_gw_member_has_left(gateway, primary) || !_jh_gw_member_accepts(caller, primary) ||
	    _jh_gw_member_lacks_tokens(caller, primary) ||
	    was_refused_recently(caller, primary, now_us))
		return NULL;
	conn = find_free(primary, caller, _jh_dispatch_conn_team(caller));
	if (!conn && can_open(gateway, primary, now_us))
		conn = open_conn(gateway, primary, _jh_dispatch_conn_team(caller));
	return conn;
}

static _jh_gw_conn_t *find_at_any_member(_jh_gw_caller_t *caller)
{
	_jh_gateway_t *gateway = caller->gateway;
	_jh_gw_group_t *group = _jh_gateway_get_group(gateway, caller->route.group);
	jh_member_option_t options[CANDIDATES_MAX];
	unsigned count = MIN(group->members->len, CANDIDATES_MAX);
	int64_t now_us = jh_boot_time_us();
	_jh_read_need_t need = _jh_dispatch_read_need(caller);
	_jh_gw_member_t *member;
	_jh_gw_conn_t *conn;
	unsigned i;
	int best;

	if (!need.is_known && _jh_position_is_awaited(caller))
		return NULL;
	for (i = 0; i < count; i++)
		options[i] = make_option(caller, g_ptr_array_index(group->members, i),
					 need.is_known ? &need.position : NULL, now_us);
	_jh_place_assume_use(group, gateway->dc, options, count);
	best = jh_member_choose(options, count, _jh_place_senders(gateway, group, gateway->dc));
	if (best < 0)
		return NULL;
	member = g_ptr_array_index(group->members, best);
	conn = find_free(member, caller, _jh_dispatch_conn_team(caller));
	return conn ? conn : open_conn(gateway, member, _jh_dispatch_conn_team(caller));
}

_jh_gw_conn_t *_jh_dispatch_find_conn(_jh_gw_caller_t *caller)
{
	return _jh_gw_request_needs_primary(caller) ? find_at_primary(caller) :
						      find_at_any_member(caller);
}
