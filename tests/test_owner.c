/*
 * Guards against a response that is released before a majority has its position, a request that
 * runs twice or after its deadline, and a transaction that outlives its entry or is used by
 * another one.
 */

#include "owner_fake.h"

/* ---- Withheld responses ---- */

START_TEST(test_write_waits_for_a_majority)
{
	send_request(new_request(1, "INSERT a", true));
	RUN_UNTIL(fixture.fake->index == 101);
	run_loop_briefly();
	ck_assert_uint_eq(fixture.ends_received, 0);
	ck_assert_str_eq(fixture.message_types->str, "");
	publish_received_index(101);
	RUN_UNTIL(fixture.ends_received == 1);
	ck_answer_end(DONE);
	ck_assert(fixture.end.wrote);
	ck_assert_uint_eq(fixture.end.term, 5);
	ck_assert_uint_eq(fixture.end.index, 101);
	ck_assert_str_eq(fixture.message_types->str, "C");
}
END_TEST

START_TEST(test_higher_term_before_majority_is_unknown)
{
	send_request(new_request(1, "INSERT a", true));
	RUN_UNTIL(fixture.fake->index == 101);
	run_loop_briefly();
	fixture.term = 6;
	publish_received_index(101);
	RUN_UNTIL(fixture.ends_received == 1);
	ck_answer_end(UNKNOWN(NOT_PRIMARY));
	ck_assert_str_eq(fixture.message_types->str, "");
}
END_TEST

/* A read on the primary may have seen commits that are not replicated to a majority. */
START_TEST(test_read_on_primary_waits_for_a_majority)
{
	fixture.fake->index = 103;
	send_request(new_request(1, "SELECT x", false));
	RUN_UNTIL(fake_count_runs(fixture.fake, "SELECT * FROM group_status()") == 1);
	run_loop_briefly();
	ck_assert_uint_eq(fixture.ends_received, 0);
	ck_assert_ptr_null(strchr(fixture.message_types->str, 'C'));
	publish_received_index(103);
	RUN_UNTIL(fixture.ends_received == 1);
	ck_answer_end(DONE);
	ck_assert(!fixture.end.wrote);
	ck_assert_str_eq(fixture.message_types->str, "TDC");
}
END_TEST

/* ---- Refused and failed requests ---- */

START_TEST(test_requests_refused_before_they_run)
{
	Jh__Frame *frame = new_request(1, "INSERT a", true);

	g_free(frame->request->database);
	frame->request->database = jh_frame_strdup("db-b");
	run_request(frame);
	ck_answer_end(NOT_RUN(NOT_PRIMARY));
	frame = new_request(2, "SELECT a", false);
	g_free(frame->request->database);
	frame->request->database = jh_frame_strdup("db-b");
	frame->request->need_term = 5;
	frame->request->need_index = 100;
	run_request(frame);
	ck_answer_end(NOT_RUN(BEHIND));
	run_sql(3, "REFUSE", true, 0);
	ck_answer_end(NOT_RUN(NOT_PRIMARY));
	ck_assert_str_eq(fixture.message_types->str, "");
	run_sql(4, "SELECT a", false, 12345);
	ck_answer_end(NOT_RUN(PIN_LOST));
	publish_config(true);
	run_sql(5, "SELECT a", false, 0);
	ck_answer_end(NOT_RUN(DRAINING));
	publish_vms(JH_VM_DEPARTING);
	run_sql(6, "SELECT a", false, 0);
	ck_answer_end(NOT_RUN(NOT_OWNER));
	ck_assert_uint_eq(fake_count_runs(fixture.fake, "SELECT a"), 0);
	ck_assert_uint_eq(fake_count_runs(fixture.fake, "INSERT a"), 0);
}
END_TEST

