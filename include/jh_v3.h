#ifndef JH_V3_H
#define JH_V3_H

#include "jh_error.h"

#include <stddef.h>
#include <stdint.h>

/**
 * DOC: Encoding and decoding of the PostgreSQL protocol, version 3
 *
 * The reader splits received bytes into messages of limited length, cursors and parsers decode the
 * fields of one message, and writers append messages to a GByteArray. No memory is allocated
 * according to a length that a client sent: buffers grow only by bytes that were received, arrays
 * only by fields that were decoded. All integers in messages are big-endian.
 */

/** JH_V3_MAX_STARTUP_BYTES - longest start-up packet by default, without its length field */
#define JH_V3_MAX_STARTUP_BYTES 10000u

/** JH_V3_MAX_MESSAGE_BYTES - longest message by default, without its type and length fields */
#define JH_V3_MAX_MESSAGE_BYTES (16u * 1024 * 1024)

/* Types of messages that clients send. */
#define JH_V3_QUERY 'Q'
#define JH_V3_PARSE 'P'
#define JH_V3_BIND 'B'
#define JH_V3_DESCRIBE 'D'
#define JH_V3_EXECUTE 'E'
#define JH_V3_CLOSE 'C'
#define JH_V3_SYNC 'S'
#define JH_V3_FLUSH 'H'
#define JH_V3_PASSWORD 'p'
#define JH_V3_TERMINATE 'X'
#define JH_V3_FUNCTION_CALL 'F'
#define JH_V3_COPY_DATA 'd'
#define JH_V3_COPY_DONE 'c'
#define JH_V3_COPY_FAIL 'f'

/* Types of messages that servers send. */
#define JH_V3_AUTHENTICATION 'R'
#define JH_V3_PARAMETER_STATUS 'S'
#define JH_V3_BACKEND_KEY_DATA 'K'
#define JH_V3_READY_FOR_QUERY 'Z'
#define JH_V3_ROW_DESCRIPTION 'T'
#define JH_V3_DATA_ROW 'D'
#define JH_V3_COMMAND_COMPLETE 'C'
#define JH_V3_EMPTY_QUERY_RESPONSE 'I'
#define JH_V3_ERROR_RESPONSE 'E'
#define JH_V3_NOTICE_RESPONSE 'N'
#define JH_V3_PARSE_COMPLETE '1'
#define JH_V3_BIND_COMPLETE '2'
#define JH_V3_CLOSE_COMPLETE '3'
#define JH_V3_NO_DATA 'n'
#define JH_V3_PARAMETER_DESCRIPTION 't'
#define JH_V3_PORTAL_SUSPENDED 's'

/* One-byte response to SSLRequest and GSSENCRequest: encryption is not supported. */
#define JH_V3_ENCRYPTION_REFUSED 'N'

/* Object ids of the data types that the proxy and its stand-ins use. */
#define JH_V3_TYPE_BOOL 16
#define JH_V3_TYPE_BYTEA 17
#define JH_V3_TYPE_INT8 20
#define JH_V3_TYPE_INT2 21
#define JH_V3_TYPE_INT4 23
#define JH_V3_TYPE_TEXT 25
#define JH_V3_TYPE_FLOAT8 701

/* ---- message reader ---- */

/**
 * struct jh_v3_msg - one message, or one start-up packet
 * @type: type byte of the message; 0 for a start-up packet
 * @body: the bytes after the length field; borrowed until the next call of jh_v3_reader_push(),
 *        jh_v3_reader_next() or jh_v3_reader_clear()
 * @length: length of @body in bytes
 */
typedef struct jh_v3_msg {
	uint8_t type;
	const uint8_t *body;
	size_t length;
} jh_v3_msg_t;

/**
 * struct jh_v3_reader - splits a stream of bytes into messages
 * @buffer: received bytes; NULL while there are none, so that an idle connection has no buffer
 * @consumed: bytes at the start of @buffer that belong to messages already returned; a later call
 *            removes them
 * @max_startup_bytes: longest start-up packet, without its length field
 * @max_message_bytes: longest message, without its type and length fields; it may be changed at any
 *                     time
 * @startup: the next packet is a start-up packet, which has no type byte
 */
typedef struct jh_v3_reader {
	GByteArray *buffer;
	size_t consumed;
	size_t max_startup_bytes;
	size_t max_message_bytes;
	bool startup;
} jh_v3_reader_t;

