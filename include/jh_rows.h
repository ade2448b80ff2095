#ifndef JH_ROWS_H
#define JH_ROWS_H

#include <glib.h>

/**
 * struct jh_rows - a table of strings, which a module's show function returns to operators
 * @columns: names of the columns, char *; owned
 * @rows: arrays of char *, one string for each column; owned
 */
typedef struct jh_rows {
	GPtrArray *columns;
	GPtrArray *rows;
} jh_rows_t;

/** jh_rows_new() - make a table; @columns ends with NULL. Return: new; free with jh_rows_free() */
jh_rows_t *jh_rows_new(const char *const *columns);

/** jh_rows_add() - add a row: as many strings as there are columns, from @first on; copied */
void jh_rows_add(jh_rows_t *rows, const char *first, ...);

/** jh_rows_get_cell() - Return: borrowed text; @row and @column must exist */
const char *jh_rows_get_cell(const jh_rows_t *rows, unsigned row, unsigned column);

/** jh_rows_free() - free the table; NULL is allowed */
void jh_rows_free(jh_rows_t *rows);

#endif
