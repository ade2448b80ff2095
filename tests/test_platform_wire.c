#include "platform/platform.h"
#include "runner.h"

#include <string.h>

#define LINE_BYTES 256

static jh_caller_message_t parse(const char *text, char *line)
{
	jh_caller_message_t message;

	g_strlcpy(line, text, LINE_BYTES);
	jh_line_wire.parse_caller(line, &message);
	return message;
}

START_TEST(test_callers_messages)
{
	char line[LINE_BYTES];
	jh_caller_message_t message = parse("START orders key 1", line);

	ck_assert_int_eq(message.type, JH_CALLER_START);
	ck_assert_str_eq(message.database, "orders");
	ck_assert_str_eq(message.key, "key 1");
	message = parse("START orders", line);
	ck_assert_ptr_null(message.key);
	message = parse("QUERY id7 WRITE a b c", line);
	ck_assert_int_eq(message.statement.type, JH_STATEMENT_WRITE);
	ck_assert_str_eq(message.id, "id7");
	ck_assert_str_eq(message.statement.text, "WRITE a b c");
	message = parse("QUERY id7 PREPARE s1 WRITE q2", line);
	ck_assert_int_eq(message.statement.type, JH_STATEMENT_PREPARE);
	ck_assert(message.statement.prepares_write);
	ck_assert_str_eq(message.statement.rest, "q2");
	message = parse("QUERY id7 EXEC s1 item some data", line);
	ck_assert_str_eq(message.statement.name, "s1");
	ck_assert_str_eq(message.statement.rest, "item some data");
	message = parse("QUERY id7 BEGIN READ", line);
	ck_assert_int_eq(message.statement.type, JH_STATEMENT_BEGIN_READ);
	ck_assert_int_eq(parse("QUIT", line).type, JH_CALLER_QUIT);
}
END_TEST

START_TEST(test_what_is_no_message)
{
	static const char *const bad[] = { "",	    " ",	"HELLO",     "START", "QUERY",
					   "QUERY", "QUERY id", "QUERY id ", "quit",  "START " };
	static const char *const bad_statements[] = {
		"QUERY i AFTER 1.2 READ x", "QUERY i READ",   "QUERY i READ a b",
		"QUERY i WRITE x",	    "QUERY i STATUS", "QUERY i SET x",
		"QUERY i PREPARE a",	    "QUERY i EXEC s", "QUERY i PREPARE a READ",
		"QUERY i DEALLOC",	    "QUERY i begin"
	};
	char line[LINE_BYTES];
	unsigned i;

	for (i = 0; i < G_N_ELEMENTS(bad); i++)
		ck_assert_int_eq(parse(bad[i], line).type, JH_CALLER_INVALID);
	for (i = 0; i < G_N_ELEMENTS(bad_statements); i++) {
		jh_caller_message_t message = parse(bad_statements[i], line);

		ck_assert_int_eq(message.type, JH_CALLER_QUERY);
		ck_assert_int_eq(message.statement.type, JH_STATEMENT_INVALID);
	}
}
END_TEST

START_TEST(test_members_messages)
{
	jh_member_message_t message;
	jh_member_status_t status;
	char ready[] = "READY T 3.1207";
	char no_position[] = "READY I -";
	char error[] = "ERR READONLY i-7";
	char unknown[] = "ERR NEWCODE what";
	char bad[] = "READY X 3.1";

	ck_assert(jh_line_wire.parse_member(ready, &message));
	ck_assert(message.has_position && message.state == 'T');
	ck_assert_uint_eq(message.position.index, 1207);
	ck_assert(jh_line_wire.parse_member(no_position, &message));
	ck_assert(!message.has_position);
	ck_assert(jh_line_wire.parse_member(error, &message));
	ck_assert_int_eq(message.code, JH_CODE_READ_ONLY);
	ck_assert(jh_line_wire.parse_member(unknown, &message));
	ck_assert_int_eq(message.code, JH_CODE_OTHER);
	ck_assert(!jh_line_wire.parse_member(bad, &message));
	ck_assert(jh_line_wire.parse_status("replica 3 3.1209 0 12 2 17", &status));
	ck_assert(!status.is_primary && status.term == 3 && status.received.index == 1209);
	ck_assert(!jh_line_wire.parse_status("replica 3", &status));
	ck_assert(!jh_line_wire.parse_status("replica 3 x 0", &status));
}
END_TEST

