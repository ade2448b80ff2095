#include "jh_settings.h"

#include "jh_topology.h"

#include <arpa/inet.h>
#include <popt.h>
#include <stdio.h>
#include <string.h>

#define DEFAULT_MAX_CALLERS 20000
#define DEFAULT_RECORD_LIMIT_MB 64
#define DEFAULT_DRAIN_MS 30000
#define DEFAULT_CONFIG_BOUND_MS 10000
#define DEFAULT_MEMBER_DRAIN_MS 5000
#define DEFAULT_DC_DRAIN_MS 5000

#define MAX_CALLERS_LIMIT 1000000
#define MAX_RECORD_LIMIT_MB 4096
#define MAX_DRAIN_MS 3600000
#define MAX_CONFIG_BOUND_MS 3600000
#define MAX_MEMBER_DRAIN_MS 3600000
#define MAX_DC_DRAIN_MS 3600000
#define MAX_CPU_SHARE 1024
#define MAX_LINK_MBPS 1e6
#define MAX_COLD_EXCESS 100
#define MAX_COLD_SLACK 1000000

#define NAME_MAX_CHARS 63

/*
 * One setting as text. "place" is the flag or variable that the text came from, for findings; a
 * setting without a default is required.
 */
typedef struct setting {
	const char *flag;
	const char *variable;
	const char *default_text;
	const char *doc;
	const char *value_name;
	char *text;
	const char *place;
} setting_t;

enum setting_index {
	SETTING_VM,
	SETTING_DC,
	SETTING_LISTEN,
	SETTING_PEER_LISTEN,
	SETTING_PLATFORM,
	SETTING_CLUSTER_KEY,
	SETTING_MAX_CALLERS,
	SETTING_RECORD_LIMIT,
	SETTING_DRAIN,
	SETTING_LOG_LEVEL,
	SETTING_PROFILE,
	SETTING_READY_LISTEN,
	SETTING_CONTROL,
	SETTING_CONFIG_BOUND,
	SETTING_MEMBER_DRAIN,
	SETTING_DC_REGIONS,
	SETTING_CPU_SHARE,
	SETTING_LINK,
	SETTING_DC_DRAIN,
	SETTING_COLD_EXCESS,
	SETTING_COLD_SLACK,
	SETTING_COUNT,
};

