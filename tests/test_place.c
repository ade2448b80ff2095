#include "forward_fake.h"

/*
 * Guards against statements that cross between data centres more often than needed: reads that
 * leave the data centre of a replica, writes that pass a holder far from the primary, and
 * statements that leave a VM which has the connections itself.
 */

static bool holds(const jh_holder_map_t *map, const char *vm, const char *dc)
{
	return jh_holder_map_holds_dc(map, vm, dc);
}

/* Waits for the next statement that the gateway forwards. Return: its frame is borrowed */
static sent_frame_t take_statement(void)
{
	static unsigned taken;
	int64_t until = g_get_monotonic_time() + WAIT_MAX_US;

	while (g_get_monotonic_time() < until) {
		while (taken < sent_frames->len) {
			sent_frame_t sent = g_array_index(sent_frames, sent_frame_t, taken++);

			if (sent.frame->body_case == JH__FRAME__BODY_STATEMENT)
				return sent;
		}
		run_once();
	}
	ck_abort_msg("no statement");
	return (sent_frame_t){ 0 };
}

static void reply(sent_frame_t sent, bool try_elsewhere)
{
	Jh__Frame *frame = jh_frame_new(JH__FRAME__BODY_STATEMENT_RESULT);

	frame->statement_result->id = sent.frame->statement->id;
	frame->statement_result->code = try_elsewhere ? JH_CODE_BUSY : JH_CODE_NONE;
	frame->statement_result->try_elsewhere = try_elsewhere;
	frame->statement_result->transaction = 'I';
	deliver(sent.vm, frame);
}

START_TEST(test_reads_go_to_a_holder_beside_the_nearest_replica)
{
	jh_holder_map_t *map = set_up_two_dcs(reply_normally, false);
	int fd = session_open("lookups");

	caller_send(fd, "QUERY id1 READ x\r\n");
	ck_assert(holds(map, take_statement().vm, "dc-1"));
	ck_assert_uint_eq(conn_count, 0);
	jh_holder_map_free(map);
}
END_TEST

START_TEST(test_writes_go_to_a_holder_beside_the_primary)
{
	jh_holder_map_t *map = set_up_two_dcs(reply_normally, false);
	int fd = session_open("orders");

	caller_send(fd, "QUERY id1 WRITE x y\r\n");
	ck_assert(holds(map, take_statement().vm, "dc-2"));
	ck_assert_uint_eq(conn_count, 0);
	jh_holder_map_free(map);
}
END_TEST

/* Only the primary can run a read that must be as new as possible. */
START_TEST(test_reads_that_accept_no_age_go_to_a_holder_beside_the_primary)
{
	jh_holder_map_t *map;
	int fd;

	config_max_age_us = 0;
	map = set_up_two_dcs(reply_normally, false);
	fd = session_open("lookups");
	caller_send(fd, "QUERY id1 READ x\r\n");
	ck_assert(holds(map, take_statement().vm, "dc-2"));
	jh_holder_map_free(map);
}
END_TEST

START_TEST(test_holder_that_is_the_entry_runs_reads_and_forwards_writes)
{
	jh_holder_map_t *map = set_up_two_dcs(reply_normally, true);
	int fd = session_open("lookups");

	ASSERT_RESPONSE_HAS(fd, "QUERY id1 READ x\r\n", "ROW abc");
	ck_assert_uint_eq(count_frames(JH__FRAME__BODY_STATEMENT), 0);
	fd = session_open("orders");
	caller_send(fd, "QUERY id2 WRITE x y\r\n");
	ck_assert(holds(map, take_statement().vm, "dc-2"));
	jh_holder_map_free(map);
}
END_TEST

