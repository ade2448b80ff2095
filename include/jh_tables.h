#ifndef JH_TABLES_H
#define JH_TABLES_H

#include "jh_config.h"

#include <stddef.h>

/**
 * DOC: Tables
 *
 * The JSON text of the two tables, as operators write them and as the platform's row holds them.
 * Every bad cell is a finding whose place reads like "routes[2].deadline_ms".
 */

/** JH_CONFIG_TABLE - the platform's table of the configuration */
#define JH_CONFIG_TABLE "config"

/** JH_CONFIG_ROW - its row */
#define JH_CONFIG_ROW "current"

/**
 * jh_tables_parse() - read and check both tables
 * @routes: JSON text of the routes table, not ended by NUL
 * @routes_length: its bytes
 * @pools: JSON text of the pools table
 * @pools_length: its bytes
 * @err: all findings
 *
 * Return: new configuration of version 0, or NULL with findings
 */
jh_config_t *jh_tables_parse(const char *routes, size_t routes_length, const char *pools,
			     size_t pools_length, jh_error_t *err);

/**
 * jh_tables_parse_row() - read and check the platform's row
 * @text: the row's body, not ended by NUL
 * @length: its bytes
 * @version: the row's version
 * @err: all findings
 *
 * Return: new configuration of that version, or NULL with findings
 */
jh_config_t *jh_tables_parse_row(const char *text, size_t length, uint64_t version,
				 jh_error_t *err);

/** JH_TABLES_CHANGES_KEPT - earlier change ids that a row keeps */
#define JH_TABLES_CHANGES_KEPT 32u

/**
 * jh_tables_format_row() - make the platform's row from both tables, which must be valid JSON
 * @routes: JSON text of the routes table, not ended by NUL
 * @routes_length: its bytes
 * @pools: JSON text of the pools table
 * @pools_length: its bytes
 * @changes: array of char *, change ids, this change's first, then those of the row replaced
 * @err: findings
 *
 * The earlier ids let an author whose answer was lost see that the change took effect, even if
 * another change has followed.
 *
 * Return: new text ended by NUL, or NULL with the error set
 */
char *jh_tables_format_row(const char *routes, size_t routes_length, const char *pools,
			   size_t pools_length, const GPtrArray *changes, jh_error_t *err);

/**
 * jh_tables_row_changes() - change ids of a row, newest first
 *
 * Return: new array of char *, empty if the row has none
 */
GPtrArray *jh_tables_row_changes(const char *text, size_t length);

/**
 * jh_tables_split_row() - give the text of each table of a row, for editing
 *
 * Return: 0 with new texts ended by NUL, or -1 with findings
 */
int jh_tables_split_row(const char *text, size_t length, char **routes, char **pools,
			jh_error_t *err);

#endif
