#include "jh_builtins.h"
#include "jh_config_sync.h"
#include "jh_counter.h"
#include "jh_frame.h"
#include "jh_log.h"
#include "jh_platform.h"
#include "jh_tables.h"

#include <string.h>
#include <sys/random.h>

/*
 * The configuration task: reads the operators' tables from the platform's row, exchanges versions
 * with other daemons, and publishes each version that comes into force. decisions/config_sync.c
 * decides when it polls the platform and with which VMs it exchanges versions.
 */

#define TICK_S 0.1
#define POLL_TAG 1u
#define US_PER_MS 1000

JH_COUNTER(polls_total, "jasminehill_config_polls_total", "reads of the platform's configuration");
JH_COUNTER(polls_failed_total, "jasminehill_config_polls_failed_total",
	   "reads of the platform's configuration that failed");
JH_COUNTER(versions_applied_total, "jasminehill_config_applied_total",
	   "configurations put in force");
JH_COUNTER(version_gauge, "jasminehill_config_version", "version in force");
JH_COUNTER(announcements_total, "jasminehill_config_told_total", "versions told to peers");
JH_COUNTER(tables_sent_total, "jasminehill_config_tables_sent_total", "tables sent to peers");

typedef struct config_state {
	jh_task_t *task;
	jh_config_sync_t *sync;
	jh_config_t *config;
	/* Body of the row of the version in force, which is also sent to peers; NULL if none. */
	GBytes *row;
	/* Highest version whose tables had findings; it is not fetched again. */
	uint64_t rejected_version;
	/* Last result of jh_config_sync_is_isolated(). */
	bool is_isolated;
	ev_timer tick;
} config_state_t;

static int64_t config_now_us(const config_state_t *state)
{
	return jh_kernel_now_us(jh_task_kernel(state->task));
}

/* ---- Sending ---- */

static void send_announcement(config_state_t *state, const char *vm, bool is_reply,
			      bool with_tables)
{
	int64_t age_us = jh_config_sync_age_us(state->sync, config_now_us(state));
	Jh__Frame *frame = jh_frame_new(JH__FRAME__BODY_CONFIG_NEWS);
	Jh__ConfigNews *announcement = frame->config_news;

	announcement->version = jh_config_sync_version(state->sync);
	announcement->age_ms = age_us == JH_CONFIG_AGE_UNCONFIRMED ? -1 : age_us / US_PER_MS;
	announcement->is_reply = is_reply;
	if (with_tables) {
		gsize length = 0;
		const void *data = g_bytes_get_data(state->row, &length);

		announcement->tables.data = g_memdup2(data, length);
		announcement->tables.len = length;
		jh_counter_add(&tables_sent_total, 1);
	}
	jh_counter_add(&announcements_total, 1);
	jh_frame_send(state->task, vm, frame);
}

static void request_tables(config_state_t *state, const char *vm)
{
	Jh__Frame *frame = jh_frame_new(JH__FRAME__BODY_CONFIG_ASK);

	frame->config_ask->have_version = jh_config_sync_version(state->sync);
	jh_frame_send(state->task, vm, frame);
}

static void poll_platform(config_state_t *state)
{
	uint64_t known_version = MAX(jh_config_sync_version(state->sync), state->rejected_version);

	jh_counter_add(&polls_total, 1);
	jh_platform_send(state->task, JH_PLATFORM_GET_ROW, JH_CONFIG_TABLE, JH_CONFIG_ROW,
			 known_version, NULL, POLL_TAG);
}

/* Runs the actions and frees the array. */
static void run_actions(config_state_t *state, GArray *actions)
{
	unsigned i;

	for (i = 0; i < actions->len; i++) {
		const jh_config_sync_action_t *action =
			&g_array_index(actions, jh_config_sync_action_t, i);

		switch (action->kind) {
		case JH_CONFIG_SYNC_POLL:
			poll_platform(state);
			break;
		case JH_CONFIG_SYNC_ANNOUNCE:
			send_announcement(state, action->vm, false, false);
			break;
		case JH_CONFIG_SYNC_REPLY:
			send_announcement(state, action->vm, true, false);
			break;
		case JH_CONFIG_SYNC_FETCH:
			request_tables(state, action->vm);
			break;
		}
	}
	g_array_free(actions, TRUE);
}

static GArray *actions_new(void)
{
	return g_array_new(FALSE, FALSE, sizeof(jh_config_sync_action_t));
}

/* ---- Applying a version ---- */

/* Logs the findings of a row, and remembers its version so that it is not fetched again. */
static void reject_row(config_state_t *state, uint64_t version, const jh_error_t *err)
{
	unsigned i;

	state->rejected_version = version;
	for (i = 0; i < jh_error_count_findings(err); i++) {
		const jh_finding_t *finding = &g_array_index(err->findings, jh_finding_t, i);

		jh_log(JH_LOG_ERROR, "config", "finding",
		       "version=%" G_GUINT64_FORMAT " place=%s finding=%s", version,
		       jh_log_value(finding->place), jh_log_value(finding->message));
	}
}

