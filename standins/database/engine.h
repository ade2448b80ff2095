#ifndef SDB_ENGINE_H
#define SDB_ENGINE_H

#include "jh_v3.h"

#include <sqlite3.h>

/**
 * DOC: Storage engine
 *
 * Stores the member's data in an SQLite file in WAL mode, so that readers see committed data while
 * a transaction writes. Each session opens its own connection. The file can be rebuilt from the
 * log: when entries are removed from the end of the log, the log is applied again to a new file,
 * the next generation. The module also encodes and applies the payload of log entries.
 */

/**
 * struct sdb_engine - the data files of a member
 * @directory: temporary directory; owned
 * @path: file of the present generation; owned
 * @generation: number of the present file, from 1
 * @apply_db: connection that applies log entries; owned
 */
typedef struct sdb_engine {
	char *directory;
	char *path;
	unsigned generation;
	sqlite3 *apply_db;
} sdb_engine_t;

/**
 * struct sdb_value - a parameter value
 * @type: SQLite's storage class, such as SQLITE_INTEGER
 * @integer: value of SQLITE_INTEGER
 * @real: value of SQLITE_FLOAT
 * @bytes: value of SQLITE_TEXT or SQLITE_BLOB, otherwise NULL; owned
 * @length: bytes in @bytes
 */
typedef struct sdb_value {
	int type;
	int64_t integer;
	double real;
	char *bytes;
	size_t length;
} sdb_value_t;

/**
 * sdb_engine_new() - create an empty database in a new temporary directory
 *
 * Also removes the directories of stand-ins that were killed.
 *
 * Return: new engine, or NULL with JH_ERR_SYSTEM
 */
sdb_engine_t *sdb_engine_new(jh_error_t *err);

/** sdb_engine_free() - close the database and remove its files */
void sdb_engine_free(sdb_engine_t *engine);

/**
 * sdb_engine_reset() - start the next generation with an empty database
 *
 * Connections of sessions stay on the file of their generation.
 *
 * Return: 0, or -1 with JH_ERR_SYSTEM and no usable database
 */
int sdb_engine_reset(sdb_engine_t *engine, jh_error_t *err);

/**
 * sdb_engine_open() - open an SQLite connection to the present generation's data file
 *
 * Return: new connection, to be closed with sqlite3_close_v2(), or NULL with JH_ERR_SYSTEM
 */
sqlite3 *sdb_engine_open(const sdb_engine_t *engine, jh_error_t *err);

/**
 * sdb_engine_apply() - apply a log entry: run its statements in one transaction
 * @engine: engine
 * @payload: built with sdb_payload_add(); NULL for an entry without statements
 * @err: set on failure; must be clear
 *
 * Stops at the first statement that fails and commits those before it.
 *
 * Return: 0, or -1 with JH_ERR_SYSTEM
 */
int sdb_engine_apply(sdb_engine_t *engine, GBytes *payload, jh_error_t *err);

/** sdb_value_clear() - free the contents of a value; a GArray clear function */
void sdb_value_clear(void *value);

/**
 * sdb_values_bind() - bind parameters of an SQLite statement
 * @stmt: statement; values that it has no parameter for are ignored
 * @values: array of sdb_value_t, or NULL for none; must stay unchanged until @stmt is reset
 *
 * Return: SQLITE_OK, or SQLite's error code
 */
int sdb_values_bind(sqlite3_stmt *stmt, const GArray *values);

/** sdb_payload_add() - append a statement to the payload of a log entry; @values may be NULL */
void sdb_payload_add(GByteArray *payload, const char *sql, const GArray *values);

#endif