START_TEST(test_what_is_written)
{
	GString *out = g_string_new(NULL);
	const jh_position_t position = { .term = 3, .index = 1207 };

	jh_line_wire.put_start(out, "db", "team", "i-7");
	jh_line_wire.put_statement(out, "id1", &position, "READ x");
	jh_line_wire.put_statement(out, NULL, NULL, "READ x");
	jh_line_wire.put_internal_statement(out, JH_STATEMENT_STEP_DOWN, NULL, NULL, 4);
	jh_line_wire.put_ready(out, 'E', &position);
	jh_line_wire.put_error(out, JH_CODE_BUSY, "later");
	jh_line_wire.put_error(out, JH_CODE_OTHER, "what");
	ck_assert_str_eq(out->str, "START db team i-7\r\nQUERY id1 AFTER 3.1207 READ x\r\n"
				   "QUERY - READ x\r\nQUERY - STEPDOWN 4\r\nREADY E 3.1207\r\n"
				   "ERR BUSY later\r\nERR UNKNOWN what\r\n");
	g_string_free(out, TRUE);
}
END_TEST

/* ---- rows ---- */

static jh_store_row_t *only_row(jh_platform_reply_t *reply, const char *text, long status)
{
	GBytes *body = g_bytes_new(text, strlen(text));
	const jh_http_response_t answer = { .status = status, .body = body };

	jh_rows_dialect.decode(&answer, reply);
	g_bytes_unref(body);
	return reply->rows && reply->rows->len == 1 ? g_ptr_array_index(reply->rows, 0) : NULL;
}

START_TEST(test_rows_are_read)
{
	jh_platform_reply_t reply = { .call = JH_PLATFORM_SCAN };
	const jh_store_row_t *row =
		only_row(&reply,
			 "{\"rows\":[{\"table\":\"t\",\"part\":\"\",\"key\":\"k\",\"value\":"
			 "\"bm9kZS0x\",\"ver\":412}],\"hasMore\":true,\"ver\":530,\"nowMs\":1}",
			 200);

	ck_assert_int_eq(reply.status, JH_PLATFORM_OK);
	ck_assert_uint_eq(reply.version, 530);
	ck_assert(reply.has_more);
	ck_assert_str_eq(row->name, "k");
	ck_assert_uint_eq(row->version, 412);
	ck_assert_uint_eq(g_bytes_get_size(row->body), 6);
	reply = (jh_platform_reply_t){ .call = JH_PLATFORM_FEED };
	row = only_row(&reply, "{\"rows\":[{\"key\":\"k\",\"ver\":9,\"deleted\":true}],\"ver\":9}",
		       200);
	ck_assert_ptr_null(row->body);
}
END_TEST

START_TEST(test_answers_that_are_no_rows)
{
	jh_platform_reply_t reply = { .call = JH_PLATFORM_SCAN };

	only_row(&reply, "not json", 200);
	ck_assert_int_eq(reply.status, JH_PLATFORM_UNAVAILABLE);
	reply = (jh_platform_reply_t){ .call = JH_PLATFORM_COMMIT };
	only_row(&reply, "[]", 200);
	ck_assert_int_eq(reply.status, JH_PLATFORM_UNKNOWN);
	only_row(&reply, "", 503);
	ck_assert_int_eq(reply.status, JH_PLATFORM_UNAVAILABLE);
	only_row(&reply, "", 500);
	ck_assert_int_eq(reply.status, JH_PLATFORM_UNKNOWN);
	only_row(&reply, "", 412);
	ck_assert_int_eq(reply.status, JH_PLATFORM_CONFLICT);
	reply = (jh_platform_reply_t){ .call = JH_PLATFORM_FEED };
	only_row(&reply, "", 410);
	ck_assert_int_eq(reply.status, JH_PLATFORM_HISTORY_LOST);
}
END_TEST

/* ---- catalogue ---- */

static jh_member_t *member_of(const char *text)
{
	GBytes *row = g_bytes_new(text, strlen(text));
	jh_error_t err = JH_ERROR_INIT;
	jh_member_t *member = jh_platform_catalogue.read_member("i-1", row, &err);

	ck_assert(!member == (err.code != JH_ERR_NONE));
	jh_error_clear(&err);
	g_bytes_unref(row);
	return member;
}

