#include "forward_fake.h"

/*
 * Guards against a statement that reaches a member, or a VM other than its entry, outside the
 * regions that its route and its team allow. The primary is in dc-2, the replica and the entry in
 * dc-1.
 */

#define DC_REGIONS "dc-1=north,dc-2=south"

/* The replica has applied the write, so that reads prefer it. */
static const char *reply_caught_up(int member, const char *line)
{
	if (strstr(line, " READ ") || strstr(line, " AFTER "))
		return "ROW abc\r\nDONE s2\r\nREADY I 1.6\r\n";
	return reply_normally(member, line);
}

static void set_up_regions(const char *of_route, const char *of_team)
{
	dc_regions = DC_REGIONS;
	route_regions = of_route;
	team_regions = of_team;
	config_teams = 1;
	set_up(reply_caught_up);
}

START_TEST(test_reads_stay_in_the_region_of_the_route)
{
	int fd;

	set_up_regions("south", NULL);
	fd = session_open("ledger");
	ASSERT_RESPONSE_HAS(fd, "QUERY id1 WRITE x d\r\n", "READY I 1.6");
	ASSERT_RESPONSE_HAS(fd, "QUERY id2 READ x\r\n", "ROW abc");
	ck_assert(strstr(received[PRIMARY_MEMBER]->str, "QUERY id2 "));
	ck_assert_str_eq(received[REPLICA_MEMBER]->str, "");
}
END_TEST

START_TEST(test_write_is_refused_at_once_if_the_primary_is_in_another_region)
{
	int64_t begin_us;
	int fd;

	set_up_regions(NULL, "north");
	fd = session_open("orders");
	begin_us = g_get_monotonic_time();
	ASSERT_RESPONSE_HAS(fd, "QUERY id1 WRITE x d\r\n", "ERR BUSY");
	/* A quarter of the target latency would be 100 ms. */
	ck_assert_int_lt(g_get_monotonic_time() - begin_us, 80000);
	ck_assert_str_eq(received[PRIMARY_MEMBER]->str, "");
}
END_TEST

/* Each of the two lists alone would allow one of the members. */
START_TEST(test_region_that_no_member_satisfies)
{
	int reads;
	int writes;

	set_up_regions("north", "south");
	reads = session_open("lookups");
	writes = session_open("orders");
	ASSERT_RESPONSE_HAS(reads, "QUERY id1 READ x\r\n", "no member is in a region");
	ASSERT_RESPONSE_HAS(writes, "QUERY id2 WRITE x d\r\n", "ERR BUSY");
	ck_assert_str_eq(received[PRIMARY_MEMBER]->str, "");
	ck_assert_str_eq(received[REPLICA_MEMBER]->str, "");
}
END_TEST

/* Return: whether the VM has an odd number, and so is in odd_dc */
static bool is_odd(const char *vm)
{
	return g_ascii_strtoull(vm + strlen("vm-"), NULL, 10) % 2 == 1;
}

START_TEST(test_text_is_forwarded_only_within_the_allowed_regions)
{
	const char *expected = NULL;
	const Jh__Statement *statement;
	unsigned i;
	int fd;

	dc_regions = DC_REGIONS;
	odd_dc = "dc-2";
	route_regions = "south";
	team_regions = "west,south";
	set_up_fleet(reply_normally);
	for (i = 0; i < ranked->len && !expected; i++) {
		if (is_odd(holder_name(i)))
			expected = holder_name(i);
	}
	ck_assert_ptr_nonnull(expected);
	fd = session_open("orders");
	caller_send(fd, "QUERY id1 WRITE x y\r\n");
	statement = take_frame(JH__FRAME__BODY_STATEMENT, expected)->statement;
	ck_assert_str_eq(statement->allowed_regions, "south");
}
END_TEST

/* The entry may run the statement itself wherever it is. */
START_TEST(test_entry_runs_the_statement_if_no_holder_is_in_an_allowed_region)
{
	int fd;

	dc_regions = DC_REGIONS;
	route_regions = "south";
	set_up_fleet(reply_normally);
	fd = session_open("orders");
	ASSERT_RESPONSE_HAS(fd, "QUERY id1 WRITE x y\r\n", "DONE");
	ck_assert_uint_eq(count_frames(JH__FRAME__BODY_STATEMENT), 0);
	ck_assert(strstr(received[PRIMARY_MEMBER]->str, "QUERY id1 WRITE x y"));
}
END_TEST

static Jh__Frame *statement_new(uint64_t id, const char *regions, uint64_t version)
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
	statement->config_version = version;
	statement->freshness = JH_FRESH_PRIMARY;
	statement->target_latency_us = 400000;
	statement->timeout_us = 1500000;
	statement->allowed_regions = jh_frame_strdup(regions);
	return frame;
}

static uint32_t run_at_holder(uint64_t id, const char *regions, uint64_t version)
{
	deliver("vm-19", statement_new(id, regions, version));
	return take_frame(JH__FRAME__BODY_STATEMENT_RESULT, "vm-19")->statement_result->code;
}

START_TEST(test_holder_keeps_to_the_regions_of_the_entry_and_of_its_own_configuration)
{
	dc_regions = DC_REGIONS;
	config_version = 5;
	team_regions = "north";
	set_up_fleet(reply_normally);
	ck_assert_uint_eq(run_at_holder(1, "north", 5), JH_CODE_BUSY);
	ck_assert_uint_eq(run_at_holder(2, ",", 5), JH_CODE_BUSY);
	/* The entry has an older configuration, without regions. */
	ck_assert_uint_eq(run_at_holder(3, NULL, 4), JH_CODE_BUSY);
	ck_assert_str_eq(received[PRIMARY_MEMBER]->str, "");
	ck_assert_uint_eq(run_at_holder(4, NULL, 5), JH_CODE_NONE);
	ck_assert_uint_eq(run_at_holder(5, "south", 5), JH_CODE_NONE);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		test_reads_stay_in_the_region_of_the_route,
		test_write_is_refused_at_once_if_the_primary_is_in_another_region,
		test_region_that_no_member_satisfies,
		test_text_is_forwarded_only_within_the_allowed_regions,
		test_entry_runs_the_statement_if_no_holder_is_in_an_allowed_region,
		test_holder_keeps_to_the_regions_of_the_entry_and_of_its_own_configuration,
		NULL,
	};

	return run_tests("gateway_regions", tests);
}
