/*
 * Guards against a statement that runs twice or outside its transaction, a response that goes to
 * the wrong statement, a read older than its session's position, a caller that is served with a
 * withdrawn key, and resources that a closed caller keeps. Each test is a client of the entry task
 * through the PostgreSQL protocol, in a thread beside the kernel, and uses the fakes of
 * entry_fake.h.
 */

#include "entry_fake.h"

#include <fcntl.h>

/* ---- Start-up ---- */

static void client_startup(void)
{
	PGconn *conn = connect_to("w");

	ck_assert_int_eq(PQserverVersion(conn), 150000);
	ck_assert_str_eq(PQparameterStatus(conn, "client_encoding"), "UTF8");
	PQfinish(conn);
	expect_no_connection("w", "a", "wrong", "", "the key is not valid");
	expect_no_connection("w", "nobody", KEY_OF_A, "", "the key is not valid");
	expect_no_connection("none", "a", "wrong", "", "the key is not valid");
	expect_no_connection("none", "a", KEY_OF_A, "", "there is no such route");
	expect_no_connection("b-only", "a", KEY_OF_A, "", "there is no such route");
	expect_no_connection("w", "a", KEY_OF_A, "options='-c jasminehill.session=x!'",
			     "malformed");
	expect_no_connection("w", "a", KEY_OF_A, "options='-c work_mem=1'", "not supported");
	conn = connect_with("open", "a", "any", "");
	expect_value(conn, "SELECT 1", "db-2 read");
	PQfinish(conn);
}

START_TEST(test_startup)
{
	run_client(client_startup);
}
END_TEST

static void send_and_wait_for_close(const void *data, size_t length)
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

/* Malformed messages close their connection; the daemon continues to serve others. */
static void client_garbage(void)
{
	GRand *random = g_rand_new_with_seed(20261203);
	int round;

	send_and_wait_for_close("\x7f\xff\xff\xff\0\3\0\0", 8);
	for (round = 0; round < 50; round++) {
		uint8_t bytes[64];
		unsigned i;

		for (i = 0; i < sizeof(bytes); i++)
			bytes[i] = (uint8_t)g_rand_int(random);
		bytes[0] |= 0x40;
		send_and_wait_for_close(bytes, sizeof(bytes));
	}
	g_rand_free(random);
	PQfinish(connect_to("w"));
}

START_TEST(test_garbage_closes_the_connection)
{
	run_client(client_garbage);
}
END_TEST

static void client_over_limit(void)
{
	PGconn *conn = connect_to("w");

	expect_no_connection("w", "a", KEY_OF_A, "", "too many callers");
	PQfinish(conn);
}

START_TEST(test_callers_are_limited)
{
	run_client_with_limit(client_over_limit, 1);
}
END_TEST

/* Expects that the first result is a fatal error and that the connection is closed after it. */
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

static void client_key_withdrawn(void)
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
	run_client(client_key_withdrawn);
}
END_TEST

/* ---- Statements ---- */

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
	ck_assert_int_eq(PQgetlength(result, 0, 0), BIG_VALUE_BYTES);
	PQclear(result);
	PQfinish(conn);
}

START_TEST(test_simple_query)
{
	run_client(client_simple);
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
	run_client(client_extended);
}
END_TEST

/* Appends a Bind of the unnamed statement with one value in text format. */
static void write_bind(GByteArray *out, const char *value, size_t length)
{
	guint mark = jh_v3_message_begin(out, JH_V3_BIND);

	jh_v3_put_string(out, "");
	jh_v3_put_string(out, "");
	jh_v3_put_i16(out, 0);
	jh_v3_put_i16(out, 1);
	jh_v3_put_i32(out, (int32_t)length);
	g_byte_array_append(out, (const guint8 *)value, (guint)length);
	jh_v3_put_i16(out, 0);
	jh_v3_message_end(out, mark);
}

/* Appends an INSERT of one value by the extended protocol. */
static void write_insert(GByteArray *out, const char *value, size_t length)
{
	guint mark = jh_v3_message_begin(out, JH_V3_PARSE);

	jh_v3_put_string(out, "");
	jh_v3_put_string(out, "INSERT $1");
	jh_v3_put_i16(out, 0);
	jh_v3_message_end(out, mark);
	write_bind(out, value, length);
	mark = jh_v3_message_begin(out, JH_V3_EXECUTE);
	jh_v3_put_string(out, "");
	jh_v3_put_i32(out, 0);
	jh_v3_message_end(out, mark);
	jh_v3_write_empty_message(out, JH_V3_SYNC);
}

/* Sends the messages on an authenticated connection. Return: types of the responses up to
 * ReadyForQuery, new */