START_TEST(test_read_is_tried_at_both_holders_then_in_the_next_data_centre)
{
	jh_holder_map_t *map = set_up_two_dcs(reply_normally, false);
	int fd = session_open("lookups");
	sent_frame_t first;
	sent_frame_t second;

	caller_send(fd, "QUERY id1 READ x\r\n");
	first = take_statement();
	reply(first, true);
	second = take_statement();
	ck_assert(holds(map, second.vm, "dc-1"));
	ck_assert_str_ne(first.vm, second.vm);
	reply(second, true);
	ck_assert(holds(map, take_statement().vm, "dc-2"));
	jh_holder_map_free(map);
}
END_TEST

static void refer(sent_frame_t sent)
{
	Jh__Frame *frame = jh_frame_new(JH__FRAME__BODY_STATEMENT_RESULT);

	frame->statement_result->id = sent.frame->statement->id;
	frame->statement_result->code = JH_CODE_BUSY;
	frame->statement_result->try_elsewhere = true;
	frame->statement_result->for_group = true;
	frame->statement_result->dc_unfit = true;
	frame->statement_result->transaction = 'I';
	deliver(sent.vm, frame);
}

/* A replica that receives nothing: reads leave its data centre after one referral. */
START_TEST(test_referred_read_and_later_ones_go_to_the_next_data_centre)
{
	jh_holder_map_t *map = set_up_two_dcs(reply_normally, false);
	int fd = session_open("lookups");
	sent_frame_t sent;

	caller_send(fd, "QUERY id1 READ x\r\n");
	sent = take_statement();
	ck_assert(sent.frame->statement->may_refer);
	refer(sent);
	sent = take_statement();
	ck_assert(holds(map, sent.vm, "dc-2"));
	ck_assert(!sent.frame->statement->may_refer);
	fd = session_open("lookups");
	caller_send(fd, "QUERY id2 READ x\r\n");
	ck_assert(holds(map, take_statement().vm, "dc-2"));
	jh_holder_map_free(map);
}
END_TEST

/* Few VMs hold many groups: the others must not lose them with the primary of one. */
START_TEST(test_holder_that_is_unable_for_one_group_keeps_the_others)
{
	_jh_gw_group_t first = { .name = "db" };
	_jh_gw_group_t second = { .name = "db2" };

	_jh_place_mark_unable(&first, "vm-2");
	ck_assert(_jh_place_is_unable(&first, "vm-2"));
	ck_assert(!_jh_place_is_unable(&first, "vm-3"));
	ck_assert(!_jh_place_is_unable(&second, "vm-2"));
	g_hash_table_destroy(first.unable);
}
END_TEST

static const char *reply_to_start_only(int member, const char *line)
{
	return g_str_has_prefix(line, "START ") ? reply_normally(member, line) : NULL;
}

static Jh__Frame *write_new(uint64_t id, bool may_refer)
{
	Jh__Frame *frame = jh_frame_new(JH__FRAME__BODY_STATEMENT);
	Jh__Statement *statement = frame->statement;

	statement->id = id;
	statement->operation = id;
	statement->type = JH_STATEMENT_WRITE;
	statement->team = jh_frame_strdup("team-1");
	statement->group = jh_frame_strdup("db");
	statement->route = jh_frame_strdup("orders");
	statement->key = jh_frame_strdup("key-1");
	statement->request_id = jh_frame_strdup("id1");
	statement->text = jh_frame_bytes("WRITE x y", strlen("WRITE x y"));
	statement->config_version = 1;
	statement->freshness = JH_FRESH_PRIMARY;
	statement->target_latency_us = 4000000;
	statement->timeout_us = 8000000;
	statement->may_refer = may_refer;
	return frame;
}

/*
 * The primary moved away while writes waited at this holder, which has one connection to it: they
 * return to their entries unrun, except those that were sent back before.
 */
