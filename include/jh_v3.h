#ifndef JH_V3_H
#define JH_V3_H

#include "jh_error.h"

#include <stddef.h>
#include <stdint.h>

/**
 * DOC: PostgreSQL protocol version 3, server side
 *
 * A bounded reader over received bytes, cursors over the fields of a message, and writers that
 * append messages to a GByteArray. Nothing is allocated by a length that a client claims: buffers
 * grow only with bytes that arrived, arrays only with fields that are there.
 */

/** JH_V3_MAX_STARTUP_BYTES - longest start-up packet */
#define JH_V3_MAX_STARTUP_BYTES 10000u

/** JH_V3_MAX_MESSAGE_BYTES - longest message by default */
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

/* The one-byte answer to SSLRequest and GSSENCRequest: not supported. */
#define JH_V3_ENCRYPTION_REFUSED 'N'

/* Object ids of the types that the code tells apart. */
#define JH_V3_TYPE_BOOL 16
#define JH_V3_TYPE_BYTEA 17
#define JH_V3_TYPE_INT8 20
#define JH_V3_TYPE_INT2 21
#define JH_V3_TYPE_INT4 23
#define JH_V3_TYPE_TEXT 25
#define JH_V3_TYPE_FLOAT8 701

/* ---- reader ---- */

/**
 * struct jh_v3_msg - one message, or one start-up packet
 * @type: its type byte; 0 for a start-up packet
 * @body: the bytes after the length; borrowed until the reader is used again
 * @length: how many
 */
typedef struct jh_v3_msg {
	uint8_t type;
	const uint8_t *body;
	size_t length;
} jh_v3_msg_t;

/**
 * struct jh_v3_reader - splits a stream of bytes into messages
 * @buffer: bytes not yet taken; NULL while there are none, so that idle connections cost nothing
 * @taken: bytes at the buffer's start that the last message used
 * @max_startup_bytes: longest start-up packet
 * @max_message_bytes: longest message
 * @startup: the next packet has no type byte
 */
typedef struct jh_v3_reader {
	GByteArray *buffer;
	size_t taken;
	size_t max_startup_bytes;
	size_t max_message_bytes;
	bool startup;
} jh_v3_reader_t;

/** jh_v3_reader_init() - expect a start-up packet first; 0 as a limit means the default */
void jh_v3_reader_init(jh_v3_reader_t *reader, size_t max_startup_bytes, size_t max_message_bytes);

/** jh_v3_reader_push() - add received bytes */
void jh_v3_reader_push(jh_v3_reader_t *reader, const void *data, size_t length);

/**
 * jh_v3_reader_next() - take the next whole message
 *
 * While @reader->startup is set, packets without a type byte are taken; the caller clears it once
 * a StartupMessage came.
 *
 * Return: 1 with @msg set, 0 if more bytes are needed, -1 with JH_ERR_PROTOCOL in @err if the
 * length is out of bounds (the connection can't be read on)
 */
int jh_v3_reader_next(jh_v3_reader_t *reader, jh_v3_msg_t *msg, jh_error_t *err);

/** jh_v3_reader_pending() - bytes received and not taken */
size_t jh_v3_reader_pending(const jh_v3_reader_t *reader);

/** jh_v3_reader_clear() - free what the reader holds */
void jh_v3_reader_clear(jh_v3_reader_t *reader);

/* ---- fields ---- */

/**
 * struct jh_v3_cursor - reads a message's fields in turn
 * @data: next byte
 * @left: bytes left
 * @failed: a field went past the end; all later reads give 0, "" or NULL
 */
typedef struct jh_v3_cursor {
	const uint8_t *data;
	size_t left;
	bool failed;
} jh_v3_cursor_t;

/** jh_v3_cursor() - cursor at the start of a message's body */
jh_v3_cursor_t jh_v3_cursor(const jh_v3_msg_t *msg);

