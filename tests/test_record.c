#include "jh_record.h"

#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/*
 * The record in virtual time: six VMs in three data centres, with frames that are lost, late and
 * out of order, an object store with outages and lost answers, and the loss of one VM. At the end
 * the object store is read as the report reads it.
 */

#define STEP_US 10000
#define SETTLE_STEP_US 100000
#define SECOND_US 1000000
#define VMS 6u
#define OWNER 1u
#define SEEDS 200u
#define LIMIT_BYTES (1024 * 1024)

typedef struct node {
	char name[8];
	uint64_t boot;
	bool alive;
	jh_record_log_t *log;
	jh_record_backup_t *hold;
} node_t;

typedef struct frame {
	int64_t at_us;
	unsigned to;
	uint64_t to_boot;
	unsigned from;
	bool is_ack;
	bool refused;
	const char *author;
	uint64_t boot;
	uint64_t sequence;
	uint64_t flushed;
	char *line;
} frame_t;

/* An object on its way to the store. */
typedef struct put {
	int64_t at_us;
	unsigned from;
	uint64_t boot;
	bool of_hold;
	char *name;
	GBytes *body;
} put_t;

typedef enum answer {
	ANSWER_OPEN,
	ANSWER_HELD,
	ANSWER_WITHHELD,
} answer_t;

typedef struct world {
	GRand *random;
	int64_t now_us;
	int64_t step_us;
	node_t nodes[VMS];
	jh_vm_t vms[VMS];
	GPtrArray *vm_list;
	GQueue frames;
	GQueue puts;
	GHashTable *objects;
	bool store_up;
	double loss;
	double answer_loss;
	int64_t limit_bytes;
	uint64_t next_boot;
	/* Answer of each line, by its tag. */
	GArray *answers;
	unsigned seed;
} world_t;

static world_t w;

/* ---- the world ---- */

static void node_start(unsigned i)
{
	node_t *node = &w.nodes[i];

	g_snprintf(node->name, sizeof(node->name), "vm-%u", i);
	node->boot = ++w.next_boot;
	node->alive = true;
	node->log = jh_record_log_new(node->name, node->boot, w.limit_bytes);
	node->hold = jh_record_backup_new(node->name, node->boot, w.limit_bytes);
	jh_record_log_set_vms(node->log, w.vm_list);
}

static void node_stop(unsigned i)
{
	w.nodes[i].alive = false;
	jh_record_log_free(w.nodes[i].log);
	jh_record_backup_free(w.nodes[i].hold);
}

static void world_start(unsigned seed, int64_t limit_bytes)
{
	unsigned i;

	memset(&w, 0, sizeof(w));
	w.seed = seed;
	w.random = g_rand_new_with_seed(seed);
	w.now_us = 100 * SECOND_US;
	w.step_us = STEP_US;
	w.limit_bytes = limit_bytes;
	w.store_up = true;
	w.vm_list = g_ptr_array_new();
	w.objects = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					  (GDestroyNotify)g_bytes_unref);
	w.answers = g_array_new(FALSE, TRUE, sizeof(answer_t));
	for (i = 0; i < VMS; i++) {
		w.vms[i] = (jh_vm_t){ .name = g_strdup_printf("vm-%u", i),
				      .dc = g_strdup_printf("dc-%u", i % 3) };
		g_ptr_array_add(w.vm_list, &w.vms[i]);
	}
	for (i = 0; i < VMS; i++)
		node_start(i);
}

static void frame_free(gpointer data)
{
	frame_t *frame = data;

	g_free(frame->line);
	g_free(frame);
}

static void put_free(gpointer data)
{
	put_t *put = data;

	g_free(put->name);
	g_bytes_unref(put->body);
	g_free(put);
}

