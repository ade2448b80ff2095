/* The entry task in a kernel of its own, with one fake task in place of owner, group, quota and
 * record. Clients use libpq in a second thread; they script the fake by their statements' text.
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

#define KEY "key-of-a"
#define PIN 77
#define BIG_BYTES 300000u

extern const jh_module_t jh_entry_module;

/* What the fake owner does; touched by the kernel's thread only. */
typedef struct fake {
	uint64_t term;
	uint64_t index;
	uint64_t replica_index;
	uint64_t version;
	unsigned redirects;
	unsigned releases;
	const char *primary;
	bool key_withdrawn;
	bool record_refused;
	unsigned hangs;
	Jh__Frame *late;
} fake_t;

static fake_t fake;
static jh_settings_t settings;
static jh_kernel_t *kernel;
static ev_async stop;
static GThread *client;
static gint both_hang;
static unsigned port;

/* ---- fake tables and views ---- */

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
	add_team(config, "a", fake.key_withdrawn ? NULL : KEY);
	add_team(config, "b", "key-of-b");
	add_group(config);
	jh_config_publish(task, config, NULL);
}

static void publish_vms(jh_task_t *task)
{
	GPtrArray *vms = g_ptr_array_new();
	jh_vm_t vm = { .name = "vm-1", .dc = "dc-1", .host = "127.0.0.1", .state = JH_VM_LIVE };

	g_ptr_array_add(vms, jh_vm_copy(&vm));
	jh_vms_publish(task, vms);
}

static void add_view(jh_group_view_t *view, const char *name, uint64_t index)
{
	jh_database_view_t *seen = g_new0(jh_database_view_t, 1);

	seen->name = g_strdup(name);
	seen->reachable = true;
	seen->position = seen->held = (jh_position_t){ .term = fake.term, .index = index };
	seen->fresh_us = 1;
	g_ptr_array_add(view->databases, seen);
}

static void publish_view(jh_task_t *task)
{
	bool first = g_strcmp0(fake.primary, "db-1") == 0;
	jh_group_view_t *view = g_new0(jh_group_view_t, 1);

	view->group = g_strdup("g");
	view->term = fake.term;
	view->primary = g_strdup(fake.primary);
	view->databases = g_ptr_array_new();
	add_view(view, "db-1", first ? fake.index : fake.replica_index);
	add_view(view, "db-2", first ? fake.replica_index : fake.index);
	jh_group_view_publish(task, view);
}

/* ---- fake answers ---- */

static void put_row(GByteArray *out, const char *text, bool described)
{
	jh_v3_field_t field = { .name = "text", .type = JH_V3_TYPE_TEXT, .size = -1 };
	jh_v3_value_t value = { .data = (const uint8_t *)text, .length = strlen(text) };

	if (described)
		jh_v3_write_row_description(out, &field, 1);
	jh_v3_write_data_row(out, &value, 1);
	jh_v3_write_command_complete(out, "SELECT 1");
}

static void put_big_rows(GByteArray *out)
{
	jh_v3_field_t field = { .name = "text", .type = JH_V3_TYPE_TEXT, .size = -1 };
	char *text = g_strnfill(BIG_BYTES, 'x');
	jh_v3_value_t value = { .data = (const uint8_t *)text, .length = BIG_BYTES };

	jh_v3_write_row_description(out, &field, 1);
	jh_v3_write_data_row(out, &value, 1);
	jh_v3_write_command_complete(out, "SELECT 1");
	g_free(text);
}

static void publish_peer_down(jh_task_t *task)
{
	jh_peer_msg_t *msg = g_rc_box_new0(jh_peer_msg_t);

	msg->vm = g_intern_string("vm-1");
	msg->boot = jh_kernel_boot(jh_task_kernel(task));
	jh_publish(task, JH_MSG_PEER_DOWN, msg, NULL);
}

static void run_control(jh_task_t *task, const char *sql)
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
		fake.redirects = 3;
	else if (strstr(sql, "RECORD_REFUSED"))
		fake.record_refused = true;
	else if (strstr(sql, "WITHDRAW"))
		fake.key_withdrawn = true;
	publish_config(task);
	publish_view(task);
	if (strstr(sql, "PEER_DOWN"))
		publish_peer_down(task);
}

