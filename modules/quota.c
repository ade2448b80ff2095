/*
 * Quota module: limits each team's rate over all VMs. It replies to requests for quota from the
 * entry task, and runs the quota servers of the teams that placement assigns to this VM. The
 * decisions are made in decisions/quota_client.c and decisions/quota_server.c;
 * docs/internals/quota.md explains why they keep the rate.
 */

#include "internal/_jh_quota.h"
#include "jh_builtins.h"
#include "jh_counter.h"
#include "jh_frame.h"
#include "jh_log.h"
#include "jh_mirror.h"
#include "jh_placement.h"
#include "jh_profile.h"
#include "jh_quota.h"
#include "jh_service.h"

#include <stdio.h>

/* Retry hint if the team is not configured or this VM may not use its share. */
#define NO_QUOTA_RETRY_MS 1000

JH_COUNTER(granted_total, "jasminehill_quota_granted_total", "requests that got quota");
JH_COUNTER(refused_total, "jasminehill_quota_refused_total", "requests refused for lack of quota");
/* The refusals by reason. */
static jh_counter_t refused_by_reason[JH_QUOTA_REFUSALS] = {
	[JH_QUOTA_AT_RATE] = { .name = "jasminehill_quota_refused_at_rate_total",
			       .doc = "requests refused because the team is at its rate" },
	[JH_QUOTA_NO_SHARES] = { .name = "jasminehill_quota_refused_no_shares_total",
				 .doc = "requests refused while owners of the rate do not use it" },
	[JH_QUOTA_NO_SERVER] = { .name = "jasminehill_quota_refused_no_server_total",
				 .doc = "requests refused while no quota server replies" },
	[JH_QUOTA_ISOLATED] = { .name = "jasminehill_quota_refused_isolated_total",
				.doc = "requests refused because this VM may not use its share" },
	[JH_QUOTA_NO_TEAM] = { .name = "jasminehill_quota_refused_no_team_total",
			       .doc = "requests refused because the team is not configured" },
};

JH_COUNTER(given_back_total, "jasminehill_quota_given_back_total",
	   "requests that gave their quota back, as they did not run");
JH_COUNTER(given_back_late_total, "jasminehill_quota_given_back_late_total",
	   "requests that did not run and whose quota had expired");
JH_COUNTER(asks_total, "jasminehill_quota_asks_total", "questions sent to quota servers");
JH_COUNTER(served_total, "jasminehill_quota_served_total", "questions answered as quota server");

typedef struct team {
	/* Interned. */
	const char *name;
	jh_quota_limit_t limit;
	jh_quota_client_t *client;
	/* This VM's quota server of the team; NULL unless a VM has sent it an ask recently. */
	jh_quota_server_t *server;
	/* VM that runs the team's quota server; interned; NULL while no VM is live. */
	const char *server_vm;
	int64_t next_tick_us;
} team_t;

/* A request for quota that has no reply yet. */
typedef struct pending_request {
	const team_t *team;
	jh_handle_t from;
	uint64_t tag;
} pending_request_t;

typedef struct quota {
	jh_task_t *task;
	jh_quota_policy_t policy;
	/* Start of this instance; earlier ones on this VM lent nothing later. */
	int64_t started_us;
	GHashTable *teams;
	/* pending_request_t by uint64_t id. */
	GHashTable *pending_requests;
	uint64_t next_pending_id;
	uint64_t next_epoch;
	uint32_t share_parts;
	_jh_quota_row_t *row;
	GPtrArray *vms;
	/* Earliest next_tick_us of all teams. */
	int64_t earliest_tick_us;
	/* Time for which the timer is set; INT64_MAX if it is not set. */
	int64_t timer_fires_us;
	/* Boot time (CLOCK_BOOTTIME) until which this VM may use its share, see JH_ISOLATED_US. */
	int64_t share_valid_until_us;
	ev_timer timer;
} quota_t;

static int64_t now_us(const quota_t *quota)
{
	return jh_kernel_now_us(jh_task_kernel(quota->task));
}

static void count_refusal(jh_quota_refusal_t reason)
{
	jh_counter_add(&refused_total, 1);
	jh_counter_add(&refused_by_reason[reason], 1);
}

/* Actions of clients */

static void send_reply(quota_t *quota, const jh_quota_action_t *action)
{
	const pending_request_t *pending =
		g_hash_table_lookup(quota->pending_requests, &action->tag);

	if (action->granted)
		jh_counter_add(&granted_total, 1);
	else
		count_refusal(action->refusal);
	if (!pending)
		return;
	jh_quota_reply(
		quota->task, pending->from,
		&(jh_quota_msg_t){ .team = pending->team->name,
				   .tag = pending->tag,
				   .granted = action->granted,
				   .grant = action->granted ? action->tag : 0,
				   .refusal = action->refusal,
				   .retry_after_ms = (uint32_t)((action->retry_us + 999) / 1000) });
	g_hash_table_remove(quota->pending_requests, &action->tag);
}

