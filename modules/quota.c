/*
 * Teams' rates over all VMs: answers the entry's requests for quota, and is the quota server of
 * the teams that placement gives to this VM. The decisions are in decisions/quota_client.c and
 * decisions/quota_server.c; docs/internals/quota.md says why they keep the rate.
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

/* Asked of by a team that the configuration does not know. */
#define UNKNOWN_RETRY_MS 1000

JH_COUNTER(granted_total, "jasminehill_quota_granted_total", "requests that got quota");
JH_COUNTER(refused_total, "jasminehill_quota_refused_total", "requests refused for lack of quota");
JH_COUNTER(asks_total, "jasminehill_quota_asks_total", "questions sent to quota servers");
JH_COUNTER(served_total, "jasminehill_quota_served_total", "questions answered as quota server");

typedef struct team {
	/* Interned. */
	const char *name;
	jh_quota_limit_t limit;
	jh_quota_client_t *client;
	/* NULL while no VM has asked this one. */
	jh_quota_server_t *server;
	/* Interned; NULL while no VM is live. */
	const char *server_vm;
	int64_t tick_us;
} team_t;

/* Who waits for an answer. */
typedef struct requester {
	const team_t *team;
	jh_handle_t from;
	uint64_t tag;
} requester_t;

typedef struct quota {
	jh_task_t *task;
	jh_quota_policy_t policy;
	GHashTable *teams;
	/* By number, requester_t. */
	GHashTable *requesters;
	uint64_t next_requester;
	uint64_t next_epoch;
	uint32_t share_parts;
	_jh_quota_row_t *row;
	GPtrArray *vms;
	/* When the next team is due, and when the timer fires. */
	int64_t due_us;
	int64_t armed_us;
	/* Boot time at which the authority to use this VM's share is over. */
	int64_t isolated_us;
	ev_timer timer;
} quota_t;

static int64_t now_us(const quota_t *quota)
{
	return jh_kernel_now_us(jh_task_kernel(quota->task));
}

/* ---- actions of clients ---- */

static void reply_send(quota_t *quota, const jh_quota_action_t *action)
{
	const requester_t *requester = g_hash_table_lookup(quota->requesters, &action->tag);
	uint32_t retry_ms = (uint32_t)((action->retry_us + 999) / 1000);

	jh_counter_add(action->granted ? &granted_total : &refused_total, 1);
	if (!requester)
		return;
	jh_quota_answer(quota->task, requester->from, requester->tag, action->granted, retry_ms);
	g_hash_table_remove(quota->requesters, &action->tag);
}

static void ask_send(quota_t *quota, const team_t *team, const jh_quota_ask_t *ask)
{
	Jh__Frame *frame = jh_frame_new(JH__FRAME__BODY_QUOTA_ASK);

	frame->quota_ask->team = jh_strdup(team->name);
	frame->quota_ask->boot = ask->boot;
	frame->quota_ask->epoch = ask->epoch;
	frame->quota_ask->sequence = ask->sequence;
	frame->quota_ask->stamp_us = ask->stamp_us;
	frame->quota_ask->lent_parts = ask->lent_parts;
	frame->quota_ask->want = ask->want;
	jh_counter_add(&asks_total, 1);
	jh_frame_send(quota->task, team->server_vm, frame);
}

static void actions_run(quota_t *quota, team_t *team, GArray *actions)
{
	unsigned i;

	for (i = 0; i < actions->len; i++) {
		const jh_quota_action_t *action = &g_array_index(actions, jh_quota_action_t, i);

		if (action->kind == JH_QUOTA_REPLY)
			reply_send(quota, action);
		else if (team->server_vm)
			ask_send(quota, team, &action->ask);
	}
	g_array_free(actions, TRUE);
}

static GArray *actions_new(void)
{
	return g_array_new(FALSE, TRUE, sizeof(jh_quota_action_t));
}

/* ---- time ---- */