static void world_end(void)
{
	unsigned i;

	for (i = 0; i < VMS; i++) {
		if (w.nodes[i].alive)
			node_stop(i);
		g_free(w.vms[i].name);
		g_free(w.vms[i].dc);
	}
	g_queue_clear_full(&w.frames, frame_free);
	g_queue_clear_full(&w.puts, put_free);
	g_hash_table_destroy(w.objects);
	g_ptr_array_free(w.vm_list, TRUE);
	g_array_free(w.answers, TRUE);
	g_rand_free(w.random);
}

static unsigned vm_index(const char *name)
{
	return (unsigned)(name[3] - '0');
}

static void frame_send(unsigned from, const jh_record_action_t *action)
{
	unsigned to = vm_index(action->vm);
	frame_t *frame;

	if (!w.nodes[to].alive || g_rand_double(w.random) < w.loss)
		return;
	frame = g_new0(frame_t, 1);
	*frame = (frame_t){ .at_us = w.now_us + g_rand_int_range(w.random, 1, 6) * STEP_US,
			    .to = to,
			    .to_boot = w.nodes[to].boot,
			    .from = from,
			    .is_ack = action->kind == JH_RECORD_ACK,
			    .refused = action->refused,
			    .author = action->author,
			    .boot = action->boot,
			    .sequence = action->sequence,
			    .flushed = action->flushed,
			    .line = g_strdup(action->line) };
	g_queue_push_tail(&w.frames, frame);
}

static void answer_take(const jh_record_action_t *action)
{
	answer_t *answer = &g_array_index(w.answers, answer_t, action->tag);

	ck_assert_msg(*answer == ANSWER_OPEN, "seed %u: a line was answered twice", w.seed);
	*answer = action->held ? ANSWER_HELD : ANSWER_WITHHELD;
}

static void put_send(unsigned from, const jh_record_action_t *action, bool of_hold)
{
	put_t *put = g_new0(put_t, 1);

	*put = (put_t){ .at_us = w.now_us + g_rand_int_range(w.random, 1, 20) * STEP_US,
			.from = from,
			.boot = w.nodes[from].boot,
			.of_hold = of_hold,
			.name = g_strdup(action->name),
			.body = g_bytes_ref(action->body) };
	g_queue_push_tail(&w.puts, put);
}

static void actions_run(unsigned from, GArray *actions, bool of_hold)
{
	unsigned i;

	for (i = 0; i < actions->len; i++) {
		const jh_record_action_t *action = &g_array_index(actions, jh_record_action_t, i);

		if (action->kind == JH_RECORD_SEND || action->kind == JH_RECORD_ACK)
			frame_send(from, action);
		else if (action->kind == JH_RECORD_DONE)
			answer_take(action);
		else
			put_send(from, action, of_hold);
	}
	g_array_set_size(actions, 0);
}

static void frame_receive(const frame_t *frame, GArray *actions)
{
	node_t *node = &w.nodes[frame->to];
	const char *from = w.nodes[frame->from].name;
	jh_record_put_t put = { .author = frame->author,
				.boot = frame->boot,
				.sequence = frame->sequence,
				.line = frame->line,
				.flushed = frame->flushed };

	if (!node->alive || node->boot != frame->to_boot)
		return;
	if (frame->is_ack)
		jh_record_log_on_ack(node->log, from, frame->boot, frame->sequence, frame->refused,
				     actions);
	else
		jh_record_backup_on_put(node->hold, from, &put, w.now_us, actions);
	actions_run(frame->to, actions, false);
}

static void put_receive(const put_t *put, GArray *actions)
{
	node_t *node = &w.nodes[put->from];
	jh_record_stored_t result = JH_RECORD_NOT_STORED;

	if (w.store_up) {
		if (!g_hash_table_contains(w.objects, put->name))
			g_hash_table_insert(w.objects, g_strdup(put->name), g_bytes_ref(put->body));
		if (g_rand_double(w.random) >= w.answer_loss)
			result = JH_RECORD_STORED;
	}
	if (!node->alive || node->boot != put->boot)
		return;
	if (put->of_hold)
		jh_record_backup_on_stored(node->hold, result, w.now_us);
	else
		jh_record_log_on_stored(node->log, result, w.now_us, actions);
	actions_run(put->from, actions, false);
}

