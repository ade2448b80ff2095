/* Responses of owners: matches them to requests, buffers them, sends an audit-record line for each
 * to the record task, and releases them to callers. entry_request.c makes the attempts and decides
 * on retries; entry.c passes the frames of owners and the replies of the record task to this file.
 * A response to an earlier attempt, or to a request that has ended, is dropped and logged.
 */

#include "internal/entry.h"

#include "jh_counter.h"
#include "jh_log.h"
#include "jh_service.h"

#include <string.h>

/* Limit of the bytes that are withheld before the first CommandComplete or PortalSuspended. While
 * all are withheld, the request can be retried; after a part was released, it can't.
 */
#define RETRY_BUFFER_BYTES (64u * 1024)

/* Limit of the bytes that are withheld from the first CommandComplete or PortalSuspended on, until
 * the audit record is stored. Above it, the messages before the last of them are released, to limit
 * the memory.
 */
#define COMPLETED_BUFFER_BYTES (4u * 1024 * 1024)

/* Bytes after which the owner gets an acknowledgement; less than JH_OWNER_WINDOW_BYTES. */
#define ACKNOWLEDGE_INTERVAL_BYTES (256u * 1024)

#define MESSAGE_HEADER_BYTES 5u

JH_COUNTER(reads_replica_total, "jasminehill_reads_replica_total", "reads answered by replicas");
JH_COUNTER(reads_primary_total, "jasminehill_reads_primary_total", "reads answered by primaries");
JH_COUNTER(writes_total, "jasminehill_writes_total", "requests answered as writes");
JH_COUNTER(late_total, "jasminehill_answers_late_total",
	   "answers of attempts that had ended, dropped");
JH_COUNTER(unrecorded_total, "jasminehill_answers_unrecorded_total",
	   "answers withheld since their record could not be held");

void _jh_response_reset(_jh_response_t *response)
{
	if (response->buffer)
		g_byte_array_free(response->buffer, TRUE);
	*response = (_jh_response_t){ .first_complete_offset = G_MAXUINT,
				      .released = response->released };
}

/* ---- Buffering ---- */

/* Scans the messages that start at offset @start; a part consists of complete messages.
 * Return: 0, or -1 if the last message is incomplete or a length is invalid
 */
static int response_scan_messages(_jh_response_t *response, guint start)
{
	const GByteArray *buffer = response->buffer;
	guint offset = start;

	while (offset < buffer->len) {
		uint32_t length;

		if (buffer->len - offset < MESSAGE_HEADER_BYTES)
			return -1;
		memcpy(&length, buffer->data + offset + 1, sizeof(length));
		length = GUINT32_FROM_BE(length);
		if (length < sizeof(length) || length > buffer->len - offset - 1)
			return -1;
		if (buffer->data[offset] == JH_V3_COMMAND_COMPLETE ||
		    buffer->data[offset] == JH_V3_PORTAL_SUSPENDED) {
			response->first_complete_offset =
				MIN(response->first_complete_offset, offset);
			response->last_complete_offset = offset;
		} else if (buffer->data[offset] == JH_V3_PARSE_COMPLETE) {
			response->parse_complete_count++;
		}
		offset += 1 + length;
	}
	return 0;
}

static void response_release(_jh_response_t *response, _jh_caller_t *caller, guint length)
{
	if (length == 0)
		return;
	g_byte_array_append(_jh_caller_get_output(caller), response->buffer->data, length);
	g_byte_array_remove_range(response->buffer, 0, length);
	response->first_complete_offset = response->first_complete_offset >= length ?
						  response->first_complete_offset - length :
						  0;
	response->last_complete_offset = response->last_complete_offset >= length ?
						 response->last_complete_offset - length :
						 0;
	response->released = true;
}

/* Releases messages before the response is complete, as far as the two limits above allow. */
static void response_release_early(_jh_response_t *response, _jh_caller_t *caller)
{
	guint length = MIN(response->first_complete_offset, response->buffer->len);

	if (response->first_complete_offset == G_MAXUINT) {
		if (response->buffer->len > RETRY_BUFFER_BYTES) {
			response_release(response, caller, length);
			response->first_complete_offset = G_MAXUINT;
		}
	} else if (response->buffer->len > COMPLETED_BUFFER_BYTES) {
		response_release(response, caller, response->last_complete_offset);
	}
}

/* ---- Parts of responses ---- */

/* Return: the request whose current attempt the frame belongs to; NULL if there is none */
static _jh_request_t *response_find_request(_jh_entry_t *entry, const jh_frame_msg_t *msg,
					    uint64_t id, uint32_t attempt)
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

