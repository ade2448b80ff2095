#include "jh_counter.h"
#include "jh_dc_drain.h"
#include "jh_frame.h"
#include "jh_log.h"
#include "jh_mirror.h"
#include "jh_primary.h"
#include "jh_profile.h"
#include "jh_slow_start.h"

#include <string.h>

/*
 * The catalogue task: parses the rows of the mirror, this VM's full local copy of the store's small
 * tables, in the profile's format, and publishes configuration, members and primaries to the other
 * tasks. A row that can't be parsed is logged; a member whose row can't be parsed counts as
 * unregistered.
 */

JH_COUNTER(unreadable_total, "jasminehill_catalogue_unreadable_total",
	   "rows that could not be read");
JH_COUNTER(drained_dcs, "jasminehill_drained_dcs_count",
	   "data centres whose members are to get nothing more");
JH_COUNTER(config_version, "jasminehill_config_version_count", "configuration in force");

typedef struct catalogue {
	jh_task_t *task;
	const jh_catalogue_format_t *format;
	/* The newest configuration, NULL before the first one. */
	jh_fleet_config_t *config;
	/* Interned id to draining_t *: members that have said that they leave; owned. */
	GHashTable *draining;
	/* Data centres whose drain is requested. */
	jh_dc_drains_t *drains;
	/* Limits that members need which have just started. */
	jh_slow_start_uses_t *slow_starts;
} catalogue_t;

/* Since when an instance of a member leaves; see struct jh_member. */
typedef struct draining {
	int64_t started_ms;
	int64_t since_us;
} draining_t;

static void log_unreadable(const jh_row_msg_t *row, jh_error_t *err)
{
	jh_counter_add(&unreadable_total, 1);
	jh_log(JH_LOG_WARNING, "catalogue", "row_unreadable", "table=%s row=%s reason=%s",
	       jh_mirror_table_name(row->table), jh_log_value(row->name),
	       jh_log_value(err->message));
	jh_error_clear(err);
}

static void config_msg_clear(void *data)
{
	jh_fleet_config_unref(((jh_fleet_config_msg_t *)data)->config);
}

/* Publishes the rates for the quota task: those of the teams and those of slow start. */
static void publish_rates(const catalogue_t *catalogue)
{
	const jh_settings_t *settings = jh_kernel_settings(jh_task_kernel(catalogue->task));

	jh_config_publish(catalogue->task,
			  jh_slow_start_limits(catalogue->config, catalogue->slow_starts,
					       settings->cold_excess, settings->cold_slack),
			  false);
}

static void note_slow_start(const catalogue_t *catalogue, const jh_member_t *member)
{
	const jh_fleet_group_t *group =
		catalogue->config ? g_hash_table_lookup(catalogue->config->groups, member->group) :
				    NULL;

	if (jh_slow_start_uses_update(catalogue->slow_starts, member, jh_boot_time_us()) && group &&
	    group->cold_rate > 0)
		publish_rates(catalogue);
}

static void apply_config(catalogue_t *catalogue, const jh_row_msg_t *row)
{
	jh_error_t err = JH_ERROR_INIT;
	jh_fleet_config_msg_t *msg;
	jh_fleet_config_t *config;

	if (!g_str_equal(row->name, "config") || !row->body)
		return;
	config = catalogue->format->read_config(row->body, &err);
	if (!config) {
		log_unreadable(row, &err);
		return;
	}
	if (catalogue->config && config->version <= catalogue->config->version) {
		if (config->version < catalogue->config->version)
			jh_log(JH_LOG_WARNING, "catalogue", "config_not_newer",
			       "version=%" G_GUINT64_FORMAT " in_force=%" G_GUINT64_FORMAT
			       " row=%" G_GUINT64_FORMAT,
			       config->version, catalogue->config->version, row->version);
		jh_fleet_config_unref(config);
		return;
	}
	jh_fleet_config_unref(catalogue->config);
	catalogue->config = config;
	jh_counter_set(&config_version, (int64_t)config->version);
	jh_log(JH_LOG_INFO, "catalogue", "config_in_force",
	       "version=%" G_GUINT64_FORMAT " row=%" G_GUINT64_FORMAT
	       " routes=%u groups=%u keys=%u",
	       config->version, row->version, g_hash_table_size(config->routes),
	       g_hash_table_size(config->groups), g_hash_table_size(config->keys));
	msg = g_rc_box_new0(jh_fleet_config_msg_t);
	msg->config = jh_fleet_config_ref(config);
	jh_publish(catalogue->task, JH_MSG_FLEET_CONFIG, msg, config_msg_clear);
	publish_rates(catalogue);
}

