/* Reader, cursors, parsers and writers of PostgreSQL protocol version 3, as declared in jh_v3.h. */

#include "jh_v3.h"

#include <string.h>

/* Size of the length field of a message; the length includes this field, but not the type byte. */
#define LENGTH_BYTES 4u
#define PROTOCOL_MAJOR 3

/* Request codes. SSLRequest, GSSENCRequest and CancelRequest packets contain theirs in place of the
 * protocol version.
 */
#define SSL_REQUEST_CODE 80877103
#define GSSENC_REQUEST_CODE 80877104
#define CANCEL_REQUEST_CODE 80877102

/* ---- message reader ---- */

void jh_v3_reader_init(jh_v3_reader_t *reader, size_t max_startup_bytes, size_t max_message_bytes)
{
	*reader = (jh_v3_reader_t){
		.max_startup_bytes =
			max_startup_bytes ? max_startup_bytes : JH_V3_MAX_STARTUP_BYTES,
		.max_message_bytes =
			max_message_bytes ? max_message_bytes : JH_V3_MAX_MESSAGE_BYTES,
		.startup = true,
	};
}

/* Removes the bytes of messages that have been returned. */
static void reader_compact(jh_v3_reader_t *reader)
{
	if (!reader->buffer || reader->consumed == 0)
		return;
	if (reader->consumed == reader->buffer->len) {
		g_byte_array_free(reader->buffer, TRUE);
		reader->buffer = NULL;
	} else {
		g_byte_array_remove_range(reader->buffer, 0, (guint)reader->consumed);
	}
	reader->consumed = 0;
}

void jh_v3_reader_push(jh_v3_reader_t *reader, const void *data, size_t length)
{
	if (length == 0)
		return;
	reader_compact(reader);
	if (!reader->buffer)
		reader->buffer = g_byte_array_new();
	g_byte_array_append(reader->buffer, data, (guint)length);
}

size_t jh_v3_reader_pending(const jh_v3_reader_t *reader)
{
	return reader->buffer ? reader->buffer->len - reader->consumed : 0;
}

int jh_v3_reader_next(jh_v3_reader_t *reader, jh_v3_msg_t *msg, jh_error_t *err)
{
	size_t header_bytes = reader->startup ? LENGTH_BYTES : 1 + LENGTH_BYTES;
	size_t max_bytes = reader->startup ? reader->max_startup_bytes : reader->max_message_bytes;
	size_t pending_bytes = jh_v3_reader_pending(reader);
	const uint8_t *data;
	uint32_t length;

	if (pending_bytes < header_bytes) {
		if (pending_bytes == 0)
			reader_compact(reader);
		return 0;
	}
	data = reader->buffer->data + reader->consumed;
	memcpy(&length, data + header_bytes - LENGTH_BYTES, sizeof(length));
	length = GUINT32_FROM_BE(length);
	if (length < LENGTH_BYTES || length - LENGTH_BYTES > max_bytes)
		return jh_error_set(err, JH_ERR_PROTOCOL, "a message of %u bytes is out of bounds",
				    length);
	length -= LENGTH_BYTES;
	if (pending_bytes - header_bytes < length)
		return 0;
	msg->type = reader->startup ? 0 : data[0];
	msg->body = data + header_bytes;
	msg->length = length;
	reader->consumed += header_bytes + length;
	return 1;
}

void jh_v3_reader_clear(jh_v3_reader_t *reader)
{
	if (reader->buffer)
		g_byte_array_free(reader->buffer, TRUE);
	reader->buffer = NULL;
	reader->consumed = 0;
}

/* ---- fields of a message ---- */

jh_v3_cursor_t jh_v3_cursor(const jh_v3_msg_t *msg)
{
	return (jh_v3_cursor_t){ .data = msg->body, .left = msg->length };
}

const uint8_t *jh_v3_get_bytes(jh_v3_cursor_t *cursor, size_t length)
{
	const uint8_t *bytes = cursor->data;

	if (cursor->failed || cursor->left < length) {
		cursor->failed = true;
		return NULL;
	}
	cursor->data += length;
	cursor->left -= length;
	return bytes;
}

uint8_t jh_v3_get_u8(jh_v3_cursor_t *cursor)
{
	const uint8_t *bytes = jh_v3_get_bytes(cursor, 1);

	return bytes ? bytes[0] : 0;
}

