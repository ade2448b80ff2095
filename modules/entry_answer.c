/* Answers of owners: matched by request and attempt, held back until they may be given to the
 * caller, recorded, released. An answer of another attempt, or of a request that has ended, is
 * dropped and logged.
 */

#include "internal/entry.h"

#include "jh_counter.h"
#include "jh_log.h"
#include "jh_service.h"

#include <string.h>

/* The start of an answer that is held back, so that its request can still be tried again. */
#define HOLD_START_BYTES (64u * 1024)

/* From the first CommandComplete on an answer is held until it is recorded; of one longer than
 * this, only what follows the latest CommandComplete.
 */
#define HOLD_END_BYTES (4u * 1024 * 1024)

/* The owner is told of progress after this many bytes; a part of its window. */
#define ACKNOWLEDGE_BYTES (256u * 1024)

#define MESSAGE_HEADER_BYTES 5u

JH_COUNTER(reads_replica_total, "jasminehill_reads_replica_total", "reads answered by replicas");
JH_COUNTER(reads_primary_total, "jasminehill_reads_primary_total", "reads answered by primaries");
JH_COUNTER(writes_total, "jasminehill_writes_total", "requests answered as writes");
JH_COUNTER(late_total, "jasminehill_answers_late_total",
	   "answers of attempts that had ended, dropped");
JH_COUNTER(unrecorded_total, "jasminehill_answers_unrecorded_total",
	   "answers withheld since their record could not be held");

void _jh_answer_reset(_jh_answer_t *answer)
{
	if (answer->held)
		g_byte_array_free(answer->held, TRUE);
	*answer = (_jh_answer_t){ .completed_at = G_MAXUINT, .released = answer->released };
}

/* ---- holding back ---- */

/* Look at the messages from @from on. Parts consist of whole messages. Return: 0, or -1 if not */
static int answer_scan(_jh_answer_t *answer, guint from)
{
	const GByteArray *held = answer->held;
	guint at = from;

	while (at < held->len) {
		uint32_t length;

		if (held->len - at < MESSAGE_HEADER_BYTES)
			return -1;
		memcpy(&length, held->data + at + 1, sizeof(length));
		length = GUINT32_FROM_BE(length);
		if (length < sizeof(length) || length > held->len - at - 1)
			return -1;
		if (held->data[at] == JH_V3_COMMAND_COMPLETE ||
		    held->data[at] == JH_V3_PORTAL_SUSPENDED) {
			answer->completed_at = MIN(answer->completed_at, at);
			answer->latest_at = at;
		} else if (held->data[at] == JH_V3_PARSE_COMPLETE) {
			answer->parsed++;
		}
		at += 1 + length;
	}
	return 0;
}

static void answer_release(_jh_answer_t *answer, _jh_caller_t *caller, guint length)
{
	if (length == 0)
		return;
	g_byte_array_append(_jh_caller_out(caller), answer->held->data, length);
	g_byte_array_remove_range(answer->held, 0, length);
	answer->completed_at = answer->completed_at >= length ? answer->completed_at - length : 0;
	answer->latest_at = answer->latest_at >= length ? answer->latest_at - length : 0;
	answer->released = true;
}

/* Give the caller what need not be held any longer. */
static void answer_stream(_jh_answer_t *answer, _jh_caller_t *caller)
{
	guint rows = MIN(answer->completed_at, answer->held->len);

	if (answer->completed_at == G_MAXUINT) {
		if (answer->held->len > HOLD_START_BYTES) {
			answer_release(answer, caller, rows);
			answer->completed_at = G_MAXUINT;
		}
	} else if (answer->held->len > HOLD_END_BYTES) {
		answer_release(answer, caller, answer->latest_at);
	}
}

/* ---- matching ---- */

static _jh_request_t *answer_request(_jh_entry_t *entry, const jh_frame_msg_t *msg, uint64_t id,
				     uint32_t attempt)
{
	_jh_request_t *request = jh_table_get(entry->requests, id);

	if (request && request->state == JH_REQUEST_SENT && request->attempt == attempt &&
	    request->vm == msg->vm)
		return request;
	jh_counter_add(&late_total, 1);
	jh_log(JH_LOG_INFO, "entry", "late_answer",
	       "request=%" G_GUINT64_FORMAT " attempt=%u owner=%s", id, attempt,
	       jh_log_value(msg->vm));
	return NULL;
}

