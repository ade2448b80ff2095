#include "forward_fake.h"

/*
 * Guards against a forwarded statement that runs twice or whose outcome is reported wrongly when
 * its holder is lost, silent or unable to run it, and against reads that wait for a silent holder.
 */

/* Waits for a statement that the gateway sends to @vm. Return: borrowed */
static const Jh__Statement *take_statement(const char *vm)
{
	return take_frame(JH__FRAME__BODY_STATEMENT, vm)->statement;
}

static void assert_bytes(const ProtobufCBinaryData *field, const char *expected)
{
	ck_assert_uint_eq(field->len, strlen(expected));
	ck_assert_mem_eq(field->data, expected, field->len);
}

static Jh__Frame *result_new(uint64_t id, jh_code_t code, const char *rows, char state)
{
	Jh__Frame *frame = jh_frame_new(JH__FRAME__BODY_STATEMENT_RESULT);
	Jh__StatementResult *result = frame->statement_result;

	result->id = id;
	result->code = code;
	result->message = jh_frame_strdup(code == JH_CODE_NONE ? "" : "why retry-after-ms=7");
	result->transaction = (uint32_t)state;
	result->rows.len = strlen(rows);
	result->rows.data = g_memdup2(rows, strlen(rows));
	result->has_position = code == JH_CODE_NONE;
	result->term = 1;
	result->index = 9;
	return frame;
}

static void reply_done(const char *vm, const Jh__Statement *statement, char state)
{
	deliver(vm, result_new(statement->id, JH_CODE_NONE, "DONE s9\r\n", state));
}

static void reply_elsewhere(const char *vm, const Jh__Statement *statement)
{
	Jh__Frame *frame = result_new(statement->id, JH_CODE_BUSY, "", 'I');

	frame->statement_result->try_elsewhere = true;
	deliver(vm, frame);
}

static void assert_response(int fd, const char *expected)
{
	char *response = caller_receive(fd);

	ck_assert_msg(strstr(response, expected) != NULL, "'%s' lacks '%s'", response, expected);
	g_free(response);
}

/* Begins a transaction whose first statement ran on the holder. Return: that statement, borrowed */
static const Jh__Statement *open_transaction(int fd)
{
	const Jh__Statement *statement;

	ASSERT_RESPONSE(fd, "QUERY id1 BEGIN\r\n", "DONE -\r\nREADY T -\r\n");
	caller_send(fd, "QUERY id2 WRITE x y\r\n");
	statement = take_statement(holder_name(0));
	reply_done(holder_name(0), statement, 'T');
	assert_response(fd, "READY T 1.9\r\n");
	return statement;
}

START_TEST(test_statement_reaches_the_holder_with_its_session)
{
	const Jh__Statement *statement;
	int fd;

	set_up_fleet(reply_normally);
	fd = session_open("ledger");
	ASSERT_RESPONSE(fd, "QUERY id1 SET zone a b\r\n", "DONE -\r\nREADY I -\r\n");
	ASSERT_RESPONSE(fd, "QUERY id2 PREPARE s1 WRITE q7\r\n", "DONE -\r\nREADY I -\r\n");
	caller_send(fd, "QUERY id3 EXEC s1 x y\r\n");
	statement = take_statement(holder_name(0));
	ck_assert_str_eq(statement->team, "team-1");
	ck_assert_str_eq(statement->group, "db");
	ck_assert_str_eq(statement->request_id, "id3");
	assert_bytes(&statement->prepared_text, "q7");
	ck_assert(statement->prepared_writes);
	assert_bytes(&statement->arguments, "x y");
	ck_assert_uint_eq(statement->n_values, 1);
	ck_assert_str_eq(statement->values[0]->name, "zone");
	assert_bytes(&statement->values[0]->value, "a b");
	ck_assert(!statement->in_transaction);
	reply_done(holder_name(0), statement, 'I');
	assert_response(fd, "DONE s9\r\nREADY I 1.9\r\n");
	ck_assert_uint_eq(conn_count, 0);

	/* The next read of the session must see its write, on whichever member. */
	caller_send(fd, "QUERY id4 READ x\r\n");
	statement = take_statement(holder_name(0));
	ck_assert_uint_eq(statement->commit_term, 1);
	ck_assert_uint_eq(statement->commit_index, 9);
	deliver(holder_name(0),
		result_new(statement->id, JH_CODE_NONE, "ROW r\r\nDONE s\r\n", 'I'));
	assert_response(fd, "ROW r\r\nDONE s\r\nREADY I 1.9\r\n");
}
END_TEST