int16_t jh_v3_get_i16(jh_v3_cursor_t *cursor)
{
	const uint8_t *bytes = jh_v3_get_bytes(cursor, sizeof(int16_t));
	uint16_t value = 0;

	if (bytes)
		memcpy(&value, bytes, sizeof(value));
	return (int16_t)GUINT16_FROM_BE(value);
}

int32_t jh_v3_get_i32(jh_v3_cursor_t *cursor)
{
	const uint8_t *bytes = jh_v3_get_bytes(cursor, sizeof(int32_t));
	uint32_t value = 0;

	if (bytes)
		memcpy(&value, bytes, sizeof(value));
	return (int32_t)GUINT32_FROM_BE(value);
}

const char *jh_v3_get_string(jh_v3_cursor_t *cursor)
{
	const uint8_t *end =
		cursor->failed || cursor->left == 0 ? NULL : memchr(cursor->data, 0, cursor->left);
	const char *text = (const char *)cursor->data;

	if (!end) {
		cursor->failed = true;
		return "";
	}
	cursor->left -= (size_t)(end + 1 - cursor->data);
	cursor->data = end + 1;
	return text;
}

/* Checks that all fields were within the message and that no bytes are left. Return: 0, or -1 with
 * JH_ERR_PROTOCOL
 */
static int cursor_check_end(const jh_v3_cursor_t *cursor, const char *message_name, jh_error_t *err)
{
	if (!cursor->failed && cursor->left == 0)
		return 0;
	return jh_error_set(err, JH_ERR_PROTOCOL, "a %s message is malformed", message_name);
}

/* ---- start-up packets ---- */

static int startup_read_parameters(jh_v3_startup_t *startup, jh_v3_cursor_t *cursor,
				   jh_error_t *err)
{
	startup->parameters = g_ptr_array_new_with_free_func(g_free);
	while (!cursor->failed) {
		const char *name = jh_v3_get_string(cursor);

		if (!*name)
			break;
		g_ptr_array_add(startup->parameters, g_strdup(name));
		g_ptr_array_add(startup->parameters, g_strdup(jh_v3_get_string(cursor)));
	}
	if (cursor_check_end(cursor, "start-up", err) == 0)
		return 0;
	jh_v3_startup_clear(startup);
	return -1;
}

int jh_v3_startup_parse(jh_v3_startup_t *startup, const jh_v3_msg_t *msg, jh_error_t *err)
{
	jh_v3_cursor_t cursor = jh_v3_cursor(msg);
	int32_t code = jh_v3_get_i32(&cursor);

	*startup = (jh_v3_startup_t){ .kind = JH_V3_STARTUP };
	switch (code) {
	case SSL_REQUEST_CODE:
		startup->kind = JH_V3_SSL_REQUEST;
		return cursor_check_end(&cursor, "SSLRequest", err);
	case GSSENC_REQUEST_CODE:
		startup->kind = JH_V3_GSSENC_REQUEST;
		return cursor_check_end(&cursor, "GSSENCRequest", err);
	case CANCEL_REQUEST_CODE:
		startup->kind = JH_V3_CANCEL_REQUEST;
		startup->pid = (uint32_t)jh_v3_get_i32(&cursor);
		startup->secret = (uint32_t)jh_v3_get_i32(&cursor);
		return cursor_check_end(&cursor, "CancelRequest", err);
	default:
		break;
	}
	if (cursor.failed || code >> 16 != PROTOCOL_MAJOR)
		return jh_error_set(err, JH_ERR_PROTOCOL, "protocol %d.%d is not supported",
				    code >> 16, code & 0xffff);
	startup->minor = (uint16_t)(code & 0xffff);
	return startup_read_parameters(startup, &cursor, err);
}

const char *jh_v3_startup_find_parameter(const jh_v3_startup_t *startup, const char *name)
{
	unsigned i;

	for (i = 0; startup->parameters && i + 1 < startup->parameters->len; i += 2) {
		if (g_str_equal(g_ptr_array_index(startup->parameters, i), name))
			return g_ptr_array_index(startup->parameters, i + 1);
	}
	return NULL;
}