/* What came is not whole: the database ran it, but the answer can't be given. */
static void answer_broken(_jh_request_t *request, const char *what)
{
	jh_log(JH_LOG_ERROR, "entry", "answer_broken", "request=%" G_GUINT64_FORMAT " what=%s",
	       request->handle, jh_log_value(what));
	_jh_report_set(&request->reason, JH_REFUSE_LOST, "%s: the answer did not arrive whole",
		       request->group);
	_jh_release_send(request->entry, request->vm, request->handle, request->pin.id);
	_jh_request_retry(request, JH_RETRY_UNKNOWN, 0);
}

void _jh_answer_on_part(_jh_entry_t *entry, const jh_frame_msg_t *msg)
{
	const Jh__AnswerPart *part = msg->frame->answer_part;
	_jh_request_t *request = answer_request(entry, msg, part->id, part->attempt);
	_jh_answer_t *answer;
	_jh_caller_t *caller;
	guint from;

	if (!request)
		return;
	answer = &request->answer;
	if (part->sequence != answer->next_part++) {
		answer_broken(request, "a part is missing");
		return;
	}
	if (!answer->held)
		answer->held = g_byte_array_new();
	from = answer->held->len;
	g_byte_array_append(answer->held, part->messages.data, (guint)part->messages.len);
	answer->received += part->messages.len;
	if (answer_scan(answer, from) < 0) {
		answer_broken(request, "a part is malformed");
		return;
	}
	caller = jh_table_get(entry->callers, request->caller);
	answer_stream(answer, caller);
	_jh_caller_apply_state(caller);
}

void _jh_answer_acknowledge(_jh_caller_t *caller)
{
	_jh_entry_t *entry = caller->entry;
	_jh_request_t *request = jh_table_get(entry->requests, caller->request);
	_jh_answer_t *answer = request ? &request->answer : NULL;
	Jh__Frame *frame;

	if (!request || request->state != JH_REQUEST_SENT ||
	    answer->received - answer->acknowledged < ACKNOWLEDGE_BYTES)
		return;
	answer->acknowledged = answer->received;
	frame = jh_frame_new(JH__FRAME__BODY_ANSWER_ACK);
	frame->answer_ack->id = request->handle;
	frame->answer_ack->attempt = request->attempt;
	frame->answer_ack->bytes = answer->received;
	jh_frame_send(entry->task, request->vm, frame);
}

/* ---- the end of an attempt without an answer ---- */

/** struct end_reason - what an owner's reason means here */
typedef struct end_reason {
	_jh_refusal_t refusal;
	jh_retry_outcome_t outcome;
	const char *text;
} end_reason_t;

static const end_reason_t end_reasons[] = {
	[JH__ANSWER_END__REASON__NONE] = { JH_REFUSE_LOST, JH_RETRY_NOT_RUN, "not run" },
	[JH__ANSWER_END__REASON__BEHIND] = { JH_REFUSE_BEHIND, JH_RETRY_REDIRECTED,
					     "the database does not cover the session token" },
	[JH__ANSWER_END__REASON__NOT_OWNER] = { JH_REFUSE_NO_OWNER, JH_RETRY_REDIRECTED,
						"the database's owner has changed" },
	[JH__ANSWER_END__REASON__NOT_PRIMARY] = { JH_REFUSE_NO_PRIMARY, JH_RETRY_REDIRECTED,
						  "the database is not the primary" },
	[JH__ANSWER_END__REASON__OVERLOADED] = { JH_REFUSE_OVERLOADED, JH_RETRY_NOT_RUN,
						 "the database's queue is full" },
	[JH__ANSWER_END__REASON__DRAINING] = { JH_REFUSE_NO_OWNER, JH_RETRY_REDIRECTED,
					       "the database's owner is shutting down" },
	[JH__ANSWER_END__REASON__UNREACHABLE] = { JH_REFUSE_UNREACHABLE, JH_RETRY_REDIRECTED,
						  "the database can't be reached" },
	[JH__ANSWER_END__REASON__DEADLINE] = { JH_REFUSE_DEADLINE, JH_RETRY_NOT_RUN,
					       "the deadline can't be met" },
	[JH__ANSWER_END__REASON__PIN_LOST] = { JH_REFUSE_PIN_LOST, JH_RETRY_NOT_RUN,
					       "the transaction's connection is gone" },
	[JH__ANSWER_END__REASON__STALE_CONFIG] = { JH_REFUSE_NO_OWNER, JH_RETRY_REDIRECTED,
						   "the owner has another configuration" },
	[JH__ANSWER_END__REASON__DUPLICATE] = { JH_REFUSE_DUPLICATE, JH_RETRY_UNKNOWN,
						"a request with this id ran before" },
};

