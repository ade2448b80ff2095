/* Start-up of a caller's connection (encryption requests, cancel requests, start-up parameters,
 * key) and checks of key and route; caller.c handles socket input and output, caller_message.c the
 * messages after start-up. Until the key has been checked, responses do not depend on whether the
 * team exists, nor on whether a route that requires a key exists, so that clients without a key
 * cannot discover these names.
 */

#include "internal/entry.h"

#include "jh_log.h"

#include <sodium.h>
#include <string.h>

/* Message type; it tells a client of a later minor version that protocol 3.0 is used. */
#define NEGOTIATE_PROTOCOL_VERSION 'v'

/* Short, because another entry VM can probably serve the caller immediately. */
#define ISOLATED_RETRY_AFTER_MS 1000u

/* ---- cancel requests ---- */

static void handle_cancel_request(_jh_caller_t *caller, const jh_v3_startup_t *startup)
{
	_jh_entry_t *entry = caller->entry;
	unsigned cursor = 0;
	_jh_caller_t *target;

	caller->state = JH_CALLER_CLOSING;
	while ((target = jh_table_next(entry->callers, &cursor)) != NULL) {
		_jh_request_t *request;

		if ((uint32_t)target->handle != startup->pid || target->secret != startup->secret ||
		    target->state != JH_CALLER_READY)
			continue;
		request = jh_table_get(entry->requests, target->request);
		if (request)
			_jh_request_cancel(request);
		return;
	}
}

/* ---- authorization ---- */

static int report_invalid_key(_jh_error_report_t *report)
{
	_jh_error_report_set(report, JH_REFUSE_INVALID_KEY, "the key is not valid for this team");
	report->fatal = true;
	return -1;
}

static int check_key(const _jh_caller_t *caller, const jh_config_t *config,
		     _jh_error_report_t *report)
{
	const jh_team_t *team = caller->team ? jh_config_find_team(config, caller->team) : NULL;

	if (caller->entry->isolated) {
		_jh_error_report_set(
			report, JH_REFUSE_ISOLATED,
			"this entry is cut off and can't tell whether keys are still valid");
		report->retry_after_ms = ISOLATED_RETRY_AFTER_MS;
		return -1;
	}
	if (!team || !*caller->key_digest || !jh_team_has_digest(team, caller->key_digest))
		return report_invalid_key(report);
	return 0;
}

bool _jh_caller_is_virtual(const _jh_caller_t *caller)
{
	return caller->route && g_str_equal(caller->route, JH_ENTRY_VIRTUAL_ROUTE);
}

const jh_route_t *_jh_caller_authorize(_jh_caller_t *caller, _jh_error_report_t *report)
{
	const jh_config_t *config = caller->entry->config;
	const jh_route_t *route;

	if (!config) {
		_jh_error_report_set(report, JH_REFUSE_NO_CONFIG,
				     "this entry has no configuration yet");
		report->retry_after_ms = 1000;
		return NULL;
	}
	route = caller->route ? jh_config_find_route(config, caller->route) : NULL;
	if (route && route->open_to_all)
		return route;
	if (check_key(caller, config, report) < 0)
		return NULL;
	if (!route) {
		_jh_error_report_set(report, JH_REFUSE_UNKNOWN_ROUTE, "there is no such route");
		return NULL;
	}
	if (!jh_route_allows(route, caller->team)) {
		_jh_error_report_set(report, JH_REFUSE_TEAM_NOT_ALLOWED,
				     "the team may not use this route");
		return NULL;
	}
	return route;
}

int _jh_caller_authorize_virtual(_jh_caller_t *caller, _jh_error_report_t *report)
{
	const jh_config_t *config = caller->entry->config;

	if (!config)
		return _jh_error_report_set(report, JH_REFUSE_NO_CONFIG,
					    "this entry has no configuration yet");
	if (check_key(caller, config, report) < 0)
		return -1;
	if (jh_config_find_team(config, JH_ENTRY_OPERATORS) &&
	    g_strcmp0(caller->team, JH_ENTRY_OPERATORS) != 0)
		return _jh_error_report_set(report, JH_REFUSE_TEAM_NOT_ALLOWED,
					    "only the team %s may use it", JH_ENTRY_OPERATORS);
	return 0;
}

