#include "jh_record.h"

#include "jh_placement.h"

#include <string.h>

/* A VM's own lines: numbered, held by a second VM, flushed to the object store in batches. */

/* Memory of a line besides its text. */
#define LINE_OVERHEAD_BYTES 128

/* Memory of an amendment; each line that waits may need one. */
#define AMENDMENT_BYTES (LINE_OVERHEAD_BYTES + 48)

/* New work is refused above this part of the bound; the rest is for work that already runs. */
#define ACCEPT_PERCENT 85

#define HEDGE_AFTER_US (150 * 1000)
#define RESEND_AFTER_US (1000 * 1000)
#define GIVE_UP_AFTER_US (2 * 1000 * 1000)
#define STORE_RETRY_US (2 * 1000 * 1000)
#define TELL_FLUSHED_INTERVAL_US (5 * 1000 * 1000)

/* All VMs together put this many objects a second at most; more VMs put larger ones. */
#define FLEET_STORES_PER_S 50
#define FLUSH_INTERVAL_MIN_US (2 * 1000 * 1000)
#define BATCH_MAX_BYTES (4 * 1024 * 1024)

#define RETRY_AFTER_MS 2000u

typedef enum line_state {
	LINE_WAITING,
	LINE_HELD,
	/* Its owner was told that it is not held. */
	LINE_GIVEN_UP,
} line_state_t;

typedef struct line {
	uint64_t sequence;
	char *text;
	jh_handle_t owner;
	uint64_t tag;
	int64_t added_us;
	/* When it was last sent to the present second; 0 if never. */
	int64_t sent_us;
	bool held_by_second;
	bool hedged;
	line_state_t state;
} line_t;

struct jh_record_log {
	const char *self;
	uint64_t boot;
	int64_t limit_bytes;
	int64_t bytes;
	/* Lines that are not flushed, in order: numbers first to first + lines->len - 1. */
	GPtrArray *lines;
	uint64_t first;
	/* Numbers of lines whose owner waits, oldest first; some may be held by now. */
	GQueue waiting;
	const char *second;
	/* Where a line goes that the second does not acknowledge. */
	const char *alternate;
	/* VMs that may hold lines: a set of interned names. */
	GHashTable *holders;
	int64_t told_us;
	int64_t resent_us;
	/* The second and the alternate both refused a line. */
	bool holders_full;
	/* The batch on its way: it stays as it is until it is stored. */
	char *batch_name;
	GBytes *batch_body;
	unsigned batch_lines;
	bool batch_in_flight;
	bool store_fails;
	int64_t store_next_us;
	int64_t flush_interval_us;
	int64_t flushed_us;
	bool draining;
};

/* ---- life ---- */

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
	log->first = 1;
	log->holders = g_hash_table_new(NULL, NULL);
	log->flush_interval_us = FLUSH_INTERVAL_MIN_US;
	g_queue_init(&log->waiting);
	return log;
}

static void batch_clear(jh_record_log_t *log)
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
	batch_clear(log);
	g_ptr_array_free(log->lines, TRUE);
	g_hash_table_destroy(log->holders);
	g_queue_clear_full(&log->waiting, g_free);
	g_free(log);
}

static line_t *log_line(const jh_record_log_t *log, uint64_t sequence)
{
	if (sequence < log->first || sequence - log->first >= log->lines->len)
		return NULL;
	return g_ptr_array_index(log->lines, sequence - log->first);
}

static int64_t line_bytes(const line_t *line)
{
	return (int64_t)strlen(line->text) + LINE_OVERHEAD_BYTES;
}

/* ---- sending ---- */

static void line_send(jh_record_log_t *log, const line_t *line, const char *vm, GArray *actions)
{
	jh_record_action_t action = {
		.kind = JH_RECORD_SEND,
		.vm = vm,
		.author = log->self,
		.boot = log->boot,
		.sequence = line->sequence,
		.line = line->text,
		.flushed = log->first - 1,
	};

	g_hash_table_add(log->holders, (gpointer)vm);
	g_array_append_val(actions, action);
}