static void node_tick(unsigned i, GArray *actions)
{
	node_t *node = &w.nodes[i];

	if (!node->alive)
		return;
	jh_record_log_on_tick(node->log, w.now_us, actions);
	actions_run(i, actions, false);
	jh_record_backup_on_tick(node->hold, w.now_us, actions);
	actions_run(i, actions, true);
	ck_assert_msg(jh_record_log_bytes(node->log) <= w.limit_bytes,
		      "seed %u: own lines over the bound", w.seed);
	ck_assert_msg(jh_record_backup_bytes(node->hold) <= w.limit_bytes,
		      "seed %u: held lines over the bound", w.seed);
}

/* Deliver what is due of a queue, whatever the order in which it was sent. */
static void queue_deliver(GQueue *queue, void (*deliver)(gpointer item, GArray *actions),
			  int64_t (*due)(gconstpointer item), GDestroyNotify item_free,
			  GArray *actions)
{
	GList *link = queue->head;

	while (link) {
		GList *next = link->next;
		gpointer item = link->data;

		if (due(item) <= w.now_us) {
			g_queue_delete_link(queue, link);
			deliver(item, actions);
			item_free(item);
		}
		link = next;
	}
}

static int64_t frame_due(gconstpointer item)
{
	return ((const frame_t *)item)->at_us;
}

static int64_t put_due(gconstpointer item)
{
	return ((const put_t *)item)->at_us;
}

static void frame_deliver(gpointer item, GArray *actions)
{
	frame_receive(item, actions);
}

static void put_deliver(gpointer item, GArray *actions)
{
	put_receive(item, actions);
}

static void world_run(int64_t time_us)
{
	GArray *actions = g_array_new(FALSE, FALSE, sizeof(jh_record_action_t));
	int64_t until_us = w.now_us + time_us;
	unsigned i;

	while (w.now_us < until_us) {
		w.now_us += w.step_us;
		queue_deliver(&w.frames, frame_deliver, frame_due, frame_free, actions);
		queue_deliver(&w.puts, put_deliver, put_due, put_free, actions);
		for (i = 0; i < VMS; i++)
			node_tick(i, actions);
	}
	g_array_free(actions, TRUE);
}

static void add_line(unsigned i)
{
	GArray *actions;
	answer_t open = ANSWER_OPEN;
	char *text;

	if (!w.nodes[i].alive)
		return;
	actions = g_array_new(FALSE, FALSE, sizeof(jh_record_action_t));
	text = g_strdup_printf("line=%u", w.answers->len);
	g_array_append_val(w.answers, open);
	jh_record_log_add(w.nodes[i].log, text, OWNER, w.answers->len - 1, w.now_us, actions);
	actions_run(i, actions, false);
	g_array_free(actions, TRUE);
	g_free(text);
}

/* ---- loss of a VM ---- */

static void vm_lose(unsigned lost)
{
	node_stop(lost);
	world_run(g_rand_int_range(w.random, 1, 100) * STEP_US);
}

/* The other VMs learn of the loss by the broken connection or by the list, or the VM is back. */
static void vm_loss_seen(unsigned lost, bool comes_back)
{
	unsigned i;

	if (!comes_back)
		w.vms[lost].state = JH_VM_DEAD;
	for (i = 0; i < VMS; i++) {
		if (i == lost)
			continue;
		jh_record_log_on_peer_down(w.nodes[i].log, w.nodes[lost].name);
		jh_record_backup_on_peer_down(w.nodes[i].hold, w.nodes[lost].name, w.now_us);
		jh_record_log_set_vms(w.nodes[i].log, w.vm_list);
		jh_record_backup_set_vms(w.nodes[i].hold, w.vm_list, w.now_us);
	}
	if (comes_back)
		node_start(lost);
}