START_TEST(test_transaction_stays_on_its_holder)
{
	const Jh__Statement *first;
	const Jh__Statement *second;
	int fd;

	set_up_fleet(reply_normally);
	fd = session_open("orders");
	ASSERT_RESPONSE(fd, "QUERY id1 BEGIN\r\n", "DONE -\r\nREADY T -\r\n");
	caller_send(fd, "QUERY id2 WRITE x y\r\n");
	first = take_statement(holder_name(0));
	ck_assert_str_eq(first->begin_id, "id1");
	ck_assert_str_eq(first->begin_text, "BEGIN");
	reply_done(holder_name(0), first, 'T');
	assert_response(fd, "READY T 1.9\r\n");
	caller_send(fd, "QUERY id3 COMMIT\r\n");
	second = take_statement(holder_name(0));
	ck_assert_uint_eq(second->operation, first->operation);
	ck_assert(second->in_transaction);
	ck_assert_str_eq(second->begin_text, "");
	reply_done(holder_name(0), second, 'I');
	assert_response(fd, "READY I 1.9\r\n");
	ck_assert_uint_eq(count_frames(JH__FRAME__BODY_STATEMENT_RELEASE), 0);
}
END_TEST

START_TEST(test_rolled_back_transaction_is_released)
{
	const Jh__Statement *statement;
	int fd;

	set_up_fleet(reply_normally);
	fd = session_open("orders");
	statement = open_transaction(fd);
	ASSERT_RESPONSE(fd, "QUERY id3 ROLLBACK\r\n", "DONE -\r\nREADY I -\r\n");
	ck_assert_uint_eq(take_frame(JH__FRAME__BODY_STATEMENT_RELEASE, holder_name(0))
				  ->statement_release->operation,
			  statement->operation);
}
END_TEST

START_TEST(test_caller_that_leaves_is_released)
{
	const Jh__Statement *statement;
	int fd;

	set_up_fleet(reply_normally);
	fd = session_open("orders");
	caller_send(fd, "QUERY id1 WRITE x y\r\n");
	statement = take_statement(holder_name(0));
	close(fd);
	ck_assert_uint_eq(take_frame(JH__FRAME__BODY_STATEMENT_RELEASE, holder_name(0))
				  ->statement_release->operation,
			  statement->operation);
	/* The result comes too late and has no receiver. */
	reply_done(holder_name(0), statement, 'I');
	wait_us(10000);
}
END_TEST

START_TEST(test_write_on_a_lost_holder_is_unknown)
{
	int fd;

	set_up_fleet(reply_normally);
	fd = session_open("orders");
	caller_send(fd, "QUERY id1 WRITE x y\r\n");
	take_statement(holder_name(0));
	publish_peer_down(holder_name(0));
	assert_response(fd, "ERR UNKNOWN");
}
END_TEST

START_TEST(test_transaction_on_a_lost_holder_is_aborted_and_its_commit_unknown)
{
	int fd;

	set_up_fleet(reply_normally);
	fd = session_open("orders");
	ASSERT_RESPONSE(fd, "QUERY id1 BEGIN\r\n", "DONE -\r\nREADY T -\r\n");
	caller_send(fd, "QUERY id2 WRITE x y\r\n");
	take_statement(holder_name(0));
	publish_peer_down(holder_name(0));
	assert_response(fd, "ERR ABORTED");
	ASSERT_RESPONSE(fd, "QUERY id3 ROLLBACK\r\n", "DONE -\r\nREADY I -\r\n");
	open_transaction(fd);
	caller_send(fd, "QUERY id6 COMMIT\r\n");
	take_statement(holder_name(0));
	publish_peer_down(holder_name(0));
	assert_response(fd, "ERR UNKNOWN");
}
END_TEST

