#include "mirror_fake.h"

/*
 * Guards against a configuration of many routes that fills the links of small VMs. When it was sent
 * in one frame, the requests that renew leases waited behind it; when it took longer than the fetch
 * timeout, it was requested again from one VM after another, and some VMs had it only after 20 s.
 */

/* Longest part of a body that a test expects in one frame, 26 ms on a link of 10 Mbit/s. */
#define PART_MAX_BYTES (32u * 1024)

#define ROW_BYTES 200000u

/* Return: new text that compression does not shorten by more than half */
static char *random_text_new(void)
{
	char *text = g_malloc(ROW_BYTES + 1);
	GRand *random = g_rand_new_with_seed(26);
	unsigned i;

	for (i = 0; i < ROW_BYTES; i++)
		text[i] = (char)g_rand_int_range(random, ' ', '~');
	text[ROW_BYTES] = '\0';
	g_rand_free(random);
	return text;
}

/* Sends this mirror a request of @vm for rows, which accepts parts, and waits for the reply. */
static void request_rows_as(const char *vm, const Jh__MirrorPart *part)
{
	Jh__Frame *frame = sync_reply_new(true, 0);
	Jh__MirrorSync *sync = frame->mirror_sync;
	unsigned replies = count_events("reply ");

	sync->is_reply = false;
	sync->with_rows = true;
	sync->accepts_parts = true;
	if (part) {
		sync->part = g_new0(Jh__MirrorPart, 1);
		jh__mirror_part__init(sync->part);
		sync->part->table = part->table;
		sync->part->name = jh_frame_strdup(part->name);
		sync->part->version = part->version;
		sync->part->offset = part->offset;
	}
	g_clear_pointer(&sent_row, mirror_row_free);
	jh_frame_deliver(watcher, vm, 1, frame);
	run_until_count("reply ", replies + 1);
}

static void request_rows(const Jh__MirrorPart *part)
{
	request_rows_as("vm-2", part);
}

START_TEST(test_long_row_is_sent_in_parts_between_which_other_frames_pass)
{
	char *text = random_text_new();
	GByteArray *received = g_byte_array_new();
	Jh__MirrorPart next = { .table = JH_MIRROR_FLEET, .name = (char *)"group/db" };

	fleet_row_set(3, "group/db", text);
	set_up_three_vms();
	request_rows(NULL);
	ck_assert_ptr_nonnull(sent_row);
	ck_assert_uint_le(sent_row->body.len, PART_MAX_BYTES);
	ck_assert_uint_eq(sent_row->total_bytes, ROW_BYTES);
	while (received->len < ROW_BYTES) {
		ck_assert_ptr_nonnull(sent_row);
		ck_assert_uint_eq(sent_row->offset, received->len);
		ck_assert_uint_gt(sent_row->body.len, 0);
		g_byte_array_append(received, sent_row->body.data, (guint)sent_row->body.len);
		next.version = sent_row->version;
		next.offset = received->len;
		if (received->len < ROW_BYTES)
			request_rows(&next);
	}
	ck_assert_int_eq(memcmp(received->data, text, ROW_BYTES), 0);
	g_byte_array_unref(received);
	g_free(text);
}
END_TEST

/* Delivers vm-2's reply with the part of @text that begins at @offset. */
static void deliver_part(const char *vm, const char *text, unsigned offset, unsigned bytes,
			 uint64_t row_version)
{
	Jh__Frame *frame = sync_reply_new(true, row_version);
	Jh__MirrorSync *sync = frame->mirror_sync;
	Jh__MirrorRow *row = g_new0(Jh__MirrorRow, 1);

	sync->with_rows = true;
	sync->n_rows = 1;
	sync->rows = g_new0(Jh__MirrorRow *, 1);
	sync->rows[0] = row;
	jh__mirror_row__init(row);
	row->table = JH_MIRROR_FLEET;
	row->name = jh_frame_strdup("group/db");
	row->version = row_version;
	row->offset = offset;
	row->total_bytes = ROW_BYTES;
	row->body.len = bytes;
	row->body.data = g_memdup2(text + offset, bytes);
	jh_frame_deliver(watcher, vm, 1, frame);
}