/* The timer may fire too early, so that a message costs no look at every team. */
static void timer_arm(quota_t *quota)
{
	struct ev_loop *loop = jh_task_loop(quota->task);

	if (quota->due_us >= quota->armed_us)
		return;
	quota->armed_us = quota->due_us;
	ev_timer_stop(loop, &quota->timer);
	ev_now_update(loop);
	ev_timer_set(&quota->timer, (double)MAX(quota->due_us - now_us(quota), 0) / G_USEC_PER_SEC,
		     0);
	ev_timer_start(loop, &quota->timer);
}

static void team_tick(quota_t *quota, team_t *team)
{
	GArray *actions = actions_new();

	team->tick_us = jh_quota_client_tick(team->client, now_us(quota), actions);
	quota->due_us = MIN(quota->due_us, team->tick_us);
	actions_run(quota, team, actions);
}

static void on_timer(struct ev_loop *loop, ev_timer *watcher, int events)
{
	quota_t *quota = watcher->data;
	int64_t now = now_us(quota);
	GHashTableIter iter;
	gpointer value;

	(void)loop;
	(void)events;
	quota->due_us = INT64_MAX;
	quota->armed_us = INT64_MAX;
	g_hash_table_iter_init(&iter, quota->teams);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		team_t *team = value;

		if (team->server && jh_quota_server_is_idle(team->server, now))
			g_clear_pointer(&team->server, jh_quota_server_free);
		if (team->tick_us <= now)
			team_tick(quota, team);
		quota->due_us = MIN(quota->due_us, team->tick_us);
	}
	timer_arm(quota);
}

/* ---- teams ---- */

static void team_free(gpointer data)
{
	team_t *team = data;

	jh_quota_client_free(team->client);
	jh_quota_server_free(team->server);
	g_free(team);
}

static void team_set_server(const quota_t *quota, team_t *team)
{
	char *key = g_strconcat("team:", team->name, NULL);
	const jh_vm_t *vm = jh_placement_choose(quota->vms, key, NULL);

	team->server_vm = vm ? g_intern_string(vm->name) : NULL;
	jh_quota_client_set_server(team->client, vm != NULL);
	g_free(key);
}

static team_t *team_new(const quota_t *quota, const char *name)
{
	uint64_t boot = jh_kernel_boot(jh_task_kernel(quota->task));
	team_t *team = g_new0(team_t, 1);

	team->name = g_intern_string(name);
	team->client = jh_quota_client_new(&quota->policy, boot, now_us(quota));
	jh_quota_client_set_share(team->client, quota->share_parts, now_us(quota));
	team_set_server(quota, team);
	return team;
}

static void team_set_limit(const quota_t *quota, team_t *team, const jh_team_t *row)
{
	jh_quota_limit_t limit = jh_quota_limit_for(row->rate, row->burst);

	if (limit.rate == team->limit.rate && limit.burst == team->limit.burst)
		return;
	team->limit = limit;
	jh_quota_client_set_limit(team->client, &limit, now_us(quota));
	if (team->server)
		jh_quota_server_set_limit(team->server, &limit, now_us(quota));
}

/* Requests that wait for quota of a team that is gone are refused. */
static void team_refuse_waiting(quota_t *quota, const team_t *team)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, quota->requesters);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const requester_t *requester = value;

		if (requester->team != team)
			continue;
		jh_counter_add(&refused_total, 1);
		jh_quota_answer(quota->task, requester->from, requester->tag, false,
				UNKNOWN_RETRY_MS);
		g_hash_table_iter_remove(&iter);
	}
}

static void teams_remove(quota_t *quota, const jh_config_t *config)
{
	GHashTableIter iter;
	gpointer name;
	gpointer value;

	g_hash_table_iter_init(&iter, quota->teams);
	while (g_hash_table_iter_next(&iter, &name, &value)) {
		if (jh_config_find_team(config, name))
			continue;
		team_refuse_waiting(quota, value);
		g_hash_table_iter_remove(&iter);
	}
}

