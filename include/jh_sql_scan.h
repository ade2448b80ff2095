#ifndef JH_SQL_SCAN_H
#define JH_SQL_SCAN_H

#include <stdbool.h>
#include <stddef.h>

/**
 * DOC: Scanning of SQL
 *
 * Not a parser: a lexer that splits a text into its top-level statements, as PostgreSQL does, and
 * keeps the first tokens of each. They tell session commands, which the proxy answers or refuses,
 * from statements, which go to a database as they are.
 */

/** JH_SQL_MAX_TOKENS - first tokens kept of a statement */
#define JH_SQL_MAX_TOKENS 10u

/** enum jh_sql_token_type - kinds of token */
typedef enum jh_sql_token_type {
	/** @JH_SQL_WORD: key word or name, "quoted" or not, with its dots: jasminehill.max_age */
	JH_SQL_WORD,
	JH_SQL_STRING,
	JH_SQL_NUMBER,
	JH_SQL_SYMBOL,
} jh_sql_token_type_t;

/** struct jh_sql_token - a slice of the text, without the quotes */
typedef struct jh_sql_token {
	jh_sql_token_type_t type;
	const char *text;
	size_t length;
} jh_sql_token_t;

/**
 * struct jh_sql_statement - one top-level statement
 * @text: its first byte after white space and comments; borrowed
 * @length: bytes, without the semicolon
 * @tokens: the first ones
 * @token_count: how many of @tokens are set
 * @more: there are more tokens than were kept
 */
typedef struct jh_sql_statement {
	const char *text;
	size_t length;
	jh_sql_token_t tokens[JH_SQL_MAX_TOKENS];
	unsigned token_count;
	bool more;
} jh_sql_statement_t;

/**
 * jh_sql_next() - take the next statement that is not empty
 * @cursor: start of the text; moved behind the statement; the text ends with NUL
 * @statement: set
 *
 * Return: false at the end of the text
 */
bool jh_sql_next(const char **cursor, jh_sql_statement_t *statement);

/** enum jh_sql_kind - what a statement is to the proxy */
typedef enum jh_sql_kind {
	/** @JH_SQL_OTHER: for a database */
	JH_SQL_OTHER,
	JH_SQL_SET,
	JH_SQL_RESET,
	JH_SQL_RESET_ALL,
	JH_SQL_SHOW,
	JH_SQL_BEGIN,
	JH_SQL_BEGIN_READ_ONLY,
	/** @JH_SQL_END: COMMIT, END, ROLLBACK, ABORT of a whole transaction */
	JH_SQL_END,
	JH_SQL_DISCARD_ALL,
	JH_SQL_DEALLOCATE,
	JH_SQL_DEALLOCATE_ALL,
	/** @JH_SQL_UNLISTEN: stops to listen, which no session of the proxy does */
	JH_SQL_UNLISTEN,
	/** @JH_SQL_CLOSE_ALL: closes cursors, which end with their transaction */
	JH_SQL_CLOSE_ALL,
	/** @JH_SQL_UNLOCK_ALL: SELECT pg_advisory_unlock_all() */
	JH_SQL_UNLOCK_ALL,
	/** @JH_SQL_SESSION_STATE: leaves state in a database session: LISTEN, PREPARE, COPY ... */
	JH_SQL_SESSION_STATE,
} jh_sql_kind_t;

/** JH_SQL_MAX_NAME - longest name of a parameter or prepared statement, with its end */
#define JH_SQL_MAX_NAME 64u

/**
 * struct jh_sql_command - a statement as the proxy understands it
 * @kind: what it is
 * @name: SET, RESET, SHOW, DEALLOCATE: the name, in lower case unless it was quoted
 * @value: SET: borrowed slice of the text, its quotes still doubled; NULL for DEFAULT
 * @value_length: bytes of @value
 * @value_count: SET: values in the list; more than one only where the parameter takes lists
 */
typedef struct jh_sql_command {
	jh_sql_kind_t kind;
	char name[JH_SQL_MAX_NAME];
	const char *value;
	size_t value_length;
	unsigned value_count;
} jh_sql_command_t;

/** jh_sql_classify() - tell what a statement is */
void jh_sql_classify(const jh_sql_statement_t *statement, jh_sql_command_t *command);

/** jh_sql_kind_is_session() - true if the proxy answers or refuses the kind itself */
bool jh_sql_kind_is_session(jh_sql_kind_t kind);

#endif
