/* Pools of the owner: the wait queue of a database and its set of connections. Single connections
 * are in owner_conn.c, jobs in owner_job.c.
 *
 * Requests outside a transaction pass through the fair queue. They start while fewer than
 * `slots` + 1 connections work. The additional statement waits at the database, so that a slot that
 * becomes free is not idle for a round trip.
 *
 * Requests of open transactions start immediately. The statements that use the slots may wait for
 * a lock that such a transaction holds; if the transaction had to wait for a slot, they would block
 * each other until their deadlines. The number of connections limits what runs beyond the slots.
 *
 * At most two thirds of the database's connections are used, so that the next owner can open its
 * own before the database notices that this VM has failed.
 */
#include "internal/owner.h"

#include "jh_counter.h"
#include "jh_log.h"

#include <string.h>

/* Number of statements that are sent to the database beyond its slots. */
#define STATEMENTS_AHEAD 1
/* Number of connections that are kept open without work. */
#define MIN_OPEN_CONNECTIONS 2
#define CONN_IDLE_MAX_US (60 * G_TIME_SPAN_SECOND)
/* An open transaction is rolled back if no request arrives for this time. */
#define TRANSACTION_IDLE_MAX_US (30 * G_TIME_SPAN_SECOND)
/* A connection is closed if the reset of its session, or the cancelled statement of an abandoned
 * job, takes longer than this. */
#define CLEANUP_MAX_US (5 * G_TIME_SPAN_SECOND)
#define BACKOFF_MIN_US (50 * G_TIME_SPAN_MILLISECOND)
#define BACKOFF_MAX_US (2 * G_TIME_SPAN_SECOND)

JH_COUNTER(overloaded_total, "jasminehill_owner_overloaded_total",
	   "requests refused because the queue was full or the deadline too near");
JH_COUNTER(pin_idle_total, "jasminehill_owner_idle_transactions_total",
	   "transactions rolled back because nothing came");

/* ---- Making, configuring and freeing pools ---- */

static int64_t pool_now_us(const _jh_pool_t *pool)
{
	return jh_kernel_now_us(jh_task_kernel(pool->owner->task));
}

_jh_pool_t *_jh_pool_new(_jh_owner_t *owner, const jh_group_t *group, const jh_database_t *database)
{
	_jh_pool_t *pool = g_new0(_jh_pool_t, 1);

	pool->owner = owner;
	pool->name = g_intern_string(database->name);
	pool->queue =
		jh_fair_queue_new(database->slots + STATEMENTS_AHEAD, JH_OWNER_TEAM_QUEUE_MAX);
	pool->conns = g_ptr_array_new();
	pool->withheld = g_ptr_array_new();
	_jh_pool_update(pool, group, database);
	return pool;
}

void _jh_pool_free(void *data)
{
	_jh_pool_t *pool = data;

	while (pool->conns->len > 0)
		_jh_conn_close(g_ptr_array_index(pool->conns, 0));
	jh_fair_queue_free(pool->queue);
	g_ptr_array_free(pool->conns, TRUE);
	g_ptr_array_free(pool->withheld, TRUE);
	g_free(pool->host);
	g_free(pool->dbname);
	g_free(pool->user);
	g_free(pool);
}

static bool pool_has_address(const _jh_pool_t *pool, const jh_group_t *group,
			     const jh_database_t *database)
{
	return pool->host && g_str_equal(pool->host, database->host) &&
	       pool->port == database->port && g_str_equal(pool->dbname, group->dbname) &&
	       g_str_equal(pool->user, group->user);
}

/* Close the connections that run no work and hold no transaction. */
static void close_unused_conns(_jh_pool_t *pool)
{
	unsigned i = 0;

	while (i < pool->conns->len) {
		_jh_conn_t *conn = g_ptr_array_index(pool->conns, i);

		if (conn->state == JH_CONN_IDLE || conn->state == JH_CONN_CONNECTING)
			_jh_conn_close(conn);
		else
			i++;
	}
}

void _jh_pool_update(_jh_pool_t *pool, const jh_group_t *group, const jh_database_t *database)
{
	unsigned i;

	if (!pool_has_address(pool, group, database)) {
		for (i = 0; i < pool->conns->len; i++)
			((_jh_conn_t *)g_ptr_array_index(pool->conns, i))->must_close = true;
		/* The idle connections are connected to the old address. */
		close_unused_conns(pool);
		g_free(pool->host);
		g_free(pool->dbname);
		g_free(pool->user);
		pool->host = g_strdup(database->host);
		pool->dbname = g_strdup(group->dbname);
		pool->user = g_strdup(group->user);
		pool->port = database->port;
		pool->position = (jh_position_t){ 0 };
		pool->retry_us = 0;
	}
	pool->group = g_intern_string(group->name);
	pool->slots = MAX(database->slots, 1);
	pool->max_conns = MAX(database->connections * 2 / 3, 1);
	pool->departing = database->departing;
	pool->is_owned = true;
	jh_fair_queue_set_slots(pool->queue, pool->slots + STATEMENTS_AHEAD);
}

