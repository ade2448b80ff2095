/* Pools of the owner: which job gets a slot and a connection next.
 *
 * Requests go through the fair queue and start while fewer than `slots` connections work, and one
 * more: it waits at the database, so that a slot that becomes free is not idle for a round trip.
 * Those of open transactions start at once: the statements that fill the slots may wait for a lock
 * that just this transaction holds, and would wait for each other until their deadlines. What runs
 * beyond the slots is bounded by the connections. At most two thirds of the database's connections
 * are used, so that a successor can open its own before the database notices that this VM died.
 */
#include "internal/owner.h"

#include "jh_counter.h"
#include "jh_log.h"

#include <string.h>

/* Statements sent beyond the slots. */
#define RUN_AHEAD 1
/* Connections kept open without work. */
#define WARM_CONNECTIONS 2
#define IDLE_MAX_US (60 * G_TIME_SPAN_SECOND)
/* A transaction that does nothing for this time is rolled back. */
#define PIN_IDLE_MAX_US (30 * G_TIME_SPAN_SECOND)
/* What is left of a job that was given up, or a reset, ends in this time or is cut off. */
#define STUCK_MAX_US (5 * G_TIME_SPAN_SECOND)
#define BACKOFF_MIN_US (50 * G_TIME_SPAN_MILLISECOND)
#define BACKOFF_MAX_US (2 * G_TIME_SPAN_SECOND)

JH_COUNTER(overloaded_total, "jasminehill_owner_overloaded_total",
	   "requests refused because the queue was full or the deadline too near");
JH_COUNTER(pin_idle_total, "jasminehill_owner_idle_transactions_total",
	   "transactions rolled back because nothing came");

/* ---- life ---- */

static int64_t pool_now_us(const _jh_pool_t *pool)
{
	return jh_kernel_now_us(jh_task_kernel(pool->owner->task));
}

_jh_pool_t *_jh_pool_new(_jh_owner_t *owner, const jh_group_t *group, const jh_database_t *database)
{
	_jh_pool_t *pool = g_new0(_jh_pool_t, 1);

	pool->owner = owner;
	pool->name = g_intern_string(database->name);
	pool->queue = jh_fair_queue_new(database->slots + RUN_AHEAD, JH_OWNER_QUEUE_BOUND);
	pool->conns = g_ptr_array_new();
	pool->held = g_ptr_array_new();
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
	g_ptr_array_free(pool->held, TRUE);
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

/* Idle connections lead to the old address. */
static void pool_close_idle(_jh_pool_t *pool)
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
			((_jh_conn_t *)g_ptr_array_index(pool->conns, i))->cancelled = true;
		pool_close_idle(pool);
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
	pool->limit = MAX(database->connections * 2 / 3, 1);
	pool->departing = database->departing;
	pool->owned = true;
	jh_fair_queue_set_slots(pool->queue, pool->slots + RUN_AHEAD);
}

/* Refuse what has not started. */
static void pool_refuse_waiting(_jh_pool_t *pool, Jh__AnswerEnd__Reason reason, const char *message,
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
	pool->owned = false;
	pool_refuse_waiting(pool, JH__ANSWER_END__REASON__NOT_OWNER,
			    "another VM owns this database now", 1);
	pool_close_idle(pool);
}

static void pool_close_all(_jh_pool_t *pool)
{
	while (pool->conns->len > 0) {
		_jh_conn_t *conn = g_ptr_array_index(pool->conns, pool->conns->len - 1);

		if (conn->job)
			_jh_run_on_conn_lost(conn);
		_jh_conn_close(conn);
	}
}

void _jh_pool_set_abandoned(_jh_pool_t *pool, bool abandoned)
{
	if (pool->abandoned == abandoned)
		return;
	pool->abandoned = abandoned;
	if (!abandoned)
		return;
	jh_log(JH_LOG_WARNING, "owner", "database_abandoned", "database=%s waiting=%u",
	       jh_log_value(pool->name), jh_fair_queue_length(pool->queue));
	pool_refuse_waiting(pool, JH__ANSWER_END__REASON__UNREACHABLE,
			    "the database is out of reach", 1);
	pool_close_all(pool);
}

bool _jh_pool_is_finished(const _jh_pool_t *pool)
{
	return !pool->owned && pool->conns->len == 0 && pool->held->len == 0 &&
	       jh_fair_queue_length(pool->queue) == 0;
}

/* ---- what is known of the database ---- */

const jh_group_view_t *_jh_pool_view(const _jh_pool_t *pool)
{
	return g_hash_table_lookup(pool->owner->views, pool->group);
}

bool _jh_pool_is_primary(const _jh_pool_t *pool)
{
	const jh_group_view_t *view = _jh_pool_view(pool);

	return view && view->primary && g_str_equal(view->primary, pool->name);
}

void _jh_pool_observe_position(_jh_pool_t *pool, jh_position_t position)
{
	if (jh_position_compare(position, pool->position) > 0)
		pool->position = position;
}

/* ---- starting jobs ---- */

/* Prefer a connection in the right mode; else any idle one. */
static _jh_conn_t *pool_find_idle(const _jh_pool_t *pool, bool write)
{
	_jh_conn_mode_t mode = write ? JH_MODE_READ_WRITE : JH_MODE_READ_ONLY;
	_jh_conn_t *found = NULL;
	unsigned i;

	for (i = 0; i < pool->conns->len; i++) {
		_jh_conn_t *conn = g_ptr_array_index(pool->conns, i);

		if (conn->state != JH_CONN_IDLE)
			continue;
		if (conn->mode == mode)
			return conn;
		found = conn;
	}
	return found;
}