static const setting_t setting_templates[SETTING_COUNT] = {
	[SETTING_VM] = { "--vm", "JASMINEHILL_VM", NULL,
			 "name of this VM, as in the platform's list", "NAME" },
	[SETTING_DC] = { "--dc", "JASMINEHILL_DC", NULL, "data centre of this VM", "NAME" },
	[SETTING_LISTEN] = { "--listen", "JASMINEHILL_LISTEN", NULL, "address for callers",
			     "IP:PORT" },
	[SETTING_PEER_LISTEN] = { "--peer-listen", "JASMINEHILL_PEER_LISTEN", NULL,
				  "address for other daemons", "IP:PORT" },
	[SETTING_PLATFORM] = { "--platform", "JASMINEHILL_PLATFORM", NULL,
			       "the platform's table service and object store", "URL" },
	[SETTING_CLUSTER_KEY] = { "--cluster-key", "JASMINEHILL_CLUSTER_KEY", NULL,
				  "secret shared by all daemons; prefer the variable",
				  "64 HEX DIGITS" },
	[SETTING_MAX_CALLERS] = { "--max-callers", "JASMINEHILL_MAX_CALLERS",
				  G_STRINGIFY(DEFAULT_MAX_CALLERS), "limit on client connections",
				  "COUNT" },
	[SETTING_RECORD_LIMIT] = { "--record-limit", "JASMINEHILL_RECORD_LIMIT",
				   G_STRINGIFY(DEFAULT_RECORD_LIMIT_MB),
				   "limit on memory for record lines not yet stored", "MEGABYTES" },
	[SETTING_DRAIN] = { "--drain", "JASMINEHILL_DRAIN", G_STRINGIFY(DEFAULT_DRAIN_MS),
			    "limit on the duration of a graceful shutdown", "TIME" },
	[SETTING_LOG_LEVEL] = { "--log-level", "JASMINEHILL_LOG_LEVEL", "info",
				"error, warning, info or debug", "LEVEL" },
	[SETTING_PROFILE] = { "--profile", "JASMINEHILL_PROFILE", "postgresql",
			      "protocols of callers, databases and platform", "postgresql|fleet" },
	[SETTING_READY_LISTEN] = { "--ready-listen", "JASMINEHILL_READY_LISTEN", "",
				   "address for health checks and metrics (fleet)", "IP:PORT" },
	[SETTING_CONTROL] = { "--control", "JASMINEHILL_CONTROL", "",
			      "the platform's interface for promotions (fleet)", "URL" },
	[SETTING_CONFIG_BOUND] = { "--config-bound", "JASMINEHILL_CONFIG_BOUND",
				   G_STRINGIFY(DEFAULT_CONFIG_BOUND_MS),
				   "callers are refused if a newer configuration has been missing "
				   "for this long (fleet)",
				   "TIME" },
	[SETTING_MEMBER_DRAIN] = { "--member-drain", "JASMINEHILL_MEMBER_DRAIN",
				   G_STRINGIFY(DEFAULT_MEMBER_DRAIN_MS),
				   "a database gets no new work later than this after it has said "
				   "that it leaves (fleet)",
				   "TIME" },
	[SETTING_DC_REGIONS] = { "--dc-regions", "JASMINEHILL_DC_REGIONS", "",
				 "region of each data centre (fleet)", "DC=REGION,..." },
	[SETTING_CPU_SHARE] = { "--cpu-share", "JASMINEHILL_CPU_SHARE", "1",
				"share of a processor core that this VM has (fleet)", "NUMBER" },
	[SETTING_LINK] = { "--link-mbps", "JASMINEHILL_LINK_MBPS", "1000",
			   "bandwidth of this VM's network link, Mbit/s (fleet)", "NUMBER" },
	[SETTING_DC_DRAIN] = { "--dc-drain-bound", "JASMINEHILL_DC_DRAIN_BOUND",
			       G_STRINGIFY(DEFAULT_DC_DRAIN_MS),
			       "a database gets nothing more later than this after the drain of "
			       "its data centre was requested (fleet)",
			       "TIME" },
	[SETTING_COLD_EXCESS] = { "--cold-excess", "JASMINEHILL_COLD_EXCESS", "1",
				  "factor that the platform tolerates on the rate of a database "
				  "that has just started (fleet)",
				  "NUMBER" },
	[SETTING_COLD_SLACK] = { "--cold-slack", "JASMINEHILL_COLD_SLACK", "0",
				 "requests in a second that it tolerates on top (fleet)", "COUNT" },
};

/* ---- Values ---- */

static int setting_parse_name(char **out, const setting_t *setting, jh_error_t *err)
{
	const char *c;
	size_t length = strlen(setting->text);

	if (length == 0 || length > NAME_MAX_CHARS)
		return jh_error_add_finding(err, setting->place, "must have 1 to %d characters",
					    NAME_MAX_CHARS);
	for (c = setting->text; *c; c++) {
		if (!g_ascii_isalnum(*c) && !strchr("-_.", *c))
			return jh_error_add_finding(
				err, setting->place,
				"must consist of letters, digits, '-', '_' and '.'");
	}
	*out = g_strdup(setting->text);
	return 0;
}

static int setting_parse_number(int64_t *out, const setting_t *setting, int64_t min, int64_t max,
				jh_error_t *err)
{
	char *end = NULL;
	int64_t value = g_ascii_strtoll(setting->text, &end, 10);

	if (end == setting->text || *end || value < min || value > max)
		return jh_error_add_finding(err, setting->place,
					    "must be a whole number from %" G_GINT64_FORMAT
					    " to %" G_GINT64_FORMAT,
					    min, max);
	*out = value;
	return 0;
}

