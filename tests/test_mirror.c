#include "mirror_fake.h"

/*
 * Guards against a mirror that acknowledges or reports a version of which it lacks rows, so that a
 * VM could use a replaced primary. This comes about if an own write overtakes earlier rows, an ack
 * arrives before its rows, or a restarted VM has lost rows.
 */

START_TEST(test_vm_registers_itself_and_gets_a_lease)
{
	set_up();
	run_until_count("put vm/vm-1", 1);
	run_for_us(1500000);
	ck_assert_uint_eq(count_events("put vm/vm-1"), 1);
	ck_assert_int_gt(lease_expiry_us, jh_boot_time_us());
}
END_TEST

/*
 * Guards against STALE: a VM that uses primaries before it is listed is not asked by the leader
 * that replaces one.
 */
START_TEST(test_vm_has_no_lease_before_it_is_listed)
{
	refuses_writes = true;
	set_up();
	run_until_count("refuse", 1);
	run_for_us(600000);
	ck_assert_int_eq(lease_expiry_us, 0);
	refuses_writes = false;
	RUN_UNTIL(lease_expiry_us > 0);
}
END_TEST

/*
 * A row of the first page changes before the second one is read. The feed must return that change,
 * so it starts at the version of the first page.
 */
START_TEST(test_change_between_two_pages_of_a_scan_is_not_lost)
{
	change_between_pages = true;
	fleet_row_set(
		0, "vm/vm-1",
		"{\"name\":\"vm-1\",\"dc\":\"dc-1\",\"host\":\"127.0.0.1\",\"port\":7000,\"weight\":1}");
	set_up();
	run_until_count("feed\n", 1);
	ck_assert_uint_eq(feed_after_version, 10);
	ck_assert_uint_eq(version, 11);
}
END_TEST

/* Names enough VMs for a fleet in which vm-1 is no voter. */
static void set_up_non_voter(void)
{
	unsigned i;

	for (i = 0; i < G_N_ELEMENTS(fleet_rows); i++) {
		char *name = g_strdup_printf("vm/vm-%u", i + 1);

		fleet_row_set(i, name,
			      i > 0 ? "{}" :
				      "{\"name\":\"vm-1\",\"dc\":\"dc-1\",\"host\":"
				      "\"127.0.0.1\",\"port\":7000,\"weight\":1}");
		g_free(name);
	}
	set_up();
	run_until_count("row vm/vm-40", 1);
	run_for_us(100000);
}

START_TEST(test_lease_is_renewed_from_the_store_if_no_voter_replies)
{
	set_up_non_voter();
	run_for_us(3000000);
	ck_assert_int_gt(lease_expiry_us, jh_boot_time_us());
	ck_assert_uint_ge(count_events("lease read"), 2);
}
END_TEST

/*
 * A VM that was removed from the VM list while it was isolated must register again. When it did
 * not, it had no quota from then on.
 */
START_TEST(test_removed_vm_registers_again)
{
	writes_complete_feed = true;
	set_up();
	run_until_count("put vm/vm-1", 1);
	run_for_us(200000);
	fleet_row_clear(0);
	feed_return_row("vm/vm-1", NULL);
	run_until_count("dropped vm/vm-1", 1);
	run_until_count("put vm/vm-1", 2);
	run_until_count("row vm/vm-1", 2);
}
END_TEST

START_TEST(test_unchanged_own_row_is_not_written_again)
{
	fleet_row_set(
		0, "vm/vm-1",
		"{\"name\":\"vm-1\",\"dc\":\"dc-1\",\"host\":\"127.0.0.1\",\"port\":7000,\"weight\":1}");
	set_up();
	run_until_count("row vm/vm-1", 1);
	run_for_us(500000);
	ck_assert_uint_eq(count_events("put"), 0);
}
END_TEST

START_TEST(test_older_row_version_is_ignored)
{
	set_up();
	run_until_count("put vm/vm-1", 1);
	run_for_us(200000);
	feed_return_row("group/db", "new");
	run_until_count("row group/db", 1);
	version -= 2;
	feed_return_row("group/db", "old");
	run_for_us(300000);
	ck_assert_uint_eq(count_events("row group/db"), 1);
}
END_TEST