START_TEST(test_idle_transaction_on_a_lost_holder_is_aborted)
{
	int fd;

	set_up_fleet(reply_normally);
	fd = session_open("orders");
	open_transaction(fd);
	publish_peer_down(holder_name(0));
	wait_us(10000);
	ASSERT_RESPONSE_HAS(fd, "QUERY id3 COMMIT\r\n", "ERR ABORTED");
	ck_assert_uint_eq(count_frames(JH__FRAME__BODY_STATEMENT), 1);
}
END_TEST

START_TEST(test_read_on_a_lost_holder_is_sent_to_the_next)
{
	const Jh__Statement *statement;
	int fd;

	set_up_fleet(reply_normally);
	fd = session_open("lookups");
	caller_send(fd, "QUERY id1 READ x\r\n");
	take_statement(holder_name(0));
	publish_peer_down(holder_name(0));
	statement = take_statement(holder_name(1));
	reply_done(holder_name(1), statement, 'I');
	assert_response(fd, "DONE s9\r\nREADY I 1.9\r\n");
}
END_TEST

START_TEST(test_write_that_a_holder_cannot_run_is_sent_to_the_next)
{
	const Jh__Statement *statement;
	int fd;

	set_up_fleet(reply_normally);
	fd = session_open("orders");
	caller_send(fd, "QUERY id1 WRITE x y\r\n");
	statement = take_statement(holder_name(0));
	reply_elsewhere(holder_name(0), statement);
	statement = take_statement(holder_name(1));
	reply_done(holder_name(1), statement, 'I');
	assert_response(fd, "DONE s9\r\nREADY I 1.9\r\n");
}
END_TEST

/* A holder is suspended: nothing comes from it, not even the reply to the check. */
START_TEST(test_read_on_a_frozen_holder_is_sent_to_the_next)
{
	const Jh__Statement *first;
	const Jh__Statement *second;
	int fd;

	set_up_fleet(reply_normally);
	fd = session_open("lookups");
	caller_send(fd, "QUERY id1 READ x\r\n");
	first = take_statement(holder_name(0));
	second = take_statement(holder_name(1));
	ck_assert_str_eq(first->request_id, second->request_id);
	ck_assert_uint_ge(count_frames(JH__FRAME__BODY_HOLDER_CHECK), 1);

	/* New statements avoid the frozen holder as long as it is silent. */
	reply_done(holder_name(1), second, 'I');
	assert_response(fd, "DONE s9\r\nREADY I 1.9\r\n");
	caller_send(fd, "QUERY id2 READ x\r\n");
	second = take_statement(holder_name(1));
	reply_done(holder_name(1), second, 'I');
	assert_response(fd, "DONE s9\r\nREADY I 1.9\r\n");

	/* Its late result shows that it runs again. */
	reply_done(holder_name(0), first, 'I');
	wait_us(10000);
	caller_send(fd, "QUERY id3 READ x\r\n");
	take_statement(holder_name(0));
}
END_TEST

/* The result of a holder that resumes is delivered, although another holder was asked meanwhile. */
START_TEST(test_first_result_of_two_holders_is_delivered)
{
	const Jh__Statement *first;
	const Jh__Statement *second;
	int fd;

	set_up_fleet(reply_normally);
	fd = session_open("lookups");
	caller_send(fd, "QUERY id1 READ x\r\n");
	first = take_statement(holder_name(0));
	second = take_statement(holder_name(1));
	reply_done(holder_name(0), first, 'I');
	assert_response(fd, "DONE s9\r\nREADY I 1.9\r\n");
	ck_assert_uint_eq(take_frame(JH__FRAME__BODY_STATEMENT_RELEASE, holder_name(1))
				  ->statement_release->operation,
			  second->operation);
	reply_done(holder_name(1), second, 'I');
	wait_us(10000);
}
END_TEST