uint8_t jh_v3_get_u8(jh_v3_cursor_t *cursor);
int16_t jh_v3_get_i16(jh_v3_cursor_t *cursor);
int32_t jh_v3_get_i32(jh_v3_cursor_t *cursor);

/** jh_v3_get_string() - Return: borrowed, ended by NUL; "" on failure */
const char *jh_v3_get_string(jh_v3_cursor_t *cursor);

/** jh_v3_get_bytes() - Return: @length borrowed bytes, NULL on failure */
const uint8_t *jh_v3_get_bytes(jh_v3_cursor_t *cursor, size_t length);

/* ---- start-up packets ---- */

/** enum jh_v3_startup_kind - what the first packet asks for */
typedef enum jh_v3_startup_kind {
	JH_V3_STARTUP,
	JH_V3_SSL_REQUEST,
	JH_V3_GSSENC_REQUEST,
	JH_V3_CANCEL_REQUEST,
} jh_v3_startup_kind_t;

/**
 * struct jh_v3_startup - a parsed start-up packet
 * @kind: what it asks for
 * @minor: protocol 3.@minor (JH_V3_STARTUP)
 * @parameters: array of char *, name and value in turn (JH_V3_STARTUP); owned
 * @pid: process id (JH_V3_CANCEL_REQUEST)
 * @secret: its secret (JH_V3_CANCEL_REQUEST)
 */
typedef struct jh_v3_startup {
	jh_v3_startup_kind_t kind;
	uint16_t minor;
	GPtrArray *parameters;
	uint32_t pid;
	uint32_t secret;
} jh_v3_startup_t;

/** jh_v3_startup_parse() - Return: 0, or -1 with JH_ERR_PROTOCOL and nothing to free */
int jh_v3_startup_parse(jh_v3_startup_t *startup, const jh_v3_msg_t *msg, jh_error_t *err);

/** jh_v3_startup_get() - Return: the parameter's value, borrowed, NULL if it was not sent */
const char *jh_v3_startup_get(const jh_v3_startup_t *startup, const char *name);

void jh_v3_startup_clear(jh_v3_startup_t *startup);

/* ---- messages of the extended protocol; all pointers are borrowed from the message ---- */

/**
 * struct jh_v3_parse - Parse
 * @statement: name, "" for the unnamed one
 * @sql: one statement
 * @types: array of uint32_t, the parameters' type ids given by the client, 0 for unspecified;
 *         growing it adds zeros
 */
typedef struct jh_v3_parse {
	const char *statement;
	const char *sql;
	GArray *types;
} jh_v3_parse_t;

/** struct jh_v3_value - a parameter's or column's bytes; @data NULL is the SQL null value */
typedef struct jh_v3_value {
	const uint8_t *data;
	size_t length;
} jh_v3_value_t;

/**
 * struct jh_v3_bind - Bind
 * @portal: name, "" for the unnamed one
 * @statement: name, "" for the unnamed one
 * @formats: array of int16_t, 0 text or 1 binary: none, one for all, or one a value
 * @values: array of jh_v3_value_t
 * @result_formats: array of int16_t: none, one for all, or one a column
 */
typedef struct jh_v3_bind {
	const char *portal;
	const char *statement;
	GArray *formats;
	GArray *values;
	GArray *result_formats;
} jh_v3_bind_t;

/** struct jh_v3_target - Describe or Close; @kind is 'S' (statement) or 'P' (portal) */
typedef struct jh_v3_target {
	char kind;
	const char *name;
} jh_v3_target_t;

/** struct jh_v3_execute - Execute; @max_rows 0 is no limit */
typedef struct jh_v3_execute {
	const char *portal;
	uint32_t max_rows;
} jh_v3_execute_t;

