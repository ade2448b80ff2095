#include "internal/mirror.h"

#include "jh_counter.h"
#include "jh_log.h"
#include "jh_platform.h"

/*
 * Checks that no table here lacks a change. A feed that waits proves nothing: the store may have
 * forgotten it, together with the feeds of all other VMs, and the feeds' timeouts are longer than
 * the time within which a change must be in force. Therefore each table is read again without
 * waiting, by one VM for all: the time of its last check travels in the frames that compare
 * versions.
 */

/* The first voter checks a table that has not been known to be current for this long; each of the
 * next voters waits for the others' check for as long again, microseconds. The delay is shorter if
 * fewer than CHECKS_IN_BOUND of them fit into the time within which a change must be in force.
 */
#define CHECK_DELAY_US (800 * INT64_C(1000))
#define CHECKS_IN_BOUND 4

/* A VM to which no other VM replies checks a table this often within that time: it has no other way
 * to learn of a change that its feed did not return, and nobody shares its checks.
 */
#define CHECKS_IN_BOUND_ALONE 3

/* A voter whose last reply is older than this, microseconds, checks nothing that this VM would
 * learn of. A voter sends requests to each other one within two intervals.
 */
#define REPLY_AGE_MAX_US (1000 * INT64_C(1000))

/* All later voters have the last of these ranks. */
#define VOTER_RANKS 3u

/* A VM that is no voter waits this many delays: the voters fail to check for as long only if the
 * store does not respond, and then the calls of all other VMs would add to its load.
 */
#define NON_VOTER_RANK 7u

/* VMs of the same rank add a random time up to this, so that usually only one checks. */
#define CHECK_SPREAD_US (1600 * 1000)

/* A live feed returns a row that this VM has learned otherwise within this time, microseconds. */
#define FEED_OVERDUE_US (1000 * INT64_C(1000))

/* Delay before a failed check is repeated, doubled with each failure; microseconds. */
#define CHECK_RETRY_MIN_US (200 * INT64_C(1000))
#define CHECK_RETRY_MAX_DOUBLINGS 3u

JH_COUNTER(checks_total, "jasminehill_mirror_checks_total",
	   "reads of the store that checked whether a table lacks a change");
JH_COUNTER(feeds_ended_total, "jasminehill_mirror_feeds_ended_total",
	   "feeds that were ended because they had not returned a change");

/*
 * A read of a restored store whose era is not confirmed proves nothing of the fleet's table: a
 * quorum that does not know the changes of before would go on by such reads.
 */
void _jh_mirror_table_on_read(_jh_mirror_table_t *table, int64_t sent_us)
{
	if (table->id == JH_MIRROR_FLEET)
		_jh_mirror_update_era(table->mirror);
	if (table->id == JH_MIRROR_FLEET && !table->mirror->is_era_confirmed)
		table->next_check_us = jh_boot_time_us() + CHECK_DELAY_US;
	else
		_jh_mirror_table_on_verified(table, sent_us);
}

void _jh_mirror_table_on_verified(_jh_mirror_table_t *table, int64_t verified_us)
{
	if (verified_us <= table->verified_us)
		return;
	table->verified_us = verified_us;
	table->check_spread_us = g_random_int_range(0, CHECK_SPREAD_US);
}

/* Return: the time within which a change of the table must be in force, microseconds */
static int64_t table_bound_us(const _jh_mirror_table_t *table)
{
	const jh_settings_t *settings = jh_kernel_settings(jh_task_kernel(table->mirror->task));

	/* Drains of data centres are rows of the configuration's table. */
	if (table->id == JH_MIRROR_CONFIG)
		return (int64_t)MIN(settings->config_bound_ms, settings->dc_drain_ms) * 1000;
	if (table->id == JH_MIRROR_MEMBERS)
		return (int64_t)settings->member_drain_ms * 1000;
	/* The mirror lease bounds the age of the fleet's table. */
	return CHECK_DELAY_US * CHECKS_IN_BOUND;
}

void _jh_mirror_note_reply(_jh_mirror_t *mirror, const char *vm)
{
	int64_t now_us = jh_boot_time_us();

	g_hash_table_replace(mirror->reply_times, (void *)vm, g_memdup2(&now_us, sizeof(now_us)));
}

static bool has_replied(const _jh_mirror_t *mirror, const char *vm, int64_t now_us)
{
	const int64_t *replied_us = g_hash_table_lookup(mirror->reply_times, vm);

	return replied_us && now_us - *replied_us <= REPLY_AGE_MAX_US;
}

static bool is_alone(const _jh_mirror_t *mirror, int64_t now_us)
{
	unsigned i;

	for (i = 0; i < mirror->voters->len; i++) {
		if (has_replied(mirror, g_ptr_array_index(mirror->voters, i), now_us))
			return false;
	}
	return true;
}

/*
 * Return: this VM's place in the order in which VMs check the table, among the voters that reply to
 * it; each table has another first voter
 */
