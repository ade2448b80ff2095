#ifndef JH_SERVICE_H
#define JH_SERVICE_H

#include "jh_kernel.h"

/**
 * DOC: Messages between the entry and the quota and record tasks
 */

/**
 * struct jh_quota_msg - body of JH_MSG_QUOTA_REQUEST (to "quota") and JH_MSG_QUOTA_REPLY
 * @team: interned name
 * @tag: chosen by the sender
 * @cost: requests to take from the team's quota
 * @wait_us: longest time the caller accepts to wait for quota
 * @granted: reply: the quota was taken
 * @retry_after_ms: reply: when to come back if not granted
 */
typedef struct jh_quota_msg {
	const char *team;
	uint64_t tag;
	double cost;
	int64_t wait_us;
	bool granted;
	uint32_t retry_after_ms;
} jh_quota_msg_t;

/**
 * struct jh_record_msg - body of JH_MSG_RECORD (to "record") and JH_MSG_RECORD_DONE
 * @tag: chosen by the sender
 * @line: key=value pairs of one answer, without a line end; owned by the box
 * @held: reply: a second VM holds it (or it is in the object store)
 * @retry_after_ms: reply: when to come back if it could not be held
 */
typedef struct jh_record_msg {
	uint64_t tag;
	char *line;
	bool held;
	uint32_t retry_after_ms;
} jh_record_msg_t;

/**
 * struct jh_record_state_msg - body of JH_MSG_RECORD_STATE, published when it changes
 * @accepting: false near the bound of memory: new statements are refused before they run
 * @retry_after_ms: when to come back; 0 while accepting
 */
typedef struct jh_record_state_msg {
	bool accepting;
	uint32_t retry_after_ms;
} jh_record_state_msg_t;

/** jh_quota_ask() - post a JH_MSG_QUOTA_REQUEST */
void jh_quota_ask(jh_task_t *from, const char *team, double cost, int64_t wait_us, uint64_t tag);

/** jh_quota_answer() - post a JH_MSG_QUOTA_REPLY to @to */
void jh_quota_answer(jh_task_t *from, jh_handle_t to, uint64_t tag, bool granted,
		     uint32_t retry_after_ms);

/** jh_record_write() - post a JH_MSG_RECORD; takes @line over */
void jh_record_write(jh_task_t *from, char *line, uint64_t tag);

/** jh_record_answer() - post a JH_MSG_RECORD_DONE to @to */
void jh_record_answer(jh_task_t *from, jh_handle_t to, uint64_t tag, bool held,
		      uint32_t retry_after_ms);

#endif
