#ifndef SDB_SQL_H
#define SDB_SQL_H

#include "jh_v3.h"

#include <sqlite3.h>

/**
 * DOC: SQL statements
 *
 * Splits a query into statements, tokenizes each, and rewrites it from PostgreSQL's syntax to
 * SQLite's: $1 becomes ?1, an E'' string becomes a plain string, and ::type casts are dropped.
 * Classifies statements, since the stand-in runs some kinds without SQLite. Infers the types of
 * parameters and columns from casts and table definitions. There is no full parser: a statement
 * with a syntax error is passed to SQLite, which reports it.
 */

/** enum sdb_sql_kind - kind of a statement, by its first words */
typedef enum sdb_sql_kind {
	/** @SDB_SQL_EMPTY: no tokens */
	SDB_SQL_EMPTY,
	/** @SDB_SQL_ENGINE: run by SQLite */
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
	/** @SDB_SQL_GROUP_FETCH: another member fetches log entries */
	SDB_SQL_GROUP_FETCH,
	/** @SDB_SQL_UNSUPPORTED: starts with no known word; error 0A000 */
	SDB_SQL_UNSUPPORTED,
} sdb_sql_kind_t;

/** enum sdb_token_kind - kind of a token; a quoted name is a word */
typedef enum sdb_token_kind {
	SDB_TOKEN_WORD,
	SDB_TOKEN_NUMBER,
	SDB_TOKEN_STRING,
	SDB_TOKEN_PARAMETER,
	SDB_TOKEN_SYMBOL,
} sdb_token_kind_t;

/**
 * struct sdb_token - a token of a statement
 * @kind: kind of token
 * @text: words in lower case, strings and quoted names without quotes, NULL for parameters; owned
 * @parameter: number of a parameter, from 1; 0 for other kinds
 * @start: byte offset of its first byte in the rewritten text
 * @end: byte offset after its last byte
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
 * @kind: kind of statement
 * @text: text rewritten for SQLite; owned
 * @tokens: array of sdb_token_t; owned
 * @parameter_count: highest parameter number
 * @cast_types: array of uint32_t with @parameter_count elements, type OID that a parameter is cast
 *              to, or 0; owned
 */
typedef struct sdb_sql {
	sdb_sql_kind_t kind;
	char *text;
	GArray *tokens;
	unsigned parameter_count;
	GArray *cast_types;
} sdb_sql_t;

/**
 * sdb_sql_parse() - parse the first statement of a query
 * @text: query
 * @consumed: set to the bytes of the statement, with its semicolon; never 0 unless @text is empty
 *
 * Return: new statement, never NULL; free with sdb_sql_free()
 */
sdb_sql_t *sdb_sql_parse(const char *text, size_t *consumed);

/** sdb_sql_free() - free a statement; NULL is allowed */
void sdb_sql_free(sdb_sql_t *sql);

/**
 * sdb_sql_word() - text of a word
 * @sql: statement
 * @i: index of the token, from 0
 *
 * Return: borrowed, "" if there is no such token or it is not a word
 */
const char *sdb_sql_word(const sdb_sql_t *sql, unsigned i);

/** sdb_sql_has_word() - true if any token is the word @word, given in lower case */
bool sdb_sql_has_word(const sdb_sql_t *sql, const char *word);

/**
 * sdb_sql_arguments() - argument list of SELECT * FROM group_...(...), as SQL
 *
 * Return: new string, "" if there are no arguments or the statement has another form
 */
char *sdb_sql_arguments(const sdb_sql_t *sql);

/** sdb_type_by_name() - type OID of the type named in a declaration or a cast; text if unknown */
uint32_t sdb_type_by_name(const char *name);

/**
 * sdb_sql_column_type() - type OID of a column
 *
 * Looks it up in the tables after FROM, JOIN, INTO and UPDATE, in this order of the text.
 *
 * Return: type OID, or 0 if none of the tables has the column
 */
uint32_t sdb_sql_column_type(const sdb_sql_t *sql, sqlite3 *db, const char *column);

/**
 * sdb_sql_infer_types() - infer the parameter types that the client left open
 * @sql: statement
 * @db: connection whose schema is used
 * @types: array of uint32_t, by parameter; zeros are replaced by the inferred type OID, or by text
 */
void sdb_sql_infer_types(const sdb_sql_t *sql, sqlite3 *db, GArray *types);

#endif
