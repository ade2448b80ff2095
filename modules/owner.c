/* The owner task: accepts requests for the databases that this VM owns, and handles configuration,
 * group views and lost entries. Pools are in owner_pool.c, jobs and their responses in owner_job.c,
 * connections in owner_conn.c, and the running of jobs in owner_run.c and owner_steps.c.
 *
 * Each database has one owner among all VMs, which is chosen by placement and holds the database's
 * connections and slots. Ownership is not a lock: while the VM lists of two VMs differ, both may
 * own the same database. This only costs connections, because the terms and positions of the group
 * keep the data safe. Entries send Request frames; the owner replies with AnswerPart frames and one
 * AnswerEnd. See docs/internals/owner.md.
 */
#include "internal/owner.h"

#include "jh_counter.h"
#include "jh_log.h"
#include "jh_placement.h"

#include <string.h>

/* Interval of the periodic work on pools. */
#define TICK_INTERVAL_S 0.25
/* Delay after which an entry may retry a refused request. */
#define RETRY_AFTER_MS 20

JH_COUNTER(requests_total, "jasminehill_owner_requests_total", "requests taken by the owner");
JH_COUNTER(local_total, "jasminehill_owner_requests_local_total",
	   "requests whose entry was on the same VM");
JH_COUNTER(behind_total, "jasminehill_owner_behind_total",
	   "reads refused because the database did not cover them");
JH_COUNTER(pin_lost_total, "jasminehill_owner_pin_lost_total",
	   "requests whose transaction was gone");

static int64_t owner_now_us(const _jh_owner_t *owner)
{
	return jh_kernel_now_us(jh_task_kernel(owner->task));
}

static const char *own_vm_name(const _jh_owner_t *owner)
{
	return jh_kernel_settings(jh_task_kernel(owner->task))->vm;
}

/* ---- Placement of databases ---- */

static bool is_placed_here(const _jh_owner_t *owner, const jh_database_t *database)
{
	char *key = g_strdup_printf("database:%s", database->name);
	const jh_vm_t *vm = jh_placement_choose(owner->vms, key, database->dc);
	bool result = vm && g_str_equal(vm->name, own_vm_name(owner));

	g_free(key);
	return result;
}

static void apply_database(_jh_owner_t *owner, const jh_group_t *group,
			   const jh_database_t *database)
{
	_jh_pool_t *pool = g_hash_table_lookup(owner->pools, database->name);

	if (!is_placed_here(owner, database)) {
		if (pool && pool->is_owned) {
			jh_log(JH_LOG_INFO, "owner", "disowned", "database=%s",
			       jh_log_value(database->name));
			_jh_pool_disown(pool);
		}
		return;
	}
	if (!pool) {
		pool = _jh_pool_new(owner, group, database);
		g_hash_table_insert(owner->pools, (void *)pool->name, pool);
		jh_log(JH_LOG_INFO, "owner", "owns", "database=%s", jh_log_value(pool->name));
	} else {
		_jh_pool_update(pool, group, database);
	}
}

static void disown_removed_databases(_jh_owner_t *owner)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, owner->pools);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		_jh_pool_t *pool = value;

		if (pool->is_owned && !jh_config_find_database(owner->config, pool->name))
			_jh_pool_disown(pool);
	}
}

static void apply_placement(_jh_owner_t *owner)
{
	unsigned i;
	unsigned j;

	if (!owner->config || !owner->vms)
		return;
	for (i = 0; i < owner->config->groups->len; i++) {
		const jh_group_t *group = g_ptr_array_index(owner->config->groups, i);

		for (j = 0; j < group->databases->len; j++)
			apply_database(owner, group, g_ptr_array_index(group->databases, j));
	}
	disown_removed_databases(owner);
}

/* ---- Requests ---- */

/* Reason why a request is refused, with the delay until the entry may try again. */
typedef struct refusal {
	Jh__AnswerEnd__Reason reason;
	const char *message;
	uint32_t retry_after_ms;
} refusal_t;

