/* jasminehill explain: why a request ended as it did, from the logs of all machines. */

#include "command.h"

#include "jh_explain.h"

#include <stdio.h>
#include <string.h>

static void lines_add(GPtrArray *lines, const char *text)
{
	char **split = g_strsplit(text, "\n", -1);
	unsigned i;

	for (i = 0; split[i]; i++) {
		/* A collector may have put its own words before the line. */
		const char *stamp = strstr(split[i], "hlc=");

		if (stamp)
			g_ptr_array_add(lines, g_strdup(stamp));
	}
	g_strfreev(split);
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
	lines_add(lines, text);
	g_free(text);
	return 0;
}

static void lines_add_input(GPtrArray *lines)
{
	GString *text = g_string_new(NULL);
	char buffer[65536];
	size_t count;

	while ((count = fread(buffer, 1, sizeof(buffer), stdin)) > 0)
		g_string_append_len(text, buffer, (gssize)count);
	lines_add(lines, text->str);
	g_string_free(text, TRUE);
}

static exit_status_t explain_run(int argc, const char **argv)
{
	struct poptOption options[] = { POPT_AUTOHELP POPT_TABLEEND };
	GPtrArray *lines = g_ptr_array_new_with_free_func(g_free);
	exit_status_t status = STATUS_USAGE;
	char **arguments = NULL;
	char *text = NULL;
	unsigned i;

	if (arguments_parse(&explain_command, argc, argv, options, 1, G_MAXINT, &arguments) < 0)
		goto done;
	status = STATUS_OK;
	for (i = 1; arguments[i]; i++) {
		if (lines_add_file(lines, arguments[i]) < 0)
			status = STATUS_FAILED;
	}
	if (i == 1)
		lines_add_input(lines);
	jh_explain_sort(lines);
	text = jh_explain_request(lines, arguments[0]);
	if (text) {
		fputs(text, stdout);
	} else {
		fprintf(stderr,
			"jasminehill explain: none of %u lines names request %s; it was answered, or "
			"never came, or its lines were left out (event lines_dropped)\n",
			lines->len, arguments[0]);
		status = STATUS_FAILED;
	}
done:
	g_free(text);
	g_strfreev(arguments);
	g_ptr_array_free(lines, TRUE);
	return status;
}

const command_t explain_command = {
	.name = "explain",
	.arguments = "ID [LOG-FILE]...",
	.doc = "why a request ended as it did; logs from standard input without files",
	.run = explain_run,
};