static const end_reason_t *find_reason(Jh__AnswerEnd__Reason reason)
{
	if ((unsigned)reason >= G_N_ELEMENTS(end_reasons))
		return &end_reasons[JH__ANSWER_END__REASON__NONE];
	return &end_reasons[reason];
}

/* Asking the same queue again does not help; only a read may find another database. */
static bool reason_is_final(const _jh_request_t *request, Jh__AnswerEnd__Reason reason)
{
	switch (reason) {
	case JH__ANSWER_END__REASON__OVERLOADED:
	case JH__ANSWER_END__REASON__DEADLINE:
		return request->write;
	case JH__ANSWER_END__REASON__DUPLICATE:
		return true;
	default:
		return false;
	}
}

static void end_without_answer(_jh_request_t *request, const Jh__AnswerEnd *end)
{
	const end_reason_t *reason = find_reason(end->reason);
	jh_retry_outcome_t outcome = reason->outcome;

	if (end->outcome == JH__ANSWER_END__OUTCOME__UNKNOWN)
		outcome = JH_RETRY_UNKNOWN;
	_jh_report_set(&request->reason, reason->refusal, "%s: %s", request->group,
		       *end->message ? end->message : reason->text);
	if (reason_is_final(request, end->reason))
		_jh_request_give_up(request, outcome, end->retry_after_ms);
	else
		_jh_request_retry(request, outcome, end->retry_after_ms);
}

/* ---- the end of an answer ---- */

/* Statements that the database did not take are not kept. */
static void forget_failed_parses(_jh_caller_t *caller, const _jh_request_t *request)
{
	unsigned seen = 0;
	unsigned i;

	for (i = 0; caller->statements && i < request->ops->len; i++) {
		const Jh__Op *op = g_ptr_array_index(request->ops, i);

		if (op->kind == JH__OP__KIND__PARSE && seen++ >= request->answer.parsed)
			g_hash_table_remove(caller->statements, op->statement);
	}
}

static void caller_take_end(_jh_caller_t *caller, const _jh_request_t *request,
			    const jh_frame_msg_t *msg)
{
	const Jh__AnswerEnd *end = msg->frame->answer_end;
	char state =
		end->transaction == 'T' || end->transaction == 'E' ? (char)end->transaction : 'I';

	caller->transaction = state;
	caller->pin = (_jh_pin_t){ 0 };
	if (end->pin != 0)
		caller->pin = (_jh_pin_t){
			.id = end->pin,
			.vm = request->vm,
			.boot = msg->boot,
			.database = request->database,
		};
	caller->unsynced = !request->synced && end->pin != 0;
	if (end->wrote) {
		jh_session_advance(&caller->session, request->group,
				   (jh_position_t){ .term = end->term, .index = end->index });
		caller->session_us = _jh_entry_now_us(caller->entry);
	}
	if (end->failed)
		forget_failed_parses(caller, request);
}

static void count_answer(const _jh_request_t *request)
{
	const _jh_entry_group_t *group =
		g_hash_table_lookup(request->entry->groups, request->group);

	if (request->write)
		jh_counter_add(&writes_total, 1);
	else if (group && group->view && g_strcmp0(group->view->primary, request->database) == 0)
		jh_counter_add(&reads_primary_total, 1);
	else
		jh_counter_add(&reads_replica_total, 1);
}

