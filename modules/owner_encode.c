/* Encoding of libpq results as protocol messages for the caller. The order of the messages is
 * decided in owner_steps.c.
 *
 * libpq requests all columns in one format. If a caller wants different formats for the columns,
 * the result is requested in text, and columns of a few types are converted to binary here.
 */
#include "internal/owner.h"

#include "jh_v3.h"

#include <string.h>

/* OIDs of built-in types, as in PostgreSQL's pg_type. */
#define TYPE_NAME 19
#define TYPE_OID 26
#define TYPE_JSON 114
#define TYPE_FLOAT4 700
#define TYPE_UNKNOWN 705
#define TYPE_BPCHAR 1042
#define TYPE_VARCHAR 1043

/* Length of the longest binary value of a fixed-size type. */
#define FIXED_SIZE_MAX_BYTES 8

/* ---- Errors and notices ---- */

void _jh_encode_report(GByteArray *out, uint8_t type, const PGresult *result)
{
	static const char fields[] = {
		PG_DIAG_SEVERITY,	    PG_DIAG_SEVERITY_NONLOCALIZED,
		PG_DIAG_SQLSTATE,	    PG_DIAG_MESSAGE_PRIMARY,
		PG_DIAG_MESSAGE_DETAIL,	    PG_DIAG_MESSAGE_HINT,
		PG_DIAG_STATEMENT_POSITION, PG_DIAG_INTERNAL_POSITION,
		PG_DIAG_INTERNAL_QUERY,	    PG_DIAG_CONTEXT,
		PG_DIAG_SCHEMA_NAME,	    PG_DIAG_TABLE_NAME,
		PG_DIAG_COLUMN_NAME,	    PG_DIAG_DATATYPE_NAME,
		PG_DIAG_CONSTRAINT_NAME,    PG_DIAG_SOURCE_FILE,
		PG_DIAG_SOURCE_LINE,	    PG_DIAG_SOURCE_FUNCTION,
	};
	guint mark = jh_v3_message_begin(out, type);
	unsigned i;

	for (i = 0; i < sizeof(fields); i++) {
		const char *value = PQresultErrorField(result, fields[i]);

		if (!value)
			continue;
		jh_v3_put_u8(out, (uint8_t)fields[i]);
		jh_v3_put_string(out, value);
	}
	jh_v3_put_u8(out, 0);
	jh_v3_message_end(out, mark);
}

/* ---- Formats ---- */

int16_t _jh_encode_result_format(const Jh__Op *op, unsigned i)
{
	if (!op || op->n_result_formats == 0)
		return 0;
	if (op->n_result_formats == 1)
		return (int16_t)op->result_formats[0];
	return i < op->n_result_formats ? (int16_t)op->result_formats[i] : 0;
}

int _jh_encode_libpq_format(const Jh__Op *op)
{
	size_t i;

	for (i = 0; i < op->n_result_formats; i++) {
		if (op->result_formats[i] != 1)
			return 0;
	}
	return op->n_result_formats > 0 ? 1 : 0;
}

static bool type_is_text(Oid type)
{
	return type == JH_V3_TYPE_TEXT || type == TYPE_VARCHAR || type == TYPE_BPCHAR ||
	       type == TYPE_NAME || type == TYPE_JSON || type == TYPE_UNKNOWN;
}

static bool type_is_convertible(Oid type)
{
	return type_is_text(type) || type == JH_V3_TYPE_INT2 || type == JH_V3_TYPE_INT4 ||
	       type == JH_V3_TYPE_INT8 || type == TYPE_OID || type == JH_V3_TYPE_BOOL ||
	       type == JH_V3_TYPE_FLOAT8 || type == TYPE_FLOAT4 || type == JH_V3_TYPE_BYTEA;
}

int _jh_encode_find_unsupported(const Jh__Op *op, const PGresult *result)
{
	int i;

	for (i = 0; i < PQnfields(result); i++) {
		bool has_wanted_format =
			_jh_encode_result_format(op, (unsigned)i) == PQfformat(result, i);

		if (!has_wanted_format &&
		    (PQfformat(result, i) != 0 || !type_is_convertible(PQftype(result, i))))
			return i;
	}
	return -1;
}

/* ---- Descriptions ---- */