/* Return: 0 if the caller has access, else -1 with the report set; the connection is then closed */
static int check_access(_jh_caller_t *caller, _jh_error_report_t *report)
{
	const jh_route_t *route;

	if (_jh_caller_is_virtual(caller))
		return _jh_caller_authorize_virtual(caller, report);
	route = _jh_caller_authorize(caller, report);
	/* The response does not reveal that a route exists that the team may not use. */
	if (!route && report->refusal == JH_REFUSE_TEAM_NOT_ALLOWED)
		_jh_error_report_set(report, JH_REFUSE_UNKNOWN_ROUTE, "there is no such route");
	return route ? 0 : -1;
}

static void startup_fail(_jh_caller_t *caller, _jh_error_report_t *report)
{
	report->fatal = true;
	jh_log(JH_LOG_INFO, "entry", "caller_refused",
	       "session=%" G_GUINT64_FORMAT " team=%s route=%s reason=%s", caller->handle,
	       jh_log_value(caller->team ? caller->team : "-"),
	       jh_log_value(caller->route ? caller->route : "-"), jh_log_value(report->message));
	_jh_caller_write_error(caller, report);
}

static void startup_finish(_jh_caller_t *caller)
{
	_jh_error_report_t report;

	if (check_access(caller, &report) < 0) {
		startup_fail(caller, &report);
		return;
	}
	ev_timer_stop(jh_task_loop(caller->entry->task), &caller->timer);
	caller->state = JH_CALLER_READY;
	caller->reader.max_message_bytes = JH_V3_MAX_MESSAGE_BYTES;
	jh_v3_write_auth_ok(_jh_caller_get_output(caller));
	_jh_params_report_all(caller);
	jh_v3_write_backend_key_data(_jh_caller_get_output(caller), (uint32_t)caller->handle,
				     caller->secret);
	if (caller->session.count > 0)
		_jh_caller_write_session(caller);
	_jh_caller_write_ready(caller);
	jh_log(JH_LOG_DEBUG, "entry", "caller_ready",
	       "session=%" G_GUINT64_FORMAT " team=%s route=%s", caller->handle,
	       jh_log_value(caller->team ? caller->team : "-"), jh_log_value(caller->route));
}

/* ---- start-up parameters ---- */

/* Stores only names that exist in the configuration: interned strings are never freed, so storing
 * arbitrary names would let unauthenticated clients exhaust memory.
 */
static void startup_set_team_and_route(_jh_caller_t *caller, const jh_v3_startup_t *startup)
{
	const jh_config_t *config = caller->entry->config;
	const char *user = jh_v3_startup_find_parameter(startup, "user");
	const char *database = jh_v3_startup_find_parameter(startup, "database");

	if (!database || !*database)
		database = user;
	if (config && user && jh_config_find_team(config, user))
		caller->team = g_intern_string(user);
	if (g_strcmp0(database, JH_ENTRY_VIRTUAL_ROUTE) == 0 ||
	    (config && database && jh_config_find_route(config, database)))
		caller->route = g_intern_string(database);
}

static bool is_connection_parameter(const char *name)
{
	return g_str_equal(name, "user") || g_str_equal(name, "database") ||
	       g_str_equal(name, "options") || g_str_equal(name, "replication") ||
	       g_str_has_prefix(name, "_pq_.");
}

static int startup_apply_settings(_jh_caller_t *caller, const jh_v3_startup_t *startup,
				  _jh_error_report_t *report)
{
	const char *options = jh_v3_startup_find_parameter(startup, "options");
	unsigned i;

	if (jh_v3_startup_find_parameter(startup, "replication"))
		return _jh_error_report_set(report, JH_REFUSE_UNSUPPORTED,
					    "replication connections are not supported");
	for (i = 0; i + 1 < startup->parameters->len; i += 2) {
		const char *name = g_ptr_array_index(startup->parameters, i);
		const char *value = g_ptr_array_index(startup->parameters, i + 1);

		if (is_connection_parameter(name) ||
		    _jh_param_set(caller, name, value, report) == 0)
			continue;
		/* Drivers send the time zone of their host by default, so an unsupported zone is
		 * not an error; ParameterStatus reports the zone in use.
		 */
		if (g_ascii_strcasecmp(name, "TimeZone") != 0)
			return -1;
	}
	return options ? _jh_params_set_options(caller, options, report) : 0;
}