START_TEST(test_deadline_while_running_and_while_queued)
{
	Jh__Frame *frame = new_request(1, "HANG", false);
	unsigned i;

	frame->request->deadline_ms = 50;
	run_request(frame);
	ck_answer_end(UNKNOWN(DEADLINE));
	RUN_UNTIL(fixture.fake->cancel_count == 1);
	/* The statements in both slots and the one sent ahead hang, so the next one waits in the
	 * queue and must not run. */
	for (i = 0; i < 3; i++)
		send_request(new_request(10 + i, "HANG", false));
	RUN_UNTIL(fake_count_runs(fixture.fake, "HANG") == 4);
	frame = new_request(20, "SELECT late", false);
	frame->request->deadline_ms = 50;
	run_request(frame);
	ck_answer_end(NOT_RUN(DEADLINE));
	ck_assert_uint_eq(fake_count_runs(fixture.fake, "SELECT late"), 0);
}
END_TEST

START_TEST(test_connection_lost_while_running)
{
	run_sql(1, "DIE", true, 0);
	ck_answer_end(UNKNOWN(UNREACHABLE));
	run_sql(2, "SELECT a", false, 0);
	ck_answer_end(DONE);
}
END_TEST

/* A replaced primary that is paused does not respond. Its callers must not wait until their
 * deadlines (issue 4, point 2). */
START_TEST(test_replaced_primary_does_not_respond)
{
	jh_database_view_t db_a = { .name = "db-a" };
	jh_group_view_t view = { .group = "g", .term = 6, .primary = "db-b" };
	unsigned i;

	/* Two statements use the slots and one is sent ahead; the fourth waits in the queue. */
	for (i = 0; i < 3; i++)
		send_request(new_request(1 + i, "HANG", true));
	RUN_UNTIL(fake_count_runs(fixture.fake, "HANG") == 3);
	send_request(new_request(4, "INSERT a", true));
	run_loop_briefly();
	ck_assert_uint_eq(fixture.ends_received, 0);
	view.databases = g_ptr_array_new();
	g_ptr_array_add(view.databases, &db_a);
	jh_group_view_publish(fixture.entry_task, jh_group_view_copy(&view));
	RUN_UNTIL(fixture.ends_received == 4);
	ck_assert_uint_eq(fake_count_runs(fixture.fake, "INSERT a"), 0);
	run_sql(5, "SELECT a", false, 0);
	ck_answer_end(NOT_RUN(UNREACHABLE));
	ck_assert_uint_eq(fake_count_runs(fixture.fake, "SELECT a"), 0);
	/* Once the database is reachable again, requests run on it. */
	db_a.reachable = true;
	db_a.position = (jh_position_t){ .term = 6, .index = 101 };
	jh_group_view_publish(fixture.entry_task, jh_group_view_copy(&view));
	g_ptr_array_free(view.databases, TRUE);
	run_loop_briefly();
	send_request(new_request(6, "SELECT a", false));
	RUN_UNTIL(fake_count_runs(fixture.fake, "SELECT a") == 1);
}
END_TEST

/* ---- Transactions ---- */

START_TEST(test_transactions_keep_their_connections)
{
	uint64_t first_pin;
	uint64_t second_pin;

	publish_received_index(G_MAXUINT32);
	run_sql(1, "BEGIN", true, 0);
	first_pin = fixture.end.pin;
	ck_assert_uint_ne(first_pin, 0);
	ck_assert_uint_eq(fixture.end.transaction, 'T');
	run_sql(2, "BEGIN", true, 0);
	second_pin = fixture.end.pin;
	ck_assert_uint_ne(second_pin, first_pin);
	run_sql(3, "INSERT one", true, first_pin);
	run_sql(4, "INSERT two", true, second_pin);
	run_sql(5, "INSERT free", true, 0);
	ck_assert_uint_ne(fake_get_last_conn_number(fixture.fake, "INSERT one"),
			  fake_get_last_conn_number(fixture.fake, "INSERT two"));
	ck_assert_uint_ne(fake_get_last_conn_number(fixture.fake, "INSERT free"),
			  fake_get_last_conn_number(fixture.fake, "INSERT one"));
	ck_assert_uint_ne(fake_get_last_conn_number(fixture.fake, "INSERT free"),
			  fake_get_last_conn_number(fixture.fake, "INSERT two"));
	run_sql(6, "COMMIT", true, first_pin);
	ck_assert_uint_eq(fixture.end.pin, 0);
	ck_assert_uint_eq(fixture.end.transaction, 'I');
	ck_assert(fixture.end.wrote);
	run_sql(7, "INSERT late", true, first_pin);
	ck_answer_end(NOT_RUN(PIN_LOST));
	run_sql(8, "FAIL", true, second_pin);
	ck_assert_uint_eq(fixture.end.transaction, 'E');
	ck_assert(fixture.end.failed);
	ck_assert_uint_eq(fixture.end.pin, second_pin);
}
END_TEST

