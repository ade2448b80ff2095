#include "jh_record.h"

#include "jh_placement.h"

#include <string.h>

/*
 * Backup copies of other VMs' record lines. A copy is kept until its author reports the line as
 * flushed; if the author is lost or makes no progress, this VM stores the line instead.
 */

/* Approximate memory of a copy besides its text. */
#define LINE_OVERHEAD_BYTES 128

/*
 * Delay before the lines of a lost author are stored, since an author often reconnects. If it is
 * alive, its lines are stored twice under different names, which costs only a batch.
 */
#define LOST_GRACE_US (3 * 1000 * 1000)
/* An author that flushes nothing for this long may be unable to reach the object store. */
#define NO_PROGRESS_MAX_US (60 * 1000 * 1000)
#define STORE_RETRY_DELAY_US (2 * 1000 * 1000)
#define BATCH_MAX_BYTES (4 * 1024 * 1024)

/* Copies of the lines of one instance of one author. */
typedef struct author_log {
	const char *author;
	uint64_t boot;
	/* line_copy_t by sequence number; each key points into its value. */
	GTree *lines;
	uint64_t flushed;
	int64_t last_progress_us;
	/* The author is dead, not listed or disconnected, or runs another instance. */
	bool is_lost;
	int64_t lost_since_us;
} author_log_t;

typedef struct line_copy {
	uint64_t sequence;
	char text[];
} line_copy_t;

struct jh_record_backup {
	const char *self;
	uint64_t boot;
	int64_t limit_bytes;
	int64_t bytes;
	unsigned count;
	GPtrArray *logs;
	/* The batch being stored; every retry uses the same name and content. */
	char *batch_name;
	GBytes *batch_body;
	GArray *batch_sequences;
	const char *batch_author;
	uint64_t batch_boot;
	uint64_t batches_made;
	bool batch_in_flight;
	int64_t next_store_us;
};

static gint sequence_compare(gconstpointer a, gconstpointer b, gpointer data)
{
	uint64_t left = *(const uint64_t *)a;
	uint64_t right = *(const uint64_t *)b;

	(void)data;
	return (left > right) - (left < right);
}

static void author_log_free(gpointer data)
{
	author_log_t *log = data;

	g_tree_destroy(log->lines);
	g_free(log);
}

jh_record_backup_t *jh_record_backup_new(const char *self, uint64_t boot, int64_t limit_bytes)
{
	jh_record_backup_t *backup = g_new0(jh_record_backup_t, 1);

	backup->self = g_intern_string(self);
	backup->boot = boot;
	backup->limit_bytes = limit_bytes;
	backup->logs = g_ptr_array_new_with_free_func(author_log_free);
	backup->batch_sequences = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	return backup;
}

static void backup_clear_batch(jh_record_backup_t *backup)
{
	g_clear_pointer(&backup->batch_name, g_free);
	g_clear_pointer(&backup->batch_body, g_bytes_unref);
	g_array_set_size(backup->batch_sequences, 0);
	backup->batch_in_flight = false;
}

void jh_record_backup_free(jh_record_backup_t *backup)
{
	if (!backup)
		return;
	backup_clear_batch(backup);
	g_array_free(backup->batch_sequences, TRUE);
	g_ptr_array_free(backup->logs, TRUE);
	g_free(backup);
}

static author_log_t *backup_find_log(const jh_record_backup_t *backup, const char *author,
				     uint64_t boot)
{
	unsigned i;

	for (i = 0; i < backup->logs->len; i++) {
		author_log_t *log = g_ptr_array_index(backup->logs, i);

		if (log->boot == boot && g_str_equal(log->author, author))
			return log;
	}
	return NULL;
}

/* Copies of lines */

static void log_drop_line(jh_record_backup_t *backup, author_log_t *log, uint64_t sequence)
{
	const line_copy_t *line = g_tree_lookup(log->lines, &sequence);

	if (!line)
		return;
	backup->bytes -= (int64_t)strlen(line->text) + LINE_OVERHEAD_BYTES;
	backup->count--;
	g_tree_remove(log->lines, &sequence);
}

static gboolean visit_first_line(gpointer key, gpointer value, gpointer data)
{
	(void)key;
	*(line_copy_t **)data = value;
	return TRUE;
}

