#include "jh_rows.h"

#include <stdarg.h>

static void row_free(gpointer data)
{
	g_ptr_array_free(data, TRUE);
}

jh_rows_t *jh_rows_new(const char *const *columns)
{
	jh_rows_t *rows = g_new0(jh_rows_t, 1);

	rows->columns = g_ptr_array_new_with_free_func(g_free);
	rows->rows = g_ptr_array_new_with_free_func(row_free);
	for (; *columns; columns++)
		g_ptr_array_add(rows->columns, g_strdup(*columns));
	return rows;
}

void jh_rows_add(jh_rows_t *rows, const char *first, ...)
{
	GPtrArray *row = g_ptr_array_new_with_free_func(g_free);
	va_list cells;
	unsigned i;

	g_ptr_array_add(row, g_strdup(first));
	va_start(cells, first);
	for (i = 1; i < rows->columns->len; i++)
		g_ptr_array_add(row, g_strdup(va_arg(cells, const char *)));
	va_end(cells);
	g_ptr_array_add(rows->rows, row);
}

const char *jh_rows_get_cell(const jh_rows_t *rows, unsigned row, unsigned column)
{
	return g_ptr_array_index((GPtrArray *)g_ptr_array_index(rows->rows, row), column);
}

void jh_rows_free(jh_rows_t *rows)
{
	if (!rows)
		return;
	g_ptr_array_free(rows->columns, TRUE);
	g_ptr_array_free(rows->rows, TRUE);
	g_free(rows);
}
