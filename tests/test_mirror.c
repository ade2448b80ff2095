#include "jh_compress.h"
#include "jh_frame.h"
#include "jh_log.h"
#include "jh_mirror.h"
#include "jh_platform.h"
#include "runner.h"

#include <string.h>

/*
 * Guards against a mirror that acknowledges or reports a version of which it lacks rows, so that a
 * VM could use a replaced primary. This comes about if an own write overtakes earlier rows, an ack
 * arrives before its rows, or a restarted VM has lost rows. The mirror task runs with a fake
 * platform task and with made-up frames of other VMs.
 */

extern const jh_module_t jh_mirror_module;

#define WAIT_TIMEOUT_US (20 * INT64_C(1000000))

static jh_settings_t settings;
static jh_kernel_t *kernel;
static jh_task_t *platform;
static jh_task_t *watcher;
static GString *events;
/* Names and bodies of the rows that a scan of the fleet's table returns. */
static char *fleet_rows[40][2];
static uint64_t version;
/* Task that sent the pending feed of the fleet's table; 0 if none is pending. */
static jh_handle_t feed_from;
/* Tag of that feed. */
static uint64_t feed_tag;
/* The version after which the newest feed requested changes. */
static uint64_t feed_after_version;
static int64_t lease_expiry_us;

static void fini_noop(jh_task_t *task)
{
	(void)task;
}

static int platform_init(jh_task_t *task, jh_error_t *err)
{
	(void)err;
	platform = task;
	return 0;
}

static void add_row(GPtrArray *rows, const char *name, const char *text)
{
	GBytes *body = text ? g_bytes_new(text, strlen(text)) : NULL;

	g_ptr_array_add(rows, jh_store_row_new(name, version, body));
	if (body)
		g_bytes_unref(body);
}

static void post_reply(jh_handle_t to, jh_platform_call_t call, uint64_t tag, GPtrArray *rows)
{
	jh_platform_reply_t *reply = g_rc_box_new0(jh_platform_reply_t);

	reply->call = call;
	reply->tag = tag;
	reply->version = version;
	reply->rows = rows;
	jh_post(platform, to, JH_MSG_PLATFORM_REPLY, reply, jh_platform_reply_clear);
}

static void fleet_row_clear(unsigned i)
{
	g_clear_pointer(&fleet_rows[i][0], g_free);
	g_clear_pointer(&fleet_rows[i][1], g_free);
}

static void fleet_row_set(unsigned i, const char *name, const char *text)
{
	fleet_row_clear(i);
	fleet_rows[i][0] = g_strdup(name);
	fleet_rows[i][1] = g_strdup(text);
}

/* Name of the newest written row that no feed has returned yet, or NULL. */
static char *unreturned_row;
/* If true, a write completes the pending feed; if false, feeds wait for feed_return_row(). */
static bool writes_complete_feed;

static void feed_complete(const char *name, const char *text)
{
	GPtrArray *rows = g_ptr_array_new_with_free_func(jh_store_row_free);

	add_row(rows, name, text);
	post_reply(feed_from, JH_PLATFORM_FEED, feed_tag, rows);
	feed_from = 0;
	g_clear_pointer(&unreturned_row, g_free);
}

/* Pages of the fleet's table that were requested. */
static unsigned scan_page;
/* If true, the first scan has two pages, and a row changes between them. */
static bool change_between_pages;

static void scan_first_page(jh_handle_t to, uint64_t tag)
{
	GPtrArray *rows = g_ptr_array_new_with_free_func(jh_store_row_free);
	jh_platform_reply_t *reply = g_rc_box_new0(jh_platform_reply_t);

	add_row(rows, "group/db", "{}");
	*reply = (jh_platform_reply_t){ .call = JH_PLATFORM_SCAN,
					.tag = tag,
					.version = version,
					.rows = rows,
					.has_more = true };
	jh_post(platform, to, JH_MSG_PLATFORM_REPLY, reply, jh_platform_reply_clear);
	version++;
}

