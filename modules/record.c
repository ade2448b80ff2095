#include "jh_builtins.h"
#include "jh_counter.h"
#include "jh_frame.h"
#include "jh_log.h"
#include "jh_platform.h"
#include "jh_record.h"
#include "jh_service.h"

#include <string.h>

/*
 * The record task copies the record line of each response to a backup VM before the response is
 * released, keeps backup copies for other VMs, and puts batches into the object store. It runs the
 * actions that decisions/record.c and decisions/record_backup.c return.
 */

#define TICK_S 0.05

/* Retry hint while the task accepts no record lines. */
#define RETRY_AFTER_MS 2000u

/* Own lines get the configured memory limit divided by this, and backup copies the rest. */
#define OWN_LIMIT_DIVISOR 2

enum store_tag {
	STORE_OWN = 1,
	STORE_BACKUP = 2,
};

JH_COUNTER(lines_total, "jasminehill_record_lines_total", "answers recorded");
JH_COUNTER(refused_total, "jasminehill_record_refused_total",
	   "answers that could not be held by another VM");
JH_COUNTER(backup_lines_total, "jasminehill_record_held_total", "lines taken from other VMs");
JH_COUNTER(sent_bytes_total, "jasminehill_record_sent_bytes_total", "bytes of lines sent to peers");
JH_COUNTER(stored_total, "jasminehill_record_stored_total", "batches put into the object store");
JH_COUNTER(store_failed_total, "jasminehill_record_store_failed_total",
	   "batches that the object store did not take");
JH_COUNTER(own_bytes, "jasminehill_record_own_bytes", "memory of own lines not yet stored");
JH_COUNTER(backup_bytes, "jasminehill_record_held_bytes", "memory of lines held for others");

typedef struct record {
	jh_task_t *task;
	jh_record_log_t *log;
	jh_record_backup_t *backup;
	bool accepting;
	bool store_fails;
	ev_timer tick;
} record_t;

static int64_t record_now_us(const record_t *record)
{
	return jh_kernel_now_us(jh_task_kernel(record->task));
}

/* Actions */

static void send_line(record_t *record, const jh_record_action_t *action)
{
	Jh__Frame *frame = jh_frame_new(JH__FRAME__BODY_RECORD_PUT);
	Jh__RecordPut *put = frame->record_put;

	put->vm = jh_frame_strdup(action->author);
	put->boot = action->boot;
	put->sequence = action->sequence;
	put->flushed = action->flushed;
	put->entry.len = strlen(action->line);
	put->entry.data = g_memdup2(action->line, put->entry.len);
	jh_counter_add(&sent_bytes_total, (int64_t)put->entry.len);
	jh_frame_send(record->task, action->vm, frame);
}

static void send_ack(record_t *record, const jh_record_action_t *action)
{
	Jh__Frame *frame = jh_frame_new(JH__FRAME__BODY_RECORD_ACK);
	Jh__RecordAck *ack = frame->record_ack;

	ack->vm = jh_frame_strdup(action->author);
	ack->boot = action->boot;
	ack->sequence = action->sequence;
	ack->refused = action->refused;
	jh_frame_send(record->task, action->vm, frame);
}

/*
 * Runs the actions and frees the array.
 *
 * @tag: STORE_OWN for actions of the log, STORE_BACKUP for those of the backup;
 * handle_platform_reply() passes the results of stored batches to it
 */
static void run_actions(record_t *record, GArray *actions, enum store_tag tag)
{
	unsigned i;

	for (i = 0; i < actions->len; i++) {
		const jh_record_action_t *action = &g_array_index(actions, jh_record_action_t, i);

		switch (action->kind) {
		case JH_RECORD_SEND_PUT:
			send_line(record, action);
			break;
		case JH_RECORD_SEND_ACK:
			send_ack(record, action);
			break;
		case JH_RECORD_NOTIFY_REQUESTER:
			if (!action->is_durable)
				jh_counter_add(&refused_total, 1);
			jh_record_reply(record->task, action->requester, action->tag,
					action->is_durable, action->retry_after_ms);
			break;
		case JH_RECORD_STORE_BATCH:
			jh_platform_send(record->task, JH_PLATFORM_PUT_OBJECT, NULL, action->name,
					 0, action->body, tag);
			break;
		}
	}
	g_array_free(actions, TRUE);
}

static GArray *new_actions(void)
{
	return g_array_new(FALSE, FALSE, sizeof(jh_record_action_t));
}

/* Reports of changed state */

