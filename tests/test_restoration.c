#include "mirror_fake.h"

/*
 * Guards against a mirror that follows a store back to an older copy: it would use a primary that
 * was replaced, give a fencing token out twice, or hand an older configuration to VMs that start.
 * And against a mirror that takes such a store for the one that knows most, because this VM has
 * started, or was cut off, and knows nothing else.
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
	ERA_ROW = 6,
};

static void set_up_first_era(void)
{
	version = jh_store_version(1, 100);
	fleet_row_set(GROUP_ROW, "group/db", NEW_GROUP);
	fleet_row_set(LEADER_ROW, "lead", NEW_LEADER);
	fleet_row_set(QUOTA_ROW, "quota/slots", "{}");
	fleet_row_set(ERA_ROW, "era", "{\"era\":1}");
	set_up_three_vms();
	ck_assert_str_eq(published_group, NEW_GROUP);
}

/* The store comes back in era 2 from a copy of before the new term, and without a quota row. */
static void restore_store(void)
{
	version = jh_store_version(2, 90);
	fleet_row_set(GROUP_ROW, "group/db", OLD_GROUP);
	fleet_row_set(LEADER_ROW, "lead", OLD_LEADER);
	fleet_row_set(QUOTA_ROW, "era", "{\"era\":1}");
	fleet_row_clear(ERA_ROW);
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

/*
 * Guards against majorities of a list that went back: a VM that the restored list lacks still
 * counts as a voter, and is written back.
 */
START_TEST(test_vm_that_the_restored_list_lacks_stays_listed)
{
	set_up_first_era();
	fleet_row_clear(2);
	restore_store();
	ck_assert_uint_eq(count_events("dropped vm/"), 0);
	run_until_count("put vm/vm-3", 1);
}
END_TEST

/* Guards against two majorities: the voters of before a change come back with the store. */
START_TEST(test_voters_do_not_go_back_with_the_store)
{
	set_up_first_era();
	feed_return_row(JH_VOTERS_ROW, "{\"generation\":2,\"voters\":[\"vm-1\"]}");
	run_until_count("row voters", 2);
	restore_store();
	run_until_count("put voters", 1);
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

/* This VM starts once the store has come back in era 2 from a copy of before the new term. */
static void set_up_restored_store(void)
{
	version = jh_store_version(2, 100);
	fleet_row_set(GROUP_ROW, "group/db", OLD_GROUP);
	fleet_row_set(LEADER_ROW, "lead", OLD_LEADER);
	fleet_row_set(QUOTA_ROW, "quota/slots", "{}");
	fleet_row_set(ERA_ROW, "era", "{\"era\":1}");
	set_up_three_vms();
}

/* The store gets a row that does not concern the primary, and a feed returns it. */
static void advance_store(void)
{
	run_until_count("feed\n", 1);
	feed_return_row("quota/slots", "{}");
	run_for_us(50000);
}

/* Delivers an acknowledgement of a VM that knows of a read of the store before it was restored. */
static void deliver_ack_of_the_first_era(const char *vm, int64_t read_age_us)
{
	Jh__Frame *frame = sync_reply_new(true, version);

	frame->mirror_sync->n_verified_age_us = JH_MIRROR_TABLE_COUNT;
	frame->mirror_sync->verified_age_us = g_new0(int64_t, JH_MIRROR_TABLE_COUNT);
	frame->mirror_sync->verified_age_us[JH_MIRROR_FLEET] = read_age_us;
	jh_frame_deliver(watcher, vm, 1, frame);
}

/*
 * Guards against ONE: two of the VMs that the restored store lists were cut off when the others
 * replaced a primary without them. Their reads of that store are no proof that they know of it.
 */
START_TEST(test_reads_of_a_restored_store_do_not_keep_a_quorum)
{
	set_up_restored_store();
	advance_store();
	run_for_us(1500000);
	ck_assert_uint_ge(count_events("lease read"), 1);
	deliver_ack_of_the_first_era("vm-2", JH_QUORUM_WITHOUT_STORE_US + 100000);
	deliver_ack_of_the_first_era("vm-3", JH_QUORUM_WITHOUT_STORE_US + 100000);
	run_for_us(500000);
	ck_assert_int_le(lease_expiry_us, jh_boot_time_us());
	ck_assert_uint_eq(count_events("put era"), 0);
}
END_TEST

/* Guards against STALE and ONE: the older primary in the restored store is used (review/5, 6). */
START_TEST(test_restored_store_gives_no_lease_to_a_vm_that_starts)
{
	set_up_restored_store();
	run_for_us(1500000);
	ck_assert_uint_ge(count_events("lease read"), 1);
	ck_assert_int_eq(lease_expiry_us, 0);
	/* One of three VMs has been cut off during the change, too. */
	deliver_ack_of_the_first_era("vm-2", 500000);
	run_for_us(50000);
	ck_assert_int_eq(lease_expiry_us, 0);
	deliver_ack_of_the_first_era("vm-3", 500000);
	RUN_UNTIL(lease_expiry_us > 0);
}
END_TEST

/* The only copy that a restored store can lack no change of is one without any. */
START_TEST(test_store_without_groups_gives_a_lease)
{
	version = jh_store_version(2, 100);
	set_up_three_vms();
	RUN_UNTIL(lease_expiry_us > 0);
}
END_TEST

START_TEST(test_store_with_a_confirmed_era_gives_a_lease)
{
	version = jh_store_version(2, 100);
	fleet_row_set(GROUP_ROW, "group/db", OLD_GROUP);
	fleet_row_set(LEADER_ROW, "lead", OLD_LEADER);
	fleet_row_set(QUOTA_ROW, "era", "{\"era\":2}");
	set_up_three_vms();
	RUN_UNTIL(lease_expiry_us > 0);
}
END_TEST

/* Guards against the same by acknowledgements: that VM knows a row that this one can't know of. */
START_TEST(test_vm_of_an_earlier_era_gives_no_lease)
{
	Jh__Frame *frame;

	set_up_restored_store();
	frame = sync_reply_new(true, jh_store_version(1, 200));
	frame->mirror_sync->lasts_us = JH_LEASE_US;
	jh_frame_deliver(watcher, "vm-2", 1, frame);
	deliver_sync_reply("vm-3", true, jh_store_version(1, 200));
	run_for_us(50000);
	ck_assert_int_eq(lease_expiry_us, 0);
}
END_TEST

START_TEST(test_rows_that_another_vm_keeps_come_before_its_lease)
{
	set_up_restored_store();
	/* The row has no new version yet under which other tasks would use it. */
	deliver_sync_reply_with_kept_row("vm-2", "group/db", NEW_GROUP, version);
	run_for_us(50000);
	ck_assert_int_eq(lease_expiry_us, 0);
	ck_assert_str_eq(published_group, OLD_GROUP);
	advance_store();
	deliver_sync_reply_with_kept_row("vm-2", "group/db", NEW_GROUP, version);
	RUN_UNTIL(lease_expiry_us > 0);
	ck_assert_str_eq(published_group, NEW_GROUP);
	/* Others learn of it from this VM, which writes it back and confirms the era. */
	run_until_count("ask", count_events("ask") + 1);
	ck_assert_uint_eq(kept_rows_sent, 1);
	run_until_count("put era", 1);
	ck_assert_str_eq(stored_row("group/db"), NEW_GROUP);
	ck_assert_str_eq(stored_row("era"), "{\"era\":2}");
}
END_TEST

/*
 * Guards against an era that is confirmed while the store lacks a change: this VM has the row from
 * another one, and took it for the store's.
 */
START_TEST(test_kept_row_that_was_fetched_is_written_back)
{
	Jh__Frame *frame;
	Jh__MirrorSync *sync;
	size_t i;

	set_up_first_era();
	frame = sync_reply_new(true, jh_store_version(2, 90));
	sync = frame->mirror_sync;
	sync->with_rows = true;
	sync->lasts_us = JH_LEASE_US;
	sync->n_rows = 4;
	sync->rows = g_new0(Jh__MirrorRow *, sync->n_rows);
	/* The rows of the three VMs, and that of the group. */
	for (i = 0; i < sync->n_rows; i++)
		sync->rows[i] =
			fleet_row_copy(fleet_rows[i][0], fleet_rows[i][1], jh_store_version(2, 90));
	sync->rows[GROUP_ROW]->kept = true;
	sync->rows[GROUP_ROW]->stored_version = jh_store_version(2, 90);
	version = jh_store_version(2, 95);
	jh_frame_deliver(watcher, "vm-2", 1, frame);
	run_until_count("put group/db", 1);
}
END_TEST

/* Guards against a fleet whose starts depend on other VMs for good. */
START_TEST(test_era_is_confirmed_once_the_rows_are_written_back)
{
	set_up_first_era();
	restore_store();
	run_for_us(50000);
	ck_assert_uint_eq(count_events("put era"), 0);
	deliver_sync_reply("vm-2", true, version);
	deliver_sync_reply("vm-3", true, version);
	run_until_count("put era", 1);
	ck_assert_str_eq(stored_row("group/db"), NEW_GROUP);
	ck_assert_str_eq(stored_row("era"), "{\"era\":2}");
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		test_term_and_fence_do_not_go_back_with_the_store,
		test_rows_that_are_gone_after_a_restoration_are_dropped,
		test_vm_that_the_restored_list_lacks_stays_listed,
		test_voters_do_not_go_back_with_the_store,
		test_write_of_the_new_era_is_applied_under_a_lower_number,
		test_change_of_primary_that_the_store_forgot_goes_on,
		test_newer_configuration_is_handed_on_after_a_restoration,
		test_replicas_of_both_rows_are_kept,
		test_reads_of_a_restored_store_do_not_keep_a_quorum,
		test_restored_store_gives_no_lease_to_a_vm_that_starts,
		test_store_without_groups_gives_a_lease,
		test_store_with_a_confirmed_era_gives_a_lease,
		test_vm_of_an_earlier_era_gives_no_lease,
		test_rows_that_another_vm_keeps_come_before_its_lease,
		test_kept_row_that_was_fetched_is_written_back,
		test_era_is_confirmed_once_the_rows_are_written_back,
		NULL,
	};

	return run_tests("restoration", tests);
}