static void line_send_to_second(jh_record_log_t *log, line_t *line, int64_t now_us, GArray *actions)
{
	if (!log->second)
		return;
	line->sent_us = now_us;
	line_send(log, line, log->second, actions);
}

static void line_finish(line_t *line, line_state_t state, GArray *actions)
{
	jh_record_action_t action = {
		.kind = JH_RECORD_DONE,
		.owner = line->owner,
		.tag = line->tag,
		.held = state == LINE_HELD,
		.retry_after_ms = state == LINE_HELD ? 0 : RETRY_AFTER_MS,
	};

	if (line->state != LINE_WAITING)
		return;
	line->state = state;
	if (line->owner != JH_HANDLE_NONE)
		g_array_append_val(actions, action);
}

/* Tell every VM that may hold lines which of them it can forget. */
static void tell_flushed(jh_record_log_t *log, int64_t now_us, GArray *actions)
{
	GHashTableIter iter;
	gpointer vm;

	log->told_us = now_us;
	g_hash_table_iter_init(&iter, log->holders);
	while (g_hash_table_iter_next(&iter, &vm, NULL)) {
		jh_record_action_t action = {
			.kind = JH_RECORD_SEND,
			.vm = vm,
			.author = log->self,
			.boot = log->boot,
			.line = "",
			.flushed = log->first - 1,
		};

		g_array_append_val(actions, action);
	}
}

/* ---- who holds the lines ---- */

static const jh_vm_t *second_without(const GPtrArray *vms, const char *self, const char *left_out)
{
	GPtrArray *others = g_ptr_array_new();
	const jh_vm_t *chosen;
	unsigned i;

	for (i = 0; i < vms->len; i++) {
		jh_vm_t *vm = g_ptr_array_index(vms, i);

		if (!g_str_equal(vm->name, left_out))
			g_ptr_array_add(others, vm);
	}
	chosen = jh_placement_backup(others, self);
	g_ptr_array_free(others, TRUE);
	return chosen;
}

static void lines_forget_second(const jh_record_log_t *log)
{
	unsigned i;

	for (i = 0; i < log->lines->len; i++) {
		line_t *line = g_ptr_array_index(log->lines, i);

		line->held_by_second = false;
		line->sent_us = 0;
	}
}

void jh_record_log_set_vms(jh_record_log_t *log, const GPtrArray *vms)
{
	const jh_vm_t *second = jh_placement_backup(vms, log->self);
	const jh_vm_t *alternate = second ? second_without(vms, log->self, second->name) : NULL;
	const char *name = second ? g_intern_string(second->name) : NULL;

	log->alternate = alternate ? g_intern_string(alternate->name) : NULL;
	log->flush_interval_us =
		MAX(FLUSH_INTERVAL_MIN_US, (int64_t)vms->len * G_USEC_PER_SEC / FLEET_STORES_PER_S);
	if (name == log->second)
		return;
	log->second = name;
	/* The next tick sends the lines to the new second. */
	lines_forget_second(log);
	log->resent_us = 0;
}

void jh_record_log_on_peer_down(jh_record_log_t *log, const char *vm)
{
	if (g_intern_string(vm) != log->second)
		return;
	lines_forget_second(log);
	log->resent_us = 0;
}

static void line_hedge(jh_record_log_t *log, line_t *line, GArray *actions)
{
	if (line->hedged || !log->alternate)
		return;
	line->hedged = true;
	line_send(log, line, log->alternate, actions);
}

/* The second's memory is full: the alternate is tried, and new work stops if it is full too. */
static void line_on_refusal(jh_record_log_t *log, line_t *line, const char *vm, GArray *actions)
{
	if (g_intern_string(vm) != log->second || !log->alternate)
		log->holders_full = true;
	else if (line->state == LINE_WAITING)
		line_hedge(log, line, actions);
}

