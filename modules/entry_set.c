/* Session parameters: SET, RESET, SHOW and the start-up parameter "options". Some parameters
 * control the proxy, and some are stored only because drivers set them when they connect. All
 * others are refused, since they would change a database session, which several callers share.
 * caller_batch.c runs the commands, caller_start.c the start-up; entry_show.c has the SHOW topics
 * for operators.
 */

#include "internal/entry.h"

#include "jh_log.h"
#include "jh_token.h"

#include <string.h>

#define VALUE_MAX_CHARS 256u
#define REQUEST_ID_MAX_CHARS 128u
#define DEADLINE_MAX_MS 3600000
#define MAX_AGE_MAX_MS 86400000

/**
 * struct param - a session parameter
 * @name: name in lower case
 * @reported_name: name in ParameterStatus messages; NULL if the parameter is not reported
 * @default_value: value until SET changes it; unused if @show is set
 * @accepted_values: patterns of the accepted values in lower case, in which "*" matches any text;
 *                   NULL if all are accepted; unused if @set is set
 * @set: sets the parameter, to its default if the value is NULL; NULL if the value is only stored
 * @show: returns the value, newly allocated; NULL if the value is only stored
 * @read_only: SET is refused
 * @is_encoding: values are compared by their letters and digits only
 */
typedef struct param {
	const char *name;
	const char *reported_name;
	const char *default_value;
	const char *const *accepted_values;
	int (*set)(_jh_caller_t *caller, const char *value, _jh_error_report_t *report);
	char *(*show)(_jh_caller_t *caller);
	bool read_only;
	bool is_encoding;
} param_t;

static const param_t params[];
static unsigned params_count(void);

/* ---- Values ---- */

static int refuse_value(_jh_error_report_t *report, const char *name, const char *value)
{
	return _jh_error_report_set(report, JH_REFUSE_INVALID_VALUE,
				    "invalid value for parameter \"%s\": %.60s", name,
				    jh_log_value(value));
}

/* Parses a duration with one of the units below, as in PostgreSQL; without one, it is in
 * milliseconds. Return: 0 or -1
 */
static int parse_ms(const char *text, int64_t minimum, int64_t maximum, int64_t *value)
{
	static const struct {
		const char *unit;
		int64_t ms;
	} units[] = { { "", 1 }, { "ms", 1 }, { "s", 1000 }, { "min", 60000 } };
	char *end = NULL;
	int64_t number = g_ascii_strtoll(text, &end, 10);
	unsigned i;

	if (end == text || number > maximum || number < minimum)
		return -1;
	for (i = 0; i < G_N_ELEMENTS(units); i++) {
		if (!g_str_equal(end, units[i].unit))
			continue;
		*value = number < 0 ? number : number * units[i].ms;
		return *value <= maximum ? 0 : -1;
	}
	return -1;
}

static int parse_bool(const char *text, bool *value)
{
	static const char *const on[] = { "on", "true", "yes", "1", "t", NULL };
	static const char *const off[] = { "off", "false", "no", "0", "f", NULL };
	char *lower = g_ascii_strdown(text, -1);
	int result = 0;

	if (g_strv_contains(on, lower))
		*value = true;
	else if (g_strv_contains(off, lower))
		*value = false;
	else
		result = -1;
	g_free(lower);
	return result;
}

static char *format_ms(int64_t ms)
{
	return g_strdup_printf("%" G_GINT64_FORMAT, ms);
}

/* ---- Parameters that control the proxy ---- */

