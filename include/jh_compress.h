#ifndef JH_COMPRESS_H
#define JH_COMPRESS_H

#include "jh_error.h"

#include <glib.h>

/**
 * DOC: Compression of large values between daemons
 *
 * The format is that of zlib (RFC 1950).
 */

/**
 * jh_compress() - compress a value
 *
 * Return: new, or NULL if it would not become shorter
 */
GBytes *jh_compress(GBytes *value);

/**
 * jh_uncompress() - restore a value
 * @data: compressed bytes
 * @length: number of these bytes
 * @size: length of the value
 * @max_size: longest value that is accepted
 *
 * Return: new, or NULL with JH_ERR_PROTOCOL if @data is not a compressed value of @size bytes
 */
GBytes *jh_uncompress(const void *data, size_t length, size_t size, size_t max_size,
		      jh_error_t *err);

#endif
