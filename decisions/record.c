#include "jh_record.h"

#include "jh_placement.h"

#include <string.h>

/* The log of a VM's own record lines, with their copies on a backup VM and their batches. */

/* Approximate memory of a line besides its text. */
#define LINE_OVERHEAD_BYTES 128

/* Memory of an amendment; it is reserved for each waiting line, which may need one. */
#define AMENDMENT_BYTES (LINE_OVERHEAD_BYTES + 48)

/* New work is refused above this part of the memory limit; requests that run use the rest. */
#define ACCEPT_PERCENT 85

/*
 * Age at which a line that no VM has acknowledged also goes to the alternate VM and to the object
 * store.
 */
#define HEDGE_AFTER_US (150 * 1000)
/* A line that the backup VM has not acknowledged is sent to it again at this interval. */
#define RESEND_AFTER_US (1000 * 1000)
/* Age at which a line that is not durable yet has its response withheld. */
#define WITHHOLD_AFTER_US (2 * 1000 * 1000)
#define STORE_RETRY_DELAY_US (2 * 1000 * 1000)
#define SEND_FLUSHED_INTERVAL_US (5 * 1000 * 1000)

/*
 * Limit for the whole fleet: each VM flushes less often, in larger batches, as VMs are added. Full
 * batches, overdue lines and a drain are not subject to it.
 */
#define FLEET_MAX_BATCHES_PER_S 50
#define FLUSH_INTERVAL_MIN_US (2 * 1000 * 1000)
#define BATCH_MAX_BYTES (4 * 1024 * 1024)

/* Retry hint for a request whose line could not be made durable. */
#define RETRY_AFTER_MS 2000u

typedef enum line_state {
	LINE_WAITING,
	LINE_DURABLE,
	/* The requester was notified that the line is not durable. */
	LINE_WITHHELD,
} line_state_t;

typedef struct line {
	uint64_t sequence;
	char *text;
	jh_handle_t requester;
	uint64_t tag;
	int64_t added_us;
	/* Time of the last attempt to send the line to the current backup VM; 0 if none. */
	int64_t sent_to_backup_us;
	bool has_backup_copy;
	/* The line was also sent to the alternate VM. */
	bool is_hedged;
	line_state_t state;
} line_t;

struct jh_record_log {
	const char *self;
	uint64_t boot;
	int64_t limit_bytes;
	int64_t bytes;
	/* Lines that are not flushed, in order; the first one has the number first_sequence. */
	GPtrArray *lines;
	uint64_t first_sequence;
	/* Numbers of lines whose requester waits, oldest first; some may be durable by now. */
	GQueue waiting_sequences;
	const char *backup;
	/* VM that gets a line if the backup VM does not acknowledge it; NULL if none. */
	const char *alternate;
	/* VMs that may have copies of lines: a set of interned names. */
	GHashTable *recipients;
	/* Time when the number of the last flushed line was last sent to the recipients. */
	int64_t flushed_sent_us;
	/* Time when the lines without a backup copy were last checked and sent again. */
	int64_t last_resend_us;
	/* The alternate VM refused a line, or the backup VM did and there is no alternate. */
	bool backups_are_full;
	/* The batch being stored; every retry uses the same name and content. */
	char *batch_name;
	GBytes *batch_body;
	unsigned batch_lines;
	bool batch_in_flight;
	bool store_fails;
	int64_t next_store_us;
	int64_t flush_interval_us;
	int64_t last_flush_us;
	bool is_draining;
};

static void line_free(gpointer data)
{
	line_t *line = data;

	g_free(line->text);
	g_free(line);
}

jh_record_log_t *jh_record_log_new(const char *self, uint64_t boot, int64_t limit_bytes)
{
	jh_record_log_t *log = g_new0(jh_record_log_t, 1);

	log->self = g_intern_string(self);
	log->boot = boot;
	log->limit_bytes = limit_bytes;
	log->lines = g_ptr_array_new_with_free_func(line_free);
	log->first_sequence = 1;
	log->recipients = g_hash_table_new(NULL, NULL);
	log->flush_interval_us = FLUSH_INTERVAL_MIN_US;
	g_queue_init(&log->waiting_sequences);
	return log;
}

static void log_clear_batch(jh_record_log_t *log)
{
	g_clear_pointer(&log->batch_name, g_free);
	g_clear_pointer(&log->batch_body, g_bytes_unref);
	log->batch_lines = 0;
	log->batch_in_flight = false;
}

void jh_record_log_free(jh_record_log_t *log)
{
	if (!log)
		return;
	log_clear_batch(log);
	g_ptr_array_free(log->lines, TRUE);
	g_hash_table_destroy(log->recipients);
	g_queue_clear_full(&log->waiting_sequences, g_free);
	g_free(log);
}