void jh_record_log_on_ack(jh_record_log_t *log, const char *vm, uint64_t boot, uint64_t sequence,
			  bool refused, GArray *actions)
{
	line_t *line = log_line(log, sequence);

	if (boot != log->boot || !line)
		return;
	if (refused) {
		line_on_refusal(log, line, vm, actions);
		return;
	}
	if (g_intern_string(vm) == log->second) {
		line->held_by_second = true;
		log->holders_full = false;
	}
	line_finish(line, LINE_HELD, actions);
}

/* ---- adding ---- */

static char *text_clean(const char *text)
{
	char *copy = g_strdup(text);
	char *c;

	for (c = copy; *c; c++) {
		if ((unsigned char)*c < ' ' || *c == 0x7f)
			*c = '?';
	}
	return copy;
}

static line_t *line_append(jh_record_log_t *log, char *text, int64_t now_us)
{
	line_t *line = g_new0(line_t, 1);

	line->sequence = log->first + log->lines->len;
	line->text = text;
	line->added_us = now_us;
	g_ptr_array_add(log->lines, line);
	log->bytes += line_bytes(line);
	return line;
}

static void waiting_drop_finished(jh_record_log_t *log)
{
	const uint64_t *sequence;

	while ((sequence = g_queue_peek_head(&log->waiting))) {
		const line_t *line = log_line(log, *sequence);

		if (line && line->state == LINE_WAITING)
			return;
		g_free(g_queue_pop_head(&log->waiting));
	}
}

void jh_record_log_add(jh_record_log_t *log, const char *text, jh_handle_t owner, uint64_t tag,
		       int64_t now_us, GArray *actions)
{
	jh_record_action_t refusal = {
		.kind = JH_RECORD_DONE,
		.owner = owner,
		.tag = tag,
		.retry_after_ms = RETRY_AFTER_MS,
	};
	int64_t reserve;
	line_t *line;

	waiting_drop_finished(log);
	reserve = (int64_t)(log->waiting.length + 1) * AMENDMENT_BYTES;
	if (log->bytes + (int64_t)strlen(text) + LINE_OVERHEAD_BYTES + reserve > log->limit_bytes) {
		g_array_append_val(actions, refusal);
		return;
	}
	line = line_append(log, text_clean(text), now_us);
	line->owner = owner;
	line->tag = tag;
	g_queue_push_tail(&log->waiting, g_memdup2(&line->sequence, sizeof(line->sequence)));
	line_send_to_second(log, line, now_us, actions);
}

/* ---- flushing ---- */

static void batch_make(jh_record_log_t *log)
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
					  log->self, log->boot, log->first);
	log->batch_body = g_string_free_to_bytes(body);
}

static void batch_send(jh_record_log_t *log, GArray *actions)
{
	jh_record_action_t action = {
		.kind = JH_RECORD_STORE,
		.name = log->batch_name,
		.body = log->batch_body,
	};

	log->batch_in_flight = true;
	g_array_append_val(actions, action);
}

/* A line that no VM holds after a while is stored at once, which makes it safe as well. */
static bool waiting_is_old(const jh_record_log_t *log, int64_t now_us)
{
	const uint64_t *sequence = g_queue_peek_head((GQueue *)&log->waiting);
	const line_t *line = sequence ? log_line(log, *sequence) : NULL;

	return line && line->state == LINE_WAITING &&
	       (!log->second || now_us - line->added_us >= HEDGE_AFTER_US);
}

static void log_flush(jh_record_log_t *log, int64_t now_us, GArray *actions)
{
	/* A full batch does not wait for its time: memory would fill up while the store is idle. */
	bool due = now_us - log->flushed_us >= log->flush_interval_us || log->draining ||
		   log->bytes >= BATCH_MAX_BYTES || waiting_is_old(log, now_us);

	if (log->batch_in_flight || log->lines->len == 0 || now_us < log->store_next_us)
		return;
	if (!log->batch_name) {
		if (!due)
			return;
		batch_make(log);
	}
	batch_send(log, actions);
}

