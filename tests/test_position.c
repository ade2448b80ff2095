#include "forward_fake.h"

/*
 * Guards against a read that runs on a replica without a position that counts, against a position
 * that is told under no valid lease, and against reads that wait for a VM that does not reply.
 */

#define ENTRY "vm-19"

/* This VM holds the replica's connections; the other VMs beside the primary are frames. */
static void set_up_holder(reply_fn_t replies)
{
	jh_holder_map_t *map = set_up_two_dcs(replies, true);

	jh_holder_map_free(map);
}

/* Waits for the next ask, to whichever VM. Return: the frame, borrowed, and that VM */
static sent_frame_t take_ask(void)
{
	static unsigned taken;
	int64_t until = g_get_monotonic_time() + WAIT_MAX_US;

	while (g_get_monotonic_time() < until) {
		while (taken < sent_frames->len) {
			sent_frame_t sent = g_array_index(sent_frames, sent_frame_t, taken++);

			if (sent.frame->body_case == JH__FRAME__BODY_POSITION_ASK)
				return sent;
		}
		run_once();
	}
	ck_abort_msg("no ask");
	return (sent_frame_t){ 0 };
}

static Jh__Frame *reply_new(sent_frame_t sent)
{
	Jh__Frame *frame = jh_frame_new(JH__FRAME__BODY_POSITION_REPLY);

	frame->position_reply->group = jh_frame_strdup("db");
	frame->position_reply->stamp_us = sent.frame->position_ask->stamp_us;
	frame->position_reply->term = 1;
	frame->position_reply->epoch = 1;
	frame->position_reply->index = 4;
	frame->position_reply->age_us = 1000;
	return frame;
}

static void receive_rows(int fd)
{
	char *response = caller_receive(fd);

	ck_assert_msg(strstr(response, "ROW abc") != NULL, "%s", response);
	g_free(response);
}

START_TEST(test_read_waits_for_a_position_and_runs_on_the_near_replica)
{
	sent_frame_t ask;
	int fd;

	set_up_holder(reply_normally);
	fd = session_open("lookups");
	caller_send(fd, "QUERY id1 READ x\r\n");
	ask = take_ask();
	ck_assert_str_eq(ask.frame->position_ask->group, "db");
	wait_us(10000);
	ck_assert_uint_eq(conn_count, 0);
	deliver(ask.vm, reply_new(ask));
	receive_rows(fd);
	ck_assert_ptr_nonnull(
		strstr(received[REPLICA_MEMBER]->str, "QUERY id1 AFTER 1.4 READ x\n"));
	ck_assert_str_eq(received[PRIMARY_MEMBER]->str, "");
	ck_assert_uint_eq(count_frames(JH__FRAME__BODY_STATEMENT), 0);
}
END_TEST

/* The VMs are in both data centres by turns; see publish_vms(). */
static bool is_beside_the_primary(const char *vm)
{
	return g_ascii_strtoull(vm + strlen("vm-"), NULL, 10) % 2 == 0;
}

START_TEST(test_holders_beside_the_primary_are_asked_in_turn)
{
	sent_frame_t ask;
	const char *first;
	int fd;

	set_up_holder(reply_normally);
	fd = session_open("lookups");
	caller_send(fd, "QUERY id1 READ x\r\n");
	ask = take_ask();
	first = ask.vm;
	ask = take_ask();
	ck_assert_str_ne(ask.vm, first);
	ck_assert(is_beside_the_primary(first) && is_beside_the_primary(ask.vm));
	/* The read did not wait for the second one. */
	receive_rows(fd);
	ck_assert_ptr_nonnull(strstr(received[PRIMARY_MEMBER]->str, "READ x\n"));
}
END_TEST

static void make_useless(Jh__PositionReply *reply, unsigned fault)
{
	switch (fault) {
	case 0:
		reply->epoch = 2;
		break;
	case 1:
		reply->term = 2;
		break;
	case 2:
		reply->term = 0;
		break;
	case 3:
		reply->age_us = -1;
		break;
	case 4:
		/* Older than the route's reads may be. */
		reply->age_us = 400000;
		break;
	default:
		reply->stamp_us++;
		break;
	}
}

static void check_useless_reply(unsigned fault)
{
	sent_frame_t ask;
	Jh__Frame *reply;
	int fd;

	set_up_holder(reply_normally);
	fd = session_open("lookups");
	caller_send(fd, "QUERY id1 READ x\r\n");
	ask = take_ask();
	reply = reply_new(ask);
	make_useless(reply->position_reply, fault);
	deliver(ask.vm, reply);
	receive_rows(fd);
	ck_assert_str_eq(received[REPLICA_MEMBER]->str, "");
	ck_assert_ptr_nonnull(strstr(received[PRIMARY_MEMBER]->str, "READ x\n"));
}