/* Checks that the transaction was rolled back, its session reset and its pin removed. */
static void ck_rolled_back(uint64_t pin)
{
	uint64_t index = fixture.fake->index;

	RUN_UNTIL(fake_count_runs(fixture.fake, "ROLLBACK") == 1 &&
		  fake_count_runs(fixture.fake, "DISCARD ALL") == 1);
	ck_assert_uint_eq(fixture.fake->index, index);
	run_sql(99, "COMMIT", true, pin);
	ck_answer_end(NOT_RUN(PIN_LOST));
	ck_assert_uint_eq(fake_count_runs(fixture.fake, "COMMIT"), 0);
}

START_TEST(test_released_transaction_is_rolled_back)
{
	uint64_t pin;

	run_sql(1, "BEGIN", true, 0);
	pin = fixture.end.pin;
	run_sql(2, "INSERT a", true, pin);
	send_release(0, pin);
	ck_rolled_back(pin);
}
END_TEST

START_TEST(test_transaction_of_a_dead_entry_is_rolled_back)
{
	uint64_t pin;

	run_sql(1, "BEGIN", true, 0);
	pin = fixture.end.pin;
	run_sql(2, "INSERT a", true, pin);
	publish_peer_down();
	ck_rolled_back(pin);
}
END_TEST

/*
 * Open transactions must leave connections for other requests. The owner uses two thirds of the 12
 * connections, which are 8, and 3 of these are reserved.
 */
START_TEST(test_begin_refused_at_transaction_limit)
{
	unsigned i;

	publish_received_index(G_MAXUINT32);
	for (i = 1; i <= 5; i++) {
		run_sql(i, "BEGIN", true, 0);
		ck_answer_end(DONE);
		ck_assert_uint_ne(fixture.end.pin, 0);
	}
	run_sql(6, "BEGIN", true, 0);
	ck_answer_end(NOT_RUN(OVERLOADED));
	ck_assert_uint_eq(fixture.end.pin, 0);
	ck_assert_uint_gt(fixture.end.retry_after_ms, 0);
	ck_assert_str_eq(fixture.message_types->str, "");
	RUN_UNTIL(fake_count_runs(fixture.fake, "ROLLBACK") == 1);
	run_sql(7, "INSERT free", true, 0);
	ck_answer_end(DONE);
}
END_TEST

/* Only the entry that opened a transaction may use its pin, and only the same instance of it. */
START_TEST(test_pin_of_another_entry_is_rejected)
{
	Jh__Frame *frame;
	uint64_t pin;

	run_sql(1, "BEGIN", true, 0);
	pin = fixture.end.pin;
	frame = new_request(2, "INSERT stolen", true);
	frame->request->pin = pin;
	jh_frame_deliver(fixture.entry_task, "vm-2", jh_kernel_boot(fixture.kernel), frame);
	frame = new_request(3, "INSERT stolen", true);
	frame->request->pin = pin;
	jh_frame_deliver(fixture.entry_task, "vm-1", jh_kernel_boot(fixture.kernel) + 1, frame);
	run_loop_briefly();
	ck_assert_uint_eq(fake_count_runs(fixture.fake, "INSERT stolen"), 0);
	run_sql(4, "SELECT mine", true, pin);
	ck_answer_end(DONE);
}
END_TEST