/* A restarted VM may have lost a change that it had acknowledged, so it must not acknowledge. */
START_TEST(test_only_vms_that_had_a_lease_acknowledge)
{
	int64_t old_expiry_us;

	set_up_three_vms();
	old_expiry_us = lease_expiry_us;
	ck_assert_int_gt(old_expiry_us, 0);
	deliver_sync_reply("vm-2", false, 0);
	run_for_us(50000);
	ck_assert_int_eq(lease_expiry_us, old_expiry_us);
	deliver_sync_reply("vm-2", true, 0);
	run_for_us(50000);
	ck_assert_int_gt(lease_expiry_us, old_expiry_us);
}
END_TEST

/*
 * The rows of a change are requested from one VM only. When every voter sent them, they filled the
 * network links of small VMs.
 */
START_TEST(test_rows_are_fetched_from_one_vm)
{
	set_up_three_vms();
	deliver_sync_reply("vm-2", true, version + 1);
	deliver_sync_reply("vm-3", true, version + 1);
	run_until_count("fetch", 1);
	run_for_us(50000);
	ck_assert_uint_eq(count_events("fetch"), 1);
	run_until_count("ask vm-3", 2);
	/* vm-2 does not reply: after half a lease the rows are requested from vm-3. */
	run_for_us(JH_LEASE_US / 2);
	deliver_sync_reply("vm-3", true, version + 1);
	run_until_count("fetch vm-3", 1);
}
END_TEST

START_TEST(test_higher_version_during_a_fetch_is_fetched_next)
{
	set_up_three_vms();
	deliver_sync_reply("vm-2", true, version + 1);
	run_until_count("fetch vm-2", 1);
	deliver_sync_reply("vm-3", true, version + 2);
	deliver_sync_reply_with_row("vm-2", "group/db", version + 1);
	run_until_count("fetch vm-3", 1);
}
END_TEST

/* An ack counts once this mirror has every row version that the other VM had. */
START_TEST(test_ack_of_newer_versions_counts_after_their_rows)
{
	int64_t old_expiry_us;

	set_up_three_vms();
	old_expiry_us = lease_expiry_us;
	deliver_sync_reply("vm-2", true, version + 1);
	run_for_us(50000);
	ck_assert_int_eq(lease_expiry_us, old_expiry_us);
	deliver_sync_reply_with_row("vm-3", "group/db", version + 1);
	run_until_count("row group/db", 1);
	run_for_us(50000);
	ck_assert_int_gt(lease_expiry_us, old_expiry_us);
}
END_TEST

/*
 * A VM's own write must not raise its table's version past rows that it lacks. When it did, the VM
 * reported to others a version whose rows it lacked, and no VM requested them again: half of the
 * VMs never received the row of a group's primary.
 */
START_TEST(test_own_write_does_not_hide_earlier_rows)
{
	GBytes *body = g_bytes_new_static("{}", 2);
	uint64_t fleet_version;

	set_up_three_vms();
	fleet_version = version;
	/* Between two feeds, another VM writes a row and then this VM writes one. */
	feed_return_row("group/other", "{}");
	fleet_version++;
	run_until_count("row group/other", 1);
	g_string_truncate(events, 0);
	version += 2;
	jh_platform_send(watcher, JH_PLATFORM_PUT_ROW, "quota", "slots", 0, body, 1);
	g_bytes_unref(body);
	run_until_count("row quota/slots", 1);
	run_until_count("feed", 1);
	ck_assert_uint_eq(feed_after_version, fleet_version);
	ck_assert_uint_eq(count_events("ask vm-2"), 0);
	version -= 2;
	feed_return_row("group/db", "{}");
	run_until_count("row group/db", 1);
}
END_TEST

/* A VM waiting for acks of its write requests them once its version includes the write. */
START_TEST(test_sync_follows_own_write_and_earlier_rows)
{
	GBytes *body = g_bytes_new_static("{}", 2);

	set_up_three_vms();
	version += 2;
	g_string_truncate(events, 0);
	jh_platform_send(watcher, JH_PLATFORM_PUT_ROW, "quota", "slots", 0, body, 1);
	g_bytes_unref(body);
	run_until_count("row quota/slots", 1);
	version--;
	feed_return_row("group/db", "{}");
	run_until_count("ask vm-3", 1);
	run_for_us(20000);
	ck_assert_uint_eq(count_events("row"), 2);
}
END_TEST

/*
 * The leader counts itself among the VMs that have applied its change. Until its feed has returned
 * every earlier change, its versions do not include the change, so it must not acknowledge to
 * others.
 */