START_TEST(test_reply_is_useless_with_epoch_of_another_row)
{
	check_useless_reply(0);
}
END_TEST

START_TEST(test_reply_is_useless_with_term_of_another_primary)
{
	check_useless_reply(1);
}
END_TEST

START_TEST(test_reply_is_useless_with_vm_without_a_position)
{
	check_useless_reply(2);
}
END_TEST

START_TEST(test_reply_is_useless_with_negative_age)
{
	check_useless_reply(3);
}
END_TEST

START_TEST(test_reply_is_useless_with_age_above_the_routes_limit)
{
	check_useless_reply(4);
}
END_TEST

START_TEST(test_reply_is_useless_with_unknown_stamp)
{
	check_useless_reply(5);
}
END_TEST

START_TEST(test_position_ends_with_its_primary)
{
	sent_frame_t ask;
	Jh__Frame *reply;
	int fd;

	set_up_holder(reply_normally);
	fd = session_open("lookups");
	caller_send(fd, "QUERY id1 READ x\r\n");
	ask = take_ask();
	publish_primary(2, true);
	wait_us(5000);
	reply = reply_new(ask);
	deliver(ask.vm, reply);
	wait_us(30000);
	ck_assert_str_eq(received[REPLICA_MEMBER]->str, "");
}
END_TEST

/* The region of the primary and the voters is cut off: reads go on until their samples are old. */
START_TEST(test_reads_continue_without_a_lease_until_the_samples_are_old)
{
	sent_frame_t ask;
	int fd;

	initial_lease_us = 600000;
	config_max_age_us = 900000;
	set_up_holder(reply_normally);
	fd = session_open("lookups");
	caller_send(fd, "QUERY id1 READ x\r\n");
	ask = take_ask();
	deliver(ask.vm, reply_new(ask));
	receive_rows(fd);
	wait_us(600000);
	caller_send(fd, "QUERY id2 READ x\r\n");
	receive_rows(fd);
	ck_assert_ptr_nonnull(
		strstr(received[REPLICA_MEMBER]->str, "QUERY id2 AFTER 1.4 READ x\n"));
	wait_us(330000);
	/* Another holder may have a lease. */
	caller_send(fd, "QUERY id3 READ x\r\n");
	while (count_frames(JH__FRAME__BODY_STATEMENT) == 0)
		run_once();
	ck_assert_ptr_null(strstr(received[REPLICA_MEMBER]->str, "id3"));
	ck_assert_str_eq(received[PRIMARY_MEMBER]->str, "");
}
END_TEST

static Jh__Frame *read_new(uint64_t id, bool may_refer)
{
	Jh__Frame *frame = jh_frame_new(JH__FRAME__BODY_STATEMENT);
	Jh__Statement *statement = frame->statement;

	statement->id = id;
	statement->operation = id;
	statement->type = JH_STATEMENT_READ;
	statement->team = jh_frame_strdup("team-1");
	statement->group = jh_frame_strdup("db");
	statement->route = jh_frame_strdup("lookups");
	statement->key = jh_frame_strdup("key-1");
	statement->request_id = jh_frame_strdup("id1");
	statement->text = jh_frame_bytes("READ x", strlen("READ x"));
	statement->config_version = 1;
	statement->freshness = JH_FRESH_BOUNDED;
	statement->max_age_us = config_max_age_us;
	statement->target_latency_us = 400000;
	statement->timeout_us = 1500000;
	statement->may_refer = may_refer;
	return frame;
}

static bool is_deaf = true;

static const char *reply_of_deaf_replica(int member, const char *line)
{
	if (is_deaf && member == REPLICA_MEMBER && strstr(line, "READ "))
		return "ERR LAGGING\r\nREADY I 1.3\r\n";
	return reply_normally(member, line);
}

/*
 * The replica receives nothing. The first holder sends reads back, so that a holder beside another
 * member runs them; a read that was sent back before runs on any member.
 */
START_TEST(test_reads_near_a_lagging_replica_are_referred_once)
{
	const Jh__StatementResult *result;
	sent_frame_t ask;

	set_up_holder(reply_of_deaf_replica);
	config_max_age_us = 1000000;
	deliver(ENTRY, read_new(1, true));
	ask = take_ask();
	deliver(ask.vm, reply_new(ask));
	result = take_frame(JH__FRAME__BODY_STATEMENT_RESULT, ENTRY)->statement_result;
	ck_assert(result->try_elsewhere && result->dc_unfit);
	deliver(ENTRY, read_new(2, false));
	result = take_frame(JH__FRAME__BODY_STATEMENT_RESULT, ENTRY)->statement_result;
	ck_assert_uint_eq(result->code, JH_CODE_NONE);
	ck_assert_ptr_nonnull(strstr(received[PRIMARY_MEMBER]->str, "READ x\n"));
}
END_TEST

