#include "jh_frame.h"
#include "jh_log.h"
#include "jh_mirror.h"
#include "jh_platform.h"
#include "runner.h"

#include <string.h>

/* The mirror with a fake platform task, whose answers each test gives, and another VM's frames. */

extern const jh_module_t jh_mirror_module;

#define PATIENCE_US (20 * INT64_C(1000000))

static jh_settings_t settings;
static jh_kernel_t *kernel;
static jh_task_t *platform;
static jh_task_t *watcher;
static GString *journal;
/* What a scan of the fleet's table holds; a feed's answer waits for feed_rows. */
static char *fleet_rows[4][2];
static uint64_t version;
static jh_handle_t feed_from;
static uint64_t feed_tag;
/* After which version the newest feed asked. */
static uint64_t feed_after;
static int64_t authority_us;

static void fini_nothing(jh_task_t *task)
{
	(void)task;
}

/* ---- the platform ---- */

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

static void answer(jh_handle_t to, jh_platform_call_t call, uint64_t tag, GPtrArray *rows)
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

/* The newest write, which a feed that asked before it gets at once if the store works well. */
static char *written;
static bool feeds_are_answered;

static void feed_wake(const char *name, const char *text)
{
	GPtrArray *rows = g_ptr_array_new_with_free_func(jh_store_row_free);

	add_row(rows, name, text);
	answer(feed_from, JH_PLATFORM_FEED, feed_tag, rows);
	feed_from = 0;
	g_clear_pointer(&written, g_free);
}

static void platform_on_message(jh_task_t *task, const jh_msg_t *msg)
{
	const jh_platform_request_t *request = msg->body;
	GPtrArray *rows = g_ptr_array_new_with_free_func(jh_store_row_free);
	unsigned i;

	(void)task;
	if (request->call == JH_PLATFORM_FEED) {
		if (g_str_equal(request->table, "fleet")) {
			feed_from = msg->from;
			feed_tag = request->tag;
			feed_after = request->version;
			g_string_append(journal, "feed\n");
			if (written && feeds_are_answered)
				feed_wake(written, "{}");
		}
		g_ptr_array_unref(rows);
		return;
	}
	if (request->call == JH_PLATFORM_COMMIT) {
		const jh_store_write_t *write = g_ptr_array_index(request->writes, 0);

		version++;
		g_string_append_printf(journal, "put %s\n", write->name);
		for (i = 0; fleet_rows[i][0] && !g_str_equal(fleet_rows[i][0], write->name); i++)
			ck_assert_uint_lt(i, G_N_ELEMENTS(fleet_rows) - 1);
		fleet_row_clear(i);
		fleet_rows[i][0] = g_strdup(write->name);
		fleet_rows[i][1] = write->body ? g_strndup(g_bytes_get_data(write->body, NULL),
							   g_bytes_get_size(write->body)) :
						 NULL;
		g_free(written);
		written = g_strdup(write->name);
		if (feed_from != 0 && feeds_are_answered)
			feed_wake(written, "{}");
	}
	for (i = 0; request->call == JH_PLATFORM_SCAN && g_str_equal(request->table, "fleet") &&
		    i < G_N_ELEMENTS(fleet_rows) && fleet_rows[i][0];
	     i++)
		add_row(rows, fleet_rows[i][0], fleet_rows[i][1]);
	answer(msg->from, request->call, request->tag, rows);
}

static const jh_module_t platform_module = {
	.name = "platform",
	.subscriptions = { JH_MSG_TYPES },
	.init = platform_init,
	.on_message = platform_on_message,
	.fini = fini_nothing,
};

/* ---- the other VMs ---- */

static void peer_on_message(jh_task_t *task, const jh_msg_t *msg)
{
	const jh_frame_msg_t *out = msg->body;

	(void)task;
	if (msg->type == JH_MSG_FRAME_OUT && out->frame->mirror_sync->is_reply)
		g_string_append_printf(journal, "reply confirms=%d lasts=%d\n",
				       out->frame->mirror_sync->confirms,
				       out->frame->mirror_sync->lasts_us > 0);
	else if (msg->type == JH_MSG_FRAME_OUT && out->frame->mirror_sync->with_rows)
		g_string_append_printf(journal, "fetch %s\n", out->vm);
	else if (msg->type == JH_MSG_FRAME_OUT)
		g_string_append_printf(journal, "ask %s\n", out->vm);
}

static int peer_init(jh_task_t *task, jh_error_t *err)
{
	(void)task;
	(void)err;
	return 0;
}

