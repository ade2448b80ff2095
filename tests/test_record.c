#include "jh_record.h"

#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/*
 * Simulation of the audit record in virtual time: six VMs in three data centres, frames that are
 * lost, late or out of order, an object store with outages and lost replies, and a crash of one VM.
 * At the end, the objects are read as jasminehill report reads them: every released response must
 * have exactly one line there, and no other response more than one.
 */

#define STEP_US 10000
#define SETTLE_STEP_US 100000
#define SECOND_US 1000000
#define VMS 6u
#define REQUESTER 1u
#define SEEDS 200u
#define LIMIT_BYTES (1024 * 1024)

typedef struct node {
	char name[8];
	uint64_t boot;
	bool alive;
	jh_record_log_t *log;
	jh_record_backup_t *backup;
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

/* A request in flight to put an object into the store. */
typedef struct object_put {
	int64_t at_us;
	unsigned from;
	uint64_t boot;
	bool from_backup;
	char *name;
	GBytes *body;
} object_put_t;

typedef enum response {
	RESPONSE_PENDING,
	RESPONSE_RELEASED,
	RESPONSE_WITHHELD,
} response_t;

typedef struct simulation {
	GRand *random;
	int64_t now_us;
	int64_t step_us;
	node_t nodes[VMS];
	jh_vm_t vms[VMS];
	GPtrArray *vm_list;
	GQueue frames;
	GQueue puts;
	GHashTable *objects;
	bool store_is_up;
	double frame_loss;
	double store_reply_loss;
	int64_t limit_bytes;
	uint64_t next_boot;
	/* response_t of each line, by its tag. */
	GArray *responses;
	unsigned seed;
} simulation_t;

static simulation_t sim;

/* Simulation */

static void node_start(unsigned i)
{
	node_t *node = &sim.nodes[i];

	g_snprintf(node->name, sizeof(node->name), "vm-%u", i);
	node->boot = ++sim.next_boot;
	node->alive = true;
	node->log = jh_record_log_new(node->name, node->boot, sim.limit_bytes);
	node->backup = jh_record_backup_new(node->name, node->boot, sim.limit_bytes);
	jh_record_log_set_vms(node->log, sim.vm_list);
}

static void node_stop(unsigned i)
{
	sim.nodes[i].alive = false;
	jh_record_log_free(sim.nodes[i].log);
	jh_record_backup_free(sim.nodes[i].backup);
}

static void sim_start(unsigned seed, int64_t limit_bytes)
{
	unsigned i;

	memset(&sim, 0, sizeof(sim));
	sim.seed = seed;
	sim.random = g_rand_new_with_seed(seed);
	sim.now_us = 100 * SECOND_US;
	sim.step_us = STEP_US;
	sim.limit_bytes = limit_bytes;
	sim.store_is_up = true;
	sim.vm_list = g_ptr_array_new();
	sim.objects = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					    (GDestroyNotify)g_bytes_unref);
	sim.responses = g_array_new(FALSE, TRUE, sizeof(response_t));
	for (i = 0; i < VMS; i++) {
		sim.vms[i] = (jh_vm_t){ .name = g_strdup_printf("vm-%u", i),
					.dc = g_strdup_printf("dc-%u", i % 3) };
		g_ptr_array_add(sim.vm_list, &sim.vms[i]);
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

static void object_put_free(gpointer data)
{
	object_put_t *object_put = data;

	g_free(object_put->name);
	g_bytes_unref(object_put->body);
	g_free(object_put);
}

static void sim_end(void)
{
	unsigned i;

	for (i = 0; i < VMS; i++) {
		if (sim.nodes[i].alive)
			node_stop(i);
		g_free(sim.vms[i].name);
		g_free(sim.vms[i].dc);
	}
	g_queue_clear_full(&sim.frames, frame_free);
	g_queue_clear_full(&sim.puts, object_put_free);
	g_hash_table_destroy(sim.objects);
	g_ptr_array_free(sim.vm_list, TRUE);
	g_array_free(sim.responses, TRUE);
	g_rand_free(sim.random);
}

static unsigned vm_index(const char *name)
{
	return (unsigned)(name[3] - '0');
}

static void frame_send(unsigned from, const jh_record_action_t *action)
{
	unsigned to = vm_index(action->vm);
	frame_t *frame;

	if (!sim.nodes[to].alive || g_rand_double(sim.random) < sim.frame_loss)
		return;
	frame = g_new0(frame_t, 1);
	*frame = (frame_t){ .at_us = sim.now_us + g_rand_int_range(sim.random, 1, 6) * STEP_US,
			    .to = to,
			    .to_boot = sim.nodes[to].boot,
			    .from = from,
			    .is_ack = action->kind == JH_RECORD_SEND_ACK,
			    .refused = action->refused,
			    .author = action->author,
			    .boot = action->boot,
			    .sequence = action->sequence,
			    .flushed = action->flushed,
			    .line = g_strdup(action->line) };
	g_queue_push_tail(&sim.frames, frame);
}

static void apply_outcome(const jh_record_action_t *action)
{
	response_t *response = &g_array_index(sim.responses, response_t, action->tag);

	ck_assert_msg(*response == RESPONSE_PENDING,
		      "seed %u: the requester of a line was notified twice", sim.seed);
	*response = action->is_durable ? RESPONSE_RELEASED : RESPONSE_WITHHELD;
}

static void object_put_send(unsigned from, const jh_record_action_t *action, bool from_backup)
{
	object_put_t *object_put = g_new0(object_put_t, 1);

	*object_put =
		(object_put_t){ .at_us = sim.now_us + g_rand_int_range(sim.random, 1, 20) * STEP_US,
				.from = from,
				.boot = sim.nodes[from].boot,
				.from_backup = from_backup,
				.name = g_strdup(action->name),
				.body = g_bytes_ref(action->body) };
	g_queue_push_tail(&sim.puts, object_put);
}

static void run_node_actions(unsigned from, GArray *actions, bool from_backup)
{
	unsigned i;

	for (i = 0; i < actions->len; i++) {
		const jh_record_action_t *action = &g_array_index(actions, jh_record_action_t, i);

		if (action->kind == JH_RECORD_SEND_PUT || action->kind == JH_RECORD_SEND_ACK)
			frame_send(from, action);
		else if (action->kind == JH_RECORD_NOTIFY_REQUESTER)
			apply_outcome(action);
		else
			object_put_send(from, action, from_backup);
	}
	g_array_set_size(actions, 0);
}

static void frame_receive(const frame_t *frame, GArray *actions)
{
	node_t *node = &sim.nodes[frame->to];
	const char *from = sim.nodes[frame->from].name;
	jh_record_put_t record_put = { .author = frame->author,
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
		jh_record_backup_on_put(node->backup, from, &record_put, sim.now_us, actions);
	run_node_actions(frame->to, actions, false);
}

static void object_put_receive(const object_put_t *object_put, GArray *actions)
{
	node_t *node = &sim.nodes[object_put->from];
	jh_record_store_result_t result = JH_RECORD_NOT_STORED;

	if (sim.store_is_up) {
		if (!g_hash_table_contains(sim.objects, object_put->name))
			g_hash_table_insert(sim.objects, g_strdup(object_put->name),
					    g_bytes_ref(object_put->body));
		if (g_rand_double(sim.random) >= sim.store_reply_loss)
			result = JH_RECORD_STORED;
	}
	if (!node->alive || node->boot != object_put->boot)
		return;
	if (object_put->from_backup)
		jh_record_backup_on_stored(node->backup, result, sim.now_us);
	else
		jh_record_log_on_stored(node->log, result, sim.now_us, actions);
	run_node_actions(object_put->from, actions, false);
}

static void node_tick(unsigned i, GArray *actions)
{
	node_t *node = &sim.nodes[i];

	if (!node->alive)
		return;
	jh_record_log_on_tick(node->log, sim.now_us, actions);
	run_node_actions(i, actions, false);
	jh_record_backup_on_tick(node->backup, sim.now_us, actions);
	run_node_actions(i, actions, true);
	ck_assert_msg(jh_record_log_bytes(node->log) <= sim.limit_bytes,
		      "seed %u: own lines exceed the memory limit", sim.seed);
	ck_assert_msg(jh_record_backup_bytes(node->backup) <= sim.limit_bytes,
		      "seed %u: backup copies exceed the memory limit", sim.seed);
}

/* Delivers the items that are due; a later item may overtake an earlier one. */
static void queue_deliver(GQueue *queue, void (*deliver)(gpointer item, GArray *actions),
			  int64_t (*due_us)(gconstpointer item), GDestroyNotify item_free,
			  GArray *actions)
{
	GList *link = queue->head;

	while (link) {
		GList *next = link->next;
		gpointer item = link->data;

		if (due_us(item) <= sim.now_us) {
			g_queue_delete_link(queue, link);
			deliver(item, actions);
			item_free(item);
		}
		link = next;
	}
}

static int64_t frame_due_us(gconstpointer item)
{
	return ((const frame_t *)item)->at_us;
}

static int64_t object_put_due_us(gconstpointer item)
{
	return ((const object_put_t *)item)->at_us;
}

static void frame_deliver(gpointer item, GArray *actions)
{
	frame_receive(item, actions);
}

static void object_put_deliver(gpointer item, GArray *actions)
{
	object_put_receive(item, actions);
}

static void sim_run(int64_t time_us)
{
	GArray *actions = g_array_new(FALSE, FALSE, sizeof(jh_record_action_t));
	int64_t until_us = sim.now_us + time_us;
	unsigned i;

	while (sim.now_us < until_us) {
		sim.now_us += sim.step_us;
		queue_deliver(&sim.frames, frame_deliver, frame_due_us, frame_free, actions);
		queue_deliver(&sim.puts, object_put_deliver, object_put_due_us, object_put_free,
			      actions);
		for (i = 0; i < VMS; i++)
			node_tick(i, actions);
	}
	g_array_free(actions, TRUE);
}

static void add_line(unsigned i)
{
	GArray *actions;
	response_t pending = RESPONSE_PENDING;
	char *text;

	if (!sim.nodes[i].alive)
		return;
	actions = g_array_new(FALSE, FALSE, sizeof(jh_record_action_t));
	text = g_strdup_printf("line=%u", sim.responses->len);
	g_array_append_val(sim.responses, pending);
	jh_record_log_append(sim.nodes[i].log, text, REQUESTER, sim.responses->len - 1, sim.now_us,
			     actions);
	run_node_actions(i, actions, false);
	g_array_free(actions, TRUE);
	g_free(text);
}

/* Crash of a VM */

static void crash_vm(unsigned crashed)
{
	node_stop(crashed);
	sim_run(g_rand_int_range(sim.random, 1, 100) * STEP_US);
}

/* The other VMs see a broken connection and, unless the VM restarts, its death in the VM list. */
static void notify_crash(unsigned crashed, bool restarts)
{
	unsigned i;

	if (!restarts)
		sim.vms[crashed].state = JH_VM_DEAD;
	for (i = 0; i < VMS; i++) {
		if (i == crashed)
			continue;
		jh_record_log_on_peer_down(sim.nodes[i].log, sim.nodes[crashed].name);
		jh_record_backup_on_peer_down(sim.nodes[i].backup, sim.nodes[crashed].name,
					      sim.now_us);
		jh_record_log_set_vms(sim.nodes[i].log, sim.vm_list);
		jh_record_backup_set_vms(sim.nodes[i].backup, sim.vm_list, sim.now_us);
	}
	if (restarts)
		node_start(crashed);
}

/* Report from the object store */

static void report_add_line(GHashTable *report, const char *name, const char *line)
{
	const char *rest = strchr(line, ' ');
	char **parts = g_strsplit(name, "/", -1);
	char *key = g_strdup_printf("%s/%s/%" G_GUINT64_FORMAT, parts[1], parts[2],
				    g_ascii_strtoull(line + strlen("sequence="), NULL, 10));
	const char *existing = g_hash_table_lookup(report, key);

	ck_assert_msg(!existing || g_str_equal(existing, rest),
		      "seed %u: %s has two different lines", sim.seed, key);
	g_hash_table_insert(report, key, g_strdup(rest));
	g_strfreev(parts);
}

/* Reads all objects. Return: new table of lines, by VM, boot id and sequence number. */
static GHashTable *report_read(void)
{
	GHashTable *report = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	GHashTableIter iter;
	gpointer name;
	gpointer body;

	g_hash_table_iter_init(&iter, sim.objects);
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

/* Return: new array with the number of times that each line is in the report, by its tag. */
static unsigned *report_count(GHashTable *report)
{
	unsigned *counts = g_new0(unsigned, sim.responses->len);
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

	for (i = 0; i < sim.responses->len; i++) {
		response_t response = g_array_index(sim.responses, response_t, i);

		ck_assert_msg(counts[i] <= 1, "seed %u: line %u is in the report twice", sim.seed,
			      i);
		ck_assert_msg(response != RESPONSE_RELEASED || counts[i] == 1,
			      "seed %u: line %u was released and is lost", sim.seed, i);
	}
	g_free(counts);
	g_hash_table_destroy(report);
}

static unsigned count_responses(response_t state)
{
	unsigned count = 0;
	unsigned i;

	for (i = 0; i < sim.responses->len; i++) {
		if (g_array_index(sim.responses, response_t, i) == state)
			count++;
	}
	return count;
}

static void sim_settle(void)
{
	sim.store_is_up = true;
	sim.frame_loss = 0;
	sim.store_reply_loss = 0;
	sim.step_us = SETTLE_STEP_US;
	sim_run(90 * SECOND_US);
}

/* Tests */

START_TEST(test_crash_loses_no_released_response)
{
	unsigned released = 0;
	unsigned withheld = 0;
	unsigned seed;

	for (seed = 1; seed <= SEEDS; seed++) {
		unsigned crashed = seed % VMS;
		unsigned crash_step = 0;
		unsigned i;

		sim_start(seed, LIMIT_BYTES);
		sim.frame_loss = 0.05;
		sim.store_reply_loss = 0.1;
		crash_step = (unsigned)g_rand_int_range(sim.random, 0, 300);
		for (i = 0; i < 300; i++) {
			if (g_rand_int_range(sim.random, 0, 60) == 0)
				sim.store_is_up = !sim.store_is_up;
			if (i == crash_step) {
				crash_vm(crashed);
				notify_crash(crashed, seed % 2);
			}
			add_line((unsigned)g_rand_int_range(sim.random, 0, VMS));
			sim_run(STEP_US);
		}
		sim_settle();
		check_report();
		released += count_responses(RESPONSE_RELEASED);
		withheld += count_responses(RESPONSE_WITHHELD);
		sim_end();
	}
	printf("record: seeds 1-%u, one VM lost in each: %u answers released, none lost, none "
	       "doubled; %u withheld\n",
	       SEEDS, released, withheld);
}
END_TEST

/* Like the entry task, the test adds lines only while the log accepts new work. */
START_TEST(test_outage_stays_within_memory_limit)
{
	const int64_t limit_bytes = 32 * 1024;
	unsigned refused_before_run = 0;
	unsigned i;

	sim_start(1, limit_bytes);
	sim.store_is_up = false;
	for (i = 0; i < 6000; i++) {
		if (jh_record_log_is_accepting(sim.nodes[i % VMS].log))
			add_line(i % VMS);
		else
			refused_before_run++;
		sim_run(STEP_US);
	}
	ck_assert_uint_gt(refused_before_run, 0);
	printf("record: an outage of 60 s at 100 answers/s and a bound of 2 x 32 KiB a VM: %u "
	       "released, %u refused before they ran, %u withheld\n",
	       count_responses(RESPONSE_RELEASED), refused_before_run,
	       count_responses(RESPONSE_WITHHELD));
	sim.store_is_up = true;
	sim_run(30 * SECOND_US);
	for (i = 0; i < VMS; i++)
		ck_assert_msg(jh_record_log_is_accepting(sim.nodes[i].log),
			      "vm-%u still refuses new work", i);
	sim_settle();
	check_report();
	sim_end();
}
END_TEST

START_TEST(test_withheld_response_is_amended)
{
	GHashTable *report;
	GHashTableIter iter;
	gpointer line;
	bool amended = false;

	sim_start(1, LIMIT_BYTES);
	sim.frame_loss = 1;
	sim.store_is_up = false;
	add_line(0);
	sim_run(5 * SECOND_US);
	ck_assert_uint_eq(count_responses(RESPONSE_WITHHELD), 1);
	sim_settle();
	report = report_read();
	g_hash_table_iter_init(&iter, report);
	while (g_hash_table_iter_next(&iter, NULL, &line))
		amended |= g_str_equal(line, " amends=1 released=no");
	ck_assert(amended);
	g_hash_table_destroy(report);
	sim_end();
}
END_TEST

/* While no other VM is reachable, storing a line in the object store makes it durable. */
START_TEST(test_store_alone_makes_lines_durable)
{
	unsigned i;

	sim_start(1, LIMIT_BYTES);
	sim.frame_loss = 1;
	for (i = 0; i < 20; i++) {
		add_line(0);
		sim_run(STEP_US);
	}
	sim_run(2 * SECOND_US);
	ck_assert_uint_eq(count_responses(RESPONSE_RELEASED), 20);
	check_report();
	sim_end();
}
END_TEST

static void put_line(jh_record_backup_t *backup, uint64_t sequence, GArray *actions)
{
	jh_record_put_t record_put = {
		.author = "vm-1", .boot = 7, .sequence = sequence, .line = "line"
	};

	jh_record_backup_on_put(backup, "vm-1", &record_put, sim.now_us, actions);
	g_array_set_size(actions, 0);
}

/* Reports the author as lost. Return: new name of the object that the backup VM then stores. */
static char *store_for_lost_author(jh_record_backup_t *backup, GArray *actions)
{
	char *name;

	jh_record_backup_on_peer_down(backup, "vm-1", sim.now_us);
	sim.now_us += 10 * SECOND_US;
	jh_record_backup_on_tick(backup, sim.now_us, actions);
	ck_assert_uint_eq(actions->len, 1);
	name = g_strdup(g_array_index(actions, jh_record_action_t, 0).name);
	jh_record_backup_on_stored(backup, JH_RECORD_STORED, sim.now_us);
	g_array_set_size(actions, 0);
	return name;
}

/*
 * An author that was wrongly treated as lost sends its lines again, and a new one. The second batch
 * begins with the same line; under the same name, the store would regard it as stored already, and
 * the new line would be lost.
 */
START_TEST(test_second_batch_has_unique_name)
{
	GArray *actions = g_array_new(FALSE, FALSE, sizeof(jh_record_action_t));
	jh_record_backup_t *backup = jh_record_backup_new("vm-0", 3, LIMIT_BYTES);
	char *first;
	char *second;

	sim.now_us = SECOND_US;
	put_line(backup, 1, actions);
	first = store_for_lost_author(backup, actions);
	put_line(backup, 1, actions);
	put_line(backup, 2, actions);
	second = store_for_lost_author(backup, actions);
	ck_assert_str_ne(first, second);
	ck_assert_uint_eq(jh_record_backup_count(backup), 0);
	ck_assert_int_eq(jh_record_backup_bytes(backup), 0);
	g_free(first);
	g_free(second);
	jh_record_backup_free(backup);
	g_array_free(actions, TRUE);
}
END_TEST

/*
 * Runs the actions of one log; each store and each acknowledgement succeeds immediately.
 * Return: number of responses that the log refused.
 */
static unsigned run_log_actions(jh_record_log_t *log, GArray *actions, int64_t now_us)
{
	unsigned refused = 0;
	unsigned i;

	/* An action may append further actions to the array. */
	for (i = 0; i < actions->len; i++) {
		const jh_record_action_t action = g_array_index(actions, jh_record_action_t, i);

		if (action.kind == JH_RECORD_STORE_BATCH)
			jh_record_log_on_stored(log, JH_RECORD_STORED, now_us, actions);
		else if (action.kind == JH_RECORD_SEND_PUT && action.sequence > 0)
			jh_record_log_on_ack(log, action.vm, action.boot, action.sequence, false,
					     actions);
		else if (action.kind == JH_RECORD_NOTIFY_REQUESTER && !action.is_durable)
			refused++;
	}
	g_array_set_size(actions, 0);
	return refused;
}

/*
 * Issue 4: a VM with 25,000 responses/s stored only one batch of 4 MB every 2 s. Its memory filled
 * up while the object store was idle, and half of the responses were refused.
 */
START_TEST(test_full_batches_are_flushed_immediately)
{
	enum {
		MEMORY_LIMIT_BYTES = 32 * 1024 * 1024,
		LINES_PER_MS = 25,
		DURATION_MS = 10000
	};
	jh_vm_t vms[] = { { .name = "vm-0", .dc = "a" }, { .name = "vm-1", .dc = "b" } };
	GPtrArray *vms_list = g_ptr_array_new();
	jh_record_log_t *log = jh_record_log_new("vm-0", 1, MEMORY_LIMIT_BYTES);
	GArray *actions = g_array_new(FALSE, FALSE, sizeof(jh_record_action_t));
	char *text = g_strnfill(300, 'x');
	unsigned refused = 0;
	unsigned ms;
	unsigned i;

	g_ptr_array_add(vms_list, &vms[0]);
	g_ptr_array_add(vms_list, &vms[1]);
	jh_record_log_set_vms(log, vms_list);
	for (ms = 1; ms <= DURATION_MS; ms++) {
		for (i = 0; i < LINES_PER_MS; i++)
			jh_record_log_append(log, text, 1, i, (int64_t)ms * 1000, actions);
		jh_record_log_on_tick(log, (int64_t)ms * 1000, actions);
		refused += run_log_actions(log, actions, (int64_t)ms * 1000);
	}
	ck_assert_uint_eq(refused, 0);
	g_free(text);
	g_ptr_array_free(vms_list, TRUE);
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

	tcase_add_test(tcase, test_crash_loses_no_released_response);
	tcase_add_test(tcase, test_outage_stays_within_memory_limit);
	tcase_add_test(tcase, test_withheld_response_is_amended);
	tcase_add_test(tcase, test_store_alone_makes_lines_durable);
	tcase_add_test(tcase, test_second_batch_has_unique_name);
	tcase_add_test(tcase, test_full_batches_are_flushed_immediately);
	tcase_set_timeout(tcase, 280);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
