#include "internal/gateway.h"

#include "jh_counter.h"
#include "jh_log.h"
#include "jh_mirror.h"
#include "jh_service.h"

/*
 * Slow start: a line is sent to a cold member only with a token of the quota task, which keeps the
 * limit over all VMs. A caller that waits for one holds its connection. A member without tokens
 * gets no statements for a while; callers that cannot run elsewhere wait in the group's queue, and
 * are refused at once if those before them will take all tokens of their time.
 */

/* Longest wait for a token of a statement that may run elsewhere: a part of its target latency. */
#define TOKEN_WAIT_DIVISOR 12

/* Bounds of the time for which a member without tokens is not chosen, microseconds. */
#define NO_TOKENS_MIN_US (20 * INT64_C(1000))
#define NO_TOKENS_MAX_US (200 * INT64_C(1000))

/* Tokens of this part of its target latency are those that a statement can expect to wait for. */
#define TARGET_WAIT_DIVISOR 4

JH_COUNTER(granted_total, "jasminehill_cold_granted_total",
	   "lines that were sent to members that had just started");
JH_COUNTER(refused_total, "jasminehill_cold_refused_total",
	   "lines that were not sent to members that had just started, for lack of quota");

static double cold_rate(const _jh_gateway_t *gateway, const char *name)
{
	const jh_fleet_group_t *group =
		gateway->config ? g_hash_table_lookup(gateway->config->groups, name) : NULL;

	return group ? group->cold_rate : 0;
}

static jh_slow_start_t *get_state(const _jh_gateway_t *gateway, const char *id)
{
	jh_slow_start_t *state = g_hash_table_lookup(gateway->slow_starts, id);

	if (state)
		return state;
	state = g_new0(jh_slow_start_t, 1);
	g_hash_table_insert(gateway->slow_starts, (void *)id, state);
	return state;
}

/* ---- members ---- */

void _jh_gw_slow_start_on_member(_jh_gateway_t *gateway, const jh_member_t *info)
{
	jh_slow_start_t *state = get_state(gateway, info->id);
	int64_t now_us = jh_boot_time_us();
	bool was_cold = jh_slow_start_is_cold(state, now_us);

	jh_slow_start_update(state, info, now_us);
	if (jh_slow_start_is_cold(state, now_us) == was_cold ||
	    cold_rate(gateway, info->group) <= 0)
		return;
	jh_log(JH_LOG_NOTICE, "gateway", was_cold ? "member_warm" : "member_cold",
	       "member=%s group=%s cold_ms=%" G_GINT64_FORMAT, jh_log_value(info->id),
	       jh_log_value(info->group), info->cold_ms);
}

void _jh_gw_slow_start_on_conn_lost(_jh_gateway_t *gateway, const _jh_gw_member_t *member)
{
	if (member->conns->len == 0 && cold_rate(gateway, member->info->group) > 0)
		jh_slow_start_suspect(get_state(gateway, member->info->id), jh_boot_time_us());
}

bool _jh_gw_member_is_cold(const _jh_gateway_t *gateway, const _jh_gw_member_t *member)
{
	return cold_rate(gateway, member->info->group) > 0 &&
	       jh_slow_start_is_cold(get_state(gateway, member->info->id), jh_boot_time_us());
}

unsigned _jh_gw_member_slots(const _jh_gateway_t *gateway, const _jh_gw_member_t *member)
{
	if (cold_rate(gateway, member->info->group) <= 0)
		return member->info->slots;
	return jh_slow_start_slots(get_state(gateway, member->info->id), member->info->slots,
				   jh_boot_time_us());
}

/* ---- choice ---- */

/* Return: whether @other, which is in the queue, has a better claim to the next token */
static bool is_before(const _jh_gw_caller_t *other, const _jh_gw_caller_t *caller)
{
	if (_jh_gw_request_needs_primary(other) != _jh_gw_request_needs_primary(caller))
		return false;
	return other->route.priority < caller->route.priority ||
	       (other->route.priority == caller->route.priority &&
		other->arrived_us < caller->arrived_us);
}

/* Counts the waiting callers with a better claim to the next token than @caller. */
typedef struct claim {
	const _jh_gw_caller_t *caller;
	unsigned before;
} claim_t;