/* Starts vm-1 of three VMs, which fetches a row from vm-2. Return: the row's version */
static uint64_t start_fetch_from_vm_2(void)
{
	uint64_t row_version;

	set_up_three_vms();
	row_version = version + 1;
	deliver_sync_reply("vm-2", true, row_version);
	run_until_count("fetch vm-2", 1);
	return row_version;
}

/* A slow link: a part every 0.12 s, 0.96 s in all, while other voters report the same version. */
START_TEST(test_fetch_is_not_repeated_while_its_parts_arrive)
{
	char *text = random_text_new();
	unsigned part_bytes = ROW_BYTES / 8;
	uint64_t row_version;
	unsigned i;

	row_version = start_fetch_from_vm_2();
	for (i = 0; i < 8; i++) {
		run_for_us(120000);
		deliver_sync_reply("vm-3", true, row_version);
		ck_assert_uint_eq(count_events("row group/db"), 0);
		deliver_part("vm-2", text, i * part_bytes, part_bytes, row_version);
	}
	run_until_count("row group/db", 1);
	ck_assert_uint_eq(count_events("fetch"), 1);
	ck_assert_uint_eq(count_events("part vm-2"), 7);
	g_free(text);
}
END_TEST

/* The VM that sends the parts dies: they come from another one, and no wait is longer than needed.
 */
START_TEST(test_fetch_begins_again_at_another_vm_once_parts_stop)
{
	char *text = random_text_new();
	uint64_t row_version;

	row_version = start_fetch_from_vm_2();
	deliver_part("vm-2", text, 0, 10000, row_version);
	run_until_count("part vm-2 10000", 1);
	run_for_us(JH_LEASE_US / 2);
	deliver_sync_reply("vm-3", true, row_version);
	run_until_count("fetch vm-3", 1);
	deliver_part("vm-3", text, 0, ROW_BYTES, row_version);
	run_until_count("row group/db", 1);
	g_free(text);
}
END_TEST

/* Load: a new version while the parts of the one before arrive; a part that does not fit. */
START_TEST(test_part_of_another_version_or_place_is_not_joined)
{
	char *text = random_text_new();
	uint64_t row_version;

	row_version = start_fetch_from_vm_2();
	deliver_part("vm-2", text, 0, 10000, row_version);
	run_until_count("part vm-2 10000", 1);
	deliver_part("vm-2", text, 20000, ROW_BYTES - 20000, row_version);
	run_for_us(50000);
	ck_assert_uint_eq(count_events("row group/db"), 0);
	deliver_part("vm-2", text, 0, ROW_BYTES, row_version + 1);
	run_until_count("row group/db", 1);
	g_free(text);
}
END_TEST

/*
 * Load: all VMs of a fleet fetch a new configuration from the first voter that has it. When it
 * served all of them, each part took longer than the fetch timeout.
 */
START_TEST(test_vm_sends_long_rows_to_few_vms_at_once)
{
	char *text = random_text_new();
	unsigned served = 0;
	unsigned i;

	fleet_row_set(3, "group/db", text);
	set_up_three_vms();
	for (i = 0; i < 12; i++) {
		char *vm = g_strdup_printf("vm-%u", i + 2);

		request_rows_as(vm, NULL);
		ck_assert_ptr_nonnull(sent_row);
		served += sent_row->body.len > 0;
		g_free(vm);
	}
	ck_assert_uint_ge(served, 1);
	ck_assert_uint_le(served, 8);
	/* The VMs that were served have stopped; others take their turns. */
	run_for_us(JH_LEASE_US);
	request_rows_as("vm-41", NULL);
	ck_assert_uint_gt(sent_row->body.len, 0);
	g_free(text);
}
END_TEST

