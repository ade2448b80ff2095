#include "jh_record.h"

#include "jh_placement.h"

#include <string.h>

/* Lines held for other VMs, until their author stored them, or in its place once it is lost. */

/* Memory of a held line besides its text. */
#define LINE_OVERHEAD_BYTES 128

/* A broken connection is often made again; storing for a living author only costs a batch. */
#define TAKE_OVER_AFTER_US (3 * 1000 * 1000)
/* An author that stores nothing for so long may be out of the platform's reach. */
#define HELD_MAX_US (60 * 1000 * 1000)
#define STORE_RETRY_US (2 * 1000 * 1000)
#define BATCH_MAX_BYTES (4 * 1024 * 1024)

/* Lines of one life of one author. */
typedef struct held_log {
	const char *author;
	uint64_t boot;
	/* Text by number; the key points to the number before the text. */
	GTree *lines;
	uint64_t flushed;
	int64_t progress_us;
	bool lost;
	int64_t lost_us;
} held_log_t;

typedef struct held_line {
	uint64_t sequence;
	char text[];
} held_line_t;

struct jh_record_backup {
	const char *self;
	uint64_t boot;
	int64_t limit_bytes;
	int64_t bytes;
	unsigned count;
	GPtrArray *logs;
	/* The batch on its way: it stays as it is until it is stored. */
	char *batch_name;
	GBytes *batch_body;
	GArray *batch_sequences;
	const char *batch_author;
	uint64_t batch_boot;
	uint64_t batches;
	bool batch_in_flight;
	int64_t store_next_us;
};

/* ---- life ---- */

static gint sequence_compare(gconstpointer a, gconstpointer b, gpointer data)
{
	uint64_t left = *(const uint64_t *)a;
	uint64_t right = *(const uint64_t *)b;

	(void)data;
	return (left > right) - (left < right);
}

static void held_log_free(gpointer data)
{
	held_log_t *log = data;

	g_tree_destroy(log->lines);
	g_free(log);
}

jh_record_backup_t *jh_record_backup_new(const char *self, uint64_t boot, int64_t limit_bytes)
{
	jh_record_backup_t *hold = g_new0(jh_record_backup_t, 1);

	hold->self = g_intern_string(self);
	hold->boot = boot;
	hold->limit_bytes = limit_bytes;
	hold->logs = g_ptr_array_new_with_free_func(held_log_free);
	hold->batch_sequences = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	return hold;
}

static void batch_clear(jh_record_backup_t *hold)
{
	g_clear_pointer(&hold->batch_name, g_free);
	g_clear_pointer(&hold->batch_body, g_bytes_unref);
	g_array_set_size(hold->batch_sequences, 0);
	hold->batch_in_flight = false;
}

void jh_record_backup_free(jh_record_backup_t *hold)
{
	if (!hold)
		return;
	batch_clear(hold);
	g_array_free(hold->batch_sequences, TRUE);
	g_ptr_array_free(hold->logs, TRUE);
	g_free(hold);
}

static held_log_t *hold_find(const jh_record_backup_t *hold, const char *author, uint64_t boot)
{
	unsigned i;

	for (i = 0; i < hold->logs->len; i++) {
		held_log_t *log = g_ptr_array_index(hold->logs, i);

		if (log->boot == boot && g_str_equal(log->author, author))
			return log;
	}
	return NULL;
}

/* ---- lines ---- */

static void line_drop(jh_record_backup_t *hold, held_log_t *log, uint64_t sequence)
{
	const held_line_t *line = g_tree_lookup(log->lines, &sequence);

	if (!line)
		return;
	hold->bytes -= (int64_t)strlen(line->text) + LINE_OVERHEAD_BYTES;
	hold->count--;
	g_tree_remove(log->lines, &sequence);
}

static gboolean line_is_first(gpointer key, gpointer value, gpointer data)
{
	(void)key;
	*(held_line_t **)data = value;
	return TRUE;
}

