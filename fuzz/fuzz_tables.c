#include "jh_tables.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

/* Any bytes, as a row from the platform or a peer, give either a configuration or an error. */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	jh_error_t err = JH_ERROR_INIT;
	jh_config_t *config = jh_tables_parse_row((const char *)data, size, 1, &err);
	GPtrArray *changes = jh_tables_parse_change_ids((const char *)data, size);
	char *message = jh_error_format(&err);

	g_assert(!config == (err.code != JH_ERR_NONE));
	jh_config_unref(config);
	g_ptr_array_free(changes, TRUE);
	g_free(message);
	jh_error_clear(&err);
	return 0;
}
