/* The owner task on a kernel of its own, with a fake database and the test as the entry. */
#include "fake_database.h"
#include "jh_frame.h"
#include "jh_log.h"

#include <check.h>
#include <signal.h>
#include <sodium.h>
#include <stdlib.h>

#define MAX_STEPS 30000
#define LONG_MS 20000

extern const jh_module_t jh_owner_module;

typedef struct bench {
	jh_settings_t settings;
	jh_kernel_t *kernel;
	jh_task_t *entry;
	fake_t *fake;
	uint64_t term;
	uint64_t held;
	/* The newest end, and how many came. */
	Jh__AnswerEnd end;
	unsigned ends;
	/* Types of the messages of all parts, in order, and their bytes. */
	GString *types;
	GByteArray *bytes;
} bench_t;

static bench_t bench;

/* ---- the entry ---- */

static void part_take(const Jh__AnswerPart *part)
{
	size_t at = 0;
	uint32_t length;

	while (at < part->messages.len) {
		g_string_append_c(bench.types, (char)part->messages.data[at]);
		memcpy(&length, part->messages.data + at + 1, sizeof(length));
		at += 1 + GUINT32_FROM_BE(length);
	}
	g_byte_array_append(bench.bytes, part->messages.data, (guint)part->messages.len);
}

static void probe_on_message(jh_task_t *task, const jh_msg_t *msg)
{
	const jh_frame_msg_t *in = msg->body;

	if (msg->type != JH_MSG_FRAME_IN)
		return;
	if (in->frame->body_case == JH__FRAME__BODY_ANSWER_PART) {
		part_take(in->frame->answer_part);
	} else {
		bench.end = *in->frame->answer_end;
		bench.ends++;
	}
}

static int probe_init(jh_task_t *task, jh_error_t *err)
{
	bench.entry = task;
	return 0;
}

static void probe_fini(jh_task_t *task)
{
}

static const jh_module_t probe_module = {
	.name = "probe",
	.subscriptions = { JH_MSG_TYPES },
	.frames = { JH__FRAME__BODY_ANSWER_PART, JH__FRAME__BODY_ANSWER_END, 0 },
	.init = probe_init,
	.on_message = probe_on_message,
	.fini = probe_fini,
};

static void step(void)
{
	ev_run(jh_kernel_loop(bench.kernel), EVRUN_NOWAIT);
	g_usleep(50);
}