static char *record_line(const _jh_request_t *request, const Jh__AnswerEnd *end,
			 const char *outcome)
{
	const jh_kernel_t *kernel = jh_task_kernel(request->entry->task);
	GString *line = g_string_new(NULL);
	size_t i;

	g_string_append_printf(line,
			       "hlc=%016" G_GINT64_MODIFIER "x vm=%s boot=%016" G_GINT64_MODIFIER
			       "x team=%s route=%s",
			       jh_hlc_now(), jh_kernel_settings(kernel)->vm, jh_kernel_boot(kernel),
			       *request->team ? jh_log_value(request->team) : "-",
			       jh_log_value(request->route));
	g_string_append_printf(line,
			       " session=%" G_GUINT64_FORMAT " request=%" G_GUINT64_FORMAT
			       " attempt=%u request_id=%s group=%s database=%s",
			       request->caller, request->handle, request->attempt,
			       request->request_id ? jh_log_value(request->request_id) : "-",
			       jh_log_value(request->group), jh_log_value(request->database));
	g_string_append_printf(line,
			       " term=%" G_GUINT64_FORMAT " index=%" G_GUINT64_FORMAT
			       " rows=%" G_GUINT64_FORMAT " digest=",
			       end->term, end->index, end->rows);
	for (i = 0; i < end->digest.len; i++)
		g_string_append_printf(line, "%02x", end->digest.data[i]);
	if (end->digest.len == 0)
		g_string_append_c(line, '-');
	g_string_append_printf(line, " outcome=%s", outcome);
	return g_string_free(line, FALSE);
}

static void answer_finish(_jh_request_t *request)
{
	_jh_caller_t *caller = jh_table_get(request->entry->callers, request->caller);
	_jh_answer_t *answer = &request->answer;

	caller->request = JH_HANDLE_NONE;
	if (answer->held)
		answer_release(answer, caller, answer->held->len);
	if (request->wrote)
		_jh_caller_show_session(caller);
	if (request->synced)
		_jh_caller_write_ready(caller);
	else
		caller->skip = request->failed;
	_jh_request_free(request);
	_jh_caller_resume(caller);
}

static void log_answer(const _jh_request_t *request, bool failed)
{
	jh_log(JH_LOG_DEBUG, "entry", "request_answered",
	       "session=%" G_GUINT64_FORMAT " request=%" G_GUINT64_FORMAT
	       " attempt=%u team=%s route=%s group=%s database=%s outcome=%s",
	       request->caller, request->handle, request->attempt, jh_log_value(request->team),
	       jh_log_value(request->route), jh_log_value(request->group), request->database,
	       failed ? "error" : "done");
}

static void end_with_answer(_jh_request_t *request, const jh_frame_msg_t *msg)
{
	const Jh__AnswerEnd *end = msg->frame->answer_end;
	_jh_caller_t *caller = jh_table_get(request->entry->callers, request->caller);
	jh_kernel_t *kernel = jh_task_kernel(request->entry->task);

	caller_take_end(caller, request, msg);
	request->wrote = end->wrote;
	request->failed = end->failed;
	request->state = JH_REQUEST_RECORDING;
	count_answer(request);
	log_answer(request, end->failed);
	if (jh_kernel_find(kernel, "record") == JH_HANDLE_NONE) {
		answer_finish(request);
		return;
	}
	jh_record_write(request->entry->task,
			record_line(request, end, end->failed ? "error" : "done"), request->handle);
}

void _jh_answer_on_end(_jh_entry_t *entry, const jh_frame_msg_t *msg)
{
	const Jh__AnswerEnd *end = msg->frame->answer_end;
	_jh_request_t *request = answer_request(entry, msg, end->id, end->attempt);

	if (!request)
		return;
	if (end->outcome != JH__ANSWER_END__OUTCOME__DONE)
		end_without_answer(request, end);
	else if (end->parts != request->answer.next_part)
		answer_broken(request, "parts are missing at the end");
	else
		end_with_answer(request, msg);
}

void _jh_answer_on_recorded(_jh_request_t *request, bool held, uint32_t retry_after_ms)
{
	_jh_report_t report;

	if (held) {
		answer_finish(request);
		return;
	}
	jh_counter_add(&unrecorded_total, 1);
	_jh_report_set(&report, JH_REFUSE_RECORD,
		       "the answer is withheld, since no record of it can be kept now");
	report.fate = JH_RUN_OUTCOME_UNKNOWN;
	report.retry_after_ms = retry_after_ms;
	_jh_request_refuse(request, &report);
}