/**
 * jh_v3_reader_init() - initialize a reader, which first expects a start-up packet
 * @reader: any earlier content is overwritten, not freed
 * @max_startup_bytes: limit of start-up packets; 0 means JH_V3_MAX_STARTUP_BYTES
 * @max_message_bytes: limit of messages; 0 means JH_V3_MAX_MESSAGE_BYTES
 */
void jh_v3_reader_init(jh_v3_reader_t *reader, size_t max_startup_bytes, size_t max_message_bytes);

/** jh_v3_reader_push() - append a copy of received bytes; invalidates the last message's body */
void jh_v3_reader_push(jh_v3_reader_t *reader, const void *data, size_t length);

/**
 * jh_v3_reader_next() - remove the next complete message from the reader
 *
 * While @reader->startup is set, the next packet is read as a start-up packet. The user of the
 * reader clears the flag when it has received a StartupMessage.
 *
 * Return: 1 with @msg set; 0 if more bytes are needed; -1 with JH_ERR_PROTOCOL in @err if the
 * message's length is out of bounds, and the connection must then be closed, because the start of
 * the next message is unknown
 */
int jh_v3_reader_next(jh_v3_reader_t *reader, jh_v3_msg_t *msg, jh_error_t *err);

/** jh_v3_reader_pending() - number of received bytes that no returned message contains */
size_t jh_v3_reader_pending(const jh_v3_reader_t *reader);

/** jh_v3_reader_clear() - free the buffer; limits and @reader->startup are not changed */
void jh_v3_reader_clear(jh_v3_reader_t *reader);

/* ---- fields of a message ---- */

/**
 * struct jh_v3_cursor - position in a message from which fields are read one after the other
 * @data: next byte; borrowed from the message
 * @left: number of bytes from @data to the end of the message
 * @failed: a field extended beyond the end; all later reads return 0, "" or NULL, so that one check
 *          after the last field is enough
 */
typedef struct jh_v3_cursor {
	const uint8_t *data;
	size_t left;
	bool failed;
} jh_v3_cursor_t;

/** jh_v3_cursor() - Return: a cursor at the start of the message's body */
jh_v3_cursor_t jh_v3_cursor(const jh_v3_msg_t *msg);

/* Each of these reads one integer. Return: the value; 0 on failure, with @failed set */
uint8_t jh_v3_get_u8(jh_v3_cursor_t *cursor);
int16_t jh_v3_get_i16(jh_v3_cursor_t *cursor);
int32_t jh_v3_get_i32(jh_v3_cursor_t *cursor);

/** jh_v3_get_string() - read a NUL-terminated string. Return: borrowed; "" on failure */
const char *jh_v3_get_string(jh_v3_cursor_t *cursor);

/** jh_v3_get_bytes() - read @length bytes. Return: borrowed; NULL on failure */
const uint8_t *jh_v3_get_bytes(jh_v3_cursor_t *cursor, size_t length);

/* ---- start-up packets ---- */

/** enum jh_v3_startup_kind - kind of a start-up packet */
typedef enum jh_v3_startup_kind {
	JH_V3_STARTUP,
	JH_V3_SSL_REQUEST,
	JH_V3_GSSENC_REQUEST,
	JH_V3_CANCEL_REQUEST,
} jh_v3_startup_kind_t;

/**
 * struct jh_v3_startup - a parsed start-up packet
 * @kind: start-up, encryption request or cancel request
 * @minor: minor version of the protocol; the major one is 3 (JH_V3_STARTUP)
 * @parameters: array of char *, alternately name and value, owned (JH_V3_STARTUP); otherwise NULL
 * @pid: process id from the BackendKeyData of the connection to cancel (JH_V3_CANCEL_REQUEST)
 * @secret: secret from the same message (JH_V3_CANCEL_REQUEST)
 */
typedef struct jh_v3_startup {
	jh_v3_startup_kind_t kind;
	uint16_t minor;
	GPtrArray *parameters;
	uint32_t pid;
	uint32_t secret;
} jh_v3_startup_t;

/**
 * jh_v3_startup_parse() - decode a start-up packet
 *
 * Return: 0, or -1 with JH_ERR_PROTOCOL and nothing to free if the packet is malformed or the major
 * version is not 3
 */
int jh_v3_startup_parse(jh_v3_startup_t *startup, const jh_v3_msg_t *msg, jh_error_t *err);

/**
 * jh_v3_startup_find_parameter() - find a parameter by its name
 *
 * Return: its value, borrowed; NULL if it was not sent
 */
const char *jh_v3_startup_find_parameter(const jh_v3_startup_t *startup, const char *name);