static void refuse_without_quota(const quota_t *quota, jh_handle_t to, uint64_t tag,
				 jh_quota_refusal_t reason)
{
	count_refusal(reason);
	jh_quota_reply(quota->task, to,
		       &(jh_quota_msg_t){ .tag = tag,
					  .refusal = reason,
					  .retry_after_ms = NO_QUOTA_RETRY_MS });
}

static void send_ask(quota_t *quota, const team_t *team, const jh_quota_ask_t *ask)
{
	Jh__Frame *frame = jh_frame_new(JH__FRAME__BODY_QUOTA_ASK);

	frame->quota_ask->team = jh_frame_strdup(team->name);
	frame->quota_ask->boot = ask->boot;
	frame->quota_ask->epoch = ask->epoch;
	frame->quota_ask->sequence = ask->sequence;
	frame->quota_ask->stamp_us = ask->stamp_us;
	frame->quota_ask->lent_parts = ask->lent_parts;
	frame->quota_ask->want = ask->want;
	frame->quota_ask->returned = ask->returned;
	frame->quota_ask->returned_lifetime_us = ask->returned_lifetime_us;
	frame->quota_ask->share_parts = ask->share_parts;
	jh_counter_add(&asks_total, 1);
	jh_frame_send(quota->task, team->server_vm, frame);
}

static void run_actions(quota_t *quota, team_t *team, GArray *actions)
{
	unsigned i;

	for (i = 0; i < actions->len; i++) {
		const jh_quota_action_t *action = &g_array_index(actions, jh_quota_action_t, i);

		if (action->kind == JH_QUOTA_REPLY)
			send_reply(quota, action);
		else if (team->server_vm)
			send_ask(quota, team, &action->ask);
	}
	g_array_free(actions, TRUE);
}

static GArray *make_actions(void)
{
	return g_array_new(FALSE, TRUE, sizeof(jh_quota_action_t));
}

/* Timer */

/*
 * Only ever moves the timer to an earlier time, so it may fire when no team is due. That costs less
 * than a scan of all teams after each message.
 */
static void arm_timer(quota_t *quota)
{
	struct ev_loop *loop = jh_task_loop(quota->task);

	if (quota->earliest_tick_us >= quota->timer_fires_us)
		return;
	quota->timer_fires_us = quota->earliest_tick_us;
	ev_timer_stop(loop, &quota->timer);
	ev_now_update(loop);
	ev_timer_set(&quota->timer,
		     (double)MAX(quota->earliest_tick_us - now_us(quota), 0) / G_USEC_PER_SEC, 0);
	ev_timer_start(loop, &quota->timer);
}

static void tick_team(quota_t *quota, team_t *team)
{
	GArray *actions = make_actions();

	team->next_tick_us = jh_quota_client_tick(team->client, now_us(quota), actions);
	quota->earliest_tick_us = MIN(quota->earliest_tick_us, team->next_tick_us);
	run_actions(quota, team, actions);
}

static void on_timer(struct ev_loop *loop, ev_timer *watcher, int events)
{
	quota_t *quota = watcher->data;
	int64_t now = now_us(quota);
	GHashTableIter iter;
	gpointer value;

	(void)loop;
	(void)events;
	quota->earliest_tick_us = INT64_MAX;
	quota->timer_fires_us = INT64_MAX;
	g_hash_table_iter_init(&iter, quota->teams);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		team_t *team = value;

		if (team->server && jh_quota_server_is_idle(team->server, now))
			g_clear_pointer(&team->server, jh_quota_server_free);
		if (team->next_tick_us <= now)
			tick_team(quota, team);
		quota->earliest_tick_us = MIN(quota->earliest_tick_us, team->next_tick_us);
	}
	arm_timer(quota);
}

/* Teams */

static void free_team(gpointer data)
{
	team_t *team = data;

	jh_quota_client_free(team->client);
	jh_quota_server_free(team->server);
	g_free(team);
}

static void choose_team_server(const quota_t *quota, team_t *team)
{
	char *key = g_strconcat("team:", team->name, NULL);
	const jh_vm_t *vm = jh_placement_choose(quota->vms, key, NULL);

	team->server_vm = vm ? g_intern_string(vm->name) : NULL;
	jh_quota_client_set_server_known(team->client, vm != NULL);
	jh_quota_client_set_vms(team->client, quota->vms ? quota->vms->len : 1);
	g_free(key);
}