static const jh_database_view_t *find_database_view(const _jh_pool_t *pool)
{
	const jh_group_view_t *view = _jh_pool_group_view(pool);
	unsigned i;

	for (i = 0; view && i < view->databases->len; i++) {
		const jh_database_view_t *database = g_ptr_array_index(view->databases, i);

		if (g_str_equal(database->name, pool->name))
			return database;
	}
	return NULL;
}

static bool pool_meets_position(const _jh_pool_t *pool, const Jh__Request *request)
{
	const jh_position_t need = { .term = request->need_term, .index = request->need_index };
	const jh_group_view_t *view = _jh_pool_group_view(pool);

	/* The primary of a term writes the log entries of that term, and has all acknowledged
	 * entries of the terms before. */
	if (_jh_pool_is_primary(pool) && view->term >= need.term)
		return true;
	/* A database without an entry of the view's term may be a replaced primary, whose log can
	 * end with entries that are not replicated to a majority. */
	if (view && pool->position.term < view->term)
		return false;
	return jh_position_compare(pool->position, need) >= 0;
}

static bool pool_is_fresh_enough(const _jh_pool_t *pool, const Jh__Request *request)
{
	const jh_database_view_t *view = find_database_view(pool);
	int64_t age_us;

	/* -1 accepts any age. 0 requires only read-your-writes, which pool_meets_position()
	 * checks. */
	if (request->max_age_ms <= 0 || _jh_pool_is_primary(pool))
		return true;
	if (!view || view->last_caught_up_us == 0)
		return false;
	age_us = owner_now_us(pool->owner) - view->last_caught_up_us;
	return age_us <= request->max_age_ms * 1000;
}

/* Check the freshness requirement of a read. Return: true, or false with @refusal set */
static bool check_read(const _jh_pool_t *pool, const Jh__Request *request, refusal_t *refusal)
{
	if (!pool_meets_position(pool, request)) {
		jh_counter_add(&behind_total, 1);
		*refusal = (refusal_t){ JH__ANSWER_END__REASON__BEHIND,
					"the database does not cover the session's position",
					RETRY_AFTER_MS };
		return false;
	}
	if (!pool_is_fresh_enough(pool, request)) {
		jh_counter_add(&behind_total, 1);
		*refusal = (refusal_t){ JH__ANSWER_END__REASON__BEHIND,
					"the database's data is older than the route allows",
					RETRY_AFTER_MS };
		return false;
	}
	return true;
}

/* Check a request that belongs to no open transaction. Return: true, or false with @refusal set */
static bool check_request(const _jh_owner_t *owner, const _jh_pool_t *pool,
			  const Jh__Request *request, refusal_t *refusal)
{
	if (owner->is_draining) {
		*refusal = (refusal_t){ JH__ANSWER_END__REASON__DRAINING,
					"the owner of the database shuts down", RETRY_AFTER_MS };
		return false;
	}
	if (!pool || !pool->is_owned) {
		*refusal = (refusal_t){ JH__ANSWER_END__REASON__NOT_OWNER,
					"this VM does not own the database", RETRY_AFTER_MS };
		return false;
	}
	if (pool->departing) {
		*refusal = (refusal_t){ JH__ANSWER_END__REASON__DRAINING,
					"the database is departing", RETRY_AFTER_MS };
		return false;
	}
	if (pool->is_abandoned) {
		*refusal = (refusal_t){ JH__ANSWER_END__REASON__UNREACHABLE,
					"the database is out of reach", RETRY_AFTER_MS };
		return false;
	}
	if (request->write && !_jh_pool_is_primary(pool)) {
		*refusal = (refusal_t){ JH__ANSWER_END__REASON__NOT_PRIMARY,
					"the database is not its group's primary", RETRY_AFTER_MS };
		return false;
	}
	return request->write || check_read(pool, request, refusal);
}

/* Return: the connection with this pin, NULL unless the sender's current instance opened it */
static _jh_conn_t *find_pinned_conn(const _jh_owner_t *owner, const jh_frame_msg_t *msg,
				    uint64_t pin)
{
	_jh_conn_t *conn = jh_table_get(owner->pins, pin);

	if (!conn || conn->pin_vm != msg->vm || conn->pin_boot != msg->boot)
		return NULL;
	return conn;
}

