#ifndef ENTRY_FAKE_H
#define ENTRY_FAKE_H

/* Runs the entry task in a kernel with fakes of its neighbours, and clients that use libpq in a
 * second thread. The task "fake" stands for the owner of both databases and for the group task;
 * "quota" and "record" stand for the tasks of these names. The clients control the fake by the text
 * of their statements, such as "CONTROL FAILOVER" or "HANG". The kernel has neither peers nor a
 * platform.
 */

#include "jh_counter.h"
#include "jh_frame.h"
#include "jh_log.h"
#include "jh_service.h"
#include "jh_v3.h"
#include "runner.h"

#include <arpa/inet.h>
#include <libpq-fe.h>
#include <netinet/in.h>
#include <sodium.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define KEY_OF_A "key-of-a"
/* Id of the pinned connection that the fake owner reports for an open transaction. */
#define PIN_ID 77
#define BIG_VALUE_BYTES 300000u

extern const jh_module_t jh_entry_module;

/**
 * struct fake - state of the fakes; belongs to the kernel's thread while the kernel runs
 * @term: term of the group; also set by the client of test_token_ahead_is_refused
 * @index: newest index of the primary's log
 * @replica_index: newest index of the replica's log
 * @version: version of the last published configuration
 * @redirects_left: number of requests that are still refused with NOT_PRIMARY
 * @release_count: number of release frames received
 * @primary: primary of the group, NULL for none
 * @is_key_withdrawn: the configuration has no key of team a
 * @is_record_refused: the record task stores no more records
 * @hang_count: number of statements whose response got no end when they were run
 * @delayed_end: end of the last such response, sent after the next release frame
 * @first_request_id: id of the first request; 0 before it
 */
typedef struct fake {
	uint64_t term;
	uint64_t index;
	uint64_t replica_index;
	uint64_t version;
	unsigned redirects_left;
	unsigned release_count;
	const char *primary;
	bool is_key_withdrawn;
	bool is_record_refused;
	unsigned hang_count;
	Jh__Frame *delayed_end;
	uint64_t first_request_id;
} fake_t;

static fake_t fake;
static jh_settings_t settings;
static jh_kernel_t *kernel;
static ev_async stop_watcher;
static GThread *client;
/* Not 0 once the responses to two statements were left without an end; see fake.hang_count. */
static gint both_hanging;
static unsigned port;

/* ---- Configuration and views ---- */

static void add_route(jh_config_t *config, const char *name, const char *team, jh_access_t access)
{
	jh_route_t *route = jh_route_new();

	route->name = g_strdup(name);
	route->group = g_strdup("g");
	route->access = access;
	route->max_age_ms = JH_ACCESS_READ == access ? 0 : -1;
	route->deadline_ms = 20000;
	route->open_to_all = !team;
	if (team)
		g_ptr_array_add(route->teams, g_strdup(team));
	g_ptr_array_add(config->routes, route);
}

static void add_team(jh_config_t *config, const char *name, const char *key)
{
	jh_team_t *team = jh_team_new();

	team->name = g_strdup(name);
	team->rate = team->burst = 100;
	team->weight = 1;
	if (key)
		g_ptr_array_add(team->key_digests,
				g_compute_checksum_for_string(G_CHECKSUM_SHA256, key, -1));
	g_ptr_array_add(config->teams, team);
}

static void add_group(jh_config_t *config)
{
	jh_group_t *group = jh_group_new();
	int i;

	group->name = g_strdup("g");
	for (i = 1; i <= 2; i++) {
		jh_database_t *database = jh_database_new();

		database->name = g_strdup_printf("db-%d", i);
		database->dc = g_strdup("dc-1");
		g_ptr_array_add(group->databases, database);
	}
	g_ptr_array_add(config->groups, group);
}