static void platform_on_message(jh_task_t *task, const jh_msg_t *msg)
{
	const jh_platform_request_t *request = msg->body;
	GPtrArray *rows = g_ptr_array_new_with_free_func(jh_store_row_free);
	bool is_lease_read = request->call == JH_PLATFORM_FEED && request->wait_ms == 0;
	bool returns_rows = request->call == JH_PLATFORM_SCAN || is_lease_read;
	unsigned i;

	(void)task;
	if (is_lease_read)
		g_string_append(events, "lease read\n");
	else if (request->call == JH_PLATFORM_SCAN)
		g_string_append(events, "scan\n");
	if (request->call == JH_PLATFORM_FEED && !is_lease_read) {
		if (g_str_equal(request->table, "fleet")) {
			feed_from = msg->from;
			feed_tag = request->tag;
			feed_after_version = request->version;
			g_string_append(events, "feed\n");
			if (unreturned_row && writes_complete_feed)
				feed_complete(unreturned_row, "{}");
		}
		g_ptr_array_unref(rows);
		return;
	}
	if (request->call == JH_PLATFORM_COMMIT) {
		const jh_store_write_t *write = g_ptr_array_index(request->writes, 0);

		version++;
		g_string_append_printf(events, "put %s\n", write->name);
		for (i = 0; fleet_rows[i][0] && !g_str_equal(fleet_rows[i][0], write->name); i++)
			ck_assert_uint_lt(i, G_N_ELEMENTS(fleet_rows) - 1);
		fleet_row_clear(i);
		fleet_rows[i][0] = g_strdup(write->name);
		fleet_rows[i][1] = write->body ? g_strndup(g_bytes_get_data(write->body, NULL),
							   g_bytes_get_size(write->body)) :
						 NULL;
		g_free(unreturned_row);
		unreturned_row = g_strdup(write->name);
		if (feed_from != 0 && writes_complete_feed)
			feed_complete(unreturned_row, "{}");
	}
	if (request->call == JH_PLATFORM_SCAN && g_str_equal(request->table, "fleet"))
		scan_page++;
	if (request->call == JH_PLATFORM_SCAN && scan_page == 1 && change_between_pages) {
		scan_first_page(msg->from, request->tag);
		g_ptr_array_unref(rows);
		return;
	}
	for (i = 0; returns_rows && g_str_equal(request->table, "fleet") &&
		    i < G_N_ELEMENTS(fleet_rows) && fleet_rows[i][0];
	     i++)
		add_row(rows, fleet_rows[i][0], fleet_rows[i][1]);
	post_reply(msg->from, request->call, request->tag, rows);
}

static const jh_module_t platform_module = {
	.name = "platform",
	.subscriptions = { JH_MSG_TYPE_COUNT },
	.init = platform_init,
	.on_message = platform_on_message,
	.fini = fini_noop,
};

static size_t sent_row_bytes;
static size_t sent_row_uncompressed_bytes;

/* Records the longest row of a reply. */
static void record_sent_row(const Jh__MirrorSync *sync)
{
	size_t i;

	for (i = 0; i < sync->n_rows; i++) {
		if (sync->rows[i]->body.len < sent_row_bytes)
			continue;
		sent_row_bytes = sync->rows[i]->body.len;
		sent_row_uncompressed_bytes = sync->rows[i]->uncompressed_bytes;
	}
}

static void peer_on_message(jh_task_t *task, const jh_msg_t *msg)
{
	const jh_frame_msg_t *out = msg->body;

	(void)task;
	if (msg->type == JH_MSG_FRAME_OUT && out->frame->mirror_sync->n_rows > 0)
		record_sent_row(out->frame->mirror_sync);
	if (msg->type == JH_MSG_FRAME_OUT && out->frame->mirror_sync->is_reply)
		g_string_append_printf(events, "reply confirms=%d lasts=%d\n",
				       out->frame->mirror_sync->confirms,
				       out->frame->mirror_sync->lasts_us > 0);
	else if (msg->type == JH_MSG_FRAME_OUT && out->frame->mirror_sync->with_rows)
		g_string_append_printf(events, "fetch %s\n", out->vm);
	else if (msg->type == JH_MSG_FRAME_OUT)
		g_string_append_printf(events, "ask %s\n", out->vm);
}

static int peer_init(jh_task_t *task, jh_error_t *err)
{
	(void)task;
	(void)err;
	return 0;
}

static const jh_module_t peer_module = {
	.name = "peer",
	.subscriptions = { JH_MSG_TYPE_COUNT },
	.init = peer_init,
	.on_message = peer_on_message,
	.fini = fini_noop,
};

static int watcher_init(jh_task_t *task, jh_error_t *err)
{
	(void)err;
	watcher = task;
	return 0;
}

static void watcher_on_message(jh_task_t *task, const jh_msg_t *msg)
{
	(void)task;
	if (msg->type == JH_MSG_MIRROR_LEASE) {
		lease_expiry_us = ((const jh_mirror_lease_msg_t *)msg->body)->until_us;
	} else if (msg->type == JH_MSG_ROW) {
		const jh_row_msg_t *row = msg->body;

		g_string_append_printf(events, "%s %s\n", row->body ? "row" : "dropped", row->name);
	}
}

/* Observes rows and leases. The mirror posts leases to the catalogue, so it has that name. */
static const jh_module_t watcher_module = {
	.name = "catalogue",
	.subscriptions = { JH_MSG_ROW, JH_MSG_TYPE_COUNT },
	.init = watcher_init,
	.on_message = watcher_on_message,
	.fini = fini_noop,
};

