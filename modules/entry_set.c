/* Session parameters. Some are the proxy's own, some are kept because drivers set them at their
 * start; all others are refused, since they would be state of a database session that callers
 * share.
 */

#include "internal/entry.h"

#include "jh_log.h"
#include "jh_token.h"

#include <string.h>

#define TEXT_MAX_CHARS 256u
#define REQUEST_ID_MAX_CHARS 128u
#define DEADLINE_MAX_MS 3600000
#define MAX_AGE_MAX_MS 86400000

/** struct param - one session parameter; the table below is their whole list */
typedef struct param {
	const char *name;
	/* Reported to clients under this name; NULL if it is not. */
	const char *reported;
	const char *fallback;
	/* Accepted values, "*" at the end matches the rest; NULL: any text; only for kept ones. */
	const char *const *accepted;
	int (*set)(_jh_caller_t *caller, const char *value, _jh_report_t *report);
	char *(*show)(_jh_caller_t *caller);
	bool read_only;
	/* Only letters and digits of the value count. */
	bool is_encoding;
} param_t;

static const param_t params[];
static unsigned params_count(void);

/* ---- values ---- */

static int refuse_value(_jh_report_t *report, const char *name, const char *value)
{
	return _jh_report_set(report, JH_REFUSE_VALUE, "invalid value for parameter \"%s\": %.60s",
			      name, jh_log_value(value));
}

/* Milliseconds, with the units that PostgreSQL takes. Return: 0 or -1 */
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

static char *show_ms(int64_t ms)
{
	return g_strdup_printf("%" G_GINT64_FORMAT, ms);
}

/* ---- the proxy's own parameters ---- */

static int set_session(_jh_caller_t *caller, const char *value, _jh_report_t *report)
{
	const jh_settings_t *settings = jh_kernel_settings(jh_task_kernel(caller->entry->task));
	jh_session_t session = { 0 };
	jh_error_t err = JH_ERROR_INIT;

	/* RESET begins a new session, which has written nothing. */
	if (!value) {
		jh_session_clear(&caller->session);
		return 0;
	}
	if (jh_token_decode(value, settings->cluster_key, &session, &err) < 0) {
		_jh_report_set(report, JH_REFUSE_TOKEN, "%s", err.message);
		jh_error_clear(&err);
		return -1;
	}
	if (jh_session_merge(&caller->session, &session) < 0) {
		jh_session_clear(&session);
		return _jh_report_set(report, JH_REFUSE_SESSION_FULL,
				      "a session writes to at most %u groups",
				      JH_SESSION_MAX_GROUPS);
	}
	jh_session_clear(&session);
	caller->session_us = _jh_entry_now_us(caller->entry);
	return 0;
}

static char *show_session(_jh_caller_t *caller)
{
	return jh_token_encode(
		&caller->session,
		jh_kernel_settings(jh_task_kernel(caller->entry->task))->cluster_key);
}

static int set_max_age(_jh_caller_t *caller, const char *value, _jh_report_t *report)
{
	int64_t ms = 0;

	if (value && parse_ms(value, JH_AGE_ANY, MAX_AGE_MAX_MS, &ms) < 0)
		return refuse_value(report, "jasminehill.max_age", value);
	caller->has_max_age = value != NULL;
	caller->max_age_ms = ms;
	return 0;
}

static const jh_route_t *caller_route(const _jh_caller_t *caller)
{
	const jh_config_t *config = caller->entry->config;

	return config && caller->route ? jh_config_find_route(config, caller->route) : NULL;
}

static char *show_max_age(_jh_caller_t *caller)
{
	const jh_route_t *route = caller_route(caller);

	if (caller->has_max_age)
		return show_ms(caller->max_age_ms);
	return show_ms(route ? route->max_age_ms : 0);
}

static int set_deadline_of(_jh_caller_t *caller, const char *name, const char *value,
			   _jh_report_t *report)
{
	int64_t ms = 0;

	if (value && parse_ms(value, 0, DEADLINE_MAX_MS, &ms) < 0)
		return refuse_value(report, name, value);
	caller->deadline_ms = ms;
	return 0;
}

static int set_deadline(_jh_caller_t *caller, const char *value, _jh_report_t *report)
{
	return set_deadline_of(caller, "jasminehill.deadline", value, report);
}

static int set_statement_timeout(_jh_caller_t *caller, const char *value, _jh_report_t *report)
{
	return set_deadline_of(caller, "statement_timeout", value, report);
}