static held_line_t *log_first_line(const held_log_t *log)
{
	held_line_t *first = NULL;

	g_tree_foreach(log->lines, line_is_first, &first);
	return first;
}

static void log_drop_flushed(jh_record_backup_t *hold, held_log_t *log)
{
	const held_line_t *first;

	while ((first = log_first_line(log)) && first->sequence <= log->flushed)
		line_drop(hold, log, first->sequence);
}

/* Return: false if no memory is left for it. */
static bool line_keep(jh_record_backup_t *hold, held_log_t *log, const jh_record_put_t *put)
{
	size_t length = strlen(put->line);
	int64_t bytes = (int64_t)length + LINE_OVERHEAD_BYTES;
	held_line_t *line;

	if (put->sequence <= log->flushed || g_tree_lookup(log->lines, &put->sequence))
		return true;
	if (hold->bytes + bytes > hold->limit_bytes)
		return false;
	line = g_malloc(sizeof(*line) + length + 1);
	line->sequence = put->sequence;
	memcpy(line->text, put->line, length + 1);
	g_tree_insert(log->lines, &line->sequence, line);
	hold->bytes += bytes;
	hold->count++;
	return true;
}

static held_log_t *hold_log(jh_record_backup_t *hold, const jh_record_put_t *put, int64_t now_us)
{
	held_log_t *log = hold_find(hold, put->author, put->boot);

	if (log)
		return log;
	log = g_new0(held_log_t, 1);
	log->author = g_intern_string(put->author);
	log->boot = put->boot;
	log->progress_us = now_us;
	log->lines = g_tree_new_full(sequence_compare, NULL, NULL, g_free);
	g_ptr_array_add(hold->logs, log);
	return log;
}

/* Another life of the author is here, so the earlier ones have ended. */
static void earlier_lives_end(const jh_record_backup_t *hold, const held_log_t *present)
{
	unsigned i;

	for (i = 0; i < hold->logs->len; i++) {
		held_log_t *log = g_ptr_array_index(hold->logs, i);

		if (log != present && log->author == present->author && !log->lost) {
			log->lost = true;
			log->lost_us = 0;
		}
	}
}

void jh_record_backup_on_put(jh_record_backup_t *hold, const char *from, const jh_record_put_t *put,
			     int64_t now_us, GArray *actions)
{
	held_log_t *log = hold_log(hold, put, now_us);
	jh_record_action_t ack = {
		.kind = JH_RECORD_ACK,
		.vm = g_intern_string(from),
		.author = log->author,
		.boot = log->boot,
		.sequence = put->sequence,
	};

	log->lost = false;
	earlier_lives_end(hold, log);
	if (g_tree_nnodes(log->lines) == 0)
		log->progress_us = now_us;
	if (put->flushed > log->flushed) {
		log->flushed = put->flushed;
		log->progress_us = now_us;
		log_drop_flushed(hold, log);
	}
	if (put->sequence == 0)
		return;
	ack.refused = !line_keep(hold, log, put);
	g_array_append_val(actions, ack);
}

/* ---- lost authors ---- */

static void log_set_lost(held_log_t *log, int64_t now_us)
{
	if (log->lost)
		return;
	log->lost = true;
	log->lost_us = now_us;
}

void jh_record_backup_set_vms(jh_record_backup_t *hold, const GPtrArray *vms, int64_t now_us)
{
	unsigned i;

	for (i = 0; i < hold->logs->len; i++) {
		held_log_t *log = g_ptr_array_index(hold->logs, i);
		const jh_vm_t *vm = jh_vm_find(vms, log->author);

		if (!vm || vm->state == JH_VM_DEAD)
			log_set_lost(log, now_us);
	}
}

void jh_record_backup_on_peer_down(jh_record_backup_t *hold, const char *vm, int64_t now_us)
{
	unsigned i;

	for (i = 0; i < hold->logs->len; i++) {
		held_log_t *log = g_ptr_array_index(hold->logs, i);

		if (g_str_equal(log->author, vm))
			log_set_lost(log, now_us);
	}
}

