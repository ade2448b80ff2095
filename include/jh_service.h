#ifndef JH_SERVICE_H
#define JH_SERVICE_H

#include "jh_kernel.h"
#include "jh_quota.h"

/**
 * DOC: Requests to the quota and record tasks
 *
 * A task that serves callers requests quota before it runs a statement. The entry task also has a
 * line of the audit record stored before it releases a response. Each function here posts one
 * message, which is dropped if no task runs that receives it.
 */

/**
 * struct jh_quota_msg - body of JH_MSG_QUOTA_REQUEST and JH_MSG_QUOTA_GIVE_BACK (to "quota") and of
 *	JH_MSG_QUOTA_REPLY
 * @team: name of the team, interned; NULL in the reply to a request that was not granted
 * @tag: chosen by the sender of the request; the reply has the same tag
 * @cost: amount of quota, in requests
 * @wait_us: longest time that the request may wait for quota, microseconds
 * @granted: reply: the amount was taken from the team's quota
 * @grant: reply: if granted, number with which the amount can be given back; not 0
 * @refusal: reply: if not granted, the reason
 * @retry_after_ms: reply: time after which to retry if not granted, milliseconds
 */
typedef struct jh_quota_msg {
	const char *team;
	uint64_t tag;
	double cost;
	int64_t wait_us;
	bool granted;
	uint64_t grant;
	jh_quota_refusal_t refusal;
	uint32_t retry_after_ms;
} jh_quota_msg_t;

/**
 * struct jh_record_msg - body of JH_MSG_RECORD_REQUEST (to "record") and JH_MSG_RECORD_REPLY
 * @tag: chosen by the sender of the request; the reply has the same tag
 * @line: the record line: key=value pairs of one response, without a line end; owned; NULL in a
 *	reply
 * @held: reply: the line is durable: a backup VM has a copy, or it is in the object store
 * @retry_after_ms: reply: time after which to retry if the line is not durable, milliseconds
 */
typedef struct jh_record_msg {
	uint64_t tag;
	char *line;
	bool held;
	uint32_t retry_after_ms;
} jh_record_msg_t;

/**
 * struct jh_record_state_msg - body of JH_MSG_RECORD_STATE, published when @accepting changes
 * @accepting: false while the record's memory is nearly full; then new statements are refused
 *	before they run
 * @retry_after_ms: time after which callers may retry, milliseconds; 0 while accepting
 */
typedef struct jh_record_state_msg {
	bool accepting;
	uint32_t retry_after_ms;
} jh_record_state_msg_t;

/** jh_quota_ask() - request quota; the reply is JH_MSG_QUOTA_REPLY with @tag. Interns @team */
void jh_quota_ask(jh_task_t *from, const char *team, double cost, int64_t wait_us, uint64_t tag);

/** jh_quota_reply() - reply to a JH_MSG_QUOTA_REQUEST of @to; sends a copy of @reply */
void jh_quota_reply(jh_task_t *from, jh_handle_t to, const jh_quota_msg_t *reply);

/**
 * jh_quota_give_back() - give back what a request for quota got, as nothing has run for it
 * @grant: of the reply
 *
 * A second call for the same grant has no effect. There is no reply.
 */
void jh_quota_give_back(jh_task_t *from, const char *team, uint64_t grant);

/** jh_quota_refusal_text() - Return: static text of a reason for callers and logs */
const char *jh_quota_refusal_text(jh_quota_refusal_t refusal);

/** jh_record_write() - have @line stored; reply: JH_MSG_RECORD_REPLY. Takes ownership of @line */
void jh_record_write(jh_task_t *from, char *line, uint64_t tag);

/** jh_record_reply() - reply to a JH_MSG_RECORD_REQUEST that @to sent with @tag */
void jh_record_reply(jh_task_t *from, jh_handle_t to, uint64_t tag, bool held,
		     uint32_t retry_after_ms);

#endif
