#include "value.h"

#include <errno.h>
#include <string.h>

#define JH_V3_TYPE_FLOAT4 700

void sdb_column_clear(void *data)
{
	g_clear_pointer(&((sdb_column_t *)data)->name, g_free);
}

/* ---- decoding parameters ---- */

static int decode_error(jh_error_t *err, const char *type, const char *text)
{
	return jh_error_set(err, JH_ERR_INVALID, "invalid input syntax for type %s: \"%.40s\"",
			    type, text);
}

static int decode_integer(sdb_value_t *value, const char *text, jh_error_t *err)
{
	char *end;

	errno = 0;
	value->type = SQLITE_INTEGER;
	value->integer = g_ascii_strtoll(text, &end, 10);
	return errno || end == text || *end ? decode_error(err, "integer", text) : 0;
}

static int decode_real(sdb_value_t *value, const char *text, jh_error_t *err)
{
	char *end;

	value->type = SQLITE_FLOAT;
	value->real = g_ascii_strtod(text, &end);
	return end == text || *end ? decode_error(err, "double precision", text) : 0;
}

static int decode_bool(sdb_value_t *value, const char *text, jh_error_t *err)
{
	static const char *const true_texts[] = { "t", "true", "on", "yes", "y", "1", NULL };
	static const char *const false_texts[] = { "f", "false", "off", "no", "n", "0", NULL };
	char *lower = g_ascii_strdown(text, -1);
	bool is_on = g_strv_contains(true_texts, lower);
	bool is_off = g_strv_contains(false_texts, lower);

	g_free(lower);
	value->type = SQLITE_INTEGER;
	value->integer = is_on;
	return is_on || is_off ? 0 : decode_error(err, "boolean", text);
}

/* Decodes \x followed by two hexadecimal digits for each byte; other input is taken unchanged. */
static int decode_bytea(sdb_value_t *value, const jh_v3_value_t *encoded, jh_error_t *err)
{
	const char *text = (const char *)encoded->data;
	size_t i;

	value->type = SQLITE_BLOB;
	if (encoded->length < 2 || text[0] != '\\' || text[1] != 'x') {
		value->bytes = g_malloc(encoded->length + 1);
		memcpy(value->bytes, text, encoded->length);
		value->length = encoded->length;
		return 0;
	}
	value->length = (encoded->length - 2) / 2;
	value->bytes = g_malloc(value->length + 1);
	for (i = 0; i < value->length; i++) {
		int high = g_ascii_xdigit_value(text[2 + 2 * i]);
		int low = g_ascii_xdigit_value(text[3 + 2 * i]);

		if (high < 0 || low < 0)
			return decode_error(err, "bytea", "\\x...");
		value->bytes[i] = (char)(high << 4 | low);
	}
	return 0;
}

static void decode_copy(sdb_value_t *value, int type, const jh_v3_value_t *encoded)
{
	value->type = type;
	value->bytes = g_malloc(encoded->length + 1);
	memcpy(value->bytes, encoded->data, encoded->length);
	value->bytes[encoded->length] = '\0';
	value->length = encoded->length;
}

static int decode_text(sdb_value_t *value, uint32_t type, const jh_v3_value_t *encoded,
		       jh_error_t *err)
{
	char *text;
	int result;

	if (type == JH_V3_TYPE_BYTEA)
		return decode_bytea(value, encoded, err);
	if (type != JH_V3_TYPE_INT2 && type != JH_V3_TYPE_INT4 && type != JH_V3_TYPE_INT8 &&
	    type != JH_V3_TYPE_FLOAT4 && type != JH_V3_TYPE_FLOAT8 && type != JH_V3_TYPE_BOOL) {
		decode_copy(value, SQLITE_TEXT, encoded);
		return 0;
	}
	text = g_strndup((const char *)encoded->data, encoded->length);
	if (type == JH_V3_TYPE_BOOL)
		result = decode_bool(value, text, err);
	else if (type == JH_V3_TYPE_FLOAT4 || type == JH_V3_TYPE_FLOAT8)
		result = decode_real(value, text, err);
	else
		result = decode_integer(value, text, err);
	g_free(text);
	return result;
}

/* Reads a big-endian number of up to 8 bytes. */
static uint64_t read_big_endian(const jh_v3_value_t *encoded)
{
	uint64_t bits = 0;
	size_t i;

	for (i = 0; i < encoded->length; i++)
		bits = bits << 8 | encoded->data[i];
	return bits;
}

static int64_t sign_extend(uint64_t bits, size_t length)
{
	unsigned shift = 64 - 8 * (unsigned)length;

	return (int64_t)(bits << shift) >> shift;
}

/* Return: bytes of the type's binary format, 0 if its length varies. */
static size_t binary_length(uint32_t type)
{
	switch (type) {
	case JH_V3_TYPE_BOOL:
		return 1;
	case JH_V3_TYPE_INT2:
		return 2;
	case JH_V3_TYPE_INT4:
	case JH_V3_TYPE_FLOAT4:
		return 4;
	case JH_V3_TYPE_INT8:
	case JH_V3_TYPE_FLOAT8:
		return 8;
	default:
		return 0;
	}
}