static int set_session(_jh_caller_t *caller, const char *value, _jh_error_report_t *report)
{
	const jh_settings_t *settings = jh_kernel_settings(jh_task_kernel(caller->entry->task));
	jh_session_t session = { 0 };
	jh_error_t err = JH_ERROR_INIT;

	/* RESET starts a new session, which has no writes yet. */
	if (!value) {
		jh_session_clear(&caller->session);
		return 0;
	}
	if (jh_token_decode(value, settings->cluster_key, &session, &err) < 0) {
		_jh_error_report_set(report, JH_REFUSE_INVALID_TOKEN, "%s", err.message);
		jh_error_clear(&err);
		return -1;
	}
	if (jh_session_merge(&caller->session, &session) < 0) {
		jh_session_clear(&session);
		return _jh_error_report_set(report, JH_REFUSE_SESSION_FULL,
					    "a session writes to at most %u groups",
					    JH_SESSION_MAX_GROUPS);
	}
	jh_session_clear(&session);
	caller->session_changed_us = _jh_entry_now_us(caller->entry);
	return 0;
}

static char *show_session(_jh_caller_t *caller)
{
	return jh_token_encode(
		&caller->session,
		jh_kernel_settings(jh_task_kernel(caller->entry->task))->cluster_key);
}

static int set_max_age(_jh_caller_t *caller, const char *value, _jh_error_report_t *report)
{
	int64_t ms = 0;

	if (value && parse_ms(value, JH_AGE_ANY, MAX_AGE_MAX_MS, &ms) < 0)
		return refuse_value(report, "jasminehill.max_age", value);
	caller->has_max_age = value != NULL;
	caller->max_age_ms = ms;
	return 0;
}

static const jh_route_t *caller_find_route(const _jh_caller_t *caller)
{
	const jh_config_t *config = caller->entry->config;

	return config && caller->route ? jh_config_find_route(config, caller->route) : NULL;
}

static char *show_max_age(_jh_caller_t *caller)
{
	const jh_route_t *route = caller_find_route(caller);

	if (caller->has_max_age)
		return format_ms(caller->max_age_ms);
	return format_ms(route ? route->max_age_ms : 0);
}

static int set_deadline_param(_jh_caller_t *caller, const char *name, const char *value,
			      _jh_error_report_t *report)
{
	int64_t ms = 0;

	if (value && parse_ms(value, 0, DEADLINE_MAX_MS, &ms) < 0)
		return refuse_value(report, name, value);
	caller->deadline_ms = ms;
	return 0;
}

static int set_deadline(_jh_caller_t *caller, const char *value, _jh_error_report_t *report)
{
	return set_deadline_param(caller, "jasminehill.deadline", value, report);
}

static int set_statement_timeout(_jh_caller_t *caller, const char *value,
				 _jh_error_report_t *report)
{
	return set_deadline_param(caller, "statement_timeout", value, report);
}

static char *show_deadline(_jh_caller_t *caller)
{
	const jh_route_t *route = caller_find_route(caller);

	if (caller->deadline_ms > 0)
		return format_ms(caller->deadline_ms);
	return format_ms(route ? route->deadline_ms : 0);
}

static int set_request_id(_jh_caller_t *caller, const char *value, _jh_error_report_t *report)
{
	if (value && strlen(value) > REQUEST_ID_MAX_CHARS)
		return _jh_error_report_set(report, JH_REFUSE_INVALID_VALUE,
					    "a request id has at most %u characters",
					    REQUEST_ID_MAX_CHARS);
	g_free(caller->request_id);
	caller->request_id = value && *value ? g_strdup(value) : NULL;
	return 0;
}

static char *show_request_id(_jh_caller_t *caller)
{
	return g_strdup(caller->request_id ? caller->request_id : "");
}

static int set_route(_jh_caller_t *caller, const char *value, _jh_error_report_t *report)
{
	const char *previous_route = caller->route;

	if (!value)
		return _jh_error_report_set(report, JH_REFUSE_UNSUPPORTED,
					    "jasminehill.route can't be reset");
	if (caller->transaction != 'I')
		return _jh_error_report_set(report, JH_REFUSE_UNSUPPORTED,
					    "the route can't change inside a transaction");
	if (!caller->entry->config || !jh_config_find_route(caller->entry->config, value))
		return _jh_error_report_set(report, JH_REFUSE_UNKNOWN_ROUTE,
					    "there is no such route");
	caller->route = g_intern_string(value);
	if (_jh_caller_authorize(caller, report))
		return 0;
	caller->route = previous_route;
	return -1;
}

