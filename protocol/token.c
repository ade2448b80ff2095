/* Encoding and decoding of session tokens. Layout of a token before base64: one version byte; for
 * each group the length of its name (one byte), the name, and the term and index of its position (8
 * bytes each, big-endian); at the end the MAC of all preceding bytes.
 */

#include "jh_token.h"

#include <sodium.h>
#include <string.h>

#define TOKEN_VERSION 1
#define TOKEN_MAC_BYTES 16u
#define TOKEN_BASE64 sodium_base64_VARIANT_URLSAFE_NO_PADDING

/* Term and index, 8 bytes each. */
#define POSITION_BYTES 16u
#define ENTRY_MAX_BYTES (1 + JH_SESSION_MAX_NAME + POSITION_BYTES)
#define TOKEN_MAX_BYTES (1 + JH_SESSION_MAX_GROUPS * ENTRY_MAX_BYTES + TOKEN_MAC_BYTES)

G_STATIC_ASSERT(TOKEN_MAX_BYTES * 4 / 3 + 4 < JH_TOKEN_MAX_CHARS);

/* Key derivation context; it makes this key differ from those derived for other purposes. */
static const char key_context[crypto_kdf_CONTEXTBYTES] = { 'j', 'h', 't', 'o', 'k', 'e', 'n', '1' };

static void compute_mac(uint8_t mac[TOKEN_MAC_BYTES], const uint8_t *data, size_t length,
			const uint8_t cluster_key[JH_CLUSTER_KEY_BYTES])
{
	uint8_t key[crypto_generichash_KEYBYTES];

	G_STATIC_ASSERT(crypto_kdf_KEYBYTES == JH_CLUSTER_KEY_BYTES);
	crypto_kdf_derive_from_key(key, sizeof(key), 1, key_context, cluster_key);
	crypto_generichash(mac, TOKEN_MAC_BYTES, data, length, key, sizeof(key));
	sodium_memzero(key, sizeof(key));
}

/* ---- encoding ---- */

static void append_u64(GByteArray *out, uint64_t value)
{
	uint64_t big_endian = GUINT64_TO_BE(value);

	g_byte_array_append(out, (const guint8 *)&big_endian, sizeof(big_endian));
}

static void append_entry(GByteArray *out, const jh_session_entry_t *entry)
{
	uint8_t length = (uint8_t)strlen(entry->group);

	g_assert(strlen(entry->group) <= JH_SESSION_MAX_NAME);
	g_byte_array_append(out, &length, 1);
	g_byte_array_append(out, (const guint8 *)entry->group, length);
	append_u64(out, entry->position.term);
	append_u64(out, entry->position.index);
}

char *jh_token_encode(const jh_session_t *session, const uint8_t cluster_key[JH_CLUSTER_KEY_BYTES])
{
	const uint8_t version = TOKEN_VERSION;
	uint8_t mac[TOKEN_MAC_BYTES];
	GByteArray *out;
	size_t size;
	char *text;
	unsigned i;

	if (session->count == 0)
		return g_strdup("");
	out = g_byte_array_new();
	g_byte_array_append(out, &version, 1);
	for (i = 0; i < session->count; i++)
		append_entry(out, &session->entries[i]);
	compute_mac(mac, out->data, out->len, cluster_key);
	g_byte_array_append(out, mac, sizeof(mac));
	size = sodium_base64_encoded_len(out->len, TOKEN_BASE64);
	text = g_malloc(size);
	sodium_bin2base64(text, size, out->data, out->len, TOKEN_BASE64);
	g_byte_array_free(out, TRUE);
	return text;
}

/* ---- decoding ---- */

static uint64_t read_u64(const uint8_t *data)
{
	uint64_t big_endian;

	memcpy(&big_endian, data, sizeof(big_endian));
	return GUINT64_FROM_BE(big_endian);
}

/* Reads the entry of one group into @session. Return: its size in bytes, 0 if it is malformed */
static size_t read_entry(jh_session_t *session, const uint8_t *data, size_t length)
{
	char name[JH_SESSION_MAX_NAME + 1];
	jh_position_t position;
	size_t name_length = data[0];

	if (name_length == 0 || name_length > JH_SESSION_MAX_NAME)
		return 0;
	if (length < 1 + name_length + POSITION_BYTES)
		return 0;
	memcpy(name, data + 1, name_length);
	name[name_length] = '\0';
	position.term = read_u64(data + 1 + name_length);
	position.index = read_u64(data + 1 + name_length + sizeof(uint64_t));
	if (strlen(name) != name_length || jh_session_advance(session, name, position) < 0)
		return 0;
	return 1 + name_length + POSITION_BYTES;
}

static int read_entries(jh_session_t *session, const uint8_t *data, size_t length, jh_error_t *err)
{
	while (length > 0) {
		size_t entry_bytes = read_entry(session, data, length);

		if (entry_bytes == 0) {
			jh_session_clear(session);
			return jh_error_set(err, JH_ERR_INVALID, "the session token is malformed");
		}
		data += entry_bytes;
		length -= entry_bytes;
	}
	return 0;
}

int jh_token_decode(const char *text, const uint8_t cluster_key[JH_CLUSTER_KEY_BYTES],
		    jh_session_t *session, jh_error_t *err)
{
	size_t text_length = strlen(text);
	uint8_t data[JH_TOKEN_MAX_CHARS];
	uint8_t mac[TOKEN_MAC_BYTES];
	const char *end = NULL;
	size_t length = 0;

	g_assert(session->count == 0);
	if (text_length == 0)
		return 0;
	if (text_length > JH_TOKEN_MAX_CHARS)
		return jh_error_set(err, JH_ERR_PROTOCOL,
				    "the session token is longer than %u characters",
				    JH_TOKEN_MAX_CHARS);
	if (sodium_base642bin(data, sizeof(data), text, text_length, NULL, &length, &end,
			      TOKEN_BASE64) != 0 ||
	    end != text + text_length || length <= 1 + TOKEN_MAC_BYTES || data[0] != TOKEN_VERSION)
		return jh_error_set(err, JH_ERR_INVALID, "the session token is malformed");
	length -= TOKEN_MAC_BYTES;
	compute_mac(mac, data, length, cluster_key);
	if (sodium_memcmp(mac, data + length, sizeof(mac)) != 0)
		return jh_error_set(err, JH_ERR_DENIED,
				    "the session token was not issued by this cluster");
	return read_entries(session, data + 1, length - 1, err);
}