static line_copy_t *log_first_line(const author_log_t *log)
{
	line_copy_t *first = NULL;

	g_tree_foreach(log->lines, visit_first_line, &first);
	return first;
}

static void log_drop_flushed(jh_record_backup_t *backup, author_log_t *log)
{
	const line_copy_t *first;

	while ((first = log_first_line(log)) && first->sequence <= log->flushed)
		log_drop_line(backup, log, first->sequence);
}

/* Return: true if the line has a copy or needs none, false if no memory is left for a copy. */
static bool log_insert_line(jh_record_backup_t *backup, author_log_t *log,
			    const jh_record_put_t *put)
{
	size_t length = strlen(put->line);
	int64_t bytes = (int64_t)length + LINE_OVERHEAD_BYTES;
	line_copy_t *line;

	if (put->sequence <= log->flushed || g_tree_lookup(log->lines, &put->sequence))
		return true;
	if (backup->bytes + bytes > backup->limit_bytes)
		return false;
	line = g_malloc(sizeof(*line) + length + 1);
	line->sequence = put->sequence;
	memcpy(line->text, put->line, length + 1);
	g_tree_insert(log->lines, &line->sequence, line);
	backup->bytes += bytes;
	backup->count++;
	return true;
}

static author_log_t *backup_get_log(jh_record_backup_t *backup, const jh_record_put_t *put,
				    int64_t now_us)
{
	author_log_t *log = backup_find_log(backup, put->author, put->boot);

	if (log)
		return log;
	log = g_new0(author_log_t, 1);
	log->author = g_intern_string(put->author);
	log->boot = put->boot;
	log->last_progress_us = now_us;
	log->lines = g_tree_new_full(sequence_compare, NULL, NULL, g_free);
	g_ptr_array_add(backup->logs, log);
	return log;
}

/*
 * Marks the other instances of the same author as lost: a VM runs one instance at a time. An ended
 * instance can't reconnect, so its lines are stored without delay.
 */
static void mark_other_instances_lost(const jh_record_backup_t *backup, const author_log_t *current)
{
	unsigned i;

	for (i = 0; i < backup->logs->len; i++) {
		author_log_t *log = g_ptr_array_index(backup->logs, i);

		if (log != current && log->author == current->author && !log->is_lost) {
			log->is_lost = true;
			log->lost_since_us = 0;
		}
	}
}

void jh_record_backup_on_put(jh_record_backup_t *backup, const char *from,
			     const jh_record_put_t *put, int64_t now_us, GArray *actions)
{
	author_log_t *log = backup_get_log(backup, put, now_us);
	jh_record_action_t ack = {
		.kind = JH_RECORD_SEND_ACK,
		.vm = g_intern_string(from),
		.author = log->author,
		.boot = log->boot,
		.sequence = put->sequence,
	};

	log->is_lost = false;
	mark_other_instances_lost(backup, log);
	if (g_tree_nnodes(log->lines) == 0)
		log->last_progress_us = now_us;
	if (put->flushed > log->flushed) {
		log->flushed = put->flushed;
		log->last_progress_us = now_us;
		log_drop_flushed(backup, log);
	}
	if (put->sequence == 0)
		return;
	ack.refused = !log_insert_line(backup, log, put);
	g_array_append_val(actions, ack);
}

/* Detection of lost authors */

static void log_set_lost(author_log_t *log, int64_t now_us)
{
	if (log->is_lost)
		return;
	log->is_lost = true;
	log->lost_since_us = now_us;
}

void jh_record_backup_set_vms(jh_record_backup_t *backup, const GPtrArray *vms, int64_t now_us)
{
	unsigned i;

	for (i = 0; i < backup->logs->len; i++) {
		author_log_t *log = g_ptr_array_index(backup->logs, i);
		const jh_vm_t *vm = jh_vm_find(vms, log->author);

		if (!vm || vm->state == JH_VM_DEAD)
			log_set_lost(log, now_us);
	}
}

void jh_record_backup_on_peer_down(jh_record_backup_t *backup, const char *vm, int64_t now_us)
{
	unsigned i;

	for (i = 0; i < backup->logs->len; i++) {
		author_log_t *log = g_ptr_array_index(backup->logs, i);

		if (g_str_equal(log->author, vm))
			log_set_lost(log, now_us);
	}
}