static char *show_route(_jh_caller_t *caller)
{
	return g_strdup(caller->route ? caller->route : "");
}

static int set_read_only(_jh_caller_t *caller, const char *value, _jh_error_report_t *report)
{
	bool on = false;

	if (value && parse_bool(value, &on) < 0)
		return refuse_value(report, "default_transaction_read_only", value);
	caller->read_only = on;
	return 0;
}

static char *show_read_only(_jh_caller_t *caller)
{
	return g_strdup(caller->read_only ? "on" : "off");
}

static char *show_team(_jh_caller_t *caller)
{
	return g_strdup(caller->team ? caller->team : "");
}

/* ---- Parameter table ---- */

static const char *const only_utf8[] = { "utf8", "unicode", NULL };
static const char *const only_iso[] = { "iso*", NULL };
static const char *const only_utc[] = { "utc", "etc/utc", "gmt", "zulu", NULL };
static const char *const only_on[] = { "on", "true", NULL };
static const char *const only_off[] = { "off", "0", "false", NULL };
static const char *const only_hex[] = { "hex", NULL };
static const char *const only_postgres[] = { "postgres", NULL };
static const char *const only_zero[] = { "0", "0ms", "0s", NULL };
static const char *const only_read_committed[] = { "read committed", NULL };

static const param_t params[] = {
	{ .name = "jasminehill.session", .set = set_session, .show = show_session },
	{ .name = "jasminehill.max_age", .set = set_max_age, .show = show_max_age },
	{ .name = "jasminehill.deadline", .set = set_deadline, .show = show_deadline },
	{ .name = "jasminehill.request_id", .set = set_request_id, .show = show_request_id },
	{ .name = "jasminehill.route", .set = set_route, .show = show_route },
	{ .name = "statement_timeout", .set = set_statement_timeout, .show = show_deadline },
	{ .name = "default_transaction_read_only",
	  .reported_name = "default_transaction_read_only",
	  .set = set_read_only,
	  .show = show_read_only },
	{ .name = "application_name", .reported_name = "application_name", .default_value = "" },
	{ .name = "client_encoding",
	  .reported_name = "client_encoding",
	  .default_value = "UTF8",
	  .accepted_values = only_utf8,
	  .is_encoding = true },
	{ .name = "datestyle",
	  .reported_name = "DateStyle",
	  .default_value = "ISO, MDY",
	  .accepted_values = only_iso },
	{ .name = "timezone",
	  .reported_name = "TimeZone",
	  .default_value = "UTC",
	  .accepted_values = only_utc },
	{ .name = "intervalstyle",
	  .reported_name = "IntervalStyle",
	  .default_value = "postgres",
	  .accepted_values = only_postgres },
	{ .name = "extra_float_digits", .default_value = "1" },
	{ .name = "client_min_messages", .default_value = "notice" },
	{ .name = "bytea_output", .default_value = "hex", .accepted_values = only_hex },
	{ .name = "standard_conforming_strings",
	  .reported_name = "standard_conforming_strings",
	  .default_value = "on",
	  .accepted_values = only_on },
	{ .name = "synchronize_seqscans", .default_value = "on" },
	{ .name = "row_security", .default_value = "on" },
	{ .name = "lock_timeout", .default_value = "0", .accepted_values = only_zero },
	{ .name = "idle_in_transaction_session_timeout",
	  .default_value = "0",
	  .accepted_values = only_zero },
	{ .name = "transaction_isolation",
	  .default_value = "read committed",
	  .accepted_values = only_read_committed },
	{ .name = "default_transaction_isolation",
	  .default_value = "read committed",
	  .accepted_values = only_read_committed },
	{ .name = "jit", .default_value = "off", .accepted_values = only_off },
	{ .name = "server_version",
	  .reported_name = "server_version",
	  .default_value = "15.0 (jasminehill)",
	  .read_only = true },
	{ .name = "server_version_num", .default_value = "150000", .read_only = true },
	{ .name = "server_encoding",
	  .reported_name = "server_encoding",
	  .default_value = "UTF8",
	  .read_only = true },
	{ .name = "integer_datetimes",
	  .reported_name = "integer_datetimes",
	  .default_value = "on",
	  .read_only = true },
	{ .name = "in_hot_standby",
	  .reported_name = "in_hot_standby",
	  .default_value = "off",
	  .read_only = true },
	{ .name = "is_superuser",
	  .reported_name = "is_superuser",
	  .default_value = "off",
	  .read_only = true },
	{ .name = "session_authorization",
	  .reported_name = "session_authorization",
	  .show = show_team,
	  .read_only = true },
	{ .name = "max_identifier_length", .default_value = "63", .read_only = true },
};