static team_t *make_team(const quota_t *quota, const char *name)
{
	uint64_t boot = jh_kernel_boot(jh_task_kernel(quota->task));
	team_t *team = g_new0(team_t, 1);

	team->name = g_intern_string(name);
	team->client = jh_quota_client_new(&quota->policy, boot, quota->started_us);
	jh_quota_client_set_share(team->client, quota->share_parts, now_us(quota));
	choose_team_server(quota, team);
	return team;
}

static void set_team_limit(const quota_t *quota, team_t *team, const jh_team_t *row)
{
	jh_quota_limit_t limit = jh_quota_limit_for(row->rate, row->burst);

	if (limit.rate == team->limit.rate && limit.burst == team->limit.burst)
		return;
	team->limit = limit;
	jh_quota_client_set_limit(team->client, &limit, now_us(quota));
	if (team->server)
		jh_quota_server_set_limit(team->server, &limit, now_us(quota));
}

/* Refuses the waiting requests of a team that is no longer configured. */
static void refuse_waiting_requests(quota_t *quota, const team_t *team)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, quota->pending_requests);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const pending_request_t *pending = value;

		if (pending->team != team)
			continue;
		refuse_without_quota(quota, pending->from, pending->tag, JH_QUOTA_NO_TEAM);
		g_hash_table_iter_remove(&iter);
	}
}

static void remove_unconfigured_teams(quota_t *quota, const jh_config_t *config)
{
	GHashTableIter iter;
	gpointer name;
	gpointer value;

	g_hash_table_iter_init(&iter, quota->teams);
	while (g_hash_table_iter_next(&iter, &name, &value)) {
		if (jh_config_find_team(config, name))
			continue;
		refuse_waiting_requests(quota, value);
		g_hash_table_iter_remove(&iter);
	}
}

static void on_config(quota_t *quota, const jh_config_t *config)
{
	unsigned i;

	remove_unconfigured_teams(quota, config);
	for (i = 0; i < config->teams->len; i++) {
		const jh_team_t *row = g_ptr_array_index(config->teams, i);
		team_t *team = g_hash_table_lookup(quota->teams, row->name);

		if (!team) {
			team = make_team(quota, row->name);
			g_hash_table_insert(quota->teams, g_strdup(row->name), team);
		}
		set_team_limit(quota, team, row);
		tick_team(quota, team);
	}
}

/* VMs */

static void on_units(void *data, unsigned units)
{
	quota_t *quota = data;
	GHashTableIter iter;
	gpointer value;

	quota->share_parts = (uint32_t)((uint64_t)JH_QUOTA_PARTS * units / JH_QUOTA_SHARE_UNITS);
	g_hash_table_iter_init(&iter, quota->teams);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		team_t *team = value;

		jh_quota_client_set_share(team->client, quota->share_parts, now_us(quota));
		tick_team(quota, team);
	}
	arm_timer(quota);
}

static void on_vms(quota_t *quota, GPtrArray *vms)
{
	GHashTableIter iter;
	gpointer value;

	g_clear_pointer(&quota->vms, g_ptr_array_unref);
	quota->vms = g_ptr_array_ref(vms);
	_jh_quota_row_on_vms(quota->row, vms);
	g_hash_table_iter_init(&iter, quota->teams);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		team_t *team = value;

		choose_team_server(quota, team);
		tick_team(quota, team);
	}
}

/* Messages */

static uint64_t add_pending_request(quota_t *quota, const team_t *team, jh_handle_t from,
				    uint64_t tag)
{
	pending_request_t *pending = g_new0(pending_request_t, 1);
	uint64_t *id = g_memdup2(&quota->next_pending_id, sizeof(quota->next_pending_id));

	*pending = (pending_request_t){ .team = team, .from = from, .tag = tag };
	quota->next_pending_id++;
	g_hash_table_insert(quota->pending_requests, id, pending);
	return *id;
}

static void handle_request(quota_t *quota, const jh_msg_t *msg)
{
	const jh_quota_msg_t *request = msg->body;
	team_t *team = g_hash_table_lookup(quota->teams, request->team);
	GArray *actions;
	uint64_t id;

	/* The share of an isolated VM may have been assigned to other VMs. */
	if (!team || jh_boot_time_us() > quota->share_valid_until_us) {
		refuse_without_quota(quota, msg->from, request->tag,
				     team ? JH_QUOTA_ISOLATED : JH_QUOTA_NO_TEAM);
		return;
	}
	id = add_pending_request(quota, team, msg->from, request->tag);
	actions = make_actions();
	jh_quota_client_request(team->client, id, (int64_t)(request->cost * JH_QUOTA_REQUEST),
				request->wait_us, now_us(quota), actions);
	run_actions(quota, team, actions);
	tick_team(quota, team);
}