/* An owner may have been restarted since it gave out a pin. An instance that counted from 1 would
 * have given these pins to its first transactions. */
START_TEST(test_pin_of_an_earlier_owner_is_rejected)
{
	uint64_t generation;

	run_sql(1, "BEGIN", true, 0);
	for (generation = 1; generation < 10; generation++) {
		run_sql(1 + generation, "INSERT stolen", true, generation << 32);
		ck_answer_end(NOT_RUN(PIN_LOST));
	}
}
END_TEST

/* The entry dies while a statement of its transaction runs: the statement must be cancelled, and
 * its connection must not stay pinned. */
START_TEST(test_entry_dies_while_its_statement_runs)
{
	Jh__Frame *frame;
	uint64_t pin;
	unsigned conns;

	run_sql(1, "BEGIN", true, 0);
	pin = fixture.end.pin;
	conns = fixture.fake->conns->len;
	frame = new_request(2, "HANG", true);
	frame->request->pin = pin;
	send_request(frame);
	fixture.ends_received = 0;
	RUN_UNTIL(fake_count_runs(fixture.fake, "HANG") == 1);
	publish_peer_down();
	RUN_UNTIL(fixture.fake->cancel_count == 1);
	run_loop_briefly();
	ck_assert_uint_eq(fixture.ends_received, 0);
	ck_assert_uint_le(fixture.fake->conns->len, conns + 1);
	run_sql(3, "SELECT a", false, pin);
	ck_answer_end(NOT_RUN(PIN_LOST));
	run_sql(4, "SELECT a", false, 0);
	ck_answer_end(DONE);
}
END_TEST

/* A Release frame for a running request cancels it; the response is the database's error. */
START_TEST(test_release_cancels_running_statement)
{
	send_request(new_request(1, "HANG", false));
	RUN_UNTIL(fake_count_runs(fixture.fake, "HANG") == 1);
	send_release(1, 0);
	RUN_UNTIL(fixture.ends_received == 1);
	ck_answer_end(DONE);
	ck_assert(fixture.end.failed);
	ck_assert_str_eq(fixture.message_types->str, "E");
}
END_TEST

/* ---- Extended protocol ---- */

static Jh__Op *new_op(Jh__Op__Kind kind, const char *sql)
{
	Jh__Op *op = g_new0(Jh__Op, 1);

	jh__op__init(op);
	op->kind = kind;
	op->statement = jh_frame_strdup("");
	op->sql = jh_frame_strdup(sql);
	return op;
}

START_TEST(test_extended_protocol_batch)
{
	Jh__Frame *frame = new_request(1, "", false);
	Jh__Request *request = frame->request;

	jh__op__free_unpacked(request->ops[0], NULL);
	g_free(request->ops);
	request->n_ops = 6;
	request->ops = g_new0(Jh__Op *, 6);
	request->ops[0] = new_op(JH__OP__KIND__PARSE, "SELECT p");
	request->ops[1] = new_op(JH__OP__KIND__DESCRIBE_STATEMENT, "SELECT p");
	request->ops[2] = new_op(JH__OP__KIND__EXECUTE, "SELECT p");
	request->ops[2]->describe_portal = true;
	request->ops[3] = new_op(JH__OP__KIND__CLOSE, "");
	request->ops[4] = new_op(JH__OP__KIND__EXECUTE, "SELECT q");
	request->ops[5] = new_op(JH__OP__KIND__SYNC, "");
	run_request(frame);
	ck_answer_end(DONE);
	ck_assert_str_eq(fixture.message_types->str, "1tT2TDC32DC");
	ck_assert_uint_eq(fixture.end.rows, 2);
	/* After an error, no response is sent for the steps up to the Sync. */
	frame = new_request(2, "", false);
	request = frame->request;
	request->ops[0]->kind = JH__OP__KIND__EXECUTE;
	g_free(request->ops[0]->sql);
	request->ops[0]->sql = jh_frame_strdup("FAIL");
	request->ops = g_renew(Jh__Op *, request->ops, 3);
	request->ops[1] = new_op(JH__OP__KIND__EXECUTE, "SELECT never");
	request->ops[2] = new_op(JH__OP__KIND__SYNC, "");
	request->n_ops = 3;
	run_request(frame);
	ck_answer_end(DONE);
	ck_assert(fixture.end.failed);
	ck_assert_str_eq(fixture.message_types->str, "E");
	ck_assert_uint_eq(fake_count_runs(fixture.fake, "SELECT never"), 0);
}
END_TEST