static GString *send_messages(int fd, const GByteArray *messages)
{
	GString *types = g_string_new(NULL);
	jh_error_t err = JH_ERROR_INIT;
	jh_v3_reader_t reader;
	jh_v3_msg_t msg;
	uint8_t bytes[512];
	ssize_t count;

	jh_v3_reader_init(&reader, 0, 0);
	reader.startup = false;
	ck_assert_int_eq(send(fd, messages->data, messages->len, MSG_NOSIGNAL),
			 (ssize_t)messages->len);
	while (!strchr(types->str, JH_V3_READY_FOR_QUERY)) {
		count = recv(fd, bytes, sizeof(bytes), 0);
		ck_assert_int_gt(count, 0);
		jh_v3_reader_push(&reader, bytes, (size_t)count);
		while (jh_v3_reader_next(&reader, &msg, &err) > 0)
			g_string_append_c(types, (char)msg.type);
	}
	jh_v3_reader_clear(&reader);
	return types;
}

/* libpq ends a value in text format at a NUL, so that the database would store another value. */
static void client_nul_in_value(void)
{
	PGconn *conn = connect_to("w");
	GByteArray *messages = g_byte_array_new();
	GString *types;

	/* libpq makes its socket non-blocking. */
	ck_assert_int_eq(fcntl(PQsocket(conn), F_SETFL, 0), 0);
	write_insert(messages, "a\0b", 3);
	types = send_messages(PQsocket(conn), messages);
	ck_assert_str_eq(types->str, "EZ");
	g_string_free(types, TRUE);
	g_byte_array_set_size(messages, 0);
	write_insert(messages, "a\r\n\xff", 4);
	types = send_messages(PQsocket(conn), messages);
	ck_assert_ptr_nonnull(strchr(types->str, JH_V3_COMMAND_COMPLETE));
	ck_assert_ptr_null(strchr(types->str, JH_V3_ERROR_RESPONSE));
	g_string_free(types, TRUE);
	g_byte_array_free(messages, TRUE);
	PQfinish(conn);
}

START_TEST(test_nul_in_a_text_value_is_refused)
{
	run_client(client_nul_in_value);
}
END_TEST

static void expect_next_result(PGconn *conn, ExecStatusType status)
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
		expect_next_result(conn, PGRES_TUPLES_OK);
		expect_next_result(conn, batch == 1 ? PGRES_FATAL_ERROR : PGRES_TUPLES_OK);
		expect_next_result(conn, batch == 1 ? PGRES_PIPELINE_ABORTED : PGRES_TUPLES_OK);
		expect_next_result(conn, PGRES_PIPELINE_SYNC);
	}
	PQfinish(conn);
}

START_TEST(test_pipeline)
{
	run_client(client_pipeline);
}
END_TEST

/* ---- Sessions ---- */

static char *get_token(PGconn *conn)
{
	const char *reported = PQparameterStatus(conn, "jasminehill.session");

	ck_assert_ptr_nonnull(reported);
	expect_value(conn, "SHOW jasminehill.session", reported);
	return g_strdup(reported);
}

static void client_session_roams(void)
{
	PGconn *writer = connect_to("w");
	PGconn *reader = connect_to("r");
	char *options;
	char *token;

	expect_value(reader, "SELECT 1", "db-2 read need=0/0");
	expect_value(writer, "INSERT", "db-1 write");
	token = get_token(writer);
	options = g_strdup_printf("options='-c jasminehill.session=%s'", token);
	PQfinish(reader);
	reader = connect_with("r", "a", KEY_OF_A, options);
	/* Until the replica has caught up, only the primary has applied the write. */
	expect_value(reader, "SELECT 1", "db-1 read need=1/11");
	expect_value(writer, "CONTROL CATCHUP", "db-1");
	expect_value(reader, "SELECT 1", "db-2 read need=1/11");
	/* The session continues with the next primary. */
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
	run_client(client_session_roams);
}
END_TEST

static void client_ahead(void)
{
	PGconn *writer = connect_to("w");

	expect_value(writer, "INSERT", "db-1 write");
	expect_value(writer, "CONTROL FAILOVER", "db-1");
	expect_value(writer, "INSERT", "db-2 write");
	/* The term goes back to 1, as if the group had lost its writes since then. No member has
	 * the term of the session token.
	 */
	fake.term = 1;
	expect_value(writer, "CONTROL CATCHUP", "db-2");
	expect_command(writer, "SET statement_timeout = 50", "SET");
	expect_error(writer, "SET jasminehill.route = 'r'; SELECT 1", "55000", "not run",
		     "retry after 200 ms");
	PQfinish(writer);
}

