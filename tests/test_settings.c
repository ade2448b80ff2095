/*
 * Guards against a daemon that starts with invalid settings, reports only some of them, or lets an
 * environment variable override a flag.
 */

#include "jh_settings.h"

#include "runner.h"

#include <string.h>

#define KEY_HEX "000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f"

static const char *const valid_flags[] = {
	"jasminehilld",	      "--vm",	       "vm-1",		"--dc",	      "nairobi",
	"--listen",	      "127.0.0.1:0",   "--peer-listen", "[::1]:7000", "--platform",
	"http://10.0.0.1:80", "--cluster-key", KEY_HEX,
};

static bool has_finding(const jh_error_t *err, const char *place)
{
	unsigned i;

	for (i = 0; i < jh_error_count_findings(err); i++) {
		if (g_str_equal(g_array_index(err->findings, jh_finding_t, i).place, place))
			return true;
	}
	return false;
}

START_TEST(test_accepts_valid_settings)
{
	jh_settings_t settings;
	jh_error_t err = JH_ERROR_INIT;

	ck_assert_int_eq(jh_settings_parse(&settings, G_N_ELEMENTS(valid_flags),
					   (const char **)valid_flags, &err),
			 JH_SETTINGS_RUN);
	ck_assert_str_eq(settings.vm, "vm-1");
	ck_assert_str_eq(settings.peer_listen.host, "::1");
	ck_assert_uint_eq(settings.peer_listen.port, 7000);
	ck_assert_uint_eq(settings.cluster_key[31], 0x1f);
	jh_settings_clear(&settings);
}
END_TEST

START_TEST(test_reports_all_findings)
{
	const char *flags[] = { "jasminehilld",	 "--listen", "localhost:5432", "--dc", "a b",
				"--max-callers", "0" };
	jh_settings_t settings;
	jh_error_t err = JH_ERROR_INIT;

	g_setenv("JASMINEHILL_CLUSTER_KEY", "short", TRUE);
	ck_assert_int_eq(jh_settings_parse(&settings, G_N_ELEMENTS(flags), flags, &err), -1);
	ck_assert(has_finding(&err, "--vm"));
	ck_assert(has_finding(&err, "--listen"));
	ck_assert(has_finding(&err, "--dc"));
	ck_assert(has_finding(&err, "--peer-listen"));
	ck_assert(has_finding(&err, "--max-callers"));
	ck_assert(has_finding(&err, "JASMINEHILL_CLUSTER_KEY"));
	jh_settings_clear(&settings);
	jh_error_clear(&err);
}
END_TEST

START_TEST(test_flag_overrides_variable)
{
	jh_settings_t settings;
	jh_error_t err = JH_ERROR_INIT;

	g_setenv("JASMINEHILL_VM", "from-variable", TRUE);
	ck_assert_int_eq(jh_settings_parse(&settings, G_N_ELEMENTS(valid_flags),
					   (const char **)valid_flags, &err),
			 JH_SETTINGS_RUN);
	ck_assert_str_eq(settings.vm, "vm-1");
	jh_settings_clear(&settings);
}
END_TEST

/*
 * A deployment whose bound of configuration is shorter than two seconds ended every daemon at its
 * start.
 */
START_TEST(test_bounds_of_a_strict_deployment_are_accepted)
{
	const char *flags[G_N_ELEMENTS(valid_flags) + 4];
	jh_settings_t settings;
	jh_error_t err = JH_ERROR_INIT;

	memcpy(flags, valid_flags, sizeof(valid_flags));
	flags[G_N_ELEMENTS(valid_flags)] = "--config-bound";
	flags[G_N_ELEMENTS(valid_flags) + 1] = "250";
	flags[G_N_ELEMENTS(valid_flags) + 2] = "--member-drain";
	flags[G_N_ELEMENTS(valid_flags) + 3] = "0";
	ck_assert_int_eq(jh_settings_parse(&settings, G_N_ELEMENTS(flags), flags, &err),
			 JH_SETTINGS_RUN);
	ck_assert_int_eq(settings.config_bound_ms, 250);
	ck_assert_int_eq(settings.member_drain_ms, 0);
	jh_settings_clear(&settings);
}
END_TEST

/* Guards against a daemon that starts on a malformed topology or capacity. */
START_TEST(test_malformed_topology_and_capacity_are_findings)
{
	static const char *const invalid[][2] = {
		{ "--dc-regions", "nairobi" }, { "--dc-regions", "a=b,a=c" },
		{ "--cpu-share", "0" },	       { "--cpu-share", "nan" },
		{ "--link-mbps", "-1" },       { "--cold-excess", "0.5" },
		{ "--cold-slack", "-1" },      { "--dc-drain-bound", "x" },
	};
	const char *flags[G_N_ELEMENTS(valid_flags) + 2];
	jh_settings_t settings;
	jh_error_t err = JH_ERROR_INIT;
	unsigned i;

	memcpy(flags, valid_flags, sizeof(valid_flags));
	for (i = 0; i < G_N_ELEMENTS(invalid); i++) {
		flags[G_N_ELEMENTS(valid_flags)] = invalid[i][0];
		flags[G_N_ELEMENTS(valid_flags) + 1] = invalid[i][1];
		ck_assert_int_eq(jh_settings_parse(&settings, G_N_ELEMENTS(flags), flags, &err),
				 -1);
		ck_assert(has_finding(&err, invalid[i][0]));
		jh_settings_clear(&settings);
		jh_error_clear(&err);
	}
}
END_TEST

/* A deployment may name its bounds as fractions, and in seconds. */
START_TEST(test_durations_may_be_fractions_and_in_seconds)
{
	static const struct {
		const char *text;
		int milliseconds;
	} durations[] = { { "2.5s", 2500 }, { "6s", 6000 }, { "1500.0", 1500 }, { "250ms", 250 } };
	static const char *const invalid[] = { "", "s", "1.5x", "-1s", "1e9s", "nan", "0x10" };
	const char *flags[G_N_ELEMENTS(valid_flags) + 2];
	jh_settings_t settings;
	jh_error_t err = JH_ERROR_INIT;
	unsigned i;

	memcpy(flags, valid_flags, sizeof(valid_flags));
	flags[G_N_ELEMENTS(valid_flags)] = "--drain";
	for (i = 0; i < G_N_ELEMENTS(durations); i++) {
		flags[G_N_ELEMENTS(valid_flags) + 1] = durations[i].text;
		ck_assert_int_eq(jh_settings_parse(&settings, G_N_ELEMENTS(flags), flags, &err),
				 JH_SETTINGS_RUN);
		ck_assert_int_eq(settings.drain_ms, durations[i].milliseconds);
		jh_settings_clear(&settings);
	}
	for (i = 0; i < G_N_ELEMENTS(invalid); i++) {
		flags[G_N_ELEMENTS(valid_flags) + 1] = invalid[i];
		ck_assert_int_eq(jh_settings_parse(&settings, G_N_ELEMENTS(flags), flags, &err),
				 -1);
		ck_assert(has_finding(&err, "--drain"));
		jh_settings_clear(&settings);
		jh_error_clear(&err);
	}
}
END_TEST

int main(void)
{
	const TTest *const tests[] = { test_accepts_valid_settings,
				       test_reports_all_findings,
				       test_flag_overrides_variable,
				       test_bounds_of_a_strict_deployment_are_accepted,
				       test_malformed_topology_and_capacity_are_findings,
				       test_durations_may_be_fractions_and_in_seconds,
				       NULL };

	return run_tests("settings", tests);
}