static void handle_pinned_request(_jh_owner_t *owner, const jh_frame_msg_t *msg, Jh__Frame *frame)
{
	_jh_conn_t *conn = find_pinned_conn(owner, msg, frame->request->pin);
	_jh_job_t *job;

	if (conn && conn->state == JH_CONN_PINNED && !_jh_conn_is_quiet(conn)) {
		_jh_conn_close(conn);
		conn = NULL;
	}
	if (!conn || conn->state != JH_CONN_PINNED) {
		jh_counter_add(&pin_lost_total, 1);
		_jh_owner_refuse(owner, msg->vm, frame->request, JH__ANSWER_END__REASON__PIN_LOST,
				 "the transaction's connection is gone", 0);
		jh_frame_free(frame);
		return;
	}
	job = _jh_job_new(owner, conn->pool, msg->vm, msg->boot, frame);
	job->pin = conn->pin;
	job->transaction = PQtransactionStatus(conn->pg) == PQTRANS_INERROR ? 'E' : 'T';
	if (job->request->request_id && *job->request->request_id) {
		_jh_job_write_error(job, "0A000",
				    "a request id can't be used inside an open transaction");
		_jh_job_finish(job);
		return;
	}
	_jh_pool_run_pinned(conn->pool, conn, job);
}

static void handle_request(_jh_owner_t *owner, const jh_frame_msg_t *msg, Jh__Frame *frame)
{
	const Jh__Request *request = frame->request;
	_jh_pool_t *pool = g_hash_table_lookup(owner->pools, request->database);
	refusal_t refusal;

	jh_counter_add(&requests_total, 1);
	if (g_str_equal(msg->vm, own_vm_name(owner)))
		jh_counter_add(&local_total, 1);
	if (request->pin != 0) {
		handle_pinned_request(owner, msg, frame);
	} else if (!check_request(owner, pool, request, &refusal)) {
		_jh_owner_refuse(owner, msg->vm, request, refusal.reason, refusal.message,
				 refusal.retry_after_ms);
		jh_frame_free(frame);
	} else {
		_jh_pool_enqueue(pool, _jh_job_new(owner, pool, msg->vm, msg->boot, frame));
	}
}

/* ---- Cancelled requests and lost entries ---- */

/* Free a job whose entry was lost or has cancelled it, and cancel its statement. */
static void drop_job(_jh_job_t *job)
{
	_jh_conn_t *conn = job->conn;

	_jh_job_free(job);
	if (conn)
		_jh_conn_abandon(conn);
}

static void roll_back_pinned(_jh_conn_t *conn)
{
	if (conn->state == JH_CONN_PINNED)
		_jh_conn_unpin(conn);
	else if (conn->job)
		drop_job(conn->job);
}

static void handle_release(_jh_owner_t *owner, const jh_frame_msg_t *msg)
{
	const Jh__Release *release = msg->frame->release;
	const _jh_request_key_t id = { .vm = msg->vm, .boot = msg->boot, .id = release->id };
	_jh_job_t *job = release->id ? g_hash_table_lookup(owner->jobs_by_request, &id) : NULL;
	_jh_conn_t *conn;

	if (job && job->state == JH_JOB_QUEUED)
		_jh_job_refuse(job, JH__ANSWER_END__REASON__NONE, "cancelled by its caller", 0);
	else if (job && job->state == JH_JOB_RUNNING)
		_jh_conn_cancel(job->conn);
	conn = release->pin ? find_pinned_conn(owner, msg, release->pin) : NULL;
	if (conn)
		roll_back_pinned(conn);
}

static void handle_ack(_jh_owner_t *owner, const jh_frame_msg_t *msg)
{
	const Jh__AnswerAck *ack = msg->frame->answer_ack;
	const _jh_request_key_t id = { .vm = msg->vm, .boot = msg->boot, .id = ack->id };
	_jh_job_t *job = g_hash_table_lookup(owner->jobs_by_request, &id);

	if (job && job->request->attempt == ack->attempt)
		_jh_run_on_ack(job, ack->bytes);
}