static bool log_is_due(const author_log_t *log, int64_t now_us)
{
	if (g_tree_nnodes(log->lines) == 0)
		return false;
	if (log->is_lost && now_us - log->lost_since_us >= LOST_GRACE_US)
		return true;
	return now_us - log->last_progress_us >= NO_PROGRESS_MAX_US;
}

/* Storing lines for lost authors */

typedef struct batch_visit {
	jh_record_backup_t *backup;
	GString *body;
} batch_visit_t;

static gboolean batch_add_line(gpointer key, gpointer value, gpointer data)
{
	const line_copy_t *line = value;
	batch_visit_t *visit = data;

	(void)key;
	g_string_append_printf(visit->body, "sequence=%" G_GUINT64_FORMAT " %s\n", line->sequence,
			       line->text);
	g_array_append_val(visit->backup->batch_sequences, line->sequence);
	return visit->body->len >= BATCH_MAX_BYTES;
}

static void backup_build_batch(jh_record_backup_t *backup, const author_log_t *log)
{
	batch_visit_t visit = { .backup = backup, .body = g_string_new(NULL) };

	g_tree_foreach(log->lines, batch_add_line, &visit);
	backup->batch_author = log->author;
	backup->batch_boot = log->boot;
	backup->batch_body = g_string_free_to_bytes(visit.body);
	/*
	 * The author, or this VM earlier, may have stored an object that begins with the same line,
	 * so the name also has this VM, its boot id and a counter.
	 */
	backup->batch_name = g_strdup_printf(
		JH_RECORD_PREFIX "%s/%016" G_GINT64_MODIFIER "x/%012" G_GUINT64_FORMAT
				 ".%s.%016" G_GINT64_MODIFIER "x.%" G_GUINT64_FORMAT,
		log->author, log->boot, g_array_index(backup->batch_sequences, uint64_t, 0),
		backup->self, backup->boot, ++backup->batches_made);
}

static void backup_store_batch(jh_record_backup_t *backup, GArray *actions)
{
	jh_record_action_t action = {
		.kind = JH_RECORD_STORE_BATCH,
		.name = backup->batch_name,
		.body = backup->batch_body,
	};

	backup->batch_in_flight = true;
	g_array_append_val(actions, action);
}

static void backup_drop_empty_logs(jh_record_backup_t *backup)
{
	unsigned i = 0;

	while (i < backup->logs->len) {
		const author_log_t *log = g_ptr_array_index(backup->logs, i);

		if (log->is_lost && g_tree_nnodes(log->lines) == 0)
			g_ptr_array_remove_index_fast(backup->logs, i);
		else
			i++;
	}
}

void jh_record_backup_on_tick(jh_record_backup_t *backup, int64_t now_us, GArray *actions)
{
	unsigned i;

	if (backup->batch_in_flight || now_us < backup->next_store_us)
		return;
	backup_drop_empty_logs(backup);
	for (i = 0; i < backup->logs->len && !backup->batch_name; i++) {
		const author_log_t *log = g_ptr_array_index(backup->logs, i);

		if (log_is_due(log, now_us))
			backup_build_batch(backup, log);
	}
	if (backup->batch_name)
		backup_store_batch(backup, actions);
}

void jh_record_backup_on_stored(jh_record_backup_t *backup, jh_record_store_result_t result,
				int64_t now_us)
{
	author_log_t *log = backup_find_log(backup, backup->batch_author, backup->batch_boot);
	unsigned i;

	backup->batch_in_flight = false;
	if (result != JH_RECORD_STORED) {
		backup->next_store_us = now_us + STORE_RETRY_DELAY_US;
		return;
	}
	for (i = 0; log && i < backup->batch_sequences->len; i++)
		log_drop_line(backup, log, g_array_index(backup->batch_sequences, uint64_t, i));
	if (log)
		log->last_progress_us = now_us;
	backup_clear_batch(backup);
}

unsigned jh_record_backup_count(const jh_record_backup_t *backup)
{
	return backup->count;
}

int64_t jh_record_backup_bytes(const jh_record_backup_t *backup)
{
	return backup->bytes;
}