void jh_record_log_on_stored(jh_record_log_t *log, jh_record_stored_t result, int64_t now_us,
			     GArray *actions)
{
	unsigned i;

	log->batch_in_flight = false;
	log->store_fails = result != JH_RECORD_STORED;
	if (log->store_fails) {
		log->store_next_us = now_us + STORE_RETRY_US;
		return;
	}
	for (i = 0; i < log->batch_lines; i++) {
		line_t *line = g_ptr_array_index(log->lines, i);

		line_finish(line, LINE_HELD, actions);
		log->bytes -= line_bytes(line);
	}
	log->first += log->batch_lines;
	g_ptr_array_remove_range(log->lines, 0, log->batch_lines);
	batch_clear(log);
	log->flushed_us = now_us;
	log->holders_full = false;
	tell_flushed(log, now_us, actions);
	g_hash_table_remove_all(log->holders);
	if (log->second)
		g_hash_table_add(log->holders, (gpointer)log->second);
}

/* ---- time ---- */

/* The record must not say that an answer was given if it was withheld. */
static void line_give_up(jh_record_log_t *log, line_t *line, int64_t now_us, GArray *actions)
{
	char *text = g_strdup_printf("amends=%" G_GUINT64_FORMAT " released=no", line->sequence);
	line_t *amendment;

	line_finish(line, LINE_GIVEN_UP, actions);
	amendment = line_append(log, text, now_us);
	amendment->state = LINE_HELD;
	line_send_to_second(log, amendment, now_us, actions);
}

static void waiting_check(jh_record_log_t *log, int64_t now_us, GArray *actions)
{
	GList *link;

	waiting_drop_finished(log);
	for (link = log->waiting.head; link; link = link->next) {
		line_t *line = log_line(log, *(const uint64_t *)link->data);

		if (!line || line->state != LINE_WAITING)
			continue;
		if (now_us - line->added_us < HEDGE_AFTER_US)
			return;
		line_hedge(log, line, actions);
		if (now_us - line->added_us >= GIVE_UP_AFTER_US)
			line_give_up(log, line, now_us, actions);
	}
}

static void lines_resend(jh_record_log_t *log, int64_t now_us, GArray *actions)
{
	unsigned i;

	if (now_us - log->resent_us < RESEND_AFTER_US)
		return;
	log->resent_us = now_us;
	for (i = 0; i < log->lines->len; i++) {
		line_t *line = g_ptr_array_index(log->lines, i);

		if (!line->held_by_second && now_us - line->sent_us >= RESEND_AFTER_US)
			line_send_to_second(log, line, now_us, actions);
	}
}

void jh_record_log_on_tick(jh_record_log_t *log, int64_t now_us, GArray *actions)
{
	waiting_check(log, now_us, actions);
	lines_resend(log, now_us, actions);
	log_flush(log, now_us, actions);
	if (now_us - log->told_us >= TELL_FLUSHED_INTERVAL_US)
		tell_flushed(log, now_us, actions);
}

void jh_record_log_drain(jh_record_log_t *log)
{
	log->draining = true;
}

/* ---- questions ---- */

bool jh_record_log_is_accepting(const jh_record_log_t *log)
{
	return log->bytes * 100 < log->limit_bytes * ACCEPT_PERCENT && !log->holders_full;
}

bool jh_record_log_is_safe(const jh_record_log_t *log)
{
	unsigned i;

	if (log->lines->len == 0)
		return true;
	if (!log->store_fails)
		return false;
	for (i = 0; i < log->lines->len; i++) {
		if (!((const line_t *)g_ptr_array_index(log->lines, i))->held_by_second)
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

const char *jh_record_log_backup(const jh_record_log_t *log)
{
	return log->second;
}