static void publish_config(jh_task_t *task)
{
	jh_config_t *config = jh_config_new();

	config->version = ++fake.version;
	add_route(config, "w", "a", JH_ACCESS_WRITE);
	add_route(config, "r", "a", JH_ACCESS_READ);
	add_route(config, "b-only", "b", JH_ACCESS_WRITE);
	add_route(config, "open", NULL, JH_ACCESS_READ);
	add_team(config, "a", fake.is_key_withdrawn ? NULL : KEY_OF_A);
	add_team(config, "b", "key-of-b");
	add_group(config);
	jh_config_publish(task, config, NULL);
}

static void publish_vms(jh_task_t *task)
{
	GPtrArray *vms = g_ptr_array_new();
	jh_vm_t vm = { .name = "vm-1", .dc = "dc-1", .host = "127.0.0.1", .state = JH_VM_LIVE };

	g_ptr_array_add(vms, jh_vm_copy(&vm));
	jh_vms_publish(task, vms, true);
}

static void add_database_view(jh_group_view_t *view, const char *name, uint64_t index)
{
	jh_database_view_t *database_view = g_new0(jh_database_view_t, 1);

	database_view->name = g_strdup(name);
	database_view->reachable = true;
	database_view->position = database_view->held =
		(jh_position_t){ .term = fake.term, .index = index };
	database_view->last_caught_up_us = 1;
	g_ptr_array_add(view->databases, database_view);
}

static void publish_view(jh_task_t *task)
{
	bool is_first_primary = g_strcmp0(fake.primary, "db-1") == 0;
	jh_group_view_t *view = g_new0(jh_group_view_t, 1);

	view->group = g_strdup("g");
	view->term = fake.term;
	view->primary = g_strdup(fake.primary);
	view->databases = g_ptr_array_new();
	add_database_view(view, "db-1", is_first_primary ? fake.index : fake.replica_index);
	add_database_view(view, "db-2", is_first_primary ? fake.replica_index : fake.index);
	jh_group_view_publish(task, view);
}

/* ---- Responses ---- */

static void write_row(GByteArray *out, const char *text, bool with_description)
{
	jh_v3_field_t field = { .name = "text", .type = JH_V3_TYPE_TEXT, .size = -1 };
	jh_v3_value_t value = { .data = (const uint8_t *)text, .length = strlen(text) };

	if (with_description)
		jh_v3_write_row_description(out, &field, 1);
	jh_v3_write_data_row(out, &value, 1);
	jh_v3_write_command_complete(out, "SELECT 1");
}

static void write_big_row(GByteArray *out)
{
	jh_v3_field_t field = { .name = "text", .type = JH_V3_TYPE_TEXT, .size = -1 };
	char *text = g_strnfill(BIG_VALUE_BYTES, 'x');
	jh_v3_value_t value = { .data = (const uint8_t *)text, .length = BIG_VALUE_BYTES };

	jh_v3_write_row_description(out, &field, 1);
	jh_v3_write_data_row(out, &value, 1);
	jh_v3_write_command_complete(out, "SELECT 1");
	g_free(text);
}

static void publish_peer_down(jh_task_t *task)
{
	jh_peer_down_msg_t *msg = g_rc_box_new0(jh_peer_down_msg_t);

	msg->vm = g_intern_string("vm-1");
	msg->boot = jh_kernel_boot(jh_task_kernel(task));
	jh_publish(task, JH_MSG_PEER_DOWN, msg, NULL);
}

static void apply_control(jh_task_t *task, const char *sql)
{
	if (strstr(sql, "CATCHUP"))
		fake.replica_index = fake.index;
	else if (strstr(sql, "NO_PRIMARY"))
		fake.primary = NULL;
	else if (strstr(sql, "FAILOVER")) {
		fake.primary = "db-2";
		fake.term++;
		fake.index++;
	} else if (strstr(sql, "REDIRECT"))
		fake.redirects_left = 3;
	else if (strstr(sql, "RECORD_REFUSED"))
		fake.is_record_refused = true;
	else if (strstr(sql, "WITHDRAW"))
		fake.is_key_withdrawn = true;
	publish_config(task);
	publish_view(task);
	if (strstr(sql, "PEER_DOWN"))
		publish_peer_down(task);
}

/* Responds to one statement with a row that contains the database, the kind of request, its
 * freshness requirement and its text. Return: false if the end of the response is to be delayed
 */