static int decode_binary(sdb_value_t *value, uint32_t type, const jh_v3_value_t *encoded,
			 jh_error_t *err)
{
	size_t length = binary_length(type);
	uint64_t bits;
	uint32_t bits32;
	float single;

	if (length == 0) {
		decode_copy(value, type == JH_V3_TYPE_BYTEA ? SQLITE_BLOB : SQLITE_TEXT, encoded);
		return 0;
	}
	if (encoded->length != length)
		return jh_error_set(err, JH_ERR_INVALID,
				    "incorrect binary data format: %zu bytes for type %u",
				    encoded->length, type);
	bits = read_big_endian(encoded);
	if (type == JH_V3_TYPE_FLOAT8) {
		value->type = SQLITE_FLOAT;
		memcpy(&value->real, &bits, sizeof(bits));
	} else if (type == JH_V3_TYPE_FLOAT4) {
		bits32 = (uint32_t)bits;
		memcpy(&single, &bits32, sizeof(single));
		value->type = SQLITE_FLOAT;
		value->real = single;
	} else {
		value->type = SQLITE_INTEGER;
		value->integer = sign_extend(bits, length);
	}
	return 0;
}

int sdb_value_decode(sdb_value_t *value, uint32_t type, int16_t format,
		     const jh_v3_value_t *encoded, jh_error_t *err)
{
	int result;

	*value = (sdb_value_t){ .type = SQLITE_NULL };
	if (!encoded->data)
		return 0;
	result = format ? decode_binary(value, type, encoded, err) :
			  decode_text(value, type, encoded, err);
	if (result < 0)
		sdb_value_clear(value);
	return result;
}

/* ---- encoding results ---- */

static void write_bytes(GByteArray *out, const void *bytes, size_t length)
{
	jh_v3_put_i32(out, (int32_t)length);
	g_byte_array_append(out, bytes, (guint)length);
}

static void write_integer(GByteArray *out, int64_t integer, size_t length)
{
	uint64_t big_endian = GUINT64_TO_BE((uint64_t)integer);

	write_bytes(out, (const uint8_t *)&big_endian + sizeof(big_endian) - length, length);
}

static void write_real(GByteArray *out, double real)
{
	uint64_t bits;

	memcpy(&bits, &real, sizeof(bits));
	write_integer(out, (int64_t)bits, sizeof(bits));
}

/* Writes 15 digits if they read back as the same number, otherwise 17. */
static void write_real_text(GByteArray *out, double real)
{
	char text[G_ASCII_DTOSTR_BUF_SIZE];

	g_ascii_formatd(text, sizeof(text), "%.15g", real);
	if (g_ascii_strtod(text, NULL) != real)
		g_ascii_dtostr(text, sizeof(text), real);
	write_bytes(out, text, strlen(text));
}

static void write_bytea_text(GByteArray *out, const uint8_t *bytes, size_t length)
{
	GString *text = g_string_sized_new(2 * length + 2);
	size_t i;

	g_string_append(text, "\\x");
	for (i = 0; i < length; i++)
		g_string_append_printf(text, "%02x", bytes[i]);
	write_bytes(out, text->str, text->len);
	g_string_free(text, TRUE);
}

static void write_value_binary(GByteArray *out, sqlite3_stmt *stmt, int column, uint32_t type)
{
	size_t length = binary_length(type);
	const void *bytes;

	if (type == JH_V3_TYPE_FLOAT8) {
		write_real(out, sqlite3_column_double(stmt, column));
	} else if (length > 0) {
		write_integer(out, sqlite3_column_int64(stmt, column), length);
	} else {
		bytes = type == JH_V3_TYPE_BYTEA ? sqlite3_column_blob(stmt, column) :
						   sqlite3_column_text(stmt, column);
		write_bytes(out, bytes ? bytes : "", (size_t)sqlite3_column_bytes(stmt, column));
	}
}

void sdb_value_write(GByteArray *out, sqlite3_stmt *stmt, int column, uint32_t type, int16_t format)
{
	int storage_class = sqlite3_column_type(stmt, column);

	if (storage_class == SQLITE_NULL)
		jh_v3_put_i32(out, -1);
	else if (format)
		write_value_binary(out, stmt, column, type);
	else if (type == JH_V3_TYPE_BOOL && storage_class == SQLITE_INTEGER)
		write_bytes(out, sqlite3_column_int64(stmt, column) ? "t" : "f", 1);
	else if (storage_class == SQLITE_FLOAT)
		write_real_text(out, sqlite3_column_double(stmt, column));
	else if (storage_class == SQLITE_BLOB)
		write_bytea_text(out, sqlite3_column_blob(stmt, column),
				 (size_t)sqlite3_column_bytes(stmt, column));
	else
		write_bytes(out, sqlite3_column_text(stmt, column),
			    (size_t)sqlite3_column_bytes(stmt, column));
}

void sdb_text_write(GByteArray *out, const char *text, uint32_t type, int16_t format)
{
	if (!text)
		jh_v3_put_i32(out, -1);
	else if (format && type == JH_V3_TYPE_INT8)
		write_integer(out, g_ascii_strtoll(text, NULL, 10), sizeof(int64_t));
	else if (format && type == JH_V3_TYPE_BOOL)
		write_integer(out, *text == 't', 1);
	else
		write_bytes(out, text, strlen(text));
}