/* ---- Large responses ---- */

static void send_ack(uint64_t id, uint64_t bytes)
{
	Jh__Frame *frame = jh_frame_new(JH__FRAME__BODY_ANSWER_ACK);

	frame->answer_ack->id = id;
	frame->answer_ack->attempt = 1;
	frame->answer_ack->bytes = bytes;
	jh_frame_send(fixture.entry_task, "vm-1", frame);
}

/* Without acknowledgements the owner stops reading at its window; each one lets it continue. */
START_TEST(test_slow_caller_slows_the_database)
{
	const guint window = 2 * 1024 * 1024;
	guint length = 0;

	send_request(new_request(1, "SELECT large", false));
	RUN_UNTIL(fixture.message_bytes->len >= window);
	run_loop_briefly();
	ck_assert_uint_lt(fixture.message_bytes->len, window + 64 * 1024);
	ck_assert_uint_eq(fixture.ends_received, 0);
	while (fixture.ends_received == 0) {
		length = fixture.message_bytes->len;
		send_ack(1, length);
		RUN_UNTIL(fixture.ends_received == 1 || fixture.message_bytes->len > length);
		run_loop_briefly();
		ck_assert_uint_lt(fixture.message_bytes->len - length, window + 64 * 1024);
	}
	ck_answer_end(DONE);
	ck_assert_uint_eq(fixture.end.rows, 512);
	/* The entry dies while the connection is paused: later requests must still run. */
	send_request(new_request(2, "SELECT large", false));
	RUN_UNTIL(fixture.message_bytes->len >= window);
	publish_peer_down();
	run_loop_briefly();
	run_sql(3, "SELECT a", false, 0);
	ck_answer_end(DONE);
}
END_TEST

/* ---- Answers that come twice ---- */

/* The connection of a repeated answer must not run the next statement. */
static void ck_next_read_is_separate(void)
{
	run_sql(2, "SELECT 22", false, 0);
	ck_answer_end(DONE);
	ck_assert_str_eq(fixture.message_types->str, "TDC");
	ck_assert_mem_eq(fixture.message_bytes->data + fixture.message_bytes->len - 16, "22", 2);
	ck_assert_uint_ne(fake_get_last_conn_number(fixture.fake, "SELECT 11"),
			  fake_get_last_conn_number(fixture.fake, "SELECT 22"));
}

/* libpq drops the second answer and reports it as notices, which the caller must not get. Which of
 * the two answers is that of the statement is not known. */
START_TEST(test_answer_repeated_at_once)
{
	fixture.fake->is_replica = true;
	repeat_answer("SELECT 11", FAKE_REPEAT_AT_ONCE);
	run_sql(1, "SELECT 11", false, 0);
	ck_answer_end(UNKNOWN(UNREACHABLE));
	ck_assert_ptr_null(strchr(fixture.message_types->str, 'N'));
	ck_next_read_is_separate();
}
END_TEST

START_TEST(test_answer_repeated_while_idle)
{
	fixture.fake->is_replica = true;
	repeat_answer("SELECT 11", FAKE_REPEAT_LATER);
	run_sql(1, "SELECT 11", false, 0);
	ck_answer_end(DONE);
	fake_send_kept(fixture.fake);
	run_loop_briefly();
	ck_next_read_is_separate();
}
END_TEST

