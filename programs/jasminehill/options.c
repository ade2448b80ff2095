/* Parsing of flags, and printing of errors and rows, shared by the subcommands. */

#include "command.h"

#include <stdio.h>
#include <string.h>

int arguments_parse(const subcommand_t *command, int argc, const char **argv,
		    const struct poptOption *options, int min_count, int max_count, char ***parsed)
{
	char *program_name = g_strconcat("jasminehill ", command->name, NULL);
	char *help_text = g_strconcat(command->arguments, " [FLAGS]\n\n", command->doc, NULL);
	const char **positional;
	poptContext context;
	int positional_count = 0;
	int result = -1;
	int popt_status;

	argv[0] = program_name;
	context = poptGetContext(program_name, argc, argv, options, 0);
	poptSetOtherOptionHelp(context, help_text);
	/* All options have 0 as their value, so a single call parses all flags. */
	popt_status = poptGetNextOpt(context);
	positional = poptGetArgs(context);
	while (positional && positional[positional_count])
		positional_count++;
	if (popt_status < -1) {
		fprintf(stderr, "%s: %s: %s\n", program_name,
			poptBadOption(context, POPT_BADOPTION_NOALIAS), poptStrerror(popt_status));
	} else if (positional_count < min_count || positional_count > max_count) {
		fprintf(stderr, "%s: %s; see %s --help\n", program_name,
			positional_count < min_count ? "too few arguments" : "too many arguments",
			program_name);
	} else {
		*parsed = positional ? g_strdupv((char **)positional) : g_new0(char *, 1);
		result = 0;
	}
	poptFreeContext(context);
	argv[0] = command->name;
	g_free(program_name);
	g_free(help_text);
	return result;
}

const char *setting_get(const char *flag, const char *variable)
{
	return flag ? flag : g_getenv(variable);
}

void error_print(const jh_error_t *err)
{
	unsigned i;

	if (jh_error_count_findings(err) == 0)
		fprintf(stderr, "jasminehill: %s\n", err->message);
	for (i = 0; i < jh_error_count_findings(err); i++) {
		const jh_finding_t *finding = &g_array_index(err->findings, jh_finding_t, i);

		fprintf(stderr, "%s: %s\n", finding->place, finding->message);
	}
}

/* Quotes a cell as in RFC 4180, if it contains a separator, a quote or a line break. */
static void cell_print_csv(const char *cell)
{
	if (!strpbrk(cell, ",\"\r\n")) {
		fputs(cell, stdout);
		return;
	}
	putchar('"');
	for (; *cell; cell++) {
		if (*cell == '"')
			putchar('"');
		putchar(*cell);
	}
	putchar('"');
}

static void row_print_csv(const GPtrArray *cells)
{
	unsigned i;

	for (i = 0; i < cells->len; i++) {
		if (i > 0)
			putchar(',');
		cell_print_csv(g_ptr_array_index(cells, i));
	}
	putchar('\n');
}

static void row_print_aligned(const GPtrArray *cells, const size_t *widths)
{
	unsigned i;

	for (i = 0; i < cells->len; i++) {
		const char *cell = g_ptr_array_index(cells, i);

		if (i + 1 < cells->len)
			printf("%-*s  ", (int)widths[i], cell);
		else
			printf("%s\n", cell);
	}
}

static void widths_update(size_t *widths, const GPtrArray *cells)
{
	unsigned i;

	for (i = 0; i < cells->len; i++)
		widths[i] = MAX(widths[i], strlen(g_ptr_array_index(cells, i)));
}

void rows_print(const jh_rows_t *rows, bool as_csv)
{
	size_t *widths = g_new0(size_t, rows->columns->len);
	unsigned i;

	widths_update(widths, rows->columns);
	for (i = 0; i < rows->rows->len; i++)
		widths_update(widths, g_ptr_array_index(rows->rows, i));
	if (as_csv)
		row_print_csv(rows->columns);
	else
		row_print_aligned(rows->columns, widths);
	for (i = 0; i < rows->rows->len; i++) {
		if (as_csv)
			row_print_csv(g_ptr_array_index(rows->rows, i));
		else
			row_print_aligned(g_ptr_array_index(rows->rows, i), widths);
	}
	g_free(widths);
}