START_TEST(test_members_entries)
{
	static const char *const bad[] = {
		"",
		"{}",
		"[1]",
		"\xff\xfe",
		"{\"service\":\"db\",\"addr\":\"10.0.0.1:80\",\"zone\":\"a\",\"slots\":5,"
		"\"state\":\"odd\"}",
		"{\"service\":7,\"addr\":\"10.0.0.1:80\",\"zone\":\"a\",\"slots\":5,"
		"\"state\":\"ready\"}",
		"{\"service\":\"db\",\"addr\":\"host:80\",\"zone\":\"a\",\"slots\":5,"
		"\"state\":\"ready\"}",
		"{\"service\":\"db\",\"addr\":\"10.0.0.1:80\",\"zone\":\"a\",\"slots\":\"5\","
		"\"state\":\"ready\"}",
	};
	jh_member_t *member =
		member_of("{\"service\":\"db\",\"addr\":\"10.0.0.1:80\",\"zone\":\"a\",\"slots\":5,"
			  "\"state\":\"draining\",\"dbRole\":\"primary\",\"born\":12}");
	unsigned i;

	ck_assert_str_eq(member->group, "db");
	ck_assert_str_eq(member->host, "10.0.0.1");
	ck_assert(member->is_draining && member->claims_primary && member->started_ms == 12);
	jh_member_free(member);
	for (i = 0; i < G_N_ELEMENTS(bad); i++)
		ck_assert_ptr_null(member_of(bad[i]));
}
END_TEST

START_TEST(test_configuration)
{
	static const char text[] =
		"{\"version\":7,\"routes\":[{\"host\":\"orders\",\"service\":\"db\",\"type\":\"own\","
		"\"timeoutMs\":1000,\"targetLatencyMs\":200,\"priority\":1,\"maxStalenessMs\":2500,"
		"\"isPublic\":false},{\"host\":\"odd\",\"service\":\"db\",\"type\":\"odd\"}],"
		"\"services\":[{\"name\":\"db\",\"maxConns\":33,\"syncReplicas\":1}],"
		"\"limits\":{\"txIdleMs\":2000},\"tenants\":[{\"name\":\"t\",\"apiKeys\":[\"k1\",7],"
		"\"ratePerS\":131,\"burst\":100}]}";
	GBytes *row = g_bytes_new_static(text, strlen(text));
	jh_error_t err = JH_ERROR_INIT;
	jh_fleet_config_t *site = jh_platform_catalogue.read_config(row, &err);
	const jh_fleet_route_t *route = g_hash_table_lookup(site->routes, "orders");
	const jh_fleet_group_t *group = g_hash_table_lookup(site->groups, "db");

	ck_assert_uint_eq(site->version, 7);
	ck_assert_int_eq(route->freshness, JH_FRESH_READ_YOUR_WRITES);
	ck_assert_int_eq(route->max_age_us, 2500000);
	ck_assert_ptr_null(g_hash_table_lookup(site->routes, "odd"));
	ck_assert(group->connections == 33 && group->sync_replicas == 1);
	ck_assert_str_eq(g_hash_table_lookup(site->keys, "k1"), "t");
	ck_assert_int_eq(site->tx_idle_us, 2000000);
	ck_assert(jh_config_find_team(site->teams, "t")->rate == 131);
	jh_fleet_config_unref(site);
	g_bytes_unref(row);
}
END_TEST

/* Found by fuzz_platform: 2E30 does not fit into an integer of 64 bits. */
START_TEST(test_numbers_out_of_range_are_cut)
{
	static const char text[] =
		"{\"version\":7,\"routes\":[{\"host\":\"o\",\"service\":\"db\",\"type\":\"own\","
		"\"timeoutMs\":9223372036854775807,\"maxStalenessMs\":-2E300,\"priority\":1E99}],"
		"\"services\":[{\"name\":\"db\",\"maxConns\":9223372036854775807}],"
		"\"limits\":{\"txIdleMs\":2E030},\"tenants\":[{\"name\":\"t\",\"ratePerS\":1E300,"
		"\"burst\":-1}]}";
	GBytes *row = g_bytes_new_static(text, strlen(text));
	jh_error_t err = JH_ERROR_INIT;
	jh_fleet_config_t *site = jh_platform_catalogue.read_config(row, &err);
	const jh_fleet_route_t *route = g_hash_table_lookup(site->routes, "o");

	ck_assert_int_eq(site->tx_idle_us, INT64_C(1000000000000000));
	ck_assert_int_eq(route->timeout_us, INT64_C(1000000000000000));
	ck_assert_int_le(route->max_age_us, 0);
	ck_assert(jh_config_find_team(site->teams, "t")->rate <= 1e9);
	ck_assert(jh_config_find_team(site->teams, "t")->burst >= 0);
	jh_fleet_config_unref(site);
	g_bytes_unref(row);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = { test_callers_messages,
				       test_what_is_no_message,
				       test_members_messages,
				       test_what_is_written,
				       test_rows_are_read,
				       test_answers_that_are_no_rows,
				       test_members_entries,
				       test_configuration,
				       test_numbers_out_of_range_are_cut,
				       NULL };

	return run_tests("platform_wire", tests);
}