static line_t *log_find_line(const jh_record_log_t *log, uint64_t sequence)
{
	if (sequence < log->first_sequence || sequence - log->first_sequence >= log->lines->len)
		return NULL;
	return g_ptr_array_index(log->lines, sequence - log->first_sequence);
}

static int64_t line_bytes(const line_t *line)
{
	return (int64_t)strlen(line->text) + LINE_OVERHEAD_BYTES;
}

static void line_send(jh_record_log_t *log, const line_t *line, const char *vm, GArray *actions)
{
	jh_record_action_t action = {
		.kind = JH_RECORD_SEND_PUT,
		.vm = vm,
		.author = log->self,
		.boot = log->boot,
		.sequence = line->sequence,
		.line = line->text,
		.flushed = log->first_sequence - 1,
	};

	g_hash_table_add(log->recipients, (gpointer)vm);
	g_array_append_val(actions, action);
}

static void line_send_to_backup(jh_record_log_t *log, line_t *line, int64_t now_us, GArray *actions)
{
	if (!log->backup)
		return;
	line->sent_to_backup_us = now_us;
	line_send(log, line, log->backup, actions);
}

static void line_finish(line_t *line, line_state_t state, GArray *actions)
{
	jh_record_action_t action = {
		.kind = JH_RECORD_NOTIFY_REQUESTER,
		.requester = line->requester,
		.tag = line->tag,
		.is_durable = state == LINE_DURABLE,
		.retry_after_ms = state == LINE_DURABLE ? 0 : RETRY_AFTER_MS,
	};

	if (line->state != LINE_WAITING)
		return;
	line->state = state;
	if (line->requester != JH_HANDLE_NONE)
		g_array_append_val(actions, action);
}

/* Sends the number of the last flushed line to every VM that may have copies to drop. */
static void log_send_flushed(jh_record_log_t *log, int64_t now_us, GArray *actions)
{
	GHashTableIter iter;
	gpointer vm;

	log->flushed_sent_us = now_us;
	g_hash_table_iter_init(&iter, log->recipients);
	while (g_hash_table_iter_next(&iter, &vm, NULL)) {
		jh_record_action_t action = {
			.kind = JH_RECORD_SEND_PUT,
			.vm = vm,
			.author = log->self,
			.boot = log->boot,
			.line = "",
			.flushed = log->first_sequence - 1,
		};

		g_array_append_val(actions, action);
	}
}

/* Choice of the backup VM */

static const jh_vm_t *choose_alternate(const GPtrArray *vms, const char *self,
				       const char *backup_name)
{
	GPtrArray *candidates = g_ptr_array_new();
	const jh_vm_t *chosen;
	unsigned i;

	for (i = 0; i < vms->len; i++) {
		jh_vm_t *vm = g_ptr_array_index(vms, i);

		if (!g_str_equal(vm->name, backup_name))
			g_ptr_array_add(candidates, vm);
	}
	chosen = jh_placement_backup(candidates, self);
	g_ptr_array_free(candidates, TRUE);
	return chosen;
}

static void log_clear_backup_copies(const jh_record_log_t *log)
{
	unsigned i;

	for (i = 0; i < log->lines->len; i++) {
		line_t *line = g_ptr_array_index(log->lines, i);

		line->has_backup_copy = false;
		line->sent_to_backup_us = 0;
	}
}

void jh_record_log_set_vms(jh_record_log_t *log, const GPtrArray *vms)
{
	const jh_vm_t *backup = jh_placement_backup(vms, log->self);
	const jh_vm_t *alternate = backup ? choose_alternate(vms, log->self, backup->name) : NULL;
	const char *name = backup ? g_intern_string(backup->name) : NULL;

	log->alternate = alternate ? g_intern_string(alternate->name) : NULL;
	log->flush_interval_us = MAX(FLUSH_INTERVAL_MIN_US,
				     (int64_t)vms->len * G_USEC_PER_SEC / FLEET_MAX_BATCHES_PER_S);
	if (name == log->backup)
		return;
	log->backup = name;
	/* Makes the next tick send all lines to the new backup VM. */
	log_clear_backup_copies(log);
	log->last_resend_us = 0;
}

void jh_record_log_on_peer_down(jh_record_log_t *log, const char *vm)
{
	if (g_intern_string(vm) != log->backup)
		return;
	log_clear_backup_copies(log);
	log->last_resend_us = 0;
}

static void line_hedge(jh_record_log_t *log, line_t *line, GArray *actions)
{
	if (line->is_hedged || !log->alternate)
		return;
	line->is_hedged = true;
	line_send(log, line, log->alternate, actions);
}

/*
 * @vm has no memory left. If it is the backup VM, the line goes to the alternate VM; if there is no
 * other VM to try, the log stops accepting new work.
 */
