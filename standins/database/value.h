#ifndef SDB_VALUE_H
#define SDB_VALUE_H

#include "engine.h"

/**
 * DOC: Values on the wire
 *
 * Text and binary forms of the types that the stand-in knows: bool, int2, int4, int8, float4,
 * float8, text and bytea. Other types travel as text.
 */

/**
 * struct sdb_column - a column of a result
 * @name: its name; owned
 * @type: object id of its type
 */
typedef struct sdb_column {
	char *name;
	uint32_t type;
} sdb_column_t;

/** sdb_column_clear() - GArray clear function */
void sdb_column_clear(void *column);

/**
 * sdb_value_decode() - read a parameter
 *
 * Return: 0 with @value to be cleared, or -1 with JH_ERR_INVALID
 */
int sdb_value_decode(sdb_value_t *value, uint32_t type, int16_t format, const jh_v3_value_t *wire,
		     jh_error_t *err);

/** sdb_value_write() - append length and bytes of a result's column to a DataRow */
void sdb_value_write(GByteArray *out, sqlite3_stmt *stmt, int column, uint32_t type,
		     int16_t format);

/** sdb_text_write() - the same for a value given as text; NULL is the null value */
void sdb_text_write(GByteArray *out, const char *text, uint32_t type, int16_t format);

#endif