START_TEST(test_write_on_a_frozen_holder_is_not_sent_again)
{
	const Jh__Statement *statement;
	int fd;

	set_up_fleet(reply_normally);
	fd = session_open("orders");
	caller_send(fd, "QUERY id1 WRITE x y\r\n");
	statement = take_statement(holder_name(0));
	wait_us(700000);
	ck_assert_uint_eq(count_frames(JH__FRAME__BODY_STATEMENT), 1);
	reply_done(holder_name(0), statement, 'I');
	assert_response(fd, "DONE s9\r\nREADY I 1.9\r\n");
}
END_TEST

/* A statement may run for long on a member: the holder replies to checks. */
START_TEST(test_slow_read_on_a_holder_that_responds_is_not_sent_again)
{
	const Jh__Statement *statement;
	int64_t until;
	unsigned checks = 0;
	int fd;

	set_up_fleet(reply_normally);
	fd = session_open("lookups");
	caller_send(fd, "QUERY id1 READ x\r\n");
	statement = take_statement(holder_name(0));
	until = g_get_monotonic_time() + 800000;
	while (g_get_monotonic_time() < until) {
		if (count_frames(JH__FRAME__BODY_HOLDER_CHECK) > checks) {
			Jh__Frame *reply = jh_frame_new(JH__FRAME__BODY_HOLDER_CHECK);

			checks++;
			reply->holder_check->is_reply = true;
			deliver(holder_name(0), reply);
		}
		run_once();
	}
	ck_assert_uint_ge(checks, 2);
	ck_assert_uint_eq(count_frames(JH__FRAME__BODY_STATEMENT), 1);
	reply_done(holder_name(0), statement, 'I');
	assert_response(fd, "DONE s9\r\nREADY I 1.9\r\n");
}
END_TEST

START_TEST(test_refusal_of_a_holder_is_delivered_with_its_time_to_return)
{
	const Jh__Statement *statement;
	int fd;

	set_up_fleet(reply_normally);
	fd = session_open("orders");
	caller_send(fd, "QUERY id1 WRITE x y\r\n");
	statement = take_statement(holder_name(0));
	deliver(holder_name(0), result_new(statement->id, JH_CODE_BUSY, "", 'I'));
	assert_response(fd, "ERR BUSY why retry-after-ms=7\r\n");
	ck_assert_uint_eq(count_frames(JH__FRAME__BODY_STATEMENT), 1);
}
END_TEST

static void reply_not_run(const char *vm, const Jh__Statement *statement, bool not_run)
{
	Jh__Frame *frame = result_new(statement->id, JH_CODE_BUSY, "", 'I');

	frame->statement_result->not_run = not_run;
	deliver(vm, frame);
}

/* Quota must come back if no member ran the operation, and stay spent if one may have. */
START_TEST(test_quota_is_given_back_if_the_holder_says_that_nothing_ran)
{
	int fd;

	set_up_fleet(reply_normally);
	fd = session_open("orders");
	caller_send(fd, "QUERY id1 WRITE x y\r\n");
	reply_not_run(holder_name(0), take_statement(holder_name(0)), false);
	assert_response(fd, "ERR BUSY");
	caller_send(fd, "QUERY id2 WRITE x y\r\n");
	reply_not_run(holder_name(0), take_statement(holder_name(0)), true);
	assert_response(fd, "ERR BUSY");
	wait_us(10000);
	ck_assert_uint_eq(given_back_count, 1);
	ck_assert_uint_eq(given_back_grant, 2);
	/* A statement in the middle of a transaction: the transaction has run. */
	open_transaction(fd);
	caller_send(fd, "QUERY id3 WRITE x y\r\n");
	reply_not_run(holder_name(0), take_statement(holder_name(0)), true);
	assert_response(fd, "ERR BUSY");
	wait_us(10000);
	ck_assert_uint_eq(given_back_count, 1);
}
END_TEST

