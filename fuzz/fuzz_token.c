#include "jh_token.h"

#include <sodium.h>
#include <string.h>

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	static const uint8_t cluster_key[JH_CLUSTER_KEY_BYTES];
	jh_session_t session = { 0 };
	jh_error_t err = JH_ERROR_INIT;
	char *text = g_strndup((const char *)data, size);

	if (sodium_init() >= 0 && jh_token_decode(text, cluster_key, &session, &err) == 0) {
		char *again = jh_token_encode(&session, cluster_key);

		g_assert_cmpstr(again, ==, text);
		g_free(again);
	}
	jh_session_clear(&session);
	jh_error_clear(&err);
	g_free(text);
	return 0;
}
