#ifndef _JH_QUOTA_H
#define _JH_QUOTA_H

#include "jh_frame.h"
#include "jh_platform.h"
#include "jh_quota_share.h"

/*
 * The quota task, split by job: quota.c answers requests and serves teams, quota_row.c keeps this
 * VM's share through the row in the platform's table.
 */

typedef struct _jh_quota_row _jh_quota_row_t;

/* Called when the slots that this VM may use have changed. */
typedef void (*_jh_quota_slots_fn_t)(void *data, unsigned slots);

/* Loans from slots that are no longer used run for at most @lease_wait_us. */
_jh_quota_row_t *_jh_quota_row_new(jh_task_t *task, int64_t lease_wait_us,
				   _jh_quota_slots_fn_t changed, void *data);
void _jh_quota_row_free(_jh_quota_row_t *row);

void _jh_quota_row_on_vms(_jh_quota_row_t *row, const GPtrArray *vms);
void _jh_quota_row_on_reply(_jh_quota_row_t *row, const jh_platform_reply_t *reply);

/* Give all slots up, for a graceful shutdown. */
void _jh_quota_row_drain(_jh_quota_row_t *row);

/* True once they are given up, or it can't be done in time. */
bool _jh_quota_row_is_drained(const _jh_quota_row_t *row);

/* Rows for operators: owners and their slots. */
jh_rows_t *_jh_quota_row_show(const _jh_quota_row_t *row);

#endif
