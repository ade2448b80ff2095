#ifndef JH_WIRE_H
#define JH_WIRE_H

#include "jh_view.h"

/**
 * DOC: Interface to the line protocol
 *
 * The gateway and the leader work with statements, log positions and error codes; a jh_wire_t
 * parses them from lines and writes them as lines. Parsers split the line in place: the strings of
 * a message point into the line and are valid as long as it is unchanged. Words that are compared
 * or used as names have no NUL; a line with a NUL in one of them is not valid.
 */

/**
 * enum jh_code - error codes of statements
 *
 * "No effect" means that the attempt is guaranteed not to have taken effect, so that a retry is
 * safe.
 */
typedef enum jh_code {
	/** @JH_CODE_NONE: success */
	JH_CODE_NONE,
	/** @JH_CODE_BUSY: no effect; there is no capacity at the moment */
	JH_CODE_BUSY,
	/** @JH_CODE_ABORTED: no effect; the transaction was rolled back */
	JH_CODE_ABORTED,
	/** @JH_CODE_BEHIND: no effect; the member has not applied the required position */
	JH_CODE_BEHIND,
	/** @JH_CODE_READ_ONLY: no effect; the member is not the primary */
	JH_CODE_READ_ONLY,
	/** @JH_CODE_WRONG_MEMBER: no effect; the address belongs to another member or service */
	JH_CODE_WRONG_MEMBER,
	/** @JH_CODE_TOO_MANY_CONNECTIONS: no effect; the member's connection limit is reached */
	JH_CODE_TOO_MANY_CONNECTIONS,
	/** @JH_CODE_FAILED: the statement ran and failed */
	JH_CODE_FAILED,
	/** @JH_CODE_NO_STATEMENT: not run; there is no prepared statement of that name */
	JH_CODE_NO_STATEMENT,
	/** @JH_CODE_TIMEOUT: no result within the route's timeout; the statement may have run */
	JH_CODE_TIMEOUT,
	/** @JH_CODE_NO_KEY: not run; the caller's key belongs to no team */
	JH_CODE_NO_KEY,
	/** @JH_CODE_NO_ROUTE: not run; there is no route of that name */
	JH_CODE_NO_ROUTE,
	/** @JH_CODE_TOO_BIG: not run; the message exceeds the size limit */
	JH_CODE_TOO_BIG,
	/** @JH_CODE_BAD_MESSAGE: not run; the message is malformed or not allowed at this point */
	JH_CODE_BAD_MESSAGE,
	/** @JH_CODE_UNKNOWN: the statement may have run; its result was lost */
	JH_CODE_UNKNOWN,
	/** @JH_CODE_OTHER: a code that this version does not know; the statement may have run */
	JH_CODE_OTHER,
} jh_code_t;

/** enum jh_statement_type - kinds of statement; the last three are sent only by the proxy itself */
typedef enum jh_statement_type {
	JH_STATEMENT_INVALID,
	JH_STATEMENT_BEGIN,
	JH_STATEMENT_BEGIN_READ,
	JH_STATEMENT_COMMIT,
	JH_STATEMENT_ROLLBACK,
	JH_STATEMENT_READ,
	JH_STATEMENT_WRITE,
	JH_STATEMENT_SET,
	JH_STATEMENT_PREPARE,
	JH_STATEMENT_EXECUTE,
	JH_STATEMENT_DEALLOCATE,
	/* Never parsed from a caller's message. */
	JH_STATEMENT_RESET,
	JH_STATEMENT_STATUS,
	JH_STATEMENT_STEP_DOWN,
} jh_statement_type_t;

/**
 * struct jh_text - bytes of a field that extends to the end of its line: any but CR LF; borrowed
 * @bytes: not terminated
 */
typedef struct jh_text {
	const char *bytes;
	size_t length;
} jh_text_t;

/** jh_text_of() - the bytes of @owner, which may be NULL */
jh_text_t jh_text_of(GBytes *owner);

/** jh_text_of_string() - the bytes of a string, without its NUL */
jh_text_t jh_text_of_string(const char *string);

/** jh_text_copy() - Return: new copy; NULL if there are no bytes at all */
GBytes *jh_text_copy(jh_text_t text);

/**
 * struct jh_statement - a parsed statement; strings are borrowed
 * @type: kind of statement
 * @text: the whole statement, as it is forwarded; for SET, PREPARE and EXECUTE it ends after the
 *	name, because the line was split there
 * @name: name of a setting (SET) or of a prepared statement (PREPARE, EXECUTE, DEALLOCATE)
 * @rest: value (SET), statement to prepare (PREPARE), or item and data (EXECUTE)
 * @prepares_write: PREPARE: the prepared statement writes
 */
typedef struct jh_statement {
	jh_statement_type_t type;
	jh_text_t text;
	const char *name;
	jh_text_t rest;
	bool prepares_write;
} jh_statement_t;

