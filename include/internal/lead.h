#ifndef JH_INTERNAL_LEAD_H
#define JH_INTERNAL_LEAD_H

#include "jh_kernel.h"
#include "jh_primary.h"
#include "jh_wire.h"

/**
 * DOC: Questions of the lead to a member
 *
 * One short connection a question: STATUS, or STEP_DOWN with a term.
 */

typedef struct _jh_inquiry _jh_inquiry_t;

/** typedef _jh_inquiry_fn_t - @status is NULL if there was no answer; the inquiry is freed after */
typedef void (*_jh_inquiry_fn_t)(void *data, const char *member, const jh_member_status_t *status);

/**
 * struct _jh_inquiry_request - what is asked
 * @member: whom; borrowed
 * @type: JH_STATEMENT_STATUS or JH_STATEMENT_STEP_DOWN
 * @term: of STEP_DOWN
 * @timeout_s: longest time until the whole answer
 * @done: called once, never from within _jh_inquiry_start()
 * @data: for @done
 */
typedef struct _jh_inquiry_request {
	const jh_member_t *member;
	jh_statement_type_t type;
	uint64_t term;
	double timeout_s;
	_jh_inquiry_fn_t done;
	void *data;
} _jh_inquiry_request_t;

/** _jh_inquiry_start() - ask. Return: new inquiry, which frees itself once it is done */
_jh_inquiry_t *_jh_inquiry_start(jh_task_t *task, const jh_wire_t *wire,
				 const _jh_inquiry_request_t *request);

/** _jh_inquiry_cancel() - free it without calling back */
void _jh_inquiry_cancel(_jh_inquiry_t *inquiry);

#endif