/* ---- the report ---- */

static void report_add_line(GHashTable *report, const char *name, const char *line)
{
	const char *rest = strchr(line, ' ');
	char **parts = g_strsplit(name, "/", -1);
	char *key = g_strdup_printf("%s/%s/%" G_GUINT64_FORMAT, parts[1], parts[2],
				    g_ascii_strtoull(line + strlen("sequence="), NULL, 10));
	const char *known = g_hash_table_lookup(report, key);

	ck_assert_msg(!known || g_str_equal(known, rest), "seed %u: %s has two lines", w.seed, key);
	g_hash_table_insert(report, key, g_strdup(rest));
	g_strfreev(parts);
}

/* Read all objects. Return: new table of lines by vm, boot and sequence. */
static GHashTable *report_read(void)
{
	GHashTable *report = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	GHashTableIter iter;
	gpointer name;
	gpointer body;

	g_hash_table_iter_init(&iter, w.objects);
	while (g_hash_table_iter_next(&iter, &name, &body)) {
		gsize length = 0;
		const char *data = g_bytes_get_data(body, &length);
		char *text = g_strndup(data, length);
		char **lines = g_strsplit(text, "\n", -1);
		unsigned i;

		for (i = 0; lines[i] && *lines[i]; i++)
			report_add_line(report, name, lines[i]);
		g_strfreev(lines);
		g_free(text);
	}
	return report;
}

/* How often each line is in the report, by its tag. */
static unsigned *report_count(GHashTable *report)
{
	unsigned *counts = g_new0(unsigned, w.answers->len);
	GHashTableIter iter;
	gpointer line;

	g_hash_table_iter_init(&iter, report);
	while (g_hash_table_iter_next(&iter, NULL, &line)) {
		if (g_str_has_prefix(line, " line="))
			counts[strtoul((char *)line + strlen(" line="), NULL, 10)]++;
	}
	return counts;
}

static void check_report(void)
{
	GHashTable *report = report_read();
	unsigned *counts = report_count(report);
	unsigned i;

	for (i = 0; i < w.answers->len; i++) {
		answer_t answer = g_array_index(w.answers, answer_t, i);

		ck_assert_msg(counts[i] <= 1, "seed %u: line %u is in the report twice", w.seed, i);
		ck_assert_msg(answer != ANSWER_HELD || counts[i] == 1,
			      "seed %u: line %u was released and is lost", w.seed, i);
	}
	g_free(counts);
	g_hash_table_destroy(report);
}

static unsigned answers_count(answer_t wanted)
{
	unsigned count = 0;
	unsigned i;

	for (i = 0; i < w.answers->len; i++) {
		if (g_array_index(w.answers, answer_t, i) == wanted)
			count++;
	}
	return count;
}

static void world_settle(void)
{
	w.store_up = true;
	w.loss = 0;
	w.answer_loss = 0;
	w.step_us = SETTLE_STEP_US;
	world_run(90 * SECOND_US);
}

/* ---- tests ---- */

START_TEST(test_no_answer_is_lost_with_one_vm)
{
	unsigned held = 0;
	unsigned withheld = 0;
	unsigned seed;

	for (seed = 1; seed <= SEEDS; seed++) {
		unsigned lost = seed % VMS;
		unsigned when = 0;
		unsigned i;

		world_start(seed, LIMIT_BYTES);
		w.loss = 0.05;
		w.answer_loss = 0.1;
		when = (unsigned)g_rand_int_range(w.random, 0, 300);
		for (i = 0; i < 300; i++) {
			if (g_rand_int_range(w.random, 0, 60) == 0)
				w.store_up = !w.store_up;
			if (i == when) {
				vm_lose(lost);
				vm_loss_seen(lost, seed % 2);
			}
			add_line((unsigned)g_rand_int_range(w.random, 0, VMS));
			world_run(STEP_US);
		}
		world_settle();
		check_report();
		held += answers_count(ANSWER_HELD);
		withheld += answers_count(ANSWER_WITHHELD);
		world_end();
	}
	printf("record: seeds 1-%u, one VM lost in each: %u answers released, none lost, none "
	       "doubled; %u withheld\n",
	       SEEDS, held, withheld);
}
END_TEST