START_TEST(test_no_ack_while_own_write_is_ahead)
{
	GBytes *body = g_bytes_new_static("{}", 2);
	Jh__Frame *request;

	set_up_three_vms();
	request = sync_reply_new(true, version);
	request->mirror_sync->is_reply = false;
	jh_frame_deliver(watcher, "vm-2", 1, request);
	run_until_count("reply confirms=1 lasts=1", 1);
	version += 2;
	jh_platform_send(watcher, JH_PLATFORM_PUT_ROW, "group", "db", 0, body, 1);
	g_bytes_unref(body);
	run_until_count("row group/db", 1);
	request = sync_reply_new(true, version - 2);
	request->mirror_sync->is_reply = false;
	jh_frame_deliver(watcher, "vm-2", 1, request);
	run_until_count("reply confirms=0 lasts=0", 1);
}
END_TEST

/*
 * A new leader that had been isolated removed VMs from the list, and was a quorum by that alone. A
 * removal must wait until the leader's mirror has the earlier changes.
 */
START_TEST(test_own_removal_of_vms_waits_for_earlier_rows)
{
	GPtrArray *writes = jh_store_writes_new();

	set_up_three_vms();
	g_string_truncate(events, 0);
	version += 2;
	jh_store_write_add(writes, JH_STORE_DELETE, "vm/vm-3", JH_STORE_ANY_VERSION, NULL);
	jh_platform_commit(watcher, "fleet", writes, 1);
	run_until_count("put vm/vm-3", 1);
	run_for_us(50000);
	ck_assert_uint_eq(count_events("dropped"), 0);
	feed_return_row("vm/vm-3", NULL);
	run_until_count("dropped vm/vm-3", 1);
}
END_TEST

/*
 * Guards against a VM that counts as having a change of primary that it lacks: it fetches rows
 * while the sender's own newer write has replaced that of the change, and took the table's version
 * for its own.
 */
START_TEST(test_rows_beside_an_own_write_do_not_raise_the_version)
{
	GPtrArray *writes = jh_store_writes_new();
	uint64_t earlier_version;
	Jh__Frame *frame;

	set_up_three_vms();
	earlier_version = version;
	feed_return_row("group/db", "{\"changing\":true}");
	run_until_count("row group/db", 1);
	jh_store_write_add(writes, JH_STORE_PUT, "group/db", JH_STORE_ANY_VERSION, "{}");
	jh_platform_commit(watcher, "fleet", writes, 1);
	run_until_count("row group/db", 2);
	frame = sync_reply_new(true, earlier_version);
	frame->mirror_sync->is_reply = false;
	frame->mirror_sync->with_rows = true;
	jh_frame_deliver(watcher, "vm-2", 1, frame);
	RUN_UNTIL(sent_fleet_version > 0);
	ck_assert_uint_eq(sent_fleet_version, earlier_version);
}
END_TEST

static char *long_text_new(void)
{
	char *padding = g_strnfill(20000, 'x');
	char *text = g_strdup_printf("{\"a\":\"%s\"}", padding);

	g_free(padding);
	return text;
}

static void ask_for_rows(bool accepts_compressed)
{
	Jh__Frame *frame = sync_reply_new(true, 0);

	frame->mirror_sync->is_reply = false;
	frame->mirror_sync->with_rows = true;
	frame->mirror_sync->accepts_compressed = accepts_compressed;
	sent_row_bytes = 0;
	jh_frame_deliver(watcher, "vm-2", 1, frame);
	run_for_us(20000);
}

/* Load: a configuration of many routes that each of many VMs fetches from another VM. */
START_TEST(test_long_row_is_sent_compressed_to_vms_that_accept_it)
{
	char *text = long_text_new();

	fleet_row_set(3, "group/db", text);
	set_up_three_vms();
	ask_for_rows(true);
	ck_assert_uint_eq(sent_row_uncompressed_bytes, strlen(text));
	ck_assert_uint_lt(sent_row_bytes, strlen(text) / 10);
	ask_for_rows(false);
	ck_assert_uint_eq(sent_row_uncompressed_bytes, 0);
	ck_assert_uint_eq(sent_row_bytes, strlen(text));
	g_free(text);
}
END_TEST

