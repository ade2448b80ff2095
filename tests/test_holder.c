#include "forward_fake.h"

/*
 * Guards against a forwarded statement that runs although it is malformed, refers to a lost
 * transaction or is not allowed any more; against a transaction that stays open after its entry is
 * lost; and against more connections than a member accepts, whatever the number of entries.
 */

#define ENTRY "vm-19"

static uint64_t next_id = 100;

static Jh__Frame *statement_new(uint64_t operation, jh_statement_type_t type, const char *text)
{
	Jh__Frame *frame = jh_frame_new(JH__FRAME__BODY_STATEMENT);
	Jh__Statement *statement = frame->statement;

	statement->id = next_id++;
	statement->operation = operation;
	statement->type = type;
	statement->team = jh_frame_strdup("team-1");
	statement->group = jh_frame_strdup("db");
	statement->route = jh_frame_strdup("orders");
	statement->key = jh_frame_strdup("key-1");
	statement->request_id = jh_frame_strdup("id1");
	statement->text = jh_frame_bytes(text, strlen(text));
	statement->config_version = 1;
	statement->freshness = JH_FRESH_PRIMARY;
	statement->target_latency_us = 400000;
	statement->timeout_us = 1500000;
	return frame;
}

static Jh__Frame *transaction_new(uint64_t operation, bool is_first, jh_statement_type_t type,
				  const char *text)
{
	Jh__Frame *frame = statement_new(operation, type, text);

	frame->statement->in_transaction = true;
	if (is_first) {
		frame->statement->begin_id = jh_frame_strdup("id0");
		frame->statement->begin_text = jh_frame_strdup("BEGIN");
	}
	return frame;
}

static void replace_bytes(ProtobufCBinaryData *field, const char *text)
{
	g_free(field->data);
	*field = jh_frame_bytes(text, strlen(text));
}

static void replace_text(char **field, const char *text)
{
	if (*field != protobuf_c_empty_string)
		g_free(*field);
	*field = g_strdup(text);
}

/* Delivers a statement and waits for its result. Return: borrowed */
static const Jh__StatementResult *run(Jh__Frame *frame)
{
	uint64_t id = frame->statement->id;
	const Jh__StatementResult *result;

	deliver(ENTRY, frame);
	result = take_frame(JH__FRAME__BODY_STATEMENT_RESULT, ENTRY)->statement_result;
	ck_assert_uint_eq(result->id, id);
	return result;
}

static void assert_rows(const Jh__StatementResult *result, const char *rows)
{
	ck_assert_uint_eq(result->code, JH_CODE_NONE);
	ck_assert_uint_eq(result->rows.len, strlen(rows));
	ck_assert(memcmp(result->rows.data, rows, strlen(rows)) == 0);
}

static void release(uint64_t operation)
{
	Jh__Frame *frame = jh_frame_new(JH__FRAME__BODY_STATEMENT_RELEASE);

	frame->statement_release->operation = operation;
	deliver(ENTRY, frame);
}

static unsigned count_text(const char *text, const char *part)
{
	unsigned count = 0;

	for (; (text = strstr(text, part)); text++)
		count++;
	return count;
}

START_TEST(test_statement_runs_for_the_entrys_team)
{
	const Jh__StatementResult *result;

	set_up_fleet(reply_normally);
	result = run(statement_new(1, JH_STATEMENT_WRITE, "WRITE x y"));
	assert_rows(result, "DONE s1\r\n");
	ck_assert_uint_eq(result->transaction, 'I');
	ck_assert(result->has_position);
	ck_assert_uint_eq(result->term, 1);
	ck_assert_uint_eq(result->index, 6);
	ck_assert_str_eq(result->member, "m-0");
	ck_assert_str_eq(received[PRIMARY_MEMBER]->str,
			 "START db team-1 m-0\nQUERY id1 WRITE x y\n");
}
END_TEST