/** enum jh_caller_message_type - kinds of message from a caller */
typedef enum jh_caller_message_type {
	JH_CALLER_INVALID,
	JH_CALLER_START,
	JH_CALLER_QUERY,
	JH_CALLER_QUIT,
} jh_caller_message_type_t;

/**
 * struct jh_caller_message - a parsed line from a caller; strings are borrowed
 * @type: kind of message
 * @database: START: name of the route that the caller asks for
 * @key: START: the caller's key, NULL if it sent none
 * @id: QUERY: request id chosen by the caller, forwarded unchanged
 * @statement: QUERY: the statement; of type JH_STATEMENT_INVALID if it could not be parsed
 */
typedef struct jh_caller_message {
	jh_caller_message_type_t type;
	const char *database;
	const char *key;
	const char *id;
	jh_statement_t statement;
} jh_caller_message_t;

/** enum jh_member_message_type - kinds of message from a member */
typedef enum jh_member_message_type {
	JH_MEMBER_INVALID,
	JH_MEMBER_READY,
	JH_MEMBER_ROW,
	JH_MEMBER_DONE,
	JH_MEMBER_ERROR,
} jh_member_message_type_t;

/**
 * struct jh_member_message - a parsed line from a member; strings are borrowed
 * @type: kind of message
 * @state: READY: 'I' idle, 'T' in a transaction, 'E' in a failed transaction
 * @has_position: READY: the member reported a log position
 * @position: READY: the reported position, if @has_position
 * @signature: DONE: the member's signature, NULL if it has none
 * @code: ERROR: the error code
 * @text: ROW: the row; ERROR: the error message
 */
typedef struct jh_member_message {
	jh_member_message_type_t type;
	char state;
	bool has_position;
	jh_position_t position;
	const char *signature;
	jh_code_t code;
	const char *text;
} jh_member_message_t;

/**
 * struct jh_member_status - a member's reply to STATUS and STEP_DOWN
 * @is_primary: the member reports that it is the primary
 * @term: term of the primary that the member is or follows
 * @received: received position: end of the member's log
 * @held_term: term whose primary the member waits for, 0 if it waits for none; not the held_term of
 *	jh_database_view_t
 */
typedef struct jh_member_status {
	bool is_primary;
	uint64_t term;
	jh_position_t received;
	uint64_t held_term;
} jh_member_status_t;

/**
 * struct jh_wire - functions that parse and write the lines of one protocol
 * @parse_caller: parse a line of @length bytes and a NUL from a caller, without its line end;
 *	splits it in place. Return: false if it is not a valid message
 * @parse_member: parse a line from a member in the same way
 * @parse_status: parse the row of a reply to STATUS or STEP_DOWN. Return: false if it is malformed
 * @put_ready: append READY to a caller's output; @position is NULL if there is none to report
 * @put_error: append ERROR to a caller's output; a code that the protocol lacks becomes UNKNOWN
 * @put_done: append the success of a statement that the gateway executes itself
 * @put_start: append START to a member's output
 * @put_statement: append a QUERY to a member's output; @id is NULL for a statement of the proxy
 *	itself; @after is the position that the member must have applied, NULL for none
 * @put_internal_statement: append a statement of the proxy itself, which is SET, RESET, STATUS,
 *	STEP_DOWN or ROLLBACK; @name and @rest are for SET, @term is for STEP_DOWN
 * @format_execute_text: format an EXECUTE with another name than the caller's. Return: new
 * @format_prepare_text: format a PREPARE. Return: new
 */
typedef struct jh_wire {
	bool (*parse_caller)(char *line, size_t length, jh_caller_message_t *message);
	bool (*parse_member)(char *line, size_t length, jh_member_message_t *message);
	bool (*parse_status)(const char *row, jh_member_status_t *status);
	void (*put_ready)(GString *out, char state, const jh_position_t *position);
	void (*put_error)(GString *out, jh_code_t code, const char *text);
	void (*put_done)(GString *out);
	void (*put_start)(GString *out, const char *service, const char *team, const char *member);
	void (*put_statement)(GString *out, const char *id, const jh_position_t *after,
			      jh_text_t text);
	void (*put_internal_statement)(GString *out, jh_statement_type_t type, const char *name,
				       jh_text_t rest, uint64_t term);
	GBytes *(*format_execute_text)(jh_text_t name, jh_text_t rest);
	GBytes *(*format_prepare_text)(jh_text_t name, bool prepares_write,
				       jh_text_t statement_text);
} jh_wire_t;

/** jh_code_name() - get the name of a code for log lines. Return: static string */
const char *jh_code_name(jh_code_t code);

/** jh_code_means_not_run() - true if a member's error code means that the statement did not run */
bool jh_code_means_not_run(jh_code_t code);

#endif
