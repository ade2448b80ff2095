#include "jh_error.h"

#include <stdarg.h>

int jh_error_set(jh_error_t *err, jh_errcode_t code, const char *format, ...)
{
	va_list args;

	g_assert(code != JH_ERR_NONE);
	if (!err || err->code != JH_ERR_NONE)
		return -1;
	err->code = code;
	va_start(args, format);
	g_vsnprintf(err->message, sizeof(err->message), format, args);
	va_end(args);
	return -1;
}

static void clear_finding(gpointer data)
{
	jh_finding_t *finding = data;

	g_free(finding->place);
	g_free(finding->message);
}

int jh_error_add_finding(jh_error_t *err, const char *place, const char *format, ...)
{
	jh_finding_t finding;
	va_list args;

	if (!err)
		return -1;
	if (!err->findings) {
		err->findings = g_array_new(FALSE, FALSE, sizeof(jh_finding_t));
		g_array_set_clear_func(err->findings, clear_finding);
	}
	va_start(args, format);
	finding.message = g_strdup_vprintf(format, args);
	va_end(args);
	finding.place = g_strdup(place);
	g_array_append_val(err->findings, finding);
	return jh_error_set(err, JH_ERR_INVALID, "the input is invalid");
}

unsigned jh_error_count_findings(const jh_error_t *err)
{
	return err->findings ? err->findings->len : 0;
}

char *jh_error_format(const jh_error_t *err)
{
	GString *text = g_string_new(err->message);
	unsigned i;

	for (i = 0; i < jh_error_count_findings(err); i++) {
		const jh_finding_t *finding = &g_array_index(err->findings, jh_finding_t, i);

		g_string_append_printf(text, "\n%s: %s", finding->place, finding->message);
	}
	return g_string_free(text, FALSE);
}

void jh_error_clear(jh_error_t *err)
{
	if (err->findings)
		g_array_free(err->findings, TRUE);
	*err = (jh_error_t)JH_ERROR_INIT;
}