static void update_accepting(record_t *record)
{
	bool accepting = jh_record_log_is_accepting(record->log);
	jh_record_state_msg_t *msg;

	jh_counter_set(&own_bytes, jh_record_log_bytes(record->log));
	jh_counter_set(&backup_bytes, jh_record_backup_bytes(record->backup));
	if (accepting == record->accepting)
		return;
	record->accepting = accepting;
	jh_log(accepting ? JH_LOG_INFO : JH_LOG_WARNING, "record", accepting ? "accepting" : "full",
	       "lines=%u bytes=%" G_GINT64_FORMAT, jh_record_log_count(record->log),
	       jh_record_log_bytes(record->log));
	msg = g_rc_box_new0(jh_record_state_msg_t);
	msg->accepting = accepting;
	msg->retry_after_ms = accepting ? 0 : RETRY_AFTER_MS;
	jh_publish(record->task, JH_MSG_RECORD_STATE, msg, NULL);
}

static void update_store_status(record_t *record, bool is_stored)
{
	jh_counter_add(is_stored ? &stored_total : &store_failed_total, 1);
	if (record->store_fails == !is_stored)
		return;
	record->store_fails = !is_stored;
	jh_log(is_stored ? JH_LOG_INFO : JH_LOG_WARNING, "record",
	       is_stored ? "store_works" : "store_fails", "lines=%u held=%u",
	       jh_record_log_count(record->log), jh_record_backup_count(record->backup));
}

static void handle_platform_reply(record_t *record, const jh_platform_reply_t *reply)
{
	/* Each batch has a unique name, so a conflict means that an earlier attempt stored it. */
	bool is_stored = reply->status == JH_PLATFORM_OK || reply->status == JH_PLATFORM_CONFLICT;
	jh_record_store_result_t result = is_stored ? JH_RECORD_STORED : JH_RECORD_NOT_STORED;
	GArray *actions;

	update_store_status(record, is_stored);
	if (reply->tag == STORE_BACKUP) {
		jh_record_backup_on_stored(record->backup, result, record_now_us(record));
		return;
	}
	actions = new_actions();
	jh_record_log_on_stored(record->log, result, record_now_us(record), actions);
	run_actions(record, actions, STORE_OWN);
}

/* Messages */

static void handle_record(record_t *record, jh_handle_t from, const jh_record_msg_t *msg)
{
	GArray *actions = new_actions();

	jh_counter_add(&lines_total, 1);
	jh_record_log_append(record->log, msg->line, from, msg->tag, record_now_us(record),
			     actions);
	run_actions(record, actions, STORE_OWN);
	update_accepting(record);
}

static void handle_put(record_t *record, const char *vm, const Jh__RecordPut *frame)
{
	GArray *actions = new_actions();
	char *line = g_strndup((const char *)frame->entry.data, frame->entry.len);
	jh_record_put_t put = {
		.author = frame->vm,
		.boot = frame->boot,
		.sequence = frame->sequence,
		.line = line,
		.flushed = frame->flushed,
	};

	if (frame->sequence > 0)
		jh_counter_add(&backup_lines_total, 1);
	jh_record_backup_on_put(record->backup, vm, &put, record_now_us(record), actions);
	run_actions(record, actions, STORE_BACKUP);
	g_free(line);
}

static void handle_ack(record_t *record, const char *vm, const Jh__RecordAck *ack)
{
	GArray *actions = new_actions();

	jh_record_log_on_ack(record->log, vm, ack->boot, ack->sequence, ack->refused, actions);
	run_actions(record, actions, STORE_OWN);
}

static void handle_frame(record_t *record, const jh_frame_msg_t *msg)
{
	if (msg->frame->body_case == JH__FRAME__BODY_RECORD_PUT)
		handle_put(record, msg->vm, msg->frame->record_put);
	else if (msg->frame->body_case == JH__FRAME__BODY_RECORD_ACK)
		handle_ack(record, msg->vm, msg->frame->record_ack);
}

static void on_vms(record_t *record, const GPtrArray *vms)
{
	const char *previous_backup_vm = jh_record_log_backup_vm(record->log);
	const char *backup_vm;

	jh_record_log_set_vms(record->log, vms);
	jh_record_backup_set_vms(record->backup, vms, record_now_us(record));
	backup_vm = jh_record_log_backup_vm(record->log);
	if (backup_vm != previous_backup_vm)
		jh_log(JH_LOG_INFO, "record", "second_chosen", "second=%s",
		       backup_vm ? jh_log_value(backup_vm) : "none");
}