static const jh_module_t peer_module = {
	.name = "peer",
	.subscriptions = { JH_MSG_TYPES },
	.init = peer_init,
	.on_message = peer_on_message,
	.fini = fini_nothing,
};

/* ---- who watches ---- */

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
		authority_us = ((const jh_mirror_lease_msg_t *)msg->body)->until_us;
	} else if (msg->type == JH_MSG_ROW) {
		const jh_row_msg_t *row = msg->body;

		g_string_append_printf(journal, "%s %s\n", row->body ? "row" : "dropped",
				       row->name);
	}
}

/* Authority goes through the catalogue, whose place the watcher takes. */
static const jh_module_t watcher_module = {
	.name = "catalogue",
	.subscriptions = { JH_MSG_ROW, JH_MSG_TYPES },
	.init = watcher_init,
	.on_message = watcher_on_message,
	.fini = fini_nothing,
};

/* ---- running ---- */

static void set_up(void)
{
	jh_error_t err = JH_ERROR_INIT;

	jh_log_init("vm-1", "error");
	settings = (jh_settings_t){ .vm = (char *)"vm-1",
				    .dc = (char *)"dc-1",
				    .profile = (char *)"fleet",
				    .peer_listen = { (char *)"127.0.0.1", 7000 } };
	journal = g_string_new(NULL);
	version = 10;
	kernel = jh_kernel_new(&settings, &err);
	ck_assert_int_eq(jh_kernel_add(kernel, &peer_module, &err), 0);
	ck_assert_int_eq(jh_kernel_add(kernel, &platform_module, &err), 0);
	ck_assert_int_eq(jh_kernel_add(kernel, &jh_mirror_module, &err), 0);
	ck_assert_int_eq(jh_kernel_add(kernel, &watcher_module, &err), 0);
}

static unsigned count_in_journal(const char *text)
{
	const char *at = journal->str;
	unsigned count = 0;

	while ((at = strstr(at, text))) {
		count++;
		at++;
	}
	return count;
}

static void wait_for_count(const char *text, unsigned count)
{
	int64_t until = g_get_monotonic_time() + PATIENCE_US;

	while (count_in_journal(text) < count) {
		ck_assert_msg(g_get_monotonic_time() < until, "no %u of '%s' in:\n%s", count, text,
			      journal->str);
		ev_run(jh_kernel_loop(kernel), EVRUN_NOWAIT);
		g_usleep(500);
	}
}

static void wait_us(int64_t time_us)
{
	int64_t until = g_get_monotonic_time() + time_us;

	while (g_get_monotonic_time() < until) {
		ev_run(jh_kernel_loop(kernel), EVRUN_NOWAIT);
		g_usleep(500);
	}
}

static void feed_answer(const char *name, const char *text)
{
	GPtrArray *rows = g_ptr_array_new_with_free_func(jh_store_row_free);

	version++;
	add_row(rows, name, text);
	answer(feed_from, JH_PLATFORM_FEED, feed_tag, rows);
}

/* An answer of another VM to a question that was asked now; it knows the fleet up to @known. */
static Jh__Frame *sync_frame_new(bool confirms, uint64_t known)
{
	Jh__Frame *frame = jh_frame_new(JH__FRAME__BODY_MIRROR_SYNC);

	frame->mirror_sync->stamp_us = jh_boot_time_us();
	frame->mirror_sync->is_reply = true;
	frame->mirror_sync->confirms = confirms;
	frame->mirror_sync->n_versions = JH_MIRROR_TABLES;
	frame->mirror_sync->versions = g_new0(uint64_t, JH_MIRROR_TABLES);
	frame->mirror_sync->versions[JH_MIRROR_FLEET] = known;
	return frame;
}

static void sync_answer(const char *vm, bool confirms, uint64_t known)
{
	jh_frame_deliver(watcher, vm, 1, sync_frame_new(confirms, known));
}

static void sync_answer_with_row(const char *vm, const char *name, uint64_t known)
{
	Jh__Frame *frame = sync_frame_new(true, known);
	Jh__MirrorSync *sync = frame->mirror_sync;

	sync->with_rows = true;
	sync->n_rows = 1;
	sync->rows = g_new0(Jh__MirrorRow *, 1);
	sync->rows[0] = g_new0(Jh__MirrorRow, 1);
	jh__mirror_row__init(sync->rows[0]);
	sync->rows[0]->table = JH_MIRROR_FLEET;
	sync->rows[0]->name = jh_strdup(name);
	sync->rows[0]->version = known;
	jh_frame_deliver(watcher, vm, 1, frame);
}