#define STEP_UNTIL(condition)                                                                      \
	do {                                                                                       \
		unsigned steps_ = 0;                                                               \
		while (!(condition) && steps_++ < MAX_STEPS)                                       \
			step();                                                                    \
		ck_assert_msg(condition, "never met: %s", #condition);                             \
	} while (0)

static void settle(void)
{
	unsigned i;

	for (i = 0; i < 200; i++)
		step();
}

/* ---- the surroundings ---- */

static void vms_tell(jh_vm_state_t state)
{
	GPtrArray *vms = g_ptr_array_new();
	jh_vm_t vm = {
		.name = "vm-1", .dc = "dc-1", .host = "127.0.0.1", .port = 1, .state = state
	};

	g_ptr_array_add(vms, jh_vm_copy(&vm));
	jh_vms_publish(bench.entry, vms);
}

static void config_tell(bool departing)
{
	static const char *const names[] = { "db-a", "db-b", "db-c" };
	jh_config_t *config = jh_config_new();
	jh_group_t *group = jh_group_new();
	unsigned i;

	group->name = g_strdup("g");
	group->dbname = g_strdup("d");
	group->user = g_strdup("u");
	for (i = 0; i < 3; i++) {
		jh_database_t *database = jh_database_new();

		database->name = g_strdup(names[i]);
		database->dc = g_strdup("dc-1");
		database->host = g_strdup("127.0.0.1");
		database->port = i == 0 ? bench.fake->port : 1;
		database->slots = 2;
		database->connections = 12;
		database->departing = departing;
		g_ptr_array_add(group->databases, database);
	}
	g_ptr_array_add(config->groups, group);
	config->version = 1;
	jh_config_publish(bench.entry, config, 0);
}

/* db-a is the primary of bench.term; db-b holds up to bench.held in that term. */
static void view_tell(void)
{
	jh_database_view_t a = { .name = "db-a", .reachable = true };
	jh_database_view_t b = { .name = "db-b", .reachable = true };
	jh_group_view_t view = { .group = "g", .term = bench.term, .primary = "db-a" };

	b.held = (jh_position_t){ .term = 5, .index = bench.held };
	view.databases = g_ptr_array_new();
	g_ptr_array_add(view.databases, &a);
	g_ptr_array_add(view.databases, &b);
	jh_group_view_publish(bench.entry, jh_group_view_copy(&view));
	g_ptr_array_free(view.databases, TRUE);
}

static void held_tell(uint64_t index)
{
	bench.held = index;
	view_tell();
}

static void set_up(void)
{
	jh_error_t err = JH_ERROR_INIT;

	memset(&bench, 0, sizeof(bench));
	bench.settings.vm = "vm-1";
	bench.settings.dc = "dc-1";
	bench.kernel = jh_kernel_new(&bench.settings, &err);
	ck_assert_int_eq(jh_kernel_add(bench.kernel, &jh_owner_module, &err), 0);
	ck_assert_int_eq(jh_kernel_add(bench.kernel, &probe_module, &err), 0);
	bench.fake = fake_new(jh_kernel_loop(bench.kernel));
	bench.types = g_string_new(NULL);
	bench.bytes = g_byte_array_new();
	bench.term = 5;
	vms_tell(JH_VM_LIVE);
	config_tell(false);
	held_tell(100);
	settle();
}

static void tear_down(void)
{
	fake_t *fake = bench.fake;
	struct ev_loop *loop = fake->loop;

	/* The loop is the kernel's: the fake goes first. */
	(void)loop;
	fake_free(fake);
	jh_kernel_free(bench.kernel);
	g_string_free(bench.types, TRUE);
	g_byte_array_free(bench.bytes, TRUE);
}

/* ---- requests ---- */

static Jh__Frame *request_new(uint64_t id, const char *sql, bool write)
{
	Jh__Frame *frame = jh_frame_new(JH__FRAME__BODY_REQUEST);
	Jh__Request *request = frame->request;
	Jh__Op *op = g_new0(Jh__Op, 1);

	jh__op__init(op);
	op->kind = JH__OP__KIND__SIMPLE;
	op->sql = jh_strdup(sql);
	request->id = id;
	request->attempt = 1;
	request->team = jh_strdup("team");
	request->group = jh_strdup("g");
	request->database = jh_strdup("db-a");
	request->write = write;
	request->deadline_ms = LONG_MS;
	request->max_age_ms = -1;
	request->weight = 1;
	request->ops = g_new0(Jh__Op *, 1);
	request->ops[0] = op;
	request->n_ops = 1;
	return frame;
}

static void request_send(Jh__Frame *frame)
{
	g_string_set_size(bench.types, 0);
	g_byte_array_set_size(bench.bytes, 0);
	jh_frame_send(bench.entry, "vm-1", frame);
}

/* Send one and wait for its end. */
static void ask(Jh__Frame *frame)
{
	unsigned before = bench.ends;

	request_send(frame);
	STEP_UNTIL(bench.ends > before);
}

static void ask_sql(uint64_t id, const char *sql, bool write, uint64_t pin)
{
	Jh__Frame *frame = request_new(id, sql, write);

	frame->request->pin = pin;
	ask(frame);
}

static void release_send(uint64_t id, uint64_t pin)
{
	Jh__Frame *frame = jh_frame_new(JH__FRAME__BODY_RELEASE);

	frame->release->id = id;
	frame->release->pin = pin;
	jh_frame_send(bench.entry, "vm-1", frame);
}

static void peer_down_tell(void)
{
	jh_peer_msg_t *msg = g_rc_box_new0(jh_peer_msg_t);

	msg->vm = g_intern_string("vm-1");
	msg->boot = jh_kernel_boot(bench.kernel);
	jh_publish(bench.entry, JH_MSG_PEER_DOWN, msg, NULL);
}

static void ck_end(Jh__AnswerEnd__Outcome outcome, Jh__AnswerEnd__Reason reason)
{
	ck_assert_int_eq(bench.end.outcome, outcome);
	ck_assert_int_eq(bench.end.reason, reason);
}

#define DONE JH__ANSWER_END__OUTCOME__DONE, JH__ANSWER_END__REASON__NONE
#define NOT_RUN(why) JH__ANSWER_END__OUTCOME__NOT_RUN, JH__ANSWER_END__REASON__##why
#define UNKNOWN(why) JH__ANSWER_END__OUTCOME__UNKNOWN, JH__ANSWER_END__REASON__##why

/* ---- acknowledgement ---- */

START_TEST(test_write_waits_for_a_majority)
{
	request_send(request_new(1, "INSERT a", true));
	STEP_UNTIL(bench.fake->index == 101);
	settle();
	ck_assert_uint_eq(bench.ends, 0);
	ck_assert_str_eq(bench.types->str, "");
	held_tell(101);
	STEP_UNTIL(bench.ends == 1);
	ck_end(DONE);
	ck_assert(bench.end.wrote);
	ck_assert_uint_eq(bench.end.term, 5);
	ck_assert_uint_eq(bench.end.index, 101);
	ck_assert_str_eq(bench.types->str, "C");
}
END_TEST

START_TEST(test_higher_term_first_is_unknown)
{
	request_send(request_new(1, "INSERT a", true));
	STEP_UNTIL(bench.fake->index == 101);
	settle();
	bench.term = 6;
	held_tell(101);
	STEP_UNTIL(bench.ends == 1);
	ck_end(UNKNOWN(NOT_PRIMARY));
	ck_assert_str_eq(bench.types->str, "");
}
END_TEST

/* A read on the primary may have seen what no majority holds. */
START_TEST(test_read_on_primary_waits_too)
{
	bench.fake->index = 103;
	request_send(request_new(1, "SELECT x", false));
	STEP_UNTIL(fake_count(bench.fake, "SELECT * FROM group_status()") == 1);
	settle();
	ck_assert_uint_eq(bench.ends, 0);
	ck_assert_ptr_null(strchr(bench.types->str, 'C'));
	held_tell(103);
	STEP_UNTIL(bench.ends == 1);
	ck_end(DONE);
	ck_assert(!bench.end.wrote);
	ck_assert_str_eq(bench.types->str, "TDC");
}
END_TEST

/* ---- refusals ---- */

START_TEST(test_refusals)
{
	Jh__Frame *frame = request_new(1, "INSERT a", true);

	g_free(frame->request->database);
	frame->request->database = jh_strdup("db-b");
	ask(frame);
	ck_end(NOT_RUN(NOT_PRIMARY));
	frame = request_new(2, "SELECT a", false);
	g_free(frame->request->database);
	frame->request->database = jh_strdup("db-b");
	frame->request->need_term = 5;
	frame->request->need_index = 100;
	ask(frame);
	ck_end(NOT_RUN(BEHIND));
	ask_sql(3, "REFUSE", true, 0);
	ck_end(NOT_RUN(NOT_PRIMARY));
	ck_assert_str_eq(bench.types->str, "");
	ask_sql(4, "SELECT a", false, 12345);
	ck_end(NOT_RUN(PIN_LOST));
	config_tell(true);
	ask_sql(5, "SELECT a", false, 0);
	ck_end(NOT_RUN(DRAINING));
	vms_tell(JH_VM_DEPARTING);
	ask_sql(6, "SELECT a", false, 0);
	ck_end(NOT_RUN(NOT_OWNER));
	ck_assert_uint_eq(fake_count(bench.fake, "SELECT a"), 0);
	ck_assert_uint_eq(fake_count(bench.fake, "INSERT a"), 0);
}
END_TEST

START_TEST(test_deadlines)
{
	Jh__Frame *frame = request_new(1, "HANG", false);
	unsigned i;

	frame->request->deadline_ms = 50;
	ask(frame);
	ck_end(UNKNOWN(DEADLINE));
	STEP_UNTIL(bench.fake->cancels == 1);
	/* Both slots and the statement behind them hang; what waits further back is not run. */
	for (i = 0; i < 3; i++)
		request_send(request_new(10 + i, "HANG", false));
	STEP_UNTIL(fake_count(bench.fake, "HANG") == 4);
	frame = request_new(20, "SELECT late", false);
	frame->request->deadline_ms = 50;
	ask(frame);
	ck_end(NOT_RUN(DEADLINE));
	ck_assert_uint_eq(fake_count(bench.fake, "SELECT late"), 0);
}
END_TEST

START_TEST(test_connection_dies)
{
	ask_sql(1, "DIE", true, 0);
	ck_end(UNKNOWN(UNREACHABLE));
	ask_sql(2, "SELECT a", false, 0);
	ck_end(DONE);
}
END_TEST

/* The replaced primary is paused: callers don't wait for it (issue 4, point 2). */
START_TEST(test_replaced_primary_hangs)
{
	jh_database_view_t a = { .name = "db-a" };
	jh_group_view_t view = { .group = "g", .term = 6, .primary = "db-b" };
	unsigned i;

	/* Two slots, and one statement sent ahead; a fourth waits. */
	for (i = 0; i < 3; i++)
		request_send(request_new(1 + i, "HANG", true));
	STEP_UNTIL(fake_count(bench.fake, "HANG") == 3);
	request_send(request_new(4, "INSERT a", true));
	settle();
	ck_assert_uint_eq(bench.ends, 0);
	view.databases = g_ptr_array_new();
	g_ptr_array_add(view.databases, &a);
	jh_group_view_publish(bench.entry, jh_group_view_copy(&view));
	STEP_UNTIL(bench.ends == 4);
	ck_assert_uint_eq(fake_count(bench.fake, "INSERT a"), 0);
	ask_sql(5, "SELECT a", false, 0);
	ck_end(NOT_RUN(UNREACHABLE));
	ck_assert_uint_eq(fake_count(bench.fake, "SELECT a"), 0);
	/* It wakes up, and gets work again. */
	a.reachable = true;
	a.position = (jh_position_t){ .term = 6, .index = 101 };
	jh_group_view_publish(bench.entry, jh_group_view_copy(&view));
	g_ptr_array_free(view.databases, TRUE);
	settle();
	request_send(request_new(6, "SELECT a", false));
	STEP_UNTIL(fake_count(bench.fake, "SELECT a") == 1);
}
END_TEST

/* ---- transactions ---- */

START_TEST(test_transactions_keep_their_connections)
{
	uint64_t first;
	uint64_t second;

	held_tell(G_MAXUINT32);
	ask_sql(1, "BEGIN", true, 0);
	first = bench.end.pin;
	ck_assert_uint_ne(first, 0);
	ck_assert_uint_eq(bench.end.transaction, 'T');
	ask_sql(2, "BEGIN", true, 0);
	second = bench.end.pin;
	ck_assert_uint_ne(second, first);
	ask_sql(3, "INSERT one", true, first);
	ask_sql(4, "INSERT two", true, second);
	ask_sql(5, "INSERT free", true, 0);
	ck_assert_uint_ne(fake_where(bench.fake, "INSERT one"),
			  fake_where(bench.fake, "INSERT two"));
	ck_assert_uint_ne(fake_where(bench.fake, "INSERT free"),
			  fake_where(bench.fake, "INSERT one"));
	ck_assert_uint_ne(fake_where(bench.fake, "INSERT free"),
			  fake_where(bench.fake, "INSERT two"));
	ask_sql(6, "COMMIT", true, first);
	ck_assert_uint_eq(bench.end.pin, 0);
	ck_assert_uint_eq(bench.end.transaction, 'I');
	ck_assert(bench.end.wrote);
	ask_sql(7, "INSERT late", true, first);
	ck_end(NOT_RUN(PIN_LOST));
	ask_sql(8, "FAIL", true, second);
	ck_assert_uint_eq(bench.end.transaction, 'E');
	ck_assert(bench.end.failed);
	ck_assert_uint_eq(bench.end.pin, second);
}
END_TEST

/* The transaction is undone, its connection clean, its pin unknown. */
static void ck_rolled_back(uint64_t pin)
{
	uint64_t index = bench.fake->index;

	STEP_UNTIL(fake_count(bench.fake, "ROLLBACK") == 1 &&
		   fake_count(bench.fake, "DISCARD ALL") == 1);
	ck_assert_uint_eq(bench.fake->index, index);
	ask_sql(99, "COMMIT", true, pin);
	ck_end(NOT_RUN(PIN_LOST));
	ck_assert_uint_eq(fake_count(bench.fake, "COMMIT"), 0);
}

START_TEST(test_released_transaction_is_rolled_back)
{
	uint64_t pin;

	ask_sql(1, "BEGIN", true, 0);
	pin = bench.end.pin;
	ask_sql(2, "INSERT a", true, pin);
	release_send(0, pin);
	ck_rolled_back(pin);
}
END_TEST

START_TEST(test_transaction_of_a_dead_entry_is_rolled_back)
{
	uint64_t pin;

	ask_sql(1, "BEGIN", true, 0);
	pin = bench.end.pin;
	ask_sql(2, "INSERT a", true, pin);
	peer_down_tell();
	ck_rolled_back(pin);
}
END_TEST

/* Open transactions leave connections for other work: 8 connections, 3 of them kept. */
START_TEST(test_too_many_transactions)
{
	unsigned i;

	held_tell(G_MAXUINT32);
	for (i = 1; i <= 5; i++) {
		ask_sql(i, "BEGIN", true, 0);
		ck_end(DONE);
		ck_assert_uint_ne(bench.end.pin, 0);
	}
	ask_sql(6, "BEGIN", true, 0);
	ck_end(NOT_RUN(OVERLOADED));
	ck_assert_uint_eq(bench.end.pin, 0);
	ck_assert_uint_gt(bench.end.retry_after_ms, 0);
	ck_assert_str_eq(bench.types->str, "");
	STEP_UNTIL(fake_count(bench.fake, "ROLLBACK") == 1);
	ask_sql(7, "INSERT free", true, 0);
	ck_end(DONE);
}
END_TEST

/* A pin is good only for the entry that opened the transaction, and only in that life of it. */
START_TEST(test_pin_of_another_entry)
{
	Jh__Frame *frame;
	uint64_t pin;

	ask_sql(1, "BEGIN", true, 0);
	pin = bench.end.pin;
	frame = request_new(2, "INSERT stolen", true);
	frame->request->pin = pin;
	jh_frame_deliver(bench.entry, "vm-2", jh_kernel_boot(bench.kernel), frame);
	frame = request_new(3, "INSERT stolen", true);
	frame->request->pin = pin;
	jh_frame_deliver(bench.entry, "vm-1", jh_kernel_boot(bench.kernel) + 1, frame);
	settle();
	ck_assert_uint_eq(fake_count(bench.fake, "INSERT stolen"), 0);
	ask_sql(4, "SELECT mine", true, pin);
	ck_end(DONE);
}
END_TEST

/* The entry dies while a statement of its transaction runs. */
START_TEST(test_entry_dies_in_a_statement)
{
	Jh__Frame *frame;
	uint64_t pin;
	unsigned conns;

	ask_sql(1, "BEGIN", true, 0);
	pin = bench.end.pin;
	conns = bench.fake->conns->len;
	frame = request_new(2, "HANG", true);
	frame->request->pin = pin;
	request_send(frame);
	bench.ends = 0;
	STEP_UNTIL(fake_count(bench.fake, "HANG") == 1);
	peer_down_tell();
	STEP_UNTIL(bench.fake->cancels == 1);
	settle();
	ck_assert_uint_eq(bench.ends, 0);
	ck_assert_uint_le(bench.fake->conns->len, conns + 1);
	ask_sql(3, "SELECT a", false, pin);
	ck_end(NOT_RUN(PIN_LOST));
	ask_sql(4, "SELECT a", false, 0);
	ck_end(DONE);
}
END_TEST

/* Release of a running request cancels it; the database's own answer is given. */
START_TEST(test_cancel)
{
	request_send(request_new(1, "HANG", false));
	STEP_UNTIL(fake_count(bench.fake, "HANG") == 1);
	release_send(1, 0);
	STEP_UNTIL(bench.ends == 1);
	ck_end(DONE);
	ck_assert(bench.end.failed);
	ck_assert_str_eq(bench.types->str, "E");
}
END_TEST

/* ---- extended protocol ---- */

static Jh__Op *op_new(Jh__Op__Kind kind, const char *sql)
{
	Jh__Op *op = g_new0(Jh__Op, 1);

	jh__op__init(op);
	op->kind = kind;
	op->statement = jh_strdup("");
	op->sql = jh_strdup(sql);
	return op;
}

START_TEST(test_batch)
{
	Jh__Frame *frame = request_new(1, "", false);
	Jh__Request *request = frame->request;

	jh__op__free_unpacked(request->ops[0], NULL);
	g_free(request->ops);
	request->n_ops = 6;
	request->ops = g_new0(Jh__Op *, 6);
	request->ops[0] = op_new(JH__OP__KIND__PARSE, "SELECT p");
	request->ops[1] = op_new(JH__OP__KIND__DESCRIBE_STATEMENT, "SELECT p");
	request->ops[2] = op_new(JH__OP__KIND__EXECUTE, "SELECT p");
	request->ops[2]->describe_portal = true;
	request->ops[3] = op_new(JH__OP__KIND__CLOSE, "");
	request->ops[4] = op_new(JH__OP__KIND__EXECUTE, "SELECT q");
	request->ops[5] = op_new(JH__OP__KIND__SYNC, "");
	ask(frame);
	ck_end(DONE);
	ck_assert_str_eq(bench.types->str, "1tT2TDC32DC");
	ck_assert_uint_eq(bench.end.rows, 2);
	/* After an error nothing more is answered up to the Sync. */
	frame = request_new(2, "", false);
	request = frame->request;
	request->ops[0]->kind = JH__OP__KIND__EXECUTE;
	g_free(request->ops[0]->sql);
	request->ops[0]->sql = jh_strdup("FAIL");
	request->ops = g_renew(Jh__Op *, request->ops, 3);
	request->ops[1] = op_new(JH__OP__KIND__EXECUTE, "SELECT never");
	request->ops[2] = op_new(JH__OP__KIND__SYNC, "");
	request->n_ops = 3;
	ask(frame);
	ck_end(DONE);
	ck_assert(bench.end.failed);
	ck_assert_str_eq(bench.types->str, "E");
	ck_assert_uint_eq(fake_count(bench.fake, "SELECT never"), 0);
}
END_TEST

/* ---- large answers ---- */

static void ack_send(uint64_t id, uint64_t bytes)
{
	Jh__Frame *frame = jh_frame_new(JH__FRAME__BODY_ANSWER_ACK);

	frame->answer_ack->id = id;
	frame->answer_ack->attempt = 1;
	frame->answer_ack->bytes = bytes;
	jh_frame_send(bench.entry, "vm-1", frame);
}

/* Without acknowledgements the owner stops at its window; each one lets it go on. */
START_TEST(test_slow_caller_slows_the_database)
{
	const guint window = 2 * 1024 * 1024;
	guint length = 0;

	request_send(request_new(1, "SELECT large", false));
	STEP_UNTIL(bench.bytes->len >= window);
	settle();
	ck_assert_uint_lt(bench.bytes->len, window + 64 * 1024);
	ck_assert_uint_eq(bench.ends, 0);
	while (bench.ends == 0) {
		length = bench.bytes->len;
		ack_send(1, length);
		STEP_UNTIL(bench.ends == 1 || bench.bytes->len > length);
		settle();
		ck_assert_uint_lt(bench.bytes->len - length, window + 64 * 1024);
	}
	ck_end(DONE);
	ck_assert_uint_eq(bench.end.rows, 512);
	/* Given up while paused: the connection is not lost with it. */
	request_send(request_new(2, "SELECT large", false));
	STEP_UNTIL(bench.bytes->len >= window);
	peer_down_tell();
	settle();
	ask_sql(3, "SELECT a", false, 0);
	ck_end(DONE);
}
END_TEST

/* ---- at most once ---- */

static void ask_once(uint64_t id, const char *key, const char *sql)
{
	Jh__Frame *frame = request_new(id, sql, true);

	frame->request->request_id = jh_strdup(key);
	held_tell(G_MAXUINT32);
	ask(frame);
}

START_TEST(test_at_most_once)
{
	GByteArray *first;

	ask_once(1, "k1", "INSERT a");
	ck_end(DONE);
	ck_assert(bench.end.wrote);
	ck_assert_str_eq(bench.types->str, "C");
	first = g_byte_array_new();
	g_byte_array_append(first, bench.bytes->data, bench.bytes->len);
	ask_once(2, "k1", "INSERT a");
	ck_end(DONE);
	ck_assert(bench.end.wrote);
	ck_assert_uint_eq(bench.bytes->len, first->len);
	ck_assert_mem_eq(bench.bytes->data, first->data, first->len);
	ck_assert_uint_eq(fake_count(bench.fake, "INSERT a"), 1);
	g_byte_array_free(first, TRUE);
	/* A failed request keeps no id: it did nothing and may be asked again. */
	ask_once(3, "k2", "FAIL");
	ck_end(DONE);
	ck_assert(bench.end.failed);
	ask_once(4, "k2", "INSERT b");
	ck_end(DONE);
	ck_assert_uint_eq(fake_count(bench.fake, "INSERT b"), 1);
	/* The answer was not kept. */
	g_hash_table_replace(bench.fake->keys, g_strdup("team/k3"), g_strdup(""));
	ask_once(5, "k3", "INSERT c");
	ck_end(NOT_RUN(DUPLICATE));
	ck_assert_uint_eq(fake_count(bench.fake, "INSERT c"), 0);
}
END_TEST

/* The connection dies before COMMIT: unknown, and a second run under the id is the only one. */
START_TEST(test_at_most_once_after_a_loss)
{
	ask_once(1, "k1", "DIE");
	ck_end(UNKNOWN(UNREACHABLE));
	ask_once(2, "k1", "INSERT a");
	ck_end(DONE);
	ask_once(3, "k1", "INSERT a");
	ck_end(DONE);
	ck_assert_uint_eq(fake_count(bench.fake, "INSERT a"), 1);
}
END_TEST

START_TEST(test_request_id_in_a_transaction)
{
	Jh__Frame *frame;
	uint64_t pin;

	ask_sql(1, "BEGIN", true, 0);
	pin = bench.end.pin;
	frame = request_new(2, "INSERT a", true);
	frame->request->pin = pin;
	frame->request->request_id = jh_strdup("k");
	ask(frame);
	ck_end(DONE);
	ck_assert(bench.end.failed);
	ck_assert_uint_eq(bench.end.pin, pin);
	ck_assert_uint_eq(fake_count(bench.fake, "INSERT a"), 0);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("owner");
	TCase *tcase = tcase_create("owner");
	SRunner *runner;
	int failed;

	signal(SIGPIPE, SIG_IGN);
	if (sodium_init() < 0)
		return EXIT_FAILURE;
	jh_log_init("test", "error");
	tcase_add_checked_fixture(tcase, set_up, tear_down);
	tcase_set_timeout(tcase, 60);
	tcase_add_test(tcase, test_write_waits_for_a_majority);
	tcase_add_test(tcase, test_higher_term_first_is_unknown);
	tcase_add_test(tcase, test_read_on_primary_waits_too);
	tcase_add_test(tcase, test_refusals);
	tcase_add_test(tcase, test_deadlines);
	tcase_add_test(tcase, test_connection_dies);
	tcase_add_test(tcase, test_replaced_primary_hangs);
	tcase_add_test(tcase, test_transactions_keep_their_connections);
	tcase_add_test(tcase, test_released_transaction_is_rolled_back);
	tcase_add_test(tcase, test_transaction_of_a_dead_entry_is_rolled_back);
	tcase_add_test(tcase, test_too_many_transactions);
	tcase_add_test(tcase, test_pin_of_another_entry);
	tcase_add_test(tcase, test_entry_dies_in_a_statement);
	tcase_add_test(tcase, test_cancel);
	tcase_add_test(tcase, test_batch);
	tcase_add_test(tcase, test_slow_caller_slows_the_database);
	tcase_add_test(tcase, test_at_most_once);
	tcase_add_test(tcase, test_at_most_once_after_a_loss);
	tcase_add_test(tcase, test_request_id_in_a_transaction);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