static void write_protocol_negotiation(_jh_caller_t *caller)
{
	GByteArray *out = _jh_caller_get_output(caller);
	guint length_offset = jh_v3_message_begin(out, NEGOTIATE_PROTOCOL_VERSION);

	jh_v3_put_i32(out, 0);
	jh_v3_put_i32(out, 0);
	jh_v3_message_end(out, length_offset);
}

static bool route_needs_no_key(const _jh_caller_t *caller)
{
	const jh_config_t *config = caller->entry->config;
	const jh_route_t *route =
		config && caller->route ? jh_config_find_route(config, caller->route) : NULL;

	return route && route->open_to_all;
}

static void handle_startup_message(_jh_caller_t *caller, const jh_v3_startup_t *startup)
{
	_jh_error_report_t report;

	caller->reader.startup = false;
	if (caller->is_over_limit) {
		_jh_error_report_set(&report, JH_REFUSE_TOO_MANY_CALLERS,
				     "this entry has too many callers");
		report.retry_after_ms = 1000;
		startup_fail(caller, &report);
		return;
	}
	startup_set_team_and_route(caller, startup);
	if (startup->minor > 0)
		write_protocol_negotiation(caller);
	if (startup_apply_settings(caller, startup, &report) < 0) {
		startup_fail(caller, &report);
		return;
	}
	if (route_needs_no_key(caller)) {
		/* Without a key, the team name that the client sent is not proved. */
		caller->team = NULL;
		startup_finish(caller);
		return;
	}
	jh_v3_write_auth_cleartext(_jh_caller_get_output(caller));
	caller->state = JH_CALLER_PASSWORD;
}

/* ---- start-up messages ---- */

static void handle_password(_jh_caller_t *caller, const jh_v3_msg_t *msg)
{
	jh_error_t err = JH_ERROR_INIT;
	const char *key = NULL;
	char *digest;

	if (msg->type != JH_V3_PASSWORD)
		jh_error_set(&err, JH_ERR_PROTOCOL, "a password was expected");
	else
		key = jh_v3_string_read(msg, &err);
	if (!key) {
		_jh_caller_write_protocol_error(caller, &err);
		return;
	}
	digest = g_compute_checksum_for_string(G_CHECKSUM_SHA256, key, -1);
	g_strlcpy(caller->key_digest, digest, sizeof(caller->key_digest));
	sodium_memzero(digest, strlen(digest));
	g_free(digest);
	startup_finish(caller);
}

static void handle_startup_packet(_jh_caller_t *caller, const jh_v3_msg_t *msg)
{
	const uint8_t encryption_refused = JH_V3_ENCRYPTION_REFUSED;
	jh_error_t err = JH_ERROR_INIT;
	jh_v3_startup_t startup;

	if (jh_v3_startup_parse(&startup, msg, &err) < 0) {
		_jh_caller_write_protocol_error(caller, &err);
		return;
	}
	switch (startup.kind) {
	case JH_V3_SSL_REQUEST:
	case JH_V3_GSSENC_REQUEST:
		g_byte_array_append(_jh_caller_get_output(caller), &encryption_refused, 1);
		break;
	case JH_V3_CANCEL_REQUEST:
		handle_cancel_request(caller, &startup);
		break;
	case JH_V3_STARTUP:
		handle_startup_message(caller, &startup);
		break;
	}
	jh_v3_startup_clear(&startup);
}

void _jh_caller_handle_startup_message(_jh_caller_t *caller, const jh_v3_msg_t *msg)
{
	if (caller->state == JH_CALLER_STARTUP)
		handle_startup_packet(caller, msg);
	else
		handle_password(caller, msg);
}