/* ---- tests ---- */

/* Three VMs, of which this one is vm-1; the store answered once. */
static void set_up_three(void)
{
	fleet_row_set(0, "vm/vm-1",
		      "{\"name\":\"vm-1\",\"dc\":\"dc-1\",\"host\":\"127.0.0.1\",\"port\":7000}");
	fleet_row_set(1, "vm/vm-2", "{}");
	fleet_row_set(2, "vm/vm-3", "{}");
	set_up();
	wait_for_count("row vm/vm-3", 1);
	wait_us(100000);
}

START_TEST(test_vm_registers_itself_and_gains_authority)
{
	set_up();
	wait_for_count("put vm/vm-1", 1);
	wait_us(1500000);
	ck_assert_uint_eq(count_in_journal("put vm/vm-1"), 1);
	ck_assert_int_gt(authority_us, jh_boot_time_us());
}
END_TEST

/* A VM that was cut off for a while was taken off the list, and had no quota ever after. */
START_TEST(test_vm_taken_off_the_list_comes_back)
{
	feeds_are_answered = true;
	set_up();
	wait_for_count("put vm/vm-1", 1);
	wait_us(200000);
	fleet_row_clear(0);
	feed_answer("vm/vm-1", NULL);
	wait_for_count("dropped vm/vm-1", 1);
	wait_for_count("put vm/vm-1", 2);
	wait_for_count("row vm/vm-1", 2);
}
END_TEST

START_TEST(test_row_of_an_earlier_life_is_kept)
{
	fleet_row_set(0, "vm/vm-1",
		      "{\"name\":\"vm-1\",\"dc\":\"dc-1\",\"host\":\"127.0.0.1\",\"port\":7000}");
	set_up();
	wait_for_count("row vm/vm-1", 1);
	wait_us(500000);
	ck_assert_uint_eq(count_in_journal("put"), 0);
}
END_TEST

START_TEST(test_old_news_is_not_taken)
{
	set_up();
	wait_for_count("put vm/vm-1", 1);
	wait_us(200000);
	feed_answer("group/db", "new");
	wait_for_count("row group/db", 1);
	version -= 2;
	feed_answer("group/db", "old");
	wait_us(300000);
	ck_assert_uint_eq(count_in_journal("row group/db"), 1);
}
END_TEST

/* A VM that has just started may have forgotten a change, so that its word confirms nothing. */
START_TEST(test_majority_confirms_only_by_vms_that_had_authority)
{
	int64_t before_us;

	set_up_three();
	before_us = authority_us;
	ck_assert_int_gt(before_us, 0);
	sync_answer("vm-2", false, 0);
	wait_us(50000);
	ck_assert_int_eq(authority_us, before_us);
	sync_answer("vm-2", true, 0);
	wait_us(50000);
	ck_assert_int_gt(authority_us, before_us);
}
END_TEST

/* Each VM of the council sent every row, which filled the links of small VMs at each change. */
START_TEST(test_rows_are_asked_of_one_vm)
{
	set_up_three();
	sync_answer("vm-2", true, version + 1);
	sync_answer("vm-3", true, version + 1);
	wait_for_count("fetch", 1);
	wait_us(50000);
	ck_assert_uint_eq(count_in_journal("fetch"), 1);
	wait_for_count("ask vm-3", 2);
	/* The first does not answer: half a lease later, whoever knows more is asked. */
	wait_us(JH_LEASE_US / 2);
	sync_answer("vm-3", true, version + 1);
	wait_for_count("fetch vm-3", 1);
}
END_TEST

START_TEST(test_news_during_a_fetch_is_fetched_after_it)
{
	set_up_three();
	sync_answer("vm-2", true, version + 1);
	wait_for_count("fetch vm-2", 1);
	sync_answer("vm-3", true, version + 2);
	sync_answer_with_row("vm-2", "group/db", version + 1);
	wait_for_count("fetch vm-3", 1);
}
END_TEST

/* What a VM confirms counts once this VM knows all that the other one knew. */
START_TEST(test_word_of_newer_versions_confirms_after_the_rows)
{
	int64_t before_us;

	set_up_three();
	before_us = authority_us;
	sync_answer("vm-2", true, version + 1);
	wait_us(50000);
	ck_assert_int_eq(authority_us, before_us);
	sync_answer_with_row("vm-3", "group/db", version + 1);
	wait_for_count("row group/db", 1);
	wait_us(50000);
	ck_assert_int_gt(authority_us, before_us);
}
END_TEST