/** jh_v3_startup_clear() - free the parameters; does nothing if there are none */
void jh_v3_startup_clear(jh_v3_startup_t *startup);

/* ---- messages of the extended protocol ---- */

/* Strings and values of the decoded messages are borrowed from the message; arrays are owned. */

/**
 * struct jh_v3_parse - the message Parse, which prepares a statement
 * @statement: name of the prepared statement; "" for the unnamed one
 * @sql: text of the statement; the decoder does not check that it is a single one
 * @types: array of uint32_t, type ids of the parameters, 0 for unspecified; it may be shorter than
 *         the number of parameters, and elements added by g_array_set_size() are 0
 */
typedef struct jh_v3_parse {
	const char *statement;
	const char *sql;
	GArray *types;
} jh_v3_parse_t;

/**
 * struct jh_v3_value - value of a parameter or column
 * @data: the bytes, borrowed; NULL for the SQL null value
 * @length: number of bytes; 0 for the SQL null value
 */
typedef struct jh_v3_value {
	const uint8_t *data;
	size_t length;
} jh_v3_value_t;

/**
 * struct jh_v3_bind - the message Bind, which makes a portal from a prepared statement and values
 * @portal: name of the portal; "" for the unnamed one
 * @statement: name of the prepared statement; "" for the unnamed one
 * @formats: array of int16_t, formats of the values, 0 for text and 1 for binary; it has no element
 *           (all are text), one for all values, or one for each
 * @values: array of jh_v3_value_t, the values of the parameters
 * @result_formats: array of int16_t, formats of the result's columns, likewise; their number is not
 *                  checked, because the number of columns is unknown
 */
typedef struct jh_v3_bind {
	const char *portal;
	const char *statement;
	GArray *formats;
	GArray *values;
	GArray *result_formats;
} jh_v3_bind_t;

/**
 * struct jh_v3_target - the message Describe or Close
 * @kind: 'S' for a prepared statement, 'P' for a portal
 * @name: its name; "" for the unnamed one
 */
typedef struct jh_v3_target {
	char kind;
	const char *name;
} jh_v3_target_t;

/**
 * struct jh_v3_execute - the message Execute, which runs a portal
 * @portal: name of the portal; "" for the unnamed one
 * @max_rows: maximum number of rows to return; 0 for no limit
 */
typedef struct jh_v3_execute {
	const char *portal;
	uint32_t max_rows;
} jh_v3_execute_t;

/* Each jh_v3_*_read() function decodes the body of one message; it does not check the message's
 * type. It returns 0, or -1 with JH_ERR_PROTOCOL and nothing to clear if the body is malformed. The
 * jh_v3_*_clear() functions free the arrays; a second call does nothing.
 */
int jh_v3_parse_read(jh_v3_parse_t *parse, const jh_v3_msg_t *msg, jh_error_t *err);
void jh_v3_parse_clear(jh_v3_parse_t *parse);
int jh_v3_bind_read(jh_v3_bind_t *bind, const jh_v3_msg_t *msg, jh_error_t *err);
void jh_v3_bind_clear(jh_v3_bind_t *bind);
int jh_v3_target_read(jh_v3_target_t *target, const jh_v3_msg_t *msg, jh_error_t *err);
int jh_v3_execute_read(jh_v3_execute_t *execute, const jh_v3_msg_t *msg, jh_error_t *err);

/**
 * jh_v3_string_read() - decode a message that is a single string: Query or PasswordMessage
 *
 * Return: the string, borrowed from the message; NULL with JH_ERR_PROTOCOL if it is malformed
 */
const char *jh_v3_string_read(const jh_v3_msg_t *msg, jh_error_t *err);

/**
 * jh_v3_formats_get() - format of one value or column
 * @formats: array as in struct jh_v3_bind; NULL is the same as an empty one
 * @i: index of the value or column
 *
 * Return: 0 for text, 1 for binary; 0 if @i is beyond the end of a list of more than one format
 */
int16_t jh_v3_formats_get(const GArray *formats, unsigned i);

/* ---- writers ---- */

/* Writers append to @out, which must not be NULL, and copy their arguments. They report no errors
 * and do not check that a message fits its 32-bit length field.
 */

/**
 * jh_v3_message_begin() - start a message; its fields are then appended by jh_v3_put_*() functions
 * @out: where to append
 * @type: type byte; 0 for a start-up packet, which has none
 *
 * Return: offset of the length field in @out, for jh_v3_message_end()
 */