static unsigned params_count(void)
{
	return G_N_ELEMENTS(params);
}

static int param_find(const char *name)
{
	unsigned i;

	for (i = 0; i < params_count(); i++) {
		if (g_ascii_strcasecmp(params[i].name, name) == 0)
			return (int)i;
	}
	return -1;
}

/* ---- Stored parameters ---- */

/* PostgreSQL ignores punctuation in names of encodings: drivers write utf-8, UTF_8 and, with
 * quotes, 'utf-8'.
 */
static void text_remove_punctuation(char *text)
{
	char *out = text;

	for (; *text; text++) {
		if (g_ascii_isalnum(*text))
			*out++ = *text;
	}
	*out = '\0';
}

static bool value_is_accepted(const param_t *param, const char *value)
{
	const char *const *accepted_values = param->accepted_values;
	char *lower;
	bool found = false;

	if (strlen(value) > VALUE_MAX_CHARS)
		return false;
	if (!accepted_values)
		return true;
	lower = g_ascii_strdown(value, -1);
	if (param->is_encoding)
		text_remove_punctuation(lower);
	for (; *accepted_values && !found; accepted_values++)
		found = g_pattern_match_simple(*accepted_values, lower);
	g_free(lower);
	return found;
}

static const char *get_stored_value(const _jh_caller_t *caller, int i)
{
	if (caller->param_values && caller->param_values[i])
		return caller->param_values[i];
	return params[i].default_value;
}

static void report_param(_jh_caller_t *caller, int i)
{
	const param_t *param = &params[i];
	char *value = param->show ? param->show(caller) : g_strdup(get_stored_value(caller, i));

	if (param->reported_name)
		jh_v3_write_parameter_status(_jh_caller_get_output(caller), param->reported_name,
					     value);
	g_free(value);
}

static int store_value(_jh_caller_t *caller, int i, const char *value, _jh_error_report_t *report)
{
	const param_t *param = &params[i];

	if (value && !value_is_accepted(param, value))
		return _jh_error_report_set(report, JH_REFUSE_UNSUPPORTED,
					    "the proxy does not support %s = %.60s", param->name,
					    jh_log_value(value));
	if (!caller->param_values)
		caller->param_values = g_new0(char *, params_count());
	g_free(caller->param_values[i]);
	/* If a parameter has a list of accepted values, each of them means the default. So nothing
	 * is stored, and SHOW returns the default in its usual spelling.
	 */
	caller->param_values[i] = value && !param->accepted_values ? g_strdup(value) : NULL;
	return 0;
}

/* ---- Interface ---- */