/* Ends an attempt whose response is incomplete or malformed. The database may have run it. */
static void request_fail_broken_response(_jh_request_t *request, const char *defect)
{
	jh_log(JH_LOG_ERROR, "entry", "answer_broken", "request=%" G_GUINT64_FORMAT " what=%s",
	       request->handle, jh_log_value(defect));
	_jh_error_report_set(&request->reason, JH_REFUSE_OWNER_LOST,
			     "%s: the answer did not arrive whole", request->group);
	_jh_release_send(request->entry, request->vm, request->handle, request->pin.id);
	_jh_request_retry(request, JH_RETRY_UNKNOWN, 0);
}

void _jh_response_on_part(_jh_entry_t *entry, const jh_frame_msg_t *msg)
{
	const Jh__AnswerPart *part = msg->frame->answer_part;
	_jh_request_t *request = response_find_request(entry, msg, part->id, part->attempt);
	_jh_response_t *response;
	_jh_caller_t *caller;
	guint start;

	if (!request)
		return;
	response = &request->response;
	if (part->sequence != response->next_sequence++) {
		request_fail_broken_response(request, "a part is missing");
		return;
	}
	if (!response->buffer)
		response->buffer = g_byte_array_new();
	start = response->buffer->len;
	g_byte_array_append(response->buffer, part->messages.data, (guint)part->messages.len);
	response->received_bytes += part->messages.len;
	if (response_scan_messages(response, start) < 0) {
		request_fail_broken_response(request, "a part is malformed");
		return;
	}
	caller = jh_table_get(entry->callers, request->caller);
	response_release_early(response, caller);
	_jh_caller_apply_state(caller);
}

void _jh_response_acknowledge(_jh_caller_t *caller)
{
	_jh_entry_t *entry = caller->entry;
	_jh_request_t *request = jh_table_get(entry->requests, caller->request);
	_jh_response_t *response = request ? &request->response : NULL;
	Jh__Frame *frame;

	if (!request || request->state != JH_REQUEST_SENT ||
	    response->received_bytes - response->acknowledged_bytes < ACKNOWLEDGE_INTERVAL_BYTES)
		return;
	response->acknowledged_bytes = response->received_bytes;
	frame = jh_frame_new(JH__FRAME__BODY_ANSWER_ACK);
	frame->answer_ack->id = request->handle;
	frame->answer_ack->attempt = request->attempt;
	frame->answer_ack->bytes = response->received_bytes;
	jh_frame_send(entry->task, request->vm, frame);
}

/* ---- Attempts that ended without a response ---- */

/**
 * struct end_reason - how the entry handles a reason of AnswerEnd
 * @refusal: error that the caller gets if the request is not retried
 * @outcome: outcome of the attempt, unless the owner reports that it is unknown
 * @text: error message if the owner sent none
 */
typedef struct end_reason {
	_jh_refusal_t refusal;
	jh_retry_outcome_t outcome;
	const char *text;
} end_reason_t;

