/* Jobs of the owner: sending the response in parts, ending it, and withholding it. The phases that
 * fill the response are in owner_run.c and owner_steps.c, the queue of waiting jobs in
 * owner_pool.c.
 *
 * All messages from the first CommandComplete on are sent together with the AnswerEnd, because they
 * tell the caller that a command succeeded. If the response depends on a position of the primary's
 * log, they are withheld until that position is replicated to a majority of the group's members in
 * the same term. If a higher term begins before that, the outcome is unknown: the new primary may
 * or may not have received the log entry.
 */
#include "internal/owner.h"

#include "jh_counter.h"
#include "jh_log.h"
#include "jh_v3.h"

#include <string.h>

/* Delay before a retry when the outcome does not suggest another one, in milliseconds. */
#define RETRY_AFTER_MS 50

JH_COUNTER(done_total, "jasminehill_owner_done_total", "requests answered by their database");
JH_COUNTER(not_run_total, "jasminehill_owner_not_run_total", "requests refused before they ran");
JH_COUNTER(unknown_total, "jasminehill_owner_unknown_total", "requests that may have run");
JH_COUNTER(queue_us_total, "jasminehill_owner_queue_microseconds_total",
	   "time that requests waited for a connection and a slot");
JH_COUNTER(run_us_total, "jasminehill_owner_run_microseconds_total",
	   "time that requests used a slot");
JH_COUNTER(held_total, "jasminehill_owner_held_total",
	   "answers that waited for a majority of the group");
JH_COUNTER(held_us_total, "jasminehill_owner_held_microseconds_total",
	   "time that answers waited for a majority of the group");

/* ---- Keys of hash tables ---- */

guint _jh_request_key_hash(gconstpointer data)
{
	const _jh_request_key_t *id = data;

	return g_direct_hash(id->vm) ^ (guint)(id->boot >> 32) ^ (guint)id->id * 2654435761u;
}

gboolean _jh_request_key_equal(gconstpointer a, gconstpointer b)
{
	const _jh_request_key_t *a_id = a;
	const _jh_request_key_t *b_id = b;

	return a_id->vm == b_id->vm && a_id->boot == b_id->boot && a_id->id == b_id->id;
}

/* ---- Making and freeing jobs ---- */

static int64_t owner_now_us(const _jh_owner_t *owner)
{
	return jh_kernel_now_us(jh_task_kernel(owner->task));
}

static void on_deadline(struct ev_loop *loop, ev_timer *watcher, int events)
{
	_jh_job_t *job = watcher->data;
	_jh_conn_t *conn = job->conn;

	(void)loop;
	(void)events;
	if (job->state == JH_JOB_QUEUED) {
		_jh_job_refuse(job, JH__ANSWER_END__REASON__DEADLINE,
			       "its time was over before a connection was free", RETRY_AFTER_MS);
		return;
	}
	_jh_job_end_unknown(job, JH__ANSWER_END__REASON__DEADLINE,
			    "its time was over while it ran");
	if (conn)
		_jh_conn_abandon(conn);
}

_jh_job_t *_jh_job_new(_jh_owner_t *owner, _jh_pool_t *pool, const char *vm, uint64_t boot,
		       Jh__Frame *frame)
{
	_jh_job_t *job = g_new0(_jh_job_t, 1);
	double timeout_s = (double)MAX(frame->request->deadline_ms, 1) / 1000;

	job->owner = owner;
	job->pool = pool;
	job->frame = frame;
	job->request = frame->request;
	job->id = (_jh_request_key_t){ .vm = vm, .boot = boot, .id = frame->request->id };
	job->team = g_intern_string(frame->request->team);
	job->queued_us = owner_now_us(owner);
	job->unsent = g_byte_array_new();
	job->transaction = 'I';
	crypto_hash_sha256_init(&job->digest);
	job->handle = jh_table_add(owner->jobs, job);
	g_hash_table_replace(owner->jobs_by_request, &job->id, job);
	ev_timer_init(&job->deadline, on_deadline, timeout_s, 0);
	job->deadline.data = job;
	ev_timer_start(jh_task_loop(owner->task), &job->deadline);
	return job;
}