static void deliver_compressed_row(const char *name, size_t uncompressed_bytes)
{
	char *text = long_text_new();
	GBytes *value = g_bytes_new_take(text, strlen(text));
	GBytes *compressed = jh_compress(value);
	Jh__Frame *frame = sync_reply_new(true, version + 5);
	Jh__MirrorRow *row = g_new0(Jh__MirrorRow, 1);

	frame->mirror_sync->with_rows = true;
	frame->mirror_sync->n_rows = 1;
	frame->mirror_sync->rows = g_new0(Jh__MirrorRow *, 1);
	frame->mirror_sync->rows[0] = row;
	jh__mirror_row__init(row);
	row->table = JH_MIRROR_FLEET;
	row->name = jh_frame_strdup(name);
	row->version = version + 5;
	row->uncompressed_bytes =
		(uint32_t)(uncompressed_bytes ? uncompressed_bytes : g_bytes_get_size(value));
	row->body.len = g_bytes_get_size(compressed);
	row->body.data = g_memdup2(g_bytes_get_data(compressed, NULL), row->body.len);
	jh_frame_deliver(watcher, "vm-2", 1, frame);
	run_for_us(20000);
	g_bytes_unref(value);
	g_bytes_unref(compressed);
}

/* A row that cannot be restored is not there: its version must not be reported as applied. */
START_TEST(test_malformed_compressed_row_is_not_applied)
{
	set_up_three_vms();
	deliver_compressed_row("group/bad", 7);
	ck_assert_uint_eq(count_events("row group/bad"), 0);
	deliver_compressed_row("group/good", 0);
	ck_assert_uint_eq(count_events("row group/good"), 1);
}
END_TEST

/* Names the VMs of a large fleet, every fourth one in the data centre of vm-1. */
static void set_up_near_voters(void)
{
	unsigned i;

	for (i = 0; i < G_N_ELEMENTS(fleet_rows); i++) {
		char *name = g_strdup_printf("vm/vm-%u", i + 1);
		char *body = g_strdup_printf("{\"name\":\"vm-%u\",\"dc\":\"dc-%u\",\"host\":"
					     "\"127.0.0.1\",\"port\":7000,\"weight\":1}",
					     i + 1, i % 4 + 1);

		fleet_row_set(i, name, body);
		g_free(name);
		g_free(body);
	}
	set_up();
	run_until_count("row vm/vm-40", 1);
	run_for_us(100000);
}

static unsigned count_asks(bool near)
{
	unsigned count = 0;
	unsigned i;

	for (i = 0; i < G_N_ELEMENTS(fleet_rows); i++) {
		char *event = g_strdup_printf("ask vm-%u\n", i + 1);

		if ((i % 4 == 0) == near)
			count += count_events(event);
		g_free(event);
	}
	return count;
}

/* Load: many VMs in several data centres, whose requests and rows cross between these. */
START_TEST(test_shared_lease_is_requested_in_the_own_data_centre)
{
	unsigned near_asks;
	unsigned i;

	set_up_near_voters();
	g_string_truncate(events, 0);
	for (i = 0; i < 20; i++) {
		Jh__Frame *frame = sync_reply_new(true, version);

		frame->mirror_sync->lasts_us = JH_LEASE_US;
		jh_frame_deliver(watcher, "vm-2", 1, frame);
		run_for_us(50000);
	}
	near_asks = count_asks(true);
	ck_assert_uint_gt(near_asks, 0);
	ck_assert_uint_eq(count_asks(false), 0);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		test_vm_registers_itself_and_gets_a_lease,
		test_vm_has_no_lease_before_it_is_listed,
		test_change_between_two_pages_of_a_scan_is_not_lost,
		test_long_row_is_sent_compressed_to_vms_that_accept_it,
		test_malformed_compressed_row_is_not_applied,
		test_shared_lease_is_requested_in_the_own_data_centre,
		test_lease_is_renewed_from_the_store_if_no_voter_replies,
		test_removed_vm_registers_again,
		test_unchanged_own_row_is_not_written_again,
		test_older_row_version_is_ignored,
		test_only_vms_that_had_a_lease_acknowledge,
		test_rows_are_fetched_from_one_vm,
		test_higher_version_during_a_fetch_is_fetched_next,
		test_ack_of_newer_versions_counts_after_their_rows,
		test_own_write_does_not_hide_earlier_rows,
		test_sync_follows_own_write_and_earlier_rows,
		test_own_removal_of_vms_waits_for_earlier_rows,
		test_no_ack_while_own_write_is_ahead,
		test_rows_beside_an_own_write_do_not_raise_the_version,
		NULL,
	};

	return run_tests("mirror", tests);
}