START_TEST(test_values_and_prepared_statements_of_the_session_are_set)
{
	Jh__Frame *frame = statement_new(1, JH_STATEMENT_EXECUTE, "EXEC s1");
	Jh__Statement *statement = frame->statement;

	set_up_fleet(reply_normally);
	statement->prepared_text = jh_frame_bytes("q7", 2);
	statement->arguments = jh_frame_bytes("x", 1);
	statement->values = g_new0(Jh__SessionValue *, 1);
	statement->values[0] = g_new0(Jh__SessionValue, 1);
	jh__session_value__init(statement->values[0]);
	statement->values[0]->name = jh_frame_strdup("zone");
	statement->values[0]->value = jh_frame_bytes("a b", 3);
	statement->n_values = 1;
	ck_assert_uint_eq(run(frame)->code, JH_CODE_NONE);
	ck_assert(strstr(received[PRIMARY_MEMBER]->str,
			 "QUERY - SET zone a b\nQUERY - PREPARE r_q7 READ q7\n"
			 "QUERY id1 EXEC r_q7 x\n"));
}
END_TEST

static const char *reply_in_transaction(int member, const char *line)
{
	if (strstr(line, "READ "))
		return "ROW abc\r\nDONE s2\r\nREADY T 1.5\r\n";
	return reply_normally(member, line);
}

START_TEST(test_transaction_keeps_its_connection_until_commit)
{
	const Jh__StatementResult *result;

	set_up_fleet(reply_in_transaction);
	result = run(transaction_new(1, true, JH_STATEMENT_READ, "READ x"));
	ck_assert_uint_eq(result->code, JH_CODE_NONE);
	result = run(transaction_new(1, false, JH_STATEMENT_COMMIT, "COMMIT"));
	ck_assert_uint_eq(result->transaction, 'I');
	ck_assert_str_eq(received[PRIMARY_MEMBER]->str,
			 "START db team-1 m-0\nQUERY id0 BEGIN\nQUERY id1 READ x\n"
			 "QUERY id1 COMMIT\n");
}
END_TEST

static void wait_for_rollback(void)
{
	int64_t until = g_get_monotonic_time() + WAIT_MAX_US;

	while (!strstr(received[PRIMARY_MEMBER]->str, "ROLLBACK") && g_get_monotonic_time() < until)
		run_once();
	ck_assert(strstr(received[PRIMARY_MEMBER]->str, "ROLLBACK"));
}

START_TEST(test_released_transaction_is_rolled_back)
{
	set_up_fleet(reply_in_transaction);
	ck_assert_uint_eq(run(transaction_new(1, true, JH_STATEMENT_READ, "READ x"))->transaction,
			  'T');
	release(1);
	wait_for_rollback();
	ck_assert_uint_eq(run(transaction_new(1, false, JH_STATEMENT_COMMIT, "COMMIT"))->code,
			  JH_CODE_ABORTED);
}
END_TEST

START_TEST(test_transaction_of_a_lost_entry_is_rolled_back)
{
	set_up_fleet(reply_in_transaction);
	ck_assert_uint_eq(run(transaction_new(1, true, JH_STATEMENT_READ, "READ x"))->transaction,
			  'T');
	publish_peer_down(ENTRY);
	wait_for_rollback();
}
END_TEST

/* The entry is suspended: its own limit of an idle transaction does not end it. */
START_TEST(test_idle_transaction_of_a_silent_entry_is_rolled_back)
{
	set_up_fleet(reply_in_transaction);
	ck_assert_uint_eq(run(transaction_new(1, true, JH_STATEMENT_READ, "READ x"))->transaction,
			  'T');
	wait_for_rollback();
	ck_assert_uint_eq(run(transaction_new(1, false, JH_STATEMENT_COMMIT, "COMMIT"))->code,
			  JH_CODE_ABORTED);
}
END_TEST

START_TEST(test_statement_of_an_unknown_transaction_is_aborted)
{
	set_up_fleet(reply_normally);
	ck_assert_uint_eq(run(transaction_new(5, false, JH_STATEMENT_COMMIT, "COMMIT"))->code,
			  JH_CODE_ABORTED);
	ck_assert_uint_eq(conn_count, 0);
}
END_TEST