static void on_tick(struct ev_loop *loop, ev_timer *timer, int events)
{
	record_t *record = timer->data;
	GArray *actions = new_actions();

	(void)loop;
	(void)events;
	jh_record_log_on_tick(record->log, record_now_us(record), actions);
	run_actions(record, actions, STORE_OWN);
	actions = new_actions();
	jh_record_backup_on_tick(record->backup, record_now_us(record), actions);
	run_actions(record, actions, STORE_BACKUP);
	update_accepting(record);
}

/* Module interface */

static int record_init(jh_task_t *task, jh_error_t *err)
{
	const jh_kernel_t *kernel = jh_task_kernel(task);
	const jh_settings_t *settings = jh_kernel_settings(kernel);
	int64_t limit = settings->record_limit_bytes / OWN_LIMIT_DIVISOR;
	record_t *record = g_new0(record_t, 1);

	(void)err;
	record->task = task;
	record->accepting = true;
	record->log = jh_record_log_new(settings->vm, jh_kernel_boot(kernel), limit);
	record->backup = jh_record_backup_new(settings->vm, jh_kernel_boot(kernel),
					      settings->record_limit_bytes - limit);
	ev_timer_init(&record->tick, on_tick, 0, TICK_S);
	record->tick.data = record;
	ev_timer_start(jh_task_loop(task), &record->tick);
	jh_task_set_state(task, record);
	return 0;
}

static void record_on_message(jh_task_t *task, const jh_msg_t *msg)
{
	record_t *record = jh_task_state(task);

	switch (msg->type) {
	case JH_MSG_RECORD_REQUEST:
		handle_record(record, msg->from, msg->body);
		break;
	case JH_MSG_FRAME_IN:
		handle_frame(record, msg->body);
		break;
	case JH_MSG_PLATFORM_REPLY:
		handle_platform_reply(record, msg->body);
		break;
	case JH_MSG_VMS:
		on_vms(record, ((const jh_vms_msg_t *)msg->body)->vms);
		break;
	case JH_MSG_PEER_DOWN: {
		const jh_peer_down_msg_t *peer = msg->body;

		jh_record_log_on_peer_down(record->log, peer->vm);
		jh_record_backup_on_peer_down(record->backup, peer->vm, record_now_us(record));
		break;
	}
	default:
		break;
	}
}

static void record_drain(jh_task_t *task)
{
	jh_record_log_drain(((record_t *)jh_task_state(task))->log);
}

static bool record_is_drained(jh_task_t *task)
{
	return jh_record_log_can_stop(((const record_t *)jh_task_state(task))->log);
}

static void record_fini(jh_task_t *task)
{
	record_t *record = jh_task_state(task);

	ev_timer_stop(jh_task_loop(task), &record->tick);
	jh_record_log_free(record->log);
	jh_record_backup_free(record->backup);
	g_free(record);
}

static jh_rows_t *record_show(jh_task_t *task, const char *topic)
{
	static const char *const columns[] = { "second",     "own_lines", "own_bytes", "held_lines",
					       "held_bytes", "accepting", "store",     NULL };
	const record_t *record = jh_task_state(task);
	const char *backup_vm = jh_record_log_backup_vm(record->log);
	char cells[4][24];
	jh_rows_t *rows;

	if (!g_str_equal(topic, "record"))
		return NULL;
	g_snprintf(cells[0], sizeof(cells[0]), "%u", jh_record_log_count(record->log));
	g_snprintf(cells[1], sizeof(cells[1]), "%" G_GINT64_FORMAT,
		   jh_record_log_bytes(record->log));
	g_snprintf(cells[2], sizeof(cells[2]), "%u", jh_record_backup_count(record->backup));
	g_snprintf(cells[3], sizeof(cells[3]), "%" G_GINT64_FORMAT,
		   jh_record_backup_bytes(record->backup));
	rows = jh_rows_new(columns);
	jh_rows_add(rows, backup_vm ? backup_vm : "", cells[0], cells[1], cells[2], cells[3],
		    record->accepting ? "yes" : "no", record->store_fails ? "fails" : "works");
	return rows;
}

const jh_module_t jh_record_module = {
	.name = "record",
	.doc = "which team received which answers",
	.subscriptions = { JH_MSG_VMS, JH_MSG_PEER_DOWN, JH_MSG_TYPE_COUNT },
	.frames = { JH__FRAME__BODY_RECORD_PUT, JH__FRAME__BODY_RECORD_ACK, 0 },
	.init = record_init,
	.on_message = record_on_message,
	.drain = record_drain,
	.is_drained = record_is_drained,
	.fini = record_fini,
	.show = record_show,
};
