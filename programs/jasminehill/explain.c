/* jasminehill explain: explains the outcome of a request from the log lines of all VMs. */

#include "command.h"

#include "jh_explain.h"

#include <stdio.h>
#include <string.h>

/* Adds the log lines of a text; ignores lines without an HLC timestamp. */
static void lines_add_text(GPtrArray *lines, const char *text)
{
	char **text_lines = g_strsplit(text, "\n", -1);
	unsigned i;

	for (i = 0; text_lines[i]; i++) {
		/* A log collector may have put a prefix before the daemon's line. */
		const char *log_line = strstr(text_lines[i], "hlc=");

		if (log_line)
			g_ptr_array_add(lines, g_strdup(log_line));
	}
	g_strfreev(text_lines);
}

static int lines_add_file(GPtrArray *lines, const char *path)
{
	GError *error = NULL;
	char *text = NULL;

	if (!g_file_get_contents(path, &text, NULL, &error)) {
		fprintf(stderr, "not read: %s\n", error->message);
		g_error_free(error);
		return -1;
	}
	lines_add_text(lines, text);
	g_free(text);
	return 0;
}

static void lines_add_stdin(GPtrArray *lines)
{
	GString *text = g_string_new(NULL);
	char buffer[65536];
	size_t count;

	while ((count = fread(buffer, 1, sizeof(buffer), stdin)) > 0)
		g_string_append_len(text, buffer, (gssize)count);
	lines_add_text(lines, text->str);
	g_string_free(text, TRUE);
}

static exit_status_t explain_run(int argc, const char **argv)
{
	struct poptOption options[] = { POPT_AUTOHELP POPT_TABLEEND };
	GPtrArray *lines = g_ptr_array_new_with_free_func(g_free);
	exit_status_t status = STATUS_USAGE;
	char **arguments = NULL;
	char *explanation = NULL;
	unsigned i;

	if (arguments_parse(&explain_command, argc, argv, options, 1, G_MAXINT, &arguments) < 0)
		goto done;
	status = STATUS_OK;
	for (i = 1; arguments[i]; i++) {
		if (lines_add_file(lines, arguments[i]) < 0)
			status = STATUS_FAILED;
	}
	if (i == 1)
		lines_add_stdin(lines);
	jh_explain_sort(lines);
	explanation = jh_explain_request(lines, arguments[0]);
	if (explanation) {
		fputs(explanation, stdout);
	} else {
		fprintf(stderr,
			"jasminehill explain: none of %u log lines mentions request %s; the request "
			"was answered (logged at level debug only), was never received, or its "
			"lines were dropped (see event lines_dropped)\n",
			lines->len, arguments[0]);
		status = STATUS_FAILED;
	}
done:
	g_free(explanation);
	g_strfreev(arguments);
	g_ptr_array_free(lines, TRUE);
	return status;
}

const subcommand_t explain_command = {
	.name = "explain",
	.arguments = "ID [LOG-FILE]...",
	.doc = "explain a request's outcome from log files (default: standard input)",
	.run = explain_run,
};
