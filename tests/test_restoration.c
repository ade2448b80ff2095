#include "mirror_fake.h"

/*
 * Guards against a mirror that follows a store back to an older copy: it would use a primary that
 * was replaced, give a fencing token out twice, or hand an older configuration to VMs that start.
 */

#define OLD_GROUP "{\"primary\":\"m-1\",\"term\":2,\"changing\":false}"
#define NEW_GROUP "{\"primary\":\"m-2\",\"term\":3,\"changing\":false}"
#define OLD_LEADER "{\"vm\":\"vm-2\",\"boot\":1,\"fence\":6}"
#define NEW_LEADER "{\"vm\":\"vm-3\",\"boot\":1,\"fence\":7}"

/* Index in fleet_rows. */
enum {
	GROUP_ROW = 3,
	LEADER_ROW = 4,
	QUOTA_ROW = 5,
};

static void set_up_first_era(void)
{
	version = jh_store_version(1, 100);
	fleet_row_set(GROUP_ROW, "group/db", NEW_GROUP);
	fleet_row_set(LEADER_ROW, "lead", NEW_LEADER);
	fleet_row_set(QUOTA_ROW, "quota/slots", "{}");
	set_up_three_vms();
	ck_assert_str_eq(published_group, NEW_GROUP);
}

/* The store comes back in era 2 from a copy of before the new term, and without a quota row. */
static void restore_store(void)
{
	version = jh_store_version(2, 90);
	fleet_row_set(GROUP_ROW, "group/db", OLD_GROUP);
	fleet_row_set(LEADER_ROW, "lead", OLD_LEADER);
	fleet_row_clear(QUOTA_ROW);
	g_string_truncate(events, 0);
	feed_lose_history();
	run_until_count("scan\n", 1);
	run_until_count("row group/db", 1);
}

START_TEST(test_term_and_fence_do_not_go_back_with_the_store)
{
	set_up_first_era();
	writes_complete_feed = true;
	restore_store();
	ck_assert_str_eq(published_group, NEW_GROUP);
	/* Its version is the new era's, on which the leader makes its writes conditional. */
	ck_assert_uint_eq(count_events("row group/db"), 1);
	/* vm-1 is a voter: it writes the rows back. */
	run_until_count("put ", 1);
	ck_assert(strstr(events->str, "put group/db") || strstr(events->str, "put lead"));
}
END_TEST

START_TEST(test_rows_that_are_gone_after_a_restoration_are_dropped)
{
	set_up_first_era();
	restore_store();
	ck_assert_uint_eq(count_events("dropped quota/slots"), 1);
	ck_assert_uint_eq(count_events("dropped"), 1);
}
END_TEST

/* A number that was given out again stands for another row. */
START_TEST(test_write_of_the_new_era_is_applied_under_a_lower_number)
{
	set_up_first_era();
	restore_store();
	run_until_count("feed\n", 1);
	g_string_truncate(events, 0);
	version = jh_store_version(2, 95);
	feed_complete("group/db", "{\"primary\":\"m-3\",\"term\":4,\"changing\":false}");
	run_until_count("row group/db", 1);
	ck_assert_ptr_nonnull(strstr(published_group, "m-3"));
}
END_TEST

/* A change that was under way is still under way: its old primary must not be used again. */
START_TEST(test_change_of_primary_that_the_store_forgot_goes_on)
{
	version = jh_store_version(1, 100);
	fleet_row_set(GROUP_ROW, "group/db", "{\"primary\":\"m-1\",\"term\":2,\"changing\":true}");
	fleet_row_set(LEADER_ROW, "lead", NEW_LEADER);
	set_up_three_vms();
	restore_store();
	ck_assert_ptr_nonnull(strstr(published_group, "\"changing\":true"));
}
END_TEST