/* The second answer is there, but not read, when the next statement is sent. */
START_TEST(test_answer_repeated_before_the_next_statement)
{
	fixture.fake->is_replica = true;
	repeat_answer("SELECT 11", FAKE_REPEAT_LATER);
	run_sql(1, "SELECT 11", false, 0);
	ck_answer_end(DONE);
	fake_send_kept(fixture.fake);
	ck_next_read_is_separate();
}
END_TEST

/* A transaction ends with its connection, so a repeated answer rolls it back. */
START_TEST(test_answer_repeated_in_a_transaction)
{
	uint64_t pin;

	run_sql(1, "BEGIN", true, 0);
	pin = fixture.end.pin;
	repeat_answer("INSERT a", FAKE_REPEAT_LATER);
	run_sql(2, "INSERT a", true, pin);
	fake_send_kept(fixture.fake);
	run_loop_briefly();
	run_sql(3, "COMMIT", true, pin);
	ck_answer_end(NOT_RUN(PIN_LOST));
	ck_assert_uint_eq(fake_count_runs(fixture.fake, "COMMIT"), 0);
}
END_TEST

START_TEST(test_late_answer_to_a_refused_write)
{
	publish_received_index(G_MAXUINT32);
	ck_late_answer_is_unknown("REFUSE", "INSERT b", true);
}
END_TEST

START_TEST(test_late_answer_to_a_write)
{
	publish_received_index(G_MAXUINT32);
	ck_late_answer_is_unknown("INSERT a", "INSERT b", true);
}
END_TEST

START_TEST(test_late_answer_in_a_transaction)
{
	ck_late_answer_is_unknown("BEGIN", "SELECT 22", true);
}
END_TEST

/* The answer to the COMMIT of one transaction must not acknowledge that of the next one. */
START_TEST(test_late_answer_to_a_commit)
{
	publish_received_index(G_MAXUINT32);
	repeat_answer("COMMIT", FAKE_REPEAT_LATER);
	fixture.fake->sql_of_repeat = "COMMIT";
	run_sql(1, "BEGIN", true, 0);
	run_sql(2, "COMMIT", true, fixture.end.pin);
	ck_answer_end(DONE);
	run_sql(3, "BEGIN", true, 0);
	run_sql(4, "INSERT a", true, fixture.end.pin);
	run_sql(5, "COMMIT", true, fixture.end.pin);
	ck_answer_end(UNKNOWN(UNREACHABLE));
}
END_TEST

/* ---- Request ids ---- */

static void run_with_request_id(uint64_t id, const char *key, const char *sql)
{
	Jh__Frame *frame = new_request(id, sql, true);

	frame->request->request_id = jh_frame_strdup(key);
	publish_received_index(G_MAXUINT32);
	run_request(frame);
}

START_TEST(test_request_id_runs_at_most_once)
{
	GByteArray *first;

	run_with_request_id(1, "k1", "INSERT a");
	ck_answer_end(DONE);
	ck_assert(fixture.end.wrote);
	ck_assert_str_eq(fixture.message_types->str, "C");
	first = g_byte_array_new();
	g_byte_array_append(first, fixture.message_bytes->data, fixture.message_bytes->len);
	run_with_request_id(2, "k1", "INSERT a");
	ck_answer_end(DONE);
	ck_assert(fixture.end.wrote);
	ck_assert_uint_eq(fixture.message_bytes->len, first->len);
	ck_assert_mem_eq(fixture.message_bytes->data, first->data, first->len);
	ck_assert_uint_eq(fake_count_runs(fixture.fake, "INSERT a"), 1);
	g_byte_array_free(first, TRUE);
	/* A failed request had no effect and stores no request id, so it may be sent again. */
	run_with_request_id(3, "k2", "FAIL");
	ck_answer_end(DONE);
	ck_assert(fixture.end.failed);
	run_with_request_id(4, "k2", "INSERT b");
	ck_answer_end(DONE);
	ck_assert_uint_eq(fake_count_runs(fixture.fake, "INSERT b"), 1);
	/* The request id exists without a stored response. */
	g_hash_table_replace(fixture.fake->stored_responses, g_strdup("team/k3"), g_strdup(""));
	run_with_request_id(5, "k3", "INSERT c");
	ck_answer_end(NOT_RUN(DUPLICATE));
	ck_assert_uint_eq(fake_count_runs(fixture.fake, "INSERT c"), 0);
}
END_TEST