/* New work is offered only while the daemon accepts it, as the entry does. */
START_TEST(test_outage_is_held_up_to_the_bound)
{
	const int64_t limit_bytes = 32 * 1024;
	unsigned refused_before = 0;
	unsigned i;

	world_start(1, limit_bytes);
	w.store_up = false;
	for (i = 0; i < 6000; i++) {
		if (jh_record_log_is_accepting(w.nodes[i % VMS].log))
			add_line(i % VMS);
		else
			refused_before++;
		world_run(STEP_US);
	}
	ck_assert_uint_gt(refused_before, 0);
	printf("record: an outage of 60 s at 100 answers/s and a bound of 2 x 32 KiB a VM: %u "
	       "released, %u refused before they ran, %u withheld\n",
	       answers_count(ANSWER_HELD), refused_before, answers_count(ANSWER_WITHHELD));
	w.store_up = true;
	world_run(30 * SECOND_US);
	for (i = 0; i < VMS; i++)
		ck_assert_msg(jh_record_log_is_accepting(w.nodes[i].log), "vm-%u stays full", i);
	world_settle();
	check_report();
	world_end();
}
END_TEST

START_TEST(test_withheld_answer_is_amended)
{
	GHashTable *report;
	GHashTableIter iter;
	gpointer line;
	bool amended = false;

	world_start(1, LIMIT_BYTES);
	w.loss = 1;
	w.store_up = false;
	add_line(0);
	world_run(5 * SECOND_US);
	ck_assert_uint_eq(answers_count(ANSWER_WITHHELD), 1);
	world_settle();
	report = report_read();
	g_hash_table_iter_init(&iter, report);
	while (g_hash_table_iter_next(&iter, NULL, &line))
		amended |= g_str_equal(line, " amends=1 released=no");
	ck_assert(amended);
	g_hash_table_destroy(report);
	world_end();
}
END_TEST

/* Without any other VM in reach the object store makes an answer safe. */
START_TEST(test_alone_the_store_holds)
{
	unsigned i;

	world_start(1, LIMIT_BYTES);
	w.loss = 1;
	for (i = 0; i < 20; i++) {
		add_line(0);
		world_run(STEP_US);
	}
	world_run(2 * SECOND_US);
	ck_assert_uint_eq(answers_count(ANSWER_HELD), 20);
	check_report();
	world_end();
}
END_TEST

static void hold_put(jh_record_backup_t *hold, uint64_t sequence, GArray *actions)
{
	jh_record_put_t put = { .author = "vm-1", .boot = 7, .sequence = sequence, .line = "line" };

	jh_record_backup_on_put(hold, "vm-1", &put, w.now_us, actions);
	g_array_set_size(actions, 0);
}

/* Lose the author, and give the name of the object that is put in its place. */
static char *hold_take_over(jh_record_backup_t *hold, GArray *actions)
{
	char *name;

	jh_record_backup_on_peer_down(hold, "vm-1", w.now_us);
	w.now_us += 10 * SECOND_US;
	jh_record_backup_on_tick(hold, w.now_us, actions);
	ck_assert_uint_eq(actions->len, 1);
	name = g_strdup(g_array_index(actions, jh_record_action_t, 0).name);
	jh_record_backup_on_stored(hold, JH_RECORD_STORED, w.now_us);
	g_array_set_size(actions, 0);
	return name;
}

/*
 * An author that only seemed lost gives its lines again, and more. The second batch begins with
 * the same line; under the same name it would count as stored already.
 */
