#ifndef JH_DC_DRAIN_H
#define JH_DC_DRAIN_H

#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: Drain of data centres
 *
 * Operators may request that nothing more is sent to the members of a data centre. From the request
 * on, a bound limits the time until which that holds on every VM: until half of the bound, open
 * transactions may continue there; some time before the bound, the last connection is closed. All
 * times are microseconds of jh_boot_time_us() and are passed in; the functions have no side effects
 * beyond their argument.
 */

/** jh_dc_drains_t - the data centres that are drained; opaque */
typedef struct jh_dc_drains jh_dc_drains_t;

/** enum jh_dc_phase - what may still be sent to the members of a data centre, most first */
typedef enum jh_dc_phase {
	/** @JH_DC_OPEN: it is not drained */
	JH_DC_OPEN,
	/**
	 * @JH_DC_NO_NEW: no operation begins there, except at a primary until it is replaced; open
	 * transactions continue
	 */
	JH_DC_NO_NEW,
	/** @JH_DC_ENDING: open transactions are ended */
	JH_DC_ENDING,
	/** @JH_DC_CLOSED: nothing is sent there, not even a rollback or a request of the leader */
	JH_DC_CLOSED,
} jh_dc_phase_t;

/** jh_dc_drains_new() - Return: new empty set; free with jh_dc_drains_free() */
jh_dc_drains_t *jh_dc_drains_new(void);

/** jh_dc_drains_free() - free a set; NULL is allowed */
void jh_dc_drains_free(jh_dc_drains_t *drains);

/**
 * jh_dc_drains_apply() - note whether a data centre is drained
 * @dc: copied
 * @is_drained: whether the request exists
 * @requested_after_us: a time before the request; INT64_MIN if none is known, which counts as a
 *	request that is older than any bound
 *
 * A request that is repeated keeps its first time.
 *
 * Return: false if that was known already
 */
bool jh_dc_drains_apply(jh_dc_drains_t *drains, const char *dc, bool is_drained,
			int64_t requested_after_us);

/** jh_dc_drains_count() - Return: number of data centres that are drained */
unsigned jh_dc_drains_count(const jh_dc_drains_t *drains);

/**
 * jh_dc_drains_phase() - what may still be sent to the members of a data centre
 * @bound_us: time after the request from which nothing may reach them
 */
jh_dc_phase_t jh_dc_drains_phase(const jh_dc_drains_t *drains, const char *dc, int64_t bound_us,
				 int64_t now_us);

#endif