static void make_invalid(Jh__Frame *frame, unsigned fault)
{
	Jh__Statement *statement = frame->statement;

	switch (fault) {
	case 0:
		replace_bytes(&statement->text, "READ x\r\nQUERY id2 WRITE x y");
		break;
	case 1:
		replace_text(&statement->request_id, "id1 WRITE");
		break;
	case 2:
		replace_text(&statement->request_id, "");
		break;
	case 3:
		replace_text(&statement->team, "team-1 m-0\n");
		break;
	case 4:
		replace_text(&statement->group, "");
		break;
	case 5:
		statement->type = JH_STATEMENT_STEP_DOWN;
		break;
	case 6:
		statement->type = JH_STATEMENT_COMMIT;
		break;
	case 7:
		statement->type = JH_STATEMENT_EXECUTE;
		break;
	case 8:
		statement->freshness = JH_FRESH_READ_YOUR_WRITES + 1;
		break;
	case 9:
		statement->timeout_us = -1;
		break;
	case 10:
		statement->operation = 0;
		break;
	default:
		statement->in_transaction = true;
		statement->begin_id = jh_frame_strdup("a b");
		statement->begin_text = jh_frame_strdup("BEGIN");
		break;
	}
}

START_TEST(test_malformed_statements_are_refused_and_not_run)
{
	unsigned fault;

	set_up_fleet(reply_normally);
	for (fault = 0; fault < 12; fault++) {
		Jh__Frame *frame = statement_new(fault + 1, JH_STATEMENT_READ, "READ x");

		make_invalid(frame, fault);
		ck_assert_uint_eq(run(frame)->code, JH_CODE_BAD_MESSAGE);
	}
	ck_assert_uint_eq(conn_count, 0);
}
END_TEST

static const char *reply_to_start_only(int member, const char *line)
{
	return g_str_has_prefix(line, "START ") ? reply_normally(member, line) : NULL;
}

START_TEST(test_second_statement_of_a_running_operation_is_refused)
{
	set_up_fleet(reply_to_start_only);
	deliver(ENTRY, statement_new(1, JH_STATEMENT_WRITE, "WRITE x y"));
	ck_assert_uint_eq(run(statement_new(1, JH_STATEMENT_WRITE, "WRITE x z"))->code,
			  JH_CODE_BAD_MESSAGE);
	/* The entry must not give the quota of the running statement back. */
	ck_assert(!g_array_index(sent_frames, sent_frame_t, sent_frames->len - 1)
			   .frame->statement_result->not_run);
	wait_us(10000);
	ck_assert(!strstr(received[PRIMARY_MEMBER]->str, "WRITE x z"));
}
END_TEST

START_TEST(test_holder_without_a_lease_sends_the_statement_elsewhere)
{
	const Jh__StatementResult *result;

	initial_lease_us = 20000;
	set_up_fleet(reply_normally);
	wait_us(50000);
	result = run(statement_new(1, JH_STATEMENT_WRITE, "WRITE x y"));
	ck_assert_uint_eq(result->code, JH_CODE_BUSY);
	ck_assert(result->try_elsewhere);
	ck_assert(result->not_run);
	ck_assert_uint_eq(conn_count, 0);
}
END_TEST

static const char *busy_on_write(int member, const char *line)
{
	return strstr(line, "WRITE") ? "ERR BUSY\r\nREADY I 1.5\r\n" : reply_normally(member, line);
}

static const char *closes_on_read(int member, const char *line)
{
	return strstr(line, "READ") ? "" : reply_normally(member, line);
}

/* The entry gives quota back on this reply, so it must hold for every attempt on the holder. */
START_TEST(test_result_says_not_run_if_every_member_refused_the_statement)
{
	set_up_fleet(busy_on_write);
	ck_assert(run(statement_new(1, JH_STATEMENT_WRITE, "WRITE x y"))->not_run);
}
END_TEST

START_TEST(test_result_does_not_say_not_run_if_a_reply_was_lost)
{
	const Jh__StatementResult *result;

	set_up_fleet(closes_on_read);
	result = run(statement_new(1, JH_STATEMENT_READ, "READ x"));
	ck_assert_uint_eq(result->code, JH_CODE_BUSY);
	ck_assert(!result->not_run);
}
END_TEST