static bool run_sql(jh_task_t *task, const Jh__Request *request, const char *sql,
		    bool with_description, GByteArray *out, Jh__AnswerEnd *end)
{
	char *text = g_strdup_printf(
		"%s %s need=%" G_GUINT64_FORMAT "/%" G_GUINT64_FORMAT " id=%s sql=%s",
		request->database, request->write ? "write" : "read", request->need_term,
		request->need_index, request->request_id, sql);

	if (strstr(sql, "CONTROL"))
		apply_control(task, sql);
	if (g_str_has_prefix(sql, "BEGIN"))
		end->transaction = 'T';
	if (g_str_has_prefix(sql, "COMMIT") || g_str_has_prefix(sql, "ROLLBACK"))
		end->transaction = 'I';
	if (g_str_has_prefix(sql, "INSERT")) {
		end->wrote = TRUE;
		end->index = ++fake.index;
		end->term = fake.term;
	}
	if (g_str_equal(sql, "FAIL")) {
		end->failed = TRUE;
		jh_v3_write_error(out, &(jh_v3_report_t){ .severity = "ERROR",
							  .sqlstate = "42601",
							  .message = "failed" });
	} else if (strstr(sql, "BIG"))
		write_big_row(out);
	else
		write_row(out, text, with_description);
	g_free(text);
	if (strstr(sql, "HANG_ONCE") && fake.hang_count == 2)
		return true;
	if (strstr(sql, "HANG") && ++fake.hang_count == 2)
		g_atomic_int_inc(&both_hanging);
	return !strstr(sql, "HANG");
}

/* Return: false if the end of the response is to be delayed */
static bool run_op(jh_task_t *task, const Jh__Request *request, const Jh__Op *op, GByteArray *out,
		   Jh__AnswerEnd *end)
{
	jh_v3_field_t field = { .name = "text", .type = JH_V3_TYPE_TEXT, .size = -1 };

	switch (op->kind) {
	case JH__OP__KIND__SIMPLE:
		return run_sql(task, request, op->sql, true, out, end);
	case JH__OP__KIND__PARSE:
		jh_v3_write_empty_message(out, JH_V3_PARSE_COMPLETE);
		return true;
	case JH__OP__KIND__DESCRIBE_STATEMENT:
		jh_v3_write_parameter_description(out, NULL, 0);
		jh_v3_write_row_description(out, &field, 1);
		return true;
	case JH__OP__KIND__EXECUTE:
		jh_v3_write_empty_message(out, JH_V3_BIND_COMPLETE);
		return run_sql(task, request, op->sql, op->describe_portal, out, end);
	case JH__OP__KIND__CLOSE:
		jh_v3_write_empty_message(out, JH_V3_CLOSE_COMPLETE);
		return true;
	default:
		return true;
	}
}

static void send_part(jh_task_t *task, const jh_frame_msg_t *msg, GByteArray *out)
{
	Jh__Frame *frame = jh_frame_new(JH__FRAME__BODY_ANSWER_PART);

	frame->answer_part->id = msg->frame->request->id;
	frame->answer_part->attempt = msg->frame->request->attempt;
	frame->answer_part->messages.len = out->len;
	frame->answer_part->messages.data = g_byte_array_free(out, FALSE);
	jh_frame_send(task, msg->vm, frame);
}