START_TEST(test_token_ahead_is_refused)
{
	run_client(client_ahead);
}
END_TEST

/* ---- Transactions ---- */

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
	/* A request that exceeds its deadline fails its transaction. The statements that follow
	 * must not run outside of it.
	 */
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
	run_client(client_transaction);
	ck_assert_uint_eq(fake.release_count, 2);
}
END_TEST

static void client_disconnects(void)
{
	PGconn *conn = connect_to("w");
	PGconn *other;

	expect_value(conn, "BEGIN", "db-1");
	PQfinish(conn);
	/* When the second caller gets its response, the entry has closed the first. */
	other = connect_to("w");
	expect_value(other, "SELECT 1", "db-1");
	PQfinish(other);
}

START_TEST(test_dead_caller_releases_its_transaction)
{
	run_client(client_disconnects);
	ck_assert_uint_eq(fake.release_count, 1);
}
END_TEST

/* ---- Refusals and retries ---- */

static void client_retries(void)
{
	PGconn *conn = connect_to("w");

	expect_value(conn, "CONTROL REDIRECT", "db-1");
	expect_value(conn, "SELECT 1", "db-1 write");
	/* Without a primary, a write waits until its deadline. */
	expect_value(conn, "CONTROL NO_PRIMARY", "db-1");
	expect_command(conn, "SET statement_timeout = 50", "SET");
	expect_error(conn, "INSERT", "57P03", "not run", "retry after 200 ms");
	PQfinish(conn);
}

START_TEST(test_retries)
{
	run_client(client_retries);
}
END_TEST

/* The connection to the owner is lost while it runs a read and a write. The read is retried. The
 * write is not, since it may have run. A transaction that is open at the owner fails.
 */
static void client_lost_owner(void)
{
	PGconn *control = connect_to("w");
	PGconn *reader = connect_to("r");
	PGconn *writer = connect_to("w");
	PGconn *pinned = connect_to("w");
	PGresult *result;

	expect_value(pinned, "BEGIN", "db-1");
	ck_assert_int_eq(PQsendQuery(writer, "HANG"), 1);
	ck_assert_int_eq(PQsendQuery(reader, "SELECT HANG_ONCE"), 1);
	while (!g_atomic_int_get(&both_hanging))
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
	run_client(client_lost_owner);
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
	/* The late end of that response must not count as the end of the next one. */
	expect_command(conn, "RESET statement_timeout", "RESET");
	expect_value(conn, "SELECT 5", "db-1 write need=1/12 id= sql=SELECT 5");
	expect_error(conn, "CONTROL RECORD_REFUSED", "53100", "outcome unknown",
		     "retry after 500 ms");
	PQfinish(conn);
}

START_TEST(test_refusals)
{
	run_client(client_refusals);
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
	run_client(client_cancel);
}
END_TEST

/* ---- Operators ---- */

static void client_operator(void)
{
	PGconn *conn = connect_with("jasminehill", "a", KEY_OF_A, "");

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
	run_client(client_operator);
}
END_TEST

/* ---- Graceful shutdown ---- */

static void client_drain(void)
{
	PGconn *idle = connect_to("w");
	PGconn *active = connect_to("w");
	PGconn *busy = connect_to("w");
	PGresult *result;

	expect_value(busy, "BEGIN", "db-1");
	/* The kernel starts to drain, and runs until all callers are closed. */
	ev_async_send(jh_kernel_loop(kernel), &stop_watcher);
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

START_TEST(test_drain_keeps_open_transactions)
{
	run_client(client_drain);
}
END_TEST

static void client_one_request(void)
{
	PGconn *conn = connect_to("w");

	expect_value(conn, "SELECT 1", "db-1 write");
	PQfinish(conn);
}

/* An owner sends a response to a VM, and that VM may have been restarted since it sent the request.
 * The response must not match a request of the later instance. */
START_TEST(test_request_ids_differ_between_instances)
{
	uint64_t earlier_id;

	run_client(client_one_request);
	earlier_id = fake.first_request_id;
	run_client(client_one_request);
	ck_assert_uint_ne(fake.first_request_id, 0);
	ck_assert_uint_ne(fake.first_request_id, earlier_id);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		test_startup,
		test_garbage_closes_the_connection,
		test_callers_are_limited,
		test_withdrawn_key_ends_connected_callers,
		test_simple_query,
		test_extended_query,
		test_nul_in_a_text_value_is_refused,
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
		test_drain_keeps_open_transactions,
		test_request_ids_differ_between_instances,
		NULL,
	};

	return run_tests("entry", tests);
}