/* The holder has used a newer configuration: an entry with an older one must not undo that. */
START_TEST(test_route_or_key_that_a_newer_configuration_dropped_is_refused)
{
	Jh__Frame *frame = statement_new(1, JH_STATEMENT_WRITE, "WRITE x y");

	config_version = 5;
	set_up_fleet(reply_normally);
	replace_text(&frame->statement->route, "dropped");
	ck_assert_uint_eq(run(frame)->code, JH_CODE_NO_ROUTE);
	frame = statement_new(2, JH_STATEMENT_WRITE, "WRITE x y");
	replace_text(&frame->statement->key, "key-2");
	ck_assert_uint_eq(run(frame)->code, JH_CODE_NO_KEY);
	ck_assert_uint_eq(conn_count, 0);
	ck_assert_uint_eq(run(statement_new(3, JH_STATEMENT_WRITE, "WRITE x y"))->code,
			  JH_CODE_NONE);
}
END_TEST

/*
 * Load: more VMs than connections. Twenty entries send a statement of the same team at the same
 * moment; the member never sees more connections than the holder's share.
 */
START_TEST(test_statements_of_many_entries_share_few_connections)
{
	unsigned answered = 0;
	unsigned i;

	set_up_fleet(reply_normally);
	for (i = 0; i < FLEET_VMS; i++) {
		char *vm = g_strdup_printf("vm-%u", i + 1);

		if (!g_str_equal(vm, settings.vm))
			deliver(vm, statement_new(1, JH_STATEMENT_WRITE, "WRITE x y"));
		g_free(vm);
	}
	while (count_frames(JH__FRAME__BODY_STATEMENT_RESULT) < FLEET_VMS - 1)
		run_once();
	for (i = 0; i < sent_frames->len; i++) {
		const Jh__Frame *frame = g_array_index(sent_frames, sent_frame_t, i).frame;

		answered += frame->body_case == JH__FRAME__BODY_STATEMENT_RESULT &&
			    frame->statement_result->code == JH_CODE_NONE;
	}
	ck_assert_uint_eq(answered, FLEET_VMS - 1);
	ck_assert_uint_eq(count_text(received[PRIMARY_MEMBER]->str, "WRITE"), FLEET_VMS - 1);
	ck_assert_uint_le(conn_count, 6);
}
END_TEST

START_TEST(test_check_is_answered)
{
	set_up_fleet(reply_normally);
	deliver(ENTRY, jh_frame_new(JH__FRAME__BODY_HOLDER_CHECK));
	ck_assert(take_frame(JH__FRAME__BODY_HOLDER_CHECK, ENTRY)->holder_check->is_reply);
}
END_TEST

/*
 * The time that the entry says is left decides whether the holder keeps a statement while the
 * primary is replaced, which is expected to take 1.5 s.
 */
START_TEST(test_statement_waits_only_as_long_as_its_entry_has_time)
{
	const Jh__StatementResult *result;
	Jh__Frame *frame = statement_new(1, JH_STATEMENT_WRITE, "WRITE x y");
	uint64_t id = frame->statement->id;

	set_up_fleet(reply_normally);
	publish_primary(2, true);
	wait_us(10000);
	frame->statement->waited_us = 9000000;
	frame->statement->timeout_us = 10000000;
	deliver(ENTRY, frame);
	frame = statement_new(2, JH_STATEMENT_WRITE, "WRITE x y");
	frame->statement->waited_us = 9000000;
	frame->statement->timeout_us = 1000000;
	/* Its result is the first one. */
	result = run(frame);
	ck_assert_uint_eq(result->code, JH_CODE_BUSY);
	ck_assert_msg(strstr(result->message, "retry-after-ms=") != NULL, "%s", result->message);
	publish_primary(3, false);
	result = take_frame(JH__FRAME__BODY_STATEMENT_RESULT, ENTRY)->statement_result;
	ck_assert_uint_eq(result->id, id);
	assert_rows(result, "DONE s1\r\n");
}
END_TEST

/*
 * A statement may wait for longer than a VM takes to shut down. Its caller must not be left without
 * a response; another VM may run it.
 */