START_TEST(test_second_batch_has_its_own_name)
{
	GArray *actions = g_array_new(FALSE, FALSE, sizeof(jh_record_action_t));
	jh_record_backup_t *hold = jh_record_backup_new("vm-0", 3, LIMIT_BYTES);
	char *first;
	char *second;

	w.now_us = SECOND_US;
	hold_put(hold, 1, actions);
	first = hold_take_over(hold, actions);
	hold_put(hold, 1, actions);
	hold_put(hold, 2, actions);
	second = hold_take_over(hold, actions);
	ck_assert_str_ne(first, second);
	ck_assert_uint_eq(jh_record_backup_count(hold), 0);
	ck_assert_int_eq(jh_record_backup_bytes(hold), 0);
	g_free(first);
	g_free(second);
	jh_record_backup_free(hold);
	g_array_free(actions, TRUE);
}
END_TEST

/* Answers that VM's log refused; stores and acknowledgements come back at once. */
static unsigned run_actions(jh_record_log_t *log, GArray *actions, int64_t now_us)
{
	unsigned refused = 0;
	unsigned i;

	/* Each may lead to more, which are appended. */
	for (i = 0; i < actions->len; i++) {
		const jh_record_action_t action = g_array_index(actions, jh_record_action_t, i);

		if (action.kind == JH_RECORD_STORE)
			jh_record_log_on_stored(log, JH_RECORD_STORED, now_us, actions);
		else if (action.kind == JH_RECORD_SEND && action.sequence > 0)
			jh_record_log_on_ack(log, action.vm, action.boot, action.sequence, false,
					     actions);
		else if (action.kind == JH_RECORD_DONE && !action.held)
			refused++;
	}
	g_array_set_size(actions, 0);
	return refused;
}

/*
 * Issue 4: at 25,000 answers a second through one VM, batches of 4 MB every 2 s let the memory
 * fill up beside an idle store, and half of the answers were refused.
 */
START_TEST(test_busy_vm_flushes_full_batches)
{
	enum {
		LIMIT = 32 * 1024 * 1024,
		LINES_A_MS = 25,
		TIME_MS = 10000
	};
	jh_vm_t vms[] = { { .name = "vm-0", .dc = "a" }, { .name = "vm-1", .dc = "b" } };
	GPtrArray *list = g_ptr_array_new();
	jh_record_log_t *log = jh_record_log_new("vm-0", 1, LIMIT);
	GArray *actions = g_array_new(FALSE, FALSE, sizeof(jh_record_action_t));
	char *text = g_strnfill(300, 'x');
	unsigned refused = 0;
	unsigned ms;
	unsigned i;

	g_ptr_array_add(list, &vms[0]);
	g_ptr_array_add(list, &vms[1]);
	jh_record_log_set_vms(log, list);
	for (ms = 1; ms <= TIME_MS; ms++) {
		for (i = 0; i < LINES_A_MS; i++)
			jh_record_log_add(log, text, 1, i, (int64_t)ms * 1000, actions);
		jh_record_log_on_tick(log, (int64_t)ms * 1000, actions);
		refused += run_actions(log, actions, (int64_t)ms * 1000);
	}
	ck_assert_uint_eq(refused, 0);
	g_free(text);
	g_ptr_array_free(list, TRUE);
	g_array_free(actions, TRUE);
	jh_record_log_free(log);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("record");
	TCase *tcase = tcase_create("record");
	SRunner *runner;
	int failed;

	tcase_add_test(tcase, test_no_answer_is_lost_with_one_vm);
	tcase_add_test(tcase, test_outage_is_held_up_to_the_bound);
	tcase_add_test(tcase, test_withheld_answer_is_amended);
	tcase_add_test(tcase, test_alone_the_store_holds);
	tcase_add_test(tcase, test_second_batch_has_its_own_name);
	tcase_add_test(tcase, test_busy_vm_flushes_full_batches);
	tcase_set_timeout(tcase, 280);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