static bool log_is_due(const held_log_t *log, int64_t now_us)
{
	if (g_tree_nnodes(log->lines) == 0)
		return false;
	if (log->lost && now_us - log->lost_us >= TAKE_OVER_AFTER_US)
		return true;
	return now_us - log->progress_us >= HELD_MAX_US;
}

/* ---- storing ---- */

typedef struct batch_visit {
	jh_record_backup_t *hold;
	GString *body;
} batch_visit_t;

static gboolean batch_add_line(gpointer key, gpointer value, gpointer data)
{
	const held_line_t *line = value;
	batch_visit_t *visit = data;

	(void)key;
	g_string_append_printf(visit->body, "sequence=%" G_GUINT64_FORMAT " %s\n", line->sequence,
			       line->text);
	g_array_append_val(visit->hold->batch_sequences, line->sequence);
	return visit->body->len >= BATCH_MAX_BYTES;
}

static void batch_make(jh_record_backup_t *hold, const held_log_t *log)
{
	batch_visit_t visit = { .hold = hold, .body = g_string_new(NULL) };

	g_tree_foreach(log->lines, batch_add_line, &visit);
	hold->batch_author = log->author;
	hold->batch_boot = log->boot;
	hold->batch_body = g_string_free_to_bytes(visit.body);
	/* The author, or this VM earlier, may have put a batch that begins with the same line. */
	hold->batch_name = g_strdup_printf(
		JH_RECORD_PREFIX "%s/%016" G_GINT64_MODIFIER "x/%012" G_GUINT64_FORMAT
				 ".%s.%016" G_GINT64_MODIFIER "x.%" G_GUINT64_FORMAT,
		log->author, log->boot, g_array_index(hold->batch_sequences, uint64_t, 0),
		hold->self, hold->boot, ++hold->batches);
}

static void batch_send(jh_record_backup_t *hold, GArray *actions)
{
	jh_record_action_t action = {
		.kind = JH_RECORD_STORE,
		.name = hold->batch_name,
		.body = hold->batch_body,
	};

	hold->batch_in_flight = true;
	g_array_append_val(actions, action);
}

static void logs_drop_empty(jh_record_backup_t *hold)
{
	unsigned i = 0;

	while (i < hold->logs->len) {
		const held_log_t *log = g_ptr_array_index(hold->logs, i);

		if (log->lost && g_tree_nnodes(log->lines) == 0)
			g_ptr_array_remove_index_fast(hold->logs, i);
		else
			i++;
	}
}

void jh_record_backup_on_tick(jh_record_backup_t *hold, int64_t now_us, GArray *actions)
{
	unsigned i;

	if (hold->batch_in_flight || now_us < hold->store_next_us)
		return;
	logs_drop_empty(hold);
	for (i = 0; i < hold->logs->len && !hold->batch_name; i++) {
		const held_log_t *log = g_ptr_array_index(hold->logs, i);

		if (log_is_due(log, now_us))
			batch_make(hold, log);
	}
	if (hold->batch_name)
		batch_send(hold, actions);
}

void jh_record_backup_on_stored(jh_record_backup_t *hold, jh_record_stored_t result, int64_t now_us)
{
	held_log_t *log = hold_find(hold, hold->batch_author, hold->batch_boot);
	unsigned i;

	hold->batch_in_flight = false;
	if (result != JH_RECORD_STORED) {
		hold->store_next_us = now_us + STORE_RETRY_US;
		return;
	}
	for (i = 0; log && i < hold->batch_sequences->len; i++)
		line_drop(hold, log, g_array_index(hold->batch_sequences, uint64_t, i));
	if (log)
		log->progress_us = now_us;
	batch_clear(hold);
}

/* ---- questions ---- */

unsigned jh_record_backup_count(const jh_record_backup_t *hold)
{
	return hold->count;
}

int64_t jh_record_backup_bytes(const jh_record_backup_t *hold)
{
	return hold->bytes;
}