/* Each returns 0, or -1 with JH_ERR_PROTOCOL and nothing to clear. */
int jh_v3_parse_read(jh_v3_parse_t *parse, const jh_v3_msg_t *msg, jh_error_t *err);
void jh_v3_parse_clear(jh_v3_parse_t *parse);
int jh_v3_bind_read(jh_v3_bind_t *bind, const jh_v3_msg_t *msg, jh_error_t *err);
void jh_v3_bind_clear(jh_v3_bind_t *bind);
int jh_v3_target_read(jh_v3_target_t *target, const jh_v3_msg_t *msg, jh_error_t *err);
int jh_v3_execute_read(jh_v3_execute_t *execute, const jh_v3_msg_t *msg, jh_error_t *err);

/** jh_v3_string_read() - the one string of Query or PasswordMessage. Return: borrowed or NULL */
const char *jh_v3_string_read(const jh_v3_msg_t *msg, jh_error_t *err);

/** jh_v3_format() - format of value or column @i by a list of none, one or all formats */
int16_t jh_v3_format(const GArray *formats, unsigned i);

/* ---- writers ---- */

/** jh_v3_begin() - start a message; type 0 for a start-up packet. Return: mark for jh_v3_end() */
guint jh_v3_begin(GByteArray *out, uint8_t type);

/** jh_v3_end() - fill the length in */
void jh_v3_end(GByteArray *out, guint mark);

void jh_v3_put_u8(GByteArray *out, uint8_t value);
void jh_v3_put_i16(GByteArray *out, int16_t value);
void jh_v3_put_i32(GByteArray *out, int32_t value);
void jh_v3_put_i64(GByteArray *out, int64_t value);
void jh_v3_put_string(GByteArray *out, const char *text);

/**
 * struct jh_v3_field - a column of RowDescription
 * @name: its name
 * @table: object id of its table, 0 if it is no column of a table
 * @column: number in that table
 * @type: object id of its type
 * @size: bytes of the type, negative if variable
 * @modifier: of the type, -1 for none
 * @format: 0 text, 1 binary
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
 * struct jh_v3_report - fields of ErrorResponse and NoticeResponse
 * @severity: "ERROR", "FATAL", "NOTICE"...
 * @sqlstate: five characters
 * @message: one line
 * @detail: may be NULL
 * @hint: may be NULL
 */
typedef struct jh_v3_report {
	const char *severity;
	const char *sqlstate;
	const char *message;
	const char *detail;
	const char *hint;
} jh_v3_report_t;

void jh_v3_write_auth_cleartext(GByteArray *out);
void jh_v3_write_auth_ok(GByteArray *out);
void jh_v3_write_parameter_status(GByteArray *out, const char *name, const char *value);
void jh_v3_write_backend_key_data(GByteArray *out, uint32_t pid, uint32_t secret);
/** jh_v3_write_ready() - @transaction is 'I' (idle), 'T' (in a transaction) or 'E' (failed one) */
void jh_v3_write_ready(GByteArray *out, char transaction);
void jh_v3_write_row_description(GByteArray *out, const jh_v3_field_t *fields, unsigned count);
void jh_v3_write_data_row(GByteArray *out, const jh_v3_value_t *values, unsigned count);
void jh_v3_write_command_complete(GByteArray *out, const char *tag);
void jh_v3_write_error(GByteArray *out, const jh_v3_report_t *report);
void jh_v3_write_notice(GByteArray *out, const jh_v3_report_t *report);
void jh_v3_write_parameter_description(GByteArray *out, const uint32_t *types, unsigned count);
/** jh_v3_write_empty() - a message without a body: '1', '2', '3', 'I', 'n' or 's' */
void jh_v3_write_empty(GByteArray *out, uint8_t type);

/* Client side, for stand-ins and tests. */
/** jh_v3_write_startup() - StartupMessage; @parameters: names and values in turn, then NULL */
void jh_v3_write_startup(GByteArray *out, const char *const *parameters);
void jh_v3_write_cancel(GByteArray *out, uint32_t pid, uint32_t secret);
void jh_v3_write_query(GByteArray *out, const char *sql);

#endif
