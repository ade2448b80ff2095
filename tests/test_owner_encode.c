/*
 * libpq returns all columns of a result in one format, while a caller may choose a format for each
 * column. Guards against a column that is converted wrongly to the binary format, and against a
 * type without a conversion that is not detected.
 */

#include "internal/owner.h"
#include "jh_v3.h"

#include <check.h>
#include <stdlib.h>
#include <string.h>

#define TYPE_NUMERIC 1700

typedef struct column {
	const char *text;
	const char *binary;
	Oid type;
	int length;
} column_t;

static const column_t columns[] = {
	{ "-2", "\xff\xfe", JH_V3_TYPE_INT2, 2 },
	{ "258", "\0\0\1\2", JH_V3_TYPE_INT4, 4 },
	{ "-1", "\xff\xff\xff\xff\xff\xff\xff\xff", JH_V3_TYPE_INT8, 8 },
	{ "t", "\1", JH_V3_TYPE_BOOL, 1 },
	{ "1.5", "\x3f\xf8\0\0\0\0\0\0", JH_V3_TYPE_FLOAT8, 8 },
	{ "atta", "atta", JH_V3_TYPE_TEXT, 4 },
	{ "\\x00ff", "\0\xff", JH_V3_TYPE_BYTEA, 2 },
};

#define COUNT G_N_ELEMENTS(columns)

static PGresult *new_result(void)
{
	PGresult *result = PQmakeEmptyPGresult(NULL, PGRES_TUPLES_OK);
	PGresAttDesc attributes[COUNT] = { { 0 } };
	unsigned i;

	for (i = 0; i < COUNT; i++)
		attributes[i] = (PGresAttDesc){ .name = "c", .typid = columns[i].type };
	ck_assert_int_ne(PQsetResultAttrs(result, COUNT, attributes), 0);
	for (i = 0; i < COUNT; i++)
		ck_assert_int_ne(PQsetvalue(result, 0, (int)i, (char *)columns[i].text,
					    (int)strlen(columns[i].text)),
				 0);
	return result;
}

/* Checks the column at @offset of a DataRow. Return: offset of the next column */
static size_t ck_row_column(const GByteArray *row, size_t offset, const char *bytes, int length)
{
	uint32_t length_found;

	memcpy(&length_found, row->data + offset, sizeof(length_found));
	ck_assert_int_eq((int)GUINT32_FROM_BE(length_found), length);
	ck_assert_mem_eq(row->data + offset + sizeof(length_found), bytes, length);
	return offset + sizeof(length_found) + (size_t)length;
}

START_TEST(test_each_column_alone_in_binary)
{
	PGresult *result = new_result();
	uint32_t formats[COUNT];
	Jh__Op op = JH__OP__INIT;
	unsigned binary;
	unsigned i;

	op.n_result_formats = COUNT;
	op.result_formats = formats;
	for (binary = 0; binary < COUNT; binary++) {
		GByteArray *row = g_byte_array_new();
		/* The row starts after the message type, its length and the number of columns. */
		size_t offset = 7;

		for (i = 0; i < COUNT; i++)
			formats[i] = i == binary;
		ck_assert_int_eq(_jh_encode_libpq_format(&op), 0);
		ck_assert_int_eq(_jh_encode_find_unsupported(&op, result), -1);
		_jh_encode_row(row, &op, result, 0);
		for (i = 0; i < COUNT; i++)
			offset = i == binary ? ck_row_column(row, offset, columns[i].binary,
							     columns[i].length) :
					       ck_row_column(row, offset, columns[i].text,
							     (int)strlen(columns[i].text));
		ck_assert_uint_eq(offset, row->len);
		g_byte_array_free(row, TRUE);
	}
	PQclear(result);
}
END_TEST

START_TEST(test_type_without_conversion)
{
	PGresult *result = PQmakeEmptyPGresult(NULL, PGRES_TUPLES_OK);
	PGresAttDesc attributes[2] = { { .name = "a", .typid = JH_V3_TYPE_TEXT },
				       { .name = "b", .typid = TYPE_NUMERIC } };
	uint32_t formats[2] = { 0, 1 };
	Jh__Op op = JH__OP__INIT;

	op.n_result_formats = 2;
	op.result_formats = formats;
	ck_assert_int_ne(PQsetResultAttrs(result, 2, attributes), 0);
	ck_assert_int_eq(_jh_encode_find_unsupported(&op, result), 1);
	formats[0] = 1;
	ck_assert_int_eq(_jh_encode_libpq_format(&op), 1);
	PQclear(result);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("owner_encode");
	TCase *tcase = tcase_create("formats");
	SRunner *runner;
	int failed;

	tcase_add_test(tcase, test_each_column_alone_in_binary);
	tcase_add_test(tcase, test_type_without_conversion);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