static void run_request(jh_task_t *task, const jh_frame_msg_t *msg)
{
	const Jh__Request *request = msg->frame->request;
	Jh__Frame *frame = jh_frame_new(JH__FRAME__BODY_ANSWER_END);
	Jh__AnswerEnd *end = frame->answer_end;
	GByteArray *out = g_byte_array_new();
	bool sends_end = true;
	size_t i;

	if (fake.first_request_id == 0)
		fake.first_request_id = request->id;
	end->id = request->id;
	end->attempt = request->attempt;
	end->transaction = request->pin ? 'T' : 'I';
	end->parts = 1;
	if (fake.redirects_left > 0) {
		fake.redirects_left--;
		end->outcome = JH__ANSWER_END__OUTCOME__NOT_RUN;
		end->reason = JH__ANSWER_END__REASON__NOT_PRIMARY;
		g_byte_array_free(out, TRUE);
		jh_frame_send(task, msg->vm, frame);
		return;
	}
	for (i = 0; i < request->n_ops && !end->failed && sends_end; i++)
		sends_end = run_op(task, request, request->ops[i], out, end);
	end->pin = end->transaction == 'I' ? 0 : PIN_ID;
	if (end->failed && end->transaction == 'T')
		end->transaction = 'E';
	send_part(task, msg, out);
	if (sends_end) {
		jh_frame_send(task, msg->vm, frame);
		return;
	}
	jh_frame_free(fake.delayed_end);
	fake.delayed_end = frame;
}

static void fake_on_frame(jh_task_t *task, const jh_frame_msg_t *msg)
{
	switch (msg->frame->body_case) {
	case JH__FRAME__BODY_REQUEST:
		run_request(task, msg);
		break;
	case JH__FRAME__BODY_RELEASE:
		fake.release_count++;
		if (fake.delayed_end)
			jh_frame_send(task, msg->vm, g_steal_pointer(&fake.delayed_end));
		break;
	default:
		publish_view(task);
		break;
	}
}

static void fake_on_message(jh_task_t *task, const jh_msg_t *msg)
{
	if (msg->type == JH_MSG_FRAME_IN)
		fake_on_frame(task, msg->body);
}

static int fake_init(jh_task_t *task, jh_error_t *err)
{
	publish_config(task);
	publish_vms(task);
	return 0;
}

static void fake_fini(jh_task_t *task)
{
	jh_frame_free(g_steal_pointer(&fake.delayed_end));
}

static int init_nothing(jh_task_t *task, jh_error_t *err)
{
	return 0;
}

static void fini_nothing(jh_task_t *task)
{
}

/* Team b has no quota left. */
static void quota_on_message(jh_task_t *task, const jh_msg_t *msg)
{
	const jh_quota_msg_t *quota = msg->body;

	jh_quota_reply(task, msg->from,
		       &(jh_quota_msg_t){ .tag = quota->tag,
					  .granted = !g_str_equal(quota->team, "b"),
					  .retry_after_ms = 250 });
}

static void record_on_message(jh_task_t *task, const jh_msg_t *msg)
{
	const jh_record_msg_t *record = msg->body;

	/* The audit record must not show keys. */
	ck_assert(!strstr(record->line, KEY_OF_A));
	jh_record_reply(task, msg->from, record->tag, !fake.is_record_refused, 500);
}

static const jh_module_t fake_module = {
	.name = "fake",
	.subscriptions = { JH_MSG_TYPE_COUNT },
	.frames = { JH__FRAME__BODY_REQUEST, JH__FRAME__BODY_RELEASE,
		    JH__FRAME__BODY_VIEW_REQUEST },
	.init = fake_init,
	.on_message = fake_on_message,
	.fini = fake_fini,
};

static const jh_module_t quota_module = {
	.name = "quota",
	.subscriptions = { JH_MSG_TYPE_COUNT },
	.init = init_nothing,
	.on_message = quota_on_message,
	.fini = fini_nothing,
};

static const jh_module_t record_module = {
	.name = "record",
	.subscriptions = { JH_MSG_TYPE_COUNT },
	.init = init_nothing,
	.on_message = record_on_message,
	.fini = fini_nothing,
};

/* ---- Kernel ---- */

static void find_port(const char *line, void *data)
{
	const char *listening = strstr(line, "event=listening ");

	if (listening)
		port = (unsigned)g_ascii_strtoull(strstr(listening, "port=") + 5, NULL, 10);
}

static void on_stop(struct ev_loop *loop, ev_async *watcher, int events)
{
	jh_kernel_drain(kernel);
}

static gpointer client_thread(gpointer test)
{
	((void (*)(void))test)();
	ev_async_send(jh_kernel_loop(kernel), &stop_watcher);
	return NULL;
}