static void handle_give_back(quota_t *quota, const jh_quota_msg_t *request)
{
	team_t *team = g_hash_table_lookup(quota->teams, request->team);
	int64_t amount;

	if (!team)
		return;
	amount = jh_quota_client_give_back(team->client, request->grant, now_us(quota));
	jh_counter_add(amount > 0 ? &given_back_total : &given_back_late_total, 1);
	tick_team(quota, team);
}

static void handle_ask(quota_t *quota, const char *vm, const Jh__QuotaAsk *frame_ask)
{
	team_t *team = g_hash_table_lookup(quota->teams, frame_ask->team);
	const jh_quota_ask_t ask = {
		.boot = frame_ask->boot,
		.epoch = frame_ask->epoch,
		.stamp_us = frame_ask->stamp_us,
		.sequence = frame_ask->sequence,
		.lent_parts = frame_ask->lent_parts,
		.want = frame_ask->want,
		.returned = frame_ask->returned,
		.returned_lifetime_us = frame_ask->returned_lifetime_us,
		.share_parts = frame_ask->share_parts,
	};
	jh_quota_grant_t grant;
	Jh__Frame *frame;

	if (!team)
		return;
	if (!team->server) {
		team->server = jh_quota_server_new(&quota->policy, quota->next_epoch++);
		jh_quota_server_set_limit(team->server, &team->limit, now_us(quota));
	}
	if (!jh_quota_server_handle_ask(team->server, vm, &ask, now_us(quota), &grant))
		return;
	jh_counter_add(&served_total, 1);
	frame = jh_frame_new(JH__FRAME__BODY_QUOTA_GRANT);
	frame->quota_grant->team = jh_frame_strdup(team->name);
	frame->quota_grant->epoch = grant.epoch;
	frame->quota_grant->sequence = grant.sequence;
	frame->quota_grant->stamp_us = grant.stamp_us;
	frame->quota_grant->lent_parts = grant.lent_parts;
	frame->quota_grant->amount = grant.amount;
	frame->quota_grant->lifetime_us = grant.lifetime_us;
	frame->quota_grant->retry_us = grant.retry_us;
	frame->quota_grant->interval_us = grant.interval_us;
	frame->quota_grant->known_parts = grant.known_parts;
	jh_frame_send(quota->task, vm, frame);
}

static void handle_grant(quota_t *quota, const Jh__QuotaGrant *frame_grant)
{
	team_t *team = g_hash_table_lookup(quota->teams, frame_grant->team);
	const jh_quota_grant_t grant = {
		.epoch = frame_grant->epoch,
		.stamp_us = frame_grant->stamp_us,
		.sequence = frame_grant->sequence,
		.lent_parts = frame_grant->lent_parts,
		.amount = MAX(frame_grant->amount, 0),
		.lifetime_us = frame_grant->lifetime_us,
		.retry_us = frame_grant->retry_us,
		.interval_us = frame_grant->interval_us,
		.known_parts = frame_grant->known_parts,
	};
	GArray *actions;

	if (!team)
		return;
	actions = make_actions();
	jh_quota_client_handle_grant(team->client, &grant, now_us(quota), actions);
	run_actions(quota, team, actions);
	tick_team(quota, team);
}

static void quota_on_message(jh_task_t *task, const jh_msg_t *msg)
{
	quota_t *quota = jh_task_state(task);

	if (msg->type == JH_MSG_QUOTA_REQUEST) {
		handle_request(quota, msg);
	} else if (msg->type == JH_MSG_QUOTA_GIVE_BACK) {
		handle_give_back(quota, msg->body);
	} else if (msg->type == JH_MSG_CONFIG) {
		on_config(quota, ((const jh_config_msg_t *)msg->body)->config);
	} else if (msg->type == JH_MSG_VMS) {
		on_vms(quota, ((const jh_vms_msg_t *)msg->body)->vms);
	} else if (msg->type == JH_MSG_MIRROR_LEASE) {
		quota->share_valid_until_us =
			((const jh_mirror_lease_msg_t *)msg->body)->until_us + JH_ISOLATED_US;
		_jh_quota_row_on_lease(quota->row);
	} else if (msg->type == JH_MSG_PLATFORM_REPLY) {
		_jh_quota_row_on_reply(quota->row, msg->body);
	} else if (msg->type == JH_MSG_FRAME_IN) {
		const jh_frame_msg_t *frame_msg = msg->body;

		if (frame_msg->frame->body_case == JH__FRAME__BODY_QUOTA_ASK)
			handle_ask(quota, frame_msg->vm, frame_msg->frame->quota_ask);
		else if (frame_msg->frame->body_case == JH__FRAME__BODY_QUOTA_GRANT)
			handle_grant(quota, frame_msg->frame->quota_grant);
	}
	arm_timer(quota);
}