void _jh_job_free(_jh_job_t *job)
{
	_jh_owner_t *owner = job->owner;

	if (job->state == JH_JOB_QUEUED)
		jh_fair_queue_remove(job->pool->queue, job->team, job->handle);
	if (job->conn)
		job->conn->job = NULL;
	g_ptr_array_remove(job->pool->withheld, job);
	ev_timer_stop(jh_task_loop(owner->task), &job->deadline);
	if (g_hash_table_lookup(owner->jobs_by_request, &job->id) == job)
		g_hash_table_remove(owner->jobs_by_request, &job->id);
	jh_table_remove(owner->jobs, job->handle);
	g_byte_array_free(job->unsent, TRUE);
	jh_frame_free(job->frame);
	g_free(job);
}

/* ---- Parts of a response ---- */

static void send_part(_jh_job_t *job)
{
	Jh__Frame *frame;

	if (job->unsent->len == 0)
		return;
	frame = jh_frame_new(JH__FRAME__BODY_ANSWER_PART);
	crypto_hash_sha256_update(&job->digest, job->unsent->data, job->unsent->len);
	frame->answer_part->id = job->id.id;
	frame->answer_part->attempt = job->request->attempt;
	frame->answer_part->sequence = job->parts++;
	frame->answer_part->messages.len = job->unsent->len;
	job->bytes_sent += job->unsent->len;
	frame->answer_part->messages.data = g_byte_array_free(job->unsent, FALSE);
	job->unsent = g_byte_array_new();
	jh_frame_send(job->owner->task, job->id.vm, frame);
}

void _jh_job_flush(_jh_job_t *job)
{
	bool may_be_stored =
		job->request->request_id && *job->request->request_id && job->request->write;

	if (job->withholds_rest || job->unsent->len < JH_OWNER_PART_BYTES)
		return;
	if (!may_be_stored || job->unsent->len > JH_OWNER_STORED_MAX_BYTES)
		send_part(job);
}

void _jh_job_write_error(_jh_job_t *job, const char *sqlstate, const char *message)
{
	const jh_v3_report_t report = {
		.severity = "ERROR",
		.sqlstate = sqlstate,
		.message = message,
	};

	jh_v3_write_error(job->unsent, &report);
	job->failed = true;
	g_strlcpy(job->sqlstate, sqlstate, sizeof(job->sqlstate));
}

/* ---- End of a response ---- */

static Jh__Frame *new_answer_end(const Jh__Request *request, Jh__AnswerEnd__Outcome outcome,
				 Jh__AnswerEnd__Reason reason, const char *message)
{
	Jh__Frame *frame = jh_frame_new(JH__FRAME__BODY_ANSWER_END);
	Jh__AnswerEnd *end = frame->answer_end;

	end->id = request->id;
	end->attempt = request->attempt;
	end->outcome = outcome;
	end->reason = reason;
	end->message = jh_frame_strdup(message);
	end->database = jh_frame_strdup(request->database);
	end->transaction = 'I';
	return frame;
}

static void send_end_and_free(_jh_job_t *job, Jh__Frame *frame)
{
	Jh__AnswerEnd *end = frame->answer_end;

	end->parts = job->parts;
	end->run_us = job->run_us;
	end->queue_us =
		(job->started_us ? job->started_us : owner_now_us(job->owner)) - job->queued_us;
	jh_counter_add(&queue_us_total, end->queue_us);
	jh_counter_add(&run_us_total, end->run_us);
	jh_frame_send(job->owner->task, job->id.vm, frame);
	_jh_job_free(job);
}

static void send_response(_jh_job_t *job)
{
	Jh__Frame *frame = new_answer_end(job->request, JH__ANSWER_END__OUTCOME__DONE,
					  JH__ANSWER_END__REASON__NONE, "");
	Jh__AnswerEnd *end = frame->answer_end;

	send_part(job);
	end->transaction = (uint32_t)job->transaction;
	end->pin = job->pin;
	end->wrote = job->wrote;
	end->term = job->position.term;
	end->index = job->position.index;
	end->rows = job->rows;
	end->failed = job->failed;
	end->digest.len = crypto_hash_sha256_BYTES;
	end->digest.data = g_malloc(crypto_hash_sha256_BYTES);
	crypto_hash_sha256_final(&job->digest, end->digest.data);
	jh_counter_add(&done_total, 1);
	send_end_and_free(job, frame);
}

