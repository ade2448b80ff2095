#ifndef JH_SQL_SCAN_H
#define JH_SQL_SCAN_H

#include <stdbool.h>
#include <stddef.h>

/**
 * DOC: Scanning of SQL
 *
 * A lexer, not a parser: it splits a text into its top-level statements, as PostgreSQL does, and
 * keeps the first tokens of each. From these tokens a statement is classified either as a session
 * command, which the proxy answers or refuses itself, or as a statement that goes to a database
 * unchanged. Nothing is copied or freed: statements and tokens point into the text, which must
 * stay valid and unchanged while they are used.
 */

/** JH_SQL_MAX_TOKENS - number of tokens kept of a statement */
#define JH_SQL_MAX_TOKENS 10u

/** enum jh_sql_token_type - kinds of token */
typedef enum jh_sql_token_type {
	/** @JH_SQL_WORD: key word or name, quoted or not, with its dots: jasminehill.max_age */
	JH_SQL_WORD,
	/** @JH_SQL_STRING: '...', E'...' or dollar-quoted */
	JH_SQL_STRING,
	/** @JH_SQL_NUMBER: with its sign, if it is negative */
	JH_SQL_NUMBER,
	/** @JH_SQL_SYMBOL: any other single character */
	JH_SQL_SYMBOL,
} jh_sql_token_type_t;

/**
 * struct jh_sql_token - one token of a statement
 * @type: kind of token
 * @text: its first byte, after an opening quote; borrowed, not NUL-terminated
 * @length: bytes, without the quotes
 */
typedef struct jh_sql_token {
	jh_sql_token_type_t type;
	const char *text;
	size_t length;
} jh_sql_token_t;

/**
 * struct jh_sql_statement - one top-level statement
 * @text: its first byte after white space and comments; borrowed
 * @length: bytes, without the semicolon
 * @tokens: the first JH_SQL_MAX_TOKENS tokens
 * @token_count: number of @tokens that are set
 * @has_more_tokens: the statement has tokens that were not kept
 */
typedef struct jh_sql_statement {
	const char *text;
	size_t length;
	jh_sql_token_t tokens[JH_SQL_MAX_TOKENS];
	unsigned token_count;
	bool has_more_tokens;
} jh_sql_statement_t;

/**
 * jh_sql_next_statement() - read the next statement that is not empty
 * @cursor: where to start in a NUL-terminated text; moved past the statement and its semicolon
 * @statement: set; an unterminated quote or comment extends to the end of the text
 *
 * Return: false at the end of the text
 */
bool jh_sql_next_statement(const char **cursor, jh_sql_statement_t *statement);

/** enum jh_sql_kind - how the proxy handles a statement */
typedef enum jh_sql_kind {
	/** @JH_SQL_OTHER: goes to a database */
	JH_SQL_OTHER,
	JH_SQL_SET,
	JH_SQL_RESET,
	JH_SQL_RESET_ALL,
	JH_SQL_SHOW,
	JH_SQL_BEGIN,
	JH_SQL_BEGIN_READ_ONLY,
	/** @JH_SQL_END: COMMIT, END, ROLLBACK or ABORT of a whole transaction */
	JH_SQL_END,
	/** @JH_SQL_DISCARD_ALL: any form of DISCARD */
	JH_SQL_DISCARD_ALL,
	JH_SQL_DEALLOCATE,
	JH_SQL_DEALLOCATE_ALL,
	/** @JH_SQL_UNLISTEN: has no effect, since LISTEN is refused */
	JH_SQL_UNLISTEN,
	/** @JH_SQL_CLOSE_ALL: closes all cursors; these end with their transaction anyway */
	JH_SQL_CLOSE_ALL,
	/** @JH_SQL_UNLOCK_ALL: SELECT pg_advisory_unlock_all() */
	JH_SQL_UNLOCK_ALL,
	/**
	 * @JH_SQL_SESSION_STATE: is refused, because it leaves state in a database session
	 * (LISTEN, PREPARE, COPY, ...), or because it is a SET, RESET or DEALLOCATE of a form that
	 * is not supported
	 */
	JH_SQL_SESSION_STATE,
} jh_sql_kind_t;

/** JH_SQL_NAME_SIZE - bytes for the name of a parameter or prepared statement, with its NUL */
#define JH_SQL_NAME_SIZE 64u

/**
 * struct jh_sql_command - a classified statement
 * @kind: how the proxy handles it
 * @name: SET, RESET, SHOW, DEALLOCATE: the name, in lower case even if it was quoted
 * @value: SET: first token of the value, in which doubled quotes are still doubled; borrowed, not
 *	NUL-terminated; NULL for DEFAULT
 * @value_length: bytes of @value
 * @value_count: SET: 1 for a single value; more for a list, whose commas count as well
 */
typedef struct jh_sql_command {
	jh_sql_kind_t kind;
	char name[JH_SQL_NAME_SIZE];
	const char *value;
	size_t value_length;
	unsigned value_count;
} jh_sql_command_t;

/**
 * jh_sql_classify() - classify a statement by its first tokens
 * @statement: as set by a call of jh_sql_next_statement() that returned true
 * @command: set
 */
void jh_sql_classify(const jh_sql_statement_t *statement, jh_sql_command_t *command);

/**
 * jh_sql_kind_is_session_command() - check whether the proxy handles the kind itself
 *
 * Return: true if the proxy answers or refuses such a statement; false if a database executes it,
 * at least inside a transaction
 */
bool jh_sql_kind_is_session_command(jh_sql_kind_t kind);

#endif