/* Refuse all jobs that have not started. */
static void refuse_queued_jobs(_jh_pool_t *pool, Jh__AnswerEnd__Reason reason, const char *message,
			       uint32_t retry_after_ms)
{
	unsigned cursor = 0;
	_jh_job_t *job;

	while ((job = jh_table_next(pool->owner->jobs, &cursor))) {
		if (job->pool == pool && job->state == JH_JOB_QUEUED)
			_jh_job_refuse(job, reason, message, retry_after_ms);
	}
}

void _jh_pool_disown(_jh_pool_t *pool)
{
	pool->is_owned = false;
	refuse_queued_jobs(pool, JH__ANSWER_END__REASON__NOT_OWNER,
			   "another VM owns this database now", 1);
	close_unused_conns(pool);
}

/* Close all connections and end the jobs that run on them. */
static void close_all_conns(_jh_pool_t *pool)
{
	while (pool->conns->len > 0) {
		_jh_conn_t *conn = g_ptr_array_index(pool->conns, pool->conns->len - 1);

		if (conn->job)
			_jh_run_on_conn_lost(conn);
		_jh_conn_close(conn);
	}
}

void _jh_pool_set_abandoned(_jh_pool_t *pool, bool is_abandoned)
{
	if (pool->is_abandoned == is_abandoned)
		return;
	pool->is_abandoned = is_abandoned;
	if (!is_abandoned)
		return;
	jh_log(JH_LOG_WARNING, "owner", "database_abandoned", "database=%s waiting=%u",
	       jh_log_value(pool->name), jh_fair_queue_length(pool->queue));
	refuse_queued_jobs(pool, JH__ANSWER_END__REASON__UNREACHABLE,
			   "the database is out of reach", 1);
	close_all_conns(pool);
}

bool _jh_pool_is_finished(const _jh_pool_t *pool)
{
	return !pool->is_owned && pool->conns->len == 0 && pool->withheld->len == 0 &&
	       jh_fair_queue_length(pool->queue) == 0;
}

/* ---- Role and position of the database ---- */

const jh_group_view_t *_jh_pool_group_view(const _jh_pool_t *pool)
{
	return g_hash_table_lookup(pool->owner->views, pool->group);
}

bool _jh_pool_is_primary(const _jh_pool_t *pool)
{
	const jh_group_view_t *view = _jh_pool_group_view(pool);

	return view && view->primary && g_str_equal(view->primary, pool->name);
}

void _jh_pool_observe_position(_jh_pool_t *pool, jh_position_t position)
{
	if (jh_position_compare(position, pool->position) > 0)
		pool->position = position;
}

/* ---- Dispatch ---- */

/* Return: an idle connection, if possible in the access mode needed; NULL if none is idle */
static _jh_conn_t *find_idle_conn(const _jh_pool_t *pool, bool write)
{
	_jh_conn_mode_t mode = write ? JH_MODE_READ_WRITE : JH_MODE_READ_ONLY;
	_jh_conn_t *fallback = NULL;
	unsigned i;

	for (i = 0; i < pool->conns->len; i++) {
		_jh_conn_t *conn = g_ptr_array_index(pool->conns, i);

		if (conn->state != JH_CONN_IDLE)
			continue;
		if (conn->mode == mode)
			return conn;
		fallback = conn;
	}
	return fallback;
}

static unsigned count_conns(const _jh_pool_t *pool, _jh_conn_state_t state)
{
	unsigned count = 0;
	unsigned i;

	for (i = 0; i < pool->conns->len; i++) {
		if (((_jh_conn_t *)g_ptr_array_index(pool->conns, i))->state == state)
			count++;
	}
	return count;
}

bool _jh_pool_is_pin_limited(const _jh_pool_t *pool)
{
	unsigned reserved = pool->slots + STATEMENTS_AHEAD;
	unsigned pinned = 0;
	unsigned i;

	for (i = 0; i < pool->conns->len; i++)
		pinned += ((_jh_conn_t *)g_ptr_array_index(pool->conns, i))->pin != JH_HANDLE_NONE;
	/* Reserve connections for requests outside transactions, but allow one transaction. */
	return pinned + reserved > MAX(pool->max_conns, reserved + 1);
}

/* Open connections until @wanted are connecting, as far as limits and backoff allow. */
static void open_conns(_jh_pool_t *pool, unsigned wanted)
{
	unsigned connecting = count_conns(pool, JH_CONN_CONNECTING);

	while (pool->is_owned && connecting < wanted && pool->conns->len < pool->max_conns &&
	       pool_now_us(pool) >= pool->retry_us) {
		if (!_jh_conn_open(pool)) {
			_jh_pool_on_connect_failed(pool);
			return;
		}
		connecting++;
	}
}

/* Bytes that came before a statement is sent are never its answer. */
static bool close_unless_quiet(_jh_conn_t *conn)
{
	if (_jh_conn_is_quiet(conn))
		return false;
	if (!conn->has_stray)
		jh_log(JH_LOG_WARNING, "owner", "connection_lost", "database=%s reason=%s",
		       jh_log_value(conn->pool->name), jh_log_value(PQerrorMessage(conn->pg)));
	_jh_conn_close(conn);
	return true;
}