void _jh_encode_description(GByteArray *out, const Jh__Op *op, const PGresult *result)
{
	int count = PQnfields(result);
	jh_v3_field_t *fields;
	int i;

	if (count == 0) {
		jh_v3_write_empty_message(out, JH_V3_NO_DATA);
		return;
	}
	fields = g_new0(jh_v3_field_t, count);
	for (i = 0; i < count; i++) {
		fields[i] = (jh_v3_field_t){
			.name = PQfname(result, i),
			.table = PQftable(result, i),
			.column = (int16_t)PQftablecol(result, i),
			.type = PQftype(result, i),
			.size = (int16_t)PQfsize(result, i),
			.modifier = PQfmod(result, i),
			.format = _jh_encode_result_format(op, (unsigned)i),
		};
	}
	jh_v3_write_row_description(out, fields, (unsigned)count);
	g_free(fields);
}

void _jh_encode_parameters(GByteArray *out, const PGresult *result)
{
	int count = PQnparams(result);
	uint32_t *types = g_new0(uint32_t, count + 1);
	int i;

	for (i = 0; i < count; i++)
		types[i] = PQparamtype(result, i);
	jh_v3_write_parameter_description(out, types, (unsigned)count);
	g_free(types);
}

/* ---- Rows ---- */

static size_t write_big_endian(uint8_t *buffer, uint64_t value, size_t length)
{
	size_t i;

	for (i = 0; i < length; i++)
		buffer[i] = (uint8_t)(value >> (8 * (length - 1 - i)));
	return length;
}

static size_t convert_float(uint8_t *buffer, const char *text, bool is_double)
{
	double number = g_ascii_strtod(text, NULL);
	float single = (float)number;
	uint64_t bits = 0;
	uint32_t single_bits = 0;

	memcpy(&bits, &number, sizeof(bits));
	memcpy(&single_bits, &single, sizeof(single_bits));
	return is_double ? write_big_endian(buffer, bits, sizeof(bits)) :
			   write_big_endian(buffer, single_bits, sizeof(single_bits));
}

/* Convert a value of a fixed-size type from text to binary. Return: number of bytes written */
static size_t convert_fixed(uint8_t *buffer, Oid type, const char *text)
{
	uint64_t number = (uint64_t)g_ascii_strtoll(text, NULL, 10);

	switch (type) {
	case JH_V3_TYPE_BOOL:
		return write_big_endian(buffer, *text == 't', 1);
	case JH_V3_TYPE_INT2:
		return write_big_endian(buffer, number, sizeof(int16_t));
	case JH_V3_TYPE_INT4:
	case TYPE_OID:
		return write_big_endian(buffer, number, sizeof(int32_t));
	case JH_V3_TYPE_INT8:
		return write_big_endian(buffer, number, sizeof(int64_t));
	default:
		return convert_float(buffer, text, type == JH_V3_TYPE_FLOAT8);
	}
}

static void write_value(GByteArray *out, const void *data, size_t length)
{
	jh_v3_put_i32(out, (int32_t)length);
	g_byte_array_append(out, data, (guint)length);
}

static void write_converted_value(GByteArray *out, Oid type, const char *text, size_t length)
{
	uint8_t fixed[FIXED_SIZE_MAX_BYTES];
	unsigned char *bytes;

	if (type_is_text(type)) {
		write_value(out, text, length);
	} else if (type == JH_V3_TYPE_BYTEA) {
		bytes = PQunescapeBytea((const unsigned char *)text, &length);
		write_value(out, bytes, length);
		PQfreemem(bytes);
	} else {
		write_value(out, fixed, convert_fixed(fixed, type, text));
	}
}

void _jh_encode_row(GByteArray *out, const Jh__Op *op, const PGresult *result, int row)
{
	guint mark = jh_v3_message_begin(out, JH_V3_DATA_ROW);
	int count = PQnfields(result);
	int i;

	jh_v3_put_i16(out, (int16_t)count);
	for (i = 0; i < count; i++) {
		const char *value = PQgetvalue(result, row, i);
		size_t length = (size_t)PQgetlength(result, row, i);

		if (PQgetisnull(result, row, i))
			jh_v3_put_i32(out, -1);
		else if (_jh_encode_result_format(op, (unsigned)i) == PQfformat(result, i))
			write_value(out, value, length);
		else
			write_converted_value(out, PQftype(result, i), value, length);
	}
	jh_v3_message_end(out, mark);
}