static void line_on_refusal(jh_record_log_t *log, line_t *line, const char *vm, GArray *actions)
{
	if (g_intern_string(vm) != log->backup || !log->alternate)
		log->backups_are_full = true;
	else if (line->state == LINE_WAITING)
		line_hedge(log, line, actions);
}

void jh_record_log_on_ack(jh_record_log_t *log, const char *vm, uint64_t boot, uint64_t sequence,
			  bool refused, GArray *actions)
{
	line_t *line = log_find_line(log, sequence);

	if (boot != log->boot || !line)
		return;
	if (refused) {
		line_on_refusal(log, line, vm, actions);
		return;
	}
	if (g_intern_string(vm) == log->backup) {
		line->has_backup_copy = true;
		log->backups_are_full = false;
	}
	line_finish(line, LINE_DURABLE, actions);
}

/* Adding lines */

static char *text_copy_printable(const char *text)
{
	char *copy = g_strdup(text);
	char *c;

	for (c = copy; *c; c++) {
		if ((unsigned char)*c < ' ' || *c == 0x7f)
			*c = '?';
	}
	return copy;
}

static line_t *log_append_line(jh_record_log_t *log, char *text, int64_t now_us)
{
	line_t *line = g_new0(line_t, 1);

	line->sequence = log->first_sequence + log->lines->len;
	line->text = text;
	line->added_us = now_us;
	g_ptr_array_add(log->lines, line);
	log->bytes += line_bytes(line);
	return line;
}

static void log_drop_finished_waiting(jh_record_log_t *log)
{
	const uint64_t *sequence;

	while ((sequence = g_queue_peek_head(&log->waiting_sequences))) {
		const line_t *line = log_find_line(log, *sequence);

		if (line && line->state == LINE_WAITING)
			return;
		g_free(g_queue_pop_head(&log->waiting_sequences));
	}
}

void jh_record_log_append(jh_record_log_t *log, const char *text, jh_handle_t requester,
			  uint64_t tag, int64_t now_us, GArray *actions)
{
	jh_record_action_t refusal = {
		.kind = JH_RECORD_NOTIFY_REQUESTER,
		.requester = requester,
		.tag = tag,
		.retry_after_ms = RETRY_AFTER_MS,
	};
	int64_t reserved_bytes;
	line_t *line;

	log_drop_finished_waiting(log);
	reserved_bytes = (int64_t)(log->waiting_sequences.length + 1) * AMENDMENT_BYTES;
	if (log->bytes + (int64_t)strlen(text) + LINE_OVERHEAD_BYTES + reserved_bytes >
	    log->limit_bytes) {
		g_array_append_val(actions, refusal);
		return;
	}
	line = log_append_line(log, text_copy_printable(text), now_us);
	line->requester = requester;
	line->tag = tag;
	g_queue_push_tail(&log->waiting_sequences,
			  g_memdup2(&line->sequence, sizeof(line->sequence)));
	line_send_to_backup(log, line, now_us, actions);
}

/* Flushing to the object store */

static void log_build_batch(jh_record_log_t *log)
{
	GString *body = g_string_new(NULL);
	unsigned i;

	for (i = 0; i < log->lines->len && body->len < BATCH_MAX_BYTES; i++) {
		const line_t *line = g_ptr_array_index(log->lines, i);

		g_string_append_printf(body, "sequence=%" G_GUINT64_FORMAT " %s\n", line->sequence,
				       line->text);
	}
	log->batch_lines = i;
	log->batch_name = g_strdup_printf(JH_RECORD_PREFIX "%s/%016" G_GINT64_MODIFIER
							   "x/%012" G_GUINT64_FORMAT,
					  log->self, log->boot, log->first_sequence);
	log->batch_body = g_string_free_to_bytes(body);
}

static void log_store_batch(jh_record_log_t *log, GArray *actions)
{
	jh_record_action_t action = {
		.kind = JH_RECORD_STORE_BATCH,
		.name = log->batch_name,
		.body = log->batch_body,
	};

	log->batch_in_flight = true;
	g_array_append_val(actions, action);
}

/*
 * Return: true if the oldest waiting line has no copy on another VM after HEDGE_AFTER_US, or if
 * this VM has no backup VM. Storing the line without waiting for the flush interval makes it
 * durable as well.
 */
static bool log_has_overdue_line(const jh_record_log_t *log, int64_t now_us)
{
	const uint64_t *sequence = g_queue_peek_head((GQueue *)&log->waiting_sequences);
	const line_t *line = sequence ? log_find_line(log, *sequence) : NULL;

	return line && line->state == LINE_WAITING &&
	       (!log->backup || now_us - line->added_us >= HEDGE_AFTER_US);
}