/* No position of another VM is new enough for it, so that waiting for one is in vain. */
START_TEST(test_read_that_accepts_no_age_uses_the_primary_at_once)
{
	config_max_age_us = 0;
	set_up_holder(reply_normally);
	deliver(ENTRY, read_new(1, false));
	ck_assert_uint_eq(
		take_frame(JH__FRAME__BODY_STATEMENT_RESULT, ENTRY)->statement_result->code,
		JH_CODE_NONE);
	ck_assert_ptr_nonnull(strstr(received[PRIMARY_MEMBER]->str, "READ x\n"));
	ck_assert_uint_eq(count_frames(JH__FRAME__BODY_POSITION_ASK), 0);
}
END_TEST

/* Its last report is old: a replica that was passed over reports no newer position by itself. */
START_TEST(test_replica_that_has_caught_up_is_used_again)
{
	sent_frame_t ask;

	config_max_age_us = WAIT_MAX_US;
	set_up_holder(reply_of_deaf_replica);
	deliver(ENTRY, read_new(1, false));
	ask = take_ask();
	deliver(ask.vm, reply_new(ask));
	take_frame(JH__FRAME__BODY_STATEMENT_RESULT, ENTRY);
	is_deaf = false;
	wait_us(150000);
	g_string_truncate(received[REPLICA_MEMBER], 0);
	deliver(ENTRY, read_new(2, true));
	ck_assert_uint_eq(
		take_frame(JH__FRAME__BODY_STATEMENT_RESULT, ENTRY)->statement_result->code,
		JH_CODE_NONE);
	ck_assert_ptr_nonnull(strstr(received[REPLICA_MEMBER]->str, "READ x\n"));
}
END_TEST

/* ---- replies ---- */

/* Asks this VM for its position. Return: its reply, borrowed */
static const Jh__PositionReply *ask_own(const char *group)
{
	Jh__Frame *frame = jh_frame_new(JH__FRAME__BODY_POSITION_ASK);
	const Jh__PositionReply *reply;

	frame->position_ask->group = jh_frame_strdup(group);
	frame->position_ask->stamp_us = 77;
	deliver(ENTRY, frame);
	reply = take_frame(JH__FRAME__BODY_POSITION_REPLY, ENTRY)->position_reply;
	ck_assert_int_eq(reply->stamp_us, 77);
	ck_assert_str_eq(reply->group, group);
	return reply;
}

/* Runs a write on the primary, whose reply has the position 1.6. */
static void run_write(void)
{
	int fd = session_open("orders");

	ASSERT_RESPONSE_HAS(fd, "QUERY id9 WRITE x y\r\n", "READY I 1.6");
}

START_TEST(test_reply_has_the_newest_sample_and_its_age)
{
	const Jh__PositionReply *reply;

	set_up(reply_normally);
	ck_assert_uint_eq(ask_own("db")->term, 0);
	ck_assert_uint_eq(ask_own("unknown")->term, 0);
	run_write();
	wait_us(50000);
	reply = ask_own("db");
	ck_assert_uint_eq(reply->term, 1);
	ck_assert_uint_eq(reply->epoch, 1);
	ck_assert_uint_eq(reply->index, 6);
	ck_assert_int_ge(reply->age_us, 50000);
}
END_TEST

START_TEST(test_no_position_is_told_while_the_primary_changes)
{
	set_up(reply_normally);
	run_write();
	publish_primary(2, true);
	wait_us(5000);
	ck_assert_uint_eq(ask_own("db")->term, 0);
}
END_TEST

START_TEST(test_no_position_is_told_without_a_lease)
{
	initial_lease_us = 300000;
	set_up(reply_normally);
	run_write();
	ck_assert_uint_eq(ask_own("db")->term, 1);
	wait_us(320000);
	ck_assert_uint_eq(ask_own("db")->term, 0);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		test_read_waits_for_a_position_and_runs_on_the_near_replica,
		test_holders_beside_the_primary_are_asked_in_turn,
		test_reply_is_useless_with_epoch_of_another_row,
		test_reply_is_useless_with_term_of_another_primary,
		test_reply_is_useless_with_vm_without_a_position,
		test_reply_is_useless_with_negative_age,
		test_reply_is_useless_with_age_above_the_routes_limit,
		test_reply_is_useless_with_unknown_stamp,
		test_position_ends_with_its_primary,
		test_reads_continue_without_a_lease_until_the_samples_are_old,
		test_reads_near_a_lagging_replica_are_referred_once,
		test_read_that_accepts_no_age_uses_the_primary_at_once,
		test_replica_that_has_caught_up_is_used_again,
		test_reply_has_the_newest_sample_and_its_age,
		test_no_position_is_told_while_the_primary_changes,
		test_no_position_is_told_without_a_lease,
		NULL,
	};

	return run_tests("position", tests);
}