static unsigned pool_count(const _jh_pool_t *pool, _jh_conn_state_t state)
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
	unsigned kept = pool->slots + RUN_AHEAD;
	unsigned pins = 0;
	unsigned i;

	for (i = 0; i < pool->conns->len; i++)
		pins += ((_jh_conn_t *)g_ptr_array_index(pool->conns, i))->pin != JH_HANDLE_NONE;
	return pins + kept > MAX(pool->limit, kept + 1);
}

/* Open connections for waiting jobs that have a slot. */
static void pool_open(_jh_pool_t *pool, unsigned wanted)
{
	unsigned coming = pool_count(pool, JH_CONN_CONNECTING);

	while (pool->owned && coming < wanted && pool->conns->len < pool->limit &&
	       pool_now_us(pool) >= pool->retry_us) {
		if (!_jh_conn_open(pool)) {
			_jh_pool_connect_failed(pool);
			return;
		}
		coming++;
	}
}

static bool pool_start_next(_jh_pool_t *pool)
{
	_jh_conn_t *conn = pool_find_idle(pool, false);
	_jh_job_t *job;
	uint64_t number;

	if (!conn)
		return false;
	number = jh_fair_queue_take(pool->queue, pool_now_us(pool));
	job = jh_table_get(pool->owner->jobs, number);
	g_assert(job && job->state == JH_JOB_QUEUED);
	_jh_run_start(pool_find_idle(pool, job->request->write), job);
	return true;
}

void _jh_pool_dispatch(_jh_pool_t *pool)
{
	unsigned most = pool->slots + RUN_AHEAD;

	while (pool->busy < most && jh_fair_queue_length(pool->queue) > 0) {
		if (!pool_start_next(pool))
			break;
	}
	if (pool->busy < most)
		pool_open(pool, MIN(jh_fair_queue_length(pool->queue), most - pool->busy));
}

/* ---- waiting jobs ---- */

void _jh_pool_run_pinned(_jh_pool_t *pool, _jh_conn_t *conn, _jh_job_t *job)
{
	jh_fair_queue_start(pool->queue, job->team, job->request->weight);
	_jh_run_start(conn, job);
}

void _jh_pool_enqueue(_jh_pool_t *pool, _jh_job_t *job)
{
	jh_fair_admission_t verdict;

	if (pool->conns->len == 0 && pool_now_us(pool) < pool->retry_us) {
		_jh_job_refuse(job, JH__ANSWER_END__REASON__UNREACHABLE,
			       "the database can't be connected to",
			       (uint32_t)(pool->backoff_us / 1000));
		return;
	}
	verdict = jh_fair_queue_offer(pool->queue, job->team, job->request->weight, job->handle,
				      pool_now_us(pool), job->request->deadline_ms * 1000);
	if (verdict.result != JH_FAIR_QUEUED) {
		jh_counter_add(&overloaded_total, 1);
		_jh_job_refuse(job, JH__ANSWER_END__REASON__OVERLOADED,
			       verdict.result == JH_FAIR_FULL ?
				       "too many requests of the team wait" :
				       "it could not finish before its deadline",
			       (uint32_t)(verdict.retry_us / 1000 + 1));
		return;
	}
	_jh_pool_dispatch(pool);
}

/* ---- connecting ---- */

void _jh_pool_connect_failed(_jh_pool_t *pool)
{
	unsigned usable = pool->conns->len - pool_count(pool, JH_CONN_CONNECTING);

	pool->backoff_us = CLAMP(2 * pool->backoff_us, BACKOFF_MIN_US, BACKOFF_MAX_US);
	pool->retry_us = pool_now_us(pool) + pool->backoff_us;
	if (usable == 0)
		pool_refuse_waiting(pool, JH__ANSWER_END__REASON__UNREACHABLE,
				    "the database can't be connected to",
				    (uint32_t)(pool->backoff_us / 1000));
}

/* ---- ageing ---- */

/* Return: true if the connection was closed */
static bool conn_age(_jh_conn_t *conn, int64_t age_us)
{
	_jh_pool_t *pool = conn->pool;
	bool is_spare =
		pool->departing || (pool->conns->len > WARM_CONNECTIONS && age_us > IDLE_MAX_US);

	if (conn->state == JH_CONN_IDLE && is_spare) {
		_jh_conn_close(conn);
		return true;
	}
	if (conn->state == JH_CONN_PINNED && age_us > PIN_IDLE_MAX_US) {
		jh_counter_add(&pin_idle_total, 1);
		_jh_conn_unpin(conn);
		return true;
	}
	if ((conn->state == JH_CONN_CLEANING || (conn->state == JH_CONN_WORKING && !conn->job)) &&
	    age_us > STUCK_MAX_US) {
		_jh_conn_close(conn);
		return true;
	}
	return false;
}

void _jh_pool_tick(_jh_pool_t *pool)
{
	int64_t now_us = pool_now_us(pool);
	unsigned i = 0;

	while (i < pool->conns->len) {
		_jh_conn_t *conn = g_ptr_array_index(pool->conns, i);
		unsigned before = pool->conns->len;

		/* Unpinning may close or keep the connection. */
		if (!conn_age(conn, now_us - conn->since_us) || pool->conns->len == before)
			i++;
	}
	if (pool->owned && !pool->departing && !pool->owner->draining &&
	    pool->conns->len < MIN(WARM_CONNECTIONS, pool->limit))
		pool_open(pool, 1);
	_jh_pool_dispatch(pool);
}
