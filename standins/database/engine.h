#ifndef SDB_ENGINE_H
#define SDB_ENGINE_H

#include "jh_v3.h"

#include <sqlite3.h>

/**
 * DOC: Engine
 *
 * The member's data in an SQLite file in write-ahead mode, so that readers see committed data
 * while a transaction writes. Each session opens its own connection. When entries are removed
 * from the log, the data is built anew in a file of the next generation.
 */

/**
 * struct sdb_engine - the data
 * @directory: temporary directory; owned
 * @path: file of this generation; owned
 * @generation: counts the files
 * @writer: connection that applies the log
 */
typedef struct sdb_engine {
	char *directory;
	char *path;
	unsigned generation;
	sqlite3 *writer;
} sdb_engine_t;

/** struct sdb_value - a parameter as SQLite stores it */
typedef struct sdb_value {
	int type;
	int64_t integer;
	double real;
	char *bytes;
	size_t length;
} sdb_value_t;

/** sdb_engine_new() - make an empty database. Return: new, or NULL with the error set */
sdb_engine_t *sdb_engine_new(jh_error_t *err);

/** sdb_engine_free() - close it and remove its files */
void sdb_engine_free(sdb_engine_t *engine);

/** sdb_engine_reset() - start again with an empty database */
int sdb_engine_reset(sdb_engine_t *engine, jh_error_t *err);

/** sdb_engine_open() - a connection for a session. Return: new; close with sqlite3_close_v2() */
sqlite3 *sdb_engine_open(const sdb_engine_t *engine, jh_error_t *err);

/** sdb_engine_apply() - run the statements of a log entry in one transaction; NULL has none */
int sdb_engine_apply(sdb_engine_t *engine, GBytes *payload, jh_error_t *err);

/** sdb_value_clear() - GArray clear function */
void sdb_value_clear(void *value);

/** sdb_values_bind() - bind an array of sdb_value_t; values stay the caller's */
int sdb_values_bind(sqlite3_stmt *stmt, const GArray *values);

/** sdb_payload_add() - append a statement and its values (may be NULL) to a log entry */
void sdb_payload_add(GByteArray *payload, const char *sql, const GArray *values);

#endif
