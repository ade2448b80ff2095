#ifndef SDB_VALUE_H
#define SDB_VALUE_H

#include "engine.h"

/**
 * DOC: Values in the protocol
 *
 * Converts parameters and result columns between SQLite's storage classes and the text and binary
 * formats of PostgreSQL's protocol. Handles bool, int2, int4, int8, float4, float8, text and bytea;
 * other types are treated as text.
 */

/**
 * struct sdb_column - a column of a result
 * @name: column name; owned
 * @type: type OID
 */
typedef struct sdb_column {
	char *name;
	uint32_t type;
} sdb_column_t;

/** sdb_column_clear() - free the contents of a column; a GArray clear function */
void sdb_column_clear(void *column);

/**
 * sdb_value_decode() - decode a parameter of a Bind message
 * @value: set to the result; free its contents with sdb_value_clear()
 * @type: type OID
 * @format: 0 for text, otherwise binary
 * @encoded: bytes of the message; data is NULL for SQL's NULL
 * @err: set on failure
 *
 * Return: 0, or -1 with JH_ERR_INVALID and no contents in @value
 */
int sdb_value_decode(sdb_value_t *value, uint32_t type, int16_t format,
		     const jh_v3_value_t *encoded, jh_error_t *err);

/**
 * sdb_value_write() - append a column of SQLite's current row to a DataRow, with its length
 * @out: message under construction
 * @stmt: SQLite statement on a row
 * @column: column number, from 0
 * @type: type OID of the column
 * @format: 0 for text, otherwise binary
 */
void sdb_value_write(GByteArray *out, sqlite3_stmt *stmt, int column, uint32_t type,
		     int16_t format);

/** sdb_text_write() - append a value given as text; NULL is SQL's NULL. See sdb_value_write() */
void sdb_text_write(GByteArray *out, const char *text, uint32_t type, int16_t format);

#endif
