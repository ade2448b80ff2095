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

/**
 * jh_tables_format_row() - make the platform's row from both tables, which must be valid JSON
 *
 * Return: new text ended by NUL, or NULL with the error set
 */
char *jh_tables_format_row(const char *routes, size_t routes_length, const char *pools,
			   size_t pools_length, const char *change_id, jh_error_t *err);

#endif