static void on_config(quota_t *quota, const jh_config_t *config)
{
	unsigned i;

	teams_remove(quota, config);
	for (i = 0; i < config->teams->len; i++) {
		const jh_team_t *row = g_ptr_array_index(config->teams, i);
		team_t *team = g_hash_table_lookup(quota->teams, row->name);

		if (!team) {
			team = team_new(quota, row->name);
			g_hash_table_insert(quota->teams, g_strdup(row->name), team);
		}
		team_set_limit(quota, team, row);
		team_tick(quota, team);
	}
}

/* ---- VMs ---- */

static void on_slots(void *data, unsigned slots)
{
	quota_t *quota = data;
	GHashTableIter iter;
	gpointer value;

	quota->share_parts = (uint32_t)((uint64_t)JH_QUOTA_PARTS * slots / JH_QUOTA_SLOTS);
	g_hash_table_iter_init(&iter, quota->teams);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		team_t *team = value;

		jh_quota_client_set_share(team->client, quota->share_parts, now_us(quota));
		team_tick(quota, team);
	}
	timer_arm(quota);
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

		team_set_server(quota, team);
		team_tick(quota, team);
	}
}

/* ---- messages ---- */

static uint64_t requester_add(quota_t *quota, const team_t *team, jh_handle_t from, uint64_t tag)
{
	requester_t *requester = g_new0(requester_t, 1);
	uint64_t *number = g_memdup2(&quota->next_requester, sizeof(quota->next_requester));

	*requester = (requester_t){ .team = team, .from = from, .tag = tag };
	quota->next_requester++;
	g_hash_table_insert(quota->requesters, number, requester);
	return *number;
}

static void on_request(quota_t *quota, const jh_msg_t *msg)
{
	const jh_quota_msg_t *request = msg->body;
	team_t *team = g_hash_table_lookup(quota->teams, request->team);
	GArray *actions;
	uint64_t tag;

	/* Other VMs may have been given the share of one that is cut off. */
	if (!team || jh_boot_time_us() > quota->isolated_us) {
		jh_counter_add(&refused_total, 1);
		jh_quota_answer(quota->task, msg->from, request->tag, false, UNKNOWN_RETRY_MS);
		return;
	}
	tag = requester_add(quota, team, msg->from, request->tag);
	actions = actions_new();
	jh_quota_client_request(team->client, tag, (int64_t)(request->cost * JH_QUOTA_REQUEST),
				request->wait_us, now_us(quota), actions);
	actions_run(quota, team, actions);
	team_tick(quota, team);
}

static void on_ask(quota_t *quota, const char *vm, const Jh__QuotaAsk *ask)
{
	team_t *team = g_hash_table_lookup(quota->teams, ask->team);
	const jh_quota_ask_t question = {
		.boot = ask->boot,
		.epoch = ask->epoch,
		.stamp_us = ask->stamp_us,
		.sequence = ask->sequence,
		.lent_parts = ask->lent_parts,
		.want = ask->want,
	};
	jh_quota_grant_t grant;
	Jh__Frame *frame;

	if (!team)
		return;
	if (!team->server) {
		team->server = jh_quota_server_new(&quota->policy, quota->next_epoch++);
		jh_quota_server_set_limit(team->server, &team->limit, now_us(quota));
	}
	if (!jh_quota_server_ask(team->server, vm, &question, now_us(quota), &grant))
		return;
	jh_counter_add(&served_total, 1);
	frame = jh_frame_new(JH__FRAME__BODY_QUOTA_GRANT);
	frame->quota_grant->team = jh_strdup(team->name);
	frame->quota_grant->epoch = grant.epoch;
	frame->quota_grant->sequence = grant.sequence;
	frame->quota_grant->stamp_us = grant.stamp_us;
	frame->quota_grant->lent_parts = grant.lent_parts;
	frame->quota_grant->amount = grant.amount;
	frame->quota_grant->lifetime_us = grant.lifetime_us;
	frame->quota_grant->retry_us = grant.retry_us;
	frame->quota_grant->interval_us = grant.interval_us;
	jh_frame_send(quota->task, vm, frame);
}

