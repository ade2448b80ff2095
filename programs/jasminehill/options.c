/* Flags, errors and tables, shared by the subcommands. */

#include "command.h"

#include <stdio.h>
#include <string.h>

int arguments_parse(const command_t *command, int argc, const char **argv,
		    const struct poptOption *options, int min, int max, char ***out)
{
	char *program = g_strconcat("jasminehill ", command->name, NULL);
	char *usage = g_strconcat(command->arguments, " [FLAGS]\n\n", command->doc, NULL);
	const char **rest;
	poptContext context;
	int count = 0;
	int result = -1;
	int code;

	argv[0] = program;
	context = poptGetContext(program, argc, argv, options, 0);
	poptSetOtherOptionHelp(context, usage);
	code = poptGetNextOpt(context);
	rest = poptGetArgs(context);
	while (rest && rest[count])
		count++;
	if (code < -1) {
		fprintf(stderr, "%s: %s: %s\n", program,
			poptBadOption(context, POPT_BADOPTION_NOALIAS), poptStrerror(code));
	} else if (count < min || count > max) {
		fprintf(stderr, "%s: %s; see %s --help\n", program,
			count < min ? "arguments are missing" : "there are too many arguments",
			program);
	} else {
		*out = rest ? g_strdupv((char **)rest) : g_new0(char *, 1);
		result = 0;
	}
	poptFreeContext(context);
	argv[0] = command->name;
	g_free(program);
	g_free(usage);
	return result;
}

const char *setting_text(const char *flag, const char *variable)
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

/* ---- tables ---- */

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