static char *show_deadline(_jh_caller_t *caller)
{
	const jh_route_t *route = caller_route(caller);

	if (caller->deadline_ms > 0)
		return show_ms(caller->deadline_ms);
	return show_ms(route ? route->deadline_ms : 0);
}

static int set_request_id(_jh_caller_t *caller, const char *value, _jh_report_t *report)
{
	if (value && strlen(value) > REQUEST_ID_MAX_CHARS)
		return _jh_report_set(report, JH_REFUSE_VALUE,
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

static int set_route(_jh_caller_t *caller, const char *value, _jh_report_t *report)
{
	const char *kept = caller->route;

	if (!value)
		return _jh_report_set(report, JH_REFUSE_UNSUPPORTED,
				      "jasminehill.route can't be reset");
	if (caller->transaction != 'I')
		return _jh_report_set(report, JH_REFUSE_UNSUPPORTED,
				      "the route can't change inside a transaction");
	if (!caller->entry->config || !jh_config_find_route(caller->entry->config, value))
		return _jh_report_set(report, JH_REFUSE_ROUTE, "there is no such route");
	caller->route = g_intern_string(value);
	if (_jh_caller_authorize(caller, report))
		return 0;
	caller->route = kept;
	return -1;
}

static char *show_route(_jh_caller_t *caller)
{
	return g_strdup(caller->route ? caller->route : "");
}

static int set_read_only(_jh_caller_t *caller, const char *value, _jh_report_t *report)
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

/* ---- the table ---- */

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
	  .reported = "default_transaction_read_only",
	  .set = set_read_only,
	  .show = show_read_only },
	{ .name = "application_name", .reported = "application_name", .fallback = "" },
	{ .name = "client_encoding",
	  .reported = "client_encoding",
	  .fallback = "UTF8",
	  .accepted = only_utf8,
	  .is_encoding = true },
	{ .name = "datestyle",
	  .reported = "DateStyle",
	  .fallback = "ISO, MDY",
	  .accepted = only_iso },
	{ .name = "timezone", .reported = "TimeZone", .fallback = "UTC", .accepted = only_utc },
	{ .name = "intervalstyle",
	  .reported = "IntervalStyle",
	  .fallback = "postgres",
	  .accepted = only_postgres },
	{ .name = "extra_float_digits", .fallback = "1" },
	{ .name = "client_min_messages", .fallback = "notice" },
	{ .name = "bytea_output", .fallback = "hex", .accepted = only_hex },
	{ .name = "standard_conforming_strings",
	  .reported = "standard_conforming_strings",
	  .fallback = "on",
	  .accepted = only_on },
	{ .name = "synchronize_seqscans", .fallback = "on" },
	{ .name = "row_security", .fallback = "on" },
	{ .name = "lock_timeout", .fallback = "0", .accepted = only_zero },
	{ .name = "idle_in_transaction_session_timeout", .fallback = "0", .accepted = only_zero },
	{ .name = "transaction_isolation",
	  .fallback = "read committed",
	  .accepted = only_read_committed },
	{ .name = "default_transaction_isolation",
	  .fallback = "read committed",
	  .accepted = only_read_committed },
	{ .name = "jit", .fallback = "off", .accepted = only_off },
	{ .name = "server_version",
	  .reported = "server_version",
	  .fallback = "15.0 (jasminehill)",
	  .read_only = true },
	{ .name = "server_version_num", .fallback = "150000", .read_only = true },
	{ .name = "server_encoding",
	  .reported = "server_encoding",
	  .fallback = "UTF8",
	  .read_only = true },
	{ .name = "integer_datetimes",
	  .reported = "integer_datetimes",
	  .fallback = "on",
	  .read_only = true },
	{ .name = "in_hot_standby",
	  .reported = "in_hot_standby",
	  .fallback = "off",
	  .read_only = true },
	{ .name = "is_superuser",
	  .reported = "is_superuser",
	  .fallback = "off",
	  .read_only = true },
	{ .name = "session_authorization",
	  .reported = "session_authorization",
	  .show = show_team,
	  .read_only = true },
	{ .name = "max_identifier_length", .fallback = "63", .read_only = true },
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

/* ---- kept parameters ---- */

/* PostgreSQL reads names of encodings so; drivers write utf-8, UTF_8 and 'utf-8' with quotes. */
static void text_keep_alphanumeric(char *text)
{
	char *out = text;

	for (; *text; text++) {
		if (g_ascii_isalnum(*text))
			*out++ = *text;
	}
	*out = '\0';
}

static bool value_accepted(const param_t *param, const char *value)
{
	const char *const *accepted = param->accepted;
	char *lower;
	bool found = false;

	if (strlen(value) > TEXT_MAX_CHARS)
		return false;
	if (!accepted)
		return true;
	lower = g_ascii_strdown(value, -1);
	if (param->is_encoding)
		text_keep_alphanumeric(lower);
	for (; *accepted && !found; accepted++)
		found = g_pattern_match_simple(*accepted, lower);
	g_free(lower);
	return found;
}

static const char *kept_value(const _jh_caller_t *caller, int i)
{
	if (caller->settings && caller->settings[i])
		return caller->settings[i];
	return params[i].fallback;
}

static void report_param(_jh_caller_t *caller, int i)
{
	const param_t *param = &params[i];
	char *value = param->show ? param->show(caller) : g_strdup(kept_value(caller, i));

	if (param->reported)
		jh_v3_write_parameter_status(_jh_caller_out(caller), param->reported, value);
	g_free(value);
}

static int keep(_jh_caller_t *caller, int i, const char *value, _jh_report_t *report)
{
	const param_t *param = &params[i];

	if (value && !value_accepted(param, value))
		return _jh_report_set(report, JH_REFUSE_UNSUPPORTED,
				      "the proxy does not support %s = %.60s", param->name,
				      jh_log_value(value));
	if (!caller->settings)
		caller->settings = g_new0(char *, params_count());
	g_free(caller->settings[i]);
	/* A parameter with a fixed set of values keeps the usual spelling of the only one. */
	caller->settings[i] = value && !param->accepted ? g_strdup(value) : NULL;
	return 0;
}

/* ---- interface ---- */

int _jh_set(_jh_caller_t *caller, const char *name, const char *value, _jh_report_t *report)
{
	int i = param_find(name);
	int result;

	if (i < 0)
		return _jh_report_set(report, JH_REFUSE_UNSUPPORTED,
				      "parameter \"%.60s\" would change a database session, which "
				      "the proxy shares; it is not supported",
				      name);
	if (params[i].read_only)
		return _jh_report_set(report, JH_REFUSE_VALUE, "parameter \"%s\" can't be changed",
				      params[i].name);
	result = params[i].set ? params[i].set(caller, value, report) :
				 keep(caller, i, value, report);
	if (result == 0 && params[i].reported && caller->state == JH_CALLER_READY)
		report_param(caller, i);
	return result;
}

void _jh_set_reset_all(_jh_caller_t *caller)
{
	_jh_set_free(caller);
	caller->has_max_age = false;
	caller->deadline_ms = 0;
	caller->read_only = false;
	g_clear_pointer(&caller->request_id, g_free);
}

char *_jh_set_show(_jh_caller_t *caller, const char *name)
{
	int i = param_find(name);

	if (i < 0)
		return NULL;
	return params[i].show ? params[i].show(caller) : g_strdup(kept_value(caller, i));
}

void _jh_set_report_all(_jh_caller_t *caller)
{
	unsigned i;

	for (i = 0; i < params_count(); i++)
		report_param(caller, (int)i);
}

void _jh_set_free(_jh_caller_t *caller)
{
	unsigned i;

	if (!caller->settings)
		return;
	for (i = 0; i < params_count(); i++)
		g_free(caller->settings[i]);
	g_clear_pointer(&caller->settings, g_free);
}

void _jh_caller_show_session(_jh_caller_t *caller)
{
	char *token = show_session(caller);

	jh_v3_write_parameter_status(_jh_caller_out(caller), "jasminehill.session", token);
	g_free(token);
}

/* ---- the start-up parameter "options" ---- */

/* Words are separated by spaces; a backslash takes the next character as it is. */
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

/* @option is NAME=VALUE; in --NAME=VALUE, hyphens in the name stand for underscores. */
static int set_option(_jh_caller_t *caller, const char *option, _jh_report_t *report)
{
	const char *sign = strchr(option, '=');
	char *name;
	int result;

	if (!sign)
		return _jh_report_set(report, JH_REFUSE_VALUE, "options: \"%.60s\" has no value",
				      option);
	name = g_strndup(option, (size_t)(sign - option));
	g_strdelimit(name, "-", '_');
	result = _jh_set(caller, name, sign + 1, report);
	g_free(name);
	return result;
}

int _jh_set_options(_jh_caller_t *caller, const char *options, _jh_report_t *report)
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
			result = _jh_report_set(report, JH_REFUSE_UNSUPPORTED,
						"options: \"%.60s\" is not supported", word);
	}
	g_ptr_array_free(words, TRUE);
	return result;
}