/* A VM that starts reads the older configuration from the store and the newer one from others. */
START_TEST(test_newer_configuration_is_handed_on_after_a_restoration)
{
	Jh__Frame *frame;

	config_text = "{\"version\":11,\"routes\":[]}";
	set_up_first_era();
	config_text = "{\"version\":7,\"routes\":[]}";
	restore_store();
	/* The configuration's own feed ends too. */
	frame = sync_reply_new(true, version);
	frame->mirror_sync->with_rows = true;
	frame->mirror_sync->versions[JH_MIRROR_CONFIG] = version;
	frame->mirror_sync->n_rows = 1;
	frame->mirror_sync->rows = g_new0(Jh__MirrorRow *, 1);
	frame->mirror_sync->rows[0] = g_new0(Jh__MirrorRow, 1);
	jh__mirror_row__init(frame->mirror_sync->rows[0]);
	frame->mirror_sync->rows[0]->table = JH_MIRROR_CONFIG;
	frame->mirror_sync->rows[0]->name = jh_frame_strdup("config");
	frame->mirror_sync->rows[0]->version = version;
	frame->mirror_sync->rows[0]->body.len = strlen(config_text);
	frame->mirror_sync->rows[0]->body.data = g_memdup2(config_text, strlen(config_text));
	jh_frame_deliver(watcher, "vm-2", 1, frame);
	run_for_us(50000);
	frame = sync_reply_new(true, version);
	frame->mirror_sync->is_reply = false;
	frame->mirror_sync->with_rows = true;
	g_clear_pointer(&sent_row, mirror_row_free);
	jh_frame_deliver(watcher, "vm-3", 1, frame);
	RUN_UNTIL(sent_row);
	ck_assert_ptr_nonnull(sent_row);
	ck_assert_str_eq(sent_row->name, "config");
	ck_assert_uint_eq(sent_row->version, version);
	ck_assert_ptr_nonnull(
		g_strstr_len((const char *)sent_row->body.data, (gssize)sent_row->body.len, "11"));
}
END_TEST

#define REPLICA(id) "{\"id\":\"" id "\",\"born\":1,\"host\":\"h\",\"port\":1,\"dc\":\"dc-2\"}"

/* Return: the body of a row of the fleet's table that the fake store has; NULL if it has none */
static const char *stored_row(const char *name)
{
	unsigned i;

	for (i = 0; i < G_N_ELEMENTS(fleet_rows) && fleet_rows[i][0]; i++) {
		if (g_str_equal(fleet_rows[i][0], name))
			return fleet_rows[i][1];
	}
	return NULL;
}

/* Guards against LOST: a replica that was recorded after the copy was made is forgotten. */
START_TEST(test_replicas_of_both_rows_are_kept)
{
	version = jh_store_version(1, 100);
	fleet_row_set(GROUP_ROW, "replicas/db",
		      "{\"replicas\":[" REPLICA("m-1") "," REPLICA("m-3") "]}");
	set_up_three_vms();
	version = jh_store_version(2, 90);
	fleet_row_set(GROUP_ROW, "replicas/db",
		      "{\"replicas\":[" REPLICA("m-1") "," REPLICA("m-2") "]}");
	g_string_truncate(events, 0);
	feed_lose_history();
	run_until_count("put replicas/db", 1);
	ck_assert_ptr_nonnull(strstr(stored_row("replicas/db"), "m-1"));
	ck_assert_ptr_nonnull(strstr(stored_row("replicas/db"), "m-2"));
	ck_assert_ptr_nonnull(strstr(stored_row("replicas/db"), "m-3"));
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		test_term_and_fence_do_not_go_back_with_the_store,
		test_rows_that_are_gone_after_a_restoration_are_dropped,
		test_write_of_the_new_era_is_applied_under_a_lower_number,
		test_change_of_primary_that_the_store_forgot_goes_on,
		test_newer_configuration_is_handed_on_after_a_restoration,
		test_replicas_of_both_rows_are_kept,
		NULL,
	};

	return run_tests("restoration", tests);
}