static void on_peer_down(_jh_owner_t *owner, const jh_peer_down_msg_t *peer)
{
	unsigned cursor = 0;
	_jh_job_t *job;
	_jh_conn_t *conn;

	while ((job = jh_table_next(owner->jobs, &cursor))) {
		if (job->id.vm == peer->vm && job->id.boot == peer->boot)
			drop_job(job);
	}
	cursor = 0;
	while ((conn = jh_table_next(owner->pins, &cursor))) {
		if (conn->pin_vm == peer->vm && conn->pin_boot == peer->boot)
			roll_back_pinned(conn);
	}
}

/* ---- Group views ---- */

/*
 * Return: true if the database is unreachable and the view names another primary. The database may
 * be a replaced primary that is paused, and callers of its running statements would wait until
 * their deadlines. An unreachable database that is still the primary may only be slow, so the owner
 * waits for its statements.
 */
static bool must_abandon_pool(const _jh_pool_t *pool, const jh_group_view_t *view,
			      const jh_database_view_t *database)
{
	return database && !database->reachable && view->primary &&
	       !g_str_equal(view->primary, pool->name);
}

static void on_group_view(_jh_owner_t *owner, const jh_group_view_t *view)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_replace(owner->views, g_strdup(view->group), jh_group_view_copy(view));
	g_hash_table_iter_init(&iter, owner->pools);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		_jh_pool_t *pool = value;
		const jh_database_view_t *database;

		if (!g_str_equal(pool->group, view->group))
			continue;
		database = find_database_view(pool);
		if (database)
			_jh_pool_observe_position(pool, database->position);
		_jh_pool_settle_withheld(pool);
		_jh_pool_set_abandoned(pool, must_abandon_pool(pool, view, database));
	}
}

/* ---- Periodic work ---- */

static gboolean pool_is_removable(gpointer key, gpointer value, gpointer data)
{
	(void)key;
	(void)data;
	return _jh_pool_is_finished(value);
}

static void on_tick(struct ev_loop *loop, ev_timer *watcher, int events)
{
	_jh_owner_t *owner = watcher->data;
	GHashTableIter iter;
	void *value;

	(void)loop;
	(void)events;
	g_hash_table_iter_init(&iter, owner->pools);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		_jh_pool_on_tick(value);
	g_hash_table_foreach_remove(owner->pools, pool_is_removable, NULL);
}

/* ---- Module definition ---- */

static int owner_init(jh_task_t *task, jh_error_t *err)
{
	_jh_owner_t *owner = g_new0(_jh_owner_t, 1);

	(void)err;
	owner->task = task;
	owner->views = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, jh_group_view_free);
	owner->pools = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, _jh_pool_free);
	owner->jobs = jh_table_new();
	owner->jobs_by_request = g_hash_table_new(_jh_request_key_hash, _jh_request_key_equal);
	/* An entry may send a pin that an earlier instance gave out; it must match none of these.
	 */
	owner->pins = jh_table_new_from((uint32_t)(jh_kernel_boot(jh_task_kernel(task)) >> 32));
	owner->cancels = g_ptr_array_new_with_free_func(_jh_cancel_free);
	ev_timer_init(&owner->tick, on_tick, TICK_INTERVAL_S, TICK_INTERVAL_S);
	owner->tick.data = owner;
	ev_timer_start(jh_task_loop(task), &owner->tick);
	jh_task_set_state(task, owner);
	return 0;
}

static void owner_handle_frame(_jh_owner_t *owner, jh_frame_msg_t *msg)
{
	if (msg->frame->body_case == JH__FRAME__BODY_REQUEST)
		handle_request(owner, msg, g_steal_pointer(&msg->frame));
	else if (msg->frame->body_case == JH__FRAME__BODY_ANSWER_ACK)
		handle_ack(owner, msg);
	else
		handle_release(owner, msg);
}

static void owner_on_message(jh_task_t *task, const jh_msg_t *msg)
{
	_jh_owner_t *owner = jh_task_state(task);

	switch (msg->type) {
	case JH_MSG_FRAME_IN:
		owner_handle_frame(owner, msg->body);
		break;
	case JH_MSG_CONFIG:
		jh_config_unref(owner->config);
		owner->config = jh_config_ref(((const jh_config_msg_t *)msg->body)->config);
		apply_placement(owner);
		break;
	case JH_MSG_VMS:
		g_clear_pointer(&owner->vms, g_ptr_array_unref);
		owner->vms = g_ptr_array_ref(((const jh_vms_msg_t *)msg->body)->vms);
		apply_placement(owner);
		break;
	case JH_MSG_PEER_DOWN:
		on_peer_down(owner, msg->body);
		break;
	case JH_MSG_GROUP_VIEW:
		on_group_view(owner, ((const jh_group_view_msg_t *)msg->body)->view);
		break;
	default:
		break;
	}
}