START_TEST(test_waiting_statement_is_refused_before_the_vm_exits)
{
	const Jh__StatementResult *result;
	Jh__Frame *frame = statement_new(1, JH_STATEMENT_WRITE, "WRITE x y");

	set_up_fleet(reply_normally);
	publish_primary(2, true);
	wait_us(10000);
	frame->statement->timeout_us = 60000000;
	deliver(ENTRY, frame);
	wait_us(100000);
	jh_kernel_drain(kernel);
	result = take_frame(JH__FRAME__BODY_STATEMENT_RESULT, ENTRY)->statement_result;
	ck_assert_uint_eq(result->code, JH_CODE_BUSY);
	ck_assert(result->try_elsewhere);
	ck_assert_msg(strstr(result->message, "this vm shuts down") != NULL, "%s", result->message);
}
END_TEST

/*
 * Guards against an unknown outcome without need: a VM that shuts down ran statements of other VMs
 * that could outlast it, while other holders had the time.
 */
START_TEST(test_draining_holder_sends_statements_elsewhere_that_could_outlast_it)
{
	const Jh__StatementResult *result;
	Jh__Frame *frame;

	set_up_fleet(reply_normally);
	jh_kernel_drain(kernel);
	frame = statement_new(1, JH_STATEMENT_WRITE, "WRITE x y");
	frame->statement->timeout_us = 1500000;
	deliver(ENTRY, frame);
	result = take_frame(JH__FRAME__BODY_STATEMENT_RESULT, ENTRY)->statement_result;
	ck_assert_uint_eq(result->code, JH_CODE_BUSY);
	ck_assert(result->try_elsewhere && result->not_run);
	ck_assert(!strstr(received[PRIMARY_MEMBER]->str, "WRITE"));
	frame = statement_new(2, JH_STATEMENT_WRITE, "WRITE x y");
	frame->statement->timeout_us = 500000;
	deliver(ENTRY, frame);
	result = take_frame(JH__FRAME__BODY_STATEMENT_RESULT, ENTRY)->statement_result;
	assert_rows(result, "DONE s1\r\n");
}
END_TEST

static const char *never_reply_to_writes(int member, const char *line)
{
	return strstr(line, "WRITE") ? NULL : reply_normally(member, line);
}

/* Guards against an entry that waits for a holder which has exited. */
START_TEST(test_statement_in_progress_has_a_result_before_the_vm_exits)
{
	const Jh__StatementResult *result;
	Jh__Frame *frame = statement_new(1, JH_STATEMENT_WRITE, "WRITE x y");

	set_up_fleet(never_reply_to_writes);
	frame->statement->timeout_us = 60000000;
	deliver(ENTRY, frame);
	wait_us(100000);
	jh_kernel_drain(kernel);
	result = take_frame(JH__FRAME__BODY_STATEMENT_RESULT, ENTRY)->statement_result;
	ck_assert_uint_eq(result->code, JH_CODE_UNKNOWN);
	ck_assert(!result->try_elsewhere && !result->not_run);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		test_statement_runs_for_the_entrys_team,
		test_values_and_prepared_statements_of_the_session_are_set,
		test_transaction_keeps_its_connection_until_commit,
		test_released_transaction_is_rolled_back,
		test_transaction_of_a_lost_entry_is_rolled_back,
		test_idle_transaction_of_a_silent_entry_is_rolled_back,
		test_statement_of_an_unknown_transaction_is_aborted,
		test_malformed_statements_are_refused_and_not_run,
		test_second_statement_of_a_running_operation_is_refused,
		test_result_says_not_run_if_every_member_refused_the_statement,
		test_result_does_not_say_not_run_if_a_reply_was_lost,
		test_holder_without_a_lease_sends_the_statement_elsewhere,
		test_route_or_key_that_a_newer_configuration_dropped_is_refused,
		test_statements_of_many_entries_share_few_connections,
		test_check_is_answered,
		test_statement_waits_only_as_long_as_its_entry_has_time,
		test_waiting_statement_is_refused_before_the_vm_exits,
		test_draining_holder_sends_statements_elsewhere_that_could_outlast_it,
		test_statement_in_progress_has_a_result_before_the_vm_exits,
		NULL,
	};

	return run_tests("holder", tests);
}