static void on_grant(quota_t *quota, const Jh__QuotaGrant *grant)
{
	team_t *team = g_hash_table_lookup(quota->teams, grant->team);
	const jh_quota_grant_t answer = {
		.epoch = grant->epoch,
		.stamp_us = grant->stamp_us,
		.sequence = grant->sequence,
		.lent_parts = grant->lent_parts,
		.amount = MAX(grant->amount, 0),
		.lifetime_us = grant->lifetime_us,
		.retry_us = grant->retry_us,
		.interval_us = grant->interval_us,
	};
	GArray *actions;

	if (!team)
		return;
	actions = actions_new();
	jh_quota_client_grant(team->client, &answer, now_us(quota), actions);
	actions_run(quota, team, actions);
	team_tick(quota, team);
}

static void quota_on_message(jh_task_t *task, const jh_msg_t *msg)
{
	quota_t *quota = jh_task_state(task);

	if (msg->type == JH_MSG_QUOTA_REQUEST) {
		on_request(quota, msg);
	} else if (msg->type == JH_MSG_CONFIG) {
		on_config(quota, ((const jh_config_msg_t *)msg->body)->config);
	} else if (msg->type == JH_MSG_VMS) {
		on_vms(quota, ((const jh_vms_msg_t *)msg->body)->vms);
	} else if (msg->type == JH_MSG_MIRROR_LEASE) {
		quota->isolated_us =
			((const jh_mirror_lease_msg_t *)msg->body)->until_us + JH_ISOLATED_US;
	} else if (msg->type == JH_MSG_PLATFORM_REPLY) {
		_jh_quota_row_on_reply(quota->row, msg->body);
	} else if (msg->type == JH_MSG_FRAME_IN) {
		const jh_frame_msg_t *in = msg->body;

		if (in->frame->body_case == JH__FRAME__BODY_QUOTA_ASK)
			on_ask(quota, in->vm, in->frame->quota_ask);
		else if (in->frame->body_case == JH__FRAME__BODY_QUOTA_GRANT)
			on_grant(quota, in->frame->quota_grant);
	}
	timer_arm(quota);
}

/* ---- life ---- */

static int quota_init(jh_task_t *task, jh_error_t *err)
{
	const jh_profile_t *profile = jh_profile_of(jh_kernel_settings(jh_task_kernel(task)));
	quota_t *quota = g_new0(quota_t, 1);

	(void)err;
	quota->task = task;
	quota->policy = jh_quota_policy_for(profile->quota_fleet);
	quota->teams = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, team_free);
	quota->requesters = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
	quota->due_us = INT64_MAX;
	quota->armed_us = INT64_MAX;
	quota->isolated_us = INT64_MAX;
	/* Boots are random, so that epochs of two daemons do not meet. */
	quota->next_epoch = jh_kernel_boot(jh_task_kernel(task));
	quota->row =
		_jh_quota_row_new(task, jh_quota_lease_wait_us(&quota->policy), on_slots, quota);
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
	g_hash_table_destroy(quota->requesters);
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
		jh_quota_client_view_t view = jh_quota_client_view(team->client, now_us(quota));
		const double numbers[] = { (double)team->limit.rate / JH_QUOTA_REQUEST,
					   (double)team->limit.burst / JH_QUOTA_REQUEST,
					   (double)view.level / JH_QUOTA_REQUEST,
					   view.waiting,
					   (double)view.demand / JH_QUOTA_REQUEST,
					   100.0 * view.share_parts / JH_QUOTA_PARTS,
					   100.0 * view.lent_parts / JH_QUOTA_PARTS };
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
	.subscriptions = { JH_MSG_CONFIG, JH_MSG_VMS, JH_MSG_MIRROR_LEASE, JH_MSG_TYPES },
	.frames = { JH__FRAME__BODY_QUOTA_ASK, JH__FRAME__BODY_QUOTA_GRANT, 0 },
	.init = quota_init,
	.on_message = quota_on_message,
	.drain = quota_drain,
	.is_drained = quota_is_drained,
	.fini = quota_fini,
	.show = quota_show,
};