guint jh_v3_message_begin(GByteArray *out, uint8_t type);

/**
 * jh_v3_message_end() - end a message and set its length field
 * @length_offset: offset of the length field, as returned by jh_v3_message_begin()
 */
void jh_v3_message_end(GByteArray *out, guint length_offset);

/* Each appends one field of the message; jh_v3_put_string() also appends the terminating NUL. */
void jh_v3_put_u8(GByteArray *out, uint8_t value);
void jh_v3_put_i16(GByteArray *out, int16_t value);
void jh_v3_put_i32(GByteArray *out, int32_t value);
void jh_v3_put_i64(GByteArray *out, int64_t value);
void jh_v3_put_string(GByteArray *out, const char *text);

/**
 * struct jh_v3_field - one column of the message RowDescription
 * @name: name of the column
 * @table: object id of the table; 0 if the value is not a column of a table
 * @column: number of the column in that table; 0 if there is no table
 * @type: object id of the data type
 * @size: size of the data type in bytes; negative if it is variable
 * @modifier: type modifier, such as the length in varchar(n); -1 for none
 * @format: 0 for text, 1 for binary
 */
typedef struct jh_v3_field {
	const char *name;
	uint32_t table;
	int16_t column;
	uint32_t type;
	int16_t size;
	int32_t modifier;
	int16_t format;
} jh_v3_field_t;

/**
 * struct jh_v3_report - fields of the messages ErrorResponse and NoticeResponse
 * @severity: "ERROR", "FATAL", "NOTICE" and so on
 * @sqlstate: SQLSTATE code, five characters
 * @message: what went wrong, in one line
 * @detail: DETAIL field; NULL for none
 * @hint: HINT field; NULL for none
 */
typedef struct jh_v3_report {
	const char *severity;
	const char *sqlstate;
	const char *message;
	const char *detail;
	const char *hint;
} jh_v3_report_t;

/** jh_v3_write_auth_cleartext() - AuthenticationCleartextPassword: ask for the password */
void jh_v3_write_auth_cleartext(GByteArray *out);
/** jh_v3_write_auth_ok() - AuthenticationOk */
void jh_v3_write_auth_ok(GByteArray *out);
void jh_v3_write_parameter_status(GByteArray *out, const char *name, const char *value);
/** jh_v3_write_backend_key_data() - what the client must send to cancel a statement */
void jh_v3_write_backend_key_data(GByteArray *out, uint32_t pid, uint32_t secret);
/**
 * jh_v3_write_ready_for_query() - ReadyForQuery
 * @out: where to append
 * @transaction: 'I' if idle, 'T' in a transaction, 'E' in a failed transaction
 */
void jh_v3_write_ready_for_query(GByteArray *out, char transaction);
void jh_v3_write_row_description(GByteArray *out, const jh_v3_field_t *fields, unsigned count);
/** jh_v3_write_data_row() - one row; a value whose data is NULL is written as the SQL null value */
void jh_v3_write_data_row(GByteArray *out, const jh_v3_value_t *values, unsigned count);
/** jh_v3_write_command_complete() - @tag: command tag such as "SELECT 1" */
void jh_v3_write_command_complete(GByteArray *out, const char *tag);
void jh_v3_write_error(GByteArray *out, const jh_v3_report_t *report);
void jh_v3_write_notice(GByteArray *out, const jh_v3_report_t *report);
/** jh_v3_write_parameter_description() - type ids of a prepared statement's parameters */
void jh_v3_write_parameter_description(GByteArray *out, const uint32_t *types, unsigned count);
/**
 * jh_v3_write_empty_message() - write a message without a body
 * @out: where to append
 * @type: JH_V3_PARSE_COMPLETE, JH_V3_BIND_COMPLETE, JH_V3_CLOSE_COMPLETE, JH_V3_NO_DATA,
 *        JH_V3_EMPTY_QUERY_RESPONSE or JH_V3_PORTAL_SUSPENDED
 */
void jh_v3_write_empty_message(GByteArray *out, uint8_t type);

/* ---- messages that clients send ---- */

/** jh_v3_write_startup() - StartupMessage; @parameters: alternately names and values, then NULL */
void jh_v3_write_startup(GByteArray *out, const char *const *parameters);
/** jh_v3_write_cancel() - CancelRequest, with the values of BackendKeyData */
void jh_v3_write_cancel(GByteArray *out, uint32_t pid, uint32_t secret);
void jh_v3_write_query(GByteArray *out, const char *sql);

#endif