void jh_v3_startup_clear(jh_v3_startup_t *startup)
{
	if (startup->parameters)
		g_ptr_array_free(startup->parameters, TRUE);
	startup->parameters = NULL;
}

/* ---- messages of the extended protocol ---- */

/* Reads a list of formats, which starts with its length. The array grows with each format that was
 * decoded, so that a wrong length allocates no memory.
 */
static GArray *read_formats(jh_v3_cursor_t *cursor)
{
	GArray *formats = g_array_new(FALSE, FALSE, sizeof(int16_t));
	unsigned count = (uint16_t)jh_v3_get_i16(cursor);

	while (count-- > 0 && !cursor->failed) {
		int16_t format = jh_v3_get_i16(cursor);

		if (format != 0 && format != 1)
			cursor->failed = true;
		g_array_append_val(formats, format);
	}
	return formats;
}

static GArray *read_values(jh_v3_cursor_t *cursor)
{
	GArray *values = g_array_new(FALSE, FALSE, sizeof(jh_v3_value_t));
	unsigned count = (uint16_t)jh_v3_get_i16(cursor);

	while (count-- > 0 && !cursor->failed) {
		int32_t length = jh_v3_get_i32(cursor);
		jh_v3_value_t value = { .data = NULL };

		if (length < -1) {
			cursor->failed = true;
		} else if (length >= 0) {
			value.length = (size_t)length;
			value.data = jh_v3_get_bytes(cursor, value.length);
		}
		g_array_append_val(values, value);
	}
	return values;
}

static bool is_valid_format_count(const GArray *formats, unsigned count)
{
	return formats->len <= 1 || formats->len == count;
}

int jh_v3_parse_read(jh_v3_parse_t *parse, const jh_v3_msg_t *msg, jh_error_t *err)
{
	jh_v3_cursor_t cursor = jh_v3_cursor(msg);
	unsigned count;

	parse->statement = jh_v3_get_string(&cursor);
	parse->sql = jh_v3_get_string(&cursor);
	parse->types = g_array_new(FALSE, TRUE, sizeof(uint32_t));
	count = (uint16_t)jh_v3_get_i16(&cursor);
	while (count-- > 0 && !cursor.failed) {
		uint32_t type = (uint32_t)jh_v3_get_i32(&cursor);

		g_array_append_val(parse->types, type);
	}
	if (cursor_check_end(&cursor, "Parse", err) == 0)
		return 0;
	jh_v3_parse_clear(parse);
	return -1;
}

void jh_v3_parse_clear(jh_v3_parse_t *parse)
{
	/* A prepared statement may hold a reference to them. */
	g_clear_pointer(&parse->types, g_array_unref);
}

int jh_v3_bind_read(jh_v3_bind_t *bind, const jh_v3_msg_t *msg, jh_error_t *err)
{
	jh_v3_cursor_t cursor = jh_v3_cursor(msg);

	bind->portal = jh_v3_get_string(&cursor);
	bind->statement = jh_v3_get_string(&cursor);
	bind->formats = read_formats(&cursor);
	bind->values = read_values(&cursor);
	bind->result_formats = read_formats(&cursor);
	if (!is_valid_format_count(bind->formats, bind->values->len))
		cursor.failed = true;
	if (cursor_check_end(&cursor, "Bind", err) == 0)
		return 0;
	jh_v3_bind_clear(bind);
	return -1;
}

void jh_v3_bind_clear(jh_v3_bind_t *bind)
{
	g_clear_pointer(&bind->formats, g_array_unref);
	g_clear_pointer(&bind->values, g_array_unref);
	g_clear_pointer(&bind->result_formats, g_array_unref);
}

int jh_v3_target_read(jh_v3_target_t *target, const jh_v3_msg_t *msg, jh_error_t *err)
{
	jh_v3_cursor_t cursor = jh_v3_cursor(msg);

	target->kind = (char)jh_v3_get_u8(&cursor);
	target->name = jh_v3_get_string(&cursor);
	if (target->kind != 'S' && target->kind != 'P')
		cursor.failed = true;
	return cursor_check_end(&cursor, msg->type == JH_V3_CLOSE ? "Close" : "Describe", err);
}