static void count_if_before(uint64_t id, void *data)
{
	claim_t *claim = data;
	const _jh_gw_caller_t *other = g_hash_table_lookup(claim->caller->gateway->callers, &id);

	claim->before += other && is_before(other, claim->caller);
}

static unsigned count_before(const _jh_gw_caller_t *caller, const _jh_gw_group_t *group)
{
	claim_t claim = { .caller = caller };

	jh_admission_foreach(group->admission, count_if_before, &claim);
	return claim.before;
}

bool _jh_gw_member_lacks_tokens(const _jh_gw_caller_t *caller, const _jh_gw_member_t *member)
{
	if (!_jh_gw_member_is_cold(caller->gateway, member))
		return false;
	return jh_boot_time_us() < member->no_tokens_until_us ||
	       count_before(caller, member->group) > 0;
}

bool _jh_gw_slow_start_is_full(const _jh_gw_caller_t *caller, const _jh_gw_group_t *group)
{
	const _jh_gateway_t *gateway = caller->gateway;
	double tokens = 0;
	unsigned i;

	for (i = 0; i < group->members->len; i++) {
		const _jh_gw_member_t *member = g_ptr_array_index(group->members, i);

		if (!_jh_gw_member_accepts(caller, member) ||
		    (_jh_gw_request_needs_primary(caller) &&
		     _jh_gw_group_primary(gateway, group) != member))
			continue;
		if (!_jh_gw_member_is_cold(gateway, member))
			return false;
		tokens += cold_rate(gateway, group->name) *
			  (double)caller->route.target_latency_us / TARGET_WAIT_DIVISOR /
			  G_USEC_PER_SEC;
	}
	return tokens > 0 && count_before(caller, group) >=
				     tokens / _jh_gateway_make_plan(gateway, group->name).holders;
}

/* ---- tokens ---- */

bool _jh_gw_slow_start_must_wait(_jh_gw_caller_t *caller)
{
	_jh_gateway_t *gateway = caller->gateway;
	const _jh_gw_member_t *member = caller->conn->member;
	int64_t wait_us = caller->route.target_latency_us / TOKEN_WAIT_DIVISOR;

	if (caller->has_cold_token) {
		caller->has_cold_token = false;
		return false;
	}
	if (!_jh_gw_member_is_cold(gateway, member))
		return false;
	/* A transaction that has begun can run nowhere else. */
	if (caller->tx_began)
		wait_us = caller->arrived_us + caller->route.timeout_us - jh_boot_time_us();
	caller->request = JH_REQUEST_COLD;
	caller->cold_tag = gateway->next_tag++;
	g_hash_table_insert(gateway->cold_asks,
			    g_memdup2(&caller->cold_tag, sizeof(caller->cold_tag)), caller);
	jh_quota_ask(gateway->task, jh_slow_start_key(member->info->group, member->info->dc), 1,
		     MAX(wait_us, 0), caller->cold_tag);
	return true;
}

bool _jh_gw_slow_start_on_quota(_jh_gateway_t *gateway, const jh_quota_msg_t *reply)
{
	_jh_gw_caller_t *caller = g_hash_table_lookup(gateway->cold_asks, &reply->tag);
	_jh_gw_member_t *member;

	if (!caller)
		return false;
	g_hash_table_remove(gateway->cold_asks, &reply->tag);
	if (caller->request != JH_REQUEST_COLD || caller->cold_tag != reply->tag || !caller->conn)
		return true;
	jh_counter_add(reply->granted ? &granted_total : &refused_total, 1);
	member = caller->conn->member;
	caller->has_cold_token = reply->granted;
	if (!reply->granted)
		member->no_tokens_until_us =
			jh_boot_time_us() + CLAMP((int64_t)reply->retry_after_ms * 1000,
						  NO_TOKENS_MIN_US, NO_TOKENS_MAX_US);
	_jh_gw_request_on_cold_token(caller, reply->granted);
	/* A token that was not spent at once is lost: another member may have another limit. */
	caller->has_cold_token = false;
	return true;
}

static gboolean is_of_caller(void *tag, void *caller, void *data)
{
	(void)tag;
	return caller == data;
}

void _jh_gw_slow_start_forget(_jh_gw_caller_t *caller)
{
	if (caller->cold_tag != 0)
		g_hash_table_foreach_remove(caller->gateway->cold_asks, is_of_caller, caller);
}
