#include "jh_sql_scan.h"

#include <glib.h>
#include <stdint.h>

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

/* The scanner splits any text into statements that lie within it, and scans it to the end. */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	char *text = g_strndup((const char *)data, size);
	const char *cursor = text;
	jh_sql_statement_t statement;
	jh_sql_command_t command;

	while (jh_sql_next_statement(&cursor, &statement)) {
		g_assert(statement.text + statement.length <= cursor);
		jh_sql_classify(&statement, &command);
	}
	g_assert(*cursor == '\0');
	g_free(text);
	return 0;
}
