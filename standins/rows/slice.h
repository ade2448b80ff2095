#ifndef STANDIN_SLICE_H
#define STANDIN_SLICE_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>

/** DOC: Parts of a message, whose bytes may be any */

/** struct slice - @length borrowed bytes, which no NUL ends */
typedef struct slice {
	const char *bytes;
	size_t length;
} slice_t;

bool slice_is(slice_t slice, const char *text);

/**
 * slice_split() - split at the first @max - 1 blanks
 * @parts: @max parts, the missing ones empty
 *
 * Return: number of parts, at least 1
 */
unsigned slice_split(slice_t slice, slice_t *parts, unsigned max);

/**
 * slice_to_name() - Return: new string; bytes that are not printable ASCII, and '\', are escaped,
 * so that two slices have the same name only if they are equal
 */
char *slice_to_name(slice_t slice);

GBytes *slice_to_bytes(slice_t slice);

/** bytes_slice() - borrow @bytes; an empty slice if it is NULL */
slice_t bytes_slice(GBytes *bytes);

/** slice_to_json() - Return: new JSON string with the bytes in hexadecimal */
json_t *slice_to_json(slice_t slice);

#endif