static void owner_drain(jh_task_t *task)
{
	((_jh_owner_t *)jh_task_state(task))->is_draining = true;
}

static bool owner_is_drained(jh_task_t *task)
{
	const _jh_owner_t *owner = jh_task_state(task);

	return jh_table_count(owner->jobs) == 0 && jh_table_count(owner->pins) == 0;
}

static void owner_fini(jh_task_t *task)
{
	_jh_owner_t *owner = jh_task_state(task);
	unsigned cursor = 0;
	_jh_job_t *job;

	ev_timer_stop(jh_task_loop(task), &owner->tick);
	while ((job = jh_table_next(owner->jobs, &cursor)))
		_jh_job_free(job);
	g_hash_table_destroy(owner->pools);
	g_ptr_array_free(owner->cancels, TRUE);
	g_hash_table_destroy(owner->jobs_by_request);
	g_hash_table_destroy(owner->views);
	jh_table_free(owner->jobs);
	jh_table_free(owner->pins);
	jh_config_unref(owner->config);
	g_clear_pointer(&owner->vms, g_ptr_array_unref);
	g_free(owner);
}

static const char *pool_role(const _jh_pool_t *pool)
{
	if (!pool->is_owned)
		return "leaving";
	if (pool->departing)
		return "departing";
	return _jh_pool_is_primary(pool) ? "primary" : "replica";
}

static void add_pool_row(jh_rows_t *rows, const _jh_pool_t *pool)
{
	char *conns = g_strdup_printf("%u/%u", pool->conns->len, pool->max_conns);
	char *used_slots = g_strdup_printf("%u/%u", pool->used_slots, pool->slots);
	char *queued = g_strdup_printf("%u", jh_fair_queue_length(pool->queue));
	char *withheld = g_strdup_printf("%u", pool->withheld->len);
	char *wait = g_strdup_printf("%" G_GINT64_FORMAT, jh_fair_queue_wait_us(pool->queue));
	char *position = g_strdup_printf("%" G_GUINT64_FORMAT "/%" G_GUINT64_FORMAT,
					 pool->position.term, pool->position.index);

	jh_rows_add(rows, pool->name, pool->group, pool_role(pool), conns, used_slots, queued,
		    withheld, wait, position, NULL);
	g_free(conns);
	g_free(used_slots);
	g_free(queued);
	g_free(withheld);
	g_free(wait);
	g_free(position);
}

static jh_rows_t *owner_show(jh_task_t *task, const char *topic)
{
	static const char *const columns[] = { "database", "group",  "role", "connections",
					       "slots",	   "queued", "held", "wait_us",
					       "position", NULL };
	const _jh_owner_t *owner = jh_task_state(task);
	GHashTableIter iter;
	jh_rows_t *rows;
	void *value;

	if (!g_str_equal(topic, "databases"))
		return NULL;
	rows = jh_rows_new(columns);
	g_hash_table_iter_init(&iter, owner->pools);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		add_pool_row(rows, value);
	return rows;
}

const jh_module_t jh_owner_module = {
	.name = "owner",
	.doc = "runs requests on the databases that this VM owns",
	.subscriptions = { JH_MSG_CONFIG, JH_MSG_VMS, JH_MSG_PEER_DOWN, JH_MSG_GROUP_VIEW,
			   JH_MSG_TYPE_COUNT },
	.frames = { JH__FRAME__BODY_REQUEST, JH__FRAME__BODY_RELEASE, JH__FRAME__BODY_ANSWER_ACK,
		    0 },
	.init = owner_init,
	.on_message = owner_on_message,
	.drain = owner_drain,
	.is_drained = owner_is_drained,
	.fini = owner_fini,
	.show = owner_show,
};