int jh_v3_execute_read(jh_v3_execute_t *execute, const jh_v3_msg_t *msg, jh_error_t *err)
{
	jh_v3_cursor_t cursor = jh_v3_cursor(msg);
	int32_t rows;

	execute->portal = jh_v3_get_string(&cursor);
	rows = jh_v3_get_i32(&cursor);
	execute->max_rows = rows > 0 ? (uint32_t)rows : 0;
	return cursor_check_end(&cursor, "Execute", err);
}

const char *jh_v3_string_read(const jh_v3_msg_t *msg, jh_error_t *err)
{
	jh_v3_cursor_t cursor = jh_v3_cursor(msg);
	const char *text = jh_v3_get_string(&cursor);

	return cursor_check_end(&cursor, msg->type == JH_V3_QUERY ? "Query" : "string", err) == 0 ?
		       text :
		       NULL;
}

int16_t jh_v3_formats_get(const GArray *formats, unsigned i)
{
	if (!formats || formats->len == 0)
		return 0;
	if (formats->len == 1)
		return g_array_index(formats, int16_t, 0);
	return i < formats->len ? g_array_index(formats, int16_t, i) : 0;
}

/* ---- writers ---- */

guint jh_v3_message_begin(GByteArray *out, uint8_t type)
{
	guint length_offset;

	if (type)
		jh_v3_put_u8(out, type);
	length_offset = out->len;
	jh_v3_put_i32(out, 0);
	return length_offset;
}

void jh_v3_message_end(GByteArray *out, guint length_offset)
{
	uint32_t length = GUINT32_TO_BE(out->len - length_offset);

	memcpy(out->data + length_offset, &length, sizeof(length));
}

void jh_v3_put_u8(GByteArray *out, uint8_t value)
{
	g_byte_array_append(out, &value, 1);
}

void jh_v3_put_i16(GByteArray *out, int16_t value)
{
	uint16_t big_endian = GUINT16_TO_BE((uint16_t)value);

	g_byte_array_append(out, (const guint8 *)&big_endian, sizeof(big_endian));
}

void jh_v3_put_i32(GByteArray *out, int32_t value)
{
	uint32_t big_endian = GUINT32_TO_BE((uint32_t)value);

	g_byte_array_append(out, (const guint8 *)&big_endian, sizeof(big_endian));
}

void jh_v3_put_i64(GByteArray *out, int64_t value)
{
	uint64_t big_endian = GUINT64_TO_BE((uint64_t)value);

	g_byte_array_append(out, (const guint8 *)&big_endian, sizeof(big_endian));
}

void jh_v3_put_string(GByteArray *out, const char *text)
{
	g_byte_array_append(out, (const guint8 *)text, (guint)strlen(text) + 1);
}

static void write_auth(GByteArray *out, int32_t code)
{
	guint length_offset = jh_v3_message_begin(out, JH_V3_AUTHENTICATION);

	jh_v3_put_i32(out, code);
	jh_v3_message_end(out, length_offset);
}

void jh_v3_write_auth_cleartext(GByteArray *out)
{
	write_auth(out, 3);
}

void jh_v3_write_auth_ok(GByteArray *out)
{
	write_auth(out, 0);
}

void jh_v3_write_parameter_status(GByteArray *out, const char *name, const char *value)
{
	guint length_offset = jh_v3_message_begin(out, JH_V3_PARAMETER_STATUS);

	jh_v3_put_string(out, name);
	jh_v3_put_string(out, value);
	jh_v3_message_end(out, length_offset);
}

void jh_v3_write_backend_key_data(GByteArray *out, uint32_t pid, uint32_t secret)
{
	guint length_offset = jh_v3_message_begin(out, JH_V3_BACKEND_KEY_DATA);

	jh_v3_put_i32(out, (int32_t)pid);
	jh_v3_put_i32(out, (int32_t)secret);
	jh_v3_message_end(out, length_offset);
}

void jh_v3_write_ready_for_query(GByteArray *out, char transaction)
{
	guint length_offset = jh_v3_message_begin(out, JH_V3_READY_FOR_QUERY);

	jh_v3_put_u8(out, (uint8_t)transaction);
	jh_v3_message_end(out, length_offset);
}