/* Module definition */

static int quota_init(jh_task_t *task, jh_error_t *err)
{
	const jh_profile_t *profile = jh_profile_get(jh_kernel_settings(jh_task_kernel(task)));
	quota_t *quota = g_new0(quota_t, 1);

	(void)err;
	quota->task = task;
	quota->policy = jh_quota_policy_for(profile->quota_fleet_size);
	quota->started_us = now_us(quota);
	quota->teams = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_team);
	quota->pending_requests =
		g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
	quota->next_pending_id = 1;
	quota->earliest_tick_us = INT64_MAX;
	quota->timer_fires_us = INT64_MAX;
	quota->share_valid_until_us = INT64_MAX;
	/* Boot ids are random, so that the epochs of two daemons differ. */
	quota->next_epoch = jh_kernel_boot(jh_task_kernel(task));
	quota->row =
		_jh_quota_row_new(task, jh_quota_lease_wait_us(&quota->policy), on_units, quota);
	ev_init(&quota->timer, on_timer);
	quota->timer.data = quota;
	jh_task_set_state(task, quota);
	return 0;
}

static void quota_drain(jh_task_t *task)
{
	_jh_quota_row_drain(((const quota_t *)jh_task_state(task))->row);
}

static bool quota_is_drained(jh_task_t *task)
{
	return _jh_quota_row_is_drained(((const quota_t *)jh_task_state(task))->row);
}

static void quota_fini(jh_task_t *task)
{
	quota_t *quota = jh_task_state(task);

	ev_timer_stop(jh_task_loop(task), &quota->timer);
	_jh_quota_row_free(quota->row);
	g_hash_table_destroy(quota->teams);
	g_hash_table_destroy(quota->pending_requests);
	g_clear_pointer(&quota->vms, g_ptr_array_unref);
	g_free(quota);
}

static jh_rows_t *quota_show(jh_task_t *task, const char *topic)
{
	static const char *const columns[] = { "team",	       "rate",	  "burst",  "server",
					       "level",	       "waiting", "demand", "share_percent",
					       "lent_percent", NULL };
	const quota_t *quota = jh_task_state(task);
	GHashTableIter iter;
	jh_rows_t *rows;
	gpointer value;

	if (g_str_equal(topic, "quota_slots"))
		return _jh_quota_row_show(quota->row);
	if (!g_str_equal(topic, "quota"))
		return NULL;
	rows = jh_rows_new(columns);
	g_hash_table_iter_init(&iter, quota->teams);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const team_t *team = value;
		jh_quota_client_stats_t stats =
			jh_quota_client_get_stats(team->client, now_us(quota));
		const double numbers[] = { (double)team->limit.rate / JH_QUOTA_REQUEST,
					   (double)team->limit.burst / JH_QUOTA_REQUEST,
					   (double)stats.level / JH_QUOTA_REQUEST,
					   stats.waiting,
					   (double)stats.demand / JH_QUOTA_REQUEST,
					   100.0 * stats.share_parts / JH_QUOTA_PARTS,
					   100.0 * stats.lent_parts / JH_QUOTA_PARTS };
		char cells[G_N_ELEMENTS(numbers)][32];
		unsigned i;

		for (i = 0; i < G_N_ELEMENTS(numbers); i++)
			g_snprintf(cells[i], sizeof(cells[i]), "%.6g", numbers[i]);
		jh_rows_add(rows, team->name, cells[0], cells[1],
			    team->server_vm ? team->server_vm : "", cells[2], cells[3], cells[4],
			    cells[5], cells[6]);
	}
	return rows;
}

const jh_module_t jh_quota_module = {
	.name = "quota",
	.doc = "teams' rates over all VMs",
	.subscriptions = { JH_MSG_CONFIG, JH_MSG_VMS, JH_MSG_MIRROR_LEASE, JH_MSG_TYPE_COUNT },
	.frames = { JH__FRAME__BODY_QUOTA_ASK, JH__FRAME__BODY_QUOTA_GRANT, 0 },
	.init = quota_init,
	.on_message = quota_on_message,
	.drain = quota_drain,
	.is_drained = quota_is_drained,
	.fini = quota_fini,
	.show = quota_show,
};