static unsigned check_rank(const _jh_mirror_table_t *table, int64_t now_us)
{
	const GPtrArray *voters = table->mirror->voters;
	unsigned first = voters->len * table->id / JH_MIRROR_TABLE_COUNT;
	unsigned rank = 0;
	unsigned i;

	for (i = 0; i < voters->len; i++) {
		const char *vm = g_ptr_array_index(voters, (first + i) % voters->len);

		if (g_str_equal(vm, _jh_mirror_self(table->mirror)))
			return MIN(rank, VOTER_RANKS - 1);
		rank += has_replied(table->mirror, vm, now_us);
	}
	return NON_VOTER_RANK;
}

/* Return: age of the table's last check from which this VM checks it, microseconds */
static int64_t check_age_us(const _jh_mirror_table_t *table, int64_t now_us)
{
	int64_t bound_us = table_bound_us(table);
	int64_t delay_us = MIN(CHECK_DELAY_US, bound_us / CHECKS_IN_BOUND);
	unsigned rank;

	if (is_alone(table->mirror, now_us))
		return MAX(delay_us, bound_us / CHECKS_IN_BOUND_ALONE);
	rank = check_rank(table, now_us);
	return (rank + 1) * delay_us + (rank >= VOTER_RANKS - 1 ? table->check_spread_us : 0);
}

static bool needs_check(const _jh_mirror_table_t *table, int64_t now_us)
{
	if (!table->is_complete || table->is_checking || table->needs_scan ||
	    now_us < table->next_check_us)
		return false;
	return table->verified_us == INT64_MIN ||
	       now_us - table->verified_us >= check_age_us(table, now_us);
}

static void table_check(_jh_mirror_table_t *table)
{
	table->is_checking = true;
	table->check_sent_us = jh_boot_time_us();
	jh_counter_add(&checks_total, 1);
	jh_platform_feed(table->mirror->task, jh_mirror_table_name(table->id), table->version, 0,
			 JH_MIRROR_CHECK_TAG + table->id);
}

/* Ends a feed that should have returned a change; the next one begins at the table's version. */
static void end_feed(const _jh_mirror_table_t *table)
{
	jh_counter_add(&feeds_ended_total, 1);
	jh_log(JH_LOG_NOTICE, "mirror", "feed_ended",
	       "table=%s version=%" G_GUINT64_FORMAT " waited_ms=%" G_GINT64_FORMAT,
	       jh_mirror_table_name(table->id), table->version,
	       (jh_boot_time_us() - table->sent_us) / 1000);
	jh_platform_end_feed(table->mirror->task, table->id);
}

void _jh_mirror_table_scan_next(_jh_mirror_table_t *table)
{
	table->needs_scan = true;
	if (table->is_requesting)
		end_feed(table);
}

/* Ends the feed if this VM has had a row for a while that the feed should have returned. */
static void end_overdue_feed(_jh_mirror_table_t *table, int64_t now_us)
{
	if (!table->is_requesting || table->needs_scan ||
	    table->newest_row_version <= table->feed_after_version)
		table->feed_overdue_since_us = 0;
	else if (table->feed_overdue_since_us == 0)
		table->feed_overdue_since_us = now_us;
	else if (now_us - table->feed_overdue_since_us >= FEED_OVERDUE_US)
		end_feed(table);
}

void _jh_mirror_check_tables(_jh_mirror_t *mirror)
{
	int64_t now_us = jh_boot_time_us();
	unsigned i;

	for (i = 0; i < JH_MIRROR_TABLE_COUNT; i++) {
		end_overdue_feed(&mirror->tables[i], now_us);
		if (needs_check(&mirror->tables[i], now_us))
			table_check(&mirror->tables[i]);
	}
}

static void schedule_retry(_jh_mirror_table_t *table)
{
	int64_t delay_us = CHECK_RETRY_MIN_US
			   << MIN(table->check_failures, CHECK_RETRY_MAX_DOUBLINGS);

	table->check_failures++;
	table->next_check_us =
		jh_boot_time_us() + delay_us + g_random_int_range(0, (gint32)delay_us);
}

void _jh_mirror_handle_check(_jh_mirror_table_t *table, const jh_platform_reply_t *reply)
{
	unsigned found = 0;
	unsigned i;

	table->is_checking = false;
	if (reply->status == JH_PLATFORM_HISTORY_LOST) {
		_jh_mirror_table_scan_next(table);
		return;
	}
	if (reply->status != JH_PLATFORM_OK) {
		schedule_retry(table);
		return;
	}
	table->check_failures = 0;
	for (i = 0; i < reply->rows->len; i++) {
		const jh_store_row_t *row = g_ptr_array_index(reply->rows, i);

		found += _jh_mirror_apply_row(table, row->name, row->version, row->body);
	}
	/* Without rows the version stays: other VMs would request the rows up to a higher one. */
	if (reply->rows->len > 0) {
		table->version = MAX(table->version, reply->version);
		_jh_mirror_table_on_caught_up(table);
	}
	if (reply->rows->len < JH_MIRROR_FEED_ROWS_MAX &&
	    jh_store_version_era(reply->version) == jh_store_version_era(table->version))
		_jh_mirror_table_on_read(table, table->check_sent_us);
	if (found > 0 && table->is_requesting && table->sent_us < table->check_sent_us)
		end_feed(table);
	_jh_mirror_apply_acks(table->mirror);
}
