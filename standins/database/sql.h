#ifndef SDB_SQL_H
#define SDB_SQL_H

#include "jh_v3.h"

#include <sqlite3.h>

/**
 * DOC: Statements
 *
 * Splits a query into statements and rewrites each for SQLite: $1 becomes ?1, E'' strings become
 * plain ones, casts are dropped. Tells apart the few statements that the stand-in runs itself.
 */

typedef enum sdb_sql_kind {
	SDB_SQL_EMPTY,
	/** @SDB_SQL_ENGINE: SQLite runs it */
	SDB_SQL_ENGINE,
	SDB_SQL_BEGIN,
	SDB_SQL_COMMIT,
	SDB_SQL_ROLLBACK,
	SDB_SQL_SAVEPOINT,
	SDB_SQL_RELEASE,
	SDB_SQL_ROLLBACK_TO,
	SDB_SQL_SET,
	SDB_SQL_RESET,
	SDB_SQL_SHOW,
	SDB_SQL_DISCARD,
	SDB_SQL_GROUP_STATUS,
	SDB_SQL_GROUP_WATCH,
	SDB_SQL_GROUP_FENCE,
	SDB_SQL_GROUP_PROMOTE,
	SDB_SQL_GROUP_FOLLOW,
	/** @SDB_SQL_GROUP_FETCH: of another member, for replication */
	SDB_SQL_GROUP_FETCH,
	SDB_SQL_UNSUPPORTED,
} sdb_sql_kind_t;

typedef enum sdb_token_kind {
	SDB_TOKEN_WORD,
	SDB_TOKEN_NUMBER,
	SDB_TOKEN_STRING,
	SDB_TOKEN_PARAMETER,
	SDB_TOKEN_SYMBOL,
} sdb_token_kind_t;

/**
 * struct sdb_token - a token of the statement
 * @kind: what it is
 * @text: words in lower case, strings and quoted names without quotes; owned
 * @parameter: number of a parameter
 * @start: where it begins in the rewritten text
 * @end: where it ends
 */
typedef struct sdb_token {
	sdb_token_kind_t kind;
	char *text;
	unsigned parameter;
	size_t start;
	size_t end;
} sdb_token_t;

/**
 * struct sdb_sql - one statement
 * @kind: who runs it
 * @text: rewritten for SQLite
 * @tokens: array of sdb_token_t
 * @parameters: highest number of a parameter
 * @casts: array of uint32_t, by parameter, type that it is cast to or 0
 */
typedef struct sdb_sql {
	sdb_sql_kind_t kind;
	char *text;
	GArray *tokens;
	unsigned parameters;
	GArray *casts;
} sdb_sql_t;

/** sdb_sql_read() - read the first statement; @used is set to its length. Return: new */
sdb_sql_t *sdb_sql_read(const char *text, size_t *used);
void sdb_sql_free(sdb_sql_t *sql);

/** sdb_sql_word() - token @i if it is a word. Return: borrowed; "" otherwise */
const char *sdb_sql_word(const sdb_sql_t *sql, unsigned i);

/** sdb_sql_has_word() - true if a word stands anywhere in the statement */
bool sdb_sql_has_word(const sdb_sql_t *sql, const char *word);

/** sdb_sql_arguments() - arguments of a group_...() function, as SQL. Return: new, "" if none */
char *sdb_sql_arguments(const sdb_sql_t *sql);

/** sdb_type_by_name() - type id of a type's name in a declaration or a cast */
uint32_t sdb_type_by_name(const char *name);

/** sdb_sql_column_type() - type of a column of a table that the statement names, or 0 */
uint32_t sdb_sql_column_type(const sdb_sql_t *sql, sqlite3 *db, const char *column);

/** sdb_sql_infer() - fill in the zeros of @types (uint32_t, by parameter) from the context */
void sdb_sql_infer(const sdb_sql_t *sql, sqlite3 *db, GArray *types);

#endif