/* Runs @test in a client thread beside the kernel, which is drained when @test returns. */
static void run_client_with_limit(void (*test)(void), int max_callers)
{
	static const jh_module_t *const modules[] = { &jh_entry_module, &quota_module,
						      &record_module, &fake_module };
	jh_error_t err = JH_ERROR_INIT;
	unsigned i;

	ck_assert_int_ge(sodium_init(), 0);
	fake = (fake_t){ .term = 1, .index = 10, .replica_index = 10, .primary = "db-1" };
	settings = (jh_settings_t){
		.vm = (char *)"vm-1",
		.dc = (char *)"dc-1",
		.listen = { .host = (char *)"127.0.0.1" },
		.max_callers = max_callers,
		.drain_ms = 12000,
	};
	kernel = jh_kernel_new(&settings, &err);
	for (i = 0; i < G_N_ELEMENTS(modules); i++)
		ck_assert_int_eq(jh_kernel_add_module(kernel, modules[i], &err), 0);
	jh_log_foreach(find_port, NULL);
	ev_async_init(&stop_watcher, on_stop);
	ev_async_start(jh_kernel_loop(kernel), &stop_watcher);
	client = g_thread_new("client", client_thread, (gpointer)test);
	jh_kernel_run(kernel);
	g_thread_join(client);
	ev_async_stop(jh_kernel_loop(kernel), &stop_watcher);
	jh_kernel_free(kernel);
}

static void run_client(void (*test)(void))
{
	run_client_with_limit(test, 100);
}

/* ---- Clients ---- */

static PGconn *connect_with(const char *route, const char *team, const char *key,
			    const char *extra_options)
{
	char *dsn = g_strdup_printf("host=127.0.0.1 port=%u dbname=%s user=%s password=%s %s", port,
				    route, team, key, extra_options);
	PGconn *conn = PQconnectdb(dsn);

	g_free(dsn);
	return conn;
}

static PGconn *connect_to(const char *route)
{
	PGconn *conn = connect_with(route, "a", KEY_OF_A, "");

	ck_assert_msg(PQstatus(conn) == CONNECTION_OK, "%s", PQerrorMessage(conn));
	return conn;
}

static void expect_no_connection(const char *route, const char *team, const char *key,
				 const char *extra_options, const char *message)
{
	PGconn *conn = connect_with(route, team, key, extra_options);

	ck_assert_int_eq(PQstatus(conn), CONNECTION_BAD);
	ck_assert_msg(strstr(PQerrorMessage(conn), message) != NULL, "%s", PQerrorMessage(conn));
	PQfinish(conn);
}

static void expect_value(PGconn *conn, const char *sql, const char *value)
{
	PGresult *result = PQexec(conn, sql);

	ck_assert_msg(PQresultStatus(result) == PGRES_TUPLES_OK, "%s: %s", sql,
		      PQresultErrorMessage(result));
	ck_assert_msg(g_str_has_prefix(PQgetvalue(result, 0, 0), value), "%s: %s, not %s", sql,
		      PQgetvalue(result, 0, 0), value);
	PQclear(result);
}

static void expect_command(PGconn *conn, const char *sql, const char *tag)
{
	PGresult *result = PQexec(conn, sql);

	ck_assert_msg(g_str_equal(PQcmdStatus(result), tag), "%s: %s %s", sql, PQcmdStatus(result),
		      PQresultErrorMessage(result));
	PQclear(result);
}

static void expect_error(PGconn *conn, const char *sql, const char *sqlstate, const char *detail,
			 const char *hint)
{
	PGresult *result = PQexec(conn, sql);

	ck_assert_int_eq(PQresultStatus(result), PGRES_FATAL_ERROR);
	ck_assert_str_eq(PQresultErrorField(result, PG_DIAG_SQLSTATE), sqlstate);
	if (detail)
		ck_assert_str_eq(PQresultErrorField(result, PG_DIAG_MESSAGE_DETAIL), detail);
	if (hint)
		ck_assert_str_eq(PQresultErrorField(result, PG_DIAG_MESSAGE_HINT), hint);
	PQclear(result);
}

#endif
