#ifndef _JH_QUOTA_H
#define _JH_QUOTA_H

#include "jh_frame.h"
#include "jh_platform.h"
#include "jh_quota_share.h"

/*
 * Internals of the quota module. modules/quota.c replies to requests for quota and runs the quota
 * servers of teams. modules/quota_row.c reads and writes the platform's row of share owners.
 */

typedef struct _jh_quota_row _jh_quota_row_t;

/* Called when the number of units that this VM may use has changed. */
typedef void (*_jh_quota_units_fn_t)(void *data, unsigned units);

/*
 * Makes the state of the row; reads start with the first VM list.
 *
 * @lease_wait_us: delay between the last use of units and the write that releases them; the quota
 * leases of these units have expired by then
 */
_jh_quota_row_t *_jh_quota_row_new(jh_task_t *task, int64_t lease_wait_us,
				   _jh_quota_units_fn_t on_units, void *data);
void _jh_quota_row_free(_jh_quota_row_t *row);

/* Applies a new VM list and keeps a reference to it; the first call starts the reads of the row. */
void _jh_quota_row_on_vms(_jh_quota_row_t *row, const GPtrArray *vms);

/* The mirror has its first lease: what is read from now on was current after this VM's start. */
void _jh_quota_row_on_lease(_jh_quota_row_t *row);

/* Handles the reply to a platform call that these functions made. */
void _jh_quota_row_on_reply(_jh_quota_row_t *row, const jh_platform_reply_t *reply);

/*
 * Starts to release all units, for a graceful shutdown. Does nothing in a profile with a mirror, in
 * which a VM keeps its units over a restart.
 */
void _jh_quota_row_drain(_jh_quota_row_t *row);

/* True if no unit is left to release, or the time for the release has passed. */
bool _jh_quota_row_is_drained(const _jh_quota_row_t *row);

/* Table of the owners and their units, for operators. */
jh_rows_t *_jh_quota_row_show(const _jh_quota_row_t *row);

#endif
