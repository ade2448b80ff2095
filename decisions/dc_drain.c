#include "jh_dc_drain.h"

#include <glib.h>

/*
 * Nothing is sent this long before the bound: what was sent before may take as long to reach the
 * member; microseconds.
 */
#define CLOSE_MARGIN_US (500 * INT64_C(1000))

/* Open transactions are ended once the bound divided by this has passed. */
#define END_TRANSACTIONS_DIVISOR 2

struct jh_dc_drains {
	/* Data centre to the time of its request, int64_t. */
	GHashTable *requests;
};

jh_dc_drains_t *jh_dc_drains_new(void)
{
	jh_dc_drains_t *drains = g_new0(jh_dc_drains_t, 1);

	drains->requests = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return drains;
}

void jh_dc_drains_free(jh_dc_drains_t *drains)
{
	if (!drains)
		return;
	g_hash_table_destroy(drains->requests);
	g_free(drains);
}

bool jh_dc_drains_apply(jh_dc_drains_t *drains, const char *dc, bool is_drained,
			int64_t requested_after_us)
{
	if (!is_drained)
		return g_hash_table_remove(drains->requests, dc);
	if (g_hash_table_contains(drains->requests, dc))
		return false;
	g_hash_table_insert(drains->requests, g_strdup(dc),
			    g_memdup2(&requested_after_us, sizeof(requested_after_us)));
	return true;
}

unsigned jh_dc_drains_count(const jh_dc_drains_t *drains)
{
	return g_hash_table_size(drains->requests);
}

jh_dc_phase_t jh_dc_drains_phase(const jh_dc_drains_t *drains, const char *dc, int64_t bound_us,
				 int64_t now_us)
{
	const int64_t *requested_us = dc ? g_hash_table_lookup(drains->requests, dc) : NULL;
	int64_t end_us = bound_us / END_TRANSACTIONS_DIVISOR;

	if (!requested_us)
		return JH_DC_OPEN;
	if (*requested_us == INT64_MIN ||
	    now_us - *requested_us >= MAX(bound_us - CLOSE_MARGIN_US, end_us))
		return JH_DC_CLOSED;
	return now_us - *requested_us >= end_us ? JH_DC_ENDING : JH_DC_NO_NEW;
}