/* Parses a decimal number with the unit "s" or "ms", or in milliseconds if it has no unit. */
static int setting_parse_duration(int *out_ms, const setting_t *setting, int max_ms,
				  jh_error_t *err)
{
	char *end = NULL;
	double value = g_ascii_strtod(setting->text, &end);
	bool is_decimal = strspn(setting->text, "0123456789.") == (size_t)(end - setting->text);

	if (g_str_equal(end, "s"))
		value *= 1000;
	if (end == setting->text || !is_decimal || value > max_ms ||
	    (*end && !g_str_equal(end, "s") && !g_str_equal(end, "ms")))
		return jh_error_add_finding(err, setting->place,
					    "must be a time of at most %d ms, such as 1500 or 1.5s",
					    max_ms);
	*out_ms = (int)value;
	return 0;
}

static int setting_parse_decimal(double *out, const setting_t *setting, double min, double max,
				 jh_error_t *err)
{
	char *end = NULL;
	double value = g_ascii_strtod(setting->text, &end);

	if (end == setting->text || *end || !(value >= min) || value > max)
		return jh_error_add_finding(err, setting->place, "must be a number from %g to %g",
					    min, max);
	*out = value;
	return 0;
}

static int setting_parse_dc_regions(char **out, const setting_t *setting, jh_error_t *err)
{
	jh_topology_t *topology = jh_topology_new(setting->text);

	if (!topology)
		return jh_error_add_finding(err, setting->place,
					    "must be DC=REGION pairs, separated by commas");
	jh_topology_free(topology);
	*out = g_strdup(setting->text);
	return 0;
}

static int setting_parse_key(uint8_t *out, const setting_t *setting, jh_error_t *err)
{
	unsigned i;

	if (strlen(setting->text) != 2 * JH_CLUSTER_KEY_BYTES)
		return jh_error_add_finding(err, setting->place, "must have %d hexadecimal digits",
					    2 * JH_CLUSTER_KEY_BYTES);
	for (i = 0; i < JH_CLUSTER_KEY_BYTES; i++) {
		int high = g_ascii_xdigit_value(setting->text[2 * i]);
		int low = g_ascii_xdigit_value(setting->text[2 * i + 1]);

		if (high < 0 || low < 0)
			return jh_error_add_finding(err, setting->place,
						    "must have hexadecimal digits only");
		out[i] = (uint8_t)(high << 4 | low);
	}
	return 0;
}

static int setting_parse_url(char **out, const setting_t *setting, jh_error_t *err)
{
	if (!g_str_has_prefix(setting->text, "http://") &&
	    !g_str_has_prefix(setting->text, "https://"))
		return jh_error_add_finding(err, setting->place,
					    "must begin with http:// or https://");
	*out = g_strdup(setting->text);
	return 0;
}

static int setting_parse_log_level(char **out, const setting_t *setting, jh_error_t *err)
{
	static const char *const levels[] = { "error", "warning", "notice", "info", "debug", NULL };

	if (!g_strv_contains(levels, setting->text))
		return jh_error_add_finding(err, setting->place,
					    "must be error, warning, info or debug");
	*out = g_strdup(setting->text);
	return 0;
}

static int setting_parse_profile(char **out, const setting_t *setting, jh_error_t *err)
{
	static const char *const profiles[] = { "postgresql", "fleet", NULL };

	if (!g_strv_contains(profiles, setting->text))
		return jh_error_add_finding(err, setting->place, "must be postgresql or fleet");
	*out = g_strdup(setting->text);
	return 0;
}

static bool host_is_ip(const char *host)
{
	struct in6_addr address;

	return inet_pton(AF_INET, host, &address) == 1 || inet_pton(AF_INET6, host, &address) == 1;
}

int jh_address_parse(jh_address_t *address, const char *text, const char *place, jh_error_t *err)
{
	const char *colon = strrchr(text, ':');
	char *host = NULL;
	char *end = NULL;
	int64_t port;
	int result = -1;

	if (!colon) {
		jh_error_add_finding(err, place, "must be IP:PORT");
		goto done;
	}
	if (text[0] == '[' && colon > text + 1 && colon[-1] == ']')
		host = g_strndup(text + 1, (gsize)(colon - text - 2));
	else
		host = g_strndup(text, (gsize)(colon - text));
	if (!host_is_ip(host)) {
		jh_error_add_finding(err, place, "'%s' is not a numeric IP address", host);
		goto done;
	}
	port = g_ascii_strtoll(colon + 1, &end, 10);
	if (end == colon + 1 || *end || port < 0 || port > UINT16_MAX) {
		jh_error_add_finding(err, place, "'%s' is not a TCP port number", colon + 1);
		goto done;
	}
	address->host = g_steal_pointer(&host);
	address->port = (uint16_t)port;
	result = 0;
done:
	g_free(host);
	return result;
}