/* The connection is lost before COMMIT, so the outcome is unknown. The retry with the same request
 * id must then run, exactly once. */
START_TEST(test_request_id_after_lost_connection)
{
	run_with_request_id(1, "k1", "DIE");
	ck_answer_end(UNKNOWN(UNREACHABLE));
	run_with_request_id(2, "k1", "INSERT a");
	ck_answer_end(DONE);
	run_with_request_id(3, "k1", "INSERT a");
	ck_answer_end(DONE);
	ck_assert_uint_eq(fake_count_runs(fixture.fake, "INSERT a"), 1);
}
END_TEST

START_TEST(test_request_id_in_a_transaction)
{
	Jh__Frame *frame;
	uint64_t pin;

	run_sql(1, "BEGIN", true, 0);
	pin = fixture.end.pin;
	frame = new_request(2, "INSERT a", true);
	frame->request->pin = pin;
	frame->request->request_id = jh_frame_strdup("k");
	run_request(frame);
	ck_answer_end(DONE);
	ck_assert(fixture.end.failed);
	ck_assert_uint_eq(fixture.end.pin, pin);
	ck_assert_uint_eq(fake_count_runs(fixture.fake, "INSERT a"), 0);
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
	tcase_add_test(tcase, test_higher_term_before_majority_is_unknown);
	tcase_add_test(tcase, test_read_on_primary_waits_for_a_majority);
	tcase_add_test(tcase, test_requests_refused_before_they_run);
	tcase_add_test(tcase, test_deadline_while_running_and_while_queued);
	tcase_add_test(tcase, test_connection_lost_while_running);
	tcase_add_test(tcase, test_replaced_primary_does_not_respond);
	tcase_add_test(tcase, test_transactions_keep_their_connections);
	tcase_add_test(tcase, test_released_transaction_is_rolled_back);
	tcase_add_test(tcase, test_transaction_of_a_dead_entry_is_rolled_back);
	tcase_add_test(tcase, test_begin_refused_at_transaction_limit);
	tcase_add_test(tcase, test_pin_of_another_entry_is_rejected);
	tcase_add_test(tcase, test_pin_of_an_earlier_owner_is_rejected);
	tcase_add_test(tcase, test_entry_dies_while_its_statement_runs);
	tcase_add_test(tcase, test_release_cancels_running_statement);
	tcase_add_test(tcase, test_extended_protocol_batch);
	tcase_add_test(tcase, test_slow_caller_slows_the_database);
	tcase_add_test(tcase, test_answer_repeated_at_once);
	tcase_add_test(tcase, test_answer_repeated_while_idle);
	tcase_add_test(tcase, test_answer_repeated_before_the_next_statement);
	tcase_add_test(tcase, test_answer_repeated_in_a_transaction);
	tcase_add_test(tcase, test_late_answer_to_a_refused_write);
	tcase_add_test(tcase, test_late_answer_to_a_write);
	tcase_add_test(tcase, test_late_answer_in_a_transaction);
	tcase_add_test(tcase, test_late_answer_to_a_commit);
	tcase_add_test(tcase, test_request_id_runs_at_most_once);
	tcase_add_test(tcase, test_request_id_after_lost_connection);
	tcase_add_test(tcase, test_request_id_in_a_transaction);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