int _jh_param_set(_jh_caller_t *caller, const char *name, const char *value,
		  _jh_error_report_t *report)
{
	int i = param_find(name);
	int result;

	if (i < 0)
		return _jh_error_report_set(
			report, JH_REFUSE_UNSUPPORTED,
			"parameter \"%.60s\" would change a database session, which "
			"the proxy shares; it is not supported",
			name);
	if (params[i].read_only)
		return _jh_error_report_set(report, JH_REFUSE_INVALID_VALUE,
					    "parameter \"%s\" can't be changed", params[i].name);
	result = params[i].set ? params[i].set(caller, value, report) :
				 store_value(caller, i, value, report);
	if (result == 0 && params[i].reported_name && caller->state == JH_CALLER_READY)
		report_param(caller, i);
	return result;
}

void _jh_params_reset_all(_jh_caller_t *caller)
{
	_jh_params_free(caller);
	caller->has_max_age = false;
	caller->deadline_ms = 0;
	caller->read_only = false;
	g_clear_pointer(&caller->request_id, g_free);
}

char *_jh_param_show(_jh_caller_t *caller, const char *name)
{
	int i = param_find(name);

	if (i < 0)
		return NULL;
	return params[i].show ? params[i].show(caller) : g_strdup(get_stored_value(caller, i));
}

void _jh_params_report_all(_jh_caller_t *caller)
{
	unsigned i;

	for (i = 0; i < params_count(); i++)
		report_param(caller, (int)i);
}

void _jh_params_free(_jh_caller_t *caller)
{
	unsigned i;

	if (!caller->param_values)
		return;
	for (i = 0; i < params_count(); i++)
		g_free(caller->param_values[i]);
	g_clear_pointer(&caller->param_values, g_free);
}

void _jh_caller_write_session(_jh_caller_t *caller)
{
	char *token = show_session(caller);

	jh_v3_write_parameter_status(_jh_caller_get_output(caller), "jasminehill.session", token);
	g_free(token);
}

/* ---- The start-up parameter "options" ---- */

/* Splits "options" at white space that no backslash escapes. Return: new array of new strings */
static GPtrArray *split_options(const char *options)
{
	GPtrArray *words = g_ptr_array_new_with_free_func(g_free);
	GString *word = NULL;

	for (; *options; options++) {
		if (g_ascii_isspace(*options)) {
			if (word)
				g_ptr_array_add(words, g_string_free(word, FALSE));
			word = NULL;
			continue;
		}
		if (!word)
			word = g_string_new(NULL);
		if (*options == '\\' && options[1])
			options++;
		g_string_append_c(word, *options);
	}
	if (word)
		g_ptr_array_add(words, g_string_free(word, FALSE));
	return words;
}

/* Sets NAME=VALUE. Hyphens in the name become underscores, as in PostgreSQL for --NAME=VALUE. */
static int set_option(_jh_caller_t *caller, const char *option, _jh_error_report_t *report)
{
	const char *separator = strchr(option, '=');
	char *name;
	int result;

	if (!separator)
		return _jh_error_report_set(report, JH_REFUSE_INVALID_VALUE,
					    "options: \"%.60s\" has no value", option);
	name = g_strndup(option, (size_t)(separator - option));
	g_strdelimit(name, "-", '_');
	result = _jh_param_set(caller, name, separator + 1, report);
	g_free(name);
	return result;
}

int _jh_params_set_options(_jh_caller_t *caller, const char *options, _jh_error_report_t *report)
{
	GPtrArray *words = split_options(options);
	int result = 0;
	unsigned i;

	for (i = 0; i < words->len && result == 0; i++) {
		const char *word = g_ptr_array_index(words, i);

		if (g_str_equal(word, "-c") && i + 1 < words->len)
			result = set_option(caller, g_ptr_array_index(words, ++i), report);
		else if (g_str_has_prefix(word, "-c") || g_str_has_prefix(word, "--"))
			result = set_option(caller, word + 2, report);
		else
			result = _jh_error_report_set(report, JH_REFUSE_UNSUPPORTED,
						      "options: \"%.60s\" is not supported", word);
	}
	g_ptr_array_free(words, TRUE);
	return result;
}