static void log_flush(jh_record_log_t *log, int64_t now_us, GArray *actions)
{
	/* If full batches waited for the interval, memory could fill up while the store is idle. */
	bool is_due = now_us - log->last_flush_us >= log->flush_interval_us || log->is_draining ||
		      log->bytes >= BATCH_MAX_BYTES || log_has_overdue_line(log, now_us);

	if (log->batch_in_flight || log->lines->len == 0 || now_us < log->next_store_us)
		return;
	if (!log->batch_name) {
		if (!is_due)
			return;
		log_build_batch(log);
	}
	log_store_batch(log, actions);
}

void jh_record_log_on_stored(jh_record_log_t *log, jh_record_store_result_t result, int64_t now_us,
			     GArray *actions)
{
	unsigned i;

	log->batch_in_flight = false;
	log->store_fails = result != JH_RECORD_STORED;
	if (log->store_fails) {
		log->next_store_us = now_us + STORE_RETRY_DELAY_US;
		return;
	}
	for (i = 0; i < log->batch_lines; i++) {
		line_t *line = g_ptr_array_index(log->lines, i);

		line_finish(line, LINE_DURABLE, actions);
		log->bytes -= line_bytes(line);
	}
	log->first_sequence += log->batch_lines;
	g_ptr_array_remove_range(log->lines, 0, log->batch_lines);
	log_clear_batch(log);
	log->last_flush_us = now_us;
	log->backups_are_full = false;
	log_send_flushed(log, now_us, actions);
	g_hash_table_remove_all(log->recipients);
	if (log->backup)
		g_hash_table_add(log->recipients, (gpointer)log->backup);
}

/* Timeouts */

/* The amendment corrects the line in the record, which claims that the response was released. */
static void line_withhold(jh_record_log_t *log, line_t *line, int64_t now_us, GArray *actions)
{
	char *text = g_strdup_printf("amends=%" G_GUINT64_FORMAT " released=no", line->sequence);
	line_t *amendment;

	line_finish(line, LINE_WITHHELD, actions);
	amendment = log_append_line(log, text, now_us);
	/* No requester waits for an amendment. */
	amendment->state = LINE_DURABLE;
	line_send_to_backup(log, amendment, now_us, actions);
}

static void log_check_waiting(jh_record_log_t *log, int64_t now_us, GArray *actions)
{
	GList *link;

	log_drop_finished_waiting(log);
	for (link = log->waiting_sequences.head; link; link = link->next) {
		line_t *line = log_find_line(log, *(const uint64_t *)link->data);

		if (!line || line->state != LINE_WAITING)
			continue;
		if (now_us - line->added_us < HEDGE_AFTER_US)
			return;
		line_hedge(log, line, actions);
		if (now_us - line->added_us >= WITHHOLD_AFTER_US)
			line_withhold(log, line, now_us, actions);
	}
}

static void log_resend_lines(jh_record_log_t *log, int64_t now_us, GArray *actions)
{
	unsigned i;

	if (now_us - log->last_resend_us < RESEND_AFTER_US)
		return;
	log->last_resend_us = now_us;
	for (i = 0; i < log->lines->len; i++) {
		line_t *line = g_ptr_array_index(log->lines, i);

		if (!line->has_backup_copy && now_us - line->sent_to_backup_us >= RESEND_AFTER_US)
			line_send_to_backup(log, line, now_us, actions);
	}
}

void jh_record_log_on_tick(jh_record_log_t *log, int64_t now_us, GArray *actions)
{
	log_check_waiting(log, now_us, actions);
	log_resend_lines(log, now_us, actions);
	log_flush(log, now_us, actions);
	if (now_us - log->flushed_sent_us >= SEND_FLUSHED_INTERVAL_US)
		log_send_flushed(log, now_us, actions);
}

void jh_record_log_drain(jh_record_log_t *log)
{
	log->is_draining = true;
}

bool jh_record_log_is_accepting(const jh_record_log_t *log)
{
	return log->bytes * 100 < log->limit_bytes * ACCEPT_PERCENT && !log->backups_are_full;
}

bool jh_record_log_can_stop(const jh_record_log_t *log)
{
	unsigned i;

	if (log->lines->len == 0)
		return true;
	if (!log->store_fails)
		return false;
	for (i = 0; i < log->lines->len; i++) {
		if (!((const line_t *)g_ptr_array_index(log->lines, i))->has_backup_copy)
			return false;
	}
	return true;
}

unsigned jh_record_log_count(const jh_record_log_t *log)
{
	return log->lines->len;
}

int64_t jh_record_log_bytes(const jh_record_log_t *log)
{
	return log->bytes;
}

const char *jh_record_log_backup_vm(const jh_record_log_t *log)
{
	return log->backup;
}