void jh_v3_write_row_description(GByteArray *out, const jh_v3_field_t *fields, unsigned count)
{
	guint length_offset = jh_v3_message_begin(out, JH_V3_ROW_DESCRIPTION);
	unsigned i;

	jh_v3_put_i16(out, (int16_t)count);
	for (i = 0; i < count; i++) {
		jh_v3_put_string(out, fields[i].name);
		jh_v3_put_i32(out, (int32_t)fields[i].table);
		jh_v3_put_i16(out, fields[i].column);
		jh_v3_put_i32(out, (int32_t)fields[i].type);
		jh_v3_put_i16(out, fields[i].size);
		jh_v3_put_i32(out, fields[i].modifier);
		jh_v3_put_i16(out, fields[i].format);
	}
	jh_v3_message_end(out, length_offset);
}

void jh_v3_write_data_row(GByteArray *out, const jh_v3_value_t *values, unsigned count)
{
	guint length_offset = jh_v3_message_begin(out, JH_V3_DATA_ROW);
	unsigned i;

	jh_v3_put_i16(out, (int16_t)count);
	for (i = 0; i < count; i++) {
		if (!values[i].data) {
			jh_v3_put_i32(out, -1);
			continue;
		}
		jh_v3_put_i32(out, (int32_t)values[i].length);
		g_byte_array_append(out, values[i].data, (guint)values[i].length);
	}
	jh_v3_message_end(out, length_offset);
}

void jh_v3_write_command_complete(GByteArray *out, const char *tag)
{
	guint length_offset = jh_v3_message_begin(out, JH_V3_COMMAND_COMPLETE);

	jh_v3_put_string(out, tag);
	jh_v3_message_end(out, length_offset);
}

static void put_report_field(GByteArray *out, char code, const char *text)
{
	if (!text)
		return;
	jh_v3_put_u8(out, (uint8_t)code);
	jh_v3_put_string(out, text);
}

static void write_report(GByteArray *out, uint8_t type, const jh_v3_report_t *report)
{
	guint length_offset = jh_v3_message_begin(out, type);

	put_report_field(out, 'S', report->severity);
	put_report_field(out, 'V', report->severity);
	put_report_field(out, 'C', report->sqlstate);
	put_report_field(out, 'M', report->message);
	put_report_field(out, 'D', report->detail);
	put_report_field(out, 'H', report->hint);
	jh_v3_put_u8(out, 0);
	jh_v3_message_end(out, length_offset);
}

void jh_v3_write_error(GByteArray *out, const jh_v3_report_t *report)
{
	write_report(out, JH_V3_ERROR_RESPONSE, report);
}

void jh_v3_write_notice(GByteArray *out, const jh_v3_report_t *report)
{
	write_report(out, JH_V3_NOTICE_RESPONSE, report);
}

void jh_v3_write_parameter_description(GByteArray *out, const uint32_t *types, unsigned count)
{
	guint length_offset = jh_v3_message_begin(out, JH_V3_PARAMETER_DESCRIPTION);
	unsigned i;

	jh_v3_put_i16(out, (int16_t)count);
	for (i = 0; i < count; i++)
		jh_v3_put_i32(out, (int32_t)types[i]);
	jh_v3_message_end(out, length_offset);
}

void jh_v3_write_empty_message(GByteArray *out, uint8_t type)
{
	jh_v3_message_end(out, jh_v3_message_begin(out, type));
}

/* ---- messages that clients send ---- */

void jh_v3_write_startup(GByteArray *out, const char *const *parameters)
{
	guint length_offset = jh_v3_message_begin(out, 0);

	jh_v3_put_i32(out, PROTOCOL_MAJOR << 16);
	for (; *parameters; parameters++)
		jh_v3_put_string(out, *parameters);
	jh_v3_put_u8(out, 0);
	jh_v3_message_end(out, length_offset);
}

void jh_v3_write_cancel(GByteArray *out, uint32_t pid, uint32_t secret)
{
	guint length_offset = jh_v3_message_begin(out, 0);

	jh_v3_put_i32(out, CANCEL_REQUEST_CODE);
	jh_v3_put_i32(out, (int32_t)pid);
	jh_v3_put_i32(out, (int32_t)secret);
	jh_v3_message_end(out, length_offset);
}

void jh_v3_write_query(GByteArray *out, const char *sql)
{
	guint length_offset = jh_v3_message_begin(out, JH_V3_QUERY);

	jh_v3_put_string(out, sql);
	jh_v3_message_end(out, length_offset);
}