/*
 * Puts a row in force if its version is higher and its tables have no findings. @from, for the log,
 * is "platform" or the name of a VM.
 */
static void apply_row(config_state_t *state, uint64_t version, const void *data, gsize length,
		      const char *from)
{
	jh_error_t err = JH_ERROR_INIT;
	GArray *actions;
	jh_config_t *config;

	if (version <= MAX(jh_config_sync_version(state->sync), state->rejected_version))
		return;
	config = jh_tables_parse_row(data, length, version, &err);
	if (!config) {
		reject_row(state, version, &err);
		jh_error_clear(&err);
		return;
	}
	jh_config_unref(state->config);
	state->config = config;
	if (state->row)
		g_bytes_unref(state->row);
	state->row = g_bytes_new(data, length);
	jh_counter_add(&versions_applied_total, 1);
	jh_counter_set(&version_gauge, (int64_t)version);
	jh_log(JH_LOG_INFO, "config", "in_force",
	       "version=%" G_GUINT64_FORMAT " change_id=%s from=%s", version,
	       jh_log_value(config->change_id), jh_log_value(from));
	actions = actions_new();
	jh_config_sync_on_applied(state->sync, version, actions);
	run_actions(state, actions);
	jh_config_publish(state->task, jh_config_ref(config), state->is_isolated);
}

static void handle_platform_reply(config_state_t *state, const jh_platform_reply_t *reply)
{
	bool is_read = reply->status == JH_PLATFORM_OK || reply->status == JH_PLATFORM_UNCHANGED;

	if (reply->status == JH_PLATFORM_OK && reply->body) {
		gsize length = 0;
		const void *data = g_bytes_get_data(reply->body, &length);

		apply_row(state, reply->version, data, length, "platform");
	}
	if (!is_read && reply->status != JH_PLATFORM_NOT_FOUND)
		jh_counter_add(&polls_failed_total, 1);
	if (is_read && reply->version < jh_config_sync_version(state->sync))
		jh_log(JH_LOG_ERROR, "config", "platform_went_back",
		       "version=%" G_GUINT64_FORMAT " in_force=%" G_GUINT64_FORMAT, reply->version,
		       jh_config_sync_version(state->sync));
	jh_config_sync_on_poll(state->sync, is_read ? reply->version : 0);
}

/* ---- Frames from peers ---- */

static void handle_announcement(config_state_t *state, const char *vm, const Jh__ConfigNews *frame)
{
	jh_config_announcement_t announcement = {
		.from = vm,
		.version = frame->version,
		.age_us = frame->age_ms < 0 ? JH_CONFIG_AGE_UNCONFIRMED : frame->age_ms * US_PER_MS,
		.is_reply = frame->is_reply,
	};
	GArray *actions = actions_new();

	if (frame->tables.len > 0)
		apply_row(state, frame->version, frame->tables.data, frame->tables.len, vm);
	/* A version that was rejected here must not be fetched again at each announcement. It is
	 * handled as version 0 (none), which is never fetched. */
	if (announcement.version > jh_config_sync_version(state->sync) &&
	    announcement.version <= state->rejected_version)
		announcement.version = 0;
	jh_config_sync_on_announcement(state->sync, &announcement, config_now_us(state), actions);
	run_actions(state, actions);
}

static void handle_frame(config_state_t *state, const jh_frame_msg_t *msg)
{
	const Jh__Frame *frame = msg->frame;

	if (frame->body_case == JH__FRAME__BODY_CONFIG_NEWS)
		handle_announcement(state, msg->vm, frame->config_news);
	else if (frame->body_case == JH__FRAME__BODY_CONFIG_ASK &&
		 frame->config_ask->have_version < jh_config_sync_version(state->sync))
		send_announcement(state, msg->vm, true, true);
}

/* ---- Timer ---- */

/* Publishes the configuration again if this daemon became isolated, or no longer is. */
static void update_isolation(config_state_t *state)
{
	unsigned neighbours = 0;
	int64_t now_us = config_now_us(state);
	unsigned reachable = jh_config_sync_count_reachable(state->sync, now_us, &neighbours);
	bool is_isolated = jh_config_sync_is_isolated(state->sync, now_us);

	if (is_isolated == state->is_isolated)
		return;
	state->is_isolated = is_isolated;
	jh_log(is_isolated ? JH_LOG_WARNING : JH_LOG_INFO, "config",
	       is_isolated ? "isolated" : "connected",
	       "version=%" G_GUINT64_FORMAT " peers_heard=%u peers=%u",
	       jh_config_sync_version(state->sync), reachable, neighbours);
	if (state->config)
		jh_config_publish(state->task, jh_config_ref(state->config), is_isolated);
}

