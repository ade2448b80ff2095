#ifndef JH_WIRE_H
#define JH_WIRE_H

#include "jh_view.h"

/**
 * DOC: The line protocol's seam
 *
 * The gateway knows statements, positions and outcomes; a jh_wire_t reads and writes them as
 * lines. Parsers cut the line in place: the strings of a message point into it.
 */

/** enum jh_code - outcomes other than success; "promise": nothing of this attempt is kept */
typedef enum jh_code {
	JH_CODE_NONE,
	/** @JH_CODE_BUSY: promise; no capacity now */
	JH_CODE_BUSY,
	/** @JH_CODE_ABORTED: promise; the transaction was rolled back */
	JH_CODE_ABORTED,
	/** @JH_CODE_BEHIND: promise; the member's log lacks the position asked for */
	JH_CODE_BEHIND,
	/** @JH_CODE_READ_ONLY: promise; the member is not the primary */
	JH_CODE_READ_ONLY,
	/** @JH_CODE_WRONG_MEMBER: promise; the address belongs to another member or service */
	JH_CODE_WRONG_MEMBER,
	/** @JH_CODE_TOO_MANY_CONNECTIONS: promise */
	JH_CODE_TOO_MANY_CONNECTIONS,
	/** @JH_CODE_FAILED: it ran and failed */
	JH_CODE_FAILED,
	/** @JH_CODE_NO_STATEMENT: not run; there is no such prepared statement */
	JH_CODE_NO_STATEMENT,
	JH_CODE_TIMEOUT,
	JH_CODE_NO_KEY,
	JH_CODE_NO_ROUTE,
	JH_CODE_TOO_BIG,
	JH_CODE_BAD_MESSAGE,
	/** @JH_CODE_UNKNOWN: it may have run */
	JH_CODE_UNKNOWN,
	/** @JH_CODE_OTHER: a code that this version does not know; nothing is known of the run */
	JH_CODE_OTHER,
} jh_code_t;

/** enum jh_statement_type - what a statement does */
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
	/* Below: the gateway's own, never a caller's. */
	JH_STATEMENT_RESET,
	JH_STATEMENT_STATUS,
	JH_STATEMENT_STEP_DOWN,
} jh_statement_type_t;

/**
 * struct jh_statement - a parsed statement; strings are borrowed
 * @type: what it does
 * @text: whole, as it is forwarded
 * @name: of a value (SET) or of a prepared statement (PREPARE, EXECUTE, DEALLOCATE)
 * @rest: value (SET), shape (PREPARE), or item and data (EXECUTE)
 * @prepares_write: PREPARE: the shape writes
 */
typedef struct jh_statement {
	jh_statement_type_t type;
	const char *text;
	const char *name;
	const char *rest;
	bool prepares_write;
} jh_statement_t;

typedef enum jh_caller_message_type {
	JH_CALLER_INVALID,
	JH_CALLER_START,
	JH_CALLER_QUERY,
	JH_CALLER_QUIT,
} jh_caller_message_type_t;

/**
 * struct jh_caller_message - a line of a caller; strings are borrowed
 * @database: START: what the caller asks for, the name of a route
 * @key: START: the caller's key, NULL without one
 * @id: QUERY: chosen by the caller, passed on unchanged
 * @statement: QUERY
 */
typedef struct jh_caller_message {
	jh_caller_message_type_t type;
	const char *database;
	const char *key;
	const char *id;
	jh_statement_t statement;
} jh_caller_message_t;

typedef enum jh_member_message_type {
	JH_MEMBER_INVALID,
	JH_MEMBER_READY,
	JH_MEMBER_ROW,
	JH_MEMBER_DONE,
	JH_MEMBER_ERROR,
} jh_member_message_type_t;

/**
 * struct jh_member_message - a line of a member; strings are borrowed
 * @state: READY: 'I' idle, 'T' in a transaction, 'E' in a failed one
 * @has_position: READY: the member said where its log ends
 * @position: READY
 * @code: ERROR
 * @text: ROW: the row; ERROR: for people
 */
typedef struct jh_member_message {
	jh_member_message_type_t type;
	char state;
	bool has_position;
	jh_position_t position;
	jh_code_t code;
	const char *text;
} jh_member_message_t;

/**
 * struct jh_member_status - a member's answer to STATUS and STEP_DOWN
 * @is_primary: it leads, as it sees itself
 * @term: of the primary that it is or follows
 * @received: end of its log
 * @held_term: term whose primary it waits for, 0 if none
 */
typedef struct jh_member_status {
	bool is_primary;
	uint64_t term;
	jh_position_t received;
	uint64_t held_term;
} jh_member_status_t;

/**
 * struct jh_wire - reads and writes lines
 * @parse_caller: cut a line without its end in place; false if it is no message
 * @parse_member: likewise
 * @parse_status: read the row of a STATUS
 * @put_ready: READY to a caller; @position may be NULL
 * @put_error: ERROR to a caller
 * @put_done: success of a statement that the gateway answers itself
 * @put_start: START to a member
 * @put_statement: QUERY to a member; @id NULL for the gateway's own; @after may be NULL
 * @put_own: QUERY of the gateway itself: SET, PREPARE, RESET, STATUS, STEP_DOWN, ROLLBACK
 * @put_execute: text of an EXECUTE under another name
 */
typedef struct jh_wire {
	bool (*parse_caller)(char *line, jh_caller_message_t *message);
	bool (*parse_member)(char *line, jh_member_message_t *message);
	bool (*parse_status)(const char *row, jh_member_status_t *status);
	void (*put_ready)(GString *out, char state, const jh_position_t *position);
	void (*put_error)(GString *out, jh_code_t code, const char *text);
	void (*put_done)(GString *out);
	void (*put_start)(GString *out, const char *service, const char *team, const char *member);
	void (*put_statement)(GString *out, const char *id, const jh_position_t *after,
			      const char *text);
	void (*put_own)(GString *out, jh_statement_type_t type, const char *name, const char *rest,
			uint64_t term);
	char *(*execute_text)(const char *name, const char *rest);
	char *(*prepare_text)(const char *name, bool writes, const char *shape);
} jh_wire_t;

/** jh_code_name() - for logs */
const char *jh_code_name(jh_code_t code);

/** jh_code_is_not_run() - a member's code which says that the statement did not run */
bool jh_code_is_not_run(jh_code_t code);

#endif