/*
 * A VM's own write stood for all before it, so that it told others of a version whose rows it
 * lacked, and none of them asked for these again: half the VMs never knew of a group's primary.
 */
START_TEST(test_own_write_hides_no_earlier_row)
{
	GBytes *body = g_bytes_new_static("{}", 2);
	uint64_t known;

	set_up_three();
	known = version;
	/* Between two feeds another VM writes a row, then this one. */
	feed_answer("group/other", "{}");
	known++;
	wait_for_count("row group/other", 1);
	g_string_truncate(journal, 0);
	version += 2;
	jh_platform_send(watcher, JH_PLATFORM_PUT_ROW, "quota", "slots", 0, body, 1);
	g_bytes_unref(body);
	wait_for_count("row quota/slots", 1);
	wait_for_count("feed", 1);
	ck_assert_uint_eq(feed_after, known);
	ck_assert_uint_eq(count_in_journal("ask vm-2"), 0);
	version -= 2;
	feed_answer("group/db", "{}");
	wait_for_count("row group/db", 1);
}
END_TEST

/* Who waits for the others to know of its write asks them once it may say that it knows all. */
START_TEST(test_own_write_is_told_once_all_before_it_is_known)
{
	GBytes *body = g_bytes_new_static("{}", 2);

	set_up_three();
	version += 2;
	g_string_truncate(journal, 0);
	jh_platform_send(watcher, JH_PLATFORM_PUT_ROW, "quota", "slots", 0, body, 1);
	g_bytes_unref(body);
	wait_for_count("row quota/slots", 1);
	version--;
	feed_answer("group/db", "{}");
	wait_for_count("ask vm-3", 1);
	wait_us(20000);
	ck_assert_uint_eq(count_in_journal("row"), 2);
}
END_TEST

/*
 * The lead counts itself among those that know of its change. Until its feed has brought all before
 * the change, its versions do not tell of it, and another VM must not count its word.
 */
START_TEST(test_vm_vouches_for_nothing_while_its_write_is_ahead)
{
	GBytes *body = g_bytes_new_static("{}", 2);
	Jh__Frame *question;

	set_up_three();
	question = sync_frame_new(true, version);
	question->mirror_sync->is_reply = false;
	jh_frame_deliver(watcher, "vm-2", 1, question);
	wait_for_count("reply confirms=1 lasts=1", 1);
	version += 2;
	jh_platform_send(watcher, JH_PLATFORM_PUT_ROW, "group", "db", 0, body, 1);
	g_bytes_unref(body);
	wait_for_count("row group/db", 1);
	question = sync_frame_new(true, version - 2);
	question->mirror_sync->is_reply = false;
	jh_frame_deliver(watcher, "vm-2", 1, question);
	wait_for_count("reply confirms=0 lasts=0", 1);
}
END_TEST

/* A new lead that had been cut off took VMs off the list, and was a majority by that alone. */
START_TEST(test_own_removal_of_vms_waits_for_earlier_rows)
{
	GPtrArray *writes = jh_store_writes_new();

	set_up_three();
	g_string_truncate(journal, 0);
	version += 2;
	jh_store_write_add(writes, JH_STORE_DROP, "vm/vm-3", JH_STORE_ANY_VERSION, NULL);
	jh_platform_commit(watcher, "fleet", writes, 1);
	wait_for_count("put vm/vm-3", 1);
	wait_us(50000);
	ck_assert_uint_eq(count_in_journal("dropped"), 0);
	feed_answer("vm/vm-3", NULL);
	wait_for_count("dropped vm/vm-3", 1);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		test_vm_registers_itself_and_gains_authority,
		test_vm_taken_off_the_list_comes_back,
		test_row_of_an_earlier_life_is_kept,
		test_old_news_is_not_taken,
		test_majority_confirms_only_by_vms_that_had_authority,
		test_rows_are_asked_of_one_vm,
		test_news_during_a_fetch_is_fetched_after_it,
		test_word_of_newer_versions_confirms_after_the_rows,
		test_own_write_hides_no_earlier_row,
		test_own_write_is_told_once_all_before_it_is_known,
		test_own_removal_of_vms_waits_for_earlier_rows,
		test_vm_vouches_for_nothing_while_its_write_is_ahead,
		NULL,
	};

	return run_tests("mirror", tests);
}