static const end_reason_t end_reasons[] = {
	[JH__ANSWER_END__REASON__NONE] = { JH_REFUSE_OWNER_LOST, JH_RETRY_NOT_RUN, "not run" },
	[JH__ANSWER_END__REASON__BEHIND] = { JH_REFUSE_LAGGING, JH_RETRY_REDIRECTED,
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

static const end_reason_t *end_reason_find(Jh__AnswerEnd__Reason reason)
{
	if ((unsigned)reason >= G_N_ELEMENTS(end_reasons))
		return &end_reasons[JH__ANSWER_END__REASON__NONE];
	return &end_reasons[reason];
}

/* After OVERLOADED or DEADLINE, a retried write would join the same queue again, while a read may
 * find another database. A retry with a duplicate request id is refused again.
 */
static bool reason_is_final(const _jh_request_t *request, Jh__AnswerEnd__Reason reason)
{
	switch (reason) {
	case JH__ANSWER_END__REASON__OVERLOADED:
	case JH__ANSWER_END__REASON__DEADLINE:
		return request->is_write;
	case JH__ANSWER_END__REASON__DUPLICATE:
		return true;
	default:
		return false;
	}
}

static void handle_end_without_response(_jh_request_t *request, const Jh__AnswerEnd *end)
{
	const end_reason_t *reason = end_reason_find(end->reason);
	jh_retry_outcome_t outcome = reason->outcome;

	if (end->outcome == JH__ANSWER_END__OUTCOME__UNKNOWN)
		outcome = JH_RETRY_UNKNOWN;
	_jh_error_report_set(&request->reason, reason->refusal, "%s: %s", request->group,
			     *end->message ? end->message : reason->text);
	if (reason_is_final(request, end->reason))
		_jh_request_fail(request, outcome, end->retry_after_ms);
	else
		_jh_request_retry(request, outcome, end->retry_after_ms);
}

/* ---- Complete responses ---- */

/* Removes the prepared statements whose Parse failed or was skipped after an error. PostgreSQL
 * handles messages in order, so the first response.parse_complete_count Parse messages of the
 * request succeeded, and only those.
 */
static void drop_failed_statements(_jh_caller_t *caller, const _jh_request_t *request)
{
	unsigned parse_index = 0;
	unsigned i;

	for (i = 0; caller->statements && i < request->ops->len; i++) {
		const Jh__Op *op = g_ptr_array_index(request->ops, i);

		if (op->kind == JH__OP__KIND__PARSE &&
		    parse_index++ >= request->response.parse_complete_count)
			g_hash_table_remove(caller->statements, op->statement);
	}
}

static void caller_apply_end(_jh_caller_t *caller, const _jh_request_t *request,
			     const jh_frame_msg_t *msg)
{
	const Jh__AnswerEnd *end = msg->frame->answer_end;
	char status =
		end->transaction == 'T' || end->transaction == 'E' ? (char)end->transaction : 'I';

	caller->transaction = status;
	caller->pin = (_jh_pin_t){ 0 };
	if (end->pin != 0)
		caller->pin = (_jh_pin_t){
			.id = end->pin,
			.vm = request->vm,
			.boot = msg->boot,
			.database = request->database,
		};
	caller->awaits_sync = !request->ends_with_sync && end->pin != 0;
	if (end->wrote) {
		jh_session_advance(&caller->session, request->group,
				   (jh_position_t){ .term = end->term, .index = end->index });
		caller->session_changed_us = _jh_entry_now_us(caller->entry);
	}
	if (end->failed)
		drop_failed_statements(caller, request);
}

static void count_response_by_source(const _jh_request_t *request)
{
	const _jh_entry_group_t *group =
		g_hash_table_lookup(request->entry->groups, request->group);

	if (request->is_write)
		jh_counter_add(&writes_total, 1);
	else if (group && group->view && g_strcmp0(group->view->primary, request->database) == 0)
		jh_counter_add(&reads_primary_total, 1);
	else
		jh_counter_add(&reads_replica_total, 1);
}

static char *record_line_format(const _jh_request_t *request, const Jh__AnswerEnd *end,
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

static void request_finish(_jh_request_t *request)
{
	_jh_caller_t *caller = jh_table_get(request->entry->callers, request->caller);
	_jh_response_t *response = &request->response;

	caller->request = JH_HANDLE_NONE;
	if (response->buffer)
		response_release(response, caller, response->buffer->len);
	if (request->wrote)
		_jh_caller_write_session(caller);
	if (request->ends_with_sync)
		_jh_caller_write_ready(caller);
	else
		caller->discards_until_sync = request->failed;
	_jh_request_free(request);
	_jh_caller_resume(caller);
}

static void request_log_response(const _jh_request_t *request, bool failed)
{
	jh_log(JH_LOG_DEBUG, "entry", "request_answered",
	       "session=%" G_GUINT64_FORMAT " request=%" G_GUINT64_FORMAT
	       " attempt=%u team=%s route=%s group=%s database=%s outcome=%s",
	       request->caller, request->handle, request->attempt, jh_log_value(request->team),
	       jh_log_value(request->route), jh_log_value(request->group), request->database,
	       failed ? "error" : "done");
}

static void handle_end_with_response(_jh_request_t *request, const jh_frame_msg_t *msg)
{
	const Jh__AnswerEnd *end = msg->frame->answer_end;
	_jh_caller_t *caller = jh_table_get(request->entry->callers, request->caller);
	jh_kernel_t *kernel = jh_task_kernel(request->entry->task);

	caller_apply_end(caller, request, msg);
	request->wrote = end->wrote;
	request->failed = end->failed;
	request->state = JH_REQUEST_RECORDING;
	count_response_by_source(request);
	request_log_response(request, end->failed);
	if (jh_kernel_find(kernel, "record") == JH_HANDLE_NONE) {
		request_finish(request);
		return;
	}
	jh_record_write(request->entry->task,
			record_line_format(request, end, end->failed ? "error" : "done"),
			request->handle);
}

void _jh_response_on_end(_jh_entry_t *entry, const jh_frame_msg_t *msg)
{
	const Jh__AnswerEnd *end = msg->frame->answer_end;
	_jh_request_t *request = response_find_request(entry, msg, end->id, end->attempt);

	if (!request)
		return;
	if (end->outcome != JH__ANSWER_END__OUTCOME__DONE)
		handle_end_without_response(request, end);
	else if (end->parts != request->response.next_sequence)
		request_fail_broken_response(request, "parts are missing at the end");
	else
		handle_end_with_response(request, msg);
}

void _jh_response_on_recorded(_jh_request_t *request, bool is_recorded, uint32_t retry_after_ms)
{
	_jh_error_report_t report;

	if (is_recorded) {
		request_finish(request);
		return;
	}
	jh_counter_add(&unrecorded_total, 1);
	_jh_error_report_set(&report, JH_REFUSE_NOT_RECORDED,
			     "the answer is withheld, since no record of it can be kept now");
	report.outcome = JH_RUN_OUTCOME_UNKNOWN;
	report.retry_after_ms = retry_after_ms;
	_jh_request_refuse(request, &report);
}