START_TEST(test_writes_that_wait_far_from_the_primary_are_handed_on)
{
	jh_holder_map_t *map = set_up_two_dcs(reply_to_start_only, true);
	const Jh__StatementResult *result;

	publish_primary(2, true);
	wait_us(5000);
	deliver("vm-19", write_new(1, true));
	deliver("vm-19", write_new(2, true));
	deliver("vm-19", write_new(3, false));
	wait_us(50000);
	ck_assert_uint_eq(count_frames(JH__FRAME__BODY_STATEMENT_RESULT), 0);
	publish_primary(3, false);
	result = take_frame(JH__FRAME__BODY_STATEMENT_RESULT, "vm-19")->statement_result;
	ck_assert_uint_eq(result->id, 2);
	ck_assert(result->try_elsewhere && result->for_group && !result->dc_unfit);
	wait_us(50000);
	ck_assert_uint_eq(count_frames(JH__FRAME__BODY_STATEMENT_RESULT), 1);
	ck_assert_uint_eq(conn_count, 1);
	jh_holder_map_free(map);
}
END_TEST

/* Three holders cannot reach the primary: the statement waits at its entry for the next primary. */
START_TEST(test_write_is_forwarded_again_after_a_change_of_primary)
{
	jh_holder_map_t *map = set_up_two_dcs(reply_normally, false);
	int fd = session_open("orders");
	sent_frame_t sent;
	unsigned i;

	publish_primary(2, true);
	/* A statement waits for a change that is expected to end in its time. */
	wait_us(700000);
	caller_send(fd, "QUERY id1 WRITE x y\r\n");
	for (i = 0; i < JH_HOLDER_MAX_TRIES; i++)
		reply(take_statement(), true);
	wait_us(30000);
	ck_assert_uint_eq(count_frames(JH__FRAME__BODY_STATEMENT), JH_HOLDER_MAX_TRIES);
	ck_assert_uint_eq(conn_count, 0);
	publish_primary(3, false);
	sent = take_statement();
	ck_assert(sent.frame->statement->may_refer);
	ck_assert_uint_eq(conn_count, 0);
	jh_holder_map_free(map);
}
END_TEST

/* The replica leaves: no read may go to its data centre any more. */
START_TEST(test_reads_leave_a_data_centre_without_a_usable_member)
{
	jh_holder_map_t *map = set_up_two_dcs(reply_normally, false);
	int fd = session_open("lookups");

	publish_member_state(REPLICA_MEMBER, jh_boot_time_us());
	wait_us(5000);
	caller_send(fd, "QUERY id1 READ x\r\n");
	ck_assert(holds(map, take_statement().vm, "dc-2"));
	jh_holder_map_free(map);
}
END_TEST

/* A member in a data centre with fewer VMs than needed: the earlier rule names the holders. */
START_TEST(test_fleet_that_shrinks_returns_to_the_earlier_rule)
{
	jh_holder_map_t *map = set_up_two_dcs(reply_normally, false);
	int fd = session_open("orders");

	has_two_dcs = false;
	g_ptr_array_free(ranked, TRUE);
	publish_vms();
	wait_us(5000);
	caller_send(fd, "QUERY id1 WRITE x y\r\n");
	ck_assert(g_ptr_array_find(ranked, take_statement().vm, NULL));
	jh_holder_map_free(map);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		test_reads_go_to_a_holder_beside_the_nearest_replica,
		test_writes_go_to_a_holder_beside_the_primary,
		test_reads_that_accept_no_age_go_to_a_holder_beside_the_primary,
		test_holder_that_is_the_entry_runs_reads_and_forwards_writes,
		test_read_is_tried_at_both_holders_then_in_the_next_data_centre,
		test_referred_read_and_later_ones_go_to_the_next_data_centre,
		test_holder_that_is_unable_for_one_group_keeps_the_others,
		test_writes_that_wait_far_from_the_primary_are_handed_on,
		test_write_is_forwarded_again_after_a_change_of_primary,
		test_reads_leave_a_data_centre_without_a_usable_member,
		test_fleet_that_shrinks_returns_to_the_earlier_rule,
		NULL,
	};

	return run_tests("place", tests);
}