/* ---- Command line and environment ---- */

/* Gives each setting without a flag the value of its environment variable, or else its default. */
static void settings_fill_missing(setting_t *settings, jh_error_t *err)
{
	unsigned i;

	for (i = 0; i < SETTING_COUNT; i++) {
		setting_t *setting = &settings[i];
		const char *variable = g_getenv(setting->variable);

		if (setting->text) {
			setting->place = setting->flag;
		} else if (variable) {
			setting->text = g_strdup(variable);
			setting->place = setting->variable;
		} else if (setting->default_text) {
			setting->text = g_strdup(setting->default_text);
			setting->place = setting->flag;
		} else {
			jh_error_add_finding(err, setting->flag, "is required (or the variable %s)",
					     setting->variable);
		}
	}
}

static void settings_parse_values(jh_settings_t *out, setting_t *settings, jh_error_t *err)
{
	int64_t number = 0;

	if (settings[SETTING_VM].text)
		setting_parse_name(&out->vm, &settings[SETTING_VM], err);
	if (settings[SETTING_DC].text)
		setting_parse_name(&out->dc, &settings[SETTING_DC], err);
	if (settings[SETTING_LISTEN].text)
		jh_address_parse(&out->listen, settings[SETTING_LISTEN].text,
				 settings[SETTING_LISTEN].place, err);
	if (settings[SETTING_PEER_LISTEN].text)
		jh_address_parse(&out->peer_listen, settings[SETTING_PEER_LISTEN].text,
				 settings[SETTING_PEER_LISTEN].place, err);
	if (settings[SETTING_PLATFORM].text)
		setting_parse_url(&out->platform_url, &settings[SETTING_PLATFORM], err);
	if (settings[SETTING_CLUSTER_KEY].text)
		setting_parse_key(out->cluster_key, &settings[SETTING_CLUSTER_KEY], err);
	if (setting_parse_number(&number, &settings[SETTING_MAX_CALLERS], 1, MAX_CALLERS_LIMIT,
				 err) == 0)
		out->max_callers = (int)number;
	if (setting_parse_number(&number, &settings[SETTING_RECORD_LIMIT], 1, MAX_RECORD_LIMIT_MB,
				 err) == 0)
		out->record_limit_bytes = number * 1024 * 1024;
	setting_parse_duration(&out->drain_ms, &settings[SETTING_DRAIN], MAX_DRAIN_MS, err);
	setting_parse_duration(&out->config_bound_ms, &settings[SETTING_CONFIG_BOUND],
			       MAX_CONFIG_BOUND_MS, err);
	setting_parse_duration(&out->member_drain_ms, &settings[SETTING_MEMBER_DRAIN],
			       MAX_MEMBER_DRAIN_MS, err);
	setting_parse_dc_regions(&out->dc_regions, &settings[SETTING_DC_REGIONS], err);
	setting_parse_decimal(&out->cpu_share, &settings[SETTING_CPU_SHARE], 0.001, MAX_CPU_SHARE,
			      err);
	setting_parse_decimal(&out->link_mbps, &settings[SETTING_LINK], 0.001, MAX_LINK_MBPS, err);
	setting_parse_duration(&out->dc_drain_ms, &settings[SETTING_DC_DRAIN], MAX_DC_DRAIN_MS,
			       err);
	setting_parse_decimal(&out->cold_excess, &settings[SETTING_COLD_EXCESS], 1, MAX_COLD_EXCESS,
			      err);
	if (setting_parse_number(&number, &settings[SETTING_COLD_SLACK], 0, MAX_COLD_SLACK, err) ==
	    0)
		out->cold_slack = (int)number;
	setting_parse_log_level(&out->log_level, &settings[SETTING_LOG_LEVEL], err);
	if (setting_parse_profile(&out->profile, &settings[SETTING_PROFILE], err) == 0 &&
	    g_str_equal(out->profile, "fleet")) {
		jh_address_parse(&out->ready_listen, settings[SETTING_READY_LISTEN].text,
				 settings[SETTING_READY_LISTEN].place, err);
		setting_parse_url(&out->control_url, &settings[SETTING_CONTROL], err);
	}
}