/*
 * The row requests the drain by its existence, so that its body does not matter. A store that was
 * restored from an older copy decides here too: nothing but the row says what the operators want.
 */
static void apply_dc_drain(catalogue_t *catalogue, const jh_row_msg_t *row, const char *dc)
{
	bool is_drained = row->body != NULL;
	jh_dc_drain_msg_t *msg;

	if (!jh_dc_drains_apply(catalogue->drains, dc, is_drained, row->changed_after_us))
		return;
	jh_counter_set(&drained_dcs, jh_dc_drains_count(catalogue->drains));
	jh_log(JH_LOG_WARNING, "catalogue", is_drained ? "dc_drain" : "dc_drain_ended",
	       "dc=%s row=%" G_GUINT64_FORMAT " known_after_ms=%" G_GINT64_FORMAT, jh_log_value(dc),
	       row->version,
	       row->changed_after_us == INT64_MIN ?
		       -1 :
		       (jh_boot_time_us() - row->changed_after_us) / 1000);
	msg = g_rc_box_new0(jh_dc_drain_msg_t);
	msg->dc = g_intern_string(dc);
	msg->is_drained = is_drained;
	msg->requested_after_us = row->changed_after_us;
	jh_publish(catalogue->task, JH_MSG_DC_DRAIN, msg, NULL);
}

static void member_msg_clear(void *data)
{
	jh_member_free(((jh_member_msg_t *)data)->member);
}

/*
 * Notes whether the member leaves, and since when. An instance that leaves never becomes ready
 * again; a row that says so comes from an older copy of the store.
 */
static void note_draining(catalogue_t *catalogue, jh_member_t *member, int64_t changed_after_us)
{
	const draining_t *known = g_hash_table_lookup(catalogue->draining, member->id);
	draining_t *draining;

	if (known && (known->started_ms != member->started_ms || member->started_ms == 0)) {
		g_hash_table_remove(catalogue->draining, member->id);
		known = NULL;
	}
	if (known && !member->is_draining) {
		jh_log(JH_LOG_NOTICE, "catalogue", "member_went_back", "member=%s",
		       jh_log_value(member->id));
		member->is_draining = true;
	}
	if (!member->is_draining)
		return;
	if (!known) {
		draining = g_new0(draining_t, 1);
		draining->started_ms = member->started_ms;
		draining->since_us = changed_after_us;
		g_hash_table_insert(catalogue->draining, (void *)member->id, draining);
		known = draining;
	}
	member->draining_since_us = known->since_us;
}

static void apply_member(catalogue_t *catalogue, const jh_row_msg_t *row)
{
	jh_error_t err = JH_ERROR_INIT;
	jh_member_msg_t *msg = g_rc_box_new0(jh_member_msg_t);

	msg->id = g_intern_string(row->name);
	if (row->body) {
		msg->member = catalogue->format->read_member(row->name, row->body, &err);
		if (!msg->member)
			log_unreadable(row, &err);
	}
	if (msg->member) {
		note_draining(catalogue, msg->member, row->changed_after_us);
		note_slow_start(catalogue, msg->member);
	}
	if (msg->member)
		jh_log(JH_LOG_INFO, "catalogue", "member",
		       "member=%s group=%s dc=%s draining=%d primary=%d row=%" G_GUINT64_FORMAT,
		       jh_log_value(msg->id), jh_log_value(msg->member->group),
		       jh_log_value(msg->member->dc), msg->member->is_draining,
		       msg->member->claims_primary, row->version);
	else
		jh_log(JH_LOG_INFO, "catalogue", "member_gone", "member=%s row=%" G_GUINT64_FORMAT,
		       jh_log_value(msg->id), row->version);
	jh_publish(catalogue->task, JH_MSG_MEMBER, msg, member_msg_clear);
}