static void on_tick(struct ev_loop *loop, ev_timer *timer, int events)
{
	config_state_t *state = timer->data;
	GArray *actions = actions_new();
	uint32_t random_number = 0;

	(void)loop;
	(void)events;
	if (getrandom(&random_number, sizeof(random_number), 0) < 0)
		random_number = 0;
	jh_config_sync_on_tick(state->sync, config_now_us(state), random_number, actions);
	run_actions(state, actions);
	update_isolation(state);
}

/* ---- Start, messages, end ---- */

static int config_init(jh_task_t *task, jh_error_t *err)
{
	config_state_t *state = g_new0(config_state_t, 1);

	(void)err;
	state->task = task;
	state->sync = jh_config_sync_new(jh_kernel_settings(jh_task_kernel(task))->vm);
	ev_timer_init(&state->tick, on_tick, 0, TICK_S);
	state->tick.data = state;
	ev_timer_start(jh_task_loop(task), &state->tick);
	jh_task_set_state(task, state);
	return 0;
}

static void config_on_message(jh_task_t *task, const jh_msg_t *msg)
{
	config_state_t *state = jh_task_state(task);

	switch (msg->type) {
	case JH_MSG_PLATFORM_REPLY:
		handle_platform_reply(state, msg->body);
		break;
	case JH_MSG_FRAME_IN:
		handle_frame(state, msg->body);
		break;
	case JH_MSG_VMS:
		jh_config_sync_set_vms(state->sync, ((const jh_vms_msg_t *)msg->body)->vms);
		break;
	default:
		break;
	}
}

static void config_fini(jh_task_t *task)
{
	config_state_t *state = jh_task_state(task);

	ev_timer_stop(jh_task_loop(task), &state->tick);
	jh_config_sync_free(state->sync);
	jh_config_unref(state->config);
	if (state->row)
		g_bytes_unref(state->row);
	g_free(state);
}

/* ---- Rows for operators ---- */

static const char *config_state_name(const config_state_t *state)
{
	if (!state->config)
		return "waiting";
	if (state->is_isolated)
		return "isolated";
	return state->rejected_version > state->config->version ? "refused" : "in_force";
}

static void add_self_row(const config_state_t *state, jh_rows_t *rows)
{
	const jh_settings_t *settings = jh_kernel_settings(jh_task_kernel(state->task));
	int64_t age_us = jh_config_sync_age_us(state->sync, config_now_us(state));
	const char *change_id = state->config ? state->config->change_id : NULL;
	char version[24];
	char age[24];

	g_snprintf(version, sizeof(version), "%" G_GUINT64_FORMAT,
		   jh_config_sync_version(state->sync));
	g_snprintf(age, sizeof(age), "%" G_GINT64_FORMAT,
		   age_us == JH_CONFIG_AGE_UNCONFIRMED ? -1 : age_us / US_PER_MS);
	jh_rows_add(rows, settings->vm, version, config_state_name(state), age,
		    change_id ? change_id : "",
		    jh_config_sync_is_poller(state->sync) ? "yes" : "no", "0");
}

static void add_neighbour_row(const config_state_t *state, const jh_config_neighbour_t *neighbour,
			      jh_rows_t *rows)
{
	char version[24];
	char contact_age[24];

	g_snprintf(version, sizeof(version), "%" G_GUINT64_FORMAT, neighbour->version);
	g_snprintf(contact_age, sizeof(contact_age), "%" G_GINT64_FORMAT,
		   neighbour->last_message_us ?
			   (config_now_us(state) - neighbour->last_message_us) / US_PER_MS :
			   -1);
	jh_rows_add(rows, neighbour->name, version, "peer", "", "", "", contact_age);
}

/*
 * One row for this VM, then one for the last announcement of each neighbour. In a small fleet the
 * neighbours are all other VMs.
 */
static jh_rows_t *config_show(jh_task_t *task, const char *topic)
{
	static const char *const columns[] = { "vm",	    "version", "state",	   "age_ms",
					       "change_id", "poller",  "heard_ms", NULL };
	const config_state_t *state = jh_task_state(task);
	const jh_config_neighbour_t *neighbour;
	jh_rows_t *rows;
	unsigned i;

	if (!g_str_equal(topic, "config"))
		return NULL;
	rows = jh_rows_new(columns);
	add_self_row(state, rows);
	for (i = 0; (neighbour = jh_config_sync_neighbour(state->sync, i)); i++)
		add_neighbour_row(state, neighbour, rows);
	return rows;
}

const jh_module_t jh_config_module = {
	.name = "config",
	.doc = "the operators' tables, from the platform or from peers",
	.subscriptions = { JH_MSG_VMS, JH_MSG_TYPE_COUNT },
	.frames = { JH__FRAME__BODY_CONFIG_ASK, JH__FRAME__BODY_CONFIG_NEWS, 0 },
	.init = config_init,
	.on_message = config_on_message,
	.fini = config_fini,
	.show = config_show,
};
