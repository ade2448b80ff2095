#ifndef JH_TABLES_H
#define JH_TABLES_H

#include "jh_config.h"

#include <stddef.h>

/**
 * DOC: Configuration tables in JSON
 *
 * Operators write the configuration as two JSON documents: the routes table (routes and teams) and
 * the pools table (groups and their databases). This module parses and checks both, and converts
 * them to and from the row of the platform's store that contains them together. Each invalid value
 * becomes a finding whose place reads like "routes[2].deadline_ms".
 */

/** JH_CONFIG_TABLE - table of the platform's store that contains the configuration */
#define JH_CONFIG_TABLE "config"

/** JH_CONFIG_ROW - row of that table with the configuration in force (postgresql profile) */
#define JH_CONFIG_ROW "current"

/**
 * jh_tables_parse() - parse and check both tables
 * @routes: JSON text of the routes table; need not end with NUL
 * @routes_length: length of @routes, bytes
 * @pools: JSON text of the pools table; need not end with NUL
 * @pools_length: length of @pools, bytes
 * @err: gets all findings; must be unset before
 *
 * Return: new configuration with version 0 and one reference, or NULL with findings
 */
jh_config_t *jh_tables_parse(const char *routes, size_t routes_length, const char *pools,
			     size_t pools_length, jh_error_t *err);

/**
 * jh_tables_parse_row() - parse and check the row of the platform's store
 * @text: body of the row; need not end with NUL
 * @length: length of @text, bytes
 * @version: version of the row
 * @err: gets all findings; must be unset before
 *
 * Return: new configuration with that version and one reference, or NULL with findings
 */
jh_config_t *jh_tables_parse_row(const char *text, size_t length, uint64_t version,
				 jh_error_t *err);

/** JH_TABLES_MAX_EARLIER_CHANGES - limit on the earlier change ids in a row */
#define JH_TABLES_MAX_EARLIER_CHANGES 32u

/**
 * jh_tables_format_row() - create the body of the platform's row from both tables
 * @routes: JSON text of the routes table; need not end with NUL
 * @routes_length: length of @routes, bytes
 * @pools: JSON text of the pools table; need not end with NUL
 * @pools_length: length of @pools, bytes
 * @changes: change ids (char *), at least one: the id of this change, then the ids of the row that
 *	is replaced, newest first
 * @err: gets a finding for each table that is not valid JSON; values are not checked
 *
 * The row keeps earlier change ids so that an operator whose response was lost can find out whether
 * the change took effect, even after other changes have followed.
 *
 * Return: new string, or NULL with findings
 */
char *jh_tables_format_row(const char *routes, size_t routes_length, const char *pools,
			   size_t pools_length, const GPtrArray *changes, jh_error_t *err);

/**
 * jh_tables_parse_change_ids() - get the change ids of a row
 * @text: body of the row; need not end with NUL
 * @length: length of @text, bytes
 *
 * Return: new array of char * that owns the ids, newest first; empty if the row has none or is not
 * valid JSON
 */
GPtrArray *jh_tables_parse_change_ids(const char *text, size_t length);

/**
 * jh_tables_split_row() - get the two tables of a row as indented JSON, for editing
 * @text: body of the row; need not end with NUL
 * @length: length of @text, bytes
 * @routes: gets a new string; unchanged after a failure
 * @pools: gets a new string; unchanged after a failure
 * @err: gets the findings
 *
 * Return: 0, or -1 with findings
 */
int jh_tables_split_row(const char *text, size_t length, char **routes, char **pools,
			jh_error_t *err);

#endif