static void set_up(void)
{
	jh_error_t err = JH_ERROR_INIT;

	jh_log_init("vm-1", "error");
	settings = (jh_settings_t){ .vm = (char *)"vm-1",
				    .dc = (char *)"dc-1",
				    .profile = (char *)"fleet",
				    .peer_listen = { (char *)"127.0.0.1", 7000 } };
	events = g_string_new(NULL);
	version = 10;
	kernel = jh_kernel_new(&settings, &err);
	ck_assert_int_eq(jh_kernel_add_module(kernel, &peer_module, &err), 0);
	ck_assert_int_eq(jh_kernel_add_module(kernel, &platform_module, &err), 0);
	ck_assert_int_eq(jh_kernel_add_module(kernel, &jh_mirror_module, &err), 0);
	ck_assert_int_eq(jh_kernel_add_module(kernel, &watcher_module, &err), 0);
}

static unsigned count_events(const char *text)
{
	const char *at = events->str;
	unsigned count = 0;

	while ((at = strstr(at, text))) {
		count++;
		at++;
	}
	return count;
}

static void run_until_count(const char *text, unsigned count)
{
	int64_t until = g_get_monotonic_time() + WAIT_TIMEOUT_US;

	while (count_events(text) < count) {
		ck_assert_msg(g_get_monotonic_time() < until, "no %u of '%s' in:\n%s", count, text,
			      events->str);
		ev_run(jh_kernel_loop(kernel), EVRUN_NOWAIT);
		g_usleep(500);
	}
}

static void run_for_us(int64_t time_us)
{
	int64_t until = g_get_monotonic_time() + time_us;

	while (g_get_monotonic_time() < until) {
		ev_run(jh_kernel_loop(kernel), EVRUN_NOWAIT);
		g_usleep(500);
	}
}

static void feed_return_row(const char *name, const char *text)
{
	GPtrArray *rows = g_ptr_array_new_with_free_func(jh_store_row_free);

	version++;
	add_row(rows, name, text);
	post_reply(feed_from, JH_PLATFORM_FEED, feed_tag, rows);
}

/*
 * Return: new reply to a request sent now, from a VM that has applied the fleet's table up to
 * @fleet_version
 */
static Jh__Frame *sync_reply_new(bool confirms, uint64_t fleet_version)
{
	Jh__Frame *frame = jh_frame_new(JH__FRAME__BODY_MIRROR_SYNC);

	frame->mirror_sync->stamp_us = jh_boot_time_us();
	frame->mirror_sync->is_reply = true;
	frame->mirror_sync->confirms = confirms;
	frame->mirror_sync->n_versions = JH_MIRROR_TABLE_COUNT;
	frame->mirror_sync->versions = g_new0(uint64_t, JH_MIRROR_TABLE_COUNT);
	frame->mirror_sync->versions[JH_MIRROR_FLEET] = fleet_version;
	return frame;
}

static void deliver_sync_reply(const char *vm, bool confirms, uint64_t fleet_version)
{
	jh_frame_deliver(watcher, vm, 1, sync_reply_new(confirms, fleet_version));
}

static void deliver_sync_reply_with_row(const char *vm, const char *name, uint64_t fleet_version)
{
	Jh__Frame *frame = sync_reply_new(true, fleet_version);
	Jh__MirrorSync *sync = frame->mirror_sync;

	sync->with_rows = true;
	sync->n_rows = 1;
	sync->rows = g_new0(Jh__MirrorRow *, 1);
	sync->rows[0] = g_new0(Jh__MirrorRow, 1);
	jh__mirror_row__init(sync->rows[0]);
	sync->rows[0]->table = JH_MIRROR_FLEET;
	sync->rows[0]->name = jh_frame_strdup(name);
	sync->rows[0]->version = fleet_version;
	jh_frame_deliver(watcher, vm, 1, frame);
}

/* Starts vm-1 of three VMs and waits until it has read the store once. */
static void set_up_three_vms(void)
{
	fleet_row_set(0, "vm/vm-1",
		      "{\"name\":\"vm-1\",\"dc\":\"dc-1\",\"host\":\"127.0.0.1\",\"port\":7000}");
	fleet_row_set(1, "vm/vm-2", "{}");
	fleet_row_set(2, "vm/vm-3", "{}");
	set_up();
	run_until_count("row vm/vm-3", 1);
	run_for_us(100000);
}

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
 * A row of the first page changes before the second one is read. The feed must return that change,
 * so it starts at the version of the first page.
 */
START_TEST(test_change_between_two_pages_of_a_scan_is_not_lost)
{
	change_between_pages = true;
	fleet_row_set(0, "vm/vm-1",
		      "{\"name\":\"vm-1\",\"dc\":\"dc-1\",\"host\":\"127.0.0.1\",\"port\":7000}");
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
				      "\"127.0.0.1\",\"port\":7000}");
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
	fleet_row_set(0, "vm/vm-1",
		      "{\"name\":\"vm-1\",\"dc\":\"dc-1\",\"host\":\"127.0.0.1\",\"port\":7000}");
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
					     "\"127.0.0.1\",\"port\":7000}",
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
		NULL,
	};

	return run_tests("mirror", tests);
}