static void apply_group(catalogue_t *catalogue, const jh_row_msg_t *row)
{
	jh_error_t err = JH_ERROR_INIT;
	jh_primary_msg_t *msg;
	jh_primary_t primary;

	if (!g_str_has_prefix(row->name, JH_PRIMARY_ROW_PREFIX) || !row->body)
		return;
	if (jh_primary_parse(&primary, row->name + strlen(JH_PRIMARY_ROW_PREFIX), row->version,
			     row->body, &err) < 0) {
		log_unreadable(row, &err);
		return;
	}
	jh_log(JH_LOG_INFO, "catalogue", primary.is_changing ? "primary_changing" : "primary",
	       "group=%s member=%s term=%" G_GUINT64_FORMAT " epoch=%" G_GUINT64_FORMAT,
	       jh_log_value(primary.group), jh_log_value(primary.member), primary.term,
	       primary.epoch);
	msg = g_rc_box_new0(jh_primary_msg_t);
	msg->primary = primary;
	msg->primary.is_kept = row->is_kept;
	jh_publish(catalogue->task, JH_MSG_PRIMARY, msg, NULL);
}

static void apply_row(catalogue_t *catalogue, const jh_row_msg_t *row)
{
	const char *drained_dc = row->table == JH_MIRROR_CONFIG ?
					 catalogue->format->read_drained_dc(row->name) :
					 NULL;

	if (drained_dc)
		apply_dc_drain(catalogue, row, drained_dc);
	else if (row->table == JH_MIRROR_CONFIG)
		apply_config(catalogue, row);
	else if (row->table == JH_MIRROR_MEMBERS)
		apply_member(catalogue, row);
	else
		apply_group(catalogue, row);
}

static int catalogue_init(jh_task_t *task, jh_error_t *err)
{
	const jh_profile_t *profile = jh_profile_get(jh_kernel_settings(jh_task_kernel(task)));
	catalogue_t *catalogue;

	if (!profile->catalogue)
		return jh_error_set(err, JH_ERR_INVALID,
				    "profile %s has no format for the catalogue's rows",
				    profile->name);
	catalogue = g_new0(catalogue_t, 1);
	catalogue->task = task;
	catalogue->format = profile->catalogue;
	catalogue->draining = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	catalogue->drains = jh_dc_drains_new();
	catalogue->slow_starts = jh_slow_start_uses_new();
	jh_task_set_state(task, catalogue);
	return 0;
}

static void catalogue_on_message(jh_task_t *task, const jh_msg_t *msg)
{
	catalogue_t *catalogue = jh_task_state(task);

	if (msg->type == JH_MSG_ROW) {
		apply_row(catalogue, msg->body);
	} else if (msg->type == JH_MSG_MIRROR_LEASE) {
		jh_mirror_lease_msg_t *copy = g_rc_box_new0(jh_mirror_lease_msg_t);

		*copy = *(const jh_mirror_lease_msg_t *)msg->body;
		jh_publish(task, JH_MSG_MIRROR_LEASE, copy, NULL);
	} else if (msg->type == JH_MSG_MIRROR_ERA) {
		jh_mirror_era_msg_t *copy = g_rc_box_new0(jh_mirror_era_msg_t);

		*copy = *(const jh_mirror_era_msg_t *)msg->body;
		jh_publish(task, JH_MSG_MIRROR_ERA, copy, NULL);
	}
}

static void catalogue_fini(jh_task_t *task)
{
	catalogue_t *catalogue = jh_task_state(task);

	jh_fleet_config_unref(catalogue->config);
	g_hash_table_destroy(catalogue->draining);
	jh_dc_drains_free(catalogue->drains);
	jh_slow_start_uses_free(catalogue->slow_starts);
	g_free(catalogue);
}

const jh_module_t jh_catalogue_module = {
	.name = "catalogue",
	.doc = "configuration, members and primaries, read from the mirror's rows",
	.subscriptions = { JH_MSG_ROW, JH_MSG_TYPE_COUNT },
	.frames = { 0 },
	.init = catalogue_init,
	.on_message = catalogue_on_message,
	.fini = catalogue_fini,
};