/* The first holder is lost and may have run the read; the second one refuses it. */
START_TEST(test_quota_is_not_given_back_if_an_earlier_holder_was_lost)
{
	int fd;

	set_up_fleet(reply_normally);
	fd = session_open("lookups");
	caller_send(fd, "QUERY id1 READ x\r\n");
	take_statement(holder_name(0));
	publish_peer_down(holder_name(0));
	reply_not_run(holder_name(1), take_statement(holder_name(1)), true);
	assert_response(fd, "ERR BUSY");
	wait_us(10000);
	ck_assert_uint_eq(given_back_count, 0);
}
END_TEST

START_TEST(test_result_of_another_vm_or_of_another_statement_is_ignored)
{
	const Jh__Statement *statement;
	int fd;

	set_up_fleet(reply_normally);
	fd = session_open("orders");
	caller_send(fd, "QUERY id1 WRITE x y\r\n");
	statement = take_statement(holder_name(0));
	deliver(holder_name(1), result_new(statement->id, JH_CODE_NONE, "DONE bad\r\n", 'I'));
	deliver(holder_name(0), result_new(statement->id + 1, JH_CODE_NONE, "DONE bad\r\n", 'I'));
	wait_us(10000);
	reply_done(holder_name(0), statement, 'I');
	assert_response(fd, "DONE s9\r\nREADY I 1.9\r\n");
}
END_TEST

/*
 * A holder sends a result to a VM, and that VM may have been restarted since it sent the statement.
 * An instance that counted from 1 would have given its first statements these ids.
 */
START_TEST(test_result_for_an_earlier_instance_is_ignored)
{
	const Jh__Statement *statement;
	uint64_t earlier_id;
	int fd;

	set_up_fleet(reply_normally);
	fd = session_open("orders");
	caller_send(fd, "QUERY id1 WRITE x y\r\n");
	statement = take_statement(holder_name(0));
	for (earlier_id = 1; earlier_id < 100; earlier_id++)
		deliver(holder_name(0), result_new(earlier_id, JH_CODE_NONE, "DONE bad\r\n", 'I'));
	wait_us(10000);
	reply_done(holder_name(0), statement, 'I');
	assert_response(fd, "DONE s9\r\nREADY I 1.9\r\n");
}
END_TEST

START_TEST(test_result_with_an_unknown_code_is_an_unknown_outcome)
{
	const Jh__Statement *statement;
	int fd;

	set_up_fleet(reply_normally);
	fd = session_open("orders");
	caller_send(fd, "QUERY id1 WRITE x y\r\n");
	statement = take_statement(holder_name(0));
	deliver(holder_name(0), result_new(statement->id, JH_CODE_OTHER + 1, "", 'I'));
	assert_response(fd, "ERR UNKNOWN");
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		test_statement_reaches_the_holder_with_its_session,
		test_transaction_stays_on_its_holder,
		test_rolled_back_transaction_is_released,
		test_caller_that_leaves_is_released,
		test_write_on_a_lost_holder_is_unknown,
		test_transaction_on_a_lost_holder_is_aborted_and_its_commit_unknown,
		test_idle_transaction_on_a_lost_holder_is_aborted,
		test_read_on_a_lost_holder_is_sent_to_the_next,
		test_write_that_a_holder_cannot_run_is_sent_to_the_next,
		test_read_on_a_frozen_holder_is_sent_to_the_next,
		test_first_result_of_two_holders_is_delivered,
		test_write_on_a_frozen_holder_is_not_sent_again,
		test_slow_read_on_a_holder_that_responds_is_not_sent_again,
		test_refusal_of_a_holder_is_delivered_with_its_time_to_return,
		test_quota_is_given_back_if_the_holder_says_that_nothing_ran,
		test_quota_is_not_given_back_if_an_earlier_holder_was_lost,
		test_result_of_another_vm_or_of_another_statement_is_ignored,
		test_result_for_an_earlier_instance_is_ignored,
		test_result_with_an_unknown_code_is_an_unknown_outcome,
		NULL,
	};

	return run_tests("forward", tests);
}
