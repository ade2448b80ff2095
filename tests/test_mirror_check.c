#include "mirror_fake.h"

/*
 * Guards against a VM that serves by rows that are out of date because the store has forgotten the
 * feeds that wait there.
 */

/*
 * Guards against DRAIN and CONFIG: the store drops the feed of the members' table and no VM is
 * told. A member that left was used until the feed timed out.
 */
START_TEST(test_change_is_found_though_the_store_forgot_the_feed)
{
	set_up_three_vms();
	/* The fake store never responds to feeds of this table. */
	version++;
	member_text = "{}";
	run_until_count("row m-1", 1);
}
END_TEST

/* The feed of the members' table waits at the store, which has forgotten it, and is sent anew. */
START_TEST(test_feed_that_missed_a_change_is_ended)
{
	set_up_three_vms();
	version++;
	member_text = "{}";
	run_until_count("end feed 1\n", 1);
	ck_assert_uint_ge(count_events("row m-1"), 1);
}
END_TEST

/* Another VM has sent a row that this VM's feed should have returned. */
START_TEST(test_feed_that_missed_a_row_of_another_vm_is_ended)
{
	set_up_three_vms();
	version += 5;
	deliver_sync_reply_with_row("vm-2", "group/db", version);
	run_until_count("end feed 2\n", 1);
}
END_TEST

/* The scan that must follow waited for a feed that the store had forgotten. */
START_TEST(test_lost_history_ends_the_feed_and_begins_a_scan)
{
	unsigned scans;

	set_up_three_vms();
	scans = count_events("scan\n");
	loses_history = true;
	run_until_count("end feed 1\n", 1);
	loses_history = false;
	run_until_count("scan\n", scans + 1);
}
END_TEST

/* A reply of a VM whose copies were current when it sent the reply. */
static void deliver_verified_reply(const char *vm)
{
	Jh__Frame *frame = sync_reply_new(true, version);
	Jh__MirrorSync *sync = frame->mirror_sync;
	unsigned i;

	sync->n_verified_age_us = JH_MIRROR_TABLE_COUNT;
	sync->verified_age_us = g_new0(int64_t, JH_MIRROR_TABLE_COUNT);
	for (i = 0; i < JH_MIRROR_TABLE_COUNT; i++)
		sync->verified_age_us[i] = 1;
	jh_frame_deliver(watcher, vm, 1, frame);
}

/* The store's calls grow with the VMs if each of them checks each table. */
START_TEST(test_table_that_another_vm_has_checked_is_not_checked)
{
	int64_t begin_us;
	int64_t gap_us = 0;
	unsigned i;

	set_up_three_vms();
	deliver_verified_reply("vm-2");
	run_for_us(20000);
	begin_us = jh_boot_time_us();
	for (i = 0; i < 30; i++) {
		int64_t before_us = jh_boot_time_us();

		deliver_verified_reply("vm-2");
		run_for_us(100000);
		gap_us = MAX(gap_us, jh_boot_time_us() - before_us);
	}
	ck_assert_int_ge(jh_boot_time_us() - begin_us, 3000000);
	/* A machine that paused this process for longer lets a table become due. */
	if (gap_us < 500000)
		ck_assert_uint_eq(count_events("check members"), 0);
}
END_TEST

/* A VM whose copy is older than the one that was checked does not take that check for its own. */
START_TEST(test_check_of_newer_rows_counts_after_they_have_arrived)
{
	Jh__Frame *frame;
	unsigned i;

	set_up_three_vms();
	for (i = 0; i < 15; i++) {
		frame = sync_reply_new(true, version + 1);
		frame->mirror_sync->n_verified_age_us = JH_MIRROR_TABLE_COUNT;
		frame->mirror_sync->verified_age_us = g_new0(int64_t, JH_MIRROR_TABLE_COUNT);
		frame->mirror_sync->verified_age_us[JH_MIRROR_MEMBERS] = 1;
		jh_frame_deliver(watcher, "vm-2", 1, frame);
		run_for_us(100000);
	}
	run_until_count("check members", 1);
}
END_TEST

/* A member that leaves is used for a time that begins when its row may have changed. */
START_TEST(test_row_tells_after_which_time_it_changed)
{
	int64_t before_us;

	set_up_three_vms();
	/* Tables are not known to be current before their first scan. */
	ck_assert_int_eq(row_changed_after_us, INT64_MIN);
	before_us = jh_boot_time_us();
	deliver_verified_reply("vm-2");
	run_for_us(20000);
	version++;
	member_text = "{}";
	run_until_count("row m-1", 1);
	ck_assert_int_ge(row_changed_after_us, before_us - 1);
	ck_assert_int_le(row_changed_after_us, jh_boot_time_us());
}
END_TEST

/* A reply that does not say when its VM's copies were current proves nothing about them. */
START_TEST(test_reply_without_times_proves_nothing)
{
	fleet_row_set(0, "vm/vm-2", "{}");
	set_up();
	/* It arrives before the first scan. */
	deliver_sync_reply("vm-2", true, 0);
	run_until_count("row vm/vm-2", 1);
	ck_assert_int_eq(row_changed_after_us, INT64_MIN);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		test_change_is_found_though_the_store_forgot_the_feed,
		test_feed_that_missed_a_change_is_ended,
		test_feed_that_missed_a_row_of_another_vm_is_ended,
		test_lost_history_ends_the_feed_and_begins_a_scan,
		test_table_that_another_vm_has_checked_is_not_checked,
		test_check_of_newer_rows_counts_after_they_have_arrived,
		test_row_tells_after_which_time_it_changed,
		test_reply_without_times_proves_nothing,
		NULL,
	};

	return run_tests("mirror_check", tests);
}
