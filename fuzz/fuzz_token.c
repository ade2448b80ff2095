#include "jh_token.h"

#include <sodium.h>
#include <string.h>

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

/* Any text is rejected as a session token, or encodes to the same text after decoding. */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	static const uint8_t cluster_key[JH_CLUSTER_KEY_BYTES];
	jh_session_t session = { 0 };
	jh_error_t err = JH_ERROR_INIT;
	char *token = g_strndup((const char *)data, size);

	if (sodium_init() >= 0 && jh_token_decode(token, cluster_key, &session, &err) == 0) {
		char *encoded = jh_token_encode(&session, cluster_key);

		g_assert_cmpstr(encoded, ==, token);
		g_free(encoded);
	}
	jh_session_clear(&session);
	jh_error_clear(&err);
	g_free(token);
	return 0;
}