void _jh_job_refuse(_jh_job_t *job, Jh__AnswerEnd__Reason reason, const char *message,
		    uint32_t retry_after_ms)
{
	Jh__Frame *frame =
		new_answer_end(job->request, JH__ANSWER_END__OUTCOME__NOT_RUN, reason, message);
	Jh__AnswerEnd *end = frame->answer_end;

	g_assert(job->parts == 0);
	end->retry_after_ms = retry_after_ms;
	end->term = job->pool->position.term;
	end->index = job->pool->position.index;
	end->pin = job->pin;
	end->transaction = (uint32_t)job->transaction;
	jh_counter_add(&not_run_total, 1);
	send_end_and_free(job, frame);
}

void _jh_job_end_unknown(_jh_job_t *job, Jh__AnswerEnd__Reason reason, const char *message)
{
	Jh__Frame *frame =
		new_answer_end(job->request, JH__ANSWER_END__OUTCOME__UNKNOWN, reason, message);

	/* An open transaction depends on the same position, which may be lost. */
	_jh_conn_t *pinned_conn =
		job->state == JH_JOB_WITHHELD ? jh_table_get(job->owner->pins, job->pin) : NULL;

	frame->answer_end->retry_after_ms = RETRY_AFTER_MS;
	jh_counter_add(&unknown_total, 1);
	send_end_and_free(job, frame);
	if (pinned_conn)
		_jh_conn_unpin(pinned_conn);
}

void _jh_owner_refuse(_jh_owner_t *owner, const char *vm, const Jh__Request *request,
		      Jh__AnswerEnd__Reason reason, const char *message, uint32_t retry_after_ms)
{
	Jh__Frame *frame =
		new_answer_end(request, JH__ANSWER_END__OUTCOME__NOT_RUN, reason, message);

	frame->answer_end->retry_after_ms = retry_after_ms;
	jh_counter_add(&not_run_total, 1);
	jh_frame_send(owner->task, vm, frame);
}

/* ---- Withheld responses ---- */

static jh_acknowledgement_t decide_acknowledgement(const _jh_job_t *job)
{
	const _jh_pool_t *pool = job->pool;
	const jh_group_t *group = jh_config_find_group(job->owner->config, pool->group);
	GPtrArray *members = g_ptr_array_new();
	jh_acknowledgement_t result;
	unsigned i;

	for (i = 0; group && i < group->databases->len; i++) {
		const jh_database_t *database = g_ptr_array_index(group->databases, i);

		g_ptr_array_add(members, database->name);
	}
	result = jh_acknowledge_decide(_jh_pool_group_view(pool), members, pool->name,
				       job->position);
	g_ptr_array_free(members, TRUE);
	return result;
}

/* End a withheld job if its position is replicated or superseded by a higher term. */
static void settle_withheld(_jh_job_t *job)
{
	switch (decide_acknowledgement(job)) {
	case JH_ACK_PENDING:
		break;
	case JH_ACK_REPLICATED:
		jh_counter_add(&held_us_total,
			       owner_now_us(job->owner) - job->started_us - job->run_us);
		send_response(job);
		break;
	default:
		_jh_job_end_unknown(job, JH__ANSWER_END__REASON__NOT_PRIMARY,
				    "the primary was replaced before a majority held the answer's "
				    "position");
	}
}

void _jh_job_finish(_jh_job_t *job)
{
	if (!job->must_hold) {
		send_response(job);
		return;
	}
	job->state = JH_JOB_WITHHELD;
	jh_counter_add(&held_total, 1);
	g_ptr_array_add(job->pool->withheld, job);
	settle_withheld(job);
}

void _jh_pool_settle_withheld(_jh_pool_t *pool)
{
	GArray *handles = g_array_new(FALSE, FALSE, sizeof(jh_handle_t));
	unsigned i;

	/* Settling one job may free others, so each one is looked up by its handle. */
	for (i = 0; i < pool->withheld->len; i++) {
		const _jh_job_t *job = g_ptr_array_index(pool->withheld, i);

		g_array_append_val(handles, job->handle);
	}
	for (i = 0; i < handles->len; i++) {
		_jh_job_t *job =
			jh_table_get(pool->owner->jobs, g_array_index(handles, jh_handle_t, i));

		if (job)
			settle_withheld(job);
	}
	g_array_free(handles, TRUE);
}