static bool start_next_job(_jh_pool_t *pool)
{
	_jh_conn_t *conn;
	_jh_conn_t *preferred;
	_jh_job_t *job;
	uint64_t job_handle;

	do {
		conn = find_idle_conn(pool, false);
	} while (conn && close_unless_quiet(conn));
	if (!conn)
		return false;
	job_handle = jh_fair_queue_take(pool->queue, pool_now_us(pool));
	job = jh_table_get(pool->owner->jobs, job_handle);
	g_assert(job && job->state == JH_JOB_QUEUED);
	preferred = find_idle_conn(pool, job->request->write);
	if (preferred != conn && !close_unless_quiet(preferred))
		conn = preferred;
	_jh_run_start(conn, job);
	return true;
}

void _jh_pool_dispatch(_jh_pool_t *pool)
{
	unsigned max_busy = pool->slots + STATEMENTS_AHEAD;

	while (pool->used_slots < max_busy && jh_fair_queue_length(pool->queue) > 0) {
		if (!start_next_job(pool))
			break;
	}
	if (pool->used_slots < max_busy)
		open_conns(pool,
			   MIN(jh_fair_queue_length(pool->queue), max_busy - pool->used_slots));
}

/* ---- Accepting jobs ---- */

void _jh_pool_run_pinned(_jh_pool_t *pool, _jh_conn_t *conn, _jh_job_t *job)
{
	jh_fair_queue_start(pool->queue, job->team, job->request->weight);
	_jh_run_start(conn, job);
}

void _jh_pool_enqueue(_jh_pool_t *pool, _jh_job_t *job)
{
	jh_fair_admission_t admission;

	if (pool->conns->len == 0 && pool_now_us(pool) < pool->retry_us) {
		_jh_job_refuse(job, JH__ANSWER_END__REASON__UNREACHABLE,
			       "the database can't be connected to",
			       (uint32_t)(pool->backoff_us / 1000));
		return;
	}
	admission = jh_fair_queue_offer(pool->queue, job->team, job->request->weight, job->handle,
					pool_now_us(pool), job->request->deadline_ms * 1000);
	if (admission.result != JH_FAIR_QUEUED) {
		jh_counter_add(&overloaded_total, 1);
		_jh_job_refuse(job, JH__ANSWER_END__REASON__OVERLOADED,
			       admission.result == JH_FAIR_FULL ?
				       "too many requests of the team wait" :
				       "it could not finish before its deadline",
			       (uint32_t)(admission.retry_us / 1000 + 1));
		return;
	}
	_jh_pool_dispatch(pool);
}

/* ---- Failures to connect ---- */

void _jh_pool_on_connect_failed(_jh_pool_t *pool)
{
	unsigned established = pool->conns->len - count_conns(pool, JH_CONN_CONNECTING);

	pool->backoff_us = CLAMP(2 * pool->backoff_us, BACKOFF_MIN_US, BACKOFF_MAX_US);
	pool->retry_us = pool_now_us(pool) + pool->backoff_us;
	if (established == 0)
		refuse_queued_jobs(pool, JH__ANSWER_END__REASON__UNREACHABLE,
				   "the database can't be connected to",
				   (uint32_t)(pool->backoff_us / 1000));
}

/* ---- Periodic work ---- */

/* Close or unpin a connection that has been in its state for too long. Return: true if it did */
static bool expire_conn(_jh_conn_t *conn, int64_t age_us)
{
	_jh_pool_t *pool = conn->pool;
	bool is_surplus = pool->departing ||
			  (pool->conns->len > MIN_OPEN_CONNECTIONS && age_us > CONN_IDLE_MAX_US);

	if (conn->state == JH_CONN_IDLE && is_surplus) {
		_jh_conn_close(conn);
		return true;
	}
	if (conn->state == JH_CONN_PINNED && age_us > TRANSACTION_IDLE_MAX_US) {
		jh_counter_add(&pin_idle_total, 1);
		_jh_conn_unpin(conn);
		return true;
	}
	if ((conn->state == JH_CONN_CLEANING || (conn->state == JH_CONN_WORKING && !conn->job)) &&
	    age_us > CLEANUP_MAX_US) {
		_jh_conn_close(conn);
		return true;
	}
	return false;
}

void _jh_pool_on_tick(_jh_pool_t *pool)
{
	int64_t now_us = pool_now_us(pool);
	unsigned i = 0;

	while (i < pool->conns->len) {
		_jh_conn_t *conn = g_ptr_array_index(pool->conns, i);
		unsigned count_before = pool->conns->len;

		/* Unpinning may close the connection, which removes it from the array. */
		if (!expire_conn(conn, now_us - conn->state_since_us) ||
		    pool->conns->len == count_before)
			i++;
	}
	if (pool->is_owned && !pool->departing && !pool->owner->is_draining &&
	    pool->conns->len < MIN(MIN_OPEN_CONNECTIONS, pool->max_conns))
		open_conns(pool, 1);
	_jh_pool_dispatch(pool);
}
