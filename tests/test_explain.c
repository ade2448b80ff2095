#include "jh_explain.h"
#include "runner.h"

#include <string.h>

/*
 * Guards against an explanation that shows the state of another VM, group or request as the reason
 * of a refusal, or that hides missing state. The request is explained from the log lines of two
 * VMs, which are in no order and include one duplicate and one line without an HLC timestamp.
 */

static const char *const log_lines[] = {
	"hlc=0000000003e80000 vm=vm-2 level=info module=lead event=phase group=db from=steady "
	"to=fencing epoch=9 took_ms=5",
	"hlc=0000000003840000 vm=vm-1 level=info module=catalogue event=primary group=db member=m-1 "
	"term=1 epoch=7",
	"hlc=0000000003840001 vm=vm-1 level=info module=catalogue event=primary group=other "
	"member=m-9 term=1 epoch=8",
	"hlc=0000000003e90000 vm=vm-2 level=info module=catalogue event=primary_changing group=db "
	"epoch=9",
	"hlc=0000000004b00000 vm=vm-1 level=notice module=gateway event=refused request=aa11 "
	"team=red route=r group=db code=busy age_ms=31 tries=0 state=I member=\"\" config=4 "
	"authority_ms=900 reason=\"no primary leads the group now\"",
	"hlc=0000000004b00001 vm=vm-1 level=notice module=gateway event=refused request=aa112 "
	"team=red route=r group=other code=busy reason=other",
	"hlc=0000000004ae0000 vm=vm-1 level=warning module=gateway event=cut_off authority_ms=-750 "
	"sessions=3",
	"hlc=0000000004c00000 vm=vm-1 level=warning module=log event=lines_dropped count=3 retried=3",
	"hlc=0000000004c00000 vm=vm-2 level=warning module=log event=lines_dropped count=8 member=8",
	"no line of a daemon",
	"hlc=0000000003840000 vm=vm-1 level=info module=catalogue event=primary group=db member=m-1 "
	"term=1 epoch=7",
};

static char *explain_request(const char *request)
{
	GPtrArray *lines = g_ptr_array_new_with_free_func(g_free);
	char *text;
	unsigned i;

	for (i = 0; i < G_N_ELEMENTS(log_lines); i++)
		g_ptr_array_add(lines, g_strdup(log_lines[i]));
	jh_explain_sort(lines);
	ck_assert_uint_eq(lines->len, G_N_ELEMENTS(log_lines) - 2);
	text = jh_explain_request(lines, request);
	g_ptr_array_free(lines, TRUE);
	return text;
}

static void assert_contains(const char *text, const char *part)
{
	ck_assert_msg(strstr(text, part) != NULL, "no '%s' in:\n%s", part, text);
}

START_TEST(test_decision_shows_state_of_its_vm)
{
	char *text = explain_request("aa11");

	assert_contains(text, "+0 ms vm-1 refused request=aa11");
	assert_contains(text, "primary, 300 ms old: primary group=db member=m-1 term=1 epoch=7\n");
	assert_contains(text, "change of primary, 200 ms old, by vm-2: phase group=db from=steady");
	assert_contains(text, "authority, 2 ms old: cut_off authority_ms=-750 sessions=3\n");
	assert_contains(text, "lines left out by vm-1 near then: count=3 retried=3\n");
	g_free(text);
}
END_TEST

/* Lines of another group, another request or the state of another VM must not be shown. */
START_TEST(test_unrelated_lines_are_omitted)
{
	char *text = explain_request("aa11");

	ck_assert_ptr_null(strstr(text, "group=other"));
	ck_assert_ptr_null(strstr(text, "primary_changing"));
	ck_assert_ptr_null(strstr(text, "aa112"));
	ck_assert_ptr_null(strstr(text, "count=8"));
	g_free(text);
}
END_TEST

START_TEST(test_missing_state_is_reported)
{
	char *text = explain_request("aa11");

	assert_contains(text, "configuration: no line says\n");
	assert_contains(text, "store: no line says\n");
	ck_assert_ptr_null(strstr(text, "connection: no line says"));
	g_free(text);
}
END_TEST

START_TEST(test_unknown_request_has_no_explanation)
{
	ck_assert_ptr_null(explain_request("aa"));
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		test_decision_shows_state_of_its_vm,
		test_unrelated_lines_are_omitted,
		test_missing_state_is_reported,
		test_unknown_request_has_no_explanation,
		NULL,
	};

	return run_tests("explain", tests);
}