/* A VM whose fetch is postponed asks another VM, or the same one in a later round. */
START_TEST(test_postponed_fetch_is_not_repeated_at_once)
{
	char *text = random_text_new();
	uint64_t row_version;

	row_version = start_fetch_from_vm_2();
	deliver_part("vm-2", text, 0, 0, row_version);
	run_for_us(50000);
	ck_assert_uint_eq(count_events("fetch vm-2"), 1);
	deliver_sync_reply("vm-3", true, row_version);
	run_until_count("fetch vm-3", 1);
	deliver_part("vm-3", text, 0, ROW_BYTES, row_version);
	run_until_count("row group/db", 1);
	g_free(text);
}
END_TEST

static void deliver_config_row(uint64_t row_version)
{
	Jh__Frame *frame = sync_reply_new(true, version);
	Jh__MirrorSync *sync = frame->mirror_sync;

	sync->with_rows = true;
	sync->versions[JH_MIRROR_CONFIG] = row_version;
	sync->n_rows = 1;
	sync->rows = g_new0(Jh__MirrorRow *, 1);
	sync->rows[0] = g_new0(Jh__MirrorRow, 1);
	jh__mirror_row__init(sync->rows[0]);
	sync->rows[0]->table = JH_MIRROR_CONFIG;
	sync->rows[0]->name = jh_frame_strdup("config");
	sync->rows[0]->version = row_version;
	jh_frame_deliver(watcher, "vm-3", 1, frame);
}

/*
 * A VM that could not fetch a newer configuration got its lease from the store, whose read covers
 * the fleet's table only, and served by the old one for as long as the fetch took.
 */
START_TEST(test_configuration_is_late_if_a_newer_one_stays_missing)
{
	Jh__Frame *frame;
	int64_t first_late_us;
	int64_t sent_us;

	set_up_three_vms();
	ck_assert_int_eq(config_late_us, 0);
	frame = sync_reply_new(true, version);
	frame->mirror_sync->config_row_version = version + 1;
	/* vm-2 heard of it half a second ago. */
	frame->mirror_sync->config_known_us = 500000;
	sent_us = jh_boot_time_us();
	jh_frame_deliver(watcher, "vm-2", 1, frame);
	RUN_UNTIL(config_late_us != 0);
	first_late_us = config_late_us;
	ck_assert_int_ge(first_late_us, sent_us + 2500000 - JH_CONFIG_BOUND_MARGIN_US);
	ck_assert_int_le(first_late_us, jh_boot_time_us() + 2500000 - JH_CONFIG_BOUND_MARGIN_US);
	/* Another VM that heard of it later does not move the moment. */
	frame = sync_reply_new(true, version);
	frame->mirror_sync->config_row_version = version + 2;
	jh_frame_deliver(watcher, "vm-3", 1, frame);
	run_for_us(50000);
	ck_assert_int_eq(config_late_us, first_late_us);
	/* The rows arrive: first the one before the newest, then the newest. */
	deliver_config_row(version + 1);
	run_for_us(50000);
	ck_assert_int_ne(config_late_us, 0);
	deliver_config_row(version + 2);
	RUN_UNTIL(config_late_us == 0);
}
END_TEST

/*
 * A feed of the store that ends without a change raises the table's version all the same. A VM that
 * heard of that version from a VM that died at once took its configuration for late.
 */
START_TEST(test_version_without_new_rows_makes_no_configuration_late)
{
	Jh__Frame *frame;

	set_up_three_vms();
	frame = sync_reply_new(true, version);
	frame->mirror_sync->versions[JH_MIRROR_CONFIG] = version + 1;
	jh_frame_deliver(watcher, "vm-2", 1, frame);
	run_for_us(50000);
	ck_assert_int_eq(config_late_us, 0);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		test_long_row_is_sent_in_parts_between_which_other_frames_pass,
		test_fetch_is_not_repeated_while_its_parts_arrive,
		test_fetch_begins_again_at_another_vm_once_parts_stop,
		test_part_of_another_version_or_place_is_not_joined,
		test_vm_sends_long_rows_to_few_vms_at_once,
		test_postponed_fetch_is_not_repeated_at_once,
		test_configuration_is_late_if_a_newer_one_stays_missing,
		test_version_without_new_rows_makes_no_configuration_late,
		NULL,
	};

	return run_tests("mirror_fetch", tests);
}