static void options_init(struct poptOption *options, setting_t *settings)
{
	unsigned i;

	for (i = 0; i < SETTING_COUNT; i++) {
		options[i] = (struct poptOption){
			.longName = settings[i].flag + 2,
			.argInfo = POPT_ARG_STRING,
			.arg = &settings[i].text,
			.descrip = settings[i].doc,
			.argDescrip = settings[i].value_name,
		};
	}
}

static void help_print_variables(const setting_t *settings)
{
	unsigned i;

	puts("\nEach flag has an environment variable, which is read if the flag is not given:");
	for (i = 0; i < SETTING_COUNT; i++)
		printf("  %-16s %-28s %s%s\n", settings[i].flag, settings[i].variable,
		       settings[i].default_text ? "default " : "needed",
		       settings[i].default_text ? settings[i].default_text : "");
	puts("\nThe daemon runs until SIGTERM or SIGINT, which start a graceful shutdown.");
}

int jh_settings_parse(jh_settings_t *settings, int argc, const char **argv, jh_error_t *err)
{
	setting_t raw_settings[SETTING_COUNT];
	struct poptOption options[SETTING_COUNT + 4] = { { 0 } };
	int help = 0;
	int version = 0;
	int check_only = 0;
	poptContext context;
	int code;
	int result = -1;
	unsigned i;

	memset(settings, 0, sizeof(*settings));
	memcpy(raw_settings, setting_templates, sizeof(raw_settings));
	options_init(options, raw_settings);
	options[SETTING_COUNT] = (struct poptOption){ "check",	   0, POPT_ARG_NONE,
						      &check_only, 0, "check the settings and exit",
						      NULL };
	options[SETTING_COUNT + 1] = (struct poptOption){
		"version", 0, POPT_ARG_NONE, &version, 0, "print the version and exit", NULL
	};
	options[SETTING_COUNT + 2] = (struct poptOption){ "help", '?', POPT_ARG_NONE,
							  &help,  0,   "print this help and exit",
							  NULL };
	context = poptGetContext("jasminehilld", argc, argv, options, 0);
	while ((code = poptGetNextOpt(context)) > 0)
		continue;
	if (code < -1) {
		jh_error_add_finding(err, poptBadOption(context, POPT_BADOPTION_NOALIAS), "%s",
				     poptStrerror(code));
		goto done;
	}
	if (poptPeekArg(context)) {
		jh_error_add_finding(err, poptPeekArg(context), "is not a flag");
		goto done;
	}
	if (help) {
		poptPrintHelp(context, stdout, 0);
		help_print_variables(raw_settings);
		result = JH_SETTINGS_EXIT;
		goto done;
	}
	if (version) {
		puts("jasminehilld " JH_VERSION);
		result = JH_SETTINGS_EXIT;
		goto done;
	}
	settings_fill_missing(raw_settings, err);
	settings_parse_values(settings, raw_settings, err);
	if (err->code != JH_ERR_NONE)
		goto done;
	result = check_only ? JH_SETTINGS_EXIT : JH_SETTINGS_RUN;
	if (check_only)
		puts("settings are valid");
done:
	poptFreeContext(context);
	for (i = 0; i < SETTING_COUNT; i++)
		g_free(raw_settings[i].text);
	return result;
}

void jh_settings_clear(jh_settings_t *settings)
{
	g_free(settings->vm);
	g_free(settings->dc);
	g_free(settings->listen.host);
	g_free(settings->peer_listen.host);
	g_free(settings->platform_url);
	g_free(settings->log_level);
	g_free(settings->profile);
	g_free(settings->ready_listen.host);
	g_free(settings->control_url);
	g_free(settings->dc_regions);
	explicit_bzero(settings->cluster_key, sizeof(settings->cluster_key));
	memset(settings, 0, sizeof(*settings));
}