/* Return: false if the statement is left without an answer */
static bool run_sql(jh_task_t *task, const Jh__Request *request, const char *sql, bool described,
		    GByteArray *out, Jh__AnswerEnd *end)
{
	char *text = g_strdup_printf(
		"%s %s need=%" G_GUINT64_FORMAT "/%" G_GUINT64_FORMAT " id=%s sql=%s",
		request->database, request->write ? "write" : "read", request->need_term,
		request->need_index, request->request_id, sql);

	if (strstr(sql, "CONTROL"))
		run_control(task, sql);
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
		put_big_rows(out);
	else
		put_row(out, text, described);
	g_free(text);
	if (strstr(sql, "HANG_ONCE") && fake.hangs == 2)
		return true;
	if (strstr(sql, "HANG") && ++fake.hangs == 2)
		g_atomic_int_inc(&both_hang);
	return !strstr(sql, "HANG");
}

static bool run_op(jh_task_t *task, const Jh__Request *request, const Jh__Op *op, GByteArray *out,
		   Jh__AnswerEnd *end)
{
	jh_v3_field_t field = { .name = "text", .type = JH_V3_TYPE_TEXT, .size = -1 };

	switch (op->kind) {
	case JH__OP__KIND__SIMPLE:
		return run_sql(task, request, op->sql, true, out, end);
	case JH__OP__KIND__PARSE:
		jh_v3_write_empty(out, JH_V3_PARSE_COMPLETE);
		return true;
	case JH__OP__KIND__DESCRIBE_STATEMENT:
		jh_v3_write_parameter_description(out, NULL, 0);
		jh_v3_write_row_description(out, &field, 1);
		return true;
	case JH__OP__KIND__EXECUTE:
		jh_v3_write_empty(out, JH_V3_BIND_COMPLETE);
		return run_sql(task, request, op->sql, op->describe_portal, out, end);
	case JH__OP__KIND__CLOSE:
		jh_v3_write_empty(out, JH_V3_CLOSE_COMPLETE);
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
	bool answered = true;
	size_t i;

	end->id = request->id;
	end->attempt = request->attempt;
	end->transaction = request->pin ? 'T' : 'I';
	end->parts = 1;
	if (fake.redirects > 0) {
		fake.redirects--;
		end->outcome = JH__ANSWER_END__OUTCOME__NOT_RUN;
		end->reason = JH__ANSWER_END__REASON__NOT_PRIMARY;
		g_byte_array_free(out, TRUE);
		jh_frame_send(task, msg->vm, frame);
		return;
	}
	for (i = 0; i < request->n_ops && !end->failed && answered; i++)
		answered = run_op(task, request, request->ops[i], out, end);
	end->pin = end->transaction == 'I' ? 0 : PIN;
	if (end->failed && end->transaction == 'T')
		end->transaction = 'E';
	send_part(task, msg, out);
	if (answered) {
		jh_frame_send(task, msg->vm, frame);
		return;
	}
	/* Its end comes late, after the next release. */
	jh_frame_free(fake.late);
	fake.late = frame;
}

static void fake_on_frame(jh_task_t *task, const jh_frame_msg_t *msg)
{
	switch (msg->frame->body_case) {
	case JH__FRAME__BODY_REQUEST:
		run_request(task, msg);
		break;
	case JH__FRAME__BODY_RELEASE:
		fake.releases++;
		if (fake.late)
			jh_frame_send(task, msg->vm, g_steal_pointer(&fake.late));
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
	jh_frame_free(g_steal_pointer(&fake.late));
}

static int service_init(jh_task_t *task, jh_error_t *err)
{
	return 0;
}

static void service_fini(jh_task_t *task)
{
}

/* Team b has no quota left. */
static void quota_on_message(jh_task_t *task, const jh_msg_t *msg)
{
	const jh_quota_msg_t *quota = msg->body;

	jh_quota_answer(task, msg->from, quota->tag, !g_str_equal(quota->team, "b"), 250);
}

static void record_on_message(jh_task_t *task, const jh_msg_t *msg)
{
	const jh_record_msg_t *record = msg->body;

	ck_assert(!strstr(record->line, KEY));
	jh_record_answer(task, msg->from, record->tag, !fake.record_refused, 500);
}

static const jh_module_t fake_module = {
	.name = "fake",
	.subscriptions = { JH_MSG_TYPES },
	.frames = { JH__FRAME__BODY_REQUEST, JH__FRAME__BODY_RELEASE,
		    JH__FRAME__BODY_VIEW_REQUEST },
	.init = fake_init,
	.on_message = fake_on_message,
	.fini = fake_fini,
};

static const jh_module_t quota_module = {
	.name = "quota",
	.subscriptions = { JH_MSG_TYPES },
	.init = service_init,
	.on_message = quota_on_message,
	.fini = service_fini,
};

static const jh_module_t record_module = {
	.name = "record",
	.subscriptions = { JH_MSG_TYPES },
	.init = service_init,
	.on_message = record_on_message,
	.fini = service_fini,
};

/* ---- kernel ---- */

static void find_port(const char *line, void *data)
{
	const char *place = strstr(line, "event=listening ");

	if (place)
		port = (unsigned)g_ascii_strtoull(strstr(place, "port=") + 5, NULL, 10);
}

static void on_stop(struct ev_loop *loop, ev_async *watcher, int events)
{
	jh_kernel_drain(kernel);
}

static gpointer client_thread(gpointer test)
{
	((void (*)(void))test)();
	ev_async_send(jh_kernel_loop(kernel), &stop);
	return NULL;
}

static void run_with(void (*test)(void), int max_callers)
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
		ck_assert_int_eq(jh_kernel_add(kernel, modules[i], &err), 0);
	jh_log_each(find_port, NULL);
	ev_async_init(&stop, on_stop);
	ev_async_start(jh_kernel_loop(kernel), &stop);
	client = g_thread_new("client", client_thread, (gpointer)test);
	jh_kernel_run(kernel);
	g_thread_join(client);
	ev_async_stop(jh_kernel_loop(kernel), &stop);
	jh_kernel_free(kernel);
}

static void run(void (*test)(void))
{
	run_with(test, 100);
}

/* ---- clients ---- */

static PGconn *connect_with(const char *route, const char *team, const char *key, const char *more)
{
	char *dsn = g_strdup_printf("host=127.0.0.1 port=%u dbname=%s user=%s password=%s %s", port,
				    route, team, key, more);
	PGconn *conn = PQconnectdb(dsn);

	g_free(dsn);
	return conn;
}

static PGconn *connect_to(const char *route)
{
	PGconn *conn = connect_with(route, "a", KEY, "");

	ck_assert_msg(PQstatus(conn) == CONNECTION_OK, "%s", PQerrorMessage(conn));
	return conn;
}

static void expect_no_connection(const char *route, const char *team, const char *key,
				 const char *more, const char *message)
{
	PGconn *conn = connect_with(route, team, key, more);

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

/* ---- start-up ---- */

static void client_start(void)
{
	PGconn *conn = connect_to("w");

	ck_assert_int_eq(PQserverVersion(conn), 150000);
	ck_assert_str_eq(PQparameterStatus(conn, "client_encoding"), "UTF8");
	PQfinish(conn);
	expect_no_connection("w", "a", "wrong", "", "the key is not valid");
	expect_no_connection("w", "nobody", KEY, "", "the key is not valid");
	expect_no_connection("none", "a", "wrong", "", "the key is not valid");
	expect_no_connection("none", "a", KEY, "", "there is no such route");
	expect_no_connection("b-only", "a", KEY, "", "there is no such route");
	expect_no_connection("w", "a", KEY, "options='-c jasminehill.session=x!'", "malformed");
	expect_no_connection("w", "a", KEY, "options='-c work_mem=1'", "not supported");
	conn = connect_with("open", "a", "any", "");
	expect_value(conn, "SELECT 1", "db-2 read");
	PQfinish(conn);
}

START_TEST(test_start)
{
	run(client_start);
}
END_TEST

static void send_raw(const void *data, size_t length)
{
	struct sockaddr_in address = { .sin_family = AF_INET, .sin_port = htons((uint16_t)port) };
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	char buffer[512];

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	ck_assert_int_eq(connect(fd, (struct sockaddr *)&address, sizeof(address)), 0);
	ck_assert_int_eq(send(fd, data, length, MSG_NOSIGNAL), (ssize_t)length);
	while (recv(fd, buffer, sizeof(buffer), 0) > 0)
		continue;
	close(fd);
}

/* The connection is closed and the daemon lives on. */
static void client_garbage(void)
{
	GRand *random = g_rand_new_with_seed(20261203);
	int round;

	send_raw("\x7f\xff\xff\xff\0\3\0\0", 8);
	for (round = 0; round < 50; round++) {
		uint8_t bytes[64];
		unsigned i;

		for (i = 0; i < sizeof(bytes); i++)
			bytes[i] = (uint8_t)g_rand_int(random);
		bytes[0] |= 0x40;
		send_raw(bytes, sizeof(bytes));
	}
	g_rand_free(random);
	PQfinish(connect_to("w"));
}

START_TEST(test_garbage)
{
	run(client_garbage);
}
END_TEST

static void client_too_many(void)
{
	PGconn *conn = connect_to("w");

	expect_no_connection("w", "a", KEY, "", "too many callers");
	PQfinish(conn);
}

START_TEST(test_callers_are_bounded)
{
	run_with(client_too_many, 1);
}
END_TEST

/* A fatal error: the first result tells why, the connection is closed behind it. */
static void expect_fatal(PGconn *conn, const char *sql, const char *sqlstate)
{
	PGresult *result;

	ck_assert_int_eq(PQsendQuery(conn, sql), 1);
	result = PQgetResult(conn);
	ck_assert_str_eq(PQresultErrorField(result, PG_DIAG_SQLSTATE), sqlstate);
	PQclear(result);
	while ((result = PQgetResult(conn)) != NULL)
		PQclear(result);
	ck_assert_int_eq(PQstatus(conn), CONNECTION_BAD);
}

static void client_withdrawn(void)
{
	PGconn *conn = connect_to("w");
	PGconn *idle = connect_to("w");

	expect_value(conn, "CONTROL WITHDRAW", "db-1");
	expect_fatal(conn, "SELECT 1", "28P01");
	expect_fatal(idle, "SELECT 1", "28P01");
	PQfinish(conn);
	PQfinish(idle);
}

START_TEST(test_withdrawn_key_ends_connected_callers)
{
	run(client_withdrawn);
}
END_TEST

/* ---- statements ---- */

static void client_simple(void)
{
	PGconn *conn = connect_to("w");
	PGresult *result;

	expect_value(conn, "SELECT 1", "db-1 write");
	expect_error(conn, "FAIL", "42601", NULL, NULL);
	expect_command(conn, "", "");
	expect_command(conn, "SET application_name = 'x'", "SET");
	expect_value(conn, "SHOW application_name", "x");
	expect_value(conn, "SET application_name = 'y'; SELECT 2",
		     "db-1 write need=0/0 id= sql=SELECT 2");
	expect_error(conn, "SELECT 1; SET application_name = 'z'", "0A000", "not run", NULL);
	expect_error(conn, "LISTEN x", "0A000", "not run", NULL);
	expect_error(conn, "SET search_path = x", "0A000", "not run", NULL);
	result = PQexec(conn, "BIG");
	ck_assert_int_eq(PQgetlength(result, 0, 0), BIG_BYTES);
	PQclear(result);
	PQfinish(conn);
}

START_TEST(test_simple_query)
{
	run(client_simple);
}
END_TEST

static void client_extended(void)
{
	const char *values[] = { "1" };
	PGconn *conn = connect_to("w");
	PGresult *result = PQprepare(conn, "s", "SELECT $1", 0, NULL);

	ck_assert_int_eq(PQresultStatus(result), PGRES_COMMAND_OK);
	PQclear(result);
	result = PQexecPrepared(conn, "s", 1, values, NULL, NULL, 0);
	ck_assert_int_eq(PQresultStatus(result), PGRES_TUPLES_OK);
	ck_assert_str_eq(PQgetvalue(result, 0, 0), "db-1 write need=0/0 id= sql=SELECT $1");
	PQclear(result);
	result = PQdescribePrepared(conn, "s");
	ck_assert_int_eq(PQnfields(result), 1);
	PQclear(result);
	result = PQexecPrepared(conn, "unknown", 0, NULL, NULL, NULL, 0);
	ck_assert_str_eq(PQresultErrorField(result, PG_DIAG_SQLSTATE), "26000");
	PQclear(result);
	result = PQexecParams(conn, "SET application_name TO 'p'", 0, NULL, NULL, NULL, NULL, 0);
	ck_assert_str_eq(PQcmdStatus(result), "SET");
	PQclear(result);
	result = PQexecParams(conn, "SHOW application_name", 0, NULL, NULL, NULL, NULL, 0);
	ck_assert_str_eq(PQgetvalue(result, 0, 0), "p");
	PQclear(result);
	expect_command(conn, "DEALLOCATE s", "DEALLOCATE");
	result = PQexecPrepared(conn, "s", 1, values, NULL, NULL, 0);
	ck_assert_str_eq(PQresultErrorField(result, PG_DIAG_SQLSTATE), "26000");
	PQclear(result);
	PQfinish(conn);
}

START_TEST(test_extended_query)
{
	run(client_extended);
}
END_TEST

static void expect_next(PGconn *conn, ExecStatusType status)
{
	PGresult *result = PQgetResult(conn);

	ck_assert_str_eq(PQresStatus(PQresultStatus(result)), PQresStatus(status));
	PQclear(result);
	if (status != PGRES_PIPELINE_SYNC)
		ck_assert_ptr_null(PQgetResult(conn));
}

static void client_pipeline(void)
{
	PGconn *conn = connect_to("w");
	int batch;

	ck_assert_int_eq(PQenterPipelineMode(conn), 1);
	for (batch = 0; batch < 3; batch++) {
		PQsendQueryParams(conn, "SELECT 1", 0, NULL, NULL, NULL, NULL, 0);
		PQsendQueryParams(conn, batch == 1 ? "FAIL" : "SELECT 2", 0, NULL, NULL, NULL, NULL,
				  0);
		PQsendQueryParams(conn, "SELECT 3", 0, NULL, NULL, NULL, NULL, 0);
		PQpipelineSync(conn);
	}
	for (batch = 0; batch < 3; batch++) {
		expect_next(conn, PGRES_TUPLES_OK);
		expect_next(conn, batch == 1 ? PGRES_FATAL_ERROR : PGRES_TUPLES_OK);
		expect_next(conn, batch == 1 ? PGRES_PIPELINE_ABORTED : PGRES_TUPLES_OK);
		expect_next(conn, PGRES_PIPELINE_SYNC);
	}
	PQfinish(conn);
}

START_TEST(test_pipeline)
{
	run(client_pipeline);
}
END_TEST

/* ---- sessions ---- */

static char *take_token(PGconn *conn)
{
	const char *reported = PQparameterStatus(conn, "jasminehill.session");

	ck_assert_ptr_nonnull(reported);
	expect_value(conn, "SHOW jasminehill.session", reported);
	return g_strdup(reported);
}

static void client_roam(void)
{
	PGconn *writer = connect_to("w");
	PGconn *reader = connect_to("r");
	char *options;
	char *token;

	expect_value(reader, "SELECT 1", "db-2 read need=0/0");
	expect_value(writer, "INSERT", "db-1 write");
	token = take_token(writer);
	options = g_strdup_printf("options='-c jasminehill.session=%s'", token);
	PQfinish(reader);
	reader = connect_with("r", "a", KEY, options);
	/* Only the primary covers the write, until the replica has caught up. */
	expect_value(reader, "SELECT 1", "db-1 read need=1/11");
	expect_value(writer, "CONTROL CATCHUP", "db-1");
	expect_value(reader, "SELECT 1", "db-2 read need=1/11");
	/* Across a change of primary. */
	expect_value(writer, "CONTROL FAILOVER", "db-1");
	expect_value(writer, "INSERT", "db-2 write");
	expect_value(writer, "SET jasminehill.route = 'r'; SELECT 1", "db-2 read need=2/13");
	token[4] = token[4] == 'A' ? 'B' : 'A';
	g_free(options);
	options = g_strdup_printf("SET jasminehill.session = '%s'", token);
	expect_error(reader, options, "22023", NULL, NULL);
	PQfinish(writer);
	PQfinish(reader);
	g_free(options);
	g_free(token);
}

START_TEST(test_session_roams)
{
	run(client_roam);
}
END_TEST

static void client_ahead(void)
{
	PGconn *writer = connect_to("w");

	expect_value(writer, "INSERT", "db-1 write");
	/* As if the group had lost the write: no member holds the token's term. */
	expect_value(writer, "CONTROL FAILOVER", "db-1");
	expect_value(writer, "INSERT", "db-2 write");
	fake.term = 1;
	expect_value(writer, "CONTROL CATCHUP", "db-2");
	expect_command(writer, "SET statement_timeout = 50", "SET");
	expect_error(writer, "SET jasminehill.route = 'r'; SELECT 1", "55000", "not run",
		     "retry after 200 ms");
	PQfinish(writer);
}

START_TEST(test_token_ahead_is_refused)
{
	run(client_ahead);
}
END_TEST

/* ---- transactions ---- */

static void client_transaction(void)
{
	PGconn *conn = connect_to("w");

	expect_command(conn, "BEGIN", "SELECT 1");
	ck_assert_int_eq(PQtransactionStatus(conn), PQTRANS_INTRANS);
	expect_error(conn, "SET jasminehill.route = 'r'", "0A000", NULL, NULL);
	ck_assert_int_eq(PQtransactionStatus(conn), PQTRANS_INERROR);
	expect_error(conn, "INSERT", "25P02", "not run", NULL);
	expect_command(conn, "COMMIT", "ROLLBACK");
	ck_assert_int_eq(PQtransactionStatus(conn), PQTRANS_IDLE);
	expect_value(conn, "BEGIN READ ONLY", "db-2 read");
	expect_value(conn, "SELECT 1", "db-2 read");
	expect_value(conn, "COMMIT", "db-2 read");
	expect_value(conn, "SELECT 1", "db-1 write");
	/* A deadline in a transaction ends it: nothing that follows runs outside of it. */
	expect_value(conn, "BEGIN", "db-1");
	expect_command(conn, "SET statement_timeout = 50", "SET");
	expect_error(conn, "HANG", "57014", "outcome unknown", "retry after 200 ms");
	expect_error(conn, "INSERT", "25P02", "not run", NULL);
	expect_command(conn, "ROLLBACK", "ROLLBACK");
	expect_value(conn, "SELECT 1", "db-1 write");
	PQfinish(conn);
}

START_TEST(test_transaction)
{
	run(client_transaction);
	ck_assert_uint_eq(fake.releases, 2);
}
END_TEST

static void client_dies(void)
{
	PGconn *conn = connect_to("w");
	PGconn *other;

	expect_value(conn, "BEGIN", "db-1");
	PQfinish(conn);
	/* A second caller's answer shows that the first one's end was taken. */
	other = connect_to("w");
	expect_value(other, "SELECT 1", "db-1");
	PQfinish(other);
}

START_TEST(test_dead_caller_releases_its_transaction)
{
	run(client_dies);
	ck_assert_uint_eq(fake.releases, 1);
}
END_TEST

/* ---- refusals and retries ---- */

static void client_retries(void)
{
	PGconn *conn = connect_to("w");

	expect_value(conn, "CONTROL REDIRECT", "db-1");
	expect_value(conn, "SELECT 1", "db-1 write");
	/* Without a primary a write waits; a new view sends it on. */
	expect_value(conn, "CONTROL NO_PRIMARY", "db-1");
	expect_command(conn, "SET statement_timeout = 50", "SET");
	expect_error(conn, "INSERT", "57P03", "not run", "retry after 200 ms");
	PQfinish(conn);
}

START_TEST(test_retries)
{
	run(client_retries);
}
END_TEST

/* The owner is lost while it runs a read and a write. The read is tried again; the write, which may
 * have run, is not.
 */
static void client_peer_down(void)
{
	PGconn *control = connect_to("w");
	PGconn *reader = connect_to("r");
	PGconn *writer = connect_to("w");
	PGconn *pinned = connect_to("w");
	PGresult *result;

	expect_value(pinned, "BEGIN", "db-1");
	ck_assert_int_eq(PQsendQuery(writer, "HANG"), 1);
	ck_assert_int_eq(PQsendQuery(reader, "SELECT HANG_ONCE"), 1);
	while (!g_atomic_int_get(&both_hang))
		g_usleep(1000);
	expect_error(control, "CONTROL PEER_DOWN", "08007", "outcome unknown", NULL);
	result = PQgetResult(writer);
	ck_assert_str_eq(PQresultErrorField(result, PG_DIAG_SQLSTATE), "08007");
	ck_assert_str_eq(PQresultErrorField(result, PG_DIAG_MESSAGE_DETAIL), "outcome unknown");
	PQclear(result);
	result = PQgetResult(reader);
	ck_assert_int_eq(PQresultStatus(result), PGRES_TUPLES_OK);
	PQclear(result);
	expect_error(pinned, "INSERT", "25P02", "not run", NULL);
	expect_command(pinned, "ROLLBACK", "ROLLBACK");
	PQfinish(control);
	PQfinish(reader);
	PQfinish(writer);
	PQfinish(pinned);
}

START_TEST(test_lost_owner)
{
	run(client_peer_down);
}
END_TEST

static void client_refusals(void)
{
	PGconn *conn = connect_with("b-only", "b", "key-of-b", "");

	expect_error(conn, "SELECT 1", "53400", "not run", "retry after 250 ms");
	PQfinish(conn);
	conn = connect_to("w");
	expect_command(conn, "SET jasminehill.request_id = 'one'", "SET");
	expect_value(conn, "INSERT", "db-1 write need=0/0 id=one");
	expect_value(conn, "INSERT", "db-1 write need=1/11 id= ");
	expect_command(conn, "SET jasminehill.request_id = 'two'", "SET");
	expect_error(conn, "BEGIN; INSERT; COMMIT", "0A000", "not run", NULL);
	expect_command(conn, "RESET jasminehill.request_id", "RESET");
	expect_value(conn, "CONTROL CATCHUP", "db-1");
	expect_command(conn, "SET statement_timeout = 50", "SET");
	expect_error(conn, "HANG", "57014", "outcome unknown", NULL);
	/* The answer that came late is not taken for the next one's. */
	expect_command(conn, "RESET statement_timeout", "RESET");
	expect_value(conn, "SELECT 5", "db-1 write need=1/12 id= sql=SELECT 5");
	expect_error(conn, "CONTROL RECORD_REFUSED", "53100", "outcome unknown",
		     "retry after 500 ms");
	PQfinish(conn);
}

START_TEST(test_refusals)
{
	run(client_refusals);
}
END_TEST

static void client_cancel(void)
{
	PGconn *conn = connect_to("w");
	PGcancel *cancel = PQgetCancel(conn);
	PGresult *result;
	char message[256];

	ck_assert_int_eq(PQsendQuery(conn, "HANG"), 1);
	ck_assert_int_eq(PQcancel(cancel, message, sizeof(message)), 1);
	result = PQgetResult(conn);
	if (PQresultStatus(result) == PGRES_FATAL_ERROR)
		ck_assert_str_eq(PQresultErrorField(result, PG_DIAG_SQLSTATE), "57014");
	PQclear(result);
	PQfreeCancel(cancel);
	PQfinish(conn);
}

START_TEST(test_cancel)
{
	run(client_cancel);
}
END_TEST

/* ---- operators ---- */

static void client_operator(void)
{
	PGconn *conn = connect_with("jasminehill", "a", KEY, "");

	expect_value(conn, "SHOW teams", "a");
	expect_value(conn, "SHOW config", "1");
	expect_value(conn, "SHOW counters", "jasminehill_");
	expect_error(conn, "SHOW nothing", "22023", NULL, NULL);
	expect_error(conn, "SELECT 1", "0A000", NULL, NULL);
	PQfinish(conn);
	expect_no_connection("jasminehill", "a", "wrong", "", "the key is not valid");
}

START_TEST(test_virtual_database)
{
	run(client_operator);
}
END_TEST

/* ---- graceful shutdown ---- */

static void client_drain(void)
{
	PGconn *idle = connect_to("w");
	PGconn *active = connect_to("w");
	PGconn *busy = connect_to("w");
	PGresult *result;

	expect_value(busy, "BEGIN", "db-1");
	/* The kernel begins to drain; it runs until all callers are gone. */
	ev_async_send(jh_kernel_loop(kernel), &stop);
	while (PQresultStatus(result = PQexec(active, "SELECT 1")) == PGRES_TUPLES_OK)
		PQclear(result);
	ck_assert_str_eq(PQresultErrorField(result, PG_DIAG_SQLSTATE), "57P01");
	ck_assert_str_eq(PQresultErrorField(result, PG_DIAG_MESSAGE_DETAIL), "not run");
	PQclear(result);
	PQfinish(active);
	while (PQconsumeInput(idle) && PQstatus(idle) == CONNECTION_OK)
		g_usleep(1000);
	expect_value(busy, "INSERT", "db-1 write");
	expect_value(busy, "COMMIT", "db-1 write");
	PQfinish(busy);
	PQfinish(idle);
}

START_TEST(test_drain_cuts_no_transaction)
{
	run(client_drain);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		test_start,
		test_garbage,
		test_callers_are_bounded,
		test_withdrawn_key_ends_connected_callers,
		test_simple_query,
		test_extended_query,
		test_pipeline,
		test_session_roams,
		test_token_ahead_is_refused,
		test_transaction,
		test_dead_caller_releases_its_transaction,
		test_retries,
		test_lost_owner,
		test_refusals,
		test_cancel,
		test_virtual_database,
		test_drain_cuts_no_transaction,
		NULL,
	};

	return run_tests("entry", tests);
}
